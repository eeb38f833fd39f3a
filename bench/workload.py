"""
Workloads
=========

Arrivals of both deployments and the scenarios that the policies meet.
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

HORIZON = 120.0  # seconds
BURST = (30.0, 60.0)
ENTRIES = 8
WORKSPACES = 10
POISON_EVERY = 15.0  # seconds
PREFIXES_PER_WORKSPACE = 3


class Fault(Enum):
    """What goes wrong in a scenario."""

    STRAGGLER = "straggler"
    CRASH = "crash"
    COORDINATOR = "coordinator lost"
    SILENCE = "reports silent"
    POISON = "poison"
    SKEW = "skew"


class Load(msgspec.Struct, kw_only=True, frozen=True):
    """A class's mean rate in requests/s and mean lengths in tokens."""

    request_class: RequestClass
    rate: float
    tokens: float
    prompt: int


class Deployment(msgspec.Struct, kw_only=True, frozen=True):
    """One cooperative's model service."""

    name: str
    replicas: int
    centres: tuple[str, ...]
    loads: tuple[Load, ...]

    @property
    def service(self) -> Service:
        """The service with its classes."""
        return Service(
            name=ServiceName(self.name),
            kind=ServiceKind.ENGINE,
            models=("m",),
            pool_scope=PoolScope.REGION,
            checks_fencing=False,
            classes=tuple(load.request_class for load in self.loads),
        )

    def centre(self, number: int) -> DataCentre:
        """Return the data centre of an entry or replica."""
        return DataCentre(self.centres[number % len(self.centres)])


class Scenario(msgspec.Struct, kw_only=True, frozen=True):
    """
    A shape of demand with faults.

    Attributes
    ----------
    factors : dict
        By tier, what the rate is multiplied by during the burst.
    base : dict
        By tier, what the rate is multiplied by all the time.
    """

    name: str
    factors: dict[int, float] = msgspec.field(default_factory=dict)
    base: dict[int, float] = msgspec.field(default_factory=dict)
    faults: tuple[Fault, ...] = ()


def _class(name: str, tier: int, **targets: float) -> RequestClass:
    values = {"queue_bound": 2000, "max_wait": 600.0, **targets}
    return msgspec.convert(
        {"name": name, "service": "s", "tier": tier, **values}, RequestClass
    )


KOUE = Deployment(
    name="skilfer-llm",
    replicas=10,
    centres=("saldanha", "hout", "mossel"),
    loads=(
        Load(
            request_class=_class(
                "dispatch-query", 1, first_token_target=0.34, token_gap_target=0.026
            ),
            rate=10.0, tokens=120.0, prompt=600,
        ),
        Load(
            request_class=_class(
                "transcript", 2, first_token_target=1.0, token_gap_target=0.04
            ),
            rate=5.0, tokens=200.0, prompt=900,
        ),
        Load(
            request_class=_class(
                "quotation", 3, response_target=30.0, minimum_share=0.03
            ),
            rate=5.0, tokens=300.0, prompt=800,
        ),
        Load(
            request_class=_class(
                "contract-reading", 5, response_target=500.0, minimum_share=0.02
            ),
            rate=5.0, tokens=800.0, prompt=2000,
        ),
    ),
)  # fmt: skip
MWENGE = Deployment(
    name="lead-models",
    replicas=6,
    centres=("dar-a", "dar-b", "dar-c"),
    loads=(
        Load(
            request_class=_class(
                "folder-guidance", 1, first_token_target=0.34, token_gap_target=0.026
            ),
            rate=5.0, tokens=150.0, prompt=500,
        ),
        Load(
            request_class=_class(
                "quick-question", 2, first_token_target=1.0, token_gap_target=0.04
            ),
            rate=5.0, tokens=150.0, prompt=400,
        ),
        Load(
            request_class=_class(
                "overnight-review", 5, response_target=900.0, minimum_share=0.02
            ),
            rate=2.0, tokens=1500.0, prompt=3000,
        ),
    ),
)  # fmt: skip
DEPLOYMENTS = (KOUE, MWENGE)
SCENARIOS = (
    Scenario(name="steady"),
    Scenario(name="whole fleet landing", factors={1: 4.0}),
    Scenario(name="all shifts start", factors={1: 2.0, 2: 2.0, 3: 2.0}),
    Scenario(name="reviews fill, burst", factors={1: 4.0}, base={5: 3.0}),
    Scenario(name="straggler", faults=(Fault.STRAGGLER,)),
    Scenario(name="crash", faults=(Fault.CRASH,)),
    Scenario(name="coordinator lost", factors={1: 4.0}, faults=(Fault.COORDINATOR,)),
    Scenario(name="reports silent", factors={1: 2.0}, faults=(Fault.SILENCE,)),
    Scenario(name="one entry gets 60 %", factors={1: 2.0}, faults=(Fault.SKEW,)),
    Scenario(name="poison re-sent", faults=(Fault.POISON,)),
    Scenario(
        name="burst, crash, straggler",
        factors={1: 3.0},
        faults=(Fault.CRASH, Fault.STRAGGLER),
    ),
)


class Arrival(msgspec.Struct, kw_only=True):
    """A request at an entry, with the answer length that only the engine knows."""

    at: float
    entry: int
    request: Request
    tokens: int


def arrivals(
    deployment: Deployment, scenario: Scenario, seed: int
) -> Iterator[Arrival]:
    """Yield the arrivals of one run; the same for every policy."""
    source = random.Random(f"{deployment.name} {scenario.name} {seed}")
    number = 0
    for load in deployment.loads:
        at = 0.0
        while True:
            rate = load.rate * _factor(scenario, load.request_class.tier, at)
            at += source.expovariate(rate)
            if at >= HORIZON:
                break
            number += 1
            yield _arrival(source, scenario, load, at, number)
    if Fault.POISON in scenario.faults:
        for step in range(1, int(HORIZON / POISON_EVERY)):
            yield _poison(source, scenario, deployment, step)


def _factor(scenario: Scenario, tier: int, at: float) -> float:
    factor = scenario.base.get(tier, 1.0)
    if BURST[0] <= at < BURST[1]:
        factor *= scenario.factors.get(tier, 1.0)
    return factor


def _arrival(
    source: random.Random, scenario: Scenario, load: Load, at: float, number: int
) -> Arrival:
    workspace = min(int(source.expovariate(0.5)), WORKSPACES - 1)
    prefix = source.randrange(PREFIXES_PER_WORKSPACE)
    request = Request(
        id=RequestId(f"r{number}"),
        workspace=WorkspaceId(f"w{workspace}"),
        request_class=load.request_class,
        arrival=at,
        prompt_tokens=int(load.prompt * source.uniform(0.5, 1.5)),
        prefix=f"{load.request_class.name}-{workspace}-{prefix}",
        fingerprint=Fingerprint(f"f{number}"),
    )
    tokens = max(5, int(source.lognormvariate(0.0, 0.6) * load.tokens * 0.835))
    return Arrival(
        at=at, entry=_entry(source, scenario), request=request, tokens=tokens
    )


def _poison(
    source: random.Random, scenario: Scenario, deployment: Deployment, step: int
) -> Arrival:
    load = deployment.loads[0]
    arrival = _arrival(source, scenario, load, step * POISON_EVERY, -step)
    arrival.request.fingerprint = Fingerprint("poison")
    return arrival


def _entry(source: random.Random, scenario: Scenario) -> int:
    if Fault.SKEW in scenario.faults and source.random() < 0.6:
        return 0
    return source.randrange(ENTRIES)
