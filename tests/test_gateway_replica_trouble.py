"""
Tests of what replicas in trouble bring about
=============================================

Replicas that leave, that ask for a pause, that send bytes without end, and streams that
stall; the verdict is what callers and replicas see on their sockets.
"""

import math
from collections.abc import Callable, Iterator

import gevent
import pytest

from damasklead.clock import ManualClock
from damasklead.failures import Failure
from damasklead.gateway.attempts import MAX_REPLICA_ATTEMPTS
from damasklead.gateway.calls import LoadHint, UpstreamState
from damasklead.gateway.departures import (
    DEPARTURE_REPORT_SECONDS,
    Departure,
    DepartureLog,
)
from damasklead.gateway.directory import UpstreamDirectory
from damasklead.gateway.replicastate import MAX_PAUSE_SECONDS
from damasklead.gateway.upstream_http import ResponseMemoryBudget
from damasklead.ids import InstanceId
from tests.gatewaykit import (
    ROUTES,
    ScriptedReplica,
    World,
    answer,
    chunk,
    event,
    make_table,
    read_all,
    request,
    stream_head,
    wait_until,
)
from tests.test_gateway_answers import well, world_of
from tests.test_gateway_parts import gone, names, row

Serve = Callable[[ScriptedReplica, object], None]


@pytest.fixture
def worlds() -> Iterator[list[World]]:
    made: list[World] = []
    yield made
    for world in made:
        world.stop()


def arrivals(world: World) -> list[int]:
    return [len(replica.requests) for replica in world.replicas]


def leaving(replica: ScriptedReplica, connection: object) -> None:
    while True:
        attempt = replica.next_request(connection)
        connection.sendall(answer(attempt, extra="Server-Leaving: 1\r\n"))


def pausing(seconds: str) -> Serve:
    def serve(replica: ScriptedReplica, connection: object) -> None:
        while True:
            replica.next_request(connection)
            connection.sendall(
                b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
                b"Retry-After: " + seconds.encode() + b"\r\nContent-Length: 0\r\n\r\n"
            )

    return serve


class TestLeaving:
    def test_a_replica_that_says_that_it_leaves_gets_nothing_more(
        self, worlds: list[World]
    ) -> None:
        world = world_of(worlds, leaving, well)
        for number in range(12):
            said = world.ask("/read/1", attempt=f"a{number}")
            assert said.startswith(b"HTTP/1.1 200")
        assert arrivals(world)[0] == 1
        assert world.left == ["r0"]

    def test_a_refusal_tells_of_leaving_as_well(self, worlds: list[World]) -> None:
        def refuse(replica: ScriptedReplica, connection: object) -> None:
            replica.next_request(connection)
            connection.sendall(
                b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nServer-Leaving: 1\r\n"
                b"Content-Length: 0\r\n\r\n"
            )

        world = world_of(worlds, refuse, well)
        for number in range(6):
            said = world.ask("/order/1", method="POST", body="x", attempt=f"a{number}")
            assert said.startswith(b"HTTP/1.1 200")
        assert arrivals(world)[0] <= 1

    def test_a_stream_is_not_resumed_where_it_was_told_to_leave(
        self, worlds: list[World]
    ) -> None:
        def cut(replica: ScriptedReplica, connection: object) -> None:
            attempt = replica.next_request(connection)
            head = stream_head(attempt).replace(
                b"\r\n\r\n", b"\r\nServer-Leaving: 1\r\n\r\n"
            )
            connection.sendall(head + chunk(event(1)))

        world = world_of(worlds, cut)
        said = world.ask("/draft/1", method="POST", body="x")
        assert event(1) in said and not said.endswith(b"0\r\n\r\n")
        assert arrivals(world) == [1]

    def test_it_stays_so_when_the_entry_goes_and_comes_back(self) -> None:
        directory = UpstreamDirectory(clock=ManualClock())
        directory.apply([row("a", 1), row("b", 2)], whole=True)
        assert directory.mark_left(InstanceId("a"), 1)
        directory.apply([gone("a", 3)], whole=False)
        directory.apply([row("a", 4)], whole=False)
        assert names(directory) == ["b"]
        directory.apply([row("a", 5, incarnation=2)], whole=False)
        assert names(directory) == ["a", "b"]

    def test_a_gateway_that_starts_is_told(self) -> None:
        directory = UpstreamDirectory(clock=ManualClock())
        directory.apply([row("a", 1), row("b", 2)], whole=True)
        directory.mark_left(InstanceId("a"), 1)
        newcomer = UpstreamDirectory(clock=ManualClock())
        newcomer.apply(directory.rows(), whole=False)
        assert names(newcomer) == ["b"]
        assert newcomer.rows()[0].record.state is UpstreamState.LEAVING

    def test_other_gateways_are_told_for_a_while(self) -> None:
        clock = ManualClock()
        departures = DepartureLog(clock=clock)
        departures.record(InstanceId("a"), 7)
        assert departures.recent_departures == [Departure(InstanceId("a"), 7)]
        clock.advance(DEPARTURE_REPORT_SECONDS)
        assert departures.recent_departures == []


