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

__all__ = ["PartMemory", "ReplicaState"]

# First pause after a failed connection or a broken answer, and the longest one.
AVOID_SECONDS = 0.5
MAX_AVOID_SECONDS = 4.0
# Longest pause that a replica is granted; a longer one is a mistake of the replica's.
MAX_PAUSE_SECONDS = 60.0
# A replica that says that it is full is full for about a request's time.
FULL_AVOID_SECONDS = 0.1
# Half-life of what a load answer says: requests last about a second.
HINT_HALF_LIFE = 0.7
# Weight of the newest outcome in the share of failures.
FAILURE_RATE_WEIGHT = 0.1


class PartMemory:
    """
    Prompt parts that were lately sent to a replica, the least recently used dropped.

    Parameters
    ----------
    capacity : int
        Tokens that the replica can keep.

    Examples
    --------
    >>> memory = PartMemory(capacity=100)
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


class _Sent(msgspec.Struct, kw_only=True):
    """A request that runs or waits at a replica, and what of its prompt is unread."""

    at: float
    unread_tokens: int
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
    parts : PartMemory
        Prompt parts sent there.
    avoid_until : float
        Clock reading until which others go first.
    paused_until : float
        Clock reading until which the replica gets nothing from this gateway.
    """

    def __init__(self, *, record: UpstreamRecord, memory_tokens: int) -> None:
        self.record = record
        self.key = short_key(record.instance)
        self.parts = PartMemory(capacity=memory_tokens)
        self.avoid_until = 0.0
        self.paused_until = 0.0
        self._sent: dict[AttemptId, _Sent] = {}
        self._unread = 0
        self._hint: LoadHint | None = None
        self._hint_at = 0.0
        self._heard_at = 0.0
        self._pause = 0.0
        self._failure_rate = 0.0

    @property
    def own(self) -> int:
        """Requests of this gateway there."""
        return len(self._sent)

    @property
    def unread_tokens(self) -> int:
        """Prompt tokens of own requests that the replica has not read yet."""
        return self._unread

    @property
    def failure_rate(self) -> float:
        """Recent share of attempts that failed."""
        return self._failure_rate

    def take_record(self, record: UpstreamRecord) -> bool:
        """
        Take the list's newer entry; a new incarnation begins without a past.

        Returns
        -------
        bool
            Whether it is a new incarnation.
        """
        restarted = record.incarnation != self.record.incarnation
        if record.incarnation != self.record.incarnation:
            self.parts.clear()
            self.avoid_until = 0.0
            self.paused_until = 0.0
            self._pause = 0.0
            self._failure_rate = 0.0
            self._hint = None
        self.record = record
        return restarted

    def sent(self, call: Call, *, unread_tokens: int, now: float) -> None:
        """Count a request that is being sent."""
        self.ended(call)
        self._sent[call.id] = _Sent(at=now, unread_tokens=unread_tokens)
        self._unread += unread_tokens
        for part in call.head.prompt:
            self.parts.add(part.key, part.tokens)

    def progressed(self, call: Call, *, now: float) -> None:
        """Take in an event of a stream: its prompt was read."""
        self._heard_at = now
        sent = self._sent.get(call.id)
        if sent is not None:
            self._unread -= sent.unread_tokens
            sent.unread_tokens = 0
            sent.events += 1

    def ended(self, call: Call) -> None:
        """Count a request as ended."""
        sent = self._sent.pop(call.id, None)
        if sent is not None:
            self._unread -= sent.unread_tokens

    def heard(self, hint: LoadHint | None, *, now: float) -> None:
        """Take in the head of an answer."""
        self._heard_at = now
        if hint is not None:
            self._hint, self._hint_at = hint, now

    def pause(self, seconds: float, *, now: float) -> float:
        """
        Take in that the replica wants no request for some time; returns the seconds
        that it gets.  A shorter request for a pause does not end a longer one.
        """
        # A comparison with NaN is false, so it gets none.
        granted = min(seconds, MAX_PAUSE_SECONDS) if seconds > 0 else 0.0
        self.paused_until = max(self.paused_until, now + granted)
        return granted

    def succeeded(self) -> None:
        """Take in a whole answer."""
        self._pause = 0.0
        self.avoid_until = 0.0
        self._failure_rate *= 1 - FAILURE_RATE_WEIGHT

    def failed(self, failure: Failure, *, now: float) -> None:
        """Take in a failed attempt: others go first for a while."""
        if failure in (Failure.REFUSED, Failure.PAUSED):
            self.avoid_until = max(self.avoid_until, now + FULL_AVOID_SECONDS)
            return
        self._failure_rate += FAILURE_RATE_WEIGHT * (1 - self._failure_rate)
        self._pause = min(2 * self._pause or AVOID_SECONDS, MAX_AVOID_SECONDS)
        self.avoid_until = now + self._pause

    def others(self, now: float) -> float:
        """Estimate the requests of other gateways that run or wait there."""
        if self._hint is None:
            return 0.0
        fresh = 0.5 ** ((now - self._hint_at) / HINT_HALF_LIFE)
        return max(0.0, self._hint.running + self._hint.waiting - self.own) * fresh

    def hint_age(self, now: float) -> float:
        """Return the age of the replica's load answer in seconds; -1 without one."""
        return -1.0 if self._hint is None else now - self._hint_at

    def silent_for(self, now: float) -> float:
        """
        Return the seconds since the replica was heard while a request there waits for
        its first byte; 0 when none does.
        """
        waiting = [item.at for item in self._sent.values() if not item.events]
        if not waiting:
            return 0.0
        return now - max(min(waiting), self._heard_at)
