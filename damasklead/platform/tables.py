"""
Tables
======

Rows of the gateways' own tables in the platform's store, with conditional changes.
"""

import base64
import binascii
from collections.abc import Callable
from urllib.parse import urlencode

from result import Err, Ok, Result

from damasklead.gateway.dialect import FeedError
from damasklead.ids import StoreEra
from damasklead.platform import rows as store_rows
from damasklead.platform.rows import PreconditionError, StoreCall
from damasklead.stores.base import (
    Commit,
    Committed,
    Conflict,
    Put,
    Row,
    StoreError,
    TableService,
)

__all__ = ["StoreTables"]

# A holder renews its lease every second and stops 2.5 s after its last renewal, so that
# there is time to read the row back after a lost response.
TIMEOUT_SECONDS = 0.8


class StoreTables(TableService):
    """
    Tables in the platform's store.

    Parameters
    ----------
    call : callable
        Makes a call of the store.
    era : callable
        Returns the era of the store's latest response.
    """

    def __init__(self, *, call: StoreCall, era: Callable[[], StoreEra]) -> None:
        self._call = call
        self._era = era

    @property
    def era(self) -> StoreEra:
        """Number of the store's restores, as of its latest response."""
        return self._era()

    def read(
        self, table: str, keys: tuple[str, ...]
    ) -> Result[tuple[Row, ...], StoreError]:
        """Return the rows that exist among ``keys``, by one call for each of them."""
        rows: list[Row] = []
        for key in keys:
            result = self._read_range(table, range_start=key, to=key + "\0", limit=1)
            if isinstance(result, Err):
                return result
            rows += [row for row in result.ok_value if row.key == key]
        return Ok(tuple(rows))

    def scan(
        self, table: str, *, prefix: str = "", after: str = "", limit: int = 100
    ) -> Result[tuple[Row, ...], StoreError]:
        """Return up to ``limit`` rows in key order whose key starts with ``prefix``."""
        start = max(prefix, after + "\0" if after else "")
        result = self._read_range(table, range_start=start, limit=limit)
        if isinstance(result, Err):
            return result
        return Ok(tuple(row for row in result.ok_value if row.key.startswith(prefix)))

    def commit(self, commit: Commit) -> Result[Committed | Conflict, StoreError]:
        """Apply a commit; after ``Err(UNKNOWN)`` it may have taken effect."""
        tables = {(item.key): item.table for item in commit.conditions}
        change: dict[str, object] = {
            "precondition": [
                _make_key(item.table, item.key) | {"schema_version": item.version}
                for item in commit.conditions
            ],
            "write": [
                _make_key(item.table, item.key)
                | {"data": base64.b64encode(item.value).decode()}
                for item in commit.writes
                if isinstance(item, Put)
            ],
            "remove": [
                _make_key(item.table, item.key)
                for item in commit.writes
                if not isinstance(item, Put)
            ],
        }
        try:
            page = self._call("POST", "/-/rows-tx", change, TIMEOUT_SECONDS)
        except PreconditionError as error:
            try:
                return Ok(
                    Conflict(
                        rows=tuple(
                            _decode_row(tables[row.key], row)
                            for row in error.page.rows
                            if row.key in tables and not row.deleted
                        )
                    )
                )
            except binascii.Error:
                return Err(StoreError.UNAVAILABLE)
        except FeedError:
            return Err(StoreError.UNKNOWN)
        return Ok(Committed(version=page.schema_version))

    def _read_range(
        self, table: str, **query: object
    ) -> Result[tuple[Row, ...], StoreError]:
        target = urlencode({"table": table, "part": "", **query})
        try:
            page = self._call("GET", f"/-/rows-get?{target}", None, TIMEOUT_SECONDS)
            return Ok(tuple(_decode_row(table, row) for row in page.rows))
        except (FeedError, binascii.Error):
            return Err(StoreError.UNAVAILABLE)


def _make_key(table: str, key: str) -> dict[str, object]:
    return {"table": table, "part": "", "key": key}


def _decode_row(table: str, row: store_rows.Row) -> Row:
    return Row(
        table=table,
        key=row.key,
        value=base64.b64decode(row.data),
        version=row.schema_version,
    )
