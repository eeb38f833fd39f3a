"""
Fairness of admission
=====================

Finds the requests that are admitted much less often than others of their tier, because
of the length of their prompts or of their workspace.

No I/O: the inputs are requests and the time.
"""

from abc import ABC, abstractmethod
from collections.abc import Hashable
from typing import ClassVar

from damasklead.clock import Clock
from damasklead.gateway.calls import Call

__all__ = ["AdmissionFairness", "SizeFairness", "WorkspaceFairness"]

# Half-life of the counts of a group.
COUNT_HALF_LIFE_SECONDS = 4.0
# Interval between updates of the counts for their decay.
DECAY_INTERVAL_SECONDS = 0.25
# Minimum decayed number of requests of a group from which its fraction is compared.
MIN_SUBMITTED = 2.0
# A group is forgotten when fewer requests than this are left of its counts.
FORGOTTEN_SUBMITTED = 0.05


class _AdmissionCount:
    """Decaying numbers of submitted and admitted requests."""

    def __init__(self) -> None:
        self.submitted = 0.0
        self.admitted = 0.0

    @property
    def admitted_fraction(self) -> float:
        """Fraction of the submitted requests that were admitted."""
        return self.admitted / self.submitted if self.submitted else 1.0


class AdmissionFairness(ABC):
    """
    Counts the requests of each tier by groups.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    min_relative_admission : float
        Requests of a group are underserved while they are admitted less than this
        fraction as often as all requests of their tier.
    """

    min_relative_admission: ClassVar[float]

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._decayed_at = clock.now()
        # By tier and group; ``None`` stands for all groups of the tier.
        self._counts: dict[tuple[int, Hashable | None], _AdmissionCount] = {}

    def record_submitted(self, call: Call) -> None:
        """Count a request that arrives."""
        self._decay_counts()
        for count in self._get_counts(call):
            count.submitted += 1

    def record_admitted(self, call: Call) -> None:
        """Count a request that is admitted."""
        for count in self._get_counts(call):
            count.admitted += 1

    def is_underserved(self, call: Call) -> bool:
        """Return whether requests of this group are admitted much less often."""
        group = self._get_group(call)
        count = None if group is None else self._counts.get((call.tier, group))
        if count is None or count.submitted < MIN_SUBMITTED:
            return False
        tier_fraction = self._counts[call.tier, None].admitted_fraction
        return count.admitted_fraction < self.min_relative_admission * tier_fraction

    @abstractmethod
    def _get_group(self, call: Call) -> Hashable | None:
        """Return the group of a request, ``None`` if it is not counted."""

    def _get_counts(self, call: Call) -> list[_AdmissionCount]:
        """Return the counts of a request's tier and of its group in the tier."""
        group = self._get_group(call)
        if group is None:
            return []
        return [
            self._counts.setdefault((call.tier, name), _AdmissionCount())
            for name in (None, group)
        ]

    def _decay_counts(self) -> None:
        elapsed = self._clock.now() - self._decayed_at
        if elapsed < DECAY_INTERVAL_SECONDS:
            return
        self._decayed_at += elapsed
        factor = 0.5 ** (elapsed / COUNT_HALF_LIFE_SECONDS)
        for key, count in list(self._counts.items()):
            count.submitted *= factor
            count.admitted *= factor
            if count.submitted < FORGOTTEN_SUBMITTED:
                del self._counts[key]


class SizeFairness(AdmissionFairness):
    """
    Fairness between prompts whose lengths differ.

    Lengths that have the same binary logarithm, rounded down, form a group.

    Load pattern: for seconds, more prompts arrive than the engines can prefill.
    Serving short prompts first yields the most responses, but without a bound long
    prompts wait behind all newer short ones until they are rejected.
    """

    min_relative_admission = 0.65

    def _get_group(self, call: Call) -> int:
        return call.head.prompt_tokens.bit_length()


class WorkspaceFairness(AdmissionFairness):
    """
    Fairness between workspaces; requests without one are not counted.

    Load pattern: for seconds, one workspace sends most of the requests, about subjects
    that are cached, and more than the engines can prefill.  The few requests of another
    workspace have to be prefilled in full; they wait behind all newer ones of the first
    until they are rejected, or find the queue full.
    """

    # None is to be served less than a quarter as often; requests that are admitted
    # first are served some time later.
    min_relative_admission = 0.5

    def _get_group(self, call: Call) -> str | None:
        return None if call.workspace is None else call.workspace.name
