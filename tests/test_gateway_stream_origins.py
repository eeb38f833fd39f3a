"""
Tests of streams that callers take up
=====================================

Gateways on one clock with a store in memory and datagrams between them; streams are
taken up at other gateways than those that began them, which may be lost.
"""

from collections.abc import Callable, Iterator

import gevent
import msgspec
import pytest
from gevent import socket

from damasklead.clock import ManualClock
from damasklead.gateway.calls import Call, UpstreamRecord
from damasklead.gateway.dialect import FeedError, PeerEntry
from damasklead.gateway.journal import Journal
from damasklead.gateway.refusals import Reason, Refusal
from damasklead.gateway.stream_origins.origins import (
    MAX_ORIGINS,
    ORIGIN_TTL_SECONDS,
    StreamOrigins,
    select_keepers,
)
from damasklead.gateway.stream_origins.registry import (
    ASKED_KEEPERS,
    COPIES,
    OriginRegistry,
)
from damasklead.gateway.stream_origins.writer import (
    MAX_PENDING_ORIGINS,
    SWEEP_INTERVAL_SECONDS,
    WRITE_DELAY_SECONDS,
)
from damasklead.ids import AttemptId, InstanceId, SoftwareVersion
from tests.gateway_kit import (
    RESUMABLE,
    STREAM,
    MemoryOriginStore,
    ScriptedReplica,
)
from tests.test_gateway_stream_versions import (
    EVENT_COUNT,
    VersionHarness,
    make_record,
    make_version_call,
    send_whole_stream,
    send_whole_streams,
)


class OriginPeers:
    """Delivers datagrams between the registries of a fleet."""

    def __init__(self, fleet: "OriginFleet", name: str) -> None:
        self._fleet = fleet
        self._name = name
        self.handlers: dict[type, Callable] = {}

    @property
    def members(self) -> list[PeerEntry]:
        return [
            PeerEntry(instance=InstanceId(name), address="127.0.0.1:1", incarnation=1)
            for name in self._fleet.names
            if name != self._name
        ]

    def register_handler(self, message_type: type, handler: Callable) -> None:
        self.handlers[message_type] = handler

    def send(self, name: str, message: object) -> None:
        self._fleet.datagram_count += 1
        if name in self._fleet.lost or self._name in self._fleet.lost:
            return
        kind = type(message)
        copy = msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=kind)
        handler = self._fleet.peers[name].handlers[kind]
        gevent.spawn(handler, copy, self._name)


