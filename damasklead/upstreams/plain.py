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

    Its responses need not carry the request id, but must not carry another one.  A
    connection on which one carried none is not used again, since the service may repeat
    it later.
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
        response_id = response.get_header("X-Request-ID")
        is_refusal = response.status == REFUSAL_STATUS and bool(
            response.get_header(NOT_RUN_HEADER)
        )
        may_be_earlier = not response_id and is_refusal and response.is_reused
        if response_id not in ("", request.attempt) or may_be_earlier:
            response.close()
            raise UpstreamError(
                Failure.MISMATCHED, "the response belongs to another request"
            )
        if not response_id:
            response.forbid_reuse()
        if is_refusal:
            leaving = bool(response.get_header(LEAVING_HEADER))
            response.close()
            raise UpstreamError(
                Failure.REFUSED, "the upstream refused the request", leaving=leaving
            )
