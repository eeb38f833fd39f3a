"""
Tests of cells and their coordinators
=====================================

Most tests replay the load pattern that a decision is made for, on a manual clock.  Those
of the assignment client run on the gevent loop, with unresponsive coordinators.
"""

from collections import Counter

import gevent
import msgspec
import pytest

from damasklead.clock import ManualClock
from damasklead.failures import Failure
from damasklead.gateway.calls import Call, LoadHint, PromptPart, UpstreamRecord
from damasklead.gateway.coordination.assignment_client import (
    RATE_LIMITS_INTERVAL_SECONDS,
    Assignment,
    AssignmentClient,
    make_assignment_request,
)
from damasklead.gateway.coordination.cellmap import (
    MAX_PING_INTERVAL_SECONDS,
    SPILLOVER_THRESHOLD_SECONDS,
    CellMap,
)
from damasklead.gateway.coordination.cells import (
    CELL_ENGINES,
    Cell,
    Member,
    partition_engines,
    rank_members,
    select_home_cell,
)
from damasklead.gateway.coordination.coordinator import (
    IDLE_TIMEOUT_SECONDS,
    QUEUED_INTERVAL_SECONDS,
    REPORT_GRACE_SECONDS,
    AddressedResponse,
    Coordinator,
)
from damasklead.gateway.coordination.coordinators import Coordinators
from damasklead.gateway.coordination.messages import (
    AssignmentRequest,
    AssignmentResponse,
    Grant,
    PrefillDone,
    RequestEnded,
    RequestQueued,
    RequestRejected,
    RunningRequests,
    WorkspaceAssignmentRequest,
)
from damasklead.gateway.journal import Journal
from damasklead.gateway.routing import ApiKey, EngineSpec, ServiceSpec, Workspace
from damasklead.ids import AttemptId, DataCentre, InstanceId, ServiceName, WorkspaceId
from damasklead.loop import LoopClock
from damasklead.rate_limits import RateLimits
from tests.gateway_kit import SERVICE, make_table
from tests.test_gateway_decisions import CHAT, REVIEW, make_call, make_record

QUOTE = msgspec.structs.replace(REVIEW, name="quote", tier=1, target=0.5)
LOW_PRIORITY = msgspec.structs.replace(REVIEW, tier=2, target=1.5, timeout=5.0)
SPEC = ServiceSpec(
    name=SERVICE,
    max_connections=1000,
    engine=EngineSpec(slots=64, memory_tokens=250_000, tokens_per_event=4),
)
CELL = Cell(SERVICE, DataCentre("hout"), 0)


def make_engines(count: int, *data_centres: str) -> list[UpstreamRecord]:
    data_centres = data_centres or ("hout",)
    return [
        make_record(
            f"e{number}",
            address=f"127.0.0.1:{number + 1}",
            data_centre=DataCentre(data_centres[number % len(data_centres)]),
        )
        for number in range(count)
    ]


def make_review_call(name: str, subject: str = "s", tokens: int = 3000) -> Call:
    parts = (PromptPart(subject, 6000), PromptPart(f"own-{name}", tokens))
    return make_call(name, LOW_PRIORITY, parts=parts, tokens=6000 + tokens)


