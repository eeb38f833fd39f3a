"""
Proxy
=====

A TCP proxy on the loopback interface that delays or holds back the bytes it forwards,
or resets its connections.
"""

from enum import Enum

import gevent
from gevent import socket
from gevent.server import StreamServer

from damasklead.util import split_address

__all__ = ["NetworkFault", "Proxy"]

MAX_READ_BYTES = 65_536
# Interval of checks whether the bytes are still to be held back.
STALL_POLL_SECONDS = 0.05


class NetworkFault(Enum):
    """
    What a proxy does to its connections.

    A stall holds back the bytes of both directions, or of responses, until it ends.
    A rejection is an HTTP response of the proxy's own to each request.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    STALL_RESPONSES = "stall responses"
    STALL = "stall"
    REJECT_UNAVAILABLE = "reject with 503"
    REJECT_TOO_MANY = "reject with 429"


_REJECTION_STATUSES = {
    NetworkFault.REJECT_UNAVAILABLE: 503,
    NetworkFault.REJECT_TOO_MANY: 429,
}


class Proxy:
    """
    A proxy in front of one address.

    Parameters
    ----------
    target : str
        Address that connections are forwarded to, as ``host:port``.
    """

    def __init__(self, *, target: str) -> None:
        self._target: tuple[str, int] | None = split_address(target)
        self._fault = NetworkFault.NONE
        self._delay_seconds = 0.0
        self._open: set[socket.socket] = set()
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Address that the proxy listens on, as ``host:port``."""
        return f"127.0.0.1:{self._server.server_port}"

    def set_fault(self, fault: NetworkFault, *, delay_seconds: float = 0.0) -> None:
        """
        Inject a fault, or end it with ``NONE``.

        Parameters
        ----------
        delay_seconds : float
            Delay before the bytes of each read are forwarded, for ``DELAY``.
        """
        self._fault, self._delay_seconds = fault, delay_seconds
        if fault is NetworkFault.RESET or fault in _REJECTION_STATUSES:
            self.reset_connections()

    def set_target(self, target: str | None) -> None:
        """
        Forward new connections to another address; with ``None`` reset them.

        The address of a server that has ended may be taken by another process.
        """
        self._target = None if target is None else split_address(target)

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for connection in list(self._open):
            _reset_connection(connection)

    def close(self) -> None:
        """Stop listening and reset all open connections."""
        self._server.stop(timeout=0)
        self.reset_connections()

    def _serve(self, client: socket.socket, _peer: object) -> None:
        if self._fault is NetworkFault.RESET or self._target is None:
            _reset_connection(client)
            return
        if self._fault in _REJECTION_STATUSES:
            self._reject(client, _REJECTION_STATUSES[self._fault])
            return
        try:
            upstream = socket.create_connection(self._target, timeout=2)
        except OSError:
            _reset_connection(client)
            return
        upstream.settimeout(None)
        self._open |= {client, upstream}
        greenlets = [
            gevent.spawn(self._forward_bytes, client, upstream, is_response=False),
            gevent.spawn(self._forward_bytes, upstream, client, is_response=True),
        ]
        gevent.joinall(greenlets, count=1)
        gevent.killall(greenlets)
        for connection in (client, upstream):
            self._open.discard(connection)
            connection.close()

    def _reject(self, client: socket.socket, status: int) -> None:
        """Reject the first request of a connection, and close it."""
        head = f"HTTP/1.1 {status} Rejected\r\nContent-Length: 0\r\n"
        try:
            if client.recv(MAX_READ_BYTES):
                client.sendall(f"{head}Connection: close\r\n\r\n".encode())
        except OSError:
            return  # the client has closed the connection
        finally:
            client.close()

    def _forward_bytes(
        self, source: socket.socket, sink: socket.socket, *, is_response: bool
    ) -> None:
        try:
            while data := source.recv(MAX_READ_BYTES):
                if self._fault is NetworkFault.DELAY:
                    gevent.sleep(self._delay_seconds)
                while self._is_stalled(is_response):
                    gevent.sleep(STALL_POLL_SECONDS)
                sink.sendall(data)
        except OSError:
            # Either end closed its connection; ``_serve`` closes both.
            return

    def _is_stalled(self, is_response: bool) -> bool:
        if self._fault is NetworkFault.STALL_RESPONSES:
            return is_response
        return self._fault is NetworkFault.STALL


def _reset_connection(connection: socket.socket) -> None:
    """Close a connection with a reset: a linger time of 0 makes the kernel send RST."""
    try:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00"
        )
        connection.close()
    except OSError:
        # The connection was closed already.
        return
