"""
Duty task
=========

Contends for the leases of duties and performs the duties whose leases it holds: model
loads of a pool and the deletion of expired claims.
"""

import random

import msgspec
from result import Ok

from damasklead.audit import AuditEvent
from damasklead.claims import CLAIMS_TABLE
from damasklead.daemon.entry import Entry
from damasklead.daemon.pools import Pool
from damasklead.duties import (
    GENERATION_SECONDS,
    ModelLoadCommand,
    ModelLoadState,
    advance_generation,
    delete_claims,
    find_expired_claims,
    plan_loads,
    read_generation,
)
from damasklead.ids import InstanceId, PoolId
from damasklead.leases import LeaseKeeper
from damasklead.sharing import choose_coordinator
from damasklead.upstreams import UpstreamError
from damasklead.util import new_id

__all__ = ["DutyTask"]

POLL_INTERVAL_SECONDS = 3.0
SWEEP_BATCH_ROWS = 20
POLLS_PER_EXECUTION = 4  # polls of the lease for each execution of its duty
SWEEP_DUTY = PoolId("sweep")


class DutyTask:
    """
    The duties of one entry.

    A pool's coordinator contends for the lease of the pool's model loads, and one
    entry, chosen in the same way, for that of the deletion of expired claims. The lease
    allows only one when several entries consider themselves chosen.

    Parameters
    ----------
    entry : Entry
        State of this entry.
    """

    def __init__(self, *, entry: Entry) -> None:
        self._entry = entry
        self._random = random.Random(entry.instance)
        self._keepers: dict[str, LeaseKeeper] = {}
        self._generation: int | None = None
        self._generation_since = entry.clock.now()
        self._last_swept_key = ""
        self._poll_count = 0

    def run(self) -> None:
        """Contend for leases and perform duties until the task is stopped."""
        while True:
            self._entry.clock.sleep(
                POLL_INTERVAL_SECONDS * self._random.uniform(0.8, 1.2)
            )
            self._poll_count += 1
            pools = self._find_own_duties()
            self._release_others(set(pools))
            for duty, pool in pools.items():
                self._perform_duty(duty, pool)

    def release_leases(self) -> None:
        """Release all leases at a graceful stop."""
        self._release_others(set())

    def _find_own_duties(self) -> dict[str, Pool | None]:
        """
        Return the duties for which this entry is chosen, with their pools.

        The deletion of expired claims has no pool.
        """
        own_instance = self._entry.instance
        duties: dict[str, Pool | None] = {}
        for pool in self._entry.pools.values():
            if pool.coordinator == own_instance and pool.service.wanted_models:
                duties[f"loads/{pool.dispatcher.pool}"] = pool
        entries = [member.instance for member in self._entry.find_live_entries()]
        if choose_coordinator(SWEEP_DUTY, entries) == own_instance:
            duties[SWEEP_DUTY] = None
        return duties

    def _release_others(self, kept: set[str]) -> None:
        """Release the leases of all duties but those in ``kept``."""
        for duty in [duty for duty in self._keepers if duty not in kept]:
            self._entry.run_protocol(self._keepers.pop(duty).release())
            if duty == SWEEP_DUTY:
                self._generation = None

    def _perform_duty(self, duty: str, pool: Pool | None) -> None:
        """Contend for a duty's lease and perform the duty when it is held and due."""
        keeper = self._keepers.get(duty)
        if keeper is None:
            keeper = self._make_keeper(duty)
            self._keepers[duty] = keeper
        self._entry.run_protocol(keeper.poll())
        if keeper.fencing_token is None:
            return
        if self._poll_count % POLLS_PER_EXECUTION:
            return
        if pool is None:
            self._advance_generation()
            self._delete_expired_claims()
        else:
            self._send_load_commands(keeper, pool)

    def _make_keeper(self, duty: str) -> LeaseKeeper:
        return LeaseKeeper(
            duty=duty,
            instance=self._entry.instance,
            incarnation=self._entry.incarnation,
            clock=self._entry.clock,
            new_event=self._make_lease_event,
            get_era=lambda: self._entry.platform.tables.era,
        )

    def _send_load_commands(self, keeper: LeaseKeeper, pool: Pool) -> None:
        """Send the commands for the model loads that a pool's replicas need."""
        fencing_token = keeper.fencing_token
        if fencing_token is None:
            return
        states = self._fetch_load_states(pool)
        commands = plan_loads(
            pool.service,
            states,
            fencing_token=fencing_token,
            held_seconds=keeper.held_seconds,
        )
        for command in commands:
            # The lease may have been lost while the last command was sent.
            if keeper.fencing_token != command.fencing:
                return
            self._send_load_command(pool, command)

    def _fetch_load_states(self, pool: Pool) -> dict[InstanceId, ModelLoadState]:
        """Return the loaded and loading models of the replicas that respond."""
        states = {}
        for member in self._entry.find_pool_members(pool.service):
            try:
                status = pool.upstream.fetch_status(member.address)
            except UpstreamError:
                continue
            states[member.instance] = ModelLoadState(
                loaded=status.models, loading=status.loading
            )
        return states

    def _send_load_command(self, pool: Pool, command: ModelLoadCommand) -> None:
        """Send a load command and add its result to the audit trail."""
        address = self._entry.get_address(command.instance)
        if address is None:
            return
        body = msgspec.json.encode(command)
        try:
            pool.upstream.send_control_request(address, "POST", "/v1/models/load", body)
            result = "ordered"
        except UpstreamError as error:
            result = f"refused: {error}"
        self._entry.record_change(
            "load-model",
            command.instance,
            before="not loaded",
            after=(
                f"{command.model}@{command.version} {result}, fencing {command.fencing}"
            ),
        )

    def _advance_generation(self) -> None:
        """Begin the next generation of claims after ``GENERATION_SECONDS``."""
        generation_row = self._entry.run_protocol(read_generation())
        if generation_row is None:
            return
        generation, version = generation_row
        if generation != self._generation:
            self._generation = generation
            self._generation_since = self._entry.clock.now()
        if self._entry.clock.now() - self._generation_since > GENERATION_SECONDS:
            self._entry.run_protocol(advance_generation(generation, version))

    def _delete_expired_claims(self) -> None:
        """Scan the next batch of claims and delete those that have expired."""
        result = self._entry.platform.tables.scan(
            CLAIMS_TABLE, after=self._last_swept_key, limit=SWEEP_BATCH_ROWS
        )
        if not isinstance(result, Ok):
            return
        rows = result.ok_value
        self._last_swept_key = rows[-1].key if len(rows) == SWEEP_BATCH_ROWS else ""
        self._entry.run_protocol(
            delete_claims(find_expired_claims(rows, self._entry.generation))
        )

    def _make_lease_event(self, duty: str, before: str) -> AuditEvent:
        """Return the audit event of a lease that changes to this entry."""
        return AuditEvent(
            id=new_id(),
            at=self._entry.clock.get_unix_time(),
            who=self._entry.instance,
            action="lease",
            subject=duty,
            before=before or "nobody",
            after=self._entry.instance,
        )
