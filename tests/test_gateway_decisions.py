"""
Tests of the gateway's decisions
================================

Directory of replicas, list followers, retry budget, journal, and placements.
"""

import msgspec
import pytest

from damasklead.clock import ManualClock
from damasklead.failures import Failure
from damasklead.gateway.budget import SharedRetryBudget
from damasklead.gateway.calls import (
    Call,
    CallHead,
    LoadHint,
    PromptPart,
    UpstreamRecord,
    UpstreamState,
)
from damasklead.gateway.dialect import Changes, Feed, FeedError, FeedFault
from damasklead.gateway.directory import (
    LAPSE_GRACE_SECONDS,
    MAX_REMEMBERED_REPLICAS,
    ListedRow,
    UpstreamDirectory,
)
from damasklead.gateway.events import EventSplitter
from damasklead.gateway.journal import MAX_BUFFERED_LINES, Journal
from damasklead.gateway.list_follower import ConfigurationFollower, ConfigurationSource
from damasklead.gateway.placements import EnginePlacement, PlainPlacement
from damasklead.gateway.poll_schedule import ListName, ListReports, ReadPlan
from damasklead.gateway.replica_follower import UpstreamFollower
from damasklead.gateway.routing import (
    EngineSpec,
    Route,
    RouteKind,
    RouteName,
    ServiceSpec,
)
from damasklead.gateway.store_positions import Position
from damasklead.ids import AttemptId, DataCentre, InstanceId, ServiceName
from tests.gateway_kit import IDEMPOTENT, SERVICE, make_position, make_table

LOCAL_DATA_CENTRE = DataCentre("hout")


def make_record(name: str, **changes: object) -> UpstreamRecord:
    content: dict = {
        "instance": InstanceId(name),
        "service": SERVICE,
        "address": "127.0.0.1:1",
        "data_centre": LOCAL_DATA_CENTRE,
        "state": UpstreamState.LIVE,
        "incarnation": 1,
    }
    return UpstreamRecord(**(content | changes))


def make_row(name: str, version: int, *, era: int = 0, **changes: object) -> ListedRow:
    return ListedRow(
        instance=InstanceId(name),
        position=make_position(version, era=era),
        record=make_record(name, **changes),
    )


def make_removed_row(name: str, version: int, *, era: int = 0) -> ListedRow:
    position = make_position(version, era=era)
    return ListedRow(instance=InstanceId(name), position=position, record=None)


def get_eligible_names(directory: UpstreamDirectory) -> list[str]:
    return [item.instance for item in directory.get_eligible_records(SERVICE)]


