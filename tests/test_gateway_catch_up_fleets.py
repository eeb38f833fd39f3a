"""
Tests of fleets that catch up over slow links
=============================================

Simulated gateways on one manual clock, with configurations that no broadcast carries.
Datagrams and snapshots share each sender's link, whose queue is short: datagrams beyond
it are lost, and snapshots take what room there is.
"""

import random
from collections import Counter
from collections.abc import Callable
from enum import Enum
from functools import lru_cache

import msgspec
import pytest

from damasklead.gateway.broadcasts import MIN_UPDATE_INTERVAL_SECONDS
from damasklead.gateway.calls import UpstreamState
from damasklead.gateway.catch_up import CHECK_INTERVAL_SECONDS
from damasklead.gateway.catch_up_schedule import Fetch, FetchOutcome
from damasklead.gateway.departures import Departure
from damasklead.gateway.list_follower import ConfigurationSource
from damasklead.gateway.poll_schedule import (
    LONG_POLL_SECONDS,
    ListReport,
    reader_score,
)
from damasklead.gateway.routing import Route, RouteName, RoutingTable
from damasklead.gateway.snapshot import (
    HEAD_TIMEOUT_SECONDS,
    SNAPSHOT_TIMEOUT_SECONDS,
    KnownState,
    Snapshot,
    _build_headers,
    _decode,
    parse_referral,
)
from damasklead.gateway.snapshot_responses import SnapshotResponder, SnapshotResponse
from damasklead.gateway.store_positions import INITIAL_POSITION
from tests.gateway_kit import make_table
from tests.test_gateway_broadcasts import STEP_SECONDS, Fleet, Gateway

LINK_MEGABITS = 5.0
LINK_BYTES_PER_SECOND = LINK_MEGABITS * 125_000
# Part of the link's queue that snapshots fill; datagrams find room beyond it.
SNAPSHOT_QUEUE_SECONDS = 0.06
DATAGRAM_OVERHEAD_BYTES = 28
# Handshake, heads and acknowledgements of a fetch.
FETCH_OVERHEAD_BYTES = 500
# Time within which a version must be in force at every gateway, by their number.
MAX_PROPAGATION_SECONDS = {72: 2.0, 360: 3.0}
CHANGE_COUNT = 15
VERSIONS_AT_ALL_PHASES = {72: 60, 360: 12}
PHASE_INTERVAL_SECONDS = 3.15
CHANGE_INTERVAL_SECONDS = 0.2
SIZES = [(72, 1_400), (72, 3_000), (360, 1_400)]


@lru_cache(maxsize=64)
def decode_response(body: bytes) -> tuple[Snapshot, RoutingTable | None]:
    snapshot = _decode(body, is_compressed=True)
    routing = snapshot.routing
    return snapshot, None if routing is None else RoutingTable(content=routing)


class Change(Enum):
    """What each version of the configuration changes."""

    ONE_ROUTE = 1
    ALL_ROUTES = 2
    # No route keeps its name, so that no difference is shorter than all of them.
    OTHER_ROUTES = 3


@lru_cache(maxsize=64)
def make_routes(count: int, seed: int) -> list[Route]:
    source = random.Random(seed)
    route = make_table().routes[0]
    return [
        msgspec.structs.replace(
            route,
            name=RouteName(source.randbytes(6).hex()),
            prefix=f"/{source.randbytes(6).hex()}/",
        )
        for _ in range(count)
    ]


class Transfer(msgspec.Struct, kw_only=True):
    """A fetch in progress; ``remaining`` bytes are to be sent."""

    fetch: Fetch
    began_at: float
    response: SnapshotResponse | None
    remaining: float
    is_answered: bool = False


