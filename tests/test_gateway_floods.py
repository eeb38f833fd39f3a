"""
Tests of a gateway that receives bytes without end
==================================================

A replica, a caller, the store or another gateway may send faster than a gateway parses.
Requests on other connections must still be answered at their timeouts.
"""

from collections.abc import Iterator

import gevent
import pytest
from hypothesis import given, settings, strategies as st

from damasklead.gateway.callers import (
    MAX_PIPELINED_BYTES,
    CallerConnection,
    RawRequest,
    RequestHandler,
)
from damasklead.gateway.events import EventSplitter
from damasklead.gateway.response_relay import MAX_SPLIT_BYTES
from damasklead.gateway.routing import CallerLimits
from damasklead.gateway.upstream_http import (
    Connection,
    ConnectionPool,
    SendError,
)
from damasklead.loop import LoopClock
from damasklead.memory_budget import MemoryBudget
from damasklead.tunnels.dialing import Link
from damasklead.turns import PIECES_PER_TURN
from tests.floods import FloodSocket, LoopWatch
from tests.gateway_kit import (
    ForwarderHarness,
    ScriptedReplica,
    make_chunk,
    make_event,
    make_stream_head,
)

FLOOD_COUNT = 3_000
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
# Parsing one received piece takes two iterations of the parser at most: one event each.
MAX_STEP = PIECES_PER_TURN + 1


def make_connection(flood: FloodSocket) -> Connection:
    connection = Connection(
        address="127.0.0.1:1", link=Link(raw=flood), clock=LoopClock()
    )
    connection.send_request(
        method="GET", target="/", headers=[(b"Host", b"h")], body=b""
    )
    return connection


class TestResponsesOfReplicas:
    @pytest.mark.parametrize(
        ("head", "piece"),
        [
            (CHUNKED_HEAD, make_chunk(b"x")),
            (UNFRAMED_HEAD, b"x"),
            (CHUNKED_HEAD + b"0\r\n", b"a:b\r\n"),
            (CHUNKED_HEAD, b"1;" + b"e" * 50 + b"\r\nx\r\n"),
        ],
        ids=["chunks", "bytes", "trailers", "chunk extensions"],
    )
    def test_an_endless_body_does_not_stop_the_event_loop(
        self, head: bytes, piece: bytes
    ) -> None:
        flood = FloodSocket(head=head, piece=piece, count=FLOOD_COUNT)
        connection = make_connection(flood)
        connection.read_head()
        with LoopWatch(lambda: flood.receive_count) as watch, pytest.raises(SendError):
            connection.read_body(limit=10**9)
        assert flood.receive_count > PIECES_PER_TURN
        assert watch.largest_step <= MAX_STEP

    def test_chunks_that_arrive_together_do_not_stop_the_event_loop(self) -> None:
        flood = FloodSocket(
            head=CHUNKED_HEAD + make_chunk(b"x") * FLOOD_COUNT, piece=b"", count=1
        )
        connection = make_connection(flood)
        connection.read_head()
        memory = MemoryBudget()
        with LoopWatch(lambda: memory.used_bytes) as watch, pytest.raises(SendError):
            connection.read_body(limit=10**9, memory=memory)
        assert watch.largest_step <= MAX_STEP

    @pytest.mark.parametrize("head", [b"", b"HTTP/1.1 200 OK\r\n"])
    def test_an_endless_head_does_not_stop_the_event_loop(self, head: bytes) -> None:
        flood = FloodSocket(head=head, piece=b"a", count=FLOOD_COUNT)
        connection = make_connection(flood)
        with LoopWatch(lambda: flood.receive_count) as watch, pytest.raises(SendError):
            connection.read_head()
        assert watch.largest_step <= MAX_STEP

    def test_a_stray_response_does_not_stop_the_event_loop(self) -> None:
        flood = FloodSocket(
            head=CHUNKED_HEAD, piece=make_chunk(b"x"), count=FLOOD_COUNT
        )
        connection = make_connection(flood)
        connection.read_head()
        with LoopWatch(lambda: flood.receive_count) as watch, pytest.raises(SendError):
            connection.skip_stray_response()
        assert watch.largest_step <= MAX_STEP

    def test_the_reader_of_an_endless_body_is_ended_by_a_timer(self) -> None:
        flood = FloodSocket(
            head=CHUNKED_HEAD, piece=make_chunk(b"x"), count=100 * FLOOD_COUNT
        )
        connection = make_connection(flood)
        connection.read_head()
        timer = gevent.Timeout(0.01)
        with pytest.raises(gevent.Timeout) as caught, timer:
            connection.read_body(limit=10**9)
        assert caught.value is timer

    def test_many_endless_bodies_delay_the_event_loop_no_more_than_one(self) -> None:
        floods = [
            FloodSocket(head=CHUNKED_HEAD, piece=make_chunk(b"x"), count=500)
            for _ in range(10)
        ]

        def read(flood: FloodSocket) -> None:
            connection = make_connection(flood)
            connection.read_head()
            with pytest.raises(SendError):
                connection.read_body(limit=10**9)

        def count() -> int:
            return sum(flood.receive_count for flood in floods)

        with LoopWatch(count) as watch:
            gevent.joinall([gevent.spawn(read, flood) for flood in floods])
        # Each loop begins with a budget of its own.
        first, *later = [step for step in watch.steps if step]
        assert first <= len(floods) * MAX_STEP
        assert max(later) <= MAX_STEP


