"""
Tests of a store that comes back from an older copy
===================================================

Gateways on one paused clock; the store forgets its newest seconds and counts its
versions anew.  The operators and the replicas write again what was forgotten.
"""

import pytest

from damasklead.clock import ManualClock
from damasklead.gateway.calls import UpstreamState
from damasklead.gateway.directory import (
    LAPSE_DOUBT_SECONDS,
    LAPSE_GRACE_SECONDS,
    RESTORED_DOUBT_SECONDS,
    UpstreamDirectory,
)
from damasklead.gateway.reading import ListName
from tests.gatewaykit import at
from tests.test_gateway_broadcasts import Fleet
from tests.test_gateway_parts import gone, names, row

COPY_SECONDS = 3.0
# How long the store is away in a drill.
AWAY_SECONDS = 3.0
# Within which a change has to be in force.
BOUND_SECONDS = 2.0


def drill(fleet: Fleet, *, seconds: float = COPY_SECONDS) -> None:
    """Let the store go away and come back from a copy."""
    fleet.store.away = True
    fleet.run(AWAY_SECONDS)
    fleet.store.restore(seconds + AWAY_SECONDS)


def test_a_change_after_a_restore_is_in_force_in_time() -> None:
    fleet = Fleet(8)
    fleet.run(4.0)
    fleet.store.write("lost")
    fleet.run(1.0)
    drill(fleet)
    # Removals right after an outage may be lapses.
    fleet.run(LAPSE_DOUBT_SECONDS + 1.0)
    fleet.store.remove("r0")
    fleet.store.write("r1", state=UpstreamState.LEAVING)
    version = fleet.store.configure()
    fleet.run(BOUND_SECONDS)
    for gateway in fleet.up:
        assert "r0" not in gateway.replicas and "r1" not in gateway.replicas
        assert gateway.version == version


def test_a_second_restore_is_taken_in_like_the_first() -> None:
    fleet = Fleet(8)
    fleet.run(4.0)
    for number in range(2):
        fleet.store.write(f"lost-{number}")
        fleet.run(1.0)
        drill(fleet)
        fleet.run(6.0)
    fleet.store.write("new")
    fleet.run(BOUND_SECONDS)
    for gateway in fleet.up:
        assert "new" in gateway.replicas and "lost-0" not in gateway.replicas


@pytest.mark.parametrize("count", [8, 77, 300])
def test_a_drill_costs_a_few_calls_a_second_whatever_the_fleet_is(count: int) -> None:
    fleet = Fleet(count)
    fleet.run(4.0)
    fleet.store.write("lost")
    fleet.run(1.0)
    before = fleet.store.calls
    drill(fleet)
    fleet.run(5.0)
    fleet.store.write("lost")
    fleet.run(5.0)
    calls = fleet.store.calls - before
    assert calls / (AWAY_SECONDS + 10.0) <= MOST_CALLS_A_SECOND
    assert all("lost" in gateway.replicas for gateway in fleet.up)


# Two lists, each waited for at the store by one gateway, are 3.3 calls a second.
MOST_CALLS_A_SECOND = 8.0


def test_the_newest_configuration_stays_in_force() -> None:
    fleet = Fleet(8)
    fleet.run(4.0)
    version = fleet.store.configure()
    fleet.run(1.0)
    drill(fleet)
    for _ in range(10):
        fleet.run(0.5)
        assert {gateway.version for gateway in fleet.up} == {version}


def test_a_gateway_that_starts_in_the_gap_gets_it_from_another_one() -> None:
    fleet = Fleet(8)
    late = fleet.gateways["g7"]
    late.down = True
    fleet.run(4.0)
    version = fleet.store.configure()
    fleet.run(1.0)
    drill(fleet)
    late.down = False
    fleet.run(BOUND_SECONDS)
    assert late.version == version
    assert fleet.snapshots < 5


def test_a_replica_that_the_copy_lacks_is_kept_until_it_has_written_again() -> None:
    fleet = Fleet(8)
    fleet.run(4.0)
    fleet.store.write("new")
    fleet.store.write("gone")
    fleet.run(1.0)
    drill(fleet)
    for _ in range(4):
        fleet.run(0.4)
        assert all("new" in gateway.replicas for gateway in fleet.up)
    fleet.store.write("new")
    fleet.run(LAPSE_GRACE_SECONDS + 1.0)
    for gateway in fleet.up:
        assert "new" in gateway.replicas and "gone" not in gateway.replicas


