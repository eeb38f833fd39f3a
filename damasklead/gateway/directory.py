"""
Directory of upstreams
======================

Determines which replicas may be sent new requests, although the platform's list may be
stale, unreachable or restored from a backup.
"""

from collections.abc import Collection, Iterable

import msgspec

from damasklead.clock import Clock
from damasklead.gateway.calls import UpstreamRecord, UpstreamState
from damasklead.gateway.store_positions import INITIAL_POSITION, Position
from damasklead.ids import InstanceId, ServiceName, StoreEra

__all__ = ["ListedRow", "UpstreamDirectory"]

# Entries that expired during an outage are listed again within about 2 s of its end if
# their replicas are live.
LAPSE_GRACE_SECONDS = 2.3
# A read of the list this long before the end of a grace time shows entries that are
# listed again.
READ_MARGIN_SECONDS = 0.3
# Time after an outage in which a removed entry may have expired because of the outage.
LAPSE_WINDOW_SECONDS = 1.5
# The platform removes an entry after three missing heartbeats, which are sent about
# every second.  So an entry that a restored store still lists after this time has been
# renewed by its replica.
UNCONFIRMED_SECONDS = 8.0
# Maximum number of removed replicas whose history is kept: ids are new at each start of
# a replica, and a process may run for months.
MAX_REMEMBERED_REPLICAS = 10_000


