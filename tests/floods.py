"""
Floods
======

Sockets whose bytes never run out, and a watch on the event loop beside the code that
reads them.
"""

from collections.abc import Callable, Iterator
from itertools import repeat
from types import TracebackType

import gevent
from gevent import socket

__all__ = ["DatagramFlood", "FloodSocket", "LoopWatch"]


class FloodSocket:
    """
    A connected socket on which data is always available.

    Parameters
    ----------
    head : bytes
        What is received first.
    piece : bytes
        What each further call receives.
    count : int
        Number of further calls, so that a test of a loop that never gives way ends.

    Attributes
    ----------
    receive_count : int
        Number of calls that received data.
    sent : bytearray
        What was sent.
    is_closed : bool
    """

    def __init__(self, *, head: bytes = b"", piece: bytes, count: int) -> None:
        self.receive_count = 0
        self.sent = bytearray()
        self.is_closed = False
        self._pieces = self._make_pieces(head, piece, count)
        # Its descriptor is readable, for waits on this socket.
        self._readable, self._other_end = socket.socketpair()
        self._other_end.close()

    @staticmethod
    def _make_pieces(head: bytes, piece: bytes, count: int) -> Iterator[bytes]:
        if head:
            yield head
        yield from repeat(piece, count)

    def fileno(self) -> int:
        return self._readable.fileno()

    def recv(self, size: int, _flags: int = 0) -> bytes:
        if self.is_closed:
            raise OSError("closed")
        data = next(self._pieces, None)
        if data is None:
            raise OSError("the flood has ended")
        assert len(data) <= size
        self.receive_count += 1
        return data

    def sendall(self, data: bytes) -> None:
        self.sent += data

    def settimeout(self, seconds: float | None) -> None:
        pass

    def setsockopt(self, *arguments: object) -> None:
        pass

    def close(self) -> None:
        self.is_closed = True
        self._readable.close()


class DatagramFlood:
    """
    A datagram socket on which a datagram is always available.

    Parameters
    ----------
    data : bytes
        Each datagram.
    sender : tuple
        Its sender's address.
    count : int
        Number of datagrams.

    Attributes
    ----------
    receive_count : int
        Number of datagrams that were received.
    """

    def __init__(self, *, data: bytes, sender: tuple[str, int], count: int) -> None:
        self.receive_count = 0
        self._data = data
        self._sender = sender
        self._count = count

    def recvfrom(self, _size: int) -> tuple[bytes, tuple[str, int]]:
        if self.receive_count == self._count:
            raise EOFError
        self.receive_count += 1
        return self._data, self._sender

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        pass

    def settimeout(self, seconds: float | None) -> None:
        pass


class LoopWatch:
    """
    A context manager that records how much work is done between two iterations of the
    event loop.

    Parameters
    ----------
    get_count : callable
        Returns how many pieces of work were done so far.

    Attributes
    ----------
    steps : list of int
        Number of pieces between each two iterations.
    """

    def __init__(self, get_count: Callable[[], int]) -> None:
        self.steps: list[int] = []
        self._get_count = get_count
        self._last_count = 0

    def __enter__(self) -> "LoopWatch":
        self._last_count = self._get_count()
        self._greenlet = gevent.spawn(self._run)
        gevent.sleep(0)
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._record_step()
        self._greenlet.kill()

    @property
    def largest_step(self) -> int:
        """Largest number of pieces between two iterations."""
        return max(self.steps)

    def _run(self) -> None:
        hub = gevent.get_hub()
        while True:
            with hub.loop.timer(0.0) as timer:
                hub.wait(timer)
            self._record_step()

    def _record_step(self) -> None:
        count = self._get_count()
        self.steps.append(count - self._last_count)
        self._last_count = count
