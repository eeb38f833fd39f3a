"""
Model checks
============

Checks safety and liveness of each specification, and that each of its mutants violates
a property.

Use: ``python -m models``.  The exit code is 0 when every specification holds and every
mutant is detected.
"""

import sys
from collections.abc import Callable

from minicheck import Protocol, check_liveness, check_safety

from models import claim, duties, following, lease, leaving, manifest

MAX_STATES = 500_000


def main() -> int:
    """Check all specifications and mutants, and print the results."""
    specifications: list[tuple[Callable[..., Protocol], tuple[str, ...]]] = [
        (claim.build_protocol, claim.MUTATIONS),
        (lease.build_protocol, lease.MUTATIONS),
        (manifest.build_protocol, manifest.MUTATIONS),
        (following.build_protocol, following.MUTATIONS),
        (leaving.build_protocol, leaving.MUTATIONS),
        (duties.build_protocol, duties.MUTATIONS),
    ]
    all_passed = check_specification(
        lease.build_protocol("", engine_checks_token=False)
    )
    for build_protocol, mutations in specifications:
        all_passed = check_specification(build_protocol("")) and all_passed
        for mutation in mutations:
            all_passed = check_mutation(build_protocol, mutation) and all_passed
    print("every specification holds" if all_passed else "A SPECIFICATION FAILED")
    return 0 if all_passed else 1


def check_specification(protocol: Protocol) -> bool:
    """Check safety and liveness of a specification."""
    safety = check_safety(protocol, max_states=MAX_STATES)
    liveness = check_liveness(protocol)
    print(f"{protocol.name}: {safety['reachable_states']} states")
    for name, result in safety["properties"].items():
        print(f"  {name}: {result['holds']}")
        if not result["holds"]:
            print(f"    {result['counterexample']}")
    print(f"  a goal state is always reachable: {liveness['holds']}")
    is_safe = all(result["holds"] is True for result in safety["properties"].values())
    return is_safe and liveness["holds"] is True


def check_mutation(build_protocol: Callable[..., Protocol], mutation: str) -> bool:
    """Check that a mutant violates a safety property."""
    options = (
        {"engine_checks_token": False}
        if mutation == "no wait before the first command"
        else {}
    )
    protocol = build_protocol(mutation, **options)
    safety = check_safety(protocol, max_states=MAX_STATES)
    violations = [
        (name, len(result["counterexample"]) - 1)
        for name, result in safety["properties"].items()
        if result["holds"] is False
    ]
    for name, steps in violations:
        print(f"  mutation '{mutation}' violates '{name}' in {steps} steps")
    if not violations:
        print(f"  MUTATION '{mutation}' IS NOT DETECTED")
    return bool(violations)


if __name__ == "__main__":
    sys.exit(main())
