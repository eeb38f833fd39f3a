"""
Headers
=======

Translation of the headers that callers, replicas and the gateway exchange on the
platform.  Constants of header names are in lowercase, as ``join_headers`` returns them.
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
from damasklead.platform.documents import decode_reported_start
from damasklead.rate_limits import parse_rate_limit

__all__ = ["PlatformDialect"]

ATTEMPT_ID = b"attempt-id"
# Milliseconds that the caller waits for a response, counted from sending the request.
DEADLINE_MS = b"deadline-ms"
AUTHORIZATION = b"authorization"
TOKEN_SCHEME = b"token "
# Number of prompt tokens and maximum number of output tokens of the request, despite
# the header's name.
TOKEN_USAGE = b"token-usage"
PREFIX_HASH = b"prefix-hash"
LAST_EVENT_ID = b"last-event-id"
# Attempt id of the caller's attempt that brought the first event of the stream that the
# request resumes.
RESUMES = b"resumes"
# Name of the workspace to which the API key belongs.
TENANT = b"tenant"
EXPECTED_INSTANCE = b"expected-instance"
REQUEST_PRIORITY = b"request-priority"
RESPONSE_SIGNATURE = b"response-signature"
NOT_EXECUTED = b"not-executed"
# Requests that run and wait, slots, and how long work takes on the replica's machine at
# present, in hundredths.  Figures may be left out from the end.
BACKEND_LOAD = b"backend-load"
SERVER_LEAVING = b"server-leaving"
# Requests per second, a decimal number, that the replica accepts from all gateways.
SERVER_LIMIT = b"server-limit"
# Requests per second, a decimal number, that the replica rejects for want of room
# without a crash.
SERVER_BRITTLE = b"server-brittle"
RETRY_AFTER = b"retry-after"

# Largest number of tokens or requests that a header may name.
MAX_COUNT_DIGITS = 9
MAX_COUNT = 10**MAX_COUNT_DIGITS - 1
# Range of the last figure of BACKEND_LOAD; one beyond it is an error of the replica.
MIN_SLOWDOWN_PERCENT, MAX_SLOWDOWN_PERCENT = 5, 10_000
# Most bytes of a dropped figure that are passed on for the log.
MAX_DROPPED_BYTES = 32
# Longest id of another attempt that a request may name.
MAX_ATTEMPT_ID_BYTES = 64
# Range of REQUEST_PRIORITY; 0 is served first.
MIN_PRIORITY_VALUE, MAX_PRIORITY_VALUE = 0, 9
MISDIRECTED_REQUEST_STATUS = 421
# A replica's response with this status and a Retry-After header asks the gateway to
# send no requests to the replica for that time.
SERVICE_UNAVAILABLE_STATUS = 503
# Statuses that guarantee to the caller that its request has not been executed.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})

# Headers that only the gateway may set; they are removed from callers' requests.
_GATEWAY_HEADERS = frozenset(
    {
        AUTHORIZATION, DEADLINE_MS, TENANT, EXPECTED_INSTANCE, REQUEST_PRIORITY,
        b"expected-version", b"retain", b"pin-ms", b"kv-backup", b"kv-from",
        b"kv-fetch", b"wait-ms",
    }
)  # fmt: skip
_HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization",
        b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
        b"content-length", b"expect",
    }
)  # fmt: skip
# Headers that are forwarded even if a caller names them in its Connection header.
_PROTECTED_HEADERS = frozenset(
    {
        ATTEMPT_ID, b"host", b"model", TOKEN_USAGE, PREFIX_HASH, LAST_EVENT_ID, RESUMES,
        b"length-hint",
    }
)  # fmt: skip


class PlatformDialect(Dialect):
    """Translates the platform's headers."""

    def decode_head(
        self, *, method: str, target: str, headers: Sequence[Header]
    ) -> CallHead:
        """Decode the head of a request; raises ``RequestHeadError``."""
        values = join_headers(headers)
        attempt = values.get(ATTEMPT_ID, b"")
        if not attempt or b"," in attempt:
            raise RequestHeadError("the request must have exactly one attempt id")
        prompt_tokens, output_tokens = _parse_token_counts(values.get(TOKEN_USAGE, b""))
        dropped = (
            _HOP_BY_HOP_HEADERS
            | _GATEWAY_HEADERS
            | (_parse_connection_options(values) - _PROTECTED_HEADERS)
        )
        return CallHead(
            method=method,
            target=target,
            host=values.get(b"host", b"").decode("latin-1"),
            attempt=AttemptId(attempt.decode("latin-1")),
            caller_timeout=_parse_milliseconds(values.get(DEADLINE_MS)),
            key=_parse_api_key(values.get(AUTHORIZATION)),
            prompt=_parse_prompt_parts(values.get(PREFIX_HASH, b"")),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            last_event=values.get(LAST_EVENT_ID),
            resumed_attempt=_parse_attempt_id(values.get(RESUMES)),
            forwarded=tuple(
                (name, value) for name, value in headers if name.lower() not in dropped
            ),
        )

    def build_upstream_headers(self, call: Call, plan: SendPlan) -> list[Header]:
        """Return the headers of an attempt without those that frame the body."""
        headers = list(call.head.forwarded)
        if plan.resume_after is not None:
            headers = [item for item in headers if item[0].lower() != LAST_EVENT_ID]
            headers.append((b"Last-Event-Id", plan.resume_after))
        milliseconds_left = max(1, int(plan.seconds_left * 1000))
        headers.append((b"Deadline-Ms", b"%d" % milliseconds_left))
        headers.append((b"Expected-Instance", plan.instance.encode("latin-1")))
        if call.workspace is not None:
            headers.append((b"Tenant", call.workspace.name.encode("latin-1")))
        priority = min(max(plan.urgency, MIN_PRIORITY_VALUE), MAX_PRIORITY_VALUE)
        headers.append((b"Request-Priority", b"%d" % priority))
        if plan.copy_from is not None:
            headers.append((b"Kv-Fetch", plan.copy_from.encode("latin-1")))
        return headers

    def classify_response(
        self, *, status: int, headers: Sequence[Header], attempt: AttemptId
    ) -> ResponseHead:
        """Classify the head of a replica's response."""
        values = join_headers(headers)
        kind, detail = _classify(status, values, attempt)
        load, dropped_figure = _parse_load(values.get(BACKEND_LOAD))
        dropped = _HOP_BY_HOP_HEADERS | _parse_connection_options(values)
        return ResponseHead(
            status=status,
            kind=kind,
            detail=detail,
            headers=tuple(
                (name, value) for name, value in headers if name.lower() not in dropped
            ),
            identified=ATTEMPT_ID in values,
            signed=RESPONSE_SIGNATURE in values,
            load=load,
            dropped_figure=dropped_figure,
            closing=b"close" in values.get(b"connection", b"").lower(),
            leaving=values.get(SERVER_LEAVING, b"0").strip() not in (b"", b"0"),
            keep_alive=_parse_keep_alive(values.get(b"keep-alive", b"")),
            retry_after=_parse_seconds(values.get(RETRY_AFTER))
            if status == SERVICE_UNAVAILABLE_STATUS
            else None,
            rate_limit=parse_rate_limit(values.get(SERVER_LIMIT)),
            rejection_limit=parse_rate_limit(values.get(SERVER_BRITTLE)),
        )

    @property
    def report_target(self) -> str:
        """Request target at which a replica reports on itself, without a slot."""
        return "/-/report"

    def parse_reported_incarnation(self, body: bytes) -> int | None:
        """Return the start of the replica from its report on itself."""
        return decode_reported_start(body)

    def build_response_headers(
        self, *, attempt: AttemptId | None, retry_after: float | None
    ) -> list[Header]:
        """Return the headers of a response that the gateway itself generates."""
        headers: list[Header] = [(b"Content-Type", b"text/plain")]
        if attempt is not None:
            headers.append((b"Attempt-Id", attempt.encode("latin-1")))
        if retry_after is not None:
            headers.append((b"Retry-After", b"%.3f" % retry_after))
        return headers


