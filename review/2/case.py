"""
Case 2
======

A replica in trouble answers one stream with bytes that are no events and never end.
Requests to another, sound replica of another service go on meanwhile.
"""

import asyncio
import contextlib
import time
from pathlib import Path

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
    run_case,
)

# Short lines with blank lines between them: 64 KB a piece.
PIECE = (b"x" * 6 + b"\n\n") * 8_192
# The link of the replica carries 1,000 Mbit/s.
LINK_BYTES_PER_SECOND = 125_000_000
STREAM_TIMEOUT_MS = 8_000
ORDER_TIMEOUT_MS = 1_500
# The rule allows half a second after the timeout of the route.
SLACK_SECONDS = 0.5
ORDER_COUNT = 40
ORDER_INTERVAL_SECONDS = 0.1


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


async def serve_stream(
    _replica: Replica,
    request: Request,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Answer a stream, in trouble with bytes that don't end until the caller closes."""
    await reader.readexactly(request.length)
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"Attempt-Id: {request.attempt}\r\nResponse-Signature: s\r\n"
        "Connection: close\r\n\r\n"
    )
    writer.write(head.encode())
    if not is_troubled():
        writer.write(b"id: 1\ndata: x\n\n")
        return False
    started_at, sent = time.monotonic(), 0
    while True:
        writer.write(PIECE)
        await writer.drain()
        sent += len(PIECE)
        ahead = sent / LINK_BYTES_PER_SECOND - (time.monotonic() - started_at)
        await asyncio.sleep(max(0.0, ahead))


async def take_stream(address: str, record: Record) -> None:
    """Read a stream to its end, or until it has taken as long as its deadline."""
    client = Client(address)
    await client.send(
        method="POST", path="/chat/1", attempt="a-chat", deadline_ms=STREAM_TIMEOUT_MS
    )
    record.write("client: POST /chat/1")
    assert client.reader is not None
    received = 0
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(STREAM_TIMEOUT_MS / 1000):
            while data := await client.reader.read(1_048_576):
                received += len(data)
    record.write(f"client: /chat/1 ended, {received} bytes")
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


async def case(record: Record) -> int:
    """Send orders while a stream gets bytes without end."""
    store = Store()
    await store.start()
    replicas = [
        Replica(name="i-1", store=store, handler=serve_order, service="shop"),
        Replica(name="i-2", store=store, handler=serve_stream, service="llm"),
    ]
    routes = [
        make_route(
            "chat", "/chat/", "streaming", service="llm",
            timeout_ms=STREAM_TIMEOUT_MS, slo_ms=250, itl_target_ms=150,
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
        await asyncio.sleep(4.0)
        address = gateways.get_address(0)
        orders = Orders(address, record)
        stream = asyncio.create_task(take_stream(address, record))
        await asyncio.sleep(0.2)
        tasks = []
        for number in range(ORDER_COUNT):
            tasks.append(asyncio.create_task(orders.send(number)))
            await asyncio.sleep(ORDER_INTERVAL_SECONDS)
        await asyncio.gather(*tasks)
        await stream
    finally:
        gateways.close()
    record.write(
        f"CONFIG: of {ORDER_COUNT} orders {orders.unanswered_at_timeout} had no answer "
        f"at their timeout, {orders.late_count} of these none half a second later"
    )
    if orders.late_count * 2 > orders.unanswered_at_timeout:
        return BROKEN
    return HELD


run_case(case, Path(__file__).resolve().parent)
