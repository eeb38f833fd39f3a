"""
Rows of the quarantine
======================

Named fingerprints as rows of the table service, so that entries which start later know
them and operators can lift them.
"""

import msgspec

from damasklead.audit import AuditEvent, audit_put
from damasklead.ids import Fingerprint
from damasklead.quarantine import Quarantine
from damasklead.stores.base import Commit, Put, Row

__all__ = [
    "QUARANTINE_TABLE",
    "QuarantineRow",
    "apply_row",
    "decode_row",
    "release_commit",
    "row_put",
]

QUARANTINE_TABLE = "quarantine"


class QuarantineRow(msgspec.Struct, kw_only=True, frozen=True):
    """
    What is decided about a fingerprint.

    Attributes
    ----------
    number : int
        Grows each time the fingerprint is named after a release.
    released : bool
        Whether an operator has lifted it.
    """

    fingerprint: Fingerprint
    number: int
    released: bool
    who: str


def row_put(row: QuarantineRow) -> Put:
    """Return the write of a row."""
    content = msgspec.json.encode(row)
    return Put(table=QUARANTINE_TABLE, key=row.fingerprint, value=content)


def decode_row(row: Row) -> QuarantineRow:
    """Return the decision in a row."""
    return msgspec.json.decode(row.value, type=QuarantineRow)


def release_commit(row: QuarantineRow, *, event: AuditEvent) -> Commit:
    """Return the commit that lifts a quarantine and records it in the audit trail."""
    released = msgspec.structs.replace(row, released=True, who=event.who)
    return Commit(conditions=(), writes=(row_put(released), audit_put(event)))


def apply_row(row: QuarantineRow, quarantine: Quarantine) -> None:
    """Take in a row, which may be read any number of times."""
    if row.released:
        quarantine.release(row.fingerprint, number=row.number)
    elif row.number > quarantine.release_number(row.fingerprint):
        quarantine.name(row.fingerprint)
