"""
Reading the lists
=================

Decides which gateway asks the platform's store for changes, and when the others ask.

Load pattern: calls of the store are paid for, and a list that nothing changes would be
asked for by every gateway all the time.  So one gateway, the first by rank, waits at
the store and hands what it is told to the others, or that there is nothing new.  They
ask the store themselves when they have missed a change, and as soon as they have not
been told for a second, whatever the reason is.

No I/O: reports and the clock come in, decisions go out.
"""

import math
from collections.abc import Callable, Iterable
from enum import IntEnum
from functools import lru_cache

import msgspec

from damasklead.clock import Clock
from damasklead.gateway.positions import INITIAL_POSITION, Position
from damasklead.util import stable_hash

__all__ = [
    "ListName",
    "ListReport",
    "ListReports",
    "ReadPlan",
    "ReadStep",
    "reader_score",
]

# One call of the reader lasts so long when nothing changes.
LONG_POLL_SECONDS = 0.6
# A confirmation older than this doesn't count: a change has to be in force within two
# seconds of the store's word, and a call of one's own takes far less than the rest.
CONFIRMATION_TTL_SECONDS = 1.1
# Gateways further down by rank ask so much later, so that one of the first ones can
# tell the others.
RANK_DELAY_SECONDS = 0.02
# Beyond so many, the time between two grows with the square: when none of the first
# was answered the store is most likely away for all.
LINEAR_RANKS = 8
QUADRATIC_RANK_DELAY_SECONDS = 0.05
# Pause after a failed call of the first by rank, doubled up to the longest.  Others
# pause longer, by the square of their place, up to the longest of two limits.
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 0.8
NON_READER_BACKOFF_SECONDS = 10.0
BACKOFF_SECONDS_PER_GATEWAY = 0.6
# Who has not heard another gateway for so long can rely on nobody.
PEER_TIMEOUT_SECONDS = 2.0
MAX_DOUBLINGS = 10
# A gateway with twice the processor reads eight times as often: telling all others is
# much for a small one.
CORES_EXPONENT = 3
# Ranks of gateways that are remembered.
SCORE_CACHE_SIZE = 1_024
# Pause after a call that brought changes, so that several are read together.
CHANGE_BATCH_SECONDS = 0.25


class ListName(IntEnum):
    """The lists, by their place in a datagram."""

    ROUTING = 0
    UPSTREAMS = 1


class ListReport(msgspec.Struct, array_like=True, frozen=True):
    """
    What a gateway knows of a list.

    Attributes
    ----------
    last_change : Position
        Grows with each change of the list.
    age_ms : int
        Milliseconds since the store said that there is nothing newer; -1 when this
        gateway doesn't ask the store all the time.
    """

    last_change: Position
    age_ms: int


class ReadStep(msgspec.Struct, kw_only=True, frozen=True):
    """
    What to do next.

    Attributes
    ----------
    should_poll : bool
        Whether to ask the store.
    wait_seconds : float
        Seconds that the store may wait for a change, or to wait here for a notice.
    """

    should_poll: bool
    wait_seconds: float


