"""
Tests of the platform adapter
=============================

Headers, documents, the store's client and the gateway's settings file.
"""

import base64
import json
import re
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from gevent import socket
from gevent.server import StreamServer

from damasklead.clock import ManualClock
from damasklead.cmdline import main
from damasklead.findings import Findings
from damasklead.gateway.calls import (
    Call,
    ResponseKind,
    UpstreamRecord,
    UpstreamState,
)
from damasklead.gateway.dialect import (
    FeedError,
    FeedFault,
    PeerEntry,
    RequestHeadError,
    SendPlan,
)
from damasklead.gateway.routing import RouteKind, Workspace
from damasklead.gateway.settings import check_gateway_settings
from damasklead.ids import AttemptId, InstanceId, ServiceName, WorkspaceId
from damasklead.loop import LoopClock
from damasklead.platform import store as store_module
from damasklead.platform.documents import decode_configuration, decode_upstream
from damasklead.platform.headers import PlatformDialect
from damasklead.platform.store import MAX_STALE_SECONDS, StoreLink
from damasklead.turns import PIECES_PER_TURN
from tests.floods import LoopWatch
from tests.gateway_kit import ONCE, make_position, read_request

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1", "host": "ficu95.example", "prefix": "/lohu930/",
            "type": "streaming", "timeout_ms": 5000, "slo_ms": 1500, "priority": 2,
            "split": [
                {"service": "huvo11a", "weight": 90},
                {"service": "wuno96b", "weight": 10},
            ],
            "max_attempts": 1, "public": False, "sticky": True, "resumable": False,
            "itl_target_ms": 600,
        },
        {
            "name": "r-2", "host": "ficu95.example", "prefix": "/puxa403/",
            "type": "non_idempotent", "timeout_ms": 800, "slo_ms": 100, "priority": 2,
            "service": "wuno96b", "max_attempts": 1, "public": True,
        },
    ],
    "services": [
        {
            "name": "huvo11a", "health_path": "/healthz", "max_connections": 370,
            "engine": {"slots": 64, "kv_capacity": 245097, "stride": 4},
        },
        {"name": "wuno96b", "health_path": "/healthz", "max_connections": 110},
    ],
    "limits": {
        "max_header_bytes": 16384, "max_body_bytes": 4194304,
        "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "hule930", "api_keys": ["k1", "k2"], "priority": 1}],
}  # fmt: skip
UPSTREAM = {
    "service": "huvo11a", "address": "10.128.0.9:8080", "zone": "saldanha",
    "version": "v1", "slots": 64, "state": "ready", "warmup_left_ms": 500,
    "phase": "unified", "models": [], "sequence": 4, "born": 1733280000123,
}  # fmt: skip


def make_headers(**values: str) -> list[tuple[bytes, bytes]]:
    return [
        (name.replace("_", "-").title().encode(), value.encode())
        for name, value in values.items()
    ]


