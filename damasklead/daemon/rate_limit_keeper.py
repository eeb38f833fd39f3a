"""
Rate limits at an entry
=======================

Records the limits that upstreams name in their responses, spreads changes by gossip and
gives this entry's share to the dispatchers.
"""

from collections.abc import Iterable

from damasklead import logs
from damasklead.clock import Clock
from damasklead.gossip import GossipBuffer
from damasklead.ids import InstanceId, ServiceName
from damasklead.membership import Membership
from damasklead.rate_limits import RateLimit, RateLimits

__all__ = ["RateLimitKeeper"]


class RateLimitKeeper:
    """
    The rate limits that one entry knows.

    Parameters
    ----------
    clock : Clock
    instance : InstanceId
        This entry.
    membership : Membership
        Gives the incarnations of upstreams.
    gossip : GossipBuffer
        Spreads changes among the entries.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        instance: InstanceId,
        membership: Membership,
        gossip: GossipBuffer,
    ) -> None:
        self._membership = membership
        self._gossip = gossip
        self._limits = RateLimits(
            clock=clock, instance=instance, on_change=self._handle_change
        )

    @property
    def limited_count(self) -> int:
        """Number of upstreams that have named a limit in their last response."""
        return self._limits.limited_count

    def set_entries(self, service: ServiceName, entries: Iterable[InstanceId]) -> None:
        """Set the entries that send requests to a service's upstreams."""
        self._limits.set_senders(entries, group=service)

    def get_request_rate(
        self, service: ServiceName, instance: InstanceId
    ) -> float | None:
        """
        Return the requests per second that this entry may send to an upstream;
        ``None`` when they are not limited.
        """
        member = self._membership.get_member(instance)
        return None if member is None else self._limits.get_share(member, group=service)

    def record_response(
        self, instance: InstanceId, limit: float | None, *, is_success: bool
    ) -> None:
        """
        Record the limit that an upstream's response names, ``None`` without one.

        Only a success without a limit ends one.
        """
        member = self._membership.get_member(instance)
        if member is not None:
            self._limits.record_response(member, limit, is_success=is_success)

    def apply_reports(self, reports: Iterable[RateLimit]) -> None:
        """Apply changes that other entries observed."""
        self._limits.apply_reports(reports)

    def _handle_change(self, limit: RateLimit) -> None:
        logs.event(
            "upstream-limited",
            upstream=limit.instance,
            per_second=limit.requests_per_second,
            change=limit.sequence_number,
        )
        self._gossip.add_item(limit)
