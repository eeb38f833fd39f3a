"""
Tests of odd bytes from callers and upstreams at an entry
=========================================================

Documents that nest very deeply, hold numbers out of range or have another shape.  Callers
get a problem, and an entry goes on with the other upstreams and events.
"""

import json
from collections.abc import Callable, Iterator

import msgspec
import pytest
from gevent import socket

from damasklead.daemon.callers import OUTCOME_HEADER, _parse_completion
from damasklead.daemon.replies import DONE_EVENT, MAX_RAW_BYTES, extract_text
from damasklead.problems import Problem
from damasklead.requests import Failure
from damasklead.upstreams import UPSTREAMS, ConnectionPool, UpstreamError
from damasklead.upstreams.engine import build_continuation_body
from damasklead.util import split_address
from tests.gateway_kit import make_chunk, read_all
from tests.odd_values import NESTED_LIST, ODD_DOCUMENTS, ODD_VALUES, replace_fields
from tests.test_daemon import COMPLETIONS, EntryHarness
from tests.test_entry_response_forms import (
    Close,
    RawUpstream,
    make_entry,
    make_word,
    read,
)

__all__ = ["make_entry"]

# Deeper than the limit of the decoder, and short enough for the harness's body limit.
SHORT_NESTED_LIST = b"[" * 1_000 + b"]" * 1_000
EVENT = b'{"choices": [{"delta": {"content": "w"}}]}'
STATUS = {
    "incarnation": 1,
    "leaving": False,
    "load": {"running": 0, "waiting": 0, "slots": 1, "token_gap": 0.5},
    "models": ["m@1"],
    "loading": [],
}


@pytest.fixture(scope="module")
def harness() -> Iterator[EntryHarness]:
    harness = EntryHarness()
    harness.start()
    yield harness
    harness.stop()


class TestCallers:
    def test_a_body_that_nests_too_deeply_is_a_problem(
        self, harness: EntryHarness
    ) -> None:
        """The decoder's ``RecursionError`` ended the response with status 500."""
        for body in (
            SHORT_NESTED_LIST,
            b'{"model": "demo-7b", "messages": [{"a": '
            + SHORT_NESTED_LIST[2:-2]
            + b"}]}",
        ):
            response = harness.send("POST", COMPLETIONS, body)
            assert response.status == 400
            assert response.get_header(OUTCOME_HEADER) == "not-run"

    @pytest.mark.parametrize("content", ODD_DOCUMENTS, ids=range(len(ODD_DOCUMENTS)))
    def test_odd_documents_are_problems(self, content: bytes) -> None:
        with pytest.raises(Problem):
            _parse_completion(content)

    @pytest.mark.parametrize("value", ODD_VALUES, ids=range(len(ODD_VALUES)))
    def test_odd_values_are_problems_or_can_be_sent_on(self, value: bytes) -> None:
        body = (
            b'{"model": "m", "messages": [{"a": ' + value + b'}], "b": ' + value + b"}"
        )
        try:
            document = _parse_completion(body)
        except Problem:
            return
        assert build_continuation_body(document, "")

    @pytest.mark.parametrize("length", [b"\xb2", b"1" * 5_000, b"-1", b"0x1", b"1_0"])
    def test_odd_lengths_are_problems(
        self, harness: EntryHarness, length: bytes
    ) -> None:
        """Not all that ``str.isdigit`` accepts is a number for ``int``."""
        with socket.create_connection(split_address(harness.address)) as caller:
            head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            caller.sendall(head + b"Content-Length: " + length + b"\r\n\r\n")
            response = read_all(caller)
            assert response.startswith(b"HTTP/1.1 4")
            assert OUTCOME_HEADER.encode() + b": not-run" in response