class TestHeaders:
    def decode(self, **values: str):
        return PlatformDialect().decode_head(
            method="POST",
            target="/a",
            headers=make_headers(host="h.example", attempt_id="a1", **values),
        )

    def test_a_request_head_is_decoded(self) -> None:
        head = self.decode(
            deadline_ms="1500", authorization="Token k1", token_usage="1460,80",
            prefix_hash="5c1e:800,91bd:410,e440:250", last_event_id="7",
        )  # fmt: skip
        assert head.attempt == "a1" and head.caller_timeout == 1.5 and head.key == "k1"
        assert (head.prompt_tokens, head.output_tokens) == (1460, 80)
        assert [part.tokens for part in head.prompt] == [800, 410, 250]
        assert head.last_event == b"7"

    @pytest.mark.parametrize("value", ["", "x", "1", "5:x", "a:1,,b:2"])
    def test_invalid_hints_are_ignored(self, value: str) -> None:
        head = self.decode(token_usage=value, prefix_hash=value, deadline_ms="soon")
        assert (
            head.prompt_tokens == 0
            and head.prompt == ()
            and head.caller_timeout is None
        )

    def test_headers_that_the_gateway_sets_cannot_be_forged(self) -> None:
        forged_headers = {
            "tenant": "x", "request_priority": "0", "expected_instance": "x",
            "expected_version": "1", "retain": "1", "pin_ms": "1", "kv_from": "x",
            "kv_backup": "x", "kv_fetch": "x", "authorization": "Token k1",
            "deadline_ms": "99999", "upgrade": "x", "proxy_connection": "x",
        }  # fmt: skip
        head = self.decode(**forged_headers, x_note="kept", model="m")
        names = {name.lower() for name, _ in head.forwarded}
        assert names == {b"host", b"attempt-id", b"x-note", b"model"}

    def test_connection_options_are_dropped_except_protected_headers(self) -> None:
        head = self.decode(connection="X-Hop, Attempt-Id, Model", x_hop="1", model="m")
        names = {name.lower() for name, _ in head.forwarded}
        assert names == {b"host", b"attempt-id", b"model"}

    @pytest.mark.parametrize("attempt", ["", "a1, a2"])
    def test_a_request_needs_exactly_one_attempt_id(self, attempt: str) -> None:
        with pytest.raises(RequestHeadError):
            PlatformDialect().decode_head(
                method="GET",
                target="/",
                headers=make_headers(host="h", attempt_id=attempt),
            )

    def test_upstream_headers_hold_replica_priority_and_remaining_time(self) -> None:
        call = Call(
            head=self.decode(last_event_id="3"), route=ONCE, service=ServiceName("s"),
            workspace=Workspace(name=WorkspaceId("w"), keys=()), arrival=0.0,
            deadline=1.0, caller_deadline=1.0, tier=12,
        )  # fmt: skip
        plan = SendPlan(
            instance=InstanceId("i-1"), seconds_left=0.4321, urgency=12,
            resume_after=b"9", copy_from="127.0.0.1:7",
        )  # fmt: skip
        sent = dict(PlatformDialect().build_upstream_headers(call, plan))
        assert sent[b"Deadline-Ms"] == b"432" and sent[b"Expected-Instance"] == b"i-1"
        assert sent[b"Tenant"] == b"w" and sent[b"Request-Priority"] == b"9"
        assert sent[b"Kv-Fetch"] == b"127.0.0.1:7"
        assert sent[b"Last-Event-Id"] == b"9"

    @pytest.mark.parametrize(
        ("status", "values", "kind"),
        [
            (200, {"attempt_id": "a1", "response_signature": "s"}, ResponseKind.ANSWER),
            (500, {"attempt_id": "a1", "response_signature": "s"}, ResponseKind.ANSWER),
            (200, {"attempt_id": "a2", "response_signature": "s"}, ResponseKind.STRAY),
            (503, {"attempt_id": "a2", "not_executed": "1"}, ResponseKind.STRAY),
            (503, {"not_executed": "1"}, ResponseKind.REFUSED),
            (429, {"attempt_id": "a1"}, ResponseKind.INVALID),
            (
                503,
                {"attempt_id": "a1", "response_signature": "s"},
                ResponseKind.INVALID,
            ),
            (421, {"instance_id": "i-2"}, ResponseKind.MISPLACED),
            (200, {"attempt_id": "a1"}, ResponseKind.INVALID),
            (200, {"response_signature": "s"}, ResponseKind.INVALID),
        ],
    )
    def test_a_response_is_classified(
        self, status: int, values: dict, kind: ResponseKind
    ) -> None:
        response = PlatformDialect().classify_response(
            status=status, headers=make_headers(**values), attempt=AttemptId("a1")
        )
        assert response.kind is kind

    def test_load_and_idle_timeout_of_a_response_are_decoded(self) -> None:
        response = PlatformDialect().classify_response(
            status=200,
            headers=make_headers(
                attempt_id="a1", response_signature="s", backend_load="3,1,8",
                keep_alive="timeout=2, max=100", connection="close",
            ),
            attempt=AttemptId("a1"),
        )  # fmt: skip
        assert response.load is not None and response.load.waiting == 1
        assert response.keep_alive == 2.0 and response.closing
        assert {name for name, _ in response.headers} == {
            b"Attempt-Id", b"Response-Signature", b"Backend-Load",
        }  # fmt: skip

    @pytest.mark.parametrize(
        ("values", "limit"),
        [
            ({}, None),
            ({"server_limit": "1.3"}, 1.3),
            ({"server_limit": "0"}, 0.0),
            ({"server_limit": "nan"}, None),
            ({"server_limit": "inf"}, None),
            ({"server_limit": "-2"}, None),
            ({"server_limit": "few"}, None),
        ],
    )
    def test_the_rate_limit_of_a_response_is_decoded(
        self, values: dict, limit: float | None
    ) -> None:
        response = PlatformDialect().classify_response(
            status=200,
            headers=make_headers(attempt_id="a1", response_signature="s", **values),
            attempt=AttemptId("a1"),
        )
        assert response.rate_limit == limit


