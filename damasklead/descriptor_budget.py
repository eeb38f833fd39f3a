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
# Smallest number of connections of each kind.
MIN_CONNECTIONS = 8


class DescriptorBudget(msgspec.Struct, kw_only=True, frozen=True):
    """
    Largest numbers of open connections.

    Attributes
    ----------
    caller_connections : float
        Connections from callers.
    upstream_connections : float
        Connections to upstreams, idle ones included.
    """

    caller_connections: float = math.inf
    upstream_connections: float = math.inf


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
        caller_connections=connections, upstream_connections=connections
    )
