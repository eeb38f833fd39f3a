"""
Tests of cells and their coordinators
=====================================

Each replays the load that a decision answers, on a paused clock; the last ones ask over
the real loop, with coordinators that are silent.
"""

from collections import Counter

import gevent
import msgspec
import pytest

from damasklead.clock import ManualClock
from damasklead.failures import Failure
from damasklead.gateway.calls import Call, LoadHint, PromptPart, UpstreamRecord
from damasklead.gateway.coordination.asking import (
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
)
from damasklead.gateway.journal import Journal
from damasklead.gateway.routing import EngineSpec, ServiceSpec
from damasklead.ids import AttemptId, DataCentre, InstanceId
from damasklead.loop import LoopClock
from tests.gatewaykit import SERVICE, make_table
from tests.test_gateway_parts import CHAT, REVIEW, make_call, record

QUOTE = msgspec.structs.replace(REVIEW, name="quote", tier=1, target=0.5)
LATER = msgspec.structs.replace(REVIEW, tier=2, target=1.5, timeout=5.0)
SPEC = ServiceSpec(
    name=SERVICE,
    max_connections=1000,
    engine=EngineSpec(slots=64, memory_tokens=250_000, tokens_per_event=4),
)
CELL = Cell(SERVICE, DataCentre("hout"), 0)


def engines(count: int, *centres: str) -> list[UpstreamRecord]:
    centres = centres or ("hout",)
    return [
        record(
            f"e{number}",
            address=f"127.0.0.1:{number + 1}",
            data_centre=DataCentre(centres[number % len(centres)]),
        )
        for number in range(count)
    ]


def review(name: str, subject: str = "s", tokens: int = 3000) -> Call:
    parts = (PromptPart(subject, 6000), PromptPart(f"own-{name}", tokens))
    return make_call(name, LATER, parts=parts, tokens=6000 + tokens)


class Scene:
    """One coordinator, the gateways that ask it, and what they were told."""

    def __init__(self, count: int = 9) -> None:
        self.clock = ManualClock(start=100.0)
        self.coordinator = Coordinator(
            cell=CELL, clock=self.clock, service=SPEC, routes=[CHAT, QUOTE, LATER]
        )
        self.coordinator.set_engines(engines(count))
        self.responses: dict[str, list[AssignmentResponse]] = {}

    def ask(
        self, call: Call, gateway: str = "g1", **options: object
    ) -> list[AssignmentResponse]:
        content: dict = {"now": 0.0, "excluded": (), "is_first_attempt": True} | options
        return self.note(
            self.coordinator.handle_assignment_request(
                make_assignment_request(gateway, call, CELL, **content)
            )
        )

    def tick(self) -> list[AssignmentResponse]:
        return self.note(self.coordinator.process_queue())

    def note(self, replies: list[AddressedResponse]) -> list[AssignmentResponse]:
        for reply in replies:
            self.responses.setdefault(reply.response.attempt, []).append(reply.response)
        return [reply.response for reply in replies]

    def read(self, call: Call, gateway: str = "g1") -> None:
        self.coordinator.handle_prefill_done(
            PrefillDone(gateway, CELL, call.id, LoadHint(1, 0, 64))
        )

    def end(self, call: Call, outcome: str = "whole", gateway: str = "g1") -> None:
        self.coordinator.handle_request_ended(
            RequestEnded(gateway, CELL, call.id, outcome)
        )


