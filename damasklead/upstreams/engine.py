"""
Model engines
=============

Upstreams with the OpenAI interface, extended by priorities, cancellation, resumption of
streams, and load reports.
"""

from collections.abc import Callable
from typing import Any

import msgspec
from gevent import socket

from damasklead.ids import AttemptId
from damasklead.requests import Failure
from damasklead.upstreams.base import LEAVING_HEADER, Upstream, UpstreamRequest
from damasklead.upstreams.transport import UpstreamError, UpstreamResponse

__all__ = ["EngineUpstream", "build_continuation_body"]

REFUSAL_STATUS = 503


class EngineUpstream(Upstream):
    """Client of an engine with continuous batching."""

    name = "engine"
    aliases = ("model", "llm")

    def build_extra_headers(
        self, request: UpstreamRequest
    ) -> tuple[tuple[str, str], ...]:
        """Return the priority header."""
        return (("X-Priority", str(request.priority)),)

    def check_response(
        self, response: UpstreamResponse, request: UpstreamRequest
    ) -> None:
        """
        Raise ``UpstreamError`` for a refusal or for the response to another request.

        An engine responds with 503 only if it has not executed the request.
        """
        response_id = response.get_header("X-Request-ID")
        if response_id != request.attempt:
            response.close()
            if not response_id:
                raise UpstreamError(
                    Failure.BROKEN, f"status {response.status} without a request id"
                )
            raise UpstreamError(
                Failure.MISMATCHED, "the response belongs to another request"
            )
        if response.status == REFUSAL_STATUS:
            leaving = bool(response.get_header(LEAVING_HEADER))
            response.close()
            raise UpstreamError(
                Failure.REFUSED, "the upstream refused the request", leaving=leaving
            )

    def cancel_attempt(self, address: str, attempt: AttemptId) -> None:
        """
        Cancel an attempt.

        Errors are ignored: an engine that cannot be reached has stopped, or executes
        the attempt to its end.
        """
        try:
            self.send_control_request(address, "POST", f"/v1/requests/{attempt}/cancel")
        except UpstreamError:
            return

    def resume_stream(
        self,
        address: str,
        request: UpstreamRequest,
        *,
        original_attempt: AttemptId,
        event_count: int,
        on_connect: Callable[[socket.socket], None] | None = None,
    ) -> UpstreamResponse:
        """
        Resume the stream of an earlier attempt on the same engine.

        Parameters
        ----------
        address : str
            Address of the engine, ``ip:port``.
        request : UpstreamRequest
            Request of the new attempt.
        original_attempt : str
            Attempt whose stream is resumed.
        event_count : int
            Number of events received of that stream; the next one is sent first.
        on_connect : callable, optional
            As of ``send_attempt``.

        Raises
        ------
        UpstreamError
            When the engine cannot resume it.
        """
        path = f"/v1/requests/{original_attempt}/resume?from={event_count}"
        resumption = msgspec.structs.replace(
            request, method="POST", path=path, body=b""
        )
        response = self.send_attempt(address, resumption, on_connect=on_connect)
        if response.status != 200:
            response.close()
            raise UpstreamError(Failure.REFUSED, "the engine cannot resume the stream")
        return response


def build_continuation_body(body: dict[str, Any], text: str) -> bytes:
    """
    Return the body of a request that continues a response after ``text``.

    It is the form that engines with the OpenAI interface share: the text so far is the
    last message, by the assistant, and is marked as unfinished.
    """
    messages = [*body["messages"], {"role": "assistant", "content": text}]
    continuation = {
        **body,
        "messages": messages,
        "continue_final_message": True,
        "add_generation_prompt": False,
    }
    return msgspec.json.encode(continuation)
