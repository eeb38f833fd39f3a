"""
Learnt costs
============

Moving averages of what requests cost, by class and workspace, and of what a batch costs
a replica.
"""

import msgspec

from damasklead.ids import ClassName, WorkspaceId

__all__ = ["BatchLimit", "CostModel", "MovingAverage"]

DEFAULT_TOKENS = 200.0
DEFAULT_TOKEN_SECONDS = 0.02
LEARNING_RATE = 0.1
GAP_HIGH = 0.85  # of the target
GAP_LOW = 0.8  # of the target
MAX_LIMIT_DECREASE = 0.92
LIMIT_INCREASE = 0.25
IN_USE_FRACTION = 0.8
IN_FORCE_FRACTION = 1.25
START_FRACTION = 0.75
MIN_LIMIT_FRACTION = 0.4


class MovingAverage(msgspec.Struct, kw_only=True):
    """
    An exponentially weighted average that starts as a plain one.

    Examples
    --------
    >>> average = MovingAverage(value=0.0)
    >>> average.add_sample(10.0); average.add_sample(20.0)
    >>> average.value
    15.0
    """

    value: float
    count: int = 0
    smoothing_factor: float = LEARNING_RATE

    def add_sample(self, sample: float) -> None:
        """Take in one sample."""
        self.count += 1
        weight = max(self.smoothing_factor, 1.0 / self.count)
        self.value += weight * (sample - self.value)


class CostModel:
    """
    Expected answer length in tokens and seconds per token, learnt from finished
    requests.
    """

    def __init__(self) -> None:
        self._by_class: dict[ClassName, MovingAverage] = {}
        self._by_workspace: dict[tuple[ClassName, WorkspaceId], MovingAverage] = {}
        self._token_seconds = MovingAverage(value=DEFAULT_TOKEN_SECONDS)

    def record_completion(
        self, name: ClassName, workspace: WorkspaceId, *, tokens: int, seconds: float
    ) -> None:
        """Take in one finished request."""
        for average in (
            self._by_class.setdefault(name, MovingAverage(value=DEFAULT_TOKENS)),
            self._by_workspace.setdefault(
                (name, workspace), MovingAverage(value=DEFAULT_TOKENS)
            ),
        ):
            average.add_sample(tokens)
        if tokens > 0:
            self._token_seconds.add_sample(seconds / tokens)

    def estimate_tokens(self, name: ClassName, workspace: WorkspaceId) -> float:
        """Return the expected answer length in tokens."""
        own = self._by_workspace.get((name, workspace))
        if own is not None and own.count >= 5:
            return own.value
        shared = self._by_class.get(name)
        return DEFAULT_TOKENS if shared is None else shared.value

    def estimate_slot_seconds(self, name: ClassName, workspace: WorkspaceId) -> float:
        """Return for how many seconds a request is expected to hold a slot."""
        return self.estimate_tokens(name, workspace) * self._token_seconds.value


class BatchLimit:
    """
    How many requests a replica may run at once within a target between tokens.

    It falls by a factor while tokens come too slowly and rises by a step while they
    come fast enough, so that it needs no model of the engine.

    Examples
    --------
    >>> limit = BatchLimit(slots=32)
    >>> limit.update_limit(token_gap=0.030, target=0.026, batch=32.0)
    >>> limit.value < 32
    True
    """

    def __init__(self, *, slots: int) -> None:
        self._slots = float(slots)
        self._value = START_FRACTION * slots

    @property
    def value(self) -> int:
        """The limit."""
        return max(1, int(self._value))

    def update_limit(
        self, *, token_gap: float, target: float | None, batch: float
    ) -> None:
        """
        Take in the present seconds between tokens.

        Parameters
        ----------
        target : float or None
            ``None`` when no class now asked for has one.
        batch : float
            How many requests the replicas run on average; the limit falls only while it
            is in force, and rises only while it is in use.
        """
        too_slow = target is not None and token_gap > GAP_HIGH * target
        if target is not None and too_slow:
            if batch > IN_FORCE_FRACTION * self._value:
                return
            lowest = MIN_LIMIT_FRACTION * self._slots
            factor = max(MAX_LIMIT_DECREASE, GAP_HIGH * target / token_gap)
            self._value = max(lowest, self._value * factor)
        elif batch >= IN_USE_FRACTION * self._value and (
            target is None or token_gap < GAP_LOW * target
        ):
            self._value = min(self._slots, self._value + LIMIT_INCREASE)
