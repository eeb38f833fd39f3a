"""
Start on the platform
=====================

Runs a gateway with the settings file whose path stands in the environment.  Where the
callers' address stands there too, its port is opened before the program is loaded.
"""

import os
import signal
import sys

from damasklead.earlylistener import open_listening_socket

SETTINGS_VARIABLE = "DAMASKLEAD_SETTINGS"
CALLERS_VARIABLE = "DAMASKLEAD_CALLERS"


def main() -> int:
    """Run a gateway; returns the exit code."""
    # A reload that is asked for while the process starts would end it: the handler is
    # installed after the imports, and the settings are read after this line anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    caller_socket = open_listening_socket(os.environ.get(CALLERS_VARIABLE, ""))
    from pathlib import Path

    from damasklead.platform.start import run_gateway

    return run_gateway(Path(os.environ[SETTINGS_VARIABLE]), caller_socket=caller_socket)


if __name__ == "__main__":
    sys.exit(main())
