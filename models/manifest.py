"""
Model of the manifest
=====================

Two publishers that race at a store that may lose writes and responses, and two entries,
one of which restarts.

State variables: the history, each publisher's phase and the version that its
publication is based on, and for each entry the active version and the highest one that
it had before.  The history holds the names of the publications in the order of
versions; ``!`` marks one that was overwritten.
"""

from collections.abc import Iterator

from minicheck import Protocol

MAX_VERSION = 3
IDLE, READ, UNCONFIRMED, SUCCEEDED, CONFLICTED = (
    "idle",
    "read",
    "unconfirmed",
    "done",
    "conflict",
)
MUTATIONS = (
    "write without a condition",
    "read back the manifest",
    "activate any version",
    "repeat without reading back",
)

State = tuple[tuple[str, ...], str, str, int, int, int, int, int, int]


def build_protocol(mutation: str = "") -> Protocol:
    """
    Return the specification, or a mutant of it.

    Parameters
    ----------
    mutation : str
        One of ``MUTATIONS``; empty for the specification itself.
    """
    return Protocol(
        name=f"manifest {mutation}".strip(),
        candidate=False,
        fields=(
            "history", "phase_1", "phase_2", "base_version_1", "base_version_2",
            "entry_version_1", "entry_version_2", "max_version_1", "max_version_2",
        ),
        initial=((), IDLE, IDLE, 0, 0, 0, 0, 0, 0),
        transitions=lambda state: list(_transitions(state, mutation)),
        invariants={
            "a reported success is in the history": lambda d: all(
                phase != SUCCEEDED or name in d["history"]
                for name, phase in (("1", d["phase_1"]), ("2", d["phase_2"]))
            ),
            "a reported conflict is not in the history": lambda d: all(
                phase != CONFLICTED or name not in d["history"]
                for name, phase in (("1", d["phase_1"]), ("2", d["phase_2"]))
            ),
            "each publication has one version": lambda d: len(set(d["history"]))
            == len(d["history"]),
            "no publication is overwritten": lambda d: "!" not in d["history"],
            "no entry activates an older version": lambda d: d["entry_version_1"]
            >= d["max_version_1"]
            and d["entry_version_2"] >= d["max_version_2"],
        },
        goal=lambda d: d["phase_1"] in _FINAL_PHASES and d["phase_2"] in _FINAL_PHASES,
    )  # fmt: skip


_FINAL_PHASES = (SUCCEEDED, CONFLICTED)


def _transitions(state: State, mutation: str) -> Iterator[tuple[str, State]]:
    history, phase_1, phase_2, base_version_1, base_version_2, *entries = state
    for label, new_history, phase, base_version in _publisher_transitions(
        "1", history, phase_1, base_version_1, mutation
    ):
        yield (
            f"1 {label}",
            (new_history, phase, phase_2, base_version, base_version_2, *entries),
        )  # type: ignore[misc]
    for label, new_history, phase, base_version in _publisher_transitions(
        "2", history, phase_2, base_version_2, mutation
    ):
        yield (
            f"2 {label}",
            (new_history, phase_1, phase, base_version_1, base_version, *entries),
        )  # type: ignore[misc]
    yield from _entry_transitions(state, mutation)


def _publisher_transitions(
    name: str, history: tuple[str, ...], phase: str, base_version: int, mutation: str
) -> Iterator[tuple[str, tuple[str, ...], str, int]]:
    if phase == IDLE:
        yield "reads", history, READ, len(history)
    if phase == READ:
        new_history = (*history, name)
        if base_version != len(history) and mutation == "write without a condition":
            new_history = (*history[:base_version], "!", name)
        if base_version == len(history) or mutation == "write without a condition":
            yield "publishes", new_history, SUCCEEDED, base_version
            yield "publishes, response lost", new_history, UNCONFIRMED, base_version
        else:
            yield "conflicts", history, CONFLICTED, base_version
        yield "write lost", history, UNCONFIRMED, base_version
    if phase == UNCONFIRMED:
        yield from _read_back_transitions(name, history, base_version, mutation)


def _read_back_transitions(
    name: str, history: tuple[str, ...], base_version: int, mutation: str
) -> Iterator[tuple[str, tuple[str, ...], str, int]]:
    """Read the history's row of the version that the publication would have made."""
    if mutation == "repeat without reading back" and len(history) < MAX_VERSION:
        yield "repeats", (*history, name), SUCCEEDED, base_version
    elif mutation == "read back the manifest" and history:
        succeeded = history[-1] == name
        yield (
            "reads back",
            history,
            SUCCEEDED if succeeded else CONFLICTED,
            base_version,
        )
    elif len(history) > base_version:
        succeeded = history[base_version] == name
        yield (
            "reads back",
            history,
            SUCCEEDED if succeeded else CONFLICTED,
            base_version,
        )
    else:
        yield "tries again", history, READ, base_version


def _entry_transitions(state: State, mutation: str) -> Iterator[tuple[str, State]]:
    (
        history,
        phase_1,
        phase_2,
        base_version_1,
        base_version_2,
        entry_version_1,
        entry_version_2,
        max_version_1,
        max_version_2,
    ) = state
    publisher_state = (history, phase_1, phase_2, base_version_1, base_version_2)
    readable_versions_1 = {len(history), entry_version_2}
    readable_versions_2 = {len(history), entry_version_1}
    # A read may be stale and return any version up to the current one.
    readable_versions_1 |= set(range(len(history) + 1))
    readable_versions_2 |= set(range(len(history) + 1))
    for version in readable_versions_1:
        if version > entry_version_1 or mutation == "activate any version":
            yield f"entry 1 activates {version}", (
                *publisher_state, version, entry_version_2,
                max(max_version_1, entry_version_1), max_version_2,
            )  # fmt: skip
    for version in readable_versions_2:
        if version > entry_version_2 or mutation == "activate any version":
            yield f"entry 2 activates {version}", (
                *publisher_state, entry_version_1, version, max_version_1,
                max(max_version_2, entry_version_2),
            )  # fmt: skip
    # A restarted entry has no version, and serves no requests until it activates one.
    yield "entry 2 restarts", (*publisher_state, entry_version_1, 0, max_version_1, 0)
