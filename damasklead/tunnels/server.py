"""
Serving of tunnels
==================

Connects other gateways, which are cut off from all replicas, to replicas, and passes
the bytes of both sides on.
"""

import struct
from collections.abc import Callable
from enum import Enum

import gevent
import h11
from gevent import socket
from gevent.server import StreamServer

from damasklead.clock import Clock
from damasklead.logs import EventLog
from damasklead.memory_budget import HeldKind, MemoryAccount
from damasklead.sockets import (
    connect,
    count_unsent_bytes,
    set_tcp_options,
    set_user_timeout,
)
from damasklead.tunnels.acknowledgements import LostHostWatch
from damasklead.tunnels.dialing import CONNECT_TIMEOUT_SECONDS, Link, ObservedLink
from damasklead.tunnels.reachability import Reachability
from damasklead.turns import TurnBudget
from damasklead.util import split_address

__all__ = ["TunnelServer"]

# Time in which a gateway must have sent its request for a tunnel.
REQUEST_SECONDS = 0.5
MAX_REQUEST_BYTES = 4_096
# Bytes that are read from one side before the other has accepted them.
PIECE_BYTES = 16_384
BACKLOG = 128
# Interval at which it is checked what the other gateway has received.
POLL_SECONDS = 0.02
# Buffers of both directions.
TUNNEL_BYTES = 2 * PIECE_BYTES
# Statuses of the response to a request for a tunnel.
OPENED, FORBIDDEN, REFUSED, UNAVAILABLE, TIMED_OUT = 200, 403, 502, 503, 504
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class TunnelServer:
    """
    Listens for other gateways' requests for tunnels.

    It opens direct connections only, and only to replicas, so that a tunnel has one
    hop.

    Parameters
    ----------
    address : str
        Address to listen at as ``ip:port``.
    reachability : Reachability
        Of replicas from this gateway.
    is_peer : callable
        Returns whether an IP address is that of a known gateway.
    is_replica : callable
        Returns whether an address is that of a listed replica.
    is_stopping : callable
        Returns whether the process is stopping.
    account : MemoryAccount
        Account that the buffers are charged to.
    get_max_tunnels : callable
        Returns the largest number of open tunnels.
    clock : Clock
    journal : EventLog
    """

    def __init__(
        self,
        *,
        address: str,
        reachability: Reachability,
        is_peer: Callable[[str], bool],
        is_replica: Callable[[str], bool],
        is_stopping: Callable[[], bool],
        account: MemoryAccount,
        get_max_tunnels: Callable[[], float],
        clock: Clock,
        journal: EventLog,
    ) -> None:
        self._address = address
        self._reachability = reachability
        self._is_peer = is_peer
        self._is_replica = is_replica
        self._is_stopping = is_stopping
        self._account = account
        self._get_max_tunnels = get_max_tunnels
        self._lost_host_watch = LostHostWatch(clock=clock)
        self._journal = journal
        self._server: StreamServer | None = None
        self._open_count = 0
        self._opened_count = 0

    @property
    def open_count(self) -> int:
        """Number of open tunnels, and of connections that may become tunnels."""
        return self._open_count

    @property
    def opened_count(self) -> int:
        """Number of tunnels opened since the start."""
        return self._opened_count

    def start(self) -> None:
        """Start to accept connections."""
        self._server = StreamServer(
            split_address(self._address), self._serve, backlog=BACKLOG
        )
        self._server.start()

    def stop(self) -> None:
        """Stop accepting connections; open tunnels continue."""
        server, self._server = self._server, None
        if server is not None:
            server.stop(timeout=0)

    def _serve(self, raw: socket.socket, peer: tuple[str, int]) -> None:
        # Connections count from their start, since any of them may request nothing.
        self._open_count += 1
        try:
            set_tcp_options(raw)
            # The other gateway reads no faster than its caller, which is no failure.
            set_user_timeout(raw, 0)
            self._serve_request(raw, peer[0])
        except (OSError, h11.ProtocolError) as error:
            self._journal.event("tunnel-failed", peer=peer[0], cause=str(error))
        finally:
            self._open_count -= 1
            raw.close()

    def _serve_request(self, raw: socket.socket, host: str) -> None:
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_REQUEST_BYTES)
        if not self._is_peer(host):
            _respond(raw, http, FORBIDDEN)
            return
        if self._open_count > self._get_max_tunnels():
            _respond(raw, http, UNAVAILABLE)
            return
        with gevent.Timeout(REQUEST_SECONDS, TimeoutError("no request")):
            target = _read_target(raw, http)
        status = self._check(target)
        if status == OPENED:
            self._serve_tunnel(raw, http, target)
        else:
            _respond(raw, http, status)

    def _check(self, target: str) -> int:
        """Return the status for a request, ``OPENED`` if it may be served."""
        if not self._is_replica(target):
            return FORBIDDEN
        if self._is_stopping() or self._reachability.is_isolated:
            return UNAVAILABLE
        return OPENED if self._account.admit_request() else UNAVAILABLE

    def _serve_tunnel(
        self, raw: socket.socket, http: h11.Connection, target: str
    ) -> None:
        try:
            replica = connect(target, timeout=CONNECT_TIMEOUT_SECONDS)
        except OSError as error:
            self._reachability.record_failed(target)
            is_refusal = isinstance(error, ConnectionRefusedError)
            _respond(raw, http, REFUSED if is_refusal else TIMED_OUT)
            return
        # This gateway may be cut off as well, and have no requests of its own.
        link = ObservedLink(raw=replica, reachability=self._reachability)
        self._opened_count += 1
        with self._account.open(close=lambda _cause: None) as holding:
            holding.hold(HeldKind.RESPONSE, TUNNEL_BYTES)
            # Neither is a replica that leaves a long request unread.
            set_user_timeout(replica, 0)
            try:
                _respond(raw, http, OPENED)
                with self._lost_host_watch.watch(raw):
                    _pass_on(raw, link, http.trailing_data[0])
            finally:
                replica.close()


