"""
Command line
============

The ``damasklead`` command. Exit codes: 0 success, 1 failure, 2 findings or wrong usage,
3 conflict.
"""

from dataclasses import dataclass
from typing import Any

import cappa
from absl import logging

from damasklead import __version__
from damasklead.commands.changing import DrainInstance, Publish
from damasklead.commands.experimenting import RunExperiment
from damasklead.commands.explaining import Explain
from damasklead.commands.inspecting import Audit, ShowStatus
from damasklead.commands.orders import Orders
from damasklead.commands.quarantine import QuarantineGroup
from damasklead.commands.running import (
    Check,
    Demo,
    Gateway,
    MakeKey,
    Serve,
    Standin,
)

__all__ = ["main"]


@cappa.command(
    name="damasklead",
    help="A router for language-model traffic with service levels and priorities.",
)
@dataclass(kw_only=True)
class Damasklead:
    """The ``damasklead`` command with its subcommands."""

    command: cappa.Subcommands[
        Serve
        | Gateway
        | Check
        | Publish
        | ShowStatus
        | Audit
        | DrainInstance
        | Orders
        | QuarantineGroup
        | MakeKey
        | Demo
        | RunExperiment
        | Explain
        | Standin
    ]


def main(arguments: list[str] | None = None) -> int:
    """Run the command line and return the exit code."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    code: Any = cappa.invoke(Damasklead, argv=arguments, version=__version__)
    return int(code or 0)
