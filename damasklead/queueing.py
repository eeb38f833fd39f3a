"""
Queue of one pool at one entry
==============================

Orders requests by strict priority of their tiers, by weighted fair queueing of
workspaces inside a tier (the cost is in tokens), and by earliest deadline first inside
a workspace.

Three properties hold and are tested:

* A request is refused because the queue is full only if no request of a lower tier is
  queued here.
* A class with a minimum share starts a request at the latest when its credit has
  reached the slot-seconds that its first request is expected to use.  The credit grows
  by ``minimum_share * slots`` slot-seconds a second while the class has a request
  queued.
* Inside a tier, requests that can still meet their deadline start before those that
  cannot, but a request past its deadline is skipped by at most
  ``LATE_START_INTERVAL - 1`` starts of the tier in a row.
"""

import heapq
from collections import OrderedDict
from collections.abc import Iterator

import msgspec

from damasklead.clock import Clock
from damasklead.configuration import RequestClass
from damasklead.cost_model import CostModel
from damasklead.ids import ClassName, RequestId, WorkspaceId
from damasklead.requests import Reason, Refuse, Request

__all__ = ["PoolQueue"]

LATE_START_INTERVAL = 8  # starts in a tier, one of them of a late request
RETRY_AFTER_SECONDS = 1.0


class _ClassQueue(msgspec.Struct, kw_only=True):
    """
    The queued requests of one class, in the order in which they were queued.

    Attributes
    ----------
    credit : float
        Slot-seconds accrued for the minimum share of the class.
    """

    request_class: RequestClass
    requests: OrderedDict[RequestId, Request]
    credit: float = 0.0


