"""
Tests of the speeds of replicas
===============================

The load header's fourth figure, the estimate of speeds, and the decisions that use it.
"""

import random
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest

from damasklead.clock import ManualClock
from damasklead.experiment.description import Experiment, check_experiment
from damasklead.experiment.fleet import run_experiment
from damasklead.experiment.policies import POLICIES
from damasklead.failures import Failure
from damasklead.findings import Findings
from damasklead.gateway.calls import LoadHint, ResponseHead
from damasklead.gateway.coordination.cells import Cell
from damasklead.gateway.coordination.messages import PrefillDone
from damasklead.gateway.placements import EnginePlacement, PlainPlacement
from damasklead.gateway.replica_speeds import ReplicaSpeeds
from damasklead.gateway.routing import EngineSpec, ServiceSpec
from damasklead.ids import AttemptId, DataCentre, InstanceId
from damasklead.platform.headers import PlatformDialect
from tests.gateway_kit import (
    IDEMPOTENT,
    SERVICE,
    ForwarderHarness,
    ScriptedReplica,
    make_response,
)
from tests.test_gateway_decisions import (
    CHAT,
    LOCAL_DATA_CENTRE,
    REVIEW,
    add_prefill,
    make_call,
    make_record,
)
from tests.test_gateway_responses import make_harness

EXPERIMENTS = Path(__file__).parent.parent / "experiments"
A, B = InstanceId("a"), InstanceId("b")


@pytest.fixture
def harnesses() -> Iterator[list[ForwarderHarness]]:
    created_harnesses: list[ForwarderHarness] = []
    yield created_harnesses
    for harness in created_harnesses:
        harness.stop()


def classify(load: bytes) -> ResponseHead:
    headers = [
        (b"Attempt-Id", b"a1"),
        (b"Response-Signature", b"s"),
        (b"Backend-Load", load),
    ]
    return PlatformDialect().classify_response(
        status=200, headers=headers, attempt=AttemptId("a1")
    )


class TestHeader:
    @pytest.mark.parametrize(
        ("value", "load"),
        [
            (b"3", LoadHint(3, 0, 0)),
            (b"3,1", LoadHint(3, 1, 0)),
            (b"3,1,8", LoadHint(3, 1, 8)),
            (b"3,1,8,100", LoadHint(3, 1, 8, 1.0)),
            (b"3, 1, 8, 250", LoadHint(3, 1, 8, 2.5)),
            (b"3,1,8,60,7,x", LoadHint(3, 1, 8, 0.6)),
            (b"3,1,8,5", LoadHint(3, 1, 8, 0.05)),
            (b"3,1,8,10000", LoadHint(3, 1, 8, 100.0)),
        ],
    )
    def test_valid_figures_are_used(self, value: bytes, load: LoadHint) -> None:
        """A header of other than three figures was ignored as a whole."""
        reply = classify(value)
        assert reply.load == load and not reply.dropped_figure

    @pytest.mark.parametrize(
        "value",
        [b"", b"x", b"3,,8", b"3,1,x,100", b"-3,1,8,100", b"3,1,9999999999,100"],
    )
    def test_an_invalid_load_is_dropped_and_named(self, value: bytes) -> None:
        """Guards against loads that are ignored without a log line."""
        reply = classify(value)
        assert reply.load is None
        assert 0 < len(reply.dropped_figure) <= 32

    @pytest.mark.parametrize(
        "figure",
        [b"", b" ", b"x", b"nan", b"inf", b"-inf", b"-100", b"0", b"4", b"10001",
         b"1e999", b"9" * 500],
    )  # fmt: skip
    def test_an_invalid_speed_is_dropped_and_the_load_used(self, figure: bytes) -> None:
        """A replica of slowdown 0, infinity or NaN would get all requests or none."""
        reply = classify(b"3,1,8," + figure)
        assert reply.load == LoadHint(3, 1, 8)
        assert 0 < len(reply.dropped_figure) <= 32

    def test_dropped_figures_are_logged_at_a_limited_rate(
        self, harnesses: list[ForwarderHarness]
    ) -> None:
        """Each response of a faulty replica would write a line."""

        def respond(replica: ScriptedReplica, connection: object) -> None:
            attempt = replica.receive_request(connection)
            load = "Backend-Load: 3,1,8,fast\r\n"
            connection.sendall(make_response(attempt, extra_headers=load))

        harness = make_harness(harnesses, respond)
        for number in range(5):
            response = harness.send_request("/read/1", attempt=f"a{number}")
            assert response.startswith(b"HTTP/1.1 200")
        (line,) = harness.get_log_lines("load-figure-dropped")
        assert "fast" in line


class TestMessages:
    def encode(self, load: LoadHint) -> bytes:
        cell = Cell(SERVICE, DataCentre("hout"), 0)
        return msgspec.msgpack.encode(PrefillDone("g", cell, AttemptId("r"), load))

    def test_the_slowdown_reaches_the_coordinator(self) -> None:
        message = msgspec.msgpack.decode(
            self.encode(LoadHint(1, 0, 8, 2.5)), type=PrefillDone
        )
        assert message.load == LoadHint(1, 0, 8, 2.5)

    def test_without_a_slowdown_the_message_is_that_of_older_versions(self) -> None:
        """Deployments whose replicas don't state it must send the same messages."""
        fields = msgspec.msgpack.decode(self.encode(LoadHint(1, 0, 8)))
        assert fields[4] == {"running": 1, "waiting": 0, "slots": 8}


