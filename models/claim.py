"""
Model of the order claim
========================

One key, two sendings by the caller through two entries, a store that loses answers and
lets a write land late, and entries that crash.  The claim's row goes through the states
of ``damasklead.claims``.

State: the row, then for each attempt its phase, whether its claim write is on its way,
and how often the order ran.
"""

from collections.abc import Iterator

from minicheck import Protocol

# Rows: who holds the key in which state.
FREE, HELD_A, HELD_B, DONE, FAILED, RELEASED = (
    "free",
    "a",
    "b",
    "done",
    "failed",
    "released",
)
# Phases of an attempt.
IDLE, WRITING, UNSURE, HOLDS, SENT, CRASHED, REFUSED, ANSWERED, NOT_RUN = (
    "idle", "writing", "unsure", "holds", "sent",
    "crashed", "refused", "answered", "not-run",
)  # fmt: skip
OWN = {"a": HELD_A, "b": HELD_B}
MISTAKES = (
    "take over a claim",
    "read back by key",
    "abandon without a row",
    "release after sending",
)

State = tuple[str, str, str, bool, bool, int, int]
Steps = Iterator[tuple[str, State]]


def build(mistake: str = "") -> Protocol:
    """
    Return the protocol, with a seeded mistake or without.

    Parameters
    ----------
    mistake : str
        One of ``MISTAKES``, or empty.
    """
    return Protocol(
        name=f"order claim {mistake}".strip(),
        candidate=False,
        fields=("row", "phase_a", "phase_b", "late_a", "late_b", "runs_a", "runs_b"),
        initial=(FREE, IDLE, IDLE, False, False, 0, 0),
        transitions=lambda state: list(_transitions(state, mistake)),
        invariants={
            "runs at most once": lambda d: d["runs_a"] + d["runs_b"] <= 1,
            "not-run is true": lambda d: (
                (d["phase_a"] != NOT_RUN or d["runs_a"] == 0)
                and (d["phase_b"] != NOT_RUN or d["runs_b"] == 0)
            ),
            "no key is stuck after not-run": lambda d: (
                not (d["phase_a"] == NOT_RUN and d["row"] == HELD_A and not d["late_a"])
            ),
        },
        goal=lambda d: d["phase_a"] in _ENDS and d["phase_b"] in _ENDS,
    )


_ENDS = (CRASHED, REFUSED, ANSWERED, NOT_RUN)


def _transitions(state: State, mistake: str) -> Steps:
    row, phase_a, phase_b, late_a, late_b, runs_a, runs_b = state
    for label, (new_row, phase, late, runs) in _steps(
        "a", row, phase_a, late_a, runs_a, mistake
    ):
        yield f"a {label}", (new_row, phase, phase_b, late, late_b, runs, runs_b)
    for label, (new_row, phase, late, runs) in _steps(
        "b", row, phase_b, late_b, runs_b, mistake
    ):
        yield f"b {label}", (new_row, phase_a, phase, late_a, late, runs_a, runs)


Own = tuple[str, str, bool, int]


def _steps(
    name: str, row: str, phase: str, late: bool, runs: int, mistake: str
) -> Iterator[tuple[str, Own]]:
    """Yield what one attempt, or the store on its behalf, may do."""
    own = OWN[name]
    yield from _landings(own, row, phase, late, runs)
    if phase == IDLE:
        yield "claims", (row, WRITING, True, runs)
    if phase in (WRITING, UNSURE):
        yield "loses the answer", (row, UNSURE, late, runs)
        yield "crashes", (row, CRASHED, late, runs)
    if phase == UNSURE:
        yield from _read_back(own, row, late, runs, mistake)
        yield from _abandon(own, row, late, runs, mistake)
    if phase == HOLDS:
        yield "sends", (row, SENT, late, runs + 1)
        yield "crashes", (row, CRASHED, late, runs)
    if phase == SENT:
        yield "answers", (DONE if row == own else row, ANSWERED, late, runs)
        yield "fails", (FAILED if row == own else row, REFUSED, late, runs)
        yield "crashes", (row, CRASHED, late, runs)
        if mistake == "release after sending" and row == own:
            yield "releases", (RELEASED, NOT_RUN, late, runs)


def _landings(
    own: str, row: str, phase: str, late: bool, runs: int
) -> Iterator[tuple[str, Own]]:
    """Let a claim write that is on its way reach the store, or be answered."""
    if not late:
        return
    open_row = row in (FREE, RELEASED)
    if phase == WRITING and open_row:
        yield "claim lands", (own, HOLDS, False, runs)
    elif phase == WRITING:
        yield "claim conflicts", (row, REFUSED, False, runs)
    elif row == FREE:
        # Only the condition that the row is absent can still hold for a late write.
        yield "claim lands late", (own, phase, False, runs)
    else:
        yield "late claim conflicts", (row, phase, False, runs)


def _read_back(
    own: str, row: str, late: bool, runs: int, mistake: str
) -> Iterator[tuple[str, Own]]:
    if row == own:
        yield "reads its own claim", (row, HOLDS, late, runs)
    elif row in (HELD_A, HELD_B, DONE, FAILED):
        if mistake == "read back by key":
            yield "takes another's claim for its own", (row, HOLDS, late, runs)
        elif mistake == "take over a claim" and row != DONE:
            yield "takes the claim over", (own, HOLDS, late, runs)
        else:
            yield "reads another's claim", (row, REFUSED, late, runs)


def _abandon(
    own: str, row: str, late: bool, runs: int, mistake: str
) -> Iterator[tuple[str, Own]]:
    """Give up: leave a released row so that a late claim finds its condition broken."""
    if mistake == "abandon without a row" and row in (FREE, own):
        yield "abandons", (FREE, NOT_RUN, late, runs)
    elif row in (FREE, own, RELEASED):
        yield "abandons", (RELEASED, NOT_RUN, late, runs)