class _WorkspaceQueue:
    """The queued requests of one workspace in one tier, earliest deadline first."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Request]] = []

    def push(self, request: Request, sequence_number: int) -> None:
        heapq.heappush(self._heap, (request.deadline, sequence_number, request))

    def peek(self, sequence_numbers: dict[RequestId, int]) -> Request | None:
        """
        Return the first request that is still queued, dropping those that are not.

        Parameters
        ----------
        sequence_numbers : dict
            Sequence number of each queued request.  An entry of the heap with another
            number is stale: its request was removed, and perhaps queued again.
        """
        while self._heap:
            _, sequence_number, request = self._heap[0]
            if sequence_numbers.get(request.id) == sequence_number:
                return request
            heapq.heappop(self._heap)
        return None

    def pop_head(self) -> None:
        """Remove the request that ``peek`` returned."""
        heapq.heappop(self._heap)


class _TierQueues:
    """
    The queued requests of one tier.

    Attributes
    ----------
    workspace_queues : dict
        Requests that can still meet their deadline.
    late_requests : OrderedDict
        Requests past their deadline, in the order in which they were found late.
    served_tokens : dict
        Virtual time of each workspace: the tokens charged to it, divided by its weight.
    min_virtual_time : float
        Virtual time in weighted tokens of the workspace chosen last, before its request
        was charged.  A workspace that was idle continues from here, so that it has no
        advantage from the idle time.
    starts_since_late : int
        Number of starts since the last one of a late request, while any is queued.
    """

    def __init__(self) -> None:
        self.workspace_queues: dict[WorkspaceId, _WorkspaceQueue] = {}
        self.late_requests: OrderedDict[RequestId, Request] = OrderedDict()
        self.served_tokens: dict[WorkspaceId, float] = {}
        self.min_virtual_time = 0.0
        self.starts_since_late = 0

    def get_virtual_time(self, workspace: WorkspaceId) -> float:
        """
        Return the workspace's virtual time in weighted tokens, at least the minimum.
        """
        return max(self.served_tokens.get(workspace, 0.0), self.min_virtual_time)


class PoolQueue:
    """
    The requests that are queued at this entry for one pool.

    Parameters
    ----------
    clock : Clock
    costs : CostModel
        Estimates of response lengths, shared with the dispatcher, which updates them.
    """

    def __init__(self, *, clock: Clock, costs: CostModel) -> None:
        self._clock = clock
        self._costs = costs
        self._class_queues: dict[ClassName, _ClassQueue] = {}
        self._tiers: dict[int, _TierQueues] = {}
        self._sequence_numbers: dict[RequestId, int] = {}
        self._capacity = 0
        self._last_sequence_number = 0
        self._last_accrual_at = clock.now()

    def __len__(self) -> int:
        return len(self._sequence_numbers)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._sequence_numbers

    def update_classes(self, classes: tuple[RequestClass, ...]) -> None:
        """
        Apply the configured classes.

        Queued requests of a removed class stay queued until they start or expire.
        """
        for item in classes:
            class_queue = self._class_queues.get(item.name)
            if class_queue is None:
                self._class_queues[item.name] = _ClassQueue(
                    request_class=item, requests=OrderedDict()
                )
            else:
                class_queue.request_class = item
        self._capacity = sum(item.queue_bound for item in classes)

    def count_by_tier(self) -> dict[int, int]:
        """Return the number of queued requests in each tier that has any."""
        counts: dict[int, int] = {}
        for class_queue in self._class_queues.values():
            if class_queue.requests:
                tier = class_queue.request_class.tier
                counts[tier] = counts.get(tier, 0) + len(class_queue.requests)
        return counts

    def find_earliest(self, tier: int) -> Request | None:
        """
        Return a tier's queued request with the earliest deadline.

        Only the request that was queued first in each class is considered.
        """
        heads = [
            next(iter(class_queue.requests.values()))
            for class_queue in self._class_queues.values()
            if class_queue.requests and class_queue.request_class.tier == tier
        ]
        return min(heads, key=lambda item: item.deadline, default=None)

    def push(self, request: Request) -> list[Refuse]:
        """
        Queue a request, or refuse one when the queue is full.

        Returns
        -------
        list of Refuse
            The refusal of this request, or of one of a lower tier that it replaces;
            empty when the queue was not full.
        """
        class_queue = self._get_class_queue(request.request_class)
        is_full = (
            len(class_queue.requests) >= class_queue.request_class.queue_bound
            or len(self) >= self._capacity
        )
        refusals: list[Refuse] = []
        if is_full:
            victim = self._find_shed_candidate(below=request.tier)
            if victim is None:
                return [_make_refusal(request, Reason.QUEUE_FULL)]
            self.remove(victim.id)
            refusals.append(_make_refusal(victim, Reason.SHED))
        self._enqueue(request, class_queue)
        return refusals

    def requeue(self, request: Request) -> None:
        """Queue a request that was started before, even when the queue is full."""
        self.settle_charge(request)
        self._enqueue(request, self._get_class_queue(request.request_class))

    def remove(self, request_id: RequestId) -> bool:
        """Remove a request from the queue; returns whether it was queued."""
        if self._sequence_numbers.pop(request_id, None) is None:
            return False
        for class_queue in self._class_queues.values():
            class_queue.requests.pop(request_id, None)
        for tier in self._tiers.values():
            tier.late_requests.pop(request_id, None)
        return True

    def expire_requests(self) -> list[Refuse]:
        """
        Remove and refuse requests that were queued for too long.

        The limit is the maximum wait of the class, and also the deadline if a late
        response has no value to the caller.  Requests that an upstream may have
        executed are kept.
        """
        now = self._clock.now()
        refusals: list[Refuse] = []
        for request in self._find_expired(now):
            is_useless = (
                request.request_class.useless_after_deadline and now > request.deadline
            )
            self.remove(request.id)
            refusals.append(
                _make_refusal(
                    request,
                    Reason.DEADLINE_EXCEEDED if is_useless else Reason.WAITED_TOO_LONG,
                )
            )
        return refusals

    def drain(self) -> list[Request]:
        """Remove and return all queued requests."""
        requests = [
            item
            for class_queue in self._class_queues.values()
            for item in class_queue.requests.values()
        ]
        for request in requests:
            self.remove(request.id)
        return requests

    def pop(self, *, slots: float, admitted_tier: int) -> Request | None:
        """
        Remove and return the next request to start, ``None`` when none may start.

        Parameters
        ----------
        slots : float
            Number of slots of this entry, by which the credit of minimum shares grows.
        admitted_tier : int
            The lowest tier (largest number) that may start now.  A class with enough
            credit for its minimum share may start whatever its tier.
        """
        self._accrue_credit(slots)
        request = self._select_by_credit() or self._select_by_tier(admitted_tier)
        if request is None:
            return None
        self.remove(request.id)
        self._charge_workspace(request)
        return request

    def settle_charge(self, request: Request) -> None:
        """Replace a request's estimated charge by the tokens generated since then."""
        tier = self._tiers.get(request.tier)
        if tier is not None and request.charged_tokens:
            actual_tokens = request.generated_tokens - request.settled_tokens
            served_tokens = tier.served_tokens.get(request.workspace, 0.0)
            served_tokens += (actual_tokens - request.charged_tokens) / request.weight
            tier.served_tokens[request.workspace] = max(0.0, served_tokens)
        request.charged_tokens = 0.0
        request.settled_tokens = request.generated_tokens

    def _get_class_queue(self, request_class: RequestClass) -> _ClassQueue:
        class_queue = self._class_queues.get(request_class.name)
        if class_queue is None:
            class_queue = _ClassQueue(
                request_class=request_class, requests=OrderedDict()
            )
            self._class_queues[request_class.name] = class_queue
            self._capacity += request_class.queue_bound
        return class_queue

    def _enqueue(self, request: Request, class_queue: _ClassQueue) -> None:
        self._last_sequence_number += 1
        self._sequence_numbers[request.id] = self._last_sequence_number
        class_queue.requests[request.id] = request
        tier = self._tiers.setdefault(request.tier, _TierQueues())
        tier.workspace_queues.setdefault(request.workspace, _WorkspaceQueue()).push(
            request, self._last_sequence_number
        )

    def _find_shed_candidate(self, *, below: int) -> Request | None:
        """
        Return the request to shed: the newest of the lowest tier below a given one.

        Requests without any generated tokens are preferred.
        """
        tiers = [
            class_queue.request_class.tier
            for class_queue in self._class_queues.values()
            if class_queue.requests and class_queue.request_class.tier > below
        ]
        if not tiers:
            return None
        class_queues = [
            class_queue
            for class_queue in self._class_queues.values()
            if class_queue.requests and class_queue.request_class.tier == max(tiers)
        ]
        candidates = [
            next(reversed(class_queue.requests.values()))
            for class_queue in class_queues
        ]
        without_tokens = [item for item in candidates if not item.generated_tokens]
        return max(without_tokens or candidates, key=lambda item: item.arrival)

    def _find_expired(self, now: float) -> Iterator[Request]:
        for class_queue in self._class_queues.values():
            max_wait = class_queue.request_class.max_wait
            useless_after = class_queue.request_class.start_target
            max_seconds = (
                min(max_wait, useless_after)
                if class_queue.request_class.useless_after_deadline
                else max_wait
            )
            for request in list(class_queue.requests.values()):
                if (
                    now - request.arrival > max_seconds
                    and not request.may_have_executed
                ):
                    yield request

    def _accrue_credit(self, slots: float) -> None:
        now = self._clock.now()
        elapsed = now - self._last_accrual_at
        self._last_accrual_at = now
        if elapsed <= 0:
            return
        for class_queue in self._class_queues.values():
            share = class_queue.request_class.minimum_share
            if class_queue.requests and share:
                head = next(iter(class_queue.requests.values()))
                limit = self._estimate_cost(head)
                class_queue.credit = min(
                    limit, class_queue.credit + elapsed * share * slots
                )

    def _select_by_credit(self) -> Request | None:
        """Return the first request of a class whose credit covers its expected cost."""
        for class_queue in sorted(
            self._class_queues.values(), key=lambda item: item.request_class.tier
        ):
            if class_queue.requests and class_queue.request_class.minimum_share:
                head = next(iter(class_queue.requests.values()))
                if class_queue.credit >= self._estimate_cost(head):
                    return head
        return None

    def _select_by_tier(self, admitted_tier: int) -> Request | None:
        """Return the next request of the highest tier that has one and is admitted."""
        for number in sorted(self._tiers):
            if number > admitted_tier:
                return None
            request = self._select_in_tier(self._tiers[number])
            if request is not None:
                return request
        return None

    def _select_in_tier(self, tier: _TierQueues) -> Request | None:
        """Return the next request of a tier: of the least served workspace, or late."""
        self._move_late_requests(tier)
        heads = {
            workspace: head
            for workspace, workspace_queue in tier.workspace_queues.items()
            if (head := workspace_queue.peek(self._sequence_numbers)) is not None
            and head.id not in tier.late_requests
        }
        if tier.late_requests and (
            not heads or tier.starts_since_late >= LATE_START_INTERVAL - 1
        ):
            tier.starts_since_late = 0
            return next(iter(tier.late_requests.values()))
        if not heads:
            return None
        tier.starts_since_late += 1 if tier.late_requests else 0
        chosen = min(
            heads, key=lambda name: (tier.get_virtual_time(name), heads[name].deadline)
        )
        tier.min_virtual_time = max(
            tier.min_virtual_time, tier.get_virtual_time(chosen)
        )
        return heads[chosen]

    def _move_late_requests(self, tier: _TierQueues) -> None:
        """
        Move requests whose deadline has passed from their workspaces to the late ones.
        """
        now = self._clock.now()
        for workspace in list(tier.workspace_queues):
            workspace_queue = tier.workspace_queues[workspace]
            head = workspace_queue.peek(self._sequence_numbers)
            while head is not None and now > head.deadline:
                tier.late_requests[head.id] = head
                workspace_queue.pop_head()
                head = workspace_queue.peek(self._sequence_numbers)
            if head is None:
                del tier.workspace_queues[workspace]

    def _charge_workspace(self, request: Request) -> None:
        request_class = request.request_class
        request.charged_tokens = self._costs.estimate_tokens(
            request_class.name, request.workspace
        )
        tier = self._tiers[request.tier]
        virtual_start = tier.get_virtual_time(request.workspace)
        tier.served_tokens[request.workspace] = (
            virtual_start + request.charged_tokens / request.weight
        )
        class_queue = self._class_queues[request_class.name]
        class_queue.credit = max(0.0, class_queue.credit - self._estimate_cost(request))

    def _estimate_cost(self, request: Request) -> float:
        return self._costs.estimate_slot_seconds(
            request.request_class.name, request.workspace
        )


def _make_refusal(request: Request, reason: Reason) -> Refuse:
    return Refuse(
        request=request,
        reason=reason,
        outcome=request.outcome_without_response,
        retry_after=RETRY_AFTER_SECONDS,
    )
