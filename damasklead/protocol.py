"""
Protocols as generators
=======================

A protocol yields calls to the platform and is sent their results, so that it holds no
I/O: the daemon, the model tests and the fuzzer drive the same code.
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
    """Read rows of one table."""

    table: str
    keys: tuple[str, ...]


class PutObject(msgspec.Struct, kw_only=True, frozen=True):
    """Store an object."""

    name: str
    content: bytes


class GetObject(msgspec.Struct, kw_only=True, frozen=True):
    """Fetch an object."""

    name: str


PlatformCall = ReadRows | Commit | PutObject | GetObject
Steps = Generator[PlatformCall, Result[Any, StoreError], T]


def perform(platform: Platform, call: PlatformCall) -> Result[Any, StoreError]:
    """Carry out one call."""
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
    """Drive a protocol to its end against a platform and return its result."""
    try:
        call = next(steps)
        while True:
            call = steps.send(perform(platform, call))
    except StopIteration as stop:
        result: T = stop.value
        return result
