r"""
Body buffer
===========

Collects the bytes of a body in segments of one size.  No I/O.

Load pattern: many callers that send large bodies at the same time and don't finish
them.  One buffer for each body would be moved again and again while it grows; single
pieces would take many times their length if they are short.

Segments of long bodies are pages of their own, which the system gets back as soon as a
body is released.  The allocator would keep freed ones between smaller objects that
stay, so that a process would grow to several times of what it holds.
"""

import mmap
from collections.abc import Iterator
from io import BytesIO

__all__ = ["Body", "BodyBuffer", "iterate_pieces"]

# Longer bodies are kept in segments.
SHORT_BODY_BYTES = 65_536
# Pages of a segment that nothing was written to take no memory.
SEGMENT_BYTES = 262_144


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
    >>> for _ in range(6):
    ...     buffer.add(b"x" * 50_000)
    >>> buffer.size, [len(piece) for piece in buffer.iterate_pieces()]
    (300000, [262144, 37856])
    >>> len(buffer.take())
    300000
    """

    def __init__(self) -> None:
        self.size = 0
        self._short = BytesIO()
        self._segments: list[mmap.mmap] = []
        self._is_released = False

    def __len__(self) -> int:
        return self.size

    def add(self, data: bytes | bytearray) -> None:
        """Append bytes."""
        if not self._segments and self.size + len(data) <= SHORT_BODY_BYTES:
            self._short.write(data)
            self.size += len(data)
            return
        if not self._segments:
            self._append(self._short.getvalue(), position=0)
            self._short = BytesIO()
        self._append(data, position=self.size)
        self.size += len(data)

    def finish(self) -> "Body":
        """Return the whole body, without a copy if it is long."""
        return self if self._segments else self._short.getvalue()

    def take(self) -> bytes:
        """Return all bytes, and release the buffer."""
        data = b"".join(self.iterate_pieces())
        self.release()
        return data

    def iterate_pieces(self) -> Iterator[memoryview]:
        """
        Iterate over all bytes without copying them.

        Raises
        ------
        ValueError
            When the body was released.
        """
        if self._is_released:
            raise ValueError("the body was released")
        if not self._segments:
            yield self._short.getbuffer()
            return
        left = self.size
        # An iteration that has begun goes on with the same segments after a release.
        for segment in tuple(self._segments):
            yield memoryview(segment)[: min(left, SEGMENT_BYTES)]
            left -= SEGMENT_BYTES

    def release(self) -> None:
        """Give the memory back to the system, as soon as nothing reads it any more."""
        self._is_released = True
        self._segments.clear()
        self._short = BytesIO()

    def _append(self, data: bytes | bytearray, *, position: int) -> None:
        unwritten = memoryview(data)
        while unwritten:
            number, offset = divmod(position, SEGMENT_BYTES)
            if number == len(self._segments):
                self._segments.append(_create_segment())
            size = min(len(unwritten), SEGMENT_BYTES - offset)
            self._segments[number][offset : offset + size] = unwritten[:size]
            unwritten = unwritten[size:]
            position += size


def _create_segment() -> mmap.mmap:
    # By default the pages would be shared with child processes.
    flags = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
    return mmap.mmap(-1, SEGMENT_BYTES, flags=flags)


# A whole body; a long one is kept in segments.
Body = bytes | BodyBuffer


def iterate_pieces(body: Body) -> Iterator[memoryview]:
    """
    Iterate over the bytes of a body without copying them.

    Examples
    --------
    >>> [bytes(piece) for piece in iterate_pieces(b"abc")]
    [b'abc']
    """
    if isinstance(body, BodyBuffer):
        return body.iterate_pieces()
    return iter((memoryview(body),))
