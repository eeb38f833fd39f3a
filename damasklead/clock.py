"""
Clock
=====

The source of time for every decision, and a clock that tests pause and advance.
"""

from abc import ABC, abstractmethod

__all__ = ["Clock", "ManualClock"]


class Clock(ABC):
    """Monotonic time in seconds."""

    @abstractmethod
    def now(self) -> float:
        """Return the monotonic time in seconds from an arbitrary origin."""


class ManualClock(Clock):
    """
    A clock that stands still until it is advanced.

    Parameters
    ----------
    start : float
        The first reading in seconds.

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
        """Return the current reading in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """
        Move the clock forward.

        Parameters
        ----------
        seconds : float
            The distance; a negative value raises ``ValueError``.
        """
        if seconds < 0:
            raise ValueError(f"a clock cannot go back by {-seconds} s")
        self._now += seconds