class TestPause:
    def test_a_replica_that_asks_for_a_pause_gets_nothing_until_its_end(
        self, worlds: list[World]
    ) -> None:
        world = world_of(worlds, pausing("0.6"), well)
        for number in range(12):
            said = world.ask("/order/1", method="POST", body="x", attempt=f"a{number}")
            assert said.startswith(b"HTTP/1.1 200")
        assert arrivals(world)[0] == 1
        gevent.sleep(0.65)
        for number in range(12):
            world.ask("/read/1", attempt=f"b{number}")
        assert arrivals(world)[0] == 2

    def test_when_all_pause_the_caller_is_told_at_once_when_the_first_ends(
        self, worlds: list[World]
    ) -> None:
        world = world_of(worlds, pausing("5"), pausing("2"))
        world.ask("/read/1", attempt="a0")
        began = world.clock.now()
        said = world.ask("/order/1", method="POST", body="x", attempt="a1")
        assert world.clock.now() - began < 0.3
        assert said.startswith(b"HTTP/1.1 503")
        seconds = float(said.partition(b"Retry-After: ")[2].partition(b"\r\n")[0])
        assert 1.5 < seconds <= 2.5
        assert arrivals(world) == [1, 1]

    @pytest.mark.parametrize(
        ("asked", "least", "most"),
        [
            (-3.0, 0.0, 0.0),
            (math.nan, 0.0, 0.0),
            (0.0, 0.0, 0.0),
            (1.5, 1.5, 1.5),
            (86_400.0, MAX_PAUSE_SECONDS, MAX_PAUSE_SECONDS),
            (math.inf, MAX_PAUSE_SECONDS, MAX_PAUSE_SECONDS),
        ],
    )
    def test_absurd_times_have_a_bound(
        self, worlds: list[World], asked: float, least: float, most: float
    ) -> None:
        world = world_of(worlds, well)
        assert least <= world.placement.paused(InstanceId("r0"), asked) <= most
        assert world.placement.accepts(InstanceId("r0")) is (most == 0.0)

    def test_a_pause_leaves_a_log_line(self, worlds: list[World]) -> None:
        world = world_of(worlds, pausing("nan"), well)
        for number in range(4):
            world.ask("/read/1", attempt=f"a{number}")
        assert world.lines("replica-paused")

    def test_a_pause_ends_with_the_incarnation_and_not_with_the_entry(
        self, worlds: list[World]
    ) -> None:
        world = world_of(worlds, well)
        record = world.replicas[0].record
        world.placement.paused(record.instance, 30.0)
        world.placement.retain([])
        world.placement.retain([record])
        assert world.placement.pause_left() is not None
        started_again = type(record)(
            **{name: getattr(record, name) for name in record.__struct_fields__}
            | {"incarnation": 2}
        )
        world.placement.retain([started_again])
        assert world.placement.pause_left() is None

    def test_a_shorter_request_does_not_end_a_longer_pause(
        self, worlds: list[World]
    ) -> None:
        world = world_of(worlds, well)
        name = InstanceId("r0")
        world.placement.paused(name, 30.0)
        world.placement.paused(name, 0.1)
        left = world.placement.pause_left()
        assert left is not None and left > 29.0


