"""
DepartureLog
==========

Tells the other gateways which replicas say themselves that they leave.  No I/O.

Load pattern: a replica that leaves answers one gateway, and all the others have to send
it nothing more, though none of them has had an answer from it, whether or not the
platform's list can be read.
"""

import msgspec

from damasklead.clock import Clock
from damasklead.ids import InstanceId

__all__ = ["DepartureLog", "Departure"]

# A departure is told for so long; lost datagrams are made up for.
DEPARTURE_REPORT_SECONDS = 5.0


class Departure(msgspec.Struct, array_like=True, frozen=True):
    """A replica that leaves, in one incarnation."""

    instance: InstanceId
    incarnation: int


class DepartureLog:
    """
    The departures that this gateway has seen and tells the others.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._notes: dict[Departure, float] = {}

    @property
    def recent_departures(self) -> list[Departure]:
        """What the other gateways are to be told."""
        now = self._clock.now()
        self._notes = {
            note: at
            for note, at in self._notes.items()
            if now - at < DEPARTURE_REPORT_SECONDS
        }
        return list(self._notes)

    def record(self, instance: InstanceId, incarnation: int) -> None:
        """Take in that a replica said that it leaves."""
        self._notes[Departure(instance, incarnation)] = self._clock.now()
