"""
Followers of the platform's lists
=================================

Keep the gateway's copy of a list of the platform up to date, and detect when the list
can't be read.  The follower of the configuration is here, that of the replicas in
``replica_follower``.
"""

import math
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from enum import Enum
from typing import Generic, TypeVar

import gevent
from gevent.event import Event

from damasklead.clock import Clock
from damasklead.gateway.configuration_changes import describe_changes
from damasklead.gateway.configuration_differences import (
    ConfigurationHistory,
    RoutingDifference,
    apply_differences,
)
from damasklead.gateway.dialect import Changes, Feed, FeedError, FeedFault
from damasklead.gateway.journal import Journal
from damasklead.gateway.list_pieces import DifferenceError
from damasklead.gateway.poll_schedule import (
    CHANGE_BATCH_SECONDS,
    LONG_POLL_SECONDS,
    ReadPlan,
)
from damasklead.gateway.routing import RoutingTable
from damasklead.gateway.store_positions import INITIAL_POSITION, Position

__all__ = ["ConfigurationFollower", "ConfigurationSource", "Follower"]

T = TypeVar("T")

# Faults after which the whole list has to be read again.
_RESYNC_FAULTS = (FeedFault.HISTORY_LOST, FeedFault.STALE, FeedFault.RESTORED)
# Pause before a full read.
RESYNC_DELAY_SECONDS = 0.1
# Interval at which the backoff after a failed call is computed anew, since reports of
# other gateways may have shortened it.
BACKOFF_CHECK_SECONDS = 0.3


class ConfigurationSource(Enum):
    """Where a version of the configuration came from."""

    STORE = "store"
    BROADCAST = "broadcast"
    SNAPSHOT = "snapshot"


