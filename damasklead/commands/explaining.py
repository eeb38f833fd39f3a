"""
Explaining
==========

The command that explains from gateways' logs what happened to requests.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from damasklead.commands import DONE, FAILED
from damasklead.explaining.lines import LogLine, parse_lines
from damasklead.explaining.stories import collect_traces, format_trace
from damasklead.explaining.tables import format_cause_table, format_window_table

__all__ = ["Explain"]


@cappa.command(
    name="explain", help="Explain from gateways' logs what happened to requests."
)
@dataclass(kw_only=True)
class Explain:
    """Print what happened to single requests, or the lost requests by cause."""

    logs: Annotated[
        list[Path], cappa.Arg(help="Log files, or folders of files named *.log.")
    ]
    request: Annotated[
        list[str], cappa.Arg(long=True, help="A request's attempt id.")
    ] = field(default_factory=list)

    def __call__(self) -> int:
        """Run the command and return the exit code."""
        traces = collect_traces(self._read_lines())
        if not self.request:
            found = list(traces.values())
            print(*format_cause_table(found), "", *format_window_table(found), sep="\n")
            return DONE
        missing = [name for name in self.request if name not in traces]
        for name in self.request:
            if name in traces:
                print(f"request {name}", *format_trace(traces[name]), sep="\n")
        for name in missing:
            print(f"no line mentions request {name}")
        return FAILED if missing else DONE

    def _read_lines(self) -> Iterator[LogLine]:
        for path in self.logs:
            files = sorted(path.glob("*.log")) if path.is_dir() else [path]
            for file in files:
                with file.open(errors="replace") as lines:
                    yield from parse_lines(lines)
