"""
Connections to replicas
=======================

HTTP/1.1 client connections with a keep-alive pool: sends one request at a time and
yields the response as it arrives.  Parsing is done by h11, I/O by gevent's sockets.
"""

import math
from collections import Counter, deque
from collections.abc import Callable, Sequence
from contextlib import suppress
from io import BytesIO
from itertools import chain
from typing import cast

import gevent
import h11

from damasklead.body_buffer import Body, iterate_pieces
from damasklead.clock import Clock
from damasklead.failures import Failure
from damasklead.gateway.calls import Header
from damasklead.memory_budget import MemoryBudget, MemoryCharge
from damasklead.response_grammar import ChunkHeaderCheck, check_head, check_head_lines
from damasklead.sockets import (
    UNACKNOWLEDGED_TIMEOUT_MS,
    is_given_up,
    is_readable,
    set_user_timeout,
)
from damasklead.tunnels.dialing import Dialer, DirectDialer, Link
from damasklead.turns import TurnBudget
from damasklead.unframed_ends import BodyFlow

__all__ = ["Connection", "ConnectionLimitError", "ConnectionPool", "SendError"]

RECEIVE_BYTES = 65_536
# Longer request bodies are sent in a greenlet of their own while the response is read:
# a replica may respond early and leave the rest of the body unread.
MAX_BLOCKING_SEND_BYTES = 4096
# Bytes of a long body that are passed to the system at once.
MAX_SEND_BYTES = 65_536
# Assumed keep-alive timeout of a replica that states none.  The header has whole
# seconds, so a replica that omits it may use less than one.
DEFAULT_KEEP_ALIVE_SECONDS = 0.4
# An idle connection is reused within this fraction of the replica's keep-alive timeout.
KEEP_ALIVE_FRACTION = 0.6
# Idle connections to one address; fewer when many gateways share a replica.
MAX_IDLE_CONNECTIONS = 16
# Interim (1xx) responses that are accepted before the final one.
MAX_INTERIM_RESPONSES = 8
# Longest body of a response to another request that is skipped.
MAX_STRAY_BODY_BYTES = 1_048_576
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
# Statuses of responses without a body, whatever their heads say.
_BODILESS_STATUSES = frozenset({204, 304})
# Fraction of a replica's connection limit that all gateways together may keep idle; the
# rest is for connections in use.
IDLE_CONNECTION_FRACTION = 0.5
# Longest description of a failure, which may contain what a replica sent.
MAX_DETAIL_CHARACTERS = 200


class SendError(Exception):
    """
    An attempt that ended without a complete response.

    Attributes
    ----------
    failure : Failure
        How the attempt ended.
    """

    def __init__(self, failure: Failure, detail: str) -> None:
        super().__init__(f"{failure.value}: {detail[:MAX_DETAIL_CHARACTERS]}")
        self.failure = failure


class ConnectionLimitError(SendError):
    """No further connection may be opened; no failure of the replica."""


