"""
Gateway metrics
===============

Prometheus metrics of a gateway, exposed at ``/metrics``.
"""

import math
from collections.abc import Callable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from damasklead.gateway.calls import Call
from damasklead.gateway.catch_up_schedule import FetchOutcome
from damasklead.gateway.coordination.remote_share import RemoteReason
from damasklead.gateway.duties.service import Duties
from damasklead.gateway.refusals import Refusal
from damasklead.gateway.verdict import RetryDenial
from damasklead.ids import DataCentre
from damasklead.unframed_ends import EndDoubt

__all__ = ["GatewayMetrics"]

FIRST_BYTE_BUCKETS_SECONDS = (0.02, 0.05, 0.125, 0.25, 0.5, 1.0, 1.5, 3.0, 5.0, 15.0)


class GatewayMetrics:
    """The metrics of one gateway, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._responses = Counter(
            "damasklead_answers",
            "Answers of replicas by service, route kind and status",
            ["service", "kind", "status"],
            registry=self.registry,
        )
        self._refusals = Counter(
            "damasklead_own_answers",
            "Answers of the gateway's own by service and reason",
            ["service", "reason"],
            registry=self.registry,
        )
        self._cut_responses = Counter(
            "damasklead_cut_answers",
            "Answers that the gateway ended after their head was sent, by reason",
            ["service", "reason"],
            registry=self.registry,
        )
        self._retry_denials = Counter(
            "damasklead_retries_denied",
            "Failed attempts after which no other one could follow, by cause",
            ["service", "cause"],
            registry=self.registry,
        )
        self._unframed_ends = Counter(
            "damasklead_unframed_ends",
            "Ends of answers without a length, by what is in doubt; empty: complete",
            ["doubt"],
            registry=self.registry,
        )
        self._rejections = Counter(
            "damasklead_rejected_requests",
            "Requests that were rejected before they were read to their end, by status",
            ["status"],
            registry=self.registry,
        )
        self._catch_ups = Counter(
            "damasklead_catch_ups",
            "Snapshots fetched from other gateways to catch up, by outcome",
            ["outcome"],
            registry=self.registry,
        )
        self._disconnects = Counter(
            "damasklead_callers_gone",
            "Requests whose caller left before the answer's end",
            ["service"],
            registry=self.registry,
        )
        self._callers_closed = Counter(
            "damasklead_callers_closed",
            "Connections of slow or idle callers closed or refused, by cause",
            ["cause"],
            registry=self.registry,
        )
        self._unread_closes = Counter(
            "damasklead_callers_closed_unread",
            "Connections of callers closed with bytes that were not read",
            registry=self.registry,
        )
        self.held_bytes = Gauge(
            "damasklead_held_bytes",
            "Bytes held for callers, by kind",
            ["kind"],
            registry=self.registry,
        )
        self.held_bytes_limit = Gauge(
            "damasklead_held_bytes_limit",
            "Limit of the bytes held for callers",
            registry=self.registry,
        )
        self.open_connections = Gauge(
            "damasklead_open_connections",
            "Open connections, from callers and to replicas",
            ["side"],
            registry=self.registry,
        )
        self._first_byte = Histogram(
            "damasklead_first_byte_seconds",
            "Seconds from a request's head to its answer's first byte",
            ["service", "kind"],
            registry=self.registry,
            buckets=FIRST_BYTE_BUCKETS_SECONDS,
        )
        self._remote_requests = Counter(
            "damasklead_remote_requests",
            "Requests sent to another data centre by reason",
            ["service", "source", "target", "reason"],
            registry=self.registry,
        )
        self._remote_bytes = Counter(
            "damasklead_remote_body_bytes",
            "Bytes of bodies of requests sent to another data centre by reason",
            ["service", "source", "target", "reason"],
            registry=self.registry,
        )
        self.configuration_version = Gauge(
            "damasklead_configuration_version",
            "The version in force",
            registry=self.registry,
        )
        self.feed_age = Gauge(
            "damasklead_feed_age_seconds",
            "Seconds since a list of the platform was last read",
            ["feed"],
            registry=self.registry,
        )
        self.replicas = Gauge(
            "damasklead_replicas",
            "Replicas that may take new work",
            ["service"],
            registry=self.registry,
        )
        self.active_requests = Gauge(
            "damasklead_active_requests",
            "Requests that are being answered",
            registry=self.registry,
        )
        self.waiting_requests = Gauge(
            "damasklead_waiting_requests",
            "Requests that wait for an engine with room",
            registry=self.registry,
        )
        self.store_restores = Gauge(
            "damasklead_store_restores",
            "Times the platform's store came back from an older copy",
            registry=self.registry,
        )
        self.connections_opened = Gauge(
            "damasklead_upstream_connections_opened",
            "Connections to replicas opened since the start",
            registry=self.registry,
        )
        self.isolated = Gauge(
            "damasklead_isolated",
            "Whether this gateway can open connections to no replica",
            registry=self.registry,
        )
        self.open_tunnels = Gauge(
            "damasklead_open_tunnels",
            "Open connections to replicas that serve other gateways",
            registry=self.registry,
        )
        self.tunnels_opened = Gauge(
            "damasklead_tunnels_opened",
            "Connections to replicas opened for other gateways since the start",
            registry=self.registry,
        )
        self.limited_replicas = Gauge(
            "damasklead_limited_replicas",
            "Replicas that name a limit on requests per second",
            registry=self.registry,
        )
        self.brittle_replicas = Gauge(
            "damasklead_brittle_replicas",
            "Replicas that crash if they reject more requests a second than they name",
            registry=self.registry,
        )
        self.interleaved_requests = Gauge(
            "damasklead_interleaved_requests",
            "Requests that coordinators here put on engines of more urgent streams",
            registry=self.registry,
        )
        self.slowest_replica = Gauge(
            "damasklead_slowest_replica_factor",
            "How much longer work takes at the slowest replica than usual",
            registry=self.registry,
        )
        self.load_figures_dropped = Gauge(
            "damasklead_load_figures_dropped",
            "Invalid figures of replicas' loads since the start",
            registry=self.registry,
        )
        self.crash_causes = Gauge(
            "damasklead_crash_causes",
            "Requests and prompt parts that are refused since they crash replicas",
            registry=self.registry,
        )
        self.log_lines_dropped = Gauge(
            "damasklead_log_lines_dropped",
            "Log lines dropped since the start",
            registry=self.registry,
        )

    def add_duties(self, duties: Duties) -> None:
        """Add the metrics of duties, which only some deployments have."""
        statistics = duties.statistics

        def get_call_age() -> float:
            called_at = statistics.last_call_at
            return math.nan if called_at is None else duties.get_age(called_at)

        values: dict[str, tuple[str, Callable[[], float]]] = {
            "damasklead_duties_holder": (
                "Whether this gateway holds the lease of the duties",
                lambda: float(duties.is_holder),
            ),
            "damasklead_duties_token": (
                "Fencing token of the last holder that was announced",
                lambda: float(duties.directory.token),
            ),
            "damasklead_duties_silence_seconds": (
                "Seconds since the holder was heard",
                lambda: duties.directory.silence_seconds,
            ),
            "damasklead_duties_clock_error_seconds": (
                "Seconds by which the wall clock is ahead of the estimated true time",
                lambda: duties.true_time.clock_error,
            ),
            "damasklead_duties_last_call_seconds": (
                "Seconds since this gateway's last call of the platform's API",
                get_call_age,
            ),
            "damasklead_usage_lateness_seconds": (
                "Seconds from the end of the last reported window to its report",
                lambda: statistics.last_lateness,
            ),
            "damasklead_usage_unsent_windows": (
                "Closed windows that are not reported yet",
                lambda: float(duties.unsent_count),
            ),
            "damasklead_usage_sent_windows": (
                "Windows reported by this gateway since its start",
                lambda: float(statistics.sent),
            ),
            "damasklead_usage_late_windows": (
                "Windows reported by this gateway when they were overdue",
                lambda: float(statistics.late),
            ),
            "damasklead_usage_missed_windows": (
                "Windows that this gateway has given up as the holder",
                lambda: float(statistics.missed),
            ),
        }
        for name, (text, function) in values.items():
            Gauge(name, text, registry=self.registry).set_function(function)

    def count_response(
        self, call: Call, status: int, first_byte_seconds: float
    ) -> None:
        """
        Count a response that a replica gave.

        Parameters
        ----------
        call : Call
        status : int
            HTTP status that was sent to the caller.
        first_byte_seconds : float
            Seconds from the request's head to the first byte of the response.
        """
        kind = call.route.kind.value
        self._responses.labels(call.service, kind, str(status)).inc()
        self._first_byte.labels(call.service, kind).observe(first_byte_seconds)

    def count_refusal(self, call: Call | None, refusal: Refusal) -> None:
        """Count a refusal by the gateway; ``call`` is ``None`` without a route."""
        service = "none" if call is None else call.service
        self._refusals.labels(service, refusal.reason.value).inc()

    def count_cut_response(self, call: Call, refusal: Refusal) -> None:
        """Count a response that the gateway ended after its head was sent."""
        self._cut_responses.labels(call.service, refusal.reason.value).inc()

    def count_retry_denial(self, call: Call, denial: RetryDenial) -> None:
        """Count a failed attempt after which no other one could follow."""
        self._retry_denials.labels(call.service, denial.value).inc()

    def count_unframed_end(self, doubt: EndDoubt | None) -> None:
        """Count the end of a response without a length."""
        self._unframed_ends.labels("" if doubt is None else doubt.value).inc()

    def count_unread_close(self) -> None:
        """Count a caller's connection that was closed with bytes unread."""
        self._unread_closes.inc()

    def count_rejection(self, status: int) -> None:
        """Count a request that was rejected before it was read to its end."""
        self._rejections.labels(str(status)).inc()

    def count_catch_up(self, outcome: FetchOutcome) -> None:
        """Count a fetch of a snapshot from another gateway."""
        self._catch_ups.labels(outcome.value).inc()

    def count_disconnect(self, call: Call) -> None:
        """Count a request whose caller disconnected before the response's end."""
        self._disconnects.labels(call.service).inc()

    def count_remote(
        self,
        call: Call,
        source: DataCentre,
        target: DataCentre,
        reason: RemoteReason,
    ) -> None:
        """Count a request that is sent to another data centre."""
        labels = (call.service, source, target, reason.value)
        self._remote_requests.labels(*labels).inc()
        self._remote_bytes.labels(*labels).inc(len(call.body))

    def count_closed_caller(self, cause: str) -> None:
        """Count a connection that was closed since its caller was slow or idle."""
        self._callers_closed.labels(cause).inc()

    def render(self) -> bytes:
        """Return the metrics in Prometheus' text exposition format."""
        return generate_latest(self.registry)
