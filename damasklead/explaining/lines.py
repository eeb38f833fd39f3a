"""
Log lines
=========

Parser for the ``key=value`` lines of gateway logs.  No I/O.
"""

import json
import re
from collections.abc import Iterable, Iterator

import msgspec

__all__ = ["LogLine", "parse_line", "parse_lines"]

# The event isn't anchored to the start of the line, as log collectors add prefixes.
_EVENT_PATTERN = re.compile(r"\bevent=([\w-]+)")
_FIELD_PATTERN = re.compile(r'([\w-]+)=("(?:[^"\\]|\\.)*"|\S+)')


class LogLine(msgspec.Struct, kw_only=True, frozen=True):
    """
    One line of a gateway's log.

    Attributes
    ----------
    event : str
        Name of the event.
    unix_ms : int
        Wall-clock time of the gateway's machine, milliseconds since 1970.
    instance : str
        Instance name of the gateway.
    fields : dict
        Values of the other keys, as text.
    """

    event: str
    unix_ms: int
    instance: str
    fields: dict[str, str]

    @property
    def request_id(self) -> str:
        """Attempt id of the request; empty if the line is about no request."""
        return self.fields.get("request", "")

    def get_number(self, key: str, default: float = 0.0) -> float:
        """Return the value of a key as a number; the default if it is no number."""
        try:
            return float(self.fields[key])
        except (KeyError, ValueError):
            return default


def parse_line(text: str) -> LogLine | None:
    """
    Parse a line; returns ``None`` if it is no event of a gateway.

    Examples
    --------
    >>> line = parse_line('x event=answered unix_ms=5 at="g1" request="r1" first=0.2')
    >>> line.event, line.unix_ms, line.instance, line.request_id
    ('answered', 5, 'g1', 'r1')
    >>> line.get_number("first")
    0.2
    >>> parse_line("Traceback (most recent call last):") is None
    True
    """
    match = _EVENT_PATTERN.search(text)
    if match is None:
        return None
    fields = {
        key: json.loads(value) if value.startswith('"') else value
        for key, value in _FIELD_PATTERN.findall(text[match.end() :])
    }
    unix_ms, instance = fields.pop("unix_ms", ""), fields.pop("at", "")
    if not unix_ms.isdigit():
        return None
    return LogLine(
        event=match[1], unix_ms=int(unix_ms), instance=instance, fields=fields
    )


def parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events of gateways among lines of text."""
    for text in lines:
        line = parse_line(text)
        if line is not None:
            yield line
