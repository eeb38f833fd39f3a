"""
Bootstrap
=========

Asks other gateways for what they know while the platform's store tells nothing.
"""

import random
from collections.abc import Callable

import gevent

from damasklead.gateway.journal import Journal
from damasklead.gateway.snapshot import Snapshot, SnapshotError, fetch_snapshot
from damasklead.gateway.upstream_http import ConnectionPool

__all__ = ["Bootstrap"]

# The store answers within milliseconds when it is there.
ASK_SECONDS = 0.25


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

    def run(self) -> None:
        """Ask one seed after the other until a configuration is known."""
        while self._seeds:
            gevent.sleep(ASK_SECONDS)
            if self._done():
                return
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
