"""
Configuration documents
=======================

The form of operators' files, as it is checked.
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

TIERS = 5

Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Milliseconds = Annotated[float, pydantic.Field(gt=0, le=86_400_000)]


class ServiceKind(Enum):
    """What stands behind a service."""

    ENGINE = "engine"
    PLAIN = "plain"


class PoolScope(Enum):
    """Which upstreams of a service share their capacity through one coordinator."""

    REGION = "region"
    DATA_CENTRE = "data-centre"


class ClassDocument(CheckedModel):
    """A class of requests in a service's file."""

    name: Name
    tier: Annotated[int, pydantic.Field(ge=1, le=TIERS)]
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
    """A model that a number of the service's upstreams should have loaded."""

    model: Name
    version: Annotated[str, pydantic.Field(min_length=1, max_length=64)]
    replicas: Annotated[int, pydantic.Field(ge=1, le=10_000)]


class ServiceDocument(CheckedModel):
    """The file that a service keeps beside its code."""

    service: Name
    kind: Literal["engine", "plain"]
    models: list[Name] = []
    pool_scope: Literal["region", "data-centre"] = "region"
    checks_fencing: bool = False
    classes: Annotated[list[ClassDocument], pydantic.Field(min_length=1)]
    wanted_models: list[WantedModelDocument] = []


class WorkspaceDocument(CheckedModel):
    """A customer of the deployment with the digests of its keys."""

    name: Name
    key_digests: Annotated[
        list[Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{16}:[0-9a-f]{64}$")]],
        pydantic.Field(min_length=1),
    ]
    weight: Annotated[float, pydantic.Field(gt=0, le=100)] = 1.0
    may_choose_classes: list[Name] = []


class WorkspacesDocument(CheckedModel):
    """The file that lists workspaces."""

    workspaces: Annotated[list[WorkspaceDocument], pydantic.Field(min_length=1)]
