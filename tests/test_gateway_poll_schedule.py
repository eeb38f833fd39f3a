"""
Tests of the poll schedule of lists
===================================

Several simulated gateways on a manual clock follow one list whose version only grows.
The oracle is the list's version and the time at which it was written.
"""

import random

import pytest

from damasklead.clock import ManualClock
from damasklead.gateway.poll_schedule import (
    CONFIRMATION_TTL_SECONDS,
    RANK_DELAY_SECONDS,
    ListName,
    ListReport,
    ListReports,
    ReadPlan,
    reader_score,
)
from damasklead.gateway.store_positions import Position
from tests.gateway_kit import make_position

STEP_SECONDS = 0.01
# Time within which a change must be in force at every gateway.
MAX_PROPAGATION_SECONDS = 2.0
HEARTBEAT_SECONDS = 0.3


class Gateway:
    """
    A simulated gateway: its plan, the version it has, and a pending call to the store.

    Attributes
    ----------
    call : tuple or None
        When the pending call ends without a change, and the newest change that peers
        had reported before it.
    cut_off : bool
        Whether its calls to the store get no response.
    frozen : bool
        Whether its process is paused.
    """

    def __init__(self, fleet: "Fleet", name: str) -> None:
        self.fleet = fleet
        self.name = name
        self.reports = ListReports(clock=fleet.clock)
        self.plan = ReadPlan(
            name=ListName.ROUTING,
            clock=fleet.clock,
            reports=self.reports,
            rank=lambda: fleet.rank(name),
        )
        self.version = make_position(0)
        self.calls = 0
        self.sent_at = 0.0
        self.sent_version = make_position(0)
        self.call: tuple[float, Position] | None = None
        self.cut_off = False
        self.frozen = False

    def step(self) -> None:
        if self.frozen:
            return
        now = self.fleet.clock.now()
        if self.call is None:
            step = self.plan.next_step()
            if step.should_poll:
                self.calls += 1
                self.call = (now + step.wait_seconds, self.plan.get_reported_change())
        if self.call is not None:
            self._finish_call(now)
        self._send_report(now)

    def _finish_call(self, now: float) -> None:
        assert self.call is not None
        until, reported = self.call
        if self.cut_off:
            if now >= until + 0.7:  # the timeout of a call without response
                self.call = None
            return
        if self.fleet.version > self.version or now >= until:
            self.version = self.fleet.version
            self.plan.record_response(reported=reported, last_change=self.version)
            self.call = None

    def _send_report(self, now: float) -> None:
        report = self.plan.report
        has_changed = self.version > self.sent_version
        if has_changed or now - self.sent_at >= HEARTBEAT_SECONDS:
            self.sent_at, self.sent_version = now, self.version
            self.fleet.deliver(self, report)


class Fleet:
    """Simulated gateways and the list that they follow."""

    def __init__(self, count: int, *, seed: int = 1, loss: float = 0.0) -> None:
        self.clock = ManualClock(start=50.0)
        self.version = make_position(1)
        self.written_at = self.clock.now()
        self.gateways = [Gateway(self, f"g{number}") for number in range(count)]
        self._random = random.Random(seed)
        self._loss = loss

    def deliver(self, sender: Gateway, report: ListReport) -> None:
        for receiver in self.gateways:
            is_lost = self._random.random() < self._loss
            if receiver is not sender and not receiver.frozen and not is_lost:
                receiver.reports.record_reports([report])

    def write(self) -> None:
        self.version = make_position(self.version.version + 1)
        self.written_at = self.clock.now()

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            for gateway in self.gateways:
                gateway.step()
            if self.clock.now() - self.written_at > MAX_PROPAGATION_SECONDS:
                stale_gateways = [
                    gateway.name
                    for gateway in self.gateways
                    if gateway.version < self.version
                    and not gateway.cut_off
                    and not gateway.frozen
                ]
                assert stale_gateways == []

    def reader(self) -> Gateway:
        return min(self.gateways, key=lambda item: reader_score(item.name))

    def rank(self, name: str) -> int:
        score = reader_score(name)
        return sum(reader_score(item.name) < score for item in self.gateways)


@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_changes_are_in_force_in_time(loss: float) -> None:
    fleet = Fleet(8, loss=loss)
    fleet.run(2.0)
    for _ in range(20):
        fleet.write()
        fleet.run(1.3)


def test_an_unchanged_list_costs_the_same_for_any_fleet_size() -> None:
    calls = {}
    for count in (8, 40):
        fleet = Fleet(count)
        fleet.run(3.0)
        before = sum(item.calls for item in fleet.gateways)
        fleet.run(10.0)
        calls[count] = sum(item.calls for item in fleet.gateways) - before
    assert calls[8] <= 20 and calls[40] <= 20


@pytest.mark.parametrize("fault", ["cut_off", "frozen"])
def test_a_failed_reader_is_not_waited_for(fault: str) -> None:
    for delay in (0.0, 0.1, 0.25, 0.4, 0.55, 0.7):
        fleet = Fleet(8)
        fleet.run(2.0 + delay)
        setattr(fleet.reader(), fault, True)
        fleet.run(0.05)
        fleet.write()
        fleet.run(4.0)
        setattr(fleet.reader(), fault, False)
        fleet.run(2.5)


def test_changes_are_in_force_in_time_under_random_faults() -> None:
    for seed in range(12):
        rng = random.Random(seed)
        fleet = Fleet(6, seed=seed, loss=0.05)
        fleet.run(2.0)
        for _ in range(12):
            gateway = rng.choice(fleet.gateways)
            fault = rng.choice(["cut_off", "frozen"])
            setattr(gateway, fault, True)
            if rng.random() < 0.7:
                fleet.write()
            fleet.run(rng.uniform(0.2, 3.0))
            setattr(gateway, fault, False)
            # The bound starts anew, since the gateway may have missed the last change.
            gateway.frozen = gateway.cut_off = False
            fleet.written_at = max(fleet.written_at, fleet.clock.now())
            fleet.run(0.3)


def test_a_reported_removal_that_a_full_read_lacks_is_polled_for_once() -> None:
    clock = ManualClock()
    reports = ListReports(clock=clock)
    plan = ReadPlan(
        name=ListName.UPSTREAMS, clock=clock, reports=reports, rank=lambda: 3
    )
    plan.record_response(reported=make_position(0), last_change=make_position(3))
    reports.record_reports(
        [ListReport(make_position(0), 0), ListReport(make_position(9), 0)]
    )
    assert plan.next_step().should_poll
    plan.record_response(
        reported=plan.get_reported_change(), last_change=make_position(3)
    )
    assert not plan.next_step().should_poll
    clock.advance(CONFIRMATION_TTL_SECONDS + 3 * RANK_DELAY_SECONDS + 0.01)
    assert plan.next_step().should_poll
