"""
Model of the lease
==================

Two contenders with drifting polls, pauses between decision and order, and engines that
check the fencing number or do not.

Time passes in ticks.  A holder stops by itself after ``HOLD`` ticks, a watcher takes
over after ``EXPIRY`` ticks without a change.  State: the row's holder and fencing,
ticks since the holder's last renewal, each contender's belief, an order on its way with
its number, the engine's state.
"""

from collections.abc import Iterator

from minicheck import Protocol

HOLD = 2  # ticks
EXPIRY = 3  # ticks
MAX_FENCING = 3
NOBODY = 0
MISTAKES = (
    "holder does not stop",
    "take over early",
    "engine ignores the number",
    "no wait",
)

State = tuple[int, int, int, int, int, int, int, int, int]


def build(mistake: str = "", *, engine_checks: bool = True) -> Protocol:
    """
    Return the protocol.

    Parameters
    ----------
    mistake : str
        One of ``MISTAKES``, or empty.
    engine_checks : bool
        Whether the engine refuses an old number; if not, the new holder waits before it
        orders, and only an order that was paused in flight for longer is left possible.
    """
    checks = engine_checks and mistake != "engine ignores the number"
    waits = not engine_checks and mistake != "no wait"
    kind = "fencing" if engine_checks else "non-fencing"
    return Protocol(
        name=f"lease, {kind} engine {mistake}".strip(),
        candidate=False,
        fields=(
            "fencing", "age", "valid_1", "valid_2", "number_1", "number_2",
            "flight", "flight_age", "engine",
        ),
        initial=(1, 0, HOLD, 0, 1, 0, 0, 0, 0),
        transitions=lambda state: list(
            _transitions(state, mistake, checks, waits, not engine_checks)
        ),
        invariants={
            "one holder at a time": lambda d: not (
                _acts(d["valid_1"], mistake, d["number_1"])
                and _acts(d["valid_2"], mistake, d["number_2"])
                and d["number_1"] != d["number_2"]
                and d["number_1"] > 0
                and d["number_2"] > 0
            ),
            "an old order never follows a newer one": lambda d: d["engine"] >= 0,
        },
        goal=lambda d: d["engine"] > 0 or d["fencing"] == MAX_FENCING,
    )  # fmt: skip


def _acts(valid: int, mistake: str, number: int) -> bool:
    return number > 0 and (valid > 0 or mistake == "holder does not stop")


def _transitions(
    state: State, mistake: str, checks: bool, waits: bool, bounded: bool
) -> Iterator[tuple[str, State]]:
    yield from _time(state, bounded)
    for who in (1, 2):
        yield from _contend(state, who, mistake)
        yield from _order(state, who, mistake, waits)
    yield from _arrive(state, checks)


def _time(state: State, bounded: bool) -> Iterator[tuple[str, State]]:
    fencing, age, valid_1, valid_2, number_1, number_2, flight, flight_age, engine = (
        state
    )
    # Without fencing, an order is assumed to arrive within EXPIRY of being sent.
    if flight and bounded and flight_age >= EXPIRY:
        return
    aged = min(flight_age + 1, EXPIRY) if flight else 0
    yield "tick", (
        fencing, min(age + 1, 2 * EXPIRY), max(0, valid_1 - 1), max(0, valid_2 - 1),
        number_1, number_2, flight, aged, engine,
    )  # fmt: skip


def _contend(state: State, who: int, mistake: str) -> Iterator[tuple[str, State]]:
    fencing, age, valid_1, valid_2, number_1, number_2, flight, flight_age, engine = (
        state
    )
    number = (number_1, number_2)[who - 1]
    valid = (valid_1, valid_2)[who - 1]
    if number == fencing and _acts(valid, mistake, number):
        new = (HOLD, valid_2) if who == 1 else (valid_1, HOLD)
        yield f"{who} renews", (
            fencing, 0, *new, number_1, number_2, flight, flight_age, engine,
        )  # fmt: skip
    early = 1 if mistake == "take over early" else EXPIRY
    if number != fencing and age >= early and fencing < MAX_FENCING:
        new = (HOLD, valid_2) if who == 1 else (valid_1, HOLD)
        numbers = (fencing + 1, number_2) if who == 1 else (number_1, fencing + 1)
        yield f"{who} takes over", (
            fencing + 1, 0, *new, *numbers, flight, flight_age, engine,
        )  # fmt: skip


def _order(
    state: State, who: int, mistake: str, waits: bool
) -> Iterator[tuple[str, State]]:
    """Send an order; it may be paused on its way."""
    fencing, age, valid_1, valid_2, number_1, number_2, flight, flight_age, engine = (
        state
    )
    number = (number_1, number_2)[who - 1]
    valid = (valid_1, valid_2)[who - 1]
    if not _acts(valid, mistake, number):
        return
    if not flight:
        yield f"{who} orders", (
            fencing, age, valid_1, valid_2, number_1, number_2, number, 0, engine,
        )  # fmt: skip
    # Without fencing the new holder's first order comes only after a wait, by which the
    # old holder's has arrived; with it, both may be under way and the engine tells.
    if not waits:
        yield f"{who} orders and it arrives first", (
            fencing, age, valid_1, valid_2, number_1, number_2, flight, flight_age,
            max(number, engine),
        )  # fmt: skip


def _arrive(state: State, checks: bool) -> Iterator[tuple[str, State]]:
    fencing, age, valid_1, valid_2, number_1, number_2, flight, _, engine = state
    if not flight:
        return
    if flight >= engine:
        after = flight
    else:
        after = engine if checks else -1
    yield "order arrives", (
        fencing, age, valid_1, valid_2, number_1, number_2, 0, 0, after,
    )  # fmt: skip
