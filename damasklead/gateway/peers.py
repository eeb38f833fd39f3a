"""
Peers
=====

The other gateways, and the datagrams to and from them.
"""

import random
from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from gevent import socket
from gevent.event import Event

from damasklead.clock import Clock
from damasklead.gateway.coordination.messages import (
    AssignmentRequest,
    Grant,
    PrefillDone,
    RequestEnded,
    RequestQueued,
    RequestRejected,
    RunningRequests,
)
from damasklead.gateway.dialect import FeedError, PeerDirectory, PeerEntry
from damasklead.gateway.inbox import Inbox
from damasklead.gateway.journal import Journal
from damasklead.gateway.messages import (
    Announcement,
    Broadcast,
    LeaveNotice,
    PeerReport,
    Ping,
)
from damasklead.ids import DataCentre, InstanceId
from damasklead.util import split_address

__all__ = ["Peers"]

# Gateways say where they are when they start, so a look-up only finds what was missed:
# soon after the start, when others have started as well, and then seldom.
SECOND_LOOK_UP_SECONDS = 3.0
LOOK_UP_SECONDS = 20.0
LOOK_UP_SECONDS_PER_GATEWAY = 0.5
RETRY_SECONDS = 0.7
# Entries of gateways that stay silent when they are asked for so long are removed.
FORGET_SECONDS = 60.0
PING_SECONDS = 15.0
RECEIVE_BYTES = 65_536
# What was written longer ago than this is in the copy from which a store comes back.
MAX_RESTORE_SECONDS = 30.0
# Look-ups after that are spread over so long for each gateway.
RESTORED_SECONDS_PER_GATEWAY = 0.3
# Gateways that said goodbye are remembered up to so many.
MOST_GONE = 1_000

_Address = tuple[str, int]
_Message = (
    AssignmentRequest | RequestQueued | Grant | RequestRejected | PrefillDone
    | RequestEnded | RunningRequests
    | Announcement | LeaveNotice | Ping | Broadcast | PeerReport
)  # fmt: skip


