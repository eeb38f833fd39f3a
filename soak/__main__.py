"""
Plays soak runs and prints, for each seed, the schedule and the verdict by promise.

Exit code 0 when every promise held.
"""

import argparse
import sys
import tempfile
from pathlib import Path

from soak.run import Verdict, run

SIZES = {
    "gateways": int, "replicas": int, "callers": int, "seconds": float, "faults": int
}  # fmt: skip


def main() -> int:
    """Play the seeds that the command line names."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many, one by one")
    for name, kind in SIZES.items():
        parser.add_argument(f"--{name}", type=kind, default=argparse.SUPPRESS)
    parser.add_argument("--quiet", action="store_true", help="no schedules")
    options = parser.parse_args()
    broken = 0
    for seed in range(options.seed, options.seed + options.seeds):
        with tempfile.TemporaryDirectory(prefix="soak-") as folder:
            sizes = {
                name: value for name, value in vars(options).items() if name in SIZES
            }
            verdict = run(seed, folder=Path(folder), **sizes)
        _print(verdict, schedules=not options.quiet)
        broken += bool(verdict.breaches)
    print(f"{options.seeds} seeds, {broken} with a promise broken")
    return 1 if broken else 0


def _print(verdict: Verdict, *, schedules: bool) -> None:
    counts = ", ".join(
        f"{key}: {verdict.counts[key]}" for key in sorted(verdict.counts)
    )
    state = "BROKEN" if verdict.breaches else "held"
    print(f"seed {verdict.seed}: {state}; answers by status {counts}")
    if schedules or verdict.breaches:
        for fault in verdict.faults:
            print(f"  {fault.at:5.2f} s {fault.kind}, {fault.seconds:.2f} s")
    for breach in verdict.breaches:
        print(f"  BROKEN {breach.promise}: {breach.detail} {breach.attempt}")
        for line in verdict.logs.get(breach.attempt, []) if breach.attempt else []:
            print(f"    {line}")
    for line in verdict.logs["tracebacks"]:
        print(f"  {line}")


if __name__ == "__main__":
    sys.exit(main())
