"""
Schedule of a planned stop
==========================

Decides which requests are still taken while a gateway stops, and when those that have
not ended get their final answer.  No I/O.

Load pattern: the load balancer sends connections for some seconds after a stop has
begun, and callers use the connections that they have; long streams, slow requests and
those whose replica pauses would be cut when the process is killed.
"""

from collections import deque

from damasklead.clock import Clock
from damasklead.gateway.calls import Call
from damasklead.gateway.routing import RouteName

__all__ = ["StopSchedule"]

# Requests of a route by which the time is estimated that the next one takes, and the
# factor by which that one may take longer than all of them.
SAMPLES = 64
DURATION_FACTOR = 1.25
MIN_SAMPLES = 8
# Pause of a sound replica that is added to the estimate.
MAX_PAUSE_SECONDS = 1.5
# Time for the final answers of the requests that have not ended.
ANSWER_SECONDS = 0.2


class StopSchedule:
    """
    The time until which requests can end while a gateway stops.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._ends_at: float | None = None
        self._durations: dict[RouteName, deque[float]] = {}

    @property
    def has_begun(self) -> bool:
        """Whether the gateway is stopping."""
        return self._ends_at is not None

    @property
    def remaining_seconds(self) -> float | None:
        """Seconds until requests must have ended; ``None`` before a stop begins."""
        if self._ends_at is None:
            return None
        return max(0.0, self._ends_at - self._clock.now())

    def begin(self, *, seconds: float) -> None:
        """Begin a stop after which the process ends within a time in seconds."""
        self._ends_at = self._clock.now() + seconds - ANSWER_SECONDS

    def retain_routes(self, names: set[RouteName]) -> None:
        """Forget what requests of all other routes took."""
        self._durations = {
            name: item for name, item in self._durations.items() if name in names
        }

    def record_duration(self, call: Call) -> None:
        """Record that a request has ended with a complete response."""
        samples = self._durations.setdefault(call.route.name, deque(maxlen=SAMPLES))
        samples.append(self._clock.now() - call.arrival)

    def accepts(self, call: Call) -> bool:
        """Return whether a request can be expected to end before the process does."""
        remaining = self.remaining_seconds
        if remaining is None:
            return True
        seconds = call.deadline - self._clock.now()
        samples = self._durations.get(call.route.name, ())
        if len(samples) >= MIN_SAMPLES:
            estimate = DURATION_FACTOR * max(samples) + MAX_PAUSE_SECONDS
            seconds = min(seconds, estimate)
        return seconds <= remaining
