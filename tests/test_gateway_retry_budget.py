"""
Tests of the retry budget over all gateways and their restarts
==============================================================

The operators' bound counts the retries of all gateways together, those of processes
that have ended too.  Callers' requests fail so often that each gateway retries as much
as its budget allows.
"""

import random
from bisect import bisect_left, bisect_right

import pytest

from damasklead.clock import ManualClock
from damasklead.gateway.budget import SharedRetryBudget
from damasklead.ids import ServiceName

SERVICE = ServiceName("llm")
RATIO = 0.2
WINDOW_SECONDS = 10.0
STEP_SECONDS = 0.05
# Time from the start of a process until it knows the other gateways.
DISCOVERY_SECONDS = 0.3
# Retries that a request asks for when all its attempts fail.
RETRIES_PER_REQUEST = 3


class Fleet:
    """
    Gateways that retry as much as their budgets allow.

    Parameters
    ----------
    count : int
        Number of gateways.
    allowance : float
        Retries per window beyond the ratio, for all gateways together.
    """

    def __init__(self, count: int, *, allowance: float) -> None:
        self.clock = ManualClock(start=100.0)
        self.names = [f"g{number}" for number in range(count)]
        self.request_times: list[float] = []
        self.retry_times: list[float] = []
        self._allowance = allowance
        self._random = random.Random(count)
        self._budgets: dict[str, SharedRetryBudget] = {}
        self._started_at: dict[str, float] = {}
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a gateway, or replace its process by a new one."""
        self._started_at[name] = self.clock.now()
        self._budgets[name] = SharedRetryBudget(
            clock=self.clock,
            ratio=RATIO,
            allowance=self._allowance,
            window=WINDOW_SECONDS,
        )

    def stop(self, name: str) -> None:
        """Stop a gateway for good; the others are told."""
        del self._budgets[name]

    def run(self, seconds: float, *, rate: float) -> None:
        """Send requests at a rate per second, of which all attempts fail."""
        end = self.clock.now() + seconds
        due = 0.0
        while self.clock.now() < end:
            self.clock.advance(STEP_SECONDS)
            self._update_counts()
            due += rate * STEP_SECONDS
            while due >= 1.0:
                due -= 1.0
                self._send_request()

    def find_excess(self) -> float:
        """Return by how much the retries in the worst window exceed the bound."""
        return max(
            (
                self._count(self.retry_times, start) - self._compute_bound(start)
                for start in self.retry_times
            ),
            default=0.0,
        )

    def _update_counts(self) -> None:
        now = self.clock.now()
        for name, budget in self._budgets.items():
            if now - self._started_at[name] >= DISCOVERY_SECONDS:
                budget.set_gateway_count(len(self._budgets))

    def _send_request(self) -> None:
        self.request_times.append(self.clock.now())
        budget = self._budgets[self._random.choice(sorted(self._budgets))]
        budget.record_first_attempt(SERVICE)
        for _ in range(RETRIES_PER_REQUEST):
            if not budget.acquire_retry(SERVICE):
                return
            self.retry_times.append(self.clock.now())

    def _compute_bound(self, start: float) -> float:
        requests = max(
            self._count(self.request_times, start - offset * WINDOW_SECONDS)
            for offset in (0.0, 0.5, 1.0)
        )
        return RATIO * requests + self._allowance

    def _count(self, times: list[float], start: float) -> int:
        return bisect_right(times, start + WINDOW_SECONDS) - bisect_left(times, start)


SIZES = pytest.mark.parametrize(
    ("count", "allowance"), [(6, 52.0), (8, 56.0), (77, 194.0), (302, 760.0)]
)
# Requests per second at each gateway.
RATES = pytest.mark.parametrize("rate", [0.05, 0.5, 5.0])


def make_fleet(count: int, allowance: float, rate: float) -> tuple[Fleet, float]:
    """Return a fleet in steady state and its total request rate."""
    fleet = Fleet(count, allowance=allowance)
    total = min(rate * count, 200.0)
    fleet.run(1.5 * WINDOW_SECONDS, rate=total)
    return fleet, total


@SIZES
@RATES
def test_retries_stay_within_the_bound_when_all_restart_again_and_again(
    count: int, allowance: float, rate: float
) -> None:
    fleet, total = make_fleet(count, allowance, rate)
    for _ in range(4):
        for name in fleet.names:
            fleet.start(name)
        fleet.run(2.5, rate=total)
    assert fleet.find_excess() <= 0


@SIZES
@RATES
def test_retries_stay_within_the_bound_when_gateways_restart_in_turn(
    count: int, allowance: float, rate: float
) -> None:
    fleet, total = make_fleet(count, allowance, rate)
    for turn in range(12):
        for name in fleet.names[turn % 2 :: 2]:
            fleet.start(name)
        fleet.run(1.0, rate=total)
    assert fleet.find_excess() <= 0


@SIZES
@RATES
def test_retries_stay_within_the_bound_when_most_gateways_leave_at_once(
    count: int, allowance: float, rate: float
) -> None:
    fleet, total = make_fleet(count, allowance, rate)
    for name in fleet.names[: count - 2]:
        fleet.stop(name)
    fleet.run(WINDOW_SECONDS, rate=total)
    for name in fleet.names[: count - 2]:
        fleet.start(name)
    fleet.run(WINDOW_SECONDS, rate=total)
    assert fleet.find_excess() <= 0


@SIZES
def test_most_of_the_allowance_is_used_without_restarts(
    count: int, allowance: float
) -> None:
    fleet, total = make_fleet(count, allowance, 5.0)
    fleet.retry_times.clear()
    fleet.run(WINDOW_SECONDS, rate=total)
    assert len(fleet.retry_times) > 0.5 * (RATIO * total * WINDOW_SECONDS + allowance)


def test_a_gateway_that_knows_no_others_spends_none_of_the_allowance() -> None:
    clock = ManualClock()
    budget = SharedRetryBudget(
        clock=clock, ratio=0.2, allowance=1000.0, window=WINDOW_SECONDS
    )
    clock.advance(3 * WINDOW_SECONDS)
    assert not budget.acquire_retry(SERVICE)
