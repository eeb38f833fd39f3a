"""
Sharing a pool's capacity among entries
=======================================

One live entry, chosen by rendezvous hashing, is the coordinator of a pool.  It holds
soft state only: the demands of the entries and the load reports of the replicas.  Two
coordinators at once, or none, reduce efficiency but violate no guarantee, since a share
only limits how many requests an entry starts.
"""

import statistics
from collections.abc import Iterable, Sequence

import msgspec

from damasklead.clock import Clock
from damasklead.cost_model import BatchLimit, MovingAverage
from damasklead.decoding import Count, Seconds
from damasklead.ids import InstanceId, PoolId
from damasklead.messages import Demand, Grant, ReplicaLoad
from damasklead.util import hash_name, stable_hash

__all__ = [
    "TIER_COUNT",
    "Coordinator",
    "LoadReport",
    "ShareHolder",
    "allocate_max_min",
    "choose_coordinator",
    "choose_coordinators",
    "compute_share_interval",
]

TIER_COUNT = 5
MIN_SHARE_INTERVAL_SECONDS = 0.5
SHARE_INTERVAL_SECONDS_PER_ENTRY = 1 / 6
GRANT_TTL_INTERVALS = 4  # share intervals
DEMAND_TTL_INTERVALS = 6  # share intervals
BUSY_FRACTION = 0.3  # of the largest batch
STRAGGLER_RATIO = 2.5  # multiples of the median token gap
MICROSECONDS_PER_SECOND = 1_000_000
FALLBACK_DECREASE_FACTOR = 0.95
FALLBACK_INCREASE_STEP = 0.02
MIN_FALLBACK_FACTOR = 0.25  # of an equal part of the capacity
MAX_FALLBACK_FACTOR = 1.5
MAX_LATENCY_RATIO = 4.0  # multiples of the best latency
BEST_LATENCY_GROWTH = 1.001  # factor for each sample, so that an old best expires


class LoadReport(msgspec.Struct, kw_only=True, frozen=True):
    """
    A replica's report of its load.

    Attributes
    ----------
    running, waiting : int
        Number of requests in its batch and in its queue.
    slots : int
        Number of requests in the largest batch that it can run.
    token_gap : float
        Seconds between the tokens of one response at present, 0 when idle.
    models : tuple of str
        Names of the loaded models, empty when it serves any model of its service.
    """

    running: Count
    waiting: Count
    slots: Count
    token_gap: Seconds = 0.0
    models: tuple[str, ...] = ()


def choose_coordinator(
    pool: PoolId, entries: Iterable[InstanceId]
) -> InstanceId | None:
    """
    Return the entry that coordinates a pool: the one with the highest rendezvous hash.

    Examples
    --------
    >>> names = [InstanceId("a"), InstanceId("b"), InstanceId("c")]
    >>> first = choose_coordinator(PoolId("chat@north"), names)
    >>> rest = [name for name in names if name != first]
    >>> choose_coordinator(PoolId("chat@north"), rest) in rest
    True
    """
    return max(entries, key=lambda entry: stable_hash(pool, entry), default=None)


