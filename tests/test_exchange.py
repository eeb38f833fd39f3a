"""
Tests of a response whose attempt is cancelled while it is relayed
==================================================================
"""

from types import SimpleNamespace
from typing import Any

import pytest

from damasklead.daemon.exchange import Exchange
from damasklead.daemon.replies import DONE_EVENT, ResponseHead
from damasklead.ids import AttemptId, Incarnation, InstanceId
from damasklead.requests import Cancel, Start
from damasklead.upstreams import UpstreamRequest

UPSTREAM_REQUEST = UpstreamRequest(
    attempt=AttemptId(""), method="POST", path="/", headers=(), body=b"", priority=3,
    is_idempotent=True, read_timeout=5.0,
)  # fmt: skip


def make_event(number: int) -> bytes:
    text = f'{{"choices": [{{"delta": {{"content": "w{number} "}}}}]}}'
    return f"data: {text}\n\n".encode()


class BufferedResponse:
    """A stream that still has data buffered when its attempt is cancelled."""

    status = 200
    rate_limit = None

    def __init__(self, chunks: list[bytes]) -> None:
        self.receive_count = 0
        self._chunks = chunks

    def disable_read_timeout(self) -> None:
        """Do nothing, since no read blocks."""

    def get_headers(self) -> list[tuple[str, str]]:
        return [("Content-Type", "text/event-stream")]

    def read_chunk(self) -> bytes:
        self.receive_count += 1
        return self._chunks.pop(0) if self._chunks else b""


class FakeDispatcher:
    """Counts the events of attempts that it has not cancelled, as the real one does."""

    def __init__(self, request: Any) -> None:
        self.attempts = {AttemptId("a1"), AttemptId("a2")}
        self._request = request

    def record_events(self, attempt: AttemptId, *, event_count: int) -> None:
        if attempt in self.attempts:
            self._request.generated_tokens += event_count


class FakeEntry:
    """An entry with one replica address that ignores all reports."""

    clock = SimpleNamespace(now=lambda: 0.0)

    def get_member(self, instance: InstanceId) -> Any:
        return SimpleNamespace(address="127.0.0.1:1", incarnation=Incarnation(1))

    def __getattr__(self, name: str) -> Any:
        return lambda *_args, **_options: None


class FakeUpstream:
    """An engine that sends the rest of a response of four words."""

    def __init__(self) -> None:
        self.first_events: list[int] = []
        self.request: Any = None

    def send_attempt(
        self, address: str, request: Any, **_options: Any
    ) -> BufferedResponse:
        first_event = self.request.generated_tokens
        self.first_events.append(first_event)
        parts = [make_event(number) for number in range(first_event, 4)]
        return BufferedResponse([*parts, DONE_EVENT])


@pytest.mark.parametrize("cancelled_after", [1, 2, 3])
def test_data_buffered_at_the_cancellation_of_an_attempt_is_not_relayed(
    cancelled_after: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """
    The caller received events twice: buffered events of a cancelled attempt were
    relayed but not counted, and the next attempt generated them again.
    """
    monkeypatch.setattr(Exchange, "_make_continuation_body", lambda self: b"")
    request: Any = SimpleNamespace(
        generated_tokens=0, request_class=SimpleNamespace(may_repeat=True)
    )
    upstream, dispatcher = FakeUpstream(), FakeDispatcher(request)
    upstream.request = request
    exchange = Exchange(
        entry=FakeEntry(),  # type: ignore[arg-type]
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
    part_count = 0
    for part in exchange.generate_response():
        if isinstance(part, ResponseHead):
            continue
        assert isinstance(part, bytes)
        body += part
        part_count += 1
        if part_count == cancelled_after:
            # The dispatcher cancels the attempt during a write to the caller.
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
    assert body == b"".join(make_event(number) for number in range(4)) + DONE_EVENT
    assert upstream.first_events == [0, cancelled_after]
