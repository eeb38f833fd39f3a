"""
Coordinators
============

Carries out this gateway's part as a coordinator: hands messages to the coordinators of
its cells and sends their answers.
"""

from collections.abc import Callable

from damasklead.clock import Clock
from damasklead.gateway.coordination.cellmap import CellMap
from damasklead.gateway.coordination.cells import Cell
from damasklead.gateway.coordination.coordinator import Coordinator, Reply
from damasklead.gateway.coordination.messages import (
    Answer,
    Ask,
    Ended,
    Read,
    Refused,
    Running,
)
from damasklead.gateway.placements import EnginePlacement, Placement
from damasklead.gateway.routing import RoutingTable

__all__ = ["Coordinators"]


class Coordinators:
    """
    The coordinators of one gateway, made when the first request asks for them.

    Parameters
    ----------
    clock : Clock
    cells : CellMap
    table : callable
        Returns the configuration in force.
    answer : callable
        Sends an answer to a gateway, which may be this one.
    placement : type
        Chooses among a cell's engines.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        cells: CellMap,
        table: Callable[[], RoutingTable | None],
        answer: Callable[[str, Answer], None],
        placement: type[Placement] = EnginePlacement,
    ) -> None:
        self._placement = placement
        self._clock = clock
        self._cells = cells
        self._table = table
        self._answer = answer
        self._coordinators: dict[Cell, Coordinator] = {}

    @property
    def waiting(self) -> bool:
        """Whether a request waits at a coordinator."""
        return any(item.waiting for item in self._coordinators.values())

    @property
    def state(self) -> dict[str, object]:
        """What operators are shown."""
        return {
            f"{cell.service}/{cell.data_centre}/{cell.number}": item.requests
            for cell, item in self._coordinators.items()
        }

    def arrange(self) -> None:
        """Take in the configuration and the engines in force."""
        table = self._table()
        for cell, coordinator in list(self._coordinators.items()):
            spec = None if table is None else table.services.get(cell.service)
            if table is None or spec is None or coordinator.idle:
                del self._coordinators[cell]
                continue
            coordinator.configure(spec, table.routes_to(cell.service))
            coordinator.retain(self._cells.engines(cell))

    def take(self, message: Ask | Read | Ended | Running) -> None:
        """Take in a gateway's message."""
        coordinator = self._coordinators.get(message.cell)
        if coordinator is None and isinstance(message, (Ask, Running)):
            coordinator = self._open(message.cell)
        if isinstance(message, Ask):
            if coordinator is None:
                self._answer(message.asker, Refused(message.attempt, None, 0.0))
            else:
                self._send(coordinator.ask(message))
        elif coordinator is not None:
            if isinstance(message, Read):
                coordinator.read(message)
            elif isinstance(message, Ended):
                coordinator.ended(message)
            else:
                coordinator.running(message)

    def tick(self) -> None:
        """Let the coordinators decide about what waits."""
        for coordinator in list(self._coordinators.values()):
            self._send(coordinator.tick())

    def _open(self, cell: Cell) -> Coordinator | None:
        table = self._table()
        spec = None if table is None else table.services.get(cell.service)
        engines = self._cells.engines(cell)
        if table is None or spec is None or spec.engine is None or not engines:
            return None
        coordinator = self._coordinators[cell] = Coordinator(
            cell=cell,
            clock=self._clock,
            service=spec,
            routes=table.routes_to(cell.service),
            placement=self._placement,
        )
        coordinator.retain(engines)
        return coordinator

    def _send(self, replies: list[Reply]) -> None:
        for reply in replies:
            self._answer(reply.to, reply.answer)
