"""
Tests of odd entries among those of the replicas
================================================

Another writer leaves entries that nest very deeply, hold numbers that are too large or
ports out of range.  They name no replica, and the gateway goes on with the others.
"""

import json
import zlib
from collections.abc import Iterator

import msgspec
import pytest

from damasklead.clock import ManualClock
from damasklead.gateway.calls import UpstreamRecord
from damasklead.gateway.dialect import FeedError, PeerEntry
from damasklead.gateway.directory import UpstreamDirectory
from damasklead.gateway.journal import Journal
from damasklead.gateway.messages import Announcement, Broadcast
from damasklead.gateway.peers import Peers
from damasklead.gateway.snapshot import Snapshot
from damasklead.gateway.store_positions import INITIAL_POSITION
from damasklead.gateway.stream_origins.origins import StreamOrigin
from damasklead.gateway.upstream_http import ConnectionPool, SendError
from damasklead.ids import AttemptId, InstanceId, ServiceName
from damasklead.loop import LoopClock
from damasklead.platform.documents import (
    decode_configuration,
    decode_reported_start,
    decode_upstream,
)
from damasklead.platform.headers import PlatformDialect
from damasklead.platform.store import StoreLink
from damasklead.util import split_address
from tests.gateway_kit import find_free_ports, make_table
from tests.odd_values import (
    ODD_ADDRESSES,
    ODD_DOCUMENTS,
    ODD_IDS,
    replace_fields,
)
from tests.platform_standin import (
    StoreStandin,
    make_configuration,
    make_upstream_entry,
)

ADDRESS = "127.0.0.1:1"


def check_usable(record: UpstreamRecord) -> None:
    """Use a record in all ways in which gateways use one."""
    content = msgspec.msgpack.encode(record)
    assert msgspec.msgpack.decode(content, type=UpstreamRecord) == record
    _, port = split_address(record.address)
    assert 0 < port < 65536
    with pytest.raises(SendError):
        ConnectionPool(clock=LoopClock()).acquire(record.address)
    Journal(instance="g").event("tested", replica=record.instance, record=record)


class TestDecoders:
    def test_an_odd_field_names_no_replica_or_a_usable_one(self) -> None:
        for field, data in replace_fields(make_upstream_entry(ADDRESS)):
            record = decode_upstream("r", data)
            if record is not None:
                check_usable(record)
            if field in ("service", "address", "state"):
                assert record is None or record.address == ADDRESS, data[:80]

    @pytest.mark.parametrize("address", ODD_ADDRESSES, ids=ascii)
    def test_an_odd_address_names_no_replica(self, address: str) -> None:
        entry = make_upstream_entry(address)
        assert decode_upstream("r", json.dumps(entry).encode()) is None

    @pytest.mark.parametrize("instance", ODD_IDS, ids=range(len(ODD_IDS)))
    def test_an_odd_id_names_no_replica(self, instance: str) -> None:
        entry = json.dumps(make_upstream_entry(ADDRESS)).encode()
        assert decode_upstream(instance, entry) is None

    @pytest.mark.parametrize("data", ODD_DOCUMENTS, ids=range(len(ODD_DOCUMENTS)))
    def test_odd_documents_are_refused(self, data: bytes) -> None:
        assert decode_upstream("r", data) is None
        assert decode_reported_start(data) is None
        with pytest.raises(msgspec.DecodeError):
            decode_configuration(data)

    def test_odd_configurations_are_refused_or_usable(self) -> None:
        for _, data in replace_fields(make_configuration(3)):
            try:
                table = decode_configuration(data)
            except msgspec.DecodeError:
                continue
            msgspec.msgpack.encode(table.content)

    def test_odd_reports_tell_no_start(self) -> None:
        for _, data in replace_fields({"born": 5, "phase": "unified"}):
            start = decode_reported_start(data)
            assert start is None or 0 <= start < 2**63


@pytest.fixture
def store() -> Iterator[StoreStandin]:
    store_standin = StoreStandin()
    yield store_standin
    store_standin.stop()


@pytest.fixture
def link(store: StoreStandin) -> Iterator[StoreLink]:
    link = StoreLink(address=store.address, clock=LoopClock())
    yield link
    link.close()