class TestDirectory:
    def make_directory_with_missing_entry(
        self, clock: ManualClock
    ) -> UpstreamDirectory:
        """Return a directory whose entry ``a`` may have expired in an outage."""
        directory = UpstreamDirectory(clock=clock)
        directory.apply_rows([make_row("a", 1), make_row("b", 2)], is_complete=True)
        directory.mark_list_unreachable()
        directory.mark_list_reachable()
        directory.apply_rows([make_removed_row("a", 3)], is_complete=False)
        assert get_eligible_names(directory) == ["a", "b"]
        return directory

    def test_a_missing_entry_of_a_snapshot_is_used_for_the_grace_time_only(
        self,
    ) -> None:
        """
        A gateway that started meanwhile kept replicas for ever that were gone.
        """
        clock = ManualClock(start=50.0)
        rows = self.make_directory_with_missing_entry(clock).list_rows()
        started = UpstreamDirectory(clock=clock)
        started.apply_rows(rows, is_complete=False)
        assert get_eligible_names(started) == ["a", "b"]
        clock.advance(LAPSE_GRACE_SECONDS)
        started.drop_expired(list_age=0.0)
        assert get_eligible_names(started) == ["b"]

    def test_an_entry_that_returns_is_passed_on_by_a_gateway_that_started_since(
        self,
    ) -> None:
        """
        Gateways for which the entry was missing dropped it, although it was listed.
        """
        clock = ManualClock(start=50.0)
        rows = self.make_directory_with_missing_entry(clock).list_rows()
        started = UpstreamDirectory(clock=clock)
        started.apply_rows(rows, is_complete=False)
        returned = make_row("a", 4, warm_up=1.0)
        assert started.affects_placement(returned)
        started.apply_rows([returned], is_complete=False)
        clock.advance(LAPSE_GRACE_SECONDS)
        started.drop_expired(list_age=0.0)
        assert get_eligible_names(started) == ["a", "b"]

    def test_an_entry_that_was_removed_and_returned_between_polls_is_passed_on(
        self,
    ) -> None:
        directory = UpstreamDirectory(clock=ManualClock())
        directory.apply_rows([make_row("a", 1)], is_complete=True)
        assert directory.affects_placement(make_row("a", 3))
        assert not directory.affects_placement(make_row("a", 3, warm_up=2.0))

    def test_a_snapshot_does_not_end_the_grace_time_of_a_missing_entry(self) -> None:
        clock = ManualClock(start=50.0)
        directory = self.make_directory_with_missing_entry(clock)
        directory.apply_rows(directory.list_rows(), is_complete=False)
        clock.advance(LAPSE_GRACE_SECONDS)
        directory.drop_expired(list_age=0.0)
        assert get_eligible_names(directory) == ["b"]

    def test_leaving_and_removed_replicas_get_no_requests(self) -> None:
        directory = UpstreamDirectory(clock=ManualClock())
        directory.apply_rows(
            [make_row("a", 1), make_row("b", 2), make_row("c", 3)], is_complete=True
        )
        directory.apply_rows(
            [make_row("a", 4, state=UpstreamState.LEAVING)], is_complete=False
        )
        directory.apply_rows([make_removed_row("b", 5)], is_complete=False)
        assert get_eligible_names(directory) == ["c"]

    def test_a_leaving_replica_stays_so_until_it_restarts(self) -> None:
        directory = UpstreamDirectory(clock=ManualClock())
        directory.apply_rows(
            [make_row("a", 1, state=UpstreamState.LEAVING)], is_complete=True
        )
        directory.apply_rows([make_row("a", 2)], is_complete=False)
        assert get_eligible_names(directory) == []
        directory.apply_rows([make_row("a", 3, incarnation=2)], is_complete=False)
        assert get_eligible_names(directory) == ["a"]

    def test_an_older_entry_does_not_replace_a_newer_one(self) -> None:
        directory = UpstreamDirectory(clock=ManualClock())
        directory.apply_rows(
            [make_row("a", 7, address="127.0.0.1:7")], is_complete=True
        )
        directory.apply_rows(
            [make_row("a", 6, address="127.0.0.1:6")], is_complete=False
        )
        assert directory.get_eligible_records(SERVICE)[0].address == "127.0.0.1:7"

    def test_entries_that_lapse_in_an_outage_are_kept_for_a_grace_period(
        self,
    ) -> None:
        clock = ManualClock()
        directory = UpstreamDirectory(clock=clock)
        directory.apply_rows([make_row("a", 1), make_row("b", 2)], is_complete=True)
        directory.mark_list_unreachable()
        clock.advance(5.0)
        directory.mark_list_reachable()
        directory.apply_rows(
            [make_removed_row("a", 3), make_removed_row("b", 4)], is_complete=False
        )
        assert get_eligible_names(directory) == ["a", "b"]
        clock.advance(1.0)
        directory.apply_rows([make_row("a", 5)], is_complete=False)
        clock.advance(1.5)
        directory.drop_expired(list_age=0.0)
        assert get_eligible_names(directory) == ["a"]

    def test_a_removal_long_after_an_outage_takes_effect_at_once(self) -> None:
        clock = ManualClock()
        directory = UpstreamDirectory(clock=clock)
        directory.apply_rows([make_row("a", 1), make_row("b", 2)], is_complete=True)
        directory.mark_list_unreachable()
        directory.mark_list_reachable()
        clock.advance(3.0)
        directory.apply_rows([make_removed_row("a", 3)], is_complete=False)
        assert get_eligible_names(directory) == ["b"]

    def test_a_drain_during_an_outage_takes_effect_at_once(self) -> None:
        directory = UpstreamDirectory(clock=ManualClock())
        directory.apply_rows([make_row("a", 1), make_row("b", 2)], is_complete=True)
        directory.mark_list_unreachable()
        directory.mark_list_reachable()
        rows = [make_row("a", 3, state=UpstreamState.LEAVING), make_row("b", 2)]
        directory.apply_rows(rows, is_complete=True)
        assert get_eligible_names(directory) == ["b"]

    def test_memory_of_removed_replicas_is_bounded(self) -> None:
        directory = UpstreamDirectory(clock=ManualClock())
        directory.apply_rows([make_row("a", 1)], is_complete=True)
        for number in range(MAX_REMEMBERED_REPLICAS + 10):
            directory.apply_rows(
                [make_row(f"x{number}", 2 * number + 2)], is_complete=False
            )
            directory.apply_rows(
                [make_removed_row(f"x{number}", 2 * number + 3)], is_complete=False
            )
        assert len(directory._positions) <= MAX_REMEMBERED_REPLICAS + 1
        assert len(directory._removals) <= MAX_REMEMBERED_REPLICAS
        assert get_eligible_names(directory) == ["a"]

    def test_memory_of_removed_leaving_replicas_is_bounded(self) -> None:
        directory = UpstreamDirectory(clock=ManualClock())
        for number in range(MAX_REMEMBERED_REPLICAS + 10):
            leaving = make_row(f"x{number}", 2 * number, state=UpstreamState.LEAVING)
            directory.apply_rows([leaving], is_complete=False)
            directory.apply_rows(
                [make_removed_row(f"x{number}", 2 * number + 1)], is_complete=False
            )
        assert len(directory._departed) <= MAX_REMEMBERED_REPLICAS

    def test_a_departed_replica_gets_no_requests(self) -> None:
        directory = UpstreamDirectory(clock=ManualClock())
        directory.apply_rows([make_row("a", 1)], is_complete=True)
        assert directory.mark_departed(InstanceId("a"), 1)
        assert not directory.mark_departed(InstanceId("a"), 1)
        assert get_eligible_names(directory) == []


