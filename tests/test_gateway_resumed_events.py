"""
Tests of the events of resumed streams
======================================

Events that replicas send after a stream was taken up, by its caller or by the gateway.
"""

from collections.abc import Callable, Iterator

import pytest

from tests.gateway_kit import (
    ScriptedReplica,
    make_chunk,
    make_event,
    make_stream_head,
)
from tests.test_gateway_stream_versions import VersionHarness, send_whole_stream

UNNUMBERED = b"data: no number\n\n"


def make_script(*events: bytes, is_whole: bool) -> Callable:
    """Return a script that sends events, whatever event the request names."""

    def serve(replica: ScriptedReplica, connection: object) -> None:
        attempt = replica.receive_request(connection)
        connection.sendall(make_stream_head(attempt))
        for event in events:
            connection.sendall(make_chunk(event))
        if is_whole:
            connection.sendall(b"0\r\n\r\n")

    return serve


@pytest.fixture
def harnesses() -> Iterator[list[VersionHarness]]:
    started: list[VersionHarness] = []
    yield started
    for harness in started:
        harness.stop()


def is_whole_success(response: bytes) -> bool:
    """Return whether a caller takes a response for a whole stream."""
    return response.startswith(b"HTTP/1.1 200") and response.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize(
    "numbers",
    [(1, 2, 3, 4), (2, 3, 4), (3, 3, 4), (3, 2, 4)],
    ids=["from the start", "repeated", "twice", "back later"],
)
def test_a_stream_that_a_caller_takes_up_has_no_wrong_events(
    harnesses: list[VersionHarness], numbers: tuple[int, ...]
) -> None:
    """The caller has events 1 and 2."""
    harness = VersionHarness(("v1", send_whole_stream))
    harnesses.append(harness)
    harness.send_request("/draft/1", method="POST", body="x", attempt="first")
    harness.replicas[0]._serve = make_script(*map(make_event, numbers), is_whole=True)
    response = harness.send_request(
        "/draft/1", method="POST", body="x", attempt="second",
        extra_headers="Last-Event-Id: 2\r\nResumes: first\r\n",
    )  # fmt: skip
    assert not is_whole_success(response)


@pytest.mark.parametrize(
    ("before", "after"),
    [
        ([UNNUMBERED], [make_event(1), make_event(2)]),
        ([make_event(1), UNNUMBERED], [UNNUMBERED, make_event(2)]),
        ([make_event(1), UNNUMBERED], [make_event(2)]),
        ([make_event(1), make_event(2)], [make_event(3), make_event(3)]),
        ([make_event(1), make_event(2)], [make_event(3), make_event(5)]),
        ([make_event(1), make_event(2)], [make_event(3), make_event(1)]),
    ],
    ids=["unnumbered", "unnumbered last", "missing", "twice", "gap", "back"],
)
def test_a_stream_that_goes_on_elsewhere_has_no_wrong_events(
    harnesses: list[VersionHarness], before: list[bytes], after: list[bytes]
) -> None:
    harness = VersionHarness(
        ("v1", make_script(*before, is_whole=False)),
        ("v1", make_script(*after, is_whole=True)),
    )
    harnesses.append(harness)
    harness.prefer(0)
    response = harness.send_request("/draft/1", method="POST", body="x")
    assert not is_whole_success(response)
