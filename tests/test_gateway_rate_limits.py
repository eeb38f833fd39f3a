"""
Tests of the rate limits that replicas name
===========================================
"""

import random
from collections.abc import Iterator

import pytest

from damasklead.clock import ManualClock
from damasklead.gateway.calls import Call, CallHead, UpstreamRecord, UpstreamState
from damasklead.gateway.coordination.assignment_client import make_assignment_request
from damasklead.gateway.coordination.cells import Cell
from damasklead.gateway.coordination.coordinator import Coordinator
from damasklead.gateway.coordination.messages import Grant, PrefillDone, RequestEnded
from damasklead.gateway.placements import new_placement
from damasklead.gateway.routing import (
    EngineSpec,
    Route,
    RouteKind,
    RouteName,
    ServiceSpec,
)
from damasklead.ids import AttemptId, DataCentre, InstanceId, ServiceName
from damasklead.rate_limits import (
    MIN_REQUESTS_PER_SECOND,
    OWNER_INTERVAL_SECONDS,
    UNLIMITED,
    RateLimit,
    RateLimits,
)
from tests.gateway_kit import ForwarderHarness, ScriptedReplica, make_response
from tests.test_gateway_responses import respond

SERVICE = ServiceName("app")
DATA_CENTRE = DataCentre("hout")
LIMIT = 1.3
# The operators' bound for the requests of all gateways within any such window.
WINDOW_SECONDS = 4.0
MAX_IN_WINDOW = 1.5 * LIMIT * WINDOW_SECONDS + 5


def make_record(number: int, *, incarnation: int = 1) -> UpstreamRecord:
    return UpstreamRecord(
        instance=InstanceId(f"r{number}"),
        service=SERVICE,
        address=f"10.0.0.{number}:80",
        data_centre=DATA_CENTRE,
        state=UpstreamState.LIVE,
        slots=64,
        incarnation=incarnation,
    )


def make_route(kind: RouteKind) -> Route:
    return Route(
        name=RouteName("r"), host="h", prefix="/r/", kind=kind, timeout=2.0,
        target=0.2, tier=0, split=((SERVICE, 1.0),),
    )  # fmt: skip


def make_call(name: str, route: Route, now: float) -> Call:
    head = CallHead(
        method="GET", target="/r/", host="h", attempt=AttemptId(name),
        caller_timeout=2.0, key=None,
    )  # fmt: skip
    return Call(
        head=head, route=route, service=SERVICE, workspace=None, arrival=now,
        deadline=now + 2.0, caller_deadline=now + 2.0, tier=0,
    )  # fmt: skip


def count_most_in_window(times: list[float]) -> int:
    """Return the largest number of requests in any window."""
    return max(
        (sum(start <= at < start + WINDOW_SECONDS for at in times) for start in times),
        default=0,
    )


class TestRateLimits:
    @pytest.fixture
    def clock(self) -> ManualClock:
        return ManualClock(start=50.0)

    def make_limits(self, clock: ManualClock, name: str = "g0") -> RateLimits:
        return RateLimits(clock=clock, instance=InstanceId(name))

    @pytest.mark.parametrize("limit", [0.0, 0.3, 1.0, 1.3, 17.5, 400.0])
    @pytest.mark.parametrize("count", [1, 8, 302])
    def test_shares_of_all_gateways_add_up_to_the_limit(
        self, clock: ManualClock, count: int, limit: float
    ) -> None:
        names = [InstanceId(f"g{number}") for number in range(count)]
        shares = []
        for name in names:
            limits = self.make_limits(clock, name)
            limits.set_senders(names)
            limits.record_response(make_record(1), limit, is_success=True)
            shares.append(limits.get_share(make_record(1)) or 0.0)
        expected = max(limit, MIN_REQUESTS_PER_SECOND)
        assert sum(shares) == pytest.approx(expected)
        slowest = min(share for share in shares if share)
        assert slowest >= min(expected, 1 / OWNER_INTERVAL_SECONDS)

    def test_a_response_without_a_limit_ends_it(self, clock: ManualClock) -> None:
        limits = self.make_limits(clock)
        limits.record_response(make_record(1), LIMIT, is_success=True)
        assert limits.get_limit(make_record(1)) == LIMIT and limits.limited_count == 1
        limits.record_response(make_record(1), None, is_success=True)
        assert limits.get_limit(make_record(1)) is None and limits.limited_count == 0

    def test_an_error_or_refusal_without_a_limit_does_not_end_it(
        self, clock: ManualClock
    ) -> None:
        limits = self.make_limits(clock)
        limits.record_response(make_record(1), LIMIT, is_success=True)
        limits.record_response(make_record(1), None, is_success=False)
        assert limits.get_limit(make_record(1)) == LIMIT
        limits.record_response(make_record(1), 0.5, is_success=False)
        assert limits.get_limit(make_record(1)) == 0.5

    def test_a_limit_ends_with_the_incarnation(self, clock: ManualClock) -> None:
        limits = self.make_limits(clock)
        limits.record_response(make_record(1), LIMIT, is_success=True)
        restarted = make_record(1, incarnation=2)
        assert limits.get_limit(restarted) is None
        limits.record_response(restarted, 5.0, is_success=True)
        limits.record_response(make_record(1), LIMIT, is_success=True)
        assert limits.get_limit(restarted) == 5.0

    def test_only_changes_are_reported_and_not_forever(
        self, clock: ManualClock
    ) -> None:
        limits = self.make_limits(clock)
        limits.record_response(make_record(2), None, is_success=True)
        for number in range(50):
            limits.record_response(
                make_record(1), 10.0 + 0.001 * number, is_success=True
            )
        assert limits.recent_changes == [RateLimit(InstanceId("r1"), 1, 10.0, 1)]
        clock.advance(60.0)
        assert limits.recent_changes == []

    def test_reports_that_arrive_late_or_twice_change_nothing(
        self, clock: ManualClock
    ) -> None:
        limits = self.make_limits(clock)
        instance = InstanceId("r1")
        newer = RateLimit(instance, 1, UNLIMITED, 2)
        limits.apply_reports([newer, RateLimit(instance, 1, LIMIT, 1), newer])
        assert limits.get_limit(make_record(1)) is None
        assert limits.recent_changes == []

    def test_gateways_agree_after_simultaneous_changes(
        self, clock: ManualClock
    ) -> None:
        reports = [
            RateLimit(InstanceId("r1"), 1, rate, 3) for rate in (UNLIMITED, 2.0, 1.0)
        ]
        for order in ([0, 1, 2], [2, 1, 0], [1, 2, 0]):
            limits = self.make_limits(clock)
            limits.apply_reports(reports[index] for index in order)
            assert limits.get_limit(make_record(1)) == 1.0


