"""
Demonstration
=============

The whole path in one process, with stand-ins, faults and callers that check what they
get.
"""

from damasklead.demo.run import run_demo

__all__ = ["run_demo"]
