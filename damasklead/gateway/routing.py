"""
Routing
=======

The configuration that a gateway serves by: routes, services, workspaces and limits, as
one immutable table of a version.
"""

from enum import Enum
from typing import NewType

import msgspec

from damasklead.ids import ServiceName, WorkspaceId
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
    "ServiceSpec",
    "Workspace",
]

RouteName = NewType("RouteName", str)
ApiKey = NewType("ApiKey", str)


class RouteKind(Enum):
    """What a route's requests are and how often one may run."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class CallerLimits(msgspec.Struct, kw_only=True, frozen=True):
    """
    Bounds on what a caller may send and on how long it may take or stay idle.

    Attributes
    ----------
    head_bytes, body_bytes : int
        The longest head and body of a request.
    head_seconds, idle_seconds : float
        The longest time for a head to arrive, and between two requests.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


class EngineSpec(msgspec.Struct, kw_only=True, frozen=True):
    """
    What the replicas of a model service can hold.

    Attributes
    ----------
    slots : int
        Requests that a replica decodes at once.
    memory_tokens : int
        Tokens that running requests and cached prompt parts share.
    tokens_per_event : int
        Tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int = 1


class ServiceSpec(msgspec.Struct, kw_only=True, frozen=True):
    """A service that routes lead to; ``engine`` is ``None`` for a plain service."""

    name: ServiceName
    max_connections: int
    engine: EngineSpec | None = None


class Route(msgspec.Struct, kw_only=True, frozen=True):
    """
    Requests of one host whose path begins with a prefix.

    Attributes
    ----------
    timeout : float
        Seconds after which a request must have its final answer.
    target : float
        Seconds to a whole answer, or to a stream's first event, that are in time.
    event_gap : float or None
        Longest pause in seconds between a stream's events that is in time.
    tier : int
        Rank of the requests; 0 goes first.
    split : tuple
        The services with their weights.
    max_attempts : int
        Replicas that may run one request.
    resumable : bool
        Whether a stream may go on at another replica after its last whole event.
    public : bool
        Whether requests need no key.
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
        """Whether a request may run again after it may have run."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    def select_service(self, seed: str) -> ServiceName:
        """
        Return the service for a request, by weight.

        Parameters
        ----------
        seed : str
            Decides among the services; the same seed gives the same service.
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
    """A customer; ``tier`` goes before the routes' tiers where it is set."""

    name: WorkspaceId
    keys: tuple[ApiKey, ...]
    tier: int | None = None


class RoutingContent(msgspec.Struct, kw_only=True, frozen=True):
    """
    One version of the configuration as it goes over a wire.

    Attributes
    ----------
    workspaces : list or None
        ``None`` when requests need no keys at all.
    """

    version: int
    routes: list[Route]
    services: list[ServiceSpec]
    workspaces: list[Workspace] | None
    limits: CallerLimits


class RoutingTable:
    """
    One version of the configuration, indexed for look-ups.

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
        """The version as it goes over a wire."""
        return self._content

    @property
    def limits(self) -> CallerLimits:
        """What callers may send."""
        return self._content.limits

    @property
    def requires_keys(self) -> bool:
        """Whether requests on routes that are not public need a key."""
        return self._content.workspaces is not None

    @property
    def services(self) -> dict[ServiceName, ServiceSpec]:
        """The services by name."""
        return self._services

    @property
    def routes(self) -> list[Route]:
        """All routes."""
        return self._content.routes

    def find_routes(self, service: ServiceName) -> list[Route]:
        """Return the routes that lead to a service."""
        return [
            route
            for route in self.routes
            if any(name == service for name, _ in route.split)
        ]

    def match_route(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix of a request's path."""
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
        """Return the workspace that holds a key."""
        return self._by_key.get(key)


def _strip_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return (name if colon and port.isdigit() else host).lower()
