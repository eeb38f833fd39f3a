"""
Plain services
==============

Upstreams that are ordinary HTTP services, not engines.
"""

from damasklead.requests import Failure
from damasklead.upstreams.base import LEAVING_HEADER, Upstream, UpstreamRequest
from damasklead.upstreams.transport import UpstreamError, UpstreamResponse

__all__ = ["PlainUpstream"]

REFUSAL_STATUS = 503
NOT_RUN_HEADER = "X-Not-Run"


class PlainUpstream(Upstream):
    """
    Client of an HTTP service.

    Its responses need not carry the request id, but must not carry another one.
    """

    name = "plain"
    aliases = ("service", "http")

    def check_response(
        self, response: UpstreamResponse, request: UpstreamRequest
    ) -> None:
        """
        Raise ``UpstreamError`` for a refusal or for the response to another request.

        A 503 is a refusal only with the ``X-Not-Run`` header; without it the service
        may have executed the request.
        """
        if response.get_header("X-Request-ID") not in ("", request.attempt):
            response.close()
            raise UpstreamError(
                Failure.MISMATCHED, "the response belongs to another request"
            )
        if response.status == REFUSAL_STATUS and response.get_header(NOT_RUN_HEADER):
            leaving = bool(response.get_header(LEAVING_HEADER))
            response.close()
            raise UpstreamError(
                Failure.REFUSED, "the upstream refused the request", leaving=leaving
            )
