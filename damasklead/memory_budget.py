"""
Memory budget
=============

Limits the memory that all messages in progress hold together.  No I/O.

``MemoryBudget`` limits the bodies that are being read.  Load pattern: many faulty peers
send endless bodies at the same time; small messages of sound ones must still succeed.

``MemoryAccount`` covers everything that is held for callers; its limit is derived from
the instance's memory.  What happens at the limit is decided in ``memory_shortage``.
"""

import math
from collections.abc import Callable
from enum import Enum
from types import TracebackType

from damasklead.clock import Clock
from damasklead.memory_shortage import (
    REQUEST_FRACTION,
    Stage,
    choose_closed,
    compute_relay_threshold,
    has_room_for_large_request,
    has_room_for_request,
    is_large_request,
)

__all__ = [
    "BODY_MEMORY_BYTES",
    "HeldKind",
    "Holding",
    "MemoryAccount",
    "MemoryBudget",
    "MemoryCharge",
]

# Memory for all bodies that are being read, and the size up to which a body may still
# grow when they exceed it.
BODY_MEMORY_BYTES = 25_165_824
SMALL_BODY_BYTES = 262_144
# Fixed charge of an open connection: greenlet, socket, parser and buffers.
CONNECTION_BYTES = 24_576
# Fixed charge of a request in progress: the decoded call, the connection to a replica
# and its parser, a second greenlet.
REQUEST_BYTES = 24_576
# Bytes for which a request without a stated length reserves room at a time.
RESERVATION_STEP_BYTES = 262_144
# Excess over the limit that is accepted since connections that hold as much are being
# closed.  Their greenlets may wait for a turn for a second under load.
MAX_CLOSING_FRACTION = 0.1
# Time until the next search for connections to close, after one has found too few: each
# search looks at all connections.
SEARCH_INTERVAL_SECONDS = 0.05


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


class HeldKind(Enum):
    """
    What bytes are held for.

    ``CONNECTION``: the fixed charge of an open connection, and that of a request in
    progress.  ``REQUEST``: bytes received from the caller.  ``RESPONSE``: bytes of a
    response that the caller's socket has not accepted yet.
    """

    CONNECTION = "connection"
    REQUEST = "request"
    RESPONSE = "response"

    # Members are singletons; the hash of their names takes several times as long.
    __hash__ = object.__hash__


