"""
Demonstration
=============

Sends traffic through an entry to stand-ins, all in one process, with injected faults
and callers that check the responses.
"""

from damasklead.demo.run import run_demo

__all__ = ["run_demo"]