class CoordinatorHarness:
    """A coordinator with the gateways that send it requests, and its responses."""

    def __init__(self, count: int = 9) -> None:
        self.clock = ManualClock(start=100.0)
        self.coordinator = Coordinator(
            cell=CELL,
            clock=self.clock,
            service=SPEC,
            routes=[CHAT, QUOTE, LOW_PRIORITY],
            rate_limits=RateLimits(clock=self.clock, instance=InstanceId("g1")),
            is_in_charge=lambda: True,
        )
        self.coordinator.set_engines(make_engines(count))
        self.responses: dict[str, list[AssignmentResponse]] = {}

    def request_assignment(
        self, call: Call, gateway: str = "g1", **options: object
    ) -> list[AssignmentResponse]:
        content: dict = {"now": 0.0, "excluded": (), "is_first_attempt": True} | options
        return self.record_responses(
            self.coordinator.handle_assignment_request(
                make_assignment_request(gateway, call, CELL, **content)
            )
        )

    def process_queue(self) -> list[AssignmentResponse]:
        return self.record_responses(self.coordinator.process_queue())

    def record_responses(
        self, responses: list[AddressedResponse]
    ) -> list[AssignmentResponse]:
        for addressed in responses:
            self.responses.setdefault(addressed.response.attempt, []).append(
                addressed.response
            )
        return [addressed.response for addressed in responses]

    def complete_prefill(self, call: Call, gateway: str = "g1") -> None:
        self.coordinator.handle_prefill_done(
            PrefillDone(gateway, CELL, call.id, LoadHint(1, 0, 64))
        )

    def end_request(
        self, call: Call, outcome: str = "whole", gateway: str = "g1"
    ) -> None:
        self.coordinator.handle_request_ended(
            RequestEnded(gateway, CELL, call.id, outcome)
        )


class TestCells:
    def test_a_small_service_has_one_cell_across_data_centres(self) -> None:
        cells = partition_engines(make_engines(9, "hout", "mossel", "saldanha"))
        assert list(cells) == [Cell(SERVICE, DataCentre(""), 0)]
        assert len(cells[Cell(SERVICE, DataCentre(""), 0)]) == 9

    def test_a_large_service_has_separate_cells_in_each_data_centre(self) -> None:
        cells = partition_engines(make_engines(200, "hout", "mossel"))
        assert len(cells) == 2 * round(100 / CELL_ENGINES)
        for cell, group in cells.items():
            assert {item.data_centre for item in group} == {cell.data_centre}
            assert 0.6 * CELL_ENGINES <= len(group) <= 1.4 * CELL_ENGINES

    @pytest.mark.parametrize("count", [13, 24, 78, 220])
    def test_removing_an_engine_moves_few_others(self, count: int) -> None:
        def map_engines_to_cells(records: list[UpstreamRecord]) -> dict[str, Cell]:
            return {
                item.instance: cell
                for cell, group in partition_engines(records).items()
                for item in group
            }

        records = make_engines(count)
        before = map_engines_to_cells(records)
        after = map_engines_to_cells(records[:-1])
        if len(set(before.values())) == len(set(after.values())):
            moved = [name for name in after if after[name] != before[name]]
            assert len(moved) <= len(set(before.values()))

    @pytest.mark.parametrize("left", [0, 1, 5, 6, 13])
    def test_the_loss_of_a_data_centre_leaves_the_cells_of_others(
        self, left: int
    ) -> None:
        """
        Guards against all caches of a scaled service being lost to a reclaim.

        Its cells spanned data centres while one of them had only a few engines, so that
        each prompt part got another home.
        """
        records = make_engines(42, "hout", "mossel", "saldanha")
        before = partition_engines(records, is_scaled=True)
        lost = [item for item in records if item.data_centre == "mossel"][left:]
        after = partition_engines(
            [item for item in records if item not in lost], is_scaled=True
        )
        for name in ("hout", "saldanha"):
            cell = Cell(SERVICE, DataCentre(name), 0)
            engines = {item.instance for item in before[cell]}
            assert engines <= {item.instance for item in after[cell]}
        assert sum(map(len, after.values())) == 28 + left

    def test_a_small_scaled_service_has_one_cell_across_data_centres(self) -> None:
        """Guards against cells of one or two engines."""
        records = make_engines(9, "hout", "mossel", "saldanha")
        assert len(partition_engines(records, is_scaled=True)) == 1

    def test_a_service_without_engines_has_no_cells(self) -> None:
        assert partition_engines([]) == {}
        assert select_home_cell([], make_review_call("r"), DataCentre("hout")) is None

    def test_a_shared_prefix_has_the_same_home_cell_at_every_gateway(self) -> None:
        cells = list(partition_engines(make_engines(100)))
        homes = {
            select_home_cell(order, make_review_call(f"r{number}"), DataCentre("hout"))
            for number, order in enumerate((cells, cells[::-1], sorted(cells, key=str)))
        }
        assert len(homes) == 1

    def test_requests_with_a_short_shared_prefix_stay_in_their_data_centre(
        self,
    ) -> None:
        cells = partition_engines(make_engines(100, "hout", "mossel"))
        for number in range(20):
            parts = (PromptPart(f"s{number}", 500), PromptPart("own", 1800))
            call = make_call(f"q{number}", QUOTE, parts=parts, tokens=2300)
            home = select_home_cell(cells, call, DataCentre("mossel"))
            assert home is not None and home.data_centre == "mossel"

    def test_a_long_shared_prefix_has_one_home_cell_for_all_data_centres(self) -> None:
        cells = partition_engines(make_engines(100, "hout", "mossel"))
        for number in range(20):
            call = make_review_call("r", f"s{number}")
            homes = {
                select_home_cell(cells, call, DataCentre(data_centre))
                for data_centre in ("hout", "mossel")
            }
            assert len(homes) == 1

    def test_cells_are_distributed_over_the_gateways_of_their_data_centre(self) -> None:
        members = [
            Member(InstanceId(f"g{number}"), DataCentre(("hout", "mossel")[number % 2]))
            for number in range(40)
        ]
        first = Counter()
        for number in range(40):
            ranked = rank_members(Cell(SERVICE, DataCentre("hout"), number), members)
            assert int(ranked[0][1:]) % 2 == 0
            first[ranked[0]] += 1
        assert len(first) >= 10

    def test_gateways_with_more_cores_coordinate_more_cells(self) -> None:
        members = [
            Member(InstanceId(f"g{number}"), DataCentre("hout"), cores)
            for number, cores in enumerate([0.25] * 8 + [1.0] * 4)
        ]
        firsts = [
            rank_members(Cell(SERVICE, DataCentre("hout"), number), members)[0]
            for number in range(200)
        ]
        large = [name for name in firsts if int(name[1:]) >= 8]
        assert len(large) >= 180
        assert len(set(large)) == 4

    def test_removing_a_gateway_moves_only_its_own_cells(self) -> None:
        members = [
            Member(InstanceId(f"g{number}"), DataCentre("hout")) for number in range(8)
        ]
        for number in range(30):
            cell = Cell(SERVICE, DataCentre("hout"), number)
            before = rank_members(cell, members)
            after = rank_members(cell, [m for m in members if m.instance != "g3"])
            assert after == [name for name in before if name != "g3"]


