"""
Fleet of an experiment
======================

All gateways, engines and callers of one run, and its faults.
"""

import random

import msgspec

from damasklead.experiment.callers import Caller
from damasklead.experiment.description import Experiment, Fault, FaultKind, RequestKind
from damasklead.experiment.engines import Engine
from damasklead.experiment.gateways import Gateway
from damasklead.experiment.load import Arrival, generate_arrivals
from damasklead.experiment.policies import Policy
from damasklead.experiment.simulator import Simulator
from damasklead.experiment.tally import Tally
from damasklead.gateway.calls import UpstreamRecord, UpstreamState
from damasklead.gateway.coordination.service import QUEUE_INTERVAL_SECONDS
from damasklead.gateway.placements import Placement
from damasklead.gateway.routing import (
    CallerLimits,
    EngineSpec,
    Route,
    RouteKind,
    RouteName,
    RoutingContent,
    RoutingTable,
    ServiceSpec,
)
from damasklead.ids import DataCentre, InstanceId, ServiceName

__all__ = ["run_experiment"]

SERVICE = ServiceName("engines")
# Delay until the list of engines shows that one crashed or restarted.
LIST_DELAY_SECONDS = 3.0
# Attempts of a request that may be executed more than once.
MAX_ATTEMPTS = 2


def run_experiment(experiment: Experiment, policy: Policy, seed: int) -> Tally:
    """
    Run an experiment once.

    Parameters
    ----------
    experiment : Experiment
    policy : Policy
    seed : int
        Seed of the random draws.

    Returns
    -------
    Tally
        The outcomes of all requests.
    """
    return _Fleet(experiment=experiment, policy=policy, seed=seed).run()


def make_route(kind: RequestKind) -> Route:
    """Return the route of a kind of request."""
    return Route(
        name=RouteName(kind.name),
        host="experiment",
        prefix=f"/{kind.name}/",
        kind=RouteKind.STREAM,
        timeout=kind.timeout,
        target=kind.target,
        tier=kind.tier,
        event_gap=kind.event_gap,
        resumable=kind.resumable,
        max_attempts=MAX_ATTEMPTS if kind.resumable else 1,
        split=((SERVICE, 1.0),),
    )


