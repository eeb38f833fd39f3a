"""
Tests of the responses that callers get
=======================================

Scripted replicas cause each failure; the tests check what callers and replicas receive
on their sockets.
"""

from collections.abc import Iterator

import gevent
import pytest

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


@pytest.fixture
def worlds() -> Iterator[list[World]]:
    created_worlds: list[World] = []
    yield created_worlds
    for world in created_worlds:
        world.stop()


def make_world(worlds: list[World], *serves: object) -> World:
    replicas = [ScriptedReplica(f"r{i}", serve) for i, serve in enumerate(serves)]
    worlds.append(World(replicas))
    return worlds[-1]


def count_requests(world: World) -> int:
    return sum(len(replica.requests) for replica in world.replicas)


def respond(replica: ScriptedReplica, connection: object) -> None:
    while True:
        connection.sendall(answer(replica.next_request(connection)))


def respond_with_error(replica: ScriptedReplica, connection: object) -> None:
    while True:
        attempt = replica.next_request(connection)
        connection.sendall(answer(attempt, b"oops", status="500 Failed"))


def refuse_as_full(replica: ScriptedReplica, connection: object) -> None:
    while True:
        replica.next_request(connection)
        connection.sendall(
            b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        )


def close_without_response(replica: ScriptedReplica, connection: object) -> None:
    replica.next_request(connection)


def never_respond(replica: ScriptedReplica, connection: object) -> None:
    replica.next_request(connection)
    connection.recv(1)
    replica.closed_by_gateway += 1


def test_a_response_is_relayed_unchanged(worlds: list[World]) -> None:
    world = make_world(worlds, respond)
    response = world.ask("/read/7?x=1")
    assert response.startswith(b"HTTP/1.1 200") and response.endswith(b"\r\n\r\ndone")
    assert b"Response-Signature: s" in response
    line, headers, _ = world.replicas[0].requests[0]
    assert line == "GET /read/7?x=1 HTTP/1.1"
    assert headers["tenant"] == "skippers" and "authorization" not in headers
    assert headers["expected-instance"] == "r0"
    assert 0 < int(headers["deadline-ms"]) <= 800


def test_a_failed_idempotent_request_is_retried_up_to_max_attempts(
    worlds: list[World],
) -> None:
    world = make_world(
        worlds, respond_with_error, respond_with_error, respond_with_error
    )
    response = world.ask("/read/7")
    assert response.startswith(b"HTTP/1.1 500") and response.endswith(b"oops")
    gevent.sleep(0.05)
    assert count_requests(world) == 2


def test_a_once_request_whose_response_is_lost_is_not_retried(
    worlds: list[World],
) -> None:
    world = make_world(worlds, close_without_response, close_without_response)
    assert world.ask("/order/1", method="POST", body="x").startswith(b"HTTP/1.1 502")
    assert count_requests(world) == 1


def test_a_once_request_that_was_refused_is_retried_elsewhere(
    worlds: list[World],
) -> None:
    world = make_world(worlds, refuse_as_full, respond)
    for number in range(4):
        response = world.ask("/order/1", method="POST", body="x", attempt=f"a{number}")
        assert response.startswith(b"HTTP/1.1 200")


def test_a_refusal_by_all_replicas_returns_503_with_retry_after(
    worlds: list[World],
) -> None:
    world = make_world(worlds, refuse_as_full, refuse_as_full)
    response = world.ask("/order/1", method="POST", body="x")
    assert response.startswith(b"HTTP/1.1 503") and b"Retry-After: 0." in response
    assert b"Response-Signature" not in response


