"""
Tests of the soak, and a short run of it
========================================
"""

from pathlib import Path

import pytest
from gevent import socket

from soak.callers import AnswerNote
from soak.faults import FAULTS, schedule
from soak.promises import judge, judge_recovery
from soak.proxy import Proxy, Trouble
from soak.replicas import EVENTS, Replica, RunNote
from soak.run import run
from soak.site import GatewayNote
from tests.gatewaykit import make_event, make_request, read_all

# Seeds that once failed, each with its cause; they stay clean.
REGRESSIONS = {
    19: "a reload while a gateway started ended it: the handler came after the imports",
}
STREAM = b"".join(make_event(number) for number in range(1, EVENTS + 1))


def note(path: str, status: int, body: bytes = b"a1", whole: bool = True) -> AnswerNote:
    return AnswerNote(
        sent_at=1.0, attempt="a1", path=path, gateway="g1", status=status, body=body,
        whole=whole,
    )  # fmt: skip


def ran(path: str, attempt: str = "a1") -> RunNote:
    return RunNote(at=1.0, attempt=attempt, path=path, replica="r1")


def end(code: int, meant: bool, took: float) -> GatewayNote:
    return GatewayNote(gateway="g1", code=code, meant=meant, took=took)


@pytest.mark.parametrize(
    ("answer", "runs", "promise"),
    [
        (note("/order/1", 200), [ran("/order/1")] * 2, "an order runs once"),
        (note("/order/1", 200), [ran("/order/1"), ran("/read/1", "x")],
         "only what callers sent runs"),
        (note("/order/1", 503), [ran("/order/1")], "a refusal is true"),
        (note("/chat/1", 429), [ran("/chat/1")], "a refusal is true"),
        (note("/read/1", 200, b"a2"), [ran("/read/1")], "an answer is the replica's"),
        (note("/chat/1", 200, STREAM[:-9]), [], "a stream that ends is whole"),
        (note("/chat/1", 200, make_event(1) + make_event(3), whole=False), [],
         "a stream is in order"),
    ],
)  # fmt: skip
def test_each_broken_promise_is_seen(
    answer: AnswerNote, runs: list[RunNote], promise: str
) -> None:
    assert [item.promise for item in judge([answer], runs, [])][:1] == [promise]


@pytest.mark.parametrize(
    "answer",
    [
        note("/order/1", 200),
        note("/order/1", 504),
        note("/order/1", 0, b"", whole=False),
        note("/chat/1", 200, STREAM),
        note("/chat/1", 200, make_event(1), whole=False),
    ],
)
def test_what_is_allowed_is_no_breach(answer: AnswerNote) -> None:
    assert judge([answer], [ran(answer.path)], [end(0, True, 2.0)]) == []


@pytest.mark.parametrize(
    ("noted", "promise"),
    [
        (end(1, False, 0.0), "no process ends by itself"),
        (end(0, True, 30.0), "a stop is in time"),
    ],
)
def test_ends_of_processes_are_judged(noted: GatewayNote, promise: str) -> None:
    assert [item.promise for item in judge([], [], [noted])] == [promise]


def test_recovery_needs_requests_that_are_served() -> None:
    assert judge_recovery([note("/order/1", 200)], since=0.5) == []
    assert judge_recovery([note("/order/1", 200)], since=2.0)
    assert judge_recovery([note("/order/1", 503)], since=0.5)


def test_a_seed_has_one_schedule_and_seeds_differ() -> None:
    one = schedule(7, seconds=10.0, count=12)
    assert one == schedule(7, seconds=10.0, count=12)
    assert one != schedule(8, seconds=10.0, count=12)
    kinds = {
        fault.kind
        for seed in range(50)
        for fault in schedule(seed, seconds=9, count=12)
    }
    assert kinds == set(FAULTS)


@pytest.mark.parametrize(
    ("trouble", "answered"),
    [
        (Trouble.NONE, True),
        (Trouble.DELAY, True),
        (Trouble.RESET, False),
        (Trouble.CUT_ANSWERS, False),
        (Trouble.SILENCE, False),
    ],
)
def test_a_proxy_does_what_its_trouble_says(trouble: Trouble, answered: bool) -> None:
    runs: list[RunNote] = []
    replica = Replica(name="r1", notes=runs, seed=1)
    proxy = Proxy(target=replica.address)
    proxy.trouble(trouble, seconds=0.01)
    host, _, port = proxy.address.partition(":")
    try:
        with socket.create_connection((host, int(port)), timeout=0.5) as connection:
            connection.sendall(make_request("/read/1"))
            connection.settimeout(0.5)
            said = connection.recv(1000)
    except OSError:
        said = b""
    assert said.startswith(b"HTTP/1.1 200") is answered
    assert bool(runs) is (answered or trouble is Trouble.CUT_ANSWERS)
    proxy.close()
    replica.stop()


def test_a_crashed_replica_breaks_its_streams_off() -> None:
    replica = Replica(name="r1", notes=[], seed=1)
    host, _, port = replica.address.partition(":")
    with socket.create_connection((host, int(port)), timeout=2) as connection:
        connection.sendall(make_request("/chat/1", method="POST", body="x"))
        connection.recv(1000)
        replica.crash()
        assert not read_all(connection).endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
def test_a_run_keeps_every_promise(seed: int, tmp_path: Path) -> None:
    verdict = run(seed, folder=tmp_path)
    assert verdict.breaches == [], verdict.logs
    assert verdict.counts[200] > 50
