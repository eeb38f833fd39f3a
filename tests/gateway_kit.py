"""
Test kit of the gateway
=======================

Scripted replicas, a forwarder in front of them, and builders of the messages that
callers and replicas send.
"""

import time
from collections.abc import Callable, Sequence
from contextlib import suppress

import gevent
from gevent import socket
from gevent.server import StreamServer

from damasklead.clock import Clock, ManualClock
from damasklead.demo.local import find_free_address
from damasklead.gateway.budget import SharedRetryBudget
from damasklead.gateway.calls import Call, UpstreamRecord, UpstreamState
from damasklead.gateway.context import GatewayContext, make_report_memory
from damasklead.gateway.coordination.assignment_client import AssignmentClient
from damasklead.gateway.coordination.cells import Member
from damasklead.gateway.coordination.service import Coordination
from damasklead.gateway.crash_containment import Containment
from damasklead.gateway.dialect import FeedError, FeedFault, OriginStore
from damasklead.gateway.forwarding import Forwarder
from damasklead.gateway.journal import Journal
from damasklead.gateway.listeners import Listener
from damasklead.gateway.metrics import GatewayMetrics
from damasklead.gateway.placements import Placement, new_placement
from damasklead.gateway.replica_probe import ReplicaProbe
from damasklead.gateway.routing import (
    ApiKey,
    CallerLimits,
    Route,
    RouteKind,
    RouteName,
    RoutingContent,
    RoutingTable,
    ServiceSpec,
    Workspace,
)
from damasklead.gateway.start_gate import StartGate
from damasklead.gateway.stop_schedule import StopSchedule
from damasklead.gateway.store_positions import Position
from damasklead.gateway.stream_origins.origins import StreamOrigin
from damasklead.gateway.stream_origins.registry import OriginRegistry
from damasklead.gateway.upstream_http import ConnectionPool
from damasklead.ids import (
    AttemptId,
    DataCentre,
    Fingerprint,
    InstanceId,
    ServiceName,
    SoftwareVersion,
    StoreEra,
    WorkspaceId,
)
from damasklead.loop import LoopClock
from damasklead.memory_budget import MemoryAccount, MemoryBudget
from damasklead.platform.headers import PlatformDialect
from damasklead.rate_limits import RateLimits
from damasklead.stall_meter import StallMeter
from damasklead.tunnels.dialing import Link
from damasklead.util import split_address
from tests.http_messages import make_chunk as make_chunk, read_request

SERVICE = ServiceName("shop")
KEY = "key-1"
IDEMPOTENT = Route(
    name=RouteName("read"), host="ice.example", prefix="/read/",
    kind=RouteKind.IDEMPOTENT, timeout=0.8, target=0.1, tier=1,
    split=((SERVICE, 1.0),), max_attempts=2,
)  # fmt: skip
ONCE = Route(
    name=RouteName("order"), host="ice.example", prefix="/order/",
    kind=RouteKind.ONCE, timeout=0.8, target=0.1, tier=1, split=((SERVICE, 1.0),),
)  # fmt: skip
STREAM = Route(
    name=RouteName("chat"), host="ice.example", prefix="/chat/",
    kind=RouteKind.STREAM, timeout=2.0, target=0.3, tier=0, event_gap=0.2,
    split=((SERVICE, 1.0),),
)  # fmt: skip
RESUMABLE = Route(
    name=RouteName("draft"), host="ice.example", prefix="/draft/",
    kind=RouteKind.STREAM, timeout=2.0, target=0.3, tier=0, event_gap=0.2,
    split=((SERVICE, 1.0),), max_attempts=2, resumable=True,
)  # fmt: skip
ROUTES = (IDEMPOTENT, ONCE, STREAM, RESUMABLE)


def make_table(version: int = 1, **changes: object) -> RoutingTable:
    """Return a configuration with a route of each kind; ``changes`` replace fields."""
    content: dict = {
        "version": version,
        "routes": list(ROUTES),
        "services": [ServiceSpec(name=SERVICE, max_connections=100)],
        "workspaces": [Workspace(name=WorkspaceId("skippers"), keys=(ApiKey(KEY),))],
        "limits": CallerLimits(head_seconds=0.5, idle_seconds=1.0),
    }
    return RoutingTable(content=RoutingContent(**(content | changes)))