class TestBytesWithoutEnd:
    def test_a_head_without_end_is_cut(self, worlds: list[World]) -> None:
        def endless(replica: ScriptedReplica, connection: object) -> None:
            replica.next_request(connection)
            connection.sendall(b"HTTP/1.1 200 OK\r\n")
            while True:
                connection.sendall(b"X-Filler: " + b"x" * 1000 + b"\r\n")

        world = world_of(worlds, endless)
        said = world.ask("/order/1", method="POST", body="x")
        assert said.startswith(b"HTTP/1.1 502")
        wait_until(lambda: world.replicas[0].closed_by_gateway == 1)

    def test_interim_answers_without_end_are_cut(self, worlds: list[World]) -> None:
        def endless(replica: ScriptedReplica, connection: object) -> None:
            replica.next_request(connection)
            while True:
                connection.sendall(b"HTTP/1.1 103 Early Hints\r\n\r\n")
                gevent.sleep(0.001)

        world = world_of(worlds, endless)
        assert world.ask("/order/1", method="POST", body="x").startswith(
            b"HTTP/1.1 502"
        )

    def test_bodies_without_end_take_a_bounded_memory_together(
        self, worlds: list[World]
    ) -> None:
        held: list[int] = []

        def endless(replica: ScriptedReplica, connection: object) -> None:
            attempt = replica.next_request(connection)
            connection.sendall(stream_head(attempt))
            while True:
                connection.sendall(chunk(b"x" * 50_000))
                held.append(world.memory.used_bytes)

        def run_one(number: int) -> bytes:
            return world.ask("/order/1", method="POST", body="x", attempt=f"a{number}")

        world = world_of(worlds, *[endless] * 50)
        world.memory.limit_bytes = 4_000_000
        callers = [gevent.spawn(run_one, number) for number in range(50)]
        gevent.joinall(callers, timeout=20, raise_error=True)
        for caller in callers:
            assert caller.value.startswith((b"HTTP/1.1 502", b"HTTP/1.1 504"))
        slack = 50 * 400_000  # each may hold a small answer and one piece
        assert max(held) <= 4_000_000 + slack
        assert world.memory.used_bytes == 0

    def test_short_answers_go_through_beside_them(self) -> None:
        memory = ResponseMemoryBudget(limit_bytes=1000)
        memory.used_bytes = 5000
        assert not memory.must_drop(800)
        assert memory.must_drop(1_000_000)

    def test_a_body_that_never_ends_counts_against_its_replica(
        self, worlds: list[World]
    ) -> None:
        def dribble(replica: ScriptedReplica, connection: object) -> None:
            attempt = replica.next_request(connection)
            connection.sendall(stream_head(attempt))
            while True:
                connection.sendall(chunk(b"x"))
                gevent.sleep(0.05)

        world = world_of(worlds, dribble, well)
        said = [
            world.ask("/order/1", method="POST", body="x", attempt=f"a{number}")
            for number in range(4)
        ]
        assert sum(item.startswith(b"HTTP/1.1 504") for item in said) == 1
        assert arrivals(world)[0] == 1

    def test_an_event_without_end_is_cut(self, worlds: list[World]) -> None:
        def endless(replica: ScriptedReplica, connection: object) -> None:
            attempt = replica.next_request(connection)
            connection.sendall(stream_head(attempt) + chunk(event(1) + b"data: "))
            while True:
                connection.sendall(chunk(b"x" * 60_000))

        world = world_of(worlds, endless)
        said = world.ask("/chat/1", method="POST", body="x")
        assert event(1) in said and not said.endswith(b"0\r\n\r\n")
        assert len(said) < 1000


