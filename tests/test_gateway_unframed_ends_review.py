"""
Tests of responses without a length: restarts that the list lags behind
=======================================================================

What starts of replicas the list names, or doesn't name yet, and what a gateway that
stood still finds in its connections.
"""

import socket as std_socket
import struct
import threading
import time
from collections.abc import Iterator

import gevent
import pytest
from gevent import socket

from damasklead.gateway.upstream_http import ConnectionPool
from damasklead.loop import LoopClock
from damasklead.sockets import connect
from damasklead.tunnels.dialing import Dialer, Link
from damasklead.unframed_ends import BodyFlow
from tests.gateway_kit import (
    ForwarderHarness,
    ScriptedReplica,
    make_event,
    make_request,
    make_response,
    read_all,
)
from tests.http_messages import read_request
from tests.test_gateway_unframed_ends import (
    is_complete,
    make_head,
    make_patient_table,
    respond,
    send,
)

FREEZE_SECONDS = 2.0
UNREAD_SECONDS = 1.0
EVENT_COUNT = 400
PADDING_BYTES = 30_000


@pytest.fixture
def harnesses() -> Iterator[list[ForwarderHarness]]:
    created_harnesses: list[ForwarderHarness] = []
    yield created_harnesses
    for harness in created_harnesses:
        harness.stop()


class ThreadedReplica(ScriptedReplica):
    """A replica in a thread, which goes on while the gateway's process stands still."""

    def __init__(self, name: str) -> None:
        super().__init__(name, lambda *_: None)
        self.stop()
        self.is_asked = threading.Event()
        self.has_cut_off = False
        self._listener = std_socket.create_server(("127.0.0.1", 0))
        self._server.address = self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                raw, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._respond, args=(raw,), daemon=True).start()

    def _respond(self, raw: std_socket.socket) -> None:
        with raw:
            raw.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_SNDBUF, 16_384)
            try:
                attempt = self.receive_request(raw)
            except (EOFError, OSError):
                return
            self.is_asked.set()
            time.sleep(0.2)
            raw.settimeout(UNREAD_SECONDS)
            self._send(raw, make_head(attempt))
            padding = b": " + b"x" * PADDING_BYTES + b"\n"
            for number in range(1, EVENT_COUNT + 1):
                self._send(raw, padding + make_event(number))
                if self.has_cut_off:
                    return

    def _send(self, raw: std_socket.socket, data: bytes) -> None:
        """Send data, all of it even if this takes too long, as asyncio's close does."""
        unsent = memoryview(data)
        while unsent:
            try:
                unsent = unsent[raw.send(unsent) :]
            except TimeoutError:
                self.has_cut_off = True
                raw.settimeout(None)


@pytest.mark.parametrize("path", ["/order/1", "/chat/1"])
def test_a_gateway_that_stands_still_before_the_head_takes_no_cut_off_for_the_end(
    harnesses: list[ForwarderHarness], path: str
) -> None:
    replica = ThreadedReplica("r0")
    harnesses.append(ForwarderHarness([replica]))
    harnesses[-1].table = make_patient_table()
    response = gevent.spawn(send, harnesses[-1], path)
    while not replica.is_asked.is_set():
        gevent.sleep(0.005)
    time.sleep(FREEZE_SECONDS)
    received = response.get(timeout=20.0)
    replica.close()
    assert replica.has_cut_off
    assert b"id: %d\n" % EVENT_COUNT not in received
    assert not is_complete(received)


def test_a_connection_to_the_start_before_completes_no_response(
    harnesses: list[ForwarderHarness],
) -> None:
    """A start that still serves its connections ends after the next one is listed."""

    def serve(replica: ScriptedReplica, connection: socket.socket) -> None:
        attempt = replica.receive_request(connection)
        head = "Keep-Alive: timeout=60\r\n"
        connection.sendall(make_response(attempt, extra_headers=head))
        attempt = read_request(connection)[1]["attempt-id"]
        connection.sendall(make_head(attempt) + make_event(1))

    replica = ScriptedReplica("r0", serve)
    harnesses.append(ForwarderHarness([replica]))
    harness = harnesses[-1]
    with harness.connect() as caller:
        caller.sendall(make_request("/read/1", close=True))
        assert b" 200 " in read_all(caller)
    replica.incarnation = replica.born = 2
    harness.placement.update_replicas([replica.record])
    assert not is_complete(send(harness, "/chat/1"))


@pytest.mark.parametrize("listed", [0, 1])
def test_a_request_that_later_starts_answered_crashed_none(
    harnesses: list[ForwarderHarness], listed: int
) -> None:
    """The list named the starts before, or none, of three replicas that all ran."""
    replicas = [ScriptedReplica(f"r{number}", respond) for number in range(3)]
    for replica in replicas:
        replica.incarnation, replica.born = listed, 2
    harnesses.append(ForwarderHarness(replicas))
    harness = harnesses[-1]
    for _ in range(3):
        with harness.connect() as caller:
            caller.sendall(make_request("/read/1", close=True))
            read_all(caller)
    gevent.sleep(1.2)
    harness.containment.update_quarantine()
    assert not harness.containment.recent_crashes
    assert not harness.quarantined


