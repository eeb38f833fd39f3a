"""
Admission
=========

Decides when a request to an engine may be sent, and which go first when not all can.

Load pattern: more prompts arrive than the engines can read.  If all are sent, they wait
in the engines, where first come is first served: soon each is late.  So requests of the
least urgent tier wait here until some engine has little left to read: those that can
still be in time go first, then tiers, then the earliest due.  One whose shared parts
have to be read takes an engine several times as long as one that finds them cached, so
it goes as if it were due later, within a bound: more of all are served, and those that
follow about the same subject find it read.  More urgent ones are sent at once; the
engines' own order by tier holds over all gateways.

No I/O: requests and the clock come in, decisions go out.
"""

import heapq
import math
from collections.abc import Callable, Collection

import msgspec

from damasklead.clock import Clock
from damasklead.gateway.calls import Call
from damasklead.gateway.refusals import Reason
from damasklead.ids import AttemptId
from damasklead.util import stable_hash

__all__ = ["AdmissionController", "Admit", "Decision", "Reject"]

# How far returns are spread, so that they don't come together.
RETRY_JITTER = 0.5
# Callers honour at most a third of the time that they have left.
MAX_RETRY_FRACTION = 0.33
# Requests that a coordinator keeps back at most; the rest is refused at once.
MAX_QUEUE_LENGTH = 200
# Requests that are weighed at one look, the first by rank: whoever can't be placed
# waits for an engine with cached parts, and the next may use another one.
MAX_CANDIDATES = 8
# What waits is looked through for requests without hope so often.
EXPIRY_SCAN_SECONDS = 0.05
# Seconds by which a request counts as due later for each second that an engine has to
# read for it, and the most, as a part of its target.
PREFILL_WEIGHT = 3.0
MAX_PREFILL_FRACTION = 0.75
# What has to be read for a request that waits is worked out so often.
PREFILL_ESTIMATE_SECONDS = 0.1
# A first event can't come sooner than this after sending.
MIN_FIRST_EVENT_SECONDS = 0.1


class Admit(msgspec.Struct, kw_only=True, frozen=True):
    """The request may be sent."""

    call: Call


class Reject(msgspec.Struct, kw_only=True, frozen=True):
    """The request is refused; ``retry_after`` is in seconds."""

    call: Call
    reason: Reason
    retry_after: float


Decision = Admit | Reject


class _QueuedCall(msgspec.Struct, kw_only=True):
    """A request that is kept back, and the delay by which it counts as due later."""

    call: Call
    delay: float = 0.0
    estimated_at: float = -math.inf


class AdmissionController:
    """
    The requests of one gateway to one service's engines.

    Parameters
    ----------
    clock : Clock
    has_room : callable
        Whether the engine that a request would go to has little left to read.
    is_urgent : callable
        Whether a request is sent at once, room or not.
    any_room : callable
        Whether any engine has room; asked first, since it costs less.
    seconds_of : callable
        How long all engines together need to read a request.
    reading_of : callable
        How long one engine needs to read what none has cached of a request.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        has_capacity: Callable[[Call], bool],
        is_urgent: Callable[[Call], bool],
        has_any_capacity: Callable[[], bool] = lambda: True,
        estimate_seconds: Callable[[Call], float] = lambda _call: 0.0,
        estimate_prefill_seconds: Callable[[Call], float] = lambda _call: 0.0,
    ) -> None:
        self._has_any_capacity = has_any_capacity
        self._estimate_seconds = estimate_seconds
        self._estimate_prefill_seconds = estimate_prefill_seconds
        self._scanned_at = 0.0
        self._expired_calls: list[Call] = []
        self._clock = clock
        self._has_capacity = has_capacity
        self._is_urgent = is_urgent
        self._queue: dict[AttemptId, _QueuedCall] = {}

    @property
    def queue_length(self) -> int:
        """How many requests are kept back."""
        return len(self._queue)

    @property
    def queued_calls(self) -> Collection[Call]:
        """The requests that are kept back."""
        return [item.call for item in self._queue.values()]

    def submit(self, call: Call) -> Decision | None:
        """Take in a request; ``None`` when it has to wait."""
        if self._is_urgent(call):
            return Admit(call=call)
        if not self._queue and self._has_capacity(call):
            return Admit(call=call)
        if len(self._queue) >= MAX_QUEUE_LENGTH:
            return self._reject(call)
        self._queue[call.id] = _QueuedCall(call=call)
        return None

    def withdraw(self, call: Call) -> None:
        """Take in that a request that waits has ended."""
        self._queue.pop(call.id, None)

    def decide_next(self) -> Decision | None:
        """
        Return a decision about a request that waits, ``None`` when there is none.

        What is sent changes what has room, so each is carried out before the next.
        """
        now = self._clock.now()
        if now - self._scanned_at >= EXPIRY_SCAN_SECONDS:
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
            if self._has_capacity(item.call):
                del self._queue[item.call.id]
                return Admit(call=item.call)
        return None

    def _find_expired(self, now: float) -> list[Call]:
        """
        Return the requests whose first event would come too late to be of use.

        They are refused at once: their callers may still be served elsewhere or later.
        """
        queue_seconds = MIN_FIRST_EVENT_SECONDS
        expired_calls: list[Call] = []
        for item in sorted(
            self._queue.values(), key=lambda item: self._sort_key(item, now)
        ):
            call = item.call
            seconds = self._estimate_seconds(call)
            if now + queue_seconds + seconds > call.useful_until:
                expired_calls.append(call)
            else:
                queue_seconds += seconds
        return expired_calls

    def _reject(self, call: Call) -> Reject:
        seconds_left = call.caller_deadline - self._clock.now()
        jitter = 1 - RETRY_JITTER * stable_hash(call.id) / 2**64
        seconds = max(0.0, MAX_RETRY_FRACTION * seconds_left * jitter)
        return Reject(call=call, reason=Reason.OVERLOADED, retry_after=seconds)

    def _sort_key(self, item: _QueuedCall, now: float) -> tuple[bool, int, float]:
        """Return what the lowest goes first by."""
        call = item.call
        if now - item.estimated_at >= PREFILL_ESTIMATE_SECONDS:
            item.estimated_at = now
            max_delay = MAX_PREFILL_FRACTION * call.route.target
            item.delay = min(
                PREFILL_WEIGHT * self._estimate_prefill_seconds(call), max_delay
            )
        return (now > call.due, call.tier, call.due + item.delay)
