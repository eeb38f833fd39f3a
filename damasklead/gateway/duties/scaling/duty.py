"""
Duty of ordering replicas
=========================

Turns the decisions on replicas into calls of the platform's API.
"""

from collections.abc import Callable, Iterable

import gevent
import msgspec

from damasklead.clock import Clock
from damasklead.gateway.calls import UpstreamRecord, UpstreamState
from damasklead.gateway.duties.base import (
    ApiError,
    ApiFault,
    Authority,
    Duty,
    DutyName,
    PlatformApi,
)
from damasklead.gateway.duties.scaling.load_reports import LoadCollector
from damasklead.gateway.duties.scaling.metrics import ScalingMetrics
from damasklead.gateway.duties.scaling.mix import compute_price
from damasklead.gateway.duties.scaling.orders import ReplicaOrder
from damasklead.gateway.duties.scaling.planner import CentreReplicas, ScalingPlanner
from damasklead.gateway.journal import Journal
from damasklead.gateway.routing import RoutingTable, ServiceSpec
from damasklead.ids import DataCentre, ServiceName

__all__ = ["ScalingDuty", "count_replicas"]

# Age of the platform's list from which no decision is based on it.
MAX_LIST_AGE_SECONDS = 5.0
# Time for which the list must not have grown before the first orders: at the start of a
# deployment the replicas register one by one, and those that are listed last would be
# given up.
LIST_GROWTH_SECONDS = 2.0
# Maximum number of calls in one pass.  Passes follow each other after 0.25 s at least,
# and usage reports leave half of the 50 calls per second that the API accepts.
MAX_CALLS_PER_PASS = 6
# Latency target of a service that no route sends requests to.
DEFAULT_TARGET_SECONDS = 1.0


class _PlannerInput(msgspec.Struct, kw_only=True, frozen=True):
    """
    What a planner is made for; another one replaces it when this changes.

    Attributes
    ----------
    token : int
        Fencing token of the lease: another gateway may have ordered replicas between
        two leases of this one.
    service : ServiceSpec
    target : float
        Shortest latency target of the routes to the service.
    """

    token: int
    service: ServiceSpec
    target: float


