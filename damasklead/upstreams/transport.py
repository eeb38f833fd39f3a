"""
Connections to upstreams
========================

Sends one request over one connection and hands out the answer's body in the chunks it
arrives in.

The parser is geventhttpclient's.  Its client is not used here, because it sends a
request again by itself when a pooled connection turns out to be closed.
"""

from collections import deque
from collections.abc import Callable, Iterable

from gevent import socket
from geventhttpclient.response import HTTPResponse

from damasklead.requests import Failure
from damasklead.util import split_address

__all__ = ["Answer", "ConnectionPool", "UpstreamError", "exchange"]

CONNECT_TIMEOUT = 0.5  # seconds
RECEIVE_BYTES = 65_536
MAX_IDLE_CONNECTIONS = 64


class UpstreamError(Exception):
    """
    An attempt that ended without a whole answer.

    Attributes
    ----------
    failure : Failure
        How it ended.
    leaving : bool
        Whether the upstream said that it is leaving.
    """

    def __init__(
        self, failure: Failure, detail: str = "", *, leaving: bool = False
    ) -> None:
        super().__init__(detail or failure.value)
        self.failure = failure
        self.leaving = leaving


class _Parser(HTTPResponse):
    """Collects body bytes as they are parsed."""

    def __init__(self, *, method: str) -> None:
        super().__init__(method)
        self.parts: list[bytes] = []

    def _on_body(self, buf: bytearray) -> None:
        self.parts.append(bytes(buf))

    def take(self) -> bytes:
        """Return the body bytes parsed since the last call."""
        if len(self.parts) == 1:
            part = self.parts[0]
        else:
            part = b"".join(self.parts)
        self.parts = []
        return part


class ConnectionPool:
    """Idle connections by address."""

    def __init__(self) -> None:
        self._idle: dict[str, deque[socket.socket]] = {}

    def take(self, address: str, *, fresh: bool) -> socket.socket:
        """
        Return a connection.

        Parameters
        ----------
        fresh : bool
            Whether to open a new one: an idle one may be closing, which would leave
            open whether the request was run.

        Raises
        ------
        UpstreamError
            With ``NOT_SENT`` when the upstream can't be reached.
        """
        idle = self._idle.get(address)
        while idle and not fresh:
            connection = idle.pop()
            if _is_open(connection):
                return connection
            connection.close()
        try:
            connection = socket.create_connection(
                split_address(address), timeout=CONNECT_TIMEOUT
            )
        except OSError as error:
            raise UpstreamError(Failure.NOT_SENT, f"connect: {error}") from error
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def give_back(self, address: str, connection: socket.socket) -> None:
        """Keep a connection for later."""
        idle = self._idle.setdefault(address, deque())
        if len(idle) >= MAX_IDLE_CONNECTIONS:
            idle.popleft().close()
        idle.append(connection)

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()


