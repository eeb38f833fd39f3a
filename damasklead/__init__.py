"""
damasklead
==========

A router for language-model traffic with service levels and priorities, and the
coordination parts that it is made of.

The names below hold no I/O and load no network library.
"""

from damasklead.claims import Claim, ClaimState, abandon, acquire, settle
from damasklead.clock import Clock, ManualClock
from damasklead.gossip import GossipBuffer
from damasklead.leases import LeaseKeeper
from damasklead.manifest import ConfigurationHolder, Publication, fetch, publish
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
