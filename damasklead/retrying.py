"""
Retry budget
============

Bounds retries to a fraction of first attempts, so that retries can't feed an overload.
"""

__all__ = ["RetryBudget"]

RETRY_FRACTION = 0.1
BURST_RETRIES = 20.0  # retries


class RetryBudget:
    """
    A token bucket that first attempts fill and retries empty.

    Examples
    --------
    >>> budget = RetryBudget(fraction=0.5, burst=1.0)
    >>> budget.acquire_retry(), budget.acquire_retry()
    (True, False)
    >>> budget.record_first_attempt(); budget.record_first_attempt()
    >>> budget.acquire_retry()
    True
    """

    def __init__(
        self, *, fraction: float = RETRY_FRACTION, burst: float = BURST_RETRIES
    ) -> None:
        self._fraction = fraction
        self._burst = burst
        self._tokens = burst

    def resize(self, burst: float) -> None:
        """
        Change how many retries may come at once, such as after the crash of a replica.
        """
        if burst > self._burst:
            self._tokens += burst - self._burst
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def record_first_attempt(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._fraction)

    def acquire_retry(self) -> bool:
        """Take one retry; returns whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
