"""
Request traces
==============

The log lines of each request from all gateways, and the cause of its outcome.
"""

from collections.abc import Iterable
from enum import Enum

import msgspec

from damasklead.explaining.lines import LogLine

__all__ = ["Cause", "RequestTrace", "determine_cause", "collect_traces", "format_trace"]

# A response is late if its first event took longer than this fraction of the target.
ON_TIME_FRACTION = 1.0


class Cause(Enum):
    """Why a request was lost or late; ``SERVED`` for a response within its target."""

    SERVED = "served"
    LATE_QUEUED = "late: waited for a place"
    LATE_AFTER_DISPATCH = "late: first event after sending"
    REFUSED = "refused"
    REFUSED_UNCONFIGURED = "refused: not in the configuration"
    FAILED_BY_REPLICA = "failed by the replica itself"
    INTERRUPTED = "cut off by a replica"
    TIMED_OUT_BEFORE_EVENT = "timed out before a first event"
    TIMED_OUT_MID_STREAM = "timed out amid its answer"
    CALLER_DISCONNECTED = "its caller left"
    NO_FINAL_EVENT = "no end: its gateway was lost"


_UNCONFIGURED_REASONS = frozenset({"no-route", "unknown-key", "bad-request"})


class RequestTrace(msgspec.Struct, kw_only=True):
    """
    The log lines of one request.

    Attributes
    ----------
    request_id : str
        Attempt id of the request.
    lines : list of LogLine
        The lines in the order of their time.
    """

    request_id: str
    lines: list[LogLine]

    @property
    def started_unix_ms(self) -> float:
        """Time at which the request head was read, milliseconds since 1970."""
        final_line = self.final_line
        if final_line is None:
            return self.lines[0].unix_ms
        return final_line.unix_ms - 1000 * final_line.get_number("seconds")

    @property
    def final_line(self) -> LogLine | None:
        """The line with the outcome; ``None`` if no gateway logged one."""
        final_lines = [line for line in self.lines if line.event in _FINAL_EVENTS]
        return final_lines[-1] if final_lines else None

    @property
    def route(self) -> str:
        """Name of the route; empty if no line has it."""
        names = [line.fields["route"] for line in self.lines if "route" in line.fields]
        return names[-1] if names else ""

    @property
    def queued_seconds(self) -> float:
        """Seconds from the request head to the first attempt; 0 without attempts."""
        dispatch_times = [
            line.unix_ms for line in self.lines if line.event == "offered"
        ]
        return (
            max(0.0, (dispatch_times[0] - self.started_unix_ms) / 1000)
            if dispatch_times
            else 0.0
        )


_FINAL_EVENTS = frozenset({"answered", "refused", "caller-gone"})


def collect_traces(lines: Iterable[LogLine]) -> dict[str, RequestTrace]:
    """Return the traces by attempt id, in the order of their first lines."""
    traces: dict[str, RequestTrace] = {}
    for line in sorted(lines, key=lambda item: item.unix_ms):
        if line.request_id:
            trace = traces.get(line.request_id)
            if trace is None:
                trace = traces[line.request_id] = RequestTrace(
                    request_id=line.request_id, lines=[]
                )
            trace.lines.append(line)
    return traces


def determine_cause(trace: RequestTrace) -> Cause:
    """Return the cause of a request's outcome."""
    final_line = trace.final_line
    if final_line is None:
        return Cause.NO_FINAL_EVENT
    if final_line.event == "caller-gone":
        return Cause.CALLER_DISCONNECTED
    if final_line.event == "answered":
        return _determine_response_cause(trace, final_line)
    reason = final_line.fields.get("reason", "")
    if reason in _UNCONFIGURED_REASONS:
        return Cause.REFUSED_UNCONFIGURED
    if reason == "timed-out":
        has_events = final_line.get_number("events") > 0
        return (
            Cause.TIMED_OUT_MID_STREAM if has_events else Cause.TIMED_OUT_BEFORE_EVENT
        )
    return Cause.INTERRUPTED if reason == "upstream-failed" else Cause.REFUSED


def format_trace(trace: RequestTrace) -> list[str]:
    """Return the lines of a request with their time in ms since it began."""
    start = trace.started_unix_ms
    rows: list[str] = []
    for line in trace.lines:
        fields = " ".join(
            f"{key}={value}" for key, value in line.fields.items() if key != "request"
        )
        rows.append(
            f"{line.unix_ms - start:9.0f} ms  {line.instance:16} {line.event:16} "
            f"{fields}"
        )
    rows.append(f"{'':14}{determine_cause(trace).value}")
    return rows


def _determine_response_cause(trace: RequestTrace, final_line: LogLine) -> Cause:
    if final_line.get_number("status") >= 500:
        return Cause.FAILED_BY_REPLICA
    target = final_line.get_number("target")
    if not target or final_line.get_number("first") <= ON_TIME_FRACTION * target:
        return Cause.SERVED
    was_mostly_queued = trace.queued_seconds > final_line.get_number("first") / 2
    return Cause.LATE_QUEUED if was_mostly_queued else Cause.LATE_AFTER_DISPATCH
