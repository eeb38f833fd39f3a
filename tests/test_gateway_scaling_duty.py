"""
Tests of load reports and of the duty of ordering replicas
==========================================================

With a scripted API and authority, and with a gateway process and the API's stand-in.
"""

import math
import signal
from collections.abc import Callable, Iterator
from pathlib import Path

import gevent
import msgspec
import pytest
from prometheus_client import CollectorRegistry, generate_latest

from damasklead import ManualClock
from damasklead.gateway.calls import UpstreamRecord, UpstreamState
from damasklead.gateway.coordination.assignment_client import (
    make_assignment_request,
)
from damasklead.gateway.coordination.cellmap import CellMap
from damasklead.gateway.coordination.cells import Cell, Member
from damasklead.gateway.coordination.coordinators import Coordinators
from damasklead.gateway.duties.announcements import HolderDirectory
from damasklead.gateway.duties.base import (
    ApiError,
    ApiFault,
    Authority,
    CallIdentity,
    PlatformApi,
    UsageReport,
)
from damasklead.gateway.duties.messages import HolderNotice
from damasklead.gateway.duties.scaling.duty import (
    LIST_GROWTH_SECONDS,
    MAX_CALLS_PER_PASS,
    MAX_LIST_AGE_SECONDS,
    ScalingDuty,
    count_replicas,
)
from damasklead.gateway.duties.scaling.load_reports import LoadCollector, LoadReporter
from damasklead.gateway.duties.scaling.messages import CellLoad
from damasklead.gateway.duties.scaling.metrics import ScalingMetrics
from damasklead.gateway.duties.scaling.planner import CentreReplicas
from damasklead.gateway.journal import Journal
from damasklead.gateway.routing import RoutingTable, ServiceSpec
from damasklead.ids import DataCentre, InstanceId, ServiceName
from damasklead.rate_limits import RateLimits
from tests.api_standin import ApiCall, ApiStandin
from tests.gateway_kit import SERVICE, find_free_ports, make_table, wait_until
from tests.platform_standin import make_configuration, make_upstream_entry
from tests.scaling_replay import CENTRES, ENGINE, SPEC
from tests.test_gateway_coordination import make_review_call
from tests.test_gateway_process import Site

HANDOVER_SECONDS = 0.5
CELL = Cell(SERVICE, DataCentre(""), 0)
SCALED = ServiceSpec(name=SERVICE, max_connections=100, engine=ENGINE, scaling=SPEC)


def make_load(cell: Cell = CELL, **changes: object) -> CellLoad:
    load = CellLoad(cell, 40, 2, 80.0, 1.0, 90_000.0, 0.1, 6_000)
    return msgspec.structs.replace(load, **changes)


def make_records(
    count: int, centre: DataCentre = CENTRES[0], **changes: object
) -> list[UpstreamRecord]:
    record = UpstreamRecord(
        instance=InstanceId("e"),
        service=SERVICE,
        address="127.0.0.1:1",
        data_centre=centre,
        state=UpstreamState.LIVE,
    )
    return [
        msgspec.structs.replace(
            record, instance=InstanceId(f"e-{centre}-{number}"), **changes
        )
        for number in range(count)
    ]


class ScriptedApi(PlatformApi):
    """
    Records the calls, and fails or waits as it is told.

    Attributes
    ----------
    orders : list
        Data centre, kind and number of each call.
    fault : ApiFault or None
        Fault of all calls.
    seconds : float
        Time that a call takes.
    """

    def __init__(self) -> None:
        self.orders: list[tuple[DataCentre, bool, int]] = []
        self.identities: list[CallIdentity] = []
        self.fault: ApiFault | None = None
        self.seconds = 0.0
        self.most_calls = 0
        self._running = 0

    @property
    def timeout_seconds(self) -> float:
        return 1.0

    def report_usage(
        self,
        report: UsageReport,
        *,
        identity: CallIdentity,
        may_send: Callable[[float], bool],
    ) -> None:
        raise NotImplementedError

    def order_replicas(
        self,
        service: ServiceName,
        data_centre: DataCentre,
        *,
        count: int,
        preemptible: bool,
        identity: CallIdentity,
        may_send: Callable[[float], bool],
    ) -> None:
        self.orders.append((data_centre, preemptible, count))
        self.identities.append(identity)
        self._running += 1
        self.most_calls = max(self.most_calls, self._running)
        gevent.sleep(self.seconds)
        self._running -= 1
        if self.fault is not None:
            raise ApiError(self.fault, "scripted")


