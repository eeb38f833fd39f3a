"""
Store load and spread of versions
=================================

Counts what real entries ask of the platform, idle and for each order, and works out how long a new
configuration version takes to every entry of the planned size.

Use: ``python -m bench.store``.
"""

import random
import statistics

import gevent
import msgspec

from damasklead.ids import InstanceId, PoolId
from damasklead.sharing import choose_coordinator, compute_share_interval
from tests.processes import Deployment

IDLE_SECONDS = 15.0
ORDERS = 100
ENTRIES_PER_CENTRE = 72
POOLS_PER_CENTRE = 31
POLL_SECONDS = 18.0
SEEDS = 20


def main() -> None:
    """Measure and print."""
    for entries in (1, 2, 4):
        with Deployment(entries=entries, engines=2) as deployment:
            measure_idle(deployment, entries)
            if entries == 2:
                measure_orders(deployment)
    measure_spread()


def counts(deployment: Deployment) -> dict[str, int]:
    """Return how many calls of each kind reached the platform."""
    found: dict[str, int] = deployment.get(deployment.platform_address, "/counts")
    return found


def measure_idle(deployment: Deployment, entries: int) -> None:
    """Print the calls a second of each entry without traffic."""
    gevent.sleep(3.0)
    before = counts(deployment)
    gevent.sleep(IDLE_SECONDS)
    after = counts(deployment)
    rates = {
        kind: (after[kind] - before.get(kind, 0)) / IDLE_SECONDS / entries
        for kind in after
    }
    shown = ", ".join(f"{kind} {rate:.2f}" for kind, rate in sorted(rates.items()))
    print(f"{entries} entries, calls a second of each: {shown}")


def measure_orders(deployment: Deployment) -> None:
    """Print the commits for each order."""
    caller = deployment.caller("skippers")
    before = counts(deployment).get("CommitCall", 0)
    for number in range(ORDERS):
        body = msgspec.json.encode({"reference": f"o{number}"})
        caller.send(
            "o", "POST", "/services/demo-app/orders", body=body, key=f"k{number}"
        )
    gevent.sleep(1.0)
    commits = counts(deployment).get("CommitCall", 0) - before
    print(f"{commits / ORDERS:.2f} commits an order")


def measure_spread() -> None:
    """Print how long a version takes to all entries of a data centre."""
    times = [spread(seed) for seed in range(SEEDS)]
    print(
        f"a new version reaches {ENTRIES_PER_CENTRE} entries of a data centre in "
        f"{statistics.median(times):.1f} s (median), {max(times):.1f} s (worst of {SEEDS})"
    )


def spread(seed: int) -> float:
    """
    Return the seconds until all entries of a data centre know a new version.

    Each polls the manifest at a phase of its own; each sends a demand to every pool's
    coordinator in each interval and gets a grant back, and the version rides on both.
    """
    source = random.Random(seed)
    names = [InstanceId(f"entry-{number}") for number in range(ENTRIES_PER_CENTRE)]
    index = {name: number for number, name in enumerate(names)}
    pools = [PoolId(f"pool-{number}") for number in range(POOLS_PER_CENTRE)]
    coordinators = [choose_coordinator(pool, names) for pool in pools]
    interval = compute_share_interval(ENTRIES_PER_CENTRE)
    events: list[tuple[float, int, int]] = []
    for entry in range(ENTRIES_PER_CENTRE):
        events.append((source.uniform(0, POLL_SECONDS), entry, entry))
        phase = source.uniform(0, interval)
        for coordinator in coordinators:
            assert coordinator is not None
            for turn in range(3):
                at = phase + turn * interval
                events.append((at, entry, index[coordinator]))
    for coordinator in coordinators:
        assert coordinator is not None
        phase = source.uniform(0, interval)
        for turn in range(3):
            for entry in range(ENTRIES_PER_CENTRE):
                events.append((phase + turn * interval, index[coordinator], entry))
    known: set[int] = set()
    for at, sender, receiver in sorted(events):
        if sender == receiver or sender in known:
            known.add(receiver)
        if len(known) == ENTRIES_PER_CENTRE:
            return at
    return float("inf")


if __name__ == "__main__":
    main()
