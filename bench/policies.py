"""
Policies
========

Ours, made of the daemon's decision objects, and three others in the same world.
"""

import heapq
import random
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from functools import partial

import msgspec

from bench.simulation import HARD_BATCH, Engine, Run, Simulator
from bench.workload import ENTRIES, Arrival, Deployment, Fault, Scenario
from damasklead.dispatching import PoolDispatcher
from damasklead.ids import AttemptId, Fingerprint, Incarnation, InstanceId, PoolId
from damasklead.learning import CostModel
from damasklead.messages import PeerMessage, encode_message
from damasklead.preempting import DispatchOptions
from damasklead.quarantine import Quarantine
from damasklead.replicas import ReplicaInfo
from damasklead.requests import (
    Action,
    Cancel,
    Failure,
    Refuse,
    Request,
    Start,
)
from damasklead.sharing import Coordinator, choose_coordinator, compute_share_interval

MESSAGE_DELAY = 0.001  # seconds
REPORT_LAG = 0.5  # seconds
TICK = 0.05  # seconds
NOTICE_INTERVALS = 2.5  # share intervals until all entries know of a crash
OUTAGE = (30.0, 45.0)
TARGET_BATCH = 16


class Seen(msgspec.Struct, kw_only=True):
    """What the caller of one request saw."""

    arrival: Arrival
    first: float | None = None
    last: float | None = None
    tokens: int = 0
    refused: bool = False


class Policy(ABC):
    """A way to route; ``wasted`` counts tokens generated that no caller got."""

    name: str

    def __init__(
        self,
        *,
        simulator: Simulator,
        engines: dict[InstanceId, Engine],
        deployment: Deployment,
        scenario: Scenario,
        seed: int,
    ) -> None:
        self.simulator = simulator
        self.engines = engines
        self.deployment = deployment
        self.scenario = scenario
        self.random = random.Random(seed)
        self.seen: dict[str, Seen] = {}
        self.wasted = 0
        self.control_bytes = 0
        self.cpu = 0.0
        self._attempts = 0

    @abstractmethod
    def submit(self, arrival: Arrival) -> None:
        """Take in a request."""

    def start(self) -> None:
        """Begin periodic work."""

    def new_attempt(self) -> AttemptId:
        """Return a fresh id."""
        self._attempts += 1
        return AttemptId(str(self._attempts))

    def count(self, request: Request, tokens: int) -> None:
        """Note that the caller of a request got tokens."""
        seen = self.seen[request.id]
        if seen.first is None:
            seen.first = self.simulator.clock.now()
        seen.tokens += tokens

    def finished(self, request: Request) -> None:
        """Note that a caller has its whole answer."""
        self.seen[request.id].last = self.simulator.clock.now()