def make_read_plan(clock: ManualClock) -> ReadPlan:
    return ReadPlan(
        name=ListName.ROUTING,
        clock=clock,
        reports=ListReports(clock=clock),
        rank=lambda: 0,
    )


class ScriptedFeed(Feed):
    """Returns or raises the scripted results, one for each call."""

    def __init__(self, *results: object) -> None:
        self.results = list(results)
        self.calls: list[object] = []

    def read(self) -> Changes:
        self.calls.append("read")
        return self._take_result()

    def poll_changes(self, cursor: Position, *, wait: float) -> Changes:
        self.calls.append(cursor.version)
        return self._take_result()

    def _take_result(self) -> Changes:
        result = self.results.pop(0)
        if isinstance(result, FeedError):
            raise result
        return result


def make_changes(
    *items: object, cursor: int, is_complete: bool = False, era: int = 0
) -> Changes:
    return Changes(
        items=list(items),
        is_complete=is_complete,
        cursor=make_position(cursor, era=era),
    )


class TestFollowing:
    def make_follower(
        self, *results: object
    ) -> tuple[ConfigurationFollower, ScriptedFeed]:
        feed = ScriptedFeed(*results)
        follower = ConfigurationFollower(
            feed=lambda: feed,
            plan=make_read_plan(ManualClock()),
            clock=ManualClock(),
            journal=Journal(instance="g"),
            on_change=lambda table: None,
        )
        return follower, feed

    def test_older_versions_of_the_configuration_are_ignored(self) -> None:
        follower, _ = self.make_follower(
            make_changes(make_table(5), cursor=10, is_complete=True),
            make_changes(make_table(3), cursor=11),
            make_changes(make_table(8), make_table(7), cursor=12),
        )
        versions = []
        for _ in range(3):
            follower.poll_once()
            assert follower.table is not None
            versions.append(follower.table.version)
        assert versions == [5, 5, 8]

    @pytest.mark.parametrize(
        "fault", [FeedFault.HISTORY_LOST, FeedFault.STALE, FeedFault.RESTORED]
    )
    def test_a_lost_history_or_a_stale_response_causes_a_full_read(
        self, fault: FeedFault
    ) -> None:
        follower, feed = self.make_follower(
            make_changes(make_table(5), cursor=10, is_complete=True),
            FeedError(fault, "test"),
            make_changes(make_table(6), cursor=30, is_complete=True),
            make_changes(cursor=31),
        )
        for _ in range(4):
            follower.poll_once()
        assert feed.calls == ["read", 10, "read", 30]
        assert follower.table is not None and follower.table.version == 6

    def test_versions_that_other_gateways_have_sent_are_all_read_again(self) -> None:
        """The store's changes contain each of them in full."""
        follower, feed = self.make_follower(
            make_changes(make_table(5), cursor=10, is_complete=True),
            make_changes(cursor=11),
            make_changes(make_table(8), cursor=30, is_complete=True),
            make_changes(cursor=31),
        )
        follower.poll_once()
        follower.poll_once()
        for version in (6, 7, 8):
            follower.apply_peer_configuration(
                make_table(version), source=ConfigurationSource.BROADCAST
            )
        follower.poll_once()
        follower.poll_once()
        assert feed.calls == ["read", 10, "read", 30]

    def test_an_outage_keeps_the_configuration_and_the_cursor(self) -> None:
        outage = FeedError(FeedFault.UNREACHABLE, "test")
        follower, feed = self.make_follower(
            make_changes(make_table(5), cursor=10, is_complete=True),
            outage,
            outage,
            make_changes(make_table(5), cursor=11, is_complete=True),
            make_changes(cursor=12),
        )
        pauses = [follower.poll_once() for _ in range(5)]
        # After a failed call, the newest version alone is read.
        assert feed.calls == ["read", 10, "read", "read", 11]
        assert follower.table is not None and follower.table.version == 5
        assert 0 < pauses[1] <= 0.1 and 0 < pauses[2] <= 0.2

    def test_an_outage_of_the_list_is_passed_to_the_directory(self) -> None:
        clock = ManualClock()
        directory = UpstreamDirectory(clock=clock)
        feed = ScriptedFeed(
            make_changes(make_row("a", 1), cursor=1, is_complete=True),
            FeedError(FeedFault.REFUSED, "test"),
            make_changes(make_removed_row("a", 2), cursor=2),
            make_changes(cursor=3),
        )
        eligible_counts: list[int] = []
        follower = UpstreamFollower(
            feed=lambda: feed,
            plan=make_read_plan(clock),
            clock=clock,
            journal=Journal(instance="g"),
            directory=directory,
            on_change=lambda: eligible_counts.append(
                len(get_eligible_names(directory))
            ),
        )
        for _ in range(3):
            follower.poll_once()
        assert get_eligible_names(directory) == ["a"]
        clock.advance(3.0)
        follower.expire()
        assert get_eligible_names(directory) == ["a"]  # the list wasn't read since
        follower.poll_once()
        follower.expire()
        assert eligible_counts[-1] == 0


