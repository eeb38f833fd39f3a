"""
Tests of odd records among those of the instances
=================================================

Another writer leaves records and rows that nest very deeply, or hold numbers or ports out
of range.  An entry goes on with the others.
"""

import json
from collections.abc import Iterator

import msgspec
import pytest

from damasklead.clock import ManualClock
from damasklead.demo.local import make_local_record
from damasklead.drains import DRAINS_TABLE
from damasklead.ids import InstanceId
from damasklead.manifest import CONFIGURATION_TABLE
from damasklead.membership import Membership
from damasklead.messages import PeerMessage, decode_message
from damasklead.quarantine_rows import QUARANTINE_TABLE
from damasklead.standins import EngineStandin
from damasklead.stores.base import Commit, InstanceRecord, Put
from damasklead.stores.listings import decode_listing
from tests.gateway_kit import wait_until
from tests.odd_values import (
    NESTED_LIST,
    ODD_ADDRESSES,
    ODD_DOCUMENTS,
    ODD_IDS,
    replace_fields,
)
from tests.test_daemon import EntryHarness

RECORD = {
    "instance": "odd", "incarnation": 1, "service": "s", "address": "127.0.0.1:1",
    "data_centre": "hout", "region": "r", "state": "live",
}  # fmt: skip
SOUND = json.dumps(RECORD | {"instance": "sound"}).encode()


def merge(*records: InstanceRecord) -> list[str]:
    """Return the instances that an entry sends to its peers after reading a list."""
    membership = Membership(clock=ManualClock())
    membership.merge_list(records)
    content = msgspec.msgpack.encode(membership.build_records())
    decoded = msgspec.msgpack.decode(content, type=tuple[InstanceRecord, ...])
    return [record.instance for record in decoded]


class TestListings:
    @pytest.mark.parametrize("field", [*RECORD, "unknown"])
    def test_the_other_records_hold(self, field: str) -> None:
        for name, data in replace_fields(RECORD):
            if name != field:
                continue
            for items in ([data, SOUND], [SOUND, data], [SOUND, data, data]):
                listing = b'{"version":"7","records":[' + b",".join(items) + b"]}"
                decoded = decode_listing(listing)
                assert decoded.version == "7" and decoded.records is not None
                assert "sound" in merge(*decoded.records)

    def test_nested_records_at_any_place(self) -> None:
        nested = b'{"a":"]}\\"[",' + b'"b":' + NESTED_LIST + b"}"
        for items in ([nested], [nested, SOUND], [SOUND, nested], []):
            listing = b'{"version":"7", "records" : [' + b" , ".join(items) + b"] }"
            records = decode_listing(listing).records or ()
            assert merge(*records) == ["sound"] * (SOUND in items)

    @pytest.mark.parametrize("content", ODD_DOCUMENTS, ids=range(len(ODD_DOCUMENTS)))
    def test_odd_responses_are_refused(self, content: bytes) -> None:
        with pytest.raises(msgspec.DecodeError):
            decode_listing(content)

    @pytest.mark.parametrize("address", ODD_ADDRESSES, ids=ascii)
    def test_odd_addresses_name_no_instance(self, address: str) -> None:
        record = msgspec.convert(RECORD | {"address": address}, InstanceRecord)
        assert merge(record) == []

    @pytest.mark.parametrize("instance", ODD_IDS, ids=range(len(ODD_IDS)))
    def test_odd_ids_name_no_instance(self, instance: str) -> None:
        record = msgspec.convert(RECORD | {"instance": instance}, InstanceRecord)
        assert merge(record) == []

    @pytest.mark.parametrize("incarnation", [-1, 2**63, 10**30])
    def test_odd_incarnations_name_no_instance(self, incarnation: int) -> None:
        record = msgspec.convert(RECORD | {"incarnation": incarnation}, InstanceRecord)
        assert merge(record) == []


def test_odd_messages_are_refused() -> None:
    for content in (
        *ODD_DOCUMENTS,
        b"\x91" * 100_000,
        b"\x86\xa6sender\xd9\x02\xff\xff",
    ):
        with pytest.raises(msgspec.DecodeError):
            decode_message(content)
    assert PeerMessage.__name__


class TestEntry:
    @pytest.fixture
    def harness(self) -> Iterator[EntryHarness]:
        harness = EntryHarness()
        yield harness
        harness.stop()

    def test_it_follows_the_list_and_the_tables(self, harness: EntryHarness) -> None:
        harness.start()
        entry = harness.service.entry
        writes = [
            Put(table=table, key=f"odd-{number}", value=data)
            for table in (DRAINS_TABLE, QUARANTINE_TABLE, CONFIGURATION_TABLE)
            for number, data in enumerate(ODD_DOCUMENTS)
        ]
        for write in writes:
            harness.platform.tables.commit(Commit(conditions=(), writes=(write,)))
        for number, address in enumerate(ODD_ADDRESSES):
            record = msgspec.convert(
                RECORD | {"instance": f"odd-{number}", "address": address},
                InstanceRecord,
            )
            harness.platform.instances.register_instance(record)
        late = EngineStandin(
            record=make_local_record("late", "demo-llm"), platform=harness.platform
        )
        late.start()
        try:
            wait_until(
                lambda: entry.membership.get_member(InstanceId("late")) is not None,
                seconds=10,
            )
            assert entry.membership.get_member(InstanceId("odd-3")) is None
        finally:
            late.stop()
