"""
Calls
=====

Data types of proxied requests, of the response heads of replicas, and of the replicas
that the platform lists.
"""

from enum import Enum

import msgspec

from damasklead.body_buffer import Body
from damasklead.gateway.routing import ApiKey, Route, RouteKind, Workspace
from damasklead.ids import (
    UNKNOWN_VERSION,
    AttemptId,
    DataCentre,
    InstanceId,
    ServiceName,
    SoftwareVersion,
)

__all__ = [
    "Call",
    "CallHead",
    "Header",
    "LoadHint",
    "PromptPart",
    "ReplicaStart",
    "ResponseHead",
    "ResponseKind",
    "UpstreamRecord",
    "UpstreamState",
]

Header = tuple[bytes, bytes]
# Id and incarnation of a replica.
ReplicaStart = tuple[InstanceId, int]

# Callers abandon a stream that sends no event for the longest of these times: seconds,
# multiples of the route's target, and multiples of its event gap target.
MIN_STREAM_IDLE_SECONDS = 2.0
STREAM_IDLE_TARGETS = 4.0
STREAM_IDLE_GAPS = 8.0
# Number of route tiers that are distinguished within one workspace tier.
ROUTE_TIERS = 3


class PromptPart(msgspec.Struct, frozen=True):
    """
    A part of a prompt that other prompts may share, in the order of the prompt.

    Attributes
    ----------
    key : str
        Hash of the part's content.
    tokens : int
        Length of the part in tokens.
    """

    key: str
    tokens: int


class CallHead(msgspec.Struct, kw_only=True, frozen=True):
    """
    The decoded head of a request.

    Attributes
    ----------
    attempt : AttemptId
        The caller's id of this attempt; replicas return it in their responses.
    caller_timeout : float or None
        Seconds after which the caller gives up, counted from when it sent the request.
    key : ApiKey or None
        The API key of the request.
    prompt : tuple of PromptPart
        The parts of the prompt; all but the last may be shared with other prompts.
    prompt_tokens : int
        Length of the whole prompt in tokens.
    output_tokens : int
        Upper bound of the response's length in tokens.
    last_event : bytes or None
        The id of the event after which the caller resumes a stream.
    resumed_attempt : AttemptId or None
        The caller's attempt that brought the first event of the stream that it resumes.
    forwarded : tuple
        The headers that are forwarded to the replica unchanged.
    """

    method: str
    target: str
    host: str
    attempt: AttemptId
    caller_timeout: float | None
    key: ApiKey | None
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event: bytes | None = None
    resumed_attempt: AttemptId | None = None
    forwarded: tuple[Header, ...] = ()

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts of the prompt that other requests may have in common."""
        return self.prompt[:-1]


class Call(msgspec.Struct, kw_only=True):
    """
    A request that was read and matched to a route.

    Attributes
    ----------
    arrival : float
        Clock time in seconds at which the head was complete.
    deadline : float
        Clock time in seconds by which the response must be complete.
    caller_deadline : float
        Clock time in seconds at which the caller gives up.
    tier : int
        Priority of the request; 0 is the most urgent.
    body : Body
        The complete body; a long one is released when the request ends.
    version : SoftwareVersion or None
        Version of the replicas that may execute the request, since a part of its stream
        was written by one of them; ``None`` if any may.
    start : ReplicaStart or None
        The only start of a replica that may execute the request; ``None`` if others of
        the version may, too.
    """

    head: CallHead
    route: Route
    service: ServiceName
    workspace: Workspace | None
    arrival: float
    deadline: float
    caller_deadline: float
    tier: int
    body: Body = b""
    version: SoftwareVersion | None = None
    start: ReplicaStart | None = None

    def accepts_version(self, version: SoftwareVersion) -> bool:
        """Return whether a replica of a version may execute the request."""
        if self.version is None:
            return True
        return version == self.version != UNKNOWN_VERSION

    def accepts_start(self, record: "UpstreamRecord") -> bool:
        """Return whether a start of a replica may execute the request."""
        return self.start in (None, (record.instance, record.incarnation))

    @property
    def is_resumable_stream(self) -> bool:
        """Whether the response is a stream that another replica may continue."""
        return self.route.kind is RouteKind.STREAM and self.route.may_repeat

    @property
    def urgency(self) -> int:
        """
        Priority at an engine; 0 is served first.

        The workspace's tier takes precedence over the route's.  Within one workspace
        tier the route's tier decides, so that requests with short targets don't wait
        behind long prompts.
        """
        return self.tier * ROUTE_TIERS + min(self.route.tier, ROUTE_TIERS - 1)

    @property
    def target_deadline(self) -> float:
        """
        Clock time in seconds by which the response, or a stream's first event, must
        arrive to meet the route's target.

        A caller timeout below the route's timeout means that the caller has already
        spent the difference on earlier attempts; it counts against the target.
        """
        spent = max(0.0, self.arrival + self.route.timeout - self.caller_deadline)
        return self.arrival + self.route.target - spent

    @property
    def stream_idle_timeout(self) -> float:
        """Seconds without an event after which a caller abandons a stream."""
        return max(
            MIN_STREAM_IDLE_SECONDS,
            STREAM_IDLE_TARGETS * self.route.target,
            STREAM_IDLE_GAPS * (self.route.event_gap or 0.0),
        )

    @property
    def first_event_deadline(self) -> float:
        """
        Clock time in seconds after which the caller no longer accepts a first event.

        It is the deadline on routes without an event gap target.
        """
        if self.route.event_gap is None:
            return self.deadline
        return min(self.deadline, self.arrival + self.stream_idle_timeout)

    @property
    def id(self) -> AttemptId:
        """The caller's attempt id."""
        return self.head.attempt


