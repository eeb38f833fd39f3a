"""
Fleet
=====

One gateway's part in the fleet: what it follows, what it tells the other gateways and
hears from them, and coordination.
"""

from collections.abc import Callable

import gevent

from damasklead.clock import Clock
from damasklead.gateway.bootstrap import Bootstrap, ConfigurationRecovery
from damasklead.gateway.broadcasts import Broadcasts
from damasklead.gateway.calls import UpstreamRecord
from damasklead.gateway.containment import Containment
from damasklead.gateway.coordination.cells import Member
from damasklead.gateway.coordination.service import Coordination
from damasklead.gateway.departures import Departure, DepartureLog
from damasklead.gateway.dialect import FeedError, PeerEntry, PlatformLink
from damasklead.gateway.directory import UpstreamDirectory
from damasklead.gateway.following import ConfigurationFollower
from damasklead.gateway.journal import Journal
from damasklead.gateway.peers import Peers
from damasklead.gateway.positions import Position
from damasklead.gateway.reading import ListName, ListReports, ReadPlan
from damasklead.gateway.replicafollowing import UpstreamFollower
from damasklead.gateway.routing import RoutingTable
from damasklead.gateway.settings import GatewaySettings
from damasklead.gateway.snapshot import Snapshot
from damasklead.gateway.upstream_http import ConnectionPool
from damasklead.ids import DataCentre, Fingerprint, InstanceId, StoreEra
from damasklead.supervision import Child, Restart, TaskChild

__all__ = ["Fleet"]

# Silent gateways are looked for so often.
CHECK_SECONDS = 5.0


