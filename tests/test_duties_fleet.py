"""
Tests of duties under failures
==============================

Each test names the failure of the holder, the store, the API or the clocks that it
guards against.  The fleet runs on a clock that the test advances.
"""

import random

import gevent
import msgspec
import pytest
from result import Result

from damasklead.clock import ManualClock
from damasklead.gateway.dialect import PeerEntry
from damasklead.gateway.duties.base import ApiFault
from damasklead.gateway.duties.contention import compute_contention_rank
from damasklead.gateway.duties.lease_task import DUTIES_TABLE, LeaseTask
from damasklead.gateway.duties.true_time import TrueTime
from damasklead.gateway.duties.usage_counts import UsageCounter
from damasklead.gateway.duties.usage_reports import UsageState
from damasklead.ids import InstanceId, WorkspaceId
from damasklead.leases import decode_lease
from damasklead.stores.base import (
    Commit,
    Committed,
    Conflict,
    Delete,
    Put,
    StoreError,
)
from damasklead.stores.memory import TableBackup
from tests.duties_kit import BOUNDS, UNIX_START, World

# Time from the start until the first holder makes calls.
START_SECONDS = 12.0


@pytest.fixture
def world() -> World:
    created = World()
    created.run(START_SECONDS)
    return created


def check_reports(world: World, *, since: float = 1000.0) -> None:
    """Check all windows that are due, and all rules."""
    until = world.clock.now()
    world.run(12.0)
    world.check_safety()
    assert world.list_failures(since=since, until=until) == []


def test_gateways_that_start_together_agree_on_one_holder(world: World) -> None:
    """Guards against windows without report at the start, and many store calls."""
    assert len(world.holders) == 1
    assert world.store_calls <= 25
    check_reports(world)


def test_holder_renews_alone(world: World) -> None:
    """Guards against calls of gateways that hear the holder."""
    before = world.store_calls
    world.run(20.0)
    # One renewal each second, one write each window, and few repetitions of that.
    assert world.store_calls - before <= 20 + 4 + 3
    check_reports(world)


def test_killed_holder_is_replaced(world: World) -> None:
    """Guards against a window that nobody reports in time."""
    for _ in range(3):
        world.kill(world.holder)
        world.run(12.0)
        assert len(world.holders) == 1
    check_reports(world)


def test_holder_and_deputy_killed_at_once_are_replaced(world: World) -> None:
    """
    Guards against counts of other gateways that are lost with both.

    Those of the two killed gateways themselves are lost for the open windows, a third
    of the requests of this fleet.
    """
    deputy = world.gateways[world.holder.duties.directory.deputy]
    world.kill(world.holder)
    world.kill(deputy)
    killed_at = world.clock.now()
    world.run(12.0)
    assert len(world.holders) == 1
    until = world.clock.now()
    world.run(12.0)
    world.check_safety()
    assert world.list_failures(since=1000.0, until=until, tolerance=0.4) == []
    assert world.list_failures(since=killed_at, until=until) == []


def test_data_centre_without_power_takes_the_holder_with_it(world: World) -> None:
    """Guards against a deputy in the holder's data centre."""
    data_centre = world.holder.entry.data_centre
    for gateway in list(world.gateways.values()):
        if gateway.entry.data_centre == data_centre:
            world.kill(gateway)
    world.run(12.0)
    assert len(world.holders) == 1
    check_reports(world)


@pytest.mark.parametrize("seconds", [1.0, 2.0, 3.0, 5.0, 9.0])
def test_frozen_holder_does_not_act_on_a_lease_that_has_ended(
    world: World, seconds: float
) -> None:
    """Guards against calls after a freeze with the token of a lost lease."""
    holder = world.holder
    holder.is_frozen = True
    world.run(seconds)
    holder.is_frozen = False
    world.run(12.0)
    assert len(world.holders) == 1
    check_reports(world)


def test_holder_that_the_store_rejects_is_replaced(world: World) -> None:
    """Guards against a rejected gateway of rank 0 that keeps others from the lease."""
    first = world.holder
    first.tables.is_cut = True
    world.run(4.0)
    assert not first.duties.is_holder
    world.run(8.0)
    assert world.holder is not first
    first.tables.is_cut = False
    world.run(8.0)
    check_reports(world)


