"""
Coordinator
===========

Decides for all gateways where requests to one cell's engines go, which wait and which
are refused.  No I/O: messages and the clock come in, answers go out.

Load pattern: many gateways send a few requests each to the same engines.  The
coordinator sees all of them as they happen, so that a burst fills the engines evenly,
a shared part is read once, and what waits is in one order.
"""

import math

import msgspec

from damasklead.clock import Clock
from damasklead.failures import Failure
from damasklead.gateway.admission import AdmissionController, Admit, Decision
from damasklead.gateway.calls import Call, CallHead, UpstreamRecord
from damasklead.gateway.coordination.cells import Cell
from damasklead.gateway.coordination.messages import (
    AssignmentRequest,
    AssignmentResponse,
    Grant,
    PrefillDone,
    RequestEnded,
    RequestQueued,
    RequestRejected,
    RunningRequests,
)
from damasklead.gateway.placements import EnginePlacement, Placement
from damasklead.gateway.routing import Route, ServiceSpec
from damasklead.ids import AttemptId, InstanceId

__all__ = ["AddressedResponse", "Coordinator"]

# Askers are told so often that their request still waits.
QUEUED_INTERVAL_SECONDS = 0.2
# What a gateway doesn't list as running is dropped when it is older than this: the
# list may have crossed the grant.
REPORT_GRACE_SECONDS = 0.4
# What the cell has to do is summed up so often.
BACKLOG_INTERVAL_SECONDS = 0.05
# Decisions taken at one look at what waits.
MAX_DECISIONS_PER_PASS = 16
# A cell that nobody has asked about for so long is forgotten.
IDLE_TIMEOUT_SECONDS = 20.0
# Answers are remembered for repeated asks for so long.
DUPLICATE_WINDOW_SECONDS = 1.0


_FAILURES = {failure.value: failure for failure in Failure}


class AddressedResponse(msgspec.Struct, frozen=True):
    """An answer and the gateway that it goes to."""

    recipient: str
    response: AssignmentResponse


