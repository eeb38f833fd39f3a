"""
Tests of where prompt parts are
===============================
"""

import pytest

from damasklead.clock import ManualClock
from damasklead.gateway.calls import Call, PromptPart
from damasklead.gateway.partplaces import (
    MAX_PARTS,
    MAX_REPLICAS_PER_PART,
    MIN_TOKENS,
    PartLocations,
)
from damasklead.gateway.placements import EnginePlacement
from damasklead.gateway.routing import EngineSpec, ServiceSpec
from damasklead.ids import DataCentre, InstanceId
from damasklead.util import short_key
from tests.gatewaykit import SERVICE
from tests.test_gateway_parts import CHAT, HERE, REVIEW, make_call, record

PARTS = (
    PromptPart("contract", 2500),
    PromptPart("subject", 3700),
    PromptPart("own", 2900),
)


def review(name: str, parts: tuple[PromptPart, ...] = PARTS) -> Call:
    return make_call(
        name, REVIEW, parts=parts, tokens=sum(part.tokens for part in parts)
    )


class Cell:
    """The placement of one cell."""

    def __init__(self, clock: ManualClock, centre: str = "hout") -> None:
        service = ServiceSpec(
            name=SERVICE,
            max_connections=100,
            engine=EngineSpec(slots=64, memory_tokens=250_000, tokens_per_event=4),
        )
        self.placement = EnginePlacement(
            service=service, clock=clock, data_centre=DataCentre(centre)
        )
        self.placement.configure(service, [CHAT, REVIEW])
        self.placement.update_replicas(
            record(f"e{number}", address=f"127.0.0.1:{number + 1}")
            for number in range(9)
        )

    def send(self, call: Call) -> tuple[InstanceId, str | None]:
        """Place a request; returns the engine and from where it copies."""
        chosen = self.placement.choose_replica(call)
        assert chosen is not None
        source = self.placement.find_copy_source(chosen.instance, call)
        self.placement.record_sent(chosen.instance, call)
        return chosen.instance, source


def test_a_part_that_was_sent_before_is_found_there() -> None:
    cell = Cell(ManualClock())
    engine, source = cell.send(review("r1"))
    assert source is None
    assert cell.send(review("r2")) == (engine, None)


def test_what_an_engine_with_much_to_read_has_is_copied() -> None:
    cell = Cell(ManualClock())
    engine, _ = cell.send(review("r1"))
    long = tuple(PromptPart(f"long{number}", 40_000) for number in range(2))
    for number in range(4):
        cell.placement.record_sent(engine, review(f"x{number}", long))
    chosen, source = cell.send(review("r3"))
    assert chosen != engine
    assert source == f"127.0.0.1:{int(engine[1:]) + 1}"


def test_every_coordinator_sends_a_new_subject_to_the_same_engine() -> None:
    found = {Cell(ManualClock()).send(review("r"))[0] for _ in range(8)}
    assert len(found) == 1


def test_an_engine_that_started_again_is_no_source() -> None:
    clock = ManualClock()
    gateway = Cell(clock)
    engine, _ = gateway.send(review("r1"))
    records = [
        record(
            f"e{number}",
            address=f"127.0.0.1:{number + 1}",
            incarnation=2 if f"e{number}" == engine else 1,
        )
        for number in range(9)
    ]
    gateway.placement.update_replicas(records)
    for item in records:
        assert gateway.placement.find_copy_source(item.instance, review("r2")) is None


def test_an_engine_that_left_is_no_source() -> None:
    clock = ManualClock()
    gateway = Cell(clock)
    engine, _ = gateway.send(review("r1"))
    gateway.placement.update_replicas(
        record(f"e{number}") for number in range(9) if f"e{number}" != engine
    )
    chosen, source = gateway.send(review("r2"))
    assert chosen != engine and source is None


def test_small_parts_are_not_remembered() -> None:
    places = PartLocations(clock=ManualClock())
    places.record_sent("small", MIN_TOKENS - 1, InstanceId("e1"))
    assert not places.find_replicas("small")


class MovingClock(ManualClock):
    """Goes on between any two looks, as a real one does."""

    def now(self) -> float:
        self.advance(1e-6)
        return super().now()


def test_one_choice_looks_once_where_the_parts_are(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    gateway = Cell(MovingClock())
    looks: list[str] = []
    replicas = PartLocations.find_replicas

    def look(places: PartLocations, name: str) -> dict[int, float]:
        looks.append(name)
        return replicas(places, name)

    monkeypatch.setattr(PartLocations, "find_replicas", look)
    assert gateway.placement.choose_replica(review("r1")) is not None
    assert looks == ["contract", "subject"]


def test_what_is_remembered_is_bounded() -> None:
    places = PartLocations(clock=ManualClock())
    for number in range(2 * MAX_REPLICAS_PER_PART):
        places.record_sent("hot", MIN_TOKENS, InstanceId(f"e{number}"))
    assert len(places.find_replicas("hot")) == MAX_REPLICAS_PER_PART
    assert short_key(f"e{2 * MAX_REPLICAS_PER_PART - 1}") in places.find_replicas("hot")
    for number in range(MAX_PARTS + 1):
        places.record_sent(f"p{number}", MIN_TOKENS, InstanceId("e1"))
    assert not places.find_replicas("hot")


def test_a_first_request_stays_in_its_data_centre() -> None:
    clock = ManualClock()
    gateway = Cell(clock, centre=str(HERE))
    gateway.placement.update_replicas(
        record(f"e{number}", data_centre=DataCentre(("hout", "mossel")[number % 2]))
        for number in range(10)
    )
    centres = set()
    for number in range(5):
        parts = (PromptPart(f"s{number}", 3000), PromptPart(f"o{number}", 3000))
        call = review(f"r{number}", parts)
        call.body = bytes(12_000)
        chosen = gateway.placement.choose_replica(call)
        assert chosen is not None
        centres.add(chosen.data_centre)
    assert centres == {HERE}


def test_what_some_engine_has_need_not_be_read_before_a_request_is_weighed() -> None:
    cell = Cell(ManualClock())
    alone = cell.placement.estimate_prefill_seconds(review("r1"))
    engine, _ = cell.send(review("r1"))
    assert cell.placement.estimate_prefill_seconds(review("r2")) < alone / 2
    cell.placement.update_replicas(
        record(f"e{number}") for number in range(9) if f"e{number}" != engine
    )
    assert cell.placement.estimate_prefill_seconds(review("r3")) == alone
