"""
Cluster
=======

Gateway processes, replica processes and the store of one play.
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

from soak.partition import FILE_VARIABLE, Partition, PartitionKind, write_partition
from soak.streams.replica import ReplicaOptions, Run
from tests.gateway_kit import find_free_ports
from tests.platform_standin import StoreStandin, make_configuration, make_upstream_entry

__all__ = ["ReplicaProcess", "StreamCluster"]

PORT_NAMES = ("callers", "ready", "operators", "peers")
PROBE_INTERVAL_SECONDS = 0.1
ROUTE_TIMEOUTS = {
    "contract": 6000,
    "summary": 8000,
    "draft": 4000,
    "chat": 8000,
    "read": 2000,
    "order": 2000,
}
# Descriptors of a gateway, of which connections to replicas get a part.
DEFAULT_DESCRIPTORS = 4_100


class ReplicaProcess(msgspec.Struct, kw_only=True):
    """A replica process and its entry."""

    name: str
    port: int
    born: int
    process: subprocess.Popen[bytes]
    is_listed: bool = False

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process runs."""
        if self.is_running:
            self.process.send_signal(number)


class StreamCluster:
    """
    The processes of one play.

    Parameters
    ----------
    folder : Path
        Where settings, logs and notes are written.
    gateways, replicas : int
        Number of gateways, and of replicas at the start.
    unframed_fraction : float
        Share of the responses without a length.
    max_descriptors : int
        Descriptors of each gateway.
    source_folder : Path or None
        Folder of the gateways' source code; by default that of this process.
    """

    def __init__(
        self,
        *,
        folder: Path,
        gateways: int,
        replicas: int,
        unframed_fraction: float,
        max_descriptors: int = DEFAULT_DESCRIPTORS,
        source_folder: Path | None = None,
    ) -> None:
        self.folder = folder
        self.store = StoreStandin()
        self.replicas: list[ReplicaProcess] = []
        self.ended_gateways: list[tuple[float, str]] = []
        self._unframed_fraction = unframed_fraction
        self._max_descriptors = max_descriptors
        self._source_folder = source_folder
        self._next_replica = 0
        self._born = int(time.time() * 1000)
        self._gateways: dict[str, subprocess.Popen[bytes]] = {}
        self._readiness: dict[str, bool] = {}
        names = [f"gateway-{number}" for number in range(1, gateways + 1)]
        ports = iter(find_free_ports(len(PORT_NAMES) * gateways))
        self._ports = {
            name: {port: next(ports) for port in PORT_NAMES} for name in names
        }
        self._partitions = {name: Partition() for name in names}
        self._publish()
        for _ in range(replicas):
            self.add_replica()
        for name in names:
            self._write_partition(name)
            self.start_gateway(name)

    @property
    def gateways(self) -> list[str]:
        """Names of all gateways."""
        return list(self._ports)

    @property
    def running_replicas(self) -> list[ReplicaProcess]:
        """Replicas that run and are listed."""
        return [item for item in self.replicas if item.is_running and item.is_listed]

    def get_caller_ports(self) -> dict[str, int]:
        """Return the port for callers of each gateway, by name."""
        return {name: ports["callers"] for name, ports in self._ports.items()}

    def list_ready_gateways(self) -> list[str]:
        """Return the names of the gateways whose last readiness probe succeeded."""
        return [name for name, ready in self._readiness.items() if ready]

    def add_replica(self) -> ReplicaProcess:
        """Start and list a replica under a new id and at a new address."""
        self._next_replica += 1
        replica = self.start_replica(
            f"replica-{self._next_replica}", find_free_ports(1)[0]
        )
        self.list_replica(replica)
        return replica

    def start_replica(self, name: str, port: int) -> ReplicaProcess:
        """Start a replica, which waits until the port is free, without an entry."""
        self._born += 1
        options = ReplicaOptions(
            name=name,
            port=port,
            born=self._born,
            notes=str(self.folder / f"{name}.{self._born}.notes"),
            unframed_fraction=self._unframed_fraction,
        )
        with (self.folder / f"{name}.out").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "soak.streams.replica", _encode(options)],
                stdout=log, stderr=log,
            )  # fmt: skip
        replica = ReplicaProcess(name=name, port=port, born=self._born, process=process)
        self.replicas.append(replica)
        return replica

    def list_replica(self, replica: ReplicaProcess, *, state: str = "ready") -> None:
        """Write a replica's entry."""
        replica.is_listed = state == "ready"
        entry = make_upstream_entry(
            f"127.0.0.1:{replica.port}", state=state, born=replica.born
        )
        self.store.write_row("servers", replica.name, entry | {"slots": 64})

    def unlist_replica(self, replica: ReplicaProcess) -> None:
        """Delete a replica's entry, unless a later start has replaced it."""
        replica.is_listed = False
        if not any(
            other.name == replica.name and other.born > replica.born and other.is_listed
            for other in self.replicas
        ):
            self.store.delete_row("servers", replica.name)

    def partition_gateway(self, name: str, kind: PartitionKind) -> None:
        """Cut a gateway off from all replicas, or end that with ``NONE``."""
        self._partitions[name] = Partition(kind=kind, since=time.monotonic())
        for other in self.gateways:
            self._write_partition(other)

    def start_gateway(self, name: str) -> None:
        """Start a gateway process."""
        ports = self._ports[name]
        file = self.folder / f"{name}.json"
        settings = {
            "instance": name,
            "data_centre": "hout",
            "listen": {port: f"127.0.0.1:{ports[port]}" for port in PORT_NAMES[:3]},
            "platform": self.store.address,
            "peer_ports": [ports["peers"], ports["peers"]],
            "seeds": [
                f"127.0.0.1:{other['operators']}" for other in self._ports.values()
            ],
            "cores": 0.537,
            "memory_megabytes": 150,
            "max_descriptors": self._max_descriptors,
            "link_megabits": 1000.0,
            "bounds": {"stop_seconds": 8, "retry_ratio": 0.2, "retry_allowance": 56},
        }
        file.write_text(json.dumps(settings))
        environment = os.environ | {
            "DAMASKLEAD_SETTINGS": str(file),
            FILE_VARIABLE: str(self._get_partition_file(name)),
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            self._gateways[name] = subprocess.Popen(
                [sys.executable, "-m", "soak.partition"],
                env=environment, stdout=log, stderr=log, cwd=self._source_folder,
            )  # fmt: skip

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a gateway's process, if it runs."""
        process = self._gateways[name]
        if process.poll() is None:
            if number in (signal.SIGKILL, signal.SIGTERM):
                self.ended_gateways.append((time.monotonic(), name))
            process.send_signal(number)

    def is_running(self, name: str) -> bool:
        """Return whether a gateway's process runs."""
        return self._gateways[name].poll() is None

    def wait_until_gateway_ended(self, name: str) -> None:
        """Wait until a gateway's process has ended."""
        while self.is_running(name):
            gevent.sleep(PROBE_INTERVAL_SECONDS)

    def monitor_gateways(self) -> None:
        """Probe readiness until the greenlet is killed."""
        while True:
            for name in self.gateways:
                self._readiness[name] = self._probe_readiness(name)
            gevent.sleep(PROBE_INTERVAL_SECONDS)

    def read_runs(self) -> list[Run]:
        """Return the notes of all replicas."""
        runs: list[Run] = []
        for file in sorted(self.folder.glob("*.notes")):
            lines = file.read_bytes().split(b"\n")[:-1]
            runs += [msgspec.json.decode(line, type=Run) for line in lines]
        return runs

    def find_log_lines(self, text: str) -> list[str]:
        """Return the log lines of all gateways that contain a text."""
        return [
            f"{file.stem}: {line}"
            for file in sorted(self.folder.glob("gateway-*.log"))
            for line in file.read_text(errors="replace").splitlines()
            if text in line
        ]

    def close(self) -> None:
        """End all processes, and the store."""
        processes = [*self._gateways.values(), *(r.process for r in self.replicas)]
        for process in processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        self.store.stop()

    def _publish(self) -> None:
        content = make_configuration(1, timeout=2000)
        routes = {route["name"]: route for route in content["routes"]}
        chat = routes["chat"]
        for name in ("contract", "draft", "summary"):
            routes[name] = chat | {"name": name, "prefix": f"/{name}/"}
        routes["draft"] |= {"resumable": True, "max_attempts": 2}
        routes["contract"] |= {"itl_target_ms": 600}
        for name, milliseconds in ROUTE_TIMEOUTS.items():
            routes[name]["timeout_ms"] = milliseconds
        content["routes"] = list(routes.values())
        content["services"][0]["max_connections"] = 370
        self.store.write_row("op", "config", content)

    def _get_partition_file(self, name: str) -> Path:
        return self.folder / f"{name}.partition"

    def _write_partition(self, name: str) -> None:
        partition = msgspec.structs.replace(
            self._partitions[name],
            addresses=sorted({f"127.0.0.1:{item.port}" for item in self.replicas}),
        )
        write_partition(self._get_partition_file(name), partition)

    def _probe_readiness(self, name: str) -> bool:
        address = ("127.0.0.1", self._ports[name]["ready"])
        probe = b"GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        try:
            with socket.create_connection(address, timeout=0.5) as connection:
                connection.sendall(probe)
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


def _encode(options: ReplicaOptions) -> str:
    return msgspec.json.encode(options).decode()
