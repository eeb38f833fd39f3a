"""
Peers
=====

Tells the other gateways what this one has sent to each replica, and hears the same from
them, in datagrams.  Losing one is harmless: the next one holds everything.
"""

import random
from collections.abc import Callable

import gevent
import msgspec
from gevent import socket
from gevent.event import Event

from damasklead.clock import Clock
from damasklead.gateway.containment import Containment
from damasklead.gateway.departures import Departures, LeftNote
from damasklead.gateway.dialect import FeedError, PeerDirectory, PeerEntry
from damasklead.gateway.journal import Journal
from damasklead.gateway.peerload import (
    LoadMessage,
    PeerLoads,
    ReplicaShare,
    send_interval,
    worth_telling,
)
from damasklead.gateway.reading import ListReport, ListReports
from damasklead.util import split_address

__all__ = ["Peers"]

# Peers are looked up this often, and at once when an unknown one is heard, but not more
# often than the pause: each look-up is a priced call to the platform.
LOOK_UP_SECONDS = 20.0
LOOK_UP_PAUSE_SECONDS = 2.0
RETRY_SECONDS = 0.7
# Sent also when nothing has changed, so that silence means something.
REFRESH_SECONDS = 0.6
# An entry whose gateway was not heard for so long is removed by those that see it.
FORGET_SECONDS = 60.0
# The gateway that reads the platform's lists for the others is heard so often; a lost
# datagram is made up for by the next.
HEARTBEAT_SECONDS = 0.3
RECEIVE_BYTES = 65_536


