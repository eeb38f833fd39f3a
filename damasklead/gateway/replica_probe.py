"""
Replica probe
=============

Finds out whether the start of a replica still runs whose connection has ended: after a
response that broke off, or one that only the end of its connection delimits.  The
replica is asked for its report, which names its start; that it accepts connections, or
keeps one open, doesn't show that this start still runs.  If it doesn't answer, it is
asked again through another gateway, since this one may be cut off from it.
"""

from collections.abc import Callable
from enum import Enum

import gevent
import msgspec

from damasklead.gateway.calls import UpstreamRecord
from damasklead.gateway.crash_containment import Containment
from damasklead.gateway.dialect import Dialect
from damasklead.gateway.replica_identity import identify_replica
from damasklead.gateway.upstream_http import (
    Connection,
    ConnectionLimitError,
    ConnectionPool,
    SendError,
)
from damasklead.ids import InstanceId
from damasklead.memory_budget import MemoryBudget
from damasklead.tunnels.dialer import UnreachableReplicaError
from damasklead.tunnels.dialing import Link

__all__ = ["Liveness", "ProbeResult", "ProbeWay", "ReplicaProbe"]

# A replica that is busy reports later than one that is about to get a request.
REPORT_TIMEOUT_SECONDS = 1.0


class Liveness(Enum):
    """
    Whether a start of a replica still runs.

    Attributes
    ----------
    REPORTS
        It has answered.
    REPLACED
        A later start has answered at its address.
    REFUSES
        The address refuses connections.
    UNREACHABLE
        Neither this gateway nor another one can connect.
    UNKNOWN
        It accepts connections and doesn't answer, or this gateway may be cut off.
    """

    REPORTS = "reports"
    REPLACED = "replaced"
    REFUSES = "refuses"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"

    @property
    def shows_end(self) -> bool:
        """Whether the start doesn't run any more, as far as gateways can see."""
        return self in (Liveness.REPLACED, Liveness.REFUSES, Liveness.UNREACHABLE)


class ProbeWay(Enum):
    """How the liveness of a replica was found out."""

    KEPT_CONNECTION = "kept-connection"
    NEW_CONNECTION = "new-connection"
    OTHER_GATEWAY = "other-gateway"


class ProbeResult(msgspec.Struct, kw_only=True, frozen=True):
    """
    What was found out about a replica, and how.

    Attributes
    ----------
    liveness : Liveness
    way : ProbeWay
    incarnation : int or None
        Start that has reported; ``None`` if none has.
    """

    liveness: Liveness
    way: ProbeWay
    incarnation: int | None = None


