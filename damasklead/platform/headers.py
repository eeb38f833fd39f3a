"""
Headers
=======

The headers that callers, replicas and the gateway exchange on the users' platform.
"""

from collections.abc import Sequence

from damasklead.gateway.calls import (
    Call,
    CallHead,
    Header,
    LoadHint,
    PromptPart,
    ResponseHead,
    ResponseKind,
)
from damasklead.gateway.dialect import Dialect, RequestHeadError, SendPlan, join_headers
from damasklead.gateway.routing import ApiKey
from damasklead.ids import AttemptId

__all__ = ["PlatformDialect"]

ATTEMPT = b"attempt-id"
# Milliseconds that the caller waits, counted from when it sent the request.
DEADLINE = b"deadline-ms"
AUTHORIZATION = b"authorization"
TOKEN_SCHEME = b"token "
# Prompt tokens and the greatest number of output tokens, despite its name: nothing has
# been used yet.
TOKENS = b"token-usage"
PREFIX = b"prefix-hash"
RESUME = b"last-event-id"
# The workspace that holds the key.
WORKSPACE = b"tenant"
EXPECTED = b"expected-instance"
URGENCY = b"request-priority"
SIGNATURE = b"response-signature"
NOT_RUN = b"not-executed"
LOAD = b"backend-load"
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"

MOST_URGENT, LEAST_URGENT = 0, 9
MISPLACED_STATUS = 421
# With a time to return it asks for a pause of all that this gateway sends.
UNAVAILABLE_STATUS = 503
# Statuses that promise a caller that its request has not run.
PROMISING_STATUSES = frozenset({408, 421, 429, 503})

# Set by the gateway alone, whatever a caller sends.
_OURS = frozenset(
    {
        AUTHORIZATION, DEADLINE, WORKSPACE, EXPECTED, URGENCY, b"expected-version",
        b"retain", b"pin-ms", b"kv-backup", b"kv-from", b"kv-fetch", b"wait-ms",
    }
)  # fmt: skip
_ONE_CONNECTION = frozenset(
    {
        b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization",
        b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
        b"content-length", b"expect",
    }
)  # fmt: skip
# A caller can't have these dropped by naming them in its Connection header.
_KEPT = frozenset({ATTEMPT, b"host", b"model", TOKENS, PREFIX, RESUME, b"length-hint"})


class PlatformDialect(Dialect):
    """The headers of the users' platform."""

    def decode_head(
        self, *, method: str, target: str, headers: Sequence[Header]
    ) -> CallHead:
        """Decode the head of a request; raises ``RequestHeadError``."""
        values = join_headers(headers)
        attempt = values.get(ATTEMPT, b"")
        if not attempt or b"," in attempt:
            raise RequestHeadError("the request has no single attempt id")
        prompt_tokens, output_tokens = _token_counts(values.get(TOKENS, b""))
        dropped = _ONE_CONNECTION | _OURS | (_named_in_connection(values) - _KEPT)
        return CallHead(
            method=method,
            target=target,
            host=values.get(b"host", b"").decode("latin-1"),
            attempt=AttemptId(attempt.decode("latin-1")),
            caller_timeout=_milliseconds(values.get(DEADLINE)),
            key=_api_key(values.get(AUTHORIZATION)),
            prompt=_prompt_parts(values.get(PREFIX, b"")),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            last_event=values.get(RESUME),
            forwarded=tuple(
                (name, value) for name, value in headers if name.lower() not in dropped
            ),
        )

    def build_upstream_headers(self, call: Call, plan: SendPlan) -> list[Header]:
        """Return the headers of an attempt, without those that frame its body."""
        headers = list(call.head.forwarded)
        if plan.resume_after is not None:
            headers = [item for item in headers if item[0].lower() != RESUME]
            headers.append((b"Last-Event-Id", plan.resume_after))
        left = max(1, int(plan.seconds_left * 1000))
        headers.append((b"Deadline-Ms", b"%d" % left))
        headers.append((b"Expected-Instance", plan.instance.encode("latin-1")))
        if call.workspace is not None:
            headers.append((b"Tenant", call.workspace.name.encode("latin-1")))
        urgency = min(max(plan.urgency, MOST_URGENT), LEAST_URGENT)
        headers.append((b"Request-Priority", b"%d" % urgency))
        if plan.copy_from is not None:
            headers.append((b"Kv-Fetch", plan.copy_from.encode("latin-1")))
        return headers

    def classify_response(
        self, *, status: int, headers: Sequence[Header], attempt: AttemptId
    ) -> ResponseHead:
        """Judge the head of an answer."""
        values = join_headers(headers)
        kind, detail = _judge(status, values, attempt)
        dropped = _ONE_CONNECTION | _named_in_connection(values)
        return ResponseHead(
            status=status,
            kind=kind,
            detail=detail,
            headers=tuple(
                (name, value) for name, value in headers if name.lower() not in dropped
            ),
            load=_load(values.get(LOAD)),
            closing=b"close" in values.get(b"connection", b"").lower(),
            leaving=values.get(LEAVING, b"0").strip() not in (b"", b"0"),
            keep_alive=_keep_alive(values.get(b"keep-alive", b"")),
            retry_after=_seconds(values.get(RETRY_AFTER))
            if status == UNAVAILABLE_STATUS
            else None,
        )

    def build_response_headers(
        self, *, attempt: AttemptId | None, retry_after: float | None
    ) -> list[Header]:
        """Return the headers of an answer of the gateway's own."""
        headers: list[Header] = [(b"Content-Type", b"text/plain")]
        if attempt is not None:
            headers.append((b"Attempt-Id", attempt.encode("latin-1")))
        if retry_after is not None:
            headers.append((b"Retry-After", b"%.3f" % retry_after))
        return headers


