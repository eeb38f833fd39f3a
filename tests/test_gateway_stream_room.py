"""
Tests of room for urgent streams
================================

Less urgent prompts on the engines of urgent streams.
"""

from pathlib import Path

import msgspec
import pytest

from damasklead.clock import ManualClock
from damasklead.experiment.description import Experiment, check_experiment
from damasklead.experiment.fleet import run_experiment
from damasklead.experiment.policies import POLICIES
from damasklead.experiment.tally import Result, Tally
from damasklead.failures import Failure
from damasklead.findings import Findings
from damasklead.gateway.calls import LoadHint, PromptPart
from damasklead.gateway.placements import EnginePlacement
from damasklead.gateway.routing import EngineSpec, Route, ServiceSpec
from damasklead.gateway.stream_room import StreamRoom
from damasklead.ids import InstanceId
from tests.gateway_kit import SERVICE
from tests.test_gateway_decisions import (
    CHAT as CHAT_OF_ANY_TIER,
    LOCAL_DATA_CENTRE,
    REVIEW as REVIEW_OF_ANY_TIER,
    add_prefill,
    make_call,
    make_record,
)

EXPERIMENT = Path(__file__).parent.parent / "experiments" / "urgent-streams.jsonc"
SEEDS = range(1, 6)
CHAT = msgspec.structs.replace(CHAT_OF_ANY_TIER, tier=0, event_gap=0.3)
REVIEW = msgspec.structs.replace(REVIEW_OF_ANY_TIER, tier=2, event_gap=1.2)
SHARED = (PromptPart("contract", 2500), PromptPart("subject", 3800))


class TestRoom:
    def compute(self, room: StreamRoom, **changes: float) -> float:
        values: dict = {"pending_seconds": 0.0, "slowdown": 1.0, "engine_count": 2}
        return room.compute_room(**(values | changes))

    def test_a_burst_of_urgent_prompts_takes_the_room_and_gives_it_back(self) -> None:
        """
        Their prompts came on top of long ones, and their streams missed the gap target.
        """
        clock = ManualClock(start=5.0)
        room = StreamRoom(clock=clock, event_gap=0.3)
        calm = self.compute(room)
        assert calm > 0
        for _ in range(100):
            room.record_urgent(0.02)
            clock.advance(0.01)
        assert self.compute(room) < 0
        clock.advance(10.0)
        assert self.compute(room) == pytest.approx(calm)

    def test_slow_engines_and_pending_prompts_leave_less_room(self) -> None:
        clock = ManualClock(start=5.0)
        room = StreamRoom(clock=clock, event_gap=0.3)
        room.record_urgent(0.1)
        usual = self.compute(room)
        assert self.compute(room, slowdown=2.5) < usual
        assert self.compute(room, pending_seconds=0.1) < usual
        assert self.compute(room, engine_count=8) > usual


