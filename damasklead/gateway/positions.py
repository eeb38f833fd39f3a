"""
Positions
=========

Where in the platform's store a list was read.

The store counts its changes.  When it comes back from an older copy it counts on from
the copy, so the same figure may stand for two changes; its era, which rises with each
such return, tells them apart.  No I/O.
"""

import msgspec

from damasklead.ids import StoreEra

__all__ = ["INITIAL_POSITION", "Position"]


class Position(msgspec.Struct, array_like=True, frozen=True, order=True):
    """
    A version of the store within an era; a later era goes before any version.

    Attributes
    ----------
    era : StoreEra
        0 where the store names none.
    version : int

    Examples
    --------
    >>> Position(StoreEra(1), 990) < Position(StoreEra(2), 905)
    True
    """

    era: StoreEra = StoreEra(0)
    version: int = 0


# Before anything was read.
INITIAL_POSITION = Position()
