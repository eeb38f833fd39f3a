"""
Tests of a gateway process with many long requests
==================================================

Guard against a gateway that grows beyond its instance's memory while callers send long
bodies in bursts, so that its process is killed and orders in progress are lost.
"""

import os
import random
import re
import signal
from collections.abc import Iterator
from pathlib import Path

import gevent
import pytest
from gevent import socket

from tests.gateway_kit import ScriptedReplica, make_request, make_response, wait_until
from tests.platform_standin import make_configuration
from tests.test_gateway_process import Site

MEMORY_MEGABYTES = 150
MAX_BODY_BYTES = 4_194_304
BODY_BYTES = (500_000, 1_000_000, 2_000_000, 4_190_000)
BODY = os.urandom(max(BODY_BYTES))
PIECE_BYTES = 65_536
PIECE_SECONDS = 0.02
WORK_SECONDS = 1.0
# Bursts of long requests, each followed by a pause.
BURSTS = 3
BURST_SECONDS = 7.0
BURST_REQUESTS_PER_SECOND = 18
PAUSE_SECONDS = 1.0
SHORT_REQUEST_SECONDS = 0.1
TIMEOUT_SECONDS = 10.0
SEED = 46
# Callers that send while the gateway is paused, and the part of the memory that is left
# for what no account sees.
PAUSED_CALLERS = 40
UPLOADS_AT_ONCE = 8
MAX_UNREAD_BYTES = 0.08 * MEMORY_MEGABYTES * 1_000_000
ESTABLISHED = "01"


def serve_orders(replica: ScriptedReplica, connection: socket.socket) -> None:
    """Read each request without keeping its body, and respond after a second."""
    while True:
        head, body_start = read_head(connection)
        length = find_length(head)
        read_exactly(connection, length - len(body_start))
        if head.startswith(b"GET /-/report "):
            report = b'{"phase":"unified","born":%d}' % replica.born
            connection.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(report) + report
            )
            continue
        match = re.search(rb"\r\nattempt-id: *(\S+)\r\n", head, re.IGNORECASE)
        assert match is not None
        attempt = match[1].decode()
        replica.requests.append((attempt, {}, b""))
        gevent.sleep(WORK_SECONDS)
        connection.sendall(make_response(attempt, b"for " + attempt.encode()))


def read_head(connection: socket.socket) -> tuple[bytes, bytes]:
    """Return a message's head and what was received after it."""
    data = b""
    while b"\r\n\r\n" not in data:
        received = connection.recv(PIECE_BYTES)
        if not received:
            raise EOFError
        data += received
    head, _, rest = data.partition(b"\r\n\r\n")
    return head + b"\r\n", rest


def find_length(head: bytes) -> int:
    match = re.search(rb"\r\ncontent-length: *(\d+)\r\n", head, re.IGNORECASE)
    return 0 if match is None else int(match[1])


def read_exactly(connection: socket.socket, size: int) -> None:
    while size > 0:
        received = connection.recv(min(size, PIECE_BYTES))
        if not received:
            raise EOFError
        size -= len(received)


class Callers:
    """
    Callers that send orders on connections that they keep.

    Attributes
    ----------
    statuses : dict
        Status of each attempt that got a response.
    unanswered : list
        Attempts on kept connections that ended without a response.
    """

    def __init__(self, port: int) -> None:
        self._port = port
        self._idle: list[socket.socket] = []
        self.statuses: dict[str, int] = {}
        self.unanswered: list[str] = []

    def post(self, attempt: str, size: int) -> None:
        """Send an order, piece by piece, and read the response."""
        is_kept = bool(self._idle)
        try:
            connection = (
                self._idle.pop()
                if is_kept
                else socket.create_connection(("127.0.0.1", self._port))
            )
            connection.settimeout(TIMEOUT_SECONDS)
            head = make_request(
                "/order/1",
                method="POST",
                attempt=attempt,
                extra_headers=f"Content-Length: {size}\r\n",
            )
            connection.sendall(head)
            for start in range(0, size, PIECE_BYTES):
                connection.sendall(BODY[start : min(size, start + PIECE_BYTES)])
                gevent.sleep(PIECE_SECONDS)
            response, rest = read_head(connection)
            read_exactly(connection, find_length(response) - len(rest))
        except (EOFError, OSError):
            if is_kept:
                self.unanswered.append(attempt)
            return
        self.statuses[attempt] = int(response.split()[1])
        if b"\r\nconnection: close" not in response.lower():
            self._idle.append(connection)


