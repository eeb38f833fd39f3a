"""
Sharing a pool's capacity among entries
=======================================

One live entry, chosen by rendezvous hashing, is the coordinator of a pool.  It holds
soft state only: what entries ask for and what replicas report.  Two coordinators at
once, or none, cost efficiency and never a promise, since a share only says how many
requests an entry starts.
"""

from collections.abc import Iterable, Sequence

import msgspec

from damasklead.clock import Clock
from damasklead.ids import InstanceId, PoolId
from damasklead.learning import BatchModel, MovingAverage
from damasklead.messages import Demand, Grant, ReplicaLoad
from damasklead.util import stable_hash

__all__ = [
    "TIERS",
    "Coordinator",
    "LoadReport",
    "ShareHolder",
    "choose_coordinator",
    "divide",
    "share_interval",
]

TIERS = 5
MIN_INTERVAL = 0.25  # seconds
INTERVAL_PER_ENTRY = 0.05  # seconds
TTL_INTERVALS = 4
FORGET_INTERVALS = 6
REPORT_HORIZON = 10.0  # seconds
MICROSECONDS = 1_000_000
FALLBACK_DECREASE = 0.8
MIN_FALLBACK_FACTOR = 0.25


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
    """

    running: int
    waiting: int
    slots: int
    token_gap: float = 0.0


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


def share_interval(entries: int) -> float:
    """
    Return the seconds between an entry's demands, so that a coordinator's load stays
    bounded.

    Examples
    --------
    >>> share_interval(8), share_interval(72)
    (0.4, 3.6)
    """
    return max(MIN_INTERVAL, entries * INTERVAL_PER_ENTRY)


def divide(amount: int, wants: Sequence[int]) -> list[int]:
    """
    Divide an amount max-min fairly among wants.

    Examples
    --------
    >>> divide(10, [2, 9, 9])
    [2, 4, 4]
    >>> divide(3, [5, 5])
    [2, 1]
    """
    shares = [0] * len(wants)
    left = min(amount, sum(wants))
    open_indexes = [index for index, want in enumerate(wants) if want > 0]
    while left > 0:
        part, extra = divmod(left, len(open_indexes))
        for position, index in enumerate(open_indexes):
            given = min(
                wants[index] - shares[index], part + (1 if position < extra else 0)
            )
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
        self._batches = BatchModel()
        self._gap_targets: dict[int, float] = {}
        self._min_shares: dict[int, float] = {}

    def configure(
        self, *, gap_targets: dict[int, float], min_shares: dict[int, float]
    ) -> None:
        """Take the targets between tokens (seconds) and the minimum shares by tier."""
        self._gap_targets = gap_targets
        self._min_shares = min_shares

    def report(self, replica: InstanceId, report: LoadReport) -> None:
        """Take in a replica's report."""
        self._replicas[replica] = _Replica(report=report, at=self._clock.now())
        if report.running and report.token_gap > 0:
            self._batches.learn(batch=report.running, token_gap=report.token_gap)

    def retain(self, replicas: Iterable[InstanceId]) -> None:
        """Forget all replicas but these."""
        kept = set(replicas)
        for instance in list(self._replicas):
            if instance not in kept:
                del self._replicas[instance]

    def demand(self, entry: InstanceId, demand: Demand) -> None:
        """Take in an entry's demand."""
        self._demands[entry] = _EntryDemand(demand=demand, at=self._clock.now())

    def allocate(self) -> dict[InstanceId, Grant]:
        """Return the present grant of every entry that asked lately."""
        self._forget_silent()
        entries = sorted(self._demands)
        if not entries:
            return {}
        loads = self._loads()
        slots = self._slots(entries, sum(load.limit for load in loads))
        pressed = self._pressed_tier(entries, slots)
        ttl = TTL_INTERVALS * share_interval(len(entries))
        return {
            entry: Grant(
                pool=self._pool,
                slots=tuple(slots[entry]),
                ttl_ms=int(ttl * 1000),
                pressed_tier=pressed,
                replicas=loads,
            )
            for entry in entries
        }

    def _forget_silent(self) -> None:
        horizon = FORGET_INTERVALS * share_interval(len(self._demands))
        for entry, known in list(self._demands.items()):
            if self._clock.now() - known.at > horizon:
                del self._demands[entry]

    def _loads(self) -> tuple[ReplicaLoad, ...]:
        batch = self._target_batch()
        loads = []
        for instance in sorted(self._replicas):
            report = self._replicas[instance].report
            limit = (
                report.slots if batch is None else min(report.slots, max(1, int(batch)))
            )
            loads.append(
                ReplicaLoad(
                    instance=instance,
                    load=report.running + report.waiting,
                    limit=limit,
                    hard_limit=report.slots,
                    gap_us=int(report.token_gap * MICROSECONDS),
                )
            )
        return tuple(loads)

    def _target_batch(self) -> float | None:
        """
        Return the batch that keeps the tightest target between tokens now asked for.
        """
        wanted = {
            tier
            for known in self._demands.values()
            for tier in range(1, TIERS + 1)
            if _want(known.demand, tier)
        }
        targets = [
            self._gap_targets[tier] for tier in wanted if tier in self._gap_targets
        ]
        return self._batches.batch_for(min(targets)) if targets else None

    def _slots(
        self, entries: list[InstanceId], capacity: int
    ) -> dict[InstanceId, list[int]]:
        slots = {entry: [0] * TIERS for entry in entries}
        reserved = self._reserved(capacity)
        left = capacity
        for tier in range(1, TIERS + 1):
            kept = sum(reserved[lower] for lower in range(tier + 1, TIERS + 1))
            wants = [_want(self._demands[entry].demand, tier) for entry in entries]
            shares = divide(max(0, left - kept), wants)
            for entry, share in zip(entries, shares, strict=True):
                slots[entry][tier - 1] = share
            left -= sum(shares)
        for entry, spare in zip(
            entries, divide(left, [left] * len(entries)), strict=True
        ):
            slots[entry][TIERS - 1] += spare
        return slots

    def _reserved(self, capacity: int) -> dict[int, int]:
        """Return the slots kept for the minimum shares of tiers that ask for any."""
        reserved = {}
        for tier in range(1, TIERS + 1):
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
        for tier in range(1, TIERS):
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
    def granted(self) -> bool:
        """Whether a grant holds."""
        return self._grant is not None and self._clock.now() < self._expires

    @property
    def pressed_tier(self) -> int:
        """The lowest tier that waits somewhere in the pool, 0 when none does."""
        return (
            self._grant.pressed_tier if self._grant is not None and self.granted else 0
        )

    def take(self, grant: Grant) -> None:
        """Take a grant in place of the one before."""
        self._grant = grant
        self._expires = self._clock.now() + grant.ttl_ms / 1000
        self._factor = 1.0

    def observe_latency(self, seconds: float) -> None:
        """
        Take in the time to a first token, by which the fallback adapts.

        The factor follows the ratio of the best latency to the present one (latency
        gradient).
        """
        best = (
            seconds
            if self._best_latency is None
            else min(self._best_latency * 1.001, seconds)
        )
        self._best_latency = best
        self._latency.add(seconds)
        if self.granted or self._latency.value <= 0:
            return
        gradient = max(0.5, min(1.0, 2.0 * best / self._latency.value))
        target = 1.0 if gradient >= 1.0 else self._factor * FALLBACK_DECREASE
        self._factor = max(MIN_FALLBACK_FACTOR, 0.9 * self._factor + 0.1 * target)

    def slots(self, *, capacity: int, entries: int) -> tuple[int, ...]:
        """
        Return the slots by tier.

        Parameters
        ----------
        capacity : int
            The pool's slots as far as this entry knows, for the fallback.
        entries : int
            The number of entries last known.
        """
        if self._grant is not None and self.granted:
            return self._grant.slots
        part = max(1, int(self._factor * capacity / max(1, entries)))
        return (0,) * (TIERS - 1) + (part,)
