"""
Calls
=====

Short calls of upstreams and of the platform, whose responses are read completely.
"""

from collections.abc import Iterable

import gevent

from damasklead.requests import Failure
from damasklead.upstreams.transport import (
    ConnectionPool,
    UpstreamError,
    UpstreamResponse,
    send_request,
)

__all__ = ["fetch_response"]


def fetch_response(
    pool: ConnectionPool,
    address: str,
    *,
    method: str,
    path: str,
    headers: Iterable[tuple[str, str]],
    body: bytes,
    read_timeout: float,
    total_timeout: float,
    limit: int,
) -> tuple[UpstreamResponse, bytes]:
    """
    Send a request and return the complete response.

    Parameters
    ----------
    pool, address, method, path, headers, body, read_timeout
        As of ``send_request``.
    total_timeout : float
        Seconds for the whole call, since a response that trickles never exceeds the
        read timeout.
    limit : int
        Largest length of the body in bytes.

    Returns
    -------
    tuple
        The response and its body.

    Raises
    ------
    UpstreamError
        ``TIMED_OUT`` when the call takes too long, and as ``send_request`` and
        ``UpstreamResponse.read_body``.
    """
    timeout_error = UpstreamError(
        Failure.TIMED_OUT, f"no complete response in {total_timeout} s"
    )
    with gevent.Timeout(total_timeout, timeout_error):
        response = send_request(
            pool,
            address,
            method=method,
            path=path,
            headers=headers,
            body=body,
            read_timeout=read_timeout,
        )
        return response, response.read_body(limit=limit)
