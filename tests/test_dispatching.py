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
    WorkspaceId,
)
from damasklead.learning import CostModel
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


class Bench:
    """A dispatcher with two replicas of four slots and a class in each tier."""

    def __init__(self, *, may_repeat: bool = True) -> None:
        self.clock = ManualClock()
        self.quarantine = Quarantine(clock=self.clock)
        self.classes = {
            tier: RequestClass(
                name=ClassName(f"t{tier}"),
                service=ServiceName("s"),
                tier=tier,
                first_token=1.0,
                may_repeat=may_repeat,
                queue_bound=50,
            )
            for tier in range(1, 6)
        }
        numbers = itertools.count(1)
        self.pool = PoolDispatcher(
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
            costs=CostModel(),
            quarantine=self.quarantine,
            new_attempt_id=lambda: AttemptId(f"a{next(numbers)}"),
        )
        self.made = itertools.count(1)
        infos = [
            ReplicaInfo(instance=InstanceId(name), data_centre=DataCentre("x"))
            for name in ("r1", "r2")
        ]
        self.pool.set_replicas(infos, entry_count=1)
        self.grant(lowest=8)

    def grant(self, *, lowest: int, pressed: int = 0, hard: int = 6) -> list[Action]:
        loads = tuple(
            ReplicaLoad(
                key=hash_name(InstanceId(name)),
                load=0,
                limit=4,
                hard_limit=hard,
                token_gap_us=0,
            )
            for name in ("r1", "r2")
        )
        return self.pool.apply_grant(
            Grant(
                pool=POOL,
                slots=(0, 0, 0, 0, lowest),
                ttl_ms=100_000,
                preempting_tier=pressed,
                replicas=loads,
            )
        )

    def submit(self, tier: int, *, is_preemptable: bool = True) -> list[Action]:
        request = Request(
            id=RequestId(f"q{next(self.made)}"),
            workspace=WorkspaceId("w"),
            request_class=self.classes[tier],
            arrival=self.clock.now(),
            fingerprint=Fingerprint(f"f{tier}"),
            model="m",
        )
        return self.pool.submit_request(request, is_preemptable=is_preemptable)


def start_of(actions: list[Action]) -> Start:
    return next(action for action in actions if isinstance(action, Start))


def test_a_request_starts_at_once_when_there_is_room() -> None:
    bench = Bench()
    start = start_of(bench.submit(3))
    assert start.replica in ("r1", "r2")
    bench.pool.record_events(start.attempt, event_count=7)
    (done, *_) = bench.pool.complete_attempt(start.attempt)
    assert isinstance(done, Finish) and done.tokens == 7


def test_load_is_spread_over_replicas() -> None:
    bench = Bench()
    replicas = [start_of(bench.submit(3)).replica for _ in range(8)]
    assert replicas.count(InstanceId("r1")) == 4
    assert bench.submit(3) == []
    assert bench.pool.queue_length == 1


def test_a_higher_tier_takes_the_place_of_a_lower_one_that_goes_on_later() -> None:
    bench = Bench()
    bench.grant(lowest=8, hard=4)
    starts = [start_of(bench.submit(5)) for _ in range(8)]
    for start in starts:
        bench.pool.record_events(start.attempt, event_count=10)
    assert bench.submit(2) == [], "only the top tier makes others give way"
    actions = bench.submit(1)
    cancels = [action for action in actions if isinstance(action, Cancel)]
    assert [item.request.tier for item in cancels] == [5]
    assert cancels[0].requeued
    assert start_of(actions).request.tier == 1
    second = bench.pool.complete_attempt(start_of(actions).attempt)
    bench.pool.complete_attempt(start_of(second).attempt)
    resumed = [
        attempt.request
        for attempt in bench.pool.attempts.values()
        if attempt.request.generated_tokens == 10 and attempt.event_count == 0
    ]
    assert len(resumed) == 1


