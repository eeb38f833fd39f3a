"""
Choice of a replica
===================

Scores the replicas of a pool by load, speed, prefix cache affinity and data centre, and
ejects stragglers (outlier detection).
"""

import math
import random
import statistics
from collections.abc import Callable, Iterable

import msgspec

from damasklead.clock import Clock
from damasklead.cost_model import MovingAverage
from damasklead.ids import (
    UNKNOWN_VERSION,
    AttemptId,
    DataCentre,
    InstanceId,
    SoftwareVersion,
)
from damasklead.messages import ReplicaLoad
from damasklead.requests import Request
from damasklead.util import hash_name, stable_hash

__all__ = ["ReplicaChooser", "ReplicaInfo"]

DEFAULT_LIMIT = 16  # requests, until the first report
MAX_SCORED_REPLICAS = 32  # chosen at random, besides those preferred for the prefix
PREFERRED_REPLICAS_PER_PREFIX = 2
PREFIX_BONUS_REQUESTS = 1.0
REMOTE_PENALTY_REQUESTS = 0.1  # for a replica in another data centre
TRIED_PENALTY_REQUESTS = 1000.0
OTHER_REQUESTS_WEIGHT = 0.5  # of a request of this entry
STRAGGLER_RATIO = 2.5  # multiples of the median token gap
MAX_EJECTED_FRACTION = 0.34
EJECTION_SECONDS = 10.0  # times the number of ejections in a row
MIN_STRAGGLING_SECONDS = 1.0
MAX_EJECTION_COUNT = 6  # bounds the length of an ejection
MIN_TOKEN_GAP_SAMPLES = 3
MICROSECONDS_PER_SECOND = 1_000_000
TOKEN_GAP_SMOOTHING_FACTOR = 0.3
OTHER_REQUESTS_SMOOTHING_FACTOR = 0.2


class ReplicaInfo(msgspec.Struct, kw_only=True, frozen=True):
    """Id and data centre of a replica that may take new requests."""

    instance: InstanceId
    data_centre: DataCentre
    version: SoftwareVersion = UNKNOWN_VERSION


class _Replica(msgspec.Struct, kw_only=True):
    """
    What this entry knows about a replica.

    Attributes
    ----------
    key : int
        ``hash_name`` of the replica's id, as in the load reports.
    limit, hard_limit : int
        Number of requests that it can run within the latency targets, and at all.
    other_requests : MovingAverage
        Number of requests there that this entry did not send.
    token_gap : MovingAverage
        Seconds between the tokens of a response.
    slow_since : float or None
        Clock reading in seconds since when the replica has been a straggler.
    models : tuple of int
        ``hash_name`` of each loaded model, empty when the replica serves any model.
    ejected_until, penalty_until : float
        Clock readings in seconds until which the replica gets no requests, after an
        ejection and after a failure.
    ejection_count : int
        Number of ejections in a row.
    is_probed : bool
        Whether the replica has been ejected and not yet been found fast again.  After
        the ejection it gets one request at a time, none of them of tier 1.
    is_unreachable : bool
        Whether the last connection attempt failed.
    own_attempts : set
        Attempts of this entry that run there.
    last_sent_at : float
        Clock reading in seconds of the last attempt; minus infinity before.
    """

    info: ReplicaInfo
    key: int
    limit: int = DEFAULT_LIMIT
    hard_limit: int = DEFAULT_LIMIT
    other_requests: MovingAverage = msgspec.field(
        default_factory=lambda: MovingAverage(
            value=0.0, smoothing_factor=OTHER_REQUESTS_SMOOTHING_FACTOR
        )
    )
    token_gap: MovingAverage = msgspec.field(
        default_factory=lambda: MovingAverage(
            value=0.0, smoothing_factor=TOKEN_GAP_SMOOTHING_FACTOR
        )
    )
    slow_since: float | None = None
    models: tuple[int, ...] = ()
    ejected_until: float = 0.0
    ejection_count: int = 0
    is_probed: bool = False
    penalty_until: float = 0.0
    is_unreachable: bool = False
    own_attempts: set[AttemptId] = msgspec.field(default_factory=set)
    last_sent_at: float = -math.inf

    def can_serve(self, model: str) -> bool:
        """Return whether the replica can serve a model according to its last report."""
        return not self.models or not model or hash_name(model) in self.models

    @property
    def load(self) -> float:
        """Estimated number of requests there, those of other entries included."""
        return len(self.own_attempts) + self.other_requests.value


