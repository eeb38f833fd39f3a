"""
Modelled gateways
=================

A gateway with the real cells, coordinators, placement and admission.  The connections
to callers, to engines and between gateways are modelled as delays.
"""

from collections.abc import Callable, Mapping
from functools import partial

import msgspec

from damasklead.experiment.engines import Engine, EngineRequest
from damasklead.experiment.simulator import Simulator
from damasklead.failures import Failure
from damasklead.gateway.calls import Call, LoadHint, UpstreamRecord
from damasklead.gateway.coordination.assignment_client import (
    FIRST_REQUEST_TIMEOUT_SECONDS,
    MAX_COORDINATORS,
    QUEUED_TIMEOUT_SECONDS,
    SECOND_REQUEST_TIMEOUT_SECONDS,
    make_assignment_request,
)
from damasklead.gateway.coordination.cellmap import CellMap
from damasklead.gateway.coordination.cells import Cell, Member
from damasklead.gateway.coordination.coordinators import Coordinators
from damasklead.gateway.coordination.messages import (
    AssignmentRequest,
    Grant,
    PrefillDone,
    RequestEnded,
    RequestQueued,
    RequestRejected,
    RunningRequests,
)
from damasklead.gateway.placements import Placement
from damasklead.gateway.routing import RoutingTable
from damasklead.gateway.verdict import MAX_REPLICA_ATTEMPTS, RETRY_AFTER_SECONDS
from damasklead.ids import DataCentre, InstanceId, ServiceName
from damasklead.rate_limits import RateLimits

__all__ = ["Gateway", "ResponseCallbacks"]


class ResponseCallbacks(msgspec.Struct, kw_only=True):
    """
    Callbacks for the response to a request.

    Attributes
    ----------
    on_event : callable
        Called at each event of the stream.
    on_end : callable
        Called at the end of the response with whether it is complete.
    on_refusal : callable
        Called when the gateway refuses the request, with the seconds of Retry-After.
    """

    on_event: Callable[[], None]
    on_end: Callable[[bool], None]
    on_refusal: Callable[[float], None]


class _PendingCall(msgspec.Struct, kw_only=True):
    call: Call
    callbacks: ResponseCallbacks
    output_tokens: int
    excluded: set[InstanceId]
    attempt_count: int = 0
    execution_count: int = 0
    event_count: int = 0
    cell: Cell | None = None
    coordinators: list[str] = []
    coordinator: str = ""
    # Number of the timeout that is running; earlier ones have no effect.
    timeout_number: int = 0
    replica: InstanceId | None = None
    is_done: bool = False


