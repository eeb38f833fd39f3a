"""
Stand-ins of the cases
======================

A store, replicas and clients that speak the users' protocol, and the gateway processes
of the deploy file.  Everything listens on loopback addresses and free ports.
"""

import asyncio
import base64
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parent.parent
HOST = "shop.example"
KEY = "key-of-skippers"
TENANT = "skippers"
HEARTBEAT_SECONDS = 1.2
HISTORY_SECONDS = 20.0
SEGMENT_BYTES = 1460
# Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2
BOUNDS = {
    "retry_ratio": 0.2,
    "budget_slack": 56,
    "retry_window_s": 10,
    "grace_s": 8,
}


class Record:
    """The record of a case: what was sent, answered and run, with the time."""

    def __init__(self, folder: Path) -> None:
        self._started_at = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    @property
    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        line = f"{self.now:8.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


class Request:
    """A request as a stand-in has read it."""

    def __init__(self, method: str, target: str, headers: dict[str, str]) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""

    @property
    def attempt(self) -> str:
        """The attempt id of the request, empty without one."""
        return self.headers.get("attempt-id", "")

    @property
    def length(self) -> int:
        """The length of the body in bytes."""
        return int(self.headers.get("content-length", "0"))


async def read_head(reader: asyncio.StreamReader) -> Request | None:
    """Read the head of a request; ``None`` at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    words = lines[0].split(" ")
    pairs = (line.split(":", 1) for line in lines[1:] if ":" in line)
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    if len(words) != 3:
        return Request("INVALID", lines[0][:80], headers)
    return Request(words[0], words[1], headers)


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a request with its body; ``None`` at the end of the connection."""
    request = await read_head(reader)
    if request is not None and request.length:
        request.body = await reader.readexactly(request.length)
    return request


