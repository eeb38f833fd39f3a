"""
Tests of the memory account and of what is closed at its limit
==============================================================
"""

from damasklead.clock import ManualClock
from damasklead.memory_budget import (
    CONNECTION_BYTES,
    HeldKind,
    Holding,
    MemoryAccount,
)
from damasklead.memory_shortage import MIN_STALLED_SECONDS, Stage

MEGABYTE = 1_000_000


class Crowd:
    """Connections of an account, and the ones that it has closed."""

    def __init__(self, *, limit_bytes: float) -> None:
        self.clock = ManualClock()
        self.account = MemoryAccount(clock=self.clock, limit_bytes=limit_bytes)
        self.holdings: list[Holding] = []
        self.closed: list[int] = []

    def connect(self, *, is_closable: bool = True) -> Holding:
        number = len(self.holdings)

        def close(_cause: str) -> None:
            self.closed.append(number)
            if is_closable:
                self.holdings[number].end()

        holding = self.account.open(close=close)
        self.holdings.append(holding)
        return holding

    def send(self, size: int, *, is_stalled: bool) -> Holding:
        holding = self.connect()
        holding.enter(Stage.SENDING)
        holding.hold(HeldKind.RESPONSE, size)
        if is_stalled:
            holding.record_stall()
        return holding


def test_slow_callers_make_room_for_ordinary_ones() -> None:
    """
    Guards against ordinary requests that are refused as long as slow callers stay.

    100 callers that don't read fill the account.
    """
    crowd = Crowd(limit_bytes=10 * MEGABYTE)
    refused = 0
    for _ in range(100):
        if crowd.account.admit_request():
            crowd.send(200_000, is_stalled=True)
        else:
            refused += 1
    assert refused > 40 and not crowd.closed
    crowd.clock.advance(MIN_STALLED_SECONDS)
    for _ in range(100):
        assert crowd.account.admit_request()
        crowd.send(10_000, is_stalled=False).end()
        crowd.send(200_000, is_stalled=True)
        crowd.clock.advance(0.1)
    assert crowd.account.peak_bytes <= 10 * MEGABYTE


def test_the_most_bytes_held_for_the_longest_time_are_closed_first() -> None:
    crowd = Crowd(limit_bytes=4 * MEGABYTE)
    crowd.send(100_000, is_stalled=True)
    crowd.send(1_000_000, is_stalled=True)
    crowd.clock.advance(5.0)
    crowd.send(1_500_000, is_stalled=True)
    crowd.clock.advance(MIN_STALLED_SECONDS)
    crowd.send(1_000_000, is_stalled=False)
    crowd.send(1_000_000, is_stalled=False)
    assert crowd.closed == [1]


def test_a_request_that_is_read_or_executed_is_not_closed() -> None:
    """Guards against orders that are cut off while a replica executes them."""
    crowd = Crowd(limit_bytes=MEGABYTE)
    for stage in (Stage.READING, Stage.WAITING):
        holding = crowd.connect()
        holding.enter(stage)
        holding.hold(HeldKind.REQUEST, 400_000)
    crowd.clock.advance(60.0)
    last = crowd.connect()
    last.enter(Stage.READING)
    assert not last.hold(HeldKind.REQUEST, 400_000)
    assert not crowd.account.admit_request()
    assert not crowd.closed


def test_a_caller_that_reads_again_is_not_closed() -> None:
    crowd = Crowd(limit_bytes=MEGABYTE)
    reading = crowd.send(600_000, is_stalled=True)
    crowd.clock.advance(MIN_STALLED_SECONDS)
    reading.record_progress()
    crowd.send(600_000, is_stalled=False)
    assert not crowd.closed


def test_idle_connections_are_closed_after_slow_callers() -> None:
    crowd = Crowd(limit_bytes=MEGABYTE)
    idle = [crowd.connect() for _ in range(3)]
    crowd.send(10_000, is_stalled=True)
    crowd.clock.advance(MIN_STALLED_SECONDS)
    assert crowd.account.close_connections(2) == 0
    assert crowd.closed == [3, 0]
    assert idle[1].stage is Stage.IDLE


def test_bytes_of_connections_that_are_being_closed_count_as_free() -> None:
    """Guards against closing more and more callers until the first ones have ended."""
    crowd = Crowd(limit_bytes=MEGABYTE)
    for _ in range(4):
        holding = crowd.connect(is_closable=False)
        holding.enter(Stage.SENDING)
        holding.hold(HeldKind.RESPONSE, 200_000)
        holding.record_stall()
    crowd.clock.advance(MIN_STALLED_SECONDS)
    for _ in range(20):
        assert crowd.account.admit_request()
    assert len(crowd.closed) == 1


def test_everything_is_released_with_the_connection() -> None:
    account = MemoryAccount(clock=ManualClock())
    with account.open(close=lambda _cause: None) as holding:
        assert account.used_by_kind[HeldKind.CONNECTION] == CONNECTION_BYTES
        holding.add(HeldKind.REQUEST, 500)
        holding.add(HeldKind.REQUEST, 500)
        holding.hold(HeldKind.RESPONSE, 10**12)
        assert account.used_by_kind[HeldKind.REQUEST] == 1000
    assert account.used_bytes == 0 and account.connection_count == 0
    assert not account.is_limited
