"""
Attribution of crashes
======================

Finds what the requests that crash replicas have in common: a request that is repeated,
or a part of the prompt that different requests share.  No I/O.

Each crash has the suspects of all requests that it interrupted.  A suspect that a
replica has responded to completely is dropped from the crashes before.  What remains is
explained by as few causes as possible: the suspect of most crashes is the first cause,
the crashes that it explains are set aside, and so on; of several the one with which
most crashes can be explained.  Thus a prompt part is not blamed because crashing
requests happen to share it with sound ones, nor is a sound part because it was
interrupted by several crashes that another part explains.

Causes that other processes report are added.  A cause all of whose crashes other causes
explain is dropped, whether it was found here or reported, unless its reporter knows
more of its crashes: a process may have missed reports of crashes or of successes.

Load pattern: requests that have one crashing part in common and come once or many times
a second at any entry or gateway, beside sound requests with the same other parts.
"""

import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable

import msgspec

from damasklead.clock import Clock
from damasklead.crash_evidence import Crash, CrashEvidence, Evidence, KnownCrashes
from damasklead.ids import Fingerprint, Incarnation, InstanceId
from damasklead.util import stable_hash

__all__ = [
    "MAX_SUSPECT_EVENTS",
    "MIN_CRASHES",
    "CrashAttribution",
    "InterruptedRequest",
    "is_part",
    "make_part_fingerprint",
]

# Crashes that a cause has to explain.  A suspect that was sound before has to explain
# more: it is often interrupted by crashes that others cause.
MIN_CRASHES = 3
SOUND_SUSPECT_HANDICAP = 2
# Time after the first report of a crash until all reports are in.
PROPAGATION_SECONDS = 1.0
# Causes are computed again after this time at the latest, as crashes may have expired.
REVIEW_INTERVAL_SECONDS = 60.0
# Limit of the memory for suspects that were sound; LRU.
MAX_SOUND_SUSPECTS = 4_096
# Equally good causes that are compared in one review by what they leave unexplained.
MAX_COMPARISONS = 24
# Parts of one prompt that are considered, from its beginning.
MAX_PARTS = 32
# Keys of parts up to this length are kept readable.
MAX_KEY_CHARACTERS = 40
# A request is a more specific suspect than any part of its prompt.
_REQUEST_DEPTH = MAX_PARTS
# When a stream has sent this number of events, its replica has read the parts of the
# prompt; only the request itself may still crash it.
MAX_SUSPECT_EVENTS = 2
_PART_PREFIX = "part:"


class InterruptedRequest(msgspec.Struct, frozen=True):
    """
    A request that a crash interrupted.

    Attributes
    ----------
    fingerprint : Fingerprint
        Equal for each repetition of the request; empty if it is known to be sound.
    parts : tuple of Fingerprint
        Shared parts of its prompt, from the beginning.
    """

    fingerprint: Fingerprint
    parts: tuple[Fingerprint, ...] = ()


class _ReportedCause(msgspec.Struct, kw_only=True):
    """
    A cause of crashes that another process found.

    Attributes
    ----------
    crash_count : int
        Crashes that it was a suspect of, as far as the other process knew.
    expires_at : float
        Clock reading in seconds.
    since : float
        Clock reading in seconds of the crash that made it a cause; minus infinity if it
        isn't known.
    """

    crash_count: int
    expires_at: float
    since: float = -math.inf


def make_part_fingerprint(key: str) -> Fingerprint:
    """
    Return the fingerprint of a prompt part.

    Examples
    --------
    >>> make_part_fingerprint("5c1e07a2")
    'part:5c1e07a2'
    """
    if len(key) > MAX_KEY_CHARACTERS:
        key = f"{stable_hash(key):016x}"
    return Fingerprint(f"{_PART_PREFIX}{key}")


def is_part(fingerprint: Fingerprint) -> bool:
    """Return whether a fingerprint is that of a prompt part, not of a request."""
    return fingerprint.startswith(_PART_PREFIX)


