"""
Base of placements
==================

Decides which replica gets a request.  No I/O: what is known comes in as calls with the
clock's time, a choice goes out.
"""

from abc import ABC, abstractmethod
from collections.abc import Collection, Iterable

from damasklead.clock import Clock
from damasklead.failures import Failure
from damasklead.gateway.calls import Call, LoadHint, UpstreamRecord
from damasklead.gateway.partplaces import PartLocations
from damasklead.gateway.replicastate import ReplicaState
from damasklead.gateway.routing import Route, ServiceSpec
from damasklead.ids import DataCentre, InstanceId
from damasklead.util import stable_hash

__all__ = ["FAILURE_COST", "Placement", "tie_breaker"]

# A replica that has not said a word for so many targets is passed over.
STALL_TARGETS = 3.0
# Shortest silence that counts, in seconds: a lost packet is sent again after 0.2 s.
MIN_STALL_SECONDS = 0.5
# Requests that a certain failure is worth in the comparison of replicas.
FAILURE_COST = 6.0


class Placement(ABC):
    """
    The replicas of one service as one gateway sees them.

    Parameters
    ----------
    service : ServiceSpec
    clock : Clock
    data_centre : DataCentre
        Where this gateway is.
    """

    def __init__(
        self,
        *,
        service: ServiceSpec,
        clock: Clock,
        data_centre: DataCentre,
    ) -> None:
        self._service = service
        self._clock = clock
        self._part_locations = PartLocations(clock=clock)
        self._data_centre = data_centre
        self._replicas: dict[InstanceId, ReplicaState] = {}
        self._eligible_replicas: dict[InstanceId, ReplicaState] = {}
        self._eligible_keys: frozenset[int] = frozenset()

    @property
    def service(self) -> ServiceSpec:
        """The service."""
        return self._service

    @property
    def is_coordinated(self) -> bool:
        """Whether coordinators choose among the service's replicas."""
        return self._service.engine is not None

    def get_record(self, instance: InstanceId) -> UpstreamRecord | None:
        """Return the entry of a replica that may take new work."""
        state = self._eligible_replicas.get(instance)
        return None if state is None else state.record

    def has_address(self, address: str) -> bool:
        """Tell whether a replica that may take new work has an address."""
        return any(
            state.record.address == address
            for state in self._eligible_replicas.values()
        )

    def find_paused_replicas(self) -> frozenset[InstanceId]:
        """Return the replicas that want no request just now."""
        now = self._clock.now()
        return frozenset(
            item
            for item, state in self._eligible_replicas.items()
            if state.paused_until > now
        )

    @property
    def eligible_instances(self) -> Collection[InstanceId]:
        """The replicas that may take new work."""
        return self._eligible_replicas.keys()

    def update_replicas(self, records: Iterable[UpstreamRecord]) -> None:
        """Take the replicas that may take new work from now on."""
        usable: dict[InstanceId, ReplicaState] = {}
        for record in records:
            state = self._replicas.get(record.instance)
            if state is None:
                state = ReplicaState(
                    record=record, memory_tokens=self._get_memory_tokens()
                )
                self._replicas[record.instance] = state
            elif state.update_record(record):
                self._part_locations.remove_replica(record.instance)
            usable[record.instance] = state
        self._eligible_replicas = usable
        self._eligible_keys = frozenset(state.key for state in usable.values())
        now = self._clock.now()
        for instance in [item for item in self._replicas if item not in usable]:
            state = self._replicas[instance]
            if not state.own_requests and state.paused_until <= now:
                del self._replicas[instance]

    def configure(self, service: ServiceSpec, routes: Iterable[Route]) -> None:
        """Take the service's specification in force and the routes that lead to it."""
        self._service = service

    def choose_replica(
        self, call: Call, *, excluded: Collection[InstanceId] = ()
    ) -> UpstreamRecord | None:
        """
        Return the replica for a request, or ``None`` when there is none.

        Parameters
        ----------
        excluded : collection
            Replicas on which the request failed; they come last.
        """
        now = self._clock.now()
        candidates = [
            state
            for item, state in self._eligible_replicas.items()
            if item not in excluded and state.paused_until <= now
        ]
        if not candidates:
            return None
        sound = [item for item in candidates if self._is_healthy(item, call, now)]
        best = min(
            self._filter_candidates(call, sound or candidates, now),
            key=lambda state: self._compute_cost(state, call, now),
        )
        return best.record

    def accepts_requests(self, instance: InstanceId) -> bool:
        """Tell whether a replica may be sent a request at this instant."""
        state = self._eligible_replicas.get(instance)
        return state is not None and state.paused_until <= self._clock.now()

    def get_remaining_pause(self) -> float | None:
        """
        Return the seconds until the first replica takes requests again, ``None`` when
        some replica does or there is none.
        """
        if not self._eligible_replicas:
            return None
        first = min(state.paused_until for state in self._eligible_replicas.values())
        left = first - self._clock.now()
        return left if left > 0 else None

    def pause_replica(self, instance: InstanceId, seconds: float) -> float:
        """
        Take in that a replica wants no request for some seconds; returns the seconds
        that it gets.
        """
        state = self._replicas.get(instance)
        return (
            0.0
            if state is None
            else state.pause_requests(seconds, now=self._clock.now())
        )

    def explain_choice(self, instance: InstanceId, call: Call) -> dict[str, object]:
        """Return what is known of a chosen replica, for the log."""
        state = self._replicas[instance]
        now = self._clock.now()
        return {
            "tier": call.tier,
            "candidates": len(self._eligible_replicas),
            "own": state.own_requests,
            "others": round(self._estimate_other_requests(state, now), 1),
            "hint_age": round(state.compute_hint_age(now), 3),
            "unread": self._count_prefill_tokens(state, call),
            "backlog": state.pending_prefill_tokens,
        }

    def record_sent(self, instance: InstanceId, call: Call) -> None:
        """Count a request that is being sent to a replica."""
        state = self._replicas.get(instance)
        if state is not None:
            for part in call.head.prompt[:-1]:
                self._part_locations.record_sent(part.key, part.tokens, instance)
            state.record_sent(
                call,
                prefill_tokens=self._count_prefill_tokens(state, call),
                now=self._clock.now(),
            )

    def record_response_head(self, instance: InstanceId, hint: LoadHint | None) -> None:
        """Take in the head of an answer."""
        state = self._replicas.get(instance)
        if state is not None:
            state.record_response_head(hint, now=self._clock.now())

    def record_stream_event(self, instance: InstanceId, call: Call) -> None:
        """Take in an event of a request's stream."""
        state = self._replicas.get(instance)
        if state is not None:
            state.record_stream_event(call, now=self._clock.now())

    def record_success(self, instance: InstanceId, call: Call) -> None:
        """Take in that a request has its whole answer."""
        state = self._replicas.get(instance)
        if state is not None:
            state.remove_request(call)
            state.record_success()

    def record_failure(
        self, instance: InstanceId, call: Call, failure: Failure
    ) -> None:
        """Take in that an attempt ended without a whole answer."""
        state = self._replicas.get(instance)
        if state is not None:
            state.remove_request(call)
            state.record_failure(failure, now=self._clock.now())

    def record_cancellation(self, instance: InstanceId, call: Call) -> None:
        """Take in that an attempt was cancelled; that says nothing of the replica."""
        state = self._replicas.get(instance)
        if state is not None:
            state.remove_request(call)

    def find_copy_source(self, instance: InstanceId, call: Call) -> str | None:
        """Return from where a replica may copy prompt parts; ``None`` for nowhere."""
        return None

    @property
    def mean_backlog(self) -> float:
        """Seconds that the replicas have to read, on average."""
        return 0.0

    def has_any_capacity(self) -> bool:
        """Tell whether any replica has little left to do."""
        return True

    def estimate_pool_prefill_seconds(self, call: Call) -> float:
        """Return how long all replicas together need to read a request."""
        return 0.0

    def estimate_prefill_seconds(self, call: Call) -> float:
        """Return how long a replica reads what none has cached of a request."""
        return 0.0

    def has_capacity_for(self, call: Call) -> bool:
        """Tell whether the replica that a request would go to has little left to do."""
        return True

    def bypasses_queue(self, call: Call) -> bool:
        """Tell whether a request is sent at once, room or not."""
        return True

    @abstractmethod
    def _compute_cost(self, state: ReplicaState, call: Call, now: float) -> float:
        """Return the cost of a request at a replica; the lowest is chosen."""

    def _filter_candidates(
        self, call: Call, candidates: list[ReplicaState], now: float
    ) -> list[ReplicaState]:
        """Return those among which the cost decides."""
        return candidates

    def _count_prefill_tokens(self, state: ReplicaState, call: Call) -> int:
        """Return the prompt tokens that the replica will have to read."""
        return 0

    def _get_memory_tokens(self) -> int:
        engine = self._service.engine
        return 0 if engine is None else engine.memory_tokens

    def _estimate_other_requests(self, state: ReplicaState, now: float) -> float:
        """Estimate the requests of other gateways at a replica."""
        return state.estimate_other_requests(now)

    def _is_healthy(self, state: ReplicaState, call: Call, now: float) -> bool:
        """Tell whether nothing speaks against a replica just now."""
        if now < state.penalty_until:
            return False
        patience = max(MIN_STALL_SECONDS, STALL_TARGETS * call.route.target)
        return state.compute_stall_seconds(now) < patience


def tie_breaker(state: ReplicaState, call: Call) -> float:
    """Return a small figure by which equal replicas differ for each request."""
    return stable_hash(call.id, state.record.instance) / 2**64 * 0.01
