"""
Rows of the quarantine
======================

Quarantined fingerprints are kept as rows of the table service, so that entries which
start later know them and operators can release them.
"""

import msgspec

from damasklead.audit import AuditEvent, make_audit_write
from damasklead.decoding import decode_json
from damasklead.ids import Fingerprint
from damasklead.quarantine import Quarantine
from damasklead.stores.base import Commit, Put, Row

__all__ = [
    "QUARANTINE_TABLE",
    "QuarantineRow",
    "apply_quarantine_row",
    "decode_quarantine_row",
    "make_quarantine_write",
    "make_release_commit",
]

QUARANTINE_TABLE = "quarantine"


class QuarantineRow(msgspec.Struct, kw_only=True, frozen=True):
    """
    The row of a fingerprint that was quarantined.

    Attributes
    ----------
    number : int
        Sequence number of the quarantine; a quarantine after a release has a higher
        number than the release.
    released : bool
        Whether an operator has released the fingerprint.
    who : str
        The entry or operator that wrote the row.
    """

    fingerprint: Fingerprint
    number: int
    released: bool
    who: str


def make_quarantine_write(row: QuarantineRow) -> Put:
    """Return the write that stores a row."""
    content = msgspec.json.encode(row)
    return Put(table=QUARANTINE_TABLE, key=row.fingerprint, value=content)


def decode_quarantine_row(row: Row) -> QuarantineRow:
    """Return the quarantine row in a row of the table service."""
    return decode_json(row.value, type=QuarantineRow)


def make_release_commit(row: QuarantineRow, *, event: AuditEvent) -> Commit:
    """Return the commit that releases a fingerprint and adds an audit event."""
    released = msgspec.structs.replace(row, released=True, who=event.who)
    return Commit(
        conditions=(), writes=(make_quarantine_write(released), make_audit_write(event))
    )


def apply_quarantine_row(row: QuarantineRow, quarantine: Quarantine) -> None:
    """Apply a row to a quarantine; applying the same row again has no effect."""
    if row.released:
        quarantine.release_fingerprint(row.fingerprint, number=row.number)
    elif row.number > quarantine.get_release_number(row.fingerprint):
        quarantine.add_fingerprint(row.fingerprint)
