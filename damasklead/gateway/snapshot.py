"""
Snapshot
========

What a gateway knows, for another one that starts while the platform's store is away.
"""

import gevent
import msgspec

from damasklead.gateway.dialect import PeerEntry
from damasklead.gateway.directory import ListedRow
from damasklead.gateway.positions import INITIAL_POSITION, Position
from damasklead.gateway.routing import RoutingContent
from damasklead.gateway.upstream_http import ConnectionPool, SendError

__all__ = ["SNAPSHOT_PATH", "Snapshot", "SnapshotError", "fetch_snapshot"]

SNAPSHOT_PATH = "/snapshot"
# A gateway answers within milliseconds; one that doesn't is passed over.
SNAPSHOT_TIMEOUT_SECONDS = 0.7
# A configuration with thousands of routes takes about 1 MB.
MAX_SNAPSHOT_BYTES = 33_554_432


class Snapshot(msgspec.Struct, kw_only=True, frozen=True):
    """The configuration in force, the replicas' entries, and the gateways known."""

    routing: RoutingContent
    upstreams: list[ListedRow]
    peers: list[PeerEntry]
    # Up to where the list of replicas was read.
    cursor: Position = INITIAL_POSITION


class SnapshotError(Exception):
    """A gateway that gave no snapshot; the text says why."""


def fetch_snapshot(address: str, connections: ConnectionPool) -> Snapshot:
    """
    Ask a gateway for what it knows.

    Parameters
    ----------
    address : str
        The operators' address of the other gateway.

    Raises
    ------
    SnapshotError
        When it gives none in time.
    """
    timeout_error = SnapshotError(f"no answer in {SNAPSHOT_TIMEOUT_SECONDS} s")
    try:
        with gevent.Timeout(SNAPSHOT_TIMEOUT_SECONDS, timeout_error):
            connection = connections.acquire(address)
            try:
                connection.send_request(
                    method="GET",
                    target=SNAPSHOT_PATH,
                    headers=[(b"Host", address.encode())],
                    body=b"",
                )
                status = connection.read_head().status_code
                body = connection.read_body(limit=MAX_SNAPSHOT_BYTES)
            finally:
                connection.close()
    except SendError as error:
        raise SnapshotError(str(error)) from error
    if status != 200:
        raise SnapshotError(f"status {status}")
    try:
        return msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.DecodeError as error:
        raise SnapshotError(f"unreadable: {error}") from error
