"""
Callers
=======

Callers that keep their connections and note what they were answered.
"""

import random
import time
from collections.abc import Callable

import gevent
import msgspec
from gevent import select, socket

from tests.gatewaykit import make_request

__all__ = ["AnswerNote", "Caller"]

PATHS = ("/order/1", "/read/1", "/chat/1")
WEIGHTS = (0.4, 0.3, 0.3)
# Longer than any route's time.
PATIENCE_SECONDS = 8.0
PAUSE_SECONDS = 0.05


class AnswerNote(msgspec.Struct, kw_only=True):
    """
    What a caller was answered.

    Attributes
    ----------
    status : int
        0 when the connection ended before a whole head.
    whole : bool
        Whether the answer was complete as HTTP counts it.
    """

    sent_at: float
    attempt: str
    path: str
    gateway: str
    status: int = 0
    body: bytes = b""
    whole: bool = False


class Caller:
    """
    One caller, which sends one request after the other.

    Parameters
    ----------
    name : str
    ports : dict
        The gateways' ports by name.
    ready : callable
        Returns the names of gateways that say they are ready.
    notes : list of AnswerNote
    seed : int
    """

    def __init__(
        self,
        *,
        name: str,
        ports: dict[str, int],
        ready: Callable[[], list[str]],
        notes: list[AnswerNote],
        seed: int,
    ) -> None:
        self._name = name
        self._ports = ports
        self._ready = ready
        self._notes = notes
        self._random = random.Random(seed)
        self._connections: dict[str, socket.socket] = {}
        self._sent = 0

    def run(self) -> None:
        """Send forever."""
        while True:
            gevent.sleep(self._random.expovariate(1 / PAUSE_SECONDS))
            gateways = self._ready()
            if gateways:
                self._ask(self._random.choice(gateways))

    def _ask(self, gateway: str) -> None:
        self._sent += 1
        path = self._random.choices(PATHS, WEIGHTS)[0]
        note = AnswerNote(
            sent_at=time.monotonic(),
            attempt=f"{self._name}-{self._sent}",
            path=path,
            gateway=gateway,
        )
        method = "GET" if path.startswith("/read/") else "POST"
        data = make_request(path, method=method, body="x", attempt=note.attempt)
        try:
            # A kept connection is used until the gateway has closed it.
            connection = self._connections.pop(gateway, None)
            if connection is None or _is_closed(connection):
                connection = socket.create_connection(
                    ("127.0.0.1", self._ports[gateway]), timeout=PATIENCE_SECONDS
                )
            connection.sendall(data)
            self._notes.append(note)
            if _read_answer(connection, note):
                self._connections[gateway] = connection
            else:
                connection.close()
        except OSError:
            # The note says what came until then.
            return


def _is_closed(connection: socket.socket) -> bool:
    """Tell whether the peer has closed an idle connection."""
    readable, _, _ = select.select([connection], [], [], 0)
    return bool(readable)


def _read_answer(connection: socket.socket, note: AnswerNote) -> bool:
    """Read one answer into a note; returns whether the connection may be kept."""
    stream = connection.makefile("rb")
    line = stream.readline()
    if not line.endswith(b"\r\n"):
        return False
    headers: dict[str, str] = {}
    while (field := stream.readline()) not in (b"\r\n", b""):
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    note.status = int(line.split()[1])
    if "content-length" in headers:
        length = int(headers["content-length"])
        note.body = stream.read(length)
        note.whole = len(note.body) == length
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        _read_chunks(stream, note)
    else:
        note.body = stream.read()
    return note.whole and headers.get("connection", "").lower() != "close"


def _read_chunks(stream: "socket.SocketIO", note: AnswerNote) -> None:
    while size_line := stream.readline():
        size = int(size_line, 16)
        data = stream.read(size)
        note.body += data
        if len(data) < size or stream.read(2) != b"\r\n":
            return
        if not size:
            note.whole = True
            return
