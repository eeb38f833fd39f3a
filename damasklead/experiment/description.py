"""
Description of an experiment
============================

The engines, requests and faults of one experiment, from a file of JSON with comments.
Times are in seconds, also those since the start of the run.
"""

from enum import Enum

import msgspec

from damasklead import jsonc
from damasklead.findings import Findings

__all__ = [
    "Burst",
    "Contention",
    "EngineParameters",
    "Experiment",
    "Fault",
    "FaultKind",
    "LogNormal",
    "RequestKind",
    "SharedPart",
    "check_experiment",
]


class LogNormal(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """
    Log-normal distribution of a number of tokens.

    Attributes
    ----------
    mean : float
    spread : float
        Standard deviation of the logarithm.
    most : float
        Maximum; greater draws are reduced to it.
    """

    mean: float
    spread: float = 0.0
    most: float = float("inf")


class SharedPart(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """
    A level of prompt parts that requests share.

    Attributes
    ----------
    tokens : LogNormal
        Length of a part.
    subjects : int
        Number of different parts on this level.
    skew : float
        Exponent of the Zipf distribution of subjects: the n-th one's weight is n to the
        power of minus this.
    """

    tokens: LogNormal
    subjects: int
    skew: float = 0.0


class RequestKind(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """
    A kind of request.

    Attributes
    ----------
    name : str
        Also the name of its route.
    rate : float
        Requests per second over all gateways.
    tier : int
        Priority of its route; tier 0 is served first.
    target : float
        Seconds within which the first event is in time.
    event_gap : float
        Longest gap in seconds between events of a response that is in time.
    timeout : float
        Seconds from arrival after which the caller gives up.
    value, late_value : float
        Value of a response that is in time, and of one that is late.
    shared : list of SharedPart
        Levels of shared prompt parts, from the start of the prompt on.
    prompt : LogNormal
        Tokens of the part that only this request has.
    answer : LogNormal
        Tokens of the response.
    resumable : bool
        Whether an interrupted response may be continued by another attempt.
    """

    name: str
    rate: float
    tier: int
    target: float
    event_gap: float
    timeout: float
    value: float
    late_value: float
    shared: list[SharedPart]
    prompt: LogNormal
    answer: LogNormal
    resumable: bool = False


class Contention(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """
    Times at which the engines' machines do other work, at random for each engine.

    Attributes
    ----------
    interval : float
        Mean seconds from the end of such a time to the next one at the same engine.
    seconds : float
        Duration.
    factor : float
        Factor of the time of steps meanwhile.
    """

    interval: float
    seconds: float
    factor: float


class EngineParameters(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """
    Number and performance model of the engines.

    Attributes
    ----------
    count : int
        Number of engines.
    slots : int
        Requests that an engine runs at the same time.
    queue : int
        Requests that an engine queues beyond its slots before it refuses.
    memory_tokens : int
        Tokens that fit in an engine's memory, of running requests and cached parts.
    step, step_per_request, step_per_context_token : float
        Seconds of a step, and what each running request and each token of its context
        adds.
    read_rate : float
        Prompt tokens prefilled per second, at most ``chunk`` in a step.
    pair_seconds : float
        Seconds added for each pair of a prefilled token and a token before it.
    chunk : int
        Most prompt tokens that are prefilled in one step.
    tokens_per_event : int
        Tokens in one event of a stream.
    copy_setup, copy_token : float
        Seconds to copy prompt parts from another engine, and what each token adds.
    speeds : tuple of float
        Factors of the time of all steps, assigned to the engines in turn.
    contention : Contention or None
        ``None`` if the engines don't share their machines.
    reports_slowdown : bool
        Whether the load that engines report states how much slower than usual they are,
        without their own factor of ``speeds``.
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
    contention: Contention | None = None
    reports_slowdown: bool = False


class Burst(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """
    A time of increased arrivals.

    Attributes
    ----------
    at, seconds : float
        Start and duration.
    factor : float
        Multiplies the arrival rate.
    kind : str or None
        Name of the kind of request; ``None`` for all kinds.
    """

    at: float
    seconds: float
    factor: float
    kind: str | None = None


class FaultKind(Enum):
    """Crash of engines, slow engines, or gateways partitioned from each other."""

    CRASH = "crash"
    SLOWDOWN = "slow"
    PARTITION = "cut"


class Fault(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """
    A fault of some engines or gateways.

    Attributes
    ----------
    kind : FaultKind
    at, seconds : float
        Start and duration.
    share : float
        Fraction of the engines or gateways that are affected, at least one.
    factor : float
        Factor of the time of steps of slow engines.
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
    name : str
    seconds : float
        Time during which requests arrive.
    gateways : int
        Number of gateways.
    data_centres : list of str
        Names of the data centres, which gateways and engines are assigned to in turn.
    delay, far_delay : float
        One-way network delay in seconds within a data centre and between two.
    engines : EngineParameters
    kinds : list of RequestKind
    clump : float
        Mean number of requests that arrive as a group.
    bursts : list of Burst
    faults : list of Fault
    """

    name: str
    seconds: float
    gateways: int
    data_centres: list[str]
    delay: float
    far_delay: float
    engines: EngineParameters
    kinds: list[RequestKind]
    clump: float = 1.0
    bursts: list[Burst] = []
    faults: list[Fault] = []


def check_experiment(text: str, *, file: str, findings: Findings) -> Experiment | None:
    """
    Parse and check the description of an experiment.

    Parameters
    ----------
    text : str
        JSON with comments.
    file : str
        Name of the file in the findings.
    findings : Findings
        Receives each problem.

    Returns
    -------
    Experiment or None
        ``None`` when there are findings.
    """
    return jsonc.convert(text, Experiment, file=file, findings=findings)