class TestSpeeds:
    def setup_method(self) -> None:
        self.clock = ManualClock(start=100.0)
        self.speeds = ReplicaSpeeds(clock=self.clock)

    def test_a_figure_decays_to_what_the_replica_stated_lately(self) -> None:
        """A slowdown of half a second was believed for ever without new requests."""
        for _ in range(50):
            self.speeds.record_stated(A, 1.0)
            self.clock.advance(0.1)
        self.speeds.record_stated(A, 2.5)
        assert self.speeds.get_slowdown(A) == pytest.approx(2.5)
        self.clock.advance(3.0)
        assert self.speeds.get_slowdown(A) < 1.2

    def test_a_replica_that_is_always_slow_stays_so_without_new_figures(self) -> None:
        for _ in range(100):
            self.speeds.record_stated(A, 2.0)
            self.clock.advance(0.1)
        self.clock.advance(3.0)
        assert self.speeds.get_slowdown(A) > 1.8

    def record_times(self, factors: dict[InstanceId, float]) -> None:
        """Record service times, where a replica sometimes states a slowdown."""
        rng = random.Random(7)
        for _ in range(150):
            for instance, factor in factors.items():
                stated = rng.choice([1.0, 1.0, 1.0, 2.5])
                self.speeds.record_stated(instance, stated)
                work = rng.uniform(0.05, 0.3)
                self.speeds.record_service_time(
                    instance,
                    "first event",
                    observed=rng.uniform(0.6, 1.6) * work * stated * factor,
                    expected=work,
                )
            self.clock.advance(0.2)
        self.clock.advance(5.0)

    def test_the_base_speed_is_learned_beside_what_is_stated(self) -> None:
        """Replicas of 0.6 times the speed that state 100 got as much as the others."""
        factors = {A: 1.67, B: 0.62, **{InstanceId(f"r{n}"): 1.0 for n in range(5)}}
        self.record_times(factors)
        usual = self.speeds.get_slowdown(InstanceId("r0"))
        assert self.speeds.get_slowdown(A) > 1.4 * usual
        assert self.speeds.get_slowdown(B) < 0.8 * usual

    def test_a_few_times_move_a_replica_little(self) -> None:
        self.record_times({InstanceId(f"r{n}"): 1.0 for n in range(5)})
        self.speeds.record_stated(A, 1.0)
        self.speeds.record_service_time(A, "first event", observed=0.3, expected=0.1)
        self.clock.advance(5.0)
        assert self.speeds.get_slowdown(A) < 1.3

    def test_a_suspended_gateway_does_not_take_a_replica_for_slow(self) -> None:
        """After a freeze of seconds all observed times are as long as the freeze."""
        self.record_times({A: 1.0, **{InstanceId(f"r{n}"): 1.0 for n in range(5)}})
        self.speeds.record_service_time(A, "first event", observed=60.0, expected=0.1)
        self.clock.advance(1.0)
        self.record_times({InstanceId(f"r{n}"): 1.0 for n in range(5)})
        assert self.speeds.get_slowdown(A) < 1.4

    def test_times_don_t_count_until_a_replica_states_its_speed(self) -> None:
        """Services whose replicas don't state it are served as before."""
        for instance, factor in ((A, 1.0), (B, 9.0)):
            for _ in range(50):
                self.clock.advance(0.1)
                self.speeds.record_service_time(
                    instance, "first event", observed=factor, expected=1.0
                )
        assert self.speeds.get_slowdown(B) == 1.0

    def test_a_restarted_replica_begins_anew(self) -> None:
        self.speeds.record_stated(A, 2.5)
        self.speeds.remove_replica(A)
        assert self.speeds.get_slowdown(A) == 1.0


