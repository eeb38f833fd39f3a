"""
Response relay
==============

Passes a replica's response on to the caller: complete, as it arrives, or event by
event.

Where the memory for callers is limited, a response that exceeds a threshold is relayed
as it arrives: the replica is read no faster than the caller reads.  A response that
breaks after its caller has held it up is blamed on the caller, since a replica cuts off
what stays unread.
"""

from collections import deque
from collections.abc import Callable

from damasklead.failures import Failure
from damasklead.gateway.callers import CallerClosed, CallerConnection
from damasklead.gateway.calls import Call, ResponseHead, UpstreamRecord
from damasklead.gateway.context import GatewayContext
from damasklead.gateway.events import EventSplitter
from damasklead.gateway.routing import RouteKind
from damasklead.gateway.stream_order import StreamOrder
from damasklead.gateway.stream_progress import StreamProgress
from damasklead.gateway.upstream_http import Connection, SendError
from damasklead.memory_budget import HeldKind
from damasklead.turns import TurnBudget
from damasklead.unframed_ends import EndDoubt, find_end_doubt

__all__ = ["ResponseDroppedError", "ResponseRelay", "UnprovenEndError"]

# Status of a replica that resumes a stream.
RESUMED_STREAM_STATUS = 200
# Longest body of a response that is not streamed.
MAX_BODY_BYTES = 16_777_216
# Bytes of a stream that are split into events at once.
MAX_SPLIT_BYTES = 4_096
# Bytes of a relayed response that are received and sent at once, and the charge for the
# buffers of the connection to the replica, of both parsers and of the send.
PIECE_BYTES = 16_384
RELAY_BYTES = 3 * PIECE_BYTES
# A response that its caller has held up for this long may have been cut off for that.
# Replicas cut off after some seconds, and healthy callers hold up for less.
HELD_UP_SECONDS = 1.0
# A replica may measure the time that it was given a little shorter.
DEADLINE_MARGIN_SECONDS = 0.05


class UnprovenEndError(SendError):
    """
    The end of a connection isn't shown to be the end of a response.

    Attributes
    ----------
    doubt : EndDoubt
    """

    def __init__(self, doubt: EndDoubt) -> None:
        super().__init__(Failure.BROKEN, f"the end proves nothing: {doubt.value}")
        self.doubt = doubt

    @property
    def is_of_replica(self) -> bool:
        """Whether the replica may have crashed."""
        return self.doubt in (EndDoubt.NO_REPORT, EndDoubt.OTHER_START)


class ResponseDroppedError(Exception):
    """There is no memory for a response; no failure of its replica."""