class Connection:
    """
    A connection to a replica, for one request at a time.

    Parameters
    ----------
    address : str
        ``ip:port`` of the replica.
    link : Link
        The open TCP connection.
    clock : Clock
        Measures interruptions of bodies.
    on_close : callable
        Called when the connection is closed.
    get_stall : callable
        Returns for how many seconds this process stood still lately, 0 if that ended
        before the clock time that it is called with.

    Attributes
    ----------
    incarnation : int or None
        Start of the replica at the other end, in milliseconds of Unix time, as it has
        reported it on this connection; ``None`` if it was not asked.
    listed_incarnation : int or None
        Start that the list named when the connection was first used.
    keep_alive : float or None
        Seconds for which the replica keeps it open when idle, if it has stated them.
    opened_at, sent_at : float
        Clock times in seconds at which the connection was opened, and at which the
        latest request began to be sent.
    """

    def __init__(
        self,
        *,
        address: str,
        link: Link,
        clock: Clock,
        on_close: Callable[[], None] = lambda: None,
        get_stall: Callable[[float], float] = lambda _: 0.0,
    ) -> None:
        self._clock = clock
        self._get_stall = get_stall
        self.listed_incarnation: int | None = None
        self.keep_alive: float | None = None
        self.opened_at = self.sent_at = clock.now()
        self._flow = BodyFlow(started_at=self.opened_at)
        self.incarnation: int | None = None
        self._on_close = on_close
        self._address = address
        self._link = link
        self._socket = link.raw
        self._http = h11.Connection(h11.CLIENT)
        self._turn = TurnBudget()
        self._unread_data = b""
        self._writer: gevent.Greenlet | None = None
        self._reset_error: OSError | None = None
        self._request: h11.Request | None = None
        self._is_sent = True
        self._closed = False
        self._has_ended = False
        self._is_unframed = False
        self._is_reused = False
        self._is_skipping = False
        self._chunk_check: ChunkHeaderCheck | None = None
        self._body_length: int | None = None
        self._receive_bytes = RECEIVE_BYTES

    @property
    def address(self) -> str:
        """The replica's address as ``ip:port``."""
        return self._address

    @property
    def is_open(self) -> bool:
        """Whether an idle connection is open and has received no unexpected data."""
        return not self._closed and not is_readable(self._socket)

    @property
    def is_usable(self) -> bool:
        """Whether the way to the replica, as far as it is known, still works."""
        return self._link.is_usable

    @property
    def is_tunnel(self) -> bool:
        """Whether the connection goes through another gateway."""
        return self._link.is_tunnel

    @property
    def has_ended(self) -> bool:
        """Whether the replica has closed or reset the connection."""
        return self._has_ended

    @property
    def is_reused(self) -> bool:
        """Whether earlier requests were sent on this connection."""
        return self._is_reused

    @property
    def is_unframed(self) -> bool:
        """Whether the end of the connection delimited the response's body."""
        return self._is_unframed and self._has_ended

    @property
    def is_interrupted(self) -> bool:
        """Whether the body was interrupted shortly before its present end."""
        return self._flow.is_interrupted

    @property
    def is_reusable(self) -> bool:
        """
        Whether another request may be sent on this connection.

        The replica may have responded before it has read the request to its end, and
        would read the next one as the rest of it.
        """
        if self._closed or not self._is_sent:
            return False
        states = self._http.our_state, self._http.their_state
        if states == (h11.IDLE, h11.IDLE):
            return True
        return states == (h11.DONE, h11.DONE) and not self._http.trailing_data[0]

    @property
    def has_whole_response(self) -> bool:
        """Whether the response has arrived to its end."""
        return self._http.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    @property
    def body_length(self) -> int | None:
        """Length of the response's body in bytes, if its head states one."""
        return self._body_length

    def limit_receive(self, size: int) -> None:
        """Receive at most some bytes of the present response at once."""
        self._receive_bytes = size

    def send_request(
        self, *, method: str, target: str, headers: Sequence[Header], body: Body
    ) -> None:
        """
        Send a request; a long body is sent in the background, and not copied.

        Raises
        ------
        SendError
            ``BROKEN`` when sending fails; the replica may have received a part.
        """
        framed_headers = list(headers)
        if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            framed_headers.append((b"Content-Length", b"%d" % len(body)))
        request = h11.Request(method=method, target=target, headers=framed_headers)
        self._request = request
        head = self._http.send(request) or b""
        self._record_body(len(body))
        self._is_sent = False
        self.sent_at = self._clock.now()
        self._link.record_sent()
        if len(body) <= MAX_BLOCKING_SEND_BYTES:
            self._send_all(b"".join([head, *iterate_pieces(body)]))
        else:
            # A replica may leave a long body unread until it has a slot; the caller's
            # deadline ends that.
            set_user_timeout(self._socket, 0)
            self._writer = gevent.spawn(self._send_in_background, head, body)

    def read_head(self) -> h11.Response:
        """
        Return the head of the final response.

        Raises
        ------
        SendError
            ``BROKEN`` when the connection ends or the data is no HTTP response.
        """
        if self._is_skipping:
            self.skip_stray_response()
        for _ in range(MAX_INTERIM_RESPONSES):
            event = self._next_event()
            if isinstance(event, h11.Response):
                names = {name for name, _ in event.headers}
                self._is_unframed = names.isdisjoint(_FRAMING_HEADERS)
                self._body_length = _get_body_length(event)
                self._flow = BodyFlow(
                    started_at=self._clock.now(),
                    stalled_seconds=self._get_stall(self.sent_at),
                )
                self._restore_user_timeout()
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise SendError(Failure.BROKEN, f"unexpected {type(event).__name__}")
        raise SendError(Failure.BROKEN, "received only interim responses")

    def set_read_timeout(self, seconds: float | None) -> None:
        """Make reads fail with ``TIMED_OUT`` after some seconds without any data."""
        self._socket.settimeout(seconds)

    def read_body_data(self, *, max_bytes: int = RECEIVE_BYTES) -> bytes:
        """
        Return the next bytes of the body; empty at its end.

        Parameters
        ----------
        max_bytes : int
            Largest number of bytes to return.

        Raises
        ------
        SendError
            ``BROKEN`` when the connection ends before the body does.
        """
        data = self._unread_data or self._receive_body_data()
        self._unread_data = data[max_bytes:]
        return data[:max_bytes]

    def push_back(self, data: bytes) -> None:
        """Let bytes of the body be read again."""
        self._unread_data = data + self._unread_data

    def _receive_body_data(self) -> bytes:
        event = self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b""
        raise SendError(Failure.BROKEN, f"unexpected {type(event).__name__}")

    def read_body(self, *, limit: int, memory: MemoryBudget | None = None) -> bytes:
        """
        Return the complete body.

        Parameters
        ----------
        limit : int
            Longest body in bytes.
        memory : MemoryBudget or None
            Budget that the body is charged to while it is being read.

        Raises
        ------
        SendError
            ``BROKEN`` when the body is too long or the connection ends before it does.
        """
        body = BytesIO()
        with MemoryCharge(budget=memory or MemoryBudget()) as charge:
            while data := self.read_body_data():
                body.write(data)
                if not charge.add(len(data)) or body.tell() > limit:
                    raise SendError(
                        Failure.BROKEN, f"body of {body.tell()} bytes is too long"
                    )
            return body.getvalue()

    def skip_stray_response(self) -> None:
        """
        Read and drop the rest of a response to another request, then expect the
        response to the present one.

        Raises
        ------
        SendError
            ``MISMATCHED`` when no further response can follow on this connection.
        """
        assert self._request is not None
        # A timeout of the reader may end this; it goes on with the next head.
        self._is_skipping = True
        size = 0
        while data := self.read_body_data():
            size += len(data)
            if size > MAX_STRAY_BODY_BYTES:
                raise SendError(
                    Failure.MISMATCHED, "a response to another request is too long"
                )
        if self._http.their_state is not h11.DONE:
            raise SendError(
                Failure.MISMATCHED, "received only a response to another request"
            )
        remaining_data, ended = self._http.trailing_data
        self._is_skipping = False
        self._http = h11.Connection(h11.CLIENT)
        self._http.send(self._request)
        # The request was already sent; replaying it sets the new parser's state.
        has_body = self._http.our_state is h11.SEND_BODY
        if has_body:
            length = dict(self._request.headers).get(b"content-length", b"0")
            self._record_body(int(length))
        if remaining_data:
            self._http.receive_data(remaining_data)
        if ended:
            self._http.receive_data(b"")

    def prepare_next_request(self, *, is_reuse: bool = True) -> None:
        """
        Reset the connection's state for another request.

        Parameters
        ----------
        is_reuse : bool
            Whether a late response to the request before could be taken for that of
            the next one.
        """
        self.set_read_timeout(None)
        self._restore_user_timeout()
        self._receive_bytes = RECEIVE_BYTES
        if self._http.our_state is not h11.IDLE:
            self._http.start_next_cycle()
            self._is_reused = self._is_reused or is_reuse
        self._writer = None

    def close(self) -> None:
        """Close the connection, which cancels a request that runs on the replica."""
        if not self._closed:
            self._closed = True
            self._on_close()
            if self._writer is not None:
                self._writer.kill(block=False)
            self._socket.close()

    def _record_body(self, size: int) -> None:
        """Let the parser know that a body was sent; it needs only the length."""
        unread = cast(bytes, range(size))
        self._http.send_with_data_passthrough(h11.Data(data=unread))
        self._http.send(h11.EndOfMessage())

    def _restore_user_timeout(self) -> None:
        """Limit the wait for acknowledgements again, once a long body was sent."""
        if self._writer is not None and self._is_sent:
            with suppress(OSError):  # the connection may have ended
                set_user_timeout(self._socket, UNACKNOWLEDGED_TIMEOUT_MS)

    def _next_event(self) -> h11.Event:
        received_bytes = 0
        while True:
            self._turn.spend(size=received_bytes)
            try:
                event = self._parse()
            except h11.RemoteProtocolError as error:
                raise SendError(Failure.BROKEN, f"not HTTP: {error}") from error
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise SendError(Failure.BROKEN, "closed before the end of the response")
            if isinstance(event, h11.Event):
                return event
            received_bytes = self._receive()

    def _parse(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the parser's next event; raises ``h11.RemoteProtocolError``."""
        if self._http.their_state is h11.SEND_RESPONSE:
            check_head_lines(self._http.trailing_data[0])
        event = self._http.next_event()
        if isinstance(event, h11.Response | h11.InformationalResponse):
            check_head(event)
        if isinstance(event, h11.Response):
            self._chunk_check = ChunkHeaderCheck() if self._is_chunked(event) else None
            self._check_chunk_headers(self._http.trailing_data[0])
        return event

    def _is_chunked(self, head: h11.Response) -> bool:
        if head.status_code in _BODILESS_STATUSES:
            return False
        if self._request is not None and self._request.method == b"HEAD":
            return False
        return any(name == b"transfer-encoding" for name, _ in head.headers)

    def _check_chunk_headers(self, data: bytes) -> None:
        """Check data of a body; raises ``h11.RemoteProtocolError``."""
        if self._chunk_check is not None and self._http.their_state is h11.SEND_BODY:
            self._chunk_check.check(data)

    def _receive(self) -> int:
        """Receive data once and pass it to the parser; returns its length."""
        waited_since = self._clock.now()
        try:
            data = self._socket.recv(self._receive_bytes)
        except OSError as error:
            if isinstance(error, TimeoutError) and not is_given_up(error):
                raise SendError(
                    Failure.TIMED_OUT, "no data within the timeout"
                ) from error
            self._record_end()
            raise SendError(Failure.BROKEN, f"receive: {error}") from error
        self._flow.record(waited_since=waited_since, received_at=self._clock.now())
        if data:
            self._link.record_data()
        else:
            self._record_end()
        if not data and self._reset_error is not None:
            # A socket reports a reset once, here to the greenlet that sends the body;
            # the end would look like an orderly one.
            raise SendError(Failure.BROKEN, f"send: {self._reset_error}")
        if not data and self._http.their_state is h11.SEND_RESPONSE:
            raise SendError(Failure.BROKEN, "closed before a response")
        try:
            self._check_chunk_headers(data)
            self._http.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise SendError(Failure.BROKEN, f"not HTTP: {error}") from error
        except RuntimeError as error:
            raise SendError(Failure.BROKEN, f"receive: {error}") from error
        return len(data)

    def _record_end(self) -> None:
        self._has_ended = True
        self._link.record_end()

    def _send_all(self, data: bytes) -> None:
        try:
            self._socket.sendall(data)
        except OSError as error:
            self._record_end()
            raise SendError(Failure.BROKEN, f"send: {error}") from error
        self._is_sent = True

    def _send_in_background(self, head: bytes, body: Body) -> None:
        pieces = iterate_pieces(body)
        first = next(pieces)
        # Only the first bytes are copied, to be sent together with the head.
        start = b"".join([head, first[:MAX_SEND_BYTES]])
        turn = TurnBudget()
        if self._send_piece(memoryview(start), turn) and all(
            self._send_piece(piece, turn)
            for piece in chain([first[MAX_SEND_BYTES:]], pieces)
        ):
            self._is_sent = True

    def _send_piece(self, unsent: memoryview, turn: TurnBudget) -> bool:
        """Send all bytes of a piece; returns whether the connection has not ended."""
        while unsent:
            try:
                sent_bytes = self._socket.send(unsent[:MAX_SEND_BYTES])
            except BrokenPipeError:
                # The replica has ended its side in order, and left the rest unread.
                return False
            except OSError as error:
                if isinstance(error, TimeoutError) and not is_given_up(error):
                    # The timeout is that of the reader, and nothing was sent.
                    continue
                # An early response may still arrive, so the reader reports it.
                self._reset_error = error
                return False
            unsent = unsent[sent_bytes:]
            turn.spend(size=sent_bytes)
        return True


def _get_body_length(head: h11.Response) -> int | None:
    """Return the length that a head states; a transfer coding takes precedence."""
    headers = dict(head.headers)
    if b"transfer-encoding" in headers or b"content-length" not in headers:
        return None
    return int(headers[b"content-length"])


class ConnectionPool:
    """
    Pool of idle keep-alive connections, by address.

    Parameters
    ----------
    clock : Clock
        Measures how long connections have been idle.
    get_max_connections : callable
        Returns the largest number of open connections, idle ones included.
    dialer : Dialer or None
        Opens the connections; by default directly.
    get_stall : callable
        See ``Connection``.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        get_max_connections: Callable[[], float] = lambda: math.inf,
        dialer: Dialer | None = None,
        get_stall: Callable[[float], float] = lambda _: 0.0,
    ) -> None:
        self._get_stall = get_stall
        self._dialer = dialer or DirectDialer()
        self._clock = clock
        self._get_max_connections = get_max_connections
        self._open_count = 0
        self._open_counts: Counter[str] = Counter()
        self._idle: dict[str, deque[tuple[float, Connection]]] = {}
        self._opened = 0
        self._max_idle = MAX_IDLE_CONNECTIONS

    @property
    def opened_count(self) -> int:
        """Number of connections opened since the start."""
        return self._opened

    @property
    def max_idle(self) -> int:
        """Largest number of idle connections to one address."""
        return self._max_idle

    def set_idle_limit(self, *, max_connections: int, gateways: int) -> None:
        """
        Limit the idle connections to this gateway's share of a replica's connections.

        Parameters
        ----------
        max_connections : int
            Connections that a replica accepts from all gateways together.
        gateways : int
            Number of gateways that share them.
        """
        idle_limit = int(IDLE_CONNECTION_FRACTION * max_connections / max(1, gateways))
        self._max_idle = min(MAX_IDLE_CONNECTIONS, max(1, idle_limit))

    def acquire(self, address: str) -> Connection:
        """
        Return an idle connection that is still open, or open a new one.

        Raises
        ------
        SendError
            ``NOT_SENT`` when the connection can't be opened.
        ConnectionLimitError
            When all connections that may be open are in use.
        """
        return self.take_idle(address) or self.open(address)

    def take_idle(
        self, address: str, *, opened_before: float = math.inf
    ) -> Connection | None:
        """
        Return the idle connection that was used last, ``None`` if none can be used.

        Parameters
        ----------
        address : str
        opened_before : float
            Clock time in seconds before which it must have been opened.
        """
        idle = self._idle.get(address, deque())
        now = self._clock.now()
        for item in reversed(list(idle)):
            expires_at, connection = item
            if now < expires_at and connection.is_usable and connection.is_open:
                if connection.opened_at < opened_before:
                    idle.remove(item)
                    connection.prepare_next_request()
                    return connection
                continue
            idle.remove(item)
            connection.close()
        return None

    def ensure_idle(self, address: str) -> None:
        """Have an idle connection to an address; raises ``SendError`` as ``open``."""
        now = self._clock.now()
        for expires_at, connection in self._idle.get(address, ()):
            if now < expires_at and connection.is_usable and connection.is_open:
                return
        self.release(self.open(address), keep_alive=None)

    def open(self, address: str) -> Connection:
        """
        Open a new connection.

        Raises
        ------
        SendError
            ``NOT_SENT`` when that fails.
        ConnectionLimitError
            When all connections that may be open are in use.
        """
        self._make_room()
        self._open_count += 1
        try:
            link = self._dialer.dial(address)
        except BaseException as error:
            self._open_count -= 1
            if not isinstance(error, OSError):
                raise
            raise SendError(Failure.NOT_SENT, f"connect: {error}") from error
        self._opened += 1
        return self._make_connection(address, link)

    def adopt(self, address: str, link: Link) -> Connection:
        """
        Return the connection over a link that was opened elsewhere.

        Raises
        ------
        ConnectionLimitError
            When none may be open.
        """
        self._make_room()
        self._open_count += 1
        return self._make_connection(address, link)

    def has_open(self, address: str) -> bool:
        """
        Return whether a connection to an address is open.

        One that carries a request counts until its end is noticed.
        """
        idle = self._idle.get(address, ())
        if self._open_counts[address] > len(idle):
            return True
        return any(item.is_usable and item.is_open for _, item in idle)

    def release(self, connection: Connection, *, keep_alive: float | None) -> None:
        """
        Return a connection to the pool, or close it if it can't be reused.

        Parameters
        ----------
        connection : Connection
        keep_alive : float or None
            Seconds that the replica keeps the connection open when idle; ``None`` if
            it stated none, 0 if it closes the connection.
        """
        if not connection.is_reusable:
            connection.close()
            return
        connection.keep_alive = keep_alive
        seconds = (
            DEFAULT_KEEP_ALIVE_SECONDS
            if keep_alive is None
            else keep_alive * KEEP_ALIVE_FRACTION
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
        """Close connections that are past their keep-alive time."""
        now = self._clock.now()
        for address in list(self._idle):
            idle = self._idle[address]
            while idle and idle[0][0] <= now:
                idle.popleft()[1].close()
            if not idle:
                del self._idle[address]

    def close_unusable(self) -> None:
        """Close the idle connections that must not be used any more."""
        for address, idle in list(self._idle.items()):
            usable = deque(item for item in idle if item[1].is_usable)
            for _, connection in idle:
                if not connection.is_usable:
                    connection.close()
            if usable:
                self._idle[address] = usable
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for _, connection in idle:
                connection.close()
        self._idle.clear()

    @property
    def open_count(self) -> int:
        """Number of open connections, idle ones included."""
        return self._open_count

    def _make_room(self) -> None:
        """
        Close the idle connections that exceed the limit with a further one.

        Raises
        ------
        ConnectionLimitError
            When too few of the connections are idle.
        """
        excess = self._open_count + 1 - self._get_max_connections()
        for address in list(self._idle):
            idle = self._idle[address]
            while idle and excess > 0:
                idle.popleft()[1].close()
                excess -= 1
            if not idle:
                del self._idle[address]
        if excess > 0:
            raise ConnectionLimitError(
                Failure.NOT_SENT, "too many connections to replicas"
            )

    def _record_close(self, address: str) -> None:
        self._open_count -= 1
        self._open_counts[address] -= 1
        if not self._open_counts[address]:
            del self._open_counts[address]

    def _make_connection(self, address: str, link: Link) -> Connection:
        self._open_counts[address] += 1
        return Connection(
            address=address,
            link=link,
            clock=self._clock,
            on_close=lambda: self._record_close(address),
            get_stall=self._get_stall,
        )
