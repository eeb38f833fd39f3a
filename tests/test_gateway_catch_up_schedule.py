"""
Tests of the schedule by which a gateway asks others for what it lacks
======================================================================
"""

import random
from collections import Counter

import pytest

from damasklead.clock import ManualClock
from damasklead.gateway.catch_up_schedule import (
    MAX_BEHIND_PAUSE_SECONDS,
    MAX_BUSY_PAUSE_SECONDS,
    MAX_UNCONFIRMED_PAUSE_SECONDS,
    MAX_UNCONFIRMED_SECONDS,
    MIN_BEHIND_PAUSE_SECONDS,
    MIN_UNCONFIRMED_PAUSE_SECONDS,
    STORE_GRACE_SECONDS,
    CatchUpCause,
    CatchUpSchedule,
    Fetch,
    FetchOutcome,
)
from damasklead.gateway.poll_schedule import (
    REPORTED_CHANGE_TTL_SECONDS,
    ListName,
    ListReport,
    ListReports,
    ReadPlan,
)
from damasklead.gateway.snapshot import Referral
from damasklead.gateway.store_positions import INITIAL_POSITION, Position
from tests.gateway_kit import make_position

PEERS = ("g1", "g2", "g3", "g4")
EPSILON_SECONDS = 0.001


class Lagging:
    """The schedule of a gateway that has read version 5 of both lists from the store."""

    def __init__(self, *, peers: tuple[str, ...] = PEERS, seed: int = 1) -> None:
        self.clock = ManualClock(start=100.0)
        self.peers = list(peers)
        self.reports = ListReports(clock=self.clock)
        self.plans = [
            ReadPlan(name=name, clock=self.clock, reports=self.reports, rank=lambda: 3)
            for name in ListName
        ]
        for plan in self.plans:
            plan.record_response(
                reported=INITIAL_POSITION, last_change=make_position(5)
            )
        self.schedule = CatchUpSchedule(
            plans=self.plans,
            peers=lambda: self.peers,
            clock=self.clock,
            random_source=random.Random(seed),
        )

    def announce(self, name: ListName, position: Position, *, age_ms: int = -1) -> None:
        """Record a report of another gateway on one list."""
        reports = [ListReport(make_position(5), -1) for _ in ListName]
        reports[name] = ListReport(position, age_ms)
        self.reports.record_reports(reports)

    def fail(self) -> None:
        """Record that calls to the store have failed."""
        for plan in self.plans:
            plan.record_failure(gateway_count=5, jitter=1.0)

    def confirm(self) -> None:
        """Record that another gateway's lists have just been confirmed."""
        self.reports.record_reports([ListReport(make_position(5), 0)] * 2)

    def fetch(self) -> Fetch:
        fetch = self.schedule.next_fetch()
        assert fetch is not None
        return fetch

    def measure_pause(self) -> float:
        """Advance the clock until a fetch is due; return the seconds."""
        since = self.clock.now()
        while self.schedule.next_fetch() is None:
            self.clock.advance(EPSILON_SECONDS)
            assert self.clock.now() - since < 60.0
        return self.clock.now() - since


@pytest.mark.parametrize("name", ListName)
def test_gateways_that_the_store_serves_ask_others_for_each_change(
    name: ListName,
) -> None:
    lagging = Lagging()
    assert lagging.schedule.next_fetch() is None
    lagging.announce(name, make_position(6))
    assert lagging.schedule.is_behind
    assert lagging.schedule.next_fetch() is None
    lagging.clock.advance(STORE_GRACE_SECONDS - EPSILON_SECONDS)
    assert lagging.schedule.next_fetch() is None
    lagging.plans[name].record_response(
        reported=make_position(6), last_change=make_position(6)
    )
    lagging.clock.advance(1.0)
    assert lagging.schedule.next_fetch() is None


@pytest.mark.parametrize("name", ListName)
def test_a_store_that_accepts_calls_and_answers_none_delays_a_change(
    name: ListName,
) -> None:
    lagging = Lagging()
    lagging.announce(name, make_position(6))
    assert lagging.schedule.next_fetch() is None
    lagging.clock.advance(STORE_GRACE_SECONDS + EPSILON_SECONDS)
    assert lagging.fetch().cause is CatchUpCause.BEHIND


@pytest.mark.parametrize("name", ListName)
def test_a_gateway_that_the_store_turns_away_waits_before_it_asks(
    name: ListName,
) -> None:
    lagging = Lagging()
    lagging.fail()
    assert lagging.schedule.next_fetch() is None
    lagging.announce(name, make_position(6))
    assert lagging.fetch().cause is CatchUpCause.BEHIND


