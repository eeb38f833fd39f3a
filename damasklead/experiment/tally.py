"""
Tally of an experiment
======================

Outcomes of requests, summarized by kind of request and by time window.  Attainment is
the fraction of the value of all requests that the responses earned.
"""

from collections.abc import Sequence
from enum import Enum

import msgspec

from damasklead.experiment.description import RequestKind

__all__ = ["KindTally", "RequestOutcome", "Result", "Tally"]

# Attainment is reported for the worst WORST_WINDOW_COUNT windows of this length.
WINDOW_SECONDS = 2.0
WORST_WINDOW_COUNT = 2
# Fraction of a kind's value that each request has regardless of its length; the rest
# grows with its prompt's length relative to the kind's mean.
FIXED_VALUE_FRACTION = 0.3
# A request has at most this multiple of its kind's value.
MAX_VALUE_FACTOR = 4.0
# The requests with the longest prompts, as a fraction of a kind, whose service is
# reported separately.
LARGEST_FRACTION = 0.1


class Result(Enum):
    """Result of a request for its caller."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


class RequestOutcome(msgspec.Struct, kw_only=True, frozen=True):
    """
    The outcome of one request.

    Attributes
    ----------
    kind : RequestKind
    arrival_time : float
        Seconds since the start of the run.
    prompt_tokens : int
    result : Result
    first_event_seconds : float
        Seconds from arrival to the first event, 0 without one.
    """

    kind: RequestKind
    arrival_time: float
    prompt_tokens: int
    result: Result
    first_event_seconds: float = 0.0

    @property
    def is_served(self) -> bool:
        """Whether the caller received a complete response."""
        return self.result in (Result.IN_TIME, Result.LATE)

    @property
    def earned_fraction(self) -> float:
        """Fraction of the request's value that its response earned."""
        if self.result is Result.IN_TIME:
            return 1.0
        late = self.kind.late_value / self.kind.value
        return late if self.result is Result.LATE else 0.0


class KindTally(msgspec.Struct, kw_only=True, frozen=True):
    """
    The results of one kind of request.

    Attributes
    ----------
    counts : dict
        Number of requests by result.
    attainment : float
        Fraction of the requests' value that was earned.
    max_first_event_seconds : float
        Longest time from arrival to the first event.
    served_fraction : float
        Fraction of the requests that received a complete response.
    largest_served_fraction : float
        The same for the tenth of the requests with the longest prompts.
    """

    counts: dict[Result, int]
    attainment: float
    max_first_event_seconds: float
    served_fraction: float
    largest_served_fraction: float


class Tally:
    """
    All outcomes of one run.

    Attributes
    ----------
    prefilled_tokens, recomputed_tokens, copied_tokens : int
        Prompt tokens that the engines prefilled, those of shared parts that some engine
        had prefilled before, and those copied between engines.
    cross_data_centre_bytes : int
        Bytes of prompts sent to other data centres.
    """

    def __init__(self) -> None:
        self.prefilled_tokens = 0
        self.recomputed_tokens = 0
        self.copied_tokens = 0
        self.cross_data_centre_bytes = 0
        self._outcomes: list[RequestOutcome] = []

    def record_outcome(self, outcome: RequestOutcome) -> None:
        """Add the outcome of a request."""
        self._outcomes.append(outcome)

    def summarize_by_kind(self) -> dict[str, KindTally]:
        """Return the results by name of the kind."""
        names = sorted({item.kind.name for item in self._outcomes})
        return {
            name: _summarize_outcomes(
                [x for x in self._outcomes if x.kind.name == name]
            )
            for name in names
        }

    def compute_attainment(self) -> float:
        """Return the fraction of the value of all requests that was earned."""
        return _compute_attainment(self._outcomes)

    def compute_window_attainment(
        self, seconds: float = WINDOW_SECONDS
    ) -> list[tuple[float, float]]:
        """
        Return the attainment by time window of arrival.

        Parameters
        ----------
        seconds : float
            Length of a window.

        Returns
        -------
        list of tuple
            Start of each window, in seconds since the start of the run, and attainment.
        """
        windows: dict[int, list[RequestOutcome]] = {}
        for item in self._outcomes:
            windows.setdefault(int(item.arrival_time / seconds), []).append(item)
        return [
            (number * seconds, _compute_attainment(items))
            for number, items in windows.items()
        ]

    def compute_worst_attainment(self) -> tuple[float, float]:
        """Return the mean attainment of the worst windows and of the worst kind."""
        windows = sorted(value for _, value in self.compute_window_attainment())[
            :WORST_WINDOW_COUNT
        ]
        kinds = [item.attainment for item in self.summarize_by_kind().values()]
        return sum(windows) / max(1, len(windows)), min(kinds, default=1.0)


def _summarize_outcomes(outcomes: Sequence[RequestOutcome]) -> KindTally:
    by_size = sorted(outcomes, key=lambda item: item.prompt_tokens, reverse=True)
    largest = by_size[: max(1, int(LARGEST_FRACTION * len(by_size)))]
    return KindTally(
        counts={
            result: sum(item.result is result for item in outcomes) for result in Result
        },
        attainment=_compute_attainment(outcomes),
        max_first_event_seconds=max(item.first_event_seconds for item in outcomes),
        served_fraction=_compute_served_fraction(outcomes),
        largest_served_fraction=_compute_served_fraction(largest),
    )


def _compute_served_fraction(outcomes: Sequence[RequestOutcome]) -> float:
    return sum(item.is_served for item in outcomes) / len(outcomes)


def _compute_attainment(outcomes: Sequence[RequestOutcome]) -> float:
    """Return the earned fraction, weighting requests by value and prompt length."""
    if not outcomes:
        return 1.0
    prompt_tokens: dict[str, list[int]] = {}
    for item in outcomes:
        prompt_tokens.setdefault(item.kind.name, []).append(item.prompt_tokens)
    mean_prompt_tokens = {
        name: sum(values) / len(values) for name, values in prompt_tokens.items()
    }
    total_value = earned = 0.0
    for item in outcomes:
        factor = (
            FIXED_VALUE_FRACTION
            + (1 - FIXED_VALUE_FRACTION)
            * item.prompt_tokens
            / mean_prompt_tokens[item.kind.name]
        )
        value = item.kind.value * min(MAX_VALUE_FACTOR, factor)
        total_value += value
        earned += value * item.earned_fraction
    return earned / total_value
