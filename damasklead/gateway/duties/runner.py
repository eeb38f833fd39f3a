"""
Runner of duties
================

Calls ``perform`` of each duty at short intervals while this gateway holds the lease.
"""

from collections.abc import Callable
from functools import partial

import gevent

from damasklead.gateway.duties.base import Authority, Duty, DutyName
from damasklead.gateway.journal import Journal
from damasklead.supervision import Child, TaskChild

__all__ = ["DutyRunner"]

PERFORM_INTERVAL_SECONDS = 0.25
# Pause after a duty raised an exception, which is a fault of its code.
FAILURE_PAUSE_SECONDS = 1.0


class DutyRunner:
    """
    The duties of one gateway, each performed by a task of its own.

    A duty that waits for a call delays neither the other duties nor the renewal of the
    lease.

    Parameters
    ----------
    authority : Authority
    is_held : callable
        Returns whether this gateway holds the lease, possibly without being allowed to
        act yet.
    journal : Journal
    """

    def __init__(
        self,
        *,
        authority: Authority,
        is_held: Callable[[], bool],
        journal: Journal,
    ) -> None:
        self._authority = authority
        self._is_held = is_held
        self._journal = journal
        self._duties: dict[DutyName, Duty] = {}
        self._performing: set[DutyName] = set()

    @property
    def has_duties(self) -> bool:
        """Whether any duty is registered."""
        return bool(self._duties)

    @property
    def is_idle(self) -> bool:
        """Whether no duty is being performed at the moment."""
        return not self._performing

    def register(self, duty: Duty) -> None:
        """Add a duty; must be called before the tasks are created."""
        self._duties[duty.name] = duty

    def create_tasks(self) -> list[Child]:
        """Return the tasks to supervise, one for each duty."""
        return [
            TaskChild(
                name=f"duty-{duty.name.value}",
                function=partial(self._run, duty),
            )
            for duty in self._duties.values()
        ]

    def perform_all(self) -> None:
        """Perform each duty once if the lease is held."""
        for duty in self._duties.values():
            self.perform(duty)

    def perform(self, duty: Duty) -> None:
        """Perform a duty once if the lease is held, whatever it raises."""
        if not self._is_held():
            return
        self._performing.add(duty.name)
        try:
            duty.perform(self._authority)
        except Exception as error:
            # A fault of one duty must neither end the gateway nor the other duties.
            self._journal.event("duty-failed", duty=duty.name.value, cause=repr(error))
            gevent.sleep(FAILURE_PAUSE_SECONDS)
        finally:
            self._performing.discard(duty.name)

    def _run(self, duty: Duty) -> None:
        while True:
            gevent.sleep(PERFORM_INTERVAL_SECONDS)
            self.perform(duty)
