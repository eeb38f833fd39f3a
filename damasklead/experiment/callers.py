"""
Modelled callers
================

A caller sends a request, retries it once after a refusal or an interrupted response,
and records whether the response met its targets.
"""

from collections.abc import Sequence

from damasklead.experiment.gateways import Gateway, ResponseCallbacks
from damasklead.experiment.load import Arrival
from damasklead.experiment.simulator import Simulator
from damasklead.experiment.tally import RequestOutcome, Result, Tally
from damasklead.gateway.calls import Call, CallHead
from damasklead.gateway.routing import Route
from damasklead.ids import AttemptId, ServiceName

__all__ = ["Caller"]

MAX_RETRIES = 1
BYTES_PER_TOKEN = 2
# A caller waits for a Retry-After of at most this fraction of its remaining time.
MAX_RETRY_AFTER_FRACTION = 1 / 3


class Caller:
    """
    One caller with one request.

    Parameters
    ----------
    arrival : Arrival
        The request and the gateway that receives it.
    route : Route
    service : ServiceName
    gateways : sequence of Gateway
        All gateways of the experiment.
    simulator : Simulator
    tally : Tally
        Receives the outcome.
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
        self._started_at = simulator.clock.now()
        self._attempt_count = 0
        self._was_refused = False
        self._first_event_seconds: float | None = None
        self._last_event_at = 0.0
        self._max_event_gap = 0.0

    @property
    def _remaining_seconds(self) -> float:
        return (
            self._started_at + self._arrival.kind.timeout - self._simulator.clock.now()
        )

    def send_request(self) -> None:
        """Send the request for the first time, or again with the remaining time."""
        self._attempt_count += 1
        now = self._simulator.clock.now()
        prompt = self._arrival.prompt
        head = CallHead(
            method="POST",
            target=self._route.prefix,
            host=self._route.host,
            attempt=AttemptId(f"{self._arrival.number}-{self._attempt_count}"),
            caller_timeout=self._remaining_seconds,
            key=None,
            prompt=prompt,
            prompt_tokens=sum(part.tokens for part in prompt),
            output_tokens=self._arrival.output_tokens,
        )
        call = Call(
            head=head,
            route=self._route,
            service=self._service,
            workspace=None,
            arrival=now,
            deadline=now + self._remaining_seconds,
            caller_deadline=now + self._remaining_seconds,
            tier=0,
            body=bytes(BYTES_PER_TOKEN * head.prompt_tokens),
        )
        callbacks = ResponseCallbacks(
            on_event=self._handle_event,
            on_end=self._handle_end,
            on_refusal=self._handle_refusal,
        )
        gateway = self._gateways[self._arrival.gateway_index]
        gateway.submit_call(call, callbacks, output_tokens=self._arrival.output_tokens)

    def _handle_event(self) -> None:
        now = self._simulator.clock.now()
        if self._first_event_seconds is None:
            self._first_event_seconds = now - self._started_at
        else:
            self._max_event_gap = max(self._max_event_gap, now - self._last_event_at)
        self._last_event_at = now

    def _handle_end(self, is_complete: bool) -> None:
        if is_complete:
            is_in_time = (
                self._first_event_seconds is not None
                and self._first_event_seconds <= self._route.target
                and self._max_event_gap <= self._arrival.kind.event_gap
            )
            self._record_outcome(Result.IN_TIME if is_in_time else Result.LATE)
        elif self._attempt_count <= MAX_RETRIES and self._remaining_seconds > 0:
            self._first_event_seconds, self._max_event_gap = None, 0.0
            self.send_request()
        else:
            self._record_outcome(Result.REFUSED if self._was_refused else Result.FAILED)

    def _handle_refusal(self, retry_after: float) -> None:
        self._was_refused = True
        is_honoured = retry_after <= MAX_RETRY_AFTER_FRACTION * self._remaining_seconds
        if self._attempt_count <= MAX_RETRIES and is_honoured:
            self._simulator.schedule(retry_after, self.send_request)
        else:
            self._record_outcome(Result.REFUSED)

    def _record_outcome(self, result: Result) -> None:
        self._tally.record_outcome(
            RequestOutcome(
                kind=self._arrival.kind,
                arrival_time=self._arrival.arrival_time,
                prompt_tokens=sum(part.tokens for part in self._arrival.prompt),
                result=result,
                first_event_seconds=0.0
                if self._first_event_seconds is None
                else self._first_event_seconds,
            )
        )