class Peers:
    """
    The messages between one gateway and the others.

    Parameters
    ----------
    own : PeerEntry
        Under which this gateway announces itself.
    directory : callable
        Returns the directory of gateways.
    loads : PeerLoads
    shares : callable
        Returns what to tell the others of this gateway's requests.
    reports : callable
        Returns what to tell them of the platform's lists.
    list_reports : ListReports
        Takes what they tell of them.
    containment : Containment
        Hears of the crashes that others have seen, and tells its own.
    departures : Departures
        Tells which replicas have said that they leave.
    take_departures : callable
        Takes what the others tell of that.
    notify : callable
        Called when a message tells of a change of the lists.
    clock : Clock
    journal : Journal
    """

    def __init__(
        self,
        *,
        own: PeerEntry,
        directory: Callable[[], PeerDirectory],
        loads: PeerLoads,
        shares: Callable[[], list[ReplicaShare]],
        reports: Callable[[], list[ListReport]],
        list_reports: ListReports,
        containment: Containment,
        departures: Departures,
        take_departures: Callable[[list[LeftNote]], None],
        notify: Callable[[], None],
        clock: Clock,
        journal: Journal,
    ) -> None:
        self._own = own
        self._directory = directory
        self._loads = loads
        self._shares = shares
        self._reports = reports
        self._list_reports = list_reports
        self._containment = containment
        self._departures = departures
        self._take_departures = take_departures
        self._notify = notify
        self._changed = Event()
        self._unknown = Event()
        self._clock = clock
        self._journal = journal
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._addresses: dict[str, tuple[str, int]] = {}
        self._first_seen: dict[str, float] = {}
        self._entries: list[PeerEntry] = []
        self._number = 0
        self._sent_at = clock.now()

    @property
    def known(self) -> int | None:
        """How many gateways the directory holds; ``None`` before it was read."""
        return len(self._first_seen) or None

    @property
    def entries(self) -> list[PeerEntry]:
        """The gateways' entries as they were last read, or told by another one."""
        return self._entries

    def offer(self, entries: list[PeerEntry]) -> None:
        """Take in the gateways that another one knows, until they can be read."""
        if not self._entries:
            self._take(entries)

    def listen(self) -> None:
        """Bind the port to which the others send."""
        self._socket.bind(split_address(self._own.address))

    def run_sender(self) -> None:
        """Tell the others what has changed, forever."""
        told: list[ReplicaShare] = []
        marks: list[int] = []
        crashes = departures = 0
        told_at = 0.0
        while True:
            interval = send_interval(self._loads.gateways)
            self._changed.wait(timeout=min(interval, HEARTBEAT_SECONDS))
            self._changed.clear()
            self._loads.expire()
            shares, lists = self._shares(), self._reports()
            now = self._clock.now()
            reads = any(report.age >= 0 for report in lists)
            refresh = HEARTBEAT_SECONDS if reads else max(REFRESH_SECONDS, interval)
            news = (
                marks != [report.mark for report in lists]
                or crashes < len(self._containment.notes)
                or departures < len(self._departures.notes)
                or (
                    now - told_at >= interval
                    and (self._loads.parts.pending or worth_telling(told, shares))
                )
            )
            crashes = len(self._containment.notes)
            departures = len(self._departures.notes)
            if news or now - told_at >= refresh:
                told, told_at = shares, now
                marks = [report.mark for report in lists]
                self._send(shares, lists)

    def run_receiver(self) -> None:
        """Hear the others, forever."""
        decoder = msgspec.msgpack.Decoder(LoadMessage)
        while True:
            data = self._socket.recv(RECEIVE_BYTES)
            try:
                message = decoder.decode(data)
            except msgspec.DecodeError as error:
                self._journal.event("peer-message-unreadable", cause=str(error))
                continue
            if message.sender != self._own.instance:
                if message.sender not in self._addresses:
                    self._unknown.set()
                self._loads.take(message)
                self._containment.take(message.crashes)
                self._take_departures(message.left)
                if self._list_reports.take(message.lists):
                    self._notify()

    def run_look_up(self) -> None:
        """Announce this gateway and find the others, forever."""
        announced = False
        while True:
            try:
                if not announced:
                    self._directory().announce(self._own)
                    announced = True
                self._take(self._directory().read())
            except FeedError as error:
                self._journal.event("peers-not-found", cause=str(error))
                gevent.sleep(RETRY_SECONDS * random.uniform(0.7, 1.3))
                continue
            gevent.sleep(LOOK_UP_PAUSE_SECONDS * random.uniform(0.8, 1.2))
            self._unknown.wait(timeout=LOOK_UP_SECONDS * random.uniform(0.8, 1.2))
            self._unknown.clear()

    def close(self) -> None:
        """Withdraw the announcement and close the socket."""
        try:
            self._directory().withdraw(self._own)
        except FeedError as error:
            self._journal.event("withdrawal-failed", cause=str(error))
        self._socket.close()

    def tell_soon(self) -> None:
        """Tell the others at once that a list has changed."""
        self._changed.set()

    def _send(self, shares: list[ReplicaShare], lists: list[ListReport]) -> None:
        self._number += 1
        now = self._clock.now()
        message = LoadMessage(
            self._own.instance,
            self._own.incarnation,
            self._number,
            shares,
            lists,
            self._containment.notes,
            self._loads.parts.tell(
                gateways=self._loads.gateways, seconds=now - self._sent_at
            ),
            self._departures.notes,
        )
        self._sent_at = now
        data = msgspec.msgpack.encode(message)
        for instance, address in self._addresses.items():
            try:
                self._socket.sendto(data, address)
            except OSError as error:
                self._journal.event("peer-unreachable", peer=instance, cause=str(error))

    def _take(self, entries: list[PeerEntry]) -> None:
        """Take in which gateways there are."""
        self._entries = entries
        before = self._addresses
        self._addresses = {
            entry.instance: split_address(entry.address)
            for entry in entries
            if entry.instance != self._own.instance
        }
        for instance in self._addresses.keys() - before.keys():
            self._journal.event("peer-found", peer=instance)
        for instance in before.keys() - self._addresses.keys():
            self._journal.event("peer-gone", peer=instance)
        self._forget_silent(entries)

    def _forget_silent(self, entries: list[PeerEntry]) -> None:
        """Remove entries whose gateway has not been heard for long."""
        now = self._clock.now()
        heard = self._loads.heard
        names = {entry.instance for entry in entries}
        self._first_seen = {
            name: self._first_seen.get(name, now) for name in sorted(names)
        }
        for entry in entries:
            since = max(self._first_seen[entry.instance], heard.get(entry.instance, 0))
            if entry.instance != self._own.instance and now - since > FORGET_SECONDS:
                self._directory().withdraw(entry)
                self._journal.event("peer-forgotten", peer=entry.instance)