class ReplicaChooser:
    """
    The replicas of one pool as one entry sees them.

    Parameters
    ----------
    clock : Clock
    data_centre : DataCentre
        The data centre of this entry, whose replicas are preferred.
    random_source : random.Random
        Source of random numbers, seeded differently in each entry, so that entries with
        the same stale report do not all choose the same replica.
    get_request_rate : callable
        Returns the requests per second that this entry may send to a replica, ``None``
        when they are not limited.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        data_centre: DataCentre,
        random_source: random.Random,
        get_request_rate: Callable[[InstanceId], float | None] = lambda _: None,
    ) -> None:
        self._get_request_rate = get_request_rate
        self._clock = clock
        self._data_centre = data_centre
        self._random = random_source
        self._replicas: dict[InstanceId, _Replica] = {}
        self._entry_count = 1

    @property
    def capacity(self) -> int:
        """Number of requests that all replicas can run within the latency targets."""
        return sum(replica.limit for replica in self._replicas.values())

    @property
    def has_reachable_replica(self) -> bool:
        """Whether at least one replica is not marked as unreachable."""
        return any(not replica.is_unreachable for replica in self._replicas.values())

    @property
    def instances(self) -> list[InstanceId]:
        """Ids of the replicas that may take new requests."""
        return list(self._replicas)

    def update_replicas(
        self, replicas: Iterable[ReplicaInfo], *, entry_count: int = 1
    ) -> None:
        """
        Set the replicas that may take new requests, in place of the present ones.

        Parameters
        ----------
        replicas : iterable of ReplicaInfo
        entry_count : int
            Number of entries that send requests to these replicas.
        """
        self._entry_count = entry_count
        known_replicas = self._replicas
        self._replicas = {}
        for info in replicas:
            replica = known_replicas.get(info.instance) or _Replica(
                info=info, key=hash_name(info.instance)
            )
            replica.info = info
            self._replicas[info.instance] = replica

    def record_loads(self, loads: Iterable[ReplicaLoad]) -> list[InstanceId]:
        """Record reported loads and return the replicas that are ejected by them."""
        replicas_by_key = {replica.key: replica for replica in self._replicas.values()}
        for load in loads:
            replica = replicas_by_key.get(load.key)
            if replica is None:
                continue
            replica.other_requests.add_sample(
                max(0, load.load - len(replica.own_attempts))
            )
            replica.limit = max(1, load.limit)
            replica.hard_limit = max(1, load.hard_limit)
            replica.models = load.models
            if load.token_gap_us:
                replica.token_gap.add_sample(
                    load.token_gap_us / MICROSECONDS_PER_SECOND
                )
        return self._eject_stragglers()

    def record_token_gap(
        self, instance: InstanceId, seconds: float
    ) -> list[InstanceId]:
        """
        Record a measured token gap in seconds and return the replicas ejected by it.
        """
        replica = self._replicas.get(instance)
        if replica is not None and seconds > 0:
            replica.token_gap.add_sample(seconds)
        return self._eject_stragglers()

    def record_failure(
        self, instance: InstanceId, *, seconds: float, is_unreachable: bool = False
    ) -> None:
        """
        Record a failure and send the replica no requests for some seconds.

        Parameters
        ----------
        instance : str
        seconds : float
            Seconds for which the replica gets no requests.
        is_unreachable : bool
            Whether the connection could not be established.
        """
        replica = self._replicas.get(instance)
        if replica is not None:
            replica.penalty_until = self._clock.now() + seconds
            replica.is_unreachable = is_unreachable

    def record_response(self, instance: InstanceId) -> None:
        """Record that a replica responds."""
        replica = self._replicas.get(instance)
        if replica is not None:
            replica.is_unreachable = False

    def add_attempt(self, instance: InstanceId, attempt: AttemptId) -> None:
        """Add an attempt to those that run on a replica."""
        replica = self._replicas.get(instance)
        if replica is not None:
            replica.own_attempts.add(attempt)
            replica.last_sent_at = self._clock.now()

    def remove_attempt(self, instance: InstanceId, attempt: AttemptId) -> None:
        """Remove an attempt that has ended."""
        replica = self._replicas.get(instance)
        if replica is not None:
            replica.own_attempts.discard(attempt)

    def get_version(self, instance: InstanceId) -> SoftwareVersion:
        """Return a replica's version; ``UNKNOWN_VERSION`` if it is not listed."""
        replica = self._replicas.get(instance)
        return UNKNOWN_VERSION if replica is None else replica.info.version

    def has_version_for(self, request: Request) -> bool:
        """Return whether some replica may execute a request by its version."""
        return request.version is None or any(
            request.accepts_version(replica.info.version)
            for replica in self._replicas.values()
        )

    def choose_replica(
        self,
        request: Request,
        *,
        use_hard_limit: bool,
        candidates: frozenset[InstanceId],
    ) -> InstanceId | None:
        """
        Return the replica for a request, or ``None`` when none is available.

        Parameters
        ----------
        request : Request
        use_hard_limit : bool
            Whether a replica's load may exceed the limit for the latency targets, up to
            the hard limit.
        candidates : frozenset
            Ids of the replicas that may execute this request.
        """
        available_replicas = [
            replica
            for instance, replica in self._replicas.items()
            if instance in candidates
            and self._is_available(replica, request, use_hard_limit)
        ]
        if not available_replicas:
            return None
        scored_replicas = self._sample_replicas(available_replicas, request)
        preferred_replicas = self._find_preferred_replicas(request)
        best_replica = min(
            scored_replicas,
            key=lambda item: self._compute_score(item, request, preferred_replicas),
        )
        return best_replica.info.instance

    def _is_available(
        self, replica: _Replica, request: Request, use_hard_limit: bool
    ) -> bool:
        now = self._clock.now()
        if now < replica.penalty_until or now < replica.ejected_until:
            return False
        if not replica.can_serve(request.model) or self._is_rate_limited(replica, now):
            return False
        if not request.accepts_version(replica.info.version):
            return False
        if replica.is_probed:
            return request.tier > 1 and not replica.own_attempts
        return replica.load < (replica.hard_limit if use_hard_limit else replica.limit)

    def _is_rate_limited(self, replica: _Replica, now: float) -> bool:
        rate = self._get_request_rate(replica.info.instance)
        return rate is not None and (not rate or now < replica.last_sent_at + 1 / rate)

    def _sample_replicas(
        self, replicas: list[_Replica], request: Request
    ) -> list[_Replica]:
        if len(replicas) <= MAX_SCORED_REPLICAS:
            return replicas
        chosen = self._random.sample(replicas, MAX_SCORED_REPLICAS)
        preferred_replicas = self._find_preferred_replicas(request)
        chosen.extend(
            item for item in replicas if item.info.instance in preferred_replicas
        )
        return chosen

    def _find_preferred_replicas(self, request: Request) -> frozenset[InstanceId]:
        """Return the replicas with the highest rendezvous hash of the prompt prefix."""
        if not request.prefix:
            return frozenset()
        ranked = sorted(
            self._replicas,
            key=lambda item: stable_hash(request.prefix, item),
            reverse=True,
        )
        return frozenset(ranked[:PREFERRED_REPLICAS_PER_PREFIX])

    def _compute_score(
        self,
        replica: _Replica,
        request: Request,
        preferred_replicas: frozenset[InstanceId],
    ) -> float:
        """
        Return the score of a replica for a request, in requests; the lowest is best.

        The load, one more request included, is scaled by the replica's token gap
        relative to the median.
        """
        request_estimate = (
            len(replica.own_attempts)
            + OTHER_REQUESTS_WEIGHT * replica.other_requests.value / self._entry_count
        )
        score = (request_estimate + 1.0) * self._compute_slowness(replica)
        if replica.info.data_centre != self._data_centre:
            score += REMOTE_PENALTY_REQUESTS
        if replica.info.instance in preferred_replicas:
            score -= PREFIX_BONUS_REQUESTS
        if replica.info.instance in request.tried_replicas:
            score += TRIED_PENALTY_REQUESTS
        return score + self._random.random() * 0.01

    def _compute_slowness(self, replica: _Replica) -> float:
        median = self._compute_median_token_gap()
        if median <= 0 or replica.token_gap.count < MIN_TOKEN_GAP_SAMPLES:
            return 1.0
        return max(0.5, replica.token_gap.value / median)

    def _compute_median_token_gap(self) -> float:
        token_gaps = [
            replica.token_gap.value
            for replica in self._replicas.values()
            if replica.token_gap.count >= MIN_TOKEN_GAP_SAMPLES
        ]
        return statistics.median(token_gaps) if len(token_gaps) >= 2 else 0.0

    def _eject_stragglers(self) -> list[InstanceId]:
        median = self._compute_median_token_gap()
        if median <= 0:
            return []
        now = self._clock.now()
        max_ejected = int(MAX_EJECTED_FRACTION * len(self._replicas))
        ejected_count = sum(
            1 for replica in self._replicas.values() if now < replica.ejected_until
        )
        newly_ejected: list[InstanceId] = []
        for instance, replica in self._replicas.items():
            if now < replica.ejected_until or not self._update_straggler_state(
                replica, median
            ):
                continue
            if ejected_count + len(newly_ejected) < max_ejected:
                replica.ejection_count = min(
                    replica.ejection_count + 1, MAX_EJECTION_COUNT
                )
                replica.ejected_until = now + EJECTION_SECONDS * replica.ejection_count
                replica.is_probed = True
                replica.slow_since = None
                replica.token_gap = MovingAverage(
                    value=0.0, smoothing_factor=TOKEN_GAP_SMOOTHING_FACTOR
                )
                newly_ejected.append(instance)
        return newly_ejected

    def _update_straggler_state(self, replica: _Replica, median: float) -> bool:
        """
        Update since when a replica is a straggler; return whether to eject it now.
        """
        now = self._clock.now()
        slow = replica.token_gap.value > STRAGGLER_RATIO * median
        if replica.token_gap.count < MIN_TOKEN_GAP_SAMPLES:
            return False
        if not slow:
            replica.slow_since = None
            replica.is_probed = False
            replica.ejection_count = 0
            return False
        if replica.slow_since is None:
            replica.slow_since = now
        return now - replica.slow_since >= MIN_STRAGGLING_SECONDS
