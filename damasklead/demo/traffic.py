"""
Demonstration traffic
=====================

Callers that send requests and check on their own what they got.
"""

from collections.abc import Callable
from enum import Enum

import msgspec

from damasklead.requests import Outcome
from damasklead.standins.engine import compute_expected_text
from damasklead.upstreams import ConnectionPool, UpstreamError
from damasklead.upstreams.transport import send_request

__all__ = ["Caller", "Received", "Verdict"]

SILENCE_SECONDS = 30.0


class Verdict(Enum):
    """What a caller got."""

    WHOLE = "answered whole"
    WRONG = "wrong or cut"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    LOST = "lost"


class Received(msgspec.Struct, kw_only=True):
    """
    One answer as the caller saw it.

    Attributes
    ----------
    first, last : float
        Seconds from sending to the first and to the last byte of the body.
    """

    name: str
    verdict: Verdict
    first: float
    last: float
    status: int
    body: bytes
    tokens: int = 0


class Caller:
    """
    Sends requests of one workspace to one of several entries in turn.

    Parameters
    ----------
    addresses : list of str
        The entries' callers' addresses.
    key : str
        The bearer key.
    now : callable
        Returns monotonic seconds.
    """

    def __init__(
        self, *, addresses: list[str], key: str, now: Callable[[], float]
    ) -> None:
        self._addresses = addresses
        self._key = key
        self._now = now
        self._turn = 0
        self._pool = ConnectionPool()

    def complete(
        self, name: str, prompt: str, *, tokens: int, stream: bool, model: str
    ) -> Received:
        """Ask a model and check the text of its answer."""
        document = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": stream,
        }
        body = msgspec.json.encode(document)
        received = self.send(name, "POST", "/v1/chat/completions", body=body)
        if received.verdict is Verdict.WHOLE:
            text = (
                _stream_text(received.body) if stream else _message_text(received.body)
            )
            if text != compute_expected_text(document):
                received.verdict = Verdict.WRONG
        received.tokens = tokens
        return received

    def send(
        self, name: str, method: str, path: str, *, body: bytes = b"", key: str = ""
    ) -> Received:
        """Send a request; ``key`` is its idempotency key."""
        headers = [
            ("Authorization", f"Bearer {self._key}"),
            ("Content-Type", "application/json"),
        ]
        if key:
            headers.append(("Idempotency-Key", key))
        self._turn += 1
        address = self._addresses[self._turn % len(self._addresses)]
        began = self._now()
        received = Received(
            name=name, verdict=Verdict.LOST, first=0.0, last=0.0, status=0, body=b""
        )
        try:
            answer = send_request(
                self._pool,
                address,
                method=method,
                path=path,
                headers=headers,
                body=body,
                read_timeout=SILENCE_SECONDS,
                force_new_connection=True,
            )
            received.status = answer.status
            while chunk := answer.read_chunk():
                received.first = received.first or self._now() - began
                received.body += chunk
            received.last = self._now() - began
            received.verdict = _verdict(
                answer.status, answer.get_header("X-Damasklead-Outcome")
            )
            if b"event: error" in received.body:
                received.verdict = Verdict.UNKNOWN
        except UpstreamError:
            received.last = self._now() - began
        return received


def _verdict(status: int, outcome: str) -> Verdict:
    if outcome == Outcome.ANSWERED.value and status < 400:
        return Verdict.WHOLE
    if outcome == Outcome.NOT_RUN.value:
        return Verdict.NOT_RUN
    return Verdict.UNKNOWN


def _stream_text(body: bytes) -> str:
    """Return a stream's text, empty when its end is missing."""
    if not body.endswith(b"data: [DONE]\n\n"):
        return ""
    words = []
    for event in body.split(b"\n\n"):
        if event.startswith(b"data: {"):
            words.append(
                msgspec.json.decode(event[6:])["choices"][0]["delta"]["content"]
            )
    return "".join(words).strip()


def _message_text(body: bytes) -> str:
    text: str = msgspec.json.decode(body)["choices"][0]["message"]["content"]
    return text
