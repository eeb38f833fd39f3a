"""
Leases
======

A lease assigns a duty, a task for one instance at a time, to the instance that performs
it.  It is kept as a row of the table service under the duty's name.

The instances share no clock.  A candidate takes a lease over only after it has seen the
row unchanged for the expiry by its own clock; the holder considers the lease lost after
the renew deadline, counted from the start of the last write that is known to have taken
effect.  Since the renew deadline is the shorter of the two, a holder that runs has
stopped before another instance starts.  A holder that was paused in between may still
act on an earlier decision; the fencing token, which grows with each holder, lets
upstreams reject such commands.

The table service may be restored from a backup, which begins a new era.  Acquisitions
after the backup are lost, so that their holders may still act.  Therefore a holder of
an older era stops, a lease is acquired in a new era only after the expiry, and fencing
tokens begin with the era.

If the row alone is lost, an instance that knows a token acquires the lease only after
the expiry, and with a higher token.
"""

from collections.abc import Callable

import msgspec
from result import Err, Ok

from damasklead.audit import AuditEvent, make_audit_write
from damasklead.clock import Clock
from damasklead.decoding import decode_json
from damasklead.ids import Incarnation, InstanceId, StoreEra
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

__all__ = [
    "EXPIRY",
    "LEASES_TABLE",
    "RENEW_DEADLINE_SECONDS",
    "Lease",
    "LeaseKeeper",
    "LeaseTimings",
    "get_fencing_era",
]

LEASES_TABLE = "leases"
RENEW_DEADLINE_SECONDS = 10.0
EXPIRY = 15.0  # seconds
# Bits of a fencing token below the era: far more than there are acquisitions in an era.
FENCING_COUNT_BITS = 32


class Lease(msgspec.Struct, kw_only=True, frozen=True):
    """
    The row of a lease.

    Attributes
    ----------
    holder : str
        The instance that holds the lease; empty after the last holder released it.
    incarnation : int
        The holder's incarnation.
    fencing : int
        The fencing token, which grows with each acquisition: the era of the table
        service in the high bits, and a counter.
    beat : int
        Heartbeat counter, which grows by one with each renewal and restarts at 0 with
        each acquisition.
    """

    holder: InstanceId
    incarnation: Incarnation
    fencing: int
    beat: int


class LeaseTimings(msgspec.Struct, kw_only=True, frozen=True):
    """
    Timings of a lease, the same at all instances.

    Attributes
    ----------
    renew_deadline : float
        Seconds after the start of its last write after which a holder stops.
    expiry : float
        Seconds without a change of the row after which another instance may acquire
        the lease; more than ``renew_deadline``.
    """

    renew_deadline: float = RENEW_DEADLINE_SECONDS
    expiry: float = EXPIRY


