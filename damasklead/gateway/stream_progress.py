"""
Progress of a stream
====================

Detects a stream that sends bytes without completing an event, and lets a slow one
continue, also one that is silent for a while.  No I/O.

Load pattern: a faulty replica that sends single bytes at long intervals, or one event
that never ends.  Unchecked, the caller would wait until the route's timeout, and the
buffered bytes would grow.
"""

from damasklead.clock import Clock
from damasklead.event_buffer import MAX_EVENT_BYTES
from damasklead.failures import Failure
from damasklead.gateway.upstream_http import SendError

__all__ = ["StreamProgress"]

# Bytes at longer intervals are those of a replica that was silent in between.
MIN_SILENCE_SECONDS = 0.5


class StreamProgress:
    """
    Time in which a stream has sent bytes and no complete event.

    Parameters
    ----------
    clock : Clock
    event_timeout : float
        Seconds that it may do so; silences don't count.
    """

    def __init__(self, *, clock: Clock, event_timeout: float) -> None:
        self._clock = clock
        self._event_timeout = event_timeout
        self._last_event_at = self._last_data_at = clock.now()

    @property
    def stalled_seconds(self) -> float:
        """Seconds without a complete event, apart from silences."""
        return self._last_data_at - self._last_event_at

    def record_pause(self, seconds: float) -> None:
        """Record that the stream was not read for some time."""
        self._last_event_at += seconds
        self._last_data_at += seconds

    def record_data(self, *, events: bool, buffered_bytes: int) -> None:
        """
        Record that bytes of the stream arrived, and check its limits.

        Parameters
        ----------
        events : bool
            Whether the bytes complete an event.
        buffered_bytes : int
            Length of the incomplete event that is buffered.

        Raises
        ------
        SendError
            ``TIMED_OUT`` when no event was completed within the timeout, ``BROKEN``
            when the incomplete event is too long.
        """
        now = self._clock.now()
        silent_seconds = now - self._last_data_at
        if silent_seconds >= MIN_SILENCE_SECONDS:
            self._last_event_at += silent_seconds
        self._last_data_at = now
        if events:
            self._last_event_at = now
        elif self.stalled_seconds > self._event_timeout:
            raise SendError(
                Failure.TIMED_OUT,
                f"no complete event in {self.stalled_seconds:.2f} s",
            )
        elif buffered_bytes > MAX_EVENT_BYTES:
            raise SendError(Failure.BROKEN, "an event is too long")
