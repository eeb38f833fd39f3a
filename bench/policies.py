"""
Policies
========

Routing policies that are compared in the same simulation: Damasklead's, made of the
daemon's decision objects, and three others.
"""

import heapq
import random
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from functools import partial

import msgspec

from bench.simulation import MAX_BATCH_SIZE, Engine, EngineRequest, Simulator
from bench.workload import ENTRY_COUNT, Arrival, Deployment, Fault, Scenario
from damasklead.cost_model import CostModel
from damasklead.dispatching import PoolDispatcher
from damasklead.ids import (
    AttemptId,
    Fingerprint,
    Incarnation,
    InstanceId,
    PoolId,
    SoftwareVersion,
)
from damasklead.messages import PeerMessage, encode_message
from damasklead.preemption import DispatchOptions
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

MESSAGE_DELAY_SECONDS = 0.001
REPORT_DELAY_SECONDS = 0.5  # of load reports
TICK_SECONDS = 0.05  # between checks of timeouts and queues
PROPAGATION_INTERVALS = 2.5  # share intervals until all entries know a crash
OUTAGE_SECONDS = (30.0, 45.0)  # start and end
TARGET_BATCH_SIZE = 16


class RequestRecord(msgspec.Struct, kw_only=True):
    """
    A request as its caller saw it.

    Attributes
    ----------
    arrival : Arrival
        The arrival of the request.
    first_token_at, completed_at : float or None
        Time of the first token, and of the end of the complete response, in seconds.
    received_tokens : int
        Number of tokens received.
    is_refused : bool
        Whether the request was refused.
    """

    arrival: Arrival
    first_token_at: float | None = None
    completed_at: float | None = None
    received_tokens: int = 0
    is_refused: bool = False


class Policy(ABC):
    """
    A routing policy.

    Attributes
    ----------
    name : str
        Name in the results.
    records : dict
        The record of each request, by request id.
    wasted_tokens : int
        Tokens generated that no caller received.
    control_bytes : int
        Bytes of the messages between entries.
    cpu_seconds : float
        Processor time of the policy's decisions.
    """

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
        self.records: dict[str, RequestRecord] = {}
        self.wasted_tokens = 0
        self.control_bytes = 0
        self.cpu_seconds = 0.0
        self._attempt_count = 0

    @abstractmethod
    def submit(self, arrival: Arrival) -> None:
        """Handle the arrival of a request."""

    def start(self) -> None:
        """Start periodic work."""

    def make_attempt_id(self) -> AttemptId:
        """Return a new attempt id."""
        self._attempt_count += 1
        return AttemptId(str(self._attempt_count))

    def record_tokens(self, request: Request, tokens: int) -> None:
        """Record that the caller of a request received tokens."""
        record = self.records[request.id]
        if record.first_token_at is None:
            record.first_token_at = self.simulator.clock.now()
        record.received_tokens += tokens

    def record_completion(self, request: Request) -> None:
        """Record that a caller received its complete response."""
        self.records[request.id].completed_at = self.simulator.clock.now()


