"""
Demonstration
=============

Runs the whole path in one process with a few faults, and judges it by what callers and
stand-ins saw.
"""

import sys
from collections.abc import Callable

import gevent
import msgspec

from damasklead.daemon import EntryService
from damasklead.demo.local import (
    KEYS,
    configuration_files,
    free_address,
    local_record,
    settings_text,
)
from damasklead.demo.traffic import Caller, Received, Verdict
from damasklead.findings import Findings
from damasklead.ids import AttemptId
from damasklead.loop import LoopClock
from damasklead.manifest import Publication, PublishSucceeded, publish
from damasklead.protocol import run as run_protocol
from damasklead.settings import check_settings
from damasklead.standins import EngineStandin, PlainStandin
from damasklead.stores.memory import Faults, make_memory_platform
from damasklead.util import new_id

__all__ = ["Demonstration", "run_demo"]

TARGETS = {  # seconds to the first byte, or to the last
    "dispatch-query": (0.34, None),
    "folder-guidance": (0.34, None),
    "quotation": (None, 10.0),
    "overnight-review": (None, 60.0),
    "ice-order": (None, 2.0),
    "stock-check": (None, 1.0),
}
MODEL = "demo-7b"
CRASH_AFTER_TOKENS = 300
SLOTS = 64


class Row(msgspec.Struct, kw_only=True):
    """One line of the table."""

    name: str
    sent: int = 0
    whole: int = 0
    on_time: int = 0
    not_run: int = 0
    unknown: int = 0
    doubled: int = 0
    lost: int = 0
    wrong: int = 0


