"""
Event loop
==========

The clock of gevent's loop.
"""

import time

import gevent

from damasklead.clock import Clock

__all__ = ["LoopClock"]


class LoopClock(Clock):
    """Monotonic time, and waiting that lets other greenlets run."""

    def now(self) -> float:
        """Return seconds that also count while the machine is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """
        Return seconds since 1970, for records that people read; nothing is decided by
        it.
        """
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Let other greenlets run for some seconds."""
        gevent.sleep(seconds)