class ScriptedAuthority(Authority):
    """
    Holds the lease as it is told.

    Attributes
    ----------
    token : int
    answers : list of bool
        Answers of ``may_act_for`` in turn; the last one is repeated.
    """

    def __init__(self) -> None:
        self.token = 7
        self.answers = [True]

    @property
    def identity(self) -> CallIdentity:
        return CallIdentity(holder=InstanceId("g1"), token=self.token)

    def may_act_for(self, seconds: float) -> bool:
        assert seconds == 1.0
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]


class DutyHarness:
    """The duty with a scripted API, authority and list."""

    def __init__(self) -> None:
        self.clock = ManualClock(start=50.0)
        self.api = ScriptedApi()
        self.authority = ScriptedAuthority()
        self.journal = Journal(instance="g1")
        self.registry = CollectorRegistry()
        self.records = [
            record for centre in CENTRES for record in make_records(5, centre)
        ]
        self.list_age = 0.0
        self.table: RoutingTable | None = make_table(services=[SCALED])
        self.directory = HolderDirectory(
            instance="g1", peers=None, clock=self.clock, journal=self.journal
        )
        self.collector = LoadCollector(directory=self.directory, clock=self.clock)
        self.metrics = ScalingMetrics(registry=self.registry)
        self.duty = self.make_duty()
        self.duty.perform(self.authority)
        self.clock.advance(LIST_GROWTH_SECONDS)
        self.directory.announce(HolderNotice(7, "", 1))
        self.report(running=0, queued=0, arrivals=0.0, refusals=0.0)

    def make_duty(self) -> ScalingDuty:
        """Return a duty as a gateway has it after its start."""
        return ScalingDuty(
            api=self.api,
            table=lambda: self.table,
            list_records=lambda: self.records,
            get_list_age=lambda: self.list_age,
            collector=self.collector,
            clock=self.clock,
            journal=self.journal,
            metrics=self.metrics,
        )

    def report(self, **changes: object) -> None:
        """Send this gateway a report of one cell."""
        self.directory.send(make_load(**changes))

    def perform(self) -> list[tuple[DataCentre, bool, int]]:
        """Let the duty act once; returns its calls."""
        before = len(self.api.orders)
        self.duty.perform(self.authority)
        return self.api.orders[before:]


