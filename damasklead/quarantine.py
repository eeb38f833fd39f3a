"""
Quarantine of requests that crash upstreams
===========================================

Finds the one request that crashes each upstream that runs it, and has it refused.

After a crash all requests that ran there are suspects; they run again on the other
replicas.  A suspect of two crashes runs only where no other suspect of its entry runs.
A request is named when it alone was in an earlier crash too, and at the latest after
``MAX_CRASHES`` crashes.  One that ends well is cleared.
"""

from collections import OrderedDict

import msgspec

from damasklead.clock import Clock
from damasklead.ids import Fingerprint, Incarnation, InstanceId

__all__ = ["MAX_CRASHES", "Quarantine"]

MAX_CRASHES = 4
SUSPECT_SECONDS = 3600.0
QUARANTINE_SECONDS = 86_400.0
MAX_TRACKED = 10_000


class _Suspect(msgspec.Struct, kw_only=True):
    crashes: set[tuple[InstanceId, Incarnation]]
    at: float


class Quarantine:
    """
    Suspects and quarantined fingerprints as one entry knows them.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._suspects: OrderedDict[Fingerprint, _Suspect] = OrderedDict()
        self._named: dict[Fingerprint, float] = {}
        self._seen: dict[tuple[InstanceId, Incarnation], set[Fingerprint]] = {}
        self._releases: dict[Fingerprint, int] = {}

    @property
    def named(self) -> list[Fingerprint]:
        """The fingerprints that are refused at present."""
        now = self._clock.now()
        return sorted(item for item, until in self._named.items() if now < until)

    def is_named(self, fingerprint: Fingerprint) -> bool:
        """Tell whether requests with this fingerprint are refused."""
        return self._clock.now() < self._named.get(fingerprint, 0.0)

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a fingerprint was in a crash and has not ended well since."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and self._clock.now() - suspect.at < SUSPECT_SECONDS

    def crashes(self, fingerprint: Fingerprint) -> int:
        """Return in how many crashes a fingerprint was and has not ended well since."""
        return (
            len(self._suspects[fingerprint].crashes)
            if self.is_suspect(fingerprint)
            else 0
        )

    def observe_crash(
        self,
        instance: InstanceId,
        incarnation: Incarnation,
        fingerprints: frozenset[Fingerprint],
    ) -> list[Fingerprint]:
        """
        Take in that a replica crashed while it ran these.

        Several notices of one crash, from several entries, count as one crash.

        Returns
        -------
        list of Fingerprint
            Those that are named by it.
        """
        crash = (instance, incarnation)
        seen = self._seen.setdefault(crash, set())
        earlier = {item for item in fingerprints if self.is_suspect(item)}
        fresh = fingerprints - seen
        seen |= fingerprints
        for fingerprint in fresh:
            self._suspect(fingerprint, crash)
        return [
            item for item in fresh if self._should_name(item, item in earlier, seen)
        ]

    def name(self, fingerprint: Fingerprint) -> bool:
        """Refuse a fingerprint from now on; returns whether that is news."""
        if self.is_named(fingerprint):
            return False
        self._named[fingerprint] = self._clock.now() + QUARANTINE_SECONDS
        self._suspects.pop(fingerprint, None)
        return True

    def release(self, fingerprint: Fingerprint, *, number: int = 0) -> bool:
        """Lift a quarantine; returns whether this release is news."""
        if number and number <= self._releases.get(fingerprint, 0):
            return False
        self._releases[fingerprint] = number
        self._suspects.pop(fingerprint, None)
        return self._named.pop(fingerprint, None) is not None

    def clear(self, fingerprint: Fingerprint) -> None:
        """Take in that a request with this fingerprint ended well."""
        self._suspects.pop(fingerprint, None)

    def retract(self, instance: InstanceId, incarnation: Incarnation) -> None:
        """
        Take back a crash that was none: the replica still runs in the same incarnation.
        """
        crash = (instance, incarnation)
        for fingerprint in self._seen.pop(crash, set()):
            suspect = self._suspects.get(fingerprint)
            if suspect is not None:
                suspect.crashes.discard(crash)
                if not suspect.crashes:
                    del self._suspects[fingerprint]

    def _suspect(
        self, fingerprint: Fingerprint, crash: tuple[InstanceId, Incarnation]
    ) -> None:
        suspect = self._suspects.setdefault(
            fingerprint, _Suspect(crashes=set(), at=0.0)
        )
        suspect.crashes.add(crash)
        suspect.at = self._clock.now()
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > MAX_TRACKED:
            self._suspects.popitem(last=False)
        if len(self._seen) > MAX_TRACKED:
            del self._seen[next(iter(self._seen))]

    def _should_name(
        self,
        fingerprint: Fingerprint,
        was_suspect: bool,
        crashed_with: set[Fingerprint],
    ) -> bool:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return False
        if len(suspect.crashes) >= MAX_CRASHES:
            return True
        others = {
            item
            for item in crashed_with
            if item != fingerprint
            and len(self._suspects[item].crashes if item in self._suspects else ()) > 1
        }
        return was_suspect and len(suspect.crashes) > 1 and not others
