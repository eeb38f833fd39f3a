"""
Test kit of duties
==================

A fleet of gateways in one thread: duties, a store, the platform's API and datagrams, on
a clock that the test advances.  Failures are injected by attributes.
"""

import random
from collections.abc import Callable
from typing import Any, cast

import msgspec
from result import Err, Result

from damasklead.clock import ManualClock
from damasklead.gateway.dialect import PeerEntry
from damasklead.gateway.duties.base import (
    ApiError,
    ApiFault,
    CallIdentity,
    DutyName,
    PlatformApi,
    UsageReport,
)
from damasklead.gateway.duties.service import Duties
from damasklead.gateway.journal import Journal
from damasklead.gateway.peers import Peers
from damasklead.gateway.settings import DutyBounds
from damasklead.ids import (
    DataCentre,
    Incarnation,
    InstanceId,
    ServiceName,
    StoreEra,
    WorkspaceId,
)
from damasklead.stores.base import (
    Commit,
    Committed,
    Conflict,
    Row,
    StoreError,
    TableService,
)
from damasklead.stores.memory import Faults, MemoryTableService

STEP_SECONDS = 0.05
STEPS_PER_PERFORM = 5
STEPS_PER_COUNTS = 6
UNIX_START = 1_767_225_600.0
BOUNDS = DutyBounds()
API_TIMEOUT_SECONDS = 1.2
# Sends are not counted for this long after a freeze or a partition ends.
GRACE_SECONDS = 0.3


class SimCall(msgspec.Struct, kw_only=True):
    """A call that took effect at the API."""

    at: float
    holder: tuple[str, int]
    token: int
    window: int
    counts: dict[WorkspaceId, int]


class SimTables(TableService):
    """
    One gateway's link to the common tables.

    Attributes
    ----------
    is_cut : bool
        Whether the store rejects this gateway's calls.
    loses_responses : bool
        Whether commits take effect without a response.
    delays_commits : float
        Seconds after which commits take effect, without a response.
    """

    def __init__(self, world: "World") -> None:
        self._world = world
        self._era = StoreEra(0)
        self.is_cut = False
        self.loses_responses = False
        self.delays_commits = 0.0

    @property
    def era(self) -> StoreEra:
        return self._era

    def read(
        self, table: str, keys: tuple[str, ...]
    ) -> Result[tuple[Row, ...], StoreError]:
        self._world.store_calls += 1
        if self.is_cut or self._world.store_is_down:
            return Err(StoreError.UNAVAILABLE)
        self._era = self._world.tables.era
        return self._world.tables.read(table, keys)

    def scan(
        self, table: str, *, prefix: str = "", after: str = "", limit: int = 100
    ) -> Result[tuple[Row, ...], StoreError]:
        raise NotImplementedError

    def commit(self, commit: Commit) -> Result[Committed | Conflict, StoreError]:
        world = self._world
        world.store_calls += 1
        if self.is_cut or world.store_is_down:
            return Err(StoreError.UNKNOWN)
        if self.delays_commits:
            at = world.clock.now() + self.delays_commits
            world.schedule(at, lambda: world.tables.commit(commit))
            return Err(StoreError.UNKNOWN)
        result = world.tables.commit(commit)
        if self.loses_responses:
            return Err(StoreError.UNKNOWN)
        self._era = world.tables.era
        return result


class SimApi(PlatformApi):
    """
    One gateway's link to the API.

    Attributes
    ----------
    is_cut : bool
        Whether calls don't arrive.
    loses_responses : bool
        Whether calls take effect without a response.
    delay : float
        Seconds after which calls take effect, without a response.
    """

    def __init__(self, world: "World", holder: tuple[str, int]) -> None:
        self._world = world
        self._holder = holder
        self.is_cut = False
        self.loses_responses = False
        self.delay = 0.0

    @property
    def timeout_seconds(self) -> float:
        return API_TIMEOUT_SECONDS

    def report_usage(
        self,
        report: UsageReport,
        *,
        identity: CallIdentity,
        may_send: Callable[[float], bool],
    ) -> None:
        world = self._world
        if self.is_cut:
            raise ApiError(ApiFault.UNREACHABLE, "cut")
        if world.api_fault is not None:
            raise ApiError(world.api_fault, "injected")
        if not may_send(API_TIMEOUT_SECONDS):
            raise ApiError(ApiFault.UNREACHABLE, "not sent")
        at = world.clock.now() + self.delay

        def take_effect() -> None:
            world.calls.append(
                SimCall(
                    at=at,
                    holder=self._holder,
                    token=identity.token,
                    window=report.window,
                    counts=dict(report.counts),
                )
            )

        if self.delay:
            world.schedule(at, take_effect)
            raise ApiError(ApiFault.UNREACHABLE, "slow")
        take_effect()
        if self.loses_responses:
            raise ApiError(ApiFault.UNREACHABLE, "response lost")

    def order_replicas(
        self,
        service: ServiceName,
        data_centre: DataCentre,
        *,
        count: int,
        preemptible: bool,
        identity: CallIdentity,
        may_send: Callable[[float], bool],
    ) -> None:
        raise NotImplementedError


