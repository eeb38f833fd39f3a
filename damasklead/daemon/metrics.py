"""
Metrics
=======

The Prometheus metrics of an entry, served at ``/metrics``.
"""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

__all__ = ["Metrics"]

LATENCY_BUCKETS_SECONDS = (
    0.005,
    0.02,
    0.05,
    0.1,
    0.2,
    0.34,
    0.5,
    1.0,
    2.0,
    5.0,
    15.0,
    60.0,
    300.0,
)


class Metrics:
    """The metrics of one entry, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "damasklead_requests",
            "Answers by class and outcome",
            ["class", "outcome"],
            registry=self.registry,
        )
        self.refusals = Counter(
            "damasklead_refusals",
            "Refusals by class and reason",
            ["class", "reason"],
            registry=self.registry,
        )
        self.on_time = Counter(
            "damasklead_on_time",
            "Whole answers within their targets",
            ["class"],
            registry=self.registry,
        )
        self.good_tokens = Counter(
            "damasklead_good_tokens",
            "Events of answers within their targets",
            ["class"],
            registry=self.registry,
        )
        self.wasted_tokens = Counter(
            "damasklead_wasted_tokens",
            "Events that no caller received whole",
            ["class"],
            registry=self.registry,
        )
        self.queue_wait = Histogram(
            "damasklead_queue_wait_seconds",
            "Seconds from arrival to the first start",
            ["class"],
            registry=self.registry,
            buckets=LATENCY_BUCKETS_SECONDS,
        )
        self.first_token = Histogram(
            "damasklead_first_token_seconds",
            "Seconds from arrival to the first event",
            ["class"],
            registry=self.registry,
            buckets=LATENCY_BUCKETS_SECONDS,
        )
        self.attempts = Counter(
            "damasklead_attempts",
            "Attempts by service and end",
            ["service", "end"],
            registry=self.registry,
        )
        self.configuration_version = Gauge(
            "damasklead_configuration_version",
            "The version in force",
            registry=self.registry,
        )
        self.platform_age = Gauge(
            "damasklead_platform_age_seconds",
            "Seconds since the platform last answered this entry",
            registry=self.registry,
        )
        self.limited_upstreams = Gauge(
            "damasklead_limited_replicas",
            "Replicas that name a limit on requests per second",
            registry=self.registry,
        )
        self.held_bytes = Gauge(
            "damasklead_held_bytes",
            "Bytes held for callers by kind",
            ["kind"],
            registry=self.registry,
        )
        self.callers_closed = Counter(
            "damasklead_callers_closed",
            "Connections of callers that the entry closed, by cause",
            ["cause"],
            registry=self.registry,
        )
        self.isolated = Gauge(
            "damasklead_isolated",
            "Whether the entry can connect to no upstream",
            registry=self.registry,
        )
        self.open_tunnels = Gauge(
            "damasklead_open_tunnels",
            "Connections to upstreams that other entries have open through this one",
            registry=self.registry,
        )
        self.tunnels_opened = Gauge(
            "damasklead_tunnels_opened",
            "Connections to upstreams that other entries have opened through this one",
            registry=self.registry,
        )
        self.peer_bytes = Counter(
            "damasklead_peer_bytes",
            "Bytes of messages between entries",
            ["direction"],
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)
