"""
Peak memory with slow callers
=============================

Starts a gateway for an instance of 88 MB and 1,638 descriptors for each variant and
number of slow callers, and prints the peak of its memory, of its descriptors, and the
bytes held for callers by its own account.

Use: ``python -m bench.slowcallers [--callers N ...] [--variant NAME ...]``.
"""

import argparse
import re
import tempfile
from pathlib import Path

from tests.gateway_kit import wait_until
from tests.slow_callers import (
    VARIANTS,
    Variant,
    count_descriptors,
    read_peak_memory,
    sample_peak,
)
from tests.test_gateway_slow_callers import CrowdSite

MEMORY_MEGABYTES = 88
CALLER_COUNTS = (100, 400, 1600)
# Callers connect at this interval; the gateway is observed for so long after the last.
CONNECT_SECONDS = 0.002
OBSERVED_SECONDS = 4.0
METRICS_REQUEST = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
COLUMNS = "{:29} {:>7} {:>8} {:>8} {:>8} {:>9}"


def measure(variant: Variant, callers: int) -> tuple[float, float, int, bool]:
    """
    Run a crowd against a new gateway.

    Returns
    -------
    tuple
        Peak memory and bytes held at the end in MB, peak of the descriptors, and
        whether an ordinary request was answered within 20 s.
    """
    with tempfile.TemporaryDirectory() as folder:
        site = CrowdSite(Path(folder), is_exclusive=False)
        try:
            site.start_limited(memory_megabytes=MEMORY_MEGABYTES)
            crowd = site.start_crowd(variant, callers=callers, interval=CONNECT_SECONDS)
            descriptors = sample_peak(
                lambda: count_descriptors(site.pid),
                seconds=callers * CONNECT_SECONDS + OBSERVED_SECONDS,
            )
            metrics = site.send_bytes("operators", METRICS_REQUEST).decode()
            held = sum(
                float(value)
                for value in re.findall(
                    r"^damasklead_held_bytes{.*} (.+)$", metrics, re.M
                )
            )
            is_serving = True
            try:
                wait_until(site.serves_ordinary_caller, seconds=20)
            except BaseException:  # gevent.Timeout is none of Exception
                is_serving = False
            peak = read_peak_memory(site.pid)
            crowd.stop()
        finally:
            site.close()
    return peak / 1e6, held / 1e6, descriptors, is_serving


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--callers", type=int, nargs="*", default=CALLER_COUNTS)
    parser.add_argument("--variant", nargs="*")
    arguments = parser.parse_args()
    print(
        COLUMNS.format("variant", "callers", "peak MB", "held MB", "files", "ordinary")
    )
    for variant in VARIANTS:
        if arguments.variant and variant.name not in arguments.variant:
            continue
        for callers in arguments.callers:
            peak, held, descriptors, is_serving = measure(variant, callers)
            print(
                COLUMNS.format(
                    variant.name,
                    callers,
                    f"{peak:.1f}",
                    f"{held:.1f}",
                    descriptors,
                    "served" if is_serving else "not",
                ),
                flush=True,
            )


if __name__ == "__main__":
    main()
