"""
Tests of the claims of idempotency keys
=======================================
"""

from typing import Any

import msgspec
import pytest
from result import Err, Ok

from damasklead.audit import AUDIT_TABLE, AuditEvent
from damasklead.claims import (
    CLAIMS_TABLE,
    BodyMismatch,
    Claim,
    ClaimAcquired,
    ClaimHeld,
    ClaimState,
    ClaimUnconfirmed,
    RecordedResponse,
    abandon,
    acquire,
    decode_claim,
    resolve,
    settle,
)
from damasklead.ids import AttemptId, Incarnation, InstanceId, WorkspaceId
from damasklead.protocol import Steps, perform, run
from damasklead.stores.base import Commit, Platform, StoreError
from damasklead.stores.memory import Faults, make_memory_platform


def make_claim(attempt: str, *, body: str = "body") -> Claim:
    return Claim(
        workspace=WorkspaceId("quay"),
        key="order-1",
        attempt=AttemptId(attempt),
        body_digest=body,
        holder=InstanceId("entry-1"),
        incarnation=Incarnation(1),
    )


def read_state(platform: Platform) -> ClaimState | None:
    rows = platform.tables.read(CLAIMS_TABLE, ("quay/order-1",)).unwrap()
    return decode_claim(rows[0]).state if rows else None


@pytest.fixture
def faults() -> Faults:
    return Faults()


@pytest.fixture
def platform(faults: Faults) -> Platform:
    return make_memory_platform(faults=faults)


def test_repeated_request_gets_the_recorded_response(platform: Platform) -> None:
    first = run(acquire(make_claim("a")), platform)
    assert isinstance(first, ClaimAcquired)
    second = run(acquire(make_claim("b")), platform)
    assert isinstance(second, ClaimHeld) and second.claim.state is ClaimState.CLAIMED
    response = RecordedResponse(status=200, content_type="text/plain", body=b"sold")
    answered = msgspec.structs.replace(
        make_claim("a"), state=ClaimState.ANSWERED, answer=response
    )
    assert run(settle(answered, version=first.version), platform)
    third = run(acquire(make_claim("c")), platform)
    assert isinstance(third, ClaimHeld) and third.claim.answer == response


def test_key_is_refused_to_a_request_with_another_body(platform: Platform) -> None:
    run(acquire(make_claim("a")), platform)
    result = run(acquire(make_claim("b", body="other")), platform)
    assert isinstance(result, BodyMismatch)


def test_claim_with_a_lost_response_is_confirmed_by_reading_back(
    platform: Platform, faults: Faults
) -> None:
    faults.lose_answers = 1
    assert isinstance(run(acquire(make_claim("a")), platform), ClaimAcquired)


def test_reading_back_finds_the_claim_of_another_attempt(
    platform: Platform, faults: Faults
) -> None:
    assert isinstance(run(acquire(make_claim("a")), platform), ClaimAcquired)
    faults.lose_answers = 1
    result = run(acquire(make_claim("b")), platform)
    assert isinstance(result, ClaimHeld) and result.claim.attempt == "a"


def test_claim_is_unconfirmed_while_the_store_is_down(
    platform: Platform, faults: Faults
) -> None:
    faults.down = True
    result = run(acquire(make_claim("a")), platform)
    assert result == ClaimUnconfirmed(maybe_written=False)
    assert not run(abandon(make_claim("a")), platform)


def test_key_of_an_abandoned_claim_can_be_acquired(
    platform: Platform, faults: Faults
) -> None:
    assert isinstance(run(acquire(make_claim("a")), platform), ClaimAcquired)
    assert run(abandon(make_claim("a")), platform)
    assert read_state(platform) is ClaimState.RELEASED
    assert isinstance(run(acquire(make_claim("b")), platform), ClaimAcquired)


@pytest.mark.parametrize("released_by_other", [False, True])
def test_claim_written_after_its_abandonment_fails(
    platform: Platform, released_by_other: bool
) -> None:
    """The write of a claim must not take effect after the claim was abandoned."""
    if released_by_other:
        run(acquire(make_claim("x")), platform)
        run(abandon(make_claim("x")), platform)
    late_commit = capture_commit(acquire(make_claim("a")), platform, released_by_other)
    assert run(abandon(make_claim("a")), platform)
    perform(platform, late_commit)
    assert read_state(platform) is ClaimState.RELEASED
    assert isinstance(run(acquire(make_claim("b")), platform), ClaimAcquired)


def capture_commit(
    steps: Steps[Any], platform: Platform, after_conflict: bool
) -> Commit:
    """
    Return the claim's write without executing it; the protocol sees a lost response.

    Parameters
    ----------
    after_conflict : bool
        Whether to return the second write, which follows a conflict.
    """
    call = next(steps)
    if after_conflict:
        call = steps.send(perform(platform, call))
    assert isinstance(call, Commit)
    steps.send(Err(StoreError.UNKNOWN))
    return call


def test_abandoning_does_not_release_the_claim_of_another_attempt(
    platform: Platform,
) -> None:
    assert isinstance(run(acquire(make_claim("a")), platform), ClaimAcquired)
    assert run(abandon(make_claim("b")), platform)
    assert read_state(platform) is ClaimState.CLAIMED


def test_operator_settles_an_order_with_unknown_outcome(platform: Platform) -> None:
    acquired = run(acquire(make_claim("a")), platform)
    assert isinstance(acquired, ClaimAcquired)
    event = AuditEvent(id="e", at=1.0, who="op", action="resolve-order", subject="k")
    key = "quay/order-1"
    reason = run(resolve(key, executed=False, event=event), platform)
    assert "may still run" in reason
    failed = msgspec.structs.replace(make_claim("a"), state=ClaimState.FAILED)
    assert run(settle(failed, version=acquired.version), platform)
    assert run(resolve(key, executed=False, event=event), platform) == ""
    assert isinstance(run(acquire(make_claim("b")), platform), ClaimAcquired)
    events = platform.tables.scan(AUDIT_TABLE)
    assert isinstance(events, Ok) and len(events.ok_value) == 1
