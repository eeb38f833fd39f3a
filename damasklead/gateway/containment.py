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

__all__ = ["Containment", "CrashNote", "fingerprint_of"]

# A broken answer is a crash if its replica is found to be gone within this time; the
# platform's list drops a silent replica after some heartbeats of about a second.
CONFIRM_SECONDS = 8.0
# A crash is told to other gateways for so long; lost datagrams are made up for.
TELL_SECONDS = 10.0
# A request that ended well so recently is not suspected: others like it are common.
WELL_SECONDS = 60.0
# Requests that ended well are remembered up to this number, about 200 bytes each.
MOST_WELL = 4_000
# Crashes before a request is refused; fewer would blame requests that were only near.
CRASHES_TO_REFUSE = 3


class CrashNote(msgspec.Struct, array_like=True, frozen=True):
    """A replica's crash and the requests that one gateway had there."""

    instance: InstanceId
    incarnation: int
    fingerprints: tuple[Fingerprint, ...]


class _Broken(msgspec.Struct, kw_only=True):
    at: float
    fingerprints: set[Fingerprint]


def fingerprint_of(call: Call) -> Fingerprint:
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
    named : callable
        Told of each fingerprint that is refused from now on.
    """

    def __init__(self, *, clock: Clock, named: Callable[[Fingerprint], None]) -> None:
        self._clock = clock
        self._named = named
        self._quarantine = Quarantine(clock=clock, least_crashes=CRASHES_TO_REFUSE)
        self._broken: dict[tuple[InstanceId, int], _Broken] = {}
        self._notes: dict[CrashNote, float] = {}
        self._well: OrderedDict[int, float] = OrderedDict()

    @property
    def notes(self) -> list[CrashNote]:
        """What the other gateways are to be told."""
        return list(self._notes)

    def refuses(self, call: Call) -> bool:
        """Tell whether a request is refused."""
        return bool(self._quarantine.named) and self._quarantine.is_named(
            fingerprint_of(call)
        )

    def ended_well(self, call: Call) -> None:
        """Take in that a replica answered a request in full."""
        mark = _mark(call)
        self._well.pop(mark, None)
        self._well[mark] = self._clock.now()
        if len(self._well) > MOST_WELL:
            self._well.popitem(last=False)
        if self._quarantine.has_suspects:
            self._quarantine.clear(fingerprint_of(call))

    def broke(self, record: UpstreamRecord, call: Call) -> None:
        """Take in that a replica's answer broke off."""
        now = self._clock.now()
        if now - self._well.get(_mark(call), -WELL_SECONDS) < WELL_SECONDS:
            return
        key = (record.instance, record.incarnation)
        broken = self._broken.setdefault(key, _Broken(at=now, fingerprints=set()))
        broken.at = now
        broken.fingerprints.add(fingerprint_of(call))

    def unreachable(self, record: UpstreamRecord) -> None:
        """Take in that a replica takes no connection."""
        self._confirm((record.instance, record.incarnation))

    def retain(self, records: list[UpstreamRecord]) -> None:
        """Take in which replicas are listed; others have crashed or left."""
        listed = {(record.instance, record.incarnation) for record in records}
        for key in [item for item in self._broken if item not in listed]:
            self._confirm(key)

    def take(self, notes: list[CrashNote]) -> None:
        """Take in crashes that another gateway has seen."""
        for note in notes:
            self._observe(note)

    def tick(self) -> None:
        """Decide which requests to refuse, and forget what is old."""
        now = self._clock.now()
        for fingerprint in self._quarantine.decide():
            if self._quarantine.name(fingerprint):
                self._named(fingerprint)
        self._broken = {
            key: broken
            for key, broken in self._broken.items()
            if now - broken.at < CONFIRM_SECONDS
        }
        self._notes = {
            note: at for note, at in self._notes.items() if now - at < TELL_SECONDS
        }

    def _confirm(self, key: tuple[InstanceId, int]) -> None:
        broken = self._broken.pop(key, None)
        if broken is None:
            return
        note = CrashNote(*key, tuple(sorted(broken.fingerprints)))
        self._notes[note] = self._clock.now()
        self._observe(note)

    def _observe(self, note: CrashNote) -> None:
        self._quarantine.observe_crash(
            note.instance, Incarnation(note.incarnation), frozenset(note.fingerprints)
        )


def _mark(call: Call) -> int:
    """Return a quick fingerprint that holds in this process only."""
    workspace = "" if call.workspace is None else call.workspace.name
    return hash((workspace, call.head.target, call.body))