class TestCells:
    def test_a_small_service_is_one_cell_over_its_data_centres(self) -> None:
        cells = partition_engines(engines(9, "hout", "mossel", "saldanha"))
        assert list(cells) == [Cell(SERVICE, DataCentre(""), 0)]
        assert len(cells[Cell(SERVICE, DataCentre(""), 0)]) == 9

    def test_a_large_one_has_cells_of_its_own_in_each_data_centre(self) -> None:
        cells = partition_engines(engines(200, "hout", "mossel"))
        assert len(cells) == 2 * round(100 / CELL_ENGINES)
        for cell, group in cells.items():
            assert {item.data_centre for item in group} == {cell.data_centre}
            assert 0.6 * CELL_ENGINES <= len(group) <= 1.4 * CELL_ENGINES

    @pytest.mark.parametrize("count", [13, 24, 78, 220])
    def test_an_engine_more_or_less_moves_few_others(self, count: int) -> None:
        def places(records: list[UpstreamRecord]) -> dict[str, Cell]:
            return {
                item.instance: cell
                for cell, group in partition_engines(records).items()
                for item in group
            }

        records = engines(count)
        before = places(records)
        after = places(records[:-1])
        if len(set(before.values())) == len(set(after.values())):
            moved = [name for name in after if after[name] != before[name]]
            assert len(moved) <= len(set(before.values()))

    def test_nothing_is_divided_into_nothing(self) -> None:
        assert partition_engines([]) == {}
        assert select_home_cell([], review("r"), DataCentre("hout")) is None

    def test_the_same_subject_has_the_same_cell_at_every_gateway(self) -> None:
        cells = list(partition_engines(engines(100)))
        homes = {
            select_home_cell(order, review(f"r{number}"), DataCentre("hout"))
            for number, order in enumerate((cells, cells[::-1], sorted(cells, key=str)))
        }
        assert len(homes) == 1

    def test_requests_with_short_shared_parts_stay_in_their_data_centre(self) -> None:
        cells = partition_engines(engines(100, "hout", "mossel"))
        for number in range(20):
            parts = (PromptPart(f"s{number}", 500), PromptPart("own", 1800))
            call = make_call(f"q{number}", QUOTE, parts=parts, tokens=2300)
            home = select_home_cell(cells, call, DataCentre("mossel"))
            assert home is not None and home.data_centre == "mossel"

    def test_a_long_shared_part_has_one_home_for_all_data_centres(self) -> None:
        cells = partition_engines(engines(100, "hout", "mossel"))
        for number in range(20):
            call = review("r", f"s{number}")
            homes = {
                select_home_cell(cells, call, DataCentre(centre))
                for centre in ("hout", "mossel")
            }
            assert len(homes) == 1

    def test_cells_are_spread_over_gateways_near_ones_first(self) -> None:
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

    def test_gateways_with_more_processor_coordinate_more(self) -> None:
        members = [
            Member(InstanceId(f"g{number}"), DataCentre("hout"), cores)
            for number, cores in enumerate([0.25] * 8 + [1.0] * 4)
        ]
        firsts = [
            rank_members(Cell(SERVICE, DataCentre("hout"), number), members)[0]
            for number in range(200)
        ]
        strong = [name for name in firsts if int(name[1:]) >= 8]
        assert len(strong) >= 180
        assert len(set(strong)) == 4

    def test_a_gateway_that_goes_moves_only_its_own_cells(self) -> None:
        members = [
            Member(InstanceId(f"g{number}"), DataCentre("hout")) for number in range(8)
        ]
        for number in range(30):
            cell = Cell(SERVICE, DataCentre("hout"), number)
            before = rank_members(cell, members)
            after = rank_members(cell, [m for m in members if m.instance != "g3"])
            assert after == [name for name in before if name != "g3"]


