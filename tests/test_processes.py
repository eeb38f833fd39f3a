"""
Tests of real processes
=======================

Entries, engines, a plain service and the platform, each a process of its own, with
kills, cuts, pauses and outages.
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
ORDERS = 1000


@pytest.fixture
def deployment() -> Iterator[Deployment]:
    with Deployment() as running:
        yield running


def ask(caller: Caller, number: int, *, max_tokens: int = 60) -> ReceivedResponse:
    prompt = f"query {number}"
    return caller.send_completion(
        "q", prompt, max_tokens=max_tokens, stream=True, model=MODEL
    )


def order(caller: Caller, reference: str) -> ReceivedResponse:
    body = msgspec.json.encode({"reference": reference})
    path = "/services/demo-app/orders"
    return caller.perform_request(
        "order", "POST", path, body=body, idempotency_key=reference
    )


def results(greenlets: list[gevent.Greenlet]) -> list[ReceivedResponse]:
    gevent.joinall(greenlets, timeout=90)
    return [greenlet.value for greenlet in greenlets]


def test_streams_go_on_while_an_engine_and_an_entry_are_killed(
    deployment: Deployment,
) -> None:
    caller = deployment.caller("skippers", "entry-0", "entry-1")
    spectator = deployment.caller("gumming-line", "entry-2")
    streams = [
        gevent.spawn(ask, caller, number, max_tokens=150) for number in range(40)
    ]
    cut = [gevent.spawn(ask, spectator, number, max_tokens=150) for number in range(10)]
    gevent.sleep(0.3)
    deployment.kill("engine-0")
    deployment.kill("entry-2")
    received = results(streams)
    assert Counter(item.verdict for item in received) == {Verdict.COMPLETE: 40}
    # Callers of the killed entry see that their answers are not whole.
    assert all(item.verdict is not Verdict.COMPLETE for item in results(cut))
    deployment.start("engine-0")
    deployment.start_entry("entry-2")
    deployment.until(lambda: deployment.is_serving("entry-2"))
    again = results([gevent.spawn(ask, spectator, number) for number in range(10)])
    assert all(item.verdict is Verdict.COMPLETE for item in again)


def test_a_graceful_stop_cuts_off_nothing(deployment: Deployment) -> None:
    caller = deployment.caller("skippers", "entry-0")
    streams = [
        gevent.spawn(ask, caller, number, max_tokens=300) for number in range(20)
    ]
    gevent.sleep(0.5)
    deployment.signal("entry-0", signal.SIGTERM)
    gevent.sleep(0.2)
    assert deployment.get(deployment.operators["entry-0"], "/readyz") is None
    received = results(streams)
    assert Counter(item.verdict for item in received) == {Verdict.COMPLETE: 20}
    deployment.until(lambda: deployment.processes["entry-0"].poll() is not None)
    assert deployment.processes["entry-0"].returncode == 0


def test_orders_sent_twice_run_at_most_once(deployment: Deployment) -> None:
    """Entries are killed and paused while the store loses answers."""
    references = [f"order-{number}" for number in range(ORDERS)]
    caller = deployment.caller("skippers")
    outcomes: dict[str, list[Verdict]] = {reference: [] for reference in references}

    def send_twice(numbers: range) -> None:
        for number in numbers:
            for _ in range(2):
                received = order(caller, references[number])
                outcomes[references[number]].append(received.verdict)

    workers = [gevent.spawn(send_twice, range(start, ORDERS, 8)) for start in range(8)]
    gevent.sleep(0.5)
    deployment.set_faults(lose_answers=20)
    gevent.sleep(0.5)
    deployment.signal("entry-1", signal.SIGSTOP)
    gevent.sleep(1.0)
    deployment.signal("entry-1", signal.SIGCONT)
    deployment.kill("entry-2")
    gevent.sleep(0.5)
    deployment.start_entry("entry-2")
    deployment.set_faults(lose_answers=20)
    gevent.joinall(workers, timeout=150)
    assert all(worker.ready() for worker in workers)
    runs = Counter(deployment.orders())
    assert max(runs.values()) == 1
    for reference, verdicts in outcomes.items():
        told = Verdict.COMPLETE in verdicts
        if told:
            assert runs[reference] == 1, f"{reference} is lost"
        if verdicts == [Verdict.NOT_RUN, Verdict.NOT_RUN]:
            assert runs[reference] == 0, f"{reference} ran although told not to have"
    assert sum(Verdict.COMPLETE in item for item in outcomes.values()) > ORDERS * 0.9


def test_an_order_told_as_not_run_can_be_sent_again(deployment: Deployment) -> None:
    caller = deployment.caller("skippers")
    deployment.set_faults(down=True)
    first = order(caller, "patience")
    assert first.verdict is Verdict.NOT_RUN
    assert b"store-unavailable" in first.body
    deployment.set_faults()
    assert order(caller, "patience").verdict is Verdict.COMPLETE
    assert deployment.orders() == ["patience"]


def test_operators_race_and_every_version_is_in_force(deployment: Deployment) -> None:
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
                deployment.command, "publish", str(deployment.folder), "--wait", "0"
            )
            for _ in range(2)
        ]
        for greenlet in greenlets:
            done = greenlet.get()
            if done.returncode == 3:
                conflicts += 1
            else:
                versions.append(int(done.stdout.split()[1]))
    assert sorted(versions) == list(range(2, 2 + len(versions)))
    assert len(versions) + conflicts == 40
    last = max(versions)
    for name in deployment.operators:
        deployment.until(
            lambda entry=name: deployment.status(entry).get("configuration") == last,  # type: ignore[misc]
            seconds=5.0,
        )


def test_a_leaving_upstream_gets_no_new_work_with_the_list_stuck(
    deployment: Deployment,
) -> None:
    deployment.set_faults(list_frozen=True)
    address = deployment.upstreams["engine-1"]
    assert deployment.get(address, "/leave", body=b"") is not None
    for name in deployment.operators:
        deployment.until(
            lambda entry=name: "engine-1" not in replicas_of(deployment, entry),  # type: ignore[misc]
            seconds=5.0,
        )
    caller = deployment.caller("skippers")
    received = results([gevent.spawn(ask, caller, number) for number in range(20)])
    assert all(item.verdict is Verdict.COMPLETE for item in received)


def test_a_drained_upstream_is_in_the_audit_trail(deployment: Deployment) -> None:
    done = deployment.command("drain", "engine-2", "--who", "oom-piet")
    assert done.returncode == 0, done.stdout
    for name in deployment.operators:
        deployment.until(
            lambda entry=name: "engine-2" not in replicas_of(deployment, entry),  # type: ignore[misc]
            seconds=5.0,
        )
    trail = deployment.command("audit", "--action", "drain").stdout
    assert "oom-piet" in trail and "engine-2" in trail


def test_an_entry_started_in_an_outage_takes_its_peers_configuration(
    deployment: Deployment,
) -> None:
    deployment.kill("entry-2")
    deployment.set_faults(down=True)
    caller = deployment.caller("skippers", "entry-0", "entry-1")
    received = results([gevent.spawn(ask, caller, number) for number in range(10)])
    assert all(item.verdict is Verdict.COMPLETE for item in received)
    deployment.start_entry("entry-2")
    deployment.until(lambda: bool(deployment.status("entry-2").get("ready")))
    late = deployment.caller("skippers", "entry-2")
    received = results([gevent.spawn(ask, late, number) for number in range(10)])
    assert all(item.verdict is Verdict.COMPLETE for item in received)


def test_an_entry_that_no_one_tells_a_configuration_stays_unready(
    deployment: Deployment,
) -> None:
    for name in deployment.operators:
        deployment.kill(name)
    deployment.set_faults(down=True)
    deployment.start_entry("entry-0")
    deployment.until(lambda: bool(deployment.status("entry-0")))
    gevent.sleep(2.0)
    assert deployment.status("entry-0")["ready"] is False
    caller = deployment.caller("skippers", "entry-0")
    assert ask(caller, 1).verdict is Verdict.NOT_RUN
    deployment.set_faults()
    deployment.until(lambda: deployment.is_serving("entry-0"))


def test_dead_coordinators_are_passed_over_while_the_list_shows_them(
    deployment: Deployment,
) -> None:
    deployment.kill("entry-1")
    deployment.kill("entry-2")
    deployment.until(
        lambda: all(
            pool["coordinator"] == "entry-0" and pool["granted"]
            for pool in deployment.status("entry-0")["pools"]
        )
    )
    deployment.start_entry("entry-1")
    deployment.until(lambda: deployment.is_serving("entry-1"))


def test_a_poisonous_request_is_refused_everywhere(deployment: Deployment) -> None:
    """Its caller sends it again and again, to all entries, while engines restart."""
    engines = [name for name in deployment.processes if name.startswith("engine")]
    crashes: list[str] = []

    def restart_engines() -> None:
        while True:
            gevent.sleep(0.1)
            for name in engines:
                if deployment.processes[name].poll() is not None:
                    crashes.append(name)
                    deployment.start(name)

    keeper = gevent.spawn(restart_engines)
    caller = deployment.caller("skippers")
    prompt = "POISON " + new_id()

    def send() -> ReceivedResponse:
        return caller.send_completion(
            "poison", prompt, max_tokens=10, stream=True, model=MODEL
        )

    refused = 0
    for _ in range(30):
        received = send()
        assert received.verdict is not Verdict.COMPLETE
        refused = refused + 1 if b"quarantined" in received.body else 0
        if refused == 2 * len(deployment.operators):
            break
        gevent.sleep(0.5)
    assert refused == 2 * len(deployment.operators)
    assert len(crashes) <= MAX_CRASHES
    deployment.until(lambda: all(map(deployment.is_serving, deployment.operators)))
    gevent.sleep(2.0)
    innocent = results([gevent.spawn(ask, caller, number) for number in range(20)])
    assert all(item.verdict is Verdict.COMPLETE for item in innocent)
    assert "quarantine" in deployment.command("audit").stdout
    # An entry that starts later refuses it too, until an operator lifts it.
    deployment.kill("entry-1")
    deployment.start_entry("entry-1")
    deployment.until(lambda: deployment.is_serving("entry-1"))
    late = deployment.caller("skippers", "entry-1")
    refusal = late.send_completion(
        "poison", prompt, max_tokens=5, stream=True, model=MODEL
    )
    assert b"quarantined" in refusal.body
    listed = deployment.command("quarantine", "list", "--json").stdout
    fingerprint = msgspec.json.decode(listed)[0]["fingerprint"]
    lifted = deployment.command("quarantine", "release", fingerprint)
    assert lifted.returncode == 0, lifted.stdout
    for name in deployment.operators:
        deployment.until(
            lambda entry=name: deployment.status(entry)["quarantined"] == []  # type: ignore[misc]
        )
    keeper.kill()


def replicas_of(deployment: Deployment, entry: str) -> list[str]:
    pools = deployment.status(entry).get("pools", [])
    return [name for pool in pools for name in pool["replicas"]]


def test_the_duties_holder_has_wanted_models_loaded(deployment: Deployment) -> None:
    """Two of three engines get the model; requests then go only to these."""
    path = deployment.folder / "demo-llm.damasklead.json"
    wanted = '"wanted_models": [{"model": "demo-7b", "version": "v2", "replicas": 2}],'
    text = path.read_text().replace('"models":', f'{wanted}\n  "models":')
    path.write_text(text)
    assert deployment.command("publish", str(deployment.folder)).returncode == 0

    def loaded() -> list[str]:
        found = []
        for name, address in deployment.upstreams.items():
            report = deployment.get(address, "/load") or {}
            if "demo-7b@v2" in report.get("models", []):
                found.append(name)
        return found

    deployment.until(lambda: len(loaded()) == 2, seconds=60.0)

    def orders() -> int:
        trail = deployment.command("audit", "--action", "load-model").stdout
        return trail.count("ordered, fencing 1")

    # The trail is stored by a task of its own, a little after the loads themselves.
    deployment.until(lambda: orders() >= 2, seconds=20.0)
    assert orders() == 2
    caller = deployment.caller("skippers")
    received = results([gevent.spawn(ask, caller, number) for number in range(10)])
    assert all(item.verdict is Verdict.COMPLETE for item in received)
