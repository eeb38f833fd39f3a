"""
Tests of admission
==================

Each replays the load pattern that a decision is made for, on a manual clock.
"""

from damasklead.clock import ManualClock
from damasklead.gateway.admission import (
    MAX_DELAY_FRACTION,
    MAX_QUEUE_LENGTH,
    PREFILL_ESTIMATE_INTERVAL_SECONDS,
    AdmissionController,
    Admit,
    Reject,
)
from damasklead.gateway.calls import Call, CallHead
from damasklead.gateway.routing import Route, RouteKind, RouteName, Workspace
from damasklead.ids import AttemptId, ServiceName, WorkspaceId

LLM = ServiceName("llm")


def make_route(name: str, tier: int, target: float, timeout: float) -> Route:
    return Route(
        name=RouteName(name), host="h", prefix=f"/{name}/", kind=RouteKind.STREAM,
        timeout=timeout, target=target, tier=tier, split=((LLM, 1.0),), event_gap=0.3,
    )  # fmt: skip


REVIEW = make_route("review", 2, 1.5, 5.0)
QUOTE = make_route("quote", 1, 0.5, 3.0)


CHAT = make_route("chat", 0, 0.25, 15.0)


def make_workspace(name: str | None) -> Workspace | None:
    return None if name is None else Workspace(name=WorkspaceId(name), keys=())


class AdmissionHarness:
    """
    An admission controller and its decisions.

    ``capacity`` is the number of requests that may still be admitted.
    """

    def __init__(self, *, capacity: int) -> None:
        self.clock = ManualClock(start=100.0)
        self.capacity = capacity
        self.prefill_seconds: dict[str, float] = {}
        self.admission = AdmissionController(
            clock=self.clock,
            has_capacity_for=lambda call: self.capacity > 0,
            bypasses_queue=lambda call: call.route is CHAT,
            estimate_prefill_seconds=lambda call: self.prefill_seconds.get(
                call.id, 0.0
            ),
        )
        self.admitted: list[str] = []
        self.rejected: dict[str, Reject] = {}

    def submit_call(
        self,
        name: str,
        route: Route,
        *,
        caller_timeout: float | None = None,
        prompt_tokens: int = 0,
        tier: int | None = None,
        workspace: str | None = None,
    ) -> None:
        now = self.clock.now()
        caller_timeout = route.timeout if caller_timeout is None else caller_timeout
        head = CallHead(
            method="POST", target="/", host="h", attempt=AttemptId(name),
            caller_timeout=caller_timeout, key=None, prompt_tokens=prompt_tokens,
        )  # fmt: skip
        call = Call(
            head=head, route=route, service=LLM, workspace=make_workspace(workspace),
            arrival=now,
            deadline=now + min(caller_timeout, route.timeout),
            caller_deadline=now + caller_timeout,
            tier=route.tier if tier is None else tier,
        )  # fmt: skip
        self._record_decision(self.admission.submit_call(call))

    def add_capacity(self, slots: int) -> None:
        self.capacity += slots
        self.decide_all()

    def decide_all(self) -> None:
        while (decision := self.admission.decide_next()) is not None:
            self._record_decision(decision)

    def _record_decision(self, decision: Admit | Reject | None) -> None:
        if isinstance(decision, Admit):
            self.admitted.append(decision.call.id)
            self.capacity -= decision.call.route is not CHAT
        elif decision is not None:
            self.rejected[decision.call.id] = decision


def test_requests_are_admitted_at_once_while_there_is_capacity() -> None:
    harness = AdmissionHarness(capacity=40)
    for number in range(40):
        harness.submit_call(f"r{number}", REVIEW)
    assert len(harness.admitted) == 40 and harness.admission.queue_length == 0


def test_a_burst_is_queued_for_capacity_and_no_request_is_lost() -> None:
    harness = AdmissionHarness(capacity=4)
    for number in range(30):
        harness.submit_call(f"r{number}", REVIEW)
    assert len(harness.admitted) == 4 and harness.admission.queue_length == 26
    for _ in range(13):
        harness.clock.advance(0.1)
        harness.add_capacity(2)
    assert len(harness.admitted) == 30 and not harness.rejected


def test_streams_with_a_short_target_are_not_queued_behind_a_burst() -> None:
    harness = AdmissionHarness(capacity=0)
    for number in range(30):
        harness.submit_call(f"r{number}", REVIEW)
    harness.submit_call("c", CHAT)
    assert harness.admitted == ["c"]


