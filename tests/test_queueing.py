"""
Tests of the queue
==================

The three properties that its module states, by random sequences of calls.
"""

import random

from hypothesis import given, settings, strategies as st

from damasklead.clock import ManualClock
from damasklead.configuration import RequestClass
from damasklead.ids import ClassName, RequestId, ServiceName, WorkspaceId
from damasklead.learning import CostModel
from damasklead.queueing import LATE_START_INTERVAL, PoolQueue
from damasklead.requests import Outcome, Reason, Request

PROPERTY = settings(max_examples=150, derandomize=True, deadline=None, database=None)
ALL_TIERS = 5


def make_class(tier: int, **more: object) -> RequestClass:
    values = {"queue_bound": 5, "first_token": 1.0, **more}
    return RequestClass(
        name=ClassName(f"t{tier}"),
        service=ServiceName("s"),
        tier=tier,
        **values,  # type: ignore[arg-type]
    )


class World:
    """A queue with a class in each tier."""

    def __init__(self, **more: object) -> None:
        self.clock = ManualClock()
        self.costs = CostModel()
        self.classes = {tier: make_class(tier, **more) for tier in range(1, 6)}
        self.queue = PoolQueue(clock=self.clock, costs=self.costs)
        self.queue.update_classes(tuple(self.classes.values()))
        self.made = 0

    def request(self, tier: int, workspace: str = "w") -> Request:
        self.made += 1
        return Request(
            id=RequestId(f"r{self.made}"),
            workspace=WorkspaceId(workspace),
            request_class=self.classes[tier],
            arrival=self.clock.now(),
        )


@PROPERTY
@given(st.lists(st.tuples(st.integers(1, 5), st.booleans()), max_size=80))
def test_nothing_is_refused_while_a_lower_tier_waits(
    calls: list[tuple[int, bool]],
) -> None:
    world = World()
    waiting: dict[str, int] = {}
    for tier, pop in calls:
        if pop:
            request = world.queue.pop(slots=10.0, admitted_tier=ALL_TIERS)
            if request is not None:
                assert request.tier == min(waiting.values())
                del waiting[request.id]
            continue
        request = world.request(tier)
        waiting[request.id] = tier
        for refused in world.queue.push(request):
            assert refused.outcome is Outcome.NOT_RUN
            del waiting[refused.request.id]
            lower = [item for item in waiting.values() if item > refused.request.tier]
            assert not lower
    assert len(world.queue) == len(waiting)


@PROPERTY
@given(st.floats(0.01, 0.1), st.integers(2, 40))
def test_a_minimum_share_bounds_the_wait_under_a_flood_of_higher_tiers(
    share: float, slots: int
) -> None:
    """The bound of the module: head's slot-seconds / (share * slots), and one step."""
    world = World(queue_bound=1000)
    low = make_class(5, minimum_share=share, queue_bound=1000)
    world.classes[5] = low
    world.queue.update_classes(tuple(world.classes.values()))
    cost = world.costs.estimate_slot_seconds(low.name, WorkspaceId("w"))
    bound = cost / (share * slots)
    step = 0.1
    world.queue.push(world.request(5))
    waited = 0.0
    while True:
        world.queue.push(world.request(1))
        request = world.queue.pop(slots=float(slots), admitted_tier=1)
        if request is not None and request.tier == 5:
            break
        world.clock.advance(step)
        waited += step
        assert waited <= bound + 2 * step


@PROPERTY
@given(st.integers(0, 10_000))
def test_workspaces_of_a_tier_get_equal_shares_of_tokens(seed: int) -> None:
    """
    One floods with long requests, one has short ones; both always have some waiting.
    """
    source = random.Random(seed)
    world = World(queue_bound=10_000, first_token=1e6)
    lengths = {"long": 400, "short": 50}
    tokens = {"long": 0, "short": 0}
    for name in lengths:
        for _ in range(30):
            world.costs.record_completion(
                world.classes[1].name,
                WorkspaceId(name),
                tokens=lengths[name],
                seconds=1.0,
            )
    for _ in range(2000):
        for name in lengths:
            world.queue.push(world.request(1, name))
    for _ in range(600):
        request = world.queue.pop(slots=8.0, admitted_tier=ALL_TIERS)
        assert request is not None
        request.generated_tokens = int(
            lengths[request.workspace] * source.uniform(0.5, 1.5)
        )
        tokens[request.workspace] += request.generated_tokens
        world.queue.settle_charge(request)
    ratio = tokens["long"] / tokens["short"]
    assert 0.8 < ratio < 1.25


def test_inside_a_workspace_the_earliest_deadline_goes_first() -> None:
    world = World(queue_bound=100)
    hasty = make_class(1, first_token=0.2)
    hasty = RequestClass(
        name=ClassName("hasty"), service=hasty.service, tier=1, first_token=0.2
    )
    world.queue.update_classes((*world.classes.values(), hasty))
    slow = world.request(1)
    world.queue.push(slow)
    fast = world.request(1)
    fast.request_class = hasty
    world.queue.push(fast)
    assert world.queue.pop(slots=1.0, admitted_tier=1) is fast


def test_requests_that_are_late_go_last_but_not_never() -> None:
    world = World(queue_bound=100)
    late = world.request(1)
    world.queue.push(late)
    world.clock.advance(2.0)
    order = []
    for _ in range(LATE_START_INTERVAL):
        world.queue.push(world.request(1))
    for _ in range(LATE_START_INTERVAL):
        order.append(world.queue.pop(slots=1.0, admitted_tier=1))
    assert order[0] is not late
    assert late in order


def test_late_answers_that_are_useless_are_refused_unrun() -> None:
    world = World(late_useless=True)
    world.queue.push(world.request(2))
    assert world.queue.expire_requests() == []
    world.clock.advance(1.1)
    (refused,) = world.queue.expire_requests()
    assert (refused.reason, refused.outcome) == (
        Reason.DEADLINE_EXCEEDED,
        Outcome.NOT_RUN,
    )
    assert len(world.queue) == 0
