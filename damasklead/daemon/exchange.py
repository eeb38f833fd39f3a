"""
Exchange
========

One caller's request from its submission to its final answer, over as many attempts as
it takes.
"""

from abc import ABC, abstractmethod
from collections.abc import Generator, Iterator
from typing import Any

import gevent
import msgspec
from gevent import socket
from gevent.queue import SimpleQueue

from damasklead.claims import (
    BodyMismatch,
    Claim,
    ClaimAcquired,
    ClaimHeld,
    ClaimState,
    ClaimUnconfirmed,
    RecordedResponse,
    acquire,
)
from damasklead.daemon.claimkeeper import ClaimKeeper
from damasklead.daemon.pools import Pool
from damasklead.daemon.replies import (
    DONE_EVENT,
    EVENT_END,
    MAX_KEPT_ANSWER,
    MAX_RAW_BYTES,
    Head,
    Piece,
    body_differs,
    end_to_end,
    replay_claim,
    store_down,
    text_of,
)
from damasklead.ids import AttemptId, InstanceId
from damasklead.loop import LoopClock
from damasklead.problems import make_problem
from damasklead.protocol import Steps, T
from damasklead.requests import (
    Action,
    Cancel,
    Failure,
    Finish,
    Outcome,
    Refuse,
    Request,
    Start,
)
from damasklead.settings import Settings
from damasklead.upstreams import UpstreamError, UpstreamRequest, UpstreamResponse
from damasklead.upstreams.engine import EngineUpstream, build_continuation_body

__all__ = ["Exchange", "ExchangeHost"]


class ExchangeHost(ABC):
    """
    What an exchange asks of the entry that it belongs to.

    Attributes
    ----------
    clock : LoopClock
    settings : Settings
    claims : ClaimKeeper
    """

    clock: LoopClock
    settings: Settings
    claims: ClaimKeeper

    @abstractmethod
    def submit(self, pool: Pool, exchange: "Exchange") -> None:
        """Let the pool's dispatcher take in an exchange's request."""

    @abstractmethod
    def forget(self, pool: Pool, exchange: "Exchange", *, finished: bool) -> None:
        """Drop an exchange whose caller has its final answer or has gone."""

    @abstractmethod
    def withdraw(self, pool: Pool, exchange: "Exchange") -> None:
        """Take a request back whose attempt is not to be sent."""

    @abstractmethod
    def cancel_attempt(self, pool: Pool, cancel: Cancel) -> None:
        """Tell an upstream that an attempt's answer is not wanted any more."""

    @abstractmethod
    def attempt_failed(self, pool: Pool, start: Start, error: UpstreamError) -> None:
        """Take in that an attempt failed."""

    @abstractmethod
    def attempt_finished(self, pool: Pool, exchange: "Exchange", start: Start) -> None:
        """Take in that an attempt's answer is whole."""

    @abstractmethod
    def first_event(self, exchange: "Exchange") -> None:
        """Count the time to a request's first event."""

    @abstractmethod
    def address_of(self, instance: InstanceId) -> str | None:
        """Return an instance's address."""

    @abstractmethod
    def run_protocol(self, steps: Steps[T]) -> T:
        """Drive a protocol against the platform."""


