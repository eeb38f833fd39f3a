"""
Callers
=======

Callers that reuse their connections and record the responses that they receive.
"""

import random
import time
from collections.abc import Callable, Sequence

import gevent
import msgspec
from gevent import select, socket

from soak.replicas import CRASHING_PART
from tests.gateway_kit import make_request

__all__ = ["Caller", "ObservedResponse", "read_response"]

RESUMABLE_PATH = "/draft/1"
PATHS = ("/order/1", "/read/1", "/chat/1", RESUMABLE_PATH)
PATH_WEIGHTS = (0.35, 0.25, 0.2, 0.2)
# How often a stream that broke off is taken up.
MAX_RESUMPTIONS = 2
# Longer than the timeout of every route.
RESPONSE_TIMEOUT_SECONDS = 8.0
MEAN_PAUSE_SECONDS = 0.05
# The same between requests that crash replicas.
CRASHING_PAUSE_SECONDS = 0.3


class ObservedResponse(msgspec.Struct, kw_only=True):
    """
    The response to one request as its caller saw it.

    Attributes
    ----------
    sent_at : float
        Time of the request, in seconds of the monotonic clock.
    attempt : str
        Attempt id of the request.
    path : str
        Path of the request, which selects the route.
    gateway : str
        Name of the gateway that got the request.
    status : int
        HTTP status; 0 when the connection ended before a complete response head.
    body : bytes
        The bytes of the body received.
    is_complete : bool
        Whether the body was complete by its HTTP framing.
    has_crashing_part : bool
        Whether the request's prompt has the part that crashes replicas.
    events_before : bytes
        The complete events that earlier attempts at the stream have brought.
    """

    sent_at: float
    attempt: str
    path: str
    gateway: str
    status: int = 0
    body: bytes = b""
    is_complete: bool = False
    has_crashing_part: bool = False
    events_before: bytes = b""

    @property
    def events(self) -> bytes:
        """The complete events that all attempts at the stream have brought."""
        if self.status != 200:
            return self.events_before
        events, delimiter, _ = self.body.rpartition(b"\n\n")
        return self.events_before + events + delimiter


class Caller:
    """
    A caller that sends one request at a time.

    Parameters
    ----------
    name : str
        Prefix of the attempt ids.
    ports : dict
        The gateways' ports for callers, by gateway name.
    list_ready_gateways : callable
        Returns the names of the gateways that reported to be ready.
    responses : list of ObservedResponse
        Where all callers append their responses.
    seed : int
        Seed of the pauses, of the choice of gateways and of the paths.
    has_crashing_part : bool
        Whether all prompts have the part that crashes replicas; otherwise they share
        only their first part with those that have it.
    path_weights : sequence of float
        How often each of ``PATHS`` is requested.
    """

    def __init__(
        self,
        *,
        name: str,
        ports: dict[str, int],
        list_ready_gateways: Callable[[], list[str]],
        responses: list[ObservedResponse],
        seed: int,
        has_crashing_part: bool = False,
        path_weights: Sequence[float] = PATH_WEIGHTS,
    ) -> None:
        self._path_weights = path_weights
        self._has_crashing_part = has_crashing_part
        self._name = name
        self._ports = ports
        self._list_ready_gateways = list_ready_gateways
        self._responses = responses
        self._random = random.Random(seed)
        self._connections: dict[str, socket.socket] = {}
        self._request_count = 0
        # Second prompt part of the latest stream, by its first attempt.
        self._second_parts: dict[str, str] = {}

    def run(self) -> None:
        """Send requests to ready gateways until the greenlet is killed."""
        while True:
            pause = (
                CRASHING_PAUSE_SECONDS
                if self._has_crashing_part
                else MEAN_PAUSE_SECONDS
            )
            gevent.sleep(self._random.expovariate(1 / pause))
            gateways = self._list_ready_gateways()
            if gateways:
                path = self._random.choices(PATHS, self._path_weights)[0]
                response = self._send_request(self._random.choice(gateways), path)
                if path == RESUMABLE_PATH:
                    self._complete_stream(response)

    def _complete_stream(self, first: ObservedResponse) -> None:
        """Take a stream up at other gateways while it breaks off."""
        response = first
        for _ in range(MAX_RESUMPTIONS):
            gateways = self._list_ready_gateways()
            if response.is_complete or not response.events or not gateways:
                return
            response = self._send_request(
                self._random.choice(gateways),
                first.path,
                resumes=first.attempt,
                events_before=response.events,
            )

    def _send_request(
        self,
        gateway: str,
        path: str,
        *,
        resumes: str = "",
        events_before: bytes = b"",
    ) -> ObservedResponse:
        self._request_count += 1
        response = ObservedResponse(
            sent_at=time.monotonic(),
            attempt=f"{self._name}-{self._request_count}",
            path=path,
            gateway=gateway,
            has_crashing_part=self._has_crashing_part,
            events_before=events_before,
        )
        method = "GET" if path.startswith("/read/") else "POST"
        second = (
            CRASHING_PART if self._has_crashing_part else f"s{self._request_count % 5}"
        )
        # Attempts at one stream have the same content.
        content = resumes or response.attempt
        if resumes:
            second = self._second_parts[resumes]
        self._second_parts = {content: second}
        extra_headers = f"Prefix-Hash: first:800,{second}:90,{content}:20\r\n"
        if resumes:
            last_id = events_before.count(b"id: ")
            extra_headers += f"Resumes: {resumes}\r\nLast-Event-Id: {last_id}\r\n"
        data = make_request(
            path,
            method=method,
            body=content if method == "POST" else "",
            attempt=response.attempt,
            extra_headers=extra_headers,
        )
        try:
            # Idle connections are reused until the gateway closes them.
            connection = self._connections.pop(gateway, None)
            if connection is None or _is_closed(connection):
                connection = socket.create_connection(
                    ("127.0.0.1", self._ports[gateway]),
                    timeout=RESPONSE_TIMEOUT_SECONDS,
                )
            connection.sendall(data)
            self._responses.append(response)
            if read_response(connection, response):
                self._connections[gateway] = connection
            else:
                connection.close()
        except OSError:
            # The record keeps what was received before the error.
            return response
        return response


def _is_closed(connection: socket.socket) -> bool:
    """Return whether the peer has closed an idle connection."""
    # Unlike select, poll has no upper bound of descriptors, which large runs exceed.
    poller = select.poll()
    poller.register(connection, select.POLLIN)
    return bool(poller.poll(0))


def read_response(connection: socket.socket, response: ObservedResponse) -> bool:
    """Read a response into its record; returns whether the connection is reusable."""
    stream = connection.makefile("rb")
    line = stream.readline()
    if not line.endswith(b"\r\n"):
        return False
    headers: dict[str, str] = {}
    while (field := stream.readline()) not in (b"\r\n", b""):
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    response.status = int(line.split()[1])
    if "content-length" in headers:
        length = int(headers["content-length"])
        response.body = stream.read(length)
        response.is_complete = len(response.body) == length
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        _read_chunked_body(stream, response)
    else:
        response.body = stream.read()
    return response.is_complete and headers.get("connection", "").lower() != "close"


def _read_chunked_body(stream: "socket.SocketIO", response: ObservedResponse) -> None:
    while size_line := stream.readline():
        size = int(size_line, 16)
        data = stream.read(size)
        response.body += data
        if len(data) < size or stream.read(2) != b"\r\n":
            return
        if not size:
            response.is_complete = True
            return
