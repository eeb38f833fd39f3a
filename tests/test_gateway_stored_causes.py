"""
Tests of the causes of crashes in the platform's store
======================================================
"""

import msgspec
import pytest

from damasklead.clock import ManualClock
from damasklead.crash_attribution import MIN_CRASHES
from damasklead.crash_evidence import EXPLAINED_TTL_SECONDS
from damasklead.gateway.calls import Call
from damasklead.gateway.crash_containment import Containment
from damasklead.gateway.journal import Journal
from damasklead.gateway.stored_causes import (
    CAUSE_KEY,
    CAUSE_TABLE,
    MAX_RETRY_SECONDS,
    MAX_WRITERS,
    UPDATE_INTERVAL_SECONDS,
    WRITER_DELAY_SECONDS,
    StoredCauses,
)
from damasklead.ids import InstanceId
from damasklead.stores.base import Commit, Put
from damasklead.stores.memory import Faults, MemoryTableService
from tests.test_gateway_crash_containment import call, replica

POISON, SOUND = call("/poison"), call("/sound")
UNIX_SECONDS = 1_800_000_000.0


class Gateway:
    """
    A gateway with its own way to the store.

    Parameters
    ----------
    offset : float
        Seconds by which its wall clock is ahead.
    """

    def __init__(
        self,
        name: str,
        *,
        clock: ManualClock,
        tables: MemoryTableService,
        rank: int = 0,
        offset: float = 0.0,
    ) -> None:
        self.journal = Journal(instance=name)
        self.rank = rank
        self.containment = Containment(
            clock=clock, on_quarantine=lambda _: None, instance=InstanceId(name)
        )
        self.stored = StoredCauses(
            containment=self.containment,
            tables=lambda: tables,
            get_rank=lambda: self.rank,
            clock=clock,
            get_unix_time=lambda: UNIX_SECONDS + clock.now() + offset,
            journal=self.journal,
        )

    def refuses(self, item: Call) -> bool:
        return self.containment.should_refuse(item)

    def count_events(self, name: str) -> int:
        return sum(f"event={name} " in line for line in self.journal.pending_lines)


class Fleet:
    """Gateways that tell each other of crashes, before one store."""

    def __init__(self, count: int, *, offsets: tuple[float, ...] = (0.0,)) -> None:
        self.clock = ManualClock(start=1_000.0)
        self.faults = Faults()
        self.tables = MemoryTableService(faults=self.faults)
        self._offsets = offsets
        self._count = count
        self._crashes = 0
        self.start()

    def start(self) -> None:
        """Start all gateways; what those before knew is lost."""
        self.gateways = [
            Gateway(
                f"g{number}",
                clock=self.clock,
                tables=self.tables,
                rank=number,
                offset=self._offsets[number % len(self._offsets)],
            )
            for number in range(self._count)
        ]

    def crash(self, item: Call, *, count: int = MIN_CRASHES) -> None:
        """Have a request crash some replicas, as the first gateway sees it."""
        for _ in range(count):
            self._crashes += 1
            record = replica(f"r{self._crashes}")
            first = self.gateways[0].containment
            first.record_broken_response(record, item)
            first.record_connection_failure(record)
        self.run(1.5)

    def run(self, seconds: float) -> None:
        """Exchange what gateways know, and update the row at each interval."""
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            self.clock.advance(UPDATE_INTERVAL_SECONDS)
            reports = [g.containment.recent_crashes for g in self.gateways]
            exonerations = [g.containment.recent_exonerations for g in self.gateways]
            for gateway in self.gateways:
                for index in range(len(self.gateways)):
                    gateway.containment.record_crash_reports(reports[index])
                    gateway.containment.record_exonerations(exonerations[index])
                gateway.containment.update_quarantine()
                gateway.stored.update()


@pytest.mark.parametrize("count", [1, 3, 8])
def test_what_crashes_replicas_is_refused_after_all_gateways_were_lost(
    count: int,
) -> None:
    """Nothing was refused until it had crashed three replicas more."""
    fleet = Fleet(count)
    fleet.run(1.0)
    fleet.crash(POISON)
    fleet.run(2.0)
    for _ in range(2):
        fleet.start()
        fleet.run(UPDATE_INTERVAL_SECONDS)
        for gateway in fleet.gateways:
            assert gateway.refuses(POISON)
            assert not gateway.refuses(SOUND)


def test_gateways_that_are_cut_off_from_the_store_are_made_up_for() -> None:
    fleet = Fleet(MAX_WRITERS)
    fleet.run(1.0)
    cut_off = MemoryTableService(faults=Faults(down=True))
    for gateway in fleet.gateways[:-1]:
        gateway.stored._tables = lambda: cut_off
    fleet.crash(POISON)
    fleet.run(MAX_WRITERS * WRITER_DELAY_SECONDS)
    fleet.start()
    fleet.run(UPDATE_INTERVAL_SECONDS)
    assert all(gateway.refuses(POISON) for gateway in fleet.gateways)


def test_a_store_that_is_away_at_the_start_is_read_later() -> None:
    fleet = Fleet(2)
    fleet.crash(POISON)
    fleet.start()
    fleet.faults.down = True
    calls = fleet.tables.read_count
    fleet.run(60.0)
    assert fleet.tables.read_count - calls <= 2 * (60.0 / MAX_RETRY_SECONDS + 5)
    assert not any(gateway.refuses(POISON) for gateway in fleet.gateways)
    assert fleet.gateways[0].count_events("crash-causes-unavailable")
    fleet.faults.down = False
    fleet.run(MAX_RETRY_SECONDS + 1.0)
    assert all(gateway.refuses(POISON) for gateway in fleet.gateways)


