"""
Tests of an entry in one process
================================

A complete entry with stand-ins for upstreams on loopback and a platform in memory.
"""

from collections.abc import Iterator
from typing import Any

import gevent
import msgspec
import pytest
from absl import logging
from gevent import socket

from damasklead.daemon import EntryService, caller_server
from damasklead.demo.local import (
    WORKSPACE_KEYS,
    find_free_address,
    make_configuration_files,
    make_local_record,
    make_settings_text,
)
from damasklead.findings import Findings
from damasklead.ids import (
    AttemptId,
)
from damasklead.manifest import Publication, PublishSucceeded, publish
from damasklead.protocol import run
from damasklead.settings import check_settings
from damasklead.standins import EngineStandin, PlainStandin
from damasklead.standins.base import HttpRequest, HttpResponse, make_json_response
from damasklead.standins.engine import compute_expected_text
from damasklead.stores.memory import Faults, make_memory_platform
from damasklead.upstreams import ConnectionPool, UpstreamError, UpstreamResponse
from damasklead.upstreams.transport import send_request
from damasklead.util import new_id, split_address

MODEL = "demo-7b"
COMPLETIONS = "/v1/chat/completions"


class EntryHarness:
    """
    An entry with two engines and a plain service.

    Parameters
    ----------
    limits : dict or None
        Further limits of its settings.
    **settings
        Further settings, at the top level of the file.
    """

    def __init__(
        self, *, limits: dict[str, Any] | None = None, **settings: Any
    ) -> None:
        self._limits = limits or {}
        self._settings = settings
        logging.set_verbosity(logging.ERROR)
        self.faults = Faults()
        self.platform = make_memory_platform(faults=self.faults)
        self.engines = [
            EngineStandin(
                record=make_local_record(f"engine-{n}", "demo-llm"),
                platform=self.platform,
            )
            for n in range(2)
        ]
        self.shop = PlainStandin(
            record=make_local_record("shop", "demo-app"), platform=self.platform
        )
        self.address = find_free_address()
        self.operators = find_free_address()
        self.service = self._service()
        self.pool = ConnectionPool()

    def _service(self) -> EntryService:
        listen = {
            "callers": self.address,
            "operators": self.operators,
            "peers": find_free_address(),
        }
        limits = {"body_bytes": 2048, "idle_seconds": 1.0} | self._limits
        text = make_settings_text(
            "entry", listen, {"kind": "memory"}, limits=limits, **self._settings
        )
        settings = check_settings(text, file="t", findings=Findings())
        assert settings is not None
        return EntryService(settings=settings, platform=self.platform)

    def start(self) -> None:
        for standin in (*self.engines, self.shop):
            standin.start()
        publication = Publication(
            id=AttemptId(new_id()), who="t", files=make_configuration_files()
        )
        assert isinstance(run(publish(publication), self.platform), PublishSucceeded)
        self.service.start()
        self.wait_until(
            lambda: all(p.dispatcher.share.has_grant for p in self.pools) and self.pools
        )

    def stop(self) -> None:
        self.service.tree.stop()
        for standin in (*self.engines, self.shop):
            standin.stop()

    @property
    def pools(self) -> list[Any]:
        return list(self.service.entry.pools.values())

    def wait_until(self, condition: Any, seconds: float = 30.0) -> None:
        for _ in range(int(seconds / 0.02)):
            if condition():
                return
            gevent.sleep(0.02)
        raise AssertionError(f"not within {seconds} s")

    def send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        key: str = "skippers",
        **headers: str,
    ) -> UpstreamResponse:
        pairs = [("Authorization", f"Bearer {WORKSPACE_KEYS.get(key, key)}")]
        pairs += [(name.replace("_", "-"), value) for name, value in headers.items()]
        return send_request(
            self.pool, self.address, method=method, path=path, headers=pairs, body=body,
            read_timeout=20.0, force_new_connection=True,
        )  # fmt: skip

    def send_completion(
        self, prompt: str, *, tokens: int = 30, stream: bool = True
    ) -> tuple[UpstreamResponse, dict[str, Any]]:
        document = {
            "model": MODEL,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": stream,
        }
        return self.send("POST", COMPLETIONS, msgspec.json.encode(document)), document


