"""
Preempting
==========

Which running requests give way, or start anew elsewhere.
"""

from collections.abc import Iterable

import msgspec

from damasklead.ids import AttemptId, InstanceId
from damasklead.requests import Request

__all__ = ["Attempt", "DispatchOptions", "choose_victims", "may_preempt", "overdue"]

MAX_PREEMPTIONS = 3
FIRST_TOKEN_PATIENCE = 4.0  # multiples of the first-token target


class DispatchOptions(msgspec.Struct, kw_only=True, frozen=True):
    """
    Parts of the policy that a bench can switch off.

    Attributes
    ----------
    allow_preemption : bool
        Whether running requests of lower tiers give way to waiting ones of higher
        tiers.
    migrate_from_stragglers : bool
        Whether requests on an ejected replica go on elsewhere.
    allow_top_tier_burst : bool
        Whether the top tier may go beyond its share up to a replica's hard limit.
    """

    allow_preemption: bool = True
    migrate_from_stragglers: bool = True
    allow_top_tier_burst: bool = True


class Attempt(msgspec.Struct, kw_only=True):
    """
    A request that runs on a replica.

    Attributes
    ----------
    is_preemptable : bool
        Whether it can be cancelled and go on later without losing what was generated.
    """

    id: AttemptId
    request: Request
    replica: InstanceId
    started_at: float
    is_preemptable: bool
    first_token_at: float | None = None
    event_count: int = 0


def may_preempt(attempt: Attempt, below: int) -> bool:
    """Tell whether an attempt of a tier below one may be cancelled and go on later."""
    request = attempt.request
    if request.tier <= below or not attempt.is_preemptable:
        return False
    return request.preemption_count < MAX_PREEMPTIONS


def choose_victims(
    attempts: Iterable[Attempt], *, below: int, count: int
) -> list[Attempt]:
    """Return up to ``count`` attempts to preempt, those that lose least first."""
    if count <= 0:
        return []
    victims = sorted(
        (item for item in attempts if may_preempt(item, below)),
        key=lambda item: (-item.request.tier, item.request.generated_tokens),
    )
    return victims[:count]


def overdue(attempts: Iterable[Attempt], now: float) -> list[Attempt]:
    """Return what had no first token for long and may be repeated."""
    found = []
    for attempt in attempts:
        target = attempt.request.request_class.first_token
        if target is None or attempt.first_token_at is not None:
            continue
        late = now - attempt.started_at > FIRST_TOKEN_PATIENCE * target
        if late and may_preempt(attempt, 0):
            found.append(attempt)
    return found
