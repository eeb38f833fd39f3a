"""
A platform with a fault for each call
=====================================
"""

from collections.abc import Generator
from enum import Enum
from typing import Any

from result import Err, Result

from damasklead.protocol import PlatformCall, perform
from damasklead.stores.base import Commit, Platform, StoreError
from damasklead.stores.memory import make_memory_platform

__all__ = ["Fault", "FaultyStore", "Task"]


class Fault(Enum):
    """The fault that is injected into one call."""

    NONE = "none"
    DOWN = "down"
    LOST_BEFORE = "lost before it took effect"
    LOST_AFTER = "response lost after it took effect"
    LATE = "takes effect later"
    TWICE = "takes effect twice"


class FaultyStore:
    """
    A platform in memory with a chosen fault for each call.

    Attributes
    ----------
    platform : Platform
        The platform, for calls without a fault.
    late_commits : list of Commit
        Commits with the fault ``LATE`` that were not yet applied.
    """

    def __init__(self) -> None:
        self.platform: Platform = make_memory_platform()
        self.late_commits: list[Commit] = []

    def perform(self, call: PlatformCall, fault: Fault) -> Result[Any, StoreError]:
        """Execute a call with a fault."""
        if fault is Fault.NONE:
            return perform(self.platform, call)
        if fault is Fault.DOWN:
            return Err(StoreError.UNAVAILABLE)
        if not isinstance(call, Commit):
            return Err(StoreError.UNKNOWN)
        if fault is Fault.LATE:
            self.late_commits.append(call)
            return Err(StoreError.UNKNOWN)
        if fault is Fault.LOST_BEFORE:
            return Err(StoreError.UNKNOWN)
        perform(self.platform, call)
        if fault is Fault.TWICE:
            return perform(self.platform, call)
        return Err(StoreError.UNKNOWN)

    def apply_late_commit(self, index: int) -> None:
        """Remove and apply a late commit; indexes beyond the last one wrap around."""
        perform(self.platform, self.late_commits.pop(index % len(self.late_commits)))


class Task:
    """A protocol that is run call by call, so that others can be interleaved."""

    def __init__(self, steps: Generator[PlatformCall, Any, Any]) -> None:
        self._steps = steps
        self._call: PlatformCall | None = None
        self.done = False
        self.result: Any = None
        self._advance(None)

    def step(self, store: FaultyStore, fault: Fault) -> None:
        """Execute the pending call and run the protocol up to its next call."""
        assert self._call is not None
        self._advance(store.perform(self._call, fault))

    def _advance(self, value: Any) -> None:
        try:
            self._call = self._steps.send(value)
        except StopIteration as stop:
            self.done = True
            self.result = stop.value
