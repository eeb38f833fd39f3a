"""
Dispatching
===========

Decides for each request at an entry when it starts, on which replica it runs, and
whether it is retried after a failure.

The dispatcher does no I/O.  Its methods are called on events, read the time from the
clock, and return the actions to carry out.  The daemon and the benchmark use the same
objects.
"""

import random
from collections.abc import Callable, Iterable

from damasklead.clock import Clock
from damasklead.configuration import Service, ServiceKind
from damasklead.cost_model import CostModel
from damasklead.ids import AttemptId, DataCentre, InstanceId, PoolId, RequestId
from damasklead.messages import Demand, Grant
from damasklead.preemption import (
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
from damasklead.retry_budget import BURST_RETRIES, RetryBudget
from damasklead.sharing import TIER_COUNT, ShareHolder

__all__ = ["PoolDispatcher"]

TOP_TIER = 1
LOWEST_PREEMPTING_TIER = 1  # the lowest tier that may preempt others
LOWEST_URGENT_TIER = 2  # the lowest tier that may exceed the share
URGENT_WAIT_FRACTION = 0.3  # of the start target, after which it may do so
MAX_FAILURES = 4  # failed attempts of one request
FAILURE_PENALTY_SECONDS = 1.0
REFUSAL_PENALTY_SECONDS = 0.2
NO_UPSTREAM_TIMEOUT_SECONDS = 5.0
FAILURE_RETRY_AFTER_SECONDS = 2.0


class PoolDispatcher:
    """
    The requests of one pool at one entry.

    Parameters
    ----------
    pool : PoolId
    service : Service
    clock : Clock
    data_centre : DataCentre
        The data centre of this entry.
    random_source : random.Random
        Source of random numbers, seeded differently in each entry.
    costs : CostModel
        Estimates of response lengths, updated with each complete response.
    quarantine : Quarantine
    new_attempt_id : callable
        Returns an id that no other attempt of any entry has.
    get_request_rate : callable
        Returns the requests per second that this entry may send to a replica, ``None``
        when they are not limited.
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
        get_request_rate: Callable[[InstanceId], float | None] = lambda _: None,
        options: DispatchOptions | None = None,
    ) -> None:
        self.pool = pool
        self.share = ShareHolder(clock=clock)
        self.replicas = ReplicaChooser(
            clock=clock,
            data_centre=data_centre,
            random_source=random_source,
            get_request_rate=get_request_rate,
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
        self._running_counts = [0] * (TIER_COUNT + 1)
        self._entry_count = 1
        self._last_reachable_at = clock.now()
        self._preemptable_ids: set[RequestId] = set()
        self.update_service(service)

    @property
    def attempts(self) -> dict[AttemptId, Attempt]:
        """The running attempts by id."""
        return self._attempts

    @property
    def queue_length(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    def update_service(self, service: Service) -> None:
        """Apply a changed configuration of the service."""
        self._service = service
        self._queue.update_classes(service.classes)

    def set_replicas(
        self, replicas: Iterable[ReplicaInfo], *, entry_count: int
    ) -> list[Action]:
        """Set the replicas that may take new requests, and the number of entries."""
        self._entry_count = max(1, entry_count)
        self.replicas.update_replicas(replicas, entry_count=self._entry_count)
        self._resize_budget()
        return self._start_queued()

    def apply_grant(self, grant: Grant) -> list[Action]:
        """Apply the share that the coordinator granted."""
        self.share.apply_grant(grant)
        ejected = self.replicas.record_loads(grant.replicas)
        self._resize_budget()
        return [
            *self._migrate_from(ejected),
            *self._start_queued(),
            *self._preempt_excess(),
        ]

    def build_demand(self) -> Demand:
        """Return the demand to report to the coordinator."""
        waiting = self._queue.count_by_tier()
        return Demand(
            pool=self.pool,
            running=tuple(self._running_counts[1:]),
            waiting=tuple(waiting.get(tier, 0) for tier in range(1, TIER_COUNT + 1)),
        )

    def submit_request(
        self, request: Request, *, is_preemptable: bool = False
    ) -> list[Action]:
        """
        Start, queue or refuse a new request.

        Parameters
        ----------
        request : Request
        is_preemptable : bool
            Whether the request can be cancelled and continued later without losing the
            generated tokens.
        """
        if self._quarantine.is_any_quarantined(request.all_fingerprints):
            return [_make_refusal(request, Reason.QUARANTINED, retry_after=None)]
        if is_preemptable:
            self._preemptable_ids.add(request.id)
        actions: list[Action] = list(self._queue.push(request))
        actions.extend(self._start_queued())
        if request.id in self._queue:
            actions.extend(self._preempt_for(request))
        return actions

    def cancel_request(self, request_id: RequestId) -> list[Action]:
        """Remove a request whose caller disconnected."""
        if self._queue.remove(request_id):
            self._preemptable_ids.discard(request_id)
            return []
        for attempt in list(self._attempts.values()):
            if attempt.request.id == request_id:
                self._remove_attempt(attempt)
                self._preemptable_ids.discard(request_id)
                cancel = Cancel(
                    request=attempt.request,
                    attempt=attempt.id,
                    replica=attempt.replica,
                    requeued=False,
                )
                return [cancel, *self._start_queued()]
        return []

    def record_events(self, attempt_id: AttemptId, *, event_count: int) -> list[Action]:
        """
        Record that the caller received more events of an attempt's response.

        Parameters
        ----------
        attempt_id : str
        event_count : int
            Number of events since the previous call.
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
        if attempt.request.version is None:
            # What another version generates doesn't fit to these events.
            attempt.request.version = self.replicas.get_version(attempt.replica)
        attempt.event_count += event_count
        attempt.request.generated_tokens += event_count
        return []

    def complete_attempt(self, attempt_id: AttemptId) -> list[Action]:
        """Record that the response of an attempt is complete."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return []
        self._remove_attempt(attempt)
        request = attempt.request
        self._preemptable_ids.discard(request.id)
        now = self._clock.now()
        self._costs.record_completion(
            request.request_class.name,
            request.workspace,
            tokens=request.generated_tokens,
            attempt_tokens=attempt.event_count,
            attempt_seconds=now - attempt.started_at,
        )
        self._queue.settle_charge(request)
        self._quarantine.record_success(request.fingerprint)
        ejected = self._record_token_gap(attempt, now)
        finish = Finish(request=request, tokens=request.generated_tokens)
        return [finish, *self._migrate_from(ejected), *self._start_queued()]

    def fail_attempt(self, attempt_id: AttemptId, failure: Failure) -> list[Action]:
        """Record that an attempt ended without a complete response."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return []
        self._remove_attempt(attempt)
        request = attempt.request
        is_unreachable = failure is Failure.NOT_SENT
        request.failure_count += not is_unreachable
        request.tried_replicas.append(attempt.replica)
        request.may_have_executed |= not failure.rules_out_execution
        penalty_seconds = (
            REFUSAL_PENALTY_SECONDS
            if failure is Failure.REFUSED
            else FAILURE_PENALTY_SECONDS
        )
        self.replicas.record_failure(
            attempt.replica, seconds=penalty_seconds, is_unreachable=is_unreachable
        )
        return [*self._handle_failure(request, failure), *self._start_queued()]

    def process_timeouts(self) -> list[Action]:
        """
        Apply what is due by time, and start queued requests.

        Refuses expired requests, restarts attempts whose first token is overdue, and
        refuses all queued requests when no replica has been reachable for some seconds.
        """
        if not self._attempts and not len(self._queue):
            self._last_reachable_at = self._clock.now()
            return []
        actions: list[Action] = list(self._queue.expire_requests())
        for refusal in actions:
            self._preemptable_ids.discard(refusal.request.id)
        actions.extend(self._check_first_tokens())
        actions.extend(self._check_reachability())
        actions.extend(self._start_queued())
        return actions

    def _resize_budget(self) -> None:
        """Let the retry budget cover the requests that run on a crashing replica."""
        self._budget.resize(max(BURST_RETRIES, float(self.replicas.capacity)))

    def _handle_failure(self, request: Request, failure: Failure) -> list[Action]:
        if self._quarantine.is_any_quarantined(request.all_fingerprints):
            return [self._refuse_after_attempt(request, Reason.QUARANTINED)]
        if not failure.rules_out_execution and not request.request_class.may_repeat:
            return [self._refuse_after_attempt(request, Reason.UPSTREAM_FAILED)]
        if not self.replicas.has_version_for(request):
            return [self._refuse_after_attempt(request, Reason.UPSTREAM_FAILED)]
        if request.failure_count >= MAX_FAILURES or not self._acquire_retry(failure):
            return [self._refuse_after_attempt(request, Reason.RETRIES_EXHAUSTED)]
        self._queue.requeue(request)
        return []

    def _acquire_retry(self, failure: Failure) -> bool:
        """
        Return whether the request may be retried, and charge the retry budget for it.

        An attempt that reached no upstream is free, since it caused no load there.
        """
        return failure is Failure.NOT_SENT or self._budget.acquire_retry()

    def _refuse_after_attempt(self, request: Request, reason: Reason) -> Refuse:
        self._preemptable_ids.discard(request.id)
        retry_after = (
            None if reason is Reason.QUARANTINED else FAILURE_RETRY_AFTER_SECONDS
        )
        return _make_refusal(request, reason, retry_after=retry_after)

    def _start_queued(self) -> list[Action]:
        """Start the queued requests for which there are slots and replicas."""
        actions: list[Action] = []
        unplaced: list[Request] = []
        slots = self._compute_slots()
        slot_count = float(sum(slots))
        while len(self._queue):
            admitted_tier = self._find_admitted_tier(slots)
            request = self._queue.pop(slots=slot_count, admitted_tier=admitted_tier)
            if request is None:
                break
            if self._quarantine.is_any_quarantined(request.all_fingerprints):
                actions.append(
                    _make_refusal(request, Reason.QUARANTINED, retry_after=None)
                )
                continue
            if not self.replicas.has_version_for(request):
                refusal = self._refuse_after_attempt(request, Reason.UPSTREAM_FAILED)
                actions.append(refusal)
                continue
            replica = self._choose_replica(request)
            if replica is not None:
                actions.append(self._start_attempt(request, replica))
                continue
            unplaced.append(request)
            # A request for one version must not delay the others.
            if request.version is None and not self._quarantine.is_suspect(
                request.fingerprint
            ):
                break
        for request in unplaced:
            self._queue.requeue(request)
        return actions

    def _choose_replica(self, request: Request) -> InstanceId | None:
        is_urgent = self._is_urgent(request)
        return self.replicas.choose_replica(
            request, use_hard_limit=is_urgent, candidates=self._find_candidates(request)
        )

    def _find_candidates(self, request: Request) -> frozenset[InstanceId]:
        """Return the replicas on which the quarantine lets a request run."""
        return self._quarantine.get_allowed_replicas(
            request.fingerprint, sorted(self.replicas.instances)
        )

    def _is_urgent(self, request: Request) -> bool:
        """
        Return whether a request may exceed the entry's share and the replicas' limits.

        Replicas still run no more requests than their hard limits.
        """
        if not self._options.allow_urgent_burst:
            return False
        if request.tier == TOP_TIER:
            return True
        waited = self._clock.now() - request.arrival
        target = request.request_class.start_target
        return (
            request.tier <= LOWEST_URGENT_TIER
            and waited > URGENT_WAIT_FRACTION * target
        )

    def _start_attempt(self, request: Request, replica: InstanceId) -> Start:
        now = self._clock.now()
        attempt = Attempt(
            id=self._new_attempt_id(),
            request=request,
            replica=replica,
            started_at=now,
            is_preemptable=request.id in self._preemptable_ids,
        )
        if not request.start_count:
            self._budget.record_first_attempt()
        request.start_count += 1
        self._attempts[attempt.id] = attempt
        self._running_counts[request.tier] += 1
        self.replicas.add_attempt(replica, attempt.id)
        return Start(request=request, attempt=attempt.id, replica=replica)

    def _remove_attempt(self, attempt: Attempt) -> None:
        """Remove an attempt that has ended or is to be cancelled."""
        del self._attempts[attempt.id]
        self._running_counts[attempt.request.tier] -= 1
        self.replicas.remove_attempt(attempt.replica, attempt.id)

    def _compute_slots(self) -> tuple[int, ...]:
        return self.share.compute_slots(
            capacity=self.replicas.capacity, entry_count=self._entry_count
        )

    def _find_admitted_tier(self, slots: tuple[int, ...]) -> int:
        """
        Return the lowest tier that may start a request, 0 when none may.

        A tier may use the slots of all tiers below it.
        """
        admitted_tier = self._find_urgent_tier()
        if sum(self._running_counts) >= sum(slots):
            return admitted_tier
        for tier in range(1, TIER_COUNT + 1):
            if sum(self._running_counts[tier:]) >= sum(slots[tier - 1 :]):
                break
            admitted_tier = max(admitted_tier, tier)
        return admitted_tier

    def _find_urgent_tier(self) -> int:
        """Return the lowest tier whose next request may exceed the share, or 0."""
        if not self._options.allow_urgent_burst:
            return 0
        for tier in range(LOWEST_URGENT_TIER, TOP_TIER, -1):
            head = self._queue.find_earliest(tier)
            if head is not None and self._is_urgent(head):
                return tier
        return TOP_TIER

    def _preempt_excess(self) -> list[Action]:
        """
        Preempt running requests of lower tiers that exceed the granted slots.

        Applies while requests of a higher tier are queued at any entry of the pool.
        """
        preempting_tier = self.share.preempting_tier
        if not preempting_tier or not self._options.allow_preemption:
            return []
        preempting_tier = min(preempting_tier, LOWEST_PREEMPTING_TIER)
        slots = self._compute_slots()
        excess_count = sum(self._running_counts[preempting_tier + 1 :]) - sum(
            slots[preempting_tier:]
        )
        return self._preempt_attempts(below=preempting_tier, count=excess_count)

    def _preempt_for(self, request: Request) -> list[Action]:
        """Preempt one request of a lower tier here for one that found no slot."""
        if not self._options.allow_preemption or request.tier > LOWEST_PREEMPTING_TIER:
            return []
        preempted = self._preempt_attempts(below=request.tier, count=1)
        return [*preempted, *self._start_queued()] if preempted else []

    def _preempt_attempts(self, *, below: int, count: int) -> list[Action]:
        """
        Cancel up to ``count`` attempts of tiers below one, and queue their requests.
        """
        victims = choose_victims(self._attempts.values(), below=below, count=count)
        return [self._requeue_attempt(attempt) for attempt in victims]

    def _requeue_attempt(self, attempt: Attempt) -> Cancel:
        self._remove_attempt(attempt)
        attempt.request.preemption_count += 1
        attempt.request.may_have_executed = True
        self._queue.requeue(attempt.request)
        return Cancel(
            request=attempt.request,
            attempt=attempt.id,
            replica=attempt.replica,
            requeued=True,
        )

    def _migrate_from(self, ejected: list[InstanceId]) -> list[Action]:
        """Requeue the preemptable requests that run on ejected replicas."""
        if not ejected or not self._options.migrate_from_stragglers:
            return []
        migrating = [
            attempt
            for attempt in self._attempts.values()
            if attempt.replica in ejected and may_preempt(attempt, 0)
        ]
        return [self._requeue_attempt(attempt) for attempt in migrating]

    def _check_first_tokens(self) -> list[Action]:
        """
        Requeue preemptable requests whose first token is overdue.

        Each takes a retry from the budget; without one, its attempt continues.
        """
        if self._service.kind is not ServiceKind.ENGINE:
            return []
        actions: list[Action] = []
        for attempt in find_overdue(self._attempts.values(), self._clock.now()):
            if self._budget.acquire_retry():
                attempt.request.tried_replicas.append(attempt.replica)
                actions.append(self._requeue_attempt(attempt))
        return actions

    def _check_reachability(self) -> list[Action]:
        """Refuse the queued requests when no replica was reachable for some seconds."""
        now = self._clock.now()
        if self.replicas.has_reachable_replica or not len(self._queue):
            self._last_reachable_at = now
            return []
        if now - self._last_reachable_at < NO_UPSTREAM_TIMEOUT_SECONDS:
            return []
        return [self._refuse_unreachable(request) for request in self._queue.drain()]

    def _refuse_unreachable(self, request: Request) -> Refuse:
        self._preemptable_ids.discard(request.id)
        return _make_refusal(
            request, Reason.NO_UPSTREAM, retry_after=NO_UPSTREAM_TIMEOUT_SECONDS
        )

    def _record_token_gap(self, attempt: Attempt, now: float) -> list[InstanceId]:
        if attempt.first_token_at is None or attempt.event_count < 2:
            return []
        token_gap = (now - attempt.first_token_at) / (attempt.event_count - 1)
        return self.replicas.record_token_gap(attempt.replica, token_gap)


def _make_refusal(
    request: Request, reason: Reason, *, retry_after: float | None
) -> Refuse:
    return Refuse(
        request=request,
        reason=reason,
        outcome=request.outcome_without_response,
        retry_after=retry_after,
    )
