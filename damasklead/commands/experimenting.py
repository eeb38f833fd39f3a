"""
Experiments
===========

The command that simulates a load under the gateways' decisions and other policies.
"""

from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from damasklead.commands import DONE, FAILED, print_findings
from damasklead.experiment.description import Experiment, check_experiment
from damasklead.experiment.policies import POLICIES
from damasklead.experiment.report import format_report, write_plot
from damasklead.experiment.tally import Tally
from damasklead.findings import Findings

__all__ = ["RunExperiment"]


@cappa.command(
    name="experiment",
    help="Simulate a load on gateways' decisions with modelled engines and callers.",
)
@dataclass(kw_only=True)
class RunExperiment:
    """Print the medians over all seeds, by policy and kind of request."""

    file: Annotated[
        Path, cappa.Arg(help="Description of the load, engines and faults.")
    ]
    policy: Annotated[
        list[str],
        cappa.Arg(long=True, help=f"One of {', '.join(POLICIES)}; all if left out."),
    ] = field(default_factory=list)
    seeds: Annotated[
        int, cappa.Arg(long=True, help="Number of runs for each policy.")
    ] = 3
    first_seed: Annotated[int, cappa.Arg(long=True, help="Seed of the first run.")] = 1
    jobs: Annotated[
        int, cappa.Arg(long=True, help="Number of runs at the same time.")
    ] = 1
    plot: Annotated[
        Path | None, cappa.Arg(long=True, help="File for a plot of the first run.")
    ] = None

    def __call__(self) -> int:
        """Run the command and return the exit code."""
        findings = Findings()
        experiment = check_experiment(
            self.file.read_text(), file=str(self.file), findings=findings
        )
        if experiment is None:
            return print_findings(findings)
        names = self.policy or list(POLICIES)
        unknown = [name for name in names if name not in POLICIES]
        if unknown:
            print(f"no policy {unknown[0]}; there are {', '.join(POLICIES)}")
            return FAILED
        runs = self._run(experiment, names)
        print(format_report(runs))
        if self.plot is not None:
            write_plot(runs, self.plot, title=experiment.name)
        return DONE

    def _run(self, experiment: Experiment, names: list[str]) -> dict[str, list[Tally]]:
        seeds = range(self.first_seed, self.first_seed + self.seeds)
        tasks = [(experiment, name, seed) for name in names for seed in seeds]
        if self.jobs > 1:
            with ProcessPoolExecutor(self.jobs) as pool:
                tallies = list(pool.map(_run_one, tasks))
        else:
            tallies = [_run_one(task) for task in tasks]
        return {
            name: tallies[index * self.seeds : (index + 1) * self.seeds]
            for index, name in enumerate(names)
        }


def _run_one(task: tuple[Experiment, str, int]) -> Tally:
    # Imported late: it loads the gateway's modules, which no other command needs.
    from damasklead.experiment.fleet import run_experiment

    experiment, name, seed = task
    return run_experiment(experiment, POLICIES[name], seed)