class MemoryAccount:
    """
    All bytes that a process holds for its callers, from the first byte read until the
    last one has been passed to the caller's socket.

    Parameters
    ----------
    clock : Clock
    limit_bytes : float
        Limit of the sum; infinite if the instance's memory is not known.

    Attributes
    ----------
    limit_bytes : float
        Limit of the sum, which may change.
    used_bytes : int
        Bytes held at present.
    reserved_bytes : int
        Of these, what large requests have reserved.
    unread_bytes : int
        Of these, what has not been received yet.
    peak_bytes : int
        Largest number of bytes held at once, without those of large requests.
    reading_room_bytes : float
        Bytes of further large requests for which the instance has memory, as known from
        the process's resident size; infinite if that is not limited.  Reservations
        reduce it until it is determined again.
    used_by_kind : dict
        Bytes held at present, by kind.
    closed_count : int
        Connections that were closed for the sake of others.

    Examples
    --------
    >>> from damasklead.clock import ManualClock
    >>> account = MemoryAccount(clock=ManualClock(), limit_bytes=100_000)
    >>> with account.open(close=lambda cause: None) as held:
    ...     held.hold(HeldKind.RESPONSE, 60_000)
    ...     held.hold(HeldKind.RESPONSE, 20_000)
    ...     account.used_bytes - CONNECTION_BYTES
    True
    True
    20000
    >>> account.used_bytes
    0
    """

    def __init__(self, *, clock: Clock, limit_bytes: float = math.inf) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = self.reserved_bytes = self.unread_bytes = 0
        self.peak_bytes = 0
        self.reading_room_bytes = math.inf
        self.used_by_kind = dict.fromkeys(HeldKind, 0)
        self.closed_count = 0
        self._clock = clock
        self._holdings: dict[Holding, None] = {}  # in the order in which they began
        self._next_search_at = -math.inf

    @property
    def is_limited(self) -> bool:
        """Whether the instance's memory is known."""
        return self.limit_bytes < math.inf

    @property
    def received_reserved_bytes(self) -> int:
        """Bytes of large requests that were received, and are held."""
        return self.reserved_bytes - self.unread_bytes

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._holdings)

    @property
    def is_exceeded(self) -> bool:
        """
        Whether more is held than the limit.

        What is being closed doesn't count unless it takes long to end.
        """
        excess_bytes = self.used_bytes - self.limit_bytes
        if excess_bytes <= 0:
            return False
        return (
            excess_bytes > MAX_CLOSING_FRACTION * self.limit_bytes
            or excess_bytes > self._get_closing_bytes()
        )

    @property
    def relay_threshold(self) -> int:
        """Size in bytes above which a response is relayed instead of buffered."""
        return compute_relay_threshold(
            used_bytes=self.used_bytes, limit_bytes=self.limit_bytes
        )

    def open(self, *, close: Callable[[str], None]) -> "Holding":
        """
        Return the holding of a new connection, with its fixed charge.

        It counts as waiting, so that it is not closed, until another stage is entered.

        Parameters
        ----------
        close : callable
            Closes the connection unless it has left the stage that it was in; called
            with the cause.
        """
        holding = Holding(account=self, clock=self._clock, close=close)
        self._holdings[holding] = None
        holding.hold(HeldKind.CONNECTION, CONNECTION_BYTES)
        return holding

    def count_by_stage(self) -> dict[str, int]:
        """Return the number of connections in each stage, and of those that close."""
        counts = dict.fromkeys([*(stage.value for stage in Stage), "closing"], 0)
        for holding in self._holdings:
            counts["closing" if holding.is_closing else holding.stage.value] += 1
        return counts

    def admit_request(self) -> bool:
        """
        Return whether a new request may be sent to a replica.

        Closes slow callers if there is no room.
        """
        room_bytes = REQUEST_FRACTION * self.limit_bytes
        if self.used_bytes <= room_bytes:
            return True
        self._relieve(excess_bytes=self.used_bytes - room_bytes)
        return not self.is_exceeded and has_room_for_request(
            used_bytes=self.used_bytes - self._get_closing_bytes(),
            limit_bytes=self.limit_bytes,
        )

    def close_connections(self, count: int) -> int:
        """
        Close slow or idle connections; returns the number that are being closed.

        Parameters
        ----------
        count : int
            Number of connections that have to be closed.
        """
        self._close(
            choose_closed(
                self._holdings, now=self._clock.now(), excess_connections=count
            ),
            "descriptors",
        )
        return sum(holding.is_closing for holding in self._holdings)

    def _change(self, kind: HeldKind, size: int) -> bool:
        """Add to a kind; returns whether the sum stays within the limit."""
        self.used_by_kind[kind] += size
        self.used_bytes += size
        if size <= 0:
            return True
        self.peak_bytes = max(self.peak_bytes, self.used_bytes - self.reserved_bytes)
        if self.used_bytes <= self.limit_bytes:
            return True
        self._relieve(excess_bytes=self.used_bytes - self.limit_bytes)
        return not self.is_exceeded

    def _reserve(self, size: int) -> bool:
        """
        Reserve room for bytes of a large request; returns whether there is room.

        No connection is closed for it: another large request would only be lost in
        its place.
        """
        if size > self.reading_room_bytes or not has_room_for_large_request(
            size=size, used_bytes=self.used_bytes, limit_bytes=self.limit_bytes
        ):
            return False
        self.reserved_bytes += size
        self.unread_bytes += size
        self.reading_room_bytes -= size
        return True

    def _get_closing_bytes(self) -> int:
        return sum(item.held_bytes for item in self._holdings if item.is_closing)

    def _relieve(self, *, excess_bytes: float) -> None:
        """Close connections until the excess is released."""
        now = self._clock.now()
        if now < self._next_search_at:
            return
        chosen = choose_closed(self._holdings, now=now, excess_bytes=excess_bytes)
        self._close(chosen, "memory")
        if self._get_closing_bytes() < excess_bytes:
            self._next_search_at = now + SEARCH_INTERVAL_SECONDS

    def _close(self, chosen: "list[Holding]", cause: str) -> None:
        for holding in chosen:
            holding.close(cause)
        self.closed_count += len(chosen)

    def _end(self, holding: "Holding") -> None:
        self._holdings.pop(holding, None)


def _ignore_cause(_cause: str) -> None:
    """Do nothing, since the connection has ended."""