class TestCoordinator:
    def test_a_burst_from_many_gateways_fills_the_engines_evenly(self) -> None:
        """Each alone would know of a request or two."""
        scene = Scene(9)
        for number in range(36):
            call = make_call(f"q{number}", QUOTE, tokens=1800)
            (answer,) = scene.ask(call, f"g{number}")
            assert isinstance(answer, Grant)
        granted = Counter(answers[0].instance for answers in scene.responses.values())
        shared = [granted[name] for name in granted]
        assert max(shared) <= 8 and len(shared) >= 7

    def test_a_part_that_many_gateways_ask_for_is_read_once(self) -> None:
        scene = Scene()
        found = []
        for number in range(6):
            call = review(f"r{number}")
            (answer,) = scene.ask(call, f"g{number}")
            assert isinstance(answer, Grant)
            found.append(answer)
            scene.read(call, f"g{number}")
            scene.clock.advance(0.1)
        first = found[0].instance
        assert all(item.instance == first or item.source for item in found)

    def test_the_least_urgent_wait_in_one_order_and_are_told_so(self) -> None:
        scene = Scene(3)
        calls = [review(f"r{number}", f"s{number}") for number in range(30)]
        for number, call in enumerate(calls):
            scene.ask(call, f"g{number}")
        waiting = [
            call
            for call in calls
            if isinstance(scene.responses[call.id][0], RequestQueued)
        ]
        assert 15 <= len(waiting) == scene.coordinator.queue_length
        scene.clock.advance(QUEUED_INTERVAL_SECONDS)
        assert {item.attempt for item in scene.tick()} == {call.id for call in waiting}
        for call in calls[:6]:
            scene.read(call, f"g{call.id[1:]}")
        granted = [item.attempt for item in scene.tick() if isinstance(item, Grant)]
        assert granted == [call.id for call in waiting[: len(granted)]] and granted

    def test_more_urgent_ones_go_at_once(self) -> None:
        scene = Scene(3)
        for number in range(30):
            scene.ask(review(f"r{number}", f"s{number}"))
        (answer,) = scene.ask(make_call("c", CHAT, tokens=700), "g2")
        assert isinstance(answer, Grant)

    def test_what_waits_too_long_is_refused_with_a_time_to_return(self) -> None:
        scene = Scene(1)
        for number in range(40):
            scene.ask(review(f"r{number}", f"s{number}"))
        scene.clock.advance(4.95)
        refused = [item for _ in range(5) for item in scene.tick()]
        refused = [item for item in refused if isinstance(item, RequestRejected)]
        assert refused
        assert all(item.retry_after is not None for item in refused)

    def test_an_ask_that_comes_twice_gets_the_same_place(self) -> None:
        scene = Scene()
        call = review("r")
        assert scene.ask(call) == scene.ask(call)
        assert scene.coordinator.request_count == 1

    def test_a_request_from_another_cell_copies_from_its_home(self) -> None:
        scene = Scene()
        call = review("r")
        (answer,) = scene.ask(call, source="127.0.0.1:99")
        assert isinstance(answer, Grant) and answer.source == "127.0.0.1:99"
        (known,) = scene.ask(
            review("r2"), source="127.0.0.1:99", is_first_attempt=False
        )
        assert known.instance == answer.instance or known.source != "127.0.0.1:99"

    def test_a_retry_gets_another_place(self) -> None:
        scene = Scene()
        call = review("r")
        (first,) = scene.ask(call)
        scene.end(call, Failure.BROKEN.value)
        (second,) = scene.ask(call, excluded=(first.instance,), is_first_attempt=False)
        assert isinstance(second, Grant) and second.instance != first.instance

    def test_a_retry_whose_end_was_lost_gets_another_place(self) -> None:
        scene = Scene()
        call = review("r")
        (first,) = scene.ask(call)
        (second,) = scene.ask(call, excluded=(first.instance,), is_first_attempt=False)
        assert isinstance(second, Grant) and second.instance != first.instance
        assert scene.coordinator.request_count == 1

    def test_without_a_replica_the_gateway_is_told_to_choose_itself(self) -> None:
        scene = Scene(0)
        (answer,) = scene.ask(make_call("c", CHAT))
        assert answer == RequestRejected(AttemptId("c"), None, 0.0)
        assert scene.coordinator.request_count == 0

    def test_an_unknown_route_is_left_to_the_gateway(self) -> None:
        scene = Scene()
        strange = msgspec.structs.replace(CHAT, name="strange")
        (answer,) = scene.ask(make_call("c", strange))
        assert isinstance(answer, RequestRejected) and answer.retry_after is None

    def test_a_successor_learns_what_runs_and_forgets_what_has_ended(self) -> None:
        scene = Scene(2)
        running = tuple(
            (AttemptId(f"x{number}"), InstanceId("e0"), 30_000) for number in range(3)
        )
        scene.coordinator.handle_running_requests(RunningRequests("g7", CELL, running))
        assert scene.coordinator.request_count == 3 and scene.coordinator.backlog > 0
        (answer,) = scene.ask(make_call("q", QUOTE, tokens=1800))
        assert isinstance(answer, Grant) and answer.instance == "e1"
        scene.clock.advance(REPORT_GRACE_SECONDS + 0.01)
        scene.coordinator.handle_running_requests(
            RunningRequests("g7", CELL, running[:1])
        )
        assert scene.coordinator.request_count == 2

    def test_a_list_that_crossed_a_grant_does_not_end_it(self) -> None:
        scene = Scene()
        scene.ask(review("r"))
        scene.coordinator.handle_running_requests(RunningRequests("g1", CELL, ()))
        assert scene.coordinator.request_count == 1

    def test_what_ends_or_runs_out_is_counted_no_more(self) -> None:
        scene = Scene(1)
        calls = [review(f"r{number}", f"s{number}") for number in range(12)]
        for call in calls:
            scene.ask(call)
        for call in calls[:6]:
            scene.end(call, "withdrawn")
        assert scene.coordinator.request_count == 6
        scene.end(calls[7], gateway="another")
        assert scene.coordinator.request_count == 6
        scene.clock.advance(5.0 + REPORT_GRACE_SECONDS + 0.1)
        for _ in range(10):
            scene.tick()
        assert (
            scene.coordinator.request_count == 0 and scene.coordinator.queue_length == 0
        )
        assert not scene.coordinator.is_idle
        scene.clock.advance(IDLE_TIMEOUT_SECONDS)
        assert scene.coordinator.is_idle

    def test_one_gateways_trouble_with_a_replica_helps_all(self) -> None:
        scene = Scene(2)
        call = make_call("q0", QUOTE, tokens=1800)
        (answer,) = scene.ask(call)
        scene.end(call, Failure.BROKEN.value)
        for number in range(4):
            (other,) = scene.ask(make_call(f"c{number}", QUOTE, tokens=1800), "g2")
            assert other.instance != answer.instance


