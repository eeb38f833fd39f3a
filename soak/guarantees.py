"""
Guarantees
==========

Guarantees that hold under every fault, checked on what callers and replicas observed.
"""

from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Sequence

import msgspec

from damasklead.gateway.settings import OperationalLimits
from soak.brittleness import Brittleness
from soak.callers import ObservedResponse
from soak.replicas import (
    EVENT_COUNT,
    Arrival,
    Execution,
    NamedLimit,
    make_versioned_event,
)
from soak.site import STOP_TIMEOUT_SECONDS, VERSIONS, ProcessExit
from tests.gateway_kit import make_event

__all__ = [
    "Violation",
    "check_containment",
    "check_recovery",
    "check_retry_budget",
    "find_violations",
]

# Statuses that guarantee that the request was not and will not be executed.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# Added to the gateway's stop timeout: the delay until the end of its process is
# detected.
STOP_TOLERANCE_SECONDS = 1.0
# Of the requests sent after the end of all faults.
MIN_SERVED_FRACTION = 0.95
# Requests that a replica gets at most, from all gateways together, in any window that
# starts this long after it has named a limit: a multiple of the limit, and some more.
STABLE_SECONDS = 3.0
LIMIT_WINDOW_SECONDS = 4.0
MAX_LIMIT_FACTOR = 1.5
MAX_REQUESTS_BEYOND_LIMIT = 5
# Crashes of brittle replicas: a number, and a fraction of the replicas.
MAX_CRASHES = 2
MAX_CRASHED_FRACTION = 0.1
# Requests with a crashing part that may be executed from the stable time after this
# number of crashes, and after the last fault, on.
COUNTED_CRASHES = 5
MAX_LATE_CRASHES = 3
# Unserved requests that are listed one by one, with their log lines.
MAX_REPORTED_REQUESTS = 5


class Violation(msgspec.Struct, kw_only=True, frozen=True):
    """
    A guarantee that did not hold.

    Attributes
    ----------
    guarantee : str
        The guarantee in words.
    detail : str
        What was observed instead.
    attempt : str
        Attempt id of the request concerned; empty if the violation concerns no single
        request.
    """

    guarantee: str
    detail: str
    attempt: str = ""


def find_violations(
    responses: list[ObservedResponse],
    executions: list[Execution],
    exits: list[ProcessExit],
    limits: Sequence[NamedLimit] = (),
    brittle_times: Sequence[Brittleness] = (),
) -> list[Violation]:
    """Return the violations of the guarantees that hold at any time."""
    execution_counts = Counter(execution.attempt for execution in executions)
    violations = [
        Violation(
            guarantee="an order runs once",
            detail=f"ran {execution_counts[execution.attempt]} times",
            attempt=execution.attempt,
        )
        for execution in executions
        if execution.path.startswith("/order/")
        and execution_counts[execution.attempt] > 1
    ]
    sent = {response.attempt for response in responses}
    violations += [
        Violation(
            guarantee="only what callers sent runs",
            detail=f"{execution.path} at {execution.replica}",
            attempt=execution.attempt,
        )
        for execution in executions
        if execution.attempt not in sent
    ]
    for response in responses:
        violations += _check_response(response, execution_counts[response.attempt])
    for exit_ in exits:
        violations += _check_exit(exit_)
    for limit in limits:
        violations += _check_limit(limit)
    for brittleness in brittle_times:
        violations += _check_brittleness(brittleness)
    return violations


def check_recovery(
    responses: list[ObservedResponse], *, since: float
) -> list[Violation]:
    """
    Return violations unless the requests sent after a time were served.

    Parameters
    ----------
    since : float
        Time in seconds of the monotonic clock.
    """
    recent = [
        response
        for response in responses
        if response.sent_at >= since and not response.has_crashing_part
    ]
    served = sum(response.status == 200 and response.is_complete for response in recent)
    if recent and served >= MIN_SERVED_FRACTION * len(recent):
        return []
    detail = f"{served} of {len(recent)} served after the last fault"
    unserved = [
        response
        for response in recent
        if not (response.status == 200 and response.is_complete)
    ]
    return [Violation(guarantee="service recovers", detail=detail)] + [
        Violation(
            guarantee="service recovers",
            detail=f"{response.path} at {response.gateway}: {response.status}",
            attempt=response.attempt,
        )
        for response in unserved[:MAX_REPORTED_REQUESTS]
    ]


def check_containment(executions: list[Execution], *, since: float) -> list[Violation]:
    """
    Return a violation if requests with a crashing part go on being executed.

    Parameters
    ----------
    since : float
        End of the last fault in seconds of the monotonic clock.
    """
    crashes = [item.started_at for item in executions if item.is_crashing]
    if len(crashes) < COUNTED_CRASHES:
        return []
    stable_at = max(sorted(crashes)[COUNTED_CRASHES - 1], since) + STABLE_SECONDS
    late = sum(at > stable_at for at in crashes)
    if late <= MAX_LATE_CRASHES:
        return []
    return [
        Violation(
            guarantee="a crashing part is contained",
            detail=f"{late} of {len(crashes)} crashes when gateways were stable",
        )
    ]