class Answer:
    """
    An answer whose head has arrived.

    Attributes
    ----------
    status : int
        The HTTP status.
    chunks : int
        How often something arrived.
    """

    def __init__(
        self,
        *,
        parser: _Parser,
        connection: socket.socket,
        address: str,
        pool: ConnectionPool,
    ) -> None:
        self.status: int = parser.get_code()
        self._parser = parser
        self._connection: socket.socket | None = connection
        self._address = address
        self._pool = pool
        self._interrupted: Failure | None = None
        self.chunks = 0

    def stream(self) -> None:
        """
        Read without a timer for each chunk, which costs more than the chunk.

        Whoever calls this must call ``interrupt`` when the upstream is silent for long;
        ``chunks`` tells how much has come.
        """
        if self._connection is not None:
            self._connection.settimeout(None)

    def interrupt(self, failure: Failure) -> None:
        """End the call; its reader gets this failure."""
        self._interrupted = failure
        self.close()

    def header(self, name: str) -> str:
        """Return a header's value, empty when there is none."""
        value = self._parser.get(name, "")
        return value if isinstance(value, str) else ", ".join(value or ())

    def headers(self) -> list[tuple[str, str]]:
        """Return all headers."""
        return [(str(name), str(value)) for name, value in self._parser.items()]

    def read_chunk(self) -> bytes:
        """
        Return the bytes that arrived since the last call, empty at the end of the
        answer.

        Raises
        ------
        UpstreamError
            ``BROKEN`` when the connection ends early, ``TIMED_OUT`` when it stays
            silent.
        """
        while True:
            if self._parser.parts:
                return self._parser.take()
            if self._parser.message_complete:
                self._finish()
                return b""
            self._receive()

    def read_all(self, *, limit: int) -> bytes:
        """
        Return the whole body; raises ``UpstreamError`` when it is longer than
        ``limit``.
        """
        parts: list[bytes] = []
        size = 0
        while part := self.read_chunk():
            size += len(part)
            if size > limit:
                self.close()
                raise UpstreamError(
                    Failure.BROKEN, f"the answer is longer than {limit} bytes"
                )
            parts.append(part)
        return b"".join(parts)

    def close(self) -> None:
        """Close the connection; a reader in another greenlet gets ``BROKEN``."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def _receive(self) -> None:
        if self._connection is None:
            raise UpstreamError(self._interrupted or Failure.BROKEN, "interrupted")
        try:
            _receive(self._connection, self._parser)
        except UpstreamError as error:
            if self._interrupted is not None:
                raise UpstreamError(self._interrupted, "interrupted") from error
            raise
        self.chunks += 1

    def _finish(self) -> None:
        connection, self._connection = self._connection, None
        if connection is None:
            return
        if self._parser.should_keep_alive():
            self._pool.give_back(self._address, connection)
        else:
            connection.close()


def exchange(
    pool: ConnectionPool,
    address: str,
    *,
    method: str,
    path: str,
    headers: Iterable[tuple[str, str]],
    body: bytes,
    silence: float,
    fresh: bool = False,
    on_connect: Callable[[socket.socket], None] | None = None,
) -> Answer:
    """
    Send a request and wait for the head of its answer.

    Parameters
    ----------
    silence : float
        Seconds without a byte after which the attempt counts as timed out.
    fresh : bool
        Whether the request must go over a new connection.
    on_connect : callable, optional
        Is given the connection before anything is sent; closing it interrupts the call.

    Raises
    ------
    UpstreamError
        ``NOT_SENT`` only when no byte of the request was given to the connection.
    """
    connection = pool.take(address, fresh=fresh)
    if on_connect is not None:
        on_connect(connection)
    connection.settimeout(silence)
    parser = _Parser(method=method)
    try:
        connection.sendall(_render(address, method, path, headers, body))
        while not parser.headers_complete:
            _receive(connection, parser)
    except UpstreamError:
        connection.close()
        raise
    except OSError as error:
        connection.close()
        raise UpstreamError(Failure.BROKEN, f"send: {error}") from error
    return Answer(parser=parser, connection=connection, address=address, pool=pool)


def _render(
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


def _receive(connection: socket.socket, parser: _Parser) -> None:
    """Read once from the connection into the parser."""
    try:
        data = connection.recv(RECEIVE_BYTES)
    except TimeoutError as error:
        raise UpstreamError(Failure.TIMED_OUT, "the upstream is silent") from error
    except OSError as error:
        raise UpstreamError(Failure.BROKEN, f"receive: {error}") from error
    if not data:
        raise UpstreamError(Failure.BROKEN, "the upstream closed the connection")
    try:
        parser.feed(data)
    except Exception as error:
        raise UpstreamError(Failure.BROKEN, f"not HTTP: {error}") from error


def _is_open(connection: socket.socket) -> bool:
    """Tell whether an idle connection has neither data nor an end waiting."""
    connection.settimeout(0.0)
    try:
        connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
