"""
Usage reports
=============

The duty to report the usage of each window exactly once.  The holder first makes the
counts of a window final by a conditional write to the platform's store, and then sends
what was written until the API accepts it.
"""

from collections.abc import Callable

import msgspec
from result import Err

from damasklead.clock import Clock
from damasklead.decoding import decode_json
from damasklead.gateway.duties.base import (
    ApiError,
    Authority,
    Duty,
    DutyName,
    PlatformApi,
    UsageReport,
)
from damasklead.gateway.duties.lease_task import DUTIES_TABLE, HeldLease
from damasklead.gateway.duties.messages import Number, WindowCounts
from damasklead.gateway.duties.true_time import TrueTime
from damasklead.gateway.duties.usage_counts import UsageLedger, compute_window
from damasklead.gateway.journal import Journal
from damasklead.stores.base import (
    ABSENT,
    Commit,
    Committed,
    Condition,
    Put,
    Row,
    TableService,
)

__all__ = ["UsageReporter", "UsageState", "UsageStatistics"]

USAGE_KEY = "usage"
# A window is closed this long after its end: gateways send their counts three times
# within 2.4 s.
CLOSE_DELAY_SECONDS = 2.5
# Time from the acquisition of the lease until all gateways have sent their counts.  In
# a fleet that starts together they first send their clocks, within 0.8 s, and date
# their requests with the next notice, a second after the first: with 1 s for both, 107
# of 120 requests of the first window were missing.  The first call comes later anyway.
COLLECTION_SECONDS = 2.2
# Windows whose reports are this late are dropped, and those that nobody closed in time
# are not closed any more.
MAX_LATENESS_SECONDS = 60.0
# Largest difference between the true times of two gateways.
CLOCK_MARGIN_SECONDS = 1.0
# A row whose closed window is further ahead than this is damaged.  Clocks jump by
# seconds: nearer windows may have been reported, and this gateway's clock be late.
MAX_AHEAD_SECONDS = 60.0
# Restores after which the counts in a row are still the ones that were reported.
MAX_ERAS_BETWEEN = 1
# Final counts that are kept in case the store loses them.
MAX_COPIES = 50
# First and longest pause after a failed call, doubled in between: a report is due 7.5 s
# after its window was closed.  Calls are billed, so that overdue reports wait longer.
MIN_RETRY_SECONDS, MAX_RETRY_SECONDS, OVERDUE_RETRY_SECONDS = 0.25, 1.0, 4.0
# Rate of the reports after a failure of the API; low, since all calls of all gateways
# share a rate limit.
MAX_CALLS_PER_SECOND = 10.0


class UsageState(msgspec.Struct, kw_only=True, frozen=True):
    """
    The row of the usage reports.

    Attributes
    ----------
    closed : int
        Newest window whose counts are final; 0 before the first.
    unsent : list
        Closed windows that the API may not have accepted.
    era : int
        Era of the store in which the row was written.
    """

    closed: Number = 0
    unsent: list[WindowCounts] = []
    era: Number = 0


class UsageStatistics(msgspec.Struct, kw_only=True):
    """
    What happened to the reports of this gateway.

    Attributes
    ----------
    sent, missed : int
        Windows that the API has accepted from this gateway, and those that were dropped
        or never closed.
    late : int
        Accepted windows whose report was overdue.
    last_lateness : float
        Seconds from the end of the last accepted window to its acceptance.
    last_call_at : float or None
        Clock's time of the last call.
    last_result : str
        Result of the last call.
    """

    sent: int = 0
    missed: int = 0
    late: int = 0
    last_lateness: float = 0.0
    last_call_at: float | None = None
    last_result: str = ""


