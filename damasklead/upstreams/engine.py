"""
Model engines
=============

Upstreams that take the OpenAI form, with priority, cancel, resume, load report and
health.
"""

from typing import Any

import msgspec

from damasklead.ids import AttemptId
from damasklead.requests import Failure
from damasklead.upstreams.base import LEAVING_HEADER, OutgoingCall, Upstream
from damasklead.upstreams.transport import Answer, UpstreamError

__all__ = ["EngineUpstream", "continuation_body"]

REFUSING_STATUS = 503


class EngineUpstream(Upstream):
    """An engine with continuous batching."""

    name = "engine"
    aliases = ("model", "llm")

    def extra_headers(self, call: OutgoingCall) -> tuple[tuple[str, str], ...]:
        """Return the priority header."""
        return (("X-Priority", str(call.priority)),)

    def check(self, answer: Answer, call: OutgoingCall) -> None:
        """Refuse another request's answer, and take 503 as a refusal without a run."""
        answered = answer.header("X-Request-ID")
        if answered != call.attempt:
            answer.close()
            if not answered:
                raise UpstreamError(
                    Failure.BROKEN, f"status {answer.status} without a request id"
                )
            raise UpstreamError(Failure.MISMATCHED, "the answer is another request's")
        if answer.status == REFUSING_STATUS:
            leaving = bool(answer.header(LEAVING_HEADER))
            answer.close()
            raise UpstreamError(
                Failure.REFUSED, "the upstream refused the request", leaving=leaving
            )

    def cancel(self, address: str, attempt: AttemptId) -> None:
        """
        Cancel an attempt; an engine that can't be reached runs it no longer or to its
        end.
        """
        try:
            self.control(address, "POST", f"/v1/requests/{attempt}/cancel")
        except UpstreamError:
            return

    def resume(
        self, address: str, call: OutgoingCall, *, original: AttemptId, event: int
    ) -> Answer:
        """
        Go on with a stream that this engine ran, from an event on.

        Parameters
        ----------
        original : str
            The attempt whose stream it was.
        event : int
            How many events of that attempt's stream have been received.

        Raises
        ------
        UpstreamError
            When the engine can't go on with it.
        """
        path = f"/v1/requests/{original}/resume?from={event}"
        again = msgspec.structs.replace(call, method="POST", path=path, body=b"")
        answer = self.send(address, again)
        if answer.status != 200:
            answer.close()
            raise UpstreamError(Failure.REFUSED, "the engine can't resume the stream")
        return answer


def continuation_body(body: dict[str, Any], text: str) -> bytes:
    """
    Return the body that asks an engine to go on after ``text``.

    The form is the common one of engines with the OpenAI interface: the text so far as
    the last message of the assistant, marked as unfinished.
    """
    messages = [*body["messages"], {"role": "assistant", "content": text}]
    changed = {
        **body,
        "messages": messages,
        "continue_final_message": True,
        "add_generation_prompt": False,
    }
    return msgspec.json.encode(changed)
