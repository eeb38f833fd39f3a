"""
Placement of plain requests
===========================

Chooses among replicas that run a few short requests at once.
"""

from damasklead.gateway.calls import Call
from damasklead.gateway.placements.base import FAILURE_COST, Placement, tie_breaker
from damasklead.gateway.replicastate import ReplicaState

__all__ = ["PlainPlacement"]

# Requests of advantage for a replica in this gateway's data centre.
REMOTE_CENTRE_REQUESTS = 0.5
# Weight of other gateways' requests: every gateway has the same late figures.
OTHER_REQUESTS_WEIGHT = 0.5


class PlainPlacement(Placement):
    """
    The fewest requests, near ones first.

    Load pattern: short requests on replicas with few slots and a short queue of their
    own, where a request that waits behind another one is late.
    """

    def _compute_cost(self, state: ReplicaState, call: Call, now: float) -> float:
        cost = (
            state.own_requests
            + OTHER_REQUESTS_WEIGHT * self._estimate_other_requests(state, now)
        )
        if state.record.data_centre != self._data_centre:
            cost += REMOTE_CENTRE_REQUESTS
        cost += FAILURE_COST * state.failure_rate
        return cost + tie_breaker(state, call)
