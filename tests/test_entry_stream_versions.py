"""
Tests of responses that entries move, and upstreams of several software versions
================================================================================

What two versions generate doesn't fit together, so that a response of which the caller
has a part goes on at its version or ends.
"""

import pytest

from damasklead.failures import Failure
from damasklead.ids import UNKNOWN_VERSION, DataCentre, InstanceId, SoftwareVersion
from damasklead.replicas import ReplicaInfo
from damasklead.requests import Action, Reason, Refuse, Start
from tests.test_dispatching import DispatcherHarness, find_start

VERSIONS = {"r1": "v1", "r2": "v2", "r3": "v1", "r4": UNKNOWN_VERSION, "r5": ""}


class VersionHarness(DispatcherHarness):
    """A dispatcher whose replicas have several versions."""

    def list_replicas(self, *names: str) -> list[Action]:
        infos = [
            ReplicaInfo(
                instance=InstanceId(name),
                data_centre=DataCentre("x"),
                version=SoftwareVersion(VERSIONS[name]),
            )
            for name in names
        ]
        return self.dispatcher.set_replicas(infos, entry_count=1)

    def begin_at(self, name: str, *, events: int = 3) -> Start:
        """Start a request at a replica, which sends some events."""
        self.list_replicas(name)
        start = find_start(self.submit_request(3))
        assert start.replica == name
        self.dispatcher.record_events(start.attempt, event_count=events)
        return start

    def fail(self, start: Start) -> list[Action]:
        return self.dispatcher.fail_attempt(start.attempt, Failure.BROKEN)


@pytest.fixture
def harness() -> VersionHarness:
    return VersionHarness()


def find_refusal(actions: list[Action]) -> Refuse:
    (refusal,) = [action for action in actions if isinstance(action, Refuse)]
    return refusal


def test_a_response_goes_on_at_its_version(harness: VersionHarness) -> None:
    start = harness.begin_at("r1")
    harness.list_replicas("r1", "r2", "r3")
    assert find_start(harness.fail(start)).replica == "r3"


@pytest.mark.parametrize("others", [["r2"], ["r4"], ["r2", "r4"], []])
def test_a_response_whose_version_is_gone_ends(
    harness: VersionHarness, others: list[str]
) -> None:
    start = harness.begin_at("r1")
    harness.list_replicas(*others)
    assert find_refusal(harness.fail(start)).reason is Reason.UPSTREAM_FAILED


def test_unknown_versions_do_not_continue_each_other(harness: VersionHarness) -> None:
    start = harness.begin_at("r4")
    harness.list_replicas("r4", "r5")
    assert find_refusal(harness.fail(start)).reason is Reason.UPSTREAM_FAILED


def test_a_request_without_an_event_goes_on_at_any_version(
    harness: VersionHarness,
) -> None:
    harness.list_replicas("r1")
    start = find_start(harness.submit_request(3))
    harness.list_replicas("r1", "r2")
    assert find_start(harness.fail(start)).replica == "r2"


def test_a_queued_response_ends_when_its_version_leaves(
    harness: VersionHarness,
) -> None:
    start = harness.begin_at("r1")
    harness.list_replicas("r1", "r2")
    # r1 gets no requests for a while, so that the request waits for it.
    actions = harness.fail(start)
    assert not [item for item in actions if isinstance(item, (Start, Refuse))]
    refusal = find_refusal(harness.list_replicas("r2"))
    assert refusal.request is start.request


def test_a_response_that_waits_for_its_version_delays_no_others(
    harness: VersionHarness,
) -> None:
    start = harness.begin_at("r1")
    harness.list_replicas("r1", "r2")
    harness.fail(start)
    assert find_start(harness.submit_request(3)).replica == "r2"


def test_a_response_goes_on_when_its_version_comes_back(
    harness: VersionHarness,
) -> None:
    start = harness.begin_at("r1")
    harness.list_replicas("r1", "r2")
    harness.fail(start)
    restarted = find_start(harness.list_replicas("r2", "r3"))
    assert restarted.replica == "r3" and restarted.request is start.request
