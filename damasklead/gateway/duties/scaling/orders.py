"""
Orders of replicas
==================

What was ordered for each group of replicas, what came of it, and when the next call may
be made.  No I/O.

Load pattern: the platform's API is slow or down, and takes away replicas that it won't
replace for some seconds.  An order then is repeated at growing intervals, and nothing
counts as capacity that isn't likely to come.
"""

import math
from collections.abc import Container
from enum import Enum

import msgspec

from damasklead.clock import Clock
from damasklead.gateway.duties.base import ApiFault
from damasklead.gateway.duties.scaling.mix import Mix, ReplicaGroup

__all__ = ["OrderBook", "OrderReason", "ReplicaOrder"]

# Time beyond the boot time until the list shows a new replica.
LISTING_SECONDS = 3.0
# Time for which a data centre has no preemptible replicas after it took them away.
RECLAIM_SECONDS = 10.0
# Pause after an order of replicas that aren't available, and its bounds at first and
# when that lasts.
MIN_UNAVAILABLE_SECONDS = 2.0
FIRST_UNAVAILABLE_SECONDS = 3.0
MAX_UNAVAILABLE_SECONDS = 15.0
# Time from which replicas that can't be had are taken to be unavailable for long; a
# reclaim lasts for about 10 s.
LASTING_SECONDS = 20.0
# Pause after a call without an answer or with an error, and its bound.
MIN_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 8.0
BACKOFF_FACTOR = 1.5
# An accepted order that the list never shows is repeated at intervals that double this
# often, to about four minutes.
MAX_REPEAT_DOUBLINGS = 5
# Pause of all calls after one that exceeded the API's rate limit.
LIMITED_SECONDS = 1.0
# Leaving replicas were taken away if fewer than this fraction of the ordered ones stay;
# otherwise they may have failed by themselves.
RECLAIMED_FRACTION = 0.5


class OrderReason(Enum):
    """
    Why replicas are ordered.

    ``DEMAND``: too few for the demand.  ``EXCHANGE``: others are cheaper.
    ``SCALE_IN``: more than needed.  ``REPEAT``: the list differs from the last order.
    """

    DEMAND = "demand"
    EXCHANGE = "exchange"
    SCALE_IN = "scale-in"
    REPEAT = "repeat"


class ReplicaOrder(msgspec.Struct, kw_only=True, frozen=True):
    """
    An order of the whole number of replicas of a group.

    Attributes
    ----------
    group : ReplicaGroup
    count : int
    previous : int
        The number ordered before.
    reason : OrderReason
    """

    group: ReplicaGroup
    count: int
    previous: int
    reason: OrderReason


class _GroupState(msgspec.Struct, kw_only=True):
    """
    State of one group.

    Attributes
    ----------
    target : int
        The number last ordered.
    live : int
        Listed replicas that accept requests.
    ordered_at : float
        Clock time in seconds of the last order's end.
    differs_since : float or None
        Clock time in seconds since when the list differs from the target.
    calling : int or None
        The number in the call that is in flight.
    is_confirmed : bool
        Whether the last call was answered.
    has_lapsed : bool
        Whether the last order did not bring the replicas in time.
    blocked_until, unavailable_until : float
        Clock time in seconds until which no call is made, and until which no further
        replicas can be had.
    unavailable_since : float
        Clock time in seconds of the first sign of it.
    failures : int
        Calls that failed one after the other.
    repeats : int
        Accepted repetitions after which the list still differed.
    is_own : bool
        Whether this holder has ordered the target; otherwise the list showed it.
    """

    target: int
    live: int
    ordered_at: float = -math.inf
    differs_since: float | None = None
    calling: int | None = None
    is_confirmed: bool = True
    has_lapsed: bool = False
    blocked_until: float = -math.inf
    unavailable_until: float = -math.inf
    unavailable_since: float = -math.inf
    failures: int = 0
    repeats: int = 0
    is_own: bool = False