def make_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def make_chunk(data: bytes) -> bytes:
    """Return data as a chunk; the last one if it is empty."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Store:
    """The platform's store: tables, transactions and long polls."""

    def __init__(self) -> None:
        self.address = ""
        self._version = 100
        self._rows: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: list[tuple[float, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def write(self, table: str, key: str, document: dict[str, Any]) -> None:
        """Write a row."""
        self.write_data(table, key, json.dumps(document).encode())

    def write_data(self, table: str, key: str, data: bytes) -> None:
        """Write a row whose content is given as bytes."""
        self._put(table, key, {"data": base64.b64encode(data).decode()})

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        if (table, key) in self._rows:
            self._put(table, key, {"deleted": True})

    def _put(self, table: str, key: str, change: dict[str, Any]) -> None:
        self._version += 1
        row = {"table": table, "part": "", "key": key, "schema_version": self._version}
        row |= change
        if row.get("deleted"):
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = row
        self._history.append((time.monotonic(), row))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                status, content = await self._handle(request)
                body = json.dumps(content).encode()
                headers = {"Content-Type": "application/json", "Store-Era": "1"}
                writer.write(make_response(status, headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(self, request: Request) -> tuple[int, dict[str, Any]]:
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        await asyncio.sleep(0.004)
        if parts.path == "/-/rows-get":
            return 200, self._read(query)
        if parts.path == "/-/rows-feed":
            return await self._follow(query)
        if parts.path == "/-/rows-tx":
            return self._apply(json.loads(request.body))
        return 404, {}

    def _make_page(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        now_ms = int(time.monotonic() * 1000)
        return {"rows": rows, "schema_version": self._version, "now_ms": now_ms}

    def _read(self, query: dict[str, str]) -> dict[str, Any]:
        first, last = query.get("range_start", ""), query.get("to")
        keys = sorted(
            key
            for table, key in self._rows
            if table == query["table"] and key >= first and (last is None or key < last)
        )
        limit = int(query.get("limit", "500"))
        rows = [self._rows[query["table"], key] for key in keys[:limit]]
        return self._make_page(rows) | {"has_more": len(keys) > limit}

    async def _follow(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        since = int(query["since_revision"])
        ends_at = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        cutoff = time.monotonic() - HISTORY_SECONDS
        lost = [row["schema_version"] for at, row in self._history if at < cutoff]
        if lost and since < max(lost):
            return 410, {}
        while True:
            rows = [
                row
                for _, row in self._history
                if row["table"] == query["table"] and row["schema_version"] > since
            ]
            remaining = ends_at - time.monotonic()
            if rows or remaining <= 0:
                return 200, self._make_page(rows)
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                continue

    def _apply(self, change: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        conditions = change.get("precondition", [])
        current = [self._rows.get((row["table"], row["key"])) for row in conditions]
        for condition, row in zip(conditions, current, strict=True):
            version = 0 if row is None else row["schema_version"]
            if condition["schema_version"] != version:
                return 412, self._make_page([item for item in current if item])
        for row in change.get("write", []):
            self._put(row["table"], row["key"], {"data": row["data"]})
        for row in change.get("remove", []):
            self.remove(row["table"], row["key"])
        return 200, self._make_page([])


Handler = Callable[
    ["Replica", Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]
]


class Replica:
    """
    A replica that renews its entry in the store.

    The handler of a request returns whether the connection stays open.  The head of the
    request has been read, its body has not.
    """

    def __init__(
        self,
        *,
        name: str,
        store: Store,
        handler: Handler,
        service: str = "shop",
        receive_buffer: int = 0,
    ) -> None:
        self.name = name
        self._receive_buffer = receive_buffer
        self.address = ""
        self.born = int(time.time() * 1000)
        self.is_up = False
        self._service = service
        self._store = store
        self._handler = handler
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._heartbeat: asyncio.Task[None] | None = None

    async def start(self, port: int = 0) -> None:
        """Listen, on a free port if none is given, and write the entry."""
        self.born = int(time.time() * 1000)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self._receive_buffer:
            # Small windows and the segments of an Ethernet link.
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer
            )
            listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        listener.bind(("127.0.0.1", port))
        self._server = await asyncio.start_server(self._serve, sock=listener)
        number = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{number}"
        self.is_up = True
        self._heartbeat = asyncio.create_task(self._renew())

    async def crash(self) -> None:
        """End as a process that crashes: connections are reset, the port refuses."""
        self.is_up = False
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def restart_after(self, seconds: float) -> None:
        """Start again at the same address under the same id."""
        await asyncio.sleep(seconds)
        await self.start(int(self.address.rpartition(":")[2]))

    async def _renew(self) -> None:
        while True:
            self._sequence += 1
            entry = {
                "service": self._service, "address": self.address, "zone": "hout",
                "version": "1", "slots": 8, "state": "ready", "warmup_left_ms": 0,
                "sequence": self._sequence, "born": self.born,
            }  # fmt: skip
            self._store.write("servers", self.name, entry)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while self.is_up and (request := await read_head(reader)) is not None:
                if not await self._handler(self, request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def make_route(name: str, prefix: str, kind: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": name, "host": HOST, "prefix": prefix, "type": kind, "service": "shop",
        "timeout_ms": 1500, "slo_ms": 125, "priority": 1, "max_attempts": 1,
        "public": False,
    } | changes  # fmt: skip


def make_configuration(
    routes: list[dict[str, Any]], *, version: int = 1, engine: bool = False
) -> dict[str, Any]:
    """Return a configuration with the services of the routes and one tenant."""
    names = sorted({str(route["service"]) for route in routes})
    services: list[dict[str, Any]] = [
        {"name": name, "max_connections": 110} for name in names
    ]
    if engine:
        for service in services:
            service["engine"] = {"slots": 64, "kv_capacity": 245_097, "stride": 4}
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY]}],
    }  # fmt: skip


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the settings template of the deploy file."""

    def find(path: str) -> Any:
        value: Any = fields
        for name in path.split("."):
            value = value.get(name) if isinstance(value, dict) else None
        return value

    def render_section(match: re.Match[str]) -> str:
        return match.group(2) if find(match.group(1)) else ""

    def render_value(match: re.Match[str]) -> str:
        value = find(match.group(1))
        return json.dumps(value) if match.group(2) else str(value)

    text = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", render_section, template, flags=16
    )
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", render_value, text)


class Gateways:
    """Gateway processes, started with the command of the deploy file."""

    def __init__(self, *, store: Store, count: int) -> None:
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._store = store
        self._processes: dict[int, subprocess.Popen[bytes]] = {}
        # Loopback addresses of their own, since the template names a fixed port.
        self._network = f"127.{1 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        self._ports = [_find_free_port(f"{self._network}.1") for _ in range(4)]
        self._count = count
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        self._role = deploy["roles"]["gateway"]
        self._template = (REPOSITORY / self._role["template"]).read_text()

    @property
    def numbers(self) -> range:
        """The numbers of the gateways."""
        return range(self._count)

    def get_address(self, number: int, port: int = 0) -> str:
        """Return an address of a gateway, that for callers if no port is given."""
        return f"{self._network}.{number + 1}:{port or self._ports[0]}"

    def is_running(self, number: int) -> bool:
        """Return whether a gateway's process runs."""
        process = self._processes.get(number)
        return process is not None and process.poll() is None

    def start(self, number: int) -> None:
        """Start a gateway."""
        callers, ready, admin, peers = self._ports
        fields = {
            "node_name": f"edge-hout-{number + 1}", "zone": "hout",
            "listen": {
                "http": self.get_address(number, callers),
                "ready": self.get_address(number, ready),
                "admin": self.get_address(number, admin),
            },
            "platform": {"address": self._store.address},
            "internal_ports": [peers, peers],
            "seeds": [self.get_address(item, admin) for item in self.numbers[:3]],
            "limits": {"cpu_quota": 0.537},
            "bounds": BOUNDS,
        }  # fmt: skip
        file = self._folder / f"{number}.json"
        file.write_text(render(self._template, fields))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "LANG": "C.UTF-8",
            "DAMASKLEAD_SETTINGS": str(file),
            "DAMASKLEAD_CALLERS": fields["listen"]["http"],
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
        }
        with (self._folder / f"{number}.log").open("ab") as log:
            self._processes[number] = subprocess.Popen(
                self._role["run"].split(),
                cwd=REPOSITORY, env=environment, stdout=log, stderr=log,
            )  # fmt: skip

    def send_signal(self, number: int, signal_number: signal.Signals) -> None:
        """Send a signal to a gateway's process if it runs."""
        if self.is_running(number):
            self._processes[number].send_signal(signal_number)

    async def wait_until_ready(self, number: int, seconds: float = 20.0) -> bool:
        """Wait until a gateway's readiness probe succeeds; returns whether it did."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            try:
                reader, writer = await open_connection(
                    self.get_address(number, self._ports[1])
                )
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if b" 200 " in line:
                    return True
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False

    def get_memory_mb(self, number: int) -> int:
        """Return the resident memory of a gateway's process."""
        status = Path(f"/proc/{self._processes[number].pid}/status").read_text()
        return int(status.split("VmRSS:")[1].split()[0]) // 1024

    def close(self) -> None:
        """End all processes, and remove their settings and logs."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)


class Response:
    """What a client has received; ``is_whole`` if it ended as the head says."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False


class Client:
    """A client with one kept connection."""

    def __init__(self, address: str) -> None:
        self._address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        *,
        method: str,
        path: str,
        attempt: str,
        body: bytes = b"",
        deadline_ms: int = 1500,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a request."""
        if self.writer is None:
            self.reader, self.writer = await open_connection(self._address)
        all_headers = {
            "Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {KEY}", "Content-Length": str(len(body)),
        } | (headers or {})  # fmt: skip
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in all_headers.items()]
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)

    async def receive(self, seconds: float = 10.0) -> Response:
        """Return the response; status 0 if the connection ended before its head."""
        response = Response()
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            await asyncio.wait_for(self._receive(response), seconds)
        return response

    async def _receive(self, response: Response) -> None:
        assert self.reader is not None
        head = await self.reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        response.status = int(lines[0].split()[1])
        pairs = (line.split(":", 1) for line in lines[1:] if ":" in line)
        response.headers = {name.lower(): value.strip() for name, value in pairs}
        if "content-length" in response.headers:
            length = int(response.headers["content-length"])
            response.body = await self.reader.readexactly(length)
            response.is_whole = True
            return
        while True:
            line = await self.reader.readline()
            if not line:
                return
            size = int(line.split(b";")[0], 16)
            response.body += await self.reader.readexactly(size)
            await self.reader.readexactly(2)
            if not size:
                response.is_whole = True
                return

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
            self.writer = None


async def open_connection(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to an address."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def request_once(address: str, seconds: float = 10.0, **request: Any) -> Response:
    """Send a request on a connection of its own; return the response."""
    client = Client(address)
    try:
        await client.send(**request)
        return await client.receive(seconds)
    except OSError:
        return Response()
    finally:
        client.close()


def is_troubled() -> bool:
    """Return whether the case runs with its disruption, by its first argument."""
    return sys.argv[1:] != ["0"]


def run_case(case: Callable[[Record], Awaitable[int]], folder: Path) -> None:
    """Run a case and exit with its code."""
    record = Record(folder)
    try:
        code = asyncio.run(asyncio.wait_for(case(record), 110.0))
    except Exception as error:
        record.write(f"the case couldn't run: {error!r}")
        code = NOT_RUN
    record.write(f"exit code {code}")
    sys.exit(code)


def _find_free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])
