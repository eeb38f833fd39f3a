"""
Cost of tunnels for the gateway that opens them
===============================================

Starts the server of tunnels in a process of its own, between this process and a server
of streams, and prints the memory and descriptors that each tunnel takes, and the
processor time of opening one, of an event and of a megabyte.

Use: ``python -m bench.tunnels [--tunnels N] [--events N]``.
"""

import argparse
import subprocess
import sys
from pathlib import Path

import gevent
from gevent import socket
from gevent.server import StreamServer

from damasklead.clock import ManualClock
from damasklead.demo.local import find_free_address
from damasklead.gateway.journal import Journal
from damasklead.loop import LoopClock
from damasklead.memory_budget import MemoryAccount
from damasklead.tunnels.reachability import Reachability
from damasklead.tunnels.server import TunnelServer
from damasklead.util import split_address
from tests.slow_callers import count_descriptors

EVENT = b"id: 1\ndata: " + b"x" * 86 + b"\n\n"
EVENT_INTERVAL_SECONDS = 0.02
LARGE_BYTES = 200_000_000
PIECE_BYTES = 65_536
START_SECONDS = 1.0
SETTLE_SECONDS = 0.5


def run_helper(address: str) -> None:
    """Serve tunnels to all addresses until the process is killed."""
    clock = ManualClock()
    TunnelServer(
        address=address,
        reachability=Reachability(clock=clock, get_replica_count=lambda: 9),
        is_peer=lambda host: True,
        is_replica=lambda target: True,
        is_stopping=lambda: False,
        account=MemoryAccount(clock=clock),
        get_max_tunnels=lambda: 1e9,
        clock=LoopClock(),
        journal=Journal(instance="helper"),
    ).start()
    gevent.sleep(3600)


def serve_replica(raw: socket.socket, _peer: object) -> None:
    """Send as many events, or bytes, as the other side requests."""
    try:
        while line := raw.makefile("rb").readline():
            kind, count = line.split()
            if kind == b"events":
                for _ in range(int(count)):
                    raw.sendall(EVENT)
                    gevent.sleep(EVENT_INTERVAL_SECONDS)
            else:
                for _ in range(int(count) // PIECE_BYTES):
                    raw.sendall(b"x" * PIECE_BYTES)
    except OSError:
        return  # the other side has closed the connection


def open_tunnel(helper: str, replica: str) -> socket.socket:
    """Open a tunnel to a replica."""
    raw = socket.create_connection(split_address(helper))
    raw.sendall(f"CONNECT {replica} HTTP/1.1\r\nHost: {replica}\r\n\r\n".encode())
    head = b""
    while b"\r\n\r\n" not in head:
        head += raw.recv(1)
    assert head.startswith(b"HTTP/1.1 200"), head
    return raw


def receive(raw: socket.socket, size: int) -> None:
    """Receive some bytes and drop them."""
    while size > 0:
        size -= len(raw.recv(PIECE_BYTES))


def read_memory(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    return 4096 * int(Path(f"/proc/{pid}/statm").read_text().split()[1])


def read_processor_seconds(pid: int) -> float:
    """Return the processor time of a process in seconds, from that of its thread."""
    path = Path(f"/proc/{pid}/schedstat")
    return int(path.read_text().split()[0]) / 1e9


def measure(pid: int, helper: str, replica: str, tunnels: int, events: int) -> None:
    """Measure the helper and print the results."""
    open_tunnel(helper, replica).close()
    gevent.sleep(SETTLE_SECONDS)
    memory, files = read_memory(pid), count_descriptors(pid)
    began = read_processor_seconds(pid)
    opened = [open_tunnel(helper, replica) for _ in range(tunnels)]
    gevent.sleep(SETTLE_SECONDS)
    used = read_processor_seconds(pid) - began
    print(
        f"{tunnels} tunnels: {(read_memory(pid) - memory) / tunnels / 1e3:.1f} KB and "
        f"{(count_descriptors(pid) - files) / tunnels:.2f} descriptors each, opened in "
        f"{used / tunnels * 1e6:.0f} us of processor time"
    )
    began = read_processor_seconds(pid)
    for raw in opened:
        raw.sendall(b"events %d\n" % events)
    size = events * len(EVENT)
    gevent.joinall([gevent.spawn(receive, raw, size) for raw in opened], raise_error=1)
    used = read_processor_seconds(pid) - began
    print(
        f"{tunnels} streams at once: {(read_memory(pid) - memory) / tunnels / 1e3:.1f} "
        f"KB each, {used / tunnels / events * 1e6:.0f} us an event"
    )
    began = read_processor_seconds(pid)
    opened[0].sendall(b"bytes %d\n" % LARGE_BYTES)
    receive(opened[0], LARGE_BYTES // PIECE_BYTES * PIECE_BYTES)
    used = read_processor_seconds(pid) - began
    print(f"one large response: {used / LARGE_BYTES * 1e9:.2f} ms a megabyte")


def main() -> None:
    """Run the helper and print what it needs."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--helper", help=argparse.SUPPRESS)
    parser.add_argument("--tunnels", type=int, default=200)
    parser.add_argument("--events", type=int, default=100)
    arguments = parser.parse_args()
    if arguments.helper:
        run_helper(arguments.helper)
        return
    replica = StreamServer(("127.0.0.1", 0), serve_replica, backlog=1024)
    replica.start()
    helper = find_free_address()
    command = [sys.executable, "-m", "bench.tunnels", "--helper", helper]
    process = subprocess.Popen(command)
    try:
        gevent.sleep(START_SECONDS)
        address = f"127.0.0.1:{replica.server_port}"
        measure(process.pid, helper, address, arguments.tunnels, arguments.events)
    finally:
        process.kill()
        process.wait()


if __name__ == "__main__":
    main()
