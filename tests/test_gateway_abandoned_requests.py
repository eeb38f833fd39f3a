"""
Tests of requests that crash a replica after the gateway gave them up
=====================================================================

A replica may go on with a request after its connection was closed.
"""

import contextlib
from collections.abc import Callable, Iterator

import gevent
import msgspec
import pytest
from gevent import socket

from damasklead.clock import ManualClock
from damasklead.crash_attribution import (
    MAX_SUSPECT_EVENTS,
    MIN_CRASHES,
    InterruptedRequest,
)
from damasklead.gateway.abandoned_requests import (
    ABANDONED_SECONDS,
    DISCOVERY_SECONDS,
    MAX_CHECK_SECONDS,
    MAX_DUE,
    MAX_REQUESTS,
    MAX_SUSPECTS,
    AbandonedRequests,
)
from damasklead.gateway.abandonment_watch import AbandonmentWatch
from damasklead.gateway.calls import Call, PromptPart, UpstreamRecord, UpstreamState
from damasklead.gateway.crash_containment import Containment, compute_fingerprint
from damasklead.gateway.crash_reports import CrashSign, ObservedCrash
from damasklead.ids import Fingerprint
from damasklead.util import stable_hash
from tests.gateway_kit import (
    ForwarderHarness,
    ScriptedReplica,
    make_chunk,
    make_event,
    make_probe,
    make_request,
    make_response,
    make_stream_head,
    wait_until,
)
from tests.test_gateway_crash_containment import MAX_LATE_RETRIES, Fleet, call, replica

POISON = call("/poison")


def make_prompt_call(path: str, *parts: str) -> Call:
    """Return a request with these parts in its prompt, the last one its own."""
    item = call(path)
    prompt = tuple(PromptPart(part, 100) for part in (*parts, f"own{path}"))
    item.head = msgspec.structs.replace(item.head, prompt=prompt)
    return item


def list_due(gateway: Containment, clock: ManualClock, seconds: float) -> int:
    """Return the number of checks that are due within some seconds."""
    count, end = 0, clock.now() + seconds
    while clock.now() < end:
        clock.advance(0.25)
        due = gateway.take_due_checks()
        count += len(due)
        for record in due:
            gateway.record_running(record)
    return count


class TestCauses:
    @pytest.mark.parametrize("gateways", [1, 2, 8])
    @pytest.mark.parametrize("event_count", [0, 1, MAX_SUSPECT_EVENTS])
    @pytest.mark.parametrize("seconds", [0.1, 0.5, 9.0])
    def test_a_request_that_crashes_replicas_after_it_was_given_up_is_refused(
        self, gateways: int, event_count: int, seconds: float
    ) -> None:
        """It was never a suspect, and crashed a replica at each of its attempts."""
        fleet, runs = Fleet(gateways), 0
        for number in range(12):
            gateway = fleet.gateways[number % gateways]
            if gateway.should_refuse(POISON):
                continue
            runs += 1
            record = replica(f"r{number}")
            gateway.record_abandoned(record, POISON, event_count=event_count)
            fleet.clock.advance(seconds)
            assert gateway.take_due_checks() == ([record] if seconds >= 0.5 else [])
            gateway.record_refused_connection(record)
            fleet.exchange()
        assert runs <= MIN_CRASHES + MAX_LATE_RETRIES
        assert all(gateway.should_refuse(POISON) for gateway in fleet.gateways)

    def test_a_prompt_part_of_requests_that_were_given_up_is_refused(self) -> None:
        fleet = Fleet(2)
        for number in range(MIN_CRASHES):
            gateway = fleet.gateways[number % 2]
            gateway.record_success(make_prompt_call(f"/sound/{number}", "common"))
            item = make_prompt_call(f"/{number}", "common", "dead")
            gateway.record_abandoned(replica(f"r{number}"), item)
            gateway.record_refused_connection(replica(f"r{number}"))
            fleet.exchange()
        for gateway in fleet.gateways:
            assert gateway.should_refuse(make_prompt_call("/new", "common", "dead"))
            assert not gateway.should_refuse(make_prompt_call("/new", "common"))

    def test_parts_that_were_read_before_the_request_was_given_up_are_sound(
        self,
    ) -> None:
        fleet = Fleet(1)
        (gateway,) = fleet.gateways
        for number in range(9):
            item = make_prompt_call(f"/{number}", "common")
            gateway.record_abandoned(
                replica(f"r{number}"), item, event_count=MAX_SUSPECT_EVENTS
            )
            gateway.record_refused_connection(replica(f"r{number}"))
            fleet.exchange()
        assert gateway.recent_crashes
        assert not fleet.quarantined

    def test_it_is_a_suspect_of_a_crash_that_another_gateway_saw(self) -> None:
        """Others have sound requests at the replica, whose responses break off."""
        fleet = Fleet(2)
        first, second = fleet.gateways
        for number in range(MIN_CRASHES):
            record = replica(f"r{number}")
            first.record_abandoned(record, POISON)
            second.record_broken_response(record, call(f"/sound/{number}"))
            second.record_connection_failure(record)
            first.record_crash_reports(second.recent_crashes)
            assert first.take_due_checks() == [record]
            first.record_refused_connection(record)
            fleet.exchange()
        assert set(fleet.quarantined) == {compute_fingerprint(POISON)}

    def test_repeated_reports_of_a_crash_cause_one_check(self) -> None:
        fleet = Fleet(2)
        first, second = fleet.gateways
        record = replica("r1")
        first.record_abandoned(record, POISON)
        second.record_broken_response(record, call("/sound"))
        second.record_connection_failure(record)
        checks = 0
        for _ in range(20):
            first.record_crash_reports(second.recent_crashes)
            checks += len(first.take_due_checks())
        assert checks == 1

    def test_a_start_that_is_listed_after_it_shows_a_crash(self) -> None:
        observed: list[ObservedCrash] = []
        clock = ManualClock()
        gateway = Containment(
            clock=clock, on_quarantine=lambda _: None, on_crash=observed.append
        )
        records = [
            msgspec.structs.replace(
                replica(f"r{number}", 5), address=f"10.0.0.{number}:1"
            )
            for number in range(4)
        ]
        for record in records:
            gateway.record_abandoned(record, POISON)
        same_id = msgspec.structs.replace(records[0], incarnation=6)
        same_address = msgspec.structs.replace(replica("new", 6), address="10.0.0.1:1")
        earlier = msgspec.structs.replace(replica("old", 4), address="10.0.0.2:1")
        gateway.update_replicas([same_id, *records[1:], same_address, earlier])
        assert [(item.report.instance, item.sign) for item in observed] == [
            ("r0", CrashSign.REPLACED),
            ("r1", CrashSign.REPLACED),
        ]