class ResponseRelay:
    """
    Relays the responses to one request.

    Parameters
    ----------
    context : GatewayContext
    call : Call
    caller : CallerConnection
        Connection on which the response is sent.
    may_repeat : callable
        Returns whether another attempt would follow if the present one failed.
    on_execution : callable
        Called when the response shows that the replica has executed the request.
    on_first_event : callable
        Called with the head of the response before the first event is sent.
    on_response : callable
        Called before the first bytes of a response are sent to the caller.
    on_events : callable
        Called before events are sent.
    on_stall : callable
        Called when no event has arrived for some time; may raise ``SendError`` to end
        the attempt.
    get_stall_timeout : callable
        Returns this time in seconds, ``None`` for no such calls.

    Attributes
    ----------
    status : int
        HTTP status that was sent to the caller; 0 before.
    is_signed : bool
        Whether the response that was sent has the signature of its replica.
    event_count : int
        Events of a stream that were sent to the caller.
    first_byte_seconds : float
        Seconds from the request's arrival to the first byte of the response.
    is_body_pending : bool
        Whether a body is being read before anything was sent to the caller.
    is_failure_relayed : bool
        Whether the response is a failure of its replica, relayed since no other attempt
        can follow.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        call: Call,
        caller: CallerConnection,
        may_repeat: Callable[[], bool],
        on_execution: Callable[[], None],
        on_first_event: Callable[[ResponseHead], None],
        on_response: Callable[[], None],
        on_events: Callable[[], None],
        on_stall: Callable[[], None],
        get_stall_timeout: Callable[[], float | None],
    ) -> None:
        self._context = context
        self._call = call
        self._caller = caller
        self._may_repeat = may_repeat
        self._on_execution = on_execution
        self._on_first_event = on_first_event
        self._on_response = on_response
        self._on_events = on_events
        self._on_stall = on_stall
        self._get_stall_timeout = get_stall_timeout
        self._order = StreamOrder(resumed_after=call.head.last_event)
        self._error_response: tuple[ResponseHead, bytes] | None = None
        # Whether the caller has recently held up the response of the present attempt,
        # its waits until the last read, and how long the replica was waited for since.
        self._is_held_up = False
        self._waited_at_read = 0.0
        self._replica_seconds = 0.0
        self.status = 0
        self.is_signed = False
        self.event_count = 0
        self.first_byte_seconds = 0.0
        self.is_body_pending = False
        self.is_failure_relayed = False

    @property
    def last_event_id(self) -> bytes | None:
        """Id of the last event that was sent to the caller and carried one."""
        return self._order.last_id

    def relay(
        self, upstream: Connection, reply: ResponseHead, record: UpstreamRecord
    ) -> None:
        """
        Relay a response to its end.

        Raises
        ------
        SendError
            When the response is not complete or not valid.
        CallerClosed
            When the replica ended the connection after the caller had held the
            response up.
        ResponseDroppedError
            When there is no memory for it.
        """
        if self._caller.head_sent and reply.status != RESUMED_STREAM_STATUS:
            raise SendError(
                Failure.BROKEN, f"status {reply.status} after the stream began"
            )
        is_complete = self._call.route.kind is not RouteKind.STREAM
        self._is_held_up = False
        self._waited_at_read = self._caller.waited_seconds
        try:
            if is_complete or not 200 <= reply.status < 300:
                self._relay_complete(upstream, reply, record)
            else:
                self._relay_stream(upstream, reply, record)
        except SendError as error:
            is_end = error.failure is Failure.BROKEN and upstream.has_ended
            if not is_end or not self._is_held_up:
                raise
            raise CallerClosed("cut-off") from error

    def send_error_response(self) -> bool:
        """
        Send the error response of an earlier attempt; returns whether there is one.
        """
        if self._error_response is None or self._caller.head_sent:
            return False
        self._send_response(*self._error_response)
        return True

    def _read_data(self, upstream: Connection, *, max_bytes: int) -> bytes:
        """
        Return the next bytes of a response that is passed on as it arrives.

        What was queued before a replica cut off the response arrives afterwards without
        a pause, however late it is read.  So the response counts as held up until the
        replica has been waited for, and has sent data, for as long as the caller.
        """
        clock, waited_seconds = self._context.clock, self._caller.waited_seconds
        if waited_seconds - self._waited_at_read >= HELD_UP_SECONDS:
            self._is_held_up = True
            self._replica_seconds = 0.0
        self._waited_at_read = waited_seconds
        started_at = clock.now()
        try:
            data = upstream.read_body_data(max_bytes=max_bytes)
        finally:
            self._replica_seconds += clock.now() - started_at
        if self._replica_seconds >= HELD_UP_SECONDS:
            self._is_held_up = False
        return data

    def _check_unframed_end(self, upstream: Connection, record: UpstreamRecord) -> None:
        """
        Raise ``SendError`` if the end of the connection, which delimits the response,
        isn't shown to be the end of the response.

        ``ConnectionLimitError`` if that can't be found out.
        """
        if not upstream.is_unframed:
            return
        context = self._context
        incarnation = upstream.incarnation or record.incarnation
        self.is_body_pending = False  # the response has ended
        # Makes room for the connection of the probe if the pool is full.
        upstream.close()
        last_moment = self._call.deadline - DEADLINE_MARGIN_SECONDS
        is_late = context.clock.now() >= last_moment
        result = (
            None
            if upstream.is_tunnel
            else context.probe.check(record, sent_at=upstream.sent_at)
        )
        doubt = find_end_doubt(
            is_tunnel=upstream.is_tunnel,
            incarnation=incarnation,
            reported=None if result is None else result.incarnation,
            is_same_process=result is not None and result.is_same_process,
            is_late=is_late,
            is_interrupted=upstream.is_interrupted or self._is_held_up,
        )
        context.on_unframed_end(doubt)
        context.journal.event(
            "unframed-end",
            request=self._call.id,
            replica=record.instance,
            incarnation=incarnation,
            doubt="" if doubt is None else doubt.value,
            liveness="" if result is None else result.liveness.value,
            way="" if result is None else result.way.value,
            reported=0 if result is None else result.incarnation or 0,
            isolated=context.is_isolated(),
            held_up=self._is_held_up,
            events=self.event_count,
        )
        if result is not None and result.has_unnamed_start:
            context.probe.record_unreported_end(record)
        if doubt is None:
            return
        if doubt is not EndDoubt.INTERRUPTED:
            # It is no cut-off of what the caller held up.
            self._is_held_up = False
        raise UnprovenEndError(doubt)

    def _relay_complete(
        self, upstream: Connection, reply: ResponseHead, record: UpstreamRecord
    ) -> None:
        self._on_execution()
        self.is_body_pending = True
        if self._caller.is_limited:
            pieces, is_whole = self._read_start(upstream)
            if not is_whole:
                self._relay_long(upstream, reply, record, pieces)
                return
            body = b"".join(pieces)
            pieces.clear()
        else:
            body = upstream.read_body(
                limit=MAX_BODY_BYTES, memory=self._context.response_memory
            )
        self._check_unframed_end(upstream, record)
        self.is_body_pending = False
        if reply.status >= 500 and self._call.route.may_repeat:
            self._error_response = (reply, body)
            raise SendError(Failure.BROKEN, f"status {reply.status}")
        self._send_response(reply, body)

    def _read_start(self, upstream: Connection) -> tuple[deque[bytearray], bool]:
        """
        Read a body until its end or the threshold for relaying.

        Returns
        -------
        tuple
            What was read, in pieces of ``PIECE_BYTES``, and whether it is the whole
            body.
        """
        threshold = self._context.account.relay_threshold
        if (upstream.body_length or 0) > threshold:
            threshold = PIECE_BYTES  # it will be relayed in any case
        pieces: deque[bytearray] = deque()
        size = 0
        while data := upstream.read_body_data():
            _append_data(pieces, data)
            size += len(data)
            if not self._caller.holding.hold(HeldKind.RESPONSE, size):
                raise ResponseDroppedError("no memory for the response")
            if size > threshold:
                return pieces, False
        return pieces, True

    def _relay_long(
        self,
        upstream: Connection,
        reply: ResponseHead,
        record: UpstreamRecord,
        pieces: deque[bytearray],
    ) -> None:
        """Relay a response as it arrives, after the pieces of its start were read."""
        length = upstream.body_length
        if length is not None and length > MAX_BODY_BYTES:
            raise SendError(Failure.BROKEN, f"body of {length} bytes is too long")
        if reply.status >= 500 and self._call.route.may_repeat:
            if self._may_repeat():
                raise SendError(Failure.BROKEN, f"status {reply.status}")
            self.is_failure_relayed = True
        size = unsent_bytes = sum(len(piece) for piece in pieces)
        self._reserve_relay(unsent_bytes)
        upstream.limit_receive(PIECE_BYTES)
        headers = list(reply.headers)
        if length is not None:
            headers.append((b"Content-Length", b"%d" % length))
        self._record_start(reply)
        self._caller.start_response(reply.status, headers, b"")
        while pieces:
            piece = bytes(pieces.popleft())
            self._send_piece(piece)
            unsent_bytes -= len(piece)
            self._reserve_relay(unsent_bytes)
        while data := self._read_data(upstream, max_bytes=PIECE_BYTES):
            size += len(data)
            if size > MAX_BODY_BYTES:
                raise SendError(Failure.BROKEN, f"body of {size} bytes is too long")
            self._send_piece(data)
        self._check_unframed_end(upstream, record)
        self.is_body_pending = False
        self._caller.end_response()

    def _reserve_relay(self, unsent_bytes: int = 0) -> None:
        """Charge the buffers of a relay, and what was read before it and not sent."""
        if not self._caller.holding.hold(HeldKind.RESPONSE, RELAY_BYTES + unsent_bytes):
            raise ResponseDroppedError("no memory to relay the response")

    def _send_piece(self, data: bytes) -> None:
        self.is_body_pending = False
        self._caller.send_body_data(data)
        self.is_body_pending = self._caller.longest_wait_seconds < HELD_UP_SECONDS

    def _send_response(self, reply: ResponseHead, body: bytes) -> None:
        self._record_start(reply)
        self._caller.send_response(reply.status, reply.headers, body)

    def _relay_stream(
        self, upstream: Connection, reply: ResponseHead, record: UpstreamRecord
    ) -> None:
        splitter = EventSplitter()
        is_continuation = self._caller.head_sent
        self._order.begin_part(is_continuation=is_continuation)
        progress = StreamProgress(
            clock=self._context.clock, event_timeout=self._call.stream_idle_timeout
        )
        held_bytes = 0
        if self._caller.is_limited:
            self._reserve_relay()
            upstream.limit_receive(PIECE_BYTES)
            held_bytes = RELAY_BYTES
        turn = TurnBudget()
        while data := self._read_stream_data(upstream):
            complete_events = splitter.feed(data)
            turn.spend(size=len(data), pieces=splitter.block_count)
            if held_bytes:
                held_bytes = self._hold_events(
                    held_bytes, splitter.buffered_bytes + len(complete_events)
                )
            progress.record_data(
                events=bool(complete_events), buffered_bytes=splitter.buffered_bytes
            )
            if not complete_events:
                self._check_stall(progress)
                continue
            if splitter.has_events:
                self._on_execution()
            self._order.check(splitter.new_ids)
            self._order.record(
                splitter.new_ids, has_contiguous_ids=splitter.has_contiguous_ids
            )
            if not self.event_count:
                self._on_first_event(reply)
            self._on_events()
            waited_before = self._caller.waited_seconds
            self._send_events(reply, complete_events)
            progress.record_pause(self._caller.waited_seconds - waited_before)
            self.event_count += splitter.take_event_count()
        if splitter.has_partial_event:
            raise SendError(Failure.BROKEN, "the stream ended within an event")
        if not splitter.has_events and (upstream.is_unframed or is_continuation):
            raise SendError(Failure.BROKEN, "the stream ended before its first event")
        self._check_unframed_end(upstream, record)
        if not self._caller.head_sent:
            self._send_events(reply, b"")
        self._caller.end_response()

    def _read_stream_data(self, upstream: Connection) -> bytes:
        """Return the next bytes of a stream, however long its replica is silent."""
        while True:
            upstream.set_read_timeout(self._get_stall_timeout())
            try:
                return self._read_data(upstream, max_bytes=MAX_SPLIT_BYTES)
            except SendError as error:
                if error.failure is not Failure.TIMED_OUT:
                    raise
                self._on_stall()

    def _check_stall(self, progress: StreamProgress) -> None:
        timeout = self._get_stall_timeout()
        if timeout is not None and progress.stalled_seconds >= timeout:
            self._on_stall()

    def check_first_event(self, first_id: bytes | None) -> None:
        """
        Raise ``SendError`` unless the first event of a resumed stream, with this id,
        follows the last one that the caller has.
        """
        self._order.check_first(first_id)

    def _hold_events(self, held_bytes: int, size: int) -> int:
        """
        Charge the events of a stream that are longer than the buffers of the relay.

        Returns the bytes that are charged then.
        """
        needed_bytes = RELAY_BYTES + max(0, size - PIECE_BYTES)
        if needed_bytes != held_bytes and not self._caller.holding.hold(
            HeldKind.RESPONSE, needed_bytes
        ):
            raise ResponseDroppedError("no memory for an event")
        return needed_bytes

    def _send_events(self, reply: ResponseHead, data: bytes) -> None:
        # The framing of a long event would copy all of it.
        is_cut = self._caller.is_limited and len(data) > PIECE_BYTES
        first = data[:PIECE_BYTES] if is_cut else data
        if self._caller.head_sent:
            self._caller.send_body_data(first)
        else:
            self._record_start(reply)
            self._caller.start_response(reply.status, reply.headers, first)
        if is_cut:
            for start in range(PIECE_BYTES, len(data), PIECE_BYTES):
                self._caller.send_body_data(data[start : start + PIECE_BYTES])

    def _record_start(self, reply: ResponseHead) -> None:
        self._on_response()
        self.status = reply.status
        self.is_signed = reply.signed
        self.first_byte_seconds = self._context.clock.now() - self._call.arrival


def _append_data(pieces: deque[bytearray], data: bytes) -> None:
    """
    Append data to pieces of ``PIECE_BYTES``, of which only the last is shorter.

    A response in tiny chunks would otherwise become as many objects.
    """
    unread = memoryview(data)
    while unread:
        if not pieces or len(pieces[-1]) == PIECE_BYTES:
            pieces.append(bytearray())
        room_bytes = PIECE_BYTES - len(pieces[-1])
        pieces[-1] += unread[:room_bytes]
        unread = unread[room_bytes:]
