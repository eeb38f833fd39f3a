"""
Coordinator
===========

Assigns the requests of all gateways to one cell's engines, queues and rejects them.  No
I/O: the inputs are messages and the time, the outputs are responses.

Load pattern: many gateways send a few requests each to the same engines.  The
coordinator knows all of them as they arrive, so that it distributes a burst evenly, has
a shared prefix prefilled once and keeps a single queue.
"""

import math
from collections.abc import Callable

import msgspec

from damasklead.clock import Clock
from damasklead.failures import Failure
from damasklead.gateway.admission import AdmissionController, Admit, Decision
from damasklead.gateway.calls import Call, CallHead, UpstreamRecord
from damasklead.gateway.coordination.cells import Cell
from damasklead.gateway.coordination.load_meter import LoadMeter
from damasklead.gateway.coordination.messages import (
    UNKNOWN_RATE_LIMIT,
    AssignmentRequest,
    AssignmentResponse,
    Grant,
    PrefillDone,
    RequestEnded,
    RequestQueued,
    RequestRejected,
    RunningRequests,
    WorkspaceAssignmentRequest,
)
from damasklead.gateway.placements import EnginePlacement, Placement
from damasklead.gateway.routing import Route, ServiceSpec, Workspace
from damasklead.ids import AttemptId, InstanceId
from damasklead.rate_limits import RateLimits
from damasklead.rejection_limits import SlotShare

__all__ = ["AddressedResponse", "Coordinator", "CoordinatorLoad"]

# Interval between ``RequestQueued`` messages for a request that stays queued.
QUEUED_INTERVAL_SECONDS = 0.2
# An assignment that its gateway doesn't list as running is dropped only when it is
# older than this: the gateway may have sent the list before it received the grant.
REPORT_GRACE_SECONDS = 0.4
# Minimum interval between computations of the cell's backlog.
BACKLOG_INTERVAL_SECONDS = 0.05
# Maximum number of admission decisions in one ``process_queue`` call.
MAX_DECISIONS_PER_PASS = 16
# A gateway that takes over knows the running requests of all gateways after this time,
# in which each has reported its own.
TAKEOVER_SECONDS = 1.3
# A coordinator without requests is removed this long after the last assignment request.
IDLE_TIMEOUT_SECONDS = 20.0
# A duplicate of an assignment request gets the same grant for this long.
DUPLICATE_WINDOW_SECONDS = 1.0


_FAILURES = {failure.value: failure for failure in Failure}


class AddressedResponse(msgspec.Struct, frozen=True):
    """A response and the id of the gateway that receives it."""

    recipient: str
    response: AssignmentResponse


class CoordinatorLoad(msgspec.Struct, kw_only=True, frozen=True):
    """
    Load of a cell since it was last taken.

    Attributes
    ----------
    seconds : float
        Time that the counts cover.
    running, queued : int
        Requests at engines and in the queue.
    arrivals, refusals : int
        Requests that arrived, and those that were refused.
    prefill_tokens : int
        Prompt tokens of the assigned requests that were estimated to be uncached.
    backlog : float
        Mean seconds of prefill work that the engines have pending.
    shared_tokens : int
        Tokens of the different shared parts that were used recently.
    """

    seconds: float = 1.0
    running: int = 0
    queued: int = 0
    arrivals: int = 0
    refusals: int = 0
    prefill_tokens: int = 0
    backlog: float = 0.0
    shared_tokens: int = 0


class _TrackedRequest(msgspec.Struct, kw_only=True):
    """
    A queued or running request.

    Attributes
    ----------
    changed_at : float
        Clock reading when the request arrived, or was assigned.
    queued_at : float
        Clock reading of the last ``RequestQueued`` for the request.
    instance : InstanceId or None
        The assigned replica; ``None`` while the request is queued.
    grant : Grant or None
        The response; ``None`` if the request is queued or was not assigned here.
    """

    call: Call
    requester: str
    changed_at: float
    excluded: frozenset[InstanceId]
    source: str | None = None
    queued_at: float = 0.0
    instance: InstanceId | None = None
    grant: Grant | None = None


