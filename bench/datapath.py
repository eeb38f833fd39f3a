"""
Benchmark of the data path
==========================

Measures the processor time of an entry for each event of a stream and for each request,
and the latency that it adds to a direct call.  The entry and the engines are separate
processes.

Use: ``python -m bench.datapath``.
"""

import statistics
import time
from pathlib import Path

import gevent
import msgspec

from damasklead.demo.local import WORKSPACE_KEYS
from damasklead.upstreams import ConnectionPool
from damasklead.upstreams.transport import send_request
from tests.processes import Deployment

STREAM_COUNT = 300
TOKENS_PER_STREAM = 200
REQUEST_COUNT = 1000
CONCURRENT_REQUESTS = 8
LATENCY_PAIRS = 200
CLOCK_TICKS_PER_SECOND = 100.0
MODEL = "demo-7b"
PATH = "/v1/chat/completions"


class Client:
    """Sends requests to one address and counts the chunks of the responses."""

    def __init__(self, *, address: str) -> None:
        self.address = address
        self.pool = ConnectionPool()
        self.chunk_count = 0

    def send_completion(self, number: int, *, tokens: int, stream: bool) -> float:
        """Send a request and read the response; returns seconds to the first chunk."""
        document = {
            "model": MODEL,
            "messages": [{"role": "user", "content": f"bench {number}"}],
            "max_tokens": tokens,
            "stream": stream,
        }
        headers = (
            ("Authorization", f"Bearer {WORKSPACE_KEYS['skippers']}"),
            ("X-Request-ID", f"bench-{number}"),
        )
        started_at = time.perf_counter()
        response = send_request(
            self.pool,
            self.address,
            method="POST",
            path=PATH,
            headers=headers,
            body=msgspec.json.encode(document),
            read_timeout=60.0,
        )
        first_chunk_seconds = 0.0
        while response.read_chunk():
            first_chunk_seconds = (
                first_chunk_seconds or time.perf_counter() - started_at
            )
            self.chunk_count += 1
        return first_chunk_seconds


def get_cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def get_resident_megabytes(pid: int) -> float:
    """Return the resident megabytes of a process in megabytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def main() -> None:
    """Run all measurements and print the results."""
    with Deployment(entries=1, engines=6, services=0) as deployment:
        pid = deployment.processes["entry-0"].pid
        client = Client(address=deployment.caller_addresses["entry-0"])
        direct_client = Client(address=deployment.upstream_addresses["engine-0"])
        idle_cpu_fraction = measure_idle(pid)
        measure_streams(pid, client, idle_cpu_fraction)
        measure_requests(pid, client, idle_cpu_fraction)
        measure_latency(client, direct_client)


def measure_idle(pid: int) -> float:
    """Return the part of a core that an entry without traffic uses."""
    gevent.sleep(1.0)
    cpu_seconds_before = get_cpu_seconds(pid)
    gevent.sleep(5.0)
    idle_cpu_fraction = (get_cpu_seconds(pid) - cpu_seconds_before) / 5.0
    print(
        f"idle: {100 * idle_cpu_fraction:.2f} % of a core, "
        f"{get_resident_megabytes(pid):.0f} MB"
    )
    return idle_cpu_fraction


def measure_streams(pid: int, client: Client, idle_cpu_fraction: float) -> None:
    """Print the processor time for each event of concurrent streams."""
    cpu_seconds_before, started_at = get_cpu_seconds(pid), time.perf_counter()
    greenlets = [
        gevent.spawn(
            client.send_completion, number, tokens=TOKENS_PER_STREAM, stream=True
        )
        for number in range(STREAM_COUNT)
    ]
    gevent.sleep(1.0)
    megabytes = get_resident_megabytes(pid)
    gevent.joinall(greenlets, raise_error=True)
    seconds = time.perf_counter() - started_at
    used_seconds = (
        get_cpu_seconds(pid) - cpu_seconds_before - idle_cpu_fraction * seconds
    )
    event_microseconds = 1e6 * used_seconds / (STREAM_COUNT * TOKENS_PER_STREAM)
    events_per_second = STREAM_COUNT * TOKENS_PER_STREAM / seconds
    print(
        f"{STREAM_COUNT} streams of {TOKENS_PER_STREAM} events: "
        f"{event_microseconds:.1f} us an event "
        f"(requests included), {events_per_second:.0f} events/s, {megabytes:.0f} MB"
    )


def measure_requests(pid: int, client: Client, idle_cpu_fraction: float) -> None:
    """Print the processor time for each request with a response of one token."""
    cpu_seconds_before, started_at = get_cpu_seconds(pid), time.perf_counter()

    def send_requests(start: int) -> None:
        for number in range(start, REQUEST_COUNT, CONCURRENT_REQUESTS):
            client.send_completion(10_000 + number, tokens=1, stream=False)

    greenlets = [
        gevent.spawn(send_requests, start) for start in range(CONCURRENT_REQUESTS)
    ]
    gevent.joinall(greenlets, raise_error=True)
    seconds = time.perf_counter() - started_at
    used_seconds = (
        get_cpu_seconds(pid) - cpu_seconds_before - idle_cpu_fraction * seconds
    )
    print(
        f"{REQUEST_COUNT} requests: "
        f"{1e6 * used_seconds / REQUEST_COUNT:.0f} us a request"
    )


def measure_latency(client: Client, direct_client: Client) -> None:
    """Print the latency that the entry adds, by pairs of direct and routed calls."""
    added_milliseconds = []
    for number in range(LATENCY_PAIRS):
        direct_seconds = direct_client.send_completion(
            20_000 + number, tokens=1, stream=True
        )
        routed_seconds = client.send_completion(20_000 + number, tokens=1, stream=True)
        added_milliseconds.append(1000 * (routed_seconds - direct_seconds))
    print(
        f"added latency: median {statistics.median(added_milliseconds):.2f} ms, "
        "90 in 100 below "
        f"{statistics.quantiles(added_milliseconds, n=10)[8]:.2f} ms"
    )


if __name__ == "__main__":
    main()
