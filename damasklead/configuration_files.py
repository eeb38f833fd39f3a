"""
Configuration files
===================

Models of the files that operators publish: services with their classes of requests, and
workspaces.
"""

from enum import Enum
from typing import Annotated, Literal

import pydantic

from damasklead.checking import CheckedModel

__all__ = [
    "ClassDocument",
    "PoolScope",
    "ServiceDocument",
    "ServiceKind",
    "WantedModelDocument",
    "WorkspaceDocument",
    "WorkspacesDocument",
]

TIER_COUNT = 5

Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Milliseconds = Annotated[float, pydantic.Field(gt=0, le=86_400_000)]


class ServiceKind(Enum):
    """Kind of the upstreams of a service."""

    ENGINE = "engine"
    PLAIN = "plain"


class PoolScope(Enum):
    """Extent of a pool: the upstreams whose capacity one coordinator shares out."""

    REGION = "region"
    DATA_CENTRE = "data-centre"


class ClassDocument(CheckedModel):
    """
    A class of requests of a service.

    Attributes
    ----------
    name : str
        Unique in the service.
    tier : int
        Priority from 1, the highest, to 5.
    first_token_ms, token_gap_ms, answer_ms : float or None
        Targets in milliseconds: to the first token, between tokens, and for the whole
        response. ``first_token_ms`` or ``answer_ms`` is required.
    may_repeat : bool
        Whether requests are idempotent, so that executing one twice does no harm.
    late_answers : str
        ``useless`` if a response after its target has no value to the caller.
    minimum_share : float
        Fraction of the capacity in slot-seconds that the class gets while it has
        queued requests.
    queue_bound : int
        Largest number of queued requests of the class at one entry.
    max_wait_ms : float
        Milliseconds in the queue after which a request is refused.
    methods, path_prefix, workspaces
        Requests that belong to the class; empty ones match all.
    """

    name: Name
    tier: Annotated[int, pydantic.Field(ge=1, le=TIER_COUNT)]
    first_token_ms: Milliseconds | None = None
    token_gap_ms: Milliseconds | None = None
    answer_ms: Milliseconds | None = None
    may_repeat: bool = True
    late_answers: Literal["useful", "useless"] = "useful"
    minimum_share: Annotated[float, pydantic.Field(ge=0, le=0.2)] = 0.0
    queue_bound: Annotated[int, pydantic.Field(ge=1, le=100_000)] = 1000
    max_wait_ms: Milliseconds = 600_000.0
    methods: list[Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]] = []
    path_prefix: str = ""
    workspaces: list[Name] = []


class WantedModelDocument(CheckedModel):
    """
    A model version that some upstreams of the service should have loaded.

    Attributes
    ----------
    model, version : str
        Together the ``model@version`` that upstreams report.
    replicas : int
        Number of upstreams that should have it loaded.
    """

    model: Name
    version: Annotated[str, pydantic.Field(min_length=1, max_length=64)]
    replicas: Annotated[int, pydantic.Field(ge=1, le=10_000)]


class ServiceDocument(CheckedModel):
    """
    The configuration file of a service.

    Attributes
    ----------
    service : str
        Unique in the deployment.
    kind : str
        Value of ``ServiceKind``.
    models : list of str
        Models that an engine service offers; each belongs to one service only.
    pool_scope : str
        Value of ``PoolScope``.
    checks_fencing : bool
        Whether the engines reject load commands with an outdated fencing token.
    classes : list of ClassDocument
        Classes of requests; a request belongs to the first that matches it.
    wanted_models : list of WantedModelDocument
        Models that the lease holder of the pool keeps loaded.
    """

    service: Name
    kind: Literal["engine", "plain"]
    models: list[Name] = []
    pool_scope: Literal["region", "data-centre"] = "region"
    checks_fencing: bool = False
    classes: Annotated[list[ClassDocument], pydantic.Field(min_length=1)]
    wanted_models: list[WantedModelDocument] = []


class WorkspaceDocument(CheckedModel):
    """
    A customer of the deployment.

    Attributes
    ----------
    name : str
        First part of each of its keys.
    key_digests : list of str
        Digests of its bearer keys, ``salt:sha256`` in hexadecimal.
    weight : float
        Relative share in weighted fair queueing among workspaces.
    may_choose_classes : list of str
        Classes that its requests may name.
    """

    name: Name
    key_digests: Annotated[
        list[Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{16}:[0-9a-f]{64}$")]],
        pydantic.Field(min_length=1),
    ]
    weight: Annotated[float, pydantic.Field(gt=0, le=100)] = 1.0
    may_choose_classes: list[Name] = []


class WorkspacesDocument(CheckedModel):
    """The configuration file of the workspaces."""

    workspaces: Annotated[list[WorkspaceDocument], pydantic.Field(min_length=1)]
