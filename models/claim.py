"""
Model of claims
===============

A caller sends a request with one idempotency key through two entries, ``a`` and ``b``.
The store may lose responses and commit a write late, and entries may crash.  The
claim's row takes the states of ``damasklead.claims``.

State variables: the claim's row, and for each attempt its phase, whether its claim
write is in flight, and how often the request was executed.
"""

from collections.abc import Iterator

from minicheck import Protocol

# States of the claim's row: absent, claimed by an attempt, or with an outcome.
FREE, HELD_A, HELD_B, DONE, FAILED, RELEASED = (
    "free",
    "a",
    "b",
    "done",
    "failed",
    "released",
)
# Phases of an attempt.
IDLE, WRITING, UNCONFIRMED, HOLDING, SENT, CRASHED, REFUSED, ANSWERED, NOT_RUN = (
    "idle", "writing", "unconfirmed", "holding", "sent",
    "crashed", "refused", "answered", "not-run",
)  # fmt: skip
OWN_ROWS = {"a": HELD_A, "b": HELD_B}
MUTATIONS = (
    "take over a claim",
    "read back by key",
    "abandon without a row",
    "release after sending",
)

State = tuple[str, str, str, bool, bool, int, int]
Transitions = Iterator[tuple[str, State]]


def build_protocol(mutation: str = "") -> Protocol:
    """
    Return the specification, or a mutant of it.

    Parameters
    ----------
    mutation : str
        One of ``MUTATIONS``; empty for the specification itself.
    """
    return Protocol(
        name=f"claim {mutation}".strip(),
        candidate=False,
        fields=(
            "row",
            "phase_a",
            "phase_b",
            "in_flight_a",
            "in_flight_b",
            "executions_a",
            "executions_b",
        ),
        initial=(FREE, IDLE, IDLE, False, False, 0, 0),
        transitions=lambda state: list(_transitions(state, mutation)),
        invariants={
            "executed at most once": lambda d: (
                d["executions_a"] + d["executions_b"] <= 1
            ),
            "the outcome not-run implies no execution": lambda d: (
                (d["phase_a"] != NOT_RUN or d["executions_a"] == 0)
                and (d["phase_b"] != NOT_RUN or d["executions_b"] == 0)
            ),
            "no claim remains after the outcome not-run": lambda d: (
                not (
                    d["phase_a"] == NOT_RUN
                    and d["row"] == HELD_A
                    and not d["in_flight_a"]
                )
            ),
        },
        goal=lambda d: d["phase_a"] in _FINAL_PHASES and d["phase_b"] in _FINAL_PHASES,
    )


_FINAL_PHASES = (CRASHED, REFUSED, ANSWERED, NOT_RUN)


def _transitions(state: State, mutation: str) -> Transitions:
    row, phase_a, phase_b, in_flight_a, in_flight_b, executions_a, executions_b = state
    for label, (new_row, phase, in_flight, executions) in _attempt_transitions(
        "a", row, phase_a, in_flight_a, executions_a, mutation
    ):
        yield (
            f"a {label}",
            (new_row, phase, phase_b, in_flight, in_flight_b, executions, executions_b),
        )
    for label, (new_row, phase, in_flight, executions) in _attempt_transitions(
        "b", row, phase_b, in_flight_b, executions_b, mutation
    ):
        yield (
            f"b {label}",
            (new_row, phase_a, phase, in_flight_a, in_flight, executions_a, executions),
        )


AttemptState = tuple[str, str, bool, int]


def _attempt_transitions(
    attempt: str, row: str, phase: str, in_flight: bool, executions: int, mutation: str
) -> Iterator[tuple[str, AttemptState]]:
    """Yield the transitions of one attempt and of the store for its claim write."""
    own_row = OWN_ROWS[attempt]
    yield from _write_transitions(own_row, row, phase, in_flight, executions)
    if phase == IDLE:
        yield "writes its claim", (row, WRITING, True, executions)
    if phase in (WRITING, UNCONFIRMED):
        yield "loses the store's response", (row, UNCONFIRMED, in_flight, executions)
        yield "crashes", (row, CRASHED, in_flight, executions)
    if phase == UNCONFIRMED:
        yield from _read_back_transitions(own_row, row, in_flight, executions, mutation)
        yield from _abandon_transitions(own_row, row, in_flight, executions, mutation)
    if phase == HOLDING:
        yield "sends the request", (row, SENT, in_flight, executions + 1)
        yield "crashes", (row, CRASHED, in_flight, executions)
    if phase == SENT:
        yield (
            "receives the response",
            (DONE if row == own_row else row, ANSWERED, in_flight, executions),
        )
        yield (
            "fails with unknown outcome",
            (FAILED if row == own_row else row, REFUSED, in_flight, executions),
        )
        yield "crashes", (row, CRASHED, in_flight, executions)
        if mutation == "release after sending" and row == own_row:
            yield "releases the claim", (RELEASED, NOT_RUN, in_flight, executions)


def _write_transitions(
    own_row: str, row: str, phase: str, in_flight: bool, executions: int
) -> Iterator[tuple[str, AttemptState]]:
    """Yield the outcomes of a claim write that is in flight."""
    if not in_flight:
        return
    is_claimable = row in (FREE, RELEASED)
    if phase == WRITING and is_claimable:
        yield "claim is committed", (own_row, HOLDING, False, executions)
    elif phase == WRITING:
        yield "claim conflicts", (row, REFUSED, False, executions)
    elif row == FREE:
        # A late write is committed only if its condition still holds: that the row is
        # absent.
        yield "late claim is committed", (own_row, phase, False, executions)
    else:
        yield "late claim conflicts", (row, phase, False, executions)


def _read_back_transitions(
    own_row: str, row: str, in_flight: bool, executions: int, mutation: str
) -> Iterator[tuple[str, AttemptState]]:
    if row == own_row:
        yield "reads its own claim", (row, HOLDING, in_flight, executions)
    elif row in (HELD_A, HELD_B, DONE, FAILED):
        if mutation == "read back by key":
            yield (
                "mistakes another's claim for its own",
                (row, HOLDING, in_flight, executions),
            )
        elif mutation == "take over a claim" and row != DONE:
            yield (
                "takes over another's claim",
                (own_row, HOLDING, in_flight, executions),
            )
        else:
            yield "reads another's claim", (row, REFUSED, in_flight, executions)


def _abandon_transitions(
    own_row: str, row: str, in_flight: bool, executions: int, mutation: str
) -> Iterator[tuple[str, AttemptState]]:
    """Yield the release of an unconfirmed claim; its row makes a late write fail."""
    if mutation == "abandon without a row" and row in (FREE, own_row):
        yield "abandons its claim", (FREE, NOT_RUN, in_flight, executions)
    elif row in (FREE, own_row, RELEASED):
        yield "abandons its claim", (RELEASED, NOT_RUN, in_flight, executions)
