"""
Events of a stream
==================

Cuts the bytes of a ``text/event-stream`` into whole events and keeps the last id, so
that a stream can go on elsewhere without a gap or a double.
"""

__all__ = ["EventSplitter"]

_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")


class EventSplitter:
    r"""
    Hands out whole events only.

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
        self._rest = b""
        self._last_id: bytes | None = None
        self._events = 0

    @property
    def last_id(self) -> bytes | None:
        """The id of the last whole event that has one."""
        return self._last_id

    @property
    def buffered_bytes(self) -> int:
        """How many bytes of an event that is not whole are kept."""
        return len(self._rest)

    @property
    def has_partial_event(self) -> bool:
        """Whether an event has begun and is not whole."""
        return bool(self._rest.strip())

    def feed(self, data: bytes) -> bytes:
        """Take in bytes; returns those that complete events, as they came."""
        data = self._rest + data
        end = max(
            (data.rfind(mark) + len(mark) for mark in _ENDS if mark in data), default=0
        )
        whole, self._rest = data[:end], data[end:]
        for line in whole.splitlines():
            if line.startswith(b"id:"):
                self._last_id = line[3:].strip()
            elif line.startswith(b"data:"):
                self._events += 1
        return whole

    def take_event_count(self) -> int:
        """Return the number of whole events since the last call."""
        count, self._events = self._events, 0
        return count