class CatchingUpGateway(Gateway):
    """A gateway that fetches snapshots over its peers' links."""

    fleet: "SlowFleet"

    def __init__(self, fleet: "SlowFleet", name: str) -> None:
        super().__init__(fleet, name)
        self.transfer: Transfer | None = None
        self.responder = SnapshotResponder(
            build_snapshot=self._build_snapshot,
            clock=fleet.clock,
            link_megabits=fleet.link_megabits,
        )
        self._checked_at = 0.0
        self._is_poll_held = [False, False]

    def _build_snapshot(self, known: KnownState | None) -> Snapshot | None:
        assert known is not None
        table = self.configuration.table
        if table is None:
            return None
        cursor = self.upstreams.cursor
        has_newer_rows = known.replicas is None or cursor > known.replicas
        is_newer = table.version > known.configuration
        history = self.configuration.history
        differences = history.get_short_differences(
            known.configuration, accepts_fields=known.accepts_fields
        )
        return Snapshot(
            routing=table.content if is_newer and not differences else None,
            differences=differences,
            upstreams=self.directory.list_rows() if has_newer_rows else [],
            peers=[],
            cursor=cursor if has_newer_rows else INITIAL_POSITION,
            rate_limits=self.rate_limits.known_limits,
            causes=self.containment.causes,
            lists=[plan.confirmed_report for plan in self.plans],
        )

    def notice_change(self) -> None:
        """Let the store end the long polls of this gateway."""
        for index, is_held in enumerate(self._is_poll_held):
            if is_held:
                self._next_poll_at[index] = 0.0

    def step(self, now: float) -> None:
        super().step(now)
        self._is_poll_held = [
            at - now > LONG_POLL_SECONDS - STEP_SECONDS for at in self._next_poll_at
        ]
        due = self.broadcasts._update_due
        if due.is_set() and now - self._updated_at >= MIN_UPDATE_INTERVAL_SECONDS:
            due.clear()
            self._updated_at = now
            self.broadcasts.send_update()

    def fetch_snapshot(self) -> None:
        now = self.fleet.clock.now()
        if self.transfer is not None:
            self._continue_transfer(self.transfer, now)
        elif now - self._checked_at >= CHECK_INTERVAL_SECONDS - STEP_SECONDS / 2:
            self._checked_at = now
            fetch = self.catch_up.next_fetch()
            if fetch is not None:
                self._begin_transfer(fetch, now)

    def _begin_transfer(self, fetch: Fetch, now: float) -> None:
        wants_all = fetch.cause.value == "missed broadcasts"
        known = KnownState(
            configuration=self.version,
            replicas=None if wants_all else self.upstreams.cursor,
            accepts_differences=True,
            accepts_fields=True,
        )
        source = self.fleet.gateways[fetch.peer]
        response = None
        remaining = 0.0
        if not source.is_down:
            response = source.responder.respond(
                _build_headers("127.0.0.1:1", known, self.name)
            )
            remaining = len(response.body) + FETCH_OVERHEAD_BYTES
            self.fleet.record_fetch(self.name, fetch.peer, response)
        self.transfer = Transfer(
            fetch=fetch, began_at=now, response=response, remaining=remaining
        )

    def _continue_transfer(self, transfer: Transfer, now: float) -> None:
        elapsed = now - transfer.began_at
        outcome = None
        if transfer.response is not None and transfer.remaining <= 0:
            outcome = self._apply(transfer.response, elapsed)
        elif elapsed >= (
            SNAPSHOT_TIMEOUT_SECONDS if transfer.is_answered else HEAD_TIMEOUT_SECONDS
        ):
            outcome = FetchOutcome.FAILED
        if outcome is not None:
            self.transfer = None
            self.fleet.outcomes[outcome] += 1
            self.catch_up.record_outcome(transfer.fetch, outcome)

    def _apply(self, response: SnapshotResponse, elapsed: float) -> FetchOutcome:
        if response.status != 200:
            self.catch_up.record_referral(parse_referral(response.headers))
            return FetchOutcome.BUSY
        snapshot, table = decode_response(response.body)
        before = (self.version, self.upstreams.cursor)
        self.rate_limits.apply_reports(snapshot.rate_limits)
        self.containment.record_evidence(snapshot.crashes, elapsed)
        self.containment.adopt_causes(snapshot.causes)
        self.upstreams.apply_snapshot(snapshot.upstreams, snapshot.cursor)
        self.apply_departures(
            [
                Departure(row.instance, row.record.incarnation)
                for row in snapshot.upstreams
                if row.record is not None and row.record.state is UpstreamState.LEAVING
            ]
        )
        if table is not None:
            self.configuration.apply_peer_configuration(
                table, source=ConfigurationSource.SNAPSHOT
            )
        assert self.configuration.apply_peer_differences(
            snapshot.differences, source=ConfigurationSource.SNAPSHOT
        )
        self.reports.record_reports(
            ListReport(
                report.last_change,
                -1 if report.age_ms < 0 else report.age_ms + int(elapsed * 1000),
            )
            for report in snapshot.lists
        )
        is_newer = before != (self.version, self.upstreams.cursor)
        return FetchOutcome.NEWER if is_newer else FetchOutcome.NOTHING_NEWER


