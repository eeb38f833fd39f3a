"""
Coordination messages
=====================

Messages between gateways and coordinators.  Each may be lost or duplicated: a gateway
retransmits an ``AssignmentRequest`` that is not answered, and the periodic
``RunningRequests`` corrects the coordinator's state after other losses.
"""

import msgspec

from damasklead.gateway.calls import LoadHint, PromptPart
from damasklead.gateway.coordination.cells import Cell
from damasklead.ids import AttemptId, InstanceId, SoftwareVersion, WorkspaceId
from damasklead.rate_limits import RateLimit

__all__ = [
    "UNKNOWN_RATE_LIMIT",
    "AssignmentRequest",
    "AssignmentResponse",
    "Grant",
    "PrefillDone",
    "RequestEnded",
    "RequestQueued",
    "RequestRejected",
    "RunningRequests",
    "WorkspaceAssignmentRequest",
]

# Rate limit in the messages of gateways of older versions, which don't have the field.
UNKNOWN_RATE_LIMIT = -1.0


class AssignmentRequest(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """
    Requests the assignment of a request to a replica.

    Attributes
    ----------
    requester : str
        Id of the gateway to which the response is sent.
    attempt : AttemptId
    cell : Cell
    route : str
        Name of the request's route.
    tier : int
        Priority of the request; 0 is the highest.
    seconds_left, caller_seconds_left : float
        Seconds until the final response is due, and until the caller gives up.
    age_seconds : float
        Seconds since the request arrived at the gateway.
    prompt_tokens : int
        Length of the whole prompt.
    prompt : tuple of PromptPart
    excluded : tuple of InstanceId
        Replicas on which the request failed or from which the gateway backs off.
    is_first_attempt : bool
        Whether the request has not been tried at a replica yet; only then may it be
        queued or rejected.
    source : str or None
        Address of a replica of another cell that is likely to have the shared prefix in
        its cache.
    rate_limits : tuple of RateLimit
        Limits of the cell's engines that the requester knows and has not told this
        coordinator recently.
    version : SoftwareVersion or None
        Version of the replicas that may execute the request; ``None`` if any may.
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
    is_first_attempt: bool
    source: str | None = None
    rate_limits: tuple[RateLimit, ...] = ()
    version: SoftwareVersion | None = None


class WorkspaceAssignmentRequest(
    AssignmentRequest, array_like=True, frozen=True, tag=1
):
    """
    An assignment request that names the workspace.

    It is sent for services where requests of different tiers compete for the engines.
    Requests without the field are decoded as this type, too, and gateways of older
    versions ignore the field.

    Attributes
    ----------
    workspace : WorkspaceId or None
    """

    workspace: WorkspaceId | None = None


class RequestQueued(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The request is queued at the coordinator."""

    attempt: AttemptId


class Grant(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """
    Assigns the request to a replica.

    Attributes
    ----------
    attempt : AttemptId
    instance : InstanceId
        The assigned replica.
    source : str or None
        Address of a replica from which cached prompt parts are copied.
    backlog : float
        Mean seconds of prefill work that the cell's engines have pending.
    """

    attempt: AttemptId
    instance: InstanceId
    source: str | None
    backlog: float


class RequestRejected(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """
    The request is not assigned to a replica.

    Attributes
    ----------
    attempt : AttemptId
    retry_after : float or None
        Seconds after which the caller should retry; ``None`` if the coordinator doesn't
        know the route or a usable replica, so that the gateway chooses one itself.
    backlog : float
        Mean seconds of prefill work that the cell's engines have pending.
    """

    attempt: AttemptId
    retry_after: float | None
    backlog: float


class PrefillDone(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """
    The replica sent the request's first event: prefill is complete.

    Attributes
    ----------
    requester : str
        Id of the gateway that requested the assignment.
    cell : Cell
    attempt : AttemptId
    load : LoadHint or None
        The load that the response names, if any.
    rate_limit : float or None
        The limit that the response names in requests per second, if any;
        ``UNKNOWN_RATE_LIMIT`` from gateways that don't report it.
    """

    requester: str
    cell: Cell
    attempt: AttemptId
    load: LoadHint | None
    rate_limit: float | None = UNKNOWN_RATE_LIMIT


class RequestEnded(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """
    The request no longer runs at its replica or is no longer to be queued.

    Attributes
    ----------
    requester : str
        Id of the gateway that requested the assignment.
    cell : Cell
    attempt : AttemptId
    outcome : str
        ``whole`` for a complete response, ``withdrawn``, or the value of a ``Failure``.
    """

    requester: str
    cell: Cell
    attempt: AttemptId
    outcome: str


class RunningRequests(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """
    Lists all requests of a gateway that run on a cell's engines.

    Attributes
    ----------
    requester : str
        Id of the reporting gateway.
    cell : Cell
    requests : tuple
        Attempt, replica and number of pending prefill tokens of each request.
    """

    requester: str
    cell: Cell
    requests: tuple[tuple[AttemptId, InstanceId, int], ...]


AssignmentResponse = RequestQueued | Grant | RequestRejected
