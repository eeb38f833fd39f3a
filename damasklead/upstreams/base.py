"""
Upstream interface
==================

The operations that an entry uses on upstreams of every kind.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Annotated

import msgspec
from gevent import socket

from damasklead.decoding import decode_json
from damasklead.ids import AttemptId, Incarnation
from damasklead.requests import Failure
from damasklead.sharing import LoadReport
from damasklead.unframed_ends import find_end_doubt
from damasklead.upstreams.calls import fetch_response
from damasklead.upstreams.transport import (
    ConnectionPool,
    UpstreamError,
    UpstreamResponse,
    send_request,
)

__all__ = [
    "LEAVING_HEADER",
    "STATUS_TARGET",
    "Upstream",
    "UpstreamRequest",
    "UpstreamStatus",
]

LEAVING_HEADER = "X-Leaving"
# Request target at which an upstream reports its state.
STATUS_TARGET = "/load"

CONTROL_TIMEOUT_SECONDS = 1.0
# The same until the response is complete.
CONTROL_TOTAL_SECONDS = 2.0
MAX_CONTROL_RESPONSE_BYTES = 1_000_000
# The first one may go over an idle connection that the upstream is closing.
REPORT_ATTEMPTS = 2


class UpstreamRequest(msgspec.Struct, kw_only=True, frozen=True):
    """
    One attempt's request as it is sent to an upstream.

    Attributes
    ----------
    attempt : str
        Sent as the request id. A response with another id belongs to another request.
    method, path : str
        Request line.
    headers : tuple of (str, str)
        Headers besides those that the upstream's kind adds.
    body : bytes
        Content.
    priority : int
        Tier of the request; 1 is the highest priority.
    is_idempotent : bool
        Whether the request may be executed twice. Only then does it go over a pooled
        connection: when the upstream closes that, it is unknown whether the request
        was executed.
    read_timeout : float
        Seconds without data after which the attempt fails.
    """

    attempt: AttemptId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    priority: int
    is_idempotent: bool
    read_timeout: float


class UpstreamStatus(msgspec.Struct, kw_only=True, frozen=True):
    """
    The state that an upstream reports of itself.

    Attributes
    ----------
    incarnation : int
        Increases with each start of the upstream.
    leaving : bool
        Whether it accepts no new requests because it is to stop.
    load : LoadReport or None
        Its load, if it reports one.
    models, loading : tuple of str
        For engines, the loaded models and those being loaded, as ``model@version``.
    """

    # Other entries get it in messages, which hold 64 bits.
    incarnation: Annotated[Incarnation, msgspec.Meta(ge=0, le=2**63 - 1)]
    leaving: bool = False
    load: LoadReport | None = None
    models: tuple[str, ...] = ()
    loading: tuple[str, ...] = ()


class Upstream(ABC):
    """
    Client of one kind of upstream.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to upstreams of all kinds.

    Attributes
    ----------
    name : str
        Name of the kind in configuration files.
    aliases : tuple of str
        Other names of the kind.
    """

    name: str
    aliases: tuple[str, ...] = ()

    def __init__(self, *, pool: ConnectionPool) -> None:
        self._pool = pool

    def send_attempt(
        self,
        address: str,
        request: UpstreamRequest,
        *,
        on_connect: Callable[[socket.socket], None] | None = None,
    ) -> UpstreamResponse:
        """
        Send an attempt's request and wait for the head of the response.

        Parameters
        ----------
        address : str
            Address of the upstream, ``ip:port``.
        request : UpstreamRequest
            Request of the attempt.
        on_connect : callable, optional
            Called with the connection before anything is sent. Closing the connection
            interrupts the attempt.

        Raises
        ------
        UpstreamError
            When there is no response, it belongs to another request, or the upstream
            refused the request without executing it.
        """
        headers = (
            *request.headers,
            ("X-Request-ID", request.attempt),
            *self.build_extra_headers(request),
        )
        response = send_request(
            self._pool,
            address,
            method=request.method,
            path=request.path,
            headers=headers,
            body=request.body,
            read_timeout=request.read_timeout,
            force_new_connection=not request.is_idempotent,
            on_connect=on_connect,
        )
        try:
            self.check_response(response, request)
        except UpstreamError as error:
            error.rate_limit = response.rate_limit
            raise
        return response

    def build_extra_headers(
        self, request: UpstreamRequest
    ) -> tuple[tuple[str, str], ...]:
        """Return the headers that only this kind of upstream reads."""
        return ()

    @abstractmethod
    def check_response(
        self, response: UpstreamResponse, request: UpstreamRequest
    ) -> None:
        """
        Raise ``UpstreamError`` for a refusal or for the response to another request.
        """

    def fetch_status(self, address: str) -> UpstreamStatus:
        """Return the state that an upstream reports; raises ``UpstreamError``."""
        try:
            return decode_json(
                self.send_control_request(address, "GET", STATUS_TARGET),
                type=UpstreamStatus,
            )
        except msgspec.DecodeError as error:
            raise UpstreamError(Failure.BROKEN, f"load report: {error}") from error

    def check_unframed_end(
        self, address: str, response: UpstreamResponse, *, incarnation: Incarnation
    ) -> None:
        """
        Check that the end of the connection, if it delimits a response, is shown to be
        the end of the response.

        Parameters
        ----------
        address : str
            Address of the upstream, ``ip:port``.
        response : UpstreamResponse
        incarnation : Incarnation
            Start of the upstream that the request was sent to.

        Raises
        ------
        UpstreamError
            ``BROKEN`` when it isn't.
        """
        if not response.is_unframed:
            return
        doubt = find_end_doubt(
            is_tunnel=response.is_tunnel,
            incarnation=incarnation,
            reported=None if response.is_tunnel else self._ask_incarnation(address),
            is_late=False,  # upstreams are given no deadline
            is_interrupted=response.is_interrupted,
        )
        if doubt is not None:
            raise UpstreamError(
                Failure.BROKEN, f"the end proves nothing: {doubt.value}"
            )

    def _ask_incarnation(self, address: str) -> Incarnation | None:
        """Return the start that an upstream reports now, ``None`` if it doesn't."""
        for _ in range(REPORT_ATTEMPTS):
            try:
                return self.fetch_status(address).incarnation
            except UpstreamError:
                continue
        return None

    def cancel_attempt(self, address: str, attempt: AttemptId) -> None:
        """Cancel an attempt, on kinds of upstreams that support it."""
        return

    def send_control_request(
        self, address: str, method: str, path: str, body: bytes = b""
    ) -> bytes:
        """
        Send a control request and return the body of the response.

        Raises
        ------
        UpstreamError
            When there is no response or its status is an error.
        """
        response, content = fetch_response(
            self._pool,
            address,
            method=method,
            path=path,
            headers=(("Content-Type", "application/json"),),
            body=body,
            read_timeout=CONTROL_TIMEOUT_SECONDS,
            total_timeout=CONTROL_TOTAL_SECONDS,
            limit=MAX_CONTROL_RESPONSE_BYTES,
        )
        if response.status >= 400:
            raise UpstreamError(
                Failure.REFUSED, f"control request: status {response.status}"
            )
        return content
