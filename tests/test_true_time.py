"""
Tests of the estimate of the true time
======================================
"""

import math

import pytest

from damasklead.clock import ManualClock
from damasklead.gateway.duties.true_time import FREEZE_SECONDS, TrueTime

UNIX_START = 1_767_225_600.0


class WallClock:
    """A wall clock that may be wrong."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.error = 0.0

    def __call__(self) -> float:
        return UNIX_START + self._clock.now() + self.error


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(start=100.0)


def compute_error(time: TrueTime, clock: ManualClock) -> float:
    return time.now() - UNIX_START - clock.now()


def run(time: TrueTime, clock: ManualClock, seconds: float, *errors: float) -> None:
    """Let time pass while other gateways report clocks with these errors."""
    for _ in range(round(seconds / 0.5)):
        clock.advance(0.5)
        time.tick()
        for number, error in enumerate(errors):
            time.record_clock(f"gw-{number}", UNIX_START + clock.now() + error)
        time.update()


def test_own_jump_is_ignored_while_the_others_do_not_share_it(
    clock: ManualClock,
) -> None:
    """Guards against a holder that counts by its own wall clock."""
    wall_clock = WallClock(clock)
    time = TrueTime(clock=clock, get_unix_time=wall_clock)
    for error in (7.0, 0.0, -4.0, 0.0):
        wall_clock.error = error
        run(time, clock, 10.0, 0.0, 0.0, 0.01, 6.0)
        assert compute_error(time, clock) == pytest.approx(0.0, abs=0.01)
        assert time.has_majority


def test_jump_of_all_clocks_is_followed(clock: ManualClock) -> None:
    """Guards against windows that begin at other times than the platform's."""
    wall_clock = WallClock(clock)
    time = TrueTime(clock=clock, get_unix_time=wall_clock)
    run(time, clock, 10.0, 0.0, 0.0)
    wall_clock.error = 2.0
    run(time, clock, 10.0, 2.0, 2.0)
    assert compute_error(time, clock) == pytest.approx(2.0)


def test_clocks_without_a_majority_change_nothing(clock: ManualClock) -> None:
    """Guards against the mean of two clocks of which one has jumped."""
    wall_clock = WallClock(clock)
    time = TrueTime(clock=clock, get_unix_time=wall_clock)
    run(time, clock, 10.0, 0.0)
    run(time, clock, 10.0, 8.0)
    assert compute_error(time, clock) == 0.0
    assert not time.has_majority


def test_wrong_clock_at_the_start_is_corrected_by_the_first_notice(
    clock: ManualClock,
) -> None:
    """Guards against requests that are dated by a clock which is wrong from the start."""
    wall_clock = WallClock(clock)
    wall_clock.error = 30.0
    time = TrueTime(clock=clock, get_unix_time=wall_clock)
    assert not time.is_settled
    time.adopt(UNIX_START + clock.now())
    assert time.is_settled and compute_error(time, clock) == 0.0


def test_notices_that_waited_during_a_freeze_are_not_adopted(
    clock: ManualClock,
) -> None:
    """Guards against the time in datagrams that were sent seconds before."""
    wall_clock = WallClock(clock)
    time = TrueTime(clock=clock, get_unix_time=wall_clock)
    run(time, clock, 10.0, 0.0, 0.0)
    sent_at = UNIX_START + clock.now()
    clock.advance(FREEZE_SECONDS + 8.0)
    time.adopt(sent_at)
    for name in ("gw-0", "gw-1"):
        time.record_clock(name, sent_at)
    time.update()
    assert compute_error(time, clock) == 0.0
    # The queue of the socket is not empty yet.
    time.adopt(sent_at)
    for name in ("gw-0", "gw-1"):
        time.record_clock(name, sent_at)
    clock.advance(1.0)
    time.update()
    assert compute_error(time, clock) == 0.0


@pytest.mark.parametrize("value", [math.nan, math.inf, -math.inf, -1.0, 1e300])
def test_odd_times_are_ignored(clock: ManualClock, value: float) -> None:
    """Guards against a datagram whose time ends all calculations of windows."""
    time = TrueTime(clock=clock, get_unix_time=WallClock(clock))
    time.adopt(value)
    time.record_clock("gw-0", value)
    time.update()
    assert compute_error(time, clock) == 0.0
