"""
Messages of coordination
========================

What gateways and coordinators send each other.  Each message may get lost or come
twice: an ask is repeated, and ``Running`` corrects what the others missed.
"""

import msgspec

from damasklead.gateway.calls import LoadHint, PromptPart
from damasklead.gateway.coordination.cells import Cell
from damasklead.ids import AttemptId, InstanceId

__all__ = [
    "AssignmentRequest",
    "AssignmentResponse",
    "Grant",
    "PrefillDone",
    "RequestEnded",
    "RequestQueued",
    "RequestRejected",
    "RunningRequests",
]


class AssignmentRequest(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """
    Asks where a request goes.

    Attributes
    ----------
    asker : str
        The gateway to answer.
    route : str
    tier : int
    left, caller_left : float
        Seconds until the final answer is due, and until the caller gives up.
    age : float
        Seconds since the request arrived.
    excluded : tuple
        Replicas that this request or this gateway passes over.
    first : bool
        Whether the request may be made to wait or be refused.
    source : str or None
        Address of a replica of another cell that is likely to have the shared parts.
    """

    requester: str
    attempt: AttemptId
    cell: Cell
    route: str
    tier: int
    seconds_left: float
    caller_seconds_left: float
    age_seconds: float
    prompt_tokens: int
    prompt: tuple[PromptPart, ...]
    excluded: tuple[InstanceId, ...]
    first_offer: bool
    source: str | None = None


class RequestQueued(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The request waits at the coordinator."""

    attempt: AttemptId


class Grant(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """
    The request goes to a replica.

    Attributes
    ----------
    source : str or None
        Address of a replica from which prompt parts are copied.
    backlog : float
        Seconds that the cell's engines have to read, on average.
    """

    attempt: AttemptId
    instance: InstanceId
    source: str | None
    backlog: float


class RequestRejected(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """
    The request has no place.

    Attributes
    ----------
    retry_after : float or None
        Seconds after which the caller should come back; ``None`` when the coordinator
        knows of no replica, so that the gateway decides by itself.
    """

    attempt: AttemptId
    retry_after: float | None
    backlog: float


class PrefillDone(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """The request's first event came: its prompt was read."""

    requester: str
    cell: Cell
    attempt: AttemptId
    load: LoadHint | None


class RequestEnded(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """
    The request is at its replica no more.

    Attributes
    ----------
    outcome : str
        ``whole``, ``withdrawn``, or the value of a failure.
    """

    requester: str
    cell: Cell
    attempt: AttemptId
    outcome: str


class RunningRequests(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """
    All requests of a gateway at a cell's engines.

    Attributes
    ----------
    requests : tuple
        Attempt, replica, and prompt tokens that the replica has not read.
    """

    requester: str
    cell: Cell
    requests: tuple[tuple[AttemptId, InstanceId, int], ...]


AssignmentResponse = RequestQueued | Grant | RequestRejected
