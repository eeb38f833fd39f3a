"""
Tests of the kernel's timeouts on connections
=============================================

A dead peer is noticed within seconds, and one that reads slowly or not at all for a
while, but lives, is not cut off by the kernel.
"""

import math
from collections.abc import Iterator

import gevent
import msgspec
import pytest
from gevent import socket

from damasklead import sockets
from damasklead.clock import ManualClock
from damasklead.daemon.caller_connection import CallerConnection
from damasklead.gateway.journal import Journal
from damasklead.gateway.routing import CallerLimits
from damasklead.gateway.upstream_http import Connection
from damasklead.loop import LoopClock
from damasklead.memory_budget import MemoryAccount
from damasklead.tunnels.dialing import DirectDialer
from damasklead.tunnels.reachability import Reachability
from damasklead.tunnels.server import TunnelServer
from tests.gateway_kit import (
    ONCE,
    ForwarderHarness,
    ScriptedReplica,
    find_free_ports,
    make_request,
    make_response,
    make_table,
    read_request,
    wait_until,
)

# The kernel looks at a closed window at intervals that grow to some hundred
# milliseconds.
SILENT_SECONDS = sockets.UNACKNOWLEDGED_TIMEOUT_MS / 1000 + 1.5
LONG_BODY = b"x" * 8_000_000


class SilentServer:
    """
    A server that reads nothing for a while, then its request, and responds.

    Attributes
    ----------
    bodies : list of bytes
        Bodies of the requests that were read.
    """

    def __init__(self) -> None:
        self.bodies: list[bytes] = []
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen()
        self._serving = gevent.spawn(self._serve)

    @property
    def address(self) -> str:
        """Address as ``ip:port``."""
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def stop(self) -> None:
        self._serving.kill()
        self._listener.close()

    def _serve(self) -> None:
        while True:
            connection, _peer = self._listener.accept()
            gevent.sleep(SILENT_SECONDS)
            _line, headers, body = read_request(connection)
            self.bodies.append(body)
            connection.sendall(make_response(headers.get("attempt-id", "")))


@pytest.fixture
def server() -> Iterator[SilentServer]:
    server = SilentServer()
    yield server
    server.stop()


def get_option(raw: socket.socket, option: int) -> int:
    return raw.getsockopt(socket.IPPROTO_TCP, option)


def get_keepalive(raw: socket.socket) -> tuple[int, int, int, int]:
    return (
        raw.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE),
        get_option(raw, socket.TCP_KEEPIDLE),
        get_option(raw, socket.TCP_KEEPINTVL),
        get_option(raw, socket.TCP_KEEPCNT),
    )


class TestConnectionsToReplicas:
    def test_dead_replicas_are_noticed_within_seconds(
        self, server: SilentServer
    ) -> None:
        raw = DirectDialer().dial(server.address).raw
        assert get_keepalive(raw) == (1, 1, 1, 3)
        assert get_option(raw, socket.TCP_USER_TIMEOUT) == 2_500
        raw.close()

    def test_a_replica_that_does_not_read_a_long_body_for_seconds_is_not_cut_off(
        self, server: SilentServer
    ) -> None:
        link = DirectDialer().dial(server.address)
        connection = Connection(address=server.address, link=link, clock=LoopClock())
        connection.send_request(
            method="POST", target="/", headers=[(b"Host", b"h")], body=LONG_BODY
        )
        with gevent.Timeout(20):
            assert connection.read_head().status_code == 200
            assert connection.read_body(limit=1000) == b"done"
        assert server.bodies == [LONG_BODY]
        connection.prepare_next_request()
        assert get_option(link.raw, socket.TCP_USER_TIMEOUT) == 2_500
        connection.close()


