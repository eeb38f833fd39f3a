"""
Tests of how a gateway starts from what others know
===================================================
"""

import gevent
import pytest
from gevent import socket

from damasklead.gateway import bootstrap, snapshot as fetching
from damasklead.gateway.bootstrap import Bootstrap
from damasklead.gateway.journal import Journal
from damasklead.gateway.snapshot import Snapshot
from damasklead.gateway.upstream_http import ConnectionPool
from damasklead.loop import LoopClock
from tests.gatewaykit import free_ports

# Of the routes of the users' deployments.
SHORTEST_TARGET_SECONDS = 0.1


def make_bootstrap(seeds: list[str], taken: list[Snapshot]) -> Bootstrap:
    return Bootstrap(
        seeds=seeds,
        is_configured=lambda: bool(taken),
        apply_snapshot=taken.append,
        connections=ConnectionPool(clock=LoopClock()),
        journal=Journal(instance="g1"),
    )


def test_the_store_is_asked_as_soon_as_all_seeds_have_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After a blackout callers were refused while gateways waited for each other."""
    monkeypatch.setattr(bootstrap, "MAX_SEED_WAIT_SECONDS", 60.0)
    starting = make_bootstrap([f"127.0.0.1:{port}" for port in free_ports(3)], [])
    asking = gevent.spawn(starting.run)
    with gevent.Timeout(10):
        starting.wait_for_seeds()
    asking.kill()


def test_without_seeds_the_store_is_asked_at_once() -> None:
    with gevent.Timeout(10):
        make_bootstrap([], []).wait_for_seeds()


def test_seeds_without_power_are_not_waited_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Callers that came after a blackout were late by the time it took."""
    monkeypatch.setattr(fetching, "SNAPSHOT_TIMEOUT_SECONDS", 60.0)
    listening = socket.socket()
    listening.bind(("127.0.0.1", 0))
    listening.listen(1)
    starting = make_bootstrap([f"127.0.0.1:{listening.getsockname()[1]}"], [])
    asking = gevent.spawn(starting.run)
    with gevent.Timeout(10):
        starting.wait_for_seeds()
    assert not asking.ready()
    assert bootstrap.MAX_SEED_WAIT_SECONDS <= SHORTEST_TARGET_SECONDS / 2
    asking.kill()
    listening.close()
