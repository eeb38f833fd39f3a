"""
Tests of the table of stream origins
====================================
"""

from collections.abc import Iterator

import msgspec
import pytest

from damasklead.gateway.dialect import FeedError, FeedFault
from damasklead.gateway.stream_origins.origins import StreamOrigin
from damasklead.ids import (
    AttemptId,
    Incarnation,
    InstanceId,
    ServiceName,
    SoftwareVersion,
)
from damasklead.loop import LoopClock
from damasklead.platform.store import StoreLink
from tests.platform_standin import StoreStandin


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


class TestOriginTable:
    def make_origins(self, count: int) -> list[StreamOrigin]:
        return [
            StreamOrigin(
                attempt=AttemptId(f"a{number}"),
                request_key=number,
                service=ServiceName("shop"),
                version=SoftwareVersion(f"v{number % 2}"),
                instance=InstanceId("r"),
                incarnation=Incarnation(5),
                began_ms=7,
            )
            for number in range(count)
        ]

    def test_origins_are_read_as_they_were_written(self, link: StoreLink) -> None:
        origins = self.make_origins(60)
        link.origins.write(origins, [])
        for origin in origins:
            assert link.origins.read(origin.attempt) == origin
        assert link.origins.read(AttemptId("other")) is None
        assert all(origin in origins for origin in link.origins.sample())

    def test_removed_origins_are_gone(self, link: StoreLink) -> None:
        origins = self.make_origins(3)
        link.origins.write(origins, [])
        link.origins.write(origins[:1], [origins[0].attempt, origins[1].attempt])
        found = [link.origins.read(origin.attempt) for origin in origins]
        assert found == [origins[0], None, origins[2]]

    def test_odd_attempt_ids_are_found(self, link: StoreLink) -> None:
        for text in ("\xff\x00", "a b&c=d", "x" * 500):
            (origin,) = self.make_origins(1)
            origin = msgspec.structs.replace(origin, attempt=AttemptId(text))
            link.origins.write([origin], [])
            assert link.origins.read(AttemptId(text)) == origin

    def test_odd_rows_are_no_origins(
        self, store: StoreStandin, link: StoreLink
    ) -> None:
        (origin,) = self.make_origins(1)
        link.origins.write([origin], [])
        (key,) = store.list_keys("damasklead-streams")
        store.write_row("damasklead-streams", key, {"attempt": "a0"})
        assert link.origins.read(origin.attempt) is None
        assert link.origins.sample() == []

    def test_a_store_that_is_away_is_reported(
        self, store: StoreStandin, link: StoreLink
    ) -> None:
        store.is_unavailable = True
        with pytest.raises(FeedError) as caught:
            link.origins.read(AttemptId("a"))
        assert caught.value.fault is FeedFault.REFUSED
