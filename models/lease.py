"""
Model of the lease
==================

Two candidates whose polls drift and which may be paused between a decision and the load
command that follows from it, and an engine that checks the fencing token or does not.

Time passes in ticks.  A holder stops ``RENEW_DEADLINE_TICKS`` after its last renewal, a
candidate takes over after ``EXPIRY`` ticks without a change.  State variables: the
row's fencing token; the ticks since the last renewal; for each candidate the ticks
until its renew deadline and its fencing token; the token of the load command in flight
(0 for none) and the ticks since it was sent; and the highest token of a command that
the engine executed (0 for none), or -1 after it executed an older command later.
"""

from collections.abc import Iterator

from minicheck import Protocol

RENEW_DEADLINE_TICKS = 2
EXPIRY = 3  # ticks
MAX_FENCING_TOKEN = 3
MUTATIONS = (
    "holder does not stop",
    "take over early",
    "engine ignores the token",
    "no wait before the first command",
)

State = tuple[int, int, int, int, int, int, int, int, int]


def build_protocol(mutation: str = "", *, engine_checks_token: bool = True) -> Protocol:
    """
    Return the specification, or a mutant of it.

    Parameters
    ----------
    mutation : str
        One of ``MUTATIONS``; empty for the specification itself.
    engine_checks_token : bool
        Whether the engine rejects commands with an older fencing token.  If not, a new
        holder waits before its first command, so that only a command that is delayed
        for longer than the wait can arrive after it; the model excludes such delays.
    """
    engine_rejects = engine_checks_token and mutation != "engine ignores the token"
    holder_waits = (
        not engine_checks_token and mutation != "no wait before the first command"
    )
    engine_kind = "fencing" if engine_checks_token else "non-fencing"
    return Protocol(
        name=f"lease, {engine_kind} engine {mutation}".strip(),
        candidate=False,
        fields=(
            "row_token", "renewal_age", "remaining_1", "remaining_2",
            "token_1", "token_2", "in_flight_token", "in_flight_age", "engine_token",
        ),
        initial=(1, 0, RENEW_DEADLINE_TICKS, 0, 1, 0, 0, 0, 0),
        transitions=lambda state: list(
            _transitions(
                state, mutation, engine_rejects, holder_waits, not engine_checks_token
            )
        ),
        invariants={
            "one holder at a time": lambda d: not (
                _may_command(d["remaining_1"], mutation, d["token_1"])
                and _may_command(d["remaining_2"], mutation, d["token_2"])
                and d["token_1"] != d["token_2"]
                and d["token_1"] > 0
                and d["token_2"] > 0
            ),
            "no older command after a newer one": lambda d: d["engine_token"] >= 0,
        },
        goal=lambda d: d["engine_token"] > 0 or d["row_token"] == MAX_FENCING_TOKEN,
    )  # fmt: skip


def _may_command(remaining: int, mutation: str, token: int) -> bool:
    return token > 0 and (remaining > 0 or mutation == "holder does not stop")


def _transitions(
    state: State,
    mutation: str,
    engine_rejects: bool,
    holder_waits: bool,
    is_delay_bounded: bool,
) -> Iterator[tuple[str, State]]:
    yield from _tick_transitions(state, is_delay_bounded)
    for candidate in (1, 2):
        yield from _candidate_transitions(state, candidate, mutation)
        yield from _command_transitions(state, candidate, mutation, holder_waits)
    yield from _arrival_transitions(state, engine_rejects)


def _tick_transitions(
    state: State, is_delay_bounded: bool
) -> Iterator[tuple[str, State]]:
    (
        row_token,
        renewal_age,
        remaining_1,
        remaining_2,
        token_1,
        token_2,
        in_flight_token,
        in_flight_age,
        engine_token,
    ) = state
    # Without fencing, a command is assumed to arrive within EXPIRY of being sent.
    if in_flight_token and is_delay_bounded and in_flight_age >= EXPIRY:
        return
    new_in_flight_age = min(in_flight_age + 1, EXPIRY) if in_flight_token else 0
    yield "tick", (
        row_token, min(renewal_age + 1, 2 * EXPIRY),
        max(0, remaining_1 - 1), max(0, remaining_2 - 1),
        token_1, token_2, in_flight_token, new_in_flight_age, engine_token,
    )  # fmt: skip


def _candidate_transitions(
    state: State, candidate: int, mutation: str
) -> Iterator[tuple[str, State]]:
    (
        row_token,
        renewal_age,
        remaining_1,
        remaining_2,
        token_1,
        token_2,
        in_flight_token,
        in_flight_age,
        engine_token,
    ) = state
    token = (token_1, token_2)[candidate - 1]
    remaining = (remaining_1, remaining_2)[candidate - 1]
    if token == row_token and _may_command(remaining, mutation, token):
        remaining_ticks = (
            (RENEW_DEADLINE_TICKS, remaining_2)
            if candidate == 1
            else (remaining_1, RENEW_DEADLINE_TICKS)
        )
        yield f"{candidate} renews", (
            row_token, 0, *remaining_ticks, token_1, token_2, in_flight_token,
            in_flight_age, engine_token,
        )  # fmt: skip
    min_age = 1 if mutation == "take over early" else EXPIRY
    if token != row_token and renewal_age >= min_age and row_token < MAX_FENCING_TOKEN:
        remaining_ticks = (
            (RENEW_DEADLINE_TICKS, remaining_2)
            if candidate == 1
            else (remaining_1, RENEW_DEADLINE_TICKS)
        )
        tokens = (
            (row_token + 1, token_2) if candidate == 1 else (token_1, row_token + 1)
        )
        yield f"{candidate} takes over", (
            row_token + 1, 0, *remaining_ticks, *tokens, in_flight_token,
            in_flight_age, engine_token,
        )  # fmt: skip


def _command_transitions(
    state: State, candidate: int, mutation: str, holder_waits: bool
) -> Iterator[tuple[str, State]]:
    """Yield the sending of a load command, which may be delayed in flight."""
    (
        row_token,
        renewal_age,
        remaining_1,
        remaining_2,
        token_1,
        token_2,
        in_flight_token,
        in_flight_age,
        engine_token,
    ) = state
    token = (token_1, token_2)[candidate - 1]
    remaining = (remaining_1, remaining_2)[candidate - 1]
    if not _may_command(remaining, mutation, token):
        return
    if not in_flight_token:
        yield f"{candidate} sends a command", (
            row_token, renewal_age, remaining_1, remaining_2, token_1, token_2, token,
            0, engine_token,
        )  # fmt: skip
    # Without fencing, a new holder sends its first command after a wait, by the end of
    # which the old holder's command has arrived.  With fencing, both commands may be in
    # flight, and the engine rejects the older one.
    if not holder_waits:
        yield f"{candidate} sends a command that arrives first", (
            row_token, renewal_age, remaining_1, remaining_2, token_1, token_2,
            in_flight_token, in_flight_age, max(token, engine_token),
        )  # fmt: skip


def _arrival_transitions(
    state: State, engine_rejects: bool
) -> Iterator[tuple[str, State]]:
    (
        row_token,
        renewal_age,
        remaining_1,
        remaining_2,
        token_1,
        token_2,
        in_flight_token,
        _,
        engine_token,
    ) = state
    if not in_flight_token:
        return
    if in_flight_token >= engine_token:
        new_engine_token = in_flight_token
    else:
        new_engine_token = engine_token if engine_rejects else -1
    yield "the command in flight arrives", (
        row_token, renewal_age, remaining_1, remaining_2, token_1, token_2, 0, 0,
        new_engine_token,
    )  # fmt: skip
