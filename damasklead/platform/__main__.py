"""
Start on the platform
=====================

Runs a gateway with the settings file whose path stands in the environment.
"""

import os
import sys
from pathlib import Path

from damasklead.platform.start import run_gateway

SETTINGS_VARIABLE = "DAMASKLEAD_SETTINGS"

if __name__ == "__main__":
    sys.exit(run_gateway(Path(os.environ[SETTINGS_VARIABLE])))
