"""
Operators' listener
===================

The HTTP interface for operators: health, readiness, metrics and status.  It has an
address of its own and needs no caller's key.
"""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from gevent import pywsgi

from damasklead.daemon.entry import Entry
from damasklead.daemon.paced_wsgi import PacedHandler
from damasklead.util import split_address

__all__ = ["OperatorServer", "PoolStatus", "Status"]


class PoolStatus(msgspec.Struct, kw_only=True):
    """
    State of one pool at this entry.

    Attributes
    ----------
    pool : str
        Pool id.
    coordinator : str
        The entry that divides the pool's capacity, empty when none is known.
    granted : bool
        Whether this entry has a valid grant.
    running, waiting : list of int
        Number of running and of queued requests in each tier, from tier 1.
    replicas : list of str
        Instance ids of the replicas.
    """

    pool: str
    coordinator: str
    granted: bool
    running: list[int]
    waiting: list[int]
    replicas: list[str]


class Status(msgspec.Struct, kw_only=True):
    """
    State of an entry for operators.

    Attributes
    ----------
    instance, incarnation
        The entry's process.
    ready : bool
        Whether the entry has a configuration and is not stopping.
    stopping : bool
        Whether a graceful stop has begun.
    configuration : int
        Active configuration version, 0 for none.
    entries : list of str
        Instance ids of the live entries, this one included.
    pools : list of PoolStatus
        State of each service's pool.
    requests : int
        Number of requests in progress.
    quarantined : list of str
        Quarantined fingerprints.
    claims_pending : int
        Number of claims whose end is still to be written.
    audit_pending, audit_dropped : int
        Number of audit events that are still to be written, and of those dropped.
    """

    instance: str
    incarnation: int
    ready: bool
    stopping: bool
    configuration: int
    entries: list[str]
    pools: list[PoolStatus]
    requests: int
    quarantined: list[str]
    claims_pending: int
    audit_pending: int
    audit_dropped: int


class OperatorServer(pywsgi.WSGIServer):
    """
    The listener for operators.

    Parameters
    ----------
    entry : Entry
        State of this entry.
    """

    def __init__(self, *, entry: Entry) -> None:
        self._entry = entry
        super().__init__(
            split_address(entry.settings.listen.operators),
            self._handle_request,
            handler_class=PacedHandler,
            log=None,
            error_log=None,
        )

    def get_status(self) -> Status:
        """Return the state of the entry and its pools."""
        entry = self._entry
        return Status(
            instance=entry.instance,
            incarnation=entry.incarnation,
            ready=entry.is_ready,
            stopping=entry.is_stopping,
            configuration=entry.configuration_holder.version,
            entries=[member.instance for member in entry.find_live_entries()],
            pools=[
                PoolStatus(
                    pool=pool.dispatcher.pool,
                    coordinator=pool.coordinator or "",
                    granted=pool.dispatcher.share.has_grant,
                    running=list(pool.dispatcher.build_demand().running),
                    waiting=list(pool.dispatcher.build_demand().waiting),
                    replicas=sorted(pool.dispatcher.replicas.instances),
                )
                for pool in entry.pools.values()
            ],
            requests=len(entry.exchanges),
            quarantined=list(entry.quarantine.quarantined_fingerprints),
            claims_pending=len(entry.claims),
            audit_pending=len(entry.audit),
            audit_dropped=entry.audit.dropped_count,
        )

    def _handle_request(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == "/healthz":
            return _send_text(start_response, "200 OK", b"ok\n")
        if path == "/readyz":
            ready = self._entry.is_ready
            status = "200 OK" if ready else "503 Not Ready"
            return _send_text(
                start_response, status, b"ready\n" if ready else b"not ready\n"
            )
        if path == "/metrics":
            return _send_text(start_response, "200 OK", self._entry.metrics.render())
        if path == "/status":
            start_response("200 OK", [("Content-Type", "application/json")])
            return [msgspec.json.encode(self.get_status())]
        return _send_text(start_response, "404 Not Found", b"not found\n")


def _send_text(
    start_response: Callable[..., Any], status: str, body: bytes
) -> list[bytes]:
    start_response(status, [("Content-Type", "text/plain; charset=utf-8")])
    return [body]
