"""
Tests of the pool of connections to replicas
============================================
"""

from collections.abc import Iterator

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from damasklead.gateway.upstream_http import MAX_IDLE_CONNECTIONS, ConnectionPool
from damasklead.loop import LoopClock
from tests.gateway_kit import make_response, read_request, wait_until


@pytest.fixture
def address() -> Iterator[str]:
    def serve(connection: object, _peer: object) -> None:
        while True:
            try:
                _, headers, _ = read_request(connection)
            except (EOFError, OSError):
                return
            connection.sendall(make_response(headers["attempt-id"]))

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    yield f"127.0.0.1:{server.server_port}"
    server.stop(timeout=0)


def send_requests(pool: ConnectionPool, address: str, count: int) -> None:
    """Send ``count`` concurrent requests, then release their connections."""
    connections = [pool.acquire(address) for _ in range(count)]
    for number, connection in enumerate(connections):
        connection.send_request(
            method="GET",
            target="/",
            headers=[(b"Host", b"h"), (b"Attempt-Id", b"%d" % number)],
            body=b"",
        )
        connection.read_head()
        connection.read_body(limit=1000)
    for connection in connections:
        pool.release(connection, keep_alive=10.0)


@pytest.mark.parametrize(
    ("max_connections", "gateways", "idle_limit"),
    [(520, 8, MAX_IDLE_CONNECTIONS), (520, 77, 3), (520, 360, 1)],
)
def test_idle_connections_are_limited_to_the_gateways_share(
    address: str, max_connections: int, gateways: int, idle_limit: int
) -> None:
    pool = ConnectionPool(clock=LoopClock())
    pool.set_idle_limit(max_connections=max_connections, gateways=gateways)
    assert pool.max_idle == idle_limit
    assert pool.max_idle * gateways <= max_connections
    send_requests(pool, address, MAX_IDLE_CONNECTIONS + 2)
    opened_before = pool.opened_count
    send_requests(pool, address, MAX_IDLE_CONNECTIONS + 2)
    assert pool.opened_count - opened_before == MAX_IDLE_CONNECTIONS + 2 - idle_limit
    pool.close()


class UnreadBodyServer:
    """
    A replica that answers before it has read a long body, and reads on when told to.

    Attributes
    ----------
    may_read : Event
        Makes it read on.
    received : bytes
        All that it has read.
    """

    def __init__(self) -> None:
        self.may_read = Event()
        self.received = b""
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self._server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self) -> None:
        self._server.stop(timeout=0)

    def _serve(self, connection: socket.socket, _peer: object) -> None:
        self.received += connection.recv(65536)
        connection.sendall(make_response("1"))
        self.may_read.wait()
        while data := connection.recv(65536):
            self.received += data


@pytest.fixture
def unread_body_server() -> Iterator[UnreadBodyServer]:
    server = UnreadBodyServer()
    yield server
    server.stop()


# The next request on such a connection would be read as the rest of the body.
def test_a_connection_is_not_reused_before_the_request_was_sent_to_its_end(
    unread_body_server: UnreadBodyServer,
) -> None:
    body = b"x" * 8_000_000
    pool = ConnectionPool(clock=LoopClock())
    connection = pool.acquire(unread_body_server.address)
    connection.send_request(
        method="POST", target="/", headers=[(b"Host", b"h")], body=body
    )
    connection.set_read_timeout(0.02)
    connection.read_head()
    assert connection.read_body(limit=1000) == b"done"
    # Longer than the timeout of reads, which doesn't apply to the request's body.
    gevent.sleep(0.2)
    assert not connection.is_reusable
    unread_body_server.may_read.set()
    wait_until(lambda: connection.is_reusable)
    wait_until(lambda: unread_body_server.received.endswith(body))
    connection.prepare_next_request()
    connection.close()
