"""
Planner of replicas
===================

Decides how many replicas of each kind a service has in each data centre.  No I/O.

Load pattern: demand that varies over a day, with bursts of 2.7 times the usual rate
within a second, and preemptible replicas that all leave a data centre at once while a
new one takes 4 s to boot.  Preemptible replicas cost so little that a larger number of
them, spread over the data centres, is the reserve for both.
"""

import math
from collections.abc import Mapping

import msgspec

from damasklead.clock import Clock
from damasklead.gateway.duties.base import ApiFault
from damasklead.gateway.duties.scaling.demand import Demand, DemandHistory
from damasklead.gateway.duties.scaling.mix import (
    FLOOR_FRACTION,
    ReplicaGroup,
    compute_price,
    count_surviving,
    find_cheapest_mix,
)
from damasklead.gateway.duties.scaling.orders import (
    OrderBook,
    OrderReason,
    ReplicaOrder,
)
from damasklead.gateway.routing import EngineSpec, ScalingSpec
from damasklead.ids import DataCentre

__all__ = ["CentreReplicas", "ScalingPlanner"]

# Fraction of the slots that may be in use at the demand's level: above it, decoding
# steps and the prefill between them take so long that streams miss their event gaps.
MAX_SLOT_USE = 0.7
# Fraction of an engine's prefill rate and KV memory that are planned for; the rest is
# for the requests that run.
MAX_PREFILL_USE = 0.7
MAX_SHARED_MEMORY = 0.6
# Prefill rate of an engine in tokens per second where none is known; it is only used
# to keep replicas, since real rates are up to 2.5 times higher.
PREFILL_TOKENS_PER_SECOND = 38_000.0
# The replicas are too few if each of this many samples shows more than these: queued
# requests for each replica, refused requests for each arrival, and backlog as a
# fraction of the strictest target.
STRESS_SAMPLES = 2
STRESS_QUEUED = 0.5
STRESS_REFUSALS = 0.05
STRESS_BACKLOG = 0.5
# Factor on the replicas then, the time for which it holds, and its bound in all, since
# requests may also queue or be refused for reasons that replicas don't change.
STRESS_FACTOR = 1.25
STRESS_SECONDS = 60.0
MAX_STRESS_FACTOR = 1.5
# Replicas that are ordered beyond the needed ones, so that a slightly higher peak needs
# no further calls.
GROWTH_RESERVE = 0.05
# Least fraction of the price to save, since a change costs calls, caches and streams,
# and the one down to which a change that has begun goes on.
MIN_SAVING = 0.12
MIN_FURTHER_SAVING = 0.03
# Time for which fewer replicas must be enough, and interval and fraction of the
# replicas of the steps.
SCALE_IN_DELAY_SECONDS = 20.0
SCALE_IN_INTERVAL_SECONDS = 20.0
EXCHANGE_INTERVAL_SECONDS = 3.0
MAX_STEP_FRACTION = 0.2
# Number of mixes that are cached; the needed number often stays the same for long.
MAX_MIXES = 100


class CentreReplicas(msgspec.Struct, kw_only=True, frozen=True):
    """
    Replicas of a service in one data centre, as the platform lists them.

    Attributes
    ----------
    ordinary, preemptible : int
        Replicas that accept requests.
    leaving_preemptible : int
        Preemptible replicas that leave.
    """

    ordinary: int = 0
    preemptible: int = 0
    leaving_preemptible: int = 0


