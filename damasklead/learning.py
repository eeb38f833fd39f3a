"""
Learnt costs
============

Moving averages of what requests cost, by class and workspace, and of what a batch costs
a replica.
"""

import msgspec

from damasklead.ids import ClassName, WorkspaceId

__all__ = ["BatchModel", "CostModel", "MovingAverage"]

DEFAULT_TOKENS = 200.0
DEFAULT_TOKEN_SECONDS = 0.02
LEARNING_RATE = 0.1
GAP_DECAY = 0.995
MIN_BATCH_SPREAD = 4.0


class MovingAverage(msgspec.Struct, kw_only=True):
    """
    An exponentially weighted average that starts as a plain one.

    Examples
    --------
    >>> average = MovingAverage(value=0.0)
    >>> average.add(10.0); average.add(20.0)
    >>> average.value
    15.0
    """

    value: float
    count: int = 0
    rate: float = LEARNING_RATE

    def add(self, sample: float) -> None:
        """Take in one sample."""
        self.count += 1
        weight = max(self.rate, 1.0 / self.count)
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

    def learn(
        self, name: ClassName, workspace: WorkspaceId, *, tokens: int, seconds: float
    ) -> None:
        """Take in one finished request."""
        for average in (
            self._by_class.setdefault(name, MovingAverage(value=DEFAULT_TOKENS)),
            self._by_workspace.setdefault(
                (name, workspace), MovingAverage(value=DEFAULT_TOKENS)
            ),
        ):
            average.add(tokens)
        if tokens > 0:
            self._token_seconds.add(seconds / tokens)

    def tokens(self, name: ClassName, workspace: WorkspaceId) -> float:
        """Return the expected answer length in tokens."""
        own = self._by_workspace.get((name, workspace))
        if own is not None and own.count >= 5:
            return own.value
        shared = self._by_class.get(name)
        return DEFAULT_TOKENS if shared is None else shared.value

    def slot_seconds(self, name: ClassName, workspace: WorkspaceId) -> float:
        """Return for how many seconds a request is expected to hold a slot."""
        return self.tokens(name, workspace) * self._token_seconds.value


class BatchModel:
    """
    Least-squares line of the time between tokens against the batch size, with decay.

    It answers how many requests a replica may run at once within a target between
    tokens.
    """

    def __init__(self) -> None:
        self._weight = 0.0
        self._sum_x = 0.0
        self._sum_y = 0.0
        self._sum_xx = 0.0
        self._sum_xy = 0.0

    def learn(self, *, batch: float, token_gap: float) -> None:
        """Take in one report: the batch size and the seconds between tokens."""
        self._weight = self._weight * GAP_DECAY + 1.0
        self._sum_x = self._sum_x * GAP_DECAY + batch
        self._sum_y = self._sum_y * GAP_DECAY + token_gap
        self._sum_xx = self._sum_xx * GAP_DECAY + batch * batch
        self._sum_xy = self._sum_xy * GAP_DECAY + batch * token_gap

    def batch_for(self, token_gap: float) -> float | None:
        """
        Return the batch size at which tokens come ``token_gap`` seconds apart.

        Returns
        -------
        float or None
            ``None`` while the reports do not show a slope.
        """
        if self._weight < 10:
            return None
        mean_x = self._sum_x / self._weight
        mean_y = self._sum_y / self._weight
        variance = self._sum_xx / self._weight - mean_x * mean_x
        covariance = self._sum_xy / self._weight - mean_x * mean_y
        if variance < MIN_BATCH_SPREAD or covariance <= 0:
            return None
        slope = covariance / variance
        return mean_x + (token_gap - mean_y) / slope
