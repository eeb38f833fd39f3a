"""
Case 2
======

A replica answers a stream before it has read the long body, and reads the rest of the
body later, on the connection that it has kept.
"""

import asyncio
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
    make_chunk,
    make_configuration,
    make_response,
    make_route,
    request_once,
    run_case,
)

BODY = b"b" * 4_000_000
# What the replica reads of the body before it answers, and after its first event.
READ_BEFORE_ANSWER = 65_536
READ_AFTER_ANSWER = 524_288
PAUSE_BEFORE_READING_SECONDS = 0.2
# The replica reads no more of the body while it sends the events.
EVENT_COUNT = 20
EVENT_INTERVAL_SECONDS = 0.1
# The client's later requests.
LATER_REQUESTS = 8


class BodyCheck:
    """What the replica has read where the rest of the body was due."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.foreign_bytes = b""
        self.invalid_requests: list[str] = []
        self.is_rest_read = False

    async def serve(
        self,
        replica: Replica,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request; the body of a stream's request is read late."""
        self.record.write(f"replica: {request.method} {request.target[:60]!r}")
        if not request.target.startswith("/chat/"):
            if request.method == "INVALID" or not request.attempt:
                self.invalid_requests.append(request.target)
                return False
            body = await reader.readexactly(request.length)
            headers = {"Attempt-Id": request.attempt, "Response-Signature": "s"}
            writer.write(make_response(200, headers, body))
            await writer.drain()
            return True
        rest = request.length
        first = await reader.readexactly(READ_BEFORE_ANSWER if is_troubled() else rest)
        rest -= len(first)
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Attempt-Id: {request.attempt}\r\nResponse-Signature: s\r\n"
            "Keep-Alive: timeout=20\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        await writer.drain()
        if rest:
            await asyncio.sleep(PAUSE_BEFORE_READING_SECONDS)
            await reader.readexactly(READ_AFTER_ANSWER)
            rest -= READ_AFTER_ANSWER
        for number in range(1, EVENT_COUNT + 1):
            writer.write(make_chunk(f"id: {number}\ndata: x\n\n".encode()))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)
        writer.write(make_chunk(b""))
        await writer.drain()
        self.record.write(f"replica: stream ended, {rest} bytes of the body are due")
        await asyncio.sleep(0.1)
        await self._read_rest(reader, rest)
        return True

    async def _read_rest(self, reader: asyncio.StreamReader, rest: int) -> None:
        position = 0
        while position < rest:
            data = await reader.read(min(65_536, rest - position))
            if not data:
                self.record.write(f"replica: connection ended, {rest - position} due")
                return
            strange = data.replace(b"b", b"")
            if strange and not self.foreign_bytes:
                self.foreign_bytes = data.lstrip(b"b")[:160]
                self.record.write(
                    f"replica: other bytes, {rest - position} still due: "
                    f"{self.foreign_bytes!r}"
                )
            position += len(data)
        self.is_rest_read = True
        self.record.write("replica: the whole body is read")


async def case(record: Record) -> int:
    """Send a long request for a stream, then short requests."""
    store = Store()
    await store.start()
    check = BodyCheck(record)
    replica = Replica(
        name="i-1", store=store, handler=check.serve, receive_buffer=32_768
    )
    routes = [
        make_route(
            "chat", "/chat/", "streaming",
            timeout_ms=15_000, slo_ms=500, itl_target_ms=250,
            resumable=True, max_attempts=2,
        ),
        make_route("order", "/order/", "non_idempotent"),
    ]  # fmt: skip
    store.write("op", "config", make_configuration(routes))
    await replica.start()
    gateways = Gateways(store=store, count=1)
    try:
        gateways.start(0)
        if not await gateways.wait_until_ready(0):
            record.write("the gateway isn't ready")
            return NOT_RUN
        address = gateways.get_address(0)
        client = Client(address)
        record.write("client: POST /chat/1")
        await client.send(
            method="POST", path="/chat/1", attempt="a-chat", body=BODY,
            deadline_ms=15_000,
        )  # fmt: skip
        response = await client.receive(20.0)
        events = response.body.count(b"data:")
        record.write(
            f"client: status {response.status}, {events} events, "
            f"whole {response.is_whole}"
        )
        for number in range(LATER_REQUESTS):
            attempt = f"a-order-{number}"
            answer = await request_once(
                address, 3.0, method="POST", path=f"/order/{number}",
                attempt=attempt, body=b"order",
            )  # fmt: skip
            record.write(f"client: /order/{number}: status {answer.status}")
            await asyncio.sleep(0.05)
        await asyncio.sleep(3.0)
    finally:
        gateways.close()
    is_broken = bool(check.foreign_bytes or check.invalid_requests)
    record.write(
        f"UNASKED: other bytes in the body: {bool(check.foreign_bytes)}, "
        f"requests that nobody sent: {check.invalid_requests}"
    )
    return BROKEN if is_broken else HELD


run_case(case, Path(__file__).resolve().parent)
