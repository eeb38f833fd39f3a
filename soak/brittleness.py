"""
Brittleness
===========

A time in which replicas are brittle: they soon queue nothing, and one that rejects too
many requests in a second for want of room crashes.
"""

import time
from collections.abc import Callable

import msgspec

__all__ = ["SLOTS", "Brittleness", "Room"]

# Requests that a replica executes at once while it is brittle, as its entry says.
SLOTS = 6
# From when replicas say that they are brittle until they queue nothing.
STABLE_SECONDS = 3.0


class Brittleness(msgspec.Struct, kw_only=True):
    """
    One time in which all replicas are brittle.

    Attributes
    ----------
    limit : int
        Requests that a replica may reject in a second.
    replica_count : int
        Number of replicas.
    started_at : float
        When the responses began to name the limit, in seconds of the monotonic clock.
    crashes : list of str
        Names of the replicas that crashed.
    rejection_count : int
        Requests that replicas rejected.
    """

    limit: int
    replica_count: int
    started_at: float
    crashes: list[str] = []
    rejection_count: int = 0


class Room:
    """
    The room of one replica for requests.

    Parameters
    ----------
    name : str
        Name of the replica.
    get_brittleness : callable
        Returns the present brittleness, ``None`` without one.
    on_crash : callable
        Called when the replica crashes.
    """

    def __init__(
        self,
        *,
        name: str,
        get_brittleness: Callable[[], Brittleness | None],
        on_crash: Callable[[], None],
    ) -> None:
        self._name = name
        self._get_brittleness = get_brittleness
        self._on_crash = on_crash
        self._running = 0
        self._rejected_at: list[float] = []

    @property
    def limit(self) -> int | None:
        """The limit that responses name at present."""
        brittleness = self._get_brittleness()
        return None if brittleness is None else brittleness.limit

    def accept(self) -> bool:
        """Return whether a request is executed; ``release`` ends it."""
        brittleness = self._get_brittleness()
        now = time.monotonic()
        if (
            brittleness is not None
            and now - brittleness.started_at >= STABLE_SECONDS
            and self._running >= SLOTS
        ):
            self._reject(brittleness, now)
            return False
        self._running += 1
        return True

    def release(self) -> None:
        """Record the end of an execution."""
        self._running -= 1

    def _reject(self, brittleness: Brittleness, now: float) -> None:
        brittleness.rejection_count += 1
        self._rejected_at = [at for at in self._rejected_at if now - at < 1.0] + [now]
        if len(self._rejected_at) > brittleness.limit:
            self._rejected_at.clear()
            brittleness.crashes.append(self._name)
            self._on_crash()
