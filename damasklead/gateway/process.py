"""
Gateway process
===============

One gateway: its supervisor tree, its start, its settings as they change, and its
graceful stop.
"""

import os
import signal
from collections.abc import Callable
from pathlib import Path

import gevent
from gevent.event import Event

from damasklead.gateway.attempts import RunParts
from damasklead.gateway.bootstrap import Bootstrap
from damasklead.gateway.budget import SharedRetryBudget
from damasklead.gateway.callers import RequestHandler
from damasklead.gateway.calls import UpstreamRecord
from damasklead.gateway.containment import Containment
from damasklead.gateway.departures import Departures, LeftNote
from damasklead.gateway.dialect import Dialect, PeerEntry, PlatformLink
from damasklead.gateway.directory import UpstreamDirectory
from damasklead.gateway.following import ConfigurationFollower, UpstreamFollower
from damasklead.gateway.forwarding import Forwarder
from damasklead.gateway.gate import Gate
from damasklead.gateway.journal import Journal
from damasklead.gateway.listeners import Listener, ReadyHandler, StatusHandler
from damasklead.gateway.metrics import GatewayMetrics
from damasklead.gateway.peerload import PeerLoads, ReplicaShare, make_shares
from damasklead.gateway.peers import Peers
from damasklead.gateway.placements import Placement, new_placement
from damasklead.gateway.reading import ListName, ListReports, ReadPlan, is_reader
from damasklead.gateway.reloading import SettingsFile
from damasklead.gateway.routing import RoutingTable, ServiceSpec
from damasklead.gateway.settings import GatewaySettings
from damasklead.gateway.snapshot import Snapshot
from damasklead.gateway.upstream_http import ConnectionPool
from damasklead.ids import DataCentre, Fingerprint, InstanceId, ServiceName
from damasklead.loop import LoopClock
from damasklead.supervision import Child, Restart, ServerChild, Supervisor, TaskChild

__all__ = ["GatewayProcess"]

TICK_SECONDS = 0.25
# Requests that wait are looked at so often, one of each service.
ADMIT_SECONDS = 0.01
# The balancer asks once a second and needs two misses, so new connections come for so
# long after a gateway says that it is not ready.
UNROUTED_SECONDS = 2.4
# Kept before the process is killed, to close what is left in order.
STOP_MARGIN_SECONDS = 0.4


