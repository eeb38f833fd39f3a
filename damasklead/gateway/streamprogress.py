"""
Progress of a stream
====================

Tells a slow but sound stream from one that stalls or sends bytes that are no events.
No I/O.

Load pattern: a replica in trouble that sends a byte now and then, or one event without
end; its caller would wait until the route's timeout, and memory would grow.
"""

from damasklead.clock import Clock
from damasklead.failures import Failure
from damasklead.gateway.upstream_http import SendError

__all__ = ["StreamProgress"]

# Longest event of a stream.
EVENT_BYTES = 262_144


class StreamProgress:
    """
    The progress of one stream.

    Parameters
    ----------
    clock : Clock
    patience : float
        Seconds that the stream may be without a whole event.
    """

    def __init__(self, *, clock: Clock, patience: float) -> None:
        self._clock = clock
        self._patience = patience
        self._event_at = clock.now()

    @property
    def patience(self) -> float:
        """Seconds that the stream may be without a whole event."""
        return self._patience

    def check(self, *, events: bool, buffered_bytes: int) -> None:
        """
        Take in bytes of the stream.

        Parameters
        ----------
        events : bool
            Whether they complete an event.
        buffered_bytes : int
            What is kept of an event that is not whole.

        Raises
        ------
        SendError
            ``TIMED_OUT`` when no event came for too long, ``BROKEN`` when one is too
            long.
        """
        now = self._clock.now()
        if events:
            self._event_at = now
        elif now - self._event_at > self._patience:
            raise SendError(
                Failure.TIMED_OUT, f"no whole event in {now - self._event_at:.2f} s"
            )
        elif buffered_bytes > EVENT_BYTES:
            raise SendError(Failure.BROKEN, "an event is too long")
