"""
Simulated engines
=================

Engines with continuous batching.  The time of a step grows with the batch size and with
the prompt tokens that are not in the prefix cache.
"""

import heapq
from collections import OrderedDict
from collections.abc import Callable

import msgspec

from damasklead.experiment.simulator import Simulator
from damasklead.ids import AttemptId, InstanceId
from damasklead.requests import Request
from damasklead.sharing import LoadReport

STEP_SECONDS = 0.012
STEP_SECONDS_PER_REQUEST = 0.0005
PREFILL_SECONDS_PER_TOKEN = 0.00002
PREFIX_FRACTION = 0.8  # part of a prompt that its prefix makes up
MAX_CACHED_PREFIXES = 6
MAX_BATCH_SIZE = 32
TOKEN_GAP_SMOOTHING_FACTOR = 0.1  # weight of the latest step in the token gap
REPORT_INTERVAL_TOKENS = 8  # between reports of generated tokens
RESTART_SECONDS = 20.0


class EngineRequest(msgspec.Struct, kw_only=True):
    """
    An attempt at an engine.

    Attributes
    ----------
    request : Request
        The request.
    attempt : AttemptId
        Id of the attempt.
    remaining_tokens : int
        Tokens that this attempt has to generate.
    priority : int
        Priority in the engine's queue; lower values run first.
    on_tokens : callable
        Called with the number of tokens generated since the last call.
    on_end : callable
        Called at the end, with whether the response is complete.
    generated_tokens, reported_tokens : int
        Tokens generated, and those passed to ``on_tokens`` so far.
    is_rejected : bool
        Whether the engine was down already, so that the attempt was never executed.
    prefill_tokens : float
        Not used.
    """

    request: Request
    attempt: AttemptId
    remaining_tokens: int
    priority: int
    on_tokens: Callable[[int], None]
    on_end: Callable[[bool], None]
    generated_tokens: int = 0
    reported_tokens: int = 0
    is_rejected: bool = False
    prefill_tokens: float = 0.0


class Engine:
    """
    A simulated engine.

    Attributes
    ----------
    slowdown_factor : float
        Factor on the time of each step; 1 is the normal speed.
    generated_tokens : int
        Total number of tokens generated.
    is_alive : bool
        False from a crash until the restart.
    incarnation : int
        Number of the current start, from 1.
    crash_count : int
        Number of crashes.
    """

    def __init__(self, *, name: InstanceId, simulator: Simulator) -> None:
        self.name = name
        self.slowdown_factor = 1.0
        self.generated_tokens = 0
        self.is_alive = True
        self.incarnation = 1
        self.crash_count = 0
        self._simulator = simulator
        self._running: dict[AttemptId, EngineRequest] = {}
        self._waiting: list[tuple[int, int, EngineRequest]] = []
        self._cancelled: set[AttemptId] = set()
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._sequence = 0
        self._is_stepping = False
        self._token_gap = 0.0

    @property
    def request_count(self) -> int:
        """Number of running and queued requests."""
        return len(self._running) + len(self._waiting)

    def build_load_report(self) -> LoadReport:
        """Return the load report of this moment."""
        return LoadReport(
            running=len(self._running),
            waiting=len(self._waiting),
            slots=MAX_BATCH_SIZE,
            token_gap=self._token_gap if self._running else 0.0,
        )

    def submit_request(self, engine_request: EngineRequest) -> None:
        """Queue an attempt; an engine that is down rejects it at once."""
        if not self.is_alive:
            engine_request.is_rejected = True
            engine_request.on_end(False)
            return
        self._sequence += 1
        heapq.heappush(
            self._waiting, (engine_request.priority, self._sequence, engine_request)
        )
        self._start_stepping()

    def cancel_request(self, attempt: AttemptId) -> None:
        """Cancel an attempt without a call of its ``on_end``."""
        engine_request = self._running.pop(attempt, None)
        if engine_request is not None:
            self._report_tokens(engine_request)
            return
        self._cancelled.add(attempt)

    def crash(self) -> None:
        """End all attempts as incomplete, and restart after ``RESTART_SECONDS``."""
        broken = [*self._running.values(), *(item[2] for item in self._waiting)]
        self._running.clear()
        self._waiting.clear()
        self._cache.clear()
        self.is_alive = False
        self.crash_count += 1
        for engine_request in broken:
            if engine_request.attempt not in self._cancelled:
                self._report_tokens(engine_request)
                engine_request.on_end(False)
        self._simulator.schedule(RESTART_SECONDS, self._restart)

    def _restart(self) -> None:
        self.is_alive = True
        self.incarnation += 1

    def _start_stepping(self) -> None:
        if not self._is_stepping:
            self._is_stepping = True
            self._begin_step()

    def _begin_step(self) -> None:
        prefill_tokens = 0.0
        while self._waiting and len(self._running) < MAX_BATCH_SIZE:
            engine_request = heapq.heappop(self._waiting)[2]
            if engine_request.attempt in self._cancelled:
                self._cancelled.discard(engine_request.attempt)
                continue
            self._running[engine_request.attempt] = engine_request
            prefill_tokens += self._compute_prefill_tokens(engine_request)
        if not self._running:
            self._is_stepping = False
            return
        step = STEP_SECONDS + STEP_SECONDS_PER_REQUEST * len(self._running)
        step = self.slowdown_factor * (
            step + PREFILL_SECONDS_PER_TOKEN * prefill_tokens
        )
        self._token_gap += TOKEN_GAP_SMOOTHING_FACTOR * (step - self._token_gap)
        incarnation = self.incarnation
        self._simulator.schedule(step, self._end_step, incarnation)

    def _end_step(self, incarnation: int) -> None:
        if not self.is_alive or incarnation != self.incarnation:
            self._is_stepping = False
            return
        for engine_request in list(self._running.values()):
            if engine_request.attempt not in self._running:
                continue
            if engine_request.request.fingerprint.startswith("poison"):
                self._is_stepping = False
                self.crash()
                return
            engine_request.generated_tokens += 1
            self.generated_tokens += 1
            if engine_request.generated_tokens >= engine_request.remaining_tokens:
                del self._running[engine_request.attempt]
                self._report_tokens(engine_request)
                engine_request.on_end(True)
            elif (
                engine_request.generated_tokens == 1
                or engine_request.generated_tokens % REPORT_INTERVAL_TOKENS == 0
            ):
                self._report_tokens(engine_request)
        self._begin_step()

    def _report_tokens(self, engine_request: EngineRequest) -> None:
        new_tokens, engine_request.reported_tokens = (
            engine_request.generated_tokens - engine_request.reported_tokens,
            engine_request.generated_tokens,
        )
        if new_tokens:
            engine_request.on_tokens(new_tokens)

    def _compute_prefill_tokens(self, engine_request: EngineRequest) -> float:
        """Return the tokens to prefill, and add the prefix to the cache."""
        request = engine_request.request
        context_tokens = float(request.prompt_tokens + request.generated_tokens)
        cached = request.prefix in self._cache
        self._cache[request.prefix] = None
        self._cache.move_to_end(request.prefix)
        if len(self._cache) > MAX_CACHED_PREFIXES:
            self._cache.popitem(last=False)
        return (
            context_tokens - PREFIX_FRACTION * request.prompt_tokens
            if cached
            else context_tokens
        )
