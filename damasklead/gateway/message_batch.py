"""
Message batches
===============

Orders the datagrams that are read from the socket in one batch.  No I/O.

Load pattern: a coordinator that receives more assignment requests than it can answer.
Broadcasts and reports of ended requests must not wait behind them, and the oldest
requests are dropped: their gateways have timed out and asked other coordinators.
"""

from typing import Generic, TypeVar

from damasklead.gateway.coordination.messages import AssignmentRequest

__all__ = ["MessageBatch"]

T = TypeVar("T")

# Datagrams in one batch.
MAX_BATCH_MESSAGES = 256
# Assignment requests of a batch that are answered, the newest ones; at about a
# millisecond each they take less time than a gateway waits for an answer.
MAX_BATCH_REQUESTS = 32


class MessageBatch(Generic[T]):
    """
    The messages of one batch.

    Examples
    --------
    >>> batch = MessageBatch()
    >>> batch.add(AssignmentRequest, "request")
    >>> batch.add(str, "broadcast")
    >>> batch.select_messages()
    ['broadcast', 'request']
    """

    def __init__(self) -> None:
        self._requests: list[T] = []
        self._others: list[T] = []

    @property
    def is_full(self) -> bool:
        """Whether the batch has to be handled before more messages are read."""
        return len(self._requests) + len(self._others) >= MAX_BATCH_MESSAGES

    @property
    def dropped_count(self) -> int:
        """The number of assignment requests that ``select_messages`` leaves out."""
        return max(0, len(self._requests) - MAX_BATCH_REQUESTS)

    def add(self, message_type: type, message: T) -> None:
        """Add a message of a type."""
        is_request = issubclass(message_type, AssignmentRequest)
        (self._requests if is_request else self._others).append(message)

    def select_messages(self) -> list[T]:
        """Return the messages to handle, assignment requests after all others."""
        return [*self._others, *self._requests[-MAX_BATCH_REQUESTS:]]
