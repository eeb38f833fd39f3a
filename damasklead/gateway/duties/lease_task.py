"""
Lease task
==========

Acquires, renews and releases the lease of the duties for one gateway, and announces
this gateway while it is the holder.
"""

from collections.abc import Callable
from typing import TypeVar

import gevent
import msgspec
from gevent.event import Event
from gevent.lock import BoundedSemaphore
from result import Err, Result

from damasklead.clock import Clock
from damasklead.gateway.duties.announcements import HolderDirectory
from damasklead.gateway.duties.base import Authority, CallIdentity
from damasklead.gateway.duties.contention import ContentionSchedule
from damasklead.gateway.duties.messages import HolderNotice
from damasklead.gateway.journal import Journal
from damasklead.ids import Incarnation, InstanceId, StoreEra
from damasklead.leases import LeaseKeeper, LeaseTimings, get_fencing_era
from damasklead.protocol import ReadRows, Steps
from damasklead.stores.base import Commit, Condition, StoreError, TableService

__all__ = ["DUTIES_TABLE", "LEASE_TIMINGS", "HeldLease", "LeaseTask"]

T = TypeVar("T")

DUTIES_TABLE = "damasklead-duties"
LEASE_KEY = "lease"
RENEW_INTERVAL_SECONDS = 1.0
# The renew deadline allows one renewal to fail; the expiry exceeds it by the longest
# time between the check of the lease and the call that follows.
LEASE_TIMINGS = LeaseTimings(renew_deadline=2.5, expiry=3.5)
# Least pause between two renewals of which the first has failed.
RENEW_RETRY_SECONDS = 0.3
# Longest pause between two looks at the schedule; a restore shows by then.
MAX_PAUSE_SECONDS = 0.5


class HeldLease(msgspec.Struct, kw_only=True, frozen=True):
    """
    A lease that is held.

    Attributes
    ----------
    row_condition : Condition
        The condition that its row is as of the last renewal.
    held_seconds : float
        Seconds since it was acquired.
    era : int
        Era of the store in which it was acquired.
    era_observed_at : float
        Clock's time at which that era was observed.
    token_at_restore : int or None
        Token with which this gateway held the lease until then, ``None`` if it did not.
    """

    row_condition: Condition
    held_seconds: float
    era: int
    era_observed_at: float
    token_at_restore: int | None


