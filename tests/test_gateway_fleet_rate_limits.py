"""
Tests of the limit that a replica names, over all gateways and their restarts
=============================================================================

Simulated gateways that lose datagrams and are restarted; one of them coordinates the
engines, of which one names a limit.
"""

import random

import msgspec
import pytest

from damasklead.gateway.calls import Call
from damasklead.gateway.coordination.assignment_client import make_assignment_request
from damasklead.gateway.coordination.cells import Cell
from damasklead.gateway.coordination.coordinator import Coordinator
from damasklead.gateway.coordination.messages import (
    AssignmentResponse,
    Grant,
    PrefillDone,
    RequestEnded,
    RequestQueued,
)
from damasklead.gateway.placements import Placement, new_placement
from damasklead.gateway.routing import EngineSpec, RouteKind, ServiceSpec
from damasklead.ids import AttemptId, InstanceId
from tests.test_gateway_broadcasts import STEP_SECONDS, Fleet, Gateway
from tests.test_gateway_rate_limits import (
    DATA_CENTRE,
    SERVICE,
    make_call,
    make_record,
    make_route,
)

# The operators' bound: requests within any window from gateways that were told of the
# limit at least ``TOLD_SECONDS`` before, once the limit has stood for a while.
WINDOW_SECONDS = 4.0
TOLD_SECONDS = 0.5
STABLE_SECONDS = 3.0
# From a stream's assignment to its first event.
FIRST_EVENT_SECONDS = 0.2
STREAM_SECONDS = 1.0


ENGINES = ServiceSpec(
    name=SERVICE,
    max_connections=100,
    engine=EngineSpec(slots=64, memory_tokens=100_000, tokens_per_event=4),
)


class _Stream(msgspec.Struct, kw_only=True):
    """A stream that was assigned to the limited engine or to another one."""

    gateway: Gateway
    coordinator: Coordinator
    attempt: AttemptId
    sent_at: float
    is_limited: bool
    has_begun: bool = False


class LimitedEngine:
    """
    Streams from all gateways to engines of which ``r0`` names a limit.

    Parameters
    ----------
    fleet : Fleet
    limit : float
        The limit in requests per second.
    bare_fraction : float
        Fraction of its responses that are errors without the header.
    engine_count : int
    """

    def __init__(
        self,
        fleet: Fleet,
        *,
        limit: float,
        bare_fraction: float = 0.0,
        engine_count: int = 3,
    ) -> None:
        self.fleet = fleet
        self.limit = limit
        self.sent_at: list[float] = []
        # All requests to the engine, also from gateways that were not told.
        self.limited_count = 0
        self._bare_fraction = bare_fraction
        self._engines = [make_record(number) for number in range(engine_count)]
        self._own_placements: dict[tuple[str, int], Placement] = {}
        # Whether the coordinators of the first ranks don't respond to the gateways.
        self.is_first_coordinator_silent = False
        for gateway in fleet.gateways.values():
            gateway.rate_limits.set_senders(InstanceId(name) for name in fleet.gateways)
        self._cell = Cell(SERVICE, DATA_CENTRE, 0)
        self._route = make_route(RouteKind.STREAM)
        self._random = random.Random(len(fleet.gateways))
        self._coordinators: dict[tuple[str, int], Coordinator] = {}
        self._told_at: dict[tuple[str, int], float] = {}
        self._streams: list[_Stream] = []
        self._request_count = 0
        self._waiting: dict[AttemptId, tuple[Gateway, Call]] = {}
        self._record = make_record(0)
        self.limited_since = fleet.clock.now()

    def run(self, seconds: float, *, rate: float) -> None:
        """Send streams at a rate per second."""
        due = 0.0
        for _ in range(round(seconds / STEP_SECONDS)):
            due += rate * STEP_SECONDS
            while due >= 1.0:
                due -= 1.0
                self._send_stream()
            for coordinator in list(self._coordinators.values()):
                for response in coordinator.process_queue():
                    self._handle_response(coordinator, response.response)
            self._continue_streams()
            self.fleet.run(STEP_SECONDS)

    def count_most_in_window(self) -> int:
        """Return the largest number of requests that the bound counts in a window."""
        times = [at for at in self.sent_at if at >= self.limited_since + STABLE_SECONDS]
        return max(
            (
                sum(start <= at < start + WINDOW_SECONDS for at in times)
                for start in times
            ),
            default=0,
        )

    @property
    def bound(self) -> float:
        return 1.5 * self.limit * WINDOW_SECONDS + 5

    def _send_stream(self) -> None:
        now = self.fleet.clock.now()
        gateway = self._random.choice(self.fleet.running_gateways)
        coordinator = self._get_coordinator(gateway)
        self._request_count += 1
        call = make_call(f"a{self._request_count}", self._route, now)
        request = make_assignment_request(
            gateway.name,
            call,
            self._cell,
            now=now,
            excluded=(),
            is_first_attempt=True,
            rate_limits=tuple(gateway.rate_limits.find_reports([self._record])),
        )
        self._waiting[call.id] = gateway, call
        (response,) = coordinator.handle_assignment_request(request)
        self._handle_response(coordinator, response.response)

    def _handle_response(
        self, coordinator: Coordinator, response: AssignmentResponse
    ) -> None:
        if isinstance(response, RequestQueued):
            return
        gateway, call = self._waiting.pop(response.attempt)
        if isinstance(response, Grant):
            self._start_stream(gateway, coordinator, call, response.instance)
        elif response.retry_after is None:
            placement = self._get_own_placement(gateway)
            record = placement.choose_replica(call)
            if record is not None:
                placement.record_sent(record.instance, call)
                self._start_stream(gateway, coordinator, call, record.instance)

    def _start_stream(
        self,
        gateway: Gateway,
        coordinator: Coordinator,
        call: Call,
        instance: InstanceId,
    ) -> None:
        now = self.fleet.clock.now()
        is_limited = instance == self._record.instance
        self._streams.append(
            _Stream(
                gateway=gateway,
                coordinator=coordinator,
                attempt=call.id,
                sent_at=now,
                is_limited=is_limited,
            )
        )
        self.limited_count += is_limited
        told_at = self._told_at.get((gateway.name, gateway.incarnation), now)
        if is_limited and now - told_at >= TOLD_SECONDS:
            self.sent_at.append(now)

    def _continue_streams(self) -> None:
        now = self.fleet.clock.now()
        for stream in self._streams:
            if not stream.has_begun and now - stream.sent_at >= FIRST_EVENT_SECONDS:
                stream.has_begun = True
                self._begin_stream(stream)
            if now - stream.sent_at >= STREAM_SECONDS:
                stream.coordinator.handle_request_ended(
                    RequestEnded(
                        stream.gateway.name, self._cell, stream.attempt, "whole"
                    )
                )
        self._streams = [s for s in self._streams if now - s.sent_at < STREAM_SECONDS]

    def _begin_stream(self, stream: _Stream) -> None:
        gateway = stream.gateway
        if gateway is not self.fleet.gateways[gateway.name]:
            return  # the gateway was restarted meanwhile
        limit = None
        if stream.is_limited:
            is_error = self._random.random() < self._bare_fraction
            limit = None if is_error else self.limit
            gateway.rate_limits.record_response(
                self._record, limit, is_success=not is_error
            )
            if is_error:
                return
            identity = (gateway.name, gateway.incarnation)
            self._told_at.setdefault(identity, self.fleet.clock.now())
        stream.coordinator.handle_prefill_done(
            PrefillDone(gateway.name, self._cell, stream.attempt, None, limit)
        )

    def _get_own_placement(self, gateway: Gateway) -> Placement:
        """Return the placement by which a gateway chooses engines by itself."""
        identity = (gateway.name, gateway.incarnation)
        if identity not in self._own_placements:
            placement = new_placement(
                service=ENGINES,
                clock=self.fleet.clock,
                data_centre=DATA_CENTRE,
                get_request_rate=gateway.rate_limits.get_uncoordinated_share,
            )
            placement.update_replicas(self._engines)
            self._own_placements[identity] = placement
        return self._own_placements[identity]

    def _get_coordinator(self, requester: Gateway) -> Coordinator:
        """Return the coordinator that responds to a gateway's request."""
        gateway = self.fleet.running_gateways[0]
        if self.is_first_coordinator_silent:
            gateway = requester
        identity = (gateway.name, gateway.incarnation)
        if identity not in self._coordinators:
            coordinator = Coordinator(
                cell=self._cell,
                clock=self.fleet.clock,
                service=ENGINES,
                routes=[self._route],
                rate_limits=gateway.rate_limits,
                is_in_charge=lambda: gateway is self.fleet.running_gateways[0],
            )
            coordinator.set_engines(self._engines)
            self._coordinators[identity] = coordinator
        return self._coordinators[identity]


