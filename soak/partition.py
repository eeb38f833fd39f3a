"""
Partition of a gateway from all replicas
========================================

Runs a gateway whose connections to replicas can be cut while callers, the store and
other gateways still reach it.  Loopback has no partitions between two processes, so the
sockets of the gateway's process imitate one: the process replaces the function that
opens connections, and reads from a file what to do with those to replicas.

Usage: ``python -m soak.partition``, with the environment of a gateway and the path of
the file in ``SOAK_PARTITION_FILE``.
"""

import errno
import os
import sys
import time
from enum import Enum
from pathlib import Path
from typing import Any

import gevent
import msgspec
from gevent import socket

__all__ = ["FILE_VARIABLE", "Partition", "PartitionKind", "write_partition"]

FILE_VARIABLE = "SOAK_PARTITION_FILE"
POLL_SECONDS = 0.01
# A connection without acknowledgements is given up by the kernel after this time.
USER_TIMEOUT_SECONDS = 2.5


class PartitionKind(Enum):
    """
    What becomes of connections to replicas.

    ``SILENT``: no byte passes in either direction; ``NO_RESPONSES``: requests arrive
    and responses don't; ``RESET``: open and new connections are reset; ``REFUSE``: new
    ones are refused, open ones live on.
    """

    NONE = "none"
    SILENT = "silent"
    NO_RESPONSES = "no responses"
    RESET = "reset"
    REFUSE = "refuse"


class Partition(msgspec.Struct, kw_only=True, frozen=True):
    """
    The state of one gateway's connections to replicas.

    Attributes
    ----------
    kind : PartitionKind
    since : float
        Start, in seconds of the monotonic clock.
    addresses : list of str
        Addresses of the replicas as ``host:port``.
    is_accepting : bool
        Whether new connections are opened, as by a load balancer on the way, and then
        cut like the others.
    """

    kind: PartitionKind = PartitionKind.NONE
    since: float = 0.0
    addresses: list[str] = []
    is_accepting: bool = False


def write_partition(path: Path, partition: Partition) -> None:
    """Replace the state that a gateway reads."""
    temporary = path.with_suffix(".new")
    temporary.write_bytes(msgspec.json.encode(partition))
    temporary.rename(path)


class _PartitionFile:
    """The state in a file, which is read again when it has changed."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._checked_at = 0.0
        self._changed_at = -1
        self._partition = Partition()

    def read(self) -> Partition:
        now = time.monotonic()
        if now - self._checked_at >= POLL_SECONDS:
            self._checked_at = now
            changed_at = self._path.stat().st_mtime_ns
            if changed_at != self._changed_at:
                self._changed_at = changed_at
                data = self._path.read_bytes()
                self._partition = msgspec.json.decode(data, type=Partition)
        return self._partition


class _PartitionedSocket(socket.socket):
    """A connection to a replica, which a partition cuts."""

    file: _PartitionFile
    _held = b""
    _is_given_up = False

    def recv(self, size: int, flags: int = 0) -> bytes:
        deadline = None if self.timeout is None else time.monotonic() + self.timeout
        while True:
            if self._is_given_up:
                return b""  # the kernel reports the error once
            partition = self._check()
            if partition.kind in (PartitionKind.NONE, PartitionKind.REFUSE):
                self._flush()
                try:
                    return self._sock.recv(size, flags | socket.MSG_DONTWAIT)
                except BlockingIOError:
                    pass
            if self.timeout == 0.0:
                raise BlockingIOError(errno.EAGAIN, "no data")
            if deadline is not None and time.monotonic() >= deadline:
                raise TimeoutError("timed out")
            gevent.sleep(POLL_SECONDS)

    def send(self, data: Any, flags: int = 0, timeout: Any = None) -> int:
        if self._is_given_up:
            raise BrokenPipeError(errno.EPIPE, "given up before")
        if self._check().kind is PartitionKind.SILENT:
            self._held += bytes(data)
            return len(data)
        self._flush()
        return super().send(data, flags)

    def _flush(self) -> None:
        held, self._held = self._held, b""
        if held:
            super().sendall(held)

    def _check(self) -> Partition:
        """Return the state; raises ``OSError`` if the connection has ended by it."""
        partition = self.file.read()
        if partition.kind is PartitionKind.RESET:
            raise ConnectionResetError(errno.ECONNRESET, "reset by the partition")
        is_silent = partition.kind in (PartitionKind.SILENT, PartitionKind.NO_RESPONSES)
        if is_silent and time.monotonic() - partition.since > USER_TIMEOUT_SECONDS:
            self._is_given_up = True
            raise TimeoutError(errno.ETIMEDOUT, "no acknowledgement")
        return partition


def install(path: Path) -> None:
    """Replace the function that opens connections in this process."""
    file = _PartitionFile(path)
    create_connection = socket.create_connection

    def create_partitioned(
        address: tuple[str, int], timeout: float | None = None, **options: Any
    ) -> socket.socket:
        partition = file.read()
        if f"{address[0]}:{address[1]}" not in partition.addresses:
            return create_connection(address, timeout=timeout, **options)
        if partition.is_accepting:
            pass
        elif partition.kind in (PartitionKind.RESET, PartitionKind.REFUSE):
            raise ConnectionRefusedError(errno.ECONNREFUSED, "cut by the partition")
        elif partition.kind in (PartitionKind.SILENT, PartitionKind.NO_RESPONSES):
            gevent.sleep(timeout or USER_TIMEOUT_SECONDS)
            raise TimeoutError("timed out")
        raw = create_connection(address, timeout=timeout, **options)
        if partition.kind is PartitionKind.REFUSE:
            raw.shutdown(socket.SHUT_RDWR)
        cut = _PartitionedSocket(raw.family, raw.type, raw.proto, fileno=raw.detach())
        cut.file = file
        return cut

    socket.create_connection = create_partitioned


def main() -> int:
    """Run a gateway; returns its exit code."""
    install(Path(os.environ[FILE_VARIABLE]))
    from damasklead.platform.__main__ import main as run_gateway

    return run_gateway()


if __name__ == "__main__":
    sys.exit(main())
