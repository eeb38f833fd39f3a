"""
Gossip
======

Spreads recent events among entries as part of the messages that they exchange anyway.
"""

from damasklead.clock import Clock
from damasklead.ids import InstanceId
from damasklead.messages import GossipItem
from damasklead.rate_limits import RateLimit

__all__ = ["GossipBuffer"]

_Item = GossipItem | RateLimit

ITEM_TTL_SECONDS = 30.0
MAX_ITEMS = 256
MAX_ITEMS_PER_MESSAGE = 16


class GossipBuffer:
    """
    Recent gossip items, each sent once to each peer.

    Parameters
    ----------
    clock : Clock
    ttl_seconds : float
        Seconds after which an item is no longer sent.
    """

    def __init__(self, *, clock: Clock, ttl_seconds: float = ITEM_TTL_SECONDS) -> None:
        self._clock = clock
        self._ttl_seconds = ttl_seconds
        self._added_at: dict[_Item, float] = {}
        self._recipients: dict[_Item, set[InstanceId]] = {}

    def add_item(self, item: _Item) -> bool:
        """Add an item of this entry or of a peer; returns whether it is new."""
        if item in self._added_at:
            return False
        if len(self._added_at) >= MAX_ITEMS:
            self._remove_item(min(self._added_at, key=self._added_at.__getitem__))
        self._added_at[item] = self._clock.now()
        self._recipients[item] = set()
        return True

    def select_items(self, peer: InstanceId) -> tuple[_Item, ...]:
        """
        Return items that were not sent to a peer yet, and mark them as sent to it.
        """
        oldest = self._clock.now() - self._ttl_seconds
        for item in [item for item, at in self._added_at.items() if at < oldest]:
            self._remove_item(item)
        unsent = [item for item in self._added_at if peer not in self._recipients[item]]
        chosen = tuple(unsent[:MAX_ITEMS_PER_MESSAGE])
        for item in chosen:
            self._recipients[item].add(peer)
        return chosen

    def _remove_item(self, item: _Item) -> None:
        del self._added_at[item]
        del self._recipients[item]
