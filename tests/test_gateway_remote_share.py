"""
Tests of the choice between data centres
========================================

Many gateways choose between the cells of three data centres by loads that they know
late.  Guards against requests that stay where the engines are overloaded, against
requests that leave although it costs more than it gains, and against gateways that all
choose the same cell and then the next one.
"""

import math
import random
from collections import Counter, deque

import msgspec
import pytest

from damasklead.clock import ManualClock
from damasklead.gateway.calls import Call, PromptPart
from damasklead.gateway.coordination.cellmap import CellMap
from damasklead.gateway.coordination.cells import (
    Cell,
    Member,
    partition_engines,
    select_home_cell,
)
from damasklead.gateway.coordination.remote_share import (
    LOAD_TTL_SECONDS,
    PROBE_INTERVAL_SECONDS,
    REPORTED_REQUESTS,
    CellLoads,
    RemoteReason,
    RemoteShares,
    RemoteTally,
    RemoteTraffic,
)
from damasklead.ids import DataCentre, InstanceId
from tests.gateway_kit import SERVICE
from tests.test_gateway_coordination import QUOTE, make_engines, make_review_call
from tests.test_gateway_decisions import CHAT, make_call

CENTRES = ("hout", "mossel", "saldanha")
TRAFFIC = RemoteTraffic(latency_seconds=0.002, seconds_per_megabyte=5.0)
STEP_SECONDS = 0.02
# Prefill work of one request in seconds of an engine.
WORK_SECONDS = 0.05


def make_quote(name: str, *, body: bytes = b"") -> Call:
    parts = (PromptPart(f"s{name}", 500), PromptPart(f"own-{name}", 1800))
    call = make_call(name, QUOTE, parts=parts, tokens=2300)
    return msgspec.structs.replace(call, body=body)


class Replay:
    """
    Gateways that send requests to cells, each of which works off its backlog.

    A gateway learns the load of a cell from its responses, ``lag`` steps late.
    """

    def __init__(
        self,
        *,
        engines: dict[str, int],
        traffic: RemoteTraffic | None,
        gateways: int = 60,
        lag: int = 5,
    ) -> None:
        self.clock = ManualClock(start=100.0)
        self.backlogs: dict[Cell, float] = {}
        self.sent: Counter[tuple[DataCentre, DataCentre]] = Counter()
        self.lost_reports: set[Cell] = set()
        self._random = random.Random(7)
        self._lag = lag
        self._reports: deque[tuple[float, CellMap, Cell, float]] = deque()
        self._count = 0
        self.engines = engines
        self._maps: dict[str, list[CellMap]] = {centre: [] for centre in CENTRES}
        for number in range(gateways):
            centre = CENTRES[number % len(CENTRES)]
            cells = CellMap(
                clock=self.clock,
                local_member=Member(InstanceId(f"g{number}"), DataCentre(centre)),
                remote_traffic=traffic,
            )
            self._maps[centre].append(cells)
        self.set_engines(engines)

    def set_engines(self, engines: dict[str, int]) -> None:
        self.engines = engines
        records = [
            record
            for centre, count in engines.items()
            for record in make_engines(count, centre)
        ]
        for number, record in enumerate(records):
            records[number] = msgspec.structs.replace(
                record, instance=InstanceId(f"{record.data_centre}-{number}")
            )
        for maps in self._maps.values():
            for cells in maps:
                cells.set_engines(SERVICE, records, is_scaled=True)
        self.backlogs = {cell: self.backlogs.get(cell, 0.0) for cell in cells.cells}

    def run(self, seconds: float, rates: dict[str, float]) -> dict[Cell, list[float]]:
        """Send requests at rates by data centre; returns the backlogs over time."""
        history: dict[Cell, list[float]] = {cell: [] for cell in self.backlogs}
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            while self._reports and self._reports[0][0] <= self.clock.now():
                _, cells, cell, load = self._reports.popleft()
                cells.record_load(cell, load)
            for centre, rate in rates.items():
                expected = rate * STEP_SECONDS
                count = int(expected) + (self._random.random() < expected % 1)
                for _ in range(count):
                    self._send(centre)
            for cell in self.backlogs:
                self.backlogs[cell] = max(0.0, self.backlogs[cell] - STEP_SECONDS)
                history[cell].append(self.backlogs[cell])
        return history

    def _send(self, centre: str) -> None:
        self._count += 1
        cells = self._random.choice(self._maps[centre])
        cell = cells.select_cell(make_quote(str(self._count)), is_first_attempt=True)
        assert cell is not None
        self.sent[DataCentre(centre), cell.data_centre] += 1
        self.backlogs[cell] += WORK_SECONDS / self.engines[cell.data_centre]
        if cell not in self.lost_reports:
            due = self.clock.now() + self._lag * STEP_SECONDS
            self._reports.append((due, cells, cell, self.backlogs[cell]))


