"""
Stand-in of the platform's API for duties
=========================================

Records the calls that it receives, and can be slow, unavailable or unresponsive.
"""

import json
import time

import gevent
import msgspec
from gevent import socket
from gevent.server import StreamServer

from tests.gateway_kit import read_request


class ApiCall(msgspec.Struct, kw_only=True):
    """A call that the stand-in has received."""

    at: float
    target: str
    owner: str
    token: int
    content: dict
    status: int


class ApiStandin:
    """
    The API behind an HTTP server.

    Attributes
    ----------
    calls : list of ApiCall
    status : int
        Status of all responses.
    delay : float
        Seconds until a response is sent.
    drops_responses : bool
        Whether calls take effect without a response.
    """

    def __init__(self) -> None:
        self.calls: list[ApiCall] = []
        self.status = 200
        self.delay = 0.0
        self.drops_responses = False
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Address of the server as ``ip:port``."""
        return f"127.0.0.1:{self._server.server_port}"

    @property
    def accepted(self) -> dict[int, dict]:
        """The counts of each window that was accepted; fails if two reports differ."""
        counts: dict[int, dict] = {}
        for call in self.calls:
            if call.target == "/usage" and call.status == 200:
                window = call.content["window_id"]
                assert (
                    counts.setdefault(window, call.content["counts"])
                    == (call.content["counts"])
                ), f"window {window} was reported twice with different counts"
        return counts

    def check_order(self, *, handover_seconds: float) -> None:
        """Check that tokens never decrease and that no holder acts again too soon."""
        tokens = [call.token for call in self.calls]
        assert tokens == sorted(tokens)
        owners: dict[int, str] = {}
        for call in self.calls:
            assert owners.setdefault(call.token, call.owner) == call.owner
        changes = [
            call
            for before, call in zip([None, *self.calls], self.calls, strict=False)
            if before is None or before.owner != call.owner
        ]
        for first, third in zip(changes, changes[2:], strict=False):
            assert first.owner != third.owner or third.at - first.at > handover_seconds

    def stop(self) -> None:
        """Stop accepting connections."""
        self._server.stop(timeout=0)

    def _serve(self, connection: socket.socket, _peer: object) -> None:
        try:
            while True:
                line, headers, body = read_request(connection)
                self.calls.append(
                    ApiCall(
                        at=time.monotonic(),
                        target=line.split()[1],
                        owner=headers["lease-owner"],
                        token=int(headers["fencing-token"]),
                        content=json.loads(body),
                        status=self.status,
                    )
                )
                gevent.sleep(self.delay)
                if self.drops_responses:
                    return
                connection.sendall(
                    b"HTTP/1.1 %d X\r\nContent-Length: 2\r\n\r\n{}" % self.status
                )
        except (EOFError, OSError):
            pass
        finally:
            connection.close()
