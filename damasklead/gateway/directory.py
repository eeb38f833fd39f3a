"""
Directory of upstreams
======================

What this process believes about the replicas: which may take new work, while the list
lags, stops or forgets.
"""

import msgspec

from damasklead.clock import Clock
from damasklead.gateway.calls import UpstreamRecord, UpstreamState
from damasklead.gateway.positions import INITIAL_POSITION, Position
from damasklead.ids import InstanceId, ServiceName, StoreEra

__all__ = ["ListedRow", "UpstreamDirectory"]

# Entries that lapsed during an outage are listed again within about 2 s of its end, if
# their replicas live.
LAPSE_GRACE_SECONDS = 2.3
# For so long after an outage a removal may be a lapse.
LAPSE_DOUBT_SECONDS = 1.5
# The platform removes silent entries after three heartbeats of about a second, so one
# that a restored store still lists after so long has been written again.
RESTORED_DOUBT_SECONDS = 8.0
# Versions of replicas that are gone are forgotten beyond so many: ids are new at each
# start, and a process may run for months.
MOST_VERSIONS = 10_000


class ListedRow(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """
    One entry of the list at one version; ``record`` is ``None`` when the entry was
    removed or names no replica to use.
    """

    instance: InstanceId
    position: Position
    record: UpstreamRecord | None


class _Removal(msgspec.Struct, kw_only=True, frozen=True):
    """An entry that was seen to go."""

    incarnation: int
    era: StoreEra


class _Doubtful(msgspec.Struct, kw_only=True, frozen=True):
    """An entry of a restored copy whose replica was seen to go; not used before."""

    record: UpstreamRecord
    until: float


class UpstreamDirectory:
    """
    The replicas that may take new work.

    A replica that is known to leave stays so until it starts again.  A removal counts
    at once, unless the list was out of reach just before: then the entry may have
    lapsed only because its replica could not renew it, and the replica is kept for a
    short time.  Entries that are missing after the store came back from an older copy
    are kept likewise; those that only the copy has are not used before they are written
    again.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[InstanceId, UpstreamRecord] = {}
        self._positions: dict[InstanceId, Position] = {}
        self._removals: dict[InstanceId, _Removal] = {}
        self._doubtful: dict[InstanceId, _Doubtful] = {}
        self._copy = INITIAL_POSITION
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
                position=self._positions.get(item, INITIAL_POSITION),
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

    def list_restored(self, position: Position) -> None:
        """
        Take in that the store has come back from an older copy.

        Parameters
        ----------
        position : Position
            Up to where entries may be the copy's.
        """
        self._copy = position
        self._doubtful.clear()
        self._down = True
        self.list_back()

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
            if row.position < self._positions.get(row.instance, INITIAL_POSITION):
                continue
            self._positions[row.instance] = row.position
            if row.record is None:
                changes.extend(self._remove(row.instance))
            elif self._is_doubtful(row.record, row.position):
                changes.extend(self._doubt(row.record))
            else:
                changes.extend(self._put(row.record))
        if changes:
            self._index()
        self._forget()
        return changes

    def _forget(self) -> None:
        """Keep what is remembered of replicas that are gone within its bound."""
        if len(self._positions) > MOST_VERSIONS:
            self._positions = {
                item: self._positions.get(item, INITIAL_POSITION)
                for item in self._records
            }
        for remembered in (self._removals, self._left):
            while len(remembered) > MOST_VERSIONS:
                del remembered[next(iter(remembered))]

    def _is_doubtful(self, record: UpstreamRecord, position: Position) -> bool:
        """Tell whether only the store's copy may say that a replica is there."""
        removal = self._removals.get(record.instance)
        return (
            removal is not None
            and removal.incarnation == record.incarnation
            and removal.era < position.era
            and position <= self._copy
        )

    def _doubt(self, record: UpstreamRecord) -> list[str]:
        until = self._clock.now() + RESTORED_DOUBT_SECONDS
        known = self._doubtful.get(record.instance)
        if known is not None:
            until = known.until
        self._doubtful[record.instance] = _Doubtful(record=record, until=until)
        return [] if known is not None else [f"{record.instance} doubtful"]

    def mark_left(self, instance: InstanceId, incarnation: int) -> bool:
        """
        Take in that a replica itself said that it leaves or is gone, or that another
        one has its address; returns whether that is new.
        """
        if self._left.get(instance) == incarnation:
            return False
        # Kept when the entry is removed: it may be listed again while it leaves.
        self._left[instance] = incarnation
        self._forget()
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
        for instance in [i for i, item in self._doubtful.items() if now >= item.until]:
            changes.extend(self._put(self._doubtful[instance].record))
        if changes:
            self._index()
        return changes

    def _put(self, record: UpstreamRecord) -> list[str]:
        instance = record.instance
        self._held.pop(instance, None)
        self._doubtful.pop(instance, None)
        self._removals.pop(instance, None)
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
        self._doubtful.pop(instance, None)
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
        record = self._records.pop(instance, None)
        self._held.pop(instance, None)
        if record is not None:
            era = self._positions.get(instance, INITIAL_POSITION).era
            self._removals[instance] = _Removal(incarnation=record.incarnation, era=era)
            if record.state is UpstreamState.LEAVING:
                self._left[instance] = record.incarnation
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