class SimPeers:
    """One gateway's datagrams."""

    def __init__(self, world: "World", entry: PeerEntry) -> None:
        self._world = world
        self._entry = entry
        self._handlers: dict[type, Callable[[Any, str], None]] = {}
        self._heard_at: dict[str, float] = {}
        self.queue: list[tuple[object, str]] = []

    @property
    def is_discovery_complete(self) -> bool:
        return True

    @property
    def members(self) -> list[PeerEntry]:
        return [
            entry
            for name, entry in self._world.entries.items()
            if name != self._entry.instance
        ]

    def get_silence(self, name: str) -> float:
        return self._world.clock.now() - self._heard_at.get(name, -1e9)

    def register_handler(
        self,
        message_type: type,
        handler: Callable[[Any, str], None],
        *,
        accepts_leaving: bool = False,
    ) -> None:
        self._handlers[message_type] = handler

    def send(self, name: str, message: object) -> None:
        if name in self._world.entries:
            self._world.deliver(self._entry.instance, name, message)

    def send_all(self, message: object) -> None:
        for entry in self.members:
            self._world.deliver(self._entry.instance, entry.instance, message)

    def handle_queue(self) -> None:
        """Handle the messages that have arrived."""
        messages, self.queue = self.queue, []
        for message, sender in messages:
            self._heard_at[sender] = self._world.clock.now()
            self._handlers[type(message)](message, sender)


class SimGateway:
    """
    One gateway.

    Attributes
    ----------
    clock_error : float
        Seconds by which its wall clock is ahead.
    is_frozen : bool
    catches_errors : bool
        Whether the lease's task may meet a row that it can't handle.
    """

    def __init__(self, world: "World", name: str, *, incarnation: int) -> None:
        self._world = world
        self.name = name
        self.holder = (name, incarnation)
        self.clock_error = 0.0
        self.is_frozen = False
        self.catches_errors = False
        self.is_leaving = False
        self.entry = world.entries.setdefault(
            name,
            PeerEntry(
                instance=InstanceId(name),
                address="127.0.0.1:1",
                incarnation=incarnation,
                data_centre=DataCentre(f"dc-{int(name.split('-')[1]) % 3}"),
            ),
        )
        self.tables = SimTables(world)
        self.api = SimApi(world, self.holder)
        self.peers = SimPeers(world, self.entry)
        self.journal = Journal(instance=name)
        self.duties = Duties(
            names={DutyName.USAGE_REPORT},
            bounds=BOUNDS,
            calls_per_second=50.0,
            api=lambda: self.api,
            tables=lambda: self.tables,
            get_era=lambda: StoreEra(0),
            peers=cast(Peers, self.peers),
            instance=InstanceId(name),
            incarnation=Incarnation(incarnation),
            data_centre=self.entry.data_centre,
            cores=1.0,
            clock=world.clock,
            get_unix_time=lambda: world.unix_time + self.clock_error,
            journal=self.journal,
        )

    def step(self, number: int) -> None:
        """Do what is due in one step of the clock."""
        if self.is_frozen:
            return
        self.peers.handle_queue()
        try:
            self.duties.poll_lease()
        except Exception:
            # The lease's task logs it and goes on.
            if not self.catches_errors:
                raise
        if number % STEPS_PER_PERFORM == 0:
            self.duties.perform_duties()
        if number % self._world.steps_per_counts == 0:
            self.duties.send_counts()

    def execute(self, workspace: str) -> None:
        """Have a replica begin to execute a request."""
        self._world.record_truth(workspace)
        self.duties.record_execution(WorkspaceId(workspace))