class TestDuty:
    def test_orders_are_placed_in_the_holders_name(self) -> None:
        """Guards against calls without the lease's token."""
        harness = DutyHarness()
        orders = harness.perform()
        assert {(centre, kind) for centre, kind, _ in orders} == {
            (centre, True) for centre in CENTRES
        }
        assert {item.token for item in harness.api.identities} == {7}
        assert "replicas-ordered" in harness.journal.pending_lines[-1]
        assert b'outcome="accepted"' in generate_latest(harness.registry)
        state = harness.duty.state[SERVICE]
        assert isinstance(state, dict) and state["groups"]["dc-1/preemptible"] == 5

    def test_calls_of_several_data_centres_are_made_at_the_same_time(self) -> None:
        """Guards against a slow API that delays one data centre for another one."""
        harness = DutyHarness()
        harness.api.seconds = 0.05
        assert len(harness.perform()) == 3
        assert harness.api.most_calls == 3

    def test_the_calls_of_many_services_are_spread_over_passes(self) -> None:
        """Guards against exceeding the API's rate with many services."""
        harness = DutyHarness()
        names = [ServiceName(f"s{number}") for number in range(8)]
        harness.table = make_table(
            services=[msgspec.structs.replace(SCALED, name=name) for name in names]
        )
        harness.records = [
            msgspec.structs.replace(record, service=name)
            for name in names
            for record in harness.records
        ]
        harness.duty.perform(harness.authority)
        harness.clock.advance(LIST_GROWTH_SECONDS)
        passes = []
        for _ in range(5):
            for name in names:
                harness.report(
                    cell=Cell(name, DataCentre(""), 0), running=0, queued=0,
                    arrivals=0.0, refusals=0.0,
                )  # fmt: skip
            passes.append(len(harness.perform()))
            harness.clock.advance(0.25)
        assert max(passes) == MAX_CALLS_PER_PASS and sum(passes) == 24

    def test_nothing_is_ordered_without_the_lease(self) -> None:
        """Guards against calls of a gateway that doesn't hold the lease."""
        harness = DutyHarness()
        harness.authority.answers = [False]
        assert not harness.perform()

    def test_a_lease_lost_before_the_call_prevents_it(self) -> None:
        """Guards against a call that was decided while the lease was held."""
        harness = DutyHarness()
        harness.authority.answers = [True, False]
        assert not harness.perform()
        harness.authority.answers = [True]
        harness.clock.advance(5.0)
        harness.report(running=0, queued=0, arrivals=0.0, refusals=0.0)
        assert harness.perform()

    def test_a_stale_list_prevents_orders(self) -> None:
        """Guards against ordering what the platform's list doesn't show yet."""
        harness = DutyHarness()
        harness.list_age = MAX_LIST_AGE_SECONDS + 1
        assert not harness.perform()
        harness.list_age = 0.0
        assert harness.perform()

    def test_the_first_orders_wait_for_the_whole_list(self) -> None:
        """Guards against giving up replicas that register last at the start."""
        harness = DutyHarness()
        duty = harness.make_duty()
        whole, harness.records = harness.records, harness.records[:6]
        duty.perform(harness.authority)
        harness.clock.advance(0.9 * LIST_GROWTH_SECONDS)
        harness.records = whole
        harness.report(running=0, queued=0, arrivals=0.0, refusals=0.0)
        duty.perform(harness.authority)
        harness.clock.advance(0.9 * LIST_GROWTH_SECONDS)
        harness.report(running=0, queued=0, arrivals=0.0, refusals=0.0)
        duty.perform(harness.authority)
        assert not harness.api.orders
        harness.clock.advance(0.2 * LIST_GROWTH_SECONDS)
        duty.perform(harness.authority)
        assert len(harness.api.orders) == 3

    def test_missing_configuration_or_reports_prevent_orders(self) -> None:
        """Guards against orders by a gateway that has just started."""
        harness = DutyHarness()
        harness.clock.advance(10.0)
        assert not harness.perform()
        harness.table = None
        assert not harness.perform()

    @pytest.mark.parametrize("fault", list(ApiFault))
    def test_a_failed_call_is_logged_and_not_repeated_at_once(
        self, fault: ApiFault
    ) -> None:
        """Guards against an error of the API that ends the duty, or repeats it."""
        harness = DutyHarness()
        harness.api.fault = fault
        assert harness.perform()
        assert f'outcome="{fault.value}"' in harness.journal.pending_lines[-1]
        harness.clock.advance(0.25)
        harness.report(running=0, queued=0, arrivals=0.0, refusals=0.0)
        assert not harness.perform()

    def test_a_new_lease_starts_from_the_list(self) -> None:
        """Guards against numbers that another holder has changed meanwhile."""
        harness = DutyHarness()
        harness.perform()
        harness.authority.token = 9
        harness.clock.advance(1.0)
        harness.report(running=0, queued=0, arrivals=0.0, refusals=0.0)
        # The list shows none of the ordered replicas, so they are ordered again.
        assert len(harness.perform()) == 3

    def test_a_service_without_scaling_or_engine_is_left_alone(self) -> None:
        """Guards against orders for services that don't ask for them."""
        harness = DutyHarness()
        for changes in ({"scaling": None}, {"engine": None}):
            spec = msgspec.structs.replace(SCALED, **changes)
            harness.table = make_table(services=[spec])
            assert not harness.perform()


def test_replicas_are_counted_by_kind_and_state() -> None:
    """Guards against capacity that is leaving."""
    records = [
        *make_records(3),
        *make_records(2, is_preemptible=True),
        *make_records(1, is_preemptible=True, state=UpstreamState.LEAVING),
        *make_records(4, state=UpstreamState.LEAVING),
    ]
    assert count_replicas(records) == {
        SERVICE: {
            CENTRES[0]: CentreReplicas(ordinary=3, preemptible=2, leaving_preemptible=1)
        }
    }


