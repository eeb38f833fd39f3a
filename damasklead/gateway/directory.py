"""
Directory of upstreams
======================

What this process believes about the replicas: which may take new work, while the list
lags, stops or forgets.
"""

import msgspec

from damasklead.clock import Clock
from damasklead.gateway.calls import UpstreamRecord, UpstreamState
from damasklead.ids import InstanceId, ServiceName

__all__ = ["ListedRow", "UpstreamDirectory"]

# Entries that lapsed during an outage are listed again within about 2 s of its end, if
# their replicas live.
LAPSE_GRACE_SECONDS = 2.3
# For so long after an outage a removal may be a lapse.
LAPSE_DOUBT_SECONDS = 1.5
# Versions of replicas that are gone are forgotten beyond so many: ids are new at each
# start, and a process may run for months.
MOST_VERSIONS = 10_000


class ListedRow(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """
    One entry of the list at one version; ``record`` is ``None`` when the entry was
    removed or names no replica to use.
    """

    instance: InstanceId
    version: int
    record: UpstreamRecord | None


class UpstreamDirectory:
    """
    The replicas that may take new work.

    A replica that is known to leave stays so until it starts again.  A removal counts
    at once, unless the list was out of reach just before: then the entry may have
    lapsed only because its replica could not renew it, and the replica is kept for a
    short time.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[InstanceId, UpstreamRecord] = {}
        self._versions: dict[InstanceId, int] = {}
        self._held: dict[InstanceId, float] = {}
        self._left: dict[InstanceId, int] = {}
        self._down = False
        self._back_at: float | None = None
        self._by_service: dict[ServiceName, list[UpstreamRecord]] = {}

    @property
    def empty(self) -> bool:
        """Whether no replica is known."""
        return not self._records

    def rows(self) -> list[ListedRow]:
        """Return all entries, for another gateway; what leaves is told as leaving."""
        return [
            ListedRow(
                instance=item,
                version=self._versions.get(item, 0),
                record=self._as_known(record),
            )
            for item, record in self._records.items()
        ]

    def usable(self, service: ServiceName) -> list[UpstreamRecord]:
        """Return the replicas of a service that may take new work."""
        return self._by_service.get(service, [])

    def differs(self, row: ListedRow) -> bool:
        """
        Tell whether an entry says anything that matters for placing requests.

        A replica that warms up changes its entry with each heartbeat.
        """
        before = self._records.get(row.instance)
        if row.record is None or before is None or row.instance in self._held:
            return row.record is not None or before is not None
        return before != msgspec.structs.replace(row.record, warm_up=before.warm_up)

    def list_lost(self) -> bool:
        """Take in that the list can't be read; returns whether that is new."""
        news, self._down = not self._down, True
        return news

    def list_back(self) -> bool:
        """Take in that the list can be read; returns whether that is new."""
        news, self._down = self._down, False
        if news:
            self._back_at = self._clock.now()
            until = self._back_at + LAPSE_GRACE_SECONDS
            self._held = dict.fromkeys(self._held, until)
        return news

    def apply(self, rows: list[ListedRow], *, whole: bool) -> list[str]:
        """
        Take in entries of the list.

        Parameters
        ----------
        whole : bool
            Whether ``rows`` are all entries, so that those missing were removed.

        Returns
        -------
        list of str
            What changed, for the log.
        """
        changes: list[str] = []
        if whole:
            present = {row.instance for row in rows}
            for instance in [item for item in self._records if item not in present]:
                changes.extend(self._remove(instance))
        for row in rows:
            if row.version < self._versions.get(row.instance, 0):
                continue
            self._versions[row.instance] = row.version
            if row.record is None:
                changes.extend(self._remove(row.instance))
            else:
                changes.extend(self._put(row.record))
        if changes:
            self._index()
        if len(self._versions) > MOST_VERSIONS:
            self._versions = {
                item: self._versions.get(item, 0) for item in self._records
            }
        return changes

    def mark_left(self, instance: InstanceId, incarnation: int) -> bool:
        """
        Take in that a replica itself said that it leaves or is gone, or that another
        one has its address; returns whether that is new.
        """
        if self._left.get(instance) == incarnation:
            return False
        # Kept when the entry is removed: it may be listed again while it leaves.
        self._left[instance] = incarnation
        if len(self._left) > MOST_VERSIONS:
            del self._left[next(iter(self._left))]
        self._index()
        return True

    def expire(self) -> list[str]:
        """Let time pass: drop entries that have not come back after an outage."""
        now = self._clock.now()
        gone = [item for item, until in self._held.items() if now >= until]
        changes: list[str] = []
        if self._down:
            return changes
        for instance in gone:
            changes.extend(self._drop(instance, why="has not come back"))
        if changes:
            self._index()
        return changes

    def _put(self, record: UpstreamRecord) -> list[str]:
        instance = record.instance
        self._held.pop(instance, None)
        before = self._records.get(instance)
        if before == record:
            return []
        self._records[instance] = record
        if before is None or before.incarnation != record.incarnation:
            return [f"{instance} {record.state.value}"]
        if before.state is UpstreamState.LEAVING:
            # An older report may arrive late; leaving is final for one incarnation.
            self._records[instance] = msgspec.structs.replace(
                record, state=UpstreamState.LEAVING
            )
            return []
        if record.state is not before.state:
            return [f"{instance} {record.state.value}"]
        return [f"{instance} changed"] if record.address != before.address else []

    def _remove(self, instance: InstanceId) -> list[str]:
        record = self._records.get(instance)
        if record is None:
            return []
        if record.state is UpstreamState.LIVE and self._may_have_lapsed():
            if instance in self._held:
                return []
            since = self._clock.now() if self._back_at is None else self._back_at
            self._held[instance] = since + LAPSE_GRACE_SECONDS
            return [f"{instance} missing"]
        return self._drop(instance, why="gone")

    def _may_have_lapsed(self) -> bool:
        if self._down:
            return True
        if self._back_at is None:
            return False
        return self._clock.now() - self._back_at < LAPSE_DOUBT_SECONDS

    def _drop(self, instance: InstanceId, *, why: str) -> list[str]:
        self._records.pop(instance, None)
        self._held.pop(instance, None)
        return [f"{instance} {why}"]

    def _as_known(self, record: UpstreamRecord) -> UpstreamRecord:
        """Return a record with what its replica itself has said."""
        if self._left.get(record.instance) != record.incarnation:
            return record
        return msgspec.structs.replace(record, state=UpstreamState.LEAVING)

    def _index(self) -> None:
        by_service: dict[ServiceName, list[UpstreamRecord]] = {}
        for instance in sorted(self._records):
            record = self._records[instance]
            left = self._left.get(instance) == record.incarnation
            if record.state is UpstreamState.LIVE and not left:
                by_service.setdefault(record.service, []).append(record)
        self._by_service = by_service