class DamaskleadPolicy(Policy):
    """The daemon's decision objects at eight entries."""

    name = "ours"
    options = DispatchOptions()

    def start(self) -> None:
        """Build the entries and start their periodic work."""
        self.pool = PoolId("pool")
        self.names = [
            InstanceId(f"entry-{entry_index}") for entry_index in range(ENTRY_COUNT)
        ]
        self.quarantines = [
            Quarantine(
                clock=self.simulator.clock,
                propagation_seconds=PROPAGATION_INTERVALS
                * compute_share_interval(ENTRY_COUNT),
            )
            for _ in self.names
        ]
        self.entries = [
            self._make_dispatcher(entry_index) for entry_index in range(ENTRY_COUNT)
        ]
        self.coordinators = {
            name: Coordinator(pool=self.pool, clock=self.simulator.clock)
            for name in self.names
        }
        token_gap_targets: dict[int, float] = {}
        min_shares: dict[int, float] = {}
        for item in self.deployment.service.classes:
            if item.token_gap_target:
                token_gap_targets[item.tier] = item.token_gap_target
            min_shares[item.tier] = min_shares.get(item.tier, 0.0) + item.minimum_share
        for coordinator in self.coordinators.values():
            coordinator.set_targets(
                token_gap_targets=token_gap_targets, min_shares=min_shares
            )
        for entry_index in range(ENTRY_COUNT):
            self.simulator.schedule(
                self.random.random() * TICK_SECONDS, self._process_timeouts, entry_index
            )
            delay = self.random.random() * compute_share_interval(ENTRY_COUNT)
            self.simulator.schedule(delay, self._send_demand, entry_index)
        self.simulator.schedule(0.0, self._run_coordinator)

    def submit(self, arrival: Arrival) -> None:
        """Submit a request to its entry."""
        entry = self.entries[arrival.entry_index]
        self._run_decision(
            arrival.entry_index,
            lambda: entry.submit_request(arrival.request, is_preemptable=True),
        )

    def _make_dispatcher(self, entry_index: int) -> PoolDispatcher:
        dispatcher = PoolDispatcher(
            pool=self.pool,
            service=self.deployment.service,
            clock=self.simulator.clock,
            data_centre=self.deployment.get_data_centre(entry_index),
            random_source=random.Random(self.random.random()),
            costs=CostModel(),
            quarantine=self.quarantines[entry_index],
            new_attempt_id=self.make_attempt_id,
            options=self.options,
        )
        infos = [
            ReplicaInfo(
                instance=name,
                data_centre=self.deployment.get_data_centre(index),
                version=SoftwareVersion("1"),
            )
            for index, name in enumerate(self.engines)
        ]
        dispatcher.set_replicas(infos, entry_count=ENTRY_COUNT)
        return dispatcher

    def _run_decision(
        self, entry_index: int, decide: Callable[[], list[Action]]
    ) -> None:
        start = time.process_time()
        actions = decide()
        self.cpu_seconds += time.process_time() - start
        for action in actions:
            if isinstance(action, Start):
                self._start_attempt(entry_index, action)
            elif isinstance(action, Cancel):
                engine = self.engines[action.replica]
                attempt = action.attempt
                self.simulator.schedule(
                    MESSAGE_DELAY_SECONDS, engine.cancel_request, attempt
                )
            elif isinstance(action, Refuse):
                self.records[action.request.id].is_refused = True

    def _start_attempt(self, entry_index: int, action: Start) -> None:
        entry = self.entries[entry_index]
        request = action.request
        arrival = self.records[request.id].arrival

        def on_tokens(count: int) -> None:
            if action.attempt not in entry.attempts:
                self.wasted_tokens += count
                return
            self.record_tokens(request, count)
            self._run_decision(
                entry_index,
                lambda: entry.record_events(action.attempt, event_count=count),
            )

        def on_end(is_complete: bool) -> None:
            if action.attempt not in entry.attempts:
                return
            if is_complete:
                self.record_completion(request)
                self._run_decision(
                    entry_index, lambda: entry.complete_attempt(action.attempt)
                )
            elif engine_request.is_rejected:
                self._run_decision(
                    entry_index,
                    lambda: entry.fail_attempt(action.attempt, Failure.NOT_SENT),
                )
            else:
                self._handle_broken_connection(entry_index, action)

        engine_request = EngineRequest(
            request=request,
            attempt=action.attempt,
            remaining_tokens=arrival.output_tokens - request.generated_tokens,
            priority=request.tier,
            on_tokens=on_tokens,
            on_end=on_end,
        )
        engine = self.engines[action.replica]
        self.simulator.schedule(
            MESSAGE_DELAY_SECONDS, lambda: engine.submit_request(engine_request)
        )

    def _handle_broken_connection(self, entry_index: int, action: Start) -> None:
        entry = self.entries[entry_index]
        engine = self.engines[action.replica]
        incarnation = Incarnation(engine.incarnation)
        running = frozenset(
            attempt.request.fingerprint
            for attempt in entry.attempts.values()
            if attempt.replica == action.replica
        )
        self._record_crash(entry_index, action.replica, incarnation, running)
        self._run_decision(
            entry_index, lambda: entry.fail_attempt(action.attempt, Failure.BROKEN)
        )

    def _record_crash(
        self,
        entry_index: int,
        replica: InstanceId,
        incarnation: Incarnation,
        running: frozenset[Fingerprint],
    ) -> None:
        """Record a crash at one entry at once, and at all after a share interval."""
        self.quarantines[entry_index].record_crash(replica, incarnation, running)
        for quarantine in self.quarantines:
            self.simulator.schedule(
                compute_share_interval(ENTRY_COUNT),
                quarantine.record_crash,
                replica,
                incarnation,
                running,
            )

    def _process_timeouts(self, entry_index: int) -> None:
        for fingerprint in self.quarantines[entry_index].identify_culprits():
            for quarantine in self.quarantines:
                quarantine.add_fingerprint(fingerprint)
        self._run_decision(entry_index, self.entries[entry_index].process_timeouts)
        self.simulator.schedule(
            TICK_SECONDS, lambda: self._process_timeouts(entry_index)
        )

    def _send_demand(self, entry_index: int) -> None:
        coordinator = self._find_coordinator()
        if coordinator is not None:
            demand = self.entries[entry_index].build_demand()
            self._count_control_bytes(demand)
            self.simulator.schedule(
                MESSAGE_DELAY_SECONDS,
                lambda: self.coordinators[coordinator].record_demand(
                    self.names[entry_index], demand
                ),
            )
        self.simulator.schedule(
            compute_share_interval(ENTRY_COUNT), lambda: self._send_demand(entry_index)
        )

    def _run_coordinator(self) -> None:
        """Send load reports to the coordinator and its grants to the entries."""
        name = self._find_coordinator()
        if name is not None:
            coordinator = self.coordinators[name]
            for engine in self.engines.values():
                self._send_load_report(coordinator, engine)
            start = time.process_time()
            grants = coordinator.allocate_slots()
            self.cpu_seconds += time.process_time() - start
            for entry, grant in grants.items():
                self._count_control_bytes(grant)
                entry_index = self.names.index(entry)
                apply_grant = self.entries[entry_index].apply_grant
                self.simulator.schedule(
                    MESSAGE_DELAY_SECONDS,
                    self._run_decision,
                    entry_index,
                    partial(apply_grant, grant),
                )
        self.simulator.schedule(
            compute_share_interval(ENTRY_COUNT), self._run_coordinator
        )

    def _send_load_report(self, coordinator: Coordinator, engine: Engine) -> None:
        if engine.is_alive and not self._are_reports_lost():
            report = engine.build_load_report()
            self.simulator.schedule(
                REPORT_DELAY_SECONDS,
                lambda: coordinator.record_report(engine.name, report),
            )

    def _find_coordinator(self) -> InstanceId | None:
        if self._are_reports_lost():
            return None
        live_entries = list(self.names)
        coordinator = choose_coordinator(self.pool, live_entries)
        now = self.simulator.clock.now()
        if (
            Fault.COORDINATOR_LOSS in self.scenario.faults
            and now > OUTAGE_SECONDS[0] + 2.0
        ):
            # The coordinator is lost at the start of the burst; the other entries'
            # instance list shows this 2 s later.
            live_entries.remove(coordinator)  # type: ignore[arg-type]
            return choose_coordinator(self.pool, live_entries)
        if Fault.COORDINATOR_LOSS in self.scenario.faults and now > OUTAGE_SECONDS[0]:
            return None
        return coordinator

    def _are_reports_lost(self) -> bool:
        now = self.simulator.clock.now()
        return Fault.REPORT_LOSS in self.scenario.faults and now > OUTAGE_SECONDS[0]

    def _count_control_bytes(self, body: object) -> None:
        message = PeerMessage(
            sender=self.names[0],
            incarnation=Incarnation(1),
            configuration_version=1,
            body=(body,),  # type: ignore[arg-type]
        )
        self.control_bytes += len(encode_message(message))