class Ours(Policy):
    """The decision objects of the daemon at eight entries."""

    name = "ours"
    options = DispatchOptions()

    def start(self) -> None:
        """Build the entries and begin their periodic work."""
        self.pool = PoolId("pool")
        self.names = [InstanceId(f"entry-{number}") for number in range(ENTRIES)]
        self.quarantines = [
            Quarantine(
                clock=self.simulator.clock,
                propagation_seconds=NOTICE_INTERVALS * compute_share_interval(ENTRIES),
            )
            for _ in self.names
        ]
        self.entries = [self._entry(number) for number in range(ENTRIES)]
        self.coordinators = {
            name: Coordinator(pool=self.pool, clock=self.simulator.clock)
            for name in self.names
        }
        gaps: dict[int, float] = {}
        shares: dict[int, float] = {}
        for item in self.deployment.service.classes:
            if item.token_gap_target:
                gaps[item.tier] = item.token_gap_target
            shares[item.tier] = shares.get(item.tier, 0.0) + item.minimum_share
        for coordinator in self.coordinators.values():
            coordinator.set_targets(token_gap_targets=gaps, min_shares=shares)
        for number in range(ENTRIES):
            self.simulator.schedule(self.random.random() * TICK, self._tick, number)
            delay = self.random.random() * compute_share_interval(ENTRIES)
            self.simulator.schedule(delay, self._demand, number)
        self.simulator.schedule(0.0, self._coordinate)

    def submit(self, arrival: Arrival) -> None:
        """Give a request to its entry."""
        entry = self.entries[arrival.entry]
        self._act(
            arrival.entry,
            lambda: entry.submit_request(arrival.request, is_preemptable=True),
        )

    def _entry(self, number: int) -> PoolDispatcher:
        dispatcher = PoolDispatcher(
            pool=self.pool,
            service=self.deployment.service,
            clock=self.simulator.clock,
            data_centre=self.deployment.centre(number),
            random_source=random.Random(self.random.random()),
            costs=CostModel(),
            quarantine=self.quarantines[number],
            new_attempt_id=self.new_attempt,
            options=self.options,
        )
        infos = [
            ReplicaInfo(instance=name, data_centre=self.deployment.centre(index))
            for index, name in enumerate(self.engines)
        ]
        dispatcher.set_replicas(infos, entry_count=ENTRIES)
        return dispatcher

    def _act(self, number: int, call: Callable[[], list[Action]]) -> None:
        before = time.process_time()
        actions = call()
        self.cpu += time.process_time() - before
        for action in actions:
            if isinstance(action, Start):
                self._start(number, action)
            elif isinstance(action, Cancel):
                engine = self.engines[action.replica]
                attempt = action.attempt
                self.simulator.schedule(MESSAGE_DELAY, engine.cancel, attempt)
            elif isinstance(action, Refuse):
                self.seen[action.request.id].refused = True

    def _start(self, number: int, action: Start) -> None:
        entry = self.entries[number]
        request = action.request
        arrival = self.seen[request.id].arrival

        def tokens(count: int) -> None:
            if action.attempt not in entry.attempts:
                self.wasted += count
                return
            self.count(request, count)
            self._act(
                number, lambda: entry.record_events(action.attempt, event_count=count)
            )

        def end(whole: bool) -> None:
            if action.attempt not in entry.attempts:
                return
            if whole:
                self.finished(request)
                self._act(number, lambda: entry.complete_attempt(action.attempt))
            elif run.refused:
                self._act(
                    number, lambda: entry.fail_attempt(action.attempt, Failure.NOT_SENT)
                )
            else:
                self._broken(number, action)

        run = Run(
            request=request,
            attempt=action.attempt,
            length=arrival.tokens - request.generated_tokens,
            priority=request.tier,
            on_tokens=tokens,
            on_end=end,
        )
        engine = self.engines[action.replica]
        self.simulator.schedule(MESSAGE_DELAY, lambda: engine.submit(run))

    def _broken(self, number: int, action: Start) -> None:
        entry = self.entries[number]
        engine = self.engines[action.replica]
        incarnation = Incarnation(engine.incarnation)
        running = frozenset(
            attempt.request.fingerprint
            for attempt in entry.attempts.values()
            if attempt.replica == action.replica
        )
        self._crash_seen(number, action.replica, incarnation, running)
        self._act(number, lambda: entry.fail_attempt(action.attempt, Failure.BROKEN))

    def _crash_seen(
        self,
        number: int,
        replica: InstanceId,
        incarnation: Incarnation,
        running: frozenset[Fingerprint],
    ) -> None:
        """Let one entry see a crash at once, and the others when gossip reaches them."""
        self.quarantines[number].record_crash(replica, incarnation, running)
        for quarantine in self.quarantines:
            self.simulator.schedule(
                compute_share_interval(ENTRIES),
                quarantine.record_crash,
                replica,
                incarnation,
                running,
            )

    def _tick(self, number: int) -> None:
        for fingerprint in self.quarantines[number].identify_culprits():
            for quarantine in self.quarantines:
                quarantine.add_fingerprint(fingerprint)
        self._act(number, self.entries[number].process_timeouts)
        self.simulator.schedule(TICK, lambda: self._tick(number))

    def _demand(self, number: int) -> None:
        coordinator = self._coordinator()
        if coordinator is not None:
            demand = self.entries[number].build_demand()
            self._count_message(demand)
            self.simulator.schedule(
                MESSAGE_DELAY,
                lambda: self.coordinators[coordinator].record_demand(
                    self.names[number], demand
                ),
            )
        self.simulator.schedule(
            compute_share_interval(ENTRIES), lambda: self._demand(number)
        )

    def _coordinate(self) -> None:
        """Let the coordinator poll lagging reports and send grants."""
        name = self._coordinator()
        if name is not None:
            coordinator = self.coordinators[name]
            for engine in self.engines.values():
                self._report(coordinator, engine)
            before = time.process_time()
            grants = coordinator.allocate_slots()
            self.cpu += time.process_time() - before
            for entry, grant in grants.items():
                self._count_message(grant)
                number = self.names.index(entry)
                take = self.entries[number].apply_grant
                self.simulator.schedule(
                    MESSAGE_DELAY, self._act, number, partial(take, grant)
                )
        self.simulator.schedule(compute_share_interval(ENTRIES), self._coordinate)

    def _report(self, coordinator: Coordinator, engine: Engine) -> None:
        if engine.alive and not self._silent():
            report = engine.report()
            self.simulator.schedule(
                REPORT_LAG, lambda: coordinator.record_report(engine.name, report)
            )

    def _coordinator(self) -> InstanceId | None:
        if self._silent():
            return None
        alive = list(self.names)
        first = choose_coordinator(self.pool, alive)
        now = self.simulator.clock.now()
        if Fault.COORDINATOR in self.scenario.faults and now > OUTAGE[0] + 2.0:
            # Gone at the start of the burst; the others' list shows it 2 s later.
            alive.remove(first)  # type: ignore[arg-type]
            return choose_coordinator(self.pool, alive)
        if Fault.COORDINATOR in self.scenario.faults and now > OUTAGE[0]:
            return None
        return first

    def _silent(self) -> bool:
        now = self.simulator.clock.now()
        return Fault.SILENCE in self.scenario.faults and now > OUTAGE[0]

    def _count_message(self, body: object) -> None:
        message = PeerMessage(
            sender=self.names[0],
            incarnation=Incarnation(1),
            configuration_version=1,
            body=(body,),  # type: ignore[arg-type]
        )
        self.control_bytes += len(encode_message(message))


