"""
Sharing a pool's capacity among entries
=======================================

One live entry, chosen by rendezvous hashing, is the coordinator of a pool.  It holds
soft state only: what entries ask for and what replicas report.  Two coordinators at
once, or none, cost efficiency and never a promise, since a share only says how many
requests an entry starts.
"""

import statistics
from collections.abc import Iterable, Sequence

import msgspec

from damasklead.clock import Clock
from damasklead.ids import InstanceId, PoolId
from damasklead.learning import BatchLimit, MovingAverage
from damasklead.messages import Demand, Grant, ReplicaLoad
from damasklead.util import short_key, stable_hash

__all__ = [
    "TIER_COUNT",
    "Coordinator",
    "LoadReport",
    "ShareHolder",
    "choose_coordinator",
    "choose_coordinators",
    "allocate_max_min",
    "compute_share_interval",
]

TIER_COUNT = 5
MIN_INTERVAL = 0.5  # seconds
INTERVAL_PER_ENTRY = 1 / 6  # seconds
TTL_INTERVALS = 4
FORGET_INTERVALS = 6
BUSY_FRACTION = 0.3
STRAGGLER_RATIO = 2.5
MICROSECONDS = 1_000_000
FALLBACK_DECREASE = 0.95
FALLBACK_INCREASE = 0.02
MIN_FALLBACK_FACTOR = 0.25
MAX_FALLBACK_FACTOR = 1.5
LATENCY_TOLERANCE = 4.0  # multiples of the best latency
LATENCY_DRIFT = 1.001  # by which the best latency is forgotten with each sample


class LoadReport(msgspec.Struct, kw_only=True, frozen=True):
    """
    What a replica reports of itself.

    Attributes
    ----------
    running, waiting : int
        Requests in its batch and in its queue.
    slots : int
        The largest batch it runs.
    token_gap : float
        Seconds between the tokens of one request at present, 0 when idle.
    models : tuple of str
        The models that it has loaded, empty when it runs any of its service.
    """

    running: int
    waiting: int
    slots: int
    token_gap: float = 0.0
    models: tuple[str, ...] = ()


