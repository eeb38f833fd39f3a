"""
Gateway process
===============

One gateway: its supervisor tree, its start, its settings as they change, and its
graceful stop.
"""

import os
import signal
import socket
from collections.abc import Callable
from pathlib import Path

import gevent
from gevent.event import Event

from damasklead.gateway.budget import SharedRetryBudget
from damasklead.gateway.callers import RequestHandler
from damasklead.gateway.calls import UpstreamRecord
from damasklead.gateway.dialect import Dialect, PlatformLink
from damasklead.gateway.directory import UpstreamDirectory
from damasklead.gateway.fleet import Fleet
from damasklead.gateway.forwarding import Forwarder
from damasklead.gateway.journal import Journal
from damasklead.gateway.listeners import Listener, ReadyHandler, StatusHandler
from damasklead.gateway.metrics import GatewayMetrics
from damasklead.gateway.placements import Placement, new_placement
from damasklead.gateway.reloading import SettingsFile
from damasklead.gateway.routing import RoutingTable, ServiceSpec
from damasklead.gateway.runparts import GatewayContext
from damasklead.gateway.settings import GatewaySettings
from damasklead.gateway.starting import StartGate
from damasklead.gateway.upstream_http import ConnectionPool
from damasklead.ids import DataCentre, ServiceName
from damasklead.loop import LoopClock
from damasklead.supervision import Child, ServerChild, Supervisor, TaskChild

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
    caller_socket : socket or None
        Listens for callers already.
    """

    def __init__(
        self,
        *,
        settings_file: Path,
        settings: GatewaySettings,
        dialect: Dialect,
        open_link: Callable[[str], PlatformLink],
        caller_socket: socket.socket | None = None,
    ) -> None:
        self._open_link = open_link
        self._clock = LoopClock()
        self._journal = Journal(instance=settings.instance)
        self._file = SettingsFile(
            path=settings_file, settings=settings, journal=self._journal
        )
        self._metrics = GatewayMetrics()
        self._gate = StartGate()
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
        self._fleet = Fleet(
            settings=settings,
            clock=self._clock,
            incarnation=int(self._clock.get_unix_time() * 1000),
            journal=self._journal,
            link=lambda: self._link,
            directory=self._directory,
            connections=self._connections,
            on_configuration=self._configure,
            on_replicas_changed=self._arrange,
            on_unavailable=self._gate.open,
        )
        self._forwarder = Forwarder(
            context=GatewayContext(
                dialect=dialect,
                clock=self._clock,
                connections=self._connections,
                budget=self._budget,
                assignment_client=self._fleet.coordination.client,
                containment=self._fleet.containment,
                journal=self._journal,
                on_replica_left=self._note_left,
            ),
            placement_of=self._placement_of,
            table=lambda: self._fleet.configuration.table,
            metrics=self._metrics,
            gate=self._gate,
        )
        self._callers = self._listener(
            settings.listen.callers, self._forwarder, listening_socket=caller_socket
        )
        self._tree = self._build_tree()
        self._observe()

    @property
    def _settings(self) -> GatewaySettings:
        return self._file.settings

    @property
    def is_ready(self) -> bool:
        """Whether the process can take requests."""
        listed = (
            self._fleet.upstreams.last_read_at is not None
            or not self._directory.is_empty
        )
        known = self._fleet.configuration.table is not None and listed
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
        self._journal.event("stopping", requests=self._forwarder.active_requests)
        self._fleet.announce_leave()
        deadline = began + self._settings.bounds.stop_seconds - STOP_MARGIN_SECONDS
        gevent.sleep(UNROUTED_SECONDS)
        self._callers.drain(seconds=deadline - self._clock.now())
        self._journal.event(
            "stopped",
            cut_off=self._callers.connection_count,
            seconds=self._clock.now() - began,
        )
        self._tree.stop()
        self._fleet.close()
        self._connections.close()
        self._link.close()
        self._journal.flush()

    def reload(self) -> None:
        """Read the settings file again; what is wrong leaves the old ones in force."""
        before = self._settings
        if not self._file.reload():
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
            self._fleet.upstreams.expire()
            self._connections.close_expired()
            self._fleet.containment.update_quarantine()
            if self._fleet.is_gateway_count_known:
                self._share_among(self._fleet.gateway_count)
            if self._file.has_changed:
                self.reload()

    def _share_among(self, gateways: int) -> None:
        """Take this gateway's share of what all have together."""
        self._budget.set_gateway_count(gateways)
        table = self._fleet.configuration.table
        if table is not None and table.services:
            self._connections.set_idle_limit(
                max_connections=min(
                    item.max_connections for item in table.services.values()
                ),
                gateways=gateways,
            )

    def _configure(self, table: RoutingTable) -> None:
        self._metrics.configuration_version.set(table.version)
        for name in [item for item in self._placements if item not in table.services]:
            del self._placements[name]
        for service in table.services.values():
            placement = self._placement_of(service.name)
            placement.configure(service, table.find_routes(service.name))

    def _arrange(self) -> None:
        """Let the placements see the replicas that may take new work."""
        if self.is_ready:
            self._gate.open()
        for name, placement in self._placements.items():
            usable = self._directory.get_eligible_records(name)
            placement.update_replicas(usable)
            self._metrics.replicas.labels(name).set(len(usable))

    def _placement_of(self, name: ServiceName) -> Placement:
        placement = self._placements.get(name)
        if placement is None:
            table = self._fleet.configuration.table
            spec = None if table is None else table.services.get(name)
            placement = new_placement(
                service=spec or ServiceSpec(name=name, max_connections=1),
                clock=self._clock,
                data_centre=DataCentre(self._settings.data_centre),
            )
            placement.update_replicas(self._directory.get_eligible_records(name))
            self._placements[name] = placement
        return placement

    def _note_left(self, record: UpstreamRecord, sign: str) -> None:
        self._connections.close_idle(record.address)
        self._fleet.record_departure(record, sign)

    def _listener(
        self,
        address: str,
        handler: RequestHandler,
        *,
        listening_socket: socket.socket | None = None,
    ) -> Listener:
        return Listener(
            listening_socket=listening_socket,
            address=address,
            handler=handler,
            clock=self._clock,
            stopping=lambda: self._stopping,
        )

    def _state(self) -> dict[str, object]:
        """Return what operators are shown."""
        table = self._fleet.configuration.table
        return {
            "instance": self._settings.instance,
            "ready": self.is_ready,
            "configuration": None if table is None else table.version,
            "active": self._forwarder.active_requests,
            "gateways": self._fleet.gateway_count,
            "cells": self._fleet.coordination.coordinators.state,
            "replicas": {
                name: sorted(placement.eligible_instances)
                for name, placement in self._placements.items()
            },
        }

    def _observe(self) -> None:
        """Let the gauges read the process's state."""
        metrics = self._metrics
        metrics.active_requests.set_function(lambda: self._forwarder.active_requests)
        metrics.waiting_requests.set_function(
            lambda: self._fleet.coordination.client.pending_requests
        )
        metrics.connections_opened.set_function(lambda: self._connections.opened_count)
        metrics.store_restores.set_function(lambda: self._fleet.restore_count)
        metrics.log_lines_dropped.set_function(lambda: self._journal.dropped_count)
        for follower in (self._fleet.configuration, self._fleet.upstreams):
            metrics.feed_age.labels(follower.name).set_function(follower.get_age)

    def _build_tree(self) -> Supervisor:
        listen = self._settings.listen
        ready = self._listener(
            listen.ready, ReadyHandler(is_ready=lambda: self.is_ready)
        )
        status = StatusHandler(
            metrics=self._metrics.render,
            state=self._state,
            snapshot=self._fleet.build_snapshot,
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
            TaskChild(name="ticks", function=self._tick_forever),
            *self._fleet.create_tasks(),
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
