"""
Remote share
============

Decides which requests of a cell are sent to a cell of another data centre.  No I/O: the
inputs are loads of cells and the clock, the output is a choice.

Load pattern: callers of one data centre burst, or it loses a part of its replicas,
while hundreds of gateways know the loads of cells from responses up to a second old.
If all of them sent everything to the least loaded cell, it would be overloaded within
their age, and the load would swing between the cells.  Therefore each gateway moves a
share that grows with the difference of the loads, to one of two random candidates.
"""

import math
from collections import Counter
from collections.abc import Collection
from enum import Enum

import msgspec

from damasklead.clock import Clock
from damasklead.gateway.calls import Call
from damasklead.gateway.coordination.cells import Cell
from damasklead.ids import DataCentre, ServiceName
from damasklead.util import stable_hash

__all__ = [
    "CellLoads",
    "RemoteReason",
    "RemoteTally",
    "RemoteTraffic",
    "ShareChange",
    "choose_candidates",
    "compute_remote_share",
    "estimate_remote_cost",
]

# Age at which the last known load of a cell is ignored.
LOAD_TTL_SECONDS = 1.0
# Time constant of the moving average of a cell's load, of the order of the time after
# which an assignment shows in the loads that other gateways know.
LOAD_SMOOTHING_SECONDS = 0.1
# Added to the loads that are compared, so that short backlogs, which every engine has
# between two prompts, move few requests.
LOAD_FLOOR_SECONDS = 0.1
# Streams whose event gap target is shorter than this multiple of the extra latency
# stay in their data centre.
GAP_LATENCIES = 10.0
BYTES_PER_MEGABYTE = 1_000_000.0
# Change of the fraction of a data centre's requests that leave it which is reported.
REPORTED_SHARE_CHANGE = 0.1


class RemoteReason(Enum):
    """
    Why a request is sent to another data centre.

    ``HOME``: its shared prefix has its home there.  ``LOAD``: the engines here have a
    longer backlog.  ``PROBE``: the load there is not known.
    """

    HOME = "home"
    LOAD = "load"
    PROBE = "probe"


class ShareChange(msgspec.Struct, kw_only=True, frozen=True):
    """
    A changed share of the requests that leave a data centre.

    Attributes
    ----------
    share : float
        Fraction of the service's requests of the last interval that were sent there.
    """

    service: ServiceName
    target: DataCentre
    share: float


class RemoteTraffic(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """
    What traffic between data centres costs.

    Attributes
    ----------
    latency_seconds : float
        Extra latency of a request and its response.
    seconds_per_megabyte : float
        Seconds of an engine that a megabyte between data centres is worth.
    prefill_tokens_per_second : float
        Prefill rate of an engine, for the shared parts that are prefilled again.
    """

    latency_seconds: float = 0.002
    seconds_per_megabyte: float = 5.0
    prefill_tokens_per_second: float = 38_000.0


class CellLoads:
    """
    The loads of cells as their coordinators reported them.

    Parameters
    ----------
    clock : Clock
    is_smoothed : bool
        Whether a load is the moving average of those that were reported.
    """

    def __init__(self, *, clock: Clock, is_smoothed: bool = True) -> None:
        self._clock = clock
        self._is_smoothed = is_smoothed
        self._loads: dict[Cell, tuple[float, float]] = {}

    def record(self, cell: Cell, load: float) -> None:
        """Record a cell's load: its mean backlog of prefill work in seconds."""
        now = self._clock.now()
        known = self.get(cell) if self._is_smoothed else None
        if known is not None:
            age = now - self._loads[cell][1]
            # A load that was just reported has some weight too.
            weight = 1 - math.exp(-max(age, 0.01) / LOAD_SMOOTHING_SECONDS)
            load = known + weight * (load - known)
        self._loads[cell] = (load, now)

    def get(self, cell: Cell) -> float | None:
        """Return a cell's load in seconds; ``None`` if it is not known any more."""
        load, recorded_at = self._loads.get(cell, (0.0, -math.inf))
        return load if self._clock.now() - recorded_at < LOAD_TTL_SECONDS else None


def estimate_remote_cost(
    call: Call, traffic: RemoteTraffic, *, is_remote: bool = True
) -> float:
    """
    Return what it costs to execute a request in another cell than its home.

    Parameters
    ----------
    is_remote : bool
        Whether the other cell is in another data centre.

    Returns
    -------
    float
        Seconds; infinite for a stream whose event gap the extra latency endangers.
    """
    shared_tokens = sum(part.tokens for part in call.head.shared_parts)
    prefill_seconds = shared_tokens / traffic.prefill_tokens_per_second
    if not is_remote:
        return prefill_seconds
    gap = call.route.event_gap
    if gap is not None and gap < GAP_LATENCIES * traffic.latency_seconds:
        return math.inf
    return (
        traffic.latency_seconds
        + len(call.body) / BYTES_PER_MEGABYTE * traffic.seconds_per_megabyte
        + prefill_seconds
    )


def compute_remote_share(home: float, remote: float, cost: float) -> float:
    """
    Return the fraction of requests that leave their home cell.

    Parameters
    ----------
    home, remote : float
        Loads of the two cells in seconds.
    cost : float
        Cost of leaving in seconds.

    Examples
    --------
    >>> compute_remote_share(0.3, 0.3, 0.0)
    0.0
    >>> round(compute_remote_share(1.0, 0.1, 0.1), 2)
    0.62
    """
    gain = home - remote - cost
    if gain <= 0:
        return 0.0
    return gain / (home + remote + cost + LOAD_FLOOR_SECONDS)


def choose_candidates(call: Call, cells: Collection[Cell]) -> list[Cell]:
    """Return two random cells, which are the same for the same request."""
    return sorted(
        cells,
        key=lambda cell: stable_hash(
            "remote", call.id, cell.data_centre, str(cell.number)
        ),
    )[:2]


class RemoteTally:
    """
    Counts the requests of this gateway that leave its data centre.

    Parameters
    ----------
    data_centre : DataCentre
        This gateway's data centre.
    """

    def __init__(self, *, data_centre: DataCentre) -> None:
        self._data_centre = data_centre
        self._sent: Counter[tuple[ServiceName, DataCentre]] = Counter()
        self._totals: Counter[ServiceName] = Counter()
        self._reported: dict[tuple[ServiceName, DataCentre], float] = {}

    def record(self, service: ServiceName, target: DataCentre) -> bool:
        """
        Record where a request is sent; returns whether that is another data centre.

        Cells that span data centres count as this one.
        """
        self._totals[service] += 1
        if target in ("", self._data_centre):
            return False
        self._sent[service, target] += 1
        return True

    def collect_changes(self) -> list[ShareChange]:
        """Return the shares that have changed, and begin the next interval."""
        changes: list[ShareChange] = []
        for key in self._sent.keys() | self._reported.keys():
            service, target = key
            if not self._totals[service]:
                continue
            share = self._sent[key] / self._totals[service]
            if abs(share - self._reported.get(key, 0.0)) >= REPORTED_SHARE_CHANGE:
                self._reported[key] = share
                changes.append(
                    ShareChange(service=service, target=target, share=round(share, 2))
                )
        self._sent.clear()
        self._totals.clear()
        return changes
