"""
Tests of claims
===============
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
from damasklead.stores.memory import Faults, memory_platform


def make_claim(attempt: str, *, body: str = "body") -> Claim:
    return Claim(
        workspace=WorkspaceId("quay"),
        key="order-1",
        attempt=AttemptId(attempt),
        body_digest=body,
        holder=InstanceId("entry-1"),
        incarnation=Incarnation(1),
    )


def state_of(platform: Platform) -> ClaimState | None:
    rows = platform.tables.read(CLAIMS_TABLE, ("quay/order-1",)).unwrap()
    return decode_claim(rows[0]).state if rows else None


@pytest.fixture
def faults() -> Faults:
    return Faults()


@pytest.fixture
def platform(faults: Faults) -> Platform:
    return memory_platform(faults=faults)


def test_the_second_sending_is_held_until_answered(platform: Platform) -> None:
    first = run(acquire(make_claim("a")), platform)
    assert isinstance(first, ClaimAcquired)
    second = run(acquire(make_claim("b")), platform)
    assert isinstance(second, ClaimHeld) and second.claim.state is ClaimState.CLAIMED
    answer = RecordedResponse(status=200, content_type="text/plain", body=b"sold")
    answered = msgspec.structs.replace(
        make_claim("a"), state=ClaimState.ANSWERED, answer=answer
    )
    assert run(settle(answered, version=first.version), platform)
    third = run(acquire(make_claim("c")), platform)
    assert isinstance(third, ClaimHeld) and third.claim.answer == answer


def test_another_body_under_the_key_is_refused(platform: Platform) -> None:
    run(acquire(make_claim("a")), platform)
    result = run(acquire(make_claim("b", body="other")), platform)
    assert isinstance(result, BodyMismatch)


def test_a_lost_answer_is_settled_by_reading_back(
    platform: Platform, faults: Faults
) -> None:
    faults.lose_answers = 1
    assert isinstance(run(acquire(make_claim("a")), platform), ClaimAcquired)


def test_the_attempt_that_won_is_told_apart_after_lost_answers(
    platform: Platform, faults: Faults
) -> None:
    assert isinstance(run(acquire(make_claim("a")), platform), ClaimAcquired)
    faults.lose_answers = 1
    result = run(acquire(make_claim("b")), platform)
    assert isinstance(result, ClaimHeld) and result.claim.attempt == "a"


def test_a_store_that_is_down_gives_no_claim(
    platform: Platform, faults: Faults
) -> None:
    faults.down = True
    result = run(acquire(make_claim("a")), platform)
    assert result == ClaimUnconfirmed(maybe_written=False)
    assert not run(abandon(make_claim("a")), platform)


def test_an_abandoned_claim_frees_the_key(platform: Platform, faults: Faults) -> None:
    assert isinstance(run(acquire(make_claim("a")), platform), ClaimAcquired)
    assert run(abandon(make_claim("a")), platform)
    assert state_of(platform) is ClaimState.RELEASED
    assert isinstance(run(acquire(make_claim("b")), platform), ClaimAcquired)


@pytest.mark.parametrize("released_by_other", [False, True])
def test_a_claim_that_lands_after_its_abandonment_holds_nothing(
    platform: Platform, released_by_other: bool
) -> None:
    """The write of an abandoned claim arrives at the store late."""
    if released_by_other:
        run(acquire(make_claim("x")), platform)
        run(abandon(make_claim("x")), platform)
    late = collect_commit(acquire(make_claim("a")), platform, released_by_other)
    assert run(abandon(make_claim("a")), platform)
    perform(platform, late)
    assert state_of(platform) is ClaimState.RELEASED
    assert isinstance(run(acquire(make_claim("b")), platform), ClaimAcquired)


def collect_commit(steps: Steps[Any], platform: Platform, second: bool) -> Commit:
    """Return the claim's write as it leaves the entry, without carrying it out."""
    call = next(steps)
    if second:
        call = steps.send(perform(platform, call))
    assert isinstance(call, Commit)
    steps.send(Err(StoreError.UNKNOWN))
    return call


def test_abandoning_never_frees_the_claim_of_another(platform: Platform) -> None:
    assert isinstance(run(acquire(make_claim("a")), platform), ClaimAcquired)
    assert run(abandon(make_claim("b")), platform)
    assert state_of(platform) is ClaimState.CLAIMED


def test_an_operator_settles_an_unknown_order(platform: Platform) -> None:
    acquired = run(acquire(make_claim("a")), platform)
    assert isinstance(acquired, ClaimAcquired)
    event = AuditEvent(id="e", at=1.0, who="op", action="resolve-order", subject="k")
    key = "quay/order-1"
    refused = run(resolve(key, executed=False, event=event), platform)
    assert "may still run" in refused
    failed = msgspec.structs.replace(make_claim("a"), state=ClaimState.FAILED)
    assert run(settle(failed, version=acquired.version), platform)
    assert run(resolve(key, executed=False, event=event), platform) == ""
    assert isinstance(run(acquire(make_claim("b")), platform), ClaimAcquired)
    events = platform.tables.scan(AUDIT_TABLE)
    assert isinstance(events, Ok) and len(events.ok_value) == 1