def test_first_ranks_that_the_store_rejects_are_passed_over() -> None:
    """Guards against a start in which only rejected gateways contend."""
    world = World()
    world.run(START_SECONDS)
    for _ in range(2):
        world.holder.tables.is_cut = True
        world.run(12.0)
    assert len(world.holders) == 1
    check_reports(world)


def test_holder_that_cannot_reach_the_api_repeats_the_same_counts(
    world: World,
) -> None:
    """Guards against reports that are lost or changed while the API is away."""
    world.api_fault = ApiFault.UNREACHABLE
    world.run(6.0)
    world.api_fault = None
    world.run(6.0)
    check_reports(world)


@pytest.mark.parametrize("fault", list(ApiFault))
def test_long_fault_of_the_api_ends_with_reports_of_all_windows(
    world: World, fault: ApiFault
) -> None:
    """Guards against windows that are given up while a call may still succeed."""
    since = world.clock.now()
    world.api_fault = fault
    world.run(30.0)
    world.api_fault = None
    world.run(12.0)
    world.check_safety()
    reported = {call.window for call in world.calls}
    failures = world.list_failures(since=since, until=world.clock.now() - 12.0)
    assert not [text for text in failures if "no report" in text], reported


def test_lost_responses_of_the_api_lead_to_equal_reports(world: World) -> None:
    """Guards against a second report with other counts after an unanswered call."""
    for gateway in world.gateways.values():
        gateway.api.loses_responses = True
    world.run(12.0)
    world.kill(world.holder)
    world.run(12.0)
    for gateway in world.gateways.values():
        gateway.api.loses_responses = False
    check_reports(world)


def test_slow_api_gets_no_call_of_an_earlier_holder_after_one_of_a_later(
    world: World,
) -> None:
    """Guards against a delayed call that arrives with a lower token."""
    for gateway in world.gateways.values():
        gateway.api.delay = 1.19
    for _ in range(3):
        world.run(8.0)
        world.holder.tables.is_cut = True
        world.run(8.0)
        for gateway in world.gateways.values():
            gateway.tables.is_cut = False
    for gateway in world.gateways.values():
        gateway.api.delay = 0.0
    check_reports(world)


def test_stopped_holder_hands_the_lease_over_at_once(world: World) -> None:
    """Guards against the expiry that a stop in turn need not wait for."""
    first = world.holder
    world.stop(first)
    world.run(0.5)
    assert world.holder is not first
    world.run(4.0)
    world.kill(first)
    check_reports(world)


@pytest.mark.parametrize("delay", [0.3, 1.5, 4.0])
def test_writes_that_take_effect_late_change_no_report(
    world: World, delay: float
) -> None:
    """Guards against a late write of the lease or the counts of an earlier attempt."""
    for _ in range(4):
        world.holder.tables.delays_commits = delay
        world.run(1.3)
        for gateway in world.gateways.values():
            gateway.tables.delays_commits = 0.0
        world.run(6.7)
    world.run(8.0)
    check_reports(world)


def test_lost_responses_of_the_store_are_read_back(world: World) -> None:
    """Guards against a holder that gives up a lease it has, or writes counts twice."""
    for gateway in world.gateways.values():
        gateway.tables.loses_responses = True
    world.run(20.0)
    assert len(world.holders) == 1
    check_reports(world)


def test_restored_store_reports_no_window_again_with_other_counts(
    world: World,
) -> None:
    """Guards against a window that is closed twice, and against lower tokens."""
    for pause in (1.0, 6.0, 9.0, 12.0):
        backup = world.tables.make_backup()
        world.run(pause)
        world.tables.restore_backup(backup)
        world.run(16.0)
        assert len(world.holders) == 1
    check_reports(world)


def test_store_restored_while_the_holder_is_killed(world: World) -> None:
    """Guards against other counts when the last holder's memory is lost, too."""
    for _ in range(3):
        backup = world.tables.make_backup()
        world.run(7.0)
        world.kill(world.holder)
        world.tables.restore_backup(backup)
        world.run(16.0)
        assert len(world.holders) == 1
    world.run(12.0)
    world.check_safety()


