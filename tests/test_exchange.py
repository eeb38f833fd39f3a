"""
Tests of one request's way over attempts that are taken back
============================================================
"""

from types import SimpleNamespace
from typing import Any

import pytest

from damasklead.daemon.exchange import Exchange
from damasklead.daemon.replies import DONE_EVENT, ResponseHead
from damasklead.ids import AttemptId, InstanceId
from damasklead.requests import Cancel, Start
from damasklead.upstreams import UpstreamRequest

UPSTREAM_REQUEST = UpstreamRequest(
    attempt=AttemptId(""), method="POST", path="/", headers=(), body=b"", priority=3,
    is_idempotent=True, read_timeout=5.0,
)  # fmt: skip


def event(number: int) -> bytes:
    text = f'{{"choices": [{{"delta": {{"content": "w{number} "}}}}]}}'
    return f"data: {text}\n\n".encode()


class Answers:
    """An engine's answer that has more bytes buffered when it is taken back."""

    status = 200

    def __init__(self, chunks: list[bytes]) -> None:
        self.receive_count = 0
        self._chunks = chunks

    def disable_read_timeout(self) -> None:
        """Nothing is to be prepared."""

    def get_headers(self) -> list[tuple[str, str]]:
        return [("Content-Type", "text/event-stream")]

    def read_chunk(self) -> bytes:
        self.receive_count += 1
        return self._chunks.pop(0) if self._chunks else b""


class Dispatcher:
    """Counts the events of attempts that it has not taken back, as the real one does."""

    def __init__(self, request: Any) -> None:
        self.attempts = {AttemptId("a1"), AttemptId("a2")}
        self._request = request

    def record_events(self, attempt: AttemptId, *, event_count: int) -> None:
        if attempt in self.attempts:
            self._request.generated_tokens += event_count


class Host:
    """Stands in for the entry; ignores what it is told."""

    clock = SimpleNamespace(now=lambda: 0.0)

    def get_address(self, instance: InstanceId) -> str:
        return "127.0.0.1:1"

    def __getattr__(self, name: str) -> Any:
        return lambda *_args, **_options: None


class Upstream:
    """Sends what is left of an answer of four words."""

    def __init__(self) -> None:
        self.sent: list[int] = []
        self.request: Any = None

    def send_attempt(self, address: str, call: Any, **_options: Any) -> Answers:
        begin = self.request.generated_tokens
        self.sent.append(begin)
        pieces = [event(number) for number in range(begin, 4)]
        return Answers([*pieces, DONE_EVENT])


@pytest.mark.parametrize("taken_back_after", [1, 2, 3])
def test_what_an_attempt_that_was_taken_back_still_holds_is_not_passed_on(
    taken_back_after: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The caller had words twice: they were passed on and not counted."""
    monkeypatch.setattr(Exchange, "_make_continuation_body", lambda self: b"")
    request: Any = SimpleNamespace(
        generated_tokens=0, request_class=SimpleNamespace(may_repeat=True)
    )
    upstream, dispatcher = Upstream(), Dispatcher(request)
    upstream.request = request
    exchange = Exchange(
        entry=Host(),  # type: ignore[arg-type]
        pool=SimpleNamespace(dispatcher=dispatcher, upstream=upstream),  # type: ignore[arg-type]
        request=request,
        upstream_request=UPSTREAM_REQUEST,
        stream=True,
        document={"messages": []},
    )
    starts = [
        Start(request=request, attempt=AttemptId(f"a{n}"), replica=InstanceId(f"r{n}"))
        for n in (1, 2)
    ]
    exchange.handle_action(starts[0])
    body = b""
    pieces = 0
    for piece in exchange.generate_response():
        if isinstance(piece, ResponseHead):
            continue
        assert isinstance(piece, bytes)
        body += piece
        pieces += 1
        if pieces == taken_back_after:
            # The dispatcher takes the attempt back while the caller is written to.
            dispatcher.attempts.discard(AttemptId("a1"))
            exchange.handle_action(
                Cancel(
                    request=request,
                    attempt=AttemptId("a1"),
                    replica=InstanceId("r1"),
                    requeued=True,
                )
            )
            exchange.handle_action(starts[1])
    assert body == b"".join(event(number) for number in range(4)) + DONE_EVENT
    assert upstream.sent == [0, taken_back_after]
