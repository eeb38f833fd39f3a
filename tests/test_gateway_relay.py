"""
Tests of relayed responses and of slow callers
==============================================

The memory for callers is limited here, so that long responses are relayed.
"""

from collections.abc import Iterator

import gevent
import msgspec
import pytest
from gevent import socket

from damasklead.descriptor_budget import DescriptorBudget
from damasklead.gateway.caller_sender import (
    SEND_BUFFER_BYTES,
    CallerClosed,
    CallerSender,
)
from damasklead.gateway.listeners import Listener
from damasklead.gateway.response_relay import PIECE_BYTES, RELAY_BYTES
from damasklead.gateway.upstream_http import (
    ConnectionLimitError,
    ConnectionPool,
)
from damasklead.loop import LoopClock
from damasklead.memory_budget import HeldKind, MemoryAccount
from damasklead.memory_shortage import (
    RELAY_THRESHOLD_BYTES,
    SCARCE_RELAY_THRESHOLD_BYTES,
    Stage,
)
from tests.gateway_kit import (
    IDEMPOTENT,
    ONCE,
    RESUMABLE,
    STREAM,
    ForwarderHarness,
    ScriptedReplica,
    find_free_ports,
    make_chunk,
    make_event,
    make_request,
    make_stream_head,
    make_table,
    read_all,
    wait_until,
)
from tests.test_gateway_response_forms import FRAMINGS, make_framed
from tests.test_gateway_responses import make_harness

SIGNED = "Response-Signature: s"
LONG_BODY = bytes(range(256)) * 8_192
LIMIT_BYTES = 50_000_000


@pytest.fixture
def harnesses() -> Iterator[list[ForwarderHarness]]:
    created_harnesses: list[ForwarderHarness] = []
    yield created_harnesses
    for harness in created_harnesses:
        harness.stop()


def make_limited_harness(
    harnesses: list[ForwarderHarness], *scripts: object, seconds: float = 20.0
) -> ForwarderHarness:
    """Return a harness with a limited account, whose routes have a long timeout."""
    harness = make_harness(harnesses, *scripts)
    harness.account.limit_bytes = LIMIT_BYTES
    set_long_timeouts(harness, seconds)
    return harness


def set_long_timeouts(harness: ForwarderHarness, seconds: float) -> None:
    """Give all routes a long timeout."""
    harness.table = make_table(
        routes=[
            msgspec.structs.replace(route, timeout=seconds, target=seconds / 10)
            for route in (IDEMPOTENT, ONCE, STREAM, RESUMABLE)
        ]
    )


def set_idle_seconds(harness: ForwarderHarness, seconds: float) -> None:
    """Change the idle timeout, which is also that of sends without progress."""
    table = harness.table
    assert table is not None
    harness.table = make_table(
        routes=table.routes,
        limits=msgspec.structs.replace(table.limits, idle_seconds=seconds),
    )


def make_body_script(
    body: bytes, *, framing: str = "length", cut_at: int | None = None
) -> object:
    """
    Return the script of a replica that responds with a body.

    With ``cut_at`` it closes the connection after so many bytes of the response.
    """

    def serve(replica: ScriptedReplica, connection: socket.socket) -> None:
        while True:
            attempt = replica.receive_request(connection)
            data = make_framed(body, f"Attempt-Id: {attempt}", SIGNED, framing=framing)
            connection.sendall(data[:cut_at])
            if framing == "connection" or cut_at is not None:
                return

    return serve


def decode_chunks(data: bytes) -> bytes:
    """Return the body of a chunked response, which must be complete."""
    body = b""
    while True:
        size, _, data = data.partition(b"\r\n")
        length = int(size, 16)
        if not length:
            assert data == b"\r\n"
            return body
        body, data = body + data[:length], data[length + 2 :]