class TestSoundRequests:
    """What doesn't crash replicas must not be blamed, however many callers leave."""

    @staticmethod
    def give_up(
        gateway: Containment, record: UpstreamRecord, *paths: str, part: str = "common"
    ) -> None:
        for path in paths:
            gateway.record_abandoned(record, make_prompt_call(path, part))

    def test_replicas_that_leave_blame_nothing(self) -> None:
        fleet = Fleet(1)
        (gateway,) = fleet.gateways
        for number in range(9):
            record = replica(f"r{number}")
            self.give_up(gateway, record, "/same")
            if number % 2:
                leaving = msgspec.structs.replace(record, state=UpstreamState.LEAVING)
                gateway.update_replicas([leaving])
            gateway.update_replicas([])
            gateway.record_refused_connection(record)
            fleet.exchange()
        assert not fleet.quarantined
        assert not gateway.recent_crashes

    def test_replicas_that_are_cut_off_blame_nothing(self) -> None:
        """No gateway reaches them, and their entries expire; they run on."""
        fleet = Fleet(2)
        records = [replica(f"r{number}") for number in range(9)]
        for gateway in fleet.gateways:
            for record in records:
                self.give_up(gateway, record, "/same")
                gateway.record_connection_failure(record)
            fleet.exchange()
            gateway.update_replicas([])
            fleet.exchange()
        assert not fleet.quarantined

    def test_only_a_crash_of_the_same_start_counts(self) -> None:
        fleet = Fleet(1)
        (gateway,) = fleet.gateways
        for number in range(9):
            self.give_up(gateway, replica("r1", 1), "/same")
            gateway.record_refused_connection(replica("r1", 2 + number))
            gateway.record_refused_connection(replica("r2", 1))
            fleet.exchange()
        assert not gateway.recent_crashes

    def test_a_crash_long_after_blames_nothing(self) -> None:
        fleet = Fleet(1)
        (gateway,) = fleet.gateways
        for number in range(9):
            record = replica(f"r{number}")
            self.give_up(gateway, record, "/same")
            fleet.clock.advance(ABANDONED_SECONDS + 0.1)
            gateway.record_running(record)
            gateway.record_refused_connection(record)
            fleet.exchange()
        assert not fleet.quarantined
        assert not gateway.recent_crashes

    def test_a_replica_that_still_runs_does_not_clear_recent_requests(self) -> None:
        fleet = Fleet(1)
        (gateway,) = fleet.gateways
        for number in range(MIN_CRASHES):
            record = replica(f"r{number}")
            gateway.record_abandoned(record, POISON)
            fleet.clock.advance(ABANDONED_SECONDS - 1.0)
            gateway.record_running(record)
            gateway.record_connection(record)
            gateway.record_refused_connection(record)
            fleet.exchange()
        assert gateway.should_refuse(POISON)

    def test_requests_that_callers_often_give_up_are_not_blamed_beside_the_cause(
        self,
    ) -> None:
        """They are given up at each replica that crashes, and never succeed there."""
        fleet = Fleet(3)
        for number in range(MIN_CRASHES + 2):
            record = replica(f"r{number}")
            for index, gateway in enumerate(fleet.gateways):
                paths = [f"/{number}/{index}/{item}" for item in range(20)]
                self.give_up(gateway, record, *paths)
            fleet.gateways[0].record_abandoned(record, POISON)
            for gateway in fleet.gateways:
                gateway.record_refused_connection(record)
            fleet.exchange()
        assert set(fleet.quarantined) == {compute_fingerprint(POISON)}
        for gateway in fleet.gateways:
            assert not gateway.should_refuse(make_prompt_call("/new", "common"))

    def test_a_frequent_request_that_succeeds_is_not_blamed(self) -> None:
        """Also if it succeeded only after it was given up elsewhere, as by a backup."""
        fleet = Fleet(1)
        (gateway,) = fleet.gateways
        for number in range(9):
            record = replica(f"r{number}")
            gateway.record_abandoned(record, call("/stock"))
            gateway.record_success(call("/stock"))
            gateway.record_refused_connection(record)
            fleet.exchange()
            fleet.clock.advance(61.0)
        assert not fleet.quarantined
        assert not gateway.recent_crashes

    def test_a_success_after_the_crashes_exonerates_it(self) -> None:
        fleet = Fleet(2)
        first, second = fleet.gateways
        for number in range(MIN_CRASHES):
            first.record_abandoned(replica(f"r{number}"), POISON)
            first.record_refused_connection(replica(f"r{number}"))
            fleet.exchange()
        assert second.should_refuse(POISON)
        second.record_success(POISON)
        first.record_exonerations(second.recent_exonerations)
        assert not first.should_refuse(POISON)
        assert not second.should_refuse(POISON)


