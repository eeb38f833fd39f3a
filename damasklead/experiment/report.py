"""
Reports of experiments
======================

A table of medians over seeds, and a plot of attainment over time.
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
        Tallies by name of the policy, one for each seed.
    """
    lines = [
        f"{'policy':12} {'earned':>7} {'worst 2 s':>9} {'worst kind':>10} "
        f"{'read':>8} {'again':>7} {'copied':>7} {'far MB':>7}"
    ]
    for name, tallies in runs.items():
        worst = [tally.compute_worst_attainment() for tally in tallies]
        lines.append(
            f"{name:12} {median(t.compute_attainment() for t in tallies):7.3f} "
            f"{median(item[0] for item in worst):9.3f} "
            f"{median(item[1] for item in worst):10.3f} "
            f"{median(t.prefilled_tokens for t in tallies) / 1000:7.0f}k "
            f"{median(t.recomputed_tokens for t in tallies) / 1000:6.0f}k "
            f"{median(t.copied_tokens for t in tallies) / 1000:6.0f}k "
            f"{median(t.cross_data_centre_bytes for t in tallies) / 1e6:7.1f}"
        )
    for name, tallies in runs.items():
        lines.extend(["", f"{name}:", *_format_kinds(tallies)])
    return "\n".join(lines)


def _format_kinds(tallies: Sequence[Tally]) -> list[str]:
    headings = " ".join(f"{result.value:>8}" for result in Result)
    lines = [
        f"  {'kind':12} {headings} {'earned':>7} {'served':>7} {'largest':>7} "
        f"{'longest wait':>13}"
    ]
    by_seed = [tally.summarize_by_kind() for tally in tallies]
    for kind in sorted({name for kinds in by_seed for name in kinds}):
        found = [kinds[kind] for kinds in by_seed if kind in kinds]
        counts = " ".join(
            f"{median(item.counts[result] for item in found):8.0f}" for result in Result
        )
        earned = median(item.attainment for item in found)
        served = median(item.served_fraction for item in found)
        largest = median(item.largest_served_fraction for item in found)
        wait = median(item.max_first_event_seconds for item in found)
        lines.append(
            f"  {kind:12} {counts} {earned:7.3f} {served:7.3f} {largest:7.3f} "
            f"{wait:11.2f} s"
        )
    return lines


def write_plot(runs: Mapping[str, Sequence[Tally]], file: Path, *, title: str) -> None:
    """
    Plot the attainment by time window in the first seed's run, one line a policy.

    Parameters
    ----------
    runs : Mapping
        Tallies by name of the policy, one for each seed.
    file : Path
        Image file that is written.
    title : str

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
        points = sorted(tallies[0].compute_window_attainment())
        axes.plot(
            [time for time, _ in points], [value for _, value in points], label=name
        )
    axes.set(
        xlabel="seconds",
        ylabel="earned fraction of the value",
        ylim=(0, 1.02),
        title=title,
    )
    axes.legend()
    figure.savefig(file)
    pyplot.close(figure)
