"""
Tests of duties
===============
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
from damasklead.stores.memory import memory_platform


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


def states(**loaded: str) -> dict[InstanceId, ModelLoadState]:
    return {
        InstanceId(name): ModelLoadState(loaded=(model,) if model else ())
        for name, model in loaded.items()
    }


def test_only_what_is_missing_is_ordered() -> None:
    known = states(a="m@2", b="", c="m@1")
    orders = plan_loads(
        make_service(replicas=2), known, fencing_token=7, held_seconds=0.0
    )
    assert [(order.instance, order.fencing) for order in orders] == [("b", 7)]
    done = plan_loads(
        make_service(replicas=1), known, fencing_token=7, held_seconds=0.0
    )
    assert done == []


def test_orders_under_way_are_bounded() -> None:
    known = states(**{f"e{number}": "" for number in range(8)})
    service = make_service(replicas=8)
    assert (
        len(plan_loads(service, known, fencing_token=1, held_seconds=0.0))
        == MAX_CONCURRENT_LOADS
    )
    known[InstanceId("e0")] = ModelLoadState(loading=("m@2",))
    orders = plan_loads(service, known, fencing_token=1, held_seconds=0.0)
    assert len(orders) == MAX_CONCURRENT_LOADS - 1
    assert all(order.instance != "e0" for order in orders)


def test_without_fencing_a_new_holder_waits_the_old_one_out() -> None:
    service = make_service(replicas=1, checks_fencing=False)
    known = states(a="")
    assert plan_loads(service, known, fencing_token=2, held_seconds=EXPIRY - 0.1) == []
    assert len(plan_loads(service, known, fencing_token=2, held_seconds=EXPIRY)) == 1


def test_settled_claims_are_swept_after_their_generations() -> None:
    platform = memory_platform()
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
    stale = find_expired_claims(rows, RETAINED_GENERATIONS + 1)
    assert run(delete_claims(stale), platform) == 1
    left = [row.key for row in platform.tables.scan(CLAIMS_TABLE).unwrap()]
    assert left == ["w/open", "w/running", "w/young"]


def test_a_generation_begins_once_whoever_asks() -> None:
    platform = memory_platform()
    known = run(read_generation(), platform)
    assert known is not None and known[0] == 0
    assert run(advance_generation(*known), platform)
    run(advance_generation(*known), platform)
    again = run(read_generation(), platform)
    assert again is not None and again[0] == 1