class NoPreemption(Ours):
    """Ours without preemption."""

    name = "ours, no preemption"
    options = DispatchOptions(allow_preemption=False)


class RoundRobin(Policy):
    """Each entry sends at once to the next engine; engines go first come, first served."""

    name = "round-robin FIFO"

    def submit(self, arrival: Arrival) -> None:
        """Send a request to the next engine."""
        self._send(arrival, 0)

    def choose(self, arrival: Arrival) -> Engine:
        """Return the next engine that answers."""
        alive = [engine for engine in self.engines.values() if engine.alive]
        return alive[self._attempts % len(alive)]

    def priority(self, arrival: Arrival) -> int:
        """Return the priority for the engine."""
        return 1

    def ended(self, engine: Engine, arrival: Arrival) -> None:
        """Note that an attempt ended."""

    def _send(self, arrival: Arrival, tries: int) -> None:
        if not any(engine.alive for engine in self.engines.values()):
            self.simulator.schedule(TICK, lambda: self._send(arrival, tries))
            return
        engine = self.choose(arrival)
        request = arrival.request
        got = 0

        def tokens(count: int) -> None:
            nonlocal got
            got += count
            self.count(request, count)

        def end(whole: bool) -> None:
            self.ended(engine, arrival)
            if whole:
                self.finished(request)
                return
            self.wasted += got
            self.seen[request.id].tokens = 0
            if tries < 3:
                self.simulator.schedule(0.1, lambda: self._send(arrival, tries + 1))

        run = Run(
            request=request,
            attempt=self.new_attempt(),
            length=arrival.tokens,
            priority=self.priority(arrival),
            on_tokens=tokens,
            on_end=end,
        )
        self.simulator.schedule(MESSAGE_DELAY, lambda: engine.submit(run))


