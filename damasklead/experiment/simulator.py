"""
Discrete-event simulator
========================

An event queue with a simulated clock, which jumps from event to event.
"""

import heapq
from collections.abc import Callable
from functools import partial

from damasklead.clock import ManualClock

__all__ = ["Simulator"]


class Simulator:
    """Runs callbacks in the order of their times; equal times, as scheduled."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._sequence = 0

    def schedule(
        self, delay: float, callback: Callable[..., object], *args: object
    ) -> None:
        """Run a callback with its arguments after ``delay`` simulated seconds."""
        self._sequence += 1
        when = self.clock.now() + delay
        call: Callable[[], object] = partial(callback, *args)
        heapq.heappush(self._events, (when, self._sequence, call))

    def run_until(self, end: float) -> None:
        """Run all events up to ``end``, in seconds since the start of the clock."""
        while self._events and self._events[0][0] <= end:
            when, _, callback = heapq.heappop(self._events)
            self.clock.advance(max(0.0, when - self.clock.now()))
            callback()
