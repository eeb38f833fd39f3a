"""
Quarantine
==========

Commands about requests that crash upstreams.
"""

from dataclasses import dataclass

import cappa
import msgspec
from result import Err

from damasklead.commands import (
    DONE,
    FAILED,
    Json,
    Where,
    Who,
    new_event,
    no_platform,
    scan,
    user_name,
)
from damasklead.quarantine_rows import (
    QUARANTINE_TABLE,
    decode_quarantine_row,
    make_release_commit,
)
from damasklead.stores.http import make_http_platform

__all__ = ["QuarantineList", "QuarantineRelease", "QuarantineGroup"]


@cappa.command(name="list", help="List quarantined fingerprints.")
@dataclass(kw_only=True)
class QuarantineList:
    """Those that entries refuse, and those that operators have lifted."""

    platform: Where
    json: Json = False

    def __call__(self) -> int:
        """Run the command; returns the exit code."""
        platform = make_http_platform(address=self.platform)
        rows = scan(platform, QUARANTINE_TABLE, decode_quarantine_row)
        if rows is None:
            return no_platform()
        if self.json:
            print(msgspec.json.encode(rows).decode())
            return DONE
        for row in rows:
            state = "lifted by" if row.released else "named by"
            print(f"{row.fingerprint}  {state} {row.who}")
        return DONE


@cappa.command(name="release", help="Lift a quarantine at every entry.")
@dataclass(kw_only=True)
class QuarantineRelease:
    """Do so when the engines have been mended or the naming was wrong."""

    fingerprint: str
    platform: Where
    who: Who = ""

    def __call__(self) -> int:
        """Run the command; returns the exit code."""
        platform = make_http_platform(address=self.platform)
        rows = scan(platform, QUARANTINE_TABLE, decode_quarantine_row)
        if rows is None:
            return no_platform()
        found = [row for row in rows if row.fingerprint == self.fingerprint]
        if not found:
            print(f"failed: {self.fingerprint} is not quarantined")
            return FAILED
        event = new_event(
            self.who or user_name(),
            "release-quarantine",
            self.fingerprint,
            before="refused",
            after="lifted",
        )
        commit = make_release_commit(found[0], event=event)
        if isinstance(platform.tables.commit(commit), Err):
            return no_platform()
        print(f"{self.fingerprint} is lifted")
        return DONE


@cappa.command(name="quarantine", help="List and lift quarantined requests.")
@dataclass(kw_only=True)
class QuarantineGroup:
    """Requests that crash upstreams."""

    command: cappa.Subcommands[QuarantineList | QuarantineRelease]
