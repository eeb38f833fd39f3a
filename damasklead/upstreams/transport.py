"""
Connections to upstreams
========================

Sends requests over pooled HTTP connections and reads the bodies of responses in chunks
as they arrive.

The parser is that of ``geventhttpclient``. Its client is not used, because it sends a
request again when a pooled connection turns out to be closed, which could execute the
request twice.
"""

import math
import weakref
from collections import deque
from collections.abc import Callable, Iterable
from io import BytesIO

from gevent import socket
from geventhttpclient.response import HEADER_STATE_INIT, HTTPResponse

from damasklead.clock import Clock
from damasklead.loop import LoopClock
from damasklead.memory_budget import BODY_MEMORY_BYTES, MemoryBudget, MemoryCharge
from damasklead.rate_limits import parse_rate_limit
from damasklead.requests import Failure
from damasklead.response_grammar import (
    MAX_STATUS,
    MIN_STATUS,
    PROTOCOL_VERSIONS,
    check_status_line,
)
from damasklead.sockets import is_given_up
from damasklead.tunnels.dialing import Dialer, DirectDialer, Link
from damasklead.turns import TurnBudget
from damasklead.unframed_ends import BodyFlow
from damasklead.util import split_address

__all__ = [
    "RATE_LIMIT_HEADER",
    "ConnectionPool",
    "UpstreamError",
    "UpstreamResponse",
    "connect_to_upstream",
    "send_request",
]

CONNECT_TIMEOUT_SECONDS = 0.5
RECEIVE_BYTES = 65_536
# Received bytes that are parsed at once.
MAX_PARSED_BYTES = 8_192
# Longest head, and longest run of chunk headers and trailers between data of a body.
MAX_FRAMING_BYTES = 65_536
RATE_LIMIT_HEADER = "X-Rate-Limit"
MAX_IDLE_CONNECTIONS = 64
# An idle tunnel takes two descriptors of the entry that it goes through.
MAX_IDLE_TUNNELS = 4
MIN_FINAL_STATUS = 200
HEAD_END = b"\r\n\r\n"


class UpstreamError(Exception):
    """
    An attempt that ended without a complete response.

    Attributes
    ----------
    failure : Failure
        Why it ended.
    leaving : bool
        Whether the upstream reported that it is leaving.
    rate_limit : float or None
        Requests per second that the response allows all entries together, if any.
    """

    def __init__(
        self, failure: Failure, detail: str = "", *, leaving: bool = False
    ) -> None:
        super().__init__(detail or failure.value)
        self.failure = failure
        self.leaving = leaving
        self.rate_limit: float | None = None


class _SurplusDataError(Exception):
    """Data that follows a complete response."""


class _InvalidHeadError(Exception):
    """A head that the parser accepts, though it is none of this protocol."""


class _ResponseParser(HTTPResponse):
    """
    Parses one final response and skips the interim ones before it.

    The data of the body is buffered as it is parsed.

    Attributes
    ----------
    status : int
        Status of the last head. The parser's own one changes with surplus data.
    body_parts : list of bytes
        Data of the body that was not taken yet.
    head_count : int
        Number of complete heads, interim ones included.
    """

    def __init__(self, *, method: str) -> None:
        super().__init__(method)
        self.status = 0
        self.body_parts: list[bytes] = []
        self.head_count = 0
        self._is_unframed = False

    def _on_message_begin(self) -> None:
        if self.message_complete:
            raise _SurplusDataError
        super()._on_message_begin()

    def _on_headers_complete(self) -> int | bool | None:
        self.head_count += 1
        self.status = self.get_code()
        if not MIN_STATUS <= self.status <= MAX_STATUS:
            raise _InvalidHeadError(f"status {self.status}")
        version = self.get_http_version().removeprefix("HTTP/")
        if version not in PROTOCOL_VERSIONS:
            raise _InvalidHeadError(f"version {version}")
        is_stop = super()._on_headers_complete()
        if self.status >= MIN_FINAL_STATUS:
            self._check_transfer_coding()
        return is_stop

    def _check_transfer_coding(self) -> None:
        coding = self.get("Transfer-Encoding")
        if coding is not None and str(coding).strip(" \t").lower() != "chunked":
            raise _InvalidHeadError(f"transfer coding {coding}")

    def _on_header_field(self, string: str) -> None:
        # Trailers are no headers.
        if not self.headers_complete:
            super()._on_header_field(string)

    def _on_header_value(self, string: str) -> None:
        if not self.headers_complete:
            super()._on_header_value(string)

    def _on_message_complete(self) -> None:
        if self.status >= MIN_FINAL_STATUS:
            super()._on_message_complete()
            return
        # Prepares for the next head, which the base class does after a final response.
        self.headers_complete = self.message_begun = False
        self._message_ended_in_skip_body = False
        self._headers_index.clear()
        self._header_state = HEADER_STATE_INIT

    def _on_body(self, buf: bytearray) -> None:
        self.body_parts.append(bytes(buf))

    @property
    def is_unframed(self) -> bool:
        """Whether the end of the connection delimited the body."""
        return self._is_unframed

    def end_with_connection(self) -> bool:
        """
        Take the end of the connection as the end of the body, and return whether
        nothing else delimits it.
        """
        self._is_unframed = (
            self.headers_complete
            and "Content-Length" not in self
            and "Transfer-Encoding" not in self
        )
        self.message_complete = self.message_complete or self._is_unframed
        return self._is_unframed

    def take_body_data(self) -> bytes:
        """Return the body data that was parsed since the last call."""
        if len(self.body_parts) == 1:
            part = self.body_parts[0]
        else:
            part = b"".join(self.body_parts)
        self.body_parts = []
        return part


