"""
Scaling of a gateway
====================

Connects the load reports, the duty of ordering replicas and a gateway.
"""

from collections.abc import Callable

from prometheus_client import CollectorRegistry

from damasklead.clock import Clock
from damasklead.gateway.coordination.coordinators import Coordinators
from damasklead.gateway.directory import UpstreamDirectory
from damasklead.gateway.duties.scaling.duty import ScalingDuty
from damasklead.gateway.duties.scaling.load_reports import LoadCollector, LoadReporter
from damasklead.gateway.duties.scaling.metrics import ScalingMetrics
from damasklead.gateway.duties.service import Duties
from damasklead.gateway.journal import Journal
from damasklead.gateway.routing import RoutingTable
from damasklead.supervision import Child, TaskChild

__all__ = ["Scaling"]


class Scaling:
    """
    The scaling of services, as far as one gateway takes part in it.

    Parameters
    ----------
    duties : Duties
        The duty of ordering replicas is registered there.
    table : callable
        Returns the current configuration.
    directory : UpstreamDirectory
        The known replicas.
    get_list_age : callable
        Returns the seconds since the store confirmed the list of replicas.
    coordinators : Coordinators
    clock : Clock
    journal : Journal
    registry : CollectorRegistry
        Registry of the gateway's metrics.
    """

    def __init__(
        self,
        *,
        duties: Duties,
        table: Callable[[], RoutingTable | None],
        directory: UpstreamDirectory,
        get_list_age: Callable[[], float],
        coordinators: Coordinators,
        clock: Clock,
        journal: Journal,
        registry: CollectorRegistry,
    ) -> None:
        self._reporter = LoadReporter(
            coordinators=coordinators, send=duties.directory.send
        )
        self._duty = ScalingDuty(
            api=duties.api,
            table=table,
            list_records=lambda: [
                row.record for row in directory.list_rows() if row.record is not None
            ],
            get_list_age=get_list_age,
            collector=LoadCollector(directory=duties.directory, clock=clock),
            clock=clock,
            journal=journal,
            metrics=ScalingMetrics(registry=registry),
        )
        duties.register(self._duty)

    @property
    def state(self) -> dict[str, object]:
        """The state for operators."""
        return self._duty.state

    def create_tasks(self) -> list[Child]:
        """Return the tasks to supervise."""
        return [TaskChild(name="load-reports", function=self._reporter.run)]
