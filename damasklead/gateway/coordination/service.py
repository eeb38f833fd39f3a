"""
Coordination of one gateway
===========================

Ties together what this gateway asks of coordinators and what it decides as one.
"""

from collections.abc import Callable

import gevent
from gevent.event import Event

from damasklead.clock import Clock
from damasklead.gateway.coordination.asking import Asker
from damasklead.gateway.coordination.cellmap import CellMap
from damasklead.gateway.coordination.cells import Member
from damasklead.gateway.coordination.coordinators import Coordinators
from damasklead.gateway.coordination.messages import (
    Answer,
    Ask,
    Ended,
    Grant,
    Queued,
    Read,
    Refused,
    Running,
)
from damasklead.gateway.journal import Journal
from damasklead.gateway.peers import Peers
from damasklead.gateway.routing import RoutingTable

__all__ = ["Coordination"]

# What waits is looked at so often, and only while something does.
DECIDE_SECONDS = 0.01
# What runs is told so often, and only while something does.
RUNNING_SECONDS = 1.0
# Silent coordinators are looked at so often.
PING_SECONDS = 0.25

_COORDINATOR_KINDS = (Ask, Read, Ended, Running)
_ASKER_KINDS = (Grant, Queued, Refused)


class Coordination:
    """
    The asker and the coordinators of one gateway.

    Parameters
    ----------
    own : Member
    clock : Clock
    table : callable
        Returns the configuration in force.
    peers : Peers or None
        ``None`` for a gateway without others.
    journal : Journal

    Attributes
    ----------
    cells : CellMap
    asker : Asker
    coordinators : Coordinators
    """

    def __init__(
        self,
        *,
        own: Member,
        clock: Clock,
        table: Callable[[], RoutingTable | None],
        peers: Peers | None,
        journal: Journal,
    ) -> None:
        self._own = own.instance
        self._peers = peers
        self._journal = journal
        self._waiting = Event()
        self._members_changed = True
        self.cells = CellMap(clock=clock, own=own, refresh=self._take_members)
        self.asker = Asker(
            own=own.instance,
            clock=clock,
            cells=self.cells,
            send=self._send,
            journal=journal,
        )
        self.coordinators = Coordinators(
            clock=clock, cells=self.cells, table=table, answer=self._answer
        )
        if peers is not None:
            for work in _COORDINATOR_KINDS:
                peers.register_handler(work, self._take_work)
            for answer in _ASKER_KINDS:
                peers.register_handler(answer, self.asker.take)

    def heard(self, name: str) -> None:
        """Take in that a gateway was heard."""
        if self.cells.heard(name):
            self._journal.event("coordinator-back", peer=name)

    def members_changed(self) -> None:
        """Take in that the gateways have changed; they are looked at when needed."""
        self._members_changed = True

    def _take_members(self) -> None:
        if self._peers is not None and self._members_changed:
            self._members_changed = False
            self.cells.take_members(
                Member(entry.instance, entry.data_centre, entry.cores)
                for entry in self._peers.members
            )

    def run_decisions(self) -> None:
        """Decide about what waits here, forever."""
        while True:
            self._waiting.wait()
            gevent.sleep(DECIDE_SECONDS)
            self.coordinators.tick()
            if not self.coordinators.waiting:
                self._waiting.clear()

    def run_reports(self) -> None:
        """Tell coordinators what runs, and look for silent ones, forever."""
        since = 0.0
        while True:
            gevent.sleep(PING_SECONDS)
            since += PING_SECONDS
            if self._peers is not None:
                for name in self.cells.to_ping():
                    self._peers.ping(name)
            if since >= RUNNING_SECONDS:
                since = 0.0
                self.asker.tell_running()
                self.coordinators.tick()

    def _send(self, name: str, message: object) -> None:
        if name == self._own:
            self._take_work(message, name)
        elif self._peers is not None:
            self._peers.send(name, message)

    def _take_work(self, message: object, _sender: str) -> None:
        assert isinstance(message, _COORDINATOR_KINDS)
        self.coordinators.take(message)

    def _answer(self, name: str, answer: Answer) -> None:
        if isinstance(answer, Queued):
            self._waiting.set()
        if name == self._own:
            self.asker.take(answer, name)
        elif self._peers is not None:
            self._peers.send(name, answer)
