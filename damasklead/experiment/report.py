"""
Reports of experiments
======================

Medians over seeds as a table, and a plot of what was earned over the day.
"""

from collections.abc import Mapping, Sequence
from pathlib import Path
from statistics import median

from damasklead.experiment.tally import Result, Tally

__all__ = ["format_report", "write_plot"]

PLOT_INCHES = (9.0, 4.5)


def format_report(runs: Mapping[str, Sequence[Tally]]) -> str:
    """
    Return a table of medians over seeds.

    Parameters
    ----------
    runs : Mapping
        By policy, one tally for each seed.
    """
    lines = [
        f"{'policy':12} {'earned':>7} {'worst 2 s':>9} {'worst kind':>10} "
        f"{'read':>8} {'again':>7} {'copied':>7} {'far MB':>7}"
    ]
    for name, tallies in runs.items():
        worst = [tally.worst() for tally in tallies]
        lines.append(
            f"{name:12} {median(t.attainment() for t in tallies):7.3f} "
            f"{median(item[0] for item in worst):9.3f} "
            f"{median(item[1] for item in worst):10.3f} "
            f"{median(t.read for t in tallies) / 1000:7.0f}k "
            f"{median(t.read_again for t in tallies) / 1000:6.0f}k "
            f"{median(t.copied for t in tallies) / 1000:6.0f}k "
            f"{median(t.far_bytes for t in tallies) / 1e6:7.1f}"
        )
    for name, tallies in runs.items():
        lines.extend(["", f"{name}:", *_kind_lines(tallies)])
    return "\n".join(lines)


def _kind_lines(tallies: Sequence[Tally]) -> list[str]:
    heads = " ".join(f"{result.value:>8}" for result in Result)
    lines = [f"  {'kind':12} {heads} {'earned':>7} {'longest wait':>13}"]
    by_seed = [tally.kinds() for tally in tallies]
    for kind in sorted({name for kinds in by_seed for name in kinds}):
        found = [kinds[kind] for kinds in by_seed if kind in kinds]
        counts = " ".join(
            f"{median(item.counts[result] for item in found):8.0f}" for result in Result
        )
        earned = median(item.earned for item in found)
        wait = median(item.longest_wait for item in found)
        lines.append(f"  {kind:12} {counts} {earned:7.3f} {wait:11.2f} s")
    return lines


def write_plot(runs: Mapping[str, Sequence[Tally]], file: Path, *, title: str) -> None:
    """
    Plot the part earned in each window of the first seed's day, one line a policy.

    Raises
    ------
    ImportError
        When matplotlib is not installed; it comes with the development requirements.
    """
    import matplotlib

    matplotlib.use("agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=PLOT_INCHES)
    for name, tallies in runs.items():
        points = sorted(tallies[0].by_second())
        axes.plot([at for at, _ in points], [part for _, part in points], label=name)
    axes.set(
        xlabel="seconds", ylabel="earned part of the value", ylim=(0, 1.02), title=title
    )
    axes.legend()
    figure.savefig(file)
    pyplot.close(figure)