class UsageReporter(Duty):
    """
    Closes windows and reports them while this gateway is the holder.

    Parameters
    ----------
    api : PlatformApi
    tables : callable
        Returns the active tables of the platform's store.
    ledger : UsageLedger
        Counts of all gateways.
    true_time : TrueTime
    window_seconds : float
        Length of a window.
    delay_seconds : float
        Time after a window's end by which its report is due.
    calls_per_second : float
        Calls that the API accepts from all gateways together.
    get_lease : callable
        Returns the lease that this gateway holds.
    on_closed : callable
        Called after windows were closed, before they are reported.
    clock : Clock
    journal : Journal
    """

    def __init__(
        self,
        *,
        api: PlatformApi,
        tables: Callable[[], TableService],
        ledger: UsageLedger,
        true_time: TrueTime,
        window_seconds: float,
        delay_seconds: float,
        calls_per_second: float,
        get_lease: Callable[[], HeldLease],
        on_closed: Callable[[], None],
        clock: Clock,
        journal: Journal,
    ) -> None:
        self._api = api
        self._tables = tables
        self._ledger = ledger
        self._true_time = true_time
        self._window_seconds = window_seconds
        self._delay_seconds = delay_seconds
        # Half of the rate is left to the other duties.
        self._pause = 1.0 / min(MAX_CALLS_PER_SECOND, calls_per_second / 2)
        self._get_lease = get_lease
        self._on_closed = on_closed
        self._clock = clock
        self._journal = journal
        self._started_at = clock.now()
        # Newest closed window that any holder has announced.
        self._announced_window = 0
        # Final counts that the last holder has sent to this gateway as its deputy.
        self._copies: dict[int, WindowCounts] = {}
        self._token = 0
        self._state: UsageState | None = None
        self._row_version = ABSENT
        # Closed windows that a restored store has lost, to be written again.
        self._recovered: list[WindowCounts] = []
        self._knows_lost_windows = False
        self._accepted: set[int] = set()
        # Calls for each window that is not accepted.
        self._attempts: dict[int, int] = {}
        self._retry_at = 0.0
        self._failures = 0
        self.statistics = UsageStatistics()

    @property
    def name(self) -> DutyName:
        """The duty's name in the settings."""
        return DutyName.USAGE_REPORT

    @property
    def closed_window(self) -> int:
        """Newest window that is known to be closed; 0 if none is."""
        return self._announced_window

    @property
    def unsent_windows(self) -> list[WindowCounts]:
        """Closed windows that the API may not have accepted, if this is the holder."""
        if self._state is None:
            return []
        return [x for x in self._state.unsent if x.window not in self._accepted]

    def record_closed(self, window: int) -> None:
        """Record the newest closed window that a holder has announced."""
        current = compute_window(self._true_time.now(), self._window_seconds)
        if self._announced_window < window <= current:
            self._announced_window = window
            self._ledger.set_closed(window)

    def record_copies(self, windows: list[WindowCounts]) -> None:
        """Record the final counts that the holder has sent to its deputy."""
        self._copies = {item.window: item for item in windows}

    def perform(self, authority: Authority) -> None:
        """Close the windows that are due, and report closed ones."""
        if authority.identity.token != self._token or self._state is None:
            self._load(authority.identity.token)
        if self._state is None:
            return
        self._close_windows()
        if self._state is not None:
            self._report_windows(authority)

    def _load(self, token: int) -> None:
        """Read the row, as the holder before has left it."""
        if token != self._token:
            self._keep_unsent()
        self._state = None
        result = self._tables().read(DUTIES_TABLE, (USAGE_KEY,))
        if isinstance(result, Err):
            self._journal.event("usage-row-unread", cause=result.err_value.value)
            return
        if self._tables().era != self._get_lease().era:
            # The row is that of a restored store, in which the lease is not held.
            return
        if token != self._token:
            token_at_restore = self._get_lease().token_at_restore
            self._knows_lost_windows = token_at_restore == self._token
        self._token = token
        self._adopt_row(result.ok_value[0] if result.ok_value else None)

    def _keep_unsent(self) -> None:
        """Keep this gateway's own final counts in case a restored store lacks them."""
        for item in self.unsent_windows:
            self._copies[item.window] = item
        while len(self._copies) > MAX_COPIES:
            del self._copies[min(self._copies)]

    def _adopt_row(self, row: Row | None) -> None:
        try:
            state = (
                UsageState() if row is None else decode_json(row.value, type=UsageState)
            )
        except msgspec.DecodeError as error:
            # The row is replaced: without it no window could be reported again.
            self._journal.event("usage-row-unreadable", cause=str(error))
            state = UsageState()
        self._row_version = ABSENT if row is None else row.version
        self._recovered = []
        state = self._limit_closed(state)
        if self._get_lease().era - state.era > MAX_ERAS_BETWEEN:
            state = self._drop_abandoned(state)
        lost_through = self._find_lost_windows(state)
        if lost_through > state.closed:
            state = self._recover(state, lost_through)
        self._state = state
        self._accepted &= {item.window for item in state.unsent}
        if state.closed > self._announced_window:
            self._announce_closed(state.closed)

    def _limit_closed(self, state: UsageState) -> UsageState:
        """Return the state without closed windows that lie too far in the future."""
        now = self._true_time.now()
        current = compute_window(now, self._window_seconds)
        if state.closed <= current:
            return state
        limit = compute_window(now + MAX_AHEAD_SECONDS, self._window_seconds)
        is_damaged = state.closed > limit
        self._journal.event(
            "usage-row-ahead",
            closed=state.closed,
            current=current,
            announced=self._announced_window,
            damaged=is_damaged,
        )
        if not is_damaged:
            return state
        # Windows after the current one will be closed anew.
        kept = [item for item in state.unsent if item.window <= current]
        self.statistics.missed += len(state.unsent) - len(kept)
        return msgspec.structs.replace(state, closed=current, unsent=kept)

    def _drop_abandoned(self, state: UsageState) -> UsageState:
        """
        Return the state without counts that may differ from those reported since.

        A backup may have been made of rows that an earlier restore had undone, after
        which their windows were closed anew.
        """
        kept = [
            self._copies[item.window]
            for item in state.unsent
            if item.window in self._copies
        ]
        self.statistics.missed += len(state.unsent) - len(kept)
        return msgspec.structs.replace(state, unsent=kept)

    def _announce_closed(self, window: int) -> None:
        """Tell all gateways that windows are closed, before they are reported."""
        self._announced_window = max(window, self._announced_window)
        self._ledger.set_closed(window)
        self._on_closed()

    def _find_lost_windows(self, state: UsageState) -> int:
        """
        Return the newest window that may have been closed without a trace in the row.

        A store that was restored has lost what was closed after the backup.  Only the
        gateway that held the lease until the restore, and had read the row before,
        knows all of it.
        """
        lease = self._get_lease()
        if state.era == lease.era or self._knows_lost_windows:
            return self._announced_window
        restored_at = self._true_time.convert(lease.era_observed_at)
        closable_until = restored_at + CLOCK_MARGIN_SECONDS - CLOSE_DELAY_SECONDS
        return max(
            self._announced_window,
            compute_window(closable_until, self._window_seconds) - 1,
        )

    def _recover(self, state: UsageState, lost_through: int) -> UsageState:
        """
        Return the state of a restored store without the windows that it may have lost.

        They may have been reported, so that they must not be closed with other counts.
        """
        lost = range(state.closed + 1, lost_through + 1)
        self._recovered = [
            self._copies[window] for window in sorted(self._copies) if window in lost
        ]
        if state.closed or self._announced_window:
            self._journal.event(
                "usage-row-older",
                closed=state.closed,
                announced=self._announced_window,
                lost=lost_through,
                recovered=len(self._recovered),
            )
            known_through = max(state.closed, self._announced_window)
            self.statistics.missed += max(0, lost_through - known_through)
        return msgspec.structs.replace(state, closed=lost_through)

    def _close_windows(self) -> None:
        """Write the final counts of the windows that have ended."""
        state = self._state
        assert state is not None
        lease = self._get_lease()
        if lease.held_seconds < COLLECTION_SECONDS:
            return
        now = self._true_time.now()
        newest = compute_window(now - CLOSE_DELAY_SECONDS, self._window_seconds) - 1
        first = state.closed + 1
        if not state.closed:
            started = self._true_time.convert(self._started_at)
            started_window = compute_window(started, self._window_seconds)
            first = min([started_window, *self._ledger.windows])
        if newest < first and not self._recovered:
            return
        oldest = compute_window(now - MAX_LATENESS_SECONDS, self._window_seconds)
        closing = range(max(first, oldest), newest + 1)
        kept = [
            item
            for item in (*self.unsent_windows, *self._recovered)
            if item.window >= oldest
        ]
        dropped_count = len(self.unsent_windows) + len(self._recovered) - len(kept)
        new_state = UsageState(
            era=lease.era,
            closed=max(newest, state.closed),
            unsent=[
                *kept,
                *(WindowCounts(k, self._ledger.sum_counts(k)) for k in closing),
            ],
        )
        if not self._write(new_state):
            return
        missed_count = dropped_count + max(0, oldest - first)
        self.statistics.missed += missed_count
        self._journal.event(
            "usage-closed",
            window=new_state.closed,
            windows=len(closing),
            requests=sum(
                sum(item.counts.values())
                for item in new_state.unsent
                if item.window in closing
            ),
            unsent=len(new_state.unsent),
            missed=missed_count,
        )

    def _write(self, state: UsageState) -> bool:
        """Replace the row; returns whether this certainly took effect."""
        commit = Commit(
            conditions=(
                self._get_lease().row_condition,
                Condition(table=DUTIES_TABLE, key=USAGE_KEY, version=self._row_version),
            ),
            writes=(
                Put(
                    table=DUTIES_TABLE,
                    key=USAGE_KEY,
                    value=msgspec.json.encode(state),
                ),
            ),
        )
        result = self._tables().commit(commit)
        if isinstance(result, Err):
            # The write may have taken effect; the row tells.
            self._journal.event("usage-row-unwritten", cause=result.err_value.value)
            self._keep_unsent()
            self._state = None
            return False
        if not isinstance(result.ok_value, Committed):
            rows = {row.key: row for row in result.ok_value.rows}
            row = rows.get(USAGE_KEY)
            if (ABSENT if row is None else row.version) != self._row_version:
                # The row is read by itself, so that its era is known.
                self._keep_unsent()
                self._state = None
            return False
        self._state, self._row_version = state, result.ok_value.version
        self._recovered = []
        self._accepted.clear()
        listed = {item.window for item in state.unsent}
        self._attempts = {k: n for k, n in self._attempts.items() if k in listed}
        self._announce_closed(state.closed)
        return True

    def _report_windows(self, authority: Authority) -> None:
        """Report the closed windows, first those that are due first."""
        api = self._api
        for item in sorted(self.unsent_windows, key=self._compute_urgency):
            if self._clock.now() < self._retry_at:
                return
            if not authority.may_act_for(api.timeout_seconds):
                return
            self._report(api, authority, item)
            self._retry_at = max(self._retry_at, self._clock.now() + self._pause)

    def _compute_urgency(self, item: WindowCounts) -> tuple[bool, int, int]:
        """
        Return a sort key: among windows that are not overdue, those come first that
        were tried least often, since an unanswered call may have taken effect.
        """
        attempt_count = self._attempts.get(item.window, 0)
        return self._is_overdue(item.window), attempt_count, item.window

    def _is_overdue(self, window: int) -> bool:
        return self._compute_lateness(window) > self._delay_seconds

    def _compute_lateness(self, window: int) -> float:
        """Return the seconds since the end of a window."""
        return self._true_time.now() - (window + 1) * self._window_seconds

    def _report(
        self, api: PlatformApi, authority: Authority, item: WindowCounts
    ) -> None:
        statistics = self.statistics
        started_at = statistics.last_call_at = self._clock.now()
        identity = authority.identity
        self._attempts[item.window] = self._attempts.get(item.window, 0) + 1
        try:
            report = UsageReport(window=item.window, counts=item.counts)
            api.report_usage(
                report,
                identity=identity,
                may_send=lambda seconds: authority.may_send_as(identity, seconds),
            )
        except ApiError as error:
            longest = (
                OVERDUE_RETRY_SECONDS
                if self._is_overdue(item.window)
                else MAX_RETRY_SECONDS
            )
            pause = min(longest, MIN_RETRY_SECONDS * 2**self._failures)
            self._failures = min(self._failures + 1, 10)
            self._retry_at = self._clock.now() + pause
            statistics.last_result = error.fault.value
            self._journal.event(
                "usage-not-reported",
                window=item.window,
                token=identity.token,
                cause=str(error),
                seconds=self._clock.now() - started_at,
                retry=pause,
            )
            return
        self._failures = 0
        self._accepted.add(item.window)
        del self._attempts[item.window]
        lateness = self._compute_lateness(item.window)
        statistics.sent += 1
        statistics.late += lateness > self._delay_seconds
        statistics.last_lateness = lateness
        statistics.last_result = "accepted"
        self._journal.event(
            "usage-reported",
            window=item.window,
            token=identity.token,
            requests=sum(item.counts.values()),
            after=lateness,
            seconds=self._clock.now() - started_at,
        )
