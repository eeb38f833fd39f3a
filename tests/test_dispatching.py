"""
Tests of dispatching
====================
"""

import itertools
import random

import pytest
from hypothesis import given, settings, strategies as st

from damasklead.clock import ManualClock
from damasklead.configuration import PoolScope, RequestClass, Service, ServiceKind
from damasklead.cost_model import CostModel
from damasklead.dispatching import MAX_FAILURES, PoolDispatcher
from damasklead.ids import (
    AttemptId,
    ClassName,
    DataCentre,
    Fingerprint,
    InstanceId,
    PoolId,
    RequestId,
    ServiceName,
    SoftwareVersion,
    WorkspaceId,
)
from damasklead.messages import Grant, ReplicaLoad
from damasklead.quarantine import Quarantine
from damasklead.replicas import ReplicaInfo
from damasklead.requests import (
    Action,
    Cancel,
    Failure,
    Finish,
    Outcome,
    Reason,
    Refuse,
    Request,
    Start,
)
from damasklead.util import hash_name

PROPERTY = settings(max_examples=150, derandomize=True, deadline=None, database=None)
POOL = PoolId("p")


class DispatcherHarness:
    """A dispatcher with two replicas of four slots each and a class in each tier."""

    def __init__(self, *, may_repeat: bool = True) -> None:
        self.clock = ManualClock()
        self.quarantine = Quarantine(clock=self.clock)
        self.classes = {
            tier: RequestClass(
                name=ClassName(f"t{tier}"),
                service=ServiceName("s"),
                tier=tier,
                first_token_target=1.0,
                may_repeat=may_repeat,
                queue_bound=50,
            )
            for tier in range(1, 6)
        }
        attempt_numbers = itertools.count(1)
        costs = CostModel()
        self.dispatcher = PoolDispatcher(
            pool=POOL,
            service=Service(
                name=ServiceName("s"),
                kind=ServiceKind.ENGINE,
                models=("m",),
                pool_scope=PoolScope.REGION,
                checks_fencing=False,
                classes=tuple(self.classes.values()),
            ),
            clock=self.clock,
            data_centre=DataCentre("x"),
            random_source=random.Random(1),
            costs=costs,
            quarantine=self.quarantine,
            new_attempt_id=lambda: AttemptId(f"a{next(attempt_numbers)}"),
        )
        self.costs = costs
        self._request_numbers = itertools.count(1)
        infos = [
            ReplicaInfo(
                instance=InstanceId(name),
                data_centre=DataCentre("x"),
                version=SoftwareVersion("1"),
            )
            for name in ("r1", "r2")
        ]
        self.dispatcher.set_replicas(infos, entry_count=1)
        self.grant_slots(lowest_slots=8)

    def grant_slots(
        self, *, lowest_slots: int, preempting_tier: int = 0, hard_limit: int = 6
    ) -> list[Action]:
        loads = tuple(
            ReplicaLoad(
                key=hash_name(InstanceId(name)),
                load=0,
                limit=4,
                hard_limit=hard_limit,
                token_gap_us=0,
            )
            for name in ("r1", "r2")
        )
        return self.dispatcher.apply_grant(
            Grant(
                pool=POOL,
                slots=(0, 0, 0, 0, lowest_slots),
                ttl_ms=100_000,
                preempting_tier=preempting_tier,
                replicas=loads,
            )
        )

    def submit_request(self, tier: int, *, is_preemptable: bool = True) -> list[Action]:
        request = Request(
            id=RequestId(f"q{next(self._request_numbers)}"),
            workspace=WorkspaceId("w"),
            request_class=self.classes[tier],
            arrival=self.clock.now(),
            fingerprint=Fingerprint(f"f{tier}"),
            model="m",
        )
        return self.dispatcher.submit_request(request, is_preemptable=is_preemptable)


def find_start(actions: list[Action]) -> Start:
    return next(action for action in actions if isinstance(action, Start))


def test_request_starts_at_once_when_a_slot_is_free() -> None:
    harness = DispatcherHarness()
    start = find_start(harness.submit_request(3))
    assert start.replica in ("r1", "r2")
    harness.dispatcher.record_events(start.attempt, event_count=7)
    (finish, *_) = harness.dispatcher.complete_attempt(start.attempt)
    assert isinstance(finish, Finish) and finish.tokens == 7


