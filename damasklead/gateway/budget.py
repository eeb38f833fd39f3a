"""
Shared retry budget
===================

Limits the retries of all gateways together, without a message per retry.

Each gateway may retry a fraction of its own recent requests, plus its share of a common
allowance.  The fractions add up to the limit whatever the number of gateways is; the
allowance is divided by the known number of gateways, or by a high assumed number before
any other gateway is known.
"""

from collections import deque

from damasklead.clock import Clock
from damasklead.ids import ServiceName

__all__ = ["SharedRetryBudget"]

# Fraction of the configured limits that is used, since the sliding windows of gateways
# don't coincide.
USED_FRACTION = 0.7
# Number of gateways that is assumed before any others are known.
ASSUMED_GATEWAYS = 16


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
        self._gateway_count = ASSUMED_GATEWAYS
        self._first_attempts: dict[ServiceName, deque[float]] = {}
        self._retries: dict[ServiceName, deque[float]] = {}

    def configure(self, *, ratio: float, allowance: float, window: float) -> None:
        """Apply the configured limits."""
        self._ratio = ratio * self._used_fraction
        self._allowance = allowance * self._used_fraction
        self._window = window

    def set_gateway_count(self, count: int) -> None:
        """Set the number of gateways that share the allowance."""
        self._gateway_count = max(1, count)

    def get_log_fields(self, service: ServiceName) -> dict[str, object]:
        """
        Return what the budget of a service rests on, for a log line.

        ``firsts`` and ``retries`` are the attempts of this process within the window,
        ``gateways`` the number of gateways that the allowance is divided by.
        """
        return {
            "firsts": len(self._get_recent(self._first_attempts, service)),
            "retries": len(self._get_recent(self._retries, service)),
            "gateways": self._gateway_count,
        }

    def record_first_attempt(self, service: ServiceName) -> None:
        """Count the first attempt of a request."""
        self._get_recent(self._first_attempts, service).append(self._clock.now())

    def acquire_retry(self, service: ServiceName) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        first_attempts = len(self._get_recent(self._first_attempts, service))
        retries = self._get_recent(self._retries, service)
        allowed = self._ratio * first_attempts + self._allowance / self._gateway_count
        if len(retries) + 1 > allowed:
            return False
        retries.append(self._clock.now())
        return True

    def _get_recent(
        self, times: dict[ServiceName, deque[float]], service: ServiceName
    ) -> deque[float]:
        """Return the clock times of a service that lie within the window."""
        recent = times.setdefault(service, deque())
        window_start = self._clock.now() - self._window
        while recent and recent[0] < window_start:
            recent.popleft()
        return recent
