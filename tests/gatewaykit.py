"""
Parts of gateway tests
======================

A scripted replica, callers on sockets, and a forwarder between them.
"""

from collections.abc import Callable, Sequence

import gevent
from gevent import socket
from gevent.server import StreamServer

from damasklead.gateway.budget import SharedRetryBudget
from damasklead.gateway.calls import UpstreamRecord, UpstreamState
from damasklead.gateway.containment import Containment
from damasklead.gateway.coordination.asking import AssignmentClient
from damasklead.gateway.coordination.cells import Member
from damasklead.gateway.coordination.service import Coordination
from damasklead.gateway.forwarding import Forwarder
from damasklead.gateway.journal import Journal
from damasklead.gateway.listeners import Listener
from damasklead.gateway.metrics import GatewayMetrics
from damasklead.gateway.placements import Placement, new_placement
from damasklead.gateway.positions import Position
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
from damasklead.gateway.runparts import GatewayContext
from damasklead.gateway.starting import StartGate
from damasklead.gateway.upstream_http import ConnectionPool, ResponseMemoryBudget
from damasklead.ids import (
    DataCentre,
    Fingerprint,
    InstanceId,
    ServiceName,
    StoreEra,
    WorkspaceId,
)
from damasklead.loop import LoopClock
from damasklead.platform.headers import PlatformDialect

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
    """Return a configuration with a route of each kind."""
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


def read_request(connection: socket.socket) -> tuple[str, dict[str, str], bytes]:
    """Return the request line, the headers by lowercase name and the body."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = connection.recv(65536)
        if not more:
            raise EOFError
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines[1:])
    }
    while len(body) < int(headers.get("content-length", 0)):
        body += connection.recv(65536)
    return lines[0], headers, body


def make_response(
    attempt: str, body: bytes = b"done", *, status: str = "200 OK", extra: str = ""
) -> bytes:
    """Return a signed answer of a replica."""
    return (
        f"HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s\r\n"
        f"{extra}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def make_event(number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def make_chunk(data: bytes) -> bytes:
    """Return a chunk of a chunked body."""
    return b"%x\r\n" % len(data) + data + b"\r\n"


def make_stream_head(attempt: str) -> bytes:
    """Return the head of a stream."""
    return (
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()


class ScriptedReplica:
    """
    Serves each connection by a function that is given the connection and this replica.
    """

    def __init__(self, name: str, serve: Callable) -> None:
        self.name = name
        self.requests: list[tuple[str, dict[str, str], bytes]] = []
        self.closed_by_gateway_count = 0
        self._serve = serve
        self._server = StreamServer(("127.0.0.1", 0), self._handle)
        self._server.start()

    @property
    def record(self) -> UpstreamRecord:
        """The replica's entry in the list."""
        return UpstreamRecord(
            instance=InstanceId(self.name),
            service=SERVICE,
            address=f"127.0.0.1:{self._server.server_port}",
            data_centre=DataCentre("hout"),
            state=UpstreamState.LIVE,
        )

    def receive_request(self, connection: socket.socket) -> str:
        """Read a request and note it; returns its attempt id."""
        self.requests.append(read_request(connection))
        return self.requests[-1][1].get("attempt-id", "")

    def stop(self) -> None:
        """Listen no more."""
        self._server.stop(timeout=0)

    def _handle(self, connection: socket.socket, _peer: object) -> None:
        try:
            self._serve(self, connection)
        except (EOFError, OSError):
            self.closed_by_gateway_count += 1
        finally:
            connection.close()


class ForwarderHarness:
    """A forwarder behind a listener, with scripted replicas."""

    def __init__(
        self,
        replicas: Sequence[ScriptedReplica],
        *,
        connections: ConnectionPool | None = None,
    ) -> None:
        self.clock = LoopClock()
        self.replicas = list(replicas)
        self.table: RoutingTable | None = make_table()
        self.stopping = False
        self.left: list[InstanceId] = []
        self.memory = ResponseMemoryBudget()
        self.placement: Placement = new_placement(
            service=ServiceSpec(name=SERVICE, max_connections=100),
            clock=self.clock,
            data_centre=DataCentre("hout"),
        )
        self.placement.update_replicas(replica.record for replica in replicas)
        self.budget = SharedRetryBudget(
            clock=self.clock, ratio=0.2, allowance=100.0, window=10.0
        )
        self.quarantined: list[Fingerprint] = []
        self.containment = Containment(
            clock=self.clock, on_quarantine=self.quarantined.append
        )
        self.journal = Journal(instance="gateway-1")
        self.gate = StartGate()
        self.gate.open()
        self.forwarder = Forwarder(
            context=GatewayContext(
                dialect=PlatformDialect(),
                clock=self.clock,
                connections=connections or ConnectionPool(clock=self.clock),
                budget=self.budget,
                assignment_client=self._make_assignment_client(),
                containment=self.containment,
                journal=self.journal,
                on_replica_left=self._note_left,
                response_memory=self.memory,
            ),
            placement_of=lambda name: self.placement,
            table=lambda: self.table,
            metrics=GatewayMetrics(),
            gate=self.gate,
        )
        (self._port,) = free_ports(1)
        self.listener = Listener(
            address=f"127.0.0.1:{self._port}",
            handler=self.forwarder,
            clock=self.clock,
            stopping=lambda: self.stopping,
        )
        self.listener.start()

    def _make_assignment_client(self) -> AssignmentClient:
        """Return what finds places for requests to engines, alone in the fleet."""
        return Coordination(
            local_member=Member(InstanceId("gateway-1"), DataCentre("hout")),
            clock=self.clock,
            table=lambda: self.table,
            peers=None,
            journal=self.journal,
        ).client

    def connect(self) -> socket.socket:
        """Open a caller's connection."""
        return socket.create_connection(("127.0.0.1", self._port), timeout=5)

    def send_request(self, path: str, **options: str) -> bytes:
        """Send one request and return all that comes until the connection ends."""
        with self.connect() as connection:
            connection.sendall(make_request(path, close=True, **options))
            return read_all(connection)

    def get_log_lines(self, name: str) -> list[str]:
        """Return the log lines of an event."""
        return [line for line in self.journal.pending_lines if f"event={name} " in line]

    def _note_left(self, record: UpstreamRecord, sign: str) -> None:
        self.left.append(record.instance)
        self.placement.update_replicas(
            replica.record
            for replica in self.replicas
            if replica.record.instance not in self.left
        )

    def stop(self) -> None:
        """Stop listening."""
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
    extra: str = "",
    close: bool = False,
) -> bytes:
    """Return a caller's request."""
    framing = f"Content-Length: {len(body)}\r\n" if body else ""
    ending = "Connection: close\r\n" if close else ""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: ice.example\r\nAttempt-Id: {attempt}\r\n"
        f"Authorization: Token {key}\r\n{framing}{ending}{extra}\r\n{body}"
    ).encode()


def read_all(connection: socket.socket) -> bytes:
    """Return all that comes until the connection ends."""
    parts: list[bytes] = []
    try:
        while data := connection.recv(65536):
            parts.append(data)
    except ConnectionResetError:
        pass
    return b"".join(parts)


def wait_until(condition: Callable[[], bool], *, seconds: float = 5.0) -> None:
    """Wait until something holds; fails if it does not come to hold."""
    with gevent.Timeout(seconds):
        while not condition():
            gevent.sleep(0.005)


def free_ports(count: int) -> list[int]:
    """
    Return different ports of the loopback address that nobody listens on.

    All are held until the last is found: the system may give the same one twice.
    """
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()