class FloodPool(ConnectionPool):
    """A pool whose connections receive a flood."""

    def __init__(self, flood: FloodSocket) -> None:
        super().__init__(clock=LoopClock())
        self._flood = flood

    def acquire(self, address: str) -> Connection:
        return Connection(
            address=address, link=Link(raw=self._flood), clock=LoopClock()
        )


@pytest.fixture
def replica() -> Iterator[ScriptedReplica]:
    replica = ScriptedReplica("r1", lambda _replica, _connection: None)
    yield replica
    replica.stop()


class TestStreamsOfReplicas:
    def send_stream_request(
        self, replica: ScriptedReplica, flood: FloodSocket
    ) -> bytes:
        harness = ForwarderHarness([replica], connections=FloodPool(flood))
        try:
            return harness.send_request("/chat/1", method="POST", body="x")
        finally:
            harness.stop()

    @pytest.mark.parametrize(
        "piece",
        [make_chunk(make_event(1)), make_chunk(b"\n\n"), make_chunk(b":")],
        ids=["events", "blank lines", "an endless event"],
    )
    def test_an_endless_stream_does_not_stop_the_event_loop(
        self, replica: ScriptedReplica, piece: bytes
    ) -> None:
        flood = FloodSocket(head=make_stream_head("a1"), piece=piece, count=FLOOD_COUNT)
        with LoopWatch(lambda: flood.receive_count) as watch:
            self.send_stream_request(replica, flood)
        assert flood.receive_count > PIECES_PER_TURN
        assert watch.largest_step <= MAX_STEP

    def test_events_that_arrive_together_do_not_stop_the_event_loop(
        self, replica: ScriptedReplica, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        block_count = 0
        feed = EventSplitter.feed

        def count_blocks(splitter: EventSplitter, data: bytes) -> bytes:
            nonlocal block_count
            complete = feed(splitter, data)
            block_count += complete.count(b"\n\n")
            return complete

        monkeypatch.setattr(EventSplitter, "feed", count_blocks)
        flood = FloodSocket(
            head=make_stream_head("a1"), piece=make_chunk(b"\n" * 60_000), count=20
        )
        with LoopWatch(lambda: block_count) as watch:
            self.send_stream_request(replica, flood)
        assert watch.largest_step <= MAX_SPLIT_BYTES // 2 + PIECES_PER_TURN

    # int() raises ValueError for more than 4,300 digits.
    def test_an_id_of_many_digits_is_no_number(self, replica: ScriptedReplica) -> None:
        events = b"".join(b"id: %s\ndata: x\n\n" % (b"1" * 5_000) for _ in range(2))
        flood = FloodSocket(
            head=make_stream_head("a1") + make_chunk(events) + make_chunk(b""),
            piece=b"",
            count=0,
        )
        response = self.send_stream_request(replica, flood)
        assert response.endswith(b"0\r\n\r\n")

    def test_an_endless_stream_ends_at_its_deadline(
        self, replica: ScriptedReplica
    ) -> None:
        flood = FloodSocket(
            head=make_stream_head("a1"),
            piece=make_chunk(make_event(1)),
            count=1_000_000,
        )
        response = self.send_stream_request(replica, flood)
        assert flood.is_closed and flood.receive_count < 1_000_000
        assert not response.endswith(b"0\r\n\r\n")


class RecordingHandler(RequestHandler):
    """
    Answers each request at once.

    Attributes
    ----------
    requests : list of RawRequest
        The requests that were read.
    """

    def __init__(self) -> None:
        self.requests: list[RawRequest] = []

    def handle(self, request: RawRequest, connection: CallerConnection) -> None:
        self.requests.append(request)
        connection.send_response(401, [], b"")

    def limits(self) -> CallerLimits:
        return CallerLimits()


def make_caller_connection(
    flood: FloodSocket, handler: RequestHandler, memory: MemoryBudget
) -> CallerConnection:
    return CallerConnection(
        raw=flood,
        handler=handler,
        clock=LoopClock(),
        is_stopping=lambda: False,
        memory=memory,
    )


CHUNKED_REQUEST = (
    b"POST /read/1 HTTP/1.1\r\nHost: ice.example\r\nTransfer-Encoding: chunked\r\n\r\n"
)
SMALL_REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class TestRequestsOfCallers:
    """No caller here has a key."""

    @pytest.mark.parametrize(
        ("head", "piece"),
        [
            (b"GET /", b"a"),
            (SMALL_REQUEST[:-2], b"a: b\r\n"),
            (CHUNKED_REQUEST, make_chunk(b"x")),
            (CHUNKED_REQUEST + b"0\r\n", b"a:b\r\n"),
        ],
        ids=["request line", "headers", "chunks", "trailers"],
    )
    def test_an_endless_request_does_not_stop_the_event_loop(
        self, head: bytes, piece: bytes
    ) -> None:
        flood = FloodSocket(head=head, piece=piece, count=FLOOD_COUNT)
        connection = make_caller_connection(flood, RecordingHandler(), MemoryBudget())
        with LoopWatch(lambda: flood.receive_count) as watch:
            connection.serve()
        assert flood.receive_count > PIECES_PER_TURN
        assert watch.largest_step <= MAX_STEP

    def test_pipelined_requests_do_not_stop_the_event_loop(self) -> None:
        flood = FloodSocket(piece=SMALL_REQUEST, count=FLOOD_COUNT)
        handler = RecordingHandler()
        connection = make_caller_connection(flood, handler, MemoryBudget())
        with LoopWatch(lambda: flood.receive_count) as watch:
            connection.serve()
        assert handler.requests
        # The request's reader and the watch for its caller's departure.
        assert watch.largest_step <= 2 * MAX_STEP

    def test_pipelined_requests_take_a_limited_memory(self) -> None:
        memory = MemoryBudget()
        charges: list[int] = []

        class SlowHandler(RecordingHandler):
            def handle(self, request: RawRequest, connection: CallerConnection) -> None:
                gevent.sleep(0.001)
                charges.append(memory.used_bytes)
                super().handle(request, connection)
                if len(self.requests) == 20:
                    connection.abort()

        flood = FloodSocket(piece=SMALL_REQUEST * 2_000, count=100)
        make_caller_connection(flood, SlowHandler(), memory).serve()
        assert max(charges) > MAX_PIPELINED_BYTES
        # The limit, and what one call received beyond it.
        assert (
            flood.receive_count * 2_000 * len(SMALL_REQUEST)
            <= MAX_PIPELINED_BYTES + 65_536
        )
        assert memory.used_bytes == 0

    def test_bodies_of_many_callers_take_a_limited_memory(self) -> None:
        limit = 100_000
        memory = MemoryBudget(limit_bytes=limit, hard_limit_bytes=limit)
        handler = RecordingHandler()
        floods = [
            FloodSocket(head=CHUNKED_REQUEST, piece=make_chunk(b"x" * 100), count=900)
            for _ in range(20)
        ]
        connections = [make_caller_connection(f, handler, memory) for f in floods]
        serving = [gevent.spawn(connection.serve) for connection in connections]
        largest = 0
        while not all(greenlet.ready() for greenlet in serving):
            gevent.sleep(0)
            largest = max(largest, memory.used_bytes)
        assert 0.9 * limit < largest <= limit + len(floods) * 100
        refused = [flood.sent for flood in floods if flood.sent]
        assert all(b" 503 " in sent and b"Retry-After: " in sent for sent in refused)
        assert refused and not handler.requests
        assert memory.used_bytes == 0


@settings(derandomize=True, deadline=None, database=None)
@given(lines=st.lists(st.sampled_from(["", "id: 1", "id: 2", "data: x", ":"])))
@pytest.mark.parametrize("line_end", ["\n", "\r\n"])
def test_events_do_not_depend_on_the_pieces_in_which_they_arrive(
    line_end: str, lines: list[str]
) -> None:
    data = "".join(line + line_end for line in lines).encode()
    whole, by_byte = EventSplitter(), EventSplitter()
    complete = whole.feed(data)
    pieces = [by_byte.feed(data[at : at + 1]) for at in range(len(data))]
    assert b"".join(pieces).rstrip() == complete.rstrip()
    assert by_byte.buffered_bytes == len(data) - len(b"".join(pieces))
    assert by_byte.has_partial_event == whole.has_partial_event
    assert by_byte.last_id == whole.last_id
    assert by_byte.take_event_count() == whole.take_event_count()
