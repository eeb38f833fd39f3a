"""
Where prompt parts are
======================

Which replicas have read which prompt parts, from what was sent to them.  No I/O.

Load pattern: many subjects, each asked for a few times by callers of different
gateways; a part that one replica has read can be copied by the others for a twentieth
of the time that reading takes, if it is known where it is.
"""

from collections import OrderedDict

from damasklead.clock import Clock
from damasklead.ids import InstanceId
from damasklead.util import short_key

__all__ = ["PartLocations"]

# Smaller parts are read sooner than they are copied.
MIN_TOKENS = 200
# Replicas remembered for one part: the newest; older ones will have dropped it first.
MAX_REPLICAS_PER_PART = 8
# Parts remembered, about 300 bytes each.
MAX_PARTS = 10_000


class PartLocations:
    """
    Where parts are, as far as is known here.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._locations: OrderedDict[int, dict[int, float]] = OrderedDict()

    def record_sent(self, name: str, tokens: int, instance: InstanceId) -> None:
        """Note that a part was sent to a replica."""
        if tokens < MIN_TOKENS:
            return
        part, replica = short_key(name), short_key(instance)
        places = self._locations.setdefault(part, {})
        self._locations.move_to_end(part)
        places.pop(replica, None)
        places[replica] = self._clock.now()
        if len(places) > MAX_REPLICAS_PER_PART:
            del places[next(iter(places))]
        if len(self._locations) > MAX_PARTS:
            self._locations.popitem(last=False)

    def find_replicas(self, name: str) -> dict[int, float]:
        """Return the short keys of the replicas that have a part, and since when."""
        return self._locations.get(short_key(name), {})

    def remove_replica(self, instance: InstanceId) -> None:
        """Take in that a replica has started again and keeps nothing."""
        key = short_key(instance)
        for places in self._locations.values():
            places.pop(key, None)