class TestEngines:
    def make_placement(self) -> EnginePlacement:
        self.clock = ManualClock()
        service = ServiceSpec(
            name=SERVICE,
            max_connections=100,
            engine=EngineSpec(slots=64, memory_tokens=100_000, tokens_per_event=4),
        )
        placement = EnginePlacement(
            service=service, clock=self.clock, data_centre=LOCAL_DATA_CENTRE
        )
        placement.configure(service, [CHAT, REVIEW])
        placement.update_replicas(make_record(f"e{number}") for number in range(9))
        return placement

    def list_open_engines(self, placement: EnginePlacement) -> list[InstanceId]:
        return [
            item
            for item in placement.eligible_instances
            if item not in placement.reserved_instances
        ]

    def test_a_slow_engine_gets_less_work(self) -> None:
        placement = self.make_placement()
        slow, *_ = engines = self.list_open_engines(placement)
        for instance in engines:
            figure = 2.5 if instance == slow else 1.0
            placement.record_response_head(instance, LoadHint(1, 0, 64, figure))
            add_prefill(placement, instance, 4000)
        chosen = []
        for number in range(12):
            call = make_call(f"r{number}", REVIEW, tokens=6000)
            record = placement.choose_replica(call)
            assert record is not None
            placement.record_sent(record.instance, call)
            chosen.append(record.instance)
        assert slow not in chosen

    def test_capacity_is_the_time_that_the_backlog_takes(self) -> None:
        """Engines that were 2.5 times slower got 2.5 times the backlog allowed."""
        placement = self.make_placement()
        call = make_call("r", REVIEW, tokens=9000)
        for instance in self.list_open_engines(placement):
            add_prefill(placement, instance, 8000)
        assert placement.has_capacity_for(call)
        for instance in self.list_open_engines(placement):
            placement.record_response_head(instance, LoadHint(1, 0, 64, 2.5))
        assert not placement.has_capacity_for(call)

    def test_the_estimated_start_follows_the_speed_of_all_engines(self) -> None:
        """Requests were queued until it was too late for another engine."""
        placement = self.make_placement()
        call = make_call("r", REVIEW, tokens=9000)
        usual = placement.estimate_pool_prefill_seconds(call)
        for instance in placement.eligible_instances:
            placement.record_response_head(instance, LoadHint(1, 0, 64, 2.0))
        assert placement.estimate_pool_prefill_seconds(call) == pytest.approx(2 * usual)

    def test_a_slow_reserved_engine_prefills_less_between_events(self) -> None:
        placement = self.make_placement()
        for instance in self.list_open_engines(placement):
            add_prefill(placement, instance, 300_000)
        short = make_call("r", REVIEW, tokens=2500)
        record = placement.choose_replica(short)
        assert record is not None and record.instance in placement.reserved_instances
        for instance in placement.reserved_instances:
            placement.record_response_head(instance, LoadHint(1, 0, 64, 2.5))
        record = placement.choose_replica(short)
        assert record is not None
        assert record.instance not in placement.reserved_instances

    def test_a_restart_ends_what_is_known_of_the_speed(self) -> None:
        placement = self.make_placement()
        call = make_call("r", REVIEW, tokens=9000)
        usual = placement.estimate_pool_prefill_seconds(call)
        for instance in placement.eligible_instances:
            placement.record_response_head(instance, LoadHint(1, 0, 64, 2.0))
        placement.update_replicas(
            make_record(f"e{number}", incarnation=2) for number in range(9)
        )
        assert placement.estimate_pool_prefill_seconds(call) == pytest.approx(usual)


class TestHealth:
    def make_placement(self, figure: float | None) -> PlainPlacement:
        self.clock = ManualClock(start=10.0)
        service = ServiceSpec(name=SERVICE, max_connections=100)
        placement = PlainPlacement(
            service=service, clock=self.clock, data_centre=LOCAL_DATA_CENTRE
        )
        placement.update_replicas([make_record("a"), make_record("b")])
        if figure is not None:
            placement.record_response_head(A, LoadHint(0, 0, 8, figure))
            placement.record_response_head(B, LoadHint(0, 0, 8, 1.0))
        return placement

    def choose(self, placement: PlainPlacement, name: str) -> InstanceId:
        record = placement.choose_replica(make_call(name, IDEMPOTENT))
        assert record is not None
        return record.instance

    def test_a_fast_replica_is_preferred(self) -> None:
        placement = self.make_placement(2.5)
        assert {self.choose(placement, f"r{n}") for n in range(20)} == {B}

    @pytest.mark.parametrize(("figure", "is_failure"), [(2.5, False), (None, True)])
    def test_a_slow_replica_is_not_a_failed_one(
        self, figure: float | None, is_failure: bool
    ) -> None:
        """A time-out at a slow replica excluded it for seconds."""
        placement = self.make_placement(figure)
        for n in range(6):
            call = make_call(f"b{n}", IDEMPOTENT)
            placement.record_sent(B, call)
        call = make_call("q", IDEMPOTENT)
        placement.record_sent(A, call)
        placement.record_failure(A, call, Failure.TIMED_OUT)
        self.clock.advance(0.2)
        assert (self.choose(placement, "r") == B) is is_failure


def load_experiment(**changes: object) -> Experiment:
    text = (EXPERIMENTS / "urgent-streams.jsonc").read_text()
    experiment = check_experiment(text, file="", findings=Findings())
    assert experiment is not None
    return msgspec.structs.replace(experiment, **changes)


def test_figures_that_are_stated_raise_what_urgent_streams_earn() -> None:
    """
    Engines of three speeds that are slow at times got as much work as the others.

    Without the figures all engines count as equally fast.
    """
    experiment = load_experiment(seconds=12.0, faults=[])
    silent = msgspec.structs.replace(
        experiment,
        engines=msgspec.structs.replace(experiment.engines, reports_slowdown=False),
    )
    earned = [
        sum(
            run_experiment(item, POLICIES["shipped"], seed)
            .summarize_by_kind()["chat"]
            .attainment
            for seed in range(1, 6)
        )
        for item in (experiment, silent)
    ]
    assert earned[0] > earned[1]
