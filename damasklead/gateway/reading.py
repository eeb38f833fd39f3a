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
from damasklead.gateway.positions import START, Position
from damasklead.util import stable_hash

__all__ = [
    "ListName",
    "ListReport",
    "ListReports",
    "ReadPlan",
    "Step",
    "reader_rank",
]

# One call of the reader lasts so long when nothing changes.
READER_WAIT_SECONDS = 0.6
# A confirmation older than this doesn't count: a change has to be in force within two
# seconds of the store's word, and a call of one's own takes far less than the rest.
TRUST_SECONDS = 1.1
# Gateways further down by rank ask so much later, so that one of the first ones can
# tell the others.
RANK_SECONDS = 0.02
# Beyond so many, the time between two grows with the square: when none of the first
# was answered the store is most likely away for all.
FIRST_RANKS = 8
LATER_RANK_SECONDS = 0.05
# Pause after a failed call of the first by rank, doubled up to the longest.  Others
# pause longer, by the square of their place, up to the longest of two limits.
FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.8
OTHERS_PAUSE_SECONDS = 10.0
PAUSE_SECONDS_PER_GATEWAY = 0.6
# Who has not heard another gateway for so long can rely on nobody.
ALONE_SECONDS = 2.0
MOST_DOUBLINGS = 10
# A gateway with twice the processor reads eight times as often: telling all others is
# much for a small one.
CORES_POWER = 3
# Ranks of gateways that are remembered.
KEPT_RANKS = 1_024
# Pause after a call that brought changes, so that several are read together.
GATHER_SECONDS = 0.25


class ListName(IntEnum):
    """The lists, by their place in a datagram."""

    ROUTING = 0
    UPSTREAMS = 1


class ListReport(msgspec.Struct, array_like=True, frozen=True):
    """
    What a gateway knows of a list.

    Attributes
    ----------
    mark : Position
        Grows with each change of the list.
    age : int
        Milliseconds since the store said that there is nothing newer; -1 when this
        gateway doesn't ask the store all the time.
    """

    mark: Position
    age: int


class Step(msgspec.Struct, kw_only=True, frozen=True):
    """
    What to do next.

    Attributes
    ----------
    ask : bool
        Whether to ask the store.
    wait : float
        Seconds that the store may wait for a change, or to wait here for a notice.
    """

    ask: bool
    wait: float


