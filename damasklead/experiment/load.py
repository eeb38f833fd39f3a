"""
Load of an experiment
=====================

The requests of one run: when they come, to which gateway, and their prompts.
"""

import math
import random
from collections.abc import Iterator

import msgspec

from damasklead.experiment.description import Burst, Experiment, Kind, Size
from damasklead.gateway.calls import PromptPart
from damasklead.util import stable_hash

__all__ = ["Arrival", "arrivals"]

# Requests of one group come within this time.
CLUMP_SECONDS = 0.05


class Arrival(msgspec.Struct, kw_only=True, frozen=True):
    """A request as it reaches a gateway; ``answer`` is known to the engine only."""

    number: int
    at: float
    gateway: int
    kind: Kind
    prompt: tuple[PromptPart, ...]
    answer: int


def arrivals(experiment: Experiment, seed: int) -> Iterator[Arrival]:
    """Yield the requests of one run; the same for every policy."""
    number = 0
    for kind in experiment.kinds:
        source = random.Random(f"{experiment.name} {kind.name} {seed}")
        subjects = _Subjects(kind=kind)
        at = 0.0
        while True:
            rate = kind.rate * _factor(experiment.bursts, kind, at)
            at += source.expovariate(rate / experiment.clump)
            if at >= experiment.seconds:
                break
            for _ in range(_clump(source, experiment.clump)):
                number += 1
                yield Arrival(
                    number=number,
                    at=at + source.uniform(0, CLUMP_SECONDS),
                    gateway=source.randrange(experiment.gateways),
                    kind=kind,
                    prompt=subjects.prompt(source, number),
                    answer=draw(source, kind.answer),
                )


class _Subjects:
    """The prompt parts that requests of one kind share."""

    def __init__(self, *, kind: Kind) -> None:
        self._kind = kind
        self._weights = [
            [(rank + 1) ** -part.skew for rank in range(part.subjects)]
            for part in kind.shared
        ]

    def prompt(self, source: random.Random, number: int) -> tuple[PromptPart, ...]:
        """Draw a prompt: a subject, all that belongs before it, and an own part."""
        parts: list[PromptPart] = []
        index = 0
        for level in reversed(range(len(self._kind.shared))):
            weights = self._weights[level]
            if parts:
                # A subject belongs to the same one of the level before each time.
                owner = random.Random(stable_hash(self._kind.name, str(index)))
                index = owner.choices(range(len(weights)), weights)[0]
            else:
                index = source.choices(range(len(weights)), weights)[0]
            parts.insert(0, self._part(level, index))
        own = draw(source, self._kind.prompt)
        return (*parts, PromptPart(key=f"own-{number}", tokens=own))

    def _part(self, level: int, index: int) -> PromptPart:
        key = f"{self._kind.name}-{level}-{index}"
        size = self._kind.shared[level].tokens
        return PromptPart(key=key, tokens=draw(random.Random(key), size))


def draw(source: random.Random, size: Size) -> int:
    """Draw a whole number from 1 on."""
    centre = math.log(size.mean) - size.spread**2 / 2
    return max(1, int(min(size.most, source.lognormvariate(centre, size.spread))))


def _clump(source: random.Random, mean: float) -> int:
    """Draw how many requests come together."""
    count = 1
    while source.random() > 1 / mean:
        count += 1
    return count


def _factor(bursts: list[Burst], kind: Kind, at: float) -> float:
    factor = 1.0
    for burst in bursts:
        if burst.at <= at < burst.at + burst.seconds and burst.kind in (
            None,
            kind.name,
        ):
            factor *= burst.factor
    return factor
