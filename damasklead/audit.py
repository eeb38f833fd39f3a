"""
Audit trail
===========

Records who changed what and when, as rows of the table service.

Entries buffer a limited number of events in memory while the store is unavailable; the
events that are dropped at the limit are counted in the entry's status.
"""

from collections import deque

import msgspec
from result import Err

from damasklead.decoding import decode_json
from damasklead.protocol import Steps
from damasklead.stores.base import ABSENT, Commit, Condition, Put, Row

__all__ = [
    "AUDIT_TABLE",
    "AuditBuffer",
    "AuditEvent",
    "decode_audit_event",
    "make_audit_write",
]

AUDIT_TABLE = "audit"
MAX_BUFFERED_EVENTS = 1000
MILLISECONDS_PER_SECOND = 1000


class AuditEvent(msgspec.Struct, kw_only=True, frozen=True):
    """
    One recorded change.

    Attributes
    ----------
    id : str
        Unique id, by which an event that is written twice is stored once.
    at : float
        Wall-clock time in seconds since 1970, for readers and the order of the rows
        only.
    who : str
        The operator or instance that made the change.
    action, subject : str
        What was done, and to what.
    before, after : str
        The state before and after the change.
    """

    id: str
    at: float
    who: str
    action: str
    subject: str
    before: str = ""
    after: str = ""


def make_audit_write(event: AuditEvent) -> Put:
    """
    Return the write that stores an event, to be added to the commit that it describes.
    """
    key = f"{int(event.at * MILLISECONDS_PER_SECOND):015d}-{event.id}"
    return Put(table=AUDIT_TABLE, key=key, value=msgspec.json.encode(event))


def decode_audit_event(row: Row) -> AuditEvent:
    """Return the event in a row."""
    return decode_json(row.value, type=AuditEvent)


class AuditBuffer:
    """
    Buffers the events of one entry until they are stored.

    Parameters
    ----------
    max_events : int
        Number of events that are buffered at most.

    Attributes
    ----------
    dropped_count : int
        Number of events that were dropped.
    """

    def __init__(self, *, max_events: int = MAX_BUFFERED_EVENTS) -> None:
        self.dropped_count = 0
        self._max_events = max_events
        self._events: deque[tuple[AuditEvent, tuple[Put, ...]]] = deque()

    def __len__(self) -> int:
        return len(self._events)

    def add_event(self, event: AuditEvent, *writes: Put) -> None:
        """
        Buffer an event and the writes that are to be stored in the same commit.

        If the buffer is full, its oldest event is dropped with its writes.
        """
        if len(self._events) >= self._max_events:
            self._events.popleft()
            self.dropped_count += 1
        self._events.append((event, writes))

    def flush_events(self) -> Steps[int]:
        """Store the buffered events, one commit each; returns the number stored."""
        stored = 0
        while self._events:
            first = self._events[0]
            result = yield self._make_commit(*first)
            if isinstance(result, Err):
                return stored
            if self._events and self._events[0] is first:
                self._events.popleft()
            stored += 1
        return stored

    def _make_commit(self, event: AuditEvent, writes: tuple[Put, ...]) -> Commit:
        put = make_audit_write(event)
        condition = Condition(table=put.table, key=put.key, version=ABSENT)
        return Commit(conditions=(condition,), writes=(put, *writes))
