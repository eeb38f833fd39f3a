"""
Load reports
============

The reports of the loads of cells: their sender in each gateway, and their collector in
the holder of the duties and its deputy.
"""

from collections.abc import Callable

import gevent

from damasklead.clock import Clock
from damasklead.gateway.coordination.cells import Cell
from damasklead.gateway.coordination.coordinators import Coordinators
from damasklead.gateway.duties.announcements import HolderDirectory
from damasklead.gateway.duties.scaling.demand import Demand, DemandHistory
from damasklead.gateway.duties.scaling.messages import CellLoad
from damasklead.ids import ServiceName

__all__ = ["LoadCollector", "LoadReporter"]

REPORT_INTERVAL_SECONDS = 1.0
# Shortest time that a rate is computed over; a cell's coordinator may be new.
MIN_RATE_SECONDS = 0.5
# Age up to which the reports of several gateways on one cell are added up.  When a cell
# gets another coordinator, the last report of the former one must not count for long.
SHARED_REPORT_SECONDS = 1.5
# Age from which a report no longer counts: three lost ones.
MAX_REPORT_AGE_SECONDS = 3.0
# Maximum number of reports and of services that are kept, and of any number in a
# report; anybody may send datagrams.
MAX_REPORTS = 5_000
MAX_SERVICES = 1_000
MAX_VALUE = 1e12


class LoadReporter:
    """
    Sends the loads of this gateway's cells to the holder of the duties and its deputy.

    Parameters
    ----------
    coordinators : Coordinators
    send : callable
        Sends a message to the holder and its deputy.
    """

    def __init__(
        self, *, coordinators: Coordinators, send: Callable[[object], None]
    ) -> None:
        self._coordinators = coordinators
        self._send = send

    def run(self) -> None:
        """Send a report about every second, forever."""
        while True:
            gevent.sleep(REPORT_INTERVAL_SECONDS)
            self.send_reports()

    def send_reports(self) -> None:
        """Send one report for each cell of a scaled service."""
        for cell, load in self._coordinators.take_loads().items():
            seconds = max(load.seconds, MIN_RATE_SECONDS)
            self._send(
                CellLoad(
                    cell,
                    load.running,
                    load.queued,
                    load.arrivals / seconds,
                    load.refusals / seconds,
                    load.prefill_tokens / seconds,
                    load.backlog,
                    load.shared_tokens,
                )
            )


class LoadCollector:
    """
    Collects the loads of cells that gateways report to this one.

    Parameters
    ----------
    directory : HolderDirectory
    clock : Clock
    """

    def __init__(self, *, directory: HolderDirectory, clock: Clock) -> None:
        self._clock = clock
        self._reports: dict[tuple[Cell, str], tuple[float, CellLoad]] = {}
        self._histories: dict[ServiceName, DemandHistory] = {}
        directory.register_handler(CellLoad, self.handle_report)

    def get_history(self, service: ServiceName) -> DemandHistory:
        """Return the demand of a service."""
        history = self._histories.get(service)
        if history is None:
            history = self._histories[service] = DemandHistory(clock=self._clock)
        return history

    def retain_services(self, services: set[ServiceName]) -> None:
        """Remove what is known of all services but these."""
        for name in self._histories.keys() - services:
            del self._histories[name]

    def handle_report(self, report: CellLoad, sender: str) -> None:
        """Record a report, and the demand of its service if a sample is due."""
        if not _is_valid(report):
            return
        now = self._clock.now()
        self._reports = {
            key: item
            for key, item in self._reports.items()
            if now - item[0] <= MAX_REPORT_AGE_SECONDS
        }
        is_known = report.cell.service in self._histories
        if len(self._reports) >= MAX_REPORTS or (
            not is_known and len(self._histories) >= MAX_SERVICES
        ):
            return
        self._reports[report.cell, sender] = (now, report)
        history = self.get_history(report.cell.service)
        if history.is_sample_due:
            history.record(self._sum_demand(report.cell.service, now))

    def _sum_demand(self, service: ServiceName, now: float) -> Demand:
        by_cell: dict[Cell, list[tuple[float, CellLoad]]] = {}
        for (cell, _), item in self._reports.items():
            if cell.service == service:
                by_cell.setdefault(cell, []).append(item)
        loads: list[CellLoad] = []
        backlogs: list[float] = []
        for items in by_cell.values():
            newest = max(items, key=lambda item: item[0])
            counted = [
                load
                for received_at, load in items
                if now - received_at <= SHARED_REPORT_SECONDS or load is newest[1]
            ]
            loads += counted
            # Gateways without requests of the cell report zeros.
            backlogs.append(max(load.backlog for load in counted))
        return Demand(
            running=sum(load.running for load in loads),
            queued=sum(load.queued for load in loads),
            arrivals=sum(load.arrivals for load in loads),
            refusals=sum(load.refusals for load in loads),
            prefill_tokens=sum(load.prefill_tokens for load in loads),
            backlog=sum(backlogs) / len(backlogs),
            shared_tokens=sum(load.shared_tokens for load in loads),
        )


def _is_valid(report: CellLoad) -> bool:
    """Return whether all numbers are finite and not negative."""
    values = (
        report.running,
        report.queued,
        report.arrivals,
        report.refusals,
        report.prefill_tokens,
        report.backlog,
        report.shared_tokens,
    )
    # Comparisons with NaN are false.
    return all(0 <= value <= MAX_VALUE for value in values)
