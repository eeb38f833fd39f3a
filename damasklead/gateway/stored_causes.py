"""
Stored causes of crashes
========================

Keeps the known causes of crashes in a row of the platform's store, for the case that
all gateways are lost at once: they would refuse nothing until each cause has crashed
some more replicas.

Each gateway reads the row once when it starts, or after the store was restored.  The
first gateways by rank write it when the causes change; one that is cut off from the
store is made up for by the next.  Otherwise gateways tell each other.

Load pattern: hundreds of gateways that start at once; causes that change a few times a
day; a store that is slow, away or restored from a backup.
"""

import random
from collections.abc import Callable

import gevent
import msgspec
from result import Err

from damasklead.clock import Clock
from damasklead.gateway.crash_containment import Containment
from damasklead.gateway.crash_reports import CrashCause
from damasklead.gateway.journal import Journal
from damasklead.ids import Fingerprint, StoreEra
from damasklead.stores.base import (
    ABSENT,
    Commit,
    Condition,
    Conflict,
    Put,
    Row,
    TableService,
)

__all__ = ["StoredCauses"]

CAUSE_TABLE = "damasklead-crashes"
CAUSE_KEY = "causes"
UPDATE_INTERVAL_SECONDS = 0.5
# Gateways that start at once read the row within this time.
MAX_READ_DELAY_SECONDS = 0.5
# Pause after a call that failed; it doubles up to the maximum.
MIN_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 8.0
# Gateways, by rank, that write the row, and how much later each of them does.
MAX_WRITERS = 4
WRITER_DELAY_SECONDS = 2.0
# Clocks of gateways may differ by some seconds: causes count as older by this time, so
# that a later success of the same request is not overlooked.
CLOCK_TOLERANCE_SECONDS = 10.0


class _CauseList(msgspec.Struct, array_like=True, frozen=True):
    """
    The content of the row.

    Attributes
    ----------
    written_ms : int
        Milliseconds of Unix time; the times in the causes are relative to it.
    """

    written_ms: int
    causes: list[CrashCause]


class StoredCauses:
    """
    Reads and writes the causes of crashes in the platform's store.

    Parameters
    ----------
    containment : Containment
    tables : callable
        Returns the active tables of the platform's store.
    get_rank : callable
        Returns the number of gateways that write the row before this one.
    clock : Clock
    get_unix_time : callable
        Returns the wall-clock time in seconds.
    journal : Journal
    """

    def __init__(
        self,
        *,
        containment: Containment,
        tables: Callable[[], TableService],
        get_rank: Callable[[], int],
        clock: Clock,
        get_unix_time: Callable[[], float],
        journal: Journal,
    ) -> None:
        self._containment = containment
        self._tables = tables
        self._get_rank = get_rank
        self._clock = clock
        self._get_unix_time = get_unix_time
        self._journal = journal
        self._era = StoreEra(0)
        # The causes in the row, as far as known, and its version.
        self._stored: frozenset[Fingerprint] | None = None
        self._version = ABSENT
        self._differs_since: float | None = None
        self._retry_at = clock.now()
        self._retry_seconds = MIN_RETRY_SECONDS

    @property
    def has_read(self) -> bool:
        """Whether the row of the present store was read."""
        return self._stored is not None

    def run(self) -> None:
        """Read the row, and write it when the causes have changed, forever."""
        gevent.sleep(random.uniform(0.0, MAX_READ_DELAY_SECONDS))
        while True:
            self.update()
            gevent.sleep(UPDATE_INTERVAL_SECONDS)

    def update(self) -> None:
        """Read or write the row if that is due."""
        now = self._clock.now()
        if now < self._retry_at:
            return
        tables = self._tables()
        if self._stored is None or tables.era != self._era:
            self._record_call(is_done=self._read(tables), call="read")
        elif self._is_write_due(now):
            self._record_call(is_done=self._write(tables), call="write")

    def _is_write_due(self, now: float) -> bool:
        if self._stored == self._containment.refused_fingerprints:
            self._differs_since = None
            return False
        rank = self._get_rank()
        if rank >= MAX_WRITERS:
            return False
        if self._differs_since is None:
            self._differs_since = now
        return now - self._differs_since >= rank * WRITER_DELAY_SECONDS

    def _read(self, tables: TableService) -> bool:
        """Read the row and adopt its causes; return whether it was read."""
        result = tables.read(CAUSE_TABLE, (CAUSE_KEY,))
        if isinstance(result, Err):
            return False
        self._era = tables.era
        self._apply_row(next(iter(result.ok_value), None))
        return True

    def _write(self, tables: TableService) -> bool:
        """Write the present causes; return whether the store confirmed it."""
        refused = self._containment.refused_fingerprints
        content = _CauseList(
            int(self._get_unix_time() * 1000), self._containment.refused_causes
        )
        condition = Condition(table=CAUSE_TABLE, key=CAUSE_KEY, version=self._version)
        row = Put(
            table=CAUSE_TABLE, key=CAUSE_KEY, value=msgspec.msgpack.encode(content)
        )
        result = tables.commit(Commit(conditions=(condition,), writes=(row,)))
        if isinstance(result, Err):
            return False
        if isinstance(result.ok_value, Conflict):
            # Another gateway has written it meanwhile, the same causes or others, which
            # the next update merges.
            self._apply_row(next(iter(result.ok_value.rows), None))
            return True
        self._stored, self._version = refused, result.ok_value.version
        self._journal.event("crash-causes-stored", count=len(refused))
        return True

    def _apply_row(self, row: Row | None) -> None:
        self._version = ABSENT if row is None else row.version
        causes = [] if row is None else self._decode(row)
        self._stored = frozenset(cause.fingerprint for cause in causes)
        self._containment.adopt_causes(causes)

    def _decode(self, row: Row) -> list[CrashCause]:
        """Return the causes in a row that still count, as of now."""
        try:
            content = msgspec.msgpack.decode(row.value, type=_CauseList)
        except msgspec.DecodeError as error:
            # Written by an incompatible version of the gateway; replaced when due.
            self._journal.event("crash-causes-unreadable", cause=str(error))
            return []
        elapsed = max(self._get_unix_time() - content.written_ms / 1000, 0.0)
        return [
            msgspec.structs.replace(
                cause,
                seconds_left=cause.seconds_left - elapsed,
                age_seconds=None
                if cause.age_seconds is None
                else cause.age_seconds + elapsed + CLOCK_TOLERANCE_SECONDS,
            )
            for cause in content.causes
            if cause.seconds_left > elapsed and not cause.is_exonerated
        ]

    def _record_call(self, *, is_done: bool, call: str) -> None:
        """Schedule the next call after one that succeeded or failed."""
        if is_done:
            self._retry_seconds = MIN_RETRY_SECONDS
            return
        self._journal.event("crash-causes-unavailable", call=call)
        self._retry_at = self._clock.now() + self._retry_seconds
        self._retry_seconds = min(2 * self._retry_seconds, MAX_RETRY_SECONDS)
