"""
Tests of the responses that callers get
=======================================

Scripted replicas cause each failure; the tests check what callers and replicas receive
on their sockets.
"""

from collections.abc import Iterator

import gevent
import pytest

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


def count_requests(harness: ForwarderHarness) -> int:
    return sum(len(replica.requests) for replica in harness.replicas)


def respond(replica: ScriptedReplica, connection: object) -> None:
    while True:
        connection.sendall(make_response(replica.receive_request(connection)))


def respond_with_error(replica: ScriptedReplica, connection: object) -> None:
    while True:
        attempt = replica.receive_request(connection)
        connection.sendall(make_response(attempt, b"oops", status="500 Failed"))


def refuse_as_full(replica: ScriptedReplica, connection: object) -> None:
    while True:
        replica.receive_request(connection)
        connection.sendall(
            b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        )


def close_without_response(replica: ScriptedReplica, connection: object) -> None:
    replica.receive_request(connection)


def never_respond(replica: ScriptedReplica, connection: object) -> None:
    replica.receive_request(connection)
    connection.recv(1)
    replica.closed_by_gateway_count += 1


def test_a_response_is_relayed_unchanged(harnesses: list[ForwarderHarness]) -> None:
    harness = make_harness(harnesses, respond)
    response = harness.send_request("/read/7?x=1")
    assert response.startswith(b"HTTP/1.1 200") and response.endswith(b"\r\n\r\ndone")
    assert b"Response-Signature: s" in response
    line, headers, _ = harness.replicas[0].requests[0]
    assert line == "GET /read/7?x=1 HTTP/1.1"
    assert headers["tenant"] == "skippers" and "authorization" not in headers
    assert headers["expected-instance"] == "r0"
    assert 0 < int(headers["deadline-ms"]) <= 800


def test_a_failed_idempotent_request_is_retried_up_to_max_attempts(
    harnesses: list[ForwarderHarness],
) -> None:
    harness = make_harness(
        harnesses, respond_with_error, respond_with_error, respond_with_error
    )
    response = harness.send_request("/read/7")
    assert response.startswith(b"HTTP/1.1 500") and response.endswith(b"oops")
    gevent.sleep(0.05)
    assert count_requests(harness) == 2


def test_a_once_request_whose_response_is_lost_is_not_retried(
    harnesses: list[ForwarderHarness],
) -> None:
    harness = make_harness(harnesses, close_without_response, close_without_response)
    assert harness.send_request("/order/1", method="POST", body="x").startswith(
        b"HTTP/1.1 502"
    )
    assert count_requests(harness) == 1


def test_a_once_request_that_was_refused_is_retried_elsewhere(
    harnesses: list[ForwarderHarness],
) -> None:
    harness = make_harness(harnesses, refuse_as_full, respond)
    for number in range(4):
        response = harness.send_request(
            "/order/1", method="POST", body="x", attempt=f"a{number}"
        )
        assert response.startswith(b"HTTP/1.1 200")


def test_a_refusal_by_all_replicas_returns_503_with_retry_after(
    harnesses: list[ForwarderHarness],
) -> None:
    harness = make_harness(harnesses, refuse_as_full, refuse_as_full)
    response = harness.send_request("/order/1", method="POST", body="x")
    assert response.startswith(b"HTTP/1.1 503") and b"Retry-After: 0." in response
    assert b"Response-Signature" not in response


