"""
Gate
====

Lets greenlets wait for the admission's decisions, one admission for each service.
"""

from gevent.event import AsyncResult, Event

from damasklead.clock import Clock
from damasklead.gateway.admission import Admission, Admit, Decision
from damasklead.gateway.calls import Call
from damasklead.gateway.placements import Placement
from damasklead.gateway.refusals import Refusal
from damasklead.ids import AttemptId, ServiceName

__all__ = ["Gate"]


class Gate:
    """
    The admissions of one gateway.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._admissions: dict[ServiceName, Admission] = {}
        self._results: dict[AttemptId, AsyncResult] = {}
        self._occupied = Event()

    @property
    def waiting(self) -> int:
        """How many requests are kept back."""
        return len(self._results)

    def enter(self, call: Call, placement: Placement) -> Refusal | None:
        """Wait until a request may be sent; returns its refusal if it may not."""
        admission = self._admission(call, placement)
        decision = admission.submit(call)
        if decision is None:
            result = self._results[call.id] = AsyncResult()
            self._occupied.set()
            try:
                decision = result.get()
            finally:
                self._results.pop(call.id, None)
                admission.withdraw(call)
        if isinstance(decision, Admit):
            return None
        return Refusal(
            reason=decision.reason,
            detail=f"{admission.waiting} others wait",
            retry_after=decision.retry_after,
        )

    def wait(self) -> None:
        """Wait until a request waits for a decision."""
        if not self._results:
            self._occupied.clear()
            self._occupied.wait()

    def tick(self) -> None:
        """Decide about one request of each service; the rest follows."""
        for admission in self._admissions.values():
            decision: Decision | None = admission.next()
            if decision is not None:
                result = self._results.get(decision.call.id)
                if result is not None:
                    result.set(decision)

    def _admission(self, call: Call, placement: Placement) -> Admission:
        admission = self._admissions.get(call.service)
        if admission is None:
            admission = Admission(
                clock=self._clock,
                has_room=placement.has_room,
                is_urgent=placement.is_urgent,
            )
            self._admissions[call.service] = admission
        return admission
