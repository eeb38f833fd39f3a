"""
Tests of differences between configurations
===========================================
"""

import itertools
import random
import time

import msgspec
import pytest
from hypothesis import given, strategies as st

from damasklead.gateway import list_pieces
from damasklead.gateway.configuration_differences import (
    MAX_DIFFERENCE_BYTES,
    MAX_DIFFERENCES,
    ConfigurationHistory,
    RoutingDifference,
    apply_differences,
    compute_difference,
)
from damasklead.gateway.list_pieces import MAX_LIST_ITEMS, DifferenceError, ListPiece
from damasklead.gateway.routing import (
    ApiKey,
    CallerLimits,
    RouteKind,
    RouteName,
    RoutingContent,
    Workspace,
    WorkspaceId,
)
from damasklead.gateway.snapshot import KnownState, Snapshot
from damasklead.ids import ServiceName
from tests.gateway_kit import ROUTES, make_table
from tests.test_gateway_applied_snapshots import Applying, make_snapshot
from tests.test_gateway_broadcasts import make_long_routes

LISTS = st.lists(st.integers(0, 9), max_size=8)


def make_content(
    version: int, numbers: list[int], *, head_bytes: int = 1
) -> RoutingContent:
    return make_table(
        version,
        routes=[
            msgspec.structs.replace(ROUTES[0], name=RouteName(f"r{n}"), prefix=f"/{n}/")
            for n in numbers
        ],
        workspaces=[
            Workspace(name=WorkspaceId(f"w{n}"), keys=(ApiKey(f"k{n}"),))
            for n in numbers
        ],
        limits=CallerLimits(head_bytes=head_bytes),
    ).content


def transmit(difference: RoutingDifference) -> RoutingDifference:
    encoded = msgspec.msgpack.encode(difference)
    return msgspec.msgpack.decode(encoded, type=RoutingDifference)


@given(LISTS, LISTS, LISTS)
def test_differences_lead_to_another_configuration(
    first: list[int], second: list[int], third: list[int]
) -> None:
    contents = [
        make_content(1, first),
        make_content(4, second, head_bytes=2),
        make_content(9, third),
    ]
    differences = [
        transmit(compute_difference(contents[0], contents[1])),
        transmit(compute_difference(contents[1], contents[2])),
    ]
    assert apply_differences(contents[0], differences) == contents[2]
    assert apply_differences(contents[1], differences) == contents[2]
    assert apply_differences(contents[2], differences) is None
    assert apply_differences(make_content(5, first), differences) is None


def test_a_change_of_one_route_is_as_long_as_the_configuration() -> None:
    routes = make_long_routes()
    before = make_table(1, routes=routes).content
    changed = msgspec.structs.replace(routes[7], timeout=77.0)
    after = make_table(2, routes=[*routes[:7], changed, *routes[8:]]).content
    difference = compute_difference(before, after)
    assert len(msgspec.msgpack.encode(difference)) < 1_000
    assert apply_differences(before, [difference]) == after


