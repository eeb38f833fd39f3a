"""
Command line
============

The ``damasklead`` command.  Exit codes: 0 done, 1 failed, 2 findings or wrong use, 3
conflict.
"""

import getpass
import hashlib
import secrets
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any, Literal

import cappa
import msgspec
from absl import logging
from geventhttpclient import HTTPClient
from result import Err, Ok

from damasklead import __version__
from damasklead.audit import AUDIT_TABLE, AuditEvent, decode_event
from damasklead.claims import CLAIMS_TABLE, ClaimState, claim_key, decode_claim, resolve
from damasklead.configuration import FILE_SUFFIX, build_configuration, digest_key
from damasklead.drains import Drain, drain_commit
from damasklead.findings import Findings
from damasklead.ids import (
    AttemptId,
    DataCentre,
    Incarnation,
    InstanceId,
    ServiceName,
    WorkspaceId,
)
from damasklead.manifest import (
    Publication,
    PublishConflict,
    Published,
    PublishFailed,
    PublishRefused,
    publish,
    read_versions,
)
from damasklead.platform import Platform, open_platform
from damasklead.platform.base import InstanceRecord, InstanceState
from damasklead.platform.http import http_platform
from damasklead.protocol import run
from damasklead.quarantine_rows import QUARANTINE_TABLE, decode_row, release_commit
from damasklead.settings import check_settings
from damasklead.util import new_id, split_address

__all__ = ["main"]

DONE, FAILED, FINDINGS, CONFLICT = 0, 1, 2, 3
WAIT_STEP_SECONDS = 0.2
SCAN_LIMIT = 500
ENTRY_SERVICE = "damasklead"
LOOK_AGAIN = "look at it and publish again"

Where = Annotated[
    str, cappa.Arg(long="--platform", help="Address of the platform, ip:port.")
]
Json = Annotated[bool, cappa.Arg(long="--json", help="Print data as JSON.")]
Who = Annotated[
    str, cappa.Arg(long="--who", help="Who makes the change, for the audit trail.")
]


def _user() -> str:
    return getpass.getuser()


@cappa.command(name="serve", help="Run an entry with a settings file.")
@dataclass(kw_only=True)
class Serve:
    """Run an entry until SIGTERM, then stop without cutting off a request."""

    settings: Annotated[Path, cappa.Arg(help="The settings file.")]

    def __call__(self) -> int:
        from damasklead.daemon import EntryService

        findings = Findings()
        text = self.settings.read_text()
        settings = check_settings(text, file=str(self.settings), findings=findings)
        if settings is None:
            return _print_findings(findings)
        platform = open_platform(settings.platform)
        return EntryService(settings=settings, platform=platform).run()


@cappa.command(
    name="check", help="Check settings files and folders of configuration files."
)
@dataclass(kw_only=True)
class Check:
    """Print all findings of all files together; exit code 2 when there are any."""

    paths: Annotated[
        list[Path],
        cappa.Arg(help=f"Folders with *{FILE_SUFFIX} files, or single settings files."),
    ]

    def __call__(self) -> int:
        findings = Findings()
        folders = [path for path in self.paths if path.is_dir()]
        for path in self.paths:
            if not path.is_dir():
                check_settings(path.read_text(), file=str(path), findings=findings)
        files = _collect(folders)
        if folders:
            build_configuration(files, version=1, findings=findings)
        if len(findings):
            return _print_findings(findings)
        print(f"{len(files) + len(self.paths) - len(folders)} files, no findings")
        return DONE


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
        platform = http_platform(address=self.platform)
        publication = Publication(
            id=AttemptId(new_id()),
            who=self.who or _user(),
            files=_collect(self.folders),
            removed=tuple(self.remove),
            based_on=self.based_on,
            at=time.time(),
        )
        result = run(publish(publication), platform)
        match result:
            case PublishRefused(findings=findings):
                return _print_findings(findings)
            case PublishConflict(version=version, who=who):
                print(f"conflict: version {version} by {who} is in force;", LOOK_AGAIN)
                return CONFLICT
            case PublishFailed(maybe_published=maybe):
                print("failed: the platform did not answer;", _doubt(maybe))
                return FAILED
            case Published(version=version):
                print(f"version {version} is published")
                return _wait_for_entries(platform, version, self.wait)


