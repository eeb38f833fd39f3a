"""
Tests of how gateways find each other
=====================================

Real datagrams on loopback, with a directory in memory.
"""

from collections.abc import Iterator

import gevent
import pytest

from damasklead.clock import ManualClock
from damasklead.gateway import peers as module
from damasklead.gateway.coordination.messages import AssignmentRequest
from damasklead.gateway.dialect import FeedError, FeedFault, PeerDirectory, PeerEntry
from damasklead.gateway.inbox import (
    MAX_BATCH_MESSAGES,
    MAX_BATCH_REQUESTS,
    MessageBatch,
)
from damasklead.gateway.journal import Journal
from damasklead.gateway.messages import PeerReport
from damasklead.gateway.peers import (
    PING_TIMEOUT_SECONDS,
    REMOVAL_TIMEOUT_SECONDS,
    Peers,
)
from damasklead.ids import DataCentre, InstanceId
from tests.gatewaykit import at, free_ports, wait_until


class MemoryDirectory(PeerDirectory):
    """Entries in memory; ``away`` while the store is."""

    def __init__(self) -> None:
        self.entries: dict[str, PeerEntry] = {}
        self.away = False

    def announce(self, entry: PeerEntry) -> None:
        self._check()
        self.entries[entry.instance] = entry

    def withdraw(self, entry: PeerEntry) -> None:
        self._check()
        self.entries.pop(entry.instance, None)

    def read(self) -> list[PeerEntry]:
        self._check()
        return list(self.entries.values())

    def _check(self) -> None:
        if self.away:
            raise FeedError(FeedFault.UNREACHABLE, "away")


class Site:
    """Gateways that know each other through the directory or by a hello."""

    def __init__(self) -> None:
        self.clock = ManualClock(start=10.0)
        self.directory = MemoryDirectory()
        self.ports = iter(free_ports(6))
        self.peers: dict[str, Peers] = {}
        self.heard: list[tuple[str, str]] = []
        self._tasks: list[gevent.Greenlet] = []

    def start(self, name: str, *, incarnation: int = 1, look_up: bool = True) -> Peers:
        peers = Peers(
            local_entry=PeerEntry(
                instance=InstanceId(name),
                address=f"127.0.0.1:{next(self.ports)}",
                incarnation=incarnation,
                data_centre=DataCentre("hout"),
            ),
            directory=lambda: self.directory,
            on_members_changed=lambda: None,
            on_message=lambda other: self.heard.append((name, other)),
            clock=self.clock,
            journal=Journal(instance=name),
        )
        peers.listen()
        self.peers[name] = peers
        self._tasks.append(gevent.spawn(peers.run_receiver))
        if look_up:
            self._tasks.append(gevent.spawn(peers.run_discovery))
        return peers

    def known(self, name: str) -> set[str]:
        return {entry.instance for entry in self.peers[name].members}

    def stop(self) -> None:
        gevent.killall(self._tasks)
        for peers in self.peers.values():
            peers.close()


@pytest.fixture
def site() -> Iterator[Site]:
    made = Site()
    yield made
    made.directory.away = False
    made.stop()


def test_news_goes_before_asks_and_old_asks_are_passed_over() -> None:
    batch: MessageBatch[int] = MessageBatch()
    for number in range(MAX_BATCH_MESSAGES):
        batch.add(AssignmentRequest if number % 2 else PeerReport, number)
    assert batch.is_full
    taken = batch.select_messages()
    news = [number for number in range(MAX_BATCH_MESSAGES) if number % 2 == 0]
    assert taken[: len(news)] == news
    assert (
        taken[len(news) :]
        == list(range(1, MAX_BATCH_MESSAGES, 2))[-MAX_BATCH_REQUESTS:]
    )
    assert batch.dropped_count == MAX_BATCH_MESSAGES // 2 - MAX_BATCH_REQUESTS


def test_who_starts_says_hello_to_those_it_finds(site: Site) -> None:
    first = site.start("g1")
    wait_until(lambda: "g1" in site.directory.entries)
    assert first.is_discovery_complete
    site.start("g2")
    # The first one looks up again only much later.
    wait_until(lambda: site.known("g1") == {"g2"} and site.known("g2") == {"g1"})
    assert first.members[0].data_centre == "hout"


def test_a_gateway_that_starts_again_is_found_at_its_new_address(site: Site) -> None:
    site.start("g1")
    wait_until(lambda: "g1" in site.directory.entries)
    site.start("g2", incarnation=1)
    wait_until(lambda: site.known("g1") == {"g2"})
    again = site.start("g2", incarnation=2)
    address = again.entries[0].address
    wait_until(lambda: site.peers["g1"].members[0].address == address)