class TestPlacement:
    def make_placement(
        self,
        *routes: Route,
        count: int = 9,
        kind: type[EnginePlacement] | None = None,
        states_speeds: bool = True,
    ) -> EnginePlacement:
        self.clock = ManualClock(start=10.0)
        service = ServiceSpec(
            name=SERVICE,
            max_connections=100,
            engine=EngineSpec(slots=64, memory_tokens=100_000, tokens_per_event=7),
        )
        placement = (kind or EnginePlacement)(
            service=service, clock=self.clock, data_centre=LOCAL_DATA_CENTRE
        )
        placement.configure(service, routes or (CHAT, REVIEW))
        placement.update_replicas(make_record(f"e{number}") for number in range(count))
        if states_speeds:
            record = next(iter(placement.eligible_instances))
            placement.record_response_head(record, LoadHint(0, 0, 64, 1.0))
        return placement

    def fill_open_engines(self, placement: EnginePlacement) -> None:
        for instance in placement.eligible_instances:
            if instance not in placement.reserved_instances:
                add_prefill(placement, instance, 300_000)

    def choose(
        self,
        placement: EnginePlacement,
        name: str,
        *,
        tokens: int,
        shared: bool = False,
    ) -> bool:
        """Return whether a review is assigned to a reserved engine."""
        parts = (*SHARED, PromptPart(name, tokens)) if shared else ()
        total = tokens + sum(part.tokens for part in SHARED) if shared else tokens
        call = make_call(name, REVIEW, parts=parts, tokens=total)
        record = placement.choose_replica(call)
        assert record is not None
        return record.instance in placement.reserved_instances

    def add_chats(self, placement: EnginePlacement, count: int) -> None:
        """Send chats whose prompts are prefilled before the next one arrives."""
        for number in range(count):
            call = make_call(f"c{number}", CHAT, tokens=2000)
            record = placement.choose_replica(call)
            assert record is not None
            placement.record_sent(record.instance, call)
            placement.record_stream_event(record.instance, call)
            self.clock.advance(0.01)

    def test_a_burst_of_chats_keeps_long_prompts_off_their_engines(self) -> None:
        """More than half of the chats of a burst missed their gap target."""
        placement = self.make_placement()
        self.fill_open_engines(placement)
        assert self.choose(placement, "r1", tokens=4000)
        self.add_chats(placement, 40)
        assert not self.choose(placement, "r2", tokens=4000)
        self.clock.advance(10.0)
        assert self.choose(placement, "r3", tokens=4000)

    def test_engines_that_state_no_speed_are_served_as_without_the_rule(self) -> None:
        """Guards deployments whose engines have machines of their own."""
        placement = self.make_placement(states_speeds=False)
        self.fill_open_engines(placement)
        self.add_chats(placement, 40)
        assert self.choose(placement, "r", tokens=4000)

    def test_running_requests_that_are_taken_over_are_no_burst(self) -> None:
        """
        A new coordinator knows their number and not their tiers, and put short prompts
        of other tiers behind seconds of prefill, with an idle engine beside.
        """
        placement = self.make_placement()
        self.fill_open_engines(placement)
        for number in range(9):
            call = make_call(f"x{number}", CHAT, tokens=30_000)
            placement.record_running(InstanceId("e0"), call)
        assert self.choose(placement, "r", tokens=4000)

    def test_a_slow_engine_takes_shorter_prompts_between_events(self) -> None:
        placement = self.make_placement()
        self.fill_open_engines(placement)
        assert self.choose(placement, "r1", tokens=4000)
        for instance in placement.reserved_instances:
            placement.record_response_head(instance, LoadHint(1, 0, 64, 2.5))
        assert not self.choose(placement, "r2", tokens=4000)
        assert self.choose(placement, "r3", tokens=1500)

    def send_shared(self, placement: EnginePlacement) -> tuple[InstanceId, object]:
        """Send a prompt with the shared parts to an engine that isn't reserved."""
        parts = (*SHARED, PromptPart("first", 100))
        call = make_call("first", REVIEW, parts=parts, tokens=6400)
        holder = min(
            set(placement.eligible_instances) - set(placement.reserved_instances)
        )
        placement.record_sent(holder, call)
        return holder, call

    def test_parts_count_as_cached_once_they_are_prefilled(self) -> None:
        """
        Prompts of 2,900 tokens to prefill turned out to have 9,200, since the engine
        that they were copied from hadn't prefilled their shared parts yet.
        """
        placement = self.make_placement()
        holder, call = self.send_shared(placement)
        self.fill_open_engines(placement)
        assert not self.choose(placement, "r1", tokens=1000, shared=True)
        placement.record_stream_event(holder, call)
        assert self.choose(placement, "r2", tokens=1000, shared=True)

    @pytest.mark.parametrize("is_listed", [True, False])
    def test_parts_don_t_count_as_cached_after_a_crash(self, is_listed: bool) -> None:
        """The list shows a crash seconds later; requests that break off at once."""
        placement = self.make_placement()
        holder, call = self.send_shared(placement)
        placement.record_stream_event(holder, call)
        self.fill_open_engines(placement)
        assert self.choose(placement, "r1", tokens=1000, shared=True)
        if is_listed:
            placement.update_replicas(
                make_record(f"e{number}", incarnation=1 + (f"e{number}" == holder))
                for number in range(9)
            )
        else:
            placement.record_failure(holder, call, Failure.BROKEN)
        placement.record_sent(
            holder, make_call("again", REVIEW, parts=(*SHARED,), tokens=6300)
        )
        assert not self.choose(placement, "r2", tokens=1000, shared=True)

    @pytest.mark.parametrize(
        "routes",
        [
            (CHAT, msgspec.structs.replace(REVIEW, tier=0)),
            (msgspec.structs.replace(CHAT, tier=2), REVIEW),
            (msgspec.structs.replace(CHAT, tier=3), REVIEW),
            (CHAT, msgspec.structs.replace(REVIEW, event_gap=None)),
            (CHAT, msgspec.structs.replace(REVIEW, event_gap=0.31)),
        ],
    )
    def test_other_configurations_are_served_as_before(
        self, routes: tuple[Route, ...]
    ) -> None:
        """Only streams with gap targets of different tiers ask for the rule."""
        placement = self.make_placement(*routes)
        reference = self.make_placement(*routes, kind=_WithoutRoom)
        for number in range(60):
            route = routes[number % 2]
            parts = (*SHARED, PromptPart(f"own-{number}", 900))
            call = make_call(f"r{number}", route, parts=parts, tokens=7200)
            chosen = [item.choose_replica(call) for item in (placement, reference)]
            assert chosen[0] is not None and chosen[0] == chosen[1]
            for item in (placement, reference):
                item.record_sent(chosen[0].instance, call)
                if number % 3:
                    item.record_stream_event(chosen[0].instance, call)


class _WithoutRoom(EnginePlacement):
    """Takes less urgent prompts regardless of the room for urgent streams."""

    def _configure_room(self, routes: list[Route]) -> None:
        self._room = None


def load_experiment() -> Experiment:
    findings = Findings()
    experiment = check_experiment(EXPERIMENT.read_text(), file="", findings=findings)
    assert experiment is not None
    return msgspec.structs.replace(experiment, seconds=13.0)


def run_seeds(experiment: Experiment) -> list[Tally]:
    return [run_experiment(experiment, POLICIES["shipped"], seed) for seed in SEEDS]


def count_late_chats(tallies: list[Tally]) -> int:
    return sum(
        tally.summarize_by_kind()["chat"].counts[Result.LATE] for tally in tallies
    )


def test_fewer_chats_of_a_burst_are_late_and_every_kind_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Replays a burst of chats together with long prompts, with crashes in it."""
    experiment = load_experiment()
    with_room = run_seeds(experiment)
    monkeypatch.setattr(
        EnginePlacement, "_configure_room", _WithoutRoom._configure_room
    )
    assert count_late_chats(with_room) < count_late_chats(run_seeds(experiment))
    for tally in with_room:
        for kind in tally.summarize_by_kind().values():
            assert kind.counts[Result.IN_TIME] > 0
