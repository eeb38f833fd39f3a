"""
Store
=====

The users' platform store: its calls about rows over HTTP, and the two lists that the
gateway follows there.
"""

import base64
import binascii
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar
from urllib.parse import urlencode

import gevent
import msgspec

from damasklead.clock import Clock
from damasklead.gateway.calls import Header
from damasklead.gateway.dialect import (
    Changes,
    Feed,
    FeedError,
    FeedFault,
    PeerDirectory,
    PeerEntry,
    PlatformLink,
    join_headers,
)
from damasklead.gateway.directory import ListedRow
from damasklead.gateway.positions import INITIAL_POSITION, Position
from damasklead.gateway.routing import RoutingTable
from damasklead.gateway.upstream_http import Connection, ConnectionPool, SendError
from damasklead.ids import DataCentre, InstanceId, StoreEra
from damasklead.platform.documents import decode_configuration, decode_upstream

__all__ = ["StoreLink"]

T = TypeVar("T")

# A call takes 4 to 8 ms; far slower ones still count as an answer.
CALL_SECONDS = 1.0
# What a waiting call may take beyond its wait.
WAIT_MARGIN_SECONDS = 0.7
ANSWER_BYTES = 16_777_216
# The store's own longest page.
PAGE_ROWS = 500
MAX_PAGES = 40
PEER_TABLE = "damasklead-gateways"
HISTORY_LOST_STATUS = 410
ERA_HEADER = b"store-era"
# What fits 64 bits between gateways.
MAX_ERA_DIGITS = 18
# A store that names no era and whose versions stay lower for so long has come back from
# an older copy; one that is only behind itself catches up sooner.
MAX_STALE_SECONDS = 3.0
# The server keeps idle connections longer than the time between two calls.
KEEP_ALIVE_SECONDS = 10.0


class _Row(msgspec.Struct):
    key: str
    # The store's counter of transactions, despite its name: the row's version.
    schema_version: int
    data: str = ""
    deleted: bool = False


class _Rows(msgspec.Struct):
    # The newest version in the whole store.
    schema_version: int
    rows: list[_Row] = []
    has_more: bool = False
    # Not in the body: a header of all answers.
    era: StoreEra = StoreEra(0)

    @property
    def position(self) -> Position:
        return Position(self.era, self.schema_version)


class _Peer(msgspec.Struct):
    address: str
    incarnation: int
    data_centre: str = ""
    cores: float = 1.0
    operators: str = ""


# Method, path with query, content and the longest time of a call.
_Call = Callable[[str, str, dict[str, object] | None, float], _Rows]


class _TableFeed(Feed[T], Generic[T]):
    """
    One table, read and followed.

    Parameters
    ----------
    call : callable
        Makes a call of the store.
    table : str
    decode : callable
        Turns rows of an era into items.
    clock : Clock
    """

    def __init__(
        self,
        *,
        call: _Call,
        table: str,
        decode: Callable[[list[_Row], StoreEra], list[T]],
        clock: Clock,
    ) -> None:
        self._call = call
        self._table = table
        self._decode = decode
        self._clock = clock
        self._newest = INITIAL_POSITION
        self._stale_since: float | None = None

    def read(self) -> Changes[T]:
        """Read the whole table, page by page."""
        rows: list[_Row] = []
        cursor: Position | None = None
        start = ""
        for _ in range(MAX_PAGES):
            query: dict[str, object] = {"table": self._table, "part": ""}
            if start:
                query["range_start"] = start
            query["limit"] = PAGE_ROWS
            target = f"/-/rows-get?{urlencode(query)}"
            page = self._call("GET", target, None, CALL_SECONDS)
            self._check_age(page)
            cursor = page.position if cursor is None else cursor
            _check_era(page, cursor)
            rows.extend(page.rows)
            if not page.has_more or not page.rows:
                break
            start = page.rows[-1].key + "\0"
        cursor = cursor or INITIAL_POSITION
        items = self._decode(rows, cursor.era)
        return Changes(items=items, whole=True, cursor=cursor)

    def poll_changes(self, cursor: Position, *, wait: float) -> Changes[T]:
        """Return the changes since a cursor, waiting some seconds for the first."""
        query: dict[str, object] = {
            "table": self._table,
            "since_revision": cursor.version,
            "wait_ms": int(wait * 1000),
        }
        target = f"/-/rows-feed?{urlencode(query)}"
        page = self._call("GET", target, None, wait + WAIT_MARGIN_SECONDS)
        self._check_age(page)
        _check_era(page, cursor)
        return Changes(
            items=self._decode(page.rows, page.era),
            whole=False,
            cursor=max(cursor, page.position),
        )

    def _check_age(self, page: _Rows) -> None:
        """Refuse an answer that is older than an earlier one."""
        position, newest = page.position, self._newest
        if position >= newest:
            self._newest = position
            self._stale_since = None
            return
        now = self._clock.now()
        if self._stale_since is None:
            self._stale_since = now
        if position.era or now - self._stale_since < MAX_STALE_SECONDS:
            raise FeedError(FeedFault.STALE, f"{position} after {newest}")
        self._newest = position
        self._stale_since = None
        raise FeedError(FeedFault.RESTORED, f"{position} for long after {newest}")


