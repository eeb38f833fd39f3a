"""
Signals of replicas
===================

What replicas say of themselves in the heads of their responses: that they leave, ask
for a pause, limit requests, or state a load that is invalid in part.
"""

from damasklead.gateway.calls import ResponseHead, ResponseKind, UpstreamRecord
from damasklead.gateway.context import GatewayContext
from damasklead.gateway.placements import Placement
from damasklead.ids import AttemptId

__all__ = ["ReplicaSignals"]


class ReplicaSignals:
    """
    Applies the signals in the responses to one request.

    Parameters
    ----------
    context : GatewayContext
    placement : Placement
        The replicas of the request's service.
    request : AttemptId
        The request, for the log.
    """

    def __init__(
        self, *, context: GatewayContext, placement: Placement, request: AttemptId
    ) -> None:
        self._context = context
        self._placement = placement
        self._request = request

    def record_head(self, reply: ResponseHead, record: UpstreamRecord) -> None:
        """
        Record that a replica leaves, pauses or limits requests, according to a head.
        """
        if reply.kind in (ResponseKind.ANSWER, ResponseKind.REFUSED):
            self._record_rate_limit(reply, record)
            self._record_rejection_limit(reply, record)
        if reply.dropped_figure:
            self._log_dropped_figure(reply, record)
        if reply.kind is ResponseKind.MISPLACED:
            self._context.on_replica_left(record, "another replica has the address")
        elif reply.leaving:
            self._context.on_replica_left(
                record, "its response announces that it leaves"
            )
        if reply.retry_after is not None:
            granted = self._placement.pause_replica(record, reply.retry_after)
            self._context.journal.event(
                "replica-paused",
                request=self._request,
                replica=record.instance,
                asked=reply.retry_after,
                seconds=granted,
            )

    def _log_dropped_figure(self, reply: ResponseHead, record: UpstreamRecord) -> None:
        count = self._context.dropped_figures.record(self._context.clock.now())
        if count:
            self._context.journal.event(
                "load-figure-dropped",
                request=self._request,
                replica=record.instance,
                figure=reply.dropped_figure,
                count=count,
            )

    def _record_rate_limit(self, reply: ResponseHead, record: UpstreamRecord) -> None:
        """Record the limit that a response names, or that it names none."""
        rate_limits = self._context.rate_limits
        before = rate_limits.get_limit(record)
        rate_limits.record_response(
            record, reply.rate_limit, is_success=_is_success(reply)
        )
        after = rate_limits.get_limit(record)
        if after != before:
            self._context.journal.event(
                "limit-observed",
                request=self._request,
                replica=record.instance,
                status=reply.status,
                executed=reply.kind is ResponseKind.ANSWER,
                before=before or 0.0,
                per_second=after or 0.0,
            )

    def _record_rejection_limit(
        self, reply: ResponseHead, record: UpstreamRecord
    ) -> None:
        """Record that a response shows a replica to be brittle, or not to be."""
        limits = self._context.rate_limits.rejections
        before = limits.get_limit(record)
        limits.record_response(
            record, reply.rejection_limit, is_success=_is_success(reply)
        )
        after = limits.get_limit(record)
        if after != before:
            self._context.journal.event(
                "brittleness-observed",
                request=self._request,
                replica=record.instance,
                status=reply.status,
                executed=reply.kind is ResponseKind.ANSWER,
                before=before or 0.0,
                per_second=after or 0.0,
            )


def _is_success(reply: ResponseHead) -> bool:
    """Return whether the replica executed the request without an error."""
    return reply.kind is ResponseKind.ANSWER and reply.status < 500
