"""
Demonstration
=============

Runs an entry, stand-ins and callers in one process, injects faults, and checks the
guarantees by the responses that callers got and the requests that stand-ins executed.
"""

import sys
from collections.abc import Callable

import gevent
import msgspec

from damasklead.daemon import EntryService
from damasklead.demo.local import (
    WORKSPACE_KEYS,
    find_free_address,
    make_configuration_files,
    make_local_record,
    make_settings_text,
)
from damasklead.demo.traffic import Caller, ReceivedResponse, Verdict
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

# Seconds to the first and to the last byte by class; None for no target.
CLASS_TARGETS = {
    "dispatch-query": (0.34, None),
    "folder-guidance": (0.34, None),
    "quotation": (None, 10.0),
    "overnight-review": (None, 60.0),
    "ice-order": (None, 2.0),
    "stock-check": (None, 1.0),
}
MODEL = "demo-7b"
CRASH_AFTER_TOKENS = 300
ENGINE_SLOTS = 64


class ClassResults(msgspec.Struct, kw_only=True):
    """
    Results of one request class, a row of the table.

    Attributes
    ----------
    request_class : str
        Name of the class.
    sent_count : int
        Requests sent.
    complete_count : int
        Requests with a complete and correct response.
    on_time_count : int
        Complete responses within the targets of the class.
    not_run_count, unknown_count : int
        Requests reported as not executed, and requests with any other outcome.
    duplicate_count : int
        Orders that were executed more than once.
    lost_count : int
        Requests whose connection failed before the end of the response.
    wrong_count : int
        Completions whose text is wrong or incomplete.
    """

    request_class: str
    sent_count: int = 0
    complete_count: int = 0
    on_time_count: int = 0
    not_run_count: int = 0
    unknown_count: int = 0
    duplicate_count: int = 0
    lost_count: int = 0
    wrong_count: int = 0


