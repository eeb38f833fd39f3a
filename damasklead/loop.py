"""
Event loop
==========

The clock of processes that run gevent's event loop.
"""

import time

import gevent

from damasklead.clock import Clock

__all__ = ["LoopClock"]


class LoopClock(Clock):
    """The system's clocks, with a sleep that yields to other greenlets."""

    def now(self) -> float:
        """Return monotonic seconds, which also count while the machine is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def get_unix_time(self) -> float:
        """
        Return the wall-clock time in seconds since 1970.

        It dates records and numbers incarnations. Decisions use ``now``.
        """
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Suspend the current greenlet for a number of seconds."""
        gevent.sleep(seconds)
