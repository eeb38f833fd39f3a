"""
Tables
======

What was lost over a day: by cause and route, and by window of time.
"""

from collections import Counter
from collections.abc import Collection

from damasklead.explaining.stories import Cause, Story, cause_of

__all__ = ["format_causes", "format_windows"]

# Long enough for a rate, short enough to tell faults apart; in seconds.
WINDOW_SECONDS = 2


def format_causes(stories: Collection[Story]) -> list[str]:
    """Return a table of requests by cause and route; requests fall under one cause."""
    counts = Counter((cause_of(story), story.route) for story in stories)
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


def format_windows(stories: Collection[Story]) -> list[str]:
    """Return a table of windows: requests, those lost, and by what most of these."""
    if not stories:
        return []
    begin = min(story.began_at for story in stories)
    windows: dict[int, Counter[Cause]] = {}
    for story in stories:
        window = int((story.began_at - begin) / 1000 // WINDOW_SECONDS)
        windows.setdefault(window, Counter())[cause_of(story)] += 1
    lines = [f"{'second':>6} {'requests':>8} {'lost':>6}  by"]
    for window, counts in sorted(windows.items()):
        lost = counts.total() - counts[Cause.SERVED] - counts[Cause.REFUSED_UNKNOWN]
        most = [
            f"{count} {cause.value}"
            for cause, count in counts.most_common()
            if cause not in (Cause.SERVED, Cause.REFUSED_UNKNOWN)
        ]
        lines.append(
            f"{window * WINDOW_SECONDS:6} {counts.total():8} {lost:6}  "
            + "; ".join(most[:3])
        )
    return lines
