"""
Duty task
=========

Contends for the duties' lease and, while it is held, orders model loads and sweeps old
claims.
"""

import random

import msgspec
from result import Ok

from damasklead.audit import AuditEvent
from damasklead.claims import CLAIMS_TABLE
from damasklead.configuration import ServiceKind
from damasklead.daemon.entry import Entry, Pool
from damasklead.duties import (
    DUTIES_LEASE,
    GENERATION_SECONDS,
    LoadOrder,
    LoadState,
    advance_generation,
    plan_loads,
    read_generation,
    stale_claims,
    sweep,
)
from damasklead.ids import InstanceId
from damasklead.leases import LeaseKeeper
from damasklead.upstreams import UpstreamError
from damasklead.util import new_id

__all__ = ["DutyTask"]

POLL_SECONDS = 3.0
SWEEP_ROWS = 100
WATCHERS_PER_SECOND = 20.0  # reads of the lease's row by all entries together


class DutyTask:
    """
    The duties of one entry.

    Parameters
    ----------
    entry : Entry
    """

    def __init__(self, *, entry: Entry) -> None:
        self.keeper = LeaseKeeper(
            duty=DUTIES_LEASE,
            instance=entry.instance,
            incarnation=entry.incarnation,
            clock=entry.clock,
            new_event=self._lease_event,
        )
        self._entry = entry
        self._random = random.Random(entry.instance)
        self._generation_since = entry.clock.now()
        self._sweep_after = ""

    def run(self) -> None:
        """Contend for the lease and do the duties until the task is stopped."""
        while True:
            self._entry.clock.sleep(self._period() * self._random.uniform(0.8, 1.2))
            self._entry.run_protocol(self.keeper.poll())
            self._follow_generation()
            if self.keeper.fencing is not None:
                self._do_duties()

    def release(self) -> None:
        """Give the lease back at a graceful stop."""
        self._entry.run_protocol(self.keeper.release())

    def _period(self) -> float:
        """
        Return the seconds between polls: short for the holder, by number for others.
        """
        if self.keeper.fencing is not None:
            return POLL_SECONDS
        entries = len(self._entry.live_entries())
        return max(POLL_SECONDS, entries / WATCHERS_PER_SECOND)

    def _do_duties(self) -> None:
        for pool in list(self._entry.pools.values()):
            wants = (
                pool.service.kind is ServiceKind.ENGINE and pool.service.wanted_models
            )
            if wants:
                self._order_loads(pool)
        self._sweep_claims()

    def _order_loads(self, pool: Pool) -> None:
        fencing = self.keeper.fencing
        if fencing is None:
            return
        states = self._load_states(pool)
        orders = plan_loads(
            pool.service, states, fencing=fencing, held_for=self.keeper.held_for
        )
        for order in orders:
            # The lease is looked at again just before each order is sent.
            if self.keeper.fencing != order.fencing:
                return
            self._send(pool, order)

    def _load_states(self, pool: Pool) -> dict[InstanceId, LoadState]:
        states = {}
        for member in self._entry.pool_members(pool.service):
            try:
                status = pool.upstream.status(member.address)
            except UpstreamError:
                continue
            states[member.instance] = LoadState(
                loaded=status.models, loading=status.loading
            )
        return states

    def _send(self, pool: Pool, order: LoadOrder) -> None:
        address = self._entry.address_of(order.instance)
        if address is None:
            return
        body = msgspec.json.encode(order)
        try:
            pool.upstream.control(address, "POST", "/v1/models/load", body)
            result = "ordered"
        except UpstreamError as error:
            result = f"refused: {error}"
        self._entry.record(
            "load-model",
            order.instance,
            before="not loaded",
            after=f"{order.model}@{order.version} {result}, fencing {order.fencing}",
        )

    def _follow_generation(self) -> None:
        """Read the claims' generation; the holder begins the next one after an hour."""
        known = self._entry.run_protocol(read_generation())
        if known is None:
            return
        generation, version = known
        if generation != self._entry.generation:
            self._entry.generation = generation
            self._generation_since = self._entry.clock.now()
        due = self._entry.clock.now() - self._generation_since > GENERATION_SECONDS
        if due and self.keeper.fencing is not None:
            self._entry.run_protocol(advance_generation(generation, version))

    def _sweep_claims(self) -> None:
        """Look at some rows in each round and delete those that are too old."""
        result = self._entry.platform.tables.scan(
            CLAIMS_TABLE, after=self._sweep_after, limit=SWEEP_ROWS
        )
        if not isinstance(result, Ok):
            return
        rows = result.ok_value
        self._sweep_after = rows[-1].key if len(rows) == SWEEP_ROWS else ""
        self._entry.run_protocol(sweep(stale_claims(rows, self._entry.generation)))

    def _lease_event(self, duty: str, before: str) -> AuditEvent:
        return AuditEvent(
            id=new_id(),
            at=self._entry.clock.wall(),
            who=self._entry.instance,
            action="lease",
            subject=duty,
            before=before or "nobody",
            after=self._entry.instance,
        )
