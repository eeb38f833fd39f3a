"""
Exchange
========

One request of a caller: submits it to its pool's dispatcher, sends each attempt that
the dispatcher starts to an upstream, and relays the response.
"""

from abc import ABC, abstractmethod
from collections.abc import Generator, Iterator
from typing import Any

import gevent
import msgspec
from gevent import socket
from gevent.queue import SimpleQueue

from damasklead.body_buffer import BodyBuffer
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
from damasklead.daemon.caller_connection import CallerConnection
from damasklead.daemon.claim_keeper import ClaimKeeper
from damasklead.daemon.pools import Pool
from damasklead.daemon.replies import (
    DONE_EVENT,
    EVENT_END,
    MAX_KEPT_ANSWER,
    MAX_RAW_BYTES,
    ResponseHead,
    ResponsePart,
    extract_text,
    make_body_mismatch_problem,
    make_replayed_response,
    make_store_unavailable_problem,
    select_end_to_end_headers,
)
from damasklead.event_buffer import MAX_EVENT_BYTES, EventBuffer
from damasklead.ids import AttemptId, Incarnation, InstanceId
from damasklead.loop import LoopClock
from damasklead.membership import Member
from damasklead.memory_budget import HeldKind, MemoryAccount
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

# What is held for the buffers of a response on its way: what was received at once, a
# part of it that is parsed, and a part that is sent.
RESPONSE_BUFFER_BYTES = 131_072
# Longest text of a stream that is kept where memory is limited, as of a body that is
# buffered so that it can be retried.
MAX_KEPT_TEXT = 262_144
# What an event of a stream, or a comment, begins with.
EVENT_FIELDS = (b"data:", b"event:", b"id:", b"retry:", b":")


class ExchangeHost(ABC):
    """
    Interface of the entry that an exchange belongs to.

    Attributes
    ----------
    clock : LoopClock
        Clock of the entry.
    settings : Settings
        Settings of the entry.
    claims : ClaimKeeper
        Settles and abandons the claims of idempotency keys.
    memory : MemoryAccount
        What is held for callers.
    """

    clock: LoopClock
    settings: Settings
    claims: ClaimKeeper
    memory: MemoryAccount

    @abstractmethod
    def submit_exchange(self, pool: Pool, exchange: "Exchange") -> None:
        """Submit an exchange's request to the pool's dispatcher."""

    @abstractmethod
    def remove_exchange(
        self, pool: Pool, exchange: "Exchange", *, is_complete: bool
    ) -> None:
        """
        Remove an exchange that has ended; its request is cancelled unless the response
        is complete.
        """

    @abstractmethod
    def cancel_request(self, pool: Pool, exchange: "Exchange") -> None:
        """Cancel an exchange's request before its started attempt is sent."""

    @abstractmethod
    def cancel_attempt(self, pool: Pool, cancel: Cancel) -> None:
        """Cancel an attempt at its upstream."""

    @abstractmethod
    def fail_attempt(self, pool: Pool, start: Start, error: UpstreamError) -> None:
        """Log a failed attempt and report it to the pool's dispatcher."""

    @abstractmethod
    def complete_attempt(
        self, pool: Pool, start: Start, *, is_successful: bool
    ) -> None:
        """
        Report to the pool's dispatcher that an attempt's response is complete.

        Parameters
        ----------
        is_successful : bool
            Whether the status of the response is no error.
        """

    @abstractmethod
    def record_rate_limit(
        self, start: Start, limit: float | None, *, is_success: bool
    ) -> None:
        """Record the limit that an upstream's response names, ``None`` without one."""

    @abstractmethod
    def record_first_event(self, exchange: "Exchange") -> None:
        """Record the time from arrival to the first event in the metrics."""

    @abstractmethod
    def get_member(self, instance: InstanceId) -> Member | None:
        """Return what is known of an instance, ``None`` when it is unknown."""

    @abstractmethod
    def run_protocol(self, steps: Steps[T]) -> T:
        """Run a protocol against the platform and return its result."""


