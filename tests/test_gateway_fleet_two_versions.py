"""
Gateways of two versions beside each other
==========================================

Machines are upgraded one after the other, so that the version of the landing before and
this one exchange messages and rows, and open connections for each other.
"""

import io
import signal
import subprocess
import tarfile
import time
from collections.abc import Iterator
from pathlib import Path

import gevent
import pytest

from soak.partition import PartitionKind
from soak.proxy import NetworkFault
from soak.site import Cluster
from tests.gateway_kit import wait_until
from tests.test_gateway_fleet_partitions import (
    COUNTED_SECONDS,
    STABLE_SECONDS,
    PartitionedFleet,
)
from tests.test_gateway_fleet_valid_requests import (
    APPLY_SECONDS,
    REJECTIONS,
    ROUTE_COUNT,
    Fleet,
    publish_often,
)

# The landing before this one.
PREVIOUS_VERSION = "a6e36bb"
ROOT = Path(__file__).parent.parent
# Events that say that a message or row of another gateway was not understood.
MISUNDERSTANDINGS = (
    "event=peer-message-unreadable",
    "event=peer-message-failed",
    "event=origin-not-read",
    "event=origins-not-written",
    'cause="invalid snapshot',
    "Traceback",
)
MIXED_COUNT = 4  # gateways of both versions together, half of each
CHANGE_COUNT = 5
CHANGE_INTERVAL_SECONDS = 0.3
FAULTS = [NetworkFault.RESET, NetworkFault.STALL, NetworkFault.REJECT_UNAVAILABLE]


@pytest.fixture(scope="module")
def previous_folder(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The source code of the version before."""
    archive = subprocess.run(
        ["git", "archive", PREVIOUS_VERSION, "damasklead", "soak", "tests"],
        cwd=ROOT, check=True, capture_output=True,
    ).stdout  # fmt: skip
    folder = tmp_path_factory.mktemp("previous")
    with tarfile.open(fileobj=io.BytesIO(archive)) as files:
        files.extractall(folder, filter="data")
    return folder


@pytest.fixture(params=["newer", "older"])
def fleet(
    request: pytest.FixtureRequest, tmp_path: Path, previous_folder: Path
) -> Iterator[PartitionedFleet]:
    """Two gateways of one version, and three of the other."""
    created_fleet = PartitionedFleet(tmp_path)
    names = created_fleet.names
    older = names[2:] if request.param == "newer" else names[:2]
    try:
        created_fleet.start(source_folders=dict.fromkeys(older, previous_folder))
        yield created_fleet
    finally:
        created_fleet.stop()


def check_understood(fleet: PartitionedFleet) -> None:
    check_no_misunderstanding(fleet.cluster)
    for name in fleet.names:
        for other in fleet.names:
            if other != name:
                lines = fleet.cluster.find_log_lines(f'peer="{other}"')
                assert any(f'at="{name}"' in line for line in lines)


def check_no_misunderstanding(cluster: Cluster) -> None:
    for event in MISUNDERSTANDINGS:
        assert not cluster.find_log_lines(event)


def test_both_versions_follow_changes_and_help_each_other(
    fleet: PartitionedFleet,
) -> None:
    cut, others = fleet.names[:2], fleet.names[2:]
    # Only the three of the other version can open connections for them.
    fleet.cut(cut, PartitionKind.SILENT)
    gevent.sleep(STABLE_SECONDS)
    since = time.monotonic()
    fleet.cluster.publish_configuration()
    version = fleet.cluster.next_version - 1
    gevent.sleep(COUNTED_SECONDS)
    until = time.monotonic()
    fleet.cut(cut, PartitionKind.NONE)
    fleet.stop_callers()
    fleet.check_fairness(cut, others, since, until)
    fleet.check_guarantees()
    lines = fleet.cluster.find_log_lines(f"event=configuration version={version}")
    lines = lines or fleet.cluster.find_log_lines("event=configuration ")
    for name in fleet.names:
        assert any(
            f'at="{name}"' in line and f"version={version}" in line for line in lines
        )
    check_understood(fleet)


@pytest.mark.parametrize("fleet", ["newer"], indirect=True)
def test_older_gateways_tell_newer_ones_that_replicas_answer(
    fleet: PartitionedFleet,
) -> None:
    """The connections of the newer ones open, and lead nowhere."""
    cut, others = fleet.names[:2], fleet.names[2:]
    fleet.cut(cut, PartitionKind.SILENT, is_accepting=True)
    gevent.sleep(STABLE_SECONDS)
    since = time.monotonic()
    gevent.sleep(COUNTED_SECONDS)
    until = time.monotonic()
    fleet.cut(cut, PartitionKind.NONE)
    fleet.stop_callers()
    fleet.check_fairness(cut, others, since, until)
    fleet.check_guarantees()
    check_understood(fleet)


def test_gateways_change_to_the_other_version_one_after_the_other(
    fleet: PartitionedFleet, previous_folder: Path
) -> None:
    cluster = fleet.cluster
    since = time.monotonic()
    for name in fleet.names:
        cluster.send_signal(name, signal.SIGTERM)
        wait_until(lambda own=name: not cluster.is_running(own), seconds=12)  # type: ignore[misc]
        if name in cluster.source_folders:
            del cluster.source_folders[name]
        else:
            cluster.source_folders[name] = previous_folder
        cluster.start_gateway(name)
        wait_until(
            lambda own=name: own in cluster.list_ready_gateways(),  # type: ignore[misc]
            seconds=15,
        )
    until = time.monotonic()
    gevent.sleep(1.0)
    fleet.stop_callers()
    served, tries = fleet.count_first_tries(fleet.names, since, until)
    print(f"{served} of {tries}")
    assert tries and served >= 0.9 * tries
    fleet.check_guarantees()
    check_understood(fleet)


class MixedFleet(Fleet):
    """
    Gateways of both versions, and configurations that are too long for a broadcast.

    Attributes
    ----------
    older, newer : list of str
        Names of the gateways of the version before, and of this one.
    """

    def __init__(self, folder: Path, *, previous_folder: Path) -> None:
        super().__init__(folder, gateway_count=MIXED_COUNT)
        self.older = self.names[::2]
        self.newer = self.names[1::2]
        self.cluster.source_folders = dict.fromkeys(self.older, previous_folder)
        self.set_route_count(ROUTE_COUNT)

    def turn_away(self, names: list[str], fault: NetworkFault) -> None:
        """Let the store turn some gateways away."""
        for name in names:
            self.cluster.store_proxies[name].set_fault(fault)

    def list_gateways_at(self, version: int) -> set[str]:
        """Return the names of the gateways that have had a version in force."""
        lines = self.cluster.find_log_lines(f" version={version} ")
        return {
            line.partition(":")[0] for line in lines if "event=configuration" in line
        }

    def check_replicas(self, names: list[str], changes: list[str]) -> None:
        """Check that some gateways have logged changes of replicas."""
        for name in names:
            lines = [
                line
                for line in self.cluster.find_log_lines("event=replicas ")
                if line.startswith(f"{name}:")
            ]
            for change in changes:
                assert any(change in line for line in lines), (name, change)

    def check_all_versions_served(self, names: list[str], since: int) -> None:
        """Check the requests for what all versions have, from one on."""
        observed = [
            item
            for item in self.observations[since:]
            if item.gateway in names and item.age == float("inf")
        ]
        assert not [item for item in observed if item.status in REJECTIONS]
        served = {item.gateway for item in observed if item.status == 200}
        assert served == set(names)


@pytest.fixture
def mixed_fleet(tmp_path: Path, previous_folder: Path) -> Iterator[MixedFleet]:
    created_fleet = MixedFleet(tmp_path, previous_folder=previous_folder)
    try:
        created_fleet.start_all()
        created_fleet.wait_until_ready()
        created_fleet.publish()
        created_fleet.start_callers()
        gevent.sleep(APPLY_SECONDS)
        yield created_fleet
    finally:
        created_fleet.stop()


def change_replicas(fleet: MixedFleet) -> list[str]:
    """Add a replica and let one drain; return what gateways log of it."""
    added = fleet.cluster.add_replica()
    fleet.cluster.write_replica_entry("replica-1", state="draining")
    return [f"{added.name} live", "replica-1 leaving"]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.value)
def test_newer_gateways_that_the_store_turns_away_lag_behind_older_ones(
    mixed_fleet: MixedFleet, fault: NetworkFault
) -> None:
    """Gateways of the version before send full snapshots, which aren't compressed."""
    mixed_fleet.turn_away(mixed_fleet.newer, fault)
    publish_often(mixed_fleet, CHANGE_COUNT, CHANGE_INTERVAL_SECONDS)
    changes = change_replicas(mixed_fleet)
    gevent.sleep(APPLY_SECONDS + 1.0)
    mixed_fleet.check_added()
    mixed_fleet.check_replicas(mixed_fleet.names, changes)
    version = mixed_fleet.cluster.next_version - 1
    assert mixed_fleet.list_gateways_at(version) == set(mixed_fleet.names)
    caught_up = mixed_fleet.cluster.find_log_lines("event=caught-up")
    sources = {
        name
        for name in mixed_fleet.older
        if any(f'peer="{name}"' in line for line in caught_up)
    }
    assert sources
    check_no_misunderstanding(mixed_fleet.cluster)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.value)
