"""
Streams of two versions in a fleet of processes
===============================================

Replicas start again under their id and address with another version, and break streams
off before their entries show it.  Callers take the streams up at any gateway.  No stream
may hold events of both versions, counted over all gateways.
"""

import random
import signal
import time
from pathlib import Path

import gevent
import pytest

from soak.callers import PATHS, RESUMABLE_PATH, Caller, ObservedResponse
from soak.guarantees import find_violations
from soak.proxy import NetworkFault
from soak.site import Cluster

GATEWAY_COUNT = 3
REPLICA_COUNT = 4
CALLER_COUNT = 24
ROUND_COUNT = 4
# Time from a start until the replica's entry shows it.
UNLISTED_SECONDS = 1.0
PAUSE_SECONDS = 1.4
START_TIMEOUT_SECONDS = 30.0
PATH_WEIGHTS = tuple(float(path == RESUMABLE_PATH) for path in PATHS)


class StreamFleet:
    """
    Gateway processes, replicas, and callers that send resumable streams.

    Attributes
    ----------
    responses : list of ObservedResponse
        What the callers got.
    """

    def __init__(self, folder: Path) -> None:
        self.responses: list[ObservedResponse] = []
        self.cluster = Cluster(
            folder=folder, gateways=GATEWAY_COUNT, replicas=REPLICA_COUNT, seed=1
        )
        self._tasks = [gevent.spawn(self.cluster.monitor_gateways)]

    def start(self) -> None:
        for name in self.cluster.gateways:
            self.cluster.start_gateway(name)
        end = time.monotonic() + START_TIMEOUT_SECONDS
        while len(self.cluster.list_ready_gateways()) < GATEWAY_COUNT:
            assert time.monotonic() < end
            gevent.sleep(0.05)
        self._tasks += [
            gevent.spawn(
                Caller(
                    name=f"caller-{number}",
                    ports=self.cluster.get_caller_ports(),
                    list_ready_gateways=lambda: self.cluster.gateways,
                    responses=self.responses,
                    seed=number,
                    path_weights=PATH_WEIGHTS,
                ).run
            )
            for number in range(CALLER_COUNT)
        ]

    def stop(self) -> None:
        gevent.killall(self._tasks)
        self.cluster.close()

    def restart_replicas(self, trouble: str) -> None:
        """Start replicas again, with trouble at one gateway that ends with them."""
        source = random.Random(1)
        gateway = self.cluster.gateways[0]
        proxy = self.cluster.store_proxies[gateway]
        for name in source.sample(sorted(self.cluster.replicas), REPLICA_COUNT):
            if trouble == "paused":
                self.cluster.send_signal(gateway, signal.SIGSTOP)
            elif trouble == "cut off":
                proxy.set_fault(NetworkFault.STALL)
            restart = gevent.spawn(
                self.cluster.restart_replica, name, unlisted_seconds=UNLISTED_SECONDS
            )
            gevent.sleep(PAUSE_SECONDS)
            self.cluster.send_signal(gateway, signal.SIGCONT)
            restart.get()
            # The streams that began meanwhile break off.
            self.cluster.proxies[name].reset_connections()
            gevent.sleep(0.5)
            proxy.set_fault(NetworkFault.NONE)


@pytest.mark.parametrize("trouble", ["none", "paused", "cut off"])
def test_no_stream_joins_two_versions(trouble: str, tmp_path: Path) -> None:
    fleet = StreamFleet(tmp_path)
    try:
        fleet.start()
        gevent.sleep(1.0)
        fleet.restart_replicas(trouble)
    finally:
        fleet.stop()
    cluster = fleet.cluster
    violations = find_violations(fleet.responses, cluster.executions, cluster.exits)
    assert not [
        (item, cluster.find_log_lines(item.attempt))
        for item in violations
        if "version" in item.guarantee
    ]
    taken_up = [item for item in fleet.responses if item.events_before]
    gone_on = [item for item in taken_up if item.status == 200]
    assert taken_up and gone_on
    print(f"{trouble}: {len(taken_up)} taken up, {len(gone_on)} went on")
