"""
Replica process
===============

A replica whose streams consist of numbered events, each of which names the run that
sent it.  Some responses have no length and end with their connection.

Usage: ``python -m soak.streams.replica OPTIONS``, with ``ReplicaOptions`` as JSON.
SIGUSR1 ends all connections while the listening socket stays open for some time, as on
a host that closes the connections of a crashed process one after the other.
"""

import os
import random
import signal
import sys
import time
from pathlib import Path

import gevent
import msgspec
from gevent import socket
from gevent.server import StreamServer

from tests.http_messages import make_chunk, read_request

__all__ = ["KINDS", "Kind", "ReplicaOptions", "Run", "make_event"]

# A replica cuts off a response that nobody reads for this time.
UNREAD_SECONDS = 2.0
# Small, so that a reader that stands still is noticed.
SEND_BUFFER_BYTES = 16_384
# Fraction of the events that are sent in two pieces, and the pause between them.
SPLIT_FRACTION = 0.2
SPLIT_PAUSE_SECONDS = 0.01
BIND_INTERVAL_SECONDS = 0.001
LINGER_SECONDS = 0.3
BODY_PIECES = 4
BODY_PAUSE_SECONDS = 0.01


class Kind(msgspec.Struct, kw_only=True, frozen=True):
    """
    A kind of request.

    Attributes
    ----------
    events : int
        Events of a stream; 0 for a short response.
    interval : float
        Seconds between two events.
    padding : int
        Bytes that each event has beside its number.
    is_resumable : bool
        Whether another run may go on after ``Last-Event-Id``.
    head_delay : float
        Seconds until the head of the response.
    ends_after_event : bool
        Whether a response that nobody reads is cut off after the present event, as by
        servers that send what they have queued before they close.
    """

    events: int = 0
    interval: float = 0.0
    padding: int = 40
    is_resumable: bool = False
    head_delay: float = 0.0
    ends_after_event: bool = False


# By the first part of the path.
KINDS = {
    "contract": Kind(events=13, interval=0.1, padding=30_000),
    "draft": Kind(events=12, interval=0.06, is_resumable=True),
    "chat": Kind(events=50, interval=0.04),
    "summary": Kind(
        events=13, interval=0.02, padding=30_000, head_delay=1.2, ends_after_event=True
    ),
    "order": Kind(),
    "read": Kind(),
}


class ReplicaOptions(msgspec.Struct, kw_only=True, frozen=True):
    """
    Options of a replica process.

    Attributes
    ----------
    name : str
        Instance id.
    port : int
        Port to listen at; a process waits until its predecessor has left it.
    born : int
        Start of the replica, which its reports name.
    notes : str
        File that the runs are appended to.
    unframed_fraction : float
        Share of the responses that have no length.
    """

    name: str
    port: int
    born: int
    notes: str
    unframed_fraction: float = 0.25


class Run(msgspec.Struct, kw_only=True, frozen=True):
    """
    A line of the notes: a run that began, or that has sent its whole response.

    Attributes
    ----------
    run : str
        Token that each of its events bears.
    after : int
        Number of the event after which it goes on.
    """

    attempt: str
    run: str
    path: str
    replica: str
    is_unframed: bool
    is_end: bool
    at: float
    after: int = 0


def make_event(number: int, run: str, padding: int) -> bytes:
    """Return an event with its number and its run."""
    return f"id: {number}\ndata: {run} {number} {'x' * padding}\n\n".encode()


