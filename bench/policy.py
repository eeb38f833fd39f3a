"""
Benchmark of routing policies
=============================

Simulates every scenario with every policy, and prints attainment of targets, goodput,
wasted tokens and the cost of control messages.

Use: ``python -m bench.policy [--seeds 1,2,3] [--only NAME] [--variants]``.
"""

import argparse
import copy
import multiprocessing
import statistics

import msgspec

from bench.policies import (
    POLICIES,
    DamaskleadPolicy,
    NoPreemption,
    Policy,
    RequestRecord,
)
from bench.simulation import Engine, Simulator
from bench.workload import (
    BURST_SECONDS,
    DEPLOYMENTS,
    ENTRY_COUNT,
    HORIZON_SECONDS,
    SCENARIOS,
    Deployment,
    Fault,
    Scenario,
    generate_arrivals,
)
from damasklead.ids import InstanceId

SLOWDOWN_FACTOR = 5.0  # of a straggler
DRAIN_SECONDS = 5.0  # after the last arrival


class Result(msgspec.Struct, kw_only=True):
    """
    The result of one run.

    Attributes
    ----------
    policy, deployment, scenario : str
        Names of what was simulated.
    seed : int
        Seed of the arrivals and of the policy.
    attainment : dict
        Requests that met their targets, in % of those decided by the end, by class.
    goodput : float
        Tokens per second of requests that did not miss their targets.
    wasted_percent : float
        Tokens that no caller received, in % of all generated tokens.
    longest_wait_seconds : dict
        Longest time to the first token in seconds, by class.
    bytes_per_second : float
        Bytes of control messages per second and entry.
    cpu_percent : float
        Processor time of the decisions per entry, in % of a core.
    crash_count : int
        Number of engine crashes.
    """

    policy: str
    deployment: str
    scenario: str
    seed: int
    attainment: dict[str, float]
    goodput: float
    wasted_percent: float
    longest_wait_seconds: dict[str, float]
    bytes_per_second: float
    cpu_percent: float
    crash_count: int


class Job(msgspec.Struct, kw_only=True):
    """The parameters of one run."""

    policy: type[Policy]
    deployment: Deployment
    scenario: Scenario
    seed: int


def run_job(job: Job) -> Result:
    """Simulate one policy in one scenario."""
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
    for arrival in generate_arrivals(job.deployment, job.scenario, job.seed):
        policy.records[arrival.request.id] = RequestRecord(arrival=copy.copy(arrival))
        simulator.schedule(arrival.arrived_at, policy.submit, arrival)
    _schedule_faults(simulator, job.scenario, list(engines.values()))
    simulator.run_until(HORIZON_SECONDS + DRAIN_SECONDS)
    return _make_result(job, policy, list(engines.values()))


def _schedule_faults(
    simulator: Simulator, scenario: Scenario, engines: list[Engine]
) -> None:
    if Fault.CRASH in scenario.faults:
        simulator.schedule(BURST_SECONDS[0] + 5.0, engines[1].crash)
    if Fault.STRAGGLER in scenario.faults:
        simulator.schedule(
            BURST_SECONDS[0],
            lambda: setattr(engines[0], "slowdown_factor", SLOWDOWN_FACTOR),
        )


def _make_result(job: Job, policy: Policy, engines: list[Engine]) -> Result:
    attainment: dict[str, list[bool]] = {}
    waits: dict[str, float] = {}
    good_tokens = 0
    for record in policy.records.values():
        if record.arrival.request.fingerprint.startswith("poison"):
            continue
        name = record.arrival.request.request_class.name
        meets_targets = _meets_targets(record)
        if meets_targets is not None:
            attainment.setdefault(name, []).append(meets_targets)
        if meets_targets is not False:
            good_tokens += record.received_tokens
        if not record.is_refused:
            first_token_at = (
                HORIZON_SECONDS + DRAIN_SECONDS
                if record.first_token_at is None
                else record.first_token_at
            )
            waits[name] = max(
                waits.get(name, 0.0), first_token_at - record.arrival.arrived_at
            )
    generated_tokens = sum(engine.generated_tokens for engine in engines)
    seconds = HORIZON_SECONDS + DRAIN_SECONDS
    return Result(
        policy=job.policy.name,
        deployment=job.deployment.name,
        scenario=job.scenario.name,
        seed=job.seed,
        attainment={
            name: 100.0 * sum(results) / len(results)
            for name, results in attainment.items()
        },
        goodput=good_tokens / seconds,
        wasted_percent=100.0 * policy.wasted_tokens / max(1, generated_tokens),
        longest_wait_seconds=waits,
        bytes_per_second=policy.control_bytes / seconds / ENTRY_COUNT,
        cpu_percent=100.0 * policy.cpu_seconds / seconds / ENTRY_COUNT,
        crash_count=sum(engine.crash_count for engine in engines),
    )


def _meets_targets(record: RequestRecord) -> bool | None:
    """Return whether a response met its targets; ``None`` if undecided at the end."""
    request_class = record.arrival.request.request_class
    arrived_at = record.arrival.arrived_at
    end = HORIZON_SECONDS + DRAIN_SECONDS
    if record.is_refused:
        return False
    if request_class.first_token_target is not None:
        if record.first_token_at is None:
            return (
                None if end - arrived_at <= request_class.first_token_target else False
            )
        if record.first_token_at - arrived_at > request_class.first_token_target:
            return False
        if (
            record.completed_at is not None
            and request_class.token_gap_target
            and record.received_tokens > 1
        ):
            gap = (record.completed_at - record.first_token_at) / (
                record.received_tokens - 1
            )
            return gap <= request_class.token_gap_target
        return None
    assert request_class.response_target is not None
    if record.completed_at is not None:
        return record.completed_at - arrived_at <= request_class.response_target
    return False if end - arrived_at > request_class.response_target else None


def main() -> None:
    """Run the benchmark and print its table."""
    parser = argparse.ArgumentParser(
        description="Compare routing policies in a simulation."
    )
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--only", default="")
    parser.add_argument("--processes", type=int, default=5)
    parser.add_argument("--variants", action="store_true")
    options = parser.parse_args()
    policies = (DamaskleadPolicy, NoPreemption) if options.variants else POLICIES
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
    """Print medians over the seeds, one line for each scenario and policy."""
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
        attainments = " ".join(
            f"{name}={_median([r.attainment.get(name, 100.0) for r in rows]):.1f}"
            for name in rows[0].attainment
        )
        waits = " ".join(
            f"{_median([r.longest_wait_seconds.get(name, 0.0) for r in rows]):.1f}"
            for name in rows[0].attainment
        )
        print(
            f"{deployment:12} {scenario:24} {policy:20} {attainments}"
            f" | goodput {goodput:7.0f} {share}"
            f" | wasted {_median([r.wasted_percent for r in rows]):4.1f}%"
            f" | waits {waits}"
            f" | {_median([r.bytes_per_second for r in rows]):5.0f} B/s"
            f" {_median([r.cpu_percent for r in rows]):4.2f}% CPU"
            f" | crashes {max(r.crash_count for r in rows)}"
        )


def _median(values: list[float]) -> float:
    return statistics.median(values)


if __name__ == "__main__":
    main()
