"""
Duties
======

The work of the instances that hold leases: to load models on engines and to delete
expired claims.

A load command states the desired state and carries the fencing token of the lease.  If
the engines do not check the token, a new holder waits until the commands of the
previous one must have arrived, and then sends commands according to what the engines
report.
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
    "delete_claims",
    "find_expired_claims",
    "plan_loads",
    "read_generation",
]

MAX_CONCURRENT_LOADS = 2  # per pool, to stay within the weight store's rate
GENERATION_SECONDS = 3600.0
RETAINED_GENERATIONS = 24
GENERATION_TABLE = "generations"
GENERATION_KEY = "claims"


class ModelLoadCommand(msgspec.Struct, kw_only=True, frozen=True):
    """
    Command to an engine to load a version of a model.

    Attributes
    ----------
    instance : str
        The engine.
    fencing : int
        Fencing token of the sender's lease.
    """

    instance: InstanceId
    model: str
    version: str
    fencing: int


class ModelLoadState(msgspec.Struct, kw_only=True, frozen=True):
    """The models that an engine reports as loaded and loading, as ``model@version``."""

    loaded: tuple[str, ...] = ()
    loading: tuple[str, ...] = ()

    @property
    def version_count(self) -> int:
        """Number of model versions that are loaded or loading."""
        return len(self.loaded) + len(self.loading)


def plan_loads(
    service: Service,
    states: Mapping[InstanceId, ModelLoadState],
    *,
    fencing_token: int,
    held_seconds: float,
) -> list[ModelLoadCommand]:
    """
    Return the load commands to send now.

    Parameters
    ----------
    service : Service
        The service, with the number of replicas that each model should have.
    states : mapping
        The reports of the service's live engines.
    fencing_token : int
        Fencing token of the lease.
    held_seconds : float
        Seconds since the lease was acquired.  If the service's engines do not check the
        fencing token, nothing is sent to them until the previous holder's commands must
        have arrived, ``EXPIRY`` after the acquisition.
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
    Return the claims' generation and its row version, ``None`` if the read failed.
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
    Start the next generation of claims; returns whether the store responded.

    Generations start about once an hour.  If another instance has started one since
    ``version`` was read, the write has no effect.

    Parameters
    ----------
    generation, version : int
        The generation and its row version as they were read.
    """
    condition = Condition(table=GENERATION_TABLE, key=GENERATION_KEY, version=version)
    row = Put(
        table=GENERATION_TABLE, key=GENERATION_KEY, value=str(generation + 1).encode()
    )
    result = yield Commit(conditions=(condition,), writes=(row,))
    return isinstance(result, Ok)


def find_expired_claims(rows: Iterable[Row], generation: int) -> list[Row]:
    """Return the rows of settled claims whose retention period is over."""
    expired = []
    for row in rows:
        claim = decode_claim(row)
        settled = claim.state in (ClaimState.ANSWERED, ClaimState.RELEASED)
        if settled and generation - claim.generation > RETAINED_GENERATIONS:
            expired.append(row)
    return expired


def delete_claims(rows: Iterable[Row]) -> Steps[int]:
    """
    Delete claims whose rows have not changed since they were read.

    Returns
    -------
    int
        Number of deletions that the store responded to.
    """
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
