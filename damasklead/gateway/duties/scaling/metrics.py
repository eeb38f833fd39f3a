"""
Metrics of scaling
==================

Prometheus metrics of the gateway that orders replicas.
"""

from prometheus_client import CollectorRegistry, Counter, Gauge

from damasklead.gateway.duties.scaling.mix import ReplicaGroup
from damasklead.ids import ServiceName

__all__ = ["ScalingMetrics"]


class ScalingMetrics:
    """
    The metrics of scaling, which only some deployments have.

    Parameters
    ----------
    registry : CollectorRegistry
    """

    def __init__(self, *, registry: CollectorRegistry) -> None:
        self._needed = Gauge(
            "damasklead_needed_replicas",
            "Replicas that the demand needs, at the gateway that orders them",
            ["service"],
            registry=registry,
        )
        self._ordered = Gauge(
            "damasklead_ordered_replicas",
            "Replicas ordered last",
            ["service", "data_centre", "kind"],
            registry=registry,
        )
        self._price = Gauge(
            "damasklead_replica_price",
            "Price of the ordered replicas for a second",
            ["service"],
            registry=registry,
        )
        self._orders = Counter(
            "damasklead_replica_orders",
            "Calls that order replicas by service and outcome",
            ["service", "outcome"],
            registry=registry,
        )

    def count_order(self, service: ServiceName, outcome: str) -> None:
        """Count a call that orders replicas."""
        self._orders.labels(service, outcome).inc()

    def set_replicas(
        self,
        service: ServiceName,
        *,
        needed: int,
        price: float,
        ordered: dict[ReplicaGroup, int],
    ) -> None:
        """Set the numbers of a service's replicas and their price for a second."""
        self._needed.labels(service).set(needed)
        self._price.labels(service).set(price)
        for group, count in ordered.items():
            self._ordered.labels(service, group.data_centre, group.kind).set(count)
