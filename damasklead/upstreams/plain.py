"""
Plain services
==============

Upstreams that are ordinary HTTP services beside the model engines.
"""

from damasklead.requests import Failure
from damasklead.upstreams.base import LEAVING_HEADER, OutgoingCall, Upstream
from damasklead.upstreams.transport import Answer, UpstreamError

__all__ = ["PlainUpstream"]

REFUSING_STATUS = 503
NOT_RUN_HEADER = "X-Not-Run"


class PlainUpstream(Upstream):
    """
    A service whose answers need not echo the request id, but must not carry another's.
    """

    name = "plain"
    aliases = ("service", "http")

    def check(self, answer: Answer, call: OutgoingCall) -> None:
        """
        Refuse another request's answer; only a marked 503 says that nothing was run.
        """
        if answer.header("X-Request-ID") not in ("", call.attempt):
            answer.close()
            raise UpstreamError(Failure.MISMATCHED, "the answer is another request's")
        if answer.status == REFUSING_STATUS and answer.header(NOT_RUN_HEADER):
            leaving = bool(answer.header(LEAVING_HEADER))
            answer.close()
            raise UpstreamError(
                Failure.REFUSED, "the upstream refused the request", leaving=leaving
            )
