"""
Tests of responses in every form, behind an entry
=================================================

Upstreams that write the bytes of their responses themselves, delimited by a length, by
chunks, or by the end of the connection.
"""

from collections.abc import Callable, Iterator
from itertools import product

import gevent
import msgspec
import pytest
from gevent import socket
from gevent.server import StreamServer

from damasklead.daemon.callers import OUTCOME_HEADER
from damasklead.daemon.replies import DONE_EVENT
from damasklead.ids import Incarnation
from damasklead.sharing import LoadReport
from damasklead.standins.base import StandinServer
from damasklead.stores.base import InstanceRecord
from damasklead.upstreams import UpstreamError, UpstreamResponse, UpstreamStatus
from damasklead.util import split_address
from tests.gateway_kit import make_chunk, read_request
from tests.test_daemon import EntryHarness
from tests.test_gateway_response_forms import FRAMINGS, make_framed

SLOTS = 8
Serve = Callable[["RawUpstream", socket.socket, str, int], None]


class RawUpstream:
    """An upstream whose responses are given by a function."""

    def __init__(self, standin: StandinServer, serve: Serve) -> None:
        self.record: InstanceRecord = standin.record
        self._platform = standin._platform
        self._serve = serve
        self._server: StreamServer | None = None
        self.request_count = 0
        self.is_silent = False

    def start(self) -> None:
        self._server = StreamServer(split_address(self.record.address), self._handle)
        self._server.start()
        assert self._platform is not None
        self._platform.instances.register_instance(self.record)

    def stop(self) -> None:
        assert self._server is not None
        self._server.stop(timeout=0)

    def _handle(self, connection: socket.socket, _peer: object) -> None:
        try:
            while True:
                line, headers, _ = read_request(connection)
                if self.is_silent:
                    gevent.sleep(SILENCE_SECONDS)
                if line.split()[1] == "/load":
                    load = LoadReport(running=0, waiting=0, slots=SLOTS)
                    status = UpstreamStatus(
                        incarnation=self.record.incarnation, load=load
                    )
                    body = msgspec.json.encode(status)
                    connection.sendall(make_framed(body, framing="length"))
                    continue
                self.request_count += 1
                self._serve(
                    self, connection, headers["x-request-id"], self.request_count
                )
        except (EOFError, OSError, KeyError):
            pass
        finally:
            connection.close()


# Longer than entries wait for a report.
SILENCE_SECONDS = 5.0


class Close(EOFError):
    """Raised by a script to close its connection."""


@pytest.fixture
def make_entry() -> Iterator[Callable[..., EntryHarness]]:
    created: list[EntryHarness] = []

    def make(*, engine: Serve | None = None, shop: Serve | None = None) -> EntryHarness:
        harness = EntryHarness()
        if engine is not None:
            harness.engines = [RawUpstream(item, engine) for item in harness.engines]  # type: ignore[misc]
        if shop is not None:
            harness.shop = RawUpstream(harness.shop, shop)  # type: ignore[assignment]
        created.append(harness)
        harness.start()
        return harness

    yield make
    for harness in created:
        harness.stop()


def read(response: UpstreamResponse) -> bytes:
    """Return the body, or what came of it before it broke off."""
    parts: list[bytes] = []
    try:
        while part := response.read_chunk():
            parts.append(part)
    except UpstreamError:
        parts.append(b"<broken off>")
    return b"".join(parts)


def make_word(number: int) -> bytes:
    return (b'data: {"choices": [{"delta": {"content": "w%d "}}]}' % number) + b"\n\n"


