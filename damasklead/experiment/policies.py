"""
Policies of experiments
=======================

The gateways' own placement, and others to compare it with.
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
    """
    Provides the placement by which coordinators choose among engines.

    Attributes
    ----------
    summary : str
        Description in one line.
    """

    summary: ClassVar[str]

    @abstractmethod
    def get_placement_class(
        self, engines: Mapping[InstanceId, Engine]
    ) -> type[Placement]:
        """Return the class of placement; only the clairvoyant one uses ``engines``."""


class ShippedPolicy(Policy):
    """The placement that the gateways use."""

    summary = "the gateways' own placement and admission"

    def get_placement_class(
        self, engines: Mapping[InstanceId, Engine]
    ) -> type[Placement]:
        """Return the class of placement."""
        return EnginePlacement


class _LeastOutstandingPlacement(Placement):
    def _compute_cost(self, state: ReplicaState, call: Call, now: float) -> float:
        return (
            state.own_requests
            + self._estimate_other_requests(state, now)
            + tie_breaker(state, call)
        )


class LeastOutstandingPolicy(Policy):
    """
    Least outstanding requests.

    Coordinators queue no request; the engines schedule them by urgency.
    """

    summary = "the replica with the fewest requests, without a queue"

    def get_placement_class(
        self, engines: Mapping[InstanceId, Engine]
    ) -> type[Placement]:
        """Return the class of placement."""
        return _LeastOutstandingPlacement


class _ClairvoyantPlacement(EnginePlacement):
    """Reads cache, pending prefill and load from the engines, without delay."""

    engines: Mapping[InstanceId, Engine] = {}

    def _get_slowdown(self, state: ReplicaState) -> float:
        # The methods below return what the engines' speed makes of the tokens.
        return 1.0

    def _compute_backlog_seconds(self, state: ReplicaState) -> float:
        engine = self.engines[state.record.instance]
        return (
            engine.count_pending_prefill_tokens()
            * engine.step_time_factor
            / PREFILL_TOKENS_PER_SECOND
        )

    def _estimate_prefill_tokens(self, state: ReplicaState, call: Call) -> float:
        engine = self.engines[state.record.instance]
        return engine.count_uncached_tokens(call.head.prompt) * engine.step_time_factor

    def _estimate_other_requests(self, state: ReplicaState, now: float) -> float:
        hint = self.engines[state.record.instance].load_hint
        return hint.running + hint.waiting - state.own_requests


class ClairvoyantPolicy(Policy):
    """
    The gateways' placement with the engines' true state instead of estimates.

    It bounds what better knowledge of the engines can gain under these rules; other
    rules may achieve more.
    """

    summary = "the gateways' placement with the engines' true state"

    def get_placement_class(
        self, engines: Mapping[InstanceId, Engine]
    ) -> type[Placement]:
        """Return the class of placement."""
        return type("Clairvoyant", (_ClairvoyantPlacement,), {"engines": engines})


POLICIES: dict[str, Policy] = {
    "shipped": ShippedPolicy(),
    "least": LeastOutstandingPolicy(),
    "clairvoyant": ClairvoyantPolicy(),
}
