"""
Replies
=======

The parts of a response to a caller, and the responses to requests with an idempotency
key that are not sent to an upstream.
"""

import hashlib

import msgspec

from damasklead.claims import Claim, ClaimState
from damasklead.decoding import decode_json
from damasklead.problems import Problem
from damasklead.requests import Outcome
from damasklead.upstreams import UpstreamResponse

__all__ = [
    "DONE_EVENT",
    "EVENT_END",
    "MAX_KEPT_ANSWER",
    "MAX_RAW_BYTES",
    "ResponseHead",
    "ResponsePart",
    "make_body_mismatch_problem",
    "digest_request",
    "select_end_to_end_headers",
    "make_replayed_response",
    "make_store_unavailable_problem",
    "extract_text",
]

EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
MAX_RAW_BYTES = 16_384  # of sent events, before they are replaced by their text
MAX_KEPT_ANSWER = 262_144  # bytes of a response body that is recorded in a claim
# Hop-by-hop headers, and headers that the entry or its server sets itself.
EXCLUDED_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "x-request-id",
        "date",
        "server",
    )
)


class ResponseHead(msgspec.Struct, kw_only=True):
    """
    The head of a response to the caller.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of tuple
        Names and values of the headers.
    is_complete : bool
        Whether the body follows as one part; otherwise it follows as a stream.
    """

    status: int
    headers: list[tuple[str, str]]
    is_complete: bool


ResponsePart = ResponseHead | bytes | Problem


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)


class _Event(msgspec.Struct):
    choices: tuple[_Choice, ...] = ()


def digest_request(method: str, path: str, body: bytes) -> str:
    """Return the digest that two requests share if they are the same."""
    return hashlib.sha256(f"{method} {path}\n".encode() + body).hexdigest()


def extract_text(events: bytes) -> str:
    """
    Return the generated text in a sequence of server-sent events.

    Events of another shape hold no text: callers can't read any in them either.
    """
    text = ""
    for event in events.split(EVENT_END):
        if not event.startswith(b"data: {"):
            continue
        try:
            document = decode_json(event[6:], type=_Event)
        except msgspec.DecodeError:
            continue
        for choice in document.choices:
            text += choice.delta.content or ""
    return text


def select_end_to_end_headers(response: UpstreamResponse) -> list[tuple[str, str]]:
    """Return the headers of an upstream's response that the caller receives."""
    return [
        pair
        for pair in response.get_headers()
        if pair[0].lower() not in EXCLUDED_HEADERS
    ]


def make_replayed_response(claim: Claim) -> list[ResponsePart]:
    """
    Return the response to a request whose idempotency key is claimed.

    This is the recorded response, or a problem if there is none: the earlier request is
    still running, its outcome is unknown, or its response was not recorded.
    """
    if claim.state is ClaimState.CLAIMED:
        return [
            Problem(
                status=409,
                kind="order-in-progress",
                title="An earlier sending with this key is still running",
                outcome=Outcome.UNKNOWN,
                retry_after=2.0,
            )
        ]
    if claim.state is ClaimState.FAILED or claim.answer is None:
        is_answered = claim.state is ClaimState.ANSWERED
        return [
            Problem(
                status=409,
                kind="order-answer-not-kept"
                if is_answered
                else "order-outcome-unknown",
                title=(
                    "An earlier sending with this key ran; its answer is not kept"
                    if is_answered
                    else "Whether an earlier sending with this key ran is not known"
                ),
                outcome=Outcome.ANSWERED if is_answered else Outcome.UNKNOWN,
            )
        ]
    if claim.answer.body is None:
        return make_replayed_response(msgspec.structs.replace(claim, answer=None))
    headers = [
        ("Content-Type", claim.answer.content_type),
        ("X-Damasklead-Replayed", "true"),
        ("Content-Length", str(len(claim.answer.body))),
    ]
    return [
        ResponseHead(status=claim.answer.status, headers=headers, is_complete=True),
        claim.answer.body,
    ]


def make_store_unavailable_problem() -> Problem:
    """Return the problem of a request whose claim the store could not confirm."""
    return Problem(
        status=503,
        kind="store-unavailable",
        title="The order could not be recorded and was not run",
        retry_after=2.0,
    )


def make_body_mismatch_problem() -> Problem:
    """Return the problem of an idempotency key that was used for another request."""
    return Problem(
        status=422,
        kind="idempotency-key-reused",
        title="The idempotency key belongs to another request",
        field="Idempotency-Key",
    )
