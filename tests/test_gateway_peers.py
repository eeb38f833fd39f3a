"""
Tests of peer discovery
=======================

Gateways that exchange datagrams on the loopback interface, with a directory in memory.
"""

from collections.abc import Iterator

import gevent
import msgspec
import pytest

from damasklead.clock import ManualClock
from damasklead.gateway import peers as peers_module
from damasklead.gateway.coordination.messages import AssignmentRequest
from damasklead.gateway.dialect import FeedError, FeedFault, PeerDirectory, PeerEntry
from damasklead.gateway.duties.messages import UsageCounts
from damasklead.gateway.journal import Journal
from damasklead.gateway.message_batch import (
    MAX_BATCH_MESSAGES,
    MAX_BATCH_REQUESTS,
    MessageBatch,
)
from damasklead.gateway.messages import Announcement, PeerReport, Ping
from damasklead.gateway.peer_liveness import (
    PING_TIMEOUT_SECONDS,
    REMOVAL_TIMEOUT_SECONDS,
)
from damasklead.gateway.peers import Peers
from damasklead.ids import DataCentre, InstanceId
from damasklead.turns import PIECES_PER_TURN
from damasklead.util import split_address
from tests.floods import DatagramFlood, LoopWatch
from tests.gateway_kit import find_free_ports, make_position, wait_until

REPORT = PeerReport(sender="b", crashes=[], departures=[])
OTHER = PeerEntry(instance=InstanceId("b"), address="127.0.0.1:9", incarnation=1)


class MemoryDirectory(PeerDirectory):
    """Entries in memory; ``is_down`` makes all calls fail."""

    def __init__(self) -> None:
        self.entries: dict[str, PeerEntry] = {}
        self.is_down = False

    def announce(self, entry: PeerEntry) -> None:
        self._check_available()
        self.entries[entry.instance] = entry

    def withdraw(self, entry: PeerEntry) -> None:
        self._check_available()
        self.entries.pop(entry.instance, None)

    def read(self) -> list[PeerEntry]:
        self._check_available()
        return list(self.entries.values())

    def _check_available(self) -> None:
        if self.is_down:
            raise FeedError(FeedFault.UNREACHABLE, "away")


def make_peers(name: InstanceId) -> Peers:
    """Return the peers of a gateway that has not begun to listen."""
    return Peers(
        local_entry=PeerEntry(
            instance=name, address="127.0.0.1:8", incarnation=1, cores=1.0
        ),
        directory=MemoryDirectory,
        on_members_changed=lambda: None,
        on_message=lambda _other: None,
        clock=ManualClock(start=10.0),
        journal=Journal(instance=name),
    )


class PeerGroup:
    """Gateways that discover each other by the directory or by announcements."""

    def __init__(self) -> None:
        self.clock = ManualClock(start=10.0)
        self.directory = MemoryDirectory()
        self.ports = iter(find_free_ports(6))
        self.peers: dict[str, Peers] = {}
        self.contacts: list[tuple[str, str]] = []
        self._tasks: list[gevent.Greenlet] = []

    def start(self, name: str, *, incarnation: int = 1, discover: bool = True) -> Peers:
        peers = Peers(
            local_entry=PeerEntry(
                instance=InstanceId(name),
                address=f"127.0.0.1:{next(self.ports)}",
                incarnation=incarnation,
                data_centre=DataCentre("hout"),
            ),
            directory=lambda: self.directory,
            on_members_changed=lambda: None,
            on_message=lambda other: self.contacts.append((name, other)),
            clock=self.clock,
            journal=Journal(instance=name),
        )
        peers.listen()
        self.peers[name] = peers
        self._tasks.append(gevent.spawn(peers.run_receiver))
        if discover:
            self._tasks.append(gevent.spawn(peers.run_discovery))
        return peers

    def member_names(self, name: str) -> set[str]:
        return {entry.instance for entry in self.peers[name].members}

    def stop(self) -> None:
        gevent.killall(self._tasks)
        for peers in self.peers.values():
            peers.close()


