"""
HTTP messages of stand-ins
==========================

Light enough for programs that have to start quickly.
"""

from gevent import socket

__all__ = ["make_chunk", "read_request"]


def read_request(connection: socket.socket) -> tuple[str, dict[str, str], bytes]:
    """
    Read a request.

    Returns
    -------
    tuple
        The request line, the headers by lowercase name, and the body.

    Raises
    ------
    EOFError
        If the connection is closed before the request is complete.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        received = connection.recv(65536)
        if not received:
            raise EOFError
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines[1:])
    }
    while len(body) < int(headers.get("content-length", 0)):
        received = connection.recv(65536)
        if not received:
            raise EOFError
        body += received
    return lines[0], headers, body


def make_chunk(data: bytes) -> bytes:
    """Return a chunk of a chunked body."""
    return b"%x\r\n" % len(data) + data + b"\r\n"
