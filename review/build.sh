#!/usr/bin/env bash
# Builds the stand-ins: they are Python and need nothing but its standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins.py stall.py poison.py [1-5]/*.py