class World:
    """
    The fleet and its surroundings.

    Attributes
    ----------
    calls : list of SimCall
        Calls that took effect.
    store_calls : int
        Calls of the store by all gateways.
    steps_per_counts : int
        Steps between two messages with counts.
    store_is_down : bool
    api_fault : ApiFault or None
        Fault of all calls of the API.
    loss : float
        Share of the datagrams that are lost.
    cut_pairs : set
        Pairs of gateways without datagrams.
    """

    def __init__(self, *, count: int = 6, seed: int = 1, start: float = 1000.0) -> None:
        self.clock = ManualClock(start=start)
        self.random = random.Random(seed)
        random.seed(seed)
        self.tables = MemoryTableService(faults=Faults())
        # The store of a platform begins with era 1.
        self.tables.restore_backup(self.tables.make_backup())
        self.entries: dict[str, PeerEntry] = {}
        self.calls: list[SimCall] = []
        self.store_calls = 0
        self.steps_per_counts = STEPS_PER_COUNTS
        self.store_is_down = False
        self.api_fault: ApiFault | None = None
        self.loss = 0.0
        self.cut_pairs: set[frozenset[str]] = set()
        self.truth: dict[int, dict[str, int]] = {}
        self._events: list[tuple[float, Callable[[], object]]] = []
        self._step = 0
        self._incarnation = 0
        self.gateways: dict[str, SimGateway] = {}
        for number in range(count):
            self.start(f"gw-{number}")

    @property
    def unix_time(self) -> float:
        """The true time."""
        return UNIX_START + self.clock.now()

    @property
    def holders(self) -> list[SimGateway]:
        """The gateways that hold the lease by their own judgement."""
        return [item for item in self.gateways.values() if item.duties.is_holder]

    @property
    def holder(self) -> SimGateway:
        """The only holder."""
        (holder,) = self.holders
        return holder

    def start(self, name: str) -> SimGateway:
        """Start a gateway, possibly again."""
        self._incarnation += 1
        gateway = SimGateway(self, name, incarnation=self._incarnation)
        self.gateways[name] = gateway
        return gateway

    def kill(self, gateway: SimGateway) -> None:
        """End a gateway; the others still list it."""
        del self.gateways[gateway.name]

    def stop(self, gateway: SimGateway) -> None:
        """Stop a gateway in turn, as on SIGTERM."""
        self.entries.pop(gateway.name)
        gateway.duties.release()

    def schedule(self, at: float, action: Callable[[], object]) -> None:
        """Do something at a later time."""
        self._events.append((at, action))

    def deliver(self, sender: str, receiver: str, message: object) -> None:
        """Deliver a datagram in the receiver's next step."""
        gateway = self.gateways.get(receiver)
        is_cut = frozenset((sender, receiver)) in self.cut_pairs
        if gateway is None or is_cut or self.random.random() < self.loss:
            return
        gateway.peers.queue.append((message, sender))

    def record_truth(self, workspace: str) -> None:
        """Count a request in the window of true time."""
        window = int(self.unix_time // BOUNDS.usage_window_seconds)
        counts = self.truth.setdefault(window, {})
        counts[workspace] = counts.get(workspace, 0) + 1

    def run(self, seconds: float, *, rate: float = 20.0) -> None:
        """
        Let time pass.

        Parameters
        ----------
        seconds : float
        rate : float
            Requests per second of each gateway.
        """
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            self._step += 1
            now = self.clock.now()
            due = [item for item in self._events if item[0] <= now]
            self._events = [item for item in self._events if item[0] > now]
            for _, action in sorted(due, key=lambda item: item[0]):
                action()
            for gateway in list(self.gateways.values()):
                # Gateways act at different moments.
                gateway.step(self._step + gateway.holder[1])
                requests = rate * STEP_SECONDS
                if not gateway.is_frozen and self.random.random() < requests:
                    gateway.execute(self.random.choice(("skippers", "bakers")))

    def check_safety(self) -> None:
        """Check that no rule on reports, tokens and holders was broken."""
        reported: dict[int, dict[WorkspaceId, int]] = {}
        owners: dict[int, tuple[str, int]] = {}
        highest_token = 0
        for call in self.calls:
            assert reported.setdefault(call.window, call.counts) == call.counts, (
                f"window {call.window} was reported with different counts"
            )
            assert owners.setdefault(call.token, call.holder) == call.holder
            assert call.token >= highest_token, "a token decreased"
            highest_token = call.token
        for index, call in enumerate(self.calls):
            for other_index in range(index - 1, -1, -1):
                other = self.calls[other_index]
                if call.at - other.at > BOUNDS.handover_seconds:
                    break
                if other.holder == call.holder:
                    between = self.calls[other_index + 1 : index]
                    assert all(item.holder == call.holder for item in between), (
                        f"{call.holder} acted again after another holder"
                    )

    def list_failures(
        self, *, since: float, until: float, tolerance: float = 0.05
    ) -> list[str]:
        """
        Return what is wrong with the reports of the windows between two times.

        Parameters
        ----------
        since, until : float
            Clock's times; only windows that begin and end between them are checked.
        tolerance : float
            Largest error of the counts.
        """
        length = BOUNDS.usage_window_seconds
        first = int((UNIX_START + since) // length) + 1
        last = int((UNIX_START + until) // length) - 1
        failures = []
        for window in range(first, last + 1):
            calls = [call for call in self.calls if call.window == window]
            if not calls:
                failures.append(f"window {window}: no report")
                continue
            lateness = UNIX_START + calls[0].at - (window + 1) * length
            if lateness > BOUNDS.usage_delay_seconds:
                failures.append(f"window {window}: {lateness:.2f} s late")
            truth = self.truth.get(window, {})
            for workspace, count in truth.items():
                reported = calls[0].counts.get(WorkspaceId(workspace), 0)
                if abs(reported - count) > tolerance * count:
                    failures.append(
                        f"window {window}: {workspace} {reported} of {count}"
                    )
        return failures