EVEN = {"hout": 15, "mossel": 15, "saldanha": 15}
# 1.5 times what one data centre's engines do, and half of what the others do.
SHIFTED = {"hout": 450.0, "mossel": 150.0, "saldanha": 150.0}


def find_largest(history: dict[Cell, list[float]], *, skip: int = 0) -> float:
    return max(max(values[skip:]) for values in history.values())


class TestReplays:
    def test_a_burst_in_one_data_centre_is_shared(self) -> None:
        replay = Replay(engines=EVEN, traffic=TRAFFIC)
        history = replay.run(6.0, SHIFTED)
        # Half of the target, which leaves the other half for the request itself.
        assert find_largest(history) <= QUOTE.target / 2
        left = replay.sent[DataCentre("hout"), DataCentre("mossel")]
        assert (
            0
            < left
            < 0.5
            * sum(
                count for (source, _), count in replay.sent.items() if source == "hout"
            )
        )

    def test_without_costs_a_burst_exceeds_the_target(self) -> None:
        replay = Replay(engines=EVEN, traffic=None)
        assert find_largest(replay.run(6.0, SHIFTED)) > QUOTE.target

    @pytest.mark.parametrize("lag", [2, 10, 25])
    def test_loads_known_late_do_not_make_the_cells_swing(self, lag: int) -> None:
        replay = Replay(engines=EVEN, traffic=TRAFFIC, lag=lag)
        history = replay.run(8.0, SHIFTED)
        # Swings would empty one cell while another one's backlog exceeds the target.
        assert find_largest(history, skip=200) <= QUOTE.target

    def test_calm_data_centres_send_nothing_away(self) -> None:
        replay = Replay(engines=EVEN, traffic=TRAFFIC)
        replay.run(4.0, dict.fromkeys(CENTRES, 150.0))
        assert all(source == target for source, target in replay.sent)

    def test_a_data_centre_that_loses_most_engines_is_relieved(self) -> None:
        replay = Replay(engines=EVEN, traffic=TRAFFIC)
        rates = dict.fromkeys(CENTRES, 150.0)
        replay.run(2.0, rates)
        replay.set_engines(EVEN | {"hout": 3})
        assert find_largest(replay.run(6.0, rates)) <= QUOTE.target
        replay.set_engines(EVEN)
        replay.run(2.0, rates)
        replay.sent.clear()
        replay.run(2.0, rates)
        assert all(source == target for source, target in replay.sent)

    def test_a_shift_of_callers_is_followed(self) -> None:
        replay = Replay(engines=EVEN, traffic=TRAFFIC)
        replay.run(4.0, SHIFTED)
        moved = {"hout": 150.0, "mossel": 150.0, "saldanha": 450.0}
        assert find_largest(replay.run(6.0, moved)) <= QUOTE.target / 2

    def test_a_silent_data_centre_gets_probes_only(self) -> None:
        replay = Replay(engines=EVEN, traffic=TRAFFIC)
        replay.run(2.0, SHIFTED)
        replay.lost_reports = {
            cell for cell in replay.backlogs if cell.data_centre == "mossel"
        }
        replay.run(1.5 * LOAD_TTL_SECONDS, SHIFTED)
        replay.sent.clear()
        replay.run(2.0, SHIFTED)
        to_silent = replay.sent[DataCentre("hout"), DataCentre("mossel")]
        # 20 gateways of the data centre, each with a probe every 0.25 s.
        assert to_silent <= 20 * 2.0 / PROBE_INTERVAL_SECONDS
        assert to_silent < replay.sent[DataCentre("hout"), DataCentre("saldanha")]

    def test_a_small_data_centre_is_not_overloaded_by_a_larger_one(self) -> None:
        replay = Replay(engines=EVEN | {"mossel": 2}, traffic=TRAFFIC, gateways=30)
        rates = {"hout": 380.0, "mossel": 10.0, "saldanha": 100.0}
        history = replay.run(8.0, rates)
        assert find_largest(history, skip=100) <= QUOTE.target

    def test_gateways_with_few_requests_know_enough(self) -> None:
        replay = Replay(engines=EVEN, traffic=TRAFFIC, gateways=360)
        history = replay.run(8.0, SHIFTED)
        assert find_largest(history) <= QUOTE.target


HOUT, MOSSEL, SALDANHA = (Cell(SERVICE, DataCentre(name), 0) for name in CENTRES)


