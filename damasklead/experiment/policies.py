"""
Policies of experiments
=======================

The shipped decisions, and others to compare them with.
"""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import ClassVar

from damasklead.experiment.engines import Engine
from damasklead.gateway.calls import Call
from damasklead.gateway.placements import EnginePlacement, Placement
from damasklead.gateway.placements.base import tie_breaker
from damasklead.gateway.placements.engine import PREFILL_TOKENS_PER_SECOND
from damasklead.gateway.replica_state import ReplicaState
from damasklead.ids import InstanceId

__all__ = ["POLICIES", "Policy"]


class Policy(ABC):
    """How the coordinators of one experiment choose among their engines."""

    summary: ClassVar[str]

    @abstractmethod
    def placement(self, engines: Mapping[InstanceId, Engine]) -> type[Placement]:
        """Return the placement's class; the clairvoyant one sees the engines."""


class Shipped(Policy):
    """What the gateways run."""

    summary = "the gateways' own placement and admission"

    def placement(self, engines: Mapping[InstanceId, Engine]) -> type[Placement]:
        """Return the placement's class."""
        return EnginePlacement


class _Least(Placement):
    def _compute_cost(self, state: ReplicaState, call: Call, now: float) -> float:
        return (
            state.own_requests
            + self._estimate_other_requests(state, now)
            + tie_breaker(state, call)
        )


class LeastOutstanding(Policy):
    """The fewest requests; engines rank them by urgency."""

    summary = "the replica with the fewest requests, none waits"

    def placement(self, engines: Mapping[InstanceId, Engine]) -> type[Placement]:
        """Return the placement's class."""
        return _Least


class _Clairvoyant(EnginePlacement):
    """Knows what each engine has cached and what it has to do, this instant."""

    engines: Mapping[InstanceId, Engine] = {}

    def _compute_backlog_seconds(self, state: ReplicaState) -> float:
        engine = self.engines[state.record.instance]
        return engine.unread_tokens() * engine.speed / PREFILL_TOKENS_PER_SECOND

    def _estimate_prefill_tokens(self, state: ReplicaState, call: Call) -> float:
        engine = self.engines[state.record.instance]
        return engine.missing_tokens(call.head.prompt) * engine.speed

    def _estimate_other_requests(self, state: ReplicaState, now: float) -> float:
        hint = self.engines[state.record.instance].hint
        return hint.running + hint.waiting - state.own_requests


class Clairvoyant(Policy):
    """
    The shipped rules with the engines' true state instead of beliefs.

    A bound only for what better knowledge gives; other rules may do better.
    """

    summary = "the shipped rules with the engines' true state"

    def placement(self, engines: Mapping[InstanceId, Engine]) -> type[Placement]:
        """Return the placement's class."""
        return type("Clairvoyant", (_Clairvoyant,), {"engines": engines})


POLICIES: dict[str, Policy] = {
    "shipped": Shipped(),
    "least": LeastOutstanding(),
    "clairvoyant": Clairvoyant(),
}
