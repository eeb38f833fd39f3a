"""
Fuzzing the gateway's decisions
===============================

Random histories of the replica list against an oracle that knows the truth, random cuts
of streams, random heads of requests and answers.
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
from tests.gatewaykit import make_position

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


class Truth(msgspec.Struct, kw_only=True):
    """What really holds of one replica."""

    listed: bool = False
    leaving: bool = False
    incarnation: int = 1
    gone_since: float | None = None


class DirectoryMachine(RuleBasedStateMachine):
    """A list that is written, lost, read in parts and read whole."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock(start=100.0)
        self.directory = UpstreamDirectory(clock=self.clock)
        self.truth = {name: Truth() for name in ("a", "b", "c")}
        self.version = 1
        self.unread: list[ListedRow] = []
        self.reachable = True
        self.outage_ended = float("-inf")

    def _record(self, name: str) -> UpstreamRecord | None:
        truth = self.truth[name]
        if not truth.listed:
            return None
        return UpstreamRecord(
            instance=InstanceId(name),
            service=SERVICE,
            address="127.0.0.1:1",
            data_centre=DataCentre("x"),
            state=UpstreamState.LEAVING if truth.leaving else UpstreamState.LIVE,
            incarnation=truth.incarnation,
        )

    def _write(self, name: str) -> None:
        self.version += 1
        row = ListedRow(
            instance=InstanceId(name),
            position=make_position(self.version),
            record=self._record(name),
        )
        self.unread.append(row)

    @rule(name=NAMES)
    def starts(self, name: str) -> None:
        truth = self.truth[name]
        if not truth.listed:
            truth.incarnation += 1
            truth.listed, truth.leaving, truth.gone_since = True, False, None
            self._write(name)

    @rule(name=NAMES)
    def leaves(self, name: str) -> None:
        if self.truth[name].listed:
            self.truth[name].leaving = True
            self._write(name)

    @rule(name=NAMES)
    def is_removed(self, name: str) -> None:
        truth = self.truth[name]
        if truth.listed:
            truth.listed, truth.gone_since = False, self.clock.now()
            self._write(name)

    @rule()
    def list_goes(self) -> None:
        self.reachable = False
        self.directory.mark_list_unreachable()

    @rule()
    def list_returns(self) -> None:
        if not self.reachable:
            self.reachable = True
            self.outage_ended = self.clock.now()
            self.directory.mark_list_reachable()
            self._read()

    @rule(whole=st.booleans())
    def is_read(self, whole: bool) -> None:
        if self.reachable:
            self.directory.mark_list_reachable()
            self._read(whole=whole)

    @rule(seconds=st.sampled_from([0.2, 1.0, 3.0]))
    def time_passes(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.directory.drop_expired()

    def _read(self, *, whole: bool = False) -> None:
        rows = self.unread
        if whole:
            newest = {row.instance: row for row in self.unread}
            rows = [
                ListedRow(
                    instance=InstanceId(name),
                    position=newest[InstanceId(name)].position
                    if name in newest
                    else make_position(1),
                    record=self._record(name),
                )
                for name, truth in self.truth.items()
                if truth.listed
            ]
        self.directory.apply_rows(rows, whole=whole)
        self.unread = []

    @invariant()
    def what_left_gets_no_work_once_it_was_read(self) -> None:
        if self.unread or not self.reachable:
            return
        usable = {
            item.instance for item in self.directory.get_eligible_records(SERVICE)
        }
        now = self.clock.now()
        for name, truth in self.truth.items():
            if truth.listed:
                assert (name in usable) is not truth.leaving
            elif name in usable:
                # Only a removal around an outage may be a lapse, and not for long.
                limit = LAPSE_WINDOW_SECONDS + LAPSE_GRACE_SECONDS
                assert now - self.outage_ended <= limit


TestDirectory = DirectoryMachine.TestCase
TestDirectory.settings = FUZZ


@FUZZ
@given(
    count=st.integers(1, 6),
    ending=st.sampled_from([b"\n\n", b"\r\n\r\n"]),
    cuts=st.lists(st.integers(0, 200), max_size=8),
)
def test_events_survive_any_cuts(count: int, ending: bytes, cuts: list[int]) -> None:
    whole = b"".join(b"id: %d\ndata: piece %d%s" % (n, n, ending) for n in range(count))
    splitter = EventSplitter()
    places = sorted({min(cut, len(whole)) for cut in cuts} | {0, len(whole)})
    out = b""
    for start, end in itertools.pairwise(places):
        out += splitter.feed(whole[start:end])
        assert whole.startswith(out) and (not out or out.endswith(ending))
    assert out == whole and not splitter.has_partial_event


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
def test_any_head_is_decoded_or_refused(headers: list[tuple[bytes, bytes]]) -> None:
    try:
        head = PlatformDialect().decode_head(method="GET", target="/", headers=headers)
    except RequestHeadError:
        return
    names = [name.lower() for name, _ in head.forwarded]
    assert names.count(b"attempt-id") == 1
    assert not {b"tenant", b"kv-from", b"authorization", b"connection"} & set(names)
    assert all(part.tokens >= 0 for part in head.prompt)


ANSWER_HEADERS = st.lists(
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
    status=st.sampled_from([200, 204, 400, 421, 429, 500, 503]), headers=ANSWER_HEADERS
)
def test_only_a_signed_answer_to_the_request_is_one(
    status: int, headers: list[tuple[bytes, bytes]]
) -> None:
    reply = PlatformDialect().classify_response(
        status=status, headers=headers, attempt=AttemptId("a1")
    )
    names = {name for name, _ in headers}
    if reply.kind is ResponseKind.ANSWER:
        assert b"Attempt-Id" in names and status not in (421, 429, 503)
        assert status >= 300 or b"Response-Signature" in names
    if reply.kind is ResponseKind.REFUSED:
        assert b"Not-Executed" in names
