"""
Upstreams
=========

What requests are sent to, one module for each kind, with a table of kinds by name.
"""

from damasklead.upstreams.base import OutgoingCall, Upstream, UpstreamStatus
from damasklead.upstreams.engine import EngineUpstream
from damasklead.upstreams.plain import PlainUpstream
from damasklead.upstreams.transport import Answer, ConnectionPool, UpstreamError

__all__ = [
    "UPSTREAMS",
    "Answer",
    "ConnectionPool",
    "OutgoingCall",
    "Upstream",
    "UpstreamError",
    "UpstreamStatus",
]

UPSTREAMS: dict[str, type[Upstream]] = {
    alias: kind
    for kind in (EngineUpstream, PlainUpstream)
    for alias in (kind.name, *kind.aliases)
}
