"""
Bootstrap
=========

Asks other gateways for what they know when this one starts: it is in service sooner,
also while the platform's store is away, and the store is spared the calls of many
gateways that start together.
"""

import random
from collections.abc import Callable

import gevent
from gevent.event import Event

from damasklead.clock import Clock
from damasklead.gateway.journal import Journal
from damasklead.gateway.snapshot import Snapshot, SnapshotError, fetch_snapshot
from damasklead.gateway.upstream_http import ConnectionPool

__all__ = ["Bootstrap", "ConfigurationRecovery"]

# Time between two rounds of asking.
SEED_RETRY_SECONDS = 0.25
# The store is asked as well after so long, when a seed does not even refuse: a machine
# without power does not, and one that knows anything answers within some milliseconds.
MAX_SEED_WAIT_SECONDS = 0.05
# Time between two questions for a newer configuration.
MIN_FETCH_INTERVAL_SECONDS = 0.5


class Bootstrap:
    """
    The search for a first configuration.

    Parameters
    ----------
    seeds : list of str
        Operators' addresses of other gateways; any of them may be down.
    is_configured : callable
        Whether a configuration is known.
    apply_snapshot : callable
        Is given what another gateway knows.
    connections : ConnectionPool
    journal : Journal
    """

    def __init__(
        self,
        *,
        seeds: list[str],
        is_configured: Callable[[], bool],
        apply_snapshot: Callable[[Snapshot], None],
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
        """Wait until another gateway has told what it knows, but not for long."""
        self._first_round_ended.wait(timeout=MAX_SEED_WAIT_SECONDS)
        self._first_round_ended.set()

    def run(self) -> None:
        """Ask all seeds, then one after the other until a configuration is known."""
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
            snapshot = fetch_snapshot(seed, self._connections)
        except SnapshotError as error:
            self._journal.event("seed-unavailable", seed=seed, cause=str(error))
            return
        if self._is_configured():
            return
        self._journal.event(
            "snapshot-taken",
            seed=seed,
            version=snapshot.routing.version,
            replicas=len(snapshot.upstreams),
        )
        self._apply_snapshot(snapshot)


class ConfigurationRecovery:
    """
    Gets what another gateway knows when the platform's store has forgotten it.

    Parameters
    ----------
    apply_snapshot : callable
        Is given what another gateway knows.
    connections : ConnectionPool
    clock : Clock
    journal : Journal
    """

    def __init__(
        self,
        *,
        apply_snapshot: Callable[[Snapshot], None],
        connections: ConnectionPool,
        clock: Clock,
        journal: Journal,
    ) -> None:
        self._apply_snapshot = apply_snapshot
        self._connections = connections
        self._clock = clock
        self._journal = journal
        self._fetched_at = float("-inf")

    def fetch_from(self, address: str) -> None:
        """Ask a gateway in the background, unless one was asked just now."""
        now = self._clock.now()
        if not address or now - self._fetched_at < MIN_FETCH_INTERVAL_SECONDS:
            return
        self._fetched_at = now
        gevent.spawn(self._fetch, address)

    def _fetch(self, address: str) -> None:
        try:
            snapshot = fetch_snapshot(address, self._connections)
        except SnapshotError as error:
            self._journal.event("peer-unavailable", peer=address, cause=str(error))
            return
        self._journal.event(
            "newer-configuration", peer=address, version=snapshot.routing.version
        )
        self._apply_snapshot(snapshot)
