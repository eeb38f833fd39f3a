"""
Slopes of the capacity page
===========================

Measures how message sizes, processor time and memory of the control plane grow with the
number of entries, replicas, workspaces, models and members, and fits a line to each.

Use: ``python -m bench.slopes``.
"""

import random
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from functools import partial

import msgspec

from damasklead.clock import ManualClock
from damasklead.configuration import (
    Configuration,
    RequestClass,
    build_configuration,
    digest_key,
)
from damasklead.cost_model import CostModel
from damasklead.dispatching import PoolDispatcher
from damasklead.findings import Findings
from damasklead.ids import (
    AttemptId,
    DataCentre,
    Fingerprint,
    Incarnation,
    InstanceId,
    PoolId,
    RequestId,
    ServiceName,
    SoftwareVersion,
    WorkspaceId,
)
from damasklead.membership import Membership
from damasklead.messages import Demand, PeerMessage, decode_message, encode_message
from damasklead.quarantine import Quarantine
from damasklead.replicas import ReplicaInfo
from damasklead.requests import Request, Start
from damasklead.sharing import Coordinator, LoadReport, choose_coordinator
from damasklead.stores.base import InstanceRecord

REPEAT_COUNT = 5
POOL = PoolId("service-00@data-centre-0")
MICROSECONDS_PER_SECOND = 1e6


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float, float]:
    """Return intercept, slope, and largest residual relative to the largest value."""
    slope, intercept = statistics.linear_regression(
        [x for x, _ in points], [y for _, y in points]
    )
    largest_value = max(abs(y) for _, y in points) or 1.0
    residual = max(abs(y - intercept - slope * x) for x, y in points) / largest_value
    return intercept, slope, residual


def print_fit(name: str, unit: str, points: Sequence[tuple[float, float]]) -> None:
    """Print the points and the line fitted to them."""
    intercept, slope, residual = fit_line(points)
    values = ", ".join(f"{x:g}: {y:.4g}" for x, y in points)
    print(f"{name} [{unit}]: {values}")
    print(
        f"    = {intercept:.4g} + {slope:.4g} x, "
        f"largest residual {100 * residual:.1f} %"
    )


def measure_microseconds(call: Callable[[], object], *, call_count: int) -> float:
    """Return the median processor time of one call in microseconds."""
    samples = []
    for _ in range(REPEAT_COUNT):
        start = time.process_time()
        for _ in range(call_count):
            call()
        samples.append(
            MICROSECONDS_PER_SECOND * (time.process_time() - start) / call_count
        )
    return statistics.median(samples)


def measure_kilobytes(make: Callable[[], object]) -> float:
    """Return the memory of a new object in kilobytes."""
    tracemalloc.start()
    created = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del created
    return size / 1024


def make_instance_id(kind: str, number: int) -> InstanceId:
    """Return an instance id of typical length."""
    return InstanceId(f"{kind}-{number:04d}")


def make_coordinator(*, entries: int, replicas: int) -> Coordinator:
    """Return a coordinator with demands of entries and load reports of replicas."""
    coordinator = Coordinator(pool=POOL, clock=ManualClock())
    coordinator.set_targets(token_gap_targets={1: 0.026, 2: 0.04}, min_shares={5: 0.02})
    for number in range(replicas):
        report = LoadReport(running=70, waiting=3, slots=96, token_gap=0.021)
        coordinator.record_report(make_instance_id("replica", number), report)
    source = random.Random(1)
    for number in range(entries):
        counts = tuple(source.randrange(5) for _ in range(5))
        demand = Demand(pool=POOL, running=counts, waiting=counts)
        coordinator.record_demand(make_instance_id("entry", number), demand)
    return coordinator


def compute_message_bytes(body: object) -> int:
    """Return the encoded size in bytes of a message between entries."""
    message = PeerMessage(
        sender=make_instance_id("entry", 1),
        incarnation=Incarnation(1_790_000_000_000),
        configuration_version=6000,
        body=(body,),  # type: ignore[arg-type]
    )
    return len(encode_message(message))