@pytest.mark.parametrize("path", ["/read/1", "/order/1"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_long_response_keeps_its_framing_and_is_whole(
    harnesses: list[ForwarderHarness], framing: str, path: str
) -> None:
    harness = make_limited_harness(
        harnesses, make_body_script(LONG_BODY, framing=framing)
    )
    head, _, body = harness.send_request(path, method="POST", body="x").partition(
        b"\r\n\r\n"
    )
    assert head.startswith(b"HTTP/1.1 200")
    if framing == "length":
        assert b"Content-Length: %d" % len(LONG_BODY) in head
        assert b"chunked" not in head
    else:
        assert b"Content-Length" not in head
        body = decode_chunks(body)
    assert body == LONG_BODY
    wait_until(lambda: not harness.account.used_bytes)
    held_bytes = RELAY_THRESHOLD_BYTES + 65_536
    assert harness.account.peak_bytes < 2 * held_bytes < len(LONG_BODY)


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_a_long_response_that_breaks_is_not_retried_and_does_not_look_whole(
    harnesses: list[ForwarderHarness], framing: str
) -> None:
    script = make_body_script(LONG_BODY, framing=framing, cut_at=1_000_000)
    harness = make_limited_harness(harnesses, script, script)
    response = harness.send_request("/read/1")
    head, _, body = response.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert len(body) < len(LONG_BODY) and not body.endswith(b"0\r\n\r\n")
    assert sum(len(replica.requests) for replica in harness.replicas) == 1
    assert len(harness.get_log_lines("attempt-failed")) == 1


@pytest.mark.parametrize("framing", ["chunks", "connection"])
def test_a_broken_response_does_not_look_whole_to_an_old_caller(
    harnesses: list[ForwarderHarness], framing: str
) -> None:
    """
    Guards against a truncated body whose end is that of the connection.

    A caller that uses HTTP/1.0 gets no chunks.
    """

    def serve(replica: ScriptedReplica, connection: socket.socket) -> None:
        make_body_script(LONG_BODY, framing=framing, cut_at=1_000_000)(
            replica, connection
        )
        if framing == "connection":
            replica.stop()

    harness = make_limited_harness(harnesses, serve)
    with harness.connect() as connection:
        request = make_request("/order/1", method="POST", body="x")
        connection.sendall(request.replace(b"HTTP/1.1", b"HTTP/1.0"))
        with pytest.raises(ConnectionResetError):
            while connection.recv(65_536):
                pass


def test_a_cancelled_response_does_not_look_whole_to_an_old_caller(
    harnesses: list[ForwarderHarness],
) -> None:
    """
    Guards against an orderly close of a response that was cancelled after its head.

    The gateway cancels the request when its caller half-closes the connection.
    """

    def serve(replica: ScriptedReplica, connection: socket.socket) -> None:
        attempt = replica.receive_request(connection)
        data = make_framed(
            LONG_BODY, f"Attempt-Id: {attempt}", SIGNED, framing="chunks"
        )
        connection.sendall(data[:1_000_000])
        connection.recv(1)

    harness = make_limited_harness(harnesses, serve)
    with harness.connect() as connection:
        request = make_request("/read/1").replace(b"HTTP/1.1", b"HTTP/1.0")
        connection.sendall(request)
        assert connection.recv(65_536).startswith(b"HTTP/1.1 200")
        connection.shutdown(socket.SHUT_WR)
        with pytest.raises(ConnectionResetError):
            while connection.recv(65_536):
                pass


def test_the_last_chunk_waits_for_the_check_of_an_unframed_end(
    harnesses: list[ForwarderHarness],
) -> None:
    def serve(replica: ScriptedReplica, connection: socket.socket) -> None:
        attempt = replica.receive_request(connection)
        connection.sendall(
            make_framed(
                LONG_BODY, f"Attempt-Id: {attempt}", SIGNED, framing="connection"
            )
        )
        replica.stop()

    harness = make_limited_harness(harnesses, serve)
    response = harness.send_request("/order/1", method="POST", body="x")
    assert response.startswith(b"HTTP/1.1 200")
    assert not response.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("is_limit_lowered", [False, True])
def test_an_unframed_end_is_checked_while_the_connection_pool_is_full(
    harnesses: list[ForwarderHarness], is_limit_lowered: bool
) -> None:
    """
    Guards against a truncated body that gets its last chunk without a check.

    The connection that has ended makes room for the check; if the limit has been
    lowered since, there is no check, and the response must not look complete.
    """
    limit = 1

    def serve(replica: ScriptedReplica, connection: socket.socket) -> None:
        nonlocal limit
        attempt = replica.receive_request(connection)
        connection.sendall(
            make_framed(
                LONG_BODY, f"Attempt-Id: {attempt}", SIGNED, framing="connection"
            )[:1_000_000]
        )
        replica.stop()
        limit = 0 if is_limit_lowered else 1

    pool = ConnectionPool(clock=LoopClock(), get_max_connections=lambda: limit)
    harnesses.append(ForwarderHarness([ScriptedReplica("r0", serve)], connections=pool))
    harness = harnesses[-1]
    harness.account.limit_bytes = LIMIT_BYTES
    set_long_timeouts(harness, 20.0)
    response = harness.send_request("/order/1", method="POST", body="x")
    assert response.startswith(b"HTTP/1.1 200")
    assert not response.endswith(b"0\r\n\r\n")
    # Only a refused connection shows that the replica has ended.
    failures = len(harness.get_log_lines("attempt-failed"))
    assert failures == (0 if is_limit_lowered else 1)


def test_a_response_below_the_threshold_is_still_retried(
    harnesses: list[ForwarderHarness],
) -> None:
    body = LONG_BODY[: RELAY_THRESHOLD_BYTES - 1000]
    harness = make_limited_harness(
        harnesses,
        make_body_script(body, framing="chunks", cut_at=len(body) - 1000),
        make_body_script(body, framing="chunks"),
    )
    responses = [
        harness.send_request("/read/1", attempt=f"a{number}") for number in range(4)
    ]
    assert all(
        item.endswith(b"0\r\n\r\n") or len(body) < len(item) for item in responses
    )
    assert harness.get_log_lines("attempt-failed")


@pytest.mark.parametrize("is_repeatable", [True, False])
def test_a_long_error_response_is_retried_or_relayed(
    harnesses: list[ForwarderHarness], is_repeatable: bool
) -> None:
    def fail(replica: ScriptedReplica, connection: socket.socket) -> None:
        attempt = replica.receive_request(connection)
        connection.sendall(
            make_framed(
                LONG_BODY, f"Attempt-Id: {attempt}", SIGNED,
                framing="length", status="500 Failed",
            )
        )  # fmt: skip

    harness = make_limited_harness(harnesses, fail, fail)
    path = "/read/1" if is_repeatable else "/order/1"
    response = harness.send_request(path, method="POST", body="x")
    assert response.startswith(b"HTTP/1.1 500") and response.endswith(LONG_BODY)
    attempts = sum(len(replica.requests) for replica in harness.replicas)
    assert attempts == (2 if is_repeatable else 1)


@pytest.mark.parametrize("has_other_replica", [True, False])
def test_a_long_error_response_is_relayed_if_none_can_follow(
    harnesses: list[ForwarderHarness], has_other_replica: bool
) -> None:
    """
    Guards against error responses that are dropped for a retry that doesn't follow.

    Either the retry budget is used up, or there is no other replica.
    """

    def fail(replica: ScriptedReplica, connection: socket.socket) -> None:
        attempt = replica.receive_request(connection)
        connection.sendall(
            make_framed(
                LONG_BODY, f"Attempt-Id: {attempt}", SIGNED,
                framing="length", status="500 Failed",
            )
        )  # fmt: skip

    harness = make_limited_harness(harnesses, *[fail] * (1 + has_other_replica))
    if has_other_replica:
        harness.budget.configure(ratio=0.0, allowance=0.0, window=10.0)
    response = harness.send_request("/read/1")
    assert response.startswith(b"HTTP/1.1 500") and response.endswith(LONG_BODY)
    assert sum(len(replica.requests) for replica in harness.replicas) == 1
    wait_until(lambda: len(harness.get_log_lines("attempt-failed")) == 1)


def test_a_body_beyond_the_limit_ends_the_response(
    harnesses: list[ForwarderHarness],
) -> None:
    def send_endlessly(replica: ScriptedReplica, connection: socket.socket) -> None:
        attempt = replica.receive_request(connection)
        connection.sendall(make_stream_head(attempt))
        while True:
            connection.sendall(make_chunk(b"x" * 60_000))

    harness = make_limited_harness(harnesses, send_endlessly)
    response = harness.send_request("/order/1", method="POST", body="x")
    assert 16_000_000 < len(response) < 18_000_000
    assert not response.endswith(b"0\r\n\r\n")
    assert harness.account.peak_bytes < 1_000_000


class TestSlowCallers:
    @staticmethod
    def open_slow(
        harness: ForwarderHarness, path: str, *, extra_headers: str = ""
    ) -> socket.socket:
        """Send a request on a connection whose system buffers few bytes."""
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        connection.settimeout(10)
        connection.connect(("127.0.0.1", harness._port))
        connection.sendall(
            make_request(path, method="POST", body="x", extra_headers=extra_headers)
        )
        return connection

    @pytest.mark.parametrize("path", ["/read/1", "/order/1"])
    def test_one_that_reads_nothing_is_disconnected(
        self, harnesses: list[ForwarderHarness], path: str
    ) -> None:
        """Guards against responses that stay in memory as long as callers like."""
        harness = make_limited_harness(harnesses, make_body_script(LONG_BODY))
        with self.open_slow(harness, path) as connection:
            wait_until(lambda: harness.closed_callers == ["stalled"], seconds=10)
            with pytest.raises(ConnectionResetError):
                while connection.recv(65_536):
                    pass
        (line,) = harness.get_log_lines("caller-closed")
        assert "request=a1" in line.replace('"', "") and "held=" in line
        wait_until(lambda: not harness.account.used_bytes)
        assert not harness.get_log_lines("attempt-failed")

    def test_one_that_reads_slowly_stays(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        """
        Guards against a send buffer that hides the progress of a slow caller.

        The socket is not writable for several seconds while the caller reads.
        """
        harness = make_limited_harness(harnesses, make_body_script(LONG_BODY))
        set_idle_seconds(harness, 2.0)
        with self.open_slow(harness, "/order/1") as connection:
            for _ in range(50):
                gevent.sleep(0.1)
                assert connection.recv(1_500)
            assert not harness.closed_callers
            assert read_all(connection).endswith(LONG_BODY[-65_536:])

    def test_the_start_of_a_relayed_response_is_charged_until_it_is_sent(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        """Guards against bytes that are held for slow callers without a charge."""
        harness = make_limited_harness(
            harnesses, make_body_script(LONG_BODY, framing="chunks")
        )
        set_idle_seconds(harness, 8.0)
        used_by_kind = harness.account.used_by_kind
        with self.open_slow(harness, "/order/1") as connection:
            wait_until(lambda: harness.account.count_by_stage()["sending"] == 1)
            gevent.sleep(0.3)
            held_bytes = used_by_kind[HeldKind.RESPONSE]
            assert held_bytes > RELAY_BYTES + PIECE_BYTES
            received_bytes = 0
            while received_bytes < len(LONG_BODY) // 2:
                data = connection.recv(65_536)
                assert data
                received_bytes += len(data)
            gevent.sleep(0.3)
            assert used_by_kind[HeldKind.RESPONSE] == RELAY_BYTES
            assert read_all(connection).endswith(b"0\r\n\r\n")
        wait_until(lambda: not harness.account.used_bytes)

    @pytest.mark.parametrize("path", ["/order/1", "/draft/1"])
    def test_a_replica_that_cuts_off_what_one_left_unread_has_not_failed(
        self, harnesses: list[ForwarderHarness], path: str
    ) -> None:
        def cut_off(replica: ScriptedReplica, connection: socket.socket) -> None:
            attempt = replica.receive_request(connection)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
            connection.sendall(make_stream_head(attempt))
            with gevent.Timeout(1.5, False):
                for number in range(1, 100_000):
                    connection.sendall(
                        make_chunk(make_event(number) + b": " + b"x" * 4_096 + b"\n\n")
                    )

        harness = make_limited_harness(harnesses, cut_off, cut_off)
        set_idle_seconds(harness, 8.0)
        with self.open_slow(harness, path) as connection:
            gevent.sleep(2.0)
            read_all(connection)
        wait_until(lambda: harness.closed_callers == ["cut-off"])
        assert not harness.get_log_lines("attempt-failed")
        assert sum(len(replica.requests) for replica in harness.replicas) == 1

    def test_a_cut_off_response_without_framing_does_not_look_complete(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        """Guards against a last chunk after what a replica cut off unread."""

        def cut_off(replica: ScriptedReplica, connection: socket.socket) -> None:
            attempt = replica.receive_request(connection)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
            data = make_framed(
                LONG_BODY * 8, f"Attempt-Id: {attempt}", SIGNED, framing="connection"
            )
            with gevent.Timeout(1.5, False):
                connection.sendall(data)

        harness = make_limited_harness(harnesses, cut_off)
        set_idle_seconds(harness, 8.0)
        with self.open_slow(harness, "/order/1") as connection:
            gevent.sleep(2.0)
            assert not read_all(connection).endswith(b"0\r\n\r\n")
        wait_until(lambda: harness.closed_callers == ["cut-off"])

    @pytest.mark.parametrize("failure", ["broken", "timed-out"])
    def test_a_replica_that_fails_after_one_has_paused_has_failed(
        self, harnesses: list[ForwarderHarness], failure: str
    ) -> None:
        """Guards against a pause that hides all later failures of replicas."""
        long_events, short_events = 200, 20

        def serve(replica: ScriptedReplica, connection: socket.socket) -> None:
            attempt = replica.receive_request(connection)
            after = int(replica.requests[-1][1].get("last-event-id", 0))
            connection.sendall(make_stream_head(attempt))
            if after:
                last_event = make_event(after + 1)
                connection.sendall(make_chunk(last_event) + make_chunk(b""))
                return
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
            for number in range(1, long_events + 1):
                comment = b": " + b"x" * 4_096 + b"\n\n"
                connection.sendall(make_chunk(make_event(number) + comment))
            for number in range(1, short_events + 1):
                gevent.sleep(0.1)
                connection.sendall(make_chunk(make_event(long_events + number)))
            if failure == "timed-out":
                connection.recv(1)

        harness = make_limited_harness(harnesses, serve, serve)
        harness.table = make_table(
            routes=[
                msgspec.structs.replace(
                    RESUMABLE, timeout=20.0, event_gap=0.7, target=2.0
                )
            ]
        )
        set_idle_seconds(harness, 8.0)
        with self.open_slow(harness, "/draft/1") as connection:
            gevent.sleep(2.0)
            response = read_all(connection)
        assert response.endswith(
            make_chunk(make_event(long_events + short_events + 1)) + b"0\r\n\r\n"
        )
        (line,) = harness.get_log_lines("attempt-failed")
        assert f'failure="{failure}"' in line
        assert not harness.closed_callers

    def test_a_replica_that_ends_after_one_has_paused_has_failed(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        """A replica that cuts off a response still accepts connections."""

        def serve(replica: ScriptedReplica, connection: socket.socket) -> None:
            attempt = replica.receive_request(connection)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
            connection.sendall(
                make_framed(
                    LONG_BODY, f"Attempt-Id: {attempt}", SIGNED, framing="connection"
                )
            )
            replica.stop()

        harness = make_limited_harness(harnesses, serve)
        set_idle_seconds(harness, 8.0)
        with self.open_slow(harness, "/order/1") as connection:
            gevent.sleep(2.0)
            assert not read_all(connection).endswith(b"0\r\n\r\n")
        (line,) = harness.get_log_lines("attempt-failed")
        assert 'failure="broken"' in line
        assert not harness.closed_callers

    def test_a_stream_that_its_caller_held_up_was_not_silent(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        """Guards against time-outs of streams that were not read for a while."""
        event = b"data: " + b"x" * 100_000 + b"\n\n"

        def serve(replica: ScriptedReplica, connection: socket.socket) -> None:
            attempt = replica.receive_request(connection)
            connection.sendall(make_stream_head(attempt))
            for _ in range(40):
                connection.sendall(make_chunk(event))
            connection.sendall(make_chunk(b""))

        harness = make_limited_harness(harnesses, serve)
        harness.table = make_table(
            routes=[
                msgspec.structs.replace(
                    STREAM, timeout=20.0, event_gap=0.01, target=0.01
                )
            ],
            limits=msgspec.structs.replace(harness.table.limits, idle_seconds=8.0),
        )
        with self.open_slow(harness, "/chat/1") as connection:
            gevent.sleep(3.5)
            assert read_all(connection).endswith(b"0\r\n\r\n")

    def test_one_that_is_closed_for_others_is_closed_without_a_cancelled_wait(
        self,
    ) -> None:
        """
        Guards against a lost cancel: the wait may time out in the same iteration of
        the event loop.
        """
        clock = LoopClock()
        account = MemoryAccount(clock=clock)
        with (
            socket.socket() as server,
            socket.socket() as caller,
            # This cancel is lost.
            account.open(close=lambda _cause: None) as holding,
        ):
            server.bind(("127.0.0.1", 0))
            server.listen()
            caller.connect(server.getsockname())
            raw, _ = server.accept()
            sender = CallerSender(
                raw=raw, clock=clock, holding=holding, get_stall_seconds=lambda: 60.0
            )
            sender.set_options()
            holding.enter(Stage.SENDING)
            greenlet = gevent.spawn(sender.send, bytes(20_000_000))
            wait_until(lambda: holding.waiting_since is not None)
            gevent.sleep(0.3)
            holding.close("memory")
            with gevent.Timeout(10), pytest.raises(CallerClosed) as raised:
                greenlet.get()
            raw.close()
            assert raised.value.cause == "memory"

    def test_one_may_pause_before_it_reads_the_end_of_the_last_response(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        """
        Guards against a reset of what the kernel has queued when a connection closes.

        A caller may pause for the idle timeout, there as before.
        """
        body = LONG_BODY[:60_000]
        harness = make_limited_harness(harnesses, make_body_script(body))
        set_idle_seconds(harness, 9.0)
        with self.open_slow(
            harness, "/order/1", extra_headers="Connection: close\r\n"
        ) as connection:
            wait_until(lambda: bool(harness.get_log_lines("answered")))
            wait_until(lambda: not harness.account.connection_count)
            gevent.sleep(5.0)
            assert read_all(connection).endswith(body[-30_000:])

    def test_what_is_queued_of_an_aborted_response_is_dropped(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        """Guards against kernel queues that outlive the connections of slow callers."""
        harness = make_limited_harness(
            harnesses, make_body_script(LONG_BODY, cut_at=60_000)
        )
        with self.open_slow(harness, "/order/1") as connection:
            wait_until(lambda: bool(harness.get_log_lines("attempt-failed")))
            wait_until(lambda: not harness.account.connection_count)
            gevent.sleep(0.1)
            received_bytes = 0
            with pytest.raises(ConnectionResetError):
                while data := connection.recv(65_536):
                    received_bytes += len(data)
            assert received_bytes < 40_000


class TestShortage:
    def test_a_new_request_is_refused_before_it_is_sent(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        harness = make_limited_harness(harnesses, make_body_script(b"done"))
        with harness.account.open(close=lambda _cause: None) as other:
            other.hold(HeldKind.REQUEST, int(0.9 * LIMIT_BYTES))
            response = harness.send_request("/order/1", method="POST", body="x")
            assert response.startswith(b"HTTP/1.1 503")
            assert b"retry-after: " in response.lower()
            assert not harness.replicas[0].requests
        response = harness.send_request("/order/1", method="POST", body="x")
        assert response.startswith(b"HTTP/1.1 200")

    @pytest.mark.parametrize("path", ["/read/1", "/order/1"])
    def test_an_executed_request_gets_no_status_that_says_it_was_not(
        self, harnesses: list[ForwarderHarness], path: str
    ) -> None:
        """It is no failure of the replica, and another one would do no better."""

        def serve(replica: ScriptedReplica, connection: socket.socket) -> None:
            attempt = replica.receive_request(connection)
            other.hold(HeldKind.REQUEST, LIMIT_BYTES)
            connection.sendall(
                make_framed(
                    LONG_BODY, f"Attempt-Id: {attempt}", SIGNED, framing="length"
                )
            )

        harness = make_limited_harness(harnesses, serve, serve)
        with harness.account.open(close=lambda _cause: None) as other:
            response = harness.send_request(path, method="POST", body="x")
        assert response.startswith(b"HTTP/1.1 502")
        assert sum(len(replica.requests) for replica in harness.replicas) == 1
        assert not harness.get_log_lines("attempt-failed")

    def test_little_memory_lowers_the_threshold_for_relaying(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        body = b"x" * (3 * SCARCE_RELAY_THRESHOLD_BYTES)
        harness = make_limited_harness(
            harnesses, make_body_script(body, framing="chunks")
        )
        is_chunked = []
        for held_bytes in (0, int(0.6 * LIMIT_BYTES)):
            with harness.account.open(close=lambda _cause: None) as other:
                other.hold(HeldKind.REQUEST, held_bytes)
                head = harness.send_request("/read/1").partition(b"\r\n\r\n")[0]
                is_chunked.append(b"chunked" in head)
        assert is_chunked == [False, True]

    def test_a_caller_that_stops_to_send_makes_room(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        harness = make_limited_harness(harnesses, make_body_script(b"done"))
        harness.account.limit_bytes = 1_000_000
        set_idle_seconds(harness, 8.0)
        with harness.connect() as connection:
            connection.sendall(
                make_request(
                    "/order/1",
                    method="POST",
                    extra_headers="Content-Length: 500001\r\n",
                )
                + b"x" * 500_000
            )
            wait_until(lambda: harness.account.used_bytes > 500_000)
            other = harness.account.open(close=lambda _cause: None)
            other.hold(HeldKind.REQUEST, 350_000)
            request = {"method": "POST", "body": "x"}
            assert harness.send_request("/order/1", **request)[9:12] == b"503"
            wait_until(
                lambda: harness.send_request("/order/1", **request)[9:12] == b"200",
                seconds=8,
            )
            assert read_all(connection).startswith(b"HTTP/1.1 408")
        assert harness.closed_callers == ["memory"]


class TestDescriptors:
    def test_connections_beyond_the_limit_replace_idle_ones(self) -> None:
        harness = ForwarderHarness([])
        (port,) = find_free_ports(1)
        closed: list[str] = []
        listener = Listener(
            address=f"127.0.0.1:{port}",
            handler=harness.forwarder,
            clock=harness.clock,
            is_stopping=lambda: False,
            account=harness.account,
            get_budget=lambda: DescriptorBudget(
                caller_connections=4, closing_threshold=3
            ),
            on_closed=closed.append,
        )
        listener.start()
        connections = []
        try:
            for _ in range(6):
                connections.append(socket.create_connection(("127.0.0.1", port), 5))
                gevent.sleep(0.02)
            wait_until(lambda: len(closed) == 3)
            assert listener.connection_count == 3
            for connection in connections[:3]:
                assert connection.recv(100) == b""
            connections[5].sendall(make_request("/order/1", close=True))
            assert connections[5].recv(100).startswith(b"HTTP/1.1 503")
        finally:
            for connection in connections:
                connection.close()
            listener.stop()
            harness.stop()

    def test_a_connection_is_refused_if_all_others_are_in_use(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        def hang(replica: ScriptedReplica, connection: socket.socket) -> None:
            replica.receive_request(connection)
            gevent.sleep(2.0)

        harness = make_limited_harness(harnesses, hang)
        harness.listener._get_budget = lambda: DescriptorBudget(
            caller_connections=2, closing_threshold=1
        )
        with harness.connect() as connection:
            connection.sendall(make_request("/order/1", method="POST", body="x"))
            wait_until(lambda: bool(harness.replicas[0].requests))
            with harness.connect() as second:
                assert read_all(second).startswith(b"HTTP/1.1 503")
        assert harness.closed_callers == ["descriptors"]

    def test_connections_to_replicas_stay_within_their_limit(self) -> None:
        def serve(replica: ScriptedReplica, connection: socket.socket) -> None:
            replica.receive_request(connection)

        replicas = [ScriptedReplica(f"r{number}", serve) for number in range(3)]
        addresses = [replica.record.address for replica in replicas]
        pool = ConnectionPool(clock=LoopClock(), get_max_connections=lambda: 2)
        try:
            pool.release(pool.acquire(addresses[0]), keep_alive=None)
            used = [pool.acquire(address) for address in addresses[1:]]
            assert pool.open_count == 2  # the idle one was closed
            with pytest.raises(ConnectionLimitError):
                pool.acquire(addresses[0])
            used[0].close()
            pool.acquire(addresses[0]).close()
            used[1].close()
            used[1].close()
            assert pool.open_count == 0
        finally:
            pool.close()
            for replica in replicas:
                replica.stop()


def test_the_kernel_buffers_little_for_a_slow_caller() -> None:
    """Guards against send buffers that grow to megabytes for each slow caller."""
    server = socket.socket()
    try:
        server.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        size = server.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)
        assert size <= 2 * SEND_BUFFER_BYTES
    finally:
        server.close()
