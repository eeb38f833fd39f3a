"""
Tests of a store that is restored from a backup
===============================================

Simulated gateways on a manual clock.  The store loses the changes of its last seconds
and continues from the backup's last version in a new era, so that versions repeat.
Operators and replicas write again what was lost.
"""

import pytest

from damasklead.clock import ManualClock
from damasklead.gateway.calls import UpstreamState
from damasklead.gateway.directory import (
    LAPSE_GRACE_SECONDS,
    LAPSE_WINDOW_SECONDS,
    UNCONFIRMED_SECONDS,
    UpstreamDirectory,
)
from damasklead.gateway.poll_schedule import ListName
from tests.gateway_kit import make_position
from tests.test_gateway_broadcasts import Fleet
from tests.test_gateway_decisions import get_eligible_names, make_removed_row, make_row

BACKUP_AGE_SECONDS = 3.0
# How long the store is unreachable before it is restored.
OUTAGE_SECONDS = 3.0
# Time within which a change must be in force at every gateway.
MAX_PROPAGATION_SECONDS = 2.0


def restore_store(fleet: Fleet, *, backup_age: float = BACKUP_AGE_SECONDS) -> None:
    """
    Make the store unreachable for a while, then restore it from a backup.

    Parameters
    ----------
    backup_age : float
        Age of the backup in seconds at the start of the outage.
    """
    fleet.store.is_down = True
    fleet.run(OUTAGE_SECONDS)
    fleet.store.restore(backup_age + OUTAGE_SECONDS)


def test_a_change_after_a_restore_is_in_force_in_time() -> None:
    fleet = Fleet(8)
    fleet.run(4.0)
    fleet.store.write("lost")
    fleet.run(1.0)
    restore_store(fleet)
    # Removals right after an outage may be expired entries and take effect later.
    fleet.run(LAPSE_WINDOW_SECONDS + 1.0)
    fleet.store.remove("r0")
    fleet.store.write("r1", state=UpstreamState.LEAVING)
    version = fleet.store.publish_configuration()
    fleet.run(MAX_PROPAGATION_SECONDS)
    for gateway in fleet.running_gateways:
        assert "r0" not in gateway.replicas and "r1" not in gateway.replicas
        assert gateway.version == version


def test_a_second_restore_is_handled_like_the_first() -> None:
    fleet = Fleet(8)
    fleet.run(4.0)
    for number in range(2):
        fleet.store.write(f"lost-{number}")
        fleet.run(1.0)
        restore_store(fleet)
        fleet.run(6.0)
    fleet.store.write("new")
    fleet.run(MAX_PROPAGATION_SECONDS)
    for gateway in fleet.running_gateways:
        assert "new" in gateway.replicas and "lost-0" not in gateway.replicas


@pytest.mark.parametrize("count", [8, 77, 300])
def test_a_restore_costs_a_few_calls_per_second_for_any_fleet_size(count: int) -> None:
    fleet = Fleet(count)
    fleet.run(4.0)
    fleet.store.write("lost")
    fleet.run(1.0)
    before = fleet.store.calls
    restore_store(fleet)
    fleet.run(5.0)
    fleet.store.write("lost")
    fleet.run(5.0)
    calls = fleet.store.calls - before
    assert calls / (OUTAGE_SECONDS + 10.0) <= MAX_CALLS_PER_SECOND
    assert all("lost" in gateway.replicas for gateway in fleet.running_gateways)


# Long polls of two lists by one gateway are 3.3 calls per second.
MAX_CALLS_PER_SECOND = 8.0


def test_the_newest_configuration_stays_active() -> None:
    fleet = Fleet(8)
    fleet.run(4.0)
    version = fleet.store.publish_configuration()
    fleet.run(1.0)
    restore_store(fleet)
    for _ in range(10):
        fleet.run(0.5)
        assert {gateway.version for gateway in fleet.running_gateways} == {version}


def test_a_gateway_that_starts_after_the_restore_gets_the_lost_configuration() -> None:
    fleet = Fleet(8)
    late_gateway = fleet.gateways["g7"]
    late_gateway.is_down = True
    fleet.run(4.0)
    version = fleet.store.publish_configuration()
    fleet.run(1.0)
    restore_store(fleet)
    late_gateway.is_down = False
    fleet.run(MAX_PROPAGATION_SECONDS)
    assert late_gateway.version == version
    assert fleet.snapshot_count < 5


def test_a_replica_that_the_backup_lacks_is_kept_until_it_registers_again() -> None:
    fleet = Fleet(8)
    fleet.run(4.0)
    fleet.store.write("new")
    fleet.store.write("gone")
    fleet.run(1.0)
    restore_store(fleet)
    for _ in range(4):
        fleet.run(0.4)
        assert all("new" in gateway.replicas for gateway in fleet.running_gateways)
    fleet.store.write("new")
    fleet.run(LAPSE_GRACE_SECONDS + 1.0)
    for gateway in fleet.running_gateways:
        assert "new" in gateway.replicas and "gone" not in gateway.replicas