class TestBudget:
    def test_all_gateways_together_stay_within_the_retry_ratio(self) -> None:
        clock = ManualClock()
        budgets = [
            SharedRetryBudget(clock=clock, ratio=0.2, allowance=56.0, window=10.0)
            for _ in range(12)
        ]
        for budget in budgets:
            budget.set_gateway_count(12)
        clock.advance(10.0)
        retry_count = 0
        for number in range(1200):
            budget = budgets[number % 12]
            budget.record_first_attempt(SERVICE)
            retry_count += budget.acquire_retry(SERVICE) + budget.acquire_retry(SERVICE)
            clock.advance(0.008)
        assert 0.1 * 1200 < retry_count <= 0.2 * 1200 + 56

    def test_each_service_has_its_own_budget(self) -> None:
        clock = ManualClock()
        budget = SharedRetryBudget(
            clock=clock, ratio=0.2, allowance=16.0, window=10.0, used_fraction=1.0
        )
        budget.set_gateway_count(16)
        clock.advance(10.0)
        assert budget.acquire_retry(SERVICE) and not budget.acquire_retry(SERVICE)
        assert budget.acquire_retry(ServiceName("other"))


class TestEvents:
    @pytest.mark.parametrize("ending", [b"\n\n", b"\r\n\r\n"])
    def test_events_do_not_depend_on_segment_boundaries(self, ending: bytes) -> None:
        stream = b"".join(b"id: %d\ndata: x%s" % (n, ending) for n in range(5))
        for cut in range(len(stream)):
            splitter = EventSplitter()
            output = splitter.feed(stream[:cut]) + splitter.feed(stream[cut:])
            assert (
                output == stream
                and splitter.last_id == b"4"
                and not splitter.has_partial_event
            )


