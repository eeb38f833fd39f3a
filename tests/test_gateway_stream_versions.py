"""
Tests of streams and replicas of several software versions
==========================================================

What replicas of two versions write doesn't fit together, so a stream must not hold
events of both.
"""

from collections.abc import Callable, Collection, Iterator

import msgspec
import pytest

from damasklead.clock import ManualClock
from damasklead.gateway.calls import (
    Call,
    UpstreamRecord,
    UpstreamState,
)
from damasklead.gateway.coordination.cellmap import CellMap
from damasklead.gateway.coordination.cells import Member
from damasklead.gateway.placements import Placement, new_placement
from damasklead.gateway.routing import EngineSpec, ServiceSpec
from damasklead.ids import UNKNOWN_VERSION, DataCentre, InstanceId, SoftwareVersion
from tests.gateway_kit import (
    RESUMABLE,
    SERVICE,
    ForwarderHarness,
    ScriptedReplica,
    make_chunk,
    make_event,
    make_stream_head,
)
from tests.test_gateway_crash_containment import call

EVENT_COUNT = 4
DATA_CENTRE = DataCentre("hout")
ENGINES = ServiceSpec(
    name=SERVICE,
    max_connections=100,
    engine=EngineSpec(slots=4, memory_tokens=100_000, tokens_per_event=4),
)


def send_whole_stream(replica: ScriptedReplica, connection: object) -> None:
    attempt = replica.receive_request(connection)
    _, headers, _ = replica.requests[-1]
    after = int(headers.get("last-event-id", 0))
    connection.sendall(make_stream_head(attempt))
    for number in range(after + 1, EVENT_COUNT + 1):
        connection.sendall(make_chunk(make_event(number)))
    connection.sendall(b"0\r\n\r\n")


def send_whole_streams(replica: ScriptedReplica, connection: object) -> None:
    """Send a whole stream for each request on the connection."""
    while True:
        send_whole_stream(replica, connection)