def make_position(version: int, *, era: int = 0) -> Position:
    """Return a position in the platform's store."""
    return Position(StoreEra(era), version)


def make_response(
    attempt: str,
    body: bytes = b"done",
    *,
    status: str = "200 OK",
    extra_headers: str = "",
) -> bytes:
    """Return a replica's signed response to an attempt."""
    return (
        f"HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s\r\n"
        f"{extra_headers}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def make_event(number: int) -> bytes:
    """Return a server-sent event whose id is the number."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def make_stream_head(attempt: str) -> bytes:
    """Return the response head of an event stream."""
    return (
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()


class ScriptedReplica:
    """
    A replica whose behaviour is given by a function.

    Parameters
    ----------
    name : str
        Instance id.
    serve : callable
        Serves one connection; called with this replica and the connection.

    Attributes
    ----------
    version : SoftwareVersion
        Version in the entry.
    incarnation : int
        Start of the replica in the entry.
    born : int
        Start of the replica in its report on itself.
    report_count : int
        Number of reports that it gave.
    requests : list
        The requests received: request line, headers and body of each.
    extra_headers : str
        Header lines that a script adds to its responses.
    closed_by_gateway_count : int
        Number of connections that ended because the gateway closed or reset them.
    """

    def __init__(self, name: str, serve: Callable) -> None:
        self.name = name
        self.version = SoftwareVersion("v1")
        self.incarnation = self.born = 1
        self.report_count = 0
        self.requests: list[tuple[str, dict[str, str], bytes]] = []
        self.extra_headers = ""
        self.closed_by_gateway_count = 0
        self._serve = serve
        self._open: set[socket.socket] = set()
        self._server = StreamServer(("127.0.0.1", 0), self._handle)
        self._server.start()

    @property
    def record(self) -> UpstreamRecord:
        """The replica's entry in the list of replicas."""
        return UpstreamRecord(
            instance=InstanceId(self.name),
            service=SERVICE,
            address=f"127.0.0.1:{self._server.server_port}",
            data_centre=DataCentre("hout"),
            state=UpstreamState.LIVE,
            incarnation=self.incarnation,
            version=self.version,
        )

    def receive_request(self, connection: socket.socket) -> str:
        """
        Read a request and append it to ``requests``; returns its attempt id.

        Requests for the replica's report on itself are answered before.
        """
        while (request := read_request(connection))[0].split()[1] == "/-/report":
            self.report_count += 1
            report = b'{"phase":"unified","born":%d}' % self.born
            connection.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(report) + report
            )
        self.requests.append(request)
        return request[1].get("attempt-id", "")

    def stop(self) -> None:
        """Stop accepting connections."""
        self._server.stop(timeout=0)

    def crash(self) -> None:
        """Stop accepting connections, and end all open ones, as a killed process."""
        self.stop()
        for connection in list(self._open):
            with suppress(OSError):  # it may have ended
                connection.shutdown(socket.SHUT_RDWR)

    def _handle(self, connection: socket.socket, _peer: object) -> None:
        self._open.add(connection)
        try:
            self._serve(self, connection)
        except (EOFError, OSError):
            self.closed_by_gateway_count += 1
        finally:
            self._open.discard(connection)
            connection.close()


