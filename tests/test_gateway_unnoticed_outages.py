"""
Tests of outages that gateways don't notice by calls of their own
=================================================================

Entries expire while the store is away.  Most gateways of a large fleet don't poll it,
and learn from broadcasts that entries were removed.
"""

import pytest

from tests.test_gateway_broadcasts import Fleet, Gateway

REPLICAS = ["r0", "r1", "r2", "r3"]
STEP_SECONDS = 0.1


def find_gateways_without(fleet: Fleet, replicas: list[str]) -> list[Gateway]:
    return [
        gateway
        for gateway in fleet.running_gateways
        if not set(replicas) <= set(gateway.replicas)
    ]


@pytest.mark.parametrize("outage_seconds", [3.6, 4.5])
@pytest.mark.parametrize("count", [8, 30, 120])
def test_no_gateway_drops_the_replicas_whose_entries_expired_in_an_outage(
    count: int, outage_seconds: float
) -> None:
    """Guards against gateways without any replica until the entries are renewed."""
    fleet = Fleet(count)
    fleet.run(6.0)
    fleet.store.is_down = True
    fleet.run(outage_seconds)
    for name in REPLICAS:
        fleet.store.remove(name)
    fleet.store.is_down = False
    for _ in range(20):
        fleet.run(STEP_SECONDS)
        assert not find_gateways_without(fleet, REPLICAS)
    for name in REPLICAS[1:]:
        fleet.store.write(name)
    fleet.run(2.0)
    assert not find_gateways_without(fleet, REPLICAS[1:])
    assert not any("r0" in gateway.replicas for gateway in fleet.running_gateways)


@pytest.mark.parametrize("return_seconds", [0.6, 1.8])
@pytest.mark.parametrize("count", [12, 30])
def test_no_gateway_drops_missing_replicas_while_the_store_is_away_again(
    count: int, return_seconds: float
) -> None:
    """Guards against grace times that end although nobody can read the list."""
    fleet = Fleet(count)
    fleet.run(6.0)
    fleet.store.is_down = True
    fleet.run(4.0)
    for name in REPLICAS:
        fleet.store.remove(name)
    fleet.store.is_down = False
    fleet.run(return_seconds)
    fleet.store.is_down = True
    for _ in range(80):
        fleet.run(STEP_SECONDS)
        assert not find_gateways_without(fleet, REPLICAS)
    fleet.store.is_down = False
    for name in REPLICAS[1:]:
        fleet.store.write(name)
    fleet.run(5.0)
    assert not find_gateways_without(fleet, REPLICAS[1:])
    assert not any("r0" in gateway.replicas for gateway in fleet.running_gateways)


@pytest.mark.parametrize("position", ["reader", "last"])
def test_a_removal_applies_at_once_after_a_gateway_was_suspended(position: str) -> None:
    """A silence while the process didn't run is no outage of the store."""
    fleet = Fleet(30)
    fleet.run(6.0)
    ranked = sorted(fleet.running_gateways, key=lambda item: item.broadcasts.rank)
    gateway = ranked[0 if position == "reader" else -1]
    gateway.is_down = True
    fleet.run(4.0)
    gateway.is_down = False
    fleet.run(1.0)
    fleet.store.remove("r1")
    fleet.run(1.5)
    assert "r1" not in gateway.replicas


def test_a_removal_applies_at_once_after_the_reader_was_lost() -> None:
    fleet = Fleet(30)
    fleet.run(6.0)
    fleet.first_ranked.is_down = True
    fleet.run(1.0)
    fleet.store.remove("r1")
    fleet.run(2.0)
    assert not any("r1" in gateway.replicas for gateway in fleet.running_gateways)
