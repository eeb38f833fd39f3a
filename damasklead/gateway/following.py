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
from damasklead.gateway.positions import INITIAL_POSITION, Position
from damasklead.gateway.reading import (
    CHANGE_BATCH_SECONDS,
    LONG_POLL_SECONDS,
    ReadPlan,
)
from damasklead.gateway.routing import RoutingTable

__all__ = ["ConfigurationFollower", "Follower"]

T = TypeVar("T")

# After these the whole list has to be read again.
_RESYNC_FAULTS = (FeedFault.HISTORY_LOST, FeedFault.STALE, FeedFault.RESTORED)
# Pause before a list is read anew.
RESYNC_DELAY_SECONDS = 0.1
# While a gateway pauses after a failed call, what others tell is looked at so often.
NOTICE_CHECK_SECONDS = 0.3


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
    gateway_count : callable
        Returns how many gateways there are.
    on_restore : callable
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
        gateway_count: Callable[[], int] = lambda: 1,
        on_restore: Callable[[Position, Position], None] = lambda _before, _after: None,
    ) -> None:
        self._name = name
        self._on_restore = on_restore
        self._gateway_count = gateway_count
        self._plan = plan
        self._notification = Event()
        self._feed = feed
        self._clock = clock
        self._journal = journal
        self._cursor: Position | None = None
        self._last_position = INITIAL_POSITION
        self._last_read_at: float | None = None
        self._is_unavailable = False

    @property
    def name(self) -> str:
        """The list's name."""
        return self._name

    @property
    def last_read_at(self) -> float | None:
        """Clock reading when the list was last read; ``None`` before."""
        return self._last_read_at

    def get_age(self) -> float:
        """Return the seconds since the list was last read; infinite before."""
        return (
            math.inf
            if self._last_read_at is None
            else self._clock.now() - self._last_read_at
        )

    def notify(self) -> None:
        """Look at once whether other gateways know of a change."""
        self._notification.set()

    def run(self) -> None:
        """Follow forever."""
        while True:
            step = self._plan.next_step()
            if step.should_poll:
                gevent.sleep(
                    min(self.poll_once(wait=step.wait_seconds), NOTICE_CHECK_SECONDS)
                )
                self._wait_for_retry()
            else:
                self._notification.wait(timeout=step.wait_seconds)
                self._notification.clear()

    def _wait_for_retry(self) -> None:
        """Pause after a failed call, for as long as what others tell makes sense."""
        while left := self._plan.get_remaining_backoff():
            self._notification.wait(timeout=min(left, NOTICE_CHECK_SECONDS))
            self._notification.clear()

    def poll_once(self, *, wait: float = LONG_POLL_SECONDS) -> float:
        """Make one call; returns the seconds to wait before the next."""
        reported = self._plan.get_reported_change()
        try:
            changes = self._call(wait)
        except FeedError as error:
            return self._handle_error(error)
        if self._cursor is not None and changes.cursor.era < self._cursor.era:
            return RESYNC_DELAY_SECONDS  # a newer era was handed over meanwhile
        self._last_read_at = self._clock.now()
        self._record_recovery()
        self._advance_to(changes.cursor)
        # What was handed over meanwhile may be newer than the answer.
        before = (
            INITIAL_POSITION if changes.whole or self._cursor is None else self._cursor
        )
        self._cursor = max(before, changes.cursor)
        self.apply_changes(changes)
        self._plan.record_response(
            reported=reported, last_change=self.get_last_change(changes)
        )
        return CHANGE_BATCH_SECONDS if changes.items else 0.0

    def record_peer_confirmation(self) -> None:
        """
        Take in that another gateway has just read the list and nothing is missing here.

        It is as good as a call of one's own: what is removed later has not lapsed in an
        outage of the store.
        """
        if self._is_unavailable:
            self._record_recovery()

    def _record_recovery(self) -> None:
        if self._is_unavailable:
            self._is_unavailable = False
            self._journal.event("dependency-regained", feed=self._name)
        self.handle_recovery()

    def _advance_to(self, cursor: Position) -> None:
        """Note up to where the list is known, and whether the store was restored."""
        before, self._last_position = self._last_position, cursor
        if before != INITIAL_POSITION and cursor.era > before.era:
            self.handle_restore(cursor)
            self._on_restore(before, cursor)

    def handle_restore(self, cursor: Position) -> None:
        """Take in that the store has come back from an older copy."""

    @abstractmethod
    def get_last_change(self, changes: Changes[T]) -> Position:
        """Return a figure that grows with each change of the list."""

    @abstractmethod
    def apply_changes(self, changes: Changes[T]) -> None:
        """Take in what the feed told."""

    def handle_outage(self) -> None:
        """Take in that the list can't be read."""

    def handle_recovery(self) -> None:
        """Take in that the list can be read."""

    def _call(self, wait: float) -> Changes[T]:
        feed = self._feed()
        if self._cursor is None:
            return feed.read()
        return feed.follow(self._cursor, wait=wait)

    def _handle_error(self, error: FeedError) -> float:
        if error.fault in _RESYNC_FAULTS:
            self._journal.event("list-restarted", feed=self._name, cause=str(error))
            self._cursor = None
            return RESYNC_DELAY_SECONDS
        if not self._is_unavailable:
            self._is_unavailable = True
            self._journal.event("dependency-lost", feed=self._name, cause=str(error))
        self.handle_outage()
        jitter = random.uniform(0.5, 1.0)
        self._plan.record_failure(gateway_count=self._gateway_count(), jitter=jitter)
        return self._plan.get_remaining_backoff()


class ConfigurationFollower(Follower[RoutingTable]):
    """
    Follows the configuration's versions; an older version than the one in force is
    passed over.

    Parameters
    ----------
    on_change : callable
        Told of each version that comes into force.
    on_unavailable : callable
        Told when the configuration can't be read.
    """

    def __init__(
        self,
        *,
        feed: Callable[[], Feed[RoutingTable]],
        plan: ReadPlan,
        clock: Clock,
        journal: Journal,
        on_change: Callable[[RoutingTable], None],
        gateway_count: Callable[[], int] = lambda: 1,
        on_restore: Callable[[Position, Position], None] = lambda _before, _after: None,
        on_unavailable: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__(
            name="configuration",
            feed=feed,
            plan=plan,
            clock=clock,
            journal=journal,
            gateway_count=gateway_count,
            on_restore=on_restore,
        )
        self._on_change = on_change
        self._on_unavailable = on_unavailable
        self._table: RoutingTable | None = None

    @property
    def table(self) -> RoutingTable | None:
        """The configuration in force."""
        return self._table

    def apply_changes(self, changes: Changes[RoutingTable]) -> None:
        """Put the newest version into force."""
        for table in changes.items:
            self.activate_if_newer(table)

    def handle_outage(self) -> None:
        """Take in that the configuration can't be read."""
        self._on_unavailable()

    def get_last_change(self, changes: Changes[RoutingTable]) -> Position:
        """Return the newest version; it is the operators' and knows no eras."""
        newest = max((table.version for table in changes.items), default=0)
        return Position(version=newest)

    def apply_peer_configuration(self, table: RoutingTable) -> None:
        """Take in a version that another gateway has read."""
        self.activate_if_newer(table)
        version = Position(version=table.version)
        self._plan.record_peer_update(last_change=version, complete_up_to=version)

    def activate_if_newer(self, table: RoutingTable) -> None:
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
        self._on_change(table)
