"""
Modelled engines
================

An engine with continuous batching: prompts are read in chunks between the tokens of
running requests, prompt parts are cached, the least recently used dropped.
"""

import heapq
from collections import OrderedDict
from collections.abc import Callable

import msgspec

from damasklead.experiment.description import Engines
from damasklead.experiment.driver import Simulator
from damasklead.gateway.calls import LoadHint, PromptPart
from damasklead.ids import AttemptId

__all__ = ["Engine", "EngineRun", "PromptCache"]


class EngineRun(msgspec.Struct, kw_only=True):
    """
    A request at an engine.

    Attributes
    ----------
    urgency : int
        0 goes first.
    answer : int
        Tokens to generate.
    on_event, on_end : callable
        Told of each event, and of the end: whether the answer is whole.
    unread : int
        Prompt tokens still to read; -1 before reading began.
    """

    attempt: AttemptId
    prompt: tuple[PromptPart, ...]
    urgency: int
    answer: int
    on_event: Callable[[LoadHint], None]
    on_end: Callable[[bool], None]
    unread: int = -1
    made: int = 0

    @property
    def tokens(self) -> int:
        """The tokens that it keeps in memory at present."""
        return sum(part.tokens for part in self.prompt) + self.made


class PromptCache:
    """
    Prompt parts in an engine's memory, the least recently used dropped first.

    Examples
    --------
    >>> cache = PromptCache()
    >>> a, b = PromptPart("a", 60), PromptPart("b", 60)
    >>> cache.keep((a, b)); cache.cached((a, b)), cache.cached((b,))
    (120, 60)
    >>> cache.shrink(100); cache.cached((a, b))
    0
    """

    def __init__(self) -> None:
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def cached(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the tokens that need not be read: a part counts after all before."""
        found = 0
        for part in parts:
            if part.key not in self._parts:
                break
            self._parts.move_to_end(part.key)
            found += part.tokens
        return found

    def keep(self, parts: tuple[PromptPart, ...]) -> None:
        """Note that parts were read."""
        for part in parts:
            self._tokens += part.tokens - self._parts.pop(part.key, 0)
            self._parts[part.key] = part.tokens

    def shrink(self, most: int) -> None:
        """Drop parts beyond a number of tokens."""
        while self._tokens > most and self._parts:
            self._tokens -= self._parts.popitem(last=False)[1]

    def clear(self) -> None:
        """Drop all."""
        self._parts.clear()
        self._tokens = 0


class Engine:
    """
    One engine.

    Attributes
    ----------
    alive : bool
    slow_factor : float
        Multiplies the time of all steps.
    read, read_again, copied : int
        Prompt tokens read, those of shared parts that some engine had read before, and
        those copied from other engines.
    """

    def __init__(
        self, *, figures: Engines, simulator: Simulator, speed: float, known: set[str]
    ) -> None:
        self.alive = True
        self.incarnation = 1
        self.slow_factor = 1.0
        self.read = 0
        self.read_again = 0
        self.copied = 0
        self._figures = figures
        self._simulator = simulator
        self._speed = speed
        self._known = known
        self._cache = PromptCache()
        self._waiting: list[tuple[int, int, EngineRun]] = []
        self._running: dict[AttemptId, EngineRun] = {}
        self._sequence = 0
        self._stepping = False

    @property
    def event_tokens(self) -> int:
        """Tokens in one event of a stream."""
        return self._figures.tokens_per_event

    @property
    def hint(self) -> LoadHint:
        """What the engine tells of its load."""
        return LoadHint(
            running=len(self._running),
            waiting=len(self._waiting),
            slots=self._figures.slots,
        )

    @property
    def speed(self) -> float:
        """How many times as long as usual a step takes at present."""
        return self._speed * self.slow_factor

    def unread_tokens(self) -> int:
        """Return the prompt tokens still to read."""
        waiting = (item[2] for item in self._waiting)
        return sum(
            self.missing_tokens(run.prompt) if run.unread < 0 else run.unread
            for run in (*self._running.values(), *waiting)
        )

    def missing_tokens(self, prompt: tuple[PromptPart, ...]) -> int:
        """Return what would have to be read of a prompt."""
        return sum(part.tokens for part in prompt) - self.cached_tokens(prompt)

    def submit(self, run: EngineRun) -> bool:
        """Take a request in; returns ``False`` when the engine is full."""
        room = self._figures.slots + self._figures.queue
        if len(self._running) + len(self._waiting) >= room:
            return False
        self._sequence += 1
        heapq.heappush(self._waiting, (run.urgency, self._sequence, run))
        if not self._stepping:
            self._stepping = True
            self._begin_step()
        return True

    def copy(self, source: "Engine", prompt: tuple[PromptPart, ...]) -> float:
        """Copy the shared parts of a prompt; returns the seconds that it takes."""
        there = source.cached_tokens(prompt)
        tokens = there - self.cached_tokens(prompt)
        if tokens <= 0 or not source.alive:
            return 0.0
        kept: list[PromptPart] = []
        for part in prompt[:-1]:
            if sum(item.tokens for item in kept) < there:
                kept.append(part)
        self._cache.keep(tuple(kept))
        self.copied += tokens
        return self._figures.copy_setup + tokens * self._figures.copy_token

    def cached_tokens(self, prompt: tuple[PromptPart, ...]) -> int:
        """Return the tokens of a prompt's shared parts in memory."""
        return self._cache.cached(prompt[:-1])

    def cancel(self, attempt: AttemptId) -> None:
        """Stop a request without a word."""
        if self._running.pop(attempt, None) is None:
            self._waiting = [x for x in self._waiting if x[2].attempt != attempt]
            heapq.heapify(self._waiting)

    def crash(self, seconds: float) -> None:
        """Break everything off and come back after some time."""
        broken = [*self._running.values(), *(item[2] for item in self._waiting)]
        self._running.clear()
        self._waiting.clear()
        self._cache.clear()
        self.alive = False
        for run in broken:
            run.on_end(False)
        self._simulator.schedule(seconds, self._restart)

    def _restart(self) -> None:
        self.alive = True
        self.incarnation += 1

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._figures.slots:
            run = heapq.heappop(self._waiting)[2]
            self._running[run.attempt] = run

    def _begin_step(self) -> None:
        self._admit()
        if not self._running:
            self._stepping = False
            return
        figures = self._figures
        chunk, pairs = self._read_chunk()
        kept = sum(run.tokens for run in self._running.values())
        self._cache.shrink(max(0, figures.memory_tokens - kept))
        seconds = figures.step + figures.step_per_request * len(self._running)
        seconds += figures.step_per_context_token * kept
        seconds += chunk / figures.read_rate + pairs * figures.pair_seconds
        incarnation = self.incarnation
        self._simulator.schedule(seconds * self.speed, self._end_step, incarnation)

    def _read_chunk(self) -> tuple[int, float]:
        """Read prompts, the most urgent first; returns tokens and pairs of tokens."""
        left, pairs = self._figures.chunk, 0.0
        reading = [run for run in self._running.values() if run.unread]
        for run in sorted(reading, key=lambda item: item.urgency):
            if run.unread < 0:
                run.unread = self.missing_tokens(run.prompt)
                self._note_read(run)
            tokens = min(left, run.unread)
            pairs += tokens * (run.tokens - run.unread + tokens / 2)
            run.unread -= tokens
            left -= tokens
            if not run.unread:
                self._cache.keep(run.prompt[:-1])
            if not left:
                break
        return self._figures.chunk - left, pairs

    def _note_read(self, run: EngineRun) -> None:
        """Count what is read, and what of it some engine had read before."""
        self.read += run.unread
        skipped = sum(part.tokens for part in run.prompt) - run.unread
        for part in run.prompt[:-1]:
            if skipped >= part.tokens:
                skipped -= part.tokens
            elif part.key in self._known:
                self.read_again += part.tokens
            self._known.add(part.key)

    def _end_step(self, incarnation: int) -> None:
        if not self.alive or incarnation != self.incarnation:
            self._stepping = False
            return
        for run in list(self._running.values()):
            if run.unread or run.attempt not in self._running:
                continue
            run.made += 1
            whole = run.made >= run.answer
            if whole or run.made % self._figures.tokens_per_event == 0:
                run.on_event(self.hint)
            if whole and self._running.pop(run.attempt, None) is not None:
                run.on_end(True)
        self._begin_step()
