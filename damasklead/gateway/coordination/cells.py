"""
Cells
=====

Partitions a service's engines into cells and selects the cell of a request and the
coordinators of a cell.  The results depend only on the lists of engines and gateways,
so that all gateways agree.  While their lists differ, two coordinators may assign
requests to the same engines.

Load pattern: hundreds of gateways with one or two requests per second each, in front of
tens or hundreds of engines.  The traffic of a single gateway indicates almost nothing
about the load of the engines.
"""

import math
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from damasklead.gateway.calls import Call, UpstreamRecord
from damasklead.ids import DataCentre, InstanceId, ServiceName
from damasklead.util import stable_hash

__all__ = [
    "Cell",
    "Member",
    "partition_engines",
    "select_home_cell",
    "select_home_engine",
    "rank_members",
    "select_by_weight",
]

# Target number of engines per cell.  It has to be large enough to distribute shared
# prefixes evenly over cells, to reserve engines for streams with a short event gap
# target and to replicate a hot prefix, and small enough for one coordinator to compute
# the cost of every engine for each request.
CELL_ENGINES = 24
# If any data centre has fewer engines of a service than this, the service's cells span
# data centres.  In a scaled service, only those engines change their cell.
MIN_DATA_CENTRE_ENGINES = 6
# Shared prefixes of at least this many tokens have one home cell over all data centres:
# one prefill in total saves more than the network delay to another data centre costs.
REMOTE_PREFIX_TOKENS = 2000
# A gateway with twice the CPU cores coordinates eight times as many cells, because a
# coordinator needs a large part of the CPU time of a small gateway.
CORES_EXPONENT = 3
# Largest number below 1 that a float represents; its logarithm is not 0.
MAX_UNIFORM = math.nextafter(1.0, 0.0)


class Cell(msgspec.Struct, array_like=True, frozen=True):
    """
    The identifier of a cell.

    Attributes
    ----------
    service : ServiceName
    data_centre : DataCentre
        Empty for a cell that spans data centres.
    number : int
        Index of the cell among those of its service and data centre, from 0.
    """

    service: ServiceName
    data_centre: DataCentre
    number: int


class Member(msgspec.Struct, frozen=True):
    """
    A gateway that may coordinate cells.

    Attributes
    ----------
    instance : InstanceId
    data_centre : DataCentre
    cores : float
        CPU cores that the gateway may use.
    """

    instance: InstanceId
    data_centre: DataCentre
    cores: float = 1.0


