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
from tests.gateway_kit import (
    ForwarderHarness,
    ScriptedReplica,
    make_chunk,
    make_event,
    make_request,
    make_response,
    make_stream_head,
    read_all,
    wait_until,
)


def serve_requests(replica: ScriptedReplica, connection: socket.socket) -> None:
    while True:
        attempt = replica.receive_request(connection)
        if "/chat/slow" in replica.requests[-1][0]:
            connection.sendall(make_stream_head(attempt) + make_chunk(make_event(1)))
            connection.recv(1)
            replica.closed_by_gateway_count += 1
            return
        if "/order/slow" in replica.requests[-1][0]:
            gevent.sleep(0.2)
        connection.sendall(make_response(attempt, b"for " + attempt.encode()))


@pytest.fixture
def harness() -> Iterator[ForwarderHarness]:
    created_harness = ForwarderHarness([ScriptedReplica("r0", serve_requests)])
    yield created_harness
    created_harness.stop()


def read_answer(connection: socket.socket, ending: bytes) -> bytes:
    data = b""
    while not data.endswith(ending):
        more = connection.recv(65536)
        assert more, "the connection ended"
        data += more
    return data


def test_sequential_requests_on_one_connection(harness: ForwarderHarness) -> None:
    with harness.connect() as caller:
        for name in ("a1", "a2", "a3"):
            caller.sendall(make_request("/read/1", attempt=name))
            assert read_answer(caller, b"for " + name.encode()).startswith(
                b"HTTP/1.1 200"
            )


def test_pipelined_requests_are_answered_in_order(harness: ForwarderHarness) -> None:
    with harness.connect() as caller:
        caller.sendall(
            make_request("/order/slow", method="POST", body="x", attempt="a1")
            + make_request("/read/1", attempt="a2", close=True)
        )
        response = read_all(caller)
    assert response.index(b"for a1") < response.index(b"for a2")


def test_a_fragmented_chunked_request_is_reassembled(harness: ForwarderHarness) -> None:
    with harness.connect() as caller:
        data = (
            make_request(
                "/order/1",
                method="POST",
                extra_headers="Transfer-Encoding: chunked\r\n",
                close=True,
            )
            + make_chunk(b"hello ")
            + make_chunk(b"world")
            + make_chunk(b"")
        )
        for start in range(0, len(data), 7):
            caller.sendall(data[start : start + 7])
            gevent.sleep(0.001)
        assert read_all(caller).startswith(b"HTTP/1.1 200")
    assert harness.replicas[0].requests[0][2] == b"hello world"


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
def test_ambiguous_framing_is_rejected(harness: ForwarderHarness, head: str) -> None:
    smuggled_request = "0\r\n\r\nGET /read/hidden HTTP/1.1\r\nHost: ice.example\r\n\r\n"
    with harness.connect() as caller:
        caller.sendall(
            make_request("/order/1", method="POST", extra_headers=head)
            + smuggled_request.encode()
        )
        response = read_all(caller)
    assert (
        response[:10] in (b"HTTP/1.1 4", b"HTTP/1.1 5")
        and response.count(b"HTTP/1.1") == 1
    )
    assert not harness.replicas[0].requests


def test_a_stream_is_cancelled_when_its_caller_disconnects(
    harness: ForwarderHarness,
) -> None:
    with harness.connect() as caller:
        caller.sendall(make_request("/chat/slow", method="POST", body="x"))
        read_answer(caller, b"piece 1\n\n\r\n")
    wait_until(lambda: harness.replicas[0].closed_by_gateway_count == 1)
    wait_until(lambda: harness.forwarder.active_requests == 0)
    assert len(harness.get_log_lines("caller-gone")) == 1


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
    created_harness = ForwarderHarness(
        [ScriptedReplica("r0", serve_requests)],
        connections=StuckConnectionPool(clock=LoopClock()),
    )
    with created_harness.connect() as caller:
        caller.sendall(make_request("/read/1"))
        wait_until(lambda: created_harness.forwarder.active_requests == 1)
        if cause == "time is over":
            assert read_answer(caller, b"too-late").startswith(b"HTTP/1.1 503")
    wait_until(lambda: created_harness.forwarder.active_requests == 0)
    assert [
        state.own_requests for state in created_harness.placement._replicas.values()
    ] == [0]
    created_harness.stop()


def test_a_once_request_continues_when_its_caller_half_closes(
    harness: ForwarderHarness,
) -> None:
    with harness.connect() as caller:
        caller.sendall(make_request("/order/slow", method="POST", body="x"))
        caller.shutdown(socket.SHUT_WR)
        assert read_all(caller).endswith(b"for a1")


def test_a_slow_head_gets_408_and_an_idle_connection_is_closed(
    harness: ForwarderHarness,
) -> None:
    with harness.connect() as caller:
        caller.sendall(b"GET /read/1 HT")
        assert read_all(caller).startswith(b"HTTP/1.1 408")
    with harness.connect() as caller:
        assert read_all(caller) == b""


def test_a_stopping_process_answers_and_closes_the_connection(
    harness: ForwarderHarness,
) -> None:
    with harness.connect() as caller:
        caller.sendall(make_request("/order/slow", method="POST", body="x"))
        wait_until(lambda: harness.forwarder.active_requests == 1)
        harness.is_stopping = True
        harness.listener.close_idle()
        response = read_all(caller)
    assert b"connection: close" in response.lower() and response.endswith(b"for a1")


def test_a_request_that_races_with_closing_idle_connections_is_answered(
    harness: ForwarderHarness,
) -> None:
    with harness.connect() as caller:
        caller.sendall(make_request("/read/1", attempt="a1"))
        read_answer(caller, b"for a1")
        harness.is_stopping = True
        caller.sendall(make_request("/order/1", method="POST", body="x", attempt="a2"))
        harness.listener.close_idle()
        assert read_all(caller).endswith(b"for a2")
    with harness.connect() as caller:
        gevent.sleep(0.05)
        harness.listener.close_idle()
        assert read_all(caller) == b""


@pytest.mark.parametrize("yields", range(8))
def test_a_request_during_drain_is_answered_or_never_read(
    harness: ForwarderHarness, yields: int
) -> None:
    """
    A connection that was just accepted counted as idle, so the process ended before
    its request was read.
    """
    callers = [harness.connect() for _ in range(3)]
    for number, caller in enumerate(callers):
        caller.sendall(
            make_request("/order/slow", method="POST", body="x", attempt=f"a{number}")
        )
    for _ in range(yields):
        gevent.sleep(0)
    harness.is_stopping = True
    harness.listener.drain(seconds=3.0)
    assert (
        harness.forwarder.active_requests == 0
        and harness.listener.connection_count == 0
    )
    answered = sum(b"for a" in read_all(caller) for caller in callers)
    assert answered == len(harness.replicas[0].requests)
    for caller in callers:
        caller.close()


def test_expect_100_continue_is_honoured(harness: ForwarderHarness) -> None:
    with harness.connect() as caller:
        caller.sendall(
            make_request(
                "/order/1",
                method="POST",
                extra_headers="Expect: 100-continue\r\nContent-Length: 2\r\n",
            )
        )
        assert caller.recv(65536).startswith(b"HTTP/1.1 100")
        caller.sendall(b"ok")
        assert read_answer(caller, b"for a1").startswith(b"HTTP/1.1 200")