def test_the_grace_of_an_earlier_change_is_counted_for_the_next_one() -> None:
    lagging = Lagging()
    lagging.announce(ListName.ROUTING, make_position(6))
    assert lagging.schedule.next_fetch() is None
    lagging.plans[ListName.ROUTING].record_response(
        reported=make_position(6), last_change=make_position(6)
    )
    lagging.clock.advance(STORE_GRACE_SECONDS)
    assert lagging.schedule.next_fetch() is None
    lagging.announce(ListName.ROUTING, make_position(7))
    assert lagging.schedule.next_fetch() is None


def test_a_version_that_all_holders_have_lost_is_asked_for_forever() -> None:
    lagging = Lagging()
    lagging.fail()
    lagging.announce(ListName.ROUTING, make_position(6))
    assert lagging.fetch().cause is CatchUpCause.BEHIND
    lagging.clock.advance(REPORTED_CHANGE_TTL_SECONDS + EPSILON_SECONDS)
    lagging.confirm()
    assert not lagging.schedule.is_behind
    assert lagging.schedule.next_fetch() is None


def test_a_gateway_that_hears_nobody_relies_on_its_lists_forever() -> None:
    lagging = Lagging()
    lagging.fail()
    lagging.clock.advance(MAX_UNCONFIRMED_SECONDS - EPSILON_SECONDS)
    assert lagging.schedule.next_fetch() is None
    lagging.clock.advance(2 * EPSILON_SECONDS)
    assert lagging.fetch().cause is CatchUpCause.UNCONFIRMED


def test_a_gateway_whose_lists_others_confirm_asks_all_the_same() -> None:
    lagging = Lagging()
    for _ in range(20):
        lagging.fail()
        lagging.clock.advance(0.5)
        lagging.confirm()
        assert lagging.schedule.next_fetch() is None


def test_a_gateway_whose_store_answers_asks_when_others_are_silent() -> None:
    lagging = Lagging()
    lagging.clock.advance(10.0)
    assert lagging.schedule.next_fetch() is None


@pytest.mark.parametrize("outcome", [FetchOutcome.BUSY, FetchOutcome.FAILED])
def test_missed_broadcasts_are_forgotten_after_a_fetch_without_response(
    outcome: FetchOutcome,
) -> None:
    lagging = Lagging()
    lagging.schedule.record_missed_broadcasts()
    fetch = lagging.fetch()
    assert fetch.cause is CatchUpCause.MISSED_BROADCASTS
    lagging.schedule.record_outcome(fetch, outcome)
    assert lagging.measure_pause() <= MIN_UNCONFIRMED_PAUSE_SECONDS
    lagging.schedule.record_outcome(lagging.fetch(), FetchOutcome.NOTHING_NEWER)
    lagging.clock.advance(10.0)
    assert lagging.schedule.next_fetch() is None


def test_missed_broadcasts_are_forgotten_while_a_configuration_is_fetched() -> None:
    lagging = Lagging()
    lagging.fail()
    lagging.schedule.record_missed_broadcasts()
    lagging.announce(ListName.ROUTING, make_position(6))
    fetch = lagging.fetch()
    assert fetch.cause is CatchUpCause.BEHIND
    assert fetch.needs_events
    lagging.schedule.record_missed_broadcasts()
    lagging.plans[ListName.ROUTING].record_peer_update(
        last_change=make_position(6), complete_up_to=make_position(6)
    )
    lagging.schedule.record_outcome(fetch, FetchOutcome.NEWER)
    fetch = lagging.fetch()
    assert fetch.cause is CatchUpCause.MISSED_BROADCASTS
    assert fetch.needs_events
    lagging.schedule.record_outcome(fetch, FetchOutcome.NOTHING_NEWER)
    lagging.clock.advance(10.0)
    lagging.confirm()
    assert lagging.schedule.next_fetch() is None


def test_gateways_that_find_nothing_ask_in_a_tight_loop() -> None:
    lagging = Lagging()
    lagging.fail()
    lagging.announce(ListName.ROUTING, make_position(6))
    pause = MIN_BEHIND_PAUSE_SECONDS
    for _ in range(8):
        lagging.schedule.record_outcome(lagging.fetch(), FetchOutcome.NOTHING_NEWER)
        assert 0.5 * pause <= lagging.measure_pause() <= pause + 2 * EPSILON_SECONDS
        pause = min(2 * pause, MAX_BEHIND_PAUSE_SECONDS)


