"""
Bench of the policy
===================

Runs every scenario for every policy and prints attainment, goodput, wasted work and control cost.

Use: ``python -m bench.policy [--seeds 1,2,3] [--only NAME] [--variants]``.
"""

import argparse
import copy
import multiprocessing
import statistics

import msgspec

from bench.policies import POLICIES, NoPreemption, Ours, Policy, Seen
from bench.simulation import Engine, Simulator
from bench.workload import (
    BURST,
    DEPLOYMENTS,
    ENTRIES,
    HORIZON,
    SCENARIOS,
    Deployment,
    Fault,
    Scenario,
    arrivals,
)
from damasklead.ids import InstanceId

SLOW_FACTOR = 5.0
DRAIN_SECONDS = 5.0


class Result(msgspec.Struct, kw_only=True):
    """The figures of one run; attainment in % by class, waits in seconds by class."""

    policy: str
    deployment: str
    scenario: str
    seed: int
    attainment: dict[str, float]
    goodput: float
    wasted: float
    longest_wait: dict[str, float]
    bytes_per_second: float
    cpu_percent: float
    crashes: int


class Job(msgspec.Struct, kw_only=True):
    """One run to make."""

    policy: type[Policy]
    deployment: Deployment
    scenario: Scenario
    seed: int


def run_job(job: Job) -> Result:
    """Run one policy through one scenario."""
    simulator = Simulator()
    names = [
        InstanceId(f"engine-{number}") for number in range(job.deployment.replicas)
    ]
    engines = {name: Engine(name=name, simulator=simulator) for name in names}
    policy = job.policy(
        simulator=simulator,
        engines=engines,
        deployment=job.deployment,
        scenario=job.scenario,
        seed=job.seed,
    )
    policy.start()
    for arrival in arrivals(job.deployment, job.scenario, job.seed):
        policy.seen[arrival.request.id] = Seen(arrival=copy.copy(arrival))
        simulator.schedule(arrival.at, policy.submit, arrival)
    _schedule_faults(simulator, job.scenario, list(engines.values()))
    simulator.run_until(HORIZON + DRAIN_SECONDS)
    return _result(job, policy, list(engines.values()))


def _schedule_faults(
    simulator: Simulator, scenario: Scenario, engines: list[Engine]
) -> None:
    if Fault.CRASH in scenario.faults:
        simulator.schedule(BURST[0] + 5.0, engines[1].crash)
    if Fault.STRAGGLER in scenario.faults:
        simulator.schedule(
            BURST[0], lambda: setattr(engines[0], "slow_factor", SLOW_FACTOR)
        )


def _result(job: Job, policy: Policy, engines: list[Engine]) -> Result:
    attainment: dict[str, list[bool]] = {}
    waits: dict[str, float] = {}
    good = 0
    for seen in policy.seen.values():
        if seen.arrival.request.fingerprint.startswith("poison"):
            continue
        name = seen.arrival.request.request_class.name
        judged = _judge(seen)
        if judged is not None:
            attainment.setdefault(name, []).append(judged)
        if judged is not False:
            good += seen.tokens
        if not seen.refused:
            first = HORIZON + DRAIN_SECONDS if seen.first is None else seen.first
            waits[name] = max(waits.get(name, 0.0), first - seen.arrival.at)
    generated = sum(engine.generated for engine in engines)
    seconds = HORIZON + DRAIN_SECONDS
    return Result(
        policy=job.policy.name,
        deployment=job.deployment.name,
        scenario=job.scenario.name,
        seed=job.seed,
        attainment={
            name: 100.0 * sum(marks) / len(marks) for name, marks in attainment.items()
        },
        goodput=good / seconds,
        wasted=100.0 * policy.wasted / max(1, generated),
        longest_wait=waits,
        bytes_per_second=policy.control_bytes / seconds / ENTRIES,
        cpu_percent=100.0 * policy.cpu / seconds / ENTRIES,
        crashes=sum(engine.crashes for engine in engines),
    )


def _judge(seen: Seen) -> bool | None:
    """Return whether an answer was in time, ``None`` while that is open at the end."""
    request_class = seen.arrival.request.request_class
    at = seen.arrival.at
    end = HORIZON + DRAIN_SECONDS
    if seen.refused:
        return False
    if request_class.first_token_target is not None:
        if seen.first is None:
            return None if end - at <= request_class.first_token_target else False
        if seen.first - at > request_class.first_token_target:
            return False
        if seen.last is not None and request_class.token_gap_target and seen.tokens > 1:
            gap = (seen.last - seen.first) / (seen.tokens - 1)
            return gap <= request_class.token_gap_target
        return None
    assert request_class.response_target is not None
    if seen.last is not None:
        return seen.last - at <= request_class.response_target
    return False if end - at > request_class.response_target else None


def main() -> None:
    """Run the bench and print its table."""
    parser = argparse.ArgumentParser(
        description="Compare policies on the paused clock."
    )
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--only", default="")
    parser.add_argument("--processes", type=int, default=5)
    parser.add_argument("--variants", action="store_true")
    options = parser.parse_args()
    policies = (Ours, NoPreemption) if options.variants else POLICIES
    jobs = [
        Job(policy=policy, deployment=deployment, scenario=scenario, seed=int(seed))
        for deployment in DEPLOYMENTS
        for scenario in SCENARIOS
        if options.only in scenario.name
        for policy in policies
        for seed in options.seeds.split(",")
    ]
    with multiprocessing.Pool(options.processes) as pool:
        results = pool.map(run_job, jobs, chunksize=1)
    print_table(results)


def print_table(results: list[Result]) -> None:
    """Print medians over the seeds, a line for each scenario and policy."""
    keys = list(dict.fromkeys((r.deployment, r.scenario, r.policy) for r in results))
    for deployment, scenario, policy in keys:
        rows = [
            r
            for r in results
            if (r.deployment, r.scenario, r.policy) == (deployment, scenario, policy)
        ]
        best = [
            r.goodput
            for r in results
            if (r.deployment, r.scenario, r.policy)
            == (deployment, scenario, "clairvoyant")
        ]
        goodput = statistics.median(row.goodput for row in rows)
        share = f"{100 * goodput / statistics.median(best):5.1f}%" if best else ""
        marks = " ".join(
            f"{name}={_median([r.attainment.get(name, 100.0) for r in rows]):.1f}"
            for name in rows[0].attainment
        )
        waits = " ".join(
            f"{_median([r.longest_wait.get(name, 0.0) for r in rows]):.1f}"
            for name in rows[0].attainment
        )
        print(
            f"{deployment:12} {scenario:24} {policy:20} {marks}"
            f" | goodput {goodput:7.0f} {share}"
            f" | wasted {_median([r.wasted for r in rows]):4.1f}%"
            f" | waits {waits}"
            f" | {_median([r.bytes_per_second for r in rows]):5.0f} B/s"
            f" {_median([r.cpu_percent for r in rows]):4.2f}% CPU"
            f" | crashes {max(r.crashes for r in rows)}"
        )


def _median(values: list[float]) -> float:
    return statistics.median(values)


if __name__ == "__main__":
    main()
