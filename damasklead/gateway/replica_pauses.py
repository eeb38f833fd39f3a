"""
Pauses of replicas
==================

The pauses that replicas asked this gateway for.  No I/O.

A pause holds for this gateway only, for as long as the replica asked, and for that
start of the replica: neither a list that lacks the replica for a while nor a
configuration without its service ends it, while a replica that starts again is not
bound by it.

Load pattern: replicas that reject requests while they recover, for seconds or for
minutes; a faulty one that names a time without an end.
"""

from collections import OrderedDict

from damasklead.clock import Clock
from damasklead.gateway.calls import UpstreamRecord
from damasklead.ids import InstanceId

__all__ = ["ReplicaPauses"]

# Pauses that are remembered, those of replicas included that are gone; the oldest ones
# are forgotten first.
MAX_PAUSES = 4_096


class ReplicaPauses:
    """
    The pauses that one gateway was asked for.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._ends: OrderedDict[tuple[InstanceId, int], float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._ends)

    def record(self, record: UpstreamRecord, seconds: float) -> float:
        """
        Record a pause that a replica asked for.

        A shorter pause doesn't end a longer one that has begun before.

        Parameters
        ----------
        record : UpstreamRecord
        seconds : float
            What the replica asked for; NaN and negative times are no pause.

        Returns
        -------
        float
            Clock reading in seconds at which the pause ends; infinity if it lasts until
            the replica starts again.
        """
        now = self._clock.now()
        # Comparisons with NaN are false.
        end = max(self.get_end(record), now + seconds if seconds > 0 else 0.0)
        if end > now:
            key = (record.instance, record.incarnation)
            self._ends[key] = end
            self._ends.move_to_end(key)
            if len(self._ends) > MAX_PAUSES:
                self._make_room(now)
        return end

    def get_end(self, record: UpstreamRecord) -> float:
        """Return the clock reading at which the pause of a replica ends; 0 if none."""
        return self._ends.get((record.instance, record.incarnation), 0.0)

    def _make_room(self, now: float) -> None:
        for key in [key for key, end in self._ends.items() if end <= now]:
            del self._ends[key]
        while len(self._ends) > MAX_PAUSES:
            self._ends.popitem(last=False)
