"""
Modelled callers
================

A caller sends a request, comes back once after a refusal or a cut, and judges what it
got.
"""

from collections.abc import Sequence

from damasklead.experiment.driver import Simulator
from damasklead.experiment.gateways import Answer, Gateway
from damasklead.experiment.load import Arrival
from damasklead.experiment.tally import Outcome, Result, Tally
from damasklead.gateway.calls import Call, CallHead
from damasklead.gateway.routing import Route
from damasklead.ids import AttemptId, ServiceName

__all__ = ["Caller"]

# Callers come back once, and honour a Retry-After of at most this part of their time.
RETRIES = 1
BYTES_PER_TOKEN = 2
MOST_RETRY_SHARE = 1 / 3


class Caller:
    """
    One caller with one request.

    Parameters
    ----------
    arrival : Arrival
    route : Route
    service : ServiceName
    gateways : sequence of Gateway
    simulator : Simulator
    tally : Tally
    """

    def __init__(
        self,
        *,
        arrival: Arrival,
        route: Route,
        service: ServiceName,
        gateways: Sequence[Gateway],
        simulator: Simulator,
        tally: Tally,
    ) -> None:
        self._arrival = arrival
        self._route = route
        self._service = service
        self._gateways = gateways
        self._simulator = simulator
        self._tally = tally
        self._began = simulator.clock.now()
        self._tries = 0
        self._refused = False
        self._first: float | None = None
        self._last = 0.0
        self._worst_gap = 0.0

    @property
    def _left(self) -> float:
        return self._began + self._arrival.kind.timeout - self._simulator.clock.now()

    def begin(self) -> None:
        """Send the request."""
        self._tries += 1
        now = self._simulator.clock.now()
        prompt = self._arrival.prompt
        head = CallHead(
            method="POST",
            target=self._route.prefix,
            host=self._route.host,
            attempt=AttemptId(f"{self._arrival.number}-{self._tries}"),
            caller_timeout=self._left,
            key=None,
            prompt=prompt,
            prompt_tokens=sum(part.tokens for part in prompt),
            output_tokens=self._arrival.answer,
        )
        call = Call(
            head=head,
            route=self._route,
            service=self._service,
            workspace=None,
            arrival=now,
            deadline=now + self._left,
            caller_deadline=now + self._left,
            tier=0,
            body=bytes(BYTES_PER_TOKEN * head.prompt_tokens),
        )
        answer = Answer(
            on_event=self._take_event,
            on_end=self._take_end,
            on_refusal=self._take_refusal,
        )
        gateway = self._gateways[self._arrival.gateway]
        gateway.submit(call, answer, tokens=self._arrival.answer)

    def _take_event(self) -> None:
        now = self._simulator.clock.now()
        if self._first is None:
            self._first = now - self._began
        else:
            self._worst_gap = max(self._worst_gap, now - self._last)
        self._last = now

    def _take_end(self, whole: bool) -> None:
        if whole:
            in_time = (
                self._first is not None
                and self._first <= self._route.target
                and self._worst_gap <= self._arrival.kind.event_gap
            )
            self._judge(Result.IN_TIME if in_time else Result.LATE)
        elif self._tries <= RETRIES and self._left > 0:
            self._first, self._worst_gap = None, 0.0
            self.begin()
        else:
            self._judge(Result.REFUSED if self._refused else Result.FAILED)

    def _take_refusal(self, retry_after: float) -> None:
        self._refused = True
        honoured = retry_after <= MOST_RETRY_SHARE * self._left
        if self._tries <= RETRIES and honoured:
            self._simulator.schedule(retry_after, self.begin)
        else:
            self._judge(Result.REFUSED)

    def _judge(self, result: Result) -> None:
        self._tally.add(
            Outcome(
                kind=self._arrival.kind,
                at=self._arrival.at,
                size=sum(part.tokens for part in self._arrival.prompt),
                result=result,
                waited=0.0 if self._first is None else self._first,
            )
        )
