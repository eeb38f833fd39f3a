"""
Crowds of slow callers
======================

Response forms of a replica, and callers that read them slowly or not at all.  The tests
of slow callers and ``bench.slowcallers`` use them.
"""

import os
from collections.abc import Callable
from pathlib import Path

import gevent
import msgspec
from gevent import socket

from tests.gateway_kit import (
    ScriptedReplica,
    make_chunk,
    make_request,
    make_response,
    make_stream_head,
)

# Socket buffers of the replicas and callers, so that the kernel holds few bytes for them.
SOCKET_BUFFER_BYTES = 16_384
# Bytes of the system's socket buffers between a gateway and a caller that doesn't read;
# streams and pipelined responses are longer.
ABSORBED_BYTES = 6_291_456
SMALL_BODY_BYTES = 200_000
LARGE_BODY_BYTES = 16_777_216
SMALL_EVENT_BYTES = 1_000
LARGE_EVENT_BYTES = 200_000
UNFINISHED_BODY_BYTES = 4_000_000
# Events that are sent in one chunk.
EVENTS_PER_CHUNK = 32
TRICKLE_BYTES = 512
TRICKLE_SECONDS = 0.05
RECONNECT_SECONDS = 0.2


class Variant(msgspec.Struct, kw_only=True, frozen=True):
    """
    How the callers of a crowd are answered, and how they read.

    Attributes
    ----------
    name : str
        Name of the variant in the output.
    form : str
        Path of the requests, which selects the form of the response.
    unfinished_body_bytes : int
        Bytes of a request's body after which a caller stops to send; 0 for callers
        that send complete requests.
    requests : int
        Requests that each caller sends on a connection before it reads.
    reads : bool
        Whether the callers read a few bytes at a time, or nothing.
    callers : int
        Callers of the crowd in a test.
    """

    name: str
    form: str
    callers: int
    unfinished_body_bytes: int = 0
    requests: int = 1
    reads: bool = False


_PIPELINED = 40
_RESPONSE_FORMS: dict[str, dict] = {
    "small-bodies": {"form": "/order/small", "callers": 160, "requests": _PIPELINED},
    "small-chunked-bodies": {
        "form": "/order/small-chunked", "callers": 160, "requests": _PIPELINED,
    },
    "large-bodies": {"form": "/order/large", "callers": 40},
    "large-chunked-bodies": {"form": "/order/large-chunked", "callers": 40},
    "several-large-bodies": {"form": "/order/large", "callers": 40, "requests": 3},
    "small-events": {"form": "/chat/small", "callers": 320},
    "large-events": {"form": "/chat/large", "callers": 160},
}  # fmt: skip
VARIANTS = [
    *(
        Variant(name=f"{name}-{'trickle' if reads else 'unread'}", reads=reads, **form)
        for name, form in _RESPONSE_FORMS.items()
        for reads in (False, True)
    ),
    Variant(
        name="unfinished-requests",
        form="/order/ordinary",
        callers=40,
        requests=0,
        unfinished_body_bytes=UNFINISHED_BODY_BYTES,
        reads=True,
    ),
]

_SMALL_BODY = b"s" * SMALL_BODY_BYTES
_LARGE_BODY = b"l" * LARGE_BODY_BYTES
_SMALL_EVENTS = make_chunk(
    (b"data: " + b"e" * (SMALL_EVENT_BYTES - 8) + b"\n\n") * EVENTS_PER_CHUNK
)
_LARGE_EVENT = make_chunk(b"data: " + b"E" * (LARGE_EVENT_BYTES - 8) + b"\n\n")