class _TrackedRequest(msgspec.Struct, kw_only=True):
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
        Those that lead to the service.
    placement : type
        Chooses among the engines.
    """

    def __init__(
        self,
        *,
        cell: Cell,
        clock: Clock,
        service: ServiceSpec,
        routes: list[Route],
        placement: type[Placement] = EnginePlacement,
    ) -> None:
        self._cell = cell
        self._clock = clock
        self._last_request_at = clock.now()
        self._placement = placement(
            service=service, clock=clock, data_centre=cell.data_centre
        )
        self._admission = AdmissionController(
            clock=clock,
            has_capacity=self._placement.has_room,
            is_urgent=self._placement.is_urgent,
            has_any_capacity=self._placement.any_room,
            estimate_seconds=self._placement.seconds_of,
            estimate_prefill_seconds=self._placement.reading_of,
        )
        self._backlog = 0.0
        self._backlog_at = -math.inf
        self._routes: dict[str, Route] = {}
        self._requests: dict[AttemptId, _TrackedRequest] = {}
        self.configure(service, routes)

    @property
    def is_idle(self) -> bool:
        """Whether nobody has asked for long and nothing runs."""
        recently_used = self._clock.now() - self._last_request_at < IDLE_TIMEOUT_SECONDS
        return not recently_used and not self._requests

    @property
    def backlog(self) -> float:
        """Seconds that the cell's engines have to read, on average, what waits too."""
        now = self._clock.now()
        if now - self._backlog_at >= BACKLOG_INTERVAL_SECONDS:
            self._backlog_at = now
            queued_seconds = sum(
                map(self._placement.seconds_of, self._admission.queued_calls)
            )
            self._backlog = self._placement.mean_backlog + queued_seconds
        return self._backlog

    @property
    def queue_length(self) -> int:
        """How many requests wait."""
        return self._admission.queue_length

    @property
    def request_count(self) -> int:
        """How many requests run or wait."""
        return len(self._requests)

    def configure(self, service: ServiceSpec, routes: list[Route]) -> None:
        """Take the service and its routes in force."""
        self._routes = {route.name: route for route in routes}
        self._placement.configure(service, routes)

    def set_engines(self, records: list[UpstreamRecord]) -> None:
        """Take the cell's engines."""
        self._placement.retain(records)

    def handle_assignment_request(
        self, request: AssignmentRequest
    ) -> list[AddressedResponse]:
        """Take in a request; returns the answer, unless it has to come later."""
        self._last_request_at = self._clock.now()
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
        if not request.first_offer:
            return [self._assign(entry)]
        decision = self._admission.submit(entry.call)
        if decision is not None:
            return [self._apply_decision(decision)]
        entry.queued_at = self._clock.now()
        return [AddressedResponse(request.requester, RequestQueued(request.attempt))]

    def handle_prefill_done(self, message: PrefillDone) -> None:
        """Take in that a request's prompt was read."""
        entry = self._requests.get(message.attempt)
        if entry is not None and entry.instance is not None:
            self._placement.heard(entry.instance, message.load)
            self._placement.progressed(entry.instance, entry.call)

    def handle_request_ended(self, message: RequestEnded) -> None:
        """Take in that a request is at its replica no more."""
        entry = self._requests.get(message.attempt)
        if entry is None or entry.requester != message.requester:
            return
        del self._requests[message.attempt]
        self._admission.withdraw(entry.call)
        if entry.instance is None:
            return
        if message.outcome == "whole":
            self._placement.finished(entry.instance, entry.call)
        elif message.outcome in _FAILURES:
            failure = _FAILURES[message.outcome]
            self._placement.failed(entry.instance, entry.call, failure)
        else:
            self._placement.withdrawn(entry.instance, entry.call)

    def handle_running_requests(self, message: RunningRequests) -> None:
        """Take in what a gateway runs at the cell's engines; the rest has ended."""
        now = self._clock.now()
        listed = {attempt for attempt, _, _ in message.requests}
        for attempt, entry in list(self._requests.items()):
            is_settled = (
                entry.instance is not None
                and now - entry.changed_at > REPORT_GRACE_SECONDS
            )
            if (
                entry.requester == message.requester
                and is_settled
                and attempt not in listed
            ):
                self._drop_request(entry)
        for attempt, instance, pending_tokens in message.requests:
            if attempt not in self._requests:
                self._adopt_request(
                    message.requester, attempt, instance, pending_tokens
                )

    def process_queue(self) -> list[AddressedResponse]:
        """Decide about requests that wait, and tell the askers of the others."""
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

    def _replay_response(
        self, entry: _TrackedRequest, request: AssignmentRequest
    ) -> AddressedResponse | None:
        """Answer an ask that came before; ``None`` when it is for another replica."""
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
            patience=None,
            key=None,
            prompt=request.prompt,
            prompt_tokens=request.prompt_tokens,
        )
        call = Call(
            head=head,
            route=route,
            service=self._cell.service,
            workspace=None,
            arrival=now - request.age_seconds,
            deadline=now + request.seconds_left,
            caller_deadline=now + request.caller_seconds_left,
            tier=request.tier,
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
            return self._assign(entry)
        del self._requests[decision.call.id]
        rejection = RequestRejected(
            decision.call.id, decision.retry_after, self.backlog
        )
        return AddressedResponse(entry.requester, rejection)

    def _assign(self, entry: _TrackedRequest) -> AddressedResponse:
        call = entry.call
        record = self._placement.choose(call, excluded=entry.excluded)
        if record is None:
            del self._requests[call.id]
            return AddressedResponse(
                entry.requester, RequestRejected(call.id, None, self.backlog)
            )
        source = self._placement.copy_source(record.instance, call) or entry.source
        self._placement.sent(record.instance, call)
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
        """Count a request that another coordinator, or none, has placed."""
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
        self._placement.sent(instance, entry.call)

    def _drop_request(self, entry: _TrackedRequest) -> None:
        del self._requests[entry.call.id]
        self._admission.withdraw(entry.call)
        if entry.instance is not None:
            self._placement.withdrawn(entry.instance, entry.call)
