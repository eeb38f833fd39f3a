"""
Shared parts of a prompt
========================

Where the shared parts of one prompt are, over all replicas that may take it.
"""

from collections.abc import Iterable

from damasklead.gateway.calls import PromptPart
from damasklead.gateway.partplaces import PartPlaces
from damasklead.gateway.replicastate import ReplicaState

__all__ = ["SharedParts"]


class SharedParts:
    """
    The shared parts of one prompt.

    A replica that has a part also has all parts before it: it was sent them together.

    Parameters
    ----------
    parts : tuple of PromptPart
    places : PartPlaces
    replicas : iterable of ReplicaState
        Those from which parts may be copied.
    """

    def __init__(
        self,
        *,
        parts: tuple[PromptPart, ...],
        places: PartPlaces,
        replicas: Iterable[ReplicaState],
    ) -> None:
        self._parts = parts
        self._places = [places.replicas(part.key) for part in parts]
        self._best = 0
        self._holder: ReplicaState | None = None
        for state in replicas:
            tokens = self.at(state)
            if tokens > self._best:
                self._best, self._holder = tokens, state

    @property
    def tokens(self) -> int:
        """All tokens of the shared parts."""
        return sum(part.tokens for part in self._parts)

    @property
    def known(self) -> bool:
        """Whether some replica has all of them."""
        return bool(self._parts) and self._best == self.tokens

    @property
    def holder(self) -> ReplicaState | None:
        """The replica that has most of them; ``None`` when none has any."""
        return self._holder

    @property
    def best(self) -> int:
        """How many tokens that replica has."""
        return self._best

    def at(self, state: ReplicaState) -> int:
        """Return how many tokens a replica has."""
        found = tokens = 0
        for part, places in zip(self._parts, self._places, strict=True):
            tokens += part.tokens
            if state.key in places or part.key in state.parts:
                found = tokens
        return found
