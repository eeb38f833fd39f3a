"""
Load of an experiment
=====================

Generates the requests of one run: arrival times, gateways and prompts.  All random
draws depend on the experiment and the seed only, so each policy serves the same load.
"""

import math
import random
from collections.abc import Iterator

import msgspec

from damasklead.experiment.description import Burst, Experiment, LogNormal, RequestKind
from damasklead.gateway.calls import PromptPart
from damasklead.util import stable_hash

__all__ = ["Arrival", "generate_arrivals"]

# The requests of one group arrive within this time.
GROUP_SPREAD_SECONDS = 0.05


class Arrival(msgspec.Struct, kw_only=True, frozen=True):
    """
    The arrival of a request at a gateway.

    Attributes
    ----------
    number : int
        Number of the request in its run, from 1 on.
    arrival_time : float
        Seconds since the start of the run.
    gateway_index : int
        Index of the gateway among those of the experiment.
    kind : RequestKind
    prompt : tuple of PromptPart
        Shared parts first, then the request's own part.
    output_tokens : int
        Length of the response in tokens.
    """

    number: int
    arrival_time: float
    gateway_index: int
    kind: RequestKind
    prompt: tuple[PromptPart, ...]
    output_tokens: int


def generate_arrivals(experiment: Experiment, seed: int) -> Iterator[Arrival]:
    """Yield the requests of one run, kind by kind; the same for each policy."""
    number = 0
    for kind in experiment.kinds:
        rng = random.Random(f"{experiment.name} {kind.name} {seed}")
        prompts = _PromptGenerator(kind=kind)
        arrival_time = 0.0
        while True:
            rate = kind.rate * _compute_rate_factor(
                experiment.bursts, kind, arrival_time
            )
            arrival_time += rng.expovariate(rate / experiment.clump)
            if arrival_time >= experiment.seconds:
                break
            for _ in range(_draw_group_size(rng, experiment.clump)):
                number += 1
                yield Arrival(
                    number=number,
                    arrival_time=arrival_time + rng.uniform(0, GROUP_SPREAD_SECONDS),
                    gateway_index=rng.randrange(experiment.gateways),
                    kind=kind,
                    prompt=prompts.generate_prompt(rng, number),
                    output_tokens=draw_integer(rng, kind.answer),
                )


class _PromptGenerator:
    """
    Draws the prompts of one kind of request.

    The shared parts form a tree: each subject of a level belongs to one subject of the
    level before it, and all prompts of a subject start with the same parts.
    """

    def __init__(self, *, kind: RequestKind) -> None:
        self._kind = kind
        self._weights = [
            [(rank + 1) ** -part.skew for rank in range(part.subjects)]
            for part in kind.shared
        ]

    def generate_prompt(
        self, rng: random.Random, number: int
    ) -> tuple[PromptPart, ...]:
        """Draw a subject of the last level; return its path and an own part."""
        parts: list[PromptPart] = []
        index = 0
        for level in reversed(range(len(self._kind.shared))):
            weights = self._weights[level]
            if parts:
                # Seeded by the subject, so that its parent is the same in each prompt.
                parent_rng = random.Random(stable_hash(self._kind.name, str(index)))
                index = parent_rng.choices(range(len(weights)), weights)[0]
            else:
                index = rng.choices(range(len(weights)), weights)[0]
            parts.insert(0, self._make_part(level, index))
        own = draw_integer(rng, self._kind.prompt)
        return (*parts, PromptPart(key=f"own-{number}", tokens=own))

    def _make_part(self, level: int, index: int) -> PromptPart:
        key = f"{self._kind.name}-{level}-{index}"
        size = self._kind.shared[level].tokens
        return PromptPart(key=key, tokens=draw_integer(random.Random(key), size))


def draw_integer(rng: random.Random, size: LogNormal) -> int:
    """Draw an integer of at least 1 from a log-normal distribution."""
    log_mean = math.log(size.mean) - size.spread**2 / 2
    return max(1, int(min(size.most, rng.lognormvariate(log_mean, size.spread))))


def _draw_group_size(rng: random.Random, mean: float) -> int:
    """Draw the number of requests in a group from a geometric distribution."""
    count = 1
    while rng.random() > 1 / mean:
        count += 1
    return count


def _compute_rate_factor(bursts: list[Burst], kind: RequestKind, time: float) -> float:
    factor = 1.0
    for burst in bursts:
        if burst.at <= time < burst.at + burst.seconds and burst.kind in (
            None,
            kind.name,
        ):
            factor *= burst.factor
    return factor