class Follower(ABC, Generic[T]):
    """
    Reads a list once and then its changes, across outages and lost history.

    Parameters
    ----------
    name : str
        Name of the list in log lines and metrics.
    feed : callable
        Returns the feed of the present platform address.
    plan : ReadPlan
        Decides when to poll the store.
    clock : Clock
    journal : Journal
    gateway_count : callable
        Returns the number of gateways in the fleet.
    on_restore : callable
        Called with the positions of the list before and after a restore of the store
        from a backup.
    random_source : random.Random or None
        Source of the jitter of retries; ``None`` for one seeded by the system.
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
        random_source: random.Random | None = None,
    ) -> None:
        self._name = name
        self._random = random_source or random.Random()
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

    @property
    def reads_changes(self) -> bool:
        """Whether the changes since the last read suffice, not the whole list."""
        return self._cursor is not None

    def get_age(self) -> float:
        """Return the seconds since the list was last read; infinite before."""
        return (
            math.inf
            if self._last_read_at is None
            else self._clock.now() - self._last_read_at
        )

    def notify(self) -> None:
        """Wake the follower, since other gateways have reported a change."""
        self._notification.set()

    def run(self) -> None:
        """Follow the list forever."""
        while True:
            step = self._plan.next_step()
            if step.should_poll:
                gevent.sleep(
                    min(self.poll_once(wait=step.wait_seconds), BACKOFF_CHECK_SECONDS)
                )
                self._wait_for_retry()
            else:
                self._notification.wait(timeout=step.wait_seconds)
                self._notification.clear()

    def _wait_for_retry(self) -> None:
        """Wait until the backoff after a failed call has passed."""
        while remaining := self._plan.get_remaining_backoff():
            self._notification.wait(timeout=min(remaining, BACKOFF_CHECK_SECONDS))
            self._notification.clear()

    def poll_once(self, *, wait: float = LONG_POLL_SECONDS) -> float:
        """
        Make one call to the store.

        Parameters
        ----------
        wait : float
            Maximum duration of the long poll in seconds.

        Returns
        -------
        float
            Seconds to wait before the next call.
        """
        reported = self._plan.get_reported_change()
        answered_by = self._clock.now() + (wait if self.reads_changes else 0.0)
        try:
            changes = self._call(wait)
        except FeedError as error:
            return self._handle_error(error)
        if self._cursor is not None and changes.cursor.era < self._cursor.era:
            return RESYNC_DELAY_SECONDS  # a peer sent changes of a newer era meanwhile
        if (
            changes.is_complete
            and self._cursor is not None
            and changes.cursor < self._cursor
        ):
            return RESYNC_DELAY_SECONDS  # a peer sent a newer list meanwhile
        self._last_read_at = self._clock.now()
        self._record_recovery()
        self._advance_to(changes.cursor)
        # Changes that a peer sent during the call may be newer than the response.
        before = (
            INITIAL_POSITION
            if changes.is_complete or self._cursor is None
            else self._cursor
        )
        self._cursor = max(before, changes.cursor)
        self.apply_changes(changes)
        self._plan.record_response(
            reported=reported,
            last_change=self.get_last_change(changes),
            answered_by=answered_by,
        )
        return CHANGE_BATCH_SECONDS if changes.items else 0.0

    def record_peer_confirmation(self) -> None:
        """
        Record that another gateway has just read the list and this one lacks no change.

        This ends an outage as a successful call of the gateway's own does: entries that
        are removed from now on haven't expired because of an outage of the store.
        """
        if self._is_unavailable:
            self._record_recovery()

    def _record_outage(self, cause: str) -> None:
        if not self._is_unavailable:
            self._is_unavailable = True
            self._journal.event("dependency-lost", feed=self._name, cause=cause)
        self.handle_outage()

    def _record_recovery(self) -> None:
        if self._is_unavailable:
            self._is_unavailable = False
            self._journal.event("dependency-regained", feed=self._name)
        self.handle_recovery()

    def _advance_to(self, cursor: Position) -> None:
        """Record the new position of the list and detect a restore of the store."""
        before, self._last_position = self._last_position, cursor
        if before != INITIAL_POSITION and cursor.era > before.era:
            self.handle_restore(cursor)
            self._on_restore(before, cursor)

    def handle_restore(self, cursor: Position) -> None:
        """Handle a restore of the store from a backup; ``cursor`` is in its new era."""

    @abstractmethod
    def get_last_change(self, changes: Changes[T]) -> Position:
        """Return the position of the newest change in a response."""

    @abstractmethod
    def apply_changes(self, changes: Changes[T]) -> None:
        """Apply a response of the feed to the gateway's copy of the list."""

    def handle_outage(self) -> None:
        """
        Handle that the list can't be read: a call has failed, by no fault of
        ``_RESYNC_FAULTS``, or nothing confirms the list.
        """

    def handle_recovery(self) -> None:
        """Handle a successful call, or a peer's confirmation after an outage."""

    def _call(self, wait: float) -> Changes[T]:
        feed = self._feed()
        if self._cursor is None or not self.reads_changes:
            return feed.read()
        return feed.poll_changes(self._cursor, wait=wait)

    def _handle_error(self, error: FeedError) -> float:
        if error.fault in _RESYNC_FAULTS:
            self._journal.event("list-restarted", feed=self._name, cause=str(error))
            self._cursor = None
            return RESYNC_DELAY_SECONDS
        self._record_outage(str(error))
        jitter = self._random.uniform(0.5, 1.0)
        self._plan.record_failure(gateway_count=self._gateway_count(), jitter=jitter)
        return self._plan.get_remaining_backoff()