def test_unavailable_store_delays_reports_only(world: World) -> None:
    """Guards against calls without a lease, and a flood of calls to a store."""
    world.store_is_down = True
    before = world.store_calls
    world.run(20.0)
    assert world.holders == []
    assert world.store_calls - before <= 20 * 12
    world.store_is_down = False
    since = world.clock.now()
    world.run(12.0)
    check_reports(world, since=since)


def test_all_gateways_killed_at_once_lose_only_unreported_windows(
    world: World,
) -> None:
    """Guards against reports that contradict those of the fleet before."""
    names = list(world.gateways)
    for name in names:
        world.kill(world.gateways[name])
    world.run(2.0)
    for name in names:
        world.start(name)
    since = world.clock.now()
    world.run(16.0)
    check_reports(world, since=since)


def test_datagrams_that_are_lost_change_no_counts(world: World) -> None:
    """Guards against counts that depend on a single datagram."""
    world.loss = 0.1
    world.run(60.0)
    check_reports(world)


def test_wall_clock_that_jumps_changes_no_window(world: World) -> None:
    """Guards against requests that are counted in another window."""
    for gateway in list(world.gateways.values())[:2]:
        gateway.clock_error = 7.0
        world.run(8.0)
        gateway.clock_error = -4.0
        world.run(8.0)
        gateway.clock_error = 0.0
    world.holder.clock_error = 11.0
    world.run(12.0)
    check_reports(world)


def test_gateway_that_starts_with_a_wrong_clock_counts_right(world: World) -> None:
    """Guards against a clock that is wrong already when the process starts."""
    name = next(n for n in world.gateways if n != world.holder.name)
    world.kill(world.gateways[name])
    world.start(name).clock_error = 0.0
    world.gateways[name].duties.true_time.adopt(world.unix_time + 6.0)
    world.run(12.0)
    check_reports(world, since=world.clock.now() - 5.0)


def test_of_two_that_believe_they_hold_the_lease_only_the_later_one_acts(
    world: World,
) -> None:
    """Guards against counts that an earlier holder makes final after a later one."""
    first = world.holder
    first.is_frozen = True
    world.run(12.0)
    second = world.holder if not first.duties.is_holder else None
    assert second is not None
    # The first one's clock has stood still: it believes that its lease is valid.
    lease = first.duties.authority
    lease._keeper._valid_until = world.clock.now() + 1000.0  # type: ignore[attr-defined]
    first.is_frozen = False
    call_count = len(world.calls)
    for _ in range(20):
        world.run(0.5)
        assert {call.holder for call in world.calls[call_count:]} <= {second.holder}
    check_reports(world, since=world.clock.now() - 8.0)


def test_lost_lease_row_leads_to_no_token_twice(world: World) -> None:
    """Guards against tokens that begin at 1 again when the store loses the row."""
    token = world.holder.duties.authority.identity.token
    removal = Delete(table=DUTIES_TABLE, key="lease")
    world.tables.commit(Commit(conditions=(), writes=(removal,)))
    call_count = len(world.calls)
    world.run(12.0)
    assert len(world.holders) == 1
    assert world.holder.duties.authority.identity.token > token
    assert max(call.token for call in world.calls[call_count:]) > token
    check_reports(world)


