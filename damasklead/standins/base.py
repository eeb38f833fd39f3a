"""
Stand-in server
===============

What the stand-ins share: a small HTTP server with routes, faults and a record of what
was run.
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
from damasklead.util import split_address

__all__ = ["Call", "Reply", "StandinServer", "json_reply"]


class Call(msgspec.Struct, kw_only=True):
    """A request that arrived at a stand-in."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """The id that the router gave the attempt."""
        return self.headers.get("X_REQUEST_ID", "")


class Reply(msgspec.Struct, kw_only=True):
    """What a stand-in answers; ``parts`` are sent one by one."""

    status: int = 200
    headers: list[tuple[str, str]] = msgspec.field(default_factory=list)
    parts: Iterable[bytes] = ()


def json_reply(
    content: object, *, status: int = 200, headers: tuple[Any, ...] = ()
) -> Reply:
    """Return a reply with a JSON body."""
    return Reply(
        status=status,
        headers=[("Content-Type", "application/json"), *headers],
        parts=[msgspec.json.encode(content)],
    )


class _Server(pywsgi.WSGIServer):
    """Remembers its connections, so that a crash can break them all off."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._connections: set[socket.socket] = set()

    def handle(self, client_socket: socket.socket, address: Any) -> None:
        """Serve one connection."""
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connections.add(client_socket)
        try:
            super().handle(client_socket, address)
        finally:
            self._connections.discard(client_socket)

    def break_off(self) -> None:
        """End every connection without a word."""
        for connection in self._connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


class StandinServer:
    """
    A small HTTP server that can crash, leave and enter itself into the instance list.

    Parameters
    ----------
    record : InstanceRecord
        What it says of itself; its address is where it listens.
    platform : Platform or None
        Where it announces itself.
    exits_on_crash : bool
        Whether a crash ends the process, or only closes every connection.
    """

    def __init__(
        self,
        *,
        record: InstanceRecord,
        platform: Platform | None = None,
        exits_on_crash: bool = False,
    ) -> None:
        self.record = record
        self.leaving = False
        self.crashes = 0
        self._platform = platform
        self._exits_on_crash = exits_on_crash
        self._server: _Server | None = None
        self._pool = Pool()

    @property
    def running(self) -> bool:
        """Whether the server listens."""
        return self._server is not None

    def start(self) -> None:
        """Listen, and announce the instance."""
        self._pool = Pool()
        self._server = _Server(
            split_address(self.record.address),
            self._serve,
            spawn=self._pool,
            log=None,
            error_log=None,
        )
        self._server.start()
        if self._platform is not None:
            self._platform.instances.register_instance(self.record)

    def stop(self) -> None:
        """Stop at once, closing every connection."""
        server, self._server = self._server, None
        if server is not None:
            server.break_off()
            server.stop(timeout=0)
            self._pool.kill(block=False)

    def crash(self) -> None:
        """End without a word: the process, or every connection of this server."""
        self.crashes += 1
        if self._exits_on_crash:
            os._exit(3)
        gevent.spawn(self.stop)

    def restart(self) -> None:
        """Start again as a new incarnation."""
        self.stop()
        self.leaving = False
        self.record = msgspec.structs.replace(
            self.record,
            incarnation=self.record.incarnation + 1,
        )
        self.start()

    def handle(self, call: Call) -> Reply:
        """Answer a call; stand-ins add their own paths."""
        if call.path == "/load":
            return json_reply(self.status())
        if call.path == "/leave" and call.method == "POST":
            self.leaving = True
            return json_reply({"leaving": True})
        if call.path == "/crash" and call.method == "POST":
            self.crash()
            return json_reply({"crashing": True})
        return json_reply({"error": "there is nothing at this path"}, status=404)

    def status(self) -> UpstreamStatus:
        """Return the stand-in's word on itself."""
        return UpstreamStatus(incarnation=self.record.incarnation, leaving=self.leaving)

    def refusal(self, call: Call) -> Reply:
        """Return the answer of an upstream that is leaving: not run."""
        headers = (
            ("X-Request-ID", call.request_id),
            ("X-Not-Run", "leaving"),
            (LEAVING_HEADER, str(self.record.incarnation)),
        )
        return json_reply({"error": "leaving"}, status=503, headers=headers)

    def _serve(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterator[bytes]:
        headers = {
            key[5:]: value for key, value in environ.items() if key.startswith("HTTP_")
        }
        call = Call(
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"],
            query=environ.get("QUERY_STRING", ""),
            headers=headers,
            body=environ["wsgi.input"].read(),
        )
        reply = self.handle(call)
        start_response(f"{reply.status} Reply", reply.headers)
        yield from reply.parts
