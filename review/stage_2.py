"""
Stage of the second review
==========================

Runs gateways with the command of the deploy file, stand-ins of the platform's store and
of replicas, and clients, all on loopback addresses.  Standard library only.

As a program, this file is a replica: ``python3 review/stage_2.py NAME PORT OPTIONS``.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
ZONES = ("saldanha", "hout", "mossel")
# Names and keys; the first one sends what tests don't send for others.
TENANTS = {"hule930": KEY} | {
    f"fida{item}": f"anfqasnmgkcuyj{item}" for item in range(9)
}
HEARTBEAT_SECONDS = 1.2
START_SECONDS = 25.0


# Ports below those that the kernel gives to outgoing connections.  Each test takes a
# block of them for itself, so that tests beside each other don't choose the same.
FIRST_PORT, LAST_PORT, BLOCK_PORTS = 20_000, 32_000, 200


class PortBlock:
    """A block of ports, whose first one is held as long as the test runs."""

    def __init__(self) -> None:
        self._socket = socket.socket()
        bases = list(range(FIRST_PORT, LAST_PORT, BLOCK_PORTS))
        random.shuffle(bases)
        self._next = next(base for base in bases if self._claim(base)) + 1

    def _claim(self, base: int) -> bool:
        try:
            self._socket.bind(("127.0.0.1", base))
        except OSError:
            return False
        return True

    def take(self) -> int:
        """Return the next port that is free for TCP and UDP."""
        while True:
            address = ("127.0.0.1", self._next)
            self._next += 1
            with (
                contextlib.suppress(OSError),
                socket.socket() as tcp,
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
            ):
                tcp.bind(address)
                udp.bind(address)
                return address[1]


_ports: list[PortBlock] = []


def find_free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP, others with each call."""
    if not _ports:
        _ports.append(PortBlock())
    return [_ports[0].take() for _ in range(count)]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, list[tuple[str, str]]]:
    """Return the first line and the headers of a message; raises ``EOFError``."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        raise EOFError from error
    first, *lines = head.decode("latin-1").rstrip().split("\r\n")
    pairs = [line.partition(":") for line in lines]
    return first, [(name.lower(), value.strip()) for name, _, value in pairs]


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self) -> None:
        self._started_at = time.monotonic()
        self._lines: list[tuple[float, str]] = []

    def add(self, text: str, *, at: float | None = None) -> None:
        """Add a line; ``at`` is a reading of the monotonic clock."""
        moment = time.monotonic() if at is None else at
        self._lines.append((moment - self._started_at, text))

    def write(self, file: Path) -> None:
        """Write all lines to a file."""
        lines = sorted(self._lines, key=lambda item: item[0])
        file.write_text("".join(f"{at:8.3f} {text}\n" for at, text in lines))


class Store:
    """The platform's store: rows, their changes and conditional transactions."""

    def __init__(self) -> None:
        self._version = 1
        self._rows: dict[tuple[str, str, str], dict] = {}
        self._history: list[dict] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.delay_seconds = 0.004
        self.address = ""

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def put(self, table: str, key: str, content: object) -> int:
        """Write a row as the operator or a replica does; returns its version."""
        data = base64.b64encode(json.dumps(content).encode()).decode()
        self._version += 1
        self._write(table, "", key, {"data": data})
        return self._version

    def remove(self, table: str, key: str) -> None:
        """Remove a row, if it is there."""
        if (table, "", key) in self._rows:
            self._version += 1
            self._write(table, "", key, None)

    def _write(self, table: str, part: str, key: str, content: dict | None) -> None:
        row = {"table": table, "part": part, "key": key}
        row["schema_version"] = self._version
        if content is None:
            self._rows.pop((table, part, key), None)
            row["deleted"] = True
        else:
            row |= content
            self._rows[table, part, key] = row
        self._history.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # The loop cancels open connections at its end.
        with contextlib.suppress(EOFError, OSError, asyncio.CancelledError):
            while True:
                first, headers = await read_head(reader)
                length = int(dict(headers).get("content-length", 0))
                body = await reader.readexactly(length)
                await asyncio.sleep(self.delay_seconds)
                status, content = await self._respond(first.split()[1], body)
                content["schema_version"] = self._version
                content["now_ms"] = int(time.monotonic() * 1000)
                data = json.dumps(content).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        writer.close()

    async def _respond(self, target: str, body: bytes) -> tuple[int, dict]:
        parts = urlsplit(target)
        query = {name: item[0] for name, item in parse_qs(parts.query).items()}
        if parts.path == "/-/rows-tx":
            return self._commit(json.loads(body))
        table = query.get("table", "")
        if parts.path == "/-/rows-get":
            return 200, self._read(table, query)
        if parts.path != "/-/rows-feed":
            return 404, {}
        since = int(query["since_revision"])
        ends_at = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            rows = [
                row
                for row in self._history
                if row["table"] == table and row["schema_version"] > since
            ]
            left = ends_at - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _read(self, table: str, query: dict[str, str]) -> dict:
        first, end = query.get("range_start", ""), query.get("to")
        limit = int(query.get("limit", 500))
        rows = [
            row
            for (name, part, key), row in sorted(self._rows.items())
            if name == table
            and part == query.get("part", "")
            and key >= first
            and (end is None or key < end)
        ]
        return {"rows": rows[:limit], "has_more": len(rows) > limit}

    def _commit(self, change: dict) -> tuple[int, dict]:
        def get_key(row: dict) -> tuple[str, str, str]:
            return row["table"], row.get("part", ""), row["key"]

        for row in change["precondition"]:
            current = self._rows.get(get_key(row), {})
            if current.get("schema_version", 0) != row["schema_version"]:
                keys = [get_key(item) for item in change["precondition"]]
                return 412, {"rows": [self._rows[k] for k in keys if k in self._rows]}
        self._version += 1
        for row in change["write"]:
            self._write(*get_key(row), {"data": row["data"]})
        for row in change["remove"]:
            if get_key(row) in self._rows:
                self._write(*get_key(row), None)
        return 200, {}


