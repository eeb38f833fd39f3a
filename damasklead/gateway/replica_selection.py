"""
Replica selection
=================

Selects the replica for each attempt of a request: the coordinator of a cell assigns it
if the service is coordinated, otherwise this gateway chooses it.
"""

from collections.abc import Collection

from damasklead.gateway.calls import Call, LoadHint, UpstreamRecord
from damasklead.gateway.coordination.assignment_client import (
    Assignment,
    AssignmentClient,
)
from damasklead.gateway.coordination.messages import RequestRejected
from damasklead.gateway.placements import Placement
from damasklead.gateway.refusals import Reason, Refusal
from damasklead.ids import InstanceId

__all__ = ["ReplicaSelector"]

# Number of assignments to unusable replicas after which this gateway chooses itself.
# The coordinator's list of replicas may be older or newer than this gateway's.
MAX_ASSIGNMENTS = 3


class ReplicaSelector:
    """
    Selects the replicas of one request and reports its progress to the coordinator.

    Parameters
    ----------
    client : AssignmentClient
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
        """Address of a replica from which cached prompt parts are copied, if any."""
        source = None if self._assignment is None else self._assignment.source
        if source is None or not self._placement.has_address(source):
            return None  # no source, or one that has left in this gateway's list
        return source

    def get_log_fields(self) -> dict[str, object]:
        """Return the values that are logged with the request."""
        return {} if self._assignment is None else self._assignment.get_log_fields()

    def select_replica(
        self, *, excluded: Collection[InstanceId], is_first_attempt: bool
    ) -> UpstreamRecord | Refusal | None:
        """
        Return the replica to try next, a refusal, or ``None`` when there is none.

        Parameters
        ----------
        excluded : collection of InstanceId
            Replicas on which the request failed.
        is_first_attempt : bool
            Whether the request has not been tried at a replica yet; only then may it
            be queued or rejected.
        """
        if not self._placement.is_coordinated:
            return self._placement.choose_replica(self._call, excluded=excluded)
        skipped_replicas = set(excluded) | self._placement.find_paused_replicas()
        for _ in range(MAX_ASSIGNMENTS):
            result = self._client.request_assignment(
                self._call,
                excluded=skipped_replicas,
                is_first_attempt=is_first_attempt,
                names_workspace=self._placement.is_shared_by_tiers,
            )
            if result is None:
                break
            if isinstance(result, RequestRejected):
                return Refusal(
                    reason=Reason.OVERLOADED,
                    detail=f"the cell has {result.backlog:.2f} s to read",
                    retry_after=result.retry_after,
                )
            record = self._placement.get_record(result.instance)
            accepts = self._placement.accepts_requests(
                result.instance, is_assigned=True
            )
            if record is not None and accepts:
                self._assignment = result
                return record
            # The coordinator's list of replicas is older or newer than this gateway's.
            self._client.report_request_ended(result, self._call, "withdrawn")
            skipped_replicas.add(result.instance)
        return self._placement.choose_replica(self._call, excluded=excluded)

    def may_send_to(self, instance: InstanceId) -> bool:
        """Return whether the selected replica still accepts the request."""
        return self._placement.accepts_requests(
            instance, is_assigned=self._assignment is not None
        )

    def report_prefill_done(
        self, load: LoadHint | None, rate_limit: float | None
    ) -> None:
        """Report to the coordinator that the request's prefill is complete."""
        if self._assignment is not None:
            self._client.report_prefill_done(
                self._assignment, self._call, load, rate_limit
            )

    def end_assignment(self, outcome: str) -> None:
        """Report to the coordinator that the request has ended at its replica."""
        assignment, self._assignment = self._assignment, None
        if assignment is not None:
            self._client.report_request_ended(assignment, self._call, outcome)