def test_a_change_of_one_route_takes_the_time_of_all(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    routes = make_long_routes()
    changed = msgspec.structs.replace(routes[7], timeout=77.0)
    before = make_table(1, routes=routes).content
    after = make_table(2, routes=[*routes[:7], changed, *routes[8:]]).content
    encoded: list[object] = []
    encode = list_pieces._encode

    def count(item: object) -> bytes:
        encoded.append(item)
        return encode(item)

    monkeypatch.setattr(list_pieces, "_encode", count)
    difference = compute_difference(before, after)
    assert len(encoded) < 10
    assert difference.routes == [
        ListPiece(0, 7, [changed]),
        ListPiece(8, len(routes) - 8),
    ]


def change_all_routes(before: RoutingContent, timeout: float) -> RoutingContent:
    routes = [
        msgspec.structs.replace(route, timeout=timeout) for route in before.routes
    ]
    return msgspec.structs.replace(before, version=before.version + 1, routes=routes)


def test_a_change_of_one_field_of_all_routes_is_as_long_as_the_configuration() -> None:
    before = make_table(1, routes=make_long_routes()).content
    after = change_all_routes(before, 77.0)
    difference = compute_difference(before, after, with_fields=True)
    assert len(msgspec.msgpack.encode(difference)) < 1_000
    assert apply_differences(before, [transmit(difference)]) == after


@given(*[st.lists(st.tuples(st.integers(0, 9), st.integers(0, 2))) for _ in range(2)])
def test_changed_fields_lead_to_another_configuration(
    first: list[tuple[int, int]], second: list[tuple[int, int]]
) -> None:
    contents = [
        msgspec.structs.replace(
            content := make_content(version, [number for number, _ in items]),
            routes=[
                msgspec.structs.replace(
                    route,
                    tier=change,
                    kind=list(RouteKind)[change],
                    event_gap=[None, 0.5, 1.0][change],
                    split=((ServiceName("shop"), 1.0 + change),),
                )
                for route, (_, change) in zip(content.routes, items, strict=True)
            ],
        )
        for version, items in enumerate([first, second], 1)
    ]
    difference = transmit(compute_difference(*contents, with_fields=True))
    assert apply_differences(contents[0], [difference]) == contents[1]


@pytest.mark.parametrize(
    "piece",
    [
        ListPiece(0, 1, [], {"colour": "red"}),
        ListPiece(0, 1, [], {"timeout": "long"}),
        ListPiece(-2, 1),
        ListPiece(1, -1, [], {"timeout": 1.0}),
    ],
)
def test_forged_pieces_are_applied(piece: ListPiece) -> None:
    before = make_content(1, [1, 2, 3])
    difference = compute_difference(before, make_content(2, [1]))
    forged = msgspec.structs.replace(difference, routes=[piece])
    with pytest.raises(DifferenceError):
        apply_differences(before, [transmit(forged)])


def test_forged_changes_of_fields_stop_the_gateway() -> None:
    before = make_content(0, list(range(1_000)))
    difference = compute_difference(before, before)
    pieces = [ListPiece(0, 1_000, [], {"timeout": 1.0}), ListPiece(0, -(10**9))]
    differences = [
        msgspec.structs.replace(difference, base=n, version=n + 1, routes=50 * pieces)
        for n in range(MAX_DIFFERENCES)
    ]
    began_at = time.perf_counter()
    with pytest.raises(DifferenceError):
        apply_differences(before, differences)
    assert time.perf_counter() - began_at < 1.0


def test_keys_begin_or_cease_to_be_required() -> None:
    with_keys = make_content(1, [1, 2])
    without_keys = msgspec.structs.replace(with_keys, version=2, workspaces=None)
    with_keys_again = msgspec.structs.replace(with_keys, version=3)
    for before, after in [
        (with_keys, without_keys),
        (without_keys, with_keys_again),
    ]:
        difference = transmit(compute_difference(before, after))
        assert apply_differences(before, [difference]) == after


def test_a_version_of_another_content_is_changed_without_notice() -> None:
    """The store may have been restored, and its versions numbered anew."""
    difference = compute_difference(make_content(1, [1, 2]), make_content(2, [1, 2, 3]))
    with pytest.raises(DifferenceError):
        apply_differences(make_content(1, [1, 5]), [difference])


def test_a_gap_between_differences_goes_unnoticed() -> None:
    contents = [make_content(n, [n]) for n in range(4)]
    differences = [
        compute_difference(contents[0], contents[1]),
        compute_difference(contents[2], contents[3]),
    ]
    with pytest.raises(DifferenceError):
        apply_differences(contents[0], differences)


def test_forged_pieces_exhaust_memory() -> None:
    before = make_content(1, list(range(1_000)))
    difference = msgspec.structs.replace(
        compute_difference(before, make_content(2, [])),
        routes=[ListPiece(0, 1_000)] * 1_000_000,
    )
    with pytest.raises(DifferenceError):
        apply_differences(before, [difference])


def test_a_forged_chain_of_differences_stops_the_gateway() -> None:
    """Each one copies a list of the greatest length."""
    before = make_content(0, list(range(1_000)))
    difference = compute_difference(before, before)
    differences = [
        msgspec.structs.replace(
            difference,
            base=n,
            version=n + 1,
            routes=[ListPiece(0, MAX_LIST_ITEMS)] * (1 if n else 100),
        )
        for n in range(20_000)
    ]
    began_at = time.perf_counter()
    with pytest.raises(DifferenceError):
        apply_differences(before, differences)
    assert time.perf_counter() - began_at < 1.0


class TestHistory:
    def test_differences_from_each_earlier_version(self) -> None:
        history = ConfigurationHistory()
        contents = [make_content(n, list(range(n))) for n in (1, 3, 4)]
        history.record_change(None, contents[0])
        for before, after in itertools.pairwise(contents):
            history.record_change(before, after)
        for content in contents[:-1]:
            differences = history.get_differences(content.version)
            assert apply_differences(content, differences) == contents[-1]
        for version in (0, 2, 4, 5):
            assert not history.get_differences(version)

    def test_a_long_difference_leaves_a_gap(self) -> None:
        history = ConfigurationHistory()
        contents = [
            make_content(1, [1]),
            make_content(2, [2]),
            make_table(3, routes=make_long_routes()).content,
            make_content(4, [3]),
            make_content(5, [4]),
        ]
        for before, after in itertools.pairwise(contents):
            history.record_change(before, after)
        assert not history.get_differences(1) and not history.get_differences(2)
        assert len(history.get_differences(4)) == 1
        difference = compute_difference(contents[1], contents[2])
        assert len(msgspec.msgpack.encode(difference)) > MAX_DIFFERENCE_BYTES

    def test_a_change_of_one_field_of_all_routes_leaves_a_gap(self) -> None:
        history = ConfigurationHistory()
        contents = [make_table(1, routes=make_long_routes()).content]
        contents += [
            change_all_routes(contents[0], 77.0),
            make_table(3, routes=make_long_routes()[1:]).content,
        ]
        history.record_change(None, contents[0])
        for before, after in itertools.pairwise(contents):
            history.record_change(before, after)
        for content in contents[:-1]:
            differences = history.get_short_differences(
                content.version, accepts_fields=True
            )
            assert apply_differences(content, differences) == contents[-1]

    def test_more_fields_are_sent_than_others_replace(self) -> None:
        """A chain of differences is refused, and fetched again each time."""
        history = ConfigurationHistory()
        content = make_content(1, list(range(4_000)))
        history.record_change(None, content)
        for n in range(MAX_DIFFERENCES):
            changed = change_all_routes(content, 10.0 + n)
            history.record_change(content, changed)
            content = changed
        assert len(history.differences) == MAX_DIFFERENCES
        assert not history.get_short_differences(1, accepts_fields=True)
        assert history.get_short_differences(MAX_DIFFERENCES, accepts_fields=True)

    def test_the_history_grows_forever(self) -> None:
        history = ConfigurationHistory()
        for n in range(3 * MAX_DIFFERENCES):
            history.record_change(make_content(n, [n]), make_content(n + 1, [n + 1]))
        assert not history.get_differences(2 * MAX_DIFFERENCES - 1)
        differences = history.get_differences(2 * MAX_DIFFERENCES)
        assert len(differences) == MAX_DIFFERENCES

    def test_versions_between_two_that_were_active_are_forgotten(self) -> None:
        contents = [make_content(n, [n]) for n in range(1, 4)]
        steps = [
            compute_difference(contents[0], contents[1]),
            compute_difference(contents[1], contents[2]),
        ]
        history = ConfigurationHistory()
        history.refine(steps)
        assert not history.get_differences(1)
        history.record_change(contents[0], contents[2])
        assert not history.get_differences(2)
        history.refine(steps[1:])
        assert len(history.get_differences(1)) == 1
        history.refine(steps)
        assert len(history.get_differences(1)) == 2
        assert apply_differences(contents[1], history.get_differences(2)) == contents[2]


def make_gateway(content: RoutingContent) -> Applying:
    gateway = Applying()
    assert gateway.apply(make_snapshot(routing=content))
    return gateway


def build(gateway: Applying, known: KnownState) -> Snapshot:
    snapshot = gateway.fleet.snapshots.build(known)
    assert snapshot is not None
    return snapshot


class TestGateways:
    def test_a_gateway_sends_or_applies_all_routes_for_one(self) -> None:
        contents = [make_content(n, list(range(n))) for n in (2, 3, 4)]
        holder, middle, last = (make_gateway(contents[0]) for _ in range(3))
        for content in contents[1:]:
            holder.apply(make_snapshot(routing=content))
        for source, target in [(holder, middle), (middle, last)]:
            known = target.fleet.snapshots.describe_known_state(False)
            snapshot = build(source, known)
            assert snapshot.routing is None and len(snapshot.differences) == 2
            assert snapshot.configuration == 4
            assert target.apply(snapshot)
            table = target.fleet.configuration.table
            assert table is not None and table.content == contents[-1]
            assert not target.apply(snapshot)

    def test_a_gateway_of_an_earlier_build_gets_differences(self) -> None:
        holder = make_gateway(make_content(2, [1]))
        holder.apply(make_snapshot(routing=make_content(3, [1, 2])))
        snapshot = build(holder, KnownState(configuration=2))
        assert snapshot.routing is not None and not snapshot.differences

    def test_a_gateway_of_an_earlier_build_gets_changed_fields(self) -> None:
        """It ignores them, and takes the result for a mismatch."""
        content = make_table(2, routes=make_long_routes()).content
        holder = make_gateway(content)
        holder.apply(make_snapshot(routing=change_all_routes(content, 77.0)))
        earlier = KnownState(configuration=2, accepts_differences=True)
        snapshot = build(holder, earlier)
        assert snapshot.routing is not None and not snapshot.differences
        other = make_gateway(content)
        snapshot = build(holder, other.fleet.snapshots.describe_known_state(False))
        assert snapshot.routing is None and snapshot.differences
        assert other.apply(snapshot)

    def test_a_mismatch_is_repeated_forever(self) -> None:
        holder, other = (
            make_gateway(make_content(2, [1])),
            make_gateway(make_content(2, [5])),
        )
        holder.apply(make_snapshot(routing=make_content(3, [1, 2])))
        known = other.fleet.snapshots.describe_known_state(False)
        assert not other.apply(build(holder, known))
        known = other.fleet.snapshots.describe_known_state(False)
        snapshot = build(holder, known)
        assert snapshot.routing is not None and other.apply(snapshot)
        assert other.fleet.snapshots.describe_known_state(False).accepts_differences

    def test_a_mismatch_is_repeated_where_few_have_the_newest_version(self) -> None:
        """Those that have nothing newer are asked in between."""
        old, new = make_content(2, [1]), make_content(2, [5])
        holder, other, third = (make_gateway(item) for item in (old, new, old))
        holder.apply(make_snapshot(routing=make_content(3, [1, 2])))
        for source in (holder, third, holder):
            known = other.fleet.snapshots.describe_known_state(False)
            other.apply(build(source, known))
        table = other.fleet.configuration.table
        assert table is not None and table.version == 3

    def test_many_differences_are_longer_than_the_configuration(self) -> None:
        """Each version changes all of a short one."""
        source = random.Random(1)
        numbers = [source.sample(range(10**9), 25) for _ in range(MAX_DIFFERENCES)]
        contents = [make_content(n + 1, item) for n, item in enumerate(numbers)]
        holder, other = make_gateway(contents[0]), make_gateway(contents[0])
        for content in contents[1:]:
            holder.apply(make_snapshot(routing=content))
        known = other.fleet.snapshots.describe_known_state(False)
        snapshot = build(holder, known)
        full = build(holder, KnownState(configuration=1))
        assert len(msgspec.msgpack.encode(snapshot)) <= len(
            msgspec.msgpack.encode(full)
        )
        assert other.apply(snapshot)
        table = other.fleet.configuration.table
        assert table is not None and table.content == contents[-1]

    def test_forged_differences_replace_those_of_this_gateway(self) -> None:
        contents = [make_content(n, list(range(n))) for n in (2, 3)]
        gateway, other = (make_gateway(contents[0]) for _ in range(2))
        gateway.apply(make_snapshot(routing=contents[1]))
        forged = [
            compute_difference(contents[0], make_content(3, [7])),
            compute_difference(contents[1], contents[1]),
        ]
        assert not gateway.apply(make_snapshot(routing=None, differences=forged))
        known = other.fleet.snapshots.describe_known_state(False)
        assert other.apply(build(gateway, known))
        table = other.fleet.configuration.table
        assert table is not None and table.content == contents[1]
