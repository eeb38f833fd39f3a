"""
Documents
=========

Decoders of the operators' configuration and of the replicas' entries in the platform's
store.
"""

from typing import Annotated

import msgspec

from damasklead.decoding import (
    Count,
    Milliseconds,
    PositiveCount,
    UnixMilliseconds,
    decode_json,
    is_ip_address,
    is_token,
)
from damasklead.gateway.calls import UpstreamRecord, UpstreamState
from damasklead.gateway.routing import (
    ApiKey,
    CallerLimits,
    EngineSpec,
    Route,
    RouteKind,
    RouteName,
    RoutingContent,
    RoutingTable,
    ScalingSpec,
    ServiceSpec,
    Workspace,
)
from damasklead.ids import (
    DataCentre,
    InstanceId,
    ServiceName,
    SoftwareVersion,
    WorkspaceId,
)

__all__ = ["decode_configuration", "decode_reported_start", "decode_upstream"]

_ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.ONCE,
    "streaming": RouteKind.STREAM,
}
_REPLICA_STATES = {"ready": UpstreamState.LIVE, "draining": UpstreamState.LEAVING}
MILLISECONDS_PER_SECOND = 1000.0

_Price = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class _Share(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    type: str
    timeout_ms: Milliseconds
    # Target time to the complete response, or to a stream's first event.
    slo_ms: Milliseconds
    service: str = ""
    split: list[_Share] = []
    priority: Count = 5
    max_attempts: Count = 1
    public: bool = False
    resumable: bool = False
    # Target for the longest gap between two events.  "itl" stands for inter-token
    # latency, but an event holds several tokens.
    itl_target_ms: Milliseconds | None = None


class _Engine(msgspec.Struct):
    slots: Count
    # Capacity of the KV cache in tokens.
    kv_capacity: UnixMilliseconds
    # Number of tokens in an event of a stream.
    stride: Count = 1


class _Scaling(msgspec.Struct):
    # Bounds of the replicas in each zone.
    min: Count
    max: Count
    boot_s: Annotated[float, msgspec.Meta(ge=0, le=1e6)] = 0.0
    # Price of a preemptible replica as a fraction of that of another one.
    spot_price: _Price = 1.0
    zone_prices: dict[str, _Price] = {}


class _Service(msgspec.Struct):
    name: str
    max_connections: Count = 100
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 4_194_304
    header_timeout_ms: Milliseconds = 3000.0
    idle_timeout_ms: Milliseconds = 15_000.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: Count | None = None


class _Configuration(msgspec.Struct):
    version: UnixMilliseconds
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _Upstream(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: PositiveCount = 1
    warmup_left_ms: Milliseconds = 0.0
    # Version of the replica's software; that of its weights is in ``models``.
    version: str = ""
    # Start time of the replica in Unix milliseconds, which identifies its incarnation.
    born: UnixMilliseconds = 0
    preemptible: bool = False
    # Milliseconds until the replica is taken away, if that is known.
    leaves_ms: Milliseconds | None = None


class _Report(msgspec.Struct):
    # Start time as in the replica's entry.
    born: UnixMilliseconds


def decode_configuration(data: bytes) -> RoutingTable:
    """
    Decode a version of the configuration; routes of unknown types are left out.

    Raises
    ------
    msgspec.DecodeError
        If the data is not a valid configuration.
    """
    document = decode_json(data, type=_Configuration)
    limits = document.limits
    content = RoutingContent(
        version=document.version,
        routes=[
            _build_route(route)
            for route in document.routes
            if route.type in _ROUTE_KINDS
        ],
        services=[_build_service(service) for service in document.services],
        workspaces=None
        if document.tenants is None
        else [_build_workspace(tenant) for tenant in document.tenants],
        limits=CallerLimits(
            head_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            head_seconds=limits.header_timeout_ms / MILLISECONDS_PER_SECOND,
            idle_seconds=limits.idle_timeout_ms / MILLISECONDS_PER_SECOND,
        ),
    )
    return RoutingTable(content=content)


def decode_upstream(instance: str, data: bytes) -> UpstreamRecord | None:
    """
    Decode a replica's entry.

    Returns
    -------
    UpstreamRecord or None
        ``None`` if the entry or its id is invalid, or its state is neither ready nor
        draining.
    """
    try:
        entry = decode_json(data, type=_Upstream)
    except msgspec.DecodeError:
        return None
    if (
        entry.state not in _REPLICA_STATES
        or not is_token(instance)
        or not is_ip_address(entry.address)
    ):
        return None
    return UpstreamRecord(
        instance=InstanceId(instance),
        service=ServiceName(entry.service),
        address=entry.address,
        data_centre=DataCentre(entry.zone),
        state=_REPLICA_STATES[entry.state],
        slots=entry.slots,
        incarnation=entry.born,
        warm_up=entry.warmup_left_ms / MILLISECONDS_PER_SECOND,
        version=SoftwareVersion(entry.version),
        is_preemptible=entry.preemptible,
        leaves_in=None
        if entry.leaves_ms is None
        else entry.leaves_ms / MILLISECONDS_PER_SECOND,
    )


def decode_reported_start(data: bytes) -> int | None:
    """
    Decode when a replica was started from its report on itself.

    Returns
    -------
    int or None
        Milliseconds of Unix time; ``None`` if the report is invalid or lacks it.
    """
    try:
        return decode_json(data, type=_Report).born
    except msgspec.DecodeError:
        return None


def _build_route(document: _Route) -> Route:
    shares = [(ServiceName(share.service), share.weight) for share in document.split]
    event_gap_ms = document.itl_target_ms
    return Route(
        name=RouteName(document.name),
        host=document.host,
        prefix=document.prefix,
        kind=_ROUTE_KINDS[document.type],
        timeout=document.timeout_ms / MILLISECONDS_PER_SECOND,
        target=document.slo_ms / MILLISECONDS_PER_SECOND,
        tier=document.priority,
        split=tuple(shares) or ((ServiceName(document.service), 1.0),),
        max_attempts=document.max_attempts,
        resumable=document.resumable,
        public=document.public,
        event_gap=None
        if event_gap_ms is None
        else event_gap_ms / MILLISECONDS_PER_SECOND,
    )


def _build_service(document: _Service) -> ServiceSpec:
    engine, scaling = document.engine, document.scaling
    return ServiceSpec(
        name=ServiceName(document.name),
        max_connections=document.max_connections,
        engine=None
        if engine is None
        else EngineSpec(
            slots=engine.slots,
            memory_tokens=engine.kv_capacity,
            tokens_per_event=engine.stride,
        ),
        scaling=None
        if scaling is None
        else ScalingSpec(
            min_replicas=scaling.min,
            max_replicas=scaling.max,
            boot_seconds=scaling.boot_s,
            preemptible_price=scaling.spot_price,
            prices={DataCentre(name): x for name, x in scaling.zone_prices.items()},
        ),
    )


def _build_workspace(document: _Tenant) -> Workspace:
    return Workspace(
        name=WorkspaceId(document.name),
        keys=tuple(ApiKey(key) for key in document.api_keys),
        tier=document.priority,
    )
