"""
Attempts
========

The attempts of one request at replicas, one after the other, and the relay of the
answer to its caller.
"""

import gevent

from damasklead.failures import Failure
from damasklead.gateway.assigning import Assigner
from damasklead.gateway.callers import CallerConnection
from damasklead.gateway.calls import Call, ReplyHead, ReplyKind, UpstreamRecord
from damasklead.gateway.dialect import SendPlan
from damasklead.gateway.events import EventSplitter
from damasklead.gateway.placements import Placement
from damasklead.gateway.refusals import Reason, Refusal, reason_for
from damasklead.gateway.routing import RouteKind
from damasklead.gateway.runparts import GatewayContext
from damasklead.gateway.streamprogress import StreamProgress
from damasklead.gateway.upstream_http import (
    Connection,
    SendError,
)
from damasklead.ids import InstanceId
from damasklead.util import stable_hash

__all__ = ["ProxiedRequest"]

# A request that surely did not run may be offered to so many replicas.
MAX_REPLICA_ATTEMPTS = 4
# Answers to other requests that are passed over on one connection.
MAX_STRAY_ANSWERS = 3
# Longest body of an answer that is not a stream.
ANSWER_BYTES = 16_777_216
# Part of a caller's patience for the next event after which a stream that may be
# resumed moves to another replica.
RESUME_PATIENCE_SHARE = 0.5
# A request that may be repeated moves on when its replica is silent for so many
# targets, and not before the least time.
SILENT_TARGETS = 2.5
LEAST_SILENT_SECONDS = 0.25
# Sent when no replica is known or all are full, in seconds.
RETRY_AFTER_SECONDS = 0.4
# Sent with a request that crashes replicas, in seconds: operators have to look at it.
QUARANTINED_RETRY_SECONDS = 60.0
# Callers come back so much after the end of a pause, at most, so as not to collide.
PAUSE_SPREAD_SECONDS = 0.5


