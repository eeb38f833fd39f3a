"""
Bench among processes
=====================

Three entries, three engines, a plain service and the platform as processes: long reviews fill the
engines, then a burst of the top tier comes, with and without the kill of an engine or an entry.

Use: ``python -m bench.processes``.
"""

import random
from collections.abc import Callable

import gevent

from damasklead.demo.traffic import Received, Verdict
from tests.processes import Deployment

REVIEWS = 120
REVIEW_TOKENS = 400
QUERIES = 150
QUERY_TOKENS = 40
BURST_SECONDS = 5.0
FIRST_TOKEN_TARGET = 0.34  # seconds
MODEL = "demo-7b"
SEED = 1


def main() -> None:
    """Run each case and print a line for it."""
    measure("no fault", lambda deployment: None)
    measure("an engine killed", lambda deployment: deployment.kill("engine-1"))
    measure("an entry killed", lambda deployment: deployment.kill("entry-2"))


def measure(name: str, fault: Callable[[Deployment], None]) -> None:
    """Print the attainment of the top tier and what became of the reviews."""
    source = random.Random(SEED)
    with Deployment(entries=3, engines=3, services=1) as deployment:
        # The killed entry's callers are not counted: the balancer would move them.
        planning = deployment.caller("planning", "entry-0", "entry-1")
        skippers = deployment.caller("skippers", "entry-0", "entry-1")

        def review(number: int) -> Received:
            prompt = f"review {number}"
            return planning.complete(
                "review", prompt, tokens=REVIEW_TOKENS, stream=True, model=MODEL
            )

        def query(number: int) -> Received:
            gevent.sleep(source.uniform(0, BURST_SECONDS))
            prompt = f"query {number}"
            return skippers.complete(
                "query", prompt, tokens=QUERY_TOKENS, stream=True, model=MODEL
            )

        reviews = [gevent.spawn(review, number) for number in range(REVIEWS)]
        gevent.sleep(2.0)
        queries = [gevent.spawn(query, number) for number in range(QUERIES)]
        gevent.sleep(BURST_SECONDS / 2)
        fault(deployment)
        gevent.joinall([*queries, *reviews], timeout=120)
        report(name, [item.value for item in queries], [item.value for item in reviews])


def report(name: str, queries: list[Received], reviews: list[Received]) -> None:
    """Print one line."""
    whole = [item for item in queries if item.verdict is Verdict.WHOLE]
    on_time = sum(item.first <= FIRST_TOKEN_TARGET for item in whole)
    slowest = max(item.first for item in whole)
    reviewed = sum(item.verdict is Verdict.WHOLE for item in reviews)
    print(
        f"{name}: queries {len(queries)}, whole {len(whole)}, first token in time "
        f"{100 * on_time / len(queries):.1f} %, slowest {slowest:.2f} s; "
        f"reviews {len(reviews)}, whole {reviewed}"
    )


if __name__ == "__main__":
    main()
