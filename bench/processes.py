"""
Benchmark with processes
========================

Measures the attainment of the highest tier with three entries, three engines, a plain
service and the platform as processes.  Long reviews fill the engines before a burst of
the highest tier, and an engine, an entry or no process is killed.

Use: ``python -m bench.processes``.
"""

import random
from collections.abc import Callable

import gevent

from damasklead.demo.traffic import ReceivedResponse, Verdict
from tests.processes import Deployment

REVIEW_COUNT = 120
REVIEW_TOKENS = 400
QUERY_COUNT = 150
QUERY_TOKENS = 40
BURST_SECONDS = 5.0
FIRST_TOKEN_TARGET_SECONDS = 0.34
MODEL = "demo-7b"
SEED = 1


def main() -> None:
    """Run each case and print its result."""
    measure_case("no fault", lambda deployment: None)
    measure_case(
        "an engine killed", lambda deployment: deployment.kill_process("engine-1")
    )
    measure_case(
        "an entry killed", lambda deployment: deployment.kill_process("entry-2")
    )


def measure_case(name: str, inject_fault: Callable[[Deployment], None]) -> None:
    """Run one case and print its result."""
    source = random.Random(SEED)
    with Deployment(entries=3, engines=3, services=1) as deployment:
        # No caller uses the killed entry: a load balancer would move its callers.
        planning = deployment.make_caller("planning", "entry-0", "entry-1")
        skippers = deployment.make_caller("skippers", "entry-0", "entry-1")

        def review(number: int) -> ReceivedResponse:
            prompt = f"review {number}"
            return planning.send_completion(
                "review", prompt, max_tokens=REVIEW_TOKENS, stream=True, model=MODEL
            )

        def query(number: int) -> ReceivedResponse:
            gevent.sleep(source.uniform(0, BURST_SECONDS))
            prompt = f"query {number}"
            return skippers.send_completion(
                "query", prompt, max_tokens=QUERY_TOKENS, stream=True, model=MODEL
            )

        reviews = [gevent.spawn(review, number) for number in range(REVIEW_COUNT)]
        gevent.sleep(2.0)
        queries = [gevent.spawn(query, number) for number in range(QUERY_COUNT)]
        gevent.sleep(BURST_SECONDS / 2)
        inject_fault(deployment)
        gevent.joinall([*queries, *reviews], timeout=120)
        print_result(
            name, [item.value for item in queries], [item.value for item in reviews]
        )


def print_result(
    name: str, queries: list[ReceivedResponse], reviews: list[ReceivedResponse]
) -> None:
    """Print the attainment of the highest tier and the number of complete reviews."""
    complete = [item for item in queries if item.verdict is Verdict.COMPLETE]
    in_time_count = sum(
        item.first_byte_seconds <= FIRST_TOKEN_TARGET_SECONDS for item in complete
    )
    slowest_seconds = max(item.first_byte_seconds for item in complete)
    complete_reviews = sum(item.verdict is Verdict.COMPLETE for item in reviews)
    print(
        f"{name}: queries {len(queries)}, whole {len(complete)}, first token in time "
        f"{100 * in_time_count / len(queries):.1f} %, slowest {slowest_seconds:.2f} s; "
        f"reviews {len(reviews)}, whole {complete_reviews}"
    )


if __name__ == "__main__":
    main()