def serve_forms(replica: ScriptedReplica, connection: socket.socket) -> None:
    """Serve each request in the form that its path names."""
    while True:
        attempt = replica.receive_request(connection)
        form = replica.requests.pop()[0].split()[1]
        if form == "/order/large":
            connection.sendall(
                _make_head(attempt, f"Content-Length: {LARGE_BODY_BYTES}")
            )
            connection.sendall(_LARGE_BODY)
        elif form == "/order/small":
            connection.sendall(make_response(attempt, _SMALL_BODY))
        elif form.endswith("-chunked"):
            body = _LARGE_BODY if "large" in form else _SMALL_BODY
            connection.sendall(_make_head(attempt, "Transfer-Encoding: chunked"))
            for start in range(0, len(body), 65_536):
                connection.sendall(make_chunk(body[start : start + 65_536]))
            connection.sendall(make_chunk(b""))
        elif form.startswith("/chat/"):
            chunk = _LARGE_EVENT if "large" in form else _SMALL_EVENTS
            connection.sendall(make_stream_head(attempt))
            for _ in range(2 * ABSORBED_BYTES // len(chunk)):
                connection.sendall(chunk)
            connection.sendall(make_chunk(b""))
        else:
            connection.sendall(make_response(attempt, b"ordinary"))


def _make_head(attempt: str, framing: str) -> bytes:
    return (
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s\r\n"
        f"{framing}\r\n\r\n"
    ).encode()


class Crowd:
    """
    Callers that send requests and read the responses slowly or not at all.

    One whose connection ends connects again.

    Parameters
    ----------
    variant : Variant
    port : int
        The gateway's port for callers, on the loopback address.
    callers : int or None
        Number of callers; by default that of the variant.
    """

    def __init__(
        self, variant: Variant, port: int, *, callers: int | None = None
    ) -> None:
        self._variant = variant
        self._port = port
        self._greenlets = [
            gevent.spawn_later(0.005 * number, self._run, number)
            for number in range(callers or variant.callers)
        ]
        self._connections: set[socket.socket] = set()

    def stop(self) -> None:
        """End all callers."""
        gevent.killall(self._greenlets)
        for connection in list(self._connections):
            connection.close()

    def _run(self, number: int) -> None:
        round_number = 0
        while True:
            round_number += 1
            connection = socket.socket()
            self._connections.add(connection)
            try:
                self._call(connection, f"s{number}-{round_number}")
            except OSError:
                pass
            finally:
                self._connections.discard(connection)
                connection.close()
            gevent.sleep(RECONNECT_SECONDS)

    def _call(self, connection: socket.socket, attempt: str) -> None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        connection.connect(("127.0.0.1", self._port))
        for part in range(self._variant.requests):
            connection.sendall(
                make_request(
                    self._variant.form,
                    method="POST",
                    body="x",
                    attempt=f"{attempt}-{part}",
                )
            )
        if self._variant.unfinished_body_bytes:
            self._send_unfinished_request(connection, attempt)
        while not self._variant.reads:
            gevent.sleep(1.0)
        while connection.recv(TRICKLE_BYTES):
            gevent.sleep(TRICKLE_SECONDS)

    def _send_unfinished_request(self, connection: socket.socket, attempt: str) -> None:
        size = self._variant.unfinished_body_bytes
        head = make_request(
            self._variant.form,
            method="POST",
            attempt=attempt,
            extra_headers=f"Content-Length: {size + 1}\r\n",
        )
        connection.sendall(head + b"x" * size)


def limit_socket_buffers(replica: ScriptedReplica) -> None:
    """Make the replica's connections buffer few bytes that the gateway doesn't read."""
    replica._server.socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES
    )


def read_peak_memory(pid: int) -> int:
    """Return the peak of the memory that a process has held, in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise ProcessLookupError(pid)


def count_descriptors(pid: int) -> int:
    """Return the number of descriptors that a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def sample_peak(read: Callable[[], int], *, seconds: float) -> int:
    """Return the largest of the figures that are read for some seconds."""
    peak = 0
    with gevent.Timeout(seconds, False):
        while True:
            peak = max(peak, read())
            gevent.sleep(0.02)
    return peak
