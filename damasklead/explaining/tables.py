"""
Tables
======

Tables of requests by cause and route, and of lost requests by window of time.
"""

from collections import Counter
from collections.abc import Collection

from damasklead.explaining.stories import Cause, RequestTrace, determine_cause

__all__ = ["format_cause_table", "format_window_table"]

# Long enough to show a rate and short enough to separate successive faults.
WINDOW_SECONDS = 2


def format_cause_table(traces: Collection[RequestTrace]) -> list[str]:
    """Return a table of requests by cause and route; each request has one cause."""
    counts = Counter((determine_cause(trace), trace.route) for trace in traces)
    routes = sorted({route for _, route in counts})
    width = max(len(cause.value) for cause in Cause)
    names = [route or "(no route)" for route in routes]
    lines = [" ".join([f"{'cause':{width}}", *(f"{name:>12}" for name in names)])]
    for cause in Cause:
        row = [counts[cause, route] for route in routes]
        if any(row):
            cells = (f"{count:12}" for count in row)
            lines.append(" ".join([f"{cause.value:{width}}", *cells]))
    return lines


def format_window_table(traces: Collection[RequestTrace]) -> list[str]:
    """Return a table of time windows: requests, lost requests, most frequent causes."""
    if not traces:
        return []
    first_unix_ms = min(trace.started_unix_ms for trace in traces)
    windows: dict[int, Counter[Cause]] = {}
    for trace in traces:
        window = int((trace.started_unix_ms - first_unix_ms) / 1000 // WINDOW_SECONDS)
        windows.setdefault(window, Counter())[determine_cause(trace)] += 1
    lines = [f"{'second':>6} {'requests':>8} {'lost':>6}  by"]
    for window, counts in sorted(windows.items()):
        lost = (
            counts.total() - counts[Cause.SERVED] - counts[Cause.REFUSED_UNCONFIGURED]
        )
        frequent_causes = [
            f"{count} {cause.value}"
            for cause, count in counts.most_common()
            if cause not in (Cause.SERVED, Cause.REFUSED_UNCONFIGURED)
        ]
        lines.append(
            f"{window * WINDOW_SECONDS:6} {counts.total():8} {lost:6}  "
            + "; ".join(frequent_causes[:3])
        )
    return lines
