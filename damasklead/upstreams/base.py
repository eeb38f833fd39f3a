"""
Upstream interface
==================

What the entry asks of an upstream, whatever kind it is.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable

import msgspec
from gevent import socket

from damasklead.ids import AttemptId, Incarnation
from damasklead.requests import Failure
from damasklead.sharing import LoadReport
from damasklead.upstreams.transport import (
    Answer,
    ConnectionPool,
    UpstreamError,
    exchange,
)

__all__ = ["LEAVING_HEADER", "OutgoingCall", "Upstream", "UpstreamStatus"]

LEAVING_HEADER = "X-Leaving"

CONTROL_SILENCE = 1.0  # seconds


class OutgoingCall(msgspec.Struct, kw_only=True, frozen=True):
    """
    One attempt as it goes to an upstream.

    Attributes
    ----------
    attempt : str
        Sent as the request id; the answer must carry the same.
    priority : int
        The tier; smaller goes first.
    repeatable : bool
        Whether the call may use a kept connection, whose early end leaves the outcome
        open.
    """

    attempt: AttemptId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    priority: int
    repeatable: bool
    silence: float


class UpstreamStatus(msgspec.Struct, kw_only=True, frozen=True):
    """
    An upstream's own word on itself.

    ``models`` and ``loading`` are ``model@version`` texts, for engines.
    """

    incarnation: Incarnation
    leaving: bool = False
    load: LoadReport | None = None
    models: tuple[str, ...] = ()
    loading: tuple[str, ...] = ()


class Upstream(ABC):
    """One kind of upstream."""

    name: str
    aliases: tuple[str, ...] = ()

    def __init__(self, *, pool: ConnectionPool) -> None:
        self._pool = pool

    def send(
        self,
        address: str,
        call: OutgoingCall,
        *,
        on_connect: Callable[[socket.socket], None] | None = None,
    ) -> Answer:
        """
        Send an attempt.

        Parameters
        ----------
        on_connect : callable, optional
            Is given the connection before anything is sent; closing it interrupts the
            call.

        Raises
        ------
        UpstreamError
            When there is no answer, or the upstream refused the request unrun.
        """
        headers = (
            *call.headers,
            ("X-Request-ID", call.attempt),
            *self.extra_headers(call),
        )
        answer = exchange(
            self._pool,
            address,
            method=call.method,
            path=call.path,
            headers=headers,
            body=call.body,
            silence=call.silence,
            fresh=not call.repeatable,
            on_connect=on_connect,
        )
        self.check(answer, call)
        return answer

    def extra_headers(self, call: OutgoingCall) -> tuple[tuple[str, str], ...]:
        """Return the headers that this kind of upstream takes besides."""
        return ()

    @abstractmethod
    def check(self, answer: Answer, call: OutgoingCall) -> None:
        """Raise ``UpstreamError`` when the answer is a refusal or another request's."""

    def status(self, address: str) -> UpstreamStatus:
        """Return the upstream's load report; raises ``UpstreamError``."""
        try:
            return msgspec.json.decode(
                self.control(address, "GET", "/load"), type=UpstreamStatus
            )
        except msgspec.DecodeError as error:
            raise UpstreamError(Failure.BROKEN, f"load report: {error}") from error

    def cancel(self, address: str, attempt: AttemptId) -> None:
        """Tell the upstream that an answer is not wanted, where it can be told."""
        return

    def control(self, address: str, method: str, path: str, body: bytes = b"") -> bytes:
        """
        Send a control call and return its answer's body; raises ``UpstreamError``.
        """
        answer = exchange(
            self._pool,
            address,
            method=method,
            path=path,
            headers=(("Content-Type", "application/json"),),
            body=body,
            silence=CONTROL_SILENCE,
        )
        content = answer.read_all(limit=1_000_000)
        if answer.status >= 400:
            raise UpstreamError(Failure.REFUSED, f"control call: {answer.status}")
        return content
