"""
Tests of faulty and leaving replicas
====================================

Replicas that leave, request a pause or send endless responses, and streams that stall;
the tests check what callers and replicas receive on their sockets.
"""

from collections.abc import Callable, Iterator

import gevent
import pytest

from damasklead.clock import ManualClock
from damasklead.failures import Failure
from damasklead.gateway.calls import LoadHint, UpstreamState
from damasklead.gateway.departures import (
    DEPARTURE_REPORT_SECONDS,
    Departure,
    DepartureLog,
)
from damasklead.gateway.directory import UpstreamDirectory
from damasklead.gateway.verdict import MAX_REPLICA_ATTEMPTS
from damasklead.ids import InstanceId
from damasklead.memory_budget import MemoryBudget
from tests.gateway_kit import (
    ROUTES,
    ForwarderHarness,
    ScriptedReplica,
    make_chunk,
    make_event,
    make_request,
    make_response,
    make_stream_head,
    make_table,
    read_all,
    wait_until,
)
from tests.test_gateway_decisions import get_eligible_names, make_removed_row, make_row
from tests.test_gateway_responses import make_harness, respond

ReplicaScript = Callable[[ScriptedReplica, object], None]


@pytest.fixture
def harnesses() -> Iterator[list[ForwarderHarness]]:
    created_harnesses: list[ForwarderHarness] = []
    yield created_harnesses
    for harness in created_harnesses:
        harness.stop()


def list_request_counts(harness: ForwarderHarness) -> list[int]:
    return [len(replica.requests) for replica in harness.replicas]


def respond_as_leaving(replica: ScriptedReplica, connection: object) -> None:
    while True:
        attempt = replica.receive_request(connection)
        connection.sendall(
            make_response(attempt, extra_headers="Server-Leaving: 1\r\n")
        )


def make_pausing_script(seconds: str) -> ReplicaScript:
    def serve(replica: ScriptedReplica, connection: object) -> None:
        while True:
            replica.receive_request(connection)
            connection.sendall(
                b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
                b"Retry-After: " + seconds.encode() + b"\r\nContent-Length: 0\r\n\r\n"
            )

    return serve


