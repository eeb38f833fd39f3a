"""
Fleet
=====

A gateway's connection to the platform and to the other gateways: the lists that it
follows, peer messages and the coordination of requests.
"""

from collections.abc import Callable

import gevent

from damasklead.clock import Clock
from damasklead.gateway.bootstrap import Bootstrap
from damasklead.gateway.broadcasts import Broadcasts
from damasklead.gateway.calls import Call, UpstreamRecord
from damasklead.gateway.catch_up import CatchUp
from damasklead.gateway.catch_up_schedule import CatchUpSchedule, FetchOutcome
from damasklead.gateway.coordination.cells import MIN_DATA_CENTRE_ENGINES, Member
from damasklead.gateway.coordination.remote_share import RemoteReason
from damasklead.gateway.coordination.service import Coordination
from damasklead.gateway.crash_containment import Containment
from damasklead.gateway.crash_reports import ObservedCrash
from damasklead.gateway.departures import Departure, DepartureLog
from damasklead.gateway.dialect import FeedError, PeerEntry, PlatformLink
from damasklead.gateway.directory import UpstreamDirectory
from damasklead.gateway.duties.base import PlatformApi
from damasklead.gateway.duties.service import Duties, find_known_duties
from damasklead.gateway.journal import Journal
from damasklead.gateway.list_follower import (
    ConfigurationFollower,
)
from damasklead.gateway.peers import Peers
from damasklead.gateway.poll_schedule import (
    ListName,
    ListReports,
    ReadPlan,
)
from damasklead.gateway.replica_follower import UpstreamFollower
from damasklead.gateway.routing import RoutingTable
from damasklead.gateway.settings import GatewaySettings
from damasklead.gateway.snapshot_exchange import SnapshotExchange
from damasklead.gateway.store_positions import Position
from damasklead.gateway.stored_causes import StoredCauses
from damasklead.gateway.stream_origins.registry import OriginRegistry
from damasklead.gateway.upstream_http import ConnectionPool
from damasklead.ids import (
    DataCentre,
    Fingerprint,
    Incarnation,
    InstanceId,
    StoreEra,
)
from damasklead.rate_limits import RateLimit, RateLimits
from damasklead.rejection_limits import RejectionLimit
from damasklead.supervision import Child, RestartPolicy, TaskChild

__all__ = ["Fleet"]

LIVENESS_CHECK_INTERVAL_SECONDS = 5.0
# A configuration that was confirmed within this time may be relied upon: changes have
# to be in force within two seconds, which includes the time that confirmations take.
MAX_CONFIGURATION_AGE_SECONDS = 1.5


