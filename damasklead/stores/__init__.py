"""
Stores
======

Interfaces and implementations of the platform services in which entries keep their
state, and the function that opens the configured implementation.

Importing this package loads neither a network library nor the validation of settings,
which take time and memory at the start of a gateway.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from damasklead.stores.base import Platform

if TYPE_CHECKING:
    from damasklead.settings import PlatformSettings

__all__ = ["Platform", "open_platform"]


def open_platform(settings: PlatformSettings) -> Platform:
    """Return the platform of the kind and at the address in the settings."""
    return _OPENERS[settings.kind](settings)


def _open_memory(settings: PlatformSettings) -> Platform:
    from damasklead.stores.memory import make_memory_platform

    return make_memory_platform()


def _open_http(settings: PlatformSettings) -> Platform:
    from damasklead.stores.http import make_http_platform

    assert settings.address is not None
    return make_http_platform(address=settings.address)


_OPENERS = {"memory": _open_memory, "http": _open_http}