class ListReports:
    """
    The newest reports of other gateways.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._last_changes = dict.fromkeys(ListName, INITIAL_POSITION)
        self._confirmation_times = dict.fromkeys(ListName, float("-inf"))
        self._received_at = float("-inf")

    @property
    def has_recent_peer(self) -> bool:
        """Whether another gateway was heard lately."""
        return self._clock.now() - self._received_at <= PEER_TIMEOUT_SECONDS

    def record_reports(self, reports: Iterable[ListReport]) -> bool:
        """
        Take in one gateway's reports, in the order of the lists; returns whether any
        tells of a change.
        """
        now = self._received_at = self._clock.now()
        before = dict(self._last_changes)
        for name, report in zip(ListName, reports, strict=False):
            self._last_changes[name] = max(self._last_changes[name], report.last_change)
            if report.age_ms >= 0:
                confirmed = now - report.age_ms / 1000
                self._confirmation_times[name] = max(
                    self._confirmation_times[name], confirmed
                )
        return self._last_changes != before

    def get_last_change(self, name: ListName) -> Position:
        """Return the newest mark that any gateway has told."""
        return self._last_changes[name]

    def get_confirmation_time(self, name: ListName) -> float:
        """Return when the store last said to another gateway what is newest."""
        return self._confirmation_times[name]


@lru_cache(maxsize=SCORE_CACHE_SIZE)
def reader_score(name: str, cores: float = 1.0) -> float:
    """
    Return a gateway's rank; the lowest one reads the lists for the others.

    Parameters
    ----------
    cores : float
        Processor that it may use; those with more come first more often.
    """
    return -math.log((stable_hash("reader", name) + 1) / 2**64) / cores**CORES_EXPONENT


class ReadPlan:
    """
    When one gateway asks for one list.

    Parameters
    ----------
    name : ListName
    clock : Clock
    reports : ListReports
    rank : callable
        Returns this gateway's place by rank; the first reads for the others.
    """

    def __init__(
        self,
        *,
        name: ListName,
        clock: Clock,
        reports: ListReports,
        rank: Callable[[], int],
    ) -> None:
        self._name = name
        self._clock = clock
        self._reports = reports
        self._rank = rank
        self._last_change = INITIAL_POSITION
        self._complete_up_to = INITIAL_POSITION
        self._polled_at = float("-inf")
        self._polls_store = True
        self._failures = 0
        self._failed_at = 0.0
        self._gateway_count = 1
        self._jitter = 1.0

    @property
    def report(self) -> ListReport:
        """What to tell other gateways."""
        if not self._polls_store or self._polled_at == float("-inf"):
            return ListReport(self._last_change, -1)
        age = max(0.0, self._clock.now() - self._polled_at)
        return ListReport(self._last_change, int(age * 1000))

    @property
    def is_caught_up(self) -> bool:
        """Whether nothing that other gateways have told is missing."""
        return self._reports.get_last_change(self._name) <= max(
            self._last_change, self._complete_up_to
        )

    def is_missing_from_store(self, change: Position) -> bool:
        """
        Tell whether another gateway has something newer that the store no longer has.
        """
        return self._last_change < change <= self._complete_up_to

    def next_step(self) -> ReadStep:
        """Return what to do next."""
        now = self._clock.now()
        rank = self._rank()
        if self._polled_at == float("-inf") or rank == 0:
            self._polls_store = True
            return ReadStep(should_poll=True, wait_seconds=LONG_POLL_SECONDS)
        if not self.is_caught_up:
            return ReadStep(should_poll=True, wait_seconds=0.0)
        confirmed_until = (
            self._reports.get_confirmation_time(self._name) + CONFIRMATION_TTL_SECONDS
        )
        confirmed_until += self._rank_delay(rank)
        if now >= confirmed_until:
            self._polls_store = True
            return ReadStep(should_poll=True, wait_seconds=LONG_POLL_SECONDS)
        self._polls_store = False
        return ReadStep(should_poll=False, wait_seconds=confirmed_until - now)

    def _rank_delay(self, rank: int) -> float:
        """Return the seconds for which those before by rank may ask first."""
        delay = min(rank, LINEAR_RANKS) * RANK_DELAY_SECONDS
        later_ranks = rank - LINEAR_RANKS
        if later_ranks > 0 and self._reports.has_recent_peer:
            delay += QUADRATIC_RANK_DELAY_SECONDS * later_ranks**2
        return delay

    def record_failure(self, *, gateway_count: int, jitter: float) -> None:
        """
        Take in that the store could not be asked.

        Parameters
        ----------
        gateway_count : int
            How many there are.
        jitter : float
            Part of the pause that is kept, so that gateways don't ask together.
        """
        self._failures += 1
        self._failed_at = self._clock.now()
        self._gateway_count = gateway_count
        self._jitter = jitter

    def get_remaining_backoff(self) -> float:
        """
        Return the seconds for which the store is not asked after a failed call.

        Whoever reaches a store that was away tells the others, so that the whole fleet,
        whatever its size, asks it a few times a second.  As soon as another gateway
        reaches it, only this one is turned away, and pauses no longer than the first.
        """
        if not self._failures:
            return 0.0
        pause_factor = (self._rank() + 1) ** 2 if self._is_store_unreachable else 1
        max_pause = MAX_BACKOFF_SECONDS
        if pause_factor > 1:
            limit = max(
                NON_READER_BACKOFF_SECONDS,
                BACKOFF_SECONDS_PER_GATEWAY * self._gateway_count,
            )
            max_pause = min(MAX_BACKOFF_SECONDS * pause_factor, limit)
        doublings = min(self._failures - 1, MAX_DOUBLINGS)
        pause = self._jitter * min(
            INITIAL_BACKOFF_SECONDS * pause_factor * 2**doublings, max_pause
        )
        return max(0.0, self._failed_at + pause - self._clock.now())

    @property
    def _is_store_unreachable(self) -> bool:
        """Whether no gateway reaches the store, though others are heard."""
        now = self._clock.now()
        confirmed = (
            now - self._reports.get_confirmation_time(self._name)
            < CONFIRMATION_TTL_SECONDS
        )
        return self._reports.has_recent_peer and not confirmed

    def record_response(self, *, reported: Position, last_change: Position) -> None:
        """
        Take in an answer of the store.

        Parameters
        ----------
        reported : Position
            The newest mark that others had told before the call.
        last_change : Position
            The newest mark of what the answer held.
        """
        self._polled_at = self._clock.now()
        self._failures = 0
        self._last_change = max(self._last_change, last_change)
        # What others saw removed leaves no mark in a list that is read anew.
        self._complete_up_to = max(self._complete_up_to, reported)

    def record_peer_update(
        self, *, last_change: Position, complete_up_to: Position
    ) -> None:
        """
        Take in that another gateway has handed over what the store told it.

        Parameters
        ----------
        last_change : Position
            The newest mark of what was handed over.
        complete_up_to : Position
            The mark up to which nothing is missing.
        """
        self._failures = 0
        if self._polled_at == float("-inf"):
            self._polled_at = self._clock.now()
            self._polls_store = False
        self._last_change = max(self._last_change, last_change)
        self._complete_up_to = max(self._complete_up_to, complete_up_to)

    def get_reported_change(self) -> Position:
        """Return the newest mark that others have told."""
        return self._reports.get_last_change(self._name)
