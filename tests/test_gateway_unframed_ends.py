"""
Tests of responses without a length
===================================

Such a response ends with its connection, which also ends when its replica crashes.
"""

import errno
from collections.abc import Iterator

import pytest
from gevent import socket

from damasklead.gateway.upstream_http import ConnectionPool
from damasklead.loop import LoopClock
from damasklead.sockets import connect
from damasklead.tunnels.dialing import DirectDialer
from tests.gateway_kit import (
    ForwarderHarness,
    ScriptedReplica,
    make_event,
)

# Those of the routes that run a request once.
PATHS = ["/order/1", "/chat/1"]


@pytest.fixture
def harnesses() -> Iterator[list[ForwarderHarness]]:
    created_harnesses: list[ForwarderHarness] = []
    yield created_harnesses
    for harness in created_harnesses:
        harness.stop()


def make_head(attempt: str) -> bytes:
    """Return the head of a response without a length."""
    return (
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s\r\n"
        "Content-Type: text/event-stream\r\n\r\n"
    ).encode()


def respond(replica: ScriptedReplica, connection: socket.socket) -> None:
    """Send two events without a length, and end the connection."""
    attempt = replica.receive_request(connection)
    connection.sendall(make_head(attempt) + make_event(1) + make_event(2))


def is_complete(response: bytes) -> bool:
    """Return whether a caller takes a response for a whole success."""
    head, _, body = response.partition(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200"):
        return False
    return b"chunked" not in head or body.endswith(b"0\r\n\r\n")


class GivenUpSocket(socket.socket):
    """A connection that the kernel gives up after it has received some data."""

    _has_data = False
    _is_reported = False

    def recv(self, size: int, flags: int = 0) -> bytes:
        if not self._has_data:
            self._has_data = True
            return super().recv(size, flags)
        if not self._is_reported:
            self._is_reported = True
            raise TimeoutError(errno.ETIMEDOUT, "Connection timed out")
        return b""


def connect_and_give_up(address: str) -> socket.socket:
    raw = connect(address, timeout=1.0)
    return GivenUpSocket(raw.family, raw.type, raw.proto, fileno=raw.detach())


@pytest.mark.parametrize("path", PATHS)
def test_a_connection_that_the_kernel_gave_up_ends_no_response(
    harnesses: list[ForwarderHarness], path: str
) -> None:
    def respond_in_part(replica: ScriptedReplica, connection: socket.socket) -> None:
        attempt = replica.receive_request(connection)
        connection.sendall(make_head(attempt) + make_event(1))
        connection.recv(1)

    pool = ConnectionPool(
        clock=LoopClock(), dialer=DirectDialer(open_connection=connect_and_give_up)
    )
    replicas = [ScriptedReplica("r0", respond_in_part)]
    harnesses.append(ForwarderHarness(replicas, connections=pool))
    response = harnesses[-1].send_request(path, method="POST", body="x")
    assert not is_complete(response)
    (line,) = harnesses[-1].get_log_lines("attempt-failed")
    assert 'failure="broken"' in line
