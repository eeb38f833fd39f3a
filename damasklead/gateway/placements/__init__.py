"""
Placements
==========

How a replica is chosen, one class for each kind of service.
"""

from damasklead.clock import Clock
from damasklead.gateway.placements.base import Placement
from damasklead.gateway.placements.engine import EnginePlacement
from damasklead.gateway.placements.plain import PlainPlacement
from damasklead.gateway.routing import ServiceSpec
from damasklead.ids import DataCentre

__all__ = [
    "PLACEMENTS",
    "EnginePlacement",
    "Placement",
    "PlainPlacement",
    "new_placement",
]

PLACEMENTS: dict[str, type[Placement]] = {
    "plain": PlainPlacement,
    "engine": EnginePlacement,
}


def new_placement(
    *,
    service: ServiceSpec,
    clock: Clock,
    data_centre: DataCentre,
) -> Placement:
    """Return the placement for a kind of service."""
    kind = "plain" if service.engine is None else "engine"
    return PLACEMENTS[kind](service=service, clock=clock, data_centre=data_centre)
