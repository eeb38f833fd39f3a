"""
Paced WSGI handler
==================

gevent's WSGI handler, which gives way to the event loop while it reads a request or
discards the rest of one, and limits both.
"""

from email.parser import Parser
from typing import Any, BinaryIO

from gevent import pywsgi

from damasklead.request_targets import to_origin_form
from damasklead.turns import TurnBudget

__all__ = ["PacedHandler"]

# Bytes that are read from the connection at once.
MAX_READ_BYTES = 16_384
# Lines that end the headers.
_BLANK_LINES = (b"\r\n", b"\n")


class _PacedFile:
    """
    The bytes that a caller sends.

    Parameters
    ----------
    raw : file
        The connection's file.
    """

    def __init__(self, raw: BinaryIO) -> None:
        self._raw = raw
        self._turn = TurnBudget()
        self._remaining_line_bytes: int | None = None

    @property
    def closed(self) -> bool:
        """Whether the file was closed."""
        return self._raw.closed

    def limit_lines(self, size: int | None) -> None:
        """Let further lines have this many bytes together; ``None`` for no limit."""
        self._remaining_line_bytes = size

    def read(self, size: int = -1) -> bytes:
        """Return ``size`` bytes, fewer only at the end of the connection."""
        if size <= MAX_READ_BYTES:
            return self._record(self._raw.read(size))
        data = bytearray()
        while len(data) < size:
            piece = self._raw.read(min(MAX_READ_BYTES, size - len(data)))
            if not piece:
                break
            data += self._record(piece)
        return bytes(data)

    def readline(self, size: int = -1) -> bytes:
        """
        Return the next line.

        Raises
        ------
        ValueError
            If the lines exceed their limit.
        """
        line = self._record(self._raw.readline(size))
        if self._remaining_line_bytes is not None:
            self._remaining_line_bytes -= len(line)
            if self._remaining_line_bytes < 0:
                raise ValueError("the head is too long")
        return line

    def close(self) -> None:
        """Close the file."""
        self._raw.close()

    def _record(self, data: bytes) -> bytes:
        self._turn.spend(size=len(data))
        return data


class _Input(pywsgi.Input):
    """
    The body of a request.

    Attributes
    ----------
    max_discarded_bytes : int
        Longest rest of a body that is read after the response; a caller that still
        sends one would not see the response if the connection was closed before.
    """

    max_discarded_bytes = 0
    _chunked_input_error: bool

    def _discard(self) -> None:
        if self._chunked_input_error:
            return
        self.send_100_continue_enabled = False
        discarded_bytes = 0
        while data := self.read(MAX_READ_BYTES):
            discarded_bytes += len(data)
            if discarded_bytes > self.max_discarded_bytes:
                self._chunked_input_error = True
                raise pywsgi._InvalidClientInput("the body is too long to discard")
        self.send_100_continue_enabled = True


class PacedHandler(pywsgi.WSGIHandler):
    """
    Handles a connection.

    Attributes
    ----------
    max_header_bytes : int
        Largest total length of the names and values of a request's headers.
    max_discarded_bytes : int
        Longest rest of a body that is read after the response.
    """

    max_header_bytes = 16_384
    max_discarded_bytes = 65_536
    path: str
    rfile: Any
    socket: Any
    wsgi_input: Any

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.rfile = _PacedFile(self.rfile)

    def read_requestline(self) -> str:
        """
        Read the first line of a request; drop blank lines before it.

        Some callers send a blank line after a body (RFC 9112, section 2.2).
        """
        line: str = super().read_requestline()
        dropped_bytes = 0
        while line in ("\r\n", "\n") and dropped_bytes <= self.max_header_bytes:
            dropped_bytes += len(line)
            line = super().read_requestline()
        return line

    def MessageClass(self, *arguments: Any) -> Any:  # noqa: N802
        """
        Parse the headers, which may be twice as long as what counts of them.

        They are limited by their length only; ``http.client`` accepts 100 of them.
        """
        limit = 2 * self.max_header_bytes
        self.rfile.limit_lines(limit)
        lines = []
        while True:
            line = self.rfile.readline(limit + 1)
            if not line:
                raise ValueError("the head is cut off")
            lines.append(line)
            if line in _BLANK_LINES:
                break
        self.rfile.limit_lines(None)
        text = b"".join(lines).decode("latin-1")
        return Parser(_class=pywsgi.OldMessage).parsestr(text)

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with a body that is discarded up to a limit."""
        # The host selects nothing at an entry.
        self.path, _ = to_origin_form(self.path, ())
        environ: dict[str, Any] = super().get_environ()
        body = self.wsgi_input
        # Expectations are compared without regard to case (RFC 9110, section 10.1.1).
        is_expecting = environ.get("HTTP_EXPECT", "").lower() == "100-continue"
        # Has slots only, and no state before the first read.
        limited = _Input(
            body.rfile,
            body.content_length,
            self.socket if is_expecting else None,
            body.chunked_input,
        )
        limited.max_discarded_bytes = self.max_discarded_bytes
        # No upgrade is accepted, so that an offer of one doesn't change the framing.
        self.wsgi_input = environ["wsgi.input"] = limited
        environ["wsgi.input_terminated"] = True
        return environ
