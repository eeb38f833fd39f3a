"""
Tests of the pauses that replicas ask for
=========================================
"""

import math

import msgspec
import pytest

from damasklead.clock import ManualClock
from damasklead.gateway.calls import UpstreamRecord
from damasklead.gateway.placements import Placement, new_placement
from damasklead.gateway.replica_pauses import MAX_PAUSES, ReplicaPauses
from damasklead.gateway.routing import EngineSpec, RouteKind, ServiceSpec
from damasklead.ids import InstanceId
from tests.test_gateway_rate_limits import (
    DATA_CENTRE,
    SERVICE,
    make_call,
    make_record,
    make_route,
)

ENGINE = EngineSpec(slots=8, memory_tokens=100_000)


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(start=100.0)


def make_placement(
    clock: ManualClock,
    records: list[UpstreamRecord],
    *,
    pauses: ReplicaPauses | None = None,
    engine: EngineSpec | None = None,
) -> Placement:
    placement = new_placement(
        service=ServiceSpec(name=SERVICE, max_connections=100, engine=engine),
        clock=clock,
        data_centre=DATA_CENTRE,
        pauses=pauses,
    )
    placement.update_replicas(records)
    return placement


@pytest.mark.parametrize(
    ("asked", "granted"),
    [
        (-3.0, 0.0),
        (-math.inf, 0.0),
        (math.nan, 0.0),
        (0.0, 0.0),
        (1.5, 1.5),
        (80.0, 80.0),
        (86_400.0, 86_400.0),
        (math.inf, math.inf),
    ],
)
def test_a_pause_lasts_as_long_as_the_replica_asked(
    clock: ManualClock, asked: float, granted: float
) -> None:
    """No pause lasted longer than 60 s."""
    placement = make_placement(clock, [make_record(0)])
    assert placement.pause_replica(make_record(0), asked) == granted
    for is_assigned in (False, True):
        assert placement.accepts_requests(
            InstanceId("r0"), is_assigned=is_assigned
        ) is (granted == 0.0)


@pytest.mark.parametrize("engine", [None, ENGINE], ids=["plain", "engine"])
@pytest.mark.parametrize("asked", [0.4, 59.0, 80.0, 3_600.0])
def test_no_request_reaches_a_replica_until_the_pause_that_it_asked_for_ends(
    clock: ManualClock, engine: EngineSpec | None, asked: float
) -> None:
    """One that asked for 80 s got dozens of requests after 60 s."""
    records = [make_record(0), make_record(1)]
    placement = make_placement(clock, records, engine=engine)
    placement.pause_replica(records[0], asked)
    route, step, end = make_route(RouteKind.IDEMPOTENT), asked / 50, clock.now() + asked
    while clock.now() < end - step / 2:
        call = make_call(f"a{clock.now()}", route, clock.now())
        chosen = placement.choose_replica(call)
        assert chosen is not None
        assert chosen.instance == "r1"
        assert placement.find_paused_replicas() == {"r0"}
        assert not placement.accepts_requests(InstanceId("r0"), is_assigned=True)
        clock.advance(step)
    clock.advance(step)
    assert placement.accepts_requests(InstanceId("r0"), is_assigned=True)
    assert placement.find_paused_replicas() == frozenset()


@pytest.mark.parametrize("asked", [80.0, 1e9, math.inf])
def test_a_replica_that_starts_again_is_not_bound_by_a_pause(
    clock: ManualClock, asked: float
) -> None:
    placement = make_placement(clock, [make_record(0)])
    placement.pause_replica(make_record(0), asked)
    placement.update_replicas([make_record(0, incarnation=2)])
    assert placement.accepts_requests(InstanceId("r0"), is_assigned=False)
    # What its predecessor still says doesn't concern it.
    placement.pause_replica(make_record(0), asked)
    assert placement.accepts_requests(InstanceId("r0"), is_assigned=False)
    assert placement.get_remaining_pause() is None


def test_a_pause_holds_for_a_replica_that_the_list_lacked_for_a_while(
    clock: ManualClock,
) -> None:
    placement = make_placement(clock, [make_record(0)])
    placement.pause_replica(make_record(0), 300.0)
    for records in ([], [make_record(0, incarnation=2)], []):
        placement.update_replicas(records)
        clock.advance(60.0)
    placement.update_replicas([make_record(0)])
    assert placement.get_remaining_pause() == pytest.approx(120.0)


def test_a_pause_holds_when_a_configuration_lacked_the_service(
    clock: ManualClock,
) -> None:
    pauses = ReplicaPauses(clock=clock)
    first = make_placement(clock, [make_record(0)], pauses=pauses)
    first.pause_replica(make_record(0), 300.0)
    second = make_placement(clock, [make_record(0)], pauses=pauses)
    assert second.get_remaining_pause() == pytest.approx(300.0)


def test_a_pause_holds_for_one_gateway_only(clock: ManualClock) -> None:
    """Others may send the replica requests until it has asked them, too."""
    asked, other = (make_placement(clock, [make_record(0)]) for _ in range(2))
    asked.pause_replica(make_record(0), 80.0)
    assert other.get_remaining_pause() is None


def test_pauses_without_end_of_replicas_that_are_gone_take_bounded_memory(
    clock: ManualClock,
) -> None:
    pauses = ReplicaPauses(clock=clock)
    placement = make_placement(clock, [], pauses=pauses)
    for number in range(2 * MAX_PAUSES):
        record = make_record(number)
        placement.update_replicas([record])
        placement.pause_replica(record, math.inf)
        placement.update_replicas([])
    assert len(pauses) == MAX_PAUSES
    placement.update_replicas([make_record(2 * MAX_PAUSES - 1)])
    assert placement.get_remaining_pause() == math.inf


def test_pauses_that_have_ended_make_room_first(clock: ManualClock) -> None:
    pauses = ReplicaPauses(clock=clock)
    kept = make_record(0)
    pauses.record(kept, 3_600.0)
    for number in range(1, 2 * MAX_PAUSES):
        pauses.record(make_record(number), 1.0)
        clock.advance(0.1)
    assert len(pauses) <= MAX_PAUSES
    assert pauses.get_end(kept) == pytest.approx(3_700.0)


def test_a_paused_replica_that_names_another_address_stays_paused(
    clock: ManualClock,
) -> None:
    placement = make_placement(clock, [make_record(0)])
    placement.pause_replica(make_record(0), 80.0)
    moved = msgspec.structs.replace(make_record(0), address="10.0.0.9:80")
    placement.update_replicas([moved])
    assert placement.get_remaining_pause() == pytest.approx(80.0)
