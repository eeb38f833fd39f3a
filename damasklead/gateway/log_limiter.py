"""
Log limiter
===========

Limits how often an event is logged that many responses may repeat.  No I/O.
"""

import math

__all__ = ["LogLimiter"]

# Minimum interval between two log lines.
LOG_INTERVAL_SECONDS = 10.0


class LogLimiter:
    """
    Counts the occurrences of an event between the log lines on it.

    Attributes
    ----------
    total_count : int
        Number of occurrences since the start.

    Examples
    --------
    >>> limiter = LogLimiter()
    >>> [limiter.record(now) for now in (1.0, 2.0, 3.0, 11.5)]
    [1, 0, 0, 3]
    """

    def __init__(self) -> None:
        self.total_count = 0
        self._logged_at = -math.inf
        self._count = 0

    def record(self, now: float) -> int:
        """
        Record an occurrence.

        Parameters
        ----------
        now : float
            Clock time in seconds.

        Returns
        -------
        int
            Number of occurrences since the last log line if one is due; 0 otherwise.
        """
        self.total_count += 1
        self._count += 1
        if now - self._logged_at < LOG_INTERVAL_SECONDS:
            return 0
        count, self._count = self._count, 0
        self._logged_at = now
        return count
