"""
Tests of experiments: loads replayed to the gateways' decisions
===============================================================

Each gain in how prompts are placed has the load that it answers replayed with and
without it.
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
from damasklead.experiment.driver import Simulator
from damasklead.experiment.engines import Engine, EngineRequest
from damasklead.experiment.fleet import run_experiment
from damasklead.experiment.policies import POLICIES
from damasklead.experiment.tally import Result, Tally
from damasklead.findings import Findings
from damasklead.gateway import admission
from damasklead.gateway.calls import PromptPart
from damasklead.gateway.coordination import cells
from damasklead.gateway.placements import engine as engine_placement
from damasklead.ids import AttemptId

# The burst's first half: what it loses is decided there.
BURST_SECONDS = 5.0
LOADS = Path(__file__).parent.parent / "experiments"
FILE = LOADS / "bursts.jsonc"
HISTORIES = LOADS / "long-histories.jsonc"
# Long enough for a burst of reviews, short enough for a test.
SECONDS = 12.0
SEEDS = (1, 2, 3)


@pytest.fixture(scope="module")
def experiment() -> Experiment:
    findings = Findings()
    found = check_experiment(FILE.read_text(), file=str(FILE), findings=findings)
    assert found is not None, list(findings)
    return msgspec.structs.replace(found, seconds=SECONDS, faults=[])


def replay(experiment: Experiment, policy: str = "shipped", seed: int = 1) -> Tally:
    return run_experiment(experiment, POLICIES[policy], seed)


def attainment(tallies: list[Tally]) -> float:
    return sum(tally.compute_attainment() for tally in tallies) / len(tallies)


def test_the_same_seed_gives_the_same_run(experiment: Experiment) -> None:
    first, second = replay(experiment), replay(experiment)
    assert first.compute_attainment() == second.compute_attainment()
    assert first.prefilled_tokens == second.prefilled_tokens


def test_the_shipped_decisions_serve_better_than_least_outstanding(
    experiment: Experiment,
) -> None:
    shipped, least = replay(experiment), replay(experiment, "least")
    assert shipped.compute_attainment() > least.compute_attainment() + 0.1
    assert shipped.recomputed_tokens < least.recomputed_tokens / 2


@pytest.mark.parametrize(
    ("constant", "without"),
    [
        ("COPY_WEIGHT", 0.0),
        ("INTERLEAVED_PREFILL_FRACTION", 0.0),
        ("MIN_RESERVED_FRACTION", 0.0),
    ],
)
def test_each_part_of_the_placement_serves_the_burst_better(
    experiment: Experiment,
    monkeypatch: pytest.MonkeyPatch,
    constant: str,
    without: float,
) -> None:
    whole = attainment([replay(experiment, seed=seed) for seed in SEEDS])
    monkeypatch.setattr(engine_placement, constant, without)
    less = attainment([replay(experiment, seed=seed) for seed in SEEDS])
    assert whole > less


def test_prompts_are_read_again_far_less_when_engines_copy(
    experiment: Experiment, monkeypatch: pytest.MonkeyPatch
) -> None:
    with_copies = [replay(experiment, seed=seed) for seed in SEEDS]
    monkeypatch.setattr(
        engine_placement.EnginePlacement, "find_copy_source", lambda *_: None
    )
    without = [replay(experiment, seed=seed) for seed in SEEDS]
    again = sum(tally.recomputed_tokens for tally in with_copies)
    assert again < sum(tally.recomputed_tokens for tally in without) / 2
    assert attainment(with_copies) > attainment(without)


def test_a_crash_is_survived_by_those_that_come_back(experiment: Experiment) -> None:
    fault = Fault(kind=FaultKind.CRASH, at=4.0, seconds=3.0, share=0.2)
    calm = msgspec.structs.replace(experiment, bursts=[])
    tally = replay(msgspec.structs.replace(calm, faults=[fault]))
    failed = sum(
        kind.counts[Result.FAILED] for kind in tally.summarize_by_kind().values()
    )
    asked = sum(
        sum(kind.counts.values()) for kind in tally.summarize_by_kind().values()
    )
    assert asked > 200
    assert failed <= 0.05 * asked


def test_gateways_that_do_not_hear_each_other_still_serve(
    experiment: Experiment,
) -> None:
    cut = Fault(kind=FaultKind.CUT, at=0.0, seconds=SECONDS, share=1.0)
    alone = replay(msgspec.structs.replace(experiment, faults=[cut]))
    assert alone.compute_attainment() > 0.7 * replay(experiment).compute_attainment()


def test_a_burst_makes_more_requests(experiment: Experiment) -> None:
    def asked(bursts: list[Burst]) -> int:
        tally = replay(msgspec.structs.replace(experiment, bursts=bursts), "least")
        return sum(
            sum(kind.counts.values()) for kind in tally.summarize_by_kind().values()
        )

    burst = Burst(at=0.0, seconds=SECONDS, factor=3.0)
    assert asked([burst]) > 2 * asked([])


def test_an_engine_reads_a_shared_part_once(experiment: Experiment) -> None:
    simulator = Simulator()
    one, other = (
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

    send(one, "a")
    assert one.prefilled_tokens == 4500
    send(one, "b")
    assert one.prefilled_tokens == 5000
    seconds = other.copy_prefix(one, (PromptPart("shared", 4000), PromptPart("x", 1)))
    assert 0 < seconds < 0.02
    send(other, "c")
    assert other.prefilled_tokens == 500
    assert ended == [True, True, True]


def test_the_command_prints_a_table_and_draws_a_plot(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    text = FILE.read_text().replace('"seconds": 34', '"seconds": 3')
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


def test_a_wrong_file_is_reported_with_its_place() -> None:
    findings = Findings()
    text = FILE.read_text().replace('"gateways": 8', '"gateways": "many"')
    assert check_experiment(text, file="f.jsonc", findings=findings) is None
    (finding,) = findings
    assert finding.path == "gateways" and finding.line == 6


@pytest.fixture(scope="module")
def many_subjects() -> Experiment:
    """Return a burst about more subjects than its first seconds can read."""
    findings = Findings()
    text = HISTORIES.read_text()
    found = check_experiment(text, file=str(HISTORIES), findings=findings)
    assert found is not None, list(findings)
    return msgspec.structs.replace(found, seconds=BURST_SECONDS, faults=[])


@pytest.fixture(scope="module")
def many_subjects_shipped(many_subjects: Experiment) -> Tally:
    return replay(many_subjects)


@pytest.mark.parametrize(
    ("module", "changes"),
    [
        (cells, {"CELL_ENGINES": 8}),
        (admission, {"PREFILL_DELAY_FACTOR": 0.0}),
        (admission, {"MAX_QUEUE_LENGTH": 100}),
    ],
)
def test_each_decision_serves_a_burst_about_many_subjects_better(
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
        > replay(many_subjects).compute_attainment()
    )
