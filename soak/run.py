"""
Run
===

One run of a seed: the site, its callers, the faults, and the verdict.
"""

import time
from pathlib import Path

import gevent
import msgspec

from soak.callers import AnswerNote, Caller
from soak.faults import Fault, play, schedule
from soak.promises import Breach, judge, judge_recovery
from soak.site import Site

__all__ = ["Verdict", "run"]

START_SECONDS = 20.0
# A process that was killed starts and reads the store within this time.
RECOVERY_SECONDS = 10.0
CALM_SECONDS = 3.0


class Verdict(msgspec.Struct, kw_only=True, frozen=True):
    """
    What a run showed.

    Attributes
    ----------
    counts : dict
        Answers by status; 0 for connections that ended without.
    logs : dict
        By attempt, the gateways' lines of a request that shows a breach.
    """

    seed: int
    faults: list[Fault]
    counts: dict[int, int]
    breaches: list[Breach]
    logs: dict[str, list[str]]


def run(
    seed: int,
    *,
    folder: Path,
    gateways: int = 3,
    replicas: int = 3,
    callers: int = 12,
    seconds: float = 10.0,
    faults: int = 12,
) -> Verdict:
    """
    Play one seed and return its verdict.

    Parameters
    ----------
    folder : Path
        For settings and logs.
    seconds : float
        For which faults begin.
    faults : int
        How many.
    """
    planned = schedule(seed, seconds=seconds, count=faults)
    site = Site(folder=folder, gateways=gateways, replicas=replicas, seed=seed)
    answers: list[AnswerNote] = []
    tasks = [gevent.spawn(site.watch)]
    try:
        for name in site.gateways:
            site.start(name)
        _wait_for(site, START_SECONDS)
        tasks += [
            gevent.spawn(
                Caller(
                    name=f"caller-{number}", ports=site.ports(), ready=site.ready,
                    notes=answers, seed=seed * 1000 + number,
                ).run
            )
            for number in range(callers)
        ]  # fmt: skip
        playing = play(site, planned)
        gevent.sleep(seconds)
        gevent.joinall(playing, timeout=START_SECONDS)
        breaches = [
            Breach(promise="the soak itself works", detail=repr(task.exception))
            for task in playing
            if task.exception is not None
        ]
        breaches += _wait_for(site, RECOVERY_SECONDS)
        calm = time.monotonic()
        gevent.sleep(CALM_SECONDS)
        until = time.monotonic()
        gevent.killall(tasks[1:])
        settled = [note for note in answers if note.sent_at < until - 2.0]
        breaches += judge(answers, site.runs, site.ends)
        breaches += judge_recovery(settled, since=calm)
        logs = {item.attempt: site.logs(item.attempt) for item in breaches}
        logs["tracebacks"] = site.logs("Traceback")
    finally:
        gevent.killall(tasks)
        site.close()
    counts: dict[int, int] = {}
    for note in answers:
        counts[note.status] = counts.get(note.status, 0) + 1
    return Verdict(
        seed=seed, faults=planned, counts=counts, breaches=breaches, logs=logs
    )


def _wait_for(site: Site, seconds: float) -> list[Breach]:
    """Wait until all gateways are ready."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if len(site.ready()) == len(site.gateways):
            return []
        gevent.sleep(0.05)
    missing = sorted(set(site.gateways) - set(site.ready()))
    return [Breach(promise="service recovers", detail=f"not ready: {missing}")]
