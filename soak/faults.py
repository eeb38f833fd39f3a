"""
Faults
======

The seeded schedule of a run: what goes wrong, when, and for how long.
"""

import random
import signal
from collections.abc import Callable

import gevent
import msgspec

from soak.proxy import Proxy, Trouble
from soak.site import Site

__all__ = ["FAULTS", "Fault", "play", "schedule"]

# Callers look at readiness before they stop sending, as a balancer does.
RESTART_SECONDS = 0.5
# A copy is up to so much older than the outage.
RESTORE_SECONDS = 6
# Replicas write again within about two seconds.
REWRITE_SECONDS = 1.0
STORE_RESTORED = "store comes back from a copy"
# How often in a run that has any.
RESTORES = 2


class Fault(msgspec.Struct, kw_only=True, frozen=True):
    """One fault of a schedule; ``pick`` chooses among what it may strike."""

    at: float
    kind: str
    pick: int
    seconds: float


def schedule(seed: int, *, seconds: float, count: int) -> list[Fault]:
    """Return the faults of a seed, in the order of their times; they may overlap."""
    kinds = sorted(FAULTS.keys() - {STORE_RESTORED})
    faults = _draw(random.Random(seed), kinds, seconds=seconds, count=count)
    # Drawn apart, so that the other faults of older seeds stay the same.
    source = random.Random(f"{STORE_RESTORED} {seed}")
    drills = source.choice((0, RESTORES))
    faults += _draw(source, [STORE_RESTORED], seconds=seconds, count=drills)
    return sorted(faults, key=lambda fault: fault.at)


def _draw(
    source: random.Random, kinds: list[str], *, seconds: float, count: int
) -> list[Fault]:
    return [
        Fault(
            at=source.uniform(0.0, 0.8 * seconds),
            kind=source.choice(kinds),
            pick=source.randrange(1000),
            seconds=source.uniform(0.3, 2.5),
        )
        for _ in range(count)
    ]


def play(site: Site, faults: list[Fault]) -> list[gevent.Greenlet]:
    """Begin all faults at their times; returns what plays them."""
    return [
        gevent.spawn_later(fault.at, FAULTS[fault.kind], site, fault)
        for fault in faults
    ]


def _gateway(site: Site, fault: Fault) -> str:
    return site.gateways[fault.pick % len(site.gateways)]


def _replica(site: Site, fault: Fault) -> str:
    alive = [name for name, replica in site.replicas.items() if replica.alive]
    return alive[fault.pick % len(alive)]


def _stop(site: Site, fault: Fault) -> None:
    name = _gateway(site, fault)
    site.signal(name, signal.SIGTERM)
    _start_again(site, name)


def _kill(site: Site, fault: Fault) -> None:
    name = _gateway(site, fault)
    site.signal(name, signal.SIGKILL)
    _start_again(site, name)


def _start_again(site: Site, name: str) -> None:
    while site.running(name):
        gevent.sleep(0.05)
    gevent.sleep(RESTART_SECONDS)
    # Two faults may have ended the same process.
    if not site.running(name):
        site.start(name)


def _pause(site: Site, fault: Fault) -> None:
    name = _gateway(site, fault)
    site.signal(name, signal.SIGSTOP)
    gevent.sleep(fault.seconds)
    site.signal(name, signal.SIGCONT)


def _reload(site: Site, fault: Fault) -> None:
    site.signal(_gateway(site, fault), signal.SIGHUP)


def _replica_proxy(site: Site, fault: Fault) -> Proxy:
    return site.proxies[_replica(site, fault)]


def _store_proxy(site: Site, fault: Fault) -> Proxy:
    return site.store_proxies[_gateway(site, fault)]


def _trouble(
    proxy_of: Callable[[Site, Fault], Proxy], trouble: Trouble
) -> Callable[[Site, Fault], None]:
    def strike(site: Site, fault: Fault) -> None:
        proxy = proxy_of(site, fault)
        proxy.trouble(trouble, seconds=fault.seconds / 10)
        gevent.sleep(fault.seconds)
        proxy.trouble(Trouble.NONE)

    return strike


def _store_away(site: Site, fault: Fault) -> None:
    site.store.is_unavailable = True
    gevent.sleep(fault.seconds)
    site.store.is_unavailable = False


def _restore_store(site: Site, fault: Fault) -> None:
    """Play the drill: the store is away and comes back from an older copy."""
    site.store.is_unavailable = True
    gevent.sleep(fault.seconds)
    site.store.restore_backup(fault.seconds + fault.pick % RESTORE_SECONDS)
    site.store.is_unavailable = False
    gevent.sleep(REWRITE_SECONDS)
    site.write_again()


def _crash_replica(site: Site, fault: Fault) -> None:
    name = _replica(site, fault)
    site.replicas[name].crash()
    gevent.sleep(fault.seconds)
    site.remove_replica(name)
    site.add_replica()


def _drain_replica(site: Site, fault: Fault) -> None:
    site.add_replica()
    name = _replica(site, fault)
    site.list_replica(name, state="draining")
    gevent.sleep(3.0 + fault.seconds)
    site.remove_replica(name)


def _fail_replica(site: Site, fault: Fault) -> None:
    replica = site.replicas[_replica(site, fault)]
    replica.failing = True
    gevent.sleep(fault.seconds)
    replica.failing = False


def _configure(site: Site, _fault: Fault) -> None:
    site.configure()


FAULTS: dict[str, Callable[[Site, Fault], None]] = {
    "configuration changes": _configure,
    "gateway is killed": _kill,
    "gateway is paused": _pause,
    "gateway is told to reload": _reload,
    "gateway is told to stop": _stop,
    "replica crashes": _crash_replica,
    "replica drains": _drain_replica,
    "replica refuses": _fail_replica,
    "replica's answers are cut": _trouble(_replica_proxy, Trouble.CUT_ANSWERS),
    "replica's connections are reset": _trouble(_replica_proxy, Trouble.RESET),
    "replica is slow": _trouble(_replica_proxy, Trouble.DELAY),
    "replica is silent": _trouble(_replica_proxy, Trouble.SILENCE),
    "store is away": _store_away,
    STORE_RESTORED: _restore_store,
    "store is silent to one": _trouble(_store_proxy, Trouble.SILENCE),
    "store is slow to one": _trouble(_store_proxy, Trouble.DELAY),
    "store loses answers to one": _trouble(_store_proxy, Trouble.CUT_ANSWERS),
    "store resets one": _trouble(_store_proxy, Trouble.RESET),
}
