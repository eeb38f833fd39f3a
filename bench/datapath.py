"""
Bench of the data path
======================

Processor time for each streamed chunk and each request of one entry, and the latency that it adds
to a direct call, with the entry and a fast engine as processes of their own.

Use: ``python -m bench.datapath``.
"""

import statistics
import time
from pathlib import Path

import gevent
import msgspec

from damasklead.demo.local import KEYS
from damasklead.upstreams import ConnectionPool
from damasklead.upstreams.transport import send_request
from tests.processes import Deployment

STREAMS = 300
TOKENS = 200
REQUESTS = 1000
CONCURRENT = 8
LATENCY_PAIRS = 200
TICKS_PER_SECOND = 100.0
MODEL = "demo-7b"
PATH = "/v1/chat/completions"


class Client:
    """Sends requests to one address and counts chunks."""

    def __init__(self, *, address: str) -> None:
        self.address = address
        self.pool = ConnectionPool()
        self.chunks = 0

    def ask(self, number: int, *, tokens: int, stream: bool) -> float:
        """Send one request and read its answer; returns the seconds to the first chunk."""
        document = {
            "model": MODEL,
            "messages": [{"role": "user", "content": f"bench {number}"}],
            "max_tokens": tokens,
            "stream": stream,
        }
        headers = (
            ("Authorization", f"Bearer {KEYS['skippers']}"),
            ("X-Request-ID", f"bench-{number}"),
        )
        began = time.perf_counter()
        answer = send_request(
            self.pool,
            self.address,
            method="POST",
            path=PATH,
            headers=headers,
            body=msgspec.json.encode(document),
            read_timeout=60.0,
        )
        first = 0.0
        while answer.read_chunk():
            first = first or time.perf_counter() - began
            self.chunks += 1
        return first


def cpu_seconds(pid: int) -> float:
    """Return the processor time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_megabytes(pid: int) -> float:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def main() -> None:
    """Measure and print."""
    with Deployment(entries=1, engines=6, services=0) as deployment:
        pid = deployment.processes["entry-0"].pid
        client = Client(address=deployment.callers["entry-0"])
        direct = Client(address=deployment.upstreams["engine-0"])
        idle = measure_idle(pid)
        measure_streams(pid, client, idle)
        measure_requests(pid, client, idle)
        measure_latency(client, direct)


def measure_idle(pid: int) -> float:
    """Return the processor time a second of an entry without traffic."""
    gevent.sleep(1.0)
    before = cpu_seconds(pid)
    gevent.sleep(5.0)
    idle = (cpu_seconds(pid) - before) / 5.0
    print(f"idle: {100 * idle:.2f} % of a core, {resident_megabytes(pid):.0f} MB")
    return idle


def measure_streams(pid: int, client: Client, idle: float) -> None:
    """Print the processor time for each chunk of many streams at once."""
    before, began = cpu_seconds(pid), time.perf_counter()
    greenlets = [
        gevent.spawn(client.ask, number, tokens=TOKENS, stream=True)
        for number in range(STREAMS)
    ]
    gevent.sleep(1.0)
    memory = resident_megabytes(pid)
    gevent.joinall(greenlets, raise_error=True)
    seconds = time.perf_counter() - began
    used = cpu_seconds(pid) - before - idle * seconds
    per_chunk = 1e6 * used / (STREAMS * TOKENS)
    rate = STREAMS * TOKENS / seconds
    print(
        f"{STREAMS} streams of {TOKENS} events: {per_chunk:.1f} us an event "
        f"(requests included), {rate:.0f} events/s, {memory:.0f} MB"
    )


def measure_requests(pid: int, client: Client, idle: float) -> None:
    """Print the processor time for each short request."""
    before, began = cpu_seconds(pid), time.perf_counter()

    def work(start: int) -> None:
        for number in range(start, REQUESTS, CONCURRENT):
            client.ask(10_000 + number, tokens=1, stream=False)

    greenlets = [gevent.spawn(work, start) for start in range(CONCURRENT)]
    gevent.joinall(greenlets, raise_error=True)
    seconds = time.perf_counter() - began
    used = cpu_seconds(pid) - before - idle * seconds
    print(f"{REQUESTS} requests: {1e6 * used / REQUESTS:.0f} us a request")


def measure_latency(client: Client, direct: Client) -> None:
    """Print the latency added to a direct call, pair by pair."""
    added = []
    for number in range(LATENCY_PAIRS):
        plain = direct.ask(20_000 + number, tokens=1, stream=True)
        routed = client.ask(20_000 + number, tokens=1, stream=True)
        added.append(1000 * (routed - plain))
    print(
        f"added latency: median {statistics.median(added):.2f} ms, "
        f"90 in 100 below {statistics.quantiles(added, n=10)[8]:.2f} ms"
    )


if __name__ == "__main__":
    main()