@pytest.fixture
def harness() -> Iterator[EntryHarness]:
    harness = EntryHarness()
    harness.start()
    yield harness
    harness.stop()


def test_an_engine_that_names_a_rate_limit_gets_fewer_requests(
    harness: EntryHarness,
) -> None:
    limited, other = harness.engines
    limited.rate_limit = 0.1
    for number in range(20):
        response, _ = harness.send_completion(f"hello {number}", tokens=2)
        extract_text(response)
    assert len(limited.request_ids) <= 2
    assert len(limited.request_ids) + len(other.request_ids) == 20


def test_bodies_of_all_callers_take_a_limited_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(caller_server, "REQUEST_MEMORY_BYTES", 1_000)
    harness = EntryHarness()
    harness.start()
    try:
        for _ in range(3):
            response, _ = harness.send_completion("x" * 1_500, tokens=2)
            assert response.status == 503
            assert decode_problem(response)["outcome"] == "not-run"
            response, _ = harness.send_completion("hello", tokens=2)
            extract_text(response)
    finally:
        harness.stop()


def extract_text(response: UpstreamResponse) -> str:
    body = response.read_body(limit=1_000_000)
    assert body.endswith(b"data: [DONE]\n\n"), body[-200:]
    events = [event for event in body.split(b"\n\n") if event.startswith(b"data: {")]
    words = [
        msgspec.json.decode(e[6:])["choices"][0]["delta"]["content"] for e in events
    ]
    return "".join(words).strip()


def decode_problem(response: UpstreamResponse) -> dict[str, Any]:
    assert response.get_header("Content-Type") == "application/problem+json"
    document: dict[str, Any] = msgspec.json.decode(response.read_body(limit=100_000))
    assert document["status"] == response.status
    return document


@pytest.mark.parametrize(
    ("method", "path", "body", "key", "status", "field"),
    [
        ("GET", "/v1/models", b"", "nobody.x", 401, "Authorization"),
        ("GET", "/v1/models", b"", "skippers.wrong", 401, "Authorization"),
        ("POST", COMPLETIONS, b"{", "skippers", 400, "body"),
        ("POST", COMPLETIONS, b"[]", "skippers", 400, "body"),
        ("POST", COMPLETIONS, b"{}", "skippers", 400, "model"),
        ("POST", COMPLETIONS, b'{"model": "demo-7b"}', "skippers", 400, "messages"),
        ("POST", COMPLETIONS, b'{"model": "demo-7b", "messages": [1]}', "skippers", 400, "messages"),
        ("POST", COMPLETIONS, b'{"model": "x", "messages": [{}]}', "skippers", 404, "model"),
        ("POST", COMPLETIONS, b"x" * 3000, "skippers", 413, "body"),
        ("GET", COMPLETIONS, b"", "skippers", 405, None),
        ("GET", "/nothing", b"", "skippers", 404, None),
        ("POST", "/services/none/x", b"", "skippers", 404, None),
        ("POST", "/services/demo-app/orders", b"{}", "skippers", 400, "Idempotency-Key"),
        ("DELETE", "/services/demo-app/orders", b"", "skippers", 403, "X-Request-Class"),
    ],
)  # fmt: skip
def test_invalid_request_gets_a_problem_that_names_the_field(
    harness: EntryHarness,
    method: str,
    path: str,
    body: bytes,
    key: str,
    status: int,
    field: str | None,
) -> None:
    response = harness.send(method, path, body, key=key)
    assert response.status == status
    assert response.get_header("X-Damasklead-Outcome") == "not-run"
    document = decode_problem(response)
    assert document.get("field") == field
    assert document["type"].startswith("urn:damasklead:problem:")


@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: 5\r\nContent-Length: 6\r\n",
        b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        b"Transfer-Encoding: xchunked\r\n",
        b"Content-Length: +5\r\n",
        b"X-Large: " + b"x" * 20_000 + b"\r\n",
    ],
)
def test_ambiguous_framing_is_rejected(harness: EntryHarness, head: bytes) -> None:
    connection = socket.create_connection(split_address(harness.address))
    request = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + head + b"\r\n"
    connection.sendall(request + b"0\r\n\r\nGET /v1/models HTTP/1.1\r\n\r\n")
    connection.settimeout(5.0)
    received = b""
    while chunk := connection.recv(65536):
        received += chunk
    assert received.startswith(b"HTTP/1.1 4")
    assert received.count(b"HTTP/1.1") == 1


