"""
Protocols as generators
=======================

A protocol is a generator that yields calls to the platform and receives their results.
It does no I/O itself (sans-I/O), so that the daemon, the model tests and the fuzzer
drive the same code.
"""

from collections.abc import Generator
from typing import Any, TypeVar

import msgspec
from result import Result

from damasklead.stores.base import Commit, Platform, StoreError

__all__ = [
    "GetObject",
    "PlatformCall",
    "PutObject",
    "ReadRows",
    "Steps",
    "perform",
    "run",
]

T = TypeVar("T")


class ReadRows(msgspec.Struct, kw_only=True, frozen=True):
    """A call that reads the rows with these keys from one table."""

    table: str
    keys: tuple[str, ...]


class PutObject(msgspec.Struct, kw_only=True, frozen=True):
    """A call that stores an object."""

    name: str
    content: bytes


class GetObject(msgspec.Struct, kw_only=True, frozen=True):
    """A call that fetches an object."""

    name: str


PlatformCall = ReadRows | Commit | PutObject | GetObject
Steps = Generator[PlatformCall, Result[Any, StoreError], T]


def perform(platform: Platform, call: PlatformCall) -> Result[Any, StoreError]:
    """Execute one call on a platform and return its result."""
    match call:
        case ReadRows(table=table, keys=keys):
            return platform.tables.read(table, keys)
        case Commit():
            return platform.tables.commit(call)
        case PutObject(name=name, content=content):
            return platform.objects.put(name, content)
        case GetObject(name=name):
            return platform.objects.get(name)


def run(steps: Steps[T], platform: Platform) -> T:
    """Run a protocol to completion on a platform and return its result."""
    try:
        call = next(steps)
        while True:
            call = steps.send(perform(platform, call))
    except StopIteration as stop:
        result: T = stop.value
        return result
