"""
Catch-up schedule
=================

Decides when a gateway fetches from another one what it lacks, and from which.

Load pattern: the platform's store turns some gateways away while it serves the others,
or a gateway has missed broadcasts.  Those that lag all notice it at the same moment, so
that they must not all ask the same gateway, whose link may be slow: the first one that
each asks is chosen at random, and each that has caught up can serve others.

No I/O: reports and the clock are inputs, decisions are outputs.
"""

import random
from collections.abc import Callable, Sequence
from enum import Enum

import msgspec

from damasklead.clock import Clock
from damasklead.gateway.poll_schedule import ListName, ReadPlan
from damasklead.gateway.snapshot import Referral
from damasklead.gateway.store_positions import INITIAL_POSITION, Position

__all__ = ["CatchUpCause", "CatchUpSchedule", "Fetch", "FetchOutcome"]

# A store that serves this gateway delivers a change within this time after another
# gateway has announced it.
STORE_GRACE_SECONDS = 0.3
# Age of an unconfirmed list from which other gateways are asked for theirs.
MAX_UNCONFIRMED_SECONDS = 1.2
# Pauses after a fetch that has brought nothing, before jitter; doubled each time.  They
# are shorter for a gateway that lacks a change which another one has announced.
MIN_BEHIND_PAUSE_SECONDS = 0.05
MAX_BEHIND_PAUSE_SECONDS = 0.2
MAX_BUSY_PAUSE_SECONDS = 0.05
MIN_UNCONFIRMED_PAUSE_SECONDS = 1.0
MAX_UNCONFIRMED_PAUSE_SECONDS = 4.0
MAX_DOUBLINGS = 10
# Busy gateways may name each other.
MAX_REFERRALS_IN_A_ROW = 2


class CatchUpCause(Enum):
    """Why other gateways are asked."""

    BEHIND = "behind"
    UNCONFIRMED = "unconfirmed"
    MISSED_BROADCASTS = "missed broadcasts"


class FetchOutcome(Enum):
    """How a fetch has ended."""

    NEWER = "newer"
    NOTHING_NEWER = "nothing newer"
    BUSY = "busy"
    FAILED = "failed"


class Fetch(msgspec.Struct, kw_only=True, frozen=True):
    """
    A fetch that is due.

    Attributes
    ----------
    peer : str
        Name of the gateway to ask.
    cause : CatchUpCause
    needs_events : bool
        Whether broadcasts were missed, with whose events the snapshot has to make up.
    is_referred : bool
        Whether a busy gateway has named this one.
    """

    peer: str
    cause: CatchUpCause
    needs_events: bool = False
    is_referred: bool = False


