"""
Start on the platform
=====================

Runs a gateway with the settings file whose path stands in the environment.
"""

import os
import signal
import sys
from pathlib import Path

SETTINGS_VARIABLE = "DAMASKLEAD_SETTINGS"


def main() -> int:
    """Run a gateway; returns the exit code."""
    # A reload that is asked for while the process starts would end it: the handler is
    # installed after the imports, and the settings are read after this line anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from damasklead.platform.start import run_gateway

    return run_gateway(Path(os.environ[SETTINGS_VARIABLE]))


if __name__ == "__main__":
    sys.exit(main())
