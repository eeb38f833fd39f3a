"""
Shared parts of a prompt
========================

Where the shared parts of one prompt are, over all replicas that may take it.
"""

from collections.abc import Iterable

from damasklead.gateway.calls import PromptPart
from damasklead.gateway.partplaces import PartLocations
from damasklead.gateway.replicastate import ReplicaState

__all__ = ["SharedParts"]


class SharedParts:
    """
    The shared parts of one prompt.

    A replica that has a part also has all parts before it: it was sent them together.

    Parameters
    ----------
    parts : tuple of PromptPart
    places : PartLocations
    replicas : iterable of ReplicaState
        Those from which parts may be copied.
    """

    def __init__(
        self,
        *,
        parts: tuple[PromptPart, ...],
        places: PartLocations,
        replicas: Iterable[ReplicaState],
    ) -> None:
        self._parts = parts
        self._locations = [places.find_replicas(part.key) for part in parts]
        self._max_cached_tokens = 0
        self._holder: ReplicaState | None = None
        for state in replicas:
            tokens = self.count_cached_tokens(state)
            if tokens > self._max_cached_tokens:
                self._max_cached_tokens, self._holder = tokens, state

    @property
    def total_tokens(self) -> int:
        """All tokens of the shared parts."""
        return sum(part.tokens for part in self._parts)

    @property
    def is_fully_cached(self) -> bool:
        """Whether some replica has all of them."""
        return bool(self._parts) and self._max_cached_tokens == self.total_tokens

    @property
    def holder(self) -> ReplicaState | None:
        """The replica that has most of them; ``None`` when none has any."""
        return self._holder

    @property
    def max_cached_tokens(self) -> int:
        """How many tokens that replica has."""
        return self._max_cached_tokens

    def count_cached_tokens(self, state: ReplicaState) -> int:
        """Return how many tokens a replica has."""
        found = tokens = 0
        for part, places in zip(self._parts, self._locations, strict=True):
            tokens += part.tokens
            if state.key in places or part.key in state.cached_parts:
                found = tokens
        return found