def brisk_routes() -> list:
    """Return the routes with streams whose callers wait for 2 s at most."""
    return [
        type(route)(
            **{name: getattr(route, name) for name in route.__struct_fields__}
            | {"timeout": 6.0}
        )
        for route in ROUTES
    ]


class TestStreams:
    def test_a_stream_that_sends_bytes_and_no_event_ends(
        self, worlds: list[World]
    ) -> None:
        def stalled(replica: ScriptedReplica, connection: object) -> None:
            attempt = replica.next_request(connection)
            connection.sendall(stream_head(attempt) + chunk(event(1)))
            while True:
                gevent.sleep(0.1)
                connection.sendall(chunk(b":"))

        world = world_of(worlds, stalled)
        world.table = make_table(routes=brisk_routes())
        began = world.clock.now()
        said = world.ask("/chat/1", method="POST", body="x")
        assert 1.9 < world.clock.now() - began < 3.0
        assert event(1) in said and not said.endswith(b"0\r\n\r\n")

    def test_a_silent_stream_that_may_be_resumed_goes_on_elsewhere(
        self, worlds: list[World]
    ) -> None:
        def half(replica: ScriptedReplica, connection: object) -> None:
            attempt = replica.next_request(connection)
            after = int(replica.requests[-1][1].get("last-event-id", 0))
            if after:
                connection.sendall(stream_head(attempt) + chunk(event(2)) + chunk(b""))
                return
            connection.sendall(stream_head(attempt) + chunk(event(1)))
            connection.recv(1)

        world = world_of(worlds, half, half)
        world.table = make_table(routes=brisk_routes())
        began = world.clock.now()
        said = world.ask("/draft/1", method="POST", body="x")
        assert world.clock.now() - began < 1.6
        assert said.count(event(1)) == said.count(event(2)) == 1
        assert said.endswith(b"0\r\n\r\n")

    def test_a_slow_but_sound_stream_lives(self, worlds: list[World]) -> None:
        def slow(replica: ScriptedReplica, connection: object) -> None:
            attempt = replica.next_request(connection)
            connection.sendall(stream_head(attempt))
            for number in range(1, 4):
                gevent.sleep(1.2)
                connection.sendall(chunk(event(number)))
            connection.sendall(chunk(b""))

        world = world_of(worlds, slow)
        world.table = make_table(routes=brisk_routes())
        said = world.ask("/chat/1", method="POST", body="x")
        assert event(3) in said and said.endswith(b"0\r\n\r\n")


