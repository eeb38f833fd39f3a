"""
Events of a stream
==================

Splits the bytes of a ``text/event-stream`` into complete events and keeps the last
event id, so that another replica can resume the stream without lost or repeated events.
"""

__all__ = ["EventSplitter"]

_EVENT_DELIMITERS = (b"\n\n", b"\r\n\r\n", b"\r\r")


class EventSplitter:
    r"""
    Buffers the bytes of a stream until they complete an event.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.has_partial_event
    (b'1', True)
    >>> splitter.feed(b"ta: b\n\n")
    b'id: 2\ndata: b\n\n'
    >>> splitter.last_id, splitter.has_partial_event, splitter.take_event_count()
    (b'2', False, 2)
    """

    def __init__(self) -> None:
        self._buffer = b""
        self._last_id: bytes | None = None
        self._event_count = 0

    @property
    def last_id(self) -> bytes | None:
        """The id of the last complete event that carries one."""
        return self._last_id

    @property
    def buffered_bytes(self) -> int:
        """Length in bytes of the incomplete event that is buffered."""
        return len(self._buffer)

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> bytes:
        """Add bytes of the stream; returns all complete events, unchanged."""
        data = self._buffer + data
        end = max(
            (
                data.rfind(delimiter) + len(delimiter)
                for delimiter in _EVENT_DELIMITERS
                if delimiter in data
            ),
            default=0,
        )
        complete, self._buffer = data[:end], data[end:]
        for line in complete.splitlines():
            if line.startswith(b"id:"):
                self._last_id = line[3:].strip()
            elif line.startswith(b"data:"):
                self._event_count += 1
        return complete

    def take_event_count(self) -> int:
        """Return the number of complete events since the last call, and reset it."""
        count, self._event_count = self._event_count, 0
        return count
