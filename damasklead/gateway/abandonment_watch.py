"""
Watch of replicas after abandonments
====================================

Finds out whether a replica has crashed that may have gone on with requests which this
gateway gave up.  A connection that is still open shows that it hasn't, without any
traffic and also if the replica has no room for another one; otherwise the replica is
probed.
"""

import gevent

from damasklead.gateway.calls import UpstreamRecord
from damasklead.gateway.crash_containment import Containment
from damasklead.gateway.replica_probe import Liveness, ReplicaProbe
from damasklead.gateway.upstream_http import ConnectionLimitError, ConnectionPool
from damasklead.ids import InstanceId

__all__ = ["AbandonmentWatch"]


class AbandonmentWatch:
    """
    Checks the replicas at which requests were given up, and reports to the containment.

    Parameters
    ----------
    connections : ConnectionPool
    probe : ReplicaProbe
    containment : Containment
    """

    def __init__(
        self,
        *,
        connections: ConnectionPool,
        probe: ReplicaProbe,
        containment: Containment,
    ) -> None:
        self._connections = connections
        self._probe = probe
        self._containment = containment
        self._checked: set[tuple[InstanceId, int]] = set()

    def check_due(self) -> None:
        """Check the replicas whose checks are due, in the background."""
        for record in self._containment.take_due_checks():
            start = (record.instance, record.incarnation)
            if self._connections.has_open(record.address):
                self._containment.record_running(record)
            elif start not in self._checked:
                self._checked.add(start)
                gevent.spawn(self._check, record)

    def _check(self, record: UpstreamRecord) -> None:
        try:
            liveness = self._probe.check(record).liveness
        except ConnectionLimitError:
            return  # nothing was found out; checked again later
        finally:
            self._checked.discard((record.instance, record.incarnation))
        if liveness is Liveness.REFUSES:
            self._containment.record_refused_connection(record)
        elif liveness in (Liveness.REPORTS, Liveness.ANSWERS):
            self._containment.record_running(record)