class _Server:
    def __init__(self, options: ReplicaOptions) -> None:
        self._options = options
        self._random = random.Random(options.born)
        self._notes = os.open(options.notes, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        self._open: set[socket.socket] = set()
        self._server: StreamServer | None = None

    def run(self) -> None:
        while True:
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                listener.bind(("127.0.0.1", self._options.port))
                listener.listen(512)
                break
            except OSError:
                listener.close()
                gevent.sleep(BIND_INTERVAL_SECONDS)
        self._server = StreamServer(listener, self._serve)
        gevent.signal_handler(signal.SIGUSR1, self._crash_slowly)
        self._server.serve_forever()

    def _crash_slowly(self) -> None:
        assert self._server is not None
        self._server.stop_accepting()
        for connection in list(self._open):
            connection.close()
        # Nothing runs any more, but for the kernel's backlog.
        time.sleep(LINGER_SECONDS)
        os._exit(1)

    def _serve(self, connection: socket.socket, _peer: object) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        connection.settimeout(None)
        self._open.add(connection)
        try:
            while True:
                line, headers, _ = read_request(connection)
                connection.settimeout(UNREAD_SECONDS)
                if not self._respond(connection, line.split()[1], headers):
                    return
                connection.settimeout(None)
        except (OSError, EOFError):
            return
        finally:
            self._open.discard(connection)
            connection.close()

    def _respond(
        self, connection: socket.socket, path: str, headers: dict[str, str]
    ) -> bool:
        """Respond to a request; returns whether the connection stays open."""
        options = self._options
        if path.startswith("/-/report"):
            report = {
                "phase": "unified", "models": [], "busy": False, "sequence": 1,
                "queued": 0, "active": len(self._open), "born": options.born,
            }  # fmt: skip
            body = msgspec.json.encode(report)
            connection.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
            )
            return True
        attempt = headers.get("attempt-id", "")
        head = f"Attempt-Id: {attempt}\r\nResponse-Signature: s\r\n"
        if headers.get("expected-instance", options.name) != options.name:
            text = f"HTTP/1.1 421 Misdirected\r\n{head}Content-Length: 0\r\n\r\n"
            connection.sendall(text.encode())
            return True
        name = path.split("/")[1]
        if name not in KINDS:
            connection.sendall(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
            return True
        kind = KINDS[name]
        run = Run(
            attempt=attempt,
            run=f"{options.name}.{options.born}.{self._random.getrandbits(32):08x}",
            path=path,
            replica=options.name,
            is_unframed=self._random.random() < options.unframed_fraction,
            is_end=False,
            at=time.monotonic(),
            after=int(headers.get("last-event-id", 0)) if kind.is_resumable else 0,
        )
        self._note(run)
        timeout = gevent.Timeout(int(headers.get("deadline-ms", 60_000)) / 1000)
        with timeout:
            try:
                if kind.events:
                    self._stream(connection, head, kind, run)
                else:
                    self._send_body(connection, head, run)
            except gevent.Timeout as error:
                if error is not timeout:
                    raise
                return False
        self._note(msgspec.structs.replace(run, is_end=True, at=time.monotonic()))
        return not run.is_unframed

    def _note(self, run: Run) -> None:
        os.write(self._notes, msgspec.json.encode(run) + b"\n")

    def _send_body(self, connection: socket.socket, head: str, run: Run) -> None:
        gevent.sleep(0.015)
        pieces = [f"{run.run} {number}\n".encode() for number in range(BODY_PIECES)]
        length = sum(map(len, pieces))
        framing = (
            "Connection: close" if run.is_unframed else f"Content-Length: {length}"
        )
        connection.sendall(f"HTTP/1.1 200 OK\r\n{head}{framing}\r\n\r\n".encode())
        for piece in pieces:
            connection.sendall(piece)
            gevent.sleep(BODY_PAUSE_SECONDS)

    def _stream(
        self, connection: socket.socket, head: str, kind: Kind, run: Run
    ) -> None:
        framing = (
            "Connection: close" if run.is_unframed else "Transfer-Encoding: chunked"
        )
        head += f"Content-Type: text/event-stream\r\n{framing}\r\n\r\n"
        gevent.sleep(kind.head_delay)
        connection.sendall(f"HTTP/1.1 200 OK\r\n{head}".encode())
        for number in range(run.after + 1, kind.events + 1):
            event = make_event(number, run.run, kind.padding)
            cut = len(event)
            if not kind.ends_after_event and self._random.random() < SPLIT_FRACTION:
                cut = self._random.randrange(1, len(event))
            for piece in (event[:cut], event[cut:]):
                if piece:
                    data = piece if run.is_unframed else make_chunk(piece)
                    if kind.ends_after_event:
                        _send_whole(connection, data)
                    else:
                        connection.sendall(data)
                    gevent.sleep(SPLIT_PAUSE_SECONDS)
            gevent.sleep(kind.interval)
        if not run.is_unframed:
            connection.sendall(make_chunk(b""))


def _send_whole(connection: socket.socket, data: bytes) -> None:
    """
    Send data, all of it even if nobody reads it in time.

    Raises
    ------
    OSError
        In that case afterwards, and if the connection has ended.
    """
    unsent, late_error = memoryview(data), None
    while unsent:
        try:
            unsent = unsent[connection.send(unsent) :]
        except TimeoutError as error:
            late_error = error
            connection.settimeout(None)
    if late_error is not None:
        raise late_error


def main() -> int:
    """Serve until the process is killed."""
    options = msgspec.json.decode(sys.argv[1], type=ReplicaOptions)
    Path(options.notes).parent.mkdir(parents=True, exist_ok=True)
    _Server(options).run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
