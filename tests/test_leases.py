"""
Tests of leases
===============
"""

from collections.abc import Callable

import pytest

from damasklead.audit import AuditEvent
from damasklead.clock import ManualClock
from damasklead.ids import Incarnation, InstanceId, StoreEra
from damasklead.leases import (
    EXPIRY,
    LEASES_TABLE,
    RENEW_DEADLINE_SECONDS,
    LeaseKeeper,
)
from damasklead.protocol import perform, run
from damasklead.stores.base import Commit, Delete
from damasklead.stores.memory import MemoryTableService
from tests.faulty import Fault, FaultyStore, Task


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def store() -> FaultyStore:
    return FaultyStore()


def make_lease_keeper(
    name: str,
    clock: ManualClock,
    tables: MemoryTableService | None = None,
    *,
    get_era: Callable[[], StoreEra] | None = None,
    get_known_token: Callable[[], int] = lambda: 0,
) -> LeaseKeeper:
    def make_event(duty: str, previous_holder: str) -> AuditEvent:
        return AuditEvent(
            id=f"{name}-{clock.now()}", at=0.0, who=name, action="lease", subject=duty
        )

    return LeaseKeeper(
        duty="duty",
        instance=InstanceId(name),
        incarnation=Incarnation(1),
        clock=clock,
        new_event=make_event,
        get_era=get_era or (lambda: StoreEra(0) if tables is None else tables.era),
        get_known_token=get_known_token,
    )


def test_lease_of_a_stopped_holder_is_acquired_after_expiry(
    clock: ManualClock, store: FaultyStore
) -> None:
    first, second = make_lease_keeper("a", clock), make_lease_keeper("b", clock)
    run(first.poll(), store.platform)
    assert first.fencing_token == 1
    run(second.poll(), store.platform)
    clock.advance(EXPIRY - 0.1)
    run(second.poll(), store.platform)
    assert second.fencing_token is None
    assert first.fencing_token is None, (
        "the holder must stop before the next one starts"
    )
    clock.advance(0.2)
    run(second.poll(), store.platform)
    assert second.fencing_token == 2


def test_released_lease_is_acquired_at_once(
    clock: ManualClock, store: FaultyStore
) -> None:
    first, second = make_lease_keeper("a", clock), make_lease_keeper("b", clock)
    run(first.poll(), store.platform)
    run(first.release(), store.platform)
    assert first.fencing_token is None
    run(second.poll(), store.platform)
    assert second.fencing_token == 2


def test_renewal_with_a_lost_response_counts_from_its_first_write(
    clock: ManualClock, store: FaultyStore
) -> None:
    """
    The renewal took effect, but its response was lost and reading it back failed.  Its
    confirmation after a pause must not extend the lease, since the other instance counts
    the expiry from the first write.
    """
    first, second = make_lease_keeper("a", clock), make_lease_keeper("b", clock)
    run(first.poll(), store.platform)
    clock.advance(1.0)
    renewal = Task(first.poll())
    renewal.step(store, Fault.LOST_AFTER)
    renewal.step(store, Fault.DOWN)
    run(second.poll(), store.platform)
    clock.advance(RENEW_DEADLINE_SECONDS - 1.5)
    run(first.poll(), store.platform)
    clock.advance(EXPIRY - RENEW_DEADLINE_SECONDS + 2.0)
    run(second.poll(), store.platform)
    assert first.fencing_token is None or second.fencing_token is None


@pytest.mark.parametrize("fault", [Fault.LOST_AFTER, Fault.TWICE])
def test_acquisition_with_a_lost_response_is_confirmed_by_reading_back(
    clock: ManualClock, store: FaultyStore, fault: Fault
) -> None:
    keeper = make_lease_keeper("a", clock)
    task = Task(keeper.poll())
    task.step(store, Fault.NONE)
    task.step(store, fault)
    while not task.done:
        task.step(store, Fault.NONE)
    assert keeper.fencing_token == 1


