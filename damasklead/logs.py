"""
Logs
====

Structured log lines: one line of key=value pairs for each event, written through
``absl.logging``.
"""

import json
import sys
from logging import Formatter
from typing import Protocol

from absl import logging

__all__ = ["EventLog", "event", "format_event", "log_to_stdout", "warning"]


class EventLog(Protocol):
    """Where events are logged: this module, or the log of one process."""

    def event(self, name: str, **pairs: object) -> None:
        """Log an event."""


def format_event(name: str, **pairs: object) -> str:
    r"""
    Return the log line of an event.

    Texts are quoted and escaped, so that a value cannot forge another pair or line.

    Examples
    --------
    >>> format_event("refused", reason="queue-full", waiting=3)
    'event=refused reason="queue-full" waiting=3'
    >>> format_event("refused", path="/a\nevent=forged")
    'event=refused path="/a\\nevent=forged"'
    """
    parts = [f"event={name}"]
    for key, value in pairs.items():
        if isinstance(value, bool | int):
            parts.append(f"{key}={value}")
        elif isinstance(value, float):
            parts.append(f"{key}={value:.6g}")
        else:
            parts.append(f"{key}={json.dumps(str(value))}")
    return " ".join(parts)


def log_to_stdout() -> None:
    """
    Write log lines without a prefix to standard output.

    For daemons whose output the platform collects.
    """
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    handler = logging.get_absl_handler()
    handler.setFormatter(Formatter("%(message)s"))
    handler.python_handler.stream = sys.stdout


def event(name: str, **pairs: object) -> None:
    """Log an event at level INFO."""
    logging.info("%s", format_event(name, **pairs))


def warning(name: str, **pairs: object) -> None:
    """Log an event that needs an operator's attention, at level WARNING."""
    logging.warning("%s", format_event(name, **pairs))
