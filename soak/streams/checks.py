"""
Checks
======

What a caller got of a stream, against the notes of the replicas that ran it.
"""

import re
from collections.abc import Sequence
from enum import Enum

import msgspec

from soak.streams.callers import ObservedStream
from soak.streams.replica import BODY_PIECES, KINDS, Run

__all__ = ["Breach", "BreachKind", "EndCounts", "count_ends", "find_breaches"]

_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+) [x]*\n\n")


class BreachKind(Enum):
    """How a stream violates its order, or a response is not the replica's."""

    EARLY = "complete before its last event"
    MISSING = "an event is missing"
    TWICE = "an event comes twice"
    BACK = "a number goes back"
    JOINED = "events of two runs are joined"
    SPOILT = "an event is spoilt"
    OTHER_BODY = "a body is not that of its run"


class Breach(msgspec.Struct, kw_only=True, frozen=True):
    """A violation, and the attempts concerned."""

    kind: BreachKind
    detail: str
    attempts: tuple[str, ...]


class EndCounts(msgspec.Struct, kw_only=True):
    """
    Runs that have sent their whole responses, by what the callers got of them.

    Attributes
    ----------
    unframed, unframed_cut, framed, framed_cut : int
        Whole runs without a length and with one, and those among them whose response
        did not reach the caller as complete.
    """

    unframed: int = 0
    unframed_cut: int = 0
    framed: int = 0
    framed_cut: int = 0


def find_breaches(
    streams: Sequence[ObservedStream], runs: Sequence[Run]
) -> list[Breach]:
    """Return all violations of what callers got."""
    begun = {run.run: run for run in runs if not run.is_end}
    breaches = []
    for stream in streams:
        found = (
            _check_stream(stream, begun)
            if KINDS[stream.kind].events
            else _check_body(stream)
        )
        if found is not None:
            kind, detail = found
            attempts = tuple(part.attempt for part in stream.parts)
            breaches.append(Breach(kind=kind, detail=detail, attempts=attempts))
    return breaches


def count_ends(streams: Sequence[ObservedStream], runs: Sequence[Run]) -> EndCounts:
    """Return how many whole responses reached their callers as complete."""
    complete = {
        part.attempt
        for stream in streams
        for part in stream.parts
        if part.status == 200 and part.is_complete
    }
    seen = {part.attempt for stream in streams for part in stream.parts}
    counts = EndCounts()
    for run in runs:
        if not run.is_end or run.attempt not in seen:
            continue
        is_cut = run.attempt not in complete
        if run.is_unframed:
            counts.unframed += 1
            counts.unframed_cut += is_cut
        else:
            counts.framed += 1
            counts.framed_cut += is_cut
    return counts


def _check_stream(
    stream: ObservedStream, begun: dict[str, Run]
) -> tuple[BreachKind, str] | None:
    data = stream.parts[-1].events
    events = _EVENT.findall(data)
    if sum(map(len, _EVENT.split(data)[::4])):
        return BreachKind.SPOILT, repr(_EVENT.split(data)[::4][:3])[:200]
    kind = KINDS[stream.kind]
    last, last_run = 0, ""
    for event_id, run_token, text in events:
        number, token = int(event_id), run_token.decode()
        if event_id != text:
            return BreachKind.SPOILT, f"id {event_id!r}, number {text!r}"
        if number == last:
            return BreachKind.TWICE, f"{number} after {last}"
        if number < last:
            return BreachKind.BACK, f"{number} after {last}"
        if number > last + 1:
            return BreachKind.MISSING, f"{number} after {last}"
        if token != last_run and last_run:
            goes_on = kind.is_resumable and begun[token].after == last
            if not goes_on:
                return BreachKind.JOINED, f"{token} after {last_run} at {number}"
        last, last_run = number, token
    if stream.is_complete and last != kind.events:
        return BreachKind.EARLY, f"{last} of {kind.events} events"
    body = stream.parts[-1].body
    if stream.is_complete and body and not body.endswith(b"\n\n"):
        return BreachKind.EARLY, "ends within an event"
    return None


def _check_body(stream: ObservedStream) -> tuple[BreachKind, str] | None:
    if not stream.is_complete:
        return None
    lines = stream.parts[-1].body.splitlines()
    tokens = {line.split()[0] for line in lines}
    numbers = [int(line.split()[1]) for line in lines]
    if len(tokens) != 1 or numbers != list(range(BODY_PIECES)):
        return BreachKind.OTHER_BODY, repr(stream.parts[-1].body[:200])
    return None
