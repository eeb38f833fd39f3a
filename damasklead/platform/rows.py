"""
Rows
====

Rows of the store's tables as its responses have them, and calls that change them.
"""

from collections.abc import Callable

import msgspec

from damasklead.gateway.dialect import FeedError, FeedFault
from damasklead.gateway.store_positions import Position
from damasklead.ids import StoreEra

__all__ = [
    "CALL_TIMEOUT_SECONDS",
    "PreconditionError",
    "Row",
    "Rows",
    "StoreCall",
    "commit",
]

# A call normally takes 4 to 8 ms; the timeout tolerates a far slower store.
CALL_TIMEOUT_SECONDS = 1.0


class Row(msgspec.Struct):
    """A row of a table, or a mark that it was removed."""

    key: str
    # Version of the row: the store's transaction number at its last write, despite the
    # field's name.
    schema_version: int
    data: str = ""
    deleted: bool = False


class Rows(msgspec.Struct):
    """A response of the store."""

    # Number of the newest transaction of the store.
    schema_version: int
    rows: list[Row] = []
    has_more: bool = False
    # Era of the store; sent as a header of all responses, not in the body.
    era: StoreEra = StoreEra(0)

    @property
    def position(self) -> Position:
        """Position of the response in the store's history."""
        return Position(self.era, self.schema_version)


class PreconditionError(FeedError):
    """
    The store made no change, since a row was not as required.

    Attributes
    ----------
    page : Rows
        The current rows of the preconditions.
    """

    def __init__(self, page: Rows) -> None:
        super().__init__(FeedFault.REFUSED, "a precondition is not met")
        self.page = page


# Function that makes a call of the store: method, path with query, content, and timeout
# in seconds.
StoreCall = Callable[[str, str, dict[str, object] | None, float], Rows]


def commit(call: StoreCall, change: dict[str, object]) -> None:
    """
    Apply a change to the store's rows, all of it or nothing.

    Parameters
    ----------
    call : callable
        Makes a call of the store.
    change : dict
        Rows under ``precondition``, ``write`` and ``remove``, which may be missing.

    Raises
    ------
    FeedError
        If the store did not confirm the change.
    """
    empty: dict[str, object] = {"precondition": [], "write": [], "remove": []}
    call("POST", "/-/rows-tx", empty | change, CALL_TIMEOUT_SECONDS)