class TestBounds:
    def test_callers_that_leave_take_bounded_memory(self) -> None:
        clock = ManualClock()
        requests = AbandonedRequests(clock=clock)
        for number in range(3 * MAX_REQUESTS):
            request = InterruptedRequest(Fingerprint(f"f{number}"))
            requests.record(replica(f"r{number % 100}"), request, request_hash=number)
            requests.take_due_checks()
        assert len(requests) == MAX_REQUESTS
        taken = requests.take((replica("r1").instance, 1))
        assert len(taken) <= MAX_SUSPECTS
        assert taken[-1].request_hash == max(item.request_hash for item in taken)
        clock.advance(ABANDONED_SECONDS + DISCOVERY_SECONDS + 0.1)
        assert requests.take_due_checks() == []
        assert len(requests) == 0

    def test_the_cause_is_kept_among_many_that_were_given_up(self) -> None:
        fleet = Fleet(1)
        (gateway,) = fleet.gateways
        for number in range(MIN_CRASHES):
            record = replica(f"r{number}")
            gateway.record_abandoned(record, POISON)
            for index in range(MAX_REQUESTS - MAX_SUSPECTS):
                gateway.record_abandoned(replica("other"), call(f"/{number}/{index}"))
            gateway.record_refused_connection(record)
            fleet.exchange()
        assert gateway.should_refuse(POISON)

    def test_checks_become_rarer_and_end(self) -> None:
        clock = ManualClock()
        gateway = Containment(clock=clock, on_quarantine=lambda _: None)
        gateway.record_abandoned(replica("r1"), POISON)
        assert 3 <= list_due(gateway, clock, 5.0) <= 5
        checks = list_due(gateway, clock, ABANDONED_SECONDS)
        assert 0 < checks <= ABANDONED_SECONDS / MAX_CHECK_SECONDS
        assert list_due(gateway, clock, 60.0) == 0

    def test_a_stream_of_callers_that_leave_causes_few_checks(self) -> None:
        clock = ManualClock()
        gateway = Containment(clock=clock, on_quarantine=lambda _: None)
        checks = 0
        for number in range(400):
            gateway.record_abandoned(replica("r1"), call(f"/{number}"))
            checks += list_due(gateway, clock, 0.25)
        assert checks <= 100.0 / 0.5

    def test_few_replicas_are_checked_at_once(self) -> None:
        clock = ManualClock()
        gateway = Containment(clock=clock, on_quarantine=lambda _: None)
        for number in range(10 * MAX_DUE):
            gateway.record_abandoned(replica(f"r{number}"), POISON)
        clock.advance(1.0)
        seen = set()
        for _ in range(10):
            due = gateway.take_due_checks()
            assert len(due) == MAX_DUE
            seen |= {record.instance for record in due}
        assert len(seen) == 10 * MAX_DUE

    @pytest.mark.parametrize("body", [b"", b"x" * 70_000, bytes(range(256)) * 600])
    def test_fingerprints_are_those_of_the_build_before(self, body: bytes) -> None:
        """Gateways of both builds compare them."""
        item = call("/poison")
        item.body = body
        digest = compute_fingerprint(item)
        assert digest == _compute_earlier_fingerprint(item)


