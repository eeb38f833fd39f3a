"""
Identity of a replica
=====================

Checks that the process at the other end of a connection is the one in the list.

A replica may start again under its id and at its address, with another version of its
software, before its entry in the list changes.
"""

import gevent

from damasklead.failures import Failure
from damasklead.gateway.calls import UpstreamRecord
from damasklead.gateway.dialect import Dialect
from damasklead.gateway.upstream_http import Connection, SendError

__all__ = ["check_incarnation"]

# A replica reports on itself within a few milliseconds.
REPORT_TIMEOUT_SECONDS = 0.3
MAX_REPORT_BYTES = 262_144


def check_incarnation(
    connection: Connection, record: UpstreamRecord, dialect: Dialect
) -> None:
    """
    Ask a replica on a connection for its start, and leave the connection usable.

    Raises
    ------
    SendError
        ``REFUSED`` if it is not the incarnation of the record, or doesn't say so.
    """
    timeout_error = SendError(Failure.REFUSED, "no report within the timeout")
    try:
        with gevent.Timeout(REPORT_TIMEOUT_SECONDS, timeout_error):
            connection.send_request(
                method="GET",
                target=dialect.report_target,
                headers=[(b"Host", record.address.encode())],
                body=b"",
            )
            status = connection.read_head().status_code
            body = connection.read_body(limit=MAX_REPORT_BYTES)
    except SendError as error:
        raise SendError(Failure.REFUSED, f"report: {error}") from error
    incarnation = dialect.parse_reported_incarnation(body) if status == 200 else None
    if incarnation != record.incarnation:
        raise SendError(
            Failure.REFUSED,
            f"start {incarnation}, {record.incarnation} in the list",
        )
    if not connection.is_reusable:
        raise SendError(Failure.REFUSED, "the replica closes the connection")
    connection.prepare_next_request(is_reuse=False)