def test_more_urgent_tiers_are_admitted_first() -> None:
    harness = AdmissionHarness(capacity=0)
    for number in range(9):
        harness.submit_call(f"r{number}", REVIEW)
    harness.submit_call("q", QUOTE)
    harness.add_capacity(1)
    assert harness.admitted == ["q"]


def test_the_tier_precedes_the_remaining_time() -> None:
    harness = AdmissionHarness(capacity=0)
    harness.submit_call("r", REVIEW)
    harness.clock.advance(1.2)
    harness.submit_call("q", QUOTE)
    harness.add_capacity(1)
    assert harness.admitted == ["q"]


def test_requests_that_can_meet_their_target_precede_late_ones() -> None:
    harness = AdmissionHarness(capacity=0)
    harness.submit_call("old", REVIEW)
    harness.clock.advance(1.6)
    harness.submit_call("fresh", REVIEW)
    harness.add_capacity(1)
    assert harness.admitted == ["fresh"]
    harness.add_capacity(1)
    assert harness.admitted == ["fresh", "old"]


def test_a_caller_that_retries_precedes_earlier_arrivals() -> None:
    harness = AdmissionHarness(capacity=0)
    harness.submit_call("first", REVIEW)
    harness.submit_call("back", REVIEW, caller_timeout=4.2)
    harness.add_capacity(1)
    assert harness.admitted == ["back"]


def test_late_requests_are_admitted_after_the_burst() -> None:
    harness = AdmissionHarness(capacity=0)
    for number in range(6):
        harness.submit_call(f"r{number}", REVIEW)
    harness.clock.advance(3.0)
    harness.add_capacity(6)
    assert len(harness.admitted) == 6


def test_expired_requests_are_rejected_with_jittered_retry_times() -> None:
    harness = AdmissionHarness(capacity=0)
    for number in range(8):
        harness.submit_call(f"q{number}", QUOTE)
    harness.clock.advance(2.35)
    harness.decide_all()
    retry_seconds = [item.retry_after for item in harness.rejected.values()]
    assert len(retry_seconds) == 8 and len(set(retry_seconds)) > 3
    assert all(0.1 <= seconds <= 0.65 / 3 for seconds in retry_seconds)


def test_a_full_queue_rejects_at_once() -> None:
    harness = AdmissionHarness(capacity=0)
    for number in range(MAX_QUEUE_LENGTH + 3):
        harness.submit_call(f"r{number}", REVIEW)
    assert len(harness.rejected) == 3


class TestUncachedPrefill:
    """
    A burst of long prompts with many different prefixes: some are cached, the others
    take an engine five times as long.
    """

    def make_harness(self) -> AdmissionHarness:
        harness = AdmissionHarness(capacity=0)
        for number in range(10):
            name = f"r{number}"
            harness.prefill_seconds[name] = 0.45 if number % 2 else 0.09
            harness.submit_call(name, REVIEW)
            harness.clock.advance(0.02)
        return harness

    def test_requests_with_a_cached_prefix_are_admitted_first(self) -> None:
        harness = self.make_harness()
        harness.add_capacity(5)
        assert harness.admitted == [f"r{number}" for number in range(0, 10, 2)]
        harness.add_capacity(5)
        assert len(harness.admitted) == 10

    def test_a_request_with_a_long_prefill_is_not_delayed_for_long(self) -> None:
        harness = AdmissionHarness(capacity=0)
        harness.prefill_seconds["long"] = 60.0
        harness.submit_call("long", REVIEW)
        harness.clock.advance(MAX_DELAY_FRACTION * REVIEW.target + 0.01)
        harness.submit_call("short", REVIEW)
        harness.add_capacity(1)
        assert harness.admitted == ["long"]

    def test_a_prefix_that_was_prefilled_in_the_meantime_counts_as_cached(self) -> None:
        harness = AdmissionHarness(capacity=0)
        harness.prefill_seconds["first"] = 0.45
        harness.submit_call("first", REVIEW)
        harness.clock.advance(0.05)
        harness.submit_call("second", REVIEW)
        harness.decide_all()
        harness.prefill_seconds["first"] = 0.0
        harness.clock.advance(1.1 * PREFILL_ESTIMATE_INTERVAL_SECONDS)
        harness.add_capacity(1)
        assert harness.admitted == ["first"]


