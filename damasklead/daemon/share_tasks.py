"""
Share tasks
===========

Sends this entry's demands to the coordinators of its pools and, for the pools that it
coordinates, polls the replicas' load reports and sends grants.
"""

import random

import gevent
import msgspec

from damasklead.configuration import Service
from damasklead.daemon.entry import Entry
from damasklead.daemon.peers import Peers
from damasklead.daemon.pools import Pool
from damasklead.membership import Member
from damasklead.sharing import Coordinator, compute_share_interval
from damasklead.time_limits import time_limit
from damasklead.upstreams import UpstreamError

__all__ = ["ShareTasks"]

JITTER_FRACTION = 0.1  # of the share interval
POLL_TIMEOUT_SECONDS = 1.0


class ShareTasks:
    """
    The periodic tasks for sharing the capacity of pools among entries.

    Parameters
    ----------
    entry : Entry
        State of this entry.
    peers : Peers
        Connections to the other entries.
    coordinators : dict
        Coordinators of the pools that this entry coordinates, by pool id.
    """

    def __init__(
        self, *, entry: Entry, peers: Peers, coordinators: dict[str, Coordinator]
    ) -> None:
        self._entry = entry
        self._peers = peers
        self._coordinators = coordinators
        self._random = random.Random(entry.instance)

    def run_demand_loop(self) -> None:
        """Send demands in each share interval until the task is stopped."""
        while True:
            self._sleep_interval()
            for pool in list(self._entry.pools.values()):
                self._send_demand(pool)
            self._peers.close_idle_connections()
            self._entry.check_coordinators()

    def run_coordinator_loop(self) -> None:
        """Send grants in each share interval until the task is stopped."""
        while True:
            self._sleep_interval()
            for pool in list(self._entry.pools.values()):
                if pool.coordinator == self._entry.instance:
                    self._coordinate_pool(pool)
                else:
                    self._coordinators.pop(pool.dispatcher.pool, None)

    def _sleep_interval(self) -> None:
        """Sleep for a share interval with jitter."""
        interval = compute_share_interval(len(self._entry.find_live_entries()))
        self._entry.clock.sleep(
            interval * (1 + self._random.uniform(-JITTER_FRACTION, JITTER_FRACTION))
        )

    def _send_demand(self, pool: Pool) -> None:
        """Send the demand on a pool to its coordinator, which may be this entry."""
        coordinator = pool.coordinator
        demand = pool.dispatcher.build_demand()
        if coordinator == self._entry.instance:
            self._peers.handle_body(self._entry.instance, demand)
        elif coordinator is not None:
            self._peers.send_message(coordinator, demand)

    def _coordinate_pool(self, pool: Pool) -> None:
        """Poll the replicas of a pool and send the entries their grants."""
        coordinator = self._coordinators.get(pool.dispatcher.pool)
        if coordinator is None:
            coordinator = Coordinator(
                pool=pool.dispatcher.pool, clock=self._entry.clock
            )
            self._coordinators[pool.dispatcher.pool] = coordinator
        coordinator.set_targets(
            token_gap_targets=_get_token_gap_targets(pool.service),
            min_shares=_sum_minimum_shares(pool.service),
        )
        members = self._entry.find_pool_members(pool.service)
        coordinator.update_replicas(member.instance for member in members)
        polls = [
            gevent.spawn(self._poll_replica, pool, coordinator, member)
            for member in members
        ]
        with time_limit(POLL_TIMEOUT_SECONDS):
            gevent.joinall(polls)
        for entry, grant in coordinator.allocate_slots().items():
            if entry == self._entry.instance:
                self._peers.handle_body(entry, grant)
            else:
                self._peers.send_message(entry, grant)

    def _poll_replica(
        self, pool: Pool, coordinator: Coordinator, member: Member
    ) -> None:
        """Record a replica's load report, or that it is leaving."""
        try:
            status = pool.upstream.fetch_status(member.address)
        except UpstreamError:
            return
        self._entry.membership.record_incarnation(member.instance, status.incarnation)
        if status.leaving:
            self._entry.mark_leaving(
                member.instance, status.incarnation, why="its load report announces it"
            )
        elif status.load is not None:
            report = msgspec.structs.replace(
                status.load, models=_get_model_names(status.models)
            )
            coordinator.record_report(member.instance, report)


def _get_model_names(names: tuple[str, ...]) -> tuple[str, ...]:
    """
    Return the names of models without their versions.

    While a version is being replaced, replicas with either version serve requests.

    Parameters
    ----------
    names : tuple of str
        Loaded models, each as ``model@version``.
    """
    return tuple(sorted({name.partition("@")[0] for name in names}))


def _get_token_gap_targets(service: Service) -> dict[int, float]:
    """Return the lowest token gap target of each tier, in seconds."""
    targets: dict[int, float] = {}
    for item in service.classes:
        if item.token_gap_target is not None:
            targets[item.tier] = min(
                item.token_gap_target, targets.get(item.tier, item.token_gap_target)
            )
    return targets


def _sum_minimum_shares(service: Service) -> dict[int, float]:
    """Return the sum of the classes' minimum shares in each tier, as fractions."""
    shares: dict[int, float] = {}
    for item in service.classes:
        shares[item.tier] = shares.get(item.tier, 0.0) + item.minimum_share
    return shares
