"""
Stateful fuzzing of the protocols
=================================

The real protocol objects, driven call by call with faults, against simple oracles.
``make fuzz`` runs longer: the profile ``long`` and the number of steps come from the
environment.
"""

import os
from collections import Counter

import msgspec
from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from damasklead.audit import AuditEvent
from damasklead.claims import (
    Claim,
    ClaimAcquired,
    ClaimState,
    ClaimUnconfirmed,
    abandon,
    acquire,
    resolve,
    settle,
)
from damasklead.clock import ManualClock
from damasklead.configuration import digest_key
from damasklead.ids import AttemptId, Incarnation, InstanceId, WorkspaceId
from damasklead.leases import LeaseKeeper
from damasklead.manifest import (
    ConfigurationHolder,
    Publication,
    PublishConflict,
    PublishSucceeded,
    decode_manifest,
    fetch,
    publish,
    read_manifest,
)
from damasklead.protocol import run
from damasklead.stores.base import Row
from tests.faulty import Fault, FaultyStore, Task

EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "150"))
STEPS = int(os.environ.get("FUZZ_STEPS", "60"))
SETTINGS = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    derandomize="FUZZ_EXAMPLES" not in os.environ,
    deadline=None,
    database=None,
    phases=(Phase.generate, Phase.shrink),
    suppress_health_check=list(HealthCheck),
)
FAULTS = st.sampled_from([*Fault, *[Fault.NONE] * 10])
KEYS = ("order-1", "order-2")


class Attempt(msgspec.Struct, kw_only=True):
    """An attempt of the claim machine."""

    claim: Claim
    task: Task | None
    phase: str = "acquiring"
    version: int = 0
    ran: int = 0
    told_not_run: bool = False


class ClaimMachine(RuleBasedStateMachine):
    """Callers that send orders again and again through entries that crash."""

    def __init__(self) -> None:
        super().__init__()
        self.store = FaultyStore()
        self.attempts: list[Attempt] = []

    def _open(self, phase: str) -> list[Attempt]:
        return [item for item in self.attempts if item.phase == phase]

    @rule(key=st.sampled_from(KEYS), body=st.sampled_from(("x", "x", "x", "y")))
    def send(self, key: str, body: str) -> None:
        claim = Claim(
            workspace=WorkspaceId("w"),
            key=key,
            attempt=AttemptId(f"a{len(self.attempts)}"),
            body_digest=body,
            holder=InstanceId("e"),
            incarnation=Incarnation(1),
        )
        self.attempts.append(Attempt(claim=claim, task=Task(acquire(claim))))

    @precondition(lambda self: any(item.task for item in self.attempts))
    @rule(index=st.integers(0, 1000), fault=FAULTS)
    def step(self, index: int, fault: Fault) -> None:
        running = [item for item in self.attempts if item.task is not None]
        attempt = running[index % len(running)]
        assert attempt.task is not None
        attempt.task.step(self.store, fault)
        if attempt.task.done:
            self._finish(attempt, attempt.task.result)

    def _finish(self, attempt: Attempt, result: object) -> None:
        attempt.task = None
        if attempt.phase == "acquiring" and isinstance(result, ClaimAcquired):
            attempt.phase, attempt.version = "holding", result.version
        elif attempt.phase == "acquiring":
            # No upstream has seen it, whatever the store says later.
            attempt.told_not_run = isinstance(result, ClaimUnconfirmed)
            attempt.phase = "ended"
            if isinstance(result, ClaimUnconfirmed) and result.maybe_written:
                attempt.phase = "abandoning"
                attempt.task = Task(abandon(attempt.claim))
        elif result is False and attempt.phase == "abandoning":
            attempt.task = Task(abandon(attempt.claim))
        elif result is False:
            attempt.task = Task(settle(attempt.claim, version=attempt.version))
        else:
            attempt.phase = "ended"

    @precondition(lambda self: self._open("holding"))
    @rule(index=st.integers(0, 1000), end=st.sampled_from(("answer", "fail", "unrun")))
    def run_order(self, index: int, end: str) -> None:
        holding = self._open("holding")
        attempt = holding[index % len(holding)]
        states = {
            "answer": ClaimState.ANSWERED,
            "fail": ClaimState.FAILED,
            "unrun": ClaimState.RELEASED,
        }
        attempt.ran += end != "unrun"
        attempt.told_not_run = end == "unrun"
        attempt.claim = msgspec.structs.replace(attempt.claim, state=states[end])
        attempt.phase = "settling"
        attempt.task = Task(settle(attempt.claim, version=attempt.version))

    @precondition(lambda self: self.attempts)
    @rule(index=st.integers(0, 1000))
    def crash(self, index: int) -> None:
        attempt = self.attempts[index % len(self.attempts)]
        attempt.task, attempt.phase = None, "ended"

    @precondition(lambda self: self.store.late_commits)
    @rule(index=st.integers(0, 1000))
    def land(self, index: int) -> None:
        self.store.apply_late_commit(index)

    @rule(key=st.sampled_from(KEYS))
    def operator_settles_what_ran(self, key: str) -> None:
        event = AuditEvent(id="e", at=0.0, who="op", action="resolve", subject=key)
        run(resolve(f"w/{key}", executed=True, event=event), self.store.platform)

    @invariant()
    def runs_at_most_once(self) -> None:
        runs: Counter[str] = Counter()
        for attempt in self.attempts:
            runs[attempt.claim.key] += attempt.ran
        assert all(count <= 1 for count in runs.values())

    @invariant()
    def not_run_is_true(self) -> None:
        assert not any(item.told_not_run and item.ran for item in self.attempts)

    def teardown(self) -> None:
        """Whoever was told not-run can have the order run once the store is well."""
        while self.store.late_commits:
            self.store.apply_late_commit(0)
        for attempt in self._open("abandoning"):
            assert run(abandon(attempt.claim), self.store.platform)
        for attempt in self._open("settling"):
            steps = settle(attempt.claim, version=attempt.version)
            assert run(steps, self.store.platform)


