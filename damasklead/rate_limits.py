"""
Rate limits of replicas
=======================

The limits on requests per second that replicas name in their responses, which hold for
all senders together: gateways or entries.  No I/O.

Load pattern: a replica in need names a limit to the sender that gets a response from
it.  All the others must reduce their requests too, and their sum must stay within the
limit, with eight senders or with hundreds.  A gateway that assigns the requests of a
whole cell uses the full rate.  Senders that choose by themselves share it: each limited
replica has as many owners among them as can send it a request every few seconds, so
that they also notice when the limit ends.
"""

import math
from collections.abc import Callable, Collection, Iterable

from damasklead.clock import Clock
from damasklead.ids import InstanceId
from damasklead.rejection_limits import RejectionLimit, RejectionLimits
from damasklead.reported_limits import (
    MIN_REQUESTS_PER_SECOND,
    UNLIMITED,
    Replica,
    ReportedLimit,
    ReportedLimits,
)
from damasklead.util import stable_hash

__all__ = [
    "MIN_REQUESTS_PER_SECOND",
    "UNLIMITED",
    "RateLimit",
    "RateLimits",
    "Replica",
    "parse_rate_limit",
]

# Each owner of a limited replica may send it a request at least this often.
OWNER_INTERVAL_SECONDS = 4.0
# Part of a limit that gateways use in sum beside the coordinator of a cell, while it
# doesn't respond to them or has no engine left.
UNCOORDINATED_FRACTION = 0.25


class RateLimit(ReportedLimit, array_like=True, frozen=True):
    """The requests per second that a replica accepts from all senders together."""


def parse_rate_limit(value: str | bytes | None) -> float | None:
    """
    Return a limit in requests per second from a header's value.

    ``None`` if the value is absent, not a decimal number, negative or infinite.

    Examples
    --------
    >>> parse_rate_limit("1.5"), parse_rate_limit(b"-1"), parse_rate_limit("nan")
    (1.5, None, None)
    """
    try:
        limit = float(value) if value is not None else -1.0
    except ValueError:
        return None
    return limit if 0 <= limit < math.inf else None


class RateLimits(ReportedLimits[RateLimit, Replica]):
    """
    The rate limits that one sender knows.

    Parameters
    ----------
    clock : Clock
    instance : InstanceId
        This sender.
    on_change : callable
        Called with each change of a limit.
    on_rejection_change : callable
        Called with each change of a rejection limit.

    Attributes
    ----------
    rejections : RejectionLimits
        The rejection limits of brittle replicas.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        instance: InstanceId,
        on_change: Callable[[RateLimit], None] = lambda _limit: None,
        on_rejection_change: Callable[[RejectionLimit], None] = lambda _limit: None,
    ) -> None:
        super().__init__(clock=clock, instance=instance, on_change=on_change)
        self.rejections = RejectionLimits(
            clock=clock, instance=instance, on_change=on_rejection_change
        )
        self._senders: dict[str, frozenset[InstanceId]] = {}
        self._shares: dict[tuple[str, InstanceId, float], float] = {}

    def set_senders(self, senders: Iterable[InstanceId], *, group: str = "") -> None:
        """
        Set the senders that share limits, besides this one.

        Parameters
        ----------
        senders : iterable of InstanceId
        group : str
            Name for these senders; entries share different pools with different ones.
        """
        members = frozenset({self._instance, *senders})
        if not group:
            self.rejections.set_senders(members)
        if members != self._senders.get(group):
            self._senders[group] = members
            self._shares.clear()

    def find_reports(self, replicas: Iterable[Replica]) -> list[RateLimit]:
        """Return the limits that some of the replicas have named last."""
        if not self.limited_count:
            return []
        limits = (self._find_limit(replica) for replica in replicas)
        return [
            limit
            for limit in limits
            if limit is not None and limit.requests_per_second != UNLIMITED
        ]

    def get_uncoordinated_share(self, replica: Replica) -> float | None:
        """
        Return this gateway's share of the part of a limit that is left for requests
        which the coordinator of the replica's cell doesn't assign.
        """
        return self.get_share(replica, fraction=UNCOORDINATED_FRACTION)

    def get_share(
        self, replica: Replica, *, group: str = "", fraction: float = 1.0
    ) -> float | None:
        """
        Return this sender's share of a replica's limit in requests per second.

        It is 0 for senders that are not among the replica's owners, and ``None``
        without a limit.

        Parameters
        ----------
        replica : Replica
        group : str
            The senders that share the limit.
        fraction : float
            Part of the limit that is shared.
        """
        limit = self.get_limit(replica)
        if limit is None:
            return None
        limit *= fraction
        key = (group, replica.instance, fraction)
        share = self._shares.get(key)
        if share is None:
            senders = self._senders.get(group, frozenset({self._instance}))
            share = _compute_share(replica.instance, limit, self._instance, senders)
            self._shares[key] = share
        return share

    def _make_limit(
        self, replica: Replica, rate: float, sequence_number: int
    ) -> RateLimit:
        return RateLimit(replica.instance, replica.incarnation, rate, sequence_number)

    def _handle_changed_limits(self) -> None:
        self._shares.clear()


def _compute_share(
    replica: InstanceId,
    limit: float,
    sender: InstanceId,
    senders: Collection[InstanceId],
) -> float:
    """Return a sender's share of a limit, by rendezvous hashing of the senders."""
    max_owners = max(1, int(limit * OWNER_INTERVAL_SECONDS))
    owners = min(max_owners, len(senders))
    own_rank = stable_hash(replica, sender)
    preceding = sum(stable_hash(replica, item) < own_rank for item in senders)
    return limit / owners if preceding < owners else 0.0