class Fleet:
    """
    The followed lists, peer messages and coordination of one gateway.

    Parameters
    ----------
    settings : GatewaySettings
    clock : Clock
    get_unix_time : callable
        Returns the wall-clock time in seconds.
    incarnation : int
        Start of the process in milliseconds of Unix time.
    journal : Journal
    link : callable
        Returns the active link to the platform.
    directory : UpstreamDirectory
        The known replicas.
    connections : ConnectionPool
        Connections for snapshots of other gateways.
    on_configuration : callable
        Called with each configuration that becomes active.
    on_replicas_changed : callable
        Called after the known replicas have changed.
    on_remote : callable
        Called with each request that is sent to another data centre, that data centre
        and the reason, if the settings say what such traffic costs.
    on_unavailable : callable
        Called when the configuration can't be read from the platform; at the start,
        other gateways have been asked before.
    on_catch_up : callable
        Called with the outcome of each fetch of a snapshot from another gateway.
    api : callable
        Returns the active API of the platform for duties, ``None`` without one.

    Attributes
    ----------
    configuration : ConfigurationFollower
        Follows the configuration.
    upstreams : UpstreamFollower
        Follows the list of replicas.
    containment : Containment
        Rejects requests that crash replicas.
    coordination : Coordination
        Assigns requests to replicas together with the other gateways.
    rate_limits : RateLimits
        The limits that replicas name in their responses.
    snapshots : SnapshotExchange
        Builds and applies snapshots of the state.
    origins : OriginRegistry
        The versions that began the streams which callers take up.
    duties : Duties or None
        ``None`` if the settings ask for no duty that is known.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        clock: Clock,
        get_unix_time: Callable[[], float],
        incarnation: int,
        journal: Journal,
        link: Callable[[], PlatformLink],
        directory: UpstreamDirectory,
        connections: ConnectionPool,
        on_configuration: Callable[[RoutingTable], None],
        on_replicas_changed: Callable[[], None],
        on_unavailable: Callable[[], None],
        on_remote: Callable[[Call, DataCentre, RemoteReason], None],
        on_catch_up: Callable[[FetchOutcome], None] = lambda outcome: None,
        api: Callable[[], PlatformApi | None] = lambda: None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._journal = journal
        self._link = link
        self._directory = directory
        self._on_configuration = on_configuration
        self._on_replicas_changed = on_replicas_changed
        self._local_member = Member(
            InstanceId(settings.instance),
            DataCentre(settings.data_centre),
            settings.cores,
        )
        self._departures = DepartureLog(clock=clock)
        self.rate_limits = RateLimits(
            clock=clock,
            instance=self._local_member.instance,
            on_change=self._handle_rate_limit,
            on_rejection_change=self._handle_rejection_limit,
        )
        self._reports = ListReports(clock=clock)
        self._plans = [self._make_read_plan(name) for name in ListName]
        self.containment = Containment(
            clock=clock,
            on_quarantine=self._handle_quarantine,
            on_release=self._handle_release,
            on_crash=self._handle_crash,
            instance=self._local_member.instance,
            incarnation=incarnation,
        )
        self.configuration = ConfigurationFollower(
            feed=lambda: link().routing,
            plan=self._plans[ListName.ROUTING],
            clock=clock,
            journal=journal,
            on_change=self._apply_configuration,
            gateway_count=lambda: self.gateway_count,
            on_restore=self._record_restore,
            on_unavailable=on_unavailable,
        )
        self.upstreams = UpstreamFollower(
            feed=lambda: link().upstreams,
            plan=self._plans[ListName.UPSTREAMS],
            clock=clock,
            journal=journal,
            directory=directory,
            on_change=self._handle_replicas_changed,
            gateway_count=lambda: self.gateway_count,
            on_restore=self._record_restore,
        )
        self._era = StoreEra(0)
        self._restore_count = 0
        self._peers = self._make_peers(incarnation)
        self.coordination = Coordination(
            local_member=self._local_member,
            clock=clock,
            table=lambda: self.configuration.table,
            peers=self._peers,
            journal=journal,
            rate_limits=self.rate_limits,
            remote_traffic=settings.remote_traffic,
            on_remote=on_remote,
        )
        self.snapshots = SnapshotExchange(
            configuration=self.configuration,
            upstreams=self.upstreams,
            directory=directory,
            plans=self._plans,
            reports=self._reports,
            rate_limits=self.rate_limits,
            containment=self.containment,
            peers=self._peers,
            apply_departures=self._apply_departures,
        )
        self._catch_up_schedule = CatchUpSchedule(
            plans=self._plans,
            peers=lambda: [entry.instance for entry in self.other_gateways],
            clock=clock,
        )
        self._catch_up = CatchUp(
            schedule=self._catch_up_schedule,
            get_known_state=self.snapshots.describe_known_state,
            get_address=lambda name: (
                "" if self._peers is None else self._peers.get_operators_address(name)
            ),
            apply_snapshot=self.snapshots.apply,
            connections=connections,
            clock=clock,
            journal=journal,
            instance=self._local_member.instance,
            on_fetch=on_catch_up,
        )
        self._broadcasts = self._make_broadcasts(incarnation)
        self.origins = OriginRegistry(
            instance=self._local_member.instance,
            peers=self._peers,
            store=lambda: link().origins,
            is_sweeper=lambda: self._broadcasts is None or self._broadcasts.rank == 0,
            clock=clock,
            get_unix_time=get_unix_time,
            journal=journal,
            get_record=directory.get_record,
        )
        self._stored_causes = StoredCauses(
            containment=self.containment,
            tables=lambda: link().tables,
            get_rank=lambda: 0 if self._broadcasts is None else self._broadcasts.rank,
            clock=clock,
            get_unix_time=get_unix_time,
            journal=journal,
        )
        self.duties = self._make_duties(
            api=api, get_unix_time=get_unix_time, incarnation=incarnation
        )
        self._bootstrap = Bootstrap(
            seeds=[
                seed for seed in settings.seeds if seed != settings.listen.operators
            ],
            is_configured=lambda: self.configuration.table is not None,
            apply_snapshot=self.snapshots.apply,
            connections=connections,
            journal=journal,
        )

    @property
    def gateway_count(self) -> int:
        """The number of known gateways, this one included."""
        return 1 if self._peers is None else len(self._peers.members) + 1

    @property
    def other_gateways(self) -> list[PeerEntry]:
        """The entries of the other gateways."""
        return [] if self._peers is None else self._peers.members

    @property
    def is_gateway_count_known(self) -> bool:
        """Whether the other gateways have been discovered."""
        return self._peers is None or self._peers.is_discovery_complete

    @property
    def configuration_age(self) -> float:
        """Seconds since the store confirmed the configuration."""
        return self._plans[ListName.ROUTING].confirmed_age

    @property
    def newest_configuration(self) -> int:
        """The newest version of the configuration that any known gateway has."""
        reported = self._reports.get_last_change(ListName.ROUTING).version
        return max(reported, self._configuration_version)

    @property
    def replica_list_age(self) -> float:
        """Seconds since the store confirmed the list of replicas."""
        return self._plans[ListName.UPSTREAMS].confirmed_age

    @property
    def restore_count(self) -> int:
        """How often the platform's store was restored from a backup."""
        return self._restore_count

    @property
    def is_configuration_current(self) -> bool:
        """
        Whether the configuration is the newest one, as far as this gateway can know.

        It isn't if another gateway has a newer one, or if neither the store nor another
        gateway has confirmed it recently.
        """
        plan = self._plans[ListName.ROUTING]
        return (
            not plan.is_behind and plan.confirmed_age <= MAX_CONFIGURATION_AGE_SECONDS
        )

    @property
    def _configuration_version(self) -> int:
        table = self.configuration.table
        return 0 if table is None else table.version

    def record_departure(self, record: UpstreamRecord, sign: str) -> None:
        """Stop sending requests to a replica, and report it to the other gateways."""
        if self._directory.mark_departed(record.instance, record.incarnation):
            self._journal.event("replica-left", replica=record.instance, sign=sign)
            self._departures.record(record.instance, record.incarnation)
            self._handle_replicas_changed()

    def create_tasks(self) -> list[Child]:
        """Open the port for peer messages; return the tasks to supervise."""
        tasks: list[Child] = [
            TaskChild(
                name="seeds",
                function=self._bootstrap.run,
                restart_policy=RestartPolicy.TRANSIENT,
            ),
            TaskChild(name="configuration", function=self._follow_configuration),
            TaskChild(name="replicas", function=self._follow_upstreams),
            TaskChild(name="decisions", function=self.coordination.run_queue_loop),
            TaskChild(name="running", function=self.coordination.run_report_loop),
            TaskChild(name="origins", function=self.origins.writer.run),
            TaskChild(name="crash-causes", function=self._stored_causes.run),
        ]
        if self._peers is not None and self._broadcasts is not None:
            self._peers.listen()
            tasks += [
                TaskChild(name="broadcasts", function=self._broadcasts.run),
                TaskChild(name="catch-up", function=self._catch_up.run),
                TaskChild(name="peer-receiver", function=self._peers.run_receiver),
                TaskChild(name="peer-look-up", function=self._peers.run_discovery),
                TaskChild(name="peer-check", function=self._run_liveness_checks),
            ]
        if self.duties is not None:
            tasks += self.duties.create_tasks()
        return tasks

    def announce_leave(self) -> None:
        """Stop coordinating requests, and announce it to the other gateways."""
        self.coordination.cells.resign_coordination()
        if self._peers is not None:
            self._peers.send_leave_notice()
        if self.duties is not None:
            gevent.spawn(self.duties.release)

    def close(self) -> None:
        """Remove this gateway from the directory of gateways."""
        if self.duties is not None:
            self.duties.send_counts()
        if self._peers is not None:
            self._peers.close()

    def _follow_configuration(self) -> None:
        self._bootstrap.wait_for_seeds()
        self.configuration.run()

    def _follow_upstreams(self) -> None:
        self._bootstrap.wait_for_seeds()
        self.upstreams.run()

    def _run_liveness_checks(self) -> None:
        assert self._peers is not None and self._broadcasts is not None
        while True:
            gevent.sleep(LIVENESS_CHECK_INTERVAL_SECONDS)
            try:
                if self._broadcasts.is_broadcaster:
                    self._peers.check_liveness()
            except FeedError as error:
                self._journal.event("withdrawal-failed", cause=str(error))

    def _record_restore(self, before: Position, after: Position) -> None:
        """Record, once for both lists, that the store was restored from a backup."""
        if after.era <= self._era:
            return
        self._era = after.era
        self._restore_count += 1
        table = self.configuration.table
        self._journal.event(
            "store-restored",
            era_before=before.era,
            era=after.era,
            version_before=before.version,
            version=after.version,
            configuration=0 if table is None else table.version,
        )
        if self._peers is not None:
            self._peers.handle_restore()

    def _apply_configuration(self, table: RoutingTable) -> None:
        self._on_configuration(table)
        self.coordination.cells.retain_services(
            {item.name for item in table.services.values() if item.engine is not None}
        )
        self._handle_replicas_changed()

    def _handle_replicas_changed(self) -> None:
        """Update whatever depends on the replicas that accept new requests."""
        rows = (row.record for row in self._directory.list_rows())
        self.containment.update_replicas(
            [record for record in rows if record is not None]
        )
        table = self.configuration.table
        for name, spec in ({} if table is None else table.services).items():
            if spec.engine is not None:
                self.coordination.cells.set_engines(
                    name,
                    self._directory.get_eligible_records(name),
                    is_scaled=spec.scaling is not None
                    and spec.scaling.max_replicas >= MIN_DATA_CENTRE_ENGINES,
                )
        self.coordination.coordinators.apply_configuration()
        self._on_replicas_changed()
        self._schedule_broadcast()

    def _apply_departures(self, departures: list[Departure]) -> None:
        """Apply departures that other gateways observed."""
        new_departures = self._directory.mark_all_departed(
            (departure.instance, departure.incarnation) for departure in departures
        )
        for instance, _ in new_departures:
            self._journal.event(
                "replica-left", replica=instance, sign="reported by another gateway"
            )
        if new_departures:
            self._handle_replicas_changed()

    def _handle_rate_limit(self, limit: RateLimit) -> None:
        self._journal.event(
            "replica-limited",
            replica=limit.instance,
            per_second=limit.requests_per_second,
            change=limit.sequence_number,
        )
        self._schedule_broadcast()

    def _handle_rejection_limit(self, limit: RejectionLimit) -> None:
        self._journal.event(
            "replica-brittle",
            replica=limit.instance,
            per_second=limit.requests_per_second,
            change=limit.sequence_number,
        )
        self._schedule_broadcast()

    def _handle_members_changed(self) -> None:
        if self._peers is not None:
            self.rate_limits.set_senders(
                entry.instance for entry in self._peers.members
            )
        self.coordination.invalidate_members()
        self.origins.invalidate_members()
        if self._broadcasts is not None:
            self._broadcasts.invalidate_ranking()

    def _handle_quarantine(self, fingerprint: Fingerprint) -> None:
        self._journal.event("request-quarantined", fingerprint=fingerprint)
        self._schedule_broadcast()

    def _handle_release(self, fingerprint: Fingerprint) -> None:
        self._journal.event("request-released", fingerprint=fingerprint)
        self._schedule_broadcast()

    def _schedule_broadcast(self) -> None:
        if self._broadcasts is not None:
            self._broadcasts.schedule_update()

    def _handle_crash(self, crash: ObservedCrash) -> None:
        self._journal.event(
            "crash-observed",
            replica=crash.report.instance,
            incarnation=crash.report.incarnation,
            sign=crash.sign.value,
            after=crash.seconds_since_broken,
            requests=len(crash.report.fingerprints),
            most_crashes=crash.max_crash_count,
        )
        self._schedule_broadcast()

    def _make_read_plan(self, name: ListName) -> ReadPlan:
        return ReadPlan(
            name=name,
            clock=self._clock,
            reports=self._reports,
            rank=lambda: 0 if self._broadcasts is None else self._broadcasts.rank,
        )

    def _make_peers(self, incarnation: int) -> Peers | None:
        """Return the peers, ``None`` when the settings name no port for them."""
        ports = self._settings.peer_ports
        if ports is None:
            return None
        host = self._settings.listen.callers.rpartition(":")[0]
        return Peers(
            local_entry=PeerEntry(
                instance=self._local_member.instance,
                address=f"{host}:{ports[0]}",
                incarnation=incarnation,
                data_centre=self._local_member.data_centre,
                cores=self._local_member.cores,
                operators=self._settings.listen.operators or "",
            ),
            directory=lambda: self._link().peers,
            on_members_changed=self._handle_members_changed,
            on_message=lambda name: self.coordination.record_contact(name),
            clock=self._clock,
            journal=self._journal,
        )

    def _make_duties(
        self,
        *,
        api: Callable[[], PlatformApi | None],
        get_unix_time: Callable[[], float],
        incarnation: int,
    ) -> Duties | None:
        """Return the duties, ``None`` if the settings ask for none that is known."""
        platform_api = self._settings.platform_api
        if platform_api is None or api() is None:
            return None
        names = find_known_duties(platform_api.duties)
        if not names:
            return None

        def get_api() -> PlatformApi:
            active_api = api()
            assert active_api is not None
            return active_api

        return Duties(
            names=names,
            bounds=self._settings.duty_bounds,
            calls_per_second=platform_api.calls_per_second,
            api=get_api,
            tables=lambda: self._link().tables,
            get_era=lambda: self._era,
            peers=self._peers,
            instance=self._local_member.instance,
            incarnation=Incarnation(incarnation),
            data_centre=self._local_member.data_centre,
            cores=self._local_member.cores,
            clock=self._clock,
            get_unix_time=get_unix_time,
            journal=self._journal,
        )

    def _make_broadcasts(self, incarnation: int) -> Broadcasts | None:
        if self._peers is None:
            return None
        return Broadcasts(
            peers=self._peers,
            configuration=self.configuration,
            upstreams=self.upstreams,
            plans=self._plans,
            reports=self._reports,
            containment=self.containment,
            departures=self._departures,
            apply_departures=self._apply_departures,
            rate_limits=self.rate_limits,
            catch_up=self._catch_up_schedule,
            clock=self._clock,
            instance=self._local_member.instance,
            cores=self._local_member.cores,
            incarnation=incarnation,
            link_megabits=self._settings.link_megabits,
        )
