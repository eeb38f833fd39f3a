"""
Workloads
=========

Arrivals of both deployments, and the scenarios that the policies are compared in.
"""

import random
from collections.abc import Iterator
from enum import Enum

import msgspec

from damasklead.configuration import PoolScope, RequestClass, Service, ServiceKind
from damasklead.ids import (
    DataCentre,
    Fingerprint,
    RequestId,
    ServiceName,
    WorkspaceId,
)
from damasklead.requests import Request

HORIZON_SECONDS = 120.0  # end of the arrivals
BURST_SECONDS = (30.0, 60.0)  # start and end of the burst
ENTRY_COUNT = 8
WORKSPACE_COUNT = 10
# A culprit is a request that crashes each replica that executes it.
CULPRIT_INTERVAL_SECONDS = 15.0
PREFIXES_PER_WORKSPACE = 3


class Fault(Enum):
    """A fault of a scenario."""

    STRAGGLER = "straggler"
    CRASH = "crash"
    COORDINATOR_LOSS = "coordinator lost"
    REPORT_LOSS = "reports silent"
    CULPRIT = "poison"
    SKEW = "skew"


class ClassLoad(msgspec.Struct, kw_only=True, frozen=True):
    """
    The load of one request class.

    Attributes
    ----------
    request_class : RequestClass
        The class.
    rate : float
        Mean rate in requests/s.
    mean_output_tokens : float
        Mean length of the responses in tokens.
    mean_prompt_tokens : int
        Mean length of the prompts in tokens.
    """

    request_class: RequestClass
    rate: float
    mean_output_tokens: float
    mean_prompt_tokens: int


class Deployment(msgspec.Struct, kw_only=True, frozen=True):
    """
    A model service and its load.

    Attributes
    ----------
    name : str
        Name of the service.
    replicas : int
        Number of replicas.
    data_centres : tuple of str
        Data centres, to which entries and replicas are assigned in turn.
    loads : tuple of ClassLoad
        The load of each request class.
    """

    name: str
    replicas: int
    data_centres: tuple[str, ...]
    loads: tuple[ClassLoad, ...]

    @property
    def service(self) -> Service:
        """Configuration of the service with its request classes."""
        return Service(
            name=ServiceName(self.name),
            kind=ServiceKind.ENGINE,
            models=("m",),
            pool_scope=PoolScope.REGION,
            checks_fencing=False,
            classes=tuple(load.request_class for load in self.loads),
        )

    def get_data_centre(self, number: int) -> DataCentre:
        """Return the data centre of the entry or replica of this number."""
        return DataCentre(self.data_centres[number % len(self.data_centres)])


class Scenario(msgspec.Struct, kw_only=True, frozen=True):
    """
    A variation of the load, with faults.

    Attributes
    ----------
    name : str
        Name in the results; it also seeds the arrivals.
    burst_factors : dict
        Factor on the arrival rate during the burst, by tier; 1 where none is given.
    base_factors : dict
        Factor on the arrival rate at all times, by tier; 1 where none is given.
    faults : tuple of Fault
        The faults that are injected.
    """

    name: str
    burst_factors: dict[int, float] = msgspec.field(default_factory=dict)
    base_factors: dict[int, float] = msgspec.field(default_factory=dict)
    faults: tuple[Fault, ...] = ()


def _make_request_class(name: str, tier: int, **targets: float) -> RequestClass:
    values = {"queue_bound": 2000, "max_wait": 600.0, **targets}
    return msgspec.convert(
        {"name": name, "service": "s", "tier": tier, **values}, RequestClass
    )


