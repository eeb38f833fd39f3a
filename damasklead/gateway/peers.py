"""
Peers
=====

Discovery of the other gateways, and the datagrams to and from them.
"""

import random
from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from gevent import socket
from gevent.event import Event

from damasklead.clock import Clock
from damasklead.decoding import decode_msgpack, is_ip_address, is_token
from damasklead.gateway.coordination.messages import (
    Grant,
    PrefillDone,
    RequestEnded,
    RequestQueued,
    RequestRejected,
    RunningRequests,
    WorkspaceAssignmentRequest,
)
from damasklead.gateway.dialect import FeedError, PeerDirectory, PeerEntry
from damasklead.gateway.duties.messages import (
    HolderNotice,
    ReportCopies,
    UsageCounts,
)
from damasklead.gateway.duties.scaling.messages import CellLoad
from damasklead.gateway.journal import Journal
from damasklead.gateway.message_batch import MessageBatch
from damasklead.gateway.messages import (
    Announcement,
    Broadcast,
    LeaveNotice,
    PeerReport,
    Ping,
)
from damasklead.gateway.peer_liveness import PeerLiveness
from damasklead.gateway.stream_origins.messages import (
    OriginQuery,
    OriginReply,
    OriginReport,
)
from damasklead.ids import DataCentre, InstanceId
from damasklead.turns import TurnBudget
from damasklead.util import split_address

__all__ = ["Peers"]

# Gateways announce themselves to each other when they start, so that a read of the
# directory only finds what was missed.  The second read follows soon, when gateways
# that started at the same time have written their entries; later ones are rare.
SECOND_DISCOVERY_SECONDS = 3.0
# Interval of later reads: the larger of a constant and a time for each other gateway.
DISCOVERY_INTERVAL_SECONDS = 20.0
DISCOVERY_SECONDS_PER_GATEWAY = 0.5
# Least pause after a failed read, before jitter.
MIN_RETRY_SECONDS = 0.7
MAX_DATAGRAM_BYTES = 65_536
# An entry older than this is contained in the backup from which a store is restored.
MAX_BACKUP_AGE_SECONDS = 30.0
# Reads after a restore are spread over this time for each gateway of the fleet.
RESTORE_JITTER_SECONDS_PER_GATEWAY = 0.3
# Gateways whose leave notice is remembered.
MAX_DEPARTED_PEERS = 1_000

_Address = tuple[str, int]
_Message = (
    WorkspaceAssignmentRequest | RequestQueued | Grant | RequestRejected | PrefillDone
    | RequestEnded | RunningRequests
    | Announcement | LeaveNotice | Ping | Broadcast | PeerReport
    | OriginReport | OriginQuery | OriginReply
    | HolderNotice | UsageCounts | ReportCopies | CellLoad
)  # fmt: skip

_DECODER = msgspec.msgpack.Decoder(_Message)


