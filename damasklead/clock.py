"""
Clock
=====

The interface of the clock that all decisions read, and a clock for tests that is
advanced by hand.
"""

from abc import ABC, abstractmethod

__all__ = ["Clock", "ManualClock"]


class Clock(ABC):
    """Monotonic time in seconds."""

    @abstractmethod
    def now(self) -> float:
        """Return the monotonic time in seconds since an arbitrary origin."""


class ManualClock(Clock):
    """
    A clock that stands still until it is advanced.

    Parameters
    ----------
    start : float
        The initial time in seconds.

    Examples
    --------
    >>> clock = ManualClock(start=10.0)
    >>> clock.advance(2.5)
    >>> clock.now()
    12.5
    """

    def __init__(self, *, start: float = 0.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the current time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """
        Advance the clock.

        Parameters
        ----------
        seconds : float
            Seconds to add to the time.

        Raises
        ------
        ValueError
            When ``seconds`` is negative.
        """
        if seconds < 0:
            raise ValueError(f"a monotonic clock cannot go back by {-seconds} s")
        self._now += seconds