class Process:
    """A process of the test, which ends with it."""

    def __init__(self, words: list[str], *, environment: dict, log: Path) -> None:
        self.is_signalled = False
        with log.open("ab") as file:
            self._process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=file, stderr=file
            )

    @property
    def pid(self) -> int:
        """The process's id."""
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """The exit code, ``None`` while it runs."""
        return self._process.poll()

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process runs."""
        if self._process.poll() is None:
            self.is_signalled = True
            self._process.send_signal(number)

    def end(self) -> None:
        """End the process."""
        self.send(signal.SIGKILL)
        self._process.wait()


def make_environment(**variables: str) -> dict[str, str]:
    """Return the environment that the platform gives to a process."""
    names = ("PATH", "HOME", "LANG")
    inherited = {name: os.environ[name] for name in names if name in os.environ}
    deps = str(ROOT / "target" / "deps")
    return inherited | {"PYTHONPATH": deps} | variables


class Gateway:
    """A gateway, started with the command of the deploy file."""

    def __init__(self, name: str, *, folder: Path, zone: str) -> None:
        self.name = name
        self.zone = zone
        self._folder = folder
        self.callers, self.ready, self.operators, self._peers, self._metrics = (
            find_free_ports(5)
        )
        self._process: Process | None = None

    def start(self, *, store: str, seeds: list[int], memory_mb: int = 150) -> None:
        """Write the settings and start the process."""
        settings = {
            "instance": self.name,
            "data_centre": self.zone,
            "listen": {
                "callers": f"127.0.0.1:{self.callers}",
                "ready": f"127.0.0.1:{self.ready}",
                "operators": f"127.0.0.1:{self.operators}",
                "metrics_port": self._metrics,
            },
            "platform": store,
            "peer_ports": [self._peers, self._peers],
            "seeds": [f"127.0.0.1:{port}" for port in seeds],
            "cores": 0.537,
            "memory_megabytes": memory_mb,
            "max_descriptors": 4100,
            "link_megabits": 1000.0,
            "bounds": {
                "retry_ratio": 0.2,
                "retry_allowance": 56,
                "retry_window_seconds": 10,
                "stop_seconds": 8,
            },
        }
        file = self._folder / f"{self.name}.json"
        file.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["gateway"]
        callers = f"127.0.0.1:{self.callers}"
        variables = {
            name: text.replace("{{listen.http}}", callers)
            for name, text in role["env"].items()
        }
        self._process = Process(
            role["run"].split(),
            environment=make_environment(DAMASKLEAD_SETTINGS=str(file), **variables),
            log=self.log,
        )

    @property
    def log(self) -> Path:
        """File of the output."""
        return self._folder / f"{self.name}.log"

    @property
    def process(self) -> Process:
        """The process, after its start."""
        assert self._process is not None
        return self._process

    async def is_ready(self) -> bool:
        """Return whether the readiness probe succeeds."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
        except OSError:
            return False
        writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        with contextlib.suppress(OSError, EOFError):
            first, _ = await read_head(reader)
            writer.close()
            return first.split()[1] == "200"
        return False


