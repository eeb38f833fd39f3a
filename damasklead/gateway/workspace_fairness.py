"""
Fairness between workspaces
===========================

Finds the workspaces whose requests are admitted much less often than others of their
tier.

Load pattern: for seconds, one workspace sends most of the requests, about subjects that
are cached, and more than the engines can prefill.  The few requests of another
workspace have to be prefilled in full; they wait behind all newer ones of the first
until they are rejected, or find the queue full.

No I/O: the inputs are requests and the time.
"""

from damasklead.clock import Clock
from damasklead.gateway.calls import Call
from damasklead.ids import WorkspaceId

__all__ = ["WorkspaceFairness"]

# Requests of a workspace go first while they are admitted less than this fraction as
# often as all requests of their tier.  None is to be served less than a quarter as
# often; requests that are admitted first are served some time later.
MIN_RELATIVE_ADMISSION = 0.5
# Half-life of the counts of a workspace.
COUNT_HALF_LIFE_SECONDS = 4.0
# Interval between updates of the counts for their decay.
DECAY_INTERVAL_SECONDS = 0.25
# Minimum decayed number of requests of a workspace from which its fraction is compared.
MIN_SUBMITTED = 2.0
# A workspace is forgotten when fewer requests than this are left of its counts.
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


class WorkspaceFairness:
    """
    Counts the requests of each tier by workspace.

    Requests without a workspace are not counted.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._decayed_at = clock.now()
        self._counts: dict[tuple[int, WorkspaceId | None], _AdmissionCount] = {}

    def record_submitted(self, call: Call) -> None:
        """Count a request that arrives."""
        if call.workspace is None:
            return
        self._decay_counts()
        for count in self._get_counts(call):
            count.submitted += 1

    def record_admitted(self, call: Call) -> None:
        """Count a request that is admitted."""
        if call.workspace is not None:
            for count in self._get_counts(call):
                count.admitted += 1

    def is_underserved(self, call: Call) -> bool:
        """Return whether requests of this workspace are admitted much less often."""
        if call.workspace is None:
            return False
        count = self._counts.get((call.tier, call.workspace.name))
        if count is None or count.submitted < MIN_SUBMITTED:
            return False
        tier_fraction = self._counts[call.tier, None].admitted_fraction
        return count.admitted_fraction < MIN_RELATIVE_ADMISSION * tier_fraction

    def _get_counts(self, call: Call) -> list[_AdmissionCount]:
        """Return the counts of a request's tier and of its workspace in the tier."""
        assert call.workspace is not None
        return [
            self._counts.setdefault((call.tier, name), _AdmissionCount())
            for name in (None, call.workspace.name)
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