def _judge(
    status: int, values: dict[bytes, bytes], attempt: AttemptId
) -> tuple[ResponseKind, str]:
    answered = values.get(ATTEMPT)
    if answered is not None and answered != attempt.encode("latin-1"):
        return ResponseKind.STRAY, "answer to another request"
    if status == MISPLACED_STATUS:
        return ResponseKind.MISPLACED, "another instance"
    if NOT_RUN in values:
        return ResponseKind.REFUSED, "not run"
    if answered is None:
        return ResponseKind.INVALID, f"status {status} without an attempt id"
    if b"content-encoding" in values:
        return ResponseKind.INVALID, "encoded body"
    if SIGNATURE not in values and 200 <= status < 300:
        return ResponseKind.INVALID, f"status {status} without a signature"
    if status in PROMISING_STATUSES:
        return ResponseKind.INVALID, f"status {status} that does not say it has not run"
    return ResponseKind.ANSWER, ""


def _named_in_connection(values: dict[bytes, bytes]) -> frozenset[bytes]:
    names = values.get(b"connection", b"").lower().split(b",")
    return frozenset(name.strip() for name in names)


def _milliseconds(value: bytes | None) -> float | None:
    """Return seconds; ``None`` when there is no sound number."""
    try:
        return max(0.0, float(value)) / 1000 if value is not None else None
    except ValueError:
        return None


def _seconds(value: bytes | None) -> float | None:
    """Return a number of seconds, sensible or not; ``None`` when it is no number."""
    try:
        return float(value) if value is not None else None
    except ValueError:
        return None


def _api_key(value: bytes | None) -> ApiKey | None:
    if value is None or not value.lower().startswith(TOKEN_SCHEME):
        return None
    return ApiKey(value[len(TOKEN_SCHEME) :].strip().decode("latin-1"))


def _token_counts(value: bytes) -> tuple[int, int]:
    """Return prompt tokens and the bound on output tokens; zeros if unreadable."""
    prompt, _, output = value.partition(b",")
    try:
        return int(prompt), int(output)
    except ValueError:
        return 0, 0


def _prompt_parts(value: bytes) -> tuple[PromptPart, ...]:
    """Return a prompt's parts in order; none if unreadable."""
    parts: list[PromptPart] = []
    for entry in value.split(b",") if value else ():
        key, _, tokens = entry.strip().partition(b":")
        if not key or not tokens.isdigit():
            return ()
        parts.append(PromptPart(key.decode("latin-1"), int(tokens)))
    return tuple(parts)


def _load(value: bytes | None) -> LoadHint | None:
    try:
        running, waiting, slots = (int(item) for item in (value or b"").split(b","))
    except ValueError:
        return None
    return LoadHint(running, waiting, slots)


def _keep_alive(value: bytes) -> float | None:
    """Return the seconds that an idle connection is kept, where they are named."""
    for item in value.lower().split(b","):
        name, _, seconds = item.strip().partition(b"=")
        if name == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None
