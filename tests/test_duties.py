"""
Tests of the duties of lease holders
====================================
"""

import msgspec

from damasklead.claims import CLAIMS_TABLE, Claim, ClaimState
from damasklead.configuration import (
    PoolScope,
    RequestClass,
    Service,
    ServiceKind,
    WantedModel,
)
from damasklead.duties import (
    MAX_CONCURRENT_LOADS,
    RETAINED_GENERATIONS,
    ModelLoadState,
    advance_generation,
    delete_claims,
    find_expired_claims,
    plan_loads,
    read_generation,
)
from damasklead.ids import (
    AttemptId,
    ClassName,
    Incarnation,
    InstanceId,
    ServiceName,
    WorkspaceId,
)
from damasklead.leases import EXPIRY
from damasklead.protocol import run
from damasklead.stores.base import Commit, Put
from damasklead.stores.memory import make_memory_platform


def make_service(*, replicas: int, checks_fencing: bool = True) -> Service:
    name = ServiceName("s")
    return Service(
        name=name,
        kind=ServiceKind.ENGINE,
        models=("m",),
        pool_scope=PoolScope.REGION,
        checks_fencing=checks_fencing,
        classes=(RequestClass(name=ClassName("c"), service=name, tier=1),),
        wanted_models=(WantedModel(model="m", version="2", replicas=replicas),),
    )


def make_states(**loaded: str) -> dict[InstanceId, ModelLoadState]:
    return {
        InstanceId(name): ModelLoadState(loaded=(model,) if model else ())
        for name, model in loaded.items()
    }


def test_only_missing_replicas_of_a_model_are_loaded() -> None:
    states = make_states(a="m@2", b="", c="m@1")
    commands = plan_loads(
        make_service(replicas=2), states, fencing_token=7, held_seconds=0.0
    )
    assert [(command.instance, command.fencing) for command in commands] == [("b", 7)]
    no_commands = plan_loads(
        make_service(replicas=1), states, fencing_token=7, held_seconds=0.0
    )
    assert no_commands == []


def test_concurrent_loads_are_limited() -> None:
    states = make_states(**{f"e{number}": "" for number in range(8)})
    service = make_service(replicas=8)
    assert (
        len(plan_loads(service, states, fencing_token=1, held_seconds=0.0))
        == MAX_CONCURRENT_LOADS
    )
    states[InstanceId("e0")] = ModelLoadState(loading=("m@2",))
    commands = plan_loads(service, states, fencing_token=1, held_seconds=0.0)
    assert len(commands) == MAX_CONCURRENT_LOADS - 1
    assert all(command.instance != "e0" for command in commands)


def test_new_holder_waits_for_expiry_if_engines_do_not_check_the_token() -> None:
    service = make_service(replicas=1, checks_fencing=False)
    states = make_states(a="")
    assert plan_loads(service, states, fencing_token=2, held_seconds=EXPIRY - 0.1) == []
    assert len(plan_loads(service, states, fencing_token=2, held_seconds=EXPIRY)) == 1


def test_settled_claims_are_deleted_after_the_retention_period() -> None:
    platform = make_memory_platform()
    for key, state, generation in (
        ("old", ClaimState.ANSWERED, 0),
        ("open", ClaimState.FAILED, 0),
        ("running", ClaimState.CLAIMED, 0),
        ("young", ClaimState.ANSWERED, 5),
    ):
        claim = Claim(
            workspace=WorkspaceId("w"),
            key=key,
            attempt=AttemptId("a"),
            body_digest="d",
            holder=InstanceId("e"),
            incarnation=Incarnation(1),
            generation=generation,
            state=state,
        )
        put = Put(table=CLAIMS_TABLE, key=f"w/{key}", value=msgspec.json.encode(claim))
        platform.tables.commit(Commit(conditions=(), writes=(put,)))
    rows = platform.tables.scan(CLAIMS_TABLE).unwrap()
    expired = find_expired_claims(rows, RETAINED_GENERATIONS + 1)
    assert run(delete_claims(expired), platform) == 1
    remaining = [row.key for row in platform.tables.scan(CLAIMS_TABLE).unwrap()]
    assert remaining == ["w/open", "w/running", "w/young"]


def test_concurrent_advances_start_one_generation() -> None:
    platform = make_memory_platform()
    first_read = run(read_generation(), platform)
    assert first_read is not None and first_read[0] == 0
    assert run(advance_generation(*first_read), platform)
    run(advance_generation(*first_read), platform)
    second_read = run(read_generation(), platform)
    assert second_read is not None and second_read[0] == 1