def connect_to_upstream(address: str) -> socket.socket:
    """Open a TCP connection to an upstream; raises ``OSError``."""
    connection = socket.create_connection(
        split_address(address), timeout=CONNECT_TIMEOUT_SECONDS
    )
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


class ConnectionPool:
    """
    Idle connections, by address and in the order of their last use.

    Parameters
    ----------
    max_connections : float
        Largest number of open connections; idle ones are closed for new ones.
    body_limit : int
        Bytes that all bodies hold which are being read completely; small ones may hold
        as much again.
    dialer : Dialer or None
        Opens the connections; by default directly.
    get_reserved_count : callable
        Returns how many of ``max_connections`` are used by others at present.
    clock : Clock or None
        Measures interruptions of responses; by default the system's.
    get_stall : callable
        Returns for how many seconds this process stood still lately, 0 if that ended
        before the clock time that it is called with.

    Attributes
    ----------
    clock : Clock
    get_stall : callable
    body_memory : MemoryBudget
        Budget of these bodies.
    """

    def __init__(
        self,
        *,
        max_connections: float = math.inf,
        body_limit: int = BODY_MEMORY_BYTES,
        dialer: Dialer | None = None,
        get_reserved_count: Callable[[], int] = lambda: 0,
        clock: Clock | None = None,
        get_stall: Callable[[float], float] = lambda _: 0.0,
    ) -> None:
        self.clock = clock or LoopClock()
        self.get_stall = get_stall
        self.body_memory = MemoryBudget(
            limit_bytes=body_limit, hard_limit_bytes=2 * body_limit
        )
        self._max_connections = max_connections
        self._dialer = dialer or DirectDialer(open_connection=connect_to_upstream)
        self._get_reserved_count = get_reserved_count
        self._opened: weakref.WeakSet[socket.socket] = weakref.WeakSet()
        self._idle: dict[str, deque[Link]] = {}
        self._used: weakref.WeakSet[socket.socket] = weakref.WeakSet()

    @property
    def free_count(self) -> float:
        """Number of connections that could be opened if the idle ones were closed."""
        if self._max_connections == math.inf:
            return math.inf
        idle_count = sum(len(idle) for idle in self._idle.values())
        return self._max_connections - self._count_opened() + idle_count

    def was_used(self, link: Link) -> bool:
        """Return whether earlier requests were sent on a connection."""
        return link.raw in self._used

    def acquire(self, address: str, *, force_new_connection: bool) -> Link:
        """
        Return an idle or new connection.

        Parameters
        ----------
        address : str
            Address of the upstream, ``ip:port``.
        force_new_connection : bool
            Whether to open a new connection. The upstream may be closing an idle one,
            and then it is unknown whether the request was executed.

        Raises
        ------
        UpstreamError
            ``NOT_SENT`` when the upstream cannot be reached, or too many connections
            are in use.
        """
        idle = self._idle.get(address)
        while idle and not force_new_connection:
            link = idle.pop()
            if link.is_usable and _is_open(link.raw):
                return link
            link.raw.close()
        self._make_room()
        try:
            link = self._dialer.dial(address)
        except OSError as error:
            raise UpstreamError(Failure.NOT_SENT, f"connect: {error}") from error
        if self._max_connections < math.inf:
            self._opened.add(link.raw)
        return link

    def release(self, address: str, link: Link) -> None:
        """
        Return a connection to the pool.

        If the pool is full for the address, the oldest idle connection is closed.
        """
        idle = self._idle.setdefault(address, deque())
        max_idle = MAX_IDLE_TUNNELS if link.is_tunnel else MAX_IDLE_CONNECTIONS
        same_kind = [item for item in idle if item.is_tunnel == link.is_tunnel]
        if len(same_kind) >= max_idle:
            idle.remove(same_kind[0])
            same_kind[0].raw.close()
        self._used.add(link.raw)
        idle.append(link)

    def close_unusable(self) -> None:
        """Close idle connections that must not be used, or whose room is needed."""
        for idle in self._idle.values():
            for link in [link for link in idle if not link.is_usable]:
                idle.remove(link)
                link.raw.close()
        if self._max_connections < math.inf:
            self._close_idle_above(self._max_connections - self._get_reserved_count())

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for link in idle:
                link.raw.close()
        self._idle.clear()

    def _make_room(self) -> None:
        """
        Close idle connections until another one may be opened.

        Raises
        ------
        UpstreamError
            ``NOT_SENT`` when too many connections are in use.
        """
        if self._max_connections == math.inf:
            return
        limit = self._max_connections - self._get_reserved_count()
        if len(self._opened) < limit:
            return
        self._close_idle_above(limit - 1)
        if len(self._opened) >= limit:
            raise UpstreamError(Failure.NOT_SENT, "too many connections are in use")

    def _close_idle_above(self, limit: float) -> None:
        """Close idle connections until no more than a number are open."""
        excess = self._count_opened() - limit
        for idle in self._idle.values():
            while idle and excess > 0:
                connection = idle.popleft().raw
                connection.close()
                self._opened.discard(connection)
                excess -= 1

    def _count_opened(self) -> int:
        """Return the number of open connections."""
        for connection in list(self._opened):
            if connection.fileno() < 0:
                self._opened.discard(connection)
        return len(self._opened)


