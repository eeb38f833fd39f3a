"""
Replicas
========

Replica stand-ins that record the requests they execute, and crash or reject requests.
"""

import math
import random
import time
from collections.abc import Callable

import gevent
import msgspec
from gevent import socket

from soak.brittleness import Brittleness, Room
from tests.gateway_kit import (
    ScriptedReplica,
    make_chunk,
    make_event,
    make_response,
    make_stream_head,
)

__all__ = [
    "CRASHING_PART",
    "EVENT_COUNT",
    "Arrival",
    "Execution",
    "NamedLimit",
    "Replica",
    "make_versioned_event",
]

# Events of a streamed response.
EVENT_COUNT = 12
EVENT_INTERVAL_SECONDS = 0.05
# A replica crashes when it begins to respond to a prompt with this part.
CRASHING_PART = "dead"
# Fraction of its requests that a replica rejects while ``is_rejecting`` is set.
REJECTION_FRACTION = 0.3


class Execution(msgspec.Struct, kw_only=True, frozen=True):
    """
    A request whose execution a replica started.

    Attributes
    ----------
    started_at : float
        Start of the execution, in seconds of the monotonic clock.
    attempt : str
        Attempt id of the request.
    path : str
        Path of the request.
    replica : str
        Name of the replica.
    is_crashing : bool
        Whether it crashed the replica.
    """

    started_at: float
    attempt: str
    path: str
    replica: str
    is_crashing: bool = False


class Arrival(msgspec.Struct, kw_only=True, frozen=True):
    """
    A request that reached a replica, executed or not.

    Attributes
    ----------
    at : float
        When it came, in seconds of the monotonic clock.
    attempt : str
        Attempt id of the request.
    """

    at: float
    attempt: str


class NamedLimit(msgspec.Struct, kw_only=True):
    """
    A limit that a replica named in its responses.

    Attributes
    ----------
    replica : str
        Name of the replica.
    requests_per_second : float
        The limit for all gateways together.
    named_at, ended_at : float
        When the responses began and ceased to name it, in seconds of the monotonic
        clock; ``ended_at`` is infinite until then.
    arrivals : list of float
        When the replica received requests meanwhile.
    """

    replica: str
    requests_per_second: float
    named_at: float
    ended_at: float = math.inf
    arrivals: list[float] = []


def make_versioned_event(number: int, version: str) -> bytes:
    """Return an event that names the version of the replica that sent it."""
    return f"id: {number}\ndata: {version}\n\n".encode()