class SharedLoad:
    """
    Gateways that choose replicas of a plain service by themselves.

    Replica ``r0`` names a limit in its responses while ``limit`` is set; reports reach
    all other gateways after 0.3 s.
    """

    def __init__(self, *, gateway_count: int, replica_count: int = 3) -> None:
        self.clock = ManualClock(start=100.0)
        self.limit: float | None = LIMIT
        self.sent_at: list[float] = []
        self.refused = 0
        self._random = random.Random(7)
        names = [InstanceId(f"g{number}") for number in range(gateway_count)]
        self._limits = [RateLimits(clock=self.clock, instance=name) for name in names]
        self._placements = []
        for limits in self._limits:
            limits.set_senders(names)
            placement = new_placement(
                service=ServiceSpec(name=SERVICE, max_connections=100),
                clock=self.clock,
                data_centre=DATA_CENTRE,
                get_request_rate=limits.get_share,
            )
            placement.update_replicas(
                make_record(number) for number in range(replica_count)
            )
            self._placements.append(placement)
        self._pending_reports: list[tuple[float, RateLimit]] = []

    def run(self, seconds: float, *, rate: float) -> None:
        end = self.clock.now() + seconds
        number = 0
        while self.clock.now() < end:
            self.clock.advance(self._random.expovariate(rate))
            self._deliver_reports()
            number += 1
            self._send(f"{self.clock.now()}-{number}")

    def _deliver_reports(self) -> None:
        due = [x for x in self._pending_reports if x[0] <= self.clock.now()]
        for item in due:
            self._pending_reports.remove(item)
            for limits in self._limits:
                limits.apply_reports([item[1]])

    def _send(self, name: str) -> None:
        index = self._random.randrange(len(self._placements))
        placement, limits = self._placements[index], self._limits[index]
        call = make_call(name, make_route(RouteKind.IDEMPOTENT), self.clock.now())
        record = placement.choose_replica(call)
        if record is None:
            assert placement.get_remaining_pause() is not None
            self.refused += 1
            return
        placement.record_sent(record.instance, call)
        placement.record_success(record.instance, call)
        if record.instance != "r0":
            limits.record_response(record, None, is_success=True)
            return
        self.sent_at.append(self.clock.now())
        known = limits.recent_changes
        limits.record_response(record, self.limit, is_success=True)
        for change in limits.recent_changes:
            if change not in known:
                self._pending_reports.append((self.clock.now() + 0.3, change))