class _Receiver:
    """
    Receives a response and passes it to its parser.

    Parameters
    ----------
    link : Link
        Its connection.
    parser : _ResponseParser
    clock : Clock
        Measures interruptions of the response.
    """

    def __init__(self, *, link: Link, parser: _ResponseParser, clock: Clock) -> None:
        self._clock = clock
        self._flow = BodyFlow(started_at=clock.now())
        self._link = link
        self._parser = parser
        self._turn = TurnBudget()
        self._unparsed = b""
        # What was parsed of heads until the final one is complete.
        self._heads = bytearray()
        self._has_surplus_data = False
        self._framing_bytes = 0

    @property
    def has_surplus_data(self) -> bool:
        """Whether data was received that is no part of the response."""
        return bool(self._unparsed) or self._has_surplus_data

    @property
    def is_interrupted(self) -> bool:
        """Whether the response was interrupted shortly before its present end."""
        return self._flow.is_interrupted

    def begin_body(self, *, stalled_seconds: float) -> None:
        """
        Count no pause before the body as an interruption of it, but a stall.

        Parameters
        ----------
        stalled_seconds : float
            Time for which this process stood still meanwhile.
        """
        self._flow = BodyFlow(
            started_at=self._clock.now(), stalled_seconds=stalled_seconds
        )

    def receive(self) -> None:
        """
        Parse the next piece of the response, and receive it if necessary.

        Raises
        ------
        UpstreamError
            ``BROKEN`` when the connection ends early or the data is no HTTP response,
            ``TIMED_OUT`` when no data arrives within the socket's timeout.
        """
        data = self._unparsed or self._receive_data()
        piece, self._unparsed = data[:MAX_PARSED_BYTES], data[MAX_PARSED_BYTES:]
        if not piece:
            if self._parser.end_with_connection():
                return
            raise UpstreamError(Failure.BROKEN, "the upstream closed the connection")
        parts_before = len(self._parser.body_parts)
        if not self._parser.headers_complete:
            self._heads += piece
        try:
            self._parser.feed(piece)
        except Exception as error:
            if not self._parser.message_complete:
                raise UpstreamError(Failure.BROKEN, f"not HTTP: {error}") from error
            self._has_surplus_data = True
        self._check_heads()
        part_count = len(self._parser.body_parts) - parts_before
        self._check_framing(len(piece), has_body_data=part_count > 0)
        self._turn.spend(size=len(piece), pieces=1 + part_count)

    def _check_heads(self) -> None:
        """Raise ``UpstreamError`` if only the parser accepts a status line."""
        if not self._heads:
            return
        heads = bytes(self._heads).split(HEAD_END)[: self._parser.head_count]
        try:
            for head in heads:
                check_status_line(head.lstrip(b"\r\n").partition(b"\r\n")[0])
        except ValueError as error:
            raise UpstreamError(Failure.BROKEN, f"not HTTP: {error}") from error
        if self._parser.headers_complete:
            self._heads.clear()

    def _receive_data(self) -> bytes:
        waited_since = self._clock.now()
        try:
            data = self._link.raw.recv(RECEIVE_BYTES)
        except OSError as error:
            if isinstance(error, TimeoutError) and not is_given_up(error):
                raise UpstreamError(
                    Failure.TIMED_OUT, "no data within the read timeout"
                ) from error
            self._link.record_end()
            raise UpstreamError(Failure.BROKEN, f"receive: {error}") from error
        self._flow.record(waited_since=waited_since, received_at=self._clock.now())
        if data:
            self._link.record_data()
        else:
            self._link.record_end()
        return data

    def _check_framing(self, size: int, *, has_body_data: bool) -> None:
        """Raise ``UpstreamError`` for a head or trailers that don't end."""
        self._framing_bytes = 0 if has_body_data else self._framing_bytes + size
        if self._framing_bytes > MAX_FRAMING_BYTES:
            raise UpstreamError(
                Failure.BROKEN, f"{self._framing_bytes} bytes without data of a body"
            )