class TestCellMap:
    def cell_map(self, clock: ManualClock, gateways: int = 8) -> CellMap:
        cells = CellMap(clock=clock, own=Member(InstanceId("g0"), DataCentre("hout")))
        cells.set_members(
            Member(InstanceId(f"g{number}"), DataCentre("hout"))
            for number in range(1, gateways)
        )
        cells.set_engines(SERVICE, engines(8 * CELL_ENGINES, "hout", "mossel"))
        return cells

    def test_the_last_one_asked_is_this_gateway(self) -> None:
        cells = self.cell_map(ManualClock())
        for cell in cells.cells:
            names = cells.list_coordinators(cell, limit=2)
            assert names[-1] == "g0" and len(names) <= 3

    def test_a_silent_gateway_is_passed_over_until_it_is_heard(self) -> None:
        clock = ManualClock()
        cells = self.cell_map(clock)
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

    def test_a_full_cell_is_left_for_one_that_has_much_less_to_do(self) -> None:
        clock = ManualClock()
        cells = self.cell_map(clock)
        calls = [review(f"r{number}", f"s{number}") for number in range(40)]
        home = cells.find_home_cell(calls[0])
        assert home is not None
        here = [call for call in calls if cells.find_home_cell(call) == home]
        cells.record_load(home, SPILLOVER_THRESHOLD_SECONDS / 2)
        assert {cells.select_cell(call, is_first_attempt=True) for call in here} == {
            home
        }
        for cell in cells.cells:
            cells.record_load(
                cell, 2 * SPILLOVER_THRESHOLD_SECONDS if cell == home else 0.0
            )
        chosen = {cells.select_cell(call, is_first_attempt=True) for call in here}
        assert home not in chosen
        assert all(cell and cell.data_centre == home.data_centre for cell in chosen)
        assert cells.select_cell(here[0], is_first_attempt=False) == home
        clock.advance(1.5)
        assert {cells.select_cell(call, is_first_attempt=True) for call in here} == {
            home
        }

    def test_the_source_is_the_home_of_a_request_that_goes_elsewhere(self) -> None:
        cells = self.cell_map(ManualClock())
        call = review("r")
        home = cells.find_home_cell(call)
        assert home is not None and cells.find_copy_source(call, home) is None
        other = next(cell for cell in cells.cells if cell != home)
        source = cells.find_copy_source(call, other)
        assert source in {item.address for item in cells.get_engines(home)}
        assert cells.find_copy_source(make_call("c", CHAT), other) is None

    def test_few_look_at_a_cell_that_is_not_known(self) -> None:
        cells = self.cell_map(ManualClock())
        calls = [review(f"r{number}", "s") for number in range(200)]
        home = cells.find_home_cell(calls[0])
        assert home is not None
        cells.record_load(home, 5.0)
        away = [
            call
            for call in calls
            if cells.select_cell(call, is_first_attempt=True) != home
        ]
        assert 20 <= len(away) <= 90


