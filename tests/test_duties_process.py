"""
Tests of duties with real processes
===================================

Gateway processes share stand-ins of the store and of the platform's API.
"""

import json
import signal
from collections.abc import Iterator
from pathlib import Path

import gevent
import pytest

from damasklead.cmdline import main
from tests.api_standin import ApiStandin
from tests.gateway_kit import wait_until
from tests.test_gateway_process import Site

HANDOVER_SECONDS = 0.5


class DutyFleet:
    """Gateway processes that share one store and one API."""

    def __init__(self, folder: Path, *, count: int, duties: list[str]) -> None:
        self.api = ApiStandin()
        self.sites: list[Site] = []
        for number in range(1, count + 1):
            path = folder / str(number)
            path.mkdir()
            site = Site(path)
            site.write_settings(
                instance=f"gateway-{number}",
                platform=self.store_address or site.store.address,
                data_centre=f"dc-{number % 2}",
                platform_api={"address": self.api.address, "duties": duties},
                duty_bounds={
                    "handover_seconds": HANDOVER_SECONDS,
                    "usage_window_seconds": 1.0,
                    "usage_delay_seconds": 10.0,
                },
            )
            self.sites.append(site)
        self.sites[0].populate_store()
        for site in self.sites:
            site.start()
        wait_until(lambda: all(site.is_ready() for site in self.sites), seconds=15)

    @property
    def store_address(self) -> str:
        """Address of the common store, empty before the first site."""
        return self.sites[0].store.address if self.sites else ""

    def find_holder(self) -> Site | None:
        """Return the gateway that holds the lease by its own status."""
        for site in self.sites:
            request = b"GET /status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            response = site.send_bytes("operators", request)
            if b'"holds_lease":true' in response.replace(b" ", b""):
                return site
        return None

    def count_reported(self) -> int:
        """Return the requests in all accepted reports."""
        return sum(sum(counts.values()) for counts in self.api.accepted.values())

    def close(self) -> None:
        """Stop all processes and stand-ins."""
        for site in reversed(self.sites):
            site.close()
        self.api.stop()


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[DutyFleet]:
    created_fleet = DutyFleet(tmp_path, count=3, duties=["usage_report"])
    yield created_fleet
    created_fleet.close()


def test_usage_of_all_gateways_is_reported_once_also_after_the_holder_stopped(
    fleet: DutyFleet, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against windows that are lost or counted twice at a change of holders."""
    wait_until(lambda: fleet.find_holder() is not None, seconds=15)
    for site in fleet.sites:
        for number in range(5):
            answer = site.post_order(f"{site.store.address}-{number}")
            assert answer.startswith(b"HTTP/1.1 200")
    wait_until(lambda: fleet.count_reported() == 15, seconds=15)
    assert main(["status", fleet.sites[0].operators]) == 0
    printed = capsys.readouterr().out
    assert "duties: holder" in printed and "duties: closed_window" in printed
    holder = fleet.find_holder()
    assert holder is not None
    others = [site for site in fleet.sites if site is not holder]
    before = len(fleet.api.accepted)
    holder.send_signal(signal.SIGTERM)
    for site in others:
        assert site.post_order("later").startswith(b"HTTP/1.1 200")
    wait_until(lambda: fleet.count_reported() == 17, seconds=15)
    wait_until(lambda: len(fleet.api.accepted) > before + 3, seconds=15)
    windows = sorted(fleet.api.accepted)
    assert windows == list(range(windows[0], windows[-1] + 1))
    fleet.api.check_order(handover_seconds=HANDOVER_SECONDS)


def test_nothing_happens_without_a_known_duty(tmp_path: Path) -> None:
    """Guards against leases, datagrams and store calls that nobody asked for."""
    fleet = DutyFleet(tmp_path, count=1, duties=["juggling"])
    try:
        gevent.sleep(5.0)
        assert fleet.sites[0].store.list_keys("damasklead-duties") == []
        request = b"GET /status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        response = fleet.sites[0].send_bytes("operators", request)
        assert "duties" not in json.loads(response.partition(b"\r\n\r\n")[2])
        assert fleet.api.calls == []
    finally:
        fleet.close()
