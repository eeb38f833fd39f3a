"""
Coordinators
============

Runs the coordinators of this gateway: dispatches messages to them by cell and sends
their responses.
"""

from collections.abc import Callable

from damasklead.clock import Clock
from damasklead.gateway.coordination.cellmap import CellMap
from damasklead.gateway.coordination.cells import Cell
from damasklead.gateway.coordination.coordinator import (
    AddressedResponse,
    Coordinator,
    CoordinatorLoad,
)
from damasklead.gateway.coordination.messages import (
    AssignmentRequest,
    AssignmentResponse,
    PrefillDone,
    RequestEnded,
    RequestRejected,
    RunningRequests,
)
from damasklead.gateway.placements import EnginePlacement, Placement
from damasklead.gateway.routing import RoutingTable
from damasklead.rate_limits import RateLimits

__all__ = ["Coordinators"]

# Number of ranked gateways that report on a cell without requests.  A gateway that was
# killed is suspected only when requests reach it, and listed for a minute.
IDLE_REPORTERS = 3


class Coordinators:
    """
    The coordinators of one gateway, each created by the first message for its cell.

    Parameters
    ----------
    clock : Clock
    cells : CellMap
    table : callable
        Returns the current configuration.
    send_response : callable
        Sends a response to a gateway, which may be this one.
    placement : type
        The placement that chooses among a cell's engines.
    rate_limits : RateLimits
        The limits that engines name in their responses.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        cells: CellMap,
        table: Callable[[], RoutingTable | None],
        send_response: Callable[[str, AssignmentResponse], None],
        placement: type[Placement] = EnginePlacement,
        rate_limits: RateLimits,
    ) -> None:
        self._placement = placement
        self._rate_limits = rate_limits
        self._clock = clock
        self._cells = cells
        self._table = table
        self._send_response = send_response
        self._coordinators: dict[Cell, Coordinator] = {}

    @property
    def has_queued(self) -> bool:
        """Whether a coordinator has queued requests."""
        return any(item.queue_length for item in self._coordinators.values())

    @property
    def interleaved_requests(self) -> int:
        """
        Number of requests that the present coordinators have assigned to engines
        reserved for more urgent ones.
        """
        return sum(item.interleaved_requests for item in self._coordinators.values())

    @property
    def state(self) -> dict[str, object]:
        """Number of requests of each cell, for operators."""
        return {
            f"{cell.service}/{cell.data_centre}/{cell.number}": item.request_count
            for cell, item in self._coordinators.items()
        }

    def take_loads(self) -> dict[Cell, CoordinatorLoad]:
        """
        Return the loads of the cells of scaled services since the last call.

        They include cells without requests that this gateway may coordinate, so that no
        demand differs from no report.
        """
        table = self._table()
        if table is None:
            return {}
        scaled = {
            name for name, spec in table.services.items() if spec.scaling is not None
        }
        loads = {
            cell: CoordinatorLoad()
            for cell in self._cells.cells
            if cell.service in scaled
            and self._cells.is_candidate(cell, limit=IDLE_REPORTERS)
        }
        return loads | {
            cell: coordinator.take_load()
            for cell, coordinator in self._coordinators.items()
            if cell.service in scaled
        }

    def apply_configuration(self) -> None:
        """Apply the current configuration and engines; remove idle coordinators."""
        table = self._table()
        for cell, coordinator in list(self._coordinators.items()):
            spec = None if table is None else table.services.get(cell.service)
            if table is None or spec is None or coordinator.is_idle:
                del self._coordinators[cell]
                continue
            coordinator.configure(spec, table.find_routes(cell.service))
            coordinator.set_engines(self._cells.get_engines(cell))

    def handle_message(
        self, message: AssignmentRequest | PrefillDone | RequestEnded | RunningRequests
    ) -> None:
        """Pass a gateway's message to the coordinator of its cell."""
        coordinator = self._coordinators.get(message.cell)
        if coordinator is None and isinstance(
            message, (AssignmentRequest, RunningRequests)
        ):
            coordinator = self._create_coordinator(message.cell)
        if isinstance(message, AssignmentRequest):
            if coordinator is None:
                self._send_response(
                    message.requester, RequestRejected(message.attempt, None, 0.0)
                )
            else:
                self._send_responses(coordinator.handle_assignment_request(message))
        elif coordinator is not None:
            if isinstance(message, PrefillDone):
                coordinator.handle_prefill_done(message)
            elif isinstance(message, RequestEnded):
                coordinator.handle_request_ended(message)
            else:
                coordinator.handle_running_requests(message)

    def process_queues(self) -> None:
        """Let each coordinator decide on its queued requests."""
        for coordinator in list(self._coordinators.values()):
            self._send_responses(coordinator.process_queue())

    def _create_coordinator(self, cell: Cell) -> Coordinator | None:
        table = self._table()
        spec = None if table is None else table.services.get(cell.service)
        engines = self._cells.get_engines(cell)
        if table is None or spec is None or spec.engine is None or not engines:
            return None
        coordinator = self._coordinators[cell] = Coordinator(
            cell=cell,
            clock=self._clock,
            service=spec,
            routes=table.find_routes(cell.service),
            placement=self._placement,
            rate_limits=self._rate_limits,
            is_in_charge=lambda: self._cells.is_coordinator(cell),
        )
        coordinator.set_engines(engines)
        return coordinator

    def _send_responses(self, responses: list[AddressedResponse]) -> None:
        for response in responses:
            self._send_response(response.recipient, response.response)
