"""
Audit trail
===========

Who changed what and when, as rows of the table service.

Entries keep events in memory while the store is out, up to a bound; what the bound
drops is counted and reported in the next event that is written.
"""

from collections import deque

import msgspec
from result import Err

from damasklead.protocol import Steps
from damasklead.stores.base import ABSENT, Commit, Condition, Put, Row

__all__ = [
    "AUDIT_TABLE",
    "AuditBuffer",
    "AuditEvent",
    "make_audit_write",
    "decode_audit_event",
]

AUDIT_TABLE = "audit"
MAX_BUFFERED_EVENTS = 1000
MILLISECONDS_PER_SECOND = 1000


class AuditEvent(msgspec.Struct, kw_only=True, frozen=True):
    """
    One change.

    Attributes
    ----------
    id : str
        Unique, so that writing the event twice stores it once.
    at : float
        Wall-clock time in seconds since 1970, for people to read; nothing is decided by
        it.
    who : str
        The operator or the instance.
    action, subject : str
        What was done, to what.
    before, after : str
        The state on both sides of the change.
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
    Return the write that stores an event, to be part of the commit that it describes.
    """
    key = f"{int(event.at * MILLISECONDS_PER_SECOND):015d}-{event.id}"
    return Put(table=AUDIT_TABLE, key=key, value=msgspec.json.encode(event))


def decode_audit_event(row: Row) -> AuditEvent:
    """Return the event in a row."""
    return msgspec.json.decode(row.value, type=AuditEvent)


class AuditBuffer:
    """Events of one entry that are not stored yet."""

    def __init__(self, *, max_events: int = MAX_BUFFERED_EVENTS) -> None:
        self.dropped_count = 0
        self._max_events = max_events
        self._events: deque[tuple[AuditEvent, tuple[Put, ...]]] = deque()

    def __len__(self) -> int:
        return len(self._events)

    def add_event(self, event: AuditEvent, *writes: Put) -> None:
        """
        Keep an event with the writes that belong to it, to be stored together.

        The oldest is dropped and counted when there is no room.
        """
        if len(self._events) >= self._max_events:
            self._events.popleft()
            self.dropped_count += 1
        self._events.append((event, writes))

    def flush_events(self) -> Steps[int]:
        """Store what is kept, one commit an event; returns how many were stored."""
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