def send_response(
    connection: socket.socket, attempt: str, body: bytes, framing: str, **options: str
) -> None:
    connection.sendall(
        make_framed(body, f"X-Request-ID: {attempt}", framing=framing, **options)
    )
    if framing == "connection":
        raise Close


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("kind", ["stream", "completion", "plain"])
def test_a_complete_response_is_relayed(
    make_entry: Callable[..., EntryHarness], kind: str, framing: str
) -> None:
    """Responses that end with their connection were failures."""
    bodies = {
        "stream": make_word(1) + make_word(2) + DONE_EVENT,
        "completion": b'{"choices": []}',
        "plain": b'{"in_stock": 7}',
    }

    def serve(
        _upstream: RawUpstream, connection: socket.socket, attempt: str, _count: int
    ) -> None:
        send_response(connection, attempt, bodies[kind], framing)

    harness = make_entry(engine=serve, shop=serve)
    if kind == "plain":
        response = harness.send("GET", "/services/demo-app/stock/ice")
    else:
        response, _ = harness.send_completion("x", stream=kind == "stream")
    assert response.status == 200
    assert read(response) == bodies[kind]


@pytest.mark.parametrize("kind", ["stream", "completion", "plain"])
def test_an_unframed_response_of_an_upstream_that_ends_is_no_success(
    make_entry: Callable[..., EntryHarness], kind: str
) -> None:
    def serve(
        upstream: RawUpstream, connection: socket.socket, attempt: str, _count: int
    ) -> None:
        upstream.stop()
        body = make_word(1) if kind == "stream" else b'{"in_'
        send_response(connection, attempt, body, "connection")

    harness = make_entry(engine=serve, shop=serve)
    if kind == "plain":
        response = harness.send("GET", "/services/demo-app/stock/ice")
        assert response.status != 200
        return
    response, _ = harness.send_completion("x", stream=kind == "stream")
    body = read(response)
    assert response.status != 200 or (kind == "stream" and DONE_EVENT not in body)


def start_again(upstream: RawUpstream) -> None:
    """Report from now on as the next start at the address."""
    incarnation = Incarnation(upstream.record.incarnation + 1)
    upstream.record = msgspec.structs.replace(upstream.record, incarnation=incarnation)


def stand_still(upstream: RawUpstream) -> None:
    """Accept connections from now on without an answer, as the kernel does."""
    upstream.is_silent = True


@pytest.mark.parametrize("kind", ["completion", "plain"])
@pytest.mark.parametrize("crash", [start_again, stand_still])
def test_an_unframed_response_is_no_success_because_something_listens(
    make_entry: Callable[..., EntryHarness],
    kind: str,
    crash: Callable[[RawUpstream], None],
) -> None:
    """A connection to the next start at the address counted as a sign of life."""

    def serve(
        upstream: RawUpstream, connection: socket.socket, attempt: str, _count: int
    ) -> None:
        crash(upstream)
        send_response(connection, attempt, b'{"in_', "connection")

    harness = make_entry(engine=serve, shop=serve)
    try:
        if kind == "plain":
            response = harness.send("GET", "/services/demo-app/stock/ice")
        else:
            response, _ = harness.send_completion("x", stream=False)
    except UpstreamError:
        return  # no response at all
    assert response.status != 200


@pytest.mark.parametrize("framing", FRAMINGS)
def test_an_earlier_refusal_on_a_kept_connection_is_not_believed(
    make_entry: Callable[..., EntryHarness], framing: str
) -> None:
    """Callers were told that a request had not run which its upstream was running."""

    def serve(
        _upstream: RawUpstream, connection: socket.socket, attempt: str, count: int
    ) -> None:
        if count == 1:
            send_response(connection, attempt, b"{}", "length")
            return
        refusal = ("X-Not-Run: full",)
        connection.sendall(
            make_framed(b"no", *refusal, framing=framing, status="503 Full")
        )
        if framing == "connection":
            raise Close
        gevent.sleep(0.2)

    harness = make_entry(shop=serve)
    assert harness.send("GET", "/services/demo-app/stock/ice").status == 200
    response = harness.send("GET", "/services/demo-app/stock/ice")
    assert response.status != 200
    assert response.get_header(OUTCOME_HEADER) == "unknown"