class TestListsAndTables:
    def test_the_other_replicas_are_read_and_followed(
        self, store: StoreStandin, link: StoreLink
    ) -> None:
        directory = UpstreamDirectory(clock=ManualClock())
        odd = [
            data
            for _, data in replace_fields(make_upstream_entry(ADDRESS))
            if decode_upstream("r", data) is None
        ]
        for number, data in enumerate([*odd[::9], *ODD_DOCUMENTS]):
            store.write_bytes("servers", f"odd-{number}", data)
        for key in ODD_IDS:
            store.write_row("servers", key, make_upstream_entry(ADDRESS))
        store.write_row("servers", "r0", make_upstream_entry(ADDRESS))
        changes = link.upstreams.read()
        directory.apply_rows(changes.items, is_complete=True)
        assert [row.instance for row in directory.list_rows()] == ["r0"]
        for number, data in enumerate(ODD_DOCUMENTS):
            store.write_bytes("servers", f"later-{number}", data)
        store.write_row("servers", "r1", make_upstream_entry(ADDRESS))
        changes = link.upstreams.poll_changes(changes.cursor, wait=0.1)
        directory.apply_rows(changes.items, is_complete=False)
        assert {row.instance for row in directory.list_rows()} == {"r0", "r1"}
        msgspec.msgpack.encode(
            Snapshot(
                routing=make_table().content, upstreams=directory.list_rows(), peers=[]
            )
        )

    def test_odd_configurations_leave_the_feed_readable(
        self, store: StoreStandin, link: StoreLink
    ) -> None:
        for data in ODD_DOCUMENTS:
            store.write_bytes("op", "config", data)
            with pytest.raises(FeedError):
                link.routing.read()
        store.write_row("op", "config", make_configuration(3))
        assert link.routing.read().items[0].version == 3

    def test_odd_gateways_are_left_out(
        self, store: StoreStandin, link: StoreLink
    ) -> None:
        link.peers.announce(
            PeerEntry(instance=InstanceId("g1"), address=ADDRESS, incarnation=1)
        )
        content = {
            "address": ADDRESS, "incarnation": 1, "data_centre": "hout", "cores": 1.0,
            "operators": ADDRESS,
        }  # fmt: skip
        for number, (_, data) in enumerate(replace_fields(content)):
            store.write_bytes("damasklead-gateways", f"odd-{number}", data)
        for number, address in enumerate(ODD_ADDRESSES):
            store.write_row(
                "damasklead-gateways", f"a-{number}", content | {"address": address}
            )
        entries = link.peers.read()
        assert "g1" in {entry.instance for entry in entries}
        for entry in entries:
            split_address(entry.address)
            msgspec.msgpack.encode(entry)
            assert not entry.instance.startswith("a-")

    def test_odd_origins_are_left_out(
        self, store: StoreStandin, link: StoreLink
    ) -> None:
        origin = StreamOrigin(
            AttemptId("a"), 1, ServiceName("shop"), "v", InstanceId("r"), 1, 1
        )
        link.origins.write([origin], [])
        (key,) = store.list_keys("damasklead-streams")
        for data in (*ODD_DOCUMENTS, b"\x91" * 100_000 + b"\xc0", b"\xd9\x02\xff\xff"):
            store.write_bytes("damasklead-streams", key, data)
            assert link.origins.read(origin.attempt) is None


ODD_DATAGRAMS = [
    *ODD_DOCUMENTS[:4],
    b"\x91" * 60_000 + b"\xc0",
    b"\x92\x0a\xd9\x02\xff\xff",
    *(
        msgspec.msgpack.encode(Announcement("g1", address, 1, "hout", 1.0))
        for address in ODD_ADDRESSES
    ),
]


class TestDatagrams:
    """Anybody may send a datagram; the receiver goes on."""

    @pytest.fixture
    def peers(self) -> Iterator[Peers]:
        (port,) = find_free_ports(1)
        peers = Peers(
            local_entry=PeerEntry(
                instance=InstanceId("g0"), address=f"127.0.0.1:{port}", incarnation=1
            ),
            directory=lambda: None,
            on_members_changed=lambda: None,
            on_message=lambda _name: None,
            clock=ManualClock(),
            journal=Journal(instance="g0"),
        )
        yield peers

    @pytest.mark.parametrize(
        "data", ODD_DATAGRAMS, ids=map(str, range(len(ODD_DATAGRAMS)))
    )
    def test_an_odd_datagram_changes_nothing(self, peers: Peers, data: bytes) -> None:
        peers.handle_datagram(data, ("127.0.0.1", 9))
        assert peers.members == []

    @pytest.mark.parametrize(
        "routing", [b"x", zlib.compress(b"\x91" * 60_000)], ids=["text", "nested"]
    )
    def test_an_odd_message_is_logged(self, peers: Peers, routing: bytes) -> None:
        def decompress(message: Broadcast, _sender: str) -> None:
            zlib.decompress(message.routing)
            raise IndexError("no such list")

        peers.register_handler(Broadcast, decompress)
        announcement = Announcement("g1", "127.0.0.1:9", 1, "hout", 1.0)
        peers.handle_datagram(msgspec.msgpack.encode(announcement), ("127.0.0.1", 9))
        message = Broadcast(
            "g1", 1, 1, [], INITIAL_POSITION, INITIAL_POSITION, [], routing, [], []
        )
        peers.handle_datagram(msgspec.msgpack.encode(message), ("127.0.0.1", 9))
        assert [entry.instance for entry in peers.members] == ["g1"]


def test_odd_heads_of_responses_are_classified() -> None:
    dialect = PlatformDialect()
    values = [
        b"-1", b"1e400", b"9" * 400, b"nan", b"\xff", b"[" * 1000, b"1,2", b"1,2,3,4",
        b"\xb2", b"timeout=\xb2", b"9" * 5_000, b"a:" + b"9" * 400,
        b"1," + b"9" * 400, b"9" * 400 + b",1,1", b"-1,-1,-1",
    ]  # fmt: skip
    names = (
        b"Retry-After", b"Backend-Load", b"Server-Limit", b"Keep-Alive", b"Token-Usage",
        b"Prefix-Hash", b"Deadline-Ms", b"Last-Event-Id", b"Resumes",
    )  # fmt: skip
    for name in names:
        for value in values:
            headers = [(b"Attempt-Id", b"a"), (name, value)]
            reply = dialect.classify_response(
                status=503, headers=headers, attempt=AttemptId("a")
            )
            msgspec.msgpack.encode(reply.load)
            head = dialect.decode_head(method="POST", target="/x/", headers=headers)
            msgspec.msgpack.encode(head)
