"""
Documents
=========

The operators' configuration and the replicas' entries, decoded into the gateway's
types.
"""

import msgspec

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
    ServiceSpec,
    Workspace,
)
from damasklead.ids import DataCentre, InstanceId, ServiceName, WorkspaceId

__all__ = ["decode_configuration", "decode_upstream"]

_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.ONCE,
    "streaming": RouteKind.STREAM,
}
_STATES = {"ready": UpstreamState.LIVE, "draining": UpstreamState.LEAVING}
MILLISECONDS = 1000.0


class _Share(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    type: str
    timeout_ms: float
    # Time to a whole answer, or to a stream's first event.
    slo_ms: float
    service: str = ""
    split: list[_Share] = []
    priority: int = 5
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    # The longest pause between two events, which hold several tokens each, despite
    # "itl" (inter-token latency).
    itl_target_ms: float | None = None


class _Engine(msgspec.Struct):
    slots: int
    kv_capacity: int
    stride: int = 1


class _Service(msgspec.Struct):
    name: str
    max_connections: int = 100
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _Upstream(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    warmup_left_ms: float = 0.0
    born: int = 0


def decode_configuration(data: bytes) -> RoutingTable:
    """
    Decode the configuration in force.

    Raises
    ------
    msgspec.DecodeError
        When it is none.
    """
    document = msgspec.json.decode(data, type=_Configuration)
    limits = document.limits
    content = RoutingContent(
        version=document.version,
        routes=[_route(item) for item in document.routes if item.type in _KINDS],
        services=[_service(item) for item in document.services],
        workspaces=None
        if document.tenants is None
        else [_workspace(item) for item in document.tenants],
        limits=CallerLimits(
            head_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            head_seconds=limits.header_timeout_ms / MILLISECONDS,
            idle_seconds=limits.idle_timeout_ms / MILLISECONDS,
        ),
    )
    return RoutingTable(content=content)


def decode_upstream(instance: str, data: bytes) -> UpstreamRecord | None:
    """Decode a replica's entry; ``None`` when it names no replica to use."""
    try:
        entry = msgspec.json.decode(data, type=_Upstream)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    host, colon, port = entry.address.rpartition(":")
    if entry.state not in _STATES or not colon or not port.isdigit() or not host:
        return None
    return UpstreamRecord(
        instance=InstanceId(instance),
        service=ServiceName(entry.service),
        address=entry.address,
        data_centre=DataCentre(entry.zone),
        state=_STATES[entry.state],
        slots=entry.slots,
        incarnation=entry.born,
        warm_up=entry.warmup_left_ms / MILLISECONDS,
    )


def _route(item: _Route) -> Route:
    shares = [(ServiceName(share.service), share.weight) for share in item.split]
    gap = item.itl_target_ms
    return Route(
        name=RouteName(item.name),
        host=item.host,
        prefix=item.prefix,
        kind=_KINDS[item.type],
        timeout=item.timeout_ms / MILLISECONDS,
        target=item.slo_ms / MILLISECONDS,
        tier=item.priority,
        split=tuple(shares) or ((ServiceName(item.service), 1.0),),
        max_attempts=item.max_attempts,
        resumable=item.resumable,
        public=item.public,
        event_gap=None if gap is None else gap / MILLISECONDS,
    )


def _service(item: _Service) -> ServiceSpec:
    engine = item.engine
    return ServiceSpec(
        name=ServiceName(item.name),
        max_connections=item.max_connections,
        engine=None
        if engine is None
        else EngineSpec(
            slots=engine.slots,
            memory_tokens=engine.kv_capacity,
            tokens_per_event=engine.stride,
        ),
    )


def _workspace(item: _Tenant) -> Workspace:
    return Workspace(
        name=WorkspaceId(item.name),
        keys=tuple(ApiKey(key) for key in item.api_keys),
        tier=item.priority,
    )
