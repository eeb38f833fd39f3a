"""
Routing
=======

The configuration of a gateway: routes, services, workspaces and limits of one version,
in an immutable table.
"""

from enum import Enum
from typing import NewType

import msgspec

from damasklead.ids import DataCentre, ServiceName, WorkspaceId
from damasklead.util import stable_hash

__all__ = [
    "ApiKey",
    "CallerLimits",
    "EngineSpec",
    "Route",
    "RouteKind",
    "RouteName",
    "RoutingContent",
    "RoutingTable",
    "ScalingSpec",
    "ServiceSpec",
    "Workspace",
]

RouteName = NewType("RouteName", str)
ApiKey = NewType("ApiKey", str)


class RouteKind(Enum):
    """
    How a route's requests may be retried.

    ``IDEMPOTENT`` requests may be executed more than once, ``ONCE`` requests may not;
    the response to a ``STREAM`` request is an event stream.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class CallerLimits(msgspec.Struct, kw_only=True, frozen=True):
    """
    Limits on the size of a caller's requests and on the time between their bytes.

    Attributes
    ----------
    head_bytes, body_bytes : int
        Maximum length of the names and values of a request's headers, and of its body.
    head_seconds, idle_seconds : float
        Maximum time in which a head must arrive, and for which a connection may be idle
        between two requests.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


