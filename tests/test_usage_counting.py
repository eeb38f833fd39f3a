"""
Tests of counting requests for usage reports
============================================

A request counts once, when a replica has begun to execute it.
"""

from collections.abc import Iterator

import pytest
from gevent import socket

from tests.gateway_kit import (
    ForwarderHarness,
    ScriptedReplica,
    make_chunk,
    make_event,
    make_request,
    make_response,
    make_stream_head,
    wait_until,
)


@pytest.fixture
def harnesses() -> Iterator[list[ForwarderHarness]]:
    created_harnesses: list[ForwarderHarness] = []
    yield created_harnesses
    for harness in created_harnesses:
        harness.stop()


def make_harness(
    harnesses: list[ForwarderHarness], *serves: object
) -> ForwarderHarness:
    replicas = [ScriptedReplica(f"r{i}", serve) for i, serve in enumerate(serves)]
    harnesses.append(ForwarderHarness(replicas))
    return harnesses[-1]


def respond(replica: ScriptedReplica, connection: socket.socket) -> None:
    while True:
        connection.sendall(make_response(replica.receive_request(connection)))


def fail(replica: ScriptedReplica, connection: socket.socket) -> None:
    while True:
        attempt = replica.receive_request(connection)
        connection.sendall(make_response(attempt, b"oops", status="500 Failed"))


def fail_as_busy(replica: ScriptedReplica, connection: socket.socket) -> None:
    while True:
        attempt = replica.receive_request(connection)
        connection.sendall(make_response(attempt, b"", status="503 Busy"))


def refuse(replica: ScriptedReplica, connection: socket.socket) -> None:
    while True:
        replica.receive_request(connection)
        connection.sendall(
            b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        )


def stream_and_break(replica: ScriptedReplica, connection: socket.socket) -> None:
    attempt = replica.receive_request(connection)
    _, headers, _ = replica.requests[-1]
    connection.sendall(make_stream_head(attempt))
    if "last-event-id" in headers:
        connection.sendall(make_chunk(make_event(2)) + make_chunk(b""))
    else:
        connection.sendall(make_chunk(make_event(1)))


def test_response_of_a_replica_counts_once(harnesses: list[ForwarderHarness]) -> None:
    """Guards against requests that are missing in the reports, or counted twice."""
    harness = make_harness(harnesses, respond)
    assert harness.send_request("/read/7").startswith(b"HTTP/1.1 200")
    assert harness.send_request("/order/7", method="POST", body="x", attempt="a2")
    assert [call.id for call in harness.executions] == ["a1", "a2"]


@pytest.mark.parametrize("serve", [fail, fail_as_busy])
def test_failure_of_the_replica_itself_counts_once(
    harnesses: list[ForwarderHarness], serve: object
) -> None:
    """Guards against executed requests that are left out, or counted with a retry."""
    harness = make_harness(harnesses, serve, serve)
    harness.send_request("/read/7")
    assert [call.id for call in harness.executions] == ["a1"]


def test_refused_requests_do_not_count(harnesses: list[ForwarderHarness]) -> None:
    """Guards against reports of requests that no replica executed."""
    harness = make_harness(harnesses, refuse, refuse)
    assert harness.send_request("/read/7").startswith(b"HTTP/1.1 503")
    assert harness.send_request("/nowhere/7").startswith(b"HTTP/1.1 404")
    assert harness.executions == []


def test_stream_counts_with_its_first_event_and_not_when_it_goes_on(
    harnesses: list[ForwarderHarness],
) -> None:
    """Guards against streams that count at each replica that continues them."""
    harness = make_harness(harnesses, stream_and_break, stream_and_break)
    response = harness.send_request("/draft/1", method="POST", body="x")
    assert make_event(2) in response
    assert [call.id for call in harness.executions] == ["a1"]


def test_stream_that_its_caller_takes_up_does_not_count_again(
    harnesses: list[ForwarderHarness],
) -> None:
    """Guards against streams that count again at the gateway that resumes them."""
    harness = make_harness(harnesses, stream_and_break)
    harness.send_request("/draft/1", method="POST", body="x")
    count = len(harness.executions)
    assert count == 1
    with harness.connect() as connection:
        connection.sendall(
            make_request(
                "/draft/1",
                method="POST",
                body="x",
                attempt="a2",
                extra_headers="Last-Event-Id: 1\r\nResumes: a1\r\n",
            )
        )
        wait_until(lambda: len(harness.replicas[0].requests) >= 2)
        connection.settimeout(0.5)
        assert connection.recv(65536)
    assert len(harness.executions) == count