class SlowFleet(Fleet):
    """
    Gateways that follow a large configuration over slow links.

    Attributes
    ----------
    unreached : set of tuple
        Senders and receivers between which datagrams are lost.
    sent, received : Counter
        Bytes of datagrams and snapshots by gateway since ``measure_from_now``.
    delays : dict
        Longest time until each version was in force at all gateways, by version.
    """

    gateways: dict[str, CatchingUpGateway]  # type: ignore[assignment]

    def __init__(
        self, count: int, route_count: int, change: Change = Change.OTHER_ROUTES
    ) -> None:
        self.change = change
        self.unreached: set[tuple[str, str]] = set()
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.outcomes: Counter[FetchOutcome] = Counter()
        # Fetches from each gateway in each second.
        self.asked: Counter[tuple[str, int]] = Counter()
        self.delays: dict[int, float] = {}
        self._pending: dict[int, float] = {}
        self._measured_since = 0.0
        self._calls_before = 0
        self._seed = 1
        self._routes = make_routes(route_count, self._seed)
        super().__init__(count, link_megabits=LINK_MEGABITS)
        self.bound = MAX_PROPAGATION_SECONDS[count]
        self.ranked = sorted(self.gateways, key=reader_score)
        self.run(5.0)
        self.publish()
        self.run(self.bound + 1.0)
        self.measure_from_now()

    def make_gateway(self, name: str) -> Gateway:
        return CatchingUpGateway(self, name)

    def publish(self, **changes: object) -> int:
        changed = 1 if self.change is Change.ONE_ROUTE else len(self._routes)
        timeout = self._routes[0].timeout + 0.01
        before = self._routes
        if self.change is Change.OTHER_ROUTES:
            self._seed += 1
            before = make_routes(len(before), self._seed)
        self._routes = [
            *before[changed:],
            *(
                msgspec.structs.replace(route, timeout=timeout)
                for route in before[:changed]
            ),
        ]
        version = self.store.publish_configuration(routes=self._routes, **changes)
        self._pending[version] = self.clock.now()
        self.notice_change()
        return version

    def notice_change(self) -> None:
        """Let the store end long polls, as it does after each write."""
        for gateway in self.running_gateways:
            gateway.notice_change()  # type: ignore[attr-defined]

    def publish_often(self) -> None:
        for _ in range(CHANGE_COUNT):
            self.publish()
            self.run(CHANGE_INTERVAL_SECONDS)

    def turn_away(self, names: list[str]) -> None:
        self.store.rejected_gateways = set(names)

    def measure_from_now(self) -> None:
        self.sent.clear()
        self.received.clear()
        self.outcomes.clear()
        self.asked.clear()
        self.delays.clear()
        self._measured_since = self.clock.now()
        self._calls_before = self.store.calls

    def record_fetch(
        self, receiver: str, sender: str, response: SnapshotResponse
    ) -> None:
        size = len(response.body) + FETCH_OVERHEAD_BYTES
        self.asked[sender, int(self.clock.now())] += 1
        self.sent[sender] += size
        self.received[receiver] += size

    def deliver(self, sender: str, name: str, message: object) -> None:
        if (sender, name) in self.unreached:
            return
        size = len(msgspec.msgpack.encode(message)) + DATAGRAM_OVERHEAD_BYTES
        self.sent[sender] += size
        self.received[name] += size
        super().deliver(sender, name, message)
        self.sent_messages.clear()

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self._advance_transfers()
            super().run(STEP_SECONDS)
            self._record_delays()

    def check(self, *, is_series: bool = False) -> None:
        """
        Check the delay of each version, or of the last one of a series, which gateways
        may fetch instead of those before; print bytes and store calls.
        """
        self.run(self.bound + 1.0)
        seconds = self.clock.now() - self._measured_since
        busiest = {
            kind: max(counts[name] for name in self.gateways) / seconds / 1000
            for kind, counts in (("sent", self.sent), ("received", self.received))
        }
        mean = sum(self.sent.values()) / len(self.gateways) / seconds / 1000
        worst = max(self.delays.values(), default=0.0)
        last = self.delays[max(self.delays)] if self.delays else 0.0
        calls = (self.store.calls - self._calls_before) / seconds
        print(
            f"worst {worst:.2f} s, last {last:.2f} s; KB/s: mean {mean:.1f}, most sent"
            f" {busiest['sent']:.0f}, most received {busiest['received']:.0f};"
            f" {calls:.1f} store calls/s; fetches from one in a second"
            f" {max(self.asked.values(), default=0)},"
            f" { {item.value: count for item, count in self.outcomes.items()} }"
        )
        late = [gateway.name for gateway in self._find_late(max(self._versions))]
        assert not self._pending, (self._pending, len(late), late[:5])
        assert (last if is_series else worst) <= self.bound + STEP_SECONDS / 2

    @property
    def _versions(self) -> list[int]:
        return [table.version for _, table in self.store.tables]

    def _find_late(self, version: int) -> list[Gateway]:
        return [item for item in self.running_gateways if item.version < version]

    def _record_delays(self) -> None:
        oldest = min(item.version for item in self.running_gateways)
        for version, at in list(self._pending.items()):
            if oldest >= version:
                self.delays[version] = self.clock.now() - at
                del self._pending[version]

    def _advance_transfers(self) -> None:
        """Let the snapshots of each sender take the room in its link's queue."""
        now = self.clock.now()
        by_sender: dict[str, list[Transfer]] = {}
        for gateway in self.running_gateways:
            transfer = gateway.transfer  # type: ignore[attr-defined]
            if transfer is not None and transfer.remaining > 0:
                by_sender.setdefault(transfer.fetch.peer, []).append(transfer)
        for sender, transfers in by_sender.items():
            if self.gateways[sender].is_down:
                continue
            queued = max(0.0, self._sent_until.get(sender, 0.0) - now)
            room = max(0.0, SNAPSHOT_QUEUE_SECONDS - queued) * LINK_BYTES_PER_SECOND
            share = room / len(transfers)
            taken = 0.0
            for transfer in transfers:
                size = min(share, transfer.remaining)
                transfer.remaining -= size
                transfer.is_answered = transfer.is_answered or size > 0
                taken += size
            self._sent_until[sender] = now + queued + taken / LINK_BYTES_PER_SECOND


