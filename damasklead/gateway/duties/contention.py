"""
Contention for the duties' lease
================================

When a gateway polls the lease, and which gateway becomes the holder's deputy.  No I/O.

Load pattern: hundreds of gateways that start within 0.3 s, or lose their holder at the
same instant, with a store that bills each call.  A gateway that hears the holder's
notices makes no call, and the others take turns by their rank.
"""

import random
from collections.abc import Callable, Iterable

from damasklead.clock import Clock
from damasklead.gateway.dialect import PeerEntry
from damasklead.gateway.poll_schedule import reader_score

__all__ = [
    "MAX_CONTENDERS",
    "ContentionSchedule",
    "choose_deputy",
    "compute_contention_rank",
]

# Gateways that start within 0.3 s find each other before the first poll.
START_DELAY_SECONDS = 1.0
# An acquisition takes two calls, some 20 ms, before the next rank hears its notice.
RANK_DELAY_SECONDS = 0.3
# Gateways that contend at all; the store may reject some of them.
MAX_CONTENDERS = 12
# Pause after a poll that failed, doubled with each further one.
MIN_RETRY_SECONDS, MAX_RETRY_SECONDS = 0.5, 2.0
# Least time between two polls that found the lease held.
MIN_POLL_SECONDS = 0.2
# A deputy that sends nothing for this long is replaced; gateways report at least every
# 2 s to the holder.
DEPUTY_SILENCE_SECONDS = 5.0


class ContentionSchedule:
    """
    Decides when a gateway without the lease polls it.

    Parameters
    ----------
    clock : Clock
    expiry : float
        Seconds without a renewal after which the lease may be acquired.
    get_rank : callable
        Returns the number of gateways that contend before this one.
    """

    def __init__(
        self, *, clock: Clock, expiry: float, get_rank: Callable[[], int]
    ) -> None:
        self._clock = clock
        self._expiry = expiry
        self._get_rank = get_rank
        self._earliest = clock.now() + START_DELAY_SECONDS
        self._failures = 0

    @property
    def seconds_until_due(self) -> float | None:
        """Seconds until the next poll, ``None`` for a gateway that does not contend."""
        rank = self._get_rank()
        if rank >= MAX_CONTENDERS:
            return None
        due_at = self._earliest + rank * RANK_DELAY_SECONDS
        return max(0.0, due_at - self._clock.now())

    def record_notice(self, *, is_released: bool) -> None:
        """Record that the holder has announced a renewal, or the release."""
        self._earliest = self._clock.now() + (0.0 if is_released else self._expiry)

    def postpone(self, seconds: float) -> None:
        """Let the other gateways contend before this one."""
        self._earliest = self._clock.now() + seconds

    def record_poll(self, *, free_at: float, has_failed: bool) -> None:
        """
        Record a poll that did not acquire the lease.

        Parameters
        ----------
        free_at : float
            Clock's time at which the lease may be free.
        has_failed : bool
            Whether the store did not respond.
        """
        now = self._clock.now()
        if has_failed:
            pause = min(MAX_RETRY_SECONDS, MIN_RETRY_SECONDS * 2**self._failures)
            self._failures = min(self._failures + 1, 10)
            self._earliest = now + pause * random.uniform(0.8, 1.2)
        else:
            self._failures = 0
            self._earliest = max(free_at, now + MIN_POLL_SECONDS)


def compute_contention_rank(
    *,
    instance: str,
    cores: float,
    members: Iterable[PeerEntry],
    holder: str,
    deputy: str,
    is_deputy_first: bool = True,
) -> int:
    """
    Return the number of gateways that contend before this one.

    The deputy, and a holder that lost its lease, have the counts of all gateways and
    come first.  The holder itself is not counted, since it is silent.

    Parameters
    ----------
    instance, cores
        This gateway.
    members : iterable
        The other gateways.
    holder, deputy : str
        The last holder that was announced and its deputy; empty without one.
    is_deputy_first : bool
        Whether the deputy does not wait for the holder.
    """
    if instance == holder:
        return 0
    if instance == deputy:
        return 0 if is_deputy_first else 1
    score = reader_score(instance, cores)
    others = {item.instance: item for item in members if item.instance != holder}
    has_deputy = others.pop(deputy, None) is not None  # type: ignore[call-overload]
    preceding = sum(
        reader_score(item.instance, item.cores) < score for item in others.values()
    )
    return preceding + has_deputy


def choose_deputy(
    members: Iterable[PeerEntry],
    *,
    data_centre: str,
    current: str,
    get_silence: Callable[[str], float],
) -> str:
    """
    Return the holder's deputy, empty if there is no other gateway.

    It is in another data centre than the holder if one is, since a data centre may lose
    its power.

    Parameters
    ----------
    members : iterable
        The gateways other than the holder.
    data_centre : str
        The holder's data centre.
    current : str
        The deputy so far, which is kept while it is heard.
    get_silence : callable
        Returns the seconds since a gateway sent a message.
    """
    entries = {str(entry.instance): entry for entry in members}
    heard = [
        entry
        for name, entry in entries.items()
        if get_silence(name) < DEPUTY_SILENCE_SECONDS
    ]
    elsewhere = [entry for entry in heard if entry.data_centre != data_centre]
    candidates = elsewhere or heard or list(entries.values())
    if any(entry.instance == current for entry in candidates):
        return current
    best = min(
        candidates,
        key=lambda entry: reader_score(entry.instance, entry.cores),
        default=None,
    )
    return "" if best is None else best.instance