def test_gateways_ask_often_while_the_store_turns_all_away() -> None:
    lagging = Lagging()
    lagging.fail()
    lagging.clock.advance(MAX_UNCONFIRMED_SECONDS + EPSILON_SECONDS)
    pause = MIN_UNCONFIRMED_PAUSE_SECONDS
    for _ in range(5):
        lagging.schedule.record_outcome(lagging.fetch(), FetchOutcome.NOTHING_NEWER)
        assert 0.5 * pause <= lagging.measure_pause() <= pause + 2 * EPSILON_SECONDS
        pause = min(2 * pause, MAX_UNCONFIRMED_PAUSE_SECONDS)


def test_long_pauses_without_news_delay_an_announced_change() -> None:
    lagging = Lagging()
    lagging.fail()
    lagging.clock.advance(MAX_UNCONFIRMED_SECONDS + EPSILON_SECONDS)
    for _ in range(5):
        lagging.schedule.record_outcome(lagging.fetch(), FetchOutcome.NOTHING_NEWER)
        lagging.clock.advance(MAX_UNCONFIRMED_PAUSE_SECONDS)
    lagging.schedule.record_outcome(lagging.fetch(), FetchOutcome.NOTHING_NEWER)
    lagging.announce(ListName.ROUTING, make_position(6))
    assert lagging.fetch().cause is CatchUpCause.BEHIND


def test_a_fetch_that_brought_a_part_delays_the_rest() -> None:
    lagging = Lagging()
    lagging.fail()
    lagging.announce(ListName.ROUTING, make_position(9))
    for _ in range(6):
        lagging.schedule.record_outcome(lagging.fetch(), FetchOutcome.BUSY)
        lagging.clock.advance(MAX_BEHIND_PAUSE_SECONDS)
    lagging.schedule.record_outcome(lagging.fetch(), FetchOutcome.NEWER)
    assert lagging.schedule.next_fetch() is not None


def test_gateways_that_have_nothing_are_asked_again_and_again() -> None:
    """If a single gateway has a version, each second fetch goes to it."""
    lagging = Lagging(peers=tuple(f"g{number}" for number in range(360)))
    lagging.fail()
    lagging.schedule.record_holder("g7", ListName.ROUTING, make_position(6))
    lagging.schedule.record_holder("g8", ListName.ROUTING, make_position(5))
    lagging.announce(ListName.ROUTING, make_position(6))
    asked = []
    for _ in range(10):
        fetch = lagging.fetch()
        asked.append(fetch.peer)
        lagging.schedule.record_outcome(fetch, FetchOutcome.BUSY)
        lagging.clock.advance(MAX_BEHIND_PAUSE_SECONDS)
    assert asked[1::2] == ["g7"] * 5


def test_a_holder_that_has_left_is_asked() -> None:
    lagging = Lagging()
    lagging.fail()
    lagging.schedule.record_holder("gone", ListName.ROUTING, make_position(6))
    lagging.announce(ListName.ROUTING, make_position(6))
    for _ in range(10):
        fetch = lagging.fetch()
        assert fetch.peer in PEERS
        lagging.schedule.record_outcome(fetch, FetchOutcome.FAILED)
        lagging.clock.advance(MAX_BEHIND_PAUSE_SECONDS)


def test_gateways_that_have_left_are_remembered_forever() -> None:
    lagging = Lagging()
    for number in range(500):
        for name in ListName:
            lagging.schedule.record_holder(f"left{number}", name, make_position(7))
    for peer in PEERS:
        lagging.schedule.record_holder(peer, ListName.ROUTING, make_position(7))
    assert len(lagging.schedule._holders) < 50
    lagging.announce(ListName.ROUTING, make_position(7))
    assert lagging.schedule._find_holders() >= set(PEERS)


def test_all_gateways_ask_the_same_one_first() -> None:
    """They notice at the same moment that they lag, and one link can't serve all."""
    peers = tuple(f"g{number}" for number in range(72))
    asked: Counter[str] = Counter()
    for seed in range(72):
        lagging = Lagging(peers=peers, seed=seed)
        lagging.fail()
        lagging.schedule.record_holder("g7", ListName.ROUTING, make_position(6))
        lagging.announce(ListName.ROUTING, make_position(6))
        asked[lagging.fetch().peer] += 1
    assert max(asked.values()) <= 8 and len(asked) >= 36