def test_a_continued_response_costs_what_its_last_attempt_took() -> None:
    """It counted as free of cost, which lowered the estimate for all requests."""
    harness = DispatcherHarness()
    name, workspace = harness.classes[3].name, WorkspaceId("w")
    for _ in range(100):
        only = find_start(harness.submit_request(3))
        harness.dispatcher.record_events(only.attempt, event_count=40)
        harness.clock.advance(4.0)
        harness.dispatcher.complete_attempt(only.attempt)
    for _ in range(5):
        first = find_start(harness.submit_request(3))
        harness.dispatcher.record_events(first.attempt, event_count=30)
        actions = harness.dispatcher.fail_attempt(first.attempt, Failure.BROKEN)
        second = find_start(actions)
        harness.dispatcher.record_events(second.attempt, event_count=10)
        harness.clock.advance(1.0)
        harness.dispatcher.complete_attempt(second.attempt)
    tokens = harness.costs.estimate_tokens(name, workspace)
    seconds = harness.costs.estimate_slot_seconds(name, workspace)
    assert seconds / tokens == pytest.approx(0.1)


def test_load_is_balanced_over_replicas() -> None:
    harness = DispatcherHarness()
    replicas = [find_start(harness.submit_request(3)).replica for _ in range(8)]
    assert replicas.count(InstanceId("r1")) == 4
    assert harness.submit_request(3) == []
    assert harness.dispatcher.queue_length == 1


def test_top_tier_preempts_a_lower_tier_that_continues_later() -> None:
    harness = DispatcherHarness()
    harness.grant_slots(lowest_slots=8, hard_limit=4)
    starts = [find_start(harness.submit_request(5)) for _ in range(8)]
    for start in starts:
        harness.dispatcher.record_events(start.attempt, event_count=10)
    assert harness.submit_request(2) == [], "only the top tier preempts others"
    actions = harness.submit_request(1)
    cancels = [action for action in actions if isinstance(action, Cancel)]
    assert [item.request.tier for item in cancels] == [5]
    assert cancels[0].requeued
    assert find_start(actions).request.tier == 1
    next_actions = harness.dispatcher.complete_attempt(find_start(actions).attempt)
    harness.dispatcher.complete_attempt(find_start(next_actions).attempt)
    resumed = [
        attempt.request
        for attempt in harness.dispatcher.attempts.values()
        if attempt.request.generated_tokens == 10 and attempt.event_count == 0
    ]
    assert len(resumed) == 1


def test_request_that_would_lose_tokens_is_not_preempted() -> None:
    harness = DispatcherHarness()
    harness.grant_slots(lowest_slots=8, hard_limit=4)
    for _ in range(8):
        harness.submit_request(5, is_preemptable=False)
    assert not any(isinstance(action, Cancel) for action in harness.submit_request(1))
    assert harness.dispatcher.queue_length == 1


@PROPERTY
@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("submit"), st.integers(1, 5)),
            st.tuples(st.just("finish"), st.integers(0, 100)),
            st.tuples(st.just("fail"), st.integers(0, 100)),
            st.tuples(st.just("grant"), st.integers(0, 12)),
            st.tuples(st.just("tick"), st.integers(0, 3)),
        ),
        max_size=80,
    )
)
def test_no_request_is_preempted_for_a_lower_tier(steps: list[tuple[str, int]]) -> None:
    """Only requests of a tier below that of a queued request are preempted."""
    harness = DispatcherHarness()
    for kind, value in steps:
        attempts = list(harness.dispatcher.attempts)
        waiting = harness.dispatcher.build_demand().waiting
        actions: list[Action] = []
        if kind == "submit":
            actions = harness.submit_request(value)
            waiting = tuple(
                count + (tier == value) for tier, count in enumerate(waiting, start=1)
            )
        elif kind == "finish" and attempts:
            harness.dispatcher.record_events(
                attempts[value % len(attempts)], event_count=3
            )
            actions = harness.dispatcher.complete_attempt(
                attempts[value % len(attempts)]
            )
        elif kind == "fail" and attempts:
            actions = harness.dispatcher.fail_attempt(
                attempts[value % len(attempts)], Failure.BROKEN
            )
        elif kind == "grant":
            preempting_tier = next((t for t in range(4, 0, -1) if waiting[t - 1]), 0)
            actions = harness.grant_slots(
                lowest_slots=value, preempting_tier=preempting_tier
            )
        elif kind == "tick":
            harness.clock.advance(value)
            actions = harness.dispatcher.process_timeouts()
        highest = next((t for t in range(1, 6) if waiting[t - 1]), 6)
        for action in actions:
            if isinstance(action, Cancel) and kind != "tick":
                assert action.request.tier > highest
        starts = [action.attempt for action in actions if isinstance(action, Start)]
        assert len(set(starts)) == len(starts)
    running = harness.dispatcher.build_demand().running
    assert sum(running) == len(harness.dispatcher.attempts)