class ListReports:
    """
    The newest reports of other gateways.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._marks = dict.fromkeys(ListName, START)
        self._confirmed = dict.fromkeys(ListName, float("-inf"))
        self._heard_at = float("-inf")

    @property
    def heard(self) -> bool:
        """Whether another gateway was heard lately."""
        return self._clock.now() - self._heard_at <= ALONE_SECONDS

    def take(self, reports: Iterable[ListReport]) -> bool:
        """
        Take in one gateway's reports, in the order of the lists; returns whether any
        tells of a change.
        """
        now = self._heard_at = self._clock.now()
        before = dict(self._marks)
        for name, report in zip(ListName, reports, strict=False):
            self._marks[name] = max(self._marks[name], report.mark)
            if report.age >= 0:
                confirmed = now - report.age / 1000
                self._confirmed[name] = max(self._confirmed[name], confirmed)
        return self._marks != before

    def mark(self, name: ListName) -> Position:
        """Return the newest mark that any gateway has told."""
        return self._marks[name]

    def confirmed_at(self, name: ListName) -> float:
        """Return when the store last said to another gateway what is newest."""
        return self._confirmed[name]


@lru_cache(maxsize=KEPT_RANKS)
def reader_rank(name: str, cores: float = 1.0) -> float:
    """
    Return a gateway's rank; the lowest one reads the lists for the others.

    Parameters
    ----------
    cores : float
        Processor that it may use; those with more come first more often.
    """
    return -math.log((stable_hash("reader", name) + 1) / 2**64) / cores**CORES_POWER


class ReadPlan:
    """
    When one gateway asks for one list.

    Parameters
    ----------
    name : ListName
    clock : Clock
    reports : ListReports
    position : callable
        Returns this gateway's place by rank; the first reads for the others.
    """

    def __init__(
        self,
        *,
        name: ListName,
        clock: Clock,
        reports: ListReports,
        position: Callable[[], int],
    ) -> None:
        self._name = name
        self._clock = clock
        self._reports = reports
        self._position = position
        self._mark = START
        self._caught_up = START
        self._asked_at = float("-inf")
        self._direct = True
        self._failures = 0
        self._failed_at = 0.0
        self._gateways = 1
        self._spread = 1.0

    @property
    def report(self) -> ListReport:
        """What to tell other gateways."""
        if not self._direct or self._asked_at == float("-inf"):
            return ListReport(self._mark, -1)
        age = max(0.0, self._clock.now() - self._asked_at)
        return ListReport(self._mark, int(age * 1000))

    @property
    def caught_up(self) -> bool:
        """Whether nothing that other gateways have told is missing."""
        return self._reports.mark(self._name) <= max(self._mark, self._caught_up)

    def is_outdated(self, mark: Position) -> bool:
        """
        Tell whether another gateway has something newer that the store no longer has.
        """
        return self._mark < mark <= self._caught_up

    def next(self) -> Step:
        """Return what to do next."""
        now = self._clock.now()
        position = self._position()
        if self._asked_at == float("-inf") or position == 0:
            self._direct = True
            return Step(ask=True, wait=READER_WAIT_SECONDS)
        if not self.caught_up:
            return Step(ask=True, wait=0.0)
        trusted = self._reports.confirmed_at(self._name) + TRUST_SECONDS
        trusted += self._rank_delay(position)
        if now >= trusted:
            self._direct = True
            return Step(ask=True, wait=READER_WAIT_SECONDS)
        self._direct = False
        return Step(ask=False, wait=trusted - now)

    def _rank_delay(self, position: int) -> float:
        """Return the seconds for which those before by rank may ask first."""
        delay = min(position, FIRST_RANKS) * RANK_SECONDS
        later = position - FIRST_RANKS
        if later > 0 and self._reports.heard:
            delay += LATER_RANK_SECONDS * later**2
        return delay

    def failed(self, *, gateways: int, spread: float) -> None:
        """
        Take in that the store could not be asked.

        Parameters
        ----------
        gateways : int
            How many there are.
        spread : float
            Part of the pause that is kept, so that gateways don't ask together.
        """
        self._failures += 1
        self._failed_at = self._clock.now()
        self._gateways = gateways
        self._spread = spread

    def pause_left(self) -> float:
        """
        Return the seconds for which the store is not asked after a failed call.

        Whoever reaches a store that was away tells the others, so that the whole fleet,
        whatever its size, asks it a few times a second.  As soon as another gateway
        reaches it, only this one is turned away, and pauses no longer than the first.
        """
        if not self._failures:
            return 0.0
        place = (self._position() + 1) ** 2 if self._is_away else 1
        most = MAX_PAUSE_SECONDS
        if place > 1:
            limit = max(
                OTHERS_PAUSE_SECONDS, PAUSE_SECONDS_PER_GATEWAY * self._gateways
            )
            most = min(MAX_PAUSE_SECONDS * place, limit)
        doublings = min(self._failures - 1, MOST_DOUBLINGS)
        pause = self._spread * min(FIRST_PAUSE_SECONDS * place * 2**doublings, most)
        return max(0.0, self._failed_at + pause - self._clock.now())

    @property
    def _is_away(self) -> bool:
        """Whether no gateway reaches the store, though others are heard."""
        now = self._clock.now()
        confirmed = now - self._reports.confirmed_at(self._name) < TRUST_SECONDS
        return self._reports.heard and not confirmed

    def asked(self, *, told: Position, mark: Position) -> None:
        """
        Take in an answer of the store.

        Parameters
        ----------
        told : Position
            The newest mark that others had told before the call.
        mark : Position
            The newest mark of what the answer held.
        """
        self._asked_at = self._clock.now()
        self._failures = 0
        self._mark = max(self._mark, mark)
        # What others saw removed leaves no mark in a list that is read anew.
        self._caught_up = max(self._caught_up, told)

    def handed(self, *, mark: Position, caught_up: Position) -> None:
        """
        Take in that another gateway has handed over what the store told it.

        Parameters
        ----------
        mark : Position
            The newest mark of what was handed over.
        caught_up : Position
            The mark up to which nothing is missing.
        """
        self._failures = 0
        if self._asked_at == float("-inf"):
            self._asked_at = self._clock.now()
            self._direct = False
        self._mark = max(self._mark, mark)
        self._caught_up = max(self._caught_up, caught_up)

    def told(self) -> Position:
        """Return the newest mark that others have told."""
        return self._reports.mark(self._name)