class TestCoordinator:
    def test_a_burst_from_many_gateways_is_distributed_evenly(self) -> None:
        """A gateway that assigned its own requests would know of one or two of them."""
        harness = CoordinatorHarness(9)
        for number in range(36):
            call = make_call(f"q{number}", QUOTE, tokens=1800)
            (response,) = harness.request_assignment(call, f"g{number}")
            assert isinstance(response, Grant)
        granted = Counter(
            responses[0].instance for responses in harness.responses.values()
        )
        shared = [granted[name] for name in granted]
        assert max(shared) <= 8 and len(shared) >= 7

    def test_a_prefix_requested_by_many_gateways_is_prefilled_once(self) -> None:
        harness = CoordinatorHarness()
        grants = []
        for number in range(6):
            call = make_review_call(f"r{number}")
            (response,) = harness.request_assignment(call, f"g{number}")
            assert isinstance(response, Grant)
            grants.append(response)
            harness.complete_prefill(call, f"g{number}")
            harness.clock.advance(0.1)
        first = grants[0].instance
        assert all(item.instance == first or item.source for item in grants)

    def test_the_least_urgent_requests_share_one_queue_and_are_notified(self) -> None:
        harness = CoordinatorHarness(3)
        calls = [make_review_call(f"r{number}", f"s{number}") for number in range(30)]
        for number, call in enumerate(calls):
            harness.request_assignment(call, f"g{number}")
        queued = [
            call
            for call in calls
            if isinstance(harness.responses[call.id][0], RequestQueued)
        ]
        assert 15 <= len(queued) == harness.coordinator.queue_length
        harness.clock.advance(QUEUED_INTERVAL_SECONDS)
        assert {item.attempt for item in harness.process_queue()} == {
            call.id for call in queued
        }
        for call in calls[:6]:
            harness.complete_prefill(call, f"g{call.id[1:]}")
        granted = [
            item.attempt for item in harness.process_queue() if isinstance(item, Grant)
        ]
        assert granted == [call.id for call in queued[: len(granted)]] and granted

    def test_more_urgent_requests_are_assigned_at_once(self) -> None:
        harness = CoordinatorHarness(3)
        for number in range(30):
            harness.request_assignment(make_review_call(f"r{number}", f"s{number}"))
        (response,) = harness.request_assignment(make_call("c", CHAT, tokens=700), "g2")
        assert isinstance(response, Grant)

    def test_expired_requests_are_rejected_with_a_retry_time(self) -> None:
        harness = CoordinatorHarness(1)
        for number in range(40):
            harness.request_assignment(make_review_call(f"r{number}", f"s{number}"))
        harness.clock.advance(4.95)
        rejected = [item for _ in range(5) for item in harness.process_queue()]
        rejected = [item for item in rejected if isinstance(item, RequestRejected)]
        assert rejected
        assert all(item.retry_after is not None for item in rejected)

    def test_a_duplicate_assignment_request_gets_the_same_response(self) -> None:
        harness = CoordinatorHarness()
        call = make_review_call("r")
        assert harness.request_assignment(call) == harness.request_assignment(call)
        assert harness.coordinator.request_count == 1

    def test_a_request_from_another_cell_copies_from_its_home_cell(self) -> None:
        harness = CoordinatorHarness()
        call = make_review_call("r")
        (response,) = harness.request_assignment(call, source="127.0.0.1:99")
        assert isinstance(response, Grant) and response.source == "127.0.0.1:99"
        (second,) = harness.request_assignment(
            make_review_call("r2"), source="127.0.0.1:99", is_first_attempt=False
        )
        assert second.instance == response.instance or second.source != "127.0.0.1:99"

    def test_a_retry_is_assigned_to_another_replica(self) -> None:
        harness = CoordinatorHarness()
        call = make_review_call("r")
        (first,) = harness.request_assignment(call)
        harness.end_request(call, Failure.BROKEN.value)
        (second,) = harness.request_assignment(
            call, excluded=(first.instance,), is_first_attempt=False
        )
        assert isinstance(second, Grant) and second.instance != first.instance

    def test_a_retry_after_a_lost_end_message_is_assigned_to_another_replica(
        self,
    ) -> None:
        harness = CoordinatorHarness()
        call = make_review_call("r")
        (first,) = harness.request_assignment(call)
        (second,) = harness.request_assignment(
            call, excluded=(first.instance,), is_first_attempt=False
        )
        assert isinstance(second, Grant) and second.instance != first.instance
        assert harness.coordinator.request_count == 1

    def test_without_a_replica_the_choice_is_left_to_the_gateway(self) -> None:
        harness = CoordinatorHarness(0)
        (response,) = harness.request_assignment(make_call("c", CHAT))
        assert response == RequestRejected(AttemptId("c"), None, 0.0)
        assert harness.coordinator.request_count == 0

    def test_an_unknown_route_is_left_to_the_gateway(self) -> None:
        harness = CoordinatorHarness()
        strange = msgspec.structs.replace(CHAT, name="strange")
        (response,) = harness.request_assignment(make_call("c", strange))
        assert isinstance(response, RequestRejected) and response.retry_after is None

    def test_a_new_coordinator_adopts_running_requests_and_drops_ended_ones(
        self,
    ) -> None:
        harness = CoordinatorHarness(2)
        running = tuple(
            (AttemptId(f"x{number}"), InstanceId("e0"), 30_000) for number in range(3)
        )
        harness.coordinator.handle_running_requests(
            RunningRequests("g7", CELL, running)
        )
        assert (
            harness.coordinator.request_count == 3 and harness.coordinator.backlog > 0
        )
        (response,) = harness.request_assignment(make_call("q", QUOTE, tokens=1800))
        assert isinstance(response, Grant) and response.instance == "e1"
        harness.clock.advance(REPORT_GRACE_SECONDS + 0.01)
        harness.coordinator.handle_running_requests(
            RunningRequests("g7", CELL, running[:1])
        )
        assert harness.coordinator.request_count == 2

    def test_a_report_sent_before_the_grant_arrived_does_not_drop_the_assignment(
        self,
    ) -> None:
        harness = CoordinatorHarness()
        harness.request_assignment(make_review_call("r"))
        harness.coordinator.handle_running_requests(RunningRequests("g1", CELL, ()))
        assert harness.coordinator.request_count == 1

    def test_ended_and_expired_requests_are_removed(self) -> None:
        harness = CoordinatorHarness(1)
        calls = [make_review_call(f"r{number}", f"s{number}") for number in range(12)]
        for call in calls:
            harness.request_assignment(call)
        for call in calls[:6]:
            harness.end_request(call, "withdrawn")
        assert harness.coordinator.request_count == 6
        harness.end_request(calls[7], gateway="another")
        assert harness.coordinator.request_count == 6
        harness.clock.advance(5.0 + REPORT_GRACE_SECONDS + 0.1)
        for _ in range(10):
            harness.process_queue()
        assert (
            harness.coordinator.request_count == 0
            and harness.coordinator.queue_length == 0
        )
        assert not harness.coordinator.is_idle
        harness.clock.advance(IDLE_TIMEOUT_SECONDS)
        assert harness.coordinator.is_idle

    def test_a_failure_reported_by_one_gateway_is_used_for_all(self) -> None:
        harness = CoordinatorHarness(2)
        call = make_call("q0", QUOTE, tokens=1800)
        (response,) = harness.request_assignment(call)
        harness.end_request(call, Failure.BROKEN.value)
        for number in range(4):
            (other,) = harness.request_assignment(
                make_call(f"c{number}", QUOTE, tokens=1800), "g2"
            )
            assert other.instance != response.instance


