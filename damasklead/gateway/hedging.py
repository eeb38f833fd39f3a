"""
Hedging
=======

Starts a backup of an attempt whose replica is silent, at another replica, and decides
which of both goes on.  The attempt isn't given up before: the backup may be denied, be
rejected or fail, and a sound replica may go on after a pause.

Load pattern: replicas pause for about a second, some of them or all at once, while
others are busy; a replica that has died silently, of which no connection says so.
"""

from collections.abc import Callable, Collection

import gevent

from damasklead.event_buffer import MAX_EVENT_BYTES
from damasklead.failures import Failure
from damasklead.gateway.attempt import Attempt
from damasklead.gateway.calls import Call, ResponseHead, UpstreamRecord
from damasklead.gateway.context import GatewayContext
from damasklead.gateway.events import EventSplitter
from damasklead.gateway.placements import Placement
from damasklead.gateway.replica_selection import ReplicaSelector
from damasklead.gateway.routing import RouteKind
from damasklead.gateway.upstream_http import (
    Connection,
    ConnectionLimitError,
    SendError,
)
from damasklead.gateway.verdict import RetryDenial, Verdict
from damasklead.ids import UNKNOWN_VERSION, InstanceId

__all__ = ["Backup", "Hedge"]

# Interval at which the states of both attempts are compared.
POLL_SECONDS = 0.05
# Time for which a stream may run at two replicas.  A replica rejects a request at once;
# the first event may take longer.
MAX_OVERLAP_SECONDS = 0.25
# Bytes of the start of a stream that are read at once.
PIECE_BYTES = 4_096


class Backup:
    """
    An attempt that runs in a greenlet of its own until its response begins.

    Parameters
    ----------
    attempt : Attempt
    selector : ReplicaSelector
        That of the attempt.
    is_stream : bool
        Whether the response is a stream.
    acquire_retry : callable
        Charges the attempt to the retry budget; returns whether that allows it.
    check_first_event : callable
        Called with the id of the first event of a stream; raises ``SendError`` if it
        doesn't continue the stream.
    on_sent : callable
        Called with the backup before its request is sent.

    Attributes
    ----------
    attempt : Attempt
    selector : ReplicaSelector
    is_sent : bool
        Whether a replica may have received the request.
    """

    def __init__(
        self,
        *,
        attempt: Attempt,
        selector: ReplicaSelector,
        is_stream: bool,
        acquire_retry: Callable[[], bool],
        check_first_event: Callable[[bytes | None], None],
        on_sent: Callable[["Backup"], None],
    ) -> None:
        self._is_stream = is_stream
        self._acquire_retry = acquire_retry
        self._check_first_event = check_first_event
        self._on_sent = on_sent
        self.attempt = attempt
        self.selector = selector
        self.is_sent = False
        self._reply: ResponseHead | None = None
        self._error: SendError | None = None
        self._is_cancelled = False
        self._greenlet = gevent.spawn(self._run)

    @property
    def error(self) -> SendError | None:
        """How the attempt has failed, ``None`` if it has not."""
        return self._error

    @property
    def is_pending(self) -> bool:
        """Whether the response has neither begun nor failed."""
        return not self._greenlet.ready()

    @property
    def has_response(self) -> bool:
        """Whether the response has begun."""
        return self._reply is not None

    def wait_for_head(self, *, timeout: float | None) -> ResponseHead | None:
        """
        Return the head of the response; ``None`` if it doesn't arrive in time.

        Raises
        ------
        SendError
            When the attempt has failed.
        """
        self._greenlet.join(timeout)
        if self._error is not None:
            raise self._error
        if self._reply is None and not self.is_pending:
            raise SendError(Failure.BROKEN, "the attempt was cancelled")
        return self._reply

    def cancel(self) -> None:
        """Cancel the attempt, and the request if it runs at the replica."""
        # The request's own greenlet may be ended at any wait, so there is none here.
        self._is_cancelled = True
        self._greenlet.kill(block=False)
        self.attempt.close()

    def _run(self) -> None:
        try:
            # Not more than a listening socket is needed to connect to a replica, so a
            # stream moves only to one that reports on itself.
            if not self.attempt.connect(must_report=self._is_stream):
                raise SendError(Failure.REFUSED, "the replica accepts no requests")
            if not self._acquire_retry():
                raise SendError(Failure.REFUSED, "the retry budget is spent")
            self.is_sent = True
            self._on_sent(self)
            self.attempt.send()
            reply = self.attempt.read_head(timeout=None)
            self._check_response(reply)
            self._reply = reply
        except SendError as error:
            self._error = error
        finally:
            if self._is_cancelled:
                self.attempt.close()

    def _check_response(self, reply: ResponseHead) -> None:
        """Raise ``SendError`` for an error, and for a stream that doesn't go on."""
        if reply.status >= 500 or (self._is_stream and reply.status != 200):
            raise SendError(Failure.BROKEN, f"status {reply.status}")
        upstream = self.attempt.upstream
        assert upstream is not None
        if self._is_stream:
            self._read_first_event(upstream)

    def _read_first_event(self, upstream: Connection) -> None:
        """Read up to the first event, and leave all of it to be read again."""
        splitter, pieces = EventSplitter(), []
        while not splitter.has_events:
            data = upstream.read_body_data(max_bytes=PIECE_BYTES)
            if not data:
                raise SendError(Failure.BROKEN, "the stream ended before an event")
            pieces.append(data)
            splitter.feed(data)
            if splitter.buffered_bytes > MAX_EVENT_BYTES:
                raise SendError(Failure.BROKEN, "an event is too long")
        self._check_first_event(splitter.first_id)
        upstream.push_back(b"".join(pieces))


