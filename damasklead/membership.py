"""
Membership
==========

Which instances there are, from the lagging list, their own signs and what peers say.

For one incarnation the state only moves forward: live, leaving, gone.  A stale list
can't bring a leaving instance back; only a higher incarnation can.
"""

from enum import Enum

import msgspec

from damasklead.clock import Clock
from damasklead.ids import DataCentre, Incarnation, InstanceId, ServiceName
from damasklead.stores.base import InstanceRecord, InstanceState

__all__ = ["Member", "MemberState", "Membership"]

ABSENCE_GRACE_SECONDS = 5.0  # seconds
FORGET_AFTER = 3600.0  # seconds


class MemberState(Enum):
    """How far an incarnation has come."""

    LIVE = 0
    LEAVING = 1
    GONE = 2


_LISTED_STATES = {
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
        Clock reading at which the list first did not show it.
    """

    instance: InstanceId
    incarnation: Incarnation
    service: ServiceName
    address: str
    data_centre: DataCentre
    region: str
    state: MemberState
    absent_since: float | None = None


class Membership:
    """The merged view of one process; ``generation`` grows with every change."""

    def __init__(self, *, clock: Clock) -> None:
        self.generation = 0
        self._clock = clock
        self._members: dict[InstanceId, Member] = {}
        self._ended: dict[InstanceId, tuple[Incarnation, MemberState, float]] = {}

    def merge_list(self, records: tuple[InstanceRecord, ...]) -> None:
        """Merge a reading of the instance list."""
        for record in records:
            self._observe(record)
        self._observe_absence({record.instance for record in records})

    def merge_peer_records(self, records: tuple[InstanceRecord, ...]) -> None:
        """Merge what a peer knows; it says nothing about who is absent."""
        for record in records:
            self._observe(record)

    def build_records(self) -> tuple[InstanceRecord, ...]:
        """Return what is known here, for a peer."""
        return tuple(
            InstanceRecord(
                instance=member.instance,
                incarnation=member.incarnation,
                service=member.service,
                address=member.address,
                data_centre=member.data_centre,
                region=member.region,
                state=_LISTED_STATES[member.state],
            )
            for member in self._members.values()
        )

    def mark_leaving(self, instance: InstanceId, incarnation: Incarnation) -> bool:
        """Take in a sign that an incarnation is leaving; returns whether it is news."""
        ended = self._ended.get(instance)
        if ended is not None and ended[0] >= incarnation:
            return False
        self._ended[instance] = (incarnation, MemberState.LEAVING, self._clock.now())
        member = self._members.get(instance)
        if member is not None and member.incarnation <= incarnation:
            member.state = MemberState.LEAVING
            self.generation += 1
        return True

    def record_incarnation(
        self, instance: InstanceId, incarnation: Incarnation
    ) -> bool:
        """
        Take in an instance's own word on its incarnation; returns whether it is newer.
        """
        member = self._members.get(instance)
        if member is None or incarnation <= member.incarnation:
            return False
        member.incarnation = incarnation
        member.state = self._ceiling(instance, incarnation)
        self.generation += 1
        return True

    def get_member(self, instance: InstanceId) -> Member | None:
        """Return an instance, whatever its state."""
        return self._members.get(instance)

    def find_live_members(self, service: ServiceName) -> list[Member]:
        """Return the live instances of a service, in the order of their ids."""
        found = [
            member
            for member in self._members.values()
            if member.service == service and member.state is MemberState.LIVE
        ]
        return sorted(found, key=lambda member: member.instance)

    def _observe(self, record: InstanceRecord) -> None:
        known = self._members.get(record.instance)
        if known is not None and record.incarnation < known.incarnation:
            return
        ceiling = self._ceiling(record.instance, record.incarnation)
        listed = MemberState.LIVE
        if record.state is InstanceState.LEAVING:
            listed = MemberState.LEAVING
        state = max(ceiling, listed, key=lambda item: item.value)
        if known is not None and record.incarnation == known.incarnation:
            known.absent_since = None
            if (known.state, known.address) == (state, record.address):
                return
        self._members[record.instance] = Member(
            instance=record.instance,
            incarnation=record.incarnation,
            service=record.service,
            address=record.address,
            data_centre=record.data_centre,
            region=record.region,
            state=state,
        )
        self.generation += 1
        if listed is not MemberState.LIVE and ceiling is MemberState.LIVE:
            ended = (record.incarnation, state, self._clock.now())
            self._ended[record.instance] = ended

    def _ceiling(self, instance: InstanceId, incarnation: Incarnation) -> MemberState:
        """Return the furthest state that this incarnation is known to have reached."""
        ended = self._ended.get(instance)
        if ended is None or ended[0] < incarnation:
            return MemberState.LIVE
        return ended[1]

    def _observe_absence(self, listed: set[InstanceId]) -> None:
        now = self._clock.now()
        for member in list(self._members.values()):
            if member.instance in listed:
                continue
            if member.absent_since is None:
                member.absent_since = now
            elif now - member.absent_since >= ABSENCE_GRACE_SECONDS:
                del self._members[member.instance]
                self.generation += 1
        for instance, (_, _, at) in list(self._ended.items()):
            if instance not in self._members and now - at > FORGET_AFTER:
                del self._ended[instance]