SKILFER_LLM = Deployment(
    name="skilfer-llm",
    replicas=10,
    data_centres=("saldanha", "hout", "mossel"),
    loads=(
        ClassLoad(
            request_class=_make_request_class(
                "dispatch-query", 1, first_token_target=0.34, token_gap_target=0.026
            ),
            rate=10.0, mean_output_tokens=120.0, mean_prompt_tokens=600,
        ),
        ClassLoad(
            request_class=_make_request_class(
                "transcript", 2, first_token_target=1.0, token_gap_target=0.04
            ),
            rate=5.0, mean_output_tokens=200.0, mean_prompt_tokens=900,
        ),
        ClassLoad(
            request_class=_make_request_class(
                "quotation", 3, response_target=30.0, minimum_share=0.03
            ),
            rate=5.0, mean_output_tokens=300.0, mean_prompt_tokens=800,
        ),
        ClassLoad(
            request_class=_make_request_class(
                "contract-reading", 5, response_target=500.0, minimum_share=0.02
            ),
            rate=5.0, mean_output_tokens=800.0, mean_prompt_tokens=2000,
        ),
    ),
)  # fmt: skip
LEAD_MODELS = Deployment(
    name="lead-models",
    replicas=6,
    data_centres=("dar-a", "dar-b", "dar-c"),
    loads=(
        ClassLoad(
            request_class=_make_request_class(
                "folder-guidance", 1, first_token_target=0.34, token_gap_target=0.026
            ),
            rate=5.0, mean_output_tokens=150.0, mean_prompt_tokens=500,
        ),
        ClassLoad(
            request_class=_make_request_class(
                "quick-question", 2, first_token_target=1.0, token_gap_target=0.04
            ),
            rate=5.0, mean_output_tokens=150.0, mean_prompt_tokens=400,
        ),
        ClassLoad(
            request_class=_make_request_class(
                "overnight-review", 5, response_target=900.0, minimum_share=0.02
            ),
            rate=2.0, mean_output_tokens=1500.0, mean_prompt_tokens=3000,
        ),
    ),
)  # fmt: skip
DEPLOYMENTS = (SKILFER_LLM, LEAD_MODELS)
SCENARIOS = (
    Scenario(name="steady"),
    Scenario(name="whole fleet landing", burst_factors={1: 4.0}),
    Scenario(name="all shifts start", burst_factors={1: 2.0, 2: 2.0, 3: 2.0}),
    Scenario(name="reviews fill, burst", burst_factors={1: 4.0}, base_factors={5: 3.0}),
    Scenario(name="straggler", faults=(Fault.STRAGGLER,)),
    Scenario(name="crash", faults=(Fault.CRASH,)),
    Scenario(
        name="coordinator lost",
        burst_factors={1: 4.0},
        faults=(Fault.COORDINATOR_LOSS,),
    ),
    Scenario(
        name="reports silent", burst_factors={1: 2.0}, faults=(Fault.REPORT_LOSS,)
    ),
    Scenario(name="one entry gets 60 %", burst_factors={1: 2.0}, faults=(Fault.SKEW,)),
    Scenario(name="poison re-sent", faults=(Fault.CULPRIT,)),
    Scenario(
        name="burst, crash, straggler",
        burst_factors={1: 3.0},
        faults=(Fault.CRASH, Fault.STRAGGLER),
    ),
)


class Arrival(msgspec.Struct, kw_only=True):
    """
    The arrival of a request at an entry.

    Attributes
    ----------
    arrived_at : float
        Time of the arrival, in seconds from the start of the run.
    entry_index : int
        Index of the entry, from 0.
    request : Request
        The request.
    output_tokens : int
        Length of the response in tokens, which only the engine knows in advance.
    """

    arrived_at: float
    entry_index: int
    request: Request
    output_tokens: int


def generate_arrivals(
    deployment: Deployment, scenario: Scenario, seed: int
) -> Iterator[Arrival]:
    """Yield the arrivals of one run, which are the same for every policy."""
    source = random.Random(f"{deployment.name} {scenario.name} {seed}")
    number = 0
    for load in deployment.loads:
        arrived_at = 0.0
        while True:
            rate = load.rate * _compute_rate_factor(
                scenario, load.request_class.tier, arrived_at
            )
            arrived_at += source.expovariate(rate)
            if arrived_at >= HORIZON_SECONDS:
                break
            number += 1
            yield _make_arrival(source, scenario, load, arrived_at, number)
    if Fault.CULPRIT in scenario.faults:
        for index in range(1, int(HORIZON_SECONDS / CULPRIT_INTERVAL_SECONDS)):
            yield _make_culprit_arrival(source, scenario, deployment, index)


def _compute_rate_factor(scenario: Scenario, tier: int, arrived_at: float) -> float:
    rate_factor = scenario.base_factors.get(tier, 1.0)
    if BURST_SECONDS[0] <= arrived_at < BURST_SECONDS[1]:
        rate_factor *= scenario.burst_factors.get(tier, 1.0)
    return rate_factor


def _make_arrival(
    source: random.Random,
    scenario: Scenario,
    load: ClassLoad,
    arrived_at: float,
    number: int,
) -> Arrival:
    workspace = min(int(source.expovariate(0.5)), WORKSPACE_COUNT - 1)
    prefix = source.randrange(PREFIXES_PER_WORKSPACE)
    request = Request(
        id=RequestId(f"r{number}"),
        workspace=WorkspaceId(f"w{workspace}"),
        request_class=load.request_class,
        arrival=arrived_at,
        prompt_tokens=int(load.mean_prompt_tokens * source.uniform(0.5, 1.5)),
        prefix=f"{load.request_class.name}-{workspace}-{prefix}",
        fingerprint=Fingerprint(f"f{number}"),
    )
    output_tokens = max(
        5, int(source.lognormvariate(0.0, 0.6) * load.mean_output_tokens * 0.835)
    )
    return Arrival(
        arrived_at=arrived_at,
        entry_index=_choose_entry(source, scenario),
        request=request,
        output_tokens=output_tokens,
    )


def _make_culprit_arrival(
    source: random.Random, scenario: Scenario, deployment: Deployment, index: int
) -> Arrival:
    load = deployment.loads[0]
    arrival = _make_arrival(
        source, scenario, load, index * CULPRIT_INTERVAL_SECONDS, -index
    )
    arrival.request.fingerprint = Fingerprint("poison")
    return arrival


def _choose_entry(source: random.Random, scenario: Scenario) -> int:
    if Fault.SKEW in scenario.faults and source.random() < 0.6:
        return 0
    return source.randrange(ENTRY_COUNT)
