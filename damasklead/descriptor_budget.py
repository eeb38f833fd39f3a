"""
Descriptor budget
=================

Divides the descriptors that a process may open among the connections of callers and
those to upstreams.  No I/O.

Load pattern: callers that hold connections open, idle or with slow responses, until no
descriptor is left for the upstreams, the peers and the store.
"""

import math

import msgspec

__all__ = ["DescriptorBudget", "make_descriptor_budget"]

# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
# Listening sockets, the event loop, the store, peers, operators and probes.
OWN_DESCRIPTORS = 60
# Connections of callers above this fraction of their limit are closed for new ones; the
# rest is for those that are being closed.
CLOSING_FRACTION = 0.9
# Smallest number of connections of each kind.
MIN_CONNECTIONS = 8
# Part of the connections to upstreams that tunnels of other instances may take.
TUNNEL_FRACTION = 0.5
# A tunnel is a connection on either side.
TUNNEL_DESCRIPTORS = 2


class DescriptorBudget(msgspec.Struct, kw_only=True, frozen=True):
    """
    Largest numbers of open connections.

    Attributes
    ----------
    caller_connections : float
        Connections from callers; further ones are refused.
    closing_threshold : float
        Connections from callers above which slow or idle ones are closed.
    upstream_connections : float
        Connections to upstreams, idle ones included, and those of tunnels.

    Examples
    --------
    >>> budget = make_descriptor_budget(1638)
    >>> budget.compute_max_tunnels(connections=0)
    172.0
    >>> budget.compute_max_connections(tunnels=172)
    345
    """

    caller_connections: float = math.inf
    closing_threshold: float = math.inf
    upstream_connections: float = math.inf

    def compute_max_tunnels(self, *, connections: int) -> float:
        """
        Return how many tunnels of other instances may be open.

        Parameters
        ----------
        connections : int
            Number of this instance's own connections to upstreams.
        """
        descriptors = min(
            TUNNEL_FRACTION * self.upstream_connections,
            self.upstream_connections - connections,
        )
        if math.isinf(descriptors):
            return math.inf
        return max(0.0, descriptors // TUNNEL_DESCRIPTORS)

    def compute_max_connections(self, *, tunnels: int) -> float:
        """Return how many own connections to upstreams may be open beside tunnels."""
        return self.upstream_connections - TUNNEL_DESCRIPTORS * tunnels


def make_descriptor_budget(max_descriptors: int | None) -> DescriptorBudget:
    """
    Return the budget of a process.

    Each request in progress needs a connection from its caller and one to an upstream,
    so both get the same number.

    Parameters
    ----------
    max_descriptors : int or None
        Descriptors that the process may open; ``None`` if the number is not known.

    Examples
    --------
    >>> make_descriptor_budget(1638).caller_connections
    689
    >>> make_descriptor_budget(None).caller_connections
    inf
    """
    if max_descriptors is None:
        return DescriptorBudget()
    connections = (max_descriptors - FILE_DESCRIPTORS - OWN_DESCRIPTORS) // 2
    connections = max(MIN_CONNECTIONS, connections)
    return DescriptorBudget(
        caller_connections=connections,
        closing_threshold=int(CLOSING_FRACTION * connections),
        upstream_connections=connections,
    )
