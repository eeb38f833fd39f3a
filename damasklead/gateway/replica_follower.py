"""
Follower of the replicas
========================

Keeps the directory of replicas up to date, and a log of the newest changes, from which
other gateways get theirs.
"""

import random
from collections.abc import Callable

from damasklead.clock import Clock
from damasklead.gateway.change_log import ChangeLog
from damasklead.gateway.dialect import Changes, Feed
from damasklead.gateway.directory import ListedRow, UpstreamDirectory
from damasklead.gateway.journal import Journal
from damasklead.gateway.list_follower import Follower
from damasklead.gateway.poll_schedule import ReadPlan
from damasklead.gateway.store_positions import INITIAL_POSITION, Position

__all__ = ["UpstreamFollower"]

# A list that neither the store nor another gateway has confirmed for this long can't be
# read, as far as this gateway can know.  Entries outlive an outage that is shorter.
MAX_UNCONFIRMED_SECONDS = 2.5
# Longest time between two calls of ``expire`` that counts: a process that was suspended
# has received no confirmations.
MAX_STEP_SECONDS = 0.5


class UpstreamFollower(Follower[ListedRow]):
    """
    Follows the list of replicas.

    Parameters
    ----------
    directory : UpstreamDirectory
        Receives the entries.
    on_change : callable
        Called when the directory has changed.

    Attributes
    ----------
    change_log : ChangeLog
        The newest changes, to be broadcast to other gateways.
    """

    def __init__(
        self,
        *,
        feed: Callable[[], Feed[ListedRow]],
        plan: ReadPlan,
        clock: Clock,
        journal: Journal,
        directory: UpstreamDirectory,
        on_change: Callable[[], None],
        gateway_count: Callable[[], int] = lambda: 1,
        on_restore: Callable[[Position, Position], None] = lambda _before, _after: None,
        random_source: random.Random | None = None,
    ) -> None:
        super().__init__(
            name="replicas",
            feed=feed,
            plan=plan,
            clock=clock,
            journal=journal,
            gateway_count=gateway_count,
            on_restore=on_restore,
            random_source=random_source,
        )
        self.change_log: ChangeLog[ListedRow] = ChangeLog(clock=clock)
        self._directory = directory
        self._on_change = on_change
        self._expired_at = clock.now()
        self._unconfirmed_seconds = 0.0

    def apply_changes(self, changes: Changes[ListedRow]) -> None:
        """Apply the entries of a response to the directory and the change log."""
        if changes.is_complete:
            self._log_full_read(changes)
        else:
            changed_rows = [
                row for row in changes.items if self._directory.affects_placement(row)
            ]
            self.change_log.append(changed_rows, changes.cursor)
        self._report_changes(
            self._directory.apply_rows(changes.items, is_complete=changes.is_complete)
        )

    def _log_full_read(self, changes: Changes[ListedRow]) -> None:
        """
        Log how a full read differs from the directory.

        Gateways that are at this gateway's previous position then need no full read of
        their own.
        """
        before = self.change_log.cursor
        if before == INITIAL_POSITION or before >= changes.cursor:
            self.change_log.reset(changes.cursor)
            return
        present = {row.instance for row in changes.items}
        changed_rows = [
            row for row in changes.items if self._directory.affects_placement(row)
        ]
        changed_rows += [
            ListedRow(instance=row.instance, position=changes.cursor, record=None)
            for row in self._directory.list_rows()
            if row.instance not in present
        ]
        self.change_log.append_diff(changed_rows, changes.cursor)

    def get_last_change(self, changes: Changes[ListedRow]) -> Position:
        """Return the position of the newest entry."""
        return _last_change(changes.items)

    def apply_snapshot(
        self, rows: list[ListedRow], cursor: Position, *, age_seconds: float = 0.0
    ) -> None:
        """
        Apply the whole list of another gateway unless this one's is as new.

        Parameters
        ----------
        rows : list of ListedRow
        cursor : Position
            Position up to which the other gateway has read the list.
        age_seconds : float
            Seconds since the store confirmed the list to it.
        """
        before = self._last_position
        if cursor > max(self.cursor, before):
            listed = frozenset(row.instance for row in rows)
            if before != INITIAL_POSITION:
                # Gateways would pass on to each other what none of them finds listed.
                rows = [row for row in rows if not row.is_missing]
            changes = Changes(items=rows, is_complete=True, cursor=cursor)
            self._advance_to(cursor)
            self._log_full_read(changes)
            self._cursor = cursor
            self._plan.record_peer_update(
                last_change=_last_change(rows),
                complete_up_to=cursor,
                age_seconds=age_seconds,
            )
            dropped = []
            if cursor.era == before.era:
                dropped = self._directory.drop_unlisted(listed)
            self._report_changes(
                dropped + self._directory.apply_rows(rows, is_complete=True)
            )
        elif before == INITIAL_POSITION:
            self._report_changes(self._directory.apply_rows(rows, is_complete=False))

    def apply_peer_changes(
        self,
        base: Position,
        cursor: Position,
        rows: list[ListedRow],
    ) -> None:
        """
        Apply changes that another gateway has read, if they follow without a gap.

        Parameters
        ----------
        base, cursor : Position
            ``rows`` are all changes after ``base`` up to ``cursor``.
        rows : list of ListedRow
        """
        if self._cursor is None or not base <= self._cursor < cursor:
            return
        previous = self._cursor
        restored = cursor.era > previous.era
        if restored and previous != base:
            # This gateway may have applied changes that the sender never read and that
            # the restored store has lost, so it needs a full read.
            return
        self._cursor = cursor
        self._advance_to(cursor)
        changed_rows = [row for row in rows if row.position > previous]
        if restored:
            self.change_log.append_diff(changed_rows, cursor)
        else:
            self.change_log.append(changed_rows, cursor)
        self._plan.record_peer_update(
            last_change=_last_change(rows), complete_up_to=cursor
        )
        self._report_changes(
            self._directory.apply_rows(changed_rows, is_complete=False)
        )

    @property
    def cursor(self) -> Position:
        """Position up to which the list was read; ``INITIAL_POSITION`` before."""
        return self._cursor or INITIAL_POSITION

    def handle_restore(self, cursor: Position) -> None:
        """Pass on that the store was restored: the list may lack newer entries."""
        self._directory.mark_store_restored(cursor)

    def handle_outage(self) -> None:
        """Pass on that the list can't be read: removals may be expired entries."""
        self._directory.mark_list_unreachable()

    def handle_recovery(self) -> None:
        """Pass on that the list can be read again."""
        self._directory.mark_list_reachable()

    def expire(self) -> None:
        """
        Remove replicas that haven't renewed their entry in time after an outage.

        Has to be called several times a second, since it also notices the outages in
        which this gateway doesn't poll the store.
        """
        self._check_confirmation()
        list_age = self._plan.confirmed_age
        self._report_changes(self._directory.drop_expired(list_age=list_age))

    def _check_confirmation(self) -> None:
        """Record an outage if nothing has confirmed the list for too long."""
        now = self._clock.now()
        step = min(now - self._expired_at, MAX_STEP_SECONDS)
        self._expired_at = now
        self._unconfirmed_seconds = min(
            self._unconfirmed_seconds + step, self._plan.confirmed_age
        )
        if self._unconfirmed_seconds >= MAX_UNCONFIRMED_SECONDS:
            self._record_outage(f"not confirmed for {self._unconfirmed_seconds:.1f} s")

    def _report_changes(self, changes: list[str]) -> None:
        if changes:
            self._journal.event("replicas", changes="; ".join(changes))
            self._on_change()


def _last_change(rows: list[ListedRow]) -> Position:
    return max((row.position for row in rows), default=INITIAL_POSITION)
