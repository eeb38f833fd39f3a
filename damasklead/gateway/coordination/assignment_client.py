"""
Assignment client
=================

The client of the coordinators in a gateway: requests assignments from a cell's
coordinator, reports the progress of the assigned requests to it, and fails over to the
next coordinator if it does not respond.

Load pattern: a coordinator crashes, hangs or is partitioned while it has requests of
all gateways.  Each gateway detects the failure with one request and skips the
coordinator until it receives a message from it again.
"""

import math
from collections.abc import Callable, Collection

import gevent
import msgspec
from gevent.event import AsyncResult

from damasklead.clock import Clock
from damasklead.gateway.calls import Call, LoadHint
from damasklead.gateway.coordination.cellmap import MAX_COORDINATORS, CellMap
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
    WorkspaceAssignmentRequest,
)
from damasklead.gateway.journal import Journal
from damasklead.ids import AttemptId, InstanceId
from damasklead.rate_limits import RateLimit, RateLimits

__all__ = ["Assignment", "AssignmentClient", "make_assignment_request"]

# A coordinator responds within a few milliseconds.  One retransmission covers a lost
# datagram.
FIRST_REQUEST_TIMEOUT_SECONDS = 0.04
SECOND_REQUEST_TIMEOUT_SECONDS = 0.06
# Timeout for the next message on a queued request; a coordinator sends one every 0.2 s.
QUEUED_TIMEOUT_SECONDS = 0.65
# Interval at which a coordinator is told the limits that its engines name.  A process
# that starts anew under the name takes longer than this.
RATE_LIMITS_INTERVAL_SECONDS = 0.25
# Number of coordinators and cells for which the last time is remembered.
MAX_TOLD_COORDINATORS = 1_000


class Assignment(msgspec.Struct, kw_only=True, frozen=True):
    """
    The assignment of a request to a replica.

    Attributes
    ----------
    cell : Cell
    coordinator : str
        Id of the gateway that made the assignment.
    instance : InstanceId
        The assigned replica.
    source : str or None
        Address of a replica from which cached prompt parts are copied.
    backlog : float
        Mean seconds of prefill work that the cell's engines had pending.
    """

    cell: Cell
    coordinator: str
    instance: InstanceId
    source: str | None
    backlog: float = 0.0

    def get_log_fields(self) -> dict[str, object]:
        """Return the values that are logged with the request."""
        return {
            "coordinator": self.coordinator,
            "cell": f"{self.cell.data_centre}/{self.cell.number}",
            "cell_backlog": round(self.backlog, 3),
            "source": self.source or "",
        }