class EngineSpec(msgspec.Struct, kw_only=True, frozen=True):
    """
    Capacity of the replicas of a model service.

    Attributes
    ----------
    slots : int
        Requests that a replica decodes in one batch.
    memory_tokens : int
        Capacity of the KV cache in tokens, for running requests and cached prompt
        parts together.
    tokens_per_event : int
        Tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int = 1


class ScalingSpec(msgspec.Struct, kw_only=True, frozen=True):
    """
    Limits and prices of the replicas that can be ordered for a service.

    Attributes
    ----------
    min_replicas, max_replicas : int
        Bounds of the replicas ordered in each data centre, of both kinds together.
    boot_seconds : float
        Time from an order until the new replica serves.
    preemptible_price : float
        Price of a preemptible replica as a fraction of that of another one.
    prices : dict
        Price of a replica for a second, by data centre.
    """

    min_replicas: int
    max_replicas: int
    boot_seconds: float
    preemptible_price: float = 1.0
    prices: dict[DataCentre, float] = {}


class ServiceSpec(msgspec.Struct, kw_only=True, frozen=True):
    """
    A service that routes send requests to.

    Attributes
    ----------
    max_connections : int
        Connections that a replica accepts from all gateways together.
    engine : EngineSpec or None
        ``None`` for a service that runs no model.
    scaling : ScalingSpec or None
        ``None`` for a service whose replicas can't be ordered.
    """

    name: ServiceName
    max_connections: int
    engine: EngineSpec | None = None
    scaling: ScalingSpec | None = None


class Route(msgspec.Struct, kw_only=True, frozen=True):
    """
    Matches requests to one host whose path begins with a prefix.

    Attributes
    ----------
    timeout : float
        Seconds within which the response to a request must be complete.
    target : float
        Latency target in seconds, to the complete response or to the first event of a
        stream.
    event_gap : float or None
        Target for the longest time in seconds between two events of a stream.
    tier : int
        Priority of the requests; 0 is the most urgent.
    split : tuple
        The services with their weights.
    max_attempts : int
        Maximum number of replicas that may execute one request.
    resumable : bool
        Whether a stream may continue at another replica after its last complete event.
    public : bool
        Whether requests need no API key.
    """

    name: RouteName
    host: str
    prefix: str
    kind: RouteKind
    timeout: float
    target: float
    tier: int
    split: tuple[tuple[ServiceName, float], ...]
    max_attempts: int = 1
    resumable: bool = False
    public: bool = False
    event_gap: float | None = None

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have been executed may be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    def select_service(self, seed: str) -> ServiceName:
        """
        Return the service for a request, chosen at random by weight.

        Parameters
        ----------
        seed : str
            Determines the choice; the same seed gives the same service.
        """
        if len(self.split) == 1:
            return self.split[0][0]
        total = sum(weight for _, weight in self.split)
        point = stable_hash(seed, self.name) / 2**64 * total
        for service, weight in self.split:
            point -= weight
            if point < 0:
                return service
        return self.split[-1][0]


class Workspace(msgspec.Struct, kw_only=True, frozen=True):
    """
    A customer.

    Attributes
    ----------
    keys : tuple of ApiKey
        API keys of the customer's requests.
    tier : int or None
        Priority that replaces the tier of the routes; ``None`` keeps theirs.
    """

    name: WorkspaceId
    keys: tuple[ApiKey, ...]
    tier: int | None = None


class RoutingContent(msgspec.Struct, kw_only=True, frozen=True):
    """
    One version of the configuration, as it is transmitted and stored.

    Attributes
    ----------
    version : int
        Version number at the platform.
    workspaces : list or None
        ``None`` when no request needs an API key.
    """

    version: int
    routes: list[Route]
    services: list[ServiceSpec]
    workspaces: list[Workspace] | None
    limits: CallerLimits


class RoutingTable:
    """
    One version of the configuration with indexes by host, API key and service.

    Parameters
    ----------
    content : RoutingContent

    Examples
    --------
    >>> llm = ServiceName("llm")
    >>> route = Route(
    ...     name=RouteName("chat"), host="ice.example", prefix="/chat/",
    ...     kind=RouteKind.STREAM, timeout=5.0, target=0.25, tier=0,
    ...     split=((llm, 1.0),))
    >>> table = RoutingTable(content=RoutingContent(
    ...     version=3, routes=[route], services=[], workspaces=None,
    ...     limits=CallerLimits()))
    >>> table.match_route("ICE.example:80", "/chat/7?x=/").name
    'chat'
    >>> table.match_route("ice.example", "/chatter") is None
    True
    """

    def __init__(self, *, content: RoutingContent) -> None:
        self._content = content
        self._services = {service.name: service for service in content.services}
        self._by_key = {
            key: workspace
            for workspace in content.workspaces or ()
            for key in workspace.keys
        }
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in content.routes:
            self._by_host.setdefault(route.host.lower(), {})[route.prefix] = route

    @property
    def version(self) -> int:
        """The configuration's version."""
        return self._content.version

    @property
    def content(self) -> RoutingContent:
        """The content, as it is transmitted and stored."""
        return self._content

    @property
    def limits(self) -> CallerLimits:
        """The limits on callers' requests."""
        return self._content.limits

    @property
    def requires_keys(self) -> bool:
        """Whether requests on routes that are not public need a key."""
        return self._content.workspaces is not None

    @property
    def keys(self) -> frozenset[ApiKey]:
        """The API keys of all workspaces."""
        return frozenset(self._by_key)

    @property
    def services(self) -> dict[ServiceName, ServiceSpec]:
        """The services by name."""
        return self._services

    @property
    def routes(self) -> list[Route]:
        """All routes."""
        return self._content.routes

    def find_routes(self, service: ServiceName) -> list[Route]:
        """Return the routes that send requests to a service."""
        return [
            route
            for route in self.routes
            if any(name == service for name, _ in route.split)
        ]

    def match_route(self, host: str, target: str) -> Route | None:
        """
        Return the route with the longest prefix of a request's path.

        Parameters
        ----------
        host : str
            Host header of the request, with or without a port.
        target : str
            Path of the request, with or without a query.

        Returns
        -------
        Route or None
            ``None`` when no route matches.
        """
        prefixes = self._by_host.get(_strip_port(host))
        if not prefixes:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_workspace(self, key: ApiKey) -> Workspace | None:
        """Return the workspace that an API key belongs to."""
        return self._by_key.get(key)


def _strip_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    has_port = colon and (not port or port.isdigit())
    return (name if has_port else host).lower()