class Replica:
    """A replica in a process of its own."""

    def __init__(self, name: str, service: str, *, folder: Path, zone: str) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.port = find_free_ports(1)[0]
        self.born = int(time.time() * 1000)
        self.runs = folder / f"{name}.runs"
        self._log = folder / f"{name}.log"
        self._process: Process | None = None

    def start(self, **options: object) -> None:
        """Start the process."""
        words = [sys.executable, str(Path(__file__).resolve()), self.name]
        content = json.dumps(options | {"born": self.born, "runs": str(self.runs)})
        self._process = Process(
            [*words, str(self.port), content],
            environment=make_environment(),
            log=self._log,
        )

    @property
    def process(self) -> Process:
        """The process, after its start."""
        assert self._process is not None
        return self._process

    def make_entry(self, *, slots: int, state: str = "ready") -> dict:
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": slots,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": self.born,
        }

    def read_runs(self) -> list[dict]:
        """Return what the replica has written of its runs."""
        if not self.runs.exists():
            return []
        lines = self.runs.read_text().splitlines()
        return [json.loads(line) for line in lines if line.endswith("}")]


def make_route(name: str, kind: str, service: str, **changes: object) -> dict:
    """Return a route of the configuration, with the prefix ``/NAME/``."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "type": kind,
        "timeout_ms": 1500,
        "slo_ms": 125,
        "priority": 2,
        "service": service,
        "max_attempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
        **changes,
    }


class Stage:
    """The store, the gateways and the replicas of one test."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.store = Store()
        self.gateways: list[Gateway] = []
        self.replicas: list[Replica] = []
        self._slots = 6
        self._service = ""
        self._options: dict[str, object] = {}
        self._seeds: list[int] = []
        self._memory_mb = 150

    async def start(
        self,
        *,
        gateways: int,
        replicas: int,
        service: str,
        routes: list[dict],
        spec: dict | None = None,
        slots: int = 6,
        memory_mb: int = 150,
        **options: object,
    ) -> None:
        """Start everything, and wait until all gateways are ready."""
        await self.store.start()
        self._slots, self._service, self._options = slots, service, options
        for _ in range(replicas):
            self.add_replica()
        services = [{"name": service, "max_connections": 370, **(spec or {})}]
        self.store.put(
            "op",
            "config",
            {
                "version": 7,
                "routes": routes,
                "services": services,
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 4194304,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000,
                },
                "tenants": [
                    {"name": name, "api_keys": [key]} for name, key in TENANTS.items()
                ],
            },
        )
        self.gateways = [
            Gateway(f"edge-{number}", folder=self.folder, zone=ZONES[number % 3])
            for number in range(gateways)
        ]
        seeds = [gateway.operators for gateway in self.gateways]
        self._seeds, self._memory_mb = seeds, memory_mb
        for gateway in self.gateways:
            self.start_gateway(gateway)
        ends_at = time.monotonic() + START_SECONDS
        while not all([await item.is_ready() for item in self.gateways]):
            if time.monotonic() > ends_at:
                raise RuntimeError("a gateway did not become ready")
            self.check_gateways()
            await asyncio.sleep(0.1)
        await asyncio.sleep(3.0)  # until the gateways know each other
        self.check_gateways()

    def check_gateways(self) -> None:
        """Raise ``RuntimeError`` if a gateway has ended that nobody stopped."""
        for gateway in self.gateways:
            code = gateway.process.exit_code
            if code is not None and not gateway.process.is_signalled:
                raise RuntimeError(f"{gateway.name} has ended, exit code {code}")

    def start_gateway(self, gateway: Gateway) -> None:
        """Start a gateway, or start it again after its end."""
        gateway.start(
            store=self.store.address, seeds=self._seeds, memory_mb=self._memory_mb
        )

    def add_replica(self) -> Replica:
        """Start a replica and list it."""
        number = len(self.replicas)
        replica = Replica(
            f"i-{number:04d}",
            self._service,
            folder=self.folder,
            zone=ZONES[number % len(ZONES)],
        )
        replica.start(**self._options)
        self.replicas.append(replica)
        self.list_replica(replica)
        return replica

    def list_replica(self, replica: Replica, state: str = "ready") -> None:
        """Write a replica's entry."""
        entry = replica.make_entry(slots=self._slots, state=state)
        self.store.put("servers", replica.name, entry)

    async def replace_crashed(self, *, back_after: float) -> None:
        """Drop crashed replicas after three heartbeats, and start others."""
        loop = asyncio.get_running_loop()
        seen: set[str] = set()
        while True:
            await asyncio.sleep(0.05)
            for replica in list(self.replicas):
                if replica.name in seen or replica.process.exit_code is None:
                    continue
                seen.add(replica.name)
                self.record.add(f"replica {replica.name} has ended")
                seconds = 3 * HEARTBEAT_SECONDS
                loop.call_later(seconds, self.store.remove, "servers", replica.name)
                loop.call_later(back_after, self.add_replica)

    def kill_replicas(self, replicas: list[Replica]) -> None:
        """Crash replicas; the store drops their entries after three heartbeats."""
        for replica in replicas:
            replica.process.send(signal.SIGKILL)
        for replica in replicas:
            self.record.add(f"replica {replica.name} crashes (SIGKILL)")
        loop = asyncio.get_running_loop()
        for replica in replicas:
            loop.call_later(
                3 * HEARTBEAT_SECONDS, self.store.remove, "servers", replica.name
            )

    def close(self) -> None:
        """End all processes, and add the runs to the record."""
        for gateway in self.gateways:
            if gateway._process is not None:
                gateway.process.end()
        for replica in self.replicas:
            replica.process.end()
            for run in replica.read_runs():
                text = run.pop("event")
                at = run.pop("at")
                details = " ".join(f"{name}={value}" for name, value in run.items())
                self.record.add(f"replica {replica.name} {text} {details}", at=at)


