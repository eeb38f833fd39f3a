"""
Leases
======

A duty that one instance at a time should do, kept as a row of the table service.

No clock is agreed on.  A watcher takes a lease over only after it has seen the row
unchanged for ``EXPIRY`` by its own clock; the holder stops by itself ``HOLD`` after it
began the last write that is known to have taken effect.  Since ``HOLD`` is shorter, a
holder that runs has stopped before another starts.  One that was paused in between may
still act on what it decided before; the fencing number, which grows with each holder,
lets upstreams refuse that.
"""

from collections.abc import Callable

import msgspec
from result import Err, Ok

from damasklead.audit import AuditEvent, audit_put
from damasklead.clock import Clock
from damasklead.ids import Incarnation, InstanceId
from damasklead.protocol import ReadRows, Steps
from damasklead.stores.base import (
    ABSENT,
    Commit,
    Committed,
    Condition,
    Conflict,
    Put,
    Row,
)

__all__ = ["EXPIRY", "HOLD", "LEASES_TABLE", "Lease", "LeaseKeeper"]

LEASES_TABLE = "leases"
HOLD = 10.0  # seconds
EXPIRY = 15.0  # seconds


class Lease(msgspec.Struct, kw_only=True, frozen=True):
    """
    The row of a duty.

    Attributes
    ----------
    holder : str
        Empty when the last holder gave the lease back.
    fencing : int
        Grows each time the lease changes hands.
    beat : int
        Grows with each renewal.
    """

    holder: InstanceId
    incarnation: Incarnation
    fencing: int
    beat: int


class LeaseKeeper:
    """
    One instance's side of one lease.

    Parameters
    ----------
    duty : str
        The row's key.
    clock : Clock
    new_event : callable
        Makes the audit event of a change from one holder to another.
    """

    def __init__(
        self,
        *,
        duty: str,
        instance: InstanceId,
        incarnation: Incarnation,
        clock: Clock,
        new_event: Callable[[str, str], AuditEvent],
    ) -> None:
        self._duty = duty
        self._instance = instance
        self._incarnation = incarnation
        self._clock = clock
        self._new_event = new_event
        self._held: Lease | None = None
        self._row_version = ABSENT
        self._valid_until = 0.0
        self._held_since = 0.0
        self._watched: tuple[int, float] | None = None
        self._first_try: tuple[Lease, float] | None = None

    @property
    def fencing(self) -> int | None:
        """The fencing number while the lease is held, ``None`` otherwise."""
        if self._held is None or self._clock.now() >= self._valid_until:
            return None
        return self._held.fencing

    @property
    def held_for(self) -> float:
        """Seconds since this holder acquired the lease, 0 when it is not held."""
        held = self.fencing is not None
        return self._clock.now() - self._held_since if held else 0.0

    def poll(self) -> Steps[None]:
        """
        Renew the lease if it is held, else watch it and take it over when it is free.
        """
        if self._held is not None:
            yield from self._renew(self._held)
            return
        result = yield ReadRows(table=LEASES_TABLE, keys=(self._duty,))
        if isinstance(result, Err):
            return
        row = result.ok_value[0] if result.ok_value else None
        if self._is_free(row):
            yield from self._acquire(row)

    def release(self) -> Steps[None]:
        """Give the lease back, so that the next holder need not wait."""
        held, self._held = self._held, None
        if held is None:
            return
        given_back = msgspec.structs.replace(
            held, holder=InstanceId(""), beat=held.beat + 1
        )
        yield self._commit(given_back, self._row_version, ())

    def _is_free(self, row: Row | None) -> bool:
        """Tell whether the row may be taken, from how long it has not changed."""
        if row is None or not decode_lease(row).holder:
            return True
        now = self._clock.now()
        if self._watched is None or self._watched[0] != row.version:
            self._watched = (row.version, now)
        return now - self._watched[1] >= EXPIRY

    def _acquire(self, row: Row | None) -> Steps[None]:
        before = None if row is None else decode_lease(row)
        lease = Lease(
            holder=self._instance,
            incarnation=self._incarnation,
            fencing=1 if before is None else before.fencing + 1,
            beat=0,
        )
        event = self._new_event(self._duty, "" if before is None else before.holder)
        version = ABSENT if row is None else row.version
        began = self._began(lease)
        result = yield self._commit(lease, version, (audit_put(event),))
        confirmed = yield from self._confirm(lease, result)
        if confirmed is not None:
            self._held_since = self._clock.now()
            self._hold(lease, confirmed, began)

    def _renew(self, held: Lease) -> Steps[None]:
        renewed = msgspec.structs.replace(held, beat=held.beat + 1)
        began = self._began(renewed)
        result = yield self._commit(renewed, self._row_version, ())
        confirmed = yield from self._confirm(renewed, result)
        if confirmed is not None:
            self._hold(renewed, confirmed, began)
        elif isinstance(result, Ok) or self.fencing is None:
            self._lose()

    def _began(self, lease: Lease) -> float:
        """
        Return when the first write of this lease began.

        A write whose answer was lost may have taken effect long before it is seen, and
        watchers count from then.
        """
        if self._first_try is None or self._first_try[0] != lease:
            self._first_try = (lease, self._clock.now())
        return self._first_try[1]

    def _hold(self, lease: Lease, version: int, began: float) -> None:
        self._held = lease
        self._row_version = version
        self._valid_until = began + HOLD
        self._watched = None

    def _lose(self) -> None:
        self._held = None
        self._valid_until = 0.0

    def _confirm(self, lease: Lease, result: object) -> Steps[int | None]:
        """
        Return the row version at which a write took effect, reading back if need be.
        """
        if isinstance(result, Ok) and isinstance(result.ok_value, Committed):
            return result.ok_value.version
        if isinstance(result, Ok):
            conflict: Conflict = result.ok_value
            return _version_of(lease, conflict.rows)
        read = yield ReadRows(table=LEASES_TABLE, keys=(self._duty,))
        return None if isinstance(read, Err) else _version_of(lease, read.ok_value)

    def _commit(self, lease: Lease, version: int, more: tuple[Put, ...]) -> Commit:
        row = Put(table=LEASES_TABLE, key=self._duty, value=msgspec.json.encode(lease))
        condition = Condition(table=LEASES_TABLE, key=self._duty, version=version)
        return Commit(conditions=(condition,), writes=(row, *more))


def decode_lease(row: Row) -> Lease:
    """Return the lease in a row."""
    return msgspec.json.decode(row.value, type=Lease)


def _version_of(lease: Lease, rows: tuple[Row, ...]) -> int | None:
    """Return the version of the row if it is just this write's."""
    for row in rows:
        if decode_lease(row) == lease:
            return row.version
    return None
