"""
Rejection limits of replicas
============================

The number of requests that a brittle replica may reject in a second without a crash,
which it names in its responses and which holds for all senders together.  No I/O.

Load pattern: a burst beyond the capacity of a service whose replicas queue little.
Each sender would try replica after replica, and hundreds of rejections a second would
crash one after the other.  The senders therefore share the slots of each brittle
replica, so that none is sent more requests than it can execute.  A coordinator, which
assigns all requests of its cell, uses all of them.

The replicas of a service are brittle together: one that is not known yet, for example
after a crash, counts as the strictest known one until its first response.  That ends
with the first replica that is no longer brittle, since others may have left meanwhile.
"""

import math
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from damasklead.clock import Clock
from damasklead.ids import InstanceId, ServiceName
from damasklead.reported_limits import (
    MAX_REMEMBERED_LIMITS,
    UNLIMITED,
    Replica,
    ReportedLimit,
    ReportedLimits,
)
from damasklead.util import stable_hash

__all__ = ["RejectionLimit", "RejectionLimits", "ServiceReplica", "SlotShare"]

# One slot in this number is left to health checks and new connections.
SLOTS_PER_SPARE = 8
# Part of a limit for requests that the replica rejects although a slot was assumed to
# be free.
SLOT_FRACTION = 0.5
# Part of a limit for senders without a slot of their own, whose requests may also cause
# that one of the others is rejected.
GUEST_FRACTION = 0.25
# Each of these senders may send a request at least this often.
GUEST_INTERVAL_SECONDS = 4.0


class ServiceReplica(Replica, Protocol):
    """A replica and its service."""

    @property
    def service(self) -> ServiceName:
        """Name of the service."""


class RejectionLimit(ReportedLimit, array_like=True, frozen=True):
    """
    The requests per second that a replica may reject, whoever sent them.

    Attributes
    ----------
    service : ServiceName
        Service of the replica.
    """

    service: ServiceName = ServiceName("")


class SlotShare(msgspec.Struct, frozen=True):
    """
    What one sender may use of a brittle replica.

    Attributes
    ----------
    slots : int
        Requests that it may have there at once; 0 for senders without a share.
    guest_rate : float
        Requests per second of a sender without slots, one at a time.
    rejection_rate : float
        Requests per second that the replica may reject of this sender.
    """

    slots: int
    guest_rate: float
    rejection_rate: float


class RejectionLimits(ReportedLimits[RejectionLimit, ServiceReplica]):
    """
    The rejection limits that one sender knows.

    Parameters
    ----------
    clock : Clock
    instance : InstanceId
        This sender.
    on_change : callable
        Called with each change of a limit.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        instance: InstanceId,
        on_change: Callable[[RejectionLimit], None] = lambda _limit: None,
    ) -> None:
        super().__init__(clock=clock, instance=instance, on_change=on_change)
        self._senders = frozenset({instance})
        # Rank of this sender among all at each replica.
        self._ranks: dict[InstanceId, int] = {}
        self._service_limits: dict[ServiceName, float] = {}
        self._has_limits = False

    def set_senders(self, senders: Iterable[InstanceId]) -> None:
        """Set the senders that share the slots, besides this one."""
        members = frozenset({self._instance, *senders})
        if members != self._senders:
            self._senders = members
            self._ranks.clear()

    def get_limit(self, replica: ServiceReplica) -> float | None:
        """
        Return a replica's limit in rejected requests per second.

        ``None`` for a replica that is not brittle.  A replica that has not responded
        yet has the strictest limit of its service.
        """
        if not self._has_limits:
            return None
        if self._find_limit(replica) is None:
            return self._service_limits.get(replica.service)
        return super().get_limit(replica)

    def get_share(self, replica: ServiceReplica, *, slots: int) -> SlotShare | None:
        """
        Return what this sender may use of a replica; ``None`` if it is not brittle.

        Parameters
        ----------
        replica : ServiceReplica
        slots : int
            Requests that the replica can execute at once; 0 when a coordinator assigns
            them, beside which all senders are without slots.
        """
        limit = self.get_limit(replica)
        if limit is None:
            return None
        rank = self._get_rank(replica.instance)
        return self._compute_share(rank, _count_usable(slots), limit)

    def get_whole_share(
        self, replica: ServiceReplica, *, slots: int
    ) -> SlotShare | None:
        """Return the share of the only sender; ``None`` for one that isn't brittle."""
        limit = self.get_limit(replica)
        if limit is None:
            return None
        return SlotShare(_count_usable(max(1, slots)), 0.0, SLOT_FRACTION * limit)

    def _get_rank(self, instance: InstanceId) -> int:
        """Return this sender's rank by rendezvous hashing of all senders."""
        rank = self._ranks.get(instance)
        if rank is None:
            if len(self._ranks) >= MAX_REMEMBERED_LIMITS:
                self._ranks.clear()
            own = stable_hash(instance, self._instance)
            rank = sum(stable_hash(instance, item) < own for item in self._senders)
            self._ranks[instance] = rank
        return rank

    def _compute_share(self, rank: int, slots: int, limit: float) -> SlotShare:
        """Distribute slots, and the requests of senders without, by rank."""
        count = len(self._senders)
        owners = min(slots, count)
        own_slots = slots // count + (rank < slots % count)
        if own_slots:
            return SlotShare(own_slots, 0.0, SLOT_FRACTION * limit / owners)
        guest_limit = GUEST_FRACTION * limit
        guests = min(max(1, int(guest_limit * GUEST_INTERVAL_SECONDS)), count - owners)
        rate = guest_limit / guests if rank < owners + guests else 0.0
        return SlotShare(0, rate, rate)

    def _make_limit(
        self, replica: ServiceReplica, rate: float, sequence_number: int
    ) -> RejectionLimit:
        return RejectionLimit(
            replica.instance,
            replica.incarnation,
            rate,
            sequence_number,
            replica.service,
        )

    def _is_known(
        self, replica: ServiceReplica, rate: float, known: RejectionLimit | None
    ) -> bool:
        if known is None and replica.service in self._service_limits:
            return False  # a response without a limit ends that of the service
        return super()._is_known(replica, rate, known)

    def _handle_changed_limits(self) -> None:
        self._service_limits.clear()
        self._has_limits = False
        # In the order of the changes.
        for limit in self._limits.values():
            rate = limit.requests_per_second
            if rate == UNLIMITED:
                self._service_limits.pop(limit.service, None)
                continue
            self._has_limits = True
            strictest = self._service_limits.get(limit.service, math.inf)
            self._service_limits[limit.service] = min(rate, strictest)


def _count_usable(slots: int) -> int:
    """
    Return the slots for callers' requests.

    Examples
    --------
    >>> _count_usable(1), _count_usable(8), _count_usable(64)
    (1, 7, 56)
    """
    return slots - slots // SLOTS_PER_SPARE
