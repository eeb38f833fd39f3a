"""
Case 3
======

A request for a stream crashes each replica that runs it, some events after it began,
and its caller sends it again, at any gateway.
"""

import asyncio
import os
from pathlib import Path

from standins import (
    BROKEN,
    HELD,
    NOT_RUN,
    Gateways,
    Record,
    Replica,
    Request,
    Store,
    is_troubled,
    make_chunk,
    make_configuration,
    make_route,
    request_once,
    run_case,
)

EVENT_COUNT = 12
EVENT_INTERVAL_SECONDS = 0.05
# Events after which the request crashes its replica.
EVENTS_BEFORE_CRASH = int(os.environ.get("EVENTS", "2"))
DOWN_SECONDS = 2.0
CRASHING_BODY = b"a prompt that crashes engines"
# The bounds of the site and of the rule.
STABLE_SECONDS = 3.0
CRASHES_BEFORE_BOUND = 3
MOST_RETRIES = 3
ATTEMPT_COUNT = 14
ATTEMPT_INTERVAL_SECONDS = 2.5


class Engines:
    """What the replicas have run."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.arrivals: list[float] = []
        self.crashes: list[float] = []
        self._restarts: set[asyncio.Task[None]] = set()

    async def serve(
        self,
        replica: Replica,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer with a stream; crash if the request crashes replicas."""
        body = await reader.readexactly(request.length)
        is_crashing = body == CRASHING_BODY
        if is_crashing:
            self.arrivals.append(self._record.now)
            self._record.write(f"{replica.name}: begins {request.attempt}")
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Attempt-Id: {request.attempt}\r\nResponse-Signature: s\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(1, EVENT_COUNT + 1):
            writer.write(make_chunk(f"id: {number}\ndata: x\n\n".encode()))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)
            if is_crashing and is_troubled() and number == EVENTS_BEFORE_CRASH:
                await self._crash(replica)
                return False
        writer.write(make_chunk(b""))
        await writer.drain()
        return True

    async def _crash(self, replica: Replica) -> None:
        self.crashes.append(self._record.now)
        self._record.write(f"{replica.name}: crashes")
        await replica.crash()
        restart = asyncio.create_task(replica.restart_after(DOWN_SECONDS))
        self._restarts.add(restart)


class Bystander:
    """A caller that sends sound requests all the while."""

    def __init__(self, name: str, address: str, record: Record) -> None:
        self._name = name
        self._address = address
        self._record = record
        self.cut_count = 0
        self.whole_count = 0

    async def run(self) -> None:
        """Send one request after the other."""
        number = 0
        while True:
            number += 1
            response = await request_once(
                self._address, method="POST", path=f"/chat/{self._name}-{number}",
                attempt=f"a-{self._name}-{number}", body=b"sound", deadline_ms=5000,
            )  # fmt: skip
            if response.is_whole and response.status == 200:
                self.whole_count += 1
            else:
                self.cut_count += 1
                events = response.body.count(b"data:")
                self._record.write(
                    f"{self._name}-{number}: status {response.status}, cut off "
                    f"after {events} events"
                )
            await asyncio.sleep(0.02)


async def case(record: Record) -> int:
    """Send the request again and again; count the replicas that it reaches."""
    store = Store()
    await store.start()
    engines = Engines(record)
    replicas = [
        Replica(name=f"i-{number}", store=store, handler=engines.serve)
        for number in range(1, 6)
    ]
    route = make_route(
        "chat", "/chat/", "streaming",
        timeout_ms=5000, slo_ms=250, itl_target_ms=150,
    )  # fmt: skip
    store.write("op", "config", make_configuration([route], engine=True))
    for replica in replicas:
        await replica.start()
    gateways = Gateways(store=store, count=2)
    try:
        for number in gateways.numbers:
            gateways.start(number)
        for number in gateways.numbers:
            if not await gateways.wait_until_ready(number):
                record.write("a gateway isn't ready")
                return NOT_RUN
        await asyncio.sleep(4.0)
        bystanders = [
            Bystander(f"sound{number}", gateways.get_address(number % 2), record)
            for number in range(6)
        ]
        tasks = [asyncio.create_task(item.run()) for item in bystanders]
        for number in range(ATTEMPT_COUNT):
            response = await request_once(
                gateways.get_address(number % 2), method="POST", path="/chat/crash",
                attempt=f"a-crash-{number}", body=CRASHING_BODY, deadline_ms=5000,
            )  # fmt: skip
            record.write(
                f"client: attempt {number}: status {response.status}, "
                f"whole {response.is_whole}"
            )
            await asyncio.sleep(ATTEMPT_INTERVAL_SECONDS)
        for task in tasks:
            task.cancel()
    finally:
        gateways.close()
    late_arrivals: list[float] = []
    if len(engines.crashes) >= CRASHES_BEFORE_BOUND:
        bound = engines.crashes[CRASHES_BEFORE_BOUND - 1] + STABLE_SECONDS
        late_arrivals = [at for at in engines.arrivals if at > bound]
    cut_count = sum(item.cut_count for item in bystanders)
    record.write(
        f"BUDGET: {len(engines.crashes)} crashes; {len(late_arrivals)} retries reached "
        f"replicas later than {STABLE_SECONDS} s after the third; "
        f"{cut_count} sound requests were cut off"
    )
    return BROKEN if len(late_arrivals) > MOST_RETRIES else HELD


run_case(case, Path(__file__).resolve().parent)