def measure_sharing() -> None:
    """Print sizes and processor times of demands and grants, and coordinator memory."""
    demand = Demand(pool=POOL, running=(1, 2, 3, 4, 5), waiting=(0, 0, 1, 2, 30))
    size = compute_message_bytes(demand)
    print(f"demand message [bytes]: {size}")
    points: list[tuple[float, float]] = []
    for replicas in (3, 7, 18, 36):
        grants = make_coordinator(entries=8, replicas=replicas).allocate_slots()
        points.append((replicas, compute_message_bytes(next(iter(grants.values())))))
    print_fit("grant message by replicas of the pool", "bytes", points)
    points = []
    for entries in (8, 36, 72, 180):
        coordinator = make_coordinator(entries=entries, replicas=7)
        points.append(
            (entries, measure_microseconds(coordinator.allocate_slots, call_count=20))
        )
    print_fit("allocation by entries, 7 replicas", "us", points)
    points = []
    for replicas in (3, 7, 18, 36):
        coordinator = make_coordinator(entries=72, replicas=replicas)
        points.append(
            (replicas, measure_microseconds(coordinator.allocate_slots, call_count=20))
        )
    print_fit("allocation by replicas, 72 entries", "us", points)
    content = encode_message(
        PeerMessage(
            sender=make_instance_id("entry", 1),
            incarnation=Incarnation(1),
            configuration_version=1,
            body=(demand,),
        )
    )
    print(
        "decode a demand [us]: "
        f"{measure_microseconds(lambda: decode_message(content), call_count=2000):.2f}"
    )
    grant = next(
        iter(make_coordinator(entries=8, replicas=7).allocate_slots().values())
    )
    microseconds = measure_microseconds(
        lambda: compute_message_bytes(grant), call_count=500
    )
    print(f"encode a grant of 7 replicas [us]: {microseconds:.2f}")
    points = []
    for entries in (8, 72, 180, 360):
        kilobytes = measure_kilobytes(
            partial(make_coordinator, entries=entries, replicas=7)
        )
        points.append((entries, kilobytes))
    print_fit("coordinator's memory by entries", "KB", points)


def make_dispatcher(
    replicas: int, clock: ManualClock
) -> tuple[PoolDispatcher, RequestClass]:
    """Return a dispatcher with a grant, and the class of its requests."""
    configuration = make_configuration(models=1, workspaces=2)
    service = configuration.services["service-00"]
    numbers = iter(range(10**9))
    dispatcher = PoolDispatcher(
        pool=POOL,
        service=service,
        clock=clock,
        data_centre=DataCentre("x"),
        random_source=random.Random(1),
        costs=CostModel(),
        quarantine=Quarantine(clock=clock),
        new_attempt_id=lambda: AttemptId(str(next(numbers))),
    )
    infos = [
        ReplicaInfo(
            instance=make_instance_id("replica", n),
            data_centre=DataCentre("x"),
            version=SoftwareVersion("1"),
        )
        for n in range(replicas)
    ]
    dispatcher.set_replicas(infos, entry_count=72)
    grants = make_coordinator(entries=8, replicas=replicas).allocate_slots()
    dispatcher.apply_grant(next(iter(grants.values())))
    return dispatcher, service.classes[0]


def measure_decisions() -> None:
    """Print the processor time of one request's decisions and of applying a grant."""
    points: list[tuple[float, float]] = []
    grants: list[tuple[float, float]] = []
    for replicas in (3, 7, 18, 36):
        clock = ManualClock()
        dispatcher, request_class = make_dispatcher(replicas, clock)
        numbers = iter(range(10**9))

        def handle_request(
            dispatcher: PoolDispatcher = dispatcher,
            request_class: RequestClass = request_class,
            clock: ManualClock = clock,
            numbers: object = numbers,
        ) -> None:
            number = next(numbers)  # type: ignore[call-overload]
            request = Request(
                id=RequestId(str(number)),
                workspace=WorkspaceId(f"w{number % 280}"),
                request_class=request_class,
                arrival=clock.now(),
                prefix=f"p{number % 50}",
                fingerprint=Fingerprint(str(number)),
            )
            (start,) = dispatcher.submit_request(request)
            assert isinstance(start, Start)
            dispatcher.record_events(start.attempt, event_count=300)
            dispatcher.complete_attempt(start.attempt)
            clock.advance(0.01)

        points.append((replicas, measure_microseconds(handle_request, call_count=300)))
        grant = next(
            iter(
                make_coordinator(entries=8, replicas=replicas).allocate_slots().values()
            )
        )
        grants.append(
            (
                replicas,
                measure_microseconds(
                    partial(dispatcher.apply_grant, grant), call_count=300
                ),
            )
        )
    print_fit("decisions about a request by replicas of the pool", "us", points)
    print_fit("taking a grant by replicas of the pool", "us", grants)


