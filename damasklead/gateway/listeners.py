"""
Listeners
=========

The gateway's listening sockets, and the answers of the ports that serve no callers.
"""

import socket as standard_socket
from collections.abc import Callable

import gevent
import msgspec
from gevent import socket
from gevent.server import StreamServer

from damasklead.clock import Clock
from damasklead.earlylistener import BACKLOG
from damasklead.gateway.callers import (
    CallerConnection,
    RawRequest,
    RequestHandler,
)
from damasklead.gateway.routing import CallerLimits
from damasklead.gateway.snapshot import SNAPSHOT_PATH, Snapshot
from damasklead.util import split_address

__all__ = ["Listener", "ReadyHandler", "StatusHandler"]

POLL_SECONDS = 0.05
# Polls without an open connection after which none is to come any more.
QUIET_POLLS = 2


class Listener:
    """
    A listening socket whose connections are served by a handler.

    Parameters
    ----------
    address : str
        ``ip:port``.
    handler : RequestHandler
    clock : Clock
    stopping : callable
        Whether the process stops.
    listening_socket : socket or None
        Listens at the address already.
    """

    def __init__(
        self,
        *,
        address: str,
        handler: RequestHandler,
        clock: Clock,
        stopping: Callable[[], bool],
        listening_socket: standard_socket.socket | None = None,
    ) -> None:
        self._address = address
        self._listening_socket = listening_socket
        self._handler = handler
        self._clock = clock
        self._stopping = stopping
        self._server: StreamServer | None = None
        self._connections: set[CallerConnection] = set()

    @property
    def connection_count(self) -> int:
        """Connections that have not ended."""
        return len(self._connections)

    def start(self) -> None:
        """Listen."""
        early = self._take_early()
        if early is None:
            address = split_address(self._address)
            self._server = StreamServer(address, self._serve, backlog=BACKLOG)
        else:
            self._server = StreamServer(early, self._serve)
        self._server.start()

    def stop(self) -> None:
        """Take no further connections; those that are open go on."""
        server, self._server = self._server, None
        if server is not None:
            server.stop(timeout=0)

    def drain(self, *, seconds: float) -> None:
        """
        Take no further connections, and wait until those that are open have ended.

        One that was just accepted, or whose request has just arrived, looks idle for a
        moment, so the end counts only when nothing has been open for some polls.

        Parameters
        ----------
        seconds : float
            The longest time to wait.
        """
        deadline = self._clock.now() + seconds
        # Connections that wait to be accepted would be reset by the end of listening.
        gevent.sleep(POLL_SECONDS)
        self.stop()
        quiet = 0
        while quiet < QUIET_POLLS and self._clock.now() < deadline:
            self.close_idle()
            gevent.sleep(POLL_SECONDS)
            quiet = 0 if self._connections else quiet + 1

    def close_idle(self) -> None:
        """Close the connections on which no request is under way."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def _take_early(self) -> socket.socket | None:
        """Return the socket that listens already, if it does so at the address."""
        early, self._listening_socket = self._listening_socket, None
        if early is None:
            return None
        if early.getsockname()[:2] != split_address(self._address):
            early.close()
            return None
        return socket.socket(early.family, early.type, fileno=early.detach())

    def _serve(self, raw: socket.socket, _peer: object) -> None:
        connection = CallerConnection(
            raw=raw,
            handler=self._handler,
            clock=self._clock,
            stopping=self._stopping,
        )
        self._connections.add(connection)
        try:
            connection.serve()
        finally:
            self._connections.discard(connection)


class ReadyHandler(RequestHandler):
    """Says whether the process can take requests."""

    def __init__(self, *, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def handle(self, request: RawRequest, connection: CallerConnection) -> None:
        """Answer 200 or 503."""
        is_ready = self._is_ready()
        connection.send_response(
            200 if is_ready else 503, [], b"ready" if is_ready else b"not ready"
        )

    def limits(self) -> CallerLimits:
        """Return the default limits."""
        return CallerLimits()


class StatusHandler(RequestHandler):
    """
    Shows operators the metrics at ``/metrics`` and the state anywhere else, and other
    gateways what this one knows.

    Parameters
    ----------
    metrics : callable
        Returns the exposition text.
    state : callable
        Returns what operators are shown.
    snapshot : callable
        Returns what this gateway knows; ``None`` while that is nothing.
    """

    def __init__(
        self,
        *,
        metrics: Callable[[], bytes],
        state: Callable[[], dict[str, object]],
        snapshot: Callable[[], Snapshot | None],
    ) -> None:
        self._metrics = metrics
        self._state = state
        self._snapshot = snapshot

    def handle(self, request: RawRequest, connection: CallerConnection) -> None:
        """Answer a question of an operator."""
        if request.target == SNAPSHOT_PATH:
            self._answer_snapshot(connection)
            return
        if request.target.startswith("/metrics"):
            kind, body = b"text/plain; version=0.0.4", self._metrics()
        else:
            kind, body = b"application/json", msgspec.json.encode(self._state())
        connection.send_response(200, [(b"Content-Type", kind)], body)

    def _answer_snapshot(self, connection: CallerConnection) -> None:
        snapshot = self._snapshot()
        if snapshot is None:
            connection.send_response(503, [], b"nothing is known yet")
            return
        headers = [(b"Content-Type", b"application/msgpack")]
        connection.send_response(200, headers, msgspec.msgpack.encode(snapshot))

    def limits(self) -> CallerLimits:
        """Return the default limits."""
        return CallerLimits()
