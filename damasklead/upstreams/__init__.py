"""
Upstreams
=========

Clients of the kinds of upstreams that entries send requests to, one module for each
kind, with a table of the kinds by name.
"""

from damasklead.upstreams.base import Upstream, UpstreamRequest, UpstreamStatus
from damasklead.upstreams.engine import EngineUpstream
from damasklead.upstreams.plain import PlainUpstream
from damasklead.upstreams.transport import (
    ConnectionPool,
    UpstreamError,
    UpstreamResponse,
)

__all__ = [
    "UPSTREAMS",
    "ConnectionPool",
    "Upstream",
    "UpstreamError",
    "UpstreamRequest",
    "UpstreamResponse",
    "UpstreamStatus",
]

UPSTREAMS: dict[str, type[Upstream]] = {
    alias: kind
    for kind in (EngineUpstream, PlainUpstream)
    for alias in (kind.name, *kind.aliases)
}
