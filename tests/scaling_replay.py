"""
Replays of loads against the planner of replicas
================================================

A platform that boots, drains and reclaims replicas, and a queue in front of them whose
requests are late when it is long.
"""

import math
from collections.abc import Callable, Iterable

import msgspec

from damasklead import ManualClock
from damasklead.gateway.duties.base import ApiFault
from damasklead.gateway.duties.scaling.demand import Demand, DemandHistory
from damasklead.gateway.duties.scaling.mix import (
    ReplicaGroup,
    compute_price,
    find_cheapest_mix,
)
from damasklead.gateway.duties.scaling.orders import ReplicaOrder
from damasklead.gateway.duties.scaling.planner import CentreReplicas, ScalingPlanner
from damasklead.gateway.routing import EngineSpec, ScalingSpec
from damasklead.ids import DataCentre

CENTRES = tuple(DataCentre(f"dc-{number}") for number in (1, 2, 3))
SPEC = ScalingSpec(
    min_replicas=1,
    max_replicas=30,
    boot_seconds=4.0,
    preemptible_price=0.15,
    prices=dict(zip(CENTRES, (1.0, 0.8, 1.25), strict=True)),
)
ENGINE = EngineSpec(slots=16, memory_tokens=317_700, tokens_per_event=6)
STEP_SECONDS = 0.25
TARGET_SECONDS = 0.8
# Duration of a request, and the fraction of an engine's slots above which requests
# queue in the replay.
REQUEST_SECONDS = 0.5
USABLE_SLOTS = 0.75
NOTICE_SECONDS = 2.0
UNAVAILABLE_SECONDS = 10.0


class _Replica(msgspec.Struct):
    group: ReplicaGroup
    serves_from: float
    leaves_at: float = math.inf


class ReplayedPlatform:
    """Replicas that are ordered, boot, drain and are reclaimed."""

    def __init__(self, *, clock: ManualClock, ordinary: int) -> None:
        self._clock = clock
        self._replicas = [
            _Replica(ReplicaGroup(centre, False), 0.0)
            for centre in CENTRES
            for _ in range(ordinary)
        ]
        self._unavailable_until: dict[DataCentre, float] = {}
        self.price = 0.0
        self.calls = 0

    def order(self, group: ReplicaGroup, count: int) -> ApiFault | None:
        """Set the number of replicas of a group."""
        self.calls += 1
        now = self._clock.now()
        present = [
            item
            for item in self._replicas
            if item.group == group and math.isinf(item.leaves_at)
        ]
        unavailable_until = self._unavailable_until.get(group.data_centre, -math.inf)
        if count > len(present) and group.is_preemptible and now < unavailable_until:
            return ApiFault.UNAVAILABLE
        for item in present[count:]:
            item.leaves_at = now + 1.0
        self._replicas += [
            _Replica(group, now + SPEC.boot_seconds)
            for _ in range(count - len(present))
        ]
        return None

    def reclaim(self, centre: DataCentre) -> None:
        """Take away all preemptible replicas of a data centre."""
        now = self._clock.now()
        self._unavailable_until[centre] = now + UNAVAILABLE_SECONDS
        for item in self._replicas:
            if item.group == ReplicaGroup(centre, True) and math.isinf(item.leaves_at):
                item.leaves_at = now + NOTICE_SECONDS

    def advance(self) -> None:
        """Bill the replicas of one step and remove those that have left."""
        now = self._clock.now()
        self._replicas = [item for item in self._replicas if item.leaves_at > now]
        counts: dict[ReplicaGroup, int] = {}
        for item in self._replicas:
            counts[item.group] = counts.get(item.group, 0) + 1
        self.price += compute_price(counts, SPEC) * STEP_SECONDS

    def count(self) -> dict[DataCentre, CentreReplicas]:
        """Return the replicas as the platform lists them."""
        counts = {}
        for centre in CENTRES:
            fields = {"ordinary": 0, "preemptible": 0, "leaving_preemptible": 0}
            for item in self._replicas:
                if item.group.data_centre != centre:
                    continue
                if item.serves_from > self._clock.now():
                    continue
                if math.isinf(item.leaves_at):
                    kind = "preemptible" if item.group.is_preemptible else "ordinary"
                    fields[kind] += 1
                elif item.group.is_preemptible:
                    fields["leaving_preemptible"] += 1
            counts[centre] = CentreReplicas(**fields)
        return counts

    @property
    def serving(self) -> int:
        """Number of replicas that take new requests."""
        return sum(item.ordinary + item.preemptible for item in self.count().values())


