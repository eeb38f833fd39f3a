"""
Listeners
=========

The gateway's listening sockets, and the request handlers of its readiness, operators'
and metrics ports.
"""

import math
import socket as standard_socket
import sys
from collections.abc import Callable

import gevent
import msgspec
from gevent import socket
from gevent.server import StreamServer

from damasklead.clock import Clock
from damasklead.descriptor_budget import DescriptorBudget
from damasklead.gateway.caller_closing import UnreadClose
from damasklead.gateway.callers import (
    CallerConnection,
    RawRequest,
    Rejection,
    RequestHandler,
)
from damasklead.gateway.lingering_connections import LingeringConnections
from damasklead.gateway.routing import CallerLimits
from damasklead.gateway.snapshot import SNAPSHOT_PATH
from damasklead.gateway.snapshot_responses import SnapshotResponder
from damasklead.listening_socket import BACKLOG
from damasklead.memory_budget import MemoryAccount, MemoryBudget
from damasklead.util import split_address

__all__ = ["Listener", "ReadyHandler", "StatusHandler"]

DRAIN_POLL_SECONDS = 0.05
# Memory for the bodies of all callers' requests, however small these are.
REQUEST_MEMORY_BYTES = 33_554_432
# Connections accepted in one go where their number is limited; those beyond the limit
# are open until their greenlets run.
MAX_ACCEPTED_AT_ONCE = 8
# Consecutive polls without an open connection after which a drain is complete.
REQUIRED_IDLE_POLLS = 2


class Listener:
    """
    A listening socket whose connections are served by a handler.

    Parameters
    ----------
    address : str
        Address to listen at as ``ip:port``.
    handler : RequestHandler
        Serves the requests.
    clock : Clock
    is_stopping : callable
        Returns whether the process is stopping.
    listening_socket : socket or None
        Socket that already listens; it is used if it is bound to the address.
    account : MemoryAccount or None
        Account of all bytes held for callers; by default one of its own, unlimited.
    get_stall_seconds : callable
        Returns the seconds without an accepted byte after which a caller is
        disconnected; see ``CallerConnection``.
    get_budget : callable
        Returns the limits on connections.
    on_closed : callable or None
        Called with the cause when the connection of a caller is closed or refused.
    on_rejected : callable or None
        Called with each request that is rejected before it is read to its end.
    on_unread_close : callable or None
        Called with each connection that is closed with bytes that were not read.
    """

    def __init__(
        self,
        *,
        address: str,
        handler: RequestHandler,
        clock: Clock,
        is_stopping: Callable[[], bool],
        listening_socket: standard_socket.socket | None = None,
        account: MemoryAccount | None = None,
        get_stall_seconds: Callable[[], float | None] = lambda: None,
        get_budget: Callable[[], DescriptorBudget] = DescriptorBudget,
        on_closed: Callable[[str], None] | None = None,
        on_rejected: Callable[[Rejection], None] | None = None,
        on_unread_close: Callable[[UnreadClose], None] | None = None,
    ) -> None:
        self._on_rejected = on_rejected
        self._on_unread_close = on_unread_close
        self._account = account or MemoryAccount(clock=clock)
        self._get_stall_seconds = get_stall_seconds
        self._get_budget = get_budget
        self._on_closed = on_closed
        self._address = address
        self._listening_socket = listening_socket
        self._handler = handler
        self._clock = clock
        self._is_stopping = is_stopping
        self._server: StreamServer | None = None
        self._connections: set[CallerConnection] = set()
        self._lingering = LingeringConnections(
            clock=clock,
            may_go_on=lambda: not self._account.is_exceeded,
            on_unread_close=on_unread_close,
        )
        self._memory = (
            MemoryBudget(limit_bytes=sys.maxsize)
            if self._account.is_limited
            else MemoryBudget(hard_limit_bytes=REQUEST_MEMORY_BYTES)
        )

    @property
    def connection_count(self) -> int:
        """Number of open connections, without those that linger."""
        return len(self._connections)

    def start(self) -> None:
        """Start to accept connections."""
        listening_socket = self._take_listening_socket()
        if listening_socket is None:
            address = split_address(self._address)
            self._server = StreamServer(address, self._serve, backlog=BACKLOG)
        else:
            self._server = StreamServer(listening_socket, self._serve)
        if self._get_budget().caller_connections < math.inf:
            self._server.max_accept = MAX_ACCEPTED_AT_ONCE
        self._server.start()

    def stop(self) -> None:
        """Stop accepting connections; open ones continue."""
        server, self._server = self._server, None
        if server is not None:
            server.stop(timeout=0)

    def drain(self, *, seconds: float) -> None:
        """
        Stop accepting connections, and wait until the open ones have ended.

        A connection may be missing from the open ones for a moment after it was
        accepted, and looks idle for a moment after a request has arrived.  The drain is
        therefore complete only after ``REQUIRED_IDLE_POLLS`` polls without an open
        connection.

        Parameters
        ----------
        seconds : float
            Maximum time to wait in seconds.
        """
        deadline = self._clock.now() + seconds
        # Closing the socket would reset the connections in its accept queue, so the
        # server first gets the time to accept them.
        gevent.sleep(DRAIN_POLL_SECONDS)
        self.stop()
        idle_polls = 0
        while idle_polls < REQUIRED_IDLE_POLLS and self._clock.now() < deadline:
            self.close_idle()
            gevent.sleep(DRAIN_POLL_SECONDS)
            idle_polls = 0 if self._connections else idle_polls + 1

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def _take_listening_socket(self) -> socket.socket | None:
        """
        Return the socket that already listens, if it is bound to the address.

        A socket that is bound to another address is closed.
        """
        listening_socket, self._listening_socket = self._listening_socket, None
        if listening_socket is None:
            return None
        if listening_socket.getsockname()[:2] != split_address(self._address):
            listening_socket.close()
            return None
        return socket.socket(
            listening_socket.family,
            listening_socket.type,
            fileno=listening_socket.detach(),
        )

    def _make_room(self) -> bool:
        """Close connections beyond the limit; returns whether a new one is served."""
        budget, count = self._get_budget(), len(self._connections) + 1
        # They have got their responses, unlike the connections that are served.
        self._lingering.close_oldest(
            count + len(self._lingering) - budget.closing_threshold
        )
        excess = count - budget.closing_threshold
        if excess <= 0:
            return True
        closing_count = self._account.close_connections(int(excess))
        return closing_count >= excess and count <= budget.caller_connections

    def _serve(self, raw: socket.socket, _peer: object) -> None:
        has_room = self._make_room()
        connection = CallerConnection(
            raw=raw,
            handler=self._handler,
            clock=self._clock,
            is_stopping=self._is_stopping,
            memory=self._memory,
            account=self._account,
            get_stall_seconds=self._get_stall_seconds,
            on_closed=self._on_closed,
            on_rejected=self._on_rejected,
            on_unread_close=self._on_unread_close,
            lingering=self._lingering,
        )
        if not has_room:
            connection.refuse()
            return
        self._connections.add(connection)
        try:
            connection.serve()
        finally:
            self._connections.discard(connection)


