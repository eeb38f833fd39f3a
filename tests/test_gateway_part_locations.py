"""
Tests of the locations of cached prompt parts
=============================================
"""

import pytest

from damasklead.clock import ManualClock
from damasklead.gateway.calls import Call, PromptPart
from damasklead.gateway.part_locations import (
    MAX_PARTS,
    MAX_REPLICAS_PER_PART,
    MIN_TOKENS,
    PartLocations,
)
from damasklead.gateway.placements import EnginePlacement
from damasklead.gateway.routing import EngineSpec, ServiceSpec
from damasklead.ids import DataCentre, InstanceId
from damasklead.util import hash_name
from tests.gateway_kit import SERVICE
from tests.test_gateway_decisions import (
    CHAT,
    LOCAL_DATA_CENTRE,
    REVIEW,
    make_call,
    make_record,
)

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
            make_record(f"e{number}", address=f"127.0.0.1:{number + 1}")
            for number in range(9)
        )

    def send(self, call: Call) -> tuple[InstanceId, str | None]:
        """Send a request; return its engine and the address that it copies from."""
        chosen = self.placement.choose_replica(call)
        assert chosen is not None
        source = self.placement.find_copy_source(chosen.instance, call)
        self.placement.record_sent(chosen.instance, call)
        return chosen.instance, source


def test_requests_go_to_the_engine_that_has_their_parts_cached() -> None:
    cell = Cell(ManualClock())
    engine, source = cell.send(review("r1"))
    assert source is None
    assert cell.send(review("r2")) == (engine, None)


def test_parts_of_an_engine_with_a_long_backlog_are_copied() -> None:
    cell = Cell(ManualClock())
    engine, _ = cell.send(review("r1"))
    long = tuple(PromptPart(f"long{number}", 40_000) for number in range(2))
    for number in range(4):
        cell.placement.record_sent(engine, review(f"x{number}", long))
    chosen, source = cell.send(review("r3"))
    assert chosen != engine
    assert source == f"127.0.0.1:{int(engine[1:]) + 1}"


def test_all_coordinators_send_an_unknown_part_to_the_same_engine() -> None:
    found = {Cell(ManualClock()).send(review("r"))[0] for _ in range(8)}
    assert len(found) == 1


def test_nothing_is_copied_from_a_restarted_engine() -> None:
    clock = ManualClock()
    cell = Cell(clock)
    engine, _ = cell.send(review("r1"))
    records = [
        make_record(
            f"e{number}",
            address=f"127.0.0.1:{number + 1}",
            incarnation=2 if f"e{number}" == engine else 1,
        )
        for number in range(9)
    ]
    cell.placement.update_replicas(records)
    for item in records:
        assert cell.placement.find_copy_source(item.instance, review("r2")) is None


def test_nothing_is_copied_from_an_engine_that_left() -> None:
    clock = ManualClock()
    cell = Cell(clock)
    engine, _ = cell.send(review("r1"))
    cell.placement.update_replicas(
        make_record(f"e{number}") for number in range(9) if f"e{number}" != engine
    )
    chosen, source = cell.send(review("r2"))
    assert chosen != engine and source is None


def test_short_parts_are_not_recorded() -> None:
    locations = PartLocations(clock=ManualClock())
    locations.record_sent("small", MIN_TOKENS - 1, InstanceId("e1"))
    assert not locations.find_replicas("small")


class AdvancingClock(ManualClock):
    """A clock that advances with each reading, as a real one does."""

    def now(self) -> float:
        self.advance(1e-6)
        return super().now()


def test_a_choice_looks_up_each_part_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cell = Cell(AdvancingClock())
    lookups: list[str] = []
    find_replicas = PartLocations.find_replicas

    def record_lookup(locations: PartLocations, name: str) -> dict[int, float]:
        lookups.append(name)
        return find_replicas(locations, name)

    monkeypatch.setattr(PartLocations, "find_replicas", record_lookup)
    assert cell.placement.choose_replica(review("r1")) is not None
    assert lookups == ["contract", "subject"]


def test_the_number_of_records_is_limited() -> None:
    locations = PartLocations(clock=ManualClock())
    for number in range(2 * MAX_REPLICAS_PER_PART):
        locations.record_sent("hot", MIN_TOKENS, InstanceId(f"e{number}"))
    assert len(locations.find_replicas("hot")) == MAX_REPLICAS_PER_PART
    assert hash_name(f"e{2 * MAX_REPLICAS_PER_PART - 1}") in locations.find_replicas(
        "hot"
    )
    for number in range(MAX_PARTS + 1):
        locations.record_sent(f"p{number}", MIN_TOKENS, InstanceId("e1"))
    assert not locations.find_replicas("hot")


def test_a_request_with_unknown_parts_stays_in_its_data_centre() -> None:
    clock = ManualClock()
    cell = Cell(clock, centre=str(LOCAL_DATA_CENTRE))
    cell.placement.update_replicas(
        make_record(
            f"e{number}", data_centre=DataCentre(("hout", "mossel")[number % 2])
        )
        for number in range(10)
    )
    centres = set()
    for number in range(5):
        parts = (PromptPart(f"s{number}", 3000), PromptPart(f"o{number}", 3000))
        call = review(f"r{number}", parts)
        call.body = bytes(12_000)
        chosen = cell.placement.choose_replica(call)
        assert chosen is not None
        centres.add(chosen.data_centre)
    assert centres == {LOCAL_DATA_CENTRE}


def test_the_prefill_estimate_excludes_parts_that_any_engine_has_cached() -> None:
    cell = Cell(ManualClock())
    uncached = cell.placement.estimate_prefill_seconds(review("r1"))
    engine, _ = cell.send(review("r1"))
    assert cell.placement.estimate_prefill_seconds(review("r2")) < uncached / 2
    cell.placement.update_replicas(
        make_record(f"e{number}") for number in range(9) if f"e{number}" != engine
    )
    assert cell.placement.estimate_prefill_seconds(review("r3")) == uncached
