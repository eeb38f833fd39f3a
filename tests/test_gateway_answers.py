"""
Tests of what callers are told
==============================

Scripted replicas bring each failure about; the verdict is what callers and replicas
see on their sockets.
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
    made: list[World] = []
    yield made
    for world in made:
        world.stop()


def world_of(worlds: list[World], *serves: object) -> World:
    replicas = [ScriptedReplica(f"r{i}", serve) for i, serve in enumerate(serves)]
    worlds.append(World(replicas))
    return worlds[-1]


def arrivals(world: World) -> int:
    return sum(len(replica.requests) for replica in world.replicas)


def well(replica: ScriptedReplica, connection: object) -> None:
    while True:
        connection.sendall(answer(replica.next_request(connection)))


def failing(replica: ScriptedReplica, connection: object) -> None:
    while True:
        attempt = replica.next_request(connection)
        connection.sendall(answer(attempt, b"oops", status="500 Failed"))


def full(replica: ScriptedReplica, connection: object) -> None:
    while True:
        replica.next_request(connection)
        connection.sendall(
            b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        )


def resetting(replica: ScriptedReplica, connection: object) -> None:
    replica.next_request(connection)


def silent(replica: ScriptedReplica, connection: object) -> None:
    replica.next_request(connection)
    connection.recv(1)
    replica.closed_by_gateway += 1


def test_an_answer_goes_back_unchanged(worlds: list[World]) -> None:
    world = world_of(worlds, well)
    said = world.ask("/read/7?x=1")
    assert said.startswith(b"HTTP/1.1 200") and said.endswith(b"\r\n\r\ndone")
    assert b"Response-Signature: s" in said
    line, headers, _ = world.replicas[0].requests[0]
    assert line == "GET /read/7?x=1 HTTP/1.1"
    assert headers["tenant"] == "skippers" and "authorization" not in headers
    assert headers["expected-instance"] == "r0"
    assert 0 < int(headers["deadline-ms"]) <= 800


def test_a_failed_idempotent_request_runs_no_more_than_its_route_allows(
    worlds: list[World],
) -> None:
    world = world_of(worlds, failing, failing, failing)
    said = world.ask("/read/7")
    assert said.startswith(b"HTTP/1.1 500") and said.endswith(b"oops")
    gevent.sleep(0.05)
    assert arrivals(world) == 2


def test_an_order_whose_answer_is_lost_is_not_sent_again(worlds: list[World]) -> None:
    world = world_of(worlds, resetting, resetting)
    assert world.ask("/order/1", method="POST", body="x").startswith(b"HTTP/1.1 502")
    assert arrivals(world) == 1


def test_an_order_that_was_refused_goes_to_another_replica(worlds: list[World]) -> None:
    world = world_of(worlds, full, well)
    for number in range(4):
        said = world.ask("/order/1", method="POST", body="x", attempt=f"a{number}")
        assert said.startswith(b"HTTP/1.1 200")


def test_a_refusal_of_all_replicas_says_not_run_and_when_to_return(
    worlds: list[World],
) -> None:
    world = world_of(worlds, full, full)
    said = world.ask("/order/1", method="POST", body="x")
    assert said.startswith(b"HTTP/1.1 503") and b"Retry-After: 0." in said
    assert b"Response-Signature" not in said


def test_a_promise_that_a_replica_does_not_make_is_not_passed_on(
    worlds: list[World],
) -> None:
    def unavailable(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.next_request(connection)
        connection.sendall(answer(attempt, b"", status="503 Busy"))

    world = world_of(worlds, unavailable)
    assert world.ask("/order/1", method="POST", body="x").startswith(b"HTTP/1.1 502")


def test_a_silent_replica_gets_its_time_and_the_caller_its_answer(
    worlds: list[World],
) -> None:
    world = world_of(worlds, silent, silent)
    began = world.clock.now()
    assert world.ask("/order/1", method="POST", body="x").startswith(b"HTTP/1.1 504")
    assert 0.7 < world.clock.now() - began < 1.3
    assert arrivals(world) == 1
    wait_until(lambda: sum(item.closed_by_gateway for item in world.replicas) == 1)


def test_a_repeatable_request_leaves_a_silent_replica(worlds: list[World]) -> None:
    world = world_of(worlds, silent, well)
    for number in range(6):
        assert world.ask("/read/1", attempt=f"a{number}").startswith(b"HTTP/1.1 200")


def test_an_answer_to_another_request_is_passed_over(worlds: list[World]) -> None:
    def crossed(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.next_request(connection)
        connection.sendall(answer("other", b"not yours") + answer(attempt, b"yours"))

    world = world_of(worlds, crossed)
    said = world.ask("/order/1", method="POST", body="x")
    assert said.startswith(b"HTTP/1.1 200") and said.endswith(b"yours")


@pytest.mark.parametrize(
    "spoiled",
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
def test_a_spoiled_answer_never_reaches_the_caller(
    worlds: list[World], spoiled: bytes
) -> None:
    def spoil(replica: ScriptedReplica, connection: object) -> None:
        replica.next_request(connection)
        connection.sendall(spoiled)

    world = world_of(worlds, spoil)
    said = world.ask("/order/1", method="POST", body="x")
    assert said.startswith(b"HTTP/1.1 502") and b"done" not in said


def test_bytes_after_an_answer_spoil_only_their_connection(worlds: list[World]) -> None:
    def extra(replica: ScriptedReplica, connection: object) -> None:
        while True:
            attempt = replica.next_request(connection)
            connection.sendall(answer(attempt) + answer(attempt, b"again"))

    world = world_of(worlds, extra)
    for number in range(3):
        said = world.ask("/order/1", method="POST", body="x", attempt=f"a{number}")
        assert said.endswith(b"\r\n\r\ndone")


def test_an_answer_without_a_length_ends_with_its_connection(
    worlds: list[World],
) -> None:
    def unframed(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.next_request(connection)
        connection.sendall(
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n"
            "Response-Signature: s\r\n\r\nall of it".encode()
        )

    world = world_of(worlds, unframed)
    said = world.ask("/order/1", method="POST", body="x")
    assert b"Content-Length: 9" in said and said.endswith(b"all of it")


def test_an_early_answer_to_a_long_body_is_delivered(worlds: list[World]) -> None:
    def early(replica: ScriptedReplica, connection: object) -> None:
        head = connection.recv(200)
        assert b"a1" in head
        connection.sendall(answer("a1", b"too long", status="413 Too long"))
        gevent.sleep(0.2)

    world = world_of(worlds, early)
    said = world.ask("/order/1", method="POST", body="x" * 2_000_000)
    assert said.startswith(b"HTTP/1.1 413") and said.endswith(b"too long")


def test_a_stream_goes_out_event_by_event(worlds: list[World]) -> None:
    go_on = gevent.event.Event()

    def stream(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.next_request(connection)
        connection.sendall(stream_head(attempt) + chunk(event(1) + event(2)[:5]))
        go_on.wait()
        connection.sendall(chunk(event(2)[5:]) + chunk(b""))

    world = world_of(worlds, stream)
    with world.connect() as caller:
        caller.sendall(request("/chat/1", method="POST", body="x", close=True))
        first = b""
        while b"piece 1\n\n" not in first:
            first += caller.recv(65536)
        assert b"id: 2" not in first
        go_on.set()
        rest = read_all(caller)
    assert event(2) in rest and rest.endswith(b"0\r\n\r\n")


def test_a_broken_stream_does_not_look_complete(worlds: list[World]) -> None:
    def cut(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.next_request(connection)
        connection.sendall(stream_head(attempt) + chunk(event(1)))

    world = world_of(worlds, cut, cut)
    said = world.ask("/chat/1", method="POST", body="x")
    assert event(1) in said and not said.endswith(b"0\r\n\r\n")
    assert arrivals(world) == 1


def test_a_stream_that_ends_amid_an_event_does_not_look_complete(
    worlds: list[World],
) -> None:
    def cut(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.next_request(connection)
        body = chunk(event(1)) + chunk(event(2)[:6]) + chunk(b"")
        connection.sendall(stream_head(attempt) + body)

    world = world_of(worlds, cut)
    said = world.ask("/chat/1", method="POST", body="x")
    assert event(1) in said and not said.endswith(b"0\r\n\r\n")


def test_a_resumable_stream_goes_on_without_gap_or_double(worlds: list[World]) -> None:
    def piece(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.next_request(connection)
        after = int(replica.requests[-1][1].get("last-event-id", 0))
        if after:
            rest = b"".join(chunk(event(number)) for number in range(after + 1, 5))
            connection.sendall(stream_head(attempt) + rest + chunk(b""))
        else:
            sent = chunk(event(1) + event(2) + event(3)[:7])
            connection.sendall(stream_head(attempt) + sent)

    world = world_of(worlds, piece, piece)
    said = world.ask("/draft/1", method="POST", body="x")
    for number in range(1, 5):
        assert said.count(event(number)) == 1
    assert said.endswith(b"0\r\n\r\n") and said.count(b"HTTP/1.1") == 1


def test_a_replica_of_another_service_at_the_address_is_left(
    worlds: list[World],
) -> None:
    def other(replica: ScriptedReplica, connection: object) -> None:
        replica.next_request(connection)
        connection.sendall(
            b"HTTP/1.1 421 Misdirected\r\nInstance-Id: i9\r\nContent-Length: 0\r\n\r\n"
        )

    world = world_of(worlds, other)
    assert world.ask("/order/1", method="POST", body="x").startswith(b"HTTP/1.1 503")
    assert world.left == ["r0"]


def test_without_a_configuration_nothing_is_denied(worlds: list[World]) -> None:
    world = world_of(worlds, well)
    world.table = None
    assert world.ask("/read/1").startswith(b"HTTP/1.1 503")
    assert arrivals(world) == 0


def test_unknown_keys_and_paths_are_denied(worlds: list[World]) -> None:
    world = world_of(worlds, well)
    assert world.ask("/read/1", key="nobody").startswith(b"HTTP/1.1 401")
    assert world.ask("/elsewhere/1").startswith(b"HTTP/1.1 404")
    assert arrivals(world) == 0


def test_each_decision_leaves_a_line_with_the_request_id(worlds: list[World]) -> None:
    world = world_of(worlds, failing, failing)
    world.ask("/read/7", attempt="a77")
    assert len([item for item in world.lines("offered") if '"a77"' in item]) == 2
    assert len([item for item in world.lines("attempt-failed") if '"a77"' in item]) == 2
    assert len([item for item in world.lines("answered") if '"a77"' in item]) == 1


@pytest.mark.parametrize("serve", [full, failing, resetting])
def test_nothing_is_sent_again_without_budget(
    worlds: list[World], serve: object
) -> None:
    world = world_of(worlds, serve, serve)
    world.budget.configure(ratio=0.0, allowance=0.0, window=10.0)
    said = world.ask("/read/1")
    assert arrivals(world) == 1
    assert not said.startswith(b"HTTP/1.1 200")
