"""
Poll schedule
=============

Decides which gateway polls the platform's store for changes, and when the others do.

Load pattern: calls to the store are billed, and without coordination every gateway
would poll lists that seldom change.  So the gateways are ranked by a score, and the one
of rank 0, the reader, long-polls the store and broadcasts the changes, or the
confirmation that there are none.  The others poll the store themselves if they have
missed a change, or if they have received no confirmation for about a second.

No I/O: reports and the clock are inputs, decisions are outputs.
"""

import math
from collections.abc import Callable, Iterable
from enum import IntEnum
from functools import lru_cache

import msgspec

from damasklead.clock import Clock
from damasklead.gateway.store_positions import INITIAL_POSITION, Position
from damasklead.util import stable_hash

__all__ = [
    "ListName",
    "ListReport",
    "ListReports",
    "ReadPlan",
    "ReadStep",
    "reader_score",
]

# How long the store holds a long poll while nothing changes.
LONG_POLL_SECONDS = 0.6
# How long a confirmation by a peer is valid.  A change must be in force within two
# seconds of its write to the store, and a poll of the gateway's own takes far less than
# the time that remains.
CONFIRMATION_TTL_SECONDS = 1.1
# Delay of a poll per rank, so that a gateway of low rank can inform the others first.
RANK_DELAY_SECONDS = 0.02
# Beyond this rank the delay grows quadratically at first: if no gateway of lower rank
# got a response, the store is most likely unreachable for all.  But it may serve one of
# the last alone, so that each one polls once; but not in outages of a few seconds.
LINEAR_RANKS = 8
QUADRATIC_RANK_DELAY_SECONDS = 0.05
MAX_QUADRATIC_DELAY_SECONDS = 3.2
LATER_RANK_DELAY_SECONDS = 0.002
# Exponential backoff of the reader after a failed call.  While the store is unreachable
# for all, the backoff of the others is multiplied by the square of (rank + 1).  Its
# maximum is multiplied likewise, but is no more than NON_READER_BACKOFF_SECONDS or
# BACKOFF_SECONDS_PER_GATEWAY times the number of gateways, whichever is greater.
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 0.8
NON_READER_BACKOFF_SECONDS = 10.0
BACKOFF_SECONDS_PER_GATEWAY = 0.6
# A gateway that has received no report for this long counts as isolated from its peers.
PEER_TIMEOUT_SECONDS = 2.0
# A change that no gateway has reported for this long may be lost: those that had it may
# have ended, and the store may have been restored from a backup.
REPORTED_CHANGE_TTL_SECONDS = 10.0
# Age of a list that the store has never confirmed, as far as is known.
MAX_AGE_SECONDS = 3_600.0
# Limit of the backoff's exponent.
MAX_DOUBLINGS = 10
# A gateway with twice the CPU is the reader eight times as often: sending broadcasts to
# all others is a heavy load on a small machine.
CORES_EXPONENT = 3
# Maximum number of cached scores.
SCORE_CACHE_ENTRIES = 1_024
# Pause after a poll that returned changes, so that the next one reads several at once.
CHANGE_BATCH_SECONDS = 0.25


class ListName(IntEnum):
    """The lists of the platform; a value is the index of its report in a datagram."""

    ROUTING = 0
    UPSTREAMS = 1


class ListReport(msgspec.Struct, array_like=True, frozen=True):
    """
    How up to date a gateway's copy of a list is.

    Attributes
    ----------
    last_change : Position
        Position of the newest change that the gateway has applied.
    age_ms : int
        Milliseconds since the store confirmed that there is nothing newer; -1 while the
        gateway isn't polling the store continuously.
    """

    last_change: Position
    age_ms: int

    @property
    def age_seconds(self) -> float:
        """Seconds since the confirmation; infinite without one."""
        return math.inf if self.age_ms < 0 else self.age_ms / 1000

    def grow_older(self, seconds: float) -> "ListReport":
        """Return the report as it is some seconds later."""
        if self.age_ms < 0:
            return self
        return ListReport(self.last_change, self.age_ms + int(seconds * 1000))


class ReadStep(msgspec.Struct, kw_only=True, frozen=True):
    """
    The next step of a follower: a poll of the store, or a wait for peers.

    Attributes
    ----------
    should_poll : bool
        Whether to poll the store.
    wait_seconds : float
        Maximum duration of the long poll, or of the wait for a notification by a peer.
    """

    should_poll: bool
    wait_seconds: float


