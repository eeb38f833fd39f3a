"""
Verdict
=======

Decides after each attempt of a request whether another one may follow, and what the
caller is told otherwise.  No I/O.

A request that a replica may have executed is repeated only if its route allows it, and
never gets a status which states that it was not executed.
"""

from enum import Enum

from damasklead.failures import Failure
from damasklead.gateway.calls import Call
from damasklead.gateway.refusals import Reason, Refusal
from damasklead.gateway.routing import RouteKind

__all__ = ["MAX_REPLICA_ATTEMPTS", "RETRY_AFTER_SECONDS", "RetryDenial", "Verdict"]

# Attempts for a request that no replica has executed; a route's ``max_attempts`` bounds
# those that may have been executed.
MAX_REPLICA_ATTEMPTS = 4
# Retry-After when no replica is known or all are full.
RETRY_AFTER_SECONDS = 0.4
# An idempotent request gets a backup at another replica when its replica sends no
# response head within this multiple of the route's latency target, but not before the
# minimum.
RESPONSE_TIMEOUT_TARGETS = 2.5
MIN_RESPONSE_TIMEOUT_SECONDS = 0.25
# A resumable stream gets one after this fraction of the time that its caller waits for
# the next event.
RESUME_TIMEOUT_FRACTION = 0.5


class RetryDenial(Enum):
    """
    What rules out another attempt of a request.

    Attributes
    ----------
    ROUTE
        The kind or the number of attempts of its route.
    QUARANTINE
        The request crashes replicas.
    VERSION
        The version that has written the start of the stream isn't known.
    BUDGET
        The retry budget.
    REPLICAS
        No other replica accepts it.
    NOT_READY
        The other replica doesn't report on itself, or no connection may be opened.
    """

    ROUTE = "route"
    QUARANTINE = "quarantine"
    VERSION = "version"
    BUDGET = "budget"
    REPLICAS = "replicas"
    NOT_READY = "not-ready"


class Verdict:
    """
    The attempts of one request so far, and what they allow.

    Parameters
    ----------
    call : Call

    Attributes
    ----------
    attempt_count : int
        Attempts so far, including those that failed to connect.
    possible_executions : int
        Failed attempts that a replica may have executed.
    is_sent : bool
        Whether the request was sent in the present attempt.
    """

    def __init__(self, *, call: Call) -> None:
        self._call = call
        self.attempt_count = 0
        self.possible_executions = 0
        self.is_sent = False

    @property
    def may_have_run(self) -> bool:
        """Whether a replica may have executed the request."""
        return self.is_sent or self.possible_executions > 0

    @property
    def allows_repetition(self) -> bool:
        """Whether the request may be repeated if the present attempt fails."""
        route = self._call.route
        return route.may_repeat and self.possible_executions + 1 < route.max_attempts

    @property
    def response_timeout(self) -> float | None:
        """
        Seconds without a response head after which a backup begins.

        ``None`` if none may: for all but idempotent requests, and for the last
        execution that the route allows.
        """
        route = self._call.route
        if route.kind is not RouteKind.IDEMPOTENT or not self.allows_repetition:
            return None
        return max(
            MIN_RESPONSE_TIMEOUT_SECONDS, RESPONSE_TIMEOUT_TARGETS * route.target
        )

    @property
    def event_timeout(self) -> float | None:
        """
        Seconds without a complete event of a stream after which a backup begins.

        ``None`` if none may, so that only the request's deadline counts.
        """
        if not self.allows_repetition:
            return None
        return RESUME_TIMEOUT_FRACTION * self._call.stream_idle_timeout

    def record_failure(self, failure: Failure) -> None:
        """Record that the present attempt has failed."""
        self.is_sent = False
        if not failure.rules_out_execution:
            self.possible_executions += 1

    def may_retry(self, failure: Failure) -> bool:
        """Return whether the request may be sent again after a failure."""
        route = self._call.route
        if failure.rules_out_execution:
            return self.attempt_count < MAX_REPLICA_ATTEMPTS
        return route.may_repeat and self.possible_executions < route.max_attempts

    def make_refusal(
        self, reason: Reason, detail: str, *, retry_after: float = RETRY_AFTER_SECONDS
    ) -> Refusal:
        """Return the refusal for a reason, or one that allows for an execution."""
        if not self.may_have_run:
            return Refusal(reason=reason, detail=detail, retry_after=retry_after)
        if reason not in (Reason.TIMED_OUT, Reason.RESPONSE_DROPPED):
            reason = Reason.UPSTREAM_FAILED
        return Refusal(reason=reason, detail=detail)