class ResponseKind(Enum):
    """How a replica handled a request, according to its response head."""

    ANSWER = "answer"
    REFUSED = "refused"
    MISPLACED = "misplaced"
    STRAY = "stray"
    INVALID = "invalid"


class LoadHint(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    Load that a replica reports of itself, over the requests of all gateways.

    Attributes
    ----------
    running : int
        Requests that are executed at present.
    waiting : int
        Requests in the replica's queue.
    slots : int
        Requests that the replica can execute at once; 0 if not stated.
    slowdown : float or None
        How long work takes on the replica's machine at present; 1 is normal, 2.5 two
        and a half times as long.  ``None`` if not stated, which is not encoded: the
        messages of replicas without the figure are those of older versions.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


class ResponseHead(msgspec.Struct, kw_only=True, frozen=True):
    """
    The parsed and classified head of a replica's response.

    Attributes
    ----------
    status : int
        HTTP status code.
    kind : ResponseKind
        ``REFUSED`` and ``MISPLACED`` mean that the replica did not execute the request;
        ``STRAY`` is the response to another request; ``INVALID`` violates the protocol.
    headers : tuple
        The headers that are forwarded to the caller.
    identified : bool
        Whether the response names the request that it belongs to.
    signed : bool
        Whether it has the replica's signature.
    load : LoadHint or None
        The load that the replica reports.
    closing : bool
        Whether the replica closes the connection after this response.
    leaving : bool
        Whether the replica announces that it leaves and accepts no new requests.
    keep_alive : float or None
        Seconds for which the replica keeps an idle connection open, if it states them.
    retry_after : float or None
        Seconds for which the replica accepts no request from this gateway.
    rate_limit : float or None
        Requests per second that the replica accepts from all gateways together, if it
        names a limit.
    rejection_limit : float or None
        Requests per second that the replica rejects without a crash, if it is brittle.
    dropped_figure : str
        Text of what was dropped of the load as invalid, its fourth figure or the whole
        header; empty if nothing was.
    detail : str
        Reason for the classification, for the log.
    """

    status: int
    kind: ResponseKind
    headers: tuple[Header, ...]
    identified: bool = True
    signed: bool = True
    load: LoadHint | None = None
    closing: bool = False
    leaving: bool = False
    keep_alive: float | None = None
    retry_after: float | None = None
    rate_limit: float | None = None
    rejection_limit: float | None = None
    dropped_figure: str = ""
    detail: str = ""


class UpstreamState(Enum):
    """Whether a replica accepts new requests."""

    LIVE = "live"
    LEAVING = "leaving"


class UpstreamRecord(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """
    A replica as the platform lists it.

    Attributes
    ----------
    address : str
        Host and port.
    slots : int
        Requests that the replica can execute at once.
    incarnation : int
        Start time of the replica in milliseconds; distinguishes replicas that use the
        same id one after the other.
    warm_up : float
        Seconds until the replica reaches its full speed.
    version : SoftwareVersion
        ``UNKNOWN_VERSION`` if the entry has none.
    is_preemptible : bool
        Whether the platform may take the replica away, together with all others of its
        kind in the data centre.
    leaves_in : float or None
        Seconds, from when the entry was written, until the replica is taken away;
        ``None`` if it is not or the time is not known.
    """

    instance: InstanceId
    service: ServiceName
    address: str
    data_centre: DataCentre
    state: UpstreamState
    slots: int = 1
    incarnation: int = 0
    warm_up: float = 0.0
    version: SoftwareVersion = UNKNOWN_VERSION
    is_preemptible: bool = False
    leaves_in: float | None = None
