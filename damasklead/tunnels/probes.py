"""
Probes of replicas
==================

Requests that show whether anything comes back over a connection: a load balancer on the
way may open connections that lead nowhere.
"""

import gevent

from damasklead.tunnels.dialing import Link

__all__ = ["Probe"]

MAX_RECEIVED_BYTES = 4_096


class Probe:
    """
    A request on a new connection, which is sent at once.

    Parameters
    ----------
    link : Link
        The connection, which is told of the data and closed with the probe.
    address : str
        Address of the replica, ``ip:port``.
    target : str
        Request target.
    """

    def __init__(self, *, link: Link, address: str, target: str) -> None:
        self._link = link
        self._request = f"GET {target} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()
        self._exchange = gevent.spawn(self._run)

    @property
    def has_answer(self) -> bool:
        """Whether data has arrived; any response will do."""
        return self._exchange.value is True

    @property
    def exchange(self) -> gevent.Greenlet:
        """Ends when data has arrived, or the connection has ended."""
        return self._exchange

    def wait(self, seconds: float) -> bool:
        """Wait for data, or the end of the connection; returns whether data came."""
        self._exchange.join(timeout=seconds)
        return self.has_answer

    def close(self) -> None:
        """Close the connection."""
        self._exchange.kill()
        self._link.raw.close()

    def _run(self) -> bool:
        try:
            self._link.raw.sendall(self._request)
            has_data = bool(self._link.raw.recv(MAX_RECEIVED_BYTES))
        except OSError:
            has_data = False
        if has_data:
            self._link.record_data()
        else:
            self._link.record_end()
        return has_data