class ListReports:
    """
    The newest state of the lists that other gateways have reported.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._last_changes = dict.fromkeys(ListName, INITIAL_POSITION)
        self._confirmation_times = dict.fromkeys(ListName, float("-inf"))
        self._change_reported_at = dict.fromkeys(ListName, float("-inf"))
        self._received_at = float("-inf")

    @property
    def has_recent_peer(self) -> bool:
        """Whether a report arrived within the last ``PEER_TIMEOUT_SECONDS``."""
        return self._clock.now() - self._received_at <= PEER_TIMEOUT_SECONDS

    def record_reports(self, reports: Iterable[ListReport]) -> bool:
        """
        Record the reports of one gateway.

        Parameters
        ----------
        reports : iterable of ListReport
            In the order of ``ListName``.

        Returns
        -------
        bool
            Whether any of them announces a change that no gateway had reported before.
        """
        now = self._received_at = self._clock.now()
        before = dict(self._last_changes)
        for name, report in zip(ListName, reports, strict=False):
            if report.last_change >= self._last_changes[name] or (
                # What nobody has reported for long is lost, and what others report now
                # is the newest change that there is.
                report.last_change != INITIAL_POSITION
                and not self.is_last_change_recent(name)
            ):
                self._last_changes[name] = report.last_change
                self._change_reported_at[name] = now
            if report.age_ms >= 0:
                confirmed = now - report.age_ms / 1000
                self._confirmation_times[name] = max(
                    self._confirmation_times[name], confirmed
                )
        return self._last_changes != before

    def get_last_change(self, name: ListName) -> Position:
        """Return the position of the newest change that a gateway has reported."""
        return self._last_changes[name]

    def is_last_change_recent(self, name: ListName) -> bool:
        """Return whether a gateway has reported the newest change a short time ago."""
        age = self._clock.now() - self._change_reported_at[name]
        return age <= REPORTED_CHANGE_TTL_SECONDS

    def get_confirmation_time(self, name: ListName) -> float:
        """Return the clock reading of the store's last confirmation to a peer."""
        return self._confirmation_times[name]


@lru_cache(maxsize=SCORE_CACHE_ENTRIES)
def reader_score(name: str, cores: float = 1.0) -> float:
    """
    Return a gateway's weighted rendezvous hashing score; the lowest has rank 0.

    Parameters
    ----------
    name : str
        The gateway's instance name.
    cores : float
        CPU cores that it may use; its weight is their number to the power of
        ``CORES_EXPONENT``.
    """
    return -math.log((stable_hash("reader", name) + 1) / 2**64) / cores**CORES_EXPONENT