class _PeerTable(PeerDirectory):
    """
    The gateways' entries as rows of a table of our own.

    Parameters
    ----------
    call : callable
        Makes a call of the store.
    era : callable
        Returns the store's era, as far as it is known.
    """

    def __init__(self, *, call: _Call, era: Callable[[], StoreEra]) -> None:
        self._call = call
        self._era = era

    def announce(self, entry: PeerEntry) -> None:
        """Write or replace this gateway's entry."""
        content = msgspec.json.encode(
            _Peer(
                entry.address,
                entry.incarnation,
                entry.data_centre,
                entry.cores,
                entry.operators,
            )
        )
        data = base64.b64encode(content).decode()
        self._change({"write": [_peer_row(entry) | {"data": data}]})

    def withdraw(self, entry: PeerEntry) -> None:
        """Remove an entry, unless it has changed since it was read."""
        change: dict[str, object] = {"remove": [_peer_row(entry)]}
        if entry.position != INITIAL_POSITION:
            if entry.position.era != self._era():
                raise FeedError(FeedFault.RESTORED, f"{entry.instance} was read before")
            version = {"schema_version": entry.position.version}
            change["precondition"] = [_peer_row(entry) | version]
        self._change(change)

    def read(self) -> list[PeerEntry]:
        """Return all entries."""
        query = {"table": PEER_TABLE, "part": "", "limit": PAGE_ROWS}
        page = self._call("GET", f"/-/rows-get?{urlencode(query)}", None, CALL_SECONDS)
        entries: list[PeerEntry] = []
        for row in page.rows:
            try:
                content = msgspec.json.decode(base64.b64decode(row.data), type=_Peer)
            except (msgspec.DecodeError, binascii.Error):
                continue  # not written by a gateway of this version
            entries.append(
                PeerEntry(
                    instance=InstanceId(row.key),
                    address=content.address,
                    incarnation=content.incarnation,
                    data_centre=DataCentre(content.data_centre),
                    cores=content.cores,
                    operators=content.operators,
                    position=Position(page.era, row.schema_version),
                )
            )
        return entries

    def _change(self, change: dict[str, object]) -> None:
        empty: dict[str, object] = {"precondition": [], "write": [], "remove": []}
        self._call("POST", "/-/rows-tx", empty | change, CALL_SECONDS)


def _peer_row(entry: PeerEntry) -> dict[str, object]:
    return {"table": PEER_TABLE, "part": "", "key": entry.instance}


