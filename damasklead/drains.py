"""
Drains
======

An operator's request to drain an upstream or entry is kept as a row of the table
service.
"""

import msgspec

from damasklead.audit import AuditEvent, make_audit_write
from damasklead.ids import Incarnation, InstanceId
from damasklead.stores.base import Commit, Put

__all__ = ["DRAINS_TABLE", "Drain", "make_drain_commit"]

DRAINS_TABLE = "drains"


class Drain(msgspec.Struct, kw_only=True, frozen=True):
    """
    The row of an instance that must get no new requests.

    Attributes
    ----------
    instance, incarnation
        The instance; a later incarnation gets requests again.
    who : str
        The operator who drained it.
    """

    instance: InstanceId
    incarnation: Incarnation
    who: str


def make_drain_commit(drain: Drain, *, event: AuditEvent) -> Commit:
    """Return the commit that drains an instance and adds an audit event."""
    row = Put(table=DRAINS_TABLE, key=drain.instance, value=msgspec.json.encode(drain))
    return Commit(conditions=(), writes=(row, make_audit_write(event)))
