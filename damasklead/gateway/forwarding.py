"""
Forwarding
==========

Takes one request from its caller to a replica and the answer back: route, key, time
limit, attempts, and what the caller is told in the end.
"""

from collections.abc import Callable

import gevent

from damasklead.gateway.attempts import ProxiedRequest
from damasklead.gateway.callers import (
    CallerConnection,
    CallerDisconnected,
    RawRequest,
    RequestHandler,
)
from damasklead.gateway.calls import Call
from damasklead.gateway.dialect import BadHead
from damasklead.gateway.metrics import GatewayMetrics
from damasklead.gateway.placements import Placement
from damasklead.gateway.refusals import Reason, Refusal
from damasklead.gateway.routing import CallerLimits, RouteKind, RoutingTable
from damasklead.gateway.runparts import GatewayContext
from damasklead.gateway.starting import StartGate
from damasklead.ids import ServiceName

__all__ = ["Forwarder"]

# Sent while no configuration is known; one is read within about this time.
NO_CONFIGURATION_RETRY_SECONDS = 0.5


class _DeadlinePassed(BaseException):
    """The request's time is over; raised in the greenlet that serves it."""


class Forwarder(RequestHandler):
    """
    Answers the requests of one gateway.

    Parameters
    ----------
    context : GatewayContext
    placement_of : callable
        Returns the placement of a service.
    table : callable
        Returns the configuration in force, or ``None`` while none is known.
    metrics : GatewayMetrics
    gate : StartGate
        Passed by each request before anything is decided about it.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        placement_of: Callable[[ServiceName], Placement],
        table: Callable[[], RoutingTable | None],
        metrics: GatewayMetrics,
        gate: StartGate,
    ) -> None:
        self._context = context
        self._placement_of = placement_of
        self._table = table
        self._metrics = metrics
        self._gate = gate
        self._active = 0

    @property
    def active_requests(self) -> int:
        """Requests that are being answered."""
        return self._active

    def limits(self) -> CallerLimits:
        """Return what callers may send at present."""
        table = self._table()
        return CallerLimits() if table is None else table.limits

    def handle(self, request: RawRequest, connection: CallerConnection) -> None:
        """Answer one request on its connection, or abort it."""
        self._active += 1
        try:
            self._gate.wait()
            call = self._admit(request)
            if isinstance(call, Refusal):
                self._refuse_early(call, connection)
            else:
                self._serve(call, connection)
        finally:
            self._active -= 1

    def _admit(self, request: RawRequest) -> Call | Refusal:
        """Decode a request and match it against the configuration."""
        try:
            head = self._context.dialect.decode_head(
                method=request.method, target=request.target, headers=request.headers
            )
        except BadHead as error:
            return Refusal(reason=Reason.BAD_REQUEST, detail=str(error))
        table = self._table()
        if table is None:
            return Refusal(
                reason=Reason.NO_CONFIGURATION,
                attempt=head.attempt,
                retry_after=NO_CONFIGURATION_RETRY_SECONDS,
            )
        route = table.match(head.host, head.target)
        if route is None:
            return Refusal(reason=Reason.NO_ROUTE, attempt=head.attempt)
        workspace = table.workspace_of(head.key) if head.key is not None else None
        if workspace is None and table.needs_keys and not route.public:
            return Refusal(reason=Reason.UNKNOWN_KEY, attempt=head.attempt)
        patience = route.timeout if head.patience is None else head.patience
        tier = route.tier
        if workspace is not None and workspace.tier is not None:
            tier = workspace.tier
        return Call(
            head=head,
            route=route,
            service=route.service_for(head.attempt),
            workspace=workspace,
            arrival=request.arrival,
            deadline=request.arrival + min(patience, route.timeout),
            caller_deadline=request.arrival + patience,
            tier=tier,
            body=request.body,
        )

    def _serve(self, call: Call, connection: CallerConnection) -> None:
        # An order goes on when its caller half-closes: it can't be taken back, and
        # the answer may still be wanted.
        connection.cancel_on_disconnect = call.route.kind is not RouteKind.ONCE
        self._context.budget.record_first(call.service)
        run = ProxiedRequest(
            context=self._context,
            call=call,
            placement=self._placement_of(call.service),
            caller=connection,
        )
        left = call.deadline - self._context.clock.now()
        timer = gevent.Timeout(max(0.0, left), _DeadlinePassed())
        timer.start()
        try:
            refusal = run.forward()
        except _DeadlinePassed:
            refusal = run.handle_timeout()
        except (CallerDisconnected, OSError) as error:
            self._note_gone(call, run, error)
            raise
        finally:
            timer.close()
            run.close()
        if refusal is None:
            self._note_answer(call, run)
        else:
            self._refuse(call, run, refusal, connection)

    def _note_gone(self, call: Call, run: ProxiedRequest, error: BaseException) -> None:
        self._metrics.count_disconnect(call)
        self._context.journal.event(
            "caller-gone",
            request=call.id,
            route=call.route.name,
            replica=run.replica,
            events=run.events,
            cause=repr(error),
            seconds=self._context.clock.now() - call.arrival,
        )

    def _note_answer(self, call: Call, run: ProxiedRequest) -> None:
        seconds = self._context.clock.now() - call.arrival
        self._metrics.count_response(call, run.status, run.first_after)
        self._context.journal.event(
            "answered",
            request=call.id,
            route=call.route.name,
            replica=run.replica,
            status=run.status,
            events=run.events,
            offers=run.offers,
            first=run.first_after,
            target=call.due - call.arrival,
            seconds=seconds,
        )

    def _refuse(
        self,
        call: Call,
        run: ProxiedRequest,
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
            offers=run.offers,
            replica=run.replica,
            events=run.events,
            seconds=self._context.clock.now() - call.arrival,
        )
        if connection.head_sent:
            connection.abort()
        else:
            self._respond(refusal, connection)

    def _refuse_early(self, refusal: Refusal, connection: CallerConnection) -> None:
        """Refuse a request that matches nothing in the configuration."""
        table = self._table()
        self._metrics.count_refusal(None, refusal)
        self._context.journal.event(
            "refused",
            request=refusal.attempt or "unknown",
            reason=refusal.reason.value,
            status=refusal.status,
            detail=refusal.detail,
            configuration=0 if table is None else table.version,
        )
        self._respond(refusal, connection)

    def _respond(self, refusal: Refusal, connection: CallerConnection) -> None:
        headers = self._context.dialect.own_headers(
            attempt=refusal.attempt, retry_after=refusal.retry_after
        )
        connection.send_response(refusal.status, headers, refusal.reason.value.encode())