class TestCollector:
    def make_collector(self) -> tuple[LoadCollector, ManualClock]:
        clock = ManualClock(start=50.0)
        journal = Journal(instance="g1")
        directory = HolderDirectory(
            instance="g1", peers=None, clock=clock, journal=journal
        )
        return LoadCollector(directory=directory, clock=clock), clock

    def test_cells_are_added_up(self) -> None:
        """Guards against the demand of one cell taken for that of the service."""
        collector, clock = self.make_collector()
        other = Cell(SERVICE, DataCentre(""), 1)
        for _ in range(2):
            collector.handle_report(make_load(), "a")
            collector.handle_report(make_load(other, running=10), "b")
            clock.advance(1.0)
        collector.handle_report(make_load(), "a")
        demand = collector.get_history(SERVICE).latest
        assert demand is not None
        assert (demand.running, demand.arrivals, demand.backlog) == (50, 160.0, 0.1)

    def test_a_duplicated_report_counts_once(self) -> None:
        """Guards against datagrams that arrive twice."""
        collector, clock = self.make_collector()
        for _ in range(2):
            collector.handle_report(make_load(), "a")
        clock.advance(1.0)
        collector.handle_report(make_load(), "a")
        demand = collector.get_history(SERVICE).latest
        assert demand is not None and demand.running == 40

    def test_the_last_report_of_a_former_coordinator_expires(self) -> None:
        """Guards against requests of a cell that count twice after a handover."""
        collector, clock = self.make_collector()
        collector.handle_report(make_load(), "a")
        for _ in range(2):
            clock.advance(1.0)
            collector.handle_report(make_load(), "b")
        demand = collector.get_history(SERVICE).latest
        assert demand is not None and demand.running == 40

    def test_idle_gateways_of_a_cell_do_not_lower_its_backlog(self) -> None:
        """Guards against a backlog that is averaged with the zeros of others."""
        collector, clock = self.make_collector()
        idle = make_load(
            running=0, queued=0, arrivals=0.0, refusals=0.0, backlog=0.0,
            prefill_tokens=0.0, shared_tokens=0,
        )  # fmt: skip
        for _ in range(2):
            collector.handle_report(idle, "b")
            collector.handle_report(make_load(), "a")
            clock.advance(1.0)
        collector.handle_report(idle, "b")
        demand = collector.get_history(SERVICE).latest
        assert demand is not None
        assert (demand.running, demand.backlog) == (40, 0.1)

    @pytest.mark.parametrize("value", [math.nan, math.inf, -1.0, 1e300])
    def test_odd_numbers_are_ignored(self, value: float) -> None:
        """Guards against a datagram that makes each decision fail for minutes."""
        collector, _ = self.make_collector()
        for field in ("running", "arrivals", "prefill_tokens", "backlog"):
            collector.handle_report(make_load(**{field: value}), "a")
        assert collector.get_history(SERVICE).latest is None

    def test_a_lost_report_changes_nothing(self) -> None:
        """Guards against a dip in the demand for each lost datagram."""
        collector, clock = self.make_collector()
        other = Cell(SERVICE, DataCentre(""), 1)
        collector.handle_report(make_load(other), "b")
        for _ in range(2):
            clock.advance(1.0)
            collector.handle_report(make_load(), "a")
        demand = collector.get_history(SERVICE).latest
        assert demand is not None and demand.running == 80


class TestReporter:
    def make_reporter(
        self, spec: ServiceSpec
    ) -> tuple[Coordinators, LoadReporter, list[CellLoad], ManualClock]:
        clock = ManualClock(start=50.0)
        cells = CellMap(
            clock=clock, local_member=Member(InstanceId("g1"), CENTRES[0], 1.0)
        )
        cells.set_engines(SERVICE, make_records(4))
        coordinators = Coordinators(
            clock=clock,
            cells=cells,
            table=lambda: make_table(services=[spec]),
            send_response=lambda _name, _response: None,
            rate_limits=RateLimits(clock=clock, instance=InstanceId("g1")),
        )
        sent: list[CellLoad] = []
        reporter = LoadReporter(coordinators=coordinators, send=sent.append)
        return coordinators, reporter, sent, clock

    def test_a_cell_without_requests_reports_zeros(self) -> None:
        """Guards against taking no demand for lost reports."""
        _, reporter, sent, _ = self.make_reporter(SCALED)
        reporter.send_reports()
        assert [(load.cell.number, load.arrivals) for load in sent] == [(0, 0.0)]

    def test_requests_are_counted(self) -> None:
        """Guards against reports that miss what the coordinator handles."""
        coordinators, reporter, sent, clock = self.make_reporter(SCALED)
        for name in ("c1", "c2"):
            call = make_review_call(name)
            call = msgspec.structs.replace(
                call, route=make_table(services=[SCALED]).routes[0]
            )
            coordinators.handle_message(
                make_assignment_request(
                    "g2", call, CELL, now=0.0, excluded=(), is_first_attempt=True
                )
            )
        clock.advance(1.0)
        reporter.send_reports()
        load = sent[-1]
        assert load.arrivals > 0 and load.running + load.queued == 2
        assert load.shared_tokens == 6000 and load.prefill_tokens > 0

    def test_a_service_without_scaling_is_not_reported(self) -> None:
        """Guards against datagrams that nobody asked for."""
        spec = msgspec.structs.replace(SCALED, scaling=None)
        _, reporter, sent, _ = self.make_reporter(spec)
        reporter.send_reports()
        assert not sent


