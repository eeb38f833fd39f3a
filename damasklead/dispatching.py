"""
Dispatching
===========

Decides for each request at an entry when it starts, where it runs and what follows a
failure.

The objects here hold no I/O: calls come in with the clock's time, and actions go out.
The daemon and the bench drive the same objects.
"""

import random
from collections.abc import Callable, Iterable

from damasklead.clock import Clock
from damasklead.configuration import Service, ServiceKind
from damasklead.ids import AttemptId, DataCentre, InstanceId, PoolId, RequestId
from damasklead.learning import CostModel
from damasklead.messages import Demand, Grant
from damasklead.preempting import (
    Attempt,
    DispatchOptions,
    choose_victims,
    find_overdue,
    may_preempt,
)
from damasklead.quarantine import Quarantine
from damasklead.queueing import PoolQueue
from damasklead.replicas import ReplicaChooser, ReplicaInfo
from damasklead.requests import (
    Action,
    Cancel,
    Failure,
    Finish,
    Reason,
    Refuse,
    Request,
    Start,
)
from damasklead.retrying import BURST_RETRIES, RetryBudget
from damasklead.sharing import TIER_COUNT, ShareHolder

__all__ = ["PoolDispatcher"]

TOP_TIER = 1
PREEMPTING_TIER = 1  # the lowest tier for which others give way
URGENT_TIER = 2
URGENT_FRACTION = 0.3  # of the target that a request has waited
MAX_FAILURES = 4
BROKEN_AVOID_SECONDS = 1.0
REFUSED_AVOID_SECONDS = 0.2
NO_UPSTREAM_SECONDS = 5.0
RETRY_AFTER_FAILURE = 2.0  # seconds


