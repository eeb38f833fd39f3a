"""
Tally of an experiment
======================

What callers got, by kind of request and by second.
"""

from collections.abc import Sequence
from enum import Enum

import msgspec

from damasklead.experiment.description import Kind

__all__ = ["KindTally", "Outcome", "Result", "Tally"]

# The worst windows are the worst seconds of a day, two of this length.
WINDOW_SECONDS = 2.0
WORST_WINDOWS = 2
# A request is worth this much of its kind's mean whatever its size, the rest by size.
FLAT_VALUE = 0.3
MOST_VALUE = 4.0


class Result(Enum):
    """How a request ended for its caller."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


class Outcome(msgspec.Struct, kw_only=True, frozen=True):
    """One request's end; ``size`` are its prompt's tokens, ``waited`` seconds."""

    kind: Kind
    at: float
    size: int
    result: Result
    waited: float = 0.0

    @property
    def earned(self) -> float:
        """The part of its value that it earned."""
        if self.result is Result.IN_TIME:
            return 1.0
        late = self.kind.late_value / self.kind.value
        return late if self.result is Result.LATE else 0.0


class KindTally(msgspec.Struct, kw_only=True, frozen=True):
    """The results of one kind of request."""

    counts: dict[Result, int]
    earned: float
    longest_wait: float


class Tally:
    """
    All outcomes of one run.

    Attributes
    ----------
    read, read_again, copied : int
        Prompt tokens that the engines read, those of shared parts read again, and those
        copied between engines.
    far_bytes : int
        Bytes of prompts sent to other data centres.
    """

    def __init__(self) -> None:
        self.read = 0
        self.read_again = 0
        self.copied = 0
        self.far_bytes = 0
        self._outcomes: list[Outcome] = []

    def add(self, outcome: Outcome) -> None:
        """Take in how a request ended."""
        self._outcomes.append(outcome)

    def kinds(self) -> dict[str, KindTally]:
        """Return the results by kind."""
        names = sorted({item.kind.name for item in self._outcomes})
        return {
            name: _tally([x for x in self._outcomes if x.kind.name == name])
            for name in names
        }

    def attainment(self) -> float:
        """Return the earned part of what all requests were worth."""
        return _earned(self._outcomes)

    def by_second(self, seconds: float = WINDOW_SECONDS) -> list[tuple[float, float]]:
        """Return the begin of each window of the day and the part earned in it."""
        windows: dict[int, list[Outcome]] = {}
        for item in self._outcomes:
            windows.setdefault(int(item.at / seconds), []).append(item)
        return [(number * seconds, _earned(items)) for number, items in windows.items()]

    def worst(self) -> tuple[float, float]:
        """Return what was earned in the worst windows, and by the worst kind."""
        windows = sorted(earned for _, earned in self.by_second())[:WORST_WINDOWS]
        kinds = [item.earned for item in self.kinds().values()]
        return sum(windows) / max(1, len(windows)), min(kinds, default=1.0)


def _tally(outcomes: Sequence[Outcome]) -> KindTally:
    return KindTally(
        counts={
            result: sum(item.result is result for item in outcomes) for result in Result
        },
        earned=_earned(outcomes),
        longest_wait=max(item.waited for item in outcomes),
    )


def _earned(outcomes: Sequence[Outcome]) -> float:
    """Return the earned part, each request weighed by its value and size."""
    if not outcomes:
        return 1.0
    sizes: dict[str, list[int]] = {}
    for item in outcomes:
        sizes.setdefault(item.kind.name, []).append(item.size)
    means = {name: sum(values) / len(values) for name, values in sizes.items()}
    owed = earned = 0.0
    for item in outcomes:
        share = FLAT_VALUE + (1 - FLAT_VALUE) * item.size / means[item.kind.name]
        value = item.kind.value * min(MOST_VALUE, share)
        owed += value
        earned += value * item.earned
    return earned / owed
