"""
End-to-end tests with processes
===============================

Entries, engines, a plain service and the platform run as separate processes, which are
killed, paused and disconnected from the platform.
"""

import signal
from collections import Counter
from collections.abc import Iterator

import gevent
import msgspec
import pytest

from damasklead.demo.traffic import Caller, ReceivedResponse, Verdict
from damasklead.quarantine import MAX_CRASHES
from damasklead.util import new_id
from tests.processes import Deployment

MODEL = "demo-7b"
ORDER_COUNT = 1000


@pytest.fixture
def deployment() -> Iterator[Deployment]:
    with Deployment() as running_deployment:
        yield running_deployment


def send_completion(
    caller: Caller, number: int, *, max_tokens: int = 60
) -> ReceivedResponse:
    prompt = f"query {number}"
    return caller.send_completion(
        "q", prompt, max_tokens=max_tokens, stream=True, model=MODEL
    )


def send_order(caller: Caller, reference: str) -> ReceivedResponse:
    body = msgspec.json.encode({"reference": reference})
    path = "/services/demo-app/orders"
    return caller.perform_request(
        "order", "POST", path, body=body, idempotency_key=reference
    )


def collect_responses(greenlets: list[gevent.Greenlet]) -> list[ReceivedResponse]:
    gevent.joinall(greenlets, timeout=90)
    return [greenlet.value for greenlet in greenlets]


def test_streams_survive_the_kill_of_an_engine_and_of_another_entry(
    deployment: Deployment,
) -> None:
    caller = deployment.make_caller("skippers", "entry-0", "entry-1")
    other_caller = deployment.make_caller("gumming-line", "entry-2")
    streams = [
        gevent.spawn(send_completion, caller, number, max_tokens=150)
        for number in range(40)
    ]
    interrupted = [
        gevent.spawn(send_completion, other_caller, number, max_tokens=150)
        for number in range(10)
    ]
    gevent.sleep(0.3)
    deployment.kill_process("engine-0")
    deployment.kill_process("entry-2")
    received = collect_responses(streams)
    assert Counter(item.verdict for item in received) == {Verdict.COMPLETE: 40}
    # Callers of the killed entry detect that their responses are incomplete.
    assert all(
        item.verdict is not Verdict.COMPLETE for item in collect_responses(interrupted)
    )
    deployment.start_process("engine-0")
    deployment.start_entry("entry-2")
    deployment.wait_until(lambda: deployment.is_serving("entry-2"))
    restarted = collect_responses(
        [gevent.spawn(send_completion, other_caller, number) for number in range(10)]
    )
    assert all(item.verdict is Verdict.COMPLETE for item in restarted)


def test_graceful_stop_completes_running_streams(deployment: Deployment) -> None:
    caller = deployment.make_caller("skippers", "entry-0")
    streams = [
        gevent.spawn(send_completion, caller, number, max_tokens=300)
        for number in range(20)
    ]
    gevent.sleep(0.5)
    deployment.send_signal("entry-0", signal.SIGTERM)
    gevent.sleep(0.2)
    assert (
        deployment.fetch_json(deployment.operator_addresses["entry-0"], "/readyz")
        is None
    )
    received = collect_responses(streams)
    assert Counter(item.verdict for item in received) == {Verdict.COMPLETE: 20}
    deployment.wait_until(lambda: deployment.processes["entry-0"].poll() is not None)
    assert deployment.processes["entry-0"].returncode == 0


def test_orders_sent_twice_are_executed_at_most_once(deployment: Deployment) -> None:
    """Entries are killed and paused while the store loses responses of commits."""
    references = [f"order-{number}" for number in range(ORDER_COUNT)]
    caller = deployment.make_caller("skippers")
    outcomes: dict[str, list[Verdict]] = {reference: [] for reference in references}

    def send_twice(numbers: range) -> None:
        for number in numbers:
            for _ in range(2):
                received = send_order(caller, references[number])
                outcomes[references[number]].append(received.verdict)

    workers = [
        gevent.spawn(send_twice, range(start, ORDER_COUNT, 8)) for start in range(8)
    ]
    gevent.sleep(0.5)
    deployment.set_faults(lose_answers=20)
    gevent.sleep(0.5)
    deployment.send_signal("entry-1", signal.SIGSTOP)
    gevent.sleep(1.0)
    deployment.send_signal("entry-1", signal.SIGCONT)
    deployment.kill_process("entry-2")
    gevent.sleep(0.5)
    deployment.start_entry("entry-2")
    deployment.set_faults(lose_answers=20)
    gevent.joinall(workers, timeout=150)
    assert all(worker.ready() for worker in workers)
    execution_counts = Counter(deployment.fetch_executed_orders())
    assert max(execution_counts.values()) == 1
    for reference, verdicts in outcomes.items():
        is_complete = Verdict.COMPLETE in verdicts
        if is_complete:
            assert execution_counts[reference] == 1, f"{reference} is lost"
        if verdicts == [Verdict.NOT_RUN, Verdict.NOT_RUN]:
            assert execution_counts[reference] == 0, (
                f"{reference} was executed although reported as not run"
            )
    assert (
        sum(Verdict.COMPLETE in item for item in outcomes.values()) > ORDER_COUNT * 0.9
    )


