"""
Tests of a gateway process with slow callers
============================================

Guard against a gateway that grows beyond its instance's memory or descriptors, exits or
hangs while callers read long responses slowly or not at all.
"""

import fcntl
import tempfile
from collections.abc import Iterator
from pathlib import Path

import pytest
from gevent import socket

from tests.gateway_kit import make_request, read_all, wait_until
from tests.platform_standin import make_configuration
from tests.slow_callers import (
    LARGE_BODY_BYTES,
    VARIANTS,
    Crowd,
    Variant,
    count_descriptors,
    limit_socket_buffers,
    read_peak_memory,
    sample_peak,
    serve_forms,
)
from tests.test_gateway_process import Site

# Memory of the instance; a gateway without callers holds some 40 MB.
MEMORY_MEGABYTES = 64
MAX_DESCRIPTORS = 1_638
# Descriptors of the lowered limit, and of these the ones that are reserved for files.
FEW_DESCRIPTORS = 400
RESERVED_DESCRIPTORS = 200
# A crowd is observed for this long; all of its callers have connected after 1 s.
CROWD_SECONDS = 6.0


class CrowdSite(Site):
    """A site whose replicas send long responses; only one runs at a time."""

    def __init__(self, folder: Path) -> None:
        lock_path = Path(tempfile.gettempdir()) / "damasklead-slow-callers.lock"
        self._lock = lock_path.open("w")
        fcntl.flock(self._lock, fcntl.LOCK_EX)
        super().__init__(folder, serve=serve_forms)
        for replica in self.replicas:
            limit_socket_buffers(replica)

    @property
    def pid(self) -> int:
        """Process id of the gateway."""
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the gateway process has not ended."""
        return self._process is not None and self._process.poll() is None

    def start_limited(self, *, max_descriptors: int = MAX_DESCRIPTORS) -> None:
        """Start the gateway with the limits of a small instance."""
        self.write_settings(
            memory_megabytes=MEMORY_MEGABYTES, max_descriptors=max_descriptors
        )
        configuration = make_configuration(1, timeout=60_000)
        for route in configuration["routes"]:
            route["timeout_ms"] = 60_000
        for service in configuration["services"]:
            service["max_connections"] = 2_000
        self.populate_store()
        self.store.write_row("op", "config", configuration)
        self.start()
        wait_until(self.is_ready, seconds=15)

    def start_crowd(self, variant: Variant, *, callers: int | None = None) -> Crowd:
        """Start the callers of a variant."""
        return Crowd(variant, self.get_port("callers"), callers=callers)

    def serves_ordinary_caller(self) -> bool:
        """Return whether an ordinary request is answered; tried once."""
        response = self.post_order("ordinary", "/order/ordinary")
        return response.startswith(b"HTTP/1.1 200") and response.endswith(b"ordinary")

    def close(self) -> None:
        super().close()
        self._lock.close()


@pytest.fixture
def site(tmp_path: Path) -> Iterator[CrowdSite]:
    created_site = CrowdSite(tmp_path)
    yield created_site
    created_site.close()


@pytest.mark.parametrize("variant", VARIANTS, ids=lambda variant: variant.name)
def test_slow_callers_neither_exhaust_memory_nor_shut_out_others(
    site: CrowdSite, variant: Variant
) -> None:
    site.start_limited()
    crowd = site.start_crowd(variant)
    try:
        peak_descriptors = sample_peak(
            lambda: count_descriptors(site.pid), seconds=CROWD_SECONDS
        )
        wait_until(site.serves_ordinary_caller, seconds=20)
        assert site.is_running
        assert read_peak_memory(site.pid) <= MEMORY_MEGABYTES * 1_000_000
        assert peak_descriptors <= MAX_DESCRIPTORS - RESERVED_DESCRIPTORS
    finally:
        crowd.stop()


def test_idle_and_slow_callers_leave_descriptors_for_upstreams_and_others(
    site: CrowdSite,
) -> None:
    site.start_limited(max_descriptors=FEW_DESCRIPTORS)
    variant = next(item for item in VARIANTS if item.name == "small-events-trickle")
    idle = Variant(name="idle", form="/order/ordinary", callers=150, requests=0)
    crowds = [
        site.start_crowd(idle),
        site.start_crowd(variant, callers=150),
    ]
    try:
        peak_descriptors = sample_peak(
            lambda: count_descriptors(site.pid), seconds=CROWD_SECONDS
        )
        wait_until(site.serves_ordinary_caller, seconds=20)
        assert site.is_running
        assert peak_descriptors <= FEW_DESCRIPTORS - RESERVED_DESCRIPTORS
    finally:
        for crowd in crowds:
            crowd.stop()


@pytest.mark.parametrize("form", ["/order/large", "/order/large-chunked"])
def test_a_large_response_is_whole_when_nothing_else_runs(
    site: CrowdSite, form: str
) -> None:
    """Guards against a limit that refuses one response within the published limits."""
    site.start_limited()
    request = make_request(form, method="POST", body="x", close=True)
    with socket.create_connection(("127.0.0.1", site.get_port("callers"))) as caller:
        caller.sendall(request)
        response = read_all(caller)
    head, _, body = response.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert body.count(b"l") == LARGE_BODY_BYTES
    assert read_peak_memory(site.pid) <= MEMORY_MEGABYTES * 1_000_000
