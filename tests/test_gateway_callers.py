"""
Tests of callers' connections
=============================
"""

from collections.abc import Iterator

import gevent
import pytest
from gevent import socket

from damasklead.gateway.upstream_http import Connection, ConnectionPool
from damasklead.loop import LoopClock
from tests.gatewaykit import (
    ScriptedReplica,
    World,
    answer,
    chunk,
    event,
    read_all,
    request,
    stream_head,
    wait_until,
)


def serve_requests(replica: ScriptedReplica, connection: socket.socket) -> None:
    while True:
        attempt = replica.next_request(connection)
        if "/chat/slow" in replica.requests[-1][0]:
            connection.sendall(stream_head(attempt) + chunk(event(1)))
            connection.recv(1)
            replica.closed_by_gateway += 1
            return
        if "/order/slow" in replica.requests[-1][0]:
            gevent.sleep(0.2)
        connection.sendall(answer(attempt, b"for " + attempt.encode()))


@pytest.fixture
def world() -> Iterator[World]:
    created_world = World([ScriptedReplica("r0", serve_requests)])
    yield created_world
    created_world.stop()


def read_answer(connection: socket.socket, ending: bytes) -> bytes:
    data = b""
    while not data.endswith(ending):
        more = connection.recv(65536)
        assert more, "the connection ended"
        data += more
    return data


def test_sequential_requests_on_one_connection(world: World) -> None:
    with world.connect() as caller:
        for name in ("a1", "a2", "a3"):
            caller.sendall(request("/read/1", attempt=name))
            assert read_answer(caller, b"for " + name.encode()).startswith(
                b"HTTP/1.1 200"
            )


def test_pipelined_requests_are_answered_in_order(world: World) -> None:
    with world.connect() as caller:
        caller.sendall(
            request("/order/slow", method="POST", body="x", attempt="a1")
            + request("/read/1", attempt="a2", close=True)
        )
        response = read_all(caller)
    assert response.index(b"for a1") < response.index(b"for a2")


def test_a_fragmented_chunked_request_is_reassembled(world: World) -> None:
    with world.connect() as caller:
        data = (
            request(
                "/order/1",
                method="POST",
                extra="Transfer-Encoding: chunked\r\n",
                close=True,
            )
            + chunk(b"hello ")
            + chunk(b"world")
            + chunk(b"")
        )
        for start in range(0, len(data), 7):
            caller.sendall(data[start : start + 7])
            gevent.sleep(0.001)
        assert read_all(caller).startswith(b"HTTP/1.1 200")
    assert world.replicas[0].requests[0][2] == b"hello world"


@pytest.mark.parametrize(
    "head",
    [
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Host: other.example\r\n",
        "Content-Length : 5\r\n",
    ],
)
def test_ambiguous_framing_is_rejected(world: World, head: str) -> None:
    smuggled_request = "0\r\n\r\nGET /read/hidden HTTP/1.1\r\nHost: ice.example\r\n\r\n"
    with world.connect() as caller:
        caller.sendall(
            request("/order/1", method="POST", extra=head) + smuggled_request.encode()
        )
        response = read_all(caller)
    assert (
        response[:10] in (b"HTTP/1.1 4", b"HTTP/1.1 5")
        and response.count(b"HTTP/1.1") == 1
    )
    assert not world.replicas[0].requests


def test_a_stream_is_cancelled_when_its_caller_disconnects(world: World) -> None:
    with world.connect() as caller:
        caller.sendall(request("/chat/slow", method="POST", body="x"))
        read_answer(caller, b"piece 1\n\n\r\n")
    wait_until(lambda: world.replicas[0].closed_by_gateway == 1)
    wait_until(lambda: world.forwarder.active_requests == 0)
    assert len(world.lines("caller-gone")) == 1


class StuckConnectionPool(ConnectionPool):
    """Takes longer to open a connection than any caller waits."""

    def acquire(self, address: str) -> Connection:
        gevent.sleep(60)
        raise AssertionError("the request was not cancelled")


@pytest.mark.parametrize("cause", ["caller leaves", "time is over"])
def test_a_request_that_ends_while_connecting_is_no_longer_counted(cause: str) -> None:
    """
    A request that was cancelled while connecting stayed in the replica's count of
    requests, so the replica seemed unresponsive from then on.
    """
    created_world = World(
        [ScriptedReplica("r0", serve_requests)],
        connections=StuckConnectionPool(clock=LoopClock()),
    )
    with created_world.connect() as caller:
        caller.sendall(request("/read/1"))
        wait_until(lambda: created_world.forwarder.active_requests == 1)
        if cause == "time is over":
            assert read_answer(caller, b"too-late").startswith(b"HTTP/1.1 503")
    wait_until(lambda: created_world.forwarder.active_requests == 0)
    assert [
        state.own_requests for state in created_world.placement._replicas.values()
    ] == [0]
    created_world.stop()


def test_a_once_request_continues_when_its_caller_half_closes(world: World) -> None:
    with world.connect() as caller:
        caller.sendall(request("/order/slow", method="POST", body="x"))
        caller.shutdown(socket.SHUT_WR)
        assert read_all(caller).endswith(b"for a1")


def test_a_slow_head_gets_408_and_an_idle_connection_is_closed(world: World) -> None:
    with world.connect() as caller:
        caller.sendall(b"GET /read/1 HT")
        assert read_all(caller).startswith(b"HTTP/1.1 408")
    with world.connect() as caller:
        assert read_all(caller) == b""


def test_a_stopping_process_answers_and_closes_the_connection(world: World) -> None:
    with world.connect() as caller:
        caller.sendall(request("/order/slow", method="POST", body="x"))
        wait_until(lambda: world.forwarder.active_requests == 1)
        world.stopping = True
        world.listener.close_idle()
        response = read_all(caller)
    assert b"connection: close" in response.lower() and response.endswith(b"for a1")


def test_a_request_that_races_with_closing_idle_connections_is_answered(
    world: World,
) -> None:
    with world.connect() as caller:
        caller.sendall(request("/read/1", attempt="a1"))
        read_answer(caller, b"for a1")
        world.stopping = True
        caller.sendall(request("/order/1", method="POST", body="x", attempt="a2"))
        world.listener.close_idle()
        assert read_all(caller).endswith(b"for a2")
    with world.connect() as caller:
        gevent.sleep(0.05)
        world.listener.close_idle()
        assert read_all(caller) == b""


@pytest.mark.parametrize("yields", range(8))
def test_a_request_during_drain_is_answered_or_never_read(
    world: World, yields: int
) -> None:
    """
    A connection that was just accepted counted as idle, so the process ended before
    its request was read.
    """
    callers = [world.connect() for _ in range(3)]
    for number, caller in enumerate(callers):
        caller.sendall(
            request("/order/slow", method="POST", body="x", attempt=f"a{number}")
        )
    for _ in range(yields):
        gevent.sleep(0)
    world.stopping = True
    world.listener.drain(seconds=3.0)
    assert world.forwarder.active_requests == 0 and world.listener.connection_count == 0
    answered = sum(b"for a" in read_all(caller) for caller in callers)
    assert answered == len(world.replicas[0].requests)
    for caller in callers:
        caller.close()


def test_expect_100_continue_is_honoured(world: World) -> None:
    with world.connect() as caller:
        caller.sendall(
            request(
                "/order/1",
                method="POST",
                extra="Expect: 100-continue\r\nContent-Length: 2\r\n",
            )
        )
        assert caller.recv(65536).startswith(b"HTTP/1.1 100")
        caller.sendall(b"ok")
        assert read_answer(caller, b"for a1").startswith(b"HTTP/1.1 200")
