"""
Quarantine of requests that crash upstreams
===========================================

Finds the one request that crashes each upstream that runs it, and has it refused.

After a crash all requests that ran there are suspects; they run again on the other
replicas.  Suspects of two crashes wait until all entries have heard of the crash and
are then spread, no two on one replica.  A request is named when it alone was in an
earlier crash too, and at the latest after ``MAX_CRASHES`` crashes.  One that ends well
is cleared.
"""

from collections import OrderedDict
from collections.abc import Sequence

import msgspec

from damasklead.clock import Clock
from damasklead.ids import Fingerprint, Incarnation, InstanceId

__all__ = ["MAX_CRASHES", "Quarantine"]

MAX_CRASHES = 4
SPREAD_CRASHES = 2
SUSPECT_SECONDS = 3600.0
QUARANTINE_SECONDS = 86_400.0
MAX_TRACKED = 10_000
NOTICE_SECONDS = 1.0
# Of a single suspect; the first crash of several requests blames nobody.
LEAST_CRASHES = 2


class _Suspect(msgspec.Struct, kw_only=True):
    crashes: set[tuple[InstanceId, Incarnation]]
    at: float


class Quarantine:
    """
    Suspects and quarantined fingerprints as one entry knows them.

    Parameters
    ----------
    clock : Clock
    notice_seconds : float
        How long all entries may take to tell of a crash.
    least_crashes : int
        A fingerprint is named after so many crashes at the earliest.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        notice_seconds: float = NOTICE_SECONDS,
        least_crashes: int = LEAST_CRASHES,
    ) -> None:
        self._clock = clock
        self._least_crashes = least_crashes
        self._notice_seconds = notice_seconds
        self._undecided: dict[tuple[InstanceId, Incarnation], float] = {}
        self._suspects: OrderedDict[Fingerprint, _Suspect] = OrderedDict()
        self._named: dict[Fingerprint, float] = {}
        self._seen: dict[tuple[InstanceId, Incarnation], set[Fingerprint]] = {}
        self._releases: dict[Fingerprint, int] = {}

    def set_notice(self, seconds: float) -> None:
        """Change how long all entries may take to tell of a crash."""
        self._notice_seconds = seconds

    @property
    def named(self) -> list[Fingerprint]:
        """The fingerprints that are refused at present."""
        now = self._clock.now()
        return sorted(item for item, until in self._named.items() if now < until)

    @property
    def has_suspects(self) -> bool:
        """Whether any fingerprint was in a crash and has not ended well since."""
        return bool(self._suspects)

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
    ) -> None:
        """
        Take in that a replica crashed while it ran these.

        Several notices of one crash, from several entries, count as one crash.
        """
        crash = (instance, incarnation)
        seen = self._seen.setdefault(crash, set())
        self._undecided.setdefault(crash, self._clock.now())
        for fingerprint in fingerprints - seen:
            self._suspect(fingerprint, crash)
        seen |= fingerprints

    def decide(self) -> list[Fingerprint]:
        """
        Return the fingerprints to name, once all entries had time to tell of a crash.
        """
        now = self._clock.now()
        due = [
            crash
            for crash, at in self._undecided.items()
            if now - at >= self._notice_seconds
        ]
        named: list[Fingerprint] = []
        for crash in due:
            del self._undecided[crash]
            named.extend(self._guilty(crash))
        return named

    def may_run_on(
        self, fingerprint: Fingerprint, replicas: Sequence[InstanceId]
    ) -> frozenset[InstanceId]:
        """
        Return the replicas that may run a request; none while it has to wait.

        Suspects of several crashes are spread over the replicas in the same way by all
        entries, so that no two of them meet and the next crash names one.

        Parameters
        ----------
        replicas : sequence
            All replicas in use, in the same order at all entries.
        """
        if self.crashes(fingerprint) < SPREAD_CRASHES or not replicas:
            return frozenset(replicas)
        waited = self._clock.now() - self._suspects[fingerprint].at
        if waited < self._notice_seconds:
            return frozenset()
        spread = sorted(
            item for item in self._suspects if self.crashes(item) >= SPREAD_CRASHES
        )
        return frozenset((replicas[spread.index(fingerprint) % len(replicas)],))

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

    def release_number(self, fingerprint: Fingerprint) -> int:
        """Return the number of the last release of a fingerprint, 0 before any."""
        return self._releases.get(fingerprint, 0)

    def clear(self, fingerprint: Fingerprint) -> None:
        """Take in that a request with this fingerprint ended well."""
        self._suspects.pop(fingerprint, None)

    def retract(self, instance: InstanceId, incarnation: Incarnation) -> None:
        """
        Take back a crash that was none: the replica still runs in the same incarnation.
        """
        crash = (instance, incarnation)
        self._undecided.pop(crash, None)
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

    def _guilty(self, crash: tuple[InstanceId, Incarnation]) -> list[Fingerprint]:
        """Return those that were in an earlier crash too, if it can only be they."""
        repeated = [
            item
            for item in sorted(self._seen.get(crash, ()))
            if self.crashes(item) >= self._least_crashes
        ]
        if len(repeated) == 1:
            return repeated
        return [item for item in repeated if self.crashes(item) >= MAX_CRASHES]
