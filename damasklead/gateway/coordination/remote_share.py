"""
Remote share
============

Decides which requests are executed by another cell than their home, mostly one in
another data centre.  No I/O: the inputs are loads of cells and the clock, the output is
a choice.

Load pattern: callers of one data centre burst, or it loses a part of its replicas,
while hundreds of gateways know the loads of cells from responses up to some seconds
old.  If all of them sent everything to the least loaded cell, it would be overloaded
within that time, and the load would alternate between the cells.  Therefore each
gateway moves a share that grows with the difference of the loads, and spreads it over
the other cells by their number of engines.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Annotated

import msgspec

from damasklead.clock import Clock
from damasklead.gateway.calls import Call
from damasklead.gateway.coordination.cells import (
    REMOTE_PREFIX_TOKENS,
    Cell,
    select_by_weight,
    select_home_cell,
)
from damasklead.ids import DataCentre, ServiceName
from damasklead.util import stable_hash

__all__ = [
    "CellLoads",
    "RemoteReason",
    "RemoteShares",
    "RemoteTally",
    "RemoteTraffic",
    "ShareChange",
    "compute_remote_share",
]

# Age at which the last known load of a cell is ignored: a gateway with one or two
# requests a second hears of each cell about that often.
LOAD_TTL_SECONDS = 3.0
# Time constant of the moving average of a cell's load, of the order of the time after
# which an assignment shows in the loads that other gateways know.
LOAD_SMOOTHING_SECONDS = 0.1
# Added to the loads that are compared, so that short backlogs, which every engine has
# between two prompts, move few requests.
LOAD_FLOOR_SECONDS = 0.1
# Streams whose event gap target is shorter than this multiple of the extra latency
# are not sent to other data centres because of a load.
GAP_LATENCIES = 10.0
BYTES_PER_MEGABYTE = 1_000_000.0
# Load of the home cell from which cells of unknown load are probed.
MIN_PROBED_LOAD_SECONDS = 0.1
# Minimum time between two probes of one cell by one gateway.
PROBE_INTERVAL_SECONDS = 0.25
# Change of the fraction of a service's requests that leave which is reported, and the
# number of requests over which it is computed.
REPORTED_SHARE_CHANGE = 0.1
REPORTED_REQUESTS = 50

_Cost = Annotated[float, msgspec.Meta(ge=0)]


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
        Prefill rate of an engine, for shared parts that are prefilled again.
    """

    latency_seconds: _Cost = 0.002
    seconds_per_megabyte: _Cost = 5.0
    prefill_tokens_per_second: Annotated[float, msgspec.Meta(gt=0)] = 38_000.0


class RemoteReason(Enum):
    """
    Why a request is sent to another data centre.

    ``HOME``: its shared prefix has its home there.  ``LOAD``: its home cell has a
    longer backlog, or the load there is not known.
    """

    HOME = "home"
    LOAD = "load"