def test_connections_whose_responses_carry_no_id_are_not_kept(
    make_entry: Callable[..., EntryHarness],
) -> None:
    connections: list[socket.socket] = []

    def serve(
        _upstream: RawUpstream, connection: socket.socket, _attempt: str, _count: int
    ) -> None:
        connections.append(connection)
        connection.sendall(make_framed(b"{}", framing="length"))
        gevent.sleep(0.5)

    harness = make_entry(shop=serve)
    for _ in range(3):
        assert harness.send("GET", "/services/demo-app/stock/ice").status == 200
    assert len(set(connections)) == 3


WRONG_CONTINUATIONS = {
    "error": ("500 Failed", b"oops"),
    "bad request": ("400 Bad Request", b"oops"),
    "not found": ("404 Not Found", b"oops"),
    "accepted": ("202 Accepted", b"oops"),
    "no content": ("204 No Content", b""),
    "error as success": ("200 OK", b"oops\n\n"),
    "no events": ("200 OK", b""),
}


@pytest.mark.parametrize("response_id", ["own", "missing", "other"])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("continuation", WRONG_CONTINUATIONS)
def test_a_wrong_continuation_is_not_joined_to_a_stream(
    make_entry: Callable[..., EntryHarness],
    continuation: str,
    framing: str,
    response_id: str,
) -> None:
    """Callers found the text of an error, or a complete end, within their stream."""
    status, body = WRONG_CONTINUATIONS[continuation]
    begun: list[str] = []

    def serve(
        _upstream: RawUpstream, connection: socket.socket, attempt: str, _count: int
    ) -> None:
        if not begun:
            begun.append(attempt)
            head = make_framed(
                b"", f"X-Request-ID: {attempt}", framing="connection"
            ).replace(b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n")
            connection.sendall(head + make_chunk(make_word(1) + make_word(2)[:9]))
            raise Close
        headers = {
            "own": [f"X-Request-ID: {attempt}"],
            "missing": [],
            "other": ["X-Request-ID: another"],
        }[response_id]
        connection.sendall(make_framed(body, *headers, framing=framing, status=status))
        if framing == "connection":
            raise Close

    harness = make_entry(engine=serve)
    response, _ = harness.send_completion("x")
    content = read(response)
    assert response.status == 200
    assert content.startswith(make_word(1))
    assert b"oops" not in content and b"HTTP/1.1" not in content
    assert DONE_EVENT not in content


@pytest.mark.parametrize("kind", ["stream", "completion", "plain"])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("fraction", [0.3, 0.99])
def test_a_response_whose_head_breaks_off_is_no_success(
    make_entry: Callable[..., EntryHarness], fraction: float, framing: str, kind: str
) -> None:
    """Callers got a success with an empty or short body that was framed as complete."""

    def serve(
        _upstream: RawUpstream, connection: socket.socket, attempt: str, _count: int
    ) -> None:
        response = make_framed(b"x", f"X-Request-ID: {attempt}", framing=framing)
        head = response.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
        connection.sendall(head[: int(len(head) * fraction)])
        raise Close

    harness = make_entry(engine=serve, shop=serve)
    if kind == "plain":
        response = harness.send("GET", "/services/demo-app/stock/ice")
    else:
        response, _ = harness.send_completion("x", stream=kind == "stream")
    assert response.status != 200


BODIES = {
    "stream": make_word(1) + make_word(2) + DONE_EVENT,
    "completion": b'{"choices": []}',
    "plain": b'{"in_stock": 7}',
}
INTERIM_RESPONSES = {
    "continue": b"HTTP/1.1 100 Continue\r\n\r\n",
    "early hints": b"HTTP/1.1 103 Early Hints\r\nX-Request-ID: other\r\nLink: x\r\n\r\n",
}
SURPLUS = {
    "other response": make_framed(
        b"surplus", "X-Request-ID: other", framing="length", status="503 Full"
    ),
    "refusal": make_framed(
        b"surplus", "X-Not-Run: full", framing="chunks", status="503 Full"
    ),
    "begun response": b"HTTP/1.1 500 Fai",
    "interim response": INTERIM_RESPONSES["continue"],
    "no HTTP": b"surplus",
}


class ScriptedEntry:
    """
    An entry whose upstreams all respond by the same script.

    Attributes
    ----------
    respond : callable
        Writes a response to an attempt, given by its id.
    connections : list
        Connection of each request.
    """

    def __init__(self, make_entry: Callable[..., EntryHarness]) -> None:
        self.respond: Callable[[socket.socket, str], None]
        self.connections: list[socket.socket] = []
        self._harness = make_entry(engine=self._serve, shop=self._serve)

    def _serve(
        self, _upstream: RawUpstream, connection: socket.socket, attempt: str, _: int
    ) -> None:
        self.connections.append(connection)
        self.respond(connection, attempt)

    def send(self, kind: str) -> UpstreamResponse:
        """Send a request whose upstream gives the body of this kind."""
        if kind == "plain":
            return self._harness.send("GET", "/services/demo-app/stock/ice")
        return self._harness.send_completion("x", stream=kind == "stream")[0]


class TestResponsesBesideTheFirst:
    """Each test starts one entry for all forms, since a start takes seconds."""

    @pytest.fixture
    def entry(self, make_entry: Callable[..., EntryHarness]) -> ScriptedEntry:
        return ScriptedEntry(make_entry)

    @pytest.mark.parametrize("framing", ["length", "chunks"])
    @pytest.mark.parametrize("kind", BODIES)
    def test_what_follows_a_response_is_no_part_of_it(
        self, entry: ScriptedEntry, kind: str, framing: str
    ) -> None:
        """
        The status, headers and body of a second response in the same segment replaced
        or were joined to those of the first.
        """
        for surplus in SURPLUS.values():

            def respond(
                connection: socket.socket, attempt: str, data: bytes = surplus
            ) -> None:
                headers = (f"X-Request-ID: {attempt}", "X-Number: 1")
                response = make_framed(BODIES[kind], *headers, framing=framing)
                connection.sendall(response + data)

            entry.respond = respond
            for _ in range(2):
                response = entry.send(kind)
                assert response.status == 200, surplus
                assert response.get_header("X-Number") == "1"
                assert read(response) == BODIES[kind]
        assert len(set(entry.connections)) == 2 * len(SURPLUS)

    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("kind", BODIES)
    def test_interim_responses_are_not_final(
        self, entry: ScriptedEntry, kind: str, framing: str
    ) -> None:
        """An interim response that arrived alone was taken for the final one."""
        for interim, count, is_alone in product(
            INTERIM_RESPONSES.values(), (1, 2), (True, False)
        ):

            def respond(
                connection: socket.socket,
                attempt: str,
                data: bytes = interim,
                count: int = count,
                pause: float = 0.05 * is_alone,
            ) -> None:
                for _ in range(count):
                    connection.sendall(data)
                    if pause:
                        gevent.sleep(pause)
                send_response(connection, attempt, BODIES[kind], framing)

            entry.respond = respond
            response = entry.send(kind)
            assert response.status == 200, (interim, count, is_alone)
            assert not response.get_header("Link")
            assert read(response) == BODIES[kind]

    @pytest.mark.parametrize("kind", BODIES)
    def test_an_interim_response_without_a_final_one_is_no_response(
        self, entry: ScriptedEntry, kind: str
    ) -> None:
        """The head of an interim response was relayed, with an empty body."""
        head = b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
        for data in (
            INTERIM_RESPONSES["continue"],
            head + b"\r\n",
            head + b"Connection: upgrade\r\n\r\nsurplus",
        ):

            def respond(
                connection: socket.socket, _attempt: str, data: bytes = data
            ) -> None:
                connection.sendall(data)
                raise Close

            entry.respond = respond
            response = entry.send(kind)
            assert response.status in (502, 503, 504), data
            assert response.get_header(OUTCOME_HEADER) != "answered"
            assert b"surplus" not in read(response)
