"""
Model of the broadcast of a list
================================

One gateway, the reader, polls a list at the store and sends updates to another, the
follower, in datagrams that may be lost.  The reader may be partitioned from the store
or be paused at any time.  A follower whose last confirmation expired polls the store
itself.

State variables, with times in ticks of half a second: the ticks since the list changed
(-1 before), the versions that are active at reader and follower, the reader's status,
the ticks since the store last responded to the reader, and the age of the follower's
newest confirmation.
"""

from collections.abc import Iterator

from minicheck import Protocol

CONFIRMATION_TTL_TICKS = 2  # a confirmation is valid for this long
MAX_DELAY_TICKS = 4  # a change has to be active at the follower within this time
HEALTHY, PARTITIONED, PAUSED = "healthy", "partitioned", "paused"
MUTATIONS = (
    "every datagram confirms",
    "confirmations never expire",
    "updates are ignored",
)

State = tuple[int, int, int, str, int, int]


def build_protocol(mutation: str = "") -> Protocol:
    """
    Return the specification, or a mutant of it.

    Parameters
    ----------
    mutation : str
        One of ``MUTATIONS``; empty for the specification itself.
    """
    return Protocol(
        name=f"following {mutation}".strip(),
        candidate=False,
        fields=(
            "ticks_since_change",
            "reader_version",
            "follower_version",
            "reader_status",
            "store_age",
            "confirmation_age",
        ),
        initial=(-1, 0, 0, HEALTHY, 0, 0),
        transitions=lambda state: list(_transitions(state, mutation)),
        invariants={
            "a change is active in time": lambda d: (
                d["ticks_since_change"] < MAX_DELAY_TICKS or d["follower_version"] == 1
            ),
            "no gateway is ahead of the store": lambda d: (
                d["ticks_since_change"] >= 0
                or (d["reader_version"], d["follower_version"]) == (0, 0)
            ),
        },
        goal=lambda d: d["follower_version"] == 1,
    )


def _transitions(state: State, mutation: str) -> Iterator[tuple[str, State]]:
    (
        ticks_since_change,
        reader_version,
        follower_version,
        reader_status,
        store_age,
        confirmation_age,
    ) = state
    if ticks_since_change < 0:
        yield (
            "the list changes",
            (
                0,
                reader_version,
                follower_version,
                reader_status,
                store_age,
                confirmation_age,
            ),
        )
    if reader_status == HEALTHY:
        for status in (PARTITIONED, PAUSED):
            yield f"the reader is {status}", (
                ticks_since_change, reader_version, follower_version, status,
                store_age, confirmation_age,
            )  # fmt: skip
    for is_lost in (False, True):
        yield _tick(state, is_lost, mutation)


def _tick(state: State, is_lost: bool, mutation: str) -> tuple[str, State]:
    """Advance time by a tick, in which the reader polls and the follower checks."""
    (
        ticks_since_change,
        reader_version,
        follower_version,
        reader_status,
        store_age,
        confirmation_age,
    ) = state
    store_version = int(ticks_since_change >= 0)
    ticks_since_change = (
        min(ticks_since_change + 1, MAX_DELAY_TICKS)
        if ticks_since_change >= 0
        else ticks_since_change
    )
    store_age = min(store_age + 1, CONFIRMATION_TTL_TICKS + 1)
    confirmation_age = min(confirmation_age + 1, CONFIRMATION_TTL_TICKS + 1)
    if reader_status == HEALTHY:
        reader_version, store_age = store_version, 0
    is_received = reader_status != PAUSED and not is_lost
    if is_received:
        age = 0 if mutation == "every datagram confirms" else store_age
        confirmation_age = min(confirmation_age, age)
    has_update = (
        is_received
        and reader_version > follower_version
        and mutation != "updates are ignored"
    )
    is_unconfirmed = (
        confirmation_age > CONFIRMATION_TTL_TICKS - 1
        and mutation != "confirmations never expire"
    )
    if has_update or is_unconfirmed:
        follower_version, confirmation_age = store_version, 0
    label = "half a second passes" + (", a datagram is lost" if is_lost else "")
    return label, (
        ticks_since_change,
        reader_version,
        follower_version,
        reader_status,
        store_age,
        confirmation_age,
    )
