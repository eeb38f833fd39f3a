"""
Choice of a replica
===================

Scores the replicas of a pool by load, speed, prefix cache and distance, and ejects
stragglers.
"""

import random
import statistics
from collections.abc import Iterable

import msgspec

from damasklead.clock import Clock
from damasklead.ids import AttemptId, DataCentre, InstanceId
from damasklead.learning import MovingAverage
from damasklead.messages import ReplicaLoad
from damasklead.requests import Request
from damasklead.util import short_key, stable_hash

__all__ = ["ReplicaChooser", "ReplicaInfo"]

DEFAULT_LIMIT = 16
SAMPLED = 32
PREFIX_FAVOURITES = 2
PREFIX_BONUS = 1.0  # requests
OTHER_CENTRE_COST = 0.1  # requests
TRIED_COST = 1000.0  # requests
OTHERS_WEIGHT = 0.5
STRAGGLER_RATIO = 2.5
MAX_EJECTED_FRACTION = 0.34
EJECT_SECONDS = 10.0
SLOW_SECONDS = 1.0
MAX_EJECTIONS = 6
MIN_GAP_SAMPLES = 3
MICROSECONDS = 1_000_000
GAP_RATE = 0.3
OTHERS_RATE = 0.2


class ReplicaInfo(msgspec.Struct, kw_only=True, frozen=True):
    """A replica that may take work: its id and place."""

    instance: InstanceId
    data_centre: DataCentre


class _Replica(msgspec.Struct, kw_only=True):
    info: ReplicaInfo
    key: int
    limit: int = DEFAULT_LIMIT
    hard_limit: int = DEFAULT_LIMIT
    others: MovingAverage = msgspec.field(
        default_factory=lambda: MovingAverage(value=0.0, smoothing_factor=OTHERS_RATE)
    )
    gap: MovingAverage = msgspec.field(
        default_factory=lambda: MovingAverage(value=0.0, smoothing_factor=GAP_RATE)
    )
    slow_since: float | None = None
    models: tuple[int, ...] = ()
    ejected_until: float = 0.0
    ejections: int = 0
    probing: bool = False
    broken_until: float = 0.0
    unreachable: bool = False
    own: set[AttemptId] = msgspec.field(default_factory=set)

    def runs(self, model: str) -> bool:
        """Tell whether the replica can run a model, as far as its report says."""
        return not self.models or not model or short_key(model) in self.models

    @property
    def load(self) -> float:
        """Estimated requests there: our own, and those of others by the reports."""
        return len(self.own) + self.others.value