class PlannerHarness:
    """
    A planner and the platform that it orders replicas from.

    Attributes
    ----------
    platform : ReplayedPlatform
    planner : ScalingPlanner
    orders : list
        The orders that were placed, with their times.
    """

    def __init__(self, *, spec: ScalingSpec = SPEC, ordinary: int = 15) -> None:
        self.spec = spec
        self.clock = ManualClock(start=1000.0)
        self.platform = ReplayedPlatform(clock=self.clock, ordinary=ordinary)
        self.history = DemandHistory(clock=self.clock)
        self.orders: list[tuple[float, ReplicaOrder]] = []
        self.planner = self.make_planner()

    def make_planner(self) -> ScalingPlanner:
        """Return a planner without any state, as a new holder has it."""
        return ScalingPlanner(
            spec=self.spec,
            engine=ENGINE,
            strictest_target=TARGET_SECONDS,
            history=self.history,
            clock=self.clock,
        )

    def run(
        self,
        seconds: float,
        *,
        demand: Demand | None = None,
        fault: ApiFault | None = None,
    ) -> list[ReplicaOrder]:
        """
        Let the planner decide for some time; returns its orders.

        Parameters
        ----------
        seconds : float
        demand : Demand or None
            Demand that is reported each second; ``None`` without reports.
        fault : ApiFault or None
            Result of all calls instead of that of the platform.
        """
        before = len(self.orders)
        for step in range(int(seconds / STEP_SECONDS)):
            if demand is not None and step % 4 == 0:
                self.history.record(demand)
            for order in self.planner.plan(self.platform.count()):
                self.orders.append((self.clock.now(), order))
                self.planner.record_call(order)
                result = fault or self.platform.order(order.group, order.count)
                self.planner.record_result(order, result)
            self.platform.advance()
            self.clock.advance(STEP_SECONDS)
        return [order for _, order in self.orders[before:]]


class ReplayResult(msgspec.Struct):
    """
    What a replay cost and achieved.

    Attributes
    ----------
    price, hindsight_price : float
        Price of the replicas, and of the cheapest ones that would have been enough.
    late : float
        Requests that waited for longer than the target.
    calls : int
        Calls of the platform's API.
    fewest, most : int
        Replicas that took new requests, after the first half minute.
    """

    price: float
    hindsight_price: float
    late: float
    calls: int
    fewest: int
    most: int


def replay(
    rate: Callable[[float], float],
    *,
    seconds: float,
    reclaims: Iterable[tuple[float, DataCentre]] = (),
    is_planned: bool = True,
    ordinary: int = 15,
) -> ReplayResult:
    """
    Replay a load.

    Parameters
    ----------
    rate : callable
        Returns the requests per second at a time.
    seconds : float
        Length of the replay.
    reclaims : iterable
        Times at which a data centre loses its preemptible replicas.
    is_planned : bool
        Whether the planner's orders are placed.
    ordinary : int
        Replicas of each data centre at the start.
    """
    harness = PlannerHarness(ordinary=ordinary)
    clock, platform = harness.clock, harness.platform
    started_at = clock.now()
    pending = sorted(reclaims)
    queued = late = 0.0
    fewest, most = 10**6, 0
    for step in range(int(seconds / STEP_SECONDS)):
        now = clock.now() - started_at
        while pending and pending[0][0] <= now:
            platform.reclaim(pending.pop(0)[1])
        arrivals = rate(now)
        slots = platform.serving * ENGINE.slots * USABLE_SLOTS
        capacity = slots / REQUEST_SECONDS
        queued = max(0.0, queued + (arrivals - capacity) * STEP_SECONDS)
        if queued > capacity * TARGET_SECONDS:
            late += arrivals * STEP_SECONDS
        if step % 4 == 0:
            running = min(arrivals * REQUEST_SECONDS, slots)
            harness.history.record(
                Demand(running=running, queued=queued, arrivals=arrivals)
            )
        if is_planned:
            for order in harness.planner.plan(platform.count()):
                harness.planner.record_call(order)
                result = platform.order(order.group, order.count)
                harness.planner.record_result(order, result)
        platform.advance()
        if now > 30.0:
            fewest = min(fewest, platform.serving)
            most = max(most, platform.serving)
        clock.advance(STEP_SECONDS)
    return ReplayResult(
        price=platform.price,
        hindsight_price=compute_hindsight_price(rate, seconds),
        late=late,
        calls=platform.calls,
        fewest=fewest,
        most=most,
    )


def compute_hindsight_price(rate: Callable[[float], float], seconds: float) -> float:
    """
    Return the price of the cheapest replicas that serve each minute's peak.

    They cover the loss of a data centre at any time and keep the floor of ordinary
    replicas, as is required of the planner, but need no margin and know each peak.
    """
    price = 0.0
    for start in range(0, int(seconds), 60):
        end = min(start + 60, int(seconds))
        peak = max(rate(start + index / 4) for index in range(4 * (end - start)))
        needed = math.ceil(peak * REQUEST_SECONDS / (ENGINE.slots * USABLE_SLOTS))
        mix = find_cheapest_mix(SPEC, data_centres=CENTRES, needed=needed)
        price += compute_price(mix, SPEC) * (end - start)
    return price
