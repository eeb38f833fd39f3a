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
MIN_ISOLATION_CRASHES = 2
SUSPICION_TTL_SECONDS = 3600.0
QUARANTINE_SECONDS = 86_400.0
MAX_TRACKED_ITEMS = 10_000
PROPAGATION_SECONDS = 1.0
# Of a single suspect; the first crash of several requests blames nobody.
MIN_CRASHES = 2


class _Suspect(msgspec.Struct, kw_only=True):
    crashes: set[tuple[InstanceId, Incarnation]]
    last_crash_at: float


class Quarantine:
    """
    Suspects and quarantined fingerprints as one entry knows them.

    Parameters
    ----------
    clock : Clock
    propagation_seconds : float
        How long all entries may take to tell of a crash.
    min_crashes : int
        A fingerprint is named after so many crashes at the earliest.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        propagation_seconds: float = PROPAGATION_SECONDS,
        min_crashes: int = MIN_CRASHES,
    ) -> None:
        self._clock = clock
        self._least_crashes = min_crashes
        self._notice_seconds = propagation_seconds
        self._pending_crashes: dict[tuple[InstanceId, Incarnation], float] = {}
        self._suspects: OrderedDict[Fingerprint, _Suspect] = OrderedDict()
        self._quarantined_until: dict[Fingerprint, float] = {}
        self._crash_fingerprints: dict[
            tuple[InstanceId, Incarnation], set[Fingerprint]
        ] = {}
        self._release_numbers: dict[Fingerprint, int] = {}

    def set_propagation_time(self, seconds: float) -> None:
        """Change how long all entries may take to tell of a crash."""
        self._notice_seconds = seconds

    @property
    def quarantined_fingerprints(self) -> list[Fingerprint]:
        """The fingerprints that are refused at present."""
        now = self._clock.now()
        return sorted(
            item for item, until in self._quarantined_until.items() if now < until
        )

    @property
    def has_suspects(self) -> bool:
        """Whether any fingerprint was in a crash and has not ended well since."""
        return bool(self._suspects)

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Tell whether requests with this fingerprint are refused."""
        return self._clock.now() < self._quarantined_until.get(fingerprint, 0.0)

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a fingerprint was in a crash and has not ended well since."""
        suspect = self._suspects.get(fingerprint)
        return (
            suspect is not None
            and self._clock.now() - suspect.last_crash_at < SUSPICION_TTL_SECONDS
        )

    def count_crashes(self, fingerprint: Fingerprint) -> int:
        """Return in how many crashes a fingerprint was and has not ended well since."""
        return (
            len(self._suspects[fingerprint].crashes)
            if self.is_suspect(fingerprint)
            else 0
        )

    def record_crash(
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
        seen = self._crash_fingerprints.setdefault(crash, set())
        self._pending_crashes.setdefault(crash, self._clock.now())
        for fingerprint in fingerprints - seen:
            self._add_suspect(fingerprint, crash)
        seen |= fingerprints

    def identify_culprits(self) -> list[Fingerprint]:
        """
        Return the fingerprints to name, once all entries had time to tell of a crash.
        """
        now = self._clock.now()
        due = [
            crash
            for crash, at in self._pending_crashes.items()
            if now - at >= self._notice_seconds
        ]
        culprits: list[Fingerprint] = []
        for crash in due:
            del self._pending_crashes[crash]
            culprits.extend(self._find_culprits(crash))
        return culprits

    def get_allowed_replicas(
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
        if self.count_crashes(fingerprint) < MIN_ISOLATION_CRASHES or not replicas:
            return frozenset(replicas)
        waited = self._clock.now() - self._suspects[fingerprint].last_crash_at
        if waited < self._notice_seconds:
            return frozenset()
        isolated = sorted(
            item
            for item in self._suspects
            if self.count_crashes(item) >= MIN_ISOLATION_CRASHES
        )
        return frozenset((replicas[isolated.index(fingerprint) % len(replicas)],))

    def add_fingerprint(self, fingerprint: Fingerprint) -> bool:
        """Refuse a fingerprint from now on; returns whether that is news."""
        if self.is_quarantined(fingerprint):
            return False
        self._quarantined_until[fingerprint] = self._clock.now() + QUARANTINE_SECONDS
        self._suspects.pop(fingerprint, None)
        return True

    def release_fingerprint(self, fingerprint: Fingerprint, *, number: int = 0) -> bool:
        """Lift a quarantine; returns whether this release is news."""
        if number and number <= self._release_numbers.get(fingerprint, 0):
            return False
        self._release_numbers[fingerprint] = number
        self._suspects.pop(fingerprint, None)
        return self._quarantined_until.pop(fingerprint, None) is not None

    def get_release_number(self, fingerprint: Fingerprint) -> int:
        """Return the number of the last release of a fingerprint, 0 before any."""
        return self._release_numbers.get(fingerprint, 0)

    def record_success(self, fingerprint: Fingerprint) -> None:
        """Take in that a request with this fingerprint ended well."""
        self._suspects.pop(fingerprint, None)

    def retract_crash(self, instance: InstanceId, incarnation: Incarnation) -> None:
        """
        Take back a crash that was none: the replica still runs in the same incarnation.
        """
        crash = (instance, incarnation)
        self._pending_crashes.pop(crash, None)
        for fingerprint in self._crash_fingerprints.pop(crash, set()):
            suspect = self._suspects.get(fingerprint)
            if suspect is not None:
                suspect.crashes.discard(crash)
                if not suspect.crashes:
                    del self._suspects[fingerprint]

    def _add_suspect(
        self, fingerprint: Fingerprint, crash: tuple[InstanceId, Incarnation]
    ) -> None:
        suspect = self._suspects.setdefault(
            fingerprint, _Suspect(crashes=set(), last_crash_at=0.0)
        )
        suspect.crashes.add(crash)
        suspect.last_crash_at = self._clock.now()
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > MAX_TRACKED_ITEMS:
            self._suspects.popitem(last=False)
        if len(self._crash_fingerprints) > MAX_TRACKED_ITEMS:
            del self._crash_fingerprints[next(iter(self._crash_fingerprints))]

    def _find_culprits(
        self, crash: tuple[InstanceId, Incarnation]
    ) -> list[Fingerprint]:
        """Return those that were in an earlier crash too, if it can only be they."""
        repeated = [
            item
            for item in sorted(self._crash_fingerprints.get(crash, ()))
            if self.count_crashes(item) >= self._least_crashes
        ]
        if len(repeated) == 1:
            return repeated
        return [item for item in repeated if self.count_crashes(item) >= MAX_CRASHES]
