"""
Runs the soak test and prints, for each seed, the schedule of faults and each violated
guarantee with the log lines of its request.

The exit code is 0 when no guarantee was violated.
"""

import argparse
import sys
import tempfile
from pathlib import Path

from soak.run import SoakResult, run_seed

SIZES = {
    "gateways": int, "replicas": int, "callers": int, "seconds": float, "faults": int
}  # fmt: skip


def main() -> int:
    """Run the seeds that the command line gives; returns the exit code."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of consecutive seeds"
    )
    for name, kind in SIZES.items():
        parser.add_argument(f"--{name}", type=kind, default=argparse.SUPPRESS)
    parser.add_argument(
        "--quiet", action="store_true", help="print schedules of failed seeds only"
    )
    options = parser.parse_args()
    violated_count = 0
    for seed in range(options.seed, options.seed + options.seeds):
        with tempfile.TemporaryDirectory(prefix="soak-") as folder:
            sizes = {
                name: value for name, value in vars(options).items() if name in SIZES
            }
            result = run_seed(seed, folder=Path(folder), **sizes)
        _print(result, schedules=not options.quiet)
        violated_count += bool(result.violations)
    print(f"{options.seeds} seeds, {violated_count} with a violated guarantee")
    return 1 if violated_count else 0


def _print(result: SoakResult, *, schedules: bool) -> None:
    counts = ", ".join(
        f"{key}: {result.status_counts[key]}" for key in sorted(result.status_counts)
    )
    state = "BROKEN" if result.violations else "held"
    print(f"seed {result.seed}: {state}; answers by status {counts}")
    if schedules or result.violations:
        for fault in result.faults:
            print(
                f"  {fault.start_seconds:5.2f} s {fault.kind}, "
                f"{fault.duration_seconds:.2f} s"
            )
    for violation in result.violations:
        print(f"  BROKEN {violation.guarantee}: {violation.detail} {violation.attempt}")
        for line in result.logs.get(violation.attempt, []) if violation.attempt else []:
            print(f"    {line}")
    for line in result.logs["tracebacks"]:
        print(f"  {line}")


if __name__ == "__main__":
    sys.exit(main())
