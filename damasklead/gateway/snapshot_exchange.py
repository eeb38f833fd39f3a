"""
Snapshot exchange
=================

Builds the snapshot of a gateway's state for others, and applies theirs.
"""

import math
from collections.abc import Callable, Sequence

from damasklead.gateway.calls import UpstreamState
from damasklead.gateway.crash_containment import Containment
from damasklead.gateway.departures import Departure
from damasklead.gateway.directory import UpstreamDirectory
from damasklead.gateway.list_follower import (
    ConfigurationFollower,
    ConfigurationSource,
)
from damasklead.gateway.peers import Peers
from damasklead.gateway.poll_schedule import ListName, ListReports, ReadPlan
from damasklead.gateway.replica_follower import UpstreamFollower
from damasklead.gateway.routing import RoutingTable
from damasklead.gateway.snapshot import KnownState, Snapshot
from damasklead.gateway.store_positions import INITIAL_POSITION
from damasklead.rate_limits import RateLimits

__all__ = ["SnapshotExchange"]


class SnapshotExchange:
    """
    The state of a gateway that snapshots hold.

    Parameters
    ----------
    configuration : ConfigurationFollower
    upstreams : UpstreamFollower
    directory : UpstreamDirectory
    plans : sequence of ReadPlan
        One for each list, in the order of ``ListName``.
    reports : ListReports
        Gets how up to date the lists of other gateways are.
    rate_limits : RateLimits
    containment : Containment
    peers : Peers or None
        ``None`` for a gateway without others.
    apply_departures : callable
        Applies departures of replicas that other gateways know of.
    """

    def __init__(
        self,
        *,
        configuration: ConfigurationFollower,
        upstreams: UpstreamFollower,
        directory: UpstreamDirectory,
        plans: Sequence[ReadPlan],
        reports: ListReports,
        rate_limits: RateLimits,
        containment: Containment,
        peers: Peers | None,
        apply_departures: Callable[[list[Departure]], None],
    ) -> None:
        self._configuration = configuration
        self._upstreams = upstreams
        self._directory = directory
        self._plans = plans
        self._reports = reports
        self._rate_limits = rate_limits
        self._containment = containment
        self._peers = peers
        self._apply_departures = apply_departures
        self._accepts_differences = True

    @property
    def _version(self) -> int:
        """Version of the configuration; 0 without one."""
        table = self._configuration.table
        return 0 if table is None else table.version

    def describe_known_state(self, needs_events: bool) -> KnownState:
        """
        Return what a snapshot of another gateway needn't contain.

        Parameters
        ----------
        needs_events : bool
            Whether all replicas, which show departures, and all events are wanted.
        """
        return KnownState(
            configuration=self._version,
            replicas=None if needs_events else self._upstreams.cursor,
            accepts_differences=self._accepts_differences,
            accepts_fields=True,
        )

    def build(self, known: KnownState | None = None) -> Snapshot | None:
        """
        Return this gateway's state for another one.

        Parameters
        ----------
        known : KnownState or None
            What the other gateway has and the snapshot leaves out; ``None`` for the
            full state.

        Returns
        -------
        Snapshot or None
            ``None`` without a configuration.
        """
        table = self._configuration.table
        if table is None:
            return None
        is_full = known is None or not known.configuration
        needs_events = known is None or known.replicas is None
        cursor = self._upstreams.cursor
        has_newer_replicas = (
            known is None or known.replicas is None or cursor > known.replicas
        )
        has_newer_routing = known is None or table.version > known.configuration
        differences = (
            self._configuration.history.get_short_differences(
                known.configuration, accepts_fields=known.accepts_fields
            )
            if known is not None and known.accepts_differences
            else []
        )
        rate_limits = self._rate_limits
        peers = self._peers
        return Snapshot(
            routing=table.content if has_newer_routing and not differences else None,
            differences=differences,
            upstreams=self._directory.list_rows() if has_newer_replicas else [],
            peers=peers.entries if is_full and peers is not None else [],
            cursor=cursor if has_newer_replicas else INITIAL_POSITION,
            rate_limits=rate_limits.known_limits if needs_events else [],
            rejection_limits=(
                rate_limits.rejections.known_limits if needs_events else []
            ),
            causes=self._containment.causes if needs_events else [],
            crashes=self._containment.crash_evidence if needs_events else [],
            has_all_peers=is_full and (peers is None or peers.is_discovery_complete),
            lists=[plan.confirmed_report for plan in self._plans],
        )

    def apply(self, snapshot: Snapshot, elapsed: float = 0.0) -> bool:
        """
        Apply a snapshot of another gateway; return whether its lists are newer.

        Parameters
        ----------
        snapshot : Snapshot
        elapsed : float
            Seconds since it was requested, by which its confirmations are older.
        """
        before = (self._version, self._upstreams.cursor)
        reports = [report.grow_older(elapsed) for report in snapshot.lists]
        # Earlier builds don't state the ages.
        ages = [report.age_seconds for report in reports]
        ages += [math.inf] * (len(ListName) - len(ages))
        self._rate_limits.apply_reports(snapshot.rate_limits)
        self._rate_limits.rejections.apply_reports(snapshot.rejection_limits)
        # What the causes explain is only known with the crashes.
        self._containment.record_evidence(snapshot.crashes, elapsed)
        self._containment.adopt_causes(snapshot.causes)
        self._upstreams.apply_snapshot(
            snapshot.upstreams, snapshot.cursor, age_seconds=ages[ListName.UPSTREAMS]
        )
        # Departures are not ordered by the position of the list.
        self._apply_departures(
            [
                Departure(row.instance, row.record.incarnation)
                for row in snapshot.upstreams
                if row.record is not None and row.record.state is UpstreamState.LEAVING
            ]
        )
        self._apply_routing(snapshot, ages[ListName.ROUTING])
        self._reports.record_reports(reports)
        if self._peers is not None and snapshot.peers:
            self._peers.apply_snapshot(
                snapshot.peers, is_complete=snapshot.has_all_peers
            )
        return before != (self._version, self._upstreams.cursor)

    def _apply_routing(self, snapshot: Snapshot, age_seconds: float) -> None:
        """Apply the configuration in a snapshot, or the differences that lead to it."""
        routing = snapshot.routing
        if routing is None:
            if not snapshot.differences:
                return
            # Those that don't fit are not wanted in later snapshots.
            self._accepts_differences = self._configuration.apply_peer_differences(
                snapshot.differences,
                source=ConfigurationSource.SNAPSHOT,
                age_seconds=age_seconds,
            )
        elif routing.version > self._version:
            self._accepts_differences = True
            self._configuration.apply_peer_configuration(
                RoutingTable(content=routing),
                source=ConfigurationSource.SNAPSHOT,
                age_seconds=age_seconds,
            )
