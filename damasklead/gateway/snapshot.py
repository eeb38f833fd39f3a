"""
Snapshot
========

The lists that a gateway has read, as fetched by another one that starts or that lacks
what is newer.
"""

import math
import zlib
from collections.abc import Sequence

import gevent
import msgspec

from damasklead.crash_evidence import CrashEvidence
from damasklead.decoding import decode_msgpack, is_ip_address, is_token
from damasklead.gateway.calls import Header
from damasklead.gateway.configuration_differences import RoutingDifference
from damasklead.gateway.crash_reports import CrashCause
from damasklead.gateway.dialect import PeerEntry
from damasklead.gateway.directory import ListedRow
from damasklead.gateway.poll_schedule import ListReport
from damasklead.gateway.routing import RoutingContent
from damasklead.gateway.store_positions import INITIAL_POSITION, Position
from damasklead.gateway.upstream_http import Connection, ConnectionPool, SendError
from damasklead.rate_limits import RateLimit
from damasklead.rejection_limits import RejectionLimit

__all__ = [
    "COMPRESSED_ENCODING",
    "DIFFERENCES_HEADER",
    "FIELDS_HEADER",
    "HELD_CONFIGURATION_HEADER",
    "HOLDERS_HEADER",
    "INSTANCE_HEADER",
    "KNOWN_CONFIGURATION_HEADER",
    "KNOWN_REPLICAS_HEADER",
    "MAX_HOLDERS",
    "SNAPSHOT_PATH",
    "KnownState",
    "Referral",
    "Snapshot",
    "SnapshotBusyError",
    "SnapshotError",
    "fetch_snapshot",
    "parse_number",
    "parse_referral",
]

SNAPSHOT_PATH = "/snapshot"
KNOWN_CONFIGURATION_HEADER = b"known-configuration"
KNOWN_REPLICAS_HEADER = b"known-replicas"
# Whether the configuration may be sent as differences; "1" if so.
DIFFERENCES_HEADER = b"accept-differences"
# Whether differences may replace fields of items; "1" if so.
FIELDS_HEADER = b"accept-changed-fields"
# Name of the gateway that fetches.
INSTANCE_HEADER = b"gateway-instance"
# In a response that a gateway is busy: others that have fetched its configuration, and
# the configuration's version.
HOLDERS_HEADER = b"snapshot-holders"
HELD_CONFIGURATION_HEADER = b"held-configuration"
COMPRESSED_ENCODING = b"deflate"
# A gateway responds within milliseconds; one that takes longer is given up.
HEAD_TIMEOUT_SECONDS = 0.7
# A configuration with thousands of routes takes a second over a slow link.
SNAPSHOT_TIMEOUT_SECONDS = 3.0
# Limit of the body; a configuration with thousands of routes takes about 1 MB.
MAX_SNAPSHOT_BYTES = 33_554_432
BUSY_STATUS = 503
# Gateways that a busy one names.
MAX_HOLDERS = 2
# Longest number in a header.
MAX_DIGITS = 18


class KnownState(msgspec.Struct, kw_only=True, frozen=True):
    """
    What a gateway has already, so that a snapshot needn't contain it.

    Attributes
    ----------
    configuration : int
        Version of its configuration; 0 without one.
    replicas : Position or None
        Position up to which it has read the list of replicas; ``None`` to get the list,
        limits and causes of crashes in any case, since broadcasts were missed.
    accepts_differences : bool
        Whether differences to its configuration may be sent instead of a newer one.
    accepts_fields : bool
        Whether these may replace fields of items.
    """

    configuration: int = 0
    replicas: Position | None = None
    accepts_differences: bool = False
    accepts_fields: bool = False


class Referral(msgspec.Struct, kw_only=True, frozen=True):
    """
    Gateways to ask instead of a busy one.

    Attributes
    ----------
    holders : list of str
        Their names.
    configuration : int
        Version of the configuration that they have got.
    """

    holders: list[str] = []
    configuration: int = 0


class Snapshot(msgspec.Struct, kw_only=True, frozen=True):
    """
    The lists of one gateway.

    Attributes
    ----------
    routing : RoutingContent or None
        The active configuration; ``None`` if the other gateway has it, or gets
        differences.
    upstreams : list of ListedRow
        The entries of the replicas; empty if the other gateway has them.
    peers : list of PeerEntry
        The gateways that it knows, itself included.
    has_all_peers : bool
        Whether these are all gateways: it has read their directory, or has got them
        from one that has.
    cursor : Position
        Position up to which the list of replicas was read; ``INITIAL_POSITION`` if
        ``upstreams`` is left out.
    rate_limits : list of RateLimit
        The last known limits of replicas.
    causes : list of CrashCause
        Requests and prompt parts that crash replicas, and those that were exonerated.
    rejection_limits : list of RejectionLimit
        The last known rejection limits of brittle replicas.
    lists : list of ListReport
        How up to date the lists are, in the order of ``ListName``.
    differences : list of RoutingDifference
        What leads from the configuration of the other gateway to the active one.
    crashes : list of CrashEvidence
        The latest crashes with their suspects.
    """

    routing: RoutingContent | None
    upstreams: list[ListedRow]
    peers: list[PeerEntry]
    cursor: Position = INITIAL_POSITION
    rate_limits: list[RateLimit] = []
    causes: list[CrashCause] = []
    has_all_peers: bool = True
    rejection_limits: list[RejectionLimit] = []
    lists: list[ListReport] = []
    differences: list[RoutingDifference] = []
    crashes: list[CrashEvidence] = []

    @property
    def configuration(self) -> int:
        """Version of the configuration that it holds; 0 without one."""
        if self.routing is not None:
            return self.routing.version
        return self.differences[-1].version if self.differences else 0


_DECODER = msgspec.msgpack.Decoder(Snapshot)