class CatchUpSchedule:
    """
    The schedule by which one gateway asks others for what it lacks.

    Parameters
    ----------
    plans : sequence of ReadPlan
        One for each list, in the order of ``ListName``.
    peers : callable
        Returns the names of the other gateways.
    clock : Clock
    random_source : random.Random or None
        Chooses peers and jitter; ``None`` for one seeded by the system.
    """

    def __init__(
        self,
        *,
        plans: Sequence[ReadPlan],
        peers: Callable[[], Sequence[str]],
        clock: Clock,
        random_source: random.Random | None = None,
    ) -> None:
        self._plans = plans
        self._peers = peers
        self._clock = clock
        self._random = random_source or random.Random()
        # Newest position of each list that each gateway has reported.
        self._holders: dict[tuple[str, ListName], Position] = {}
        self._behind_since: float | None = None
        # How often broadcasts were missed, and how much of that fetches have made up.
        self._missed_count = 0
        self._recovered_count = 0
        self._missed_at_fetch = 0
        self._failures = 0
        # Gateways that a busy one has named and that were not asked since.
        self._referred: set[str] = set()
        self._referrals_followed = 0
        self._next_fetch_at = float("-inf")
        self._cause: CatchUpCause | None = None

    @property
    def is_behind(self) -> bool:
        """Whether another gateway has a change that this one lacks."""
        return any(plan.is_behind for plan in self._plans)

    def record_holder(self, peer: str, name: ListName, position: Position) -> None:
        """Record a position of a list that another gateway has reached."""
        before = self._holders.get((peer, name))
        self._holders[peer, name] = max(position, before or INITIAL_POSITION)
        if before is None:
            self._forget_departed_holders()

    def record_referral(self, referral: Referral) -> None:
        """Record the gateways that a busy one has named."""
        self._referred = set(referral.holders)
        for name in referral.holders:
            self.record_holder(
                name, ListName.ROUTING, Position(version=referral.configuration)
            )

    def record_missed_broadcasts(self) -> None:
        """Record that events may have been in broadcasts that didn't arrive."""
        self._missed_count += 1

    def next_fetch(self) -> Fetch | None:
        """Return the fetch that is due now, ``None`` if there is none."""
        now = self._clock.now()
        self._track_lag(now)
        cause = self._find_cause(now)
        if cause is not self._cause:
            self._cause = cause
            if cause in (None, CatchUpCause.BEHIND):
                self._failures = 0
            if cause is CatchUpCause.BEHIND:
                self._next_fetch_at = now
        if cause is None or now < self._next_fetch_at:
            return None
        peer = self._choose_peer(cause)
        self._missed_at_fetch = self._missed_count
        if peer is None:
            return None
        needs_events = self._missed_count > self._recovered_count
        return Fetch(
            peer=peer,
            cause=cause,
            needs_events=needs_events,
            is_referred=peer in self._referred,
        )

    def record_outcome(self, fetch: Fetch, outcome: FetchOutcome) -> None:
        """Record how a fetch has ended, which determines when the next one is due."""
        self._referrals_followed = (
            self._referrals_followed + 1 if fetch.is_referred else 0
        )
        self._referred.discard(fetch.peer)
        has_response = outcome in (FetchOutcome.NEWER, FetchOutcome.NOTHING_NEWER)
        if fetch.needs_events and has_response:
            self._recovered_count = self._missed_at_fetch
        if outcome is FetchOutcome.NEWER or (fetch.needs_events and has_response):
            self._failures = 0
        if fetch.cause is CatchUpCause.BEHIND and outcome is FetchOutcome.NEWER:
            self._next_fetch_at = self._clock.now()
            return
        if fetch.cause is CatchUpCause.BEHIND:
            shortest, longest = MIN_BEHIND_PAUSE_SECONDS, MAX_BEHIND_PAUSE_SECONDS
        else:
            shortest = MIN_UNCONFIRMED_PAUSE_SECONDS
            longest = MAX_UNCONFIRMED_PAUSE_SECONDS
        if fetch.cause is CatchUpCause.BEHIND and outcome is FetchOutcome.BUSY:
            # It has a configuration to send, and names others that do.
            longest = MAX_BUSY_PAUSE_SECONDS
        pause = min(shortest * 2 ** min(self._failures, MAX_DOUBLINGS), longest)
        self._failures += 1
        self._next_fetch_at = self._clock.now() + pause * self._random.uniform(0.5, 1.0)

    def _track_lag(self, now: float) -> None:
        if not self.is_behind:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now

    def _find_cause(self, now: float) -> CatchUpCause | None:
        if self._behind_since is not None:
            lag = now - self._behind_since
            if lag >= STORE_GRACE_SECONDS or any(
                plan.is_behind and plan.is_failing for plan in self._plans
            ):
                return CatchUpCause.BEHIND
        # A gateway of high rank doesn't poll for long if no other one confirms a list.
        if any(
            (plan.is_failing or not plan.is_poll_due)
            and plan.confirmed_age > MAX_UNCONFIRMED_SECONDS
            for plan in self._plans
        ):
            return CatchUpCause.UNCONFIRMED
        if self._missed_count > self._recovered_count:
            return CatchUpCause.MISSED_BROADCASTS
        return None

    def _choose_peer(self, cause: CatchUpCause) -> str | None:
        """
        Return a gateway that a busy one has named, otherwise a random one, or each
        second time one known to be newer.
        """
        peers = self._peers()
        if not peers:
            return None
        if cause is CatchUpCause.BEHIND:
            newer = self._find_holders() & set(peers)
            referred = newer & self._referred
            if referred and self._referrals_followed < MAX_REFERRALS_IN_A_ROW:
                return self._random.choice(sorted(referred))
            if newer and self._failures % 2:
                return self._random.choice(sorted(newer))
        return self._random.choice(peers)

    def _forget_departed_holders(self) -> None:
        """Forget gateways that have left, when they are most of the known ones."""
        peers = set(self._peers())
        if len(self._holders) > 2 * len(ListName) * (len(peers) + 1):
            self._holders = {
                (peer, name): position
                for (peer, name), position in self._holders.items()
                if peer in peers
            }

    def _find_holders(self) -> set[str]:
        """Return the gateways that have reported a change which this one lacks."""
        lacked = {
            name: plan.known_up_to
            for name, plan in zip(ListName, self._plans, strict=True)
            if plan.is_behind
        }
        return {
            peer
            for (peer, name), position in self._holders.items()
            if name in lacked and position > lacked[name]
        }
