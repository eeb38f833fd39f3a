"""
Cluster
=======

Gateway processes, each with its own proxy to the store, and replicas behind proxies.
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
from gevent.lock import BoundedSemaphore

from soak.brittleness import Brittleness
from soak.partition import FILE_VARIABLE, Partition, PartitionKind, write_partition
from soak.proxy import Proxy
from soak.replicas import Arrival, Execution, NamedLimit, Replica
from tests.gateway_kit import find_free_ports
from tests.platform_standin import StoreStandin, make_configuration, make_upstream_entry

__all__ = ["Cluster", "ProcessExit"]

ROUTE_TIMEOUT_SECONDS = 2.0
STOP_TIMEOUT_SECONDS = 8
PROBE_TIMEOUT_SECONDS = 0.5
# Time from the crash of a replica until another one takes its place.
REPLACEMENT_SECONDS = 1.0
# Time that a replica takes to start again, and how often its connections are reset
# until its entry shows the new start.
RESTART_SECONDS = 0.1
RESETS_BEFORE_ENTRY = 4
# Versions of the replicas' software, which serve side by side.
VERSIONS = ("v1", "v2")
PORT_NAMES = ("callers", "ready", "operators", "peers")


class ProcessExit(msgspec.Struct, kw_only=True, frozen=True):
    """
    The exit of a gateway process.

    Attributes
    ----------
    gateway : str
        Name of the gateway.
    exit_code : int
        Exit code; negative for the signal that ended the process.
    is_expected : bool
        Whether the soak test sent the process SIGTERM or SIGKILL.
    stop_seconds : float
        Seconds from that signal to the exit; 0 if there was none.
    """

    gateway: str
    exit_code: int
    is_expected: bool
    stop_seconds: float


class Cluster:
    """
    The gateways, replicas, proxies and the store of one run.

    Parameters
    ----------
    folder : Path
        Where settings files and logs are written.
    gateways, replicas : int
        Number of gateways, and of replicas at the start.
    seed : int
        Seed of the replicas.

    Attributes
    ----------
    limits : list of NamedLimit
        The limits that replicas have named.
    brittleness : Brittleness or None
        That of all replicas at present.
    brittle_times : list of Brittleness
        All times in which replicas were brittle.
    executions : list of Execution
        The requests that replicas executed.
    arrivals : list of Arrival
        The requests that reached replicas.
    exits : list of ProcessExit
        The exits of gateway processes.
    next_version : int
        Version of the configuration that is published next.
    replicas, proxies : dict
        All replicas, including stopped ones, and the proxies in front of them, by name.
    store_proxies : dict
        The proxy to the store of each gateway, by gateway name.
    settings : dict
        Settings of all gateways beside those that name addresses and bounds.
    source_folders : dict
        Folder of the source code that a gateway runs from its next start on, by gateway
        name; by default that of this process.
    """

    def __init__(
        self, *, folder: Path, gateways: int, replicas: int, seed: int
    ) -> None:
        self.store = StoreStandin()
        self.executions: list[Execution] = []
        self.arrivals: list[Arrival] = []
        self.limits: list[NamedLimit] = []
        self.brittleness: Brittleness | None = None
        self.brittle_times: list[Brittleness] = []
        self.exits: list[ProcessExit] = []
        self.next_version = 1
        self._folder = folder
        self._seed = seed
        self._next_replica = 0
        # State in the last entry of each replica, and the names of removed replicas.
        self._replica_states: dict[str, str] = {}
        self._removed_replicas: set[str] = set()
        self.replicas: dict[str, Replica] = {}
        self.proxies: dict[str, Proxy] = {}
        self.settings: dict[str, object] = {}
        self.source_folders: dict[str, Path] = {}
        self._readiness: dict[str, bool] = {}
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._signalled_at: dict[str, float] = {}
        names = [f"gateway-{number}" for number in range(1, gateways + 1)]
        ports = iter(find_free_ports(len(PORT_NAMES) * gateways))
        self._ports = {
            name: {port: next(ports) for port in PORT_NAMES} for name in names
        }
        self.store_proxies = {name: Proxy(target=self.store.address) for name in names}
        self._partitions = {name: Partition() for name in names}
        self._partition_lock = BoundedSemaphore()
        self.publish_configuration()
        for _ in range(replicas):
            self.add_replica()

    @property
    def gateways(self) -> list[str]:
        """Names of all gateways."""
        return list(self._ports)

    def get_caller_ports(self) -> dict[str, int]:
        """Return the port for callers of each gateway, by name."""
        return {name: ports["callers"] for name, ports in self._ports.items()}

    def list_ready_gateways(self) -> list[str]:
        """Return the names of the gateways whose last readiness probe succeeded."""
        return [name for name, ready in self._readiness.items() if ready]

    def publish_configuration(self) -> None:
        """Publish the next version of the configuration."""
        content = make_configuration(
            self.next_version, timeout=int(ROUTE_TIMEOUT_SECONDS * 1000)
        )
        chat = next(route for route in content["routes"] if route["name"] == "chat")
        content["routes"].append(
            chat
            | {"name": "draft", "prefix": "/draft/", "resumable": True}
            | {"max_attempts": 2}
        )
        self.store.write_row("op", "config", content)
        self.next_version += 1

    def rewrite_rows(self) -> None:
        """Write again the rows that a restore of the store may have lost."""
        self.next_version = max(1, self.next_version - 1)
        self.publish_configuration()
        for name, replica in self.replicas.items():
            if name in self._removed_replicas:
                self.store.delete_row("servers", name)
            elif replica.is_running:
                self.write_replica_entry(name, state=self._replica_states[name])

    def add_replica(self) -> Replica:
        """Start a replica and its proxy, and write its entry."""
        self._next_replica += 1
        name = f"replica-{self._next_replica}"
        replica = Replica(
            name=name,
            executions=self.executions,
            arrivals=self.arrivals,
            seed=self._seed * 100 + self._next_replica,
            on_crashing_part=lambda: self._crash_replica(name),
            get_brittleness=lambda: self.brittleness,
            on_overload=lambda: self._crash_replica(name),
            version=VERSIONS[self._next_replica % len(VERSIONS)],
        )
        self.replicas[name] = replica
        self.proxies[name] = Proxy(target=replica.address)
        self._write_partitions()
        self.write_replica_entry(name, state="ready")
        return replica

    def partition_gateway(
        self, name: str, kind: PartitionKind, *, is_accepting: bool = False
    ) -> None:
        """Cut a gateway off from all replicas, or end that with ``NONE``."""
        self._partitions[name] = Partition(
            kind=kind, since=time.monotonic(), is_accepting=is_accepting
        )
        self._write_partition(name)

    def _write_partitions(self) -> None:
        for name in self._partitions:
            self._write_partition(name)

    def _write_partition(self, name: str) -> None:
        """Tell a gateway which connections are cut, and how."""
        file = self._get_partition_file(name)
        with self._partition_lock:
            partition = msgspec.structs.replace(
                self._partitions[name],
                addresses=[proxy.address for proxy in self.proxies.values()],
            )
            # Replacing a file may wait for the disk, and replicas run in this process.
            gevent.get_hub().threadpool.apply(write_partition, (file, partition))

    def _get_partition_file(self, name: str) -> Path:
        return self._folder / f"{name}.partition"

    def _crash_replica(self, name: str) -> None:
        """Crash a replica so that its address refuses connections, and replace it."""
        self.replicas[name].crash()
        self.proxies[name].close()
        gevent.spawn_later(REPLACEMENT_SECONDS, self._replace_replica, name)

    def _replace_replica(self, name: str) -> None:
        if name not in self._removed_replicas:
            self.remove_replica(name)
            self.add_replica()

    def restart_replica(self, name: str, *, unlisted_seconds: float) -> None:
        """
        Start a replica again under its id and address, with another version.

        Its entry shows the new start some seconds later.  Meanwhile its connections are
        reset, so that streams which have begun there are taken up elsewhere.
        """
        before = self.replicas[name]
        self.crash_replica(name)
        gevent.sleep(RESTART_SECONDS)
        other = (VERSIONS.index(before.version) + 1) % len(VERSIONS)
        replica = Replica(
            name=name,
            executions=self.executions,
            arrivals=self.arrivals,
            seed=self._seed * 100 + before.born,
            on_crashing_part=lambda: self._crash_replica(name),
            get_brittleness=lambda: self.brittleness,
            on_overload=lambda: self._crash_replica(name),
            version=VERSIONS[other],
            born=before.born + 1,
        )
        if name in self._removed_replicas:
            replica.stop()
            return
        self.replicas[name] = replica
        self.proxies[name].set_target(replica.address)
        for _ in range(RESETS_BEFORE_ENTRY):
            gevent.sleep(unlisted_seconds / RESETS_BEFORE_ENTRY)
            self.proxies[name].reset_connections()
        if replica.is_running and name not in self._removed_replicas:
            self.write_replica_entry(name, state=self._replica_states[name])

    def crash_replica(self, name: str) -> None:
        """End a replica, whose proxy then resets all connections."""
        self.proxies[name].set_target(None)
        self.proxies[name].reset_connections()
        self.replicas[name].crash()

    def write_replica_entry(self, name: str, *, state: str) -> None:
        """Write a replica's entry in the list of replicas."""
        self._replica_states[name] = state
        self.store.write_row(
            "servers",
            name,
            make_upstream_entry(
                self.proxies[name].address, state=state, born=self.replicas[name].born
            )
            | {"version": self.replicas[name].version},
        )

    def remove_replica(self, name: str) -> None:
        """Stop a replica and delete its entry."""
        self.crash_replica(name)
        self._removed_replicas.add(name)
        self.store.delete_row("servers", name)
        self.proxies[name].close()

    def start_gateway(self, name: str) -> None:
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
            "listen": {port: f"127.0.0.1:{ports[port]}" for port in PORT_NAMES[:3]},
            "platform": self.store_proxies[name].address,
            "peer_ports": [ports["peers"], ports["peers"]],
            "seeds": seeds,
            "bounds": {"stop_seconds": STOP_TIMEOUT_SECONDS},
            **self.settings,
        }
        file.write_text(json.dumps(settings))
        environment = os.environ | {
            "DAMASKLEAD_SETTINGS": str(file),
            FILE_VARIABLE: str(self._get_partition_file(name)),
        }
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", "soak.partition"],
                env=environment, stdout=log, stderr=log,
                cwd=self.source_folders.get(name),
            )  # fmt: skip

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a gateway's process if it runs."""
        process = self._processes.get(name)
        if process is None or process.poll() is not None:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._signalled_at.setdefault(name, time.monotonic())
        if number is signal.SIGHUP and not _handles_reload(process.pid):
            return
        process.send_signal(number)

    def is_running(self, name: str) -> bool:
        """Return whether a gateway's process runs."""
        return name in self._processes and self._processes[name].poll() is None

    def monitor_gateways(self) -> None:
        """Probe readiness and record exits until the greenlet is killed."""
        while True:
            for name in self.gateways:
                self._readiness[name] = self._probe_readiness(name)
                self._record_exit(name)
            gevent.sleep(0.1)

    def close(self) -> None:
        """Stop the gateways, the proxies, the replicas and the store."""
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

    def find_log_lines(self, text: str) -> list[str]:
        """Return the log lines of all gateways that contain a text."""
        return [
            f"{file.stem}: {line}"
            for file in sorted(self._folder.glob("*.log"))
            for line in file.read_text(errors="replace").splitlines()
            if text in line
        ]

    def _probe_readiness(self, name: str) -> bool:
        if not self.is_running(name):
            return False
        probe = b"GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        address = ("127.0.0.1", self._ports[name]["ready"])
        try:
            with socket.create_connection(
                address, timeout=PROBE_TIMEOUT_SECONDS
            ) as connection:
                connection.sendall(probe)
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def _record_exit(self, name: str) -> None:
        process = self._processes.get(name)
        if process is None or process.poll() is None:
            return
        signalled_at = self._signalled_at.pop(name, None)
        stop_seconds = 0.0 if signalled_at is None else time.monotonic() - signalled_at
        self.exits.append(
            ProcessExit(
                gateway=name,
                exit_code=process.returncode,
                is_expected=signalled_at is not None,
                stop_seconds=stop_seconds,
            )
        )
        del self._processes[name]


def _handles_reload(pid: int) -> bool:
    """
    Return whether a process ignores or handles SIGHUP, the signal to reload.

    SIGHUP ends a process whose interpreter has not run the program's first line yet,
    and the program cannot prevent that (seen with seed 19).
    """
    masks = dict(
        line.split(":\t", 1)
        for line in Path(f"/proc/{pid}/status").read_text().splitlines()
    )
    handled = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
    return bool(handled >> (signal.SIGHUP - 1) & 1)