@pytest.fixture
def group() -> Iterator[PeerGroup]:
    peer_group = PeerGroup()
    yield peer_group
    peer_group.directory.is_down = False
    peer_group.stop()


def test_assignment_requests_come_last_and_the_oldest_are_dropped() -> None:
    batch: MessageBatch[int] = MessageBatch()
    for number in range(MAX_BATCH_MESSAGES):
        batch.add(AssignmentRequest if number % 2 else PeerReport, number)
    assert batch.is_full
    selected = batch.select_messages()
    others = [number for number in range(MAX_BATCH_MESSAGES) if number % 2 == 0]
    assert selected[: len(others)] == others
    assert (
        selected[len(others) :]
        == list(range(1, MAX_BATCH_MESSAGES, 2))[-MAX_BATCH_REQUESTS:]
    )
    assert batch.dropped_count == MAX_BATCH_MESSAGES // 2 - MAX_BATCH_REQUESTS


def test_a_gateway_that_starts_announces_itself_to_listed_gateways(
    group: PeerGroup,
) -> None:
    first = group.start("g1")
    wait_until(lambda: "g1" in group.directory.entries)
    assert first.is_discovery_complete
    group.start("g2")
    # The first one reads the directory again only much later.
    wait_until(
        lambda: (
            group.member_names("g1") == {"g2"} and group.member_names("g2") == {"g1"}
        )
    )
    assert first.members[0].data_centre == "hout"


def test_a_restarted_gateway_is_found_at_its_new_address(group: PeerGroup) -> None:
    group.start("g1")
    wait_until(lambda: "g1" in group.directory.entries)
    group.start("g2", incarnation=1)
    wait_until(lambda: group.member_names("g1") == {"g2"})
    restarted = group.start("g2", incarnation=2)
    address = restarted.entries[0].address
    wait_until(lambda: group.peers["g1"].members[0].address == address)


def test_a_gateway_that_stops_is_removed_at_once(group: PeerGroup) -> None:
    group.start("g1")
    wait_until(lambda: "g1" in group.directory.entries)
    second = group.start("g2")
    wait_until(lambda: group.member_names("g1") == {"g2"})
    second.send_leave_notice()
    wait_until(lambda: group.member_names("g1") == set())
    group.peers["g1"].ping("g2")
    gevent.sleep(0.05)
    assert group.member_names("g1") == set()


@pytest.mark.parametrize("repetition", ["ping", "close"])
def test_a_lost_leave_notice_is_not_repeated(
    group: PeerGroup, monkeypatch: pytest.MonkeyPatch, repetition: str
) -> None:
    """Others sent to a gateway that had stopped until they read the directory."""
    first, second = group.start("g1"), group.start("g2")
    wait_until(lambda: len(first.members) == 1 and len(second.members) == 1)
    group.directory.is_down = True
    with monkeypatch.context() as patch:
        patch.setattr(second, "send_all", lambda _message: None)
        second.send_leave_notice()
    assert first.members
    if repetition == "ping":
        first.ping("g2")
    else:
        second.close()
    wait_until(lambda: not first.members)


def test_messages_of_duties_are_accepted_after_a_leave_notice(group: PeerGroup) -> None:
    """Guards against counts that a stopping gateway sends while its requests end."""
    first, second = group.start("a"), group.start("b")
    wait_until(lambda: len(first.members) == 1 and len(second.members) == 1)
    counts: list[tuple[UsageCounts, str]] = []
    reports: list[PeerReport] = []
    first.register_handler(
        UsageCounts,
        lambda message, name: counts.append((message, name)),
        accepts_leaving=True,
    )
    first.register_handler(PeerReport, lambda message, _name: reports.append(message))
    second.send_leave_notice()
    wait_until(lambda: not first.members)
    message = UsageCounts(1, 5.0, [])
    second.send("a", REPORT)
    second.send("a", message)
    wait_until(lambda: bool(counts))
    assert counts == [(message, "b")] and reports == []
    assert not first.members


