"""
Model of following a list
=========================

One gateway reads a list at the store and tells another in datagrams that may be lost;
the reader may be cut off from the store or freeze at any time.

State, in ticks of half a second: ticks since the list changed (-1 before), the versions
that reader and follower have in force, the reader's trouble, the ticks since the store
answered the reader, and since the follower's newest confirmation.
"""

from collections.abc import Iterator

from minicheck import Protocol

TRUST = 2  # ticks that a confirmation counts
BOUND = 4  # ticks within which a change has to be in force
WELL, CUT, FROZEN = "well", "cut", "frozen"
MISTAKES = ("a heartbeat confirms", "trust without end", "notices are not looked at")

State = tuple[int, int, int, str, int, int]


def build(mistake: str = "") -> Protocol:
    """
    Return the protocol.

    Parameters
    ----------
    mistake : str
        One of ``MISTAKES``, or empty.
    """
    return Protocol(
        name=f"following {mistake}".strip(),
        candidate=False,
        fields=("since", "reader", "follower", "trouble", "asked", "confirmed"),
        initial=(-1, 0, 0, WELL, 0, 0),
        transitions=lambda state: list(_transitions(state, mistake)),
        invariants={
            "a change is in force in time": lambda d: (
                d["since"] < BOUND or d["follower"] == 1
            ),
            "nobody is ahead of the store": lambda d: (
                d["since"] >= 0 or (d["reader"], d["follower"]) == (0, 0)
            ),
        },
        goal=lambda d: d["follower"] == 1,
    )


def _transitions(state: State, mistake: str) -> Iterator[tuple[str, State]]:
    since, reader, follower, trouble, asked, confirmed = state
    if since < 0:
        yield "the list changes", (0, reader, follower, trouble, asked, confirmed)
    if trouble == WELL:
        for news in (CUT, FROZEN):
            yield f"the reader is {news}", (
                since, reader, follower, news, asked, confirmed,
            )  # fmt: skip
    for lost in (False, True):
        yield _tick(state, lost, mistake)


def _tick(state: State, lost: bool, mistake: str) -> tuple[str, State]:
    """Let half a second pass; each does what it has to do in that time."""
    since, reader, follower, trouble, asked, confirmed = state
    store = int(since >= 0)
    since = min(since + 1, BOUND) if since >= 0 else since
    asked = min(asked + 1, TRUST + 1)
    confirmed = min(confirmed + 1, TRUST + 1)
    if trouble == WELL:
        reader, asked = store, 0
    told = trouble != FROZEN and not lost
    if told:
        age = 0 if mistake == "a heartbeat confirms" else asked
        confirmed = min(confirmed, age)
    notice = told and reader > follower and mistake != "notices are not looked at"
    doubt = confirmed > TRUST - 1 and mistake != "trust without end"
    if notice or doubt:
        follower, confirmed = store, 0
    label = "half a second passes" + (", a datagram is lost" if lost else "")
    return label, (since, reader, follower, trouble, asked, confirmed)
