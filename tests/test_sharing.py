"""
Tests of sharing
================
"""

from hypothesis import given, settings, strategies as st

from damasklead.clock import ManualClock
from damasklead.ids import InstanceId, PoolId
from damasklead.messages import Demand
from damasklead.sharing import (
    TIER_COUNT,
    Coordinator,
    LoadReport,
    ShareHolder,
    allocate_max_min,
    choose_coordinator,
    compute_share_interval,
)

PROPERTY = settings(max_examples=200, derandomize=True, deadline=None, database=None)
COUNTS = st.lists(st.integers(0, 20), min_size=TIER_COUNT, max_size=TIER_COUNT)
POOL = PoolId("p")


def make_coordinator(clock: ManualClock, *, replicas: int, slots: int) -> Coordinator:
    coordinator = Coordinator(pool=POOL, clock=clock)
    for number in range(replicas):
        report = LoadReport(running=0, waiting=0, slots=slots)
        coordinator.record_report(InstanceId(f"r{number}"), report)
    return coordinator


@PROPERTY
@given(st.integers(0, 100), st.lists(st.integers(0, 30), min_size=1, max_size=8))
def test_allocation_is_max_min_fair(amount: int, demands: list[int]) -> None:
    shares = allocate_max_min(amount, demands)
    assert sum(shares) == min(amount, sum(demands))
    assert all(share <= demand for share, demand in zip(shares, demands, strict=True))
    for share, demand in zip(shares, demands, strict=True):
        if share < demand:
            assert share >= max(shares) - 1


@PROPERTY
@given(st.lists(st.tuples(COUNTS, COUNTS), min_size=1, max_size=8), st.integers(1, 12))
def test_grants_never_exceed_capacity_and_serve_higher_tiers_first(
    demands: list[tuple[list[int], list[int]]], replicas: int
) -> None:
    coordinator = make_coordinator(ManualClock(), replicas=replicas, slots=8)
    for number, (running, waiting) in enumerate(demands):
        demand = Demand(pool=POOL, running=tuple(running), waiting=tuple(waiting))
        coordinator.record_demand(InstanceId(f"e{number}"), demand)
    grants = coordinator.allocate_slots()
    capacity = sum(load.limit for load in next(iter(grants.values())).replicas)
    assert sum(sum(grant.slots) for grant in grants.values()) == capacity
    remaining = capacity
    for tier in range(TIER_COUNT - 1):
        tier_demand = sum(running[tier] + waiting[tier] for running, waiting in demands)
        granted_slots = sum(grant.slots[tier] for grant in grants.values())
        assert granted_slots == min(tier_demand, remaining)
        remaining -= granted_slots


def test_minimum_share_is_reserved_for_a_tier_with_demand() -> None:
    coordinator = make_coordinator(ManualClock(), replicas=10, slots=10)
    coordinator.set_targets(token_gap_targets={}, min_shares={5: 0.1})
    demand = Demand(pool=POOL, running=(500, 0, 0, 0, 0), waiting=(0, 0, 0, 0, 50))
    coordinator.record_demand(InstanceId("e"), demand)
    slots = coordinator.allocate_slots()[InstanceId("e")].slots
    capacity = sum(slots)
    assert slots[4] == int(0.1 * capacity)


def test_slots_of_an_entry_without_recent_demand_are_reassigned() -> None:
    clock = ManualClock()
    coordinator = make_coordinator(clock, replicas=1, slots=10)
    demand = Demand(pool=POOL, running=(9, 0, 0, 0, 0), waiting=(9, 0, 0, 0, 0))
    coordinator.record_demand(InstanceId("a"), demand)
    coordinator.record_demand(InstanceId("b"), demand)
    before = sum(coordinator.allocate_slots()[InstanceId("b")].slots)
    for _ in range(20):
        clock.advance(compute_share_interval(2))
        coordinator.record_demand(InstanceId("b"), demand)
    grants = coordinator.allocate_slots()
    assert InstanceId("a") not in grants
    assert sum(grants[InstanceId("b")].slots) > before


def test_only_the_pools_of_a_lost_coordinator_move() -> None:
    entries = [InstanceId(f"e{number}") for number in range(8)]
    pools = [PoolId(f"p{number}") for number in range(200)]
    before = {pool: choose_coordinator(pool, entries) for pool in pools}
    lost = entries[3]
    rest = [entry for entry in entries if entry != lost]
    for pool in pools:
        after = choose_coordinator(pool, rest)
        assert after == before[pool] or before[pool] == lost
    max_pools = max(list(before.values()).count(entry) for entry in entries)
    assert max_pools <= 2 * len(pools) / len(entries)


def test_entry_without_a_grant_falls_back_to_an_equal_share() -> None:
    clock = ManualClock()
    share = ShareHolder(clock=clock)
    assert sum(share.compute_slots(capacity=80, entry_count=8)) == 10
    for _ in range(50):
        share.record_first_token_latency(0.05)
    for _ in range(200):
        share.record_first_token_latency(1.0)
    assert sum(share.compute_slots(capacity=80, entry_count=8)) < 10
