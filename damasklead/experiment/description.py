"""
Description of an experiment
============================

The engines, the callers and the troubles of one experiment, from a file of JSON with
comments.  Times are in seconds.
"""

from enum import Enum

import msgspec

from damasklead import jsonc
from damasklead.findings import Findings

__all__ = [
    "Burst",
    "Engines",
    "Experiment",
    "Fault",
    "FaultKind",
    "Kind",
    "Part",
    "Size",
    "check_experiment",
]


class Size(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """A log-normal number: its mean, the deviation of its logarithm, its maximum."""

    mean: float
    spread: float = 0.0
    most: float = float("inf")


class Part(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """
    A prompt part that prompts share.

    Attributes
    ----------
    subjects : int
        How many different ones there are.
    skew : float
        The n-th subject's share falls with n to this power.
    """

    tokens: Size
    subjects: int
    skew: float = 0.0


class Kind(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """
    A kind of request.

    Attributes
    ----------
    rate : float
        Requests a second over all gateways.
    tier : int
        Rank of its route; 0 goes first.
    target, event_gap : float
        Longest time to the first event and pause between events that are in time.
    timeout : float
        Time until which the caller waits.
    value, late_value : float
        What an answer is worth, in time and late.
    shared : list
        Parts of the prompt that others may have, from the first on.
    prompt, answer : Size
        Tokens of the prompt's own part, and of the answer.
    """

    name: str
    rate: float
    tier: int
    target: float
    event_gap: float
    timeout: float
    value: float
    late_value: float
    shared: list[Part]
    prompt: Size
    answer: Size
    resumable: bool = False


class Engines(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """
    The engines.

    Attributes
    ----------
    step, step_per_request, step_per_context_token : float
        Time of a step, and what each running request and token in memory adds.
    read_rate : float
        Prompt tokens read in a second, at most ``chunk`` in a step.
    pair_seconds : float
        Added for each pair of a read token and a token before it.
    queue : int
        Requests that wait in an engine beyond its slots before it refuses.
    copy_setup, copy_token : float
        Time to copy prompt parts from another engine, and what each token adds.
    speeds : list
        Factors of the time of all steps, by turns.
    """

    count: int
    slots: int
    queue: int
    memory_tokens: int
    step: float
    step_per_request: float
    step_per_context_token: float
    read_rate: float
    pair_seconds: float
    chunk: int
    tokens_per_event: int
    copy_setup: float = 0.002
    copy_token: float = 0.0000012
    speeds: tuple[float, ...] = (1.0,)


class Burst(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """A multiple of the usual rate of one kind, or of all."""

    at: float
    seconds: float
    factor: float
    kind: str | None = None


class FaultKind(Enum):
    """What goes wrong."""

    CRASH = "crash"
    SLOW = "slow"
    CUT = "cut"


class Fault(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """
    A trouble: engines that crash or are slow, gateways that don't hear each other.

    Attributes
    ----------
    share : float
        Part of the engines or gateways.
    factor : float
        How many times slower.
    """

    kind: FaultKind
    at: float
    seconds: float
    share: float
    factor: float = 1.0


class Experiment(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """
    One experiment.

    Attributes
    ----------
    delay, far_delay : float
        One way, within a data centre and between two.
    clump : float
        Mean number of requests that arrive together.
    """

    name: str
    seconds: float
    gateways: int
    data_centres: list[str]
    delay: float
    far_delay: float
    engines: Engines
    kinds: list[Kind]
    clump: float = 1.0
    bursts: list[Burst] = []
    faults: list[Fault] = []


def check_experiment(text: str, *, file: str, findings: Findings) -> Experiment | None:
    """
    Check a file; every problem is added to ``findings``.

    Returns
    -------
    Experiment or None
        ``None`` when anything is wrong.
    """
    return jsonc.convert(text, Experiment, file=file, findings=findings)