class Exchange:
    """
    A request of a caller with its attempts and its response.

    Parameters
    ----------
    entry : ExchangeHost
        The entry that received the request.
    pool : Pool
        The upstreams of the requested service.
    request : Request
        The request as the dispatcher queues it.
    upstream_request : UpstreamRequest
        Request to be sent; each attempt fills in its own attempt id.
    stream : bool
        Whether the response is relayed event by event as it arrives. The response to a
        request with a claim is always read completely first.
    document : dict, optional
        The decoded body of an engine request, from which the body for continuing the
        response at another replica is made.
    claim : Claim, optional
        Claim of the request's idempotency key, acquired before the first attempt.

    Attributes
    ----------
    is_streaming : bool
        Whether the relay of a stream has begun.
    caller_socket : socket or None
        The caller's connection, checked for a disconnect until the response begins.
    connection : CallerConnection or None
        What is held for the caller's connection; ``None`` if memory isn't limited.
    """

    def __init__(
        self,
        *,
        entry: "ExchangeHost",
        pool: Pool,
        request: Request,
        upstream_request: UpstreamRequest,
        stream: bool,
        document: dict[str, Any] | None = None,
        claim: Claim | None = None,
    ) -> None:
        self.request = request
        self.claim = claim
        self.is_streaming = False
        self.caller_socket: socket.socket | None = None
        self.connection: CallerConnection | None = None
        self._entry = entry
        self.pool = pool
        self._upstream_request = upstream_request
        self._stream = stream and claim is None
        self._document = document
        self._claim_version: int | None = None
        self._pending_actions: SimpleQueue[Action] = SimpleQueue()
        self._current_attempt: AttemptId | None = None
        self._upstream_socket: socket.socket | None = None
        # Address and start of the upstream of the present attempt.
        self._upstream_start: tuple[str, Incarnation] | None = None
        self._last_start: Start | None = None
        self._response: UpstreamResponse | None = None
        # Receive count of the response and the clock reading when it was first seen.
        self._last_receive: tuple[int, float] = (0, 0.0)
        self._tokens_before_attempt = 0
        self._sent_events: list[bytes] = []
        self._sent_bytes = 0
        self._sent_text = ""
        self._is_complete = False
        self._is_relaying = False
        self._is_continuable = True

    @property
    def is_preemptable(self) -> bool:
        """Whether an attempt can be cancelled and continued later without loss."""
        return self._stream and self.request.request_class.may_repeat

    @property
    def was_attempted(self) -> bool:
        """Whether an attempt has been sent."""
        return self._last_start is not None

    @property
    def has_active_attempt(self) -> bool:
        """Whether an attempt has started and not ended."""
        return self._current_attempt is not None

    def handle_action(self, action: Action) -> None:
        """
        Handle an action of the dispatcher.

        A ``Cancel`` takes effect at once; ``Start`` and ``Refuse`` are queued for
        ``generate_response``.
        """
        if isinstance(action, Cancel):
            self._cancel_attempt(action)
        elif not isinstance(action, Finish):
            self._pending_actions.put(action)

    def check_read_timeout(self) -> None:
        """Fail the attempt if its stream has sent no data for the read timeout."""
        response = self._response
        if response is None or self._current_attempt is None:
            return
        now = self._entry.clock.now()
        is_held_up = self.connection is not None and self.connection.is_held_up
        if is_held_up or response.receive_count != self._last_receive[0]:
            self._last_receive = (response.receive_count, now)
        elif now - self._last_receive[1] > self._upstream_request.read_timeout:
            self._response = None
            response.interrupt(Failure.TIMED_OUT)

    def generate_response(self) -> Generator[ResponsePart, None, None]:
        """
        Yield the parts of the response: a head and its body, or a problem.

        A problem after the head of a stream ends the stream.
        """
        self._entry.submit_exchange(self.pool, self)
        try:
            while True:
                action = self._pending_actions.get()
                if isinstance(action, Refuse):
                    self._settle_claim_without_response(action.outcome)
                    yield make_problem(
                        action.reason, action.outcome, action.retry_after
                    )
                    return
                assert isinstance(action, Start)
                yield from self._run_attempt(action)
                if self._is_complete:
                    return
        finally:
            self._entry.remove_exchange(self.pool, self, is_complete=self._is_complete)

    def _cancel_attempt(self, cancel: Cancel) -> None:
        """Cancel an attempt here and at its upstream."""
        if self._current_attempt == cancel.attempt:
            self._current_attempt = None
            if self._upstream_socket is not None:
                self._upstream_socket.close()
        if self._last_start is not None and self._last_start.attempt == cancel.attempt:
            gevent.spawn(self._entry.cancel_attempt, self.pool, cancel)

    def _run_attempt(self, start: Start) -> Iterator[ResponsePart]:
        """Send an attempt, after the claim if there is one, and yield its response."""
        if self.claim is not None and self._claim_version is None:
            refusal = self._acquire_claim(start)
            if refusal is not None:
                self._is_complete = True
                self._entry.cancel_request(self.pool, self)
                yield from refusal
                return
        self._current_attempt = start.attempt
        self._response = None
        self._last_receive = (-1, self._entry.clock.now())
        try:
            response = self._send_attempt(start)
            self._entry.record_rate_limit(
                start, response.rate_limit, is_success=response.status < 500
            )
            if self._stream and response.status == 200:
                yield from self._relay_stream(response, start)
            elif self.is_streaming:
                response.close()
                raise UpstreamError(
                    Failure.BROKEN, f"status {response.status} after the stream began"
                )
            else:
                yield from self._relay_complete_response(response, start)
        except UpstreamError as error:
            if self._current_attempt == start.attempt:
                self._check_held_up(error)
                self._current_attempt = None
                self._entry.fail_attempt(self.pool, start, error)
            if self._is_relaying:
                self._settle_claim_without_response(Outcome.UNKNOWN)
                assert self.connection is not None
                raise self.connection.abort("broken") from error

    def _check_held_up(self, error: UpstreamError) -> None:
        """
        Raise ``CallerClosed`` if the caller has held up a response that broke off.

        An upstream cuts off a response that stays unread: no failure of its own.
        """
        connection = self.connection
        if (
            error.failure is Failure.BROKEN
            and (self.is_streaming or self._is_relaying)
            and connection is not None
            and connection.was_held_up
        ):
            self._settle_claim_without_response(Outcome.UNKNOWN)
            raise connection.abort("cut-off") from error

    def _hold_response(self, size: int) -> bool:
        """Charge the bytes held of the response; returns whether they may be held."""
        return self.connection is None or self.connection.holding.hold(
            HeldKind.RESPONSE, size
        )

    def _send_attempt(self, start: Start) -> UpstreamResponse:
        """
        Send an attempt and return its response.

        When the caller has received a part of the response already, a replica that also
        made the previous attempt is asked to resume it. Any other replica, and one that
        refuses to resume, continues the response after the text sent so far.
        """
        member = self._entry.get_member(start.replica)
        if member is None:
            raise UpstreamError(Failure.NOT_SENT, "the replica has no known address")
        address = member.address
        self._upstream_start = (address, member.incarnation)
        upstream_request = msgspec.structs.replace(
            self._upstream_request, attempt=start.attempt
        )
        previous, self._last_start = self._last_start, start
        received_count = self.request.generated_tokens - self._tokens_before_attempt
        self._tokens_before_attempt = self.request.generated_tokens
        if self.request.generated_tokens and self._document is not None:
            upstream = self.pool.upstream
            if previous is not None and previous.replica == start.replica:
                assert isinstance(upstream, EngineUpstream)
                try:
                    return upstream.resume_stream(
                        address,
                        upstream_request,
                        original_attempt=previous.attempt,
                        event_count=received_count,
                        on_connect=self._set_upstream_socket,
                    )
                except UpstreamError as error:
                    if error.failure is not Failure.REFUSED:
                        raise
            upstream_request = msgspec.structs.replace(
                upstream_request, body=self._make_continuation_body()
            )
        return self.pool.upstream.send_attempt(
            address, upstream_request, on_connect=self._set_upstream_socket
        )

    def _set_upstream_socket(self, connection: socket.socket) -> None:
        self._upstream_socket = connection

    def _relay_stream(
        self, response: UpstreamResponse, start: Start
    ) -> Iterator[ResponsePart]:
        """Relay the complete events of a stream as they arrive."""
        response.disable_read_timeout()
        self._response = response
        if not self.is_streaming:
            self.is_streaming = True
            yield ResponseHead(
                status=200,
                headers=select_end_to_end_headers(response),
                is_complete=False,
            )
        buffer = EventBuffer(delimiters=(EVENT_END,))
        is_done = False
        record_events = self.pool.dispatcher.record_events
        while chunk := response.read_chunk():
            if self._current_attempt != start.attempt:
                # Data still buffered when the attempt was cancelled is dropped: its
                # events were not counted, so the next attempt generates them again.
                raise UpstreamError(Failure.BROKEN, "the attempt was cancelled")
            events = buffer.feed(chunk)
            if len(buffer) > MAX_EVENT_BYTES:
                response.close()
                raise UpstreamError(Failure.BROKEN, "an event is too long")
            # The buffer grows ahead of what it holds and keeps its size after an event.
            if not self._hold_response(
                RESPONSE_BUFFER_BYTES
                + 2 * len(buffer)
                + 3 * len(events)
                + self._sent_bytes
                + len(self._sent_text)
            ):
                response.close()
                assert self.connection is not None
                raise self.connection.abort("memory")
            if not events:
                continue
            if not _are_events(events):
                response.close()
                raise UpstreamError(Failure.BROKEN, "data that are no events")
            is_done = events.endswith(DONE_EVENT)
            event_count = events.count(EVENT_END) - is_done
            self._record_sent_events(events)
            if self.request.generated_tokens == 0:
                self._entry.record_first_event(self)
            record_events(start.attempt, event_count=event_count)
            if is_done:
                self._complete_attempt(start, is_successful=True)
            yield events
        if not is_done:
            raise UpstreamError(
                Failure.BROKEN, "the stream ended before its final event"
            )

    def _relay_complete_response(
        self, response: UpstreamResponse, start: Start
    ) -> Iterator[ResponsePart]:
        """
        Read a response completely, record it in the claim and relay it.

        If memory is limited, a body above a threshold is relayed as it arrives.
        """
        if self.connection is None:
            body = response.read_body(limit=self._entry.settings.limits.answer_bytes)
        else:
            buffer = BodyBuffer()
            if not self._read_body(response, buffer):
                yield from self._relay_large_response(response, start, buffer)
                return
            body = buffer.take()
        self._check_unframed_end(response)
        self.pool.dispatcher.record_events(start.attempt, event_count=1)
        headers = [
            *select_end_to_end_headers(response),
            ("Content-Length", str(len(body))),
        ]
        self._record_response(response, body)
        self._complete_attempt(start, is_successful=response.status < 400)
        yield ResponseHead(status=response.status, headers=headers, is_complete=True)
        yield body

    def _read_body(self, response: UpstreamResponse, buffer: BodyBuffer) -> bool:
        """
        Read a body up to the threshold; returns whether it is complete.

        Raises
        ------
        CallerClosed
            When there is no memory for it.
        """
        assert self.connection is not None
        while data := response.read_chunk():
            buffer.add(data)
            if not self._hold_response(RESPONSE_BUFFER_BYTES + buffer.size):
                response.close()
                self._settle_claim_without_response(Outcome.UNKNOWN)
                raise self.connection.abort("memory")
            if buffer.size > self._entry.memory.relay_threshold:
                return False
        return True

    def _relay_large_response(
        self, response: UpstreamResponse, start: Start, buffer: BodyBuffer
    ) -> Iterator[ResponsePart]:
        """
        Relay a response as fast as its caller reads, and record its end in the claim.

        It can't be retried any more once its head has been sent.
        """
        length = response.get_header("Content-Length")
        headers = select_end_to_end_headers(response)
        if length:
            headers.append(("Content-Length", length))
        limit = self._entry.settings.limits.answer_bytes
        if length.isdecimal() and int(length) > limit:
            response.close()
            raise UpstreamError(
                Failure.BROKEN, f"the response is longer than {limit} bytes"
            )
        self._is_relaying = True
        # The response begins, as far as the check for a disconnect is concerned.
        self.caller_socket = None
        self.pool.dispatcher.record_events(start.attempt, event_count=1)
        size = buffer.size
        try:
            yield ResponseHead(
                status=response.status, headers=headers, is_complete=False
            )
            yield buffer.take()
            while data := response.read_chunk():
                size += len(data)
                if size > limit:
                    response.close()
                    raise UpstreamError(
                        Failure.BROKEN, f"the response is longer than {limit} bytes"
                    )
                # The first part was sent when the next one is asked for.
                self._hold_response(RESPONSE_BUFFER_BYTES)
                yield data
        except GeneratorExit:
            # The caller has left; its order must not run again.
            self._settle_claim_without_response(Outcome.UNKNOWN)
            raise
        self._check_unframed_end(response)
        self._record_response(response, None)
        self._complete_attempt(start, is_successful=response.status < 400)

    def _check_unframed_end(self, response: UpstreamResponse) -> None:
        """Raise ``UpstreamError`` unless a response is shown to be complete."""
        assert self._upstream_start is not None
        address, incarnation = self._upstream_start
        self.pool.upstream.check_unframed_end(
            address, response, incarnation=incarnation
        )

    def _complete_attempt(self, start: Start, *, is_successful: bool) -> None:
        self._is_complete = True
        self._current_attempt = None
        self._entry.complete_attempt(self.pool, start, is_successful=is_successful)

    def _acquire_claim(self, start: Start) -> list[ResponsePart] | None:
        """
        Acquire the claim of the idempotency key for an attempt.

        Returns ``None`` when this exchange holds the claim, otherwise the response to
        the caller.
        """
        assert self.claim is not None
        self.claim = msgspec.structs.replace(self.claim, attempt=start.attempt)
        result = self._entry.run_protocol(acquire(self.claim))
        if isinstance(result, ClaimAcquired):
            self._claim_version = result.version
            return None
        if isinstance(result, ClaimUnconfirmed):
            if result.maybe_written:
                self._entry.claims.abandon_claim(self.claim)
            return [make_store_unavailable_problem()]
        if isinstance(result, BodyMismatch):
            return [make_body_mismatch_problem()]
        assert isinstance(result, ClaimHeld)
        return make_replayed_response(result.claim)

    def _record_response(self, response: UpstreamResponse, body: bytes | None) -> None:
        """Record a response in the claim, ``None`` for a body that isn't kept."""
        if self.claim is None or self._claim_version is None:
            return
        recorded = RecordedResponse(
            status=response.status,
            content_type=response.get_header("Content-Type"),
            body=body if body is not None and len(body) <= MAX_KEPT_ANSWER else None,
        )
        self._settle_claim(ClaimState.ANSWERED, recorded)

    def _settle_claim_without_response(self, outcome: Outcome) -> None:
        """
        Settle an acquired claim of a request that has no response.

        The claim is released when the request was not executed, and failed when it may
        have been.
        """
        if self._claim_version is not None:
            not_executed = outcome is Outcome.NOT_RUN
            self._settle_claim(
                ClaimState.RELEASED if not_executed else ClaimState.FAILED, None
            )

    def _settle_claim(
        self, state: ClaimState, response: RecordedResponse | None
    ) -> None:
        assert self.claim is not None and self._claim_version is not None
        settled = msgspec.structs.replace(self.claim, state=state, answer=response)
        self._entry.claims.settle_claim(settled, version=self._claim_version)

    def _record_sent_events(self, events: bytes) -> None:
        """
        Keep events sent to the caller, for continuing the stream elsewhere.

        Where memory is limited, a long stream isn't kept.
        """
        if not self._is_continuable:
            return
        self._sent_events.append(events)
        self._sent_bytes += len(events)
        if self._sent_bytes > MAX_RAW_BYTES:
            self._compact_sent_events()

    def _compact_sent_events(self) -> None:
        """Replace the kept events by their generated text, which takes less memory."""
        self._sent_text += extract_text(b"".join(self._sent_events))
        self._sent_events = []
        self._sent_bytes = 0
        if self.connection is not None and len(self._sent_text) > MAX_KEPT_TEXT:
            self._is_continuable = False
            self._sent_text = ""

    def _make_continuation_body(self) -> bytes:
        """Return the body that asks a replica for the rest of the response."""
        assert self._document is not None
        self._compact_sent_events()
        if not self._is_continuable:
            raise UpstreamError(Failure.NOT_SENT, "the stream is too long to continue")
        document = dict(self._document)
        if isinstance(document.get("max_tokens"), int):
            document["max_tokens"] = max(
                1, document["max_tokens"] - self.request.generated_tokens
            )
        try:
            return build_continuation_body(document, self._sent_text)
        except RecursionError as error:
            # The decoder, which has more of the stack left, accepts somewhat more.
            raise UpstreamError(
                Failure.NOT_SENT, "the request nests too deeply to be continued"
            ) from error


def _are_events(data: bytes) -> bool:
    """Return whether complete blocks of a stream are server-sent events."""
    blocks = data.removesuffix(EVENT_END).split(EVENT_END)
    return all(block.startswith(EVENT_FIELDS) for block in blocks)
