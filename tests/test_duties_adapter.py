"""
Tests of the adapter for duties
===============================

The calls of the platform's API, and the rows of the gateways' own tables in the store.
"""

from collections.abc import Iterator

import gevent
import pytest
from result import Err, Ok

from damasklead.clock import ManualClock
from damasklead.gateway.duties.base import (
    ApiError,
    ApiFault,
    CallIdentity,
    UsageReport,
)
from damasklead.ids import DataCentre, InstanceId, ServiceName, StoreEra, WorkspaceId
from damasklead.loop import LoopClock
from damasklead.platform import api as api_module
from damasklead.platform.api import DutyApi
from damasklead.platform.store import StoreLink
from damasklead.stores.base import (
    ABSENT,
    Commit,
    Committed,
    Condition,
    Conflict,
    Delete,
    Put,
    StoreError,
)
from tests.api_standin import ApiStandin
from tests.duties_kit import World
from tests.platform_standin import StoreStandin

IDENTITY = CallIdentity(holder=InstanceId("gw-1"), token=(1 << 32) + 5)
REPORT = UsageReport(
    window=353445120,
    counts={WorkspaceId("workspace-1"): 412, WorkspaceId("workspace-2"): 7},
)


@pytest.fixture
def standin() -> Iterator[ApiStandin]:
    created = ApiStandin()
    yield created
    created.stop()


@pytest.fixture
def store() -> Iterator[StoreStandin]:
    created = StoreStandin()
    yield created
    created.stop()


def make_api(standin: ApiStandin) -> DutyApi:
    return DutyApi(address=standin.address, clock=LoopClock())


def make_link(store: StoreStandin) -> StoreLink:
    return StoreLink(address=store.address, clock=LoopClock())


def test_calls_have_the_platforms_form(standin: ApiStandin) -> None:
    """Guards against bodies and headers that the platform does not read."""
    api = make_api(standin)
    api.report_usage(REPORT, identity=IDENTITY, may_send=lambda _: True)
    for is_preemptible in (False, True):
        api.order_replicas(
            ServiceName("llm"),
            DataCentre("dc-1"),
            count=6,
            preemptible=is_preemptible,
            identity=IDENTITY,
            may_send=lambda _: True,
        )
    assert [(call.target, call.owner, call.token) for call in standin.calls] == [
        (target, "gw-1", (1 << 32) + 5) for target in ("/usage", "/scale", "/scale")
    ]
    order = {"service": "llm", "zone": "dc-1", "desired": 6}
    assert [call.content for call in standin.calls] == [
        {
            "window_id": 353445120,
            "counts": {"workspace-1": 412, "workspace-2": 7},
        },
        order,
        order | {"preemptible": True},
    ]


@pytest.mark.parametrize(
    ("status", "fault"),
    [
        (409, ApiFault.UNAVAILABLE),
        (429, ApiFault.LIMITED),
        (400, ApiFault.REFUSED),
        (503, ApiFault.REFUSED),
    ],
)
def test_statuses_become_faults(
    standin: ApiStandin, status: int, fault: ApiFault
) -> None:
    """Guards against a call that seems accepted although it was not."""
    standin.status = status
    with pytest.raises(ApiError) as raised:
        make_api(standin).report_usage(
            REPORT, identity=IDENTITY, may_send=lambda _: True
        )
    assert raised.value.fault is fault


