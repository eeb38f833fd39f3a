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
LAPSE_WINDOW_SECONDS = 1.5
# The platform removes silent entries after three heartbeats of about a second, so one
# that a restored store still lists after so long has been written again.
UNCONFIRMED_SECONDS = 8.0
# Versions of replicas that are gone are forgotten beyond so many: ids are new at each
# start, and a process may run for months.
MAX_REMEMBERED_REPLICAS = 10_000


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


class _UnconfirmedEntry(msgspec.Struct, kw_only=True, frozen=True):
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
        self._unconfirmed: dict[InstanceId, _UnconfirmedEntry] = {}
        self._restored_position = INITIAL_POSITION
        self._grace_until: dict[InstanceId, float] = {}
        self._departed: dict[InstanceId, int] = {}
        self._list_unreachable = False
        self._reachable_since: float | None = None
        self._by_service: dict[ServiceName, list[UpstreamRecord]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no replica is known."""
        return not self._records

    def list_rows(self) -> list[ListedRow]:
        """Return all entries, for another gateway; what leaves is told as leaving."""
        return [
            ListedRow(
                instance=item,
                position=self._positions.get(item, INITIAL_POSITION),
                record=self._with_departure(record),
            )
            for item, record in self._records.items()
        ]

    def get_eligible_records(self, service: ServiceName) -> list[UpstreamRecord]:
        """Return the replicas of a service that may take new work."""
        return self._by_service.get(service, [])

    def affects_placement(self, row: ListedRow) -> bool:
        """
        Tell whether an entry says anything that matters for placing requests.

        A replica that warms up changes its entry with each heartbeat.
        """
        before = self._records.get(row.instance)
        if row.record is None or before is None or row.instance in self._grace_until:
            return row.record is not None or before is not None
        return before != msgspec.structs.replace(row.record, warm_up=before.warm_up)

    def mark_list_unreachable(self) -> bool:
        """Take in that the list can't be read; returns whether that is new."""
        news, self._list_unreachable = not self._list_unreachable, True
        return news

    def mark_list_reachable(self) -> bool:
        """Take in that the list can be read; returns whether that is new."""
        news, self._list_unreachable = self._list_unreachable, False
        if news:
            self._reachable_since = self._clock.now()
            until = self._reachable_since + LAPSE_GRACE_SECONDS
            self._grace_until = dict.fromkeys(self._grace_until, until)
        return news

    def mark_store_restored(self, position: Position) -> None:
        """
        Take in that the store has come back from an older copy.

        Parameters
        ----------
        position : Position
            Up to where entries may be the copy's.
        """
        self._restored_position = position
        self._unconfirmed.clear()
        self._list_unreachable = True
        self.mark_list_reachable()

    def apply_rows(self, rows: list[ListedRow], *, whole: bool) -> list[str]:
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
                changes.extend(self._remove_record(instance))
        for row in rows:
            if row.position < self._positions.get(row.instance, INITIAL_POSITION):
                continue
            self._positions[row.instance] = row.position
            if row.record is None:
                changes.extend(self._remove_record(row.instance))
            elif self._needs_confirmation(row.record, row.position):
                changes.extend(self._hold_unconfirmed(row.record))
            else:
                changes.extend(self._put_record(row.record))
        if changes:
            self._rebuild_index()
        self._trim_history()
        return changes

    def _trim_history(self) -> None:
        """Keep what is remembered of replicas that are gone within its bound."""
        if len(self._positions) > MAX_REMEMBERED_REPLICAS:
            self._positions = {
                item: self._positions.get(item, INITIAL_POSITION)
                for item in self._records
            }
        for remembered in (self._removals, self._departed):
            while len(remembered) > MAX_REMEMBERED_REPLICAS:
                del remembered[next(iter(remembered))]

    def _needs_confirmation(self, record: UpstreamRecord, position: Position) -> bool:
        """Tell whether only the store's copy may say that a replica is there."""
        removal = self._removals.get(record.instance)
        return (
            removal is not None
            and removal.incarnation == record.incarnation
            and removal.era < position.era
            and position <= self._restored_position
        )

    def _hold_unconfirmed(self, record: UpstreamRecord) -> list[str]:
        until = self._clock.now() + UNCONFIRMED_SECONDS
        known = self._unconfirmed.get(record.instance)
        if known is not None:
            until = known.until
        self._unconfirmed[record.instance] = _UnconfirmedEntry(
            record=record, until=until
        )
        return [] if known is not None else [f"{record.instance} doubtful"]

    def mark_departed(self, instance: InstanceId, incarnation: int) -> bool:
        """
        Take in that a replica itself said that it leaves or is gone, or that another
        one has its address; returns whether that is new.
        """
        if self._departed.get(instance) == incarnation:
            return False
        # Kept when the entry is removed: it may be listed again while it leaves.
        self._departed[instance] = incarnation
        self._trim_history()
        self._rebuild_index()
        return True

    def drop_expired(self) -> list[str]:
        """Let time pass: drop entries that have not come back after an outage."""
        now = self._clock.now()
        gone = [item for item, until in self._grace_until.items() if now >= until]
        changes: list[str] = []
        if self._list_unreachable:
            return changes
        for instance in gone:
            changes.extend(self._drop_record(instance, why="has not come back"))
        for instance in [
            i for i, item in self._unconfirmed.items() if now >= item.until
        ]:
            changes.extend(self._put_record(self._unconfirmed[instance].record))
        if changes:
            self._rebuild_index()
        return changes

    def _put_record(self, record: UpstreamRecord) -> list[str]:
        instance = record.instance
        self._grace_until.pop(instance, None)
        self._unconfirmed.pop(instance, None)
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

    def _remove_record(self, instance: InstanceId) -> list[str]:
        record = self._records.get(instance)
        self._unconfirmed.pop(instance, None)
        if record is None:
            return []
        if record.state is UpstreamState.LIVE and self._may_have_lapsed():
            if instance in self._grace_until:
                return []
            since = (
                self._clock.now()
                if self._reachable_since is None
                else self._reachable_since
            )
            self._grace_until[instance] = since + LAPSE_GRACE_SECONDS
            return [f"{instance} missing"]
        return self._drop_record(instance, why="gone")

    def _may_have_lapsed(self) -> bool:
        if self._list_unreachable:
            return True
        if self._reachable_since is None:
            return False
        return self._clock.now() - self._reachable_since < LAPSE_WINDOW_SECONDS

    def _drop_record(self, instance: InstanceId, *, why: str) -> list[str]:
        record = self._records.pop(instance, None)
        self._grace_until.pop(instance, None)
        if record is not None:
            era = self._positions.get(instance, INITIAL_POSITION).era
            self._removals[instance] = _Removal(incarnation=record.incarnation, era=era)
            if record.state is UpstreamState.LEAVING:
                self._departed[instance] = record.incarnation
        return [f"{instance} {why}"]

    def _with_departure(self, record: UpstreamRecord) -> UpstreamRecord:
        """Return a record with what its replica itself has said."""
        if self._departed.get(record.instance) != record.incarnation:
            return record
        return msgspec.structs.replace(record, state=UpstreamState.LEAVING)

    def _rebuild_index(self) -> None:
        by_service: dict[ServiceName, list[UpstreamRecord]] = {}
        for instance in sorted(self._records):
            record = self._records[instance]
            left = self._departed.get(instance) == record.incarnation
            if record.state is UpstreamState.LIVE and not left:
                by_service.setdefault(record.service, []).append(record)
        self._by_service = by_service
