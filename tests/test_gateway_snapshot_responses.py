"""
Tests of the responses to gateways that fetch a snapshot
========================================================
"""

import zlib
from collections import Counter

import msgspec
import pytest

from damasklead.clock import ManualClock
from damasklead.gateway import snapshot as snapshot_module
from damasklead.gateway.poll_schedule import ListReport
from damasklead.gateway.snapshot import (
    MAX_HOLDERS,
    KnownState,
    Referral,
    Snapshot,
    SnapshotError,
    _decode,
    parse_referral,
)
from damasklead.gateway.snapshot_responses import (
    CACHE_SECONDS,
    DEFAULT_LINK_MEGABITS,
    LINK_SHARE,
    MAX_DEBT_SECONDS,
    SnapshotResponder,
    SnapshotResponse,
)
from damasklead.gateway.store_positions import INITIAL_POSITION, Position
from tests.gateway_kit import make_position, make_table
from tests.test_gateway_broadcasts import make_long_routes
from tests.test_gateway_decisions import make_row

COMPRESSED = (b"accept-encoding", b"deflate")
BYTES_PER_MEGABIT = 125_000
LINK_MEGABITS = 5.0
# A link that no test fills.
FAST_LINK_MEGABITS = 1e9
TICK_SECONDS = 1e-6


def know(configuration: bytes, replicas: bytes | None = None) -> list:
    headers = [COMPRESSED, (b"known-configuration", configuration)]
    if replicas is not None:
        headers.append((b"known-replicas", replicas))
    return headers


class Holder:
    """
    A gateway that has version 5 and one replica.

    Attributes
    ----------
    known_states : list
        What each gateway for which a snapshot was built knew.
    """

    def __init__(self, *, link_megabits: float | None = FAST_LINK_MEGABITS) -> None:
        self.clock = ManualClock(start=10.0)
        self.version = 5
        self.cursor = make_position(9)
        self.is_configured = True
        self.known_states: list[KnownState | None] = []
        self._routes = make_long_routes()
        self.responder = SnapshotResponder(
            build_snapshot=self._build,
            clock=self.clock,
            link_megabits=link_megabits,
        )

    def respond(self, headers: list) -> SnapshotResponse:
        # The budget allows one transfer at a time, however fast the link is.
        self.clock.advance(TICK_SECONDS)
        return self.responder.respond(headers)

    def fetch(self, headers: list) -> Snapshot:
        response = self.respond(headers)
        assert response.status == 200
        is_compressed = (b"Content-Encoding", b"deflate") in response.headers
        return _decode(response.body, is_compressed=is_compressed)

    def _build(self, known: KnownState | None) -> Snapshot | None:
        self.known_states.append(known)
        if not self.is_configured:
            return None
        has_routing = known is None or known.configuration < self.version
        has_rows = (
            known is None or known.replicas is None or known.replicas < self.cursor
        )
        table = make_table(version=self.version, routes=self._routes)
        return Snapshot(
            routing=table.content if has_routing else None,
            upstreams=[make_row("r1", 9)] if has_rows else [],
            peers=[],
            cursor=self.cursor if has_rows else INITIAL_POSITION,
            lists=[ListReport(Position(version=self.version), 0)],
        )


def test_a_gateway_that_lacks_nothing_is_sent_everything() -> None:
    holder = Holder()
    response = holder.respond(know(b"5", b"0.9"))
    assert len(response.body) < 200
    snapshot = holder.fetch(know(b"5", b"0.9"))
    assert snapshot.routing is None and not snapshot.upstreams
    assert snapshot.cursor == INITIAL_POSITION
    assert holder.known_states[-1] == KnownState(
        configuration=5, replicas=make_position(9)
    )


def test_a_gateway_of_an_earlier_build_is_sent_what_it_cannot_read() -> None:
    holder = Holder()
    for headers in ([], [(b"Host", b"127.0.0.1:1")], [(b"accept-encoding", b"gzip")]):
        response = holder.respond(headers)
        assert response.status == 200
        assert all(name != b"Content-Encoding" for name, _ in response.headers)
        snapshot = msgspec.msgpack.decode(response.body, type=Snapshot)
        assert snapshot.routing is not None and snapshot.routing.version == 5
        assert holder.known_states[-1] is None