class TestPromptSizesInALongBurst:
    """
    For seconds, twice as many prompts arrive as the engines can prefill.  A tenth of
    them is five times as long as the others and has to be prefilled in full.
    """

    SHORT_TOKENS = 6_000
    LONG_TOKENS = 30_000
    BURST_SECONDS = 10.0
    ARRIVALS_PER_SECOND = 100

    def run_burst(
        self, *, long_tier: int = REVIEW.tier, short_tier: int = REVIEW.tier
    ) -> tuple[float, float]:
        """Return the admitted fractions of long and of short prompts."""
        harness = AdmissionHarness(capacity=0)
        count = int(self.BURST_SECONDS * self.ARRIVALS_PER_SECOND)
        for number in range(count):
            is_long = number % 10 == 0
            name = f"long-{number}" if is_long else f"short-{number}"
            harness.prefill_seconds[name] = 0.8 if is_long else 0.0
            harness.submit_call(
                name,
                REVIEW,
                prompt_tokens=self.LONG_TOKENS if is_long else self.SHORT_TOKENS,
                tier=long_tier if is_long else short_tier,
            )
            harness.clock.advance(1 / self.ARRIVALS_PER_SECOND)
            harness.add_capacity(number % 2)
        long_count = sum(name.startswith("long") for name in harness.admitted)
        return (
            long_count / (0.1 * count),
            (len(harness.admitted) - long_count) / (0.9 * count),
        )

    def test_long_prompts_are_admitted_at_least_half_as_often_as_others(self) -> None:
        long_fraction, short_fraction = self.run_burst()
        assert short_fraction < 0.6
        assert long_fraction >= 0.5 * short_fraction

    def test_long_prompts_of_a_less_urgent_tier_wait(self) -> None:
        long_fraction, short_fraction = self.run_burst(long_tier=REVIEW.tier + 1)
        assert long_fraction < 0.2 < short_fraction

    def test_long_prompts_of_a_more_urgent_tier_go_first(self) -> None:
        long_fraction, short_fraction = self.run_burst(long_tier=REVIEW.tier - 1)
        assert long_fraction > 0.9 > short_fraction


class TestWorkspacesInALongBurst:
    """
    For seconds, more prompts arrive than the engines can prefill.  One workspace in
    twenty requests asks about subjects that aren't cached.
    """

    BURST_SECONDS = 10.0

    def run_burst(
        self,
        *,
        is_named: bool = True,
        arrivals_per_second: int = 100,
        tier: int = REVIEW.tier,
    ) -> tuple[float, float]:
        """Return the admitted fractions of the small and of the large workspace."""
        harness = AdmissionHarness(capacity=0)
        count = int(self.BURST_SECONDS * arrivals_per_second)
        for number in range(count):
            is_small = number % 20 == 0
            name = f"small-{number}" if is_small else f"large-{number}"
            harness.prefill_seconds[name] = 0.8 if is_small else 0.0
            harness.submit_call(
                name,
                REVIEW,
                prompt_tokens=6000,
                tier=tier if is_small else REVIEW.tier,
                workspace=name.partition("-")[0] if is_named else None,
            )
            harness.clock.advance(1 / arrivals_per_second)
            harness.add_capacity(number % (arrivals_per_second // 50) == 0)
        small_count = sum(name.startswith("small") for name in harness.admitted)
        return (
            small_count / (0.05 * count),
            (len(harness.admitted) - small_count) / (0.95 * count),
        )

    def test_each_workspace_is_served_a_quarter_as_often_as_all(self) -> None:
        small, large = self.run_burst()
        assert small >= 0.25 * large
        small, large = self.run_burst(is_named=False)
        assert small < 0.25 * large

    def test_a_full_queue_has_a_place_for_a_workspace_that_is_not_served(self) -> None:
        """With ten times as many requests, the queue was always full for others."""
        small, large = self.run_burst(arrivals_per_second=1000)
        assert small >= 0.25 * large

    def test_a_workspace_of_a_less_urgent_tier_waits(self) -> None:
        small, large = self.run_burst(tier=REVIEW.tier + 1)
        assert small < 0.25 * large

    def test_a_full_queue_refuses_the_least_urgent_request(self) -> None:
        """A new request of a more urgent tier was refused instead."""
        harness = AdmissionHarness(capacity=0)
        for number in range(MAX_QUEUE_LENGTH):
            harness.submit_call(f"r{number}", REVIEW, workspace="large")
        harness.submit_call("q", REVIEW, tier=REVIEW.tier - 1, workspace="small")
        harness.submit_call("z", REVIEW, workspace="large")
        harness.decide_all()
        assert len(harness.rejected) == 2
        assert "q" not in harness.rejected and "z" in harness.rejected
        assert harness.admission.queue_length == MAX_QUEUE_LENGTH
