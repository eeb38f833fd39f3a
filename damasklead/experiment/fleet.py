"""
Fleet of an experiment
======================

All gateways, engines and callers of one run, with its troubles.
"""

import msgspec

from damasklead.experiment.callers import Caller
from damasklead.experiment.description import Experiment, Fault, FaultKind, Kind
from damasklead.experiment.driver import Simulator
from damasklead.experiment.engines import Engine
from damasklead.experiment.gateways import Gateway
from damasklead.experiment.load import Arrival, arrivals
from damasklead.experiment.policies import Policy
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

__all__ = ["run"]

SERVICE = ServiceName("engines")
# The list shows a crashed engine so much later, and one that is back.
LIST_SECONDS = 3.0
# Runs of a request that may be repeated.
MOST_RUNS = 2


def run(experiment: Experiment, policy: Policy, seed: int) -> Tally:
    """Run an experiment once and return what its callers got."""
    return _Fleet(experiment=experiment, policy=policy, seed=seed).run()


def route_of(kind: Kind) -> Route:
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
        max_attempts=MOST_RUNS if kind.resumable else 1,
        split=((SERVICE, 1.0),),
    )


class _Fleet:
    def __init__(self, *, experiment: Experiment, policy: Policy, seed: int) -> None:
        self._experiment = experiment
        self._simulator = Simulator()
        self._tally = Tally()
        self._seed = seed
        figures = experiment.engines
        known: set[str] = set()
        self._records = [self._record(number) for number in range(figures.count)]
        self._engines = {
            record.instance: Engine(
                figures=figures,
                simulator=self._simulator,
                speed=figures.speeds[number % len(figures.speeds)],
                known=known,
            )
            for number, record in enumerate(self._records)
        }
        self._routes = {kind.name: route_of(kind) for kind in experiment.kinds}
        self._table = self._make_table()
        placement = policy.placement(self._engines)
        self._gateways = [
            self._gateway(number, placement) for number in range(experiment.gateways)
        ]
        self._by_name = {gateway.name: gateway for gateway in self._gateways}
        members = [gateway.member for gateway in self._gateways]
        for gateway in self._gateways:
            gateway.meet(members)
        self._cut: set[str] = set()

    def run(self) -> Tally:
        """Play the whole experiment."""
        self._list()
        for arrival in arrivals(self._experiment, self._seed):
            self._simulator.schedule(arrival.at, self._arrive, arrival)
        for fault in self._experiment.faults:
            self._simulator.schedule(fault.at, self._strike, fault)
        for gateway in self._gateways:
            self._simulator.schedule(0.0, self._tick, gateway)
        longest = max(kind.timeout for kind in self._experiment.kinds)
        self._simulator.run_until(self._experiment.seconds + longest + 1.0)
        self._tally.read = sum(item.read for item in self._engines.values())
        self._tally.read_again = sum(item.read_again for item in self._engines.values())
        self._tally.copied = sum(item.copied for item in self._engines.values())
        self._tally.far_bytes = sum(item.far_bytes for item in self._gateways)
        return self._tally

    def _record(self, number: int) -> UpstreamRecord:
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

    def _make_table(self) -> RoutingTable:
        figures = self._experiment.engines
        spec = EngineSpec(
            slots=figures.slots,
            memory_tokens=figures.memory_tokens,
            tokens_per_event=figures.tokens_per_event,
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

    def _gateway(self, number: int, placement: type[Placement]) -> Gateway:
        centres = self._experiment.data_centres
        return Gateway(
            name=f"gateway-{number}",
            data_centre=DataCentre(centres[number % len(centres)]),
            simulator=self._simulator,
            table=self._table,
            placement=placement,
            engines=self._engines,
            delay_to=self._delay,
            send=self._send,
        )

    def _delay(self, here: DataCentre, there: DataCentre) -> float:
        near = here == there
        return self._experiment.delay if near else self._experiment.far_delay

    def _arrive(self, arrival: Arrival) -> None:
        Caller(
            arrival=arrival,
            route=self._routes[arrival.kind.name],
            service=SERVICE,
            gateways=self._gateways,
            simulator=self._simulator,
            tally=self._tally,
        ).begin()

    def _tick(self, gateway: Gateway) -> None:
        gateway.tick()
        self._simulator.schedule(QUEUE_INTERVAL_SECONDS, self._tick, gateway)

    def _send(self, gateway: Gateway, name: str, message: object) -> None:
        """Take a message from one gateway to another, unless either is cut off."""
        if gateway.name in self._cut or name in self._cut:
            return
        other = self._by_name[name]
        delay = self._delay(gateway.data_centre, other.data_centre)
        self._simulator.schedule(delay, other.take, message, gateway.name)

    def _strike(self, fault: Fault) -> None:
        if fault.kind is FaultKind.CUT:
            count = max(1, round(fault.share * len(self._gateways)))
            self._cut |= {item.name for item in self._gateways[:count]}
            self._simulator.schedule(fault.seconds, self._cut.clear)
            return
        count = max(1, round(fault.share * len(self._engines)))
        for engine in list(self._engines.values())[:count]:
            if fault.kind is FaultKind.CRASH:
                engine.crash(fault.seconds)
            else:
                engine.slow_factor = fault.factor
                self._simulator.schedule(
                    fault.seconds, setattr, engine, "slow_factor", 1.0
                )
        if fault.kind is FaultKind.CRASH:
            self._simulator.schedule(min(LIST_SECONDS, fault.seconds), self._list)
            self._simulator.schedule(fault.seconds + LIST_SECONDS, self._list)

    def _list(self) -> None:
        """Let all gateways see which engines are listed."""
        listed = [
            msgspec.structs.replace(
                record, incarnation=self._engines[record.instance].incarnation
            )
            for record in self._records
            if self._engines[record.instance].alive
        ]
        for gateway in self._gateways:
            gateway.retain(SERVICE, listed)