class Peers:
    """
    Keeps the list of other gateways, sends messages to them and dispatches theirs.

    Parameters
    ----------
    local_entry : PeerEntry
        Directory entry of this gateway.
    directory : callable
        Returns the active directory of gateways.
    on_members_changed : callable
        Called after the known gateways have changed.
    on_message : callable
        Called with the sender's name for each message of a known gateway.
    clock : Clock
    journal : Journal
    """

    def __init__(
        self,
        *,
        local_entry: PeerEntry,
        directory: Callable[[], PeerDirectory],
        on_members_changed: Callable[[], None],
        on_message: Callable[[str], None],
        clock: Clock,
        journal: Journal,
    ) -> None:
        self._local_entry = local_entry
        self._directory = directory
        self._on_members_changed = on_members_changed
        self._on_message = on_message
        self._clock = clock
        self._journal = journal
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._members: dict[str, PeerEntry] = {}
        self._addresses: dict[str, tuple[str, int]] = {}
        self._names: dict[tuple[str, int], str] = {}
        self._liveness = PeerLiveness(clock=clock)
        self._handlers: dict[type, Callable[[Any, str], None]] = {}
        self._types_of_leaving: set[type] = set()
        # Names of gateways that sent a leave notice, by address; they still send
        # messages until they have stopped.
        self._leaving_names: dict[tuple[str, int], str] = {}
        self._is_discovery_complete = False
        self._is_leaving = False
        self._entry_written_at: float | None = None
        self._discovery_due = Event()
        # Incarnations that sent a leave notice, by gateway.  A restored directory may
        # list them again.
        self._departed: dict[str, int] = {}
        self._restored_entries: dict[str, PeerEntry] = {}

    @property
    def members(self) -> list[PeerEntry]:
        """The entries of the other gateways."""
        return list(self._members.values())

    @property
    def is_discovery_complete(self) -> bool:
        """Whether the directory, or another gateway's copy of it, has been read."""
        return self._is_discovery_complete

    @property
    def entries(self) -> list[PeerEntry]:
        """The entries of all gateways, this one included."""
        return [self._local_entry, *self._members.values()]

    def register_handler(
        self,
        message_type: type,
        handler: Callable[[Any, str], None],
        *,
        accepts_leaving: bool = False,
    ) -> None:
        """
        Set the handler that gets messages of a type and their sender's name.

        Parameters
        ----------
        message_type : type
        handler : callable
        accepts_leaving : bool
            Whether it also gets messages of gateways that have announced their leave.
        """
        self._handlers[message_type] = handler
        if accepts_leaving:
            self._types_of_leaving.add(message_type)

    def apply_snapshot(self, entries: list[PeerEntry], *, is_complete: bool) -> None:
        """
        Add the gateways that a snapshot of another gateway lists.

        Parameters
        ----------
        entries : list of PeerEntry
        is_complete : bool
            Whether these are all gateways.
        """
        self._is_discovery_complete = self._is_discovery_complete or is_complete
        self._merge_members(entries)
        self._send_announcement()

    def listen(self) -> None:
        """Bind the port on which this gateway receives datagrams."""
        self._socket.bind(split_address(self._local_entry.address))

    def send(self, name: str, message: object) -> None:
        """Send a message to a gateway; drop it if the gateway is unknown."""
        address = self._addresses.get(name)
        if address is not None:
            self._send_data(msgspec.msgpack.encode(message), name, address)

    def send_all(self, message: object) -> None:
        """
        Send a message to all other gateways.

        Each message starts with another one: a full link drops the datagrams to those
        at the end, which must not always be the same.
        """
        data = msgspec.msgpack.encode(message)
        addresses = list(self._addresses.items())
        start = random.randrange(len(addresses)) if addresses else 0
        for name, address in addresses[start:] + addresses[:start]:
            self._send_data(data, name, address)

    def run_receiver(self) -> None:
        """Receive and handle messages, forever."""
        turn = TurnBudget()
        while True:
            batch: MessageBatch[tuple[Any, _Address]] = MessageBatch()
            data, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            while data is not None:
                turn.spend(size=len(data))
                message = self._decode_datagram(data)
                if message is not None:
                    batch.add(type(message), (message, address))
                data, address = self._receive_pending(full=batch.is_full)
            for message, sender in batch.select_messages():
                turn.spend(size=0)
                self._handle_safely(message, sender)
            if batch.dropped_count:
                self._journal.event("asks-dropped", asks=batch.dropped_count)
            # Lets the greenlets of this gateway's own callers run.
            gevent.sleep(0)

    def handle_datagram(self, data: bytes, address: _Address) -> None:
        """Handle a datagram by itself, whatever it contains."""
        message = self._decode_datagram(data)
        if message is not None:
            self._handle_safely(message, address)

    def _decode_datagram(self, data: bytes) -> object | None:
        """Return the message of a datagram, ``None`` if it has none."""
        try:
            message: object = decode_msgpack(data, decoder=_DECODER)
        except msgspec.DecodeError as error:
            self._journal.event("peer-message-unreadable", cause=str(error))
            return None
        return message

    def _handle_safely(self, message: object, address: _Address) -> None:
        """Handle a message; one that can't be handled must not end the receiver."""
        try:
            self._handle_message(message, address)
        except Exception as error:
            # Anybody may send a datagram that decodes as a message of a gateway.
            self._journal.event(
                "peer-message-failed",
                peer=str(address),
                message=type(message).__name__,
                cause=repr(error),
            )

    def _receive_pending(self, *, full: bool) -> tuple[bytes | None, _Address]:
        """Return a datagram that has already arrived, ``None`` without one."""
        if full:
            return None, ("", 0)
        self._socket.settimeout(0.0)
        try:
            data, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return None, ("", 0)
        finally:
            self._socket.settimeout(None)
        return data, address

    def _handle_message(self, message: object, address: _Address) -> None:
        name = self._names.get(address)
        if isinstance(message, Announcement):
            self._handle_announcement(message, address)
        elif isinstance(message, LeaveNotice):
            self._handle_leave_notice(message)
            return
        elif isinstance(message, Ping):
            self._handle_ping(address)
        elif name is None and type(message) in self._types_of_leaving:
            leaving_name = self._leaving_names.get(address)
            if leaving_name is not None:
                self._handlers[type(message)](message, leaving_name)
                return
        if name is None and not isinstance(message, Announcement | Ping):
            # The announcement of an unknown sender was lost.
            self._send_data(msgspec.msgpack.encode(Ping()), str(address), address)
            return
        if name is not None:
            self._liveness.record_message(name)
            self._on_message(name)
            handler = self._handlers.get(type(message))
            if handler is not None:
                handler(message, name)

    def get_silence(self, name: str) -> float:
        """Return the seconds since a gateway was heard, infinite if it never was."""
        return self._liveness.get_silence(name)

    def get_operators_address(self, name: str) -> str:
        """Return a gateway's operators' address, empty when there is none."""
        entry = self._members.get(name)
        return "" if entry is None else entry.operators

    def handle_restore(self) -> None:
        """
        Schedule a read of a directory that was restored from a backup.

        The read is needed only if this gateway wrote its entry so recently that the
        backup may lack it; possibly no other gateway has a copy of the entry.
        """
        if self._entry_written_at is None:
            return
        if self._clock.now() - self._entry_written_at < MAX_BACKUP_AGE_SECONDS:
            self._discovery_due.set()

    def run_discovery(self) -> None:
        """Write this gateway's directory entry and find the other gateways, forever."""
        interval = SECOND_DISCOVERY_SECONDS
        while True:
            try:
                self._discover_peers()
            except FeedError as error:
                self._journal.event("peers-not-found", cause=str(error))
                retry_seconds = max(MIN_RETRY_SECONDS, 0.01 * len(self._members))
                gevent.sleep(retry_seconds * random.uniform(0.7, 1.3))
                continue
            if self._discovery_due.wait(timeout=interval * random.uniform(0.8, 1.2)):
                self._discovery_due.clear()
                max_delay = RESTORE_JITTER_SECONDS_PER_GATEWAY * (
                    len(self._members) + 1
                )
                gevent.sleep(random.uniform(0.0, max_delay))
            interval = max(
                DISCOVERY_INTERVAL_SECONDS,
                DISCOVERY_SECONDS_PER_GATEWAY * len(self._members),
            )

    def _discover_peers(self) -> None:
        """Read the directory; write this gateway's entry if it is missing."""
        if self._entry_written_at is None:
            self._write_entry()
        entries = self._directory().read()
        self._apply_directory(entries)
        own = next(
            (e for e in entries if e.instance == self._local_entry.instance), None
        )
        if own is None or own.incarnation < self._local_entry.incarnation:
            self._journal.event("announcement-missing", peer=self._local_entry.instance)
            self._write_entry()

    def _write_entry(self) -> None:
        self._directory().announce(self._local_entry)
        self._entry_written_at = self._clock.now()

    def check_liveness(self) -> None:
        """
        Ping silent gateways, and remove those that have answered no ping for long.

        Raises
        ------
        FeedError
            When the directory can't be changed.
        """
        check = self._liveness.check(self._members)
        for name in check.pinged:
            self.ping(name)
        for entry in list(self._restored_entries.values()):
            self._directory().withdraw(entry)
            del self._restored_entries[entry.instance]
        for entry in [self._members[name] for name in check.ended]:
            self._directory().withdraw(entry)
            if self._members.get(entry.instance) is not entry:
                continue  # it has left, or started again, during the call
            self._remove_member(entry.instance)
            self._journal.event("peer-forgotten", peer=entry.instance)

    def ping(self, name: str) -> None:
        """Request a gateway's announcement."""
        self.send(name, Ping())

    def send_leave_notice(self) -> None:
        """Announce to the others that this gateway stops."""
        self._is_leaving = True
        self.send_all(self._build_leave_notice())

    def close(self) -> None:
        """Remove this gateway's directory entry and close the socket."""
        # The first notice may have been lost.
        self.send_leave_notice()
        try:
            self._directory().withdraw(self._local_entry)
        except FeedError as error:
            self._journal.event("withdrawal-failed", cause=str(error))
        self._socket.close()

    def _send_data(self, data: bytes, name: str, address: tuple[str, int]) -> None:
        try:
            self._socket.sendto(data, address)
        except OSError as error:
            self._journal.event("peer-unreachable", peer=name, cause=str(error))

    def _send_announcement(self) -> None:
        if not self._is_leaving:
            self.send_all(self._build_announcement())

    def _build_leave_notice(self) -> LeaveNotice:
        return LeaveNotice(self._local_entry.instance, self._local_entry.incarnation)

    def _build_announcement(self) -> Announcement:
        own = self._local_entry
        return Announcement(
            own.instance,
            own.address,
            own.incarnation,
            own.data_centre,
            own.cores,
            own.operators,
        )

    def _handle_announcement(self, message: Announcement, source: _Address) -> None:
        if not (is_token(message.instance) and is_ip_address(message.address)):
            self._journal.event(
                "peer-message-unreadable", cause=f"address {message.address!r}"
            )
            return
        entry = PeerEntry(
            instance=InstanceId(message.instance),
            address=message.address,
            incarnation=message.incarnation,
            data_centre=DataCentre(message.data_centre),
            cores=message.cores,
            operators=message.operators,
        )
        self._merge_members([entry])
        address = split_address(entry.address)
        known = self._members.get(entry.instance)
        if source == address and known is not None and known.address == entry.address:
            # Only one process has the port that the datagram came from.
            self._set_address(entry.instance, address)
        self._liveness.record_announcement(entry.instance)
        self._on_message(entry.instance)

    def _handle_leave_notice(self, message: LeaveNotice) -> None:
        known = self._members.get(message.instance)
        if known is not None and known.incarnation <= message.incarnation:
            self._departed[message.instance] = message.incarnation
            while len(self._departed) > MAX_DEPARTED_PEERS:
                del self._departed[next(iter(self._departed))]
            self._leaving_names[split_address(known.address)] = message.instance
            while len(self._leaving_names) > MAX_DEPARTED_PEERS:
                del self._leaving_names[next(iter(self._leaving_names))]
            self._remove_member(message.instance)

    def _handle_ping(self, address: tuple[str, int]) -> None:
        message = (
            self._build_leave_notice()
            if self._is_leaving
            else self._build_announcement()
        )
        data = msgspec.msgpack.encode(message)
        self._send_data(data, str(address), address)

    def _apply_directory(self, entries: list[PeerEntry]) -> None:
        """Apply the directory's entries and remove gateways without one."""
        self._is_discovery_complete = True
        listed = {entry.instance for entry in entries}
        for name in [item for item in self._members if item not in listed]:
            # A gateway that was in contact just now may have started after the read.
            if self.get_silence(name) > SECOND_DISCOVERY_SECONDS:
                self._remove_member(name)
        known = set(self._members)
        # A restored directory may hold entries that were withdrawn after the backup.
        self._restored_entries = {
            entry.instance: entry
            for entry in entries
            if entry.incarnation == self._departed.get(entry.instance)
        }
        self._merge_members(entries)
        if set(self._members) - known:
            self._send_announcement()

    def _merge_members(self, entries: list[PeerEntry]) -> None:
        has_new_members = False
        for entry in entries:
            known = self._members.get(entry.instance)
            if entry.instance == self._local_entry.instance:
                continue
            if known is not None and known.incarnation >= entry.incarnation:
                continue
            if entry.incarnation == self._departed.get(entry.instance):
                continue
            self._members[entry.instance] = entry
            self._drop_address(entry.instance)
            address = split_address(entry.address)
            holder = self._members.get(self._names.get(address, ""))
            if holder is None or holder.incarnation < entry.incarnation:
                self._set_address(entry.instance, address)
            self._journal.event("peer-found", peer=entry.instance)
            has_new_members = True
        if has_new_members:
            self._on_members_changed()

    def _remove_member(self, name: str) -> None:
        self._members.pop(name, None)
        self._liveness.forget(name)
        self._drop_address(name)
        self._journal.event("peer-gone", peer=name)
        self._on_members_changed()

    def _set_address(self, name: str, address: _Address) -> None:
        """Record a gateway's address, which no other gateway has any more."""
        self._drop_address(name)
        former = self._names.get(address)
        if former is not None:
            self._drop_address(former)
        self._addresses[name] = address
        self._names[address] = name
        self._leaving_names.pop(address, None)

    def _drop_address(self, name: str) -> None:
        address = self._addresses.pop(name, None)
        if address is not None:
            del self._names[address]
