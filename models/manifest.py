"""
Model of the manifest
=====================

Two publishers that race with a store that loses answers, and two entries, one of which
restarts.

State: the manifest's version and last publication, each publisher's base, phase and
version, and the versions in force at the entries.
"""

from collections.abc import Iterator

from minicheck import Protocol

MAX_VERSION = 3
IDLE, READ, UNSURE, TOLD_DONE, TOLD_CONFLICT = (
    "idle",
    "read",
    "unsure",
    "done",
    "conflict",
)
MISTAKES = (
    "no condition",
    "read back the manifest",
    "take any version",
    "repeat blindly",
)

State = tuple[tuple[str, ...], str, str, int, int, int, int, int, int]


def build(mistake: str = "") -> Protocol:
    """
    Return the protocol; history is the list of publications in the order of versions.

    Parameters
    ----------
    mistake : str
        One of ``MISTAKES``, or empty.
    """
    return Protocol(
        name=f"manifest {mistake}".strip(),
        candidate=False,
        fields=(
            "history", "phase_1", "phase_2", "base_1", "base_2",
            "entry_1", "entry_2", "peak_1", "peak_2",
        ),
        initial=((), IDLE, IDLE, 0, 0, 0, 0, 0, 0),
        transitions=lambda state: list(_transitions(state, mistake)),
        invariants={
            "told done is in the history": lambda d: all(
                phase != TOLD_DONE or name in d["history"]
                for name, phase in (("1", d["phase_1"]), ("2", d["phase_2"]))
            ),
            "told conflict changed nothing": lambda d: all(
                phase != TOLD_CONFLICT or name not in d["history"]
                for name, phase in (("1", d["phase_1"]), ("2", d["phase_2"]))
            ),
            "each publication once": lambda d: len(set(d["history"]))
            == len(d["history"]),
            "no publication is overwritten unseen": lambda d: "!" not in d["history"],
            "no entry goes back": lambda d: d["entry_1"] >= d["peak_1"]
            and d["entry_2"] >= d["peak_2"],
        },
        goal=lambda d: d["phase_1"] in _ENDS and d["phase_2"] in _ENDS,
    )  # fmt: skip


_ENDS = (TOLD_DONE, TOLD_CONFLICT)


def _transitions(state: State, mistake: str) -> Iterator[tuple[str, State]]:
    history, phase_1, phase_2, base_1, base_2, *entries = state
    for label, new_history, phase, base in _publish(
        "1", history, phase_1, base_1, mistake
    ):
        yield f"1 {label}", (new_history, phase, phase_2, base, base_2, *entries)  # type: ignore[misc]
    for label, new_history, phase, base in _publish(
        "2", history, phase_2, base_2, mistake
    ):
        yield f"2 {label}", (new_history, phase_1, phase, base_1, base, *entries)  # type: ignore[misc]
    yield from _entries(state, mistake)


def _publish(
    name: str, history: tuple[str, ...], phase: str, base: int, mistake: str
) -> Iterator[tuple[str, tuple[str, ...], str, int]]:
    if phase == IDLE:
        yield "reads", history, READ, len(history)
    if phase == READ:
        moved = (*history, name)
        if base != len(history) and mistake == "no condition":
            moved = (*history[:base], "!", name)
        if base == len(history) or mistake == "no condition":
            yield "moves", moved, TOLD_DONE, base
            yield "moves, answer lost", moved, UNSURE, base
        else:
            yield "conflicts", history, TOLD_CONFLICT, base
        yield "write lost", history, UNSURE, base
    if phase == UNSURE:
        yield from _read_back(name, history, base, mistake)


def _read_back(
    name: str, history: tuple[str, ...], base: int, mistake: str
) -> Iterator[tuple[str, tuple[str, ...], str, int]]:
    """Look at the history's row of the version that the move would have made."""
    if mistake == "repeat blindly" and len(history) < MAX_VERSION:
        yield "repeats", (*history, name), TOLD_DONE, base
    elif mistake == "read back the manifest" and history:
        done = history[-1] == name
        yield "reads back", history, TOLD_DONE if done else TOLD_CONFLICT, base
    elif len(history) > base:
        done = history[base] == name
        yield "reads back", history, TOLD_DONE if done else TOLD_CONFLICT, base
    else:
        yield "tries again", history, READ, base


def _entries(state: State, mistake: str) -> Iterator[tuple[str, State]]:
    history, phase_1, phase_2, base_1, base_2, entry_1, entry_2, peak_1, peak_2 = state
    head = (history, phase_1, phase_2, base_1, base_2)
    offers_1 = {len(history), entry_2}
    offers_2 = {len(history), entry_1}
    # A reading of the store may be old: any version up to the present one.
    offers_1 |= set(range(len(history) + 1))
    offers_2 |= set(range(len(history) + 1))
    for offer in offers_1:
        if offer > entry_1 or mistake == "take any version":
            yield f"entry 1 takes {offer}", (
                *head, offer, entry_2, max(peak_1, entry_1), peak_2,
            )  # fmt: skip
    for offer in offers_2:
        if offer > entry_2 or mistake == "take any version":
            yield f"entry 2 takes {offer}", (
                *head, entry_1, offer, peak_1, max(peak_2, entry_2),
            )  # fmt: skip
    # A restarted entry has nothing and serves nothing until it takes a version.
    yield "entry 2 restarts", (*head, entry_1, 0, peak_1, 0)
