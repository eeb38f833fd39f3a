"""
Connections from callers
========================

Reads requests from one connection after the other, hands them to the forwarder, and
writes answers.  The parser is h11's, on gevent's sockets.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Sequence
from enum import Enum
from typing import Any

import gevent
import h11
from gevent import socket

from damasklead.clock import Clock
from damasklead.gateway.calls import Header
from damasklead.gateway.routing import CallerLimits
from damasklead.gateway.sockets import is_readable, set_tcp_options

__all__ = ["CallerConnection", "CallerDisconnected", "RawRequest", "RequestHandler"]

RECEIVE_BYTES = 65_536
# What a caller may send ahead while its request is being answered.
AHEAD_BYTES = 131_072


class CallerDisconnected(BaseException):
    """The caller closed its connection; raised in the greenlet that serves it."""


class _CloseIdle(BaseException):
    """The process closes a connection that is idle."""


class ConnectionState(Enum):
    """What a caller's connection does."""

    IDLE = "idle"
    READING = "reading"
    ANSWERING = "answering"


class RawRequest:
    """
    A request as it was read.

    Attributes
    ----------
    method, target : str
    headers : list
        Names as they were spelled.
    body : bytes
    arrival : float
        Clock reading in seconds when its head was complete.
    """

    def __init__(
        self,
        *,
        method: str,
        target: str,
        headers: list[Header],
        body: bytes,
        arrival: float,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.arrival = arrival


class RequestHandler(ABC):
    """Answers requests."""

    @abstractmethod
    def handle(self, request: RawRequest, connection: "CallerConnection") -> None:
        """Answer one request on its connection, or abort it."""

    @abstractmethod
    def limits(self) -> CallerLimits:
        """Return what callers may send at present."""


class CallerConnection:
    """
    One connection from a caller.

    Parameters
    ----------
    raw : socket
    handler : RequestHandler
    clock : Clock
    stopping : callable
        Whether the process stops, so that no further request is invited.
    """

    def __init__(
        self,
        *,
        raw: socket.socket,
        handler: RequestHandler,
        clock: Clock,
        stopping: Callable[[], bool],
    ) -> None:
        self._socket = raw
        self._handler = handler
        self._clock = clock
        self._stopping = stopping
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=handler.limits().head_bytes
        )
        self._state = ConnectionState.IDLE
        self._idle_wait: Any = None
        self._half_closed = False
        self._head_sent = False
        self.cancel_on_disconnect = True

    @property
    def state(self) -> ConnectionState:
        """What the connection does."""
        return self._state

    @property
    def head_sent(self) -> bool:
        """Whether the present request's answer has begun."""
        return self._head_sent

    def serve(self) -> None:
        """Serve requests until the connection ends."""
        try:
            set_tcp_options(self._socket)
            while self._serve_one():
                pass
        except (CallerDisconnected, OSError):
            pass  # the caller has gone, and there is nobody to answer
        finally:
            self._socket.close()

    def close_if_idle(self) -> None:
        """
        Close the connection if no request is being read or answered.

        A request that has arrived and was not read yet is still read and answered:
        only what comes after it is cut off.
        """
        if self._idle_wait is not None:
            # Does nothing when the wait is already over.
            socket.cancel_wait(self._idle_wait, _CloseIdle())

    def send_response(
        self,
        status: int,
        headers: Sequence[Header],
        body: bytes,
        *,
        close: bool = False,
    ) -> None:
        """Send a whole answer."""
        framed = [*headers, (b"Content-Length", b"%d" % len(body))]
        head = self._render_head(status, framed, close=close)
        data = self._http.send(h11.Data(data=body)) or b""
        end = self._http.send(h11.EndOfMessage()) or b""
        self._socket.sendall(head + data + end)

    def start_response(
        self, status: int, headers: Sequence[Header], data: bytes
    ) -> None:
        """Send the head and the first bytes of an answer whose length is unknown."""
        head = self._render_head(status, headers, close=False)
        self._socket.sendall(head + (self._http.send(h11.Data(data=data)) or b""))

    def send_body_data(self, data: bytes) -> None:
        """Send more of the answer's body."""
        self._socket.sendall(self._http.send(h11.Data(data=data)) or b"")

    def end_response(self) -> None:
        """End the answer as complete."""
        self._socket.sendall(self._http.send(h11.EndOfMessage()) or b"")

    def abort(self) -> None:
        """End the connection so that the answer can't look complete."""
        self._http.send_failed()
        self._socket.close()

    def _render_head(
        self, status: int, headers: Sequence[Header], *, close: bool
    ) -> bytes:
        own = list(headers)
        if close or self._stopping():
            own.append((b"Connection", b"close"))
        self._head_sent = True
        return self._http.send(h11.Response(status_code=status, headers=own)) or b""

    def _serve_one(self) -> bool:
        """Read and answer one request; returns whether another may follow."""
        self._head_sent = False
        self.cancel_on_disconnect = True
        try:
            request = self._read_request()
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint, str(error))
            return False
        except TimeoutError:
            if self._state is ConnectionState.READING:
                self._refuse(408, "the request did not arrive in time")
            return False
        if request is None:
            return False
        self._state = ConnectionState.ANSWERING
        watcher = gevent.spawn(self._watch, gevent.getcurrent())
        try:
            self._handler.handle(request, self)
        finally:
            # Waits for its end: only one greenlet may read from a socket.
            watcher.kill()
        return self._next_cycle()

    def _next_cycle(self) -> bool:
        if self._half_closed or self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE or self._stopping():
            return False
        self._http.start_next_cycle()
        self._state = ConnectionState.IDLE
        return True

    def _read_request(self) -> RawRequest | None:
        """Read a request; ``None`` when the connection ended before one."""
        limits = self._handler.limits()
        if not self._http.trailing_data[0] and not self._wait_idle(limits.idle_seconds):
            return None
        event = self._next_event(limits)
        if isinstance(event, h11.ConnectionClosed):
            return None
        if not isinstance(event, h11.Request):
            raise h11.RemoteProtocolError(f"unexpected {type(event).__name__}")
        arrival = self._clock.now()
        headers = [
            (bytes(name), bytes(value)) for name, value in event.headers.raw_items()
        ]
        _check_framing(event.headers)
        body = self._read_body(limits)
        self._socket.settimeout(None)
        return RawRequest(
            method=event.method.decode("ascii"),
            target=event.target.decode("latin-1"),
            headers=headers,
            body=body,
            arrival=arrival,
        )

    def _wait_idle(self, seconds: float) -> bool:
        """Wait for a request's first byte; returns whether there may be one."""
        wait = self._idle_wait = gevent.get_hub().loop.io(self._socket.fileno(), 1)
        try:
            socket.wait(wait, timeout=seconds, timeout_exc=TimeoutError())
        except (TimeoutError, _CloseIdle):
            return is_readable(self._socket)
        finally:
            self._idle_wait = None
            wait.close()
        return True

    def _read_body(self, limits: CallerLimits) -> bytes:
        if self._http.they_are_waiting_for_100_continue:
            going_on = h11.InformationalResponse(status_code=100, headers=[])
            self._socket.sendall(self._http.send(going_on) or b"")
        parts: list[bytes] = []
        size = 0
        self._socket.settimeout(limits.idle_seconds)
        while True:
            event = self._next_event(limits)
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise CallerDisconnected
            parts.append(bytes(event.data))
            size += len(event.data)
            if size > limits.body_bytes:
                raise h11.RemoteProtocolError("body is too long", 413)

    def _next_event(self, limits: CallerLimits) -> h11.Event:
        begun: float | None = None
        while True:
            event = self._http.next_event()
            if event is h11.PAUSED:
                raise CallerDisconnected
            if isinstance(event, h11.Event):
                return event
            if self._http.trailing_data[0] and begun is None:
                begun = self._begin_reading(limits)
            if begun is not None:
                left = begun + limits.head_seconds - self._clock.now()
                if left <= 0:
                    raise TimeoutError
                self._socket.settimeout(left)
            data = self._socket.recv(RECEIVE_BYTES)
            if begun is None and data and self._http.their_state is h11.IDLE:
                begun = self._begin_reading(limits)
            self._http.receive_data(data)

    def _begin_reading(self, limits: CallerLimits) -> float:
        self._state = ConnectionState.READING
        return self._clock.now()

    def _refuse(self, status: int, detail: str) -> None:
        """Answer what could not be read, if an answer is still possible."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        self.send_response(
            status, [(b"Content-Type", b"text/plain")], detail.encode(), close=True
        )

    def _watch(self, served: gevent.Greenlet) -> None:
        """Notice that the caller closes while its request is being answered."""
        ahead = 0
        while ahead < AHEAD_BYTES:
            try:
                data = self._socket.recv(RECEIVE_BYTES)
            except OSError:
                data = b""
            if not data:
                self._half_closed = True
                if self.cancel_on_disconnect:
                    gevent.kill(served, CallerDisconnected())
                return
            ahead += len(data)
            self._http.receive_data(data)


def _check_framing(headers: Iterable[Header]) -> None:
    """Refuse requests whose length two readers might see differently."""
    names = [name for name, _ in headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise h11.RemoteProtocolError("both a length and a transfer coding")
    if names.count(b"host") != 1:
        raise h11.RemoteProtocolError("not exactly one Host header")
