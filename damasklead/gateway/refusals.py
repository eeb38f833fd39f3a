"""
Refusals
========

Responses that a gateway generates itself: the reason, the HTTP status and the time
after which the caller may retry.
"""

from enum import Enum

import msgspec

from damasklead.failures import Failure
from damasklead.ids import AttemptId

__all__ = ["Reason", "Refusal", "get_refusal_reason"]


class Reason(Enum):
    """Why the caller gets no response of a replica."""

    BAD_REQUEST = "bad-request"
    NO_CONFIGURATION = "no-configuration"
    OUTDATED_CONFIGURATION = "outdated-configuration"
    NO_ROUTE = "no-route"
    UNKNOWN_KEY = "unknown-key"
    NO_REPLICA = "no-replica"
    REPLICAS_FULL = "replicas-full"
    REPLICAS_PAUSED = "replicas-paused"
    TOO_LATE = "too-late"
    OVERLOADED = "overloaded"
    UNREACHABLE = "unreachable"
    QUARANTINED = "quarantined"
    UNKNOWN_ORIGIN = "unknown-origin"
    STOPPING = "stopping"
    MEMORY_SHORTAGE = "memory-shortage"
    NO_DESCRIPTOR = "no-descriptor"
    RESPONSE_DROPPED = "response-dropped"
    UPSTREAM_FAILED = "upstream-failed"
    TIMED_OUT = "timed-out"


_STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.NO_CONFIGURATION: 503,
    Reason.OUTDATED_CONFIGURATION: 503,
    Reason.NO_ROUTE: 404,
    Reason.UNKNOWN_KEY: 401,
    Reason.NO_REPLICA: 503,
    Reason.REPLICAS_FULL: 503,
    Reason.REPLICAS_PAUSED: 503,
    Reason.TOO_LATE: 503,
    Reason.OVERLOADED: 503,
    Reason.UNREACHABLE: 503,
    Reason.QUARANTINED: 503,
    Reason.UNKNOWN_ORIGIN: 503,
    Reason.STOPPING: 503,
    Reason.MEMORY_SHORTAGE: 503,
    Reason.NO_DESCRIPTOR: 503,
    Reason.RESPONSE_DROPPED: 502,
    Reason.UPSTREAM_FAILED: 502,
    Reason.TIMED_OUT: 504,
}


class Refusal(msgspec.Struct, kw_only=True, frozen=True):
    """
    A response that the gateway generates itself.

    A status of 503 states that the request was not and will not be executed, so reasons
    with that status are used only if no replica can have executed it.

    Attributes
    ----------
    reason : Reason
    detail : str
        Description of the cause, for the log.
    attempt : AttemptId or None
        The caller's id of the attempt, if the request has a valid one.
    retry_after : float or None
        Seconds after which the caller may retry; ``None`` to state no time.
    """

    reason: Reason
    detail: str = ""
    attempt: AttemptId | None = None
    retry_after: float | None = None

    @property
    def status(self) -> int:
        """HTTP status code of the response."""
        return _STATUS[self.reason]


def get_refusal_reason(failure: Failure) -> Reason:
    """Return the reason for a refusal after the last attempt has failed."""
    if failure in (Failure.REFUSED, Failure.PAUSED):
        return Reason.REPLICAS_FULL
    if failure is Failure.NOT_SENT:
        return Reason.UNREACHABLE
    return Reason.UPSTREAM_FAILED