def test_messages_reach_their_handler_with_their_senders_name(group: PeerGroup) -> None:
    group.start("g1")
    wait_until(lambda: "g1" in group.directory.entries)
    second = group.start("g2")
    wait_until(
        lambda: (
            group.member_names("g2") == {"g1"} and group.member_names("g1") == {"g2"}
        )
    )
    received: list[tuple[object, str]] = []
    group.peers["g1"].register_handler(
        PeerReport, lambda message, sender: received.append((message, sender))
    )
    second.send("g1", PeerReport("g2", [], []))
    second.send("nobody", PeerReport("g2", [], []))
    wait_until(lambda: bool(received))
    assert received == [(PeerReport("g2", [], []), "g2")]
    assert ("g1", "g2") in group.contacts


def test_an_unknown_sender_is_pinged_for_its_announcement(group: PeerGroup) -> None:
    group.start("g1", discover=False)
    second = group.start("g2", discover=False)
    second._merge_members(group.peers["g1"].entries)
    second.send("g1", PeerReport("g2", [], []))
    wait_until(lambda: group.member_names("g1") == {"g2"})


def test_a_snapshot_completes_discovery_while_the_store_is_down(
    group: PeerGroup,
) -> None:
    group.directory.is_down = True
    first = group.start("g1")
    second = group.start("g2")
    assert not second.is_discovery_complete
    second.apply_snapshot(first.entries, is_complete=False)
    assert not second.is_discovery_complete
    second.apply_snapshot(first.entries, is_complete=True)
    assert second.is_discovery_complete
    second.apply_snapshot(first.entries, is_complete=False)
    assert second.is_discovery_complete
    wait_until(lambda: group.member_names("g1") == {"g2"})


def test_silent_gateways_are_pinged_and_unreachable_ones_removed(
    group: PeerGroup,
) -> None:
    group.start("g1")
    wait_until(lambda: "g1" in group.directory.entries)
    group.start("g2")
    wait_until(lambda: group.member_names("g1") == {"g2"})
    unreachable = PeerEntry(
        instance=InstanceId("g9"),
        address="127.0.0.1:9",
        incarnation=1,
        position=make_position(1),
    )
    group.directory.entries["g9"] = unreachable
    group.peers["g1"]._merge_members([unreachable])
    first = group.peers["g1"]
    first.check_liveness()
    for _ in range(8):
        group.clock.advance(REMOVAL_TIMEOUT_SECONDS / 6)
        first.check_liveness()
        gevent.sleep(0.05)
    assert group.member_names("g1") == {"g2"}
    assert "g9" not in group.directory.entries
    assert PING_TIMEOUT_SECONDS < REMOVAL_TIMEOUT_SECONDS / 3


