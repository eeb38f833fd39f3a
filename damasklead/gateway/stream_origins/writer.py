"""
Writer of stream origins
========================

Writes the origins of streams to the platform's store, a batch at a time, and removes
them when their streams can't be taken up any more.
"""

from collections import deque
from collections.abc import Callable

import gevent
from gevent.event import Event

from damasklead.clock import Clock
from damasklead.gateway.dialect import FeedError, OriginStore
from damasklead.gateway.journal import Journal
from damasklead.gateway.stream_origins.origins import ORIGIN_TTL_SECONDS, StreamOrigin
from damasklead.ids import AttemptId

__all__ = ["OriginWriter"]

# Origins are collected for this long before they are written.
WRITE_DELAY_SECONDS = 0.2
# Pause after a failed write.
WRITE_RETRY_SECONDS = 1.0
# Entries of one transaction, of which the store allows 100.
MAX_BATCH_WRITES = 60
MAX_BATCH_REMOVALS = 40
# Origins that wait to be written while the store is away; the oldest are dropped first.
MAX_PENDING_ORIGINS = 2_000
# Written origins whose removal is remembered.
MAX_REMEMBERED_REMOVALS = 20_000
# Interval at which the origins that lost gateways have left in the store are removed,
# and their age.
SWEEP_INTERVAL_SECONDS = 60.0
ABANDONED_SECONDS = 5 * ORIGIN_TTL_SECONDS


class OriginWriter:
    """
    Writes and removes the origins that this gateway keeps in the platform's store.

    Parameters
    ----------
    store : callable
        Returns the active store.
    is_sweeper : callable
        Returns whether this gateway removes what lost gateways have left.
    clock : Clock
    get_unix_time : callable
        Returns the wall-clock time in seconds.
    journal : Journal
    """

    def __init__(
        self,
        *,
        store: Callable[[], OriginStore],
        is_sweeper: Callable[[], bool],
        clock: Clock,
        get_unix_time: Callable[[], float],
        journal: Journal,
    ) -> None:
        self._store = store
        self._is_sweeper = is_sweeper
        self._clock = clock
        self._get_unix_time = get_unix_time
        self._journal = journal
        self._pending: dict[AttemptId, StreamOrigin] = {}
        self._written: deque[tuple[float, AttemptId]] = deque()
        self._has_pending = Event()
        self._swept_at = clock.now()

    @property
    def pending_count(self) -> int:
        """Number of origins that are not written yet."""
        return len(self._pending)

    def add(self, origin: StreamOrigin) -> None:
        """Schedule an origin to be written."""
        self._pending[origin.attempt] = origin
        while len(self._pending) > MAX_PENDING_ORIGINS:
            del self._pending[next(iter(self._pending))]
        self._has_pending.set()

    def run(self) -> None:
        """Write scheduled origins and remove old ones, forever."""
        while True:
            self._has_pending.wait(timeout=SWEEP_INTERVAL_SECONDS)
            gevent.sleep(WRITE_DELAY_SECONDS)
            try:
                self.write_batch()
                self.sweep_when_due()
            except FeedError as error:
                self._journal.event(
                    "origins-not-written",
                    pending=len(self._pending),
                    cause=str(error),
                )
                gevent.sleep(WRITE_RETRY_SECONDS)

    def write_batch(self) -> None:
        """
        Write a batch of scheduled origins, and remove as many old ones.

        Raises
        ------
        FeedError
            If the store did not confirm the batch; its origins stay scheduled.
        """
        batch = list(self._pending.values())[:MAX_BATCH_WRITES]
        removable = self._list_removable()
        if batch or removable:
            self._store().write(batch, removable)
        now = self._clock.now()
        for origin in batch:
            if self._pending.get(origin.attempt) is origin:
                del self._pending[origin.attempt]
            self._written.append((now, origin.attempt))
        for _ in removable:
            self._written.popleft()
        while len(self._written) > MAX_REMEMBERED_REMOVALS:
            self._written.popleft()
        if not self._pending and len(removable) < MAX_BATCH_REMOVALS:
            self._has_pending.clear()

    def _list_removable(self) -> list[AttemptId]:
        """Return written origins whose streams can't be taken up any more."""
        last_removed = self._clock.now() - ORIGIN_TTL_SECONDS
        attempts: list[AttemptId] = []
        for written_at, attempt in self._written:
            if written_at > last_removed or len(attempts) >= MAX_BATCH_REMOVALS:
                break
            attempts.append(attempt)
        return attempts

    def sweep_when_due(self) -> None:
        """Remove a page of origins that gateways which are gone have written."""
        now = self._clock.now()
        if now - self._swept_at < SWEEP_INTERVAL_SECONDS or not self._is_sweeper():
            return
        self._swept_at = now
        last_removed_ms = (self._get_unix_time() - ABANDONED_SECONDS) * 1000
        abandoned = [
            origin.attempt
            for origin in self._store().sample()
            if origin.began_ms < last_removed_ms
        ]
        if abandoned:
            self._store().write([], abandoned[:MAX_BATCH_REMOVALS])
