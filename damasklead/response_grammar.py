"""
Grammar of responses
====================

Checks that parsers leave out.  h11 joins folded lines, accepts control bytes in values
and in chunk extensions, any version and any status of three digits.  What one parser
takes for a field and another for none may change where a body ends.
"""

import re

import h11

__all__ = [
    "MAX_STATUS",
    "MIN_STATUS",
    "PROTOCOL_VERSIONS",
    "ChunkHeaderCheck",
    "check_head",
    "check_head_lines",
    "check_status_line",
]

MIN_STATUS, MAX_STATUS = 100, 599
PROTOCOL_VERSIONS = frozenset({"1.0", "1.1"})
_END_OF_HEAD = re.compile(rb"\n\r?\n")
_FOLDED_LINE = re.compile(rb"\n[ \t]")
# All control bytes but the tab.
_CONTROL_BYTE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_LINE_END = b"\r\n"
# As h11 reads it, but without control bytes in the extensions.
_CHUNK_HEADER = re.compile(
    rb"([0-9A-Fa-f]{1,20})(?:;[^\x00-\x08\x0a-\x1f\x7f]*|[ \t]*)\r\n"
)


def check_head_lines(data: bytes) -> None:
    r"""
    Check the lines of a head, as far as they have arrived.

    Parameters
    ----------
    data : bytes
        Begins with the head.

    Raises
    ------
    h11.RemoteProtocolError
        If a line continues the one before.

    Examples
    --------
    >>> check_head_lines(b"HTTP/1.1 200 OK\r\nA: 1\r\n\r\n a body")
    >>> check_head_lines(b"HTTP/1.1 200 OK\r\nA: 1\r\n 2\r\n")
    Traceback (most recent call last):
    ...
    h11._util.RemoteProtocolError: folded header line
    """
    end = _END_OF_HEAD.search(data)
    if _FOLDED_LINE.search(data, 0, len(data) if end is None else end.start() + 1):
        raise h11.RemoteProtocolError("folded header line")


def check_head(head: h11.Response | h11.InformationalResponse) -> None:
    """
    Check the head of a final or interim response.

    Raises
    ------
    h11.RemoteProtocolError
        If it isn't valid, or its framing is ambiguous.
    """
    if head.http_version.decode("ascii") not in PROTOCOL_VERSIONS:
        raise h11.RemoteProtocolError(f"version {head.http_version!r}")
    if not MIN_STATUS <= head.status_code <= MAX_STATUS:
        raise h11.RemoteProtocolError(f"status {head.status_code}")
    if _CONTROL_BYTE.search(head.reason):
        raise h11.RemoteProtocolError("control byte in the reason")
    names = set()
    for name, value in head.headers:
        names.add(name)
        if _CONTROL_BYTE.search(value):
            raise h11.RemoteProtocolError(f"control byte in the header {name!r}")
    if (
        isinstance(head, h11.Response)
        and {
            b"content-length",
            b"transfer-encoding",
        }
        <= names
    ):
        raise h11.RemoteProtocolError("both a length and a transfer coding")


def check_status_line(line: bytes) -> None:
    """
    Check the status line of a response that a parser has accepted.

    llhttp accepts other protocols and control bytes in the reason.

    Raises
    ------
    ValueError
        If it is none of HTTP.
    """
    if not line.startswith(b"HTTP/") or _CONTROL_BYTE.search(line):
        raise ValueError(f"status line {line[:40]!r}")


class ChunkHeaderCheck:
    r"""
    Checks the chunk headers of one body as its data arrives, and skips the rest.

    Examples
    --------
    >>> check = ChunkHeaderCheck()
    >>> check.check(b"3;a=\"b\"\r\nxyz\r\n1;")
    >>> check.check(b"\x00\r\nx\r\n")
    Traceback (most recent call last):
    ...
    h11._util.RemoteProtocolError: malformed chunk header b'1;\x00'
    """

    def __init__(self) -> None:
        # Bytes of chunks until the next header, and the part of it that has arrived.
        self._skipped_bytes = 0
        self._part = b""
        self._is_ended = False

    def check(self, data: bytes) -> None:
        """
        Check the next data of the body.

        Parameters
        ----------
        data : bytes
            May end anywhere in the body, and may go on after it.

        Raises
        ------
        h11.RemoteProtocolError
            If a header isn't valid.
        """
        if self._part:
            searched_bytes = len(self._part) - 1
            data, self._part = self._part + data, b""
            if data.find(_LINE_END, searched_bytes) < 0:
                self._part = data
                return
        start = self._skipped_bytes
        while start < len(data) and not self._is_ended:
            header = _CHUNK_HEADER.match(data, start)
            if header is None:
                self._part = _check_part(data[start:])
                start = len(data)
                break
            size = int(header[1], 16)
            self._is_ended = size == 0
            start = header.end() + size + len(_LINE_END)
        self._skipped_bytes = max(0, start - len(data))


def _check_part(data: bytes) -> bytes:
    """Return the part of a chunk header that has arrived, if it isn't complete."""
    line, end, _ = data.partition(_LINE_END)
    if end:
        raise h11.RemoteProtocolError(f"malformed chunk header {line[:40]!r}")
    return data
