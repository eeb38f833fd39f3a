"""
Tests of lingering connections
==============================

Connections that are closed while their last response is queued must not pile up.
"""

from collections.abc import Iterator
from contextlib import suppress

import gevent
import pytest
from gevent import socket

from damasklead.clock import ManualClock
from damasklead.descriptor_budget import DescriptorBudget
from damasklead.gateway.caller_closing import UnreadClose
from damasklead.gateway.lingering_connections import (
    MAX_CONNECTIONS,
    MAX_SECONDS,
    LingeringConnections,
)
from tests.gateway_kit import ForwarderHarness, make_request, wait_until
from tests.test_gateway_closing import harness  # noqa: F401

QUEUED_BYTES = 200_000


class Callers:
    """Callers that read nothing, and the connections that are closed on them."""

    def __init__(self) -> None:
        self.clock = ManualClock(start=100.0)
        self.may_go_on = True
        self.unread: list[UnreadClose] = []
        self.lingering = LingeringConnections(
            clock=self.clock,
            may_go_on=lambda: self.may_go_on,
            on_unread_close=self.unread.append,
        )
        self._listening = socket.create_server(("127.0.0.1", 0))
        self.sockets: list[socket.socket] = []

    def close_one(self, size: int = QUEUED_BYTES) -> socket.socket:
        """Close a connection with bytes queued; return the caller's side."""
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        caller.connect(self._listening.getsockname())
        self.sockets.append(caller)
        raw, _ = self._listening.accept()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * QUEUED_BYTES)
        raw.sendall(b"x" * size)
        self.lingering.close(raw, request="a1", request_count=1)
        raw.close()  # as the server does
        return caller

    def stop(self) -> None:
        self.lingering.close_oldest()
        for item in [self._listening, *self.sockets]:
            item.close()


@pytest.fixture
def callers() -> Iterator[Callers]:
    created = Callers()
    yield created
    created.stop()


def read_all(connection: socket.socket) -> bytes:
    parts: list[bytes] = []
    with suppress(ConnectionResetError):
        while data := connection.recv(65_536):
            parts.append(data)
    return b"".join(parts)


def test_a_response_is_cut_by_what_its_caller_sends(callers: Callers) -> None:
    caller = callers.close_one()
    for _ in range(3):
        caller.sendall(b"x" * 10_000)
        gevent.sleep(0.05)
    assert len(read_all(caller)) == QUEUED_BYTES
    wait_until(lambda: not len(callers.lingering))
    assert not callers.unread


def test_a_caller_that_has_got_everything_lingers(callers: Callers) -> None:
    caller = callers.close_one(size=10)
    wait_until(lambda: not len(callers.lingering))
    assert read_all(caller) == b"x" * 10


def test_a_caller_that_half_closes_loses_its_response(callers: Callers) -> None:
    caller = callers.close_one()
    caller.shutdown(socket.SHUT_WR)
    wait_until(lambda: not len(callers.lingering))
    assert len(read_all(caller)) == QUEUED_BYTES


def test_callers_that_read_nothing_linger_without_limit(callers: Callers) -> None:
    for _ in range(MAX_CONNECTIONS + 5):
        callers.close_one()
    assert len(callers.lingering) == MAX_CONNECTIONS
    # Those beyond are left to the kernel, which sends their responses.
    assert len(read_all(callers.sockets[0])) == QUEUED_BYTES


def test_a_caller_that_reads_nothing_lingers_forever(callers: Callers) -> None:
    caller = callers.close_one()
    gevent.sleep(0.3)
    assert len(callers.lingering) == 1
    callers.clock.advance(MAX_SECONDS)
    wait_until(lambda: not len(callers.lingering))
    assert len(read_all(caller)) == QUEUED_BYTES


def test_callers_linger_while_memory_is_short(callers: Callers) -> None:
    callers.close_one()
    callers.may_go_on = False
    wait_until(lambda: not len(callers.lingering))
    callers.close_one()
    assert not len(callers.lingering)


def leave_response_queued(harness: ForwarderHarness) -> socket.socket:  # noqa: F811
    """Let a caller that reads nothing linger."""
    connection = harness.connect()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
    connection.sendall(make_request("/read/1", method="POST", body="x", attempt="a1"))
    gevent.sleep(0.05)
    harness.is_stopping = True
    wait_until(lambda: len(harness.listener._lingering) == 1)
    return connection


def test_a_stop_waits_for_callers_that_linger(
    harness: ForwarderHarness,  # noqa: F811
) -> None:
    with leave_response_queued(harness):
        assert not harness.listener.connection_count
        began_at = harness.listener._clock.now()
        harness.listener.drain(seconds=5.0)
        assert harness.listener._clock.now() - began_at < 1.0


def test_callers_that_linger_keep_others_from_descriptors(
    harness: ForwarderHarness,  # noqa: F811
) -> None:
    with leave_response_queued(harness):
        harness.listener._get_budget = lambda: DescriptorBudget(
            caller_connections=1, closing_threshold=1
        )
        harness.is_stopping = False
        lingering = harness.listener._lingering._connections[0].raw
        assert harness.send_request("/read/2").startswith(b"HTTP/1.1 200")
        assert lingering.fileno() == -1
