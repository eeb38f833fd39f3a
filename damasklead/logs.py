"""
Logs
====

One line of key=value pairs an event, through ``absl.logging``.
"""

import json
import sys
from logging import Formatter

from absl import logging

__all__ = ["event", "format_event", "problem", "to_standard_output"]


def format_event(name: str, **pairs: object) -> str:
    r"""
    Return the line of an event; text is quoted so that a value can't forge a pair or a
    line.

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


def to_standard_output() -> None:
    """Write bare lines to standard output, for daemons whose output is collected."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    handler = logging.get_absl_handler()
    handler.setFormatter(Formatter("%(message)s"))
    handler.python_handler.stream = sys.stdout


def event(name: str, **pairs: object) -> None:
    """Log an ordinary event."""
    logging.info("%s", format_event(name, **pairs))


def problem(name: str, **pairs: object) -> None:
    """Log an event that an operator should see."""
    logging.warning("%s", format_event(name, **pairs))