class MemoryOriginStore(OriginStore):
    """
    Origins of streams in memory.

    Attributes
    ----------
    is_down : bool
        Makes all calls fail.
    origins : dict
        The origins by attempt.
    calls : int
        Number of calls.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.origins: dict[AttemptId, StreamOrigin] = {}
        self.calls = 0

    def write(
        self, origins: Sequence[StreamOrigin], removed: Sequence[AttemptId]
    ) -> None:
        self._count_call()
        assert len(origins) + len(removed) <= 100
        for attempt in removed:
            self.origins.pop(attempt, None)
        self.origins.update({origin.attempt: origin for origin in origins})

    def read(self, attempt: AttemptId) -> StreamOrigin | None:
        self._count_call()
        return self.origins.get(attempt)

    def sample(self) -> list[StreamOrigin]:
        self._count_call()
        return list(self.origins.values())

    def _count_call(self) -> None:
        self.calls += 1
        if self.is_down:
            raise FeedError(FeedFault.UNREACHABLE, "away")


def make_probe(
    *,
    connections: ConnectionPool,
    containment: Containment,
    clock: Clock,
    open_elsewhere: Callable[[str], Link | None] | None = None,
    is_isolated: Callable[[], bool] = lambda: False,
) -> ReplicaProbe:
    """Return a probe of replicas that speak the platform's dialect."""
    return ReplicaProbe(
        connections=connections,
        containment=containment,
        dialect=PlatformDialect(),
        report_memory=make_report_memory(),
        clock=clock,
        get_unix_time=time.time,
        open_elsewhere=open_elsewhere,
        is_isolated=is_isolated,
    )


