"""
Refusals
========

Why a request gets an answer of the gateway's own, which status says so, and when it
helps to come back.
"""

from enum import Enum

import msgspec

from damasklead.failures import Failure
from damasklead.ids import AttemptId

__all__ = ["Reason", "Refusal", "get_refusal_reason"]


class Reason(Enum):
    """Why there is no answer of a replica."""

    BAD_REQUEST = "bad-request"
    NO_CONFIGURATION = "no-configuration"
    NO_ROUTE = "no-route"
    UNKNOWN_KEY = "unknown-key"
    NO_REPLICA = "no-replica"
    REPLICAS_FULL = "replicas-full"
    REPLICAS_PAUSED = "replicas-paused"
    TOO_LATE = "too-late"
    OVERLOADED = "overloaded"
    UNREACHABLE = "unreachable"
    QUARANTINED = "quarantined"
    UPSTREAM_FAILED = "upstream-failed"
    TIMED_OUT = "timed-out"


_STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.NO_CONFIGURATION: 503,
    Reason.NO_ROUTE: 404,
    Reason.UNKNOWN_KEY: 401,
    Reason.NO_REPLICA: 503,
    Reason.REPLICAS_FULL: 503,
    Reason.REPLICAS_PAUSED: 503,
    Reason.TOO_LATE: 503,
    Reason.OVERLOADED: 503,
    Reason.UNREACHABLE: 503,
    Reason.QUARANTINED: 503,
    Reason.UPSTREAM_FAILED: 502,
    Reason.TIMED_OUT: 504,
}


class Refusal(msgspec.Struct, kw_only=True, frozen=True):
    """
    An answer of the gateway's own.

    A status of 503 says that the request has not run and will not run, so reasons with
    that status are given only where no replica can have run it.

    Attributes
    ----------
    retry_after : float or None
        Seconds after which it helps to come back.
    """

    reason: Reason
    detail: str = ""
    attempt: AttemptId | None = None
    retry_after: float | None = None

    @property
    def status(self) -> int:
        """The HTTP status."""
        return _STATUS[self.reason]


def get_refusal_reason(failure: Failure) -> Reason:
    """Return why there is no answer, after the last attempt."""
    if failure in (Failure.REFUSED, Failure.PAUSED):
        return Reason.REPLICAS_FULL
    if failure is Failure.NOT_SENT:
        return Reason.UNREACHABLE
    return Reason.UPSTREAM_FAILED
