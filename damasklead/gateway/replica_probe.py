"""
Replica probe
=============

Finds out, by a new connection, whether a replica still runs whose connection has ended:
after a response that broke off, or one that only the end of its connection delimits.  A
failed connection may be due to a network partition of this gateway, so that another
gateway is asked as well.
"""

from collections.abc import Callable
from enum import Enum

import gevent
import msgspec

from damasklead.gateway.calls import UpstreamRecord
from damasklead.gateway.crash_containment import Containment
from damasklead.gateway.upstream_http import (
    ConnectionLimitError,
    ConnectionPool,
    SendError,
)
from damasklead.ids import InstanceId

__all__ = ["Liveness", "ProbeResult", "ProbeWay", "ReplicaProbe"]


class Liveness(Enum):
    """
    Whether a replica accepts connections.

    ``UNREACHABLE``: neither this gateway nor another one gets an answer.
    """

    ACCEPTS = "accepts"
    REFUSES = "refuses"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


class ProbeWay(Enum):
    """How the liveness of a replica was found out."""

    KEPT_CONNECTION = "kept-connection"
    NEW_CONNECTION = "new-connection"
    OTHER_GATEWAY = "other-gateway"


class ProbeResult(msgspec.Struct, frozen=True):
    """What was found out about a replica, and how."""

    liveness: Liveness
    way: ProbeWay


class ReplicaProbe:
    """
    Probes replicas and reports the results to the crash containment.

    Parameters
    ----------
    connections : ConnectionPool
        Opens the connections, and keeps them for later requests.
    containment : Containment
    ask_others : callable or None
        Returns whether another gateway can connect to an address, ``None`` if none can
        tell; by default there are no others.
    is_isolated : callable
        Returns whether this gateway is cut off from all replicas.
    """

    def __init__(
        self,
        *,
        connections: ConnectionPool,
        containment: Containment,
        ask_others: Callable[[str], bool | None] | None = None,
        is_isolated: Callable[[], bool] = lambda: False,
    ) -> None:
        self._is_isolated = is_isolated
        self._connections = connections
        self._containment = containment
        self._ask_others = ask_others
        self._probed: set[tuple[InstanceId, int]] = set()

    def check(self, record: UpstreamRecord) -> ProbeResult:
        """
        Find out whether a replica accepts a connection.

        Raises
        ------
        ConnectionLimitError
            When no connection may be opened to find out.
        """
        try:
            was_open = self._connections.preconnect(record.address)
        except ConnectionLimitError:
            raise
        except SendError as error:
            is_refusal = isinstance(error.__cause__, ConnectionRefusedError)
            return self._confirm(record, is_refusal=is_refusal)
        way = ProbeWay.KEPT_CONNECTION if was_open else ProbeWay.NEW_CONNECTION
        return ProbeResult(Liveness.ACCEPTS, way)

    def report_failed_connection(self, record: UpstreamRecord) -> None:
        """Report to the containment, if others confirm it, that a replica is gone."""
        if self._ask_others is None:
            self._containment.record_connection_failure(record)
        elif self._containment.has_broken_responses(record):
            self.start(record)

    def _confirm(self, record: UpstreamRecord, *, is_refusal: bool) -> ProbeResult:
        """Return what other gateways find after a connection has failed."""
        liveness = Liveness.REFUSES if is_refusal else Liveness.UNKNOWN
        if self._ask_others is None:
            return ProbeResult(liveness, ProbeWay.NEW_CONNECTION)
        if self._ask_others(record.address):
            liveness = Liveness.ACCEPTS
        elif self._is_isolated():
            # All replicas are out of reach here, and maybe from the other gateway.
            liveness = Liveness.UNKNOWN
        elif not is_refusal:
            liveness = Liveness.UNREACHABLE
        return ProbeResult(liveness, ProbeWay.OTHER_GATEWAY)

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
            liveness = self.check(record).liveness
        except ConnectionLimitError:
            return  # nothing was found out
        finally:
            self._probed.discard((record.instance, record.incarnation))
        if liveness in (Liveness.REFUSES, Liveness.UNREACHABLE):
            self._containment.record_connection_failure(record)
        elif liveness is Liveness.ACCEPTS:
            self._containment.record_connection(record)