class ScaledFleet:
    """Gateway processes that order replicas from the API's stand-in."""

    def __init__(self, folder: Path, *, count: int) -> None:
        self.api = ApiStandin()
        self.sites: list[Site] = []
        self._listed: set[str] = set()
        for number in range(1, count + 1):
            path = folder / str(number)
            path.mkdir()
            site = Site(path)
            self.sites.append(site)
            site.write_settings(
                instance=f"gateway-{number}",
                platform=self.sites[0].store.address,
                platform_api={"address": self.api.address, "duties": ["autoscale"]},
                duty_bounds={"handover_seconds": HANDOVER_SECONDS},
            )
        configuration = make_configuration(1)
        configuration["services"][0] |= {
            "engine": {"slots": 16, "kv_capacity": 300_000, "stride": 6},
            "scaling": {
                "min": 0, "max": 30, "boot_s": 1.0, "spot_price": 0.15,
                "zone_prices": {"hout": 1.0, "sal": 0.8, "bee": 1.25},
            },
        }  # fmt: skip
        self.sites[0].store.write_row("op", "config", configuration)
        for name in ("r0", "r1"):
            self.list_replica(name, zone="hout")
        for site in self.sites:
            site.start()

    def list_replica(self, name: str, **changes: object) -> None:
        """Add a replica to the platform's list."""
        address = f"127.0.0.1:{find_free_ports(1)[0]}"
        entry = make_upstream_entry(address) | changes
        self._listed.add(name)
        self.sites[0].store.write_row("servers", name, entry)

    def list_ordered_replicas(self) -> None:
        """Add the ordered replicas to the platform's list."""
        for call in list(self.api.calls):
            zone, kind = call.content["zone"], call.content.get("preemptible", False)
            for number in range(call.content["desired"]):
                name = f"new-{zone}-{kind}-{number}"
                if name not in self._listed:
                    self.list_replica(name, zone=zone, preemptible=kind)

    def find_orders(self, *, preemptible: bool) -> list[ApiCall]:
        """Return the calls that order replicas of a kind."""
        return [
            call
            for call in self.api.calls
            if call.target == "/scale"
            and call.content.get("preemptible", False) is preemptible
        ]

    def find_reductions(self) -> list[ApiCall]:
        """Return the calls that give up the replicas of the start."""
        return [
            call
            for call in self.find_orders(preemptible=False)
            if call.content["zone"] == "hout" and call.content["desired"] < 2
        ]

    def has_reduced(self) -> bool:
        """List the ordered replicas; return whether those of the start are given up."""
        self.list_ordered_replicas()
        return bool(self.find_reductions())

    def close(self) -> None:
        """Stop the processes and the stand-ins."""
        for site in reversed(self.sites):
            site.close()
        self.api.stop()


@pytest.fixture(params=[1])
def fleet(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[ScaledFleet]:
    created_fleet = ScaledFleet(tmp_path, count=request.param)
    yield created_fleet
    created_fleet.close()


def test_a_gateway_exchanges_the_replicas_of_a_quiet_service(
    fleet: ScaledFleet,
) -> None:
    """Guards against a duty that is registered but never gets reports or the lease."""
    wait_until(lambda: bool(fleet.find_orders(preemptible=True)), seconds=20)
    gevent.sleep(0.5)
    assert not fleet.find_reductions()
    wait_until(fleet.has_reduced, seconds=20)
    assert fleet.sites[0].has_logged("event=replicas-ordered")


@pytest.mark.parametrize("fleet", [2], indirect=True)
def test_another_gateway_goes_on_when_the_holder_is_killed_between_two_orders(
    fleet: ScaledFleet,
) -> None:
    """Guards against an exchange that is never ended, and calls of two holders."""
    wait_until(lambda: bool(fleet.find_orders(preemptible=True)), seconds=20)
    first = fleet.api.calls[0].owner
    holder = fleet.sites[int(first.rpartition("-")[2]) - 1]
    holder.send_signal(signal.SIGKILL)
    calls = len(fleet.api.calls)
    wait_until(fleet.has_reduced, seconds=40)
    assert {call.owner for call in fleet.api.calls[calls:]} - {first}
    assert {call.owner for call in fleet.find_reductions()} != {first}
    fleet.api.check_order(handover_seconds=HANDOVER_SECONDS)
