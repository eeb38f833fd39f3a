"""
Following the platform's lists
==============================

Keeps a list of the platform up to date and knows when it is not; the configuration is
followed here, the replicas in ``replicafollowing``.
"""

import math
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Generic, TypeVar

import gevent
from gevent.event import Event

from damasklead.clock import Clock
from damasklead.gateway.dialect import Changes, Feed, FeedError, FeedFault
from damasklead.gateway.journal import Journal
from damasklead.gateway.positions import START, Position
from damasklead.gateway.reading import (
    GATHER_SECONDS,
    READER_WAIT_SECONDS,
    ReadPlan,
)
from damasklead.gateway.routing import RoutingTable

__all__ = ["ConfigurationFollower", "Follower"]

T = TypeVar("T")

# After these the whole list has to be read again.
_STARTING_ANEW = (FeedFault.HISTORY_LOST, FeedFault.STALE, FeedFault.RESTORED)
# Pause before a list is read anew.
ANEW_SECONDS = 0.1
# While a gateway pauses after a failed call, what others tell is looked at so often.
LOOK_SECONDS = 0.3


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
    restored : callable
        Told where the list was read before and after the store came back from an older
        copy.
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
        restored: Callable[[Position, Position], None] = lambda _before, _after: None,
    ) -> None:
        self._name = name
        self._restored = restored
        self._gateways = gateways
        self._plan = plan
        self._notice = Event()
        self._feed = feed
        self._clock = clock
        self._journal = journal
        self._cursor: Position | None = None
        self._reached = START
        self._seen_at: float | None = None
        self._lost = False

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
                gevent.sleep(min(self.step(wait=step.wait), LOOK_SECONDS))
                self._wait_for_retry()
            else:
                self._notice.wait(timeout=step.wait)
                self._notice.clear()

    def _wait_for_retry(self) -> None:
        """Pause after a failed call, for as long as what others tell makes sense."""
        while left := self._plan.pause_left():
            self._notice.wait(timeout=min(left, LOOK_SECONDS))
            self._notice.clear()

    def step(self, *, wait: float = READER_WAIT_SECONDS) -> float:
        """Make one call; returns the seconds to wait before the next."""
        told = self._plan.told()
        try:
            changes = self._call(wait)
        except FeedError as error:
            return self._after_error(error)
        if self._cursor is not None and changes.cursor.era < self._cursor.era:
            return ANEW_SECONDS  # a newer era was handed over meanwhile
        self._seen_at = self._clock.now()
        self._regain()
        self._reach(changes.cursor)
        # What was handed over meanwhile may be newer than the answer.
        before = START if changes.whole or self._cursor is None else self._cursor
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
        if self._lost:
            self._lost = False
            self._journal.event("dependency-regained", feed=self._name)
        self.back()

    def _reach(self, cursor: Position) -> None:
        """Note up to where the list is known, and whether the store was restored."""
        before, self._reached = self._reached, cursor
        if before != START and cursor.era > before.era:
            self.restored(cursor)
            self._restored(before, cursor)

    def restored(self, cursor: Position) -> None:
        """Take in that the store has come back from an older copy."""

    @abstractmethod
    def mark(self, changes: Changes[T]) -> Position:
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
        if error.fault in _STARTING_ANEW:
            self._journal.event("list-restarted", feed=self._name, cause=str(error))
            self._cursor = None
            return ANEW_SECONDS
        if not self._lost:
            self._lost = True
            self._journal.event("dependency-lost", feed=self._name, cause=str(error))
        self.lost()
        spread = random.uniform(0.5, 1.0)
        self._plan.failed(gateways=self._gateways(), spread=spread)
        return self._plan.pause_left()


class ConfigurationFollower(Follower[RoutingTable]):
    """
    Follows the configuration's versions; an older version than the one in force is
    passed over.

    Parameters
    ----------
    changed : callable
        Told of each version that comes into force.
    unavailable : callable
        Told when the configuration can't be read.
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
        restored: Callable[[Position, Position], None] = lambda _before, _after: None,
        unavailable: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__(
            name="configuration",
            feed=feed,
            plan=plan,
            clock=clock,
            journal=journal,
            gateways=gateways,
            restored=restored,
        )
        self._changed = changed
        self._unavailable = unavailable
        self._table: RoutingTable | None = None

    @property
    def table(self) -> RoutingTable | None:
        """The configuration in force."""
        return self._table

    def take(self, changes: Changes[RoutingTable]) -> None:
        """Put the newest version into force."""
        for table in changes.items:
            self.offer(table)

    def lost(self) -> None:
        """Take in that the configuration can't be read."""
        self._unavailable()

    def mark(self, changes: Changes[RoutingTable]) -> Position:
        """Return the newest version; it is the operators' and knows no eras."""
        newest = max((table.version for table in changes.items), default=0)
        return Position(version=newest)

    def hand_over(self, table: RoutingTable) -> None:
        """Take in a version that another gateway has read."""
        self.offer(table)
        mark = Position(version=table.version)
        self._plan.handed(mark=mark, caught_up=mark)

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
