"""
Claims of requests that may be executed only once
=================================================

Before the first byte of such a request is sent upstream, a conditional write claims its
idempotency key for one attempt.

No other attempt acquires the key while the holder may have sent anything.  An attempt
whose claim could not be confirmed sends nothing, and its claim is released as soon as
the store responds.
"""

from enum import Enum

import msgspec
from result import Err, Ok

from damasklead.audit import AuditEvent, make_audit_write
from damasklead.decoding import decode_json
from damasklead.ids import AttemptId, Incarnation, InstanceId, WorkspaceId
from damasklead.protocol import ReadRows, Steps
from damasklead.stores.base import (
    ABSENT,
    Commit,
    Committed,
    Condition,
    Conflict,
    Put,
    Row,
    StoreError,
)

__all__ = [
    "CLAIMS_TABLE",
    "BodyMismatch",
    "Claim",
    "ClaimAcquired",
    "ClaimHeld",
    "ClaimState",
    "ClaimUnconfirmed",
    "RecordedResponse",
    "abandon",
    "acquire",
    "decode_claim",
    "make_claim_key",
    "resolve",
    "settle",
]

CLAIMS_TABLE = "claims"
MAX_WRITE_ATTEMPTS = 3


class ClaimState(Enum):
    """
    The state of the attempt that claimed a key.

    A ``CLAIMED`` attempt may still run, an ``ANSWERED`` one was executed, and whether a
    ``FAILED`` one was executed is unknown.  A ``RELEASED`` attempt was certainly not
    executed, and another attempt may claim the key.
    """

    CLAIMED = "claimed"
    ANSWERED = "answered"
    FAILED = "failed"
    RELEASED = "released"


class RecordedResponse(msgspec.Struct, kw_only=True, frozen=True):
    """A recorded response; ``body`` is ``None`` if it was too large to be stored."""

    status: int
    content_type: str
    body: bytes | None


class Claim(msgspec.Struct, kw_only=True, frozen=True):
    """
    The row of one idempotency key, which one attempt holds at a time.

    Attributes
    ----------
    attempt : str
        The attempt that holds the key.
    body_digest : str
        Digest of the request's body; a request with another body under the same key is
        refused.
    holder, incarnation
        The entry that makes the attempt.
    generation : int
        Number of the generation, a period of about an hour, in which the claim was
        made; it determines when the claim expires.
    answer : RecordedResponse or None
        The response to replay to later requests with the key, if one was recorded.
    note : str
        The operator who settled the claim, if one did.
    """

    workspace: WorkspaceId
    key: str
    attempt: AttemptId
    body_digest: str
    holder: InstanceId
    incarnation: Incarnation
    generation: int = 0
    state: ClaimState = ClaimState.CLAIMED
    answer: RecordedResponse | None = None
    note: str = ""


class ClaimAcquired(msgspec.Struct, kw_only=True, frozen=True):
    """The attempt holds the key at this row version and may send the request."""

    version: int


class ClaimHeld(msgspec.Struct, kw_only=True, frozen=True):
    """An earlier attempt holds the key, in the state ``claim.state``."""

    claim: Claim


class BodyMismatch(msgspec.Struct, kw_only=True, frozen=True):
    """The key was claimed for a request with another body."""


class ClaimUnconfirmed(msgspec.Struct, kw_only=True, frozen=True):
    """
    The claim could not be confirmed; the request must not be sent.

    Attributes
    ----------
    maybe_written : bool
        Whether the claim may have been written; if so, ``abandon`` must follow.
    """

    maybe_written: bool


AcquireResult = ClaimAcquired | ClaimHeld | BodyMismatch | ClaimUnconfirmed


def make_claim_key(workspace: WorkspaceId, key: str) -> str:
    """Return the key of the row that holds the claim of an idempotency key."""
    return f"{workspace}/{key}"


def decode_claim(row: Row) -> Claim:
    """Return the claim in a row."""
    return decode_json(row.value, type=Claim)


def acquire(claim: Claim) -> Steps[AcquireResult]:
    """
    Claim a key for an attempt.

    Parameters
    ----------
    claim : Claim
        The claim to write, in the state ``CLAIMED`` and with a unique attempt id.
    """
    version = ABSENT
    maybe_written = False
    for _ in range(MAX_WRITE_ATTEMPTS):
        result = yield _make_write(claim, version)
        if isinstance(result, Ok) and isinstance(result.ok_value, Committed):
            return ClaimAcquired(version=result.ok_value.version)
        if isinstance(result, Ok):
            conflict: Conflict = result.ok_value
            row = conflict.rows[0] if conflict.rows else None
        else:
            maybe_written |= result.err_value is StoreError.UNKNOWN
            result = yield _make_read(claim)
            if isinstance(result, Err):
                continue
            row = result.ok_value[0] if result.ok_value else None
        if row is None:
            version = ABSENT
            continue
        outcome = _interpret_row(claim, row)
        if outcome is not None:
            return outcome
        version = row.version
    return ClaimUnconfirmed(maybe_written=maybe_written)