class Answer:
    """What a client has received."""

    def __init__(self, attempt: str) -> None:
        self.attempt = attempt
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_complete = False
        self.cause = ""
        self.sent_at = 0.0
        self.ended_at = 0.0

    def describe(self) -> str:
        """Return a line for the record."""
        end = "complete" if self.is_complete else f"not complete ({self.cause})"
        return (
            f"client {self.attempt} got status={self.status} bytes={len(self.body)} "
            f"{end} after {self.ended_at - self.sent_at:.3f} s"
        )


async def _read_chunks(reader: asyncio.StreamReader, answer: Answer) -> None:
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        answer.body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")


async def request(
    port: int,
    target: str,
    *,
    attempt: str | None = None,
    method: str = "POST",
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    deadline: float = 1.5,
    leave_after: float | None = None,
) -> Answer:
    """Send one request on a new connection, and read the answer."""
    answer = Answer(attempt or f"{random.getrandbits(64):016x}")
    answer.sent_at = time.monotonic()
    lines = {
        "Host": HOST,
        "Attempt-Id": answer.attempt,
        "Deadline-Ms": str(int(deadline * 1000)),
        "Authorization": f"Token {KEY}",
        **(headers or {}),
    }
    if method != "GET":
        lines["Content-Length"] = str(len(body))
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    writer = None
    try:
        async with asyncio.timeout(deadline if leave_after is None else leave_after):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body)
            first, pairs = await read_head(reader)
            answer.status = int(first.split()[1])
            answer.headers = dict(pairs)
            if "chunked" in answer.headers.get("transfer-encoding", ""):
                await _read_chunks(reader, answer)
            else:
                length = int(answer.headers["content-length"])
                answer.body = await reader.readexactly(length)
            answer.is_complete = True
    except TimeoutError:
        answer.cause = "the client left"
    except (OSError, EOFError, asyncio.IncompleteReadError) as error:
        answer.cause = type(error).__name__
    finally:
        answer.ended_at = time.monotonic()
        if writer is not None:
            writer.close()
    return answer


