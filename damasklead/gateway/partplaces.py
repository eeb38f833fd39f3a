"""
Where prompt parts are
======================

Which replicas have read which prompt parts, from own sends and from what other gateways
tell.  No I/O.

Load pattern: many subjects, each asked for a few times by callers of different
gateways; a part that one replica has read can be copied by the others for a twentieth
of the time that reading takes, if the gateway knows where it is.
"""

from collections import OrderedDict, deque

import msgspec

from damasklead.clock import Clock
from damasklead.ids import InstanceId
from damasklead.util import short_key

__all__ = ["PartNote", "PartPlaces"]

# Smaller parts are read sooner than others can be told of them.
LEAST_TOKENS = 200
# Notes that one gateway takes in from all others together; about 12 bytes each, so that
# control stays within 3 KB/s.
NOTES_PER_SECOND = 200.0
# A message after a longer silence holds no more than those of this time.
MOST_SECONDS = 4.0
# Seconds over which own notes that were not told are counted.
WINDOW_SECONDS = 10.0
# Unless nearly all notes are told, an unknown part may have been read somewhere.
MOST_UNTOLD = 0.1
# Replicas remembered for one part: the newest; older ones will have dropped it first.
MOST_PLACES = 8
# Parts remembered, about 300 bytes each.
MOST_PARTS = 10_000


class PartNote(msgspec.Struct, array_like=True, frozen=True):
    """A part, by its short key, and the short key of a replica that was sent it."""

    part: int
    replica: int


class PartPlaces:
    """
    Where parts are, as one gateway knows.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._places: OrderedDict[int, dict[int, float]] = OrderedDict()
        self._untold: deque[PartNote] = deque()
        self._counts: deque[tuple[float, int, int]] = deque()
        self._told = 0
        self._dropped = 0

    @property
    def complete(self) -> bool:
        """Whether a part that is not known here has most likely been read nowhere."""
        return self._dropped <= MOST_UNTOLD * (self._told + self._dropped)

    @property
    def pending(self) -> bool:
        """Whether there is anything to tell the others."""
        return bool(self._untold)

    def sent(self, name: str, tokens: int, instance: InstanceId) -> None:
        """Note that a part was sent to a replica."""
        if tokens < LEAST_TOKENS:
            return
        note = PartNote(short_key(name), short_key(instance))
        if note.replica not in self._places.get(note.part, {}):
            self._untold.append(note)
        self._put(note)

    def take(self, notes: list[PartNote]) -> None:
        """Take in what another gateway tells."""
        for note in notes:
            self._put(note)

    def tell(self, *, gateways: int, seconds: float) -> list[PartNote]:
        """
        Return what to tell the others now.

        Parameters
        ----------
        gateways : int
            How many share the rate of notes.
        seconds : float
            Time since the last call.
        """
        most = max(
            1, round(NOTES_PER_SECOND * min(MOST_SECONDS, seconds) / max(1, gateways))
        )
        notes = [self._untold.pop() for _ in range(min(most, len(self._untold)))]
        now = self._clock.now()
        self._count(now, told=len(notes), dropped=len(self._untold))
        self._untold.clear()
        while self._counts[0][0] < now - WINDOW_SECONDS:
            _, old_told, old_dropped = self._counts.popleft()
            self._told -= old_told
            self._dropped -= old_dropped
        return notes

    def replicas(self, name: str) -> dict[int, float]:
        """Return the short keys of the replicas that have a part, and since when."""
        return self._places.get(short_key(name), {})

    def forget(self, instance: InstanceId) -> None:
        """Take in that a replica has started again and keeps nothing."""
        key = short_key(instance)
        for places in self._places.values():
            places.pop(key, None)

    def _count(self, now: float, *, told: int, dropped: int) -> None:
        # Kept as totals: each choice asks several times for each engine.
        self._counts.append((now, told, dropped))
        self._told += told
        self._dropped += dropped

    def _put(self, note: PartNote) -> None:
        places = self._places.setdefault(note.part, {})
        self._places.move_to_end(note.part)
        places.pop(note.replica, None)
        places[note.replica] = self._clock.now()
        if len(places) > MOST_PLACES:
            del places[next(iter(places))]
        if len(self._places) > MOST_PARTS:
            self._places.popitem(last=False)