class NoPreemption(DamaskleadPolicy):
    """Damasklead's policy without preemption."""

    name = "ours, no preemption"
    options = DispatchOptions(allow_preemption=False)


class RoundRobin(Policy):
    """Each entry sends to the next engine at once; engines have FIFO queues."""

    name = "round-robin FIFO"

    def submit(self, arrival: Arrival) -> None:
        """Send a request to the next engine."""
        self._send_attempt(arrival, 0)

    def choose_engine(self, arrival: Arrival) -> Engine:
        """Return the next running engine."""
        alive_engines = [engine for engine in self.engines.values() if engine.is_alive]
        return alive_engines[self._attempt_count % len(alive_engines)]

    def get_priority(self, arrival: Arrival) -> int:
        """Return the priority in the engine's queue."""
        return 1

    def record_attempt_end(self, engine: Engine, arrival: Arrival) -> None:
        """Record the end of an attempt."""

    def _send_attempt(self, arrival: Arrival, retry_count: int) -> None:
        if not any(engine.is_alive for engine in self.engines.values()):
            self.simulator.schedule(
                TICK_SECONDS, lambda: self._send_attempt(arrival, retry_count)
            )
            return
        engine = self.choose_engine(arrival)
        request = arrival.request
        received_tokens = 0

        def on_tokens(count: int) -> None:
            nonlocal received_tokens
            received_tokens += count
            self.record_tokens(request, count)

        def on_end(is_complete: bool) -> None:
            self.record_attempt_end(engine, arrival)
            if is_complete:
                self.record_completion(request)
                return
            self.wasted_tokens += received_tokens
            self.records[request.id].received_tokens = 0
            if retry_count < 3:
                self.simulator.schedule(
                    0.1, lambda: self._send_attempt(arrival, retry_count + 1)
                )

        engine_request = EngineRequest(
            request=request,
            attempt=self.make_attempt_id(),
            remaining_tokens=arrival.output_tokens,
            priority=self.get_priority(arrival),
            on_tokens=on_tokens,
            on_end=on_end,
        )
        self.simulator.schedule(
            MESSAGE_DELAY_SECONDS, lambda: engine.submit_request(engine_request)
        )


