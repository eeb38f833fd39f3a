"""
Model of the duties
===================

Two gateways, the lease's row with its token, the store that may be restored from a
backup, one window whose counts become final by a write, and the report of that window,
which may be delayed.

Time passes in ticks.  A holder stops ``RENEW_DEADLINE_TICKS`` after its last renewal,
and a gateway takes the lease over after ``EXPIRY`` ticks without a renewal; in a new
era after ``EXPIRY`` ticks in that era.  Each of the two gateways would make other
counts final.  State variables: the era; the token in the row and the ticks since its
renewal or the restore; the window's final counts in the row (0 for none, the number
of the gateway that counted, or ``PASSED_OVER``); for each gateway its token, the ticks
until its renew deadline, the ticks that it has waited since the acquisition, and what
it knows because it held the lease until the restore (0 for nothing, else one more than
the counts that were final); the token and counts of the report in flight with its age;
the highest token and the counts that the API has accepted; and bits of violations.
"""

from collections.abc import Iterator

import msgspec
from minicheck import Protocol

RENEW_DEADLINE_TICKS = 2
EXPIRY = 3  # ticks
# A call that is sent arrives within this time, or never.
MAX_CALL_TICKS = 2
# A new holder waits for this time before its first call, so that the calls of the one
# before have arrived.
HANDOVER_TICKS = 1
MAX_TOKEN = 4
MAX_ERA = 1
# A window that may have been closed before the restore and is not reported any more.
PASSED_OVER = 3
MUTATIONS = (
    "holder does not stop",
    "counts are reported before they are final",
    "counts are written without conditions",
    "tokens begin anew after a restore",
    "a restored window is closed again",
    "lease is acquired at once after a restore",
    "no wait before the first call",
)

State = tuple[int, ...]
FIELDS = (
    "era", "row_token", "row_age", "row_counts",
    "token_1", "remaining_1", "waited_1", "knows_1",
    "call_token_1", "call_counts_1", "call_age_1",
    "token_2", "remaining_2", "waited_2", "knows_2",
    "call_token_2", "call_counts_2", "call_age_2",
    "api_token", "api_counts", "violation",
)  # fmt: skip


class _Gateway(msgspec.Struct, frozen=True):
    token: int
    remaining: int
    waited: int
    knows: int
    call_token: int = 0
    call_counts: int = 0
    call_age: int = 0


class _World(msgspec.Struct, frozen=True):
    era: int
    row_token: int
    row_age: int
    row_counts: int
    gateways: tuple[_Gateway, _Gateway]
    api_token: int
    api_counts: int
    violation: int


def build_protocol(mutation: str = "") -> Protocol:
    """
    Return the specification, or a mutant of it.

    Parameters
    ----------
    mutation : str
        One of ``MUTATIONS``; empty for the specification itself.
    """
    idle = _Gateway(0, 0, 0, 0)
    initial = _World(0, 0, EXPIRY, 0, (idle, idle), 0, 0, 0)
    return Protocol(
        name=f"duties {mutation}".strip(),
        candidate=False,
        fields=FIELDS,
        initial=_flatten(initial),
        transitions=lambda state: [
            (name, _flatten(world))
            for name, world in _transitions(_restore_structure(state), mutation)
        ],
        invariants={
            "equal reports of a window": lambda d: d["violation"] & 1 == 0,
            "no lower token": lambda d: d["violation"] & 2 == 0,
            "no token of two holders": lambda d: not (d["token_1"] == d["token_2"] > 0),
        },
        goal=lambda d: (
            d["api_counts"] > 0
            or d["row_token"] >= MAX_TOKEN
            or d["row_counts"] == PASSED_OVER
        ),
    )


def _flatten(world: _World) -> State:
    return (
        world.era, world.row_token, world.row_age, world.row_counts,
        *msgspec.structs.astuple(world.gateways[0]),
        *msgspec.structs.astuple(world.gateways[1]),
        world.api_token, world.api_counts, world.violation,
    )  # fmt: skip


def _restore_structure(state: State) -> _World:
    era, row_token, row_age, row_counts, *others = state
    api_token, api_counts, violation = others[14:]
    return _World(
        era=era,
        row_token=row_token,
        row_age=row_age,
        row_counts=row_counts,
        gateways=(_Gateway(*others[:7]), _Gateway(*others[7:14])),
        api_token=api_token,
        api_counts=api_counts,
        violation=violation,
    )


def _replace_gateway(world: _World, number: int, gateway: _Gateway) -> _World:
    gateways = list(world.gateways)
    gateways[number] = gateway
    return msgspec.structs.replace(world, gateways=(gateways[0], gateways[1]))


