"""
Following the platform's lists
==============================

Keeps the configuration and the directory of replicas up to date, and knows when they
are not.
"""

import math
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Generic, TypeVar

import gevent
from gevent.event import Event

from damasklead.clock import Clock
from damasklead.gateway.changelog import ChangeLog
from damasklead.gateway.dialect import Changes, Feed, FeedError, FeedFault
from damasklead.gateway.directory import ListedRow, UpstreamDirectory
from damasklead.gateway.journal import Journal
from damasklead.gateway.reading import (
    GATHER_SECONDS,
    READER_WAIT_SECONDS,
    ReadPlan,
)
from damasklead.gateway.routing import RoutingTable

__all__ = ["ConfigurationFollower", "Follower", "UpstreamFollower"]

T = TypeVar("T")

# Pause after a failed call, doubled up to the longest.
FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.8
# With many gateways each asks a store that is away less often: one that reaches it
# tells the others.
PAUSE_SECONDS_PER_GATEWAY = 0.015


class Follower(ABC, Generic[T]):
    """
    Reads a list once and follows its changes, over failures and lost history.

    Parameters
    ----------
    name : str
        For logs.
    feed : callable
        Returns the feed in force.
    plan : ReadPlan
        When to ask.
    clock : Clock
    journal : Journal
    gateways : callable
        Returns how many gateways there are.
    """

    def __init__(
        self,
        *,
        name: str,
        feed: Callable[[], Feed[T]],
        plan: ReadPlan,
        clock: Clock,
        journal: Journal,
        gateways: Callable[[], int] = lambda: 1,
    ) -> None:
        self._name = name
        self._gateways = gateways
        self._plan = plan
        self._notice = Event()
        self._feed = feed
        self._clock = clock
        self._journal = journal
        self._cursor: int | None = None
        self._seen_at: float | None = None
        self._lost = False
        self._pause = FIRST_PAUSE_SECONDS

    @property
    def name(self) -> str:
        """The list's name."""
        return self._name

    @property
    def seen_at(self) -> float | None:
        """Clock reading when the list was last read; ``None`` before."""
        return self._seen_at

    def age(self) -> float:
        """Return the seconds since the list was last read; infinite before."""
        return math.inf if self._seen_at is None else self._clock.now() - self._seen_at

    def notify(self) -> None:
        """Look at once whether other gateways know of a change."""
        self._notice.set()

    def run(self) -> None:
        """Follow forever."""
        while True:
            step = self._plan.next()
            if step.ask:
                gevent.sleep(self.step(wait=step.wait))
            else:
                self._notice.wait(timeout=step.wait)
                self._notice.clear()

    def step(self, *, wait: float = READER_WAIT_SECONDS) -> float:
        """Make one call; returns the seconds to wait before the next."""
        told = self._plan.told()
        try:
            changes = self._call(wait)
        except FeedError as error:
            return self._after_error(error)
        self._seen_at = self._clock.now()
        self._regain()
        # What was handed over meanwhile may be newer than the answer.
        before = 0 if changes.whole or self._cursor is None else self._cursor
        self._cursor = max(before, changes.cursor)
        self.take(changes)
        self._plan.asked(told=told, mark=self.mark(changes))
        return GATHER_SECONDS if changes.items else 0.0

    def confirm(self) -> None:
        """
        Take in that another gateway has just read the list and nothing is missing here.

        It is as good as a call of one's own: what is removed later has not lapsed in an
        outage of the store.
        """
        if self._lost:
            self._regain()

    def _regain(self) -> None:
        self._pause = FIRST_PAUSE_SECONDS
        if self._lost:
            self._lost = False
            self._journal.event("dependency-regained", feed=self._name)
        self.back()

    @abstractmethod
    def mark(self, changes: Changes[T]) -> int:
        """Return a figure that grows with each change of the list."""

    @abstractmethod
    def take(self, changes: Changes[T]) -> None:
        """Take in what the feed told."""

    def lost(self) -> None:
        """Take in that the list can't be read."""

    def back(self) -> None:
        """Take in that the list can be read."""

    def _call(self, wait: float) -> Changes[T]:
        feed = self._feed()
        if self._cursor is None:
            return feed.read()
        return feed.follow(self._cursor, wait=wait)

    def _after_error(self, error: FeedError) -> float:
        if error.fault in (FeedFault.HISTORY_LOST, FeedFault.STALE):
            self._journal.event("list-restarted", feed=self._name, cause=str(error))
            self._cursor = None
            return FIRST_PAUSE_SECONDS
        if not self._lost:
            self._lost = True
            self._journal.event("dependency-lost", feed=self._name, cause=str(error))
        self.lost()
        most = max(MAX_PAUSE_SECONDS, PAUSE_SECONDS_PER_GATEWAY * self._gateways())
        pause, self._pause = self._pause, min(2 * self._pause, most)
        return pause * random.uniform(0.5, 1.0)