def test_who_knew_more_than_the_reader_reads_the_list_itself() -> None:
    """Its changes are in no list any more, so what the reader tells leads nowhere."""
    fleet = Fleet(3)
    fleet.run(4.0)
    ahead = next(item for item in fleet.up if item is not fleet.first)
    fleet.deaf = {item for item in fleet.gateways if item != ahead.name}
    fleet.store.write("ghost")
    ahead.upstreams.poll_once(wait=0.0)
    assert "ghost" in ahead.replicas
    fleet.store.restore(0.5)
    fleet.deaf.clear()
    fleet.run(LAPSE_GRACE_SECONDS + 2.0)
    assert "ghost" not in ahead.replicas


class TestDirectory:
    def directory(self) -> tuple[UpstreamDirectory, ManualClock]:
        clock = ManualClock(start=50.0)
        directory = UpstreamDirectory(clock=clock)
        directory.apply([row("a", 10, era=1), row("b", 20, era=1)], whole=True)
        return directory, clock

    def test_a_lower_version_of_a_newer_era_counts(self) -> None:
        directory, _ = self.directory()
        directory.list_restored(at(12, era=2))
        leaving = row("b", 13, era=2, state=UpstreamState.LEAVING)
        directory.apply([leaving], whole=False)
        assert names(directory) == ["a"]

    def test_what_left_stays_so_although_the_copy_shows_it_ready(self) -> None:
        directory, clock = self.directory()
        leaving = row("a", 30, era=1, state=UpstreamState.LEAVING)
        directory.apply([leaving], whole=False)
        directory.apply([gone("a", 31, era=1)], whole=False)
        directory.list_restored(at(25, era=2))
        rows = [row("a", 10, era=2), row("b", 20, era=2)]
        directory.apply(rows, whole=True)
        clock.advance(2 * RESTORED_DOUBT_SECONDS)
        directory.expire()
        assert names(directory) == ["b"]
        directory.apply([row("a", 40, era=2, incarnation=2)], whole=False)
        assert names(directory) == ["a", "b"]

    def test_what_was_removed_is_not_used_before_it_is_written_again(self) -> None:
        directory, _ = self.directory()
        directory.apply([gone("a", 30, era=1)], whole=False)
        directory.list_restored(at(25, era=2))
        directory.apply([row("a", 10, era=2), row("b", 20, era=2)], whole=True)
        assert names(directory) == ["b"]
        directory.apply([row("a", 26, era=2)], whole=False)
        assert names(directory) == ["a", "b"]

    def test_one_that_stays_listed_has_been_written_again(self) -> None:
        """The platform removes entries that their replicas do not renew."""
        directory, clock = self.directory()
        directory.apply([gone("a", 30, era=1)], whole=False)
        directory.list_restored(at(25, era=2))
        directory.apply([row("a", 10, era=2), row("b", 20, era=2)], whole=True)
        clock.advance(RESTORED_DOUBT_SECONDS)
        directory.expire()
        assert names(directory) == ["a", "b"]

    def test_one_that_is_removed_meanwhile_is_not_used(self) -> None:
        directory, clock = self.directory()
        directory.apply([gone("a", 30, era=1)], whole=False)
        directory.list_restored(at(25, era=2))
        directory.apply([row("a", 10, era=2), row("b", 20, era=2)], whole=True)
        directory.apply([gone("a", 27, era=2)], whole=False)
        clock.advance(RESTORED_DOUBT_SECONDS)
        directory.expire()
        assert names(directory) == ["b"]


def test_marks_of_an_older_era_do_not_make_anyone_ask() -> None:
    fleet = Fleet(3)
    fleet.run(4.0)
    fleet.store.write("lost")
    fleet.run(1.0)
    drill(fleet)
    fleet.run(3.0)
    plans = [gateway.plans[ListName.UPSTREAMS] for gateway in fleet.up]
    assert all(plan.is_caught_up for plan in plans)