def test_gateway_that_stops_during_its_acquisition_releases_the_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a lease that a stopped gateway keeps without renewing it."""
    world = World(count=1)
    (gateway,) = world.gateways.values()
    commit = gateway.tables.commit

    def commit_slowly(request: Commit) -> Result[Committed | Conflict, StoreError]:
        gevent.sleep(0.02)
        return commit(request)

    monkeypatch.setattr(gateway.tables, "commit", commit_slowly)
    for _ in range(2):
        # The store's era is new to the gateway, which waits for the expiry.
        world.clock.advance(5.0)
        acquisition = gevent.spawn(gateway.duties.poll_lease)
        gevent.sleep(0.0)
    assert not gateway.duties.is_holder and not acquisition.ready()
    gateway.duties.release()
    acquisition.get(timeout=5.0)
    assert not gateway.duties.is_holder
    (row,) = world.tables.read(DUTIES_TABLE, ("lease",)).ok_value
    assert decode_lease(row).holder == ""
    assert gateway.duties.directory.is_released


def test_unreadable_lease_row_is_read_less_and_less_often(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a read by each contender every 0.5 s while the row is damaged."""
    world = World(count=1)
    (gateway,) = world.gateways.values()
    damage = Put(table=DUTIES_TABLE, key="lease", value=b"[")
    world.tables.commit(Commit(conditions=(), writes=(damage,)))
    lease = gateway.duties.authority
    assert isinstance(lease, LeaseTask)
    end = world.clock.now() + 60.0

    def sleep(seconds: float) -> None:
        world.clock.advance(max(seconds, 0.01))
        if world.clock.now() >= end:
            raise gevent.GreenletExit

    class SimEvent:
        def wait(self, timeout: float) -> None:
            sleep(timeout)

        def clear(self) -> None:
            pass

    monkeypatch.setattr(lease, "_wake_up", SimEvent())
    monkeypatch.setattr(gevent, "sleep", sleep)
    with pytest.raises(gevent.GreenletExit):
        lease.run()
    # The longest pause is 2 s, shortened by a fifth at random.
    assert 20 <= world.store_calls <= 60.0 / 1.6 + 3