def run_case(
    main: Callable[[Stage, bool], AsyncIterator[str]],
    folder: Path,
    *,
    has_trouble: bool,
) -> int:
    """
    Run a test, and write its record.

    Parameters
    ----------
    main : callable
        Gets the stage and whether the disruption takes place, and yields each violation
        of the rule.
    folder : Path
        Folder of the case.
    has_trouble : bool
        Whether the disruption takes place.

    Returns
    -------
    int
        1 if the rule was broken, 0 if it held, 2 if the test couldn't run.
    """
    record = Record()
    violations: list[str] = []

    async def run() -> None:
        with tempfile.TemporaryDirectory() as name:
            stage = Stage(Path(name), record)
            try:
                async with asyncio.timeout(110):
                    async for item in main(stage, has_trouble):
                        violations.append(item)
                        record.add(f"VIOLATION {item}")
                    stage.check_gateways()
            finally:
                stage.close()
                if keep := os.environ.get("KEEP_LOGS"):
                    for gateway in stage.gateways:
                        target = Path(keep) / gateway.log.name
                        target.write_bytes(gateway.log.read_bytes())

    try:
        asyncio.run(run())
        code = 1 if violations else 0
    except Exception as error:
        record.add(f"could not run: {error!r}")
        code = 2
    trouble = "with" if has_trouble else "without"
    record.add(f"{trouble} the disruption: {len(violations)} violations, exit {code}")
    record.write(folder / "record.txt")
    print(f"{trouble} the disruption: {len(violations)} violations, exit {code}")
    return code


