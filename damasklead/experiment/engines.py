"""
Modelled engines
================

An engine with continuous batching and chunked prefill: each step prefills a chunk of
prompt tokens and generates a token for each request whose prompt is complete.  A prefix
cache keeps the shared prompt parts in memory.
"""

import heapq
from collections import OrderedDict
from collections.abc import Callable

import msgspec

from damasklead.experiment.description import EngineParameters
from damasklead.experiment.simulator import Simulator
from damasklead.gateway.calls import LoadHint, PromptPart
from damasklead.ids import AttemptId

__all__ = ["Engine", "EngineRequest", "PrefixCache"]


class EngineRequest(msgspec.Struct, kw_only=True):
    """
    A request at an engine.

    Attributes
    ----------
    attempt : AttemptId
    prompt : tuple of PromptPart
        Shared parts first, then the request's own part.
    urgency : int
        Requests with lower numbers are scheduled first.
    output_tokens : int
        Tokens to generate.
    on_event : callable
        Called with the engine's load at each event.
    on_end : callable
        Called at the end with whether the response is complete.
    pending_prefill_tokens : int
        Prompt tokens to prefill; -1 before the prefill starts.
    generated_tokens : int
        Tokens generated so far.
    """

    attempt: AttemptId
    prompt: tuple[PromptPart, ...]
    urgency: int
    output_tokens: int
    on_event: Callable[[LoadHint], None]
    on_end: Callable[[bool], None]
    pending_prefill_tokens: int = -1
    generated_tokens: int = 0

    @property
    def context_tokens(self) -> int:
        """Tokens of the prompt and of the response so far."""
        return sum(part.tokens for part in self.prompt) + self.generated_tokens


