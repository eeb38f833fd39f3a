"""
Connections to replicas
=======================

Sends one request over one connection and hands out the answer as it arrives.  The
parser is h11's, on gevent's sockets.
"""

import contextlib
from collections import deque
from collections.abc import Sequence

import gevent
import h11
from gevent import socket

from damasklead.clock import Clock
from damasklead.failures import Failure
from damasklead.gateway.calls import Header
from damasklead.gateway.sockets import connect, is_readable

__all__ = ["Connection", "ConnectionPool", "ResponseMemoryBudget", "SendError"]

RECEIVE_BYTES = 65_536
# A connection on the same network opens within milliseconds.
CONNECT_SECONDS = 0.3
# Longer bodies are sent beside reading, since an early answer may leave them unread.
SEND_AT_ONCE_BYTES = 4096
# How long a replica keeps an idle connection that names no time: times are named in
# whole seconds, so it may be less than one.
DEFAULT_IDLE_SECONDS = 0.4
# Part of the time that a replica names within which a connection is used again.
IDLE_FRACTION = 0.6
MAX_IDLE_CONNECTIONS = 16
# Interim answers that may come before the final one.
MAX_INTERIM_ANSWERS = 8
# Longest body of another request's answer that is passed over.
STRAY_ANSWER_BYTES = 1_048_576
# What the bodies of all answers that are being read may take together, and up to which
# size one is let be when they take more.
ANSWERS_BYTES = 25_165_824
SMALL_ANSWER_BYTES = 262_144
# Part of a replica's connections that all gateways together may keep idle; the rest is
# for those in use.
IDLE_SHARE = 0.5


class SendError(Exception):
    """
    An attempt that ended without a whole answer.

    Attributes
    ----------
    failure : Failure
        How it ended.
    """

    def __init__(self, failure: Failure, detail: str) -> None:
        super().__init__(f"{failure.value}: {detail}")
        self.failure = failure