class CellLoads:
    """
    The loads of cells as their coordinators reported them, as moving averages.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._loads: dict[Cell, tuple[float, float]] = {}

    def record(self, cell: Cell, load: float) -> None:
        """
        Record a cell's load: its mean backlog of prefill work in seconds.

        Anything but a finite number of seconds is ignored, since it would stay in the
        moving average.
        """
        if not 0 <= load < math.inf:
            return
        now = self._clock.now()
        known = self.get(cell)
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

    def retain(self, cells: Iterable[Cell]) -> None:
        """Remove the loads of all cells but these."""
        kept = set(cells)
        self._loads = {cell: item for cell, item in self._loads.items() if cell in kept}


class RemoteShares:
    """
    Chooses between the home cell of a request and other cells of its service.

    Parameters
    ----------
    clock : Clock
    data_centre : DataCentre
        This gateway's data centre.
    traffic : RemoteTraffic
        What traffic between data centres costs.

    Attributes
    ----------
    loads : CellLoads
    """

    def __init__(
        self, *, clock: Clock, data_centre: DataCentre, traffic: RemoteTraffic
    ) -> None:
        self._clock = clock
        self._data_centre = data_centre
        self._traffic = traffic
        self._probed_at: dict[Cell, float] = {}
        self.loads = CellLoads(clock=clock)

    def select_cell(self, call: Call, home: Cell, engines: Mapping[Cell, int]) -> Cell:
        """
        Return the home cell, or another one for a share of the requests.

        Parameters
        ----------
        call : Call
        home : Cell
            The request's home cell.
        engines : mapping
            Number of engines of each reachable cell of the service.
        """
        load = self.loads.get(home)
        if load is None:
            return home
        other = select_by_weight(
            f"remote {call.id}",
            {
                cell: float(engines[cell])
                for cell in self._find_candidates(call, home, engines)
            },
        )
        if other is None:
            return home
        cost = self.estimate_cost(call, home, other)
        if math.isinf(cost):
            return home
        other_load = self.loads.get(other)
        if other_load is None:
            may_probe = load > max(MIN_PROBED_LOAD_SECONDS, cost)
            return other if may_probe and self._begin_probe(other) else home
        share = compute_remote_share(load, other_load, cost)
        return other if stable_hash("leave", call.id) < share * 2**64 else home

    def estimate_cost(self, call: Call, home: Cell, other: Cell) -> float:
        """
        Return what it costs to execute a request in another cell than its home.

        Returns
        -------
        float
            Seconds; infinite for a stream whose event gap the extra latency endangers.
        """
        shared_tokens = sum(part.tokens for part in call.head.shared_parts)
        prefill = shared_tokens / self._traffic.prefill_tokens_per_second
        if (
            shared_tokens < REMOTE_PREFIX_TOKENS
            and other.data_centre != home.data_centre
        ):
            prefill = 0.0  # a short prefix has a home in each data centre
        traffic = self._estimate_traffic(call, other)
        if math.isinf(traffic):
            return math.inf
        saved = self._estimate_traffic(call, home)
        return prefill + max(0.0, traffic - (0.0 if math.isinf(saved) else saved))

    def _estimate_traffic(self, call: Call, cell: Cell) -> float:
        """Return what the way from here to a cell and back costs in seconds."""
        if cell.data_centre == self._data_centre:
            return 0.0
        gap = call.route.event_gap
        if gap is not None and gap < GAP_LATENCIES * self._traffic.latency_seconds:
            return math.inf
        size = len(call.body) / BYTES_PER_MEGABYTE
        return self._traffic.latency_seconds + size * self._traffic.seconds_per_megabyte

    def _find_candidates(
        self, call: Call, home: Cell, cells: Iterable[Cell]
    ) -> list[Cell]:
        """
        Return the other cells of the home's data centre, and of each other data centre
        the cell where the shared prefix is most likely cached.
        """
        by_centre: dict[DataCentre, list[Cell]] = {}
        for cell in cells:
            by_centre.setdefault(cell.data_centre, []).append(cell)
        candidates = [
            cell for cell in by_centre.pop(home.data_centre, []) if cell != home
        ]
        for data_centre, group in by_centre.items():
            likely = select_home_cell(group, call, data_centre)
            if likely is not None:
                candidates.append(likely)
        return candidates

    def _begin_probe(self, cell: Cell) -> bool:
        """Return whether a cell of unknown load is due for a probe."""
        now = self._clock.now()
        if now - self._probed_at.get(cell, -math.inf) < PROBE_INTERVAL_SECONDS:
            return False
        self._probed_at[cell] = now
        return True

    def retain_cells(self, cells: Iterable[Cell]) -> None:
        """Remove what is known of all cells but these."""
        kept = set(cells)
        self.loads.retain(kept)
        self._probed_at = {
            cell: at for cell, at in self._probed_at.items() if cell in kept
        }


def compute_remote_share(home: float, other: float, cost: float) -> float:
    """
    Return the fraction of requests that leave their home cell.

    Parameters
    ----------
    home, other : float
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
    gain = home - other - cost
    if gain <= 0:
        return 0.0
    return gain / (home + other + cost + LOAD_FLOOR_SECONDS)


class ShareChange(msgspec.Struct, kw_only=True, frozen=True):
    """
    A changed share of the requests that leave a data centre because of a load.

    Attributes
    ----------
    share : float
        Fraction of the service's last requests that were sent there.
    """

    service: ServiceName
    target: DataCentre
    share: float


class RemoteTally:
    """
    Computes which share of a gateway's requests leaves its data centre.

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

    def record(
        self, service: ServiceName, target: DataCentre, reason: RemoteReason
    ) -> bool:
        """
        Record where a request is sent; returns whether that is another data centre.

        Cells that span data centres count as this one.
        """
        self._totals[service] += 1
        if target in ("", self._data_centre):
            return False
        if reason is RemoteReason.LOAD:
            self._sent[service, target] += 1
        return True

    def collect_changes(self) -> list[ShareChange]:
        """
        Return the shares that have changed.

        A service's share is computed when it has had ``REPORTED_REQUESTS``.
        """
        due = [
            name for name, total in self._totals.items() if total >= REPORTED_REQUESTS
        ]
        changes: list[ShareChange] = []
        for key in self._sent.keys() | self._reported.keys():
            service, target = key
            if service not in due:
                continue
            share = self._sent.pop(key, 0) / self._totals[service]
            if abs(share - self._reported.get(key, 0.0)) >= REPORTED_SHARE_CHANGE:
                self._reported[key] = share
                changes.append(
                    ShareChange(service=service, target=target, share=round(share, 2))
                )
            if not self._reported.get(key):
                self._reported.pop(key, None)
        for service in due:
            del self._totals[service]
        return changes
