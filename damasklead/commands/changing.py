"""
Publish and drain
=================

Commands that publish configuration files and drain upstreams.
"""

import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa
from result import Err

from damasklead.commands import (
    CONFLICT,
    DONE,
    FAILED,
    PlatformOption,
    UserOption,
    get_user_name,
    make_audit_event,
    print_findings,
    read_configuration_files,
    report_platform_unavailable,
)
from damasklead.drains import Drain, make_drain_commit
from damasklead.ids import (
    AttemptId,
    InstanceId,
)
from damasklead.manifest import (
    Publication,
    PublishConflict,
    PublishFailed,
    PublishRefused,
    PublishSucceeded,
    publish,
    read_versions,
)
from damasklead.protocol import run
from damasklead.stores import Platform
from damasklead.stores.base import InstanceState
from damasklead.stores.http import make_http_platform
from damasklead.util import new_id

__all__ = ["DrainInstance", "Publish"]

POLL_INTERVAL_SECONDS = 0.2
ENTRY_SERVICE = "damasklead"
CONFLICT_ADVICE = "review it and publish again"


@cappa.command(
    name="publish",
    help="Publish the configuration files of some folders to all entries.",
)
@dataclass(kw_only=True)
class Publish:
    """
    Add or replace configuration files.

    Nothing changes if a file has a finding. To undo a publication, publish the older
    files again.
    """

    folders: Annotated[list[Path], cappa.Arg(help="Folders with configuration files.")]
    platform: PlatformOption
    who: UserOption = ""
    remove: Annotated[
        list[str], cappa.Arg(long="--remove", help="Name of a file to remove.")
    ] = field(default_factory=list)
    based_on: Annotated[
        int | None,
        cappa.Arg(long="--based-on", help="Refuse unless this version is in force."),
    ] = None
    wait: Annotated[
        float,
        cappa.Arg(
            long="--wait", help="Seconds to wait until it is in force at every entry."
        ),
    ] = 15.0

    def __call__(self) -> int:
        """Run the command and return the exit code."""
        platform = make_http_platform(address=self.platform)
        publication = Publication(
            id=AttemptId(new_id()),
            who=self.who or get_user_name(),
            files=read_configuration_files(self.folders),
            removed=tuple(self.remove),
            based_on=self.based_on,
            at=time.time(),
        )
        result = run(publish(publication), platform)
        match result:
            case PublishRefused(findings=findings):
                return print_findings(findings)
            case PublishConflict(version=version, who=who):
                print(
                    f"conflict: version {version} by {who} is in force;",
                    CONFLICT_ADVICE,
                )
                return CONFLICT
            case PublishFailed(maybe_published=may_be_published):
                print(
                    "failed: the platform did not respond;",
                    _describe_uncertainty(may_be_published),
                )
                return FAILED
            case PublishSucceeded(version=version):
                print(f"version {version} is published")
                return _wait_for_entries(platform, version, self.wait)


@cappa.command(name="drain", help="Stop sending new requests to an upstream.")
@dataclass(kw_only=True)
class DrainInstance:
    """Drain an instance for the rest of its present incarnation."""

    instance: Annotated[str, cappa.Arg(help="The instance's id.")]
    platform: PlatformOption
    who: UserOption = ""

    def __call__(self) -> int:
        """Run the command and return the exit code."""
        platform = make_http_platform(address=self.platform)
        listed = platform.instances.list_instances()
        if isinstance(listed, Err):
            return report_platform_unavailable()
        records = [
            item
            for item in listed.ok_value.records or ()
            if item.instance == self.instance
        ]
        if not records:
            print(f"failed: the platform lists no instance {self.instance!r}")
            return FAILED
        who = self.who or get_user_name()
        drain = Drain(
            instance=InstanceId(self.instance),
            incarnation=records[0].incarnation,
            who=who,
        )
        event = make_audit_event(
            who, "drain", self.instance, before="live", after="leaving"
        )
        result = platform.tables.commit(make_drain_commit(drain, event=event))
        if isinstance(result, Err):
            return report_platform_unavailable()
        print(f"{self.instance} gets no new work")
        return DONE


def _describe_uncertainty(may_be_published: bool) -> str:
    if may_be_published:
        return (
            "the change may be in force; look at the audit trail before you try again"
        )
    return "nothing was changed"


def _wait_for_entries(platform: Platform, version: int, seconds: float) -> int:
    """
    Wait until a version is in force at every live entry.

    Prints the entries where it is not, and returns the exit code.
    """
    deadline = time.monotonic() + seconds
    while True:
        outdated = _find_outdated_entries(platform, version)
        if outdated == []:
            print(f"version {version} is in force at every entry")
            return DONE
        if time.monotonic() >= deadline:
            break
        time.sleep(POLL_INTERVAL_SECONDS)
    names = (
        "unknown, the platform does not respond"
        if outdated is None
        else ", ".join(outdated)
    )
    print(f"not in force after {seconds:g} s at: {names}")
    return FAILED


def _find_outdated_entries(platform: Platform, version: int) -> list[str] | None:
    """
    Return the live entries that do not report a version or a later one.

    Returns ``None`` when the platform does not respond.
    """
    listed = platform.instances.list_instances()
    if isinstance(listed, Err):
        return None
    entries = [
        item.instance
        for item in listed.ok_value.records or ()
        if item.service == ENTRY_SERVICE and item.state is InstanceState.LIVE
    ]
    versions = run(read_versions(entries), platform)
    if versions is None:
        return None
    return [entry for entry in entries if versions.get(entry, 0) < version]
