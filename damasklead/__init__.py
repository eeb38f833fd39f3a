"""
damasklead
==========

A router for language-model traffic with service levels and priorities, and the
coordination components that it is built from.

The public names do no I/O and load no network library. Each is imported on first use,
so that a daemon loads only the modules that it runs.
"""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from damasklead.claims import Claim, ClaimState, abandon, acquire, settle
    from damasklead.clock import Clock, ManualClock
    from damasklead.gossip import GossipBuffer
    from damasklead.leases import LeaseKeeper
    from damasklead.manifest import (
        ConfigurationHolder,
        Publication,
        fetch,
        publish,
    )
    from damasklead.membership import Membership
    from damasklead.protocol import perform, run
    from damasklead.quarantine import Quarantine
    from damasklead.sharing import Coordinator, ShareHolder, choose_coordinator

__all__ = [
    "Claim",
    "ClaimState",
    "Clock",
    "ConfigurationHolder",
    "Coordinator",
    "GossipBuffer",
    "LeaseKeeper",
    "ManualClock",
    "Membership",
    "Publication",
    "Quarantine",
    "ShareHolder",
    "__version__",
    "abandon",
    "acquire",
    "choose_coordinator",
    "fetch",
    "perform",
    "publish",
    "run",
    "settle",
]

__version__ = "0.1.0"

_NAMES_BY_MODULE = {
    "claims": ("Claim", "ClaimState", "abandon", "acquire", "settle"),
    "clock": ("Clock", "ManualClock"),
    "gossip": ("GossipBuffer",),
    "leases": ("LeaseKeeper",),
    "manifest": ("ConfigurationHolder", "Publication", "fetch", "publish"),
    "membership": ("Membership",),
    "protocol": ("perform", "run"),
    "quarantine": ("Quarantine",),
    "sharing": ("Coordinator", "ShareHolder", "choose_coordinator"),
}
_MODULE_BY_NAME = {
    name: module for module, names in _NAMES_BY_MODULE.items() for name in names
}


def __getattr__(name: str) -> Any:
    """Import a public name from its module on first use."""
    module = _MODULE_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    value = getattr(import_module(f"{__name__}.{module}"), name)
    globals()[name] = value
    return value