class TestEventsOfStreams:
    @pytest.mark.parametrize(
        "data",
        [
            *ODD_DOCUMENTS,
            *(b'{"choices": ' + value + b"}" for value in ODD_VALUES),
            *(b'{"choices": [' + value + b"]}" for value in ODD_VALUES),
            *(b'{"choices": [{"delta": ' + value + b"}]}" for value in ODD_VALUES),
        ],
        ids=lambda _: "",
    )
    def test_an_odd_event_has_no_text(self, data: bytes) -> None:
        """Events of another shape raised ``TypeError`` or ``AttributeError``."""
        events = b"data: " + EVENT + b"\n\ndata: " + data + b"\n\ndata: " + EVENT
        assert extract_text(events) == "ww"

    @pytest.mark.parametrize(
        "value", [b"5", b'["x"]', NESTED_LIST, b'"\\ud800"'], ids=range(4)
    )
    def test_odd_contents_are_no_text(self, value: bytes) -> None:
        data = b'{"choices": [{"delta": {"content": ' + value + b"}}]}"
        assert extract_text(b"data: " + data + b"\n\ndata: " + EVENT) == "w"

    def test_a_request_that_nests_almost_too_deeply_can_be_continued_or_ends(
        self, make_entry: Callable[..., EntryHarness]
    ) -> None:
        """
        A body that was decoded could be too deep to be encoded for its continuation,
        where less of the stack is left; the caller's stream was then just cut off.
        """

        def serve(
            _upstream: RawUpstream, connection: socket.socket, attempt: str, _count: int
        ) -> None:
            head = (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"X-Request-ID: {attempt}\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            connection.sendall(head.encode() + make_chunk(make_word(1)))
            raise Close

        harness = make_entry(engine=serve)
        accepted_count = 0
        # The deepest lists that are accepted; which ones depends on the test's stack.
        for depth in range(980, 0, -1):
            nested = b"[" * depth + b"]" * depth
            body = b'{"model":"demo-7b","stream":true,"messages":[{}],"a":%b}' % nested
            response = harness.send("POST", COMPLETIONS, body)
            if response.status == 200:
                accepted_count += 1
                assert b"event: error" in read(response), depth
            else:
                assert response.status == 400
            if accepted_count == 8:
                break
        assert accepted_count == 8 and depth < 973

    def test_a_stream_with_an_odd_event_is_relayed_and_goes_on_elsewhere(
        self, make_entry: Callable[..., EntryHarness]
    ) -> None:
        """The text of sent events is extracted once they exceed ``MAX_RAW_BYTES``."""
        odd = b'data: {"choices": [{"delta": null}], "pad": "%b"}\n\n' % (
            b"x" * MAX_RAW_BYTES
        )
        attempts: list[str] = []

        def serve(
            _upstream: RawUpstream, connection: socket.socket, attempt: str, _count: int
        ) -> None:
            attempts.append(attempt)
            head = (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"X-Request-ID: {attempt}\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            if len(attempts) == 1:
                connection.sendall(head.encode() + make_chunk(make_word(1) + odd))
                raise Close
            end = make_chunk(make_word(2) + DONE_EVENT) + make_chunk(b"")
            connection.sendall(head.encode() + end)

        harness = make_entry(engine=serve)
        response, _ = harness.send_completion("x")
        assert read(response) == make_word(1) + odd + make_word(2) + DONE_EVENT
        assert len(attempts) == 2


class TestLoadReports:
    def fetch(self, body: bytes) -> int:
        """Return the incarnation in a load report."""
        upstream = UPSTREAMS["engine"](pool=ConnectionPool())
        upstream.send_control_request = lambda *_arguments: body  # type: ignore[method-assign]
        return upstream.fetch_status("127.0.0.1:1").incarnation

    @pytest.mark.parametrize("content", ODD_DOCUMENTS, ids=range(len(ODD_DOCUMENTS)))
    def test_odd_documents_are_failures(self, content: bytes) -> None:
        with pytest.raises(UpstreamError) as caught:
            self.fetch(content)
        assert caught.value.failure is Failure.BROKEN

    def test_odd_fields_are_failures_or_can_be_sent_to_peers(self) -> None:
        """An incarnation of more than 64 bits could not be sent to other entries."""
        for name, data in replace_fields(STATUS):
            try:
                incarnation = self.fetch(data)
            except UpstreamError as error:
                assert error.failure is Failure.BROKEN
                continue
            assert msgspec.msgpack.encode(incarnation), name

    @pytest.mark.parametrize("field", ["running", "waiting", "slots", "token_gap"])
    @pytest.mark.parametrize("value", ["-1", "1e400", "1" + "0" * 30, "null", "[]"])
    def test_odd_loads_are_failures(self, field: str, value: str) -> None:
        load = json.dumps(STATUS["load"] | {field: "?"}).replace('"?"', value)  # type: ignore[operator]
        with pytest.raises(UpstreamError):
            self.fetch(b'{"incarnation": 1, "load": ' + load.encode() + b"}")