def test_a_gateway_that_was_ahead_of_the_reader_does_a_full_read() -> None:
    """
    Guards against a replica that stays in use although the restored store lacks it.

    A gateway had read an entry that neither the reader nor the backup has.  The changes
    that the reader broadcasts don't remove such an entry.
    """
    fleet = Fleet(3)
    fleet.run(4.0)
    ahead_gateway = next(
        item for item in fleet.running_gateways if item is not fleet.first_ranked
    )
    fleet.unreceiving = {item for item in fleet.gateways if item != ahead_gateway.name}
    fleet.store.write("ghost")
    ahead_gateway.upstreams.poll_once(wait=0.0)
    assert "ghost" in ahead_gateway.replicas
    fleet.store.restore(0.5)
    fleet.unreceiving.clear()
    fleet.run(LAPSE_GRACE_SECONDS + 2.0)
    assert "ghost" not in ahead_gateway.replicas


class TestDirectory:
    def directory(self) -> tuple[UpstreamDirectory, ManualClock]:
        clock = ManualClock(start=50.0)
        directory = UpstreamDirectory(clock=clock)
        directory.apply_rows(
            [make_row("a", 10, era=1), make_row("b", 20, era=1)], is_complete=True
        )
        return directory, clock

    def test_a_lower_version_of_a_newer_era_counts(self) -> None:
        directory, _ = self.directory()
        directory.mark_store_restored(make_position(12, era=2))
        leaving = make_row("b", 13, era=2, state=UpstreamState.LEAVING)
        directory.apply_rows([leaving], is_complete=False)
        assert get_eligible_names(directory) == ["a"]

    def test_a_removed_replica_that_was_leaving_is_not_used_although_the_backup_has_it(
        self,
    ) -> None:
        directory, clock = self.directory()
        leaving = make_row("a", 30, era=1, state=UpstreamState.LEAVING)
        directory.apply_rows([leaving], is_complete=False)
        directory.apply_rows([make_removed_row("a", 31, era=1)], is_complete=False)
        directory.mark_store_restored(make_position(25, era=2))
        rows = [make_row("a", 10, era=2), make_row("b", 20, era=2)]
        directory.apply_rows(rows, is_complete=True)
        clock.advance(2 * UNCONFIRMED_SECONDS)
        directory.drop_expired(list_age=0.0)
        assert get_eligible_names(directory) == ["b"]
        directory.apply_rows(
            [make_row("a", 40, era=2, incarnation=2)], is_complete=False
        )
        assert get_eligible_names(directory) == ["a", "b"]

    def test_a_removed_replica_is_not_used_before_it_has_registered_again(self) -> None:
        directory, _ = self.directory()
        directory.apply_rows([make_removed_row("a", 30, era=1)], is_complete=False)
        directory.mark_store_restored(make_position(25, era=2))
        directory.apply_rows(
            [make_row("a", 10, era=2), make_row("b", 20, era=2)], is_complete=True
        )
        assert get_eligible_names(directory) == ["b"]
        directory.apply_rows([make_row("a", 26, era=2)], is_complete=False)
        assert get_eligible_names(directory) == ["a", "b"]

    def test_a_removed_replica_that_stays_listed_is_used_again(self) -> None:
        """The platform removes entries that aren't renewed, so this one was renewed."""
        directory, clock = self.directory()
        directory.apply_rows([make_removed_row("a", 30, era=1)], is_complete=False)
        directory.mark_store_restored(make_position(25, era=2))
        directory.apply_rows(
            [make_row("a", 10, era=2), make_row("b", 20, era=2)], is_complete=True
        )
        clock.advance(UNCONFIRMED_SECONDS)
        directory.drop_expired(list_age=0.0)
        assert get_eligible_names(directory) == ["a", "b"]

    def test_a_replica_that_registered_again_before_the_restore_is_used(self) -> None:
        """
        Its entry is newer than the removal in the same era, so no backup explains it.

        The row comes with another gateway's snapshot after the restore.
        """
        directory, _ = self.directory()
        directory.apply_rows([make_removed_row("a", 30, era=1)], is_complete=False)
        directory.mark_store_restored(make_position(25, era=2))
        directory.apply_rows([make_row("a", 31, era=1)], is_complete=False)
        assert get_eligible_names(directory) == ["a", "b"]

    def test_a_removed_replica_that_is_removed_again_is_not_used(self) -> None:
        directory, clock = self.directory()
        directory.apply_rows([make_removed_row("a", 30, era=1)], is_complete=False)
        directory.mark_store_restored(make_position(25, era=2))
        directory.apply_rows(
            [make_row("a", 10, era=2), make_row("b", 20, era=2)], is_complete=True
        )
        directory.apply_rows([make_removed_row("a", 27, era=2)], is_complete=False)
        clock.advance(UNCONFIRMED_SECONDS)
        directory.drop_expired(list_age=0.0)
        assert get_eligible_names(directory) == ["b"]


def test_changes_of_an_older_era_cause_no_polls() -> None:
    fleet = Fleet(3)
    fleet.run(4.0)
    fleet.store.write("lost")
    fleet.run(1.0)
    restore_store(fleet)
    fleet.run(3.0)
    plans = [gateway.plans[ListName.UPSTREAMS] for gateway in fleet.running_gateways]
    assert all(plan.is_caught_up for plan in plans)