def test_a_replica_that_does_not_read_for_seconds_is_not_cut_off_in_a_tunnel(
    server: SilentServer,
) -> None:
    (port,) = find_free_ports(1)
    tunnels = TunnelServer(
        address=f"127.0.0.1:{port}",
        reachability=Reachability(clock=ManualClock(), get_replica_count=lambda: 3),
        is_peer=lambda _address: True,
        is_replica=lambda _address: True,
        is_stopping=lambda: False,
        account=MemoryAccount(clock=ManualClock()),
        get_max_tunnels=lambda: 10,
        clock=LoopClock(),
        journal=Journal(instance="gateway-1"),
    )
    tunnels.start()
    raw = socket.create_connection(("127.0.0.1", port))
    try:
        with gevent.Timeout(20):
            raw.sendall(
                f"CONNECT {server.address} HTTP/1.1\r\nHost: h\r\n\r\n".encode()
            )
            assert b" 200 " in raw.recv(1_000)
            head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(LONG_BODY)
            raw.sendall(head + LONG_BODY)
            assert b" 200 " in raw.recv(1_000)
        assert server.bodies == [LONG_BODY]
    finally:
        raw.close()
        tunnels.stop()


class TestCallersOfEntries:
    def test_a_caller_that_reads_slowly_is_not_cut_off(self) -> None:
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        caller.connect(listener.getsockname())
        raw, _peer = listener.accept()
        stall_seconds = 2.0
        causes: list[str] = []
        connection = CallerConnection(
            raw=raw,
            account=MemoryAccount(clock=LoopClock()),
            clock=LoopClock(),
            stall_seconds=stall_seconds,
            on_close=causes.append,
        )
        connection.set_options()
        sending = gevent.spawn(connection.send, b"x" * 10_000_000)
        received_bytes = 0
        for _ in range(70):
            received_bytes += len(caller.recv(500))
            gevent.sleep(0.1)
        assert received_bytes > 0
        assert not sending.ready() and not causes
        sending.kill()
        connection.prepare_close()
        assert get_option(raw, socket.TCP_USER_TIMEOUT) >= 1_000 * stall_seconds
        for item in (caller, raw, listener):
            item.close()


class TestCallersOfGateways:
    @pytest.mark.parametrize("limit_bytes", [math.inf, 50_000_000])
    def test_a_caller_that_reads_slowly_is_not_cut_off(
        self, limit_bytes: float
    ) -> None:
        def respond_at_length(replica: ScriptedReplica, connection: object) -> None:
            attempt = replica.receive_request(connection)
            connection.sendall(make_response(attempt, LONG_BODY))

        harness = ForwarderHarness([ScriptedReplica("r1", respond_at_length)])
        harness.account.limit_bytes = limit_bytes
        harness.table = make_table(
            routes=[msgspec.structs.replace(ONCE, timeout=30.0)],
            limits=CallerLimits(idle_seconds=4.0),
        )
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        try:
            caller.connect(harness.connect().getpeername())
            caller.sendall(make_request("/order/1", method="POST", body="x"))
            received_bytes = 0
            for _ in range(50):
                received_bytes += len(caller.recv(500))
                gevent.sleep(0.1)
            # A reset would drop what is queued and end the reads.
            assert received_bytes > 10_000
            assert not harness.closed_callers
            assert harness.forwarder.active_requests == 1
            caller.close()
            wait_until(lambda: harness.forwarder.active_requests == 0)
        finally:
            caller.close()
            harness.stop()

    def test_the_deadline_ends_the_send_to_a_caller_that_reads_nothing(self) -> None:
        def respond_at_length(replica: ScriptedReplica, connection: object) -> None:
            attempt = replica.receive_request(connection)
            connection.sendall(make_response(attempt, LONG_BODY))

        harness = ForwarderHarness([ScriptedReplica("r1", respond_at_length)])
        harness.table = make_table(
            routes=[msgspec.structs.replace(ONCE, timeout=3.5)],
            limits=CallerLimits(idle_seconds=60.0),
        )
        try:
            with harness.connect() as caller:
                caller.sendall(make_request("/order/1", method="POST", body="x"))
                wait_until(lambda: harness.forwarder.active_requests == 1)
                wait_until(lambda: harness.forwarder.active_requests == 0, seconds=10)
        finally:
            harness.stop()
