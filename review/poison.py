"""
A request that crashes replicas
===============================

Replicas that crash when they run one certain request, callers of sound requests beside
it, and the count of the retries that reach replicas after the rule's bound.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from standins import (
    BROKEN,
    HELD,
    NOT_RUN,
    Gateways,
    Record,
    Replica,
    Request,
    Response,
    Store,
    is_troubled,
    make_chunk,
    make_configuration,
    make_route,
    request_once,
)

EVENT_COUNT = 12
EVENT_INTERVAL_SECONDS = 0.05
DOWN_SECONDS = 2.0
CRASHING_BODY = b"a request that crashes replicas"
BYSTANDER_COUNT = 6
BYSTANDER_INTERVAL_SECONDS = 0.02
# The bounds of the site and of the rule.
STABLE_SECONDS = 3.0
CRASHES_BEFORE_BOUND = 3
MOST_RETRIES = 3


class CrashingReplicas:
    """
    Replicas that answer with streams and crash when they run one certain request.

    Parameters
    ----------
    record : Record
    store : Store
    count : int
        Number of replicas.
    events_before_crash : int
        Events of its stream that are sent before the crash.
    must_crash : bool or None
        Whether the request crashes replicas; ``None`` for whether the case runs with
        its disruption.

    Attributes
    ----------
    arrivals, crashes : list of float
        When the request began at a replica and when it crashed one, in seconds of the
        record.
    """

    def __init__(
        self,
        *,
        record: Record,
        store: Store,
        count: int,
        events_before_crash: int = 0,
        must_crash: bool | None = None,
    ) -> None:
        self.arrivals: list[float] = []
        self.crashes: list[float] = []
        self._record = record
        self._events_before_crash = events_before_crash
        self._must_crash = is_troubled() if must_crash is None else must_crash
        self._restarts: set[asyncio.Task[None]] = set()
        self._replicas = [
            Replica(name=f"i-{number}", store=store, handler=self._serve)
            for number in range(1, count + 1)
        ]

    async def start(self) -> None:
        """Start all replicas."""
        for replica in self._replicas:
            await replica.start()

    async def _serve(
        self,
        replica: Replica,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        body = await reader.readexactly(request.length)
        is_crashing = body == CRASHING_BODY
        if is_crashing:
            self.arrivals.append(self._record.now)
            self._record.write(f"{replica.name}: begins {request.attempt}")
        must_crash = is_crashing and self._must_crash
        await self._send_stream(replica, writer, request.attempt, must_crash)
        return replica.is_up

    async def _send_stream(
        self,
        replica: Replica,
        writer: asyncio.StreamWriter,
        attempt: str,
        must_crash: bool,
    ) -> None:
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Attempt-Id: {attempt}\r\nResponse-Signature: s\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(EVENT_COUNT):
            if must_crash and number == self._events_before_crash:
                await self._crash(replica)
                return
            event = f"id: {number + 1}\ndata: x\n\n".encode()
            writer.write(make_chunk(event))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)
        writer.write(make_chunk(b""))
        await writer.drain()

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
            response = await send_request(
                self._address, f"{self._name}-{number}", b"sound"
            )
            if response.is_whole and response.status == 200:
                self.whole_count += 1
            elif response.status != 503:
                self.cut_count += 1
                self._record.write(
                    f"{self._name}-{number}: status {response.status}, not whole"
                )
            await asyncio.sleep(BYSTANDER_INTERVAL_SECONDS)


async def send_request(address: str, name: str, body: bytes) -> Response:
    """Send a request; return the response."""
    path = "/task/crash" if body == CRASHING_BODY else f"/task/{name}"
    return await request_once(
        address, method="POST", path=path, attempt=f"a-{name}", body=body,
        deadline_ms=5000,
    )  # fmt: skip


class CrashCase:
    """
    Gateways, crashing replicas and callers of one case.

    Parameters
    ----------
    record : Record
    route : dict
        What differs from the usual route.  It is one for streams.
    replicas : callable
        Makes the replicas.
    gateway_count : int

    Attributes
    ----------
    record : Record
    gateways : Gateways
    attempt_count : int
        Attempts at the crashing request so far.
    """

    def __init__(
        self,
        *,
        record: Record,
        route: dict[str, Any],
        replicas: Callable[[Store], CrashingReplicas],
        gateway_count: int = 2,
    ) -> None:
        self.record = record
        self._store = Store()
        self._route = make_route("task", "/task/", "streaming", **route)
        self._replicas = replicas(self._store)
        self._gateway_count = gateway_count
        self.attempt_count = 0

    async def run(self, scenario: Callable[["CrashCase"], Awaitable[None]]) -> int:
        """Play a scenario beside sound requests; return the exit code."""
        await self._store.start()
        configuration = make_configuration([self._route], engine=True)
        self._store.write("op", "config", configuration)
        await self._replicas.start()
        self.gateways = Gateways(store=self._store, count=self._gateway_count)
        try:
            if not await self.start_gateways():
                return NOT_RUN
            bystanders = [
                Bystander(f"sound{number}", self._get_address(number), self.record)
                for number in range(BYSTANDER_COUNT)
            ]
            tasks = [asyncio.create_task(item.run()) for item in bystanders]
            await scenario(self)
            for task in tasks:
                task.cancel()
        finally:
            self.gateways.close()
        return self._judge(sum(item.cut_count for item in bystanders))

    async def start_gateways(self) -> bool:
        """Start all gateways; return whether they are in touch."""
        for number in self.gateways.numbers:
            self.gateways.start(number)
        for number in self.gateways.numbers:
            if not await self.gateways.wait_until_ready(number):
                self.record.write("a gateway isn't ready")
                return False
        await asyncio.sleep(STABLE_SECONDS + 0.5)
        self.record.write("all gateways are in touch")
        return True

    async def send_crashing(self) -> None:
        """Send the crashing request once, at the next gateway."""
        number = self.attempt_count
        self.attempt_count += 1
        response = await send_request(
            self._get_address(number), f"crash-{number}", CRASHING_BODY
        )
        self.record.write(
            f"client: attempt {number}: status {response.status}, "
            f"whole {response.is_whole}"
        )

    def _get_address(self, number: int) -> str:
        return self.gateways.get_address(number % self._gateway_count)

    def _judge(self, cut_count: int) -> int:
        crashes, late_count = self._replicas.crashes, 0
        if len(crashes) >= CRASHES_BEFORE_BOUND:
            bound = crashes[CRASHES_BEFORE_BOUND - 1] + STABLE_SECONDS
            late_count = sum(at > bound for at in self._replicas.arrivals)
        self.record.write(
            f"BUDGET: {len(crashes)} crashes; {late_count} retries reached replicas "
            f"later than {STABLE_SECONDS} s after the third; "
            f"{cut_count} sound requests had no whole answer"
        )
        return BROKEN if late_count > MOST_RETRIES else HELD
