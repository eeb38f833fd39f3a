"""
Assigning replicas
==================

Finds a replica for each attempt of one request: by a coordinator where the service has
them, otherwise by this gateway's own choice.
"""

from collections.abc import Collection

from damasklead.gateway.calls import Call, LoadHint, UpstreamRecord
from damasklead.gateway.coordination.asking import Assignment, AssignmentClient
from damasklead.gateway.coordination.messages import RequestRejected
from damasklead.gateway.placements import Placement
from damasklead.gateway.refusals import Reason, Refusal
from damasklead.ids import InstanceId

__all__ = ["ReplicaSelector"]

# Places that a coordinator may give before this gateway chooses by itself: its list of
# replicas may differ from this gateway's.
MAX_ASSIGNMENTS = 3


class ReplicaSelector:
    """
    The place of one request.

    Parameters
    ----------
    asker : Asker
    placement : Placement
    call : Call
    """

    def __init__(
        self, *, client: AssignmentClient, placement: Placement, call: Call
    ) -> None:
        self._client = client
        self._placement = placement
        self._call = call
        self._assignment: Assignment | None = None

    @property
    def copy_source(self) -> str | None:
        """Address of a replica from which prompt parts are copied."""
        source = None if self._assignment is None else self._assignment.source
        if source is None or not self._placement.has_address(source):
            return None  # none, or one that leaves, as this gateway knows by now
        return source

    def explain(self) -> dict[str, object]:
        """Return what decided, for the log."""
        return {} if self._assignment is None else self._assignment.explain()

    def select_replica(
        self, *, excluded: Collection[InstanceId], first_offer: bool
    ) -> UpstreamRecord | Refusal | None:
        """
        Return the replica to try next, a refusal, or ``None`` when there is none.

        Parameters
        ----------
        excluded : collection
            Replicas on which the request failed.
        first : bool
            Whether the request may be made to wait or be refused.
        """
        if not self._placement.coordinated:
            return self._placement.choose(self._call, excluded=excluded)
        skipped_replicas = set(excluded) | self._placement.paused_replicas()
        for _ in range(MAX_ASSIGNMENTS):
            result = self._client.request_assignment(
                self._call, excluded=skipped_replicas, first_offer=first_offer
            )
            if result is None:
                break
            if isinstance(result, RequestRejected):
                return Refusal(
                    reason=Reason.OVERLOADED,
                    detail=f"the cell has {result.backlog:.2f} s to read",
                    retry_after=result.retry_after,
                )
            record = self._placement.record(result.instance)
            if record is not None and self._placement.accepts(result.instance):
                self._assignment = result
                return record
            # The coordinator's list is older or newer than this gateway's.
            self._client.report_request_ended(result, self._call, "withdrawn")
            skipped_replicas.add(result.instance)
        return self._placement.choose(self._call, excluded=excluded)

    def report_prefill_done(self, load: LoadHint | None) -> None:
        """Tell the coordinator that the request's first event came."""
        if self._assignment is not None:
            self._client.report_prefill_done(self._assignment, self._call, load)

    def end_assignment(self, outcome: str) -> None:
        """Tell the coordinator that the request is at its replica no more."""
        assignment, self._assignment = self._assignment, None
        if assignment is not None:
            self._client.report_request_ended(assignment, self._call, outcome)