class TestGatewaysThatChooseThemselves:
    @pytest.mark.parametrize("gateway_count", [1, 8, 302])
    def test_the_sum_of_all_gateways_stays_within_the_limit(
        self, gateway_count: int
    ) -> None:
        load = SharedLoad(gateway_count=gateway_count)
        load.run(3.0, rate=200.0)
        load.sent_at.clear()
        load.run(24.0, rate=200.0)
        assert count_most_in_window(load.sent_at) <= MAX_IN_WINDOW
        assert len(load.sent_at) >= 0.5 * LIMIT * 24.0
        assert not load.refused

    @pytest.mark.parametrize("gateway_count", [8, 302])
    def test_all_gateways_return_soon_after_the_limit_ends(
        self, gateway_count: int
    ) -> None:
        load = SharedLoad(gateway_count=gateway_count)
        load.run(10.0, rate=200.0)
        load.limit = None
        load.run(2 * OWNER_INTERVAL_SECONDS, rate=200.0)
        load.sent_at.clear()
        load.run(5.0, rate=200.0)
        assert len(load.sent_at) > 0.2 * 5.0 * 200.0

    def test_callers_learn_when_to_return_if_no_other_replica_is_left(self) -> None:
        load = SharedLoad(gateway_count=8, replica_count=1)
        load.run(3.0, rate=50.0)
        load.sent_at.clear()
        load.run(20.0, rate=50.0)
        assert load.refused > 500
        assert count_most_in_window(load.sent_at) <= MAX_IN_WINDOW
        assert len(load.sent_at) >= 0.5 * LIMIT * 20.0


class TestCoordinators:
    """Streams that bypass the queue, from eight gateways, to three engines."""

    ENGINES = ServiceSpec(
        name=SERVICE,
        max_connections=100,
        engine=EngineSpec(slots=64, memory_tokens=100_000, tokens_per_event=4),
    )

    def make_coordinator(self, clock: ManualClock, limits: RateLimits) -> Coordinator:
        self.cell = Cell(SERVICE, DATA_CENTRE, 0)
        self.route = make_route(RouteKind.STREAM)
        coordinator = Coordinator(
            cell=self.cell,
            clock=clock,
            service=self.ENGINES,
            routes=[self.route],
            rate_limits=limits,
            is_in_charge=lambda: True,
        )
        coordinator.set_engines([make_record(number) for number in range(3)])
        return coordinator

    def send_requests(
        self,
        coordinator: Coordinator,
        clock: ManualClock,
        seconds: float,
        *,
        limit: float | None,
    ) -> list[float]:
        """Return when requests were assigned to ``r0``, which names the limit."""
        sent_at: list[float] = []
        for number in range(int(seconds * 20)):
            clock.advance(0.05)
            gateway = f"g{number % 8}"
            call = make_call(f"{clock.now()}", self.route, clock.now())
            request = make_assignment_request(
                gateway, call, self.cell, now=clock.now(), excluded=(),
                is_first_attempt=True,
            )  # fmt: skip
            (response,) = coordinator.handle_assignment_request(request)
            grant = response.response
            assert isinstance(grant, Grant)
            is_limited = grant.instance == "r0"
            if is_limited:
                sent_at.append(clock.now())
            coordinator.handle_prefill_done(
                PrefillDone(
                    gateway, self.cell, call.id, None, limit if is_limited else None
                )
            )
            coordinator.handle_request_ended(
                RequestEnded(gateway, self.cell, call.id, "whole")
            )
        return sent_at

    def test_a_coordinator_keeps_to_the_limit_and_uses_it(self) -> None:
        clock = ManualClock(start=100.0)
        limits = RateLimits(clock=clock, instance=InstanceId("g0"))
        coordinator = self.make_coordinator(clock, limits)
        self.send_requests(coordinator, clock, 3.0, limit=LIMIT)
        sent_at = self.send_requests(coordinator, clock, 20.0, limit=LIMIT)
        assert count_most_in_window(sent_at) <= MAX_IN_WINDOW
        assert len(sent_at) >= 0.7 * LIMIT * 20.0
        self.send_requests(coordinator, clock, 1.0, limit=None)
        assert len(self.send_requests(coordinator, clock, 5.0, limit=None)) > 20

    def test_the_next_coordinator_knows_the_limit_from_reports(self) -> None:
        clock = ManualClock(start=100.0)
        limits = RateLimits(clock=clock, instance=InstanceId("g1"))
        limits.apply_reports([RateLimit(InstanceId("r0"), 1, LIMIT, 1)])
        coordinator = self.make_coordinator(clock, limits)
        sent_at = self.send_requests(coordinator, clock, 20.0, limit=LIMIT)
        assert count_most_in_window(sent_at) <= MAX_IN_WINDOW


def respond_with_limit(replica: ScriptedReplica, connection: object) -> None:
    while True:
        attempt = replica.receive_request(connection)
        headers = f"Server-Limit: {LIMIT}\r\n"
        connection.sendall(make_response(attempt, extra_headers=headers))


class TestForwarding:
    @pytest.fixture
    def harness(self) -> Iterator[ForwarderHarness]:
        harness = ForwarderHarness(
            [ScriptedReplica("r0", respond_with_limit), ScriptedReplica("r1", respond)]
        )
        yield harness
        harness.stop()

    def test_a_replica_that_names_a_limit_gets_no_more_requests_than_that(
        self, harness: ForwarderHarness
    ) -> None:
        for number in range(60):
            response = harness.send_request(f"/read/{number}", attempt=f"a{number}")
            assert response.startswith(b"HTTP/1.1 200")
        limited, other = harness.replicas
        assert len(limited.requests) <= 2
        assert len(limited.requests) + len(other.requests) == 60