@pytest.mark.parametrize("windows_ahead", [4, 10**6])
def test_closed_window_in_the_future_does_not_end_the_reports(
    world: World, monkeypatch: pytest.MonkeyPatch, windows_ahead: int
) -> None:
    """
    Guards against a damaged row that ends the reports without a log line.

    A row that is only some seconds ahead may be right and the clock late: its windows
    must not be reported again.
    """
    events: list[str] = []
    for gateway in world.gateways.values():
        monkeypatch.setattr(
            gateway.journal, "event", lambda name, **_: events.append(name)
        )
    length = BOUNDS.usage_window_seconds
    current = int(world.unix_time // length)
    state = UsageState(closed=current + windows_ahead, era=world.tables.era)
    damage = Put(table=DUTIES_TABLE, key="usage", value=msgspec.json.encode(state))
    world.tables.commit(Commit(conditions=(), writes=(damage,)))
    call_count = len(world.calls)
    world.run(10.0)
    assert "usage-row-ahead" in events
    world.run(5 * length)
    world.check_safety()
    reported = [call.window for call in world.calls[call_count:]]
    assert reported
    if windows_ahead == 4:
        assert min(reported) > state.closed
    check_reports(world, since=world.clock.now() - 2 * length)


# The later seeds have found faults: 121 a time adopted from a notice that waited during
# a freeze; 182 a row read after the restore under a lease from before; 230 and 453 a
# window closed by a write whose response was lost, unannounced; 442 a backup of a
# state that an earlier restore had undone.
@pytest.mark.parametrize("seed", [*range(20), 121, 139, 182, 230, 442, 453])
def test_no_rule_is_broken_by_failures_that_coincide(seed: int) -> None:
    """Guards against combinations of failures that no other test has."""
    world = World(count=5, seed=seed)
    choices = random.Random(seed)
    backups = [world.tables.make_backup()]
    for _ in range(60):
        world.run(choices.choice((0.3, 0.7, 1.5, 3.0, 5.0)), rate=5.0)
        inject_failure(world, choices, backups)
        assert len({call.token for call in world.calls}) < 100
    heal(world)
    world.run(30.0)
    since = world.clock.now()
    world.run(12.0)
    assert len(world.holders) == 1
    check_reports(world, since=since)


def heal(world: World) -> None:
    """End all failures."""
    world.store_is_down, world.api_fault, world.loss = False, None, 0.0
    world.cut_pairs.clear()
    for name in list(world.entries):
        if name not in world.gateways:
            world.start(name)
    for gateway in world.gateways.values():
        gateway.is_frozen = gateway.tables.is_cut = gateway.api.is_cut = False
        gateway.tables.loses_responses = gateway.api.loses_responses = False
        gateway.tables.delays_commits = gateway.api.delay = gateway.clock_error = 0.0


def inject_failure(
    world: World, choices: random.Random, backups: list[TableBackup]
) -> None:
    """Begin or end one failure, more often of the holder than of another gateway."""
    backups.append(world.tables.make_backup())
    gateways = list(world.gateways.values())
    if not gateways:
        heal(world)
        return
    gateway = choices.choice(gateways)
    if world.holders and choices.random() < 0.6:
        gateway = world.holders[0]
    kind = choices.randrange(16)
    if kind == 0:
        world.kill(gateway)
    elif kind == 1:
        gateway.is_frozen = not gateway.is_frozen
    elif kind == 2:
        gateway.tables.is_cut = not gateway.tables.is_cut
    elif kind == 3:
        gateway.tables.loses_responses = not gateway.tables.loses_responses
    elif kind == 4:
        gateway.tables.delays_commits = choices.choice((0.0, 0.4, 2.0, 5.0))
    elif kind == 5:
        gateway.api.is_cut = not gateway.api.is_cut
    elif kind == 6:
        gateway.api.loses_responses = not gateway.api.loses_responses
    elif kind == 7:
        gateway.api.delay = choices.choice((0.0, 0.5, 1.19))
    elif kind == 8:
        world.tables.restore_backup(choices.choice(backups[-6:]))
    elif kind == 9:
        world.loss = choices.choice((0.0, 0.1, 0.5))
    elif kind == 10:
        world.cut_pairs = {
            frozenset(choices.sample(sorted(world.entries), 2)) for _ in range(4)
        }
    elif kind == 11:
        gateway.clock_error = choices.choice((0.0, 5.0, -6.0))
    elif kind == 12:
        world.api_fault = choices.choice((None, *ApiFault))
    elif kind == 13:
        world.store_is_down = not world.store_is_down
    else:
        heal(world)


def test_requests_of_the_first_moments_of_a_fleet_are_reported() -> None:
    """Guards against requests that no gateway dates before the true time is known."""
    world = World()
    started_at = world.clock.now()
    # The first window ends two seconds after the start.
    length = BOUNDS.usage_window_seconds
    assert (UNIX_START + started_at) % length == 0.0
    world = World(start=started_at + length - 2.0)
    # Counts are sent every 0.75 s, as in a large fleet.
    world.steps_per_counts = 15
    world.run(16.0)
    check_reports(world, since=started_at - 0.1)


def test_rate_of_calls_of_the_store_in_a_start_of_many_gateways() -> None:
    """Guards against a start in which every gateway polls the lease."""
    world = World(count=60)
    world.run(START_SECONDS, rate=1.0)
    assert len(world.holders) == 1
    assert world.store_calls <= 40


def test_holder_that_alone_is_cut_off_from_the_api_is_replaced(world: World) -> None:
    """Guards against a holder that keeps the lease but can't use it."""
    first = world.holder
    first.api.is_cut = True
    world.run(20.0)
    assert world.holder is not first
    first.api.is_cut = False
    check_reports(world)


def test_lease_does_not_move_without_end_while_the_api_is_down(world: World) -> None:
    """Guards against gateways that hand the lease on faster than one of them reports."""
    token = world.holder.duties.authority.identity.token
    world.api_fault = ApiFault.UNREACHABLE
    world.run(120.0)
    assert world.holder.duties.authority.identity.token - token <= 6
    world.api_fault = None
    since = world.clock.now()
    world.run(12.0)
    check_reports(world, since=since)


def test_api_that_responds_with_errors_does_not_move_the_lease(world: World) -> None:
    """Guards against a handover that would help nobody."""
    first = world.holder
    world.api_fault = ApiFault.LIMITED
    world.run(20.0)
    assert world.holder is first


def test_only_gateway_keeps_the_lease_while_the_api_is_down() -> None:
    """Guards against a release that leaves no holder."""
    world = World(count=1)
    world.run(START_SECONDS)
    world.api_fault = ApiFault.UNREACHABLE
    world.run(20.0)
    token = world.holder.duties.authority.identity.token
    world.api_fault = None
    since = world.clock.now()
    world.run(12.0)
    assert world.holder.duties.authority.identity.token == token
    check_reports(world, since=since)


ODD_ROWS = [
    b"", b"[]", b"\xff", b"[" * 10_000, b'{"closed":-1}', b'{"closed":1e400}',
    b'{"closed":99999999999999999999999}', b'{"unsent":[[1]]}',
    b'{"holder":"x","incarnation":1,"fencing":99999999999999999999999,"beat":0}',
]  # fmt: skip


@pytest.mark.parametrize("key", ["lease", "usage"])
@pytest.mark.parametrize("value", ODD_ROWS)
def test_odd_rows_do_not_end_a_gateway(world: World, key: str, value: bytes) -> None:
    """Guards against a row that nobody can read and that ends one gateway by another."""
    world.tables.commit(
        Commit(conditions=(), writes=(Put(table=DUTIES_TABLE, key=key, value=value),))
    )
    for gateway in world.gateways.values():
        gateway.catches_errors = True
    world.run(12.0)
    world.check_safety()
    if key == "usage":
        assert len(world.holders) == 1


def test_holder_whose_lease_was_taken_over_closes_no_window(world: World) -> None:
    """Guards against counts that a holder makes final which gets no counts any more."""
    first = world.holder
    first.is_frozen = True
    while [item for item in world.holders if item is not first] == []:
        world.run(0.05)
    (second,) = [item for item in world.holders if item is not first]
    (row,) = world.tables.read(DUTIES_TABLE, ("usage",)).ok_value
    # The first one's clock has stood still: it believes that its lease is valid.
    lease = first.duties.authority
    lease._keeper._valid_until = world.clock.now() + 1000.0  # type: ignore[attr-defined]
    first.is_frozen = False
    # The second one waits for the counts of all gateways before it closes a window.
    world.run(1.5)
    assert second.duties.is_holder
    assert world.tables.read(DUTIES_TABLE, ("usage",)).ok_value == (row,)


def test_holder_that_heard_no_notice_before_a_restore_passes_windows_over(
    world: World,
) -> None:
    """Guards against other counts of windows that only killed gateways knew of."""
    lone = next(
        item
        for item in world.gateways.values()
        if item is not world.holder
        and item.name != world.holder.duties.directory.deputy
    )
    world.cut_pairs = {
        frozenset((lone.name, name)) for name in world.entries if name != lone.name
    }
    backup = world.tables.make_backup()
    world.run(8.0)
    for gateway in list(world.gateways.values()):
        if gateway is not lone:
            world.kill(gateway)
    world.tables.restore_backup(backup)
    call_count = len(world.calls)
    world.run(25.0)
    assert world.holder is lone and len(world.calls) > call_count
    world.check_safety()


def test_last_holder_contends_first_after_a_restore() -> None:
    """Guards against windows that are passed over although the last holder is alive."""
    members = [
        PeerEntry(instance=InstanceId(name), address="127.0.0.1:1", incarnation=1)
        for name in "abcdefgh"
    ]

    def rank(name: str, *, is_deputy_first: bool) -> int:
        others = [entry for entry in members if entry.instance != name]
        return compute_contention_rank(
            instance=name, cores=1.0, members=others, holder="a", deputy="b",
            is_deputy_first=is_deputy_first,
        )  # fmt: skip

    assert [rank(name, is_deputy_first=False) for name in "ab"] == [0, 1]
    assert [rank(name, is_deputy_first=True) for name in "ab"] == [0, 0]
    others = sorted(rank(name, is_deputy_first=True) for name in "cdefgh")
    assert others == [1, 2, 3, 4, 5, 6]


def test_each_change_of_counts_is_sent_three_times() -> None:
    """Guards against the last change of a window that is lost with one datagram."""
    clock = ManualClock(start=100.0)
    true_time = TrueTime(
        clock=clock, get_unix_time=lambda: UNIX_START + clock.now(), is_alone=True
    )
    counter = UsageCounter(window_seconds=5.0, clock=clock, true_time=true_time)
    counter.record(WorkspaceId("skippers"))
    sent = [counter.take_changes() for _ in range(5)]
    assert [len(windows) for windows in sent] == [1, 1, 1, 0, 0]
    counter.record(WorkspaceId("skippers"))
    assert counter.take_changes()[0].counts == {"skippers": 2}