class Coordinator:
    """
    The coordinator of one cell.

    Parameters
    ----------
    cell : Cell
    clock : Clock
    service : ServiceSpec
    routes : list of Route
        The routes whose requests may go to the service.
    placement : type
        The placement that chooses among the engines.
    rate_limits : RateLimits
        The limits that engines name in their responses.
    is_in_charge : callable
        Returns whether this is the coordinator of all gateways, which assigns requests
        at the full rate; otherwise it uses this gateway's share of what is left.
    """

    def __init__(
        self,
        *,
        cell: Cell,
        clock: Clock,
        service: ServiceSpec,
        routes: list[Route],
        placement: type[Placement] = EnginePlacement,
        rate_limits: RateLimits,
        is_in_charge: Callable[[], bool],
    ) -> None:
        self._rate_limits = rate_limits
        self._is_in_charge = is_in_charge
        self._in_charge_since = math.inf
        self._cell = cell
        self._clock = clock
        self._last_request_at = clock.now()
        self._placement = placement(
            service=service,
            clock=clock,
            data_centre=cell.data_centre,
            get_request_rate=self._get_request_rate,
            get_slot_share=self._get_slot_share,
        )
        self._admission = AdmissionController(
            clock=clock,
            has_capacity_for=self._placement.has_capacity_for,
            bypasses_queue=self._placement.bypasses_queue,
            has_any_capacity=self._placement.has_any_capacity,
            estimate_pool_prefill_seconds=self._placement.estimate_pool_prefill_seconds,
            estimate_prefill_seconds=self._placement.estimate_prefill_seconds,
        )
        self._backlog = 0.0
        self._backlog_at = -math.inf
        self._routes: dict[str, Route] = {}
        self._requests: dict[AttemptId, _TrackedRequest] = {}
        self._meter = LoadMeter(clock=clock)
        self._taken_prefill_tokens = 0
        self._is_metered = False
        self.configure(service, routes)
        self._update_in_charge()

    @property
    def is_idle(self) -> bool:
        """Whether there are no requests and none has arrived for a while."""
        has_recent_request = (
            self._clock.now() - self._last_request_at < IDLE_TIMEOUT_SECONDS
        )
        return not has_recent_request and not self._requests

    @property
    def backlog(self) -> float:
        """
        Mean seconds of prefill work that the cell's engines have pending, including
        that of queued requests.
        """
        now = self._clock.now()
        if now - self._backlog_at >= BACKLOG_INTERVAL_SECONDS:
            self._backlog_at = now
            queued_seconds = sum(
                map(
                    self._placement.estimate_pool_prefill_seconds,
                    self._admission.queued_calls,
                )
            )
            self._backlog = self._placement.mean_backlog + queued_seconds
        return self._backlog

    @property
    def queue_length(self) -> int:
        """Number of queued requests."""
        return self._admission.queue_length

    @property
    def interleaved_requests(self) -> int:
        """Number of requests assigned to engines reserved for more urgent ones."""
        return self._placement.interleaved_requests

    @property
    def request_count(self) -> int:
        """Number of running and queued requests."""
        return len(self._requests)

    def configure(self, service: ServiceSpec, routes: list[Route]) -> None:
        """Apply the current specification of the service and its routes."""
        self._routes = {route.name: route for route in routes}
        self._is_metered = service.scaling is not None
        self._placement.configure(service, routes)

    def set_engines(self, records: list[UpstreamRecord]) -> None:
        """Set the cell's engines."""
        self._placement.update_replicas(records)

    def take_load(self) -> CoordinatorLoad:
        """Return the load since the last call."""
        counts = self._meter.take_counts()
        prefill_tokens = self._placement.sent_prefill_tokens
        prefill_before, self._taken_prefill_tokens = (
            self._taken_prefill_tokens,
            prefill_tokens,
        )
        return CoordinatorLoad(
            seconds=counts.seconds,
            running=len(self._requests) - self.queue_length,
            queued=self.queue_length,
            arrivals=counts.arrivals,
            refusals=counts.refusals,
            prefill_tokens=prefill_tokens - prefill_before,
            backlog=self.backlog,
            shared_tokens=counts.shared_tokens,
        )

    def handle_assignment_request(
        self, request: AssignmentRequest
    ) -> list[AddressedResponse]:
        """Assign, queue or reject a request; returns the response to send."""
        self._last_request_at = self._clock.now()
        self._rate_limits.apply_reports(request.rate_limits)
        existing_entry = self._requests.get(request.attempt)
        if existing_entry is not None and existing_entry.requester == request.requester:
            repeated_response = self._replay_response(existing_entry, request)
            if repeated_response is not None:
                return [repeated_response]
        route = self._routes.get(request.route)
        if route is None:
            return [
                AddressedResponse(
                    request.requester,
                    RequestRejected(request.attempt, None, self.backlog),
                )
            ]
        entry = self._make_entry(request, route)
        self._requests[request.attempt] = entry
        if not request.is_first_attempt:
            return [self._assign_replica(entry)]
        if self._is_metered:
            self._meter.record_arrival(request.prompt)
        decision = self._admission.submit_call(entry.call)
        if decision is not None:
            return [self._apply_decision(decision)]
        entry.queued_at = self._clock.now()
        return [AddressedResponse(request.requester, RequestQueued(request.attempt))]

    def handle_prefill_done(self, message: PrefillDone) -> None:
        """Record that the prefill of a request is complete."""
        entry = self._requests.get(message.attempt)
        if entry is not None and entry.instance is not None:
            self._record_rate_limit(entry.instance, message.rate_limit)
            self._placement.record_response_head(entry.instance, message.load)
            self._placement.record_stream_event(entry.instance, entry.call)

    def handle_request_ended(self, message: RequestEnded) -> None:
        """Remove a request and record its outcome at its replica."""
        entry = self._requests.get(message.attempt)
        if entry is None or entry.requester != message.requester:
            return
        del self._requests[message.attempt]
        self._admission.remove_call(entry.call)
        if entry.instance is None:
            return
        if message.outcome == "whole":
            self._placement.record_success(entry.instance, entry.call)
        elif message.outcome in _FAILURES:
            failure = _FAILURES[message.outcome]
            self._placement.record_failure(entry.instance, entry.call, failure)
        else:
            self._placement.record_cancellation(entry.instance, entry.call)

    def handle_running_requests(self, message: RunningRequests) -> None:
        """
        Drop the requests that a gateway no longer lists as running, and record those
        that are not known yet.
        """
        self._update_in_charge()
        now = self._clock.now()
        listed_attempts = {attempt for attempt, _, _ in message.requests}
        for attempt, entry in list(self._requests.items()):
            is_settled = (
                entry.instance is not None
                and now - entry.changed_at > REPORT_GRACE_SECONDS
            )
            if (
                entry.requester == message.requester
                and is_settled
                and attempt not in listed_attempts
            ):
                self._drop_request(entry)
        for attempt, instance, pending_tokens in message.requests:
            if attempt not in self._requests:
                self._adopt_request(
                    message.requester, attempt, instance, pending_tokens
                )

    def process_queue(self) -> list[AddressedResponse]:
        """Decide on queued requests, and notify the requesters of those that stay."""
        responses: list[AddressedResponse] = []
        for _ in range(MAX_DECISIONS_PER_PASS):
            decision = (
                self._admission.decide_next() if self._admission.queue_length else None
            )
            if decision is None:
                break
            responses.append(self._apply_decision(decision))
        now = self._clock.now()
        for entry in list(self._requests.values()):
            if now > entry.call.deadline + REPORT_GRACE_SECONDS:
                self._drop_request(entry)
            elif (
                entry.instance is None
                and now - entry.queued_at >= QUEUED_INTERVAL_SECONDS
            ):
                entry.queued_at = now
                responses.append(
                    AddressedResponse(entry.requester, RequestQueued(entry.call.id))
                )
        return responses

    def _get_request_rate(self, record: UpstreamRecord) -> float | None:
        """Return the rate at which requests may be assigned to an engine."""
        if self._rate_limits.get_limit(record) is None:
            return None
        if self._is_in_charge():
            return self._rate_limits.get_limit(record)
        return self._rate_limits.get_uncoordinated_share(record)

    def _get_slot_share(self, record: UpstreamRecord) -> SlotShare | None:
        """Return what may be used of an engine; ``None`` if it isn't brittle."""
        rejections = self._rate_limits.rejections
        if rejections.get_limit(record) is None:
            return None
        if not self._knows_running_requests():
            return rejections.get_share(record, slots=0)
        engine = self._placement.service.engine
        slots = record.slots if engine is None else min(record.slots, engine.slots)
        return rejections.get_whole_share(record, slots=slots)

    def _knows_running_requests(self) -> bool:
        """Return whether all gateways have reported the requests that run."""
        self._update_in_charge()
        return self._clock.now() - self._in_charge_since >= TAKEOVER_SECONDS

    def _update_in_charge(self) -> None:
        if self._is_in_charge():
            self._in_charge_since = min(self._in_charge_since, self._clock.now())
        else:
            self._in_charge_since = math.inf

    def _record_rate_limit(
        self, instance: InstanceId, rate_limit: float | None
    ) -> None:
        record = self._placement.get_record(instance)
        if record is not None and rate_limit != UNKNOWN_RATE_LIMIT:
            self._rate_limits.record_response(record, rate_limit, is_success=True)

    def _replay_response(
        self, entry: _TrackedRequest, request: AssignmentRequest
    ) -> AddressedResponse | None:
        """Return the response to a duplicate; ``None`` if a new assignment is due."""
        if entry.instance is None:
            return AddressedResponse(entry.requester, RequestQueued(request.attempt))
        is_recent = self._clock.now() - entry.changed_at < DUPLICATE_WINDOW_SECONDS
        if (
            entry.grant is not None
            and is_recent
            and entry.instance not in request.excluded
        ):
            return AddressedResponse(entry.requester, entry.grant)
        self._drop_request(entry)
        return None

    def _make_entry(self, request: AssignmentRequest, route: Route) -> _TrackedRequest:
        now = self._clock.now()
        head = CallHead(
            method="",
            target="",
            host="",
            attempt=request.attempt,
            caller_timeout=None,
            key=None,
            prompt=request.prompt,
            prompt_tokens=request.prompt_tokens,
        )
        call = Call(
            head=head,
            route=route,
            service=self._cell.service,
            workspace=_get_workspace(request),
            arrival=now - request.age_seconds,
            deadline=now + request.seconds_left,
            caller_deadline=now + request.caller_seconds_left,
            tier=request.tier,
            version=request.version,
        )
        return _TrackedRequest(
            call=call,
            requester=request.requester,
            changed_at=now,
            excluded=frozenset(request.excluded),
            source=request.source,
        )

    def _apply_decision(self, decision: Decision) -> AddressedResponse:
        entry = self._requests[decision.call.id]
        if isinstance(decision, Admit):
            return self._assign_replica(entry)
        del self._requests[decision.call.id]
        self._meter.record_refusal()
        rejection = RequestRejected(
            decision.call.id, decision.retry_after, self.backlog
        )
        return AddressedResponse(entry.requester, rejection)

    def _assign_replica(self, entry: _TrackedRequest) -> AddressedResponse:
        call = entry.call
        record = self._placement.choose_replica(call, excluded=entry.excluded)
        if record is None:
            del self._requests[call.id]
            return AddressedResponse(
                entry.requester, RequestRejected(call.id, None, self.backlog)
            )
        source = self._placement.find_copy_source(record.instance, call) or entry.source
        self._placement.record_sent(record.instance, call)
        entry.instance, entry.changed_at = record.instance, self._clock.now()
        entry.grant = Grant(call.id, record.instance, source, self.backlog)
        return AddressedResponse(entry.requester, entry.grant)

    def _adopt_request(
        self,
        requester: str,
        attempt: AttemptId,
        instance: InstanceId,
        pending_tokens: int,
    ) -> None:
        """Record a running request that this coordinator did not assign."""
        route = next(iter(self._routes.values()), None)
        if route is None:
            return
        request = AssignmentRequest(
            requester, attempt, self._cell, route.name, route.tier, route.timeout,
            route.timeout, 0.0, pending_tokens, (), (), False,
        )  # fmt: skip
        entry = self._make_entry(request, route)
        entry.instance = instance
        self._requests[attempt] = entry
        self._placement.record_running(instance, entry.call)

    def _drop_request(self, entry: _TrackedRequest) -> None:
        del self._requests[entry.call.id]
        self._admission.remove_call(entry.call)
        if entry.instance is not None:
            self._placement.record_cancellation(entry.instance, entry.call)


def _get_workspace(request: AssignmentRequest) -> Workspace | None:
    """Return the workspace that a request names, without its keys."""
    if not isinstance(request, WorkspaceAssignmentRequest) or request.workspace is None:
        return None
    return Workspace(name=request.workspace, keys=())
