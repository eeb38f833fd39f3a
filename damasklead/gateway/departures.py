"""
Departures
==========

Replicas that announced to this gateway that they leave, to be reported to the other
gateways.  No I/O.

Load pattern: a replica that leaves announces it in a response to one gateway.  All the
others must send it no new requests either, although none of them has had a response
from it, whether or not the platform's list can be read.
"""

import msgspec

from damasklead.clock import Clock
from damasklead.ids import InstanceId

__all__ = ["Departure", "DepartureLog"]

# A departure is reported for this long, which makes up for lost datagrams.
DEPARTURE_REPORT_SECONDS = 5.0


class Departure(msgspec.Struct, array_like=True, frozen=True):
    """A replica that leaves, in one incarnation."""

    instance: InstanceId
    incarnation: int


class DepartureLog:
    """
    The departures that this gateway observed and reports to the others.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._recorded_at: dict[Departure, float] = {}

    @property
    def recent_departures(self) -> list[Departure]:
        """The departures to report."""
        now = self._clock.now()
        self._recorded_at = {
            departure: at
            for departure, at in self._recorded_at.items()
            if now - at < DEPARTURE_REPORT_SECONDS
        }
        return list(self._recorded_at)

    def record(self, instance: InstanceId, incarnation: int) -> None:
        """Record that a replica announced its departure."""
        self._recorded_at[Departure(instance, incarnation)] = self._clock.now()
