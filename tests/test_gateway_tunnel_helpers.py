"""
Tests of the choice of helpers for tunnels
==========================================
"""

import random
import statistics

import pytest

from damasklead.clock import ManualClock
from damasklead.gateway.dialect import PeerEntry
from damasklead.ids import DataCentre, InstanceId
from damasklead.tunnels.dialer import MAX_ASKED
from damasklead.tunnels.helpers import AVOID_SECONDS, MAX_PREFERRED, Helpers

GATEWAYS = 300
DATA_CENTRES = 5
# Connections to replicas that each gateway opens in a second.
CONNECTIONS_PER_SECOND = 10
SECONDS = 12
# Seconds after which the load is counted.
SETTLED_SECONDS = 4


def make_peers(count: int, *, data_centres: int = DATA_CENTRES) -> list[PeerEntry]:
    return [
        PeerEntry(
            instance=InstanceId(f"gateway-{number}"),
            address=f"10.0.{number // 250}.{number % 250}:80",
            incarnation=1,
            data_centre=DataCentre(f"dc-{number % data_centres}"),
        )
        for number in range(count)
    ]


def make_helpers(peer: PeerEntry, clock: ManualClock) -> Helpers:
    return Helpers(instance=peer.instance, data_centre=peer.data_centre, clock=clock)


class FleetReplay:
    """
    Isolated gateways that open connections through the others.

    Attributes
    ----------
    asks : list of int
        Gateways that were asked for each connection.
    first_asks : list of int
        Gateways that each isolated one asked until it found a helper.
    failed : int
        Connections for which none was found among those that are asked.
    loads : dict
        Tunnels opened by each helper after the first seconds.
    """

    def __init__(self, peers: list[PeerEntry], isolated: set[InstanceId]) -> None:
        self._clock = ManualClock()
        self._peers = peers
        self._isolated = isolated
        self.asks: list[int] = []
        self.failed = 0
        self.loads = {
            peer.instance: 0 for peer in peers if peer.instance not in isolated
        }
        self._asked_first = dict.fromkeys(isolated, 0)
        self._has_helper: set[InstanceId] = set()

    @property
    def first_asks(self) -> list[int]:
        return list(self._asked_first.values())

    def run(self) -> None:
        callers = [
            (peer, make_helpers(peer, self._clock))
            for peer in self._peers
            if peer.instance in self._isolated
        ]
        source = random.Random(1)
        for _ in range(SECONDS * CONNECTIONS_PER_SECOND):
            source.shuffle(callers)
            for peer, helpers in callers:
                self._open(peer, helpers)
            self._clock.advance(1 / CONNECTIONS_PER_SECOND)

    def _open(self, peer: PeerEntry, helpers: Helpers) -> None:
        others = [other for other in self._peers if other is not peer]
        candidates = helpers.list_candidates(others)[:MAX_ASKED]
        for count, candidate in enumerate(candidates, start=1):
            if peer.instance not in self._has_helper:
                self._asked_first[peer.instance] += 1
            if candidate.instance in self._isolated:
                helpers.record_refusal(candidate.instance)
                continue
            helpers.record_opened(candidate.instance)
            self._has_helper.add(peer.instance)
            self.asks.append(count)
            if self._clock.now() >= SETTLED_SECONDS:
                self.loads[candidate.instance] += 1
            return
        self.failed += 1


def choose_isolated(peers: list[PeerEntry], fraction: float) -> set[InstanceId]:
    count = round(fraction * len(peers))
    return {peer.instance for peer in random.Random(1).sample(peers, count)}


@pytest.mark.parametrize("fraction", [0.1, 0.5, 0.9])
def test_isolated_gateways_of_a_large_fleet_find_helpers(fraction: float) -> None:
    peers = make_peers(GATEWAYS)
    replay = FleetReplay(peers, choose_isolated(peers, fraction))
    replay.run()
    loads = list(replay.loads.values())
    mean = statistics.mean(loads)
    print(
        f"isolated {fraction}: asks for the first helper: mean "
        f"{statistics.mean(replay.first_asks):.1f}, most {max(replay.first_asks)}; "
        f"asks a connection: {statistics.mean(replay.asks):.2f}; failed "
        f"{replay.failed} of {replay.failed + len(replay.asks)}; load of a helper: "
        f"least {min(loads) / mean:.2f}, most {max(loads) / mean:.2f} of the mean"
    )
    assert replay.failed <= 0.01 * len(replay.asks)
    own_load = CONNECTIONS_PER_SECOND * (SECONDS - SETTLED_SECONDS)
    assert max(loads) <= 3 * max(mean, own_load)


