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
READ_TOKENS_PER_SECOND = 38_000.0
# A request that can wait is sent when its engine can read what it has in this part of
# the shortest target of the requests that share the engines, so that these are in time.
ROOM_SHARE = 0.5
# Weight of reading against waiting: what is read twice is taken from everybody.
UNREAD_WEIGHT = 12.0
# Weight of copying a part from another engine: a ninth of reading it again, what the
# operators count for both.
COPY_WEIGHT = 4.0
# An engine that has more to read than the others by this part of a request's target
# holds a hot subject, which is then read again elsewhere.  When all have much to read,
# reading again helps nobody.
HOT_SHARE = 0.6
HOT_WEIGHT = 40.0
# Time that one running request adds to each of another one's tokens, over its stream.
RUNNING_COST = 0.004
# About how long a request waits for a slot of an engine that has none left.
FULL_SECONDS = 0.5
# Cost in seconds of leaving the data centre, and for each byte of a prompt, since bytes
# between data centres are dear.
OTHER_CENTRE_SECONDS = 0.01
OTHER_CENTRE_SECONDS_PER_BYTE = 0.000005
# Probability that a part is cached at its home replica though it was not sent there
# from here: another coordinator may have been before this one.
HOME_CACHED = 0.1
# Homes remembered between two changes of the replicas: each is asked for once for
# every candidate of every choice.
MOST_HOMES = 10_000
# Part of the shortest allowed pause for which an engine may read prompts between two
# events of a stream; the rest is for the tokens' own steps, and for slower engines.
BESIDE_SHARE = 0.5
# Least share of engines kept for the streams with the shortest allowed pause.
TIGHT_SHARE = 0.22
# Largest one: the other classes must make progress.
MOST_TIGHT_SHARE = 0.6
# One engine more is kept when those that are kept use more of their slots: beyond,
# reading the streams' own prompts stretches their tokens until the slots run out.
TIGHT_GROW_LOAD = 0.45
# One engine fewer is kept when the rest would use less of their slots.
TIGHT_SHRINK_LOAD = 0.2
# Seconds between two changes: new requests need about as long to spread.
TIGHT_GROW_SECONDS = 0.5
TIGHT_SHRINK_SECONDS = 3.0
# Streams are kept apart from others whose allowed pause is so many times longer.
TIGHT_RATIO = 1.3


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
        self._last_tier = 0
        self._mean_backlog = 0.0
        self._least_target = 0.0
        self._tight_gap: float | None = None
        self._tight: frozenset[InstanceId] = frozenset()
        self._homes: dict[tuple[str, bool], InstanceId | None] = {}
        self._shared_of: tuple[AttemptId, float] | None = None
        self._shared_parts: SharedParts | None = None
        self._weighed: SharedParts | None = None
        self._extra = 0
        self._resized_at = clock.now()

    @property
    def tight(self) -> frozenset[InstanceId]:
        """The replicas kept for the streams with the shortest allowed pause."""
        return self._tight

    @property
    def mean_backlog(self) -> float:
        """Seconds that the engines have to read, on average."""
        backlogs = [self._backlog(state) for state in self._usable.values()]
        return sum(backlogs) / len(backlogs) if backlogs else 0.0

    def configure(self, service: ServiceSpec, routes: Iterable[Route]) -> None:
        """Find the shortest allowed pause, if it is clearly shorter than others."""
        routes = list(routes)
        super().configure(service, routes)
        gaps = sorted({route.event_gap for route in routes if route.event_gap})
        apart = len(gaps) > 1 and gaps[1] >= TIGHT_RATIO * gaps[0]
        self._tight_gap = gaps[0] if apart else None
        self._last_tier = max((item.tier for item in routes), default=0)
        self._least_target = min(
            (item.target for item in routes if not self._is_tight(item)), default=0.0
        )
        self._arrange()

    def retain(self, records: Iterable[UpstreamRecord]) -> None:
        """Take the replicas that may take new work from now on."""
        super().retain(records)
        self._arrange()

    def choose(
        self, call: Call, *, excluded: Collection[InstanceId] = ()
    ) -> UpstreamRecord | None:
        """Return the engine for a request, or ``None`` when there is none."""
        # Nothing changes while one choice is made, though the clock goes on: where the
        # parts are is looked up once, not for each engine that is weighed.
        self._weighed = self._shared(call)
        try:
            return super().choose(call, excluded=excluded)
        finally:
            self._weighed = None

    def copy_source(self, instance: InstanceId, call: Call) -> str | None:
        """Return the address of the engine that has most of a prompt's shared parts."""
        shared = self._shared(call)
        state = self._replicas[instance]
        if shared.holder is not None and shared.best > shared.at(state):
            return shared.holder.record.address
        return None

    def has_room(self, call: Call) -> bool:
        """Tell whether the engine that a request would go to has little to read."""
        states = list(self._usable.values())
        roomy = {
            state.record.instance
            for state in self._preferred(call, states, self._clock.now())
            if self._roomy(state)
        }
        if not roomy:
            return not states
        # Of those with much to read only one that has its parts can be the better one.
        passed_over = {
            item
            for item, state in self._usable.items()
            if item not in roomy and not self._may_hold(state, call)
        }
        record = self.choose(call, excluded=passed_over)
        return record is None or record.instance in roomy

    def any_room(self) -> bool:
        """Tell whether any engine has little to read."""
        return not self._usable or any(map(self._roomy, self._usable.values()))

    def seconds_of(self, call: Call) -> float:
        """
        Return how long all engines that are not kept for tight streams need together
        to read a request, shared parts taken to be cached.
        """
        engines = max(1, len(self._usable) - len(self._tight))
        parts = call.head.prompt
        tokens = parts[-1].tokens if parts else call.head.prompt_tokens
        return tokens / (engines * READ_TOKENS_PER_SECOND)

    def reading_of(self, call: Call) -> float:
        """Return how long an engine reads what none has cached of a request."""
        cached = tokens = 0
        for part in call.head.prompt[:-1]:
            tokens += part.tokens
            if not self._keys.isdisjoint(self._parts.replicas(part.key)):
                cached = tokens
        return (call.head.prompt_tokens - cached) / READ_TOKENS_PER_SECOND

    def _may_hold(self, state: ReplicaState, call: Call) -> bool:
        """Tell whether an engine may have all shared parts of a prompt."""
        parts = call.head.prompt[:-1]
        if not parts:
            return False
        last = parts[-1].key
        held = last in state.parts or state.key in self._parts.replicas(last)
        return held or self._home(last, call) == state.record.instance

    def _roomy(self, state: ReplicaState) -> bool:
        """Tell whether an engine has little to read and a free slot."""
        little = self._backlog(state) <= ROOM_SHARE * self._least_target
        return little and not self._is_full(state)

    def _is_full(self, state: ReplicaState) -> bool:
        engine = self._service.engine
        return engine is not None and state.own >= engine.slots

    def is_urgent(self, call: Call) -> bool:
        """
        Tell whether a request is sent at once: all but the least urgent routes' are,
        whatever their workspace's tier, so that none starves behind longer prompts.
        """
        tight = bool(self._tight) and self._is_tight(call.route)
        return tight or call.route.tier < self._last_tier

    def heard(self, instance: InstanceId, hint: LoadHint | None) -> None:
        """Take in the head of an answer; the kept engines follow their load."""
        super().heard(instance, hint)
        if instance in self._tight:
            self._resize()

    def _is_tight(self, route: Route) -> bool:
        """Tell whether a route's streams are to be kept apart."""
        return self._tight_gap is not None and route.event_gap == self._tight_gap

    def _backlog(self, state: ReplicaState) -> float:
        """Return the seconds that an engine needs to read what was sent to it."""
        return state.unread_tokens / READ_TOKENS_PER_SECOND

    def _resize(self) -> None:
        """Keep more or fewer engines apart, as the load of those kept asks."""
        engine = self._service.engine
        if engine is None:
            return
        now = self._clock.now()
        since = now - self._resized_at
        slots = float(engine.slots * len(self._tight))
        states = [self._replicas[item] for item in self._tight]
        load = sum(state.own + self._others(state, now) for state in states)
        if load > TIGHT_GROW_LOAD * slots and since >= TIGHT_GROW_SECONDS:
            most = int(MOST_TIGHT_SHARE * len(self._usable))
            if len(self._tight) < most:
                self._change_extra(1)
            return
        idle = load < TIGHT_SHRINK_LOAD * (slots - engine.slots)
        if self._extra and idle and since >= TIGHT_SHRINK_SECONDS:
            self._change_extra(-1)

    def _change_extra(self, change: int) -> None:
        self._extra += change
        self._resized_at = self._clock.now()
        self._arrange()

    def _arrange(self) -> None:
        self._homes.clear()
        least = max(1, int(TIGHT_SHARE * len(self._usable) + 0.5))
        count = least + self._extra
        if self._tight_gap is None or len(self._usable) <= count:
            self._tight = frozenset()
            return
        ranked = sorted(
            self._usable, key=lambda item: stable_hash(self._service.name, item)
        )
        self._tight = frozenset(ranked[:count])

    def _preferred(
        self, call: Call, candidates: list[ReplicaState], now: float
    ) -> list[ReplicaState]:
        self._mean_backlog = self.mean_backlog
        if not self._tight:
            return candidates
        tight = self._is_tight(call.route)
        own = [
            state
            for state in candidates
            if (state.record.instance in self._tight) is tight
            or (not tight and self._fits_beside(state, call))
        ]
        return own or candidates

    def _fits_beside(self, state: ReplicaState, call: Call) -> bool:
        """
        Tell whether an engine kept for tight streams can read a prompt without
        breaking their pauses.
        """
        gap = self._tight_gap or 0.0
        reading = self._expected_unread(state, call) / READ_TOKENS_PER_SECOND
        return self._backlog(state) + reading <= BESIDE_SHARE * gap

    def _unread_tokens(self, state: ReplicaState, call: Call) -> int:
        return int(self._expected_unread(state, call))

    def _expected_unread(self, state: ReplicaState, call: Call) -> float:
        """Estimate the tokens to read: a part is cached only with all before it."""
        total = call.head.prompt_tokens
        parts = call.head.prompt[:-1]
        if not parts:
            return total
        shared = self._shared(call)
        known = float(shared.best)
        if (
            not shared.known
            and self._home(parts[-1].key, call) == state.record.instance
        ):
            known = max(known, HOME_CACHED * shared.tokens)
        return max(0.0, total - known)

    def _copied(self, state: ReplicaState, call: Call) -> int:
        """Return the tokens that would be copied from another engine."""
        shared = self._shared(call)
        return max(0, shared.best - shared.at(state))

    def _shared(self, call: Call) -> SharedParts:
        """Return where the shared parts of a prompt are at this instant."""
        if self._weighed is not None:
            return self._weighed
        key = (call.id, self._clock.now())
        if self._shared_of != key or self._shared_parts is None:
            self._shared_of = key
            self._shared_parts = SharedParts(
                parts=call.head.prompt[:-1],
                places=self._parts,
                replicas=self._usable.values(),
            )
        return self._shared_parts

    def _home(self, key: str, call: Call) -> InstanceId | None:
        """
        Return the replica for a part that no replica is known to have.

        All coordinators of a cell choose the same one, so that a successor finds what
        the one before it has placed.
        """
        tight = self._is_tight(call.route)
        if (key, tight) not in self._homes:
            if len(self._homes) >= MOST_HOMES:
                self._homes.clear()
            self._homes[key, tight] = max(
                self._group(tight=tight),
                key=lambda item: stable_hash(key, item),
                default=None,
            )
        return self._homes[key, tight]

    def _group(self, *, tight: bool) -> list[InstanceId]:
        """Return the replicas among which a home is chosen, near ones if it can be."""
        group = [
            item for item in self._usable if (item in self._tight) is tight
        ] or list(self._usable)
        return [
            item
            for item in group
            if self._usable[item].record.data_centre == self._data_centre
        ] or group

    def _cost(self, state: ReplicaState, call: Call, now: float) -> float:
        unread = self._expected_unread(state, call)
        reading = unread / READ_TOKENS_PER_SECOND
        backlog = self._backlog(state)
        cost = UNREAD_WEIGHT * reading + backlog
        cost += COPY_WEIGHT * self._copied(state, call) / READ_TOKENS_PER_SECOND
        hot = backlog - self._mean_backlog - HOT_SHARE * call.route.target
        cost += HOT_WEIGHT * max(0.0, hot)
        cost += RUNNING_COST * (state.own + self._others(state, now))
        if state.record.data_centre != self._data_centre:
            cost += OTHER_CENTRE_SECONDS
            cost += OTHER_CENTRE_SECONDS_PER_BYTE * len(call.body)
        cost += FAILURE_COST * RUNNING_COST * state.failure_rate
        cost += FULL_SECONDS if self._is_full(state) else 0.0
        return cost + RUNNING_COST * tie_breaker(state, call)
