"""
Tests of experiments: the gateways' decisions under simulated loads
===================================================================

Each part of placement and admission that is meant to raise attainment is checked by
simulating the load that it is made for with and without it.
"""

from pathlib import Path
from types import ModuleType

import msgspec
import pytest

from damasklead.cmdline import main
from damasklead.experiment.description import (
    Burst,
    Experiment,
    Fault,
    FaultKind,
    check_experiment,
)
from damasklead.experiment.engines import Engine, EngineRequest
from damasklead.experiment.fleet import run_experiment
from damasklead.experiment.policies import POLICIES
from damasklead.experiment.simulator import Simulator
from damasklead.experiment.tally import Result, Tally
from damasklead.findings import Findings
from damasklead.gateway import admission, stream_room
from damasklead.gateway.calls import PromptPart
from damasklead.gateway.coordination import cells
from damasklead.gateway.placements import engine as engine_placement
from damasklead.ids import AttemptId

# The first half of the burst, which decides its attainment.
BURST_SECONDS = 5.0
EXPERIMENTS = Path(__file__).parent.parent / "experiments"
BURSTS_FILE = EXPERIMENTS / "bursts.jsonc"
HISTORIES_FILE = EXPERIMENTS / "long-histories.jsonc"
LARGE_PROMPTS_FILE = EXPERIMENTS / "large-prompts.jsonc"
# Long enough to contain a burst of reviews.
EXPERIMENT_SECONDS = 12.0
# The whole first burst of long prompts.
LARGE_PROMPTS_SECONDS = 9.0
SEEDS = (1, 2, 3)


def read_experiment(file: Path) -> Experiment:
    findings = Findings()
    found = check_experiment(file.read_text(), file=str(file), findings=findings)
    assert found is not None, list(findings)
    return found


@pytest.fixture(scope="module")
def experiment() -> Experiment:
    return msgspec.structs.replace(
        read_experiment(BURSTS_FILE), seconds=EXPERIMENT_SECONDS, faults=[]
    )


def run_policy(experiment: Experiment, policy: str = "shipped", seed: int = 1) -> Tally:
    return run_experiment(experiment, POLICIES[policy], seed)


def compute_mean_attainment(tallies: list[Tally]) -> float:
    return sum(tally.compute_attainment() for tally in tallies) / len(tallies)


def test_the_same_seed_gives_the_same_run(experiment: Experiment) -> None:
    first, second = run_policy(experiment), run_policy(experiment)
    assert first.compute_attainment() == second.compute_attainment()
    assert first.prefilled_tokens == second.prefilled_tokens


def test_the_gateways_placement_attains_more_than_least_outstanding(
    experiment: Experiment,
) -> None:
    shipped, least_outstanding = run_policy(experiment), run_policy(experiment, "least")
    assert shipped.compute_attainment() > least_outstanding.compute_attainment() + 0.1
    assert shipped.recomputed_tokens < least_outstanding.recomputed_tokens / 2


@pytest.mark.parametrize(
    ("module", "constant", "without", "states_speeds"),
    [
        (engine_placement, "COPY_WEIGHT", 0.0, False),
        (engine_placement, "INTERLEAVED_PREFILL_FRACTION", 0.0, False),
        (engine_placement, "MIN_RESERVED_FRACTION", 0.0, False),
        # Takes the place of the fraction above where engines state their speed.
        (stream_room, "PREFILL_FRACTION", 0.0, True),
    ],
)
def test_each_part_of_the_placement_raises_attainment_in_a_burst(
    experiment: Experiment,
    monkeypatch: pytest.MonkeyPatch,
    module: ModuleType,
    constant: str,
    without: float,
    states_speeds: bool,
) -> None:
    engines = msgspec.structs.replace(
        experiment.engines, reports_slowdown=states_speeds
    )
    experiment = msgspec.structs.replace(experiment, engines=engines)
    with_part = compute_mean_attainment(
        [run_policy(experiment, seed=seed) for seed in SEEDS]
    )
    monkeypatch.setattr(module, constant, without)
    without_part = compute_mean_attainment(
        [run_policy(experiment, seed=seed) for seed in SEEDS]
    )
    assert with_part > without_part


def test_copies_between_engines_avoid_recomputed_prefill(
    experiment: Experiment, monkeypatch: pytest.MonkeyPatch
) -> None:
    with_copies = [run_policy(experiment, seed=seed) for seed in SEEDS]
    monkeypatch.setattr(
        engine_placement.EnginePlacement, "find_copy_source", lambda *_: None
    )
    without = [run_policy(experiment, seed=seed) for seed in SEEDS]
    recomputed = sum(tally.recomputed_tokens for tally in with_copies)
    assert recomputed < sum(tally.recomputed_tokens for tally in without) / 2
    assert compute_mean_attainment(with_copies) > compute_mean_attainment(without)


def test_few_requests_fail_when_engines_crash(experiment: Experiment) -> None:
    fault = Fault(kind=FaultKind.CRASH, at=4.0, seconds=3.0, share=0.2)
    without_bursts = msgspec.structs.replace(experiment, bursts=[])
    tally = run_policy(msgspec.structs.replace(without_bursts, faults=[fault]))
    failure_count = sum(
        kind.counts[Result.FAILED] for kind in tally.summarize_by_kind().values()
    )
    request_count = sum(
        sum(kind.counts.values()) for kind in tally.summarize_by_kind().values()
    )
    assert request_count > 200
    assert failure_count <= 0.05 * request_count


