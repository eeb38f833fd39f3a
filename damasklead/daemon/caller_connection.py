"""
Callers' connections
====================

What an entry holds for the connection of one caller, and how it sends to it.

Load pattern: callers that request long responses and read them slowly or not at all.
A send that makes no progress ends, and a connection can be closed for the sake of
others while it waits for its caller.
"""

import errno
import fcntl
import math
import struct
import termios
from collections.abc import Callable
from contextlib import suppress

from gevent import socket, ssl

from damasklead import logs
from damasklead.clock import Clock
from damasklead.memory_budget import (
    CONNECTION_BYTES,
    HeldKind,
    Holding,
    MemoryAccount,
)
from damasklead.memory_shortage import Stage

__all__ = ["CallerClosed", "CallerConnection"]

# Fixed charge of a request in progress: environment, exchange, the connection to an
# upstream and its parser.  24 KB left 1 MB of an instance's 88 MB with 160 streams.
REQUEST_BYTES = 65_536
# Further charge of an encrypted connection: its state, and a record of 16 KB each way.
TLS_BYTES = 65_536
# Bytes that are passed to the socket at once; TLS copies them.
MAX_SEND_BYTES = 65_536
# Send buffer of a connection; the kernel doubles it.  The kernel's own choice grows to
# 4 MB for each caller that doesn't read.
SEND_BUFFER_BYTES = 131_072
# Time without writing after which the kernel's queue is examined.  A caller that reads
# slowly empties it long before the socket becomes writable.
STEP_SECONDS = 1.0
# The same after bytes were accepted.  The kernel doesn't report a socket with little
# room as writable, so that a stall would be dated from the attempt that fills it.
FIRST_STEP_SECONDS = 0.1
# The kernel gives up what is queued when a connection is closed after the timeout of a
# send and this time.
CLOSING_MARGIN_SECONDS = 2.0
# Largest value of the kernel's option for it.
MAX_CLOSING_TIMEOUT_MS = 2**31 - 1
# An upstream may cut off a response that its caller has held up for this long.  What it
# sent before is still read for some time from the buffers on the way.
HELD_UP_SECONDS = 1.0
HELD_UP_WINDOW_SECONDS = 10.0
_QUEUE_LENGTH = struct.Struct("i")
_LINGER = struct.Struct("ii")


class CallerClosed(ConnectionResetError):
    """The entry closes the connection of a caller before its response is complete."""

    def __init__(self, cause: str) -> None:
        super().__init__(errno.ECONNRESET, cause)