def choose_coordinators(
    pools: Iterable[PoolId], entries: Sequence[InstanceId]
) -> dict[PoolId, InstanceId]:
    """
    Return each pool's coordinator, with the pools spread evenly over the entries.

    Each pool goes to its highest rendezvous hash among the entries that coordinate
    fewer pools than the average, rounded up (consistent hashing with bounded loads).
    Entries with different views of the membership choose differently for a while, which
    only reduces efficiency.

    Examples
    --------
    >>> names = [InstanceId(name) for name in "abc"]
    >>> chosen = choose_coordinators([PoolId(str(n)) for n in range(6)], names)
    >>> sorted(chosen.values())
    ['a', 'a', 'b', 'b', 'c', 'c']
    """
    sorted_pools = sorted(pools)
    if not entries:
        return {}
    max_pools = -(-len(sorted_pools) // len(entries))
    pool_counts = dict.fromkeys(entries, 0)
    chosen: dict[PoolId, InstanceId] = {}
    for pool in sorted_pools:
        available_entries = [
            entry for entry in entries if pool_counts[entry] < max_pools
        ]
        coordinator = choose_coordinator(pool, available_entries)
        assert coordinator is not None
        pool_counts[coordinator] += 1
        chosen[pool] = coordinator
    return chosen


def compute_share_interval(entry_count: int) -> float:
    """
    Return the seconds between two demands of an entry.

    The interval grows with the number of entries, so that the rate of demands at a
    coordinator stays bounded.

    Examples
    --------
    >>> round(compute_share_interval(8), 2), round(compute_share_interval(72), 2)
    (1.33, 12.0)
    """
    return max(
        MIN_SHARE_INTERVAL_SECONDS, entry_count * SHARE_INTERVAL_SECONDS_PER_ENTRY
    )


def allocate_max_min(amount: int, demands: Sequence[int]) -> list[int]:
    """
    Return each demand's share of an amount by max-min fairness.

    Examples
    --------
    >>> allocate_max_min(10, [2, 9, 9])
    [2, 4, 4]
    >>> allocate_max_min(3, [5, 5])
    [2, 1]
    """
    shares = [0] * len(demands)
    remaining = min(amount, sum(demands))
    open_indexes = [index for index, demand in enumerate(demands) if demand > 0]
    while remaining > 0:
        share = max(1, remaining // len(open_indexes))
        for index in sorted(open_indexes, key=shares.__getitem__)[:remaining]:
            increase = min(demands[index] - shares[index], share)
            shares[index] += increase
            remaining -= increase
        open_indexes = [
            index for index in open_indexes if shares[index] < demands[index]
        ]
    return shares


class _ReplicaReport(msgspec.Struct, kw_only=True):
    """A replica's latest report and the clock reading in seconds at its receipt."""

    report: LoadReport
    received_at: float


class _EntryDemand(msgspec.Struct, kw_only=True):
    """An entry's latest demand and the clock reading in seconds at its receipt."""

    demand: Demand
    received_at: float


class Coordinator:
    """
    Divides the slots of one pool among the entries that report demand.

    Parameters
    ----------
    pool : PoolId
    clock : Clock
    """

    def __init__(self, *, pool: PoolId, clock: Clock) -> None:
        self._pool = pool
        self._clock = clock
        self._reports: dict[InstanceId, _ReplicaReport] = {}
        self._demands: dict[InstanceId, _EntryDemand] = {}
        self._batch_limit: BatchLimit | None = None
        self._token_gap_targets: dict[int, float] = {}
        self._min_shares: dict[int, float] = {}

    def set_targets(
        self, *, token_gap_targets: dict[int, float], min_shares: dict[int, float]
    ) -> None:
        """
        Set the configured targets.

        Parameters
        ----------
        token_gap_targets : dict
            Longest token gap in seconds by tier, for tiers that have such a target.
        min_shares : dict
            Minimum share by tier, as a fraction of the pool's capacity.
        """
        self._token_gap_targets = token_gap_targets
        self._min_shares = min_shares

    def record_report(self, replica: InstanceId, report: LoadReport) -> None:
        """Record a replica's latest report."""
        self._reports[replica] = _ReplicaReport(
            report=report, received_at=self._clock.now()
        )

    def update_replicas(self, replicas: Iterable[InstanceId]) -> None:
        """Remove the reports of all replicas except these."""
        kept_instances = set(replicas)
        for instance in list(self._reports):
            if instance not in kept_instances:
                del self._reports[instance]

    def record_demand(self, entry: InstanceId, demand: Demand) -> None:
        """Record an entry's latest demand."""
        self._demands[entry] = _EntryDemand(
            demand=demand, received_at=self._clock.now()
        )

    def allocate_slots(self) -> dict[InstanceId, Grant]:
        """Return the present grant of each entry with a recent demand."""
        self._drop_expired_demands()
        entries = sorted(self._demands)
        if not entries:
            return {}
        loads = self._build_loads()
        slots = self._divide_slots(entries, sum(load.limit for load in loads))
        preempting_tier = self._find_preempting_tier(entries, slots)
        ttl_seconds = GRANT_TTL_INTERVALS * compute_share_interval(len(entries))
        return {
            entry: Grant(
                pool=self._pool,
                slots=tuple(slots[entry]),
                ttl_ms=int(ttl_seconds * 1000),
                preempting_tier=preempting_tier,
                replicas=loads,
            )
            for entry in entries
        }

    def _drop_expired_demands(self) -> None:
        ttl_seconds = DEMAND_TTL_INTERVALS * compute_share_interval(len(self._demands))
        for entry, latest in list(self._demands.items()):
            if self._clock.now() - latest.received_at > ttl_seconds:
                del self._demands[entry]

    def _build_loads(self) -> tuple[ReplicaLoad, ...]:
        self._update_batch_limit()
        reports = [latest.report for latest in self._reports.values()]
        token_gaps = [report.token_gap for report in reports if report.token_gap > 0]
        median = statistics.median(token_gaps) if token_gaps else 0.0
        loads = []
        for instance in sorted(self._reports):
            report = self._reports[instance].report
            limit = (
                report.slots if self._batch_limit is None else self._batch_limit.value
            )
            if report.token_gap > STRAGGLER_RATIO * median > 0:
                limit = max(1, int(limit * median / report.token_gap))
            loads.append(
                ReplicaLoad(
                    key=hash_name(instance),
                    load=report.running + report.waiting,
                    limit=min(limit, report.slots),
                    hard_limit=report.slots,
                    token_gap_us=int(report.token_gap * MICROSECONDS_PER_SECOND),
                    models=tuple(hash_name(model) for model in report.models),
                )
            )
        return tuple(loads)

    def _update_batch_limit(self) -> None:
        """Update the batch limit by the median token gap of the busy replicas."""
        reports = [latest.report for latest in self._reports.values()]
        if not reports:
            return
        slots = max(report.slots for report in reports)
        if self._batch_limit is None:
            self._batch_limit = BatchLimit(slots=slots)
        busy_reports = [
            report
            for report in reports
            if report.token_gap > 0 and report.running >= BUSY_FRACTION * slots
        ]
        if busy_reports:
            mean_batch = sum(report.running for report in reports) / len(reports)
            self._batch_limit.update_limit(
                token_gap=statistics.median(
                    report.token_gap for report in busy_reports
                ),
                target=self._find_token_gap_target(),
                batch=mean_batch,
            )

    def _find_token_gap_target(self) -> float | None:
        """Return the shortest token gap target of the tiers that have demand."""
        targets = [
            target
            for tier, target in self._token_gap_targets.items()
            if any(
                _count_requests(latest.demand, tier)
                for latest in self._demands.values()
            )
        ]
        return min(targets, default=None)

    def _divide_slots(
        self, entries: list[InstanceId], capacity: int
    ) -> dict[InstanceId, list[int]]:
        """
        Return the slots of each entry by tier.

        Tiers are served in strict priority, except for reserved slots, and entries by
        max-min fairness inside a tier.  Slots without demand are added to the lowest
        tier, in equal parts.
        """
        slots = {entry: [0] * TIER_COUNT for entry in entries}
        reserved = self._compute_reserved_slots(capacity)
        remaining = capacity
        for tier in range(1, TIER_COUNT + 1):
            reserved_below = sum(
                reserved[lower] for lower in range(tier + 1, TIER_COUNT + 1)
            )
            demands = [
                _count_requests(self._demands[entry].demand, tier) for entry in entries
            ]
            shares = allocate_max_min(max(0, remaining - reserved_below), demands)
            for entry, share in zip(entries, shares, strict=True):
                slots[entry][tier - 1] = share
            remaining -= sum(shares)
        for entry, extra in zip(
            entries,
            allocate_max_min(remaining, [remaining] * len(entries)),
            strict=True,
        ):
            slots[entry][TIER_COUNT - 1] += extra
        return slots

    def _compute_reserved_slots(self, capacity: int) -> dict[int, int]:
        """Return the slots reserved by tier for minimum shares, up to the demand."""
        reserved = {}
        for tier in range(1, TIER_COUNT + 1):
            demand = sum(
                _count_requests(latest.demand, tier)
                for latest in self._demands.values()
            )
            reserved[tier] = min(
                demand, int(self._min_shares.get(tier, 0.0) * capacity)
            )
        return reserved

    def _find_preempting_tier(
        self, entries: list[InstanceId], slots: dict[InstanceId, list[int]]
    ) -> int:
        """
        Return the lowest tier that may preempt the tiers below it, 0 for none.

        It has queued requests, while those tiers run more requests than their slots.
        """
        preempting_tier = 0
        for tier in range(1, TIER_COUNT):
            if any(self._demands[entry].demand.waiting[tier - 1] for entry in entries):
                excess_count = sum(
                    sum(self._demands[entry].demand.running[tier:])
                    - sum(slots[entry][tier:])
                    for entry in entries
                )
                if excess_count > 0:
                    preempting_tier = tier
        return preempting_tier


def _count_requests(demand: Demand, tier: int) -> int:
    return demand.running[tier - 1] + demand.waiting[tier - 1]


class ShareHolder:
    """
    An entry's share of one pool, with a local estimate while no grant is valid.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._grant: Grant | None = None
        self._grant_expires_at = 0.0
        self._fallback_factor = 1.0
        self._best_latency: float | None = None
        self._average_latency = MovingAverage(value=0.0)

    @property
    def has_grant(self) -> bool:
        """Whether there is a grant that has not expired."""
        return self._grant is not None and self._clock.now() < self._grant_expires_at

    @property
    def preempting_tier(self) -> int:
        """The preempting tier of the grant, 0 when there is none or no valid grant."""
        return (
            self._grant.preempting_tier
            if self._grant is not None and self.has_grant
            else 0
        )

    def apply_grant(self, grant: Grant) -> None:
        """Replace the previous grant."""
        self._grant = grant
        self._grant_expires_at = self._clock.now() + grant.ttl_ms / 1000
        self._fallback_factor = 1.0

    def record_first_token_latency(self, seconds: float) -> None:
        """
        Record the time to a first token in seconds, and adapt the fallback to it.

        While no grant is valid, the fallback share shrinks by a factor when the average
        latency exceeds a multiple of the best one, and grows by a step otherwise
        (latency gradient).
        """
        best = self._best_latency
        best = seconds if best is None else min(best * BEST_LATENCY_GROWTH, seconds)
        self._best_latency = best
        self._average_latency.add_sample(seconds)
        if self.has_grant:
            return
        if self._average_latency.value > MAX_LATENCY_RATIO * best:
            self._fallback_factor = max(
                MIN_FALLBACK_FACTOR, self._fallback_factor * FALLBACK_DECREASE_FACTOR
            )
        else:
            self._fallback_factor = min(
                MAX_FALLBACK_FACTOR, self._fallback_factor + FALLBACK_INCREASE_STEP
            )

    def compute_slots(self, *, capacity: int, entry_count: int) -> tuple[int, ...]:
        """
        Return the number of slots in each tier, from tier 1.

        Without a valid grant, this is an equal part of the capacity times the fallback
        factor, in the lowest tier, whose slots all tiers may use.

        Parameters
        ----------
        capacity : int
            The pool's slots as far as this entry knows, for the fallback.
        entry_count : int
            The latest latest number of entries, for the fallback.
        """
        if self._grant is not None and self.has_grant:
            return self._grant.slots
        share = max(1, int(self._fallback_factor * capacity / max(1, entry_count)))
        return (0,) * (TIER_COUNT - 1) + (share,)