def make_shares(traffic: RemoteTraffic = TRAFFIC) -> RemoteShares:
    return RemoteShares(
        clock=ManualClock(start=5.0), data_centre=DataCentre("hout"), traffic=traffic
    )


class TestCosts:
    def test_long_bodies_and_prefixes_cost_more(self) -> None:
        shares = make_shares()
        short = shares.estimate_cost(make_quote("a"), HOUT, MOSSEL)
        body = make_quote("a", body=b"x" * 50_000)
        assert short < shares.estimate_cost(body, HOUT, MOSSEL)
        assert short < shares.estimate_cost(make_review_call("a"), HOUT, MOSSEL)

    def test_a_way_back_from_a_remote_home_costs_no_traffic(self) -> None:
        shares = make_shares()
        call = make_quote("a", body=b"x" * 50_000)
        assert shares.estimate_cost(call, MOSSEL, HOUT) == 0.0
        assert shares.estimate_cost(call, MOSSEL, SALDANHA) == 0.0
        assert shares.estimate_cost(call, HOUT, MOSSEL) > 0.2

    @pytest.mark.parametrize("load", [None, 0.0], ids=["probe", "known load"])
    def test_streams_with_short_gaps_stay_behind_slow_links(
        self, load: float | None
    ) -> None:
        shares = make_shares(RemoteTraffic(latency_seconds=0.04))
        shares.loads.record(HOUT, 9.0)
        if load is not None:
            shares.loads.record(MOSSEL, load)
        for number in range(40):
            call = make_call(f"c{number}", CHAT)
            assert shares.select_cell(call, HOUT, {HOUT: 9, MOSSEL: 9}) == HOUT
        quotes = [make_quote(f"q{number}") for number in range(40)]
        assert MOSSEL in {
            shares.select_cell(call, HOUT, {HOUT: 9, MOSSEL: 9}) for call in quotes
        }

    def test_cells_of_unknown_load_get_few_probes(self) -> None:
        shares = make_shares()
        shares.loads.record(HOUT, 9.0)
        chosen = [
            shares.select_cell(make_quote(f"q{number}"), HOUT, {HOUT: 9, MOSSEL: 9})
            for number in range(100)
        ]
        assert chosen.count(MOSSEL) == 1


class TestLoads:
    def test_a_load_that_is_too_old_is_unknown(self) -> None:
        clock = ManualClock(start=5.0)
        loads = CellLoads(clock=clock)
        cell = Cell(SERVICE, DataCentre("hout"), 0)
        loads.record(cell, 2.0)
        assert loads.get(cell) == 2.0
        clock.advance(LOAD_TTL_SECONDS)
        assert loads.get(cell) is None

    def test_one_report_moves_the_known_load_by_a_part(self) -> None:
        clock = ManualClock(start=5.0)
        loads = CellLoads(clock=clock)
        cell = Cell(SERVICE, DataCentre("hout"), 0)
        loads.record(cell, 0.0)
        clock.advance(0.1)
        loads.record(cell, 2.0)
        load = loads.get(cell)
        assert load is not None and 0.0 < load < 2.0

    @pytest.mark.parametrize("odd", [math.nan, math.inf, -1.0])
    def test_odd_loads_are_ignored(self, odd: float) -> None:
        loads = CellLoads(clock=ManualClock(start=5.0))
        cell = Cell(SERVICE, DataCentre("hout"), 0)
        loads.record(cell, odd)
        assert loads.get(cell) is None
        loads.record(cell, 1.0)
        loads.record(cell, odd)
        assert loads.get(cell) == 1.0


class TestUnevenDataCentres:
    def test_a_small_service_has_one_cell_over_all_data_centres(self) -> None:
        records = make_engines(15, *CENTRES)
        cells = partition_engines(records, is_scaled=True, by_data_centre_only=True)
        assert [len(group) for group in cells.values()] == [15]

    def test_a_small_data_centre_keeps_a_cell_of_its_own(self) -> None:
        records = [*make_engines(15, "hout"), *make_engines(2, "mossel")]
        cells = partition_engines(records, by_data_centre_only=True)
        assert [(cell.data_centre, len(group)) for cell, group in cells.items()] == [
            ("hout", 15),
            ("mossel", 2),
        ]

    def test_homes_of_prefixes_follow_the_number_of_engines(self) -> None:
        cells = [Cell(SERVICE, DataCentre(centre), 0) for centre in CENTRES]
        calls = [make_review_call(f"r{n}", f"s{n}") for n in range(600)]

        def find_homes(*weights: float) -> list[Cell | None]:
            shares = dict(zip(cells, weights, strict=True))
            return [
                select_home_cell(cells, call, DataCentre("hout"), weights=shares)
                for call in calls
            ]

        before, after = find_homes(15, 15, 15), find_homes(15, 15, 3)
        counts = Counter(after)
        assert counts[cells[2]] < 90 < 200 < counts[cells[0]]
        moved = {
            (old, new) for old, new in zip(before, after, strict=True) if old != new
        }
        assert {old for old, _ in moved} == {cells[2]}