class LeaseKeeper:
    """
    Acquires, renews and releases one lease for one instance.

    Parameters
    ----------
    duty : str
        Name of the duty that the lease guards, the key of its row.
    instance, incarnation
        The instance that the lease is held for.
    clock : Clock
        Local monotonic clock for expiry and renewal.
    new_event : callable or None
        Returns the audit event of an acquisition, given the duty and the previous
        holder (empty if there is none); ``None`` for a lease without audit events.
    get_era : callable
        Returns the era of the table service, as of its last response.
    get_known_token : callable
        Returns the highest fencing token that is known from other sources than the row,
        0 if none is.
    timings : LeaseTimings
    table : str
        Table of the row.
    """

    def __init__(
        self,
        *,
        duty: str,
        instance: InstanceId,
        incarnation: Incarnation,
        clock: Clock,
        new_event: Callable[[str, str], AuditEvent] | None,
        get_era: Callable[[], StoreEra] = lambda: StoreEra(0),
        get_known_token: Callable[[], int] = lambda: 0,
        timings: LeaseTimings = LeaseTimings(),  # noqa: B008 (immutable)
        table: str = LEASES_TABLE,
    ) -> None:
        self._duty = duty
        self._instance = instance
        self._incarnation = incarnation
        self._clock = clock
        self._new_event = new_event
        self._get_era = get_era
        self._get_known_token = get_known_token
        self._timings = timings
        self._table = table
        self._era = get_era()
        self._era_observed_at = clock.now()
        self._token_at_restore: int | None = None
        # Highest fencing token with which this instance held the lease.
        self._last_token = 0
        self._held: Lease | None = None
        self._row_version = ABSENT
        self._valid_until = 0.0
        self._held_since = 0.0
        self._is_handover = True
        self._is_era_new = False
        self._observed_version: tuple[int, float] | None = None
        self._first_write: tuple[Lease, float] | None = None

    @property
    def fencing_token(self) -> int | None:
        """The fencing token while the lease is held, ``None`` otherwise."""
        if self._held is None or self._clock.now() >= self._valid_until:
            return None
        return self._held.fencing

    @property
    def held_seconds(self) -> float:
        """Seconds since this instance acquired the lease, 0 if it does not hold it."""
        held = self.fencing_token is not None
        return self._clock.now() - self._held_since if held else 0.0

    @property
    def remaining_seconds(self) -> float:
        """Seconds until the renew deadline, 0 if the lease is not held."""
        if self._held is None:
            return 0.0
        return max(0.0, self._valid_until - self._clock.now())

    @property
    def is_handover(self) -> bool:
        """
        Whether another instance, or another process of this one, may have held the
        lease directly before it was acquired.
        """
        return self._is_handover

    @property
    def era_observed_at(self) -> float:
        """Clock's time at which the present era was observed."""
        return self._era_observed_at

    @property
    def token_at_restore(self) -> int | None:
        """
        The fencing token with which this instance held the lease when it observed the
        present era, so that no other one held it since; ``None`` if it did not.
        """
        return self._token_at_restore

    @property
    def row_condition(self) -> Condition:
        """The condition that the row is as of the last renewal or acquisition."""
        return Condition(table=self._table, key=self._duty, version=self._row_version)

    @property
    def free_at(self) -> float:
        """
        Clock's time at which the lease is free at the earliest, as far as its row and
        the era were observed.
        """
        free_at = 0.0
        if self._observed_version is not None:
            free_at = self._observed_version[1] + self._timings.expiry
        if self._is_era_new:
            free_at = max(free_at, self._era_observed_at + self._timings.expiry)
        return free_at

    def check_era(self) -> None:
        """Give the lease up if the table service was restored; makes no call."""
        self._check_era()

    def observe_renewal(self, fencing: int, version: int) -> None:
        """
        Record that another instance has announced a renewal.

        The expiry counts from now, unless the row is found to have another version.

        Parameters
        ----------
        fencing : int
            The fencing token in the row.
        version : int
            The row's version after the renewal.
        """
        if get_fencing_era(fencing) != self._era or self._held is not None:
            return
        if self._observed_version is None or self._observed_version[0] < version:
            self._is_era_new = False
            self._observed_version = (version, self._clock.now())

    def poll(self) -> Steps[None]:
        """
        Renew the lease if it is held; otherwise read it and acquire it if it is free.
        """
        self._check_era()
        if self._held is not None:
            yield from self._renew(self._held)
            return
        result = yield ReadRows(table=self._table, keys=(self._duty,))
        self._check_era()
        if isinstance(result, Err):
            return
        row = result.ok_value[0] if result.ok_value else None
        if self._is_free(row):
            yield from self._acquire(row)

    def release(self) -> Steps[None]:
        """Release the lease, so that the next holder need not wait for its expiry."""
        held, self._held = self._held, None
        if held is None:
            return
        released = msgspec.structs.replace(
            held, holder=InstanceId(""), beat=held.beat + 1
        )
        yield self._make_commit(released, self._row_version, ())

    def _check_era(self) -> bool:
        """Give the lease up in a new era; returns whether the era is a new one."""
        era = self._get_era()
        if era == self._era:
            return False
        self._era = era
        self._era_observed_at = self._clock.now()
        self._token_at_restore = self.fencing_token
        self._observed_version = None
        self._clear_held()
        return True

    def _is_free(self, row: Row | None) -> bool:
        """Return whether the lease is released, or its row unchanged for the expiry."""
        fencing = 0 if row is None else decode_lease(row).fencing
        self._is_era_new = get_fencing_era(fencing) < self._era
        if self._is_era_new:
            # Somebody may have acquired the lease after the backup was made.
            is_free = self._clock.now() - self._era_observed_at >= self._timings.expiry
            return is_free and (row is not None or self._is_absence_safe())
        if row is None:
            return self._is_absence_safe()
        return not decode_lease(row).holder or self._is_unchanged(row.version)

    def _is_absence_safe(self) -> bool:
        """
        Return whether an absent row lets this instance acquire the lease.

        If a token is known, the store has lost the row, and its holder may still act.
        """
        return self._find_known_token() == 0 or self._is_unchanged(ABSENT)

    def _find_known_token(self) -> int:
        """Return the highest fencing token that is known without the row, or 0."""
        return max(self._last_token, self._get_known_token())

    def _is_unchanged(self, version: int) -> bool:
        """Return whether the row has had this version for the expiry."""
        now = self._clock.now()
        if self._observed_version is None or self._observed_version[0] != version:
            self._observed_version = (version, now)
        return now - self._observed_version[1] >= self._timings.expiry

    def _acquire(self, row: Row | None) -> Steps[None]:
        previous = None if row is None else decode_lease(row)
        lease = Lease(
            holder=self._instance,
            incarnation=self._incarnation,
            fencing=self._compute_fencing_token(previous),
            beat=0,
        )
        extra_writes: tuple[Put, ...] = ()
        if self._new_event is not None:
            holder = "" if previous is None else previous.holder
            extra_writes = (make_audit_write(self._new_event(self._duty, holder)),)
        version = ABSENT if row is None else row.version
        started_at = self._get_first_write_time(lease)
        result = yield self._make_commit(lease, version, extra_writes)
        confirmed_version = yield from self._confirm_write(lease, result)
        if confirmed_version is not None and not self._check_era():
            self._held_since = self._clock.now()
            self._is_handover = (
                previous is None
                or (previous.holder, previous.incarnation)
                != (self._instance, self._incarnation)
                or get_fencing_era(previous.fencing) != self._era
            )
            self._set_held(lease, confirmed_version, started_at)

    def _compute_fencing_token(self, previous: Lease | None) -> int:
        count = 0 if previous is None else previous.fencing
        era_start = self._era << FENCING_COUNT_BITS
        # The store may have lost the row, or hold one that was begun again without it.
        return max(count, era_start, self._find_known_token()) + 1

    def _renew(self, held: Lease) -> Steps[None]:
        renewed = msgspec.structs.replace(held, beat=held.beat + 1)
        started_at = self._get_first_write_time(renewed)
        result = yield self._make_commit(renewed, self._row_version, ())
        confirmed_version = yield from self._confirm_write(renewed, result)
        if self._check_era():
            return
        if confirmed_version is not None:
            self._set_held(renewed, confirmed_version, started_at)
        elif isinstance(result, Ok) or self.fencing_token is None:
            self._clear_held()

    def _get_first_write_time(self, lease: Lease) -> float:
        """
        Return the clock's time at the start of the first write of this lease.

        A write whose response was lost may have taken effect long before it is read
        back, and other instances count the expiry from that moment.
        """
        if self._first_write is None or self._first_write[0] != lease:
            self._first_write = (lease, self._clock.now())
        return self._first_write[1]

    def _set_held(self, lease: Lease, version: int, started_at: float) -> None:
        self._held = lease
        self._last_token = max(self._last_token, lease.fencing)
        self._row_version = version
        self._valid_until = started_at + self._timings.renew_deadline
        self._observed_version = None

    def _clear_held(self) -> None:
        self._held = None
        self._valid_until = 0.0

    def _confirm_write(self, lease: Lease, result: object) -> Steps[int | None]:
        """
        Return the row version at which a write took effect, ``None`` if it did not.

        If the response of the write was lost, the row is read back.
        """
        if isinstance(result, Ok) and isinstance(result.ok_value, Committed):
            return result.ok_value.version
        if isinstance(result, Ok):
            conflict: Conflict = result.ok_value
            return _find_version(lease, conflict.rows)
        read = yield ReadRows(table=self._table, keys=(self._duty,))
        return None if isinstance(read, Err) else _find_version(lease, read.ok_value)

    def _make_commit(
        self, lease: Lease, version: int, extra_writes: tuple[Put, ...]
    ) -> Commit:
        row = Put(table=self._table, key=self._duty, value=msgspec.json.encode(lease))
        condition = Condition(table=self._table, key=self._duty, version=version)
        return Commit(conditions=(condition,), writes=(row, *extra_writes))


def get_fencing_era(fencing: int) -> int:
    """Return the era of the table service that a fencing token begins with."""
    return fencing >> FENCING_COUNT_BITS


def decode_lease(row: Row) -> Lease:
    """Return the lease in a row."""
    return decode_json(row.value, type=Lease)


def _find_version(lease: Lease, rows: tuple[Row, ...]) -> int | None:
    """Return the version of the row that equals this lease, ``None`` if none does."""
    for row in rows:
        if decode_lease(row) == lease:
            return row.version
    return None
