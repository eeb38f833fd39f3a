"""
Tests of the quarantine
=======================
"""

import random

import pytest

from damasklead.clock import ManualClock
from damasklead.ids import Fingerprint, Incarnation, InstanceId
from damasklead.quarantine import MAX_CRASHES, PROPAGATION_SECONDS, Quarantine

CRASHING_REQUEST = Fingerprint("poison")


def make_fingerprints(*names: str) -> frozenset[Fingerprint]:
    return frozenset(Fingerprint(name) for name in names)


class Fleet:
    """
    Entries that report crashes to each other, and replicas that one request crashes.
    """

    def __init__(self, *, entries: int, replicas: int, seed: int) -> None:
        self.clock = ManualClock()
        self.quarantines = [Quarantine(clock=self.clock) for _ in range(entries)]
        self.replicas = [InstanceId(f"r{number}") for number in range(replicas)]
        self.incarnations = dict.fromkeys(self.replicas, 1)
        self.crash_count = 0
        self.random = random.Random(seed)

    def choose_replica(self, entry: int, fingerprint: Fingerprint) -> InstanceId | None:
        allowed = self.quarantines[entry].get_allowed_replicas(
            fingerprint, self.replicas
        )
        return self.random.choice(sorted(allowed)) if allowed else None

    def run_crashing_request(self, entry: int, harmless_count: int) -> bool:
        """
        Run the crashing request, unless it is held; returns whether it ran.

        Parameters
        ----------
        entry : int
            The entry that sends the crashing request.
        harmless_count : int
            Number of harmless requests that each entry sends at the same time.
        """
        replica = self.choose_replica(entry, CRASHING_REQUEST)
        if replica is None:
            return False
        self.crash_count += 1
        incarnation = Incarnation(self.incarnations[replica])
        self.incarnations[replica] += 1
        for number in range(len(self.quarantines)):
            fingerprints = {
                item
                for index in range(harmless_count)
                if self.choose_replica(
                    number, item := Fingerprint(f"i{number}-{index}")
                )
                == replica
            }
            if number == entry:
                fingerprints.add(CRASHING_REQUEST)
            for other in self.quarantines:
                other.record_crash(replica, incarnation, frozenset(fingerprints))
        return True

    def advance_time(self) -> None:
        self.clock.advance(PROPAGATION_SECONDS)
        culprits = {
            item
            for quarantine in self.quarantines
            for item in quarantine.identify_culprits()
        }
        for quarantine in self.quarantines:
            for item in culprits:
                quarantine.add_fingerprint(item)


@pytest.mark.parametrize("seed", range(30))
def test_crashing_request_is_quarantined_within_max_crashes(seed: int) -> None:
    """The request is sent repeatedly to any entry, beside ten others at each entry."""
    fleet = Fleet(entries=8, replicas=6, seed=seed)
    for _ in range(20):
        entry = fleet.random.randrange(8)
        if fleet.quarantines[entry].is_quarantined(CRASHING_REQUEST):
            break
        fleet.run_crashing_request(entry, harmless_count=10)
        fleet.advance_time()
    assert all(
        quarantine.is_quarantined(CRASHING_REQUEST) for quarantine in fleet.quarantines
    )
    assert fleet.crash_count <= MAX_CRASHES


def test_completed_request_is_no_longer_a_suspect() -> None:
    quarantine = Quarantine(clock=ManualClock())
    quarantine.record_crash(
        InstanceId("r"), Incarnation(1), make_fingerprints("a", "b")
    )
    quarantine.record_success(Fingerprint("a"))
    assert not quarantine.is_suspect(Fingerprint("a"))
    assert quarantine.is_suspect(Fingerprint("b"))


def test_retracted_crash_leaves_no_suspects() -> None:
    quarantine = Quarantine(clock=ManualClock())
    quarantine.record_crash(InstanceId("r"), Incarnation(1), make_fingerprints("a"))
    quarantine.retract_crash(InstanceId("r"), Incarnation(1))
    assert not quarantine.is_suspect(Fingerprint("a"))


def test_release_with_a_known_number_has_no_effect() -> None:
    quarantine = Quarantine(clock=ManualClock())
    assert quarantine.add_fingerprint(CRASHING_REQUEST)
    assert quarantine.release_fingerprint(CRASHING_REQUEST, number=1)
    quarantine.add_fingerprint(CRASHING_REQUEST)
    assert not quarantine.release_fingerprint(CRASHING_REQUEST, number=1)
    assert quarantine.is_quarantined(CRASHING_REQUEST)


def test_culprits_are_identified_after_all_reports_have_arrived() -> None:
    clock = ManualClock()
    quarantine = Quarantine(clock=clock)
    first_crash = (InstanceId("r"), Incarnation(1))
    quarantine.record_crash(*first_crash, make_fingerprints("a", "poison"))
    clock.advance(PROPAGATION_SECONDS)
    assert quarantine.identify_culprits() == []
    second_crash = (InstanceId("s"), Incarnation(1))
    quarantine.record_crash(*second_crash, make_fingerprints("a"))
    assert quarantine.identify_culprits() == []
    quarantine.record_crash(*second_crash, make_fingerprints("poison"))
    clock.advance(PROPAGATION_SECONDS)
    assert quarantine.identify_culprits() == [], (
        "two suspects must not be quarantined yet"
    )
