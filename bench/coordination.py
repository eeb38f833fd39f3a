"""
Cost of coordination
====================

Measures the sizes of the messages between gateways, and the processor time that one
request takes at its coordinator, by the number of engines and of queued requests.

Run with ``python -m bench.coordination``.
"""

import time
from collections.abc import Iterator

import msgspec

from damasklead.clock import ManualClock
from damasklead.gateway.calls import (
    Call,
    CallHead,
    LoadHint,
    PromptPart,
    UpstreamRecord,
    UpstreamState,
)
from damasklead.gateway.coordination.assignment_client import make_assignment_request
from damasklead.gateway.coordination.cells import Cell, partition_engines
from damasklead.gateway.coordination.coordinator import Coordinator
from damasklead.gateway.coordination.messages import (
    Grant,
    PrefillDone,
    RequestEnded,
    RequestQueued,
    RunningRequests,
)
from damasklead.gateway.directory import ListedRow
from damasklead.gateway.messages import Broadcast
from damasklead.gateway.poll_schedule import ListReport
from damasklead.gateway.routing import (
    EngineSpec,
    Route,
    RouteKind,
    RouteName,
    ServiceSpec,
)
from damasklead.gateway.store_positions import Position
from damasklead.ids import AttemptId, DataCentre, InstanceId, ServiceName
from damasklead.rate_limits import RateLimits

SERVICE = ServiceName("engines")
DATA_CENTRE_COUNT = 5
REQUEST_COUNT = 400
SERVICE_SPEC = ServiceSpec(
    name=SERVICE,
    max_connections=1000,
    engine=EngineSpec(slots=16, memory_tokens=250_000, tokens_per_event=4),
)
ROUTE = Route(
    name=RouteName("review"), host="h", prefix="/review/", kind=RouteKind.STREAM,
    timeout=5.0, target=1.5, tier=2, event_gap=0.6, split=((SERVICE, 1.0),),
)  # fmt: skip


def make_records(count: int) -> list[UpstreamRecord]:
    """Return the records of engines in several data centres."""
    return [
        UpstreamRecord(
            instance=InstanceId(f"i-{number:010x}"),
            service=SERVICE,
            address=f"10.{number % DATA_CENTRE_COUNT}.64.{number % 250}:8364",
            data_centre=DataCentre(f"centre-{number % DATA_CENTRE_COUNT}"),
            state=UpstreamState.LIVE,
            incarnation=1_783_222_000_000,
        )
        for number in range(count)
    ]


def make_call(number: int, prefix_count: int) -> Call:
    """Return a request whose prompt starts with parts that other requests share."""
    parts = (
        PromptPart("0d1e07a2", 2520),
        PromptPart(f"{number % prefix_count:08x}", 3780),
        PromptPart(f"{number:08x}", 2890),
    )
    head = CallHead(
        method="POST", target="/", host="h", attempt=AttemptId(f"{number:016x}"),
        caller_timeout=5.0, key=None, prompt=parts, prompt_tokens=9190,
    )  # fmt: skip
    return Call(
        head=head, route=ROUTE, service=SERVICE, workspace=None, arrival=0.0,
        deadline=5.0, caller_deadline=5.0, tier=2,
    )  # fmt: skip


def measure_message_sizes() -> Iterator[tuple[str, int]]:
    """Yield the encoded size of each kind of message in bytes."""
    cell = Cell(SERVICE, DataCentre("centre-1"), 1)
    call = make_call(1, 10)
    name, instance = "edge-centre-1-17", InstanceId("i-7f3a91c2d4")
    assignment_request = make_assignment_request(
        name, call, cell, now=0.1, excluded=(), is_first_attempt=True
    )
    row = ListedRow(
        instance=instance, position=Position(version=123_456), record=make_records(1)[0]
    )
    reports = [ListReport(Position(version=123_456), 120)] * 2
    base, cursor = Position(version=123_450), Position(version=123_456)
    messages = {
        "ask": assignment_request,
        "held": RequestQueued(call.id),
        "grant": Grant(call.id, instance, "10.1.64.25:8364", 0.2),
        "read": PrefillDone(name, cell, call.id, LoadHint(12, 0, 16)),
        "ended": RequestEnded(name, cell, call.id, "whole"),
        "running, 4": RunningRequests(name, cell, ((call.id, instance, 9190),) * 4),
        "broadcast": Broadcast(
            name, 1_783_222_000_000, 999, reports, base, cursor, [], b"", [], []
        ),
        "broadcast, 10 rows": Broadcast(
            name, 1_783_222_000_000, 999, reports, base, cursor, [row] * 10, b"", [], []
        ),
    }
    for kind, message in messages.items():
        yield kind, len(msgspec.msgpack.encode(message))


def measure_request_seconds(engine_count: int, queue_length: int) -> float:
    """Return the processor time in seconds of one request at its coordinator."""
    clock = ManualClock(start=100.0)
    cell, records = next(iter(partition_engines(make_records(engine_count)).items()))
    coordinator = Coordinator(
        cell=cell,
        clock=clock,
        service=SERVICE_SPEC,
        routes=[ROUTE],
        rate_limits=RateLimits(clock=clock, instance=InstanceId("g")),
        is_in_charge=lambda: True,
    )
    coordinator.set_engines(records)
    for number in range(queue_length + 2 * len(records)):
        call = make_call(10_000 + number, 200)
        coordinator.handle_assignment_request(
            make_assignment_request(
                "g", call, cell, now=0.0, excluded=(), is_first_attempt=True
            )
        )
    start = time.process_time()
    for number in range(REQUEST_COUNT):
        call = make_call(number, 200)
        clock.advance(0.001)
        coordinator.handle_assignment_request(
            make_assignment_request(
                "g", call, cell, now=0.0, excluded=(), is_first_attempt=False
            )
        )
        coordinator.handle_prefill_done(
            PrefillDone("g", cell, call.id, LoadHint(1, 0, 16))
        )
        coordinator.handle_request_ended(RequestEnded("g", cell, call.id, "whole"))
        if number % 10 == 0:
            coordinator.process_queue()
    return (time.process_time() - start) / REQUEST_COUNT


def main() -> None:
    """Print message sizes and processor times."""
    print("bytes of a message")
    for kind, size in measure_message_sizes():
        print(f"  {kind:20} {size:6}")
    print("processor time of a request at its coordinator, in us")
    print("  engines   cells  of cell   none waits   100 wait")
    for engine_count in (8, 78, 300, 1100):
        cells = partition_engines(make_records(engine_count))
        without_queue, with_queue = (
            measure_request_seconds(engine_count, count) for count in (0, 100)
        )
        size = len(next(iter(cells.values())))
        print(
            f"  {engine_count:7} {len(cells):7} {size:8} {without_queue * 1e6:12.0f}"
            f" {with_queue * 1e6:10.0f}"
        )


if __name__ == "__main__":
    main()
