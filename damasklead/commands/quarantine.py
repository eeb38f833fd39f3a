"""
Quarantine
==========

Commands on the quarantine of requests that crash upstreams.
"""

from dataclasses import dataclass

import cappa
import msgspec
from result import Err

from damasklead.commands import (
    DONE,
    FAILED,
    JsonOption,
    PlatformOption,
    UserOption,
    get_user_name,
    make_audit_event,
    report_platform_unavailable,
    scan_table,
)
from damasklead.quarantine_rows import (
    QUARANTINE_TABLE,
    decode_quarantine_row,
    make_release_commit,
)
from damasklead.stores.http import make_http_platform

__all__ = ["QuarantineGroup", "QuarantineList", "QuarantineRelease"]


@cappa.command(name="list", help="List quarantined fingerprints.")
@dataclass(kw_only=True)
class QuarantineList:
    """Print the fingerprints that entries refuse and those that operators released."""

    platform: PlatformOption
    json: JsonOption = False

    def __call__(self) -> int:
        """Run the command and return the exit code."""
        platform = make_http_platform(address=self.platform)
        rows = scan_table(platform, QUARANTINE_TABLE, decode_quarantine_row)
        if rows is None:
            return report_platform_unavailable()
        if self.json:
            print(msgspec.json.encode(rows).decode())
            return DONE
        for row in rows:
            state = "lifted by" if row.released else "quarantined by"
            print(f"{row.fingerprint}  {state} {row.who}")
        return DONE


@cappa.command(name="release", help="Lift a quarantine at every entry.")
@dataclass(kw_only=True)
class QuarantineRelease:
    """Use it when the engines are repaired or the quarantine was wrong."""

    fingerprint: str
    platform: PlatformOption
    who: UserOption = ""

    def __call__(self) -> int:
        """Run the command and return the exit code."""
        platform = make_http_platform(address=self.platform)
        rows = scan_table(platform, QUARANTINE_TABLE, decode_quarantine_row)
        if rows is None:
            return report_platform_unavailable()
        found = [row for row in rows if row.fingerprint == self.fingerprint]
        if not found:
            print(f"failed: {self.fingerprint} is not quarantined")
            return FAILED
        event = make_audit_event(
            self.who or get_user_name(),
            "release-quarantine",
            self.fingerprint,
            before="refused",
            after="lifted",
        )
        commit = make_release_commit(found[0], event=event)
        if isinstance(platform.tables.commit(commit), Err):
            return report_platform_unavailable()
        print(f"{self.fingerprint} is lifted")
        return DONE


@cappa.command(name="quarantine", help="List and lift quarantined requests.")
@dataclass(kw_only=True)
class QuarantineGroup:
    """The group of commands on quarantined requests."""

    command: cappa.Subcommands[QuarantineList | QuarantineRelease]
