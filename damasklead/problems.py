"""
Problem documents
=================

Errors as callers see them: RFC 9457 problem documents with a stable type.
"""

import msgspec

from damasklead.requests import Outcome, Reason

__all__ = ["Problem", "problem_for"]

TYPE_PREFIX = "urn:damasklead:problem:"

_STATUS = {
    Reason.QUEUE_FULL: (503, "The queue of this class is full"),
    Reason.SHED: (503, "The request gave way to a higher tier"),
    Reason.WAITED_TOO_LONG: (503, "The request waited too long"),
    Reason.DEADLINE_EXCEEDED: (504, "The answer cannot be in time"),
    Reason.NO_UPSTREAM: (503, "No upstream can take the request"),
    Reason.QUARANTINED: (422, "This request has crashed upstreams and is refused"),
    Reason.RETRIES_EXHAUSTED: (502, "Every attempt failed"),
    Reason.UPSTREAM_FAILED: (502, "The upstream failed while it ran the request"),
    Reason.CALLER_GONE: (499, "The caller has gone"),
}


class Problem(Exception):
    """
    An error answer.

    Parameters
    ----------
    status : int
        The HTTP status.
    kind : str
        The last part of the problem's type.
    outcome : Outcome
        What is known of the request.
    field : str
        The part of the request at fault, if one is.
    retry_after : float or None
        Seconds after which it helps to try again.
    """

    def __init__(
        self,
        *,
        status: int,
        kind: str,
        title: str,
        outcome: Outcome = Outcome.NOT_RUN,
        field: str = "",
        retry_after: float | None = None,
    ) -> None:
        super().__init__(title)
        self.status = status
        self.kind = kind
        self.title = title
        self.outcome = outcome
        self.field = field
        self.retry_after = retry_after

    def document(self) -> bytes:
        """Return the JSON document."""
        content: dict[str, object] = {
            "type": TYPE_PREFIX + self.kind,
            "title": self.title,
            "status": self.status,
            "outcome": self.outcome.value,
        }
        if self.field:
            content["field"] = self.field
        if self.retry_after is not None:
            content["retry_after_seconds"] = self.retry_after
        return msgspec.json.encode(content)


def problem_for(reason: Reason, outcome: Outcome, retry_after: float | None) -> Problem:
    """Return the problem of a request that was refused or failed."""
    status, title = _STATUS[reason]
    return Problem(
        status=status,
        kind=reason.value,
        title=title,
        outcome=outcome,
        retry_after=retry_after,
    )