class Holding:
    """
    What is held for one connection, as a context manager that ends with it.

    Parameters
    ----------
    account : MemoryAccount
    clock : Clock
    close : callable
        See ``MemoryAccount.open``.
    """

    def __init__(
        self, *, account: MemoryAccount, clock: Clock, close: Callable[[str], None]
    ) -> None:
        self._account = account
        self._clock = clock
        self._close = close
        self._by_kind = dict.fromkeys(HeldKind, 0)
        self._held_bytes = 0
        self._reserved_bytes = 0
        self._unread_bytes = 0
        # Not closed for its own sake before it is served.
        self._stage = Stage.WAITING
        self._waiting_since: float | None = None
        self._closing_cause = ""

    def __enter__(self) -> "Holding":
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.end()

    @property
    def stage(self) -> Stage:
        """What the connection is doing."""
        return self._stage

    @property
    def held_bytes(self) -> int:
        """Bytes held for the connection."""
        return self._held_bytes

    @property
    def waiting_since(self) -> float | None:
        """Clock time since when it is idle, being read, or accepts no bytes."""
        return self._waiting_since

    @property
    def is_closing(self) -> bool:
        """Whether the connection is being closed for the sake of others."""
        return bool(self._closing_cause)

    @property
    def closing_cause(self) -> str:
        """What the connection is being closed for; empty if it is not."""
        return self._closing_cause

    def begin_request(self) -> None:
        """Add the fixed charge of a request in progress."""
        self.hold(HeldKind.CONNECTION, CONNECTION_BYTES + REQUEST_BYTES)

    def end_request(self) -> None:
        """Release what is held for the request and its response."""
        self._end_reservation()
        self.hold(HeldKind.CONNECTION, CONNECTION_BYTES)
        self.hold(HeldKind.REQUEST, 0)
        self.hold(HeldKind.RESPONSE, 0)

    def enter(self, stage: Stage) -> None:
        """Record what the connection does from now on."""
        self._stage = stage
        self._closing_cause = ""
        is_waiting = stage in (Stage.IDLE, Stage.READING)
        self._waiting_since = self._clock.now() if is_waiting else None

    def record_stall(self) -> None:
        """Record that the caller's socket accepts no more bytes of a response."""
        if self._waiting_since is None:
            self._waiting_since = self._clock.now()

    def record_progress(self) -> None:
        """Record that the caller's socket has accepted bytes of a response."""
        self._waiting_since = None
        self._closing_cause = ""

    def hold(self, kind: HeldKind, size: int) -> bool:
        """
        Set the bytes that are held of a kind.

        Returns
        -------
        bool
            Whether they may be held; otherwise the request has to be given up.
        """
        change = size - self._by_kind[kind]
        if not change:
            return True
        self._by_kind[kind] = size
        self._held_bytes += change
        return self._account._change(kind, change)

    def add(self, kind: HeldKind, size: int) -> bool:
        """Add to the bytes that are held of a kind; returns whether they may be."""
        return self.hold(kind, self._by_kind[kind] + size)

    def reserve(self, size: int) -> bool:
        """
        Reserve room for bytes of a request that have not been received yet.

        Returns
        -------
        bool
            Whether there is room; otherwise the request has to be refused.
        """
        is_large = is_large_request(size + self._by_kind[HeldKind.REQUEST])
        if size <= 0 or not is_large:
            return True
        if not self._account._reserve(size):
            return False
        self._reserved_bytes += size
        self._unread_bytes += size
        return self.add(HeldKind.REQUEST, size)

    def receive(self, size: int) -> bool:
        """Charge bytes of a request that is read; returns whether it may go on."""
        reserved_bytes = min(size, self._unread_bytes)
        self._read_reserved(reserved_bytes)
        size -= reserved_bytes
        if reserved_bytes or not is_large_request(
            size + self._by_kind[HeldKind.REQUEST]
        ):
            return self.add(HeldKind.REQUEST, size) if size else True
        may_go_on = self.reserve(size + RESERVATION_STEP_BYTES)
        self._read_reserved(min(size, self._unread_bytes))
        return may_go_on

    def end_reading(self) -> None:
        """Release what was reserved for a request and has not been received."""
        unread_bytes = self._unread_bytes
        self._read_reserved(unread_bytes)
        self._reserved_bytes -= unread_bytes
        self._account.reserved_bytes -= unread_bytes
        self.add(HeldKind.REQUEST, -unread_bytes)

    def _read_reserved(self, size: int) -> None:
        self._unread_bytes -= size
        self._account.unread_bytes -= size

    def _end_reservation(self) -> None:
        self.end_reading()
        self._account.reserved_bytes -= self._reserved_bytes
        self._reserved_bytes = 0

    def close(self, cause: str) -> None:
        """Close the connection for the sake of others."""
        self._closing_cause = cause
        self._close(cause)

    def end(self) -> None:
        """Release everything that is held."""
        self._end_reservation()
        for kind in HeldKind:
            self.hold(kind, 0)
        self._account._end(self)
        # The connection and its buffers would otherwise wait for the cycle collector.
        self._close = _ignore_cause