class LeastOutstanding(RoundRobin):
    """
    Each entry sends to the engine with the fewest of its own outstanding requests.

    Engines queue requests by tier.
    """

    name = "least outstanding"

    def start(self) -> None:
        """Start with no outstanding requests."""
        self.request_counts = [
            dict.fromkeys(self.engines, 0) for _ in range(ENTRY_COUNT)
        ]

    def choose_engine(self, arrival: Arrival) -> Engine:
        """Return the engine with the fewest outstanding requests of the entry."""
        request_counts = self.request_counts[arrival.entry_index]
        alive_engines = [
            name for name, engine in self.engines.items() if engine.is_alive
        ]
        chosen = min(
            alive_engines, key=lambda name: (request_counts[name], self.random.random())
        )
        request_counts[chosen] += 1
        return self.engines[chosen]

    def get_priority(self, arrival: Arrival) -> int:
        """Return the tier of the request."""
        return arrival.request.tier

    def record_attempt_end(self, engine: Engine, arrival: Arrival) -> None:
        """Count one outstanding request less."""
        self.request_counts[arrival.entry_index][engine.name] -= 1


class Clairvoyant(Policy):
    """
    One queue with the current state of all engines.

    It refuses culprits, and keeps the tokens of attempts that were preempted or lost.
    """

    name = "clairvoyant"

    def start(self) -> None:
        """Start with an empty queue."""
        self._queue: list[tuple[int, float, int, Arrival]] = []
        self._running: dict[AttemptId, tuple[Arrival, Engine]] = {}
        self.simulator.schedule(TICK_SECONDS, self._process_queue)

    def submit(self, arrival: Arrival) -> None:
        """Queue a request, and start requests for which there is capacity."""
        if arrival.request.fingerprint.startswith("poison"):
            self.records[arrival.request.id].is_refused = True
            return
        self._enqueue(arrival)
        self._start_queued_requests()

    def _enqueue(self, arrival: Arrival) -> None:
        request = arrival.request
        heapq.heappush(
            self._queue, (request.tier, request.deadline, self._attempt_count, arrival)
        )
        self._attempt_count += 1

    def _process_queue(self) -> None:
        self._start_queued_requests()
        self.simulator.schedule(TICK_SECONDS, self._process_queue)

    def _start_queued_requests(self) -> None:
        while self._queue:
            engine = self._find_engine()
            if engine is None and not self._preempt_request(self._queue[0][0]):
                return
            if engine is not None:
                self._send_attempt(heapq.heappop(self._queue)[3], engine)

    def _find_engine(self) -> Engine | None:
        available_engines = [
            engine
            for engine in self.engines.values()
            if engine.is_alive
            and engine.request_count < TARGET_BATCH_SIZE
            and (engine.slowdown_factor < 2.0 or self._queue[0][0] == 5)
        ]
        return min(
            available_engines, key=lambda engine: engine.request_count, default=None
        )

    def _preempt_request(self, tier: int) -> bool:
        """Preempt a running request of the lowest tier, which keeps its tokens."""
        lower = [
            (arrival.request.tier, attempt)
            for attempt, (arrival, _) in self._running.items()
            if arrival.request.tier > tier
        ]
        if not lower:
            return False
        _, attempt = max(lower)
        arrival, engine = self._running.pop(attempt)
        engine.cancel_request(attempt)
        self._enqueue(arrival)
        return True

    def _send_attempt(self, arrival: Arrival, engine: Engine) -> None:
        request = arrival.request
        attempt = self.make_attempt_id()
        self._running[attempt] = (arrival, engine)

        def on_tokens(count: int) -> None:
            self.record_tokens(request, count)
            request.generated_tokens += count

        def on_end(is_complete: bool) -> None:
            if self._running.pop(attempt, None) is None:
                return
            if is_complete:
                self.record_completion(request)
            else:
                self._enqueue(arrival)
            self._start_queued_requests()

        engine_request = EngineRequest(
            request=request,
            attempt=attempt,
            remaining_tokens=arrival.output_tokens - request.generated_tokens,
            priority=request.tier,
            on_tokens=on_tokens,
            on_end=on_end,
        )
        engine.submit_request(engine_request)


POLICIES: tuple[type[Policy], ...] = (
    DamaskleadPolicy,
    RoundRobin,
    LeastOutstanding,
    Clairvoyant,
)
assert TARGET_BATCH_SIZE <= MAX_BATCH_SIZE
