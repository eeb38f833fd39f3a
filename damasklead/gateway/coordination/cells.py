"""
Cells
=====

Divides a service's engines into cells and finds the cell of a request and the
coordinators of a cell.  Every gateway finds the same from the same lists; where lists
differ for a moment, two coordinators use the same engines for that moment.

Load pattern: hundreds of gateways with a request or two a second each, before tens or
hundreds of engines, of which each gateway alone knows next to nothing.
"""

import math
from collections.abc import Iterable, Sequence

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
]

# Engines of one cell: enough that cells get about equal parts of the subjects, to keep
# some apart for tight streams and to let a hot subject spread; few enough for one
# coordinator to weigh them all for each request.
CELL_ENGINES = 24
# Data centres with fewer engines than this share their cells.
MIN_DATA_CENTRE_ENGINES = 6
# Shared parts of so many tokens are worth the way to another data centre: one engine
# of all reads them, instead of one in each data centre.
REMOTE_PREFIX_TOKENS = 2000
# A gateway with twice the processor coordinates eight times as often: the work of a
# coordinator is a large part of what a small one has.
CORES_EXPONENT = 3


class Cell(msgspec.Struct, array_like=True, frozen=True):
    """
    A cell's name.

    Attributes
    ----------
    data_centre : DataCentre
        Empty for a cell whose engines are in several.
    """

    service: ServiceName
    data_centre: DataCentre
    number: int


class Member(msgspec.Struct, frozen=True):
    """
    A gateway that may coordinate.

    Attributes
    ----------
    cores : float
        Processor that it may use.
    """

    instance: InstanceId
    data_centre: DataCentre
    cores: float = 1.0


def partition_engines(
    records: Sequence[UpstreamRecord],
) -> dict[Cell, list[UpstreamRecord]]:
    """
    Divide a service's engines into cells of about equal size.

    One engine more or less moves at most one engine over each border.
    """
    by_data_centre: dict[DataCentre, list[UpstreamRecord]] = {}
    for record in records:
        by_data_centre.setdefault(record.data_centre, []).append(record)
    if (
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


def select_home_cell(
    cells: Iterable[Cell], call: Call, data_centre: DataCentre
) -> Cell | None:
    """
    Return the cell where a request's shared parts are most likely cached.

    Short shared parts are read in each data centre; requests without any are spread.
    """
    cells = list(cells)
    local_cells = [cell for cell in cells if cell.data_centre == data_centre]
    shared = call.head.prompt[:-1]
    key = shared[-1].key if shared else call.id
    across_data_centres = sum(part.tokens for part in shared) >= REMOTE_PREFIX_TOKENS
    return max(
        cells if across_data_centres else local_cells or cells,
        key=lambda cell: stable_hash(key, cell.data_centre, str(cell.number)),
        default=None,
    )


def select_home_engine(
    records: Iterable[UpstreamRecord], key: str
) -> UpstreamRecord | None:
    """Return the engine of a cell that a new shared part is sent to first."""
    return max(records, key=lambda item: stable_hash(key, item.instance), default=None)


def rank_members(cell: Cell, members: Iterable[Member]) -> list[InstanceId]:
    """
    Return the gateways that may coordinate a cell, the first to be asked first.

    Rendezvous hashing, weighted so that those with more processor coordinate more.
    """

    def sort_key(member: Member) -> tuple[bool, float]:
        is_remote = bool(cell.data_centre) and member.data_centre != cell.data_centre
        hash_key = (cell.service, cell.data_centre, str(cell.number), member.instance)
        uniform = (stable_hash(*hash_key) + 1) / 2**64
        return is_remote, -math.log(uniform) / member.cores**CORES_EXPONENT

    return [member.instance for member in sorted(members, key=sort_key)]
