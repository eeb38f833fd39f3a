"""
Change log
==========

The newest changes of a list, for gateways that are not far behind.  No I/O.
"""

from collections import deque
from typing import Generic, TypeVar

import msgspec

from damasklead.clock import Clock
from damasklead.gateway.positions import INITIAL_POSITION, Position

__all__ = ["ChangeLog"]

T = TypeVar("T")

# Changes are handed on for so long and so often; whoever has missed them asks the
# store.
KEEP_SECONDS = 2.0
MOST_TELLINGS = 2
# Changed rows that are handed on at most, about 100 bytes each.
MOST_ROWS = 60


class _Step(msgspec.Struct, kw_only=True):
    at: float
    cursor: Position
    rows: list
    tellings: int = 0


class ChangeLog(Generic[T]):
    """
    Changes after ``base`` up to ``cursor``.

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
    >>> clock.advance(KEEP_SECONDS)
    >>> log.base.version, log.cursor.version, log.rows
    (12, 12, [])
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._base = INITIAL_POSITION
        self._cursor = INITIAL_POSITION
        self._steps: deque[_Step] = deque()

    @property
    def base(self) -> Position:
        """The cursor after which all changes are held."""
        self._trim()
        return self._base

    @property
    def cursor(self) -> Position:
        """The newest cursor."""
        return self._cursor

    @property
    def rows(self) -> list[T]:
        """The changes in order."""
        self._trim()
        return [row for step in self._steps for row in step.rows]

    def reset(self, cursor: Position) -> None:
        """Begin anew at a cursor, after a whole list was read."""
        self._steps.clear()
        self._base = self._cursor = cursor

    def append(self, rows: list[T], cursor: Position) -> None:
        """Take in the changes up to a cursor."""
        self._cursor = max(self._cursor, cursor)
        if rows:
            step = _Step(at=self._clock.now(), cursor=self._cursor, rows=rows)
            self._steps.append(step)
        self._trim()

    def append_diff(self, rows: list[T], cursor: Position) -> None:
        """
        Take in how a list that was read anew differs from the one known before.

        From an older era only the very point leads on at which that era was left.
        """
        if cursor.era > self._cursor.era:
            self.reset(self._cursor)
        self.append(rows, cursor)

    def record_transmission(self) -> None:
        """Take in that the changes were handed on once."""
        for step in self._steps:
            step.tellings += 1

    def _trim(self) -> None:
        begin = self._clock.now() - KEEP_SECONDS
        count = sum(len(step.rows) for step in self._steps)
        while self._steps and (
            self._steps[0].at <= begin
            or self._steps[0].tellings >= MOST_TELLINGS
            or count > MOST_ROWS
        ):
            step = self._steps.popleft()
            count -= len(step.rows)
            self._base = step.cursor