def partition_engines(
    records: Sequence[UpstreamRecord],
    *,
    is_scaled: bool = False,
    by_data_centre_only: bool = False,
) -> dict[Cell, list[UpstreamRecord]]:
    """
    Partition a service's engines into cells of about equal size.

    While the number of cells stays the same, adding or removing one engine moves at
    most one other engine across each boundary between cells.

    Parameters
    ----------
    records : sequence of UpstreamRecord
        The engines of one service.
    is_scaled : bool
        Whether the service's engines are ordered as needed.  Then a data centre may
        lose nearly all of them for some seconds.  The few that are left join the cells
        of another data centre, so that the cells of the others stay.
    by_data_centre_only : bool
        Whether no cell spans data centres, however few engines one of them has, if they
        have ``MIN_DATA_CENTRE_ENGINES`` on average.
    """
    by_data_centre: dict[DataCentre, list[UpstreamRecord]] = {}
    for record in records:
        by_data_centre.setdefault(record.data_centre, []).append(record)
    average_engines = len(records) / max(1, len(by_data_centre))
    if average_engines < MIN_DATA_CENTRE_ENGINES:
        by_data_centre_only = False
    if is_scaled and not by_data_centre_only:
        _merge_small_groups(by_data_centre)
    if not by_data_centre_only and (
        min((len(group) for group in by_data_centre.values()), default=0)
        < MIN_DATA_CENTRE_ENGINES
    ):
        by_data_centre = {DataCentre(""): list(records)} if records else {}
    cells: dict[Cell, list[UpstreamRecord]] = {}
    for data_centre, group in by_data_centre.items():
        group.sort(key=lambda item: stable_hash("cell", item.instance))
        count = max(1, round(len(group) / CELL_ENGINES))
        for number in range(count):
            begin, end = (len(group) * step // count for step in (number, number + 1))
            cells[Cell(group[0].service, data_centre, number)] = group[begin:end]
    return cells


def _merge_small_groups(
    by_data_centre: dict[DataCentre, list[UpstreamRecord]],
) -> None:
    """Let the engines of small data centres join the first one that is not small."""
    small = [
        name
        for name, group in by_data_centre.items()
        if len(group) < MIN_DATA_CENTRE_ENGINES
    ]
    host = min(by_data_centre.keys() - set(small), default=None)
    if host is None:
        return
    for name in small:
        by_data_centre[host].extend(by_data_centre.pop(name))


def select_home_cell(
    cells: Iterable[Cell],
    call: Call,
    data_centre: DataCentre,
    *,
    weights: Mapping[Cell, float] | None = None,
) -> Cell | None:
    """
    Return the cell where a request's shared prefix is most likely cached.

    A short shared prefix has a home cell in each data centre.  Requests without a
    shared prefix are distributed over the cells by the hash of their id.

    Parameters
    ----------
    weights : mapping or None
        Share of the prefixes that each cell is the home of, in any unit; ``None`` for
        equal shares.
    """
    cells = list(cells)
    local_cells = [cell for cell in cells if cell.data_centre == data_centre]
    shared = call.head.prompt[:-1]
    key = shared[-1].key if shared else call.id
    across_data_centres = sum(part.tokens for part in shared) >= REMOTE_PREFIX_TOKENS
    candidates = cells if across_data_centres else local_cells or cells

    if weights is not None:
        return select_by_weight(
            key, {cell: weights.get(cell, 0.0) for cell in candidates}
        )
    return max(
        candidates,
        key=lambda cell: stable_hash(key, cell.data_centre, str(cell.number)),
        default=None,
    )


def select_by_weight(key: str, weights: Mapping[Cell, float]) -> Cell | None:
    """
    Return a cell for a key, by rendezvous hashing in proportion to the cells' weights.

    A change of one cell's weight moves keys only from or to that cell.

    Examples
    --------
    >>> a, b = (Cell(ServiceName("llm"), DataCentre(name), 0) for name in "ab")
    >>> weights = {a: 3.0, b: 1.0}
    >>> cells = [select_by_weight(f"k{number}", weights) for number in range(99)]
    >>> 65 < cells.count(a) < 85
    True
    """

    def compute_score(cell: Cell) -> float:
        score = stable_hash(key, cell.data_centre, str(cell.number))
        return weights[cell] / -math.log(min((score + 1) / 2**64, MAX_UNIFORM))

    return max(weights, key=compute_score, default=None)


def select_home_engine(
    records: Iterable[UpstreamRecord], key: str
) -> UpstreamRecord | None:
    """Return the engine of a cell that requests with a new shared prefix go to."""
    return max(records, key=lambda item: stable_hash(key, item.instance), default=None)


def rank_members(cell: Cell, members: Iterable[Member]) -> list[InstanceId]:
    """
    Return the gateways that may coordinate a cell in the order of preference.

    Uses rendezvous hashing weighted by CPU cores.  Gateways in the cell's data centre
    rank before those in others.
    """

    def sort_key(member: Member) -> tuple[bool, float]:
        is_remote = bool(cell.data_centre) and member.data_centre != cell.data_centre
        hash_key = (cell.service, cell.data_centre, str(cell.number), member.instance)
        uniform = (stable_hash(*hash_key) + 1) / 2**64
        return is_remote, -math.log(uniform) / member.cores**CORES_EXPONENT

    return [member.instance for member in sorted(members, key=sort_key)]