def test_a_503_without_not_executed_marker_becomes_502(
    harnesses: list[ForwarderHarness],
) -> None:
    def respond_unavailable(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.receive_request(connection)
        connection.sendall(make_response(attempt, b"", status="503 Busy"))

    harness = make_harness(harnesses, respond_unavailable)
    assert harness.send_request("/order/1", method="POST", body="x").startswith(
        b"HTTP/1.1 502"
    )


def test_an_unresponsive_replica_causes_504_at_the_deadline(
    harnesses: list[ForwarderHarness],
) -> None:
    harness = make_harness(harnesses, never_respond, never_respond)
    started_at = harness.clock.now()
    assert harness.send_request("/order/1", method="POST", body="x").startswith(
        b"HTTP/1.1 504"
    )
    assert 0.7 < harness.clock.now() - started_at < 1.3
    assert count_requests(harness) == 1
    wait_until(
        lambda: sum(item.closed_by_gateway_count for item in harness.replicas) == 1
    )


def test_an_idempotent_request_is_retried_when_a_replica_is_unresponsive(
    harnesses: list[ForwarderHarness],
) -> None:
    harness = make_harness(harnesses, never_respond, respond)
    for number in range(6):
        assert harness.send_request("/read/1", attempt=f"a{number}").startswith(
            b"HTTP/1.1 200"
        )


def test_a_response_to_another_request_is_skipped(
    harnesses: list[ForwarderHarness],
) -> None:
    def respond_to_another_first(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.receive_request(connection)
        connection.sendall(
            make_response("other", b"not yours") + make_response(attempt, b"yours")
        )

    harness = make_harness(harnesses, respond_to_another_first)
    response = harness.send_request("/order/1", method="POST", body="x")
    assert response.startswith(b"HTTP/1.1 200") and response.endswith(b"yours")


@pytest.mark.parametrize(
    "invalid_response",
    [
        b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 4\r\n\r\ndone",
        b"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\ndone",
        b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s\r\n"
        b"Content-Length: 9\r\n\r\ndone",
        b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s\r\n"
        b"Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\ndone",
        b"\x16\x03\x01 this is no answer\r\n\r\n",
    ],
    ids=["unsigned", "no id", "cut", "encoded", "not HTTP"],
)
def test_an_invalid_response_is_not_relayed(
    harnesses: list[ForwarderHarness], invalid_response: bytes
) -> None:
    def respond_invalidly(replica: ScriptedReplica, connection: object) -> None:
        replica.receive_request(connection)
        connection.sendall(invalid_response)

    harness = make_harness(harnesses, respond_invalidly)
    response = harness.send_request("/order/1", method="POST", body="x")
    assert response.startswith(b"HTTP/1.1 502") and b"done" not in response


def test_bytes_after_a_response_affect_only_their_connection(
    harnesses: list[ForwarderHarness],
) -> None:
    def respond_twice(replica: ScriptedReplica, connection: object) -> None:
        while True:
            attempt = replica.receive_request(connection)
            connection.sendall(
                make_response(attempt) + make_response(attempt, b"again")
            )

    harness = make_harness(harnesses, respond_twice)
    for number in range(3):
        response = harness.send_request(
            "/order/1", method="POST", body="x", attempt=f"a{number}"
        )
        assert response.endswith(b"\r\n\r\ndone")


def test_a_response_without_length_ends_with_its_connection(
    harnesses: list[ForwarderHarness],
) -> None:
    def respond_without_length(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.receive_request(connection)
        connection.sendall(
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n"
            "Response-Signature: s\r\n\r\nall of it".encode()
        )

    harness = make_harness(harnesses, respond_without_length)
    response = harness.send_request("/order/1", method="POST", body="x")
    assert b"Content-Length: 9" in response and response.endswith(b"all of it")


def test_an_early_response_to_a_long_body_is_relayed(
    harnesses: list[ForwarderHarness],
) -> None:
    def respond_early(replica: ScriptedReplica, connection: object) -> None:
        head = connection.recv(200)
        assert b"a1" in head
        connection.sendall(make_response("a1", b"too long", status="413 Too long"))
        gevent.sleep(0.2)

    harness = make_harness(harnesses, respond_early)
    response = harness.send_request("/order/1", method="POST", body="x" * 2_000_000)
    assert response.startswith(b"HTTP/1.1 413") and response.endswith(b"too long")


def test_a_stream_is_relayed_in_complete_events(
    harnesses: list[ForwarderHarness],
) -> None:
    send_rest = gevent.event.Event()

    def send_stream(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.receive_request(connection)
        connection.sendall(
            make_stream_head(attempt) + make_chunk(make_event(1) + make_event(2)[:5])
        )
        send_rest.wait()
        connection.sendall(make_chunk(make_event(2)[5:]) + make_chunk(b""))

    harness = make_harness(harnesses, send_stream)
    with harness.connect() as caller:
        caller.sendall(make_request("/chat/1", method="POST", body="x", close=True))
        first = b""
        while b"piece 1\n\n" not in first:
            first += caller.recv(65536)
        assert b"id: 2" not in first
        send_rest.set()
        rest = read_all(caller)
    assert make_event(2) in rest and rest.endswith(b"0\r\n\r\n")


def test_a_broken_stream_is_not_marked_complete(
    harnesses: list[ForwarderHarness],
) -> None:
    def send_partial_stream(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.receive_request(connection)
        connection.sendall(make_stream_head(attempt) + make_chunk(make_event(1)))

    harness = make_harness(harnesses, send_partial_stream, send_partial_stream)
    response = harness.send_request("/chat/1", method="POST", body="x")
    assert make_event(1) in response and not response.endswith(b"0\r\n\r\n")
    assert count_requests(harness) == 1


def test_a_stream_that_ends_within_an_event_is_not_marked_complete(
    harnesses: list[ForwarderHarness],
) -> None:
    def send_partial_stream(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.receive_request(connection)
        body = (
            make_chunk(make_event(1)) + make_chunk(make_event(2)[:6]) + make_chunk(b"")
        )
        connection.sendall(make_stream_head(attempt) + body)

    harness = make_harness(harnesses, send_partial_stream)
    response = harness.send_request("/chat/1", method="POST", body="x")
    assert make_event(1) in response and not response.endswith(b"0\r\n\r\n")


def test_a_resumed_stream_has_each_event_exactly_once(
    harnesses: list[ForwarderHarness],
) -> None:
    def stream_from_last_event(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.receive_request(connection)
        after = int(replica.requests[-1][1].get("last-event-id", 0))
        if after:
            rest = b"".join(
                make_chunk(make_event(number)) for number in range(after + 1, 5)
            )
            connection.sendall(make_stream_head(attempt) + rest + make_chunk(b""))
        else:
            sent = make_chunk(make_event(1) + make_event(2) + make_event(3)[:7])
            connection.sendall(make_stream_head(attempt) + sent)

    harness = make_harness(harnesses, stream_from_last_event, stream_from_last_event)
    response = harness.send_request("/draft/1", method="POST", body="x")
    for number in range(1, 5):
        assert response.count(make_event(number)) == 1
    assert response.endswith(b"0\r\n\r\n") and response.count(b"HTTP/1.1") == 1


def test_a_misdirected_request_removes_the_replica(
    harnesses: list[ForwarderHarness],
) -> None:
    def respond_misdirected(replica: ScriptedReplica, connection: object) -> None:
        replica.receive_request(connection)
        connection.sendall(
            b"HTTP/1.1 421 Misdirected\r\nInstance-Id: i9\r\nContent-Length: 0\r\n\r\n"
        )

    harness = make_harness(harnesses, respond_misdirected)
    assert harness.send_request("/order/1", method="POST", body="x").startswith(
        b"HTTP/1.1 503"
    )
    assert harness.departed_instances == ["r0"]


def test_requests_get_503_before_the_first_configuration(
    harnesses: list[ForwarderHarness],
) -> None:
    harness = make_harness(harnesses, respond)
    harness.table = None
    assert harness.send_request("/read/1").startswith(b"HTTP/1.1 503")
    assert count_requests(harness) == 0


def test_unknown_keys_and_paths_are_rejected(harnesses: list[ForwarderHarness]) -> None:
    harness = make_harness(harnesses, respond)
    assert harness.send_request("/read/1", key="nobody").startswith(b"HTTP/1.1 401")
    assert harness.send_request("/elsewhere/1").startswith(b"HTTP/1.1 404")
    assert count_requests(harness) == 0


def test_each_decision_is_logged_with_the_request_id(
    harnesses: list[ForwarderHarness],
) -> None:
    harness = make_harness(harnesses, respond_with_error, respond_with_error)
    harness.send_request("/read/7", attempt="a77")
    assert (
        len([item for item in harness.get_log_lines("offered") if '"a77"' in item]) == 2
    )
    assert (
        len(
            [
                item
                for item in harness.get_log_lines("attempt-failed")
                if '"a77"' in item
            ]
        )
        == 2
    )
    assert (
        len([item for item in harness.get_log_lines("answered") if '"a77"' in item])
        == 1
    )


@pytest.mark.parametrize(
    "serve", [refuse_as_full, respond_with_error, close_without_response]
)
def test_no_retry_without_retry_budget(
    harnesses: list[ForwarderHarness], serve: object
) -> None:
    harness = make_harness(harnesses, serve, serve)
    harness.budget.configure(ratio=0.0, allowance=0.0, window=10.0)
    response = harness.send_request("/read/1")
    assert count_requests(harness) == 1
    assert not response.startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("first", [1, 2])
def test_a_stream_that_is_taken_up_never_goes_back(
    harnesses: list[ForwarderHarness], first: int
) -> None:
    """The first event was compared only with those of the same response."""

    def ignore_last_event(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.receive_request(connection)
        start = first if attempt == "a2" else 1
        events = [make_chunk(make_event(number)) for number in range(start, 5)]
        end = make_chunk(b"")
        connection.sendall(make_stream_head(attempt) + b"".join(events) + end)

    harness = make_harness(harnesses, ignore_last_event, ignore_last_event)
    harness.send_request("/draft/1", method="POST", body="x", attempt="a1")
    response = harness.send_request(
        "/draft/1", method="POST", body="x", attempt="a2",
        extra_headers="Last-Event-Id: 2\r\nResumes: a1\r\n",
    )  # fmt: skip
    assert len(harness.replicas[0].requests + harness.replicas[1].requests) > 1
    assert make_event(1) not in response and make_event(2) not in response


def test_events_without_ids_do_not_come_twice(
    harnesses: list[ForwarderHarness],
) -> None:
    """Another replica began anew, since nothing said where to go on."""

    def stream_without_ids(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.receive_request(connection)
        count = sum(len(item.requests) for item in harness.replicas)
        event = b"data: one\n\n" if count == 1 else b"id: 1\ndata: one\n\n"
        connection.sendall(make_stream_head(attempt) + make_chunk(event))
        if count > 1:
            connection.sendall(make_chunk(b""))

    harness = make_harness(harnesses, stream_without_ids, stream_without_ids)
    response = harness.send_request("/draft/1", method="POST", body="x")
    assert response.count(b"data: one") == 1
    assert not response.endswith(b"0\r\n\r\n")
