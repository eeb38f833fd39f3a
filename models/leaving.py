"""
Model of a replica that leaves
==============================

What one gateway may believe of a replica, from a list that is late, can be cut off,
drops silent replicas by itself, and repeats older reports.

State: what the replica does, what the store lists, whether the gateway reaches the
store, the ticks since it could again, what the gateway believes, and the ticks that the
entry has been missing.  A tick is a second.
"""

from collections.abc import Iterator

from minicheck import Protocol

# Ticks in which a replica that lives is listed again after an outage.
GRACE = 2
LIVE, LEAVING, GONE = "live", "leaving", "gone"
ABSENT = "absent"
MISTAKES = (
    "a late report revives",
    "missing after an outage is gone",
    "held without end",
)

# (replica, listed, reachable, since the outage, believed, ticks that it was missing)
State = tuple[str, str, bool, int, str, int]


def build(mistake: str = "") -> Protocol:
    """
    Return the protocol.

    Parameters
    ----------
    mistake : str
        One of ``MISTAKES``, or empty.
    """
    return Protocol(
        name=f"leaving {mistake}".strip(),
        candidate=False,
        fields=("replica", "listed", "reachable", "back", "believed", "missing"),
        initial=(LIVE, LIVE, True, GRACE + 1, LIVE, 0),
        transitions=lambda state: list(_transitions(state, mistake)),
        invariants={
            "no work for a replica that is known to leave": lambda d: (
                not (
                    d["reachable"] and d["listed"] == LEAVING and d["believed"] == LIVE
                )
            ),
            "a replica that lives and is listed is used": lambda d: (
                not (
                    d["replica"] == LIVE
                    and d["believed"] == ABSENT
                    and d["back"] <= GRACE
                )
            ),
            "an entry that does not come back is dropped": lambda d: (
                d["missing"] <= GRACE + 1
            ),
        },
        goal=lambda d: d["believed"] != LIVE,
    )


def _transitions(state: State, mistake: str) -> Iterator[tuple[str, State]]:
    replica, listed, reachable, back, believed, missing = state
    if replica == LIVE:
        yield (
            "the replica reports that it leaves",
            _read((LEAVING, LEAVING, reachable, back, believed, missing), mistake),
        )
        yield "the replica crashes", (
            GONE, listed, reachable, back, believed, missing,
        )  # fmt: skip
    if reachable:
        yield "the store is lost", (
            replica, listed, False, 0, believed, 0,
        )  # fmt: skip
        if believed == LEAVING:
            late = LIVE if mistake == "a late report revives" else believed
            yield "an older report comes late", (
                replica, listed, reachable, back, late, missing,
            )  # fmt: skip
    else:
        if listed == LIVE:
            yield "the store drops the entry unseen", (
                replica, ABSENT, reachable, back, believed, missing,
            )  # fmt: skip
        yield (
            "the store is back",
            _read((replica, listed, True, 0, believed, missing), mistake),
        )
    yield "a second passes", _tick(state, mistake)


def _tick(state: State, mistake: str) -> State:
    """Let a second pass: entries come back or lapse, and the gateway reads."""
    replica, listed, reachable, back, believed, missing = state
    if reachable:
        back = min(back + 1, GRACE + 1)
        if replica == LIVE and listed == ABSENT and back >= GRACE:
            listed = LIVE
        if replica == GONE:
            listed = ABSENT
        if listed == ABSENT and believed == LIVE:
            missing = min(missing + 1, GRACE + 2)
    return _read((replica, listed, reachable, back, believed, missing), mistake)


def _read(state: State, mistake: str) -> State:
    """Let the gateway take in the list, if it can."""
    replica, listed, reachable, back, believed, missing = state
    if not reachable:
        return state
    if listed == LEAVING:
        believed = LEAVING
    elif listed == LIVE and believed != LEAVING:
        believed, missing = LIVE, 0
    elif listed == ABSENT and believed == LIVE:
        believed = _judge_missing(back, missing, mistake)
    if believed != LIVE:
        missing = 0
    return replica, listed, reachable, back, believed, missing


def _judge_missing(back: int, missing: int, mistake: str) -> str:
    """Return what to believe of a replica that the list no longer has."""
    if mistake == "missing after an outage is gone":
        return ABSENT
    if mistake == "held without end":
        return LIVE
    lapse_is_possible = back <= GRACE
    return LIVE if lapse_is_possible and missing <= GRACE else ABSENT
