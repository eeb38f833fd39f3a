"""
Fake engines
============

Engines with continuous batching whose step grows with the
batch and with the prompt tokens that the prefix cache does not hold.
"""

import heapq
from collections import OrderedDict
from collections.abc import Callable

import msgspec

from damasklead.experiment.driver import Simulator
from damasklead.ids import AttemptId, InstanceId
from damasklead.requests import Request
from damasklead.sharing import LoadReport

STEP_SECONDS = 0.012
STEP_SECONDS_PER_REQUEST = 0.0005
PREFILL_SECONDS_PER_TOKEN = 0.00002
CACHED_FRACTION = 0.8
CACHE_PREFIXES = 6
HARD_BATCH = 32
GAP_RATE = 0.1  # weight of the latest step in the reported time between tokens
TELL_EVERY = 8  # tokens
RESTART_SECONDS = 20.0


class Run(msgspec.Struct, kw_only=True):
    """
    An attempt on an engine; ``told`` of the ``made`` tokens are reported.

    ``refused`` says that the engine was dead already, so that the attempt never ran.
    """

    request: Request
    attempt: AttemptId
    length: int
    priority: int
    on_tokens: Callable[[int], None]
    on_end: Callable[[bool], None]
    made: int = 0
    told: int = 0
    refused: bool = False
    to_prefill: float = 0.0


class Engine:
    """
    A fake engine.

    Attributes
    ----------
    slow_factor : float
        Multiplies the time of each step.
    generated : int
        Tokens generated in all.
    """

    def __init__(self, *, name: InstanceId, simulator: Simulator) -> None:
        self.name = name
        self.slow_factor = 1.0
        self.generated = 0
        self.alive = True
        self.incarnation = 1
        self.crashes = 0
        self._simulator = simulator
        self._running: dict[AttemptId, Run] = {}
        self._waiting: list[tuple[int, int, Run]] = []
        self._cancelled: set[AttemptId] = set()
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._sequence = 0
        self._stepping = False
        self._token_gap = 0.0

    @property
    def load(self) -> int:
        """Requests that run or wait."""
        return len(self._running) + len(self._waiting)

    def report(self) -> LoadReport:
        """Return the load report."""
        return LoadReport(
            running=len(self._running),
            waiting=len(self._waiting),
            slots=HARD_BATCH,
            token_gap=self._token_gap if self._running else 0.0,
        )

    def submit(self, run: Run) -> None:
        """Take a request in; a dead engine breaks it off at once."""
        if not self.alive:
            run.refused = True
            run.on_end(False)
            return
        self._sequence += 1
        heapq.heappush(self._waiting, (run.priority, self._sequence, run))
        self._step_soon()

    def cancel(self, attempt: AttemptId) -> None:
        """Stop a request without a word."""
        run = self._running.pop(attempt, None)
        if run is not None:
            self._tell(run)
            return
        self._cancelled.add(attempt)

    def crash(self) -> None:
        """Break everything off and come back after some time."""
        broken = [*self._running.values(), *(item[2] for item in self._waiting)]
        self._running.clear()
        self._waiting.clear()
        self._cache.clear()
        self.alive = False
        self.crashes += 1
        for run in broken:
            if run.attempt not in self._cancelled:
                self._tell(run)
                run.on_end(False)
        self._simulator.schedule(RESTART_SECONDS, self._restart)

    def _restart(self) -> None:
        self.alive = True
        self.incarnation += 1

    def _step_soon(self) -> None:
        if not self._stepping:
            self._stepping = True
            self._begin_step()

    def _begin_step(self) -> None:
        prefill = 0.0
        while self._waiting and len(self._running) < HARD_BATCH:
            run = heapq.heappop(self._waiting)[2]
            if run.attempt in self._cancelled:
                self._cancelled.discard(run.attempt)
                continue
            self._running[run.attempt] = run
            prefill += self._missing_tokens(run)
        if not self._running:
            self._stepping = False
            return
        step = STEP_SECONDS + STEP_SECONDS_PER_REQUEST * len(self._running)
        step = self.slow_factor * (step + PREFILL_SECONDS_PER_TOKEN * prefill)
        self._token_gap += GAP_RATE * (step - self._token_gap)
        incarnation = self.incarnation
        self._simulator.schedule(step, self._end_step, incarnation)

    def _end_step(self, incarnation: int) -> None:
        if not self.alive or incarnation != self.incarnation:
            self._stepping = False
            return
        for run in list(self._running.values()):
            if run.attempt not in self._running:
                continue
            if run.request.fingerprint.startswith("poison"):
                self._stepping = False
                self.crash()
                return
            run.made += 1
            self.generated += 1
            if run.made >= run.length:
                del self._running[run.attempt]
                self._tell(run)
                run.on_end(True)
            elif run.made == 1 or run.made % TELL_EVERY == 0:
                self._tell(run)
        self._begin_step()

    def _tell(self, run: Run) -> None:
        fresh, run.told = run.made - run.told, run.made
        if fresh:
            run.on_tokens(fresh)

    def _missing_tokens(self, run: Run) -> float:
        """Return the prompt tokens to compute, and let the cache hold the prefix."""
        request = run.request
        whole = float(request.prompt_tokens + request.generated_tokens)
        cached = request.prefix in self._cache
        self._cache[request.prefix] = None
        self._cache.move_to_end(request.prefix)
        if len(self._cache) > CACHE_PREFIXES:
            self._cache.popitem(last=False)
        return whole - CACHED_FRACTION * request.prompt_tokens if cached else whole
