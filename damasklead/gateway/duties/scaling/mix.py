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
    "FLOOR_FRACTION",
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
# Maximum number of replicas that are planned for a service: twice the number that the
# product is made for.  Bounds the search, whatever configuration and reports say.
MAX_NEEDED = 2_200
# Numbers of ordinary replicas that are compared while a data centre has too few
# preemptible ones.
MAX_ORDINARY_STEPS = 50


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
    needed = min(max(needed, 1), most, MAX_NEEDED)
    if spec.preemptible_price >= 1.0:
        return _spread_ordinary(spec, centres, needed)
    limits = limits or {}
    floor = max(1, round(FLOOR_FRACTION * needed))
    # Ordinary replicas may have to leave room for preemptible ones where these can be
    # had.
    orders = [centres]
    if limits:
        orders.append(
            sorted(centres, key=lambda item: ReplicaGroup(item, True) not in limits)
        )
    best: dict[ReplicaGroup, int] | None = None
    # With limits each number is searched; for large services in steps, since a search
    # of seconds would cost the lease.
    step = max(1, needed // MAX_ORDINARY_STEPS) if limits else 1
    for ordinary in (*range(floor, needed, step), *([needed] if needed else [])):
        # Without limits, more ordinary replicas than are needed never pay off, unless
        # all are ordinary.
        if best is not None and ordinary < needed and not limits:
            continue
        for order in orders:
            mix = _find_preemptible(
                spec,
                _place_ordinary(spec, order, ordinary, limits),
                centres,
                needed=needed,
                covers_loss=covers_loss,
                limits=limits,
            )
            if mix is not None and (
                best is None or compute_price(mix, spec) < compute_price(best, spec)
            ):
                best = mix
    return best or _spread_ordinary(spec, centres, needed)


def _get_price(group: ReplicaGroup, spec: ScalingSpec) -> float:
    price = spec.prices.get(group.data_centre, DEFAULT_PRICE)
    return price * spec.preemptible_price if group.is_preemptible else price


def _find_preemptible(
    spec: ScalingSpec,
    ordinary: Mix,
    centres: list[DataCentre],
    *,
    needed: int,
    covers_loss: bool,
    limits: Mix,
) -> dict[ReplicaGroup, int] | None:
    """
    Return the cheapest mix with these ordinary replicas, ``None`` if none is enough.
    """
    rooms = {
        centre: min(
            limits.get(ReplicaGroup(centre, True), spec.max_replicas),
            spec.max_replicas - ordinary.get(ReplicaGroup(centre, False), 0),
        )
        for centre in centres
    }
    missing = needed - sum(ordinary.values())
    largest = min(max(rooms.values()), needed)
    # If any size of a domain is enough, the largest one is.
    if not _is_enough(rooms, missing, largest, covers_loss=covers_loss):
        return None
    best: dict[ReplicaGroup, int] | None = None
    for domain in range(largest + 1):
        if not _is_enough(rooms, missing, domain, covers_loss=covers_loss):
            continue
        count = missing + (domain if covers_loss else 0)
        mix = _add_preemptible(
            spec, ordinary, rooms, count=count, domain=domain, limits=limits
        )
        if best is None or compute_price(mix, spec) < compute_price(best, spec):
            best = mix
        if not covers_loss:
            # The smallest domain: the next loss costs the fewest replicas.
            break
    return best


def _place_ordinary(
    spec: ScalingSpec, centres: list[DataCentre], count: int, limits: Mix
) -> dict[ReplicaGroup, int]:
    """Return ordinary replicas where they are cheapest, fewer if there is no room."""
    mix: dict[ReplicaGroup, int] = {}
    for centre in centres:
        group = ReplicaGroup(centre, False)
        placed = min(count, spec.max_replicas, limits.get(group, spec.max_replicas))
        if placed > 0:
            mix[group] = placed
            count -= placed
    return mix


def _is_enough(
    rooms: Mapping[DataCentre, int], needed: int, domain: int, *, covers_loss: bool
) -> bool:
    """Return whether preemptible domains of at most a size hold enough replicas."""
    available = sum(min(domain, room) for room in rooms.values())
    return available >= needed + (domain if covers_loss else 0)


def _add_preemptible(
    spec: ScalingSpec,
    ordinary: Mix,
    rooms: Mapping[DataCentre, int],
    *,
    count: int,
    domain: int,
    limits: Mix,
) -> dict[ReplicaGroup, int]:
    """Return a mix with preemptible replicas added where they are cheapest."""
    mix = dict(ordinary)
    for centre, room in rooms.items():
        group = ReplicaGroup(centre, True)
        others = mix.get(ReplicaGroup(centre, False), 0)
        # The minimum is met by preemptible replicas where there are any.
        least = max(0, min(spec.min_replicas - others, room))
        mix[group] = max(min(count, domain, room), least)
        count -= min(count, domain, room)
        missing = spec.min_replicas - others - mix[group]
        if missing > 0 and group not in limits:
            mix[ReplicaGroup(centre, False)] = others + missing
    return mix


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
