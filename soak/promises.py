"""
Promises
========

What must hold whatever goes wrong, judged by what callers and replicas saw.
"""

from collections import Counter

import msgspec

from soak.callers import AnswerNote
from soak.replicas import EVENTS, RunNote
from soak.site import STOP_SECONDS, GatewayNote
from tests.gatewaykit import make_event

__all__ = ["Breach", "judge", "judge_recovery"]

# Statuses that promise that the request has not run and will not run.
PROMISING = frozenset({408, 421, 429, 503})
# The gateway's own word on a stop, and time to notice the end of the process.
STOP_SLACK_SECONDS = 1.0
# Part of the requests that is served once all faults are over.
LEAST_SERVED = 0.95
# Requests that are shown with their logs.
MOST_SHOWN = 5


class Breach(msgspec.Struct, kw_only=True, frozen=True):
    """A promise that did not hold; ``attempt`` where a request shows it."""

    promise: str
    detail: str
    attempt: str = ""


def judge(
    answers: list[AnswerNote], runs: list[RunNote], ends: list[GatewayNote]
) -> list[Breach]:
    """Return every breach of what holds at any time."""
    ran = Counter(run.attempt for run in runs)
    breaches = [
        Breach(promise="an order runs once", detail=f"ran {ran[run.attempt]} times",
               attempt=run.attempt)
        for run in runs
        if run.path.startswith("/order/") and ran[run.attempt] > 1
    ]  # fmt: skip
    sent = {note.attempt for note in answers}
    breaches += [
        Breach(promise="only what callers sent runs", detail=run.replica,
               attempt=run.attempt)
        for run in runs
        if run.attempt not in sent
    ]  # fmt: skip
    for note in answers:
        breaches += _judge_answer(note, ran[note.attempt])
    for end in ends:
        breaches += _judge_end(end)
    return breaches


def judge_recovery(answers: list[AnswerNote], *, since: float) -> list[Breach]:
    """Return a breach unless requests sent after a time were served."""
    late = [note for note in answers if note.sent_at >= since]
    served = sum(note.status == 200 and note.whole for note in late)
    if late and served >= LEAST_SERVED * len(late):
        return []
    detail = f"{served} of {len(late)} served after the last fault"
    unserved = [note for note in late if not (note.status == 200 and note.whole)]
    return [Breach(promise="service recovers", detail=detail)] + [
        Breach(
            promise="service recovers",
            detail=f"{note.path} at {note.gateway}: {note.status}",
            attempt=note.attempt,
        )
        for note in unserved[:MOST_SHOWN]
    ]


def _judge_answer(note: AnswerNote, ran: int) -> list[Breach]:
    if note.status in PROMISING and ran and not note.path.startswith("/read/"):
        return [
            Breach(promise="a refusal is true", detail=f"{note.status}, but it ran",
                   attempt=note.attempt)
        ]  # fmt: skip
    if note.status != 200:
        return []
    if note.path.startswith("/chat/"):
        return _judge_stream(note)
    if note.whole and note.body != note.attempt.encode():
        return [
            Breach(promise="an answer is the replica's", detail=repr(note.body[:80]),
                   attempt=note.attempt)
        ]  # fmt: skip
    return []


def _judge_stream(note: AnswerNote) -> list[Breach]:
    expected = b"".join(make_event(number) for number in range(1, EVENTS + 1))
    if note.whole and note.body != expected:
        return [
            Breach(promise="a stream that ends is whole", attempt=note.attempt,
                   detail=f"{len(note.body)} of {len(expected)} bytes")
        ]  # fmt: skip
    if not expected.startswith(note.body):
        return [
            Breach(promise="a stream is in order", detail=repr(note.body[-80:]),
                   attempt=note.attempt)
        ]  # fmt: skip
    return []


def _judge_end(end: GatewayNote) -> list[Breach]:
    if not end.meant:
        return [
            Breach(promise="no process ends by itself",
                   detail=f"{end.gateway} ended with {end.code}")
        ]  # fmt: skip
    if end.code == 0 and end.took > STOP_SECONDS + STOP_SLACK_SECONDS:
        return [
            Breach(promise="a stop is in time",
                   detail=f"{end.gateway} took {end.took:.1f} s")
        ]  # fmt: skip
    return []
