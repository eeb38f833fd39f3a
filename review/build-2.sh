#!/bin/sh
# Builds the stand-ins of the second review, which need the standard library only.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m py_compile review/stage_2.py
