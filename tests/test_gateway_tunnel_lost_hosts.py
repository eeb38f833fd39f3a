"""
Tests of tunnels of a gateway whose host is lost
================================================

Nothing is acknowledged any more, unlike by a gateway that reads slowly.
"""

import ctypes
import math
from collections.abc import Callable, Iterator

import gevent
import pytest
from gevent import socket

from damasklead.clock import ManualClock
from damasklead.sockets import UNACKNOWLEDGED_TIMEOUT_MS, Acknowledgements
from damasklead.tunnels.acknowledgements import LostHostDetector
from tests.gateway_kit import wait_until
from tests.tunnel_kit import Helper, Replica

LIMIT_SECONDS = UNACKNOWLEDGED_TIMEOUT_MS / 1000
# Time after which a helper must have ended a tunnel; the kernel would take minutes.
END_SECONDS = 30.0
LARGE_BYTES = 64_000_000
# Options of Linux' <asm-generic/socket.h>.
SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27


class _Instruction(ctypes.Structure):
    _fields_ = [
        ("code", ctypes.c_uint16),
        ("jump_if_true", ctypes.c_uint8),
        ("jump_if_false", ctypes.c_uint8),
        ("value", ctypes.c_uint32),
    ]


class _Program(ctypes.Structure):
    _fields_ = [
        ("length", ctypes.c_uint16),
        ("instructions", ctypes.POINTER(_Instruction)),
    ]


def lose(raw: socket.socket) -> None:
    """Drop all segments that arrive, as if the host were gone."""
    return_nothing = (_Instruction * 1)(_Instruction(0x06, 0, 0, 0))
    program = _Program(1, return_nothing)
    raw.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, bytes(program))


def find(raw: socket.socket) -> None:
    """Receive segments again."""
    raw.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


class Tunnel:
    """A tunnel to a replica, and the other gateway's connection."""

    def __init__(self, serve: Callable[[socket.socket], None]) -> None:
        self.replica = Replica(serve)
        self.helper = Helper([self.replica.address])
        _, self.raw = self.helper.request(self.replica.address)

    def wait_until_ended(self) -> None:
        wait_until(
            lambda: (
                self.helper.server.open_count == 0 and self.replica.ended_count == 1
            ),
            seconds=END_SECONDS,
        )

    def stop(self) -> None:
        self.raw.close()
        self.helper.server.stop()
        self.replica.stop()


MakeTunnel = Callable[[Callable[[socket.socket], None]], Tunnel]


@pytest.fixture
def make_tunnel() -> Iterator[MakeTunnel]:
    tunnels: list[Tunnel] = []

    def make(serve: Callable[[socket.socket], None]) -> Tunnel:
        tunnels.append(Tunnel(serve))
        return tunnels[-1]

    yield make
    for tunnel in tunnels:
        tunnel.stop()


def send_small_pieces(raw: socket.socket) -> None:
    while True:
        raw.sendall(b"x" * 50)
        gevent.sleep(0.005)


def send_much(raw: socket.socket) -> None:
    raw.sendall(b"x" * LARGE_BYTES)


def respond_and_wait(raw: socket.socket) -> None:
    raw.recv(65_536)
    raw.sendall(b"response")
    raw.recv(1)


def respond_and_end(raw: socket.socket) -> None:
    raw.recv(65_536)
    raw.sendall(b"response")


@pytest.mark.parametrize(
    "serve", [send_small_pieces, send_much, respond_and_wait, respond_and_end]
)
def test_a_tunnel_ends_when_the_host_of_the_other_gateway_is_lost(
    make_tunnel: MakeTunnel, serve: Callable[[socket.socket], None]
) -> None:
    tunnel = make_tunnel(serve)
    tunnel.raw.sendall(b"request")
    lose(tunnel.raw)
    tunnel.wait_until_ended()


def test_a_host_that_is_lost_after_its_gateway_read_slowly_ends_the_tunnel(
    make_tunnel: MakeTunnel,
) -> None:
    tunnel = make_tunnel(send_much)
    gevent.sleep(LIMIT_SECONDS)
    assert tunnel.helper.server.open_count == 1
    lose(tunnel.raw)
    tunnel.wait_until_ended()


@pytest.mark.parametrize("serve", [send_small_pieces, send_much])
def test_a_gateway_that_reads_nothing_for_seconds_keeps_its_tunnel(
    make_tunnel: MakeTunnel, serve: Callable[[socket.socket], None]
) -> None:
    tunnel = make_tunnel(serve)
    gevent.sleep(3 * LIMIT_SECONDS)
    assert tunnel.helper.server.open_count == 1
    assert tunnel.replica.ended_count == 0


def test_a_host_that_is_reached_again_in_time_keeps_its_tunnel(
    make_tunnel: MakeTunnel,
) -> None:
    tunnel = make_tunnel(send_much)
    lose(tunnel.raw)
    gevent.sleep(LIMIT_SECONDS / 2)
    find(tunnel.raw)
    size = 0
    while data := tunnel.raw.recv(1_000_000):
        size += len(data)
    assert size == LARGE_BYTES


def test_the_end_is_logged_with_its_cause(make_tunnel: MakeTunnel) -> None:
    tunnel = make_tunnel(respond_and_wait)
    tunnel.raw.sendall(b"request")
    lose(tunnel.raw)
    tunnel.wait_until_ended()
    assert any(
        "event=tunnel-failed" in line and "no acknowledgement" in line
        for line in tunnel.helper.journal.pending_lines
    )


def make_detector() -> tuple[LostHostDetector, ManualClock]:
    clock = ManualClock()
    return LostHostDetector(clock=clock), clock


def observe(
    detector: LostHostDetector, repetitions: int, *, last_seconds: float = math.inf
) -> bool:
    return detector.is_lost(
        Acknowledgements(repetitions=repetitions, last_seconds=last_seconds)
    )


def test_a_connection_that_was_idle_is_not_lost_at_its_first_repetition() -> None:
    detector, clock = make_detector()
    clock.advance(100.0)
    assert not observe(detector, 0, last_seconds=100.0)
    assert not observe(detector, 2, last_seconds=100.0)
    clock.advance(LIMIT_SECONDS)
    assert observe(detector, 3, last_seconds=100.0 + LIMIT_SECONDS)


def test_acknowledgements_between_repetitions_keep_a_connection() -> None:
    """Other segments arrive, or the window stays closed."""
    detector, clock = make_detector()
    for _ in range(20):
        clock.advance(LIMIT_SECONDS)
        assert not observe(detector, 2, last_seconds=0.1)


def test_one_lost_probe_of_a_closed_window_ends_no_connection() -> None:
    """The next one follows after up to two minutes."""
    detector, clock = make_detector()
    for _ in range(20):
        clock.advance(LIMIT_SECONDS)
        assert not observe(detector, 1)
    assert observe(detector, 2)


def test_an_answered_probe_begins_the_time_anew() -> None:
    detector, clock = make_detector()
    assert not observe(detector, 1)
    clock.advance(LIMIT_SECONDS)
    assert not observe(detector, 0)
    assert not observe(detector, 2)
    clock.advance(LIMIT_SECONDS)
    assert observe(detector, 2)
