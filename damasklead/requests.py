"""
Requests and attempts
=====================

The state of a request, and the actions that a dispatcher returns for its requests.
"""

from enum import Enum

import msgspec

from damasklead.configuration import RequestClass
from damasklead.failures import Failure
from damasklead.ids import (
    UNKNOWN_VERSION,
    AttemptId,
    Fingerprint,
    InstanceId,
    RequestId,
    SoftwareVersion,
    WorkspaceId,
)

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
    """Whether a request was executed, as its response states to the caller."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(Enum):
    """Why a request is refused or fails; the value is part of the problem type URN."""

    QUEUE_FULL = "queue-full"
    SHED = "shed-for-higher-tier"
    WAITED_TOO_LONG = "waited-too-long"
    DEADLINE_EXCEEDED = "cannot-be-in-time"
    NO_UPSTREAM = "no-upstream"
    QUARANTINED = "quarantined"
    RETRIES_EXHAUSTED = "retries-exhausted"
    UPSTREAM_FAILED = "upstream-failed"
    CALLER_GONE = "caller-gone"
    STOPPING = "stopping"


class Request(msgspec.Struct, kw_only=True):
    """
    A request at an entry.

    Attributes
    ----------
    arrival : float
        Clock reading in seconds when the request had been received completely.
    prompt_tokens : int
        Estimated length of the prompt in tokens.
    prefix : str
        Digest of the beginning of the prompt, equal for prompts that can share a prefix
        cache entry.
    fingerprint : str
        Digest of the content, equal for each repetition of the request.
    prompt_parts : tuple of Fingerprint
        Fingerprints of the parts of the prompt that other requests may share.
    model : str
        Name of the requested model, empty for a service without models.
    weight : float
        Weight of the workspace in fair queueing.
    generated_tokens : int
        Tokens of the response that the caller has received, one for each event.
    start_count, failure_count, preemption_count : int
        Number of attempts started, failed and preempted.
    charged_tokens : float
        Estimated tokens charged to the workspace when the current attempt started.
    settled_tokens : int
        Generated tokens that earlier corrections of the charge have accounted for.
    may_have_executed : bool
        Whether an upstream may have executed the request, wholly or in part.
    version : SoftwareVersion or None
        Version of the replicas that may execute the request, since the caller has a
        part of its response from one of them; ``None`` if any may.
    tried_replicas : list
        Replicas on which an attempt failed or produced no first token in time.
    """

    id: RequestId
    workspace: WorkspaceId
    request_class: RequestClass
    arrival: float
    prompt_tokens: int = 0
    prefix: str = ""
    fingerprint: Fingerprint = Fingerprint("")
    prompt_parts: tuple[Fingerprint, ...] = ()
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
    version: SoftwareVersion | None = None

    def accepts_version(self, version: SoftwareVersion) -> bool:
        """Return whether a replica of a version may execute the request."""
        if self.version is None:
            return True
        return version == self.version != UNKNOWN_VERSION

    @property
    def deadline(self) -> float:
        """Clock reading in seconds by which the response should begin."""
        return self.arrival + self.request_class.start_target

    @property
    def all_fingerprints(self) -> tuple[Fingerprint, ...]:
        """Its own fingerprint and those of the shared parts of its prompt."""
        return (self.fingerprint, *self.prompt_parts)

    @property
    def outcome_without_response(self) -> Outcome:
        """Outcome to report to the caller when no upstream responds to the request."""
        return Outcome.UNKNOWN if self.may_have_executed else Outcome.NOT_RUN

    @property
    def tier(self) -> int:
        """Priority tier of the request's class, 1 for the highest priority."""
        return self.request_class.tier


class Start(msgspec.Struct, kw_only=True, frozen=True):
    """
    Send the request to a replica.

    Attributes
    ----------
    resume : bool
        Whether the replica should continue its own earlier execution of the request.
    """

    request: Request
    attempt: AttemptId
    replica: InstanceId
    resume: bool = False


class Cancel(msgspec.Struct, kw_only=True, frozen=True):
    """Cancel an attempt; with ``requeued``, the request is back in the queue."""

    request: Request
    attempt: AttemptId
    replica: InstanceId
    requeued: bool


class Refuse(msgspec.Struct, kw_only=True, frozen=True):
    """
    End the request with an error response.

    Attributes
    ----------
    retry_after : float or None
        Seconds after which the caller may try again, or ``None`` to give no time.
    """

    request: Request
    reason: Reason
    outcome: Outcome
    retry_after: float | None = None


class Finish(msgspec.Struct, kw_only=True, frozen=True):
    """
    The request has its complete response.

    Attributes
    ----------
    tokens : int
        Length of the response in tokens.
    """

    request: Request
    tokens: int


Action = Start | Cancel | Refuse | Finish
