"""
Mix of replicas
===============

Finds the cheapest numbers of ordinary and preemptible replicas in each data centre of
which enough are left when one data centre loses all its preemptible replicas.  No I/O.

Load pattern: the platform takes away all preemptible replicas of a data centre at once,
with about two seconds of notice, while a new replica takes 4 s to boot.
"""

from collections.abc import Iterable, Mapping

import msgspec

from damasklead.gateway.routing import ScalingSpec
from damasklead.ids import DataCentre

__all__ = [
    "Mix",
    "ReplicaGroup",
    "compute_price",
    "count_surviving",
    "find_cheapest_mix",
]

# Price of a data centre that the configuration names none for.
DEFAULT_PRICE = 1.0
# Fraction of the needed replicas that are ordinary, at least one, so that the service
# stays up when all preemptible ones are taken away.
FLOOR_FRACTION = 0.05


class ReplicaGroup(msgspec.Struct, frozen=True, order=True):
    """The replicas of one kind in one data centre; each is ordered by a number."""

    data_centre: DataCentre
    is_preemptible: bool

    @property
    def kind(self) -> str:
        """The kind in metrics and in the status."""
        return "preemptible" if self.is_preemptible else "ordinary"


Mix = Mapping[ReplicaGroup, int]


def compute_price(mix: Mix, spec: ScalingSpec) -> float:
    """Return the price of a mix for a second."""
    return sum(count * _get_price(group, spec) for group, count in mix.items())


def count_surviving(mix: Mix) -> int:
    """
    Return the replicas that are left after the loss of the largest failure domain.

    Examples
    --------
    >>> a, b = DataCentre("a"), DataCentre("b")
    >>> count_surviving({ReplicaGroup(a, True): 5, ReplicaGroup(b, True): 4,
    ...                  ReplicaGroup(b, False): 2})
    6
    """
    domains = [count for group, count in mix.items() if group.is_preemptible]
    return sum(mix.values()) - max(domains, default=0)


def find_cheapest_mix(
    spec: ScalingSpec,
    *,
    data_centres: Iterable[DataCentre],
    needed: int,
    covers_loss: bool = True,
    limits: Mix | None = None,
) -> dict[ReplicaGroup, int]:
    """
    Return the cheapest mix with enough replicas, or the largest one if none has.

    Parameters
    ----------
    spec : ScalingSpec
    data_centres : iterable of DataCentre
    needed : int
        Replicas that are needed.
    covers_loss : bool
        Whether that many must be left after the loss of the largest failure domain.
    limits : mapping or None
        Most replicas of groups of which no more can be had.

    Examples
    --------
    >>> spec = ScalingSpec(min_replicas=1, max_replicas=30, boot_seconds=4.0,
    ...                    preemptible_price=0.15,
    ...                    prices={DataCentre("a"): 1.0, DataCentre("b"): 0.8})
    >>> mix = find_cheapest_mix(spec, data_centres=spec.prices, needed=10)
    >>> {(group.data_centre, group.is_preemptible): n for group, n in mix.items()}
    {('b', False): 1, ('b', True): 9, ('a', True): 9}
    """
    centres = sorted(
        data_centres, key=lambda item: (spec.prices.get(item, DEFAULT_PRICE), item)
    )
    most = len(centres) * spec.max_replicas
    needed = min(max(needed, 1), most)
    if spec.preemptible_price >= 1.0:
        return _spread_ordinary(spec, centres, needed)
    limits = limits or {}
    best: dict[ReplicaGroup, int] | None = None
    for ordinary in range(max(1, round(FLOOR_FRACTION * needed)), needed + 1):
        if best is not None and ordinary < needed:
            continue
        for domain in range(spec.max_replicas + 1):
            mix = _fill(
                spec,
                centres,
                ordinary=ordinary,
                preemptible=needed - ordinary + (domain if covers_loss else 0),
                domain=domain,
                limits=limits,
            )
            if mix is None:
                continue
            if best is None or compute_price(mix, spec) < compute_price(best, spec):
                best = mix
            if not covers_loss:
                # The smallest domain: the next loss costs the fewest replicas.
                break
    return best or _spread_ordinary(spec, centres, needed)


def _get_price(group: ReplicaGroup, spec: ScalingSpec) -> float:
    price = spec.prices.get(group.data_centre, DEFAULT_PRICE)
    return price * spec.preemptible_price if group.is_preemptible else price


def _fill(
    spec: ScalingSpec,
    centres: list[DataCentre],
    *,
    ordinary: int,
    preemptible: int,
    domain: int,
    limits: Mix,
) -> dict[ReplicaGroup, int] | None:
    """
    Return the mix with these numbers where they are cheapest, ``None`` if there is none
    with at most ``domain`` preemptible replicas in a data centre.
    """
    mix: dict[ReplicaGroup, int] = {}
    for centre in centres:
        group = ReplicaGroup(centre, False)
        count = min(ordinary, spec.max_replicas, limits.get(group, spec.max_replicas))
        if count:
            mix[group] = count
            ordinary -= count
    for centre in centres:
        others = mix.get(ReplicaGroup(centre, False), 0)
        group = ReplicaGroup(centre, True)
        available = min(domain, limits.get(group, spec.max_replicas))
        count = min(preemptible, available, spec.max_replicas - others)
        # The minimum is met by preemptible replicas where there are any.
        least = max(0, min(spec.min_replicas - others, available))
        mix[group] = max(count, least)
        preemptible -= count
        missing = spec.min_replicas - others - mix[group]
        if missing > 0 and group not in limits:
            mix[ReplicaGroup(centre, False)] = others + missing
    return mix if ordinary <= 0 and preemptible <= 0 else None


def _spread_ordinary(
    spec: ScalingSpec, centres: list[DataCentre], needed: int
) -> dict[ReplicaGroup, int]:
    """Return ordinary replicas in equal numbers, one more where they are cheapest."""
    share, rest = divmod(needed, max(1, len(centres)))
    return {
        ReplicaGroup(centre, False): min(
            max(share + (index < rest), spec.min_replicas), spec.max_replicas
        )
        for index, centre in enumerate(centres)
    }