def test_a_full_journal_drops_lines() -> None:
    journal = Journal(instance="g")
    for number in range(MAX_BUFFERED_LINES + 5):
        journal.event("tested", number=number)
    assert (
        len(journal.pending_lines) == MAX_BUFFERED_LINES and journal.dropped_count == 5
    )


def make_call(name: str, route: Route, *, parts: tuple = (), tokens: int = 0) -> Call:
    head = CallHead(
        method="POST", target="/", host="", attempt=AttemptId(name), caller_timeout=5.0,
        key=None, prompt=parts, prompt_tokens=tokens,
    )  # fmt: skip
    return Call(
        head=head, route=route, service=SERVICE, workspace=None, arrival=0.0,
        deadline=5.0, caller_deadline=5.0, tier=route.tier,
    )  # fmt: skip


def make_stream_route(name: str, gap: float) -> Route:
    return Route(
        name=RouteName(name), host="h", prefix=f"/{name}/", kind=RouteKind.STREAM,
        timeout=5.0, target=0.5, tier=0, split=((SERVICE, 1.0),), event_gap=gap,
    )  # fmt: skip


CHAT, REVIEW = make_stream_route("chat", 0.15), make_stream_route("review", 0.6)


@pytest.mark.parametrize(
    ("tier", "route_tier", "urgency"), [(0, 0, 0), (0, 2, 2), (1, 1, 4), (1, 7, 5)]
)
def test_urgency_orders_by_the_workspaces_tier_and_then_by_the_routes(
    tier: int, route_tier: int, urgency: int
) -> None:
    call = make_call("q", msgspec.structs.replace(CHAT, tier=route_tier))
    call.tier = tier
    assert call.urgency == urgency


class TestPlainPlacement:
    def make_placement(self, *records: UpstreamRecord) -> PlainPlacement:
        self.clock = ManualClock()
        placement = PlainPlacement(
            service=ServiceSpec(name=SERVICE, max_connections=10),
            clock=self.clock,
            data_centre=LOCAL_DATA_CENTRE,
        )
        placement.update_replicas(records)
        return placement

    def test_requests_spread_over_local_replicas_first(self) -> None:
        far = DataCentre("mossel")
        placement = self.make_placement(
            make_record("a"), make_record("b"), make_record("c", data_centre=far)
        )
        chosen_instances = []
        for number in range(3):
            call = make_call(f"q{number}", IDEMPOTENT)
            replica = placement.choose_replica(call)
            assert replica is not None
            placement.record_sent(replica.instance, call)
            chosen_instances.append(replica.instance)
        assert sorted(chosen_instances[:2]) == ["a", "b"] and chosen_instances[2] == "c"

    def test_a_failing_replica_is_avoided_for_a_time(self) -> None:
        placement = self.make_placement(make_record("a"), make_record("b"))
        call = make_call("q", IDEMPOTENT)
        for _ in range(3):
            placement.record_failure(InstanceId("a"), call, Failure.BROKEN)
        replicas = [
            placement.choose_replica(make_call(f"r{n}", IDEMPOTENT)) for n in range(9)
        ]
        assert {item.instance for item in replicas if item} == {"b"}

    def test_a_replica_that_has_failed_very_often_is_tried_again(self) -> None:
        placement = self.make_placement(make_record("a"))
        for _ in range(1200):
            placement.record_failure(
                InstanceId("a"), make_call("q", IDEMPOTENT), Failure.BROKEN
            )
        self.clock.advance(5.0)
        assert placement.choose_replica(make_call("r", IDEMPOTENT)) is not None

    def test_a_stalled_replica_is_avoided(self) -> None:
        placement = self.make_placement(make_record("a"), make_record("b"))
        for number in range(4):
            placement.record_sent(InstanceId("a"), make_call(f"q{number}", IDEMPOTENT))
        for number in range(9):
            placement.record_sent(InstanceId("b"), make_call(f"r{number}", IDEMPOTENT))
        self.clock.advance(1.0)
        placement.record_response_head(InstanceId("b"), None)
        replica = placement.choose_replica(make_call("s", IDEMPOTENT))
        assert replica is not None and replica.instance == "b"

    def test_requests_of_other_gateways_count_by_the_load_hint(self) -> None:
        placement = self.make_placement(make_record("a"), make_record("b"))
        placement.record_response_head(InstanceId("a"), LoadHint(6, 4, 6))
        replica = placement.choose_replica(make_call("s", IDEMPOTENT))
        assert replica is not None and replica.instance == "b"


