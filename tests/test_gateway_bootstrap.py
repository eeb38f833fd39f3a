"""
Tests of how a gateway starts from what others know
===================================================
"""

import gevent
import pytest

from damasklead.gateway import bootstrap
from damasklead.gateway.bootstrap import Bootstrap
from damasklead.gateway.journal import Journal
from damasklead.gateway.snapshot import Snapshot
from damasklead.gateway.upstream_http import ConnectionPool
from damasklead.loop import LoopClock
from tests.gatewaykit import free_ports


def make_bootstrap(seeds: list[str], taken: list[Snapshot]) -> Bootstrap:
    return Bootstrap(
        seeds=seeds,
        done=lambda: bool(taken),
        take=taken.append,
        connections=ConnectionPool(clock=LoopClock()),
        journal=Journal(instance="g1"),
    )


def test_the_store_is_asked_as_soon_as_all_seeds_have_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After a blackout callers were refused while gateways waited for each other."""
    monkeypatch.setattr(bootstrap, "PATIENCE_SECONDS", 60.0)
    started = make_bootstrap([f"127.0.0.1:{port}" for port in free_ports(3)], [])
    asking = gevent.spawn(started.run)
    with gevent.Timeout(10):
        started.wait()
    asking.kill()


def test_without_seeds_the_store_is_asked_at_once() -> None:
    with gevent.Timeout(10):
        make_bootstrap([], []).wait()