@pytest.mark.parametrize("names", [str.lower, str.upper, str.title])
def test_headers_in_another_case_are_not_understood(names: object) -> None:
    holder = Holder()
    headers = [(names(name.decode()).encode(), value) for name, value in know(b"4")]  # type: ignore[operator]
    assert (b"Content-Encoding", b"deflate") in holder.respond(headers).headers
    assert holder.known_states[-1] == KnownState(configuration=4)


ODD_NUMBERS = [
    b"", b" ", b"-1", b"+5", b"5.0", b"1e3", b"0x5", b"5_0", b"\xff", b"\xb2",
    b"5, 5", b"9" * 19, b"9" * 100_000, b"nan", b"\x00", b"five",
    "\u0665".encode(),
]  # fmt: skip


@pytest.mark.parametrize("number", ODD_NUMBERS, ids=range(len(ODD_NUMBERS)))
def test_an_odd_version_breaks_the_response_or_hides_something(number: bytes) -> None:
    holder = Holder()
    snapshot = holder.fetch(know(number, b"0.9"))
    assert snapshot.routing is not None and snapshot.upstreams
    assert holder.known_states == [None]


ODD_POSITIONS = [
    *(number for number in ODD_NUMBERS if b"." not in number),
    *(b"0." + number for number in ODD_NUMBERS),
    *(number + b".9" for number in ODD_NUMBERS),
    b"0.9.1", b".", b"0,9", b"0.9 ",
]  # fmt: skip


@pytest.mark.parametrize("position", ODD_POSITIONS, ids=range(len(ODD_POSITIONS)))
def test_an_odd_position_breaks_the_response_or_hides_replicas(position: bytes) -> None:
    holder = Holder()
    assert holder.fetch(know(b"5", position)).upstreams
    assert holder.known_states == [KnownState(configuration=5)]


def test_a_position_of_another_era_hides_or_repeats_replicas() -> None:
    holder = Holder()
    holder.cursor = make_position(3, era=2)
    assert holder.fetch(know(b"5", b"1.900")).upstreams
    assert not holder.fetch(know(b"5", b"2.3")).upstreams
    assert not holder.fetch(know(b"5", b"3.0")).upstreams


def test_a_gateway_without_a_configuration_sends_an_empty_snapshot() -> None:
    holder = Holder()
    holder.is_configured = False
    for headers in ([], know(b"5", b"0.9"), know(b"0")):
        assert holder.respond(headers).status == 503


def test_many_fetches_fill_a_slow_link() -> None:
    """Bytes stay within the share of the link over any second after the first."""
    holder = Holder(link_megabits=LINK_MEGABITS)
    sent = 0
    longest = 0
    for _ in range(400):
        response = holder.respond(know(b"4", b"0.9"))
        sent += len(response.body) if response.status == 200 else 0
        longest = max(longest, len(response.body))
        holder.clock.advance(0.05)
    allowed = 20.0 * LINK_SHARE * LINK_MEGABITS * BYTES_PER_MEGABIT
    debt = MAX_DEBT_SECONDS * LINK_SHARE * LINK_MEGABITS * BYTES_PER_MEGABIT
    assert 0.9 * allowed <= sent <= allowed + debt + longest


def test_an_unknown_link_limits_nothing() -> None:
    holder = Holder(link_megabits=None)
    statuses = [holder.respond(know(b"4")).status for _ in range(1_000)]
    assert statuses[0] == 200 and 503 in statuses
    size = len(holder.respond([COMPRESSED]).body)
    limit = LINK_SHARE * DEFAULT_LINK_MEGABITS * BYTES_PER_MEGABIT
    holder.clock.advance(1_000 * size / limit)
    assert holder.respond(know(b"4")).status == 200


