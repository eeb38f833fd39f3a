"""
Placement on engines
====================

Chooses among model engines by prefix cache hits and pending prefill, and reserves
engines for streams with a short event gap target.
"""

from collections.abc import Callable, Collection, Iterable

from damasklead.clock import Clock
from damasklead.failures import Failure
from damasklead.gateway.calls import Call, LoadHint, UpstreamRecord
from damasklead.gateway.part_locations import PartLocations
from damasklead.gateway.placements.base import FAILURE_COST, Placement, tie_breaker
from damasklead.gateway.placements.shared_parts import SharedParts
from damasklead.gateway.replica_pauses import ReplicaPauses
from damasklead.gateway.replica_state import ReplicaState, ServiceTime
from damasklead.gateway.routing import Route, ServiceSpec
from damasklead.gateway.stream_room import StreamRoom
from damasklead.ids import AttemptId, DataCentre, InstanceId
from damasklead.rejection_limits import SlotShare
from damasklead.util import stable_hash

__all__ = ["EnginePlacement"]

# Prefill rate of an engine in tokens per second.  It is only used to compare costs, for
# which the order of magnitude is enough.
PREFILL_TOKENS_PER_SECOND = 38_000.0
# Approximate seconds from the end of prefill to the first event of a stream, which is
# only used to compare observed times.
FIRST_EVENT_DECODE_SECONDS = 0.03
# Maximum prefill backlog of an engine with capacity, as a fraction of the shortest
# latency target of the requests that share the engines, so that these meet it.
BACKLOG_LIMIT_FRACTION = 0.5
# Weight of prefill against queueing delay: tokens that are prefilled a second time take
# capacity from all requests.
PREFILL_WEIGHT = 12.0
# Weight of the copy of a part from another engine, per second that its prefill would
# take.  The operators count a copy as a ninth of prefilling the part again.
COPY_WEIGHT = 4.0
# An engine is a hot spot if its prefill backlog exceeds the mean of all engines by this
# fraction of the request's target; beyond that, the shared parts are prefilled again on
# another engine.  When the backlog of all engines is long, a second prefill gains
# nothing, hence the comparison with the mean.
HOT_BACKLOG_FRACTION = 0.6
# Weight of the backlog beyond that limit.
HOT_WEIGHT = 40.0
# Time by which one running request delays another one, over the tokens of its stream.
RUNNING_REQUEST_SECONDS = 0.004
# Approximate time for which a request waits for a slot of a full engine.
FULL_ENGINE_SECONDS = 0.5
# Cost in seconds of sending a request to another data centre, and per byte of its body,
# since traffic between data centres is expensive.
REMOTE_CENTRE_SECONDS = 0.01
REMOTE_CENTRE_SECONDS_PER_BYTE = 0.000005
# Probability that the home replica of a part has it cached although this placement
# didn't send it there: a preceding coordinator of the cell may have.
HOME_CACHED_PROBABILITY = 0.1
# Maximum number of cached homes.  A choice looks the home up once per candidate; the
# cache is cleared when the replicas change.
MAX_HOMES = 10_000
# Fraction of the shortest event gap target for which an engine may prefill prompts
# between two events of a stream; the rest is left for the decoding steps, and for
# engines that are slower than others.
INTERLEAVED_PREFILL_FRACTION = 0.5
# Minimum fraction of the engines that is reserved for the streams with the shortest
# event gap target.
MIN_RESERVED_FRACTION = 0.22
# Maximum fraction of reserved engines: other requests must make progress too.
MAX_RESERVED_FRACTION = 0.6
# One engine more is reserved when the reserved ones use more than this fraction of
# their slots: above it, the prefill of the streams' own prompts slows down decoding so
# much that the slots run out.
RESERVED_GROW_LOAD = 0.45
# One engine fewer is reserved when the remaining ones would use less than this fraction
# of their slots.
RESERVED_SHRINK_LOAD = 0.2
# Minimum time since the last change before an engine is added or removed: new requests
# need about that long to spread over the engines.
RESERVED_GROW_SECONDS = 0.5
RESERVED_SHRINK_SECONDS = 3.0
# Engines are reserved if the second shortest event gap target is at least this many
# times the shortest one.
RESERVED_GAP_RATIO = 1.3