def test_a_data_centre_with_one_helper_uses_others_as_well() -> None:
    peers = make_peers(GATEWAYS)
    (helper, *isolated) = [item for item in peers if item.data_centre == "dc-0"]
    replay = FleetReplay(peers, {peer.instance for peer in isolated})
    replay.run()
    opened = sum(replay.loads.values())
    print(f"the one helper: {replay.loads[helper.instance]} of {opened}")
    assert replay.loads[helper.instance] <= opened / 2
    assert replay.failed <= 0.01 * len(replay.asks)


def test_a_data_centre_that_is_isolated_finds_helpers_at_once() -> None:
    peers = make_peers(GATEWAYS)
    isolated = {item.instance for item in peers if item.data_centre == "dc-0"}
    replay = FleetReplay(peers, isolated)
    replay.run()
    loads = list(replay.loads.values())
    own_load = CONNECTIONS_PER_SECOND * (SECONDS - SETTLED_SECONDS)
    print(f"asks for the first helper: most {max(replay.first_asks)}; load {loads}")
    assert not replay.failed
    assert max(replay.first_asks) <= 2
    assert max(loads) <= 3 * own_load


def test_helpers_of_the_own_data_centre_are_used_first() -> None:
    peers = make_peers(50)
    clock = ManualClock()
    helpers = make_helpers(peers[0], clock)
    for _ in range(100):
        first = helpers.list_candidates(peers[1:])[0]
        assert first.data_centre == peers[0].data_centre
        helpers.record_opened(first.instance)
        clock.advance(0.1)


def test_helpers_are_used_in_turn() -> None:
    peers = make_peers(50, data_centres=1)
    helpers = make_helpers(peers[0], ManualClock())
    used = []
    for _ in range(10 * MAX_PREFERRED):
        used.append(helpers.list_candidates(peers[1:])[0].instance)
        helpers.record_opened(used[-1])
    assert len(set(used)) == MAX_PREFERRED
    assert [used.count(name) for name in set(used)] == [10] * MAX_PREFERRED


def test_a_gateway_that_refused_is_avoided_for_some_time() -> None:
    peers = make_peers(3, data_centres=1)
    clock = ManualClock()
    helpers = make_helpers(peers[0], clock)
    refused, other = helpers.list_candidates(peers[1:])
    helpers.record_refusal(refused.instance)
    assert helpers.list_candidates(peers[1:]) == [other]
    clock.advance(AVOID_SECONDS)
    assert refused in helpers.list_candidates(peers[1:])


def test_a_gateway_that_responds_late_is_asked_after_the_others() -> None:
    """If all respond late, as on a busy machine, each is still asked."""
    peers = make_peers(3, data_centres=1)
    clock = ManualClock()
    helpers = make_helpers(peers[0], clock)
    late, other = helpers.list_candidates(peers[1:])
    helpers.record_silence(late.instance)
    assert helpers.list_candidates(peers[1:]) == [other, late]
    helpers.record_opened(late.instance)
    assert helpers.list_candidates(peers[1:]) == [other, late]
    helpers.record_silence(other.instance)
    assert helpers.list_candidates(peers[1:]) == [late, other]
    clock.advance(AVOID_SECONDS)
    helpers.record_opened(other.instance)
    assert helpers.list_candidates(peers[1:]) == [late, other]


def test_a_helper_that_left_is_not_asked() -> None:
    peers = make_peers(4, data_centres=1)
    helpers = make_helpers(peers[0], ManualClock())
    left, *others = helpers.list_candidates(peers[1:])
    helpers.record_opened(left.instance)
    assert left not in helpers.list_candidates(others)