class LeaseTask(Authority):
    """
    The lease of the duties at one gateway.

    Parameters
    ----------
    instance, incarnation
        This gateway.
    tables : callable
        Returns the active tables of the platform's store.
    get_era : callable
        Returns the newest era of the store that is known.
    get_rank : callable
        Returns the number of gateways that contend for the lease before this one.
    directory : HolderDirectory
    make_notice : callable
        Returns this gateway's notice for a fencing token and the row's version.
    should_step_down : callable
        Returns whether another gateway should hold the lease.
    step_down : callable
        Releases the lease by ``release``.
    handover_seconds : float
        Time after an acquisition from another process before the first call.
    clock : Clock
    journal : Journal
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        incarnation: Incarnation,
        tables: Callable[[], TableService],
        get_era: Callable[[], StoreEra],
        get_rank: Callable[[], int],
        directory: HolderDirectory,
        make_notice: Callable[[int, int], HolderNotice],
        should_step_down: Callable[[], bool],
        step_down: Callable[[], None],
        handover_seconds: float,
        clock: Clock,
        journal: Journal,
    ) -> None:
        self._instance = instance
        self._tables = tables
        self._directory = directory
        self._make_notice = make_notice
        self._should_step_down = should_step_down
        self._step_down = step_down
        self._handover_seconds = handover_seconds
        self._clock = clock
        self._journal = journal
        self._keeper = LeaseKeeper(
            duty=LEASE_KEY,
            instance=instance,
            incarnation=incarnation,
            clock=clock,
            new_event=None,
            get_era=get_era,
            get_known_token=lambda: directory.token,
            timings=LEASE_TIMINGS,
            table=DUTIES_TABLE,
        )
        self._schedule = ContentionSchedule(
            clock=clock, expiry=LEASE_TIMINGS.expiry, get_rank=get_rank
        )
        self._identity = CallIdentity(holder=instance, token=0)
        self._has_store_failed = False
        self._is_lost_logged = False
        self._is_releasing = False
        self._retry_at = 0.0
        self._wake_up = Event()
        # A renewal and the release change the same row.
        self._row_lock = BoundedSemaphore()
        directory.register_listener(self._handle_notice)

    @property
    def is_held(self) -> bool:
        """Whether the lease is held, possibly without the right to act yet."""
        return self._keeper.fencing_token is not None

    @property
    def identity(self) -> CallIdentity:
        """The name and the token for calls of the platform's API."""
        return self._identity

    def describe(self) -> HeldLease:
        """Return the lease as duties need it that write rows of the store."""
        token = self._identity.token
        return HeldLease(
            row_condition=self._keeper.row_condition,
            held_seconds=self._keeper.held_seconds,
            era=get_fencing_era(token),
            era_observed_at=self._keeper.era_observed_at,
            token_at_restore=self._keeper.token_at_restore,
        )

    def may_act_for(self, seconds: float) -> bool:
        """Return whether the lease is held and stays valid for this time."""
        if self._is_releasing or self._keeper.remaining_seconds <= seconds:
            return False
        if self._directory.token > self._identity.token:
            # A later holder has announced itself.
            return False
        return (
            not self._keeper.is_handover
            or self._keeper.held_seconds >= self._handover_seconds
        )

    def run(self) -> None:
        """Contend for the lease and renew it, forever."""
        while True:
            self._wake_up.wait(timeout=self._compute_pause())
            self._wake_up.clear()
            try:
                self.poll()
            except Exception as error:
                # Whatever the row holds must not end the gateway.
                self._journal.event("duties-lease-failed", cause=repr(error))
                self._schedule.record_poll(
                    free_at=self._keeper.free_at, has_failed=True
                )
                gevent.sleep(MAX_PAUSE_SECONDS)

    def poll(self) -> None:
        """Renew the lease or contend for it, if either is due."""
        if self.is_held and not self._is_releasing and self._should_step_down():
            self._step_down()
            return
        with self._row_lock:
            self._keeper.check_era()
            if self._compute_pause() > 0.0:
                self._record_state()
                return
            was_held = self.is_held
            remaining_seconds = self._keeper.remaining_seconds
            self._run_steps(self._keeper.poll())
            self._record_state()
        if not self.is_held:
            self._schedule.record_poll(
                free_at=self._keeper.free_at, has_failed=self._has_store_failed
            )
        elif not was_held or self._keeper.remaining_seconds > remaining_seconds:
            self.announce()
        else:
            self._retry_at = self._clock.now() + RENEW_RETRY_SECONDS

    def announce(self) -> None:
        """Announce this gateway to all others, if it is the holder."""
        token = self._keeper.fencing_token
        if token is not None and not self._is_releasing:
            version = self._keeper.row_condition.version
            self._directory.announce(self._make_notice(token, version))

    def release(
        self,
        *,
        is_idle: Callable[[], bool],
        max_wait_seconds: float,
        pause_seconds: float | None = None,
    ) -> None:
        """
        Release the lease after the calls in progress have ended.

        Parameters
        ----------
        is_idle : callable
            Returns whether no call is in progress.
        max_wait_seconds : float
            If a call takes longer, the lease expires instead.
        pause_seconds : float or None
            Time after which this gateway contends again; ``None`` for one that stops.
        """
        if self._is_releasing:
            return
        self._is_releasing = True
        give_up_at = self._clock.now() + max_wait_seconds
        with self._row_lock:
            # An acquisition in progress ends first; no other one begins.
            token = self._keeper.fencing_token
        while token is not None and not is_idle():
            if self._clock.now() >= give_up_at:
                token = None
            gevent.sleep(0.02)
        if token is not None:
            with self._row_lock:
                self._run_steps(self._keeper.release())
                self._record_state()
            self._journal.event("duties-lease-released", token=token)
            self._directory.announce(self._make_notice(token, 0))
        if pause_seconds is not None:
            self._schedule.postpone(pause_seconds)
            self._is_releasing = False

    def _compute_pause(self) -> float:
        """Return the seconds until a poll may be due."""
        if self._is_releasing:
            return MAX_PAUSE_SECONDS
        if self.is_held:
            validity = LEASE_TIMINGS.renew_deadline - RENEW_INTERVAL_SECONDS
            return max(
                0.0,
                self._keeper.remaining_seconds - validity,
                self._retry_at - self._clock.now(),
            )
        seconds = self._schedule.seconds_until_due
        if seconds is None:
            return MAX_PAUSE_SECONDS
        return min(seconds, MAX_PAUSE_SECONDS)

    def _record_state(self) -> None:
        """Log the acquisition and the loss of the lease."""
        token = self._keeper.fencing_token
        if token is None and self._identity.token and not self._is_lost_logged:
            self._is_lost_logged = True
            self._journal.event("duties-lease-lost", token=self._identity.token)
        elif token is not None and token != self._identity.token:
            self._is_lost_logged = False
            self._identity = CallIdentity(holder=self._instance, token=token)
            self._journal.event(
                "duties-lease-acquired",
                token=token,
                waits=self._handover_seconds if self._keeper.is_handover else 0.0,
            )

    def _handle_notice(self, notice: HolderNotice) -> None:
        if self._directory.holder == self._instance:
            return
        is_released = not notice.version
        self._schedule.record_notice(is_released=is_released)
        if is_released:
            self._wake_up.set()
        else:
            self._keeper.observe_renewal(notice.token, notice.version)

    def _run_steps(self, steps: Steps[T]) -> T:
        """Run a protocol on the store's tables."""
        result: Result[object, StoreError] | None = None
        self._has_store_failed = False
        try:
            call = next(steps)
            while True:
                tables = self._tables()
                match call:
                    case ReadRows(table=table, keys=keys):
                        result = tables.read(table, keys)
                    case Commit():
                        result = tables.commit(call)
                    case _:
                        raise AssertionError(f"unexpected call {call!r}")
                self._has_store_failed = isinstance(result, Err)
                call = steps.send(result)
        except StopIteration as stop:
            value: T = stop.value
            return value
