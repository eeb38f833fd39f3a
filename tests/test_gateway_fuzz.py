"""
Fuzz tests of the gateway's decisions
=====================================

Random changes of the list of replicas compared with a model, streams cut at random
places, and random heads of requests and responses.  ``FUZZ_EXAMPLES`` and
``FUZZ_STEPS`` set the number of examples and of steps in each.
"""

import itertools
import os

import msgspec
from hypothesis import HealthCheck, given, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from damasklead.clock import ManualClock
from damasklead.gateway.calls import ResponseKind, UpstreamRecord, UpstreamState
from damasklead.gateway.dialect import RequestHeadError
from damasklead.gateway.directory import (
    LAPSE_GRACE_SECONDS,
    LAPSE_WINDOW_SECONDS,
    ListedRow,
    UpstreamDirectory,
)
from damasklead.gateway.events import EventSplitter
from damasklead.ids import AttemptId, DataCentre, InstanceId, ServiceName
from damasklead.platform.headers import PlatformDialect
from tests.gateway_kit import make_position

EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "100"))
STEPS = int(os.environ.get("FUZZ_STEPS", "40"))
FUZZ = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    deadline=None,
    database=None,
    derandomize="FUZZ_EXAMPLES" not in os.environ,
    suppress_health_check=list(HealthCheck),
)
SERVICE = ServiceName("llm")
NAMES = st.sampled_from(["a", "b", "c"])


class ReplicaModel(msgspec.Struct, kw_only=True):
    """
    Actual state of one replica.

    Attributes
    ----------
    listed : bool
        Whether the list has an entry of the replica.
    leaving : bool
        Whether the replica is leaving.
    incarnation : int
        Number of its starts.
    removed_at : float or None
        Clock reading of the removal of its entry.
    """

    listed: bool = False
    leaving: bool = False
    incarnation: int = 1
    removed_at: float | None = None