def check_retry_budget(
    responses: Sequence[ObservedResponse], arrivals: Sequence[Arrival]
) -> list[Violation]:
    """
    Return a violation if too many requests reach replicas again within some window.

    All gateways count together, also those that have ended.  The requests are those of
    the window, of the one before it or of the one half a window before it.
    """
    bounds = OperationalLimits()
    window = bounds.retry_window_seconds
    sent = sorted(response.sent_at for response in responses)
    seen: set[str] = set()
    repeats: list[float] = []
    for arrival in sorted(arrivals, key=lambda item: item.at):
        if arrival.attempt in seen:
            repeats.append(arrival.at)
        seen.add(arrival.attempt)
    for start in repeats:
        requests = max(
            _count_between(sent, start - shift * window, window)
            for shift in (0.0, 0.5, 1.0)
        )
        allowed = bounds.retry_ratio * requests + bounds.retry_allowance
        count = _count_between(repeats, start, window)
        if count > allowed:
            return [
                Violation(
                    guarantee="the retry budget is kept",
                    detail=f"{count} repeats in {window} s, {allowed:.0f} allowed",
                )
            ]
    return []


def _count_between(times: Sequence[float], start: float, seconds: float) -> int:
    """Return the number of sorted times within a window."""
    return bisect_right(times, start + seconds) - bisect_left(times, start)


def _check_response(
    response: ObservedResponse, execution_count: int
) -> list[Violation]:
    if (
        response.status in NOT_EXECUTED_STATUSES
        and execution_count
        and not response.path.startswith("/read/")
    ):
        return [
            Violation(
                guarantee="a refusal is true",
                detail=f"{response.status}, but it ran",
                attempt=response.attempt,
            )
        ]
    if response.status != 200:
        return []
    if response.path.startswith("/chat/"):
        return _check_stream(response)
    if response.path.startswith("/draft/"):
        return _check_resumable_stream(response)
    if response.is_complete and response.body != response.attempt.encode():
        return [
            Violation(
                guarantee="an answer is the replica's",
                detail=repr(response.body[:80]),
                attempt=response.attempt,
            )
        ]
    return []


def _check_stream(response: ObservedResponse) -> list[Violation]:
    expected = b"".join(make_event(number) for number in range(1, EVENT_COUNT + 1))
    if response.is_complete and response.body != expected:
        return [
            Violation(
                guarantee="a stream that ends is whole",
                attempt=response.attempt,
                detail=f"{len(response.body)} of {len(expected)} bytes",
            )
        ]
    if not expected.startswith(response.body):
        return [
            Violation(
                guarantee="a stream is in order",
                detail=repr(response.body[-80:]),
                attempt=response.attempt,
            )
        ]
    return []


def _check_resumable_stream(response: ObservedResponse) -> list[Violation]:
    """Check a stream over all attempts until this one."""
    expected = [
        b"".join(make_versioned_event(number, item) for number in range(1, end + 1))
        for item in VERSIONS
        for end in (response.events.count(b"id: "),)
    ]
    if response.events not in expected:
        return [
            Violation(
                guarantee="a stream is in order and of one version",
                detail=repr(response.events[-120:]),
                attempt=response.attempt,
            )
        ]
    if response.is_complete and response.events.count(b"id: ") != EVENT_COUNT:
        return [
            Violation(
                guarantee="a stream that ends is whole",
                detail=f"{response.events.count(b'id: ')} of {EVENT_COUNT} events",
                attempt=response.attempt,
            )
        ]
    return []


def _check_limit(limit: NamedLimit) -> list[Violation]:
    first = limit.named_at + STABLE_SECONDS
    arrivals = [at for at in limit.arrivals if first <= at < limit.ended_at]
    allowed = (
        MAX_LIMIT_FACTOR * limit.requests_per_second * LIMIT_WINDOW_SECONDS
        + MAX_REQUESTS_BEYOND_LIMIT
    )
    most = max(
        (
            sum(start <= at < start + LIMIT_WINDOW_SECONDS for at in arrivals)
            for start in arrivals
        ),
        default=0,
    )
    if most <= allowed:
        return []
    return [
        Violation(
            guarantee="a replica's limit is kept",
            detail=f"{limit.replica} got {most} requests in {LIMIT_WINDOW_SECONDS} s, "
            f"{allowed:.0f} allowed",
        )
    ]


def _check_brittleness(brittleness: Brittleness) -> list[Violation]:
    allowed = MAX_CRASHES + MAX_CRASHED_FRACTION * brittleness.replica_count
    if len(brittleness.crashes) <= allowed:
        return []
    return [
        Violation(
            guarantee="brittle replicas are not overloaded",
            detail=f"{', '.join(brittleness.crashes)} crashed at more than "
            f"{brittleness.limit} rejections in a second, {allowed:.1f} allowed",
        )
    ]


def _check_exit(exit_: ProcessExit) -> list[Violation]:
    if not exit_.is_expected:
        return [
            Violation(
                guarantee="no process ends by itself",
                detail=f"{exit_.gateway} ended with {exit_.exit_code}",
            )
        ]
    if (
        exit_.exit_code == 0
        and exit_.stop_seconds > STOP_TIMEOUT_SECONDS + STOP_TOLERANCE_SECONDS
    ):
        return [
            Violation(
                guarantee="a stop is in time",
                detail=f"{exit_.gateway} took {exit_.stop_seconds:.1f} s",
            )
        ]
    return []