class EnginePlacement(Placement):
    """
    Prefers the engines that have the prompt's parts cached, unless others would start
    the request much earlier; streams with the shortest event gap target run on reserved
    engines.

    Load pattern: long prompts with shared parts, of which the memory of all engines
    holds one copy, beside long streams that miss their event gap target when engines
    prefill the prompts of other requests.
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
        super().__init__(
            service=service,
            clock=clock,
            data_centre=data_centre,
            get_request_rate=get_request_rate,
            get_slot_share=get_slot_share,
            pauses=pauses,
        )
        self._lowest_priority_tier = 0
        self._mean_backlog = 0.0
        self._shortest_target = 0.0
        self._reserved_event_gap: float | None = None
        self._reserved: frozenset[InstanceId] = frozenset()
        self._homes: dict[tuple[str, bool], InstanceId | None] = {}
        self._shared_parts_key: tuple[AttemptId, float] | None = None
        self._shared_parts: SharedParts | None = None
        self._choice_parts: SharedParts | None = None
        self._extra_reserved = 0
        self._interleaved_requests = 0
        self._room: StreamRoom | None = None
        # Where parts were prefilled; ``_part_locations`` has where they were sent.
        self._prefilled_parts = PartLocations(clock=clock)
        self._resized_at = clock.now()

    @property
    def reserved_instances(self) -> frozenset[InstanceId]:
        """Engines reserved for the streams with the shortest event gap target."""
        return self._reserved

    @property
    def is_shared_by_tiers(self) -> bool:
        """
        Whether room is made for streams that are more urgent than others.

        It is where replicas share their machines, and so state their speed: there the
        time between two events changes faster than engines can be reserved.
        """
        return self._room is not None and self._speeds.is_active

    @property
    def interleaved_requests(self) -> int:
        """Number of requests sent to engines that are reserved for more urgent ones."""
        return self._interleaved_requests

    @property
    def mean_backlog(self) -> float:
        """Seconds of pending prefill per engine, on average."""
        backlogs = [
            self._compute_backlog_seconds(state)
            for state in self._eligible_replicas.values()
        ]
        return sum(backlogs) / len(backlogs) if backlogs else 0.0

    def configure(self, service: ServiceSpec, routes: Iterable[Route]) -> None:
        """Apply a configuration and determine which streams get reserved engines."""
        routes = list(routes)
        super().configure(service, routes)
        gaps = sorted({route.event_gap for route in routes if route.event_gap})
        is_distinct = len(gaps) > 1 and gaps[1] >= RESERVED_GAP_RATIO * gaps[0]
        self._reserved_event_gap = gaps[0] if is_distinct else None
        self._lowest_priority_tier = max((item.tier for item in routes), default=0)
        self._shortest_target = min(
            (item.target for item in routes if not self._uses_reserved_engines(item)),
            default=0.0,
        )
        self._configure_room(routes)
        self._select_reserved_engines()

    def _configure_room(self, routes: list[Route]) -> None:
        """
        Make room for the streams with the shortest event gap target if others, of less
        urgent tiers, share the service with them.
        """
        gap = self._reserved_event_gap
        urgent = [item.tier for item in routes if self._uses_reserved_engines(item)]
        others = [
            item.tier
            for item in routes
            if item.event_gap and not self._uses_reserved_engines(item)
        ]
        if gap is None or not urgent or not others or max(urgent) >= min(others):
            self._room = None
        elif self._room is None or self._room.event_gap != gap:
            self._room = StreamRoom(clock=self._clock, event_gap=gap)

    def record_sent(self, instance: InstanceId, call: Call) -> None:
        """Record that a request is being sent to an engine."""
        state = self._replicas.get(instance)
        if not self._uses_reserved_engines(call.route):
            self._interleaved_requests += instance in self._reserved
        elif state is not None and self._room is not None:
            tokens = self._estimate_prefill_tokens(state, call)
            self._room.record_urgent(tokens / PREFILL_TOKENS_PER_SECOND)
        super().record_sent(instance, call)

    def record_stream_event(self, instance: InstanceId, call: Call) -> None:
        """Record an event of a request's stream, whose prompt is prefilled."""
        state = self._replicas.get(instance)
        is_first = state is not None and state.awaits_first_event(call)
        super().record_stream_event(instance, call)
        if self._room is not None and is_first:
            for part in call.head.shared_parts:
                self._prefilled_parts.record_sent(part.key, part.tokens, instance)

    def record_failure(
        self, instance: InstanceId, call: Call, failure: Failure
    ) -> None:
        """Record a failed attempt; after a crash nothing is cached any more."""
        super().record_failure(instance, call, failure)
        if failure in (Failure.BROKEN, Failure.NOT_SENT):
            self._prefilled_parts.remove_replica(instance)

    def update_replicas(self, records: Iterable[UpstreamRecord]) -> None:
        """Replace the eligible replicas and select the reserved engines anew."""
        super().update_replicas(records)
        self._select_reserved_engines()

    def choose_replica(
        self, call: Call, *, excluded: Collection[InstanceId] = ()
    ) -> UpstreamRecord | None:
        """Return the engine for a request, or ``None`` when there is none."""
        # The state doesn't change during a choice, though the clock advances, so the
        # locations of the parts are looked up once and not for each candidate.
        self._choice_parts = self._locate_shared_parts(call)
        try:
            return super().choose_replica(call, excluded=excluded)
        finally:
            self._choice_parts = None

    def find_copy_source(self, instance: InstanceId, call: Call) -> str | None:
        """
        Return the address of the engine that has cached most of a prompt's shared
        parts; ``None`` when the chosen engine has cached as much.
        """
        shared = self._locate_shared_parts(call)
        state = self._replicas[instance]
        if (
            shared.holder is not None
            and shared.max_cached_tokens > shared.count_cached_tokens(state)
        ):
            return shared.holder.record.address
        return None

    def has_capacity_for(self, call: Call) -> bool:
        """Return whether the engine chosen for a request has capacity."""
        states = [
            state
            for state in self._eligible_replicas.values()
            if call.accepts_version(state.record.version)
        ]
        available = {
            state.record.instance
            for state in self._filter_candidates(call, states, self._clock.now())
            if self._has_capacity(state)
        }
        if not available:
            return not states
        # An engine without capacity can have a lower cost only if it has the parts
        # cached.
        skipped = {
            item
            for item, state in self._eligible_replicas.items()
            if item not in available and not self._may_cache_shared_parts(state, call)
        }
        record = self.choose_replica(call, excluded=skipped)
        return record is None or record.instance in available

    def has_any_capacity(self) -> bool:
        """Return whether any engine has capacity."""
        return not self._eligible_replicas or any(
            map(self._has_capacity, self._eligible_replicas.values())
        )

    def estimate_pool_prefill_seconds(self, call: Call) -> float:
        """
        Return the seconds that all engines that are not reserved need together to
        prefill a request, under the assumption that its shared parts are cached.
        """
        engines = max(1.0, self._compute_pool_speed())
        parts = call.head.prompt
        tokens = parts[-1].tokens if parts else call.head.prompt_tokens
        return tokens / (engines * PREFILL_TOKENS_PER_SECOND)

    def _compute_pool_speed(self) -> float:
        """Return the speed of all engines that are not reserved; 1 for a normal one."""
        if not self._speeds.is_active:
            return float(len(self._eligible_replicas) - len(self._reserved))
        return sum(
            1 / self._get_slowdown(state)
            for item, state in self._eligible_replicas.items()
            if item not in self._reserved
        )

    def estimate_prefill_seconds(self, call: Call) -> float:
        """
        Return the seconds that one engine needs to prefill the part of a request that
        no engine has cached.
        """
        cached = tokens = 0
        for part in call.head.prompt[:-1]:
            tokens += part.tokens
            if not self._eligible_keys.isdisjoint(
                self._part_locations.find_replicas(part.key)
            ):
                cached = tokens
        return (call.head.prompt_tokens - cached) / PREFILL_TOKENS_PER_SECOND

    def _may_cache_shared_parts(self, state: ReplicaState, call: Call) -> bool:
        """Return whether an engine may have cached all shared parts of a prompt."""
        parts = call.head.prompt[:-1]
        if not parts:
            return False
        last = parts[-1].key
        cached = (
            last in state.cached_parts
            or state.key in self._part_locations.find_replicas(last)
        )
        return cached or self._find_home(last, call) == state.record.instance

    def _has_capacity(self, state: ReplicaState) -> bool:
        """
        Return whether an engine has a short prefill backlog and a free slot, and is
        below its limits.
        """
        if self._is_rate_limited(state, self._clock.now()):
            return False
        is_short = (
            self._compute_backlog_seconds(state)
            <= BACKLOG_LIMIT_FRACTION * self._shortest_target
        )
        return is_short and not self._is_full(state)

    def _is_full(self, state: ReplicaState) -> bool:
        engine = self._service.engine
        return engine is not None and state.own_requests >= engine.slots

    def bypasses_queue(self, call: Call) -> bool:
        """
        Return whether a request is sent at once.

        All requests are but those of the routes with the least urgent tier, whatever
        the tier of their workspace, so that they don't starve behind long prompts.
        While all engines are brittle and without room, none is.
        """
        if not self._has_room_for(call):
            return False
        uses_reserved = bool(self._reserved) and self._uses_reserved_engines(call.route)
        return uses_reserved or call.route.tier < self._lowest_priority_tier

    def _has_room_for(self, call: Call) -> bool:
        """Return whether some engine isn't brittle or has room for a request."""
        now = self._clock.now()
        return not self._eligible_replicas or any(
            self._has_room(state, now)
            for state in self._eligible_replicas.values()
            if call.accepts_version(state.record.version)
        )

    def record_response_head(self, instance: InstanceId, hint: LoadHint | None) -> None:
        """Record a response head, and adapt the reserved engines to their load."""
        super().record_response_head(instance, hint)
        if instance in self._reserved:
            self._resize_reservation()

    def _uses_reserved_engines(self, route: Route) -> bool:
        """Return whether a route's streams run on reserved engines."""
        return (
            self._reserved_event_gap is not None
            and route.event_gap == self._reserved_event_gap
        )

    def _compute_backlog_seconds(self, state: ReplicaState) -> float:
        """Return the seconds that an engine needs for its pending prefill."""
        return (
            state.pending_prefill_tokens
            * self._get_slowdown(state)
            / PREFILL_TOKENS_PER_SECOND
        )

    def _record_service_time(self, state: ReplicaState, time: ServiceTime) -> None:
        instance = state.record.instance
        if time.is_first:
            work = time.work_tokens / PREFILL_TOKENS_PER_SECOND
            self._speeds.record_service_time(
                instance,
                "first event",
                observed=time.seconds,
                expected=work + FIRST_EVENT_DECODE_SECONDS,
            )
        else:
            # Reserved engines prefill less between events than others.
            self._speeds.record_service_time(
                instance,
                ("event gap", instance in self._reserved),
                observed=time.seconds,
                expected=1.0,
            )

    def _resize_reservation(self) -> None:
        """Reserve one engine more or one fewer, according to their load."""
        engine = self._service.engine
        if engine is None:
            return
        now = self._clock.now()
        elapsed = now - self._resized_at
        slots = float(engine.slots * len(self._reserved))
        states = [self._replicas[item] for item in self._reserved]
        load = sum(
            state.own_requests + self._estimate_other_requests(state, now)
            for state in states
        )
        if load > RESERVED_GROW_LOAD * slots and elapsed >= RESERVED_GROW_SECONDS:
            limit = int(MAX_RESERVED_FRACTION * len(self._eligible_replicas))
            if len(self._reserved) < limit:
                self._change_extra_reserved(1)
            return
        idle = load < RESERVED_SHRINK_LOAD * (slots - engine.slots)
        if self._extra_reserved and idle and elapsed >= RESERVED_SHRINK_SECONDS:
            self._change_extra_reserved(-1)

    def _change_extra_reserved(self, change: int) -> None:
        self._extra_reserved += change
        self._resized_at = self._clock.now()
        self._select_reserved_engines()

    def _select_reserved_engines(self) -> None:
        self._homes.clear()
        base = max(1, int(MIN_RESERVED_FRACTION * len(self._eligible_replicas) + 0.5))
        count = base + self._extra_reserved
        if self._reserved_event_gap is None or len(self._eligible_replicas) <= count:
            self._reserved = frozenset()
            return
        ranked = sorted(
            self._eligible_replicas,
            key=lambda item: stable_hash(self._service.name, item),
        )
        self._reserved = frozenset(ranked[:count])

    def _filter_candidates(
        self, call: Call, candidates: list[ReplicaState], now: float
    ) -> list[ReplicaState]:
        self._mean_backlog = self.mean_backlog
        if not self._reserved:
            return candidates
        uses_reserved = self._uses_reserved_engines(call.route)
        matching = [
            state
            for state in candidates
            if (state.record.instance in self._reserved) is uses_reserved
            or (not uses_reserved and self._fits_between_events(state, call))
        ]
        return matching or candidates

    def _fits_between_events(self, state: ReplicaState, call: Call) -> bool:
        """
        Return whether a reserved engine can prefill a prompt within the event gap
        target of its streams.
        """
        slowdown = self._get_slowdown(state)
        if self.is_shared_by_tiers:
            room = self._compute_room(state)
            if room <= 0:
                return False
            tokens = self._estimate_max_prefill_tokens(state, call)
            return tokens / PREFILL_TOKENS_PER_SECOND * slowdown <= room
        gap = self._reserved_event_gap or 0.0
        prefill = self._estimate_prefill_tokens(state, call) / PREFILL_TOKENS_PER_SECOND
        prefill *= slowdown
        return (
            self._compute_backlog_seconds(state) + prefill
            <= INTERLEAVED_PREFILL_FRACTION * gap
        )

    def _estimate_max_prefill_tokens(self, state: ReplicaState, call: Call) -> int:
        """
        Return the prompt tokens that an engine may have to prefill.

        Only parts that were prefilled at it or at the engine from which they are copied
        count as cached, not those that were sent there a moment ago.
        """
        cached = 0
        holder = self._locate_shared_parts(call).holder
        for source in (state, holder or state):
            tokens = 0
            for part in call.head.shared_parts:
                tokens += part.tokens
                if (
                    part.key in source.cached_parts
                    and source.key in self._prefilled_parts.find_replicas(part.key)
                ):
                    cached = max(cached, tokens)
        return call.head.prompt_tokens - cached

    def _forget_replica(self, instance: InstanceId) -> None:
        super()._forget_replica(instance)
        self._prefilled_parts.remove_replica(instance)

    def _compute_room(self, state: ReplicaState) -> float:
        """Return the seconds of prefill that fit between the events of its streams."""
        assert self._room is not None
        return self._room.compute_room(
            pending_seconds=self._compute_backlog_seconds(state),
            slowdown=self._get_slowdown(state),
            engine_count=len(self._reserved),
        )

    def _count_prefill_tokens(self, state: ReplicaState, call: Call) -> int:
        return int(self._estimate_prefill_tokens(state, call))

    def _estimate_prefill_tokens(self, state: ReplicaState, call: Call) -> float:
        """
        Estimate the prompt tokens that are neither cached nor copied.

        A part counts as cached only if all parts before it are.
        """
        total = call.head.prompt_tokens
        parts = call.head.prompt[:-1]
        if not parts:
            return total
        shared = self._locate_shared_parts(call)
        cached = float(shared.max_cached_tokens)
        if (
            not shared.is_fully_cached
            and self._find_home(parts[-1].key, call) == state.record.instance
        ):
            cached = max(cached, HOME_CACHED_PROBABILITY * shared.total_tokens)
        return max(0.0, total - cached)

    def _count_copied_tokens(self, state: ReplicaState, call: Call) -> int:
        """Return the number of tokens that would be copied from another engine."""
        shared = self._locate_shared_parts(call)
        return max(0, shared.max_cached_tokens - shared.count_cached_tokens(state))

    def _locate_shared_parts(self, call: Call) -> SharedParts:
        """Return the locations of a prompt's shared parts at this time."""
        if self._choice_parts is not None:
            return self._choice_parts
        key = (call.id, self._clock.now())
        if self._shared_parts_key != key or self._shared_parts is None:
            self._shared_parts_key = key
            self._shared_parts = SharedParts(
                parts=call.head.prompt[:-1],
                locations=self._part_locations,
                replicas=self._eligible_replicas.values(),
            )
        return self._shared_parts

    def _find_home(self, key: str, call: Call) -> InstanceId | None:
        """
        Return the home of a part, which is used when no replica is known to have it.

        It is chosen by rendezvous hashing: all coordinators of a cell choose the same
        replica, so that a part placed by one coordinator is found by its successor.
        """
        uses_reserved = self._uses_reserved_engines(call.route)
        if (key, uses_reserved) not in self._homes:
            if len(self._homes) >= MAX_HOMES:
                self._homes.clear()
            self._homes[key, uses_reserved] = max(
                self._find_home_candidates(reserved=uses_reserved),
                key=lambda item: stable_hash(key, item),
                default=None,
            )
        return self._homes[key, uses_reserved]

    def _find_home_candidates(self, *, reserved: bool) -> list[InstanceId]:
        """
        Return the replicas among which a home is chosen.

        They are those of this data centre, unless it has none in the group.
        """
        group = [
            item
            for item in self._eligible_replicas
            if (item in self._reserved) is reserved
        ] or list(self._eligible_replicas)
        return [
            item
            for item in group
            if self._eligible_replicas[item].record.data_centre == self._data_centre
        ] or group

    def _compute_cost(self, state: ReplicaState, call: Call, now: float) -> float:
        prefill_tokens = self._estimate_prefill_tokens(state, call)
        prefill = prefill_tokens / PREFILL_TOKENS_PER_SECOND
        backlog = self._compute_backlog_seconds(state)
        slowdown = self._get_slowdown(state)
        cost = PREFILL_WEIGHT * prefill + backlog
        # The weight is for the capacity that prefill takes, the rest for its duration.
        cost += (slowdown - 1.0) * prefill
        cost += (
            COPY_WEIGHT
            * self._count_copied_tokens(state, call)
            / PREFILL_TOKENS_PER_SECOND
        )
        excess = backlog - self._mean_backlog - HOT_BACKLOG_FRACTION * call.route.target
        cost += HOT_WEIGHT * max(0.0, excess)
        running = state.own_requests + self._estimate_other_requests(state, now)
        cost += RUNNING_REQUEST_SECONDS * slowdown * running
        if state.record.data_centre != self._data_centre:
            cost += REMOTE_CENTRE_SECONDS
            cost += REMOTE_CENTRE_SECONDS_PER_BYTE * len(call.body)
        cost += FAILURE_COST * RUNNING_REQUEST_SECONDS * state.failure_rate
        cost += FULL_ENGINE_SECONDS if self._is_full(state) else 0.0
        return cost + RUNNING_REQUEST_SECONDS * tie_breaker(state, call)
