"""
Commands
========

What the commands share: exit codes, arguments and small helpers.  One module a family.
"""

import getpass
import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, TypeVar

import cappa
from result import Ok

from damasklead.audit import AuditEvent
from damasklead.configuration import FILE_SUFFIX
from damasklead.findings import Findings
from damasklead.stores.base import Platform, Row
from damasklead.util import new_id

__all__ = [
    "CONFLICT",
    "DONE",
    "FAILED",
    "FINDINGS",
    "Json",
    "Where",
    "Who",
    "collect",
    "new_event",
    "no_platform",
    "print_findings",
    "scan",
    "user_name",
]

DONE, FAILED, FINDINGS, CONFLICT = 0, 1, 2, 3
SCAN_LIMIT = 500
T = TypeVar("T")

Where = Annotated[
    str, cappa.Arg(long="--platform", help="Address of the platform, ip:port.")
]
Json = Annotated[bool, cappa.Arg(long="--json", help="Print data as JSON.")]
Who = Annotated[
    str, cappa.Arg(long="--who", help="Who makes the change, for the audit trail.")
]


def user_name() -> str:
    """Return who runs the command, for the audit trail."""
    return getpass.getuser()


def collect(folders: list[Path]) -> dict[str, str]:
    """Return the content of all configuration files below some folders by name."""
    found = [
        path for folder in folders for path in sorted(folder.rglob(f"*{FILE_SUFFIX}"))
    ]
    return {path.name: path.read_text() for path in found}


def print_findings(findings: Findings) -> int:
    """Print all findings and return the exit code."""
    for finding in findings:
        print(finding)
    print(f"{len(findings)} findings; nothing was changed")
    return FINDINGS


def no_platform() -> int:
    """Say that the platform does not answer and return the exit code."""
    print("failed: the platform does not answer")
    return FAILED


def scan(platform: Platform, table: str, decode: Callable[[Row], T]) -> list[T] | None:
    """
    Return all decoded rows of a table, or ``None`` when the platform does not answer.
    """
    items: list[T] = []
    after = ""
    while True:
        result = platform.tables.scan(table, after=after, limit=SCAN_LIMIT)
        if not isinstance(result, Ok):
            return None
        items.extend(decode(row) for row in result.ok_value)
        if len(result.ok_value) < SCAN_LIMIT:
            return items
        after = result.ok_value[-1].key


def new_event(
    who: str, action: str, subject: str, *, before: str, after: str
) -> AuditEvent:
    """Return an audit event of now."""
    return AuditEvent(
        id=new_id(),
        at=time.time(),
        who=who,
        action=action,
        subject=subject,
        before=before,
        after=after,
    )