class LeastOutstanding(RoundRobin):
    """Each entry sends to the engine with its fewest requests; engines honour the tier."""

    name = "least outstanding"

    def start(self) -> None:
        """Begin with no requests outstanding."""
        self.outstanding = [dict.fromkeys(self.engines, 0) for _ in range(ENTRIES)]

    def choose(self, arrival: Arrival) -> Engine:
        """Return the engine with the fewest requests of this entry."""
        own = self.outstanding[arrival.entry]
        alive = [name for name, engine in self.engines.items() if engine.alive]
        best = min(alive, key=lambda name: (own[name], self.random.random()))
        own[best] += 1
        return self.engines[best]

    def priority(self, arrival: Arrival) -> int:
        """Return the tier."""
        return arrival.request.tier

    def ended(self, engine: Engine, arrival: Arrival) -> None:
        """Count a request less."""
        self.outstanding[arrival.entry][engine.name] -= 1


class Clairvoyant(Policy):
    """One queue that sees every engine at once, knows the lengths and loses nothing."""

    name = "clairvoyant"

    def start(self) -> None:
        """Begin with an empty queue."""
        self._queue: list[tuple[int, float, int, Arrival]] = []
        self._running: dict[AttemptId, tuple[Arrival, Engine]] = {}
        self.simulator.schedule(TICK, self._tick)

    def submit(self, arrival: Arrival) -> None:
        """Queue a request and start what may start."""
        if arrival.request.fingerprint.startswith("poison"):
            self.seen[arrival.request.id].refused = True
            return
        self._push(arrival)
        self._fill()

    def _push(self, arrival: Arrival) -> None:
        request = arrival.request
        heapq.heappush(
            self._queue, (request.tier, request.deadline, self._attempts, arrival)
        )
        self._attempts += 1

    def _tick(self) -> None:
        self._fill()
        self.simulator.schedule(TICK, self._tick)

    def _fill(self) -> None:
        while self._queue:
            engine = self._best_engine()
            if engine is None and not self._make_room(self._queue[0][0]):
                return
            if engine is not None:
                self._send(heapq.heappop(self._queue)[3], engine)

    def _best_engine(self) -> Engine | None:
        open_engines = [
            engine
            for engine in self.engines.values()
            if engine.alive
            and engine.load < TARGET_BATCH
            and (engine.slow_factor < 2.0 or self._queue[0][0] == 5)
        ]
        return min(open_engines, key=lambda engine: engine.load, default=None)

    def _make_room(self, tier: int) -> bool:
        """Take the lowest running request back, keeping what it has."""
        lower = [
            (arrival.request.tier, attempt)
            for attempt, (arrival, _) in self._running.items()
            if arrival.request.tier > tier
        ]
        if not lower:
            return False
        _, attempt = max(lower)
        arrival, engine = self._running.pop(attempt)
        engine.cancel(attempt)
        self._push(arrival)
        return True

    def _send(self, arrival: Arrival, engine: Engine) -> None:
        request = arrival.request
        attempt = self.new_attempt()
        self._running[attempt] = (arrival, engine)

        def tokens(count: int) -> None:
            self.count(request, count)
            request.generated_tokens += count

        def end(whole: bool) -> None:
            if self._running.pop(attempt, None) is None:
                return
            if whole:
                self.finished(request)
            else:
                self._push(arrival)
            self._fill()

        run = Run(
            request=request,
            attempt=attempt,
            length=arrival.tokens - request.generated_tokens,
            priority=request.tier,
            on_tokens=tokens,
            on_end=end,
        )
        engine.submit(run)


POLICIES: tuple[type[Policy], ...] = (Ours, RoundRobin, LeastOutstanding, Clairvoyant)
assert TARGET_BATCH <= HARD_BATCH
