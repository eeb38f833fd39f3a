"""
Stand-in server
===============

HTTP server that all stand-ins extend: it registers in the instance list, reports its
status, and can be made to leave or crash.
"""

import contextlib
import os
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import gevent
import msgspec
from gevent import pywsgi, socket
from gevent.pool import Pool

from damasklead.stores.base import InstanceRecord, Platform
from damasklead.upstreams.base import LEAVING_HEADER, UpstreamStatus
from damasklead.upstreams.transport import RATE_LIMIT_HEADER
from damasklead.util import split_address

__all__ = ["HttpRequest", "HttpResponse", "StandinServer", "make_json_response"]


class HttpRequest(msgspec.Struct, kw_only=True):
    """
    A request that a stand-in received.

    Attributes
    ----------
    query : str
        Query string of the URL, without the question mark.
    headers : dict
        Header values by name, in WSGI form (``X_REQUEST_ID``).
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Attempt id that the router set in ``X-Request-ID``; empty without one."""
        return self.headers.get("X_REQUEST_ID", "")


class HttpResponse(msgspec.Struct, kw_only=True):
    """
    The response of a stand-in.

    Attributes
    ----------
    parts : iterable of bytes
        Chunks of the body, each sent as soon as it is produced.
    """

    status: int = 200
    headers: list[tuple[str, str]] = msgspec.field(default_factory=list)
    parts: Iterable[bytes] = ()


def make_json_response(
    content: object, *, status: int = 200, headers: tuple[Any, ...] = ()
) -> HttpResponse:
    """Return a response with a JSON body."""
    return HttpResponse(
        status=status,
        headers=[("Content-Type", "application/json"), *headers],
        parts=[msgspec.json.encode(content)],
    )


class _Server(pywsgi.WSGIServer):
    """WSGI server that tracks its connections, so that a crash can close them all."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._connections: set[socket.socket] = set()

    def handle(self, client_socket: socket.socket, address: Any) -> None:
        """Serve one connection, without Nagle's delay."""
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connections.add(client_socket)
        try:
            super().handle(client_socket, address)
        finally:
            self._connections.discard(client_socket)

    def close_connections(self) -> None:
        """Shut down every connection without completing its response."""
        for connection in self._connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


class StandinServer:
    """
    An HTTP server that registers in the instance list and can leave or crash.

    Parameters
    ----------
    record : InstanceRecord
        Its entry in the instance list; it listens on the record's address.
    platform : Platform or None
        Platform where it registers; ``None`` to register nowhere.
    exits_on_crash : bool
        Whether a crash ends the process. Otherwise a crash stops only this server and
        closes its connections.

    Attributes
    ----------
    is_leaving : bool
        Whether it refuses new requests because it is about to stop.
    rate_limit : float or None
        Requests per second that it names in its responses, if any.
    crash_count : int
        Crashes so far.
    """

    def __init__(
        self,
        *,
        record: InstanceRecord,
        platform: Platform | None = None,
        exits_on_crash: bool = False,
    ) -> None:
        self.record = record
        self.is_leaving = False
        self.rate_limit: float | None = None
        self.crash_count = 0
        self._platform = platform
        self._exits_on_crash = exits_on_crash
        self._server: _Server | None = None
        self._pool = Pool()

    @property
    def is_running(self) -> bool:
        """Whether the server accepts connections."""
        return self._server is not None

    def start(self) -> None:
        """Start to listen, and register the instance with the platform."""
        self._pool = Pool()
        self._server = _Server(
            split_address(self.record.address),
            self._serve_request,
            spawn=self._pool,
            log=None,
            error_log=None,
        )
        self._server.start()
        if self._platform is not None:
            self._platform.instances.register_instance(self.record)

    def stop(self) -> None:
        """Stop at once and close every connection."""
        server, self._server = self._server, None
        if server is not None:
            server.close_connections()
            server.stop(timeout=0)
            self._pool.kill(block=False)

    def crash(self) -> None:
        """Crash: end the process, or stop the server and close its connections."""
        self.crash_count += 1
        if self._exits_on_crash:
            os._exit(3)
        gevent.spawn(self.stop)

    def restart(self) -> None:
        """Stop, and start as a new incarnation."""
        self.stop()
        self.is_leaving = False
        self.record = msgspec.structs.replace(
            self.record,
            incarnation=self.record.incarnation + 1,
        )
        self.start()

    def handle_request(self, request: HttpRequest) -> HttpResponse:
        """
        Return the response to a request.

        Subclasses handle their own paths and pass all others on to this method.
        """
        if request.path == "/load":
            return make_json_response(self.build_status())
        if request.path == "/leave" and request.method == "POST":
            self.is_leaving = True
            return make_json_response({"leaving": True})
        if request.path == "/crash" and request.method == "POST":
            self.crash()
            return make_json_response({"crashing": True})
        return make_json_response(
            {"error": "there is nothing at this path"}, status=404
        )

    def build_status(self) -> UpstreamStatus:
        """Return the status that the stand-in reports at ``/load``."""
        return UpstreamStatus(
            incarnation=self.record.incarnation, leaving=self.is_leaving
        )

    def make_refusal(self, request: HttpRequest) -> HttpResponse:
        """Return a 503 response which states that the request was not executed."""
        headers = (
            ("X-Request-ID", request.request_id),
            ("X-Not-Run", "leaving"),
            (LEAVING_HEADER, str(self.record.incarnation)),
        )
        return make_json_response({"error": "leaving"}, status=503, headers=headers)

    def _serve_request(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterator[bytes]:
        headers = {
            key[5:]: value for key, value in environ.items() if key.startswith("HTTP_")
        }
        request = HttpRequest(
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"],
            query=environ.get("QUERY_STRING", ""),
            headers=headers,
            body=environ["wsgi.input"].read(),
        )
        response = self.handle_request(request)
        if self.rate_limit is not None:
            response.headers.append((RATE_LIMIT_HEADER, str(self.rate_limit)))
        start_response(f"{response.status} Reply", response.headers)
        yield from response.parts