def _classify(
    status: int, values: dict[bytes, bytes], attempt: AttemptId
) -> tuple[ResponseKind, str]:
    response_attempt = values.get(ATTEMPT_ID)
    if response_attempt is not None and response_attempt != attempt.encode("latin-1"):
        return ResponseKind.STRAY, "response to another request"
    if status == MISDIRECTED_REQUEST_STATUS:
        return ResponseKind.MISPLACED, "another instance at this address"
    if NOT_EXECUTED in values:
        return ResponseKind.REFUSED, "not executed"
    if response_attempt is None:
        return ResponseKind.INVALID, f"status {status} without an attempt id"
    if b"content-encoding" in values:
        return ResponseKind.INVALID, "unsupported content encoding"
    # A caller would take an unsigned rejection for one of the gateway.
    if RESPONSE_SIGNATURE not in values and status < 500:
        return ResponseKind.INVALID, f"status {status} without a signature"
    if status in NOT_EXECUTED_STATUSES:
        return ResponseKind.INVALID, f"status {status} without a not-executed header"
    return ResponseKind.ANSWER, ""


def _parse_connection_options(values: dict[bytes, bytes]) -> frozenset[bytes]:
    names = values.get(b"connection", b"").lower().split(b",")
    return frozenset(name.strip() for name in names)


