"""
Replica probe
=============

Finds out, by a new connection, whether a replica still runs whose connection has ended:
after a response that broke off, or one that only the end of its connection delimits.
"""

from enum import Enum

import gevent

from damasklead.gateway.calls import UpstreamRecord
from damasklead.gateway.crash_containment import Containment
from damasklead.gateway.upstream_http import (
    ConnectionLimitError,
    ConnectionPool,
    SendError,
)
from damasklead.ids import InstanceId

__all__ = ["Liveness", "ReplicaProbe"]


class Liveness(Enum):
    """Whether a replica accepts connections."""

    ACCEPTS = "accepts"
    REFUSES = "refuses"
    UNKNOWN = "unknown"


class ReplicaProbe:
    """
    Probes replicas and reports the results to the crash containment.

    Parameters
    ----------
    connections : ConnectionPool
        Opens the connections, and keeps them for later requests.
    containment : Containment
    """

    def __init__(
        self, *, connections: ConnectionPool, containment: Containment
    ) -> None:
        self._connections = connections
        self._containment = containment
        self._probed: set[tuple[InstanceId, int]] = set()

    def check(self, record: UpstreamRecord) -> Liveness:
        """
        Return whether a replica accepts a connection.

        Raises
        ------
        ConnectionLimitError
            When no connection may be opened to find out.
        """
        try:
            self._connections.preconnect(record.address)
        except ConnectionLimitError:
            raise
        except SendError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                return Liveness.REFUSES
            return Liveness.UNKNOWN
        return Liveness.ACCEPTS

    def start(self, record: UpstreamRecord) -> None:
        """
        Probe a replica in the background after it broke off a response.

        Responses that break off while a replica is being probed share the result.
        """
        key = (record.instance, record.incarnation)
        if key not in self._probed:
            self._probed.add(key)
            gevent.spawn(self._run, record)

    def _run(self, record: UpstreamRecord) -> None:
        try:
            liveness = self.check(record)
        except ConnectionLimitError:
            return  # nothing was found out
        finally:
            self._probed.discard((record.instance, record.incarnation))
        if liveness is Liveness.REFUSES:
            self._containment.record_connection_failure(record)
        elif liveness is Liveness.ACCEPTS:
            self._containment.record_connection(record)
