"""
Shared parts of a prompt
========================

Finds how much of one prompt's shared prefix each replica has cached.
"""

from collections.abc import Iterable

from damasklead.gateway.calls import PromptPart
from damasklead.gateway.part_locations import PartLocations
from damasklead.gateway.replica_state import ReplicaState

__all__ = ["SharedParts"]


class SharedParts:
    """
    The shared parts of one prompt and the replicas that have them cached.

    A replica that has a part also has all parts before it, since the parts of a prompt
    are sent together.

    Parameters
    ----------
    parts : tuple of PromptPart
        The shared parts in the order of the prompt.
    locations : PartLocations
    replicas : iterable of ReplicaState
        The replicas from which parts may be copied.
    """

    def __init__(
        self,
        *,
        parts: tuple[PromptPart, ...],
        locations: PartLocations,
        replicas: Iterable[ReplicaState],
    ) -> None:
        self._parts = parts
        self._locations = [locations.find_replicas(part.key) for part in parts]
        self._max_cached_tokens = 0
        self._holder: ReplicaState | None = None
        for state in replicas:
            tokens = self.count_cached_tokens(state)
            if tokens > self._max_cached_tokens:
                self._max_cached_tokens, self._holder = tokens, state

    @property
    def total_tokens(self) -> int:
        """Number of tokens of all shared parts."""
        return sum(part.tokens for part in self._parts)

    @property
    def is_fully_cached(self) -> bool:
        """Whether some replica has cached all shared parts."""
        return bool(self._parts) and self._max_cached_tokens == self.total_tokens

    @property
    def holder(self) -> ReplicaState | None:
        """The replica with the most cached tokens; ``None`` when none has any."""
        return self._holder

    @property
    def max_cached_tokens(self) -> int:
        """Number of cached tokens of the replica that has most of them."""
        return self._max_cached_tokens

    def count_cached_tokens(self, state: ReplicaState) -> int:
        """Return the number of tokens that a replica has cached."""
        cached = tokens = 0
        for part, replicas in zip(self._parts, self._locations, strict=True):
            tokens += part.tokens
            if state.key in replicas or part.key in state.cached_parts:
                cached = tokens
        return cached