class TestCellMap:
    def make_cells(self, traffic: RemoteTraffic | None, *centres: str) -> CellMap:
        cells = CellMap(
            clock=ManualClock(start=5.0),
            local_member=Member(InstanceId("g0"), DataCentre("hout")),
            remote_traffic=traffic,
        )
        cells.set_members(
            Member(InstanceId(f"g-{centre}-{number}"), DataCentre(centre))
            for centre in centres
            for number in range(2)
        )
        cells.set_engines(SERVICE, make_engines(60, *centres))
        return cells

    def choose(self, cells: CellMap, count: int = 60) -> Counter[Cell | None]:
        return Counter(
            cells.select_cell(make_quote(f"q{n}"), is_first_attempt=True)
            for n in range(count)
        )

    def test_a_data_centre_that_is_cut_off_gets_nothing(self) -> None:
        cells = self.make_cells(TRAFFIC, "hout", "mossel")
        for cell in cells.cells:
            cells.record_load(cell, 2.0 if cell.data_centre == "hout" else 0.0)
        assert {cell.data_centre for cell in self.choose(cells) if cell} == {
            "hout",
            "mossel",
        }
        for number in range(2):
            cells.suspect_gateway(f"g-mossel-{number}")
        assert {cell.data_centre for cell in self.choose(cells) if cell} == {"hout"}

    def test_the_load_at_a_fallback_coordinator_is_not_used(self) -> None:
        cells = self.make_cells(TRAFFIC, "hout", "mossel")
        for cell in cells.cells:
            if cell.data_centre == "hout":
                cells.record_load(cell, 2.0)
            else:
                cells.record_load(cell, 0.0, is_fallback=True)
        remote = sum(
            count
            for cell, count in self.choose(cells).items()
            if cell and cell.data_centre == "mossel"
        )
        assert remote <= len(cells.cells)  # one probe for each cell

    def test_one_data_centre_is_served_as_without_the_setting(self) -> None:
        with_setting = self.make_cells(TRAFFIC, "hout")
        without = self.make_cells(None, "hout")
        for cells in (with_setting, without):
            for cell in cells.cells:
                cells.record_load(cell, 1.5 * (cell.number == 0))
        assert self.choose(with_setting) == self.choose(without)

    def test_small_data_centres_keep_cells_only_with_the_setting(self) -> None:
        records = [*make_engines(15, "hout"), *make_engines(2, "mossel")]
        for traffic, expected in ((None, {"hout"}), (TRAFFIC, {"hout", "mossel"})):
            cells = self.make_cells(traffic, "hout", "mossel")
            cells.set_engines(SERVICE, records, is_scaled=True)
            assert {cell.data_centre for cell in cells.cells} == expected
            cells.set_engines(SERVICE, records)
            assert {cell.data_centre for cell in cells.cells} == {""}


class TestReports:
    def test_changed_shares_are_reported_once(self) -> None:
        tally = RemoteTally(data_centre=DataCentre("hout"))

        def record(sent: int) -> None:
            for number in range(REPORTED_REQUESTS):
                target = DataCentre("mossel" if number < sent else "hout")
                is_remote = tally.record(SERVICE, target, RemoteReason.LOAD)
                assert is_remote is (number < sent)

        record(20)
        (change,) = tally.collect_changes()
        assert (change.target, change.share) == ("mossel", 0.4)
        record(20)
        assert tally.collect_changes() == []
        record(0)
        (change,) = tally.collect_changes()
        assert change.share == 0.0

    def test_few_requests_are_no_share(self) -> None:
        tally = RemoteTally(data_centre=DataCentre("hout"))
        tally.record(SERVICE, DataCentre("mossel"), RemoteReason.LOAD)
        assert tally.collect_changes() == []

    def test_requests_with_a_remote_home_are_no_change(self) -> None:
        tally = RemoteTally(data_centre=DataCentre("hout"))
        for _ in range(REPORTED_REQUESTS):
            assert tally.record(SERVICE, DataCentre("mossel"), RemoteReason.HOME)
        assert tally.collect_changes() == []
