"""
Driver
======

An event queue on the paused clock.
"""

import heapq
from collections.abc import Callable
from functools import partial

from damasklead.clock import ManualClock

__all__ = ["Driver"]


class Driver:
    """Runs callbacks in the order of their times."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._sequence = 0

    def at(self, delay: float, callback: Callable[..., object], *args: object) -> None:
        """Run a callback with its arguments after ``delay`` seconds."""
        self._sequence += 1
        when = self.clock.now() + delay
        call: Callable[[], object] = partial(callback, *args)
        heapq.heappush(self._events, (when, self._sequence, call))

    def run_until(self, end: float) -> None:
        """Run all events up to a time in seconds."""
        while self._events and self._events[0][0] <= end:
            when, _, callback = heapq.heappop(self._events)
            self.clock.advance(max(0.0, when - self.clock.now()))
            callback()
