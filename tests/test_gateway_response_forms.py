"""
Tests of faulty responses in every form
=======================================

A response is delimited by a length, by chunks, or by the end of its connection; the
tests run through these and through statuses, ids, events and headers.
"""

from collections.abc import Iterator
from itertools import product

import gevent
import pytest

from tests.gateway_kit import (
    ForwarderHarness,
    ScriptedReplica,
    make_chunk,
    make_response,
)
from tests.test_gateway_responses import make_harness

FRAMINGS = ("length", "chunks", "connection")


@pytest.fixture
def harnesses() -> Iterator[list[ForwarderHarness]]:
    created_harnesses: list[ForwarderHarness] = []
    yield created_harnesses
    for harness in created_harnesses:
        harness.stop()


def make_framed(
    body: bytes, *headers: str, framing: str, status: str = "200 OK"
) -> bytes:
    """Return a response; with the framing ``connection``, its sender has to close."""
    lines = [f"HTTP/1.1 {status}", *headers]
    if framing == "length":
        lines.append(f"Content-Length: {len(body)}")
    elif framing == "chunks":
        lines.append("Transfer-Encoding: chunked")
        body = (make_chunk(body) if body else b"") + make_chunk(b"")
    return "\r\n".join([*lines, "", ""]).encode() + body


REFUSAL_STATUSES = ("503 Full", "429 Too Many Requests", "421 Misdirected Request")


@pytest.mark.parametrize("path", ["/order/1", "/chat/1"])
@pytest.mark.parametrize("refusal_header", ["Not-Executed: 1", ""])
@pytest.mark.parametrize(
    ("status", "framing", "id_header"),
    list(product(REFUSAL_STATUSES, FRAMINGS, ["", "Attempt-Id: first"])),
)
def test_an_earlier_refusal_on_a_kept_connection_is_not_believed(
    harnesses: list[ForwarderHarness],
    status: str,
    framing: str,
    id_header: str,
    refusal_header: str,
    path: str,
) -> None:
    """Callers were told that a request had not run which its replica was running."""

    def refuse_once_more(replica: ScriptedReplica, connection: object) -> None:
        replica.receive_request(connection)
        connection.sendall(
            make_response("first", extra_headers="Keep-Alive: timeout=9\r\n")
        )
        replica.receive_request(connection)
        headers = [item for item in (refusal_header, id_header) if item]
        connection.sendall(make_framed(b"no", *headers, framing=framing, status=status))
        if framing != "connection":
            gevent.sleep(0.3)

    harness = make_harness(harnesses, refuse_once_more)
    (replica,) = harness.replicas
    harness.send_request("/read/1", attempt="first")
    response = harness.send_request(path, method="POST", body="x", attempt="second")
    assert len(replica.requests) == 2
    assert response[9:12] in (b"502", b"504")
    assert not harness.departed_instances
