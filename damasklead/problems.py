"""
Problem documents
=================

Error responses to callers: RFC 9457 problem documents with stable types.
"""

import msgspec

from damasklead.requests import Outcome, Reason

__all__ = ["Problem", "make_problem"]

TYPE_PREFIX = "urn:damasklead:problem:"

_STATUS_AND_TITLE = {
    Reason.QUEUE_FULL: (503, "The queue of this class is full"),
    Reason.SHED: (503, "The request gave way to a higher tier"),
    Reason.WAITED_TOO_LONG: (503, "The request waited too long"),
    Reason.DEADLINE_EXCEEDED: (504, "The answer cannot be in time"),
    Reason.NO_UPSTREAM: (503, "No upstream can take the request"),
    Reason.QUARANTINED: (422, "This request has crashed upstreams and is refused"),
    Reason.RETRIES_EXHAUSTED: (502, "Every attempt failed"),
    Reason.UPSTREAM_FAILED: (502, "The upstream failed while it ran the request"),
    Reason.CALLER_GONE: (499, "The caller has gone"),
    Reason.STOPPING: (502, "The entry stopped before the answer came"),
}


class Problem(Exception):
    """
    An error response.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    kind : str
        Last part of the problem type, after ``urn:damasklead:problem:``.
    title : str
        Summary for people.
    outcome : Outcome
        Whether the request was executed, as far as is known.
    field : str
        Part of the request that is invalid; empty when none is.
    retry_after : float or None
        Seconds after which a retry may succeed; ``None`` when that is not known.
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

    def encode(self) -> bytes:
        """Encode the problem as a JSON document."""
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


def make_problem(
    reason: Reason, outcome: Outcome, retry_after: float | None
) -> Problem:
    """Return the problem document of a request that was rejected or failed."""
    status, title = _STATUS_AND_TITLE[reason]
    return Problem(
        status=status,
        kind=reason.value,
        title=title,
        outcome=outcome,
        retry_after=retry_after,
    )