def _read_target(raw: socket.socket, http: h11.Connection) -> str:
    """Read a request for a tunnel; returns the address to connect to."""
    while (event := http.next_event()) is h11.NEED_DATA:
        http.receive_data(raw.recv(MAX_REQUEST_BYTES))
    if not isinstance(event, h11.Request) or event.method != b"CONNECT":
        raise h11.RemoteProtocolError("no request for a tunnel")
    http.next_event()
    return event.target.decode("ascii")


def _respond(raw: socket.socket, http: h11.Connection, status: int) -> None:
    headers = [] if status == OPENED else [("Content-Length", "0")]
    raw.sendall(http.send(h11.Response(status_code=status, headers=headers)) or b"")


def _pass_on(caller: socket.socket, link: Link, unsent: bytes) -> None:
    """Pass bytes on in both directions until one side has ended."""
    if unsent:
        link.record_sent()
        link.raw.sendall(unsent)
    requests = gevent.spawn(_copy, caller, link.raw, link.record_sent)
    responses = gevent.spawn(_copy, link.raw, caller, link.record_data)
    try:
        gevent.joinall([requests, responses], count=1)
        if responses.ready() and responses.value not in _SINK_ENDS:
            link.record_end()
        if requests.ready() and requests.value in _SINK_ENDS:
            responses.join()  # the replica may have responded before
        if responses.ready() and responses.value in _SINK_ENDS:
            return
        # A socket reports a reset once, here to the greenlet that sends; the reader's
        # end looks like an orderly one.
        is_reset = requests.ready() and requests.value is _End.SINK_FAILED
        if responses.ready() and responses.value is _End.SOURCE_ENDED and not is_reset:
            caller.shutdown(socket.SHUT_WR)
            requests.join()
            _drop_rest(caller)
            return
        if responses.ready():
            requests.kill()
            _wait_until_received(caller)
        # A reset, unlike an orderly end, shows that a response is incomplete.
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    finally:
        gevent.killall([requests, responses])


def _drop_rest(raw: socket.socket) -> None:
    """
    Drop what a side sends until it has ended.

    Closing before would reset the connection, and drop what was not received yet.
    """
    turn = TurnBudget()
    while data := raw.recv(PIECE_BYTES):
        turn.spend(size=len(data))


def _wait_until_received(raw: socket.socket) -> None:
    """Wait until a side has received all bytes, which a reset drops, or has ended."""
    while count_unsent_bytes(raw):
        if raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return
        gevent.sleep(POLL_SECONDS)


class _End(Enum):
    """What ended the copying of bytes."""

    SOURCE_ENDED = "source ended"
    SOURCE_FAILED = "source failed"
    SINK_ENDED = "sink ended"
    SINK_FAILED = "sink failed"


_SINK_ENDS = (_End.SINK_ENDED, _End.SINK_FAILED)


def _copy(
    source: socket.socket, sink: socket.socket, on_data: Callable[[], None]
) -> _End:
    """Copy bytes until one side ends; calls a function for each piece."""
    turn = TurnBudget()
    while True:
        try:
            data = source.recv(PIECE_BYTES)
        except OSError:
            return _End.SOURCE_FAILED
        if not data:
            return _End.SOURCE_ENDED
        on_data()
        try:
            sink.sendall(data)
        except BrokenPipeError:
            # It has ended its side in order, and left the rest unread.
            return _End.SINK_ENDED
        except OSError:
            return _End.SINK_FAILED
        turn.spend(size=len(data))