class CrashAttribution:
    """
    The crashes that one process knows, and their causes.

    Parameters
    ----------
    clock : Clock
    propagation_seconds : float
        Seconds after the first report of a crash until all reports are in.
    """

    def __init__(
        self, *, clock: Clock, propagation_seconds: float = PROPAGATION_SECONDS
    ) -> None:
        self._clock = clock
        self._propagation_seconds = propagation_seconds
        self._known = KnownCrashes(clock=clock)
        self._sound: OrderedDict[Fingerprint, None] = OrderedDict()
        self._reported_causes: dict[Fingerprint, _ReportedCause] = {}
        self._causes: list[Fingerprint] = []
        self._review_at = clock.now()

    @property
    def has_suspects(self) -> bool:
        """Whether any crash has suspects."""
        return self._known.has_suspects

    @property
    def known_crashes(self) -> KnownCrashes:
        """The crashes with their suspects."""
        return self._known

    @property
    def reported_causes(self) -> dict[Fingerprint, float]:
        """The causes that other processes reported, with the times they expire at."""
        return {
            item: reported.expires_at
            for item, reported in self._reported_causes.items()
        }

    def set_propagation_time(self, seconds: float) -> None:
        """Set the seconds from the first report of a crash until all reports are in."""
        self._propagation_seconds = seconds

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether a suspect was in a crash and was not sound since."""
        return bool(self._known.get_crashes_of(fingerprint))

    def count_crashes(self, fingerprint: Fingerprint) -> int:
        """Return the number of crashes of a suspect since it was sound."""
        return len(self._known.get_crashes_of(fingerprint))

    def count_all_crashes(self, fingerprint: Fingerprint) -> int:
        """Return the number of crashes of a suspect that any process knows of."""
        reported = self._reported_causes.get(fingerprint)
        return max(
            self.count_crashes(fingerprint),
            0 if reported is None else reported.crash_count,
        )

    def get_cause_time(self, fingerprint: Fingerprint) -> float:
        """
        Return the clock reading in seconds of the crash that made a suspect a cause.

        Since then there were as many crashes as a cause has to explain.  Minus infinity
        if it isn't known.
        """
        reported = self._reported_causes.get(fingerprint)
        since = -math.inf if reported is None else reported.since
        times = sorted(
            self._known.crashes[crash].reported_at
            for crash in self._known.get_crashes_of(fingerprint)
        )
        return max(since, times[-MIN_CRASHES]) if len(times) >= MIN_CRASHES else since

    def record_crash(
        self,
        instance: InstanceId,
        incarnation: Incarnation,
        requests: Iterable[InterruptedRequest],
    ) -> bool:
        """
        Record the requests that the crash of a replica interrupted.

        Several reports of one crash count as one crash.

        Returns
        -------
        bool
            Whether the report names suspects that earlier ones of the crash did not.
        """
        crash = (instance, incarnation)
        is_new = self._known.record(crash, _list_suspects(requests))
        if is_new:
            self._schedule_review(crash)
        return is_new

    def record_evidence(
        self, item: CrashEvidence, get_sound_time: Callable[[Fingerprint], float]
    ) -> None:
        """
        Record what another process knows of a crash.

        Parameters
        ----------
        item : CrashEvidence
        get_sound_time : callable
            Returns the clock reading in seconds when a suspect was found to be sound;
            minus infinity if it wasn't.
        """
        if self._known.merge(item, get_sound_time):
            self._schedule_review((item.instance, Incarnation(item.incarnation)))

    def retract_crash(self, instance: InstanceId, incarnation: Incarnation) -> None:
        """Discard a crash, since the replica still runs in the same incarnation."""
        self._known.remove((instance, incarnation))

    def record_cause(
        self,
        fingerprint: Fingerprint,
        *,
        crash_count: int,
        seconds_left: float,
        since: float = -math.inf,
    ) -> None:
        """
        Record a cause that another process found.

        Parameters
        ----------
        fingerprint : Fingerprint
        crash_count : int
            Crashes that it is a suspect of, as far as the other process knows.
        seconds_left : float
            Time in seconds after which the cause is forgotten.
        since : float
            Clock reading in seconds of the crash that made it a cause; minus infinity
            if it isn't known.
        """
        now = self._clock.now()
        expires_at = now + seconds_left
        known = self._reported_causes.setdefault(
            fingerprint, _ReportedCause(crash_count=0, expires_at=expires_at)
        )
        known.expires_at = max(known.expires_at, expires_at)
        known.since = max(known.since, since)
        if crash_count > known.crash_count:
            known.crash_count = crash_count
            self._review_at = min(self._review_at, now)

    def forget_cause(self, fingerprint: Fingerprint, *, crash_count: int) -> bool:
        """
        Forget a cause that was reported, unless for more than this number of crashes.

        Returns
        -------
        bool
            Whether it was forgotten.
        """
        reported = self._reported_causes.get(fingerprint)
        if reported is None or reported.crash_count > crash_count:
            return False
        del self._reported_causes[fingerprint]
        self._review_at = min(self._review_at, self._clock.now())
        return True

    def record_success(
        self, fingerprints: Iterable[Fingerprint], *, at: float = math.inf
    ) -> list[Fingerprint]:
        """
        Record that a replica responded completely to a request.

        Parameters
        ----------
        fingerprints : iterable of Fingerprint
            The request's own, if any, and those of its prompt's parts.
        at : float
            Clock reading in seconds of the response if that was some time ago: what
            happened since still counts.

        Returns
        -------
        list of Fingerprint
            Those that were suspects until now.
        """
        cleared: list[Fingerprint] = []
        for fingerprint in fingerprints:
            self._sound[fingerprint] = None
            self._sound.move_to_end(fingerprint)
            reported = self._reported_causes.get(fingerprint)
            if reported is not None and reported.since <= at:
                del self._reported_causes[fingerprint]
                self._review_at = min(self._review_at, self._clock.now())
            if self._known.clear_suspect(fingerprint, at):
                self._review_at = min(self._review_at, self._clock.now())
                cleared.append(fingerprint)
        while len(self._sound) > MAX_SOUND_SUSPECTS:
            self._sound.popitem(last=False)
        return cleared

    def find_causes(self) -> list[Fingerprint]:
        """Return the causes of all crashes whose reports are in."""
        now = self._clock.now()
        if now >= self._review_at:
            self._review_at = now + REVIEW_INTERVAL_SECONDS
            self._known.expire()
            self._expire_reported_causes()
            self._causes = self._explain_crashes()
        return self._causes

    def _schedule_review(self, crash: Crash) -> None:
        """Compute the causes again when all reports of a crash are in."""
        reported_at = self._known.crashes[crash].reported_at
        self._review_at = min(self._review_at, reported_at + self._propagation_seconds)

    def _explain_crashes(self) -> list[Fingerprint]:
        unexplained: dict[Crash, Evidence] = {}
        for crash, evidence in self._known.crashes.items():
            due_at = evidence.reported_at + self._propagation_seconds
            if due_at <= self._clock.now():
                unexplained[crash] = evidence
            else:
                self._review_at = min(self._review_at, due_at)
        crashes = list(unexplained)
        causes: list[Fingerprint] = []
        comparisons = MAX_COMPARISONS
        while best := self._find_best_causes(unexplained.values()):
            best = best[: max(comparisons, 1)]
            comparisons -= len(best)
            cause = self._choose_start(best, unexplained)
            causes.append(cause)
            for crash in self._known.get_crashes_of(cause):
                unexplained.pop(crash, None)
        causes += self._reported_causes.keys() - set(causes)
        self._drop_redundant_causes(causes, crashes)
        for crash in crashes:
            evidence = self._known.crashes[crash]
            evidence.explained = not evidence.suspects.keys().isdisjoint(causes)
        return causes

    def _choose_start(
        self, causes: list[Fingerprint], unexplained: dict[Crash, Evidence]
    ) -> Fingerprint:
        """Return the cause that, with the best one of what it leaves, explains most."""
        if len(causes) == 1:
            return causes[0]
        return min(causes, key=lambda item: self._count_left(item, unexplained))

    def _count_left(
        self, cause: Fingerprint, unexplained: dict[Crash, Evidence]
    ) -> int:
        """Return the number of crashes that a cause and the best next one leave."""
        explained = set(self._known.get_crashes_of(cause))
        left = [item for crash, item in unexplained.items() if crash not in explained]
        for best in self._find_best_causes(left)[:1]:
            explained |= self._known.get_crashes_of(best)
        return len(unexplained.keys() - explained)

    def _find_best_causes(self, crashes: Iterable[Evidence]) -> list[Fingerprint]:
        """
        Return the suspects that explain most crashes, none if none explains enough.

        Of those in the same crashes only the most specific one is returned: if it is
        not the cause, further crashes will show it.  More specific ones come first.
        """
        counts: Counter[Fingerprint] = Counter()
        depths: dict[Fingerprint, int] = {}
        for evidence in crashes:
            counts.update(evidence.suspects.keys())
            depths |= evidence.suspects
        scores = {
            item: count - (SOUND_SUSPECT_HANDICAP if item in self._sound else 0)
            for item, count in counts.items()
            if count >= MIN_CRASHES
        }
        sufficient = [item for item, score in scores.items() if score >= MIN_CRASHES]
        best_score = max((scores[item] for item in sufficient), default=0)
        best = [item for item in sufficient if scores[item] == best_score]
        by_crashes = {
            frozenset(self._known.get_crashes_of(item)): item
            for item in sorted(best, key=lambda item: (depths[item], item))
        }
        return sorted(
            by_crashes.values(), key=lambda item: (depths[item], item), reverse=True
        )

    def _drop_redundant_causes(
        self, causes: list[Fingerprint], crashes: list[Crash]
    ) -> None:
        """
        Drop causes all of whose crashes the others explain, weak ones first.

        The suspect of most crashes may be a sound part that ran beside several causes,
        each of which explains crashes that the sound part does not.
        """
        cause_counts: dict[Crash, int] = {
            crash: len(self._known.crashes[crash].suspects.keys() & set(causes))
            for crash in crashes
        }
        for cause in sorted(causes, key=self._rank_cause):
            known = self._known.get_crashes_of(cause)
            is_fully_known = len(known) >= self.count_all_crashes(cause)
            if is_fully_known and all(cause_counts.get(item, 0) > 1 for item in known):
                causes.remove(cause)
                for crash in known:
                    cause_counts[crash] -= 1

    def _rank_cause(self, cause: Fingerprint) -> tuple[int, int, Fingerprint]:
        depth = max(
            (
                self._known.crashes[crash].suspects[cause]
                for crash in self._known.get_crashes_of(cause)
            ),
            default=0,
        )
        return self.count_all_crashes(cause), depth, cause

    def _expire_reported_causes(self) -> None:
        now = self._clock.now()
        self._reported_causes = {
            item: reported
            for item, reported in self._reported_causes.items()
            if now < reported.expires_at
        }
        for reported in self._reported_causes.values():
            self._review_at = min(self._review_at, reported.expires_at)


def _list_suspects(
    requests: Iterable[InterruptedRequest],
) -> list[tuple[Fingerprint, int]]:
    """Return the suspects of interrupted requests with their depths."""
    suspects: list[tuple[Fingerprint, int]] = []
    for request in requests:
        if request.fingerprint:
            suspects.append((request.fingerprint, _REQUEST_DEPTH))
        suspects.extend(
            (part, depth) for depth, part in enumerate(request.parts[:MAX_PARTS])
        )
    return suspects
