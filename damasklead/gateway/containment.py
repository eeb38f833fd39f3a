"""
Containment
===========

Keeps a request that crashes each replica that runs it from taking down one after the
other.  No I/O: broken attempts, failed connections and notes of other gateways come in;
which requests are refused goes out.

Load pattern: one request that its caller repeats at any gateway, among many others that
are cut off by the same crashes and are not to blame.
"""

from collections import OrderedDict
from collections.abc import Callable

import msgspec

from damasklead.clock import Clock
from damasklead.gateway.calls import Call, UpstreamRecord
from damasklead.ids import Fingerprint, Incarnation, InstanceId
from damasklead.quarantine import Quarantine
from damasklead.util import stable_hash

__all__ = ["Containment", "CrashNote", "compute_fingerprint"]

# A broken answer is a crash if its replica is found to be gone within this time; the
# platform's list drops a silent replica after some heartbeats of about a second.
CRASH_CONFIRM_SECONDS = 8.0
# A crash is told to other gateways for so long; lost datagrams are made up for.
NOTE_REPEAT_SECONDS = 10.0
# A request that ended well so recently is not suspected: others like it are common.
SUCCESS_MEMORY_SECONDS = 60.0
# Requests that ended well are remembered up to this number, about 200 bytes each.
MAX_SUCCESSES = 4_000
# Crashes before a request is refused; fewer would blame requests that were only near.
CRASHES_TO_REFUSE = 3


class CrashNote(msgspec.Struct, array_like=True, frozen=True):
    """A replica's crash and the requests that one gateway had there."""

    instance: InstanceId
    incarnation: int
    fingerprints: tuple[Fingerprint, ...]


class _BrokenResponses(msgspec.Struct, kw_only=True):
    at: float
    fingerprints: set[Fingerprint]


def compute_fingerprint(call: Call) -> Fingerprint:
    """Return what a repeated request has in common: caller, path and body."""
    workspace = "" if call.workspace is None else call.workspace.name
    body = call.body.decode("latin-1")
    return Fingerprint(f"{stable_hash(workspace, call.head.target, body):016x}")


class Containment:
    """
    The requests that this gateway refuses because they crash replicas.

    Parameters
    ----------
    clock : Clock
    on_quarantine : callable
        Told of each fingerprint that is refused from now on.
    """

    def __init__(
        self, *, clock: Clock, on_quarantine: Callable[[Fingerprint], None]
    ) -> None:
        self._clock = clock
        self._on_quarantine = on_quarantine
        self._quarantine = Quarantine(clock=clock, least_crashes=CRASHES_TO_REFUSE)
        self._broken_responses: dict[tuple[InstanceId, int], _BrokenResponses] = {}
        self._notes: dict[CrashNote, float] = {}
        self._successes: OrderedDict[int, float] = OrderedDict()

    @property
    def notes(self) -> list[CrashNote]:
        """What the other gateways are to be told."""
        return list(self._notes)

    def should_refuse(self, call: Call) -> bool:
        """Tell whether a request is refused."""
        return bool(self._quarantine.named) and self._quarantine.is_named(
            compute_fingerprint(call)
        )

    def record_success(self, call: Call) -> None:
        """Take in that a replica answered a request in full."""
        mark = _compute_local_fingerprint(call)
        self._successes.pop(mark, None)
        self._successes[mark] = self._clock.now()
        if len(self._successes) > MAX_SUCCESSES:
            self._successes.popitem(last=False)
        if self._quarantine.has_suspects:
            self._quarantine.clear(compute_fingerprint(call))

    def record_broken_response(self, record: UpstreamRecord, call: Call) -> None:
        """Take in that a replica's answer broke off."""
        now = self._clock.now()
        if (
            now
            - self._successes.get(
                _compute_local_fingerprint(call), -SUCCESS_MEMORY_SECONDS
            )
            < SUCCESS_MEMORY_SECONDS
        ):
            return
        key = (record.instance, record.incarnation)
        broken = self._broken_responses.setdefault(
            key, _BrokenResponses(at=now, fingerprints=set())
        )
        broken.at = now
        broken.fingerprints.add(compute_fingerprint(call))

    def record_connection_failure(self, record: UpstreamRecord) -> None:
        """Take in that a replica takes no connection."""
        self._confirm_crash((record.instance, record.incarnation))

    def update_replicas(self, records: list[UpstreamRecord]) -> None:
        """Take in which replicas are listed; others have crashed or left."""
        listed = {(record.instance, record.incarnation) for record in records}
        for key in [item for item in self._broken_responses if item not in listed]:
            self._confirm_crash(key)

    def apply_notes(self, notes: list[CrashNote]) -> None:
        """Take in crashes that another gateway has seen."""
        for note in notes:
            self._observe_crash(note)

    def tick(self) -> None:
        """Decide which requests to refuse, and forget what is old."""
        now = self._clock.now()
        for fingerprint in self._quarantine.decide():
            if self._quarantine.name(fingerprint):
                self._on_quarantine(fingerprint)
        self._broken_responses = {
            key: broken
            for key, broken in self._broken_responses.items()
            if now - broken.at < CRASH_CONFIRM_SECONDS
        }
        self._notes = {
            note: at
            for note, at in self._notes.items()
            if now - at < NOTE_REPEAT_SECONDS
        }

    def _confirm_crash(self, key: tuple[InstanceId, int]) -> None:
        broken = self._broken_responses.pop(key, None)
        if broken is None:
            return
        note = CrashNote(*key, tuple(sorted(broken.fingerprints)))
        self._notes[note] = self._clock.now()
        self._observe_crash(note)

    def _observe_crash(self, note: CrashNote) -> None:
        self._quarantine.observe_crash(
            note.instance, Incarnation(note.incarnation), frozenset(note.fingerprints)
        )


def _compute_local_fingerprint(call: Call) -> int:
    """Return a quick fingerprint that holds in this process only."""
    workspace = "" if call.workspace is None else call.workspace.name
    return hash((workspace, call.head.target, call.body))