def _transitions(world: _World, mutation: str) -> Iterator[tuple[str, _World]]:
    if all(item.call_age < MAX_CALL_TICKS for item in world.gateways):
        yield "tick", _advance(world)
    if world.era < MAX_ERA:
        yield from _restore(world, mutation)
    for number, gateway in enumerate(world.gateways):
        yield from _lease_transitions(world, number, mutation)
        yield from _usage_transitions(world, number, mutation)
        if gateway.call_token:
            yield f"the call of {number + 1} arrives", _accept(world, number)
            yield f"the call of {number + 1} is lost", _end_call(world, number)


def _advance(world: _World) -> _World:
    gateways = tuple(
        msgspec.structs.replace(
            item,
            remaining=max(0, item.remaining - 1),
            waited=min(item.waited + 1, HANDOVER_TICKS) if item.token else 0,
            call_age=item.call_age + 1 if item.call_token else 0,
        )
        for item in world.gateways
    )
    return msgspec.structs.replace(
        world,
        row_age=min(world.row_age + 1, EXPIRY),
        gateways=(gateways[0], gateways[1]),
    )


def _restore(world: _World, mutation: str) -> Iterator[tuple[str, _World]]:
    """Yield the store without what was written since a backup, which may be all."""
    begins_anew = mutation == "tokens begin anew after a restore"
    gateways = tuple(
        msgspec.structs.replace(
            item,
            knows=1 + world.row_counts
            if item.token == world.row_token and item.remaining > 0
            else 0,
        )
        for item in world.gateways
    )
    for counts in {0, world.row_counts}:
        yield (
            "the store is restored",
            msgspec.structs.replace(
                world,
                era=world.era + 1,
                # The era begins the tokens, so that they exceed those before.
                row_token=0 if begins_anew else world.row_token + 1,
                row_age=0,
                row_counts=counts,
                gateways=(gateways[0], gateways[1]),
            ),
        )


def _is_valid(gateway: _Gateway, mutation: str) -> bool:
    return gateway.token > 0 and (
        gateway.remaining > 0 or mutation == "holder does not stop"
    )


def _lease_transitions(
    world: _World, number: int, mutation: str
) -> Iterator[tuple[str, _World]]:
    gateway = world.gateways[number]
    if gateway.remaining and gateway.token == world.row_token > 0:
        renewed = msgspec.structs.replace(gateway, remaining=RENEW_DEADLINE_TICKS)
        yield (
            f"{number + 1} renews",
            msgspec.structs.replace(
                _replace_gateway(world, number, renewed), row_age=0
            ),
        )
    skips_wait = mutation == "lease is acquired at once after a restore"
    min_age = 0 if skips_wait and world.era else EXPIRY
    if world.row_age >= min_age and world.row_token < MAX_TOKEN:
        token = world.row_token + 1
        acquired = msgspec.structs.replace(
            gateway, token=token, remaining=RENEW_DEADLINE_TICKS, waited=0
        )
        yield (
            f"{number + 1} acquires the lease",
            msgspec.structs.replace(
                _replace_gateway(world, number, acquired), row_age=0, row_token=token
            ),
        )


def _usage_transitions(
    world: _World, number: int, mutation: str
) -> Iterator[tuple[str, _World]]:
    gateway = world.gateways[number]
    if not _is_valid(gateway, mutation):
        return
    ignores_conditions = mutation == "counts are written without conditions"
    meets_conditions = gateway.token == world.row_token and not world.row_counts
    if meets_conditions or ignores_conditions:
        counts = number + 1
        if world.era and mutation != "a restored window is closed again":
            # Only the gateway that held the lease until the restore knows whether the
            # window was closed; any other one passes it over.
            known_counts = gateway.knows - 1
            counts = PASSED_OVER if known_counts < 0 else known_counts or counts
        yield (
            f"{number + 1} closes the window",
            msgspec.structs.replace(world, row_counts=counts),
        )
    is_early = mutation == "counts are reported before they are final"
    counts = number + 1 if is_early else world.row_counts
    has_waited = (
        gateway.waited >= HANDOVER_TICKS or mutation == "no wait before the first call"
    )
    if 0 < counts < PASSED_OVER and has_waited and not gateway.call_token:
        calling = msgspec.structs.replace(
            gateway, call_token=gateway.token, call_counts=counts, call_age=0
        )
        yield f"{number + 1} reports", _replace_gateway(world, number, calling)


def _end_call(world: _World, number: int) -> _World:
    ended = msgspec.structs.replace(
        world.gateways[number], call_token=0, call_counts=0, call_age=0
    )
    return _replace_gateway(world, number, ended)


def _accept(world: _World, number: int) -> _World:
    gateway = world.gateways[number]
    token, counts = gateway.call_token, gateway.call_counts
    violation = world.violation
    if world.api_counts and counts != world.api_counts:
        violation |= 1
    if token < world.api_token:
        violation |= 2
    return msgspec.structs.replace(
        _end_call(world, number),
        api_token=max(token, world.api_token),
        api_counts=world.api_counts or counts,
        violation=violation,
    )