def test_a_gateway_that_has_not_read_the_row_does_not_replace_it() -> None:
    fleet = Fleet(1)
    fleet.crash(POISON)
    fleet.start()
    fleet.faults.down = True
    fleet.crash(call("/other"))
    fleet.faults.down = False
    fleet.run(2 * MAX_RETRY_SECONDS)
    fleet.start()
    fleet.run(UPDATE_INTERVAL_SECONDS)
    (gateway,) = fleet.gateways
    assert gateway.refuses(POISON)
    assert gateway.refuses(call("/other"))


def test_two_gateways_that_write_at_once_lose_nothing() -> None:
    """Each takes itself for the first: they know nothing of each other."""
    clock, tables = ManualClock(start=1_000.0), MemoryTableService(faults=Faults())
    names = ("g0", "g1")
    gateways = [Gateway(name, clock=clock, tables=tables) for name in names]
    for gateway, item in zip(gateways, (POISON, call("/other")), strict=True):
        gateway.stored.update()
        for number in range(MIN_CRASHES):
            record = replica(f"{item.head.target}{number}")
            gateway.containment.record_broken_response(record, item)
            gateway.containment.record_connection_failure(record)
    clock.advance(1.5)
    for gateway in gateways:
        gateway.containment.update_quarantine()
    for _ in range(4):
        for gateway in gateways:
            gateway.stored.update()
    later = Gateway("g2", clock=clock, tables=tables)
    later.stored.update()
    assert later.refuses(POISON)
    assert later.refuses(call("/other"))


def test_what_has_succeeded_since_is_not_refused_after_a_start() -> None:
    fleet = Fleet(2)
    fleet.crash(POISON)
    fleet.gateways[1].containment.record_success(POISON)
    fleet.run(2.0)
    fleet.start()
    fleet.run(UPDATE_INTERVAL_SECONDS)
    assert not any(gateway.refuses(POISON) for gateway in fleet.gateways)


@pytest.mark.parametrize("offsets", [(0.0,), (0.0, 5.0), (0.0, -5.0)])
def test_a_store_that_returns_to_an_older_copy_revives_no_released_cause(
    offsets: tuple[float, ...],
) -> None:
    """Also with clocks that differ by some seconds."""
    fleet = Fleet(2, offsets=offsets)
    fleet.crash(POISON)
    backup = fleet.tables.make_backup()
    fleet.start()
    fleet.run(1.0)
    fleet.gateways[1].containment.record_success(POISON)
    fleet.run(2.0)
    fleet.tables.restore_backup(backup)
    fleet.run(3.0)
    assert not any(gateway.refuses(POISON) for gateway in fleet.gateways)
    fleet.start()
    fleet.run(UPDATE_INTERVAL_SECONDS)
    assert not any(gateway.refuses(POISON) for gateway in fleet.gateways)


def test_causes_that_a_restored_store_lacks_are_written_again() -> None:
    fleet = Fleet(2)
    fleet.run(1.0)
    backup = fleet.tables.make_backup()
    fleet.crash(POISON)
    fleet.run(1.0)
    fleet.tables.restore_backup(backup)
    fleet.run(3.0)
    # Any call shows the new era; gateways make others all the time.
    fleet.start()
    fleet.run(UPDATE_INTERVAL_SECONDS)
    assert all(gateway.refuses(POISON) for gateway in fleet.gateways)


def test_a_lost_answer_to_a_write_is_made_up_for() -> None:
    fleet = Fleet(1)
    fleet.run(1.0)
    fleet.faults.lose_answers = 1
    fleet.crash(POISON)
    fleet.run(MAX_RETRY_SECONDS)
    commits = fleet.tables.commit_count
    fleet.run(60.0)
    assert fleet.tables.commit_count == commits
    fleet.start()
    fleet.run(UPDATE_INTERVAL_SECONDS)
    assert fleet.gateways[0].refuses(POISON)


@pytest.mark.parametrize("offset", [-5.0, 0.0, 5.0])
def test_stored_causes_expire_after_a_day(offset: float) -> None:
    fleet = Fleet(1, offsets=(offset,))
    fleet.crash(POISON)
    fleet.clock.advance(EXPLAINED_TTL_SECONDS - 60.0)
    fleet.start()
    fleet.run(1.0)
    assert fleet.gateways[0].refuses(POISON)
    fleet.clock.advance(120.0)
    fleet.run(1.0)
    assert not fleet.gateways[0].refuses(POISON)
    fleet.start()
    fleet.run(1.0)
    assert not fleet.gateways[0].refuses(POISON)


@pytest.mark.parametrize(
    "value", [b"", b"\xc1", b"x" * 40, msgspec.msgpack.encode({"causes": []})]
)
def test_a_row_that_cannot_be_read_is_logged_and_replaced(value: bytes) -> None:
    fleet = Fleet(1)
    row = Put(table=CAUSE_TABLE, key=CAUSE_KEY, value=value)
    fleet.tables.commit(Commit(conditions=(), writes=(row,)))
    fleet.run(1.0)
    assert fleet.gateways[0].count_events("crash-causes-unreadable") == 1
    fleet.crash(POISON)
    fleet.start()
    fleet.run(UPDATE_INTERVAL_SECONDS)
    assert fleet.gateways[0].refuses(POISON)


def test_many_gateways_make_few_calls() -> None:
    """Each reads once; some of the first ones try to write a change, and one does."""
    fleet = Fleet(40)
    fleet.run(2.0)
    assert (fleet.tables.read_count, fleet.tables.commit_count) == (40, 0)
    fleet.crash(POISON)
    fleet.run(80.0)
    assert fleet.tables.read_count == 40
    assert fleet.tables.commit_count <= MAX_WRITERS
    assert sum(g.count_events("crash-causes-stored") for g in fleet.gateways) == 1
