"""
Tests of request traces from logs
=================================
"""

from pathlib import Path

import pytest

from damasklead.cmdline import main
from damasklead.explaining.lines import parse_line, parse_lines
from damasklead.explaining.stories import Cause, collect_traces, determine_cause
from damasklead.logs import format_event


def format_line(name: str, unix_ms: int, request: str = "r1", **pairs: object) -> str:
    return format_event(name, unix_ms=unix_ms, at="g1", request=request, **pairs)


def format_offered(unix_ms: int, **pairs: object) -> str:
    return format_line("offered", unix_ms, replica="i1", offer=1, **pairs)


def format_answered(unix_ms: int, first: float, seconds: float, **pairs: object) -> str:
    return format_line(
        "answered", unix_ms, route="chat", first=first, seconds=seconds,
        **{"status": 200, "target": 0.5} | pairs,
    )  # fmt: skip


def format_refused(unix_ms: int, reason: str, **pairs: object) -> str:
    return format_line(
        "refused", unix_ms, route="chat", reason=reason, seconds=1.0, **pairs
    )


@pytest.mark.parametrize(
    ("lines", "cause"),
    [
        ([format_offered(10), format_answered(400, 0.2, 0.39)], Cause.SERVED),
        (
            [format_offered(10), format_answered(400, 0.2, 0.39, target=0.0)],
            Cause.SERVED,
        ),
        (
            [format_offered(10), format_answered(1000, 0.8, 1.0)],
            Cause.LATE_AFTER_DISPATCH,
        ),
        ([format_offered(700), format_answered(1000, 0.9, 1.0)], Cause.LATE_QUEUED),
        (
            [format_offered(10), format_answered(30, 0.02, 0.03, status=500)],
            Cause.FAILED_BY_REPLICA,
        ),
        (
            [format_offered(10), format_refused(1000, "timed-out", events=4)],
            Cause.TIMED_OUT_MID_STREAM,
        ),
        (
            [format_offered(10), format_refused(1000, "timed-out", events=0)],
            Cause.TIMED_OUT_BEFORE_EVENT,
        ),
        (
            [format_offered(10), format_refused(1000, "upstream-failed", events=4)],
            Cause.INTERRUPTED,
        ),
        ([format_refused(1000, "overloaded")], Cause.REFUSED),
        ([format_refused(1000, "unknown-key")], Cause.REFUSED_UNCONFIGURED),
        (
            [format_offered(10), format_line("caller-gone", 500, seconds=0.5)],
            Cause.CALLER_DISCONNECTED,
        ),
        ([format_offered(10)], Cause.NO_FINAL_EVENT),
    ],
)
def test_each_request_has_one_cause(lines: list[str], cause: Cause) -> None:
    (trace,) = collect_traces(parse_lines(lines)).values()
    assert determine_cause(trace) is cause


def test_quoted_value_with_key_value_pairs_stays_one_value() -> None:
    line = parse_line(
        format_line("refused", 5, detail='x event=answered status="1" \\')
    )
    assert line is not None
    assert line.event == "refused"
    assert line.fields["detail"] == 'x event=answered status="1" \\'
    assert "status" not in line.fields


@pytest.mark.parametrize("text", ["", "event=", "event=started", "event=x unix_ms=y"])
def test_lines_without_an_event_are_skipped(text: str) -> None:
    assert list(parse_lines([text])) == []


class TestCommand:
    def write_logs(self, folder: Path) -> Path:
        """Write the logs of two gateways that handled ``r1``; one also handled ``r2``."""
        first = [
            format_offered(1_010),
            format_line("attempt-failed", 1_020, failure="refused"),
        ]
        other = format_event(
            "answered", unix_ms=1_100, at="g2", request="r1", route="chat", status=200,
            first=0.08, seconds=0.1, target=0.5,
        )  # fmt: skip
        (folder / "a.log").write_text("\n".join(["noise", *first]))
        late = format_line(
            "answered", 9_000, "r2", route="read", status=200, first=2.0, seconds=2.0,
            target=0.1,
        )  # fmt: skip
        (folder / "b.log").write_text("\n".join([late, other]))
        return folder

    def test_lines_of_a_request_are_printed_in_order(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert main(["explain", str(self.write_logs(tmp_path)), "--request", "r1"]) == 0
        printed = capsys.readouterr().out.splitlines()
        assert [text.split()[3] for text in printed[1:-1]] == [
            "offered", "attempt-failed", "answered",
        ]  # fmt: skip
        assert printed[1].split()[:3] == ["10", "ms", "g1"]
        assert printed[-1].strip() == "served"

    def test_lost_requests_are_counted_by_cause_and_window(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert main(["explain", str(self.write_logs(tmp_path))]) == 0
        printed = capsys.readouterr().out.splitlines()
        assert printed[0].split() == ["cause", "chat", "read"]
        assert printed[1].split() == ["served", "1", "0"]
        assert (
            printed[2] == "late: first event after sending              0            1"
        )
        assert (
            printed[-1] == "     6        1      1  1 late: first event after sending"
        )

    def test_unknown_request_is_reported(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert main(["explain", str(self.write_logs(tmp_path)), "--request", "r9"]) == 1
        assert "r9" in capsys.readouterr().out
