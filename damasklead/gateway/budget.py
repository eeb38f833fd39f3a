"""
Shared retry budget
===================

Bounds the retries of all gateways together without a message for each of them.

Each gateway may repeat a fraction of its own recent requests, and a fixed part of the
common allowance.  The fractions add up whatever the number of gateways is; the
allowance is divided by the number of gateways known, and by a cautious one before any
is known.
"""

from collections import deque

from damasklead.clock import Clock
from damasklead.ids import ServiceName

__all__ = ["SharedRetryBudget"]

# Part of the operators' bound that is used, since windows of gateways don't coincide.
USED_FRACTION = 0.7
# Gateways assumed before any others are known.
ASSUMED_GATEWAYS = 16


class SharedRetryBudget:
    """
    The retries that one gateway may send.

    Parameters
    ----------
    clock : Clock
    ratio : float
        Retries for each first attempt, over all gateways.
    allowance : float
        Retries in a window beyond the ratio, over all gateways.
    window : float
        Seconds.

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
        """Take the operators' bounds in force."""
        self._ratio = ratio * self._used_fraction
        self._allowance = allowance * self._used_fraction
        self._window = window

    def set_gateway_count(self, count: int) -> None:
        """Take in how many gateways share the allowance."""
        self._gateway_count = max(1, count)

    def record_first_attempt(self, service: ServiceName) -> None:
        """Count a request's first attempt."""
        self._get_recent(self._first_attempts, service).append(self._clock.now())

    def acquire_retry(self, service: ServiceName) -> bool:
        """Take one retry; returns whether there was one."""
        firsts = len(self._get_recent(self._first_attempts, service))
        retries = self._get_recent(self._retries, service)
        allowed = self._ratio * firsts + self._allowance / self._gateway_count
        if len(retries) + 1 > allowed:
            return False
        retries.append(self._clock.now())
        return True

    def _get_recent(
        self, times: dict[ServiceName, deque[float]], service: ServiceName
    ) -> deque[float]:
        """Return a service's times within the window."""
        recent = times.setdefault(service, deque())
        begin = self._clock.now() - self._window
        while recent and recent[0] < begin:
            recent.popleft()
        return recent
