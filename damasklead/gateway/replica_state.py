"""
State of a replica
==================

What one gateway knows of one replica: its own active requests there, the load that the
replica reports, and recent failures.
"""

import math
from collections import OrderedDict

import msgspec

from damasklead.failures import Failure
from damasklead.gateway.calls import Call, LoadHint, UpstreamRecord
from damasklead.gateway.replica_room import ReplicaRoom
from damasklead.ids import AttemptId
from damasklead.rejection_limits import SlotShare
from damasklead.util import hash_name

__all__ = ["PartCacheModel", "ReplicaState", "ServiceTime"]

# First and maximum penalty after a failed connection or a broken response; it doubles
# with each further failure.
MIN_PENALTY_SECONDS = 0.5
MAX_PENALTY_SECONDS = 4.0
# Penalty of a replica that reports that it is full: about the duration of a request.
FULL_PENALTY_SECONDS = 0.1
# Half-life of the load that a replica has reported: requests last about a second.
LOAD_HINT_HALF_LIFE_SECONDS = 0.7
# Weight of the newest outcome in the moving average of the failure rate.
FAILURE_RATE_WEIGHT = 0.1


class PartCacheModel:
    """
    Estimate of the prompt parts in a replica's prefix cache.

    The parts that were sent to the replica are assumed to be cached and to be evicted
    in LRU order.

    Parameters
    ----------
    capacity : int
        Capacity of the replica's cache in tokens.

    Examples
    --------
    >>> cache = PartCacheModel(capacity=100)
    >>> cache.add("a", 60); cache.add("b", 60)
    >>> "a" in cache, "b" in cache
    (False, True)
    """

    def __init__(self, *, capacity: int) -> None:
        self._capacity = capacity
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def __contains__(self, key: str) -> bool:
        return key in self._parts

    def add(self, key: str, tokens: int) -> None:
        """Add a part that was sent, and evict the least recently used ones."""
        self._tokens += tokens - self._parts.pop(key, 0)
        self._parts[key] = tokens
        while self._tokens > self._capacity and len(self._parts) > 1:
            self._tokens -= self._parts.popitem(last=False)[1]

    def clear(self) -> None:
        """Remove all parts: the replica has restarted with an empty cache."""
        self._parts.clear()
        self._tokens = 0


class _ActiveRequest(msgspec.Struct, kw_only=True):
    """
    A request of this gateway that is queued or executed at a replica.

    Attributes
    ----------
    sent_at : float
        Clock time in seconds.
    pending_prefill_tokens : int
        Prompt tokens that the replica has still to prefill.
    events : int
        Number of events of the response stream received so far.
    work_tokens : int
        Prompt tokens that the replica had to prefill until the first event, with those
        of earlier requests.
    last_event_at : float
        Clock time in seconds of the last event, or of sending.
    is_timed : bool
        Whether it is known when the request was sent.
    """

    sent_at: float
    pending_prefill_tokens: int
    events: int = 0
    work_tokens: int = 0
    last_event_at: float = 0.0
    is_timed: bool = True


class ServiceTime(msgspec.Struct, frozen=True):
    """
    How long a replica took for an event of a stream.

    Attributes
    ----------
    seconds : float
        Time since the last event, or since the request was sent.
    is_first : bool
        Whether it is the first event.
    work_tokens : int
        Prompt tokens that the replica had to prefill until the first event.
    """

    seconds: float
    is_first: bool
    work_tokens: int


