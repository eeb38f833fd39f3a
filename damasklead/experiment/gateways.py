"""
Modelled gateways
=================

One gateway: the real placement and admission, with the ways to callers and engines
modelled as delays.
"""

from collections.abc import Callable, Mapping
from functools import partial

import msgspec

from damasklead.experiment.driver import Driver
from damasklead.experiment.engines import Engine, EngineRun
from damasklead.experiment.policies import GatewayParts, Policy
from damasklead.failures import Failure
from damasklead.gateway.admission import Admit, Decision
from damasklead.gateway.attempts import MAX_OFFERS, RETRY_AFTER_SECONDS
from damasklead.gateway.calls import Call, LoadHint, UpstreamRecord
from damasklead.gateway.peerload import (
    LoadMessage,
    PeerLoads,
    ReplicaShare,
    make_shares,
    send_interval,
    worth_telling,
)
from damasklead.gateway.peers import REFRESH_SECONDS
from damasklead.gateway.routing import Route, ServiceSpec
from damasklead.ids import DataCentre, InstanceId

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
    replica: InstanceId | None = None
    done: bool = False


class Gateway:
    """
    One gateway.

    Parameters
    ----------
    name : str
    data_centre : DataCentre
    driver : Driver
    service : ServiceSpec
    routes : list of Route
    policy : Policy
    engines : Mapping
    delay_to : callable
        Returns the seconds from a data centre to another.

    Attributes
    ----------
    far_bytes : int
        Bytes of prompts sent to other data centres.
    """

    def __init__(
        self,
        *,
        name: str,
        data_centre: DataCentre,
        driver: Driver,
        service: ServiceSpec,
        routes: list[Route],
        policy: Policy,
        engines: Mapping[InstanceId, Engine],
        delay_to: Callable[[DataCentre, DataCentre], float],
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.far_bytes = 0
        self.loads = PeerLoads(clock=driver.clock, own=name)
        self._driver = driver
        self._engines = engines
        self._sources: dict[str, Engine] = {}
        self._delay_to = delay_to
        self._event_tokens = service.engine.tokens_per_event if service.engine else 1
        self._placement = policy.placement(
            GatewayParts(
                service=service,
                clock=driver.clock,
                data_centre=data_centre,
                peers=self.loads,
                engines=engines,
            )
        )
        self._placement.configure(service, routes)
        self._admission = policy.admission(driver.clock, self._placement)
        self._works: dict[str, _Work] = {}
        self._told: list[ReplicaShare] = []
        self._told_at = 0.0
        self._number = 0

    def retain(self, records: list[UpstreamRecord]) -> None:
        """Take the replicas that are listed."""
        for record in records:
            self._sources[record.address] = self._engines[record.instance]
        self._placement.retain(records)

    def submit(self, call: Call, answer: Answer, *, tokens: int) -> None:
        """Take a request in; ``tokens`` is the length that its answer will have."""
        work = _Work(call=call, answer=answer, tokens=tokens, excluded=set())
        self._works[call.id] = work
        left = call.deadline - self._driver.clock.now()
        self._driver.at(left, self._expire, work)
        decision = self._admission.submit(call)
        if decision is not None:
            self._carry_out(decision)

    def tick(self) -> None:
        """Decide about one request that waits."""
        decision = self._admission.next() if self._admission.waiting else None
        if decision is not None:
            self._carry_out(decision)

    def message(self) -> LoadMessage | None:
        """Return what to tell the other gateways now, if anything."""
        self.loads.expire()
        now = self._driver.clock.now()
        interval = send_interval(self.loads.gateways)
        shares = make_shares(self._placement.loads())
        due = now - self._told_at >= max(REFRESH_SECONDS, interval)
        due = due or self.loads.parts.pending
        if not due and not worth_telling(self._told, shares):
            return None
        self._told, self._told_at = shares, now
        self._number += 1
        parts = self.loads.parts.tell(gateways=self.loads.gateways, seconds=interval)
        return LoadMessage(self.name, 1, self._number, shares, [], [], parts)

    def _carry_out(self, decision: Decision) -> None:
        work = self._works[decision.call.id]
        if isinstance(decision, Admit):
            self._offer(work)
        else:
            self._refuse(work, decision.retry_after)

    def _offer(self, work: _Work) -> None:
        record = self._placement.choose(work.call, excluded=work.excluded)
        if record is None or work.offers >= MAX_OFFERS:
            self._refuse(work, RETRY_AFTER_SECONDS)
            return
        work.offers += 1
        work.replica = record.instance
        source = self._placement.copy_source(record.instance, work.call)
        self._placement.sent(record.instance, work.call)
        if record.data_centre != self.data_centre:
            self.far_bytes += len(work.call.body)
        delay = self._delay_to(self.data_centre, record.data_centre)
        self._driver.at(delay, self._arrive, work, record, delay, source)

    def _arrive(
        self, work: _Work, record: UpstreamRecord, delay: float, source: str | None
    ) -> None:
        if work.done:
            return
        engine = self._engines[record.instance]
        run = EngineRun(
            attempt=work.call.id,
            prompt=work.call.head.prompt,
            urgency=work.call.urgency,
            answer=max(1, work.tokens - work.events * self._event_tokens),
            on_event=partial(self._later, delay, self._take_event, work),
            on_end=partial(self._later, delay, self._take_end, work),
        )
        if not engine.alive:
            self._driver.at(delay, self._fail, work, Failure.NOT_SENT)
            return
        seconds = 0.0
        if source is not None:
            seconds = engine.copy(self._sources[source], work.call.head.prompt)
        self._driver.at(seconds, self._enter, work, engine, run, delay)

    def _enter(self, work: _Work, engine: Engine, run: EngineRun, delay: float) -> None:
        if not work.done and not engine.submit(run):
            self._driver.at(delay, self._fail, work, Failure.REFUSED)

    def _later(
        self, delay: float, take: Callable[..., None], work: _Work, content: object
    ) -> None:
        self._driver.at(delay, take, work, content)

    def _take_event(self, work: _Work, hint: LoadHint) -> None:
        if work.done or work.replica is None:
            return
        work.events += 1
        self._placement.heard(work.replica, hint)
        self._placement.progressed(work.replica, work.call)
        work.answer.on_event()

    def _take_end(self, work: _Work, whole: bool) -> None:
        if work.done or work.replica is None:
            return
        if not whole:
            work.runs += 1
            self._fail(work, Failure.BROKEN)
            return
        self._placement.finished(work.replica, work.call)
        self._end(work)
        work.answer.on_end(True)

    def _fail(self, work: _Work, failure: Failure) -> None:
        if work.done or work.replica is None:
            return
        self._placement.failed(work.replica, work.call, failure)
        work.excluded.add(work.replica)
        route = work.call.route
        if failure.surely_unrun or (
            route.may_repeat and work.runs < route.max_attempts
        ):
            self._offer(work)
            return
        self._end(work)
        work.answer.on_end(False)

    def _refuse(self, work: _Work, retry_after: float) -> None:
        self._end(work)
        work.answer.on_refusal(retry_after)

    def _expire(self, work: _Work) -> None:
        """Cancel a request whose time is over."""
        if work.done:
            return
        self._admission.withdraw(work.call)
        if work.replica is not None:
            self._placement.withdrawn(work.replica, work.call)
            self._engines[work.replica].cancel(work.call.id)
        self._end(work)
        work.answer.on_end(False)

    def _end(self, work: _Work) -> None:
        work.done = True
        self._works.pop(work.call.id, None)
