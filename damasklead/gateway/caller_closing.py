"""
Closing of callers' connections
===============================

Lets a caller read the last response on a connection that is closed with unread bytes.
The kernel resets such a connection, and drops what is queued for the caller.
"""

from collections.abc import Callable

import msgspec
from gevent import socket

from damasklead.clock import Clock
from damasklead.sockets import count_unread_bytes, count_unsent_bytes
from damasklead.turns import TurnBudget

__all__ = ["UnreadClose", "drop_unread", "find_unread"]

RECEIVE_BYTES = 65_536
# Time in which a caller that has received everything ends its side.
LINGER_SECONDS = 2.0
# Interval at which it is checked what the caller's system has not acknowledged.
POLL_SECONDS = 0.25


class UnreadClose(msgspec.Struct, kw_only=True, frozen=True):
    """
    A connection that is closed with bytes that were not read, which resets it.

    Attributes
    ----------
    request : str
        Id of the last request; empty if there was none.
    unread_bytes : int
        Bytes that were received and not read.
    unsent_bytes : int
        Bytes of responses that the caller's system has not acknowledged, and that are
        lost.
    request_count : int
        Requests that were served on the connection.
    """

    request: str
    unread_bytes: int
    unsent_bytes: int
    request_count: int


def find_unread(
    raw: socket.socket, *, request: str, request_count: int
) -> UnreadClose | None:
    """Return what closing a connection now would reset, ``None`` if nothing."""
    try:
        unread_bytes = count_unread_bytes(raw)
        unsent_bytes = count_unsent_bytes(raw)
    except OSError:
        return None  # it was closed before
    if not unread_bytes:
        return None
    return UnreadClose(
        request=request,
        unread_bytes=unread_bytes,
        unsent_bytes=unsent_bytes,
        request_count=request_count,
    )


def drop_unread(
    raw: socket.socket,
    *,
    clock: Clock,
    turn: TurnBudget,
    longest_seconds: float,
    may_go_on: Callable[[], bool],
    expects_more: bool = False,
) -> None:
    """
    Drop what a caller has sent after its last request, until it ends its side.

    Has no effect if nothing was sent, unless more is expected.

    Parameters
    ----------
    raw : socket
        The connection, on which a complete response was sent.
    clock : Clock
    turn : TurnBudget
        Limits what is dropped in one go.
    longest_seconds : float
        Time after which a caller that still reads, or still sends, is cut off.
    may_go_on : callable
        Returns whether the connection may stay open.
    expects_more : bool
        Whether the caller was refused before it has sent all of its request.

    Raises
    ------
    OSError
        When the connection has ended.
    """
    if not expects_more and not count_unread_bytes(raw):
        return
    raw.shutdown(socket.SHUT_WR)
    raw.settimeout(POLL_SECONDS)
    acknowledged_at = started_at = clock.now()
    while may_go_on():
        try:
            data = raw.recv(RECEIVE_BYTES)
        except TimeoutError:
            pass
        else:
            if not data:
                return
            turn.spend(size=len(data))
            if expects_more:
                acknowledged_at = clock.now()
        now = clock.now()
        if count_unsent_bytes(raw):
            acknowledged_at = now
        if now - acknowledged_at >= LINGER_SECONDS:
            return
        if now - started_at >= max(LINGER_SECONDS, longest_seconds):
            return
