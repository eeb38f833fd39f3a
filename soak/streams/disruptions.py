"""
Disruptions
===========

What may end in the middle of streams, or hide that it has.
"""

import random
import signal
from collections.abc import Callable

import gevent

from soak.partition import PartitionKind
from soak.streams.cluster import ReplicaProcess, StreamCluster

__all__ = ["DISRUPTIONS", "Disruption"]

# Time from a crash until the entry is gone, and another replica comes.
UNLIST_SECONDS = 2.0
DRAIN_SECONDS = 2.0
# Time that a standby process needs until it waits for its port.
STANDBY_SECONDS = 0.8
ENTRY_DELAY_SECONDS = 1.0
CUT_KINDS = (PartitionKind.SILENT, PartitionKind.RESET, PartitionKind.REFUSE)

Disruption = Callable[[StreamCluster, random.Random], None]


def _pick_replicas(
    cluster: StreamCluster, source: random.Random, count: int
) -> list[ReplicaProcess]:
    running = cluster.running_replicas
    return source.sample(running, min(count, max(1, len(running) - 2)))


def _replace(cluster: StreamCluster, replica: ReplicaProcess) -> None:
    replica.is_listed = False
    gevent.sleep(UNLIST_SECONDS)
    cluster.unlist_replica(replica)
    cluster.add_replica()


def _crash(
    cluster: StreamCluster, replicas: list[ReplicaProcess], how: signal.Signals
) -> None:
    for replica in replicas:
        replica.send(how)
    gevent.joinall([gevent.spawn(_replace, cluster, item) for item in replicas])


def _crash_one(cluster: StreamCluster, source: random.Random) -> None:
    _crash(cluster, _pick_replicas(cluster, source, 1), signal.SIGKILL)


def _crash_several(cluster: StreamCluster, source: random.Random) -> None:
    count = source.choice((2, 3))
    _crash(cluster, _pick_replicas(cluster, source, count), signal.SIGKILL)


def _crash_slowly(cluster: StreamCluster, source: random.Random) -> None:
    _crash(cluster, _pick_replicas(cluster, source, 1), signal.SIGUSR1)


def _restart_at_once(cluster: StreamCluster, source: random.Random) -> None:
    """Crash a replica whose next start listens at its address a millisecond later."""
    (replica,) = _pick_replicas(cluster, source, 1)
    successor = cluster.start_replica(replica.name, replica.port)
    gevent.sleep(STANDBY_SECONDS)
    replica.send(signal.SIGKILL)
    gevent.sleep(ENTRY_DELAY_SECONDS)
    replica.is_listed = False
    cluster.list_replica(successor)


def _reuse_address(cluster: StreamCluster, source: random.Random) -> None:
    """Crash a replica whose address another replica has a millisecond later."""
    (replica,) = _pick_replicas(cluster, source, 1)
    name = f"{replica.name}-next"
    successor = cluster.start_replica(name, replica.port)
    gevent.sleep(STANDBY_SECONDS)
    replica.send(signal.SIGKILL)
    gevent.sleep(ENTRY_DELAY_SECONDS)
    cluster.unlist_replica(replica)
    cluster.list_replica(successor)


def _freeze_replica(cluster: StreamCluster, source: random.Random) -> None:
    (replica,) = _pick_replicas(cluster, source, 1)
    replica.send(signal.SIGSTOP)
    gevent.sleep(source.uniform(0.5, 4.0))
    replica.send(signal.SIGCONT)


def _freeze_and_crash(cluster: StreamCluster, source: random.Random) -> None:
    (replica,) = _pick_replicas(cluster, source, 1)
    replica.send(signal.SIGSTOP)
    gevent.sleep(source.uniform(0.5, 2.0))
    _crash(cluster, [replica], signal.SIGKILL)


def _release(cluster: StreamCluster, source: random.Random) -> None:
    """Replace a replica that drains and then exits, whatever still runs there."""
    (replica,) = _pick_replicas(cluster, source, 1)
    cluster.add_replica()
    cluster.list_replica(replica, state="draining")
    gevent.sleep(DRAIN_SECONDS)
    replica.send(signal.SIGKILL)
    cluster.unlist_replica(replica)


def _kill_gateway(cluster: StreamCluster, source: random.Random) -> None:
    _end_gateway(cluster, source, signal.SIGKILL)


def _stop_gateway(cluster: StreamCluster, source: random.Random) -> None:
    _end_gateway(cluster, source, signal.SIGTERM)


def _end_gateway(
    cluster: StreamCluster, source: random.Random, how: signal.Signals
) -> None:
    name = source.choice(cluster.gateways)
    cluster.send_signal(name, how)
    cluster.wait_until_gateway_ended(name)
    gevent.sleep(0.5)
    # Another disruption that ended the same process may have started it again.
    if not cluster.is_running(name):
        cluster.start_gateway(name)


def _freeze_gateway(cluster: StreamCluster, source: random.Random) -> None:
    name = source.choice(cluster.gateways)
    cluster.send_signal(name, signal.SIGSTOP)
    gevent.sleep(source.uniform(0.5, 4.0))
    cluster.send_signal(name, signal.SIGCONT)


def _freeze_gateway_over_crash(cluster: StreamCluster, source: random.Random) -> None:
    """Stop a gateway, and restart a replica at its address meanwhile."""
    name = source.choice(cluster.gateways)
    (replica,) = _pick_replicas(cluster, source, 1)
    successor = cluster.start_replica(replica.name, replica.port)
    gevent.sleep(STANDBY_SECONDS)
    cluster.send_signal(name, signal.SIGSTOP)
    gevent.sleep(0.2)
    replica.send(signal.SIGKILL)
    replica.is_listed = False
    cluster.list_replica(successor)
    gevent.sleep(1.0)
    cluster.send_signal(name, signal.SIGCONT)


def _cut_gateway(cluster: StreamCluster, source: random.Random) -> None:
    name = source.choice(cluster.gateways)
    cluster.partition_gateway(name, source.choice(CUT_KINDS))
    gevent.sleep(source.uniform(1.0, 4.0))
    cluster.partition_gateway(name, PartitionKind.NONE)


def _cut_gateway_over_crash(cluster: StreamCluster, source: random.Random) -> None:
    """Refuse a gateway's new connections, and crash a replica meanwhile."""
    name = source.choice(cluster.gateways)
    cluster.partition_gateway(name, PartitionKind.REFUSE)
    gevent.sleep(1.0)
    crashed = _pick_replicas(cluster, source, 1)
    for replica in crashed:
        replica.send(signal.SIGKILL)
    gevent.sleep(1.0)
    cluster.partition_gateway(name, PartitionKind.NONE)
    gevent.joinall([gevent.spawn(_replace, cluster, item) for item in crashed])


def _do_nothing(_cluster: StreamCluster, _source: random.Random) -> None:
    gevent.sleep(1.0)


DISRUPTIONS: dict[str, Disruption] = {
    "none": _do_nothing,
    "replica-crashes": _crash_one,
    "replicas-crash": _crash_several,
    "replica-crashes-slowly": _crash_slowly,
    "replica-restarts-at-once": _restart_at_once,
    "address-is-reused": _reuse_address,
    "replica-freezes": _freeze_replica,
    "frozen-replica-crashes": _freeze_and_crash,
    "release": _release,
    "gateway-is-killed": _kill_gateway,
    "gateway-stops": _stop_gateway,
    "gateway-freezes": _freeze_gateway,
    "gateway-freezes-over-restart": _freeze_gateway_over_crash,
    "gateway-is-cut": _cut_gateway,
    "gateway-is-cut-over-crash": _cut_gateway_over_crash,
}