class SnapshotError(Exception):
    """Fetching a snapshot failed; the text gives the reason."""


class SnapshotBusyError(SnapshotError):
    """
    The other gateway sends no snapshot at present.

    Attributes
    ----------
    referral : Referral
        Gateways to ask instead; without any if the other gateway knows none.
    """

    def __init__(self, message: str, *, referral: Referral | None = None) -> None:
        super().__init__(message)
        self.referral = referral or Referral()


def fetch_snapshot(
    address: str,
    connections: ConnectionPool,
    *,
    known: KnownState | None = None,
    instance: str = "",
) -> tuple[Snapshot, int]:
    """
    Fetch the snapshot of another gateway.

    Parameters
    ----------
    address : str
        Address of the other gateway's operators' listener.
    connections : ConnectionPool
    known : KnownState or None
        What the snapshot needn't contain; ``None`` for all there is.
    instance : str
        Name of this gateway, to which the other one may refer more; empty if unknown.

    Returns
    -------
    Snapshot
    int
        Length of the response body in bytes.

    Raises
    ------
    SnapshotBusyError
        If the gateway has no configuration, or too many fetch snapshots from it.
    SnapshotError
        If it doesn't begin to respond in ``HEAD_TIMEOUT_SECONDS``, or sends no valid
        snapshot in ``SNAPSHOT_TIMEOUT_SECONDS``.
    """
    if not is_ip_address(address):
        raise SnapshotError(f"invalid address {address!r}")
    timeout_error = SnapshotError(f"no snapshot in {SNAPSHOT_TIMEOUT_SECONDS} s")
    head_error = SnapshotError(f"no response in {HEAD_TIMEOUT_SECONDS} s")
    try:
        with gevent.Timeout(SNAPSHOT_TIMEOUT_SECONDS, timeout_error):
            with gevent.Timeout(HEAD_TIMEOUT_SECONDS, head_error):
                connection = _connect(address, connections)
            try:
                with gevent.Timeout(HEAD_TIMEOUT_SECONDS, head_error):
                    connection.send_request(
                        method="GET",
                        target=SNAPSHOT_PATH,
                        headers=_build_headers(address, known, instance),
                        body=b"",
                    )
                    head = connection.read_head()
                body = connection.read_body(limit=MAX_SNAPSHOT_BYTES)
            finally:
                connection.close()
    except SendError as error:
        raise SnapshotError(str(error)) from error
    if head.status_code == BUSY_STATUS:
        raise SnapshotBusyError(
            f"status {head.status_code}", referral=parse_referral(list(head.headers))
        )
    if head.status_code != 200:
        raise SnapshotError(f"status {head.status_code}")
    is_compressed = (b"content-encoding", COMPRESSED_ENCODING) in list(head.headers)
    return _decode(body, is_compressed=is_compressed), len(body)


def _connect(address: str, connections: ConnectionPool) -> Connection:
    """Open a connection; addresses are announced by anybody and may be malformed."""
    try:
        return connections.acquire(address)
    except (ValueError, OverflowError) as error:
        raise SnapshotError(f"invalid address: {error}") from error


def parse_referral(headers: Sequence[Header]) -> Referral:
    """Return the gateways that the headers of a busy one name."""
    fields = {name.lower(): value for name, value in headers}
    version = parse_number(fields.get(HELD_CONFIGURATION_HEADER, b""))
    names = fields.get(HOLDERS_HEADER, b"").decode("latin-1").split(" ")
    holders = [name for name in names if is_token(name)][:MAX_HOLDERS]
    if version is None:
        return Referral()
    return Referral(holders=holders, configuration=version)


def parse_number(text: bytes) -> int | None:
    """Return the number in a header; ``None`` if it isn't one or is very long."""
    return int(text) if text.isdigit() and len(text) <= MAX_DIGITS else None


def _build_headers(
    address: str, known: KnownState | None, instance: str = ""
) -> list[Header]:
    headers = [
        (b"Host", address.encode()),
        (b"Accept-Encoding", COMPRESSED_ENCODING),
    ]
    if instance:
        headers.append((INSTANCE_HEADER, instance.encode()))
    if known is not None:
        headers.append((KNOWN_CONFIGURATION_HEADER, b"%d" % known.configuration))
        if known.replicas is not None:
            position = f"{known.replicas.era}.{known.replicas.version}"
            headers.append((KNOWN_REPLICAS_HEADER, position.encode()))
        if known.accepts_differences:
            headers.append((DIFFERENCES_HEADER, b"1"))
        if known.accepts_fields:
            headers.append((FIELDS_HEADER, b"1"))
    return headers


def _is_valid_row(row: ListedRow) -> bool:
    record = row.record
    return is_token(row.instance) and (
        record is None
        or (
            record.instance == row.instance
            and is_ip_address(record.address)
            and math.isfinite(record.warm_up)
        )
    )


def _decode(body: bytes, *, is_compressed: bool) -> Snapshot:
    try:
        if is_compressed:
            decompressor = zlib.decompressobj()
            body = decompressor.decompress(body, MAX_SNAPSHOT_BYTES)
            if not decompressor.eof:
                raise SnapshotError("invalid snapshot: too long or truncated")
        snapshot: Snapshot = decode_msgpack(body, decoder=_DECODER)
    except (msgspec.DecodeError, zlib.error) as error:
        raise SnapshotError(f"invalid snapshot: {error}") from error
    if not all(map(_is_valid_row, snapshot.upstreams)):
        raise SnapshotError("invalid snapshot: unusable entry of a replica")
    if not all(
        is_token(entry.instance) and is_ip_address(entry.address)
        for entry in snapshot.peers
    ):
        raise SnapshotError("invalid snapshot: unusable entry of a gateway")
    return snapshot
