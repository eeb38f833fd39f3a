"""
Sends to callers
================

Sends a response as fast as its caller reads, measures how long the caller has held it
up, and ends a send that makes no progress.
"""

import math
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import gevent
from gevent import socket

from damasklead.clock import Clock
from damasklead.memory_budget import Holding
from damasklead.sockets import count_unsent_bytes

__all__ = ["CallerClosed", "CallerDisconnected", "CallerSender"]

# Send buffer of a caller's connection; the kernel doubles it.  The kernel's own choice
# grows to 4 MB for each caller that doesn't read.
SEND_BUFFER_BYTES = 131_072
# Time without writing after which the kernel's queue is examined.  A caller that reads
# slowly empties it long before the socket becomes writable.
STEP_SECONDS = 1.0
# Time in which the kernel gives up what is queued when a connection is closed since its
# caller is slow or for the sake of others, or before its response is complete.
CLOSING_TIMEOUT_MS = 2_500
# Largest value of the kernel's option for it.
MAX_CLOSING_TIMEOUT_MS = 2**31 - 1
_WRITE_EVENT = 2


class CallerDisconnected(BaseException):
    """The caller closed its connection; raised in the greenlet that serves it."""


class CallerClosed(CallerDisconnected):
    """
    The gateway closes the connection of a slow caller.

    Attributes
    ----------
    cause : str
        ``stalled`` if the caller accepted no bytes for too long, ``cut-off`` if the
        replica ended the response that the caller held up; otherwise what the
        connection was closed for: ``memory`` or ``descriptors``.
    """

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause


class CallerSender:
    """
    Sends to one caller.

    Parameters
    ----------
    raw : socket
        The caller's connection.
    clock : Clock
    holding : Holding
        What is held for the connection.
    get_stall_seconds : callable
        Returns the seconds without an accepted byte after which the caller is
        disconnected.

    Attributes
    ----------
    longest_wait_seconds : float
        Longest time that the caller has held up a response, since it was reset.
    waited_seconds : float
        Time that the caller has held up responses since the connection began.
    """

    def __init__(
        self,
        *,
        raw: socket.socket,
        clock: Clock,
        holding: Holding,
        get_stall_seconds: Callable[[], float],
    ) -> None:
        self._socket = raw
        self._clock = clock
        self._holding = holding
        self._get_stall_seconds = get_stall_seconds
        self._watcher: Any = None
        self.longest_wait_seconds = 0.0
        self.waited_seconds = 0.0

    def set_options(self) -> None:
        """
        Limit the kernel's send buffer, and leave time-outs of sends to this object.

        The kernel's own one (``TCP_USER_TIMEOUT``) also resets connections of callers
        that read, as long as their receive window is smaller than the next segment.
        """
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)

    def prepare_close(self, *, may_stall: bool) -> None:
        """
        Let the kernel drop what the caller doesn't read after the close.

        Parameters
        ----------
        may_stall : bool
            Whether the caller may pause for as long as it could before the close;
            otherwise what it doesn't read soon is dropped.
        """
        timeout_ms = CLOSING_TIMEOUT_MS
        if may_stall:
            timeout_ms = min(
                math.ceil(1_000 * self._get_stall_seconds()), MAX_CLOSING_TIMEOUT_MS
            )
        with suppress(OSError):
            self._socket.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
            )

    def send(self, data: bytes | memoryview) -> None:
        """
        Send all of the data.

        Raises
        ------
        CallerClosed
            When the caller accepts no bytes for too long, or its connection is closed
            for the sake of others.
        OSError
            When the connection has ended.
        """
        sent = self._send_now(data)
        if sent < len(data):
            self._send_rest(memoryview(data)[sent:])

    def cancel(self, cause: str) -> None:
        """
        End the present wait for the caller, which closes its connection.

        Has no effect if the caller accepts bytes in the meantime.
        """
        if self._watcher is not None:
            socket.cancel_wait(self._watcher, CallerClosed(cause))

    def _send_now(self, data: bytes | memoryview) -> int:
        """Pass data to the kernel without waiting; returns the number of bytes."""
        try:
            sent: int = self._socket.send(data, 0, 0.0)
        except BlockingIOError:
            return 0
        return sent

    def _send_rest(self, unsent: memoryview) -> None:
        started_at = checked_at = self._clock.now()
        stalled_seconds = 0.0
        queued = count_unsent_bytes(self._socket)
        self._holding.record_stall()
        try:
            while unsent:
                # The kernel accepts some bytes of a slow caller's response before the
                # socket is writable; they would hide how long it has waited.
                sent = self._send_now(unsent) if self._wait() else 0
                now = self._clock.now()
                now_queued = count_unsent_bytes(self._socket)
                if sent:
                    unsent = unsent[sent:]
                    self._record_wait(now - started_at)
                    started_at = now
                    self._holding.record_progress()
                    self._holding.record_stall()
                elif self._holding.is_closing:
                    # The wait may have timed out before the cancel reached it.
                    raise CallerClosed(self._holding.closing_cause)
                # A process that was suspended has not given its caller this time.
                stalled_seconds += min(now - checked_at, 2 * STEP_SECONDS)
                if sent or now_queued < queued:
                    stalled_seconds = 0.0
                elif stalled_seconds >= self._get_stall_seconds():
                    raise CallerClosed("stalled")
                queued, checked_at = now_queued, now
        finally:
            self._record_wait(self._clock.now() - started_at)
        self._holding.record_progress()

    def _wait(self) -> bool:
        """Wait for the socket for at most a step; returns whether it is writable."""
        self._watcher = gevent.get_hub().loop.io(self._socket.fileno(), _WRITE_EVENT)
        try:
            socket.wait(self._watcher, timeout=STEP_SECONDS, timeout_exc=TimeoutError())
        except TimeoutError:
            return False
        finally:
            watcher, self._watcher = self._watcher, None
            watcher.close()
        return True

    def _record_wait(self, seconds: float) -> None:
        self.waited_seconds += seconds
        self.longest_wait_seconds = max(self.longest_wait_seconds, seconds)