class ReplicaProbe:
    """
    Probes replicas and reports the results to the crash containment.

    Parameters
    ----------
    connections : ConnectionPool
        Opens the connections, and keeps them for later requests.
    containment : Containment
    dialect : Dialect
        Knows how replicas are asked for their reports.
    report_memory : MemoryBudget
        Budget that reports are charged to.
    open_elsewhere : callable or None
        Opens a connection to an address through another gateway; returns ``None`` if
        none opens one, and raises ``OSError`` if they can't connect either.  By default
        there are no others.
    is_isolated : callable
        Returns whether this gateway is cut off from all replicas.
    """

    def __init__(
        self,
        *,
        connections: ConnectionPool,
        containment: Containment,
        dialect: Dialect,
        report_memory: MemoryBudget,
        open_elsewhere: Callable[[str], Link | None] | None = None,
        is_isolated: Callable[[], bool] = lambda: False,
    ) -> None:
        self._is_isolated = is_isolated
        self._connections = connections
        self._containment = containment
        self._dialect = dialect
        self._report_memory = report_memory
        self._open_elsewhere = open_elsewhere
        self._probed: set[tuple[InstanceId, int]] = set()

    def check(self, record: UpstreamRecord) -> ProbeResult:
        """
        Find out whether the start of a replica still runs.

        Raises
        ------
        ConnectionLimitError
            When no connection may be opened to find out.
        """
        kept = self._connections.take_idle(record.address)
        if kept is not None:
            try:
                return self._ask(kept, record, ProbeWay.KEPT_CONNECTION)
            except SendError:
                # The replica may have closed it while it was idle.
                self._connections.close_idle(record.address)
        try:
            connection = self._connections.open(record.address)
        except ConnectionLimitError:
            raise
        except SendError as error:
            is_refusal = isinstance(error.__cause__, ConnectionRefusedError)
            return self._check_elsewhere(
                record, Liveness.REFUSES if is_refusal else Liveness.UNREACHABLE
            )
        try:
            return self._ask(connection, record, ProbeWay.NEW_CONNECTION)
        except SendError:
            return self._check_elsewhere(record, Liveness.UNKNOWN)

    def report_failed_connection(self, record: UpstreamRecord) -> None:
        """Report to the containment, if others confirm it, that a replica is gone."""
        if self._open_elsewhere is None:
            self._containment.record_connection_failure(record)
        elif self._containment.has_broken_responses(record):
            self.start(record)

    def start(self, record: UpstreamRecord) -> None:
        """
        Probe a replica in the background after it broke off a response.

        Responses that break off while a replica is being probed share the result.
        """
        key = (record.instance, record.incarnation)
        if key not in self._probed:
            self._probed.add(key)
            gevent.spawn(self._run, record)

    def _ask(
        self, connection: Connection, record: UpstreamRecord, way: ProbeWay
    ) -> ProbeResult:
        """Ask for a report, and keep the connection; raises ``SendError``."""
        # A report from before doesn't show that the replica still runs.
        connection.incarnation = None
        try:
            incarnation = identify_replica(
                connection,
                record,
                self._dialect,
                memory=self._report_memory,
                timeout=REPORT_TIMEOUT_SECONDS,
            )
        except BaseException:
            connection.close()
            raise
        if connection.is_tunnel and way is not ProbeWay.KEPT_CONNECTION:
            way = ProbeWay.OTHER_GATEWAY
        self._connections.release(connection, keep_alive=None)
        liveness = Liveness.REPORTS
        if incarnation != record.incarnation:
            is_later = incarnation > record.incarnation
            liveness = Liveness.REPLACED if is_later else Liveness.UNKNOWN
        return ProbeResult(liveness=liveness, way=way, incarnation=incarnation)

    def _check_elsewhere(
        self, record: UpstreamRecord, liveness: Liveness
    ) -> ProbeResult:
        """
        Return what is found through another gateway.

        Parameters
        ----------
        record : UpstreamRecord
        liveness : Liveness
            What was found from here.
        """
        # A connection that timed out here alone may be due to this gateway.
        alone = Liveness.UNKNOWN if liveness is Liveness.UNREACHABLE else liveness
        if self._open_elsewhere is None:
            return ProbeResult(liveness=alone, way=ProbeWay.NEW_CONNECTION)
        try:
            link = self._open_elsewhere(record.address)
        except UnreachableReplicaError:
            pass
        except OSError:
            liveness = Liveness.UNKNOWN
        else:
            if link is not None:
                return self._ask_through(link, record)
            liveness = alone
        if self._is_isolated():
            # All replicas are out of reach here, and maybe from the other gateway.
            liveness = Liveness.UNKNOWN
        return ProbeResult(liveness=liveness, way=ProbeWay.OTHER_GATEWAY)

    def _ask_through(self, link: Link, record: UpstreamRecord) -> ProbeResult:
        """Ask for a report over a connection through another gateway."""
        way = ProbeWay.OTHER_GATEWAY
        try:
            connection = self._connections.adopt(record.address, link)
        except ConnectionLimitError:
            link.raw.close()
            raise
        try:
            return self._ask(connection, record, way)
        except SendError:
            # A replica that stands still accepts connections as well.
            return ProbeResult(liveness=Liveness.UNKNOWN, way=way)

    def _run(self, record: UpstreamRecord) -> None:
        try:
            liveness = self.check(record).liveness
        except ConnectionLimitError:
            return  # nothing was found out
        finally:
            self._probed.discard((record.instance, record.incarnation))
        if liveness.shows_end:
            self._containment.record_connection_failure(record)
        elif liveness is Liveness.REPORTS:
            self._containment.record_connection(record)
