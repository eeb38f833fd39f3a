"""
Callers' server
===============

gevent's WSGI server, made strict about how requests are framed.
"""

from typing import Any

from gevent import pywsgi, socket
from gevent.pool import Pool as GreenletPool

from damasklead import logs
from damasklead.daemon.callers import OUTCOME_HEADER, CallerApplication, Environ
from damasklead.daemon.entry import Entry
from damasklead.problems import Problem
from damasklead.util import split_address

__all__ = ["CallerServer"]

BACKLOG = 1024  # connections


class _Handler(pywsgi.WSGIHandler):
    """Refuses ambiguous framing and gives the application the caller's socket."""

    max_header_bytes = 16_384

    def read_request(self, raw_requestline: str) -> Any:
        """Read a request's head; returns whether it can be served."""
        return super().read_request(raw_requestline) and not self._has_ambiguous_framing

    def MessageClass(self, *arguments: Any) -> Any:  # noqa: N802
        """Parse the headers; the server drops some of those that contradict."""
        headers = super().MessageClass(*arguments)
        self._has_ambiguous_framing = self._is_ambiguous(headers)
        return headers

    def handle_one_request(self) -> Any:
        """Handle one request; a head that can't be served is told as not run."""
        result = super().handle_one_request()
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
        """Return the WSGI environment with the caller's socket."""
        environ: Environ = super().get_environ()
        environ["damasklead.socket"] = self.socket
        return environ

    def _sendall(self, data: bytes) -> None:
        """Send with one call where that is enough, as it is for a chunk of a stream."""
        try:
            sent = self.socket.send(data)
            if sent < len(data):
                self.socket.sendall(data[sent:])
        except OSError as error:
            self.status = f"socket error: {error}"
            raise
        self.response_length += len(data)

    def log_request(self) -> None:
        """Leave requests out of the server's own log."""

    def _is_ambiguous(self, headers: Any) -> bool:
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
    """

    def __init__(self, *, entry: Entry) -> None:
        limits = entry.settings.limits
        handler = type(
            "Handler", (_Handler,), {"max_header_bytes": limits.header_bytes}
        )
        options: dict[str, Any] = {}
        if entry.settings.tls is not None:
            options["certfile"] = entry.settings.tls.certificate
            options["keyfile"] = entry.settings.tls.key
        super().__init__(
            split_address(entry.settings.listen.callers),
            CallerApplication(entry=entry),
            spawn=GreenletPool(limits.connections),
            handler_class=handler,
            backlog=BACKLOG,
            log=None,
            error_log=_ErrorLog(),
            **options,
        )
        self._idle_seconds = limits.idle_seconds

    def handle(self, client_socket: socket.socket, address: Any) -> None:
        """Serve one connection, which may be silent for so long only."""
        client_socket.settimeout(self._idle_seconds)
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(client_socket, address)


class _ErrorLog:
    """Turns the server's error lines into log events."""

    def write(self, text: str) -> None:
        """Log a line, without what the caller sent."""
        last = text.strip().splitlines()[-1:] or [""]
        logs.warning("caller-connection", detail=last[0][:200])

    def flush(self) -> None:
        """Do nothing; events are written at once."""