class ReplicaState:
    """
    State of one replica, from what this gateway has sent to it and received from it.

    Attributes
    ----------
    record : UpstreamRecord
        The replica's entry in the platform's list.
    key : int
        Short hash of the replica's id.
    cached_parts : PartCacheModel
        Prompt parts that the replica probably has in its prefix cache.
    penalty_until : float
        Clock time in seconds until which other replicas are preferred.
    paused_until : float
        Clock time in seconds until which this gateway sends the replica no request;
        infinity until it starts again.
    last_sent_at : float
        Clock time in seconds at which the last request was sent; minus infinity before.
    """

    def __init__(self, *, record: UpstreamRecord, memory_tokens: int) -> None:
        self.record = record
        self.key = hash_name(record.instance)
        self.cached_parts = PartCacheModel(capacity=memory_tokens)
        self.penalty_until = 0.0
        self.paused_until = 0.0
        self.last_sent_at = -math.inf
        self._room = ReplicaRoom()
        self._active_requests: dict[AttemptId, _ActiveRequest] = {}
        self._pending_prefill_tokens = 0
        self._hint: LoadHint | None = None
        self._hint_received_at = 0.0
        self._last_response_at = 0.0
        self._penalty_seconds = 0.0
        self._failure_rate = 0.0

    @property
    def own_requests(self) -> int:
        """Number of this gateway's requests at the replica."""
        return len(self._active_requests)

    @property
    def pending_prefill_tokens(self) -> int:
        """Prompt tokens of this gateway's requests that are not prefilled yet."""
        return self._pending_prefill_tokens

    @property
    def failure_rate(self) -> float:
        """Moving average of the fraction of attempts that failed."""
        return self._failure_rate

    def update_record(self, record: UpstreamRecord) -> bool:
        """
        Replace the entry of the list; a new incarnation resets the state.

        Returns
        -------
        bool
            Whether the entry is of a new incarnation.
        """
        restarted = record.incarnation != self.record.incarnation
        if record.incarnation != self.record.incarnation:
            self.cached_parts.clear()
            self.penalty_until = 0.0
            self.paused_until = 0.0
            self._penalty_seconds = 0.0
            self._failure_rate = 0.0
            self._hint = None
            self._room = ReplicaRoom()
        self.record = record
        return restarted

    def record_sent(
        self, call: Call, *, prefill_tokens: int, now: float, is_timed: bool = True
    ) -> None:
        """
        Record that a request is being sent.

        Parameters
        ----------
        prefill_tokens : int
            Prompt tokens that the replica has to prefill.
        now : float
            Clock time in seconds.
        is_timed : bool
            Whether the request is sent now, so that its times are of use.
        """
        self.remove_request(call)
        self.last_sent_at = now
        self._active_requests[call.id] = _ActiveRequest(
            sent_at=now,
            pending_prefill_tokens=prefill_tokens,
            work_tokens=self._pending_prefill_tokens + prefill_tokens,
            last_event_at=now,
            is_timed=is_timed,
        )
        self._pending_prefill_tokens += prefill_tokens
        for part in call.head.prompt:
            self.cached_parts.add(part.key, part.tokens)

    def record_stream_event(self, call: Call, *, now: float) -> ServiceTime | None:
        """
        Record an event of a request's stream: its prompt is prefilled.

        Returns
        -------
        ServiceTime or None
            ``None`` for a request that is not known, or not since when.
        """
        self._last_response_at = now
        request = self._active_requests.get(call.id)
        if request is None:
            return None
        self._pending_prefill_tokens -= request.pending_prefill_tokens
        request.pending_prefill_tokens = 0
        request.events += 1
        seconds, request.last_event_at = now - request.last_event_at, now
        if not request.is_timed:
            return None
        return ServiceTime(seconds, request.events == 1, request.work_tokens)

    def awaits_first_event(self, call: Call) -> bool:
        """Return whether a request is at the replica and has no event yet."""
        request = self._active_requests.get(call.id)
        return request is not None and not request.events

    def remove_request(self, call: Call) -> bool:
        """Remove a request that has ended; returns whether there was one."""
        request = self._active_requests.pop(call.id, None)
        if request is None:
            return False
        self._pending_prefill_tokens -= request.pending_prefill_tokens
        return True

    def record_abandoned(self, *, now: float) -> None:
        """Record a request that was given up while the replica may execute it."""
        self._room.record_abandoned(now=now)

    def record_rejection(self, share: SlotShare, *, now: float) -> None:
        """Record that the replica, which is brittle, rejected a request."""
        self._room.record_rejection(share, own_requests=self.own_requests, now=now)

    def get_room_at(self, share: SlotShare, *, now: float) -> float:
        """Return the clock time from which the brittle replica has room."""
        return self._room.get_available_at(
            share,
            own_requests=self.own_requests,
            last_sent_at=self.last_sent_at,
            hint=self._hint,
            hint_received_at=self._hint_received_at,
            now=now,
        )

    def record_response_head(self, hint: LoadHint | None, *, now: float) -> None:
        """Record a response head and the load that it reports, if any."""
        self._last_response_at = now
        if hint is not None:
            self._hint, self._hint_received_at = hint, now

    def record_success(self) -> None:
        """Record a complete response, which ends the penalty."""
        self._penalty_seconds = 0.0
        self.penalty_until = 0.0
        self._failure_rate *= 1 - FAILURE_RATE_WEIGHT

    def record_failure(self, failure: Failure, *, now: float) -> None:
        """Record a failed attempt and extend the penalty."""
        if failure in (Failure.REFUSED, Failure.PAUSED):
            self.penalty_until = max(self.penalty_until, now + FULL_PENALTY_SECONDS)
            return
        self._failure_rate += FAILURE_RATE_WEIGHT * (1 - self._failure_rate)
        self._penalty_seconds = min(
            2 * self._penalty_seconds or MIN_PENALTY_SECONDS, MAX_PENALTY_SECONDS
        )
        self.penalty_until = now + self._penalty_seconds

    def estimate_other_requests(self, now: float) -> float:
        """
        Estimate the number of other gateways' requests at the replica.

        It is taken from the load that the replica last reported and decays
        exponentially with the age of that report.
        """
        if self._hint is None:
            return 0.0
        decay = 0.5 ** ((now - self._hint_received_at) / LOAD_HINT_HALF_LIFE_SECONDS)
        return (
            max(0.0, self._hint.running + self._hint.waiting - self.own_requests)
            * decay
        )

    def compute_hint_age(self, now: float) -> float:
        """Return the age of the reported load in seconds; -1 when there is none."""
        return -1.0 if self._hint is None else now - self._hint_received_at

    def compute_stall_seconds(self, now: float) -> float:
        """
        Return for how many seconds the replica has not responded to a request.

        The time counts from its last response, or from when the oldest request without
        a response was sent if that is later; it is 0 when no request waits for its
        first byte.
        """
        sent_times = [
            request.sent_at
            for request in self._active_requests.values()
            if not request.events
        ]
        if not sent_times:
            return 0.0
        return now - max(min(sent_times), self._last_response_at)