def test_a_gateway_that_stops_is_left_out_at_once(site: Site) -> None:
    site.start("g1")
    wait_until(lambda: "g1" in site.directory.entries)
    second = site.start("g2")
    wait_until(lambda: site.known("g1") == {"g2"})
    second.send_leave_notice()
    wait_until(lambda: site.known("g1") == set())
    site.peers["g1"].ping("g2")
    gevent.sleep(0.05)
    assert site.known("g1") == set()


def test_messages_reach_their_handler_with_their_senders_name(site: Site) -> None:
    site.start("g1")
    wait_until(lambda: "g1" in site.directory.entries)
    second = site.start("g2")
    wait_until(lambda: site.known("g2") == {"g1"} and site.known("g1") == {"g2"})
    got: list[tuple[object, str]] = []
    site.peers["g1"].register_handler(
        PeerReport, lambda message, sender: got.append((message, sender))
    )
    second.send("g1", PeerReport("g2", [], []))
    second.send("nobody", PeerReport("g2", [], []))
    wait_until(lambda: bool(got))
    assert got == [(PeerReport("g2", [], []), "g2")]
    assert ("g1", "g2") in site.heard


def test_one_that_is_not_known_is_asked_who_it_is(site: Site) -> None:
    site.start("g1", look_up=False)
    second = site.start("g2", look_up=False)
    second._merge_members(site.peers["g1"].entries)
    second.send("g1", PeerReport("g2", [], []))
    wait_until(lambda: site.known("g1") == {"g2"})


def test_what_another_gateway_knows_is_enough_while_the_store_is_away(
    site: Site,
) -> None:
    site.directory.away = True
    first = site.start("g1")
    second = site.start("g2")
    assert not second.is_discovery_complete
    second.apply_snapshot(first.entries)
    assert second.is_discovery_complete
    wait_until(lambda: site.known("g1") == {"g2"})


def test_the_silent_are_asked_and_the_gone_are_removed(site: Site) -> None:
    site.start("g1")
    wait_until(lambda: "g1" in site.directory.entries)
    site.start("g2")
    wait_until(lambda: site.known("g1") == {"g2"})
    ghost = PeerEntry(
        instance=InstanceId("g9"), address="127.0.0.1:9", incarnation=1, position=at(1)
    )
    site.directory.entries["g9"] = ghost
    site.peers["g1"]._merge_members([ghost])
    first = site.peers["g1"]
    first.check_liveness()
    for _ in range(8):
        site.clock.advance(REMOVAL_TIMEOUT_SECONDS / 6)
        first.check_liveness()
        gevent.sleep(0.05)
    assert site.known("g1") == {"g2"}
    assert "g9" not in site.directory.entries
    assert PING_TIMEOUT_SECONDS < REMOVAL_TIMEOUT_SECONDS / 3


def test_a_withdrawal_that_a_copy_of_the_directory_undid_is_made_again(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module, "SECOND_DISCOVERY_SECONDS", 0.2)
    first = site.start("g1")
    second = site.start("g2")
    wait_until(lambda: site.known("g1") == {"g2"} and site.known("g2") == {"g1"})
    copy = dict(site.directory.entries)
    second.send_leave_notice()
    wait_until(lambda: site.known("g1") == set())
    site.directory.entries = copy
    first.handle_restore()
    wait_until(lambda: bool(first._restored_entries))
    assert site.known("g1") == set()
    first.check_liveness()
    assert "g2" not in site.directory.entries


def test_one_that_starts_again_after_its_goodbye_is_found(site: Site) -> None:
    """Also when its clock went back, so that its incarnation is a lower one."""
    site.start("g1")
    second = site.start("g2", incarnation=9)
    wait_until(lambda: site.known("g1") == {"g2"})
    second.send_leave_notice()
    wait_until(lambda: site.known("g1") == set())
    site.start("g2", incarnation=8)
    wait_until(lambda: site.known("g1") == {"g2"})


def test_an_announcement_that_the_directory_has_forgotten_is_made_again(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module, "RESTORE_JITTER_SECONDS_PER_GATEWAY", 0.05)
    peers = site.start("g1")
    wait_until(lambda: "g1" in site.directory.entries)
    gevent.sleep(0.05)
    site.directory.entries.clear()
    peers.handle_restore()
    wait_until(lambda: "g1" in site.directory.entries)