class AssignmentClient:
    """
    Requests assignments for one gateway's requests to engines.

    Parameters
    ----------
    instance : str
        Id of this gateway.
    clock : Clock
    cells : CellMap
    send : callable
        Sends a message to a gateway, which may be this one.
    journal : Journal
    rate_limits : RateLimits
        The limits that engines name in their responses.
    on_assigned : callable
        Called with each request that was assigned, and the cell.
    """

    def __init__(
        self,
        *,
        instance: str,
        clock: Clock,
        cells: CellMap,
        send: Callable[[str, object], None],
        journal: Journal,
        rate_limits: RateLimits,
        on_assigned: Callable[[Call, Cell], None] = lambda _call, _cell: None,
    ) -> None:
        self._on_assigned = on_assigned
        self._rate_limits = rate_limits
        self._rate_limits_sent_at: dict[tuple[str, Cell], float] = {}
        self._instance = instance
        self._clock = clock
        self._cells = cells
        self._send = send
        self._journal = journal
        self._pending: dict[AttemptId, AsyncResult] = {}
        self._assignments: dict[AttemptId, tuple[Assignment, int]] = {}

    @property
    def pending_requests(self) -> int:
        """Number of requests that wait for an assignment."""
        return len(self._pending)

    def request_assignment(
        self,
        call: Call,
        *,
        excluded: Collection[InstanceId],
        is_first_attempt: bool,
        names_workspace: bool = False,
    ) -> Assignment | RequestRejected | None:
        """
        Return the assignment or rejection of a request, or ``None`` if the gateway has
        to choose a replica itself.

        Parameters
        ----------
        call : Call
        excluded : collection of InstanceId
            Replicas that the request must not be assigned to.
        is_first_attempt : bool
            Whether the request has not been tried at a replica yet; only then may it
            be queued or rejected.
        names_workspace : bool
            Whether the coordinator is told the request's workspace.
        """
        cell = self._cells.select_cell(call, is_first_attempt=is_first_attempt)
        if cell is None:
            return None
        for coordinator in self._cells.list_coordinators(cell, limit=MAX_COORDINATORS):
            response = self._query_coordinator(
                call, cell, coordinator, excluded, is_first_attempt, names_workspace
            )
            if isinstance(response, Grant):
                return self._record_assignment(call, cell, coordinator, response)
            if (
                isinstance(response, RequestRejected)
                and response.retry_after is not None
            ):
                return response
        return None

    def handle_response(self, response: AssignmentResponse, sender: str) -> None:
        """Pass a coordinator's response to the request that waits for it."""
        result = self._pending.get(response.attempt)
        if result is not None:
            result.set(response)
        elif isinstance(response, Grant) and response.attempt not in self._assignments:
            # The grant is late: another coordinator was tried, or the caller has
            # disconnected.
            cell = self._cells.find_cell(response.instance)
            if cell is not None:
                withdrawal = RequestEnded(
                    self._instance, cell, response.attempt, "withdrawn"
                )
                self._send(sender, withdrawal)

    def report_prefill_done(
        self,
        assignment: Assignment,
        call: Call,
        load: LoadHint | None,
        rate_limit: float | None,
    ) -> None:
        """Report to the coordinator that the prefill of a request is complete."""
        self._assignments[call.id] = (assignment, 0)
        self._send(
            assignment.coordinator,
            PrefillDone(self._instance, assignment.cell, call.id, load, rate_limit),
        )

    def report_request_ended(
        self, assignment: Assignment, call: Call, outcome: str
    ) -> None:
        """Report to the coordinator that a request has ended at its replica."""
        self._assignments.pop(call.id, None)
        self._send(
            assignment.coordinator,
            RequestEnded(self._instance, assignment.cell, call.id, outcome),
        )

    def report_running_requests(self) -> None:
        """Report to the coordinators the requests that run on their engines."""
        by_cell: dict[Cell, list[tuple[AttemptId, InstanceId, int]]] = {}
        for attempt, (assignment, pending_tokens) in self._assignments.items():
            by_cell.setdefault(assignment.cell, []).append(
                (attempt, assignment.instance, pending_tokens)
            )
        for cell, requests in by_cell.items():
            coordinator = self._cells.list_coordinators(cell, limit=1)[0]
            self._send(
                coordinator, RunningRequests(self._instance, cell, tuple(requests))
            )

    def _query_coordinator(
        self,
        call: Call,
        cell: Cell,
        coordinator: str,
        excluded: Collection[InstanceId],
        is_first_attempt: bool,
        names_workspace: bool,
    ) -> Grant | RequestRejected | None:
        """Return one coordinator's decision, ``None`` if it does not respond."""
        has_response = False
        try:
            response = self._send_with_retry(
                call,
                cell,
                coordinator,
                make_assignment_request(
                    self._instance,
                    call,
                    cell,
                    now=self._clock.now(),
                    excluded=excluded,
                    is_first_attempt=is_first_attempt,
                    source=self._cells.find_copy_source(call, cell),
                    rate_limits=self._select_rate_limits(cell, coordinator),
                    names_workspace=names_workspace,
                ),
            )
            has_response = response is not None
            return response
        finally:
            if not has_response:
                withdrawal = RequestEnded(self._instance, cell, call.id, "withdrawn")
                self._send(coordinator, withdrawal)

    def _select_rate_limits(
        self, cell: Cell, coordinator: str
    ) -> tuple[RateLimit, ...]:
        """Return the limits of a cell's engines if they are due at its coordinator."""
        now = self._clock.now()
        sent_at = self._rate_limits_sent_at.get((coordinator, cell), -math.inf)
        if now - sent_at < RATE_LIMITS_INTERVAL_SECONDS:
            return ()
        limits = self._rate_limits.find_reports(self._cells.get_engines(cell))
        if limits:
            if len(self._rate_limits_sent_at) >= MAX_TOLD_COORDINATORS:
                self._rate_limits_sent_at.clear()
            self._rate_limits_sent_at[coordinator, cell] = now
        return tuple(limits)

    def _send_with_retry(
        self, call: Call, cell: Cell, coordinator: str, request: AssignmentRequest
    ) -> Grant | RequestRejected | None:
        timeout = FIRST_REQUEST_TIMEOUT_SECONDS
        try:
            for _ in range(2):
                result = self._pending[call.id] = AsyncResult()
                self._send(coordinator, request)
                response = self._await_response(result, timeout)
                while isinstance(response, RequestQueued):
                    result = self._pending[call.id] = AsyncResult()
                    response = self._await_response(result, QUEUED_TIMEOUT_SECONDS)
                if response is not None:
                    self._record_load(cell, coordinator, response)
                    return response
                timeout = SECOND_REQUEST_TIMEOUT_SECONDS
        finally:
            self._pending.pop(call.id, None)
        if coordinator != self._instance and self._cells.suspect_gateway(coordinator):
            self._journal.event("coordinator-silent", peer=coordinator, request=call.id)
        return None

    def _record_load(
        self, cell: Cell, coordinator: str, response: Grant | RequestRejected
    ) -> None:
        """Record the load in a response; a fallback knows only this gateway's part."""
        knows_cell = isinstance(response, Grant) or response.retry_after is not None
        is_fallback = coordinator == self._instance and not self._cells.is_coordinator(
            cell
        )
        self._cells.record_load(
            cell, response.backlog, is_fallback=is_fallback or not knows_cell
        )

    def _await_response(
        self, result: AsyncResult, timeout: float
    ) -> AssignmentResponse | None:
        try:
            response: AssignmentResponse = result.get(timeout=timeout)
        except gevent.Timeout:
            return None
        return response

    def _record_assignment(
        self, call: Call, cell: Cell, coordinator: str, grant: Grant
    ) -> Assignment:
        self._on_assigned(call, cell)
        assignment = Assignment(
            cell=cell,
            coordinator=coordinator,
            instance=grant.instance,
            source=grant.source,
            backlog=grant.backlog,
        )
        self._assignments[call.id] = (assignment, call.head.prompt_tokens)
        return assignment