class TestDocuments:
    def test_the_configuration_is_decoded(self) -> None:
        table = decode_configuration(json.dumps(CONFIGURATION).encode())
        route = table.match_route("ficu95.example", "/lohu930/2f")
        assert route is not None and route.kind is RouteKind.STREAM
        assert (route.timeout, route.target, route.event_gap) == (5.0, 1.5, 0.6)
        assert {route.select_service(f"a{n}") for n in range(99)} == {
            "huvo11a",
            "wuno96b",
        }
        once_route = table.match_route("ficu95.example", "/puxa403/x")
        assert (
            once_route is not None
            and once_route.kind is RouteKind.ONCE
            and once_route.public
        )
        engine = table.services[ServiceName("huvo11a")].engine
        assert engine is not None and engine.memory_tokens == 245097
        workspace = table.find_workspace("k2")
        assert workspace is not None and workspace.tier == 1
        assert table.limits.idle_seconds == 15.0

    def test_a_replica_is_decoded(self) -> None:
        record = decode_upstream("i-1", json.dumps(UPSTREAM).encode())
        assert record is not None and record.state is UpstreamState.LIVE
        assert record.incarnation == 1733280000123 and record.warm_up == 0.5
        assert not record.is_preemptible and record.leaves_in is None

    def test_a_preemptible_replica_is_decoded(self) -> None:
        entry = UPSTREAM | {"state": "draining", "preemptible": True, "leaves_ms": 2100}
        record = decode_upstream("i-1", json.dumps(entry).encode())
        assert record is not None and record.state is UpstreamState.LEAVING
        assert record.is_preemptible and record.leaves_in == 2.1

    def test_limits_and_prices_of_replicas_are_decoded(self) -> None:
        scaling = {
            "min": 1, "max": 30, "boot_s": 4.0, "spot_price": 0.15,
            "zone_prices": {"hout": 0.8},
        }  # fmt: skip
        services = [item | {"scaling": scaling} for item in CONFIGURATION["services"]]
        table = decode_configuration(
            json.dumps(CONFIGURATION | {"services": services}).encode()
        )
        spec = table.services[ServiceName("huvo11a")].scaling
        assert spec is not None
        assert (spec.min_replicas, spec.max_replicas, spec.boot_seconds) == (1, 30, 4.0)
        assert (spec.preemptible_price, spec.prices) == (0.15, {"hout": 0.8})

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "new"}, {"address": 7}, {"address": "nowhere"}, {"slots": "many"},
            {"born": 1.5}, {"service": None}, {"zone": []},
        ],
    )  # fmt: skip
    def test_an_invalid_entry_yields_no_replica(self, change: dict) -> None:
        assert decode_upstream("i-1", json.dumps(UPSTREAM | change).encode()) is None

    @pytest.mark.parametrize("data", [b"", b"\xff\x00", b"[]", b"{}"])
    def test_undecodable_bytes_yield_no_replica(self, data: bytes) -> None:
        assert decode_upstream("i-1", data) is None


class StoreStandin:
    """Sends the scripted responses, one for each call of the store."""

    def __init__(self) -> None:
        self.responses: list[tuple[int, dict]] = []
        self.targets: list[str] = []
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self) -> None:
        self._server.stop(timeout=0)

    def _serve(self, connection: socket.socket, _peer: object) -> None:
        try:
            while True:
                line, _, _ = read_request(connection)
                self.targets.append(line.split()[1])
                status, content = self.responses.pop(0)
                era = content.pop("era", None)
                era_header = "" if era is None else f"Store-Era: {era}\r\n"
                if not status:
                    connection.close()
                    return
                body = json.dumps(content).encode()
                connection.sendall(
                    b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n"
                    % (status, era_header.encode(), len(body))
                    + body
                )
        except (EOFError, OSError):
            connection.close()


@pytest.fixture
def store() -> Iterator[StoreStandin]:
    store_standin = StoreStandin()
    yield store_standin
    store_standin.stop()


