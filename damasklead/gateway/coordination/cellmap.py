"""
Cell map
========

One gateway's view of the cells of all services, of the gateways that coordinate them
and of those that are suspected to have failed.  No I/O.
"""

import math
from collections.abc import Callable, Container, Iterable

from damasklead.clock import Clock
from damasklead.gateway.calls import Call, UpstreamRecord
from damasklead.gateway.coordination.cells import (
    Cell,
    Member,
    partition_engines,
    rank_members,
    select_home_cell,
    select_home_engine,
)
from damasklead.gateway.coordination.remote_share import RemoteShares, RemoteTraffic
from damasklead.ids import InstanceId, ServiceName
from damasklead.util import stable_hash

__all__ = ["MAX_COORDINATORS", "CellMap"]

# Length of the cached ranking of a cell; it only has to exceed the number of gateways
# that are suspected at the same time.
MAX_RANKED_MEMBERS = 12
# Number of coordinators that are tried before a gateway's own one decides.
MAX_COORDINATORS = 2
# Interval between pings to a suspected gateway; it doubles with each ping.
MIN_PING_INTERVAL_SECONDS = 0.3
MAX_PING_INTERVAL_SECONDS = 5.0
# Age at which the last known load of a cell is ignored.
LOAD_TTL_SECONDS = 1.0
# A request spills over from its home cell to another one whose backlog is shorter by
# more than this.  Each spillover costs capacity, since the other cell has to prefill
# the shared prefix again.
SPILLOVER_THRESHOLD_SECONDS = 2.0
# Fraction of the requests of an overloaded home cell that probe a cell of unknown load:
# they are sent there, and the responses report its load.
PROBE_FRACTION = 0.25


