"""
Tests of long bodies of requests
================================

They are read only if there is memory for all of their bytes, kept without copies, and
given back to the system at once.
"""

import os
import re
import subprocess
import sys
from collections.abc import Callable, Iterator

import gevent
import msgspec
import pytest
from gevent import socket

from damasklead.body_buffer import SEGMENT_BYTES, Body, BodyBuffer, iterate_pieces
from damasklead.clock import ManualClock
from damasklead.gateway.calls import Call
from damasklead.gateway.crash_containment import compute_fingerprint
from damasklead.memory_budget import MemoryAccount
from damasklead.memory_shortage import compute_reading_room
from damasklead.util import stable_hash
from tests.gateway_kit import (
    ForwarderHarness,
    ScriptedReplica,
    make_chunk,
    make_request,
    make_response,
    read_all,
)
from tests.test_gateway_crash_containment import call
from tests.test_gateway_long_requests import find_length, read_head

BODY = os.urandom(3 * SEGMENT_BYTES + 12_345)
MEGABYTE = 1_000_000
LIMIT_BYTES = 5 * MEGABYTE
LONG_BYTES = 4 * MEGABYTE
# A process without callers takes much less than that; long bodies take more.
ALLOWANCE_BYTES = 4 * MEGABYTE
# Bodies of several lengths arrive in pieces of several lengths beside small objects,
# while others end.
CHURN = """
import random, re
from damasklead.body_buffer import BodyBuffer

def read_own_memory():
    with open("/proc/self/status") as file:
        return 1024 * int(re.search(r"RssAnon:\\s+(\\d+)", file.read())[1])

choice, piece, small, live, excess = random.Random(46), bytes(65536), [], [], []
start = read_own_memory()
for step in range(6000):
    if step % 4 == 0 and len(live) < 16:
        size = choice.choice((500_000, 1_000_000, 2_000_000, 4_190_000))
        live.append([BodyBuffer(), size, None, 0])
    for item in list(live):
        if item[2] is not None:
            if step >= item[3]:
                live.remove(item)
        else:
            item[0].add(piece[: choice.randrange(20_000, 65_536)])
            small.append(bytes(choice.randrange(100, 3_000)))
            if item[0].size >= item[1]:
                item[2], item[3] = item[0].finish(), step + 50
    if len(small) > 2_000:
        choice.shuffle(small)
        del small[:1_000]
    excess.append(read_own_memory() - start - sum(item[0].size for item in live))
print(max(excess))
"""


def serve_orders(replica: ScriptedReplica, connection: socket.socket) -> None:
    while True:
        attempt = replica.receive_request(connection)
        connection.sendall(make_response(attempt, b"done"))


@pytest.fixture
def harness() -> Iterator[ForwarderHarness]:
    created_harness = ForwarderHarness([ScriptedReplica("r0", serve_orders)])
    created_harness.account.limit_bytes = LIMIT_BYTES
    yield created_harness
    created_harness.stop()


def make_head(size: int, *, extra_headers: str = "") -> bytes:
    return make_request(
        "/order/1",
        method="POST",
        attempt="long",
        extra_headers=f"Content-Length: {size}\r\n{extra_headers}",
    )


def fill(body: bytes) -> Body:
    buffer = BodyBuffer()
    for start in range(0, len(body), 50_000):
        buffer.add(body[start : start + 50_000])
    return buffer.finish()


def exhaust_limit(harness: ForwarderHarness) -> None:
    """Less is left of the limit than a long body takes."""
    harness.account.limit_bytes = LONG_BYTES


def exhaust_instance(harness: ForwarderHarness) -> None:
    """The process takes more memory than the account knows of."""
    harness.account.limit_bytes = 10 * LONG_BYTES
    harness.account.reading_room_bytes = compute_reading_room(
        memory_bytes=150e6, resident_bytes=136e6, unread_bytes=0
    )


