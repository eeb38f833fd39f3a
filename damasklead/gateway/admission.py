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

__all__ = ["Admission", "Admit", "Decision", "Reject"]

# How far returns are spread, so that they don't come together.
RETRY_SPREAD = 0.5
# Callers honour at most a third of the time that they have left.
MOST_RETRY_SHARE = 0.33
# Requests that a coordinator keeps back at most; the rest is refused at once.
MOST_WAITING = 200
# Requests that are weighed at one look, the first by rank: whoever can't be placed
# waits for an engine with cached parts, and the next may use another one.
MOST_WEIGHED = 8
# What waits is looked through for requests without hope so often.
LOOK_THROUGH_SECONDS = 0.05
# Seconds by which a request counts as due later for each second that an engine has to
# read for it, and the most, as a part of its target.
READING_WEIGHT = 3.0
MOST_READING_SHARE = 0.75
# What has to be read for a request that waits is worked out so often.
WEIGH_SECONDS = 0.1
# A first event can't come sooner than this after sending.
LEAST_FIRST_EVENT_SECONDS = 0.1


class Admit(msgspec.Struct, kw_only=True, frozen=True):
    """The request may be sent."""

    call: Call


class Reject(msgspec.Struct, kw_only=True, frozen=True):
    """The request is refused; ``retry_after`` is in seconds."""

    call: Call
    reason: Reason
    retry_after: float


Decision = Admit | Reject


class _Waiting(msgspec.Struct, kw_only=True):
    """A request that is kept back, and the delay by which it counts as due later."""

    call: Call
    delay: float = 0.0
    weighed_at: float = -math.inf


class Admission:
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
        has_room: Callable[[Call], bool],
        is_urgent: Callable[[Call], bool],
        any_room: Callable[[], bool] = lambda: True,
        seconds_of: Callable[[Call], float] = lambda _call: 0.0,
        reading_of: Callable[[Call], float] = lambda _call: 0.0,
    ) -> None:
        self._any_room = any_room
        self._seconds_of = seconds_of
        self._reading_of = reading_of
        self._looked_at = 0.0
        self._too_late: list[Call] = []
        self._clock = clock
        self._has_room = has_room
        self._is_urgent = is_urgent
        self._waiting: dict[AttemptId, _Waiting] = {}

    @property
    def waiting(self) -> int:
        """How many requests are kept back."""
        return len(self._waiting)

    @property
    def calls(self) -> Collection[Call]:
        """The requests that are kept back."""
        return [item.call for item in self._waiting.values()]

    def submit(self, call: Call) -> Decision | None:
        """Take in a request; ``None`` when it has to wait."""
        if self._is_urgent(call):
            return Admit(call=call)
        if not self._waiting and self._has_room(call):
            return Admit(call=call)
        if len(self._waiting) >= MOST_WAITING:
            return self._reject(call)
        self._waiting[call.id] = _Waiting(call=call)
        return None

    def withdraw(self, call: Call) -> None:
        """Take in that a request that waits has ended."""
        self._waiting.pop(call.id, None)

    def next(self) -> Decision | None:
        """
        Return a decision about a request that waits, ``None`` when there is none.

        What is sent changes what has room, so each is carried out before the next.
        """
        now = self._clock.now()
        if now - self._looked_at >= LOOK_THROUGH_SECONDS:
            self._looked_at = now
            self._too_late = self._find_too_late(now)
        while self._too_late:
            call = self._too_late.pop()
            if self._waiting.pop(call.id, None) is not None:
                return self._reject(call)
        if not self._waiting or not self._any_room():
            return None
        for item in heapq.nsmallest(
            MOST_WEIGHED, self._waiting.values(), key=lambda item: self._rank(item, now)
        ):
            if self._has_room(item.call):
                del self._waiting[item.call.id]
                return Admit(call=item.call)
        return None

    def _find_too_late(self, now: float) -> list[Call]:
        """
        Return the requests whose first event would come too late to be of use.

        They are refused at once: their callers may still be served elsewhere or later.
        """
        wait = LEAST_FIRST_EVENT_SECONDS
        too_late: list[Call] = []
        for item in sorted(
            self._waiting.values(), key=lambda item: self._rank(item, now)
        ):
            call = item.call
            seconds = self._seconds_of(call)
            if now + wait + seconds > call.useful_until:
                too_late.append(call)
            else:
                wait += seconds
        return too_late

    def _reject(self, call: Call) -> Reject:
        left = call.caller_deadline - self._clock.now()
        spread = 1 - RETRY_SPREAD * stable_hash(call.id) / 2**64
        seconds = max(0.0, MOST_RETRY_SHARE * left * spread)
        return Reject(call=call, reason=Reason.OVERLOADED, retry_after=seconds)

    def _rank(self, item: _Waiting, now: float) -> tuple[bool, int, float]:
        """Return what the lowest goes first by."""
        call = item.call
        if now - item.weighed_at >= WEIGH_SECONDS:
            item.weighed_at = now
            most = MOST_READING_SHARE * call.route.target
            item.delay = min(READING_WEIGHT * self._reading_of(call), most)
        return (now > call.due, call.tier, call.due + item.delay)