def test_a_start_is_delayed_by_gateways_that_catch_up() -> None:
    holder = Holder(link_megabits=LINK_MEGABITS)
    while holder.respond(know(b"4")).status == 200:
        pass
    assert holder.fetch([]).routing is not None
    assert holder.fetch([COMPRESSED]).routing is not None


def test_a_start_uses_up_what_gateways_that_catch_up_may_take() -> None:
    holder = Holder(link_megabits=LINK_MEGABITS)
    for _ in range(50):
        holder.fetch([])
    assert holder.respond(know(b"4")).status == 200


def test_a_kept_snapshot_is_sent_after_a_newer_version_or_replica() -> None:
    holder = Holder()
    assert holder.fetch(know(b"4", b"0.8")).routing.version == 5  # type: ignore[union-attr]
    holder.version = 6
    assert holder.fetch(know(b"4", b"0.8")).routing.version == 6  # type: ignore[union-attr]
    holder.cursor = make_position(10)
    assert holder.fetch(know(b"4", b"0.8")).cursor == make_position(10)


def test_a_kept_snapshot_is_sent_to_a_gateway_that_lacks_something_else() -> None:
    holder = Holder()
    for configuration in (b"0", b"4", b"5"):
        for replicas in (b"0.0", b"0.8", b"0.9", None):
            snapshot = holder.fetch(know(configuration, replicas))
            assert (snapshot.routing is None) == (configuration == b"5")
            assert bool(snapshot.upstreams) == (replicas != b"0.9")


def test_a_kept_snapshot_is_sent_for_longer_than_a_moment() -> None:
    """Otherwise limits and causes of crashes in it would be old."""
    holder = Holder()
    first = holder.respond(know(b"4")).body
    assert holder.respond(know(b"4")).body is first
    holder.clock.advance(CACHE_SECONDS)
    assert holder.respond(know(b"4")).body is not first


def test_a_compressed_snapshot_can_expand_without_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(snapshot_module, "MAX_SNAPSHOT_BYTES", 10_000)
    with pytest.raises(SnapshotError):
        _decode(zlib.compress(bytes(1_000_000)), is_compressed=True)


def test_odd_bodies_crash_the_gateway_that_fetches() -> None:
    holder = Holder()
    body = holder.respond([]).body
    compressed = holder.respond([COMPRESSED]).body
    bodies = [
        b"", b"\xc0", b"\x91" * 100_000, b"\xff" * 9, body[:-1], body + b"x",
        b"\x81" * 50_000, msgspec.msgpack.encode({"routing": None}),
        msgspec.msgpack.encode({"routing": 1, "upstreams": [], "peers": []}),
    ]  # fmt: skip
    for odd in bodies:
        with pytest.raises(SnapshotError):
            _decode(odd, is_compressed=False)
        with pytest.raises(SnapshotError):
            _decode(zlib.compress(odd), is_compressed=True)
    for odd in (b"", body, compressed[:-1], compressed[1:], b"x" + compressed):
        with pytest.raises(SnapshotError):
            _decode(odd, is_compressed=True)