def test_a_503_without_not_executed_marker_becomes_502(
    worlds: list[World],
) -> None:
    def respond_unavailable(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.next_request(connection)
        connection.sendall(answer(attempt, b"", status="503 Busy"))

    world = make_world(worlds, respond_unavailable)
    assert world.ask("/order/1", method="POST", body="x").startswith(b"HTTP/1.1 502")


def test_an_unresponsive_replica_causes_504_at_the_deadline(
    worlds: list[World],
) -> None:
    world = make_world(worlds, never_respond, never_respond)
    started_at = world.clock.now()
    assert world.ask("/order/1", method="POST", body="x").startswith(b"HTTP/1.1 504")
    assert 0.7 < world.clock.now() - started_at < 1.3
    assert count_requests(world) == 1
    wait_until(lambda: sum(item.closed_by_gateway for item in world.replicas) == 1)


def test_an_idempotent_request_is_retried_when_a_replica_is_unresponsive(
    worlds: list[World],
) -> None:
    world = make_world(worlds, never_respond, respond)
    for number in range(6):
        assert world.ask("/read/1", attempt=f"a{number}").startswith(b"HTTP/1.1 200")


def test_a_response_to_another_request_is_skipped(worlds: list[World]) -> None:
    def respond_to_another_first(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.next_request(connection)
        connection.sendall(answer("other", b"not yours") + answer(attempt, b"yours"))

    world = make_world(worlds, respond_to_another_first)
    response = world.ask("/order/1", method="POST", body="x")
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
    worlds: list[World], invalid_response: bytes
) -> None:
    def respond_invalidly(replica: ScriptedReplica, connection: object) -> None:
        replica.next_request(connection)
        connection.sendall(invalid_response)

    world = make_world(worlds, respond_invalidly)
    response = world.ask("/order/1", method="POST", body="x")
    assert response.startswith(b"HTTP/1.1 502") and b"done" not in response


def test_bytes_after_a_response_affect_only_their_connection(
    worlds: list[World],
) -> None:
    def respond_twice(replica: ScriptedReplica, connection: object) -> None:
        while True:
            attempt = replica.next_request(connection)
            connection.sendall(answer(attempt) + answer(attempt, b"again"))

    world = make_world(worlds, respond_twice)
    for number in range(3):
        response = world.ask("/order/1", method="POST", body="x", attempt=f"a{number}")
        assert response.endswith(b"\r\n\r\ndone")


def test_a_response_without_length_ends_with_its_connection(
    worlds: list[World],
) -> None:
    def respond_without_length(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.next_request(connection)
        connection.sendall(
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n"
            "Response-Signature: s\r\n\r\nall of it".encode()
        )

    world = make_world(worlds, respond_without_length)
    response = world.ask("/order/1", method="POST", body="x")
    assert b"Content-Length: 9" in response and response.endswith(b"all of it")


def test_an_early_response_to_a_long_body_is_relayed(worlds: list[World]) -> None:
    def respond_early(replica: ScriptedReplica, connection: object) -> None:
        head = connection.recv(200)
        assert b"a1" in head
        connection.sendall(answer("a1", b"too long", status="413 Too long"))
        gevent.sleep(0.2)

    world = make_world(worlds, respond_early)
    response = world.ask("/order/1", method="POST", body="x" * 2_000_000)
    assert response.startswith(b"HTTP/1.1 413") and response.endswith(b"too long")


def test_a_stream_is_relayed_in_complete_events(worlds: list[World]) -> None:
    send_rest = gevent.event.Event()

    def send_stream(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.next_request(connection)
        connection.sendall(stream_head(attempt) + chunk(event(1) + event(2)[:5]))
        send_rest.wait()
        connection.sendall(chunk(event(2)[5:]) + chunk(b""))

    world = make_world(worlds, send_stream)
    with world.connect() as caller:
        caller.sendall(request("/chat/1", method="POST", body="x", close=True))
        first = b""
        while b"piece 1\n\n" not in first:
            first += caller.recv(65536)
        assert b"id: 2" not in first
        send_rest.set()
        rest = read_all(caller)
    assert event(2) in rest and rest.endswith(b"0\r\n\r\n")


def test_a_broken_stream_is_not_marked_complete(worlds: list[World]) -> None:
    def send_partial_stream(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.next_request(connection)
        connection.sendall(stream_head(attempt) + chunk(event(1)))

    world = make_world(worlds, send_partial_stream, send_partial_stream)
    response = world.ask("/chat/1", method="POST", body="x")
    assert event(1) in response and not response.endswith(b"0\r\n\r\n")
    assert count_requests(world) == 1


def test_a_stream_that_ends_within_an_event_is_not_marked_complete(
    worlds: list[World],
) -> None:
    def send_partial_stream(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.next_request(connection)
        body = chunk(event(1)) + chunk(event(2)[:6]) + chunk(b"")
        connection.sendall(stream_head(attempt) + body)

    world = make_world(worlds, send_partial_stream)
    response = world.ask("/chat/1", method="POST", body="x")
    assert event(1) in response and not response.endswith(b"0\r\n\r\n")


def test_a_resumed_stream_has_each_event_exactly_once(worlds: list[World]) -> None:
    def stream_from_last_event(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.next_request(connection)
        after = int(replica.requests[-1][1].get("last-event-id", 0))
        if after:
            rest = b"".join(chunk(event(number)) for number in range(after + 1, 5))
            connection.sendall(stream_head(attempt) + rest + chunk(b""))
        else:
            sent = chunk(event(1) + event(2) + event(3)[:7])
            connection.sendall(stream_head(attempt) + sent)

    world = make_world(worlds, stream_from_last_event, stream_from_last_event)
    response = world.ask("/draft/1", method="POST", body="x")
    for number in range(1, 5):
        assert response.count(event(number)) == 1
    assert response.endswith(b"0\r\n\r\n") and response.count(b"HTTP/1.1") == 1


def test_a_misdirected_request_removes_the_replica(
    worlds: list[World],
) -> None:
    def respond_misdirected(replica: ScriptedReplica, connection: object) -> None:
        replica.next_request(connection)
        connection.sendall(
            b"HTTP/1.1 421 Misdirected\r\nInstance-Id: i9\r\nContent-Length: 0\r\n\r\n"
        )

    world = make_world(worlds, respond_misdirected)
    assert world.ask("/order/1", method="POST", body="x").startswith(b"HTTP/1.1 503")
    assert world.left == ["r0"]


def test_requests_get_503_before_the_first_configuration(worlds: list[World]) -> None:
    world = make_world(worlds, respond)
    world.table = None
    assert world.ask("/read/1").startswith(b"HTTP/1.1 503")
    assert count_requests(world) == 0


def test_unknown_keys_and_paths_are_rejected(worlds: list[World]) -> None:
    world = make_world(worlds, respond)
    assert world.ask("/read/1", key="nobody").startswith(b"HTTP/1.1 401")
    assert world.ask("/elsewhere/1").startswith(b"HTTP/1.1 404")
    assert count_requests(world) == 0


def test_each_decision_is_logged_with_the_request_id(worlds: list[World]) -> None:
    world = make_world(worlds, respond_with_error, respond_with_error)
    world.ask("/read/7", attempt="a77")
    assert len([item for item in world.lines("offered") if '"a77"' in item]) == 2
    assert len([item for item in world.lines("attempt-failed") if '"a77"' in item]) == 2
    assert len([item for item in world.lines("answered") if '"a77"' in item]) == 1


@pytest.mark.parametrize(
    "serve", [refuse_as_full, respond_with_error, close_without_response]
)
def test_no_retry_without_retry_budget(worlds: list[World], serve: object) -> None:
    world = make_world(worlds, serve, serve)
    world.budget.configure(ratio=0.0, allowance=0.0, window=10.0)
    response = world.ask("/read/1")
    assert count_requests(world) == 1
    assert not response.startswith(b"HTTP/1.1 200")
