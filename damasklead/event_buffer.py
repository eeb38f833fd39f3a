r"""
Event buffer
============

Buffers the bytes of a ``text/event-stream`` until they complete an event.  No I/O.

Load pattern: an event that comes in pieces of a byte; each piece is searched once.
"""

from collections.abc import Sequence

__all__ = ["MAX_EVENT_BYTES", "EventBuffer"]

# Longest incomplete event that is buffered.
MAX_EVENT_BYTES = 262_144


class EventBuffer:
    r"""
    The end of a stream that doesn't complete an event yet.

    Parameters
    ----------
    delimiters : sequence of bytes
        The blank lines that end an event.

    Examples
    --------
    >>> buffer = EventBuffer(delimiters=(b"\n\n",))
    >>> buffer.feed(b"data: a\n"), len(buffer)
    (b'', 8)
    >>> buffer.feed(b"\ndata: b\n\nda"), len(buffer)
    (b'data: a\n\ndata: b\n\n', 2)
    """

    def __init__(self, *, delimiters: Sequence[bytes]) -> None:
        self._delimiters = delimiters
        self._max_partial_delimiter = max(map(len, delimiters)) - 1
        self._data = bytearray()

    def __len__(self) -> int:
        return len(self._data)

    @property
    def is_blank(self) -> bool:
        """Whether nothing but white space is buffered."""
        return not self._data.strip()

    def feed(self, data: bytes) -> bytes:
        """Add bytes of the stream; returns all complete events, unchanged."""
        # A delimiter before this would have completed the event.
        start = max(0, len(self._data) - self._max_partial_delimiter)
        self._data += data
        end = 0
        for delimiter in self._delimiters:
            found_at = self._data.rfind(delimiter, start)
            if found_at >= 0:
                end = max(end, found_at + len(delimiter))
        complete = bytes(self._data[:end])
        del self._data[:end]
        return complete
