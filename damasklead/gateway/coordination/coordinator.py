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
from damasklead.gateway.admission import Admission, Admit, Decision
from damasklead.gateway.calls import Call, CallHead, UpstreamRecord
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
from damasklead.gateway.placements import EnginePlacement, Placement
from damasklead.gateway.routing import Route, ServiceSpec
from damasklead.ids import AttemptId, InstanceId

__all__ = ["Coordinator", "Reply"]

# Askers are told so often that their request still waits.
QUEUED_SECONDS = 0.2
# What a gateway doesn't list as running is dropped when it is older than this: the
# list may have crossed the grant.
CROSSED_SECONDS = 0.4
# What the cell has to do is summed up so often.
WEIGH_SECONDS = 0.05
# Decisions taken at one look at what waits.
DECISIONS_PER_TICK = 16
# A cell that nobody has asked about for so long is forgotten.
IDLE_SECONDS = 20.0
# Answers are remembered for repeated asks for so long.
REMEMBER_SECONDS = 1.0


_FAILURES = {failure.value: failure for failure in Failure}


class Reply(msgspec.Struct, frozen=True):
    """An answer and the gateway that it goes to."""

    to: str
    answer: Answer


class _Work(msgspec.Struct, kw_only=True):
    call: Call
    asker: str
    at: float
    excluded: frozenset[InstanceId]
    source: str | None = None
    queued_at: float = 0.0
    instance: InstanceId | None = None
    answer: Grant | None = None


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
        self._asked_at = clock.now()
        self._placement = placement(
            service=service, clock=clock, data_centre=cell.data_centre
        )
        self._admission = Admission(
            clock=clock,
            has_room=self._placement.has_room,
            is_urgent=self._placement.is_urgent,
            any_room=self._placement.any_room,
            seconds_of=self._placement.seconds_of,
            reading_of=self._placement.reading_of,
        )
        self._backlog = 0.0
        self._weighed_at = -math.inf
        self._routes: dict[str, Route] = {}
        self._works: dict[AttemptId, _Work] = {}
        self.configure(service, routes)

    @property
    def idle(self) -> bool:
        """Whether nobody has asked for long and nothing runs."""
        asked = self._clock.now() - self._asked_at < IDLE_SECONDS
        return not asked and not self._works

    @property
    def backlog(self) -> float:
        """Seconds that the cell's engines have to read, on average, what waits too."""
        now = self._clock.now()
        if now - self._weighed_at >= WEIGH_SECONDS:
            self._weighed_at = now
            waiting = sum(map(self._placement.seconds_of, self._admission.calls))
            self._backlog = self._placement.mean_backlog + waiting
        return self._backlog

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return self._admission.waiting

    @property
    def requests(self) -> int:
        """How many requests run or wait."""
        return len(self._works)

    def configure(self, service: ServiceSpec, routes: list[Route]) -> None:
        """Take the service and its routes in force."""
        self._routes = {route.name: route for route in routes}
        self._placement.configure(service, routes)

    def retain(self, records: list[UpstreamRecord]) -> None:
        """Take the cell's engines."""
        self._placement.retain(records)

    def ask(self, ask: Ask) -> list[Reply]:
        """Take in a request; returns the answer, unless it has to come later."""
        self._asked_at = self._clock.now()
        before = self._works.get(ask.attempt)
        if before is not None and before.asker == ask.asker:
            again = self._repeat(before, ask)
            if again is not None:
                return [again]
        route = self._routes.get(ask.route)
        if route is None:
            return [Reply(ask.asker, Refused(ask.attempt, None, self.backlog))]
        work = self._new_work(ask, route)
        self._works[ask.attempt] = work
        if not ask.first:
            return [self._grant(work)]
        decision = self._admission.submit(work.call)
        if decision is not None:
            return [self._carry_out(decision)]
        work.queued_at = self._clock.now()
        return [Reply(ask.asker, Queued(ask.attempt))]

    def read(self, message: Read) -> None:
        """Take in that a request's prompt was read."""
        work = self._works.get(message.attempt)
        if work is not None and work.instance is not None:
            self._placement.heard(work.instance, message.load)
            self._placement.progressed(work.instance, work.call)

    def ended(self, message: Ended) -> None:
        """Take in that a request is at its replica no more."""
        work = self._works.get(message.attempt)
        if work is None or work.asker != message.asker:
            return
        del self._works[message.attempt]
        self._admission.withdraw(work.call)
        if work.instance is None:
            return
        if message.outcome == "whole":
            self._placement.finished(work.instance, work.call)
        elif message.outcome in _FAILURES:
            failure = _FAILURES[message.outcome]
            self._placement.failed(work.instance, work.call, failure)
        else:
            self._placement.withdrawn(work.instance, work.call)

    def running(self, message: Running) -> None:
        """Take in what a gateway runs at the cell's engines; the rest has ended."""
        now = self._clock.now()
        listed = {attempt for attempt, _, _ in message.requests}
        for attempt, work in list(self._works.items()):
            stale = work.instance is not None and now - work.at > CROSSED_SECONDS
            if work.asker == message.asker and stale and attempt not in listed:
                self._drop(work)
        for attempt, instance, unread in message.requests:
            if attempt not in self._works:
                self._adopt(message.asker, attempt, instance, unread)

    def tick(self) -> list[Reply]:
        """Decide about requests that wait, and tell the askers of the others."""
        replies: list[Reply] = []
        for _ in range(DECISIONS_PER_TICK):
            decision = self._admission.next() if self._admission.waiting else None
            if decision is None:
                break
            replies.append(self._carry_out(decision))
        now = self._clock.now()
        for work in list(self._works.values()):
            if now > work.call.deadline + CROSSED_SECONDS:
                self._drop(work)
            elif work.instance is None and now - work.queued_at >= QUEUED_SECONDS:
                work.queued_at = now
                replies.append(Reply(work.asker, Queued(work.call.id)))
        return replies

    def _repeat(self, work: _Work, ask: Ask) -> Reply | None:
        """Answer an ask that came before; ``None`` when it is for another replica."""
        if work.instance is None:
            return Reply(work.asker, Queued(ask.attempt))
        fresh = self._clock.now() - work.at < REMEMBER_SECONDS
        if work.answer is not None and fresh and work.instance not in ask.excluded:
            return Reply(work.asker, work.answer)
        self._drop(work)
        return None

    def _new_work(self, ask: Ask, route: Route) -> _Work:
        now = self._clock.now()
        head = CallHead(
            method="",
            target="",
            host="",
            attempt=ask.attempt,
            patience=None,
            key=None,
            prompt=ask.prompt,
            prompt_tokens=ask.prompt_tokens,
        )
        call = Call(
            head=head,
            route=route,
            service=self._cell.service,
            workspace=None,
            arrival=now - ask.age,
            deadline=now + ask.left,
            caller_deadline=now + ask.caller_left,
            tier=ask.tier,
        )
        return _Work(
            call=call,
            asker=ask.asker,
            at=now,
            excluded=frozenset(ask.excluded),
            source=ask.source,
        )

    def _carry_out(self, decision: Decision) -> Reply:
        work = self._works[decision.call.id]
        if isinstance(decision, Admit):
            return self._grant(work)
        del self._works[decision.call.id]
        turned = Refused(decision.call.id, decision.retry_after, self.backlog)
        return Reply(work.asker, turned)

    def _grant(self, work: _Work) -> Reply:
        call = work.call
        record = self._placement.choose(call, excluded=work.excluded)
        if record is None:
            del self._works[call.id]
            return Reply(work.asker, Refused(call.id, None, self.backlog))
        source = self._placement.copy_source(record.instance, call) or work.source
        self._placement.sent(record.instance, call)
        work.instance, work.at = record.instance, self._clock.now()
        work.answer = Grant(call.id, record.instance, source, self.backlog)
        return Reply(work.asker, work.answer)

    def _adopt(
        self, asker: str, attempt: AttemptId, instance: InstanceId, unread: int
    ) -> None:
        """Count a request that another coordinator, or none, has placed."""
        route = next(iter(self._routes.values()), None)
        if route is None:
            return
        ask = Ask(
            asker, attempt, self._cell, route.name, route.tier, route.timeout,
            route.timeout, 0.0, unread, (), (), False,
        )  # fmt: skip
        work = self._new_work(ask, route)
        work.instance = instance
        self._works[attempt] = work
        self._placement.sent(instance, work.call)

    def _drop(self, work: _Work) -> None:
        del self._works[work.call.id]
        self._admission.withdraw(work.call)
        if work.instance is not None:
            self._placement.withdrawn(work.instance, work.call)
