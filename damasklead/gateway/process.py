"""
Gateway process
===============

A gateway as a process: its supervisor tree, start, reloads of its settings, and
graceful stop.
"""

import math
import os
import signal
import socket
from collections.abc import Callable
from functools import partial
from pathlib import Path

import gevent
from gevent.event import Event

from damasklead.descriptor_budget import make_descriptor_budget
from damasklead.gateway.abandonment_watch import AbandonmentWatch
from damasklead.gateway.budget import SharedRetryBudget
from damasklead.gateway.callers import RequestHandler
from damasklead.gateway.calls import Call, UpstreamRecord
from damasklead.gateway.context import GatewayContext, make_report_memory
from damasklead.gateway.coordination.remote_share import RemoteReason
from damasklead.gateway.dialect import Dialect, PlatformLink
from damasklead.gateway.directory import UpstreamDirectory
from damasklead.gateway.duties.base import DutyName, PlatformApi
from damasklead.gateway.duties.scaling.service import Scaling
from damasklead.gateway.duties.service import find_known_duties
from damasklead.gateway.fleet import Fleet
from damasklead.gateway.forwarding import Forwarder
from damasklead.gateway.journal import Journal
from damasklead.gateway.listeners import Listener, ReadyHandler, StatusHandler
from damasklead.gateway.log_limiter import LogLimiter
from damasklead.gateway.metrics import GatewayMetrics
from damasklead.gateway.placements import Placement, new_placement
from damasklead.gateway.replica_pauses import ReplicaPauses
from damasklead.gateway.replica_probe import ReplicaProbe
from damasklead.gateway.routing import RoutingTable, ServiceSpec
from damasklead.gateway.settings import GatewaySettings
from damasklead.gateway.settings_file import SettingsFile
from damasklead.gateway.snapshot_responses import SnapshotResponder
from damasklead.gateway.start_gate import StartGate
from damasklead.gateway.stop_schedule import StopSchedule
from damasklead.gateway.upstream_http import ConnectionPool
from damasklead.ids import DataCentre, InstanceId, ServiceName
from damasklead.loop import LoopClock
from damasklead.memory_budget import HeldKind, MemoryAccount
from damasklead.memory_shortage import compute_memory_limit, compute_reading_room
from damasklead.process_memory import read_resident_bytes
from damasklead.rejection_limits import SlotShare
from damasklead.stall_meter import StallMeter
from damasklead.supervision import Child, ServerChild, Supervisor, TaskChild
from damasklead.tunnels.dialer import TunnelDialer
from damasklead.tunnels.helpers import Helpers
from damasklead.tunnels.reachability import Reachability
from damasklead.tunnels.server import TunnelServer
from damasklead.tunnels.trials import run_trials
from damasklead.util import split_address

__all__ = ["GatewayProcess"]

MAINTENANCE_INTERVAL_SECONDS = 0.25
# The load balancer probes readiness once a second and removes a gateway after two
# failures, so new connections arrive for this long after a gateway becomes not ready.
DEREGISTRATION_DELAY_SECONDS = 2.4
# The platform kills the process when the stop timeout ends; this part of the timeout is
# reserved for an orderly close after the drain.
STOP_MARGIN_SECONDS = 0.4
TUNNEL_POLL_SECONDS = 0.05


