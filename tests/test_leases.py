"""
Tests of leases
===============
"""

import pytest

from damasklead.audit import AuditEvent
from damasklead.clock import ManualClock
from damasklead.ids import Incarnation, InstanceId
from damasklead.leases import EXPIRY, RENEW_DEADLINE_SECONDS, LeaseKeeper
from damasklead.protocol import run
from tests.faulty import Fault, FaultyStore, Task


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def store() -> FaultyStore:
    return FaultyStore()


def make_lease_keeper(name: str, clock: ManualClock) -> LeaseKeeper:
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