class LeaseMachine(RuleBasedStateMachine):
    """Three contenders that are paused between any two calls."""

    def __init__(self) -> None:
        super().__init__()
        self.store = FaultyStore()
        self.clock = ManualClock()
        self.numbers: dict[int, int] = {}
        self.keepers = [self._keeper(number) for number in range(3)]
        self.tasks: list[Task | None] = [None] * 3

    def _keeper(self, number: int) -> LeaseKeeper:
        def event(duty: str, before: str) -> AuditEvent:
            return AuditEvent(
                id=f"{number}-{self.clock.now()}", at=0.0, who="", action="", subject=""
            )

        return LeaseKeeper(
            duty="d",
            instance=InstanceId(f"e{number}"),
            incarnation=Incarnation(1),
            clock=self.clock,
            new_event=event,
        )

    @rule(number=st.integers(0, 2), fault=FAULTS)
    def step(self, number: int, fault: Fault) -> None:
        task = self.tasks[number] or Task(self.keepers[number].poll())
        if not task.done:
            task.step(self.store, fault)
        self.tasks[number] = None if task.done else task

    @rule(number=st.integers(0, 2))
    def poll_well(self, number: int) -> None:
        if self.tasks[number] is None:
            run(self.keepers[number].poll(), self.store.platform)

    @rule(seconds=st.sampled_from((0.5, 3.0, 5.0, 9.0, 16.0)))
    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @precondition(lambda self: self.store.late_commits)
    @rule(index=st.integers(0, 1000))
    def land(self, index: int) -> None:
        self.store.apply_late_commit(index)

    @invariant()
    def one_holder(self) -> None:
        held = [
            (number, keeper.fencing_token)
            for number, keeper in enumerate(self.keepers)
            if keeper.fencing_token is not None
        ]
        assert len(held) <= 1, held
        for number, fencing in held:
            assert self.numbers.setdefault(fencing, number) == number
            assert fencing == max(self.numbers)


