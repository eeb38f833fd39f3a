"""
Gossip
======

News that rides on the messages between entries for a while.
"""

from damasklead.clock import Clock
from damasklead.ids import InstanceId
from damasklead.messages import GossipItem

__all__ = ["GossipBuffer"]

ITEM_TTL_SECONDS = 30.0
MAX_ITEMS = 256
MAX_ITEMS_PER_MESSAGE = 16


class GossipBuffer:
    """
    News learnt here or from a peer, sent once to each peer while it is fresh.

    Parameters
    ----------
    clock : Clock
    ttl_seconds : float
        How long an item rides after it was learnt.
    """

    def __init__(self, *, clock: Clock, ttl_seconds: float = ITEM_TTL_SECONDS) -> None:
        self._clock = clock
        self._ttl_seconds = ttl_seconds
        self._learnt: dict[GossipItem, float] = {}
        self._sent: dict[GossipItem, set[InstanceId]] = {}

    def add_item(self, item: GossipItem) -> bool:
        """Take in one item; returns whether it is new."""
        if item in self._learnt:
            return False
        if len(self._learnt) >= MAX_ITEMS:
            self._drop(min(self._learnt, key=self._learnt.__getitem__))
        self._learnt[item] = self._clock.now()
        self._sent[item] = set()
        return True

    def select_items(self, peer: InstanceId) -> tuple[GossipItem, ...]:
        """
        Return the fresh items that this peer was not sent yet, and count them as sent.
        """
        horizon = self._clock.now() - self._ttl_seconds
        for item in [item for item, at in self._learnt.items() if at < horizon]:
            self._drop(item)
        items = [item for item in self._learnt if peer not in self._sent[item]]
        chosen = tuple(items[:MAX_ITEMS_PER_MESSAGE])
        for item in chosen:
            self._sent[item].add(peer)
        return chosen

    def _drop(self, item: GossipItem) -> None:
        del self._learnt[item]
        del self._sent[item]
