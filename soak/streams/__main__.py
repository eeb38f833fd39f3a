"""
Plays seeds, and prints what broke, with the log lines of the requests concerned.

The exit code is 0 when nothing broke.
"""

import argparse
import sys
import tempfile
from collections import Counter
from pathlib import Path

from soak.streams.disruptions import DISRUPTIONS
from soak.streams.play import PlayResult, run_play

MAX_REPORTED = 3


def main() -> int:
    """Play the seeds that the command line gives; returns the exit code."""
    parser = argparse.ArgumentParser(prog="soak.streams", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--kind", action="append", choices=[*DISRUPTIONS], default=[])
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--unframed", type=float, default=0.25)
    parser.add_argument("--callers", type=int, default=30)
    parser.add_argument("--replicas", type=int, default=7)
    parser.add_argument("--descriptors", type=int, default=4100)
    parser.add_argument("--source", type=Path, help="folder of the gateways' code")
    parser.add_argument("--keep", type=Path, help="folder for logs and notes")
    options = parser.parse_args()
    broken = 0
    for seed in range(options.seed, options.seed + options.seeds):
        with tempfile.TemporaryDirectory(prefix="streams-") as name:
            folder = Path(name)
            if options.keep:
                folder = options.keep / str(seed)
                folder.mkdir(parents=True, exist_ok=True)
            result = run_play(
                seed, folder=folder, kinds=options.kind, seconds=options.seconds,
                unframed_fraction=options.unframed, callers=options.callers,
                replicas=options.replicas, max_descriptors=options.descriptors,
                source_folder=options.source,
            )  # fmt: skip
        _print(result)
        broken += bool(result.breaches)
    print(f"{options.seeds} plays, {broken} broken")
    return 1 if broken else 0


def _print(result: PlayResult) -> None:
    ends = result.ends
    print(
        f"seed {result.seed}: {result.stream_count} streams, "
        f"{result.resumed_count} taken up; whole without a length {ends.unframed}, "
        f"{ends.unframed_cut} not complete at the caller; with one {ends.framed}, "
        f"{ends.framed_cut} not; {', '.join(result.disruptions)}"
    )
    counts = Counter(breach.kind for breach in result.breaches)
    for kind, count in counts.items():
        print(f"  BROKEN {count} times: {kind.value}")
    for breach in result.breaches[:MAX_REPORTED]:
        print(f"  {breach.kind.value}: {breach.detail} {' '.join(breach.attempts)}")
        for attempt in breach.attempts:
            for line in result.logs[attempt]:
                print(f"    {line}")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
