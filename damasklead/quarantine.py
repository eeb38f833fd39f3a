"""
Quarantine of requests that crash upstreams
===========================================

Identifies a request that crashes each upstream that executes it, to have it refused.

After a crash all requests that ran on the replica are suspects and are retried on other
replicas.  Suspects of ``MIN_ISOLATION_CRASHES`` crashes are held back until all entries
have the report of the last one, and are then isolated: no two of them go to one
replica.  A request is quarantined when it is the only one of a crash that was in an
earlier crash too, and at the latest after ``MAX_CRASHES`` crashes.  A request that
completes is no longer a suspect.

Requests are distinguished by fingerprints, hashes of their contents, which are equal
for all attempts of a request.  Parts of prompts that different requests share have
fingerprints too; ``crash_attribution`` finds those that crash upstreams.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

import msgspec

from damasklead.clock import Clock
from damasklead.crash_attribution import CrashAttribution, InterruptedRequest, is_part
from damasklead.ids import Fingerprint, Incarnation, InstanceId

__all__ = ["MAX_CRASHES", "Quarantine"]

MAX_CRASHES = 4
MIN_ISOLATION_CRASHES = 2
SUSPICION_TTL_SECONDS = 3600.0
QUARANTINE_SECONDS = 86_400.0
MAX_TRACKED_ITEMS = 10_000  # for suspects and for crashes
PROPAGATION_SECONDS = 1.0
# The first crash does not show which of the requests on the replica caused it.
MIN_CRASHES = 2


class _Suspect(msgspec.Struct, kw_only=True):
    crashes: set[tuple[InstanceId, Incarnation]]
    last_crash_at: float


class Quarantine:
    """
    The suspects and quarantined fingerprints that are known to one entry.

    Parameters
    ----------
    clock : Clock
    propagation_seconds : float
        Seconds after the first report of a crash until all entries' reports are in.
    min_crashes : int
        Number of crashes that a fingerprint must have been in to be quarantined.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        propagation_seconds: float = PROPAGATION_SECONDS,
        min_crashes: int = MIN_CRASHES,
    ) -> None:
        self._clock = clock
        self._min_crashes = min_crashes
        self._propagation_seconds = propagation_seconds
        self._pending_crashes: dict[tuple[InstanceId, Incarnation], float] = {}
        self._suspects: OrderedDict[Fingerprint, _Suspect] = OrderedDict()
        self._quarantined_until: dict[Fingerprint, float] = {}
        self._crash_fingerprints: dict[
            tuple[InstanceId, Incarnation], set[Fingerprint]
        ] = {}
        self._release_numbers: dict[Fingerprint, int] = {}
        self._attribution = CrashAttribution(
            clock=clock, propagation_seconds=propagation_seconds
        )

    def set_propagation_time(self, seconds: float) -> None:
        """Set the seconds from the first report of a crash until all reports are in."""
        self._propagation_seconds = seconds
        self._attribution.set_propagation_time(seconds)

    @property
    def quarantined_fingerprints(self) -> list[Fingerprint]:
        """The fingerprints whose requests are refused, in sorted order."""
        now = self._clock.now()
        return sorted(
            item for item, until in self._quarantined_until.items() if now < until
        )

    @property
    def has_suspects(self) -> bool:
        """Whether any fingerprint was in a crash and has not completed since."""
        return bool(self._suspects)

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Return whether requests with this fingerprint are refused."""
        return self._clock.now() < self._quarantined_until.get(fingerprint, 0.0)

    def is_any_quarantined(self, fingerprints: Iterable[Fingerprint]) -> bool:
        """Return whether a request with any of these fingerprints is refused."""
        return bool(self._quarantined_until) and any(
            self.is_quarantined(item) for item in fingerprints
        )

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """
        Return whether a fingerprint was in a recent crash and has not completed since.
        """
        suspect = self._suspects.get(fingerprint)
        return (
            suspect is not None
            and self._clock.now() - suspect.last_crash_at < SUSPICION_TTL_SECONDS
        )

    def count_crashes(self, fingerprint: Fingerprint) -> int:
        """Return the number of crashes a fingerprint was in since it last completed."""
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
        prompts: Iterable[InterruptedRequest] = (),
    ) -> bool:
        """
        Record the crash of a replica that was executing these requests.

        Several reports of one crash, from several entries, count as one crash.

        Parameters
        ----------
        instance, incarnation
            The replica that crashed.
        fingerprints : frozenset
            Fingerprints of the reporting entry's requests on the replica.
        prompts : iterable of InterruptedRequest
            These requests with the shared parts of their prompts.

        Returns
        -------
        bool
            Whether the report names requests that earlier ones of the crash did not.
        """
        crash = (instance, incarnation)
        self._attribution.record_crash(instance, incarnation, prompts)
        known_fingerprints = self._crash_fingerprints.setdefault(crash, set())
        self._pending_crashes.setdefault(crash, self._clock.now())
        new_fingerprints = fingerprints - known_fingerprints
        for fingerprint in new_fingerprints:
            self._record_suspect(fingerprint, crash)
        known_fingerprints |= fingerprints
        return bool(new_fingerprints)

    def identify_culprits(self) -> list[Fingerprint]:
        """
        Return the fingerprints to quarantine after crashes that are fully reported.

        Each crash is judged once, ``propagation_seconds`` after its first report.
        """
        now = self._clock.now()
        due_crashes = [
            crash
            for crash, at in self._pending_crashes.items()
            if now - at >= self._propagation_seconds
        ]
        culprits: list[Fingerprint] = []
        for crash in due_crashes:
            del self._pending_crashes[crash]
            culprits.extend(self._find_culprits(crash))
        culprits.extend(
            cause
            for cause in self._attribution.find_causes()
            if is_part(cause) and not self.is_quarantined(cause)
        )
        return culprits

    def get_allowed_replicas(
        self, fingerprint: Fingerprint, replicas: Sequence[InstanceId]
    ) -> frozenset[InstanceId]:
        """
        Return the replicas that may execute a request, none while it is held back.

        All entries assign the suspects of several crashes to replicas in the same way,
        so that no two of them run on one replica and the next crash identifies its
        cause.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        replicas : sequence
            All replicas in use, in the same order at all entries.
        """
        if self.count_crashes(fingerprint) < MIN_ISOLATION_CRASHES or not replicas:
            return frozenset(replicas)
        elapsed = self._clock.now() - self._suspects[fingerprint].last_crash_at
        if elapsed < self._propagation_seconds:
            return frozenset()
        isolated_suspects = sorted(
            item
            for item in self._suspects
            if self.count_crashes(item) >= MIN_ISOLATION_CRASHES
        )
        return frozenset(
            (replicas[isolated_suspects.index(fingerprint) % len(replicas)],)
        )

    def add_fingerprint(self, fingerprint: Fingerprint) -> bool:
        """Quarantine a fingerprint; returns whether it was not quarantined before."""
        if self.is_quarantined(fingerprint):
            return False
        self._quarantined_until[fingerprint] = self._clock.now() + QUARANTINE_SECONDS
        self._suspects.pop(fingerprint, None)
        return True

    def release_fingerprint(self, fingerprint: Fingerprint, *, number: int = 0) -> bool:
        """
        Release a fingerprint from quarantine.

        Parameters
        ----------
        fingerprint : str
            The fingerprint to release.
        number : int
            Sequence number of the release; 0 for a release without one.  A release
            whose number is not above the last one's has no effect.

        Returns
        -------
        bool
            Whether the fingerprint was quarantined and is not any more.
        """
        if number and number <= self._release_numbers.get(fingerprint, 0):
            return False
        self._release_numbers[fingerprint] = number
        self._attribution.record_success([fingerprint])
        self._suspects.pop(fingerprint, None)
        return self._quarantined_until.pop(fingerprint, None) is not None

    def get_release_number(self, fingerprint: Fingerprint) -> int:
        """Return the sequence number of a fingerprint's last release, 0 before any."""
        return self._release_numbers.get(fingerprint, 0)

    def record_success(self, fingerprint: Fingerprint) -> None:
        """Record that a request with this fingerprint completed on a replica."""
        self._suspects.pop(fingerprint, None)

    def record_sound_parts(self, parts: Iterable[Fingerprint]) -> list[Fingerprint]:
        """
        Record the prompt parts of a request to which a replica responded completely.

        Returns
        -------
        list of Fingerprint
            Those that were suspects of crashes until now.
        """
        return self._attribution.record_success(parts)

    def retract_crash(self, instance: InstanceId, incarnation: Incarnation) -> None:
        """
        Discard a crash report, since the replica still runs in the same incarnation.
        """
        crash = (instance, incarnation)
        self._attribution.retract_crash(instance, incarnation)
        self._pending_crashes.pop(crash, None)
        for fingerprint in self._crash_fingerprints.pop(crash, set()):
            suspect = self._suspects.get(fingerprint)
            if suspect is not None:
                suspect.crashes.discard(crash)
                if not suspect.crashes:
                    del self._suspects[fingerprint]

    def _record_suspect(
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
        """
        Return the fingerprints to quarantine for a crash.

        If only one of them was in ``min_crashes`` crashes, it is that one; otherwise
        those that were in ``MAX_CRASHES`` crashes.
        """
        repeated = [
            item
            for item in sorted(self._crash_fingerprints.get(crash, ()))
            if self.count_crashes(item) >= self._min_crashes
        ]
        if len(repeated) == 1:
            return repeated
        return [item for item in repeated if self.count_crashes(item) >= MAX_CRASHES]