def turn_half_away(fleet: SlowFleet) -> None:
    fleet.turn_away(fleet.ranked[::2])


def turn_lower_half_away(fleet: SlowFleet) -> None:
    fleet.turn_away(fleet.ranked[len(fleet.ranked) // 2 :])


def turn_one_away(fleet: SlowFleet) -> None:
    fleet.turn_away(fleet.ranked[3:4])


def turn_broadcaster_away(fleet: SlowFleet) -> None:
    fleet.turn_away(fleet.ranked[:1])


def serve_broadcaster_only(fleet: SlowFleet) -> None:
    fleet.turn_away(fleet.ranked[1:])


def serve_last_only(fleet: SlowFleet) -> None:
    fleet.turn_away(fleet.ranked[:-1])


CASES = [
    pytest.param(store, change, id=f"{store.__name__}-{change.name.lower()}")
    for store, change in [
        (turn_half_away, Change.OTHER_ROUTES),
        (turn_half_away, Change.ALL_ROUTES),
        (turn_half_away, Change.ONE_ROUTE),
        (turn_lower_half_away, Change.OTHER_ROUTES),
        (turn_lower_half_away, Change.ALL_ROUTES),
        (turn_one_away, Change.OTHER_ROUTES),
        (turn_one_away, Change.ALL_ROUTES),
        (turn_broadcaster_away, Change.OTHER_ROUTES),
        (turn_broadcaster_away, Change.ALL_ROUTES),
        (serve_broadcaster_only, Change.OTHER_ROUTES),
        (serve_broadcaster_only, Change.ALL_ROUTES),
        (serve_broadcaster_only, Change.ONE_ROUTE),
        (serve_last_only, Change.OTHER_ROUTES),
        (serve_last_only, Change.ALL_ROUTES),
        (serve_last_only, Change.ONE_ROUTE),
    ]
]


@pytest.mark.parametrize(("count", "route_count"), SIZES)
@pytest.mark.parametrize(("store", "change"), CASES)
def test_versions_reach_gateways_late_that_the_store_turns_away(
    store: Callable[[SlowFleet], None], change: Change, count: int, route_count: int
) -> None:
    fleet = SlowFleet(count, route_count, change)
    store(fleet)
    fleet.run(3.0)
    fleet.measure_from_now()
    for _ in range(2):
        fleet.publish()
        fleet.run(4.0)
    fleet.check()


@pytest.mark.parametrize(("count", "route_count"), SIZES)
@pytest.mark.parametrize(("store", "change"), CASES)
def test_a_series_of_versions_reaches_gateways_late_that_the_store_turns_away(
    store: Callable[[SlowFleet], None], change: Change, count: int, route_count: int
) -> None:
    fleet = SlowFleet(count, route_count, change)
    store(fleet)
    fleet.run(3.0)
    fleet.measure_from_now()
    fleet.publish_often()
    fleet.check(is_series=True)


@pytest.mark.parametrize(("count", "route_count"), SIZES)
@pytest.mark.parametrize("rank", [1, -1])
def test_a_gateway_that_the_broadcaster_does_not_reach_is_late(
    count: int, route_count: int, rank: int
) -> None:
    fleet = SlowFleet(count, route_count)
    name = fleet.ranked[rank]
    fleet.turn_away([name])
    fleet.unreached = {(fleet.ranked[0], name)}
    fleet.run(4.0)
    fleet.measure_from_now()
    # Versions come at all times since the last confirmation.
    for _ in range(VERSIONS_AT_ALL_PHASES[count]):
        fleet.publish()
        fleet.run(PHASE_INTERVAL_SECONDS)
    fleet.check()


@pytest.mark.parametrize(("count", "route_count"), SIZES)
def test_gateways_that_thaw_are_late(count: int, route_count: int) -> None:
    """A third freezes; the store turns them away all the while."""
    fleet = SlowFleet(count, route_count)
    names = fleet.ranked[1::3]
    fleet.turn_away(names)
    fleet.run(1.0)
    for name in names:
        fleet.gateways[name].is_down = True
    fleet.measure_from_now()
    fleet.publish_often()
    fleet.run(2.0)
    for name in names:
        fleet.gateways[name].is_down = False
    # A version counts from the thaw on for those that were frozen.
    fleet._pending[max(fleet._versions)] = fleet.clock.now()
    fleet.check()


@pytest.mark.parametrize(("count", "route_count"), SIZES)
def test_versions_are_late_after_a_restore(count: int, route_count: int) -> None:
    """The store loses the newest version, and more than a broadcast's rows change."""
    fleet = SlowFleet(count, route_count)
    turn_half_away(fleet)
    fleet.run(2.0)
    fleet.publish()
    fleet.run(fleet.bound)
    fleet.store.is_down = True
    fleet.run(1.0)
    fleet.store.restore(fleet.bound + 0.5)
    fleet.measure_from_now()
    fleet.run(0.5)
    for number in range(80):
        fleet.store.write(f"n{number}")
    fleet.notice_change()
    # Operators number the versions, and know the one that was lost.
    newest = max(item.version for item in fleet.running_gateways)
    fleet.publish(version=newest + 1)
    fleet.run(fleet.bound)
    names = {f"n{number}" for number in range(80)}
    assert all(names <= set(item.replicas) for item in fleet.running_gateways)
    fleet.check()