class PrefixCache:
    """
    An engine's cached prompt parts; the least recently used are evicted first.

    Examples
    --------
    >>> cache = PrefixCache()
    >>> a, b = PromptPart("a", 60), PromptPart("b", 60)
    >>> cache.add_parts((a, b)); cache.match_prefix((a, b)), cache.match_prefix((b,))
    (120, 60)
    >>> cache.evict_parts(100); cache.match_prefix((a, b))
    0
    """

    def __init__(self) -> None:
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def match_prefix(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the tokens of the longest cached prefix, and mark it as used."""
        matched_tokens = 0
        for part in parts:
            if part.key not in self._parts:
                break
            self._parts.move_to_end(part.key)
            matched_tokens += part.tokens
        return matched_tokens

    def add_parts(self, parts: tuple[PromptPart, ...]) -> None:
        """Add parts whose prefill is complete."""
        for part in parts:
            self._tokens += part.tokens - self._parts.pop(part.key, 0)
            self._parts[part.key] = part.tokens

    def evict_parts(self, max_tokens: int) -> None:
        """Evict parts until at most ``max_tokens`` tokens are cached."""
        while self._tokens > max_tokens and self._parts:
            self._tokens -= self._parts.popitem(last=False)[1]

    def clear(self) -> None:
        """Remove all parts."""
        self._parts.clear()
        self._tokens = 0


class Engine:
    """
    One engine.

    Parameters
    ----------
    parameters : EngineParameters
    simulator : Simulator
    step_time_factor : float
        Multiplies the time of all steps.
    known_parts : set of str
        Keys of the shared parts that some engine of the run has prefilled; all engines
        of the run have the same set.

    Attributes
    ----------
    is_running : bool
        ``False`` from a crash to the restart.
    incarnation : int
        Rises at each restart.
    slowdown_factor : float
        Multiplies the time of all steps during a fault; 1 otherwise.
    contention_factor : float
        Multiplies the time of all steps while the machine does other work; 1 otherwise.
    prefilled_tokens, recomputed_tokens, copied_tokens : int
        Prompt tokens prefilled, those of shared parts that some engine had prefilled
        before, and those copied from other engines.
    """

    def __init__(
        self,
        *,
        parameters: EngineParameters,
        simulator: Simulator,
        step_time_factor: float,
        known_parts: set[str],
    ) -> None:
        self.is_running = True
        self.incarnation = 1
        self.slowdown_factor = 1.0
        self.contention_factor = 1.0
        self.prefilled_tokens = 0
        self.recomputed_tokens = 0
        self.copied_tokens = 0
        self._parameters = parameters
        self._simulator = simulator
        self._step_time_factor = step_time_factor
        self._known_parts = known_parts
        self._cache = PrefixCache()
        self._queue: list[tuple[int, int, EngineRequest]] = []
        self._running: dict[AttemptId, EngineRequest] = {}
        self._sequence = 0
        self._is_stepping = False

    @property
    def tokens_per_event(self) -> int:
        """Number of tokens in one event of a stream."""
        return self._parameters.tokens_per_event

    @property
    def load_hint(self) -> LoadHint:
        """The load that the engine reports with each event."""
        return LoadHint(
            running=len(self._running),
            waiting=len(self._queue),
            slots=self._parameters.slots,
            slowdown=self.current_slowdown
            if self._parameters.reports_slowdown
            else None,
        )

    @property
    def current_slowdown(self) -> float:
        """Factor of the time of a step over that of the same engine undisturbed."""
        return self.slowdown_factor * self.contention_factor

    @property
    def step_time_factor(self) -> float:
        """Factor of the time of a step at present, including a fault's."""
        return self._step_time_factor * self.current_slowdown

    def count_pending_prefill_tokens(self) -> int:
        """Return the prompt tokens that running and queued requests have to prefill."""
        queued = (item[2] for item in self._queue)
        return sum(
            self.count_uncached_tokens(request.prompt)
            if request.pending_prefill_tokens < 0
            else request.pending_prefill_tokens
            for request in (*self._running.values(), *queued)
        )

    def count_uncached_tokens(self, prompt: tuple[PromptPart, ...]) -> int:
        """Return the tokens of a prompt that have to be prefilled."""
        return sum(part.tokens for part in prompt) - self.count_cached_tokens(prompt)

    def submit_request(self, request: EngineRequest) -> bool:
        """Queue a request; returns ``False`` when slots and queue are full."""
        capacity = self._parameters.slots + self._parameters.queue
        if len(self._running) + len(self._queue) >= capacity:
            return False
        self._sequence += 1
        heapq.heappush(self._queue, (request.urgency, self._sequence, request))
        if not self._is_stepping:
            self._is_stepping = True
            self._begin_step()
        return True

    def copy_prefix(self, source: "Engine", prompt: tuple[PromptPart, ...]) -> float:
        """Copy cached parts from another engine; returns the seconds that it takes."""
        source_tokens = source.count_cached_tokens(prompt)
        tokens = source_tokens - self.count_cached_tokens(prompt)
        if tokens <= 0 or not source.is_running:
            return 0.0
        parts: list[PromptPart] = []
        for part in prompt[:-1]:
            if sum(item.tokens for item in parts) < source_tokens:
                parts.append(part)
        self._cache.add_parts(tuple(parts))
        self.copied_tokens += tokens
        return self._parameters.copy_setup + tokens * self._parameters.copy_token

    def count_cached_tokens(self, prompt: tuple[PromptPart, ...]) -> int:
        """Return the tokens of a prompt's shared parts that are cached."""
        return self._cache.match_prefix(prompt[:-1])

    def cancel_request(self, attempt: AttemptId) -> None:
        """Remove a request without calling its ``on_end``."""
        if self._running.pop(attempt, None) is None:
            self._queue = [x for x in self._queue if x[2].attempt != attempt]
            heapq.heapify(self._queue)

    def crash(self, seconds: float) -> None:
        """Interrupt all requests, lose the cache, and restart after some seconds."""
        interrupted = [*self._running.values(), *(item[2] for item in self._queue)]
        self._running.clear()
        self._queue.clear()
        self._cache.clear()
        self.is_running = False
        for request in interrupted:
            request.on_end(False)
        self._simulator.schedule(seconds, self._restart)

    def _restart(self) -> None:
        self.is_running = True
        self.incarnation += 1

    def _start_queued_requests(self) -> None:
        while self._queue and len(self._running) < self._parameters.slots:
            request = heapq.heappop(self._queue)[2]
            self._running[request.attempt] = request

    def _begin_step(self) -> None:
        self._start_queued_requests()
        if not self._running:
            self._is_stepping = False
            return
        parameters = self._parameters
        chunk, pairs = self._prefill_chunk()
        context_tokens = sum(
            request.context_tokens for request in self._running.values()
        )
        self._cache.evict_parts(max(0, parameters.memory_tokens - context_tokens))
        seconds = parameters.step + parameters.step_per_request * len(self._running)
        seconds += parameters.step_per_context_token * context_tokens
        seconds += chunk / parameters.read_rate + pairs * parameters.pair_seconds
        incarnation = self.incarnation
        self._simulator.schedule(
            seconds * self.step_time_factor, self._end_step, incarnation
        )

    def _prefill_chunk(self) -> tuple[int, float]:
        """
        Prefill a chunk, the most urgent prompts first.

        Returns
        -------
        tuple of int and float
            Tokens prefilled, and pairs of such a token and one before it, to which the
            time of attention is proportional.
        """
        remaining_tokens, pairs = self._parameters.chunk, 0.0
        prefilling = [
            request
            for request in self._running.values()
            if request.pending_prefill_tokens
        ]
        for request in sorted(prefilling, key=lambda item: item.urgency):
            if request.pending_prefill_tokens < 0:
                request.pending_prefill_tokens = self.count_uncached_tokens(
                    request.prompt
                )
                self._record_prefill(request)
            tokens = min(remaining_tokens, request.pending_prefill_tokens)
            pairs += tokens * (
                request.context_tokens - request.pending_prefill_tokens + tokens / 2
            )
            request.pending_prefill_tokens -= tokens
            remaining_tokens -= tokens
            if not request.pending_prefill_tokens:
                self._cache.add_parts(request.prompt[:-1])
            if not remaining_tokens:
                break
        return self._parameters.chunk - remaining_tokens, pairs

    def _record_prefill(self, request: EngineRequest) -> None:
        """Count the tokens to prefill, and those that some engine prefilled before."""
        self.prefilled_tokens += request.pending_prefill_tokens
        skipped = (
            sum(part.tokens for part in request.prompt) - request.pending_prefill_tokens
        )
        for part in request.prompt[:-1]:
            if skipped >= part.tokens:
                skipped -= part.tokens
            elif part.key in self._known_parts:
                self.recomputed_tokens += part.tokens
            self._known_parts.add(part.key)

    def _end_step(self, incarnation: int) -> None:
        if not self.is_running or incarnation != self.incarnation:
            self._is_stepping = False
            return
        for request in list(self._running.values()):
            if request.pending_prefill_tokens or request.attempt not in self._running:
                continue
            request.generated_tokens += 1
            is_complete = request.generated_tokens >= request.output_tokens
            if (
                is_complete
                or request.generated_tokens % self._parameters.tokens_per_event == 0
            ):
                request.on_event(self.load_hint)
            if is_complete and self._running.pop(request.attempt, None) is not None:
                request.on_end(True)
        self._begin_step()