def test_a_gateway_without_others_fails() -> None:
    lagging = Lagging(peers=())
    lagging.fail()
    lagging.schedule.record_missed_broadcasts()
    lagging.announce(ListName.ROUTING, make_position(6))
    lagging.clock.advance(10.0)
    assert lagging.schedule.next_fetch() is None


def test_a_restored_store_hides_that_a_configuration_is_newer_elsewhere() -> None:
    """The configuration's versions are the operators' and go on over restores."""
    lagging = Lagging()
    lagging.announce(ListName.ROUTING, make_position(6))
    # The store answers, but has lost the version.
    lagging.plans[ListName.ROUTING].record_response(
        reported=make_position(6), last_change=make_position(4)
    )
    assert lagging.schedule.next_fetch() is None
    lagging.clock.advance(STORE_GRACE_SECONDS + EPSILON_SECONDS)
    assert lagging.fetch().cause is CatchUpCause.BEHIND


def test_replicas_of_an_earlier_era_count_as_newer() -> None:
    lagging = Lagging()
    restored = make_position(3, era=1)
    lagging.plans[ListName.UPSTREAMS].record_peer_update(
        last_change=restored, complete_up_to=restored
    )
    lagging.fail()
    lagging.announce(ListName.UPSTREAMS, make_position(900))
    assert lagging.schedule.next_fetch() is None
    lagging.announce(ListName.UPSTREAMS, make_position(4, era=1))
    assert lagging.fetch().cause is CatchUpCause.BEHIND


def test_referrals_are_ignored() -> None:
    """A gateway with the version that is busy names one that has fetched it."""
    lagging = Lagging(peers=tuple(f"g{number}" for number in range(360)))
    lagging.fail()
    lagging.announce(ListName.ROUTING, make_position(6))
    fetch = lagging.fetch()
    lagging.schedule.record_referral(Referral(holders=["g9", "gone"], configuration=6))
    lagging.schedule.record_outcome(fetch, FetchOutcome.BUSY)
    assert lagging.measure_pause() <= MAX_BUSY_PAUSE_SECONDS + 2 * EPSILON_SECONDS
    assert lagging.fetch().peer == "g9"


@pytest.mark.parametrize("seed", range(5))
def test_a_gateway_that_is_known_to_be_busy_is_asked_before_a_referral(
    seed: int,
) -> None:
    """All go on asking the few that have had a version for longest."""
    peers = tuple(f"g{number}" for number in range(360))
    lagging = Lagging(peers=peers, seed=seed)
    lagging.fail()
    lagging.announce(ListName.ROUTING, make_position(6))
    for peer in peers[:100]:
        lagging.schedule.record_holder(peer, ListName.ROUTING, make_position(6))
    fetch = lagging.fetch()
    referral = Referral(holders=["g300", "gone"], configuration=6)
    lagging.schedule.record_referral(referral)
    lagging.schedule.record_outcome(fetch, FetchOutcome.BUSY)
    lagging.measure_pause()
    fetch = lagging.fetch()
    assert fetch.peer == "g300"
    lagging.schedule.record_outcome(fetch, FetchOutcome.NOTHING_NEWER)
    lagging.measure_pause()
    assert lagging.fetch().peer != "g300"


def test_busy_gateways_that_name_each_other_are_asked_forever() -> None:
    lagging = Lagging(peers=tuple(f"g{number}" for number in range(360)))
    lagging.fail()
    lagging.announce(ListName.ROUTING, make_position(6))
    asked = []
    for number in range(100):
        fetch = lagging.fetch()
        asked.append(fetch.peer)
        referral = Referral(holders=[f"g{number % 2}"], configuration=6)
        lagging.schedule.record_referral(referral)
        lagging.schedule.record_outcome(fetch, FetchOutcome.BUSY)
        lagging.measure_pause()
    assert len(set(asked)) >= 10


def test_gateways_with_an_outdated_referral_are_asked_for_the_next_version() -> None:
    lagging = Lagging()
    lagging.fail()
    lagging.schedule.record_referral(Referral(holders=["g1"], configuration=5))
    lagging.schedule.record_holder("g2", ListName.ROUTING, make_position(6))
    lagging.announce(ListName.ROUTING, make_position(6))
    for _ in range(10):
        lagging.schedule.record_outcome(lagging.fetch(), FetchOutcome.BUSY)
        lagging.clock.advance(MAX_BEHIND_PAUSE_SECONDS)
        assert lagging.fetch().peer == "g2"
        lagging.schedule.record_outcome(lagging.fetch(), FetchOutcome.BUSY)
        lagging.clock.advance(MAX_BEHIND_PAUSE_SECONDS)