class OriginFleet:
    """
    The registries of some gateways.

    Attributes
    ----------
    lost : set of str
        Gateways that neither send nor receive datagrams.
    stale : set of str
        Gateways that have not read ``records``.
    """

    def __init__(self, count: int) -> None:
        self.clock = ManualClock(start=10.0)
        self.store = MemoryOriginStore()
        self.names = [f"g{number}" for number in range(count)]
        self.lost: set[str] = set()
        self.stale: set[str] = set()
        self.datagram_count = 0
        self.records: dict[InstanceId, UpstreamRecord] = {}
        self.peers: dict[str, OriginPeers] = {}
        self.gateways: dict[str, OriginRegistry] = {}
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a gateway, or replace it by one that remembers nothing."""
        self.lost.discard(name)
        self.peers[name] = OriginPeers(self, name)
        self.gateways[name] = OriginRegistry(
            instance=name,
            peers=self.peers[name],
            store=lambda: self.store,
            is_sweeper=lambda: name == self.names[0],
            clock=self.clock,
            get_unix_time=lambda: 1e9 + self.clock.now(),
            journal=Journal(instance=name),
            get_record=lambda instance: (
                None if name in self.stale else self.records.get(instance)
            ),
        )

    def begin(
        self, number: int, record: UpstreamRecord, *, reported: int | None = 0
    ) -> Call:
        """Let a stream begin at a gateway, whose replica reports a start."""
        call = make_version_call(number, None)
        gateway = self.gateways[self.names[number % len(self.names)]]
        gateway.record(call, record, incarnation=reported)
        return call

    def write_all(self) -> None:
        """Let all gateways write what they have scheduled."""
        gevent.sleep(0)
        for gateway in self.gateways.values():
            while gateway.writer.pending_count:
                gateway.writer.write_batch()

    def take_up(self, call: Call, name: str, **changes: object) -> Refusal | None:
        """Take a stream up at a gateway; returns its refusal."""
        again = make_taken_up_call(call, **changes)
        refusal = self.gateways[name].resolve(again)
        self.last_version, self.last_start = again.version, again.start
        return refusal


def make_taken_up_call(call: Call, **changes: object) -> Call:
    head = {"last_event": b"2", "resumed_attempt": call.id} | {
        key: value for key, value in changes.items() if key != "route"
    }
    return msgspec.structs.replace(
        call,
        route=changes.get("route", call.route),
        head=msgspec.structs.replace(
            call.head, **{"attempt": AttemptId(f"{call.id}-again")} | head
        ),
    )


SIZES = pytest.mark.parametrize("count", [1, 8, 302])


class TestWhereStreamsAreTakenUp:
    @SIZES
    def test_at_any_gateway_while_all_run(self, count: int) -> None:
        fleet = OriginFleet(count)
        for number, version in enumerate(["v1", "v2", "v3"] * 4):
            call = fleet.begin(number, make_record("r", version))
            gevent.sleep(0)
            for name in fleet.names[:: max(1, count // 8)]:
                assert fleet.take_up(call, name) is None
                assert fleet.last_version == version
        assert not fleet.store.calls

    @pytest.mark.parametrize("count", [8, 302])
    def test_after_the_loss_of_its_gateway(self, count: int) -> None:
        fleet = OriginFleet(count)
        for number in range(16):
            call = fleet.begin(number, make_record("r", f"v{number % 2}"))
            gevent.sleep(0)
            fleet.start(fleet.names[number % count])
            assert fleet.take_up(call, fleet.names[(number + 1) % count]) is None
            assert fleet.last_version == f"v{number % 2}"
            assert fleet.take_up(call, fleet.names[number % count]) is None

    @SIZES
    def test_after_the_loss_of_all_gateways(self, count: int) -> None:
        fleet = OriginFleet(count)
        calls = [fleet.begin(n, make_record("r", f"v{n % 2}")) for n in range(40)]
        fleet.write_all()
        for name in fleet.names:
            fleet.start(name)
        for number, call in enumerate(calls):
            assert fleet.take_up(call, fleet.names[(number + 3) % count]) is None
            assert fleet.last_version == f"v{number % 2}"

    @pytest.mark.parametrize("count", [8, 302])
    def test_by_a_gateway_that_reaches_no_other(self, count: int) -> None:
        fleet = OriginFleet(count)
        call = fleet.begin(0, make_record("r", "v1"))
        fleet.write_all()
        fleet.lost = {fleet.names[5]}
        assert fleet.take_up(call, fleet.names[5]) is None
        assert fleet.last_version == "v1"

    def test_while_the_store_is_away(self) -> None:
        fleet = OriginFleet(8)
        fleet.store.is_down = True
        call = fleet.begin(0, make_record("r", "v1"))
        gevent.sleep(0)
        fleet.start("g0")
        assert fleet.take_up(call, "g3") is None
        assert fleet.last_version == "v1"


def expect_refusal(refusal: Refusal | None, detail: str) -> Refusal:
    assert refusal is not None and refusal.reason is Reason.UNKNOWN_ORIGIN
    assert refusal.status == 503 and refusal.detail == detail
    return refusal


class TestUnknownOrigins:
    def test_origins_that_were_lost_with_all_gateways(self) -> None:
        fleet = OriginFleet(8)
        call = fleet.begin(0, make_record("r", "v1"))
        for name in fleet.names:
            fleet.start(name)
        refusal = expect_refusal(fleet.take_up(call, "g3"), "not-found")
        assert refusal.retry_after is None

    def test_an_older_copy_of_the_store(self) -> None:
        fleet = OriginFleet(8)
        call = fleet.begin(0, make_record("r", "v1"))
        fleet.write_all()
        fleet.store.origins.clear()
        for name in fleet.names:
            fleet.start(name)
        expect_refusal(fleet.take_up(call, "g3"), "not-found")

    def test_no_keeper_and_no_store(self) -> None:
        fleet = OriginFleet(8)
        call = fleet.begin(0, make_record("r", "v1"))
        fleet.write_all()
        for name in fleet.names:
            fleet.start(name)
        fleet.store.is_down = True
        refusal = expect_refusal(fleet.take_up(call, "g3"), "store-unavailable")
        assert refusal.retry_after
        fleet.store.is_down = False
        assert fleet.take_up(call, "g3") is None

    @pytest.mark.parametrize("resumed_attempt", [None, "other", "\xff\x00"])
    def test_attempts_that_are_missing_or_nobody_knows(
        self, resumed_attempt: str | None
    ) -> None:
        fleet = OriginFleet(8)
        call = fleet.begin(0, make_record("r", "v1"))
        gevent.sleep(0)
        refusal = fleet.take_up(call, "g0", resumed_attempt=resumed_attempt)
        expect_refusal(refusal, "not-named" if resumed_attempt is None else "not-found")

    @pytest.mark.parametrize("name", ["g0", "g3"])
    def test_the_attempt_of_another_request(self, name: str) -> None:
        fleet = OriginFleet(8)
        call = fleet.begin(0, make_record("r", "v1"))
        gevent.sleep(0)
        refusal = fleet.take_up(call, name, target="/draft/2")
        expect_refusal(refusal, "other-request")

    @pytest.mark.parametrize("name", ["g0", "g3"])
    def test_an_id_that_was_used_at_two_versions(self, name: str) -> None:
        fleet = OriginFleet(8)
        for version in ("v1", "v2"):
            call = fleet.begin(0, make_record("r", version))
            gevent.sleep(0)
        expect_refusal(fleet.take_up(call, name), "ambiguous")

    def test_a_replica_without_a_version(self) -> None:
        fleet = OriginFleet(8)
        call = fleet.begin(0, make_record("r", ""))
        gevent.sleep(0)
        expect_refusal(fleet.take_up(call, "g0"), "unlisted")

    def test_a_route_whose_streams_may_not_be_resumed(self) -> None:
        fleet = OriginFleet(8)
        call = make_version_call(0, None)
        call.route = STREAM
        fleet.gateways["g0"].record(call, make_record("r", "v1"), incarnation=0)
        gevent.sleep(0)
        expect_refusal(fleet.take_up(call, "g0"), "not-found")

    def test_requests_that_take_nothing_up_are_not_restricted(self) -> None:
        fleet = OriginFleet(8)
        for changes in ({"last_event": None}, {"last_event": None, "target": "/x/"}):
            call = make_taken_up_call(make_version_call(0, None), **changes)
            assert fleet.gateways["g0"].resolve(call) is None
            assert call.version is None


class TestReplicasThatStartAgainUnderTheirId:
    """A stream begins at a replica whose new start the gateway's list doesn't show."""

    BEFORE = make_record("r", "v1")
    AFTER = msgspec.structs.replace(
        BEFORE, version=SoftwareVersion("v2"), incarnation=7
    )

    @pytest.mark.parametrize("name", ["g0", "g5"])
    def test_a_stream_goes_on_at_no_version_before_the_new_one_is_listed(
        self, name: str
    ) -> None:
        fleet = OriginFleet(8)
        fleet.records[self.BEFORE.instance] = self.BEFORE
        call = fleet.begin(0, self.BEFORE, reported=7)
        fleet.write_all()
        refusal = expect_refusal(fleet.take_up(call, name), "unlisted")
        assert refusal.retry_after
        fleet.records[self.BEFORE.instance] = self.AFTER
        assert fleet.take_up(call, name) is None
        assert fleet.last_version == "v2"

    def test_a_gateway_that_has_not_read_the_new_entry_joins_nothing(self) -> None:
        fleet = OriginFleet(8)
        fleet.records[self.BEFORE.instance] = self.AFTER
        fleet.stale = {"g0", "g5"}
        # The first gateway has still the old entry, the second one has none.
        call = fleet.begin(0, self.BEFORE, reported=7)
        fleet.write_all()
        expect_refusal(fleet.take_up(call, "g5"), "unlisted")
        expect_refusal(fleet.take_up(call, "g0"), "unlisted")
        assert fleet.take_up(call, "g3") is None
        assert fleet.last_version == "v2"

    def test_a_gateway_without_the_entry_learns_the_version_from_the_origin(
        self,
    ) -> None:
        fleet = OriginFleet(8)
        fleet.stale = {"g5"}
        call = fleet.begin(0, self.AFTER, reported=7)
        gevent.sleep(0)
        assert fleet.take_up(call, "g5") is None
        assert fleet.last_version == "v2"

    @pytest.mark.parametrize("name", ["g0", "g5"])
    def test_a_start_after_the_stream_changes_nothing(self, name: str) -> None:
        fleet = OriginFleet(8)
        call = fleet.begin(0, self.BEFORE)
        gevent.sleep(0)
        fleet.records[self.BEFORE.instance] = self.AFTER
        assert fleet.take_up(call, name) is None
        assert fleet.last_version == "v1"

    def test_two_starts_that_are_not_listed_are_two_origins(self) -> None:
        fleet = OriginFleet(8)
        for reported in (7, 8):
            call = fleet.begin(0, self.BEFORE, reported=reported)
            gevent.sleep(0)
        expect_refusal(fleet.take_up(call, "g0"), "ambiguous")

    @pytest.mark.parametrize("name", ["g0", "g5"])
    def test_a_start_that_was_not_reported_is_the_only_one_to_go_on_at(
        self, name: str
    ) -> None:
        fleet = OriginFleet(8)
        call = fleet.begin(0, self.BEFORE, reported=None)
        fleet.write_all()
        assert fleet.take_up(call, name) is None
        assert fleet.last_version == "v1"
        assert fleet.last_start == (self.BEFORE.instance, self.BEFORE.incarnation)
        # Nor does the first gateway continue it within the response.
        assert fleet.gateways["g0"].find_version(call.id) == ""


class TestCost:
    def test_the_store_is_read_as_soon_as_all_keepers_have_replied(self) -> None:
        fleet = OriginFleet(8)
        call = fleet.begin(0, make_record("r", "v1"))
        fleet.write_all()
        for name in fleet.names:
            fleet.start(name)
        before = fleet.datagram_count
        assert fleet.take_up(call, "g3") is None
        # One query and one reply for each of them, and none again after a timeout.
        assert fleet.datagram_count - before <= 2 * ASKED_KEEPERS

    @pytest.mark.parametrize("count", [8, 302])
    def test_streams_cost_few_datagrams_and_store_calls(self, count: int) -> None:
        fleet = OriginFleet(count)
        rounds = 10
        for turn in range(rounds):
            for number in range(75):
                fleet.begin(75 * turn + number, make_record("r", "v1"))
            gevent.sleep(0)
            fleet.clock.advance(WRITE_DELAY_SECONDS)
            for gateway in fleet.gateways.values():
                if gateway.writer.pending_count:
                    gateway.writer.write_batch()
        assert fleet.datagram_count <= COPIES * 75 * rounds
        seconds = rounds * WRITE_DELAY_SECONDS
        assert fleet.store.calls / seconds <= 5 * len(select_keepers(fleet.names))
        # A partition of the users' store takes 150 transactions a second.
        assert 5 * len(select_keepers(fleet.names)) <= 100

    def test_what_is_kept_is_bounded(self) -> None:
        fleet = OriginFleet(1)
        gateway = fleet.gateways["g0"]
        for number in range(MAX_ORIGINS + 10):
            call = make_version_call(number, None)
            gateway.record(call, make_record("r", "v1"), incarnation=0)
        assert gateway.remembered_count == MAX_ORIGINS
        assert gateway.writer.pending_count == MAX_PENDING_ORIGINS
        fleet.clock.advance(ORIGIN_TTL_SECONDS + 1)
        origins = StreamOrigins(clock=fleet.clock)
        assert len(origins) == 0
        assert gateway.resolve(make_taken_up_call(make_version_call(9, None)))
        assert gateway.remembered_count == 0

    def test_written_origins_are_removed_when_they_are_old(self) -> None:
        fleet = OriginFleet(1)
        gateway = fleet.gateways["g0"]
        for number in range(5):
            fleet.begin(number, make_record("r", "v1"))
        gateway.writer.write_batch()
        assert len(fleet.store.origins) == 5
        fleet.clock.advance(ORIGIN_TTL_SECONDS + 1)
        fleet.begin(6, make_record("r", "v1"))
        gateway.writer.write_batch()
        assert len(fleet.store.origins) == 1

    def test_many_old_origins_are_removed_without_new_ones(self) -> None:
        fleet = OriginFleet(1)
        for number in range(150):
            fleet.begin(number, make_record("r", "v1"))
        fleet.write_all()
        fleet.clock.advance(ORIGIN_TTL_SECONDS + 1)
        writer = fleet.gateways["g0"].writer
        for _ in range(4):
            writer.write_batch()
        assert not fleet.store.origins

    def test_origins_of_lost_gateways_are_removed(self) -> None:
        fleet = OriginFleet(8)
        for number in range(5):
            fleet.begin(number, make_record("r", "v1"))
        fleet.write_all()
        for name in fleet.names:
            fleet.start(name)
        fleet.clock.advance(6 * ORIGIN_TTL_SECONDS + SWEEP_INTERVAL_SECONDS)
        fleet.gateways["g0"].writer.sweep_when_due()
        assert not fleet.store.origins

    def test_a_failed_write_is_repeated(self) -> None:
        fleet = OriginFleet(1)
        fleet.begin(0, make_record("r", "v1"))
        fleet.store.is_down = True
        with pytest.raises(FeedError):
            fleet.gateways["g0"].writer.write_batch()
        fleet.store.is_down = False
        fleet.gateways["g0"].writer.write_batch()
        assert len(fleet.store.origins) == 1


class TestForwarding:
    @pytest.fixture
    def harness(self) -> Iterator[VersionHarness]:
        harness = VersionHarness(
            *[("v1", send_whole_stream)] * 2, *[("v2", send_whole_stream)] * 2
        )
        yield harness
        harness.stop()

    def take_up(self, harness: VersionHarness, headers: str) -> bytes:
        return harness.send_request(
            "/draft/1",
            method="POST",
            body="x",
            attempt="second",
            extra_headers="Last-Event-Id: 2\r\n" + headers,
        )

    @pytest.mark.parametrize("version", ["v1", "v2"])
    def test_a_stream_goes_on_at_its_version(
        self, harness: VersionHarness, version: str
    ) -> None:
        harness.placement.update_replicas(
            item.record for item in harness.replicas if item.version == version
        )
        harness.send_request("/draft/1", method="POST", body="x", attempt="first")
        harness.list_all()
        for _ in range(6):
            response = self.take_up(harness, "Resumes: first\r\n")
            assert response.startswith(b"HTTP/1.1 200")
        assert set(harness.versions_asked) == {version}

    def test_a_stream_whose_version_is_gone_is_refused(
        self, harness: VersionHarness
    ) -> None:
        harness.prefer(0)
        harness.send_request("/draft/1", method="POST", body="x", attempt="first")
        harness.placement.update_replicas(
            item.record for item in harness.replicas if item.version == "v2"
        )
        response = self.take_up(harness, "Resumes: first\r\n")
        assert response.startswith(b"HTTP/1.1 503")
        assert harness.versions_asked == ["v1"]
        # The version comes back.
        harness.list_all()
        response = self.take_up(harness, "Resumes: first\r\n")
        assert response.startswith(b"HTTP/1.1 200")
        assert harness.versions_asked == ["v1", "v1"]

    @pytest.mark.parametrize(
        "headers",
        [
            "",
            "Resumes: \r\n",
            "Resumes: nobody\r\n",
            "Resumes: first\r\nResumes: first\r\n",
            f"Resumes: {'x' * 65}\r\n",
        ],
    )
    def test_a_stream_of_unknown_origin_is_refused(
        self, harness: VersionHarness, headers: str
    ) -> None:
        harness.send_request("/draft/1", method="POST", body="x", attempt="first")
        response = self.take_up(harness, headers)
        assert response.startswith(b"HTTP/1.1 503")
        assert len(harness.versions_asked) == 1

    def test_a_replica_that_started_again_gets_no_stream_that_is_taken_up(
        self, harness: VersionHarness
    ) -> None:
        harness.prefer(0)
        harness.send_request("/draft/1", method="POST", body="x", attempt="first")
        # Both replicas of the version have started again; the list doesn't show it.
        for replica in harness.replicas:
            replica.born = 2
        harness.list_all()
        response = self.take_up(harness, "Resumes: first\r\n")
        assert response.startswith(b"HTTP/1.1 503")
        assert len(harness.versions_asked) == 1
        harness.replicas[1].born = 1
        response = self.take_up(harness, "Resumes: first\r\n")
        assert response.startswith(b"HTTP/1.1 200")
        assert len(harness.replicas[1].requests) == 1

    def test_a_refusal_after_the_report_is_believed(
        self, harness: VersionHarness
    ) -> None:
        def refuse(replica: ScriptedReplica, connection: object) -> None:
            replica.receive_request(connection)
            connection.sendall(
                b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )

        harness.prefer(0)
        harness.send_request("/draft/1", method="POST", body="x", attempt="first")
        harness.connections.close()
        harness.list_all()
        for replica in harness.replicas:
            replica._serve = refuse
        response = self.take_up(harness, "Resumes: first\r\n")
        # 503 states that no replica has executed it.
        assert response.startswith(b"HTTP/1.1 503")
        assert set(harness.versions_asked) == {"v1"}

    # A gateway can't know otherwise what the stream begins at; the platform charges
    # for each report.
    def test_new_streams_ask_for_one_report_a_connection(
        self, harness: VersionHarness
    ) -> None:
        harness.placement.update_replicas(
            item.record for item in harness.replicas if item.version == "v1"
        )
        for replica in harness.replicas:
            replica._serve = send_whole_streams
        for number in range(8):
            harness.send_request(
                "/draft/1", method="POST", body="x", attempt=f"a{number}"
            )
        assert sum(len(replica.requests) for replica in harness.replicas) == 8
        reports = sum(replica.report_count for replica in harness.replicas)
        assert reports == harness.connections.opened_count <= 2

    @pytest.mark.parametrize("is_restarted", [False, True])
    def test_the_stream_of_a_single_replica_goes_on_only_at_its_start(
        self, harness: VersionHarness, is_restarted: bool
    ) -> None:
        first = harness.replicas[0]
        harness.placement.update_replicas([first.record])
        harness.send_request("/draft/1", method="POST", body="x", attempt="first")
        assert not first.report_count
        if is_restarted:
            first.born = 2
        harness.list_all()
        response = self.take_up(harness, "Resumes: first\r\n")
        assert response.startswith(b"HTTP/1.1 503" if is_restarted else b"HTTP/1.1 200")
        asked = [len(replica.requests) for replica in harness.replicas]
        assert asked[0] == 2 - is_restarted
        assert not any(asked[1:])

    def test_streams_that_are_not_resumable_ask_for_no_report(
        self, harness: VersionHarness
    ) -> None:
        for number in range(8):
            harness.send_request(
                "/chat/1", method="POST", body="x", attempt=f"a{number}"
            )
        assert not sum(replica.report_count for replica in harness.replicas)

    def test_a_stream_of_an_unlisted_start_goes_on_at_no_other_version(
        self, harness: VersionHarness
    ) -> None:
        harness.prefer(0)
        first = harness.replicas[0]
        first.born = 2
        response = harness.send_request(
            "/draft/1", method="POST", body="x", attempt="first"
        )
        assert response.startswith(b"HTTP/1.1 200")
        harness.list_all()
        response = self.take_up(harness, "Resumes: first\r\n")
        assert response.startswith(b"HTTP/1.1 503") and b"Retry-After: " in response
        assert len(harness.versions_asked) == 1
        # Its entry shows the new start and the version.
        harness.listed_records[first.record.instance] = msgspec.structs.replace(
            first.record, incarnation=2, version=SoftwareVersion("v2")
        )
        response = self.take_up(harness, "Resumes: first\r\n")
        assert response.startswith(b"HTTP/1.1 200")
        assert harness.versions_asked[1:] == ["v2"]

    @pytest.mark.parametrize(
        "report",
        [
            b"",
            b"odd",
            b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
            b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 10\r\n\r\n"
            b'{"born":1}',
        ],
        ids=["none", "odd", "unknown", "without start", "closing"],
    )
    def test_a_replica_that_does_not_report_serves_streams_that_can_not_go_on(
        self, harness: VersionHarness, report: bytes
    ) -> None:
        def serve(replica: ScriptedReplica, connection: object) -> None:
            data = connection.recv(65_536, socket.MSG_PEEK)
            if data.startswith(b"GET /-/report"):
                connection.recv(len(data))
                connection.sendall(report)
                connection.recv(1)
            else:
                send_whole_stream(replica, connection)

        harness.prefer(0)
        harness.replicas[0]._serve = serve
        response = harness.send_request(
            "/draft/1", method="POST", body="x", attempt="first"
        )
        assert response.startswith(b"HTTP/1.1 200")
        assert f"id: {EVENT_COUNT}\n".encode() in response
        assert harness.get_log_lines("replica-not-identified")
        response = self.take_up(harness, "Resumes: first\r\n")
        assert response.startswith(b"HTTP/1.1 503")
        assert len(harness.versions_asked) == 1

    def test_events_of_a_stream_that_is_taken_up_follow(
        self, harness: VersionHarness
    ) -> None:
        harness.send_request("/draft/1", method="POST", body="x", attempt="first")
        response = self.take_up(harness, "Resumes: first\r\n")
        assert b"id: 1\n" not in response and b"id: 2\n" not in response
        assert f"id: {EVENT_COUNT}\n".encode() in response


def test_versions_are_names_without_an_order() -> None:
    call = make_version_call(0, "10")
    assert call.accepts_version(SoftwareVersion("10"))
    assert not call.accepts_version(SoftwareVersion("9"))
    assert not call.accepts_version(SoftwareVersion(""))
    assert RESUMABLE.may_repeat
