"""
Messages between gateways
=========================

What gateways tell each other besides coordination.  Losing one is harmless: the next
holds everything that is still of use.
"""

import msgspec

from damasklead.gateway.containment import CrashNote
from damasklead.gateway.departures import Departure
from damasklead.gateway.directory import ListedRow
from damasklead.gateway.positions import INITIAL_POSITION, Position
from damasklead.gateway.reading import ListReport

__all__ = ["Broadcast", "LeaveNotice", "Announcement", "PeerReport", "Ping"]


class Announcement(msgspec.Struct, array_like=True, frozen=True, tag=10):
    """A gateway says where it is, when it starts and when it is asked."""

    instance: str
    address: str
    incarnation: int
    data_centre: str
    cores: float
    operators: str = ""


class LeaveNotice(msgspec.Struct, array_like=True, frozen=True, tag=14):
    """A gateway stops: it coordinates nothing any more."""

    instance: str
    incarnation: int


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """Asks a gateway for its ``Announcement``."""


class Broadcast(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """
    What one gateway tells all others.

    Attributes
    ----------
    lists : list
        What it knows of the platform's lists.
    base, cursor : Position
        ``rows`` are all changes of the list of replicas after ``base`` up to
        ``cursor``.
    routing : bytes
        The configuration in force, compressed, when it is short and new.
    """

    sender: str
    incarnation: int
    number: int
    lists: list[ListReport]
    base: Position
    cursor: Position
    rows: list[ListedRow]
    routing: bytes
    crashes: list[CrashNote]
    left: list[Departure]


class PeerReport(msgspec.Struct, array_like=True, frozen=True, tag=13):
    """
    What a gateway tells the one that sends broadcasts.

    Attributes
    ----------
    routing : Position
        Mark of its configuration when the other one's is older.
    """

    sender: str
    crashes: list[CrashNote]
    left: list[Departure]
    routing: Position = INITIAL_POSITION
