"""
Causes of crashes after all gateways were lost
==============================================

Real gateways, all of which are killed at one moment and start again.
"""

import signal
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import gevent

from soak.callers import Caller, ObservedResponse
from soak.site import Cluster

GATEWAYS, REPLICAS = 3, 8
TIMEOUT_SECONDS = 30.0
CRASHING_REQUESTS = 12


def wait_for(condition: Callable[[], bool]) -> None:
    end = time.monotonic() + TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < end
        gevent.sleep(0.05)


def start_all(cluster: Cluster) -> None:
    for name in cluster.gateways:
        cluster.start_gateway(name)
    wait_for(lambda: len(cluster.list_ready_gateways()) == GATEWAYS)


def kill_all(cluster: Cluster) -> None:
    for name in cluster.gateways:
        cluster.send_signal(name, signal.SIGKILL)
    wait_for(lambda: not any(cluster.is_running(name) for name in cluster.gateways))
    wait_for(lambda: not cluster.list_ready_gateways())


def count_refusals(cluster: Cluster) -> Counter[str]:
    """Return how often each gateway has begun to refuse something."""
    lines = cluster.find_log_lines("event=request-quarantined")
    return Counter(line.partition(":")[0] for line in lines)


def count_crashes(cluster: Cluster) -> int:
    return sum(execution.is_crashing for execution in cluster.executions)


def test_a_prompt_part_stays_refused_when_all_gateways_are_killed(
    tmp_path: Path,
) -> None:
    """It crashed six replicas more, since the causes were in memory only."""
    cluster = Cluster(folder=tmp_path, gateways=GATEWAYS, replicas=REPLICAS, seed=1)
    crashing: list[ObservedResponse] = []
    sound: list[ObservedResponse] = []
    ways = {
        "ports": cluster.get_caller_ports(),
        "list_ready_gateways": cluster.list_ready_gateways,
    }
    callers = [
        Caller(
            name="crashing", responses=crashing, seed=1, has_crashing_part=True, **ways
        ),
        Caller(name="sound", responses=sound, seed=2, **ways),
    ]
    greenlets = [gevent.spawn(cluster.monitor_gateways)]
    try:
        start_all(cluster)
        running = [gevent.spawn(caller.run) for caller in callers]
        greenlets += running
        wait_for(lambda: bool(cluster.find_log_lines("event=crash-causes-stored")))
        gevent.killall(running)
        kill_all(cluster)
        before = count_refusals(cluster)
        crash_count, served = count_crashes(cluster), len(sound)
        start_all(cluster)
        wait_for(lambda: len(count_refusals(cluster) - before) == GATEWAYS)
        first = len(crashing)
        greenlets += [gevent.spawn(caller.run) for caller in callers]
        wait_for(
            lambda: (
                len(crashing) >= first + CRASHING_REQUESTS
                and any(item.status == 200 for item in sound[served:])
            )
        )
        assert crash_count
        assert count_crashes(cluster) == crash_count
        assert {item.status for item in crashing[first:]} == {503}
    finally:
        gevent.killall(greenlets)
        cluster.close()