@cappa.command(name="status", help="Print an entry's state.")
@dataclass(kw_only=True)
class ShowStatus:
    """Ask an entry's operators' listener."""

    entry: Annotated[str, cappa.Arg(help="The entry's operators' address, ip:port.")]
    json: Json = False

    def __call__(self) -> int:
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
        events = _scan(http_platform(address=self.platform), AUDIT_TABLE, decode_event)
        if events is None:
            return _no_platform()
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


@cappa.command(name="drain", help="Give an upstream no new work.")
@dataclass(kw_only=True)
class DrainInstance:
    """Final for the instance's present incarnation."""

    instance: Annotated[str, cappa.Arg(help="The instance's id.")]
    platform: Where
    who: Who = ""

    def __call__(self) -> int:
        platform = http_platform(address=self.platform)
        listed = platform.instances.list()
        if isinstance(listed, Err):
            return _no_platform()
        records = [
            item
            for item in listed.ok_value.records or ()
            if item.instance == self.instance
        ]
        if not records:
            print(f"failed: the platform lists no instance {self.instance!r}")
            return FAILED
        who = self.who or _user()
        drain = Drain(
            instance=InstanceId(self.instance),
            incarnation=records[0].incarnation,
            who=who,
        )
        event = _event(who, "drain", self.instance, before="live", after="leaving")
        result = platform.tables.commit(drain_commit(drain, event=event))
        if isinstance(result, Err):
            return _no_platform()
        print(f"{self.instance} gets no new work")
        return DONE


@cappa.command(name="list", help="List claims of orders.")
@dataclass(kw_only=True)
class OrdersList:
    """By default those whose outcome is open."""

    platform: Where
    all: Annotated[bool, cappa.Arg(long="--all", help="List settled ones too.")] = False
    json: Json = False

    def __call__(self) -> int:
        claims = _scan(http_platform(address=self.platform), CLAIMS_TABLE, decode_claim)
        if claims is None:
            return _no_platform()
        open_states = (ClaimState.CLAIMED, ClaimState.FAILED)
        chosen = [claim for claim in claims if self.all or claim.state in open_states]
        if self.json:
            print(msgspec.json.encode(chosen).decode())
            return DONE
        for claim in chosen:
            print(
                f"{claim.workspace}/{claim.key}  {claim.state.value}  "
                f"held by {claim.holder}"
            )
        return DONE


@cappa.command(name="resolve", help="Settle an order whose outcome is not known.")
@dataclass(kw_only=True)
class OrdersResolve:
    """After looking at the service's own records, say whether the order ran."""

    workspace: str
    key: str
    outcome: Annotated[
        Literal["ran", "not-run"], cappa.Arg(help="What the records say.")
    ]
    platform: Where
    who: Who = ""
    force: Annotated[
        bool,
        cappa.Arg(long="--force", help="Settle a claim whose attempt may still run."),
    ] = False

    def __call__(self) -> int:
        platform = http_platform(address=self.platform)
        who = self.who or _user()
        key = claim_key(WorkspaceId(self.workspace), self.key)
        event = _event(who, "resolve-order", key, before="unknown", after=self.outcome)
        steps = resolve(key, ran=self.outcome == "ran", event=event, force=self.force)
        problem = run(steps, platform)
        if problem:
            print(f"failed: {problem}")
            return FAILED
        print(f"{key} is settled as {self.outcome}")
        return DONE


@cappa.command(
    name="orders", help="List orders and settle those whose outcome is not known."
)
@dataclass(kw_only=True)
class Orders:
    """Orders that may not be repeated."""

    command: cappa.Subcommands[OrdersList | OrdersResolve]


@cappa.command(name="list", help="List quarantined fingerprints.")
@dataclass(kw_only=True)
class QuarantineList:
    """Those that entries refuse, and those that operators have lifted."""

    platform: Where
    json: Json = False

    def __call__(self) -> int:
        platform = http_platform(address=self.platform)
        rows = _scan(platform, QUARANTINE_TABLE, decode_row)
        if rows is None:
            return _no_platform()
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
        platform = http_platform(address=self.platform)
        rows = _scan(platform, QUARANTINE_TABLE, decode_row)
        if rows is None:
            return _no_platform()
        found = [row for row in rows if row.fingerprint == self.fingerprint]
        if not found:
            print(f"failed: {self.fingerprint} is not quarantined")
            return FAILED
        event = _event(
            self.who or _user(),
            "release-quarantine",
            self.fingerprint,
            before="refused",
            after="lifted",
        )
        commit = release_commit(found[0], event=event)
        if isinstance(platform.tables.commit(commit), Err):
            return _no_platform()
        print(f"{self.fingerprint} is lifted")
        return DONE


