"""
Coordination of one gateway
===========================

Connects the assignment client and the coordinators of a gateway with its peers.
"""

from collections.abc import Callable

import gevent
from gevent.event import Event

from damasklead.clock import Clock
from damasklead.gateway.calls import Call
from damasklead.gateway.coordination.assignment_client import AssignmentClient
from damasklead.gateway.coordination.cellmap import CellMap
from damasklead.gateway.coordination.cells import Cell, Member
from damasklead.gateway.coordination.coordinators import Coordinators
from damasklead.gateway.coordination.messages import (
    AssignmentRequest,
    AssignmentResponse,
    Grant,
    PrefillDone,
    RequestEnded,
    RequestQueued,
    RequestRejected,
    RunningRequests,
    WorkspaceAssignmentRequest,
)
from damasklead.gateway.coordination.remote_share import (
    RemoteReason,
    RemoteTally,
    RemoteTraffic,
)
from damasklead.gateway.journal import Journal
from damasklead.gateway.peers import Peers
from damasklead.gateway.routing import RoutingTable
from damasklead.ids import DataCentre
from damasklead.rate_limits import RateLimits

__all__ = ["Coordination"]

# Interval between decisions on queued requests, while there are any.
QUEUE_INTERVAL_SECONDS = 0.01
# Interval between reports of running requests, while there are any.
REPORT_INTERVAL_SECONDS = 1.0
# Interval between checks for suspected gateways that are due for a ping.
PING_CHECK_INTERVAL_SECONDS = 0.25

_COORDINATOR_MESSAGES = (
    AssignmentRequest,
    WorkspaceAssignmentRequest,
    PrefillDone,
    RequestEnded,
    RunningRequests,
)
_CLIENT_MESSAGES = (Grant, RequestQueued, RequestRejected)


class Coordination:
    """
    The assignment client and the coordinators of one gateway.

    Parameters
    ----------
    local_member : Member
        This gateway.
    clock : Clock
    table : callable
        Returns the current configuration.
    peers : Peers or None
        ``None`` for a gateway without peers.
    journal : Journal
    rate_limits : RateLimits
        The limits that engines name in their responses.
    remote_traffic : RemoteTraffic or None
        What traffic between data centres costs; ``None`` if the settings don't say.
    on_remote : callable
        Called with each request that is sent to another data centre, that data centre
        and the reason, if the settings say what such traffic costs.

    Attributes
    ----------
    cells : CellMap
    client : AssignmentClient
    coordinators : Coordinators
    """

    def __init__(
        self,
        *,
        local_member: Member,
        clock: Clock,
        table: Callable[[], RoutingTable | None],
        peers: Peers | None,
        journal: Journal,
        rate_limits: RateLimits,
        remote_traffic: RemoteTraffic | None = None,
        on_remote: Callable[
            [Call, DataCentre, RemoteReason], None
        ] = lambda _call, _target, _reason: None,
    ) -> None:
        self._instance = local_member.instance
        self._peers = peers
        self._journal = journal
        self._queue_active = Event()
        self._members_stale = True
        self.cells = CellMap(
            clock=clock,
            local_member=local_member,
            refresh_members=self._refresh_members,
            remote_traffic=remote_traffic,
        )
        self._has_remote_traffic = remote_traffic is not None
        self._tally = RemoteTally(data_centre=local_member.data_centre)
        self._on_remote = on_remote
        self.client = AssignmentClient(
            instance=local_member.instance,
            clock=clock,
            cells=self.cells,
            send=self._send,
            journal=journal,
            rate_limits=rate_limits,
            on_assigned=self._record_assigned,
        )
        self.coordinators = Coordinators(
            clock=clock,
            cells=self.cells,
            table=table,
            send_response=self._send_response,
            rate_limits=rate_limits,
        )
        if peers is not None:
            for kind in _COORDINATOR_MESSAGES:
                peers.register_handler(kind, self._handle_message)
            for response_kind in _CLIENT_MESSAGES:
                peers.register_handler(response_kind, self.client.handle_response)

    def record_contact(self, name: str) -> None:
        """Record that a message of a gateway was received."""
        if self.cells.clear_suspicion(name):
            self._journal.event("coordinator-back", peer=name)

    def invalidate_members(self) -> None:
        """Mark the members as outdated, so that they are refreshed at the next use."""
        self._members_stale = True

    def _refresh_members(self) -> None:
        if self._peers is not None and self._members_stale:
            self._members_stale = False
            self.cells.set_members(
                Member(entry.instance, entry.data_centre, entry.cores)
                for entry in self._peers.members
            )

    def run_queue_loop(self) -> None:
        """Decide on the requests queued in this gateway, forever."""
        while True:
            self._queue_active.wait()
            gevent.sleep(QUEUE_INTERVAL_SECONDS)
            self.coordinators.process_queues()
            if not self.coordinators.has_queued:
                self._queue_active.clear()

    def run_report_loop(self) -> None:
        """Report running requests and ping suspected gateways, forever."""
        elapsed = 0.0
        while True:
            gevent.sleep(PING_CHECK_INTERVAL_SECONDS)
            elapsed += PING_CHECK_INTERVAL_SECONDS
            if self._peers is not None:
                for name in self.cells.collect_due_pings():
                    self._peers.ping(name)
            if elapsed >= REPORT_INTERVAL_SECONDS:
                elapsed = 0.0
                self.client.report_running_requests()
                self.coordinators.process_queues()
                self._log_share_changes()

    def _record_assigned(self, call: Call, cell: Cell) -> None:
        if not self._has_remote_traffic:
            return
        reason = (
            RemoteReason.LOAD
            if self.cells.is_own_choice(call, cell)
            else RemoteReason.HOME
        )
        if self._tally.record(call.service, cell.data_centre, reason):
            self._on_remote(call, cell.data_centre, reason)

    def _log_share_changes(self) -> None:
        for change in self._tally.collect_changes():
            self._journal.event(
                "remote-share",
                service=change.service,
                target=change.target,
                share=change.share,
            )

    def _send(self, name: str, message: object) -> None:
        if name == self._instance:
            self._handle_message(message, name)
        elif self._peers is not None:
            self._peers.send(name, message)

    def _handle_message(self, message: object, _sender: str) -> None:
        assert isinstance(message, _COORDINATOR_MESSAGES)
        self.coordinators.handle_message(message)

    def _send_response(self, name: str, response: AssignmentResponse) -> None:
        if isinstance(response, RequestQueued):
            self._queue_active.set()
        if name == self._instance:
            self.client.handle_response(response, name)
        elif self._peers is not None:
            self._peers.send(name, response)