def test_a_withdrawal_that_a_restored_directory_lost_is_repeated(
    group: PeerGroup, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(peers_module, "SECOND_DISCOVERY_SECONDS", 0.2)
    first = group.start("g1")
    second = group.start("g2")
    wait_until(
        lambda: (
            group.member_names("g1") == {"g2"} and group.member_names("g2") == {"g1"}
        )
    )
    backup = dict(group.directory.entries)
    second.send_leave_notice()
    wait_until(lambda: group.member_names("g1") == set())
    group.directory.entries = backup
    first.handle_restore()
    wait_until(lambda: bool(first._restored_entries))
    assert group.member_names("g1") == set()
    first.check_liveness()
    assert "g2" not in group.directory.entries


def test_a_gateway_that_restarts_after_its_leave_notice_is_found(
    group: PeerGroup,
) -> None:
    """Even if its clock went back, so that its incarnation is lower than before."""
    group.start("g1")
    second = group.start("g2", incarnation=9)
    wait_until(lambda: group.member_names("g1") == {"g2"})
    second.send_leave_notice()
    wait_until(lambda: group.member_names("g1") == set())
    group.start("g2", incarnation=8)
    wait_until(lambda: group.member_names("g1") == {"g2"})


def test_an_entry_that_a_restored_directory_lost_is_written_again(
    group: PeerGroup, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(peers_module, "RESTORE_JITTER_SECONDS_PER_GATEWAY", 0.05)
    peers = group.start("g1")
    wait_until(lambda: "g1" in group.directory.entries)
    gevent.sleep(0.05)
    group.directory.entries.clear()
    peers.handle_restore()
    wait_until(lambda: "g1" in group.directory.entries)


@pytest.mark.parametrize("change", ["ended", "moved"])
def test_a_gateway_at_the_former_address_of_another_one_is_heard(change: str) -> None:
    """Guards against messages that are dropped, or taken for those of the former."""
    peers = make_peers(InstanceId("a"))
    received: list[tuple[PeerReport, str]] = []
    peers.register_handler(
        PeerReport, lambda message, sender: received.append((message, sender))
    )
    address = split_address(OTHER.address)
    peers.apply_snapshot([OTHER], is_complete=True)
    successor = PeerEntry(
        instance=InstanceId("c"), address=OTHER.address, incarnation=2
    )
    if change == "ended":
        peers.apply_snapshot([successor], is_complete=True)
        peers._apply_directory([successor])
    else:
        moved = msgspec.structs.replace(OTHER, address="127.0.0.1:7", incarnation=2)
        peers.apply_snapshot([moved], is_complete=True)
        # The announcement of the gateway that has the address now was lost.
        peers.handle_datagram(msgspec.msgpack.encode(REPORT), address)
        assert received == []
        peers.apply_snapshot([successor], is_complete=True)
    peers.handle_datagram(msgspec.msgpack.encode(REPORT), address)
    assert received == [(REPORT, "c")]


@pytest.mark.parametrize("is_announced", [False, True])
def test_only_its_own_datagram_gives_an_earlier_start_an_address(
    is_announced: bool,
) -> None:
    """A directory may still list a gateway whose address another one has now."""
    peers = make_peers(InstanceId("a"))
    senders: list[str] = []
    peers.register_handler(PeerReport, lambda _message, name: senders.append(name))
    address = split_address(OTHER.address)
    holder = PeerEntry(instance=InstanceId("c"), address=OTHER.address, incarnation=2)
    peers.apply_snapshot([holder], is_complete=True)
    peers.apply_snapshot([OTHER], is_complete=True)
    if is_announced:
        announcement = Announcement("b", OTHER.address, OTHER.incarnation, "", 1.0)
        peers.handle_datagram(msgspec.msgpack.encode(announcement), address)
    peers.handle_datagram(msgspec.msgpack.encode(REPORT), address)
    assert senders == ["b" if is_announced else "c"]


@pytest.mark.parametrize(
    "data",
    [b"", b"odd", msgspec.msgpack.encode(Ping()), msgspec.msgpack.encode(REPORT)],
    ids=["empty", "odd", "pings", "reports"],
)
def test_datagrams_without_end_do_not_stop_the_event_loop(data: bytes) -> None:
    handled: list[PeerReport] = []
    peers = make_peers(InstanceId("a"))
    peers.apply_snapshot([OTHER], is_complete=True)
    peers.register_handler(PeerReport, lambda report, _sender: handled.append(report))
    flood = DatagramFlood(data=data, sender=split_address(OTHER.address), count=3_000)
    peers._socket = flood
    with (
        LoopWatch(lambda: flood.receive_count + len(handled)) as watch,
        pytest.raises(EOFError),
    ):
        peers.run_receiver()
    assert watch.largest_step <= 2 * PIECES_PER_TURN