class ScalingDuty(Duty):
    """
    Orders the replicas of all scaled services.

    Parameters
    ----------
    api : PlatformApi
    table : callable
        Returns the current configuration.
    list_records : callable
        Returns the entries of the platform's list of replicas.
    get_list_age : callable
        Returns the seconds since the store confirmed the list.
    collector : LoadCollector
        Collects the services' demand.
    clock : Clock
    journal : Journal
    metrics : ScalingMetrics
    """

    def __init__(
        self,
        *,
        api: PlatformApi,
        table: Callable[[], RoutingTable | None],
        list_records: Callable[[], Iterable[UpstreamRecord]],
        get_list_age: Callable[[], float],
        collector: LoadCollector,
        clock: Clock,
        journal: Journal,
        metrics: ScalingMetrics,
    ) -> None:
        self._api = api
        self._table = table
        self._list_records = list_records
        self._get_list_age = get_list_age
        self._collector = collector
        self._clock = clock
        self._journal = journal
        self._metrics = metrics
        self._planners: dict[ServiceName, tuple[_PlannerInput, ScalingPlanner]] = {}
        # Length of the list while it grows at the start, and when it last grew.
        self._listed_count = 0
        self._listed_at = clock.now()
        self._is_list_complete = False

    @property
    def name(self) -> DutyName:
        """The duty's name in the settings."""
        return DutyName.AUTOSCALE

    @property
    def state(self) -> dict[str, object]:
        """The state of each service for operators, as of this gateway's last lease."""
        return {
            name: {
                **planner.get_log_fields(),
                "groups": {
                    f"{group.data_centre}/{group.kind}": count
                    for group, count in planner.targets.items()
                },
            }
            for name, (_, planner) in self._planners.items()
        }

    def perform(self, authority: Authority) -> None:
        """
        Place the orders that are due, and wait for the API's answers.

        The calls of one pass, one for each data centre, are made at the same time.
        """
        self._watch_list()
        table = self._table()
        if (
            table is None
            or not self._is_list_complete
            or self._get_list_age() > MAX_LIST_AGE_SECONDS
            or not authority.may_act_for(self._api.timeout_seconds)
        ):
            return
        token = authority.identity.token
        services = [
            spec
            for spec in table.services.values()
            if spec.scaling is not None and spec.engine is not None
        ]
        self._retain_services({spec.name for spec in services})
        replicas = count_replicas(self._list_records())
        calls: list[gevent.Greenlet] = []
        for spec in services:
            planner = self._get_planner(spec, table, token)
            if planner is None:
                continue
            orders = planner.plan(replicas.get(spec.name, {}))
            for order in orders[: MAX_CALLS_PER_PASS - len(calls)]:
                planner.record_call(order)
                calls.append(
                    gevent.spawn(self._call, spec, planner, order, authority, token)
                )
            self._update_gauges(spec, planner)
        gevent.joinall(calls)

    def _watch_list(self) -> None:
        """Find out when the list has stopped growing after the start."""
        if self._is_list_complete:
            return
        count = sum(1 for _ in self._list_records())
        if count > self._listed_count:
            self._listed_count, self._listed_at = count, self._clock.now()
        elapsed = self._clock.now() - self._listed_at
        self._is_list_complete = count > 0 and elapsed >= LIST_GROWTH_SECONDS

    def _call(
        self,
        spec: ServiceSpec,
        planner: ScalingPlanner,
        order: ReplicaOrder,
        authority: Authority,
        token: int,
    ) -> None:
        """Make the call of one order and record its result."""
        started_at = self._clock.now()
        fault: ApiFault | None = None
        detail = ""
        identity = authority.identity
        try:
            if (
                not authority.may_act_for(self._api.timeout_seconds)
                or identity.token != token
            ):
                raise ApiError(ApiFault.REFUSED, "the lease is no longer held")
            self._api.order_replicas(
                spec.name,
                order.group.data_centre,
                count=order.count,
                preemptible=order.group.is_preemptible,
                identity=identity,
                may_send=lambda seconds: authority.may_send_as(identity, seconds),
            )
        except ApiError as error:
            fault, detail = error.fault, str(error)
        finally:
            planner.record_result(order, fault)
        outcome = "accepted" if fault is None else fault.value
        self._metrics.count_order(spec.name, outcome)
        self._journal.event(
            "replicas-ordered",
            service=spec.name,
            data_centre=order.group.data_centre,
            preemptible=order.group.is_preemptible,
            count=order.count,
            previous=order.previous,
            reason=order.reason.value,
            outcome=outcome,
            detail=detail,
            token=token,
            seconds=self._clock.now() - started_at,
            **planner.get_log_fields(),
        )

    def _get_planner(
        self, spec: ServiceSpec, table: RoutingTable, token: int
    ) -> ScalingPlanner | None:
        if spec.scaling is None or spec.engine is None:
            return None
        target = min(
            (route.target for route in table.find_routes(spec.name)),
            default=DEFAULT_TARGET_SECONDS,
        )
        planner_input = _PlannerInput(token=token, service=spec, target=target)
        known = self._planners.get(spec.name)
        if known is not None and known[0] == planner_input:
            return known[1]
        planner = ScalingPlanner(
            spec=spec.scaling,
            engine=spec.engine,
            strictest_target=target,
            history=self._collector.get_history(spec.name),
            clock=self._clock,
        )
        self._planners[spec.name] = (planner_input, planner)
        return planner

    def _retain_services(self, services: set[ServiceName]) -> None:
        self._collector.retain_services(services)
        for name in self._planners.keys() - services:
            del self._planners[name]

    def _update_gauges(self, spec: ServiceSpec, planner: ScalingPlanner) -> None:
        if spec.scaling is not None:
            self._metrics.set_replicas(
                spec.name,
                needed=planner.needed,
                price=compute_price(planner.targets, spec.scaling),
                ordered=planner.targets,
            )


def count_replicas(
    records: Iterable[UpstreamRecord],
) -> dict[ServiceName, dict[DataCentre, CentreReplicas]]:
    """Return the numbers of replicas by service and data centre."""
    counts: dict[ServiceName, dict[DataCentre, CentreReplicas]] = {}
    for record in records:
        centres = counts.setdefault(record.service, {})
        item = centres.get(record.data_centre, CentreReplicas())
        if record.state is UpstreamState.LIVE:
            field = "preemptible" if record.is_preemptible else "ordinary"
        elif record.is_preemptible:
            field = "leaving_preemptible"
        else:
            continue
        centres[record.data_centre] = msgspec.structs.replace(
            item, **{field: getattr(item, field) + 1}
        )
    return counts
