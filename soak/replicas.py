"""
Replicas
========

Replica stand-ins that note what they run, and crash, drain, fail or refuse.
"""

import random
import time

import gevent
import msgspec
from gevent import socket

from tests.gatewaykit import (
    ScriptedReplica,
    make_chunk,
    make_event,
    make_response,
    make_stream_head,
)

__all__ = ["EVENTS", "Replica", "RunNote"]

# Events of a stream, and seconds between them.
EVENTS = 12
EVENT_SECONDS = 0.05
# What a troubled replica does to so many of its requests.
FAIL_SHARE = 0.3


class RunNote(msgspec.Struct, kw_only=True, frozen=True):
    """A request that a replica began to run."""

    at: float
    attempt: str
    path: str
    replica: str


class Replica:
    """
    One replica.

    Parameters
    ----------
    name : str
    notes : list of RunNote
        Where all replicas note what they run.
    seed : int
    """

    def __init__(self, *, name: str, notes: list[RunNote], seed: int) -> None:
        self.name = name
        self.alive = True
        self.failing = False
        self._notes = notes
        self._random = random.Random(seed)
        self._open: set[socket.socket] = set()
        self._served = ScriptedReplica(name, self._serve)

    @property
    def address(self) -> str:
        """Where it listens."""
        return self._served.record.address

    def crash(self) -> None:
        """Break everything off and listen no more."""
        self.alive = False
        self._served.stop()
        for connection in list(self._open):
            connection.close()

    def stop(self) -> None:
        """Listen no more."""
        self._served.stop()

    def _serve(self, served: ScriptedReplica, connection: socket.socket) -> None:
        self._open.add(connection)
        try:
            while self.alive:
                attempt = served.receive_request(connection)
                path = served.requests[-1][0].split()[1]
                if self.failing and self._random.random() < FAIL_SHARE:
                    self._refuse(connection, attempt)
                    continue
                note = RunNote(
                    at=time.monotonic(), attempt=attempt, path=path, replica=self.name
                )
                self._notes.append(note)
                if path.startswith("/chat/"):
                    self._stream(connection, attempt)
                else:
                    gevent.sleep(self._random.uniform(0.005, 0.04))
                    connection.sendall(make_response(attempt, attempt.encode()))
        finally:
            self._open.discard(connection)

    def _refuse(self, connection: socket.socket, attempt: str) -> None:
        connection.sendall(
            f"HTTP/1.1 503 Full\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )

    def _stream(self, connection: socket.socket, attempt: str) -> None:
        connection.sendall(make_stream_head(attempt))
        for number in range(1, EVENTS + 1):
            connection.sendall(make_chunk(make_event(number)))
            gevent.sleep(EVENT_SECONDS)
        connection.sendall(make_chunk(b""))
