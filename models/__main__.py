"""
Model checks
============

Checks each specification, and that each seeded mistake is found in it.

Use: ``python -m models``.  Exit code 0 when every specification holds and every mistake
is found.
"""

import sys
from collections.abc import Callable

from minicheck import Protocol, check_liveness, check_safety

from models import claim, following, lease, leaving, manifest

MAX_STATES = 500_000


def main() -> int:
    """Check everything and print what was explored."""
    specifications: list[tuple[Callable[..., Protocol], tuple[str, ...]]] = [
        (claim.build, claim.MISTAKES),
        (lease.build, lease.MISTAKES),
        (manifest.build, manifest.MISTAKES),
        (following.build, following.MISTAKES),
        (leaving.build, leaving.MISTAKES),
    ]
    good = check_whole(lease.build("", engine_checks=False))
    for build, mistakes in specifications:
        good = check_whole(build("")) and good
        for mistake in mistakes:
            good = check_mistake(build, mistake) and good
    print("every specification holds" if good else "A SPECIFICATION FAILED")
    return 0 if good else 1


def check_whole(protocol: Protocol) -> bool:
    """Check safety and liveness of a specification without mistake."""
    safety = check_safety(protocol, max_states=MAX_STATES)
    live = check_liveness(protocol)
    print(f"{protocol.name}: {safety['reachable_states']} states")
    for name, result in safety["properties"].items():
        print(f"  {name}: {result['holds']}")
        if not result["holds"]:
            print(f"    {result['counterexample']}")
    print(f"  an end can always be reached: {live['holds']}")
    held = all(result["holds"] is True for result in safety["properties"].values())
    return held and live["holds"] is True


def check_mistake(build: Callable[..., Protocol], mistake: str) -> bool:
    """Check that a seeded mistake breaks a property."""
    options = {"engine_checks": False} if mistake == "no wait" else {}
    protocol = build(mistake, **options)
    safety = check_safety(protocol, max_states=MAX_STATES)
    broken = [
        (name, len(result["counterexample"]) - 1)
        for name, result in safety["properties"].items()
        if result["holds"] is False
    ]
    for name, steps in broken:
        print(f"  mistake '{mistake}' breaks '{name}' in {steps} steps")
    if not broken:
        print(f"  MISTAKE '{mistake}' IS NOT FOUND")
    return bool(broken)


if __name__ == "__main__":
    sys.exit(main())