def test_order_reported_as_not_run_can_be_sent_again(deployment: Deployment) -> None:
    caller = deployment.make_caller("skippers")
    deployment.set_faults(down=True)
    first = send_order(caller, "patience")
    assert first.verdict is Verdict.NOT_RUN
    assert b"store-unavailable" in first.body
    deployment.set_faults()
    assert send_order(caller, "patience").verdict is Verdict.COMPLETE
    assert deployment.fetch_executed_orders() == ["patience"]


def test_concurrent_publications_get_distinct_versions(deployment: Deployment) -> None:
    path = deployment.folder / "demo-app.damasklead.json"
    original = path.read_text()
    versions: list[int] = []
    conflicts = 0
    for number in range(20):
        path.write_text(
            original.replace('"answer_ms": 1000', f'"answer_ms": 1{number:03}')
        )
        greenlets = [
            gevent.get_hub().threadpool.spawn(
                deployment.run_command, "publish", str(deployment.folder), "--wait", "0"
            )
            for _ in range(2)
        ]
        for greenlet in greenlets:
            completed = greenlet.get()
            if completed.returncode == 3:
                conflicts += 1
            else:
                versions.append(int(completed.stdout.split()[1]))
    assert sorted(versions) == list(range(2, 2 + len(versions)))
    assert len(versions) + conflicts == 40
    last = max(versions)
    for name in deployment.operator_addresses:
        deployment.wait_until(
            lambda entry=name: (
                deployment.fetch_status(entry).get("configuration") == last
            ),  # type: ignore[misc]
            seconds=5.0,
        )


def test_leaving_upstream_gets_no_requests_with_a_frozen_instance_list(
    deployment: Deployment,
) -> None:
    deployment.set_faults(list_frozen=True)
    address = deployment.upstream_addresses["engine-1"]
    assert deployment.fetch_json(address, "/leave", body=b"") is not None
    for name in deployment.operator_addresses:
        deployment.wait_until(
            lambda entry=name: "engine-1" not in fetch_replica_names(deployment, entry),  # type: ignore[misc]
            seconds=5.0,
        )
    caller = deployment.make_caller("skippers")
    received = collect_responses(
        [gevent.spawn(send_completion, caller, number) for number in range(20)]
    )
    assert all(item.verdict is Verdict.COMPLETE for item in received)


def test_drain_is_recorded_in_the_audit_trail(deployment: Deployment) -> None:
    completed = deployment.run_command("drain", "engine-2", "--who", "oom-piet")
    assert completed.returncode == 0, completed.stdout
    for name in deployment.operator_addresses:
        deployment.wait_until(
            lambda entry=name: "engine-2" not in fetch_replica_names(deployment, entry),  # type: ignore[misc]
            seconds=5.0,
        )
    trail = deployment.run_command("audit", "--action", "drain").stdout
    assert "oom-piet" in trail and "engine-2" in trail


def test_entry_started_in_an_outage_gets_the_configuration_from_peers(
    deployment: Deployment,
) -> None:
    deployment.kill_process("entry-2")
    deployment.set_faults(down=True)
    caller = deployment.make_caller("skippers", "entry-0", "entry-1")
    received = collect_responses(
        [gevent.spawn(send_completion, caller, number) for number in range(10)]
    )
    assert all(item.verdict is Verdict.COMPLETE for item in received)
    deployment.start_entry("entry-2")
    deployment.wait_until(lambda: bool(deployment.fetch_status("entry-2").get("ready")))
    late_caller = deployment.make_caller("skippers", "entry-2")
    received = collect_responses(
        [gevent.spawn(send_completion, late_caller, number) for number in range(10)]
    )
    assert all(item.verdict is Verdict.COMPLETE for item in received)


def test_entry_without_a_configuration_is_not_ready(
    deployment: Deployment,
) -> None:
    for name in deployment.operator_addresses:
        deployment.kill_process(name)
    deployment.set_faults(down=True)
    deployment.start_entry("entry-0")
    deployment.wait_until(lambda: bool(deployment.fetch_status("entry-0")))
    gevent.sleep(2.0)
    assert deployment.fetch_status("entry-0")["ready"] is False
    caller = deployment.make_caller("skippers", "entry-0")
    assert send_completion(caller, 1).verdict is Verdict.NOT_RUN
    deployment.set_faults()
    deployment.wait_until(lambda: deployment.is_serving("entry-0"))


