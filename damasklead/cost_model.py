"""
Cost estimates and batch limits
===============================

Moving averages of the cost of requests by class and workspace, and an adaptive limit of
the batch size of replicas.
"""

import msgspec

from damasklead.ids import ClassName, WorkspaceId

__all__ = ["BatchLimit", "CostModel", "MovingAverage"]

DEFAULT_RESPONSE_TOKENS = 200.0
DEFAULT_SECONDS_PER_TOKEN = 0.02
DEFAULT_SMOOTHING_FACTOR = 0.1
DECREASE_GAP_FRACTION = 0.85  # of the token gap target
INCREASE_GAP_FRACTION = 0.8  # of the token gap target
MIN_DECREASE_FACTOR = 0.92
INCREASE_STEP_REQUESTS = 0.25
IN_USE_FRACTION = 0.8  # of the limit
IN_FORCE_FRACTION = 1.25  # of the limit
INITIAL_LIMIT_FRACTION = 0.75  # of the slots
MIN_LIMIT_FRACTION = 0.4  # of the slots


class MovingAverage(msgspec.Struct, kw_only=True):
    """
    An exponentially weighted moving average that starts as an arithmetic mean.

    Attributes
    ----------
    value : float
        The average, or the initial value before the first sample.
    count : int
        Number of samples.
    smoothing_factor : float
        Weight of a new sample once there are many.

    Examples
    --------
    >>> average = MovingAverage(value=0.0)
    >>> average.add_sample(10.0); average.add_sample(20.0)
    >>> average.value
    15.0
    """

    value: float
    count: int = 0
    smoothing_factor: float = DEFAULT_SMOOTHING_FACTOR

    def add_sample(self, sample: float) -> None:
        """Add a sample."""
        self.count += 1
        weight = max(self.smoothing_factor, 1.0 / self.count)
        self.value += weight * (sample - self.value)


class CostModel:
    """
    Estimates of response lengths in tokens and of seconds per token.

    They are moving averages over completed requests.
    """

    def __init__(self) -> None:
        self._by_class: dict[ClassName, MovingAverage] = {}
        self._by_workspace: dict[tuple[ClassName, WorkspaceId], MovingAverage] = {}
        self._seconds_per_token = MovingAverage(value=DEFAULT_SECONDS_PER_TOKEN)

    def record_completion(
        self,
        name: ClassName,
        workspace: WorkspaceId,
        *,
        tokens: int,
        attempt_tokens: int,
        attempt_seconds: float,
    ) -> None:
        """
        Record a completed request.

        Parameters
        ----------
        name : str
            Name of the request's class.
        workspace : str
        tokens : int
            Length of the response in tokens.
        attempt_tokens : int
            Tokens that the last attempt generated: fewer if it continued a response.
        attempt_seconds : float
            Seconds that the last attempt held a slot.
        """
        for average in (
            self._by_class.setdefault(
                name, MovingAverage(value=DEFAULT_RESPONSE_TOKENS)
            ),
            self._by_workspace.setdefault(
                (name, workspace), MovingAverage(value=DEFAULT_RESPONSE_TOKENS)
            ),
        ):
            average.add_sample(tokens)
        if attempt_tokens > 0:
            self._seconds_per_token.add_sample(attempt_seconds / attempt_tokens)

    def estimate_tokens(self, name: ClassName, workspace: WorkspaceId) -> float:
        """Return the expected length in tokens of a response."""
        workspace_average = self._by_workspace.get((name, workspace))
        if workspace_average is not None and workspace_average.count >= 5:
            return workspace_average.value
        class_average = self._by_class.get(name)
        return DEFAULT_RESPONSE_TOKENS if class_average is None else class_average.value

    def estimate_slot_seconds(self, name: ClassName, workspace: WorkspaceId) -> float:
        """Return the seconds for which a request is expected to hold a slot."""
        return self.estimate_tokens(name, workspace) * self._seconds_per_token.value


class BatchLimit:
    """
    Number of requests that a replica may run at once within a token gap target.

    The limit is multiplied by a factor below 1 while tokens come too slowly and raised
    by a step while they come fast enough (AIMD), so that it needs no performance model
    of the engine.

    Parameters
    ----------
    slots : int
        Upper bound of the limit.

    Examples
    --------
    >>> limit = BatchLimit(slots=32)
    >>> limit.update_limit(token_gap=0.030, target=0.026, batch=32.0)
    >>> limit.value < 32
    True
    """

    def __init__(self, *, slots: int) -> None:
        self._slots = float(slots)
        self._value = INITIAL_LIMIT_FRACTION * slots

    @property
    def value(self) -> int:
        """The limit in requests, at least 1."""
        return max(1, int(self._value))

    def update_limit(
        self, *, token_gap: float, target: float | None, batch: float
    ) -> None:
        """
        Update the limit by the present token gap.

        Parameters
        ----------
        token_gap : float
            Seconds between the tokens of a response.
        target : float or None
            Token gap target in seconds, ``None`` when no class with demand has one.
        batch : float
            Average number of requests that run on a replica.  The limit falls only
            while replicas adhere to it, and rises only while they use it.
        """
        is_too_slow = target is not None and token_gap > DECREASE_GAP_FRACTION * target
        if target is not None and is_too_slow:
            if batch > IN_FORCE_FRACTION * self._value:
                return
            min_limit = MIN_LIMIT_FRACTION * self._slots
            factor = max(
                MIN_DECREASE_FACTOR, DECREASE_GAP_FRACTION * target / token_gap
            )
            self._value = max(min_limit, self._value * factor)
        elif batch >= IN_USE_FRACTION * self._value and (
            target is None or token_gap < INCREASE_GAP_FRACTION * target
        ):
            self._value = min(self._slots, self._value + INCREASE_STEP_REQUESTS)