class ReadyHandler(RequestHandler):
    """
    Serves the readiness probe of the load balancer.

    Parameters
    ----------
    is_ready : callable
        Returns whether the process can serve requests.
    """

    def __init__(self, *, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def handle(self, request: RawRequest, connection: CallerConnection) -> None:
        """Send status 200 if the process is ready, and 503 otherwise."""
        is_ready = self._is_ready()
        connection.send_response(
            200 if is_ready else 503, [], b"ready" if is_ready else b"not ready"
        )

    def limits(self) -> CallerLimits:
        """Return the default limits."""
        return CallerLimits()


class StatusHandler(RequestHandler):
    """
    Serves metrics at ``/metrics``, snapshots for other gateways at ``/snapshot``, and
    the gateway's state at any other path.

    Parameters
    ----------
    metrics : callable
        Returns the metrics in the Prometheus text format.
    state : callable
        Returns the gateway's state, which is sent as JSON.
    snapshots : SnapshotResponder
        Builds the responses to gateways that fetch a snapshot.
    """

    def __init__(
        self,
        *,
        metrics: Callable[[], bytes],
        state: Callable[[], dict[str, object]],
        snapshots: SnapshotResponder,
    ) -> None:
        self._metrics = metrics
        self._state = state
        self._snapshots = snapshots

    def handle(self, request: RawRequest, connection: CallerConnection) -> None:
        """Send metrics, a snapshot or the state, depending on the path."""
        if request.target == SNAPSHOT_PATH:
            response = self._snapshots.respond(request.headers)
            connection.send_response(response.status, response.headers, response.body)
            return
        if request.target.startswith("/metrics"):
            content_type, body = b"text/plain; version=0.0.4", self._metrics()
        else:
            content_type, body = b"application/json", msgspec.json.encode(self._state())
        connection.send_response(200, [(b"Content-Type", content_type)], body)

    def limits(self) -> CallerLimits:
        """Return the default limits."""
        return CallerLimits()
