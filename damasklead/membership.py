"""
Membership
==========

The known instances, merged from the instance list, which may be stale, from what the
instances report about themselves, and from the records of peers.

For one incarnation the state only moves forward: live, leaving, gone.  A stale list
cannot make a leaving instance live again; only a higher incarnation can.
"""

from enum import Enum

import msgspec

from damasklead.clock import Clock
from damasklead.decoding import is_ip_address, is_token
from damasklead.ids import (
    DataCentre,
    Incarnation,
    InstanceId,
    ServiceName,
    SoftwareVersion,
)
from damasklead.stores.base import InstanceRecord, InstanceState

__all__ = ["Member", "MemberState", "Membership"]

ABSENCE_GRACE_SECONDS = 5.0
TOMBSTONE_TTL_SECONDS = 3600.0
# Messages between entries hold numbers of 64 bits.
MAX_INCARNATION = 2**63 - 1


class MemberState(Enum):
    """State of one incarnation of an instance; the values rise as it moves forward."""

    LIVE = 0
    LEAVING = 1
    GONE = 2


_INSTANCE_STATES = {
    MemberState.LIVE: InstanceState.LIVE,
    MemberState.LEAVING: InstanceState.LEAVING,
    MemberState.GONE: InstanceState.LEAVING,
}


class Member(msgspec.Struct, kw_only=True):
    """
    An instance as it is known here.

    Attributes
    ----------
    absent_since : float or None
        Clock reading in seconds since when the instance has been missing from the list.
    tunnels : str
        ``ip:port`` at which an entry serves tunnels to upstreams; empty for none.
    """

    instance: InstanceId
    incarnation: Incarnation
    service: ServiceName
    address: str
    data_centre: DataCentre
    region: str
    state: MemberState
    version: SoftwareVersion
    absent_since: float | None = None
    tunnels: str = ""


def _is_usable(record: InstanceRecord) -> bool:
    """Return whether a record names an instance to which one can connect."""
    return (
        is_token(record.instance)
        and is_ip_address(record.address)
        and 0 <= record.incarnation <= MAX_INCARNATION
    )


class Membership:
    """
    The view of the membership that one process has.

    Attributes
    ----------
    generation : int
        Number of changes of the view so far.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.generation = 0
        self._clock = clock
        self._members: dict[InstanceId, Member] = {}
        # The latest incarnation known to leave, its state, and the time of the record.
        self._tombstones: dict[InstanceId, tuple[Incarnation, MemberState, float]] = {}

    def merge_list(self, records: tuple[InstanceRecord, ...]) -> list[InstanceId]:
        """
        Merge the complete instance list.

        Removes instances that have been missing from it for the grace period.

        Returns
        -------
        list of InstanceId
            The records that were left out since they name no usable instance.
        """
        odd = self.merge_peer_records(records)
        self._record_absences({record.instance for record in records}.difference(odd))
        return odd

    def merge_peer_records(
        self, records: tuple[InstanceRecord, ...]
    ) -> list[InstanceId]:
        """
        Merge records of a peer, which may lack instances that are still there.

        Returns
        -------
        list of InstanceId
            The records that were left out since they name no usable instance.
        """
        odd: list[InstanceId] = []
        for record in records:
            if _is_usable(record):
                self._merge_record(record)
            else:
                odd.append(record.instance)
        return odd

    def build_records(self) -> tuple[InstanceRecord, ...]:
        """Return the records of all known instances, to be sent to a peer."""
        return tuple(
            InstanceRecord(
                instance=member.instance,
                incarnation=member.incarnation,
                service=member.service,
                address=member.address,
                data_centre=member.data_centre,
                region=member.region,
                state=_INSTANCE_STATES[member.state],
                version=member.version,
                tunnels=member.tunnels,
            )
            for member in self._members.values()
        )

    def mark_leaving(self, instance: InstanceId, incarnation: Incarnation) -> bool:
        """Record that an incarnation is leaving; returns whether that is new."""
        tombstone = self._tombstones.get(instance)
        if tombstone is not None and tombstone[0] >= incarnation:
            return False
        self._tombstones[instance] = (
            incarnation,
            MemberState.LEAVING,
            self._clock.now(),
        )
        member = self._members.get(instance)
        if member is not None and member.incarnation <= incarnation:
            member.state = MemberState.LEAVING
            self.generation += 1
        return True

    def record_incarnation(
        self, instance: InstanceId, incarnation: Incarnation
    ) -> bool:
        """
        Record the incarnation that an instance reports; returns whether it is newer.
        """
        member = self._members.get(instance)
        if member is None or incarnation <= member.incarnation:
            return False
        member.incarnation = incarnation
        member.state = self._get_reached_state(instance, incarnation)
        self.generation += 1
        return True

    def get_member(self, instance: InstanceId) -> Member | None:
        """Return an instance in any state, ``None`` when it is unknown."""
        return self._members.get(instance)

    def find_live_members(self, service: ServiceName) -> list[Member]:
        """Return the live instances of a service, sorted by id."""
        live_members = [
            member
            for member in self._members.values()
            if member.service == service and member.state is MemberState.LIVE
        ]
        return sorted(live_members, key=lambda member: member.instance)

    def list_members(self, service: ServiceName) -> list[Member]:
        """Return the instances of a service, leaving ones included."""
        return [item for item in self._members.values() if item.service == service]

    def _merge_record(self, record: InstanceRecord) -> None:
        known = self._members.get(record.instance)
        if known is not None and record.incarnation < known.incarnation:
            return
        reached_state = self._get_reached_state(record.instance, record.incarnation)
        listed_state = MemberState.LIVE
        if record.state is InstanceState.LEAVING:
            listed_state = MemberState.LEAVING
        state = max(reached_state, listed_state, key=lambda item: item.value)
        tunnels = record.tunnels if is_ip_address(record.tunnels) else ""
        if known is not None and record.incarnation == known.incarnation:
            known.absent_since = None
            before = (known.state, known.address, known.tunnels)
            if before == (state, record.address, tunnels):
                return
        self._members[record.instance] = Member(
            instance=record.instance,
            incarnation=record.incarnation,
            service=record.service,
            address=record.address,
            data_centre=record.data_centre,
            region=record.region,
            state=state,
            version=record.version,
            tunnels=tunnels,
        )
        self.generation += 1
        if listed_state is not MemberState.LIVE and reached_state is MemberState.LIVE:
            tombstone = (record.incarnation, state, self._clock.now())
            self._tombstones[record.instance] = tombstone

    def _get_reached_state(
        self, instance: InstanceId, incarnation: Incarnation
    ) -> MemberState:
        """Return the latest state that an incarnation is known to have reached."""
        tombstone = self._tombstones.get(instance)
        if tombstone is None or tombstone[0] < incarnation:
            return MemberState.LIVE
        return tombstone[1]

    def _record_absences(self, listed_instances: set[InstanceId]) -> None:
        now = self._clock.now()
        for member in list(self._members.values()):
            if member.instance in listed_instances:
                continue
            if member.absent_since is None:
                member.absent_since = now
            elif now - member.absent_since >= ABSENCE_GRACE_SECONDS:
                del self._members[member.instance]
                self.generation += 1
        for instance, (_, _, left_at) in list(self._tombstones.items()):
            if instance not in self._members and now - left_at > TOMBSTONE_TTL_SECONDS:
                del self._tombstones[instance]