class TestCellMap:
    def make_cell_map(self, clock: ManualClock, gateways: int = 8) -> CellMap:
        cells = CellMap(
            clock=clock, local_member=Member(InstanceId("g0"), DataCentre("hout"))
        )
        cells.set_members(
            Member(InstanceId(f"g{number}"), DataCentre("hout"))
            for number in range(1, gateways)
        )
        cells.set_engines(SERVICE, make_engines(8 * CELL_ENGINES, "hout", "mossel"))
        return cells

    def test_services_that_leave_the_configuration_lose_their_cells(self) -> None:
        cells = self.make_cell_map(ManualClock())
        other = ServiceName("other-models")
        cells.set_engines(other, make_engines(3, "hout"))
        kept = cells.cells[:-1]
        cells.retain_services({SERVICE})
        assert cells.cells == kept
        assert all(cell.service == SERVICE for cell in cells.cells)
        cells.retain_services(set())
        assert cells.cells == [] and cells.find_cell(InstanceId("e0")) is None

    def test_the_last_coordinator_is_this_gateway(self) -> None:
        cells = self.make_cell_map(ManualClock())
        for cell in cells.cells:
            names = cells.list_coordinators(cell, limit=2)
            assert names[-1] == "g0" and len(names) <= 3

    def test_a_suspected_gateway_is_skipped_until_it_is_cleared(self) -> None:
        clock = ManualClock()
        cells = self.make_cell_map(clock)
        cell = next(
            item
            for item in cells.cells
            if cells.list_coordinators(item, limit=1)[0] != "g0"
        )
        first = cells.list_coordinators(cell, limit=1)[0]
        assert cells.suspect_gateway(first) and not cells.suspect_gateway(first)
        assert cells.list_coordinators(cell, limit=1)[0] != first
        pings = 0
        for _ in range(200):
            clock.advance(0.1)
            pings += len(cells.collect_due_pings())
        assert 4 <= pings <= 4 + 20 / MAX_PING_INTERVAL_SECONDS
        assert cells.clear_suspicion(first) and not cells.clear_suspicion(first)
        assert cells.list_coordinators(cell, limit=1)[0] == first

    def test_requests_spill_over_to_a_cell_with_a_much_lower_load(self) -> None:
        clock = ManualClock()
        cells = self.make_cell_map(clock)
        calls = [make_review_call(f"r{number}", f"s{number}") for number in range(40)]
        home = cells.find_home_cell(calls[0])
        assert home is not None
        home_calls = [call for call in calls if cells.find_home_cell(call) == home]
        cells.record_load(home, SPILLOVER_THRESHOLD_SECONDS / 2)
        assert {
            cells.select_cell(call, is_first_attempt=True) for call in home_calls
        } == {home}
        for cell in cells.cells:
            cells.record_load(
                cell, 2 * SPILLOVER_THRESHOLD_SECONDS if cell == home else 0.0
            )
        chosen = {cells.select_cell(call, is_first_attempt=True) for call in home_calls}
        assert home not in chosen
        assert all(cell and cell.data_centre == home.data_centre for cell in chosen)
        assert cells.select_cell(home_calls[0], is_first_attempt=False) == home
        clock.advance(1.5)
        assert {
            cells.select_cell(call, is_first_attempt=True) for call in home_calls
        } == {home}

    def test_the_copy_source_of_a_spilled_request_is_in_its_home_cell(self) -> None:
        cells = self.make_cell_map(ManualClock())
        call = make_review_call("r")
        home = cells.find_home_cell(call)
        assert home is not None and cells.find_copy_source(call, home) is None
        other = next(cell for cell in cells.cells if cell != home)
        source = cells.find_copy_source(call, other)
        assert source in {item.address for item in cells.get_engines(home)}
        assert cells.find_copy_source(make_call("c", CHAT), other) is None

    def test_a_fraction_of_the_requests_probes_a_cell_of_unknown_load(self) -> None:
        cells = self.make_cell_map(ManualClock())
        calls = [make_review_call(f"r{number}", "s") for number in range(200)]
        home = cells.find_home_cell(calls[0])
        assert home is not None
        cells.record_load(home, 5.0)
        spilled_calls = [
            call
            for call in calls
            if cells.select_cell(call, is_first_attempt=True) != home
        ]
        assert 20 <= len(spilled_calls) <= 90


