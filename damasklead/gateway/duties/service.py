"""
Duties of a gateway
===================

The lease, the duties that the deployment asks for, and the counting of usage, for one
gateway.
"""

import random
from collections.abc import Callable

import gevent
from gevent.event import Event

from damasklead.clock import Clock
from damasklead.gateway.duties.announcements import HolderDirectory
from damasklead.gateway.duties.api_monitor import ApiMonitor
from damasklead.gateway.duties.base import Authority, Duty, DutyName, PlatformApi
from damasklead.gateway.duties.contention import (
    MAX_CONTENDERS,
    choose_deputy,
    compute_contention_rank,
)
from damasklead.gateway.duties.lease_task import LeaseTask
from damasklead.gateway.duties.messages import (
    HolderNotice,
    ReportCopies,
    UsageCounts,
    WindowCounts,
)
from damasklead.gateway.duties.runner import DutyRunner
from damasklead.gateway.duties.true_time import TrueTime
from damasklead.gateway.duties.usage_counts import (
    UsageCounter,
    UsageLedger,
    compute_window,
)
from damasklead.gateway.duties.usage_reports import UsageReporter, UsageStatistics
from damasklead.gateway.journal import Journal
from damasklead.gateway.peers import Peers
from damasklead.gateway.settings import DutyBounds
from damasklead.ids import Incarnation, InstanceId, StoreEra, WorkspaceId
from damasklead.leases import get_fencing_era
from damasklead.stores.base import TableService
from damasklead.supervision import Child, TaskChild

__all__ = ["Duties", "find_known_duties"]

# Interval of the counts: short in a small fleet, where one gateway that is killed loses
# a large share; longer in a large one, whose holder receives the counts of all.  A data
# centre without power, a third of the fleet, loses 1.5 to 3 % of a window.
MIN_COUNTS_INTERVAL_SECONDS, MAX_COUNTS_INTERVAL_SECONDS = 0.3, 0.8
COUNTS_INTERVAL_SECONDS_PER_GATEWAY = 0.005
# Counts are sent at this interval even without changes: they carry the sender's clock,
# and show the holder that its deputy is alive.
IDLE_REPORT_SECONDS = 2.0
# A new holder gets the counts of all gateways spread over this time.
RESEND_SPREAD_SECONDS = 0.4
# A gateway that announced its release may still have a call in progress for this long.
RELEASE_MARGIN_SECONDS = 0.3


# A gateway that did not reach the API contends again if no other has the lease by then.
STEP_DOWN_PAUSE_SECONDS = 5.0


def find_known_duties(names: list[str]) -> set[DutyName]:
    """
    Return the duties that are known among those in the settings.

    >>> find_known_duties(["usage_report", "juggling"])
    {<DutyName.USAGE_REPORT: 'usage_report'>}
    """
    return {duty for duty in DutyName if duty.value in names}