class Exchange:
    """
    A request with its caller on one side and its attempts on the other.

    Parameters
    ----------
    entry : ExchangeHost
    pool : Pool
        Where the request goes.
    request : Request
    call : UpstreamRequest
        What is sent; the attempt id is filled in for each attempt.
    stream : bool
        Whether the answer is passed on as it arrives.
    document : dict, optional
        The parsed body of an engine request, for continuing it elsewhere.
    claim : Claim, optional
        The claim to make before the first byte is sent.
    """

    def __init__(
        self,
        *,
        entry: "ExchangeHost",
        pool: Pool,
        request: Request,
        call: UpstreamRequest,
        stream: bool,
        document: dict[str, Any] | None = None,
        claim: Claim | None = None,
    ) -> None:
        self.request = request
        self.claim = claim
        self.streaming = False
        self.caller: socket.socket | None = None
        self._entry = entry
        self.pool = pool
        self._call = call
        self._stream = stream and claim is None
        self._document = document
        self._claim_version: int | None = None
        self._mailbox: SimpleQueue[Action] = SimpleQueue()
        self._current: AttemptId | None = None
        self._connection: socket.socket | None = None
        self._last_start: Start | None = None
        self._answer: UpstreamResponse | None = None
        self._heard: tuple[int, float] = (0, 0.0)
        self._before_attempt = 0
        self._raw: list[bytes] = []
        self._raw_size = 0
        self._text = ""
        self._done = False

    @property
    def preemptable(self) -> bool:
        """Whether an attempt can be cancelled and go on later without loss."""
        return self._stream and self.request.request_class.may_repeat

    @property
    def sent(self) -> bool:
        """Whether an attempt is under way."""
        return self._current is not None

    def deliver(self, action: Action) -> None:
        """Take an action of the dispatcher."""
        if isinstance(action, Cancel):
            self._interrupt(action)
        elif not isinstance(action, Finish):
            self._mailbox.put(action)

    def check_silence(self) -> None:
        """End the attempt if its stream has been silent for too long."""
        answer = self._answer
        if answer is None or self._current is None:
            return
        now = self._entry.clock.now()
        if answer.receive_count != self._heard[0]:
            self._heard = (answer.receive_count, now)
        elif now - self._heard[1] > self._call.read_timeout:
            self._answer = None
            answer.interrupt(Failure.TIMED_OUT)

    def run(self) -> Generator[Piece, None, None]:
        """
        Yield the answer: a head and its body, or a problem, which may follow a head.
        """
        self._entry.submit(self.pool, self)
        try:
            while True:
                action = self._mailbox.get()
                if isinstance(action, Refuse):
                    self._release_claim(action.outcome)
                    yield make_problem(
                        action.reason, action.outcome, action.retry_after
                    )
                    return
                assert isinstance(action, Start)
                yield from self._attempt(action)
                if self._done:
                    return
        finally:
            self._entry.forget(self.pool, self, finished=self._done)

    def _interrupt(self, cancel: Cancel) -> None:
        """Stop an attempt that the dispatcher took back."""
        if self._current == cancel.attempt:
            self._current = None
            if self._connection is not None:
                self._connection.close()
        if self._last_start is not None and self._last_start.attempt == cancel.attempt:
            gevent.spawn(self._entry.cancel_attempt, self.pool, cancel)

    def _attempt(self, start: Start) -> Iterator[Piece]:
        if self.claim is not None and self._claim_version is None:
            refused = self._acquire_claim(start)
            if refused is not None:
                self._done = True
                self._entry.withdraw(self.pool, self)
                yield from refused
                return
        self._current = start.attempt
        self._answer = None
        self._heard = (-1, self._entry.clock.now())
        try:
            answer = self._send(start)
            if self._stream and answer.status == 200:
                yield from self._relay(answer, start)
            else:
                yield from self._pass_whole(answer, start)
        except UpstreamError as error:
            if self._current == start.attempt:
                self._current = None
                self._entry.attempt_failed(self.pool, start, error)

    def _send(self, start: Start) -> UpstreamResponse:
        address = self._entry.address_of(start.replica)
        if address is None:
            raise UpstreamError(Failure.NOT_SENT, "the upstream is gone")
        call = msgspec.structs.replace(self._call, attempt=start.attempt)
        previous, self._last_start = self._last_start, start
        received = self.request.generated_tokens - self._before_attempt
        self._before_attempt = self.request.generated_tokens
        if self.request.generated_tokens and self._document is not None:
            upstream = self.pool.upstream
            if previous is not None and previous.replica == start.replica:
                assert isinstance(upstream, EngineUpstream)
                try:
                    return upstream.resume_stream(
                        address,
                        call,
                        original_attempt=previous.attempt,
                        event_count=received,
                    )
                except UpstreamError as error:
                    if error.failure is not Failure.REFUSED:
                        raise
            call = msgspec.structs.replace(call, body=self._continuation())
        return self.pool.upstream.send_attempt(
            address, call, on_connect=self._set_connection
        )

    def _set_connection(self, connection: socket.socket) -> None:
        self._connection = connection

    def _relay(self, answer: UpstreamResponse, start: Start) -> Iterator[Piece]:
        """Pass a stream on in whole events, as they arrive."""
        answer.disable_read_timeout()
        self._answer = answer
        if not self.streaming:
            self.streaming = True
            yield Head(status=200, headers=end_to_end(answer), whole=False)
        held = b""
        ended = False
        progress = self.pool.dispatcher.record_events
        while chunk := answer.read_chunk():
            if self._current != start.attempt:
                # What was buffered when the attempt was taken back is not counted, so
                # the next attempt generates it again.
                raise UpstreamError(Failure.BROKEN, "the attempt was taken back")
            data = held + chunk if held else chunk
            cut = data.rfind(EVENT_END) + len(EVENT_END)
            if cut < len(EVENT_END):
                held = data
                continue
            held = data[cut:] if cut < len(data) else b""
            whole = data if not held else data[:cut]
            ended = whole.endswith(DONE_EVENT)
            events = whole.count(EVENT_END) - ended
            self._keep(whole)
            if self.request.generated_tokens == 0:
                self._entry.first_event(self)
            progress(start.attempt, event_count=events)
            if ended:
                self._complete(start)
            yield whole
        if not ended:
            raise UpstreamError(Failure.BROKEN, "the stream ended early")

    def _pass_whole(self, answer: UpstreamResponse, start: Start) -> Iterator[Piece]:
        body = answer.read_body(limit=self._entry.settings.limits.answer_bytes)
        self.pool.dispatcher.record_events(start.attempt, event_count=1)
        headers = [*end_to_end(answer), ("Content-Length", str(len(body)))]
        self._record_answer(answer, body)
        self._complete(start)
        yield Head(status=answer.status, headers=headers, whole=True)
        yield body

    def _complete(self, start: Start) -> None:
        self._done = True
        self._current = None
        self._entry.attempt_finished(self.pool, self, start)

    def _acquire_claim(self, start: Start) -> list[Piece] | None:
        """Claim the key for this exchange; returns the answer to give if that fails."""
        assert self.claim is not None
        self.claim = msgspec.structs.replace(self.claim, attempt=start.attempt)
        result = self._entry.run_protocol(acquire(self.claim))
        if isinstance(result, ClaimAcquired):
            self._claim_version = result.version
            return None
        if isinstance(result, ClaimUnconfirmed):
            if result.maybe_written:
                self._entry.claims.abandon(self.claim)
            return [store_down()]
        if isinstance(result, BodyMismatch):
            return [body_differs()]
        assert isinstance(result, ClaimHeld)
        return replay_claim(result.claim)

    def _record_answer(self, answer: UpstreamResponse, body: bytes) -> None:
        if self.claim is None or self._claim_version is None:
            return
        kept = RecordedResponse(
            status=answer.status,
            content_type=answer.get_header("Content-Type"),
            body=body if len(body) <= MAX_KEPT_ANSWER else None,
        )
        self._settle(ClaimState.ANSWERED, kept)

    def _release_claim(self, outcome: Outcome) -> None:
        """Record that an acquired claim did not run, or that nobody knows."""
        if self._claim_version is not None:
            unrun = outcome is Outcome.NOT_RUN
            self._settle(ClaimState.RELEASED if unrun else ClaimState.FAILED, None)

    def _settle(self, state: ClaimState, answer: RecordedResponse | None) -> None:
        assert self.claim is not None and self._claim_version is not None
        settled = msgspec.structs.replace(self.claim, state=state, answer=answer)
        self._entry.claims.settle(settled, version=self._claim_version)

    def _keep(self, whole: bytes) -> None:
        """Keep what was sent, so that the stream can be continued elsewhere."""
        self._raw.append(whole)
        self._raw_size += len(whole)
        if self._raw_size > MAX_RAW_BYTES:
            self._compact()

    def _compact(self) -> None:
        """Reduce the kept events to their text."""
        self._text += text_of(b"".join(self._raw))
        self._raw = []
        self._raw_size = 0

    def _continuation(self) -> bytes:
        assert self._document is not None
        self._compact()
        document = dict(self._document)
        if isinstance(document.get("max_tokens"), int):
            document["max_tokens"] = max(
                1, document["max_tokens"] - self.request.generated_tokens
            )
        return build_continuation_body(document, self._text)