class ReplicaChooser:
    """
    The replicas of one pool as one entry sees them.

    Parameters
    ----------
    clock : Clock
    data_centre : DataCentre
        Where this entry is; replicas there are preferred.
    random_source : random.Random
        Differs between entries, so that they do not all follow the same stale report.
    """

    def __init__(
        self, *, clock: Clock, data_centre: DataCentre, random_source: random.Random
    ) -> None:
        self._clock = clock
        self._data_centre = data_centre
        self._random = random_source
        self._replicas: dict[InstanceId, _Replica] = {}
        self._entry_count = 1

    @property
    def capacity(self) -> int:
        """The slots of all replicas, as far as known."""
        return sum(replica.limit for replica in self._replicas.values())

    @property
    def has_reachable_replica(self) -> bool:
        """Whether some replica is not known to be out of reach."""
        return any(not replica.unreachable for replica in self._replicas.values())

    @property
    def instances(self) -> list[InstanceId]:
        """The replicas that may take work."""
        return list(self._replicas)

    def update_replicas(
        self, replicas: Iterable[ReplicaInfo], *, entry_count: int = 1
    ) -> None:
        """
        Take the replicas that may take new work; others take none from now on.

        Parameters
        ----------
        entry_count : int
            How many entries send to them.
        """
        self._entry_count = entry_count
        known = self._replicas
        self._replicas = {}
        for info in replicas:
            replica = known.get(info.instance) or _Replica(
                info=info, key=short_key(info.instance)
            )
            replica.info = info
            self._replicas[info.instance] = replica

    def record_loads(self, loads: Iterable[ReplicaLoad]) -> list[InstanceId]:
        """Take in reported loads; returns the replicas that are ejected by them."""
        by_key = {replica.key: replica for replica in self._replicas.values()}
        for load in loads:
            replica = by_key.get(load.key)
            if replica is None:
                continue
            replica.others.add_sample(max(0, load.load - len(replica.own)))
            replica.limit = max(1, load.limit)
            replica.hard_limit = max(1, load.hard_limit)
            replica.models = load.models
            if load.token_gap_us:
                replica.gap.add_sample(load.token_gap_us / MICROSECONDS)
        return self._eject_stragglers()

    def record_token_gap(
        self, instance: InstanceId, seconds: float
    ) -> list[InstanceId]:
        """
        Take in a measured time between tokens; returns the replicas that are ejected.
        """
        replica = self._replicas.get(instance)
        if replica is not None and seconds > 0:
            replica.gap.add_sample(seconds)
        return self._eject_stragglers()

    def record_failure(
        self, instance: InstanceId, *, seconds: float, unreachable: bool = False
    ) -> None:
        """
        Avoid a replica that failed for some seconds.

        Parameters
        ----------
        unreachable : bool
            Whether no connection could be made.
        """
        replica = self._replicas.get(instance)
        if replica is not None:
            replica.broken_until = self._clock.now() + seconds
            replica.unreachable = unreachable

    def record_response(self, instance: InstanceId) -> None:
        """Take in that a replica answers."""
        replica = self._replicas.get(instance)
        if replica is not None:
            replica.unreachable = False

    def add_attempt(self, instance: InstanceId, attempt: AttemptId) -> None:
        """Count an attempt as running."""
        replica = self._replicas.get(instance)
        if replica is not None:
            replica.own.add(attempt)

    def remove_attempt(self, instance: InstanceId, attempt: AttemptId) -> None:
        """Count an attempt as ended."""
        replica = self._replicas.get(instance)
        if replica is not None:
            replica.own.discard(attempt)

    def choose_replica(
        self,
        request: Request,
        *,
        use_hard_limit: bool,
        candidates: frozenset[InstanceId],
    ) -> InstanceId | None:
        """
        Return the replica for a request, or ``None`` when none has room.

        Parameters
        ----------
        use_hard_limit : bool
            Whether the request may go beyond the limit for targets, up to the hard
            limit.
        candidates : frozenset
            The replicas that may take this request.
        """
        open_replicas = [
            replica
            for instance, replica in self._replicas.items()
            if instance in candidates
            and self._has_room(replica, request, use_hard_limit)
        ]
        if not open_replicas:
            return None
        sampled = self._sample(open_replicas, request)
        favourites = self._favourites(request)
        best = min(sampled, key=lambda item: self._score(item, request, favourites))
        return best.info.instance

    def _has_room(
        self, replica: _Replica, request: Request, use_hard_limit: bool
    ) -> bool:
        now = self._clock.now()
        if now < replica.broken_until or now < replica.ejected_until:
            return False
        if not replica.runs(request.model):
            return False
        if replica.probing:
            return request.tier > 1 and not replica.own
        return replica.load < (replica.hard_limit if use_hard_limit else replica.limit)

    def _sample(self, replicas: list[_Replica], request: Request) -> list[_Replica]:
        if len(replicas) <= SAMPLED:
            return replicas
        chosen = self._random.sample(replicas, SAMPLED)
        favourites = self._favourites(request)
        chosen.extend(item for item in replicas if item.info.instance in favourites)
        return chosen

    def _favourites(self, request: Request) -> frozenset[InstanceId]:
        """Return the replicas that all entries prefer for the request's prefix."""
        if not request.prefix:
            return frozenset()
        ranked = sorted(
            self._replicas,
            key=lambda item: stable_hash(request.prefix, item),
            reverse=True,
        )
        return frozenset(ranked[:PREFIX_FAVOURITES])

    def _score(
        self, replica: _Replica, request: Request, favourites: frozenset[InstanceId]
    ) -> float:
        seen = (
            len(replica.own) + OTHERS_WEIGHT * replica.others.value / self._entry_count
        )
        score = (seen + 1.0) * self._slowness(replica)
        if replica.info.data_centre != self._data_centre:
            score += OTHER_CENTRE_COST
        if replica.info.instance in favourites:
            score -= PREFIX_BONUS
        if replica.info.instance in request.tried_replicas:
            score += TRIED_COST
        return score + self._random.random() * 0.01

    def _slowness(self, replica: _Replica) -> float:
        median = self._median_gap()
        if median <= 0 or replica.gap.count < MIN_GAP_SAMPLES:
            return 1.0
        return max(0.5, replica.gap.value / median)

    def _median_gap(self) -> float:
        gaps = [
            replica.gap.value
            for replica in self._replicas.values()
            if replica.gap.count >= MIN_GAP_SAMPLES
        ]
        return statistics.median(gaps) if len(gaps) >= 2 else 0.0

    def _eject_stragglers(self) -> list[InstanceId]:
        median = self._median_gap()
        if median <= 0:
            return []
        now = self._clock.now()
        allowed = int(MAX_EJECTED_FRACTION * len(self._replicas))
        ejected = sum(
            1 for replica in self._replicas.values() if now < replica.ejected_until
        )
        newly: list[InstanceId] = []
        for instance, replica in self._replicas.items():
            if now < replica.ejected_until or not self._slow_for_long(replica, median):
                continue
            if ejected + len(newly) < allowed:
                replica.ejections = min(replica.ejections + 1, MAX_EJECTIONS)
                replica.ejected_until = now + EJECT_SECONDS * replica.ejections
                replica.probing = True
                replica.slow_since = None
                replica.gap = MovingAverage(value=0.0, smoothing_factor=GAP_RATE)
                newly.append(instance)
        return newly

    def _slow_for_long(self, replica: _Replica, median: float) -> bool:
        """Note since when a replica is slower than its peers; tell if for long."""
        now = self._clock.now()
        slow = replica.gap.value > STRAGGLER_RATIO * median
        if replica.gap.count < MIN_GAP_SAMPLES:
            return False
        if not slow:
            replica.slow_since = None
            replica.probing = False
            replica.ejections = 0
            return False
        if replica.slow_since is None:
            replica.slow_since = now
        return now - replica.slow_since >= SLOW_SECONDS