class ReplicaServer:
    """
    A replica: runs requests, and sends streams of events or short answers.

    Parameters
    ----------
    name : str
    options : dict
        ``born``, ``runs``, and how it answers: ``events`` and ``interval`` of a stream
        (0 events: a short answer), ``work`` in seconds, ``unframed_every``, the number
        of answers of which one has no length, and ``pause_file``: a file that names a
        replica which rejects requests, the seconds that it asks for, and until when it
        rejects, by the monotonic clock.
    """

    def __init__(self, name: str, options: dict) -> None:
        self._name = name
        self._options = options
        self._count = 0
        self._runs = Path(options["runs"])

    def _note(self, event: str, **details: object) -> None:
        line = {"event": event, "at": time.monotonic(), **details}
        with self._runs.open("a") as file:
            file.write(json.dumps(line) + "\n")

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        raw = writer.get_extra_info("socket")
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(EOFError, OSError, asyncio.IncompleteReadError):
            while True:
                first, pairs = await read_head(reader)
                headers = dict(pairs)
                length = int(headers.get("content-length", 0))
                await reader.readexactly(length)
                if not await self._respond(first, headers, writer):
                    break
        writer.close()

    async def _respond(
        self, first: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; returns whether the connection stays open."""
        path = first.split()[1]
        if path == "/-/report":
            report = {"phase": "unified", "models": [], "busy": False, "sequence": 1}
            report |= {"queued": 0, "active": 0, "kv_used": 0, "kv_total": 90000}
            data = json.dumps(report | {"born": self._options["born"]}).encode()
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(data)}\r\n\r\n"
            writer.write(head.encode() + data)
            return True
        if path == "/healthz":
            head = f"HTTP/1.1 200 OK\r\nInstance-Id: {self._name}\r\n"
            writer.write(head.encode() + b"Content-Length: 0\r\n\r\n")
            return True
        attempt = headers.get("attempt-id", "")
        head = (
            f"Attempt-Id: {attempt}\r\nInstance-Id: {self._name}\r\n"
            f"Response-Signature: {self._name}.{attempt}\r\n"
        )
        if headers.get("expected-instance", self._name) != self._name:
            text = f"HTTP/1.1 421 Misdirected\r\n{head}Content-Length: 0\r\n\r\n"
            writer.write(text.encode())
            return True
        pause = self._read_pause()
        if pause is not None:
            self._note("rejects", id=attempt, retry_after=pause)
            text = f"HTTP/1.1 503 Busy\r\n{head}Not-Executed: 1\r\n"
            text += f"Retry-After: {pause}\r\nContent-Length: 0\r\n\r\n"
            writer.write(text.encode())
            return True
        self._count += 1
        every = self._options.get("unframed_every", 0)
        is_unframed = bool(every) and self._count % every == 0
        self._note("runs", id=attempt, path=path, unframed=is_unframed)
        if path.endswith("/crash"):
            if self._options.get("events"):
                self._begin_stream(head, writer)
            await self._crash(int(headers["deadline-ms"]) / 1000)
        await asyncio.sleep(self._options.get("work", 0.015))
        if not self._options.get("events"):
            body = f"done {attempt}".encode()
            text = f"HTTP/1.1 200 OK\r\n{head}Content-Length: {len(body)}\r\n\r\n"
            writer.write(text.encode() + body)
        else:
            await self._stream(head, writer, is_unframed=is_unframed)
        self._note("ends", id=attempt)
        return not is_unframed

    def _begin_stream(self, head: str, writer: asyncio.StreamWriter) -> None:
        """Send the head and the first event of a stream."""
        text = f"HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n"
        text += "Transfer-Encoding: chunked\r\n\r\n"
        event = b"id: 1\ndata: x\n\n"
        writer.write(text.encode() + b"%x\r\n%s\r\n" % (len(event), event))

    async def _crash(self, seconds_left: float) -> None:
        """End the process, unless the deadline comes first, which ends the work."""
        crash_seconds = self._options["crash_after"]
        if crash_seconds <= seconds_left:
            await asyncio.sleep(crash_seconds)
            self._note("crashes")
            os._exit(1)
        await asyncio.sleep(seconds_left)

    def _read_pause(self) -> int | None:
        """Return the seconds that it asks for while it rejects requests."""
        file = self._options.get("pause_file")
        if file is None or not Path(file).exists():
            return None
        instance, seconds, ends_at = Path(file).read_text().split()
        is_over = instance != self._name or time.monotonic() >= float(ends_at)
        return None if is_over else int(seconds)

    async def _stream(
        self, head: str, writer: asyncio.StreamWriter, *, is_unframed: bool
    ) -> None:
        framing = "Connection: close" if is_unframed else "Transfer-Encoding: chunked"
        text = f"HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n"
        writer.write(f"{text}{framing}\r\n\r\n".encode())
        for number in range(1, self._options["events"] + 1):
            event = f"id: {number}\ndata: {'x' * 40}\n\n".encode()
            frame = b"%x\r\n%s\r\n" % (len(event), event)
            writer.write(event if is_unframed else frame)
            await writer.drain()
            await asyncio.sleep(self._options["interval"])
        if not is_unframed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()


async def run_replica(name: str, port: int, options: dict) -> None:
    """Serve as a replica until the process is killed."""
    replica = ReplicaServer(name, options)
    server = await asyncio.start_server(
        replica.serve, "127.0.0.1", port, backlog=options.get("backlog", 512)
    )
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(run_replica(sys.argv[1], int(sys.argv[2]), json.loads(sys.argv[3])))