class ListedRow(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """
    An entry of the list at one position in the store's history.

    Attributes
    ----------
    position : Position
        Position of the entry's last change.
    record : UpstreamRecord or None
        ``None`` when the entry was removed or can't be used.
    is_missing : bool
        Whether the sender has read that the entry is gone, and keeps the replica only
        for a grace time.
    """

    instance: InstanceId
    position: Position
    record: UpstreamRecord | None
    is_missing: bool = False


class _RemovedEntry(msgspec.Struct, kw_only=True, frozen=True):
    """
    An entry that was removed from the list.

    Attributes
    ----------
    incarnation : int
        Start time of the replica in milliseconds.
    era : StoreEra
        Era of the entry's last change.
    """

    incarnation: int
    era: StoreEra


class _UnconfirmedEntry(msgspec.Struct, kw_only=True, frozen=True):
    """
    An entry of a restored store whose replica had been removed before the restore.

    Attributes
    ----------
    record : UpstreamRecord
    until : float
        Clock time in seconds from which the entry is used if it is still listed.
    """

    record: UpstreamRecord
    until: float


class UpstreamDirectory:
    """
    The replicas that may be sent new requests.

    A replica that leaves is not used again in the same incarnation.  The removal of an
    entry takes effect at once, unless the list was unreachable shortly before: the
    entry may have expired only because its replica could not renew it, so the replica
    is kept for a grace time.  Entries that are missing after the store was restored
    from a backup are kept likewise.  Entries that had been removed before the restore
    and that the backup contains are not used until they are renewed.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[InstanceId, UpstreamRecord] = {}
        self._positions: dict[InstanceId, Position] = {}
        self._removals: dict[InstanceId, _RemovedEntry] = {}
        self._unconfirmed: dict[InstanceId, _UnconfirmedEntry] = {}
        self._restored_position = INITIAL_POSITION
        self._grace_until: dict[InstanceId, float] = {}
        self._departed: dict[InstanceId, int] = {}
        self._list_unreachable = False
        self._reachable_since: float | None = None
        self._by_service: dict[ServiceName, list[UpstreamRecord]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether the directory has no entry."""
        return not self._records

    @property
    def replica_count(self) -> int:
        """Number of listed replicas."""
        return len(self._records)

    @property
    def addresses(self) -> list[str]:
        """Addresses of the listed replicas."""
        return [record.address for record in self._records.values()]

    def has_address(self, address: str) -> bool:
        """Return whether a listed replica has an address."""
        return any(record.address == address for record in self._records.values())

    def list_rows(self) -> list[ListedRow]:
        """
        Return all entries, for another gateway.

        Replicas that have announced that they leave have the state ``LEAVING``, even if
        the list doesn't show it yet.
        """
        return [
            ListedRow(
                instance=item,
                position=self._positions.get(item, INITIAL_POSITION),
                record=self._with_departure(record),
                is_missing=item in self._grace_until,
            )
            for item, record in self._records.items()
        ]

    def get_record(self, instance: InstanceId) -> UpstreamRecord | None:
        """Return the entry of a replica, ``None`` if it is not listed."""
        return self._records.get(instance)

    def get_eligible_records(self, service: ServiceName) -> list[UpstreamRecord]:
        """Return the replicas of a service that may be sent new requests."""
        return self._by_service.get(service, [])

    def affects_placement(self, row: ListedRow) -> bool:
        """
        Return whether an entry changes anything that matters for placing requests.

        A change of the remaining warm-up time doesn't: a replica that warms up changes
        it with each heartbeat.  An entry without any change was removed and has come
        back, which other gateways may have read separately.
        """
        before = self._records.get(row.instance)
        if row.record is None or before is None or row.instance in self._grace_until:
            return row.record is not None or before is not None
        without_warm_up = msgspec.structs.replace(row.record, warm_up=before.warm_up)
        return before == row.record or before != without_warm_up

    def mark_list_unreachable(self) -> bool:
        """Record that the list can't be read; return whether it could be before."""
        is_new, self._list_unreachable = not self._list_unreachable, True
        return is_new

    def mark_list_reachable(self) -> bool:
        """
        Record that the list can be read; return whether it could not be before.

        The grace time of missing entries starts anew.
        """
        is_new, self._list_unreachable = self._list_unreachable, False
        if is_new:
            self._reachable_since = self._clock.now()
            until = self._reachable_since + LAPSE_GRACE_SECONDS
            self._grace_until = dict.fromkeys(self._grace_until, until)
        return is_new

    def mark_store_restored(self, position: Position) -> None:
        """
        Record that the store was restored from a backup.

        Parameters
        ----------
        position : Position
            Position up to which entries may be from the backup.
        """
        self._restored_position = position
        self._unconfirmed.clear()
        self._list_unreachable = True
        self.mark_list_reachable()

    def apply_rows(self, rows: list[ListedRow], *, is_complete: bool) -> list[str]:
        """
        Apply entries of the list; those older than the known ones are ignored.

        Parameters
        ----------
        rows : list of ListedRow
        is_complete : bool
            Whether ``rows`` are all entries of the list, so that missing ones were
            removed.

        Returns
        -------
        list of str
            The changes, for the log.
        """
        changes: list[str] = []
        if is_complete:
            present = {row.instance for row in rows if not row.is_missing}
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
            elif row.is_missing:
                changes.extend(self._put_missing_record(row.record))
            else:
                changes.extend(self._put_record(row.record))
        if changes:
            self._rebuild_index()
        self._trim_history()
        return changes

    def _trim_history(self) -> None:
        """Limit the history of replicas that are no longer listed."""
        if len(self._positions) > MAX_REMEMBERED_REPLICAS:
            self._positions = {
                item: self._positions.get(item, INITIAL_POSITION)
                for item in self._records
            }
        for history in (self._removals, self._departed):
            while len(history) > MAX_REMEMBERED_REPLICAS:
                del history[next(iter(history))]

    def _needs_confirmation(self, record: UpstreamRecord, position: Position) -> bool:
        """
        Return whether an entry may only be listed because of the restored backup.

        That is so if its replica was removed in an earlier era and the entry has not
        changed since the restore.
        """
        removal = self._removals.get(record.instance)
        return (
            removal is not None
            and removal.incarnation == record.incarnation
            and removal.era < position.era
            and position <= self._restored_position
        )

    def _hold_unconfirmed(self, record: UpstreamRecord) -> list[str]:
        until = self._clock.now() + UNCONFIRMED_SECONDS
        held = self._unconfirmed.get(record.instance)
        if held is not None:
            until = held.until
        self._unconfirmed[record.instance] = _UnconfirmedEntry(
            record=record, until=until
        )
        return [] if held is not None else [f"{record.instance} doubtful"]

    def mark_departed(self, instance: InstanceId, incarnation: int) -> bool:
        """
        Record that a replica leaves or is gone before the list shows it.

        The replica announced it itself, or another one uses its address.

        Returns
        -------
        bool
            Whether this was not known before.
        """
        return bool(self.mark_all_departed([(instance, incarnation)]))

    def mark_all_departed(
        self, departures: Iterable[tuple[InstanceId, int]]
    ) -> list[tuple[InstanceId, int]]:
        """
        Record several replicas as ``mark_departed`` does; returns the new departures.

        Parameters
        ----------
        departures : iterable
            Id and incarnation of each replica.
        """
        new = []
        for instance, incarnation in departures:
            if self._departed.get(instance) != incarnation:
                # This is kept when the entry is removed, since the replica may be
                # listed again while it leaves.
                self._departed[instance] = incarnation
                new.append((instance, incarnation))
        if new:
            self._trim_history()
            self._rebuild_index()
        return new

    def drop_expired(self, *, list_age: float) -> list[str]:
        """
        Drop the missing entries whose grace time is over, and use the unconfirmed ones
        that are still listed.

        Both only if the list has been read since: as long as it isn't, nobody can tell
        which entries have come back, or are gone.

        Parameters
        ----------
        list_age : float
            Seconds since the store confirmed the list; infinite before.

        Returns
        -------
        list of str
            The changes, for the log.
        """
        now = self._clock.now()
        due = min(now, now - list_age + READ_MARGIN_SECONDS)
        expired = [item for item, until in self._grace_until.items() if due >= until]
        changes: list[str] = []
        if self._list_unreachable:
            return changes
        for instance in expired:
            changes.extend(self._drop_record(instance, why="has not come back"))
        for instance in [
            i for i, item in self._unconfirmed.items() if due >= item.until
        ]:
            changes.extend(self._put_record(self._unconfirmed[instance].record))
        if changes:
            self._rebuild_index()
        return changes

    def drop_unlisted(self, listed: Collection[InstanceId]) -> list[str]:
        """
        Drop the replicas that another gateway, which has read a newer list, doesn't
        have any more.

        That gateway keeps replicas itself whose entry may have expired in an outage, so
        removals take effect at once, except those of replicas that are kept here, too.

        Returns
        -------
        list of str
            The changes, for the log.
        """
        unlisted = self._records.keys() - set(listed) - self._grace_until.keys()
        changes: list[str] = []
        for instance in sorted(unlisted):
            changes.extend(self._drop_record(instance, why="gone"))
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
            # Reports may arrive out of order; leaving is final for an incarnation.
            self._records[instance] = msgspec.structs.replace(
                record, state=UpstreamState.LEAVING
            )
            return []
        if record.state is not before.state:
            return [f"{instance} {record.state.value}"]
        return [f"{instance} changed"] if record.address != before.address else []

    def _put_missing_record(self, record: UpstreamRecord) -> list[str]:
        """Use a replica that another gateway keeps for a grace time, for as long."""
        if record.instance in self._records:
            return []
        changes = self._put_record(record)
        self._grace_until[record.instance] = self._clock.now() + LAPSE_GRACE_SECONDS
        return changes

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
            self._removals[instance] = _RemovedEntry(
                incarnation=record.incarnation, era=era
            )
            if record.state is UpstreamState.LEAVING:
                self._departed[instance] = record.incarnation
        return [f"{instance} {why}"]

    def _with_departure(self, record: UpstreamRecord) -> UpstreamRecord:
        """Return a record with the state that its replica has announced."""
        if self._departed.get(record.instance) != record.incarnation:
            return record
        return msgspec.structs.replace(record, state=UpstreamState.LEAVING)

    def _rebuild_index(self) -> None:
        by_service: dict[ServiceName, list[UpstreamRecord]] = {}
        for instance in sorted(self._records):
            record = self._records[instance]
            departed = self._departed.get(instance) == record.incarnation
            if record.state is UpstreamState.LIVE and not departed:
                by_service.setdefault(record.service, []).append(record)
        self._by_service = by_service