class ReadPlan:
    """
    The schedule by which one gateway polls the store for one list.

    Parameters
    ----------
    name : ListName
    clock : Clock
    reports : ListReports
        Shared by the plans of all lists.
    rank : callable
        Returns the number of gateways with a lower score; the one of rank 0 is the
        reader.
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
        """The report that is sent to other gateways."""
        if not self._polls_store or self._polled_at == float("-inf"):
            return ListReport(self._last_change, -1)
        age = max(0.0, self._clock.now() - self._polled_at)
        return ListReport(self._last_change, int(age * 1000))

    @property
    def is_caught_up(self) -> bool:
        """Whether this gateway has all changes that its peers have reported."""
        return self._reports.get_last_change(self._name) <= max(
            self._last_change, self._complete_up_to
        )

    @property
    def is_behind(self) -> bool:
        """Whether this gateway lacks a change that another one reported recently."""
        reported = self._reports.get_last_change(self._name)
        return self.known_up_to < reported and self._reports.is_last_change_recent(
            self._name
        )

    @property
    def known_up_to(self) -> Position:
        """
        The position up to which this gateway lacks no change that is in force.

        Each version of the configuration replaces the one before, so that a newer one
        that the store has lost is still in force where another gateway has it.
        """
        if self._name is ListName.ROUTING:
            return self._last_change
        return max(self._last_change, self._complete_up_to)

    @property
    def is_poll_due(self) -> bool:
        """Whether the store should be polled, unless an earlier call has failed."""
        return (
            self._polled_at == float("-inf")
            or self._rank() == 0
            or not self.is_caught_up
            or self._clock.now() >= self._confirmed_until
        )

    @property
    def is_failing(self) -> bool:
        """Whether the last call to the store failed, and no peer has helped since."""
        return self._failures > 0

    @property
    def confirmed_age(self) -> float:
        """
        Seconds since the store confirmed this gateway's copy of the list, either to it
        or to a peer; infinite before.
        """
        confirmed_at = self._polled_at
        if self.is_caught_up:
            confirmed_at = max(
                confirmed_at, self._reports.get_confirmation_time(self._name)
            )
        return self._clock.now() - confirmed_at

    @property
    def confirmed_report(self) -> ListReport:
        """The report for a gateway that asks for it, with confirmations by peers."""
        age = self.confirmed_age
        return ListReport(
            self._last_change, -1 if math.isinf(age) else max(0, int(age * 1000))
        )

    @property
    def _confirmed_until(self) -> float:
        """Clock reading until which a confirmation by a peer makes polls needless."""
        confirmed_at = self._reports.get_confirmation_time(self._name)
        return confirmed_at + CONFIRMATION_TTL_SECONDS + self._rank_delay(self._rank())

    def next_step(self) -> ReadStep:
        """Return whether to poll the store now, and for how long to wait."""
        if not self.is_poll_due:
            self._polls_store = False
            wait_seconds = max(0.0, self._confirmed_until - self._clock.now())
            return ReadStep(should_poll=False, wait_seconds=wait_seconds)
        if self.is_caught_up or self._polled_at == float("-inf") or self._rank() == 0:
            self._polls_store = True
            return ReadStep(should_poll=True, wait_seconds=LONG_POLL_SECONDS)
        return ReadStep(should_poll=True, wait_seconds=0.0)

    def _rank_delay(self, rank: int) -> float:
        """Return the seconds during which gateways of lower rank may poll first."""
        delay = min(rank, LINEAR_RANKS) * RANK_DELAY_SECONDS
        later_ranks = rank - LINEAR_RANKS
        if later_ranks > 0 and self._reports.has_recent_peer:
            delay += min(
                QUADRATIC_RANK_DELAY_SECONDS * later_ranks**2,
                MAX_QUADRATIC_DELAY_SECONDS + LATER_RANK_DELAY_SECONDS * later_ranks,
            )
        return delay

    def record_failure(self, *, gateway_count: int, jitter: float) -> None:
        """
        Record a failed call to the store.

        Parameters
        ----------
        gateway_count : int
            Number of gateways in the fleet.
        jitter : float
            Factor of the backoff, at most 1, so that gateways don't retry in step.
        """
        self._failures += 1
        self._failed_at = self._clock.now()
        self._gateway_count = gateway_count
        self._jitter = jitter

    def get_remaining_backoff(self) -> float:
        """
        Return the seconds until the store may be polled again after a failed call.

        The first gateway that reaches the store again informs the others, so it is
        enough that the whole fleet, whatever its size, retries a few times a second.
        As soon as another gateway reaches the store, only this one is rejected, and its
        backoff is no longer than that of the reader.
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
        """Whether peers send reports, but none was confirmed by the store recently."""
        now = self._clock.now()
        confirmed = (
            now - self._reports.get_confirmation_time(self._name)
            < CONFIRMATION_TTL_SECONDS
        )
        return self._reports.has_recent_peer and not confirmed

    def record_response(
        self,
        *,
        reported: Position,
        last_change: Position,
        answered_by: float = math.inf,
    ) -> None:
        """
        Record a response of the store.

        Parameters
        ----------
        reported : Position
            Position of the newest change that peers had reported before the call.
        last_change : Position
            Position of the newest change in the response.
        answered_by : float
            Clock reading by which the store had answered; later ones are due to pauses
            of this process or of the network.
        """
        self._polled_at = min(self._clock.now(), answered_by)
        self._failures = 0
        self._last_change = max(self._last_change, last_change)
        # A full read doesn't contain removed entries, so the position of a removal that
        # peers have reported may be newer than any position in the response.
        self._complete_up_to = max(self._complete_up_to, reported)

    def record_peer_update(
        self,
        *,
        last_change: Position,
        complete_up_to: Position,
        age_seconds: float = 0.0,
    ) -> None:
        """
        Record changes that another gateway has read from the store and sent.

        Parameters
        ----------
        last_change : Position
            Position of the newest change among them.
        complete_up_to : Position
            Position up to which no change is missing.
        age_seconds : float
            Seconds since the store confirmed them to the other gateway.
        """
        self._failures = 0
        if self._polled_at == float("-inf"):
            self._polled_at = self._clock.now() - min(age_seconds, MAX_AGE_SECONDS)
            self._polls_store = False
        self._last_change = max(self._last_change, last_change)
        self._complete_up_to = max(self._complete_up_to, complete_up_to)

    def get_reported_change(self) -> Position:
        """Return the position of the newest change that peers have reported."""
        return self._reports.get_last_change(self._name)
