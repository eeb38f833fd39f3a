"""
Tests of a gateway as a real process
====================================

The process is started as on the platform, against stand-ins of the store and of
replicas, and driven by signals.
"""

import json
import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import gevent
import pytest
from gevent import socket

from tests.gatewaykit import (
    ScriptedReplica,
    free_ports,
    make_chunk,
    make_event,
    make_request,
    make_response,
    make_stream_head,
    read_all,
    wait_until,
)
from tests.platformstandin import StoreStandin, make_configuration, make_upstream_entry


def serve(replica: ScriptedReplica, connection: socket.socket) -> None:
    while True:
        attempt = replica.receive_request(connection)
        if "/chat/" in replica.requests[-1][0]:
            connection.sendall(make_stream_head(attempt))
            for number in range(1, 31):
                connection.sendall(make_chunk(make_event(number)))
                gevent.sleep(0.1)
            connection.sendall(make_chunk(b""))
        else:
            connection.sendall(make_response(attempt, replica.name.encode()))


class Site:
    """A store, two replicas and one gateway process."""

    def __init__(self, folder: Path) -> None:
        self.store = StoreStandin()
        self.replicas = [ScriptedReplica(name, serve) for name in ("r0", "r1")]
        self.settings_file = folder / "settings.json"
        self.log_file = folder / "log"
        names = ("callers", "ready", "operators", "peers")
        self._ports = dict(zip(names, free_ports(len(names)), strict=True))
        self.write_settings()
        self._process: subprocess.Popen | None = None

    def write_settings(self, **changes: object) -> None:
        """Write the settings file."""
        content: dict = {
            "instance": "gateway-1",
            "data_centre": "hout",
            "listen": {
                name: f"127.0.0.1:{self._ports[name]}"
                for name in ("callers", "ready", "operators")
            },
            "platform": self.store.address,
            "peer_ports": [self._ports["peers"], self._ports["peers"]],
            "bounds": {"stop_seconds": 8},
        }
        self.settings_file.write_text(json.dumps(content | changes))

    @property
    def operators(self) -> str:
        """The operators' address."""
        return f"127.0.0.1:{self._ports['operators']}"

    def fill_store(self) -> None:
        """Write a configuration and the replicas' entries."""
        self.store.write_row("op", "config", make_configuration(1))
        for replica in self.replicas:
            self.store.write_row(
                "servers", replica.name, make_upstream_entry(replica.record.address)
            )

    def start(self, *, early: bool = False) -> None:
        """Start the gateway; ``early`` opens the callers' port before the rest."""
        environment = os.environ | {"DAMASKLEAD_SETTINGS": str(self.settings_file)}
        if early:
            address = f"127.0.0.1:{self._ports['callers']}"
            environment["DAMASKLEAD_CALLERS"] = address
        with self.log_file.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "damasklead.platform"],
                env=environment, stdout=log, stderr=log,
            )  # fmt: skip

    def signal(self, number: int) -> None:
        """Send the process a signal."""
        assert self._process is not None
        self._process.send_signal(number)

    def has_loaded(self, library: str) -> bool:
        """Tell whether the process has begun to load a library."""
        assert self._process is not None
        return library in Path(f"/proc/{self._process.pid}/maps").read_text()

    def exit_code(self) -> int:
        """Wait for the process to end."""
        process = self._process
        assert process is not None
        wait_until(lambda: process.poll() is not None, seconds=15)
        return process.returncode

    def ask(self, port: str, data: bytes) -> bytes:
        """Send bytes to a port and return all that comes."""
        try:
            with socket.create_connection(
                ("127.0.0.1", self._ports[port]), timeout=10
            ) as connection:
                connection.sendall(data)
                return read_all(connection)
        except ConnectionRefusedError:
            return b""

    def connects(self, port: str) -> bool:
        """Tell whether a port is open."""
        try:
            socket.create_connection(("127.0.0.1", self._ports[port]), 10).close()
        except ConnectionRefusedError:
            return False
        return True

    def order(self, attempt: str = "a1", path: str = "/order/1") -> bytes:
        """Send an order."""
        return self.ask(
            "callers",
            make_request(path, method="POST", body="x", attempt=attempt, close=True),
        )

    def is_ready(self) -> bool:
        """Ask whether the gateway is ready."""
        question = b"GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        return self.ask("ready", question).startswith(b"HTTP/1.1 200")

    def logged(self, text: str) -> bool:
        """Tell whether the log holds a text."""
        return text in self.log_file.read_text()

    def close(self) -> None:
        """End everything that was started."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
        self.store.stop()
        for replica in self.replicas:
            replica.stop()


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    made = Site(tmp_path)
    yield made
    made.close()


def test_a_stop_lets_streams_end_and_says_not_ready_at_once(site: Site) -> None:
    site.fill_store()
    site.start()
    wait_until(site.is_ready, seconds=10)
    data = make_request("/chat/1", method="POST", body="x", close=True)
    stream = gevent.spawn(site.ask, "callers", data)
    wait_until(lambda: any(item.requests for item in site.replicas))
    site.signal(signal.SIGTERM)
    wait_until(lambda: not site.is_ready())
    assert site.order().startswith(b"HTTP/1.1 200")
    said = stream.get(timeout=10)
    assert make_event(30) in said and said.endswith(b"0\r\n\r\n")
    assert site.exit_code() == 0
    assert site.logged("event=stopped") and site.logged("cut_off=0")


def test_it_waits_for_a_store_that_is_away_and_goes_on_when_it_goes_again(
    site: Site,
) -> None:
    site.fill_store()
    site.store.is_unavailable = True
    site.start()
    wait_until(lambda: site.order().startswith(b"HTTP/1.1 503"), seconds=10)
    assert not site.is_ready()
    site.store.is_unavailable = False
    wait_until(site.is_ready, seconds=10)
    site.store.is_unavailable = True
    wait_until(lambda: site.logged("event=dependency-lost"), seconds=10)
    assert site.order().startswith(b"HTTP/1.1 200") and site.is_ready()
    site.store.is_unavailable = False
    wait_until(lambda: site.logged("event=dependency-regained"), seconds=10)


def test_one_that_starts_while_the_store_is_away_asks_another_one(
    site: Site, tmp_path: Path
) -> None:
    site.fill_store()
    site.start()
    wait_until(site.is_ready, seconds=10)
    (tmp_path / "second").mkdir()
    second = Site(tmp_path / "second")
    try:
        second.store.is_unavailable = True
        second.write_settings(seeds=["127.0.0.1:1", site.operators])
        second.start()
        wait_until(second.is_ready, seconds=15)
        assert second.order().startswith(b"HTTP/1.1 200")
        wait_until(lambda: second.logged("event=snapshot-taken"))
        second.store.is_unavailable = False
        second.fill_store()
        second.store.write_row(
            "op", "config", make_configuration(5, prefix="/booking/")
        )
        wait_until(lambda: second.logged("version=5"), seconds=10)
    finally:
        second.close()


def test_gateways_find_each_other_and_one_reads_for_both(
    site: Site, tmp_path: Path
) -> None:
    site.fill_store()
    site.start()
    (tmp_path / "second").mkdir()
    second = Site(tmp_path / "second")
    try:
        second.write_settings(instance="gateway-2", platform=site.store.address)
        second.start()
        wait_until(lambda: site.is_ready() and second.is_ready(), seconds=10)
        wait_until(lambda: site.logged('peer="gateway-2"'), seconds=10)
        wait_until(lambda: second.logged('peer="gateway-1"'), seconds=10)
        site.store.write_row("op", "config", make_configuration(7, prefix="/booking/"))
        wait_until(lambda: site.logged("version=7") and second.logged("version=7"))
        for gateway in (site, second):
            gateway.signal(signal.SIGTERM)
            assert gateway.exit_code() == 0
        assert not site.store.list_keys("damasklead-gateways")
    finally:
        second.close()


def test_changes_of_configuration_and_replicas_come_into_force(site: Site) -> None:
    site.fill_store()
    site.start()
    wait_until(site.is_ready, seconds=10)
    site.store.write_row("op", "config", make_configuration(4, prefix="/booking/"))
    wait_until(lambda: site.order(path="/booking/1").startswith(b"HTTP/1.1 200"))
    assert site.order().startswith(b"HTTP/1.1 404")
    address = site.replicas[0].record.address
    site.store.write_row(
        "servers", "r0", make_upstream_entry(address, state="draining")
    )
    wait_until(lambda: site.logged("r0 leaving"))
    answers = {site.order(f"b{n}", "/booking/1")[-2:] for n in range(6)}
    assert answers == {b"r1"}


def test_settings_are_read_again_on_a_signal_and_without_one(site: Site) -> None:
    site.fill_store()
    site.start()
    wait_until(site.is_ready, seconds=10)
    site.signal(signal.SIGHUP)
    wait_until(lambda: site.logged("event=reloaded"))
    site.write_settings(bounds={"stop_seconds": -1})
    wait_until(lambda: site.logged("event=reload-failed"))
    site.write_settings(bounds={"stop_seconds": 7})
    wait_until(lambda: site.logged("changed=True"))
    assert site.order().startswith(b"HTTP/1.1 200")


def test_a_reload_while_it_starts_does_not_end_it(site: Site) -> None:
    """Seed 19 of the soak: a signal before the handler was installed ended the process."""
    site.fill_store()
    site.start()
    wait_until(lambda: site.has_loaded("gevent"), seconds=10)
    for _ in range(20):
        site.signal(signal.SIGHUP)
        gevent.sleep(0.01)
    wait_until(site.is_ready, seconds=10)


def test_operators_see_state_and_metrics(site: Site) -> None:
    site.fill_store()
    site.start()
    wait_until(site.is_ready, seconds=10)
    site.order()
    ask = "GET {} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    metrics = site.ask("operators", ask.format("/metrics").encode())
    assert b"damasklead_answers_total" in metrics
    assert b"damasklead_configuration_version 1.0" in metrics
    state = site.ask("operators", ask.format("/status").encode())
    assert json.loads(state.partition(b"\r\n\r\n")[2])["replicas"]["shop"] == [
        "r0",
        "r1",
    ]


def test_a_gateway_that_comes_later_is_looked_up_when_it_is_heard(
    site: Site, tmp_path: Path
) -> None:
    site.fill_store()
    site.start()
    wait_until(site.is_ready, seconds=10)
    # Longer than the pause after a look-up, far shorter than until the next one.
    gevent.sleep(3.0)
    (tmp_path / "second").mkdir()
    second = Site(tmp_path / "second")
    try:
        second.write_settings(instance="gateway-2", platform=site.store.address)
        second.start()
        wait_until(lambda: second.logged('peer="gateway-1"'), seconds=10)
        wait_until(lambda: site.logged('peer="gateway-2"'), seconds=8)
    finally:
        second.close()


def test_a_store_that_comes_back_from_a_copy_is_followed_on(site: Site) -> None:
    site.fill_store()
    site.start()
    wait_until(site.is_ready, seconds=10)
    assert site.order("a1").startswith(b"HTTP/1.1 200")
    gevent.sleep(1.5)
    site.store.write_row("op", "config", make_configuration(2, prefix="/new/"))
    wait_until(lambda: site.logged("version=2"), seconds=4)
    site.store.restore_backup(1.0)
    wait_until(lambda: site.logged("event=store-restored"), seconds=4)
    # What was in force stays so, and what is written again is followed.
    assert site.order("a2", path="/new/1").startswith(b"HTTP/1.1 200")
    assert site.order("a3").startswith(b"HTTP/1.1 404")
    site.store.write_row("op", "config", make_configuration(3))
    wait_until(lambda: site.logged("version=3"), seconds=2)
    assert site.order("a4").startswith(b"HTTP/1.1 200")


def test_an_announcement_that_was_lost_is_made_again(site: Site) -> None:
    site.fill_store()
    gevent.sleep(1.2)
    site.start()
    wait_until(site.is_ready, seconds=10)
    wait_until(lambda: site.store.list_keys("damasklead-gateways"), seconds=4)
    site.store.restore_backup(1.0)
    assert not site.store.list_keys("damasklead-gateways")
    wait_until(lambda: site.store.list_keys("damasklead-gateways"), seconds=4)


def test_a_process_serves_whoever_connects_while_it_is_loaded(site: Site) -> None:
    site.fill_store()
    site.start(early=True)
    wait_until(lambda: site.connects("callers"), seconds=10)
    assert site.order("a1").startswith(b"HTTP/1.1 200")
