"""
Event journal
=============

Structured log lines that never block the event loop.  Lines are kept in a bounded
buffer and written by a task of their own; lines that find the buffer full are dropped
and counted.
"""

import os
import sys
import time
from collections import deque

import gevent

from damasklead import logs

__all__ = ["Journal"]

FLUSH_INTERVAL_SECONDS = 0.2
# Lines that are buffered while standard output is blocked, and their total length.
MAX_BUFFERED_LINES = 4000
MAX_BUFFERED_CHARACTERS = 2_097_152
MAX_LINES_PER_WRITE = 200


class Journal:
    """
    Writes the log lines of one process to standard output.

    Parameters
    ----------
    instance : str
        Name of the gateway, repeated on each line.
    """

    def __init__(self, *, instance: str) -> None:
        self._instance = instance
        self._lines: deque[str] = deque()
        self._buffered_characters = 0
        self._unwritten = b""
        self._dropped_count = 0
        self._unreported_drops = 0

    @property
    def pending_lines(self) -> list[str]:
        """The lines that are buffered."""
        return list(self._lines)

    @property
    def dropped_count(self) -> int:
        """The number of lines dropped since the start."""
        return self._dropped_count

    def event(self, name: str, **pairs: object) -> None:
        """Buffer a line of key=value pairs; drop it when the buffer is full."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self._record_drop()
            return
        line = logs.format_event(
            name, unix_ms=int(time.time() * 1000), at=self._instance, **pairs
        )
        if self._buffered_characters + len(line) > MAX_BUFFERED_CHARACTERS:
            self._record_drop()
            return
        self._append(line)

    def run(self) -> None:
        """Write buffered lines at each interval, forever."""
        os.set_blocking(sys.stdout.fileno(), False)
        while True:
            gevent.sleep(FLUSH_INTERVAL_SECONDS)
            self.flush()

    def flush(self) -> None:
        """Write buffered lines until standard output would block."""
        if self._unreported_drops:
            dropped, self._unreported_drops = self._unreported_drops, 0
            self._append(
                logs.format_event("log-lines-dropped", at=self._instance, count=dropped)
            )
        while self._unwritten or self._lines:
            count = min(MAX_LINES_PER_WRITE, len(self._lines))
            lines = [self._lines.popleft() for _ in range(count)]
            self._buffered_characters -= sum(map(len, lines))
            data = self._unwritten + "".join(line + "\n" for line in lines).encode()
            try:
                self._unwritten = data[os.write(sys.stdout.fileno(), data) :]
            except BlockingIOError:
                self._unwritten = data
            if self._unwritten:
                return

    def _append(self, line: str) -> None:
        self._lines.append(line)
        self._buffered_characters += len(line)

    def _record_drop(self) -> None:
        self._dropped_count += 1
        self._unreported_drops += 1
