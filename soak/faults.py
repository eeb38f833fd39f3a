"""
Faults
======

The seeded schedule of a run: which faults are injected, when, and for how long.
"""

import random
import signal
import time
from collections.abc import Callable

import gevent
import msgspec

from soak.brittleness import Brittleness
from soak.partition import PartitionKind
from soak.proxy import NetworkFault, Proxy
from soak.replicas import NamedLimit
from soak.site import Cluster

__all__ = [
    "FAULTS",
    "Fault",
    "has_crashing_requests",
    "make_schedule",
    "start_faults",
]

# Callers, like a load balancer, see a gateway's readiness with a delay, so a gateway
# that ended stays down for this time.
RESTART_DELAY_SECONDS = 0.5
# The backup is older than the start of the outage by less than this many seconds.
MAX_EXTRA_BACKUP_AGE_SECONDS = 6
# Time from the restore until replicas and operators write their rows again.  Replicas
# write again within about two seconds.
REWRITE_DELAY_SECONDS = 1.0
STORE_RESTORED = "store comes back from a copy"
# Restores of the store in a run that has any.
RESTORE_COUNT = 2
LIMIT_NAMED = "replica names a limit"
REPLICAS_BRITTLE = "replicas are brittle"
REPLICA_RESTARTED = "replica starts again before its entry shows it"
# Such starts in a run that has any.
REPLICA_RESTART_COUNT = 3
GATEWAYS_CUT_OFF = "gateways are cut off from all replicas"
# Such partitions in a run that has any.
PARTITION_COUNT = 2
PARTITION_KINDS = [kind for kind in PartitionKind if kind is not PartitionKind.NONE]
# Faults that have random sources of their own.
SEPARATE_FAULTS = frozenset(
    {STORE_RESTORED, LIMIT_NAMED, REPLICA_RESTARTED, REPLICAS_BRITTLE, GATEWAYS_CUT_OFF}
)
# A limit is named from the first part of the schedule on, and for long enough that all
# gateways must have reduced their requests.
LATEST_LIMIT_START_FRACTION = 0.2
MIN_LIMIT_SECONDS = 7.0


class Fault(msgspec.Struct, kw_only=True, frozen=True):
    """
    One fault of a schedule.

    Attributes
    ----------
    start_seconds : float
        Start of the fault, in seconds from the start of the schedule.
    kind : str
        Key in ``FAULTS``.
    target_number : int
        Selects the gateway or replica, modulo their number.
    duration_seconds : float
        Duration of the fault in seconds.
    """

    start_seconds: float
    kind: str
    target_number: int
    duration_seconds: float


def make_schedule(seed: int, *, seconds: float, count: int) -> list[Fault]:
    """Return the faults of a seed by start time; faults may overlap."""
    kinds = sorted(FAULTS.keys() - SEPARATE_FAULTS)
    faults = _draw_faults(random.Random(seed), kinds, seconds=seconds, count=count)
    # Restores have a random source of their own, so that the other faults of a seed are
    # the same as before restores were added.
    source = random.Random(f"{STORE_RESTORED} {seed}")
    restore_count = source.choice((0, RESTORE_COUNT))
    faults += _draw_faults(
        source, [STORE_RESTORED], seconds=seconds, count=restore_count
    )
    source = random.Random(f"{REPLICA_RESTARTED} {seed}")
    restart_count = source.choice((0, REPLICA_RESTART_COUNT))
    faults += _draw_faults(
        source, [REPLICA_RESTARTED], seconds=seconds, count=restart_count
    )
    source = random.Random(f"{GATEWAYS_CUT_OFF} {seed}")
    partition_count = source.choice((0, PARTITION_COUNT))
    faults += _draw_faults(
        source, [GATEWAYS_CUT_OFF], seconds=seconds, count=partition_count
    )
    source = random.Random(f"{LIMIT_NAMED} {seed}")
    if source.choice((False, True)):
        faults.append(
            Fault(
                start_seconds=source.uniform(0, LATEST_LIMIT_START_FRACTION * seconds),
                kind=LIMIT_NAMED,
                target_number=source.randrange(1000),
                duration_seconds=MIN_LIMIT_SECONDS + source.uniform(0.0, 2.0),
            )
        )
    source = random.Random(f"{REPLICAS_BRITTLE} {seed}")
    if source.choice((False, True)):
        faults.append(
            Fault(
                start_seconds=source.uniform(0, LATEST_LIMIT_START_FRACTION * seconds),
                kind=REPLICAS_BRITTLE,
                target_number=source.randrange(1000),
                duration_seconds=MIN_LIMIT_SECONDS + source.uniform(0.0, 2.0),
            )
        )
    return sorted(faults, key=lambda fault: fault.start_seconds)


