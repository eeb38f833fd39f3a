"""
Tests of the liveness of peers
==============================

Gateways that take the silence of others for their end, on a clock that the tests
advance.
"""

from collections.abc import Iterator

import gevent
import pytest

from damasklead.gateway.fleet import LIVENESS_CHECK_INTERVAL_SECONDS
from damasklead.gateway.peer_liveness import (
    PING_TIMEOUT_SECONDS,
    REMOVAL_TIMEOUT_SECONDS,
)
from damasklead.gateway.peers import Peers
from tests.gateway_kit import wait_until
from tests.test_gateway_peers import REPORT, PeerGroup

NAMES = ("g1", "g2", "g3")
# Time of the loop in which datagrams on the loopback interface arrive.
DELIVERY_SECONDS = 0.02


class LivenessGroup(PeerGroup):
    """Three gateways that know each other; the first checks the others."""

    def __init__(self) -> None:
        super().__init__()
        for name in NAMES:
            self.start(name)
        wait_until(lambda: all(self.member_names(x) == set(NAMES) - {x} for x in NAMES))

    @property
    def first(self) -> Peers:
        return self.peers["g1"]

    def check_for(self, seconds: float, *, speakers: tuple[str, ...] = ()) -> None:
        """Let the first gateway check the others, of which some send it messages."""
        for _ in range(int(seconds / LIVENESS_CHECK_INTERVAL_SECONDS)):
            self.clock.advance(LIVENESS_CHECK_INTERVAL_SECONDS)
            for name in speakers:
                self.peers[name].send("g1", REPORT)
            gevent.sleep(DELIVERY_SECONDS)
            self.first.check_liveness()
            gevent.sleep(DELIVERY_SECONDS)

    def mute(self, name: str, monkeypatch: pytest.MonkeyPatch) -> None:
        """Let all datagrams that a gateway sends get lost."""
        monkeypatch.setattr(self.peers[name], "_send_data", lambda *_: None)


@pytest.fixture
def group() -> Iterator[LivenessGroup]:
    liveness_group = LivenessGroup()
    yield liveness_group
    liveness_group.stop()


def test_a_new_broadcaster_removes_no_quiet_gateway(group: LivenessGroup) -> None:
    """Guards against a fleet that forgets all members when its broadcaster is lost."""
    group.clock.advance(5 * REMOVAL_TIMEOUT_SECONDS)
    group.check_for(2 * REMOVAL_TIMEOUT_SECONDS)
    assert group.member_names("g1") == {"g2", "g3"}
    assert set(group.directory.entries) == set(NAMES)


@pytest.mark.parametrize("speakers", [(), ("g2",)], ids=["both-ways", "sends-only"])
def test_a_gateway_that_is_cut_off_removes_no_other(
    group: LivenessGroup, monkeypatch: pytest.MonkeyPatch, speakers: tuple[str, ...]
) -> None:
    """Guards against one gateway that empties the directory of all."""
    group.mute("g1", monkeypatch)
    group.check_for(3 * REMOVAL_TIMEOUT_SECONDS, speakers=speakers)
    assert group.member_names("g1") == {"g2", "g3"}
    assert set(group.directory.entries) == set(NAMES)


def test_a_gateway_that_was_suspended_removes_no_other(group: LivenessGroup) -> None:
    """The answers to its pings may wait in the buffer of its socket."""
    group.check_for(PING_TIMEOUT_SECONDS)
    group.clock.advance(LIVENESS_CHECK_INTERVAL_SECONDS)
    group.first.check_liveness()
    group.clock.advance(2 * REMOVAL_TIMEOUT_SECONDS)
    group.first.check_liveness()
    assert group.member_names("g1") == {"g2", "g3"}
    assert set(group.directory.entries) == set(NAMES)


@pytest.mark.parametrize("speakers", [(), ("g2",)], ids=["quiet", "talkative"])
def test_a_gateway_that_has_ended_is_removed_while_another_one_answers(
    group: LivenessGroup, monkeypatch: pytest.MonkeyPatch, speakers: tuple[str, ...]
) -> None:
    group.mute("g3", monkeypatch)
    group.check_for(
        REMOVAL_TIMEOUT_SECONDS + 3 * LIVENESS_CHECK_INTERVAL_SECONDS,
        speakers=speakers,
    )
    assert group.member_names("g1") == {"g2"}
    assert set(group.directory.entries) == {"g1", "g2"}


def test_the_only_other_gateway_is_removed_after_its_end(
    group: LivenessGroup, monkeypatch: pytest.MonkeyPatch
) -> None:
    group.peers["g3"].send_leave_notice()
    wait_until(lambda: group.member_names("g1") == {"g2"})
    group.mute("g2", monkeypatch)
    group.check_for(REMOVAL_TIMEOUT_SECONDS + 3 * LIVENESS_CHECK_INTERVAL_SECONDS)
    assert group.member_names("g1") == set()
    assert "g2" not in group.directory.entries