class ResponseMemoryBudget:
    """
    What the bodies of answers take that are being read.

    Load pattern: many replicas at once send bodies that don't end; short answers of
    sound replicas still go through.

    Parameters
    ----------
    limit : int
        Bytes for all of them.

    Attributes
    ----------
    limit : int
    used : int
        Bytes at present.
    """

    def __init__(self, *, limit_bytes: int = ANSWERS_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def must_drop(self, size: int) -> bool:
        """Tell whether a body that has grown to a size has to be given up."""
        return self.used_bytes > self.limit_bytes and size > SMALL_ANSWER_BYTES


class Connection:
    """
    One connection to a replica, for one request at a time.

    Parameters
    ----------
    address : str
    raw : socket
    """

    def __init__(self, *, address: str, raw: socket.socket) -> None:
        self._address = address
        self._socket = raw
        self._http = h11.Connection(h11.CLIENT)
        self._writer: gevent.Greenlet | None = None
        self._request: h11.Request | None = None
        self._closed = False

    @property
    def address(self) -> str:
        """The replica's address."""
        return self._address

    @property
    def is_open(self) -> bool:
        """Whether the idle connection is open and nothing has arrived on it."""
        return not self._closed and not is_readable(self._socket)

    @property
    def is_reusable(self) -> bool:
        """Whether another request may follow."""
        if self._closed or (self._writer is not None and not self._writer.ready()):
            return False
        states = self._http.our_state, self._http.their_state
        return states == (h11.DONE, h11.DONE) and not self._http.trailing_data[0]

    def send_request(
        self, *, method: str, target: str, headers: Sequence[Header], body: bytes
    ) -> None:
        """
        Send a request; a long body goes out beside reading.

        Raises
        ------
        SendError
            ``BROKEN``: parts of it may have arrived.
        """
        framed = list(headers)
        if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            framed.append((b"Content-Length", b"%d" % len(body)))
        request = h11.Request(method=method, target=target, headers=framed)
        self._request = request
        head = self._http.send(request) or b""
        self._http.send(h11.Data(data=body))
        self._http.send(h11.EndOfMessage())
        if len(body) <= SEND_AT_ONCE_BYTES:
            self._send_all(head + body)
        else:
            self._writer = gevent.spawn(self._send_beside, head + body)

    def read_head(self) -> h11.Response:
        """
        Return the head of the answer.

        Raises
        ------
        SendError
            ``BROKEN`` when the connection ends or what arrives is no answer.
        """
        for _ in range(MAX_INTERIM_ANSWERS):
            event = self._next_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise SendError(Failure.BROKEN, f"unexpected {type(event).__name__}")
        raise SendError(Failure.BROKEN, "only interim answers came")

    def set_read_timeout(self, seconds: float | None) -> None:
        """Fail with ``TIMED_OUT`` when nothing at all arrives for so long."""
        self._socket.settimeout(seconds)

    def read_body_data(self) -> bytes:
        """
        Return bytes of the body as they arrive, empty at its end.

        Raises
        ------
        SendError
            ``BROKEN`` when the body ends early.
        """
        while True:
            event = self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return b""
            raise SendError(Failure.BROKEN, f"unexpected {type(event).__name__}")

    def read_body(
        self, *, limit: int, memory: "ResponseMemoryBudget | None" = None
    ) -> bytes:
        """
        Return the whole body.

        Parameters
        ----------
        limit : int
            Longest body in bytes.
        memory : ResponseMemoryBudget or None
            What all bodies that are being read may take together.

        Raises
        ------
        SendError
            ``BROKEN`` when it is too long or ends early.
        """
        parts: list[bytes] = []
        size = 0
        try:
            while data := self.read_body_data():
                parts.append(data)
                size += len(data)
                if memory is not None:
                    memory.used_bytes += len(data)
                if size > limit or (memory is not None and memory.must_drop(size)):
                    raise SendError(Failure.BROKEN, f"body of {size} bytes is too long")
            return b"".join(parts)
        finally:
            if memory is not None:
                memory.used_bytes -= size

    def skip_stray_response(self) -> None:
        """
        Pass over an answer to another request and expect ours after it.

        Raises
        ------
        SendError
            ``CROSSED`` when nothing can follow on this connection.
        """
        assert self._request is not None
        size = 0
        while data := self.read_body_data():
            size += len(data)
            if size > STRAY_ANSWER_BYTES:
                raise SendError(Failure.CROSSED, "another request's answer is too long")
        if self._http.their_state is not h11.DONE:
            raise SendError(Failure.CROSSED, "only another request's answer came")
        rest, ended = self._http.trailing_data
        self._http = h11.Connection(h11.CLIENT)
        self._http.send(self._request)
        # The request went out already; this brings the parser to the same state.
        framed = self._http.our_state is h11.SEND_BODY
        if framed:
            length = dict(self._request.headers).get(b"content-length", b"0")
            self._http.send(h11.Data(data=bytes(int(length))))
            self._http.send(h11.EndOfMessage())
        if rest:
            self._http.receive_data(rest)
        if ended:
            self._http.receive_data(b"")

    def prepare_next_request(self) -> None:
        """Make ready for another request."""
        self.set_read_timeout(None)
        self._http.start_next_cycle()
        self._writer = None

    def close(self) -> None:
        """Close the connection, which also cancels what runs there."""
        if not self._closed:
            self._closed = True
            if self._writer is not None:
                self._writer.kill(block=False)
            self._socket.close()

    def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise SendError(Failure.BROKEN, f"not HTTP: {error}") from error
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise SendError(Failure.BROKEN, "closed before the answer's end")
            if isinstance(event, h11.Event):
                return event
            self._receive()

    def _receive(self) -> None:
        try:
            data = self._socket.recv(RECEIVE_BYTES)
        except TimeoutError as error:
            raise SendError(Failure.TIMED_OUT, "the replica is silent") from error
        except OSError as error:
            raise SendError(Failure.BROKEN, f"receive: {error}") from error
        if not data and self._http.their_state is h11.SEND_RESPONSE:
            raise SendError(Failure.BROKEN, "closed before an answer")
        try:
            self._http.receive_data(data)
        except RuntimeError as error:
            raise SendError(Failure.BROKEN, f"receive: {error}") from error

    def _send_all(self, data: bytes) -> None:
        try:
            self._socket.sendall(data)
        except OSError as error:
            raise SendError(Failure.BROKEN, f"send: {error}") from error

    def _send_beside(self, data: bytes) -> None:
        # A failure shows on the reading side, which may still hold an early answer.
        with contextlib.suppress(OSError):
            self._socket.sendall(data)


class ConnectionPool:
    """
    Idle connections by address.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[str, deque[tuple[float, Connection]]] = {}
        self._opened = 0
        self._max_idle = MAX_IDLE_CONNECTIONS

    @property
    def opened_count(self) -> int:
        """How many connections were opened."""
        return self._opened

    @property
    def max_idle(self) -> int:
        """How many idle connections are kept to one address."""
        return self._max_idle

    def set_idle_limit(self, *, max_connections: int, gateways: int) -> None:
        """
        Keep no more idle connections than this gateway's share.

        Parameters
        ----------
        max_connections : int
            Connections that a replica takes from all gateways together.
        """
        idle_limit = int(IDLE_SHARE * max_connections / max(1, gateways))
        self._max_idle = min(MAX_IDLE_CONNECTIONS, max(1, idle_limit))

    def acquire(self, address: str) -> Connection:
        """
        Return an idle connection that is still good, or a new one.

        Raises
        ------
        SendError
            ``NOT_SENT`` when the replica can't be reached.
        """
        idle = self._idle.get(address)
        now = self._clock.now()
        while idle:
            until, connection = idle.pop()
            if now < until and connection.is_open:
                connection.prepare_next_request()
                return connection
            connection.close()
        try:
            raw = connect(address, timeout=CONNECT_SECONDS)
        except OSError as error:
            raise SendError(Failure.NOT_SENT, f"connect: {error}") from error
        self._opened += 1
        return Connection(address=address, raw=raw)

    def release(self, connection: Connection, *, keep_alive: float | None) -> None:
        """Keep a connection for later if another request may follow on it."""
        if not connection.is_reusable:
            connection.close()
            return
        seconds = (
            DEFAULT_IDLE_SECONDS if keep_alive is None else keep_alive * IDLE_FRACTION
        )
        idle = self._idle.setdefault(connection.address, deque())
        while len(idle) >= self._max_idle:
            idle.popleft()[1].close()
        idle.append((self._clock.now() + seconds, connection))

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for _, connection in self._idle.pop(address, ()):
            connection.close()

    def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        now = self._clock.now()
        for address in list(self._idle):
            idle = self._idle[address]
            while idle and idle[0][0] <= now:
                idle.popleft()[1].close()
            if not idle:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for _, connection in idle:
                connection.close()
        self._idle.clear()