class Fleet:
    """
    The lists that a gateway follows and its ties to the others.

    Parameters
    ----------
    settings : GatewaySettings
    clock : Clock
    incarnation : int
        Start of the process in milliseconds.
    journal : Journal
    link : callable
        Returns the link to the platform in force.
    directory : UpstreamDirectory
    connections : ConnectionPool
    on_configuration : callable
        Told of each configuration that comes into force.
    on_replicas_changed : callable
        Told that the replicas have changed.
    on_unavailable : callable
        Told that neither the platform nor another gateway has told the configuration.

    Attributes
    ----------
    configuration : ConfigurationFollower
    upstreams : UpstreamFollower
    containment : Containment
    coordination : Coordination
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        clock: Clock,
        incarnation: int,
        journal: Journal,
        link: Callable[[], PlatformLink],
        directory: UpstreamDirectory,
        connections: ConnectionPool,
        on_configuration: Callable[[RoutingTable], None],
        on_replicas_changed: Callable[[], None],
        on_unavailable: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._journal = journal
        self._link = link
        self._directory = directory
        self._on_configuration = on_configuration
        self._on_replicas_changed = on_replicas_changed
        self._own = Member(
            InstanceId(settings.instance),
            DataCentre(settings.data_centre),
            settings.cores,
        )
        self._departures = DepartureLog(clock=clock)
        self._reports = ListReports(clock=clock)
        self._plans = [self._read_plan(name) for name in ListName]
        self.containment = Containment(clock=clock, on_quarantine=self._note_named)
        self.configuration = ConfigurationFollower(
            feed=lambda: link().routing,
            plan=self._plans[ListName.ROUTING],
            clock=clock,
            journal=journal,
            on_change=self._configure,
            gateway_count=lambda: self.gateway_count,
            on_restore=self._note_restored,
            on_unavailable=on_unavailable,
        )
        self.upstreams = UpstreamFollower(
            feed=lambda: link().upstreams,
            plan=self._plans[ListName.UPSTREAMS],
            clock=clock,
            journal=journal,
            directory=directory,
            on_change=self._arrange,
            gateway_count=lambda: self.gateway_count,
            on_restore=self._note_restored,
        )
        self._era = StoreEra(0)
        self._restore_count = 0
        self._peers = self._make_peers(incarnation)
        self.coordination = Coordination(
            own=self._own,
            clock=clock,
            table=lambda: self.configuration.table,
            peers=self._peers,
            journal=journal,
        )
        self._broadcasts = self._make_broadcasts(incarnation)
        self._configuration_recovery = ConfigurationRecovery(
            apply_snapshot=self._take_newer_routing,
            connections=connections,
            clock=clock,
            journal=journal,
        )
        self._bootstrap = Bootstrap(
            seeds=[
                seed for seed in settings.seeds if seed != settings.listen.operators
            ],
            is_configured=lambda: self.configuration.table is not None,
            apply_snapshot=self._take_snapshot,
            connections=connections,
            journal=journal,
        )

    @property
    def gateway_count(self) -> int:
        """How many gateways are known, this one included."""
        return 1 if self._peers is None else len(self._peers.members) + 1

    @property
    def is_gateway_count_known(self) -> bool:
        """Whether the gateways were looked up."""
        return self._peers is None or self._peers.is_discovery_complete

    @property
    def restore_count(self) -> int:
        """How often the platform's store was seen to come back from an older copy."""
        return self._restore_count

    def build_snapshot(self) -> Snapshot | None:
        """Return what this gateway knows, for one that starts."""
        table = self.configuration.table
        if table is None:
            return None
        return Snapshot(
            routing=table.content,
            upstreams=self._directory.list_rows(),
            peers=[] if self._peers is None else self._peers.entries,
            cursor=self.upstreams.cursor,
        )

    def record_departure(self, record: UpstreamRecord, sign: str) -> None:
        """Give a replica nothing more, and tell the other gateways."""
        if self._directory.mark_departed(record.instance, record.incarnation):
            self._journal.event("replica-left", replica=record.instance, sign=sign)
            self._departures.record(record.instance, record.incarnation)
            self._arrange()

    def create_tasks(self) -> list[Child]:
        """Return the tasks, to be supervised."""
        tasks: list[Child] = [
            TaskChild(
                name="seeds", function=self._bootstrap.run, restart=Restart.TRANSIENT
            ),
            TaskChild(name="configuration", function=self._follow_configuration),
            TaskChild(name="replicas", function=self._follow_upstreams),
            TaskChild(name="decisions", function=self.coordination.run_queue_loop),
            TaskChild(name="running", function=self.coordination.run_report_loop),
        ]
        if self._peers is not None and self._broadcasts is not None:
            self._peers.listen()
            tasks += [
                TaskChild(name="broadcasts", function=self._broadcasts.run),
                TaskChild(name="peer-receiver", function=self._peers.run_receiver),
                TaskChild(name="peer-look-up", function=self._peers.run_discovery),
                TaskChild(name="peer-check", function=self._check_forever),
            ]
        return tasks

    def announce_leave(self) -> None:
        """Coordinate nothing any more, since this gateway stops."""
        self.coordination.cells.resign_coordination()
        if self._peers is not None:
            self._peers.send_leave_notice()

    def close(self) -> None:
        """Leave the directory of gateways."""
        if self._peers is not None:
            self._peers.close()

    def _follow_configuration(self) -> None:
        self._bootstrap.wait_for_seeds()
        self.configuration.run()

    def _follow_upstreams(self) -> None:
        self._bootstrap.wait_for_seeds()
        self.upstreams.run()

    def _check_forever(self) -> None:
        assert self._peers is not None and self._broadcasts is not None
        while True:
            gevent.sleep(CHECK_SECONDS)
            try:
                if self._broadcasts.is_broadcaster:
                    self._peers.check_liveness()
            except FeedError as error:
                self._journal.event("withdrawal-failed", cause=str(error))

    def _take_snapshot(self, snapshot: Snapshot) -> None:
        self.upstreams.apply_snapshot(snapshot.upstreams, snapshot.cursor)
        self.configuration.apply_peer_configuration(
            RoutingTable(content=snapshot.routing)
        )
        if self._peers is not None:
            self._peers.apply_snapshot(snapshot.peers)

    def _take_newer_routing(self, snapshot: Snapshot) -> None:
        self.configuration.apply_peer_configuration(
            RoutingTable(content=snapshot.routing)
        )

    def _request_routing(self, peer: str) -> None:
        """Get the configuration from a gateway that has a newer one than the store."""
        assert self._peers is not None
        self._configuration_recovery.fetch_from(self._peers.get_operators_address(peer))

    def _note_restored(self, before: Position, after: Position) -> None:
        """Take in, once for both lists, that the store came back from a copy."""
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

    def _configure(self, table: RoutingTable) -> None:
        self._on_configuration(table)
        self.coordination.cells.remove_services(lambda name: name not in table.services)
        self._arrange()

    def _arrange(self) -> None:
        """Let all see the replicas that may take new work."""
        rows = (row.record for row in self._directory.list_rows())
        self.containment.update_replicas(
            [record for record in rows if record is not None]
        )
        table = self.configuration.table
        for name, spec in ({} if table is None else table.services).items():
            if spec.engine is not None:
                self.coordination.cells.set_engines(
                    name, self._directory.get_eligible_records(name)
                )
        self.coordination.coordinators.apply_configuration()
        self._on_replicas_changed()
        if self._broadcasts is not None:
            self._broadcasts.schedule_update()

    def _apply_departures(self, notes: list[Departure]) -> None:
        """Take in which replicas other gateways know to leave."""
        news = [
            note
            for note in notes
            if self._directory.mark_departed(note.instance, note.incarnation)
        ]
        for note in news:
            self._journal.event(
                "replica-left", replica=note.instance, sign="another gateway tells"
            )
        if news:
            self._arrange()

    def _handle_members_changed(self) -> None:
        self.coordination.invalidate_members()
        if self._broadcasts is not None:
            self._broadcasts.invalidate_ranking()

    def _note_named(self, fingerprint: Fingerprint) -> None:
        self._journal.event("request-quarantined", fingerprint=fingerprint)

    def _read_plan(self, name: ListName) -> ReadPlan:
        return ReadPlan(
            name=name,
            clock=self._clock,
            reports=self._reports,
            rank=lambda: 0 if self._broadcasts is None else self._broadcasts.rank,
        )

    def _make_peers(self, incarnation: int) -> Peers | None:
        """Return the ties to other gateways, if a port is there for them."""
        ports = self._settings.peer_ports
        if ports is None:
            return None
        host = self._settings.listen.callers.rpartition(":")[0]
        return Peers(
            local_entry=PeerEntry(
                instance=self._own.instance,
                address=f"{host}:{ports[0]}",
                incarnation=incarnation,
                data_centre=self._own.data_centre,
                cores=self._own.cores,
                operators=self._settings.listen.operators or "",
            ),
            directory=lambda: self._link().peers,
            on_members_changed=self._handle_members_changed,
            on_message=lambda name: self.coordination.record_contact(name),
            clock=self._clock,
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
            request_routing=self._request_routing,
            clock=self._clock,
            instance=self._own.instance,
            cores=self._own.cores,
            incarnation=incarnation,
        )
