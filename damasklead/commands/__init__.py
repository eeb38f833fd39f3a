"""
Commands
========

Exit codes, options and helper functions that the subcommands share. Each module defines
one group of subcommands.
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
    "JsonOption",
    "PlatformOption",
    "UserOption",
    "get_user_name",
    "make_audit_event",
    "print_findings",
    "read_configuration_files",
    "report_platform_unavailable",
    "scan_table",
]

DONE, FAILED, FINDINGS, CONFLICT = 0, 1, 2, 3
SCAN_PAGE_ROWS = 500
T = TypeVar("T")

PlatformOption = Annotated[
    str, cappa.Arg(long="--platform", help="Address of the platform, ip:port.")
]
JsonOption = Annotated[bool, cappa.Arg(long="--json", help="Print data as JSON.")]
UserOption = Annotated[
    str, cappa.Arg(long="--who", help="Who makes the change, for the audit trail.")
]


def get_user_name() -> str:
    """Return the name of the user who runs the command, for the audit trail."""
    return getpass.getuser()


def read_configuration_files(folders: list[Path]) -> dict[str, str]:
    """Return the configuration files below some folders: the content by file name."""
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


def report_platform_unavailable() -> int:
    """Print that the platform does not respond and return the exit code."""
    print("failed: the platform does not respond")
    return FAILED


def scan_table(
    platform: Platform, table: str, decode: Callable[[Row], T]
) -> list[T] | None:
    """
    Return all decoded rows of a table, or ``None`` when the platform does not respond.
    """
    decoded: list[T] = []
    after = ""
    while True:
        result = platform.tables.scan(table, after=after, limit=SCAN_PAGE_ROWS)
        if not isinstance(result, Ok):
            return None
        decoded.extend(decode(row) for row in result.ok_value)
        if len(result.ok_value) < SCAN_PAGE_ROWS:
            return decoded
        after = result.ok_value[-1].key


def make_audit_event(
    who: str, action: str, subject: str, *, before: str, after: str
) -> AuditEvent:
    """Return an audit event with the current time."""
    return AuditEvent(
        id=new_id(),
        at=time.time(),
        who=who,
        action=action,
        subject=subject,
        before=before,
        after=after,
    )