class Replica:
    """
    A replica stand-in.

    Parameters
    ----------
    name : str
        Instance id.
    executions : list of Execution
        Where all replicas append their executions.
    arrivals : list of Arrival
        Where all replicas append the requests that reach them.
    seed : int
        Seed of the response times and of the choice of rejected requests.
    on_crashing_part : callable
        Called when a request with the crashing part begins, to crash this replica.
    version : str
        Version of the replica's software, which its events of resumable streams name.
    born : int
        Start of the replica, which distinguishes the starts under one id.
    get_brittleness : callable
        Returns the brittleness of all replicas at present, if any.
    on_overload : callable
        Called when this replica, while it is brittle, has rejected too many requests.

    Attributes
    ----------
    is_running : bool
        False after a crash.
    is_rejecting : bool
        Whether the replica rejects a part of its requests.
    limit : NamedLimit or None
        The limit that its responses name at present.
    """

    def __init__(
        self,
        *,
        name: str,
        executions: list[Execution],
        arrivals: list[Arrival],
        seed: int,
        on_crashing_part: Callable[[], None] = lambda: None,
        version: str = "v1",
        born: int = 1,
        get_brittleness: Callable[[], Brittleness | None] = lambda: None,
        on_overload: Callable[[], None] = lambda: None,
    ) -> None:
        self._room = Room(
            name=name, get_brittleness=get_brittleness, on_crash=on_overload
        )
        self.version = version
        self.born = born
        self.name = name
        self.is_running = True
        self.is_rejecting = False
        self.limit: NamedLimit | None = None
        self._executions = executions
        self._arrivals = arrivals
        self._on_crashing_part = on_crashing_part
        self._random = random.Random(seed)
        self._open: set[socket.socket] = set()
        self._server = ScriptedReplica(name, self._serve)
        self._server.born = born

    @property
    def address(self) -> str:
        """Address that the replica listens on, as ``host:port``."""
        return self._server.record.address

    def crash(self) -> None:
        """Stop listening and close all connections."""
        self.is_running = False
        self._server.stop()
        for connection in list(self._open):
            connection.close()

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    def _serve(self, server: ScriptedReplica, connection: socket.socket) -> None:
        self._open.add(connection)
        try:
            while self.is_running:
                attempt = server.receive_request(connection)
                self._arrivals.append(Arrival(at=time.monotonic(), attempt=attempt))
                line, headers, _ = server.requests[-1]
                path = line.split()[1]
                is_crashing = f"{CRASHING_PART}:" in headers.get("prefix-hash", "")
                if self.limit is not None:
                    self.limit.arrivals.append(time.monotonic())
                if self.is_rejecting and self._random.random() < REJECTION_FRACTION:
                    self._reject(connection, attempt)
                    continue
                if not self._room.accept():
                    self._reject(connection, attempt)
                    continue
                execution = Execution(
                    started_at=time.monotonic(),
                    attempt=attempt,
                    path=path,
                    replica=self.name,
                    is_crashing=is_crashing,
                )
                self._executions.append(execution)
                if is_crashing:
                    connection.sendall(self._make_cut_response(attempt))
                    self._on_crashing_part()
                    return
                try:
                    self._respond(connection, attempt, path, headers)
                finally:
                    self._room.release()
        finally:
            self._open.discard(connection)

    def _respond(
        self,
        connection: socket.socket,
        attempt: str,
        path: str,
        headers: dict[str, str],
    ) -> None:
        if path.startswith("/chat/"):
            self._send_stream(connection, attempt)
        elif path.startswith("/draft/"):
            after = int(headers.get("last-event-id", 0))
            self._send_stream(connection, attempt, after, self.version)
        else:
            gevent.sleep(self._random.uniform(0.005, 0.04))
            response = make_response(attempt, attempt.encode())
            connection.sendall(self._add_limit(response))

    def _make_cut_response(self, attempt: str) -> bytes:
        """Return what a crash leaves of a response, which takes one of three forms."""
        framing = self._random.choice(
            ("Content-Length: 90\r\n", "Transfer-Encoding: chunked\r\n", "")
        )
        head = (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s\r\n"
            f"{framing}\r\n"
        )
        return head.encode()[: self._random.choice((0, 40, None))]

    def _add_limit(self, response: bytes) -> bytes:
        """Return a response whose head names the limits that there are."""
        header = ""
        if self.limit is not None:
            header += f"Server-Limit: {self.limit.requests_per_second}\r\n"
        if self._room.limit is not None:
            header += f"Server-Brittle: {self._room.limit}\r\n"
        head = f"\r\n{header}\r\n"
        return response.replace(b"\r\n\r\n", head.encode(), 1)

    def _reject(self, connection: socket.socket, attempt: str) -> None:
        response = (
            f"HTTP/1.1 503 Full\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n"
            "Content-Length: 0\r\n\r\n"
        )
        connection.sendall(self._add_limit(response.encode()))

    def _send_stream(
        self,
        connection: socket.socket,
        attempt: str,
        after: int = 0,
        version: str | None = None,
    ) -> None:
        """Send the events after one, which name a version if it is given."""
        connection.sendall(self._add_limit(make_stream_head(attempt)))
        for number in range(after + 1, EVENT_COUNT + 1):
            event = make_event(number)
            if version is not None:
                event = make_versioned_event(number, version)
            connection.sendall(make_chunk(event))
            gevent.sleep(EVENT_INTERVAL_SECONDS)
        connection.sendall(make_chunk(b""))
