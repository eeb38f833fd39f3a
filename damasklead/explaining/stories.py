"""
Stories
=======

What happened to each request, put together from the lines of all gateways.
"""

from collections.abc import Iterable
from enum import Enum

import msgspec

from damasklead.explaining.lines import LogLine

__all__ = ["Cause", "Story", "cause_of", "collect_stories", "format_story"]

# A stream whose first event took longer than this part of the route's target is late.
ON_TIME_SHARE = 1.0


class Cause(Enum):
    """What a request lost by, the worst that its lines show."""

    SERVED = "served"
    LATE_WAITING = "late: waited for a place"
    LATE_FIRST_EVENT = "late: first event after sending"
    REFUSED = "refused"
    REFUSED_UNKNOWN = "refused: not in the configuration"
    FAILED_BY_REPLICA = "failed by the replica itself"
    CUT_OFF = "cut off by a replica"
    TIMED_OUT_WAITING = "timed out before a first event"
    TIMED_OUT_AMID = "timed out amid its answer"
    CALLER_LEFT = "its caller left"
    NO_END = "no end: its gateway was lost"


_UNKNOWN = frozenset({"no-route", "unknown-key", "bad-request"})


class Story(msgspec.Struct, kw_only=True):
    """
    The lines of one request, in order.

    Attributes
    ----------
    lines : list of LogLine
    """

    request: str
    lines: list[LogLine]

    @property
    def began_at(self) -> float:
        """When the request's head was read, in milliseconds since 1970."""
        end = self.end
        if end is None:
            return self.lines[0].at
        return end.at - 1000 * end.number("seconds")

    @property
    def end(self) -> LogLine | None:
        """The line that says how it ended."""
        ends = [line for line in self.lines if line.event in _ENDS]
        return ends[-1] if ends else None

    @property
    def route(self) -> str:
        """The route's name, empty where no line says it."""
        names = [line.pairs["route"] for line in self.lines if "route" in line.pairs]
        return names[-1] if names else ""

    @property
    def waited(self) -> float:
        """Seconds until the request was first offered to a replica."""
        offers = [line.at for line in self.lines if line.event == "offered"]
        return max(0.0, (offers[0] - self.began_at) / 1000) if offers else 0.0


_ENDS = frozenset({"answered", "refused", "caller-gone"})


def collect_stories(lines: Iterable[LogLine]) -> dict[str, Story]:
    """Return the stories by request, in the order in which they began."""
    stories: dict[str, Story] = {}
    for line in sorted(lines, key=lambda item: item.at):
        if line.request:
            story = stories.get(line.request)
            if story is None:
                story = stories[line.request] = Story(request=line.request, lines=[])
            story.lines.append(line)
    return stories


def cause_of(story: Story) -> Cause:
    """Return the one cause under which a request's outcome falls."""
    end = story.end
    if end is None:
        return Cause.NO_END
    if end.event == "caller-gone":
        return Cause.CALLER_LEFT
    if end.event == "answered":
        return _cause_of_answer(story, end)
    reason = end.pairs.get("reason", "")
    if reason in _UNKNOWN:
        return Cause.REFUSED_UNKNOWN
    if reason == "timed-out":
        amid = end.number("events") > 0
        return Cause.TIMED_OUT_AMID if amid else Cause.TIMED_OUT_WAITING
    return Cause.CUT_OFF if reason == "upstream-failed" else Cause.REFUSED


def format_story(story: Story) -> list[str]:
    """Return a request's lines, with milliseconds since its beginning."""
    began = story.began_at
    shown: list[str] = []
    for line in story.lines:
        pairs = " ".join(
            f"{key}={value}" for key, value in line.pairs.items() if key != "request"
        )
        shown.append(
            f"{line.at - began:9.0f} ms  {line.instance:16} {line.event:16} {pairs}"
        )
    shown.append(f"{'':14}{cause_of(story).value}")
    return shown


def _cause_of_answer(story: Story, end: LogLine) -> Cause:
    if end.number("status") >= 500:
        return Cause.FAILED_BY_REPLICA
    target = end.number("target")
    if not target or end.number("first") <= ON_TIME_SHARE * target:
        return Cause.SERVED
    waited_most = story.waited > end.number("first") / 2
    return Cause.LATE_WAITING if waited_most else Cause.LATE_FIRST_EVENT
