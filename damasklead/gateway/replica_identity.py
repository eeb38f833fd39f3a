"""
Identity of a replica
=====================

Finds out which start of a replica a connection leads to.

A replica may start again under its id and at its address, with another version of its
software, before its entry in the list changes, or before this gateway learns of the
change.  Its own report on the same connection is what can be relied on: a connection
ends with the process at its other end.
"""

import gevent

from damasklead.failures import Failure
from damasklead.gateway.calls import ResponseKind, UpstreamRecord
from damasklead.gateway.dialect import Dialect
from damasklead.gateway.upstream_http import Connection, SendError
from damasklead.ids import AttemptId
from damasklead.memory_budget import MemoryBudget

__all__ = ["check_incarnation", "identify_replica", "request_report"]

# A replica reports on itself within a few milliseconds.
REPORT_TIMEOUT_SECONDS = 0.3
# The same before a new stream, which may begin without a report.
OPTIONAL_REPORT_TIMEOUT_SECONDS = 0.1
MAX_REPORT_BYTES = 262_144


def check_incarnation(
    connection: Connection,
    record: UpstreamRecord,
    dialect: Dialect,
    *,
    memory: MemoryBudget,
) -> None:
    """
    Check that a connection leads to the incarnation of a record, and leave it usable.

    Raises
    ------
    SendError
        ``REFUSED`` if it is not the incarnation of the record, or doesn't say so.
    """
    incarnation = identify_replica(
        connection, record, dialect, memory=memory, timeout=REPORT_TIMEOUT_SECONDS
    )
    if incarnation != record.incarnation:
        raise SendError(
            Failure.REFUSED,
            f"start {incarnation}, {record.incarnation} in the list",
        )


def identify_replica(
    connection: Connection,
    record: UpstreamRecord,
    dialect: Dialect,
    *,
    memory: MemoryBudget,
    timeout: float = OPTIONAL_REPORT_TIMEOUT_SECONDS,
) -> int:
    """
    Return the incarnation that a connection leads to, and leave it usable.

    The replica is asked once for each connection.

    Parameters
    ----------
    connection : Connection
    record : UpstreamRecord
        The replica's entry in the list.
    dialect : Dialect
    memory : MemoryBudget
        Budget that the report is charged to while it is being read.
    timeout : float
        Seconds until the replica must have reported.

    Raises
    ------
    SendError
        ``REFUSED`` if the replica doesn't report; the connection can't be used then.
    """
    if connection.incarnation is None:
        connection.incarnation = _request_incarnation(
            connection, record, dialect, memory, timeout
        )
    return connection.incarnation


def request_report(
    connection: Connection,
    record: UpstreamRecord,
    dialect: Dialect,
    *,
    memory: MemoryBudget,
    timeout: float,
) -> int | None:
    """
    Ask a replica for its report, whether or not it was asked before on the connection.

    Returns
    -------
    int or None
        The incarnation; ``None`` if the replica has answered without one.

    Raises
    ------
    SendError
        ``REFUSED`` if it doesn't answer; the connection can't be used then.
    """
    timeout_error = SendError(Failure.REFUSED, "no report within the timeout")
    try:
        with gevent.Timeout(timeout, timeout_error):
            connection.send_request(
                method="GET",
                target=dialect.report_target,
                headers=[(b"Host", record.address.encode())],
                body=b"",
            )
            head = connection.read_head()
            body = connection.read_body(limit=MAX_REPORT_BYTES, memory=memory)
    except SendError as error:
        raise SendError(Failure.REFUSED, f"report: {error}") from error
    headers = [(bytes(name), bytes(value)) for name, value in head.headers.raw_items()]
    reply = dialect.classify_response(
        status=head.status_code, headers=headers, attempt=AttemptId("")
    )
    if reply.kind is ResponseKind.STRAY:
        raise SendError(Failure.REFUSED, "report: a response to another request")
    if connection.is_reusable:
        connection.prepare_next_request(is_reuse=False)
    is_report = head.status_code == 200
    return dialect.parse_reported_incarnation(body) if is_report else None


def _request_incarnation(
    connection: Connection,
    record: UpstreamRecord,
    dialect: Dialect,
    memory: MemoryBudget,
    timeout: float,
) -> int:
    incarnation = request_report(
        connection, record, dialect, memory=memory, timeout=timeout
    )
    if incarnation is None:
        raise SendError(Failure.REFUSED, "no start in a report")
    if not connection.is_reusable:
        raise SendError(Failure.REFUSED, "the replica closes the connection")
    return incarnation
