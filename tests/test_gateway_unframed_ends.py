"""
Tests of responses without a length
===================================

Such a response ends with its connection, which also ends when its replica crashes.
"""

import errno
import time
from collections.abc import Callable, Iterator

import gevent
import msgspec
import pytest
from gevent import socket

from damasklead.gateway.routing import RoutingTable
from damasklead.gateway.upstream_http import ConnectionPool
from damasklead.loop import LoopClock
from damasklead.sockets import connect
from damasklead.tunnels.dialer import UnreachableReplicaError
from damasklead.tunnels.dialing import DirectDialer, Link
from damasklead.util import split_address
from tests.gateway_kit import (
    ROUTES,
    ForwarderHarness,
    ScriptedReplica,
    make_event,
    make_request,
    make_response,
    make_table,
    read_all,
    wait_until,
)
from tests.http_messages import read_request

# Requests that run once, so that a failure is seen by the caller.
PATHS = ["/order/1", "/chat/1"]


@pytest.fixture
def harnesses() -> Iterator[list[ForwarderHarness]]:
    created_harnesses: list[ForwarderHarness] = []
    yield created_harnesses
    for harness in created_harnesses:
        harness.stop()


def make_head(attempt: str) -> bytes:
    """Return the head of a response without a length."""
    return (
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s\r\n"
        "Content-Type: text/event-stream\r\n\r\n"
    ).encode()


def respond(replica: ScriptedReplica, connection: socket.socket) -> None:
    """Send two events without a length, and end the connection."""
    attempt = replica.receive_request(connection)
    connection.sendall(make_head(attempt) + make_event(1) + make_event(2))


