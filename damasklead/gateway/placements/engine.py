"""
Placement on engines
====================

Chooses among model engines: cached prompt parts, what is still to be read, and engines
kept apart for streams with a short allowed pause.
"""

from collections.abc import Collection, Iterable

from damasklead.clock import Clock
from damasklead.gateway.calls import Call, LoadHint, UpstreamRecord
from damasklead.gateway.placements.base import FAILURE_COST, Placement, tie_breaker
from damasklead.gateway.placements.prefixes import SharedParts
from damasklead.gateway.replicastate import ReplicaState
from damasklead.gateway.routing import Route, ServiceSpec
from damasklead.ids import AttemptId, DataCentre, InstanceId
from damasklead.util import stable_hash

__all__ = ["EnginePlacement"]

# Prompt tokens that an engine reads in a second, to compare costs; the order of
# magnitude is enough.
PREFILL_TOKENS_PER_SECOND = 38_000.0
# A request that can wait is sent when its engine can read what it has in this part of
# the shortest target of the requests that share the engines, so that these are in time.
BACKLOG_LIMIT_SHARE = 0.5
# Weight of reading against waiting: what is read twice is taken from everybody.
PREFILL_WEIGHT = 12.0
# Weight of copying a part from another engine: a ninth of reading it again, what the
# operators count for both.
COPY_WEIGHT = 4.0
# An engine that has more to read than the others by this part of a request's target
# holds a hot subject, which is then read again elsewhere.  When all have much to read,
# reading again helps nobody.
HOT_BACKLOG_SHARE = 0.6
HOT_WEIGHT = 40.0
# Time that one running request adds to each of another one's tokens, over its stream.
RUNNING_REQUEST_SECONDS = 0.004
# About how long a request waits for a slot of an engine that has none left.
FULL_ENGINE_SECONDS = 0.5
# Cost in seconds of leaving the data centre, and for each byte of a prompt, since bytes
# between data centres are dear.
REMOTE_CENTRE_SECONDS = 0.01
REMOTE_CENTRE_SECONDS_PER_BYTE = 0.000005
# Probability that a part is cached at its home replica though it was not sent there
# from here: another coordinator may have been before this one.
HOME_CACHED_PROBABILITY = 0.1
# Homes remembered between two changes of the replicas: each is asked for once for
# every candidate of every choice.
MAX_HOMES = 10_000
# Part of the shortest allowed pause for which an engine may read prompts between two
# events of a stream; the rest is for the tokens' own steps, and for slower engines.
INTERLEAVED_PREFILL_SHARE = 0.5
# Least share of engines kept for the streams with the shortest allowed pause.
MIN_RESERVED_SHARE = 0.22
# Largest one: the other classes must make progress.
MAX_RESERVED_SHARE = 0.6
# One engine more is kept when those that are kept use more of their slots: beyond,
# reading the streams' own prompts stretches their tokens until the slots run out.
RESERVED_GROW_LOAD = 0.45
# One engine fewer is kept when the rest would use less of their slots.
RESERVED_SHRINK_LOAD = 0.2
# Seconds between two changes: new requests need about as long to spread.
RESERVED_GROW_SECONDS = 0.5
RESERVED_SHRINK_SECONDS = 3.0
# Streams are kept apart from others whose allowed pause is so many times longer.
RESERVED_GAP_RATIO = 1.3


