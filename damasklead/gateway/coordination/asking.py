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
    Answer,
    Ask,
    Ended,
    Grant,
    Queued,
    Read,
    Refused,
    Running,
)
from damasklead.gateway.journal import Journal
from damasklead.ids import AttemptId, InstanceId

__all__ = ["Asker", "Assignment", "make_ask"]

# A coordinator answers within a few milliseconds; a lost datagram is made up for by a
# second ask.
FIRST_ASK_SECONDS = 0.04
SECOND_ASK_SECONDS = 0.06
# A coordinator repeats every 0.2 s that a request waits.
QUEUED_PATIENCE_SECONDS = 0.65
# Coordinators that are asked before this gateway decides by itself.
MOST_COORDINATORS = 2


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


class Asker:
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
        self._waiting: dict[AttemptId, AsyncResult] = {}
        self._assignments: dict[AttemptId, tuple[Assignment, int]] = {}

    @property
    def waiting(self) -> int:
        """How many requests wait for a place."""
        return len(self._waiting)

    def find(
        self, call: Call, *, excluded: Collection[InstanceId], first: bool
    ) -> Assignment | Refused | None:
        """
        Return a place for a request, its refusal, or ``None`` when there is no replica.

        Parameters
        ----------
        excluded : collection
            Replicas that are passed over.
        first : bool
            Whether the request may be made to wait or be refused.
        """
        cell = self._cells.choose(call, first=first)
        if cell is None:
            return None
        for coordinator in self._cells.coordinators(cell, most=MOST_COORDINATORS):
            answer = self._ask(call, cell, coordinator, excluded, first)
            if isinstance(answer, Grant):
                return self._take_assignment(call, cell, coordinator, answer)
            if isinstance(answer, Refused) and answer.retry_after is not None:
                return answer
        return None

    def take(self, answer: Answer, sender: str) -> None:
        """Take in a coordinator's answer."""
        result = self._waiting.get(answer.attempt)
        if result is not None:
            result.set(answer)
        elif isinstance(answer, Grant) and answer.attempt not in self._assignments:
            # It comes too late: another coordinator was asked, or the caller has gone.
            cell = self._cells.cell_of(answer.instance)
            if cell is not None:
                gone = Ended(self._own, cell, answer.attempt, "withdrawn")
                self._send(sender, gone)

    def read(self, assignment: Assignment, call: Call, load: LoadHint | None) -> None:
        """Take in that a request's first event came."""
        self._assignments[call.id] = (assignment, 0)
        self._send(
            assignment.coordinator, Read(self._own, assignment.cell, call.id, load)
        )

    def ended(self, assignment: Assignment, call: Call, outcome: str) -> None:
        """Take in that a request has left its place."""
        self._assignments.pop(call.id, None)
        self._send(
            assignment.coordinator, Ended(self._own, assignment.cell, call.id, outcome)
        )

    def tell_running(self) -> None:
        """Tell the coordinators what runs at their engines."""
        by_cell: dict[Cell, list[tuple[AttemptId, InstanceId, int]]] = {}
        for attempt, (assignment, unread) in self._assignments.items():
            by_cell.setdefault(assignment.cell, []).append(
                (attempt, assignment.instance, unread)
            )
        for cell, requests in by_cell.items():
            coordinator = self._cells.coordinators(cell, most=1)[0]
            self._send(coordinator, Running(self._own, cell, tuple(requests)))

    def _ask(
        self,
        call: Call,
        cell: Cell,
        coordinator: str,
        excluded: Collection[InstanceId],
        first: bool,
    ) -> Grant | Refused | None:
        """Ask one coordinator; ``None`` when it is silent."""
        placed = False
        try:
            answer = self._wait_for(
                call,
                cell,
                coordinator,
                make_ask(
                    self._own,
                    call,
                    cell,
                    now=self._clock.now(),
                    excluded=excluded,
                    first=first,
                    source=self._cells.source_for(call, cell),
                ),
            )
            placed = answer is not None
            return answer
        finally:
            if not placed:
                gone = Ended(self._own, cell, call.id, "withdrawn")
                self._send(coordinator, gone)

    def _wait_for(
        self, call: Call, cell: Cell, coordinator: str, ask: Ask
    ) -> Grant | Refused | None:
        patience = FIRST_ASK_SECONDS
        try:
            for _ in range(2):
                result = self._waiting[call.id] = AsyncResult()
                self._send(coordinator, ask)
                answer = self._next_answer(result, patience)
                while isinstance(answer, Queued):
                    result = self._waiting[call.id] = AsyncResult()
                    answer = self._next_answer(result, QUEUED_PATIENCE_SECONDS)
                if answer is not None:
                    self._cells.note_load(cell, answer.backlog)
                    return answer
                patience = SECOND_ASK_SECONDS
        finally:
            self._waiting.pop(call.id, None)
        if coordinator != self._own and self._cells.suspect(coordinator):
            self._journal.event("coordinator-silent", peer=coordinator, request=call.id)
        return None

    def _next_answer(self, result: AsyncResult, seconds: float) -> Answer | None:
        try:
            answer: Answer = result.get(timeout=seconds)
        except gevent.Timeout:
            return None
        return answer

    def _take_assignment(
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


def make_ask(
    own: str,
    call: Call,
    cell: Cell,
    *,
    now: float,
    excluded: Collection[InstanceId],
    first: bool,
    source: str | None = None,
) -> Ask:
    """Return what a coordinator has to know of a request."""
    return Ask(
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
        first,
        source,
    )
