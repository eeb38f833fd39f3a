"""
Attempt
=======

Connects to a replica, sends it one request and reads the head of its response.
"""

from collections.abc import Callable

import gevent

from damasklead.failures import Failure
from damasklead.gateway.calls import Call, ResponseHead, ResponseKind, UpstreamRecord
from damasklead.gateway.context import GatewayContext
from damasklead.gateway.dialect import SendPlan
from damasklead.gateway.placements import Placement
from damasklead.gateway.replica_identity import check_incarnation, identify_replica
from damasklead.gateway.replica_selection import ReplicaSelector
from damasklead.gateway.replica_signals import ReplicaSignals
from damasklead.gateway.upstream_http import Connection, SendError
from damasklead.ids import UNKNOWN_VERSION

__all__ = ["Attempt"]

# Responses to other requests that are skipped on one connection.
MAX_STRAY_RESPONSES = 3
# Longest part of an event's id in a log line.
MAX_LOGGED_ID_BYTES = 40


class Attempt:
    """
    One attempt of a request at one replica.

    Parameters
    ----------
    context : GatewayContext
    call : Call
    placement : Placement
        The replicas of the request's service.
    selector : ReplicaSelector
        Has selected the replica.
    record : UpstreamRecord
        The replica.
    number : int
        Number of this attempt; the first is 1.
    last_event_id : bytes or None
        Id of the last event that the caller has received, if the attempt resumes a
        stream.
    on_execution : callable
        Called when the head of the response shows that the replica has executed the
        request although it is not valid.

    Attributes
    ----------
    upstream : Connection or None
        Connection to the replica while there is one.
    record : UpstreamRecord
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        call: Call,
        placement: Placement,
        selector: ReplicaSelector,
        record: UpstreamRecord,
        number: int,
        last_event_id: bytes | None,
        on_execution: Callable[[], None],
    ) -> None:
        self._context = context
        self._call = call
        self._placement = placement
        self._selector = selector
        self._signals = ReplicaSignals(
            context=context, placement=placement, request=call.id
        )
        self._number = number
        self._last_event_id = last_event_id
        self._on_execution = on_execution
        # Whether the replica may have the request, and hasn't rejected it.
        self._may_be_executed = False
        self.upstream: Connection | None = None
        self.record = record

    def connect(self, *, must_report: bool = False) -> bool:
        """
        Connect to the replica; returns whether it still accepts requests after that.

        Parameters
        ----------
        must_report : bool
            Whether the replica has to report on itself now, which shows that it isn't
            silent.

        Raises
        ------
        SendError
            ``NOT_SENT`` when the connection fails, ``REFUSED`` if the replica hasn't
            the version that the request needs, or doesn't report though it has to.
        """
        record = self.record
        self.upstream = self._acquire()
        if must_report:
            self.upstream.incarnation = None
            identify_replica(
                self.upstream,
                record,
                self._context.dialect,
                memory=self._context.report_memory,
            )
        if self._call.version is not None:
            self._check_version(self.upstream)
        elif self._call.is_resumable_stream and self._may_go_on_elsewhere():
            self._identify(self.upstream)
        if self._selector.may_send_to(record.instance):
            return True
        self._context.connections.release(self.upstream, keep_alive=None)
        self.upstream = None
        self._selector.end_assignment("withdrawn")
        return False

    def send(self) -> None:
        """
        Send the request.

        Raises
        ------
        SendError
            ``BROKEN`` when sending fails; the replica may have received a part.
        """
        call, record = self._call, self.record
        assert self.upstream is not None
        self._context.journal.event(
            "offered",
            request=call.id,
            replica=record.instance,
            offer=self._number,
            version=record.version,
            incarnation=record.incarnation,
            reported=self.upstream.incarnation or 0,
            after_event=_decode_event_id(self._last_event_id or call.head.last_event),
            resumes=call.head.resumed_attempt or "",
            **self._placement.explain_choice(record.instance, call),
            **self._selector.get_log_fields(),
        )
        self._context.probe.prepare(record)
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
        self._may_be_executed = True
        self.upstream.send_request(
            method=call.head.method,
            target=call.head.target,
            headers=headers,
            body=call.body,
        )

    def read_head(self, *, timeout: float | None) -> ResponseHead:
        """
        Return the head of this request's response; skips stray responses.

        Parameters
        ----------
        timeout : float or None
            Seconds within which the head is due.

        Raises
        ------
        SendError
            When the head does not arrive, or shows that the replica has not executed
            the request or breaks the protocol.
        """
        timeout_error = SendError(Failure.TIMED_OUT, "no response within the timeout")
        timer = gevent.Timeout(timeout, timeout_error) if timeout is not None else None
        if timer is not None:
            timer.start()
        try:
            reply = self._read_own_head()
        finally:
            if timer is not None:
                timer.close()
        self._placement.record_response_head(self.record.instance, reply.load)
        self._signals.record_head(reply, self.record)
        if reply.kind is ResponseKind.INVALID and reply.identified:
            # The replica has executed the request, whatever is wrong with the head.
            self._on_execution()
        if reply.kind in (ResponseKind.REFUSED, ResponseKind.MISPLACED):
            self._may_be_executed = False
        _check_response(reply)
        return reply

    def end(self, reply: ResponseHead) -> None:
        """Return the connection to the pool after a complete response."""
        upstream, self.upstream = self.upstream, None
        assert upstream is not None
        self._context.connections.release(
            upstream,
            keep_alive=0.0 if reply.closing or reply.leaving else reply.keep_alive,
        )

    def close(self, *, has_broken_off: bool = False, event_count: int = 0) -> None:
        """
        Close the connection, which cancels a request that runs at the replica.

        Not every replica notices, so that the request may still crash it.

        Parameters
        ----------
        has_broken_off : bool
            Whether the replica has broken off its response.
        event_count : int
            Events of the response that had arrived.
        """
        upstream, self.upstream = self.upstream, None
        if upstream is None:
            return
        is_over = has_broken_off or upstream.has_whole_response
        upstream.close()
        if self._may_be_executed and not is_over:
            self._context.containment.record_abandoned(
                self.record, self._call, event_count=event_count
            )

    def _acquire(self) -> Connection:
        """Return a connection to the replica; raises ``SendError``."""
        address, incarnation = self.record.address, self.record.incarnation
        connections = self._context.connections
        connection = connections.acquire(address)
        if connection.listed_incarnation not in (None, incarnation):
            # It may lead to the start before, which ends its connections later.
            connection.close()
            connections.close_idle(address)
            connection = connections.open(address)
        connection.listed_incarnation = incarnation
        return connection

    def _check_version(self, upstream: Connection) -> None:
        """
        Raise ``SendError`` unless the replica has the version that the request needs.
        """
        record = self.record
        if not self._call.accepts_version(record.version):
            raise SendError(Failure.REFUSED, f"version {record.version!r}")
        if not self._call.accepts_start(record):
            raise SendError(Failure.REFUSED, f"start {record.incarnation}")
        check_incarnation(
            upstream,
            record,
            self._context.dialect,
            memory=self._context.report_memory,
        )

    def _may_go_on_elsewhere(self) -> bool:
        """Return whether another replica might continue a stream of this one."""
        others = len(self._placement.eligible_instances) > 1
        return others and self.record.version != UNKNOWN_VERSION

    def _identify(self, upstream: Connection) -> None:
        """
        Ask the replica for its start, so that its stream can go on elsewhere.

        Raises
        ------
        SendError
            ``NOT_SENT`` when it didn't report, nor accepts another connection.
        """
        record = self.record
        try:
            identify_replica(
                upstream,
                record,
                self._context.dialect,
                memory=self._context.report_memory,
            )
        except SendError as error:
            self._context.journal.event(
                "replica-not-identified",
                request=self._call.id,
                replica=record.instance,
                cause=str(error),
            )
            upstream.close()
            self.upstream = self._acquire()

    def _read_own_head(self) -> ResponseHead:
        upstream = self.upstream
        assert upstream is not None
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
            self._signals.record_head(reply, self.record)
            upstream.skip_stray_response()
        raise SendError(Failure.MISMATCHED, "received only responses to other requests")


def _check_response(reply: ResponseHead) -> None:
    """Raise ``SendError`` unless the reply is a valid response to the request."""
    if reply.kind is ResponseKind.MISPLACED:
        raise SendError(Failure.REFUSED, "another replica has the address")
    if reply.kind is ResponseKind.REFUSED:
        failure = Failure.REFUSED if reply.retry_after is None else Failure.PAUSED
        raise SendError(failure, f"status {reply.status}, not run")
    if reply.kind is ResponseKind.INVALID:
        raise SendError(Failure.BROKEN, reply.detail)


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


def _decode_event_id(event_id: bytes | None) -> str:
    """Return an event's id for the log, empty without one."""
    return "" if event_id is None else event_id[:MAX_LOGGED_ID_BYTES].decode("latin-1")
