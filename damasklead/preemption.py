"""
Preemption
==========

Selects running requests to preempt for requests of higher tiers, or to restart on
another replica.
"""

from collections.abc import Iterable

import msgspec

from damasklead.ids import AttemptId, InstanceId
from damasklead.requests import Request

__all__ = [
    "Attempt",
    "DispatchOptions",
    "choose_victims",
    "find_overdue",
    "may_preempt",
]

MAX_PREEMPTIONS = 3
FIRST_TOKEN_TIMEOUT_FACTOR = 4.0  # multiples of the first-token target


class DispatchOptions(msgspec.Struct, kw_only=True, frozen=True):
    """
    Parts of the dispatch policy that a benchmark can switch off.

    Attributes
    ----------
    allow_preemption : bool
        Whether running requests of lower tiers are preempted for queued requests of
        higher tiers.
    migrate_from_stragglers : bool
        Whether running requests are moved from an ejected replica to others.
    allow_urgent_burst : bool
        Whether urgent requests, among them all of the top tier, may exceed the entry's
        share of the pool, up to a replica's hard limit.
    """

    allow_preemption: bool = True
    migrate_from_stragglers: bool = True
    allow_urgent_burst: bool = True


class Attempt(msgspec.Struct, kw_only=True):
    """
    An attempt of a request that runs on a replica.

    Attributes
    ----------
    started_at : float
        Clock reading in seconds at the start of the attempt.
    is_preemptable : bool
        Whether the request can be cancelled and continued later without losing the
        generated tokens.
    first_token_at : float or None
        Clock reading in seconds at the first event of the response.
    event_count : int
        Number of events that the caller has received from this attempt.
    """

    id: AttemptId
    request: Request
    replica: InstanceId
    started_at: float
    is_preemptable: bool
    first_token_at: float | None = None
    event_count: int = 0


def may_preempt(attempt: Attempt, below: int) -> bool:
    """
    Return whether an attempt may be preempted and continued later.

    Parameters
    ----------
    attempt : Attempt
    below : int
        Only attempts of tiers below this one (larger numbers) may be preempted.
    """
    request = attempt.request
    if request.tier <= below or not attempt.is_preemptable:
        return False
    return request.preemption_count < MAX_PREEMPTIONS


def choose_victims(
    attempts: Iterable[Attempt], *, below: int, count: int
) -> list[Attempt]:
    """
    Return up to ``count`` attempts to preempt.

    Those of the lowest tier come first, inside a tier those with the fewest generated
    tokens.
    """
    if count <= 0:
        return []
    victims = sorted(
        (item for item in attempts if may_preempt(item, below)),
        key=lambda item: (-item.request.tier, item.request.generated_tokens),
    )
    return victims[:count]


def find_overdue(attempts: Iterable[Attempt], now: float) -> list[Attempt]:
    """Return the preemptable attempts whose first token is overdue at ``now``."""
    overdue = []
    for attempt in attempts:
        target = attempt.request.request_class.first_token_target
        if target is None or attempt.first_token_at is not None:
            continue
        is_overdue = now - attempt.started_at > FIRST_TOKEN_TIMEOUT_FACTOR * target
        if is_overdue and may_preempt(attempt, 0):
            overdue.append(attempt)
    return overdue
