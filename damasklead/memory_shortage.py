"""
Memory shortage
===============

Decides which requests are refused and which connections are closed when a process
holds as many bytes, or as many connections, as its instance has room for.  No I/O.

Load pattern: hundreds of callers request long responses and read them slowly or not at
all, while ordinary callers send requests that need little memory for a short time.

* A new request is refused before it is sent to a replica once less than a fifth of the
  limit is free.  What is free belongs to the requests in progress.
* A long request is refused before its body is read, unless there is room for all of it
  within a part of the limit and beside the memory that the process takes.
* To make room, responses whose callers accept no bytes and requests that arrive slowly
  are closed, those with the most bytes held for the longest time first; then idle
  connections, the longest idle first.  A request that is executed is never closed.
"""

import math
from collections.abc import Iterable
from enum import Enum
from typing import Protocol, TypeVar

__all__ = [
    "Holder",
    "Stage",
    "choose_closed",
    "compute_memory_limit",
    "compute_reading_room",
    "compute_relay_threshold",
    "has_room_for_large_request",
    "has_room_for_request",
    "is_large_request",
]

# New requests are refused above this fraction of the limit.
REQUEST_FRACTION = 0.8
# Requests larger than this may take no more than the lower fraction, so that callers
# that send large requests leave room for ordinary ones.
LARGE_REQUEST_BYTES = 65_536
LARGE_REQUEST_FRACTION = 0.6
# Responses that take no more than this are buffered, so that they can be retried; less
# while more than half of the limit is used.
RELAY_THRESHOLD_BYTES = 262_144
SCARCE_RELAY_THRESHOLD_BYTES = 32_768
SCARCE_FRACTION = 0.5
# A response may be closed for the sake of others when its caller has accepted nothing
# for this long.  A caller with a round trip of half a second is not slow.
MIN_STALLED_SECONDS = 1.0
# The same for a request that has not arrived completely; one of some megabytes takes
# this long over a slow link.
MIN_READING_SECONDS = 3.0
# What a process takes without callers, and the part of the memory that is left for what
# the account doesn't see: copies on the way, and blocks that the allocator keeps.
PROCESS_BYTES = 41_943_040
UNSEEN_FRACTION = 0.08
# Memory that a held byte takes, with copies and the loss of the allocator, as seen with
# 1,600 callers of chunked responses.
BYTES_PER_HELD_BYTE = 1.5
# Smallest limit, for an instance whose memory the process itself takes.
MIN_LIMIT_BYTES = 4_194_304


class Stage(Enum):
    """
    What a caller's connection is doing.

    ``IDLE``: it has no request.  ``READING``: a request is being read.  ``WAITING``: a
    request is being executed, or waits for that.  ``SENDING``: a response is being
    sent.
    """

    IDLE = "idle"
    READING = "reading"
    WAITING = "waiting"
    SENDING = "sending"


class Holder(Protocol):
    """
    A connection as the decisions see it.

    Attributes
    ----------
    stage : Stage
    held_bytes : int
        Bytes that are held for it.
    waiting_since : float or None
        Clock time since when it is idle, a request is being read, or its caller's
        socket has accepted no bytes of a response; ``None`` if none applies.
    is_closing : bool
        Whether it is being closed already.
    """

    @property
    def stage(self) -> Stage: ...  # noqa: D102

    @property
    def held_bytes(self) -> int: ...  # noqa: D102

    @property
    def waiting_since(self) -> float | None: ...  # noqa: D102

    @property
    def is_closing(self) -> bool: ...  # noqa: D102


H = TypeVar("H", bound=Holder)

_MIN_SECONDS = {
    Stage.READING: MIN_READING_SECONDS,
    Stage.SENDING: MIN_STALLED_SECONDS,
}


def has_room_for_request(*, used_bytes: float, limit_bytes: float) -> bool:
    """
    Return whether a new request may be sent to a replica.

    Examples
    --------
    >>> has_room_for_request(used_bytes=700, limit_bytes=1000)
    True
    >>> has_room_for_request(used_bytes=900, limit_bytes=1000)
    False
    """
    return used_bytes <= REQUEST_FRACTION * limit_bytes


def is_large_request(size: int) -> bool:
    """Return whether a request needs a reservation before it is read."""
    return size > LARGE_REQUEST_BYTES