def test_an_interruption_counts_for_as_long_as_it_lasted() -> None:
    """What is queued behind a cut may arrive slowly over a link that loses packets."""
    flow = BodyFlow(started_at=0.0)
    flow.record(waited_since=0.1, received_at=5.0)
    for number in range(4):
        since = 5.0 + 0.3 * number
        flow.record(waited_since=since, received_at=since + 0.3)
    assert flow.is_interrupted


def test_a_report_leaves_a_kept_connection_its_time(
    harnesses: list[ForwarderHarness],
) -> None:
    """A report left 0.4 s of the minute for which a replica keeps a connection."""

    def serve(replica: ScriptedReplica, connection: socket.socket) -> None:
        while True:
            attempt = replica.receive_request(connection)
            if attempt == "unframed":
                connection.sendall(make_head(attempt) + make_event(1))
                return
            head = "Keep-Alive: timeout=60\r\n"
            connection.sendall(make_response(attempt, extra_headers=head))

    harnesses.append(ForwarderHarness([ScriptedReplica("r0", serve)]))
    harness = harnesses[-1]

    def ask(attempt: str, path: str) -> bytes:
        with harness.connect() as caller:
            caller.sendall(make_request(path, attempt=attempt, close=True))
            return read_all(caller)

    both = [gevent.spawn(ask, name, "/read/1") for name in ("a", "b")]
    gevent.joinall(both)
    assert is_complete(ask("unframed", "/read/1"))
    gevent.sleep(0.6)
    opened = harness.connections.opened_count
    ask("c", "/read/1")
    assert harness.connections.opened_count == opened


REPORT = b'{"phase":"unified","born":1}'
RESET = struct.pack("ii", 1, 0)


def test_a_report_after_which_the_replica_closes_the_connection_counts(
    harnesses: list[ForwarderHarness],
) -> None:
    """Replicas that leave close their connections after each response."""

    def serve(replica: ScriptedReplica, connection: socket.socket) -> None:
        line, headers, _ = read_request(connection)
        if line.split()[1] != "/-/report":
            connection.sendall(make_head(headers["attempt-id"]) + make_event(1))
            return
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s"
            % (len(REPORT), REPORT)
        )

    harnesses.append(ForwarderHarness([ScriptedReplica("r0", serve)]))
    assert is_complete(send(harnesses[-1], "/chat/1"))


def test_a_replica_that_was_full_for_a_moment_is_asked_again(
    harnesses: list[ForwarderHarness],
) -> None:
    """Replicas reset the connections beyond their limit."""
    has_reset = False

    def serve(replica: ScriptedReplica, connection: socket.socket) -> None:
        nonlocal has_reset
        if replica.requests and not has_reset:
            has_reset = True
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            return
        respond(replica, connection)

    harnesses.append(ForwarderHarness([ScriptedReplica("r0", serve)]))
    assert is_complete(send(harnesses[-1], "/chat/1"))
    assert has_reset


class TunnelDialer(Dialer):
    """Opens connections that count as those through another gateway."""

    def dial(self, address: str) -> Link:
        link = Link(raw=connect(address, timeout=1.0))
        link.is_tunnel = True
        return link


def test_the_end_of_a_tunnel_is_no_failure_of_the_replica(
    harnesses: list[ForwarderHarness],
) -> None:
    """Replicas were avoided after an isolation that ended during their responses."""
    pool = ConnectionPool(clock=LoopClock(), dialer=TunnelDialer())
    replica = ScriptedReplica("r0", respond)
    harnesses.append(ForwarderHarness([replica], connections=pool))
    send(harnesses[-1], "/chat/1")
    (state,) = harnesses[-1].placement._replicas.values()
    assert state.penalty_until <= harnesses[-1].clock.now()


def test_a_late_report_is_no_failure_of_the_response(
    harnesses: list[ForwarderHarness],
) -> None:
    """The whole response came 0.6 s before the deadline, and the report after it."""

    def serve(replica: ScriptedReplica, connection: socket.socket) -> None:
        line, headers, _ = read_request(connection)
        if line.split()[1] == "/-/report":
            gevent.sleep(0.9)
            return
        connection.sendall(make_head(headers["attempt-id"]) + make_event(1))

    harnesses.append(ForwarderHarness([ScriptedReplica("r0", serve)]))
    send(harnesses[-1], "/order/1")
    (state,) = harnesses[-1].placement._replicas.values()
    assert state.penalty_until <= harnesses[-1].clock.now()


def test_a_planned_release_makes_no_request_a_suspect(
    harnesses: list[ForwarderHarness],
) -> None:
    """Three replicas left in turn, each after a sound response to one request."""

    def serve(replica: ScriptedReplica, connection: socket.socket) -> None:
        line, headers, _ = read_request(connection)
        if line.split()[1] != "/-/report":
            connection.sendall(make_head(headers["attempt-id"]) + make_event(1))
            return
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s"
            % (len(REPORT), REPORT)
        )

    replicas = [ScriptedReplica(f"r{number}", serve) for number in range(3)]
    harnesses.append(ForwarderHarness(replicas))
    harness = harnesses[-1]
    for number, replica in enumerate(replicas):
        harness.placement.update_replicas([replica.record])
        send(harness, "/order/1")
        gevent.sleep(0.2)
        remaining = [item.record for item in replicas[number + 1 :]]
        harness.containment.update_replicas(remaining)
    gevent.sleep(1.2)
    harness.containment.update_quarantine()
    assert not harness.quarantined
