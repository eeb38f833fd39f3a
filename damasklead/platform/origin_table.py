"""
Origin table
============

Origins of streams in a table of the store, one row for each.
"""

import base64
import binascii
import random
from collections.abc import Iterable, Sequence
from urllib.parse import urlencode

import msgspec

from damasklead.decoding import decode_msgpack
from damasklead.gateway.dialect import OriginStore
from damasklead.gateway.stream_origins.origins import StreamOrigin
from damasklead.ids import AttemptId
from damasklead.platform.rows import CALL_TIMEOUT_SECONDS, Row, StoreCall, commit
from damasklead.turns import TurnBudget
from damasklead.util import stable_hash

__all__ = ["OriginTable"]

ORIGIN_TABLE = "damasklead-streams"
_DECODER = msgspec.msgpack.Decoder(StreamOrigin)
# Rows of one sample.
SAMPLE_ROWS = 200


class OriginTable(OriginStore):
    """
    Origins of streams in a table of the store.

    Parameters
    ----------
    call : callable
        Makes a call of the store.
    """

    def __init__(self, *, call: StoreCall) -> None:
        self._call = call

    def write(
        self, origins: Sequence[StreamOrigin], removed: Sequence[AttemptId]
    ) -> None:
        """Write origins and remove those of other attempts, at most 100 together."""
        written = {origin.attempt for origin in origins}
        change: dict[str, object] = {
            "write": [
                _make_row_key(origin.attempt) | {"data": _encode(origin)}
                for origin in origins
            ],
            "remove": [
                _make_row_key(attempt) for attempt in removed if attempt not in written
            ],
        }
        commit(self._call, change)

    def read(self, attempt: AttemptId) -> StreamOrigin | None:
        """Return the origin of an attempt's stream, ``None`` if there is none."""
        key = _make_key(attempt)
        rows = self._read_rows(range_start=key, to=key + "\0", limit=1)
        origins = _decode_rows(rows)
        return next((item for item in origins if item.attempt == attempt), None)

    def sample(self) -> list[StreamOrigin]:
        """Return some of the origins, others with each call."""
        start = f"{random.getrandbits(64):016x}"
        return list(_decode_rows(self._read_rows(range_start=start, limit=SAMPLE_ROWS)))

    def _read_rows(self, **query: object) -> list[Row]:
        target = urlencode({"table": ORIGIN_TABLE, "part": "", **query})
        return self._call(
            "GET", f"/-/rows-get?{target}", None, CALL_TIMEOUT_SECONDS
        ).rows


def _make_key(attempt: AttemptId) -> str:
    return f"{stable_hash(attempt):016x}"


def _make_row_key(attempt: AttemptId) -> dict[str, object]:
    return {"table": ORIGIN_TABLE, "part": "", "key": _make_key(attempt)}


def _encode(origin: StreamOrigin) -> str:
    return base64.b64encode(msgspec.msgpack.encode(origin)).decode()


def _decode_rows(rows: Iterable[Row]) -> Iterable[StreamOrigin]:
    turn = TurnBudget()
    for row in rows:
        turn.spend(size=len(row.data))
        try:
            data = base64.b64decode(row.data)
            yield decode_msgpack(data, decoder=_DECODER)
        except (msgspec.DecodeError, binascii.Error):
            continue  # written by an incompatible version of the gateway
