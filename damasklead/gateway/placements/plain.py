"""
Placement of plain requests
===========================

Chooses among replicas of services that run no model: those with the fewest requests.
"""

from damasklead.gateway.calls import Call
from damasklead.gateway.placements.base import FAILURE_COST, Placement, tie_breaker
from damasklead.gateway.replica_state import ReplicaState

__all__ = ["PlainPlacement"]

# Cost of a replica in another data centre, in active requests.
REMOTE_CENTRE_REQUESTS = 0.5
# Weight of other gateways' requests, which are known late: all gateways see the same
# numbers and would choose the same replica until the next report.
OTHER_REQUESTS_WEIGHT = 0.5


class PlainPlacement(Placement):
    """
    Least outstanding requests, with a preference for this data centre.

    Load pattern: short requests on replicas with few slots and a short queue, where a
    request that is queued behind another one misses its target.
    """

    def _compute_cost(self, state: ReplicaState, call: Call, now: float) -> float:
        cost = (
            state.own_requests
            + OTHER_REQUESTS_WEIGHT * self._estimate_other_requests(state, now)
        )
        # The request itself takes longer, too: of two idle replicas the faster one.
        slowdown = self._get_slowdown(state)
        cost = cost * slowdown + (slowdown - 1.0)
        if state.record.data_centre != self._data_centre:
            cost += REMOTE_CENTRE_REQUESTS
        cost += FAILURE_COST * state.failure_rate
        return cost + tie_breaker(state, call)
