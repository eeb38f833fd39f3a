"""
Tunnels of an entry
===================

Connects an entry to the package ``damasklead.tunnels``: who helps, which upstreams
there are, and how much room the tunnels of other entries get.
"""

import math
import random
from collections.abc import Callable, Iterable

import gevent

from damasklead import logs
from damasklead.clock import Clock
from damasklead.daemon.metrics import Metrics
from damasklead.descriptor_budget import TUNNEL_DESCRIPTORS, DescriptorBudget
from damasklead.ids import DataCentre, InstanceId, ServiceName
from damasklead.membership import Member, Membership
from damasklead.memory_budget import MemoryAccount
from damasklead.settings import Settings
from damasklead.tunnels.dialer import TunnelDialer
from damasklead.tunnels.helpers import HelperRecord, Helpers
from damasklead.tunnels.reachability import Reachability
from damasklead.tunnels.server import TunnelServer
from damasklead.tunnels.trials import run_trials
from damasklead.upstreams import ConnectionPool
from damasklead.upstreams.base import STATUS_TARGET
from damasklead.upstreams.transport import connect_to_upstream
from damasklead.util import split_address

__all__ = ["EntryTunnels"]

CLOSE_INTERVAL_SECONDS = 0.5
# Upstreams that are tried to find out whether a cut or a crash broke a connection.
MAX_TRIED = 8


class EntryTunnels:
    """
    Tunnels through other entries, and those of other entries through this one.

    Parameters
    ----------
    settings : Settings
        Of the entry, with an address for tunnels.
    entry_service : ServiceName
        Service under which entries are listed.
    membership : Membership
    list_upstreams : callable
        Returns the upstreams that the entry sends requests to.
    list_services : callable
        Returns the names of all configured services.
    is_stopping : callable
        Returns whether the process is stopping.
    memory : MemoryAccount
        What is held for callers, and for tunnels.
    descriptors : DescriptorBudget
    body_limit : int
        Bytes that all bodies of upstreams hold which are being read completely.
    metrics : Metrics
    clock : Clock
    """

    def __init__(
        self,
        *,
        settings: Settings,
        entry_service: ServiceName,
        membership: Membership,
        list_upstreams: Callable[[], Iterable[Member]],
        list_services: Callable[[], Iterable[ServiceName]],
        is_stopping: Callable[[], bool],
        memory: MemoryAccount,
        descriptors: DescriptorBudget,
        body_limit: int,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        assert settings.listen.tunnels is not None
        self._instance = InstanceId(settings.instance)
        self._entry_service = entry_service
        self._membership = membership
        self._list_upstreams = list_upstreams
        self._list_services = list_services
        self._descriptors = descriptors
        self._max_connections = descriptors.upstream_connections
        self._random = random.Random(settings.instance)
        self._open_connection = connect_to_upstream
        self._reachability = Reachability(
            clock=clock,
            get_replica_count=lambda: len(self._list_addresses()),
            on_change=self._log_change,
        )
        self._dialer = TunnelDialer(
            reachability=self._reachability,
            helpers=Helpers(
                instance=self._instance,
                data_centre=DataCentre(settings.data_centre),
                clock=clock,
            ),
            get_peers=self._list_helpers,
            clock=clock,
            journal=logs,
            probe_target=STATUS_TARGET,
            open_connection=self._open_connection,
        )
        self._connections = ConnectionPool(
            max_connections=self._max_connections,
            dialer=self._dialer,
            body_limit=body_limit,
            get_reserved_count=lambda: TUNNEL_DESCRIPTORS * self.open_count,
        )
        self._server = TunnelServer(
            address=settings.listen.tunnels,
            reachability=self._reachability,
            is_peer=self._is_entry,
            is_replica=self._is_upstream,
            is_stopping=is_stopping,
            account=memory,
            get_max_tunnels=self._compute_max_tunnels,
            clock=clock,
            journal=logs,
        )
        metrics.isolated.set_function(lambda: self._reachability.is_isolated)
        metrics.open_tunnels.set_function(lambda: self.open_count)
        metrics.tunnels_opened.set_function(lambda: self._server.opened_count)

    @property
    def connections(self) -> ConnectionPool:
        """Connections to upstreams, while this entry is isolated through others."""
        return self._connections

    @property
    def open_count(self) -> int:
        """Number of open tunnels of other entries."""
        return self._server.open_count

    def start(self) -> None:
        """Start to serve tunnels."""
        self._server.start()

    def stop(self) -> None:
        """Serve no further tunnels; open ones continue."""
        self._server.stop()

    def run_trials(self) -> None:
        """Try upstreams while the entry may be isolated, until the task is stopped."""
        run_trials(
            dialer=self._dialer,
            reachability=self._reachability,
            list_addresses=self._list_addresses,
        )

    def run_close_loop(self) -> None:
        """Close idle connections that are not to be used, until the task is stopped."""
        while True:
            gevent.sleep(CLOSE_INTERVAL_SECONDS)
            self._connections.close_unusable()

    def may_be_alive(self, address: str) -> bool:
        """
        Return whether an upstream that can't be reached may still be alive.

        That is so if another entry connects to it.  If none does, and this one reaches
        no other upstream, either, both may be cut off.
        """
        # At the same time, since a suspicion has to be taken back before it is judged.
        trial = gevent.spawn(self._reaches_another, address)
        is_reached = self._dialer.is_reached_by_others(address)
        return bool(is_reached) or not trial.get()

    def _reaches_another(self, address: str) -> bool:
        """Return whether direct connections to other upstreams can be opened."""
        others = [item for item in self._list_addresses() if item != address]
        tried = self._random.sample(others, min(MAX_TRIED, len(others)))
        trials = [gevent.spawn(self._can_connect, item) for item in tried]
        return any(trial.value for trial in gevent.joinall(trials))

    def _can_connect(self, address: str) -> bool:
        try:
            self._open_connection(address).close()
        except OSError:
            return False
        return True

    def _list_helpers(self) -> list[HelperRecord]:
        return [
            HelperRecord(
                instance=member.instance,
                address=member.tunnels,
                data_centre=member.data_centre,
            )
            for member in self._membership.find_live_members(self._entry_service)
            if member.tunnels and member.instance != self._instance
        ]

    def _list_addresses(self) -> list[str]:
        return sorted({member.address for member in self._list_upstreams()})

    def _is_entry(self, host: str) -> bool:
        """Return whether an IP address is that of an entry, also of a leaving one."""
        return any(
            host == split_address(address)[0]
            for member in self._membership.list_members(self._entry_service)
            for address in (member.address, member.tunnels)
            if address
        )

    def _is_upstream(self, address: str) -> bool:
        return any(
            member.address == address
            for service in self._list_services()
            for member in self._membership.list_members(service)
        )

    def _compute_max_tunnels(self) -> float:
        """Return the number of tunnels for which there are descriptors."""
        if math.isinf(self._max_connections):
            return math.inf
        used_count = self._max_connections - self._connections.free_count
        return self._descriptors.compute_max_tunnels(connections=int(used_count))

    def _log_change(self, is_isolated: bool) -> None:
        if is_isolated:
            logs.warning("upstreams-unreachable")
        else:
            logs.event("upstreams-reachable")
