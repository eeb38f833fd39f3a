"""
Forwarding
==========

Serves one request: finds its route, checks its API key, enforces its deadline, forwards
it to replicas and reports the outcome to the caller, the log and the metrics.
"""

import math
from collections.abc import Callable

import gevent

from damasklead.gateway.caller_closing import UnreadClose
from damasklead.gateway.callers import (
    CallerClosed,
    CallerConnection,
    CallerDisconnected,
    RawRequest,
    Rejection,
    RequestHandler,
)
from damasklead.gateway.calls import Call, CallHead
from damasklead.gateway.configuration_changes import hash_key
from damasklead.gateway.configuration_gate import ConfigurationGate
from damasklead.gateway.context import GatewayContext
from damasklead.gateway.dialect import RequestHeadError
from damasklead.gateway.metrics import GatewayMetrics
from damasklead.gateway.placements import Placement
from damasklead.gateway.proxied_request import ProxiedRequest
from damasklead.gateway.refusals import Reason, Refusal
from damasklead.gateway.routing import CallerLimits, RouteKind, RoutingTable
from damasklead.gateway.start_gate import StartGate
from damasklead.ids import ServiceName

__all__ = ["Forwarder"]

# Retry-After before the first configuration is read, which takes about this long.
NO_CONFIGURATION_RETRY_SECONDS = 0.5
# Retry-After of a request that the configuration doesn't allow while it isn't current;
# another gateway may have the newest one.
OUTDATED_CONFIGURATION_RETRY_SECONDS = 0.5
# Refusals that a newer configuration may make needless.
_LOOKUP_REASONS = frozenset({Reason.NO_ROUTE, Reason.UNKNOWN_KEY})
# Retry-After of a request that finds no memory: slow callers are closed after a second.
MEMORY_RETRY_SECONDS = 1.0
# Retry-After while this gateway stops: another one takes the request.
STOPPING_RETRY_SECONDS = 0.05
# Longest part of a request's target in a log line.
MAX_LOGGED_TARGET = 80


class _DeadlineExceeded(BaseException):
    """The request's deadline has passed; raised in the greenlet that serves it."""


