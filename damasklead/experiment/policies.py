"""
Policies of experiments
=======================

The shipped decisions, and others to compare them with.
"""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import ClassVar, TypeVar

import msgspec

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

__all__ = ["POLICIES", "GatewayParts", "Policy"]

T = TypeVar("T", bound=Placement)


class GatewayParts(msgspec.Struct, kw_only=True, frozen=True):
    """What one gateway's placement is made of; ``engines`` is for the clairvoyant."""

    service: ServiceSpec
    clock: Clock
    data_centre: DataCentre
    peers: PeerLoads
    engines: Mapping[InstanceId, Engine]


class Policy(ABC):
    """How the gateways of one experiment decide."""

    summary: ClassVar[str]

    @abstractmethod
    def placement(self, parts: GatewayParts) -> Placement:
        """Return the placement of one gateway."""

    def admission(self, clock: Clock, placement: Placement) -> Admission:
        """Return the admission of one gateway."""
        return Admission(
            clock=clock, has_room=placement.has_room, is_urgent=placement.is_urgent
        )


class Shipped(Policy):
    """What the gateways run."""

    summary = "the gateways' own placement and admission"

    def placement(self, parts: GatewayParts) -> Placement:
        """Return the placement of one gateway."""
        return _make(EnginePlacement, parts)


class _Least(Placement):
    def _cost(self, state: ReplicaState, call: Call, now: float) -> float:
        return state.own + self._others(state, now) + tie_breaker(state, call)


class LeastOutstanding(Policy):
    """The fewest requests; engines rank them by urgency."""

    summary = "the replica with the fewest requests, none waits"

    def placement(self, parts: GatewayParts) -> Placement:
        """Return the placement of one gateway."""
        return _make(_Least, parts)


class _Clairvoyant(EnginePlacement):
    """Knows what each engine has cached and what it has to do, this instant."""

    engines: Mapping[InstanceId, Engine] = {}

    def _backlog(self, state: ReplicaState) -> float:
        engine = self.engines[state.record.instance]
        return engine.unread_tokens() * engine.speed / READ_TOKENS_PER_SECOND

    def _expected_unread(self, state: ReplicaState, call: Call) -> float:
        engine = self.engines[state.record.instance]
        return engine.missing_tokens(call.head.prompt) * engine.speed

    def _others(self, state: ReplicaState, now: float) -> float:
        hint = self.engines[state.record.instance].hint
        return hint.running + hint.waiting - state.own


class Clairvoyant(Policy):
    """
    The shipped rules with the engines' true state instead of beliefs.

    A bound only for what better knowledge gives; other rules may do better.
    """

    summary = "the shipped rules with the engines' true state"

    def placement(self, parts: GatewayParts) -> Placement:
        """Return the placement of one gateway."""
        placement = _make(_Clairvoyant, parts)
        placement.engines = parts.engines
        return placement


def _make(kind: type[T], parts: GatewayParts) -> T:
    return kind(
        service=parts.service,
        clock=parts.clock,
        data_centre=parts.data_centre,
        peers=parts.peers,
    )


POLICIES: dict[str, Policy] = {
    "shipped": Shipped(),
    "least": LeastOutstanding(),
    "clairvoyant": Clairvoyant(),
}
