"""
Tests of the pool of connections to replicas
============================================
"""

from collections.abc import Iterator

import pytest
from gevent.server import StreamServer

from damasklead.gateway.upstream_http import MAX_IDLE_CONNECTIONS, ConnectionPool
from damasklead.loop import LoopClock
from tests.gateway_kit import make_response, read_request


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