class Duties:
    """
    The duties of one gateway.

    Parameters
    ----------
    names : set of DutyName
        The duties that the deployment asks for.
    bounds : DutyBounds
    calls_per_second : float
        Calls that the API accepts from all gateways together.
    api : callable
        Returns the active platform API.
    tables : callable
        Returns the active tables of the platform's store.
    get_era : callable
        Returns the newest era of the store that this gateway knows.
    peers : Peers or None
        ``None`` for a gateway without peers.
    instance, incarnation, data_centre, cores
        This gateway.
    clock : Clock
    get_unix_time : callable
        Returns the wall-clock time in seconds.
    journal : Journal

    Attributes
    ----------
    directory : HolderDirectory
        The announced holder, and messages to it and its deputy.
    api : ApiMonitor
        The platform's API, by which all duties must make their calls.
    """

    def __init__(
        self,
        *,
        names: set[DutyName],
        bounds: DutyBounds,
        calls_per_second: float,
        api: Callable[[], PlatformApi],
        tables: Callable[[], TableService],
        get_era: Callable[[], StoreEra],
        peers: Peers | None,
        instance: InstanceId,
        incarnation: Incarnation,
        data_centre: str,
        cores: float,
        clock: Clock,
        get_unix_time: Callable[[], float],
        journal: Journal,
    ) -> None:
        self.api = ApiMonitor(get_api=api, clock=clock)
        self._tables = tables
        self._get_store_era = get_era
        self._peers = peers
        self._instance = instance
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._cores = cores
        self._clock = clock
        self._journal = journal
        self._get_unix_time = get_unix_time
        self._window_seconds = bounds.usage_window_seconds
        self._deputy = ""
        self._has_sent_copies = False
        self._recipients: tuple[str, ...] = ()
        self._sent_at = clock.now()
        self._counts_due = Event()
        self.directory = HolderDirectory(
            instance=instance, peers=peers, clock=clock, journal=journal
        )
        self._true_time = TrueTime(
            clock=clock, get_unix_time=get_unix_time, is_alone=peers is None
        )
        self._ledger = UsageLedger()
        self._counter: UsageCounter | None = None
        self._reporter: UsageReporter | None = None
        self._lease = LeaseTask(
            instance=instance,
            incarnation=incarnation,
            tables=tables,
            get_era=self._get_era,
            get_rank=self._get_rank,
            directory=self.directory,
            make_notice=self._make_notice,
            should_step_down=self._should_step_down,
            step_down=self._step_down,
            handover_seconds=bounds.handover_seconds,
            clock=clock,
            journal=journal,
        )
        self._runner = DutyRunner(
            authority=self._lease,
            is_held=lambda: self._lease.is_held,
            journal=journal,
        )
        self.directory.register_listener(self._handle_notice)
        self.directory.register_handler(UsageCounts, self._handle_counts)
        self.directory.register_handler(ReportCopies, self._handle_copies)
        if DutyName.USAGE_REPORT in names:
            self._counter = UsageCounter(
                window_seconds=bounds.usage_window_seconds,
                clock=clock,
                true_time=self._true_time,
            )
            self._reporter = UsageReporter(
                api=self.api,
                tables=tables,
                ledger=self._ledger,
                true_time=self._true_time,
                window_seconds=bounds.usage_window_seconds,
                delay_seconds=bounds.usage_delay_seconds,
                calls_per_second=calls_per_second,
                get_lease=self._lease.describe,
                on_closed=self._lease.announce,
                clock=clock,
                journal=journal,
            )
            self.register(self._reporter)

    @property
    def authority(self) -> Authority:
        """Proof that this gateway holds the lease, while it does."""
        return self._lease

    @property
    def is_holder(self) -> bool:
        """Whether this gateway holds the lease."""
        return self._lease.is_held

    @property
    def true_time(self) -> TrueTime:
        """The estimate of the true time."""
        return self._true_time

    @property
    def statistics(self) -> UsageStatistics:
        """What happened to the usage reports of this gateway."""
        return (
            UsageStatistics() if self._reporter is None else self._reporter.statistics
        )

    @property
    def unsent_count(self) -> int:
        """Number of closed windows that the API has not accepted, at the holder."""
        if self._reporter is None or not self.is_holder:
            return 0
        return len(self._reporter.unsent_windows)

    @property
    def state(self) -> dict[str, object]:
        """The state for operators."""
        statistics = self.statistics
        called_at = statistics.last_call_at
        return {
            "holder": self.directory.holder,
            "deputy": self.directory.deputy,
            "token": self.directory.token,
            "holds_lease": self.is_holder,
            "silence": round(self.directory.silence_seconds, 3),
            "clock_error": round(self._true_time.clock_error, 3),
            "closed_window": (
                0 if self._reporter is None else self._reporter.closed_window
            ),
            "unsent": self.unsent_count,
            "sent": statistics.sent,
            "late": statistics.late,
            "missed": statistics.missed,
            "last_lateness": round(statistics.last_lateness, 3),
            "last_call": (
                None if called_at is None else round(self._clock.now() - called_at, 3)
            ),
            "last_result": statistics.last_result,
        }

    def get_age(self, at: float) -> float:
        """Return the seconds since a time of the gateway's clock."""
        return self._clock.now() - at

    def register(self, duty: Duty) -> None:
        """Add a duty; must be called before the tasks are created."""
        self._runner.register(duty)

    def record_execution(self, workspace: WorkspaceId) -> None:
        """Count a request that a replica has just begun to execute."""
        if self._counter is not None:
            self._counter.record(workspace)

    def create_tasks(self) -> list[Child]:
        """Return the tasks to supervise; none without a duty."""
        if not self._runner.has_duties:
            return []
        return [
            TaskChild(name="duties-lease", function=self._lease.run),
            TaskChild(name="usage-counts", function=self._run_counts),
            *self._runner.create_tasks(),
        ]

    def poll_lease(self) -> None:
        """Renew the lease or contend for it, if either is due."""
        self._lease.poll()

    def perform_duties(self) -> None:
        """Perform each duty once if this gateway holds the lease."""
        self._runner.perform_all()

    def release(self) -> None:
        """Release the lease, so that another gateway takes over at once."""
        if self._runner.has_duties:
            self._lease.release(
                is_idle=lambda: self._runner.is_idle,
                max_wait_seconds=self.api.timeout_seconds + RELEASE_MARGIN_SECONDS,
            )

    def _should_step_down(self) -> bool:
        """Return whether another gateway may reach the API that this one does not."""
        has_others = self._peers is not None and bool(self._peers.members)
        return has_others and self.api.is_out_of_reach

    def _step_down(self) -> None:
        """Leave the lease to a gateway that may reach the API."""
        self._journal.event("duties-api-unreachable", handovers=self.api.handovers)
        self.api.reset(handovers=self.api.handovers + 1)
        self._lease.release(
            is_idle=lambda: self._runner.is_idle,
            max_wait_seconds=self.api.timeout_seconds + RELEASE_MARGIN_SECONDS,
            pause_seconds=STEP_DOWN_PAUSE_SECONDS,
        )

    def send_counts(self) -> None:
        """Send the counts that have changed to the holder and its deputy."""
        self._true_time.tick()
        windows = [] if self._counter is None else self._counter.take_changes()
        now = self._clock.now()
        if not windows and now - self._sent_at < IDLE_REPORT_SECONDS:
            return
        if not self.directory.recipients:
            # The counts are sent again when there is a holder.
            return
        self._sent_at = now
        message = UsageCounts(self._incarnation, self._get_unix_time(), windows)
        self.directory.send(message)

    def _run_counts(self) -> None:
        # The gateways of a fleet that starts together report at different moments.
        gevent.sleep(random.uniform(0.0, MIN_COUNTS_INTERVAL_SECONDS))
        while True:
            gateway_count = 1 if self._peers is None else len(self._peers.members) + 1
            interval = COUNTS_INTERVAL_SECONDS_PER_GATEWAY * gateway_count
            bounded_interval = min(
                MAX_COUNTS_INTERVAL_SECONDS, max(MIN_COUNTS_INTERVAL_SECONDS, interval)
            )
            if self._counts_due.wait(timeout=bounded_interval):
                self._counts_due.clear()
                spread = min(interval, RESEND_SPREAD_SECONDS)
                gevent.sleep(random.uniform(0.0, spread))
            self.send_counts()

    def _get_era(self) -> StoreEra:
        announced_era = get_fencing_era(self.directory.token)
        return StoreEra(max(self._get_store_era(), self._tables().era, announced_era))

    def _get_rank(self) -> int:
        if self._peers is not None and not self._peers.is_discovery_complete:
            return MAX_CONTENDERS
        return compute_contention_rank(
            instance=self._instance,
            cores=self._cores,
            members=[] if self._peers is None else self._peers.members,
            holder=self.directory.holder,
            deputy=self.directory.deputy,
            # The last holder knows which windows were closed before a restore.
            is_deputy_first=self._get_era() == get_fencing_era(self.directory.token),
        )

    def _make_notice(self, token: int, version: int) -> HolderNotice:
        """Return this gateway's notice as the holder, and tell the deputy the rest."""
        self._true_time.update()
        if self._peers is not None:
            self._deputy = choose_deputy(
                self._peers.members,
                data_centre=self._data_centre,
                current=self._deputy,
                get_silence=self._peers.get_silence,
            )
        reporter = self._reporter
        self._send_copies(token, [] if reporter is None else reporter.unsent_windows)
        return HolderNotice(
            token,
            self._deputy,
            version,
            self._true_time.now(),
            self._true_time.has_majority,
            0 if reporter is None else reporter.closed_window,
            self.api.handovers,
        )

    def _send_copies(self, token: int, windows: list[WindowCounts]) -> None:
        if self._deputy and (windows or self._has_sent_copies):
            self.directory.send_to(self._deputy, ReportCopies(token, windows))
        self._has_sent_copies = bool(windows)

    def _handle_notice(self, notice: HolderNotice) -> None:
        is_own = self.directory.holder == self._instance
        if not is_own:
            # What this gateway begins with if it is the next holder.
            self.api.reset(handovers=notice.handovers)
        if notice.has_majority and not is_own:
            self._true_time.adopt(notice.unix_time)
        if self._reporter is not None:
            self._reporter.record_closed(notice.closed_window)
        if self._counter is not None:
            self._counter.set_closed(notice.closed_window)
        recipients = self.directory.recipients
        if recipients != self._recipients:
            self._recipients = recipients
            if self._counter is not None:
                self._counter.schedule_all()
            self._sent_at = self._clock.now() - IDLE_REPORT_SECONDS
            self._counts_due.set()

    def _handle_counts(self, message: UsageCounts, sender: str) -> None:
        if sender != self._instance:
            self._true_time.record_clock(sender, message.unix_time)
        now = self._true_time.now()
        self._ledger.record(
            sender,
            message.incarnation,
            message.windows,
            latest_window=compute_window(now, self._window_seconds) + 1,
        )

    def _handle_copies(self, message: ReportCopies, _sender: str) -> None:
        if self._reporter is not None and message.token >= self.directory.token:
            self._reporter.record_copies(message.windows)
