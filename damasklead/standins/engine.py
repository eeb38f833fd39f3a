"""
Stand-in for a model engine
===========================

Generates deterministic text for a prompt, with continuous batching, priorities,
cancellation, resumption of streams and a load report.
"""

import hashlib
import heapq
from collections.abc import Iterator
from typing import Any

import gevent
import msgspec
from gevent.event import Event

from damasklead.duties import ModelLoadCommand
from damasklead.sharing import LoadReport
from damasklead.standins.base import (
    HttpRequest,
    HttpResponse,
    StandinServer,
    make_json_response,
)
from damasklead.stores.base import InstanceRecord, Platform
from damasklead.upstreams.base import UpstreamStatus

__all__ = ["EngineStandin", "compute_expected_text", "compute_expected_words"]

DEFAULT_TOKENS = 40
BASE_TOKEN_SECONDS = 0.004
TOKEN_SECONDS_PER_REQUEST = 0.0003  # added to each token by a concurrent request
PREFILL_SECONDS = 0.01
DEFAULT_SLOTS = 32
MODEL_LOAD_SECONDS = 0.2
CRASH_TRIGGER = "POISON"  # a prompt that contains it crashes the engine


class _Generation(msgspec.Struct, kw_only=True):
    """
    The generation of one response, kept after its end for resumption.

    Attributes
    ----------
    words : list of str
        The complete response; one word counts as one token.
    position : int
        Words generated so far.
    """

    words: list[str]
    position: int = 0
    is_cancelled: bool = False


