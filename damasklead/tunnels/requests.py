"""
Requests for tunnels
====================

Asks other gateways for connections to replicas.
"""

from collections.abc import Iterable

import gevent
import h11
from gevent import socket

from damasklead.sockets import connect
from damasklead.time_limits import time_limit
from damasklead.tunnels.helpers import HelperAddress

__all__ = [
    "RefusedTunnelError",
    "TunnelRequest",
    "UnexpectedDataError",
    "UnreachableReplicaError",
    "request_tunnel",
]

HELPER_CONNECT_SECONDS = 0.3
OPENED_STATUS = 200
UNREACHABLE_STATUSES = frozenset({502, 504})
REFUSED_STATUS = 502
MAX_RESPONSE_BYTES = 4_096


class UnreachableReplicaError(OSError):
    """Other gateways can't connect to the replica either."""


class UnexpectedDataError(OSError):
    """The replica sent data before a request; no failure of the other gateway."""


class RefusedTunnelError(OSError):
    """The other gateway opens no tunnels at present."""


class TunnelRequest:
    """
    A request to another gateway, which is sent at once.

    Parameters
    ----------
    peer : HelperAddress
        The other gateway.
    address : str
        Address of the replica, ``ip:port``.

    Attributes
    ----------
    peer : HelperAddress
    """

    def __init__(self, *, peer: HelperAddress, address: str) -> None:
        self.peer = peer
        self._exchange = gevent.spawn(self._run, address)
        self._is_taken = False

    @property
    def has_ended(self) -> bool:
        """Whether the tunnel is open, or will not be opened."""
        return self._exchange.ready()

    @staticmethod
    def wait_for_one(requests: Iterable["TunnelRequest"], *, seconds: float) -> None:
        """Wait until one of some requests has ended, or the time is over."""
        exchanges = [request._exchange for request in requests]
        with time_limit(seconds):
            gevent.wait(exchanges, count=1)

    def take_connection(self) -> socket.socket:
        """
        Return the connection of a request that has ended.

        Raises
        ------
        OSError
            As ``request_tunnel``.
        """
        self._is_taken = True
        outcome: socket.socket | OSError = self._exchange.get()
        if isinstance(outcome, OSError):
            raise outcome
        return outcome

    def close(self) -> None:
        """Give the request up, or close its connection unless it was taken."""
        self._exchange.kill()
        if not self._is_taken and isinstance(self._exchange.value, socket.socket):
            self._exchange.value.close()

    def _run(self, address: str) -> socket.socket | OSError:
        try:
            return request_tunnel(self.peer.address, address)
        except OSError as error:
            return error


def request_tunnel(helper: str, address: str) -> socket.socket:
    """
    Have a gateway connect to a replica; return the connection.

    The caller limits the time for the response.

    Parameters
    ----------
    helper : str
        Address at which the gateway serves tunnels, ``ip:port``.
    address : str
        Address of the replica, ``ip:port``.

    Raises
    ------
    UnreachableReplicaError
        If it can't.
    RefusedTunnelError
        If it opens no connections for others.
    UnexpectedDataError
        If the replica sends data before a request.
    OSError
        If it can't be reached.
    """
    raw = connect(helper, timeout=HELPER_CONNECT_SECONDS)
    try:
        status = _exchange_heads(raw, address)
        if status in UNREACHABLE_STATUSES:
            raise UnreachableReplicaError(
                "refused" if status == REFUSED_STATUS else "timed out"
            )
        if status != OPENED_STATUS:
            raise RefusedTunnelError(f"status {status}")
    except BaseException:
        raw.close()
        raise
    return raw


def _exchange_heads(raw: socket.socket, address: str) -> int:
    """Send the request for a tunnel; returns the status of the response."""
    http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_BYTES)
    request = h11.Request(method="CONNECT", target=address, headers=[("Host", address)])
    head = http.send(request) or b""
    raw.sendall(head + (http.send(h11.EndOfMessage()) or b""))
    try:
        while (event := http.next_event()) is h11.NEED_DATA:
            http.receive_data(raw.recv(MAX_RESPONSE_BYTES))
    except h11.RemoteProtocolError as error:
        raise RefusedTunnelError(f"not HTTP: {error}") from error
    if not isinstance(event, h11.Response):
        raise RefusedTunnelError(f"unexpected {type(event).__name__}")
    if event.status_code == OPENED_STATUS and http.trailing_data[0]:
        raise UnexpectedDataError("the replica sent data before a request")
    return event.status_code
