"""
Pools of an entry
=================

A service's upstreams together with what this entry decides and knows about them.
"""

import msgspec

from damasklead.configuration import Service
from damasklead.dispatching import PoolDispatcher
from damasklead.ids import InstanceId
from damasklead.upstreams import Upstream

__all__ = ["Pool"]


class Pool(msgspec.Struct, kw_only=True):
    """
    A service's upstreams with the dispatcher of this entry for them.

    Attributes
    ----------
    granted_at : float
        Clock reading when the pool last had a grant or a new coordinator.
    """

    service: Service
    dispatcher: PoolDispatcher
    upstream: Upstream
    coordinator: InstanceId | None = None
    granted_at: float = 0.0