class TestReferrals:
    """A busy gateway names others that have fetched its configuration."""

    def ask(self, holder: Holder, name: str, configuration: bytes = b"4") -> Referral:
        headers = [*know(configuration), (b"gateway-instance", name.encode())]
        response = holder.respond(headers)
        if response.status == 200:
            return Referral()
        return parse_referral(response.headers)

    def make_busy(self, holder: Holder) -> list[str]:
        """Let gateways fetch until the link is taken; return their names."""
        names: list[str] = []
        while not holder.responder._budget.is_exhausted:
            names.append(f"g{len(names)}")
            self.ask(holder, names[-1])
        return names

    def wait_for_transfers(self, holder: Holder) -> None:
        """Advance to when the link is still taken, but some transfers have ended."""
        holder.clock.advance(MAX_DEBT_SECONDS / 2)
        self.ask(holder, "late")
        self.make_busy(holder)

    def test_gateways_that_have_fetched_are_named_late(self) -> None:
        """The link carries a snapshot in half of the time that the limit allows."""
        holder = Holder(link_megabits=LINK_MEGABITS)
        names = self.make_busy(holder)
        limit = LINK_SHARE * LINK_MEGABITS * 125_000
        holder.clock.advance(LINK_SHARE * MAX_DEBT_SECONDS)
        while not holder.responder._budget.is_exhausted:
            self.ask(holder, "late")
        size = len(holder.respond([COMPRESSED]).body)
        ended = int(MAX_DEBT_SECONDS * limit / size)
        assert 0 < ended < len(names)
        named: set[str] = set()
        for number in range(len(names)):
            named |= set(self.ask(holder, f"x{number}").holders)
        assert named == set(names[:ended])

    def test_all_wait_for_the_only_gateway_that_had_a_version_first(self) -> None:
        holder = Holder(link_megabits=LINK_MEGABITS)
        names = self.make_busy(holder)
        self.wait_for_transfers(holder)
        referral = self.ask(holder, "other")
        assert referral.configuration == 5 and referral.holders
        assert set(referral.holders) <= {*names, "late"}

    def test_a_gateway_is_named_before_it_has_the_version(self) -> None:
        holder = Holder(link_megabits=0.001)
        self.ask(holder, "g0")
        assert self.ask(holder, "g1") == Referral(configuration=5)

    def test_all_are_referred_to_the_same_gateway(self) -> None:
        holder = Holder(link_megabits=LINK_MEGABITS)
        self.make_busy(holder)
        self.wait_for_transfers(holder)
        named: list[str] = []
        for number in range(20):
            named += self.ask(holder, f"x{number}").holders
        counts = Counter(named)
        assert len(counts) > 1 and max(counts.values()) <= 2 * min(counts.values())

    def test_a_gateway_is_referred_to_itself(self) -> None:
        holder = Holder(link_megabits=LINK_MEGABITS)
        names = self.make_busy(holder)
        self.wait_for_transfers(holder)
        for name in names:
            assert name not in self.ask(holder, name).holders

    def test_a_gateway_is_referred_to_those_with_what_it_has(self) -> None:
        holder = Holder(link_megabits=LINK_MEGABITS)
        self.make_busy(holder)
        self.wait_for_transfers(holder)
        assert self.ask(holder, "other", b"5") == Referral()

    def test_gateways_with_an_older_version_are_named_for_a_newer_one(self) -> None:
        holder = Holder(link_megabits=LINK_MEGABITS)
        names = self.make_busy(holder)
        holder.clock.advance(10.0)
        holder.version = 6
        assert self.ask(holder, "first") == Referral()
        self.make_busy_with(holder, "second")
        referral = self.ask(holder, "other")
        assert not set(referral.holders) & set(names)

    def make_busy_with(self, holder: Holder, name: str) -> None:
        while not holder.responder._budget.is_exhausted:
            self.ask(holder, name)

    @pytest.mark.parametrize("name", ["", " ", "a b", "a\r\nb: c", "x" * 201, "\u20ac"])
    def test_an_odd_name_is_passed_on(self, name: str) -> None:
        holder = Holder(link_megabits=LINK_MEGABITS)
        self.make_busy_with(holder, name)
        holder.clock.advance(MAX_DEBT_SECONDS / 2)
        self.make_busy_with(holder, name)
        assert not self.ask(holder, "other").holders

    def test_odd_referrals_crash_the_gateway_that_fetches(self) -> None:
        for version in ODD_NUMBERS:
            headers = [(b"snapshot-holders", b"g1"), (b"held-configuration", version)]
            assert parse_referral(headers) == Referral()
        for names in (b"", b"\xff\x00", b"x" * 100_000, b"  ", b"\r\n"):
            headers = [(b"snapshot-holders", names), (b"held-configuration", b"7")]
            assert parse_referral(headers) == Referral(configuration=7)
        headers = [(b"snapshot-holders", b"g " * 9_000), (b"held-configuration", b"7")]
        assert len(parse_referral(headers).holders) <= MAX_HOLDERS
        assert parse_referral([]) == Referral()