class ConfigurationFollower(Follower[RoutingTable]):
    """
    Follows the configuration's versions; an older version than the one in force is
    passed over.

    Parameters
    ----------
    changed : callable
        Told of each version that comes into force.
    """

    def __init__(
        self,
        *,
        feed: Callable[[], Feed[RoutingTable]],
        plan: ReadPlan,
        clock: Clock,
        journal: Journal,
        changed: Callable[[RoutingTable], None],
        gateways: Callable[[], int] = lambda: 1,
    ) -> None:
        super().__init__(
            name="configuration",
            feed=feed,
            plan=plan,
            clock=clock,
            journal=journal,
            gateways=gateways,
        )
        self._changed = changed
        self._table: RoutingTable | None = None

    @property
    def table(self) -> RoutingTable | None:
        """The configuration in force."""
        return self._table

    def take(self, changes: Changes[RoutingTable]) -> None:
        """Put the newest version into force."""
        for table in changes.items:
            self.offer(table)

    def mark(self, changes: Changes[RoutingTable]) -> int:
        """Return the newest version."""
        return max((table.version for table in changes.items), default=0)

    def hand_over(self, table: RoutingTable) -> None:
        """Take in a version that another gateway has read."""
        self.offer(table)
        self._plan.handed(mark=table.version, caught_up=table.version)

    def offer(self, table: RoutingTable) -> None:
        """Put a version into force if it is newer than the present one."""
        before = 0 if self._table is None else self._table.version
        if table.version <= before:
            return
        self._table = table
        self._journal.event(
            "configuration",
            before=before,
            version=table.version,
            routes=len(table.routes),
        )
        self._changed(table)


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
    ) -> None:
        super().__init__(
            name="replicas",
            feed=feed,
            plan=plan,
            clock=clock,
            journal=journal,
            gateways=gateways,
        )
        self.log: ChangeLog[ListedRow] = ChangeLog(clock=clock)
        self._directory = directory
        self._changed = changed

    def take(self, changes: Changes[ListedRow]) -> None:
        """Take in entries of the list."""
        if changes.whole:
            self.log.restart(changes.cursor)
        else:
            news = [row for row in changes.items if self._directory.differs(row)]
            self.log.add(news, changes.cursor)
        self._note(self._directory.apply(changes.items, whole=changes.whole))

    def mark(self, changes: Changes[ListedRow]) -> int:
        """Return the newest entry's version."""
        return max((row.version for row in changes.items), default=0)

    def offer(self, rows: list[ListedRow], cursor: int) -> None:
        """Take in the whole list as another gateway knows it."""
        if self._cursor is None and cursor > 0:
            self._cursor = cursor
            self.log.restart(cursor)
            self._plan.handed(mark=_newest(rows), caught_up=cursor)
        self._note(self._directory.apply(rows, whole=False))

    def hand_over(self, base: int, cursor: int, rows: list[ListedRow]) -> None:
        """Take in the changes after one cursor up to another one, if none is missed."""
        if self._cursor is None or not base <= self._cursor < cursor:
            return
        known = self._cursor
        self._cursor = cursor
        news = [row for row in rows if row.version > known]
        self.log.add(news, cursor)
        self._plan.handed(mark=_newest(rows), caught_up=cursor)
        self._note(self._directory.apply(news, whole=False))

    @property
    def cursor(self) -> int:
        """Up to where the list was read; 0 before."""
        return self._cursor or 0

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


def _newest(rows: list[ListedRow]) -> int:
    return max((row.version for row in rows), default=0)
