"""
Following the replicas
======================

Keeps the directory of replicas up to date, and the newest changes for other gateways.
"""

from collections.abc import Callable

from damasklead.clock import Clock
from damasklead.gateway.changelog import ChangeLog
from damasklead.gateway.dialect import Changes, Feed
from damasklead.gateway.directory import ListedRow, UpstreamDirectory
from damasklead.gateway.following import Follower
from damasklead.gateway.journal import Journal
from damasklead.gateway.positions import START, Position
from damasklead.gateway.reading import ReadPlan

__all__ = ["UpstreamFollower"]


class UpstreamFollower(Follower[ListedRow]):
    """
    Follows the list of replicas.

    Parameters
    ----------
    directory : UpstreamDirectory
    changed : callable
        Told that the directory has changed.

    Attributes
    ----------
    log : ChangeLog
        The newest changes, for other gateways.
    """

    def __init__(
        self,
        *,
        feed: Callable[[], Feed[ListedRow]],
        plan: ReadPlan,
        clock: Clock,
        journal: Journal,
        directory: UpstreamDirectory,
        changed: Callable[[], None],
        gateways: Callable[[], int] = lambda: 1,
        restored: Callable[[Position, Position], None] = lambda _before, _after: None,
    ) -> None:
        super().__init__(
            name="replicas",
            feed=feed,
            plan=plan,
            clock=clock,
            journal=journal,
            gateways=gateways,
            restored=restored,
        )
        self.log: ChangeLog[ListedRow] = ChangeLog(clock=clock)
        self._directory = directory
        self._changed = changed

    def take(self, changes: Changes[ListedRow]) -> None:
        """Take in entries of the list."""
        if changes.whole:
            self._log_whole(changes)
        else:
            news = [row for row in changes.items if self._directory.differs(row)]
            self.log.add(news, changes.cursor)
        self._note(self._directory.apply(changes.items, whole=changes.whole))

    def _log_whole(self, changes: Changes[ListedRow]) -> None:
        """
        Hand on what differs in a list that was read anew.

        Others need not read it as well where they know what this gateway knew.
        """
        before = self.log.cursor
        if before == START or before >= changes.cursor:
            self.log.restart(changes.cursor)
            return
        present = {row.instance for row in changes.items}
        news = [row for row in changes.items if self._directory.differs(row)]
        news += [
            ListedRow(instance=row.instance, position=changes.cursor, record=None)
            for row in self._directory.rows()
            if row.instance not in present
        ]
        self.log.bridge(news, changes.cursor)

    def mark(self, changes: Changes[ListedRow]) -> Position:
        """Return the newest entry's version."""
        return _newest(changes.items)

    def offer(self, rows: list[ListedRow], cursor: Position) -> None:
        """Take in the whole list as another gateway knows it."""
        if self._cursor is None and cursor > START:
            self._cursor = cursor
            self._reach(cursor)
            self.log.restart(cursor)
            self._plan.handed(mark=_newest(rows), caught_up=cursor)
        self._note(self._directory.apply(rows, whole=False))

    def hand_over(
        self,
        base: Position,
        cursor: Position,
        rows: list[ListedRow],
    ) -> None:
        """Take in the changes after one cursor up to another one, if none is missed."""
        if self._cursor is None or not base <= self._cursor < cursor:
            return
        known = self._cursor
        restored = cursor.era > known.era
        if restored and known != base:
            # It may know of changes that neither the sender nor the store knows now.
            return
        self._cursor = cursor
        self._reach(cursor)
        news = [row for row in rows if row.position > known]
        if restored:
            self.log.bridge(news, cursor)
        else:
            self.log.add(news, cursor)
        self._plan.handed(mark=_newest(rows), caught_up=cursor)
        self._note(self._directory.apply(news, whole=False))

    @property
    def cursor(self) -> Position:
        """Up to where the list was read; ``START`` before."""
        return self._cursor or START

    def restored(self, cursor: Position) -> None:
        """Take in that the store has come back from an older copy."""
        self._directory.list_restored(cursor)

    def lost(self) -> None:
        """Take in that the list can't be read: removals may be lapses."""
        self._directory.list_lost()

    def back(self) -> None:
        """Take in that the list can be read."""
        self._directory.list_back()

    def expire(self) -> None:
        """Drop replicas that have not come back after an outage."""
        self._note(self._directory.expire())

    def _note(self, changes: list[str]) -> None:
        if changes:
            self._journal.event("replicas", changes="; ".join(changes))
            self._changed()


def _newest(rows: list[ListedRow]) -> Position:
    return max((row.position for row in rows), default=START)
