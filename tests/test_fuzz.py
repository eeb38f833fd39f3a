"""
Stateful fuzz tests of the protocols
====================================

Hypothesis executes the platform calls of the protocols one by one, interleaves them and
injects faults, and checks invariants after each step.  ``FUZZ_EXAMPLES`` and
``FUZZ_STEPS`` set the numbers of examples and steps; ``make fuzz`` runs more of them.
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

EXAMPLE_COUNT = int(os.environ.get("FUZZ_EXAMPLES", "150"))
STEP_COUNT = int(os.environ.get("FUZZ_STEPS", "60"))
SETTINGS = settings(
    max_examples=EXAMPLE_COUNT,
    stateful_step_count=STEP_COUNT,
    derandomize="FUZZ_EXAMPLES" not in os.environ,
    deadline=None,
    database=None,
    phases=(Phase.generate, Phase.shrink),
    suppress_health_check=list(HealthCheck),
)
FAULTS = st.sampled_from([*Fault, *[Fault.NONE] * 10])
KEYS = ("order-1", "order-2")


class Attempt(msgspec.Struct, kw_only=True):
    """
    An attempt at a request with an idempotency key.

    Attributes
    ----------
    task : Task or None
        The protocol that is in progress.
    phase : str
        ``acquiring``, ``holding``, ``settling``, ``abandoning`` or ``ended``.
    version : int
        Version of the acquired claim in the store.
    execution_count : int
        How often an upstream executed the request.
    reported_not_run : bool
        Whether the caller was informed that the request was not executed.
    """

    claim: Claim
    task: Task | None
    phase: str = "acquiring"
    version: int = 0
    execution_count: int = 0
    reported_not_run: bool = False


class ClaimMachine(RuleBasedStateMachine):
    """Callers that repeat requests with the same keys through entries that crash."""

    def __init__(self) -> None:
        super().__init__()
        self.store = FaultyStore()
        self.attempts: list[Attempt] = []

    def _find_attempts(self, phase: str) -> list[Attempt]:
        return [item for item in self.attempts if item.phase == phase]

    @rule(key=st.sampled_from(KEYS), body=st.sampled_from(("x", "x", "x", "y")))
    def send_request(self, key: str, body: str) -> None:
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
    def execute_step(self, index: int, fault: Fault) -> None:
        running = [item for item in self.attempts if item.task is not None]
        attempt = running[index % len(running)]
        assert attempt.task is not None
        attempt.task.step(self.store, fault)
        if attempt.task.done:
            self._complete_task(attempt, attempt.task.result)

    def _complete_task(self, attempt: Attempt, result: object) -> None:
        attempt.task = None
        if attempt.phase == "acquiring" and isinstance(result, ClaimAcquired):
            attempt.phase, attempt.version = "holding", result.version
        elif attempt.phase == "acquiring":
            # No upstream received the request, whatever state the claim gets later.
            attempt.reported_not_run = isinstance(result, ClaimUnconfirmed)
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

    @precondition(lambda self: self._find_attempts("holding"))
    @rule(index=st.integers(0, 1000), end=st.sampled_from(("answer", "fail", "unrun")))
    def execute_request(self, index: int, end: str) -> None:
        holding = self._find_attempts("holding")
        attempt = holding[index % len(holding)]
        states = {
            "answer": ClaimState.ANSWERED,
            "fail": ClaimState.FAILED,
            "unrun": ClaimState.RELEASED,
        }
        attempt.execution_count += end != "unrun"
        attempt.reported_not_run = end == "unrun"
        attempt.claim = msgspec.structs.replace(attempt.claim, state=states[end])
        attempt.phase = "settling"
        attempt.task = Task(settle(attempt.claim, version=attempt.version))

    @precondition(lambda self: self.attempts)
    @rule(index=st.integers(0, 1000))
    def crash_entry(self, index: int) -> None:
        attempt = self.attempts[index % len(self.attempts)]
        attempt.task, attempt.phase = None, "ended"

    @precondition(lambda self: self.store.late_commits)
    @rule(index=st.integers(0, 1000))
    def apply_late_commit(self, index: int) -> None:
        self.store.apply_late_commit(index)

    @rule(key=st.sampled_from(KEYS))
    def resolve_as_executed(self, key: str) -> None:
        event = AuditEvent(id="e", at=0.0, who="op", action="resolve", subject=key)
        run(resolve(f"w/{key}", executed=True, event=event), self.store.platform)

    @invariant()
    def executes_at_most_once(self) -> None:
        execution_counts: Counter[str] = Counter()
        for attempt in self.attempts:
            execution_counts[attempt.claim.key] += attempt.execution_count
        assert all(count <= 1 for count in execution_counts.values())

    @invariant()
    def reported_not_run_is_not_executed(self) -> None:
        assert not any(
            item.reported_not_run and item.execution_count for item in self.attempts
        )

    def teardown(self) -> None:
        """
        Check that unfinished claims can be ended once the store has no faults.

        A request that was reported as not executed can then be sent again.
        """
        while self.store.late_commits:
            self.store.apply_late_commit(0)
        for attempt in self._find_attempts("abandoning"):
            assert run(abandon(attempt.claim), self.store.platform)
        for attempt in self._find_attempts("settling"):
            steps = settle(attempt.claim, version=attempt.version)
            assert run(steps, self.store.platform)


class LeaseMachine(RuleBasedStateMachine):
    """Three candidates for a lease that may be paused between any two calls."""

    def __init__(self) -> None:
        super().__init__()
        self.store = FaultyStore()
        self.clock = ManualClock()
        self.holder_by_fencing_token: dict[int, int] = {}
        self.keepers = [self._make_keeper(number) for number in range(3)]
        self.tasks: list[Task | None] = [None] * 3

    def _make_keeper(self, number: int) -> LeaseKeeper:
        def make_event(duty: str, before: str) -> AuditEvent:
            return AuditEvent(
                id=f"{number}-{self.clock.now()}", at=0.0, who="", action="", subject=""
            )

        return LeaseKeeper(
            duty="d",
            instance=InstanceId(f"e{number}"),
            incarnation=Incarnation(1),
            clock=self.clock,
            new_event=make_event,
        )

    @rule(number=st.integers(0, 2), fault=FAULTS)
    def execute_step(self, number: int, fault: Fault) -> None:
        task = self.tasks[number] or Task(self.keepers[number].poll())
        if not task.done:
            task.step(self.store, fault)
        self.tasks[number] = None if task.done else task

    @rule(number=st.integers(0, 2))
    def poll_without_faults(self, number: int) -> None:
        if self.tasks[number] is None:
            run(self.keepers[number].poll(), self.store.platform)

    @rule(seconds=st.sampled_from((0.5, 3.0, 5.0, 9.0, 16.0)))
    def advance_clock(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @precondition(lambda self: self.store.late_commits)
    @rule(index=st.integers(0, 1000))
    def apply_late_commit(self, index: int) -> None:
        self.store.apply_late_commit(index)

    @invariant()
    def has_at_most_one_holder(self) -> None:
        held = [
            (number, keeper.fencing_token)
            for number, keeper in enumerate(self.keepers)
            if keeper.fencing_token is not None
        ]
        assert len(held) <= 1, held
        for number, fencing_token in held:
            assert (
                self.holder_by_fencing_token.setdefault(fencing_token, number) == number
            )
            assert fencing_token == max(self.holder_by_fencing_token)


WORKSPACES_FILE = msgspec.json.encode(
    {
        "workspaces": [
            {"name": "w", "key_digests": [digest_key("w.k", salt="00" * 8)]},
        ]
    }
).decode()


def make_service_file(target: int) -> str:
    return msgspec.json.encode(
        {
            "service": "s",
            "kind": "plain",
            "classes": [{"name": "c", "tier": 1, "answer_ms": float(target)}],
        }
    ).decode()


class ManifestMachine(RuleBasedStateMachine):
    """Concurrent publishers, and entries that restart and may read old versions."""

    def __init__(self) -> None:
        super().__init__()
        self.store = FaultyStore()
        self.tasks: dict[str, Task] = {}
        self.results: dict[str, object] = {}
        self.holders = [ConfigurationHolder() for _ in range(2)]
        self.highest_versions = [0, 0]

    @rule()
    def start_publication(self) -> None:
        number = len(self.tasks) + 1
        publication = Publication(
            id=AttemptId(f"p{number}"),
            who="op",
            files={
                "s.damasklead.json": make_service_file(number),
                "w.damasklead.json": WORKSPACES_FILE,
            },
        )
        self.tasks[publication.id] = Task(publish(publication))

    @rule()
    def publish_without_faults(self) -> None:
        self.start_publication()
        name = f"p{len(self.tasks)}"
        while not self.tasks[name].done:
            self.tasks[name].step(self.store, Fault.NONE)
        self.results[name] = self.tasks[name].result

    @precondition(lambda self: any(not task.done for task in self.tasks.values()))
    @rule(index=st.integers(0, 1000), fault=FAULTS)
    def execute_step(self, index: int, fault: Fault) -> None:
        running = [name for name, task in self.tasks.items() if not task.done]
        name = running[index % len(running)]
        self.tasks[name].step(self.store, fault)
        if self.tasks[name].done:
            self.results[name] = self.tasks[name].result

    @precondition(lambda self: self.store.late_commits)
    @rule(index=st.integers(0, 1000))
    def apply_late_commit(self, index: int) -> None:
        self.store.apply_late_commit(index)

    @rule(number=st.integers(0, 1))
    def activate_published(self, number: int) -> None:
        row = run(read_manifest(), self.store.platform)
        if isinstance(row, Row):
            manifest = decode_manifest(row)
            files = run(fetch(manifest, texts_by_digest={}), self.store.platform)
            assert files is not None
            self.holders[number].activate_if_newer(files, version=manifest.version)

    @rule(number=st.integers(0, 1))
    def activate_from_peer(self, number: int) -> None:
        peer = self.holders[1 - number]
        self.holders[number].activate_if_newer(peer.files, version=peer.version)

    @rule(number=st.integers(0, 1))
    def restart_entry(self, number: int) -> None:
        self.holders[number] = ConfigurationHolder()
        self.highest_versions[number] = 0

    @invariant()
    def versions_never_decrease(self) -> None:
        for number, holder in enumerate(self.holders):
            assert holder.version >= self.highest_versions[number]
            self.highest_versions[number] = holder.version

    @invariant()
    def results_match_the_history(self) -> None:
        history = self._read_history()
        assert [item.version for item in history] == list(range(1, len(history) + 1))
        published = [item.publication for item in history]
        assert len(set(published)) == len(published)
        for name, result in self.results.items():
            if isinstance(result, PublishSucceeded):
                assert published[result.version - 1] == name
            if isinstance(result, PublishConflict):
                assert name not in published

    def _read_history(self) -> list:  # type: ignore[type-arg]
        rows = self.store.platform.tables.scan("configuration", prefix="history/")
        return [decode_manifest(row) for row in rows.unwrap()]


TestClaims = ClaimMachine.TestCase
TestClaims.settings = SETTINGS
TestLeases = LeaseMachine.TestCase
TestLeases.settings = SETTINGS
TestManifest = ManifestMachine.TestCase
TestManifest.settings = SETTINGS