def test_what_cannot_go_on_without_loss_is_not_preempted() -> None:
    bench = Bench()
    bench.grant(lowest=8, hard=4)
    for _ in range(8):
        bench.submit(5, is_preemptable=False)
    assert not any(isinstance(action, Cancel) for action in bench.submit(1))
    assert bench.pool.queue_length == 1


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
def test_no_higher_tier_gives_way_to_a_lower_one(calls: list[tuple[str, int]]) -> None:
    """Whatever comes: cancelled is only what is lower than something that waits."""
    bench = Bench()
    for kind, value in calls:
        attempts = list(bench.pool.attempts)
        waiting = bench.pool.build_demand().waiting
        actions: list[Action] = []
        if kind == "submit":
            actions = bench.submit(value)
            waiting = tuple(
                count + (tier == value) for tier, count in enumerate(waiting, start=1)
            )
        elif kind == "finish" and attempts:
            bench.pool.record_events(attempts[value % len(attempts)], event_count=3)
            actions = bench.pool.complete_attempt(attempts[value % len(attempts)])
        elif kind == "fail" and attempts:
            actions = bench.pool.fail_attempt(
                attempts[value % len(attempts)], Failure.BROKEN
            )
        elif kind == "grant":
            pressed = next((t for t in range(4, 0, -1) if waiting[t - 1]), 0)
            actions = bench.grant(lowest=value, pressed=pressed)
        elif kind == "tick":
            bench.clock.advance(value)
            actions = bench.pool.process_timeouts()
        highest = next((t for t in range(1, 6) if waiting[t - 1]), 6)
        for action in actions:
            if isinstance(action, Cancel) and kind != "tick":
                assert action.request.tier > highest
        starts = [action.attempt for action in actions if isinstance(action, Start)]
        assert len(set(starts)) == len(starts)
    running = bench.pool.build_demand().running
    assert sum(running) == len(bench.pool.attempts)


@pytest.mark.parametrize(
    ("failure", "may_repeat", "retried", "outcome"),
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
def test_only_what_may_repeat_or_surely_never_ran_is_tried_again(
    failure: Failure, may_repeat: bool, retried: bool, outcome: Outcome | None
) -> None:
    bench = Bench(may_repeat=may_repeat)
    start = start_of(bench.submit(1))
    actions = bench.pool.fail_attempt(start.attempt, failure)
    assert any(isinstance(action, Start) for action in actions) is retried
    refused = [action for action in actions if isinstance(action, Refuse)]
    assert [item.outcome for item in refused] == ([outcome] if outcome else [])


def test_a_retry_goes_to_another_replica() -> None:
    bench = Bench()
    start = start_of(bench.submit(1))
    again = start_of(bench.pool.fail_attempt(start.attempt, Failure.BROKEN))
    assert again.replica != start.replica


def test_failures_are_bounded_and_the_caller_is_told() -> None:
    bench = Bench()
    actions = bench.submit(1)
    for _ in range(MAX_FAILURES):
        bench.clock.advance(2.0)
        actions = actions or bench.pool.process_timeouts()
        actions = bench.pool.fail_attempt(start_of(actions).attempt, Failure.REFUSED)
    (refused,) = [action for action in actions if isinstance(action, Refuse)]
    assert refused.reason is Reason.RETRIES_EXHAUSTED
    assert refused.outcome is Outcome.NOT_RUN


def test_without_any_upstream_the_answer_comes_within_seconds() -> None:
    bench = Bench()
    bench.pool.set_replicas([], entry_count=1)
    assert bench.submit(1) == []
    bench.clock.advance(4.0)
    assert bench.pool.process_timeouts() == []
    bench.clock.advance(2.0)
    (refused,) = bench.pool.process_timeouts()
    assert isinstance(refused, Refuse)
    assert (refused.reason, refused.outcome) == (Reason.NO_UPSTREAM, Outcome.NOT_RUN)


def test_a_caller_that_goes_away_frees_its_slot() -> None:
    bench = Bench()
    start = start_of(bench.submit(1))
    (cancel, *_) = bench.pool.cancel_request(start.request.id)
    assert isinstance(cancel, Cancel) and not cancel.requeued
    assert bench.pool.attempts == {}
    assert bench.pool.complete_attempt(start.attempt) == []


def test_a_named_request_is_refused_before_it_waits() -> None:
    bench = Bench()
    bench.quarantine.name(Fingerprint("f3"))
    (refused,) = bench.submit(3)
    assert isinstance(refused, Refuse)
    assert (refused.reason, refused.retry_after) == (Reason.QUARANTINED, None)


def test_a_request_goes_where_its_model_is_loaded() -> None:
    bench = Bench()
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
    bench.pool.apply_grant(grant)
    starts = [start_of(bench.submit(2)) for _ in range(4)]
    assert {start.replica for start in starts} == {InstanceId("r2")}
    assert bench.submit(2) == [], "the other replica has room but not the model"