class TestKeptPromises:
    def test_an_order_runs_once_where_two_attempts_are_allowed(
        self, worlds: list[World]
    ) -> None:
        def resetting(replica: ScriptedReplica, connection: object) -> None:
            replica.next_request(connection)

        world = world_of(worlds, resetting, resetting)
        world.table = make_table(
            routes=[
                type(route)(
                    **{name: getattr(route, name) for name in route.__struct_fields__}
                    | {"max_attempts": 2}
                )
                for route in ROUTES
            ]
        )
        for path in ("/order/1", "/chat/1"):
            before = sum(arrivals(world))
            world.ask(path, method="POST", body="x", attempt=path.replace("/", "-"))
            assert sum(arrivals(world)) - before == 1

    def test_replicas_that_take_no_connection_are_tried_a_few_times_only(
        self, worlds: list[World]
    ) -> None:
        world = world_of(worlds, *[well] * 9)
        for replica in world.replicas:
            replica.stop()
        said = world.ask("/order/1", method="POST", body="x")
        assert said.startswith(b"HTTP/1.1 503")
        assert len(world.lines("attempt-failed")) == MAX_REPLICA_ATTEMPTS

    def test_the_routes_timeout_bounds_what_a_patient_caller_gets(
        self, worlds: list[World]
    ) -> None:
        def silent(replica: ScriptedReplica, connection: object) -> None:
            replica.next_request(connection)
            connection.recv(1)

        world = world_of(worlds, silent)
        began = world.clock.now()
        said = world.ask(
            "/order/1", method="POST", body="x", extra="Deadline-Ms: 5000\r\n"
        )
        assert said.startswith(b"HTTP/1.1 504")
        assert 0.7 < world.clock.now() - began < 1.4
        assert int(world.replicas[0].requests[0][1]["deadline-ms"]) <= 800

    def test_a_connection_that_the_replica_closes_is_not_used_again(
        self, worlds: list[World]
    ) -> None:
        served: list[int] = []

        def closing(replica: ScriptedReplica, connection: object) -> None:
            number = len(served)
            served.append(0)
            while True:
                attempt = replica.next_request(connection)
                served[number] += 1
                connection.sendall(
                    answer(
                        attempt, extra="Connection: close\r\nKeep-Alive: timeout=9\r\n"
                    )
                )

        world = world_of(worlds, closing)
        for number in range(3):
            world.ask("/order/1", method="POST", body="x", attempt=f"a{number}")
        assert served == [1, 1, 1]

    def test_a_replica_that_just_failed_comes_after_a_busier_one(
        self, worlds: list[World]
    ) -> None:
        world = world_of(worlds, well, well)
        calls: list = []
        world.placement.heard(InstanceId("r1"), LoadHint(5, 0, 8))
        choose = world.placement.choose

        def noted(call: object, **options: object) -> object:
            calls.append(call)
            return choose(call, **options)

        world.placement.choose = noted
        world.ask("/read/1", attempt="a0")
        assert arrivals(world) == [1, 0]
        world.placement.failed(InstanceId("r0"), calls[0], Failure.BROKEN)
        world.ask("/read/1", attempt="a1")
        assert arrivals(world) == [1, 1]

    def test_a_late_second_answer_is_nobodys(self, worlds: list[World]) -> None:
        def doubling(replica: ScriptedReplica, connection: object) -> None:
            while True:
                attempt = replica.next_request(connection)
                connection.sendall(answer(attempt, b"first"))
                gevent.sleep(0.05)
                connection.sendall(answer(attempt, b"again"))

        world = world_of(worlds, doubling)
        with world.connect() as caller:
            for number in range(4):
                caller.sendall(
                    request("/order/1", method="POST", body="x", attempt=f"a{number}")
                )
                said = b""
                while not said.endswith(b"first"):
                    said += caller.recv(65536)
                assert b"again" not in said
                assert f"Attempt-Id: a{number}".encode() in said
                gevent.sleep(0.02 * number)

    def test_an_unframed_answer_that_is_reset_is_no_success(
        self, worlds: list[World]
    ) -> None:
        def reset(replica: ScriptedReplica, connection: object) -> None:
            attempt = replica.next_request(connection)
            connection.sendall(
                f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n"
                "Response-Signature: s\r\n\r\nhalf".encode()
            )
            gevent.sleep(0.05)
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            connection.setsockopt(
                gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, linger
            )

        world = world_of(worlds, reset)
        said = world.ask("/order/1", method="POST", body="x")
        assert said.startswith(b"HTTP/1.1 502") and b"half" not in said

    def test_what_was_read_as_a_stop_begins_is_answered(
        self, worlds: list[World]
    ) -> None:
        def slow(replica: ScriptedReplica, connection: object) -> None:
            attempt = replica.next_request(connection)
            gevent.sleep(0.2)
            connection.sendall(answer(attempt))

        world = world_of(worlds, *[slow] * 3)
        callers = [world.connect() for _ in range(3)]
        for number, caller in enumerate(callers):
            caller.sendall(
                request("/order/1", method="POST", body="x", attempt=f"a{number}")
            )
        world.stopping = True
        world.listener.drain(seconds=2.0)
        for caller in callers:
            said = read_all(caller)
            assert said.startswith(b"HTTP/1.1 200") and b"Connection: close" in said
            caller.close()
