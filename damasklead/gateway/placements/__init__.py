"""
Placements
==========

Placement policies, which choose the replica for a request: one class for each kind of
service.
"""

from collections.abc import Callable

from damasklead.clock import Clock
from damasklead.gateway.calls import UpstreamRecord
from damasklead.gateway.placements.base import Placement
from damasklead.gateway.placements.engine import EnginePlacement
from damasklead.gateway.placements.plain import PlainPlacement
from damasklead.gateway.replica_pauses import ReplicaPauses
from damasklead.gateway.routing import ServiceSpec
from damasklead.ids import DataCentre
from damasklead.rejection_limits import SlotShare

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
    get_request_rate: Callable[[UpstreamRecord], float | None] = lambda _: None,
    get_slot_share: Callable[[UpstreamRecord], SlotShare | None] = lambda _: None,
    pauses: ReplicaPauses | None = None,
) -> Placement:
    """Return a placement of the class for the service's kind."""
    kind = "plain" if service.engine is None else "engine"
    return PLACEMENTS[kind](
        service=service,
        clock=clock,
        data_centre=data_centre,
        get_request_rate=get_request_rate,
        get_slot_share=get_slot_share,
        pauses=pauses,
    )