class ProxiedRequest:
    """
    One request's way through replicas.

    Parameters
    ----------
    context : GatewayContext
    call : Call
    placement : Placement
    caller : CallerConnection

    Attributes
    ----------
    replica : InstanceId
        The last replica that the request was offered to; empty before.
    status : int
        The status that the caller got.
    offers : int
        Replicas that the request was offered to.
    events : int
        Events of a stream that the caller got.
    first_after : float
        Seconds from arrival to the first byte of the answer.
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
        self._assigner = Assigner(asker=context.asker, placement=placement, call=call)
        self._excluded: set[InstanceId] = set()
        self._runs = 0
        self._sent = False
        self._begun = False
        self._last_event: bytes | None = None
        self._failed_answer: tuple[ReplyHead, bytes] | None = None
        self.replica = InstanceId("")
        self.status = 0
        self.offers = 0
        self.events = 0
        self.first_after = 0.0

    @property
    def may_have_run(self) -> bool:
        """Whether a replica may have run the request."""
        return self._sent or self._runs > 0

    def forward(self) -> Refusal | None:
        """
        Offer the request to replicas until one has answered.

        Returns
        -------
        Refusal or None
            ``None`` when the caller has a replica's whole answer.
        """
        if self._context.containment.refuses(self._call):
            return Refusal(
                reason=Reason.QUARANTINED,
                detail="crashes replicas",
                retry_after=QUARANTINED_RETRY_SECONDS,
            )
        while True:
            record = self._assigner.choose(
                excluded=self._excluded, first=not self.offers
            )
            if record is None:
                return self._find_none()
            if isinstance(record, Refusal):
                return record
            try:
                if self._connect(record):
                    self._offer(record)
                    return None
            except SendError as error:
                self._note_failure(record, error)
                if not self._may_go_on(error.failure):
                    return self._give_up(reason_for(error.failure), str(error))

    def handle_timeout(self) -> Refusal | None:
        """Return the final answer of a request whose time is over."""
        if not self.may_have_run:
            return Refusal(reason=Reason.TOO_LATE, detail="not sent in time")
        if self._begun:
            # The answer had begun and did not end.
            self._placement.failed(self.replica, self._call, Failure.TIMED_OUT)
        return self._give_up(Reason.TIMED_OUT, "no whole answer in time")

    def close(self) -> None:
        """Close the connection to the replica, which cancels what still runs there."""
        upstream, self._upstream = self._upstream, None
        if upstream is not None:
            upstream.close()
        # Also a request that ended while it was connecting was counted there.
        self._placement.withdrawn(self.replica, self._call)
        self._assigner.leave("withdrawn")

    def _find_none(self) -> Refusal | None:
        """Return the final answer when no replica is left to try."""
        pause = self._placement.pause_left()
        if pause is None:
            return self._give_up(Reason.NO_REPLICA, "no replica is left to try")
        spread = PAUSE_SPREAD_SECONDS * stable_hash(self._call.id) / 2**64
        return self._give_up(
            Reason.REPLICAS_PAUSED, "all replicas pause", retry_after=pause + spread
        )

    def _connect(self, record: UpstreamRecord) -> bool:
        """
        Connect to a replica; returns whether it still takes requests after that.

        Raises
        ------
        SendError
            ``NOT_SENT``
        """
        self.replica = record.instance
        self.offers += 1
        self._upstream = self._context.connections.acquire(record.address)
        if self._placement.accepts(record.instance):
            return True
        self._context.connections.release(self._upstream, keep_alive=None)
        self._upstream = None
        self._assigner.leave("withdrawn")
        return False

    def _offer(self, record: UpstreamRecord) -> None:
        """Send the request to a replica and relay its answer."""
        call = self._call
        upstream = self._upstream
        assert upstream is not None
        self._context.journal.event(
            "offered",
            request=call.id,
            replica=record.instance,
            offer=self.offers,
            **self._placement.explain(record.instance, call),
            **self._assigner.explain(),
        )
        self._placement.sent(record.instance, call)
        headers = self._context.dialect.upstream_headers(
            call,
            SendPlan(
                instance=record.instance,
                seconds_left=call.deadline - self._context.clock.now(),
                urgency=call.urgency,
                resume_after=self._last_event,
                copy_from=self._assigner.source,
            ),
        )
        self._sent = True
        upstream.send_request(
            method=call.head.method,
            target=call.head.target,
            headers=headers,
            body=call.body,
        )
        reply = self._read_reply(upstream, record)
        self._placement.heard(record.instance, reply.load)
        self._note_state(reply, record)
        self._check(reply, record)
        self._relay(upstream, reply)
        self._placement.finished(record.instance, call)
        self._assigner.leave("whole")
        self._context.containment.ended_well(call)
        self._upstream = None
        self._context.connections.release(
            upstream,
            keep_alive=0.0 if reply.closing or reply.leaving else reply.keep_alive,
        )

    def _read_reply(self, upstream: Connection, record: UpstreamRecord) -> ReplyHead:
        """Return the head of our answer, passing over answers to other requests."""
        silence = SendError(Failure.TIMED_OUT, "no answer for long")
        patience = self._patience()
        timer = gevent.Timeout(patience, silence) if patience is not None else None
        if timer is not None:
            timer.start()
        try:
            for _ in range(MAX_STRAY_ANSWERS):
                head = upstream.read_head()
                reply = self._context.dialect.judge_reply(
                    status=head.status_code,
                    headers=[(bytes(n), bytes(v)) for n, v in head.headers.raw_items()],
                    attempt=self._call.id,
                )
                if reply.kind is not ReplyKind.STRAY:
                    return reply
                # It is the same replica that answers another request late.
                self._note_state(reply, record)
                upstream.skip_stray_response()
        finally:
            if timer is not None:
                timer.close()
        raise SendError(Failure.CROSSED, "only other requests' answers came")

    def _patience(self) -> float | None:
        """Return how long a replica may be silent; ``None`` for as long as it takes."""
        route = self._call.route
        if (
            route.kind is not RouteKind.IDEMPOTENT
            or self._runs + 1 >= route.max_attempts
        ):
            return None
        return max(LEAST_SILENT_SECONDS, SILENT_TARGETS * route.target)

    def _note_state(self, reply: ReplyHead, record: UpstreamRecord) -> None:
        """Take in what an answer says of its replica's state."""
        if reply.kind is ReplyKind.MISPLACED:
            self._context.on_replica_left(record, "another replica has the address")
        elif reply.leaving:
            self._context.on_replica_left(record, "its answer says that it leaves")
        if reply.pause is not None:
            granted = self._placement.paused(record.instance, reply.pause)
            self._context.journal.event(
                "replica-paused",
                request=self._call.id,
                replica=record.instance,
                asked=reply.pause,
                seconds=granted,
            )

    def _check(self, reply: ReplyHead, record: UpstreamRecord) -> None:
        """Raise ``SendError`` unless the reply is an answer to the request."""
        if reply.kind is ReplyKind.MISPLACED:
            raise SendError(Failure.REFUSED, "another replica has the address")
        if reply.kind is ReplyKind.REFUSED:
            failure = Failure.REFUSED if reply.pause is None else Failure.PAUSED
            raise SendError(failure, f"status {reply.status}, not run")
        if reply.kind is ReplyKind.INVALID:
            raise SendError(Failure.BROKEN, reply.detail)

    def _relay(self, upstream: Connection, reply: ReplyHead) -> None:
        whole = self._call.route.kind is not RouteKind.STREAM
        if whole or not 200 <= reply.status < 300:
            self._relay_whole(upstream, reply)
        else:
            self._relay_stream(upstream, reply)

    def _relay_whole(self, upstream: Connection, reply: ReplyHead) -> None:
        self._begun = True
        body = upstream.read_body(
            limit=ANSWER_BYTES, memory=self._context.response_memory
        )
        self._begun = False
        if reply.status >= 500 and self._call.route.may_repeat:
            self._failed_answer = (reply, body)
            raise SendError(Failure.BROKEN, f"status {reply.status}")
        self._respond(reply, body)

    def _respond(self, reply: ReplyHead, body: bytes) -> None:
        if self._caller.head_sent:
            raise SendError(Failure.BROKEN, f"status {reply.status} amid a stream")
        self._note_first(reply.status)
        self._caller.send_response(reply.status, reply.headers, body)

    def _relay_stream(self, upstream: Connection, reply: ReplyHead) -> None:
        splitter = EventSplitter()
        progress = StreamProgress(
            clock=self._context.clock, patience=self._event_patience()
        )
        upstream.set_read_timeout(progress.patience)
        while data := upstream.read_body_data():
            whole = splitter.feed(data)
            progress.check(events=bool(whole), buffered_bytes=splitter.buffered_bytes)
            if not whole:
                continue
            if splitter.last_id is not None:
                self._last_event = splitter.last_id
            if not self.events:
                self._assigner.read(reply.load)
            self._placement.progressed(self.replica, self._call)
            self._send_events(reply, whole)
            self.events += splitter.take_event_count()
        if splitter.has_partial_event:
            raise SendError(Failure.BROKEN, "the stream ended amid an event")
        if not self._caller.head_sent:
            self._send_events(reply, b"")
        self._caller.end_response()

    def _event_patience(self) -> float:
        """Return how long a stream may be without a whole event, in seconds."""
        route, patience = self._call.route, self._call.event_patience
        if route.may_repeat and self._runs + 1 < route.max_attempts:
            patience *= RESUME_PATIENCE_SHARE
        return patience

    def _send_events(self, reply: ReplyHead, data: bytes) -> None:
        if self._caller.head_sent:
            self._caller.send_body_data(data)
            return
        self._note_first(reply.status)
        self._caller.start_response(reply.status, reply.headers, data)

    def _note_first(self, status: int) -> None:
        self.status = status
        self.first_after = self._context.clock.now() - self._call.arrival

    def _note_failure(self, record: UpstreamRecord, error: SendError) -> None:
        """Take in that an attempt failed."""
        failure = error.failure
        upstream, self._upstream = self._upstream, None
        if upstream is not None:
            upstream.close()
        self._sent = self._begun = False
        self._placement.failed(record.instance, self._call, failure)
        self._assigner.leave(failure.value)
        self._excluded.add(record.instance)
        if failure is Failure.NOT_SENT:
            self._context.containment.unreachable(record)
        elif failure is Failure.BROKEN:
            self._context.containment.broke(record, self._call)
        if not failure.surely_unrun:
            self._runs += 1
        self._context.journal.event(
            "attempt-failed",
            request=self._call.id,
            replica=record.instance,
            failure=failure.value,
            detail=str(error),
            events=self.events,
            runs=self._runs,
        )

    def _may_go_on(self, failure: Failure) -> bool:
        route = self._call.route
        if failure.surely_unrun:
            if self.offers >= MAX_REPLICA_ATTEMPTS:
                return False
        elif not route.may_repeat or self._runs >= route.max_attempts:
            return False
        if self._context.containment.refuses(self._call):
            return False
        # A refused connection brings no request to a replica.
        return failure is Failure.NOT_SENT or self._context.budget.take(
            self._call.service
        )

    def _give_up(
        self, reason: Reason, detail: str, *, retry_after: float = RETRY_AFTER_SECONDS
    ) -> Refusal | None:
        """
        Return the final answer, or ``None`` after giving the caller the failure that a
        replica answered.
        """
        if self._failed_answer is not None and not self._caller.head_sent:
            reply, body = self._failed_answer
            self._respond(reply, body)
            return None
        if not self.may_have_run:
            return Refusal(reason=reason, detail=detail, retry_after=retry_after)
        if reason is not Reason.TIMED_OUT:
            reason = Reason.UPSTREAM_FAILED
        return Refusal(reason=reason, detail=detail)