def test_lost_response_and_unresponsive_api_are_unreachable(
    standin: ApiStandin, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a holder that hangs in a call."""
    monkeypatch.setattr(api_module, "TIMEOUT_SECONDS", 0.2)
    api = make_api(standin)
    standin.drops_responses = True
    with pytest.raises(ApiError) as raised:
        api.report_usage(REPORT, identity=IDENTITY, may_send=lambda _: True)
    assert raised.value.fault is ApiFault.UNREACHABLE
    standin.delay = 30.0
    with gevent.Timeout(5.0), pytest.raises(ApiError) as raised:
        api.report_usage(REPORT, identity=IDENTITY, may_send=lambda _: True)
    assert raised.value.fault is ApiFault.UNREACHABLE
    standin.stop()
    with pytest.raises(ApiError) as raised:
        api.report_usage(REPORT, identity=IDENTITY, may_send=lambda _: True)
    assert raised.value.fault is ApiFault.UNREACHABLE


def test_process_that_was_suspended_while_it_connected_sends_nothing(
    standin: ApiStandin, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a call after the lease that allowed it has ended."""
    clock = ManualClock()
    api = DutyApi(address=standin.address, clock=clock)
    acquire = api._connections.acquire

    def acquire_slowly(address: str) -> object:
        clock.advance(20.0)
        return acquire(address)

    monkeypatch.setattr(api._connections, "acquire", acquire_slowly)
    with pytest.raises(ApiError):
        api.report_usage(REPORT, identity=IDENTITY, may_send=lambda _: True)
    gevent.sleep(0.05)
    assert standin.calls == []


def test_holder_that_was_frozen_before_its_call_sends_nothing(
    standin: ApiStandin, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a freeze between the check of the lease and the call."""
    world = World(count=1)
    (gateway,) = world.gateways.values()
    api = DutyApi(address=standin.address, clock=world.clock)
    monkeypatch.setattr(gateway, "api", api)
    lease = gateway.duties.authority
    may_act_for = lease.may_act_for
    answers = []

    def freeze_after_permission(seconds: float) -> bool:
        answers.append(may_act_for(seconds))
        if answers.count(True) == 1 and answers[-1]:
            world.clock.advance(20.0)
        return answers[-1]

    monkeypatch.setattr(lease, "may_act_for", freeze_after_permission)
    while True not in answers:
        assert world.clock.now() < 1100.0
        world.run(0.05)
    gevent.sleep(0.05)
    assert standin.calls == []


def test_call_asks_for_permission_with_the_time_that_is_left(
    standin: ApiStandin, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a call that is sent after the token changed while it connected."""
    clock = ManualClock()
    api = DutyApi(address=standin.address, clock=clock)
    acquire = api._connections.acquire

    def acquire_slowly(address: str) -> object:
        clock.advance(0.5)
        return acquire(address)

    monkeypatch.setattr(api._connections, "acquire", acquire_slowly)
    asked = []

    def refuse(seconds: float) -> bool:
        asked.append(seconds)
        return False

    with pytest.raises(ApiError):
        api.report_usage(REPORT, identity=IDENTITY, may_send=refuse)
    gevent.sleep(0.05)
    assert asked == [pytest.approx(api.timeout_seconds - 0.5)]
    assert standin.calls == []


def test_rows_are_written_on_conditions(store: StoreStandin) -> None:
    """Guards against two gateways that both succeed in writing a row."""
    tables = make_link(store).tables
    absent = Condition(table="damasklead-duties", key="lease", version=ABSENT)
    write = Put(table="damasklead-duties", key="lease", value=b'{"a":1}')
    first = tables.commit(Commit(conditions=(absent,), writes=(write,)))
    assert isinstance(first, Ok) and isinstance(first.ok_value, Committed)
    assert tables.era == StoreEra(1)
    second = tables.commit(Commit(conditions=(absent,), writes=(write,)))
    assert isinstance(second, Ok) and isinstance(second.ok_value, Conflict)
    (row,) = second.ok_value.rows
    assert (row.value, row.version) == (b'{"a":1}', first.ok_value.version)
    read = tables.read("damasklead-duties", ("lease", "usage"))
    assert read.ok_value == (row,)
    condition = Condition(table="damasklead-duties", key="lease", version=row.version)
    removal = Delete(table="damasklead-duties", key="lease")
    tables.commit(Commit(conditions=(condition,), writes=(removal,)))
    assert tables.read("damasklead-duties", ("lease",)).ok_value == ()


def test_unavailable_store_leaves_the_effect_of_a_commit_unknown(
    store: StoreStandin,
) -> None:
    """Guards against a write that is taken for lost although it took effect."""
    tables = make_link(store).tables
    store.is_unavailable = True
    absent = Condition(table="damasklead-duties", key="lease", version=ABSENT)
    write = Put(table="damasklead-duties", key="lease", value=b"{}")
    commit = Commit(conditions=(absent,), writes=(write,))
    assert tables.commit(commit) == Err(StoreError.UNKNOWN)
    assert tables.read("damasklead-duties", ("lease",)) == Err(StoreError.UNAVAILABLE)
