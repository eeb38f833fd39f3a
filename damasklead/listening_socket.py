"""
Listening socket
================

Listens at the callers' port before the rest of the program is imported, so that
connections made during the start wait in the kernel's accept queue instead of being
refused.

This module imports only from the standard library: each further import prolongs the
time during which the port is closed.
"""

import socket
from contextlib import suppress

__all__ = ["BACKLOG", "open_listening_socket"]

# Maximum length of the accept queue.  Beyond it the kernel drops connection requests,
# and the callers' systems retransmit them after a second.
BACKLOG = 2048


def open_listening_socket(address: str) -> socket.socket | None:
    """
    Open a socket that listens at ``ip:port``.

    Returns
    -------
    socket or None
        ``None`` if the address is invalid or can't be bound; the gateway's listener
        tries again and reports the error.

    Examples
    --------
    >>> open_listening_socket("") is None
    True
    """
    host, _, port = address.rpartition(":")
    with suppress(OSError, ValueError):
        listening_socket = socket.socket(
            socket.AF_INET6 if ":" in host else socket.AF_INET
        )
        listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening_socket.bind((host.strip("[]"), int(port)))
        listening_socket.listen(BACKLOG)
        return listening_socket
    return None