def choose_coordinator(
    pool: PoolId, entries: Iterable[InstanceId]
) -> InstanceId | None:
    """
    Return the entry that coordinates a pool: the highest rendezvous hash.

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

    Each pool goes to its highest rendezvous hash among the entries that have room left
    (bounded loads).  Entries that know other members choose otherwise for a while,
    which costs efficiency only.

    Examples
    --------
    >>> names = [InstanceId(name) for name in "abc"]
    >>> chosen = choose_coordinators([PoolId(str(n)) for n in range(6)], names)
    >>> sorted(chosen.values())
    ['a', 'a', 'b', 'b', 'c', 'c']
    """
    ordered = sorted(pools)
    if not entries:
        return {}
    bound = -(-len(ordered) // len(entries))
    taken = dict.fromkeys(entries, 0)
    chosen: dict[PoolId, InstanceId] = {}
    for pool in ordered:
        open_entries = [entry for entry in entries if taken[entry] < bound]
        coordinator = choose_coordinator(pool, open_entries)
        assert coordinator is not None
        taken[coordinator] += 1
        chosen[pool] = coordinator
    return chosen


def compute_share_interval(entry_count: int) -> float:
    """
    Return the seconds between an entry's demands, so that a coordinator's load stays
    bounded.

    Examples
    --------
    >>> round(compute_share_interval(8), 2), round(compute_share_interval(72), 2)
    (1.33, 12.0)
    """
    return max(MIN_INTERVAL, entry_count * INTERVAL_PER_ENTRY)


def allocate_max_min(amount: int, wants: Sequence[int]) -> list[int]:
    """
    Divide an amount max-min fairly among wants.

    Examples
    --------
    >>> allocate_max_min(10, [2, 9, 9])
    [2, 4, 4]
    >>> allocate_max_min(3, [5, 5])
    [2, 1]
    """
    shares = [0] * len(wants)
    left = min(amount, sum(wants))
    open_indexes = [index for index, want in enumerate(wants) if want > 0]
    while left > 0:
        part = max(1, left // len(open_indexes))
        for index in sorted(open_indexes, key=shares.__getitem__)[:left]:
            given = min(wants[index] - shares[index], part)
            shares[index] += given
            left -= given
        open_indexes = [index for index in open_indexes if shares[index] < wants[index]]
    return shares


class _Replica(msgspec.Struct, kw_only=True):
    """A replica's latest report."""

    report: LoadReport
    at: float


class _EntryDemand(msgspec.Struct, kw_only=True):
    """An entry's latest demand."""

    demand: Demand
    at: float


class Coordinator:
    """
    Divides one pool's slots among the entries that ask.

    Parameters
    ----------
    pool : PoolId
    clock : Clock
    """

    def __init__(self, *, pool: PoolId, clock: Clock) -> None:
        self._pool = pool
        self._clock = clock
        self._replicas: dict[InstanceId, _Replica] = {}
        self._demands: dict[InstanceId, _EntryDemand] = {}
        self._limit: BatchLimit | None = None
        self._gap_targets: dict[int, float] = {}
        self._min_shares: dict[int, float] = {}

    def set_targets(
        self, *, gap_targets: dict[int, float], min_shares: dict[int, float]
    ) -> None:
        """Take the targets between tokens (seconds) and the minimum shares by tier."""
        self._gap_targets = gap_targets
        self._min_shares = min_shares

    def record_report(self, replica: InstanceId, report: LoadReport) -> None:
        """Take in a replica's report."""
        self._replicas[replica] = _Replica(report=report, at=self._clock.now())

    def update_replicas(self, replicas: Iterable[InstanceId]) -> None:
        """Forget all replicas but these."""
        kept = set(replicas)
        for instance in list(self._replicas):
            if instance not in kept:
                del self._replicas[instance]

    def record_demand(self, entry: InstanceId, demand: Demand) -> None:
        """Take in an entry's demand."""
        self._demands[entry] = _EntryDemand(demand=demand, at=self._clock.now())

    def allocate_slots(self) -> dict[InstanceId, Grant]:
        """Return the present grant of every entry that asked lately."""
        self._forget_silent()
        entries = sorted(self._demands)
        if not entries:
            return {}
        loads = self._loads()
        slots = self._slots(entries, sum(load.limit for load in loads))
        pressed = self._pressed_tier(entries, slots)
        ttl = TTL_INTERVALS * compute_share_interval(len(entries))
        return {
            entry: Grant(
                pool=self._pool,
                slots=tuple(slots[entry]),
                ttl_ms=int(ttl * 1000),
                preempting_tier=pressed,
                replicas=loads,
            )
            for entry in entries
        }

    def _forget_silent(self) -> None:
        horizon = FORGET_INTERVALS * compute_share_interval(len(self._demands))
        for entry, known in list(self._demands.items()):
            if self._clock.now() - known.at > horizon:
                del self._demands[entry]

    def _loads(self) -> tuple[ReplicaLoad, ...]:
        self._adapt_limit()
        reports = [known.report for known in self._replicas.values()]
        gaps = [report.token_gap for report in reports if report.token_gap > 0]
        median = statistics.median(gaps) if gaps else 0.0
        loads = []
        for instance in sorted(self._replicas):
            report = self._replicas[instance].report
            limit = report.slots if self._limit is None else self._limit.value
            if report.token_gap > STRAGGLER_RATIO * median > 0:
                limit = max(1, int(limit * median / report.token_gap))
            loads.append(
                ReplicaLoad(
                    key=short_key(instance),
                    load=report.running + report.waiting,
                    limit=min(limit, report.slots),
                    hard_limit=report.slots,
                    token_gap_us=int(report.token_gap * MICROSECONDS),
                    models=tuple(short_key(model) for model in report.models),
                )
            )
        return tuple(loads)

    def _adapt_limit(self) -> None:
        """Adapt the batch limit to the time between tokens on the busy replicas."""
        reports = [known.report for known in self._replicas.values()]
        if not reports:
            return
        slots = max(report.slots for report in reports)
        if self._limit is None:
            self._limit = BatchLimit(slots=slots)
        busy = [
            report
            for report in reports
            if report.token_gap > 0 and report.running >= BUSY_FRACTION * slots
        ]
        if busy:
            mean = sum(report.running for report in reports) / len(reports)
            self._limit.update_limit(
                token_gap=statistics.median(report.token_gap for report in busy),
                target=self._gap_target(),
                batch=mean,
            )

    def _gap_target(self) -> float | None:
        """Return the tightest target between tokens among the tiers that ask now."""
        targets = [
            target
            for tier, target in self._gap_targets.items()
            if any(_want(known.demand, tier) for known in self._demands.values())
        ]
        return min(targets, default=None)

    def _slots(
        self, entries: list[InstanceId], capacity: int
    ) -> dict[InstanceId, list[int]]:
        slots = {entry: [0] * TIER_COUNT for entry in entries}
        reserved = self._reserved(capacity)
        left = capacity
        for tier in range(1, TIER_COUNT + 1):
            kept = sum(reserved[lower] for lower in range(tier + 1, TIER_COUNT + 1))
            wants = [_want(self._demands[entry].demand, tier) for entry in entries]
            shares = allocate_max_min(max(0, left - kept), wants)
            for entry, share in zip(entries, shares, strict=True):
                slots[entry][tier - 1] = share
            left -= sum(shares)
        for entry, spare in zip(
            entries, allocate_max_min(left, [left] * len(entries)), strict=True
        ):
            slots[entry][TIER_COUNT - 1] += spare
        return slots

    def _reserved(self, capacity: int) -> dict[int, int]:
        """Return the slots kept for the minimum shares of tiers that ask for any."""
        reserved = {}
        for tier in range(1, TIER_COUNT + 1):
            want = sum(_want(known.demand, tier) for known in self._demands.values())
            reserved[tier] = min(want, int(self._min_shares.get(tier, 0.0) * capacity))
        return reserved

    def _pressed_tier(
        self, entries: list[InstanceId], slots: dict[InstanceId, list[int]]
    ) -> int:
        """
        Return the lowest tier (largest number) below which work must give way, or 0.
        """
        pressed = 0
        for tier in range(1, TIER_COUNT):
            if any(self._demands[entry].demand.waiting[tier - 1] for entry in entries):
                lower = sum(
                    sum(self._demands[entry].demand.running[tier:])
                    - sum(slots[entry][tier:])
                    for entry in entries
                )
                if lower > 0:
                    pressed = tier
        return pressed


def _want(demand: Demand, tier: int) -> int:
    return demand.running[tier - 1] + demand.waiting[tier - 1]


class ShareHolder:
    """
    An entry's share of one pool, with a fallback for when no grant holds.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._grant: Grant | None = None
        self._expires = 0.0
        self._factor = 1.0
        self._best_latency: float | None = None
        self._latency = MovingAverage(value=0.0)

    @property
    def has_grant(self) -> bool:
        """Whether a grant holds."""
        return self._grant is not None and self._clock.now() < self._expires

    @property
    def preempting_tier(self) -> int:
        """The lowest tier that waits somewhere in the pool, 0 when none does."""
        return (
            self._grant.preempting_tier
            if self._grant is not None and self.has_grant
            else 0
        )

    def apply_grant(self, grant: Grant) -> None:
        """Take a grant in place of the one before."""
        self._grant = grant
        self._expires = self._clock.now() + grant.ttl_ms / 1000
        self._factor = 1.0

    def record_first_token_latency(self, seconds: float) -> None:
        """
        Take in the time to a first token, by which the fallback adapts.

        The factor follows the ratio of the best latency to the present one (latency
        gradient).
        """
        best = self._best_latency
        best = seconds if best is None else min(best * LATENCY_DRIFT, seconds)
        self._best_latency = best
        self._latency.add_sample(seconds)
        if self.has_grant:
            return
        if self._latency.value > LATENCY_TOLERANCE * best:
            self._factor = max(MIN_FALLBACK_FACTOR, self._factor * FALLBACK_DECREASE)
        else:
            self._factor = min(MAX_FALLBACK_FACTOR, self._factor + FALLBACK_INCREASE)

    def compute_slots(self, *, capacity: int, entry_count: int) -> tuple[int, ...]:
        """
        Return the slots by tier.

        Parameters
        ----------
        capacity : int
            The pool's slots as far as this entry knows, for the fallback.
        entry_count : int
            The number of entries last known.
        """
        if self._grant is not None and self.has_grant:
            return self._grant.slots
        part = max(1, int(self._factor * capacity / max(1, entry_count)))
        return (0,) * (TIER_COUNT - 1) + (part,)
