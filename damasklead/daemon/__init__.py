"""
Daemon
======

The entry process: listeners, periodic tasks and the supervisor tree that restarts them.
"""

from damasklead.daemon.service import EntryService

__all__ = ["EntryService"]
