"""
Memory budget
=============

Limits the memory that all messages in progress hold together.  No I/O.

Load pattern: many faulty peers send endless bodies at the same time; small messages of
sound ones must still succeed.
"""

import math
from types import TracebackType

__all__ = ["MemoryBudget", "MemoryCharge"]

# Memory for all bodies that are being read, and the size up to which a body may still
# grow when they exceed it.
BODY_MEMORY_BYTES = 25_165_824
SMALL_BODY_BYTES = 262_144


class MemoryBudget:
    """
    Memory budget for the messages of one kind.

    Parameters
    ----------
    limit_bytes : int
        Budget for all messages together; small ones may exceed it.
    hard_limit_bytes : float
        Limit that small messages may not exceed either.

    Attributes
    ----------
    limit_bytes : int
        Budget for all messages together.
    used_bytes : int
        Bytes that the messages in progress hold at present.
    """

    def __init__(
        self,
        *,
        limit_bytes: int = BODY_MEMORY_BYTES,
        hard_limit_bytes: float = math.inf,
    ) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._hard_limit_bytes = hard_limit_bytes

    def must_drop(self, size: int) -> bool:
        """Return whether a message that has grown to ``size`` bytes must be dropped."""
        if self.used_bytes > self._hard_limit_bytes:
            return True
        return self.used_bytes > self.limit_bytes and size > SMALL_BODY_BYTES


class MemoryCharge:
    """
    A context manager that charges one message to a budget until its end.

    Parameters
    ----------
    budget : MemoryBudget

    Examples
    --------
    >>> budget = MemoryBudget(limit_bytes=300_000)
    >>> with MemoryCharge(budget=budget) as charge:
    ...     charge.add(250_000)
    ...     charge.add(100_000)
    ...     budget.used_bytes
    True
    False
    350000
    >>> budget.used_bytes
    0
    """

    def __init__(self, *, budget: MemoryBudget) -> None:
        self._budget = budget
        self._size = 0

    def __enter__(self) -> "MemoryCharge":
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._budget.used_bytes -= self._size
        self._size = 0

    def add(self, size: int) -> bool:
        """Charge further bytes; return whether the message may go on."""
        self._size += size
        self._budget.used_bytes += size
        return not self._budget.must_drop(self._size)