class Hedge:
    """
    The backups of one request, of which at most one runs at a time.

    Parameters
    ----------
    context : GatewayContext
    call : Call
    placement : Placement
        The replicas of the request's service.
    verdict : Verdict
        The attempts of the request so far.
    excluded : collection of InstanceId
        Replicas on which the request has failed.
    has_started_response : callable
        Returns whether a part of the response was sent to the caller.
    get_last_event_id : callable
        Returns the id of the last event that was sent to the caller.
    on_execution : callable
        Called when a response shows that a replica has executed the request although
        it is not valid.
    on_failure : callable
        Called with a backup that has failed, while the other attempt goes on.
    check_first_event : callable
        See ``Backup``; called if a part of the response was sent to the caller.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        call: Call,
        placement: Placement,
        verdict: Verdict,
        excluded: Collection[InstanceId],
        has_started_response: Callable[[], bool],
        get_last_event_id: Callable[[], bytes | None],
        on_execution: Callable[[], None],
        on_failure: Callable[[Backup], None],
        check_first_event: Callable[[bytes | None], None],
    ) -> None:
        self._context = context
        self._call = call
        self._placement = placement
        self._verdict = verdict
        self._excluded = excluded
        self._has_started_response = has_started_response
        self._get_last_event_id = get_last_event_id
        self._on_execution = on_execution
        self._on_failure = on_failure
        self._check_first_event = check_first_event
        self._backup: Backup | None = None
        self._taken: Backup | None = None
        self._sent_at: float | None = None
        self._denied_at: float | None = None
        self._logged_denial: RetryDenial | None = None

    @property
    def has_backup(self) -> bool:
        """Whether a backup runs."""
        return self._backup is not None

    def get_timeout(self, seconds: float | None) -> float | None:
        """
        Return the seconds without data after which ``check`` has to be called.

        Parameters
        ----------
        seconds : float or None
            Time for which a replica may be silent until a backup begins.
        """
        return seconds if self._backup is None else POLL_SECONDS

    def check(self, replica: InstanceId, *, interval: float | None) -> None:
        """
        Start a backup of an attempt that is silent, or let the backup take over.

        Parameters
        ----------
        replica : InstanceId
            Replica of the silent attempt.
        interval : float or None
            Seconds between two tries to start a backup; ``None`` for no backup.

        Raises
        ------
        SendError
            ``TIMED_OUT`` if the backup takes over.
        """
        backup = self._backup
        if backup is None:
            if interval is not None:
                self._try_to_start(replica, interval)
            return
        if backup.error is not None:
            self._backup = None
            self._record_failure(backup, backup.error)
        elif self._takes_over(backup):
            raise SendError(Failure.TIMED_OUT, "silent, a backup has begun")

    def take(self) -> Backup | None:
        """Return the backup, if there is one, which is the present attempt from now."""
        if self._backup is None:
            return None
        self._cancel_taken()
        self._taken, self._backup = self._backup, None
        return self._taken

    def cancel(self) -> None:
        """Cancel the backup: the other attempt goes on, or the request has ended."""
        self._cancel_taken()
        backup, self._backup = self._backup, None
        if backup is None:
            return
        if backup.error is not None:
            self._record_failure(backup, backup.error)
            return
        backup.cancel()
        if backup.is_sent:
            self._verdict.possible_executions += 1
        record = backup.attempt.record
        self._placement.record_cancellation(record.instance, self._call)
        self._log("backup-cancelled", record.instance, sent=backup.is_sent)

    def _cancel_taken(self) -> None:
        """Cancel the backup that has taken over, if its response has not begun."""
        if self._taken is not None and self._taken.is_pending:
            self._taken.cancel()

    def _record_sent(self, backup: Backup) -> None:
        self._sent_at = self._context.clock.now()
        if backup is self._taken:
            self._verdict.is_sent = True

    def _record_failure(self, backup: Backup, error: SendError) -> None:
        """Record the failure of a backup, which may be none of its replica."""
        is_denial = error.failure is Failure.REFUSED or isinstance(
            error, ConnectionLimitError
        )
        if backup.is_sent or not is_denial:
            self._on_failure(backup)
            return
        backup.cancel()
        self._record_denial(backup.attempt.record.instance, RetryDenial.NOT_READY)

    def _record_denial(self, replica: InstanceId, denial: RetryDenial) -> None:
        self._denied_at = self._context.clock.now()
        if denial is not self._logged_denial:
            self._logged_denial = denial
            self._context.on_retry_denied(self._call, denial)
            self._log("backup-denied", replica, cause=denial.value)

    def _takes_over(self, backup: Backup) -> bool:
        if backup.has_response:
            return True
        is_stream = self._call.route.kind is RouteKind.STREAM
        if not is_stream or not backup.is_sent or self._sent_at is None:
            return False
        overlap_seconds = self._context.clock.now() - self._sent_at
        return overlap_seconds >= MAX_OVERLAP_SECONDS

    def _try_to_start(self, replica: InstanceId, interval: float) -> None:
        now = self._context.clock.now()
        if self._denied_at is not None and now - self._denied_at < interval:
            return
        choice = self._choose_replica(replica)
        if isinstance(choice, RetryDenial):
            self._record_denial(replica, choice)
            return
        self._verdict.attempt_count += 1
        selector = ReplicaSelector(
            client=self._context.assignment_client,
            placement=self._placement,
            call=self._call,
        )
        self._log("backup-started", choice.instance, silent=replica)
        self._backup = Backup(
            attempt=Attempt(
                context=self._context,
                call=self._call,
                placement=self._placement,
                selector=selector,
                record=choice,
                number=self._verdict.attempt_count,
                last_event_id=self._get_last_event_id(),
                on_execution=self._on_execution,
            ),
            selector=selector,
            is_stream=self._call.route.kind is RouteKind.STREAM,
            acquire_retry=lambda: self._context.budget.acquire_retry(
                self._call.service
            ),
            check_first_event=self._check_continuation,
            on_sent=self._record_sent,
        )

    def _check_continuation(self, first_id: bytes | None) -> None:
        if self._has_started_response():
            self._check_first_event(first_id)

    def _choose_replica(self, replica: InstanceId) -> UpstreamRecord | RetryDenial:
        """Return the replica of a backup, or what rules one out."""
        if not self._verdict.allows_repetition:
            return RetryDenial.ROUTE
        if self._context.containment.should_refuse(self._call):
            return RetryDenial.QUARANTINE
        if self._has_started_response():
            version = self._context.origins.find_version(self._call.id)
            if version == UNKNOWN_VERSION:
                return RetryDenial.VERSION
            self._call.version = version
        record = self._placement.choose_replica(
            self._call, excluded={*self._excluded, replica}
        )
        if record is None:
            return RetryDenial.REPLICAS
        if not self._context.budget.allows_retry(self._call.service):
            return RetryDenial.BUDGET
        return record

    def _log(self, name: str, replica: InstanceId, **pairs: object) -> None:
        self._context.journal.event(
            name, request=self._call.id, replica=replica, **pairs
        )