@pytest.mark.parametrize(
    ("failure", "may_repeat", "is_retried", "outcome"),
    [
        (Failure.NOT_SENT, False, True, None),
        (Failure.REFUSED, False, True, None),
        (Failure.BROKEN, False, False, Outcome.UNKNOWN),
        (Failure.TIMED_OUT, False, False, Outcome.UNKNOWN),
        (Failure.MISMATCHED, False, False, Outcome.UNKNOWN),
        (Failure.BROKEN, True, True, None),
        (Failure.MISMATCHED, True, True, None),
    ],
)
def test_only_repeatable_or_never_executed_requests_are_retried(
    failure: Failure, may_repeat: bool, is_retried: bool, outcome: Outcome | None
) -> None:
    harness = DispatcherHarness(may_repeat=may_repeat)
    start = find_start(harness.submit_request(1))
    actions = harness.dispatcher.fail_attempt(start.attempt, failure)
    assert any(isinstance(action, Start) for action in actions) is is_retried
    refusals = [action for action in actions if isinstance(action, Refuse)]
    assert [item.outcome for item in refusals] == ([outcome] if outcome else [])


def test_retry_goes_to_another_replica() -> None:
    harness = DispatcherHarness()
    start = find_start(harness.submit_request(1))
    retry = find_start(harness.dispatcher.fail_attempt(start.attempt, Failure.BROKEN))
    assert retry.replica != start.replica


def test_request_is_refused_after_max_failures() -> None:
    harness = DispatcherHarness()
    actions = harness.submit_request(1)
    for _ in range(MAX_FAILURES):
        harness.clock.advance(2.0)
        actions = actions or harness.dispatcher.process_timeouts()
        actions = harness.dispatcher.fail_attempt(
            find_start(actions).attempt, Failure.REFUSED
        )
    (refusal,) = [action for action in actions if isinstance(action, Refuse)]
    assert refusal.reason is Reason.RETRIES_EXHAUSTED
    assert refusal.outcome is Outcome.NOT_RUN


def test_request_is_refused_after_seconds_without_replicas() -> None:
    harness = DispatcherHarness()
    harness.dispatcher.set_replicas([], entry_count=1)
    assert harness.submit_request(1) == []
    harness.clock.advance(4.0)
    assert harness.dispatcher.process_timeouts() == []
    harness.clock.advance(2.0)
    (refusal,) = harness.dispatcher.process_timeouts()
    assert isinstance(refusal, Refuse)
    assert (refusal.reason, refusal.outcome) == (Reason.NO_UPSTREAM, Outcome.NOT_RUN)


def test_slot_is_freed_when_the_caller_disconnects() -> None:
    harness = DispatcherHarness()
    start = find_start(harness.submit_request(1))
    (cancel, *_) = harness.dispatcher.cancel_request(start.request.id)
    assert isinstance(cancel, Cancel) and not cancel.requeued
    assert harness.dispatcher.attempts == {}
    assert harness.dispatcher.complete_attempt(start.attempt) == []


def test_quarantined_request_is_refused_without_queueing() -> None:
    harness = DispatcherHarness()
    harness.quarantine.add_fingerprint(Fingerprint("f3"))
    (refusal,) = harness.submit_request(3)
    assert isinstance(refusal, Refuse)
    assert (refusal.reason, refusal.retry_after) == (Reason.QUARANTINED, None)


def test_request_goes_to_a_replica_with_its_model() -> None:
    harness = DispatcherHarness()
    loads = tuple(
        ReplicaLoad(
            key=hash_name(InstanceId(name)),
            load=0,
            limit=4,
            hard_limit=6,
            token_gap_us=0,
            models=(hash_name(model),),
        )
        for name, model in (("r1", "other"), ("r2", "m"))
    )
    grant = Grant(
        pool=POOL, slots=(0, 0, 0, 0, 8), ttl_ms=1000, preempting_tier=0, replicas=loads
    )
    harness.dispatcher.apply_grant(grant)
    starts = [find_start(harness.submit_request(2)) for _ in range(4)]
    assert {start.replica for start in starts} == {InstanceId("r2")}
    assert harness.submit_request(2) == [], (
        "the other replica has capacity but not the model"
    )