class Demonstration:
    """One run of the demonstration with its stand-ins, entry and callers."""

    def __init__(self) -> None:
        self._clock = LoopClock()
        self._faults = Faults()
        self._platform = make_memory_platform(faults=self._faults)
        self._engines = [self._make_engine(number) for number in (1, 2)]
        self._plain_service = PlainStandin(
            record=make_local_record("shop-1", "demo-app"), platform=self._platform
        )
        self._address = find_free_address()
        self._entry_service = self._make_entry_service()
        self._callers = {
            name: Caller(addresses=[self._address], key=key, now=self._clock.now)
            for name, key in WORKSPACE_KEYS.items()
        }
        self._responses: list[ReceivedResponse] = []
        self._order_references: list[str] = []

    def run(self) -> bool:
        """Run and print the results; returns whether all guarantees held."""
        for standin in (*self._engines, self._plain_service):
            standin.start()
        self._publish_configuration()
        self._entry_service.start()
        self._wait_until_ready()
        self._send_traffic()
        self._entry_service.stop()
        return self._report_results()

    def _make_engine(self, number: int) -> EngineStandin:
        record = make_local_record(f"engine-{number}", "demo-llm")
        return EngineStandin(record=record, platform=self._platform, slots=ENGINE_SLOTS)

    def _make_entry_service(self) -> EntryService:
        listen = {
            "callers": self._address,
            "operators": find_free_address(),
            "peers": find_free_address(),
        }
        text = make_settings_text("entry-1", listen, {"kind": "memory"})
        findings = Findings()
        settings = check_settings(text, file="demo", findings=findings)
        assert settings is not None, list(findings)
        return EntryService(settings=settings, platform=self._platform)

    def _publish_configuration(self) -> None:
        """Publish the configuration while the platform loses the commit's response."""
        self._faults.lose_answers = 1
        publication = Publication(
            id=AttemptId(new_id()),
            who="demo",
            files=make_configuration_files(),
            at=self._clock.get_unix_time(),
        )
        result = run_protocol(publish(publication), self._platform)
        assert isinstance(result, PublishSucceeded), result

    def _wait_until_ready(self) -> None:
        for _ in range(200):
            pools = self._entry_service.entry.pools.values()
            if pools and all(pool.dispatcher.share.has_grant for pool in pools):
                return
            self._clock.sleep(0.05)
        raise RuntimeError("the entry did not become ready within 10 s")

    def _send_traffic(self) -> None:
        greenlets = []
        greenlets += self._spawn_senders(
            24,
            self._make_completion_sender(
                "planning", "overnight-review", 200, stream=True
            ),
        )
        greenlets += self._spawn_senders(
            10,
            self._make_completion_sender("processors", "quotation", 60, stream=False),
        )
        self._clock.sleep(0.3)
        self._engines[0].crash_after_tokens = CRASH_AFTER_TOKENS
        greenlets += self._spawn_senders(
            30,
            self._make_completion_sender("skippers", "dispatch-query", 40, stream=True),
        )
        greenlets += self._spawn_senders(
            20,
            self._make_completion_sender(
                "gumming-line", "folder-guidance", 60, stream=True
            ),
        )
        greenlets += self._spawn_senders(20, self._query_stock)
        greenlets += self._spawn_senders(10, self._send_new_order)
        self._clock.sleep(0.2)
        self._faults.lose_answers = 1
        greenlets += self._spawn_senders(10, self._send_new_order)
        greenlets.append(gevent.spawn(self._send_duplicate_order))
        self._clock.sleep(1.5)
        if not self._engines[0].is_running:
            self._engines[0].restart()
        gevent.joinall(greenlets, timeout=45)

    def _spawn_senders(
        self, count: int, send: Callable[[int], None]
    ) -> list[gevent.Greenlet]:
        return [gevent.spawn_later(0.01 * index, send, index) for index in range(count)]

    def _make_completion_sender(
        self, workspace: str, request_class: str, max_tokens: int, *, stream: bool
    ) -> Callable[[int], None]:
        def send_completion(index: int) -> None:
            prompt = f"{request_class} number {index}"
            received = self._callers[workspace].send_completion(
                request_class, prompt, max_tokens=max_tokens, stream=stream, model=MODEL
            )
            self._responses.append(received)

        return send_completion

    def _query_stock(self, index: int) -> None:
        path = f"/services/demo-app/stock/kraft-{index}"
        self._responses.append(
            self._callers["planning"].perform_request("stock-check", "GET", path)
        )

    def _send_new_order(self, index: int) -> None:
        reference = new_id()
        self._order_references.append(reference)
        self._responses.append(self._send_order(reference))

    def _send_duplicate_order(self) -> None:
        reference = new_id()
        self._order_references.append(reference)
        for _ in range(2):
            self._responses.append(self._send_order(reference))

    def _send_order(self, reference: str) -> ReceivedResponse:
        body = msgspec.json.encode({"reference": reference, "tonnes": 4})
        path = "/services/demo-app/orders"
        return self._callers["skippers"].perform_request(
            "ice-order", "POST", path, body=body, idempotency_key=reference
        )

    def _report_results(self) -> bool:
        rows = {name: ClassResults(request_class=name) for name in CLASS_TARGETS}
        for received in self._responses:
            _count_response(rows[received.request_class], received)
        order_row = rows["ice-order"]
        order_row.duplicate_count = sum(
            1
            for item in self._order_references
            if self._plain_service.executed_orders.count(item) > 1
        )
        _print_table(list(rows.values()))
        held = all(
            row.lost_count == row.wrong_count == row.duplicate_count == 0
            for row in rows.values()
        )
        held = held and all(
            row.complete_count == row.sent_count for row in rows.values()
        )
        crashed = sum(engine.crash_count for engine in self._engines)
        print(
            f"engine crashes: {crashed}; "
            f"orders executed: {len(self._plain_service.executed_orders)}",
            end="; ",
        )
        print(f"distinct orders: {len(self._order_references)}")
        print("all guarantees held" if held and crashed else "A GUARANTEE WAS VIOLATED")
        return held and crashed > 0


def run_demo() -> int:
    """Run the demonstration; returns the exit code."""
    sys.stdout.flush()
    return 0 if Demonstration().run() else 1


def _count_response(row: ClassResults, received: ReceivedResponse) -> None:
    row.sent_count += 1
    first_target, last_target = CLASS_TARGETS[row.request_class]
    if received.verdict is Verdict.COMPLETE:
        row.complete_count += 1
        first_byte_in_time = (
            first_target is None or received.first_byte_seconds <= first_target
        )
        last_byte_in_time = (
            last_target is None or received.last_byte_seconds <= last_target
        )
        row.on_time_count += first_byte_in_time and last_byte_in_time
    elif received.verdict is Verdict.NOT_RUN:
        row.not_run_count += 1
    elif received.verdict is Verdict.UNKNOWN:
        row.unknown_count += 1
    elif received.verdict is Verdict.WRONG:
        row.wrong_count += 1
    else:
        row.lost_count += 1


def _print_table(rows: list[ClassResults]) -> None:
    column_names = (
        "sent",
        "whole",
        "attainment %",
        "not run",
        "unknown",
        "doubled",
        "lost",
        "wrong",
    )
    print(f"{'class':18}" + "".join(f"{column:>14}" for column in column_names))
    for row in rows:
        attainment = 100.0 * row.on_time_count / max(1, row.sent_count)
        failure_counts = (
            row.not_run_count,
            row.unknown_count,
            row.duplicate_count,
            row.lost_count,
            row.wrong_count,
        )
        cells = [
            f"{row.sent_count:>14}",
            f"{row.complete_count:>14}",
            f"{attainment:>14.1f}",
        ]
        cells.extend(f"{number:>14}" for number in failure_counts)
        print(f"{row.request_class:18}" + "".join(cells))