def has_crashing_requests(seed: int) -> bool:
    """Return whether requests of a seed's run crash the replicas that execute them."""
    return random.Random(f"crashing requests {seed}").choice((False, True))


def _draw_faults(
    source: random.Random, kinds: list[str], *, seconds: float, count: int
) -> list[Fault]:
    return [
        Fault(
            start_seconds=source.uniform(0.0, 0.8 * seconds),
            kind=source.choice(kinds),
            target_number=source.randrange(1000),
            duration_seconds=source.uniform(0.3, 2.5),
        )
        for _ in range(count)
    ]


def start_faults(cluster: Cluster, faults: list[Fault]) -> list[gevent.Greenlet]:
    """Schedule each fault at its start time; returns the greenlets that inject them."""
    return [
        gevent.spawn_later(fault.start_seconds, FAULTS[fault.kind], cluster, fault)
        for fault in faults
    ]


def _pick_gateway(cluster: Cluster, fault: Fault) -> str:
    return cluster.gateways[fault.target_number % len(cluster.gateways)]


def _list_running(cluster: Cluster) -> list[str]:
    return [name for name, replica in cluster.replicas.items() if replica.is_running]


def _pick_replica(cluster: Cluster, fault: Fault) -> str:
    # Requests may have crashed all of them.
    while not (running := _list_running(cluster)):
        gevent.sleep(0.05)
    return running[fault.target_number % len(running)]


def _stop_gateway(cluster: Cluster, fault: Fault) -> None:
    name = _pick_gateway(cluster, fault)
    cluster.send_signal(name, signal.SIGTERM)
    _restart_gateway(cluster, name)


def _kill_gateway(cluster: Cluster, fault: Fault) -> None:
    name = _pick_gateway(cluster, fault)
    cluster.send_signal(name, signal.SIGKILL)
    _restart_gateway(cluster, name)


def _restart_gateway(cluster: Cluster, name: str) -> None:
    while cluster.is_running(name):
        gevent.sleep(0.05)
    gevent.sleep(RESTART_DELAY_SECONDS)
    # Another fault that ended the same process may have restarted it.
    if not cluster.is_running(name):
        cluster.start_gateway(name)


def _pause_gateway(cluster: Cluster, fault: Fault) -> None:
    name = _pick_gateway(cluster, fault)
    cluster.send_signal(name, signal.SIGSTOP)
    gevent.sleep(fault.duration_seconds)
    cluster.send_signal(name, signal.SIGCONT)


def _reload_gateway(cluster: Cluster, fault: Fault) -> None:
    cluster.send_signal(_pick_gateway(cluster, fault), signal.SIGHUP)


def _pick_replica_proxy(cluster: Cluster, fault: Fault) -> Proxy:
    return cluster.proxies[_pick_replica(cluster, fault)]


def _pick_store_proxy(cluster: Cluster, fault: Fault) -> Proxy:
    return cluster.store_proxies[_pick_gateway(cluster, fault)]


def _make_network_fault(
    pick_proxy: Callable[[Cluster, Fault], Proxy], network_fault: NetworkFault
) -> Callable[[Cluster, Fault], None]:
    def inject(cluster: Cluster, fault: Fault) -> None:
        proxy = pick_proxy(cluster, fault)
        proxy.set_fault(network_fault, delay_seconds=fault.duration_seconds / 10)
        gevent.sleep(fault.duration_seconds)
        proxy.set_fault(NetworkFault.NONE)

    return inject


def _make_store_unavailable(cluster: Cluster, fault: Fault) -> None:
    cluster.store.is_unavailable = True
    gevent.sleep(fault.duration_seconds)
    cluster.store.is_unavailable = False


def _restore_store(cluster: Cluster, fault: Fault) -> None:
    """Make the store unavailable, then restore it from a backup."""
    cluster.store.is_unavailable = True
    gevent.sleep(fault.duration_seconds)
    cluster.store.restore_backup(
        fault.duration_seconds + fault.target_number % MAX_EXTRA_BACKUP_AGE_SECONDS
    )
    cluster.store.is_unavailable = False
    gevent.sleep(REWRITE_DELAY_SECONDS)
    cluster.rewrite_rows()


