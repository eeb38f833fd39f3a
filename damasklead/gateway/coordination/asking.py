"""
Asking
======

The gateway's side of coordination: asks a cell's coordinator where a request goes,
tells it what became of the request, and asks the next one when it is silent.

Load pattern: a coordinator that is killed, frozen or cut off with requests of all
gateways under way; each gateway finds out with one request and passes it over until it
is heard again.
"""

from collections.abc import Callable, Collection

import gevent
import msgspec
from gevent.event import AsyncResult

from damasklead.clock import Clock
from damasklead.gateway.calls import Call, LoadHint
from damasklead.gateway.coordination.cellmap import CellMap
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
from damasklead.gateway.journal import Journal
from damasklead.ids import AttemptId, InstanceId

__all__ = ["Assignment", "AssignmentClient", "make_assignment_request"]

# A coordinator answers within a few milliseconds; a lost datagram is made up for by a
# second ask.
FIRST_REQUEST_TIMEOUT_SECONDS = 0.04
SECOND_REQUEST_TIMEOUT_SECONDS = 0.06
# A coordinator repeats every 0.2 s that a request waits.
QUEUED_TIMEOUT_SECONDS = 0.65
# Coordinators that are asked before this gateway decides by itself.
MAX_COORDINATORS = 2


class Assignment(msgspec.Struct, kw_only=True, frozen=True):
    """
    A place of a request at a replica.

    Attributes
    ----------
    coordinator : str
        The gateway that gave it.
    source : str or None
        Address of a replica from which prompt parts are copied.
    backlog : float
        Seconds that the cell's engines had to read, on average.
    """

    cell: Cell
    coordinator: str
    instance: InstanceId
    source: str | None
    backlog: float = 0.0

    def explain(self) -> dict[str, object]:
        """Return what decided, for the log."""
        return {
            "coordinator": self.coordinator,
            "cell": f"{self.cell.data_centre}/{self.cell.number}",
            "cell_backlog": round(self.backlog, 3),
            "source": self.source or "",
        }


class AssignmentClient:
    """
    Finds places for one gateway's requests to engines.

    Parameters
    ----------
    own : str
        This gateway's id.
    clock : Clock
    cells : CellMap
    send : callable
        Sends a message to a gateway, which may be this one.
    journal : Journal
    """

    def __init__(
        self,
        *,
        own: str,
        clock: Clock,
        cells: CellMap,
        send: Callable[[str, object], None],
        journal: Journal,
    ) -> None:
        self._own = own
        self._clock = clock
        self._cells = cells
        self._send = send
        self._journal = journal
        self._pending: dict[AttemptId, AsyncResult] = {}
        self._assignments: dict[AttemptId, tuple[Assignment, int]] = {}

    @property
    def pending_requests(self) -> int:
        """How many requests wait for a place."""
        return len(self._pending)

    def request_assignment(
        self, call: Call, *, excluded: Collection[InstanceId], first_offer: bool
    ) -> Assignment | RequestRejected | None:
        """
        Return a place for a request, its refusal, or ``None`` when there is no replica.

        Parameters
        ----------
        excluded : collection
            Replicas that are passed over.
        first : bool
            Whether the request may be made to wait or be refused.
        """
        cell = self._cells.select_cell(call, first_offer=first_offer)
        if cell is None:
            return None
        for coordinator in self._cells.list_coordinators(cell, limit=MAX_COORDINATORS):
            response = self._query_coordinator(
                call, cell, coordinator, excluded, first_offer
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
        """Take in a coordinator's answer."""
        result = self._pending.get(response.attempt)
        if result is not None:
            result.set(response)
        elif isinstance(response, Grant) and response.attempt not in self._assignments:
            # It comes too late: another coordinator was asked, or the caller has gone.
            cell = self._cells.find_cell(response.instance)
            if cell is not None:
                withdrawal = RequestEnded(
                    self._own, cell, response.attempt, "withdrawn"
                )
                self._send(sender, withdrawal)

    def report_prefill_done(
        self, assignment: Assignment, call: Call, load: LoadHint | None
    ) -> None:
        """Take in that a request's first event came."""
        self._assignments[call.id] = (assignment, 0)
        self._send(
            assignment.coordinator,
            PrefillDone(self._own, assignment.cell, call.id, load),
        )

    def report_request_ended(
        self, assignment: Assignment, call: Call, outcome: str
    ) -> None:
        """Take in that a request has left its place."""
        self._assignments.pop(call.id, None)
        self._send(
            assignment.coordinator,
            RequestEnded(self._own, assignment.cell, call.id, outcome),
        )

    def report_running_requests(self) -> None:
        """Tell the coordinators what runs at their engines."""
        by_cell: dict[Cell, list[tuple[AttemptId, InstanceId, int]]] = {}
        for attempt, (assignment, pending_tokens) in self._assignments.items():
            by_cell.setdefault(assignment.cell, []).append(
                (attempt, assignment.instance, pending_tokens)
            )
        for cell, requests in by_cell.items():
            coordinator = self._cells.list_coordinators(cell, limit=1)[0]
            self._send(coordinator, RunningRequests(self._own, cell, tuple(requests)))

    def _query_coordinator(
        self,
        call: Call,
        cell: Cell,
        coordinator: str,
        excluded: Collection[InstanceId],
        first_offer: bool,
    ) -> Grant | RequestRejected | None:
        """Ask one coordinator; ``None`` when it is silent."""
        has_response = False
        try:
            response = self._send_with_retry(
                call,
                cell,
                coordinator,
                make_assignment_request(
                    self._own,
                    call,
                    cell,
                    now=self._clock.now(),
                    excluded=excluded,
                    first_offer=first_offer,
                    source=self._cells.find_copy_source(call, cell),
                ),
            )
            has_response = response is not None
            return response
        finally:
            if not has_response:
                withdrawal = RequestEnded(self._own, cell, call.id, "withdrawn")
                self._send(coordinator, withdrawal)

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
                    self._cells.record_load(cell, response.backlog)
                    return response
                timeout = SECOND_REQUEST_TIMEOUT_SECONDS
        finally:
            self._pending.pop(call.id, None)
        if coordinator != self._own and self._cells.suspect_gateway(coordinator):
            self._journal.event("coordinator-silent", peer=coordinator, request=call.id)
        return None

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
    own: str,
    call: Call,
    cell: Cell,
    *,
    now: float,
    excluded: Collection[InstanceId],
    first_offer: bool,
    source: str | None = None,
) -> AssignmentRequest:
    """Return what a coordinator has to know of a request."""
    return AssignmentRequest(
        own,
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
        first_offer,
        source,
    )
