"""
Store positions
===============

Positions in the change history of the platform's store.

The store numbers its changes.  After a restore from a backup it continues from the
backup's last number, so that one number may stand for two changes; the era, which the
store increments at each restore, distinguishes them.  No I/O.
"""

import msgspec

from damasklead.ids import StoreEra

__all__ = ["INITIAL_POSITION", "Position"]


class Position(msgspec.Struct, array_like=True, frozen=True, order=True):
    """
    A version of the store within an era; positions are ordered by era, then version.

    Attributes
    ----------
    era : StoreEra
        Incremented at each restore of the store; 0 if the store reports none.
    version : int
        Number of the store's change, or of a configuration.

    Examples
    --------
    >>> Position(StoreEra(1), 990) < Position(StoreEra(2), 905)
    True
    """

    era: StoreEra = StoreEra(0)
    version: int = 0


# The position before the first read.
INITIAL_POSITION = Position()