def test_older_gateways_that_the_store_turns_away_lose_what_they_got_before(
    mixed_fleet: MixedFleet, fault: NetworkFault
) -> None:
    """
    They get replicas by broadcasts, the configuration at a start from other gateways,
    and the newest one as soon as the store serves them again.
    """
    cluster, older = mixed_fleet.cluster, mixed_fleet.older
    mixed_fleet.turn_away(older, fault)
    publish_often(mixed_fleet, CHANGE_COUNT, CHANGE_INTERVAL_SECONDS)
    changes = change_replicas(mixed_fleet)
    gevent.sleep(APPLY_SECONDS)
    mixed_fleet.check_replicas(mixed_fleet.names, changes)
    version = cluster.next_version - 1
    assert mixed_fleet.list_gateways_at(version) >= set(mixed_fleet.newer)
    # Both at once, since a start takes the snapshot of any gateway.
    for name in older:
        cluster.send_signal(name, signal.SIGKILL)
    wait_until(lambda: not any(map(cluster.is_running, older)), seconds=5)
    for name in older:
        cluster.start_gateway(name)
    wait_until(
        lambda: mixed_fleet.list_gateways_at(version) == set(mixed_fleet.names),
        seconds=15,
    )
    mixed_fleet.turn_away(older, NetworkFault.NONE)
    version = cluster.next_version
    mixed_fleet.publish()
    gevent.sleep(APPLY_SECONDS)
    assert mixed_fleet.list_gateways_at(version) == set(mixed_fleet.names)
    since = len(mixed_fleet.observations)
    gevent.sleep(1.0)
    mixed_fleet.check_all_versions_served(mixed_fleet.names, 0)
    mixed_fleet.check_all_versions_served(mixed_fleet.names, since)
    late = [
        item
        for item in mixed_fleet.observations[since:]
        if item.age > APPLY_SECONDS and item.status in REJECTIONS
    ]
    assert not late
    check_no_misunderstanding(cluster)
