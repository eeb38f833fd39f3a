"""
Lingering connections
=====================

Connections of callers that are closed while their last response is still queued.  The
kernel drops the rest if such a caller sends anything after the close, so that they are
closed when the caller has acknowledged all of it.

Load pattern: a reload or a stop closes all connections at once, and some callers read
slowly.  Connections are limited in number and time; those beyond are closed with the
response queued.
"""

import math
from collections import deque
from collections.abc import Callable
from contextlib import suppress

import gevent
import msgspec
from gevent import socket

from damasklead.clock import Clock
from damasklead.gateway.caller_closing import UnreadClose, find_unread
from damasklead.sockets import count_unsent_bytes

__all__ = ["LingeringConnections"]

MAX_CONNECTIONS = 64
MAX_SECONDS = 15.0
# Interval at which it is checked what callers have sent and acknowledged.
POLL_SECONDS = 0.1
# Bytes of one caller that are dropped in one go.
RECEIVE_BYTES = 65_536


class _Lingering(msgspec.Struct, kw_only=True, eq=False):
    """
    A connection on which nothing is sent any more.

    Attributes
    ----------
    raw : socket
    request : str
        Id of the last request.
    request_count : int
        Requests that were served on it.
    closes_at : float
        Clock reading at which it is closed in any case.
    """

    raw: socket.socket
    request: str
    request_count: int
    closes_at: float

    def is_done(self) -> bool:
        """
        Drop what the caller has sent; return whether nothing is queued for it, or
        nothing more can come from it.
        """
        try:
            with suppress(BlockingIOError):
                if not self.raw.recv(RECEIVE_BYTES):
                    return True
            return not count_unsent_bytes(self.raw)
        except OSError:
            return True


class LingeringConnections:
    """
    Closes connections when their callers have acknowledged the last response.

    Parameters
    ----------
    clock : Clock
    may_go_on : callable
        Returns whether connections may stay open.
    on_unread_close : callable or None
        Called with each connection that is closed with bytes that were not read.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        may_go_on: Callable[[], bool] = lambda: True,
        on_unread_close: Callable[[UnreadClose], None] | None = None,
    ) -> None:
        self._clock = clock
        self._may_go_on = may_go_on
        self._on_unread_close = on_unread_close
        self._connections: deque[_Lingering] = deque()
        self._task: gevent.Greenlet | None = None

    def __len__(self) -> int:
        return len(self._connections)

    def close(self, raw: socket.socket, *, request: str, request_count: int) -> None:
        """
        Close a connection, at once if nothing is queued for its caller.

        Parameters
        ----------
        raw : socket
            A connection on which complete responses were sent.
        request : str
            Id of the last request, for the log.
        request_count : int
            Requests that were served on it.
        """
        # The server closes the socket of a connection that was served.
        detached = socket.socket(raw.family, raw.type, fileno=raw.detach())
        connection = _Lingering(
            raw=detached,
            request=request,
            request_count=request_count,
            closes_at=self._clock.now() + MAX_SECONDS,
        )
        try:
            detached.shutdown(socket.SHUT_WR)
            detached.settimeout(0.0)
        except OSError:
            self._close(connection)
            return
        if connection.is_done() or not self._may_go_on():
            self._close(connection)
            return
        self.close_oldest(len(self._connections) + 1 - MAX_CONNECTIONS)
        self._connections.append(connection)
        if self._task is None:
            self._task = gevent.spawn(self._run)

    def close_oldest(self, count: float = math.inf) -> None:
        """Close connections, and leave their responses to the kernel."""
        while self._connections and count > 0:
            count -= 1
            self._close(self._connections.popleft())

    def _run(self) -> None:
        """Check the connections until there are none."""
        try:
            while self._connections:
                gevent.sleep(POLL_SECONDS)
                self._check()
        finally:
            self._task = None

    def _check(self) -> None:
        if not self._may_go_on():
            self.close_oldest()
        now = self._clock.now()
        for _ in range(len(self._connections)):
            connection = self._connections.popleft()
            if connection.is_done() or now >= connection.closes_at:
                self._close(connection)
            else:
                self._connections.append(connection)

    def _close(self, connection: _Lingering) -> None:
        if self._on_unread_close is not None:
            unread = find_unread(
                connection.raw,
                request=connection.request,
                request_count=connection.request_count,
            )
            if unread is not None:
                self._on_unread_close(unread)
        with suppress(OSError):
            connection.raw.close()
