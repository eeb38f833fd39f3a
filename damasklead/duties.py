"""
Duties
======

What the holders of leases do: they order model loads and sweep old claims.

An order states the target end state and carries the fencing number.  Where engines do
not check it, a new holder first waits out the old one and then orders from what the
engines report.
"""

from collections.abc import Iterable, Mapping

import msgspec
from result import Err, Ok

from damasklead.claims import CLAIMS_TABLE, ClaimState, decode_claim
from damasklead.configuration import Service
from damasklead.ids import InstanceId
from damasklead.leases import EXPIRY
from damasklead.protocol import ReadRows, Steps
from damasklead.stores.base import ABSENT, Commit, Condition, Delete, Put, Row

__all__ = [
    "ModelLoadCommand",
    "advance_generation",
    "plan_loads",
    "read_generation",
    "find_expired_claims",
    "delete_claims",
]

MAX_CONCURRENT_LOADS = 2  # orders under way at once, within the weight store's rate
GENERATION_SECONDS = 3600.0
RETAINED_GENERATIONS = 24
GENERATION_TABLE = "generations"
GENERATION_KEY = "claims"


class ModelLoadCommand(msgspec.Struct, kw_only=True, frozen=True):
    """
    Have a model version loaded at an upstream; ``fencing`` is the orderer's number.
    """

    instance: InstanceId
    model: str
    version: str
    fencing: int


class ModelLoadState(msgspec.Struct, kw_only=True, frozen=True):
    """What an upstream reports: ``model@version`` texts loaded, and being loaded."""

    loaded: tuple[str, ...] = ()
    loading: tuple[str, ...] = ()

    @property
    def version_count(self) -> int:
        """How many model versions it holds or will hold."""
        return len(self.loaded) + len(self.loading)


def plan_loads(
    service: Service,
    states: Mapping[InstanceId, ModelLoadState],
    *,
    fencing_token: int,
    held_seconds: float,
) -> list[ModelLoadCommand]:
    """
    Return the orders to give now.

    Parameters
    ----------
    states : mapping
        The reports of the service's live upstreams.
    held_seconds : float
        Seconds since the lease was acquired; a service whose upstreams do not check the
        fencing number gets no order before the old holder's can have arrived.
    """
    if not service.checks_fencing and held_seconds < EXPIRY:
        return []
    loading_count = sum(len(state.loading) for state in states.values())
    commands: list[ModelLoadCommand] = []
    for target in service.wanted_models:
        name = f"{target.model}@{target.version}"
        present = [item for item, state in states.items() if _has_model(state, name)]
        missing = target.replicas - len(present)
        candidates = sorted(
            (item for item in states if item not in present),
            key=lambda item: (
                len(states[item].loaded) + len(states[item].loading),
                item,
            ),
        )
        for instance in candidates[: max(0, missing)]:
            if loading_count + len(commands) >= MAX_CONCURRENT_LOADS:
                return commands
            commands.append(
                ModelLoadCommand(
                    instance=instance,
                    model=target.model,
                    version=target.version,
                    fencing=fencing_token,
                )
            )
    return commands


def read_generation() -> Steps[tuple[int, int] | None]:
    """
    Return the claims' generation and its row version, or ``None`` without the store.
    """
    result = yield ReadRows(table=GENERATION_TABLE, keys=(GENERATION_KEY,))
    if isinstance(result, Err):
        return None
    if not result.ok_value:
        return (0, ABSENT)
    row: Row = result.ok_value[0]
    return (int(row.value), row.version)


def advance_generation(generation: int, version: int) -> Steps[bool]:
    """
    Begin the next generation, about an hour after the last; returns whether it did.
    """
    condition = Condition(table=GENERATION_TABLE, key=GENERATION_KEY, version=version)
    row = Put(
        table=GENERATION_TABLE, key=GENERATION_KEY, value=str(generation + 1).encode()
    )
    result = yield Commit(conditions=(condition,), writes=(row,))
    return isinstance(result, Ok)


def find_expired_claims(rows: Iterable[Row], generation: int) -> list[Row]:
    """Return the rows of settled claims that are older than is kept."""
    expired = []
    for row in rows:
        claim = decode_claim(row)
        settled = claim.state in (ClaimState.ANSWERED, ClaimState.RELEASED)
        if settled and generation - claim.generation > RETAINED_GENERATIONS:
            expired.append(row)
    return expired


def delete_claims(rows: Iterable[Row]) -> Steps[int]:
    """Delete rows that have not changed since they were read; returns how many."""
    deleted = 0
    for row in rows:
        condition = Condition(table=CLAIMS_TABLE, key=row.key, version=row.version)
        delete = Delete(table=CLAIMS_TABLE, key=row.key)
        result = yield Commit(conditions=(condition,), writes=(delete,))
        if isinstance(result, Err):
            return deleted
        deleted += 1
    return deleted


def _has_model(state: ModelLoadState, name: str) -> bool:
    return name in state.loaded or name in state.loading