class LongRequestSite(Site):
    """A site whose replicas execute orders with long bodies."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, serve=serve_orders)

    def start_limited(self) -> None:
        """Start the gateway with the limits of an instance."""
        self.write_settings(memory_megabytes=MEMORY_MEGABYTES, max_descriptors=4_100)
        self.populate_store()
        configuration = make_configuration(1, timeout=10_000)
        configuration["limits"]["max_body_bytes"] = MAX_BODY_BYTES
        configuration["limits"]["idle_timeout_ms"] = 15_000
        for route in configuration["routes"]:
            route["timeout_ms"] = 10_000
        for service in configuration["services"]:
            service["max_connections"] = 2_000
        self.store.write_row("op", "config", configuration)
        self.start()
        wait_until(self.is_ready, seconds=15)

    @property
    def is_running(self) -> bool:
        """Whether the gateway process has not ended."""
        return self._process is not None and self._process.poll() is None

    def read_own_memory(self) -> int:
        """Return the bytes of the gateway's own pages, without those of files."""
        assert self._process is not None
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        match = re.search(r"RssAnon:\s+(\d+) kB", status)
        assert match is not None
        return int(match[1]) * 1024

    def count_unread_bytes(self) -> int:
        """Return the bytes that callers have sent and the gateway has not read."""
        port = f":{self.get_port('callers'):04X}"
        unread_bytes = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[1].endswith(port) and fields[3] == ESTABLISHED:
                unread_bytes += int(fields[4].partition(":")[2], 16)
        return unread_bytes


@pytest.fixture
def site(tmp_path: Path) -> Iterator[LongRequestSite]:
    created_site = LongRequestSite(tmp_path)
    yield created_site
    created_site.close()


def test_bursts_of_long_requests_take_no_more_than_the_memory(
    site: LongRequestSite,
) -> None:
    """
    Guards against bodies that take several times their length, and against freed ones
    that stay with the process.
    """
    site.start_limited()
    choice = random.Random(SEED)
    long, short = (Callers(site.get_port("callers")) for _ in range(2))
    peak_bytes = 0
    greenlets: list[gevent.Greenlet] = []

    def send_bursts() -> None:
        for burst in range(BURSTS):
            for number in range(int(BURST_SECONDS * BURST_REQUESTS_PER_SECOND)):
                size = choice.choice(BODY_BYTES)
                greenlets.append(gevent.spawn(long.post, f"l{burst}-{number}", size))
                gevent.sleep(1 / BURST_REQUESTS_PER_SECOND)
            gevent.sleep(PAUSE_SECONDS)
        gevent.joinall(greenlets)

    def send_short() -> None:
        number = 0
        while True:
            number += 1
            greenlets.append(gevent.spawn(short.post, f"s{number}", 100))
            gevent.sleep(SHORT_REQUEST_SECONDS)

    sending = [gevent.spawn(send_bursts), gevent.spawn(send_short)]
    while not sending[0].ready():
        peak_bytes = max(peak_bytes, site.read_own_memory())
        gevent.sleep(0.05)
    sending[1].kill()
    gevent.joinall(greenlets)
    executed = {item[0] for replica in site.replicas for item in replica.requests}
    assert site.is_running
    assert peak_bytes <= MEMORY_MEGABYTES * 1_000_000
    assert not executed.intersection(long.unanswered + short.unanswered)
    assert set(short.statuses.values()) == {200}
    assert set(long.statuses.values()) <= {200, 503}
    refused = {name for name, status in long.statuses.items() if status == 503}
    assert not executed.intersection(refused)
    assert list(long.statuses.values()).count(200) >= 50


def test_a_paused_gateway_receives_no_more_than_it_has_memory_for(
    site: LongRequestSite,
) -> None:
    """
    Guards against buffers of the system that grow with each upload on a connection:
    bytes that were received and not read count as memory of the process.
    """
    site.start_limited()
    connections = [
        socket.create_connection(("127.0.0.1", site.get_port("callers")))
        for _ in range(PAUSED_CALLERS)
    ]

    def post(connection: socket.socket) -> None:
        connection.settimeout(TIMEOUT_SECONDS)
        size = max(BODY_BYTES)
        head = make_request(
            "/order/1",
            method="POST",
            extra_headers=f"Content-Length: {size}\r\n",
        )
        connection.sendall(head + BODY[:size])
        response, rest = read_head(connection)
        assert response.startswith(b"HTTP/1.1 200")
        read_exactly(connection, find_length(response) - len(rest))

    for start in range(0, PAUSED_CALLERS, UPLOADS_AT_ONCE):
        uploading = connections[start : start + UPLOADS_AT_ONCE]
        greenlets = [gevent.spawn(post, connection) for connection in uploading]
        gevent.joinall(greenlets, raise_error=True)
    site.send_signal(signal.SIGSTOP)
    try:
        sending = [gevent.spawn(connection.sendall, BODY) for connection in connections]
        gevent.sleep(PAUSE_SECONDS)
        unread_bytes = site.count_unread_bytes()
        gevent.killall(sending)
    finally:
        site.send_signal(signal.SIGCONT)
    assert 0 < unread_bytes <= MAX_UNREAD_BYTES
