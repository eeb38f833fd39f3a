"""
Room for urgent streams
=======================

Decides how much less urgent prefill an engine is given while its urgent streams keep
their event gap target.

Load pattern: streams with a short event gap target burst together with long prompts of
less urgent requests.  Each step of an engine generates one token of its streams and
prefills a chunk of prompts, which takes most of the step's time.  An event holds
several tokens, so all prompts that are prefilled in its steps lengthen the gap before
it.  The prompts of the urgent streams themselves can't be put off: the time that they
are expected to take until the next event is left free.

No I/O: the inputs are prompts that were assigned and the time.
"""

import math

from damasklead.clock import Clock

__all__ = ["StreamRoom"]

# Fraction of the event gap target in which an engine may prefill prompts of any kind
# between two events.  The rest is for the steps that generate the event's tokens, and
# for machines that turn slower meanwhile.
PREFILL_FRACTION = 0.6
# Time constant of the rate at which urgent prompts arrive: a burst has to count within
# an event or two.
RATE_SECONDS = 0.7


class StreamRoom:
    """
    Room for less urgent prompts between the events of urgent streams.

    Parameters
    ----------
    clock : Clock
    event_gap : float
        Event gap target in seconds of the most urgent streams.

    Examples
    --------
    >>> from damasklead.clock import ManualClock
    >>> room = StreamRoom(clock=ManualClock(), event_gap=0.3)
    >>> round(room.compute_room(pending_seconds=0.05, slowdown=1.0, engine_count=2), 3)
    0.13
    """

    def __init__(self, *, clock: Clock, event_gap: float) -> None:
        self._clock = clock
        self._event_gap = event_gap
        self._recent_seconds = 0.0
        self._decayed_at = clock.now()

    @property
    def event_gap(self) -> float:
        """Event gap target in seconds of the most urgent streams."""
        return self._event_gap

    def record_urgent(self, seconds: float) -> None:
        """Record an urgent prompt, by the seconds that a usual engine prefills it."""
        self._decay()
        self._recent_seconds += seconds

    def compute_room(
        self, *, pending_seconds: float, slowdown: float, engine_count: int
    ) -> float:
        """
        Return the seconds of prefill that an engine may be given besides.

        Parameters
        ----------
        pending_seconds : float
            Seconds that the engine needs for prompts that are pending.
        slowdown : float
            How much longer work takes at the engine than usual.
        engine_count : int
            Number of engines among which urgent streams are distributed.
        """
        self._decay()
        rate = self._recent_seconds / RATE_SECONDS / max(1, engine_count)
        expected = rate * slowdown * self._event_gap
        return PREFILL_FRACTION * self._event_gap - expected - pending_seconds

    def _decay(self) -> None:
        now = self._clock.now()
        elapsed, self._decayed_at = now - self._decayed_at, now
        self._recent_seconds *= math.exp(-elapsed / RATE_SECONDS)
