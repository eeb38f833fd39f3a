"""
Changing
========

Commands that change what is in force: publications and drains.
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
    Where,
    Who,
    collect,
    new_event,
    no_platform,
    print_findings,
    user_name,
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

__all__ = ["Publish", "DrainInstance"]

WAIT_STEP_SECONDS = 0.2
ENTRY_SERVICE = "damasklead"
LOOK_AGAIN = "look at it and publish again"


@cappa.command(
    name="publish", help="Put the files of some folders into force everywhere."
)
@dataclass(kw_only=True)
class Publish:
    """
    Add or replace files; a bad file changes nothing. Undo by publishing the older
    files.
    """

    folders: Annotated[list[Path], cappa.Arg(help="Folders to collect files from.")]
    platform: Where
    who: Who = ""
    remove: Annotated[
        list[str], cappa.Arg(long="--remove", help="Name of a file to remove.")
    ] = field(default_factory=list)
    based_on: Annotated[
        int | None,
        cappa.Arg(long="--based-on", help="Refuse if another version is in force."),
    ] = None
    wait: Annotated[
        float,
        cappa.Arg(long="--wait", help="Seconds to wait until every entry has it."),
    ] = 15.0

    def __call__(self) -> int:
        """Run the command; returns the exit code."""
        platform = make_http_platform(address=self.platform)
        publication = Publication(
            id=AttemptId(new_id()),
            who=self.who or user_name(),
            files=collect(self.folders),
            removed=tuple(self.remove),
            based_on=self.based_on,
            at=time.time(),
        )
        result = run(publish(publication), platform)
        match result:
            case PublishRefused(findings=findings):
                return print_findings(findings)
            case PublishConflict(version=version, who=who):
                print(f"conflict: version {version} by {who} is in force;", LOOK_AGAIN)
                return CONFLICT
            case PublishFailed(maybe_published=maybe):
                print("failed: the platform did not answer;", _doubt(maybe))
                return FAILED
            case PublishSucceeded(version=version):
                print(f"version {version} is published")
                return _wait_for_entries(platform, version, self.wait)


@cappa.command(name="drain", help="Give an upstream no new work.")
@dataclass(kw_only=True)
class DrainInstance:
    """Final for the instance's present incarnation."""

    instance: Annotated[str, cappa.Arg(help="The instance's id.")]
    platform: Where
    who: Who = ""

    def __call__(self) -> int:
        """Run the command; returns the exit code."""
        platform = make_http_platform(address=self.platform)
        listed = platform.instances.list_instances()
        if isinstance(listed, Err):
            return no_platform()
        records = [
            item
            for item in listed.ok_value.records or ()
            if item.instance == self.instance
        ]
        if not records:
            print(f"failed: the platform lists no instance {self.instance!r}")
            return FAILED
        who = self.who or user_name()
        drain = Drain(
            instance=InstanceId(self.instance),
            incarnation=records[0].incarnation,
            who=who,
        )
        event = new_event(who, "drain", self.instance, before="live", after="leaving")
        result = platform.tables.commit(make_drain_commit(drain, event=event))
        if isinstance(result, Err):
            return no_platform()
        print(f"{self.instance} gets no new work")
        return DONE


def _doubt(maybe: bool) -> str:
    if maybe:
        return "the change may be in force; look at the audit trail before you repeat"
    return "nothing was changed"


def _wait_for_entries(platform: Platform, version: int, seconds: float) -> int:
    """Wait until every live entry reports a version, and name those that do not."""
    deadline = time.monotonic() + seconds
    while True:
        late = _late_entries(platform, version)
        if late == []:
            print(f"version {version} is in force at every entry")
            return DONE
        if time.monotonic() >= deadline:
            break
        time.sleep(WAIT_STEP_SECONDS)
    names = "unknown, the platform does not answer" if late is None else ", ".join(late)
    print(f"not in force after {seconds:g} s at: {names}")
    return FAILED


def _late_entries(platform: Platform, version: int) -> list[str] | None:
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
