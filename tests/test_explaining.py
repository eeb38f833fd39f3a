"""
Tests of what logs tell about requests
======================================
"""

from pathlib import Path

import pytest

from damasklead.cmdline import main
from damasklead.explaining.lines import parse_line, parse_lines
from damasklead.explaining.stories import Cause, cause_of, collect_stories
from damasklead.logs import format_event


def line(name: str, at: int, request: str = "r1", **pairs: object) -> str:
    return format_event(name, unix_ms=at, at="g1", request=request, **pairs)


def offered(at: int, **pairs: object) -> str:
    return line("offered", at, replica="i1", offer=1, **pairs)


def answered(at: int, first: float, seconds: float, **pairs: object) -> str:
    return line(
        "answered", at, route="chat", first=first, seconds=seconds,
        **{"status": 200, "target": 0.5} | pairs,
    )  # fmt: skip


def refused(at: int, reason: str, **pairs: object) -> str:
    return line("refused", at, route="chat", reason=reason, seconds=1.0, **pairs)


@pytest.mark.parametrize(
    ("lines", "cause"),
    [
        ([offered(10), answered(400, 0.2, 0.39)], Cause.SERVED),
        ([offered(10), answered(400, 0.2, 0.39, target=0.0)], Cause.SERVED),
        ([offered(10), answered(1000, 0.8, 1.0)], Cause.LATE_FIRST_EVENT),
        ([offered(700), answered(1000, 0.9, 1.0)], Cause.LATE_WAITING),
        ([offered(10), answered(30, 0.02, 0.03, status=500)], Cause.FAILED_BY_REPLICA),
        ([offered(10), refused(1000, "timed-out", events=4)], Cause.TIMED_OUT_AMID),
        ([offered(10), refused(1000, "timed-out", events=0)], Cause.TIMED_OUT_WAITING),
        ([offered(10), refused(1000, "upstream-failed", events=4)], Cause.CUT_OFF),
        ([refused(1000, "overloaded")], Cause.REFUSED),
        ([refused(1000, "unknown-key")], Cause.REFUSED_UNKNOWN),
        ([offered(10), line("caller-gone", 500, seconds=0.5)], Cause.CALLER_LEFT),
        ([offered(10)], Cause.NO_END),
    ],
)
def test_every_request_falls_under_one_cause(lines: list[str], cause: Cause) -> None:
    (story,) = collect_stories(parse_lines(lines)).values()
    assert cause_of(story) is cause


def test_text_that_looks_like_pairs_stays_text() -> None:
    found = parse_line(line("refused", 5, detail='x event=answered status="1" \\'))
    assert found is not None
    assert found.event == "refused"
    assert found.pairs["detail"] == 'x event=answered status="1" \\'
    assert "status" not in found.pairs


@pytest.mark.parametrize("text", ["", "event=", "event=started", "event=x unix_ms=y"])
def test_other_lines_are_passed_over(text: str) -> None:
    assert list(parse_lines([text])) == []


class TestCommand:
    def logs(self, folder: Path) -> Path:
        """Write the logs of two gateways that one request came to, and others'."""
        first = [offered(1_010), line("attempt-failed", 1_020, failure="refused")]
        other = format_event(
            "answered", unix_ms=1_100, at="g2", request="r1", route="chat", status=200,
            first=0.08, seconds=0.1, target=0.5,
        )  # fmt: skip
        (folder / "a.log").write_text("\n".join(["noise", *first]))
        late = line(
            "answered", 9_000, "r2", route="read", status=200, first=2.0, seconds=2.0,
            target=0.1,
        )  # fmt: skip
        (folder / "b.log").write_text("\n".join([late, other]))
        return folder

    def test_a_story_is_told_in_order(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert main(["explain", str(self.logs(tmp_path)), "--request", "r1"]) == 0
        told = capsys.readouterr().out.splitlines()
        assert [text.split()[3] for text in told[1:-1]] == [
            "offered", "attempt-failed", "answered",
        ]  # fmt: skip
        assert told[1].split()[:3] == ["10", "ms", "g1"]
        assert told[-1].strip() == "served"

    def test_what_was_lost_is_counted_by_cause_and_window(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert main(["explain", str(self.logs(tmp_path))]) == 0
        told = capsys.readouterr().out.splitlines()
        assert told[0].split() == ["cause", "chat", "read"]
        assert told[1].split() == ["served", "1", "0"]
        assert told[2] == "late: first event after sending              0            1"
        assert told[-1] == "     6        1      1  1 late: first event after sending"

    def test_an_unknown_request_is_said_so(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert main(["explain", str(self.logs(tmp_path)), "--request", "r9"]) == 1
        assert "r9" in capsys.readouterr().out
