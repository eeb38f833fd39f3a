"""
State of a replica
==================

What one gateway knows of one replica: its own requests there, the replica's load
answers, and failures.
"""

from collections import OrderedDict

import msgspec

from damasklead.failures import Failure
from damasklead.gateway.calls import Call, LoadHint, UpstreamRecord
from damasklead.ids import AttemptId
from damasklead.util import short_key

__all__ = ["PartCacheModel", "ReplicaState"]

# First pause after a failed connection or a broken answer, and the longest one.
MIN_PENALTY_SECONDS = 0.5
MAX_PENALTY_SECONDS = 4.0
# Longest pause that a replica is granted; a longer one is a mistake of the replica's.
MAX_PAUSE_SECONDS = 60.0
# A replica that says that it is full is full for about a request's time.
FULL_PENALTY_SECONDS = 0.1
# Half-life of what a load answer says: requests last about a second.
LOAD_HINT_HALF_LIFE_SECONDS = 0.7
# Weight of the newest outcome in the share of failures.
FAILURE_RATE_WEIGHT = 0.1


class PartCacheModel:
    """
    Prompt parts that were lately sent to a replica, the least recently used dropped.

    Parameters
    ----------
    capacity : int
        Tokens that the replica can keep.

    Examples
    --------
    >>> memory = PartCacheModel(capacity=100)
    >>> memory.add("a", 60); memory.add("b", 60)
    >>> "a" in memory, "b" in memory
    (False, True)
    """

    def __init__(self, *, capacity: int) -> None:
        self._capacity = capacity
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def __contains__(self, key: str) -> bool:
        return key in self._parts

    def add(self, key: str, tokens: int) -> None:
        """Note that a part was sent."""
        self._tokens += tokens - self._parts.pop(key, 0)
        self._parts[key] = tokens
        while self._tokens > self._capacity and len(self._parts) > 1:
            self._tokens -= self._parts.popitem(last=False)[1]

    def clear(self) -> None:
        """Forget everything, as the replica did when it started again."""
        self._parts.clear()
        self._tokens = 0


class _ActiveRequest(msgspec.Struct, kw_only=True):
    """A request that runs or waits at a replica, and what of its prompt is unread."""

    sent_at: float
    pending_prefill_tokens: int
    events: int = 0


class ReplicaState:
    """
    One replica as this gateway sees it.

    Attributes
    ----------
    record : UpstreamRecord
        The list's entry.
    key : int
        Short key of the replica.
    parts : PartCacheModel
        Prompt parts sent there.
    avoid_until : float
        Clock reading until which others go first.
    paused_until : float
        Clock reading until which the replica gets nothing from this gateway.
    """

    def __init__(self, *, record: UpstreamRecord, memory_tokens: int) -> None:
        self.record = record
        self.key = short_key(record.instance)
        self.cached_parts = PartCacheModel(capacity=memory_tokens)
        self.penalty_until = 0.0
        self.paused_until = 0.0
        self._active_requests: dict[AttemptId, _ActiveRequest] = {}
        self._pending_prefill_tokens = 0
        self._hint: LoadHint | None = None
        self._hint_at = 0.0
        self._last_response_at = 0.0
        self._penalty_seconds = 0.0
        self._failure_rate = 0.0

    @property
    def own_requests(self) -> int:
        """Requests of this gateway there."""
        return len(self._active_requests)

    @property
    def pending_prefill_tokens(self) -> int:
        """Prompt tokens of own requests that the replica has not read yet."""
        return self._pending_prefill_tokens

    @property
    def failure_rate(self) -> float:
        """Recent share of attempts that failed."""
        return self._failure_rate

    def update_record(self, record: UpstreamRecord) -> bool:
        """
        Take the list's newer entry; a new incarnation begins without a past.

        Returns
        -------
        bool
            Whether it is a new incarnation.
        """
        restarted = record.incarnation != self.record.incarnation
        if record.incarnation != self.record.incarnation:
            self.cached_parts.clear()
            self.penalty_until = 0.0
            self.paused_until = 0.0
            self._penalty_seconds = 0.0
            self._failure_rate = 0.0
            self._hint = None
        self.record = record
        return restarted

    def record_sent(self, call: Call, *, prefill_tokens: int, now: float) -> None:
        """Count a request that is being sent."""
        self.remove_request(call)
        self._active_requests[call.id] = _ActiveRequest(
            sent_at=now, pending_prefill_tokens=prefill_tokens
        )
        self._pending_prefill_tokens += prefill_tokens
        for part in call.head.prompt:
            self.cached_parts.add(part.key, part.tokens)

    def record_stream_event(self, call: Call, *, now: float) -> None:
        """Take in an event of a stream: its prompt was read."""
        self._last_response_at = now
        sent = self._active_requests.get(call.id)
        if sent is not None:
            self._pending_prefill_tokens -= sent.pending_prefill_tokens
            sent.pending_prefill_tokens = 0
            sent.events += 1

    def remove_request(self, call: Call) -> None:
        """Count a request as ended."""
        sent = self._active_requests.pop(call.id, None)
        if sent is not None:
            self._pending_prefill_tokens -= sent.pending_prefill_tokens

    def record_response_head(self, hint: LoadHint | None, *, now: float) -> None:
        """Take in the head of an answer."""
        self._last_response_at = now
        if hint is not None:
            self._hint, self._hint_at = hint, now

    def pause_requests(self, seconds: float, *, now: float) -> float:
        """
        Take in that the replica wants no request for some time; returns the seconds
        that it gets.  A shorter request for a pause does not end a longer one.
        """
        # A comparison with NaN is false, so it gets none.
        granted = min(seconds, MAX_PAUSE_SECONDS) if seconds > 0 else 0.0
        self.paused_until = max(self.paused_until, now + granted)
        return granted

    def record_success(self) -> None:
        """Take in a whole answer."""
        self._penalty_seconds = 0.0
        self.penalty_until = 0.0
        self._failure_rate *= 1 - FAILURE_RATE_WEIGHT

    def record_failure(self, failure: Failure, *, now: float) -> None:
        """Take in a failed attempt: others go first for a while."""
        if failure in (Failure.REFUSED, Failure.PAUSED):
            self.penalty_until = max(self.penalty_until, now + FULL_PENALTY_SECONDS)
            return
        self._failure_rate += FAILURE_RATE_WEIGHT * (1 - self._failure_rate)
        self._penalty_seconds = min(
            2 * self._penalty_seconds or MIN_PENALTY_SECONDS, MAX_PENALTY_SECONDS
        )
        self.penalty_until = now + self._penalty_seconds

    def estimate_other_requests(self, now: float) -> float:
        """Estimate the requests of other gateways that run or wait there."""
        if self._hint is None:
            return 0.0
        fresh = 0.5 ** ((now - self._hint_at) / LOAD_HINT_HALF_LIFE_SECONDS)
        return (
            max(0.0, self._hint.running + self._hint.waiting - self.own_requests)
            * fresh
        )

    def compute_hint_age(self, now: float) -> float:
        """Return the age of the replica's load answer in seconds; -1 without one."""
        return -1.0 if self._hint is None else now - self._hint_at

    def compute_stall_seconds(self, now: float) -> float:
        """
        Return the seconds since the replica was heard while a request there waits for
        its first byte; 0 when none does.
        """
        waiting = [
            item.sent_at for item in self._active_requests.values() if not item.events
        ]
        if not waiting:
            return 0.0
        return now - max(min(waiting), self._last_response_at)
