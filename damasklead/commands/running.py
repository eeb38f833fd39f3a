"""
Services and tools
==================

Commands that run an entry, a gateway, the demonstration or a stand-in, check files, and
make keys.
"""

import hashlib
import secrets
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

import cappa
from absl import logging

from damasklead.commands import DONE, print_findings, read_configuration_files
from damasklead.configuration import FILE_SUFFIX, build_configuration, digest_key
from damasklead.findings import Findings
from damasklead.gateway.settings import check_gateway_settings
from damasklead.ids import (
    DataCentre,
    Incarnation,
    InstanceId,
    ServiceName,
    SoftwareVersion,
)
from damasklead.settings import check_settings
from damasklead.stores import open_platform
from damasklead.stores.base import InstanceRecord, InstanceState

__all__ = ["Check", "Demo", "Gateway", "MakeKey", "Serve", "Standin"]


@cappa.command(name="serve", help="Run an entry with a settings file.")
@dataclass(kw_only=True)
class Serve:
    """Run an entry until SIGTERM, then let running requests end before it stops."""

    settings: Annotated[Path, cappa.Arg(help="The settings file.")]

    def __call__(self) -> int:
        """Run the command and return the exit code."""
        from damasklead.daemon import EntryService

        findings = Findings()
        text = self.settings.read_text()
        settings = check_settings(text, file=str(self.settings), findings=findings)
        if settings is None:
            return print_findings(findings)
        platform = open_platform(settings.platform)
        return EntryService(settings=settings, platform=platform).run()


@cappa.command(
    name="gateway",
    help="Run a gateway on the platform, with a gateway's settings file.",
)
@dataclass(kw_only=True)
class Gateway:
    """Run a gateway until SIGTERM, then let running requests end before it stops."""

    settings: Annotated[Path, cappa.Arg(help="The gateway's settings file.")]

    def __call__(self) -> int:
        """Run the command and return the exit code."""
        from damasklead.platform.start import run_gateway

        return run_gateway(self.settings)


@cappa.command(
    name="check", help="Check settings files and folders of configuration files."
)
@dataclass(kw_only=True)
class Check:
    """Print the findings of all files; the exit code is 2 if there are any."""

    paths: Annotated[
        list[Path],
        cappa.Arg(help=f"Folders with *{FILE_SUFFIX} files, or single settings files."),
    ]
    gateway: Annotated[
        bool,
        cappa.Arg(long=True, help="Single files are the settings of gateways."),
    ] = False

    def __call__(self) -> int:
        """Run the command and return the exit code."""
        findings = Findings()
        folders = [path for path in self.paths if path.is_dir()]
        for path in self.paths:
            if not path.is_dir():
                check = check_gateway_settings if self.gateway else check_settings
                check(path.read_text(), file=str(path), findings=findings)
        files = read_configuration_files(folders)
        if folders:
            build_configuration(files, version=1, findings=findings)
        if len(findings):
            return print_findings(findings)
        print(f"{len(files) + len(self.paths) - len(folders)} files, no findings")
        return DONE


@cappa.command(
    name="key", help="Make a bearer key for a workspace and print its digest."
)
@dataclass(kw_only=True)
class MakeKey:
    """Print a new key, for the caller, and its digest, for the workspaces file."""

    workspace: str

    def __call__(self) -> int:
        """Run the command and return the exit code."""
        key = f"{self.workspace}.{secrets.token_urlsafe(24)}"
        salt = hashlib.sha256(secrets.token_bytes(16)).hexdigest()[:16]
        print(f"key:    {key}\ndigest: {digest_key(key, salt=salt)}")
        return DONE


@cappa.command(
    name="demo", help="Demonstrate the system in one process, with injected faults."
)
@dataclass(kw_only=True)
class Demo:
    """Run the demonstration; the exit code is 0 only if every guarantee was kept."""

    verbose: Annotated[
        bool, cappa.Arg(long="--verbose", help="Print the logs too.")
    ] = False

    def __call__(self) -> int:
        """Run the command and return the exit code."""
        from damasklead.demo import run_demo

        if not self.verbose:
            logging.set_verbosity(logging.ERROR)
        return run_demo()


@cappa.command(
    name="standin", help="Run a stand-in for an engine, a service or the platform."
)
@dataclass(kw_only=True)
class Standin:
    """Run a stand-in, for tests on one machine."""

    kind: Literal["engine", "service", "platform"]
    listen: Annotated[
        str, cappa.Arg(long="--listen", help="Listening address, ip:port.")
    ]
    name: Annotated[str, cappa.Arg(long="--name")] = "standin"
    service: Annotated[str, cappa.Arg(long="--service")] = "standin"
    data_centre: Annotated[str, cappa.Arg(long="--data-centre")] = "local"
    region: Annotated[str, cappa.Arg(long="--region")] = "local"
    version: Annotated[str, cappa.Arg(long="--software-version")] = "1"
    platform: Annotated[str, cappa.Arg(long="--platform")] = ""

    def __call__(self) -> int:
        """Run the command and return the exit code."""
        from damasklead import standins

        record = InstanceRecord(
            instance=InstanceId(self.name),
            incarnation=Incarnation(int(time.time() * 1000)),
            service=ServiceName(self.service),
            address=self.listen,
            data_centre=DataCentre(self.data_centre),
            region=self.region,
            state=InstanceState.LIVE,
            version=SoftwareVersion(self.version),
        )
        return standins.run_standin(
            self.kind, record=record, platform_address=self.platform
        )
