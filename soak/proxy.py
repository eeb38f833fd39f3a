"""
Proxy
=====

A loopback proxy that delays, resets, cuts one way or silences what passes.
"""

from enum import Enum

import gevent
from gevent import socket
from gevent.server import StreamServer

from damasklead.util import split_address

__all__ = ["Proxy", "Trouble"]

PIECE_BYTES = 65_536
# Looked at again while bytes are held back, in seconds.
HOLD_SECONDS = 0.05


class Trouble(Enum):
    """What a proxy does to connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    CUT_ANSWERS = "cut answers"
    SILENCE = "silence"


class Proxy:
    """
    Stands between one gateway and one address.

    Parameters
    ----------
    target : str
        Where connections go.
    """

    def __init__(self, *, target: str) -> None:
        self._target = split_address(target)
        self._trouble = Trouble.NONE
        self._seconds = 0.0
        self._open: set[socket.socket] = set()
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self._server.server_port}"

    def trouble(self, trouble: Trouble, *, seconds: float = 0.0) -> None:
        """
        Begin a trouble, or end it with ``NONE``.

        Parameters
        ----------
        seconds : float
            The delay of each piece.
        """
        self._trouble, self._seconds = trouble, seconds
        if trouble is Trouble.RESET:
            self.reset()

    def reset(self) -> None:
        """Reset all connections that are open."""
        for connection in list(self._open):
            _reset(connection)

    def close(self) -> None:
        """Listen no more and reset what is open."""
        self._server.stop(timeout=0)
        self.reset()

    def _serve(self, near: socket.socket, _peer: object) -> None:
        if self._trouble is Trouble.RESET:
            _reset(near)
            return
        try:
            far = socket.create_connection(self._target, timeout=2)
        except OSError:
            _reset(near)
            return
        far.settimeout(None)
        self._open |= {near, far}
        ways = [
            gevent.spawn(self._pass, near, far, answers=False),
            gevent.spawn(self._pass, far, near, answers=True),
        ]
        gevent.joinall(ways, count=1)
        gevent.killall(ways)
        for connection in (near, far):
            self._open.discard(connection)
            connection.close()

    def _pass(
        self, source: socket.socket, sink: socket.socket, *, answers: bool
    ) -> None:
        try:
            while data := source.recv(PIECE_BYTES):
                if self._trouble is Trouble.DELAY:
                    gevent.sleep(self._seconds)
                while self._holds(answers):
                    gevent.sleep(HOLD_SECONDS)
                sink.sendall(data)
        except OSError:
            # Either end broke the connection off; both are closed by the caller.
            return

    def _holds(self, answers: bool) -> bool:
        if self._trouble is Trouble.CUT_ANSWERS:
            return answers
        return self._trouble is Trouble.SILENCE


def _reset(connection: socket.socket) -> None:
    """Close a connection so that its peer sees a reset."""
    try:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00"
        )
        connection.close()
    except OSError:
        # It was closed already.
        return
