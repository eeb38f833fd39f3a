"""
Retry budget
============

Limits retries to a fraction of first attempts, so that they cannot amplify an overload.
"""

__all__ = ["RetryBudget"]

RETRY_FRACTION = 0.1  # of first attempts
BURST_RETRIES = 20.0


class RetryBudget:
    """
    A token bucket that first attempts fill and retries empty.

    Parameters
    ----------
    fraction : float
        Retries allowed for each first attempt.
    burst : float
        Retries allowed at once: the capacity of the bucket, which starts full.

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
        Change how many retries are allowed at once, such as after a replica's crash.

        A larger burst is available at once.
        """
        if burst > self._burst:
            self._tokens += burst - self._burst
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def record_first_attempt(self) -> None:
        """Add the retries that a first attempt allows."""
        self._tokens = min(self._burst, self._tokens + self._fraction)

    def acquire_retry(self) -> bool:
        """Take one retry from the budget; returns whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