def make_breaking_script(event_count: int) -> Callable:
    """Return a script that closes the connection after some events."""

    def serve(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.receive_request(connection)
        connection.sendall(make_stream_head(attempt))
        for number in range(1, event_count + 1):
            connection.sendall(make_chunk(make_event(number)))

    return serve


class VersionHarness(ForwarderHarness):
    """
    A gateway in front of replicas of given versions.

    Parameters
    ----------
    scripts : tuple
        Version and script of each replica.
    """

    def __init__(self, *scripts: tuple[str, Callable]) -> None:
        replicas = []
        for number, (version, script) in enumerate(scripts):
            replica = ScriptedReplica(f"r{number}", script)
            replica.version = SoftwareVersion(version)
            replicas.append(replica)
        super().__init__(replicas)

    @property
    def versions_asked(self) -> list[str]:
        return [item.version for item in self.replicas for _ in item.requests]

    def prefer(self, number: int) -> None:
        """Choose a replica until ``list_all`` is called."""
        record = self.replicas[number].record
        choose = type(self.placement).choose_replica

        def choose_preferred(
            call: Call, *, excluded: Collection[InstanceId] = ()
        ) -> UpstreamRecord | None:
            is_eligible = record.instance in self.placement.eligible_instances
            is_accepted = call.accepts_version(record.version)
            if is_eligible and is_accepted and record.instance not in excluded:
                return record
            return choose(self.placement, call, excluded=excluded)

        self.placement.choose_replica = choose_preferred

    def list_all(self) -> None:
        self.placement.__dict__.pop("choose_replica", None)
        self.placement.update_replicas(item.record for item in self.replicas)


@pytest.fixture
def harnesses() -> Iterator[list[VersionHarness]]:
    started: list[VersionHarness] = []
    yield started
    for harness in started:
        harness.stop()


def make_harness(harnesses: list, *scripts: tuple[str, Callable]) -> VersionHarness:
    harness = VersionHarness(*scripts)
    harnesses.append(harness)
    return harness


WHOLE = b"".join(make_chunk(make_event(n)) for n in range(1, EVENT_COUNT + 1))


class TestStreamsMovedByTheGateway:
    def send_to_breaking_replica(self, harness: VersionHarness) -> bytes:
        """Send a stream whose first replica is r0, which breaks it off."""
        first = harness.replicas[0]
        script = first._serve

        def serve(replica: ScriptedReplica, connection: object) -> None:
            harness.list_all()
            script(replica, connection)

        first._serve = serve
        harness.prefer(0)
        return harness.send_request("/draft/1", method="POST", body="x")

    @pytest.mark.parametrize("event_count", [1, 3])
    def test_a_stream_does_not_go_on_at_another_version(
        self, harnesses: list, event_count: int
    ) -> None:
        others = [("v2", send_whole_stream)] * 3
        harness = make_harness(
            harnesses, ("v1", make_breaking_script(event_count)), *others
        )
        response = self.send_to_breaking_replica(harness)
        assert harness.versions_asked == ["v1"]
        assert make_event(event_count) in response
        assert not response.endswith(b"0\r\n\r\n")

    @pytest.mark.parametrize("event_count", [1, 3])
    def test_a_stream_goes_on_at_its_version(
        self, harnesses: list, event_count: int
    ) -> None:
        harness = make_harness(
            harnesses,
            ("v1", make_breaking_script(event_count)),
            ("v2", send_whole_stream),
            ("v1", send_whole_stream),
            ("v2", send_whole_stream),
        )
        response = self.send_to_breaking_replica(harness)
        assert sorted(harness.versions_asked) == ["v1", "v1"]
        assert response.endswith(WHOLE + b"0\r\n\r\n")

    def test_a_stream_without_an_event_goes_on_at_any_version(
        self, harnesses: list
    ) -> None:
        harness = make_harness(
            harnesses, ("v1", make_breaking_script(0)), ("v2", send_whole_stream)
        )
        response = self.send_to_breaking_replica(harness)
        assert harness.versions_asked == ["v1", "v2"]
        assert response.endswith(WHOLE + b"0\r\n\r\n")

    @pytest.mark.parametrize("change", ["target", "origin"])
    def test_a_stream_does_not_go_on_after_an_unlisted_start(
        self, harnesses: list, change: str
    ) -> None:
        harness = make_harness(
            harnesses, ("v1", make_breaking_script(2)), ("v1", send_whole_stream)
        )
        first, second = harness.replicas
        (second if change == "target" else first).born = 2
        response = self.send_to_breaking_replica(harness)
        assert not response.endswith(b"0\r\n\r\n")
        assert not second.requests

    @pytest.mark.parametrize("version", ["v1", "v2"])
    def test_a_stream_goes_on_at_the_version_that_is_listed_meanwhile(
        self, harnesses: list, version: str
    ) -> None:
        harness = make_harness(
            harnesses,
            ("v1", make_breaking_script(2)),
            ("v1", send_whole_stream),
            ("v2", send_whole_stream),
        )
        first = harness.replicas[0]
        first.born = 2
        harness.listed_records[first.record.instance] = msgspec.structs.replace(
            first.record, incarnation=2, version=SoftwareVersion(version)
        )
        response = self.send_to_breaking_replica(harness)
        assert harness.versions_asked[1:] == [version]
        assert response.endswith(WHOLE + b"0\r\n\r\n")

    def test_a_stream_goes_on_after_its_replica_has_started_again(
        self, harnesses: list
    ) -> None:
        harness = make_harness(
            harnesses, ("v1", make_breaking_script(2)), ("v1", send_whole_stream)
        )
        first = harness.replicas[0]
        harness.listed_records[first.record.instance] = msgspec.structs.replace(
            first.record, incarnation=2, version=SoftwareVersion("v2")
        )
        response = self.send_to_breaking_replica(harness)
        assert response.endswith(WHOLE + b"0\r\n\r\n")

    def test_replicas_without_a_version_do_not_continue_each_other(
        self, harnesses: list
    ) -> None:
        harness = make_harness(
            harnesses, ("", make_breaking_script(1)), ("", send_whole_stream)
        )
        response = self.send_to_breaking_replica(harness)
        assert harness.versions_asked == [""]
        assert not response.endswith(b"0\r\n\r\n")


def make_record(
    name: str, version: str, *, data_centre: str = DATA_CENTRE
) -> UpstreamRecord:
    return UpstreamRecord(
        instance=InstanceId(name),
        service=SERVICE,
        address="127.0.0.1:1",
        data_centre=DataCentre(data_centre),
        state=UpstreamState.LIVE,
        version=SoftwareVersion(version),
    )


def make_version_call(number: int, version: str | None) -> Call:
    result = call("/draft/1", number)
    result.route = RESUMABLE
    result.version = None if version is None else SoftwareVersion(version)
    return result


class TestPlacements:
    @pytest.mark.parametrize("is_engine", [False, True])
    def test_only_replicas_of_the_version_are_chosen(self, is_engine: bool) -> None:
        placement: Placement = new_placement(
            service=ENGINES
            if is_engine
            else ServiceSpec(name=SERVICE, max_connections=9),
            clock=ManualClock(start=10.0),
            data_centre=DATA_CENTRE,
        )
        placement.update_replicas(
            make_record(f"{version}-{number}", version)
            for version in ("v1", "v2", UNKNOWN_VERSION)
            for number in range(3)
        )
        for number in range(30):
            for version in ("v1", "v2"):
                chosen = placement.choose_replica(make_version_call(number, version))
                assert chosen is not None and chosen.version == version
            for missing in ("v3", UNKNOWN_VERSION):
                request = make_version_call(number, missing)
                assert placement.choose_replica(request) is None

    def test_capacity_is_that_of_the_version(self) -> None:
        placement = new_placement(
            service=ENGINES, clock=ManualClock(start=10.0), data_centre=DATA_CENTRE
        )
        placement.update_replicas([make_record("a", "v1"), make_record("b", "v2")])
        for number in range(ENGINES.engine.slots):
            placement.record_sent(InstanceId("a"), make_version_call(number, "v1"))
        assert not placement.has_capacity_for(make_version_call(90, "v1"))
        assert placement.has_capacity_for(make_version_call(91, "v2"))

    def test_a_request_for_a_version_goes_to_a_cell_that_has_it(self) -> None:
        cells = CellMap(
            clock=ManualClock(start=10.0),
            local_member=Member(InstanceId("g0"), DATA_CENTRE),
        )
        cells.set_engines(
            SERVICE,
            [make_record(f"a{n}", "v1") for n in range(30)]
            + [make_record(f"b{n}", "v2", data_centre="mossel") for n in range(30)],
        )
        assert len(cells.cells) >= 2
        for number in range(20):
            for version in ("v1", "v2"):
                request = make_version_call(number, version)
                cell = cells.select_cell(request, is_first_attempt=True)
                assert cell is not None
                assert {item.version for item in cells.get_engines(cell)} == {version}
            request = make_version_call(number, "v3")
            assert cells.select_cell(request, is_first_attempt=True) is None