class ScalingPlanner:
    """
    Plans the replicas of one service.

    Parameters
    ----------
    spec : ScalingSpec
    engine : EngineSpec
        Capacity of a replica.
    strictest_target : float
        Shortest latency target in seconds of the routes to the service.
    history : DemandHistory
        The service's demand.
    clock : Clock
    """

    def __init__(
        self,
        *,
        spec: ScalingSpec,
        engine: EngineSpec,
        strictest_target: float,
        history: DemandHistory,
        clock: Clock,
    ) -> None:
        self._spec = spec
        self._engine = engine
        self._strictest_target = strictest_target
        self._history = history
        self._clock = clock
        self._book = OrderBook(clock=clock, boot_seconds=spec.boot_seconds)
        self._initial_needed: int | None = None
        self._stress_needed = 0
        self._stressed_at = -math.inf
        self._saving_since: float | None = None
        self._is_reducing = False
        self._reduced_at = -math.inf
        self._mixes: dict[object, dict[ReplicaGroup, int]] = {}

    @property
    def targets(self) -> dict[ReplicaGroup, int]:
        """The numbers of replicas last ordered."""
        return self._book.targets

    @property
    def needed(self) -> int:
        """Replicas that the demand needs."""
        return max(
            self._count_for_slots(self._history.slots_level), self._get_stress_needed()
        )

    def plan(self, replicas: Mapping[DataCentre, CentreReplicas]) -> list[ReplicaOrder]:
        """
        Return the orders to place now.

        Parameters
        ----------
        replicas : mapping
            The replicas that the platform lists now.
        """
        self._apply_list(replicas)
        if self._initial_needed is None:
            if not sum(self._book.live.values()):
                return []
            self._initial_needed = self._count_initially_needed()
        demand = self._history.latest
        orders: dict[ReplicaGroup, ReplicaOrder] = {
            order.group: order
            for order in [*self._book.find_repeats(), *self._restore_minimum()]
        }
        if demand is not None:
            self._detect_stress(demand)
            orders |= {order.group: order for order in self._decide(demand)}
        # Of two orders for a data centre the one for more replicas goes first.
        ranked = sorted(
            orders.values(),
            key=lambda order: (order.count < order.previous, order.group),
        )
        due: dict[DataCentre, ReplicaOrder] = {}
        for order in ranked:
            is_repeat = order.reason is OrderReason.REPEAT
            measured_at = None if is_repeat else self._history.measured_at
            if self._book.may_order(order.group, measured_at=measured_at):
                due.setdefault(order.group.data_centre, order)
        return list(due.values())

    def get_log_fields(self) -> dict[str, object]:
        """Return what the decisions are based on as fields of a log line."""
        return {
            "needed": self.needed,
            "slots": round(self._history.slots_level, 1),
            "listed": sum(self._book.live.values()),
            "ordered": sum(self._book.targets.values()),
        }

    def record_call(self, order: ReplicaOrder) -> None:
        """Record that the call of an order begins."""
        self._book.record_call(order)
        if order.count < order.previous:
            self._reduced_at = self._clock.now()

    def record_result(self, order: ReplicaOrder, fault: ApiFault | None) -> None:
        """Record how the call of an order ended; ``None`` if it was accepted."""
        self._book.record_result(order, fault)

    def _apply_list(self, replicas: Mapping[DataCentre, CentreReplicas]) -> None:
        centres = {*self._spec.prices, *replicas}
        live: dict[ReplicaGroup, int] = {}
        leaving: set[ReplicaGroup] = set()
        for centre in sorted(centres):
            item = replicas.get(centre, CentreReplicas())
            live[ReplicaGroup(centre, False)] = item.ordinary
            live[ReplicaGroup(centre, True)] = item.preemptible
            if item.leaving_preemptible:
                leaving.add(ReplicaGroup(centre, True))
        self._book.update(live, leaving=leaving)

    def _restore_minimum(self) -> list[ReplicaOrder]:
        """
        Return the orders for data centres in which too few replicas are ordered.

        A new holder may find none there after a reclaim.
        """
        targets, unavailable = self._book.targets, self._book.unavailable
        orders = []
        for centre in sorted(self._centres):
            preemptible = ReplicaGroup(centre, True)
            ordinary = ReplicaGroup(centre, False)
            missing = self._spec.min_replicas - targets[preemptible] - targets[ordinary]
            if missing <= 0:
                continue
            is_offered = self._spec.preemptible_price < 1.0
            group = (
                preemptible
                if is_offered and preemptible not in unavailable
                else ordinary
            )
            orders.append(
                ReplicaOrder(
                    group=group,
                    count=targets[group] + missing,
                    previous=targets[group],
                    reason=OrderReason.DEMAND,
                )
            )
        return orders

    def _decide(self, demand: Demand) -> list[ReplicaOrder]:
        """Return the orders that the demand and the prices ask for."""
        expected = self._book.expected
        unavailable = self._book.unavailable
        # While a failure domain is lost, the loss of a second one is not covered.
        covers_loss = not self._book.is_disrupted
        needed = self.needed
        if _count_usable(expected, covers_loss=covers_loss) < needed:
            self._saving_since = None
            self._is_reducing = False
            mix = self._find_mix(
                math.ceil(needed * (1 + GROWTH_RESERVE)),
                covers_loss=covers_loss,
                limits=unavailable,
            )
            return self._order_more(mix, OrderReason.DEMAND)
        needed = max(needed, self._count_to_keep())
        if self._book.is_disrupted:
            self._saving_since = None
            # Replicas that others have replaced are given up nevertheless.
            mix = self._find_mix(needed, covers_loss=True, limits={})
            is_exchange = self._saves_by_exchange(mix)
            return self._order_step(mix, needed, demand) if is_exchange else []
        return self._reduce_price(demand, needed)

    def _reduce_price(self, demand: Demand, needed: int) -> list[ReplicaOrder]:
        """Return the orders that make the replicas cheaper."""
        targets, live = self._book.targets, self._book.live
        mix = self._find_mix(needed, covers_loss=True, limits=self._book.unavailable)
        price = compute_price(targets, self._spec)
        saving = 1 - compute_price(mix, self._spec) / price if price > 0 else 0.0
        now = self._clock.now()
        if saving < (MIN_FURTHER_SAVING if self._is_reducing else MIN_SAVING):
            self._saving_since = None
            self._is_reducing = False
            return []
        if self._saving_since is None:
            self._saving_since = now
        growth = self._order_more(mix, OrderReason.EXCHANGE)
        if growth:
            return growth
        if any(
            live[group] < min(count, targets[group]) for group, count in mix.items()
        ):
            return []
        if not self._saves_by_exchange(mix) and not self._may_scale_in(now):
            return []
        return self._order_step(mix, needed, demand)

    def _order_step(
        self, mix: Mapping[ReplicaGroup, int], needed: int, demand: Demand
    ) -> list[ReplicaOrder]:
        """Return the orders of the next step towards a mix with fewer replicas."""
        serving = sum(self._book.live.values())
        is_exchange = self._saves_by_exchange(mix)
        reason = OrderReason.EXCHANGE if is_exchange else OrderReason.SCALE_IN
        if demand.is_quiet and not self._history.has_seen_traffic:
            self._is_reducing = True
            return self._order_fewer(mix, needed, step=serving, reason=reason)
        interval = (
            EXCHANGE_INTERVAL_SECONDS if is_exchange else SCALE_IN_INTERVAL_SECONDS
        )
        if self._clock.now() - self._reduced_at < interval:
            return []
        self._is_reducing = True
        step = max(1, int(MAX_STEP_FRACTION * serving))
        return self._order_fewer(mix, needed, step=step, reason=reason)

    def _saves_by_exchange(self, mix: Mapping[ReplicaGroup, int]) -> bool:
        """Return whether a mix is cheaper mostly by having fewer ordinary replicas."""
        if self._spec.preemptible_price >= 1.0:
            return False
        surplus = {
            group: count - mix.get(group, 0)
            for group, count in self._book.targets.items()
            if count > mix.get(group, 0)
        }
        ordinary = {
            group: count for group, count in surplus.items() if not group.is_preemptible
        }
        price = compute_price(surplus, self._spec)
        return 2 * compute_price(ordinary, self._spec) > price

    def _may_scale_in(self, now: float) -> bool:
        return (
            self._history.is_settled
            and self._saving_since is not None
            and now - self._saving_since >= SCALE_IN_DELAY_SECONDS
        )

    def _order_more(
        self, mix: Mapping[ReplicaGroup, int], reason: OrderReason
    ) -> list[ReplicaOrder]:
        """Return the orders for groups that have fewer replicas than in a mix."""
        targets = self._book.targets
        orders = []
        for group, count in mix.items():
            other = ReplicaGroup(group.data_centre, not group.is_preemptible)
            room = self._spec.max_replicas - targets.get(other, 0)
            if min(count, room) > targets[group]:
                orders.append(
                    ReplicaOrder(
                        group=group,
                        count=min(count, room),
                        previous=targets[group],
                        reason=reason,
                    )
                )
        return orders

    def _order_fewer(
        self,
        mix: Mapping[ReplicaGroup, int],
        needed: int,
        *,
        step: int,
        reason: OrderReason,
    ) -> list[ReplicaOrder]:
        """Return the orders for groups that have more replicas than in a mix."""
        targets, live = self._book.targets, self._book.live
        # Ordinary replicas stay where the preemptible ones for them don't serve yet.
        kept = {
            ReplicaGroup(group.data_centre, False)
            for group, count in mix.items()
            if group.is_preemptible and live[group] < count
        }
        reduced = dict(targets)
        for _ in range(step):
            candidates = [
                group
                for group, count in reduced.items()
                if count > mix.get(group, 0)
                and group not in kept
                and not (reason is OrderReason.EXCHANGE and group.is_preemptible)
            ]
            if not candidates:
                break
            # Ordinary replicas first, the most expensive data centre first; preemptible
            # ones evenly.
            group = max(
                candidates,
                key=lambda item: (
                    not item.is_preemptible,
                    reduced[item] if item.is_preemptible else 0,
                    self._spec.prices.get(item.data_centre, 1.0),
                    item,
                ),
            )
            reduced[group] -= 1
            remaining = {item: min(live[item], reduced[item]) for item in reduced}
            in_centre = sum(
                count
                for item, count in remaining.items()
                if item.data_centre == group.data_centre
            )
            if (
                in_centre < self._spec.min_replicas
                or _count_usable(remaining, covers_loss=True) < needed
            ):
                reduced[group] += 1
                break
        return [
            ReplicaOrder(
                group=group, count=count, previous=targets[group], reason=reason
            )
            for group, count in reduced.items()
            if count < targets[group]
        ]

    def _find_mix(
        self, needed: int, *, covers_loss: bool, limits: Mapping[ReplicaGroup, int]
    ) -> dict[ReplicaGroup, int]:
        key = (needed, covers_loss, tuple(sorted(limits.items())))
        if key not in self._mixes:
            if len(self._mixes) >= MAX_MIXES:
                self._mixes.clear()
            self._mixes[key] = find_cheapest_mix(
                self._spec,
                data_centres=self._centres,
                needed=needed,
                covers_loss=covers_loss,
                limits=limits,
            )
        return self._mixes[key]

    @property
    def _centres(self) -> set[DataCentre]:
        return {group.data_centre for group in self._book.live}

    def _count_for_slots(self, slots: float) -> int:
        return math.ceil(slots / (MAX_SLOT_USE * max(1, self._engine.slots)))

    def _count_to_keep(self) -> int:
        """Return the replicas below which the number doesn't go for a lower price."""
        if not self._history.is_settled:
            return self._initial_needed or 0
        prefill = self._history.prefill_level / (
            MAX_PREFILL_USE * PREFILL_TOKENS_PER_SECOND
        )
        memory = self._history.shared_tokens / (
            MAX_SHARED_MEMORY * max(1, self._engine.memory_tokens)
        )
        return max(
            self._count_for_slots(self._history.kept_slots_level),
            self._to_needed(math.ceil(max(prefill, memory))),
        )

    def _count_initially_needed(self) -> int:
        """
        Return how many of the replicas found at the start are taken to be needed.

        Another holder may have begun an exchange, so that both kinds serve.
        """
        ordinary = preemptible = 0
        for group, count in self._book.live.items():
            if group.is_preemptible:
                preemptible += count
            else:
                ordinary += count
        floor = math.ceil(FLOOR_FRACTION * preemptible)
        return self._to_needed(max(ordinary, preemptible + min(ordinary, floor)))

    def _to_needed(self, total: int) -> int:
        """Return how many of a number of replicas are left after a loss."""
        centres = len(self._centres)
        if self._spec.preemptible_price >= 1.0 or centres < 2:
            return total
        return math.ceil(total * (centres - 1) / centres)

    def _detect_stress(self, demand: Demand) -> None:
        """Raise the needed number if requests queue or are refused for long."""
        now = self._clock.now()
        if now - self._stressed_at < self._spec.boot_seconds + STRESS_SAMPLES:
            return
        live = sum(self._book.live.values())

        def is_stressed(item: Demand) -> bool:
            return (
                item.queued > STRESS_QUEUED * live
                or item.refusals > STRESS_REFUSALS * item.arrivals
                or item.backlog > STRESS_BACKLOG * self._strictest_target
            )

        if not self._history.has_lasted(is_stressed, samples=STRESS_SAMPLES):
            return
        covers_loss = not self._book.is_disrupted
        usable = _count_usable(self._book.expected, covers_loss=covers_loss)
        bound = MAX_STRESS_FACTOR * max(
            self._initial_needed or 0, self._count_for_slots(self._history.slots_level)
        )
        needed = min(math.ceil(STRESS_FACTOR * usable), math.ceil(bound))
        self._stress_needed = max(self._get_stress_needed(), needed)
        self._stressed_at = now

    def _get_stress_needed(self) -> int:
        is_over = self._clock.now() - self._stressed_at > STRESS_SECONDS
        return 0 if is_over else self._stress_needed


def _count_usable(mix: Mapping[ReplicaGroup, int], *, covers_loss: bool) -> int:
    return count_surviving(mix) if covers_loss else sum(mix.values())