class GatewayProcess:
    """
    A gateway with its tree of tasks and listeners.

    Parameters
    ----------
    settings_file : Path
    settings : GatewaySettings
        As read from the file at the start.
    dialect : Dialect
    open_link : callable
        Opens the link to the platform at an address.
    """

    def __init__(
        self,
        *,
        settings_file: Path,
        settings: GatewaySettings,
        dialect: Dialect,
        open_link: Callable[[str], PlatformLink],
    ) -> None:
        self._open_link = open_link
        self._clock = LoopClock()
        self._journal = Journal(instance=settings.instance)
        self._file = SettingsFile(
            path=settings_file, settings=settings, journal=self._journal
        )
        self._metrics = GatewayMetrics()
        self._stopping = False
        self._stop_asked = Event()
        self._link = open_link(settings.platform)
        self._directory = UpstreamDirectory(clock=self._clock)
        self._placements: dict[ServiceName, Placement] = {}
        self._connections = ConnectionPool(clock=self._clock)
        self._budget = SharedRetryBudget(
            clock=self._clock,
            ratio=settings.bounds.retry_ratio,
            allowance=settings.bounds.retry_allowance,
            window=settings.bounds.retry_window_seconds,
        )
        self._gate = Gate(clock=self._clock)
        self._peer_loads = PeerLoads(clock=self._clock, own=settings.instance)
        self._list_reports = ListReports(clock=self._clock)
        self._containment = Containment(clock=self._clock, named=self._note_named)
        self._departures = Departures(clock=self._clock)
        self._peers = self._make_peers()
        self._plans = [self._read_plan(name) for name in ListName]
        self._configuration = ConfigurationFollower(
            feed=lambda: self._link.routing,
            plan=self._plans[ListName.ROUTING],
            clock=self._clock,
            journal=self._journal,
            changed=self._configure,
        )
        self._upstreams = UpstreamFollower(
            feed=lambda: self._link.upstreams,
            plan=self._plans[ListName.UPSTREAMS],
            clock=self._clock,
            journal=self._journal,
            directory=self._directory,
            changed=self._arrange,
        )
        self._forwarder = Forwarder(
            parts=RunParts(
                dialect=dialect,
                clock=self._clock,
                connections=self._connections,
                budget=self._budget,
                gate=self._gate,
                containment=self._containment,
                journal=self._journal,
                left=self._note_left,
            ),
            placement_of=self._placement_of,
            table=lambda: self._configuration.table,
            metrics=self._metrics,
        )
        self._bootstrap = Bootstrap(
            seeds=[
                seed for seed in settings.seeds if seed != settings.listen.operators
            ],
            done=lambda: self._configuration.table is not None,
            take=self._take_snapshot,
            connections=self._connections,
            journal=self._journal,
        )
        self._callers = self._listener(settings.listen.callers, self._forwarder)
        self._tree = self._build_tree()
        self._observe()

    @property
    def _settings(self) -> GatewaySettings:
        return self._file.settings

    @property
    def ready(self) -> bool:
        """Whether the process can take requests."""
        listed = self._upstreams.seen_at is not None or not self._directory.empty
        known = self._configuration.table is not None and listed
        return known and not self._stopping

    @property
    def tree(self) -> Supervisor:
        """The supervisor tree."""
        return self._tree

    def run(self) -> int:
        """Run until SIGTERM or SIGINT and stop gracefully; returns the exit code."""
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self._stop_asked.set)
        gevent.signal_handler(signal.SIGHUP, self.reload)
        self.start()
        self._stop_asked.wait()
        self.stop()
        return 1 if self._tree.failed.is_set() else 0

    def start(self) -> None:
        """Start everything; returns at once."""
        self._tree.start(lambda _child, _cause: self._stop_asked.set())
        self._journal.event(
            "started", data_centre=self._settings.data_centre, pid=os.getpid()
        )

    def stop(self) -> None:
        """Invite no further requests, let those under way end, and stop."""
        began = self._clock.now()
        self._stopping = True
        self._journal.event("stopping", requests=self._forwarder.active)
        deadline = began + self._settings.bounds.stop_seconds - STOP_MARGIN_SECONDS
        gevent.sleep(UNROUTED_SECONDS)
        self._callers.drain(seconds=deadline - self._clock.now())
        self._journal.event(
            "stopped",
            cut_off=self._callers.open,
            seconds=self._clock.now() - began,
        )
        self._tree.stop()
        if self._peers is not None:
            self._peers.close()
        self._connections.close()
        self._link.close()
        self._journal.flush()

    def reload(self) -> None:
        """Read the settings file again; what is wrong leaves the old ones in force."""
        before = self._settings
        if not self._file.read():
            return
        settings = self._settings
        if settings.platform != before.platform:
            old, self._link = self._link, self._open_link(settings.platform)
            old.close()
        self._budget.configure(
            ratio=settings.bounds.retry_ratio,
            allowance=settings.bounds.retry_allowance,
            window=settings.bounds.retry_window_seconds,
        )

    def _tick_forever(self) -> None:
        while True:
            gevent.sleep(TICK_SECONDS)
            self._upstreams.expire()
            self._connections.sweep()
            self._containment.tick()
            if self._peers is not None and self._peers.known is not None:
                self._share_among(self._peers.known)
            if self._file.changed:
                self.reload()

    def _share_among(self, gateways: int) -> None:
        """Take this gateway's share of what all have together."""
        self._budget.set_gateways(gateways)
        table = self._configuration.table
        if table is not None and table.services:
            self._connections.share(
                max_connections=min(
                    item.max_connections for item in table.services.values()
                ),
                gateways=gateways,
            )

    def _admit_forever(self) -> None:
        while True:
            self._gate.wait()
            gevent.sleep(ADMIT_SECONDS)
            self._gate.tick()

    def _take_snapshot(self, snapshot: Snapshot) -> None:
        self._upstreams.offer(snapshot.upstreams)
        self._configuration.offer(RoutingTable(content=snapshot.routing))
        if self._peers is not None:
            self._peers.offer(snapshot.peers)

    def _snapshot(self) -> Snapshot | None:
        """Return what this gateway knows, for one that starts."""
        table = self._configuration.table
        if table is None:
            return None
        return Snapshot(
            routing=table.content,
            upstreams=self._directory.rows(),
            peers=[] if self._peers is None else self._peers.entries,
        )

    def _configure(self, table: RoutingTable) -> None:
        if self._peers is not None:
            self._peers.tell_soon()
        self._metrics.configuration_version.set(table.version)
        for name in [item for item in self._placements if item not in table.services]:
            del self._placements[name]
        for service in table.services.values():
            placement = self._placement_of(service.name)
            placement.configure(service, table.routes_to(service.name))
        self._arrange()

    def _arrange(self) -> None:
        """Let the placements see the replicas that may take new work."""
        if self._peers is not None:
            self._peers.tell_soon()
        rows = (row.record for row in self._directory.rows())
        self._containment.retain([record for record in rows if record is not None])
        for name, placement in self._placements.items():
            usable = self._directory.usable(name)
            placement.retain(usable)
            self._metrics.replicas.labels(name).set(len(usable))

    def _placement_of(self, name: ServiceName) -> Placement:
        placement = self._placements.get(name)
        if placement is None:
            table = self._configuration.table
            spec = None if table is None else table.services.get(name)
            placement = new_placement(
                service=spec or ServiceSpec(name=name, max_connections=1),
                clock=self._clock,
                data_centre=DataCentre(self._settings.data_centre),
                peers=self._peer_loads,
            )
            placement.retain(self._directory.usable(name))
            self._placements[name] = placement
        return placement

    def _note_left(self, record: UpstreamRecord, sign: str) -> None:
        """Give a replica nothing more, and tell the other gateways."""
        self._connections.discard(record.address)
        if self._directory.mark_left(record.instance, record.incarnation):
            self._journal.event("replica-left", replica=record.instance, sign=sign)
            self._departures.note(record.instance, record.incarnation)
            self._arrange()

    def _take_departures(self, notes: list[LeftNote]) -> None:
        """Take in which replicas other gateways know to leave."""
        news = [
            note
            for note in notes
            if self._directory.mark_left(note.instance, note.incarnation)
        ]
        for note in news:
            self._journal.event(
                "replica-left", replica=note.instance, sign="another gateway tells"
            )
        if news:
            self._arrange()

    def _note_named(self, fingerprint: Fingerprint) -> None:
        self._journal.event("request-quarantined", fingerprint=fingerprint)

    def _listener(self, address: str, handler: RequestHandler) -> Listener:
        return Listener(
            address=address,
            handler=handler,
            clock=self._clock,
            stopping=lambda: self._stopping,
        )

    def _state(self) -> dict[str, object]:
        """Return what operators are shown."""
        table = self._configuration.table
        return {
            "instance": self._settings.instance,
            "ready": self.ready,
            "configuration": None if table is None else table.version,
            "active": self._forwarder.active,
            "replicas": {
                name: sorted(placement.usable)
                for name, placement in self._placements.items()
            },
        }

    def _observe(self) -> None:
        """Let the gauges read the process's state."""
        metrics = self._metrics
        metrics.active.set_function(lambda: self._forwarder.active)
        metrics.waiting.set_function(lambda: self._gate.waiting)
        metrics.connections_opened.set_function(lambda: self._connections.opened)
        metrics.log_lines_dropped.set_function(lambda: self._journal.dropped)
        for follower in (self._configuration, self._upstreams):
            metrics.feed_age.labels(follower.name).set_function(follower.age)

    def _build_tree(self) -> Supervisor:
        listen = self._settings.listen
        ready = self._listener(listen.ready, ReadyHandler(ready=lambda: self.ready))
        status = StatusHandler(
            metrics=self._metrics.render, state=self._state, snapshot=self._snapshot
        )
        servers = {"callers": self._callers, "ready": ready}
        if listen.operators is not None:
            servers["operators"] = self._listener(listen.operators, status)
        if listen.metrics_port is not None:
            host = listen.callers.rpartition(":")[0]
            address = f"{host}:{listen.metrics_port}"
            servers["metrics"] = self._listener(address, status)
        tasks: list[Child] = [
            TaskChild(name="journal", function=self._journal.run),
            TaskChild(name="configuration", function=self._configuration.run),
            TaskChild(name="replicas", function=self._upstreams.run),
            TaskChild(name="ticks", function=self._tick_forever),
            TaskChild(name="admission", function=self._admit_forever),
            TaskChild(
                name="seeds", function=self._bootstrap.run, restart=Restart.TRANSIENT
            ),
            *self._peer_tasks(),
        ]
        listeners: list[Child] = [
            ServerChild(name=name, begin=server.start, end=server.stop)
            for name, server in servers.items()
        ]
        return Supervisor(
            name="gateway",
            clock=self._clock,
            children=[
                Supervisor(name="tasks", clock=self._clock, children=tasks),
                Supervisor(name="listeners", clock=self._clock, children=listeners),
            ],
        )

    def _make_peers(self) -> Peers | None:
        """Return the messages to other gateways, if a port is there for them."""
        ports = self._settings.peer_ports
        if ports is None:
            return None
        host = self._settings.listen.callers.rpartition(":")[0]
        return Peers(
            own=PeerEntry(
                instance=InstanceId(self._settings.instance),
                address=f"{host}:{ports[0]}",
                incarnation=int(self._clock.wall() * 1000),
            ),
            directory=lambda: self._link.peers,
            loads=self._peer_loads,
            shares=self._shares,
            reports=lambda: [plan.report for plan in self._plans],
            list_reports=self._list_reports,
            containment=self._containment,
            departures=self._departures,
            take_departures=self._take_departures,
            notify=self._notify_followers,
            clock=self._clock,
            journal=self._journal,
        )

    def _read_plan(self, name: ListName) -> ReadPlan:
        return ReadPlan(
            name=name,
            clock=self._clock,
            reports=self._list_reports,
            reads=lambda: is_reader(self._settings.instance, self._peer_loads.heard),
        )

    def _notify_followers(self) -> None:
        self._configuration.notify()
        self._upstreams.notify()

    def _shares(self) -> list[ReplicaShare]:
        """Return what this gateway has sent to each replica."""
        return [
            share
            for placement in self._placements.values()
            for share in make_shares(placement.loads())
        ]

    def _peer_tasks(self) -> list[Child]:
        peers = self._peers
        if peers is None:
            return []
        peers.listen()
        return [
            TaskChild(name="peer-sender", function=peers.run_sender),
            TaskChild(name="peer-receiver", function=peers.run_receiver),
            TaskChild(name="peer-look-up", function=peers.run_look_up),
        ]
