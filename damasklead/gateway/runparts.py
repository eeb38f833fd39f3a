"""
Parts of runs
=============

What the runs of one gateway share.
"""

from collections.abc import Callable

import msgspec

from damasklead.clock import Clock
from damasklead.gateway.budget import SharedRetryBudget
from damasklead.gateway.calls import UpstreamRecord
from damasklead.gateway.containment import Containment
from damasklead.gateway.coordination.asking import Asker
from damasklead.gateway.dialect import Dialect
from damasklead.gateway.journal import Journal
from damasklead.gateway.upstream_http import ConnectionPool, ResponseMemoryBudget

__all__ = ["GatewayContext"]


class GatewayContext(msgspec.Struct, kw_only=True, frozen=True):
    """
    What the runs of one gateway share.

    Attributes
    ----------
    on_replica_left : callable
        Told of a replica that leaves or is gone, and by which sign.
    response_memory : ResponseMemoryBudget
        Bounds the bodies that are being read.
    """

    dialect: Dialect
    clock: Clock
    connections: ConnectionPool
    budget: SharedRetryBudget
    asker: Asker
    containment: Containment
    journal: Journal
    on_replica_left: Callable[[UpstreamRecord, str], None]
    response_memory: ResponseMemoryBudget = msgspec.field(
        default_factory=ResponseMemoryBudget
    )
