"""
Calls
=====

What the gateway knows of a request from its head, and what a replica's answer says.
"""

from enum import Enum

import msgspec

from damasklead.gateway.routing import ApiKey, Route, Workspace
from damasklead.ids import AttemptId, DataCentre, InstanceId, ServiceName

__all__ = [
    "Call",
    "CallHead",
    "Header",
    "LoadHint",
    "PromptPart",
    "ReplyHead",
    "ReplyKind",
    "UpstreamRecord",
    "UpstreamState",
]

Header = tuple[bytes, bytes]

# Callers abandon a stream that is silent for the longest of these: seconds, targets
# and allowed pauses.
MIN_STREAM_IDLE_SECONDS = 2.0
STREAM_IDLE_TARGETS = 4.0
STREAM_IDLE_GAPS = 8.0
# Ranks that routes have within a workspace's tier.
ROUTE_TIERS = 3


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that other prompts may share, and its length in tokens."""

    key: str
    tokens: int


class CallHead(msgspec.Struct, kw_only=True, frozen=True):
    """
    The decoded head of a request.

    Attributes
    ----------
    attempt : AttemptId
        The caller's id of this attempt; replicas repeat it in their answers.
    patience : float or None
        Seconds that the caller will wait, from when it sent the request.
    key : ApiKey or None
        The key that the request carries.
    output_tokens : int
        Upper bound of the answer's length.
    last_event : bytes or None
        The id after which a caller resumes a stream.
    forwarded : tuple
        The headers that go on to the replica as they are.
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
    forwarded: tuple[Header, ...] = ()


class Call(msgspec.Struct, kw_only=True):
    """
    A request that was read and matched to a route.

    Attributes
    ----------
    arrival : float
        Clock reading in seconds when the head was complete.
    deadline : float
        Clock reading at which the final answer is due.
    caller_deadline : float or None
        Clock reading until which the caller waits.
    tier : int
        Rank; 0 goes first.
    """

    head: CallHead
    route: Route
    service: ServiceName
    workspace: Workspace | None
    arrival: float
    deadline: float
    caller_deadline: float
    tier: int
    body: bytes = b""

    @property
    def urgency(self) -> int:
        """
        Rank at an engine; 0 goes first.

        The workspace's tier goes before the route's; among requests with the same one
        the route's decides, so that short targets don't wait behind long prompts.
        """
        return self.tier * ROUTE_TIERS + min(self.route.tier, ROUTE_TIERS - 1)

    @property
    def target_deadline(self) -> float:
        """
        Clock reading at which the answer, or a stream's first event, is due.

        A caller that has less patience than its route allows has been here before.
        """
        spent = max(0.0, self.arrival + self.route.timeout - self.caller_deadline)
        return self.arrival + self.route.target - spent

    @property
    def stream_idle_timeout(self) -> float:
        """Seconds after which a caller abandons a stream that brings no event."""
        return max(
            MIN_STREAM_IDLE_SECONDS,
            STREAM_IDLE_TARGETS * self.route.target,
            STREAM_IDLE_GAPS * (self.route.event_gap or 0.0),
        )

    @property
    def first_event_deadline(self) -> float:
        """Clock reading until which a first event is of use to the caller."""
        if self.route.event_gap is None:
            return self.deadline
        return min(self.deadline, self.arrival + self.stream_idle_timeout)

    @property
    def id(self) -> AttemptId:
        """The caller's attempt id."""
        return self.head.attempt


class ReplyKind(Enum):
    """What the head of an answer from a replica says."""

    ANSWER = "answer"
    REFUSED = "refused"
    MISPLACED = "misplaced"
    STRAY = "stray"
    INVALID = "invalid"


class LoadHint(msgspec.Struct, frozen=True):
    """A replica's own counts: requests that run, requests that wait, and slots."""

    running: int
    waiting: int
    slots: int


class ReplyHead(msgspec.Struct, kw_only=True, frozen=True):
    """
    The judged head of a replica's answer.

    Attributes
    ----------
    kind : ReplyKind
        ``REFUSED`` and ``MISPLACED`` mean that the replica did not run the request;
        ``STRAY`` is the answer to another request.
    closing : bool
        Whether the replica closes the connection after this answer.
    leaving : bool
        Whether the replica says that it leaves and takes no new work.
    keep_alive : float or None
        Seconds that the replica keeps an idle connection open, where it says so.
    pause : float or None
        Seconds for which the replica wants no request from this gateway.
    """

    status: int
    kind: ReplyKind
    headers: tuple[Header, ...]
    load: LoadHint | None = None
    closing: bool = False
    leaving: bool = False
    keep_alive: float | None = None
    retry_after: float | None = None
    detail: str = ""


class UpstreamState(Enum):
    """Whether a replica takes new work."""

    LIVE = "live"
    LEAVING = "leaving"


class UpstreamRecord(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """
    A replica as the platform lists it.

    Attributes
    ----------
    incarnation : int
        Start of the replica in milliseconds; differs when an id is used again.
    warm_up : float
        Seconds for which the replica is still slow.
    """

    instance: InstanceId
    service: ServiceName
    address: str
    data_centre: DataCentre
    state: UpstreamState
    slots: int = 1
    incarnation: int = 0
    warm_up: float = 0.0