class CallerConnection:
    """
    The connection of one caller to an entry whose memory is limited.

    Parameters
    ----------
    raw : socket
        The connection, encrypted or not.
    account : MemoryAccount
        Account that the connection is charged to, until ``end``.
    clock : Clock
    stall_seconds : float
        Seconds without an accepted byte after which the caller is disconnected.
    on_close : callable
        Called with the cause when the entry closes the connection.

    Attributes
    ----------
    holding : Holding
        What is held for the connection.
    request_id : str
        Id of the present request, for the log.
    """

    def __init__(
        self,
        *,
        raw: socket.socket,
        account: MemoryAccount,
        clock: Clock,
        stall_seconds: float,
        on_close: Callable[[str], None],
    ) -> None:
        self._socket = raw
        self._clock = clock
        self._stall_seconds = stall_seconds
        self._on_close = on_close
        self._idle_seconds = raw.gettimeout()
        self._held_up_at = -math.inf
        self._is_sending = False
        self.request_id = ""
        self._fixed_bytes = CONNECTION_BYTES
        if isinstance(raw, ssl.SSLSocket):
            self._fixed_bytes += TLS_BYTES
        self.holding: Holding = account.open(close=self._close_for_others)
        self.holding.hold(HeldKind.CONNECTION, self._fixed_bytes)

    @property
    def is_held_up(self) -> bool:
        """Whether the caller is being waited for."""
        return self._is_sending

    @property
    def was_held_up(self) -> bool:
        """Whether the caller has held up its response so that it may be cut off."""
        return self._clock.now() - self._held_up_at <= HELD_UP_WINDOW_SECONDS

    def begin_request(self) -> bool:
        """Charge a request; returns whether there is room for it."""
        self._held_up_at = -math.inf
        return self.holding.hold(HeldKind.CONNECTION, self._fixed_bytes + REQUEST_BYTES)

    def end_request(self) -> None:
        """Release what is held for a request and its response."""
        self.holding.hold(HeldKind.CONNECTION, self._fixed_bytes)
        self.holding.hold(HeldKind.REQUEST, 0)
        self.holding.hold(HeldKind.RESPONSE, 0)
        self.holding.enter(Stage.IDLE)

    def set_options(self) -> None:
        """
        Limit the kernel's send buffer, and leave time-outs of sends to this object.

        The kernel's own one (``TCP_USER_TIMEOUT``) also resets connections of callers
        that read, as long as their receive window is smaller than the next segment.
        """
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)

    def prepare_close(self) -> None:
        """Let the kernel drop what the caller doesn't read after the close."""
        seconds = self._stall_seconds + CLOSING_MARGIN_SECONDS
        timeout_ms = min(math.ceil(1_000 * seconds), MAX_CLOSING_TIMEOUT_MS)
        with suppress(OSError):
            self._socket.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
            )

    def send(self, data: bytes | bytearray) -> None:
        """
        Send all of the data.

        Raises
        ------
        CallerClosed
            When the caller accepts no bytes for too long.
        OSError
            When the connection has ended, also when it was closed for others.
        """
        self._is_sending = True
        try:
            self._send_steps(memoryview(data))
        finally:
            self._is_sending = False
            self._socket.settimeout(self._idle_seconds)

    def abort(self, cause: str) -> CallerClosed:
        """
        Return the error to raise so that the response does not look complete.

        The connection is reset, since a body without framing ends with the connection.
        """
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER.pack(1, 0))
        self._report(cause)
        return CallerClosed(cause)

    def _send_steps(self, unsent: memoryview) -> None:
        queued = -1
        stalled_seconds = 0.0
        started_at = checked_at = self._clock.now()
        step_seconds = FIRST_STEP_SECONDS
        while unsent:
            self.holding.record_stall()
            self._socket.settimeout(step_seconds)
            try:
                sent = self._socket.send(unsent[:MAX_SEND_BYTES])
            except TimeoutError:
                sent = 0
            except ssl.SSLError as error:
                # The connection has ended, as an error that the server knows.
                raise ConnectionResetError(errno.ECONNRESET, str(error)) from error
            now = self._clock.now()
            step_seconds = FIRST_STEP_SECONDS if sent else STEP_SECONDS
            if sent:
                unsent = unsent[sent:]
                self._record_wait(now - started_at)
                started_at = checked_at = now
                stalled_seconds = 0.0
                queued = -1
                self.holding.record_progress()
                continue
            self._record_wait(now - started_at)
            # A process that was suspended has not given its caller this time.
            stalled_seconds += min(now - checked_at, 2 * STEP_SECONDS)
            before, queued, checked_at = queued, self._count_queued(), now
            if 0 <= queued < before:
                stalled_seconds = 0.0
            elif stalled_seconds >= self._stall_seconds:
                raise self.abort("stalled")

    def _record_wait(self, seconds: float) -> None:
        if seconds >= HELD_UP_SECONDS:
            self._held_up_at = self._clock.now()

    def _count_queued(self) -> int:
        """Return the bytes that the caller's system has not acknowledged yet."""
        answer = fcntl.ioctl(
            self._socket.fileno(), termios.TIOCOUTQ, bytes(_QUEUE_LENGTH.size)
        )
        (length,) = _QUEUE_LENGTH.unpack(answer)
        return int(length)

    def _close_for_others(self, cause: str) -> None:
        """End the wait for the caller, which closes the connection."""
        self._report(cause)
        try:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER.pack(1, 0)
            )
            # That of the plain socket: for TLS, it ends a wait without an exchange.
            self._socket._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def _report(self, cause: str) -> None:
        logs.warning(
            "caller-closed",
            request=self.request_id,
            cause=cause,
            stage=self.holding.stage.value,
            held=self.holding.held_bytes,
        )
        self._on_close(cause)
