"""
Tests of the quarantine
=======================
"""

import random

import pytest

from damasklead.clock import ManualClock
from damasklead.ids import Fingerprint, Incarnation, InstanceId
from damasklead.quarantine import MAX_CRASHES, PROPAGATION_SECONDS, Quarantine

POISON = Fingerprint("poison")


def fingerprints(*names: str) -> frozenset[Fingerprint]:
    return frozenset(Fingerprint(name) for name in names)


class Fleet:
    """
    Entries that hear of each other's crashes, and replicas that a request crashes.
    """

    def __init__(self, *, entries: int, replicas: int, seed: int) -> None:
        self.clock = ManualClock()
        self.quarantines = [Quarantine(clock=self.clock) for _ in range(entries)]
        self.replicas = [InstanceId(f"r{number}") for number in range(replicas)]
        self.incarnations = dict.fromkeys(self.replicas, 1)
        self.crashes = 0
        self.random = random.Random(seed)

    def choose(self, entry: int, fingerprint: Fingerprint) -> InstanceId | None:
        allowed = self.quarantines[entry].get_allowed_replicas(
            fingerprint, self.replicas
        )
        return self.random.choice(sorted(allowed)) if allowed else None

    def run_poison(self, entry: int, beside: int) -> bool:
        """Run the request beside innocents of all entries; returns whether it could."""
        replica = self.choose(entry, POISON)
        if replica is None:
            return False
        self.crashes += 1
        incarnation = Incarnation(self.incarnations[replica])
        self.incarnations[replica] += 1
        for number in range(len(self.quarantines)):
            own = {
                item
                for index in range(beside)
                if self.choose(number, item := Fingerprint(f"i{number}-{index}"))
                == replica
            }
            if number == entry:
                own.add(POISON)
            for other in self.quarantines:
                other.record_crash(replica, incarnation, frozenset(own))
        return True

    def pass_time(self) -> None:
        self.clock.advance(PROPAGATION_SECONDS)
        named = {
            item
            for quarantine in self.quarantines
            for item in quarantine.identify_culprits()
        }
        for quarantine in self.quarantines:
            for item in named:
                quarantine.add_fingerprint(item)


@pytest.mark.parametrize("seed", range(30))
def test_a_poisonous_request_crashes_a_bounded_number_of_replicas(seed: int) -> None:
    """It is sent again and again to any entry, beside ten innocents at each."""
    fleet = Fleet(entries=8, replicas=6, seed=seed)
    for _ in range(20):
        entry = fleet.random.randrange(8)
        if fleet.quarantines[entry].is_quarantined(POISON):
            break
        fleet.run_poison(entry, beside=10)
        fleet.pass_time()
    assert all(quarantine.is_quarantined(POISON) for quarantine in fleet.quarantines)
    assert fleet.crashes <= MAX_CRASHES


def test_one_that_ends_well_is_no_suspect() -> None:
    quarantine = Quarantine(clock=ManualClock())
    quarantine.record_crash(InstanceId("r"), Incarnation(1), fingerprints("a", "b"))
    quarantine.record_success(Fingerprint("a"))
    assert not quarantine.is_suspect(Fingerprint("a"))
    assert quarantine.is_suspect(Fingerprint("b"))


def test_a_crash_that_was_none_is_taken_back() -> None:
    quarantine = Quarantine(clock=ManualClock())
    quarantine.record_crash(InstanceId("r"), Incarnation(1), fingerprints("a"))
    quarantine.retract_crash(InstanceId("r"), Incarnation(1))
    assert not quarantine.is_suspect(Fingerprint("a"))


def test_a_release_is_taken_once() -> None:
    quarantine = Quarantine(clock=ManualClock())
    assert quarantine.add_fingerprint(POISON)
    assert quarantine.release_fingerprint(POISON, number=1)
    quarantine.add_fingerprint(POISON)
    assert not quarantine.release_fingerprint(POISON, number=1)
    assert quarantine.is_quarantined(POISON)


def test_naming_waits_until_all_entries_have_told() -> None:
    clock = ManualClock()
    quarantine = Quarantine(clock=clock)
    crash = (InstanceId("r"), Incarnation(1))
    quarantine.record_crash(*crash, fingerprints("a", "poison"))
    clock.advance(PROPAGATION_SECONDS)
    assert quarantine.identify_culprits() == []
    again = (InstanceId("s"), Incarnation(1))
    quarantine.record_crash(*again, fingerprints("a"))
    assert quarantine.identify_culprits() == []
    quarantine.record_crash(*again, fingerprints("poison"))
    clock.advance(PROPAGATION_SECONDS)
    assert quarantine.identify_culprits() == [], "two suspects are not told apart yet"
