"""
Helpers for tests of tunnels
============================
"""

from collections.abc import Callable, Sequence

from gevent import socket
from gevent.server import StreamServer

from damasklead.clock import ManualClock
from damasklead.demo.local import find_free_address
from damasklead.gateway.dialect import PeerEntry
from damasklead.gateway.journal import Journal
from damasklead.ids import DataCentre, InstanceId
from damasklead.loop import LoopClock
from damasklead.memory_budget import MemoryAccount
from damasklead.tunnels.dialer import TunnelDialer
from damasklead.tunnels.dialing import connect_to_replica
from damasklead.tunnels.helpers import Helpers
from damasklead.tunnels.reachability import Reachability
from damasklead.tunnels.server import TunnelServer
from damasklead.util import split_address


class Replica:
    """A server whose connections are given to a function, one greenlet each."""

    def __init__(self, serve: Callable[[socket.socket], None]) -> None:
        self.connection_count = 0
        self.ended_count = 0
        self._serve = serve
        self._server = StreamServer(("127.0.0.1", 0), self._handle)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self) -> None:
        self._server.stop(timeout=0)

    def _handle(self, raw: socket.socket, _peer: object) -> None:
        self.connection_count += 1
        try:
            self._serve(raw)
        except OSError:
            pass  # an end by the other side, which is counted
        finally:
            self.ended_count += 1
            raw.close()


class Helper:
    """A gateway that opens tunnels, with its state in attributes."""

    def __init__(self, replica_addresses: list[str]) -> None:
        self.clock = ManualClock()
        self.reachability = Reachability(
            clock=self.clock, get_replica_count=lambda: len(replica_addresses)
        )
        self.account = MemoryAccount(clock=self.clock)
        self.journal = Journal(instance="helper")
        self.address = find_free_address()
        self.peers = {"127.0.0.1"}
        self.is_stopping = False
        self.max_tunnels = 8.0
        self.server = TunnelServer(
            address=self.address,
            reachability=self.reachability,
            is_peer=lambda host: host in self.peers,
            is_replica=lambda address: address in replica_addresses,
            is_stopping=lambda: self.is_stopping,
            account=self.account,
            get_max_tunnels=lambda: self.max_tunnels,
            clock=LoopClock(),
            journal=self.journal,
        )
        self.server.start()

    def connect(self) -> socket.socket:
        return socket.create_connection(split_address(self.address), timeout=5)

    def request(self, target: str) -> tuple[bytes, socket.socket]:
        """Request a tunnel; returns the status line and the connection."""
        raw = self.connect()
        raw.sendall(f"CONNECT {target} HTTP/1.1\r\nHost: {target}\r\n\r\n".encode())
        head = b""
        while b"\r\n\r\n" not in head and (data := raw.recv(1)):
            head += data
        return head.partition(b"\r\n")[0], raw


def echo(raw: socket.socket) -> None:
    while data := raw.recv(65536):
        raw.sendall(data)


def isolate(reachability: Reachability) -> None:
    reachability.record_failed("10.0.0.1:80")
    reachability.record_failed("10.0.0.2:80")


def make_dialer(
    helpers: Sequence[Helper | Replica],
    *,
    reachability: Reachability | None = None,
    open_connection: Callable[[str], socket.socket] = connect_to_replica,
) -> TunnelDialer:
    """Return the dialer of a gateway, by default of an isolated one."""
    clock = ManualClock()
    if reachability is None:
        reachability = Reachability(clock=clock, get_replica_count=lambda: 2)
        isolate(reachability)
    peers = [
        PeerEntry(
            instance=InstanceId(f"helper-{number}"),
            address=helper.address,
            incarnation=1,
            data_centre=DataCentre("hout"),
        )
        for number, helper in enumerate(helpers)
    ]
    return TunnelDialer(
        reachability=reachability,
        helpers=Helpers(
            instance=InstanceId("cut"), data_centre=DataCentre("hout"), clock=clock
        ),
        get_peers=lambda: peers,
        clock=clock,
        journal=Journal(instance="cut"),
        open_connection=open_connection,
    )