class EngineStandin(StandinServer):
    """
    A stand-in for a model engine.

    Parameters
    ----------
    record : InstanceRecord
        Its entry in the instance list; it listens on the record's address.
    platform : Platform or None
        Platform where it registers; ``None`` to register nowhere.
    exits_on_crash : bool
        Whether a crash ends the process.
    slots : int
        Requests that are executed concurrently; further ones are queued by priority.

    Attributes
    ----------
    generated_tokens : int
        Tokens generated over all requests.
    slowdown_factor : float
        Factor of the prefill time and of the time per token.
    crash_after_tokens : int or None
        Tokens that are still generated before the engine crashes; ``None`` for no
        crash.
    request_ids : list of str
        Ids of the completion requests in order of arrival.
    checks_fencing : bool
        Whether load commands with an outdated fencing token are rejected.
    highest_fencing_token : int
        Highest fencing token among the accepted load commands.
    load_commands : list of ModelLoadCommand
        All load commands received, also the rejected ones.
    loaded_models, loading_models : list of str
        Models as ``name@version``.
    """

    def __init__(
        self,
        *,
        record: InstanceRecord,
        platform: Platform | None = None,
        exits_on_crash: bool = False,
        slots: int = DEFAULT_SLOTS,
    ) -> None:
        super().__init__(
            record=record, platform=platform, exits_on_crash=exits_on_crash
        )
        self.generated_tokens = 0
        self.slowdown_factor = 1.0
        self.crash_after_tokens: int | None = None
        self.request_ids: list[str] = []
        self.checks_fencing = True
        self.highest_fencing_token = 0
        self.load_commands: list[ModelLoadCommand] = []
        self.loaded_models: list[str] = []
        self.loading_models: list[str] = []
        self._slots = slots
        self._running_count = 0
        self._queue: list[tuple[int, int, Event]] = []
        self._queue_sequence = 0
        self._generations: dict[str, _Generation] = {}

    def handle_request(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request."""
        if request.path == "/v1/chat/completions" and request.method == "POST":
            return self._handle_completion(request)
        if request.path.startswith("/v1/requests/"):
            request_id, _, verb = request.path[len("/v1/requests/") :].partition("/")
            if verb == "cancel":
                return self._cancel_generation(request_id)
            if verb == "resume":
                return self._resume_generation(request, request_id)
        if request.path == "/v1/models/load" and request.method == "POST":
            return self._load_model(request)
        return super().handle_request(request)

    def build_status(self) -> UpstreamStatus:
        """Return the status with a load report and the models."""
        load = LoadReport(
            running=self._running_count,
            waiting=len(self._queue),
            slots=self._slots,
            token_gap=self._compute_token_seconds() if self._running_count else 0.0,
        )
        return UpstreamStatus(
            incarnation=self.record.incarnation,
            leaving=self.is_leaving,
            load=load,
            models=tuple(self.loaded_models),
            loading=tuple(self.loading_models),
        )

    def restart(self) -> None:
        """Restart as a new incarnation without the state of earlier requests."""
        self._running_count = 0
        self._queue = []
        self._generations = {}
        self.crash_after_tokens = None
        super().restart()

    def _load_model(self, request: HttpRequest) -> HttpResponse:
        """Begin to load a model, unless the command's fencing token is outdated."""
        command = msgspec.json.decode(request.body, type=ModelLoadCommand)
        self.load_commands.append(command)
        if self.checks_fencing and command.fencing < self.highest_fencing_token:
            return make_json_response({"error": "old fencing number"}, status=409)
        self.highest_fencing_token = max(self.highest_fencing_token, command.fencing)
        name = f"{command.model}@{command.version}"
        if name not in self.loaded_models and name not in self.loading_models:
            self.loading_models.append(name)
            gevent.spawn_later(MODEL_LOAD_SECONDS, self._finish_model_load, name)
        return make_json_response({"loading": name})

    def _finish_model_load(self, name: str) -> None:
        self.loading_models.remove(name)
        self.loaded_models.append(name)

    def _handle_completion(self, request: HttpRequest) -> HttpResponse:
        if self.is_leaving:
            return self.make_refusal(request)
        document = msgspec.json.decode(request.body)
        if CRASH_TRIGGER in str(document["messages"]):
            self.crash()
            return HttpResponse(status=500)
        self.request_ids.append(request.request_id)
        generation = _Generation(words=compute_remaining_words(document))
        self._generations[request.request_id] = generation
        priority = int(request.headers.get("X_PRIORITY", "5"))
        if document.get("stream"):
            return self._make_stream_response(request, generation, priority)
        for _ in self._generate_words(generation, priority):
            pass
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": " ".join(generation.words)},
        }
        headers = (("X-Request-ID", request.request_id),)
        return make_json_response(
            {"id": request.request_id, "choices": [choice]}, headers=headers
        )

    def _cancel_generation(self, request_id: str) -> HttpResponse:
        generation = self._generations.get(request_id)
        if generation is not None:
            generation.is_cancelled = True
        return make_json_response({"cancelled": generation is not None})

    def _resume_generation(self, request: HttpRequest, request_id: str) -> HttpResponse:
        generation = self._generations.get(request_id)
        if generation is None:
            return self._make_unknown_request_response(request)
        position = int(request.query.partition("from=")[2] or "0")
        resumed = _Generation(words=generation.words[position:])
        self._generations[request.request_id] = resumed
        return self._make_stream_response(
            request, resumed, int(request.headers.get("X_PRIORITY", "5"))
        )

    def _make_unknown_request_response(self, request: HttpRequest) -> HttpResponse:
        headers = (("X-Request-ID", request.request_id),)
        return make_json_response(
            {"error": "unknown request"}, status=404, headers=headers
        )

    def _make_stream_response(
        self, request: HttpRequest, generation: _Generation, priority: int
    ) -> HttpResponse:
        headers = [
            ("Content-Type", "text/event-stream"),
            ("X-Request-ID", request.request_id),
        ]
        return HttpResponse(
            headers=headers,
            parts=self._generate_events(request.request_id, generation, priority),
        )

    def _generate_events(
        self, request_id: str, generation: _Generation, priority: int
    ) -> Iterator[bytes]:
        for word in self._generate_words(generation, priority):
            choice = {"index": 0, "delta": {"content": word + " "}}
            yield (
                b"data: "
                + msgspec.json.encode({"id": request_id, "choices": [choice]})
                + b"\n\n"
            )
        if not generation.is_cancelled:
            yield b"data: [DONE]\n\n"

    def _generate_words(self, generation: _Generation, priority: int) -> Iterator[str]:
        """Yield the words of a response at the pace of generation."""
        self._acquire_slot(priority)
        try:
            gevent.sleep(PREFILL_SECONDS * self.slowdown_factor)
            for word in generation.words:
                if generation.is_cancelled:
                    return
                gevent.sleep(self._compute_token_seconds())
                self._record_token()
                generation.position += 1
                yield word
        finally:
            self._release_slot()

    def _record_token(self) -> None:
        self.generated_tokens += 1
        if self.crash_after_tokens is not None:
            self.crash_after_tokens -= 1
            if self.crash_after_tokens <= 0:
                self.crash_after_tokens = None
                self.crash()

    def _compute_token_seconds(self) -> float:
        return self.slowdown_factor * (
            BASE_TOKEN_SECONDS + TOKEN_SECONDS_PER_REQUEST * self._running_count
        )

    def _acquire_slot(self, priority: int) -> None:
        if self._running_count >= self._slots:
            self._queue_sequence += 1
            event = Event()
            heapq.heappush(self._queue, (priority, self._queue_sequence, event))
            event.wait()
            return
        self._running_count += 1

    def _release_slot(self) -> None:
        if self._queue:
            heapq.heappop(self._queue)[2].set()
        else:
            self._running_count -= 1


def compute_expected_words(document: dict[str, Any]) -> list[str]:
    """Return all words of the response to a request that continues no earlier one."""
    messages = document["messages"]
    seed = hashlib.sha256(msgspec.json.encode(messages)).hexdigest()
    count = int(document.get("max_tokens", DEFAULT_TOKENS))
    return [
        hashlib.sha256(f"{seed}{index}".encode()).hexdigest()[:6]
        for index in range(count)
    ]


def compute_expected_text(document: dict[str, Any]) -> str:
    """Return the complete text of the response to a request."""
    return " ".join(compute_expected_words(document))


def compute_remaining_words(document: dict[str, Any]) -> list[str]:
    """Return the words after the partial response that a continued request carries."""
    if not document.get("continue_final_message"):
        return compute_expected_words(document)
    text = document["messages"][-1]["content"]
    generated_count = len(text.split())
    original = {**document, "messages": document["messages"][:-1]}
    original["max_tokens"] = (
        int(document.get("max_tokens", DEFAULT_TOKENS)) + generated_count
    )
    if "max_tokens" not in document:
        original["max_tokens"] = DEFAULT_TOKENS
    return compute_expected_words(original)[generated_count:]
