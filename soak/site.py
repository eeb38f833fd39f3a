"""
Site
====

Gateway processes, each behind its own proxy to the store, and replicas behind proxies.
"""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import gevent
import msgspec
from gevent import socket

from soak.proxy import Proxy
from soak.replicas import Replica, RunNote
from tests.gatewaykit import find_free_ports
from tests.platformstandin import StoreStandin, make_configuration, make_upstream_entry

__all__ = ["GatewayNote", "Site"]

ROUTE_SECONDS = 2.0
STOP_SECONDS = 8
ASK_SECONDS = 0.5
PORTS = ("callers", "ready", "operators", "peers")


class GatewayNote(msgspec.Struct, kw_only=True, frozen=True):
    """
    The end of a gateway process; ``meant`` when the soak ended it.

    Attributes
    ----------
    took : float
        Seconds from the signal to the end.
    """

    gateway: str
    code: int
    meant: bool
    took: float


class Site:
    """
    Everything that one run starts.

    Parameters
    ----------
    folder : Path
        For settings and logs.
    gateways, replicas : int
    seed : int
    """

    def __init__(
        self, *, folder: Path, gateways: int, replicas: int, seed: int
    ) -> None:
        self.store = StoreStandin()
        self.runs: list[RunNote] = []
        self.ends: list[GatewayNote] = []
        self.version = 1
        self._folder = folder
        self._seed = seed
        self._next_replica = 0
        # What replicas last wrote of themselves, and those that were removed.
        self._states: dict[str, str] = {}
        self._removed: set[str] = set()
        self.replicas: dict[str, Replica] = {}
        self.proxies: dict[str, Proxy] = {}
        self._ready: dict[str, bool] = {}
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._asked_to_end: dict[str, float] = {}
        names = [f"gateway-{number}" for number in range(1, gateways + 1)]
        ports = iter(find_free_ports(len(PORTS) * gateways))
        self._ports = {name: {port: next(ports) for port in PORTS} for name in names}
        self.store_proxies = {name: Proxy(target=self.store.address) for name in names}
        self.configure()
        for _ in range(replicas):
            self.add_replica()

    @property
    def gateways(self) -> list[str]:
        """All gateways' names."""
        return list(self._ports)

    def ports(self) -> dict[str, int]:
        """Return the callers' port of each gateway."""
        return {name: ports["callers"] for name, ports in self._ports.items()}

    def ready(self) -> list[str]:
        """Return the gateways that said they are ready when they were last asked."""
        return [name for name, ready in self._ready.items() if ready]

    def configure(self) -> None:
        """Write the next version of the configuration."""
        content = make_configuration(self.version, timeout=int(ROUTE_SECONDS * 1000))
        self.store.write_row("op", "config", content)
        self.version += 1

    def write_again(self) -> None:
        """Let the operators and the replicas write what the store has forgotten."""
        self.version = max(1, self.version - 1)
        self.configure()
        for name, replica in self.replicas.items():
            if name in self._removed:
                self.store.delete_row("servers", name)
            elif replica.alive:
                self.list_replica(name, state=self._states[name])

    def add_replica(self) -> Replica:
        """Start a replica and list it."""
        self._next_replica += 1
        name = f"replica-{self._next_replica}"
        replica = Replica(
            name=name, notes=self.runs, seed=self._seed * 100 + self._next_replica
        )
        self.replicas[name] = replica
        self.proxies[name] = Proxy(target=replica.address)
        self.list_replica(name, state="ready")
        return replica

    def list_replica(self, name: str, *, state: str) -> None:
        """Write a replica's entry."""
        self._states[name] = state
        self.store.write_row(
            "servers",
            name,
            make_upstream_entry(self.proxies[name].address, state=state),
        )

    def remove_replica(self, name: str) -> None:
        """End a replica and remove its entry."""
        self.replicas[name].crash()
        self._removed.add(name)
        self.store.delete_row("servers", name)
        self.proxies[name].close()

    def start(self, name: str) -> None:
        """Start a gateway process."""
        ports = self._ports[name]
        file = self._folder / f"{name}.json"
        seeds = [
            f"127.0.0.1:{other['operators']}"
            for other_name, other in self._ports.items()
            if other_name != name
        ]
        settings = {
            "instance": name,
            "data_centre": "hout",
            "listen": {port: f"127.0.0.1:{ports[port]}" for port in PORTS[:3]},
            "platform": self.store_proxies[name].address,
            "peer_ports": [ports["peers"], ports["peers"]],
            "seeds": seeds,
            "bounds": {"stop_seconds": STOP_SECONDS},
        }
        file.write_text(json.dumps(settings))
        environment = os.environ | {"DAMASKLEAD_SETTINGS": str(file)}
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", "damasklead.platform"],
                env=environment, stdout=log, stderr=log,
            )  # fmt: skip

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a gateway process a signal, if it runs."""
        process = self._processes.get(name)
        if process is None or process.poll() is not None:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._asked_to_end.setdefault(name, time.monotonic())
        if number is signal.SIGHUP and not _minds_reload(process.pid):
            return
        process.send_signal(number)

    def running(self, name: str) -> bool:
        """Tell whether a gateway's process runs."""
        return name in self._processes and self._processes[name].poll() is None

    def watch(self) -> None:
        """Ask gateways whether they are ready and note ends of processes, forever."""
        while True:
            for name in self.gateways:
                self._ready[name] = self._is_ready(name)
                self._note_end(name)
            gevent.sleep(0.1)

    def close(self) -> None:
        """End everything that the run started."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for proxy in (*self.proxies.values(), *self.store_proxies.values()):
            proxy.close()
        for replica in self.replicas.values():
            replica.stop()
        self.store.stop()

    def logs(self, text: str) -> list[str]:
        """Return the lines of all gateways' logs that hold a text."""
        return [
            f"{file.stem}: {line}"
            for file in sorted(self._folder.glob("*.log"))
            for line in file.read_text(errors="replace").splitlines()
            if text in line
        ]

    def _is_ready(self, name: str) -> bool:
        if not self.running(name):
            return False
        question = b"GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        address = ("127.0.0.1", self._ports[name]["ready"])
        try:
            with socket.create_connection(address, timeout=ASK_SECONDS) as connection:
                connection.sendall(question)
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def _note_end(self, name: str) -> None:
        process = self._processes.get(name)
        if process is None or process.poll() is None:
            return
        asked = self._asked_to_end.pop(name, None)
        took = 0.0 if asked is None else time.monotonic() - asked
        self.ends.append(
            GatewayNote(
                gateway=name,
                code=process.returncode,
                meant=asked is not None,
                took=took,
            )
        )
        del self._processes[name]


def _minds_reload(pid: int) -> bool:
    """
    Tell whether a process ignores or handles a request to reload.

    One that reaches the interpreter before the program's first line ends it; nothing in
    the program can prevent that (seed 19).
    """
    masks = dict(
        line.split(":\t", 1)
        for line in Path(f"/proc/{pid}/status").read_text().splitlines()
    )
    minded = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
    return bool(minded >> (signal.SIGHUP - 1) & 1)
