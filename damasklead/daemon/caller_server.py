"""
Callers' server
===============

gevent's WSGI server with stricter checks of the framing of requests.
"""

from typing import Any

from gevent import pywsgi, socket, ssl
from gevent.pool import Pool as GreenletPool

from damasklead import logs
from damasklead.daemon.caller_connection import CallerConnection
from damasklead.daemon.callers import OUTCOME_HEADER, CallerApplication, Environ
from damasklead.daemon.entry import Entry
from damasklead.daemon.paced_wsgi import PacedHandler
from damasklead.memory_budget import MemoryBudget, MemoryCharge
from damasklead.memory_shortage import Stage
from damasklead.problems import Problem
from damasklead.util import split_address

__all__ = ["CallerServer"]

BACKLOG = 1024  # connections
# Memory for the bodies of all callers' requests; half of it for large ones.
REQUEST_MEMORY_BYTES = 67_108_864
# While no further connection is accepted, up to 32 a second are closed: a caller behind
# a few hundred others is accepted within some seconds.
CROWD_CHECK_INTERVAL_SECONDS = 0.25
# Parts of a body from this size on are not joined with their chunk's frame.
MIN_UNCOPIED_BYTES = 32_768
MAX_CLOSED_AT_ONCE = 8


class _Handler(PacedHandler):
    """
    Handles a connection of a caller.

    Requests with ambiguous framing are refused, since servers that frame them
    differently allow request smuggling. The application gets the caller's socket as
    ``damasklead.socket``, and the memory charge of the request, which ends with the
    response, as ``damasklead.charge``.

    Attributes
    ----------
    memory : MemoryBudget
        Budget of the requests on all connections.
    """

    memory: MemoryBudget
    entry: Entry

    def handle(self) -> None:
        """Serve the connection, which is charged to the account if that is limited."""
        self._connection = self._open_connection()
        try:
            super().handle()
        finally:
            if self._connection is not None:
                self._connection.holding.end()

    def _open_connection(self) -> CallerConnection | None:
        entry = self.entry
        if not entry.memory.is_limited:
            return None
        limits = entry.settings.limits
        connection = CallerConnection(
            raw=self.socket,
            account=entry.memory,
            clock=entry.clock,
            stall_seconds=limits.send_stall_seconds or limits.idle_seconds,
            on_close=lambda cause: entry.metrics.callers_closed.labels(cause).inc(),
        )
        connection.set_options()
        connection.holding.enter(Stage.IDLE)
        return connection

    def read_request(self, raw_requestline: str) -> Any:
        """Read a request's head; returns whether it is valid and not ambiguous."""
        if self._connection is not None:
            self._connection.holding.enter(Stage.READING)
        return super().read_request(raw_requestline) and not self._has_ambiguous_framing

    def MessageClass(self, *arguments: Any) -> Any:  # noqa: N802
        """
        Parse the headers and check the framing.

        It is checked here since the server later drops some contradictory headers.
        """
        headers = super().MessageClass(*arguments)
        self._has_ambiguous_framing = self._is_ambiguous(headers)
        return headers

    def handle_one_request(self) -> Any:
        """
        Handle one request.

        The response to an invalid head states that the request was not executed.
        """
        result: Any = None
        try:
            result = super().handle_one_request()
        finally:
            if result is not True and self._connection is not None:
                self._connection.prepare_close()
        if not isinstance(result, tuple):
            return result
        problem = Problem(status=int(result[0]), kind="head", title="Not a valid head")
        body = problem.encode()
        head = (
            f"HTTP/1.1 {problem.status} Problem\r\nConnection: close\r\n"
            f"Content-Type: application/problem+json\r\n"
            f"{OUTCOME_HEADER}: {problem.outcome.value}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return (result[0], head.encode() + body)

    def get_environ(self) -> Environ:
        """Return the WSGI environment with the caller's socket and the charge."""
        environ: Environ = super().get_environ()
        environ["damasklead.socket"] = self.socket
        environ["damasklead.connection"] = self._connection
        self._charge = environ["damasklead.charge"] = MemoryCharge(budget=self.memory)
        return environ

    def handle_one_response(self) -> None:
        """Serve a request, whose body is charged until its response has ended."""
        connection = self._connection
        if connection is None:
            with self._charge:
                super().handle_one_response()
            return
        try:
            with self._charge:
                super().handle_one_response()
        finally:
            connection.end_request()

    def _sendall(self, data: bytes) -> None:
        """Send data, with one call where that suffices, as for events of a stream."""
        try:
            if self._connection is not None:
                self._connection.holding.enter(Stage.SENDING)
                self._connection.send(data)
            else:
                sent = self.socket.send(data)
                if sent < len(data):
                    self.socket.sendall(data[sent:])
        except OSError as error:
            self.status = f"socket error: {error}"
            raise
        self.response_length += len(data)

    def _write(self, data: bytes) -> None:
        """Write a part of the body, without a copy if it is large and counted."""
        if (
            self._connection is None
            or not self.response_use_chunked
            or len(data) < MIN_UNCOPIED_BYTES
        ):
            super()._write(data)
            return
        for piece in (b"%x\r\n" % len(data), data, b"\r\n"):
            self._sendall(piece)

    def log_request(self) -> None:
        """Do nothing; the server's log of requests is not used."""

    def _is_ambiguous(self, headers: Any) -> bool:
        """Return whether the framing is ambiguous or the headers are too long."""
        lengths = headers.get_all("Content-Length") or []
        encodings = headers.get_all("Transfer-Encoding") or []
        size = sum(len(name) + len(value) for name, value in headers.items())
        return (
            len(lengths) > 1
            or bool(lengths and encodings)
            or len(encodings) > 1
            or any(item.strip().lower() != "chunked" for item in encodings)
            or any(not item.strip().isdigit() for item in lengths)
            or size > self.max_header_bytes
        )


class CallerServer(pywsgi.WSGIServer):
    """
    The listener for callers.

    Parameters
    ----------
    entry : Entry
        State of this entry.
    """

    def __init__(self, *, entry: Entry) -> None:
        limits = entry.settings.limits
        handler = type(
            "Handler",
            (_Handler,),
            {
                "max_header_bytes": limits.header_bytes,
                "max_discarded_bytes": limits.body_bytes,
                "entry": entry,
                "memory": MemoryBudget(
                    limit_bytes=REQUEST_MEMORY_BYTES // 2,
                    hard_limit_bytes=REQUEST_MEMORY_BYTES,
                ),
            },
        )
        options: dict[str, Any] = {}
        if entry.settings.tls is not None:
            # One context for all connections: each one loads the certificates.
            context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            context.load_cert_chain(
                entry.settings.tls.certificate, entry.settings.tls.key
            )
            options["ssl_context"] = context
        super().__init__(
            split_address(entry.settings.listen.callers),
            CallerApplication(entry=entry),
            spawn=GreenletPool(
                int(min(limits.connections, entry.descriptors.caller_connections))
            ),
            handler_class=handler,
            backlog=BACKLOG,
            log=None,
            error_log=_ErrorLog(),
            **options,
        )
        self._idle_seconds = limits.idle_seconds
        self._entry = entry

    def run_crowd_loop(self) -> None:
        """
        Close connections while no further one is accepted, until the task is stopped.

        Those of slow callers come first, then idle ones.
        """
        while True:
            self._entry.clock.sleep(CROWD_CHECK_INTERVAL_SECONDS)
            if self._entry.memory.is_limited and self.full():
                self._entry.memory.close_connections(MAX_CLOSED_AT_ONCE)

    def handle(self, client_socket: socket.socket, address: Any) -> None:
        """Serve one connection, closed when it sends nothing for ``idle_seconds``."""
        client_socket.settimeout(self._idle_seconds)
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(client_socket, address)


class _ErrorLog:
    """File-like object that turns the server's error messages into log events."""

    def write(self, text: str) -> None:
        """
        Log the last line of a message, cut to 200 characters.

        The lines before it are left out since they may show what the caller sent.
        """
        last = text.strip().splitlines()[-1:] or [""]
        logs.warning("caller-connection", detail=last[0][:200])

    def flush(self) -> None:
        """Do nothing; log events are not buffered here."""