def make_assignment_request(
    instance: str,
    call: Call,
    cell: Cell,
    *,
    now: float,
    excluded: Collection[InstanceId],
    is_first_attempt: bool,
    source: str | None = None,
    rate_limits: tuple[RateLimit, ...] = (),
    names_workspace: bool = False,
) -> AssignmentRequest:
    """
    Return the assignment request for a call.

    Parameters
    ----------
    instance : str
        Id of this gateway.
    call : Call
    cell : Cell
    now : float
        Clock reading in seconds.
    excluded : collection of InstanceId
        Replicas that the request must not be assigned to.
    is_first_attempt : bool
        Whether the request has not been tried at a replica yet.
    source : str or None
        Address of a replica of another cell that is likely to have the shared prefix.
    rate_limits : tuple of RateLimit
        Limits to tell the coordinator.
    names_workspace : bool
        Whether the request names the call's workspace, if it has one.
    """
    request = AssignmentRequest(
        instance,
        call.id,
        cell,
        call.route.name,
        call.tier,
        call.deadline - now,
        call.caller_deadline - now,
        now - call.arrival,
        call.head.prompt_tokens,
        call.head.prompt,
        tuple(excluded),
        is_first_attempt,
        source,
        rate_limits,
        call.version,
    )
    if call.workspace is None or not names_workspace:
        return request
    fields = msgspec.structs.asdict(request) | {"workspace": call.workspace.name}
    return WorkspaceAssignmentRequest(**fields)