class OrderBook:
    """
    The orders of one service.

    Parameters
    ----------
    clock : Clock
    boot_seconds : float
        Time from an order until the new replica serves.
    """

    def __init__(self, *, clock: Clock, boot_seconds: float) -> None:
        self._clock = clock
        self._arrival_seconds = boot_seconds + LISTING_SECONDS
        self._groups: dict[ReplicaGroup, _GroupState] = {}
        self._paused_until = -math.inf

    @property
    def live(self) -> dict[ReplicaGroup, int]:
        """Listed replicas that accept requests."""
        return {group: state.live for group, state in self._groups.items()}

    @property
    def targets(self) -> dict[ReplicaGroup, int]:
        """The numbers last ordered, those in calls that are in flight included."""
        return {group: _get_target(state) for group, state in self._groups.items()}

    @property
    def expected(self) -> dict[ReplicaGroup, int]:
        """The numbers that serve now or after the boot time."""
        return {
            group: self._count_expected(state) for group, state in self._groups.items()
        }

    @property
    def is_disrupted(self) -> bool:
        """
        Whether preemptible replicas can't be had in a data centre for the moment.

        When this goes on for longer than a reclaim, it counts as lasting.
        """
        now = self._clock.now()
        return any(
            group.is_preemptible
            and now < state.unavailable_until
            and now - state.unavailable_since < LASTING_SECONDS
            for group, state in self._groups.items()
        )

    @property
    def unavailable(self) -> dict[ReplicaGroup, int]:
        """The live replicas of the groups of which no more can be had now."""
        now = self._clock.now()
        return {
            group: state.live
            for group, state in self._groups.items()
            if now < state.unavailable_until
        }

    def update(self, live: Mix, *, leaving: Container[ReplicaGroup]) -> None:
        """
        Apply the platform's list.

        Parameters
        ----------
        live : mapping
            Replicas that accept requests, for all groups.
        leaving : container
            Groups with replicas that leave.
        """
        now = self._clock.now()
        for group, count in live.items():
            state = self._groups.get(group)
            if state is None:
                # The replicas that a new holder finds count as ordered.
                state = self._groups[group] = _GroupState(target=count, live=count)
            state.live = count
            if not state.is_own and count > state.target:
                # Replicas that the holder before ordered have booted.
                state.target = count
            if count == state.target:
                state.differs_since = None
                state.has_lapsed = False
                state.repeats = 0
                continue
            if state.differs_since is None:
                state.differs_since = now
            # Replicas that could not be had are ordered again; only an accepted order
            # can have brought nothing.
            is_accepted = state.unavailable_until <= state.ordered_at
            if is_accepted and self._is_overdue(state, now):
                state.has_lapsed = True
            if (
                group.is_preemptible
                and group in leaving
                and count < RECLAIMED_FRACTION * _get_target(state)
                and now >= state.unavailable_until
            ):
                state.unavailable_since = now
                state.unavailable_until = now + RECLAIM_SECONDS

    def find_repeats(self) -> list[ReplicaOrder]:
        """Return the orders to repeat since the list differs from them."""
        return [
            ReplicaOrder(
                group=group,
                count=state.target,
                previous=state.target,
                reason=OrderReason.REPEAT,
            )
            for group, state in self._groups.items()
            if state.calling is None and self._is_repeat_due(state)
        ]

    def may_order(self, group: ReplicaGroup, *, measured_at: float | None) -> bool:
        """
        Return whether a call for a group may be made now.

        At most one call is in flight for each data centre, and the next one is decided
        on figures from after its end.

        Parameters
        ----------
        group : ReplicaGroup
        measured_at : float or None
            Clock time in seconds of the figures that the order is based on; ``None`` if
            it is not based on any.
        """
        now = self._clock.now()
        if now < max(self._paused_until, self._groups[group].blocked_until):
            return False
        return all(
            state.calling is None
            and (measured_at is None or measured_at > state.ordered_at)
            for other, state in self._groups.items()
            if other.data_centre == group.data_centre
        )

    def record_call(self, order: ReplicaOrder) -> None:
        """Record that the call of an order begins."""
        self._groups[order.group].calling = order.count

    def record_result(self, order: ReplicaOrder, fault: ApiFault | None) -> None:
        """Record how the call of an order ended; ``None`` if it was accepted."""
        now = self._clock.now()
        state = self._groups[order.group]
        state.calling = None
        state.ordered_at = now
        state.is_confirmed = fault is not ApiFault.UNREACHABLE
        if fault is None or fault is ApiFault.UNREACHABLE:
            # A call without an answer may have taken effect.
            state.target = order.count
            state.is_own = True
            state.differs_since = None if state.live == order.count else now
        if fault is None:
            state.failures = 0
            is_repeat = order.reason is OrderReason.REPEAT
            state.repeats = state.repeats + 1 if is_repeat else 0
            return
        if fault is ApiFault.LIMITED:
            self._paused_until = now + LIMITED_SECONDS
            return
        pause = BACKOFF_FACTOR**state.failures
        state.failures += 1
        if fault is ApiFault.UNAVAILABLE:
            if now - state.unavailable_until > MAX_UNAVAILABLE_SECONDS:
                state.unavailable_since = now
            is_lasting = now - state.unavailable_since >= LASTING_SECONDS
            longest = (
                MAX_UNAVAILABLE_SECONDS if is_lasting else FIRST_UNAVAILABLE_SECONDS
            )
            state.unavailable_until = now + min(
                MIN_UNAVAILABLE_SECONDS * pause, longest
            )
        else:
            state.blocked_until = now + min(
                MIN_RETRY_SECONDS * pause, MAX_RETRY_SECONDS
            )

    def _count_expected(self, state: _GroupState) -> int:
        if self._clock.now() < state.unavailable_until or state.has_lapsed:
            return min(state.live, _get_target(state))
        return _get_target(state)

    def _is_overdue(self, state: _GroupState, now: float) -> bool:
        if state.differs_since is None:
            return False
        since = max(state.differs_since, state.ordered_at)
        # The platform may count differently from the list for good.
        doublings = min(state.repeats, MAX_REPEAT_DOUBLINGS)
        return now - since > self._arrival_seconds * 2**doublings

    def _is_repeat_due(self, state: _GroupState) -> bool:
        now = self._clock.now()
        if now < state.unavailable_until:
            return False
        if self._is_unavailability_over(state):
            return True
        return not state.is_confirmed or self._is_overdue(state, now)

    def _is_unavailability_over(self, state: _GroupState) -> bool:
        """Return whether replicas that could not be had may be ordered again."""
        is_missing = state.live < state.target
        is_over = state.ordered_at < state.unavailable_until <= self._clock.now()
        return is_missing and is_over


def _get_target(state: _GroupState) -> int:
    return state.target if state.calling is None else state.calling