class PoolDispatcher:
    """
    The requests of one pool at one entry.

    Parameters
    ----------
    pool : PoolId
    service : Service
    clock : Clock
    data_centre : DataCentre
        Where this entry is.
    random_source : random.Random
        Seeded differently in each entry.
    costs : CostModel
    quarantine : Quarantine
    new_attempt_id : callable
        Returns ids that no other attempt of any entry has.
    options : DispatchOptions
    """

    def __init__(
        self,
        *,
        pool: PoolId,
        service: Service,
        clock: Clock,
        data_centre: DataCentre,
        random_source: random.Random,
        costs: CostModel,
        quarantine: Quarantine,
        new_attempt_id: Callable[[], AttemptId],
        options: DispatchOptions | None = None,
    ) -> None:
        self.pool = pool
        self.share = ShareHolder(clock=clock)
        self.replicas = ReplicaChooser(
            clock=clock, data_centre=data_centre, random_source=random_source
        )
        self._service = service
        self._clock = clock
        self._costs = costs
        self._quarantine = quarantine
        self._new_attempt_id = new_attempt_id
        self._options = options or DispatchOptions()
        self._queue = PoolQueue(clock=clock, costs=costs)
        self._budget = RetryBudget()
        self._attempts: dict[AttemptId, Attempt] = {}
        self._running = [0] * (TIER_COUNT + 1)
        self._entry_count = 1
        self._replica_seen_at = clock.now()
        self._preemptable: set[RequestId] = set()
        self.update_service(service)

    @property
    def attempts(self) -> dict[AttemptId, Attempt]:
        """The attempts that run, by id."""
        return self._attempts

    @property
    def queue_length(self) -> int:
        """How many requests wait."""
        return len(self._queue)

    def update_service(self, service: Service) -> None:
        """Take the service's classes in force."""
        self._service = service
        self._queue.update_classes(service.classes)

    def set_replicas(
        self, replicas: Iterable[ReplicaInfo], *, entry_count: int
    ) -> list[Action]:
        """Take the replicas that may take new work and the number of entries."""
        self._entry_count = max(1, entry_count)
        self.replicas.update_replicas(replicas, entry_count=self._entry_count)
        self._resize_budget()
        return self._fill()

    def apply_grant(self, grant: Grant) -> list[Action]:
        """Take a share from the coordinator."""
        self.share.apply_grant(grant)
        ejected = self.replicas.record_loads(grant.replicas)
        self._resize_budget()
        return [*self._leave_stragglers(ejected), *self._fill(), *self._yield_share()]

    def build_demand(self) -> Demand:
        """Return what to tell the coordinator."""
        waiting = self._queue.count_by_tier()
        return Demand(
            pool=self.pool,
            running=tuple(self._running[1:]),
            waiting=tuple(waiting.get(tier, 0) for tier in range(1, TIER_COUNT + 1)),
        )

    def submit_request(
        self, request: Request, *, is_preemptable: bool = False
    ) -> list[Action]:
        """
        Take in a request.

        Parameters
        ----------
        is_preemptable : bool
            Whether the request can be cancelled and go on later without loss.
        """
        if self._quarantine.is_named(request.fingerprint):
            return [_refuse(request, Reason.QUARANTINED, retry_after=None)]
        if is_preemptable:
            self._preemptable.add(request.id)
        actions: list[Action] = list(self._queue.push(request))
        actions.extend(self._fill())
        if request.id in self._queue:
            actions.extend(self._make_room(request))
        return actions

    def cancel_request(self, request_id: RequestId) -> list[Action]:
        """Take in that the caller has gone."""
        if self._queue.remove(request_id):
            self._preemptable.discard(request_id)
            return []
        for attempt in list(self._attempts.values()):
            if attempt.request.id == request_id:
                self._end(attempt)
                self._preemptable.discard(request_id)
                cancel = Cancel(
                    request=attempt.request,
                    attempt=attempt.id,
                    replica=attempt.replica,
                    requeued=False,
                )
                return [cancel, *self._fill()]
        return []

    def record_events(self, attempt_id: AttemptId, *, event_count: int) -> list[Action]:
        """
        Take in that ``event_count`` more events of an attempt's answer have reached the
        caller.
        """
        attempt = self._attempts.get(attempt_id)
        if attempt is None or event_count <= 0:
            return []
        if attempt.first_token_at is None:
            attempt.first_token_at = self._clock.now()
            self.replicas.record_response(attempt.replica)
            self.share.record_first_token_latency(
                attempt.first_token_at - attempt.started_at
            )
        attempt.event_count += event_count
        attempt.request.generated_tokens += event_count
        return []

    def complete_attempt(self, attempt_id: AttemptId) -> list[Action]:
        """Take in that an attempt's answer is whole."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return []
        self._end(attempt)
        request = attempt.request
        self._preemptable.discard(request.id)
        now = self._clock.now()
        self._costs.record_completion(
            request.request_class.name,
            request.workspace,
            tokens=request.generated_tokens,
            seconds=now - attempt.started_at
            if attempt.event_count == request.generated_tokens
            else 0.0,
        )
        self._queue.settle_charge(request)
        self._quarantine.clear(request.fingerprint)
        ejected = self._observe_gap(attempt, now)
        done = Finish(request=request, tokens=request.generated_tokens)
        return [done, *self._leave_stragglers(ejected), *self._fill()]

    def fail_attempt(self, attempt_id: AttemptId, failure: Failure) -> list[Action]:
        """Take in that an attempt ended without a whole answer."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return []
        self._end(attempt)
        request = attempt.request
        unreachable = failure is Failure.NOT_SENT
        request.failure_count += not unreachable
        request.tried_replicas.append(attempt.replica)
        request.may_have_executed |= not failure.surely_unrun
        avoid = (
            REFUSED_AVOID_SECONDS
            if failure is Failure.REFUSED
            else BROKEN_AVOID_SECONDS
        )
        self.replicas.record_failure(
            attempt.replica, seconds=avoid, is_unreachable=unreachable
        )
        return [*self._after_failure(request, failure), *self._fill()]

    def process_timeouts(self) -> list[Action]:
        """
        Let time pass: refuse what waited too long, give up on silent attempts, start
        more.
        """
        if not self._attempts and not len(self._queue):
            self._replica_seen_at = self._clock.now()
            return []
        actions: list[Action] = list(self._queue.expire_requests())
        for refused in actions:
            self._preemptable.discard(refused.request.id)
        actions.extend(self._check_patience())
        actions.extend(self._check_upstreams())
        actions.extend(self._fill())
        return actions

    def _resize_budget(self) -> None:
        """Let the budget cover the crash of a replica with all that runs there."""
        self._budget.resize(max(BURST_RETRIES, float(self.replicas.capacity)))

    def _after_failure(self, request: Request, failure: Failure) -> list[Action]:
        if self._quarantine.is_named(request.fingerprint):
            return [self._final(request, Reason.QUARANTINED)]
        if not failure.surely_unrun and not request.request_class.may_repeat:
            return [self._final(request, Reason.UPSTREAM_FAILED)]
        if request.failure_count >= MAX_FAILURES or not self._may_retry(failure):
            return [self._final(request, Reason.RETRIES_EXHAUSTED)]
        self._queue.requeue(request)
        return []

    def _may_retry(self, failure: Failure) -> bool:
        """
        Tell whether a retry may follow; one that reached no upstream adds no load.
        """
        return failure is Failure.NOT_SENT or self._budget.acquire_retry()

    def _final(self, request: Request, reason: Reason) -> Refuse:
        self._preemptable.discard(request.id)
        retry_after = None if reason is Reason.QUARANTINED else RETRY_AFTER_FAILURE
        return _refuse(request, reason, retry_after=retry_after)

    def _fill(self) -> list[Action]:
        """Start what may start now."""
        actions: list[Action] = []
        held: list[Request] = []
        slots = self._slots()
        total = float(sum(slots))
        while len(self._queue):
            admitted = self._admitted_tier(slots)
            request = self._queue.pop(slots=total, admitted_tier=admitted)
            if request is None:
                break
            if self._quarantine.is_named(request.fingerprint):
                actions.append(_refuse(request, Reason.QUARANTINED, retry_after=None))
                continue
            replica = self._place(request)
            if replica is not None:
                actions.append(self._start(request, replica))
                continue
            held.append(request)
            if not self._quarantine.is_suspect(request.fingerprint):
                break
        for request in held:
            self._queue.requeue(request)
        return actions

    def _place(self, request: Request) -> InstanceId | None:
        beyond = self._is_urgent(request)
        return self.replicas.choose_replica(
            request, use_hard_limit=beyond, candidates=self._among(request)
        )

    def _among(self, request: Request) -> frozenset[InstanceId]:
        """Return the replicas that may run a request."""
        return self._quarantine.may_run_on(
            request.fingerprint, sorted(self.replicas.instances)
        )

    def _is_urgent(self, request: Request) -> bool:
        """
        Tell whether a request may go beyond share and limit, up to the hard limit.
        """
        if not self._options.allow_top_tier_burst:
            return False
        if request.tier == TOP_TIER:
            return True
        waited = self._clock.now() - request.arrival
        target = request.request_class.start_target
        return request.tier <= URGENT_TIER and waited > URGENT_FRACTION * target

    def _start(self, request: Request, replica: InstanceId) -> Start:
        now = self._clock.now()
        attempt = Attempt(
            id=self._new_attempt_id(),
            request=request,
            replica=replica,
            started_at=now,
            is_preemptable=request.id in self._preemptable,
        )
        if not request.start_count:
            self._budget.record_first_attempt()
        request.start_count += 1
        self._attempts[attempt.id] = attempt
        self._running[request.tier] += 1
        self.replicas.add_attempt(replica, attempt.id)
        return Start(request=request, attempt=attempt.id, replica=replica)

    def _end(self, attempt: Attempt) -> None:
        """Count an attempt as ended."""
        del self._attempts[attempt.id]
        self._running[attempt.request.tier] -= 1
        self.replicas.remove_attempt(attempt.replica, attempt.id)

    def _slots(self) -> tuple[int, ...]:
        return self.share.compute_slots(
            capacity=self.replicas.capacity, entry_count=self._entry_count
        )

    def _admitted_tier(self, slots: tuple[int, ...]) -> int:
        """
        Return the lowest tier that may start: each may use the slots of those below it.
        """
        admitted = self._urgent_tier()
        if sum(self._running) >= sum(slots):
            return admitted
        for tier in range(1, TIER_COUNT + 1):
            if sum(self._running[tier:]) >= sum(slots[tier - 1 :]):
                break
            admitted = max(admitted, tier)
        return admitted

    def _urgent_tier(self) -> int:
        """Return the lowest tier whose next request may go beyond the share."""
        if not self._options.allow_top_tier_burst:
            return 0
        for tier in range(URGENT_TIER, TOP_TIER, -1):
            head = self._queue.find_earliest(tier)
            if head is not None and self._is_urgent(head):
                return tier
        return TOP_TIER

    def _yield_share(self) -> list[Action]:
        """
        Preempt running requests below a tier that waits somewhere, down to the grant.
        """
        pressed = self.share.preempting_tier
        if not pressed or not self._options.allow_preemption:
            return []
        pressed = min(pressed, PREEMPTING_TIER)
        slots = self._slots()
        excess = sum(self._running[pressed + 1 :]) - sum(slots[pressed:])
        return self._preempt(below=pressed, count=excess)

    def _make_room(self, request: Request) -> list[Action]:
        """Preempt one lower request of this entry for one that found no slot."""
        if not self._options.allow_preemption or request.tier > PREEMPTING_TIER:
            return []
        preempted = self._preempt(below=request.tier, count=1)
        return [*preempted, *self._fill()] if preempted else []

    def _preempt(self, *, below: int, count: int) -> list[Action]:
        """
        Cancel up to ``count`` attempts of tiers below one; they wait again and go on
        later.
        """
        victims = choose_victims(self._attempts.values(), below=below, count=count)
        return [self._requeue_running(attempt) for attempt in victims]

    def _requeue_running(self, attempt: Attempt) -> Cancel:
        self._end(attempt)
        attempt.request.preemption_count += 1
        attempt.request.may_have_executed = True
        self._queue.requeue(attempt.request)
        return Cancel(
            request=attempt.request,
            attempt=attempt.id,
            replica=attempt.replica,
            requeued=True,
        )

    def _leave_stragglers(self, ejected: list[InstanceId]) -> list[Action]:
        """Let requests on ejected replicas go on elsewhere."""
        if not ejected or not self._options.migrate_from_stragglers:
            return []
        moved = [
            attempt
            for attempt in self._attempts.values()
            if attempt.replica in ejected and may_preempt(attempt, 0)
        ]
        return [self._requeue_running(attempt) for attempt in moved]

    def _check_patience(self) -> list[Action]:
        """Start anew elsewhere what had no first token for long and may be repeated."""
        if self._service.kind is not ServiceKind.ENGINE:
            return []
        actions: list[Action] = []
        for attempt in find_overdue(self._attempts.values(), self._clock.now()):
            if self._budget.acquire_retry():
                attempt.request.tried_replicas.append(attempt.replica)
                actions.append(self._requeue_running(attempt))
        return actions

    def _check_upstreams(self) -> list[Action]:
        """Refuse what waits while there has been no replica for some seconds."""
        now = self._clock.now()
        if self.replicas.has_reachable_replica or not len(self._queue):
            self._replica_seen_at = now
            return []
        if now - self._replica_seen_at < NO_UPSTREAM_SECONDS:
            return []
        return [self._final_waiting(request) for request in self._queue.drain()]

    def _final_waiting(self, request: Request) -> Refuse:
        self._preemptable.discard(request.id)
        return _refuse(request, Reason.NO_UPSTREAM, retry_after=NO_UPSTREAM_SECONDS)

    def _observe_gap(self, attempt: Attempt, now: float) -> list[InstanceId]:
        if attempt.first_token_at is None or attempt.event_count < 2:
            return []
        gap = (now - attempt.first_token_at) / (attempt.event_count - 1)
        return self.replicas.record_token_gap(attempt.replica, gap)


def _refuse(request: Request, reason: Reason, *, retry_after: float | None) -> Refuse:
    return Refuse(
        request=request,
        reason=reason,
        outcome=request.unanswered_outcome,
        retry_after=retry_after,
    )