class ConfigurationFollower(Follower[RoutingTable]):
    """
    Follows the configuration and ignores versions older than the active one.

    Parameters
    ----------
    on_change : callable
        Called with each version that becomes active.
    on_unavailable : callable
        Called each time that the store can't be read.
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
        random_source: random.Random | None = None,
    ) -> None:
        super().__init__(
            name="configuration",
            feed=feed,
            plan=plan,
            clock=clock,
            journal=journal,
            gateway_count=gateway_count,
            on_restore=on_restore,
            random_source=random_source,
        )
        self._on_change = on_change
        self._on_unavailable = on_unavailable
        self._table: RoutingTable | None = None
        self._history = ConfigurationHistory()
        # Version that was active when the store last responded.
        self._version_at_read = 0

    @property
    def history(self) -> ConfigurationHistory:
        """The differences between the versions that were active."""
        return self._history

    @property
    def table(self) -> RoutingTable | None:
        """The active configuration; ``None`` before the first."""
        return self._table

    @property
    def _active_version(self) -> int:
        """Version of the active configuration; 0 before the first."""
        return 0 if self._table is None else self._table.version

    @property
    def reads_changes(self) -> bool:
        """
        Whether the changes since the last read suffice.

        The changes are all versions since then, each in full, which a slow link can't
        carry in time where the newest one is long.  So they don't suffice if other
        gateways have sent versions meanwhile.
        """
        return (
            self._cursor is not None
            and self._active_version <= self._version_at_read
            and self._plan.is_caught_up
            and not self._plan.is_failing
        )

    def apply_changes(self, changes: Changes[RoutingTable]) -> None:
        """Activate the newest version of a response."""
        for table in changes.items:
            self._activate_if_newer(table, ConfigurationSource.STORE)
        self._version_at_read = self._active_version

    def handle_outage(self) -> None:
        """Report that the configuration can't be read."""
        self._on_unavailable()

    def get_last_change(self, changes: Changes[RoutingTable]) -> Position:
        """
        Return the newest version in a response, as a position of era 0.

        Operators number the versions, so a restore of the store doesn't affect them.
        """
        newest = max((table.version for table in changes.items), default=0)
        return Position(version=newest)

    def apply_peer_configuration(
        self,
        table: RoutingTable,
        *,
        source: ConfigurationSource,
        age_seconds: float = 0.0,
    ) -> None:
        """
        Apply a version that another gateway has read.

        Parameters
        ----------
        table : RoutingTable
        source : ConfigurationSource
        age_seconds : float
            Seconds since the store confirmed the version to the other gateway.
        """
        self._activate_if_newer(table, source)
        position = Position(version=table.version)
        self._plan.record_peer_update(
            last_change=position, complete_up_to=position, age_seconds=age_seconds
        )

    def apply_peer_differences(
        self,
        differences: Sequence[RoutingDifference],
        *,
        source: ConfigurationSource,
        age_seconds: float = 0.0,
    ) -> bool:
        """
        Apply differences to the version that another gateway has read.

        Parameters
        ----------
        differences : sequence of RoutingDifference
        source : ConfigurationSource
        age_seconds : float
            Seconds since the store confirmed the version to the other gateway.

        Returns
        -------
        bool
            Whether they fit: ``False`` if they are between other versions that have the
            same numbers.
        """
        if self._table is None:
            return True
        try:
            content = apply_differences(self._table.content, differences)
        except DifferenceError as error:
            self._journal.event(
                "differences-failed", source=source.value, cause=str(error)
            )
            return False
        if content is not None and content.version > self._table.version:
            self.apply_peer_configuration(
                RoutingTable(content=content), source=source, age_seconds=age_seconds
            )
            self._history.refine(differences)
        return True

    def _activate_if_newer(
        self, table: RoutingTable, source: ConfigurationSource
    ) -> None:
        """Activate a version if it is newer than the active one."""
        before = self._table
        version_before = self._active_version
        if table.version <= version_before:
            return
        self._table = table
        self._history.record_change(
            None if before is None else before.content, table.content
        )
        self._journal.event(
            "configuration",
            before=version_before,
            version=table.version,
            routes=len(table.routes),
            keys=len(table.keys),
            source=source.value,
            **describe_changes(before, table),
        )
        self._on_change(table)
