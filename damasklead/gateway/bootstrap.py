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

__all__ = ["Bootstrap", "CatchUp"]

# Time between two rounds of asking.
ASK_SECONDS = 0.25
# The store is asked as well after so long, when a seed does not even refuse: a machine
# without power does not, and one that knows anything answers within some milliseconds.
PATIENCE_SECONDS = 0.05
# Time between two questions for a newer configuration.
CATCH_UP_SECONDS = 0.5


class Bootstrap:
    """
    The search for a first configuration.

    Parameters
    ----------
    seeds : list of str
        Operators' addresses of other gateways; any of them may be down.
    done : callable
        Whether a configuration is known.
    take : callable
        Is given what another gateway knows.
    connections : ConnectionPool
    journal : Journal
    """

    def __init__(
        self,
        *,
        seeds: list[str],
        done: Callable[[], bool],
        take: Callable[[Snapshot], None],
        connections: ConnectionPool,
        journal: Journal,
    ) -> None:
        self._seeds = seeds
        self._done = done
        self._take = take
        self._connections = connections
        self._journal = journal
        self._over = Event()
        if not seeds:
            self._over.set()

    def wait(self) -> None:
        """Wait until another gateway has told what it knows, but not for long."""
        self._over.wait(timeout=PATIENCE_SECONDS)
        self._over.set()

    def run(self) -> None:
        """Ask all seeds, then one after the other until a configuration is known."""
        asked = [gevent.spawn(self._ask, seed) for seed in self._seeds]
        for _ in gevent.iwait(asked):
            if self._done():
                break
        self._over.set()
        while not self._done():
            gevent.sleep(ASK_SECONDS)
            if not self._done() and self._seeds:
                self._ask(random.choice(self._seeds))

    def _ask(self, seed: str) -> None:
        try:
            snapshot = fetch_snapshot(seed, self._connections)
        except SnapshotError as error:
            self._journal.event("seed-unavailable", seed=seed, cause=str(error))
            return
        if self._done():
            return
        self._journal.event(
            "snapshot-taken",
            seed=seed,
            version=snapshot.routing.version,
            replicas=len(snapshot.upstreams),
        )
        self._take(snapshot)


class CatchUp:
    """
    Gets what another gateway knows when the platform's store has forgotten it.

    Parameters
    ----------
    take : callable
        Is given what another gateway knows.
    connections : ConnectionPool
    clock : Clock
    journal : Journal
    """

    def __init__(
        self,
        *,
        take: Callable[[Snapshot], None],
        connections: ConnectionPool,
        clock: Clock,
        journal: Journal,
    ) -> None:
        self._take = take
        self._connections = connections
        self._clock = clock
        self._journal = journal
        self._asked_at = float("-inf")

    def ask(self, address: str) -> None:
        """Ask a gateway in the background, unless one was asked just now."""
        now = self._clock.now()
        if not address or now - self._asked_at < CATCH_UP_SECONDS:
            return
        self._asked_at = now
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
        self._take(snapshot)