class World:
    """An asker and its coordinators, with coordinators that may be silent."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.cells = CellMap(
            clock=self.clock, own=Member(InstanceId("g0"), DataCentre("hout"))
        )
        self.cells.set_members(
            Member(InstanceId(f"g{number}"), DataCentre("hout")) for number in (1, 2)
        )
        self.cells.set_engines(SERVICE, engines(9))
        table = make_table(services=[SPEC], routes=[CHAT, QUOTE, LATER])
        self.coordinators = {
            name: Coordinators(
                clock=self.clock,
                cells=self.cells,
                table=lambda: table,
                send_response=lambda _to, answer, name=name: self.answer(name, answer),
            )
            for name in ("g0", "g1", "g2")
        }
        self.unresponsive: set[str] = set()
        self.sent: list[tuple[str, object]] = []
        self.client = AssignmentClient(
            own="g0",
            clock=self.clock,
            cells=self.cells,
            send=self.send,
            journal=Journal(instance="g0"),
        )
        (self.cell,) = self.cells.cells

    def send(self, name: str, message: object) -> None:
        self.sent.append((name, message))
        assert isinstance(
            message, (AssignmentRequest, PrefillDone, RequestEnded, RunningRequests)
        )
        if name not in self.unresponsive:
            self.coordinators[name].handle_message(message)

    def answer(self, name: str, answer: AssignmentResponse) -> None:
        gevent.spawn(self.client.handle_response, answer, name)

    def find(self, call: Call) -> Assignment:
        found = self.client.request_assignment(call, excluded=(), is_first_attempt=True)
        assert isinstance(found, Assignment)
        return found

    def ranked(self) -> list[str]:
        return self.cells.list_coordinators(self.cell, limit=3)


def live_call(name: str, clock: LoopClock) -> Call:
    call = make_call(name, CHAT, tokens=700)
    call.arrival = clock.now()
    call.deadline = call.caller_deadline = call.arrival + 5.0
    return call


class TestAssignmentClient:
    def test_a_silent_coordinator_costs_one_request_a_moment(self) -> None:
        world = World()
        first = world.ranked()[0]
        world.unresponsive = {"g1", "g2"} if first == "g0" else {first}
        began = world.clock.now()
        assignment = world.find(live_call("c1", world.clock))
        assert world.clock.now() - began < 0.5
        assert assignment.coordinator not in world.unresponsive
        began = world.clock.now()
        world.find(live_call("c2", world.clock))
        assert world.clock.now() - began < 0.05

    def test_when_all_are_silent_this_gateway_decides(self) -> None:
        world = World()
        world.unresponsive = {"g1", "g2"}
        assert world.find(live_call("c1", world.clock)).coordinator == "g0"

    def test_a_place_that_comes_too_late_is_given_back(self) -> None:
        world = World()
        grant = Grant(AttemptId("old"), InstanceId("e1"), None, 0.0)
        world.client.handle_response(grant, "g1")
        name, message = world.sent[-1]
        assert name == "g1"
        assert message == RequestEnded("g0", world.cell, AttemptId("old"), "withdrawn")

    def test_a_request_that_waits_is_withdrawn_when_its_caller_goes(self) -> None:
        world = World()
        world.coordinators = dict.fromkeys(world.coordinators, world.coordinators["g0"])
        calls = [review(f"r{number}", f"s{number}") for number in range(60)]
        for call in calls:
            call.arrival = world.clock.now()
            call.deadline = call.caller_deadline = call.arrival + 5.0
        finders = [gevent.spawn(world.find, call) for call in calls]
        gevent.sleep(0.05)
        waiting = [finder for finder in finders if not finder.ready()]
        assert waiting and world.coordinators["g0"].has_queued
        gevent.killall(waiting)
        assert not world.coordinators["g0"].has_queued

    def test_what_runs_is_told_until_it_ends(self) -> None:
        world = World()
        call = live_call("c1", world.clock)
        assignment = world.find(call)
        world.sent.clear()
        world.client.report_running_requests()
        (running,) = [
            item for _, item in world.sent if isinstance(item, RunningRequests)
        ]
        assert running.requests == ((call.id, assignment.instance, 700),)
        world.client.report_prefill_done(assignment, call, None)
        world.sent.clear()
        world.client.report_running_requests()
        assert world.sent[-1][1].requests == ((call.id, assignment.instance, 0),)
        world.client.report_request_ended(assignment, call, "whole")
        world.sent.clear()
        world.client.report_running_requests()
        assert not world.sent

    def test_a_refusal_that_says_when_to_come_back_is_final(self) -> None:
        """Another coordinator would place what the first one has no room for."""
        world = World()
        world.client._cells.suspect_gateway("g0")
        first = world.ranked()[0]
        refusal = RequestRejected(AttemptId("c1"), 1.5, 3.0)

        def refuse(name: str, message: object) -> None:
            world.sent.append((name, message))
            if isinstance(message, AssignmentRequest):
                world.answer(name, refusal)

        world.client._send = refuse
        found = world.client.request_assignment(
            live_call("c1", world.clock), excluded=(), is_first_attempt=True
        )
        assert found == refusal
        asked = {
            name
            for name, message in world.sent
            if isinstance(message, AssignmentRequest)
        }
        assert asked == {first}
