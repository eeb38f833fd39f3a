"""
Daemon
======

The entry process: listeners, tasks and the supervisor tree that keeps them running.
"""

from damasklead.daemon.service import EntryService

__all__ = ["EntryService"]
