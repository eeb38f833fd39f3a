"""
Response relay
==============

Passes a replica's response on to the caller: complete, or event by event.
"""

from collections.abc import Callable

from damasklead.failures import Failure
from damasklead.gateway.callers import CallerConnection
from damasklead.gateway.calls import Call, ResponseHead, UpstreamRecord
from damasklead.gateway.context import GatewayContext
from damasklead.gateway.events import EventSplitter, continues_after
from damasklead.gateway.replica_probe import Liveness
from damasklead.gateway.routing import RouteKind
from damasklead.gateway.stream_progress import StreamProgress
from damasklead.gateway.upstream_http import Connection, SendError
from damasklead.gateway.verdict import Verdict
from damasklead.turns import TurnBudget

__all__ = ["ResponseRelay"]

# Status of a replica that resumes a stream.
RESUMED_STREAM_STATUS = 200
# Longest body of a response that is not streamed.
MAX_BODY_BYTES = 16_777_216
# Bytes of a stream that are split into events at once.
MAX_SPLIT_BYTES = 4_096


class ResponseRelay:
    """
    Relays the responses to one request.

    Parameters
    ----------
    context : GatewayContext
    call : Call
    caller : CallerConnection
        Connection on which the response is sent.
    verdict : Verdict
        The attempts of the request so far.
    on_first_event : callable
        Called with the head of the response before the first event is sent.
    on_events : callable
        Called before events are sent.

    Attributes
    ----------
    status : int
        HTTP status that was sent to the caller; 0 before.
    event_count : int
        Events of a stream that were sent to the caller.
    first_byte_seconds : float
        Seconds from the request's arrival to the first byte of the response.
    last_event_id : bytes or None
        Id of the last event that was sent to the caller.
    is_body_pending : bool
        Whether a body is being read before anything was sent to the caller.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        call: Call,
        caller: CallerConnection,
        verdict: Verdict,
        on_first_event: Callable[[ResponseHead], None],
        on_events: Callable[[], None],
    ) -> None:
        self._context = context
        self._call = call
        self._caller = caller
        self._verdict = verdict
        self._on_first_event = on_first_event
        self._on_events = on_events
        self._has_contiguous_ids = False
        self._error_response: tuple[ResponseHead, bytes] | None = None
        self.status = 0
        self.event_count = 0
        self.first_byte_seconds = 0.0
        self.last_event_id: bytes | None = None
        self.is_body_pending = False

    def relay(
        self, upstream: Connection, reply: ResponseHead, record: UpstreamRecord
    ) -> None:
        """
        Relay a response to its end.

        Raises
        ------
        SendError
            When the response is not complete or not valid.
        """
        if self._caller.head_sent and reply.status != RESUMED_STREAM_STATUS:
            raise SendError(
                Failure.BROKEN, f"status {reply.status} after the stream began"
            )
        is_buffered = self._call.route.kind is not RouteKind.STREAM
        if is_buffered or not 200 <= reply.status < 300:
            self._relay_buffered(upstream, reply, record)
        else:
            self._relay_stream(upstream, reply, record)

    def send_error_response(self) -> bool:
        """
        Send the error response of an earlier attempt; returns whether there is one.
        """
        if self._error_response is None or self._caller.head_sent:
            return False
        self._send_response(*self._error_response)
        return True

    def _check_unframed_end(self, upstream: Connection, record: UpstreamRecord) -> None:
        """
        Raise ``SendError`` if the end of the connection, which delimits the response,
        was the end of the replica.
        """
        if not upstream.is_unframed:
            return
        if self._context.probe.check(record) is Liveness.REFUSES:
            raise SendError(Failure.BROKEN, "the replica ended with the connection")

    def _relay_buffered(
        self, upstream: Connection, reply: ResponseHead, record: UpstreamRecord
    ) -> None:
        self.is_body_pending = True
        body = upstream.read_body(
            limit=MAX_BODY_BYTES, memory=self._context.response_memory
        )
        self._check_unframed_end(upstream, record)
        self.is_body_pending = False
        if reply.status >= 500 and self._call.route.may_repeat:
            self._error_response = (reply, body)
            raise SendError(Failure.BROKEN, f"status {reply.status}")
        self._send_response(reply, body)

    def _send_response(self, reply: ResponseHead, body: bytes) -> None:
        self._record_start(reply.status)
        self._caller.send_response(reply.status, reply.headers, body)

    def _relay_stream(
        self, upstream: Connection, reply: ResponseHead, record: UpstreamRecord
    ) -> None:
        splitter = EventSplitter()
        is_continuation, is_joined = self._caller.head_sent, False
        progress = StreamProgress(
            clock=self._context.clock, event_timeout=self._verdict.event_timeout
        )
        upstream.set_read_timeout(progress.event_timeout)
        turn = TurnBudget()
        while data := upstream.read_body_data(max_bytes=MAX_SPLIT_BYTES):
            complete_events = splitter.feed(data)
            turn.spend(size=len(data), pieces=splitter.block_count)
            progress.record_data(
                events=bool(complete_events), buffered_bytes=splitter.buffered_bytes
            )
            if not complete_events:
                continue
            if not is_continuation:
                self._has_contiguous_ids = splitter.has_contiguous_ids
            elif splitter.has_events and not is_joined:
                self._check_continuation(splitter)
                is_joined = True
            if splitter.last_id is not None:
                self.last_event_id = splitter.last_id
            if not self.event_count:
                self._on_first_event(reply)
            self._on_events()
            self._send_events(reply, complete_events)
            self.event_count += splitter.take_event_count()
        if splitter.has_partial_event:
            raise SendError(Failure.BROKEN, "the stream ended within an event")
        if not splitter.has_events and (upstream.is_unframed or is_continuation):
            raise SendError(Failure.BROKEN, "the stream ended before its first event")
        self._check_unframed_end(upstream, record)
        if not self._caller.head_sent:
            self._send_events(reply, b"")
        self._caller.end_response()

    def _check_continuation(self, splitter: EventSplitter) -> None:
        """
        Raise ``SendError`` unless the first event of a resumed stream follows the last
        one that was sent to the caller.
        """
        if not continues_after(
            splitter.first_id,
            self.last_event_id,
            contiguous=self._has_contiguous_ids,
        ):
            raise SendError(
                Failure.BROKEN, f"the stream resumes at event {splitter.first_id!r}"
            )

    def _send_events(self, reply: ResponseHead, data: bytes) -> None:
        if self._caller.head_sent:
            self._caller.send_body_data(data)
            return
        self._record_start(reply.status)
        self._caller.start_response(reply.status, reply.headers, data)

    def _record_start(self, status: int) -> None:
        self.status = status
        self.first_byte_seconds = self._context.clock.now() - self._call.arrival