class Gateway:
    """
    One gateway.

    Parameters
    ----------
    name : str
    data_centre : DataCentre
    simulator : Simulator
    table : RoutingTable
    placement : type
        Class of placement that chooses among a cell's engines.
    engines : Mapping
        Engines by instance.
    compute_delay : callable
        Returns the one-way delay in seconds from a data centre to another.
    send_message : callable
        Sends a message of this gateway to another, by name.

    Attributes
    ----------
    cross_data_centre_bytes : int
        Bytes of prompts sent to other data centres.
    message_count : int
        Number of messages sent to other gateways.
    """

    def __init__(
        self,
        *,
        name: str,
        data_centre: DataCentre,
        simulator: Simulator,
        table: RoutingTable,
        placement: type[Placement],
        engines: Mapping[InstanceId, Engine],
        compute_delay: Callable[[DataCentre, DataCentre], float],
        send_message: Callable[["Gateway", str, object], None],
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.cross_data_centre_bytes = 0
        self.message_count = 0
        self.member = Member(InstanceId(name), data_centre)
        self._simulator = simulator
        self._engines = engines
        self._engines_by_address: dict[str, Engine] = {}
        self._records: dict[InstanceId, UpstreamRecord] = {}
        self._compute_delay = compute_delay
        self._send_remote_message = send_message
        self._cells = CellMap(clock=simulator.clock, local_member=self.member)
        self._coordinators = Coordinators(
            clock=simulator.clock,
            cells=self._cells,
            table=lambda: table,
            send_response=self._send_message,
            placement=placement,
            rate_limits=RateLimits(clock=simulator.clock, instance=InstanceId(name)),
        )
        self._pending_calls: dict[str, _PendingCall] = {}

    def update_members(self, members: list[Member]) -> None:
        """Set the gateways of the experiment."""
        self._cells.set_members(members)

    def update_replicas(
        self, service: ServiceName, records: list[UpstreamRecord]
    ) -> None:
        """Set the listed replicas of a service."""
        self._records = {record.instance: record for record in records}
        for record in records:
            self._engines_by_address[record.address] = self._engines[record.instance]
        self._cells.set_engines(service, records)
        self._coordinators.apply_configuration()

    def submit_call(
        self, call: Call, callbacks: ResponseCallbacks, *, output_tokens: int
    ) -> None:
        """
        Forward a request.

        Parameters
        ----------
        call : Call
        callbacks : ResponseCallbacks
        output_tokens : int
            Length of the response, which only the engine uses.
        """
        pending = _PendingCall(
            call=call, callbacks=callbacks, output_tokens=output_tokens, excluded=set()
        )
        self._pending_calls[call.id] = pending
        remaining_seconds = call.deadline - self._simulator.clock.now()
        self._simulator.schedule(remaining_seconds, self._handle_deadline, pending)
        self._start_assignment(pending)

    def process_queued_requests(self) -> None:
        """Let this gateway's coordinators decide on their queued requests."""
        self._coordinators.process_queues()

    def receive_message(self, message: object, sender: str) -> None:
        """Handle a message of a gateway, which may be this one."""
        if isinstance(
            message, (AssignmentRequest, PrefillDone, RequestEnded, RunningRequests)
        ):
            self._coordinators.handle_message(message)
        elif isinstance(message, (Grant, RequestQueued, RequestRejected)):
            self._handle_assignment_response(message, sender)

    def _send_message(self, name: str, message: object) -> None:
        if name == self.name:
            self.receive_message(message, name)
        else:
            self.message_count += 1
            self._send_remote_message(self, name, message)

    def _start_assignment(self, pending: _PendingCall) -> None:
        pending.cell = self._cells.select_cell(
            pending.call, is_first_attempt=not pending.attempt_count
        )
        if pending.cell is None or pending.attempt_count >= MAX_REPLICA_ATTEMPTS:
            self._refuse_call(pending, RETRY_AFTER_SECONDS)
            return
        pending.coordinators = self._cells.list_coordinators(
            pending.cell, limit=MAX_COORDINATORS
        )
        self._send_assignment_request(pending)

    def _send_assignment_request(self, pending: _PendingCall) -> None:
        if pending.cell is None or not pending.coordinators:
            self._refuse_call(pending, RETRY_AFTER_SECONDS)
            return
        pending.coordinator = pending.coordinators.pop(0)
        self._start_response_timeout(
            pending, FIRST_REQUEST_TIMEOUT_SECONDS + SECOND_REQUEST_TIMEOUT_SECONDS
        )
        request = make_assignment_request(
            self.name,
            pending.call,
            pending.cell,
            now=self._simulator.clock.now(),
            excluded=pending.excluded,
            is_first_attempt=not pending.attempt_count,
            source=self._cells.find_copy_source(pending.call, pending.cell),
        )
        self._send_message(pending.coordinator, request)

    def _start_response_timeout(self, pending: _PendingCall, seconds: float) -> None:
        pending.timeout_number += 1
        self._simulator.schedule(
            seconds, self._handle_response_timeout, pending, pending.timeout_number
        )

    def _handle_response_timeout(self, pending: _PendingCall, number: int) -> None:
        if (
            pending.is_done
            or number != pending.timeout_number
            or pending.replica is not None
        ):
            return
        if pending.coordinator != self.name:
            self._cells.suspect_gateway(pending.coordinator)
        self._send_assignment_request(pending)

    def _handle_assignment_response(
        self, response: Grant | RequestQueued | RequestRejected, sender: str
    ) -> None:
        self._cells.clear_suspicion(sender)
        pending = self._pending_calls.get(response.attempt)
        is_expected = (
            pending is not None
            and sender == pending.coordinator
            and not pending.replica
        )
        if pending is None or not is_expected:
            self._return_grant(response, sender)
            return
        if isinstance(response, RequestQueued):
            self._start_response_timeout(pending, QUEUED_TIMEOUT_SECONDS)
            return
        pending.timeout_number += 1
        if pending.cell is not None:
            self._cells.record_load(pending.cell, response.backlog)
        if isinstance(response, RequestRejected):
            self._refuse_call(pending, response.retry_after or RETRY_AFTER_SECONDS)
        else:
            self._send_to_engine(pending, response)

    def _return_grant(
        self, response: Grant | RequestQueued | RequestRejected, sender: str
    ) -> None:
        """End an assignment whose request no longer waits for this coordinator."""
        cell = (
            self._cells.find_cell(response.instance)
            if isinstance(response, Grant)
            else None
        )
        if cell is not None:
            self._send_message(
                sender, RequestEnded(self.name, cell, response.attempt, "withdrawn")
            )

    def _send_to_engine(self, pending: _PendingCall, grant: Grant) -> None:
        record = self._records.get(grant.instance)
        if record is None:
            self._finish_call(pending, "withdrawn")
            pending.callbacks.on_refusal(RETRY_AFTER_SECONDS)
            return
        pending.attempt_count += 1
        pending.replica = record.instance
        if record.data_centre != self.data_centre:
            self.cross_data_centre_bytes += len(pending.call.body)
        delay = self._compute_delay(self.data_centre, record.data_centre)
        self._simulator.schedule(
            delay, self._reach_engine, pending, record, delay, grant.source
        )

    def _reach_engine(
        self,
        pending: _PendingCall,
        record: UpstreamRecord,
        delay: float,
        source: str | None,
    ) -> None:
        if pending.is_done:
            return
        engine = self._engines[record.instance]
        streamed_tokens = pending.event_count * engine.tokens_per_event
        request = EngineRequest(
            attempt=pending.call.id,
            prompt=pending.call.head.prompt,
            urgency=pending.call.urgency,
            output_tokens=max(1, pending.output_tokens - streamed_tokens),
            on_event=partial(
                self._schedule_callback, delay, self._handle_event, pending
            ),
            on_end=partial(self._schedule_callback, delay, self._handle_end, pending),
        )
        if not engine.is_running:
            self._simulator.schedule(
                delay, self._handle_failure, pending, Failure.NOT_SENT
            )
            return
        seconds = 0.0
        if source is not None and source in self._engines_by_address:
            seconds = engine.copy_prefix(
                self._engines_by_address[source], pending.call.head.prompt
            )
        self._simulator.schedule(
            seconds, self._submit_to_engine, pending, engine, request, delay
        )

    def _submit_to_engine(
        self,
        pending: _PendingCall,
        engine: Engine,
        request: EngineRequest,
        delay: float,
    ) -> None:
        if not pending.is_done and not engine.submit_request(request):
            self._simulator.schedule(
                delay, self._handle_failure, pending, Failure.REFUSED
            )

    def _schedule_callback(
        self,
        delay: float,
        callback: Callable[..., None],
        pending: _PendingCall,
        content: object,
    ) -> None:
        self._simulator.schedule(delay, callback, pending, content)

    def _handle_event(self, pending: _PendingCall, hint: LoadHint) -> None:
        if pending.is_done or pending.replica is None or pending.cell is None:
            return
        pending.event_count += 1
        if pending.event_count == 1:
            report = PrefillDone(self.name, pending.cell, pending.call.id, hint)
            self._send_message(pending.coordinator, report)
        pending.callbacks.on_event()

    def _handle_end(self, pending: _PendingCall, is_complete: bool) -> None:
        if pending.is_done or pending.replica is None:
            return
        if not is_complete:
            pending.execution_count += 1
            self._handle_failure(pending, Failure.BROKEN)
            return
        self._finish_call(pending, "whole")
        pending.callbacks.on_end(True)

    def _handle_failure(self, pending: _PendingCall, failure: Failure) -> None:
        if pending.is_done or pending.replica is None:
            return
        pending.excluded.add(pending.replica)
        pending.replica = None
        self._report_ended(pending, failure.value)
        route = pending.call.route
        if failure.rules_out_execution or (
            route.may_repeat and pending.execution_count < route.max_attempts
        ):
            self._start_assignment(pending)
            return
        self._finish_call(pending, failure.value)
        pending.callbacks.on_end(False)

    def _refuse_call(self, pending: _PendingCall, retry_after: float) -> None:
        pending.is_done = True
        self._pending_calls.pop(pending.call.id, None)
        pending.callbacks.on_refusal(retry_after)

    def _handle_deadline(self, pending: _PendingCall) -> None:
        """Cancel a request whose deadline passed."""
        if pending.is_done:
            return
        if pending.replica is not None:
            self._engines[pending.replica].cancel_request(pending.call.id)
        self._finish_call(pending, "withdrawn")
        pending.callbacks.on_end(False)

    def _finish_call(self, pending: _PendingCall, outcome: str) -> None:
        pending.is_done = True
        self._pending_calls.pop(pending.call.id, None)
        self._report_ended(pending, outcome)

    def _report_ended(self, pending: _PendingCall, outcome: str) -> None:
        if pending.cell is not None and pending.coordinator:
            ended = RequestEnded(self.name, pending.cell, pending.call.id, outcome)
            self._send_message(pending.coordinator, ended)