class UpstreamResponse:
    """
    A response whose head has arrived.

    Attributes
    ----------
    status : int
        HTTP status.
    is_reused : bool
        Whether earlier requests were sent on its connection.
    is_tunnel : bool
        Whether its connection goes through another entry.
    receive_count : int
        Number of reads that received data after the head.
    """

    def __init__(
        self,
        *,
        parser: _ResponseParser,
        receiver: _Receiver,
        link: Link,
        address: str,
        pool: ConnectionPool,
    ) -> None:
        self._receiver = receiver
        self.status = parser.status
        self._parser = parser
        self._link: Link | None = link
        self._address = address
        self._pool = pool
        self._interrupted: Failure | None = None
        self._may_reuse = True
        self.is_reused = pool.was_used(link)
        self.is_tunnel = link.is_tunnel
        self.receive_count = 0

    def disable_read_timeout(self) -> None:
        """
        Read without a timer for each chunk, since a timer costs more than the read.

        The caller must call ``interrupt`` when ``receive_count`` has not changed for
        the read timeout.
        """
        if self._link is not None:
            self._link.raw.settimeout(None)

    def interrupt(self, failure: Failure) -> None:
        """Close the connection; the reader gets an ``UpstreamError`` of the failure."""
        self._interrupted = failure
        self.close()

    @property
    def is_unframed(self) -> bool:
        """Whether the end of the connection delimited the body."""
        return self._parser.is_unframed

    @property
    def is_interrupted(self) -> bool:
        """Whether the body was interrupted shortly before its present end."""
        return self._receiver.is_interrupted

    def forbid_reuse(self) -> None:
        """Close the connection after this response, though it could be kept."""
        self._may_reuse = False

    def get_header(self, name: str) -> str:
        """Return the value of a header, empty if the response lacks it."""
        value = self._parser.get(name, "")
        return value if isinstance(value, str) else ", ".join(value or ())

    @property
    def rate_limit(self) -> float | None:
        """Requests per second that the upstream accepts from all entries together."""
        return parse_rate_limit(self.get_header(RATE_LIMIT_HEADER) or None)

    def get_headers(self) -> list[tuple[str, str]]:
        """Return all headers."""
        return [(str(name), str(value)) for name, value in self._parser.items()]

    def read_chunk(self) -> bytes:
        """
        Return the data that arrived since the last call, empty at the end of the body.

        Raises
        ------
        UpstreamError
            ``BROKEN`` when the connection ends early, ``TIMED_OUT`` when no data
            arrives within the read timeout.
        """
        while True:
            if self._parser.body_parts:
                return self._parser.take_body_data()
            if self._parser.message_complete:
                self._finish()
                return b""
            self._receive()

    def read_body(self, *, limit: int) -> bytes:
        """
        Return the complete body.

        Parameters
        ----------
        limit : int
            Largest length in bytes.

        Raises
        ------
        UpstreamError
            ``BROKEN`` when the body is longer or there is no memory for it, and as
            ``read_chunk``.
        """
        body = BytesIO()
        try:
            with MemoryCharge(budget=self._pool.body_memory) as charge:
                while part := self.read_chunk():
                    body.write(part)
                    if body.tell() > limit:
                        raise UpstreamError(
                            Failure.BROKEN, f"the response is longer than {limit} bytes"
                        )
                    if not charge.add(len(part)):
                        raise UpstreamError(
                            Failure.BROKEN, "no memory for the response"
                        )
                return body.getvalue()
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Close the connection; a reader in another greenlet gets ``BROKEN``."""
        link, self._link = self._link, None
        if link is not None:
            link.raw.close()

    def _receive(self) -> None:
        if self._link is None:
            raise UpstreamError(self._interrupted or Failure.BROKEN, "interrupted")
        try:
            self._receiver.receive()
        except UpstreamError as error:
            self.close()
            if self._interrupted is not None:
                raise UpstreamError(self._interrupted, "interrupted") from error
            raise
        self.receive_count += 1

    def _finish(self) -> None:
        link, self._link = self._link, None
        if link is None:
            return
        if (
            self._may_reuse
            and not self._receiver.has_surplus_data
            and self._parser.should_keep_alive()
            and not self._parser.is_unframed
        ):
            self._pool.release(self._address, link)
        else:
            link.raw.close()


def send_request(
    pool: ConnectionPool,
    address: str,
    *,
    method: str,
    path: str,
    headers: Iterable[tuple[str, str]],
    body: bytes,
    read_timeout: float,
    force_new_connection: bool = False,
    on_connect: Callable[[socket.socket], None] | None = None,
) -> UpstreamResponse:
    """
    Send a request and wait for the head of the response.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to use.
    address : str
        Address of the upstream, ``ip:port``.
    method, path : str
        Request line.
    headers : iterable of (str, str)
        Headers besides ``Host`` and ``Content-Length``.
    body : bytes
        Content.
    read_timeout : float
        Seconds without data after which the attempt fails as timed out.
    force_new_connection : bool
        Whether the request must go over a new connection.
    on_connect : callable, optional
        Called with the connection before anything is sent. Closing the connection
        interrupts the attempt.

    Raises
    ------
    UpstreamError
        ``NOT_SENT`` only when no byte of the request was written to a connection.
    """
    link = pool.acquire(address, force_new_connection=force_new_connection)
    connection = link.raw
    if on_connect is not None:
        on_connect(connection)
    connection.settimeout(read_timeout)
    parser = _ResponseParser(method=method)
    receiver = _Receiver(link=link, parser=parser, clock=pool.clock)
    link.record_sent()
    sent_at = pool.clock.now()
    try:
        connection.sendall(_encode_request(address, method, path, headers, body))
        while not parser.headers_complete:
            receiver.receive()
        receiver.begin_body(stalled_seconds=pool.get_stall(sent_at))
    except OSError as error:
        link.record_end()
        connection.close()
        raise UpstreamError(Failure.BROKEN, f"send: {error}") from error
    except BaseException:
        connection.close()
        raise
    return UpstreamResponse(
        parser=parser,
        receiver=receiver,
        link=link,
        address=address,
        pool=pool,
    )


def _encode_request(
    address: str,
    method: str,
    path: str,
    headers: Iterable[tuple[str, str]],
    body: bytes,
) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def _is_open(connection: socket.socket) -> bool:
    """Return whether an idle connection is open and has no unread data."""
    connection.settimeout(0.0)
    try:
        connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
