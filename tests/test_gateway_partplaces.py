"""
Tests of where prompt parts are
===============================
"""

import pytest

from damasklead.clock import ManualClock
from damasklead.gateway.calls import Call, PromptPart
from damasklead.gateway.partplaces import (
    LEAST_TOKENS,
    MOST_PARTS,
    MOST_PLACES,
    PartPlaces,
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
        self.placement.retain(
            record(f"e{number}", address=f"127.0.0.1:{number + 1}")
            for number in range(9)
        )

    def send(self, call: Call) -> tuple[InstanceId, str | None]:
        """Place a request; returns the engine and from where it copies."""
        chosen = self.placement.choose(call)
        assert chosen is not None
        source = self.placement.copy_source(chosen.instance, call)
        self.placement.sent(chosen.instance, call)
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
        cell.placement.sent(engine, review(f"x{number}", long))
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
    gateway.placement.retain(records)
    for item in records:
        assert gateway.placement.copy_source(item.instance, review("r2")) is None


def test_an_engine_that_left_is_no_source() -> None:
    clock = ManualClock()
    gateway = Cell(clock)
    engine, _ = gateway.send(review("r1"))
    gateway.placement.retain(
        record(f"e{number}") for number in range(9) if f"e{number}" != engine
    )
    chosen, source = gateway.send(review("r2"))
    assert chosen != engine and source is None


def test_small_parts_are_not_remembered() -> None:
    places = PartPlaces(clock=ManualClock())
    places.sent("small", LEAST_TOKENS - 1, InstanceId("e1"))
    assert not places.replicas("small")


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
    replicas = PartPlaces.replicas

    def look(places: PartPlaces, name: str) -> dict[int, float]:
        looks.append(name)
        return replicas(places, name)

    monkeypatch.setattr(PartPlaces, "replicas", look)
    assert gateway.placement.choose(review("r1")) is not None
    assert looks == ["contract", "subject"]


def test_what_is_remembered_is_bounded() -> None:
    places = PartPlaces(clock=ManualClock())
    for number in range(2 * MOST_PLACES):
        places.sent("hot", LEAST_TOKENS, InstanceId(f"e{number}"))
    assert len(places.replicas("hot")) == MOST_PLACES
    assert short_key(f"e{2 * MOST_PLACES - 1}") in places.replicas("hot")
    for number in range(MOST_PARTS + 1):
        places.sent(f"p{number}", LEAST_TOKENS, InstanceId("e1"))
    assert not places.replicas("hot")


def test_a_first_request_stays_in_its_data_centre() -> None:
    clock = ManualClock()
    gateway = Cell(clock, centre=str(HERE))
    gateway.placement.retain(
        record(f"e{number}", data_centre=DataCentre(("hout", "mossel")[number % 2]))
        for number in range(10)
    )
    centres = set()
    for number in range(5):
        parts = (PromptPart(f"s{number}", 3000), PromptPart(f"o{number}", 3000))
        call = review(f"r{number}", parts)
        call.body = bytes(12_000)
        chosen = gateway.placement.choose(call)
        assert chosen is not None
        centres.add(chosen.data_centre)
    assert centres == {HERE}


def test_what_some_engine_has_need_not_be_read_before_a_request_is_weighed() -> None:
    cell = Cell(ManualClock())
    alone = cell.placement.reading_of(review("r1"))
    engine, _ = cell.send(review("r1"))
    assert cell.placement.reading_of(review("r2")) < alone / 2
    cell.placement.retain(
        record(f"e{number}") for number in range(9) if f"e{number}" != engine
    )
    assert cell.placement.reading_of(review("r3")) == alone
