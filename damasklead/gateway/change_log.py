"""
Change log
==========

Recent changes of a list, with which gateways that lag only a little catch up without a
poll of the store.  No I/O.
"""

from collections import deque
from typing import Generic, TypeVar

import msgspec

from damasklead.clock import Clock
from damasklead.gateway.store_positions import INITIAL_POSITION, Position

__all__ = ["ChangeLog"]

T = TypeVar("T")

# A change is dropped when it is RETENTION_SECONDS old or was in MAX_TRANSMISSIONS
# broadcasts; a gateway that has missed it polls the store.
RETENTION_SECONDS = 2.0
MAX_TRANSMISSIONS = 2
# Limits the size of a broadcast, at about 100 bytes for each changed row.
MAX_ROWS = 60


class _ChangeSet(msgspec.Struct, kw_only=True):
    """
    Changes that were added together.

    Attributes
    ----------
    added_at : float
        Clock reading in seconds.
    cursor : Position
        Position of the list after these changes.
    rows : list
    transmissions : int
        Broadcasts that held the changes.
    """

    added_at: float
    cursor: Position
    rows: list
    transmissions: int = 0


class ChangeLog(Generic[T]):
    """
    The changes of a list after ``base`` up to ``cursor``.

    Parameters
    ----------
    clock : Clock

    Examples
    --------
    >>> from damasklead.clock import ManualClock
    >>> clock = ManualClock()
    >>> log = ChangeLog(clock=clock)
    >>> log.reset(Position(version=10))
    >>> log.append(["a"], Position(version=12))
    >>> log.base.version, log.cursor.version, log.rows
    (10, 12, ['a'])
    >>> clock.advance(RETENTION_SECONDS)
    >>> log.base.version, log.cursor.version, log.rows
    (12, 12, [])
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._base = INITIAL_POSITION
        self._cursor = INITIAL_POSITION
        self._change_sets: deque[_ChangeSet] = deque()

    @property
    def base(self) -> Position:
        """The position after which all changes are held."""
        self._trim()
        return self._base

    @property
    def cursor(self) -> Position:
        """The position up to which all changes are held."""
        return self._cursor

    @property
    def rows(self) -> list[T]:
        """The changed rows in the order of their changes."""
        self._trim()
        return [row for change_set in self._change_sets for row in change_set.rows]

    def reset(self, cursor: Position) -> None:
        """Drop all changes and start at a position, after the whole list was read."""
        self._change_sets.clear()
        self._base = self._cursor = cursor

    def append(self, rows: list[T], cursor: Position) -> None:
        """Append the changes up to a position."""
        self._cursor = max(self._cursor, cursor)
        if rows:
            change_set = _ChangeSet(
                added_at=self._clock.now(), cursor=self._cursor, rows=rows
            )
            self._change_sets.append(change_set)
        self._trim()

    def append_diff(self, rows: list[T], cursor: Position) -> None:
        """
        Append the difference between a list that was read again and its previous state.

        When the store's era has changed, earlier changes are dropped: the difference
        is valid only from the last position of the old era.
        """
        if cursor.era > self._cursor.era:
            self.reset(self._cursor)
        self.append(rows, cursor)

    def record_transmission(self) -> None:
        """Count one transmission of the changes."""
        for change_set in self._change_sets:
            change_set.transmissions += 1

    def _trim(self) -> None:
        oldest = self._clock.now() - RETENTION_SECONDS
        row_count = sum(len(change_set.rows) for change_set in self._change_sets)
        while self._change_sets and (
            self._change_sets[0].added_at <= oldest
            or self._change_sets[0].transmissions >= MAX_TRANSMISSIONS
            or row_count > MAX_ROWS
        ):
            change_set = self._change_sets.popleft()
            row_count -= len(change_set.rows)
            self._base = change_set.cursor