def measure_timeouts() -> None:
    """Print the processor time of a check of timeouts by the running requests."""
    points: list[tuple[float, float]] = []
    for running in (1, 7, 20, 60):
        clock = ManualClock()
        dispatcher, request_class = make_dispatcher(7, clock)
        for number in range(running):
            request = Request(
                id=RequestId(str(number)),
                workspace=WorkspaceId("w"),
                request_class=request_class,
                arrival=clock.now(),
            )
            dispatcher.submit_request(request)
        points.append(
            (running, measure_microseconds(dispatcher.process_timeouts, call_count=500))
        )
    print_fit("a pool's tick by its running requests", "us", points)


def make_files(*, models: int, workspaces: int) -> dict[str, str]:
    """Return the files of a configuration with five tiers for each model."""
    files = {}
    for number in range(models):
        classes = [
            {
                "name": f"class-{tier}",
                "tier": tier,
                "first_token_ms": 340.0,
                "token_gap_ms": 26.0,
            }
            for tier in range(1, 6)
        ]
        document = {
            "service": f"service-{number:02d}",
            "kind": "engine",
            "models": [f"model-{number:02d}"],
            "classes": classes,
        }
        files[f"s{number}.damasklead.json"] = msgspec.json.encode(document).decode()
    entries = [
        {
            "name": f"workspace-{n:03d}",
            "key_digests": [digest_key(f"workspace-{n:03d}.k", salt="00" * 8)],
        }
        for n in range(workspaces)
    ]
    files["w.damasklead.json"] = msgspec.json.encode({"workspaces": entries}).decode()
    return files


def make_configuration(*, models: int, workspaces: int) -> Configuration:
    """Return a configuration with these numbers of models and workspaces."""
    files = make_files(models=models, workspaces=workspaces)
    configuration = build_configuration(files, version=1, findings=Findings())
    assert configuration is not None
    return configuration


def measure_configuration() -> None:
    """Print processor time, memory and file size of a configuration."""
    points: list[tuple[float, float]] = []
    memory: list[tuple[float, float]] = []
    sizes: list[tuple[float, float]] = []
    for workspaces in (10, 100, 280):
        files = make_files(models=31, workspaces=workspaces)
        microseconds = measure_microseconds(
            partial(build_configuration, files, version=1, findings=Findings()),
            call_count=1,
        )
        points.append((workspaces, microseconds / 1000))
        kilobytes = measure_kilobytes(
            partial(make_configuration, models=31, workspaces=workspaces)
        )
        memory.append((workspaces, kilobytes))
        sizes.append((workspaces, sum(map(len, files.values())) / 1024))
    print_fit("check of a configuration of 31 models by workspaces", "ms", points)
    print_fit("a configuration's memory by workspaces", "KB", memory)
    print_fit("a configuration's files by workspaces", "KB", sizes)
    configuration = make_configuration(models=31, workspaces=280)
    microseconds = measure_microseconds(
        lambda: configuration.authenticate("workspace-100.k"), call_count=500
    )
    print(f"authentication among 280 workspaces [us]: {microseconds:.2f}")


def measure_members() -> None:
    """Print time and memory of the membership, and the time to choose a coordinator."""
    points: list[tuple[float, float]] = []
    memory: list[tuple[float, float]] = []
    choices: list[tuple[float, float]] = []
    for members in (30, 365, 1460):
        records = tuple(
            InstanceRecord(
                instance=make_instance_id("member", n),
                incarnation=Incarnation(1),
                service=ServiceName(f"service-{n % 31:02d}"),
                address="10.0.0.1:8080",
                data_centre=DataCentre("x"),
                region="r",
            )
            for n in range(members)
        )
        membership = Membership(clock=ManualClock())
        membership.merge_list(records)
        microseconds = measure_microseconds(
            partial(membership.merge_list, records), call_count=3
        )
        points.append((members, microseconds / 1000))

        def make_membership(
            records: tuple[InstanceRecord, ...] = records,
        ) -> Membership:
            membership = Membership(clock=ManualClock())
            membership.merge_list(records)
            return membership

        memory.append((members, measure_kilobytes(make_membership)))
    for entries in (8, 72, 360):
        names = [make_instance_id("entry", n) for n in range(entries)]
        choices.append(
            (
                entries,
                measure_microseconds(
                    partial(choose_coordinator, POOL, names), call_count=50
                ),
            )
        )
    print_fit("merging the instance list by members", "ms", points)
    print_fit("membership's memory by members", "KB", memory)
    print_fit("choice of a pool's coordinator by entries", "us", choices)


def main() -> None:
    """Run all measurements and print the results."""
    measure_sharing()
    measure_decisions()
    measure_timeouts()
    measure_configuration()
    measure_members()


if __name__ == "__main__":
    main()
