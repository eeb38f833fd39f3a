"""
Stall meter
===========

Notices when a process has not run for some time, since it was suspended or had no
processor.  What it received meanwhile waits in the kernel, and its senders may have
given up.
"""

import gevent

from damasklead.clock import Clock
from damasklead.unframed_ends import INTERRUPTION_SECONDS

__all__ = ["StallMeter"]

TICK_SECONDS = 0.1


class StallMeter:
    """
    Measures the latest stall of this process.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._ticked_at = clock.now()
        self._ended_at = self._ticked_at
        self._seconds = 0.0

    def run(self) -> None:
        """Tick until the task is stopped."""
        self._ticked_at = self._clock.now()
        while True:
            gevent.sleep(TICK_SECONDS)
            self._tick()

    def get_stall(self, since: float) -> float:
        """
        Return the length in seconds of the latest stall, 0 if it ended before a time.

        Parameters
        ----------
        since : float
            Clock time in seconds.
        """
        self._tick()
        return self._seconds if self._ended_at >= since else 0.0

    def _tick(self) -> None:
        now = self._clock.now()
        if now - self._ticked_at >= INTERRUPTION_SECONDS:
            self._seconds, self._ended_at = now - self._ticked_at, now
        self._ticked_at = now
