"""
Proxied request
===============

Forwards one request to replicas, with retries, and relays the response to its caller.
"""

import gevent

from damasklead.failures import Failure
from damasklead.gateway.callers import CallerConnection
from damasklead.gateway.calls import Call, ResponseHead, ResponseKind, UpstreamRecord
from damasklead.gateway.context import GatewayContext
from damasklead.gateway.dialect import SendPlan
from damasklead.gateway.events import EventSplitter, continues_after
from damasklead.gateway.placements import Placement
from damasklead.gateway.refusals import Reason, Refusal, get_refusal_reason
from damasklead.gateway.replica_identity import check_incarnation, identify_replica
from damasklead.gateway.replica_probe import Liveness
from damasklead.gateway.replica_selection import ReplicaSelector
from damasklead.gateway.replica_signals import ReplicaSignals
from damasklead.gateway.routing import RouteKind
from damasklead.gateway.stream_progress import StreamProgress
from damasklead.gateway.upstream_http import (
    Connection,
    SendError,
)
from damasklead.ids import UNKNOWN_VERSION, InstanceId
from damasklead.turns import TurnBudget
from damasklead.util import stable_hash

__all__ = ["ProxiedRequest"]

# Attempts for a request that no replica has executed; a route's ``max_attempts`` bounds
# those that may have been executed.
MAX_REPLICA_ATTEMPTS = 4
# Responses to other requests that are skipped on one connection.
MAX_STRAY_RESPONSES = 3
# Status of a replica that resumes a stream.
RESUMED_STREAM_STATUS = 200
# Longest body of a response that is not streamed.
MAX_BODY_BYTES = 16_777_216
# Bytes of a stream that are split into events at once.
MAX_SPLIT_BYTES = 4_096
# A resumable stream moves to another replica after this fraction of the time that its
# caller waits for the next event.
RESUME_TIMEOUT_FRACTION = 0.5
# An idempotent request is retried when its replica sends no response head within this
# multiple of the route's latency target, but not before the minimum.
RESPONSE_TIMEOUT_TARGETS = 2.5
MIN_RESPONSE_TIMEOUT_SECONDS = 0.25
# Longest part of an event's id in a log line.
MAX_LOGGED_ID_BYTES = 40
# Retry-After when no replica is known or all are full.
RETRY_AFTER_SECONDS = 0.4
# Retry-After for a request that crashes replicas, which operators have to look into.
QUARANTINED_RETRY_AFTER_SECONDS = 60.0
# Largest delay added to Retry-After when all replicas pause, so that callers don't
# retry at the same instant.
RETRY_AFTER_JITTER_SECONDS = 0.5


