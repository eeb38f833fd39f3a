"""
Tests of prompt parts that crash engines behind an entry
========================================================
"""

from collections.abc import Iterator

import msgspec
import pytest

from damasklead.standins.engine import CRASH_TRIGGER
from damasklead.upstreams import UpstreamError
from tests.test_daemon import COMPLETIONS, MODEL, EntryHarness

FIRST = "You answer questions of skippers."
# The bound of the users' rule: requests after the fifth crash.
COUNTED_CRASHES = 5
MAX_LATE_REQUESTS = 3
POISON_REQUESTS = 8


@pytest.fixture
def harness() -> Iterator[EntryHarness]:
    harness = EntryHarness()
    harness.start()
    yield harness
    harness.stop()


def send(harness: EntryHarness, *prompt: str, stream: bool) -> int:
    """Send a completion request with one message for each part; returns the status."""
    document = {
        "model": MODEL,
        "messages": [{"role": "user", "content": part} for part in prompt],
        "max_tokens": 4,
        "stream": stream,
    }
    try:
        response = harness.send("POST", COMPLETIONS, msgspec.json.encode(document))
        response.read_body(limit=65_536)
    except UpstreamError:
        return 0
    return response.status


@pytest.mark.parametrize("stream", [True, False])
def test_requests_that_share_a_crashing_part_stop_reaching_engines(
    harness: EntryHarness, stream: bool
) -> None:
    sound_statuses: list[int] = []
    for number in range(POISON_REQUESTS):
        send(harness, FIRST, CRASH_TRIGGER, f"question {number}", stream=stream)
        for engine in harness.engines:
            if engine.crash_count > engine.record.incarnation - 1:
                engine.restart()
        harness.wait_until(
            lambda: all(
                len(pool.dispatcher.replicas.instances) == len(harness.engines)
                for pool in harness.pools
                if pool.service.name == "demo-llm"
            )
        )
        status = send(harness, FIRST, f"sound {number}", "x", stream=stream)
        sound_statuses.append(status)
    crashes = sum(engine.crash_count for engine in harness.engines)
    assert crashes <= COUNTED_CRASHES + MAX_LATE_REQUESTS
    assert sound_statuses[-1] == 200