class _Fleet:
    def __init__(self, *, experiment: Experiment, policy: Policy, seed: int) -> None:
        self._experiment = experiment
        self._simulator = Simulator()
        self._tally = Tally()
        self._seed = seed
        parameters = experiment.engines
        known_parts: set[str] = set()
        self._records = [
            self._make_record(number) for number in range(parameters.count)
        ]
        self._engines = {
            record.instance: Engine(
                parameters=parameters,
                simulator=self._simulator,
                step_time_factor=parameters.speeds[number % len(parameters.speeds)],
                known_parts=known_parts,
            )
            for number, record in enumerate(self._records)
        }
        self._routes = {kind.name: make_route(kind) for kind in experiment.kinds}
        self._routing_table = self._make_routing_table()
        placement = policy.get_placement_class(self._engines)
        self._gateways = [
            self._make_gateway(number, placement)
            for number in range(experiment.gateways)
        ]
        self._gateways_by_name = {gateway.name: gateway for gateway in self._gateways}
        members = [gateway.member for gateway in self._gateways]
        for gateway in self._gateways:
            gateway.update_members(members)
        self._partitioned: set[str] = set()

    def run(self) -> Tally:
        """Run the experiment until the last request's timeout has passed."""
        self._update_listed_engines()
        for arrival in generate_arrivals(self._experiment, self._seed):
            self._simulator.schedule(arrival.arrival_time, self._start_caller, arrival)
        for fault in self._experiment.faults:
            self._simulator.schedule(fault.at, self._inject_fault, fault)
        if self._experiment.engines.contention is not None:
            for name, engine in self._engines.items():
                self._schedule_contention(engine, random.Random(f"{name} contention"))
        for gateway in self._gateways:
            self._simulator.schedule(0.0, self._process_queues, gateway)
        max_timeout = max(kind.timeout for kind in self._experiment.kinds)
        self._simulator.run_until(self._experiment.seconds + max_timeout + 1.0)
        self._tally.prefilled_tokens = sum(
            item.prefilled_tokens for item in self._engines.values()
        )
        self._tally.recomputed_tokens = sum(
            item.recomputed_tokens for item in self._engines.values()
        )
        self._tally.copied_tokens = sum(
            item.copied_tokens for item in self._engines.values()
        )
        self._tally.cross_data_centre_bytes = sum(
            item.cross_data_centre_bytes for item in self._gateways
        )
        return self._tally

    def _make_record(self, number: int) -> UpstreamRecord:
        centres = self._experiment.data_centres
        return UpstreamRecord(
            instance=InstanceId(f"engine-{self._seed}-{number}"),
            service=SERVICE,
            address=f"127.0.0.1:{number + 1}",
            data_centre=DataCentre(centres[number % len(centres)]),
            state=UpstreamState.LIVE,
            slots=self._experiment.engines.slots,
            incarnation=1,
        )

    def _make_routing_table(self) -> RoutingTable:
        parameters = self._experiment.engines
        spec = EngineSpec(
            slots=parameters.slots,
            memory_tokens=parameters.memory_tokens,
            tokens_per_event=parameters.tokens_per_event,
        )
        return RoutingTable(
            content=RoutingContent(
                version=1,
                routes=list(self._routes.values()),
                services=[ServiceSpec(name=SERVICE, max_connections=1000, engine=spec)],
                workspaces=None,
                limits=CallerLimits(),
            )
        )

    def _make_gateway(self, number: int, placement: type[Placement]) -> Gateway:
        centres = self._experiment.data_centres
        return Gateway(
            name=f"gateway-{number}",
            data_centre=DataCentre(centres[number % len(centres)]),
            simulator=self._simulator,
            table=self._routing_table,
            placement=placement,
            engines=self._engines,
            compute_delay=self._compute_delay,
            send_message=self._send_message,
        )

    def _compute_delay(self, source: DataCentre, destination: DataCentre) -> float:
        is_local = source == destination
        return self._experiment.delay if is_local else self._experiment.far_delay

    def _start_caller(self, arrival: Arrival) -> None:
        Caller(
            arrival=arrival,
            route=self._routes[arrival.kind.name],
            service=SERVICE,
            gateways=self._gateways,
            simulator=self._simulator,
            tally=self._tally,
        ).send_request()

    def _process_queues(self, gateway: Gateway) -> None:
        gateway.process_queued_requests()
        self._simulator.schedule(QUEUE_INTERVAL_SECONDS, self._process_queues, gateway)

    def _send_message(self, gateway: Gateway, name: str, message: object) -> None:
        """Deliver a message to another gateway unless one of the two is partitioned."""
        if gateway.name in self._partitioned or name in self._partitioned:
            return
        receiver = self._gateways_by_name[name]
        delay = self._compute_delay(gateway.data_centre, receiver.data_centre)
        self._simulator.schedule(delay, receiver.receive_message, message, gateway.name)

    def _inject_fault(self, fault: Fault) -> None:
        if fault.kind is FaultKind.PARTITION:
            count = max(1, round(fault.share * len(self._gateways)))
            self._partitioned |= {item.name for item in self._gateways[:count]}
            self._simulator.schedule(fault.seconds, self._partitioned.clear)
            return
        count = max(1, round(fault.share * len(self._engines)))
        for engine in list(self._engines.values())[:count]:
            if fault.kind is FaultKind.CRASH:
                engine.crash(fault.seconds)
            else:
                engine.slowdown_factor = fault.factor
                self._simulator.schedule(
                    fault.seconds, setattr, engine, "slowdown_factor", 1.0
                )
        if fault.kind is FaultKind.CRASH:
            self._simulator.schedule(
                min(LIST_DELAY_SECONDS, fault.seconds), self._update_listed_engines
            )
            self._simulator.schedule(
                fault.seconds + LIST_DELAY_SECONDS, self._update_listed_engines
            )

    def _schedule_contention(self, engine: Engine, rng: random.Random) -> None:
        """Let other work slow an engine's machine down, again and again."""
        contention = self._experiment.engines.contention
        assert contention is not None
        wait = rng.expovariate(1 / contention.interval)
        end = wait + contention.seconds
        for delay, factor in ((wait, contention.factor), (end, 1.0)):
            self._simulator.schedule(
                delay, setattr, engine, "contention_factor", factor
            )
        self._simulator.schedule(end, self._schedule_contention, engine, rng)

    def _update_listed_engines(self) -> None:
        """Give all gateways the list of the running engines."""
        listed = [
            msgspec.structs.replace(
                record, incarnation=self._engines[record.instance].incarnation
            )
            for record in self._records
            if self._engines[record.instance].is_running
        ]
        for gateway in self._gateways:
            gateway.update_replicas(SERVICE, listed)
