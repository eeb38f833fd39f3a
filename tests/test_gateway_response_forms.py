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
    make_event,
    make_response,
    make_stream_head,
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


def test_a_response_that_has_no_body_keeps_its_connection(
    harnesses: list[ForwarderHarness],
) -> None:
    def respond_without_content(replica: ScriptedReplica, connection: object) -> None:
        while True:
            attempt = replica.receive_request(connection)
            connection.sendall(
                f"HTTP/1.1 204 No Content\r\nAttempt-Id: {attempt}\r\n"
                "Response-Signature: s\r\nKeep-Alive: timeout=9\r\n\r\n".encode()
            )

    harness = make_harness(harnesses, respond_without_content)
    for number in range(3):
        response = harness.send_request("/read/1", attempt=f"a{number}")
        assert response.startswith(b"HTTP/1.1 204")
    assert harness.connections.opened_count == 1


EVENT_STREAM = "Content-Type: text/event-stream"
SIGNED = "Response-Signature: s"
# Statuses, headers besides the id, and bodies that do not continue after event 2.
WRONG_CONTINUATIONS = {
    "error": ("500 Failed", [SIGNED], b"engine error"),
    "not found": ("404 Not Found", [SIGNED], b"no such model"),
    "bad request": ("400 Bad Request", [], b"bad request"),
    "unsigned": ("200 OK", [EVENT_STREAM], make_event(3)),
    "error as success": ("200 OK", [SIGNED, "Content-Type: text/plain"], b"oops\n\n"),
    "untyped error": ("200 OK", [SIGNED], b"oops\n\n"),
    "error event": ("200 OK", [SIGNED, EVENT_STREAM], b"data: oops\n\n"),
    "accepted": ("202 Accepted", [SIGNED, EVENT_STREAM], make_event(3)),
    "no content": ("204 No Content", [SIGNED], b""),
    "no events": ("200 OK", [SIGNED, EVENT_STREAM], b""),
    "from the start": ("200 OK", [SIGNED, EVENT_STREAM], make_event(1) + make_event(2)),
    "repeated event": ("200 OK", [SIGNED, EVENT_STREAM], make_event(2) + make_event(3)),
    "missing event": ("200 OK", [SIGNED, EVENT_STREAM], make_event(4)),
}


def make_broken_stream(attempt: str, framing: str) -> bytes:
    """Return two events and a part of the third, as its sender breaks off."""
    sent = make_event(1) + make_event(2) + make_event(3)[:7]
    head = make_stream_head(attempt)
    if framing == "chunks":
        return head + make_chunk(sent)
    length = b"Content-Length: 900" if framing == "length" else b"X-Framing: none"
    return head.replace(b"Transfer-Encoding: chunked", length) + sent


@pytest.mark.parametrize("response_id", ["own", "missing", "other"])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("continuation", WRONG_CONTINUATIONS)
def test_a_wrong_continuation_is_not_joined_to_a_stream(
    harnesses: list[ForwarderHarness],
    continuation: str,
    framing: str,
    response_id: str,
) -> None:
    """Callers found the text of an error, or a complete end, within their stream."""
    status, headers, body = WRONG_CONTINUATIONS[continuation]

    def serve(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.receive_request(connection)
        if "last-event-id" not in replica.requests[-1][1]:
            connection.sendall(make_broken_stream(attempt, framing))
            return
        id_headers = {
            "own": [f"Attempt-Id: {attempt}"],
            "missing": [],
            "other": ["Attempt-Id: another"],
        }[response_id]
        connection.sendall(
            make_framed(body, *id_headers, *headers, framing=framing, status=status)
        )

    harness = make_harness(harnesses, serve, serve)
    response = harness.send_request("/draft/1", method="POST", body="x")
    head, _, rest = response.partition(b"\r\n\r\n")
    assert b" 200 " in head.splitlines()[0]
    events = make_event(1) + make_event(2)
    assert _decode_chunks(rest) == events
    assert not rest.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_right_continuation_is_joined_to_a_stream(
    harnesses: list[ForwarderHarness], framing: str
) -> None:
    def serve(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.receive_request(connection)
        if "last-event-id" not in replica.requests[-1][1]:
            connection.sendall(make_broken_stream(attempt, framing))
            return
        connection.sendall(
            make_framed(
                make_event(3) + make_event(4),
                f"Attempt-Id: {attempt}",
                SIGNED,
                EVENT_STREAM,
                framing=framing,
            )
        )

    harness = make_harness(harnesses, serve, serve)
    response = harness.send_request("/draft/1", method="POST", body="x")
    rest = response.partition(b"\r\n\r\n")[2]
    assert _decode_chunks(rest) == b"".join(make_event(n) for n in range(1, 5))
    assert rest.endswith(b"0\r\n\r\n")


def _decode_chunks(data: bytes) -> bytes:
    """Return the content of the complete chunks."""
    content = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        content += data[: int(size, 16)]
        data = data[int(size, 16) + 2 :]
    return content


COMPLETE_HEAD = (
    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s\r\n{framing}\r\n"
)
HEAD_FRAMINGS = {
    "length": "Content-Length: 4\r\n",
    "chunks": "Transfer-Encoding: chunked\r\n",
    "connection": "",
}


@pytest.mark.parametrize("path", ["/read/1", "/order/1", "/chat/1", "/draft/1"])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("fraction", [0.1, 0.3, 0.5, 0.7, 0.9, 0.99])
def test_a_response_whose_head_breaks_off_is_no_success(
    harnesses: list[ForwarderHarness], fraction: float, framing: str, path: str
) -> None:
    """Callers got a success with an empty or short body that was framed as complete."""

    def stop_within_head(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.receive_request(connection)
        head = COMPLETE_HEAD.format(attempt=attempt, framing=HEAD_FRAMINGS[framing])
        connection.sendall(head[: int(len(head) * fraction)].encode())

    harness = make_harness(harnesses, stop_within_head, stop_within_head)
    response = harness.send_request(path, method="POST", body="x")
    assert response.startswith(b"HTTP/1.1 502")