def is_complete(response: bytes) -> bool:
    """Return whether a caller takes a response for a whole success."""
    head, _, body = response.partition(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200"):
        return False
    return b"chunked" not in head or body.endswith(b"0\r\n\r\n")


def make_patient_table() -> RoutingTable:
    """Return a configuration whose routes have long timeouts."""
    return make_table(
        routes=[msgspec.structs.replace(route, timeout=10.0) for route in ROUTES]
    )


class GivenUpSocket(socket.socket):
    """A connection that the kernel gives up after it has received some data."""

    _has_data = False
    _is_reported = False

    def recv(self, size: int, flags: int = 0) -> bytes:
        if not self._has_data:
            self._has_data = True
            return super().recv(size, flags)
        if not self._is_reported:
            self._is_reported = True
            raise TimeoutError(errno.ETIMEDOUT, "Connection timed out")
        return b""


def connect_and_give_up(address: str) -> socket.socket:
    raw = connect(address, timeout=1.0)
    return GivenUpSocket(raw.family, raw.type, raw.proto, fileno=raw.detach())


@pytest.mark.parametrize("path", PATHS)
def test_a_connection_that_the_kernel_gave_up_ends_no_response(
    harnesses: list[ForwarderHarness], path: str
) -> None:
    def respond_in_part(replica: ScriptedReplica, connection: socket.socket) -> None:
        attempt = replica.receive_request(connection)
        connection.sendall(make_head(attempt) + make_event(1))
        connection.recv(1)

    pool = ConnectionPool(
        clock=LoopClock(), dialer=DirectDialer(open_connection=connect_and_give_up)
    )
    replicas = [ScriptedReplica("r0", respond_in_part)]
    harnesses.append(ForwarderHarness(replicas, connections=pool))
    response = harnesses[-1].send_request(path, method="POST", body="x")
    assert not is_complete(response)
    (line,) = harnesses[-1].get_log_lines("attempt-failed")
    assert 'failure="broken"' in line


Script = Callable[[ScriptedReplica, socket.socket], None]


def end_listening(replica: ScriptedReplica) -> None:
    """Stop listening, as a replica does that has crashed."""
    replica.stop()


def make_crash(after_response: Callable[[ScriptedReplica], None]) -> Script:
    """Return the script of a replica that crashes within a response."""

    def serve(replica: ScriptedReplica, connection: socket.socket) -> None:
        attempt = replica.receive_request(connection)
        connection.sendall(make_head(attempt) + make_event(1))
        after_response(replica)

    return serve


def start_again(replica: ScriptedReplica) -> None:
    """Answer from now on as the next start at the address."""
    replica.born = int(time.time() * 1000)


def stand_still(replica: ScriptedReplica) -> None:
    """Accept connections from now on without an answer, as the kernel does."""
    replica._serve = lambda _replica, connection: (
        connection.recv(1_000_000) and (gevent.sleep(5.0))
    )


def send(harness: ForwarderHarness, path: str) -> bytes:
    return harness.send_request(path, method="POST", body="x")


@pytest.mark.parametrize("path", PATHS)
def test_a_response_of_a_replica_that_runs_is_complete(
    harnesses: list[ForwarderHarness], path: str
) -> None:
    harnesses.append(ForwarderHarness([ScriptedReplica("r0", respond)]))
    assert is_complete(send(harnesses[-1], path))
    assert harnesses[-1].replicas[0].report_count == 1


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("crash", [end_listening, start_again, stand_still])
@pytest.mark.parametrize("is_isolated", [False, True])
def test_a_response_cut_off_by_a_crash_does_not_look_complete(
    harnesses: list[ForwarderHarness],
    path: str,
    crash: Callable[[ScriptedReplica], None],
    is_isolated: bool,
) -> None:
    """Callers got truncated streams as complete after crashes."""

    def find_unreachable(address: str) -> Link:
        raise UnreachableReplicaError("refused")

    replicas = [ScriptedReplica("r0", make_crash(crash))]
    harnesses.append(ForwarderHarness(replicas, open_elsewhere=find_unreachable))
    harnesses[-1].is_isolated = is_isolated
    harnesses[-1].table = make_patient_table()
    assert not is_complete(send(harnesses[-1], path))
    (line,) = harnesses[-1].get_log_lines("unframed-end")
    assert 'doubt=""' not in line


@pytest.mark.parametrize("path", PATHS)
def test_an_idle_connection_completes_no_response(
    harnesses: list[ForwarderHarness], path: str
) -> None:
    """A connection from before the end stays open while its replica is gone."""

    def serve(replica: ScriptedReplica, connection: socket.socket) -> None:
        attempt = replica.receive_request(connection)
        if attempt == "first":
            head = "Keep-Alive: timeout=60\r\n"
            connection.sendall(make_response(attempt, extra_headers=head))
            read_all(connection)
            return
        connection.sendall(make_head(attempt) + make_event(1))
        replica.stop()

    harnesses.append(ForwarderHarness([ScriptedReplica("r0", serve)]))
    harness = harnesses[-1]
    with harness.connect() as caller:
        caller.sendall(make_request("/read/1", attempt="first", close=True))
        second = gevent.spawn(send, harness, path)
        assert b" 200 " in read_all(caller)
    assert not is_complete(second.get(timeout=10.0))


@pytest.mark.parametrize(("born", "is_whole"), [(1, True), (2, False)])
def test_another_gateway_asks_the_replica_for_its_start(
    harnesses: list[ForwarderHarness], born: int, is_whole: bool
) -> None:
    """A response is complete at a cut gateway if the same start reports elsewhere."""
    elsewhere = ScriptedReplica("r0", lambda replica, raw: replica.receive_request(raw))
    elsewhere.born = born

    def open_elsewhere(address: str) -> Link:
        return Link(
            raw=socket.create_connection(split_address(elsewhere.record.address))
        )

    replicas = [ScriptedReplica("r0", make_crash(end_listening))]
    harnesses.append(ForwarderHarness(replicas, open_elsewhere=open_elsewhere))
    assert is_complete(send(harnesses[-1], "/chat/1")) is is_whole
    elsewhere.stop()


def make_plain_script(replica_ends: Callable[[], bool]) -> Script:
    """
    Return the script of a replica that reports no start, and crashes if it is asked to.
    """

    def serve(replica: ScriptedReplica, connection: socket.socket) -> None:
        while True:
            line, headers, _ = read_request(connection)
            if line.split()[1] == "/-/report":
                connection.sendall(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
                continue
            connection.sendall(make_head(headers["attempt-id"]) + make_event(1))
            if replica_ends():
                replica.crash()
            return

    return serve


def test_a_replica_without_reports_is_known_by_an_earlier_connection(
    harnesses: list[ForwarderHarness],
) -> None:
    """Sound responses of services whose replicas report no start were cut off."""
    replica = ScriptedReplica("r0", make_plain_script(lambda: False))
    harnesses.append(ForwarderHarness([replica]))
    # A connection from after the request could lead to the next start.
    assert not is_complete(send(harnesses[-1], "/order/1"))
    for _ in range(5):
        assert is_complete(send(harnesses[-1], "/order/1"))


def test_a_crash_of_a_replica_without_reports_completes_no_response(
    harnesses: list[ForwarderHarness],
) -> None:
    crashes = [False, False, True]
    replica = ScriptedReplica("r0", make_plain_script(lambda: crashes.pop(0)))
    harnesses.append(ForwarderHarness([replica]))
    send(harnesses[-1], "/order/1")
    assert is_complete(send(harnesses[-1], "/order/1"))
    assert not is_complete(send(harnesses[-1], "/order/1"))


@pytest.mark.parametrize("path", PATHS)
def test_a_response_that_nobody_read_for_some_time_does_not_look_complete(
    harnesses: list[ForwarderHarness], path: str
) -> None:
    """A gateway that had stood still took what its replica had cut off for whole."""

    def serve(replica: ScriptedReplica, connection: socket.socket) -> None:
        attempt = replica.receive_request(connection)
        connection.sendall(make_head(attempt) + make_event(1))
        gevent.sleep(1.2)
        connection.sendall(make_event(2))

    harnesses.append(ForwarderHarness([ScriptedReplica("r0", serve)]))
    harnesses[-1].table = make_patient_table()
    assert not is_complete(send(harnesses[-1], path))


def test_a_pause_long_before_the_end_does_not_matter(
    harnesses: list[ForwarderHarness],
) -> None:
    def serve(replica: ScriptedReplica, connection: socket.socket) -> None:
        attempt = replica.receive_request(connection)
        connection.sendall(make_head(attempt) + make_event(1))
        for number in range(2, 6):
            gevent.sleep(1.1 if number == 2 else 0.4)
            connection.sendall(make_event(number))

    harnesses.append(ForwarderHarness([ScriptedReplica("r0", serve)]))
    harnesses[-1].table = make_patient_table()
    assert is_complete(send(harnesses[-1], "/chat/1"))


def test_a_crash_is_found_although_the_next_start_listens(
    harnesses: list[ForwarderHarness],
) -> None:
    """Requests that crash replicas were exonerated by a connection to the next start."""
    harnesses.append(ForwarderHarness([ScriptedReplica("r0", make_crash(start_again))]))
    send(harnesses[-1], "/chat/1")
    wait_until(lambda: bool(harnesses[-1].containment.recent_crashes))
