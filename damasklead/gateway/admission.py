"""
Admission
=========

Decides when a request may be sent to an engine, and in which order queued requests are
sent.

Load pattern: more prompts arrive than the engines can prefill.  If all were sent, they
would queue in the engines, first in, first out within a tier, and soon each would miss
its target.  Therefore requests of the least urgent tier are queued here until an
engine has little prefill work left.  Requests that can still meet their target go
first, then those of a more urgent tier, then those whose target is due earliest.

A request whose shared prefix is not cached takes an engine several times as long as one
that hits the cache.  It is ordered as if its target were due later, by a bounded delay:
more requests are served in total, and later ones with the same prefix hit the cache.
While a burst lasts this alone would keep long prompts waiting behind newer short ones
until they are rejected; hence prompt sizes that are admitted much less often than
others precede them within their tier.  So do the requests of workspaces that are
admitted much less often than others, where gateways name the workspace.

More urgent requests are sent at once; the engines order them by tier over all gateways.

No I/O: the inputs are requests and the time, the outputs are decisions.
"""

import heapq
import math
from collections.abc import Callable, Collection

import msgspec

from damasklead.clock import Clock
from damasklead.gateway.admission_fairness import SizeFairness, WorkspaceFairness
from damasklead.gateway.calls import Call
from damasklead.gateway.refusals import Reason
from damasklead.ids import AttemptId
from damasklead.util import stable_hash

__all__ = ["AdmissionController", "Admit", "Decision", "Reject"]

# Jitter of the retry time, as a fraction of it, so that rejected callers don't retry at
# the same time.
RETRY_JITTER_FRACTION = 0.5
# Maximum retry time as a fraction of the time until the caller's deadline: callers
# honour at most a third of it.
MAX_RETRY_FRACTION = 0.33
# Maximum number of queued requests of a coordinator; further ones are rejected.
MAX_QUEUE_LENGTH = 200
# Number of requests at the head of the queue that are tried for one decision.  While a
# request waits for the engine that has its prefix cached, the next one may use another
# engine.
MAX_CANDIDATES = 8
# Interval between searches of the queue for requests that can't be served in time.
EXPIRY_SCAN_INTERVAL_SECONDS = 0.05
# Seconds of delay, in the order of the queue, per second of uncached prefill, and the
# maximum delay as a fraction of the request's target.
PREFILL_DELAY_FACTOR = 3.0
MAX_DELAY_FRACTION = 0.75
# Interval between estimates of a queued request's uncached prefill.
PREFILL_ESTIMATE_INTERVAL_SECONDS = 0.1
# Minimum time from sending a request to its first event.
MIN_FIRST_EVENT_SECONDS = 0.1


class Admit(msgspec.Struct, kw_only=True, frozen=True):
    """The request may be sent."""

    call: Call


class Reject(msgspec.Struct, kw_only=True, frozen=True):
    """The request is rejected; the caller may retry after ``retry_after`` seconds."""

    call: Call
    reason: Reason
    retry_after: float


Decision = Admit | Reject


class _QueuedCall(msgspec.Struct, kw_only=True):
    """
    A queued request.

    Attributes
    ----------
    call : Call
    delay : float
        Seconds by which the request is ordered as if its target were due later.
    estimated_at : float
        Clock reading of the last estimate of ``delay``.
    """

    call: Call
    delay: float = 0.0
    estimated_at: float = -math.inf


