"""
Entry point
===========

Runs the command line for ``python -m damasklead``.
"""

import sys

from damasklead.cmdline import main

if __name__ == "__main__":
    sys.exit(main())