def has_room_for_large_request(
    *, size: int, used_bytes: float, limit_bytes: float
) -> bool:
    """
    Return whether some more bytes of a large request may be read.

    Examples
    --------
    >>> has_room_for_large_request(size=200, used_bytes=700, limit_bytes=1000)
    False
    >>> has_room_for_large_request(size=200, used_bytes=100, limit_bytes=1000)
    True
    """
    return used_bytes + size <= LARGE_REQUEST_FRACTION * limit_bytes


def compute_relay_threshold(*, used_bytes: float, limit_bytes: float) -> int:
    """
    Return the size in bytes above which a response is relayed instead of buffered.

    Examples
    --------
    >>> compute_relay_threshold(used_bytes=0, limit_bytes=20e6)
    262144
    >>> compute_relay_threshold(used_bytes=15e6, limit_bytes=20e6)
    32768
    """
    if used_bytes > SCARCE_FRACTION * limit_bytes:
        return SCARCE_RELAY_THRESHOLD_BYTES
    return RELAY_THRESHOLD_BYTES


def choose_closed(
    holders: Iterable[H],
    *,
    now: float,
    excess_bytes: float = 0.0,
    excess_connections: int = 0,
) -> list[H]:
    """
    Return the connections to close, until nothing exceeds the limits any more.

    Parameters
    ----------
    holders : iterable
        All open connections.
    now : float
        Clock time in seconds.
    excess_bytes : float
        Bytes that have to be released.
    excess_connections : int
        Number of connections that have to be closed.
    """

    def get_seconds(holder: H) -> float:
        return now - (now if holder.waiting_since is None else holder.waiting_since)

    stalled: list[H] = []
    idle: list[H] = []
    for holder in holders:
        if holder.is_closing:
            excess_bytes -= holder.held_bytes
            excess_connections -= 1
        elif holder.stage is Stage.IDLE:
            idle.append(holder)
        elif get_seconds(holder) >= _MIN_SECONDS.get(holder.stage, math.inf):
            stalled.append(holder)
    stalled.sort(key=lambda item: item.held_bytes * get_seconds(item), reverse=True)
    idle.sort(key=get_seconds, reverse=True)
    chosen: list[H] = []
    for holder in [*stalled, *idle]:
        if excess_bytes <= 0 and excess_connections <= 0:
            break
        chosen.append(holder)
        excess_bytes -= holder.held_bytes
        excess_connections -= 1
    return chosen


def compute_memory_limit(
    *, memory_bytes: float, resident_bytes: float = 0.0, peak_held_bytes: float = 0.0
) -> int:
    """
    Return the limit on the bytes held for callers.

    Parameters
    ----------
    memory_bytes : float
        Memory of the instance.
    resident_bytes : float
        Memory that the process takes at present.
    peak_held_bytes : float
        Largest number of bytes that were held at once since the start, without those of
        large requests.  The allocator may keep their memory, which therefore still
        counts as theirs.

    Examples
    --------
    >>> compute_memory_limit(memory_bytes=128e6) > 45e6
    True
    >>> compute_memory_limit(memory_bytes=128e6, resident_bytes=90e6) < 25e6
    True
    """
    process_bytes = max(
        PROCESS_BYTES, resident_bytes - BYTES_PER_HELD_BYTE * peak_held_bytes
    )
    free_bytes = (1 - UNSEEN_FRACTION) * memory_bytes - process_bytes
    return max(MIN_LIMIT_BYTES, int(free_bytes / BYTES_PER_HELD_BYTE))


def compute_reading_room(
    *, memory_bytes: float, resident_bytes: float, unread_bytes: float
) -> float:
    """
    Return the bytes of large requests for which an instance has memory at present.

    Unlike the limit on what is held, it covers whatever the process takes: memory that
    the allocator keeps, and copies that no account sees.

    Parameters
    ----------
    memory_bytes : float
        Memory of the instance.
    resident_bytes : float
        Memory that the process takes at present.
    unread_bytes : float
        Bytes of requests that are being read, and have not arrived yet.

    Examples
    --------
    >>> compute_reading_room(memory_bytes=100e6, resident_bytes=80e6, unread_bytes=2e6)
    10000000.0
    >>> compute_reading_room(memory_bytes=100e6, resident_bytes=95e6, unread_bytes=0)
    0.0
    """
    free_bytes = (1 - UNSEEN_FRACTION) * memory_bytes - resident_bytes
    return max(0.0, free_bytes - unread_bytes)