@pytest.fixture
def link(store: StoreStandin) -> Iterator[StoreLink]:
    link = StoreLink(address=store.address, clock=LoopClock())
    yield link
    link.close()


def make_page(*rows: dict, version: int, more: bool = False) -> dict:
    return {"rows": list(rows), "schema_version": version, "has_more": more}


def make_store_row(key: str, version: int, content: dict) -> dict:
    data = base64.b64encode(json.dumps(content).encode()).decode()
    return {
        "table": "t",
        "part": "",
        "key": key,
        "data": data,
        "schema_version": version,
    }


def get_fault(call: Callable) -> FeedFault:
    with pytest.raises(FeedError) as caught:
        call()
    return caught.value.fault


class TestStore:
    def test_a_table_is_read_page_by_page(
        self, store: StoreStandin, link: StoreLink
    ) -> None:
        store.responses = [
            (200, make_page(make_store_row("i-1", 3, UPSTREAM), version=9, more=True)),
            (200, make_page(make_store_row("i-2", 4, UPSTREAM), version=10)),
        ]
        changes = link.upstreams.read()
        assert [item.instance for item in changes.items] == ["i-1", "i-2"]
        assert changes.is_complete and changes.cursor == make_position(9)
        assert "range_start=i-1%00" in store.targets[1]

    @pytest.mark.parametrize("is_odd", [False, True])
    def test_many_rows_do_not_stop_the_event_loop(
        self,
        store: StoreStandin,
        link: StoreLink,
        monkeypatch: pytest.MonkeyPatch,
        is_odd: bool,
    ) -> None:
        decoded_count = 0

        def count_decoded(key: str, data: bytes) -> UpstreamRecord | None:
            nonlocal decoded_count
            decoded_count += 1
            return decode_upstream(key, data)

        monkeypatch.setattr(store_module, "decode_upstream", count_decoded)
        content = {"odd": 1} if is_odd else UPSTREAM
        rows = [make_store_row(f"i-{n}", 3, content) for n in range(1_000)]
        store.responses = [(200, make_page(*rows, version=9))]
        with LoopWatch(lambda: decoded_count) as watch:
            link.upstreams.read()
        assert decoded_count == len(rows)
        assert watch.largest_step <= PIECES_PER_TURN

    def test_changes_are_polled(self, store: StoreStandin, link: StoreLink) -> None:
        store.responses = [
            (200, make_page(make_store_row("config", 3, CONFIGURATION), version=9)),
            (
                200,
                make_page(
                    {"key": "i-1", "schema_version": 12, "deleted": True}, version=12
                ),
            ),
        ]
        assert link.routing.read().items[0].version == 7
        changes = link.upstreams.poll_changes(make_position(9), wait=0.5)
        assert changes.items[0].record is None and changes.cursor == make_position(12)
        assert "since_revision=9&wait_ms=500" in store.targets[1]

    def test_each_kind_of_failure_has_its_fault(
        self, store: StoreStandin, link: StoreLink
    ) -> None:
        invalid_row = {"key": "config", "schema_version": 20, "data": "e30="}
        store.responses = [
            (410, {}), (429, {}), (503, {}), (0, {}), (200, {"x": 1}),
            (200, make_page(version=20)), (200, make_page(version=19)),
            (200, make_page(invalid_row, version=21)),
        ]  # fmt: skip
        feed = link.routing
        faults = [
            get_fault(lambda: feed.poll_changes(make_position(5), wait=0.1))
            for _ in range(5)
        ]
        assert faults == [
            FeedFault.HISTORY_LOST, FeedFault.REFUSED, FeedFault.REFUSED,
            FeedFault.UNREACHABLE, FeedFault.UNREADABLE,
        ]  # fmt: skip
        feed.poll_changes(make_position(5), wait=0.1)
        assert (
            get_fault(lambda: feed.poll_changes(make_position(5), wait=0.1))
            is FeedFault.STALE
        )
        assert (
            get_fault(lambda: feed.poll_changes(make_position(5), wait=0.1))
            is FeedFault.UNREADABLE
        )

    def test_versions_are_compared_within_an_era(
        self, store: StoreStandin, link: StoreLink
    ) -> None:
        store.responses = [
            (200, make_page(version=1000) | {"era": 4}),
            (200, make_page(version=900) | {"era": 4}),
            (200, make_page(version=900) | {"era": 5}),
            (200, make_page(version=900) | {"era": 5}),
            (200, make_page(version=950) | {"era": 4}),
        ]
        feed = link.routing
        assert feed.read().cursor == make_position(1000, era=4)
        assert get_fault(feed.read) is FeedFault.STALE
        assert feed.read().cursor == make_position(900, era=5)
        fault = get_fault(
            lambda: feed.poll_changes(make_position(1000, era=4), wait=0.1)
        )
        assert fault is FeedFault.RESTORED
        assert get_fault(feed.read) is FeedFault.STALE

    @pytest.mark.parametrize("status", [410, 429, 503])
    def test_error_responses_update_the_era(
        self, store: StoreStandin, link: StoreLink, status: int
    ) -> None:
        store.responses = [
            (status, {"era": 7}),
            (200, make_page(version=9) | {"era": 6}),
            (200, make_page(version=9)),
        ]
        get_fault(link.routing.read)
        assert get_fault(link.upstreams.read) is FeedFault.STALE
        assert link.upstreams.read().cursor == make_position(9, era=7)

    @pytest.mark.parametrize("era", ["", "x", "-1", "1e3", "9" * 30])
    def test_an_invalid_era_is_rejected(
        self, store: StoreStandin, link: StoreLink, era: str
    ) -> None:
        store.responses = [(200, make_page(version=9) | {"era": era})]
        assert get_fault(link.routing.read) is FeedFault.UNREADABLE

    def test_pages_of_two_eras_are_not_combined(
        self, store: StoreStandin, link: StoreLink
    ) -> None:
        store.responses = [
            (200, make_page(make_store_row("i-1", 3, UPSTREAM), version=9, more=True)
             | {"era": 1}),
            (200, make_page(make_store_row("i-2", 4, UPSTREAM), version=9) | {"era": 2}),
        ]  # fmt: skip
        assert get_fault(link.upstreams.read) is FeedFault.RESTORED

    def test_lower_versions_for_long_mean_a_restore_in_a_store_without_eras(
        self, store: StoreStandin
    ) -> None:
        clock = ManualClock(start=50.0)
        link = StoreLink(address=store.address, clock=clock)
        store.responses = [
            (200, make_page(version=version)) for version in (90, 80, 80, 81)
        ]
        feed = link.routing
        feed.read()
        assert get_fault(feed.read) is FeedFault.STALE
        clock.advance(MAX_STALE_SECONDS)
        assert get_fault(feed.read) is FeedFault.RESTORED
        assert feed.read().cursor == make_position(81)
        link.close()

    def test_no_precondition_of_an_earlier_era_is_sent(
        self, store: StoreStandin, link: StoreLink
    ) -> None:
        content = {"address": "10.0.0.1:7", "incarnation": 5}
        store.responses = [
            (200, make_page(make_store_row("g2", 3, content), version=4) | {"era": 1}),
            (503, {"era": 2}),
        ]
        (entry,) = link.peers.read()
        get_fault(link.routing.read)
        assert get_fault(lambda: link.peers.withdraw(entry)) is FeedFault.RESTORED
        assert len(store.targets) == 2

    def test_peer_entries_are_written_read_and_withdrawn(
        self, store: StoreStandin, link: StoreLink
    ) -> None:
        own = PeerEntry(instance=InstanceId("g1"), address="10.0.0.1:7", incarnation=5)
        other = {"key": "g2", "schema_version": 4, "data": "bm8="}
        content = {"address": "10.0.0.1:7", "incarnation": 5}
        store.responses = [
            (200, {"schema_version": 3, "now_ms": 1}),
            (200, make_page(make_store_row("g1", 3, content), other, version=4)),
            (412, {"rows": [], "schema_version": 9}),
        ]
        link.peers.announce(own)
        (entry,) = link.peers.read()
        assert entry.address == own.address and entry.position == make_position(3)
        assert get_fault(lambda: link.peers.withdraw(entry)) is FeedFault.REFUSED
        assert [target.split("?")[0] for target in store.targets] == [
            "/-/rows-tx", "/-/rows-get", "/-/rows-tx",
        ]  # fmt: skip

    def test_a_stopped_store_is_unreachable(
        self, store: StoreStandin, link: StoreLink
    ) -> None:
        store.stop()
        assert get_fault(link.upstreams.read) is FeedFault.UNREACHABLE