def test_idle_connection_is_closed(harness: EntryHarness) -> None:
    connection = socket.create_connection(split_address(harness.address))
    connection.sendall(b"POST /v1/chat/completions HTTP/1.1\r\n")
    connection.settimeout(5.0)
    while connection.recv(1000):
        continue


def test_request_id_is_returned(harness: EntryHarness) -> None:
    response = harness.send("GET", "/v1/models", X_Request_ID="my-id-7")
    assert response.get_header("X-Request-ID") == "my-id-7"
    assert b"demo-7b" in response.read_body(limit=10_000)


def test_each_caller_receives_its_own_response(harness: EntryHarness) -> None:
    def check(number: int) -> None:
        response, document = harness.send_completion(
            f"prompt {number}", stream=number % 2 == 0
        )
        if number % 2 == 0:
            assert extract_text(response) == compute_expected_text(document)
            return
        content = msgspec.json.decode(response.read_body(limit=100_000))
        assert content["choices"][0]["message"]["content"] == compute_expected_text(
            document
        )

    greenlets = [gevent.spawn(check, number) for number in range(40)]
    gevent.joinall(greenlets, raise_error=True)


def test_mismatched_response_is_not_relayed(
    harness: EntryHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One engine responds with the id of another request, the other correctly."""
    first = harness.engines[0]
    original = first.handle_request

    def handle(call: HttpRequest) -> HttpResponse:
        if call.path != COMPLETIONS:
            return original(call)
        choice = {"message": {"content": "another's"}}
        headers = (("X-Request-ID", "another"),)
        return make_json_response({"choices": [choice]}, headers=headers)

    monkeypatch.setattr(first, "handle_request", handle)
    for number in range(10):
        response, document = harness.send_completion(f"crossed {number}", stream=False)
        content = msgspec.json.decode(response.read_body(limit=100_000))
        assert content["choices"][0]["message"]["content"] == compute_expected_text(
            document
        )


@pytest.mark.parametrize("keeps_streams", [True, False])
def test_broken_stream_continues_at_the_next_event(
    harness: EntryHarness, keeps_streams: bool
) -> None:
    """Connections break; the engines can resume their streams or have lost them."""
    greenlets = [
        gevent.spawn(harness.send_completion, f"cut {n}", tokens=200) for n in range(12)
    ]
    gevent.sleep(0.4)
    for engine in harness.engines:
        runs = dict(engine._generations)
        engine.stop()
        engine.start()
        if keeps_streams:
            engine._generations = runs
        else:
            engine._generations = {}
        engine._running_count = 0
    gevent.joinall(greenlets, raise_error=True)
    for greenlet in greenlets:
        response, document = greenlet.value
        assert extract_text(response) == compute_expected_text(document)


def test_stream_that_cannot_continue_ends_with_an_error_event(
    harness: EntryHarness,
) -> None:
    response, _ = harness.send_completion("hopeless", tokens=400)
    assert response.read_chunk()
    for engine in harness.engines:
        engine.stop()
    body = response.read_body(limit=1_000_000)
    assert b"event: error\n" in body
    assert b'"outcome":"unknown"' in body
    assert b"[DONE]" not in body


def test_disconnect_cancels_the_request_at_the_engine(
    harness: EntryHarness,
) -> None:
    response, _ = harness.send_completion("gone", tokens=2000)
    assert response.read_chunk()
    response.close()
    harness.wait_until(lambda: not harness.service.entry.exchanges)
    wasted = 'damasklead_wasted_tokens_total{class="dispatch-query"}'
    lines = harness.service.entry.metrics.render().decode().splitlines()
    counted = [float(line.split()[1]) for line in lines if line.startswith(wasted)]
    assert counted and counted[0] >= 1.0
    harness.wait_until(
        lambda: all(engine._running_count == 0 for engine in harness.engines)
    )


def test_disconnect_before_the_response_is_detected(
    harness: EntryHarness,
) -> None:
    for engine in harness.engines:
        engine.slowdown_factor = 50.0
    connection = socket.create_connection(split_address(harness.address))
    body = b'{"model": "demo-7b", "messages": [{"role": "user", "content": "x"}]}'
    head = f"POST {COMPLETIONS} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n"
    head += f"Authorization: Bearer {WORKSPACE_KEYS['skippers']}\r\n\r\n"
    connection.sendall(head.encode() + body)
    harness.wait_until(lambda: len(harness.service.entry.exchanges) == 1)
    connection.close()
    harness.wait_until(lambda: not harness.service.entry.exchanges, seconds=3.0)


def test_repeated_request_gets_the_recorded_response(harness: EntryHarness) -> None:
    body = b'{"reference": "once"}'
    path = "/services/demo-app/orders"
    first = harness.send("POST", path, body, Idempotency_Key="k1")
    again = harness.send("POST", path, body, Idempotency_Key="k1")
    assert first.status == again.status == 200
    assert again.get_header("X-Damasklead-Replayed") == "true"
    assert first.read_body(limit=1000) == again.read_body(limit=1000)
    assert harness.shop.executed_orders == ["once"]
    other = harness.send("POST", path, b'{"reference": "x"}', Idempotency_Key="k1")
    assert decode_problem(other)["type"].endswith("idempotency-key-reused")
    assert harness.shop.executed_orders == ["once"]


def test_outcome_stays_unknown_after_the_upstream_crashed(
    harness: EntryHarness,
) -> None:
    path = "/services/demo-app/orders"

    def send() -> UpstreamResponse:
        return harness.send("POST", path, b'{"reference": "x"}', Idempotency_Key="k")

    def crash_during_order(call: HttpRequest) -> HttpResponse:
        harness.shop.executed_orders.append("x")
        harness.shop.crash()
        gevent.sleep(5.0)
        return HttpResponse()

    harness.shop._handle_order = crash_during_order  # type: ignore[method-assign]
    response = send()
    assert (response.status, response.get_header("X-Damasklead-Outcome")) == (
        502,
        "unknown",
    )
    response.close()
    del harness.shop._handle_order
    harness.shop.start()
    gevent.sleep(1.2)
    again = send()
    assert again.get_header("X-Damasklead-Outcome") == "unknown"
    assert decode_problem(again)["type"].endswith("order-outcome-unknown")
    assert harness.shop.executed_orders == ["x"]


def test_request_with_a_key_is_not_executed_while_the_store_is_unavailable(
    harness: EntryHarness,
) -> None:
    harness.faults.down = True
    path = "/services/demo-app/orders"
    body = b'{"reference": "later"}'
    response = harness.send("POST", path, body, Idempotency_Key="k")
    assert (response.status, response.get_header("X-Damasklead-Outcome")) == (
        503,
        "not-run",
    )
    assert response.get_header("Retry-After")
    harness.faults.down = False
    assert harness.send("POST", path, body, Idempotency_Key="k").status == 200
    assert harness.shop.executed_orders == ["later"]


def test_operators_listener_serves_health_metrics_and_status(
    harness: EntryHarness,
) -> None:
    harness.send_completion("metrics")[0].read_body(limit=100_000)

    def get(path: str) -> tuple[int, bytes]:
        response = send_request(
            harness.pool,
            harness.operators,
            method="GET",
            path=path,
            headers=(),
            body=b"",
            read_timeout=5.0,
        )
        return response.status, response.read_body(limit=1_000_000)

    assert get("/healthz")[0] == 200 and get("/readyz")[0] == 200
    metrics = get("/metrics")[1].decode()
    assert (
        'damasklead_requests_total{class="dispatch-query",outcome="answered"} 1.0'
        in metrics
    )
    status = msgspec.json.decode(get("/status")[1])
    assert status["configuration"] == 1 and status["ready"]
    with pytest.raises(UpstreamError):
        send_request(
            harness.pool,
            "127.0.0.1:1",
            method="GET",
            path="/",
            headers=(),
            body=b"",
            read_timeout=1.0,
        )


def test_callers_listener_has_no_operators_paths(harness: EntryHarness) -> None:
    for path in ("/status", "/metrics", "/healthz"):
        assert harness.send("GET", path).status == 404
