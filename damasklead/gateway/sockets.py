"""
Sockets
=======

Options that let a dead or unreachable peer show itself.
"""

import socket as std_socket

from gevent import socket

from damasklead.util import split_address

__all__ = ["connect", "set_tcp_options", "is_readable"]

# Unacknowledged data fails a connection after this long; a lost packet is sent again
# within a second.
UNACKNOWLEDGED_MILLISECONDS = 2500
# A silent connection is probed after a second, three times a second apart.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 3

_OPTIONS = (
    (std_socket.SOL_SOCKET, std_socket.SO_KEEPALIVE, 1),
    (std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1),
    (std_socket.IPPROTO_TCP, std_socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
    (std_socket.IPPROTO_TCP, std_socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
    (std_socket.IPPROTO_TCP, std_socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (std_socket.IPPROTO_TCP, std_socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS),
)


def set_tcp_options(connection: socket.socket) -> None:
    """Set the options of a TCP connection."""
    for level, option, value in _OPTIONS:
        connection.setsockopt(level, option, value)


def connect(address: str, *, timeout: float) -> socket.socket:
    """Open a TCP connection to ``ip:port``; raises ``OSError``."""
    connection = socket.create_connection(split_address(address), timeout=timeout)
    connection.settimeout(None)
    set_tcp_options(connection)
    return connection


def is_readable(connection: socket.socket) -> bool:
    """Tell whether a connection has data or its end waiting."""
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