def _parse_milliseconds(value: bytes | None) -> float | None:
    """
    Convert milliseconds to seconds; ``None`` if the value is absent or invalid.

    Negative values count as 0.
    """
    try:
        return max(0.0, float(value)) / 1000 if value is not None else None
    except ValueError:
        return None


def _parse_seconds(value: bytes | None) -> float | None:
    """
    Parse a number of seconds; ``None`` if the value is absent or not a number.

    The result may be negative, infinite or NaN; its range is checked where it is used.
    """
    try:
        return float(value) if value is not None else None
    except ValueError:
        return None


def _parse_attempt_id(value: bytes | None) -> AttemptId | None:
    """Return an attempt id; ``None`` if it is absent, empty, repeated or too long."""
    if value is None or not 0 < len(value) <= MAX_ATTEMPT_ID_BYTES or b"," in value:
        return None
    return AttemptId(value.decode("latin-1"))


def _parse_api_key(value: bytes | None) -> ApiKey | None:
    if value is None or not value.lower().startswith(TOKEN_SCHEME):
        return None
    return ApiKey(value[len(TOKEN_SCHEME) :].strip().decode("latin-1"))


def _parse_token_counts(value: bytes) -> tuple[int, int]:
    """Return the prompt tokens and the maximum output tokens; zeros if invalid."""
    prompt, _, output = value.partition(b",")
    try:
        counts = int(prompt), int(output)
    except ValueError:
        return 0, 0
    return counts if min(counts) >= 0 and max(counts) <= MAX_COUNT else (0, 0)


def _parse_prompt_parts(value: bytes) -> tuple[PromptPart, ...]:
    """Return a prompt's parts in order; an empty tuple if the value is invalid."""
    parts: list[PromptPart] = []
    for entry in value.split(b",") if value else ():
        key, _, tokens = entry.strip().partition(b":")
        if not key or not tokens.isdigit() or len(tokens) > MAX_COUNT_DIGITS:
            return ()
        parts.append(PromptPart(key.decode("latin-1"), int(tokens)))
    return tuple(parts)


def _parse_load(value: bytes | None) -> tuple[LoadHint | None, str]:
    """
    Parse the load of a replica.

    Returns
    -------
    tuple of LoadHint or None, and str
        ``None`` if the header is absent or one of its first three figures is invalid;
        the text of what was dropped, the whole header or its fourth figure, else an
        empty text.
    """
    if value is None:
        return None, ""
    figures = value.split(b",")
    try:
        counts = [int(item) for item in figures[:3]]
    except ValueError:
        return None, _describe_dropped(value)
    if not 0 <= min(counts) <= max(counts) <= MAX_COUNT:
        return None, _describe_dropped(value)
    running, waiting, slots = (*counts, 0, 0)[:3]
    if len(figures) <= 3:
        return LoadHint(running, waiting, slots), ""
    slowdown = _parse_slowdown(figures[3])
    dropped = "" if slowdown is not None else _describe_dropped(figures[3])
    return LoadHint(running, waiting, slots, slowdown), dropped


def _parse_slowdown(value: bytes) -> float | None:
    """Convert hundredths to a factor; ``None`` if the value is invalid."""
    try:
        percent = float(value)
    except ValueError:
        return None
    # Comparisons with NaN are false.
    if not MIN_SLOWDOWN_PERCENT <= percent <= MAX_SLOWDOWN_PERCENT:
        return None
    return percent / 100


def _describe_dropped(figure: bytes) -> str:
    return figure.strip()[:MAX_DROPPED_BYTES].decode("latin-1") or "empty"


def _parse_keep_alive(value: bytes) -> float | None:
    """Return the idle timeout of the connection in seconds, if there is one."""
    for item in value.lower().split(b","):
        name, _, seconds = item.strip().partition(b"=")
        if name == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None
