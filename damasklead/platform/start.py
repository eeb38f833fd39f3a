"""
Start
=====

Creates a gateway with the adapter of the platform, and runs it.
"""

import socket
import sys
from pathlib import Path

from damasklead import logs
from damasklead.findings import Findings
from damasklead.gateway.process import GatewayProcess
from damasklead.gateway.settings import check_gateway_settings
from damasklead.loop import LoopClock
from damasklead.platform.api import DutyApi
from damasklead.platform.headers import PlatformDialect
from damasklead.platform.store import StoreLink

__all__ = ["run_gateway"]

INVALID_SETTINGS_EXIT_CODE = 2


def run_gateway(
    settings_file: Path, *, caller_socket: socket.socket | None = None
) -> int:
    """
    Run a gateway until SIGTERM or SIGINT; returns the exit code.

    Parameters
    ----------
    settings_file : Path
        Path of the gateway's settings.
    caller_socket : socket or None
        Socket that already listens at the callers' address.
    """
    logs.log_to_stdout()
    findings = Findings()
    settings = check_gateway_settings(
        settings_file.read_text(), file=str(settings_file), findings=findings
    )
    if settings is None:
        print(*findings, sep="\n", file=sys.stderr)
        return INVALID_SETTINGS_EXIT_CODE
    return GatewayProcess(
        settings_file=settings_file,
        settings=settings,
        dialect=PlatformDialect(),
        caller_socket=caller_socket,
        open_link=lambda address: StoreLink(address=address, clock=LoopClock()),
        open_api=lambda address: DutyApi(address=address, clock=LoopClock()),
    ).run()