class ForwarderHarness:
    """
    A forwarder behind a listener, with scripted replicas.

    Parameters
    ----------
    replicas : sequence
        The scripted replicas.
    connections : ConnectionPool or None
        Pool of the connections to them; by default a new one.
    containment_clock : Clock or None
        Clock of the crash containment; by default that of the forwarder.
    origin_store : MemoryOriginStore or None
        Store of the origins of streams; by default a new one.
    """

    def __init__(
        self,
        replicas: Sequence[ScriptedReplica],
        *,
        connections: ConnectionPool | None = None,
        containment_clock: Clock | None = None,
        origin_store: "MemoryOriginStore | None" = None,
        open_elsewhere: Callable[[str], Link | None] | None = None,
    ) -> None:
        self.clock = LoopClock()
        self.replicas = list(replicas)
        self.table: RoutingTable | None = make_table()
        self.is_stopping = False
        self.is_isolated = False
        self.departed_instances: list[InstanceId] = []
        self.executions: list[Call] = []
        self.closed_callers: list[str] = []
        self.response_memory = MemoryBudget()
        self.account = MemoryAccount(clock=self.clock)
        self.rate_limits = RateLimits(
            clock=self.clock, instance=InstanceId("gateway-1")
        )
        self.placement: Placement = new_placement(
            service=ServiceSpec(name=SERVICE, max_connections=100),
            clock=self.clock,
            data_centre=DataCentre("hout"),
            get_request_rate=self.rate_limits.get_share,
            get_slot_share=lambda record: self.rate_limits.rejections.get_share(
                record, slots=max(1, record.slots)
            ),
        )
        self.placement.update_replicas(replica.record for replica in replicas)
        budget_clock = ManualClock()
        self.budget = SharedRetryBudget(
            clock=budget_clock, ratio=0.2, allowance=100.0, window=10.0
        )
        # A process has no share of the allowance in its first window.
        self.budget.set_gateway_count(1)
        budget_clock.advance(10.0)
        self.quarantined: list[Fingerprint] = []
        self.containment = Containment(
            clock=containment_clock or self.clock,
            on_quarantine=self.quarantined.append,
        )
        self._stalls = StallMeter(clock=self.clock)
        self._stall_task = gevent.spawn(self._stalls.run)
        self.connections = connections or ConnectionPool(
            clock=self.clock, get_stall=self._stalls.get_stall
        )
        self.journal = Journal(instance="gateway-1")
        self.gate = StartGate()
        self.gate.open()
        self.is_configuration_current = True
        self.stop_schedule = StopSchedule(clock=self.clock)
        self.listed_records = {
            replica.record.instance: replica.record for replica in replicas
        }
        self.origin_store = origin_store or MemoryOriginStore()
        self.origins = OriginRegistry(
            instance="gateway-1",
            peers=None,
            store=lambda: self.origin_store,
            is_sweeper=lambda: True,
            clock=self.clock,
            get_unix_time=self.clock.get_unix_time,
            journal=self.journal,
            get_record=lambda instance: self.listed_records.get(instance),
        )
        self.forwarder = Forwarder(
            context=GatewayContext(
                dialect=PlatformDialect(),
                clock=self.clock,
                connections=self.connections,
                budget=self.budget,
                assignment_client=self._make_assignment_client(),
                containment=self.containment,
                probe=make_probe(
                    connections=self.connections,
                    containment=self.containment,
                    clock=self.clock,
                    open_elsewhere=open_elsewhere,
                    is_isolated=lambda: self.is_isolated,
                ),
                journal=self.journal,
                rate_limits=self.rate_limits,
                origins=self.origins,
                stop_schedule=self.stop_schedule,
                on_replica_left=self._handle_departure,
                on_execution=self.executions.append,
                account=self.account,
                is_isolated=lambda: self.is_isolated,
                response_memory=self.response_memory,
            ),
            placement_of=lambda name: self.placement,
            table=lambda: self.table,
            metrics=GatewayMetrics(),
            gate=self.gate,
            is_configuration_current=lambda: self.is_configuration_current,
        )
        (self._port,) = find_free_ports(1)
        self.listener = Listener(
            address=f"127.0.0.1:{self._port}",
            handler=self.forwarder,
            clock=self.clock,
            is_stopping=lambda: self.is_stopping,
            account=self.account,
            on_closed=self.closed_callers.append,
            on_rejected=self.forwarder.record_rejection,
            on_unread_close=self.forwarder.record_unread_close,
        )
        self.listener.start()

    def _make_assignment_client(self) -> AssignmentClient:
        """Return the assignment client of a fleet of one gateway."""
        return Coordination(
            local_member=Member(InstanceId("gateway-1"), DataCentre("hout")),
            clock=self.clock,
            table=lambda: self.table,
            peers=None,
            journal=self.journal,
            rate_limits=self.rate_limits,
        ).client

    def connect(self) -> socket.socket:
        """Open a caller's connection."""
        return socket.create_connection(("127.0.0.1", self._port), timeout=5)

    def send_request(self, path: str, **options: str) -> bytes:
        """Send a request; returns everything received until the connection closes."""
        with self.connect() as connection:
            connection.sendall(make_request(path, close=True, **options))
            return read_all(connection)

    def get_log_lines(self, name: str) -> list[str]:
        """Return the log lines of an event."""
        return [line for line in self.journal.pending_lines if f"event={name} " in line]

    def _handle_departure(self, record: UpstreamRecord, sign: str) -> None:
        self.departed_instances.append(record.instance)
        self.placement.update_replicas(
            replica.record
            for replica in self.replicas
            if replica.record.instance not in self.departed_instances
        )

    def stop(self) -> None:
        """Stop the listener and the replicas."""
        self._stall_task.kill()
        self.listener.stop()
        for replica in self.replicas:
            replica.stop()


def make_request(
    path: str,
    *,
    method: str = "GET",
    attempt: str = "a1",
    body: str = "",
    key: str = KEY,
    extra_headers: str = "",
    close: bool = False,
) -> bytes:
    """Return a caller's request."""
    length_header = f"Content-Length: {len(body)}\r\n" if body else ""
    connection_header = "Connection: close\r\n" if close else ""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: ice.example\r\nAttempt-Id: {attempt}\r\n"
        f"Authorization: Token {key}\r\n{length_header}{connection_header}{extra_headers}\r\n{body}"
    ).encode()


def read_all(connection: socket.socket) -> bytes:
    """Return everything received until the connection is closed or reset."""
    parts: list[bytes] = []
    try:
        while data := connection.recv(65536):
            parts.append(data)
    except ConnectionResetError:
        pass
    return b"".join(parts)


def wait_until(condition: Callable[[], bool], *, seconds: float = 5.0) -> None:
    """Wait until a condition holds; raises ``gevent.Timeout`` after some seconds."""
    with gevent.Timeout(seconds):
        while not condition():
            gevent.sleep(0.005)


def find_free_ports(count: int) -> list[int]:
    """Return distinct free ports of the loopback address."""
    return [split_address(find_free_address())[1] for _ in range(count)]
