"""
Replica probe
=============

Finds out whether the start of a replica still runs whose connection has ended: after a
response that broke off, or one that only the end of its connection delimits.  The
replica is asked for its report, which names its start; that it accepts connections, or
keeps one open, doesn't show that this start still runs.  If it doesn't answer, it is
asked again through another gateway, since this one may be cut off from it.  Replicas of
some services report no start; these are known by a connection that was opened before.
"""

import math
from collections.abc import Callable
from contextlib import suppress
from enum import Enum

import gevent
import msgspec

from damasklead.clock import Clock
from damasklead.gateway.calls import UpstreamRecord
from damasklead.gateway.crash_containment import Containment
from damasklead.gateway.dialect import Dialect
from damasklead.gateway.replica_identity import request_report
from damasklead.gateway.upstream_http import (
    Connection,
    ConnectionLimitError,
    ConnectionPool,
    SendError,
)
from damasklead.ids import InstanceId, ServiceName
from damasklead.memory_budget import MemoryBudget
from damasklead.tunnels.dialer import UnreachableReplicaError
from damasklead.tunnels.dialing import Link

__all__ = ["Liveness", "ProbeResult", "ProbeWay", "ReplicaProbe"]

# A replica that is busy reports later than one that is about to get a request.
REPORT_TIMEOUT_SECONDS = 1.0
# Differences between the clocks of machines, and the longest time of a request.
MAX_SKEW_SECONDS = 2.0
MAX_REQUEST_SECONDS = 3_600.0
# New connections over which it is asked.
REPORT_ATTEMPTS = 2
# Time for which connections are prepared after they were needed.
PREPARED_SECONDS = 600.0


