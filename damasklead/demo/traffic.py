"""
Demonstration traffic
=====================

Callers that send requests and check the responses against the expected ones.
"""

from collections.abc import Callable
from enum import Enum

import msgspec

from damasklead.requests import Outcome
from damasklead.standins.engine import compute_expected_text
from damasklead.upstreams import ConnectionPool, UpstreamError
from damasklead.upstreams.transport import send_request

__all__ = ["Caller", "ReceivedResponse", "Verdict"]

READ_TIMEOUT_SECONDS = 30.0


class Verdict(Enum):
    """
    How a caller classifies the response to a request.

    Attributes
    ----------
    COMPLETE
        A complete response; of a completion also with the expected text.
    WRONG
        A completion whose text is wrong or incomplete.
    NOT_RUN
        The request was reported as not executed.
    UNKNOWN
        Any other outcome: it may have been executed, or the service reported an error.
    LOST
        The connection failed before the end of the response.
    """

    COMPLETE = "answered whole"
    WRONG = "wrong or cut"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    LOST = "lost"


class ReceivedResponse(msgspec.Struct, kw_only=True):
    """
    A response as its caller received it.

    Attributes
    ----------
    request_class : str
        Name under which the result is counted; it isn't sent.
    first_byte_seconds, last_byte_seconds : float
        Seconds from sending the request to the first and to the last byte of the body.
    max_tokens : int
        Length of the requested completion in tokens; 0 for other requests.
    """

    request_class: str
    verdict: Verdict
    first_byte_seconds: float
    last_byte_seconds: float
    status: int
    body: bytes
    max_tokens: int = 0


class Caller:
    """
    Sends the requests of one workspace to several entries in turn.

    Parameters
    ----------
    addresses : list of str
        Addresses (``host:port``) at which the entries listen for callers.
    key : str
        The bearer key of the workspace.
    now : callable
        Returns the time of a monotonic clock in seconds.
    """

    def __init__(
        self, *, addresses: list[str], key: str, now: Callable[[], float]
    ) -> None:
        self._addresses = addresses
        self._key = key
        self._now = now
        self._request_count = 0
        self._pool = ConnectionPool()

    def send_completion(
        self,
        request_class: str,
        prompt: str,
        *,
        max_tokens: int,
        stream: bool,
        model: str,
    ) -> ReceivedResponse:
        """Request a completion and compare its text with the expected one."""
        document = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": stream,
        }
        body = msgspec.json.encode(document)
        received = self.perform_request(
            request_class, "POST", "/v1/chat/completions", body=body
        )
        if received.verdict is Verdict.COMPLETE:
            text = (
                _extract_stream_text(received.body)
                if stream
                else _extract_message_text(received.body)
            )
            if text != compute_expected_text(document):
                received.verdict = Verdict.WRONG
        received.max_tokens = max_tokens
        return received

    def perform_request(
        self,
        request_class: str,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        idempotency_key: str = "",
    ) -> ReceivedResponse:
        """Send a request and return the response; connection errors count as lost."""
        headers = [
            ("Authorization", f"Bearer {self._key}"),
            ("Content-Type", "application/json"),
        ]
        if idempotency_key:
            headers.append(("Idempotency-Key", idempotency_key))
        self._request_count += 1
        address = self._addresses[self._request_count % len(self._addresses)]
        sent_at = self._now()
        received = ReceivedResponse(
            request_class=request_class,
            verdict=Verdict.LOST,
            first_byte_seconds=0.0,
            last_byte_seconds=0.0,
            status=0,
            body=b"",
        )
        try:
            response = send_request(
                self._pool,
                address,
                method=method,
                path=path,
                headers=headers,
                body=body,
                read_timeout=READ_TIMEOUT_SECONDS,
                force_new_connection=True,
            )
            received.status = response.status
            while chunk := response.read_chunk():
                received.first_byte_seconds = (
                    received.first_byte_seconds or self._now() - sent_at
                )
                received.body += chunk
            received.last_byte_seconds = self._now() - sent_at
            received.verdict = _classify_response(
                response.status, response.get_header("X-Damasklead-Outcome")
            )
            if b"event: error" in received.body:
                received.verdict = Verdict.UNKNOWN
        except UpstreamError:
            received.last_byte_seconds = self._now() - sent_at
        return received


def _classify_response(status: int, outcome: str) -> Verdict:
    if outcome == Outcome.ANSWERED.value and status < 400:
        return Verdict.COMPLETE
    if outcome == Outcome.NOT_RUN.value:
        return Verdict.NOT_RUN
    return Verdict.UNKNOWN


def _extract_stream_text(body: bytes) -> str:
    """Return the text of a stream; empty if the final event is missing."""
    if not body.endswith(b"data: [DONE]\n\n"):
        return ""
    words = []
    for event in body.split(b"\n\n"):
        if event.startswith(b"data: {"):
            words.append(
                msgspec.json.decode(event[6:])["choices"][0]["delta"]["content"]
            )
    return "".join(words).strip()


def _extract_message_text(body: bytes) -> str:
    text: str = msgspec.json.decode(body)["choices"][0]["message"]["content"]
    return text
