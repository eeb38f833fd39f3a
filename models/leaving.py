"""
Model of a replica that leaves
==============================

What one gateway may believe of a replica.  Its source is a list that may be late or
unreachable, that drops silent replicas by itself, also running ones in an outage, and
that may deliver an older report after a newer one.

State variables: the replica's state, the state that the store lists, whether the
gateway reaches the store, the ticks since the end of the last outage, the state that
the gateway believes, and the ticks for which the entry has been missing.  A tick is a
second.
"""

from collections.abc import Iterator

from minicheck import Protocol

# A running replica is listed again within this time after an outage.
RELISTING_TICKS = 2
LIVE, LEAVING, GONE = "live", "leaving", "gone"
ABSENT = "absent"
MUTATIONS = (
    "an older report overrides leaving",
    "an entry missing after an outage is dropped at once",
    "a missing entry is kept forever",
)

# In the order of the specification's fields.
State = tuple[str, str, bool, int, str, int]


def build_protocol(mutation: str = "") -> Protocol:
    """
    Return the specification, or a mutant of it.

    Parameters
    ----------
    mutation : str
        One of ``MUTATIONS``; empty for the specification itself.
    """
    return Protocol(
        name=f"leaving {mutation}".strip(),
        candidate=False,
        fields=(
            "replica_state",
            "listed_state",
            "is_reachable",
            "ticks_since_recovery",
            "believed_state",
            "missing_ticks",
        ),
        initial=(LIVE, LIVE, True, RELISTING_TICKS + 1, LIVE, 0),
        transitions=lambda state: list(_transitions(state, mutation)),
        invariants={
            "no new requests for a replica that is known to leave": lambda d: (
                not (
                    d["is_reachable"]
                    and d["listed_state"] == LEAVING
                    and d["believed_state"] == LIVE
                )
            ),
            "a running replica is used after an outage": lambda d: (
                not (
                    d["replica_state"] == LIVE
                    and d["believed_state"] == ABSENT
                    and d["ticks_since_recovery"] <= RELISTING_TICKS
                )
            ),
            "an entry that is not listed again is dropped": lambda d: (
                d["missing_ticks"] <= RELISTING_TICKS + 1
            ),
        },
        goal=lambda d: d["believed_state"] != LIVE,
    )


def _transitions(state: State, mutation: str) -> Iterator[tuple[str, State]]:
    (
        replica_state,
        listed_state,
        is_reachable,
        ticks_since_recovery,
        believed_state,
        missing_ticks,
    ) = state
    if replica_state == LIVE:
        yield (
            "the replica reports that it leaves",
            _read_list(
                (
                    LEAVING,
                    LEAVING,
                    is_reachable,
                    ticks_since_recovery,
                    believed_state,
                    missing_ticks,
                ),
                mutation,
            ),
        )
        yield "the replica crashes", (
            GONE, listed_state, is_reachable, ticks_since_recovery, believed_state,
            missing_ticks,
        )  # fmt: skip
    if is_reachable:
        yield "the store becomes unreachable", (
            replica_state, listed_state, False, 0, believed_state, 0,
        )  # fmt: skip
        if believed_state == LEAVING:
            reported_state = (
                LIVE
                if mutation == "an older report overrides leaving"
                else believed_state
            )
            yield "an older report arrives", (
                replica_state, listed_state, is_reachable, ticks_since_recovery,
                reported_state, missing_ticks,
            )  # fmt: skip
    else:
        if listed_state == LIVE:
            yield "the store drops the entry during the outage", (
                replica_state, ABSENT, is_reachable, ticks_since_recovery,
                believed_state, missing_ticks,
            )  # fmt: skip
        yield (
            "the store is reachable again",
            _read_list(
                (replica_state, listed_state, True, 0, believed_state, missing_ticks),
                mutation,
            ),
        )
    yield "a second passes", _tick(state, mutation)


def _tick(state: State, mutation: str) -> State:
    """Advance time by a tick: entries are listed again or expire; the gateway reads."""
    (
        replica_state,
        listed_state,
        is_reachable,
        ticks_since_recovery,
        believed_state,
        missing_ticks,
    ) = state
    if is_reachable:
        ticks_since_recovery = min(ticks_since_recovery + 1, RELISTING_TICKS + 1)
        if (
            replica_state == LIVE
            and listed_state == ABSENT
            and ticks_since_recovery >= RELISTING_TICKS
        ):
            listed_state = LIVE
        if replica_state == GONE:
            listed_state = ABSENT
        if listed_state == ABSENT and believed_state == LIVE:
            missing_ticks = min(missing_ticks + 1, RELISTING_TICKS + 2)
    return _read_list(
        (
            replica_state,
            listed_state,
            is_reachable,
            ticks_since_recovery,
            believed_state,
            missing_ticks,
        ),
        mutation,
    )


def _read_list(state: State, mutation: str) -> State:
    """Apply the list to what the gateway believes, if the store is reachable."""
    (
        replica_state,
        listed_state,
        is_reachable,
        ticks_since_recovery,
        believed_state,
        missing_ticks,
    ) = state
    if not is_reachable:
        return state
    if listed_state == LEAVING:
        believed_state = LEAVING
    elif listed_state == LIVE and believed_state != LEAVING:
        believed_state, missing_ticks = LIVE, 0
    elif listed_state == ABSENT and believed_state == LIVE:
        believed_state = _judge_missing_entry(
            ticks_since_recovery, missing_ticks, mutation
        )
    if believed_state != LIVE:
        missing_ticks = 0
    return (
        replica_state,
        listed_state,
        is_reachable,
        ticks_since_recovery,
        believed_state,
        missing_ticks,
    )


def _judge_missing_entry(
    ticks_since_recovery: int, missing_ticks: int, mutation: str
) -> str:
    """Return the state to believe of a replica that is no longer listed."""
    if mutation == "an entry missing after an outage is dropped at once":
        return ABSENT
    if mutation == "a missing entry is kept forever":
        return LIVE
    may_be_relisted = ticks_since_recovery <= RELISTING_TICKS
    return LIVE if may_be_relisted and missing_ticks <= RELISTING_TICKS else ABSENT
