"""
Play
====

Runs a cluster under seeded disruptions, and checks what callers got of each stream.
"""

import random
import time
from collections.abc import Sequence
from pathlib import Path

import gevent
import msgspec

from soak.streams.callers import ObservedStream, StreamCaller
from soak.streams.checks import Breach, EndCounts, count_ends, find_breaches
from soak.streams.cluster import StreamCluster
from soak.streams.disruptions import DISRUPTIONS

__all__ = ["PlayResult", "run_play"]

START_TIMEOUT_SECONDS = 40.0
# Gateways get to know each other after they are ready.
SETTLE_SECONDS = 3.0
MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS = 0.3, 1.5
# Time after the last disruption, in which callers go on.
CALM_SECONDS = 4.0


class PlayResult(msgspec.Struct, kw_only=True):
    """
    Result of one play.

    Attributes
    ----------
    disruptions : list of str
        What took place, in order.
    breaches : list of Breach
    ends : EndCounts
    stream_count : int
        Streams and responses that callers asked for.
    resumed_count : int
        Streams that callers took up.
    logs : dict
        Log lines of the gateways, by attempt of each breach.
    """

    seed: int
    disruptions: list[str]
    breaches: list[Breach]
    ends: EndCounts
    stream_count: int
    resumed_count: int
    logs: dict[str, list[str]]


def run_play(
    seed: int,
    *,
    folder: Path,
    kinds: Sequence[str] = (),
    seconds: float = 20.0,
    gateways: int = 3,
    replicas: int = 7,
    callers: int = 30,
    unframed_fraction: float = 0.25,
    max_descriptors: int = 4100,
    source_folder: Path | None = None,
) -> PlayResult:
    """
    Run one play.

    Parameters
    ----------
    seed : int
    folder : Path
        Where logs and notes are written.
    kinds : sequence of str
        Disruptions to draw from; by default all.
    seconds : float
        Time in which disruptions begin.
    source_folder : Path or None
        Folder of the gateways' source code; by default that of this process.
    """
    source = random.Random(seed)
    names = list(kinds) or list(DISRUPTIONS)
    cluster = StreamCluster(
        folder=folder, gateways=gateways, replicas=replicas,
        unframed_fraction=unframed_fraction, max_descriptors=max_descriptors,
        source_folder=source_folder,
    )  # fmt: skip
    streams: list[ObservedStream] = []
    disruptions: list[str] = []
    tasks = [gevent.spawn(cluster.monitor_gateways)]
    running: list[gevent.Greenlet] = []
    try:
        _wait_until_ready(cluster)
        callers_ = [
            StreamCaller(
                name=f"c{number}", ports=cluster.get_caller_ports(),
                list_ready_gateways=cluster.list_ready_gateways, streams=streams,
                seed=seed * 1000 + number,
            )
            for number in range(callers)
        ]  # fmt: skip
        tasks += [gevent.spawn(caller.run) for caller in callers_]
        gevent.sleep(1.0)
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            name = source.choice(names)
            disruptions.append(name)
            running.append(gevent.spawn(DISRUPTIONS[name], cluster, source))
            if source.random() < 0.5:
                running[-1].join()
            gevent.sleep(source.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS))
        gevent.joinall(running, raise_error=True)
        gevent.sleep(CALM_SECONDS)
        gevent.killall(tasks[1:])
        runs = cluster.read_runs()
        breaches = find_breaches(streams, runs)
        logs = {
            attempt: cluster.find_log_lines(f"request={attempt} ")
            for breach in breaches
            for attempt in breach.attempts
        }
    finally:
        gevent.killall([*tasks, *running])
        cluster.close()
    return PlayResult(
        seed=seed,
        disruptions=disruptions,
        breaches=breaches,
        ends=count_ends(streams, runs),
        stream_count=len(streams),
        resumed_count=sum(len(stream.parts) > 1 for stream in streams),
        logs=logs,
    )


def _wait_until_ready(cluster: StreamCluster) -> None:
    ends_at = time.monotonic() + START_TIMEOUT_SECONDS
    while len(cluster.list_ready_gateways()) < len(cluster.gateways):
        if time.monotonic() > ends_at:
            raise RuntimeError("a gateway did not become ready")
        gevent.sleep(0.1)
    gevent.sleep(SETTLE_SECONDS)
