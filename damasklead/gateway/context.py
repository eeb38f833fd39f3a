"""
Gateway context
===============

The collaborators that all proxied requests of one gateway share.
"""

from collections.abc import Callable

import msgspec

from damasklead.clock import Clock
from damasklead.gateway.budget import SharedRetryBudget
from damasklead.gateway.calls import Call, UpstreamRecord
from damasklead.gateway.coordination.assignment_client import AssignmentClient
from damasklead.gateway.crash_containment import Containment
from damasklead.gateway.dialect import Dialect
from damasklead.gateway.journal import Journal
from damasklead.gateway.log_limiter import LogLimiter
from damasklead.gateway.replica_probe import ReplicaProbe
from damasklead.gateway.stop_schedule import StopSchedule
from damasklead.gateway.stream_origins.registry import OriginRegistry
from damasklead.gateway.upstream_http import ConnectionPool
from damasklead.gateway.verdict import RetryDenial
from damasklead.memory_budget import MemoryAccount, MemoryBudget
from damasklead.rate_limits import RateLimits
from damasklead.unframed_ends import EndDoubt

__all__ = ["REPORT_MEMORY_BYTES", "GatewayContext"]

# Reports of replicas that are being read; a sound one has some kilobytes.
REPORT_MEMORY_BYTES = 8_388_608


def make_report_memory() -> MemoryBudget:
    """Return a budget for the reports of replicas that are being read."""
    return MemoryBudget(
        limit_bytes=REPORT_MEMORY_BYTES, hard_limit_bytes=REPORT_MEMORY_BYTES
    )


class GatewayContext(msgspec.Struct, kw_only=True, frozen=True):
    """
    The collaborators that all proxied requests of one gateway share.

    Attributes
    ----------
    dialect : Dialect
        Translates the headers of the platform.
    clock : Clock
    connections : ConnectionPool
        Connections to replicas.
    budget : SharedRetryBudget
        Limits the retries of all requests together.
    assignment_client : AssignmentClient
        Requests replicas from the coordinators.
    containment : Containment
        Refuses requests that have crashed replicas.
    probe : ReplicaProbe
        Finds out whether a replica has crashed.
    journal : Journal
        Records the events of the gateway.
    rate_limits : RateLimits
        The limits that replicas name in their responses.
    origins : OriginRegistry
        The versions that began the streams which callers take up.
    stop_schedule : StopSchedule
        Decides which requests are still taken while the gateway stops.
    on_replica_left : callable
        Called with a replica that is leaving or gone, and a text that describes how
        this was detected.
    on_execution : callable
        Called once for each request when a replica has begun to execute it: with the
        first event of a stream, or the response head.
    on_retry_denied : callable
        Called with a request whose attempt has failed and what rules out another one.
    on_unframed_end : callable
        Called at the end of each response without a length, with the reason for which
        it isn't taken for complete, or ``None``.
    response_memory : MemoryBudget
        Limits the total size of the response bodies that are being read, if the account
        is not limited.
    account : MemoryAccount
        All bytes held for callers.
    is_isolated : callable
        Returns whether this gateway is cut off from all replicas.
    report_memory : MemoryBudget
        Limits the total size of the reports of replicas that are being read.
    dropped_figures : LogLimiter
        Limits the log lines on invalid figures of replicas' loads.
    """

    dialect: Dialect
    clock: Clock
    connections: ConnectionPool
    budget: SharedRetryBudget
    assignment_client: AssignmentClient
    containment: Containment
    probe: ReplicaProbe
    journal: Journal
    rate_limits: RateLimits
    origins: OriginRegistry
    stop_schedule: StopSchedule
    on_replica_left: Callable[[UpstreamRecord, str], None]
    account: MemoryAccount
    on_execution: Callable[[Call], None] = lambda call: None
    on_retry_denied: Callable[[Call, RetryDenial], None] = lambda call, denial: None
    on_unframed_end: Callable[[EndDoubt | None], None] = lambda doubt: None
    is_isolated: Callable[[], bool] = lambda: False
    response_memory: MemoryBudget = msgspec.field(default_factory=MemoryBudget)
    report_memory: MemoryBudget = msgspec.field(default_factory=make_report_memory)
    dropped_figures: LogLimiter = msgspec.field(default_factory=LogLimiter)
