"""
Tests of the start of a gateway from snapshots of others
========================================================
"""

import gevent
import pytest
from gevent import socket

from damasklead.gateway import bootstrap, snapshot as snapshot_module
from damasklead.gateway.bootstrap import Bootstrap
from damasklead.gateway.journal import Journal
from damasklead.gateway.snapshot import Snapshot
from damasklead.gateway.upstream_http import ConnectionPool
from damasklead.loop import LoopClock
from tests.gateway_kit import find_free_ports

# Shortest response time target of a route in the users' deployments.
SHORTEST_TARGET_SECONDS = 0.1


def make_bootstrap(seeds: list[str], snapshots: list[Snapshot]) -> Bootstrap:
    return Bootstrap(
        seeds=seeds,
        is_configured=lambda: bool(snapshots),
        apply_snapshot=snapshots.append,
        connections=ConnectionPool(clock=LoopClock()),
        journal=Journal(instance="g1"),
    )


def test_the_wait_ends_as_soon_as_all_seeds_have_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """
    Guards against refused callers while gateways wait for each other.

    After a power failure all gateways start at once, and none has a snapshot to serve.
    """
    monkeypatch.setattr(bootstrap, "MAX_SEED_WAIT_SECONDS", 60.0)
    search = make_bootstrap([f"127.0.0.1:{port}" for port in find_free_ports(3)], [])
    search_task = gevent.spawn(search.run)
    with gevent.Timeout(10):
        search.wait_for_seeds()
    search_task.kill()


def test_without_seeds_there_is_no_wait() -> None:
    with gevent.Timeout(10):
        make_bootstrap([], []).wait_for_seeds()


def test_unresponsive_seeds_are_waited_for_only_briefly(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """
    Guards against a start that is delayed by seeds on machines without power.

    Such a seed doesn't refuse the connection, and callers that connected after a power
    failure had to wait for its timeout.
    """
    monkeypatch.setattr(snapshot_module, "SNAPSHOT_TIMEOUT_SECONDS", 60.0)
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(1)
    search = make_bootstrap([f"127.0.0.1:{listener.getsockname()[1]}"], [])
    search_task = gevent.spawn(search.run)
    with gevent.Timeout(10):
        search.wait_for_seeds()
    assert not search_task.ready()
    assert bootstrap.MAX_SEED_WAIT_SECONDS <= SHORTEST_TARGET_SECONDS / 2
    search_task.kill()
    listener.close()
