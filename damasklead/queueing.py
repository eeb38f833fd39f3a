"""
Queue of one pool at one entry
==============================

Tiers strictly first, workspaces fair by token cost inside a tier, deadlines inside a
workspace.

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
from damasklead.ids import ClassName, RequestId, WorkspaceId
from damasklead.learning import CostModel
from damasklead.requests import Reason, Refuse, Request

__all__ = ["PoolQueue"]

LATE_START_INTERVAL = 8
RETRY_AFTER_FULL = 1.0  # seconds


class _ClassLine(msgspec.Struct, kw_only=True):
    """
    The requests of one class in order of arrival, with the class's credit in slot-
    seconds.
    """

    request_class: RequestClass
    waiting: OrderedDict[RequestId, Request]
    credit: float = 0.0


class _Lane:
    """The waiting requests of one workspace in one tier, by deadline."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Request]] = []

    def push(self, request: Request, sequence: int) -> None:
        heapq.heappush(self._heap, (request.deadline, sequence, request))

    def head(self, waiting: dict[RequestId, int]) -> Request | None:
        """Return the earliest request that still waits, dropping those that do not."""
        while self._heap:
            _, sequence, request = self._heap[0]
            if waiting.get(request.id) == sequence:
                return request
            heapq.heappop(self._heap)
        return None

    def drop_head(self) -> None:
        """Remove the request that ``head`` returned."""
        heapq.heappop(self._heap)


class _Tier:
    """One tier: a lane for each workspace, and those that are late already."""

    def __init__(self) -> None:
        self.lanes: dict[WorkspaceId, _Lane] = {}
        self.late: OrderedDict[RequestId, Request] = OrderedDict()
        self.served: dict[WorkspaceId, float] = {}
        self.floor = 0.0
        self.since_late = 0

    def virtual_time(self, workspace: WorkspaceId) -> float:
        """
        Return the workspace's service so far in weighted tokens, never below the floor.
        """
        return max(self.served.get(workspace, 0.0), self.floor)


