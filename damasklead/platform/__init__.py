"""
Platform
========

The platform's services behind abstract base classes, with a table of implementations by
name.
"""

from damasklead.platform.base import Platform
from damasklead.platform.http import http_platform
from damasklead.platform.memory import memory_platform
from damasklead.settings import PlatformSettings

__all__ = ["Platform", "open_platform"]


def open_platform(settings: PlatformSettings) -> Platform:
    """Return the platform that the settings name."""
    if settings.kind == "memory":
        return memory_platform()
    assert settings.address is not None
    return http_platform(address=settings.address)