class AdmissionController:
    """
    Admission control and the queue for the engines of one cell.

    Parameters
    ----------
    clock : Clock
    has_capacity_for : callable
        Returns whether the engine that would be chosen for a request has little prefill
        work pending and a free slot.
    bypasses_queue : callable
        Returns whether a request is urgent, so that it is sent at once, even without
        capacity.
    has_any_capacity : callable
        Returns whether any engine has capacity; checked first, since it is cheaper.
    estimate_pool_prefill_seconds : callable
        Returns the seconds that all engines together need to prefill a request.
    estimate_prefill_seconds : callable
        Returns the seconds that one engine needs to prefill the part of a request that
        no engine has cached.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        has_capacity_for: Callable[[Call], bool],
        bypasses_queue: Callable[[Call], bool],
        has_any_capacity: Callable[[], bool] = lambda: True,
        estimate_pool_prefill_seconds: Callable[[Call], float] = lambda _call: 0.0,
        estimate_prefill_seconds: Callable[[Call], float] = lambda _call: 0.0,
    ) -> None:
        self._has_any_capacity = has_any_capacity
        self._estimate_pool_prefill_seconds = estimate_pool_prefill_seconds
        self._estimate_prefill_seconds = estimate_prefill_seconds
        self._scanned_at = 0.0
        self._expired_calls: list[Call] = []
        self._clock = clock
        self._has_capacity_for = has_capacity_for
        self._bypasses_queue = bypasses_queue
        self._queue: dict[AttemptId, _QueuedCall] = {}
        self._fairness = SizeFairness(clock=clock)
        self._workspace_fairness = WorkspaceFairness(clock=clock)
        self._displaced_calls: list[Call] = []

    @property
    def queue_length(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    @property
    def queued_calls(self) -> Collection[Call]:
        """The queued requests."""
        return [item.call for item in self._queue.values()]

    def submit_call(self, call: Call) -> Decision | None:
        """Return the decision on a new request; ``None`` if it is queued."""
        if self._bypasses_queue(call):
            return Admit(call=call)
        self._fairness.record_submitted(call)
        self._workspace_fairness.record_submitted(call)
        if not self._queue and self._has_capacity_for(call):
            return self._admit(call)
        if len(self._queue) >= MAX_QUEUE_LENGTH and not self._displace_for(call):
            return self._reject(call)
        self._queue[call.id] = _QueuedCall(call=call)
        return None

    def _displace_for(self, call: Call) -> bool:
        """
        Remove the last queued request if a new one has a more urgent tier, or an
        underserved workspace of the same tier; returns whether one was removed.

        Only requests whose workspace is known are compared.
        """
        if call.workspace is None:
            return False
        now = self._clock.now()
        last = max(
            self._queue.values(), key=lambda item: self._sort_key(item, now)
        ).call
        if self._get_rank(call) >= self._get_rank(last):
            return False
        del self._queue[last.id]
        self._displaced_calls.append(last)
        return True

    def _get_rank(self, call: Call) -> tuple[int, bool]:
        """Return the tier, and whether the workspace is served as often as others."""
        return call.tier, not self._workspace_fairness.is_underserved(call)

    def remove_call(self, call: Call) -> None:
        """Remove a request from the queue, if it is there."""
        self._queue.pop(call.id, None)
        self._displaced_calls = [x for x in self._displaced_calls if x.id != call.id]

    def decide_next(self) -> Decision | None:
        """
        Return a decision on a queued request, ``None`` if none can be made now.

        The caller must carry out each decision before it calls this again, since an
        admitted request uses capacity.
        """
        if self._displaced_calls:
            return self._reject(self._displaced_calls.pop())
        now = self._clock.now()
        if now - self._scanned_at >= EXPIRY_SCAN_INTERVAL_SECONDS:
            self._scanned_at = now
            self._expired_calls = self._find_expired(now)
        while self._expired_calls:
            call = self._expired_calls.pop()
            if self._queue.pop(call.id, None) is not None:
                return self._reject(call)
        if not self._queue or not self._has_any_capacity():
            return None
        for item in heapq.nsmallest(
            MAX_CANDIDATES,
            self._queue.values(),
            key=lambda item: self._sort_key(item, now),
        ):
            if self._has_capacity_for(item.call):
                del self._queue[item.call.id]
                return self._admit(item.call)
        return None

    def _find_expired(self, now: float) -> list[Call]:
        """
        Return the requests whose first event would come too late to be of use.

        They are rejected at once, so that their callers can still retry.
        """
        queue_seconds = MIN_FIRST_EVENT_SECONDS
        expired_calls: list[Call] = []
        for item in sorted(
            self._queue.values(), key=lambda item: self._sort_key(item, now)
        ):
            call = item.call
            seconds = self._estimate_pool_prefill_seconds(call)
            if now + queue_seconds + seconds > call.first_event_deadline:
                expired_calls.append(call)
            else:
                queue_seconds += seconds
        return expired_calls

    def _admit(self, call: Call) -> Admit:
        self._fairness.record_admitted(call)
        self._workspace_fairness.record_admitted(call)
        return Admit(call=call)

    def _reject(self, call: Call) -> Reject:
        seconds_left = call.caller_deadline - self._clock.now()
        jitter = 1 - RETRY_JITTER_FRACTION * stable_hash(call.id) / 2**64
        seconds = max(0.0, MAX_RETRY_FRACTION * seconds_left * jitter)
        return Reject(call=call, reason=Reason.OVERLOADED, retry_after=seconds)

    def _sort_key(
        self, item: _QueuedCall, now: float
    ) -> tuple[bool, int, bool, bool, float]:
        """Return the sort key of a queued request; the lowest is served first."""
        call = item.call
        if now - item.estimated_at >= PREFILL_ESTIMATE_INTERVAL_SECONDS:
            item.estimated_at = now
            max_delay = MAX_DELAY_FRACTION * call.route.target
            item.delay = min(
                PREFILL_DELAY_FACTOR * self._estimate_prefill_seconds(call), max_delay
            )
        return (
            now > call.target_deadline,
            *self._get_rank(call),
            not self._fairness.is_underserved(call),
            call.target_deadline + item.delay,
        )
