"""
Stand-in for a model engine
===========================

Generates the same text for the same prompt, with continuous batching, priorities,
cancel, resume and a load report.
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
from damasklead.standins.base import Call, Reply, StandinServer, json_reply
from damasklead.stores.base import InstanceRecord, Platform
from damasklead.upstreams.base import UpstreamStatus

__all__ = ["EngineStandin", "expected_text", "expected_words"]

DEFAULT_TOKENS = 40
BASE_TOKEN_SECONDS = 0.004
TOKEN_SECONDS_PER_REQUEST = 0.0003
PREFILL_SECONDS = 0.01
DEFAULT_SLOTS = 32
LOAD_SECONDS = 0.2
POISON = "POISON"


class _Run(msgspec.Struct, kw_only=True):
    """A request that this engine runs or ran."""

    words: list[str]
    position: int = 0
    cancelled: bool = False


class EngineStandin(StandinServer):
    """
    A model engine.

    Attributes
    ----------
    generated : int
        Tokens generated in all.
    slow_factor : float
        Multiplies every time.
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
        self.generated = 0
        self.slow_factor = 1.0
        self.crash_after: int | None = None
        self.requests: list[str] = []
        self.checks_fencing = True
        self.highest_fencing = 0
        self.orders: list[ModelLoadCommand] = []
        self.models: list[str] = []
        self.loading: list[str] = []
        self._slots = slots
        self._running = 0
        self._waiting: list[tuple[int, int, Event]] = []
        self._sequence = 0
        self._runs: dict[str, _Run] = {}

    def handle(self, call: Call) -> Reply:
        """Answer a call."""
        if call.path == "/v1/chat/completions" and call.method == "POST":
            return self._complete(call)
        if call.path.startswith("/v1/requests/"):
            name, _, verb = call.path[len("/v1/requests/") :].partition("/")
            if verb == "cancel":
                return self._cancel(name)
            if verb == "resume":
                return self._resume(call, name)
        if call.path == "/v1/models/load" and call.method == "POST":
            return self._load_model(call)
        return super().handle(call)

    def status(self) -> UpstreamStatus:
        """Return the load report."""
        load = LoadReport(
            running=self._running,
            waiting=len(self._waiting),
            slots=self._slots,
            token_gap=self._token_seconds() if self._running else 0.0,
        )
        return UpstreamStatus(
            incarnation=self.record.incarnation,
            leaving=self.leaving,
            load=load,
            models=tuple(self.models),
            loading=tuple(self.loading),
        )

    def restart(self) -> None:
        """Start again as a new incarnation that remembers nothing."""
        self._running = 0
        self._waiting = []
        self._runs = {}
        self.crash_after = None
        super().restart()

    def _load_model(self, call: Call) -> Reply:
        """Begin to load a model, unless the order carries an old fencing number."""
        order = msgspec.json.decode(call.body, type=ModelLoadCommand)
        self.orders.append(order)
        if self.checks_fencing and order.fencing < self.highest_fencing:
            return json_reply({"error": "old fencing number"}, status=409)
        self.highest_fencing = max(self.highest_fencing, order.fencing)
        name = f"{order.model}@{order.version}"
        if name not in self.models and name not in self.loading:
            self.loading.append(name)
            gevent.spawn_later(LOAD_SECONDS, self._finish_load, name)
        return json_reply({"loading": name})

    def _finish_load(self, name: str) -> None:
        self.loading.remove(name)
        self.models.append(name)

    def _complete(self, call: Call) -> Reply:
        if self.leaving:
            return self.refusal(call)
        document = msgspec.json.decode(call.body)
        if POISON in str(document["messages"]):
            self.crash()
            return Reply(status=500)
        self.requests.append(call.request_id)
        run = _Run(words=remaining_words(document))
        self._runs[call.request_id] = run
        priority = int(call.headers.get("X_PRIORITY", "5"))
        if document.get("stream"):
            return self._stream_reply(call, run, priority)
        for _ in self._generate(run, priority):
            pass
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": " ".join(run.words)},
        }
        headers = (("X-Request-ID", call.request_id),)
        return json_reply({"id": call.request_id, "choices": [choice]}, headers=headers)

    def _cancel(self, name: str) -> Reply:
        run = self._runs.get(name)
        if run is not None:
            run.cancelled = True
        return json_reply({"cancelled": run is not None})

    def _resume(self, call: Call, name: str) -> Reply:
        run = self._runs.get(name)
        if run is None:
            return self._unknown_run(call)
        position = int(call.query.partition("from=")[2] or "0")
        rest = _Run(words=run.words[position:])
        self._runs[call.request_id] = rest
        return self._stream_reply(call, rest, int(call.headers.get("X_PRIORITY", "5")))

    def _unknown_run(self, call: Call) -> Reply:
        headers = (("X-Request-ID", call.request_id),)
        return json_reply({"error": "unknown request"}, status=404, headers=headers)

    def _stream_reply(self, call: Call, run: _Run, priority: int) -> Reply:
        headers = [
            ("Content-Type", "text/event-stream"),
            ("X-Request-ID", call.request_id),
        ]
        return Reply(
            headers=headers, parts=self._events(call.request_id, run, priority)
        )

    def _events(self, request_id: str, run: _Run, priority: int) -> Iterator[bytes]:
        for word in self._generate(run, priority):
            choice = {"index": 0, "delta": {"content": word + " "}}
            yield (
                b"data: "
                + msgspec.json.encode({"id": request_id, "choices": [choice]})
                + b"\n\n"
            )
        if not run.cancelled:
            yield b"data: [DONE]\n\n"

    def _generate(self, run: _Run, priority: int) -> Iterator[str]:
        """Yield the words one by one as they are generated."""
        self._take_slot(priority)
        try:
            gevent.sleep(PREFILL_SECONDS * self.slow_factor)
            for word in run.words:
                if run.cancelled:
                    return
                gevent.sleep(self._token_seconds())
                self._count_token()
                run.position += 1
                yield word
        finally:
            self._give_slot()

    def _count_token(self) -> None:
        self.generated += 1
        if self.crash_after is not None:
            self.crash_after -= 1
            if self.crash_after <= 0:
                self.crash_after = None
                self.crash()

    def _token_seconds(self) -> float:
        return self.slow_factor * (
            BASE_TOKEN_SECONDS + TOKEN_SECONDS_PER_REQUEST * self._running
        )

    def _take_slot(self, priority: int) -> None:
        if self._running >= self._slots:
            self._sequence += 1
            event = Event()
            heapq.heappush(self._waiting, (priority, self._sequence, event))
            event.wait()
            return
        self._running += 1

    def _give_slot(self) -> None:
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self._running -= 1


def expected_words(document: dict[str, Any]) -> list[str]:
    """Return all words of the answer to a request that was not continued."""
    messages = document["messages"]
    seed = hashlib.sha256(msgspec.json.encode(messages)).hexdigest()
    count = int(document.get("max_tokens", DEFAULT_TOKENS))
    return [
        hashlib.sha256(f"{seed}{index}".encode()).hexdigest()[:6]
        for index in range(count)
    ]


def expected_text(document: dict[str, Any]) -> str:
    """Return the whole answer to a request."""
    return " ".join(expected_words(document))


def remaining_words(document: dict[str, Any]) -> list[str]:
    """Return the words that follow the text that a continued request already has."""
    if not document.get("continue_final_message"):
        return expected_words(document)
    text = document["messages"][-1]["content"]
    done = len(text.split())
    original = {**document, "messages": document["messages"][:-1]}
    original["max_tokens"] = int(document.get("max_tokens", DEFAULT_TOKENS)) + done
    if "max_tokens" not in document:
        original["max_tokens"] = DEFAULT_TOKENS
    return expected_words(original)[done:]