@cappa.command(name="quarantine", help="List and lift quarantined requests.")
@dataclass(kw_only=True)
class QuarantineGroup:
    """Requests that crash upstreams."""

    command: cappa.Subcommands[QuarantineList | QuarantineRelease]


@cappa.command(
    name="key", help="Make a bearer key for a workspace and print its digest."
)
@dataclass(kw_only=True)
class MakeKey:
    """The digest goes into the workspaces file, the key to the caller."""

    workspace: str

    def __call__(self) -> int:
        key = f"{self.workspace}.{secrets.token_urlsafe(24)}"
        salt = hashlib.sha256(secrets.token_bytes(16)).hexdigest()[:16]
        print(f"key:    {key}\ndigest: {digest_key(key, salt=salt)}")
        return DONE


@cappa.command(name="demo", help="Show the whole path in one process, with faults.")
@dataclass(kw_only=True)
class Demo:
    """Exit code 0 only if every promise held."""

    verbose: Annotated[
        bool, cappa.Arg(long="--verbose", help="Print the logs too.")
    ] = False

    def __call__(self) -> int:
        from damasklead.demo import run_demo

        if not self.verbose:
            logging.set_verbosity(logging.ERROR)
        return run_demo()


@cappa.command(
    name="standin", help="Run a stand-in for an engine, a service or the platform."
)
@dataclass(kw_only=True)
class Standin:
    """For trials on one machine."""

    kind: Literal["engine", "service", "platform"]
    listen: Annotated[
        str, cappa.Arg(long="--listen", help="Where it listens, ip:port.")
    ]
    name: Annotated[str, cappa.Arg(long="--name")] = "standin"
    service: Annotated[str, cappa.Arg(long="--service")] = "standin"
    data_centre: Annotated[str, cappa.Arg(long="--data-centre")] = "local"
    region: Annotated[str, cappa.Arg(long="--region")] = "local"
    platform: Annotated[str, cappa.Arg(long="--platform")] = ""

    def __call__(self) -> int:
        from damasklead import standins

        record = InstanceRecord(
            instance=InstanceId(self.name),
            incarnation=Incarnation(int(time.time() * 1000)),
            service=ServiceName(self.service),
            address=self.listen,
            data_centre=DataCentre(self.data_centre),
            region=self.region,
            state=InstanceState.LIVE,
        )
        return standins.run_standin(
            self.kind, record=record, platform_address=self.platform
        )


@cappa.command(
    name="damasklead",
    help="A router for language-model traffic with service levels and priorities.",
)
@dataclass(kw_only=True)
class Damasklead:
    """The whole command."""

    command: cappa.Subcommands[
        Serve
        | Check
        | Publish
        | ShowStatus
        | Audit
        | DrainInstance
        | Orders
        | QuarantineGroup
        | MakeKey
        | Demo
        | Standin
    ]


def main(arguments: list[str] | None = None) -> int:
    """Run the command line and return the exit code."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    code: Any = cappa.invoke(Damasklead, argv=arguments, version=__version__)
    return int(code or 0)


def _collect(folders: list[Path]) -> dict[str, str]:
    """Return the content of all configuration files below some folders by name."""
    found = [
        path for folder in folders for path in sorted(folder.rglob(f"*{FILE_SUFFIX}"))
    ]
    return {path.name: path.read_text() for path in found}


def _print_findings(findings: Findings) -> int:
    for finding in findings:
        print(finding)
    print(f"{len(findings)} findings; nothing was changed")
    return FINDINGS


def _no_platform() -> int:
    print("failed: the platform does not answer")
    return FAILED


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
    listed = platform.instances.list()
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


def _scan(platform: Platform, table: str, decode: Any) -> list[Any] | None:
    """
    Return all decoded rows of a table, or ``None`` when the platform does not answer.
    """
    items: list[Any] = []
    after = ""
    while True:
        result = platform.tables.scan(table, after=after, limit=SCAN_LIMIT)
        if not isinstance(result, Ok):
            return None
        items.extend(decode(row) for row in result.ok_value)
        if len(result.ok_value) < SCAN_LIMIT:
            return items
        after = result.ok_value[-1].key


def _event(
    who: str, action: str, subject: str, *, before: str, after: str
) -> AuditEvent:
    return AuditEvent(
        id=new_id(),
        at=time.time(),
        who=who,
        action=action,
        subject=subject,
        before=before,
        after=after,
    )