def settle(claim: Claim, *, version: int) -> Steps[bool]:
    """
    Record the outcome of an acquired claim.

    Parameters
    ----------
    claim : Claim
        The claim with its new state.
    version : int
        The row version at which it was acquired.

    Returns
    -------
    bool
        ``False`` if the store was unreachable; the call may then be repeated.
    """
    result = yield _make_write(claim, version)
    if isinstance(result, Ok):
        return True
    result = yield _make_read(claim)
    if isinstance(result, Err):
        return False
    rows: tuple[Row, ...] = result.ok_value
    return not rows or rows[0].version != version


def abandon(claim: Claim) -> Steps[bool]:
    """
    Release the unconfirmed claim of an attempt that sent nothing.

    A released row is written even if there is no row, so that the condition of a claim
    write that reaches the store later fails.

    Returns
    -------
    bool
        ``False`` if the store was unreachable; the call may then be repeated.
    """
    released = msgspec.structs.replace(claim, state=ClaimState.RELEASED, answer=None)
    for _ in range(MAX_WRITE_ATTEMPTS):
        result = yield _make_read(claim)
        if isinstance(result, Err):
            return False
        row = result.ok_value[0] if result.ok_value else None
        if row is not None and not _could_acquire(claim, row):
            return True
        result = yield _make_write(released, ABSENT if row is None else row.version)
        if isinstance(result, Ok) and isinstance(result.ok_value, Committed):
            return True
    return False


def resolve(
    key: str, *, executed: bool, event: AuditEvent, force: bool = False
) -> Steps[str]:
    """
    Settle an order (a request that may be executed only once) whose outcome is unknown.

    Parameters
    ----------
    key : str
        The row key, ``workspace/key``.
    executed : bool
        Whether the order was executed, as the operator found out; if not, its key is
        released for another attempt.
    event : AuditEvent
        The audit event, which is stored in the same commit.
    force : bool
        Whether to settle a claim whose attempt may still run.

    Returns
    -------
    str
        Why the order was not settled; empty if it was.
    """
    result = yield ReadRows(table=CLAIMS_TABLE, keys=(key,))
    if isinstance(result, Err):
        return "the platform does not answer"
    if not result.ok_value:
        return f"there is no order {key!r}"
    row: Row = result.ok_value[0]
    claim = decode_claim(row)
    if claim.state not in (ClaimState.FAILED, ClaimState.CLAIMED):
        return f"the order is {claim.state.value} already"
    if claim.state is ClaimState.CLAIMED and not force:
        return "its attempt may still run; wait, or use --force when its entry is gone"
    state = ClaimState.ANSWERED if executed else ClaimState.RELEASED
    settled = msgspec.structs.replace(
        claim, state=state, note=f"settled by {event.who}"
    )
    commit = Commit(
        conditions=(Condition(table=CLAIMS_TABLE, key=key, version=row.version),),
        writes=(
            Put(table=CLAIMS_TABLE, key=key, value=msgspec.json.encode(settled)),
            make_audit_write(event),
        ),
    )
    result = yield commit
    if isinstance(result, Ok):
        return (
            ""
            if isinstance(result.ok_value, Committed)
            else "the order changed meanwhile"
        )
    return "the platform did not answer; look again before you repeat this"


def _interpret_row(claim: Claim, row: Row) -> AcquireResult | None:
    """Return the outcome of an attempt to claim, or ``None`` if the key is released."""
    held = decode_claim(row)
    if held.attempt == claim.attempt and held.state is ClaimState.CLAIMED:
        return ClaimAcquired(version=row.version)
    if held.state is ClaimState.RELEASED:
        return None
    if held.body_digest != claim.body_digest:
        return BodyMismatch()
    return ClaimHeld(claim=held)


def _could_acquire(claim: Claim, row: Row) -> bool:
    """Return whether the attempt holds the key or a late write of its claim may."""
    held = decode_claim(row)
    if held.attempt == claim.attempt:
        return held.state is ClaimState.CLAIMED
    return held.state is ClaimState.RELEASED


def _make_write(claim: Claim, version: int) -> Commit:
    key = make_claim_key(claim.workspace, claim.key)
    return Commit(
        conditions=(Condition(table=CLAIMS_TABLE, key=key, version=version),),
        writes=(Put(table=CLAIMS_TABLE, key=key, value=msgspec.json.encode(claim)),),
    )


def _make_read(claim: Claim) -> ReadRows:
    return ReadRows(
        table=CLAIMS_TABLE, keys=(make_claim_key(claim.workspace, claim.key),)
    )
