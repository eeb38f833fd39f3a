"""
Dialing
=======

How connections to replicas are opened: base classes, and direct connections.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable

from gevent import socket

from damasklead.sockets import connect
from damasklead.tunnels.reachability import Reachability

__all__ = [
    "Dialer",
    "DirectDialer",
    "Link",
    "ObservedDialer",
    "ObservedLink",
    "connect_to_replica",
]

# Connect timeout; replicas are on the same network and accept within milliseconds.
CONNECT_TIMEOUT_SECONDS = 0.3


class Link:
    """
    An open connection.

    Parameters
    ----------
    raw : socket
        The TCP connection.

    Attributes
    ----------
    raw : socket
    """

    is_tunnel = False

    def __init__(self, *, raw: socket.socket) -> None:
        self.raw = raw

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent on it, if it is open."""
        return True

    def record_sent(self) -> None:
        """Record that a request is sent."""

    def record_data(self) -> None:
        """Record that data has arrived."""

    def record_end(self) -> None:
        """Record that the other side has ended or reset the connection."""


class Dialer(ABC):
    """Opens connections."""

    @abstractmethod
    def dial(self, address: str) -> Link:
        """
        Open a connection to an address, ``ip:port``.

        Raises
        ------
        OSError
            When it can't be opened.
        """


def connect_to_replica(address: str) -> socket.socket:
    """Open a TCP connection to a replica; raises ``OSError``."""
    return connect(address, timeout=CONNECT_TIMEOUT_SECONDS)


class DirectDialer(Dialer):
    """
    Opens connections directly.

    Parameters
    ----------
    open_connection : callable
        Opens a TCP connection to an address; raises ``OSError``.
    """

    def __init__(
        self,
        *,
        open_connection: Callable[[str], socket.socket] = connect_to_replica,
    ) -> None:
        self._open_connection = open_connection

    def dial(self, address: str) -> Link:
        """Open a connection; raises ``OSError``."""
        return Link(raw=self._open_connection(address))


class ObservedLink(Link):
    """
    A direct connection, by whose data the reachability of replicas is known.

    Parameters
    ----------
    raw : socket
        The TCP connection.
    reachability : Reachability
        Of replicas; told of the data.
    """

    def __init__(self, *, raw: socket.socket, reachability: Reachability) -> None:
        super().__init__(raw=raw)
        self._reachability = reachability
        self._seen_in = self._opened_in = reachability.isolation_count
        self._has_data = False

    @property
    def is_usable(self) -> bool:
        """
        Whether another request may be sent on it.

        While new connections fail, only those are used on which data has arrived since.
        """
        reachability = self._reachability
        return (
            not reachability.is_isolated
            or self._seen_in == reachability.isolation_count
        )

    def record_sent(self) -> None:
        """Record that a request is sent."""
        self._reachability.record_sent()

    def record_data(self) -> None:
        """Record that data has arrived."""
        reachability = self._reachability
        self._seen_in = reachability.isolation_count
        is_first, self._has_data = not self._has_data, True
        if is_first and self._opened_in == reachability.isolation_count:
            reachability.record_response()
        else:
            reachability.record_data()

    def record_end(self) -> None:
        """Record that the other side has ended or reset the connection."""
        if not self._has_data:
            self._reachability.record_unanswered()


class ObservedDialer(DirectDialer):
    """
    Opens connections directly, and records whether replicas can be reached.

    Parameters
    ----------
    reachability : Reachability
    open_connection : callable
        Opens a TCP connection to an address; raises ``OSError``.
    """

    def __init__(
        self,
        *,
        reachability: Reachability,
        open_connection: Callable[[str], socket.socket] = connect_to_replica,
    ) -> None:
        super().__init__(open_connection=open_connection)
        self._reachability = reachability

    def dial(self, address: str) -> Link:
        """Open a connection; raises ``OSError``."""
        try:
            raw = self._open_connection(address)
        except OSError:
            self._reachability.record_failed(address)
            raise
        return ObservedLink(raw=raw, reachability=self._reachability)
