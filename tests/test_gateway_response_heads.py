"""
Tests of early resets and of control bytes outside of fields
============================================================

Each on every kind of route.
"""
# ruff: noqa: F811

import struct

import gevent
import h11
import pytest
from gevent import socket

from damasklead.gateway.upstream_http import Connection, SendError
from damasklead.loop import LoopClock
from damasklead.response_grammar import ChunkHeaderCheck
from damasklead.sockets import connect
from damasklead.tunnels.dialing import Link
from tests.gateway_kit import make_event
from tests.test_gateway_response_grammar import (  # noqa: F401
    PATHS,
    check_failed,
    exchange,
    harnesses,
    make_template,
)
from tests.tunnel_kit import Helper, Replica, make_dialer

RESET = struct.pack("ii", 1, 0)
PART = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: par"


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(
    "reason", ["200 O\x01K", "200 O\x00K", "200 O\x7fK", "200 O\rK"]
)
def test_a_control_byte_in_the_reason_is_no_response(
    harnesses,
    reason: str,
    path: str,
) -> None:
    check_failed(exchange(harnesses, path, make_template(status=reason)))


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("extension", [b";a\x01b", b";a\x00", b";\rb"])
def test_a_control_byte_in_a_chunk_extension(
    harnesses,
    extension: bytes,
    path: str,
) -> None:
    body = make_event(1)
    chunks = b"%x" % len(body) + extension + b"\r\n" + body + b"\r\n0\r\n\r\n"
    response = exchange(
        harnesses,
        path,
        make_template(framing=b"Transfer-Encoding: chunked", body=chunks),
    )
    looks_whole = response.startswith(b"HTTP/1.1 200") and b"piece" in response
    assert not looks_whole, response


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("extension", [b";a\x01b", b";a\x00", b";\rb", b";a\x7f"])
@pytest.mark.parametrize("chunk", [0, 1, 2])
def test_a_control_byte_in_an_extension_that_arrives_byte_by_byte(
    harnesses,
    chunk: int,
    extension: bytes,
    path: str,
) -> None:
    extensions = [b"", b"", b""]
    extensions[chunk] = extension
    body = make_event(1) + make_event(2)
    half = len(body) // 2
    chunks = b"".join(
        b"%x%b\r\n%b\r\n" % (len(data), extension, data)
        for data, extension in zip(
            (body[:half], body[half:], b""), extensions, strict=True
        )
    )
    template = make_template(framing=b"Transfer-Encoding: chunked", body=chunks)
    response = exchange(harnesses, path, template, is_split=True)
    if not response.startswith(b"HTTP/1.1 502"):
        # A stream may have begun; its end doesn't look complete.
        assert path in ("/chat/1", "/draft/1") and chunk > 0, response
        assert not response.endswith(b"0\r\n\r\n"), response


@pytest.mark.parametrize("is_split", [False, True], ids=["whole", "split"])
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(
    "extension", [b"", b" \t", b";a", b";a=b;c", b'; a="b c" ', b";a=\t\xe9"]
)
def test_a_valid_chunk_extension_is_accepted(
    harnesses,
    extension: bytes,
    path: str,
    is_split: bool,
) -> None:
    body = make_event(1)
    chunks = b"".join(
        b"%x%b\r\n%b\r\n" % (len(data), extension, data)
        for data in (body[:1], body[1:], b"")
    )
    template = make_template(framing=b"Transfer-Encoding: chunked", body=chunks)
    response = exchange(harnesses, path, template, is_split=is_split)
    head, _, rest = response.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200"), response
    for line in body.split(b"\n"):
        assert line in rest


def test_a_chunk_header_may_arrive_in_any_parts() -> None:
    valid = b'3;a="b"\r\n\r\n0\r\n1\r\nx\r\n000;\r\nX: \x00\r\n\r\n'
    invalid = b"3\r\n\r\n;\r\n1;\x00\r\nx\r\n"
    for first in range(len(valid)):
        for second in range(first, len(valid)):
            check = ChunkHeaderCheck()
            for data in (valid[:first], valid[first:second], valid[second:]):
                check.check(data)
    for first in range(len(invalid)):
        for second in range(first, len(invalid)):
            check = ChunkHeaderCheck()
            with pytest.raises(h11.RemoteProtocolError):
                for data in (invalid[:first], invalid[first:second], invalid[second:]):
                    check.check(data)


