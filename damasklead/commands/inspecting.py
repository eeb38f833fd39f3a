"""
Inspecting
==========

Commands that show the state of an entry and the audit trail.
"""

import time
from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec
from geventhttpclient import HTTPClient

from damasklead.audit import AUDIT_TABLE, AuditEvent, decode_audit_event
from damasklead.commands import DONE, FAILED, Json, Where, no_platform, scan
from damasklead.stores.http import make_http_platform
from damasklead.util import split_address

__all__ = ["ShowStatus", "Audit"]


@cappa.command(name="status", help="Print an entry's state.")
@dataclass(kw_only=True)
class ShowStatus:
    """Ask an entry's operators' listener."""

    entry: Annotated[str, cappa.Arg(help="The entry's operators' address, ip:port.")]
    json: Json = False

    def __call__(self) -> int:
        """Run the command; returns the exit code."""
        host, port = split_address(self.entry)
        try:
            content = bytes(HTTPClient(host, port).get("/status").read())
        except OSError as error:
            print(f"failed: {error}")
            return FAILED
        if self.json:
            print(content.decode())
            return DONE
        for key, value in msgspec.json.decode(content).items():
            if key != "pools":
                print(f"{key:16} {value}")
        for pool in msgspec.json.decode(content)["pools"]:
            print(
                f"pool {pool['pool']}: "
                + ", ".join(f"{k}={v}" for k, v in pool.items())
            )
        return DONE


@cappa.command(name="audit", help="Print the audit trail, the newest last.")
@dataclass(kw_only=True)
class Audit:
    """Filter by who, action and subject."""

    platform: Where
    who: Annotated[str, cappa.Arg(long="--who")] = ""
    action: Annotated[str, cappa.Arg(long="--action")] = ""
    subject: Annotated[str, cappa.Arg(long="--subject")] = ""
    limit: Annotated[int, cappa.Arg(long="--limit", help="How many of the newest.")] = (
        100
    )
    json: Json = False

    def __call__(self) -> int:
        """Run the command; returns the exit code."""
        events = scan(
            make_http_platform(address=self.platform), AUDIT_TABLE, decode_audit_event
        )
        if events is None:
            return no_platform()
        chosen = [item for item in events if self._matches(item)][-self.limit :]
        if self.json:
            print(msgspec.json.encode(chosen).decode())
            return DONE
        for event in chosen:
            at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(event.at))
            change = f"{event.before} -> {event.after}" if event.before else event.after
            print(f"{at}  {event.who:16} {event.action:12} {event.subject}: {change}")
        return DONE

    def _matches(self, event: AuditEvent) -> bool:
        return (
            self.who in ("", event.who)
            and self.action in ("", event.action)
            and self.subject in event.subject
        )
