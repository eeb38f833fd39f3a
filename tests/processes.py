"""
Real processes for tests
========================

Starts the platform stand-in, upstreams and entries as processes on loopback.
"""

import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
import msgspec

from damasklead.demo.local import (
    WORKSPACE_KEYS,
    find_free_address,
    make_configuration_files,
    make_settings_text,
)
from damasklead.demo.traffic import Caller
from damasklead.stores import Platform
from damasklead.stores.http import make_http_platform
from damasklead.stores.memory import Faults
from damasklead.upstreams import ConnectionPool, UpstreamError
from damasklead.upstreams.transport import send_request

REGION = "local"
START_SECONDS = 30.0
STEP_SECONDS = 0.05
DEMO_FILES = Path(__file__).parent.parent / "damasklead" / "demo"


class Deployment:
    """A small deployment; every process ends with the ``with`` block."""

    def __init__(
        self,
        *,
        entries: int = 3,
        engines: int = 3,
        services: int = 1,
        settings: dict[str, Any] | None = None,
    ) -> None:
        self.settings = settings or {}
        self.folder = Path(tempfile.mkdtemp(prefix="damasklead-test-"))
        self.platform_address = find_free_address()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.commands: dict[str, list[str]] = {}
        self.callers: dict[str, str] = {}
        self.operators: dict[str, str] = {}
        self.peers: dict[str, str] = {}
        self.upstreams: dict[str, str] = {}
        self._pool = ConnectionPool()
        self._counts = (entries, engines, services)

    def __enter__(self) -> "Deployment":
        entries, engines, services = self._counts
        self._start_standin("platform", "platform", "", self.platform_address)
        self.until(lambda: self.get(self.platform_address, "/counts") is not None)
        for number in range(engines):
            self._start_upstream(f"engine-{number}", "engine", "demo-llm")
        for number in range(services):
            self._start_upstream(f"shop-{number}", "service", "demo-app")
        self._write_configuration()
        assert self.command("publish", str(self.folder), "--wait", "0").returncode in (
            0,
            1,
        )
        for number in range(entries):
            self.start_entry(f"entry-{number}")
        for address in self.upstreams.values():
            self.until(lambda at=address: self.get(at, "/load") is not None)  # type: ignore[misc]
        for name in self.callers:
            self.until(lambda entry=name: self.is_serving(entry))  # type: ignore[misc]
        return self

    def __exit__(self, *error: object) -> None:
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self._pool.close()

    @property
    def platform(self) -> Platform:
        """A client of the platform."""
        return make_http_platform(address=self.platform_address)

    def caller(self, workspace: str, *entries: str) -> Caller:
        """Return a caller of some entries, of all by default."""
        names = entries or tuple(self.callers)
        addresses = [self.callers[name] for name in names]
        return Caller(
            addresses=addresses, key=WORKSPACE_KEYS[workspace], now=time.monotonic
        )

    def start_entry(self, name: str) -> None:
        """Start an entry, or start it again at the same addresses."""
        if name not in self.commands:
            addresses = {
                kind: find_free_address() for kind in ("callers", "operators", "peers")
            }
            platform = {"kind": "http", "address": self.platform_address}
            text = make_settings_text(
                name,
                addresses,
                platform,
                seeds=list(self.peers.values()),
                limits={"stop_seconds": 30.0},
                **self.settings,
            )
            path = self.folder / f"{name}.json"
            path.write_text(text)
            self.callers[name] = addresses["callers"]
            self.operators[name] = addresses["operators"]
            self.peers[name] = addresses["peers"]
            self.commands[name] = ["serve", str(path)]
        self.start(name)

    def start(self, name: str) -> None:
        """Start a process by its name."""
        log = (self.folder / f"{name}.log").open("ab")
        command = [sys.executable, "-m", "damasklead", *self.commands[name]]
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def kill(self, name: str) -> None:
        """Kill a process at once."""
        self.processes[name].kill()
        self.processes[name].wait()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        os.kill(self.processes[name].pid, number)

    def command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a command of the command line against this platform."""
        command = [sys.executable, "-m", "damasklead", *arguments]
        command += ["--platform", self.platform_address]
        return subprocess.run(command, capture_output=True, text=True, timeout=60)

    def set_faults(self, **faults: Any) -> None:
        """Replace what is wrong with the platform."""
        body = msgspec.json.encode(Faults(**faults))
        assert self.get(self.platform_address, "/faults", body=body) is not None

    def get(self, address: str, path: str, *, body: bytes | None = None) -> Any:
        """Return a JSON answer or ``None``; a body makes it a POST."""
        try:
            answer = send_request(
                self._pool,
                address,
                method="GET" if body is None else "POST",
                path=path,
                headers=(),
                body=body or b"",
                read_timeout=5.0,
                force_new_connection=True,
            )
            content = answer.read_body(limit=10_000_000)
            return msgspec.json.decode(content) if answer.status == 200 else None
        except (UpstreamError, msgspec.DecodeError):
            return None

    def status(self, entry: str) -> dict[str, Any]:
        """Return an entry's status."""
        content = self.get(self.operators[entry], "/status")
        return content or {}

    def is_serving(self, entry: str) -> bool:
        """Tell whether an entry is ready and has its shares."""
        status = self.status(entry)
        pools = status.get("pools", [])
        return bool(status.get("ready") and pools and all(p["granted"] for p in pools))

    def orders(self) -> list[str]:
        """Return the references of all orders that were run."""
        found: list[str] = []
        for name, address in self.upstreams.items():
            if name.startswith("shop"):
                found.extend(self.get(address, "/orders") or [])
        return found

    def until(
        self, condition: Callable[[], bool], *, seconds: float = START_SECONDS
    ) -> None:
        """Wait until a condition holds; fail when it does not within the time."""
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                raise AssertionError(
                    f"not within {seconds} s; logs are in {self.folder}"
                )
            gevent.sleep(STEP_SECONDS)

    def _start_upstream(self, name: str, kind: str, service: str) -> None:
        self.upstreams[name] = find_free_address()
        self._start_standin(name, kind, service, self.upstreams[name])

    def _start_standin(self, name: str, kind: str, service: str, address: str) -> None:
        command = ["standin", kind, "--listen", address, "--name", name]
        if service:
            command += ["--service", service, "--platform", self.platform_address]
        self.commands[name] = command
        self.start(name)

    def _write_configuration(self) -> None:
        for name, text in make_configuration_files().items():
            (self.folder / name).write_text(text)