SETTINGS = """{
  // one gateway
  "instance": "edge-1", "data_centre": "hout",
  "listen": {"callers": "10.0.0.1:80", "ready": "10.0.0.1:81"},
  "platform": "10.0.0.9:82", "peer_ports": [7340, 7355], "seeds": [],
  "bounds": {"retry_ratio": 0.2, "retry_allowance": 56, "stop_seconds": 8}
}"""


def test_findings_in_settings_have_line_and_path() -> None:
    findings = Findings()
    settings = check_gateway_settings(SETTINGS, file="s.json", findings=findings)
    assert (
        settings is not None
        and settings.bounds.retry_allowance == 56
        and not len(findings)
    )
    invalid_text = SETTINGS.replace('"10.0.0.1:81"', '"ten:81"')
    assert (
        check_gateway_settings(invalid_text, file="s.json", findings=findings) is None
    )
    (finding,) = findings
    assert finding.line == 4 and finding.path == "listen.ready"


def test_the_command_line_checks_gateway_settings(tmp_path: Path) -> None:
    file = tmp_path / "gateway.json"
    file.write_text(SETTINGS)
    assert main(["check", "--gateway", str(file)]) == 0
    file.write_text(SETTINGS.replace('"hout"', "7"))
    assert main(["check", "--gateway", str(file)]) == 2


