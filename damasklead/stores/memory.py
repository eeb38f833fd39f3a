"""
In-memory platform
==================

The platform of a single process, with injectable faults; the platform stand-in and the
tests use it too.
"""

import bisect

import msgspec
from result import Err, Ok, Result

from damasklead.ids import InstanceId, StoreEra
from damasklead.stores.base import (
    ABSENT,
    Commit,
    Committed,
    Condition,
    Conflict,
    Delete,
    InstanceList,
    InstanceRecord,
    Listing,
    ObjectStore,
    Platform,
    Row,
    StoreError,
    TableService,
)

__all__ = [
    "Faults",
    "MemoryInstanceList",
    "MemoryObjectStore",
    "MemoryTableService",
    "TableBackup",
    "make_memory_platform",
]


class Faults(msgspec.Struct, kw_only=True):
    """
    The faults that are injected into a platform.

    Attributes
    ----------
    down : bool
        Whether every call fails without effect.
    lose_answers : int
        Number of the next commits that take effect although their response is lost.
    list_frozen : bool
        Whether the instance list stays as it was at its last read before the fault.
    delay : float
        Seconds by which the stand-in process delays each response.
    """

    down: bool = False
    lose_answers: int = 0
    list_frozen: bool = False
    delay: float = 0.0


class TableBackup(msgspec.Struct, kw_only=True, frozen=True):
    """The rows of all tables at one version."""

    rows: tuple[Row, ...]
    version: int


class MemoryTableService(TableService):
    """
    Tables in memory.

    Attributes
    ----------
    read_count, commit_count : int
        Number of reads and scans, and of commits, including those that failed.
    """

    def __init__(self, *, faults: Faults) -> None:
        self.read_count = 0
        self.commit_count = 0
        self._faults = faults
        self._tables: dict[str, dict[str, Row]] = {}
        self._keys: dict[str, list[str]] = {}
        self._version = ABSENT
        self._era = StoreEra(0)

    @property
    def era(self) -> StoreEra:
        """Number of restores so far."""
        return self._era

    def make_backup(self) -> TableBackup:
        """Return a copy of all rows."""
        rows = tuple(row for rows in self._tables.values() for row in rows.values())
        return TableBackup(rows=rows, version=self._version)

    def restore_backup(self, backup: TableBackup) -> None:
        """Return to the rows and the version of a backup, and begin a new era."""
        self._tables.clear()
        self._keys.clear()
        for row in backup.rows:
            self._tables.setdefault(row.table, {})[row.key] = row
        for table, rows in self._tables.items():
            self._keys[table] = sorted(rows)
        self._version = backup.version
        self._era = StoreEra(self._era + 1)

    def read(
        self, table: str, keys: tuple[str, ...]
    ) -> Result[tuple[Row, ...], StoreError]:
        """Return the rows that exist among ``keys``."""
        self.read_count += 1
        if self._faults.down:
            return Err(StoreError.UNAVAILABLE)
        rows = self._tables.get(table, {})
        return Ok(tuple(rows[key] for key in keys if key in rows))

    def scan(
        self, table: str, *, prefix: str = "", after: str = "", limit: int = 100
    ) -> Result[tuple[Row, ...], StoreError]:
        """Return up to ``limit`` rows in key order whose key starts with ``prefix``."""
        self.read_count += 1
        if self._faults.down:
            return Err(StoreError.UNAVAILABLE)
        keys = self._keys.get(table, [])
        start = (
            bisect.bisect_right(keys, after)
            if after
            else bisect.bisect_left(keys, prefix)
        )
        rows = self._tables.get(table, {})
        found = [
            rows[key] for key in keys[start : start + limit] if key.startswith(prefix)
        ]
        return Ok(tuple(found))

    def commit(self, commit: Commit) -> Result[Committed | Conflict, StoreError]:
        """Apply a commit, unless the platform is down; its response may be lost."""
        self.commit_count += 1
        if self._faults.down:
            return Err(StoreError.UNAVAILABLE)
        outcome = self._apply(commit)
        if self._faults.lose_answers > 0:
            self._faults.lose_answers -= 1
            return Err(StoreError.UNKNOWN)
        return Ok(outcome)

    def _apply(self, commit: Commit) -> Committed | Conflict:
        if not all(self._is_met(condition) for condition in commit.conditions):
            current = (
                self._get_row(item.table, item.key) for item in commit.conditions
            )
            return Conflict(rows=tuple(row for row in current if row is not None))
        self._version += 1
        for write in commit.writes:
            rows = self._tables.setdefault(write.table, {})
            keys = self._keys.setdefault(write.table, [])
            if isinstance(write, Delete):
                if rows.pop(write.key, None) is not None:
                    keys.pop(bisect.bisect_left(keys, write.key))
                continue
            if write.key not in rows:
                bisect.insort(keys, write.key)
            rows[write.key] = Row(
                table=write.table,
                key=write.key,
                value=write.value,
                version=self._version,
            )
        return Committed(version=self._version)

    def _is_met(self, condition: Condition) -> bool:
        row = self._get_row(condition.table, condition.key)
        return condition.version == (ABSENT if row is None else row.version)

    def _get_row(self, table: str, key: str) -> Row | None:
        return self._tables.get(table, {}).get(key)


class MemoryObjectStore(ObjectStore):
    """Objects in memory."""

    def __init__(self, *, faults: Faults) -> None:
        self._faults = faults
        self._objects: dict[str, bytes] = {}

    def put(self, name: str, content: bytes) -> Result[None, StoreError]:
        """Store an object."""
        if self._faults.down:
            return Err(StoreError.UNAVAILABLE)
        self._objects[name] = content
        return Ok(None)

    def get(self, name: str) -> Result[bytes | None, StoreError]:
        """Return an object's content, or ``None`` when there is none."""
        if self._faults.down:
            return Err(StoreError.UNAVAILABLE)
        return Ok(self._objects.get(name))


class MemoryInstanceList(InstanceList):
    """An instance list in memory that can be frozen by a fault."""

    def __init__(self, *, faults: Faults) -> None:
        self._faults = faults
        self._records: dict[InstanceId, InstanceRecord] = {}
        self._listed_records: tuple[InstanceRecord, ...] = ()
        self._version = 1
        self._listed_version = 0

    def list_instances(self, *, known_version: str = "") -> Result[Listing, StoreError]:
        """Return all instances, or those of the last read if the list is frozen."""
        if self._faults.down:
            return Err(StoreError.UNAVAILABLE)
        if not self._faults.list_frozen:
            self._listed_records = tuple(self._records.values())
            self._listed_version = self._version
        version = str(self._listed_version)
        return Ok(
            Listing(
                version=version,
                records=None if version == known_version else self._listed_records,
            )
        )

    def register_instance(self, record: InstanceRecord) -> Result[None, StoreError]:
        """Add or update an instance."""
        if self._faults.down:
            return Err(StoreError.UNAVAILABLE)
        self._records[record.instance] = record
        self._version += 1
        return Ok(None)

    def deregister_instance(self, instance: InstanceId) -> Result[None, StoreError]:
        """Remove an instance."""
        if self._faults.down:
            return Err(StoreError.UNAVAILABLE)
        self._records.pop(instance, None)
        self._version += 1
        return Ok(None)


def make_memory_platform(*, faults: Faults | None = None) -> Platform:
    """Return a platform in memory whose services share one set of faults."""
    shared = faults or Faults()
    return Platform(
        tables=MemoryTableService(faults=shared),
        objects=MemoryObjectStore(faults=shared),
        instances=MemoryInstanceList(faults=shared),
    )