class Peers:
    """
    Sends messages to other gateways and hands theirs to the modules they are for.

    Parameters
    ----------
    own : PeerEntry
        Under which this gateway announces itself.
    directory : callable
        Returns the directory of gateways.
    changed : callable
        Called when the gateways that are known have changed.
    heard : callable
        Called with the name of each gateway that is heard.
    clock : Clock
    journal : Journal
    """

    def __init__(
        self,
        *,
        own: PeerEntry,
        directory: Callable[[], PeerDirectory],
        changed: Callable[[], None],
        heard: Callable[[str], None],
        clock: Clock,
        journal: Journal,
    ) -> None:
        self._own = own
        self._directory = directory
        self._changed = changed
        self._heard = heard
        self._clock = clock
        self._journal = journal
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._members: dict[str, PeerEntry] = {}
        self._addresses: dict[str, tuple[str, int]] = {}
        self._names: dict[tuple[str, int], str] = {}
        self._heard_at: dict[str, float] = {}
        self._handlers: dict[type, Callable[[Any, str], None]] = {}
        self._looked_up = False
        self._said_goodbye = False
        self._announced_at: float | None = None
        self._look_up_now = Event()
        # Incarnations that said goodbye, whatever the directory's copy shows.
        self._gone: dict[str, int] = {}
        self._returned: dict[str, PeerEntry] = {}

    @property
    def members(self) -> list[PeerEntry]:
        """The other gateways."""
        return list(self._members.values())

    @property
    def looked_up(self) -> bool:
        """Whether the other gateways were looked up, or told by one of them."""
        return self._looked_up

    @property
    def entries(self) -> list[PeerEntry]:
        """All gateways, this one included."""
        return [self._own, *self._members.values()]

    def register_handler(self, kind: type, handler: Callable[[Any, str], None]) -> None:
        """Hand messages of a kind, and their sender's name, to a handler."""
        self._handlers[kind] = handler

    def offer(self, entries: list[PeerEntry]) -> None:
        """Take in the gateways that another one knows."""
        self._looked_up = True
        self._add(entries)
        self._say_hello()

    def listen(self) -> None:
        """Bind the port to which the others send."""
        self._socket.bind(split_address(self._own.address))

    def send(self, name: str, message: object) -> None:
        """Send a message to a gateway; to an unknown one it is lost."""
        address = self._addresses.get(name)
        if address is not None:
            self._send_data(msgspec.msgpack.encode(message), name, address)

    def send_all(self, message: object) -> None:
        """Send a message to all other gateways."""
        data = msgspec.msgpack.encode(message)
        for name, address in self._addresses.items():
            self._send_data(data, name, address)

    def run_receiver(self) -> None:
        """Hear the others, forever."""
        decoder = msgspec.msgpack.Decoder(_Message)
        while True:
            inbox: Inbox[tuple[Any, _Address]] = Inbox()
            data, address = self._socket.recvfrom(RECEIVE_BYTES)
            while data is not None:
                try:
                    message = decoder.decode(data)
                except msgspec.DecodeError as error:
                    self._journal.event("peer-message-unreadable", cause=str(error))
                else:
                    inbox.put(type(message), (message, address))
                data, address = self._receive_more(full=inbox.full)
            for message, sender in inbox.take():
                self._take_message(message, sender)
            if inbox.dropped:
                self._journal.event("asks-dropped", asks=inbox.dropped)
            # Requests of this gateway's own callers get their turn.
            gevent.sleep(0)

    def _receive_more(self, *, full: bool) -> tuple[bytes | None, _Address]:
        """Return a datagram that has arrived already, ``None`` without one."""
        if full:
            return None, ("", 0)
        self._socket.settimeout(0.0)
        try:
            data, address = self._socket.recvfrom(RECEIVE_BYTES)
        except BlockingIOError:
            return None, ("", 0)
        finally:
            self._socket.settimeout(None)
        return data, address

    def _take_message(self, message: object, address: _Address) -> None:
        name = self._names.get(address)
        if isinstance(message, Announcement):
            self._take_hello(message)
        elif isinstance(message, LeaveNotice):
            self._take_goodbye(message)
            return
        elif isinstance(message, Ping):
            self._take_ping(address)
        elif name is None:
            # One that started while no datagram of its own arrived.
            self._send_data(msgspec.msgpack.encode(Ping()), str(address), address)
            return
        if name is not None:
            self._heard_at[name] = self._clock.now()
            self._heard(name)
            handler = self._handlers.get(type(message))
            if handler is not None:
                handler(message, name)

    def address_of(self, name: str) -> str:
        """Return where a gateway tells what it knows, empty when that is not known."""
        entry = self._members.get(name)
        return "" if entry is None else entry.operators

    def list_restored(self) -> None:
        """
        Take in that the directory has come back from an older copy.

        A gateway that announced itself not long before looks for its own entry soon; it
        may be the only one that knows of it.
        """
        if self._announced_at is None:
            return
        if self._clock.now() - self._announced_at < MAX_RESTORE_SECONDS:
            self._look_up_now.set()

    def run_look_up(self) -> None:
        """Announce this gateway and find the others, forever."""
        pause = SECOND_LOOK_UP_SECONDS
        while True:
            try:
                self._look_up()
            except FeedError as error:
                self._journal.event("peers-not-found", cause=str(error))
                most = max(RETRY_SECONDS, 0.01 * len(self._members))
                gevent.sleep(most * random.uniform(0.7, 1.3))
                continue
            if self._look_up_now.wait(timeout=pause * random.uniform(0.8, 1.2)):
                self._look_up_now.clear()
                spread = RESTORED_SECONDS_PER_GATEWAY * (len(self._members) + 1)
                gevent.sleep(random.uniform(0.0, spread))
            pause = max(
                LOOK_UP_SECONDS, LOOK_UP_SECONDS_PER_GATEWAY * len(self._members)
            )

    def _look_up(self) -> None:
        """Find the others, and announce this gateway where its entry is missing."""
        if self._announced_at is None:
            self._announce()
        entries = self._directory().read()
        self._take(entries)
        own = next((e for e in entries if e.instance == self._own.instance), None)
        if own is None or own.incarnation < self._own.incarnation:
            self._journal.event("announcement-missing", peer=self._own.instance)
            self._announce()

    def _announce(self) -> None:
        self._directory().announce(self._own)
        self._announced_at = self._clock.now()

    def check_silent(self) -> None:
        """
        Ask gateways that were not heard for long, and remove those that are gone.

        Raises
        ------
        FeedError
            When the directory can't be changed.
        """
        now = self._clock.now()
        for entry in list(self._returned.values()):
            self._directory().withdraw(entry)
            del self._returned[entry.instance]
        for entry in self.members:
            silent = now - self._heard_at.setdefault(entry.instance, now)
            if silent > FORGET_SECONDS:
                self._directory().withdraw(entry)
                self._remove(entry.instance)
                self._journal.event("peer-forgotten", peer=entry.instance)
            elif silent > PING_SECONDS:
                self.ping(entry.instance)

    def ping(self, name: str) -> None:
        """Ask a gateway whether it is there."""
        self.send(name, Ping())

    def say_goodbye(self) -> None:
        """Tell the others that this gateway stops."""
        self._said_goodbye = True
        self.send_all(LeaveNotice(self._own.instance, self._own.incarnation))

    def close(self) -> None:
        """Withdraw the announcement and close the socket."""
        try:
            self._directory().withdraw(self._own)
        except FeedError as error:
            self._journal.event("withdrawal-failed", cause=str(error))
        self._socket.close()

    def _send_data(self, data: bytes, name: str, address: tuple[str, int]) -> None:
        try:
            self._socket.sendto(data, address)
        except OSError as error:
            self._journal.event("peer-unreachable", peer=name, cause=str(error))

    def _say_hello(self) -> None:
        if not self._said_goodbye:
            self.send_all(self._hello())

    def _hello(self) -> Announcement:
        own = self._own
        return Announcement(
            own.instance,
            own.address,
            own.incarnation,
            own.data_centre,
            own.cores,
            own.operators,
        )

    def _take_hello(self, message: Announcement) -> None:
        entry = PeerEntry(
            instance=InstanceId(message.instance),
            address=message.address,
            incarnation=message.incarnation,
            data_centre=DataCentre(message.data_centre),
            cores=message.cores,
            operators=message.operators,
        )
        self._add([entry])
        self._heard_at[entry.instance] = self._clock.now()
        self._heard(entry.instance)

    def _take_goodbye(self, message: LeaveNotice) -> None:
        known = self._members.get(message.instance)
        if known is not None and known.incarnation <= message.incarnation:
            self._gone[message.instance] = message.incarnation
            while len(self._gone) > MOST_GONE:
                del self._gone[next(iter(self._gone))]
            self._remove(message.instance)

    def _take_ping(self, address: tuple[str, int]) -> None:
        if self._said_goodbye:
            return
        data = msgspec.msgpack.encode(self._hello())
        self._send_data(data, str(address), address)

    def _take(self, entries: list[PeerEntry]) -> None:
        """Take in the directory's entries; the others are gone."""
        self._looked_up = True
        listed = {entry.instance for entry in entries}
        now = self._clock.now()
        for name in [item for item in self._members if item not in listed]:
            # It may have started after the entries were read.
            if now - self._heard_at.get(name, 0.0) > SECOND_LOOK_UP_SECONDS:
                self._remove(name)
        before = set(self._members)
        # A copy of the directory may hold what was withdrawn since.
        self._returned = {
            entry.instance: entry
            for entry in entries
            if entry.incarnation == self._gone.get(entry.instance)
        }
        self._add(entries)
        if set(self._members) - before:
            self._say_hello()

    def _add(self, entries: list[PeerEntry]) -> None:
        news = False
        for entry in entries:
            known = self._members.get(entry.instance)
            if entry.instance == self._own.instance:
                continue
            if known is not None and known.incarnation >= entry.incarnation:
                continue
            if entry.incarnation == self._gone.get(entry.instance):
                continue
            self._members[entry.instance] = entry
            address = split_address(entry.address)
            self._addresses[entry.instance] = address
            self._names[address] = entry.instance
            self._journal.event("peer-found", peer=entry.instance)
            news = True
        if news:
            self._changed()

    def _remove(self, name: str) -> None:
        self._members.pop(name, None)
        self._heard_at.pop(name, None)
        address = self._addresses.pop(name, None)
        if address is not None:
            self._names.pop(address, None)
        self._journal.event("peer-gone", peer=name)
        self._changed()
