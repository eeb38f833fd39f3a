"""
Modelled gateways
=================

One gateway: the real cells, coordinators, placement and admission, with the ways to
callers, to engines and between gateways modelled as delays.
"""

from collections.abc import Callable, Mapping
from functools import partial

import msgspec

from damasklead.experiment.driver import Simulator
from damasklead.experiment.engines import Engine, EngineRun
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
from damasklead.gateway.proxied_request import MAX_REPLICA_ATTEMPTS, RETRY_AFTER_SECONDS
from damasklead.gateway.routing import RoutingTable
from damasklead.ids import DataCentre, InstanceId, ServiceName

__all__ = ["Answer", "Gateway"]


class Answer(msgspec.Struct, kw_only=True):
    """
    What the caller's side is told of a request.

    Attributes
    ----------
    on_event : callable
        An event came.
    on_end : callable
        The answer is whole, or was cut.
    on_refusal : callable
        Refused; when to come back, in seconds.
    """

    on_event: Callable[[], None]
    on_end: Callable[[bool], None]
    on_refusal: Callable[[float], None]


class _Work(msgspec.Struct, kw_only=True):
    call: Call
    answer: Answer
    tokens: int
    excluded: set[InstanceId]
    offers: int = 0
    runs: int = 0
    events: int = 0
    cell: Cell | None = None
    coordinators: list[str] = []
    coordinator: str = ""
    asks: int = 0
    replica: InstanceId | None = None
    done: bool = False


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
        Chooses among a cell's engines.
    engines : Mapping
    delay_to : callable
        Returns the seconds from a data centre to another.
    send : callable
        Takes a message to another gateway, by name.

    Attributes
    ----------
    far_bytes : int
        Bytes of prompts sent to other data centres.
    messages : int
        Messages sent to other gateways.
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
        delay_to: Callable[[DataCentre, DataCentre], float],
        send: Callable[["Gateway", str, object], None],
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.far_bytes = 0
        self.messages = 0
        self.member = Member(InstanceId(name), data_centre)
        self._simulator = simulator
        self._engines = engines
        self._sources: dict[str, Engine] = {}
        self._records: dict[InstanceId, UpstreamRecord] = {}
        self._delay_to = delay_to
        self._send_far = send
        self._cells = CellMap(clock=simulator.clock, local_member=self.member)
        self._coordinators = Coordinators(
            clock=simulator.clock,
            cells=self._cells,
            table=lambda: table,
            send_response=self._send,
            placement=placement,
        )
        self._works: dict[str, _Work] = {}

    def meet(self, members: list[Member]) -> None:
        """Take in which gateways there are."""
        self._cells.set_members(members)

    def retain(self, service: ServiceName, records: list[UpstreamRecord]) -> None:
        """Take the replicas that are listed."""
        self._records = {record.instance: record for record in records}
        for record in records:
            self._sources[record.address] = self._engines[record.instance]
        self._cells.set_engines(service, records)
        self._coordinators.apply_configuration()

    def submit(self, call: Call, answer: Answer, *, tokens: int) -> None:
        """Take a request in; ``tokens`` is the length that its answer will have."""
        work = _Work(call=call, answer=answer, tokens=tokens, excluded=set())
        self._works[call.id] = work
        left = call.deadline - self._simulator.clock.now()
        self._simulator.schedule(left, self._expire, work)
        self._find(work)

    def tick(self) -> None:
        """Let the coordinators here decide about what waits."""
        self._coordinators.process_queues()

    def take(self, message: object, sender: str) -> None:
        """Take in a message of a gateway."""
        if isinstance(
            message, (AssignmentRequest, PrefillDone, RequestEnded, RunningRequests)
        ):
            self._coordinators.handle_message(message)
        elif isinstance(message, (Grant, RequestQueued, RequestRejected)):
            self._take_answer(message, sender)

    def _send(self, name: str, message: object) -> None:
        if name == self.name:
            self.take(message, name)
        else:
            self.messages += 1
            self._send_far(self, name, message)

    def _find(self, work: _Work) -> None:
        work.cell = self._cells.select_cell(work.call, is_first_attempt=not work.offers)
        if work.cell is None or work.offers >= MAX_REPLICA_ATTEMPTS:
            self._refuse(work, RETRY_AFTER_SECONDS)
            return
        work.coordinators = self._cells.list_coordinators(
            work.cell, limit=MAX_COORDINATORS
        )
        self._ask(work)

    def _ask(self, work: _Work) -> None:
        if work.cell is None or not work.coordinators:
            self._refuse(work, RETRY_AFTER_SECONDS)
            return
        work.coordinator = work.coordinators.pop(0)
        self._await(
            work, FIRST_REQUEST_TIMEOUT_SECONDS + SECOND_REQUEST_TIMEOUT_SECONDS
        )
        ask = make_assignment_request(
            self.name,
            work.call,
            work.cell,
            now=self._simulator.clock.now(),
            excluded=work.excluded,
            is_first_attempt=not work.offers,
            source=self._cells.find_copy_source(work.call, work.cell),
        )
        self._send(work.coordinator, ask)

    def _await(self, work: _Work, seconds: float) -> None:
        work.asks += 1
        self._simulator.schedule(seconds, self._give_up_coordinator, work, work.asks)

    def _give_up_coordinator(self, work: _Work, ask: int) -> None:
        if work.done or ask != work.asks or work.replica is not None:
            return
        if work.coordinator != self.name:
            self._cells.suspect_gateway(work.coordinator)
        self._ask(work)

    def _take_answer(
        self, answer: Grant | RequestQueued | RequestRejected, sender: str
    ) -> None:
        self._cells.clear_suspicion(sender)
        work = self._works.get(answer.attempt)
        wanted = work is not None and sender == work.coordinator and not work.replica
        if work is None or not wanted:
            self._give_back(answer, sender)
            return
        if isinstance(answer, RequestQueued):
            self._await(work, QUEUED_TIMEOUT_SECONDS)
            return
        work.asks += 1
        if work.cell is not None:
            self._cells.record_load(work.cell, answer.backlog)
        if isinstance(answer, RequestRejected):
            self._refuse(work, answer.retry_after or RETRY_AFTER_SECONDS)
        else:
            self._offer(work, answer)

    def _give_back(
        self, answer: Grant | RequestQueued | RequestRejected, sender: str
    ) -> None:
        """Tell a coordinator that its place comes too late."""
        cell = (
            self._cells.find_cell(answer.instance)
            if isinstance(answer, Grant)
            else None
        )
        if cell is not None:
            self._send(
                sender, RequestEnded(self.name, cell, answer.attempt, "withdrawn")
            )

    def _offer(self, work: _Work, grant: Grant) -> None:
        record = self._records.get(grant.instance)
        if record is None:
            self._end(work, "withdrawn")
            work.answer.on_refusal(RETRY_AFTER_SECONDS)
            return
        work.offers += 1
        work.replica = record.instance
        if record.data_centre != self.data_centre:
            self.far_bytes += len(work.call.body)
        delay = self._delay_to(self.data_centre, record.data_centre)
        self._simulator.schedule(delay, self._arrive, work, record, delay, grant.source)

    def _arrive(
        self, work: _Work, record: UpstreamRecord, delay: float, source: str | None
    ) -> None:
        if work.done:
            return
        engine = self._engines[record.instance]
        spent = work.events * engine.event_tokens
        run = EngineRun(
            attempt=work.call.id,
            prompt=work.call.head.prompt,
            urgency=work.call.urgency,
            answer=max(1, work.tokens - spent),
            on_event=partial(self._later, delay, self._take_event, work),
            on_end=partial(self._later, delay, self._take_end, work),
        )
        if not engine.alive:
            self._simulator.schedule(delay, self._fail, work, Failure.NOT_SENT)
            return
        seconds = 0.0
        if source is not None and source in self._sources:
            seconds = engine.copy(self._sources[source], work.call.head.prompt)
        self._simulator.schedule(seconds, self._enter, work, engine, run, delay)

    def _enter(self, work: _Work, engine: Engine, run: EngineRun, delay: float) -> None:
        if not work.done and not engine.submit(run):
            self._simulator.schedule(delay, self._fail, work, Failure.REFUSED)

    def _later(
        self, delay: float, take: Callable[..., None], work: _Work, content: object
    ) -> None:
        self._simulator.schedule(delay, take, work, content)

    def _take_event(self, work: _Work, hint: LoadHint) -> None:
        if work.done or work.replica is None or work.cell is None:
            return
        work.events += 1
        if work.events == 1:
            read = PrefillDone(self.name, work.cell, work.call.id, hint)
            self._send(work.coordinator, read)
        work.answer.on_event()

    def _take_end(self, work: _Work, whole: bool) -> None:
        if work.done or work.replica is None:
            return
        if not whole:
            work.runs += 1
            self._fail(work, Failure.BROKEN)
            return
        self._end(work, "whole")
        work.answer.on_end(True)

    def _fail(self, work: _Work, failure: Failure) -> None:
        if work.done or work.replica is None:
            return
        work.excluded.add(work.replica)
        work.replica = None
        self._tell_ended(work, failure.value)
        route = work.call.route
        if failure.rules_out_execution or (
            route.may_repeat and work.runs < route.max_attempts
        ):
            self._find(work)
            return
        self._end(work, failure.value)
        work.answer.on_end(False)

    def _refuse(self, work: _Work, retry_after: float) -> None:
        work.done = True
        self._works.pop(work.call.id, None)
        work.answer.on_refusal(retry_after)

    def _expire(self, work: _Work) -> None:
        """Cancel a request whose time is over."""
        if work.done:
            return
        if work.replica is not None:
            self._engines[work.replica].cancel(work.call.id)
        self._end(work, "withdrawn")
        work.answer.on_end(False)

    def _end(self, work: _Work, outcome: str) -> None:
        work.done = True
        self._works.pop(work.call.id, None)
        self._tell_ended(work, outcome)

    def _tell_ended(self, work: _Work, outcome: str) -> None:
        if work.cell is not None and work.coordinator:
            ended = RequestEnded(self.name, work.cell, work.call.id, outcome)
            self._send(work.coordinator, ended)
