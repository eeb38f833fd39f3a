"""
Tests of prompt parts that crash replicas
=========================================

A replica crashes when it begins to respond to a request with a certain prompt part.  No
two such requests are alike, and sound requests share their key and their other parts.
"""

from collections.abc import Callable, Iterator

import gevent
import pytest

from damasklead.clock import ManualClock
from tests.gateway_kit import (
    ForwarderHarness,
    ScriptedReplica,
    make_chunk,
    make_event,
    make_response,
    make_stream_head,
)

POISON = "dead"
FIRST = "f1"
# The bounds of the users' rule: from this time after the fifth crash on, this number of
# requests may still reach replicas.
STABLE_SECONDS = 3.0
MAX_LATE_REQUESTS = 3
COUNTED_CRASHES = 5
POISON_REQUESTS = 14
SECONDS_BETWEEN_REQUESTS = 1.2

STREAM_PATHS = ("/chat/", "/draft/")
PLAIN_PATHS = ("/read/", "/order/")

Crash = Callable[[str], bytes]


def make_head(attempt: str, *extra: str) -> bytes:
    lines = ["HTTP/1.1 200 OK", f"Attempt-Id: {attempt}", "Response-Signature: s"]
    return "\r\n".join([*lines, *extra, "", ""]).encode()


# What a replica has sent when it crashes, by the form of its responses.


def crash_before_the_head(_attempt: str) -> bytes:
    return b""


def crash_within_a_length(attempt: str) -> bytes:
    return make_head(attempt, "Content-Length: 900") + make_event(1)[:7]


def crash_within_chunks(attempt: str) -> bytes:
    return make_head(attempt, "Transfer-Encoding: chunked") + make_chunk(
        make_event(1)[:7]
    )


def crash_after_a_bare_head(attempt: str) -> bytes:
    return make_head(attempt)


def crash_within_an_unframed_body(attempt: str) -> bytes:
    return make_head(attempt) + make_event(1)[:7]


CRASHES = (
    crash_before_the_head,
    crash_within_a_length,
    crash_within_chunks,
    crash_after_a_bare_head,
    crash_within_an_unframed_body,
)


def make_serve(crash: Crash) -> Callable:
    """Return a script that crashes its replica on the part, and responds otherwise."""

    def serve(replica: ScriptedReplica, connection: object) -> None:
        while True:
            attempt = replica.receive_request(connection)
            line, headers, _ = replica.requests[-1]
            is_stream = line.split()[1].startswith(STREAM_PATHS)
            if f"{POISON}:" in headers.get("prefix-hash", ""):
                connection.sendall(crash(attempt))
                replica.crash()
                return
            if is_stream:
                events = make_chunk(make_event(1)) + make_chunk(make_event(2))
                connection.sendall(make_stream_head(attempt) + events + make_chunk(b""))
            else:
                connection.sendall(make_response(attempt))

    return serve


class CrashingPart:
    """Sends requests with a crashing part, each followed by a sound request."""

    def __init__(self, path: str, crash: Crash) -> None:
        self.clock = ManualClock()
        self.harness = ForwarderHarness(
            [
                ScriptedReplica(f"r{number}", make_serve(crash))
                for number in range(POISON_REQUESTS + 4)
            ],
            containment_clock=self.clock,
        )
        self._path = path
        self.crash_times: list[float] = []
        self.sound_responses: list[tuple[float, bytes]] = []

    def run(self) -> None:
        for number in range(POISON_REQUESTS):
            before = self._count_poison_requests()
            self._send(f"{FIRST}:800,{POISON}:90,own-{number}:50", f"poison-{number}")
            reached = self._count_poison_requests() - before
            self.crash_times += [self.clock.now()] * reached
            response = self._send(
                f"{FIRST}:800,s{number % 3}:90,sound-{number}:50", f"sound-{number}"
            )
            self.sound_responses.append((self.clock.now(), response))
            gevent.sleep(0.01)
            self.clock.advance(SECONDS_BETWEEN_REQUESTS)
            self.harness.containment.update_quarantine()

    def count_late_requests(self) -> int:
        if len(self.crash_times) < COUNTED_CRASHES:
            return 0
        from_time = self.crash_times[COUNTED_CRASHES - 1] + STABLE_SECONDS
        return sum(at > from_time for at in self.crash_times)

    def _send(self, prompt: str, attempt: str) -> bytes:
        return self.harness.send_request(
            f"{self._path}{attempt}",
            method="POST",
            body=attempt,
            attempt=attempt,
            extra_headers=f"Prefix-Hash: {prompt}\r\nToken-Usage: 940,20\r\n",
        )

    def _count_poison_requests(self) -> int:
        return sum(
            f"{POISON}:" in headers.get("prefix-hash", "")
            for replica in self.harness.replicas
            for _, headers, _ in replica.requests
        )


@pytest.fixture
def started() -> Iterator[list[CrashingPart]]:
    runs: list[CrashingPart] = []
    yield runs
    for run in runs:
        run.harness.stop()


@pytest.mark.parametrize("path", [*STREAM_PATHS, *PLAIN_PATHS])
@pytest.mark.parametrize("crash", CRASHES)
def test_requests_that_share_a_crashing_part_stop_reaching_replicas(
    started: list[CrashingPart], crash: Crash, path: str
) -> None:
    run = CrashingPart(path, crash)
    started.append(run)
    run.run()
    assert run.count_late_requests() <= MAX_LATE_REQUESTS
    last_crash = run.crash_times[:COUNTED_CRASHES][-1]
    late = [
        response
        for at, response in run.sound_responses
        if at > last_crash + 2 * STABLE_SECONDS
    ]
    assert late
    assert sum(b" 200 " in item[:20] for item in late) * 2 >= len(late)