class TestLeavingReplicas:
    def test_a_replica_that_announces_leaving_gets_no_more_requests(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        harness = make_harness(harnesses, respond_as_leaving, respond)
        for number in range(12):
            response = harness.send_request("/read/1", attempt=f"a{number}")
            assert response.startswith(b"HTTP/1.1 200")
        assert list_request_counts(harness)[0] == 1
        assert harness.departed_instances == ["r0"]

    def test_a_refusal_may_announce_leaving(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        def refuse_as_leaving(replica: ScriptedReplica, connection: object) -> None:
            replica.receive_request(connection)
            connection.sendall(
                b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nServer-Leaving: 1\r\n"
                b"Content-Length: 0\r\n\r\n"
            )

        harness = make_harness(harnesses, refuse_as_leaving, respond)
        for number in range(6):
            response = harness.send_request(
                "/order/1", method="POST", body="x", attempt=f"a{number}"
            )
            assert response.startswith(b"HTTP/1.1 200")
        assert list_request_counts(harness)[0] <= 1

    def test_a_stream_is_not_resumed_on_a_leaving_replica(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        def send_partial_stream(replica: ScriptedReplica, connection: object) -> None:
            attempt = replica.receive_request(connection)
            head = make_stream_head(attempt).replace(
                b"\r\n\r\n", b"\r\nServer-Leaving: 1\r\n\r\n"
            )
            connection.sendall(head + make_chunk(make_event(1)))

        harness = make_harness(harnesses, send_partial_stream)
        response = harness.send_request("/draft/1", method="POST", body="x")
        assert make_event(1) in response and not response.endswith(b"0\r\n\r\n")
        assert list_request_counts(harness) == [1]

    def test_leaving_persists_when_the_list_entry_is_removed_and_added(self) -> None:
        directory = UpstreamDirectory(clock=ManualClock())
        directory.apply_rows([make_row("a", 1), make_row("b", 2)], is_complete=True)
        assert directory.mark_departed(InstanceId("a"), 1)
        directory.apply_rows([make_removed_row("a", 3)], is_complete=False)
        directory.apply_rows([make_row("a", 4)], is_complete=False)
        assert get_eligible_names(directory) == ["b"]
        directory.apply_rows([make_row("a", 5, incarnation=2)], is_complete=False)
        assert get_eligible_names(directory) == ["a", "b"]

    def test_leaving_is_reported_to_a_starting_gateway(self) -> None:
        directory = UpstreamDirectory(clock=ManualClock())
        directory.apply_rows([make_row("a", 1), make_row("b", 2)], is_complete=True)
        directory.mark_departed(InstanceId("a"), 1)
        other_directory = UpstreamDirectory(clock=ManualClock())
        other_directory.apply_rows(directory.list_rows(), is_complete=False)
        assert get_eligible_names(other_directory) == ["b"]
        assert other_directory.list_rows()[0].record.state is UpstreamState.LEAVING

    def test_departures_are_reported_to_other_gateways_for_a_time(self) -> None:
        clock = ManualClock()
        departures = DepartureLog(clock=clock)
        departures.record(InstanceId("a"), 7)
        assert departures.recent_departures == [Departure(InstanceId("a"), 7)]
        clock.advance(DEPARTURE_REPORT_SECONDS)
        assert departures.recent_departures == []


class TestPausedReplicas:
    def test_a_paused_replica_gets_no_requests_until_the_pause_ends(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        harness = make_harness(harnesses, make_pausing_script("0.6"), respond)
        for number in range(12):
            response = harness.send_request(
                "/order/1", method="POST", body="x", attempt=f"a{number}"
            )
            assert response.startswith(b"HTTP/1.1 200")
        assert list_request_counts(harness)[0] == 1
        gevent.sleep(0.65)
        for number in range(12):
            harness.send_request("/read/1", attempt=f"b{number}")
        assert list_request_counts(harness)[0] == 2

    def test_when_all_pause_the_caller_gets_the_first_end_as_retry_after(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        harness = make_harness(
            harnesses, make_pausing_script("5"), make_pausing_script("2")
        )
        harness.send_request("/read/1", attempt="a0")
        started_at = harness.clock.now()
        response = harness.send_request(
            "/order/1", method="POST", body="x", attempt="a1"
        )
        assert harness.clock.now() - started_at < 0.3
        assert response.startswith(b"HTTP/1.1 503")
        seconds = float(response.partition(b"Retry-After: ")[2].partition(b"\r\n")[0])
        assert 1.5 < seconds <= 2.5
        assert list_request_counts(harness) == [1, 1]

    @pytest.mark.parametrize("asked", ["1000000000", "inf"])
    def test_callers_are_not_told_to_wait_for_the_end_of_an_absurd_pause(
        self, harnesses: list[ForwarderHarness], asked: str
    ) -> None:
        harness = make_harness(
            harnesses, make_pausing_script(asked), make_pausing_script(asked)
        )
        for number in range(3):
            response = harness.send_request("/read/1", attempt=f"a{number}")
            assert response.startswith(b"HTTP/1.1 503")
            value = response.partition(b"Retry-After: ")[2].partition(b"\r\n")[0]
            assert 0 < float(value) <= 61.0
        assert list_request_counts(harness) == [1, 1]

    def test_a_pause_is_logged(self, harnesses: list[ForwarderHarness]) -> None:
        harness = make_harness(harnesses, make_pausing_script("nan"), respond)
        for number in range(4):
            harness.send_request("/read/1", attempt=f"a{number}")
        assert harness.get_log_lines("replica-paused")

    def test_a_pause_belongs_to_the_incarnation_not_to_the_list_entry(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        harness = make_harness(harnesses, respond)
        record = harness.replicas[0].record
        harness.placement.pause_replica(record, 30.0)
        harness.placement.update_replicas([])
        harness.placement.update_replicas([record])
        assert harness.placement.get_remaining_pause() is not None
        restarted = type(record)(
            **{name: getattr(record, name) for name in record.__struct_fields__}
            | {"incarnation": 2}
        )
        harness.placement.update_replicas([restarted])
        assert harness.placement.get_remaining_pause() is None

    def test_a_late_response_of_the_former_start_pauses_no_requests(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        """The new entry may be applied before a response that waited in a buffer."""

        def start_again(replica: ScriptedReplica, connection: object) -> None:
            attempt = replica.receive_request(connection)
            replica.incarnation = 2
            harnesses[0].placement.update_replicas([replica.record])
            connection.sendall(
                f"HTTP/1.1 503 X\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n"
                "Retry-After: 30\r\nContent-Length: 0\r\n\r\n".encode()
            )

        harness = make_harness(harnesses, start_again)
        harness.send_request("/order/1", method="POST", body="x")
        assert harness.placement.get_record(InstanceId("r0")).incarnation == 2
        assert harness.placement.get_remaining_pause() is None

    def test_a_shorter_pause_does_not_replace_a_longer_one(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        harness = make_harness(harnesses, respond)
        record = harness.replicas[0].record
        harness.placement.pause_replica(record, 30.0)
        harness.placement.pause_replica(record, 0.1)
        left = harness.placement.get_remaining_pause()
        assert left is not None and left > 29.0


class TestEndlessResponses:
    def test_an_endless_head_is_aborted(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        def send_endlessly(replica: ScriptedReplica, connection: object) -> None:
            replica.receive_request(connection)
            connection.sendall(b"HTTP/1.1 200 OK\r\n")
            while True:
                connection.sendall(b"X-Filler: " + b"x" * 1000 + b"\r\n")

        harness = make_harness(harnesses, send_endlessly)
        response = harness.send_request("/order/1", method="POST", body="x")
        assert response.startswith(b"HTTP/1.1 502")
        wait_until(lambda: harness.replicas[0].closed_by_gateway_count == 1)

    def test_endless_interim_responses_are_aborted(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        def send_endlessly(replica: ScriptedReplica, connection: object) -> None:
            replica.receive_request(connection)
            while True:
                connection.sendall(b"HTTP/1.1 103 Early Hints\r\n\r\n")
                gevent.sleep(0.001)

        harness = make_harness(harnesses, send_endlessly)
        assert harness.send_request("/order/1", method="POST", body="x").startswith(
            b"HTTP/1.1 502"
        )

    def test_endless_bodies_share_a_memory_budget(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        memory_samples: list[int] = []

        def send_endlessly(replica: ScriptedReplica, connection: object) -> None:
            attempt = replica.receive_request(connection)
            connection.sendall(make_stream_head(attempt))
            while True:
                connection.sendall(make_chunk(b"x" * 50_000))
                memory_samples.append(harness.response_memory.used_bytes)

        def run_one(number: int) -> bytes:
            return harness.send_request(
                "/order/1", method="POST", body="x", attempt=f"a{number}"
            )

        harness = make_harness(harnesses, *[send_endlessly] * 50)
        harness.response_memory.limit_bytes = 4_000_000
        callers = [gevent.spawn(run_one, number) for number in range(50)]
        gevent.joinall(callers, timeout=20, raise_error=True)
        received = {
            headers["attempt-id"]
            for replica in harness.replicas
            for _, headers, _ in replica.requests
        }
        for number, caller in enumerate(callers):
            if f"a{number}" in received:
                assert caller.value.startswith((b"HTTP/1.1 502", b"HTTP/1.1 504"))
            else:
                # On a busy machine the deadline may pass before a request is sent.
                assert caller.value.endswith(b"too-late")
        assert received
        slack = 50 * 400_000  # one small body and one received block for each response
        assert max(memory_samples) <= 4_000_000 + slack
        assert harness.response_memory.used_bytes == 0

    def test_small_responses_are_exempt_from_the_memory_budget(self) -> None:
        memory = MemoryBudget(limit_bytes=1000)
        memory.used_bytes = 5000
        assert not memory.must_drop(800)
        assert memory.must_drop(1_000_000)

    def test_an_endless_body_counts_as_failure_of_its_replica(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        def send_slowly_without_end(
            replica: ScriptedReplica, connection: object
        ) -> None:
            attempt = replica.receive_request(connection)
            connection.sendall(make_stream_head(attempt))
            while True:
                connection.sendall(make_chunk(b"x"))
                gevent.sleep(0.05)

        harness = make_harness(harnesses, send_slowly_without_end, respond)
        responses = [
            harness.send_request(
                "/order/1", method="POST", body="x", attempt=f"a{number}"
            )
            for number in range(4)
        ]
        assert sum(item.startswith(b"HTTP/1.1 504") for item in responses) == 1
        assert list_request_counts(harness)[0] == 1

    def test_an_endless_event_is_aborted(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        def send_endlessly(replica: ScriptedReplica, connection: object) -> None:
            attempt = replica.receive_request(connection)
            connection.sendall(
                make_stream_head(attempt) + make_chunk(make_event(1) + b"data: ")
            )
            while True:
                connection.sendall(make_chunk(b"x" * 60_000))

        harness = make_harness(harnesses, send_endlessly)
        response = harness.send_request("/chat/1", method="POST", body="x")
        assert make_event(1) in response and not response.endswith(b"0\r\n\r\n")
        assert len(response) < 1000


def make_long_timeout_routes() -> list:
    """Return the routes with a timeout of 6 s, above the 2 s that streams may stall."""
    return [
        type(route)(
            **{name: getattr(route, name) for name in route.__struct_fields__}
            | {"timeout": 6.0}
        )
        for route in ROUTES
    ]


class TestStalledStreams:
    def test_a_stream_of_bytes_without_events_is_aborted(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        def send_comments_only(replica: ScriptedReplica, connection: object) -> None:
            attempt = replica.receive_request(connection)
            connection.sendall(make_stream_head(attempt) + make_chunk(make_event(1)))
            while True:
                gevent.sleep(0.1)
                connection.sendall(make_chunk(b":"))

        harness = make_harness(harnesses, send_comments_only)
        harness.table = make_table(routes=make_long_timeout_routes())
        started_at = harness.clock.now()
        response = harness.send_request("/chat/1", method="POST", body="x")
        assert 1.9 < harness.clock.now() - started_at < 3.0
        assert make_event(1) in response and not response.endswith(b"0\r\n\r\n")

    def test_a_stalled_resumable_stream_is_resumed_elsewhere(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        def stall_after_first_event(
            replica: ScriptedReplica, connection: object
        ) -> None:
            attempt = replica.receive_request(connection)
            after = int(replica.requests[-1][1].get("last-event-id", 0))
            if after:
                connection.sendall(
                    make_stream_head(attempt)
                    + make_chunk(make_event(2))
                    + make_chunk(b"")
                )
                return
            connection.sendall(make_stream_head(attempt) + make_chunk(make_event(1)))
            connection.recv(1)

        harness = make_harness(
            harnesses, stall_after_first_event, stall_after_first_event
        )
        harness.table = make_table(routes=make_long_timeout_routes())
        started_at = harness.clock.now()
        response = harness.send_request("/draft/1", method="POST", body="x")
        assert harness.clock.now() - started_at < 1.6
        assert response.count(make_event(1)) == response.count(make_event(2)) == 1
        assert response.endswith(b"0\r\n\r\n")

    def test_a_slow_stream_is_not_aborted(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        def stream_slowly(replica: ScriptedReplica, connection: object) -> None:
            attempt = replica.receive_request(connection)
            connection.sendall(make_stream_head(attempt))
            for number in range(1, 4):
                gevent.sleep(1.2)
                connection.sendall(make_chunk(make_event(number)))
            connection.sendall(make_chunk(b""))

        harness = make_harness(harnesses, stream_slowly)
        harness.table = make_table(routes=make_long_timeout_routes())
        response = harness.send_request("/chat/1", method="POST", body="x")
        assert make_event(3) in response and response.endswith(b"0\r\n\r\n")


class TestGuarantees:
    def test_non_repeatable_requests_are_executed_once_despite_max_attempts(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        def close_without_response(
            replica: ScriptedReplica, connection: object
        ) -> None:
            replica.receive_request(connection)

        harness = make_harness(
            harnesses, close_without_response, close_without_response
        )
        harness.table = make_table(
            routes=[
                type(route)(
                    **{name: getattr(route, name) for name in route.__struct_fields__}
                    | {"max_attempts": 2}
                )
                for route in ROUTES
            ]
        )
        for path in ("/order/1", "/chat/1"):
            before = sum(list_request_counts(harness))
            harness.send_request(
                path, method="POST", body="x", attempt=path.replace("/", "-")
            )
            assert sum(list_request_counts(harness)) - before == 1

    def test_connection_failures_are_limited_to_max_replica_attempts(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        harness = make_harness(harnesses, *[respond] * 9)
        for replica in harness.replicas:
            replica.stop()
        response = harness.send_request("/order/1", method="POST", body="x")
        assert response.startswith(b"HTTP/1.1 503")
        assert len(harness.get_log_lines("attempt-failed")) == MAX_REPLICA_ATTEMPTS

    def test_the_routes_timeout_bounds_a_longer_caller_deadline(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        def never_respond(replica: ScriptedReplica, connection: object) -> None:
            replica.receive_request(connection)
            connection.recv(1)

        harness = make_harness(harnesses, never_respond)
        started_at = harness.clock.now()
        response = harness.send_request(
            "/order/1", method="POST", body="x", extra_headers="Deadline-Ms: 5000\r\n"
        )
        assert response.startswith(b"HTTP/1.1 504")
        assert 0.7 < harness.clock.now() - started_at < 1.4
        assert int(harness.replicas[0].requests[0][1]["deadline-ms"]) <= 800

    def test_a_connection_that_the_replica_closes_is_not_reused(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        request_counts: list[int] = []

        def respond_and_announce_close(
            replica: ScriptedReplica, connection: object
        ) -> None:
            number = len(request_counts)
            request_counts.append(0)
            while True:
                attempt = replica.receive_request(connection)
                request_counts[number] += 1
                connection.sendall(
                    make_response(
                        attempt,
                        extra_headers="Connection: close\r\nKeep-Alive: timeout=9\r\n",
                    )
                )

        harness = make_harness(harnesses, respond_and_announce_close)
        for number in range(3):
            harness.send_request(
                "/order/1", method="POST", body="x", attempt=f"a{number}"
            )
        assert request_counts == [1, 1, 1]

    def test_a_replica_that_just_failed_is_ranked_below_a_busier_one(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        harness = make_harness(harnesses, respond, respond)
        calls: list = []
        harness.placement.record_response_head(InstanceId("r1"), LoadHint(5, 0, 8))
        choose = harness.placement.choose_replica

        def record_call(call: object, **options: object) -> object:
            calls.append(call)
            return choose(call, **options)

        harness.placement.choose_replica = record_call
        harness.send_request("/read/1", attempt="a0")
        assert list_request_counts(harness) == [1, 0]
        harness.placement.record_failure(InstanceId("r0"), calls[0], Failure.BROKEN)
        harness.send_request("/read/1", attempt="a1")
        assert list_request_counts(harness) == [1, 1]

    def test_a_late_second_response_is_not_relayed(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        def respond_twice(replica: ScriptedReplica, connection: object) -> None:
            while True:
                attempt = replica.receive_request(connection)
                connection.sendall(make_response(attempt, b"first"))
                gevent.sleep(0.05)
                connection.sendall(make_response(attempt, b"again"))

        harness = make_harness(harnesses, respond_twice)
        with harness.connect() as caller:
            for number in range(4):
                caller.sendall(
                    make_request(
                        "/order/1", method="POST", body="x", attempt=f"a{number}"
                    )
                )
                response = b""
                while not response.endswith(b"first"):
                    response += caller.recv(65536)
                assert b"again" not in response
                assert f"Attempt-Id: a{number}".encode() in response
                gevent.sleep(0.02 * number)

    def test_an_unframed_response_that_is_reset_is_a_failure(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        def reset_within_body(replica: ScriptedReplica, connection: object) -> None:
            attempt = replica.receive_request(connection)
            connection.sendall(
                f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n"
                "Response-Signature: s\r\n\r\nhalf".encode()
            )
            gevent.sleep(0.05)
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            connection.setsockopt(
                gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, linger
            )

        harness = make_harness(harnesses, reset_within_body)
        response = harness.send_request("/order/1", method="POST", body="x")
        assert response.startswith(b"HTTP/1.1 502") and b"half" not in response

    def test_requests_read_before_a_stop_are_answered(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        def respond_slowly(replica: ScriptedReplica, connection: object) -> None:
            attempt = replica.receive_request(connection)
            gevent.sleep(0.2)
            connection.sendall(make_response(attempt))

        harness = make_harness(harnesses, *[respond_slowly] * 3)
        callers = [harness.connect() for _ in range(3)]
        for number, caller in enumerate(callers):
            caller.sendall(
                make_request("/order/1", method="POST", body="x", attempt=f"a{number}")
            )
        harness.is_stopping = True
        harness.listener.drain(seconds=2.0)
        for caller in callers:
            response = read_all(caller)
            assert (
                response.startswith(b"HTTP/1.1 200")
                and b"Connection: close" in response
            )
            caller.close()