class Liveness(Enum):
    """
    Whether a start of a replica still runs.

    Attributes
    ----------
    REPORTS
        It has answered.
    ANSWERS
        A process at its address has answered without naming a start.
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
    ANSWERS = "answers"
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
    is_same_process : bool
        Whether the answer came over a connection that was opened before the time that
        the caller of the probe has named.
    """

    liveness: Liveness
    way: ProbeWay
    incarnation: int | None = None
    is_same_process: bool = False

    @property
    def has_unnamed_start(self) -> bool:
        """Whether the replica has answered without naming its start."""
        has_answered = self.is_same_process or self.liveness is Liveness.ANSWERS
        return has_answered and self.incarnation is None


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
    clock : Clock
    get_unix_time : callable
        Returns Unix time in seconds, by which starts are numbered.
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
        clock: Clock,
        get_unix_time: Callable[[], float],
        open_elsewhere: Callable[[str], Link | None] | None = None,
        is_isolated: Callable[[], bool] = lambda: False,
    ) -> None:
        self._clock = clock
        self._get_unix_time = get_unix_time
        self._is_isolated = is_isolated
        self._connections = connections
        self._containment = containment
        self._dialect = dialect
        self._report_memory = report_memory
        self._open_elsewhere = open_elsewhere
        # When replicas of a service last reported no start that was asked for.
        self._unreported_at: dict[ServiceName, float] = {}
        self._probed: set[tuple[InstanceId, int]] = set()

    def check(
        self, record: UpstreamRecord, *, sent_at: float = -math.inf
    ) -> ProbeResult:
        """
        Find out whether the start of a replica still runs.

        Parameters
        ----------
        record : UpstreamRecord
        sent_at : float
            Clock time in seconds at which that start ran: a connection that was opened
            before leads to the same process.

        Raises
        ------
        ConnectionLimitError
            When no connection may be opened to find out.
        """
        kept = self._connections.take_idle(record.address, opened_before=sent_at)
        kept = kept or self._connections.take_idle(record.address)
        if kept is not None:
            is_same_process = kept.opened_at < sent_at
            try:
                return self._ask(
                    kept,
                    record,
                    ProbeWay.KEPT_CONNECTION,
                    is_same_process=is_same_process,
                )
            except SendError:
                # The replica may have closed it while it was idle.
                self._connections.close_idle(record.address)
        for _ in range(REPORT_ATTEMPTS):
            try:
                connection = self._connections.open(record.address)
            except ConnectionLimitError:
                raise
            except SendError as error:
                is_refusal = isinstance(error.__cause__, ConnectionRefusedError)
                return self._check_elsewhere(
                    record, Liveness.REFUSES if is_refusal else Liveness.UNREACHABLE
                )
            # A replica resets connections beyond its limit.
            with suppress(SendError):
                return self._ask(connection, record, ProbeWay.NEW_CONNECTION)
        return self._check_elsewhere(record, Liveness.UNKNOWN)

    def report_failed_connection(self, record: UpstreamRecord) -> None:
        """Report to the containment, if others confirm it, that a replica is gone."""
        if self._open_elsewhere is None:
            self._containment.record_connection_failure(record)
        elif self._containment.has_broken_responses(record):
            self.start(record)

    def start(self, record: UpstreamRecord, *, sent_at: float = -math.inf) -> None:
        """
        Probe a replica in the background after it broke off a response.

        Responses that break off while a replica is being probed share the result.

        Parameters
        ----------
        record : UpstreamRecord
        sent_at : float
            Clock time in seconds at which the request was sent.
        """
        key = (record.instance, record.incarnation)
        if key not in self._probed:
            self._probed.add(key)
            gevent.spawn(self._run, record, sent_at)

    def prepare(self, record: UpstreamRecord) -> None:
        """
        Have a connection to a replica before a request is sent, which can show later
        that the same process runs, if its service has needed that lately.
        """
        now = self._clock.now()
        if now - self._unreported_at.get(record.service, -math.inf) > PREPARED_SECONDS:
            return
        with suppress(SendError):  # the request itself finds out
            self._connections.ensure_idle(record.address)

    def record_unreported_end(self, record: UpstreamRecord) -> None:
        """Record that the replica of a response without a length reports no start."""
        self._unreported_at[record.service] = self._clock.now()

    def _ask(
        self,
        connection: Connection,
        record: UpstreamRecord,
        way: ProbeWay,
        *,
        is_same_process: bool = False,
    ) -> ProbeResult:
        """Ask for a report, and keep the connection; raises ``SendError``."""
        try:
            incarnation = request_report(
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
        connection.incarnation = incarnation
        self._connections.release(connection, keep_alive=connection.keep_alive)
        if is_same_process or incarnation == record.incarnation:
            liveness = Liveness.REPORTS
        elif incarnation is None:
            liveness = Liveness.ANSWERS
        else:
            is_later = 0 < record.incarnation < incarnation
            liveness = Liveness.REPLACED if is_later else Liveness.UNKNOWN
        return ProbeResult(
            liveness=liveness,
            way=way,
            incarnation=incarnation,
            is_same_process=is_same_process,
        )

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

    def _run(self, record: UpstreamRecord, sent_at: float) -> None:
        try:
            result = self.check(record)
            if result.way is ProbeWay.OTHER_GATEWAY and result.liveness.shows_end:
                # A cut of this gateway may have ended before the others were asked.
                result = self.check(record)
        except ConnectionLimitError:
            return  # nothing was found out
        finally:
            self._probed.discard((record.instance, record.incarnation))
        if self._has_ended_since(result, sent_at):
            self._containment.record_connection_failure(record)
        elif result.liveness in (Liveness.REPORTS, Liveness.ANSWERS):
            self._containment.record_connection(record)

    def _has_ended_since(self, result: ProbeResult, sent_at: float) -> bool:
        """
        Return whether the start that ran a request has ended.

        A later start that ran before the request was sent has run it itself: the list
        was behind.
        """
        if result.liveness is not Liveness.REPLACED or result.incarnation is None:
            return result.liveness.shows_end
        age = min(self._clock.now() - sent_at, MAX_REQUEST_SECONDS)
        sent_unix = self._get_unix_time() - age
        return result.incarnation / 1000 >= sent_unix - MAX_SKEW_SECONDS
