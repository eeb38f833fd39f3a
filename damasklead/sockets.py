"""
Sockets
=======

TCP connections with options that make a dead or unreachable peer fail the connection
within seconds.
"""

import errno
import fcntl
import socket as std_socket
import struct
import termios

import msgspec
from gevent import socket

from damasklead.util import split_address

__all__ = [
    "Acknowledgements",
    "connect",
    "count_unread_bytes",
    "count_unsent_bytes",
    "is_given_up",
    "is_readable",
    "read_acknowledgements",
    "set_tcp_options",
    "set_user_timeout",
]

# A connection fails when sent data is not acknowledged for this long; a lost packet is
# retransmitted within a second.  It also fails when the peer, though it acknowledges,
# has no room for this long for what is to be sent.
UNACKNOWLEDGED_TIMEOUT_MS = 2500
# An idle connection is probed after one second, and then each second.  It fails at the
# first probe that is due after the timeout above, the third one; without that timeout,
# when three probes were not answered.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 3

_QUEUE_LENGTH = struct.Struct("i")
# The first fields of Linux' struct tcp_info: 8 of one byte, with the numbers of
# retransmissions and probes as the third and the fourth, then those of four bytes, the
# 13th of which is the time since the last acknowledgement in milliseconds.
_TCP_INFO = struct.Struct("=2xBB4x48xI")

_OPTIONS = (
    (std_socket.SOL_SOCKET, std_socket.SO_KEEPALIVE, 1),
    (std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1),
    (std_socket.IPPROTO_TCP, std_socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
    (std_socket.IPPROTO_TCP, std_socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
    (std_socket.IPPROTO_TCP, std_socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (std_socket.IPPROTO_TCP, std_socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
)


def set_tcp_options(connection: socket.socket) -> None:
    """Set keepalive, no-delay and timeout options on a TCP connection."""
    for level, option, value in _OPTIONS:
        connection.setsockopt(level, option, value)


def set_user_timeout(connection: socket.socket, milliseconds: int) -> None:
    """Set how long sent data may stay unacknowledged or unaccepted; 0: no limit."""
    connection.setsockopt(
        std_socket.IPPROTO_TCP, std_socket.TCP_USER_TIMEOUT, milliseconds
    )


def connect(address: str, *, timeout: float) -> socket.socket:
    """
    Open a TCP connection.

    Parameters
    ----------
    address : str
        ``ip:port`` of the server.
    timeout : float
        Seconds for the connection to be established.

    Raises
    ------
    OSError
        When the server can't be reached or refuses the connection.
    """
    connection = socket.create_connection(split_address(address), timeout=timeout)
    connection.settimeout(None)
    set_tcp_options(connection)
    return connection


def is_readable(connection: socket.socket) -> bool:
    """Return whether a connection has data to read, was closed or has failed."""
    connection.settimeout(0.0)
    try:
        connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        connection.settimeout(None)
    return True


def is_given_up(error: OSError) -> bool:
    """
    Return whether the kernel has given a connection up without acknowledgements.

    Python raises the same exception as after the timeout of a read or a send.  The
    kernel reports it once; the next read returns the end of the data.
    """
    return error.errno == errno.ETIMEDOUT


def count_unread_bytes(connection: socket.socket) -> int:
    """Return the bytes that were received and not read; raises ``OSError``."""
    return _read_queue_length(connection, termios.FIONREAD)


def count_unsent_bytes(connection: socket.socket) -> int:
    """Return the bytes that the peer has not acknowledged; raises ``OSError``."""
    return _read_queue_length(connection, termios.TIOCOUTQ)


class Acknowledgements(msgspec.Struct, kw_only=True, frozen=True):
    """
    What the peer's kernel has acknowledged.

    Attributes
    ----------
    repetitions : int
        Retransmissions, or probes of a closed window, since the last acknowledgement
        of new data or of a probe.
    last_seconds : float
        Seconds since the last acknowledgement of any kind.
    """

    repetitions: int
    last_seconds: float


def read_acknowledgements(connection: socket.socket) -> Acknowledgements:
    """Return what the peer's kernel has acknowledged; raises ``OSError``."""
    answer = connection.getsockopt(
        std_socket.IPPROTO_TCP, std_socket.TCP_INFO, _TCP_INFO.size
    )
    retransmissions, probes, milliseconds = _TCP_INFO.unpack(answer)
    return Acknowledgements(
        repetitions=retransmissions + probes, last_seconds=milliseconds / 1000
    )


def _read_queue_length(connection: socket.socket, request: int) -> int:
    descriptor = connection.fileno()
    if descriptor < 0:
        raise OSError(errno.EBADF, "the connection is closed")
    answer = fcntl.ioctl(descriptor, request, bytes(_QUEUE_LENGTH.size))
    (length,) = _QUEUE_LENGTH.unpack(answer)
    return int(length)