def _compute_earlier_fingerprint(item: Call) -> Fingerprint:
    body = item.body.decode("latin-1")
    return Fingerprint(f"{stable_hash('', item.head.target, body):016x}")


class CrashingReplica:
    """
    A replica that goes on with a request after its connection was closed.

    Parameters
    ----------
    name : str
    begin : callable
        Returns what it sends when it has received an attempt.
    """

    def __init__(self, name: str, begin: Callable[[str], bytes]) -> None:
        self._begin = begin
        self._connections: list[socket.socket] = []
        self.replica = ScriptedReplica(name, self._serve)

    def crash(self) -> None:
        """Close the listener and all connections."""
        self.replica.stop()
        for connection in self._connections:
            with contextlib.suppress(OSError):  # closed before
                connection.shutdown(socket.SHUT_RDWR)

    def _serve(self, this: ScriptedReplica, connection: socket.socket) -> None:
        self._connections.append(connection)
        attempt = this.receive_request(connection)
        connection.sendall(self._begin(attempt))
        connection.recv(1)
        raise EOFError


def begin_nothing(_attempt: str) -> bytes:
    return b""


def begin_stream(attempt: str) -> bytes:
    return make_stream_head(attempt) + make_chunk(make_event(1))


def begin_body(attempt: str) -> bytes:
    return make_response(attempt, b"x" * 900)[:-800]


@pytest.fixture
def harnesses() -> Iterator[list[ForwarderHarness]]:
    created: list[ForwarderHarness] = []
    yield created
    for harness in created:
        harness.stop()


@pytest.mark.parametrize(
    ("path", "begin", "leaves"),
    [
        pytest.param("/chat/1", begin_nothing, True, id="left-before-the-head"),
        pytest.param("/chat/1", begin_stream, True, id="left-within-the-stream"),
        pytest.param("/draft/1", begin_stream, True, id="left-resumable-stream"),
        pytest.param("/order/1", begin_nothing, True, id="left-order"),
        pytest.param("/order/1", begin_nothing, False, id="order-timed-out"),
        pytest.param("/order/1", begin_body, False, id="body-timed-out"),
        pytest.param("/read/1", begin_nothing, False, id="timed-out-beside-a-backup"),
    ],
)
def test_a_gateway_stops_sending_a_request_that_it_gave_up_before_each_crash(
    harnesses: list[ForwarderHarness],
    path: str,
    begin: Callable[[str], bytes],
    leaves: bool,
) -> None:
    clock = ManualClock()
    crashing = [CrashingReplica(f"r{number}", begin) for number in range(9)]
    harness = ForwarderHarness(
        [item.replica for item in crashing], containment_clock=clock
    )
    harnesses.append(harness)
    containment = harness.containment
    watch = AbandonmentWatch(
        connections=harness.connections,
        probe=make_probe(
            connections=harness.connections,
            containment=containment,
            clock=harness.clock,
        ),
        containment=containment,
    )
    answer = b""
    for number in range(MIN_CRASHES + 1):
        with harness.connect() as caller:
            caller.sendall(make_request(path, attempt=f"a{number}", close=True))
            if not leaves:
                answer = caller.recv(65_536)
            elif number < MIN_CRASHES:
                wait_until(lambda: any(item.replica.requests for item in crashing))
                gevent.sleep(0.05)
            else:
                answer = caller.recv(65_536)
        reached = [item for item in crashing if item.replica.requests]
        if not reached:
            break
        for item in reached:
            wait_until(lambda item=item: item.replica.closed_by_gateway_count > 0)
            item.crash()
            crashing.remove(item)
        harness.placement.update_replicas(item.replica.record for item in crashing)
        expected = len(containment.recent_crashes) + len(reached)
        clock.advance(0.5)
        watch.check_due()
        wait_until(lambda count=expected: len(containment.recent_crashes) == count)
        clock.advance(1.1)
        containment.update_quarantine()
    assert answer.startswith(b"HTTP/1.1 503")
    assert harness.quarantined
    assert len(crashing) >= 9 - MIN_CRASHES - 1