def test_dead_coordinators_are_replaced_although_the_instance_list_has_them(
    deployment: Deployment,
) -> None:
    deployment.kill_process("entry-1")
    deployment.kill_process("entry-2")
    deployment.wait_until(
        lambda: all(
            pool["coordinator"] == "entry-0" and pool["granted"]
            for pool in deployment.fetch_status("entry-0")["pools"]
        )
    )
    deployment.start_entry("entry-1")
    deployment.wait_until(lambda: deployment.is_serving("entry-1"))


def test_request_that_crashes_engines_is_quarantined_at_all_entries(
    deployment: Deployment,
) -> None:
    """Its caller keeps sending it to all entries, and crashed engines are restarted."""
    engines = [name for name in deployment.processes if name.startswith("engine")]
    crashes: list[str] = []

    def restart_engines() -> None:
        while True:
            gevent.sleep(0.1)
            for name in engines:
                if deployment.processes[name].poll() is not None:
                    crashes.append(name)
                    deployment.start_process(name)

    restarter = gevent.spawn(restart_engines)
    caller = deployment.make_caller("skippers")
    prompt = "POISON " + new_id()

    def send() -> ReceivedResponse:
        return caller.send_completion(
            "poison", prompt, max_tokens=10, stream=True, model=MODEL
        )

    refused_count = 0
    for _ in range(30):
        received = send()
        assert received.verdict is not Verdict.COMPLETE
        refused_count = refused_count + 1 if b"quarantined" in received.body else 0
        if refused_count == 2 * len(deployment.operator_addresses):
            break
        gevent.sleep(0.5)
    assert refused_count == 2 * len(deployment.operator_addresses)
    assert len(crashes) <= MAX_CRASHES
    deployment.wait_until(
        lambda: all(map(deployment.is_serving, deployment.operator_addresses))
    )
    gevent.sleep(2.0)
    other_responses = collect_responses(
        [gevent.spawn(send_completion, caller, number) for number in range(20)]
    )
    assert all(item.verdict is Verdict.COMPLETE for item in other_responses)
    assert "quarantine" in deployment.run_command("audit").stdout
    # An entry that starts later refuses it too, until an operator releases it.
    deployment.kill_process("entry-1")
    deployment.start_entry("entry-1")
    deployment.wait_until(lambda: deployment.is_serving("entry-1"))
    late_caller = deployment.make_caller("skippers", "entry-1")
    refusal = late_caller.send_completion(
        "poison", prompt, max_tokens=5, stream=True, model=MODEL
    )
    assert b"quarantined" in refusal.body
    listed = deployment.run_command("quarantine", "list", "--json").stdout
    fingerprint = msgspec.json.decode(listed)[0]["fingerprint"]
    released = deployment.run_command("quarantine", "release", fingerprint)
    assert released.returncode == 0, released.stdout
    for name in deployment.operator_addresses:
        deployment.wait_until(
            lambda entry=name: deployment.fetch_status(entry)["quarantined"] == []  # type: ignore[misc]
        )
    restarter.kill()


def fetch_replica_names(deployment: Deployment, entry: str) -> list[str]:
    pools = deployment.fetch_status(entry).get("pools", [])
    return [name for pool in pools for name in pool["replicas"]]


def test_holder_of_the_duty_loads_wanted_models(deployment: Deployment) -> None:
    """Two of three engines load the model; requests then go only to these."""
    path = deployment.folder / "demo-llm.damasklead.json"
    wanted_models = (
        '"wanted_models": [{"model": "demo-7b", "version": "v2", "replicas": 2}],'
    )
    text = path.read_text().replace('"models":', f'{wanted_models}\n  "models":')
    path.write_text(text)
    assert deployment.run_command("publish", str(deployment.folder)).returncode == 0

    def find_loaded_engines() -> list[str]:
        found = []
        for name, address in deployment.upstream_addresses.items():
            report = deployment.fetch_json(address, "/load") or {}
            if "demo-7b@v2" in report.get("models", []):
                found.append(name)
        return found

    deployment.wait_until(lambda: len(find_loaded_engines()) == 2, seconds=60.0)

    def count_load_commands() -> int:
        trail = deployment.run_command("audit", "--action", "load-model").stdout
        return trail.count("ordered, fencing 1")

    # Audit events are written by a separate task, shortly after the loads.
    deployment.wait_until(lambda: count_load_commands() >= 2, seconds=20.0)
    assert count_load_commands() == 2
    caller = deployment.make_caller("skippers")
    received = collect_responses(
        [gevent.spawn(send_completion, caller, number) for number in range(10)]
    )
    assert all(item.verdict is Verdict.COMPLETE for item in received)