def test_headers_after_a_response_without_a_body_are_not_checked() -> None:
    """Such a response has no chunks, whatever its head says."""
    framing = b"Transfer-Encoding: chunked\r\n\r\n"

    def serve(raw: socket.socket) -> None:
        request = raw.recv(65536)
        status = b"200 OK" if request.startswith(b"HEAD") else b"204 No Content"
        raw.sendall(b"HTTP/1.1 " + status + b"\r\n" + framing + b"surplus\r\n")

    replica = Replica(serve)
    try:
        for method in ("HEAD", "GET"):
            link = Link(raw=connect(replica.address, timeout=1))
            connection = Connection(
                address=replica.address, link=link, clock=LoopClock()
            )
            connection.send_request(
                method=method, target="/", headers=[(b"Host", b"x")], body=b""
            )
            connection.read_head()
            assert connection.read_body(limit=1) == b""
            assert not connection.is_reusable
            connection.close()
    finally:
        replica.stop()


@pytest.mark.parametrize("is_tunnel", [False, True])
@pytest.mark.parametrize("read_pause", [0.0, 0.01, 0.05])
@pytest.mark.parametrize("body_bytes", [0, 4_000, 5_000, 150_000, 4_000_000])
@pytest.mark.parametrize("pause", [0.0, 0.02])
@pytest.mark.parametrize("end", ["reset", "close-unread"])
def test_a_reset_part_is_no_response(end, pause, body_bytes, read_pause, is_tunnel):
    def serve(raw: socket.socket) -> None:
        raw.recv(5)
        gevent.sleep(0.003)
        raw.sendall(PART)
        gevent.sleep(pause)
        if end == "reset":
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        raw.close()

    replica = Replica(serve)
    helper = Helper([replica.address])
    try:
        if is_tunnel:
            link = make_dialer([helper]).dial(replica.address)
            assert link.is_tunnel
        else:
            link = Link(raw=connect(replica.address, timeout=1))
        connection = Connection(address=replica.address, link=link, clock=LoopClock())
        with pytest.raises(SendError):
            connection.send_request(
                method="POST",
                target="/",
                headers=[(b"Host", b"x")],
                body=b"x" * body_bytes,
            )
            with gevent.Timeout(3):
                connection.read_head()
                gevent.sleep(read_pause)
                connection.read_body(limit=1_000_000)
        connection.close()
    finally:
        replica.stop()
        helper.server.stop()


@pytest.mark.parametrize("is_one_piece", [False, True])
@pytest.mark.parametrize("pause", [0.0, 0.02])
@pytest.mark.parametrize("end", ["reset", "close-unread"])
@pytest.mark.parametrize("body_bytes", [0, 150_000, 4_000_000])
def test_a_reset_part_after_a_stray_response(body_bytes, end, pause, is_one_piece):
    stray = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"

    def serve(raw: socket.socket) -> None:
        raw.recv(5)
        if is_one_piece:
            raw.sendall(stray + PART)
        else:
            raw.sendall(stray)
            gevent.sleep(0.01)
            raw.sendall(PART)
        gevent.sleep(pause)
        if end == "reset":
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        raw.close()

    replica = Replica(serve)
    try:
        link = Link(raw=connect(replica.address, timeout=1))
        connection = Connection(address=replica.address, link=link, clock=LoopClock())
        with pytest.raises(SendError):
            connection.send_request(
                method="POST",
                target="/",
                headers=[(b"Host", b"x")],
                body=b"x" * body_bytes,
            )
            with gevent.Timeout(3):
                connection.read_head()
                connection.skip_stray_response()
                connection.read_head()
                gevent.sleep(0.01)
                connection.read_body(limit=1_000_000)
        connection.close()
    finally:
        replica.stop()
