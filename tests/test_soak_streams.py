"""
Tests of the plays of streams with numbered events
==================================================
"""

from pathlib import Path

import pytest

from soak.callers import ObservedResponse
from soak.streams.callers import ObservedStream
from soak.streams.checks import BreachKind, count_ends, find_breaches
from soak.streams.play import run_play
from soak.streams.replica import BODY_PIECES, KINDS, Run, make_event


def make_stream(
    kind: str, body: bytes, *, is_complete: bool = True, status: int = 200
) -> ObservedStream:
    part = ObservedResponse(
        sent_at=1.0,
        attempt="a1",
        path=f"/{kind}/1",
        gateway="g1",
        status=status,
        body=body,
        is_complete=is_complete,
    )
    return ObservedStream(kind=kind, parts=[part])


def make_run(
    run: str, *, after: int = 0, is_end: bool = False, is_unframed: bool = True
) -> Run:
    return Run(
        attempt="a1",
        run=run,
        path="/chat/1",
        replica="r1",
        is_unframed=is_unframed,
        is_end=is_end,
        at=1.0,
        after=after,
    )


def make_events(*events: tuple[int, str]) -> bytes:
    return b"".join(make_event(number, run, 4) for number, run in events)


RUNS = [make_run("r"), make_run("s", after=2)]
WHOLE = make_events(*((number, "r") for number in range(1, KINDS["chat"].events + 1)))


@pytest.mark.parametrize(
    ("stream", "kind"),
    [
        (make_stream("chat", make_events((1, "r"), (2, "r"))), BreachKind.EARLY),
        (make_stream("chat", WHOLE + b"id: 51\nda"), BreachKind.EARLY),
        (
            make_stream("chat", make_events((1, "r"), (3, "r")), is_complete=False),
            BreachKind.MISSING,
        ),
        (
            make_stream("chat", make_events((1, "r"), (1, "r")), is_complete=False),
            BreachKind.TWICE,
        ),
        (
            make_stream(
                "chat", make_events((1, "r"), (2, "r"), (1, "r")), is_complete=False
            ),
            BreachKind.BACK,
        ),
        (
            make_stream(
                "chat", make_events((1, "r"), (2, "r"), (3, "s")), is_complete=False
            ),
            BreachKind.JOINED,
        ),
        (
            make_stream("draft", make_events((1, "r"), (2, "s")), is_complete=False),
            BreachKind.JOINED,
        ),
        (
            make_stream("chat", make_events((1, "r")) + b"x\n\n", is_complete=False),
            BreachKind.SPOILT,
        ),
        (make_stream("read", b"r 0\nr 1\n"), BreachKind.OTHER_BODY),
    ],
)
def test_each_breach_is_found(stream: ObservedStream, kind: BreachKind) -> None:
    assert [breach.kind for breach in find_breaches([stream], RUNS)] == [kind]


@pytest.mark.parametrize(
    "stream",
    [
        make_stream("chat", WHOLE),
        make_stream("chat", make_events((1, "r")) + b"id: 2\nd", is_complete=False),
        make_stream("chat", b"upstream failed", status=502),
        make_stream(
            "draft", make_events((1, "r"), (2, "r"), (3, "s")), is_complete=False
        ),
        make_stream("read", b"".join(b"r %d\n" % n for n in range(BODY_PIECES))),
        make_stream("read", b"r 0\n", is_complete=False),
    ],
)
def test_allowed_responses_are_no_breach(stream: ObservedStream) -> None:
    assert find_breaches([stream], RUNS) == []


def test_the_empty_rest_of_a_stream_is_no_breach() -> None:
    events = make_events(
        *((number, "r") for number in range(1, KINDS["draft"].events + 1))
    )
    stream = make_stream("draft", events, is_complete=False)
    stream.parts += make_stream("draft", b"").parts
    stream.parts[-1].events_before = events
    assert find_breaches([stream], RUNS) == []


def test_whole_responses_that_callers_did_not_get_whole_are_counted() -> None:
    ends = [make_run("r", is_end=True), make_run("s", is_end=True, is_unframed=False)]
    counts = count_ends([make_stream("chat", b"", is_complete=False)], ends)
    assert (counts.unframed, counts.unframed_cut) == (1, 1)
    assert (counts.framed, counts.framed_cut) == (1, 1)
    counts = count_ends([make_stream("chat", WHOLE)], ends)
    assert (counts.unframed, counts.unframed_cut) == (1, 0)


@pytest.mark.parametrize("seed", [1, 2])
def test_no_stream_of_a_play_breaks(seed: int, tmp_path: Path) -> None:
    result = run_play(seed, folder=tmp_path, seconds=8.0)
    assert result.breaches == [], result.logs
    assert result.ends.unframed > 2 * result.ends.unframed_cut
