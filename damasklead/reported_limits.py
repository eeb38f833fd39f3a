"""
Reported limits
===============

Limits that replicas name in their responses and senders (gateways or entries) report to
each other.  No I/O.

A report with a higher sequence number replaces one with a lower number.  The numbers
are a Lamport clock: a sender that observes a value other than the known one uses the
next number.
"""

import math
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from typing import Generic, Protocol, Self, TypeVar

import msgspec

from damasklead.clock import Clock
from damasklead.ids import InstanceId

__all__ = [
    "MIN_REQUESTS_PER_SECOND",
    "UNLIMITED",
    "Replica",
    "ReportedLimit",
    "ReportedLimits",
]

# A change is reported for this long, which makes up for lost datagrams.
REPORT_SECONDS = 5.0
# Lower limits count as this one: without any request nobody notices that a limit ends.
MIN_REQUESTS_PER_SECOND = 0.05
# Relative difference below which two limits count as equal, so that a replica that
# computes its limit anew for each response doesn't cause a report each time.
RELATIVE_TOLERANCE = 0.05
# Number of replicas whose limits are remembered.  Those of replicas that are no longer
# listed are kept too, since an entry may come back after the list was unreadable.
MAX_REMEMBERED_LIMITS = 2_000
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


class ReportedLimit(msgspec.Struct, array_like=True, frozen=True):
    """
    What a replica names in its responses, in one incarnation.

    Attributes
    ----------
    instance : InstanceId
    incarnation : int
    requests_per_second : float
        Requests from all senders together; ``UNLIMITED`` after a response without a
        limit.
    sequence_number : int
        Orders the reports on one incarnation.
    """

    instance: InstanceId
    incarnation: int
    requests_per_second: float
    sequence_number: int

    def replaces(self, other: Self) -> bool:
        """Return whether this report is newer; of equally new ones the lower limit."""
        return self._get_order() > other._get_order()

    def _get_order(self) -> tuple[int, int, float]:
        rate = self.requests_per_second
        strictness = -math.inf if rate == UNLIMITED else -rate
        return self.incarnation, self.sequence_number, strictness


LimitT = TypeVar("LimitT", bound=ReportedLimit)
ReplicaT = TypeVar("ReplicaT", bound=Replica)


class ReportedLimits(ABC, Generic[LimitT, ReplicaT]):
    """
    The limits of one kind that one sender knows.

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
        on_change: Callable[[LimitT], None] = lambda _limit: None,
    ) -> None:
        self._clock = clock
        self._instance = instance
        self._on_change = on_change
        self._limits: dict[InstanceId, LimitT] = {}
        self._observed_at: dict[LimitT, float] = {}

    @property
    def limited_count(self) -> int:
        """Number of replicas that have named a limit in their last response."""
        return sum(
            item.requests_per_second != UNLIMITED for item in self._limits.values()
        )

    @property
    def known_limits(self) -> list[LimitT]:
        """The last known limits, for a sender that starts."""
        return list(self._limits.values())

    @property
    def recent_changes(self) -> list[LimitT]:
        """The changes that this sender observed and reports to the others."""
        now = self._clock.now()
        self._observed_at = {
            limit: at
            for limit, at in self._observed_at.items()
            if now - at < REPORT_SECONDS
        }
        return list(self._observed_at)

    def record_response(
        self, replica: ReplicaT, limit: float | None, *, is_success: bool
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
        if self._is_known(replica, rate, known):
            return
        sequence_number = 1 if known is None else known.sequence_number + 1
        change = self._make_limit(replica, rate, sequence_number)
        self._observed_at[change] = self._clock.now()
        self._apply(change)

    def apply_reports(self, reports: Iterable[LimitT]) -> None:
        """Apply changes that other senders observed."""
        for report in reports:
            known = self._limits.get(report.instance)
            if known is None or report.replaces(known):
                self._apply(report)

    def get_limit(self, replica: ReplicaT) -> float | None:
        """Return a replica's limit in requests per second, ``None`` without one."""
        known = self._find_limit(replica)
        if known is None or known.requests_per_second == UNLIMITED:
            return None
        return known.requests_per_second

    def _find_limit(self, replica: ReplicaT) -> LimitT | None:
        known = self._limits.get(replica.instance)
        if known is None or known.incarnation != replica.incarnation:
            return None
        return known

    def _apply(self, limit: LimitT) -> None:
        self._limits.pop(limit.instance, None)
        self._limits[limit.instance] = limit
        while len(self._limits) > MAX_REMEMBERED_LIMITS:
            del self._limits[next(iter(self._limits))]
        self._handle_changed_limits()
        self._on_change(limit)

    @abstractmethod
    def _make_limit(
        self, replica: ReplicaT, rate: float, sequence_number: int
    ) -> LimitT:
        """Return the report of a change."""

    @abstractmethod
    def _handle_changed_limits(self) -> None:
        """Update what is computed from the limits."""

    def _is_known(self, replica: ReplicaT, rate: float, known: LimitT | None) -> bool:
        """Return whether a rate is about the known one."""
        known_rate = UNLIMITED if known is None else known.requests_per_second
        return math.isclose(rate, known_rate, rel_tol=RELATIVE_TOLERANCE)
