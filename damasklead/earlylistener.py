"""
Early listener
==============

Opens the callers' port before anything else of the program is loaded, so that callers
who come while it starts are kept by the system instead of being turned away.

Imports nothing but the standard library's sockets: every further import is time during
which the port is closed.
"""

import socket
from contextlib import suppress

__all__ = ["BACKLOG", "open_listening_socket"]

# New connections that wait for the loop; more are opened again a second later.
BACKLOG = 2048


def open_listening_socket(address: str) -> socket.socket | None:
    """
    Listen at ``ip:port``.

    Returns
    -------
    socket or None
        ``None`` when that is not possible now; the listener itself says why later.

    Examples
    --------
    >>> open_listening_socket("") is None
    True
    """
    host, _, port = address.rpartition(":")
    with suppress(OSError, ValueError):
        listening = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host.strip("[]"), int(port)))
        listening.listen(BACKLOG)
        return listening
    return None