class EnginePlacement(Placement):
    """
    Where the prompt's parts are cached, unless others would be much sooner; streams
    with the shortest allowed pause run on engines of their own.

    Load pattern: long prompts with shared parts that fit the pool's memory once, beside
    long streams whose pauses are broken by the reading of other requests' prompts.
    """

    def __init__(
        self,
        *,
        service: ServiceSpec,
        clock: Clock,
        data_centre: DataCentre,
    ) -> None:
        super().__init__(service=service, clock=clock, data_centre=data_centre)
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
        self._resized_at = clock.now()

    @property
    def reserved_instances(self) -> frozenset[InstanceId]:
        """The replicas kept for the streams with the shortest allowed pause."""
        return self._reserved

    @property
    def mean_backlog(self) -> float:
        """Seconds that the engines have to read, on average."""
        backlogs = [
            self._compute_backlog_seconds(state)
            for state in self._eligible_replicas.values()
        ]
        return sum(backlogs) / len(backlogs) if backlogs else 0.0

    def configure(self, service: ServiceSpec, routes: Iterable[Route]) -> None:
        """Find the shortest allowed pause, if it is clearly shorter than others."""
        routes = list(routes)
        super().configure(service, routes)
        gaps = sorted({route.event_gap for route in routes if route.event_gap})
        apart = len(gaps) > 1 and gaps[1] >= RESERVED_GAP_RATIO * gaps[0]
        self._reserved_event_gap = gaps[0] if apart else None
        self._lowest_priority_tier = max((item.tier for item in routes), default=0)
        self._shortest_target = min(
            (item.target for item in routes if not self._uses_reserved_engines(item)),
            default=0.0,
        )
        self._select_reserved_engines()

    def update_replicas(self, records: Iterable[UpstreamRecord]) -> None:
        """Take the replicas that may take new work from now on."""
        super().update_replicas(records)
        self._select_reserved_engines()

    def choose_replica(
        self, call: Call, *, excluded: Collection[InstanceId] = ()
    ) -> UpstreamRecord | None:
        """Return the engine for a request, or ``None`` when there is none."""
        # Nothing changes while one choice is made, though the clock goes on: where the
        # parts are is looked up once, not for each engine that is weighed.
        self._choice_parts = self._locate_shared_parts(call)
        try:
            return super().choose_replica(call, excluded=excluded)
        finally:
            self._choice_parts = None

    def find_copy_source(self, instance: InstanceId, call: Call) -> str | None:
        """Return the address of the engine that has most of a prompt's shared parts."""
        shared = self._locate_shared_parts(call)
        state = self._replicas[instance]
        if (
            shared.holder is not None
            and shared.max_cached_tokens > shared.count_cached_tokens(state)
        ):
            return shared.holder.record.address
        return None

    def has_capacity_for(self, call: Call) -> bool:
        """Tell whether the engine that a request would go to has little to read."""
        states = list(self._eligible_replicas.values())
        roomy = {
            state.record.instance
            for state in self._filter_candidates(call, states, self._clock.now())
            if self._has_capacity(state)
        }
        if not roomy:
            return not states
        # Of those with much to read only one that has its parts can be the better one.
        passed_over = {
            item
            for item, state in self._eligible_replicas.items()
            if item not in roomy and not self._may_cache_shared_parts(state, call)
        }
        record = self.choose_replica(call, excluded=passed_over)
        return record is None or record.instance in roomy

    def has_any_capacity(self) -> bool:
        """Tell whether any engine has little to read."""
        return not self._eligible_replicas or any(
            map(self._has_capacity, self._eligible_replicas.values())
        )

    def estimate_pool_prefill_seconds(self, call: Call) -> float:
        """
        Return how long all engines that are not kept for tight streams need together
        to read a request, shared parts taken to be cached.
        """
        engines = max(1, len(self._eligible_replicas) - len(self._reserved))
        parts = call.head.prompt
        tokens = parts[-1].tokens if parts else call.head.prompt_tokens
        return tokens / (engines * PREFILL_TOKENS_PER_SECOND)

    def estimate_prefill_seconds(self, call: Call) -> float:
        """Return how long an engine reads what none has cached of a request."""
        cached = tokens = 0
        for part in call.head.prompt[:-1]:
            tokens += part.tokens
            if not self._eligible_keys.isdisjoint(
                self._part_locations.find_replicas(part.key)
            ):
                cached = tokens
        return (call.head.prompt_tokens - cached) / PREFILL_TOKENS_PER_SECOND

    def _may_cache_shared_parts(self, state: ReplicaState, call: Call) -> bool:
        """Tell whether an engine may have all shared parts of a prompt."""
        parts = call.head.prompt[:-1]
        if not parts:
            return False
        last = parts[-1].key
        held = (
            last in state.cached_parts
            or state.key in self._part_locations.find_replicas(last)
        )
        return held or self._find_home(last, call) == state.record.instance

    def _has_capacity(self, state: ReplicaState) -> bool:
        """Tell whether an engine has little to read and a free slot."""
        little = (
            self._compute_backlog_seconds(state)
            <= BACKLOG_LIMIT_SHARE * self._shortest_target
        )
        return little and not self._is_full(state)

    def _is_full(self, state: ReplicaState) -> bool:
        engine = self._service.engine
        return engine is not None and state.own_requests >= engine.slots

    def bypasses_queue(self, call: Call) -> bool:
        """
        Tell whether a request is sent at once: all but the least urgent routes' are,
        whatever their workspace's tier, so that none starves behind longer prompts.
        """
        tight = bool(self._reserved) and self._uses_reserved_engines(call.route)
        return tight or call.route.tier < self._lowest_priority_tier

    def record_response_head(self, instance: InstanceId, hint: LoadHint | None) -> None:
        """Take in the head of an answer; the kept engines follow their load."""
        super().record_response_head(instance, hint)
        if instance in self._reserved:
            self._resize_reservation()

    def _uses_reserved_engines(self, route: Route) -> bool:
        """Tell whether a route's streams are to be kept apart."""
        return (
            self._reserved_event_gap is not None
            and route.event_gap == self._reserved_event_gap
        )

    def _compute_backlog_seconds(self, state: ReplicaState) -> float:
        """Return the seconds that an engine needs to read what was sent to it."""
        return state.pending_prefill_tokens / PREFILL_TOKENS_PER_SECOND

    def _resize_reservation(self) -> None:
        """Keep more or fewer engines apart, as the load of those kept asks."""
        engine = self._service.engine
        if engine is None:
            return
        now = self._clock.now()
        since = now - self._resized_at
        slots = float(engine.slots * len(self._reserved))
        states = [self._replicas[item] for item in self._reserved]
        load = sum(
            state.own_requests + self._estimate_other_requests(state, now)
            for state in states
        )
        if load > RESERVED_GROW_LOAD * slots and since >= RESERVED_GROW_SECONDS:
            most = int(MAX_RESERVED_SHARE * len(self._eligible_replicas))
            if len(self._reserved) < most:
                self._change_extra_reserved(1)
            return
        idle = load < RESERVED_SHRINK_LOAD * (slots - engine.slots)
        if self._extra_reserved and idle and since >= RESERVED_SHRINK_SECONDS:
            self._change_extra_reserved(-1)

    def _change_extra_reserved(self, change: int) -> None:
        self._extra_reserved += change
        self._resized_at = self._clock.now()
        self._select_reserved_engines()

    def _select_reserved_engines(self) -> None:
        self._homes.clear()
        least = max(1, int(MIN_RESERVED_SHARE * len(self._eligible_replicas) + 0.5))
        count = least + self._extra_reserved
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
        tight = self._uses_reserved_engines(call.route)
        own = [
            state
            for state in candidates
            if (state.record.instance in self._reserved) is tight
            or (not tight and self._fits_between_events(state, call))
        ]
        return own or candidates

    def _fits_between_events(self, state: ReplicaState, call: Call) -> bool:
        """
        Tell whether an engine kept for tight streams can read a prompt without
        breaking their pauses.
        """
        gap = self._reserved_event_gap or 0.0
        reading = self._estimate_prefill_tokens(state, call) / PREFILL_TOKENS_PER_SECOND
        return (
            self._compute_backlog_seconds(state) + reading
            <= INTERLEAVED_PREFILL_SHARE * gap
        )

    def _count_prefill_tokens(self, state: ReplicaState, call: Call) -> int:
        return int(self._estimate_prefill_tokens(state, call))

    def _estimate_prefill_tokens(self, state: ReplicaState, call: Call) -> float:
        """Estimate the tokens to read: a part is cached only with all before it."""
        total = call.head.prompt_tokens
        parts = call.head.prompt[:-1]
        if not parts:
            return total
        shared = self._locate_shared_parts(call)
        known = float(shared.max_cached_tokens)
        if (
            not shared.is_fully_cached
            and self._find_home(parts[-1].key, call) == state.record.instance
        ):
            known = max(known, HOME_CACHED_PROBABILITY * shared.total_tokens)
        return max(0.0, total - known)

    def _count_copied_tokens(self, state: ReplicaState, call: Call) -> int:
        """Return the tokens that would be copied from another engine."""
        shared = self._locate_shared_parts(call)
        return max(0, shared.max_cached_tokens - shared.count_cached_tokens(state))

    def _locate_shared_parts(self, call: Call) -> SharedParts:
        """Return where the shared parts of a prompt are at this instant."""
        if self._choice_parts is not None:
            return self._choice_parts
        key = (call.id, self._clock.now())
        if self._shared_parts_key != key or self._shared_parts is None:
            self._shared_parts_key = key
            self._shared_parts = SharedParts(
                parts=call.head.prompt[:-1],
                places=self._part_locations,
                replicas=self._eligible_replicas.values(),
            )
        return self._shared_parts

    def _find_home(self, key: str, call: Call) -> InstanceId | None:
        """
        Return the replica for a part that no replica is known to have.

        All coordinators of a cell choose the same one, so that a successor finds what
        the one before it has placed.
        """
        tight = self._uses_reserved_engines(call.route)
        if (key, tight) not in self._homes:
            if len(self._homes) >= MAX_HOMES:
                self._homes.clear()
            self._homes[key, tight] = max(
                self._find_home_candidates(tight=tight),
                key=lambda item: stable_hash(key, item),
                default=None,
            )
        return self._homes[key, tight]

    def _find_home_candidates(self, *, tight: bool) -> list[InstanceId]:
        """Return the replicas among which a home is chosen, near ones if it can be."""
        group = [
            item
            for item in self._eligible_replicas
            if (item in self._reserved) is tight
        ] or list(self._eligible_replicas)
        return [
            item
            for item in group
            if self._eligible_replicas[item].record.data_centre == self._data_centre
        ] or group

    def _compute_cost(self, state: ReplicaState, call: Call, now: float) -> float:
        unread = self._estimate_prefill_tokens(state, call)
        reading = unread / PREFILL_TOKENS_PER_SECOND
        backlog = self._compute_backlog_seconds(state)
        cost = PREFILL_WEIGHT * reading + backlog
        cost += (
            COPY_WEIGHT
            * self._count_copied_tokens(state, call)
            / PREFILL_TOKENS_PER_SECOND
        )
        hot = backlog - self._mean_backlog - HOT_BACKLOG_SHARE * call.route.target
        cost += HOT_WEIGHT * max(0.0, hot)
        cost += RUNNING_REQUEST_SECONDS * (
            state.own_requests + self._estimate_other_requests(state, now)
        )
        if state.record.data_centre != self._data_centre:
            cost += REMOTE_CENTRE_SECONDS
            cost += REMOTE_CENTRE_SECONDS_PER_BYTE * len(call.body)
        cost += FAILURE_COST * RUNNING_REQUEST_SECONDS * state.failure_rate
        cost += FULL_ENGINE_SECONDS if self._is_full(state) else 0.0
        return cost + RUNNING_REQUEST_SECONDS * tie_breaker(state, call)