class ProxiedRequest:
    """
    One request that is forwarded to replicas until one of them has answered it.

    Parameters
    ----------
    context : GatewayContext
        Components that all requests of a gateway share.
    call : Call
        The decoded request with its route and deadline.
    placement : Placement
        The replicas of the request's service.
    caller : CallerConnection
        Connection on which the response is sent.

    Attributes
    ----------
    replica : InstanceId
        Replica of the latest attempt; empty before the first.
    status : int
        HTTP status that was sent to the caller; 0 before.
    attempt_count : int
        Attempts so far, including those that failed to connect.
    event_count : int
        Events of a stream that were sent to the caller.
    first_assignment_seconds : float
        Seconds from the request's arrival until a replica was chosen; 0 before.
    first_byte_seconds : float
        Seconds from the request's arrival to the first byte of the response.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        call: Call,
        placement: Placement,
        caller: CallerConnection,
    ) -> None:
        self._context = context
        self._call = call
        self._placement = placement
        self._caller = caller
        self._upstream: Connection | None = None
        self._selector = ReplicaSelector(
            client=context.assignment_client, placement=placement, call=call
        )
        self._signals = ReplicaSignals(
            context=context, placement=placement, request=call.id
        )
        self._excluded_replicas: set[InstanceId] = set()
        self._possible_executions = 0
        self._request_sent = False
        self._body_pending = False
        self._last_event_id: bytes | None = None
        self._has_contiguous_ids = False
        self._error_response: tuple[ResponseHead, bytes] | None = None
        self._is_execution_recorded = False
        self.replica = InstanceId("")
        self.status = 0
        self.attempt_count = 0
        self.event_count = 0
        self.first_assignment_seconds = 0.0
        self.first_byte_seconds = 0.0

    @property
    def may_have_run(self) -> bool:
        """Whether a replica may have executed the request."""
        return self._request_sent or self._possible_executions > 0

    def forward(self) -> Refusal | None:
        """
        Try replicas until one has answered or no further attempt is allowed.

        Returns
        -------
        Refusal or None
            ``None`` when a replica's complete response was sent to the caller.
        """
        if self._context.containment.should_refuse(self._call):
            return self._refuse_quarantined()
        refusal = self._context.origins.resolve(self._call)
        if refusal is not None:
            return refusal
        while True:
            record = self._selector.select_replica(
                excluded=self._excluded_replicas,
                is_first_attempt=not self.attempt_count,
            )
            if record is None:
                return self._refuse_without_replica()
            if isinstance(record, Refusal):
                return record
            try:
                is_connected = self._connect(record)
                if self._context.containment.should_refuse(self._call):
                    return self._refuse_quarantined()
                if is_connected:
                    self._forward_to(record)
                    return None
            except SendError as error:
                self._record_failure(record, error)
                if not self._may_retry(error.failure):
                    return self._refuse_or_send_error(
                        get_refusal_reason(error.failure), str(error)
                    )

    def handle_timeout(self) -> Refusal | None:
        """Return the refusal of a request whose deadline has passed."""
        if not self.may_have_run:
            return Refusal(reason=Reason.TOO_LATE, detail="not sent in time")
        if self._body_pending:
            # The response body was being read, which counts against the replica.
            self._placement.record_failure(self.replica, self._call, Failure.TIMED_OUT)
        return self._refuse_or_send_error(Reason.TIMED_OUT, "no whole answer in time")

    def close(self) -> None:
        """Close the replica's connection, which cancels a request that runs there."""
        upstream, self._upstream = self._upstream, None
        if upstream is not None:
            upstream.close()
        # A request that ends while it is connecting was already counted there.
        self._placement.record_cancellation(self.replica, self._call)
        self._selector.end_assignment("withdrawn")

    def _refuse_quarantined(self) -> Refusal | None:
        """Return the refusal for a request that crashes replicas."""
        return self._refuse_or_send_error(
            Reason.QUARANTINED,
            "crashes replicas",
            retry_after=QUARANTINED_RETRY_AFTER_SECONDS,
        )

    def _refuse_without_replica(self) -> Refusal | None:
        """Return the refusal for a request that no replica can take."""
        pause = self._placement.get_remaining_pause()
        if pause is None:
            return self._refuse_or_send_error(
                Reason.NO_REPLICA, "no replica is left to try"
            )
        jitter = RETRY_AFTER_JITTER_SECONDS * stable_hash(self._call.id) / 2**64
        return self._refuse_or_send_error(
            Reason.REPLICAS_PAUSED, "all replicas pause", retry_after=pause + jitter
        )

    def _connect(self, record: UpstreamRecord) -> bool:
        """
        Connect to a replica; returns whether it still accepts requests after that.

        Raises
        ------
        SendError
            ``NOT_SENT`` when the connection fails, ``REFUSED`` if the replica hasn't
            the version that the request needs.
        """
        self.replica = record.instance
        self.attempt_count += 1
        if self.attempt_count == 1:
            self.first_assignment_seconds = (
                self._context.clock.now() - self._call.arrival
            )
        self._upstream = self._context.connections.acquire(record.address)
        if self._call.version is not None:
            self._check_version(self._upstream, record)
        elif self._call.is_resumable_stream and self._may_go_on_elsewhere(record):
            self._identify(self._upstream, record)
        if self._selector.may_send_to(record.instance):
            return True
        self._context.connections.release(self._upstream, keep_alive=None)
        self._upstream = None
        self._selector.end_assignment("withdrawn")
        return False

    def _check_version(self, upstream: Connection, record: UpstreamRecord) -> None:
        """
        Raise ``SendError`` unless the replica has the version that the request needs.
        """
        if not self._call.accepts_version(record.version):
            raise SendError(Failure.REFUSED, f"version {record.version!r}")
        if not self._call.accepts_start(record):
            raise SendError(Failure.REFUSED, f"start {record.incarnation}")
        check_incarnation(upstream, record, self._context.dialect)

    def _may_go_on_elsewhere(self, record: UpstreamRecord) -> bool:
        """Return whether another replica might continue a stream of this one."""
        others = len(self._placement.eligible_instances) > 1
        return others and record.version != UNKNOWN_VERSION

    def _identify(self, upstream: Connection, record: UpstreamRecord) -> None:
        """
        Ask the replica for its start, so that its stream can go on elsewhere.

        Raises
        ------
        SendError
            ``NOT_SENT`` when it didn't report, nor accepts another connection.
        """
        try:
            identify_replica(upstream, record, self._context.dialect)
        except SendError as error:
            self._context.journal.event(
                "replica-not-identified",
                request=self._call.id,
                replica=record.instance,
                cause=str(error),
            )
            upstream.close()
            self._upstream = self._context.connections.acquire(record.address)

    def _forward_to(self, record: UpstreamRecord) -> None:
        """Send the request to a replica and relay its response."""
        call = self._call
        upstream = self._upstream
        assert upstream is not None
        self._context.journal.event(
            "offered",
            request=call.id,
            replica=record.instance,
            offer=self.attempt_count,
            version=record.version,
            incarnation=record.incarnation,
            reported=upstream.incarnation or 0,
            after_event=_decode_event_id(self._last_event_id or call.head.last_event),
            resumes=call.head.resumed_attempt or "",
            **self._placement.explain_choice(record.instance, call),
            **self._selector.get_log_fields(),
        )
        self._placement.record_sent(record.instance, call)
        headers = self._context.dialect.build_upstream_headers(
            call,
            SendPlan(
                instance=record.instance,
                seconds_left=call.deadline - self._context.clock.now(),
                urgency=call.urgency,
                resume_after=self._last_event_id,
                copy_from=self._selector.copy_source,
            ),
        )
        self._request_sent = True
        upstream.send_request(
            method=call.head.method,
            target=call.head.target,
            headers=headers,
            body=call.body,
        )
        reply = self._read_response_head(upstream, record)
        self._placement.record_response_head(record.instance, reply.load)
        self._signals.record_head(reply, record)
        self._check_response(reply, record)
        self._relay_response(upstream, reply, record)
        self._placement.record_success(record.instance, call)
        self._selector.end_assignment("whole")
        if 200 <= reply.status < 300:
            self._context.containment.record_success(call)
        self._upstream = None
        self._context.connections.release(
            upstream,
            keep_alive=0.0 if reply.closing or reply.leaving else reply.keep_alive,
        )

    def _read_response_head(
        self, upstream: Connection, record: UpstreamRecord
    ) -> ResponseHead:
        """Return the head of this request's response; skips stray responses."""
        timeout_error = SendError(Failure.TIMED_OUT, "no response within the timeout")
        seconds = self._compute_response_timeout()
        timer = gevent.Timeout(seconds, timeout_error) if seconds is not None else None
        if timer is not None:
            timer.start()
        try:
            for _ in range(MAX_STRAY_RESPONSES):
                head = upstream.read_head()
                reply = self._context.dialect.classify_response(
                    status=head.status_code,
                    headers=[(bytes(n), bytes(v)) for n, v in head.headers.raw_items()],
                    attempt=self._call.id,
                )
                if reply.kind is not ResponseKind.STRAY:
                    _check_attribution(reply, upstream)
                    return reply
                # A late response to another request still shows the replica's state.
                self._signals.record_head(reply, record)
                upstream.skip_stray_response()
        finally:
            if timer is not None:
                timer.close()
        raise SendError(Failure.MISMATCHED, "received only responses to other requests")

    def _compute_response_timeout(self) -> float | None:
        """
        Return the seconds within which a response head is due, or ``None`` if only the
        request's deadline counts: for all but idempotent requests, and for the last
        execution that the route allows.
        """
        route = self._call.route
        if (
            route.kind is not RouteKind.IDEMPOTENT
            or self._possible_executions + 1 >= route.max_attempts
        ):
            return None
        return max(
            MIN_RESPONSE_TIMEOUT_SECONDS, RESPONSE_TIMEOUT_TARGETS * route.target
        )

    def _check_response(self, reply: ResponseHead, record: UpstreamRecord) -> None:
        """Raise ``SendError`` unless the reply is a valid response to the request."""
        if reply.kind is ResponseKind.MISPLACED:
            raise SendError(Failure.REFUSED, "another replica has the address")
        if reply.kind is ResponseKind.REFUSED:
            failure = Failure.REFUSED if reply.retry_after is None else Failure.PAUSED
            raise SendError(failure, f"status {reply.status}, not run")
        if reply.kind is ResponseKind.INVALID:
            if reply.identified:
                # The replica has executed the request, whatever is wrong with the head.
                self._record_execution()
            raise SendError(Failure.BROKEN, reply.detail)

    def _relay_response(
        self, upstream: Connection, reply: ResponseHead, record: UpstreamRecord
    ) -> None:
        if self._caller.head_sent and reply.status != RESUMED_STREAM_STATUS:
            raise SendError(
                Failure.BROKEN, f"status {reply.status} after the stream began"
            )
        is_buffered = self._call.route.kind is not RouteKind.STREAM
        if is_buffered or not 200 <= reply.status < 300:
            self._relay_buffered_response(upstream, reply, record)
        else:
            self._relay_stream(upstream, reply, record)

    def _check_unframed_end(self, upstream: Connection, record: UpstreamRecord) -> None:
        """
        Raise ``SendError`` if the end of the connection, which delimits the response,
        was the end of the replica.
        """
        if not upstream.is_unframed:
            return
        if self._context.probe.check(record) is Liveness.REFUSES:
            raise SendError(Failure.BROKEN, "the replica ended with the connection")

    def _relay_buffered_response(
        self, upstream: Connection, reply: ResponseHead, record: UpstreamRecord
    ) -> None:
        self._record_execution()
        self._body_pending = True
        body = upstream.read_body(
            limit=MAX_BODY_BYTES, memory=self._context.response_memory
        )
        self._check_unframed_end(upstream, record)
        self._body_pending = False
        if reply.status >= 500 and self._call.route.may_repeat:
            self._error_response = (reply, body)
            raise SendError(Failure.BROKEN, f"status {reply.status}")
        self._send_response(reply, body)

    def _send_response(self, reply: ResponseHead, body: bytes) -> None:
        self._record_response_start(reply.status)
        self._caller.send_response(reply.status, reply.headers, body)

    def _relay_stream(
        self, upstream: Connection, reply: ResponseHead, record: UpstreamRecord
    ) -> None:
        splitter = EventSplitter()
        is_continuation, is_joined = self._caller.head_sent, False
        progress = StreamProgress(
            clock=self._context.clock, event_timeout=self._compute_event_timeout()
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
            if splitter.has_events:
                self._record_execution()
            if not is_continuation:
                self._has_contiguous_ids = splitter.has_contiguous_ids
            elif splitter.has_events and not is_joined:
                self._check_continuation(splitter)
                is_joined = True
            if splitter.last_id is not None:
                self._last_event_id = splitter.last_id
            if not self.event_count:
                # What another version writes doesn't fit to the events sent so far.
                self._call.version = self._context.origins.record(
                    self._call, record, incarnation=upstream.incarnation
                )
                self._selector.report_prefill_done(reply.load, reply.rate_limit)
            self._placement.record_stream_event(self.replica, self._call)
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
            self._last_event_id,
            contiguous=self._has_contiguous_ids,
        ):
            raise SendError(
                Failure.BROKEN, f"the stream resumes at event {splitter.first_id!r}"
            )

    def _compute_event_timeout(self) -> float:
        """Return the seconds that a stream may go without a complete event."""
        route, seconds = self._call.route, self._call.stream_idle_timeout
        if route.may_repeat and self._possible_executions + 1 < route.max_attempts:
            seconds *= RESUME_TIMEOUT_FRACTION
        return seconds

    def _send_events(self, reply: ResponseHead, data: bytes) -> None:
        if self._caller.head_sent:
            self._caller.send_body_data(data)
            return
        self._record_response_start(reply.status)
        self._caller.start_response(reply.status, reply.headers, data)

    def _record_execution(self) -> None:
        """
        Count the request when a replica has begun to execute it.

        A stream that the caller takes up was counted when it began.
        """
        if not self._is_execution_recorded and self._call.head.last_event is None:
            self._is_execution_recorded = True
            self._context.on_execution(self._call)

    def _record_response_start(self, status: int) -> None:
        self.status = status
        self.first_byte_seconds = self._context.clock.now() - self._call.arrival

    def _record_failure(self, record: UpstreamRecord, error: SendError) -> None:
        """Close the connection of a failed attempt and record how it failed."""
        failure = error.failure
        upstream, self._upstream = self._upstream, None
        has_ended = upstream is not None and upstream.has_ended
        if upstream is not None:
            upstream.close()
        self._request_sent = self._body_pending = False
        self._placement.record_failure(record.instance, self._call, failure)
        self._selector.end_assignment(failure.value)
        self._excluded_replicas.add(record.instance)
        if failure is Failure.NOT_SENT:
            self._context.containment.record_connection_failure(record)
        elif failure is Failure.BROKEN and has_ended:
            self._context.containment.record_broken_response(
                record, self._call, event_count=self.event_count
            )
            self._context.probe.start(record)
        if not failure.rules_out_execution:
            self._possible_executions += 1
        self._context.journal.event(
            "attempt-failed",
            request=self._call.id,
            replica=record.instance,
            failure=failure.value,
            detail=str(error),
            events=self.event_count,
            runs=self._possible_executions,
            parts=",".join(part.key for part in self._call.head.shared_parts),
            **self._context.budget.get_log_fields(self._call.service),
        )

    def _may_retry(self, failure: Failure) -> bool:
        route = self._call.route
        if failure.rules_out_execution:
            if self.attempt_count >= MAX_REPLICA_ATTEMPTS:
                return False
        elif not route.may_repeat or self._possible_executions >= route.max_attempts:
            return False
        if self._context.containment.should_refuse(self._call):
            return False
        if self._caller.head_sent:
            self._call.version = self._context.origins.find_version(self._call.id)
            if self._call.version == UNKNOWN_VERSION:
                return False
        # A failed connection brings no request to a replica, so the retry after it is
        # not charged to the budget.
        return failure is Failure.NOT_SENT or self._context.budget.acquire_retry(
            self._call.service
        )

    def _refuse_or_send_error(
        self, reason: Reason, detail: str, *, retry_after: float = RETRY_AFTER_SECONDS
    ) -> Refusal | None:
        """
        Send the caller the error response of a replica if there is one and return
        ``None``; otherwise return the refusal.

        A request that a replica may have executed never gets a status which states
        that it was not executed.
        """
        if self._error_response is not None and not self._caller.head_sent:
            reply, body = self._error_response
            self._send_response(reply, body)
            return None
        if not self.may_have_run:
            return Refusal(reason=reason, detail=detail, retry_after=retry_after)
        if reason is not Reason.TIMED_OUT:
            reason = Reason.UPSTREAM_FAILED
        return Refusal(reason=reason, detail=detail)


def _decode_event_id(event_id: bytes | None) -> str:
    """Return an event's id for the log, empty without one."""
    return "" if event_id is None else event_id[:MAX_LOGGED_ID_BYTES].decode("latin-1")


def _check_attribution(reply: ResponseHead, upstream: Connection) -> None:
    """
    Raise ``SendError`` for a refusal that may belong to an earlier request.

    A faulty replica may repeat one on a kept connection while it executes this request.
    """
    is_refusal = reply.kind in (ResponseKind.REFUSED, ResponseKind.MISPLACED)
    if is_refusal and not reply.identified and upstream.is_reused:
        raise SendError(
            Failure.MISMATCHED, f"status {reply.status} may belong to another request"
        )
