"""
Pools of an entry
=================

The upstreams of a service with this entry's dispatcher and coordinator for them.
"""

import msgspec

from damasklead.configuration import Service
from damasklead.dispatching import PoolDispatcher
from damasklead.ids import InstanceId
from damasklead.upstreams import Upstream

__all__ = ["Pool"]


class Pool(msgspec.Struct, kw_only=True):
    """
    The upstreams from which an entry serves a service.

    Attributes
    ----------
    service : Service
        The service in the active configuration.
    dispatcher : PoolDispatcher
        Queues the entry's requests and assigns them to replicas.
    upstream : Upstream
        Client of the service's kind of upstream.
    coordinator : str or None
        The entry that divides the pool's capacity, ``None`` when none is known.
    granted_at : float
        Clock reading in seconds when the pool last had a valid grant or got a new
        coordinator.
    """

    service: Service
    dispatcher: PoolDispatcher
    upstream: Upstream
    coordinator: InstanceId | None = None
    granted_at: float = 0.0