def test_partitioned_gateways_serve_requests(
    experiment: Experiment,
) -> None:
    partition = Fault(
        kind=FaultKind.PARTITION, at=0.0, seconds=EXPERIMENT_SECONDS, share=1.0
    )
    partitioned = run_policy(msgspec.structs.replace(experiment, faults=[partition]))
    assert (
        partitioned.compute_attainment()
        > 0.7 * run_policy(experiment).compute_attainment()
    )


def test_a_burst_raises_the_arrival_rate(experiment: Experiment) -> None:
    def count_requests(bursts: list[Burst]) -> int:
        tally = run_policy(msgspec.structs.replace(experiment, bursts=bursts), "least")
        return sum(
            sum(kind.counts.values()) for kind in tally.summarize_by_kind().values()
        )

    burst = Burst(at=0.0, seconds=EXPERIMENT_SECONDS, factor=3.0)
    assert count_requests([burst]) > 2 * count_requests([])


def test_an_engine_prefills_a_shared_part_once(experiment: Experiment) -> None:
    simulator = Simulator()
    first, second = (
        Engine(
            parameters=experiment.engines,
            simulator=simulator,
            step_time_factor=1.0,
            known_parts=set(),
        )
        for _ in range(2)
    )
    ended: list[bool] = []

    def send(engine: Engine, name: str) -> None:
        parts = (PromptPart("shared", 4000), PromptPart(f"own-{name}", 500))
        assert engine.submit_request(
            EngineRequest(
                attempt=AttemptId(name),
                prompt=parts,
                urgency=0,
                output_tokens=8,
                on_event=lambda _hint: None,
                on_end=ended.append,
            )
        )
        simulator.run_until(simulator.clock.now() + 5.0)

    send(first, "a")
    assert first.prefilled_tokens == 4500
    send(first, "b")
    assert first.prefilled_tokens == 5000
    seconds = second.copy_prefix(
        first, (PromptPart("shared", 4000), PromptPart("x", 1))
    )
    assert 0 < seconds < 0.02
    send(second, "c")
    assert second.prefilled_tokens == 500
    assert ended == [True, True, True]


def test_the_command_prints_a_table_and_draws_a_plot(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    text = BURSTS_FILE.read_text().replace('"seconds": 34', '"seconds": 3')
    file, plot = tmp_path / "short.jsonc", tmp_path / "day.png"
    file.write_text(text)
    options = ["--policy", "shipped", "--policy", "least", "--seeds", "1"]
    code = main(["experiment", str(file), *options, "--plot", str(plot)])
    printed = capsys.readouterr().out
    assert code == 0
    assert printed.startswith("policy") and "least:" in printed and "chat" in printed
    assert plot.read_bytes().startswith(b"\x89PNG")
    assert main(["experiment", str(file), "--policy", "best"]) == 1
    file.write_text(text.replace('"rate": 12.0', '"rate": "fast"'))
    assert main(["experiment", str(file)]) == 2


def test_a_wrong_value_is_reported_with_its_location() -> None:
    findings = Findings()
    text = BURSTS_FILE.read_text().replace('"gateways": 8', '"gateways": "many"')
    assert check_experiment(text, file="f.jsonc", findings=findings) is None
    (finding,) = findings
    assert finding.path == "gateways" and finding.line == 6


@pytest.mark.parametrize("seed", [1, 2])
def test_the_largest_prompts_of_a_burst_are_served_half_as_often_as_all(
    seed: int,
) -> None:
    large_prompts = msgspec.structs.replace(
        read_experiment(LARGE_PROMPTS_FILE), seconds=LARGE_PROMPTS_SECONDS
    )
    reviews = run_policy(large_prompts, seed=seed).summarize_by_kind()["review"]
    assert reviews.served_fraction < 0.8
    assert reviews.largest_served_fraction >= 0.5 * reviews.served_fraction


@pytest.fixture(scope="module")
def many_subjects() -> Experiment:
    """Return a burst with more subjects than engines can prefill in its first seconds."""
    experiment = read_experiment(HISTORIES_FILE)
    return msgspec.structs.replace(experiment, seconds=BURST_SECONDS, faults=[])


@pytest.fixture(scope="module")
def many_subjects_shipped(many_subjects: Experiment) -> Tally:
    return run_policy(many_subjects)


@pytest.mark.parametrize(
    ("module", "changes"),
    [
        (cells, {"CELL_ENGINES": 8}),
        (admission, {"PREFILL_DELAY_FACTOR": 0.0}),
        (admission, {"MAX_QUEUE_LENGTH": 100}),
    ],
)
def test_each_decision_raises_attainment_in_a_burst_of_many_subjects(
    many_subjects: Experiment,
    many_subjects_shipped: Tally,
    monkeypatch: pytest.MonkeyPatch,
    module: ModuleType,
    changes: dict[str, float],
) -> None:
    for constant, value in changes.items():
        monkeypatch.setattr(module, constant, value)
    assert (
        many_subjects_shipped.compute_attainment()
        > run_policy(many_subjects).compute_attainment()
    )
