"""
Tests of a gateway that starts under load
=========================================

Callers connect before the gateway has its configuration, or before its program has
been loaded.
"""

from collections.abc import Iterator

import gevent
import pytest
from gevent import socket

from damasklead.gateway import start_gate
from damasklead.gateway.listeners import Listener
from damasklead.gateway.start_gate import StartGate
from damasklead.listening_socket import open_listening_socket
from tests.gateway_kit import (
    ForwarderHarness,
    ScriptedReplica,
    find_free_ports,
    make_request,
    make_response,
    read_all,
)


def serve(replica: ScriptedReplica, connection: socket.socket) -> None:
    while True:
        connection.sendall(
            make_response(replica.receive_request(connection), b"served")
        )


@pytest.fixture
def harness() -> Iterator[ForwarderHarness]:
    created_harness = ForwarderHarness([ScriptedReplica("r0", serve)])
    yield created_harness
    created_harness.stop()


def close_gate(harness: ForwarderHarness) -> StartGate:
    gate = harness.gate = harness.forwarder._gate = StartGate()
    return gate


def test_callers_that_connect_before_the_configuration_is_read_are_served(
    harness: ForwarderHarness,
) -> None:
    """
    Guards against refusals in the moment between listening and the first configuration.

    After a power failure each such caller was refused and retried half a second later.
    """
    gate = close_gate(harness)
    table, harness.table = harness.table, None
    callers = [
        gevent.spawn(harness.send_request, "/read/1", attempt=f"a{n}")
        for n in range(20)
    ]
    gevent.sleep(0.1)
    harness.table = table
    gate.open()
    gevent.joinall(callers, timeout=5)
    assert all(caller.value.startswith(b"HTTP/1.1 200") for caller in callers)
    assert not harness.get_log_lines("refused")


def test_held_callers_are_refused_once_the_gate_opens_without_configuration(
    harness: ForwarderHarness,
) -> None:
    gate = close_gate(harness)
    harness.table = None
    caller = gevent.spawn(harness.send_request, "/read/1")
    gevent.sleep(0.05)
    assert not caller.ready()
    gate.open()
    assert b" 503 " in caller.get(timeout=5)


def test_callers_are_held_no_longer_than_the_limit(
    harness: ForwarderHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(start_gate, "MAX_HOLD_SECONDS", 0.05)
    close_gate(harness)
    harness.table = None
    assert b" 503 " in harness.send_request("/read/1")


class TestEarlyListener:
    def listener(
        self, harness: ForwarderHarness, port: int, early_socket: object
    ) -> Listener:
        return Listener(
            address=f"127.0.0.1:{port}",
            handler=harness.forwarder,
            clock=harness.clock,
            is_stopping=lambda: False,
            listening_socket=early_socket,  # type: ignore[arg-type]
        )

    def test_callers_that_connected_before_the_program_was_loaded_are_served(
        self, harness: ForwarderHarness
    ) -> None:
        (port,) = find_free_ports(1)
        early_socket = open_listening_socket(f"127.0.0.1:{port}")
        with socket.create_connection(("127.0.0.1", port), timeout=5) as caller:
            caller.sendall(make_request("/read/1", close=True))
            listener = self.listener(harness, port, early_socket)
            listener.start()
            assert read_all(caller).startswith(b"HTTP/1.1 200")
        listener.stop()

    def test_the_settings_address_overrides_the_early_listener(
        self, harness: ForwarderHarness
    ) -> None:
        early_port, settings_port = find_free_ports(2)
        listener = self.listener(
            harness, settings_port, open_listening_socket(f"127.0.0.1:{early_port}")
        )
        listener.start()
        with socket.create_connection(
            ("127.0.0.1", settings_port), timeout=5
        ) as caller:
            caller.sendall(make_request("/read/1", close=True))
            assert read_all(caller).startswith(b"HTTP/1.1 200")
        with pytest.raises(OSError):
            socket.create_connection(("127.0.0.1", early_port), timeout=5)
        listener.stop()

    @pytest.mark.parametrize("address", ["", "nowhere", "127.0.0.1:x", "1.2.3.4:80"])
    def test_an_invalid_or_foreign_address_opens_no_early_listener(
        self, address: str
    ) -> None:
        assert open_listening_socket(address) is None
