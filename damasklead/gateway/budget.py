"""
Shared retry budget
===================

Limits the retries of all gateways together, without a message per retry.

Each gateway may retry a fraction of its own recent requests, plus its share of a common
allowance.  The fractions add up to the limit whatever the number of gateways is.  The
allowance is divided by the number of gateways; three cases must not enlarge the sum of
the shares:

* A process that starts: the one before it may have spent the gateway's share in the
  same window.  During its first window it retries only in proportion to its requests.
* Gateways that are no longer known: their retries still count, and they may only be out
  of reach.  The divisor falls after ``COUNT_WINDOWS`` windows.
* A gateway that has not discovered the others yet: it has no share.

Load pattern: most requests fail at their replicas while gateways are killed and started
again, one after the other or all at once, several times within a window.
"""

from collections import deque

from damasklead.clock import Clock
from damasklead.ids import ServiceName

__all__ = ["SharedRetryBudget"]

# Fraction of the configured limits that is used, since the sliding windows of gateways
# don't coincide.
USED_FRACTION = 0.7
# The allowance is divided by the largest number of gateways within this many windows.
COUNT_WINDOWS = 3.0


class SharedRetryBudget:
    """
    The retries that one gateway may send, counted per service in a sliding window.

    Parameters
    ----------
    clock : Clock
    ratio : float
        Maximum number of retries per first attempt, over all gateways.
    allowance : float
        Retries per window in addition to the ratio, over all gateways.
    window : float
        Length of the sliding window in seconds.
    used_fraction : float
        Fraction of ``ratio`` and ``allowance`` that is used.

    Examples
    --------
    >>> from damasklead.clock import ManualClock
    >>> clock = ManualClock()
    >>> budget = SharedRetryBudget(
    ...     clock=clock, ratio=0.2, allowance=16.0, window=10.0, used_fraction=1.0)
    >>> llm = ServiceName("llm")
    >>> budget.acquire_retry(llm)
    False
    >>> budget.set_gateway_count(16)
    >>> clock.advance(10.0)
    >>> budget.acquire_retry(llm), budget.acquire_retry(llm)
    (True, False)
    >>> for _ in range(5):
    ...     budget.record_first_attempt(llm)
    >>> budget.acquire_retry(llm), budget.acquire_retry(llm)
    (True, False)
    """

    def __init__(
        self,
        *,
        clock: Clock,
        ratio: float,
        allowance: float,
        window: float,
        used_fraction: float = USED_FRACTION,
    ) -> None:
        self._clock = clock
        self._used_fraction = used_fraction
        self.configure(ratio=ratio, allowance=allowance, window=window)
        self._started_at = clock.now()
        # Clock times and numbers of gateways; the numbers decrease.
        self._counts: deque[tuple[float, int]] = deque()
        self._first_attempts: dict[ServiceName, deque[float]] = {}
        self._retries: dict[ServiceName, deque[float]] = {}

    def configure(self, *, ratio: float, allowance: float, window: float) -> None:
        """Apply the configured limits."""
        self._ratio = ratio * self._used_fraction
        self._allowance = allowance * self._used_fraction
        self._window = window

    def set_gateway_count(self, count: int) -> None:
        """Set the number of gateways that share the allowance."""
        now = self._clock.now()
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now, max(1, count)))
        while self._counts[0][0] < now - COUNT_WINDOWS * self._window:
            self._counts.popleft()

    def get_log_fields(self, service: ServiceName) -> dict[str, object]:
        """
        Return what the budget of a service rests on, for a log line.

        ``firsts`` and ``retries`` are the attempts of this process within the window,
        ``gateways`` the number of gateways that the allowance is divided by; 0 before
        it is known.
        """
        return {
            "firsts": len(self._get_recent(self._first_attempts, service)),
            "retries": len(self._get_recent(self._retries, service)),
            "gateways": self._get_divisor(),
        }

    def record_first_attempt(self, service: ServiceName) -> None:
        """Count the first attempt of a request."""
        self._get_recent(self._first_attempts, service).append(self._clock.now())

    def allows_retry(self, service: ServiceName) -> bool:
        """Return whether the budget allows a retry now."""
        first_attempts = len(self._get_recent(self._first_attempts, service))
        retries = len(self._get_recent(self._retries, service))
        return retries + 1 <= self._ratio * first_attempts + self._compute_share()

    def acquire_retry(self, service: ServiceName) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        if not self.allows_retry(service):
            return False
        self._get_recent(self._retries, service).append(self._clock.now())
        return True

    def _get_divisor(self) -> int:
        """Return the number of gateways that share the allowance; 0 if unknown."""
        return self._counts[0][1] if self._counts else 0

    def _compute_share(self) -> float:
        """Return this gateway's share of the allowance."""
        divisor = self._get_divisor()
        is_new = self._clock.now() - self._started_at < self._window
        return 0.0 if is_new or not divisor else self._allowance / divisor

    def _get_recent(
        self, times: dict[ServiceName, deque[float]], service: ServiceName
    ) -> deque[float]:
        """Return the clock times of a service that lie within the window."""
        recent = times.setdefault(service, deque())
        window_start = self._clock.now() - self._window
        while recent and recent[0] < window_start:
            recent.popleft()
        return recent