def add_prefill(placement: EnginePlacement, instance: InstanceId, tokens: int) -> None:
    """Record a request that adds to an engine's prefill backlog."""
    placement.record_sent(
        instance, make_call(f"x-{instance}-{tokens}", REVIEW, tokens=tokens)
    )


class TestEnginePlacement:
    def make_placement(self, count: int = 9) -> EnginePlacement:
        self.clock = ManualClock()
        service = ServiceSpec(
            name=SERVICE,
            max_connections=100,
            engine=EngineSpec(slots=64, memory_tokens=100_000, tokens_per_event=4),
        )
        placement = EnginePlacement(
            service=service, clock=self.clock, data_centre=LOCAL_DATA_CENTRE
        )
        placement.configure(service, [CHAT, REVIEW])
        placement.update_replicas(make_record(f"e{number}") for number in range(count))
        return placement

    def test_streams_with_short_event_gaps_have_reserved_engines(self) -> None:
        placement = self.make_placement()
        for number in range(40):
            chat = placement.choose_replica(make_call(f"c{number}", CHAT, tokens=700))
            review = placement.choose_replica(
                make_call(f"r{number}", REVIEW, tokens=9000)
            )
            assert chat is not None and chat.instance in placement.reserved_instances
            assert (
                review is not None
                and review.instance not in placement.reserved_instances
            )

    def test_all_gateways_reserve_the_same_engines(self) -> None:
        assert (
            self.make_placement().reserved_instances
            == self.make_placement().reserved_instances
        )

    def test_a_shared_prefix_goes_to_the_same_engine_at_every_gateway(self) -> None:
        parts = (
            PromptPart("contract", 2500),
            PromptPart("subject", 3700),
            PromptPart("own", 2900),
        )
        chosen_instances = set()
        for number in range(8):
            call = make_call(f"r{number}", REVIEW, parts=parts, tokens=9100)
            chosen = self.make_placement().choose_replica(call)
            assert chosen is not None
            chosen_instances.add(chosen.instance)
        assert len(chosen_instances) == 1

    def test_a_hot_prefix_spreads_over_engines_before_it_queues(self) -> None:
        parts = (
            PromptPart("contract", 2500),
            PromptPart("hot", 3700),
            PromptPart("own", 2900),
        )
        placement = self.make_placement()
        chosen_instances = []
        for number in range(12):
            call = make_call(f"r{number}", REVIEW, parts=parts, tokens=9100)
            chosen = placement.choose_replica(call)
            assert chosen is not None
            placement.record_sent(chosen.instance, call)
            chosen_instances.append(chosen.instance)
        assert len(set(chosen_instances)) >= 3

    def test_a_burst_of_short_gap_streams_reserves_more_engines_for_a_time(
        self,
    ) -> None:
        placement = self.make_placement()
        before = placement.reserved_instances
        for _ in range(4):
            for instance in placement.reserved_instances:
                placement.record_response_head(instance, LoadHint(50, 0, 64))
            self.clock.advance(0.6)
        assert (
            before < placement.reserved_instances
            and len(placement.reserved_instances) == 5
        )
        for _ in range(6):
            self.clock.advance(3.1)
            for instance in placement.reserved_instances:
                placement.record_response_head(instance, LoadHint(2, 0, 64))
        assert placement.reserved_instances == before

    def test_gateways_that_differ_by_one_engine_agree_on_the_others(self) -> None:
        first, second = self.make_placement(), self.make_placement()
        second.record_response_head(
            min(second.reserved_instances), LoadHint(64, 90, 64)
        )
        assert first.reserved_instances <= second.reserved_instances

    def test_requests_sent_earlier_count_as_prefill_backlog(self) -> None:
        placement = self.make_placement()
        call = make_call("r", REVIEW, tokens=9000)
        first = placement.choose_replica(call)
        assert first is not None and placement.has_capacity_for(call)
        for instance in placement.eligible_instances:
            if instance not in placement.reserved_instances:
                add_prefill(placement, instance, 38_000)
        assert not placement.has_capacity_for(call)
        add_prefill(placement, first.instance, 58_000)
        other = placement.choose_replica(call)
        assert other is not None and other.instance != first.instance

    def test_only_the_least_urgent_routes_queue_for_capacity(self) -> None:
        """
        Guards against starvation of short urgent prompts.

        They used to queue while longer, less urgent prompts started.
        """
        quote = msgspec.structs.replace(make_stream_route("quote", 0.25), tier=1)
        review = msgspec.structs.replace(REVIEW, target=1.5, tier=2)
        placement = self.make_placement()
        placement.configure(placement.service, [CHAT, quote, review])
        for instance in placement.eligible_instances:
            add_prefill(placement, instance, 19_200)
        late_quote = make_call("q", quote, tokens=1800)
        self.clock.advance(1.0)
        assert placement.bypasses_queue(late_quote)
        assert not placement.bypasses_queue(make_call("r", review, tokens=1800))
        assert not placement.has_capacity_for(make_call("r", review, tokens=1800))

    def test_routes_without_an_event_gap_target_use_unreserved_capacity(self) -> None:
        plain = msgspec.structs.replace(REVIEW, event_gap=None, target=1.0)
        placement = self.make_placement()
        placement.configure(placement.service, [plain])
        assert not placement.reserved_instances
        for instance in placement.eligible_instances:
            add_prefill(placement, instance, 6400)
        assert placement.has_capacity_for(make_call("r", plain, tokens=1800))


