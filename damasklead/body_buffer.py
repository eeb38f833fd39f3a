r"""
Body buffer
===========

Collects the bytes of a body in segments of one size.  No I/O.

Load pattern: many callers that send large bodies at the same time and don't finish
them.  One buffer for each body would be moved again and again while it grows, and the
allocator could not use the gaps that it leaves; single pieces would take many times
their length if they are short.
"""

from io import BytesIO

__all__ = ["BodyBuffer"]

SEGMENT_BYTES = 65_536


class BodyBuffer:
    """
    The bytes of a body so far.

    Attributes
    ----------
    size : int
        Number of bytes.

    Examples
    --------
    >>> buffer = BodyBuffer()
    >>> for _ in range(3):
    ...     buffer.add(b"x" * 50_000)
    >>> buffer.size, len(buffer.take())
    (150000, 150000)
    """

    def __init__(self) -> None:
        self.size = 0
        self._segments: list[bytes] = []
        self._last = BytesIO()

    def add(self, data: bytes) -> None:
        """Append bytes."""
        self.size += len(data)
        self._last.write(data)
        if self._last.tell() >= SEGMENT_BYTES:
            self._segments.append(self._last.getvalue())
            self._last = BytesIO()

    def take(self) -> bytes:
        """Return all bytes."""
        if not self._segments:
            return self._last.getvalue()
        segments = [*self._segments, self._last.getvalue()]
        self._segments.clear()
        return b"".join(segments)