@pytest.mark.parametrize("exhaust", [exhaust_limit, exhaust_instance])
def test_a_long_request_without_room_is_refused_before_its_body(
    harness: ForwarderHarness, exhaust: Callable[[ForwarderHarness], None]
) -> None:
    """
    Guards against requests that are refused after most of them was read, and against a
    reset that takes the response from a caller that is still sending.
    """
    exhaust(harness)
    with harness.connect() as connection:
        connection.settimeout(5.0)
        connection.sendall(make_head(LONG_BYTES))
        head, _ = read_head(connection)
        assert head.startswith(b"HTTP/1.1 503")
        assert b"\r\nretry-after: " in head.lower()
        assert b"\r\nconnection: close" in head.lower()
        for _ in range(10):
            gevent.sleep(0.02)
            connection.sendall(bytes(LONG_BYTES // 10))
    assert harness.send_request("/order/2", method="POST", body="x").endswith(b"done")
    assert len(harness.replicas[0].requests) == 1


def test_a_caller_that_reads_after_it_has_sent_gets_the_refusal(
    harness: ForwarderHarness,
) -> None:
    exhaust_limit(harness)
    with harness.connect() as connection:
        connection.settimeout(5.0)
        connection.sendall(make_head(LONG_BYTES))
        for _ in range(10):
            gevent.sleep(0.02)
            connection.sendall(bytes(LONG_BYTES // 10))
        assert read_all(connection).startswith(b"HTTP/1.1 503")


def test_a_caller_that_waits_for_100_is_refused_without_it(
    harness: ForwarderHarness,
) -> None:
    exhaust_limit(harness)
    with harness.connect() as connection:
        connection.settimeout(5.0)
        connection.sendall(
            make_head(LONG_BYTES, extra_headers="Expect: 100-continue\r\n")
        )
        assert read_head(connection)[0].startswith(b"HTTP/1.1 503")


def test_a_request_longer_than_the_limit_is_not_told_to_come_back(
    harness: ForwarderHarness,
) -> None:
    exhaust_limit(harness)
    with harness.connect() as connection:
        connection.settimeout(5.0)
        connection.sendall(make_head(10**9))
        assert read_head(connection)[0].startswith(b"HTTP/1.1 413")


@pytest.mark.parametrize("is_chunked", [False, True])
def test_a_long_body_arrives_unchanged(
    harness: ForwarderHarness, is_chunked: bool
) -> None:
    pieces = [BODY[start : start + 60_001] for start in range(0, len(BODY), 60_001)]
    with harness.connect() as connection:
        if is_chunked:
            head = make_request(
                "/order/1",
                method="POST",
                extra_headers="Transfer-Encoding: chunked\r\n",
            )
            data = b"".join(make_chunk(piece) for piece in [*pieces, b""])
        else:
            head, data = make_head(len(BODY)), BODY
        connection.sendall(head + data)
        response, _ = read_head(connection)
        assert response.startswith(b"HTTP/1.1 200") and find_length(response)
    assert harness.replicas[0].requests[0][2] == BODY
    gevent.sleep(0.05)
    account = harness.account
    assert not (account.used_bytes or account.reserved_bytes or account.unread_bytes)


def test_a_chunked_body_without_room_is_refused_in_time(
    harness: ForwarderHarness,
) -> None:
    """Guards against bodies without a length, which can't be refused at their heads."""
    exhaust_limit(harness)
    with harness.connect() as connection:
        connection.settimeout(5.0)
        connection.sendall(
            make_request(
                "/order/1",
                method="POST",
                extra_headers="Transfer-Encoding: chunked\r\n",
            )
        )
        for _ in range(LONG_BYTES // 50_000):
            connection.sendall(make_chunk(bytes(50_000)))
            gevent.sleep(0.001)
        assert read_all(connection).startswith(b"HTTP/1.1 503")
    assert harness.account.peak_bytes < LONG_BYTES


def test_reservations_end_with_their_connections() -> None:
    account = MemoryAccount(clock=ManualClock(), limit_bytes=10 * MEGABYTE)
    with account.open(close=lambda _cause: None) as holding:
        assert holding.receive(20_000)
        assert holding.reserve(LONG_BYTES)
        assert account.unread_bytes == LONG_BYTES
        assert not holding.reserve(LONG_BYTES)
        assert holding.receive(MEGABYTE)
        assert account.received_reserved_bytes == MEGABYTE
        assert account.used_bytes >= LONG_BYTES + 20_000
    assert not account.used_bytes and not account.reserved_bytes
    assert not account.unread_bytes
    assert account.peak_bytes < 100_000


def test_the_fingerprint_of_a_long_body_is_that_of_all_its_bytes() -> None:
    """Guards against gateways of two versions that fingerprint a request differently."""

    def with_body(body: Body) -> Call:
        return msgspec.structs.replace(call("/order/1"), body=body)

    long = fill(BODY)
    assert not isinstance(long, bytes)
    expected = f"{stable_hash('', '/order/1', BODY.decode('latin-1')):016x}"
    assert compute_fingerprint(with_body(long)) == expected
    assert compute_fingerprint(with_body(BODY)) == expected


def test_a_released_body_is_not_taken_for_an_empty_one() -> None:
    body = fill(BODY)
    assert isinstance(body, BodyBuffer)
    pieces = iterate_pieces(body)
    first = bytes(next(pieces))
    body.release()
    assert first + b"".join(pieces) == BODY
    with pytest.raises(ValueError, match="released"):
        list(iterate_pieces(body))


def test_long_bodies_take_no_more_memory_than_their_bytes() -> None:
    """Guards against freed bodies that the allocator keeps, and against copies."""
    result = subprocess.run(
        [sys.executable, "-c", CHURN], capture_output=True, text=True, check=True
    )
    match = re.fullmatch(r"(-?\d+)\n", result.stdout)
    assert match is not None
    small_bytes = 2_000 * 3_000
    assert int(match[1]) <= small_bytes + ALLOWANCE_BYTES