class Forwarder(RequestHandler):
    """
    Serves the requests of callers in one gateway.

    Parameters
    ----------
    context : GatewayContext
        Components that all requests of the gateway share.
    placement_of : callable
        Returns the placement of a service.
    table : callable
        Returns the routing table in force, or ``None`` before the first one is read.
    metrics : GatewayMetrics
    gate : StartGate
        Holds requests back while the gateway starts.
    is_configuration_current : callable
        Returns whether the configuration is the newest one, as far as is known.
    get_configuration_age : callable
        Returns the seconds since the store confirmed the configuration, for the log.
    get_newest_configuration : callable
        Returns the newest version that any known gateway has, for the log.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        placement_of: Callable[[ServiceName], Placement],
        table: Callable[[], RoutingTable | None],
        metrics: GatewayMetrics,
        gate: StartGate,
        is_configuration_current: Callable[[], bool] = lambda: True,
        get_configuration_age: Callable[[], float] = lambda: math.nan,
        get_newest_configuration: Callable[[], int] = lambda: 0,
    ) -> None:
        self._get_configuration_age = get_configuration_age
        self._get_newest_configuration = get_newest_configuration
        self._context = context
        self._placement_of = placement_of
        self._table = table
        self._metrics = metrics
        self._gate = gate
        self._configuration_gate = ConfigurationGate(
            clock=context.clock,
            is_current=is_configuration_current,
            get_version=lambda: self._version,
        )
        self._active_requests = 0
        self._timers: dict[gevent.Timeout, gevent.Greenlet] = {}

    @property
    def active_requests(self) -> int:
        """Number of requests that are being served."""
        return self._active_requests

    def limits(self) -> CallerLimits:
        """Return the limits on requests in the current configuration."""
        table = self._table()
        return CallerLimits() if table is None else table.limits

    @property
    def knows_limits(self) -> bool:
        """Whether the limits are those of the newest configuration."""
        return self._table() is not None and self._configuration_gate.is_open

    @property
    def _version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        table = self._table()
        return 0 if table is None else table.version

    def record_rejection(self, rejection: Rejection) -> None:
        """Count and log a request that was rejected before it was read to its end."""
        self._metrics.count_rejection(rejection.status)
        self._context.journal.event(
            "rejected",
            status=rejection.status,
            detail=rejection.detail,
            unparsed=rejection.unparsed_bytes,
            requests=rejection.request_count,
            configuration=self._version,
            newest=self._get_newest_configuration(),
            age=self._get_configuration_age(),
        )

    def record_unread_close(self, close: UnreadClose) -> None:
        """Count and log a caller's connection that a close with unread bytes resets."""
        self._metrics.count_unread_close()
        self._context.journal.event(
            "closed-unread",
            request=close.request,
            unread=close.unread_bytes,
            unsent=close.unsent_bytes,
            requests=close.request_count,
            stopping=self._context.stop_schedule.has_begun,
        )

    def handle(self, request: RawRequest, connection: CallerConnection) -> None:
        """Send the response to one request, or abort its connection."""
        self._active_requests += 1
        try:
            self._gate.wait()
            call = self._look_up(request, connection)
            if isinstance(call, Refusal):
                self._refuse_unmatched(call, request, connection)
            else:
                self._forward_call(call, connection)
        finally:
            self._active_requests -= 1

    def end_requests(self) -> int:
        """
        Let all requests in progress end now, each with an answer where none has begun.

        Returns
        -------
        int
            Number of these requests.
        """
        timers = dict(self._timers)
        for timer, greenlet in timers.items():
            gevent.kill(greenlet, timer.exception)
        return len(timers)

    def _look_up(
        self, request: RawRequest, connection: CallerConnection
    ) -> Call | Refusal:
        """
        Find the route and workspace of a request.

        What the configuration doesn't allow is looked up again when a newer one comes,
        and is not refused for good while there may be a newer one.
        """
        try:
            head = self._context.dialect.decode_head(
                method=request.method, target=request.target, headers=request.headers
            )
        except RequestHeadError as error:
            return Refusal(reason=Reason.BAD_REQUEST, detail=str(error))
        while True:
            call = self._build_call(request, head)
            if isinstance(call, Call) or call.reason not in _LOOKUP_REASONS:
                return call
            if self._configuration_gate.is_open:
                return call
            # Whether a caller that half-closes has left depends on its route.
            connection.cancel_on_disconnect = False
            if not self._configuration_gate.wait(
                arrival=request.arrival, caller_timeout=head.caller_timeout
            ):
                return Refusal(
                    reason=Reason.OUTDATED_CONFIGURATION,
                    detail=f"{call.reason.value} {call.detail}".rstrip(),
                    attempt=call.attempt,
                    retry_after=OUTDATED_CONFIGURATION_RETRY_SECONDS,
                )

    def _build_call(self, request: RawRequest, head: CallHead) -> Call | Refusal:
        """Find the route, workspace and deadline of a decoded request."""
        table = self._table()
        if table is None:
            return Refusal(
                reason=Reason.NO_CONFIGURATION,
                attempt=head.attempt,
                retry_after=NO_CONFIGURATION_RETRY_SECONDS,
            )
        route = table.match_route(head.host, head.target)
        if route is None:
            return Refusal(reason=Reason.NO_ROUTE, attempt=head.attempt)
        workspace = table.find_workspace(head.key) if head.key is not None else None
        if workspace is None and table.requires_keys and not route.public:
            return Refusal(
                reason=Reason.UNKNOWN_KEY,
                detail=f"route {route.name}, key {hash_key(head.key)}",
                attempt=head.attempt,
            )
        caller_timeout = (
            route.timeout if head.caller_timeout is None else head.caller_timeout
        )
        tier = route.tier
        if workspace is not None and workspace.tier is not None:
            tier = workspace.tier
        return Call(
            head=head,
            route=route,
            service=route.select_service(head.attempt),
            workspace=workspace,
            arrival=request.arrival,
            deadline=request.arrival + min(caller_timeout, route.timeout),
            caller_deadline=request.arrival + caller_timeout,
            tier=tier,
            body=request.body,
        )

    def _forward_call(self, call: Call, connection: CallerConnection) -> None:
        connection.request_id = call.id
        # A request that may run only once continues when its caller half-closes:
        # it can't be undone, and the caller may still read the response.
        connection.cancel_on_disconnect = call.route.kind is not RouteKind.ONCE
        if connection.cancel_on_disconnect and connection.is_half_closed:
            raise CallerDisconnected
        if not self._context.stop_schedule.accepts(call):
            self._refuse_unsent(
                call, connection, Reason.STOPPING, retry_after=STOPPING_RETRY_SECONDS
            )
            return
        if not self._context.account.admit_request():
            self._refuse_unsent(
                call,
                connection,
                Reason.MEMORY_SHORTAGE,
                retry_after=MEMORY_RETRY_SECONDS,
                close=True,
            )
            return
        self._context.budget.record_first_attempt(call.service)
        proxied_request = ProxiedRequest(
            context=self._context,
            call=call,
            placement=self._placement_of(call.service),
            caller=connection,
        )
        remaining_seconds = call.deadline - self._context.clock.now()
        timer = gevent.Timeout(max(0.0, remaining_seconds), _DeadlineExceeded())
        timer.start()
        self._timers[timer] = gevent.getcurrent()
        try:
            refusal = proxied_request.forward()
        except _DeadlineExceeded:
            refusal = proxied_request.handle_timeout()
        except (CallerDisconnected, OSError) as error:
            self._record_disconnect(call, proxied_request, connection, error)
            raise
        finally:
            timer.close()
            del self._timers[timer]
            proxied_request.close()
        if refusal is None:
            self._record_response(call, proxied_request)
        else:
            self._refuse_call(call, proxied_request, refusal, connection)

    def _refuse_unsent(
        self,
        call: Call,
        connection: CallerConnection,
        reason: Reason,
        *,
        retry_after: float,
        close: bool = False,
    ) -> None:
        """Refuse a request for which no replica is looked for."""
        refusal = Refusal(reason=reason, attempt=call.id, retry_after=retry_after)
        self._metrics.count_refusal(call, refusal)
        self._context.journal.event(
            "refused",
            request=call.id,
            route=call.route.name,
            reason=refusal.reason.value,
            status=refusal.status,
            retry_after=retry_after,
        )
        self._send_refusal(refusal, connection, close=close)

    def _record_disconnect(
        self,
        call: Call,
        proxied_request: ProxiedRequest,
        connection: CallerConnection,
        error: BaseException,
    ) -> None:
        if isinstance(error, CallerClosed):
            self._context.journal.event(
                "caller-closed",
                request=call.id,
                route=call.route.name,
                replica=proxied_request.replica,
                cause=error.cause,
                held=connection.holding.held_bytes,
                held_by_all=self._context.account.used_bytes,
                limit=self._context.account.limit_bytes,
                waited=connection.waited_seconds,
                events=proxied_request.event_count,
                seconds=self._context.clock.now() - call.arrival,
            )
            return
        self._metrics.count_disconnect(call)
        self._context.journal.event(
            "caller-gone",
            request=call.id,
            route=call.route.name,
            replica=proxied_request.replica,
            events=proxied_request.event_count,
            prompt=call.head.prompt_tokens,
            cause=repr(error),
            seconds=self._context.clock.now() - call.arrival,
        )

    def _record_response(self, call: Call, proxied_request: ProxiedRequest) -> None:
        seconds = self._context.clock.now() - call.arrival
        self._context.stop_schedule.record_duration(call)
        self._metrics.count_response(
            call, proxied_request.status, proxied_request.first_byte_seconds
        )
        self._context.journal.event(
            "answered",
            request=call.id,
            route=call.route.name,
            replica=proxied_request.replica,
            status=proxied_request.status,
            signed=proxied_request.is_signed,
            events=proxied_request.event_count,
            offers=proxied_request.attempt_count,
            prompt=call.head.prompt_tokens,
            assigned=proxied_request.first_assignment_seconds,
            first=proxied_request.first_byte_seconds,
            target=call.target_deadline - call.arrival,
            seconds=seconds,
        )

    def _refuse_call(
        self,
        call: Call,
        proxied_request: ProxiedRequest,
        refusal: Refusal,
        connection: CallerConnection,
    ) -> None:
        self._metrics.count_refusal(call, refusal)
        self._context.journal.event(
            "refused",
            request=call.id,
            route=call.route.name,
            reason=refusal.reason.value,
            status=refusal.status,
            retry_after=refusal.retry_after or 0.0,
            detail=refusal.detail,
            offers=proxied_request.attempt_count,
            replica=proxied_request.replica,
            events=proxied_request.event_count,
            prompt=call.head.prompt_tokens,
            assigned=proxied_request.first_assignment_seconds,
            held=connection.holding.held_bytes,
            cut=connection.head_sent,
            stopping=self._context.stop_schedule.has_begun,
            seconds=self._context.clock.now() - call.arrival,
        )
        if connection.head_sent:
            self._metrics.count_cut_response(call, refusal)
            connection.abort()
        else:
            self._send_refusal(refusal, connection)

    def _refuse_unmatched(
        self, refusal: Refusal, request: RawRequest, connection: CallerConnection
    ) -> None:
        """Refuse a request that is invalid or matches no route or API key."""
        self._metrics.count_refusal(None, refusal)
        self._context.journal.event(
            "refused",
            request=refusal.attempt or "unknown",
            reason=refusal.reason.value,
            status=refusal.status,
            detail=refusal.detail,
            host=request.host,
            target=request.target[:MAX_LOGGED_TARGET],
            configuration=self._version,
            newest=self._get_newest_configuration(),
            age=self._get_configuration_age(),
        )
        self._send_refusal(refusal, connection)

    def _send_refusal(
        self, refusal: Refusal, connection: CallerConnection, *, close: bool = False
    ) -> None:
        headers = self._context.dialect.build_response_headers(
            attempt=refusal.attempt, retry_after=refusal.retry_after
        )
        connection.send_response(
            refusal.status, headers, refusal.reason.value.encode(), close=close
        )
