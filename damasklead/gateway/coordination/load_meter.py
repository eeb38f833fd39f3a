"""
Load meter
==========

Counts what a cell's coordinator handles, for reports of the cell's load.  No I/O.
"""

from collections import OrderedDict

import msgspec

from damasklead.clock import Clock
from damasklead.gateway.calls import PromptPart
from damasklead.util import hash_name

__all__ = ["LoadCounts", "LoadMeter"]

# Time after its last use for which a shared part counts as worth caching.
PART_SECONDS = 60.0
# Maximum number of shared parts that are counted, of about 150 bytes each; LRU.
MAX_PARTS = 10_000


class LoadCounts(msgspec.Struct, kw_only=True, frozen=True):
    """
    Counts since they were last taken.

    Attributes
    ----------
    seconds : float
        Time that they cover.
    arrivals, refusals : int
        Requests that arrived, and those that were refused.
    shared_tokens : int
        Tokens of the different shared parts that were used recently.
    """

    seconds: float
    arrivals: int
    refusals: int
    shared_tokens: int


class LoadMeter:
    """
    Counts the requests of one cell.

    Parameters
    ----------
    clock : Clock

    Examples
    --------
    >>> from damasklead import ManualClock
    >>> clock = ManualClock()
    >>> meter = LoadMeter(clock=clock)
    >>> for _ in range(3):
    ...     meter.record_arrival((PromptPart("rules", 700), PromptPart("text", 90)))
    >>> clock.advance(1.0)
    >>> counts = meter.take_counts()
    >>> counts.arrivals, counts.shared_tokens, meter.take_counts().arrivals
    (3, 700, 0)
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._taken_at = clock.now()
        self._arrivals = 0
        self._refusals = 0
        self._parts: OrderedDict[int, tuple[int, float]] = OrderedDict()

    def record_arrival(self, prompt: tuple[PromptPart, ...]) -> None:
        """Count a request that arrived, and the shared parts of its prompt."""
        self._arrivals += 1
        now = self._clock.now()
        for part in prompt[:-1]:
            key = hash_name(part.key)
            self._parts[key] = (part.tokens, now)
            self._parts.move_to_end(key)
        while len(self._parts) > MAX_PARTS:
            self._parts.popitem(last=False)

    def record_refusal(self) -> None:
        """Count a request that was refused."""
        self._refusals += 1

    def take_counts(self) -> LoadCounts:
        """Return the counts and start anew."""
        now = self._clock.now()
        while self._parts:
            key, (_, used_at) = next(iter(self._parts.items()))
            if now - used_at <= PART_SECONDS:
                break
            del self._parts[key]
        counts = LoadCounts(
            seconds=now - self._taken_at,
            arrivals=self._arrivals,
            refusals=self._refusals,
            shared_tokens=sum(tokens for tokens, _ in self._parts.values()),
        )
        self._taken_at = now
        self._arrivals = self._refusals = 0
        return counts
