"""
Bootstrap
=========

Fetches the configuration and the replicas from another gateway when this one starts.
It is ready sooner, also while the platform's store is unreachable, and the store is
spared the calls of many gateways that start at the same time.
"""

import random
from collections.abc import Callable

import gevent
from gevent.event import Event

from damasklead.gateway.journal import Journal
from damasklead.gateway.snapshot import Snapshot, SnapshotError, fetch_snapshot
from damasklead.gateway.upstream_http import ConnectionPool

__all__ = ["Bootstrap"]

# Interval between fetches after the first round has brought no configuration.
SEED_RETRY_SECONDS = 0.25
# The store is polled as well after this time.  A machine without power doesn't even
# refuse the connection, and a gateway that has a configuration responds within some
# milliseconds.
MAX_SEED_WAIT_SECONDS = 0.05


class Bootstrap:
    """
    The search for a first configuration among the seeds.

    Parameters
    ----------
    seeds : list of str
        Addresses of the operators' listeners of other gateways; any may be down.
    is_configured : callable
        Returns whether this gateway has a configuration.
    apply_snapshot : callable
        Called with the first snapshot of another gateway.
    connections : ConnectionPool
    journal : Journal
    """

    def __init__(
        self,
        *,
        seeds: list[str],
        is_configured: Callable[[], bool],
        apply_snapshot: Callable[[Snapshot], object],
        connections: ConnectionPool,
        journal: Journal,
    ) -> None:
        self._seeds = seeds
        self._is_configured = is_configured
        self._apply_snapshot = apply_snapshot
        self._connections = connections
        self._journal = journal
        self._first_round_ended = Event()
        if not seeds:
            self._first_round_ended.set()

    def wait_for_seeds(self) -> None:
        """
        Wait for the end of the first round, at most ``MAX_SEED_WAIT_SECONDS``.

        The round ends at the first snapshot, or when all seeds have failed.
        """
        self._first_round_ended.wait(timeout=MAX_SEED_WAIT_SECONDS)
        self._first_round_ended.set()

    def run(self) -> None:
        """Try all seeds at once, then random ones until there is a configuration."""
        fetches = [gevent.spawn(self._fetch_from, seed) for seed in self._seeds]
        for _ in gevent.iwait(fetches):
            if self._is_configured():
                break
        self._first_round_ended.set()
        while not self._is_configured():
            gevent.sleep(SEED_RETRY_SECONDS)
            if not self._is_configured() and self._seeds:
                self._fetch_from(random.choice(self._seeds))

    def _fetch_from(self, seed: str) -> None:
        try:
            snapshot, _ = fetch_snapshot(seed, self._connections)
        except SnapshotError as error:
            self._journal.event("seed-unavailable", seed=seed, cause=str(error))
            return
        if self._is_configured():
            return
        self._journal.event(
            "snapshot-taken",
            seed=seed,
            version=0 if snapshot.routing is None else snapshot.routing.version,
            replicas=len(snapshot.upstreams),
        )
        self._apply_snapshot(snapshot)
