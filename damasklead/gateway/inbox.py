"""
Inbox
=====

Orders the datagrams that have arrived together.  No I/O.

Load pattern: a coordinator that gets more asks than it can answer.  What the others
tell of lists and of requests that have ended must not wait behind them, and an ask that
has waited for long is not answered: its gateway has asked elsewhere by then.
"""

from typing import Generic, TypeVar

from damasklead.gateway.coordination.messages import AssignmentRequest

__all__ = ["Inbox"]

T = TypeVar("T")

# Datagrams that are read together at most.
MOST_MESSAGES = 256
# Asks that are answered of these, the newest; at about a millisecond each they take
# less than a gateway waits for an answer.
MOST_ASKS = 32


class Inbox(Generic[T]):
    """
    Messages of one look at the socket.

    Examples
    --------
    >>> inbox = Inbox()
    >>> inbox.put(AssignmentRequest, "ask")
    >>> inbox.put(str, "news")
    >>> inbox.take()
    ['news', 'ask']
    """

    def __init__(self) -> None:
        self._asks: list[T] = []
        self._others: list[T] = []

    @property
    def full(self) -> bool:
        """Whether no more is to be read before these are taken."""
        return len(self._asks) + len(self._others) >= MOST_MESSAGES

    @property
    def dropped(self) -> int:
        """How many asks are passed over."""
        return max(0, len(self._asks) - MOST_ASKS)

    def put(self, kind: type, message: T) -> None:
        """Add a message of a kind."""
        (self._asks if kind is AssignmentRequest else self._others).append(message)

    def take(self) -> list[T]:
        """Return what is to be handled, in order."""
        return [*self._others, *self._asks[-MOST_ASKS:]]
