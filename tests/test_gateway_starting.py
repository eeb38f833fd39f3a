"""
Tests of a gateway that starts under load
=========================================
"""

from collections.abc import Iterator

import gevent
import pytest
from gevent import socket

from damasklead.earlylistener import open_early
from damasklead.gateway import starting
from damasklead.gateway.listeners import Listener
from damasklead.gateway.starting import StartGate
from tests.gatewaykit import (
    ScriptedReplica,
    World,
    answer,
    free_ports,
    read_all,
    request,
)


def serve(replica: ScriptedReplica, connection: socket.socket) -> None:
    while True:
        connection.sendall(answer(replica.next_request(connection), b"served"))


@pytest.fixture
def world() -> Iterator[World]:
    made = World([ScriptedReplica("r0", serve)])
    yield made
    made.stop()


def close_gate(world: World) -> StartGate:
    gate = world.gate = world.forwarder._gate = StartGate()
    return gate


def test_callers_that_come_before_the_configuration_are_served(world: World) -> None:
    """After a loss of power each was refused and came back half a second later."""
    gate = close_gate(world)
    table, world.table = world.table, None
    callers = [gevent.spawn(world.ask, "/read/1", attempt=f"a{n}") for n in range(20)]
    gevent.sleep(0.1)
    world.table = table
    gate.open()
    gevent.joinall(callers, timeout=5)
    assert all(caller.value.startswith(b"HTTP/1.1 200") for caller in callers)
    assert not world.lines("refused")


def test_they_are_refused_as_soon_as_nothing_can_be_known(world: World) -> None:
    gate = close_gate(world)
    world.table = None
    caller = gevent.spawn(world.ask, "/read/1")
    gevent.sleep(0.05)
    assert not caller.ready()
    gate.open()
    assert b" 503 " in caller.get(timeout=5)


def test_none_is_held_for_longer_than_it_helps(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(starting, "MAX_HOLD_SECONDS", 0.05)
    close_gate(world)
    world.table = None
    assert b" 503 " in world.ask("/read/1")


class TestEarlyListener:
    def listener(self, world: World, port: int, early: object) -> Listener:
        return Listener(
            address=f"127.0.0.1:{port}",
            handler=world.forwarder,
            clock=world.clock,
            stopping=lambda: False,
            listening=early,  # type: ignore[arg-type]
        )

    def test_who_connected_before_the_program_was_loaded_is_served(
        self, world: World
    ) -> None:
        (port,) = free_ports(1)
        early = open_early(f"127.0.0.1:{port}")
        with socket.create_connection(("127.0.0.1", port), timeout=5) as caller:
            caller.sendall(request("/read/1", close=True))
            listener = self.listener(world, port, early)
            listener.start()
            assert read_all(caller).startswith(b"HTTP/1.1 200")
        listener.stop()

    def test_the_settings_address_goes_first(self, world: World) -> None:
        first, second = free_ports(2)
        listener = self.listener(world, second, open_early(f"127.0.0.1:{first}"))
        listener.start()
        with socket.create_connection(("127.0.0.1", second), timeout=5) as caller:
            caller.sendall(request("/read/1", close=True))
            assert read_all(caller).startswith(b"HTTP/1.1 200")
        with pytest.raises(OSError):
            socket.create_connection(("127.0.0.1", first), timeout=5)
        listener.stop()

    @pytest.mark.parametrize("address", ["", "nowhere", "127.0.0.1:x", "1.2.3.4:80"])
    def test_an_address_that_is_none_of_ours_opens_nothing(self, address: str) -> None:
        assert open_early(address) is None
