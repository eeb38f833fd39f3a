"""
Stall of a gateway
==================

One replica answers one request with bytes that never end, while orders go to a sound
replica of another service.  Measures how late the orders are answered.
"""

import asyncio
import contextlib
import time

from standins import (
    BROKEN,
    HELD,
    NOT_RUN,
    Client,
    Gateways,
    Record,
    Replica,
    Request,
    Store,
    is_troubled,
    make_configuration,
    make_response,
    make_route,
    request_once,
)

# A tenth of what the link of a machine of the site carries (1,000 Mbit/s).
MAX_BYTES_PER_SECOND = 12_500_000
# The time that the caller of the endless answer gives, and its route.
ENDLESS_TIMEOUT_MS = 8_000
ORDER_TIMEOUT_MS = 1_500
# The rule allows half a second after the timeout of the route.
SLACK_SECONDS = 0.5
ORDER_COUNT = 40
ORDER_INTERVAL_SECONDS = 0.1
PROBE_SECONDS = 2.0


async def serve_order(
    _replica: Replica,
    request: Request,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Answer an order."""
    body = await reader.readexactly(request.length)
    headers = {"Attempt-Id": request.attempt, "Response-Signature": "s"}
    writer.write(make_response(200, headers, body))
    await writer.drain()
    return True


class EndlessReplica:
    """
    Answers with bytes that don't end until the caller closes.

    Parameters
    ----------
    head : str
        The headers of the answer that frame its body.
    piece : bytes
        What is sent again and again.
    sound_body : bytes
        The whole body, as framed, of an answer without trouble.
    """

    def __init__(self, *, head: str, piece: bytes, sound_body: bytes) -> None:
        self._head = head
        self._piece = piece
        self._sound_body = sound_body

    async def serve(
        self,
        _replica: Replica,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request."""
        await reader.readexactly(request.length)
        head = (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {request.attempt}\r\n"
            f"Response-Signature: s\r\n{self._head}\r\n"
        )
        writer.write(head.encode())
        if not is_troubled():
            writer.write(self._sound_body)
            await writer.drain()
            return False
        started_at, sent = time.monotonic(), 0
        while True:
            writer.write(self._piece)
            await writer.drain()
            sent += len(self._piece)
            ahead = sent / MAX_BYTES_PER_SECOND - (time.monotonic() - started_at)
            await asyncio.sleep(max(0.0, ahead))


async def take_endless(address: str, record: Record) -> None:
    """Read the endless answer until its end or its deadline."""
    client = Client(address)
    await client.send(
        method="GET", path="/endless/1", attempt="a-endless",
        deadline_ms=ENDLESS_TIMEOUT_MS,
    )  # fmt: skip
    record.write("client: GET /endless/1")
    assert client.reader is not None
    received = 0
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(ENDLESS_TIMEOUT_MS / 1000):
            while data := await client.reader.read(1_048_576):
                received += len(data)
    record.write(f"client: /endless/1 ended or given up, {received} bytes")
    client.close()


class Orders:
    """The orders that are sent meanwhile, and how many were answered too late."""

    def __init__(self, address: str, record: Record) -> None:
        self._address = address
        self._record = record
        self.late_count = 0
        self.unanswered_at_timeout = 0

    async def send(self, number: int) -> None:
        """Send one order, and wait for its answer longer than the rule allows."""
        started_at = time.monotonic()
        response = await request_once(
            self._address, 7.0, method="POST", path=f"/order/{number}",
            attempt=f"a-order-{number}", body=b"order", deadline_ms=ORDER_TIMEOUT_MS,
        )  # fmt: skip
        seconds = time.monotonic() - started_at
        self._record.write(
            f"client: /order/{number}: status {response.status} after {seconds:.2f} s"
        )
        self.unanswered_at_timeout += seconds > ORDER_TIMEOUT_MS / 1000
        self.late_count += seconds > ORDER_TIMEOUT_MS / 1000 + SLACK_SECONDS


async def run_stall(record: Record, *, kind: str, endless: EndlessReplica) -> int:
    """Send orders while a request of a route's kind gets bytes without end."""
    store = Store()
    await store.start()
    replicas = [
        Replica(name="i-1", store=store, handler=serve_order, service="shop"),
        Replica(name="i-2", store=store, handler=endless.serve, service="other"),
    ]
    gap = {"itl_target_ms": 150} if kind == "streaming" else {}
    routes = [
        make_route(
            "endless", "/endless/", kind, service="other",
            timeout_ms=ENDLESS_TIMEOUT_MS, slo_ms=250, **gap,
        ),
        make_route(
            "order", "/order/", "non_idempotent", timeout_ms=ORDER_TIMEOUT_MS
        ),
    ]  # fmt: skip
    store.write("op", "config", make_configuration(routes))
    for replica in replicas:
        await replica.start()
    gateways = Gateways(store=store, count=1)
    try:
        gateways.start(0)
        if not await gateways.wait_until_ready(0):
            record.write("the gateway isn't ready")
            return NOT_RUN
        # The gateway is in touch after 3 s.
        await asyncio.sleep(4.0)
        address = gateways.get_address(0)
        orders = Orders(address, record)
        stream = asyncio.create_task(take_endless(address, record))
        await asyncio.sleep(0.2)
        tasks = []
        for number in range(ORDER_COUNT):
            tasks.append(asyncio.create_task(orders.send(number)))
            await asyncio.sleep(ORDER_INTERVAL_SECONDS)
        is_ready = await gateways.wait_until_ready(0, PROBE_SECONDS)
        record.write(f"readiness probe while the answer goes on: {is_ready}")
        await asyncio.gather(*tasks)
        await stream
        is_ready = await gateways.wait_until_ready(0, PROBE_SECONDS)
        record.write(
            f"readiness probe after the caller has left: {is_ready}; "
            f"memory {gateways.get_memory_mb(0)} MB"
        )
    finally:
        gateways.close()
    record.write(
        f"CONFIG: of {ORDER_COUNT} orders {orders.unanswered_at_timeout} had no answer "
        f"at their timeout, {orders.late_count} of these none half a second later"
    )
    if orders.late_count * 2 > orders.unanswered_at_timeout:
        return BROKEN
    return HELD