class Demonstration:
    """The stand-ins, the entry and the callers of one run."""

    def __init__(self) -> None:
        self._clock = LoopClock()
        self._faults = Faults()
        self._platform = make_memory_platform(faults=self._faults)
        self._engines = [self._engine(number) for number in (1, 2)]
        self._shop = PlainStandin(
            record=local_record("shop-1", "demo-app"), platform=self._platform
        )
        self._address = free_address()
        self._service = self._entry()
        self._callers = {
            name: Caller(addresses=[self._address], key=key, now=self._clock.now)
            for name, key in KEYS.items()
        }
        self._received: list[Received] = []
        self._references: list[str] = []

    def run(self) -> bool:
        """Run it all and print the table; returns whether the promises held."""
        for standin in (*self._engines, self._shop):
            standin.start()
        self._publish()
        self._service.start()
        self._wait_until_ready()
        self._send_traffic()
        self._service.stop()
        return self._report()

    def _engine(self, number: int) -> EngineStandin:
        record = local_record(f"engine-{number}", "demo-llm")
        return EngineStandin(record=record, platform=self._platform, slots=SLOTS)

    def _entry(self) -> EntryService:
        listen = {
            "callers": self._address,
            "operators": free_address(),
            "peers": free_address(),
        }
        text = settings_text("entry-1", listen, {"kind": "memory"})
        findings = Findings()
        settings = check_settings(text, file="demo", findings=findings)
        assert settings is not None, list(findings)
        return EntryService(settings=settings, platform=self._platform)

    def _publish(self) -> None:
        """Publish the configuration, with the answer of the commit lost on the way."""
        self._faults.lose_answers = 1
        publication = Publication(
            id=AttemptId(new_id()),
            who="demo",
            files=configuration_files(),
            at=self._clock.get_unix_time(),
        )
        result = run_protocol(publish(publication), self._platform)
        assert isinstance(result, PublishSucceeded), result

    def _wait_until_ready(self) -> None:
        for _ in range(200):
            pools = self._service.entry.pools.values()
            if pools and all(pool.dispatcher.share.has_grant for pool in pools):
                return
            self._clock.sleep(0.05)
        raise RuntimeError("the entry did not become ready within 10 s")

    def _send_traffic(self) -> None:
        greenlets = []
        greenlets += self._spawn(
            24, self._ask("planning", "overnight-review", 200, stream=True)
        )
        greenlets += self._spawn(
            10, self._ask("processors", "quotation", 60, stream=False)
        )
        self._clock.sleep(0.3)
        self._engines[0].crash_after_tokens = CRASH_AFTER_TOKENS
        greenlets += self._spawn(
            30, self._ask("skippers", "dispatch-query", 40, stream=True)
        )
        greenlets += self._spawn(
            20, self._ask("gumming-line", "folder-guidance", 60, stream=True)
        )
        greenlets += self._spawn(20, self._check_stock)
        greenlets += self._spawn(10, self._order)
        self._clock.sleep(0.2)
        self._faults.lose_answers = 1
        greenlets += self._spawn(10, self._order)
        greenlets.append(gevent.spawn(self._order_twice))
        self._clock.sleep(1.5)
        if not self._engines[0].is_running:
            self._engines[0].restart()
        gevent.joinall(greenlets, timeout=45)

    def _spawn(self, count: int, call: Callable[[int], None]) -> list[gevent.Greenlet]:
        return [gevent.spawn_later(0.01 * index, call, index) for index in range(count)]

    def _ask(
        self, workspace: str, name: str, tokens: int, *, stream: bool
    ) -> Callable[[int], None]:
        def ask(index: int) -> None:
            prompt = f"{name} number {index}"
            received = self._callers[workspace].complete(
                name, prompt, tokens=tokens, stream=stream, model=MODEL
            )
            self._received.append(received)

        return ask

    def _check_stock(self, index: int) -> None:
        path = f"/services/demo-app/stock/kraft-{index}"
        self._received.append(
            self._callers["planning"].send("stock-check", "GET", path)
        )

    def _order(self, index: int) -> None:
        reference = new_id()
        self._references.append(reference)
        self._received.append(self._send_order(reference))

    def _order_twice(self) -> None:
        reference = new_id()
        self._references.append(reference)
        for _ in range(2):
            self._received.append(self._send_order(reference))

    def _send_order(self, reference: str) -> Received:
        body = msgspec.json.encode({"reference": reference, "tonnes": 4})
        path = "/services/demo-app/orders"
        return self._callers["skippers"].send(
            "ice-order", "POST", path, body=body, key=reference
        )

    def _report(self) -> bool:
        rows = {name: Row(name=name) for name in TARGETS}
        for received in self._received:
            _count(rows[received.name], received)
        order = rows["ice-order"]
        order.doubled = sum(
            1 for item in self._references if self._shop.executed_orders.count(item) > 1
        )
        _print_table(list(rows.values()))
        held = all(row.lost == row.wrong == row.doubled == 0 for row in rows.values())
        held = held and all(row.whole == row.sent for row in rows.values())
        crashed = sum(engine.crash_count for engine in self._engines)
        print(
            f"engine crashes: {crashed}; orders run: {len(self._shop.executed_orders)}",
            end="; ",
        )
        print(f"distinct orders: {len(self._references)}")
        print("the promises held" if held and crashed else "A PROMISE WAS BROKEN")
        return held and crashed > 0


def run_demo() -> int:
    """Run the demonstration; returns the exit code."""
    sys.stdout.flush()
    return 0 if Demonstration().run() else 1


def _count(row: Row, received: Received) -> None:
    row.sent += 1
    first_target, last_target = TARGETS[row.name]
    if received.verdict is Verdict.WHOLE:
        row.whole += 1
        in_first = first_target is None or received.first <= first_target
        in_last = last_target is None or received.last <= last_target
        row.on_time += in_first and in_last
    elif received.verdict is Verdict.NOT_RUN:
        row.not_run += 1
    elif received.verdict is Verdict.UNKNOWN:
        row.unknown += 1
    elif received.verdict is Verdict.WRONG:
        row.wrong += 1
    else:
        row.lost += 1


def _print_table(rows: list[Row]) -> None:
    heads = (
        "sent",
        "whole",
        "attainment %",
        "not run",
        "unknown",
        "doubled",
        "lost",
        "wrong",
    )
    print(f"{'class':18}" + "".join(f"{head:>14}" for head in heads))
    for row in rows:
        attainment = 100.0 * row.on_time / max(1, row.sent)
        numbers = (row.not_run, row.unknown, row.doubled, row.lost, row.wrong)
        cells = [f"{row.sent:>14}", f"{row.whole:>14}", f"{attainment:>14.1f}"]
        cells.extend(f"{number:>14}" for number in numbers)
        print(f"{row.name:18}" + "".join(cells))