class DirectoryMachine(RuleBasedStateMachine):
    """Random writes and outages of the list, and reads of its changes or all rows."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock(start=100.0)
        self.directory = UpstreamDirectory(clock=self.clock)
        self.models = {name: ReplicaModel() for name in ("a", "b", "c")}
        self.version = 1
        self.unread_rows: list[ListedRow] = []
        self.list_reachable = True
        self.outage_ended_at = float("-inf")

    def _make_record(self, name: str) -> UpstreamRecord | None:
        model = self.models[name]
        if not model.listed:
            return None
        return UpstreamRecord(
            instance=InstanceId(name),
            service=SERVICE,
            address="127.0.0.1:1",
            data_centre=DataCentre("x"),
            state=UpstreamState.LEAVING if model.leaving else UpstreamState.LIVE,
            incarnation=model.incarnation,
        )

    def _write_row(self, name: str) -> None:
        self.version += 1
        row = ListedRow(
            instance=InstanceId(name),
            position=make_position(self.version),
            record=self._make_record(name),
        )
        self.unread_rows.append(row)

    @rule(name=NAMES)
    def start_replica(self, name: str) -> None:
        model = self.models[name]
        if not model.listed:
            model.incarnation += 1
            model.listed, model.leaving, model.removed_at = True, False, None
            self._write_row(name)

    @rule(name=NAMES)
    def drain_replica(self, name: str) -> None:
        if self.models[name].listed:
            self.models[name].leaving = True
            self._write_row(name)

    @rule(name=NAMES)
    def remove_entry(self, name: str) -> None:
        model = self.models[name]
        if model.listed:
            model.listed, model.removed_at = False, self.clock.now()
            self._write_row(name)

    @rule()
    def lose_list(self) -> None:
        self.list_reachable = False
        self.directory.mark_list_unreachable()

    @rule()
    def recover_list(self) -> None:
        if not self.list_reachable:
            self.list_reachable = True
            self.outage_ended_at = self.clock.now()
            self.directory.mark_list_reachable()
            self._apply_rows()

    @rule(is_complete=st.booleans())
    def read_list(self, is_complete: bool) -> None:
        if self.list_reachable:
            self.directory.mark_list_reachable()
            self._apply_rows(is_complete=is_complete)

    @rule(seconds=st.sampled_from([0.2, 1.0, 3.0]))
    def advance_clock(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.directory.drop_expired(list_age=0.0)

    def _apply_rows(self, *, is_complete: bool = False) -> None:
        rows = self.unread_rows
        if is_complete:
            newest = {row.instance: row for row in self.unread_rows}
            rows = [
                ListedRow(
                    instance=InstanceId(name),
                    position=newest[InstanceId(name)].position
                    if name in newest
                    else make_position(1),
                    record=self._make_record(name),
                )
                for name, model in self.models.items()
                if model.listed
            ]
        self.directory.apply_rows(rows, is_complete=is_complete)
        self.unread_rows = []

    @invariant()
    def eligible_replicas_match_the_model(self) -> None:
        if self.unread_rows or not self.list_reachable:
            return
        eligible_instances = {
            item.instance for item in self.directory.get_eligible_records(SERVICE)
        }
        now = self.clock.now()
        for name, model in self.models.items():
            if model.listed:
                assert (name in eligible_instances) is not model.leaving
            elif name in eligible_instances:
                # A removed replica is eligible only for a short time after an outage,
                # during which its entry may have expired without a removal.
                max_age = LAPSE_WINDOW_SECONDS + LAPSE_GRACE_SECONDS
                assert now - self.outage_ended_at <= max_age


TestDirectory = DirectoryMachine.TestCase
TestDirectory.settings = FUZZ


@FUZZ
@given(
    count=st.integers(1, 6),
    ending=st.sampled_from([b"\n\n", b"\r\n\r\n"]),
    cuts=st.lists(st.integers(0, 200), max_size=8),
)
def test_events_do_not_depend_on_segment_boundaries(
    count: int, ending: bytes, cuts: list[int]
) -> None:
    stream = b"".join(
        b"id: %d\ndata: piece %d%s" % (n, n, ending) for n in range(count)
    )
    splitter = EventSplitter()
    boundaries = sorted({min(cut, len(stream)) for cut in cuts} | {0, len(stream)})
    output = b""
    for start, end in itertools.pairwise(boundaries):
        output += splitter.feed(stream[start:end])
        assert stream.startswith(output) and (not output or output.endswith(ending))
    assert output == stream and not splitter.has_partial_event


VALUES = st.binary(max_size=30).map(lambda data: data.replace(b"\r", b"").strip())
HEADERS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                b"Host", b"Attempt-Id", b"Deadline-Ms", b"Authorization", b"Token-Usage",
                b"Prefix-Hash", b"Connection", b"Tenant", b"Kv-From", b"X-Other",
            ]
        ),
        VALUES,
    ),
    max_size=8,
)  # fmt: skip


@FUZZ
@given(headers=HEADERS)
def test_any_request_head_is_decoded_or_rejected(
    headers: list[tuple[bytes, bytes]],
) -> None:
    try:
        head = PlatformDialect().decode_head(method="GET", target="/", headers=headers)
    except RequestHeadError:
        return
    names = [name.lower() for name, _ in head.forwarded]
    assert names.count(b"attempt-id") == 1
    assert not {b"tenant", b"kv-from", b"authorization", b"connection"} & set(names)
    assert all(part.tokens >= 0 for part in head.prompt)


RESPONSE_HEADERS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                b"Attempt-Id", b"Response-Signature", b"Not-Executed", b"Backend-Load",
                b"Keep-Alive", b"Connection", b"Content-Encoding",
            ]
        ),
        st.one_of(st.just(b"a1"), st.just(b"timeout=2"), VALUES),
    ),
    max_size=6,
)  # fmt: skip


@FUZZ
@given(
    status=st.sampled_from([200, 204, 400, 421, 429, 500, 503]),
    headers=RESPONSE_HEADERS,
)
def test_only_a_signed_response_to_the_request_is_accepted(
    status: int, headers: list[tuple[bytes, bytes]]
) -> None:
    response = PlatformDialect().classify_response(
        status=status, headers=headers, attempt=AttemptId("a1")
    )
    names = {name for name, _ in headers}
    if response.kind is ResponseKind.ANSWER:
        assert b"Attempt-Id" in names and status not in (421, 429, 503)
        assert status >= 300 or b"Response-Signature" in names
    if response.kind is ResponseKind.REFUSED:
        assert b"Not-Executed" in names