SIZES = pytest.mark.parametrize("count", [8, 77, 302])
# Streams per second.
RATES = pytest.mark.parametrize("rate", [5.0, 60.0])
LIMITS = pytest.mark.parametrize("limit", [0.5, 1.3, 2.9])


def make_load(count: int, limit: float, rate: float, **options: float) -> LimitedEngine:
    """Return a fleet that has known the limit for a while."""
    load = LimitedEngine(Fleet(count, loss=0.05), limit=limit, **options)
    load.run(6.0, rate=rate)
    return load


@SIZES
@RATES
@LIMITS
def test_a_limit_holds_while_coordinators_are_restarted(
    count: int, rate: float, limit: float
) -> None:
    load = make_load(count, limit, rate)
    for turn in range(8):
        # Every second process that starts gets no snapshot.
        seed = load.fleet.running_gateways[-1].name if turn % 2 else None
        load.fleet.restart(load.fleet.running_gateways[0].name, seed=seed)
        load.run(1.0, rate=rate)
    assert load.count_most_in_window() <= load.bound


@SIZES
@RATES
@LIMITS
def test_a_limit_holds_while_all_gateways_are_restarted_in_turn(
    count: int, rate: float, limit: float
) -> None:
    load = make_load(count, limit, rate)
    names = list(load.fleet.gateways)
    for turn in range(8):
        for name in names[turn % 4 :: 4]:
            load.fleet.restart(name, seed=None)
        load.run(1.0, rate=rate)
    assert load.count_most_in_window() <= load.bound


@SIZES
@RATES
@LIMITS
def test_errors_that_name_no_limit_do_not_end_it(
    count: int, rate: float, limit: float
) -> None:
    load = make_load(count, limit, rate, bare_fraction=0.4)
    load.run(10.0, rate=rate)
    assert load.count_most_in_window() <= load.bound


@SIZES
@RATES
@LIMITS
def test_a_limit_holds_while_gateways_coordinate_their_own_requests(
    count: int, rate: float, limit: float
) -> None:
    load = make_load(count, limit, rate)
    for _ in range(3):
        load.is_first_coordinator_silent = True
        load.run(1.0, rate=rate)
        load.is_first_coordinator_silent = False
        load.run(1.0, rate=rate)
    assert load.count_most_in_window() <= load.bound


@SIZES
@RATES
@LIMITS
def test_a_limit_holds_when_no_other_engine_is_left(
    count: int, rate: float, limit: float
) -> None:
    load = make_load(count, limit, rate, engine_count=1)
    load.run(10.0, rate=rate)
    assert load.count_most_in_window() <= load.bound
    assert load.limited_count >= 0.5 * limit * 16.0
