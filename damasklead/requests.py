"""
Requests and attempts
=====================

The typed values that the decisions about a request take in and give out.
"""

from enum import Enum

import msgspec

from damasklead.configuration import RequestClass
from damasklead.failures import Failure
from damasklead.ids import AttemptId, Fingerprint, InstanceId, RequestId, WorkspaceId

__all__ = [
    "Action",
    "Cancel",
    "Failure",
    "Finish",
    "Outcome",
    "Reason",
    "Refuse",
    "Request",
    "Start",
]


class Outcome(Enum):
    """What an answer tells its caller about the request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(Enum):
    """Why a request is refused or fails; the value is part of the problem's type."""

    QUEUE_FULL = "queue-full"
    SHED = "shed-for-higher-tier"
    WAITED_TOO_LONG = "waited-too-long"
    DEADLINE_EXCEEDED = "cannot-be-in-time"
    NO_UPSTREAM = "no-upstream"
    QUARANTINED = "quarantined"
    RETRIES_EXHAUSTED = "retries-exhausted"
    UPSTREAM_FAILED = "upstream-failed"
    CALLER_GONE = "caller-gone"


class Request(msgspec.Struct, kw_only=True):
    """
    A request at an entry.

    Attributes
    ----------
    arrival : float
        Clock reading in seconds when the request was complete.
    prompt_tokens : int
        Estimated length of the prompt in tokens.
    prefix : str
        Digest of the prompt's beginning, the same for prompts that share a cached
        prefix.
    fingerprint : str
        Digest of the content, the same each time the request is sent.
    generated_tokens : int
        Events of the answer that the caller already has.
    start_count, failure_count, preemption_count : int
        How often the request was started, failed and was preempted.
    charged_tokens : float
        Tokens that the workspace was charged in advance for the present start.
    settled_tokens : int
        Tokens that it was charged for good.
    may_have_executed : bool
        Whether an upstream may have run the request, wholly or in part.
    tried_replicas : list
        Replicas on which an attempt failed.
    """

    id: RequestId
    workspace: WorkspaceId
    request_class: RequestClass
    arrival: float
    prompt_tokens: int = 0
    prefix: str = ""
    fingerprint: Fingerprint = Fingerprint("")
    model: str = ""
    weight: float = 1.0
    generated_tokens: int = 0
    start_count: int = 0
    failure_count: int = 0
    preemption_count: int = 0
    charged_tokens: float = 0.0
    settled_tokens: int = 0
    may_have_executed: bool = False
    tried_replicas: list[InstanceId] = msgspec.field(default_factory=list)

    @property
    def deadline(self) -> float:
        """Clock reading in seconds at which the answer should begin."""
        return self.arrival + self.request_class.start_target

    @property
    def unanswered_outcome(self) -> Outcome:
        """What its caller may be told when the request gets no answer."""
        return Outcome.UNKNOWN if self.may_have_executed else Outcome.NOT_RUN

    @property
    def tier(self) -> int:
        """The tier of the request's class."""
        return self.request_class.tier


class Start(msgspec.Struct, kw_only=True, frozen=True):
    """
    Send the request to a replica; ``resume`` asks it to go on with its own earlier run.
    """

    request: Request
    attempt: AttemptId
    replica: InstanceId
    resume: bool = False


class Cancel(msgspec.Struct, kw_only=True, frozen=True):
    """Cancel an attempt; the request waits again when ``requeued``."""

    request: Request
    attempt: AttemptId
    replica: InstanceId
    requeued: bool


class Refuse(msgspec.Struct, kw_only=True, frozen=True):
    """Give the request its final answer; ``retry_after`` is in seconds, or ``None``."""

    request: Request
    reason: Reason
    outcome: Outcome
    retry_after: float | None = None


class Finish(msgspec.Struct, kw_only=True, frozen=True):
    """The request has its whole answer."""

    request: Request
    tokens: int


Action = Start | Cancel | Refuse | Finish
