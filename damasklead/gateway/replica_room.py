"""
Room at a brittle replica
=========================

Decides when a sender may send a brittle replica the next request: while it has fewer
there than its share of the slots.  No I/O.
"""

import math

from damasklead.gateway.calls import LoadHint
from damasklead.rejection_limits import SlotShare

__all__ = ["ReplicaRoom"]

# Shortest and longest time without requests after a rejection.
MIN_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 4.0
# After a rejection the requests that the replica had then are the limit; it rises by
# this number of slots a second.
RECOVERED_SLOTS_PER_SECOND = 1.0
# While it does, requests follow each other at this interval: another rejection arrives
# before the next request is sent.
RECOVERY_INTERVAL_SECONDS = 0.1
# A replica may still execute a request that this sender gave up for this long.
ABANDONED_SECONDS = 1.0
# A reported load counts for this long.
MAX_HINT_AGE_SECONDS = 0.3
# Time to the next decision when all slots are taken.
FULL_RETRY_SECONDS = 0.2
# The same for a sender without slots: callers that return reach others, too.
GUEST_RETRY_SECONDS = 0.5


class ReplicaRoom:
    """What one sender knows of the room at one replica."""

    def __init__(self) -> None:
        self._blocked_until = -math.inf
        self._learned_slots = math.inf
        self._learned_at = 0.0
        self._abandoned_until: list[float] = []

    def record_abandoned(self, *, now: float) -> None:
        """Record a request that was given up while the replica may execute it."""
        self._drop_expired(now)
        self._abandoned_until.append(now + ABANDONED_SECONDS)

    def record_rejection(
        self, share: SlotShare, *, own_requests: int, now: float
    ) -> None:
        """
        Record that the replica rejected a request for want of room.

        Parameters
        ----------
        share : SlotShare
        own_requests : int
            Other requests of this sender at the replica.
        now : float
            Clock time in seconds.
        """
        rate = share.rejection_rate
        backoff = 1 / rate if rate else MAX_BACKOFF_SECONDS
        backoff = min(max(backoff, MIN_BACKOFF_SECONDS), MAX_BACKOFF_SECONDS)
        self._blocked_until = max(self._blocked_until, now + backoff)
        self._learned_slots = max(1.0, min(own_requests, self._count_learned(now)))
        self._learned_at = now

    def get_available_at(
        self,
        share: SlotShare,
        *,
        own_requests: int,
        last_sent_at: float,
        hint: LoadHint | None,
        hint_received_at: float,
        now: float,
    ) -> float:
        """
        Return the clock time from which the next request may be sent.

        Parameters
        ----------
        share : SlotShare
        own_requests : int
            Requests of this sender at the replica.
        last_sent_at : float
            Clock time of the last of them.
        hint : LoadHint or None
            The load that the replica reported last.
        hint_received_at : float
            Clock time of that report.
        now : float
            Clock time in seconds.
        """
        available_at = self._blocked_until
        if hint is not None and _is_overloaded(hint, share):
            available_at = max(available_at, hint_received_at + MAX_HINT_AGE_SECONDS)
        self._drop_expired(now)
        used = own_requests + len(self._abandoned_until)
        learned = self._count_learned(now)
        if used >= min(learned, max(1, share.slots)):
            available_at = max(available_at, now + FULL_RETRY_SECONDS)
        if not share.slots:
            rate = share.guest_rate
            next_at = last_sent_at + 1 / rate if rate else math.inf
            return min(max(available_at, next_at), now + GUEST_RETRY_SECONDS)
        if learned < share.slots:
            available_at = max(available_at, last_sent_at + RECOVERY_INTERVAL_SECONDS)
        return available_at

    def _count_learned(self, now: float) -> float:
        """Return the slots that the replica is known to have, as far as learned."""
        recovered = RECOVERED_SLOTS_PER_SECOND * (now - self._learned_at)
        return self._learned_slots + recovered

    def _drop_expired(self, now: float) -> None:
        if self._abandoned_until and self._abandoned_until[0] <= now:
            self._abandoned_until = [at for at in self._abandoned_until if at > now]


def _is_overloaded(hint: LoadHint, share: SlotShare) -> bool:
    """Return whether requests wait, or no slot is left for senders without a share."""
    if hint.waiting:
        return True
    return not share.slots and 0 < hint.slots <= hint.running
