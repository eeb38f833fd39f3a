"""
API monitor
===========

Observes whether this gateway reaches the platform's API.  No I/O of its own.

Load pattern: the holder is cut off from the API while other gateways reach it.  It
hands the lease over; when the API is down for all, each further holder tries for twice
as long, so that the lease does not move without end.
"""

from collections.abc import Callable

from damasklead.clock import Clock
from damasklead.gateway.duties.base import (
    ApiError,
    ApiFault,
    CallIdentity,
    PlatformApi,
    UsageReport,
)
from damasklead.ids import DataCentre, ServiceName

__all__ = ["ApiMonitor"]

# A report is due 7.5 s after its window was closed, and the next holder waits for 3 s
# before its first call.
PATIENCE_SECONDS = 2.5
MAX_DOUBLINGS = 5
# One unanswered call may have been lost by chance.
MIN_FAILURES = 2


class ApiMonitor(PlatformApi):
    """
    Passes calls on, and remembers since when none was answered.

    Parameters
    ----------
    get_api : callable
        Returns the active platform API.
    clock : Clock

    Attributes
    ----------
    handovers : int
        Number of holders in turn, directly before this one, that did not reach the API.
    """

    def __init__(self, *, get_api: Callable[[], PlatformApi], clock: Clock) -> None:
        self._get_api = get_api
        self._clock = clock
        self._failing_since: float | None = None
        self._failures = 0
        self.handovers = 0

    @property
    def timeout_seconds(self) -> float:
        """Longest time from the start of a call until it has taken effect or failed."""
        return self._get_api().timeout_seconds

    @property
    def is_out_of_reach(self) -> bool:
        """Whether another gateway should try."""
        if self._failing_since is None or self._failures < MIN_FAILURES:
            return False
        patience = PATIENCE_SECONDS * 2 ** min(self.handovers, MAX_DOUBLINGS)
        return self._clock.now() - self._failing_since >= patience

    def reset(self, *, handovers: int) -> None:
        """Begin anew, since this gateway has acquired the lease."""
        self._failing_since = None
        self._failures = 0
        self.handovers = handovers

    def report_usage(
        self,
        report: UsageReport,
        *,
        identity: CallIdentity,
        may_send: Callable[[float], bool],
    ) -> None:
        """Report the usage of a window; raises ``ApiError``."""
        started_at = self._clock.now()
        try:
            self._get_api().report_usage(report, identity=identity, may_send=may_send)
        except ApiError as error:
            self._record_error(error, started_at)
            raise
        self.reset(handovers=0)

    def order_replicas(
        self,
        service: ServiceName,
        data_centre: DataCentre,
        *,
        count: int,
        preemptible: bool,
        identity: CallIdentity,
        may_send: Callable[[float], bool],
    ) -> None:
        """Order a number of replicas of one kind; raises ``ApiError``."""
        started_at = self._clock.now()
        try:
            self._get_api().order_replicas(
                service,
                data_centre,
                count=count,
                preemptible=preemptible,
                identity=identity,
                may_send=may_send,
            )
        except ApiError as error:
            self._record_error(error, started_at)
            raise
        self.reset(handovers=0)

    def _record_error(self, error: ApiError, started_at: float) -> None:
        if error.fault is not ApiFault.UNREACHABLE:
            # The API has responded.
            self.reset(handovers=0)
            return
        self._failures += 1
        if self._failing_since is None:
            self._failing_since = started_at
