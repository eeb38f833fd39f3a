"""
Base of placements
==================

Base class of the placement policies, which choose the replica for a request.

No I/O: the inputs are records of events and the time, the output is the chosen replica.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Collection, Iterable

from damasklead.clock import Clock
from damasklead.failures import Failure
from damasklead.gateway.calls import Call, LoadHint, UpstreamRecord
from damasklead.gateway.part_locations import PartLocations
from damasklead.gateway.replica_pauses import ReplicaPauses
from damasklead.gateway.replica_speeds import ReplicaSpeeds
from damasklead.gateway.replica_state import ReplicaState, ServiceTime
from damasklead.gateway.routing import Route, ServiceSpec
from damasklead.ids import DataCentre, InstanceId
from damasklead.rate_limits import OWNER_INTERVAL_SECONDS
from damasklead.rejection_limits import SlotShare
from damasklead.util import stable_hash

__all__ = ["FAILURE_COST", "Placement", "tie_breaker"]

# A replica is unhealthy after a stall of this many multiples of the request's target.
STALL_TARGETS = 3.0
# Minimum of that time: TCP retransmits a lost packet after 0.2 s, which is no stall.
MIN_STALL_SECONDS = 0.5
# Upper bound of the slowdown by which a stall may be longer: a replica that takes more
# time is of no use to the callers that wait for it.
MAX_STALL_SLOWDOWN = 10.0
# A response that times out is no failure of a replica that is this much slower than
# usual: machines that do other work are about 2.5 times slower.
SLOW_REPLICA_SLOWDOWN = 1.5
# Retry time when the limits of all replicas leave this gateway no request: the interval
# at which each owner of a limited replica may send one.
NO_ALLOWANCE_SECONDS = OWNER_INTERVAL_SECONDS
# Cost of a failure rate of 1, in units of the cost of one active request.
FAILURE_COST = 6.0


class Placement(ABC):
    """
    Chooses among the replicas of one service, from the state that is known here.

    Each gateway has a placement of its own, and so has each coordinator of a cell.

    Parameters
    ----------
    service : ServiceSpec
    clock : Clock
    data_centre : DataCentre
        Data centre whose replicas are preferred.
    get_request_rate : callable
        Returns the requests per second that this placement may send to a replica,
        ``None`` when they are not limited.
    get_slot_share : callable
        Returns what this placement may use of a replica, ``None`` if it isn't brittle.
    pauses : ReplicaPauses or None
        The pauses that replicas asked this gateway for; by default those of this
        placement only.
    """

    def __init__(
        self,
        *,
        service: ServiceSpec,
        clock: Clock,
        data_centre: DataCentre,
        get_request_rate: Callable[[UpstreamRecord], float | None] = lambda _: None,
        get_slot_share: Callable[[UpstreamRecord], SlotShare | None] = lambda _: None,
        pauses: ReplicaPauses | None = None,
    ) -> None:
        self._pauses = ReplicaPauses(clock=clock) if pauses is None else pauses
        self._get_slot_share = get_slot_share
        self._get_request_rate = get_request_rate
        self._service = service
        self._clock = clock
        self._part_locations = PartLocations(clock=clock)
        self._speeds = ReplicaSpeeds(clock=clock)
        self._data_centre = data_centre
        self._replicas: dict[InstanceId, ReplicaState] = {}
        self._eligible_replicas: dict[InstanceId, ReplicaState] = {}
        self._eligible_keys: frozenset[int] = frozenset()
        self._sent_prefill_tokens = 0

    @property
    def sent_prefill_tokens(self) -> int:
        """Prompt tokens of all requests sent that replicas had to prefill."""
        return self._sent_prefill_tokens

    @property
    def service(self) -> ServiceSpec:
        """Specification of the service in the configuration in force."""
        return self._service

    @property
    def max_slowdown(self) -> float:
        """How much longer work takes at the slowest replica than usual; at least 1."""
        slowdowns = map(self._get_slowdown, self._eligible_replicas.values())
        return max(1.0, max(slowdowns, default=1.0))

    @property
    def is_coordinated(self) -> bool:
        """Whether coordinators choose among the service's replicas."""
        return self._service.engine is not None

    def get_record(self, instance: InstanceId) -> UpstreamRecord | None:
        """Return the list's entry of an eligible replica; ``None`` for others."""
        state = self._eligible_replicas.get(instance)
        return None if state is None else state.record

    def has_address(self, address: str) -> bool:
        """Return whether an eligible replica has this address."""
        return any(
            state.record.address == address
            for state in self._eligible_replicas.values()
        )

    def find_paused_replicas(self) -> frozenset[InstanceId]:
        """Return the eligible replicas that have asked for a pause in requests."""
        now = self._clock.now()
        return frozenset(
            item
            for item, state in self._eligible_replicas.items()
            if state.paused_until > now
        )

    @property
    def eligible_instances(self) -> Collection[InstanceId]:
        """The eligible replicas: those that may be sent new requests."""
        return self._eligible_replicas.keys()

    def update_replicas(self, records: Iterable[UpstreamRecord]) -> None:
        """
        Replace the eligible replicas.

        The state of a replica that is no longer eligible is kept while it has requests
        of this gateway, so that they still count if it is listed again.
        """
        eligible: dict[InstanceId, ReplicaState] = {}
        for record in records:
            state = self._replicas.get(record.instance)
            if state is None:
                state = ReplicaState(
                    record=record, memory_tokens=self._get_memory_tokens()
                )
                state.paused_until = self._pauses.get_end(record)
                self._replicas[record.instance] = state
            elif state.update_record(record):
                state.paused_until = self._pauses.get_end(record)
                self._forget_replica(record.instance)
            eligible[record.instance] = state
        self._eligible_replicas = eligible
        self._eligible_keys = frozenset(state.key for state in eligible.values())
        for instance in [item for item in self._replicas if item not in eligible]:
            if not self._replicas[instance].own_requests:
                del self._replicas[instance]
        self._speeds.retain_replicas(self._replicas.keys())

    def configure(self, service: ServiceSpec, routes: Iterable[Route]) -> None:
        """
        Apply a configuration.

        Parameters
        ----------
        service : ServiceSpec
        routes : iterable of Route
            The routes that send requests to the service.
        """
        self._service = service

    def choose_replica(
        self, call: Call, *, excluded: Collection[InstanceId] = ()
    ) -> UpstreamRecord | None:
        """
        Return the replica for a request.

        Parameters
        ----------
        excluded : collection of InstanceId
            Replicas that are not chosen, for example those on which the request failed.

        Returns
        -------
        UpstreamRecord or None
            The replica with the lowest cost, healthy ones first; ``None`` when all
            eligible replicas are excluded, paused, at their rate limit or brittle and
            without room.
        """
        now = self._clock.now()
        candidates = [
            state
            for item, state in self._eligible_replicas.items()
            if item not in excluded
            and call.accepts_version(state.record.version)
            and self._get_available_at(state, now) <= now
        ]
        if not candidates:
            return None
        healthy = [item for item in candidates if self._is_healthy(item, call, now)]
        best = min(
            self._filter_candidates(call, healthy or candidates, now),
            key=lambda state: self._compute_cost(state, call, now),
        )
        return best.record

    def accepts_requests(self, instance: InstanceId, *, is_assigned: bool) -> bool:
        """
        Return whether a replica is eligible and may be sent a request now.

        Parameters
        ----------
        is_assigned : bool
            Whether a coordinator, which applies the rate limit itself, has assigned the
            request.
        """
        state = self._eligible_replicas.get(instance)
        if state is None:
            return False
        now = self._clock.now()
        if is_assigned:
            return state.paused_until <= now
        return self._get_available_at(state, now) <= now

    def get_remaining_pause(self) -> float | None:
        """
        Return the seconds until the first replica accepts a request again.

        ``None`` when some replica is neither paused nor at its rate limit nor without
        room, or when there is no eligible replica.
        """
        if not self._eligible_replicas:
            return None
        now = self._clock.now()
        first_end = min(
            self._get_available_at(state, now)
            for state in self._eligible_replicas.values()
        )
        return first_end - now if first_end > now else None

    def pause_replica(self, record: UpstreamRecord, seconds: float) -> float:
        """
        Pause requests to a replica for the seconds that it asked for.

        Parameters
        ----------
        record : UpstreamRecord
            The replica, in the start that the request was sent to.
        seconds : float

        Returns
        -------
        float
            Seconds until the pause ends; 0 if there is none.
        """
        end = self._pauses.record(record, seconds)
        state = self._replicas.get(record.instance)
        if state is not None and state.record.incarnation == record.incarnation:
            state.paused_until = end
        return max(end - self._clock.now(), 0.0)

    def explain_choice(self, instance: InstanceId, call: Call) -> dict[str, object]:
        """
        Return the known state of a chosen replica as fields of a log line.

        ``unread`` are the tokens of the request to prefill, ``backlog`` those of this
        gateway's other requests there.
        """
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
            **self._explain_speed(state),
        }

    def record_sent(self, instance: InstanceId, call: Call) -> None:
        """Record that a request is being sent to a replica."""
        state = self._replicas.get(instance)
        if state is not None:
            for part in call.head.prompt[:-1]:
                self._part_locations.record_sent(part.key, part.tokens, instance)
            prefill_tokens = self._count_prefill_tokens(state, call)
            self._sent_prefill_tokens += prefill_tokens
            state.record_sent(
                call, prefill_tokens=prefill_tokens, now=self._clock.now()
            )

    def record_running(self, instance: InstanceId, call: Call) -> None:
        """Record a request that was sent to a replica some time ago."""
        state = self._replicas.get(instance)
        if state is not None:
            state.record_sent(
                call,
                prefill_tokens=self._count_prefill_tokens(state, call),
                now=self._clock.now(),
                is_timed=False,
            )

    def record_response_head(self, instance: InstanceId, hint: LoadHint | None) -> None:
        """Record a response head of a replica and the load that it reports, if any."""
        state = self._replicas.get(instance)
        if state is not None:
            state.record_response_head(hint, now=self._clock.now())
            if hint is not None and hint.slowdown is not None:
                self._speeds.record_stated(instance, hint.slowdown)

    def record_stream_event(self, instance: InstanceId, call: Call) -> None:
        """Record an event of a request's stream."""
        state = self._replicas.get(instance)
        if state is not None:
            time = state.record_stream_event(call, now=self._clock.now())
            if time is not None:
                self._record_service_time(state, time)

    def record_success(self, instance: InstanceId, call: Call) -> None:
        """Record that a request received its complete response."""
        state = self._replicas.get(instance)
        if state is not None:
            state.remove_request(call)
            state.record_success()

    def record_failure(
        self, instance: InstanceId, call: Call, failure: Failure
    ) -> None:
        """Record that an attempt ended without a complete response."""
        state = self._replicas.get(instance)
        if state is not None:
            was_sent = state.remove_request(call)
            self._record_room(state, failure, was_sent=was_sent)
            if (
                failure is Failure.TIMED_OUT
                and self._get_slowdown(state) >= SLOW_REPLICA_SLOWDOWN
            ):
                failure = Failure.REFUSED
            state.record_failure(failure, now=self._clock.now())

    def record_cancellation(self, instance: InstanceId, call: Call) -> None:
        """Record that an attempt was cancelled, which is no failure of the replica."""
        state = self._replicas.get(instance)
        if state is not None and state.remove_request(call):
            state.record_abandoned(now=self._clock.now())

    def find_copy_source(self, instance: InstanceId, call: Call) -> str | None:
        """
        Return the address of a replica whose cached prompt parts can be copied.

        ``None`` when the chosen replica has them or no other replica does.
        """
        return None

    @property
    def mean_backlog(self) -> float:
        """Seconds of pending prefill per replica, on average."""
        return 0.0

    @property
    def is_shared_by_tiers(self) -> bool:
        """Whether streams of different tiers with event gap targets use the service."""
        return False

    @property
    def interleaved_requests(self) -> int:
        """Number of requests sent to replicas reserved for more urgent ones."""
        return 0

    def has_any_capacity(self) -> bool:
        """Return whether any replica can start a further request soon."""
        return True

    def estimate_pool_prefill_seconds(self, call: Call) -> float:
        """
        Return the seconds that all replicas together need to prefill a request.
        """
        return 0.0

    def estimate_prefill_seconds(self, call: Call) -> float:
        """
        Return the seconds that one replica needs to prefill the part of a request that
        no replica has cached.
        """
        return 0.0

    def has_capacity_for(self, call: Call) -> bool:
        """Return whether the replica chosen for a request can start it soon."""
        return True

    def bypasses_queue(self, call: Call) -> bool:
        """Return whether a request is sent at once, whatever the capacity."""
        return True

    @abstractmethod
    def _compute_cost(self, state: ReplicaState, call: Call, now: float) -> float:
        """
        Return the cost of a request at a replica; the lowest cost is chosen.

        The unit is that of the subclass: active requests or seconds.
        """

    def _filter_candidates(
        self, call: Call, candidates: list[ReplicaState], now: float
    ) -> list[ReplicaState]:
        """Return the candidates that are compared by cost."""
        return candidates

    def _count_prefill_tokens(self, state: ReplicaState, call: Call) -> int:
        """Return the prompt tokens that a replica has to prefill for a request."""
        return 0

    def _forget_replica(self, instance: InstanceId) -> None:
        """Forget what is known of a replica that has restarted."""
        self._part_locations.remove_replica(instance)
        self._speeds.remove_replica(instance)

    def _get_slowdown(self, state: ReplicaState) -> float:
        """Return how much longer work takes at a replica than usual; 1 is normal."""
        return self._speeds.get_slowdown(state.record.instance)

    def _record_service_time(self, state: ReplicaState, time: ServiceTime) -> None:
        """Record how long an event of a stream took at a replica."""
        self._speeds.record_service_time(
            state.record.instance,
            "first event" if time.is_first else "event gap",
            observed=time.seconds,
            expected=1.0,
        )

    def _explain_speed(self, state: ReplicaState) -> dict[str, object]:
        if not self._speeds.is_active:
            return {}
        return {"slowdown": round(self._get_slowdown(state), 2)}

    def _get_memory_tokens(self) -> int:
        engine = self._service.engine
        return 0 if engine is None else engine.memory_tokens

    def _estimate_other_requests(self, state: ReplicaState, now: float) -> float:
        """Estimate the number of other gateways' requests at a replica."""
        return state.estimate_other_requests(now)

    def _is_rate_limited(self, state: ReplicaState, now: float) -> bool:
        """Return whether a replica's limits rule out a request now."""
        if not self._has_room(state, now):
            return True
        rate = self._get_request_rate(state.record)
        return rate is not None and (not rate or now < state.last_sent_at + 1 / rate)

    def _has_room(self, state: ReplicaState, now: float) -> bool:
        """Return whether a replica isn't brittle or has room for a request."""
        share = self._get_slot_share(state.record)
        return share is None or state.get_room_at(share, now=now) <= now

    def _record_room(
        self, state: ReplicaState, failure: Failure, *, was_sent: bool
    ) -> None:
        """Record what a failed attempt says about the room at a replica."""
        now = self._clock.now()
        if failure in (Failure.REFUSED, Failure.PAUSED):
            share = self._get_slot_share(state.record)
            if share is not None:
                state.record_rejection(share, now=now)
        elif was_sent and failure is Failure.TIMED_OUT:
            state.record_abandoned(now=now)

    def _get_available_at(self, state: ReplicaState, now: float) -> float:
        """Return the clock time from which a replica may be sent the next request."""
        available_at = state.paused_until
        share = self._get_slot_share(state.record)
        if share is not None:
            available_at = max(available_at, state.get_room_at(share, now=now))
        rate = self._get_request_rate(state.record)
        if rate is None:
            return available_at
        allowed_at = (
            state.last_sent_at + 1 / rate if rate else now + NO_ALLOWANCE_SECONDS
        )
        return max(available_at, allowed_at)

    def _is_healthy(self, state: ReplicaState, call: Call, now: float) -> bool:
        """Return whether a replica has neither a penalty nor a stalled request."""
        if now < state.penalty_until:
            return False
        max_stall = max(MIN_STALL_SECONDS, STALL_TARGETS * call.route.target)
        max_stall *= min(max(1.0, self._get_slowdown(state)), MAX_STALL_SLOWDOWN)
        return state.compute_stall_seconds(now) < max_stall


def tie_breaker(state: ReplicaState, call: Call) -> float:
    """
    Return a cost below 0.01 that differs by request and replica.

    Replicas of equal cost thus receive about the same number of requests.
    """
    return stable_hash(call.id, state.record.instance) / 2**64 * 0.01
