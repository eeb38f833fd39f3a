"""
Log lines
=========

Reads the gateways' key=value lines back.  No I/O.
"""

import json
import re
from collections.abc import Iterable, Iterator

import msgspec

__all__ = ["LogLine", "parse_line", "parse_lines"]

# A collector may put anything before the event.
_EVENT = re.compile(r"\bevent=([\w-]+)")
_PAIR = re.compile(r'([\w-]+)=("(?:[^"\\]|\\.)*"|\S+)')


class LogLine(msgspec.Struct, kw_only=True, frozen=True):
    """
    One line of a gateway's log.

    Attributes
    ----------
    at : int
        The machine's time of day, milliseconds since 1970.
    instance : str
        The gateway.
    pairs : dict
        The rest, as text.
    """

    event: str
    at: int
    instance: str
    pairs: dict[str, str]

    @property
    def request(self) -> str:
        """The request's attempt id; empty for lines about none."""
        return self.pairs.get("request", "")

    def number(self, key: str, default: float = 0.0) -> float:
        """Return a value as a number."""
        try:
            return float(self.pairs[key])
        except (KeyError, ValueError):
            return default


def parse_line(text: str) -> LogLine | None:
    """
    Return what a line says, ``None`` when it is no gateway's event.

    Examples
    --------
    >>> line = parse_line('x event=answered unix_ms=5 at="g1" request="r1" first=0.2')
    >>> line.event, line.at, line.instance, line.request, line.number("first")
    ('answered', 5, 'g1', 'r1', 0.2)
    >>> parse_line("Traceback (most recent call last):") is None
    True
    """
    found = _EVENT.search(text)
    if found is None:
        return None
    pairs = {
        key: json.loads(value) if value.startswith('"') else value
        for key, value in _PAIR.findall(text[found.end() :])
    }
    at, instance = pairs.pop("unix_ms", ""), pairs.pop("at", "")
    if not at.isdigit():
        return None
    return LogLine(event=found[1], at=int(at), instance=instance, pairs=pairs)


def parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events among lines of text."""
    for text in lines:
        line = parse_line(text)
        if line is not None:
            yield line
