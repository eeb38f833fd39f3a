"""
Callers
=======

Callers that record what they get of each stream and response, and take resumable
streams up that broke off.
"""

import random
import time
from collections.abc import Callable

import gevent
import msgspec
from gevent import socket

from soak.callers import ObservedResponse, read_response
from soak.streams.replica import KINDS
from tests.gateway_kit import make_request

__all__ = ["ObservedStream", "StreamCaller"]

KIND_WEIGHTS = {
    "contract": 2, "draft": 3, "chat": 3, "order": 1, "read": 1, "summary": 3,
}  # fmt: skip
MAX_RESUMPTIONS = 2
TIMEOUT_SECONDS = 8.0
MEAN_PAUSE_SECONDS = 0.1
CONNECT_TIMEOUT_SECONDS = 1.0


class ObservedStream(msgspec.Struct, kw_only=True):
    """
    A response as its caller saw it, with those that took its stream up.

    Attributes
    ----------
    kind : str
        Key in ``KINDS``.
    parts : list of ObservedResponse
        The first response, and those to the attempts that took the stream up.
    """

    kind: str
    parts: list[ObservedResponse]

    @property
    def is_complete(self) -> bool:
        """Whether the last part was a success that is complete by its framing."""
        return self.parts[-1].status == 200 and self.parts[-1].is_complete


class StreamCaller:
    """
    A caller that sends one request at a time, each on a new connection.

    Parameters
    ----------
    name : str
        Prefix of the attempt ids.
    ports : dict
        The gateways' ports for callers, by gateway name.
    list_ready_gateways : callable
        Returns the names of the gateways that reported to be ready.
    streams : list of ObservedStream
        Where all callers append what they got.
    seed : int
    """

    def __init__(
        self,
        *,
        name: str,
        ports: dict[str, int],
        list_ready_gateways: Callable[[], list[str]],
        streams: list[ObservedStream],
        seed: int,
    ) -> None:
        self._name = name
        self._ports = ports
        self._list_ready_gateways = list_ready_gateways
        self._streams = streams
        self._random = random.Random(seed)
        self._count = 0

    def run(self) -> None:
        """Send requests to ready gateways until the greenlet is killed."""
        while True:
            gevent.sleep(self._random.expovariate(1 / MEAN_PAUSE_SECONDS))
            gateways = self._list_ready_gateways()
            if not gateways:
                continue
            kind = self._random.choices([*KIND_WEIGHTS], [*KIND_WEIGHTS.values()])[0]
            first = self._send(self._random.choice(gateways), kind)
            stream = ObservedStream(kind=kind, parts=[first])
            while self._is_resumed(stream):
                gateways = self._list_ready_gateways()
                if not gateways:
                    break
                stream.parts.append(
                    self._send(
                        self._random.choice(gateways),
                        kind,
                        resumes=first.attempt,
                        events_before=stream.parts[-1].events,
                    )
                )
            self._streams.append(stream)

    def _is_resumed(self, stream: ObservedStream) -> bool:
        return (
            KINDS[stream.kind].is_resumable
            and not stream.is_complete
            and bool(stream.parts[-1].events)
            and len(stream.parts) <= MAX_RESUMPTIONS
        )

    def _send(
        self, gateway: str, kind: str, *, resumes: str = "", events_before: bytes = b""
    ) -> ObservedResponse:
        self._count += 1
        response = ObservedResponse(
            sent_at=time.monotonic(),
            attempt=f"{self._name}-{self._count}",
            path=f"/{kind}/1",
            gateway=gateway,
            events_before=events_before,
        )
        content = resumes or response.attempt
        headers = f"Prefix-Hash: first:800,{self._name}:90,{content}:20\r\n"
        if resumes:
            last_id = events_before.rpartition(b"id: ")[2].partition(b"\n")[0].decode()
            headers += f"Resumes: {resumes}\r\nLast-Event-Id: {last_id}\r\n"
        method = "GET" if kind == "read" else "POST"
        data = make_request(
            response.path,
            method=method,
            body="" if method == "GET" else content,
            attempt=response.attempt,
            extra_headers=headers + f"Deadline-Ms: {int(TIMEOUT_SECONDS * 1000)}\r\n",
            close=True,
        )
        address = ("127.0.0.1", self._ports[gateway])
        try:
            with (
                gevent.Timeout(TIMEOUT_SECONDS, TimeoutError()),
                socket.create_connection(
                    address, timeout=CONNECT_TIMEOUT_SECONDS
                ) as connection,
            ):
                connection.settimeout(None)
                connection.sendall(data)
                read_response(connection, response)
        except OSError:
            return response  # with what was received before
        return response
