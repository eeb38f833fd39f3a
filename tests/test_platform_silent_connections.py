"""
Tests of connections to the store that have gone silent
=======================================================

The network may drop kept connections without a reset, while new ones work.
"""

from collections.abc import Iterator

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from damasklead.gateway.dialect import FeedError
from damasklead.loop import LoopClock
from damasklead.platform import store
from damasklead.platform.store import StoreLink
from tests.http_messages import read_request

CALL_SECONDS = 0.02
TIMEOUT_SECONDS = 0.2
KEPT_CONNECTIONS = 3
BODY = b'{"schema_version":1,"rows":[]}'


class DroppingStore:
    """
    A store with an empty list, some of whose connections lead nowhere.

    Attributes
    ----------
    connection_count : int
        Connections that were opened.
    dropped_count : int
        Number of the first of them that are answered no more.
    """

    def __init__(self) -> None:
        self.connection_count = self.dropped_count = 0
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._server.server_port}"

    def stop(self) -> None:
        self._server.stop(timeout=0)

    def _serve(self, connection: socket.socket, _peer: object) -> None:
        number = self.connection_count
        self.connection_count += 1
        try:
            while True:
                read_request(connection)
                gevent.sleep(CALL_SECONDS)
                if number >= self.dropped_count:
                    connection.sendall(
                        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY)
                        + BODY
                    )
        except (EOFError, OSError):
            connection.close()


@pytest.fixture
def dropping_store() -> Iterator[DroppingStore]:
    dropping = DroppingStore()
    yield dropping
    dropping.stop()


def test_kept_connections_are_dropped_after_the_first_silence(
    dropping_store: DroppingStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a timeout for each kept connection, one after the other."""
    monkeypatch.setattr(store, "CALL_TIMEOUT_SECONDS", TIMEOUT_SECONDS)
    link = StoreLink(address=dropping_store.address, clock=LoopClock())
    calls = [gevent.spawn(link.upstreams.read) for _ in range(KEPT_CONNECTIONS)]
    gevent.joinall(calls, raise_error=True)
    assert dropping_store.connection_count == KEPT_CONNECTIONS
    dropping_store.dropped_count = KEPT_CONNECTIONS
    with pytest.raises(FeedError):
        link.upstreams.read()
    assert link.upstreams.read().is_complete
    link.close()