DUTY_VALUES: dict[str, object] = {
    "cloud.address": "10.0.0.9:84", "cloud.duty_per_s": 50.0,
    "bounds.lease_ms": 3000,
    "bounds.report_window_s": 5, "bounds.usage_delay_s": 10,
}  # fmt: skip


def render_template(text: str, values: dict[str, object]) -> str:
    """Render placeholders and sections of the settings template."""
    for name in re.findall(r"\{\{#([\w.]+)\}\}", text):
        section = re.compile(
            r"\{\{#" + name + r"\}\}(.*?)\{\{/" + name + r"\}\}", re.DOTALL
        )
        text = section.sub(
            lambda match, key=name: match[1] if key in values else "", text
        )
    return re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(values[m[1]]), text)


@pytest.mark.parametrize("duties", [{}, DUTY_VALUES], ids=["without duties", "with"])
def test_the_settings_template_yields_valid_settings(duties: dict[str, object]) -> None:
    values = {
        "node_name": "edge-1", "zone": "hout", "listen.http": "10.0.0.1:80",
        "listen.ready": "10.0.0.1:81", "listen.admin": "10.0.0.1:82",
        "platform.address": "10.0.0.9:83", "internal_ports": [7340, 7355],
        "seeds": [], "bounds.retry_ratio": 0.2, "bounds.budget_slack": 56,
        "bounds.retry_window_s": 10, "bounds.grace_s": 8,
        "limits.cpu_quota": 0.5, "limits.memory_mb": 88, "limits.max_fds": 4100,
    }  # fmt: skip
    root = Path(__file__).parent.parent
    text = (root / "deploy" / "settings.json.template").read_text()
    findings = Findings()
    settings = check_gateway_settings(
        render_template(text, values | duties), file="t", findings=findings
    )
    assert settings is not None, list(findings)
    assert (settings.memory_megabytes, settings.max_descriptors) == (88, 4100)
    api = settings.platform_api
    assert (None if api is None else api.duties) == (
        ["usage_report"] if duties else None
    )
    assert settings.duty_bounds.handover_seconds == 3.0


PLATFORM_NAMES = (
    "attempt-id", "deadline-ms", "token-usage", "prefix-hash", "response-signature",
    "not-executed", "expected-instance", "backend-load", "request-priority", "kv-from",
    "kv-fetch", "kv-backup", "rows-tx", "rows-get", "rows-feed", "itl_target_ms",
    "slo_ms", "api_keys", "fleetbench", "op/config", "schema_version", "since_revision",
    "budget_slack", "node_name",
)  # fmt: skip


def test_platform_names_occur_only_in_the_adapter() -> None:
    root = Path(__file__).parent.parent
    violations = [
        f"{path.relative_to(root)}: {name}"
        for folder in ("damasklead", "bench", "models")
        for path in (root / folder).rglob("*.py")
        if "platform" not in path.relative_to(root).parts
        for name in PLATFORM_NAMES
        if name in path.read_text().lower().replace("kv_", "kv-")
    ]
    assert violations == []
