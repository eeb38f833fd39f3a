"""
Policies of experiments
=======================

The shipped decisions, and others to compare them with.
"""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import ClassVar

from damasklead.clock import Clock
from damasklead.experiment.engines import Engine
from damasklead.gateway.admission import Admission
from damasklead.gateway.calls import Call
from damasklead.gateway.peerload import PeerLoads
from damasklead.gateway.placements import EnginePlacement, Placement
from damasklead.gateway.placements.base import tie_breaker
from damasklead.gateway.placements.engine import READ_TOKENS_PER_SECOND
from damasklead.gateway.replicastate import ReplicaState
from damasklead.gateway.routing import ServiceSpec
from damasklead.ids import DataCentre, InstanceId

__all__ = ["POLICIES", "Clairvoyant", "LeastOutstanding", "Policy", "Shipped"]


class Policy(ABC):
    """How the gateways of one experiment decide."""

    summary: ClassVar[str]

    @abstractmethod
    def placement(
        self,
        *,
        service: ServiceSpec,
        clock: Clock,
        data_centre: DataCentre,
        peers: PeerLoads,
        engines: Mapping[InstanceId, Engine],
    ) -> Placement:
        """Return the placement of one gateway."""

    def admission(self, clock: Clock, placement: Placement) -> Admission:
        """Return the admission of one gateway."""
        return Admission(
            clock=clock, has_room=placement.has_room, is_urgent=placement.is_urgent
        )


class Shipped(Policy):
    """What the gateways run."""

    summary = "the gateways' own placement and admission"

    def placement(
        self,
        *,
        service: ServiceSpec,
        clock: Clock,
        data_centre: DataCentre,
        peers: PeerLoads,
        engines: Mapping[InstanceId, Engine],
    ) -> Placement:
        """Return the placement of one gateway."""
        return EnginePlacement(
            service=service, clock=clock, data_centre=data_centre, peers=peers
        )


class _Least(Placement):
    def _cost(self, state: ReplicaState, call: Call, now: float) -> float:
        return state.own + self._others(state, now) + tie_breaker(state, call)


class LeastOutstanding(Policy):
    """The fewest requests; engines rank them by urgency."""

    summary = "the replica with the fewest requests, none waits"

    def placement(
        self,
        *,
        service: ServiceSpec,
        clock: Clock,
        data_centre: DataCentre,
        peers: PeerLoads,
        engines: Mapping[InstanceId, Engine],
    ) -> Placement:
        """Return the placement of one gateway."""
        return _Least(
            service=service, clock=clock, data_centre=data_centre, peers=peers
        )


class _Clairvoyant(EnginePlacement):
    """Knows what each engine has cached and what it has to do, this instant."""

    def __init__(
        self,
        *,
        service: ServiceSpec,
        clock: Clock,
        data_centre: DataCentre,
        peers: PeerLoads,
        engines: Mapping[InstanceId, Engine],
    ) -> None:
        self._engines = engines
        super().__init__(
            service=service, clock=clock, data_centre=data_centre, peers=peers
        )

    engines: Mapping[InstanceId, Engine] = {}

    def _backlog(self, state: ReplicaState) -> float:
        engine = self._engines[state.record.instance]
        return engine.unread_tokens() * engine.speed / READ_TOKENS_PER_SECOND

    def _expected_unread(self, state: ReplicaState, call: Call) -> float:
        engine = self._engines[state.record.instance]
        return engine.missing_tokens(call.head.prompt) * engine.speed

    def _others(self, state: ReplicaState, now: float) -> float:
        hint = self._engines[state.record.instance].hint
        return hint.running + hint.waiting - state.own


class Clairvoyant(Policy):
    """
    The shipped rules with the engines' true state instead of beliefs.

    A bound only for what better knowledge gives; other rules may do better.
    """

    summary = "the shipped rules with the engines' true state"

    def placement(
        self,
        *,
        service: ServiceSpec,
        clock: Clock,
        data_centre: DataCentre,
        peers: PeerLoads,
        engines: Mapping[InstanceId, Engine],
    ) -> Placement:
        """Return the placement of one gateway."""
        return _Clairvoyant(
            service=service,
            clock=clock,
            data_centre=data_centre,
            peers=peers,
            engines=engines,
        )


POLICIES: dict[str, Policy] = {
    "shipped": Shipped(),
    "least": LeastOutstanding(),
    "clairvoyant": Clairvoyant(),
}
