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

Senders report changes to each other.  A report with a higher sequence number replaces
one with a lower number.  The numbers are a Lamport clock: a sender that observes a
value other than the known one uses the next number.
"""

import math
from collections.abc import Callable, Collection, Iterable
from typing import Protocol

import msgspec

from damasklead.clock import Clock
from damasklead.ids import InstanceId
from damasklead.util import stable_hash

__all__ = ["RateLimit", "RateLimits", "Replica", "parse_rate_limit"]

# A change is reported for this long, which makes up for lost datagrams.
REPORT_SECONDS = 5.0
# Each owner of a limited replica may send it a request at least this often.
OWNER_INTERVAL_SECONDS = 4.0
# Lower limits count as this one: without any request nobody notices that a limit ends.
MIN_REQUESTS_PER_SECOND = 0.05
# Relative difference below which two limits count as equal, so that a replica that
# computes its limit anew for each response doesn't cause a report each time.
RELATIVE_TOLERANCE = 0.05
# Number of replicas whose limits are remembered.  Those of replicas that are no longer
# listed are kept too, since an entry may come back after the list was unreadable.
MAX_REMEMBERED_LIMITS = 2_000
# Part of a limit that gateways use in sum beside the coordinator of a cell, while it
# doesn't respond to them or has no engine left.
UNCOORDINATED_FRACTION = 0.25
# Rate of a replica that names no limit.
UNLIMITED = 0.0


class Replica(Protocol):
    """What identifies a replica: its id and its start."""

    @property
    def instance(self) -> InstanceId:
        """Id of the replica."""

    @property
    def incarnation(self) -> int:
        """Rises with each start."""


class RateLimit(msgspec.Struct, array_like=True, frozen=True):
    """
    What a replica names in its responses, in one incarnation.

    Attributes
    ----------
    instance : InstanceId
    incarnation : int
    requests_per_second : float
        Requests that the replica accepts from all senders together; ``UNLIMITED``
        after a response without a limit.
    sequence_number : int
        Orders the reports on one incarnation.
    """

    instance: InstanceId
    incarnation: int
    requests_per_second: float
    sequence_number: int

    def replaces(self, other: "RateLimit") -> bool:
        """Return whether this report is newer; of equally new ones the lower limit."""
        return self._get_order() > other._get_order()

    def _get_order(self) -> tuple[int, int, float]:
        rate = self.requests_per_second
        strictness = -math.inf if rate == UNLIMITED else -rate
        return self.incarnation, self.sequence_number, strictness


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


class RateLimits:
    """
    The rate limits that one sender knows.

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
        on_change: Callable[[RateLimit], None] = lambda _limit: None,
    ) -> None:
        self._clock = clock
        self._instance = instance
        self._on_change = on_change
        self._senders: dict[str, frozenset[InstanceId]] = {}
        self._limits: dict[InstanceId, RateLimit] = {}
        self._observed_at: dict[RateLimit, float] = {}
        self._shares: dict[tuple[str, InstanceId, float], float] = {}

    @property
    def limited_count(self) -> int:
        """Number of replicas that have named a limit in their last response."""
        return sum(
            item.requests_per_second != UNLIMITED for item in self._limits.values()
        )

    @property
    def known_limits(self) -> list[RateLimit]:
        """The last known limits, for a sender that starts."""
        return list(self._limits.values())

    @property
    def recent_changes(self) -> list[RateLimit]:
        """The changes that this sender observed and reports to the others."""
        now = self._clock.now()
        self._observed_at = {
            limit: at
            for limit, at in self._observed_at.items()
            if now - at < REPORT_SECONDS
        }
        return list(self._observed_at)

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
        if members != self._senders.get(group):
            self._senders[group] = members
            self._shares.clear()

    def record_response(
        self, replica: Replica, limit: float | None, *, is_success: bool
    ) -> None:
        """
        Record the limit that a replica's response names.

        Parameters
        ----------
        replica : Replica
        limit : float or None
            Requests per second; ``None`` when the response names no limit.
        is_success : bool
            Whether the request was executed without an error.  Refusals and errors may
            lack the limit while it holds, so that they don't end it.
        """
        if limit is None and not is_success:
            return
        rate = UNLIMITED if limit is None else max(limit, MIN_REQUESTS_PER_SECOND)
        newest = self._limits.get(replica.instance)
        if newest is not None and newest.incarnation > replica.incarnation:
            return
        known = self._find_limit(replica)
        known_rate = UNLIMITED if known is None else known.requests_per_second
        if math.isclose(rate, known_rate, rel_tol=RELATIVE_TOLERANCE):
            return
        sequence_number = 1 if known is None else known.sequence_number + 1
        change = RateLimit(replica.instance, replica.incarnation, rate, sequence_number)
        self._observed_at[change] = self._clock.now()
        self._apply(change)

    def apply_reports(self, reports: Iterable[RateLimit]) -> None:
        """Apply changes that other senders observed."""
        for report in reports:
            known = self._limits.get(report.instance)
            if known is None or report.replaces(known):
                self._apply(report)

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

    def get_limit(self, replica: Replica) -> float | None:
        """Return a replica's limit in requests per second, ``None`` without one."""
        known = self._find_limit(replica)
        if known is None or known.requests_per_second == UNLIMITED:
            return None
        return known.requests_per_second

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

    def _find_limit(self, replica: Replica) -> RateLimit | None:
        known = self._limits.get(replica.instance)
        if known is None or known.incarnation != replica.incarnation:
            return None
        return known

    def _apply(self, limit: RateLimit) -> None:
        self._limits.pop(limit.instance, None)
        self._limits[limit.instance] = limit
        while len(self._limits) > MAX_REMEMBERED_LIMITS:
            del self._limits[next(iter(self._limits))]
        self._shares.clear()
        self._on_change(limit)


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