class CellMap:
    """
    The cells, their coordinators and the suspected gateways.

    Parameters
    ----------
    clock : Clock
    local_member : Member
        This gateway.
    refresh_members : callable
        Called before coordinators are listed; calls ``set_members`` if the gateways
        have changed.
    remote_traffic : RemoteTraffic or None
        What traffic between data centres costs, by which requests leave their home
        cell; ``None`` for a threshold that doesn't depend on the request.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        local_member: Member,
        refresh_members: Callable[[], None] = lambda: None,
        remote_traffic: RemoteTraffic | None = None,
    ) -> None:
        self._shares: RemoteShares | None = None
        if remote_traffic is not None:
            self._shares = RemoteShares(
                clock=clock,
                data_centre=local_member.data_centre,
                traffic=remote_traffic,
            )
        self._weights: dict[ServiceName, dict[Cell, float]] = {}
        self._refresh_members = refresh_members
        self._clock = clock
        self._local_member = local_member
        self._members: set[Member] = {local_member}
        self._has_resigned = False
        self._cells: dict[ServiceName, dict[Cell, list[UpstreamRecord]]] = {}
        self._cells_by_engine: dict[InstanceId, Cell] = {}
        self._rankings: dict[Cell, list[InstanceId]] = {}
        self._suspects: dict[str, tuple[float, float]] = {}
        self._loads: dict[Cell, tuple[float, float]] = {}

    @property
    def cells(self) -> list[Cell]:
        """The cells of all services."""
        return [cell for cells in self._cells.values() for cell in cells]

    def resign_coordination(self) -> None:
        """Exclude this gateway from the ranking of coordinators, since it stops."""
        self._has_resigned = True
        self._rankings.clear()

    def set_members(self, members: Iterable[Member]) -> None:
        """Set the gateways that may coordinate besides this one."""
        members = {self._local_member, *members}
        if members != self._members:
            self._members = members
            self._rankings.clear()

    def set_engines(
        self,
        service: ServiceName,
        records: list[UpstreamRecord],
        *,
        is_scaled: bool = False,
    ) -> None:
        """
        Set the engines of a service that accept new requests.

        Parameters
        ----------
        service : ServiceName
        records : list of UpstreamRecord
        is_scaled : bool
            Whether the number of engines in each data centre changes with the load.
            Cells are then homes of prefixes in proportion to their engines.  If traffic
            between data centres has a cost, they also stay within their data centres.
        """
        cells = partition_engines(
            records,
            is_scaled=is_scaled,
            by_data_centre_only=is_scaled and self._shares is not None,
        )
        self._cells[service] = cells
        self._weights.pop(service, None)
        if is_scaled:
            self._weights[service] = {
                cell: float(len(engines)) for cell, engines in cells.items()
            }
        self._index_engines()

    def retain_services(self, services: Container[ServiceName]) -> None:
        """Remove the cells of all services but these."""
        self._cells = {
            name: cells for name, cells in self._cells.items() if name in services
        }
        self._weights = {
            name: weights for name, weights in self._weights.items() if name in services
        }
        self._index_engines()

    def get_engines(self, cell: Cell) -> list[UpstreamRecord]:
        """Return a cell's engines, none for an unknown cell."""
        return self._cells.get(cell.service, {}).get(cell, [])

    def find_cell(self, instance: InstanceId) -> Cell | None:
        """Return the cell that an engine belongs to."""
        return self._cells_by_engine.get(instance)

    def record_load(
        self, cell: Cell, load: float, *, is_fallback: bool = False
    ) -> None:
        """
        Record a cell's load: its mean backlog of prefill work in seconds.

        Parameters
        ----------
        is_fallback : bool
            Whether it was reported by a coordinator that doesn't know the requests of
            the other gateways.
        """
        self._loads[cell] = (load, self._clock.now())
        if self._shares is not None and not is_fallback:
            self._shares.loads.record(cell, load)

    def select_cell(self, call: Call, *, is_first_attempt: bool) -> Cell | None:
        """
        Return the cell for a request: its home cell, or one with a much lower load.

        Parameters
        ----------
        call : Call
        is_first_attempt : bool
            Whether the request has not been tried at a replica yet; later attempts
            stay in the home cell, and so do requests for one version of replicas.
        """
        home = self.find_home_cell(call)
        if home is None or not is_first_attempt or call.version is not None:
            return home
        if self._shares is not None and self._spans_data_centres(call.service):
            engines = {
                cell: len(records)
                for cell, records in self._cells[call.service].items()
                if cell == home or self._is_reachable(cell)
            }
            return self._shares.select_cell(call, home, engines)
        load = self._get_fresh_load(home)
        if load is None or load <= SPILLOVER_THRESHOLD_SECONDS:
            return home
        other = self._select_spillover_cell(home)
        if other is None:
            return home
        other_load = self._get_fresh_load(other)
        if other_load is None:
            is_probe = stable_hash("look", call.id) < PROBE_FRACTION * 2**64
            return other if is_probe else home
        return other if other_load + SPILLOVER_THRESHOLD_SECONDS < load else home

    def find_home_cell(self, call: Call) -> Cell | None:
        """
        Return the home cell of a request.

        ``None`` if its service has no cell with an engine that may execute it.
        """
        cells = [
            cell
            for cell, engines in self._cells.get(call.service, {}).items()
            if call.version is None
            or any(call.accepts_version(engine.version) for engine in engines)
        ]
        return select_home_cell(
            cells,
            call,
            self._local_member.data_centre,
            weights=self._weights.get(call.service),
        )

    def find_copy_source(self, call: Call, cell: Cell) -> str | None:
        """
        Return the address of the engine that is likely to have a request's shared
        prefix in its cache, if ``cell`` is not the request's home cell.
        """
        home = self.find_home_cell(call)
        shared = call.head.prompt[:-1]
        if home is None or home == cell or not shared:
            return None
        engine = select_home_engine(self.get_engines(home), shared[-1].key)
        return None if engine is None else engine.address

    def is_own_choice(self, call: Call, cell: Cell) -> bool:
        """Return whether a cell was chosen although it is not the request's home."""
        return cell != self.find_home_cell(call)

    def _spans_data_centres(self, service: ServiceName) -> bool:
        """Return whether a service has cells in several data centres."""
        return len({cell.data_centre for cell in self._cells[service]}) > 1

    def _is_reachable(self, cell: Cell) -> bool:
        """Return whether a coordinator in the cell's data centre is not suspected."""
        candidates = self._list_candidates(cell)
        return (
            bool(candidates)
            and candidates[0] in self._rankings[cell][:MAX_COORDINATORS]
        )

    def _index_engines(self) -> None:
        if self._shares is not None:
            self._shares.retain_cells(self.cells)
        self._cells_by_engine = {
            record.instance: cell
            for cells in self._cells.values()
            for cell, group in cells.items()
            for record in group
        }

    def _get_fresh_load(self, cell: Cell) -> float | None:
        load, measured_at = self._loads.get(cell, (0.0, -math.inf))
        return load if self._clock.now() - measured_at < LOAD_TTL_SECONDS else None

    def _select_spillover_cell(self, home: Cell) -> Cell | None:
        """
        Return the cell to which requests of an overloaded home cell spill over.

        Prefers cells in the home cell's data centre.  The choice depends on a hash of
        this gateway's id and of the current second.
        """
        others = [cell for cell in self._cells.get(home.service, {}) if cell != home]
        local_cells = [cell for cell in others if cell.data_centre == home.data_centre]
        # The choice changes every second, so that the loads of all cells become known.
        second = str(int(self._clock.now()))
        return max(
            local_cells or others,
            key=lambda cell: stable_hash(
                second, self._local_member.instance, cell.data_centre, str(cell.number)
            ),
            default=None,
        )

    def list_coordinators(self, cell: Cell, *, limit: int) -> list[str]:
        """
        Return the gateways to send a request of a cell to, in the order of preference.

        Skips suspected gateways.  The list ends with this gateway, as the fallback.

        Parameters
        ----------
        cell : Cell
        limit : int
            Maximum number of ranked gateways to return.
        """
        candidates = self._list_candidates(cell)[:limit]
        if self._local_member.instance in candidates:
            return [
                *candidates[: candidates.index(self._local_member.instance)],
                self._local_member.instance,
            ]
        return [*candidates, self._local_member.instance]

    def is_coordinator(self, cell: Cell) -> bool:
        """
        Return whether this gateway coordinates a cell for all gateways.

        Otherwise it may still do so for its own requests, or for a gateway that
        doesn't reach the first one.
        """
        return self._list_candidates(cell)[:1] == [self._local_member.instance]

    def is_candidate(self, cell: Cell, *, limit: int) -> bool:
        """
        Return whether this gateway is among the first ones that may coordinate a cell.

        Parameters
        ----------
        cell : Cell
        limit : int
            Number of ranked gateways, without the suspected ones.
        """
        return self._local_member.instance in self._list_candidates(cell)[:limit]

    def _list_candidates(self, cell: Cell) -> list[InstanceId]:
        """Return the ranked gateways of a cell that are not suspected."""
        self._refresh_members()
        ranked = self._rankings.get(cell)
        if ranked is None:
            members = (
                self._members - {self._local_member}
                if self._has_resigned
                else self._members
            )
            ranked = rank_members(cell, members)[:MAX_RANKED_MEMBERS]
            self._rankings[cell] = ranked
        return [name for name in ranked if name not in self._suspects]

    def suspect_gateway(self, name: str) -> bool:
        """Suspect an unresponsive gateway; returns whether it was not suspected yet."""
        if name in self._suspects:
            return False
        ping_at = self._clock.now() + MIN_PING_INTERVAL_SECONDS
        self._suspects[name] = (ping_at, MIN_PING_INTERVAL_SECONDS)
        return True

    def clear_suspicion(self, name: str) -> bool:
        """Stop suspecting a gateway; returns whether it was suspected."""
        return self._suspects.pop(name, None) is not None

    def collect_due_pings(self) -> list[str]:
        """Return the suspected gateways to ping now, and schedule their next pings."""
        now = self._clock.now()
        due_names: list[str] = []
        for name, (ping_at, interval) in list(self._suspects.items()):
            if now >= ping_at:
                interval = min(2 * interval, MAX_PING_INTERVAL_SECONDS)
                self._suspects[name] = (now + interval, interval)
                due_names.append(name)
        return due_names