def test_lost_row_leads_to_a_higher_token_after_the_expiry(
    clock: ManualClock, store: FaultyStore
) -> None:
    """Guards against a token that is used twice when the store loses only the row."""
    tables = store.platform.tables
    assert isinstance(tables, MemoryTableService)
    tables.restore_backup(tables.make_backup())
    first = make_lease_keeper("a", clock, tables)
    announced = [0]
    second = make_lease_keeper(
        "b", clock, tables, get_known_token=lambda: announced[-1]
    )
    clock.advance(EXPIRY)
    run(first.poll(), store.platform)
    token = first.fencing_token
    assert token is not None
    announced.append(token)
    removal = Delete(table=LEASES_TABLE, key="duty")
    tables.commit(Commit(conditions=(first.row_condition,), writes=(removal,)))
    run(second.poll(), store.platform)
    assert second.fencing_token is None, "the first holder may still act"
    run(first.poll(), store.platform)
    assert first.fencing_token is None
    run(first.poll(), store.platform)
    assert first.fencing_token is None
    clock.advance(EXPIRY - 0.1)
    run(second.poll(), store.platform)
    assert second.fencing_token is None
    clock.advance(0.2)
    run(second.poll(), store.platform)
    assert second.fencing_token == token + 1


class TestRestoredTables:
    """The table service comes back from a backup that is some seconds old."""

    @pytest.fixture
    def tables(self, store: FaultyStore) -> MemoryTableService:
        tables = store.platform.tables
        assert isinstance(tables, MemoryTableService)
        return tables

    def test_two_holders_never_get_the_same_fencing_token(
        self, clock: ManualClock, store: FaultyStore, tables: MemoryTableService
    ) -> None:
        first, second, third = (
            make_lease_keeper(name, clock, tables) for name in ("a", "b", "c")
        )
        run(first.poll(), store.platform)
        run(first.release(), store.platform)
        backup = tables.make_backup()
        run(second.poll(), store.platform)
        token = second.fencing_token
        tables.restore_backup(backup)
        run(third.poll(), store.platform)
        assert second.fencing_token == token and third.fencing_token is None
        clock.advance(EXPIRY)
        run(third.poll(), store.platform)
        assert token is not None and third.fencing_token is not None
        assert third.fencing_token > token

    def test_a_holder_has_stopped_before_another_one_starts(
        self, clock: ManualClock, store: FaultyStore, tables: MemoryTableService
    ) -> None:
        backup = tables.make_backup()
        first, second = (make_lease_keeper(name, clock, tables) for name in ("a", "b"))
        run(first.poll(), store.platform)
        assert first.fencing_token is not None
        tables.restore_backup(backup)
        for _ in range(2 * int(EXPIRY)):
            run(second.poll(), store.platform)
            assert first.fencing_token is None or second.fencing_token is None
            clock.advance(1.0)
        assert second.fencing_token is not None

    def test_a_holder_of_an_older_era_stops_although_its_row_is_in_the_backup(
        self, clock: ManualClock, store: FaultyStore, tables: MemoryTableService
    ) -> None:
        """
        The holder was paused, and another one's acquisition is lost: the row has the
        version of the first holder's last renewal again.
        """
        first, second = (make_lease_keeper(name, clock, tables) for name in ("a", "b"))
        run(first.poll(), store.platform)
        backup = tables.make_backup()
        run(second.poll(), store.platform)
        clock.advance(EXPIRY)
        run(second.poll(), store.platform)
        assert second.fencing_token is not None
        tables.restore_backup(backup)
        run(first.poll(), store.platform)
        assert first.fencing_token is None

    def test_a_renewal_that_meets_the_new_era_gives_no_permission(
        self, clock: ManualClock, store: FaultyStore, tables: MemoryTableService
    ) -> None:
        eras = [StoreEra(0)]
        first = make_lease_keeper("a", clock, get_era=lambda: eras[-1])
        run(first.poll(), store.platform)
        steps = first.poll()
        commit = next(steps)
        eras.append(StoreEra(1))  # named by the response to the renewal
        with pytest.raises(StopIteration):
            steps.send(perform(store.platform, commit))
        assert first.fencing_token is None

    def test_a_new_entry_waits_for_holders_that_the_backup_lacks(
        self, clock: ManualClock, store: FaultyStore, tables: MemoryTableService
    ) -> None:
        tables.restore_backup(tables.make_backup())
        late = make_lease_keeper("late", clock, tables)
        run(late.poll(), store.platform)
        assert late.fencing_token is None
        clock.advance(EXPIRY)
        run(late.poll(), store.platform)
        assert late.fencing_token is not None