class PoolQueue:
    """
    The requests that wait at this entry for one pool.

    Parameters
    ----------
    clock : Clock
    costs : CostModel
        Expected lengths; shared with the dispatcher that corrects them.
    """

    def __init__(self, *, clock: Clock, costs: CostModel) -> None:
        self._clock = clock
        self._costs = costs
        self._lines: dict[ClassName, _ClassLine] = {}
        self._tiers: dict[int, _Tier] = {}
        self._waiting: dict[RequestId, int] = {}
        self._room = 0
        self._sequence = 0
        self._credited_at = clock.now()

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._waiting

    def update_classes(self, classes: tuple[RequestClass, ...]) -> None:
        """
        Take the classes in force; classes that are gone drain what they still hold.
        """
        for item in classes:
            line = self._lines.get(item.name)
            if line is None:
                self._lines[item.name] = _ClassLine(
                    request_class=item, waiting=OrderedDict()
                )
            else:
                line.request_class = item
        self._room = sum(item.queue_bound for item in classes)

    def count_by_tier(self) -> dict[int, int]:
        """Return how many requests wait in each tier."""
        counts: dict[int, int] = {}
        for line in self._lines.values():
            if line.waiting:
                tier = line.request_class.tier
                counts[tier] = counts.get(tier, 0) + len(line.waiting)
        return counts

    def find_earliest(self, tier: int) -> Request | None:
        """Return the waiting request of a tier that arrived first of its class."""
        heads = [
            next(iter(line.waiting.values()))
            for line in self._lines.values()
            if line.waiting and line.request_class.tier == tier
        ]
        return min(heads, key=lambda item: item.deadline, default=None)

    def push(self, request: Request) -> list[Refuse]:
        """
        Let a request wait; what has no room is refused as not run.

        Returns
        -------
        list of Refuse
            The request itself, or one of a lower tier in whose place it waits.
        """
        line = self._line(request.request_class)
        full = (
            len(line.waiting) >= line.request_class.queue_bound
            or len(self) >= self._room
        )
        refused: list[Refuse] = []
        if full:
            victim = self._lowest(below=request.tier)
            if victim is None:
                return [_refuse(request, Reason.QUEUE_FULL)]
            self.remove(victim.id)
            refused.append(_refuse(victim, Reason.SHED))
        self._insert(request, line)
        return refused

    def requeue(self, request: Request) -> None:
        """Let a request wait again that was admitted before; it always has room."""
        self.settle_charge(request)
        self._insert(request, self._line(request.request_class))

    def remove(self, request_id: RequestId) -> bool:
        """Take a request out; returns whether it waited."""
        if self._waiting.pop(request_id, None) is None:
            return False
        for line in self._lines.values():
            line.waiting.pop(request_id, None)
        for tier in self._tiers.values():
            tier.late.pop(request_id, None)
        return True

    def expire_requests(self) -> list[Refuse]:
        """
        Refuse what waited too long or can't be in time for a class that needs it so.
        """
        now = self._clock.now()
        expired: list[Refuse] = []
        for request in self._overdue(now):
            useless = request.request_class.late_useless and now > request.deadline
            self.remove(request.id)
            expired.append(
                _refuse(
                    request,
                    Reason.DEADLINE_EXCEEDED if useless else Reason.WAITED_TOO_LONG,
                )
            )
        return expired

    def drain(self) -> list[Request]:
        """Take out everything that waits."""
        requests = [
            item for line in self._lines.values() for item in line.waiting.values()
        ]
        for request in requests:
            self.remove(request.id)
        return requests

    def pop(self, *, slots: float, admitted_tier: int) -> Request | None:
        """
        Take the next request to start.

        Parameters
        ----------
        slots : float
            The entry's slots, from which the credit of minimum shares grows.
        admitted_tier : int
            The lowest tier (largest number) that may start now.
        """
        self._grow_credit(slots)
        request = self._by_credit() or self._by_tier(admitted_tier)
        if request is None:
            return None
        self.remove(request.id)
        self._charge(request)
        return request

    def settle_charge(self, request: Request) -> None:
        """Replace the expected cost that a request was charged by what it came to."""
        tier = self._tiers.get(request.tier)
        if tier is not None and request.charged_tokens:
            actual = request.generated_tokens - request.settled_tokens
            served = tier.served.get(request.workspace, 0.0)
            served += (actual - request.charged_tokens) / request.weight
            tier.served[request.workspace] = max(0.0, served)
        request.charged_tokens = 0.0
        request.settled_tokens = request.generated_tokens

    def _line(self, request_class: RequestClass) -> _ClassLine:
        line = self._lines.get(request_class.name)
        if line is None:
            line = _ClassLine(request_class=request_class, waiting=OrderedDict())
            self._lines[request_class.name] = line
            self._room += request_class.queue_bound
        return line

    def _insert(self, request: Request, line: _ClassLine) -> None:
        self._sequence += 1
        self._waiting[request.id] = self._sequence
        line.waiting[request.id] = request
        tier = self._tiers.setdefault(request.tier, _Tier())
        tier.lanes.setdefault(request.workspace, _Lane()).push(request, self._sequence)

    def _lowest(self, *, below: int) -> Request | None:
        """
        Return the request to give up first: of the lowest tier, the last to arrive.
        """
        tiers = [
            line.request_class.tier
            for line in self._lines.values()
            if line.waiting and line.request_class.tier > below
        ]
        if not tiers:
            return None
        lines = [
            line
            for line in self._lines.values()
            if line.waiting and line.request_class.tier == max(tiers)
        ]
        candidates = [next(reversed(line.waiting.values())) for line in lines]
        fresh = [item for item in candidates if not item.generated_tokens]
        return max(fresh or candidates, key=lambda item: item.arrival)

    def _overdue(self, now: float) -> Iterator[Request]:
        for line in self._lines.values():
            max_wait = line.request_class.max_wait
            useless_after = line.request_class.start_target
            bound = (
                min(max_wait, useless_after)
                if line.request_class.late_useless
                else max_wait
            )
            for request in list(line.waiting.values()):
                if now - request.arrival > bound and not request.may_have_executed:
                    yield request

    def _grow_credit(self, slots: float) -> None:
        now = self._clock.now()
        elapsed = now - self._credited_at
        self._credited_at = now
        if elapsed <= 0:
            return
        for line in self._lines.values():
            share = line.request_class.minimum_share
            if line.waiting and share:
                head = next(iter(line.waiting.values()))
                limit = self._cost(head)
                line.credit = min(limit, line.credit + elapsed * share * slots)

    def _by_credit(self) -> Request | None:
        for line in sorted(
            self._lines.values(), key=lambda item: item.request_class.tier
        ):
            if line.waiting and line.request_class.minimum_share:
                head = next(iter(line.waiting.values()))
                if line.credit >= self._cost(head):
                    return head
        return None

    def _by_tier(self, admitted_tier: int) -> Request | None:
        for number in sorted(self._tiers):
            if number > admitted_tier:
                return None
            request = self._pick(self._tiers[number])
            if request is not None:
                return request
        return None

    def _pick(self, tier: _Tier) -> Request | None:
        self._move_late(tier)
        heads = {
            workspace: head
            for workspace, lane in tier.lanes.items()
            if (head := lane.head(self._waiting)) is not None
            and head.id not in tier.late
        }
        if tier.late and (not heads or tier.since_late >= LATE_START_INTERVAL - 1):
            tier.since_late = 0
            return next(iter(tier.late.values()))
        if not heads:
            return None
        tier.since_late += 1 if tier.late else 0
        chosen = min(
            heads, key=lambda name: (tier.virtual_time(name), heads[name].deadline)
        )
        tier.floor = max(tier.floor, tier.virtual_time(chosen))
        return heads[chosen]

    def _move_late(self, tier: _Tier) -> None:
        """
        Move the heads whose deadline has passed from their lanes to the late ones.
        """
        now = self._clock.now()
        for workspace in list(tier.lanes):
            lane = tier.lanes[workspace]
            head = lane.head(self._waiting)
            while head is not None and now > head.deadline:
                tier.late[head.id] = head
                lane.drop_head()
                head = lane.head(self._waiting)
            if head is None:
                del tier.lanes[workspace]

    def _charge(self, request: Request) -> None:
        request_class = request.request_class
        request.charged_tokens = self._costs.estimate_tokens(
            request_class.name, request.workspace
        )
        tier = self._tiers[request.tier]
        start = tier.virtual_time(request.workspace)
        tier.served[request.workspace] = start + request.charged_tokens / request.weight
        line = self._lines[request_class.name]
        line.credit = max(0.0, line.credit - self._cost(request))

    def _cost(self, request: Request) -> float:
        return self._costs.estimate_slot_seconds(
            request.request_class.name, request.workspace
        )


def _refuse(request: Request, reason: Reason) -> Refuse:
    return Refuse(
        request=request,
        reason=reason,
        outcome=request.unanswered_outcome,
        retry_after=RETRY_AFTER_FULL,
    )
