"""
Proxied request
===============

Forwards one request to replicas, with retries, and relays the response to its caller.
"""

from damasklead.failures import Failure
from damasklead.gateway.attempt import Attempt
from damasklead.gateway.callers import CallerConnection
from damasklead.gateway.calls import Call, ResponseHead, UpstreamRecord
from damasklead.gateway.context import GatewayContext
from damasklead.gateway.hedging import Backup, Hedge
from damasklead.gateway.placements import Placement
from damasklead.gateway.refusals import Reason, Refusal, get_refusal_reason
from damasklead.gateway.replica_selection import ReplicaSelector
from damasklead.gateway.response_relay import (
    ResponseDroppedError,
    ResponseRelay,
    UnprovenEndError,
)
from damasklead.gateway.routing import RouteKind
from damasklead.gateway.upstream_http import ConnectionLimitError, SendError
from damasklead.gateway.verdict import RETRY_AFTER_SECONDS, RetryDenial, Verdict
from damasklead.ids import UNKNOWN_VERSION, InstanceId
from damasklead.util import stable_hash

__all__ = ["ProxiedRequest"]

# Retry-After for a request that crashes replicas, which operators have to look into.
QUARANTINED_RETRY_AFTER_SECONDS = 60.0
# Longest Retry-After when all replicas pause: others may be added, and paused ones
# start again, before the pauses end.
MAX_RETRY_AFTER_SECONDS = 60.0
# Largest delay added to Retry-After when all replicas pause, so that callers don't
# retry at the same instant.
RETRY_AFTER_JITTER_SECONDS = 0.5
# Failures that a network partition of the gateway causes as well.
_FAILURES_OF_THE_WAY = frozenset({Failure.NOT_SENT, Failure.BROKEN, Failure.TIMED_OUT})


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
    first_assignment_seconds : float
        Seconds from the request's arrival until a replica was chosen; 0 before.
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
        self._attempt: Attempt | None = None
        self._selector = ReplicaSelector(
            client=context.assignment_client, placement=placement, call=call
        )
        self._verdict = Verdict(call=call)
        self._relay = ResponseRelay(
            context=context,
            call=call,
            caller=caller,
            may_repeat=self._may_repeat,
            on_execution=self._record_execution,
            on_first_event=self._record_first_event,
            on_response=lambda: self._hedge.cancel(),
            on_events=self._record_events,
            on_stall=self._check_silent_stream,
            get_stall_timeout=self._get_stall_timeout,
        )
        self._excluded_replicas: set[InstanceId] = set()
        self._hedge = Hedge(
            context=context,
            call=call,
            placement=placement,
            verdict=self._verdict,
            excluded=self._excluded_replicas,
            has_started_response=lambda: caller.head_sent,
            get_last_event_id=lambda: self._relay.last_event_id,
            on_execution=self._record_execution,
            on_failure=self._record_failed_backup,
            check_first_event=self._relay.check_first_event,
        )
        self._is_execution_recorded = False
        self.replica = InstanceId("")
        self.first_assignment_seconds = 0.0

    @property
    def status(self) -> int:
        """HTTP status that was sent to the caller; 0 before."""
        return self._relay.status

    @property
    def is_signed(self) -> bool:
        """Whether the response that was sent has the signature of its replica."""
        return self._relay.is_signed

    @property
    def attempt_count(self) -> int:
        """Attempts so far, including those that failed to connect."""
        return self._verdict.attempt_count

    @property
    def event_count(self) -> int:
        """Events of a stream that were sent to the caller."""
        return self._relay.event_count

    @property
    def first_byte_seconds(self) -> float:
        """Seconds from the request's arrival to the first byte of the response."""
        return self._relay.first_byte_seconds

    @property
    def may_have_run(self) -> bool:
        """Whether a replica may have executed the request."""
        return self._verdict.may_have_run

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
            backup = self._hedge.take()
            if backup is not None:
                attempt = self._continue_with(backup)
            else:
                record = self._selector.select_replica(
                    excluded=self._excluded_replicas,
                    is_first_attempt=not self.attempt_count,
                )
                if record is None:
                    return self._refuse_without_replica()
                if isinstance(record, Refusal):
                    return record
                attempt = self._begin_attempt(record)
            try:
                if backup is not None:
                    self._relay_response(attempt, self._read_backup_head(backup))
                    return None
                is_connected = attempt.connect()
                if self._context.containment.should_refuse(self._call):
                    return self._refuse_quarantined()
                if is_connected:
                    self._run_attempt(attempt)
                    return None
            except ConnectionLimitError as error:
                return self._refuse_or_send_error(Reason.NO_DESCRIPTOR, str(error))
            except SendError as error:
                self._record_failure(attempt, error)
                if not self._hedge.has_backup and not self._may_retry(error.failure):
                    return self._refuse_or_send_error(
                        get_refusal_reason(error.failure), str(error)
                    )
            except ResponseDroppedError as error:
                # The attempt is cancelled at the end, which is no failure of its
                # replica; another one would need the same memory.
                return self._verdict.make_refusal(Reason.RESPONSE_DROPPED, str(error))

    def handle_timeout(self) -> Refusal | None:
        """Return the refusal of a request whose deadline has passed."""
        if not self.may_have_run:
            return Refusal(reason=Reason.TOO_LATE, detail="not sent in time")
        if self._relay.is_body_pending:
            # The response body was being read, which counts against the replica.
            self._placement.record_failure(self.replica, self._call, Failure.TIMED_OUT)
        return self._refuse_or_send_error(Reason.TIMED_OUT, "no whole answer in time")

    def close(self) -> None:
        """Close the replica's connection, which cancels a request that runs there."""
        self._hedge.cancel()
        if self._attempt is not None:
            self._attempt.close(event_count=self.event_count)
        # A request that ends while it is connecting was already counted there.
        self._placement.record_cancellation(self.replica, self._call)
        self._selector.end_assignment("withdrawn")

    def _begin_attempt(self, record: UpstreamRecord) -> Attempt:
        self.replica = record.instance
        self._verdict.attempt_count += 1
        if self.attempt_count == 1:
            self.first_assignment_seconds = (
                self._context.clock.now() - self._call.arrival
            )
        self._attempt = Attempt(
            context=self._context,
            call=self._call,
            placement=self._placement,
            selector=self._selector,
            record=record,
            number=self.attempt_count,
            last_event_id=self._relay.last_event_id,
            on_execution=self._record_execution,
        )
        return self._attempt

    def _continue_with(self, backup: Backup) -> Attempt:
        """Make a backup the present attempt."""
        self._attempt, self._selector = backup.attempt, backup.selector
        self.replica = backup.attempt.record.instance
        self._verdict.is_sent = backup.is_sent
        self._context.journal.event(
            "backup-continues", request=self._call.id, replica=self.replica
        )
        return backup.attempt

    def _run_attempt(self, attempt: Attempt) -> None:
        """Send the request to a replica and relay its response."""
        self._verdict.is_sent = True
        attempt.send()
        self._relay_response(attempt, self._read_head(attempt))

    def _read_head(self, attempt: Attempt) -> ResponseHead:
        """Return the head of the response, however long the replica is silent."""
        interval = self._verdict.response_timeout
        while True:
            try:
                return attempt.read_head(timeout=self._hedge.get_timeout(interval))
            except SendError as error:
                if error.failure is not Failure.TIMED_OUT:
                    raise
                self._hedge.check(self.replica, interval=interval)

    def _read_backup_head(self, backup: Backup) -> ResponseHead:
        """Return the head of the response of a backup that has taken over."""
        is_stream = self._call.route.kind is RouteKind.STREAM
        verdict = self._verdict
        interval = verdict.event_timeout if is_stream else verdict.response_timeout
        while True:
            timeout = self._hedge.get_timeout(interval)
            reply = backup.wait_for_head(timeout=timeout)
            if reply is not None:
                return reply
            self._hedge.check(self.replica, interval=interval)

    def _get_stall_timeout(self) -> float | None:
        return self._hedge.get_timeout(self._verdict.event_timeout)

    def _check_silent_stream(self) -> None:
        self._hedge.check(self.replica, interval=self._verdict.event_timeout)

    def _relay_response(self, attempt: Attempt, reply: ResponseHead) -> None:
        """Relay the response of an attempt, and record how it has ended."""
        record = attempt.record
        assert attempt.upstream is not None
        self._relay.relay(attempt.upstream, reply, record)
        if self._relay.is_failure_relayed:
            self._record_failure(
                attempt, SendError(Failure.BROKEN, f"status {reply.status}")
            )
            return
        self._placement.record_success(record.instance, self._call)
        self._selector.end_assignment("whole")
        if 200 <= reply.status < 300:
            self._context.containment.record_success(self._call)
        attempt.end(reply)

    def _record_execution(self) -> None:
        """
        Count the request when a replica has begun to execute it.

        A stream that the caller takes up was counted when it began.
        """
        if not self._is_execution_recorded and self._call.head.last_event is None:
            self._is_execution_recorded = True
            self._context.on_execution(self._call)

    def _record_first_event(self, reply: ResponseHead) -> None:
        """Record the origin of a stream, and the end of its prefill."""
        attempt = self._attempt
        assert attempt is not None and attempt.upstream is not None
        # What another version writes doesn't fit to the events sent so far.
        self._call.version = self._context.origins.record(
            self._call, attempt.record, incarnation=attempt.upstream.incarnation
        )
        self._selector.report_prefill_done(reply.load, reply.rate_limit)

    def _record_events(self) -> None:
        self._hedge.cancel()
        self._placement.record_stream_event(self.replica, self._call)

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
            Reason.REPLICAS_PAUSED,
            "all replicas pause",
            retry_after=min(pause, MAX_RETRY_AFTER_SECONDS) + jitter,
        )

    def _record_failure(self, attempt: Attempt, error: SendError) -> None:
        """Close the connection of a failed attempt and record how it failed."""
        self._relay.is_body_pending = False
        self._verdict.record_failure(error.failure)
        self._record_failed_attempt(attempt, self._selector, error)

    def _record_failed_backup(self, backup: Backup) -> None:
        """Record the failure of a backup, while the other attempt goes on."""
        assert backup.error is not None
        if not backup.error.failure.rules_out_execution:
            self._verdict.possible_executions += 1
        self._record_failed_attempt(backup.attempt, backup.selector, backup.error)

    def _record_failed_attempt(
        self, attempt: Attempt, selector: ReplicaSelector, error: SendError
    ) -> None:
        failure, record = error.failure, attempt.record
        upstream = attempt.upstream
        has_ended = upstream is not None and upstream.has_ended
        has_broken_off = failure is Failure.BROKEN and has_ended
        # An end that only isn't proven is no failure of the replica.
        is_doubt = isinstance(error, UnprovenEndError) and not error.is_of_replica
        attempt.close(has_broken_off=has_broken_off, event_count=self.event_count)
        is_of_way = failure in _FAILURES_OF_THE_WAY and (
            self._context.is_isolated() or (upstream is not None and upstream.is_tunnel)
        )
        if is_of_way or is_doubt:
            # The replica works for others, whose coordinator must not avoid it.
            self._placement.record_cancellation(record.instance, self._call)
            selector.end_assignment("withdrawn")
        else:
            self._placement.record_failure(record.instance, self._call, failure)
            selector.end_assignment(failure.value)
        self._excluded_replicas.add(record.instance)
        if failure is Failure.NOT_SENT:
            self._context.probe.report_failed_connection(record)
        elif has_broken_off and upstream is not None and not is_doubt:
            self._context.containment.record_broken_response(
                record, self._call, event_count=self.event_count
            )
            self._context.probe.start(record, sent_at=upstream.sent_at)
        self._context.journal.event(
            "attempt-failed",
            request=self._call.id,
            replica=record.instance,
            failure=failure.value,
            detail=str(error),
            events=self.event_count,
            runs=self._verdict.possible_executions,
            parts=",".join(part.key for part in self._call.head.shared_parts),
            **self._context.budget.get_log_fields(self._call.service),
        )

    def _may_repeat(self) -> bool:
        """
        Return whether the request, of whose response nothing was sent, would be sent to
        another replica if the present attempt failed after its execution.

        The conditions are those of ``_may_retry`` and of the choice of a replica.
        """
        if self._hedge.has_backup:
            return True
        if not self._verdict.allows_repetition:
            return False
        if self._context.containment.should_refuse(self._call):
            return False
        if not self._context.budget.allows_retry(self._call.service):
            return False
        excluded = {*self._excluded_replicas, self.replica}
        other = self._placement.choose_replica(self._call, excluded=excluded)
        return other is not None

    def _may_retry(self, failure: Failure) -> bool:
        """Return whether another attempt may follow; charges it to the budget."""
        denial = self._find_retry_denial(failure)
        if denial is not None:
            self._context.on_retry_denied(self._call, denial)
            self._context.journal.event(
                "retry-denied",
                request=self._call.id,
                replica=self.replica,
                failure=failure.value,
                cause=denial.value,
                head_sent=self._caller.head_sent,
            )
        return denial is None

    def _find_retry_denial(self, failure: Failure) -> RetryDenial | None:
        """Return why no other attempt may follow, ``None`` if one may."""
        if not self._verdict.may_retry(failure):
            return RetryDenial.ROUTE
        if self._context.containment.should_refuse(self._call):
            return RetryDenial.QUARANTINE
        if self._caller.head_sent:
            if self._call.route.kind is not RouteKind.STREAM:
                return RetryDenial.ROUTE
            self._call.version = self._context.origins.find_version(self._call.id)
            if self._call.version == UNKNOWN_VERSION:
                return RetryDenial.VERSION
        # A failed connection brings no request to a replica, so the retry after it is
        # not charged to the budget.
        if failure is Failure.NOT_SENT or self._context.budget.acquire_retry(
            self._call.service
        ):
            return None
        return RetryDenial.BUDGET

    def _refuse_or_send_error(
        self, reason: Reason, detail: str, *, retry_after: float = RETRY_AFTER_SECONDS
    ) -> Refusal | None:
        """
        Send the caller the error response of a replica if there is one and return
        ``None``; otherwise return the refusal.
        """
        if self._relay.send_error_response():
            return None
        return self._verdict.make_refusal(reason, detail, retry_after=retry_after)
