"""
Events of a stream
==================

Splits the bytes of a ``text/event-stream`` into complete events and keeps the event
ids, so that another replica can resume the stream without lost or repeated events.
"""

import re

from damasklead.event_buffer import EventBuffer

__all__ = ["EventSplitter", "continues_after"]

_EVENT_DELIMITERS = (b"\n\n", b"\r\n\r\n", b"\r\r")
# Longer ids are no numbers; Python refuses to convert very long ones.
MAX_ID_DIGITS = 100
_BLANK_LINE = re.compile(rb"\r\n\r\n|\n\n|\r\r")


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
    >>> splitter.first_id, splitter.new_ids, splitter.has_contiguous_ids
    (b'1', [b'2'], True)
    """

    def __init__(self) -> None:
        self._buffer = EventBuffer(delimiters=_EVENT_DELIMITERS)
        self._first_id: bytes | None = None
        self._last_id: bytes | None = None
        self._has_events = False
        self._has_contiguous_ids = True
        self._event_count = 0
        self._block_count = 0
        self._new_ids: list[bytes | None] = []

    @property
    def has_events(self) -> bool:
        """Whether any event was complete; comments are none."""
        return self._has_events

    @property
    def first_id(self) -> bytes | None:
        """The id of the first complete event, ``None`` if it carries none."""
        return self._first_id

    @property
    def new_ids(self) -> list[bytes | None]:
        """The ids of the events that the last call of ``feed`` completed, if any."""
        return self._new_ids

    @property
    def last_id(self) -> bytes | None:
        """The id of the last complete event that carries one."""
        return self._last_id

    @property
    def has_contiguous_ids(self) -> bool:
        """Whether the ids of all events so far increase by one."""
        return self._has_contiguous_ids

    @property
    def buffered_bytes(self) -> int:
        """Length in bytes of the incomplete event that is buffered."""
        return len(self._buffer)

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return not self._buffer.is_blank

    @property
    def block_count(self) -> int:
        """Number of events and comments that the last call of ``feed`` completed."""
        return self._block_count

    def feed(self, data: bytes) -> bytes:
        """Add bytes of the stream; returns all complete events, unchanged."""
        complete = self._buffer.feed(data)
        events = _BLANK_LINE.split(complete) if complete else []
        self._new_ids = []
        for event in events:
            self._record_event(event)
        self._block_count = len(events)
        return complete

    def take_event_count(self) -> int:
        """Return the number of complete events since the last call, and reset it."""
        count, self._event_count = self._event_count, 0
        return count

    def _record_event(self, event: bytes) -> None:
        event_id: bytes | None = None
        has_fields = False
        for line in event.splitlines():
            has_fields = has_fields or (bool(line) and not line.startswith(b":"))
            if line.startswith(b"id:"):
                event_id = line[3:].strip()
            elif line.startswith(b"data:"):
                self._event_count += 1
        if not has_fields:
            return
        self._new_ids.append(event_id)
        if not self._has_events:
            self._has_events = True
            self._first_id = event_id
        elif event_id is not None or self._last_id is None:
            self._has_contiguous_ids = self._has_contiguous_ids and (
                _parse_id(event_id) is not None
                and _parse_id(event_id) == (_parse_id(self._last_id) or 0) + 1
            )
        if event_id is not None:
            self._last_id = event_id


def continues_after(
    event_id: bytes | None, last_id: bytes | None, *, contiguous: bool
) -> bool:
    """
    Return whether an event may follow another one in a resumed stream.

    Parameters
    ----------
    event_id : bytes or None
        Id of the event, if it carries one.
    last_id : bytes or None
        Id of the last event before, if any event before carried one.
    contiguous : bool
        Whether the ids of the stream increase by one.

    Examples
    --------
    >>> continues_after(b"3", b"2", contiguous=True)
    True
    >>> continues_after(b"4", b"2", contiguous=True)
    False
    >>> continues_after(b"8", b"4", contiguous=False)
    True
    >>> continues_after(None, b"2", contiguous=True)
    False
    >>> continues_after(b"1", None, contiguous=False)
    False
    """
    if last_id is None:
        # Nothing says which events the caller has.
        return False
    number, last_number = _parse_id(event_id), _parse_id(last_id)
    if number is None or last_number is None:
        # Ids that are no numbers have no order that could be checked.
        return event_id is not None and event_id != last_id
    return number == last_number + 1 if contiguous else number > last_number


def _parse_id(event_id: bytes | None) -> int | None:
    if event_id is None or len(event_id) > MAX_ID_DIGITS or not event_id.isdigit():
        return None
    return int(event_id)