def test_short_prompts_may_use_reserved_engines_with_a_short_backlog() -> None:
    placement = TestEnginePlacement().make_placement()
    others = [f"e{n}" for n in range(9) if f"e{n}" not in placement.reserved_instances]
    for number, name in enumerate(others):
        busy = make_call(f"b{number}", REVIEW, tokens=9000)
        placement.record_sent(InstanceId(name), busy)
    short, long = (
        make_call(f"s{tokens}", REVIEW, tokens=tokens) for tokens in (1500, 6000)
    )
    chosen = placement.choose_replica(short)
    assert chosen is not None and chosen.instance in placement.reserved_instances
    placement.record_sent(chosen.instance, short)
    second = placement.choose_replica(long)
    assert second is not None and second.instance not in placement.reserved_instances
    for name in placement.reserved_instances:
        placement.record_sent(name, make_call(f"full-{name}", CHAT, tokens=2500))
    third = placement.choose_replica(make_call("third", REVIEW, tokens=1500))
    assert third is not None and third.instance not in placement.reserved_instances


# A datagram may list thousands of departures.
def test_departures_that_arrive_together_are_indexed_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    directory = UpstreamDirectory(clock=ManualClock())
    directory.apply_rows([make_row("r1", 1), make_row("r2", 2)], is_complete=True)
    rebuild, calls = UpstreamDirectory._rebuild_index, []
    monkeypatch.setattr(
        UpstreamDirectory,
        "_rebuild_index",
        lambda directory: calls.append(rebuild(directory)),
    )
    departures = [(InstanceId("r1"), number) for number in range(1, 500)]
    assert directory.mark_all_departed(departures) == departures
    assert len(calls) == 1
    assert not directory.mark_all_departed(departures[-1:])
    assert len(calls) == 1
