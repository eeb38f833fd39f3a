"""
Start on the platform
=====================

Runs a gateway.  The environment variable ``DAMASKLEAD_SETTINGS`` holds the path of the
settings file.  If ``DAMASKLEAD_CALLERS`` holds the callers' address, the process
listens there before it imports the rest of the program.
"""

import os
import signal
import sys

from damasklead.listening_socket import open_listening_socket

SETTINGS_VARIABLE = "DAMASKLEAD_SETTINGS"
CALLERS_VARIABLE = "DAMASKLEAD_CALLERS"


def main() -> int:
    """Run a gateway; returns the exit code."""
    # SIGHUP would terminate the process until the gateway installs its handler for
    # reloads, which is after the imports.  Ignoring the signal loses no reload, since
    # the settings are read later than this line.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    caller_socket = open_listening_socket(os.environ.get(CALLERS_VARIABLE, ""))
    from pathlib import Path

    from damasklead.platform.start import run_gateway

    return run_gateway(Path(os.environ[SETTINGS_VARIABLE]), caller_socket=caller_socket)


if __name__ == "__main__":
    sys.exit(main())