class GatewayProcess:
    """
    A gateway with its supervisor tree of tasks and listeners.

    Parameters
    ----------
    settings_file : Path
        Path of the settings, from which they are reloaded.
    settings : GatewaySettings
        The settings as read at the start.
    dialect : Dialect
        Translates the platform's headers.
    open_link : callable
        Opens the connection to the platform at an address.
    caller_socket : socket or None
        Socket that already listens at the callers' address.
    open_api : callable or None
        Opens the platform's API for duties at an address; ``None`` on a platform
        without one.
    """

    def __init__(
        self,
        *,
        settings_file: Path,
        settings: GatewaySettings,
        dialect: Dialect,
        open_link: Callable[[str], PlatformLink],
        caller_socket: socket.socket | None = None,
        open_api: Callable[[str], PlatformApi] | None = None,
    ) -> None:
        self._open_link = open_link
        self._open_api = open_api
        self._clock = LoopClock()
        self._journal = Journal(instance=settings.instance)
        self._settings_file = SettingsFile(
            path=settings_file, settings=settings, journal=self._journal
        )
        self._metrics = GatewayMetrics()
        self._dropped_figures = LogLimiter()
        self._gate = StartGate()
        self._stop_schedule = StopSchedule(clock=self._clock)
        self._is_stopping = False
        self._stop_requested = Event()
        self._link = open_link(settings.platform)
        self._api = self._connect_api(settings)
        self._directory = UpstreamDirectory(clock=self._clock)
        self._placements: dict[ServiceName, Placement] = {}
        # Kept when a configuration without a service drops its placement.
        self._pauses = ReplicaPauses(clock=self._clock)
        self._account = MemoryAccount(clock=self._clock)
        self._descriptors = make_descriptor_budget(settings.max_descriptors)
        self._update_limits()
        self._tunnels: TunnelServer | None = None
        self._reachability = Reachability(
            clock=self._clock,
            get_replica_count=lambda: self._directory.replica_count,
            on_change=self._record_isolation,
        )
        self._dialer = TunnelDialer(
            reachability=self._reachability,
            helpers=Helpers(
                instance=InstanceId(settings.instance),
                data_centre=DataCentre(settings.data_centre),
                clock=self._clock,
            ),
            get_peers=lambda: self._fleet.other_gateways,
            clock=self._clock,
            journal=self._journal,
            probe_target=dialect.report_target,
        )
        self._stalls = StallMeter(clock=self._clock)
        self._connections = ConnectionPool(
            clock=self._clock,
            get_max_connections=lambda: self._descriptors.compute_max_connections(
                tunnels=0 if self._tunnels is None else self._tunnels.open_count
            ),
            dialer=self._dialer,
            get_stall=self._stalls.get_stall,
        )
        self._budget = SharedRetryBudget(
            clock=self._clock,
            ratio=settings.bounds.retry_ratio,
            allowance=settings.bounds.retry_allowance,
            window=settings.bounds.retry_window_seconds,
        )
        self._fleet = Fleet(
            settings=settings,
            clock=self._clock,
            get_unix_time=self._clock.get_unix_time,
            incarnation=int(self._clock.get_unix_time() * 1000),
            journal=self._journal,
            link=lambda: self._link,
            directory=self._directory,
            connections=ConnectionPool(clock=self._clock),
            on_configuration=self._apply_configuration,
            on_replicas_changed=self._update_placements,
            on_unavailable=self._gate.open,
            on_remote=self._count_remote,
            on_catch_up=self._metrics.count_catch_up,
            api=lambda: self._api,
        )
        report_memory = make_report_memory()
        probe = ReplicaProbe(
            connections=self._connections,
            containment=self._fleet.containment,
            dialect=dialect,
            report_memory=report_memory,
            clock=self._clock,
            get_unix_time=self._clock.get_unix_time,
            open_elsewhere=self._dialer.open_elsewhere,
            is_isolated=lambda: self._reachability.is_isolated,
        )
        self._abandonment_watch = AbandonmentWatch(
            connections=self._connections,
            probe=probe,
            containment=self._fleet.containment,
        )
        self._scaling = self._make_scaling(settings)
        self._forwarder = Forwarder(
            context=GatewayContext(
                dialect=dialect,
                clock=self._clock,
                connections=self._connections,
                budget=self._budget,
                assignment_client=self._fleet.coordination.client,
                containment=self._fleet.containment,
                probe=probe,
                journal=self._journal,
                rate_limits=self._fleet.rate_limits,
                origins=self._fleet.origins,
                stop_schedule=self._stop_schedule,
                on_replica_left=self._handle_departure,
                on_execution=self._record_execution,
                on_retry_denied=self._metrics.count_retry_denial,
                on_unframed_end=self._metrics.count_unframed_end,
                report_memory=report_memory,
                is_isolated=lambda: self._reachability.is_isolated,
                dropped_figures=self._dropped_figures,
                account=self._account,
            ),
            placement_of=self._get_placement,
            table=lambda: self._fleet.configuration.table,
            metrics=self._metrics,
            gate=self._gate,
            get_configuration_age=lambda: self._fleet.configuration_age,
            get_newest_configuration=lambda: self._fleet.newest_configuration,
            is_configuration_current=lambda: self._fleet.is_configuration_current,
        )
        self._caller_listener = Listener(
            listening_socket=caller_socket,
            address=settings.listen.callers,
            handler=self._forwarder,
            clock=self._clock,
            is_stopping=lambda: self._is_stopping,
            account=self._account,
            get_stall_seconds=lambda: self._settings.send_stall_seconds,
            get_budget=lambda: self._descriptors,
            on_closed=self._metrics.count_closed_caller,
            on_rejected=self._forwarder.record_rejection,
            on_unread_close=self._forwarder.record_unread_close,
        )
        self._tunnels = self._make_tunnel_server()
        self._tree = self._build_tree()
        self._bind_gauges()

    @property
    def _settings(self) -> GatewaySettings:
        return self._settings_file.settings

    @property
    def is_ready(self) -> bool:
        """
        Whether the gateway can serve requests.

        It has a configuration and the list of replicas, and is not stopping.
        """
        has_replica_list = (
            self._fleet.upstreams.last_read_at is not None
            or not self._directory.is_empty
        )
        has_lists = self._fleet.configuration.table is not None and has_replica_list
        return has_lists and not self._is_stopping

    @property
    def tree(self) -> Supervisor:
        """The supervisor tree."""
        return self._tree

    def run(self) -> int:
        """Run until SIGTERM or SIGINT and stop gracefully; returns the exit code."""
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self._stop_requested.set)
        gevent.signal_handler(signal.SIGHUP, self.reload)
        try:
            self.start()
            self._stop_requested.wait()
            self.stop()
        finally:
            # Also after an error, whose causes are among the last lines.
            self._journal.flush()
        return 1 if self._tree.failed.is_set() else 0

    def start(self) -> None:
        """Start the supervisor tree; returns without waiting for readiness."""
        self._tree.start(lambda _child, _cause: self._stop_requested.set())
        self._journal.event(
            "started", data_centre=self._settings.data_centre, pid=os.getpid()
        )

    def stop(self) -> None:
        """Become not ready, let the requests in progress end, and stop."""
        started_at = self._clock.now()
        self._is_stopping = True
        self._journal.event("stopping", requests=self._forwarder.active_requests)
        self._journal.flush()
        self._fleet.announce_leave()
        stop_seconds = self._settings.bounds.stop_seconds - STOP_MARGIN_SECONDS
        self._stop_schedule.begin(seconds=stop_seconds)
        gevent.sleep(DEREGISTRATION_DELAY_SECONDS)
        self._caller_listener.drain(
            seconds=self._stop_schedule.remaining_seconds or 0.0
        )
        self._wait_for_tunnels()
        ended_count = self._forwarder.end_requests()
        if ended_count:
            gevent.sleep(max(0.0, started_at + stop_seconds - self._clock.now()))
        self._journal.event(
            "stopped",
            ended=ended_count,
            cut_off=self._caller_listener.connection_count,
            seconds=self._clock.now() - started_at,
        )
        self._tree.stop()
        self._fleet.close()
        self._connections.close()
        self._link.close()
        self._journal.flush()

    def _wait_for_tunnels(self) -> None:
        """Let the tunnels of other gateways end until the stop schedule does."""
        while (
            self._tunnels is not None
            and self._tunnels.open_count
            and self._stop_schedule.remaining_seconds
        ):
            gevent.sleep(TUNNEL_POLL_SECONDS)

    def reload(self) -> None:
        """Reload the settings file; invalid settings leave the old ones in force."""
        before = self._settings
        if not self._settings_file.reload():
            return
        settings = self._settings
        if settings.platform != before.platform:
            old_link, self._link = self._link, self._open_link(settings.platform)
            old_link.close()
        if settings.platform_api != before.platform_api:
            # Other duties take effect with the next start.
            self._api = self._connect_api(settings) or self._api
        self._budget.configure(
            ratio=settings.bounds.retry_ratio,
            allowance=settings.bounds.retry_allowance,
            window=settings.bounds.retry_window_seconds,
        )

    def _run_maintenance(self) -> None:
        while True:
            gevent.sleep(MAINTENANCE_INTERVAL_SECONDS)
            self._fleet.upstreams.expire()
            self._connections.close_expired()
            self._connections.close_unusable()
            self._update_limits()
            self._fleet.containment.update_quarantine()
            self._abandonment_watch.check_due()
            if self._fleet.is_gateway_count_known:
                self._apply_gateway_count(self._fleet.gateway_count)
            if self._settings_file.has_changed:
                self.reload()

    def _watch_reachability(self) -> None:
        """Try replicas while this gateway is isolated, or they are silent."""
        run_trials(
            dialer=self._dialer,
            reachability=self._reachability,
            list_addresses=lambda: self._directory.addresses,
        )

    def _make_tunnel_server(self) -> TunnelServer | None:
        """Return the server of tunnels, ``None`` without a port for other gateways."""
        settings = self._settings
        if settings.peer_ports is None:
            return None
        host = settings.listen.callers.rpartition(":")[0]
        return TunnelServer(
            address=f"{host}:{settings.peer_ports[0]}",
            reachability=self._reachability,
            is_peer=lambda address: any(
                split_address(peer.address)[0] == address
                for peer in self._fleet.other_gateways
            ),
            is_replica=self._directory.has_address,
            is_stopping=lambda: self._is_stopping,
            account=self._account,
            get_max_tunnels=lambda: self._descriptors.compute_max_tunnels(
                connections=self._connections.open_count
            ),
            clock=self._clock,
            journal=self._journal,
        )

    def _apply_gateway_count(self, gateway_count: int) -> None:
        """Set this gateway's share of the limits that all gateways have in common."""
        self._budget.set_gateway_count(gateway_count)
        table = self._fleet.configuration.table
        if table is not None and table.services:
            self._connections.set_idle_limit(
                max_connections=min(
                    item.max_connections for item in table.services.values()
                ),
                gateways=gateway_count,
            )

    def _apply_configuration(self, table: RoutingTable) -> None:
        self._metrics.configuration_version.set(table.version)
        for name in [item for item in self._placements if item not in table.services]:
            del self._placements[name]
        for service in table.services.values():
            placement = self._get_placement(service.name)
            placement.configure(service, table.find_routes(service.name))
        self._stop_schedule.retain_routes({route.name for route in table.routes})

    def _update_placements(self) -> None:
        """Pass the replicas that accept new requests to the placements."""
        if self.is_ready:
            self._gate.open()
        for name, placement in self._placements.items():
            records = self._directory.get_eligible_records(name)
            placement.update_replicas(records)
            self._metrics.replicas.labels(name).set(len(records))

    def _get_placement(self, name: ServiceName) -> Placement:
        placement = self._placements.get(name)
        if placement is None:
            table = self._fleet.configuration.table
            spec = None if table is None else table.services.get(name)
            placement = new_placement(
                service=spec or ServiceSpec(name=name, max_connections=1),
                clock=self._clock,
                data_centre=DataCentre(self._settings.data_centre),
                get_request_rate=self._get_request_rate,
                get_slot_share=self._get_slot_share,
                pauses=self._pauses,
            )
            placement.update_replicas(self._directory.get_eligible_records(name))
            self._placements[name] = placement
        return placement

    def _get_request_rate(self, record: UpstreamRecord) -> float | None:
        """Return the rate at which this gateway may send a replica requests itself."""
        placement = self._placements.get(record.service)
        if placement is not None and placement.is_coordinated:
            return self._fleet.rate_limits.get_uncoordinated_share(record)
        return self._fleet.rate_limits.get_share(record)

    def _get_slot_share(self, record: UpstreamRecord) -> SlotShare | None:
        """Return what this gateway itself may use of a replica that is brittle."""
        placement = self._placements.get(record.service)
        is_coordinated = placement is not None and placement.is_coordinated
        return self._fleet.rate_limits.rejections.get_share(
            record, slots=0 if is_coordinated else max(1, record.slots)
        )

    def _connect_api(self, settings: GatewaySettings) -> PlatformApi | None:
        """Return the API for duties in the settings, ``None`` without one."""
        if settings.platform_api is None or self._open_api is None:
            return None
        return self._open_api(settings.platform_api.address)

    def _make_scaling(self, settings: GatewaySettings) -> Scaling | None:
        """Return the scaling, ``None`` if the settings don't ask for it."""
        duties, api_settings = self._fleet.duties, settings.platform_api
        if (
            duties is None
            or api_settings is None
            or DutyName.AUTOSCALE not in find_known_duties(api_settings.duties)
        ):
            return None

        return Scaling(
            duties=duties,
            table=lambda: self._fleet.configuration.table,
            directory=self._directory,
            get_list_age=lambda: self._fleet.replica_list_age,
            coordinators=self._fleet.coordination.coordinators,
            clock=self._clock,
            journal=self._journal,
            registry=self._metrics.registry,
        )

    def _record_execution(self, call: Call) -> None:
        """Count a request of a workspace that a replica has begun to execute."""
        if self._fleet.duties is not None and call.workspace is not None:
            self._fleet.duties.record_execution(call.workspace.name)

    def _handle_departure(self, record: UpstreamRecord, sign: str) -> None:
        self._connections.close_idle(record.address)
        self._fleet.record_departure(record, sign)

    def _record_isolation(self, is_isolated: bool) -> None:
        name = "replicas-unreachable" if is_isolated else "replicas-reachable"
        self._journal.event(name, replicas=self._directory.replica_count)

    def _count_remote(
        self, call: Call, target: DataCentre, reason: RemoteReason
    ) -> None:
        self._metrics.count_remote(
            call, DataCentre(self._settings.data_centre), target, reason
        )

    def _update_limits(self) -> None:
        """Derive the limits on callers from the instance's memory and descriptors."""
        settings = self._settings
        self._descriptors = make_descriptor_budget(settings.max_descriptors)
        if settings.memory_megabytes is None:
            self._account.limit_bytes = math.inf
            return
        memory_bytes = 1_000_000 * settings.memory_megabytes
        account, resident_bytes = self._account, read_resident_bytes()
        account.limit_bytes = compute_memory_limit(
            memory_bytes=memory_bytes,
            resident_bytes=resident_bytes - account.received_reserved_bytes,
            peak_held_bytes=account.peak_bytes,
        )
        account.reading_room_bytes = compute_reading_room(
            memory_bytes=memory_bytes,
            resident_bytes=resident_bytes,
            unread_bytes=account.unread_bytes,
        )

    def _create_listener(self, address: str, handler: RequestHandler) -> Listener:
        return Listener(
            address=address,
            handler=handler,
            clock=self._clock,
            is_stopping=lambda: self._is_stopping,
        )

    def _build_state(self) -> dict[str, object]:
        """Return the gateway's state for operators."""
        table, duties = self._fleet.configuration.table, self._fleet.duties
        return {
            "instance": self._settings.instance,
            "ready": self.is_ready,
            "configuration": None if table is None else table.version,
            "active": self._forwarder.active_requests,
            "gateways": self._fleet.gateway_count,
            "callers": self._account.count_by_stage(),
            "cells": self._fleet.coordination.coordinators.state,
            "replicas": {
                name: sorted(placement.eligible_instances)
                for name, placement in self._placements.items()
            },
            **({} if duties is None else {"duties": duties.state}),
            **({} if self._scaling is None else {"scaling": self._scaling.state}),
        }

    def _bind_gauges(self) -> None:
        """Set the functions from which the gauges read their values."""
        metrics = self._metrics
        metrics.active_requests.set_function(lambda: self._forwarder.active_requests)
        metrics.waiting_requests.set_function(
            lambda: self._fleet.coordination.client.pending_requests
        )
        metrics.connections_opened.set_function(lambda: self._connections.opened_count)
        tunnels = self._tunnels
        if tunnels is not None:
            metrics.open_tunnels.set_function(lambda: tunnels.open_count)
            metrics.tunnels_opened.set_function(lambda: tunnels.opened_count)
        metrics.isolated.set_function(lambda: self._reachability.is_isolated)
        metrics.store_restores.set_function(lambda: self._fleet.restore_count)
        metrics.limited_replicas.set_function(
            lambda: self._fleet.rate_limits.limited_count
        )
        metrics.brittle_replicas.set_function(
            lambda: self._fleet.rate_limits.rejections.limited_count
        )
        metrics.interleaved_requests.set_function(
            lambda: self._fleet.coordination.coordinators.interleaved_requests
        )
        metrics.slowest_replica.set_function(
            lambda: max(
                (item.max_slowdown for item in self._placements.values()), default=1.0
            )
        )
        metrics.load_figures_dropped.set_function(
            lambda: self._dropped_figures.total_count
        )
        metrics.crash_causes.set_function(
            lambda: len(self._fleet.containment.refused_fingerprints)
        )
        for kind in HeldKind:
            metrics.held_bytes.labels(kind.value).set_function(
                partial(self._account.used_by_kind.__getitem__, kind)
            )
        metrics.held_bytes_limit.set_function(lambda: self._account.limit_bytes)
        metrics.open_connections.labels("callers").set_function(
            lambda: self._caller_listener.connection_count
        )
        metrics.open_connections.labels("replicas").set_function(
            lambda: self._connections.open_count
        )
        metrics.log_lines_dropped.set_function(lambda: self._journal.dropped_count)
        if self._fleet.duties is not None:
            metrics.add_duties(self._fleet.duties)
        for follower in (self._fleet.configuration, self._fleet.upstreams):
            metrics.feed_age.labels(follower.name).set_function(follower.get_age)

    def _build_tree(self) -> Supervisor:
        listen = self._settings.listen
        ready_listener = self._create_listener(
            listen.ready, ReadyHandler(is_ready=lambda: self.is_ready)
        )
        status_handler = StatusHandler(
            metrics=self._metrics.render,
            state=self._build_state,
            snapshots=SnapshotResponder(
                build_snapshot=self._fleet.snapshots.build,
                clock=self._clock,
                link_megabits=self._settings.link_megabits,
            ),
        )
        servers: dict[str, Listener | TunnelServer] = {
            "callers": self._caller_listener,
            "ready": ready_listener,
        }
        if self._tunnels is not None:
            servers["tunnels"] = self._tunnels
        if listen.operators is not None:
            servers["operators"] = self._create_listener(
                listen.operators, status_handler
            )
        if listen.metrics_port is not None:
            host = listen.callers.rpartition(":")[0]
            address = f"{host}:{listen.metrics_port}"
            servers["metrics"] = self._create_listener(address, status_handler)
        tasks: list[Child] = [
            TaskChild(name="journal", function=self._journal.run),
            TaskChild(name="stalls", function=self._stalls.run),
            TaskChild(name="ticks", function=self._run_maintenance),
            TaskChild(name="reachability", function=self._watch_reachability),
            *self._fleet.create_tasks(),
            *([] if self._scaling is None else self._scaling.create_tasks()),
        ]
        listeners: list[Child] = [
            ServerChild(name=name, start_server=server.start, stop_server=server.stop)
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