class ClientHarness:
    """An assignment client with its coordinators, which may be unresponsive."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.cells = CellMap(
            clock=self.clock, local_member=Member(InstanceId("g0"), DataCentre("hout"))
        )
        self.cells.set_members(
            Member(InstanceId(f"g{number}"), DataCentre("hout")) for number in (1, 2)
        )
        self.cells.set_engines(SERVICE, make_engines(9))
        table = make_table(services=[SPEC], routes=[CHAT, QUOTE, LOW_PRIORITY])
        self.coordinators = {
            name: Coordinators(
                clock=self.clock,
                cells=self.cells,
                table=lambda: table,
                send_response=lambda _to, response, name=name: self.deliver_response(
                    name, response
                ),
                rate_limits=RateLimits(clock=self.clock, instance=InstanceId(name)),
            )
            for name in ("g0", "g1", "g2")
        }
        self.unresponsive_gateways: set[str] = set()
        self.sent: list[tuple[str, object]] = []
        self.rate_limits = RateLimits(clock=self.clock, instance=InstanceId("g0"))
        self.client = AssignmentClient(
            instance="g0",
            clock=self.clock,
            cells=self.cells,
            send=self.send,
            journal=Journal(instance="g0"),
            rate_limits=self.rate_limits,
        )
        (self.cell,) = self.cells.cells

    def send(self, name: str, message: object) -> None:
        self.sent.append((name, message))
        assert isinstance(
            message, (AssignmentRequest, PrefillDone, RequestEnded, RunningRequests)
        )
        if name not in self.unresponsive_gateways:
            self.coordinators[name].handle_message(message)

    def deliver_response(self, name: str, response: AssignmentResponse) -> None:
        gevent.spawn(self.client.handle_response, response, name)

    def request_assignment(self, call: Call) -> Assignment:
        assignment = self.client.request_assignment(
            call, excluded=(), is_first_attempt=True
        )
        assert isinstance(assignment, Assignment)
        return assignment

    def list_coordinators(self) -> list[str]:
        return self.cells.list_coordinators(self.cell, limit=3)


def make_live_call(name: str, clock: LoopClock) -> Call:
    call = make_call(name, CHAT, tokens=700)
    call.arrival = clock.now()
    call.deadline = call.caller_deadline = call.arrival + 5.0
    return call


class TestAssignmentClient:
    def test_an_unresponsive_coordinator_delays_only_one_request(self) -> None:
        harness = ClientHarness()
        first = harness.list_coordinators()[0]
        harness.unresponsive_gateways = {"g1", "g2"} if first == "g0" else {first}
        started_at = harness.clock.now()
        assignment = harness.request_assignment(make_live_call("c1", harness.clock))
        assert harness.clock.now() - started_at < 0.5
        assert assignment.coordinator not in harness.unresponsive_gateways
        started_at = harness.clock.now()
        harness.request_assignment(make_live_call("c2", harness.clock))
        assert harness.clock.now() - started_at < 0.05

    def test_a_coordinator_is_told_the_limits_of_its_engines_at_intervals(self) -> None:
        harness = ClientHarness()
        engine = harness.cells.get_engines(harness.cell)[0]
        for limited in (engine, make_engines(40)[-1]):
            harness.rate_limits.record_response(limited, 1.5, is_success=True)
        told = []
        for name in ("c1", "c2", "c3"):
            harness.request_assignment(make_live_call(name, harness.clock))
            told.append(
                [
                    [item.instance for item in message.rate_limits]
                    for _, message in harness.sent
                    if isinstance(message, AssignmentRequest)
                    and message.attempt == name
                ]
            )
            if name == "c2":
                gevent.sleep(1.1 * RATE_LIMITS_INTERVAL_SECONDS)
        assert told == [[[engine.instance]], [[]], [[engine.instance]]]

    def test_only_the_first_gateway_that_responds_coordinates_for_all(self) -> None:
        harness = ClientHarness()
        ranked = harness.list_coordinators()
        assert harness.cells.is_coordinator(harness.cell) == (ranked[0] == "g0")
        for name in ("g1", "g2"):
            harness.cells.suspect_gateway(name)
        assert harness.cells.is_coordinator(harness.cell)
        harness.cells.resign_coordination()
        assert not harness.cells.is_coordinator(harness.cell)
        assert harness.list_coordinators() == ["g0"]

    def test_when_all_are_unresponsive_this_gateway_decides(self) -> None:
        harness = ClientHarness()
        harness.unresponsive_gateways = {"g1", "g2"}
        assert (
            harness.request_assignment(make_live_call("c1", harness.clock)).coordinator
            == "g0"
        )

    def test_a_late_grant_is_withdrawn(self) -> None:
        harness = ClientHarness()
        grant = Grant(AttemptId("old"), InstanceId("e1"), None, 0.0)
        harness.client.handle_response(grant, "g1")
        name, message = harness.sent[-1]
        assert name == "g1"
        assert message == RequestEnded(
            "g0", harness.cell, AttemptId("old"), "withdrawn"
        )

    def test_a_queued_request_is_withdrawn_when_its_caller_disconnects(self) -> None:
        harness = ClientHarness()
        harness.coordinators = dict.fromkeys(
            harness.coordinators, harness.coordinators["g0"]
        )
        calls = [make_review_call(f"r{number}", f"s{number}") for number in range(60)]
        for call in calls:
            call.arrival = harness.clock.now()
            call.deadline = call.caller_deadline = call.arrival + 5.0
        waiters = [gevent.spawn(harness.request_assignment, call) for call in calls]
        gevent.sleep(0.05)
        queued = [waiter for waiter in waiters if not waiter.ready()]
        assert queued and harness.coordinators["g0"].has_queued
        gevent.killall(queued)
        assert not harness.coordinators["g0"].has_queued

    def test_running_requests_are_reported_until_they_end(self) -> None:
        harness = ClientHarness()
        call = make_live_call("c1", harness.clock)
        assignment = harness.request_assignment(call)
        harness.sent.clear()
        harness.client.report_running_requests()
        (running,) = [
            item for _, item in harness.sent if isinstance(item, RunningRequests)
        ]
        assert running.requests == ((call.id, assignment.instance, 700),)
        harness.client.report_prefill_done(assignment, call, None, None)
        harness.sent.clear()
        harness.client.report_running_requests()
        assert harness.sent[-1][1].requests == ((call.id, assignment.instance, 0),)
        harness.client.report_request_ended(assignment, call, "whole")
        harness.sent.clear()
        harness.client.report_running_requests()
        assert not harness.sent

    def test_a_rejection_with_a_retry_time_is_final(self) -> None:
        """
        Another coordinator would assign the request, although the first one has no
        capacity for it.
        """
        harness = ClientHarness()
        harness.client._cells.suspect_gateway("g0")
        first = harness.list_coordinators()[0]
        rejection = RequestRejected(AttemptId("c1"), 1.5, 3.0)

        def reject(name: str, message: object) -> None:
            harness.sent.append((name, message))
            if isinstance(message, AssignmentRequest):
                harness.deliver_response(name, rejection)

        harness.client._send = reject
        result = harness.client.request_assignment(
            make_live_call("c1", harness.clock), excluded=(), is_first_attempt=True
        )
        assert result == rejection
        requested_gateways = {
            name
            for name, message in harness.sent
            if isinstance(message, AssignmentRequest)
        }
        assert requested_gateways == {first}


class TestWorkspaceOfARequest:
    def encode(self, *, names_workspace: bool, workspace: Workspace | None) -> bytes:
        call = make_call("q", REVIEW, tokens=1800)
        call.workspace = workspace
        request = make_assignment_request(
            "g1", call, CELL, now=0.0, excluded=(), is_first_attempt=True,
            names_workspace=names_workspace,
        )  # fmt: skip
        return msgspec.msgpack.encode(request)

    def decode(self, data: bytes) -> WorkspaceAssignmentRequest:
        """Decode a message as gateways do, as one of several types."""
        message = msgspec.msgpack.decode(data, type=WorkspaceAssignmentRequest | Grant)
        assert isinstance(message, WorkspaceAssignmentRequest)
        return message

    def test_a_coordinator_learns_the_workspace(self) -> None:
        workspace = Workspace(name=WorkspaceId("w1"), keys=(ApiKey("secret"),))
        data = self.encode(names_workspace=True, workspace=workspace)
        request = self.decode(data)
        assert request.workspace == "w1" and b"secret" not in data
        assert request.prompt_tokens == 1800

    @pytest.mark.parametrize("names_workspace", [True, False])
    def test_messages_without_it_are_those_of_older_versions(
        self, names_workspace: bool
    ) -> None:
        """Deployments that don't ask for the rule must send the same messages."""
        workspace = Workspace(name=WorkspaceId("w1"), keys=())
        data = self.encode(
            names_workspace=names_workspace,
            workspace=None if names_workspace else workspace,
        )
        fields = msgspec.structs.fields(AssignmentRequest)
        assert len(msgspec.msgpack.decode(data)) == 1 + len(fields)
        assert self.decode(data).workspace is None

    def test_older_versions_read_the_message(self) -> None:
        workspace = Workspace(name=WorkspaceId("w1"), keys=())
        data = self.encode(names_workspace=True, workspace=workspace)
        request = msgspec.msgpack.decode(data, type=AssignmentRequest)
        assert request.attempt == "q"

    @pytest.mark.parametrize("workspace", ["w1", None])
    def test_underserved_workspaces_of_a_cell_are_known_to_its_coordinator(
        self, workspace: str | None
    ) -> None:
        """Requests arrive without their workspace unless the message names it."""
        harness = CoordinatorHarness(2)
        call = make_call("q", LOW_PRIORITY, tokens=1800)
        if workspace is not None:
            call.workspace = Workspace(name=WorkspaceId(workspace), keys=())
        harness.request_assignment(call, names_workspace=True)
        (entry,) = harness.coordinator._requests.values()
        named = entry.call.workspace
        assert (None if named is None else named.name) == workspace
