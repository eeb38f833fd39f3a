"""
Event journal
=============

Structured log lines that never hold up the loop: lines are buffered within a bound,
written by a task of their own, and counted when they have to be dropped.
"""

import os
import sys
import time
from collections import deque

import gevent

from damasklead import logs

__all__ = ["Journal"]

FLUSH_SECONDS = 0.2
# Lines kept while standard output takes none; about 1 MB.
MAX_BUFFERED_LINES = 4000
# Lines in one write.
LINES_A_WRITE = 200


class Journal:
    """
    The lines of one process on standard output.

    Parameters
    ----------
    instance : str
        Repeated on each line.
    """

    def __init__(self, *, instance: str) -> None:
        self._instance = instance
        self._lines: deque[str] = deque()
        self._rest = b""
        self._dropped = 0
        self._lost = 0

    @property
    def pending_lines(self) -> list[str]:
        """The lines that are not written yet."""
        return list(self._lines)

    @property
    def dropped_count(self) -> int:
        """How many lines were dropped since the start."""
        return self._dropped

    def event(self, name: str, **pairs: object) -> None:
        """Add a line of key=value pairs."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self._dropped += 1
            self._lost += 1
            return
        line = logs.format_event(
            name, unix_ms=int(time.time() * 1000), at=self._instance, **pairs
        )
        self._lines.append(line)

    def run(self) -> None:
        """Write lines as they come, forever."""
        os.set_blocking(sys.stdout.fileno(), False)
        while True:
            gevent.sleep(FLUSH_SECONDS)
            self.flush()

    def flush(self) -> None:
        """Write buffered lines as far as standard output takes them."""
        if self._lost:
            lost, self._lost = self._lost, 0
            self._lines.append(
                logs.format_event("log-lines-dropped", at=self._instance, count=lost)
            )
        while self._rest or self._lines:
            count = min(LINES_A_WRITE, len(self._lines))
            lines = "".join(self._lines.popleft() + "\n" for _ in range(count))
            data = self._rest + lines.encode()
            try:
                self._rest = data[os.write(sys.stdout.fileno(), data) :]
            except BlockingIOError:
                self._rest = data
            if self._rest:
                return