def _crash_replica(cluster: Cluster, fault: Fault) -> None:
    name = _pick_replica(cluster, fault)
    cluster.crash_replica(name)
    gevent.sleep(fault.duration_seconds)
    cluster.remove_replica(name)
    cluster.add_replica()


def _drain_replica(cluster: Cluster, fault: Fault) -> None:
    cluster.add_replica()
    name = _pick_replica(cluster, fault)
    cluster.write_replica_entry(name, state="draining")
    gevent.sleep(3.0 + fault.duration_seconds)
    cluster.remove_replica(name)


def _fail_replica(cluster: Cluster, fault: Fault) -> None:
    replica = cluster.replicas[_pick_replica(cluster, fault)]
    replica.is_rejecting = True
    gevent.sleep(fault.duration_seconds)
    replica.is_rejecting = False


def _name_limit(cluster: Cluster, fault: Fault) -> None:
    replica = cluster.replicas[_pick_replica(cluster, fault)]
    limit = NamedLimit(
        replica=replica.name,
        requests_per_second=1.0 + fault.target_number % 20 / 10,
        named_at=time.monotonic(),
    )
    cluster.limits.append(limit)
    replica.limit = limit
    gevent.sleep(fault.duration_seconds)
    replica.limit = None
    limit.ended_at = time.monotonic()


def _make_brittle(cluster: Cluster, fault: Fault) -> None:
    brittleness = Brittleness(
        limit=2 + fault.target_number % 6,
        replica_count=len(_list_running(cluster)),
        started_at=time.monotonic(),
    )
    cluster.brittle_times.append(brittleness)
    cluster.brittleness = brittleness
    gevent.sleep(fault.duration_seconds)
    cluster.brittleness = None


def _restart_replica(cluster: Cluster, fault: Fault) -> None:
    cluster.restart_replica(
        _pick_replica(cluster, fault), unlisted_seconds=fault.duration_seconds
    )


def _cut_off_gateways(cluster: Cluster, fault: Fault) -> None:
    """Cut one gateway, or all but one, off from all replicas for a time."""
    kind = PARTITION_KINDS[fault.target_number % len(PARTITION_KINDS)]
    number = fault.target_number // len(PARTITION_KINDS)
    chosen = cluster.gateways[number % len(cluster.gateways)]
    is_one = number // len(cluster.gateways) % 2 == 0
    names = [name for name in cluster.gateways if (name == chosen) == is_one]
    for name in names:
        cluster.partition_gateway(name, kind)
    gevent.sleep(fault.duration_seconds)
    for name in names:
        cluster.partition_gateway(name, PartitionKind.NONE)


def _publish_configuration(cluster: Cluster, _fault: Fault) -> None:
    cluster.publish_configuration()


# The schedule of a seed depends on the order of these texts, but for those in
# SEPARATE_FAULTS.
FAULTS: dict[str, Callable[[Cluster, Fault], None]] = {
    "configuration changes": _publish_configuration,
    "gateway is killed": _kill_gateway,
    "gateway is paused": _pause_gateway,
    "gateway is told to reload": _reload_gateway,
    "gateway is told to stop": _stop_gateway,
    GATEWAYS_CUT_OFF: _cut_off_gateways,
    LIMIT_NAMED: _name_limit,
    "replica crashes": _crash_replica,
    "replica drains": _drain_replica,
    "replica refuses": _fail_replica,
    REPLICA_RESTARTED: _restart_replica,
    REPLICAS_BRITTLE: _make_brittle,
    "replica's answers are cut": _make_network_fault(
        _pick_replica_proxy, NetworkFault.STALL_RESPONSES
    ),
    "replica's connections are reset": _make_network_fault(
        _pick_replica_proxy, NetworkFault.RESET
    ),
    "replica is slow": _make_network_fault(_pick_replica_proxy, NetworkFault.DELAY),
    "replica is silent": _make_network_fault(_pick_replica_proxy, NetworkFault.STALL),
    "store is away": _make_store_unavailable,
    STORE_RESTORED: _restore_store,
    "store is silent to one": _make_network_fault(
        _pick_store_proxy, NetworkFault.STALL
    ),
    "store is slow to one": _make_network_fault(_pick_store_proxy, NetworkFault.DELAY),
    "store loses answers to one": _make_network_fault(
        _pick_store_proxy, NetworkFault.STALL_RESPONSES
    ),
    "store resets one": _make_network_fault(_pick_store_proxy, NetworkFault.RESET),
}
