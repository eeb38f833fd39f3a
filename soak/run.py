"""
Run
===

Runs one seed: starts the cluster and the callers, injects the faults and checks the
guarantees.
"""

import time
from pathlib import Path

import gevent
import msgspec

from soak.callers import Caller, ObservedResponse
from soak.faults import (
    Fault,
    has_crashing_requests,
    make_schedule,
    start_faults,
)
from soak.guarantees import (
    Violation,
    check_containment,
    check_recovery,
    check_retry_budget,
    find_violations,
)
from soak.site import Cluster

__all__ = ["SoakResult", "run_seed"]

START_TIMEOUT_SECONDS = 20.0
# A killed process restarts and reads the store within this time.
RECOVERY_TIMEOUT_SECONDS = 10.0
FAULT_FREE_SECONDS = 3.0
# The same while requests crash replicas, until gateways are stable and some more.
CRASHING_FAULT_FREE_SECONDS = 7.0


class SoakResult(msgspec.Struct, kw_only=True, frozen=True):
    """
    The result of a run.

    Attributes
    ----------
    seed : int
        Seed of the run.
    faults : list of Fault
        The schedule of faults.
    status_counts : dict
        Number of responses by HTTP status; 0 stands for connections that ended before a
        complete response head.
    violations : list of Violation
        The violated guarantees.
    logs : dict
        By attempt id, the gateways' log lines of each request with a violation; under
        ``tracebacks``, the first lines of all tracebacks.
    """

    seed: int
    faults: list[Fault]
    status_counts: dict[int, int]
    violations: list[Violation]
    logs: dict[str, list[str]]


def run_seed(
    seed: int,
    *,
    folder: Path,
    gateways: int = 3,
    replicas: int = 3,
    callers: int = 12,
    seconds: float = 10.0,
    faults: int = 12,
) -> SoakResult:
    """
    Run one seed and return its result.

    Parameters
    ----------
    seed : int
        Seed of the faults, of the callers and of the replicas.
    folder : Path
        Where settings files and logs are written.
    gateways, replicas, callers : int
        Number of gateways, of replicas at the start, and of callers.
    seconds : float
        Length of the schedule; faults start within its first 80 %.
    faults : int
        Number of faults, not counting restores of the store.
    """
    schedule = make_schedule(seed, seconds=seconds, count=faults)
    cluster = Cluster(folder=folder, gateways=gateways, replicas=replicas, seed=seed)
    responses: list[ObservedResponse] = []
    tasks = [gevent.spawn(cluster.monitor_gateways)]
    try:
        for name in cluster.gateways:
            cluster.start_gateway(name)
        _wait_until_ready(cluster, START_TIMEOUT_SECONDS)
        tasks += [
            gevent.spawn(
                Caller(
                    name=f"caller-{number}", ports=cluster.get_caller_ports(),
                    list_ready_gateways=cluster.list_ready_gateways,
                    responses=responses, seed=seed * 1000 + number,
                ).run
            )
            for number in range(callers)
        ]  # fmt: skip
        if has_crashing_requests(seed):
            caller = Caller(
                name="crashing", ports=cluster.get_caller_ports(),
                list_ready_gateways=cluster.list_ready_gateways,
                responses=responses, seed=seed, has_crashing_part=True,
            )  # fmt: skip
            tasks.append(gevent.spawn(caller.run))
        fault_tasks = start_faults(cluster, schedule)
        gevent.sleep(seconds)
        gevent.joinall(fault_tasks, timeout=START_TIMEOUT_SECONDS)
        violations = [
            Violation(guarantee="the soak itself works", detail=repr(task.exception))
            for task in fault_tasks
            if task.exception is not None
        ]
        violations += _wait_until_ready(cluster, RECOVERY_TIMEOUT_SECONDS)
        faults_ended_at = time.monotonic()
        gevent.sleep(
            CRASHING_FAULT_FREE_SECONDS
            if has_crashing_requests(seed)
            else FAULT_FREE_SECONDS
        )
        callers_stopped_at = time.monotonic()
        gevent.killall(tasks[1:])
        # Later requests may not have been completed when the callers were stopped.
        due_responses = [
            response
            for response in responses
            if response.sent_at < callers_stopped_at - 2.0
        ]
        violations += find_violations(
            responses,
            cluster.executions,
            cluster.exits,
            cluster.limits,
            cluster.brittle_times,
        )
        violations += check_recovery(due_responses, since=faults_ended_at)
        violations += check_retry_budget(responses, cluster.arrivals)
        violations += check_containment(cluster.executions, since=faults_ended_at)
        logs = {
            item.attempt: cluster.find_log_lines(item.attempt) for item in violations
        }
        logs["tracebacks"] = cluster.find_log_lines("Traceback")
    finally:
        gevent.killall(tasks)
        cluster.close()
    status_counts: dict[int, int] = {}
    for response in responses:
        status_counts[response.status] = status_counts.get(response.status, 0) + 1
    return SoakResult(
        seed=seed,
        faults=schedule,
        status_counts=status_counts,
        violations=violations,
        logs=logs,
    )


def _wait_until_ready(cluster: Cluster, seconds: float) -> list[Violation]:
    """Wait until all gateways are ready; returns a violation after a timeout."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if len(cluster.list_ready_gateways()) == len(cluster.gateways):
            return []
        gevent.sleep(0.05)
    missing = sorted(set(cluster.gateways) - set(cluster.list_ready_gateways()))
    return [Violation(guarantee="service recovers", detail=f"not ready: {missing}")]
