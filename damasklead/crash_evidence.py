"""
Evidence of crashes
===================

The crashes that a process knows with their suspects, and what processes tell each other
of them: reports may be lost, so that each can find out which it lacks.  No I/O.

Load pattern: several processes report the same crash, each with the requests that it
saw interrupted; a crash with one report missing may seem to have no cause.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping, Set

import msgspec

from damasklead.clock import Clock
from damasklead.ids import Fingerprint, Incarnation, InstanceId

__all__ = ["Crash", "CrashEvidence", "CrashSummary", "Evidence", "KnownCrashes"]

# Crashes without a known cause are remembered for this time, the others for longer.
UNEXPLAINED_TTL_SECONDS = 3_600.0
EXPLAINED_TTL_SECONDS = 86_400.0
# Limit of the memory for crashes, and of the suspects of those that are described.
MAX_CRASHES = 256
MAX_DESCRIBED_SUSPECTS = 4_096
# Crashes are summarized from when their reports should have reached everybody.
SETTLING_SECONDS = 1.0
SUMMARY_SECONDS = 60.0
MAX_SUMMARIES = 64

Crash = tuple[InstanceId, Incarnation]


class CrashEvidence(msgspec.Struct, array_like=True, frozen=True):
    """
    What a process knows of one crash.

    Attributes
    ----------
    incarnation : int
        Start time of the crashed replica in milliseconds.
    age_seconds : float
        Time since its first report.
    suspects : dict
        The suspects with their depths in the prompt.
    cleared : list of Fingerprint
        Those that replicas have responded to completely since.
    """

    instance: InstanceId
    incarnation: int
    age_seconds: float
    suspects: dict[Fingerprint, int]
    cleared: list[Fingerprint] = []


class CrashSummary(msgspec.Struct, array_like=True, frozen=True):
    """
    How much a process knows of one crash.

    Attributes
    ----------
    incarnation : int
        Start time of the crashed replica in milliseconds.
    suspect_count : int
        Number of its suspects, those included that were found to be sound.
    """

    instance: InstanceId
    incarnation: int
    suspect_count: int


class Evidence(msgspec.Struct, kw_only=True):
    """
    What is known of one crash.

    Attributes
    ----------
    reported_at : float
        Clock reading in seconds of the first report.
    changed_at : float
        Clock reading in seconds when a suspect was added last.
    seen : set
        All suspects that were reported, so that repeated reports have no effect.
    suspects : dict
        Those that were not found to be sound since, with their depths in the prompt.
    explained : bool
        Whether the crash has a known cause.
    """

    reported_at: float
    changed_at: float
    seen: set[Fingerprint]
    suspects: dict[Fingerprint, int]
    explained: bool = False


class KnownCrashes:
    """
    The crashes that one process knows.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._crashes: OrderedDict[Crash, Evidence] = OrderedDict()
        self._crashes_of: dict[Fingerprint, set[Crash]] = {}

    @property
    def crashes(self) -> Mapping[Crash, Evidence]:
        """All of them."""
        return self._crashes

    @property
    def has_suspects(self) -> bool:
        """Whether any crash has suspects."""
        return bool(self._crashes_of)

    @property
    def summaries(self) -> list[CrashSummary]:
        """Summaries of recent crashes whose reports should have reached everybody."""
        now = self._clock.now()
        return [
            CrashSummary(*crash, len(evidence.seen))
            for crash, evidence in self._select_latest()
            if now - evidence.changed_at >= SETTLING_SECONDS
            and now - evidence.reported_at < SUMMARY_SECONDS
        ][:MAX_SUMMARIES]

    @property
    def evidence(self) -> list[CrashEvidence]:
        """What is known of the latest crashes, for another process."""
        now = self._clock.now()
        return [
            CrashEvidence(
                *crash,
                max(now - evidence.reported_at, 0.0),
                dict(evidence.suspects),
                sorted(evidence.seen - evidence.suspects.keys()),
            )
            for crash, evidence in self._select_latest()
        ]

    def get_crashes_of(self, fingerprint: Fingerprint) -> Set[Crash]:
        """Return the crashes of a suspect since it was found to be sound."""
        return self._crashes_of.get(fingerprint, frozenset())

    def lacks_any(self, summaries: Iterable[CrashSummary]) -> bool:
        """Return whether another process knows more of any crash."""
        return any(self._lacks(item) for item in summaries)

    def record(self, crash: Crash, suspects: Iterable[tuple[Fingerprint, int]]) -> bool:
        """Record suspects of a crash; return whether there are new ones."""
        evidence = self._ensure(crash, self._clock.now())
        is_new = False
        for fingerprint, depth in suspects:
            is_new |= self._add_suspect(crash, evidence, fingerprint, depth)
        return is_new

    def merge(
        self, item: CrashEvidence, get_sound_time: Callable[[Fingerprint], float]
    ) -> bool:
        """
        Record what another process knows of a crash.

        Parameters
        ----------
        item : CrashEvidence
        get_sound_time : callable
            Returns the clock reading in seconds when a suspect was found to be sound;
            minus infinity if it wasn't.

        Returns
        -------
        bool
            Whether this changed anything.
        """
        if not 0.0 <= item.age_seconds < EXPLAINED_TTL_SECONDS:
            return False
        crash = (item.instance, Incarnation(item.incarnation))
        reported_at = self._clock.now() - item.age_seconds
        evidence = self._ensure(crash, reported_at)
        is_changed = False
        for fingerprint, depth in item.suspects.items():
            is_changed |= self._add_suspect(crash, evidence, fingerprint, depth)
        sound = [
            fingerprint
            for fingerprint in item.suspects
            if get_sound_time(fingerprint) >= evidence.reported_at
        ]
        for fingerprint in [*item.cleared, *sound]:
            evidence.seen.add(fingerprint)
            if fingerprint in evidence.suspects:
                self._drop_suspect(crash, fingerprint)
                is_changed = True
        return is_changed

    def clear_suspect(self, fingerprint: Fingerprint, at: float) -> bool:
        """Drop a suspect from crashes until a time; return whether it was in any."""
        crashes = self.get_crashes_of(fingerprint)
        cleared = [item for item in crashes if self._crashes[item].reported_at <= at]
        for crash in cleared:
            self._drop_suspect(crash, fingerprint)
        return bool(cleared)

    def remove(self, crash: Crash) -> None:
        """Forget a crash."""
        if crash in self._crashes:
            for fingerprint in list(self._crashes[crash].suspects):
                self._drop_suspect(crash, fingerprint)
            del self._crashes[crash]

    def expire(self) -> None:
        """Forget old crashes."""
        now = self._clock.now()
        expired = [
            crash
            for crash, evidence in self._crashes.items()
            if now - evidence.reported_at
            > (EXPLAINED_TTL_SECONDS if evidence.explained else UNEXPLAINED_TTL_SECONDS)
        ]
        for crash in expired:
            self.remove(crash)

    def _select_latest(self) -> list[tuple[Crash, Evidence]]:
        """Return crashes, the latest first, up to a number of suspects."""
        selected: list[tuple[Crash, Evidence]] = []
        room = MAX_DESCRIBED_SUSPECTS
        for crash, evidence in sorted(
            self._crashes.items(), key=lambda item: item[1].reported_at, reverse=True
        ):
            room -= len(evidence.seen)
            if room < 0:
                break
            selected.append((crash, evidence))
        return selected

    def _lacks(self, summary: CrashSummary) -> bool:
        crash = (summary.instance, Incarnation(summary.incarnation))
        evidence = self._crashes.get(crash)
        count = 0 if evidence is None else len(evidence.seen)
        return count < summary.suspect_count

    def _ensure(self, crash: Crash, reported_at: float) -> Evidence:
        evidence = self._crashes.get(crash)
        if evidence is None:
            self._make_room()
            evidence = self._crashes[crash] = Evidence(
                reported_at=reported_at, changed_at=-math.inf, seen=set(), suspects={}
            )
        return evidence

    def _add_suspect(
        self, crash: Crash, evidence: Evidence, fingerprint: Fingerprint, depth: int
    ) -> bool:
        """Add a suspect of a crash; return whether it is new."""
        if fingerprint in evidence.seen:
            return False
        evidence.seen.add(fingerprint)
        evidence.suspects[fingerprint] = depth
        evidence.changed_at = self._clock.now()
        self._crashes_of.setdefault(fingerprint, set()).add(crash)
        return True

    def _drop_suspect(self, crash: Crash, fingerprint: Fingerprint) -> None:
        del self._crashes[crash].suspects[fingerprint]
        crashes = self._crashes_of[fingerprint]
        crashes.discard(crash)
        if not crashes:
            del self._crashes_of[fingerprint]

    def _make_room(self) -> None:
        """Drop the oldest crash without a known cause, or the oldest one."""
        if len(self._crashes) < MAX_CRASHES:
            return
        unexplained = (
            crash for crash, item in self._crashes.items() if not item.explained
        )
        self.remove(next(unexplained, next(iter(self._crashes))))
