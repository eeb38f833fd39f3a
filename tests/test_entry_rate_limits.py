"""
Tests of the rate limits that upstreams name to entries
=======================================================
"""

import itertools
import random

import pytest

from damasklead.clock import ManualClock
from damasklead.configuration import RequestClass
from damasklead.daemon.rate_limit_keeper import RateLimitKeeper
from damasklead.gossip import GossipBuffer
from damasklead.ids import (
    AttemptId,
    ClassName,
    DataCentre,
    Fingerprint,
    Incarnation,
    InstanceId,
    RequestId,
    ServiceName,
    SoftwareVersion,
    WorkspaceId,
)
from damasklead.membership import Membership
from damasklead.messages import PeerMessage, decode_message, encode_message
from damasklead.rate_limits import OWNER_INTERVAL_SECONDS, RateLimit
from damasklead.replicas import ReplicaChooser, ReplicaInfo
from damasklead.requests import Request
from damasklead.stores.base import InstanceRecord, InstanceState

SERVICE = ServiceName("s")
REPLICAS = frozenset({InstanceId("r0"), InstanceId("r1")})
LIMIT = 1.3
WINDOW_SECONDS = 4.0
MAX_IN_WINDOW = 1.5 * LIMIT * WINDOW_SECONDS + 5


def make_request() -> Request:
    return Request(
        id=RequestId("q"),
        workspace=WorkspaceId("w"),
        request_class=RequestClass(
            name=ClassName("c"),
            service=SERVICE,
            tier=3,
            first_token_target=1.0,
            may_repeat=True,
            queue_bound=50,
        ),
        arrival=0.0,
        fingerprint=Fingerprint("f"),
        model="",
    )


class LimitedEntries:
    """Entries that serve one service from two upstreams; ``r0`` names a limit."""

    def __init__(self, count: int) -> None:
        self.clock = ManualClock(start=100.0)
        self.limit: float | None = LIMIT
        self.sent_at: list[float] = []
        self._random = random.Random(3)
        self._attempts = itertools.count(1)
        names = [InstanceId(f"e{number}") for number in range(count)]
        self.gossip = [GossipBuffer(clock=self.clock) for _ in names]
        self.keepers = [
            RateLimitKeeper(
                clock=self.clock,
                instance=name,
                membership=self._make_membership(),
                gossip=gossip,
            )
            for name, gossip in zip(names, self.gossip, strict=True)
        ]
        for keeper in self.keepers:
            keeper.set_entries(SERVICE, names)
        self.choosers = [self._make_chooser(keeper) for keeper in self.keepers]

    def _make_membership(self) -> Membership:
        membership = Membership(clock=self.clock)
        membership.merge_list(
            tuple(
                InstanceRecord(
                    instance=InstanceId(name),
                    incarnation=Incarnation(1),
                    service=SERVICE,
                    address="127.0.0.1:1",
                    data_centre=DataCentre("x"),
                    region="r",
                    state=InstanceState.LIVE,
                )
                for name in sorted(REPLICAS)
            )
        )
        return membership

    def _make_chooser(self, keeper: RateLimitKeeper) -> ReplicaChooser:
        chooser = ReplicaChooser(
            clock=self.clock,
            data_centre=DataCentre("x"),
            random_source=random.Random(5),
            get_request_rate=lambda item: keeper.get_request_rate(SERVICE, item),
        )
        chooser.update_replicas(
            ReplicaInfo(
                instance=InstanceId(name),
                data_centre=DataCentre("x"),
                version=SoftwareVersion("1"),
            )
            for name in sorted(REPLICAS)
        )
        return chooser

    def run(self, seconds: float, *, rate: float, request: Request) -> None:
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            self.clock.advance(self._random.expovariate(rate))
            index = self._random.randrange(len(self.keepers))
            replica = self.choosers[index].choose_replica(
                request, use_hard_limit=False, candidates=REPLICAS
            )
            assert replica is not None
            attempt = AttemptId(f"a{next(self._attempts)}")
            self.choosers[index].add_attempt(replica, attempt)
            self.choosers[index].remove_attempt(replica, attempt)
            if replica == "r0":
                self.sent_at.append(self.clock.now())
                self.keepers[index].record_response(
                    replica, self.limit, is_success=True
                )
            self._spread_gossip(index)

    def _spread_gossip(self, sender: int) -> None:
        for peer in range(len(self.keepers)):
            if peer == sender:
                continue
            message = PeerMessage(
                sender=InstanceId(f"e{sender}"),
                incarnation=Incarnation(1),
                configuration_version=1,
                rate_limits=self.gossip[sender].select_items(InstanceId(f"e{peer}")),
            )
            received = decode_message(encode_message(message))
            self.keepers[peer].apply_reports(received.rate_limits)


@pytest.mark.parametrize("count", [1, 8, 60])
def test_the_sum_of_all_entries_stays_within_the_limit(count: int) -> None:
    entries = LimitedEntries(count)
    request = make_request()
    entries.run(3.0, rate=60.0, request=request)
    entries.sent_at.clear()
    entries.run(20.0, rate=60.0, request=request)
    times = entries.sent_at
    assert len(times) >= 0.5 * LIMIT * 20.0
    assert all(
        sum(start <= at < start + WINDOW_SECONDS for at in times) <= MAX_IN_WINDOW
        for start in times
    )


def test_entries_return_soon_after_the_limit_ends() -> None:
    entries = LimitedEntries(8)
    request = make_request()
    entries.run(6.0, rate=60.0, request=request)
    assert entries.keepers[0].limited_count == 1
    entries.limit = None
    entries.run(2 * OWNER_INTERVAL_SECONDS, rate=60.0, request=request)
    entries.sent_at.clear()
    entries.run(5.0, rate=60.0, request=request)
    assert len(entries.sent_at) > 0.3 * 5.0 * 60.0
    assert not any(keeper.limited_count for keeper in entries.keepers)


def test_a_report_is_spread_once_and_stays_out_of_older_entries_gossip() -> None:
    entries = LimitedEntries(2)
    entries.keepers[0].record_response(InstanceId("r0"), LIMIT, is_success=True)
    items = entries.gossip[0].select_items(InstanceId("e1"))
    assert items == (RateLimit(InstanceId("r0"), 1, LIMIT, 1),)
    assert entries.gossip[0].select_items(InstanceId("e1")) == ()