WORKSPACES = msgspec.json.encode(
    {
        "workspaces": [
            {"name": "w", "key_digests": [digest_key("w.k", salt="00" * 8)]},
        ]
    }
).decode()


def service_file(target: int) -> str:
    return msgspec.json.encode(
        {
            "service": "s",
            "kind": "plain",
            "classes": [{"name": "c", "tier": 1, "answer_ms": float(target)}],
        }
    ).decode()


class ManifestMachine(RuleBasedStateMachine):
    """Publishers that race, and entries that restart and read old versions."""

    def __init__(self) -> None:
        super().__init__()
        self.store = FaultyStore()
        self.tasks: dict[str, Task] = {}
        self.results: dict[str, object] = {}
        self.holders = [ConfigurationHolder() for _ in range(2)]
        self.peaks = [0, 0]

    @rule()
    def begin(self) -> None:
        number = len(self.tasks) + 1
        publication = Publication(
            id=AttemptId(f"p{number}"),
            who="op",
            files={
                "s.damasklead.json": service_file(number),
                "w.damasklead.json": WORKSPACES,
            },
        )
        self.tasks[publication.id] = Task(publish(publication))

    @rule()
    def publish_at_once(self) -> None:
        self.begin()
        name = f"p{len(self.tasks)}"
        while not self.tasks[name].done:
            self.tasks[name].step(self.store, Fault.NONE)
        self.results[name] = self.tasks[name].result

    @precondition(lambda self: any(not task.done for task in self.tasks.values()))
    @rule(index=st.integers(0, 1000), fault=FAULTS)
    def step(self, index: int, fault: Fault) -> None:
        running = [name for name, task in self.tasks.items() if not task.done]
        name = running[index % len(running)]
        self.tasks[name].step(self.store, fault)
        if self.tasks[name].done:
            self.results[name] = self.tasks[name].result

    @precondition(lambda self: self.store.late_commits)
    @rule(index=st.integers(0, 1000))
    def land(self, index: int) -> None:
        self.store.apply_late_commit(index)

    @rule(number=st.integers(0, 1))
    def follow(self, number: int) -> None:
        row = run(read_manifest(), self.store.platform)
        if isinstance(row, Row):
            manifest = decode_manifest(row)
            files = run(fetch(manifest, texts_by_digest={}), self.store.platform)
            assert files is not None
            self.holders[number].activate_if_newer(files, version=manifest.version)

    @rule(number=st.integers(0, 1))
    def hear_peer(self, number: int) -> None:
        peer = self.holders[1 - number]
        self.holders[number].activate_if_newer(peer.files, version=peer.version)

    @rule(number=st.integers(0, 1))
    def restart(self, number: int) -> None:
        self.holders[number] = ConfigurationHolder()
        self.peaks[number] = 0

    @invariant()
    def versions_never_go_back(self) -> None:
        for number, holder in enumerate(self.holders):
            assert holder.version >= self.peaks[number]
            self.peaks[number] = holder.version

    @invariant()
    def results_are_true(self) -> None:
        history = self._history()
        assert [item.version for item in history] == list(range(1, len(history) + 1))
        published = [item.publication for item in history]
        assert len(set(published)) == len(published)
        for name, result in self.results.items():
            if isinstance(result, PublishSucceeded):
                assert published[result.version - 1] == name
            if isinstance(result, PublishConflict):
                assert name not in published

    def _history(self) -> list:  # type: ignore[type-arg]
        rows = self.store.platform.tables.scan("configuration", prefix="history/")
        return [decode_manifest(row) for row in rows.unwrap()]


TestClaims = ClaimMachine.TestCase
TestClaims.settings = SETTINGS
TestLeases = LeaseMachine.TestCase
TestLeases.settings = SETTINGS
TestManifest = ManifestMachine.TestCase
TestManifest.settings = SETTINGS
