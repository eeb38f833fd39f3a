"""
Tests of the containment of requests that crash replicas
========================================================
"""

import gevent
import msgspec
import pytest

from damasklead.clock import ManualClock
from damasklead.crash_attribution import MAX_SUSPECT_EVENTS, MIN_CRASHES
from damasklead.gateway.calls import (
    Call,
    CallHead,
    PromptPart,
    UpstreamRecord,
    UpstreamState,
)
from damasklead.gateway.crash_containment import (
    CRASH_CONFIRM_SECONDS,
    Containment,
    compute_fingerprint,
)
from damasklead.gateway.crash_reports import CrashReport, CrashSign, ObservedCrash
from damasklead.gateway.messages import PeerReport
from damasklead.ids import AttemptId, DataCentre, Fingerprint, InstanceId
from tests.gateway_kit import (
    IDEMPOTENT,
    SERVICE,
    ForwarderHarness,
    ScriptedReplica,
    make_chunk,
    make_event,
    make_stream_head,
)

# Retries that may still be sent to replicas after the third crash.
MAX_LATE_RETRIES = 3


def call(path: str, number: int = 0) -> Call:
    return Call(
        head=CallHead(
            method="POST",
            target=path,
            host="koue.example",
            attempt=AttemptId(f"a{number}"),
            caller_timeout=None,
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
    """Gateways that report crashes to each other."""

    def __init__(self, gateways: int) -> None:
        self.clock = ManualClock()
        self.quarantined: list[Fingerprint] = []
        self.gateways = [
            Containment(clock=self.clock, on_quarantine=self.quarantined.append)
            for _ in range(gateways)
        ]

    def crash(
        self, record: UpstreamRecord, calls: list[list[Call]], *, event_count: int = 0
    ) -> None:
        """
        Simulate the crash of a replica that executed these calls of each gateway, and
        had sent this number of events of each.
        """
        for gateway, own in zip(self.gateways, calls, strict=True):
            for item in own:
                gateway.record_broken_response(record, item, event_count=event_count)
            gateway.record_connection_failure(record)

    def exchange(self) -> None:
        """Exchange all crash reports and advance the clock by 1.1 s."""
        for gateway in self.gateways:
            for other in self.gateways:
                other.record_crash_reports(gateway.recent_crashes)
        self.clock.advance(1.1)
        for gateway in self.gateways:
            gateway.update_quarantine()


def test_a_request_that_crashes_replicas_is_refused_by_all_gateways() -> None:
    fleet = Fleet(8)
    poison, runs = call("/poison"), 0
    for number in range(12):
        gateway = number % 8
        if fleet.gateways[gateway].should_refuse(poison):
            continue
        runs += 1
        calls = [[call(f"/{number}/{index}")] for index in range(8)]
        calls[gateway].append(poison)
        fleet.crash(replica(f"r{number}"), calls)
        fleet.exchange()
    assert runs <= MIN_CRASHES + MAX_LATE_RETRIES
    assert all(gateway.should_refuse(poison) for gateway in fleet.gateways)
    assert not fleet.gateways[0].should_refuse(call("/0/0"))


@pytest.mark.parametrize("event_count", [1, MAX_SUSPECT_EVENTS, 20])
def test_a_request_that_crashes_replicas_after_some_events_is_refused(
    event_count: int,
) -> None:
    """Broken responses of two events and more weren't recorded at all."""
    fleet = Fleet(2)
    poison, sound, runs = call("/poison"), [], 0
    for number in range(12):
        gateway = number % 2
        if fleet.gateways[gateway].should_refuse(poison):
            continue
        runs += 1
        calls = [[call(f"/{number}/{index}")] for index in range(2)]
        sound += [*calls[0], *calls[1]]
        calls[gateway].append(poison)
        fleet.crash(replica(f"r{number}"), calls, event_count=event_count)
        fleet.exchange()
    assert runs <= MIN_CRASHES + MAX_LATE_RETRIES
    for item in fleet.gateways:
        assert item.should_refuse(poison)
        assert not any(item.should_refuse(other) for other in sound)


def test_a_stream_that_goes_on_beside_a_crashing_one_is_released() -> None:
    """A sound stream may be cut off by as many crashes as the request that causes them."""
    fleet = Fleet(1)
    (gateway,) = fleet.gateways
    poison, sound = call("/poison"), call("/stream")
    for number in range(MIN_CRASHES + 1):
        calls = [poison, sound] if number < MIN_CRASHES else [poison]
        fleet.crash(replica(f"r{number}"), [calls], event_count=MAX_SUSPECT_EVENTS)
        fleet.exchange()
    assert gateway.should_refuse(poison)
    assert not gateway.should_refuse(sound)


def test_a_frequent_stream_is_not_blamed_for_crashes_of_others() -> None:
    """Long streams are on the crashing replica more often than any others."""
    fleet = Fleet(2)
    for number in range(9):
        for gateway in fleet.gateways:
            gateway.record_success(call("/stream"))
        calls = [[call("/stream")], [call("/stream")]]
        fleet.crash(replica(f"r{number}"), calls, event_count=20)
        fleet.exchange()
    assert not fleet.quarantined
    assert not any(gateway.recent_crashes for gateway in fleet.gateways)


def test_parts_of_a_stream_that_sent_events_are_not_blamed() -> None:
    """The replica has read all parts of the prompt before its first event."""
    fleet = Fleet(1)
    (gateway,) = fleet.gateways
    prompt = (PromptPart("shared", 100), PromptPart("own", 9))
    for number in range(9):
        item = call(f"/{number}")
        item.head = msgspec.structs.replace(item.head, prompt=prompt)
        fleet.crash(replica(f"r{number}"), [[item]], event_count=MAX_SUSPECT_EVENTS)
        fleet.exchange()
    assert not fleet.quarantined
    assert gateway.recent_crashes


def test_a_frequent_request_is_not_blamed_for_crashes_of_others() -> None:
    fleet = Fleet(2)
    for number in range(9):
        for gateway in fleet.gateways:
            gateway.record_success(call("/stock"))
        fleet.crash(replica(f"r{number}"), [[call("/stock")], [call("/stock")]])
        fleet.exchange()
    assert not fleet.quarantined


def test_a_success_after_crashes_clears_a_request() -> None:
    fleet = Fleet(1)
    for number in range(9):
        fleet.crash(replica(f"r{number}"), [[call("/stock")]])
        fleet.exchange()
        if number == MIN_CRASHES - 2:
            fleet.gateways[0].record_success(call("/stock"))
            break
    fleet.clock.advance(120.0)
    fleet.crash(replica("r10"), [[call("/stock")]])
    fleet.exchange()
    assert not fleet.quarantined


def test_resets_by_listed_replicas_are_no_crashes() -> None:
    fleet = Fleet(1)
    (gateway,) = fleet.gateways
    records = [replica(f"r{number}") for number in range(9)]
    for record in records:
        gateway.record_broken_response(record, call("/reset"))
        gateway.update_replicas(records)
        fleet.exchange()
    fleet.clock.advance(CRASH_CONFIRM_SECONDS)
    gateway.update_quarantine()
    gateway.update_replicas([])
    fleet.exchange()
    assert not fleet.quarantined
    assert not gateway.recent_crashes


def test_a_replica_listed_in_a_new_incarnation_has_crashed() -> None:
    fleet = Fleet(1)
    (gateway,) = fleet.gateways
    for number in range(MIN_CRASHES):
        gateway.record_broken_response(replica("r1", number), call("/poison"))
        gateway.update_replicas([replica("r1", number + 1)])
        fleet.exchange()
    assert fleet.quarantined == [compute_fingerprint(call("/poison"))]


def test_the_log_tells_how_late_a_crash_is_confirmed_and_what_it_counts() -> None:
    observed: list[ObservedCrash] = []
    clock = ManualClock()
    gateway = Containment(
        clock=clock, on_quarantine=lambda _: None, on_crash=observed.append
    )
    for number in range(2):
        gateway.record_broken_response(replica(f"r{number}"), call("/poison"))
        clock.advance(0.5)
        gateway.record_connection_failure(replica(f"r{number}"))
        gateway.record_crash_reports(gateway.recent_crashes)
    assert [crash.sign for crash in observed] == [CrashSign.CONNECTION_FAILED] * 2
    assert [crash.seconds_since_broken for crash in observed] == [0.5, 0.5]
    assert [crash.max_crash_count for crash in observed] == [1, 2]


def test_crash_reports_are_encoded_in_datagrams() -> None:
    report = CrashReport(InstanceId("r1"), 7, (Fingerprint("f"),))
    message = PeerReport("gateway-1", [report], [])
    data = msgspec.msgpack.encode(message)
    assert msgspec.msgpack.decode(data, type=PeerReport) == message


def test_a_gateway_stops_sending_a_request_that_crashes_replicas() -> None:
    """Each replica that reads the request closes its connections and its listener."""

    def crash(this: ScriptedReplica, connection: object) -> None:
        this.receive_request(connection)
        this.stop()

    harness = ForwarderHarness(
        [ScriptedReplica(f"r{number}", crash) for number in range(9)]
    )
    try:
        answers = []
        for _ in range(9):
            answers.append(harness.send_request("/read/1"))
            harness.containment.update_replicas([])
            gevent.sleep(1.1)
            harness.containment.update_quarantine()
        runs = sum(len(item.requests) for item in harness.replicas)
        assert MIN_CRASHES <= runs <= MIN_CRASHES + MAX_LATE_RETRIES
        assert answers[-1].startswith(b"HTTP/1.1 503")
        assert b"retry-after" in answers[-1].lower()
        assert harness.quarantined
    finally:
        harness.stop()


def test_a_gateway_stops_sending_a_stream_that_crashes_replicas_midway() -> None:
    """Each replica sends two events of the stream before it ends."""

    def crash(this: ScriptedReplica, connection: object) -> None:
        attempt = this.receive_request(connection)
        events = make_chunk(make_event(1)) + make_chunk(make_event(2))
        connection.sendall(make_stream_head(attempt) + events)
        this.stop()

    harness = ForwarderHarness(
        [ScriptedReplica(f"r{number}", crash) for number in range(9)]
    )
    try:
        for _ in range(9):
            answer = harness.send_request("/chat/1")
            harness.containment.update_replicas([])
            gevent.sleep(1.1)
            harness.containment.update_quarantine()
        runs = sum(len(item.requests) for item in harness.replicas)
        assert MIN_CRASHES <= runs <= MIN_CRASHES + MAX_LATE_RETRIES
        assert answer.startswith(b"HTTP/1.1 503")
    finally:
        harness.stop()