class StoreLink(PlatformLink):
    """
    The store at one address.

    Parameters
    ----------
    address : str
        ``ip:port``.
    clock : Clock
    """

    def __init__(self, *, address: str, clock: Clock) -> None:
        self._address = address
        self._connections = ConnectionPool(clock=clock)
        self._era = StoreEra(0)
        self._routing = _TableFeed(
            call=self._call, table="op", decode=_decode_configurations, clock=clock
        )
        self._peers = _PeerTable(call=self._call, era=lambda: self._era)
        self._upstreams = _TableFeed(
            call=self._call, table="servers", decode=_decode_upstreams, clock=clock
        )

    @property
    def routing(self) -> Feed[RoutingTable]:
        """The configuration's versions."""
        return self._routing

    @property
    def upstreams(self) -> Feed[ListedRow]:
        """The replicas."""
        return self._upstreams

    @property
    def peers(self) -> PeerDirectory:
        """The gateways."""
        return self._peers

    def close(self) -> None:
        """Close the connections."""
        self._connections.close()

    def _call(
        self,
        method: str,
        target: str,
        content: dict[str, object] | None,
        seconds: float,
    ) -> _Rows:
        """Make one call; raises ``FeedError``."""
        late = FeedError(FeedFault.UNREACHABLE, f"no answer in {seconds} s")
        connection: Connection | None = None
        headers = [(b"Host", self._address.encode())]
        body = b""
        if content is not None:
            headers.append((b"Content-Type", b"application/json"))
            body = msgspec.json.encode(content)
        try:
            with gevent.Timeout(seconds, late):
                connection = self._connections.acquire(self._address)
                connection.send_request(
                    method=method,
                    target=target,
                    headers=headers,
                    body=body,
                )
                head = connection.read_head()
                answer = connection.read_body(limit=ANSWER_BYTES)
        except (SendError, FeedError) as error:
            if connection is not None:
                connection.close()
            if isinstance(error, FeedError):
                raise
            raise FeedError(FeedFault.UNREACHABLE, str(error)) from error
        self._connections.release(connection, keep_alive=KEEP_ALIVE_SECONDS)
        self._take_era(_decode_era(head.headers))
        page = _decode_answer(head.status_code, answer)
        page.era = self._era
        return page

    def _take_era(self, era: StoreEra | None) -> None:
        """Take in the era of an answer; raises ``FeedError`` for an older one's."""
        if era is None:
            return
        if era < self._era:
            raise FeedError(FeedFault.STALE, f"era {era} after {self._era}")
        self._era = era


def _decode_era(headers: Iterable[Header]) -> StoreEra | None:
    """Return the era that an answer names, if any."""
    value = join_headers(headers).get(ERA_HEADER)
    if value is None:
        return None
    if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
        raise FeedError(FeedFault.UNREADABLE, f"era {value!r}")
    return StoreEra(int(value))


def _check_era(page: _Rows, cursor: Position) -> None:
    """Refuse an answer from another era than the reading began in."""
    if page.era != cursor.era:
        raise FeedError(FeedFault.RESTORED, f"era {page.era} after {cursor.era}")


def _decode_answer(status: int, body: bytes) -> _Rows:
    if status == HISTORY_LOST_STATUS:
        raise FeedError(FeedFault.HISTORY_LOST, "the store keeps no such history")
    if status != 200:
        raise FeedError(FeedFault.REFUSED, f"status {status}")
    try:
        return msgspec.json.decode(body, type=_Rows)
    except msgspec.DecodeError as error:
        raise FeedError(FeedFault.UNREADABLE, str(error)) from error


def _decode_configurations(rows: list[_Row], _era: StoreEra) -> list[RoutingTable]:
    try:
        return [
            decode_configuration(base64.b64decode(row.data))
            for row in rows
            if row.key == "config" and not row.deleted
        ]
    except (msgspec.DecodeError, binascii.Error) as error:
        raise FeedError(FeedFault.UNREADABLE, f"configuration: {error}") from error


def _decode_upstreams(rows: list[_Row], era: StoreEra) -> list[ListedRow]:
    listed: list[ListedRow] = []
    for row in rows:
        record = None
        if not row.deleted:
            try:
                record = decode_upstream(row.key, base64.b64decode(row.data))
            except binascii.Error:
                record = None  # names no replica, like any entry that can't be read
        listed.append(
            ListedRow(
                instance=InstanceId(row.key),
                position=Position(era, row.schema_version),
                record=record,
            )
        )
    return listed