def test_a_replica_that_still_runs_is_not_asked_beside_an_open_connection(
    harnesses: list[ForwarderHarness],
) -> None:
    """Checks cost nothing while an idle connection shows that a replica runs."""

    def respond_or_hang(this: ScriptedReplica, connection: socket.socket) -> None:
        while True:
            attempt = this.receive_request(connection)
            if this.requests[-1][0].split()[1] == "/order/hang":
                connection.recv(1)
                raise EOFError
            connection.sendall(make_response(attempt))

    clock = ManualClock()
    running = ScriptedReplica("r0", respond_or_hang)
    harness = ForwarderHarness([running], containment_clock=clock)
    harnesses.append(harness)
    watch = AbandonmentWatch(
        connections=harness.connections,
        probe=make_probe(
            connections=harness.connections,
            containment=harness.containment,
            clock=harness.clock,
        ),
        containment=harness.containment,
    )
    with harness.connect() as caller:
        caller.sendall(make_request("/order/hang", attempt="a1"))
        wait_until(lambda: running.requests)
        gevent.sleep(0.05)
        assert b"done" in harness.send_request("/order/1", attempt="a2")
    wait_until(lambda: running.closed_by_gateway_count)
    opened = harness.connections.opened_count
    for _ in range(10):
        clock.advance(1.0)
        watch.check_due()
        gevent.sleep(0.01)
    assert harness.connections.opened_count == opened
    assert running.report_count == 0
    assert not harness.containment.recent_crashes


def test_a_replica_without_room_for_a_connection_blames_nothing(
    harnesses: list[ForwarderHarness],
) -> None:
    """It works on other requests of this gateway, whose connections are open."""

    def hang(this: ScriptedReplica, connection: socket.socket) -> None:
        this.receive_request(connection)
        connection.recv(1)
        raise EOFError

    clock = ManualClock()
    full = ScriptedReplica("r0", hang)
    harness = ForwarderHarness([full], containment_clock=clock)
    harnesses.append(harness)
    watch = AbandonmentWatch(
        connections=harness.connections,
        probe=make_probe(
            connections=harness.connections,
            containment=harness.containment,
            clock=harness.clock,
        ),
        containment=harness.containment,
    )
    with harness.connect() as staying:
        staying.sendall(make_request("/chat/1", attempt="a1"))
        wait_until(lambda: len(full.requests) == 1)
        with harness.connect() as leaving:
            leaving.sendall(make_request("/chat/2", attempt="a2"))
            wait_until(lambda: len(full.requests) == 2)
            gevent.sleep(0.05)
        wait_until(lambda: full.closed_by_gateway_count == 1)
        full.stop()
        for _ in range(4):
            clock.advance(1.0)
            watch.check_due()
            gevent.sleep(0.05)
        assert not harness.containment.recent_crashes
    wait_until(lambda: full.closed_by_gateway_count == 2)
    clock.advance(2.0)
    watch.check_due()
    wait_until(lambda: harness.containment.recent_crashes)


def test_a_request_that_got_its_whole_response_or_was_rejected_is_no_suspect(
    harnesses: list[ForwarderHarness],
) -> None:
    def serve(this: ScriptedReplica, connection: socket.socket) -> None:
        attempt = this.receive_request(connection)
        status = "503 Full" if "reject" in this.requests[-1][0] else "500 Error"
        header = "Not-Executed: 1\r\n" if status.startswith("503") else ""
        connection.sendall(make_response(attempt, status=status, extra_headers=header))
        connection.recv(1)

    clock = ManualClock()
    harness = ForwarderHarness(
        [ScriptedReplica(f"r{number}", serve) for number in range(3)],
        containment_clock=clock,
    )
    harnesses.append(harness)
    for path in ("/order/reject", "/order/fail", "/read/fail", "/chat/fail"):
        harness.send_request(path, attempt=path)
    clock.advance(5.0)
    assert harness.containment.take_due_checks() == []
