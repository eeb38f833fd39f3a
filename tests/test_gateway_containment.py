"""
Tests of the containment of requests that crash replicas
========================================================
"""

import gevent
import msgspec

from damasklead.clock import ManualClock
from damasklead.gateway.calls import Call, CallHead, UpstreamRecord, UpstreamState
from damasklead.gateway.containment import (
    CONFIRM_SECONDS,
    CRASHES_TO_REFUSE,
    Containment,
    CrashNote,
    fingerprint_of,
)
from damasklead.gateway.messages import PeerReport
from damasklead.ids import AttemptId, DataCentre, Fingerprint, InstanceId
from tests.gatewaykit import IDEMPOTENT, SERVICE, ScriptedReplica, World

# Retries that may still reach replicas after the third crash.
MOST_LATER_RETRIES = 3


def call(path: str, number: int = 0) -> Call:
    return Call(
        head=CallHead(
            method="POST",
            target=path,
            host="koue.example",
            attempt=AttemptId(f"a{number}"),
            patience=None,
            key=None,
        ),
        route=IDEMPOTENT,
        service=SERVICE,
        workspace=None,
        arrival=0.0,
        deadline=5.0,
        caller_deadline=5.0,
        tier=0,
    )


def replica(name: str, incarnation: int = 1) -> UpstreamRecord:
    return UpstreamRecord(
        instance=InstanceId(name),
        service=SERVICE,
        address="127.0.0.1:1",
        data_centre=DataCentre("hout"),
        state=UpstreamState.LIVE,
        incarnation=incarnation,
    )


class Fleet:
    """Gateways that hear of each other's crashes."""

    def __init__(self, gateways: int) -> None:
        self.clock = ManualClock()
        self.named: list[Fingerprint] = []
        self.gateways = [
            Containment(clock=self.clock, named=self.named.append)
            for _ in range(gateways)
        ]

    def crash(self, record: UpstreamRecord, calls: list[list[Call]]) -> None:
        """Let a replica crash that ran these calls of each gateway."""
        for gateway, own in zip(self.gateways, calls, strict=True):
            for item in own:
                gateway.broke(record, item)
            gateway.unreachable(record)

    def exchange(self) -> None:
        """Let all tell their notes, and a second pass."""
        for gateway in self.gateways:
            for other in self.gateways:
                other.take(gateway.notes)
        self.clock.advance(1.1)
        for gateway in self.gateways:
            gateway.tick()


def test_a_request_that_crashes_replicas_is_refused_by_all_gateways() -> None:
    fleet = Fleet(8)
    poison, runs = call("/poison"), 0
    for number in range(12):
        gateway = number % 8
        if fleet.gateways[gateway].refuses(poison):
            continue
        runs += 1
        calls = [[call(f"/{number}/{index}")] for index in range(8)]
        calls[gateway].append(poison)
        fleet.crash(replica(f"r{number}"), calls)
        fleet.exchange()
    assert runs <= CRASHES_TO_REFUSE + MOST_LATER_RETRIES
    assert all(gateway.refuses(poison) for gateway in fleet.gateways)
    assert not fleet.gateways[0].refuses(call("/0/0"))


def test_a_common_request_is_not_blamed_for_crashes_that_it_was_near() -> None:
    fleet = Fleet(2)
    for number in range(9):
        for gateway in fleet.gateways:
            gateway.ended_well(call("/stock"))
        fleet.crash(replica(f"r{number}"), [[call("/stock")], [call("/stock")]])
        fleet.exchange()
    assert not fleet.named


def test_a_success_after_crashes_clears_a_request() -> None:
    fleet = Fleet(1)
    for number in range(9):
        fleet.crash(replica(f"r{number}"), [[call("/stock")]])
        fleet.exchange()
        if number == CRASHES_TO_REFUSE - 2:
            fleet.gateways[0].ended_well(call("/stock"))
            break
    fleet.clock.advance(120.0)
    fleet.crash(replica("r10"), [[call("/stock")]])
    fleet.exchange()
    assert not fleet.named


def test_resets_by_replicas_that_stay_are_no_crashes() -> None:
    fleet = Fleet(1)
    (gateway,) = fleet.gateways
    records = [replica(f"r{number}") for number in range(9)]
    for record in records:
        gateway.broke(record, call("/reset"))
        gateway.retain(records)
        fleet.exchange()
    fleet.clock.advance(CONFIRM_SECONDS)
    gateway.tick()
    gateway.retain([])
    fleet.exchange()
    assert not fleet.named
    assert not gateway.notes


def test_a_replica_that_comes_back_under_its_id_has_crashed() -> None:
    fleet = Fleet(1)
    (gateway,) = fleet.gateways
    for number in range(CRASHES_TO_REFUSE):
        gateway.broke(replica("r1", number), call("/poison"))
        gateway.retain([replica("r1", number + 1)])
        fleet.exchange()
    assert fleet.named == [fingerprint_of(call("/poison"))]


def test_notes_go_through_a_datagram() -> None:
    note = CrashNote(InstanceId("r1"), 7, (Fingerprint("f"),))
    message = PeerReport("gateway-1", [note], [])
    data = msgspec.msgpack.encode(message)
    assert msgspec.msgpack.decode(data, type=PeerReport) == message


def test_a_gateway_stops_sending_a_request_that_crashes_replicas() -> None:
    """Each replica that reads it closes its connections and its listener."""

    def crash(this: ScriptedReplica, connection: object) -> None:
        this.next_request(connection)
        this.stop()

    world = World([ScriptedReplica(f"r{number}", crash) for number in range(9)])
    try:
        answers = []
        for _ in range(9):
            answers.append(world.ask("/read/1"))
            world.containment.retain([])
            gevent.sleep(1.1)
            world.containment.tick()
        runs = sum(len(item.requests) for item in world.replicas)
        assert CRASHES_TO_REFUSE <= runs <= CRASHES_TO_REFUSE + MOST_LATER_RETRIES
        assert answers[-1].startswith(b"HTTP/1.1 503")
        assert b"retry-after" in answers[-1].lower()
        assert world.quarantined
    finally:
        world.stop()
