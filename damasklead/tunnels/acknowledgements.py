"""
Acknowledgements of a peer
==========================

Fails a connection whose peer's host is lost, and not one whose peer reads slowly: its
kernel acknowledges what it can't take yet, and each probe of its closed window.  The
timeout of the kernel (``TCP_USER_TIMEOUT``) doesn't tell these apart.
"""

import struct
from collections.abc import Iterator
from contextlib import contextmanager

import gevent
from gevent import socket

from damasklead.clock import Clock
from damasklead.sockets import (
    UNACKNOWLEDGED_TIMEOUT_MS,
    Acknowledgements,
    read_acknowledgements,
)

__all__ = ["LostHostDetector", "LostHostError", "LostHostWatch"]

POLL_SECONDS = 1.0
# One segment, or its acknowledgement, may be lost on the way.
REQUIRED_REPETITIONS = 2
UNACKNOWLEDGED_SECONDS = UNACKNOWLEDGED_TIMEOUT_MS / 1000
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LostHostError(OSError):
    """The peer's host no longer acknowledges anything."""


class LostHostDetector:
    """
    Decides whether the host of a connection's peer is lost.

    Parameters
    ----------
    clock : Clock

    Examples
    --------
    >>> from damasklead.clock import ManualClock
    >>> clock = ManualClock()
    >>> detector = LostHostDetector(clock=clock)
    >>> state = Acknowledgements(repetitions=2, last_seconds=9.0)
    >>> detector.is_lost(state)
    False
    >>> clock.advance(2.5)
    >>> detector.is_lost(state)
    True
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._unanswered_since: float | None = None

    def is_lost(self, state: Acknowledgements) -> bool:
        """Return whether the host is lost, given the present state."""
        now = self._clock.now()
        if not state.repetitions:
            self._unanswered_since = None
            return False
        since = now if self._unanswered_since is None else self._unanswered_since
        self._unanswered_since = max(since, now - state.last_seconds)
        return (
            state.repetitions >= REQUIRED_REPETITIONS
            and now - self._unanswered_since >= UNACKNOWLEDGED_SECONDS
        )


class _Watched:
    """A connection, and the greenlet that serves it."""

    def __init__(self, *, raw: socket.socket, clock: Clock) -> None:
        self._raw = raw
        self._detector = LostHostDetector(clock=clock)
        self._serving = gevent.getcurrent()

    def check(self) -> None:
        """Fail the connection if its host is lost."""
        try:
            if not self._detector.is_lost(read_acknowledgements(self._raw)):
                return
            # Lets the kernel drop what it couldn't deliver.
            self._raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        except OSError:
            return  # closed, or ended by the kernel
        self._serving.kill(LostHostError("no acknowledgement"), block=False)


class LostHostWatch:
    """
    Fails connections whose peer's host is lost.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._watched: set[_Watched] = set()
        self._checking: gevent.Greenlet | None = None

    @contextmanager
    def watch(self, raw: socket.socket) -> Iterator[None]:
        """
        Leave a block of the current greenlet when a connection's host is lost.

        Raises
        ------
        LostHostError
            When the host is lost; the connection will be reset when it is closed.
        """
        watched = _Watched(raw=raw, clock=self._clock)
        self._watched.add(watched)
        if self._checking is None:
            self._checking = gevent.spawn(self._run)
        try:
            yield
        finally:
            self._watched.discard(watched)

    def _run(self) -> None:
        while self._watched:
            gevent.sleep(POLL_SECONDS)
            for watched in list(self._watched):
                watched.check()
        self._checking = None
