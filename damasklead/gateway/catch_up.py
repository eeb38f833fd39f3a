"""
Catch-up
========

Fetches from another gateway what this one lacks: the configuration, the list of
replicas, their limits and the causes of crashes.  So whatever one gateway has reaches
all that it can reach, also while the platform's store turns some of them away.
"""

from collections.abc import Callable

import gevent

from damasklead.clock import Clock
from damasklead.gateway.catch_up_schedule import (
    CatchUpSchedule,
    Fetch,
    FetchOutcome,
)
from damasklead.gateway.journal import Journal
from damasklead.gateway.snapshot import (
    KnownState,
    Snapshot,
    SnapshotBusyError,
    SnapshotError,
    fetch_snapshot,
)
from damasklead.gateway.upstream_http import ConnectionPool

__all__ = ["CatchUp"]

# Interval of checks whether a fetch is due.
CHECK_INTERVAL_SECONDS = 0.05


class CatchUp:
    """
    The task that fetches snapshots from other gateways when they are due.

    Parameters
    ----------
    schedule : CatchUpSchedule
    get_known_state : callable
        Returns what this gateway has, which a snapshot needn't contain; with ``True``
        all replicas, which show departures, and all events are wanted.
    get_address : callable
        Returns the address of the operators' listener of a gateway, empty without one.
    apply_snapshot : callable
        Called with a snapshot and the seconds since it was requested; returns whether
        it contained anything newer.
    connections : ConnectionPool
    clock : Clock
    journal : Journal
    instance : str
        Name of this gateway.
    on_fetch : callable
        Called with the outcome of each fetch.
    """

    def __init__(
        self,
        *,
        schedule: CatchUpSchedule,
        get_known_state: Callable[[bool], KnownState],
        get_address: Callable[[str], str],
        apply_snapshot: Callable[[Snapshot, float], bool],
        connections: ConnectionPool,
        clock: Clock,
        journal: Journal,
        instance: str,
        on_fetch: Callable[[FetchOutcome], None] = lambda outcome: None,
    ) -> None:
        self._schedule = schedule
        self._get_known_state = get_known_state
        self._get_address = get_address
        self._apply_snapshot = apply_snapshot
        self._connections = connections
        self._clock = clock
        self._journal = journal
        self._instance = instance
        self._on_fetch = on_fetch

    def run(self) -> None:
        """Fetch snapshots when they are due, forever."""
        while True:
            fetch = self._schedule.next_fetch()
            if fetch is None:
                gevent.sleep(CHECK_INTERVAL_SECONDS)
                continue
            outcome = self._fetch(fetch)
            self._schedule.record_outcome(fetch, outcome)
            self._on_fetch(outcome)

    def _fetch(self, fetch: Fetch) -> FetchOutcome:
        address = self._get_address(fetch.peer)
        if not address:
            return FetchOutcome.FAILED
        requested_at = self._clock.now()
        known = self._get_known_state(fetch.needs_events)
        try:
            snapshot, size = fetch_snapshot(
                address, self._connections, known=known, instance=self._instance
            )
        except SnapshotBusyError as error:
            self._schedule.record_referral(error.referral)
            return FetchOutcome.BUSY
        except SnapshotError as error:
            self._journal.event(
                "peer-unavailable", peer=fetch.peer, address=address, cause=str(error)
            )
            return FetchOutcome.FAILED
        elapsed = self._clock.now() - requested_at
        try:
            is_newer = self._apply_snapshot(snapshot, elapsed)
        except Exception as error:
            # Other programs may send a snapshot that decodes as one of a gateway.
            self._journal.event(
                "snapshot-failed", peer=fetch.peer, address=address, cause=repr(error)
            )
            return FetchOutcome.FAILED
        if not is_newer:
            return FetchOutcome.NOTHING_NEWER
        self._journal.event(
            "caught-up",
            peer=fetch.peer,
            cause=fetch.cause.value,
            configuration_before=known.configuration,
            configuration=snapshot.configuration,
            replicas=len(snapshot.upstreams),
            bytes=size,
            seconds=elapsed,
        )
        return FetchOutcome.NEWER
