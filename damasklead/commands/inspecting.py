"""
Status and audit
================

Commands that print the state of an entry and the audit trail.
"""

import time
from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec
from geventhttpclient import HTTPClient

from damasklead.audit import AUDIT_TABLE, AuditEvent, decode_audit_event
from damasklead.commands import (
    DONE,
    FAILED,
    JsonOption,
    PlatformOption,
    report_platform_unavailable,
    scan_table,
)
from damasklead.stores.http import make_http_platform
from damasklead.util import split_address

__all__ = ["Audit", "ShowStatus"]


@cappa.command(name="status", help="Print an entry's or a gateway's state.")
@dataclass(kw_only=True)
class ShowStatus:
    """Fetch the state from a listener for operators."""

    entry: Annotated[
        str,
        cappa.Arg(help="Address of the process's listener for operators, ip:port."),
    ]
    json: JsonOption = False

    def __call__(self) -> int:
        """Run the command and return the exit code."""
        host, port = split_address(self.entry)
        try:
            content = bytes(HTTPClient(host, port).get("/status").read())
        except OSError as error:
            print(f"failed: {error}")
            return FAILED
        if self.json:
            print(content.decode())
            return DONE
        state = msgspec.json.decode(content)
        # The state of an entry has pools, that of a gateway may have duties.
        pools, duties = state.pop("pools", ()), state.pop("duties", {})
        for key, value in state.items():
            print(f"{key:16} {value}")
        for key, value in duties.items():
            print(f"duties: {key:13} {value}")
        for pool in pools:
            print(
                f"pool {pool['pool']}: "
                + ", ".join(f"{k}={v}" for k, v in pool.items())
            )
        return DONE


@cappa.command(name="audit", help="Print the audit trail, newest events last.")
@dataclass(kw_only=True)
class Audit:
    """Print events, filtered by user, action and part of the subject."""

    platform: PlatformOption
    who: Annotated[str, cappa.Arg(long="--who")] = ""
    action: Annotated[str, cappa.Arg(long="--action")] = ""
    subject: Annotated[str, cappa.Arg(long="--subject")] = ""
    limit: Annotated[
        int, cappa.Arg(long="--limit", help="Number of newest events.")
    ] = 100
    json: JsonOption = False

    def __call__(self) -> int:
        """Run the command and return the exit code."""
        events = scan_table(
            make_http_platform(address=self.platform), AUDIT_TABLE, decode_audit_event
        )
        if events is None:
            return report_platform_unavailable()
        matching = [item for item in events if self._matches(item)][-self.limit :]
        if self.json:
            print(msgspec.json.encode(matching).decode())
            return DONE
        for event in matching:
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
