"""
Load of the store and propagation of versions
=============================================

Counts the calls of entries to the platform, without traffic and for each order, and
simulates how long a new configuration version takes to reach all entries of a data
centre of the planned size.

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
ORDER_COUNT = 100
ENTRIES_PER_DATA_CENTRE = 72
POOLS_PER_DATA_CENTRE = 31
POLL_INTERVAL_SECONDS = 18.0
SEED_COUNT = 20


def main() -> None:
    """Run all measurements and print the results."""
    for entries in (1, 2, 4):
        with Deployment(entries=entries, engines=2) as deployment:
            measure_idle(deployment, entries)
            if entries == 2:
                measure_orders(deployment)
    measure_propagation()


def fetch_call_counts(deployment: Deployment) -> dict[str, int]:
    """Return the number of calls that the platform received, by kind."""
    call_counts: dict[str, int] = deployment.fetch_json(
        deployment.platform_address, "/counts"
    )
    return call_counts


def measure_idle(deployment: Deployment, entries: int) -> None:
    """Print the calls per second of an entry without traffic."""
    gevent.sleep(3.0)
    before = fetch_call_counts(deployment)
    gevent.sleep(IDLE_SECONDS)
    after = fetch_call_counts(deployment)
    rates = {
        kind: (after[kind] - before.get(kind, 0)) / IDLE_SECONDS / entries
        for kind in after
    }
    text = ", ".join(f"{kind} {rate:.2f}" for kind, rate in sorted(rates.items()))
    print(f"{entries} entries, calls a second of each: {text}")


def measure_orders(deployment: Deployment) -> None:
    """Print the number of commits for each order."""
    caller = deployment.make_caller("skippers")
    before = fetch_call_counts(deployment).get("CommitCall", 0)
    for number in range(ORDER_COUNT):
        body = msgspec.json.encode({"reference": f"o{number}"})
        caller.perform_request(
            "o",
            "POST",
            "/services/demo-app/orders",
            body=body,
            idempotency_key=f"k{number}",
        )
    gevent.sleep(1.0)
    commits = fetch_call_counts(deployment).get("CommitCall", 0) - before
    print(f"{commits / ORDER_COUNT:.2f} commits an order")


def measure_propagation() -> None:
    """Print the time until all entries of a data centre have a new version."""
    propagation_seconds = [simulate_propagation(seed) for seed in range(SEED_COUNT)]
    print(
        f"a new version reaches {ENTRIES_PER_DATA_CENTRE} entries of a data centre in "
        f"{statistics.median(propagation_seconds):.1f} s (median), "
        f"{max(propagation_seconds):.1f} s (worst of {SEED_COUNT})"
    )


def simulate_propagation(seed: int) -> float:
    """
    Return the seconds until all entries of a data centre know a new version.

    Each entry polls the manifest with a phase of its own.  In each share interval, it
    sends a demand to every pool's coordinator and receives a grant; both messages carry
    the configuration version of their sender.
    """
    source = random.Random(seed)
    names = [InstanceId(f"entry-{number}") for number in range(ENTRIES_PER_DATA_CENTRE)]
    entry_numbers = {name: number for number, name in enumerate(names)}
    pools = [PoolId(f"pool-{number}") for number in range(POOLS_PER_DATA_CENTRE)]
    coordinators = [choose_coordinator(pool, names) for pool in pools]
    interval = compute_share_interval(ENTRIES_PER_DATA_CENTRE)
    events: list[tuple[float, int, int]] = []
    for entry in range(ENTRIES_PER_DATA_CENTRE):
        events.append((source.uniform(0, POLL_INTERVAL_SECONDS), entry, entry))
        phase = source.uniform(0, interval)
        for coordinator in coordinators:
            assert coordinator is not None
            for interval_number in range(3):
                at = phase + interval_number * interval
                events.append((at, entry, entry_numbers[coordinator]))
    for coordinator in coordinators:
        assert coordinator is not None
        phase = source.uniform(0, interval)
        for interval_number in range(3):
            for entry in range(ENTRIES_PER_DATA_CENTRE):
                events.append(
                    (
                        phase + interval_number * interval,
                        entry_numbers[coordinator],
                        entry,
                    )
                )
    updated_entries: set[int] = set()
    for at, sender, receiver in sorted(events):
        if sender == receiver or sender in updated_entries:
            updated_entries.add(receiver)
        if len(updated_entries) == ENTRIES_PER_DATA_CENTRE:
            return at
    return float("inf")


if __name__ == "__main__":
    main()
