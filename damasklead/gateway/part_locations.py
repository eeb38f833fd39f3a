"""
Locations of prompt parts
=========================

Tracks which replicas have prompt parts cached, from the requests that were sent to
them.  No I/O.

Load pattern: many shared parts, each used by a few requests of different gateways.
Other replicas can copy a part from a replica that has prefilled it in a twentieth of
the time of a prefill, if its location is known.
"""

from collections import OrderedDict

from damasklead.clock import Clock
from damasklead.ids import InstanceId
from damasklead.util import hash_name

__all__ = ["PartLocations"]

# Parts of fewer tokens are faster to prefill than to copy.
MIN_TOKENS = 200
# Maximum number of replicas recorded per part.  The oldest record is dropped, since
# that replica is the first to evict the part.
MAX_REPLICAS_PER_PART = 8
# Maximum number of recorded parts, of about 300 bytes each; LRU.
MAX_PARTS = 10_000


class PartLocations:
    """
    The replicas that prompt parts were sent to.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._locations: OrderedDict[int, dict[int, float]] = OrderedDict()

    def record_sent(self, name: str, tokens: int, instance: InstanceId) -> None:
        """
        Record that a part was sent to a replica.

        Parameters
        ----------
        name : str
            Key of the part.
        tokens : int
            Length of the part; short parts are not recorded.
        instance : InstanceId
        """
        if tokens < MIN_TOKENS:
            return
        part, replica = hash_name(name), hash_name(instance)
        replicas = self._locations.setdefault(part, {})
        self._locations.move_to_end(part)
        replicas.pop(replica, None)
        replicas[replica] = self._clock.now()
        if len(replicas) > MAX_REPLICAS_PER_PART:
            del replicas[next(iter(replicas))]
        if len(self._locations) > MAX_PARTS:
            self._locations.popitem(last=False)

    def find_replicas(self, name: str) -> dict[int, float]:
        """
        Return the replicas that have a part.

        Returns
        -------
        dict
            Short hashes of the replicas' ids, with the clock time in seconds at which
            the part was last sent there.
        """
        return self._locations.get(hash_name(name), {})

    def remove_replica(self, instance: InstanceId) -> None:
        """Remove a replica that has restarted with an empty cache."""
        key = hash_name(instance)
        for replicas in self._locations.values():
            replicas.pop(key, None)
