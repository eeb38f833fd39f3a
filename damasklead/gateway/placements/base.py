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
from damasklead.gateway.partplaces import PartPlaces
from damasklead.gateway.replicastate import ReplicaState
from damasklead.gateway.routing import Route, ServiceSpec
from damasklead.ids import DataCentre, InstanceId
from damasklead.util import stable_hash

__all__ = ["FAILURE_COST", "Placement", "tie_breaker"]

# A replica that has not said a word for so many targets is passed over.
SILENT_TARGETS = 3.0
# Shortest silence that counts, in seconds: a lost packet is sent again after 0.2 s.
SILENT_SECONDS = 0.5
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
        self._parts = PartPlaces(clock=clock)
        self._data_centre = data_centre
        self._replicas: dict[InstanceId, ReplicaState] = {}
        self._usable: dict[InstanceId, ReplicaState] = {}
        self._keys: frozenset[int] = frozenset()

    @property
    def service(self) -> ServiceSpec:
        """The service."""
        return self._service

    @property
    def coordinated(self) -> bool:
        """Whether coordinators choose among the service's replicas."""
        return self._service.engine is not None

    def record(self, instance: InstanceId) -> UpstreamRecord | None:
        """Return the entry of a replica that may take new work."""
        state = self._usable.get(instance)
        return None if state is None else state.record

    def has_address(self, address: str) -> bool:
        """Tell whether a replica that may take new work has an address."""
        return any(state.record.address == address for state in self._usable.values())

    def paused_replicas(self) -> frozenset[InstanceId]:
        """Return the replicas that want no request just now."""
        now = self._clock.now()
        return frozenset(
            item for item, state in self._usable.items() if state.paused_until > now
        )

    @property
    def usable(self) -> Collection[InstanceId]:
        """The replicas that may take new work."""
        return self._usable.keys()

    def retain(self, records: Iterable[UpstreamRecord]) -> None:
        """Take the replicas that may take new work from now on."""
        usable: dict[InstanceId, ReplicaState] = {}
        for record in records:
            state = self._replicas.get(record.instance)
            if state is None:
                state = ReplicaState(record=record, memory_tokens=self._memory())
                self._replicas[record.instance] = state
            elif state.take_record(record):
                self._parts.forget(record.instance)
            usable[record.instance] = state
        self._usable = usable
        self._keys = frozenset(state.key for state in usable.values())
        now = self._clock.now()
        for instance in [item for item in self._replicas if item not in usable]:
            state = self._replicas[instance]
            if not state.own and state.paused_until <= now:
                del self._replicas[instance]

    def configure(self, service: ServiceSpec, routes: Iterable[Route]) -> None:
        """Take the service's specification in force and the routes that lead to it."""
        self._service = service

    def choose(
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
            for item, state in self._usable.items()
            if item not in excluded and state.paused_until <= now
        ]
        if not candidates:
            return None
        sound = [item for item in candidates if self._is_sound(item, call, now)]
        best = min(
            self._preferred(call, sound or candidates, now),
            key=lambda state: self._cost(state, call, now),
        )
        return best.record

    def accepts(self, instance: InstanceId) -> bool:
        """Tell whether a replica may be sent a request at this instant."""
        state = self._usable.get(instance)
        return state is not None and state.paused_until <= self._clock.now()

    def pause_left(self) -> float | None:
        """
        Return the seconds until the first replica takes requests again, ``None`` when
        some replica does or there is none.
        """
        if not self._usable:
            return None
        first = min(state.paused_until for state in self._usable.values())
        left = first - self._clock.now()
        return left if left > 0 else None

    def paused(self, instance: InstanceId, seconds: float) -> float:
        """
        Take in that a replica wants no request for some seconds; returns the seconds
        that it gets.
        """
        state = self._replicas.get(instance)
        return 0.0 if state is None else state.pause(seconds, now=self._clock.now())

    def explain(self, instance: InstanceId, call: Call) -> dict[str, object]:
        """Return what is known of a chosen replica, for the log."""
        state = self._replicas[instance]
        now = self._clock.now()
        return {
            "tier": call.tier,
            "candidates": len(self._usable),
            "own": state.own,
            "others": round(self._others(state, now), 1),
            "hint_age": round(state.hint_age(now), 3),
            "unread": self._unread_tokens(state, call),
            "backlog": state.unread_tokens,
        }

    def sent(self, instance: InstanceId, call: Call) -> None:
        """Count a request that is being sent to a replica."""
        state = self._replicas.get(instance)
        if state is not None:
            for part in call.head.prompt[:-1]:
                self._parts.sent(part.key, part.tokens, instance)
            state.sent(
                call,
                unread_tokens=self._unread_tokens(state, call),
                now=self._clock.now(),
            )

    def heard(self, instance: InstanceId, hint: LoadHint | None) -> None:
        """Take in the head of an answer."""
        state = self._replicas.get(instance)
        if state is not None:
            state.heard(hint, now=self._clock.now())

    def progressed(self, instance: InstanceId, call: Call) -> None:
        """Take in an event of a request's stream."""
        state = self._replicas.get(instance)
        if state is not None:
            state.progressed(call, now=self._clock.now())

    def finished(self, instance: InstanceId, call: Call) -> None:
        """Take in that a request has its whole answer."""
        state = self._replicas.get(instance)
        if state is not None:
            state.ended(call)
            state.succeeded()

    def failed(self, instance: InstanceId, call: Call, failure: Failure) -> None:
        """Take in that an attempt ended without a whole answer."""
        state = self._replicas.get(instance)
        if state is not None:
            state.ended(call)
            state.failed(failure, now=self._clock.now())

    def withdrawn(self, instance: InstanceId, call: Call) -> None:
        """Take in that an attempt was cancelled; that says nothing of the replica."""
        state = self._replicas.get(instance)
        if state is not None:
            state.ended(call)

    def copy_source(self, instance: InstanceId, call: Call) -> str | None:
        """Return from where a replica may copy prompt parts; ``None`` for nowhere."""
        return None

    @property
    def mean_backlog(self) -> float:
        """Seconds that the replicas have to read, on average."""
        return 0.0

    def any_room(self) -> bool:
        """Tell whether any replica has little left to do."""
        return True

    def seconds_of(self, call: Call) -> float:
        """Return how long all replicas together need to read a request."""
        return 0.0

    def reading_of(self, call: Call) -> float:
        """Return how long a replica reads what none has cached of a request."""
        return 0.0

    def has_room(self, call: Call) -> bool:
        """Tell whether the replica that a request would go to has little left to do."""
        return True

    def is_urgent(self, call: Call) -> bool:
        """Tell whether a request is sent at once, room or not."""
        return True

    @abstractmethod
    def _cost(self, state: ReplicaState, call: Call, now: float) -> float:
        """Return the cost of a request at a replica; the lowest is chosen."""

    def _preferred(
        self, call: Call, candidates: list[ReplicaState], now: float
    ) -> list[ReplicaState]:
        """Return those among which the cost decides."""
        return candidates

    def _unread_tokens(self, state: ReplicaState, call: Call) -> int:
        """Return the prompt tokens that the replica will have to read."""
        return 0

    def _memory(self) -> int:
        engine = self._service.engine
        return 0 if engine is None else engine.memory_tokens

    def _others(self, state: ReplicaState, now: float) -> float:
        """Estimate the requests of other gateways at a replica."""
        return state.others(now)

    def _is_sound(self, state: ReplicaState, call: Call, now: float) -> bool:
        """Tell whether nothing speaks against a replica just now."""
        if now < state.avoid_until:
            return False
        patience = max(SILENT_SECONDS, SILENT_TARGETS * call.route.target)
        return state.silent_for(now) < patience


def tie_breaker(state: ReplicaState, call: Call) -> float:
    """Return a small figure by which equal replicas differ for each request."""
    return stable_hash(call.id, state.record.instance) / 2**64 * 0.01
